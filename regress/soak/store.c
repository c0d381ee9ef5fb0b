/*
 * store.c - the platform's store, as its pages say, in the driver.
 *
 * The state is that of kv/store.h; here are its calls over HTTP and what may
 * go wrong with them.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <jansson.h>

#include "base/arena.h"
#include "base/text.h"
#include "kv/base64.h"
#include "kv/store.h"
#include "regress/soak/soak.h"
#include "regress/standin/server.h"

enum {
    TICK_MS = 50,
    SLOW_MS = 150,
    PATH_BYTES = 256,
    DECIMAL = 10,
    MS_PER_S = 1000,
    LEASE_MS_MIN = 1000,
};

/* A call that is not answered yet: a watch, or one that is slow. */
typedef struct waiting {
    LIST_ENTRY(waiting) entry;
    server_conn_t *conn; /* NULL: gone */
    char prefix[PATH_BYTES];
    int64_t after;
    uint64_t due_ms;
    char *answer; /* of a slow call; NULL: a watch */
    int status;
} waiting_t;

static struct {
    server_t *server;
    store_t *store;
    uv_timer_t timer;
    LIST_HEAD(, waiting) waiting;
    store_mode_t mode;
    uint64_t calm_ms;
    uint32_t lose;
    int64_t history_from; /* older changes are forgotten */
} state;

static void on_request(server_conn_t *conn, const server_request_t *request);
static void on_gone(void *user);
static void on_tick(uv_timer_t *timer);
static void on_changed(void *context, const kv_pair_t *pair);
static void answer(server_conn_t *conn, int status, char *body);

static const server_ops_t ops = {on_request, on_gone};

void
soak_store_open(void)
{
    state.store = store_new(on_changed, NULL);
    state.server = server_open(soak_loop(), 0, &ops, NULL);
    LIST_INIT(&state.waiting);
    (void)uv_timer_init(soak_loop(), &state.timer);
    (void)uv_timer_start(&state.timer, on_tick, TICK_MS, TICK_MS);
}

uint16_t
soak_store_port(void)
{
    return server_port(state.server);
}

void
soak_store_put(const char *key, const char *value)
{
    arena_t arena = {0};
    kv_op_t op = {.verb = value[0] != '\0' ? KV_PUT : KV_DELETE,
                  .key = key,
                  .value = value,
                  .value_bytes = strlen(value)};
    size_t count;
    kv_pair_t *held = store_range(state.store, &arena, key, false, &count);
    kv_swap_t swap = {.key = key,
                      .mod_revision = count > 0 ? held[0].mod_revision : 0,
                      .ops = &op,
                      .op_count = 1};
    kv_swap_result_t swapped;

    (void)store_swap(state.store, &arena, &swap, 1, &swapped);
    arena_free(&arena);
}

void
soak_store_mode(store_mode_t mode)
{
    waiting_t *waiting;
    waiting_t *next;

    state.mode = mode;
    state.calm_ms = soak_now_ms();
    if (mode != STORE_DOWN) {
        return;
    }
    for (waiting = LIST_FIRST(&state.waiting); waiting != NULL;
         waiting = next) {
        next = LIST_NEXT(waiting, entry);
        if (waiting->conn != NULL) {
            server_reset(waiting->conn);
        }
    }
}

void
soak_store_lose(uint32_t writes)
{
    state.lose = writes;
    state.calm_ms = soak_now_ms();
}

void
soak_store_compact(void)
{
    state.history_from = store_revision(state.store);
    state.calm_ms = soak_now_ms();
}

bool
soak_store_is_calm(uint64_t before_ms)
{
    return state.mode == STORE_ANSWERS &&
           state.calm_ms + SOAK_CALM_MS <= before_ms;
}

static void
on_changed(void *context, const kv_pair_t *pair)
{
}

/* The value of a word of the query, decoded. */
static void
query_value(const char *query, const char *name, char *value, size_t size)
{
    size_t name_bytes = strlen(name);
    size_t length = 0;

    while (*query != '\0' && (strncmp(query, name, name_bytes) != 0 ||
                              query[name_bytes] != '=')) {
        query += strcspn(query, "&");
        query += *query == '&' ? 1 : 0;
    }
    query += *query != '\0' ? name_bytes + 1 : 0;
    while (*query != '\0' && *query != '&' && length + 1 < size) {
        if (*query == '%') {
            char digits[] = {query[1], query[2], '\0'};

            value[length] = (char)strtol(digits, NULL, 16);
            query += 3;
        }
        else {
            value[length] = *query;
            query++;
        }
        length++;
    }
    value[length] = '\0';
}

