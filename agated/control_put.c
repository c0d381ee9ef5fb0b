/* control_put.c - the administration API: checks and writes documents. */
#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "agated/control.h"
#include "base/log.h"
#include "world/contract.h"
#include "world/fleet.h"

enum { DECIMAL = 10, ATTEMPTS_MAX = 4 };

/* The write of one document to the store. */
typedef struct {
    control_call_t *call;
    const char *key;  /* of the document */
    const char *name; /* of its history */
    int64_t replaced; /* revision to be replaced; 0: none */
    uint32_t attempts;
    bool reply_lost; /* of a write, which may have taken effect */
    backoff_t backoff;
    uv_timer_t *timer;
} put_t;

static put_t *put_new(control_call_t *call, const char *key, const char *name);
static void put_free(put_t *put);
static int read_if_match(control_call_t *call, int64_t *revision);
static const contract_t *check_contract(control_call_t *call, err_t *err);
static int check_conflicts(control_call_t *call, const contract_t *contract,
                           err_t *err);
static void reject_document(control_call_t *call, const err_t *err);
static bool may_change(const control_call_t *call, const char *team);
static void read_current(put_t *put);
static void on_current_read(void *context, kv_result_t result,
                            int64_t revision, const kv_pair_t *pairs,
                            size_t count);
static void swap_document(put_t *put);
static void on_swap(void *context, kv_result_t result, int64_t revision,
                    const kv_swap_result_t *answers, size_t count);
static void retry_later(put_t *put, uv_timer_cb callback);
static void on_retry_read(uv_timer_t *timer);
static void on_retry_swap(uv_timer_t *timer);
static void resolve_lost_reply(put_t *put, const kv_pair_t *current);
static void on_history_read(void *context, kv_result_t result,
                            int64_t revision, const kv_pair_t *pairs,
                            size_t count);
static bool has_same_text(const put_t *put, const kv_pair_t *pair);
static void accept_document(put_t *put, int64_t revision);
static void respond_conflict(put_t *put, const kv_pair_t *current);

void
control_put_fleet(control_call_t *call)
{
    put_t *put;
    err_t err;
    int64_t revision;

    if (read_if_match(call, &revision) < 0) {
        return;
    }
    if (fleet_parse(&call->arena, "document", call->body, call->body_bytes,
                    &err) == NULL) {
        reject_document(call, &err);
        return;
    }
    put = put_new(call, "/agatevale/fleet", "fleet");
    put->replaced = revision;
    read_current(put);
}

void
control_put_service(control_call_t *call)
{
    const contract_t *contract;
    put_t *put;
    err_t err;
    int64_t revision;

    if (read_if_match(call, &revision) < 0) {
        return;
    }
    contract = check_contract(call, &err);
    if (contract == NULL) {
        reject_document(call, &err);
        return;
    }
    if (strcmp(contract->service, call->service) != 0) {
        control_error(call, CONTROL_UNPROCESSABLE, "invalid", "not-run",
                      "the document is another service's than the path: "
                      "write the same name in both");
        return;
    }
    if (!may_change(call, contract->team)) {
        control_error(call, CONTROL_FORBIDDEN, "forbidden", "not-run",
                      "the document names another team: write your own");
        return;
    }
    put = put_new(
        call,
        arena_printf(&call->arena, "/agatevale/services/%s", call->service),
        call->service);
    put->replaced = revision;
    read_current(put);
}

void
control_check_fleet(control_call_t *call)
{
    text_t json = {0};
    err_t err;

    if (fleet_parse(&call->arena, "document", call->body, call->body_bytes,
                    &err) == NULL) {
        reject_document(call, &err);
        return;
    }
    text_puts(&json, "{\"valid\":true}");
    control_respond(call, CONTROL_OK, &json);
}

void
control_check_service(control_call_t *call)
{
    text_t json = {0};
    err_t err;
    const contract_t *contract = check_contract(call, &err);

    if (contract == NULL) {
        reject_document(call, &err);
        return;
    }
    text_puts(&json, "{\"valid\":true,\"service\":");
    text_json_string(&json, contract->service);
    text_puts(&json, "}");
    control_respond(call, CONTROL_OK, &json);
}

static put_t *
put_new(control_call_t *call, const char *key, const char *name)
{
    put_t *put = arena_alloc(&call->arena, sizeof(*put));

    put->call = call;
    put->key = key;
    put->name = name;
    put->timer = xcalloc(1, sizeof(*put->timer));
    (void)uv_timer_init(call->daemon->loop, put->timer);
    put->timer->data = put;
    return put;
}

