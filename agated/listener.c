/* listener.c - accepts HTTP connections and routes requests. */
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <xxhash.h>

#include "agated/control.h"
#include "agated/exchange.h"
#include "agated/tls.h"
#include "base/log.h"
#include "http/accept.h"

enum {
    BACKLOG = 1024,
    DISCONNECT_CHECK_INTERVAL_MS = 200,
    SHUTDOWN_CHECK_INTERVAL_MS = 20,
    IDLE_CHECKS = 3,
    STATUS_NOT_FOUND = 404,
    STATUS_TOO_LARGE = 413
};

struct listener {
    daemon_t *daemon;
    uv_tcp_t *socket;
    char address[ADDRESS_TEXT_BYTES];
    h2o_globalconf_t config;
    h2o_context_t context;
    h2o_accept_ctx_t accept;
    uv_timer_t *timer;
    uint64_t exchanges_accepted;
    connection_list_t connections;
    uint32_t idle_checks;  /* consecutive, during shutdown */
    exchange_t *exchanges; /* keyed by number */
};

/* An h2o handler with a pointer to its listener. */
typedef struct {
    h2o_handler_t super;
    listener_t *listener;
} route_t;

static void configure(listener_t *listener);
static void on_connection(uv_stream_t *server, int status);
static int on_request(h2o_handler_t *handler, h2o_req_t *req);
static bool serve_view(listener_t *listener, h2o_req_t *req);
static bool path_equals(const h2o_req_t *req, const char *path);
static bool path_has_prefix(const h2o_req_t *req, const char *prefix);
static void on_setup_ostream(h2o_filter_t *filter, h2o_req_t *req,
                             h2o_ostream_t **slot);
static void send_too_large(h2o_ostream_t *ostream, h2o_req_t *req,
                           h2o_iovec_t *bufs, size_t count,
                           h2o_send_state_t state);
static void on_disconnect_check(uv_timer_t *timer);
static void on_shutdown_check(uv_timer_t *timer);
static uint64_t action_exchange_number(const action_t *action);

static const char too_large_body[] =
    "{\"error\":{\"kind\":\"invalid\",\"message\":\"the body is too large: "
    "send a shorter one\",\"run\":\"not-run\"}}";

listener_t *
listener_new(daemon_t *daemon, err_t *err)
{
    listener_t *listener = xcalloc(1, sizeof(*listener));

    listener->daemon = daemon;
    listener->socket =
        accept_bind_socket(daemon->loop, daemon->settings->listen_address,
                           listener->address, err);
    if (listener->socket == NULL) {
        free(listener);
        return NULL;
    }
    listener->socket->data = listener;
    configure(listener);
    if (listener_reload(listener, err) < 0) {
        listener->timer = NULL;
        listener_free(listener);
        return NULL;
    }
    listener->timer = xcalloc(1, sizeof(*listener->timer));
    (void)uv_timer_init(daemon->loop, listener->timer);
    listener->timer->data = listener;
    return listener;
}

/* Open connections keep the certificate of their handshake. */
int
listener_reload(listener_t *listener, err_t *err)
{
    const settings_t *settings = listener->daemon->settings;
    SSL_CTX *context;

    if (settings->tls_certificate == NULL) {
        return 0;
    }
    context =
        tls_context_new(settings->tls_certificate, settings->tls_key, err);
    if (context == NULL) {
        return -1;
    }
    SSL_CTX_free(listener->accept.ssl_ctx);
    listener->accept.ssl_ctx = context;
    return 0;
}

const char *
listener_address(const listener_t *listener)
{
    return listener->address;
}

void
listener_start(listener_t *listener)
{
    int result =
        uv_listen((uv_stream_t *)listener->socket, BACKLOG, on_connection);

    if (result < 0) {
        log_line(LOG_ERR, "cannot listen address=%s reason=%s",
                 listener->address, uv_strerror(result));
        uv_stop(listener->daemon->loop);
        return;
    }
    (void)uv_timer_start(listener->timer, on_disconnect_check,
                         DISCONNECT_CHECK_INTERVAL_MS,
                         DISCONNECT_CHECK_INTERVAL_MS);
    log_line(LOG_NOTICE, "listening address=%s", listener->address);
}

void
listener_stop(listener_t *listener)
{
    if (listener->socket == NULL) {
        return;
    }
    accept_close_socket(listener->socket);
    listener->socket = NULL;
    h2o_context_request_shutdown(&listener->context);
    (void)uv_timer_start(listener->timer, on_shutdown_check, 0,
                         SHUTDOWN_CHECK_INTERVAL_MS);
}

