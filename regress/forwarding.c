/* forwarding.c - see forwarding.h. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>
#include <xxhash.h>

#include "regress/forwarding.h"

enum {
    WORDS_MAX = 32,
    US_PER_MS = 1000,
    REVOKE_MS = 5000,
    REGISTRY_MS = 2000,
    ACCEPT_MS = 1600,
    REQUESTS_MAX = 100,
    DECIMAL = 10,
    ADDRESS_BYTES = 64,
    OWN_CONTENTS = 1000, /* of requests that do not say theirs */
};

typedef struct {
    char text[FORWARDING_TEXT_BYTES]; /* its words end in NULs */
    char *words[WORDS_MAX];
    size_t count;
} line_t;

static char printed[FORWARDING_TEXT_BYTES];
static char noted[FORWARDING_TEXT_BYTES];
static char ids[WORDS_MAX][WORDS_MAX];

static void step(forward_t *forward, int64_t at_ms,
                 const forward_event_t *event, bool print);
static void split(line_t *line, const char *text);
static const char *value_of(const line_t *line, const char *name);
static bool has(const line_t *line, const char *word);
static int64_t number_of(const line_t *line, size_t word);
static registration_t registration_of(const line_t *line, size_t word,
                                      char *address);
static const runner_report_t *report_of(const line_t *line);
static forward_event_t request_of(const line_t *line);
static forward_event_t answer_of(const line_t *line);
static void do_fleet(forward_t *forward, int64_t at_ms, const line_t *line);
static void do_peer(forward_t *forward, int64_t at_ms, const line_t *line);
static bool do_registry(forward_t *forward, int64_t at_ms, const line_t *line);
static void print_line(const forward_action_t *order);
static void print_order(const forward_action_t *order);

void
forwarding_play(const forwarding_script_t *script)
{
    forward_t *forward = forwarding_open();
    size_t i;

    for (i = 0; i < script->count; i++) {
        const forwarding_line_t *line = &script->lines[i];
        const char *got = forwarding_do(forward, line->at_ms, line->event);

        if (line->orders != NULL) {
            ck_assert_msg(strcmp(got, line->orders) == 0,
                          "%s, line %zu, at %" PRId64 " ms, %s:\n  got  %s\n"
                          "  want %s",
                          script->name, i + 1, line->at_ms, line->event, got,
                          line->orders);
        }
    }
    forward_free(forward);
}

/* As the users' bounds are, but for the one that scripts change. */
forward_limits_t
forwarding_limits(uint32_t revoke_ms)
{
    return (forward_limits_t){
        .revoke_ms = revoke_ms,
        .registry_ms = REGISTRY_MS,
        .accept_ms = ACCEPT_MS,
        .requests_max = REQUESTS_MAX,
        .retries = {.ratio_permille = 800,
                    .fixed = 150,
                    .window_us = (int64_t)10000 * US_PER_MS},
    };
}

forward_t *
forwarding_open(void)
{
    return forwarding_open_host("h1");
}

forward_t *
forwarding_open_host(const char *host)
{
    forward_settings_t settings = {
        .host = host,
        .zone = "a",
        .seed = 1,
        .limits = forwarding_limits(REVOKE_MS),
    };

    return forward_new(&settings);
}

