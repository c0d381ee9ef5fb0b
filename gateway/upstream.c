/* upstream.c - sends to runners, and signs of life asked of them. */
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "gateway/gateway.h"

enum {
    /* A whole answer is held until it is complete. */
    ANSWER_BYTES_MAX = 16 << 20,
    STATUS_FINAL = 200,
};

typedef struct send send_t;

/* One send of a request to a runner. */
struct send {
    http_sink_t sink; /* first: the client calls back with it */
    upstreams_t *upstreams;
    http_call_t *call; /* NULL: ended */
    uint64_t number;
    uint32_t attempt;
    arena_t arena;
    const char *id;
    headers_t headers;
    uint32_t status;
    text_t body;
    event_stream_t events;
    bool passing;
    bool in_use;    /* its memory is in use up the stack */
    bool forgotten; /* to be freed when it is not */
    UT_hash_handle hh;
};

struct upstreams {
    gateway_t *gateway;
    send_t *sends; /* the last one of each request, by its number */
};

static void on_field(http_sink_t *sink, uint32_t status, const char *name,
                     size_t name_bytes, const char *value, size_t value_bytes);
static void on_head(http_sink_t *sink, uint32_t status,
                    const char *content_type, uint32_t retry_after_ms);
static void on_body(http_sink_t *sink, const char *bytes, size_t length);
static void on_done(http_sink_t *sink, http_result_t result);
static void on_event(void *context, const stream_event_t *event);
static const char **header_lines(send_t *send, const headers_t *headers,
                                 const char *host);
static send_t *find(upstreams_t *upstreams, uint64_t number);
static void send_free(send_t *send);
static const http_sink_ops_t sink_ops = {
    .head = on_head, .body = on_body, .done = on_done, .field = on_field};
upstreams_t *
upstreams_new(gateway_t *gateway)
{
    upstreams_t *upstreams = xcalloc(1, sizeof(*upstreams));

    upstreams->gateway = gateway;
    return upstreams;
}

void
upstreams_free(upstreams_t *upstreams)
{
    send_t *send;
    send_t *next;

    if (upstreams == NULL) {
        return;
    }
    HASH_ITER(hh, upstreams->sends, send, next)
    {
        send_free(send);
    }
    free(upstreams);
}

/*
 * Always over a connection of its own: nothing that an earlier answer left
 * on a connection can then be taken for this one, and the client never sends
 * a request twice.
 */
void
upstream_send(upstreams_t *upstreams, uint64_t number,
              const caller_request_t *request, const send_action_t *order)
{
    gateway_t *gateway = upstreams->gateway;
    send_t *send = find(upstreams, number);
    headers_t headers = {0};
    http_request_t http = {0};

    if (send != NULL) {
        send_free(send);
    }
    send = xcalloc(1, sizeof(*send));
    send->sink.ops = &sink_ops;
    send->upstreams = upstreams;
    send->number = number;
    send->attempt = order->attempt;
    send->id = arena_strdup(&send->arena, request->id);
    HASH_ADD(hh, upstreams->sends, number, sizeof(send->number), send);
    gateway->dialect->ops->write_send(&send->arena, &request->headers, order,
                                      &headers);
    http.method = request->method;
    http.url = arena_printf(&send->arena, "http://%s/", order->address);
    http.target = request->path;
    http.headers = header_lines(send, &headers, request->host);
    http.body = request->body_bytes > 0 ? request->body : NULL;
    http.body_bytes = request->body_bytes;
    http.connect_timeout_ms = order->connect_ms;
    http.fresh_connection = true;
    http.bare = true;
    send->call = http_start(gateway->client, &http, &send->sink);
}

void
upstream_cancel(upstreams_t *upstreams, uint64_t number, uint32_t attempt)
{
    send_t *send = find(upstreams, number);

    if (send != NULL && send->attempt == attempt && send->call != NULL) {
        send_free(send);
    }
}

void
upstream_pass(upstreams_t *upstreams, uint64_t number, uint32_t attempt)
{
    send_t *send = find(upstreams, number);

    if (send != NULL && send->attempt == attempt) {
        send->passing = true;
    }
}

bool
upstream_answer(upstreams_t *upstreams, uint64_t number, uint32_t attempt,
                runner_answer_t *answer)
{
    const send_t *send = find(upstreams, number);

    if (send == NULL || send->attempt != attempt) {
        return false;
    }
    *answer = (runner_answer_t){
        .status = send->status,
        .headers = &send->headers,
        .body = send->body.bytes,
        .body_bytes = send->body.length,
    };
    return true;
}

void
upstream_forget(upstreams_t *upstreams, uint64_t number)
{
    send_t *send = find(upstreams, number);

    if (send != NULL) {
        send_free(send);
    }
}

