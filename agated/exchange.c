/* exchange.c - one request of a caller and the answer that goes back. */
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "agated/exchange.h"
#include "base/log.h"

enum {
    HTTP2_VERSION = 0x200,
    GATHERED_MAX_BYTES = 1 << 20,
    FRESH_NAME_BYTES = 40,
    STATUS_OK = 200,
    MS_PER_S = 1000,
    RELAY_RETRY_AFTER_MS = 1000
};

/* Lives in the request's pool and tells us when that is cleared. */
typedef struct {
    exchange_t *exchange;
} tie_t;

static bool has_hung_up(const exchange_t *exchange);
static exchange_t *exchange_new(daemon_t *daemon, exchange_t **table,
                                uint64_t number, h2o_req_t *req);
static void exchange_free(exchange_t *exchange);
static void unpin(exchange_t *exchange);
static void read_input(exchange_t *exchange);
static void keep_parsed(exchange_t *exchange, const request_parsed_t *parsed);
static void on_dispose(void *memory);
static void on_proceed(h2o_generator_t *generator, h2o_req_t *req);
static void on_stop(h2o_generator_t *generator, h2o_req_t *req);
static void begin(exchange_t *exchange, uint32_t status,
                  const char *content_type);
static void send_tokens(exchange_t *exchange,
                        const send_tokens_action_t *action);
static void finish(exchange_t *exchange, const finish_action_t *action);
static void reply(exchange_t *exchange, const reply_action_t *action);
static void refuse(exchange_t *exchange,
                   const refuse_request_action_t *action);
static void relay_on(exchange_t *exchange, const relay_action_t *action);
static bool is_too_slow(exchange_t *exchange);
static bool is_our_fault(refusal_t refusal);
static void end(exchange_t *exchange);
static void flush(exchange_t *exchange);
static void break_off(exchange_t *exchange);
static void tell_gone(exchange_t *exchange);
static void add_retry_after(exchange_t *exchange, uint32_t retry_after_ms);

void
exchange_accept(daemon_t *daemon, exchange_t **table, uint64_t number,
                h2o_req_t *req)
{
    exchange_t *exchange = exchange_new(daemon, table, number, req);
    request_parsed_t parsed;
    refuse_request_action_t refusal;
    event_t event = {.kind = EVENT_REQUEST};

    read_input(exchange);
    if (request_read(&exchange->input, &exchange->arena, &parsed, &refusal) <
        0) {
        exchange->forgotten = true;
        exchange->over = true;
        respond_refusal(req, &refusal);
        return;
    }
    if (has_hung_up(exchange)) {
        refusal = refusal_new(REFUSAL_SUPERSEDED, 0,
                              "the connection was closed before the request "
                              "was taken up: send it over another one");
        exchange->forgotten = true;
        exchange->over = true;
        respond_refusal(req, &refusal);
        return;
    }
    keep_parsed(exchange, &parsed);
    level_start(daemon->levels, &exchange->level, &parsed.event);
    event.event_t_u.request = parsed.event;
    event.event_t_u.request.caller = number;
    dispatch_event(daemon->dispatch, &event);
}

void
exchange_order(exchange_t *exchange, const action_t *action)
{
    if (action->kind == ACTION_FREE_BODY) {
        exchange->forgotten = true;
        exchange_free(exchange);
        return;
    }
    if (exchange->over || exchange->req == NULL) {
        return;
    }
    switch (action->kind) {
    case ACTION_SEND_TOKENS:
        send_tokens(exchange, &action->action_t_u.send_tokens);
        return;
    case ACTION_FINISH:
        finish(exchange, &action->action_t_u.finish);
        return;
    case ACTION_REPLY:
        reply(exchange, &action->action_t_u.reply);
        return;
    case ACTION_REFUSE:
        refuse(exchange, &action->action_t_u.refuse);
        return;
    case ACTION_RELAY:
        relay_on(exchange, &action->action_t_u.relay);
        return;
    default:
        return;
    }
}

void
exchange_cut(exchange_t *exchange)
{
    refuse_request_action_t refusal = {
        .refusal = REFUSAL_INVALID,
        .run = RUN_UNKNOWN,
        .message = "the connection was half-closed and the request cancelled: "
                   "keep it open until the answer has come",
    };

    if (exchange->over || exchange->req == NULL) {
        return;
    }
    exchange->req->http1_is_persistent = 0;
    if (exchange->begun) {
        break_off(exchange);
        return;
    }
    exchange->pins++;
    refuse(exchange, &refusal);
    tell_gone(exchange);
    unpin(exchange);
}

int
exchange_socket(const exchange_t *exchange)
{
    h2o_conn_t *conn;

    if (exchange->req == NULL || exchange->req->version >= HTTP2_VERSION) {
        return -1;
    }
    conn = exchange->req->conn;
    return h2o_socket_get_fd(conn->callbacks->get_socket(conn));
}

/*
 * Whether the caller closed its side already.  A host that was paused finds
 * such requests when it wakes; taking one up could take the session away
 * from the connection that its caller has now.
 */
