/* front.c - HTTP listeners, their connections and the requests on them. */
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/log.h"
#include "gateway/guard.h"
#include "gateway/inbound.h"
#include "http/accept.h"

enum {
    BACKLOG = 1024,
    /* The runner is to receive the cancellation within 500 ms after the
     * caller disconnects; detection may take only a small part of that. */
    DISCONNECT_CHECK_INTERVAL_MS = 100,
    BODY_MAX_BYTES = 4 << 20,
    /* Event loop iterations for h2o to close connections at exit. */
    CLOSE_LOOP_ITERATIONS_MAX = 100,
    IDLE_TIMEOUT_DEFAULT_MS = 75000,
    /* Callers reuse an idle connection for up to the idle timeout; closing
     * it later avoids a request on a connection that is being closed. */
    IDLE_TIMEOUT_MARGIN_MS = 2000,
    STATUS_OK = 200,
    STATUS_NOT_FOUND = 404,
    STATUS_UNAVAILABLE = 503,
};

typedef enum {
    LISTENER_CALLERS,
    LISTENER_READINESS,
    LISTENER_LOOKUP,
    LISTENER_METRICS,
    LISTENER_COUNT,
} listener_kind_t;

typedef struct {
    front_t *front;
    uv_tcp_t *socket; /* NULL: not listening */
    char address[ADDRESS_TEXT_BYTES];
    h2o_accept_ctx_t accept;
    h2o_hostconf_t *hosts[2]; /* NULL-terminated */
} listener_t;

/* An h2o handler with the listener that it serves. */
typedef struct {
    h2o_handler_t super;
    front_t *front;
    listener_kind_t kind;
} route_handler_t;

struct front {
    gateway_t *gateway;
    listener_t listeners[LISTENER_COUNT];
    h2o_globalconf_t config;
    h2o_context_t context;
    uv_timer_t *timer;
    uint64_t request_count;
    inbound_t *requests; /* by request number */
    connection_list_t connections;
    guard_t *guard; /* NULL: no budget applies */
};

static int open_listener(front_t *front, listener_kind_t kind,
                         const char *address, err_t *err);
static void configure_h2o(front_t *front);
static void close_listeners(front_t *front);
static void on_connection(uv_stream_t *server, int status);
static int on_request(h2o_handler_t *handler, h2o_req_t *req);
static void send_readiness(front_t *front, h2o_req_t *req);
static void send_lookup_result(front_t *front, h2o_req_t *req);
static void send_metrics(front_t *front, h2o_req_t *req);
static bool path_equals(const h2o_req_t *req, const char *path);
static void on_disconnect_check(uv_timer_t *timer);
static void abort_connections(front_t *front);
static inbound_t *find_inbound(const front_t *front, uint64_t number);

front_t *
front_new(gateway_t *gateway, err_t *err)
{
    const gateway_settings_t *settings = gateway->settings;
    front_t *front = xcalloc(1, sizeof(*front));

    front->gateway = gateway;
    front->timer = xcalloc(1, sizeof(*front->timer));
    (void)uv_timer_init(gateway->loop, front->timer);
    front->timer->data = front;
    configure_h2o(front);
    front->guard = guard_new(gateway, &front->connections, &front->config);
    if (open_listener(front, LISTENER_CALLERS, settings->listen_address, err) <
            0 ||
        open_listener(front, LISTENER_READINESS, settings->readiness_address,
                      err) < 0 ||
        open_listener(front, LISTENER_LOOKUP, settings->lookup_address, err) <
            0 ||
        open_listener(front, LISTENER_METRICS, settings->metrics_address,
                      err) < 0) {
        front_free(front);
        return NULL;
    }
    return front;
}