/* Called before the response, which frees the arena that holds put. */
static void
put_free(put_t *put)
{
    uv_close((uv_handle_t *)put->timer, (uv_close_cb)free);
}

/* Responds with an error and returns -1 if If-Match is not a revision. */
static int
read_if_match(control_call_t *call, int64_t *revision)
{
    const char *text = call->if_match;
    char *end = NULL;

    if (text != NULL && isdigit((unsigned char)*text)) {
        errno = 0;
        *revision = strtoll(text, &end, DECIMAL);
    }
    if (end == NULL || *end != '\0' || errno != 0) {
        control_error(call, CONTROL_PRECONDITION_REQUIRED, "invalid",
                      "not-run",
                      "If-Match is no revision: send the revision that you "
                      "have read, or 0 to create");
        return -1;
    }
    return 0;
}

static const contract_t *
check_contract(control_call_t *call, err_t *err)
{
    const contract_t *contract = contract_parse(
        &call->arena, "document", call->body, call->body_bytes, err);

    if (contract == NULL || check_conflicts(call, contract, err) < 0) {
        return NULL;
    }
    return contract;
}

/* An organisation may have each model name from one service only. */
static int
check_conflicts(control_call_t *call, const contract_t *contract, err_t *err)
{
    const node_t *node = dispatch_node(call->daemon->dispatch);
    const char *organisation;
    const char *what;
    size_t count = 0;
    size_t i;
    const node_config_view_t *configs =
        node_configs(node, &call->arena, &count);

    for (i = 0; i < count; i++) {
        const contract_t *other =
            strncmp(configs[i].key, "/agatevale/services/",
                    strlen("/agatevale/services/")) == 0
                ? contract_parse(&call->arena, configs[i].key, configs[i].text,
                                 configs[i].text_bytes, NULL)
                : NULL;

        if (other != NULL &&
            contract_conflicts(contract, other, &organisation, &what)) {
            return err_set(err, ERR_DOCUMENT,
                           "document:1: service %s already gives %s to %s: "
                           "write another name or leave it out",
                           other->service, what, organisation);
        }
    }
    return 0;
}

static void
reject_document(control_call_t *call, const err_t *err)
{
    const char *message = arena_strdup(&call->arena, err->message);

    control_error(call, CONTROL_UNPROCESSABLE, "invalid", "not-run", message);
}

static bool
may_change(const control_call_t *call, const char *team)
{
    return call->role == ROLE_OPERATOR || strcmp(call->principal, team) == 0;
}

/*
 * The team of the stored document decides who may replace it.  If the stored
 * text is the same, the request succeeds: an earlier attempt whose reply was
 * lost may have written it.
 */
static void
read_current(put_t *put)
{
    kv_t *platform = put->call->daemon->platform;

    platform->ops->range(platform, put->key, false, on_current_read, put);
}

static void
on_current_read(void *context, kv_result_t result, int64_t revision,
                const kv_pair_t *pairs, size_t count)
{
    put_t *put = context;
    control_call_t *call = put->call;
    const kv_pair_t *current = count > 0 ? &pairs[0] : NULL;
    const contract_t *current_contract = NULL;

    if (result != KV_OK) {
        retry_later(put, on_retry_read);
        return;
    }
    if (current != NULL && call->service != NULL) {
        current_contract =
            contract_parse(&call->arena, "document", current->value,
                           current->value_bytes, NULL);
    }
    if (current != NULL && call->role == ROLE_TEAM &&
        (current_contract == NULL ||
         !may_change(call, current_contract->team))) {
        put_free(put);
        control_error(call, CONTROL_FORBIDDEN, "forbidden", "not-run",
                      "the service belongs to another team: ask that team "
                      "or an operator");
        return;
    }
    if (current != NULL && has_same_text(put, current)) {
        accept_document(put, current->mod_revision);
        return;
    }
    if ((current == NULL ? 0 : current->mod_revision) != put->replaced) {
        respond_conflict(put, current);
        return;
    }
    put->attempts = 0;
    swap_document(put);
}

/*
 * The same transaction writes the history key, which shows later whether this
 * write took effect.
 */
