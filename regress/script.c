/* script.c - see script.h. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <syslog.h>

#include "policy/answer.h"
#include "regress/script.h"

enum { FIELDS_MAX = 24, IDS_MAX = 256, US_PER_MS = 1000 };

typedef struct {
    const char *name;
    const char *value;
} field_t;

typedef struct {
    const char *kind;
    int64_t at_ms;
    field_t fields[FIELDS_MAX];
    size_t count;
} line_t;

enum { HOSTS_MAX = 4, LINK_DELAY_US = 1000 };

/* A host of the script. */
typedef struct {
    const char *name; /* NULL: not started, or dead */
    node_t *node;
    order_list_t orders;
    int64_t timer_us; /* the timer that it asked for */
} script_host_t;

/* A message on its way, encoded. */
typedef struct letter {
    STAILQ_ENTRY(letter) link;
    int64_t due_us;
    const char *from;
    const char *to;
    char *bytes;
    u_int size;
} letter_t;

/* One run of a script. */
typedef struct {
    arena_t *arena;
    char *out;
    int64_t now_us;
    script_host_t hosts[HOSTS_MAX];
    STAILQ_HEAD(, letter) letters; /* one delay for all: sorted by time */
    bool cut;                      /* messages are lost */
} script_run_t;

typedef int (*build_t)(arena_t *arena, const line_t *line, event_t *event);

static const char *
text_of(const line_t *line, const char *name, const char *other)
{
    for (size_t i = 0; i < line->count; i++) {
        if (strcmp(line->fields[i].name, name) == 0) {
            return line->fields[i].value;
        }
    }
    return other;
}

static int64_t
number_of(const line_t *line, const char *name, int64_t other)
{
    const char *text = text_of(line, name, NULL);

    return text == NULL ? other : strtoll(text, NULL, 10);
}

/* "_" stands for a space and "~" for a NUL, because fields end at spaces. */
static char *
unescape(arena_t *arena, const char *text)
{
    char *copy = arena_strdup(arena, text);

    for (char *c = copy; *c != '\0'; c++) {
        if (*c == '_') {
            *c = ' ';
        }
        if (*c == '~') {
            *c = '\0';
            continue;
        }
    }
    return copy;
}

static u_int
ids_of(arena_t *arena, const line_t *line, const char *name, uint32_t **ids)
{
    const char *text = text_of(line, name, "");
    u_int count = 0;

    *ids = arena_array(arena, IDS_MAX, sizeof(uint32_t));
    while (*text != '\0' && count < IDS_MAX) {
        char *end;

        (*ids)[count++] = (uint32_t)strtoul(text, &end, 10);
        text = *end == ',' ? end + 1 : end;
        if (end == text && *text != '\0') {
            break;
        }
    }
    return count;
}

static int
build_start(arena_t *arena, const line_t *line, event_t *event)
{
    start_event_t *start = &event->event_t_u.start;

    (void)arena;
    event->kind = EVENT_START;
    start->host = (char *)text_of(line, "host", "a1");
    start->zone = (char *)text_of(line, "zone", "north");
    start->address = (char *)"127.0.0.1:1";
    start->incarnation = 1;
    start->seed = 1;
    start->sessions_max = (uint32_t)number_of(line, "sessions_max", 100);
    start->queue_wait_ms = (uint32_t)number_of(line, "queue_wait_ms", 1000);
    start->silence_floor_ms = 300;
    start->silence_ceiling_ms = 1000;
    start->prefill_limit_ms = 2000;
    start->orphan_grace_ms = 30000;
    return 0;
}

