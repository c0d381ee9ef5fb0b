/* inbound.c - a caller's HTTP request and the response to it. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include <xxhash.h>

#include "base/log.h"
#include "gateway/inbound.h"
#include "http/framing.h"

enum {
    STATUS_BAD_REQUEST = 400,
    /* A caller that reads too slowly is disconnected.  It may resume the
     * stream. */
    PENDING_MAX_BYTES = 1 << 20,
};

/* Allocated in the request's pool: h2o disposes of it with the request. */
typedef struct {
    inbound_t *inbound;
    inbound_t **table;
} dispose_context_t;

static bool is_disconnected(const inbound_t *inbound);
static void read_request(inbound_t *inbound);
static void submit_request(inbound_t *inbound);
static uint64_t fingerprint(const caller_request_t *request, const char *key);
static bool is_hop_by_hop(const h2o_req_t *req, const h2o_header_t *header);
static bool list_contains_name(h2o_iovec_t list, h2o_iovec_t name);
static bool has_ambiguous_length(const h2o_req_t *req);
static void on_request_dispose(void *memory);
static void on_proceed(h2o_generator_t *generator, h2o_req_t *req);
static void on_stop(h2o_generator_t *generator, h2o_req_t *req);
static void start_response(inbound_t *inbound,
                           const runner_response_t *response);
static void add_usage(inbound_t *inbound, const relay_usage_t *usage);
static void add_header(h2o_req_t *req, const header_t *header);
static void send_pending(inbound_t *inbound);

void
inbound_accept(gateway_t *gateway, inbound_t **table, uint64_t number,
               h2o_req_t *req)
{
    inbound_t *inbound;
    dispose_context_t *context;

    if (has_ambiguous_length(req)) {
        req->http1_is_persistent = 0;
        inbound_respond(req, STATUS_BAD_REQUEST, "text/plain",
                        H2O_STRLIT("the end of the body is not clear: state "
                                   "its length once, in digits\n"));
        return;
    }
    inbound = xcalloc(1, sizeof(*inbound));
    context =
        h2o_mem_alloc_shared(&req->pool, sizeof(*context), on_request_dispose);
    context->inbound = inbound;
    context->table = table;
    inbound->generator.proceed = on_proceed;
    inbound->generator.stop = on_stop;
    inbound->number = number;
    inbound->gateway = gateway;
    inbound->req = req;
    HASH_ADD(hh, *table, number, sizeof(inbound->number), inbound);
    if (!front_has_shut(gateway->front, inbound) && is_disconnected(inbound)) {
        log_event(LOG_INFO, "caller-disconnected", "at=accept");
        inbound_abort_response(inbound);
        return;
    }
    read_request(inbound);
    submit_request(inbound);
}

void
inbound_disconnect(inbound_t *inbound)
{
    forward_event_t event = {.kind = FORWARD_CALLER_DISCONNECTED,
                             .u.disconnected = inbound->number};

    if (inbound->done) {
        return;
    }
    forwarding_handle_event(inbound->gateway, &event);
    inbound_abort_response(inbound);
}

h2o_socket_t *
inbound_socket(const inbound_t *inbound)
{
    h2o_conn_t *conn = inbound->req->conn;

    return conn->callbacks->get_socket(conn);
}

int
inbound_socket_fd(const inbound_t *inbound)
{
    return h2o_socket_get_fd(inbound_socket(inbound));
}

void
inbound_send_response(inbound_t *inbound, const runner_response_t *response)
{
    if (inbound->done || inbound->response_started) {
        return;
    }
    inbound->done = true;
    inbound->complete = true;
    text_append(&inbound->pending, response->body, response->body_bytes);
    inbound->req->res.content_length = response->body_bytes;
    start_response(inbound, response);
    send_pending(inbound);
}

void
inbound_start_stream(inbound_t *inbound, const runner_response_t *response)
{
    if (inbound->done || inbound->response_started) {
        return;
    }
    start_response(inbound, response);
}

bool
inbound_send_event(inbound_t *inbound, const stream_event_t *event)
{
    if (inbound->done || !inbound->response_started ||
        (event->has_id && event->id <= inbound->last_event_id)) {
        return false;
    }
    if (event->has_id) {
        inbound->last_event_id = event->id;
    }
    text_append(&inbound->pending, event->bytes, event->length);
    if (inbound->pending.length > PENDING_MAX_BYTES) {
        log_event(LOG_NOTICE, "caller-slow", "request=%s",
                  inbound->request.id);
        inbound_disconnect(inbound);
        return false;
    }
    send_pending(inbound);
    return true;
}

void
inbound_end_stream(inbound_t *inbound)
{
    if (inbound->done) {
        return;
    }
    inbound->done = true;
    inbound->complete = true;
    send_pending(inbound);
}