const char *
forwarding_do(forward_t *forward, int64_t at_ms, const char *text)
{
    forward_event_t event = {0};
    line_t line;

    split(&line, text);
    printed[0] = '\0';
    noted[0] = '\0';
    if (do_registry(forward, at_ms, &line)) {
        return printed;
    }
    if (strcmp(line.words[0], "request") == 0) {
        event = request_of(&line);
    }
    else if (strcmp(line.words[0], "gone") == 0) {
        event.kind = FORWARD_CALLER_DISCONNECTED;
        event.u.disconnected = (uint64_t)number_of(&line, 1);
    }
    else if (strcmp(line.words[0], "probed") == 0) {
        event.kind = FORWARD_PROBE_RESULT;
        event.u.probed.runner = line.words[1];
        event.u.probed.outcome = has(&line, "yes")      ? PROBE_ANSWERED
                                 : has(&line, "silent") ? PROBE_SILENT
                                                        : PROBE_UNREACHABLE;
        if (value_of(&line, "active") != NULL) {
            event.u.probed.report = report_of(&line);
        }
    }
    else if (strcmp(line.words[0], "routing") == 0) {
        event.kind = FORWARD_ROUTING;
        event.u.routing = forwarding_routing(number_of(&line, 1));
    }
    else if (strcmp(line.words[0], "contact") == 0) {
        event.kind = FORWARD_STORE_CONTACT;
        event.u.contact_us = at_ms * US_PER_MS;
    }
    else if (strcmp(line.words[0], "fleet") == 0) {
        do_fleet(forward, at_ms, &line);
        return printed;
    }
    else if (strcmp(line.words[0], "peer") == 0) {
        do_peer(forward, at_ms, &line);
        return printed;
    }
    else if (strcmp(line.words[0], "hosts") == 0) {
        event.kind = FORWARD_HOST_COUNT;
        event.u.hosts = (uint32_t)number_of(&line, 1);
    }
    else if (strcmp(line.words[0], "revoke") == 0) {
        event.kind = FORWARD_LIMITS;
        event.u.limits = forwarding_limits((uint32_t)number_of(&line, 1));
    }
    else if (strcmp(line.words[0], "drain") == 0) {
        event.kind = FORWARD_DRAIN;
    }
    else if (strcmp(line.words[0], "timer") == 0) {
        event.kind = FORWARD_TIMER;
    }
    else {
        event = answer_of(&line);
    }
    step(forward, at_ms, &event, true);
    return printed;
}

const char *
forwarding_lines(void)
{
    return noted;
}

routing_t *
forwarding_routing(int64_t version)
{
    static const route_t routes[] = {
        {.name = "stream",
         .host = "host.example",
         .prefix = "/stream/",
         .type = REQUEST_STREAM,
         .timeout_ms = 25000,
         .latency_objective_ms = 4500,
         .event_gap_objective_ms = 700,
         .attempts_max = 5,
         .resumable = true},
        {.name = "once",
         .host = "host.example",
         .prefix = "/once/",
         .type = REQUEST_STREAM,
         .timeout_ms = 25000,
         .attempts_max = 5},
        {.name = "unsafe",
         .host = "host.example",
         .prefix = "/unsafe/",
         .type = REQUEST_UNSAFE,
         .timeout_ms = 600,
         .latency_objective_ms = 100,
         .attempts_max = 1},
        {.name = "safe",
         .host = "host.example",
         .prefix = "/safe/",
         .type = REQUEST_SAFE,
         .timeout_ms = 600,
         .latency_objective_ms = 100,
         .attempts_max = 2},
    };
    static const char *const services[] = {"r", "r", "s", "s"};
    routing_t *routing = calloc(1, sizeof(*routing));
    arena_t *arena = &routing->arena;
    size_t i;

    routing->version = version;
    routing->revision = version;
    routing->route_count = sizeof(routes) / sizeof(routes[0]);
    routing->routes = arena_memdup(arena, routes, sizeof(routes));
    for (i = 0; i < routing->route_count; i++) {
        route_t *route = &routing->routes[i];

        route->prefix_bytes = strlen(route->prefix);
        route->shares = arena_array(arena, 1, sizeof(*route->shares));
        route->shares[0] =
            (traffic_share_t){.service = services[i], .weight = 1};
        route->share_count = 1;
    }
    routing->services = arena_array(arena, 2, sizeof(*routing->services));
    routing->services[0] = (service_t){
        .name = "r", .engine = true, .capabilities = {.kv_replication = true}};
    routing->services[1] = (service_t){.name = "s"};
    routing->service_count = 2;
    routing->owners = arena_array(arena, 2, sizeof(*routing->owners));
    routing->owner_count = 2;
    for (i = 0; i < 2; i++) {
        access_key_t *key = arena_alloc(arena, sizeof(*key));

        routing->owners[i].name = arena_printf(arena, "o%zu", i + 1);
        key->key = arena_printf(arena, "k%zu", i + 1);
        key->owner = &routing->owners[i];
        HASH_ADD_KEYPTR(hh, routing->keys, key->key, strlen(key->key), key);
    }
    return routing;
}