static int
build_config(arena_t *arena, const line_t *line, event_t *event)
{
    config_t *config = &event->event_t_u.config;
    char path[512];
    char text[16384];
    size_t length;
    FILE *file;

    event->kind = EVENT_CONFIG;
    config->key = (char *)text_of(line, "key", "");
    config->revision = number_of(line, "revision", 1);
    config->deleted = number_of(line, "deleted", 0) != 0;
    (void)snprintf(path, sizeof(path), "%s/golden/%s", REGRESS_DIR,
                   text_of(line, "file", "none"));
    file = fopen(path, "r");
    if (file == NULL) {
        return config->deleted ? 0 : -1;
    }
    length = fread(text, 1, sizeof(text), file);
    (void)fclose(file);
    config->text.text_val = arena_strndup(arena, text, length);
    config->text.text_len = (u_int)length;
    return 0;
}

/* The hash of the tokens that the caller holds. */
static uint64_t
hash_of(arena_t *arena, const line_t *line)
{
    answer_t answer = {0};

    answer.token_count = ids_of(arena, line, "holds", &answer.token_ids);
    return answer_hash(&answer, 0, answer.token_count, 0);
}

static int
build_request(arena_t *arena, const line_t *line, event_t *event)
{
    request_event_t *request = &event->event_t_u.request;
    const char *stop = text_of(line, "stop", "");

    event->kind = EVENT_REQUEST;
    request->caller = (uint64_t)number_of(line, "caller", 1);
    request->credential = (char *)text_of(
        line, "credential",
        "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa");
    request->key = (char *)text_of(line, "key", "k1");
    request->keyed = number_of(line, "keyed", 1) != 0;
    request->position = (uint32_t)number_of(line, "position", 0);
    request->resumes = request->position > 0;
    request->attempt = (uint32_t)number_of(line, "attempt", 0);
    request->hash = hash_of(arena, line);
    request->place.runner = (char *)text_of(line, "at", "");
    request->place.stream_name = (char *)text_of(line, "at_name", "");
    request->place.first = (uint32_t)number_of(line, "at_first", 0);
    request->place.prompt_tokens = 3;
    request->tail_from = (uint32_t)number_of(line, "tail_from", 0);
    request->tail_ids.tail_ids_len =
        ids_of(arena, line, "tail", &request->tail_ids.tail_ids_val);
    request->model = (char *)text_of(line, "model", "planner");
    request->endpoint = number_of(line, "service", 0) != 0
                            ? ENDPOINT_SERVICE
                            : ENDPOINT_COMPLETIONS;
    request->request_kind = (char *)text_of(line, "kind", "");
    request->stream = true;
    request->max_tokens = (uint32_t)number_of(line, "max_tokens", 0);
    request->fingerprint = (uint64_t)number_of(line, "content", 7);
    request->stop.stop_len = strlen(stop) == 0 ? 0 : strlen(stop) + 1;
    request->stop.stop_val = unescape(arena, stop);
    return 0;
}

static int
build_caller_gone(arena_t *arena, const line_t *line, event_t *event)
{
    (void)arena;
    event->kind = EVENT_CALLER_GONE;
    event->event_t_u.caller_gone.caller =
        (uint64_t)number_of(line, "caller", 1);
    return 0;
}

static int
build_piece(arena_t *arena, const line_t *line, event_t *event)
{
    piece_event_t *piece = &event->event_t_u.piece;
    const char *finish = text_of(line, "finish", "");

    event->kind = EVENT_PIECE;
    piece->stream = (uint64_t)number_of(line, "stream", 1);
    piece->position = (uint32_t)number_of(line, "position", 0);
    piece->prompt_ids.prompt_ids_len =
        ids_of(arena, line, "prompt", &piece->prompt_ids.prompt_ids_val);
    piece->token_ids.token_ids_len =
        ids_of(arena, line, "ids", &piece->token_ids.token_ids_val);
    piece->text.text_val = unescape(arena, text_of(line, "text", ""));
    piece->text.text_len = (u_int)strlen(piece->text.text_val);
    if (strcmp(finish, "stop") == 0) {
        piece->finish = FINISH_STOP;
    }
    if (strcmp(finish, "length") == 0) {
        piece->finish = FINISH_LENGTH;
    }
    return 0;
}