void
inbound_send_refusal(inbound_t *inbound, const refuse_action_t *refusal,
                     const relay_usage_t *usage)
{
    const dialect_ops_t *dialect = inbound->gateway->dialect->ops;
    const char *body;

    if (inbound->done || inbound->response_started) {
        return;
    }
    inbound->done = true;
    if (refusal->retry_after_ms > 0) {
        const char *value = dialect->write_retry_after(
            &inbound->arena, refusal->retry_after_ms);

        h2o_add_header(&inbound->req->pool, &inbound->req->res.headers,
                       H2O_TOKEN_RETRY_AFTER, NULL, value, strlen(value));
    }
    if (inbound->relayed) {
        header_t mark = host_relay_refusal_header(&inbound->arena, refusal);

        add_header(inbound->req, &mark);
        add_usage(inbound, usage);
    }
    body = arena_printf(&inbound->arena,
                        "{\"error\":{\"kind\":\"%s\",\"run\":\"%s\"}}\n",
                        refuse_reason_name(refusal->reason),
                        refusal->not_run ? "not-run" : "unknown");
    inbound_respond(inbound->req, refusal->status, "application/json", body,
                    strlen(body));
}

/*
 * The socket is shut down first: h2o ends a failed chunked response with
 * bytes that are not a valid chunk, which a caller could take for part of the
 * response.  h2o_send() must not be called while a send is in progress.
 */
