/* front.c - listeners, callers and their answers. */
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/log.h"
#include "gateway/inbound.h"
#include "http/accept.h"

enum {
    BACKLOG = 1024,
    /* A caller that is gone is noticed within this time, far below the half
     * second in which its runner should be told. */
    CUT_CHECK_MS = 100,
    BODY_MAX_BYTES = 4 << 20,
    /* Turns of the loop in which connections that were shut are closed. */
    CUT_TURNS_MAX = 100,
    IDLE_DEFAULT_MS = 75000,
    /* Callers reuse a connection up to their own limit. */
    IDLE_SPARE_MS = 2000,
    STATUS_OK = 200,
    STATUS_NOT_FOUND = 404,
    STATUS_UNAVAILABLE = 503,
};

typedef enum {
    PORT_CALLERS,
    PORT_READINESS,
    PORT_LOOKUP,
    PORT_METRICS,
    PORT_COUNT,
} port_kind_t;

typedef struct {
    front_t *front;
    uv_tcp_t *socket; /* NULL: not listening */
    char address[ADDRESS_TEXT_BYTES];
    h2o_accept_ctx_t accept;
    h2o_hostconf_t *hosts[2]; /* NULL at the end */
} port_t;

/* An h2o handler that knows its port. */
typedef struct {
    h2o_handler_t super;
    front_t *front;
    port_kind_t kind;
} route_handler_t;

struct front {
    gateway_t *gateway;
    port_t ports[PORT_COUNT];
    h2o_globalconf_t config;
    h2o_context_t context;
    uv_timer_t *timer;
    uint64_t callers_seen;
    inbound_t *callers; /* by number */
    accepted_list_t clients;
};

static int open_port(front_t *front, port_kind_t kind, const char *address,
                     err_t *err);
static void configure(front_t *front);
static void close_ports(front_t *front);
static void on_connection(uv_stream_t *server, int status);
static int on_request(h2o_handler_t *handler, h2o_req_t *req);
static void answer_ready(front_t *front, h2o_req_t *req);
static void answer_lookup(front_t *front, h2o_req_t *req);
static void answer_metrics(front_t *front, h2o_req_t *req);
static bool path_is(const h2o_req_t *req, const char *path);
static void on_cut_check(uv_timer_t *timer);
static void cut_clients(front_t *front);
static inbound_t *find(const front_t *front, uint64_t number);

front_t *
front_new(gateway_t *gateway, err_t *err)
{
    const gateway_settings_t *settings = gateway->settings;
    front_t *front = xcalloc(1, sizeof(*front));

    front->gateway = gateway;
    front->timer = xcalloc(1, sizeof(*front->timer));
    (void)uv_timer_init(gateway->loop, front->timer);
    front->timer->data = front;
    configure(front);
    if (open_port(front, PORT_CALLERS, settings->listen_address, err) < 0 ||
        open_port(front, PORT_READINESS, settings->readiness_address, err) <
            0 ||
        open_port(front, PORT_LOOKUP, settings->lookup_address, err) < 0 ||
        open_port(front, PORT_METRICS, settings->metrics_address, err) < 0) {
        front_free(front);
        return NULL;
    }
    return front;
}

void
front_start(front_t *front)
{
    size_t i;

    for (i = 0; i < PORT_COUNT; i++) {
        port_t *port = &front->ports[i];
        int result;

        if (port->socket == NULL) {
            continue;
        }
        result =
            uv_listen((uv_stream_t *)port->socket, BACKLOG, on_connection);
        if (result < 0) {
            log_event(LOG_ERR, "listen-failed", "address=%s reason=%s",
                      port->address, uv_strerror(result));
            uv_stop(front->gateway->loop);
            return;
        }
        log_event(LOG_NOTICE, "listen", "address=%s", port->address);
    }
    (void)uv_timer_start(front->timer, on_cut_check, CUT_CHECK_MS,
                         CUT_CHECK_MS);
}

void
front_limits(front_t *front, const caller_limits_t *limits)
{
    if (limits->body_bytes_max > 0) {
        front->config.max_request_entity_size = limits->body_bytes_max;
    }
    if (limits->idle_timeout_ms > 0) {
        front->context.http1.req_timeout.timeout =
            limits->idle_timeout_ms + IDLE_SPARE_MS;
    }
}