static int
build_end(arena_t *arena, const line_t *line, event_t *event)
{
    (void)arena;
    event->kind = EVENT_END;
    event->event_t_u.end.stream = (uint64_t)number_of(line, "stream", 1);
    return 0;
}

static int
build_loss(arena_t *arena, const line_t *line, event_t *event)
{
    static const char *const kinds[] = {
        "not-sent", "reset", "refused", "failed", "gone", "invalid",
    };
    const char *kind = text_of(line, "kind", "");

    (void)arena;
    event->kind = EVENT_LOSS;
    event->event_t_u.loss.stream = (uint64_t)number_of(line, "stream", 1);
    for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
        if (strcmp(kind, kinds[i]) == 0) {
            event->event_t_u.loss.kind = (loss_kind_t)(i + 1);
            return 0;
        }
    }
    return -1;
}

static int
build_reply(arena_t *arena, const line_t *line, event_t *event)
{
    reply_event_t *reply = &event->event_t_u.reply;

    event->kind = EVENT_REPLY;
    reply->stream = (uint64_t)number_of(line, "stream", 1);
    reply->status = (uint32_t)number_of(line, "status", 200);
    reply->content_type = (char *)"text/plain";
    reply->body.body_val = unescape(arena, text_of(line, "body", ""));
    reply->body.body_len = (u_int)strlen(reply->body.body_val);
    return 0;
}

static int
build_load(arena_t *arena, const line_t *line, event_t *event)
{
    load_event_t *load = &event->event_t_u.load;

    (void)arena;
    event->kind = EVENT_LOAD;
    load->runner = (char *)text_of(line, "runner", "");
    load->reached = number_of(line, "reached", 1) != 0;
    load->running = (uint32_t)number_of(line, "running", 0);
    load->waiting = (uint32_t)number_of(line, "waiting", 0);
    return 0;
}

static int
build_claimed(arena_t *arena, const line_t *line, event_t *event)
{
    static const char *const results[] = {"won", "held", "unknown"};
    claimed_event_t *claimed = &event->event_t_u.claimed;
    claim_outcome_t *outcome = arena_alloc(arena, sizeof(*outcome));
    const char *result = text_of(line, "result", "won");

    event->kind = EVENT_CLAIMED;
    claimed->batch = (uint64_t)number_of(line, "batch", 1);
    claimed->outcomes.outcomes_len = 1;
    claimed->outcomes.outcomes_val = outcome;
    outcome->key = (char *)text_of(line, "key", "tarawhiti/k1");
    outcome->holder = (char *)text_of(line, "holder", "");
    for (size_t i = 0; i < sizeof(results) / sizeof(results[0]); i++) {
        if (strcmp(result, results[i]) == 0) {
            outcome->result = (claim_result_t)i;
            return 0;
        }
    }
    return -1;
}

static int
build_hosts(arena_t *arena, const line_t *line, event_t *event)
{
    hosts_event_t *hosts = &event->event_t_u.hosts;
    char *rest = arena_strdup(arena, text_of(line, "list", ""));
    char *word;

    event->kind = EVENT_HOSTS;
    hosts->hosts.hosts_val =
        arena_array(arena, HOSTS_MAX, sizeof(host_entry_t));
    while ((word = strsep(&rest, ",")) != NULL &&
           hosts->hosts.hosts_len < HOSTS_MAX) {
        host_entry_t *host = &hosts->hosts.hosts_val[hosts->hosts.hosts_len++];

        host->host = strsep(&word, "/");
        host->zone = word == NULL ? (char *)"" : strsep(&word, "/");
        host->leaving = word != NULL;
        host->address = (char *)"127.0.0.1:1";
        host->peer_address = (char *)"127.0.0.1:2";
        host->incarnation = 1;
    }
    return 0;
}