void
front_start(front_t *front)
{
    size_t i;

    for (i = 0; i < LISTENER_COUNT; i++) {
        listener_t *listener = &front->listeners[i];
        int result;

        if (listener->socket == NULL) {
            continue;
        }
        guard_limit_socket(front->guard, listener->socket);
        result =
            uv_listen((uv_stream_t *)listener->socket, BACKLOG, on_connection);
        if (result < 0) {
            log_event(LOG_ERR, "listen-failed", "address=%s reason=%s",
                      listener->address, uv_strerror(result));
            uv_stop(front->gateway->loop);
            return;
        }
        log_event(LOG_NOTICE, "listen", "address=%s", listener->address);
    }
    (void)uv_timer_start(front->timer, on_disconnect_check,
                         DISCONNECT_CHECK_INTERVAL_MS,
                         DISCONNECT_CHECK_INTERVAL_MS);
}

void
front_set_limits(front_t *front, const caller_limits_t *limits)
{
    uint32_t body_max_bytes =
        limits->body_bytes_max > 0 ? limits->body_bytes_max : BODY_MAX_BYTES;

    front->config.max_request_entity_size = body_max_bytes;
    guard_set_body_max(front->guard, body_max_bytes);
    front->context.http1.req_timeout.timeout =
        limits->idle_timeout_ms > 0
            ? limits->idle_timeout_ms + IDLE_TIMEOUT_MARGIN_MS
            : IDLE_TIMEOUT_DEFAULT_MS;
}

void
front_drain(front_t *front)
{
    h2o_context_request_shutdown(&front->context);
}

bool
front_close_idle(front_t *front)
{
    close_listeners(front);
    if (HASH_COUNT(front->requests) == 0 &&
        accept_is_flushed(&front->connections)) {
        accept_close_idle(&front->connections);
    }
    return LIST_EMPTY(&front->connections);
}

bool
front_has_shut(const front_t *front, const inbound_t *inbound)
{
    return front->gateway->draining &&
           accept_is_read_shut(&front->connections, inbound_socket(inbound));
}

void
front_free(front_t *front)
{
    if (front == NULL) {
        return;
    }
    close_listeners(front);
    uv_close((uv_handle_t *)front->timer, (uv_close_cb)free);
    guard_free(front->guard);
    front->guard = NULL;
    abort_connections(front);
    if (!LIST_EMPTY(&front->connections)) {
        log_event(LOG_WARNING, "connections-open", "at=stop");
        return; /* h2o cannot be disposed of while connections are open */
    }
    /* For HTTP/2, h2o sends a second GOAWAY from a timer one second after
     * the first. */
    if (h2o_timeout_is_linked(
            &front->context.http2._graceful_shutdown_timeout)) {
        h2o_timeout_unlink(&front->context.http2._graceful_shutdown_timeout);
    }
    h2o_context_dispose(&front->context);
    h2o_config_dispose(&front->config);
    free(front);
}

const caller_request_t *
front_request(const front_t *front, uint64_t number)
{
    const inbound_t *inbound = find_inbound(front, number);

    return inbound != NULL && !inbound->done ? &inbound->request : NULL;
}

void
front_send_response(front_t *front, uint64_t number,
                    const runner_response_t *response)
{
    inbound_t *inbound = find_inbound(front, number);

    if (inbound != NULL) {
        inbound_send_response(inbound, response);
    }
}

void
front_start_stream(front_t *front, uint64_t number,
                   const runner_response_t *response)
{
    inbound_t *inbound = find_inbound(front, number);

    if (inbound != NULL) {
        inbound_start_stream(inbound, response);
    }
}

bool
front_send_event(front_t *front, uint64_t number, const stream_event_t *event)
{
    inbound_t *inbound = find_inbound(front, number);

    return inbound != NULL && inbound_send_event(inbound, event);
}

void
front_end_stream(front_t *front, uint64_t number)
{
    inbound_t *inbound = find_inbound(front, number);

    if (inbound != NULL) {
        inbound_end_stream(inbound);
    }
}

void
front_send_refusal(front_t *front, uint64_t number,
                   const refuse_action_t *refusal, const relay_usage_t *usage)
{
    inbound_t *inbound = find_inbound(front, number);

    if (inbound != NULL) {
        inbound_send_refusal(inbound, refusal, usage);
    }
}