static void
write_item(text_t *body, const kv_pair_t *pair)
{
    arena_t arena = {0};

    text_puts(body, "{\"Key\":");
    text_json_string(body, pair->key);
    if (pair->create_revision == 0) {
        text_printf(body, ",\"Revision\":%" PRId64 ",\"Removed\":true}",
                    pair->mod_revision);
        return;
    }
    text_puts(body, ",\"Value\":");
    text_json_string(body,
                     base64_encode(&arena, pair->value, pair->value_bytes));
    text_printf(body,
                ",\"Revision\":%" PRId64 ",\"Created\":%" PRId64
                ",\"Lease\":%" PRId64 "}",
                pair->mod_revision, pair->create_revision, pair->lease);
    arena_free(&arena);
}

static void
add_event(void *context, const kv_pair_t *pair)
{
    text_t *body = context;

    text_puts(body, body->bytes[body->length - 1] == '[' ? "" : ",");
    write_item(body, pair);
}

static char *
finish(text_t *body)
{
    text_append(body, "", 1);
    return body->bytes;
}

static char *
range_body(const char *prefix)
{
    arena_t arena = {0};
    text_t body = {0};
    size_t count;
    kv_pair_t *pairs = store_range(state.store, &arena, prefix, true, &count);
    size_t i;

    text_puts(&body, "{\"Items\":[");
    for (i = 0; i < count; i++) {
        text_puts(&body, i > 0 ? "," : "");
        write_item(&body, &pairs[i]);
    }
    text_printf(&body, "],\"Truncated\":false,\"StoreRevision\":%" PRId64 "}",
                store_revision(state.store));
    arena_free(&arena);
    return finish(&body);
}

/* NULL: nothing has changed. */
static char *
watch_body(const char *prefix, int64_t after, int *status)
{
    text_t body = {0};
    int64_t compacted = 0;

    *status = 200;
    text_puts(&body, "{\"events\":[");
    if (after < state.history_from ||
        !store_replay_changes(state.store, prefix, after + 1, add_event, &body,
                              &compacted)) {
        *status = 410;
        text_free(&body);
        return strdup("{}");
    }
    if (body.bytes[body.length - 1] == '[') {
        text_free(&body);
        return NULL;
    }
    text_printf(&body, "],\"StoreRevision\":%" PRId64 "}",
                store_revision(state.store));
    return finish(&body);
}

static char *
empty_watch_body(int64_t after)
{
    text_t body = {0};

    text_printf(&body, "{\"events\":[],\"StoreRevision\":%" PRId64 "}", after);
    return finish(&body);
}

/* One expected row, as this system writes; the lease must be known. */
static char *
txn_body(const json_t *root, int *status)
{
    const json_t *expected =
        json_array_get(json_object_get(root, "ExpectedRev"), 0);
    const json_t *sets = json_object_get(root, "SetKeys");
    const json_t *removes = json_object_get(root, "Remove");
    size_t count = json_array_size(sets) + json_array_size(removes);
    arena_t arena = {0};
    kv_op_t *op_list = arena_array(&arena, count + 1, sizeof(*op_list));
    kv_swap_t swap = {
        .key = json_string_value(json_object_get(expected, "Key")),
        .mod_revision =
            json_integer_value(json_object_get(expected, "Revision")),
        .ops = op_list,
        .op_count = count,
    };
    kv_swap_result_t swapped = {0};
    kv_result_t result;
    text_t body = {0};
    size_t i;

    for (i = 0; i < json_array_size(sets); i++) {
        const json_t *set = json_array_get(sets, i);
        kv_op_t *op = &op_list[i];

        op->verb = KV_PUT;
        op->key = json_string_value(json_object_get(set, "Key"));
        op->value = base64_decode(
            &arena, json_string_value(json_object_get(set, "Value")),
            &op->value_bytes);
        op->lease = json_integer_value(json_object_get(set, "Lease"));
    }
    for (; i < count; i++) {
        op_list[i].verb = KV_DELETE;
        op_list[i].key = json_string_value(
            json_array_get(removes, i - json_array_size(sets)));
    }
    result = store_swap(state.store, &arena, &swap, 1, &swapped);
    if (result != KV_OK) {
        *status = 404;
        text_puts(&body, "{}");
    }
    else if (!swapped.succeeded) {
        *status = 412;
        text_puts(&body, "{\"Items\":[");
        if (swapped.held.mod_revision > 0) {
            write_item(&body, &swapped.held);
        }
        text_puts(&body, "]}");
    }
    else {
        *status = 200;
        text_printf(&body, "{\"Revision\":%" PRId64 "}",
                    store_revision(state.store));
    }
    arena_free(&arena);
    return finish(&body);
}

