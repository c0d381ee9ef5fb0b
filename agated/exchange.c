/* exchange.c - one HTTP request of a caller and its response. */
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "agated/exchange.h"
#include "base/log.h"
#include "peer/relay_mark.h"

enum {
    HTTP2_VERSION = 0x200,
    PENDING_MAX_BYTES = 1 << 20,
    GENERATED_NAME_BYTES = 40,
    STATUS_OK = 200,
    MS_PER_S = 1000,
    RELAY_RETRY_AFTER_MS = 1000
};

/* Allocated in the request's pool; h2o calls on_dispose to free it. */
typedef struct {
    exchange_t *exchange;
} dispose_hook_t;

static bool has_caller_disconnected(const exchange_t *exchange);
static exchange_t *exchange_new(daemon_t *daemon, exchange_t **exchanges,
                                uint64_t number, h2o_req_t *req);
static void exchange_free(exchange_t *exchange);
static void drop_reference(exchange_t *exchange);
static void read_input(exchange_t *exchange);
static void init_response(exchange_t *exchange,
                          const parsed_request_t *parsed);
static void on_dispose(void *memory);
static void on_proceed(h2o_generator_t *generator, h2o_req_t *req);
static void on_stop(h2o_generator_t *generator, h2o_req_t *req);
static void start_response(exchange_t *exchange, uint32_t status,
                           const char *content_type);
static void send_tokens(exchange_t *exchange,
                        const send_tokens_action_t *action);
static void finish_response(exchange_t *exchange,
                            const finish_action_t *action);
static void send_reply(exchange_t *exchange, const reply_action_t *action);
static void refuse_request(exchange_t *exchange,
                           const refuse_request_action_t *action);
static void start_relay(exchange_t *exchange, const relay_action_t *action);
static bool abort_if_too_slow(exchange_t *exchange);
static bool is_service_failure(refusal_t refusal);
static void mark_finished(exchange_t *exchange);
static void flush_output(exchange_t *exchange);
static void abort_response(exchange_t *exchange);
static void report_disconnect(exchange_t *exchange);
static void add_retry_after(exchange_t *exchange, uint32_t retry_after_ms);

void
exchange_accept(daemon_t *daemon, exchange_t **exchanges, uint64_t number,
                h2o_req_t *req)
{
    exchange_t *exchange = exchange_new(daemon, exchanges, number, req);
    parsed_request_t parsed;
    refuse_request_action_t refusal;
    event_t event = {.kind = EVENT_REQUEST};

    read_input(exchange);
    if (request_parse(&exchange->input, &exchange->arena, &parsed, &refusal) <
        0) {
        exchange->body_released = true;
        exchange->finished = true;
        respond_refusal(req, &refusal);
        return;
    }
    if (has_caller_disconnected(exchange)) {
        refusal = refusal_new(REFUSAL_SUPERSEDED, 0,
                              "the connection was closed before the request "
                              "was accepted: send it on another connection");
        exchange->body_released = true;
        exchange->finished = true;
        respond_refusal(req, &refusal);
        return;
    }
    init_response(exchange, &parsed);
    request_slo_start(daemon->levels, &exchange->level, &parsed.event);
    event.event_t_u.request = parsed.event;
    event.event_t_u.request.caller = number;
    dispatch_event(daemon->dispatch, &event);
}

void
exchange_apply_action(exchange_t *exchange, const action_t *action)
{
    if (action->kind == ACTION_FREE_BODY) {
        exchange->body_released = true;
        exchange_free(exchange);
        return;
    }
    if (exchange->finished || exchange->req == NULL) {
        return;
    }
    switch (action->kind) {
    case ACTION_SEND_TOKENS:
        send_tokens(exchange, &action->action_t_u.send_tokens);
        return;
    case ACTION_FINISH:
        finish_response(exchange, &action->action_t_u.finish);
        return;
    case ACTION_REPLY:
        send_reply(exchange, &action->action_t_u.reply);
        return;
    case ACTION_REFUSE:
        refuse_request(exchange, &action->action_t_u.refuse);
        return;
    case ACTION_RELAY:
        start_relay(exchange, &action->action_t_u.relay);
        return;
    default:
        return;
    }
}

