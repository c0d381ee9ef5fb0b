/* caller.c - one request of a caller and the answer that goes back. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "agated/caller.h"
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
    caller_t *caller;
} tie_t;

static caller_t *caller_new(daemon_t *daemon, caller_t **table,
                            uint64_t number, h2o_req_t *req);
static void caller_free(caller_t *caller);
static void unpin(caller_t *caller);
static void read_input(caller_t *caller, request_input_t *input);
static void keep_parsed(caller_t *caller, const request_parsed_t *parsed);
static void on_dispose(void *memory);
static void on_proceed(h2o_generator_t *generator, h2o_req_t *req);
static void on_stop(h2o_generator_t *generator, h2o_req_t *req);
static void begin(caller_t *caller, uint32_t status, const char *content_type);
static void give(caller_t *caller, const give_order_t *order);
static void finish(caller_t *caller, const finish_order_t *order);
static void reply(caller_t *caller, const reply_order_t *order);
static void refuse(caller_t *caller, const refuse_order_t *order);
static void end(caller_t *caller);
static void flush(caller_t *caller);
static void break_off(caller_t *caller);
static void tell_gone(caller_t *caller);
static void add_header(h2o_req_t *req, const char *name, const char *value);
static const char *reason_of(uint32_t status);

void
caller_accept(daemon_t *daemon, caller_t **table, uint64_t number,
              h2o_req_t *req)
{
    caller_t *caller = caller_new(daemon, table, number, req);
    request_input_t input;
    request_parsed_t parsed;
    refuse_order_t refusal;
    event_t event = {.kind = EVENT_REQUEST};

    read_input(caller, &input);
    if (request_read(&input, &caller->arena, &parsed, &refusal) < 0) {
        caller->forgotten = true;
        caller->over = true;
        respond_refusal(req, &refusal);
        return;
    }
    keep_parsed(caller, &parsed);
    event.event_t_u.request = parsed.event;
    event.event_t_u.request.caller = number;
    dispatch_event(daemon->dispatch, &event);
}

void
caller_order(caller_t *caller, const order_t *order)
{
    if (order->kind == ORDER_FORGET) {
        caller->forgotten = true;
        caller_free(caller);
        return;
    }
    if (caller->over || caller->req == NULL) {
        return;
    }
    switch (order->kind) {
    case ORDER_GIVE:
        give(caller, &order->order_t_u.give);
        return;
    case ORDER_FINISH:
        finish(caller, &order->order_t_u.finish);
        return;
    case ORDER_REPLY:
        reply(caller, &order->order_t_u.reply);
        return;
    case ORDER_REFUSE:
        refuse(caller, &order->order_t_u.refuse);
        return;
    default:
        return;
    }
}

void
caller_cut(caller_t *caller)
{
    refuse_order_t refusal = {
        .refusal = REFUSAL_INVALID,
        .run = RUN_UNKNOWN,
        .message = "the connection was half-closed and the request cancelled: "
                   "keep it open until the answer has come",
    };

    if (caller->over || caller->req == NULL) {
        return;
    }
    caller->req->http1_is_persistent = 0;
    if (caller->begun) {
        break_off(caller);
        return;
    }
    caller->pins++;
    refuse(caller, &refusal);
    tell_gone(caller);
    unpin(caller);
}

int
caller_socket(const caller_t *caller)
{
    h2o_conn_t *conn;

    if (caller->req == NULL || caller->req->version >= HTTP2_VERSION) {
        return -1;
    }
    conn = caller->req->conn;
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

static caller_t *
caller_new(daemon_t *daemon, caller_t **table, uint64_t number, h2o_req_t *req)
{
    caller_t *caller = xcalloc(1, sizeof(*caller));
    tie_t *tie = h2o_mem_alloc_shared(&req->pool, sizeof(*tie), on_dispose);

    tie->caller = caller;
    caller->generator.proceed = on_proceed;
    caller->generator.stop = on_stop;
    caller->number = number;
    caller->daemon = daemon;
    caller->table = table;
    caller->req = req;
    HASH_ADD(hh, *table, number, sizeof(number), caller);
    return caller;
}

/* Frees it unless h2o or the node still needs it. */
static void
caller_free(caller_t *caller)
{
    if (caller->req != NULL || !caller->forgotten || caller->pins > 0) {
        return;
    }
    HASH_DEL(*caller->table, caller);
    response_free(&caller->response);
    text_free(&caller->gathered);
    text_free(&caller->inflight);
    arena_free(&caller->arena);
    free(caller);
}

static void
unpin(caller_t *caller)
{
    caller->pins--;
    caller_free(caller);
}

static void
read_input(caller_t *caller, request_input_t *input)
{
    h2o_req_t *req = caller->req;
    arena_t *arena = &caller->arena;

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
        .fresh_name = arena_printf(arena, "r%016" PRIx64 "%016" PRIx64,
                                   random_u64(), random_u64()),
    };
    caller->body.method = input->method;
    caller->body.content_type = input->content_type;
    caller->body.bytes = input->body;
    caller->body.length = input->body_bytes;
}

