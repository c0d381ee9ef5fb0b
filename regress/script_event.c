/* script_event.c - lines of a script as events; see script.h. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy/answer.h"
#include "regress/script_private.h"

enum { IDS_MAX = 256 };

typedef int (*build_t)(arena_t *arena, const line_t *line, event_t *event);

const char *
script_text(const line_t *line, const char *name, const char *other)
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
    const char *text = script_text(line, name, NULL);

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
    const char *text = script_text(line, name, "");
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
    start->host = (char *)script_text(line, "host", "a1");
    start->zone = (char *)script_text(line, "zone", "north");
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
    config->key = (char *)script_text(line, "key", "");
    config->revision = number_of(line, "revision", 1);
    config->deleted = number_of(line, "deleted", 0) != 0;
    (void)snprintf(path, sizeof(path), "%s/golden/%s", REGRESS_DIR,
                   script_text(line, "file", "none"));
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
    const char *stop = script_text(line, "stop", "");

    event->kind = EVENT_REQUEST;
    request->caller = (uint64_t)number_of(line, "caller", 1);
    request->credential = (char *)script_text(
        line, "credential",
        "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa");
    request->key = (char *)script_text(line, "key", "k1");
    request->has_key = number_of(line, "keyed", 1) != 0;
    request->position = (uint32_t)number_of(line, "position", 0);
    request->has_event_id = request->position > 0;
    request->attempt = (uint32_t)number_of(line, "attempt", 0);
    request->hash = hash_of(arena, line);
    request->location.runner = (char *)script_text(line, "at", "");
    request->location.stream_name = (char *)script_text(line, "at_name", "");
    request->location.first = (uint32_t)number_of(line, "at_first", 0);
    request->location.prompt_tokens = 3;
    request->tail_from = (uint32_t)number_of(line, "tail_from", 0);
    request->tail_ids.tail_ids_len =
        ids_of(arena, line, "tail", &request->tail_ids.tail_ids_val);
    request->model = (char *)script_text(line, "model", "planner");
    request->endpoint = number_of(line, "service", 0) != 0
                            ? ENDPOINT_SERVICE
                            : ENDPOINT_COMPLETIONS;
    request->request_kind = (char *)script_text(line, "kind", "");
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
    event->kind = EVENT_CALLER_DISCONNECTED;
    event->event_t_u.caller_disconnected.caller =
        (uint64_t)number_of(line, "caller", 1);
    return 0;
}

static int
build_piece(arena_t *arena, const line_t *line, event_t *event)
{
    chunk_event_t *chunk = &event->event_t_u.chunk;
    const char *finish = script_text(line, "finish", "");

    event->kind = EVENT_CHUNK;
    chunk->stream = (uint64_t)number_of(line, "stream", 1);
    chunk->position = (uint32_t)number_of(line, "position", 0);
    chunk->prompt_ids.prompt_ids_len =
        ids_of(arena, line, "prompt", &chunk->prompt_ids.prompt_ids_val);
    chunk->token_ids.token_ids_len =
        ids_of(arena, line, "ids", &chunk->token_ids.token_ids_val);
    chunk->text.text_val = unescape(arena, script_text(line, "text", ""));
    chunk->text.text_len = (u_int)strlen(chunk->text.text_val);
    if (strcmp(finish, "stop") == 0) {
        chunk->finish = FINISH_STOP;
    }
    if (strcmp(finish, "length") == 0) {
        chunk->finish = FINISH_LENGTH;
    }
    return 0;
}

static int
build_end(arena_t *arena, const line_t *line, event_t *event)
{
    (void)arena;
    event->kind = EVENT_STREAM_END;
    event->event_t_u.end.stream = (uint64_t)number_of(line, "stream", 1);
    return 0;
}

static int
build_loss(arena_t *arena, const line_t *line, event_t *event)
{
    static const char *const kinds[] = {
        "not-sent", "reset",   "refused",   "failed",
        "gone",     "invalid", "unreached",
    };
    const char *kind = script_text(line, "kind", "");

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
    reply->body.body_val = unescape(arena, script_text(line, "body", ""));
    reply->body.body_len = (u_int)strlen(reply->body.body_val);
    return 0;
}

static int
build_load(arena_t *arena, const line_t *line, event_t *event)
{
    load_event_t *load = &event->event_t_u.load;

    (void)arena;
    event->kind = EVENT_LOAD;
    load->runner = (char *)script_text(line, "runner", "");
    load->reached = number_of(line, "reached", 1) != 0;
    load->running = (uint32_t)number_of(line, "running", 0);
    load->waiting = (uint32_t)number_of(line, "waiting", 0);
    return 0;
}

static int
build_claimed(arena_t *arena, const line_t *line, event_t *event)
{
    static const char *const results[] = {"won", "held", "unknown"};
    claim_results_event_t *claim_results = &event->event_t_u.claim_results;
    claim_outcome_t *outcome = arena_alloc(arena, sizeof(*outcome));
    const char *result = script_text(line, "result", "won");

    event->kind = EVENT_CLAIM_RESULTS;
    claim_results->batch = (uint64_t)number_of(line, "batch", 1);
    claim_results->outcomes.outcomes_len = 1;
    claim_results->outcomes.outcomes_val = outcome;
    outcome->key = (char *)script_text(line, "key", "tarawhiti/k1");
    outcome->holder = (char *)script_text(line, "holder", "");
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
    host_list_event_t *hosts = &event->event_t_u.hosts;
    char *rest = arena_strdup(arena, script_text(line, "list", ""));
    char *word;

    event->kind = EVENT_HOST_LIST;
    hosts->hosts.hosts_val =
        arena_array(arena, SCRIPT_HOSTS_MAX, sizeof(host_entry_t));
    while ((word = strsep(&rest, ",")) != NULL &&
           hosts->hosts.hosts_len < SCRIPT_HOSTS_MAX) {
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
    event->kind = EVENT_CONFIG_READ;
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

static int
build_peer_lost(arena_t *arena, const line_t *line, event_t *event)
{
    (void)arena;
    event->kind = EVENT_PEER_LOST;
    event->event_t_u.peer_lost.host = (char *)script_text(line, "peer", "");
    return 0;
}

static const struct {
    const char *kind;
    build_t build;
} builders[] = {
    {"start", build_start},         {"config", build_config},
    {"request", build_request},     {"caller-gone", build_caller_gone},
    {"piece", build_piece},         {"end", build_end},
    {"loss", build_loss},           {"reply", build_reply},
    {"load", build_load},           {"claimed", build_claimed},
    {"until", build_timer},         {"drain", build_drain},
    {"hosts", build_hosts},         {"ready", build_ready},
    {"peer-lost", build_peer_lost},
};

int
script_event(arena_t *arena, const line_t *line, event_t *event)
{
    memset(event, 0, sizeof(*event));
    for (size_t i = 0; i < sizeof(builders) / sizeof(builders[0]); i++) {
        if (strcmp(builders[i].kind, line->kind) == 0) {
            return builders[i].build(arena, line, event);
        }
    }
    return -1;
}

void
script_split(arena_t *arena, const char *text, line_t *line)
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
    while (rest != NULL && line->count < SCRIPT_FIELDS_MAX) {
        field_t *field = &line->fields[line->count];

        word = strsep(&rest, " ");
        field->name = strsep(&word, "=");
        field->value = word == NULL ? "" : word;
        line->count++;
    }
}