void
exchange_handle_close(exchange_t *exchange)
{
    refuse_request_action_t refusal = {
        .refusal = REFUSAL_INVALID,
        .run = RUN_UNKNOWN,
        .message = "the connection was half-closed and the request cancelled: "
                   "keep it open until the response is complete",
    };

    if (exchange->finished || exchange->req == NULL) {
        return;
    }
    exchange->req->http1_is_persistent = 0;
    if (exchange->started) {
        abort_response(exchange);
        return;
    }
    exchange->references++;
    refuse_request(exchange, &refusal);
    report_disconnect(exchange);
    drop_reference(exchange);
}

int
exchange_socket_fd(const exchange_t *exchange)
{
    h2o_conn_t *conn;

    if (exchange->req == NULL || exchange->req->version >= HTTP2_VERSION) {
        return -1;
    }
    conn = exchange->req->conn;
    return h2o_socket_get_fd(conn->callbacks->get_socket(conn));
}

/*
 * Returns whether the caller has already closed its side.  A host that was
 * paused finds such requests when it resumes.  Accepting one could detach the
 * session from the caller's current connection.
 */
static bool
has_caller_disconnected(const exchange_t *exchange)
{
    int fd = exchange_socket_fd(exchange);
    ssize_t length;
    char byte;

    if (fd < 0) {
        return false;
    }
    length = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return length == 0 || (length < 0 && errno != EAGAIN && errno != EINTR);
}

static exchange_t *
exchange_new(daemon_t *daemon, exchange_t **exchanges, uint64_t number,
             h2o_req_t *req)
{
    exchange_t *exchange = xcalloc(1, sizeof(*exchange));
    dispose_hook_t *hook =
        h2o_mem_alloc_shared(&req->pool, sizeof(*hook), on_dispose);

    hook->exchange = exchange;
    exchange->generator.proceed = on_proceed;
    exchange->generator.stop = on_stop;
    exchange->number = number;
    exchange->daemon = daemon;
    exchange->exchanges = exchanges;
    exchange->req = req;
    HASH_ADD(hh, *exchanges, number, sizeof(number), exchange);
    return exchange;
}

/* Frees the exchange unless h2o or the decision core still uses it. */
static void
exchange_free(exchange_t *exchange)
{
    if (exchange->req != NULL || !exchange->body_released ||
        exchange->references > 0) {
        return;
    }
    HASH_DEL(*exchange->exchanges, exchange);
    if (exchange->relay != NULL) {
        relay_free(exchange->relay);
    }
    response_free(&exchange->response);
    text_free(&exchange->pending);
    text_free(&exchange->in_flight);
    arena_free(&exchange->arena);
    free(exchange);
}

static void
drop_reference(exchange_t *exchange)
{
    exchange->references--;
    exchange_free(exchange);
}

static void
read_input(exchange_t *exchange)
{
    request_input_t *input = &exchange->input;
    h2o_req_t *req = exchange->req;
    arena_t *arena = &exchange->arena;

    *input = (request_input_t){
        .method = arena_strndup(arena, req->method.base, req->method.len),
        .path = arena_strndup(arena, req->path.base, req->path.len),
        .content_type = copy_request_header(req, arena, "content-type"),
        .authorization = copy_request_header(req, arena, "authorization"),
        .idempotency_key = copy_request_header(req, arena, "idempotency-key"),
        .last_event_id = copy_request_header(req, arena, "last-event-id"),
        .request_kind = copy_request_header(req, arena, "x-request-kind"),
        .body = arena_memdup(arena, req->entity.base, req->entity.len),
        .body_bytes = req->entity.len,
        .position_key = &exchange->daemon->position_key,
        .generated_name = arena_printf(arena, "r%016" PRIx64 "%016" PRIx64,
                                       random_u64(), random_u64()),
    };
    exchange->body.method = input->method;
    exchange->body.content_type = input->content_type;
    exchange->body.bytes = input->body;
    exchange->body.length = input->body_bytes;
}

static void
init_response(exchange_t *exchange, const parsed_request_t *parsed)
{
    response_t *response = &exchange->response;

    exchange->body.path = parsed->service_path;
    response->name = parsed->event.key;
    response->position_key = &exchange->daemon->position_key;
    response->model = parsed->event.model;
    response->endpoint = parsed->event.endpoint;
    response->stream = parsed->event.stream;
    response->token_ids = parsed->token_ids;
    response->include_usage = parsed->include_usage;
    response->created_s = time(NULL);
    response->position = parsed->event.position;
    response->resumed = parsed->event.position > 0;
}