static void
step(forward_t *forward, int64_t at_ms, const forward_event_t *event,
     bool print)
{
    forward_actions_t orders = {0};
    size_t i;

    forward_step(forward, at_ms * US_PER_MS, event, &orders);
    for (i = 0; print && i < orders.count; i++) {
        print_line(&orders.items[i]);
        print_order(&orders.items[i]);
    }
    forward_actions_free(&orders);
}

static void
split(line_t *line, const char *text)
{
    char *rest = line->text;
    char *word;

    (void)snprintf(line->text, sizeof(line->text), "%s", text);
    line->count = 0;
    while ((word = strsep(&rest, " ")) != NULL && line->count < WORDS_MAX) {
        line->words[line->count] = word;
        line->count++;
    }
}

/* Of "name=value". */
static const char *
value_of(const line_t *line, const char *name)
{
    size_t length = strlen(name);
    size_t i;

    for (i = 0; i < line->count; i++) {
        if (strncmp(line->words[i], name, length) == 0 &&
            line->words[i][length] == '=') {
            return line->words[i] + length + 1;
        }
    }
    return NULL;
}

static bool
has(const line_t *line, const char *word)
{
    size_t i;

    for (i = 0; i < line->count; i++) {
        if (strcmp(line->words[i], word) == 0) {
            return true;
        }
    }
    return false;
}

static int64_t
number_of(const line_t *line, size_t word)
{
    ck_assert_msg(word < line->count, "%s: a number is missing",
                  line->words[0]);
    return strtoll(line->words[word], NULL, DECIMAL);
}

static registration_t
registration_of(const line_t *line, size_t word, char *address)
{
    const char *name = line->words[word];
    const char *id = value_of(line, "as");
    const char *born = value_of(line, "born");
    const char *version = value_of(line, "version");
    static char zones[WORDS_MAX][2];
    static char services[WORDS_MAX][2];

    ck_assert_msg(strlen(name) == 3, "no runner: %s", name);
    (void)snprintf(zones[word], sizeof(zones[word]), "%c", name[1]);
    (void)snprintf(services[word], sizeof(services[word]), "%c", name[0]);
    (void)snprintf(address, ADDRESS_BYTES, "10.%d.%d.%c:80", name[0] - 'a',
                   name[1] - 'a', name[2]);
    (void)snprintf(ids[word], sizeof(ids[word]), "%s", id != NULL ? id : name);
    return (registration_t){
        .id = ids[word],
        .service = services[word],
        .address = address,
        .zone = zones[word],
        .version = version,
        .slots = 6,
        .draining = has(line, "draining"),
        .started_ms = born != NULL ? strtoll(born, NULL, DECIMAL) : 0,
    };
}

static const runner_report_t *
report_of(const line_t *line)
{
    static const char *run;
    static runner_report_t report;
    const char *queued = value_of(line, "queued");

    run = value_of(line, "runs");
    report = (runner_report_t){
        .active = (uint32_t)strtoul(value_of(line, "active"), NULL, DECIMAL),
        .queued =
            queued != NULL ? (uint32_t)strtoul(queued, NULL, DECIMAL) : 0,
        .runs = &run,
        .run_count = run != NULL ? 1 : 0,
    };
    return &report;
}