static void
swap_document(put_t *put)
{
    control_call_t *call = put->call;
    kv_t *platform = call->daemon->platform;
    kv_op_t ops[] = {
        {.verb = KV_PUT,
         .key = put->key,
         .value = call->body,
         .value_bytes = call->body_bytes},
        {.verb = KV_PUT,
         .key = history_key(&call->arena, put->name, put->replaced),
         .value = call->body,
         .value_bytes = call->body_bytes},
    };
    kv_swap_t swap = {
        .key = put->key,
        .mod_revision = put->replaced,
        .ops = ops,
        .op_count = sizeof(ops) / sizeof(ops[0]),
    };

    platform->ops->swap(platform, &swap, 1, on_swap, put);
}

static void
on_swap(void *context, kv_result_t result, int64_t revision,
        const kv_swap_result_t *answers, size_t count)
{
    put_t *put = context;
    control_call_t *call = put->call;

    if (result == KV_INVALID) {
        put_free(put);
        control_error(call, CONTROL_UNPROCESSABLE, "invalid", "not-run",
                      "the store rejected the document: write a shorter one");
        return;
    }
    if (result != KV_OK) {
        put->reply_lost = put->reply_lost || result == KV_OUTCOME_UNKNOWN;
        retry_later(put, on_retry_swap);
        return;
    }
    if (answers[0].succeeded) {
        accept_document(put, revision);
        return;
    }
    resolve_lost_reply(put, &answers[0].held);
}

/* Retries the call after a backoff, or responds with an error. */
static void
retry_later(put_t *put, uv_timer_cb callback)
{
    control_call_t *call = put->call;
    const char *run = put->reply_lost ? "unknown" : "not-run";

    put->attempts++;
    if (put->attempts < ATTEMPTS_MAX) {
        (void)uv_timer_start(put->timer, callback,
                             backoff_next_ms(&put->backoff), 0);
        return;
    }
    put_free(put);
    control_error(call, CONTROL_UNAVAILABLE, "store-unreached", run,
                  "the store did not answer: show the document, then send "
                  "it again");
}

static void
on_retry_read(uv_timer_t *timer)
{
    read_current(timer->data);
}

static void
on_retry_swap(uv_timer_t *timer)
{
    swap_document(timer->data);
}

/*
 * The revision has changed.  If a reply was lost, this request may have
 * changed it: the history entry holds the text that replaced the revision.
 */
static void
resolve_lost_reply(put_t *put, const kv_pair_t *current)
{
    kv_t *platform = put->call->daemon->platform;

    if (!put->reply_lost) {
        respond_conflict(put, current);
        return;
    }
    platform->ops->range(
        platform, history_key(&put->call->arena, put->name, put->replaced),
        false, on_history_read, put);
}

static void
on_history_read(void *context, kv_result_t result, int64_t revision,
                const kv_pair_t *pairs, size_t count)
{
    put_t *put = context;

    if (result != KV_OK) {
        retry_later(put, on_retry_swap);
        return;
    }
    if (count > 0 && has_same_text(put, &pairs[0])) {
        accept_document(put, pairs[0].mod_revision);
        return;
    }
    put->reply_lost = false;
    put->attempts = 0;
    read_current(put);
}

static bool
has_same_text(const put_t *put, const kv_pair_t *pair)
{
    return pair->value_bytes == put->call->body_bytes &&
           memcmp(pair->value, put->call->body, pair->value_bytes) == 0;
}

/* Waits for all hosts to apply the document, then responds. */
static void
accept_document(put_t *put, int64_t revision)
{
    control_call_t *call = put->call;

    log_line(LOG_NOTICE,
             "document accepted key=%s revision=%" PRId64 " caller=%s",
             put->key, revision, call->principal);
    history_prune(call->daemon, put->name);
    put_free(put);
    control_await_propagation(call, put->key, revision);
}

/* current is NULL if the document does not exist. */
static void
respond_conflict(put_t *put, const kv_pair_t *current)
{
    control_call_t *call = put->call;
    bool exists = current != NULL && current->mod_revision != 0;
    text_t json = {0};

    text_printf(&json,
                "{\"error\":{\"kind\":\"conflict\",\"message\":\"the "
                "document has changed: compare, and send it again with "
                "its current revision\",\"run\":\"not-run\"},"
                "\"revision\":%" PRId64 ",\"text\":",
                exists ? current->mod_revision : 0);
    text_json(&json, exists ? current->value : "",
              exists ? current->value_bytes : 0);
    text_puts(&json, "}");
    put_free(put);
    control_respond(call, CONTROL_CONFLICT, &json);
}
