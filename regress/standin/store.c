/* store.c - stands in for the platform's key-value service. */
#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <uv.h>

#include "regress/standin/server.h"
#include "regress/standin/store.h"

enum { TICK_MS = 50, REQUEST_BYTES_MAX = 1536 * 1024 };

typedef enum { USER_WATCH, USER_HELD } user_kind_t;

/* What stands behind an open connection: a watch, or a call held back. */
typedef struct user user_t;
struct user {
    user_kind_t kind;
    server_conn_t *conn; /* NULL: gone */
    user_t *next;
    blob_t key;
    blob_t range_end;
    int64_t next_revision;
    uint64_t due_ms; /* when a held call is served; 0: it is dropped */
    char *path;
    char *body;
    size_t body_bytes;
};

static uv_loop_t *loop;
static uint32_t port;
static user_t *users;
static json_t *stats;
static uint64_t down_until_ms;
static uint64_t slow_ms;
static int64_t lose_answers;

static user_t *user_add(server_conn_t *conn, user_kind_t kind);
static void user_free(user_t *user);
static void send_json(server_conn_t *conn, int status, json_t *json);
static void send_line(server_conn_t *conn, json_t *result);
static void count(const char *path);
static void set_fault(server_conn_t *conn, const json_t *body);
static void start_watch(server_conn_t *conn, const json_t *body);
static void serve_watches(void);
static json_t *call(const char *path, json_t *body, const char **error);
static void serve(server_conn_t *conn, const char *path, const char *bytes,
                  size_t length);
static void on_request(server_conn_t *conn, const server_request_t *request);
static void on_gone(void *user);
static void on_tick(uv_timer_t *timer);

static user_t *
user_add(server_conn_t *conn, user_kind_t kind)
{
    user_t *user = calloc(1, sizeof(*user));

    user->kind = kind;
    user->conn = conn;
    user->next = users;
    users = user;
    server_watch(conn, user);
    return user;
}

static void
user_free(user_t *user)
{
    free(user->key.bytes);
    free(user->range_end.bytes);
    free(user->path);
    free(user->body);
    free(user);
}

static void
on_gone(void *context)
{
    user_t *user = context;

    user->conn = NULL;
}

static void
send_json(server_conn_t *conn, int status, json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);

    server_reply(conn, status, "application/json", text, strlen(text));
    free(text);
    json_decref(json);
}

static void
send_line(server_conn_t *conn, json_t *result)
{
    json_t *json = json_pack("{s:o}", "result", result);
    char *text = json_dumps(json, JSON_COMPACT);
    size_t length = strlen(text);

    text[length] = '\n';
    server_stream_write(conn, text, length + 1);
    free(text);
    json_decref(json);
}

static void
count(const char *path)
{
    json_t *held = json_object_get(stats, path);

    json_object_set_new(stats, path,
                        json_integer(json_integer_value(held) + 1));
}

static void
set_fault(server_conn_t *conn, const json_t *body)
{
    json_t *field;
    user_t *user;

    if ((field = json_object_get(body, "lose_answers")) != NULL) {
        lose_answers = json_integer_value(field);
    }
    if ((field = json_object_get(body, "slow_ms")) != NULL) {
        slow_ms = (uint64_t)json_integer_value(field);
    }
    if ((field = json_object_get(body, "down_ms")) != NULL) {
        down_until_ms = uv_now(loop) + (uint64_t)json_integer_value(field);
        lease_extend(down_until_ms);
        for (user = users; user != NULL; user = user->next) {
            if (user->conn != NULL) {
                server_drop(user->conn);
            }
        }
    }
    send_json(conn, 200, json_object());
}

static void
start_watch(server_conn_t *conn, const json_t *body)
{
    json_t *create = json_field(body, "create_request"), *result;
    user_t *user = user_add(conn, USER_WATCH);

    user->key = json_blob(create, "key");
    user->range_end = json_blob(create, "range_end");
    user->next_revision = json_number(create, "start_revision");
    server_stream_begin(conn, "application/json");
    result = json_pack("{s:o, s:b}", "header", kv_header(), "created", 1);
    if (user->next_revision != 0 && user->next_revision < history_first()) {
        json_object_set_new(result, "canceled", json_true());
        json_object_set_new(result, "compact_revision",
                            json_int64(history_first()));
        send_line(conn, result);
        server_stream_end(conn);
        user->conn = NULL;
        return;
    }
    if (user->next_revision == 0) {
        user->next_revision = kv_revision() + 1;
    }
    send_line(conn, result);
}

static void
serve_watches(void)
{
    user_t *user;
    json_t *events;

    for (user = users; user != NULL; user = user->next) {
        if (user->kind != USER_WATCH || user->conn == NULL ||
            user->next_revision > kv_revision()) {
            continue;
        }
        events =
            history_since(user->next_revision, &user->key, &user->range_end);
        user->next_revision = kv_revision() + 1;
        if (json_array_size(events) == 0) {
            json_decref(events);
            continue;
        }
        send_line(user->conn, json_pack("{s:o, s:o}", "header", kv_header(),
                                        "events", events));
    }
}