static bool
has_hung_up(const exchange_t *exchange)
{
    int fd = exchange_socket(exchange);
    ssize_t length;
    char byte;

    if (fd < 0) {
        return false;
    }
    length = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return length == 0 || (length < 0 && errno != EAGAIN && errno != EINTR);
}

static exchange_t *
exchange_new(daemon_t *daemon, exchange_t **table, uint64_t number,
             h2o_req_t *req)
{
    exchange_t *exchange = xcalloc(1, sizeof(*exchange));
    tie_t *tie = h2o_mem_alloc_shared(&req->pool, sizeof(*tie), on_dispose);

    tie->exchange = exchange;
    exchange->generator.proceed = on_proceed;
    exchange->generator.stop = on_stop;
    exchange->number = number;
    exchange->daemon = daemon;
    exchange->table = table;
    exchange->req = req;
    HASH_ADD(hh, *table, number, sizeof(number), exchange);
    return exchange;
}

/* Frees it unless h2o or the node still needs it. */
static void
exchange_free(exchange_t *exchange)
{
    if (exchange->req != NULL || !exchange->forgotten || exchange->pins > 0) {
        return;
    }
    HASH_DEL(*exchange->table, exchange);
    if (exchange->relay != NULL) {
        relay_free(exchange->relay);
    }
    response_free(&exchange->response);
    text_free(&exchange->gathered);
    text_free(&exchange->inflight);
    arena_free(&exchange->arena);
    free(exchange);
}

static void
unpin(exchange_t *exchange)
{
    exchange->pins--;
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
        .content_type = header_copy(req, arena, "content-type"),
        .authorization = header_copy(req, arena, "authorization"),
        .idempotency_key = header_copy(req, arena, "idempotency-key"),
        .last_event_id = header_copy(req, arena, "last-event-id"),
        .request_kind = header_copy(req, arena, "x-request-kind"),
        .body = arena_memdup(arena, req->entity.base, req->entity.len),
        .body_bytes = req->entity.len,
        .position_key = &exchange->daemon->position_key,
        .fresh_name = arena_printf(arena, "r%016" PRIx64 "%016" PRIx64,
                                   random_u64(), random_u64()),
    };
    exchange->body.method = input->method;
    exchange->body.content_type = input->content_type;
    exchange->body.bytes = input->body;
    exchange->body.length = input->body_bytes;
}

static void
keep_parsed(exchange_t *exchange, const request_parsed_t *parsed)
{
    response_t *response = &exchange->response;

    exchange->body.path = parsed->service_path;
    response->name = parsed->event.key;
    response->position_key = &exchange->daemon->position_key;
    response->model = parsed->event.model;
    response->endpoint = parsed->event.endpoint;
    response->stream = parsed->event.stream;
    response->token_ids = parsed->token_ids;
    response->usage = parsed->usage;
    response->created_s = time(NULL);
    response->position = parsed->event.position;
    response->resumed = parsed->event.position > 0;
}

static void
on_dispose(void *memory)
{
    exchange_t *exchange = ((tie_t *)memory)->exchange;

    exchange->req = NULL;
    exchange->pins++;
    if (!exchange->over) {
        tell_gone(exchange);
    }
    unpin(exchange);
}

static void
on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
    exchange_t *exchange = (exchange_t *)generator;

    exchange->sending = false;
    if (exchange->broken) {
        h2o_send(req, NULL, 0, H2O_SEND_STATE_ERROR);
        return;
    }
    flush(exchange);
}

/* What is to be done follows when h2o clears the request's pool. */
static void
on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
    exchange_t *exchange = (exchange_t *)generator;

    exchange->broken = true;
}

static void
begin(exchange_t *exchange, uint32_t status, const char *content_type)
{
    h2o_req_t *req = exchange->req;

    req->res.status = (int)status;
    req->res.reason = reason_of(status);
    add_header(req, "content-type", content_type);
    if (exchange->response.name != NULL) {
        add_header(req, "x-request-id", exchange->response.name);
    }
    if (exchange->last) {
        req->res.content_length = exchange->gathered.length;
    }
    else {
        add_header(req, "cache-control", "no-cache");
    }
    exchange->begun = true;
    h2o_start_response(req, &exchange->generator);
}

static void
send_tokens(exchange_t *exchange, const send_tokens_action_t *action)
{
    level_tokens(&exchange->level, action->token_ids.token_ids_len);
    response_give(&exchange->response, action, &exchange->gathered);
    if (!exchange->response.stream) {
        return;
    }
    if (!exchange->begun) {
        begin(exchange, STATUS_OK, "text/event-stream");
    }
    if (!is_too_slow(exchange)) {
        flush(exchange);
    }
}

static void
finish(exchange_t *exchange, const finish_action_t *action)
{
    level_end(&exchange->level, true);
    response_finish(&exchange->response, action, &exchange->gathered);
    if (exchange->response.stream && !exchange->begun) {
        begin(exchange, STATUS_OK, "text/event-stream");
    }
    end(exchange);
    if (!exchange->begun) {
        begin(exchange, STATUS_OK, "application/json");
    }
    flush(exchange);
}