static forward_event_t
request_of(const line_t *line)
{
    static char id[WORDS_MAX];
    static char path[WORDS_MAX];
    const char *key = value_of(line, "key");
    const char *deadline = value_of(line, "deadline");
    const char *after = value_of(line, "after");
    const char *content = value_of(line, "content");
    const char *part = value_of(line, "parts");
    static uint64_t parts[FORWARD_PARTS_MAX];
    uint32_t part_count = 0;
    bool stream = has(line, "stream") || has(line, "once");
    forward_event_t event = {.kind = FORWARD_REQUEST};

    while (part != NULL && part_count < FORWARD_PARTS_MAX) {
        parts[part_count] = strtoull(part, NULL, DECIMAL);
        part_count++;
        part = strchr(part, ',');
        part = part != NULL ? part + 1 : NULL;
    }
    (void)snprintf(id, sizeof(id), "q%s", line->words[1]);
    (void)snprintf(path, sizeof(path), "/%s/x", line->words[2]);
    event.u.request = (forward_request_t){
        .number = (uint64_t)number_of(line, 1),
        .id = id,
        .relayed = has(line, "relayed"),
        .host = "host.example:80",
        .path = path,
        .key = key == NULL      ? "k1"
               : key[0] == '\0' ? NULL
                                : key,
        .deadline_ms =
            deadline != NULL ? (uint32_t)strtoul(deadline, NULL, DECIMAL) : 0,
        .prompt_tokens = stream ? 8000 : 0,
        .affinity = (uint64_t)number_of(line, 1),
        .last_event_id = after != NULL ? strtoll(after, NULL, DECIMAL) : -1,
        .resumed_id = value_of(line, "resumes"),
        .fingerprint = content != NULL
                           ? strtoull(content, NULL, DECIMAL)
                           : (uint64_t)number_of(line, 1) + OWN_CONTENTS,
        .parts = parts,
        .part_count = part_count,
    };
    return event;
}

static forward_event_t
answer_of(const line_t *line)
{
    static const struct {
        const char *word;
        send_result_t result;
    } ends[] = {{"whole", SEND_COMPLETE},
                {"broken", SEND_BROKEN},
                {"unsent", SEND_NOT_SENT},
                {"invalid", SEND_INVALID}};
    uint64_t number = (uint64_t)number_of(line, 1);
    uint32_t attempt = (uint32_t)number_of(line, 2);
    forward_event_t event = {0};
    size_t i;

    if (strcmp(line->words[0], "head") == 0) {
        event.kind = FORWARD_RESPONSE_HEAD;
        event.u.head =
            (forward_response_head_t){.number = number,
                                      .attempt = attempt,
                                      .status = (uint32_t)number_of(line, 3),
                                      .authentic = !has(line, "stranger"),
                                      .not_run = has(line, "not-run"),
                                      .refused_by_host = has(line, "refused"),
                                      .refusal = REFUSE_NO_RUNNER};
        return event;
    }
    if (strcmp(line->words[0], "copied") == 0) {
        event.kind = FORWARD_COPY_RESULT;
        event.u.copied =
            (forward_copy_result_t){.number = number,
                                    .attempt = attempt,
                                    .name = value_of(line, "name")};
        return event;
    }
    if (strcmp(line->words[0], "event") == 0) {
        event.kind = FORWARD_STREAM_PROGRESS;
        event.u.progress =
            (forward_progress_t){.number = number,
                                 .attempt = attempt,
                                 .last_event_id = number_of(line, 3)};
        return event;
    }
    for (i = 0; i < sizeof(ends) / sizeof(ends[0]); i++) {
        if (strcmp(line->words[0], ends[i].word) == 0) {
            event.kind = FORWARD_SEND_END;
            event.u.end = (forward_send_end_t){.number = number,
                                               .attempt = attempt,
                                               .result = ends[i].result};
            return event;
        }
    }
    ck_abort_msg("no event: %s", line->words[0]);
    return event;
}