static int
build_ready(arena_t *arena, const line_t *line, event_t *event)
{
    (void)arena;
    (void)line;
    event->kind = EVENT_READY;
    return 0;
}

static int
build_timer(arena_t *arena, const line_t *line, event_t *event)
{
    (void)arena;
    (void)line;
    event->kind = EVENT_TIMER;
    return 0;
}

static int
build_drain(arena_t *arena, const line_t *line, event_t *event)
{
    (void)arena;
    (void)line;
    event->kind = EVENT_DRAIN;
    return 0;
}

static const struct {
    const char *kind;
    build_t build;
} builders[] = {
    {"start", build_start},     {"config", build_config},
    {"request", build_request}, {"caller-gone", build_caller_gone},
    {"piece", build_piece},     {"end", build_end},
    {"loss", build_loss},       {"reply", build_reply},
    {"load", build_load},       {"claimed", build_claimed},
    {"until", build_timer},     {"drain", build_drain},
    {"hosts", build_hosts},     {"ready", build_ready},
};

static int
build_event(arena_t *arena, const line_t *line, event_t *event)
{
    memset(event, 0, sizeof(*event));
    for (size_t i = 0; i < sizeof(builders) / sizeof(builders[0]); i++) {
        if (strcmp(builders[i].kind, line->kind) == 0) {
            return builders[i].build(arena, line, event);
        }
    }
    return -1;
}

static void
split_line(arena_t *arena, const char *text, line_t *line)
{
    char *rest = arena_strdup(arena, text);
    char *word;

    memset(line, 0, sizeof(*line));
    (void)strsep(&rest, " ");
    word = strsep(&rest, " ");
    line->at_ms = word == NULL ? 0 : strtoll(word, NULL, 10);
    line->kind = strsep(&rest, " ");
    if (line->kind == NULL) {
        line->kind = "";
    }
    while (rest != NULL && line->count < FIELDS_MAX) {
        field_t *field = &line->fields[line->count];

        word = strsep(&rest, " ");
        field->name = strsep(&word, "=");
        field->value = word == NULL ? "" : word;
        line->count++;
    }
}

static char *
ids_text(arena_t *arena, const uint32_t *ids, u_int count)
{
    char *text = arena_strdup(arena, "");

    for (u_int i = 0; i < count; i++) {
        text = arena_printf(arena, "%s%s%u", text, i == 0 ? "" : ",", ids[i]);
    }
    return text;
}

static char *
open_text(arena_t *arena, const open_order_t *open)
{
    return arena_printf(
        arena,
        "open stream=%llu body=%llu runner=%s name=%s model=%s "
        "endpoint=%d max_tokens=%u prompt=%s",
        (unsigned long long)open->stream, (unsigned long long)open->body,
        open->runner, open->stream_name, open->model, open->endpoint,
        open->max_tokens,
        ids_text(arena, open->prompt_ids.prompt_ids_val,
                 open->prompt_ids.prompt_ids_len));
}

static char *
give_text(arena_t *arena, const give_order_t *give)
{
    char *text =
        arena_strndup(arena, give->text.text_val, give->text.text_len);

    for (char *c = text; *c != '\0'; c++) {
        *c = *c == ' ' ? '_' : *c;
    }
    return arena_printf(
        arena, "give caller=%llu position=%u ids=%s text=%s tail=%u+%u",
        (unsigned long long)give->caller, give->position,
        ids_text(arena, give->token_ids.token_ids_val,
                 give->token_ids.token_ids_len),
        text, give->tail_from, give->tail_ids.tail_ids_len);
}

static char *
claim_text(arena_t *arena, const claim_order_t *claim)
{
    char *text = arena_printf(arena, "claim batch=%llu mark=%s keys=",
                              (unsigned long long)claim->batch, claim->mark);

    for (u_int i = 0; i < claim->keys.keys_len; i++) {
        text = arena_printf(arena, "%s%s%s", text, i == 0 ? "" : ",",
                            claim->keys.keys_val[i]);
    }
    return text;
}