void
inbound_abort_response(inbound_t *inbound)
{
    if (inbound->done) {
        return;
    }
    inbound->done = true;
    inbound->aborted = true;
    inbound->req->http1_is_persistent = 0;
    text_free(&inbound->pending);
    (void)shutdown(inbound_socket_fd(inbound), SHUT_RDWR);
    if (inbound->send_in_progress) {
        return;
    }
    if (!inbound->response_started) {
        inbound->response_started = true;
        inbound->req->res.status = STATUS_BAD_REQUEST;
        inbound->req->res.reason = "Bad Request";
        h2o_start_response(inbound->req, &inbound->generator);
    }
    h2o_send(inbound->req, NULL, 0, H2O_SEND_STATE_ERROR);
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

/* A host that was paused may accept requests of disconnected callers. */
static bool
is_disconnected(const inbound_t *inbound)
{
    char byte;
    ssize_t length =
        recv(inbound_socket_fd(inbound), &byte, 1, MSG_PEEK | MSG_DONTWAIT);

    return length == 0 || (length < 0 && errno != EAGAIN && errno != EINTR);
}

static void
read_request(inbound_t *inbound)
{
    const h2o_req_t *req = inbound->req;
    caller_request_t *request = &inbound->request;
    arena_t *arena = &inbound->arena;
    size_t i;

    request->method = arena_strndup(arena, req->method.base, req->method.len);
    request->path = arena_strndup(arena, req->path.base, req->path.len);
    request->host =
        arena_strndup(arena, req->authority.base, req->authority.len);
    request->body = req->entity.base;
    request->body_bytes = req->entity.len;
    for (i = 0; i < req->headers.size; i++) {
        const h2o_header_t *header = &req->headers.entries[i];

        if (is_hop_by_hop(req, header)) {
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
submit_request(inbound_t *inbound)
{
    gateway_t *gateway = inbound->gateway;
    caller_request_t *request = &inbound->request;
    forward_event_t event = {.kind = FORWARD_REQUEST};
    size_t length = strcspn(request->path, "?");
    caller_options_t terms;
    relay_grant_t grant;

    gateway->dialect->ops->parse_caller_headers(&inbound->arena,
                                                &request->headers, &terms);
    request->id = terms.id;
    inbound->relayed =
        host_relay_accept(gateway, &inbound->arena, request, &grant);
    inbound->last_event_id = terms.last_event_id;
    event.u.request = (forward_request_t){
        .number = inbound->number,
        .id = terms.id,
        .host = request->host,
        .path = arena_strndup(&inbound->arena, request->path, length),
        .key = terms.key,
        .deadline_ms = terms.deadline_ms,
        .prompt_tokens = terms.prompt_tokens,
        .affinity = terms.has_affinity
                        ? terms.affinity
                        : XXH3_64bits(terms.id, strlen(terms.id)),
        .last_event_id = terms.last_event_id,
        .resumed_id = terms.resumed_id,
        .fingerprint = fingerprint(request, terms.key),
        .parts = terms.parts,
        .part_count = terms.part_count,
        .relayed = inbound->relayed,
        .grant = grant,
    };
    forwarding_handle_event(gateway, &event);
}

/*
 * Hashes all parts of a request that determine what a runner executes, so that
 * retries of a request have the same fingerprint.
 */
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

/*
 * Returns whether the header must not be forwarded to a runner: it is one of
 * HTTP's hop-by-hop or framing headers, Expect or Host, or it is named in the
 * Connection header.
 */
static bool
is_hop_by_hop(const h2o_req_t *req, const h2o_header_t *header)
{
    ssize_t header_index = -1;

    if (header_is_hop_by_hop(header->name->base, header->name->len) ||
        h2o_memis(header->name->base, header->name->len,
                  H2O_STRLIT("expect")) ||
        h2o_memis(header->name->base, header->name->len, H2O_STRLIT("host"))) {
        return true;
    }
    while ((header_index = h2o_find_header(&req->headers, H2O_TOKEN_CONNECTION,
                                           header_index)) >= 0) {
        if (list_contains_name(req->headers.entries[header_index].value,
                               *header->name)) {
            return true;
        }
    }
    return false;
}

static bool
list_contains_name(h2o_iovec_t list, h2o_iovec_t name)
{
    const char *cursor = list.base;
    const char *end = list.base + list.len;

    while (cursor < end) {
        const char *comma = memchr(cursor, ',', (size_t)(end - cursor));
        const char *item_end = comma != NULL ? comma : end;

        while (cursor < item_end && *cursor == ' ') {
            cursor++;
        }
        if ((size_t)(item_end - cursor) == name.len &&
            strncasecmp(cursor, name.base, name.len) == 0) {
            return true;
        }
        cursor = item_end + 1;
    }
    return false;
}

/*
 * Returns whether two HTTP parsers could disagree on the end of the body.  h2o
 * uses the first length and ignores others, and does not keep the lines that
 * it skips or joins, so this checks the bytes that it took as the head.
 */
static bool
has_ambiguous_length(const h2o_req_t *req)
{
    h2o_socket_t *socket = req->conn->callbacks->get_socket(req->conn);
    uint64_t length_bytes = 0;

    switch (framing_of_request(socket->input->bytes, socket->input->size,
                               &length_bytes)) {
    case FRAMING_LENGTH:
        return length_bytes != req->entity.len;
    case FRAMING_CHUNKED:
        return false;
    case FRAMING_NO_BODY:
        return req->entity.len > 0;
    case FRAMING_AMBIGUOUS:
        return true;
    }
    return true;
}

static void
on_request_dispose(void *memory)
{
    dispose_context_t *context = memory;
    inbound_t *inbound = context->inbound;
    bool done = inbound->done;
    forward_event_t event = {.kind = FORWARD_CALLER_DISCONNECTED,
                             .u.disconnected = inbound->number};
    gateway_t *gateway = inbound->gateway;

    HASH_DEL(*context->table, inbound); /* NOLINT(clang-analyzer-*) */
    text_free(&inbound->pending);
    text_free(&inbound->in_flight);
    arena_free(&inbound->arena);
    free(inbound);
    if (!done) {
        forwarding_handle_event(gateway, &event);
    }
}

static void
on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
    inbound_t *inbound = (inbound_t *)generator;

    inbound->send_in_progress = false;
    if (inbound->aborted) {
        h2o_send(req, NULL, 0, H2O_SEND_STATE_ERROR);
        return;
    }
    send_pending(inbound);
}

static void
on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
    inbound_t *inbound = (inbound_t *)generator;

    inbound->aborted = true;
}

static void
start_response(inbound_t *inbound, const runner_response_t *response)
{
    h2o_req_t *req = inbound->req;
    size_t i;

    req->res.status = (int)response->status;
    req->res.reason = "OK";
    for (i = 0; i < response->headers->count; i++) {
        add_header(req, &response->headers->items[i]);
    }
    add_usage(inbound, response->usage);
    inbound->response_started = true;
    h2o_start_response(req, &inbound->generator);
}

/* Tells the host that relayed the request. */
static void
add_usage(inbound_t *inbound, const relay_usage_t *usage)
{
    header_t header;

    if (!inbound->relayed || usage == NULL) {
        return;
    }
    header = host_relay_usage_header(&inbound->arena, usage);
    add_header(inbound->req, &header);
}

/* Adds a header to the response; copies its strings. */
static void
add_header(h2o_req_t *req, const header_t *header)
{
    h2o_iovec_t name =
        h2o_strdup(&req->pool, header->name, header->name_bytes);
    h2o_iovec_t value =
        h2o_strdup(&req->pool, header->value, header->value_bytes);
    h2o_iovec_t original =
        h2o_strdup(&req->pool, header->name, header->name_bytes);

    (void)h2o_strtolower(name.base, name.len);
    h2o_add_header_by_str(&req->pool, &req->res.headers, name.base, name.len,
                          1, original.base, value.base, value.len);
}

/* The last send may dispose of the request and free inbound. */
static void
send_pending(inbound_t *inbound)
{
    text_t spare = inbound->in_flight;
    h2o_iovec_t bytes;
    h2o_send_state_t state =
        inbound->complete ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS;

    if (inbound->send_in_progress ||
        (inbound->pending.length == 0 && !inbound->complete)) {
        return;
    }
    inbound->in_flight = inbound->pending;
    inbound->pending = spare;
    inbound->pending.length = 0;
    inbound->send_in_progress = true;
    bytes =
        h2o_iovec_init(inbound->in_flight.bytes, inbound->in_flight.length);
    h2o_send(inbound->req, &bytes, bytes.len > 0 ? 1 : 0, state);
}
