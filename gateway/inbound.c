/* inbound.c - one request of a caller and the answer that goes back. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include <xxhash.h>

#include "base/log.h"
#include "gateway/inbound.h"

enum {
    STATUS_BAD_REQUEST = 400,
    /* A caller that reads too slowly is cut off, and may come back. */
    GATHERED_MAX_BYTES = 1 << 20,
};

/* Lives in the request's pool and tells us when that is cleared. */
typedef struct {
    inbound_t *caller;
    inbound_t **table;
} tie_t;

static bool has_left(const inbound_t *caller);
static void read_request(inbound_t *caller);
static void raise_request(inbound_t *caller);
static uint64_t fingerprint(const caller_request_t *request, const char *key);
static bool is_of_connection(const h2o_req_t *req, const h2o_header_t *header);
static bool names_header(h2o_iovec_t list, h2o_iovec_t name);
static bool is_ambiguous(const h2o_req_t *req);
static void on_dispose(void *memory);
static void on_proceed(h2o_generator_t *generator, h2o_req_t *req);
static void on_stop(h2o_generator_t *generator, h2o_req_t *req);
static void start(inbound_t *caller, const runner_answer_t *answer);
static void flush(inbound_t *caller);

void
inbound_accept(gateway_t *gateway, inbound_t **table, uint64_t number,
               h2o_req_t *req)
{
    inbound_t *caller;
    tie_t *tie;

    if (is_ambiguous(req)) {
        req->http1_is_persistent = 0;
        inbound_respond(req, STATUS_BAD_REQUEST, "text/plain",
                        H2O_STRLIT("the length of the body is stated twice: "
                                   "state it once\n"));
        return;
    }
    caller = xcalloc(1, sizeof(*caller));
    tie = h2o_mem_alloc_shared(&req->pool, sizeof(*tie), on_dispose);
    tie->caller = caller;
    tie->table = table;
    caller->generator.proceed = on_proceed;
    caller->generator.stop = on_stop;
    caller->number = number;
    caller->gateway = gateway;
    caller->req = req;
    HASH_ADD(hh, *table, number, sizeof(caller->number), caller);
    if (has_left(caller)) {
        log_event(LOG_INFO, "caller-left", "at=accept");
        inbound_break(caller);
        return;
    }
    read_request(caller);
    raise_request(caller);
}

void
inbound_cut(inbound_t *caller)
{
    forward_event_t event = {.kind = FORWARD_CALLER_DISCONNECTED,
                             .u.disconnected = caller->number};

    if (caller->over) {
        return;
    }
    forwarding_event(caller->gateway, &event);
    inbound_break(caller);
}

int
inbound_socket(const inbound_t *caller)
{
    h2o_conn_t *conn = caller->req->conn;

    return h2o_socket_get_fd(conn->callbacks->get_socket(conn));
}

void
inbound_answer(inbound_t *caller, const runner_answer_t *answer)
{
    if (caller->over || caller->begun) {
        return;
    }
    caller->over = true;
    caller->last = true;
    text_append(&caller->gathered, answer->body, answer->body_bytes);
    caller->req->res.content_length = answer->body_bytes;
    start(caller, answer);
    flush(caller);
}

void
inbound_begin(inbound_t *caller, const runner_answer_t *answer)
{
    if (caller->over || caller->begun) {
        return;
    }
    start(caller, answer);
}

bool
inbound_event(inbound_t *caller, const stream_event_t *event)
{
    if (caller->over || !caller->begun ||
        (event->has_id && event->id <= caller->last_event_id)) {
        return false;
    }
    if (event->has_id) {
        caller->last_event_id = event->id;
    }
    text_append(&caller->gathered, event->bytes, event->length);
    if (caller->gathered.length > GATHERED_MAX_BYTES) {
        log_event(LOG_NOTICE, "caller-slow", "request=%s", caller->request.id);
        inbound_cut(caller);
        return false;
    }
    flush(caller);
    return true;
}

void
inbound_finish(inbound_t *caller)
{
    if (caller->over) {
        return;
    }
    caller->over = true;
    caller->last = true;
    flush(caller);
}

void
inbound_refuse(inbound_t *caller, const refuse_action_t *refusal)
{
    const dialect_ops_t *dialect = caller->gateway->dialect->ops;
    const char *body;

    if (caller->over || caller->begun) {
        return;
    }
    caller->over = true;
    if (refusal->retry_after_ms > 0) {
        const char *value = dialect->write_retry_after(
            &caller->arena, refusal->retry_after_ms);

        h2o_add_header(&caller->req->pool, &caller->req->res.headers,
                       H2O_TOKEN_RETRY_AFTER, NULL, value, strlen(value));
    }
    body = arena_printf(&caller->arena,
                        "{\"error\":{\"kind\":\"%s\",\"run\":\"%s\"}}\n",
                        refuse_reason_name(refusal->reason),
                        refusal->not_run ? "not-run" : "unknown");
    inbound_respond(caller->req, refusal->status, "application/json", body,
                    strlen(body));
}