void
front_drain(front_t *front)
{
    h2o_context_request_shutdown(&front->context);
}

bool
front_stop(front_t *front)
{
    close_ports(front);
    if (HASH_COUNT(front->callers) == 0 &&
        accept_is_flushed(&front->clients)) {
        accept_shut(&front->clients, SHUT_RD);
    }
    return LIST_EMPTY(&front->clients);
}

void
front_free(front_t *front)
{
    if (front == NULL) {
        return;
    }
    close_ports(front);
    uv_close((uv_handle_t *)front->timer, (uv_close_cb)free);
    cut_clients(front);
    if (!LIST_EMPTY(&front->clients)) {
        log_event(LOG_WARNING, "connections-left", "at=stop");
        return; /* h2o refuses to be disposed of with them */
    }
    /* h2o says goodbye on HTTP/2 twice, a second apart. */
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
    const inbound_t *caller = find(front, number);

    return caller != NULL && !caller->over ? &caller->request : NULL;
}

void
front_answer(front_t *front, uint64_t number, const runner_answer_t *answer)
{
    inbound_t *caller = find(front, number);

    if (caller != NULL) {
        inbound_answer(caller, answer);
    }
}

void
front_begin(front_t *front, uint64_t number, const runner_answer_t *answer)
{
    inbound_t *caller = find(front, number);

    if (caller != NULL) {
        inbound_begin(caller, answer);
    }
}

bool
front_event(front_t *front, uint64_t number, const stream_event_t *event)
{
    inbound_t *caller = find(front, number);

    return caller != NULL && inbound_event(caller, event);
}

void
front_finish(front_t *front, uint64_t number)
{
    inbound_t *caller = find(front, number);

    if (caller != NULL) {
        inbound_finish(caller);
    }
}

void
front_refuse(front_t *front, uint64_t number, const refuse_action_t *refusal)
{
    inbound_t *caller = find(front, number);

    if (caller != NULL) {
        inbound_refuse(caller, refusal);
    }
}

void
front_break(front_t *front, uint64_t number)
{
    inbound_t *caller = find(front, number);

    if (caller != NULL) {
        inbound_break(caller);
    }
}

/* A port without an address is left out. */
static int
open_port(front_t *front, port_kind_t kind, const char *address, err_t *err)
{
    port_t *port = &front->ports[kind];

    if (address == NULL) {
        return 0;
    }
    port->front = front;
    port->socket =
        accept_bind(front->gateway->loop, address, port->address, err);
    if (port->socket == NULL) {
        return -1;
    }
    port->socket->data = port;
    return 0;
}

/* Each port is a host of h2o's with one handler. */
static void
configure(front_t *front)
{
    static const char *const names[PORT_COUNT] = {"callers", "readiness",
                                                  "lookup", "metrics"};
    h2o_globalconf_t *config = &front->config;
    size_t i;

    h2o_config_init(config);
    config->server_name = h2o_iovec_init(H2O_STRLIT("agated"));
    config->max_request_entity_size = BODY_MAX_BYTES;
    config->http1.req_timeout = IDLE_DEFAULT_MS;
    for (i = 0; i < PORT_COUNT; i++) {
        port_t *port = &front->ports[i];
        h2o_pathconf_t *path;
        route_handler_t *handler;

        port->hosts[0] = h2o_config_register_host(
            config, h2o_iovec_init(names[i], strlen(names[i])), UINT16_MAX);
        path = h2o_config_register_path(port->hosts[0], "/", 0);
        handler =
            (route_handler_t *)h2o_create_handler(path, sizeof(*handler));
        handler->super.on_req = on_request;
        handler->front = front;
        handler->kind = (port_kind_t)i;
    }
    h2o_context_init(&front->context, front->gateway->loop, config);
    for (i = 0; i < PORT_COUNT; i++) {
        front->ports[i].accept.ctx = &front->context;
        front->ports[i].accept.hosts = front->ports[i].hosts;
    }
}

static void
close_ports(front_t *front)
{
    size_t i;

    for (i = 0; i < PORT_COUNT; i++) {
        accept_close(front->ports[i].socket);
        front->ports[i].socket = NULL;
    }
}

static void
on_connection(uv_stream_t *server, int status)
{
    port_t *port = server->data;

    accept_connection(server, status, &port->accept, &port->front->clients);
}