void
front_abort_response(front_t *front, uint64_t number)
{
    inbound_t *inbound = find_inbound(front, number);

    if (inbound != NULL) {
        inbound_abort_response(inbound);
    }
}

/* Does nothing if address is NULL. */
static int
open_listener(front_t *front, listener_kind_t kind, const char *address,
              err_t *err)
{
    listener_t *listener = &front->listeners[kind];

    if (address == NULL) {
        return 0;
    }
    listener->front = front;
    listener->socket = accept_bind_socket(front->gateway->loop, address,
                                          listener->address, err);
    if (listener->socket == NULL) {
        return -1;
    }
    listener->socket->data = listener;
    return 0;
}

/* Registers each listener as an h2o host with a single handler. */
static void
configure_h2o(front_t *front)
{
    static const char *const names[LISTENER_COUNT] = {"callers", "readiness",
                                                      "lookup", "metrics"};
    h2o_globalconf_t *config = &front->config;
    size_t i;

    h2o_config_init(config);
    config->server_name = h2o_iovec_init(H2O_STRLIT("agated"));
    config->max_request_entity_size = BODY_MAX_BYTES;
    config->http1.req_timeout = IDLE_TIMEOUT_DEFAULT_MS;
    for (i = 0; i < LISTENER_COUNT; i++) {
        listener_t *listener = &front->listeners[i];
        h2o_pathconf_t *path;
        route_handler_t *handler;

        listener->hosts[0] = h2o_config_register_host(
            config, h2o_iovec_init(names[i], strlen(names[i])), UINT16_MAX);
        path = h2o_config_register_path(listener->hosts[0], "/", 0);
        handler =
            (route_handler_t *)h2o_create_handler(path, sizeof(*handler));
        handler->super.on_req = on_request;
        handler->front = front;
        handler->kind = (listener_kind_t)i;
    }
    h2o_context_init(&front->context, front->gateway->loop, config);
    for (i = 0; i < LISTENER_COUNT; i++) {
        front->listeners[i].accept.ctx = &front->context;
        front->listeners[i].accept.hosts = front->listeners[i].hosts;
    }
}

static void
close_listeners(front_t *front)
{
    size_t i;

    for (i = 0; i < LISTENER_COUNT; i++) {
        accept_close_socket(front->listeners[i].socket);
        front->listeners[i].socket = NULL;
    }
}

static void
on_connection(uv_stream_t *server, int status)
{
    listener_t *listener = server->data;
    front_t *front = listener->front;
    accepted_connection_t *connection = accept_connection(
        server, status, &listener->accept, &front->connections);

    guard_add(front->guard, connection,
              listener != &front->listeners[LISTENER_CALLERS]);
}

static int
on_request(h2o_handler_t *handler, h2o_req_t *req)
{
    const route_handler_t *route = (route_handler_t *)handler;
    front_t *front = route->front;
    const dialect_ops_t *dialect = front->gateway->dialect->ops;

    if (route->kind == LISTENER_CALLERS) {
        front->request_count++;
        inbound_accept(front->gateway, &front->requests, front->request_count,
                       req);
    }
    else if (route->kind == LISTENER_READINESS &&
             path_equals(req, dialect->ready_path)) {
        send_readiness(front, req);
    }
    else if (route->kind == LISTENER_LOOKUP &&
             path_equals(req, dialect->lookup_path)) {
        send_lookup_result(front, req);
    }
    else if (route->kind == LISTENER_METRICS && path_equals(req, "/metrics")) {
        send_metrics(front, req);
    }
    else {
        inbound_respond(req, STATUS_NOT_FOUND, "text/plain",
                        H2O_STRLIT("no such path\n"));
    }
    return 0;
}

static void
send_readiness(front_t *front, h2o_req_t *req)
{
    bool ready =
        forward_ready(forwarding_state(front->gateway), gateway_now_us());

    inbound_respond(req, ready ? STATUS_OK : STATUS_UNAVAILABLE, "text/plain",
                    ready ? "ready\n" : "not ready\n",
                    strlen(ready ? "ready\n" : "not ready\n"));
}