static char *
release_text(arena_t *arena, const release_order_t *release)
{
    char *text = arena_printf(arena, "release mark=%s keys=", release->mark);

    for (u_int i = 0; i < release->keys.keys_len; i++) {
        text = arena_printf(arena, "%s%s%s", text, i == 0 ? "" : ",",
                            release->keys.keys_val[i]);
    }
    return text;
}

static char *
refuse_text(arena_t *arena, const refuse_order_t *refuse)
{
    return arena_printf(arena,
                        "refuse caller=%llu refusal=%d run=%d retry_ms=%u",
                        (unsigned long long)refuse->caller, refuse->refusal,
                        refuse->run, refuse->retry_after_ms);
}

static char *
tell_text(arena_t *arena, const tell_order_t *tell)
{
    const message_t *message = &tell->message;
    const record_t *record = &message->message_t_u.record;

    switch (message->kind) {
    case MESSAGE_RECORD:
        return arena_printf(
            arena, "tell host=%s record state=%d epoch=%u first=%u tokens=%u",
            tell->host, record->state, record->epoch, record->first,
            record->token_ids.token_ids_len);
    case MESSAGE_LOOKUP:
        return arena_printf(arena, "tell host=%s lookup", tell->host);
    case MESSAGE_FOUND:
        return arena_printf(
            arena, "tell host=%s found=%d tokens=%u", tell->host,
            message->message_t_u.found.found,
            message->message_t_u.found.record.token_ids.token_ids_len);
    case MESSAGE_SUPERSEDED:
        return arena_printf(arena, "tell host=%s superseded epoch=%u",
                            tell->host, message->message_t_u.superseded.epoch);
    default:
        return arena_printf(arena, "tell host=%s message=%d", tell->host,
                            message->kind);
    }
}

char *
script_order(arena_t *arena, const order_t *order)
{
    const reattach_order_t *again = &order->order_t_u.reattach;
    const finish_order_t *finish = &order->order_t_u.finish;
    const reply_order_t *reply = &order->order_t_u.reply;

    switch (order->kind) {
    case ORDER_OPEN:
        return open_text(arena, &order->order_t_u.open);
    case ORDER_REATTACH:
        return arena_printf(arena,
                            "reattach stream=%llu runner=%s name=%s after=%u",
                            (unsigned long long)again->stream, again->runner,
                            again->stream_name, again->after);
    case ORDER_CANCEL:
        return arena_printf(arena, "cancel stream=%llu%s",
                            (unsigned long long)order->order_t_u.cancel.stream,
                            order->order_t_u.cancel.keep ? " keep" : "");
    case ORDER_GIVE:
        return give_text(arena, &order->order_t_u.give);
    case ORDER_FINISH:
        return arena_printf(
            arena, "finish caller=%llu finish=%d prompt=%u completion=%u",
            (unsigned long long)finish->caller, finish->finish,
            finish->prompt_tokens, finish->completion_tokens);
    case ORDER_REPLY:
        return arena_printf(arena, "reply caller=%llu status=%u body=%.*s",
                            (unsigned long long)reply->caller, reply->status,
                            (int)reply->body.body_len, reply->body.body_val);
    case ORDER_REFUSE:
        return refuse_text(arena, &order->order_t_u.refuse);
    case ORDER_FORGET:
        return arena_printf(arena, "forget body=%llu",
                            (unsigned long long)order->order_t_u.forget.body);
    case ORDER_TELL:
        return tell_text(arena, &order->order_t_u.tell);
    case ORDER_CLAIM:
        return claim_text(arena, &order->order_t_u.claim);
    case ORDER_RELEASE:
        return release_text(arena, &order->order_t_u.release);
    case ORDER_TIMER:
        return arena_printf(arena, "timer at_ms=%lld",
                            (long long)order->order_t_u.timer.at_us /
                                US_PER_MS);
    case ORDER_LOG:
        return arena_printf(arena, "log %s", order->order_t_u.log.text);
    case ORDER_STOP:
        return arena_strdup(arena, "stop");
    case ORDER_RELAY:
        return arena_printf(arena, "relay caller=%llu host=%s",
                            (unsigned long long)order->order_t_u.relay.caller,
                            order->order_t_u.relay.host);
    }
    return arena_strdup(arena, "unknown");
}