/* Each further word is RUNNER/SESSION, with "/reading" or without. */
/* The letter before the digit of a host's name is its zone. */
static void
do_fleet(forward_t *forward, int64_t at_ms, const line_t *line)
{
    forward_host_t hosts[WORDS_MAX];
    char zones[WORDS_MAX][2] = {0};
    forward_event_t event = {.kind = FORWARD_HOSTS};
    size_t i;

    for (i = 1; i < line->count; i++) {
        zones[i][0] = line->words[i][1];
        hosts[i - 1] = (forward_host_t){.name = line->words[i],
                                        .address = "10.9.0.1:80",
                                        .zone = zones[i]};
    }
    event.u.host_list.items = hosts;
    event.u.host_list.count = line->count - 1;
    step(forward, at_ms, &event, true);
}

static void
do_peer(forward_t *forward, int64_t at_ms, const line_t *line)
{
    placement_t items[WORDS_MAX] = {0};
    placements_t placements = {.items.items_val = items};
    forward_event_t event = {.kind = FORWARD_PEER_REPORT};
    const char *number = value_of(line, "number");
    const char *use = value_of(line, "use");
    const char *moved = value_of(line, "moved");
    note_t note = {.number = 1, .finding.kind = NOTE_ADDRESS_STALE};
    budget_use_t budgets[] = {{.service = XXH3_64bits("r", 1)},
                              {.service = XXH3_64bits("s", 1)}};
    size_t i;

    event.u.peer.host = line->words[1];
    event.u.peer.placements = has(line, "gone") ? NULL : &placements;
    placements.number =
        number != NULL ? strtoull(number, NULL, DECIMAL) : (uint64_t)at_ms;
    placements.contact_age_ms = has(line, "stale") ? UINT32_MAX : 0;
    if (has(line, "isolated")) {
        placements.isolated = true;
        budgets[0].isolated = true;
        budgets[1].isolated = true;
        placements.budgets.budgets_val = budgets;
        placements.budgets.budgets_len = 2;
    }
    if (use != NULL) {
        budgets[0].requests = (uint32_t)strtoul(use, NULL, DECIMAL);
        budgets[0].retry_count =
            (uint32_t)strtoul(strchr(use, ':') + 1, NULL, DECIMAL);
        placements.budgets.budgets_val = budgets;
        placements.budgets.budgets_len = 1;
    }
    for (i = 2; i < line->count && strchr(line->words[i], '/') != NULL; i++) {
        placement_t *item = &items[placements.items.items_len];
        size_t length = strcspn(line->words[i], "/");

        item->runner = XXH3_64bits(line->words[i], length);
        item->session = strtoull(line->words[i] + length + 1, NULL, DECIMAL);
        item->prefilling = strstr(line->words[i], "/reading") != NULL;
        placements.items.items_len++;
    }
    if (moved != NULL) {
        note.finding.finding_t_u.runner = XXH3_64bits(moved, strlen(moved));
        placements.notes.notes_val = &note;
        placements.notes.notes_len = 1;
    }
    step(forward, at_ms, &event, true);
}

static bool
do_registry(forward_t *forward, int64_t at_ms, const line_t *line)
{
    forward_event_t event = {0};
    char address[ADDRESS_BYTES];
    size_t i;

    if (strcmp(line->words[0], "drop") == 0) {
        event.kind = FORWARD_RUNNER_DEREGISTERED;
        event.u.deregistered_id = line->words[1];
        step(forward, at_ms, &event, true);
        return true;
    }
    if (strcmp(line->words[0], "runner") == 0) {
        event.kind = FORWARD_RUNNER_REGISTERED;
        event.u.runner = registration_of(line, 1, address);
        step(forward, at_ms, &event, true);
        return true;
    }
    if (strcmp(line->words[0], "list") != 0) {
        return false;
    }
    event.kind = FORWARD_REGISTRY_BEGIN;
    step(forward, at_ms, &event, true);
    for (i = 1; i < line->count; i++) {
        event.kind = FORWARD_RUNNER_REGISTERED;
        event.u.runner = registration_of(line, i, address);
        step(forward, at_ms, &event, true);
    }
    event.kind = FORWARD_REGISTRY_END;
    step(forward, at_ms, &event, true);
    return true;
}