static void
send_lookup_result(front_t *front, h2o_req_t *req)
{
    size_t query_at =
        req->query_at == SIZE_MAX ? req->path.len : req->query_at + 1;
    arena_t arena = {0};
    text_t body = {0};
    address_lookup_t lookup;

    front->gateway->dialect->ops->parse_lookup_query(
        &arena, req->path.base + query_at, req->path.len - query_at, &lookup);
    if (directory_write_addresses(front->gateway->directory, &lookup, &body)) {
        inbound_respond(req, STATUS_OK, "application/json", body.bytes,
                        body.length);
    }
    else {
        inbound_respond(req, STATUS_UNAVAILABLE, "text/plain",
                        H2O_STRLIT("no address is known yet\n"));
    }
    text_free(&body);
    arena_free(&arena);
}

static void
send_metrics(front_t *front, h2o_req_t *req)
{
    const gateway_t *gateway = front->gateway;
    const forward_t *forward = forwarding_state(gateway);
    text_t text = {0};

    meters_set_rollouts(gateway->meters, forward);
    meters_set_store_sent(gateway->meters,
                          store_relay_counters(gateway->relay));
    meters_set_store_received(gateway->meters,
                              watcher_counters(gateway->watcher));
    meters_write(gateway->meters,
                 forward_contact_age_us(forward, gateway_now_us()), &text);
    inbound_respond(req, STATUS_OK, "text/plain; version=0.0.4", text.bytes,
                    text.length);
    text_free(&text);
}

static bool
path_equals(const h2o_req_t *req, const char *path)
{
    size_t length = req->query_at == SIZE_MAX ? req->path.len : req->query_at;

    return h2o_memis(req->path.base, length, path, strlen(path));
}

/*
 * Polls the sockets for disconnected callers: for HTTP/1, h2o does not read
 * from a connection while a response is being sent.
 */
static void
on_disconnect_check(uv_timer_t *timer)
{
    front_t *front = timer->data;
    unsigned count = HASH_COUNT(front->requests);
    arena_t arena = {0};
    struct pollfd *pollfds;
    uint64_t *numbers;
    inbound_t *inbound;
    nfds_t pollfd_count = 0;
    nfds_t i;

    if (count == 0) {
        return;
    }
    pollfds = arena_array(&arena, count, sizeof(*pollfds));
    numbers = arena_array(&arena, count, sizeof(*numbers));
    for (inbound = front->requests; inbound != NULL;
         inbound = inbound->hh.next) {
        if (!inbound->done && !front_has_shut(front, inbound)) {
            numbers[pollfd_count] = inbound->number;
            pollfds[pollfd_count].fd = inbound_socket_fd(inbound);
            pollfds[pollfd_count].events = POLLRDHUP;
            pollfd_count++;
        }
    }
    if (pollfd_count > 0 && poll(pollfds, pollfd_count, 0) > 0) {
        for (i = 0; i < pollfd_count; i++) {
            inbound = pollfds[i].revents != 0 ? find_inbound(front, numbers[i])
                                              : NULL;
            if (inbound != NULL) {
                inbound_disconnect(inbound);
            }
        }
    }
    arena_free(&arena);
}

/* Aborts all responses in progress and closes all connections. */
static void
abort_connections(front_t *front)
{
    inbound_t *inbound;
    inbound_t *next;
    int i;

    HASH_ITER(hh, front->requests, inbound, next)
    {
        inbound_abort_response(inbound);
    }
    accept_shutdown(&front->connections, SHUT_RDWR);
    for (i = 0;
         i < CLOSE_LOOP_ITERATIONS_MAX && !LIST_EMPTY(&front->connections);
         i++) {
        (void)uv_run(front->gateway->loop, UV_RUN_NOWAIT);
    }
}

static inbound_t *
find_inbound(const front_t *front, uint64_t number)
{
    inbound_t *inbound;

    HASH_FIND(hh, front->requests, &number, sizeof(number), inbound);
    return inbound;
}