static void
on_field(http_sink_t *sink, uint32_t status, const char *name,
         size_t name_bytes, const char *value, size_t value_bytes)
{
    send_t *send = (send_t *)sink;

    if (status < STATUS_FINAL || header_is_of_connection(name, name_bytes)) {
        return;
    }
    headers_add(&send->headers, &send->arena,
                (header_t){
                    .name = arena_strndup(&send->arena, name, name_bytes),
                    .name_bytes = name_bytes,
                    .value = arena_strndup(&send->arena, value, value_bytes),
                    .value_bytes = value_bytes,
                });
}

static void
on_head(http_sink_t *sink, uint32_t status, const char *content_type,
        uint32_t retry_after_ms)
{
    send_t *send = (send_t *)sink;
    gateway_t *gateway = send->upstreams->gateway;
    forward_event_t event = {.kind = FORWARD_RESPONSE_HEAD};
    answer_terms_t terms;

    send->status = status;
    gateway->dialect->ops->read_answer(&send->arena, &send->headers, &terms);
    event.u.head = (forward_response_head_t){
        .number = send->number,
        .attempt = send->attempt,
        .status = status,
        .authentic = terms.signed_by_runner && terms.id != NULL &&
                     strcmp(terms.id, send->id) == 0,
        .not_run = terms.not_run,
    };
    send->in_use = true;
    forwarding_event(gateway, &event);
    send->in_use = false;
    if (send->forgotten) {
        send_free(send);
    }
}

static void
on_body(http_sink_t *sink, const char *bytes, size_t length)
{
    send_t *send = (send_t *)sink;

    if (!send->passing) {
        if (send->body.length + length <= ANSWER_BYTES_MAX) {
            text_append(&send->body, bytes, length);
        }
        return;
    }
    send->in_use = true;
    event_stream_feed(&send->events, bytes, length, on_event, send);
    send->in_use = false;
    if (send->forgotten) {
        send_free(send);
    }
}

static void
on_event(void *context, const stream_event_t *event)
{
    send_t *send = context;
    gateway_t *gateway = send->upstreams->gateway;
    forward_event_t progress = {.kind = FORWARD_STREAM_PROGRESS};

    if (send->forgotten) {
        return;
    }
    (void)front_event(gateway->front, send->number, event);
    progress.u.progress = (forward_progress_t){
        .number = send->number,
        .attempt = send->attempt,
        .last_event_id = event->has_id ? event->id : -1,
    };
    forwarding_event(gateway, &progress);
}

static void
on_done(http_sink_t *sink, http_result_t result)
{
    send_t *send = (send_t *)sink;
    forward_event_t event = {.kind = FORWARD_SEND_END};
    bool cut = send->passing && (event_stream_has_partial(&send->events) ||
                                 send->events.event_too_long);

    send->call = NULL;
    event.u.end =
        (forward_send_end_t){.number = send->number, .attempt = send->attempt};
    if (result == HTTP_DONE) {
        event.u.end.result = cut ? SEND_BROKEN : SEND_COMPLETE;
    }
    else {
        event.u.end.result =
            result == HTTP_NOT_SENT ? SEND_NOT_SENT : SEND_BROKEN;
    }
    forwarding_event(send->upstreams->gateway, &event);
}

/* "Name: value" lines for the client. */
static const char **
header_lines(send_t *send, const headers_t *headers, const char *host)
{
    arena_t *arena = &send->arena;
    const char **lines =
        arena_array(arena, headers->count + 2, sizeof(*lines));
    size_t i;

    lines[0] = arena_printf(arena, "Host: %s", host);
    for (i = 0; i < headers->count; i++) {
        const header_t *header = &headers->items[i];

        /* libcurl sends a header without a value where it ends in ";". */
        lines[i + 1] =
            header->value_bytes > 0
                ? arena_printf(arena, "%.*s: %.*s", (int)header->name_bytes,
                               header->name, (int)header->value_bytes,
                               header->value)
                : arena_printf(arena, "%.*s;", (int)header->name_bytes,
                               header->name);
    }
    return lines;
}

static send_t *
find(upstreams_t *upstreams, uint64_t number)
{
    send_t *send;

    HASH_FIND(hh, upstreams->sends, &number, sizeof(number), send);
    return send;
}

/* Takes it off the list at once; its memory goes when nobody uses it. */
static void
send_free(send_t *send)
{
    if (!send->forgotten) {
        HASH_DEL(send->upstreams->sends, send); /* NOLINT(clang-analyzer-*) */
        send->forgotten = true;
        if (send->call != NULL) {
            http_cancel(send->call);
            send->call = NULL;
        }
    }
    if (send->in_use) {
        return;
    }
    event_stream_free(&send->events);
    text_free(&send->body);
    arena_free(&send->arena);
    free(send);
}