static void
on_dispose(void *memory)
{
    exchange_t *exchange = ((dispose_hook_t *)memory)->exchange;

    exchange->req = NULL;
    exchange->references++;
    if (!exchange->finished) {
        report_disconnect(exchange);
    }
    drop_reference(exchange);
}

static void
on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
    exchange_t *exchange = (exchange_t *)generator;

    exchange->sending = false;
    if (exchange->aborted) {
        h2o_send(req, NULL, 0, H2O_SEND_STATE_ERROR);
        return;
    }
    flush_output(exchange);
}

/* h2o clears the request's pool next, and on_dispose does the cleanup. */
static void
on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
    exchange_t *exchange = (exchange_t *)generator;

    exchange->aborted = true;
}

static void
start_response(exchange_t *exchange, uint32_t status, const char *content_type)
{
    h2o_req_t *req = exchange->req;

    req->res.status = (int)status;
    req->res.reason = status_reason(status);
    add_response_header(req, "content-type", content_type);
    if (exchange->response.name != NULL) {
        add_response_header(req, "x-request-id", exchange->response.name);
    }
    if (exchange->output_complete) {
        req->res.content_length = exchange->pending.length;
    }
    else {
        add_response_header(req, "cache-control", "no-cache");
    }
    exchange->started = true;
    h2o_start_response(req, &exchange->generator);
}

static void
send_tokens(exchange_t *exchange, const send_tokens_action_t *action)
{
    request_slo_record_tokens(&exchange->level,
                              action->token_ids.token_ids_len);
    response_add_tokens(&exchange->response, action, &exchange->pending);
    if (!exchange->response.stream) {
        return;
    }
    if (!exchange->started) {
        start_response(exchange, STATUS_OK, "text/event-stream");
    }
    if (!abort_if_too_slow(exchange)) {
        flush_output(exchange);
    }
}

static void
finish_response(exchange_t *exchange, const finish_action_t *action)
{
    request_slo_finish(&exchange->level, true);
    response_finish(&exchange->response, action, &exchange->pending);
    if (exchange->response.stream && !exchange->started) {
        start_response(exchange, STATUS_OK, "text/event-stream");
    }
    mark_finished(exchange);
    if (!exchange->started) {
        start_response(exchange, STATUS_OK, "application/json");
    }
    flush_output(exchange);
}

static void
send_reply(exchange_t *exchange, const reply_action_t *action)
{
    request_slo_finish(&exchange->level, true);
    text_append(&exchange->pending, action->body.body_val,
                action->body.body_len);
    mark_finished(exchange);
    start_response(exchange, action->status,
                   action->content_type[0] != '\0'
                       ? action->content_type
                       : "application/octet-stream");
    flush_output(exchange);
}

static void
refuse_request(exchange_t *exchange, const refuse_request_action_t *action)
{
    uint32_t status =
        action->status > 0 ? action->status : refusal_status(action->refusal);

    if (is_service_failure(action->refusal)) {
        request_slo_finish(&exchange->level, false);
    }
    response_add_refusal(&exchange->response, action, &exchange->pending);
    mark_finished(exchange);
    if (!exchange->started) {
        add_retry_after(exchange, action->retry_after_ms);
        start_response(exchange, status, "application/json");
    }
    flush_output(exchange);
}

/* Returns whether a refusal counts against the service level objective. */
static bool
is_service_failure(refusal_t refusal)
{
    switch (refusal) {
    case REFUSAL_OVERLOADED:
    case REFUSAL_LEAVING:
    case REFUSAL_NO_RUNNER:
    case REFUSAL_STORE_UNREACHED:
    case REFUSAL_BACKEND_LOST:
    case REFUSAL_BACKEND_FAILED:
        return true;
    default:
        return false;
    }
}

/* A request is relayed at most once, which prevents relay loops. */
static void
start_relay(exchange_t *exchange, const relay_action_t *action)
{
    refuse_request_action_t refusal = {
        .refusal = REFUSAL_LEAVING,
        .run = RUN_NOT_RUN,
        .retry_after_ms = RELAY_RETRY_AFTER_MS,
        .message = "the host is leaving: ask GET /v1/hosts for another",
    };

    if (copy_request_header(exchange->req, &exchange->arena,
                            relay_mark_host_header_lower) != NULL) {
        refuse_request(exchange, &refusal);
        return;
    }
    exchange->relay = relay_new(exchange, action);
}

