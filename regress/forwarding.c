/* forwarding.c - see forwarding.h. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>
#include <xxhash.h>

#include "regress/forwarding_private.h"

enum {
    REGISTRY_MS = 2000,
    SERVE_MS = 7300,
    REQUESTS_MAX = 100,
    OWN_CONTENTS = 1000, /* of requests that do not say theirs */
};

static void step(forward_t *forward, int64_t at_ms,
                 const forward_event_t *event, bool print);
static forward_event_t request_of(const line_t *line);
static forward_event_t answer_of(const line_t *line, int64_t at_ms);
static void do_fleet(forward_t *forward, int64_t at_ms, const line_t *line);
static void do_peer(forward_t *forward, int64_t at_ms, const line_t *line);
static bool do_registry(forward_t *forward, int64_t at_ms, const line_t *line);

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
        .serve_ms = SERVE_MS,
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

    line_split(&line, text);
    actions_clear();
    if (do_registry(forward, at_ms, &line)) {
        return actions_printed();
    }
    if (line_record(&line, &event) || line_view(&line, at_ms, &event) ||
        line_rollout(&line, at_ms, &event)) {
        step(forward, at_ms, &event, true);
        return actions_printed();
    }
    if (strcmp(line.words[0], "request") == 0) {
        event = request_of(&line);
    }
    else if (strcmp(line.words[0], "gone") == 0) {
        event.kind = FORWARD_CALLER_DISCONNECTED;
        event.u.disconnected = (uint64_t)line_number(&line, 1);
    }
    else if (strcmp(line.words[0], "probed") == 0) {
        event.kind = FORWARD_PROBE_RESULT;
        event.u.probed.runner = line.words[1];
        event.u.probed.outcome = line_has(&line, "yes") ? PROBE_ANSWERED
                                 : line_has(&line, "silent")
                                     ? PROBE_SILENT
                                     : PROBE_UNREACHABLE;
        event.u.probed.leaving = line_has(&line, "leaving");
        event.u.probed.asked_us = line_time_us(&line, "asked", at_ms);
        if (line_value(&line, "active") != NULL) {
            event.u.probed.report = line_report(&line);
            event.u.probed.started_ms = event.u.probed.report->started_ms;
        }
    }
    else if (strcmp(line.words[0], "routing") == 0) {
        event.kind = FORWARD_ROUTING;
        event.u.routing = forwarding_routing(line_number(&line, 1));
        line_shares(&line, event.u.routing);
    }
    else if (strcmp(line.words[0], "fleet") == 0) {
        do_fleet(forward, at_ms, &line);
        return actions_printed();
    }
    else if (strcmp(line.words[0], "peer") == 0) {
        do_peer(forward, at_ms, &line);
        return actions_printed();
    }
    else if (strcmp(line.words[0], "hosts") == 0) {
        event.kind = FORWARD_HOST_COUNT;
        event.u.hosts = (uint32_t)line_number(&line, 1);
    }
    else if (strcmp(line.words[0], "drain") == 0) {
        event.kind = FORWARD_DRAIN;
    }
    else if (strcmp(line.words[0], "stop") == 0) {
        event.kind = FORWARD_STOP;
    }
    else if (strcmp(line.words[0], "timer") == 0) {
        event.kind = FORWARD_TIMER;
    }
    else {
        event = answer_of(&line, at_ms);
    }
    step(forward, at_ms, &event, true);
    return actions_printed();
}

const char *
forwarding_lines(void)
{
    return actions_logged();
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
    routing->key_policy = KEYS_LISTED;
    for (i = 0; i < 2; i++) {
        access_key_t *key = arena_alloc(arena, sizeof(*key));
        key_owner_t *owner = arena_alloc(arena, sizeof(*owner));

        owner->name = arena_printf(arena, "o%zu", i + 1);
        key->key = arena_printf(arena, "k%zu", i + 1);
        key->owner = owner;
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
        actions_print(&orders.items[i]);
    }
    forward_actions_free(&orders);
}

static int64_t
line_table(const line_t *line)
{
    const char *revision = line_value(line, "table");

    return revision != NULL ? strtoll(revision, NULL, DECIMAL) : 0;
}