static void
reply(exchange_t *exchange, const reply_action_t *action)
{
    level_end(&exchange->level, true);
    text_append(&exchange->gathered, action->body.body_val,
                action->body.body_len);
    end(exchange);
    begin(exchange, action->status,
          action->content_type[0] != '\0' ? action->content_type
                                          : "application/octet-stream");
    flush(exchange);
}

static void
refuse(exchange_t *exchange, const refuse_request_action_t *action)
{
    uint32_t status =
        action->status > 0 ? action->status : refusal_status(action->refusal);

    if (is_our_fault(action->refusal)) {
        level_end(&exchange->level, false);
    }
    response_refuse(&exchange->response, action, &exchange->gathered);
    end(exchange);
    if (!exchange->begun) {
        add_retry_after(exchange, action->retry_after_ms);
        begin(exchange, status, "application/json");
    }
    flush(exchange);
}

/* Refusals that count against the service's objective. */
static bool
is_our_fault(refusal_t refusal)
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

/* A request goes over one peer at most. */
static void
relay_on(exchange_t *exchange, const relay_action_t *action)
{
    refuse_request_action_t refusal = {
        .refusal = REFUSAL_LEAVING,
        .run = RUN_NOT_RUN,
        .retry_after_ms = RELAY_RETRY_AFTER_MS,
        .message = "the host is leaving: ask GET /v1/hosts for another",
    };

    if (header_copy(exchange->req, &exchange->arena, "x-relayed-by") != NULL) {
        refuse(exchange, &refusal);
        return;
    }
    exchange->relay = relay_new(exchange, action);
}

/* A caller that reads too slowly is cut off, and may come back. */
static bool
is_too_slow(exchange_t *exchange)
{
    if (exchange->gathered.length <= GATHERED_MAX_BYTES) {
        return false;
    }
    log_line(LOG_NOTICE, "caller too slow request=%s",
             exchange->response.name);
    break_off(exchange);
    return true;
}

/* No action counts any more and nothing follows. */
static void
end(exchange_t *exchange)
{
    exchange->over = true;
    exchange->last = true;
}

/* The last send may dispose of the request, and then of the exchange. */
static void
flush(exchange_t *exchange)
{
    text_t sent = exchange->inflight;
    h2o_iovec_t bytes;
    h2o_send_state_t state =
        exchange->last ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS;

    if (exchange->sending || exchange->req == NULL ||
        (exchange->gathered.length == 0 && !exchange->last)) {
        return;
    }
    exchange->inflight = exchange->gathered;
    exchange->gathered = sent;
    exchange->gathered.length = 0;
    exchange->sending = true;
    bytes =
        h2o_iovec_init(exchange->inflight.bytes, exchange->inflight.length);
    h2o_send(exchange->req, &bytes, bytes.len > 0 ? 1 : 0, state);
}

void
exchange_pass_head(exchange_t *exchange, uint32_t status,
                   const char *content_type, uint32_t retry_after_ms)
{
    add_retry_after(exchange, retry_after_ms);
    begin(exchange, status,
          content_type != NULL ? content_type : "application/octet-stream");
}

void
exchange_pass_body(exchange_t *exchange, const char *bytes, size_t length)
{
    text_append(&exchange->gathered, bytes, length);
    if (!is_too_slow(exchange)) {
        flush(exchange);
    }
}

/* A peer that was not reached has run nothing. */
void
exchange_pass_end(exchange_t *exchange, http_result_t result)
{
    refuse_request_action_t refusal = {
        .refusal = REFUSAL_LEAVING,
        .run = result == HTTP_NOT_SENT ? RUN_NOT_RUN : RUN_UNKNOWN,
        .retry_after_ms = RELAY_RETRY_AFTER_MS,
        .message = "the host is leaving and lost the one that it passed the "
                   "request to: ask GET /v1/hosts for another",
    };

    if (result == HTTP_DONE) {
        end(exchange);
        flush(exchange);
    }
    else if (exchange->begun) {
        break_off(exchange);
    }
    else {
        refuse(exchange, &refusal);
    }
}

/* Cuts the response off: h2o must not be called while it is sending. */
static void
break_off(exchange_t *exchange)
{
    int fd = exchange_socket(exchange);

    exchange->pins++;
    exchange->over = true;
    exchange->broken = true;
    text_free(&exchange->gathered);
    if (!exchange->sending) {
        h2o_send(exchange->req, NULL, 0, H2O_SEND_STATE_ERROR);
    }
    else if (fd >= 0) {
        (void)shutdown(fd, SHUT_RDWR);
    }
    tell_gone(exchange);
    unpin(exchange);
}

static void
tell_gone(exchange_t *exchange)
{
    event_t event = {.kind = EVENT_CALLER_DISCONNECTED};

    exchange->over = true;
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
        add_header(exchange->req, "retry-after",
                   arena_printf(&exchange->arena, "%" PRIu32, retry_s));
    }
}