/*
 * The socket is shut first: h2o ends a chunked answer that failed with bytes
 * that are no chunk, which a caller could take for part of an answer.  It
 * must not be called while it is sending.
 */
void
inbound_break(inbound_t *caller)
{
    if (caller->over) {
        return;
    }
    caller->over = true;
    caller->broken = true;
    caller->req->http1_is_persistent = 0;
    text_free(&caller->gathered);
    (void)shutdown(inbound_socket(caller), SHUT_RDWR);
    if (caller->sending) {
        return;
    }
    if (!caller->begun) {
        caller->begun = true;
        caller->req->res.status = STATUS_BAD_REQUEST;
        caller->req->res.reason = "Bad Request";
        h2o_start_response(caller->req, &caller->generator);
    }
    h2o_send(caller->req, NULL, 0, H2O_SEND_STATE_ERROR);
}

void
inbound_respond(h2o_req_t *req, uint32_t status, const char *content_type,
                const char *body, size_t length)
{
    static h2o_generator_t generator;
    h2o_iovec_t bytes = h2o_strdup(&req->pool, body, length);

    req->res.status = (int)status;
    req->res.reason = "Status";
    req->res.content_length = length;
    h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL,
                   content_type, strlen(content_type));
    h2o_start_response(req, &generator);
    h2o_send(req, &bytes, length > 0 ? 1 : 0, H2O_SEND_STATE_FINAL);
}

/* A host that was paused finds such requests when it wakes. */
static bool
has_left(const inbound_t *caller)
{
    char byte;
    ssize_t length =
        recv(inbound_socket(caller), &byte, 1, MSG_PEEK | MSG_DONTWAIT);

    return length == 0 || (length < 0 && errno != EAGAIN && errno != EINTR);
}

static void
read_request(inbound_t *caller)
{
    const h2o_req_t *req = caller->req;
    caller_request_t *request = &caller->request;
    arena_t *arena = &caller->arena;
    size_t i;

    request->method = arena_strndup(arena, req->method.base, req->method.len);
    request->path = arena_strndup(arena, req->path.base, req->path.len);
    request->host =
        arena_strndup(arena, req->authority.base, req->authority.len);
    request->body = req->entity.base;
    request->body_bytes = req->entity.len;
    for (i = 0; i < req->headers.size; i++) {
        const h2o_header_t *header = &req->headers.entries[i];

        if (is_of_connection(req, header)) {
            continue;
        }
        headers_add(&request->headers, arena,
                    (header_t){
                        .name = arena_strndup(arena,
                                              header->orig_name != NULL
                                                  ? header->orig_name
                                                  : header->name->base,
                                              header->name->len),
                        .name_bytes = header->name->len,
                        .value = arena_strndup(arena, header->value.base,
                                               header->value.len),
                        .value_bytes = header->value.len,
                    });
    }
}

static void
raise_request(inbound_t *caller)
{
    gateway_t *gateway = caller->gateway;
    caller_request_t *request = &caller->request;
    forward_event_t event = {.kind = FORWARD_REQUEST};
    size_t length = strcspn(request->path, "?");
    caller_terms_t terms;

    gateway->dialect->ops->read_caller(&caller->arena, &request->headers,
                                       &terms);
    request->id = terms.id;
    caller->last_event_id = terms.last_event_id;
    event.u.request = (forward_request_t){
        .number = caller->number,
        .id = terms.id,
        .host = request->host,
        .path = arena_strndup(&caller->arena, request->path, length),
        .key = terms.key,
        .deadline_ms = terms.deadline_ms,
        .prompt_tokens = terms.prompt_tokens,
        .affinity = terms.has_affinity
                        ? terms.affinity
                        : XXH3_64bits(terms.id, strlen(terms.id)),
        .last_event_id = terms.last_event_id,
        .fingerprint = fingerprint(request, terms.key),
    };
    forwarding_event(gateway, &event);
}

/* Of all that makes a repeat of a request the same for a runner. */
static uint64_t
fingerprint(const caller_request_t *request, const char *key)
{
    uint64_t hash = XXH3_64bits(request->body, request->body_bytes);

    hash =
        XXH3_64bits_withSeed(request->method, strlen(request->method), hash);
    hash = XXH3_64bits_withSeed(request->host, strlen(request->host), hash);
    hash = XXH3_64bits_withSeed(request->path, strlen(request->path), hash);
    return key != NULL ? XXH3_64bits_withSeed(key, strlen(key), hash) : hash;
}