static script_host_t *
find_host(script_run_t *run, const char *name)
{
    for (size_t i = 0; i < HOSTS_MAX; i++) {
        script_host_t *host = &run->hosts[i];

        if (host->name != NULL && strcmp(host->name, name) == 0) {
            return host;
        }
    }
    return NULL;
}

static void
send_letter(script_run_t *run, const char *from, const tell_order_t *tell)
{
    letter_t *letter = arena_alloc(run->arena, sizeof(*letter));
    message_t message = tell->message;
    u_int size = (u_int)xdr_sizeof((xdrproc_t)xdr_message_t, &message);
    XDR xdrs;

    if (run->cut) {
        return;
    }
    letter->bytes = arena_alloc(run->arena, size);
    letter->size = size;
    letter->due_us = run->now_us + LINK_DELAY_US;
    letter->from = from;
    letter->to = arena_strdup(run->arena, tell->host);
    xdrmem_create(&xdrs, letter->bytes, size, XDR_ENCODE);
    (void)xdr_message_t(&xdrs, &message);
    xdr_destroy(&xdrs);
    STAILQ_INSERT_TAIL(&run->letters, letter, link);
}

/* What fills every script and says nothing of its session. */
static bool
is_noise(const order_t *order)
{
    if (order->kind == ORDER_LOG) {
        return order->order_t_u.log.severity > LOG_ERR;
    }
    if (order->kind == ORDER_TELL) {
        message_kind_t kind = order->order_t_u.tell.message.kind;

        return kind == MESSAGE_HEARTBEAT || kind == MESSAGE_CONFIG ||
               kind == MESSAGE_CONFIG_DIGEST;
    }
    return order->kind == ORDER_TIMER;
}

/* Writes the orders down and carries out those between hosts. */
static void
take_orders(script_run_t *run, script_host_t *host, const char *prefix)
{
    const char *who = strcmp(host->name, "a1") == 0
                          ? ""
                          : arena_printf(run->arena, " %s", host->name);

    for (size_t i = 0; i < host->orders.count; i++) {
        const order_t *order = &host->orders.items[i];

        if (order->kind == ORDER_TIMER) {
            host->timer_us = order->order_t_u.timer.at_us;
        }
        if (order->kind == ORDER_TELL) {
            send_letter(run, host->name, &order->order_t_u.tell);
        }
        if (!is_noise(order)) {
            run->out = arena_printf(run->arena, "%s<%s%s %s\n", run->out, who,
                                    prefix, script_order(run->arena, order));
        }
    }
}

static void
step(script_run_t *run, script_host_t *host, const event_t *event,
     bool by_itself)
{
    const char *prefix = "";

    if (by_itself) {
        prefix = arena_printf(run->arena,
                              " %lld:", (long long)run->now_us / US_PER_MS);
    }
    orders_reset(&host->orders);
    node_step(host->node, run->now_us, event, &host->orders);
    take_orders(run, host, prefix);
}

static void
deliver(script_run_t *run, const letter_t *letter)
{
    script_host_t *host = find_host(run, letter->to);
    event_t event = {.kind = EVENT_PEER};
    XDR xdrs;

    if (host == NULL) {
        return;
    }
    event.event_t_u.peer.host = arena_strdup(run->arena, letter->from);
    xdrmem_create(&xdrs, letter->bytes, letter->size, XDR_DECODE);
    if (xdr_message_t(&xdrs, &event.event_t_u.peer.message)) {
        step(run, host, &event, true);
    }
    xdr_free((xdrproc_t)xdr_message_t, &event.event_t_u.peer.message);
    xdr_destroy(&xdrs);
}