static forward_event_t
request_of(const line_t *line)
{
    static char id[WORDS_MAX];
    static char path[WORDS_MAX];
    const char *key = line_value(line, "key");
    const char *deadline = line_value(line, "deadline");
    const char *after = line_value(line, "after");
    const char *content = line_value(line, "content");
    const char *part = line_value(line, "parts");
    static uint64_t parts[FORWARD_PARTS_MAX];
    uint32_t part_count = 0;
    bool stream = line_has(line, "stream") || line_has(line, "once");
    static line_counts_t grant;
    forward_event_t event = {.kind = FORWARD_REQUEST};

    (void)line_counts(line, "grant", &grant);
    while (part != NULL && part_count < FORWARD_PARTS_MAX) {
        parts[part_count] = strtoull(part, NULL, DECIMAL);
        part_count++;
        part = strchr(part, ',');
        part = part != NULL ? part + 1 : NULL;
    }
    (void)snprintf(id, sizeof(id), "q%s", line->words[1]);
    (void)snprintf(path, sizeof(path), "/%s/x", line->words[2]);
    event.u.request = (forward_request_t){
        .number = (uint64_t)line_number(line, 1),
        .id = id,
        .relayed = line_has(line, "relayed"),
        .grant = {.attempts = grant.count,
                  .deliveries = grant.deliveries,
                  .service = line_service(line),
                  .runners = grant.runners,
                  .runner_count = grant.runner_count,
                  .routing_version = line_table(line)},
        .host = "host.example:80",
        .path = path,
        .key = key == NULL      ? "k1"
               : key[0] == '\0' ? NULL
                                : key,
        .deadline_ms =
            deadline != NULL ? (uint32_t)strtoul(deadline, NULL, DECIMAL) : 0,
        .prompt_tokens = stream ? 8000 : 0,
        .affinity = (uint64_t)line_number(line, 1),
        .last_event_id = after != NULL ? strtoll(after, NULL, DECIMAL) : -1,
        .resumed_id = line_value(line, "resumes"),
        .fingerprint = content != NULL
                           ? strtoull(content, NULL, DECIMAL)
                           : (uint64_t)line_number(line, 1) + OWN_CONTENTS,
        .parts = parts,
        .part_count = part_count,
    };
    return event;
}

static forward_event_t
answer_of(const line_t *line, int64_t at_ms)
{
    static const struct {
        const char *word;
        send_result_t result;
    } ends[] = {{"whole", SEND_COMPLETE},
                {"broken", SEND_BROKEN},
                {"unsent", SEND_NOT_SENT},
                {"invalid", SEND_INVALID}};
    uint64_t number = (uint64_t)line_number(line, 1);
    uint32_t attempt = (uint32_t)line_number(line, 2);
    static line_counts_t used;
    forward_event_t event = {0};
    size_t i;

    if (strcmp(line->words[0], "head") == 0) {
        bool stated = line_counts(line, "used", &used);

        event.kind = FORWARD_RESPONSE_HEAD;
        event.u.head = (forward_response_head_t){
            .number = number,
            .attempt = attempt,
            .status = (uint32_t)line_number(line, 3),
            .authentic = !line_has(line, "stranger"),
            .not_run = line_has(line, "not-run"),
            .leaving = line_has(line, "leaving"),
            .event_stream = !line_has(line, "text"),
            .connected_min_us = line_time_us(line, "connected", at_ms),
            .connected_max_us = line_time_us(line, "connected", at_ms),
            .refused_by_host = line_has(line, "refused"),
            .refusal = REFUSE_NO_RUNNER,
            .usage = {.stated = stated,
                      .runs = used.count,
                      .deliveries = used.deliveries,
                      .service = line_service(line),
                      .runners = used.runners,
                      .runner_count = used.runner_count,
                      .routing_version = line_table(line)}};
        return event;
    }
    if (strcmp(line->words[0], "copied") == 0) {
        event.kind = FORWARD_COPY_RESULT;
        event.u.copied =
            (forward_copy_result_t){.number = number,
                                    .attempt = attempt,
                                    .name = line_value(line, "name")};
        return event;
    }
    if (strcmp(line->words[0], "event") == 0) {
        event.kind = FORWARD_STREAM_PROGRESS;
        event.u.progress =
            (forward_progress_t){.number = number,
                                 .attempt = attempt,
                                 .last_event_id = line_number(line, 3)};
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
    const char *number = line_value(line, "number");
    const char *use = line_value(line, "use");
    const char *moved = line_value(line, "moved");
    const char *leaves = line_value(line, "leaves");
    note_t note = {.number = 1, .finding.kind = NOTE_ADDRESS_STALE};
    budget_use_t budgets[] = {{.service = XXH3_64bits("r", 1)},
                              {.service = XXH3_64bits("s", 1)}};
    size_t i;

    event.u.peer.host = line->words[1];
    event.u.peer.placements = line_has(line, "gone") ? NULL : &placements;
    placements.number =
        number != NULL ? strtoull(number, NULL, DECIMAL) : (uint64_t)at_ms;
    placements.contact_age_ms = line_has(line, "stale") ? UINT32_MAX : 0;
    if (line_has(line, "isolated")) {
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
        line_stream(line->words[i], item);
        placements.items.items_len++;
    }
    if (leaves != NULL) {
        note.finding.kind = NOTE_RUNNER_LEAVES;
        moved = leaves;
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
        event.u.runner = line_registration(line, 1, address);
        step(forward, at_ms, &event, true);
        return true;
    }
    if (strcmp(line->words[0], "list") != 0) {
        return false;
    }
    event.kind = FORWARD_REGISTRY_BEGIN;
    step(forward, at_ms, &event, true);
    for (i = 1; i < line->count; i++) {
        if (strchr(line->words[i], '=') != NULL) {
            continue;
        }
        event.kind = FORWARD_RUNNER_REGISTERED;
        event.u.runner = line_registration(line, i, address);
        step(forward, at_ms, &event, true);
    }
    event.kind = FORWARD_REGISTRY_END;
    step(forward, at_ms, &event, true);
    return true;
}