/*
 * Aborts the response to a caller that reads too slowly, which bounds the
 * pending output.  The caller may reconnect and resume.
 */
static bool
abort_if_too_slow(exchange_t *exchange)
{
    if (exchange->pending.length <= PENDING_MAX_BYTES) {
        return false;
    }
    log_line(LOG_NOTICE, "caller too slow request=%s",
             exchange->response.name);
    abort_response(exchange);
    return true;
}

/* Ignores further actions and marks the pending output as the last. */
static void
mark_finished(exchange_t *exchange)
{
    exchange->finished = true;
    exchange->output_complete = true;
}

/* The final h2o_send may dispose of the request and free the exchange. */
static void
flush_output(exchange_t *exchange)
{
    text_t spare = exchange->in_flight;
    h2o_iovec_t bytes;
    h2o_send_state_t state = exchange->output_complete
                                 ? H2O_SEND_STATE_FINAL
                                 : H2O_SEND_STATE_IN_PROGRESS;

    if (exchange->sending || exchange->req == NULL ||
        (exchange->pending.length == 0 && !exchange->output_complete)) {
        return;
    }
    exchange->in_flight = exchange->pending;
    exchange->pending = spare;
    exchange->pending.length = 0;
    exchange->sending = true;
    bytes =
        h2o_iovec_init(exchange->in_flight.bytes, exchange->in_flight.length);
    h2o_send(exchange->req, &bytes, bytes.len > 0 ? 1 : 0, state);
}

void
exchange_relay_head(exchange_t *exchange, uint32_t status,
                    const char *content_type, uint32_t retry_after_ms)
{
    add_retry_after(exchange, retry_after_ms);
    start_response(exchange, status,
                   content_type != NULL ? content_type
                                        : "application/octet-stream");
}

void
exchange_relay_body(exchange_t *exchange, const char *bytes, size_t length)
{
    text_append(&exchange->pending, bytes, length);
    if (!abort_if_too_slow(exchange)) {
        flush_output(exchange);
    }
}

/*
 * If the request was not sent to the peer, it was not run; after any other
 * failure it may have been.
 */
void
exchange_relay_end(exchange_t *exchange, http_result_t result)
{
    refuse_request_action_t refusal = {
        .refusal = REFUSAL_LEAVING,
        .run = result == HTTP_NOT_SENT ? RUN_NOT_RUN : RUN_UNKNOWN,
        .retry_after_ms = RELAY_RETRY_AFTER_MS,
        .message = "the host is leaving and its relay to a peer failed: ask "
                   "GET /v1/hosts for another",
    };

    if (result == HTTP_DONE) {
        mark_finished(exchange);
        flush_output(exchange);
    }
    else if (exchange->started) {
        abort_response(exchange);
    }
    else {
        refuse_request(exchange, &refusal);
    }
}

/*
 * Aborts the response.  While h2o is sending, h2o_send must not be called, so
 * the socket is shut down instead.
 */
static void
abort_response(exchange_t *exchange)
{
    int fd = exchange_socket_fd(exchange);

    exchange->references++;
    exchange->finished = true;
    exchange->aborted = true;
    text_free(&exchange->pending);
    if (!exchange->sending) {
        h2o_send(exchange->req, NULL, 0, H2O_SEND_STATE_ERROR);
    }
    else if (fd >= 0) {
        (void)shutdown(fd, SHUT_RDWR);
    }
    report_disconnect(exchange);
    drop_reference(exchange);
}

static void
report_disconnect(exchange_t *exchange)
{
    event_t event = {.kind = EVENT_CALLER_DISCONNECTED};

    exchange->finished = true;
    if (exchange->relay != NULL) {
        relay_free(exchange->relay);
        exchange->relay = NULL;
        return;
    }
    event.event_t_u.caller_disconnected.caller = exchange->number;
    dispatch_event(exchange->daemon->dispatch, &event);
}

static void
add_retry_after(exchange_t *exchange, uint32_t retry_after_ms)
{
    uint32_t retry_s =
        retry_after_ms / MS_PER_S + (retry_after_ms % MS_PER_S > 0 ? 1 : 0);

    if (retry_s > 0) {
        add_response_header(
            exchange->req, "retry-after",
            arena_printf(&exchange->arena, "%" PRIu32, retry_s));
    }
}