void
listener_free(listener_t *listener)
{
    if (listener == NULL) {
        return;
    }
    accept_close_socket(listener->socket);
    if (listener->timer != NULL) {
        uv_close((uv_handle_t *)listener->timer, (uv_close_cb)free);
    }
    SSL_CTX_free(listener->accept.ssl_ctx);
    /*
     * h2o sends two HTTP/2 GOAWAY frames a second apart; cancel the timer of
     * the second.
     */
    if (h2o_timeout_is_linked(
            &listener->context.http2._graceful_shutdown_timeout)) {
        h2o_timeout_unlink(
            &listener->context.http2._graceful_shutdown_timeout);
    }
    h2o_context_dispose(&listener->context);
    h2o_config_dispose(&listener->config);
    free(listener);
}

void
listener_apply_action(listener_t *listener, const action_t *action)
{
    uint64_t number = action_exchange_number(action);
    exchange_t *exchange;

    HASH_FIND(hh, listener->exchanges, &number, sizeof(number), exchange);
    if (exchange != NULL) {
        exchange_apply_action(exchange, action);
    }
}

const request_body_t *
listener_find_body(const listener_t *listener, uint64_t number)
{
    exchange_t *exchange;

    HASH_FIND(hh, listener->exchanges, &number, sizeof(number), exchange);
    return exchange == NULL || exchange->body_released ? NULL
                                                       : &exchange->body;
}

static void
configure(listener_t *listener)
{
    const settings_t *settings = listener->daemon->settings;
    h2o_globalconf_t *config = &listener->config;
    h2o_hostconf_t *host;
    h2o_pathconf_t *path;
    h2o_filter_t *filter;
    route_t *route;

    h2o_config_init(config);
    config->server_name = h2o_iovec_init(H2O_STRLIT("agated"));
    config->max_request_entity_size = settings->body_max_bytes;
    config->http1.req_timeout = settings->header_timeout_ms;
    host = h2o_config_register_host(
        config, h2o_iovec_init(H2O_STRLIT("default")), UINT16_MAX);
    path = h2o_config_register_path(host, "/", 0);
    route = (route_t *)h2o_create_handler(path, sizeof(*route));
    route->super.on_req = on_request;
    route->listener = listener;
    /* h2o rejects an oversized body itself before it selects a path. */
    filter = h2o_create_filter(&host->fallback_path, sizeof(*filter));
    filter->on_setup_ostream = on_setup_ostream;
    filter = h2o_create_filter(path, sizeof(*filter));
    filter->on_setup_ostream = on_setup_ostream;
    h2o_context_init(&listener->context, listener->daemon->loop, config);
    listener->accept.ctx = &listener->context;
    listener->accept.hosts = config->hosts;
}

static void
on_connection(uv_stream_t *server, int status)
{
    listener_t *listener = server->data;

    (void)accept_connection(server, status, &listener->accept,
                            &listener->connections);
}

static int
on_request(h2o_handler_t *handler, h2o_req_t *req)
{
    listener_t *listener = ((route_t *)handler)->listener;
    refuse_request_action_t refusal;

    if (path_equals(req, "/v1/completions") ||
        path_equals(req, "/v1/chat/completions") ||
        path_has_prefix(req, "/services/")) {
        listener->exchanges_accepted++;
        exchange_accept(listener->daemon, &listener->exchanges,
                        listener->exchanges_accepted, req);
        return 0;
    }
    if (path_has_prefix(req, "/admin/v1/")) {
        control_handle_request(listener->daemon, req);
        return 0;
    }
    if (serve_view(listener, req)) {
        return 0;
    }
    refusal = refusal_new(REFUSAL_INVALID, STATUS_NOT_FOUND,
                          "no such path: use /v1/completions, "
                          "/v1/chat/completions, /v1/models, /v1/hosts or "
                          "/services/NAME/PATH");
    respond_refusal(req, &refusal);
    return 0;
}

static bool
serve_view(listener_t *listener, h2o_req_t *req)
{
    char credential[CREDENTIAL_BYTES];
    struct sockaddr_storage caller_address = {0};
    socklen_t length = req->conn->callbacks->get_peername(
        req->conn, (struct sockaddr *)&caller_address);
    arena_t arena = {0};
    view_t view = {0};
    view_request_t request;
    bool handled;

    hash_bearer_key(copy_request_header(req, &arena, "authorization"),
                    credential);
    request.path = arena_strndup(&arena, req->path_normalized.base,
                                 req->path_normalized.len);
    request.credential = credential;
    request.balance_seed = XXH3_64bits(&caller_address, length);
    handled =
        h2o_memis(req->method.base, req->method.len, H2O_STRLIT("GET")) &&
        view_write(listener->daemon, &request, &view);
    if (handled) {
        respond(req, view.status, view.content_type, view.body.bytes,
                view.body.length);
    }
    text_free(&view.body);
    arena_free(&arena);
    return handled;
}