static script_host_t *
first_timer(script_run_t *run)
{
    script_host_t *first = NULL;

    for (size_t i = 0; i < HOSTS_MAX; i++) {
        script_host_t *host = &run->hosts[i];

        if (host->name != NULL &&
            (first == NULL || host->timer_us < first->timer_us)) {
            first = host;
        }
    }
    return first;
}

/* Gives the timers and messages that are due by until_us, in their order. */
static void
run_until(script_run_t *run, int64_t until_us)
{
    event_t timer = {.kind = EVENT_TIMER};

    for (;;) {
        letter_t *letter = STAILQ_FIRST(&run->letters);
        script_host_t *host = first_timer(run);
        int64_t timer_us = host == NULL ? INT64_MAX : host->timer_us;
        int64_t letter_us = letter == NULL ? INT64_MAX : letter->due_us;
        int64_t next_us = letter_us <= timer_us ? letter_us : timer_us;

        if (next_us > until_us) {
            run->now_us = until_us;
            return;
        }
        if (next_us > run->now_us) {
            run->now_us = next_us;
        }
        if (letter_us <= timer_us) {
            STAILQ_REMOVE_HEAD(&run->letters, link);
            deliver(run, letter);
            continue;
        }
        host->timer_us = INT64_MAX;
        step(run, host, &timer, true);
    }
}

static void
stop_host(script_host_t *host)
{
    if (host->name == NULL) {
        return;
    }
    orders_free(&host->orders);
    node_free(host->node);
    host->name = NULL;
}

static int
take_line(script_run_t *run, const line_t *line)
{
    const char *name = text_of(line, "host", "a1");
    script_host_t *host = find_host(run, name);
    event_t event;

    run_until(run, line->at_ms * US_PER_MS);
    if (strcmp(line->kind, "kill") == 0 && host != NULL) {
        stop_host(host);
        return 0;
    }
    if (strcmp(line->kind, "cut") == 0 || strcmp(line->kind, "heal") == 0) {
        run->cut = strcmp(line->kind, "cut") == 0;
        return 0;
    }
    if (strcmp(line->kind, "start") == 0 && host == NULL) {
        for (host = run->hosts; host->name != NULL; host++) {
            if (host == &run->hosts[HOSTS_MAX - 1]) {
                return -1;
            }
        }
        host->name = arena_strdup(run->arena, name);
        host->node = node_new();
        host->timer_us = INT64_MAX;
    }
    if (host == NULL || build_event(run->arena, line, &event) < 0) {
        return -1;
    }
    if (event.kind != EVENT_TIMER) {
        step(run, host, &event, false);
    }
    return 0;
}

char *
script_run(arena_t *arena, const char *text, err_t *err)
{
    char *rest = arena_strdup(arena, text);
    script_run_t run = {.arena = arena, .out = arena_strdup(arena, "")};
    uint32_t number = 0;

    STAILQ_INIT(&run.letters);
    while (rest != NULL && *rest != '\0') {
        char *here = strsep(&rest, "\n");
        line_t line;

        number++;
        if (here[0] == '<') {
            continue;
        }
        if (here[0] != '>') {
            run.out = arena_printf(arena, "%s%s\n", run.out, here);
            continue;
        }
        split_line(arena, here, &line);
        run_until(&run, line.at_ms * US_PER_MS);
        run.out = arena_printf(arena, "%s%s\n", run.out, here);
        if (take_line(&run, &line) < 0) {
            (void)err_set(err, ERR_PROTOCOL,
                          "line %u: no such event: see the table in script.c",
                          number);
            run.out = NULL;
            break;
        }
    }
    for (size_t i = 0; i < HOSTS_MAX; i++) {
        stop_host(&run.hosts[i]);
    }
    return run.out;
}