static void
keep_parsed(caller_t *caller, const request_parsed_t *parsed)
{
    response_t *response = &caller->response;

    caller->body.path = parsed->service_path;
    caller->body.model = parsed->event.model;
    response->name = parsed->event.key;
    response->model = parsed->event.model;
    response->endpoint = parsed->event.endpoint;
    response->stream = parsed->event.stream;
    response->token_ids = parsed->token_ids;
    response->usage = parsed->usage;
    response->created_s = time(NULL);
    response->position = parsed->event.position;
}

static void
on_dispose(void *memory)
{
    caller_t *caller = ((tie_t *)memory)->caller;

    caller->req = NULL;
    caller->pins++;
    if (!caller->over) {
        tell_gone(caller);
    }
    unpin(caller);
}

static void
on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
    caller_t *caller = (caller_t *)generator;

    caller->sending = false;
    if (caller->broken) {
        h2o_send(req, NULL, 0, H2O_SEND_STATE_ERROR);
        return;
    }
    if (caller->gathered.length > 0 || caller->last) {
        flush(caller);
    }
}

/* What is to be done follows when h2o clears the request's pool. */
static void
on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
    caller_t *caller = (caller_t *)generator;

    caller->broken = true;
}

static void
begin(caller_t *caller, uint32_t status, const char *content_type)
{
    h2o_req_t *req = caller->req;

    req->res.status = (int)status;
    req->res.reason = reason_of(status);
    add_header(req, "content-type", content_type);
    if (caller->response.name != NULL) {
        add_header(req, "x-request-id", caller->response.name);
    }
    if (caller->last) {
        req->res.content_length = caller->gathered.length;
    }
    else {
        add_header(req, "cache-control", "no-cache");
    }
    caller->begun = true;
    h2o_start_response(req, &caller->generator);
}

static void
give(caller_t *caller, const give_order_t *order)
{
    response_give(&caller->response, order, &caller->gathered);
    if (!caller->response.stream) {
        return;
    }
    if (!caller->begun) {
        begin(caller, STATUS_OK, "text/event-stream");
    }
    if (caller->gathered.length > GATHERED_MAX_BYTES) {
        log_line(LOG_NOTICE, "caller too slow request=%s",
                 caller->response.name);
        break_off(caller);
        return;
    }
    flush(caller);
}

static void
finish(caller_t *caller, const finish_order_t *order)
{
    response_finish(&caller->response, order, &caller->gathered);
    if (caller->response.stream && !caller->begun) {
        begin(caller, STATUS_OK, "text/event-stream");
    }
    end(caller);
    if (!caller->begun) {
        begin(caller, STATUS_OK, "application/json");
    }
    flush(caller);
}

static void
reply(caller_t *caller, const reply_order_t *order)
{
    text_append(&caller->gathered, order->body.body_val, order->body.body_len);
    end(caller);
    begin(caller, order->status,
          order->content_type[0] != '\0' ? order->content_type
                                         : "application/octet-stream");
    flush(caller);
}

static void
refuse(caller_t *caller, const refuse_order_t *order)
{
    uint32_t status =
        order->status > 0 ? order->status : refusal_status(order->refusal);
    uint32_t retry_s = order->retry_after_ms / MS_PER_S +
                       (order->retry_after_ms % MS_PER_S > 0 ? 1 : 0);

    response_refuse(&caller->response, order, &caller->gathered);
    end(caller);
    if (!caller->begun) {
        if (retry_s > 0) {
            add_header(caller->req, "retry-after",
                       arena_printf(&caller->arena, "%" PRIu32, retry_s));
        }
        begin(caller, status, "application/json");
    }
    flush(caller);
}

/* No order counts any more and nothing follows. */
static void
end(caller_t *caller)
{
    caller->over = true;
    caller->last = true;
}

/* The last send may dispose of the request, and then of the caller. */
static void
flush(caller_t *caller)
{
    text_t sent = caller->inflight;
    h2o_iovec_t bytes;
    h2o_send_state_t state =
        caller->last ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS;

    if (caller->sending || caller->req == NULL) {
        return;
    }
    caller->inflight = caller->gathered;
    caller->gathered = sent;
    caller->gathered.length = 0;
    caller->sending = true;
    bytes = h2o_iovec_init(caller->inflight.bytes, caller->inflight.length);
    h2o_send(caller->req, &bytes, bytes.len > 0 ? 1 : 0, state);
}

/* Cuts the response off: h2o must not be called while it is sending. */
static void
break_off(caller_t *caller)
{
    int fd = caller_socket(caller);

    caller->pins++;
    caller->over = true;
    caller->broken = true;
    text_free(&caller->gathered);
    if (!caller->sending) {
        h2o_send(caller->req, NULL, 0, H2O_SEND_STATE_ERROR);
    }
    else if (fd >= 0) {
        (void)shutdown(fd, SHUT_RDWR);
    }
    tell_gone(caller);
    unpin(caller);
}

static void
tell_gone(caller_t *caller)
{
    event_t event = {.kind = EVENT_CALLER_GONE};

    caller->over = true;
    event.event_t_u.caller_gone.caller = caller->number;
    dispatch_event(caller->daemon->dispatch, &event);
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