static bool
path_equals(const h2o_req_t *req, const char *path)
{
    size_t length = req->query_at == SIZE_MAX ? req->path.len : req->query_at;

    return h2o_memis(req->path.base, length, path, strlen(path));
}

static bool
path_has_prefix(const h2o_req_t *req, const char *prefix)
{
    size_t length = strlen(prefix);

    return req->path.len >= length &&
           memcmp(req->path.base, prefix, length) == 0;
}

/* Replaces h2o's plain-text 413 by the JSON object of a refusal. */
static void
on_setup_ostream(h2o_filter_t *filter, h2o_req_t *req, h2o_ostream_t **slot)
{
    if (req->res.status == STATUS_TOO_LARGE) {
        h2o_ostream_t *ostream = h2o_add_ostream(req, sizeof(*ostream), slot);

        ostream->do_send = send_too_large;
        slot = &ostream->next;
        req->res.content_length = strlen(too_large_body);
        h2o_set_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
                       H2O_STRLIT("application/json"), 1);
    }
    h2o_setup_next_ostream(req, slot);
}

static void
send_too_large(h2o_ostream_t *ostream, h2o_req_t *req, h2o_iovec_t *bufs,
               size_t count, h2o_send_state_t state)
{
    h2o_iovec_t bytes = h2o_iovec_init(too_large_body, strlen(too_large_body));

    h2o_ostream_send_next(ostream, req, &bytes, 1, state);
}

/*
 * Detects closed and half-closed HTTP/1 connections by polling, because h2o
 * does not read from a connection while it sends a response.
 */
static void
on_disconnect_check(uv_timer_t *timer)
{
    listener_t *listener = timer->data;
    arena_t arena = {0};
    unsigned exchange_count = HASH_COUNT(listener->exchanges);
    struct pollfd *polls = arena_array(&arena, exchange_count, sizeof(*polls));
    uint64_t *numbers = arena_array(&arena, exchange_count, sizeof(*numbers));
    exchange_t *exchange;
    exchange_t *next;
    nfds_t count = 0;
    nfds_t i;

    HASH_ITER(hh, listener->exchanges, exchange, next)
    {
        if (!exchange->finished && exchange_socket_fd(exchange) >= 0) {
            numbers[count] = exchange->number;
            polls[count].fd = exchange_socket_fd(exchange);
            polls[count].events = POLLRDHUP;
            count++;
        }
    }
    if (count > 0 && poll(polls, count, 0) > 0) {
        for (i = 0; i < count; i++) {
            HASH_FIND(hh, listener->exchanges, &numbers[i], sizeof(numbers[i]),
                      exchange);
            if (polls[i].revents != 0 && exchange != NULL) {
                exchange_handle_close(exchange);
            }
        }
    }
    arena_free(&arena);
}

/*
 * Shuts down idle connections after IDLE_CHECKS consecutive checks without an
 * exchange, a control call or unsent output.  Stops the loop when the last
 * connection has closed.
 */
static void
on_shutdown_check(uv_timer_t *timer)
{
    listener_t *listener = timer->data;
    bool idle = HASH_COUNT(listener->exchanges) == 0 &&
                listener->daemon->control_calls == 0 &&
                accept_is_flushed(&listener->connections);

    listener->idle_checks = idle ? listener->idle_checks + 1 : 0;
    if (listener->idle_checks < IDLE_CHECKS) {
        return;
    }
    accept_shutdown(&listener->connections, SHUT_RD);
    if (LIST_EMPTY(&listener->connections)) {
        uv_stop(listener->daemon->loop);
    }
}

static uint64_t
action_exchange_number(const action_t *action)
{
    switch (action->kind) {
    case ACTION_SEND_TOKENS:
        return action->action_t_u.send_tokens.caller;
    case ACTION_FINISH:
        return action->action_t_u.finish.caller;
    case ACTION_REPLY:
        return action->action_t_u.reply.caller;
    case ACTION_REFUSE:
        return action->action_t_u.refuse.caller;
    case ACTION_FREE_BODY:
        return action->action_t_u.free_body.body;
    case ACTION_RELAY:
        return action->action_t_u.relay.caller;
    default:
        return 0;
    }
}