static void
print_line(const forward_action_t *order)
{
    const request_record_t *ended = &order->u.ended;
    size_t used = strlen(noted);
    size_t room = sizeof(noted) - used;

    if (order->kind == FORWARD_ACTION_LOG) {
        (void)snprintf(noted + used, room, "%s %s\n", order->u.log.event,
                       order->u.log.text);
    }
    else if (order->kind == FORWARD_ACTION_RECORD_END) {
        (void)snprintf(noted + used, room,
                       "end request=%s outcome=%s reason=%s status=%" PRIu32
                       " runs=%" PRIu32 " routing=%" PRId64 "\n",
                       ended->id, ended->outcome, ended->reason, ended->status,
                       ended->runs, ended->routing_version);
    }
}

static void
print_order(const forward_action_t *order)
{
    static const char *const words[] = {
        [FORWARD_ACTION_SEND] = "send",
        [FORWARD_ACTION_CANCEL] = "cancel",
        [FORWARD_ACTION_RELAY_HEAD] = "begin",
        [FORWARD_ACTION_RELAY_RESPONSE] = "answer",
        [FORWARD_ACTION_FINISH] = "finish",
        [FORWARD_ACTION_REFUSE] = "refuse",
        [FORWARD_ACTION_COPY] = "copy",
        [FORWARD_ACTION_FREE_COPY] = "drop",
        [FORWARD_ACTION_ABORT] = "break",
        [FORWARD_ACTION_PROBE] = "probe",
    };
    size_t used = strlen(printed);
    char *at = printed + used;
    size_t room = sizeof(printed) - used;
    const send_action_t *send = &order->u.send;

    if (order->kind == FORWARD_ACTION_LOG ||
        order->kind == FORWARD_ACTION_PUBLISH ||
        order->kind == FORWARD_ACTION_RECORD_RESUME ||
        order->kind == FORWARD_ACTION_RECORD_END) {
        return;
    }
    used += (size_t)snprintf(at, room, "%s%s %" PRIu64, used > 0 ? "; " : "",
                             words[order->kind], order->number);
    at = printed + used;
    room = sizeof(printed) - used;
    switch (order->kind) {
    case FORWARD_ACTION_SEND:
        (void)snprintf(
            at, room, ".%" PRIu32 " %s%s%s%s%s%s%s%s", send->attempt,
            send->host != NULL ? send->host : send->runner,
            send->restore_address != NULL ? " restore=" : "",
            send->restore_address != NULL ? send->restore_address : "",
            send->restore_address != NULL ? "/" : "",
            send->restore_address != NULL ? send->restore_name : "",
            send->backup_address != NULL ? " backup=" : "",
            send->backup_address != NULL ? send->backup_address : "",
            send->last_event_id >= 0 ? " resume" : "");
        return;
    case FORWARD_ACTION_REFUSE:
    case FORWARD_ACTION_ABORT:
        (void)snprintf(at, room, " %s %" PRIu32 "%s",
                       refuse_reason_name(order->u.refuse.reason),
                       order->u.refuse.status,
                       order->u.refuse.not_run ? " not-run" : "");
        if (order->u.refuse.retry_after_ms > 0) {
            used = strlen(printed);
            (void)snprintf(printed + used, sizeof(printed) - used,
                           " after=%" PRIu32, order->u.refuse.retry_after_ms);
        }
        return;
    case FORWARD_ACTION_PROBE:
        (void)snprintf(at, room, " %s", order->u.probe.runner);
        return;
    case FORWARD_ACTION_FREE_COPY:
        (void)snprintf(at, room, " %s/%s", order->u.drop_copy.address,
                       order->u.drop_copy.name);
        return;
    case FORWARD_ACTION_COPY:
        (void)snprintf(at, room, ".%" PRIu32 " %s", order->u.copy.attempt,
                       order->u.copy.to);
        return;
    case FORWARD_ACTION_FINISH:
        return;
    default:
        (void)snprintf(at, room, ".%" PRIu32, order->u.attempt);
        return;
    }
}
