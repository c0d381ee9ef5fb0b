/* control_put.c - the administration API: documents that are changed. */
#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "agated/control.h"
#include "base/log.h"
#include "world/contract.h"
#include "world/fleet.h"

enum { DECIMAL = 10, TRIES_MAX = 4 };

/* A document on its way into the store, and then to all hosts. */
typedef struct {
    control_call_t *call;
    const char *key;  /* of the document */
    const char *name; /* of its history */
    int64_t replaced; /* the revision that it replaces; 0: none */
    uint32_t tries;
    bool lost; /* an answer of the store was lost */
    backoff_t backoff;
    uv_timer_t *timer;
} put_t;

static put_t *put_new(control_call_t *call, const char *key, const char *name);
static void put_free(put_t *put);
static int read_if_match(control_call_t *call, int64_t *revision);
static const contract_t *check_contract(control_call_t *call, err_t *err);
static int check_clash(control_call_t *call, const contract_t *contract,
                       err_t *err);
static void refuse_document(control_call_t *call, const err_t *err);
static bool may_change(const control_call_t *call, const char *team);
static void read_former(put_t *put);
static void on_former(void *context, kv_result_t result, int64_t revision,
                      const kv_pair_t *pairs, size_t count);
static void swap_document(put_t *put);
static void on_swap(void *context, kv_result_t result, int64_t revision,
                    const kv_swap_answer_t *answers, size_t count);
static void retry(put_t *put, uv_timer_cb again);
static void on_retry_former(uv_timer_t *timer);
static void on_retry_swap(uv_timer_t *timer);
static void settle(put_t *put, const kv_pair_t *held);
static void on_settle(void *context, kv_result_t result, int64_t revision,
                      const kv_pair_t *pairs, size_t count);
static bool is_ours(const put_t *put, const kv_pair_t *pair);
static void accept_document(put_t *put, int64_t revision);
static void answer_conflict(put_t *put, const kv_pair_t *held);

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
        refuse_document(call, &err);
        return;
    }
    put = put_new(call, "/agatevale/fleet", "fleet");
    put->replaced = revision;
    read_former(put);
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
        refuse_document(call, &err);
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
    read_former(put);
}

void
control_check_fleet(control_call_t *call)
{
    text_t json = {0};
    err_t err;

    if (fleet_parse(&call->arena, "document", call->body, call->body_bytes,
                    &err) == NULL) {
        refuse_document(call, &err);
        return;
    }
    text_puts(&json, "{\"valid\":true}");
    control_answer(call, CONTROL_OK, &json);
}

void
control_check_service(control_call_t *call)
{
    text_t json = {0};
    err_t err;
    const contract_t *contract = check_contract(call, &err);

    if (contract == NULL) {
        refuse_document(call, &err);
        return;
    }
    text_puts(&json, "{\"valid\":true,\"service\":");
    text_json_string(&json, contract->service);
    text_puts(&json, "}");
    control_answer(call, CONTROL_OK, &json);
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

/* Before the call is answered, in whose arena the rest lives. */
static void
put_free(put_t *put)
{
    uv_close((uv_handle_t *)put->timer, (uv_close_cb)free);
}

/* Answers the call and returns -1 when If-Match is no revision. */
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
        control_error(call, CONTROL_PRECONDITION, "invalid", "not-run",
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

    if (contract == NULL || check_clash(call, contract, err) < 0) {
        return NULL;
    }
    return contract;
}

/* A model's name belongs to one service for each organisation. */
static int
check_clash(control_call_t *call, const contract_t *contract, err_t *err)
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
                           "document:1: service %s gives %s to %s already: "
                           "write another name or leave it out",
                           other->service, what, organisation);
        }
    }
    return 0;
}

static void
refuse_document(control_call_t *call, const err_t *err)
{
    const char *message = arena_strdup(&call->arena, err->message);

    control_error(call, CONTROL_UNPROCESSABLE, "invalid", "not-run", message);
}

static bool
may_change(const control_call_t *call, const char *team)
{
    return call->role == ROLE_OPERATOR || strcmp(call->caller, team) == 0;
}

/*
 * Whose document it is now decides who may replace it.  The same text is
 * accepted as it stands: it may be our own, whose answer was lost.
 */
static void
read_former(put_t *put)
{
    kv_t *platform = put->call->daemon->platform;

    platform->ops->range(platform, put->key, false, on_former, put);
}

