/* exchange.c - one request of a caller and the answer that goes back. */
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
    MS_PER_S = 1000
};

/* Lives in the request's pool and tells us when that is cleared. */
typedef struct {
    exchange_t *exchange;
} tie_t;

static exchange_t *exchange_new(daemon_t *daemon, exchange_t **table,
                                uint64_t number, h2o_req_t *req);
static void exchange_free(exchange_t *exchange);
static void unpin(exchange_t *exchange);
static void read_input(exchange_t *exchange, request_input_t *input);
static void keep_parsed(exchange_t *exchange, const request_parsed_t *parsed);
static void on_dispose(void *memory);
static void on_proceed(h2o_generator_t *generator, h2o_req_t *req);
static void on_stop(h2o_generator_t *generator, h2o_req_t *req);
static void begin(exchange_t *exchange, uint32_t status,
                  const char *content_type);
static void give(exchange_t *exchange, const give_order_t *order);
static void finish(exchange_t *exchange, const finish_order_t *order);
static void reply(exchange_t *exchange, const reply_order_t *order);
static void refuse(exchange_t *exchange, const refuse_order_t *order);
static void end(exchange_t *exchange);
static void flush(exchange_t *exchange);
static void break_off(exchange_t *exchange);
static void tell_gone(exchange_t *exchange);
static void add_header(h2o_req_t *req, const char *name, const char *value);
static const char *reason_of(uint32_t status);

void
exchange_accept(daemon_t *daemon, exchange_t **table, uint64_t number,
                h2o_req_t *req)
{
    exchange_t *exchange = exchange_new(daemon, table, number, req);
    request_input_t input;
    request_parsed_t parsed;
    refuse_order_t refusal;
    event_t event = {.kind = EVENT_REQUEST};

    read_input(exchange, &input);
    if (request_read(&input, &exchange->arena, &parsed, &refusal) < 0) {
        exchange->forgotten = true;
        exchange->over = true;
        respond_refusal(req, &refusal);
        return;
    }
    keep_parsed(exchange, &parsed);
    event.event_t_u.request = parsed.event;
    event.event_t_u.request.caller = number;
    dispatch_event(daemon->dispatch, &event);
}

void
exchange_order(exchange_t *exchange, const order_t *order)
{
    if (order->kind == ORDER_FORGET) {
        exchange->forgotten = true;
        exchange_free(exchange);
        return;
    }
    if (exchange->over || exchange->req == NULL) {
        return;
    }
    switch (order->kind) {
    case ORDER_GIVE:
        give(exchange, &order->order_t_u.give);
        return;
    case ORDER_FINISH:
        finish(exchange, &order->order_t_u.finish);
        return;
    case ORDER_REPLY:
        reply(exchange, &order->order_t_u.reply);
        return;
    case ORDER_REFUSE:
        refuse(exchange, &order->order_t_u.refuse);
        return;
    default:
        return;
    }
}

void
exchange_cut(exchange_t *exchange)
{
    refuse_order_t refusal = {
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

void
respond(h2o_req_t *req, uint32_t status, const char *content_type,
        const char *body, size_t length)
{
    static h2o_generator_t generator;
    h2o_iovec_t bytes = h2o_strdup(&req->pool, body, length);

    req->res.status = (int)status;
    req->res.reason = reason_of(status);
    req->res.content_length = length;
    add_header(req, "content-type", content_type);
    h2o_start_response(req, &generator);
    h2o_send(req, &bytes, length > 0 ? 1 : 0, H2O_SEND_STATE_FINAL);
}

void
respond_refusal(h2o_req_t *req, const refuse_order_t *refusal)
{
    text_t text = {0};

    refusal_json(refusal, &text);
    respond(req,
            refusal->status > 0 ? refusal->status
                                : refusal_status(refusal->refusal),
            "application/json", text.bytes, text.length);
    text_free(&text);
}

const char *
header_copy(h2o_req_t *req, arena_t *arena, const char *name)
{
    const h2o_token_t *token = h2o_lookup_token(name, strlen(name));
    const h2o_header_t *header;
    ssize_t at = token != NULL ? h2o_find_header(&req->headers, token, -1)
                               : h2o_find_header_by_str(&req->headers, name,
                                                        strlen(name), -1);

    if (at < 0) {
        return NULL;
    }
    header = &req->headers.entries[at];
    return arena_strndup(arena, header->value.base, header->value.len);
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
read_input(exchange_t *exchange, request_input_t *input)
{
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
    if (exchange->gathered.length > 0 || exchange->last) {
        flush(exchange);
    }
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
give(exchange_t *exchange, const give_order_t *order)
{
    response_give(&exchange->response, order, &exchange->gathered);
    if (!exchange->response.stream) {
        return;
    }
    if (!exchange->begun) {
        begin(exchange, STATUS_OK, "text/event-stream");
    }
    if (exchange->gathered.length > GATHERED_MAX_BYTES) {
        log_line(LOG_NOTICE, "caller too slow request=%s",
                 exchange->response.name);
        break_off(exchange);
        return;
    }
    flush(exchange);
}

static void
finish(exchange_t *exchange, const finish_order_t *order)
{
    response_finish(&exchange->response, order, &exchange->gathered);
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
reply(exchange_t *exchange, const reply_order_t *order)
{
    text_append(&exchange->gathered, order->body.body_val,
                order->body.body_len);
    end(exchange);
    begin(exchange, order->status,
          order->content_type[0] != '\0' ? order->content_type
                                         : "application/octet-stream");
    flush(exchange);
}

static void
refuse(exchange_t *exchange, const refuse_order_t *order)
{
    uint32_t status =
        order->status > 0 ? order->status : refusal_status(order->refusal);
    uint32_t retry_s = order->retry_after_ms / MS_PER_S +
                       (order->retry_after_ms % MS_PER_S > 0 ? 1 : 0);

    response_refuse(&exchange->response, order, &exchange->gathered);
    end(exchange);
    if (!exchange->begun) {
        if (retry_s > 0) {
            add_header(exchange->req, "retry-after",
                       arena_printf(&exchange->arena, "%" PRIu32, retry_s));
        }
        begin(exchange, status, "application/json");
    }
    flush(exchange);
}

/* No order counts any more and nothing follows. */
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

    if (exchange->sending || exchange->req == NULL) {
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
    event_t event = {.kind = EVENT_CALLER_GONE};

    exchange->over = true;
    event.event_t_u.caller_gone.caller = exchange->number;
    dispatch_event(exchange->daemon->dispatch, &event);
}

/* The value must live as long as the request. */
static void
add_header(h2o_req_t *req, const char *name, const char *value)
{
    h2o_iovec_t copy = h2o_strdup(&req->pool, value, SIZE_MAX);

    h2o_add_header_by_str(&req->pool, &req->res.headers, name, strlen(name), 1,
                          NULL, copy.base, copy.len);
}

static const char *
reason_of(uint32_t status)
{
    static const struct {
        uint32_t status;
        const char *reason;
    } reasons[] = {
        {200, "OK"},
        {400, "Bad Request"},
        {401, "Unauthorized"},
        {403, "Forbidden"},
        {404, "Not Found"},
        {405, "Method Not Allowed"},
        {409, "Conflict"},
        {413, "Content Too Large"},
        {422, "Unprocessable Content"},
        {429, "Too Many Requests"},
        {500, "Internal Server Error"},
        {502, "Bad Gateway"},
        {503, "Service Unavailable"},
    };
    size_t i;

    for (i = 0; i < sizeof(reasons) / sizeof(reasons[0]); i++) {
        if (reasons[i].status == status) {
            return reasons[i].reason;
        }
    }
    return "Status";
}