static json_t *
call(const char *path, json_t *body, const char **error)
{
    kv_begin();
    if (strcmp(path, "/v3/kv/range") == 0) {
        return kv_range(body);
    }
    if (strcmp(path, "/v3/kv/put") == 0) {
        return kv_put(body, error);
    }
    if (strcmp(path, "/v3/kv/deleterange") == 0) {
        return kv_delete(body);
    }
    if (strcmp(path, "/v3/kv/txn") == 0) {
        return txn_run(body, error);
    }
    if (strcmp(path, "/v3/lease/grant") == 0) {
        return lease_grant(body, uv_now(loop));
    }
    if (strcmp(path, "/v3/lease/keepalive") == 0) {
        return lease_keepalive(body, uv_now(loop));
    }
    if (strcmp(path, "/v3/lease/revoke") == 0 ||
        strcmp(path, "/v3/kv/lease/revoke") == 0) {
        return lease_revoke(body, error);
    }
    *error = "no such path";
    return NULL;
}

static void
serve(server_conn_t *conn, const char *path, const char *bytes, size_t length)
{
    json_t *body = json_loadb(bytes, length, 0, NULL), *answer = NULL;
    const char *error = "the body is no JSON object";
    bool txn = strcmp(path, "/v3/kv/txn") == 0;

    if (length > REQUEST_BYTES_MAX) {
        error = "etcdserver: request is too large";
    }
    else if (json_is_object(body) && strcmp(path, "/v3/watch") == 0) {
        start_watch(conn, body);
        goto done;
    }
    else if (json_is_object(body)) {
        answer = call(path, body, &error);
    }
    if (txn && answer != NULL && lose_answers > 0) {
        lose_answers--;
        json_decref(answer);
        server_drop(conn);
    }
    else if (answer != NULL) {
        send_json(conn, 200, answer);
    }
    else {
        send_json(conn, 400,
                  json_pack("{s:s, s:s, s:i}", "error", error, "message",
                            error, "code", 3));
    }

done:
    json_decref(body);
    serve_watches();
}

static void
on_request(server_conn_t *conn, const server_request_t *request)
{
    uint64_t now_ms = uv_now(loop);
    user_t *user;
    json_t *body;

    if (strcmp(request->path, "/fault") == 0) {
        body = json_loadb(request->body, request->body_bytes, 0, NULL);
        set_fault(conn, body);
        json_decref(body);
        return;
    }
    if (strcmp(request->path, "/stats") == 0) {
        send_json(conn, 200, json_incref(stats));
        return;
    }
    count(request->path);
    if (now_ms >= down_until_ms && slow_ms == 0) {
        serve(conn, request->path, request->body, request->body_bytes);
        return;
    }
    user = user_add(conn, USER_HELD);
    user->due_ms = now_ms < down_until_ms ? 0 : now_ms + slow_ms;
    user->path = strdup(request->path);
    user->body = strndup(request->body, request->body_bytes);
    user->body_bytes = request->body_bytes;
}

/* Serves held calls that are due and forgets users that are gone. */
static void
on_tick(uv_timer_t *timer)
{
    uint64_t now_ms = uv_now(loop);
    user_t **at = &users, *user;
    server_conn_t *conn;

    if (now_ms >= down_until_ms) {
        lease_expire(now_ms);
        serve_watches();
    }
    while ((user = *at) != NULL) {
        conn = user->conn;
        if (conn != NULL && user->kind == USER_HELD &&
            now_ms >= down_until_ms && now_ms >= user->due_ms) {
            server_watch(conn, NULL);
            user->conn = NULL;
            if (user->due_ms == 0) {
                server_drop(conn);
            }
            else {
                serve(conn, user->path, user->body, user->body_bytes);
            }
        }
        if (*at == user && user->conn == NULL) {
            *at = user->next;
            user_free(user);
            continue;
        }
        at = &(*at)->next;
    }
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    if (key != 'p') {
        return ARGP_ERR_UNKNOWN;
    }
    port = (uint32_t)atoi(arg);
    return 0;
}

int
main(int argc, char **argv)
{
    static const struct argp_option known[] = {
        {"port", 'p', "N", 0, "port on 127.0.0.1; 0: any", 0}, {0}};
    static const struct argp argp = {
        known, parse_option,
        NULL,  "Stands in for a key-value service (etcd v3 JSON mapping).",
        NULL,  NULL,
        NULL};
    static const server_ops_t ops = {on_request, on_gone};
    uv_timer_t tick;

    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    signal(SIGPIPE, SIG_IGN);
    loop = uv_default_loop();
    stats = json_object();
    server_listen(loop, (uint16_t)port, &ops);
    uv_timer_init(loop, &tick);
    uv_timer_start(&tick, on_tick, TICK_MS, TICK_MS);
    return uv_run(loop, UV_RUN_DEFAULT);
}