static void
on_former(void *context, kv_result_t result, int64_t revision,
          const kv_pair_t *pairs, size_t count)
{
    put_t *put = context;
    control_call_t *call = put->call;
    const kv_pair_t *held = count > 0 ? &pairs[0] : NULL;
    const contract_t *former = NULL;

    if (result != KV_OK) {
        retry(put, on_retry_former);
        return;
    }
    if (held != NULL && call->service != NULL) {
        former = contract_parse(&call->arena, "document", held->value,
                                held->value_bytes, NULL);
    }
    if (held != NULL && call->role == ROLE_TEAM &&
        (former == NULL || !may_change(call, former->team))) {
        put_free(put);
        control_error(call, CONTROL_FORBIDDEN, "forbidden", "not-run",
                      "the service is another team's: ask it, or an "
                      "operator");
        return;
    }
    if (held != NULL && is_ours(put, held)) {
        accept_document(put, held->mod_revision);
        return;
    }
    if ((held == NULL ? 0 : held->mod_revision) != put->replaced) {
        answer_conflict(put, held);
        return;
    }
    put->tries = 0;
    swap_document(put);
}

/* The history's key is written in the same swap, and is its mark. */
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
        const kv_swap_answer_t *answers, size_t count)
{
    put_t *put = context;
    control_call_t *call = put->call;

    if (result == KV_INVALID) {
        put_free(put);
        control_error(call, CONTROL_UNPROCESSABLE, "invalid", "not-run",
                      "the store refuses the document: write a shorter one");
        return;
    }
    if (result != KV_OK) {
        put->lost = put->lost || result == KV_LOST;
        retry(put, on_retry_swap);
        return;
    }
    if (answers[0].won) {
        accept_document(put, revision);
        return;
    }
    settle(put, &answers[0].held);
}

/* Makes the same call again after a while, or gives up. */
static void
retry(put_t *put, uv_timer_cb again)
{
    control_call_t *call = put->call;
    const char *run = put->lost ? "unknown" : "not-run";

    put->tries++;
    if (put->tries < TRIES_MAX) {
        (void)uv_timer_start(put->timer, again, backoff_next_ms(&put->backoff),
                             0);
        return;
    }
    put_free(put);
    control_error(call, CONTROL_UNAVAILABLE, "store-unreached", run,
                  "the store did not answer: show the document, then send "
                  "it again");
}

static void
on_retry_former(uv_timer_t *timer)
{
    read_former(timer->data);
}

static void
on_retry_swap(uv_timer_t *timer)
{
    swap_document(timer->data);
}

/*
 * The key is not as it was.  After a lost answer that may be our own work:
 * whoever replaced this revision wrote its text into the history.
 */
static void
settle(put_t *put, const kv_pair_t *held)
{
    kv_t *platform = put->call->daemon->platform;

    if (!put->lost) {
        answer_conflict(put, held);
        return;
    }
    platform->ops->range(
        platform, history_key(&put->call->arena, put->name, put->replaced),
        false, on_settle, put);
}

static void
on_settle(void *context, kv_result_t result, int64_t revision,
          const kv_pair_t *pairs, size_t count)
{
    put_t *put = context;

    if (result != KV_OK) {
        retry(put, on_retry_swap);
        return;
    }
    if (count > 0 && is_ours(put, &pairs[0])) {
        accept_document(put, pairs[0].mod_revision);
        return;
    }
    put->lost = false;
    put->tries = 0;
    read_former(put);
}

static bool
is_ours(const put_t *put, const kv_pair_t *pair)
{
    return pair->value_bytes == put->call->body_bytes &&
           memcmp(pair->value, put->call->body, pair->value_bytes) == 0;
}

/* From here on the hosts are watched until all have it in force. */
static void
accept_document(put_t *put, int64_t revision)
{
    control_call_t *call = put->call;

    log_line(LOG_NOTICE,
             "document accepted key=%s revision=%" PRId64 " caller=%s",
             put->key, revision, call->caller);
    history_prune(call->daemon, put->name);
    put_free(put);
    control_await_spread(call, put->key, revision);
}

/* held is NULL when the document does not exist. */
static void
answer_conflict(put_t *put, const kv_pair_t *held)
{
    control_call_t *call = put->call;
    bool exists = held != NULL && held->mod_revision != 0;
    text_t json = {0};

    text_printf(&json,
                "{\"error\":{\"kind\":\"conflict\",\"message\":\"somebody "
                "changed it first: compare, and send it again with the "
                "revision that it has now\",\"run\":\"not-run\"},"
                "\"revision\":%" PRId64 ",\"text\":",
                exists ? held->mod_revision : 0);
    text_json(&json, exists ? held->value : "",
              exists ? held->value_bytes : 0);
    text_puts(&json, "}");
    put_free(put);
    control_answer(call, CONTROL_CONFLICT, &json);
}