static int
on_request(h2o_handler_t *handler, h2o_req_t *req)
{
    const route_handler_t *route = (route_handler_t *)handler;
    front_t *front = route->front;
    const dialect_ops_t *dialect = front->gateway->dialect->ops;

    if (route->kind == PORT_CALLERS) {
        front->callers_seen++;
        inbound_accept(front->gateway, &front->callers, front->callers_seen,
                       req);
    }
    else if (route->kind == PORT_READINESS &&
             path_is(req, dialect->ready_path)) {
        answer_ready(front, req);
    }
    else if (route->kind == PORT_LOOKUP &&
             path_is(req, dialect->lookup_path)) {
        answer_lookup(front, req);
    }
    else if (route->kind == PORT_METRICS && path_is(req, "/metrics")) {
        answer_metrics(front, req);
    }
    else {
        inbound_respond(req, STATUS_NOT_FOUND, "text/plain",
                        H2O_STRLIT("no such path\n"));
    }
    return 0;
}

static void
answer_ready(front_t *front, h2o_req_t *req)
{
    bool ready =
        forward_ready(forwarding_state(front->gateway), gateway_now_us());

    inbound_respond(req, ready ? STATUS_OK : STATUS_UNAVAILABLE, "text/plain",
                    ready ? "ready\n" : "not ready\n",
                    strlen(ready ? "ready\n" : "not ready\n"));
}

static void
answer_lookup(front_t *front, h2o_req_t *req)
{
    size_t query_at =
        req->query_at == SIZE_MAX ? req->path.len : req->query_at + 1;
    arena_t arena = {0};
    text_t body = {0};
    address_lookup_t lookup;

    front->gateway->dialect->ops->read_lookup(
        &arena, req->path.base + query_at, req->path.len - query_at, &lookup);
    if (directory_answer(front->gateway->directory, &lookup, &body)) {
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
answer_metrics(front_t *front, h2o_req_t *req)
{
    const forward_t *forward = forwarding_state(front->gateway);
    text_t text = {0};

    meters_write(front->gateway->meters,
                 forward_contact_age_us(forward, gateway_now_us()), &text);
    inbound_respond(req, STATUS_OK, "text/plain; version=0.0.4", text.bytes,
                    text.length);
    text_free(&text);
}

static bool
path_is(const h2o_req_t *req, const char *path)
{
    size_t length = req->query_at == SIZE_MAX ? req->path.len : req->query_at;

    return h2o_memis(req->path.base, length, path, strlen(path));
}

/* On HTTP/1 h2o does not read while it answers, so we look ourselves. */
static void
on_cut_check(uv_timer_t *timer)
{
    front_t *front = timer->data;
    unsigned count = HASH_COUNT(front->callers);
    arena_t arena = {0};
    struct pollfd *polls;
    uint64_t *numbers;
    inbound_t *caller;
    nfds_t used = 0;
    nfds_t i;

    if (count == 0) {
        return;
    }
    polls = arena_array(&arena, count, sizeof(*polls));
    numbers = arena_array(&arena, count, sizeof(*numbers));
    for (caller = front->callers; caller != NULL; caller = caller->hh.next) {
        if (!caller->over) {
            numbers[used] = caller->number;
            polls[used].fd = inbound_socket(caller);
            polls[used].events = POLLRDHUP;
            used++;
        }
    }
    if (used > 0 && poll(polls, used, 0) > 0) {
        for (i = 0; i < used; i++) {
            caller = polls[i].revents != 0 ? find(front, numbers[i]) : NULL;
            if (caller != NULL) {
                inbound_cut(caller);
            }
        }
    }
    arena_free(&arena);
}

/* At the end of the process: answers under way are cut off. */
static void
cut_clients(front_t *front)
{
    inbound_t *caller;
    inbound_t *next;
    int i;

    HASH_ITER(hh, front->callers, caller, next)
    {
        inbound_break(caller);
    }
    accept_shut(&front->clients, SHUT_RDWR);
    for (i = 0; i < CUT_TURNS_MAX && !LIST_EMPTY(&front->clients); i++) {
        (void)uv_run(front->gateway->loop, UV_RUN_NOWAIT);
    }
}

static inbound_t *
find(const front_t *front, uint64_t number)
{
    inbound_t *caller;

    HASH_FIND(hh, front->callers, &number, sizeof(number), caller);
    return caller;
}