static char *
lease_body(const char *method, const char *path, const json_t *root,
           int *status)
{
    static const char keep[] = "/v1/kv-keep/";
    static const char end[] = "/v1/kv-lease-end/";
    text_t body = {0};
    int64_t ttl_ms = json_integer_value(json_object_get(root, "TtlMs"));
    int64_t lease = 0;

    *status = 200;
    if (strcmp(path, "/v1/kv-lease") == 0) {
        ttl_ms = ttl_ms < LEASE_MS_MIN ? LEASE_MS_MIN : ttl_ms;
        lease = store_grant_lease(state.store, ttl_ms / MS_PER_S,
                                  (int64_t)soak_now_ms());
    }
    else if (strncmp(path, keep, strlen(keep)) == 0) {
        lease = strtoll(path + strlen(keep), NULL, DECIMAL);
        ttl_ms =
            store_renew_lease(state.store, lease, (int64_t)soak_now_ms()) *
            MS_PER_S;
        *status = ttl_ms > 0 ? 200 : 404;
    }
    else if (strcmp(method, "DELETE") == 0 &&
             strncmp(path, end, strlen(end)) == 0) {
        lease = strtoll(path + strlen(end), NULL, DECIMAL);
        *status = store_revoke_lease(state.store, lease) ? 200 : 404;
    }
    else {
        *status = 400;
    }
    text_printf(&body, "{\"Lease\":%" PRId64 ",\"TtlMs\":%" PRId64 "}", lease,
                ttl_ms);
    return finish(&body);
}

static waiting_t *
wait_add(server_conn_t *conn, uint64_t for_ms)
{
    waiting_t *waiting = calloc(1, sizeof(*waiting));

    waiting->conn = conn;
    waiting->due_ms = soak_now_ms() + for_ms;
    LIST_INSERT_HEAD(&state.waiting, waiting, entry);
    server_watch(conn, waiting);
    return waiting;
}

static void
serve_watch(server_conn_t *conn, const server_request_t *request)
{
    char prefix[PATH_BYTES];
    char number[PATH_BYTES];
    int64_t after;
    int status;
    char *body;
    waiting_t *waiting;

    query_value(request->query, "PathPrefix", prefix, sizeof(prefix));
    query_value(request->query, "After", number, sizeof(number));
    after = strtoll(number, NULL, DECIMAL);
    body = watch_body(prefix, after, &status);
    if (body != NULL) {
        answer(conn, status, body);
        return;
    }
    query_value(request->query, "WaitMs", number, sizeof(number));
    waiting = wait_add(conn, strtoull(number, NULL, DECIMAL));
    (void)snprintf(waiting->prefix, sizeof(waiting->prefix), "%s", prefix);
    waiting->after = after;
}

static void
on_request(server_conn_t *conn, const server_request_t *request)
{
    bool write = strcmp(request->method, "GET") != 0;
    json_t *root;
    int status = 200;
    char prefix[PATH_BYTES];
    char *body;

    if (state.mode == STORE_DOWN) {
        server_reset(conn);
        return;
    }
    if (state.mode == STORE_BUSY) {
        answer(conn, 503, strdup("{}"));
        return;
    }
    if (strcmp(request->path, "/v1/kv-watch") == 0) {
        serve_watch(conn, request);
        return;
    }
    root = json_loadb(request->body, request->body_bytes, 0, NULL);
    if (strcmp(request->path, "/v1/kv-range") == 0) {
        query_value(request->query, "PathPrefix", prefix, sizeof(prefix));
        body = range_body(prefix);
    }
    else if (strcmp(request->path, "/v1/kv-txn") == 0) {
        body = txn_body(root, &status);
    }
    else {
        body = lease_body(request->method, request->path, root, &status);
    }
    json_decref(root);
    if (write && state.lose > 0) {
        state.lose--;
        free(body);
        server_reset(conn);
        return;
    }
    if (state.mode == STORE_SLOW) {
        waiting_t *waiting = wait_add(conn, SLOW_MS);

        waiting->answer = body;
        waiting->status = status;
        return;
    }
    answer(conn, status, body);
}

/* Takes the body over. */
static void
answer(server_conn_t *conn, int status, char *body)
{
    server_reply(conn, status, "application/json", body, strlen(body));
    free(body);
}

static void
on_gone(void *user)
{
    ((waiting_t *)user)->conn = NULL;
}

static void
on_tick(uv_timer_t *timer)
{
    uint64_t now_ms = soak_now_ms();
    waiting_t *waiting;
    waiting_t *next;

    store_expire_leases(state.store, (int64_t)now_ms);
    for (waiting = LIST_FIRST(&state.waiting); waiting != NULL;
         waiting = next) {
        server_conn_t *conn = waiting->conn;
        char *body = waiting->answer;
        int status = waiting->status;

        next = LIST_NEXT(waiting, entry);
        if (conn != NULL && body == NULL) {
            body = watch_body(waiting->prefix, waiting->after, &status);
            if (body == NULL && now_ms >= waiting->due_ms) {
                body = empty_watch_body(waiting->after);
            }
        }
        else if (now_ms < waiting->due_ms) {
            continue;
        }
        if (conn != NULL && body == NULL) {
            continue;
        }
        LIST_REMOVE(waiting, entry);
        free(waiting);
        if (conn == NULL) {
            free(body);
            continue;
        }
        server_watch(conn, NULL);
        answer(conn, status, body);
    }
}