/* Those that HTTP names, and those that the Connection header does. */
static bool
is_of_connection(const h2o_req_t *req, const h2o_header_t *header)
{
    ssize_t at = -1;

    if (header_is_of_connection(header->name->base, header->name->len) ||
        h2o_memis(header->name->base, header->name->len,
                  H2O_STRLIT("expect")) ||
        h2o_memis(header->name->base, header->name->len, H2O_STRLIT("host"))) {
        return true;
    }
    while ((at = h2o_find_header(&req->headers, H2O_TOKEN_CONNECTION, at)) >=
           0) {
        if (names_header(req->headers.entries[at].value, *header->name)) {
            return true;
        }
    }
    return false;
}

static bool
names_header(h2o_iovec_t list, h2o_iovec_t name)
{
    const char *at = list.base;
    const char *end = list.base + list.len;

    while (at < end) {
        const char *stop = memchr(at, ',', (size_t)(end - at));
        const char *next = stop != NULL ? stop : end;

        while (at < next && *at == ' ') {
            at++;
        }
        if ((size_t)(next - at) == name.len &&
            strncasecmp(at, name.base, name.len) == 0) {
            return true;
        }
        at = next + 1;
    }
    return false;
}

/*
 * Whether two readers could see different ends of the body.  h2o takes the
 * first length that it finds, so the head is looked at as it came.
 */
static bool
is_ambiguous(const h2o_req_t *req)
{
    static const char length_name[] = "content-length:";
    static const char coding_name[] = "transfer-encoding:";
    h2o_socket_t *socket = req->conn->callbacks->get_socket(req->conn);
    const char *at = socket->input->bytes;
    const char *end = at + socket->input->size;
    uint32_t stated = 0;

    while (at < end) {
        const char *stop = memchr(at, '\n', (size_t)(end - at));
        size_t left = (size_t)((stop != NULL ? stop : end) - at);

        if (left == 0 || (left == 1 && *at == '\r')) {
            break;
        }
        if ((left > strlen(length_name) &&
             strncasecmp(at, length_name, strlen(length_name)) == 0) ||
            (left > strlen(coding_name) &&
             strncasecmp(at, coding_name, strlen(coding_name)) == 0)) {
            stated++;
        }
        at += left + 1;
    }
    return stated > 1;
}

static void
on_dispose(void *memory)
{
    tie_t *tie = memory;
    inbound_t *caller = tie->caller;
    bool over = caller->over;
    forward_event_t event = {.kind = FORWARD_CALLER_DISCONNECTED,
                             .u.disconnected = caller->number};
    gateway_t *gateway = caller->gateway;

    HASH_DEL(*tie->table, caller); /* NOLINT(clang-analyzer-*) */
    text_free(&caller->gathered);
    text_free(&caller->inflight);
    arena_free(&caller->arena);
    free(caller);
    if (!over) {
        forwarding_event(gateway, &event);
    }
}

static void
on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
    inbound_t *caller = (inbound_t *)generator;

    caller->sending = false;
    if (caller->broken) {
        h2o_send(req, NULL, 0, H2O_SEND_STATE_ERROR);
        return;
    }
    flush(caller);
}

static void
on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
    inbound_t *caller = (inbound_t *)generator;

    caller->broken = true;
}

static void
start(inbound_t *caller, const runner_answer_t *answer)
{
    h2o_req_t *req = caller->req;
    size_t i;

    req->res.status = (int)answer->status;
    req->res.reason = "OK";
    for (i = 0; i < answer->headers->count; i++) {
        const header_t *header = &answer->headers->items[i];
        h2o_iovec_t name =
            h2o_strdup(&req->pool, header->name, header->name_bytes);
        h2o_iovec_t value =
            h2o_strdup(&req->pool, header->value, header->value_bytes);
        h2o_iovec_t original =
            h2o_strdup(&req->pool, header->name, header->name_bytes);

        (void)h2o_strtolower(name.base, name.len);
        h2o_add_header_by_str(&req->pool, &req->res.headers, name.base,
                              name.len, 1, original.base, value.base,
                              value.len);
    }
    caller->begun = true;
    h2o_start_response(req, &caller->generator);
}

/* The last send may dispose of the request, and with it of the caller. */
static void
flush(inbound_t *caller)
{
    text_t sent = caller->inflight;
    h2o_iovec_t bytes;
    h2o_send_state_t state =
        caller->last ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS;

    if (caller->sending || (caller->gathered.length == 0 && !caller->last)) {
        return;
    }
    caller->inflight = caller->gathered;
    caller->gathered = sent;
    caller->gathered.length = 0;
    caller->sending = true;
    bytes = h2o_iovec_init(caller->inflight.bytes, caller->inflight.length);
    h2o_send(caller->req, &bytes, bytes.len > 0 ? 1 : 0, state);
}
