/* engine.c - client of model engines: OpenAI-compatible streams. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "http/table.h"

#include "backend/url.h"
#include "backend/backend.h"
#include "backend/load.h"
#include "backend/chunk.h"
#include "backend/request.h"
#include "backend/sse.h"
#include "base/arena.h"

enum {
    ENGINE_CONNECT_TIMEOUT_MS = 1000,
    ENGINE_CANCEL_TIMEOUT_MS = 2000,
    ENGINE_PATH_BYTES = 768,
    ENGINE_HEADER_BYTES = 640,
    ENGINE_ID_BYTES = 512,
    ENGINE_ESCAPE_BYTES = sizeof("~00"),
    HTTP_STATUS_OK = 200,
    HTTP_STATUS_BAD_REQUEST = 400,
    HTTP_STATUS_NOT_FOUND = 404,
    HTTP_STATUS_UNPROCESSABLE = 422,
    HTTP_STATUS_TOO_MANY = 429,
    HTTP_STATUS_UNAVAILABLE = 503,
};

typedef struct {
    backend_t backend;
    http_client_t *client;
    backend_listener_t *listener;
    struct engine_stream *streams; /* hash table, keyed by number */
    load_poll_t *polls;
    arena_t arena; /* reset for each event */
} engine_t;

typedef struct engine_stream {
    http_sink_t sink;
    UT_hash_handle hh;
    engine_t *engine;
    http_call_t *call;
    uint64_t number;
    char *address;
    char id[ENGINE_ID_BYTES];
    sse_t sse;
    uint32_t position;
    uint32_t status;
    bool reattached;
    bool parsing; /* in use by a caller on the stack: do not free */
    bool closed;  /* removed from the table; freed after parsing */
} engine_stream_t;

static void engine_open(backend_t *backend, const backend_request_t *request);
static void engine_reattach(backend_t *backend,
                            const backend_reattach_t *request);
static void engine_cancel(backend_t *backend, uint64_t number,
                          bool keep_stream);
static void engine_poll_load(backend_t *backend, const char *runner,
                             const char *address);
static void engine_free(backend_t *backend);
static engine_stream_t *stream_new(engine_t *engine, uint64_t number,
                                   const char *address,
                                   const char *stream_name,
                                   backend_endpoint_t endpoint);
static void stream_insert(engine_t *engine, engine_stream_t *stream);
static void stream_start(engine_stream_t *stream, http_request_t *request,
                         const char *path);
static void stream_close(engine_stream_t *stream);
static void stream_free(engine_stream_t *stream);
static void report_loss(engine_stream_t *stream, backend_loss_t kind,
                        uint32_t retry_after_ms);
static void format_stream_id(char *id, backend_endpoint_t endpoint,
                             const char *name);
static void on_head(http_sink_t *sink, uint32_t status,
                    const char *content_type, uint32_t retry_after_ms);
static void on_body(http_sink_t *sink, const char *bytes, size_t length);
static void on_done(http_sink_t *sink, http_result_t result);
static bool on_event(void *context, const char *data, size_t length);
static bool report_chunk(engine_stream_t *stream, const char *data,
                         size_t length);
static backend_loss_t loss_from_status(const engine_stream_t *stream);
static void ignore_head(http_sink_t *sink, uint32_t status,
                        const char *content_type, uint32_t retry_after_ms);
static void ignore_body(http_sink_t *sink, const char *bytes, size_t length);
static void ignore_done(http_sink_t *sink, http_result_t result);

static const backend_ops_t engine_ops = {
    .open = engine_open,
    .reattach = engine_reattach,
    .cancel = engine_cancel,
    .poll_load = engine_poll_load,
    .free = engine_free,
};
static const http_sink_ops_t stream_sink_ops = {
    .head = on_head, .body = on_body, .done = on_done};

/* The response to a cancel request is ignored. */
static const http_sink_ops_t ignore_sink_ops = {
    .head = ignore_head, .body = ignore_body, .done = ignore_done};
static http_sink_t ignore_sink = {&ignore_sink_ops};

backend_t *
engine_new(http_client_t *client, backend_listener_t *listener)
{
    engine_t *engine = xcalloc(1, sizeof(*engine));

    engine->backend.ops = &engine_ops;
    engine->client = client;
    engine->listener = listener;
    return &engine->backend;
}

static void
engine_open(backend_t *backend, const backend_request_t *request)
{
    engine_t *engine = (engine_t *)backend;
    engine_stream_t *stream =
        stream_new(engine, request->stream, request->address,
                   request->stream_name, request->endpoint);
    char name[ENGINE_HEADER_BYTES];
    const char *headers[] = {"Content-Type: application/json",
                             "Accept: text/event-stream", name, NULL};
    http_request_t call = {.method = "POST", .headers = headers};
    arena_t arena = {0};
    size_t length = 0;
    char *body = engine_request_body(&arena, request, &length);

    (void)snprintf(name, sizeof(name), "X-Request-Id: %s",
                   strchr(stream->id, '-') + 1);
    /* A body that is not a JSON object is sent unchanged; the engine refuses
     * it. */
    call.body = body != NULL ? body : request->body;
    call.body_bytes = body != NULL ? length : request->body_bytes;
    stream_start(stream, &call, engine_request_path(request));
    arena_free(&arena);
}

static void
engine_reattach(backend_t *backend, const backend_reattach_t *request)
{
    engine_t *engine = (engine_t *)backend;
    engine_stream_t *stream =
        stream_new(engine, request->stream, request->address,
                   request->stream_name, request->endpoint);
    const char *headers[] = {"Accept: text/event-stream", NULL};
    http_request_t call = {.method = "GET", .headers = headers};
    char path[ENGINE_PATH_BYTES];

    stream->reattached = true;
    stream->position = request->after;
    (void)snprintf(path, sizeof(path),
                   "/v1/completions/%s?stream=true&starting_after=%u",
                   stream->id, request->after);
    stream_start(stream, &call, path);
}

static void
engine_cancel(backend_t *backend, uint64_t number, bool keep_stream)
{
    engine_t *engine = (engine_t *)backend;
    http_request_t call = {
        .method = "POST",
        .connect_timeout_ms = ENGINE_CONNECT_TIMEOUT_MS,
        .response_max_bytes = SSE_EVENT_BYTES_MAX,
        .timeout_ms = ENGINE_CANCEL_TIMEOUT_MS,
    };
    engine_stream_t *stream;
    char path[ENGINE_PATH_BYTES];
    char *url;

    HASH_FIND(hh, engine->streams, &number, sizeof(number), stream);
    if (stream == NULL) {
        return;
    }
    if (keep_stream) {
        stream_close(stream);
        return;
    }
    (void)snprintf(path, sizeof(path), "/v1/completions/%s/cancel",
                   stream->id);
    url = url_make(stream->address, path);
    call.url = url;
    (void)http_start(engine->client, &call, &ignore_sink);
    free(url);
    stream_close(stream);
}

static void
engine_poll_load(backend_t *backend, const char *runner, const char *address)
{
    engine_t *engine = (engine_t *)backend;

    load_poll(&engine->polls, engine->client, engine->listener, runner,
              address);
}

static void
engine_free(backend_t *backend)
{
    engine_t *engine = (engine_t *)backend;
    engine_stream_t *stream;
    engine_stream_t *next;

    HASH_ITER(hh, engine->streams, stream, next)
    {
        stream_close(stream);
    }
    load_polls_free(&engine->polls);
    arena_free(&engine->arena);
    free(engine);
}

static engine_stream_t *
stream_new(engine_t *engine, uint64_t number, const char *address,
           const char *stream_name, backend_endpoint_t endpoint)
{
    engine_stream_t *stream = xcalloc(1, sizeof(*stream));

    stream->sink.ops = &stream_sink_ops;
    stream->engine = engine;
    stream->number = number;
    stream->address = xstrdup(address);
    format_stream_id(stream->id, endpoint, stream_name);
    stream_insert(engine, stream);
    return stream;
}

static void
stream_insert(engine_t *engine, engine_stream_t *stream)
{
    HASH_ADD(hh, engine->streams, number, sizeof(stream->number), stream);
}

/*
 * The name is used in a path and in a header.  A byte that is not allowed in
 * both is encoded as '~' and two hexadecimal digits, so that different names
 * give different ids.
 */
static void
format_stream_id(char *id, backend_endpoint_t endpoint, const char *name)
{
    static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
                                  "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._:";
    char *end = id + ENGINE_ID_BYTES - ENGINE_ESCAPE_BYTES;

    id = stpcpy(id, endpoint == BACKEND_CHAT ? "chatcmpl-" : "cmpl-");
    for (; *name != '\0' && id < end; name++) {
        if (strchr(allowed, *name) != NULL) {
            *id++ = *name;
        }
        else {
            (void)snprintf(id, ENGINE_ESCAPE_BYTES, "~%02x",
                           (unsigned char)*name);
            id += ENGINE_ESCAPE_BYTES - 1;
        }
    }
    *id = '\0';
}

static void
stream_start(engine_stream_t *stream, http_request_t *request,
             const char *path)
{
    char *url = url_make(stream->address, path);

    request->url = url;
    request->connect_timeout_ms = ENGINE_CONNECT_TIMEOUT_MS;
    request->fresh_connection = true;
    request->response_max_bytes = SSE_EVENT_BYTES_MAX;
    stream->call = http_start(stream->engine->client, request, &stream->sink);
    free(url);
}

static void
stream_close(engine_stream_t *stream)
{
    if (stream->closed) {
        return;
    }
    stream->closed = true;
    HASH_DELETE(hh, stream->engine->streams, stream);
    if (stream->call != NULL) {
        http_cancel(stream->call);
        stream->call = NULL;
    }
    if (!stream->parsing) {
        stream_free(stream);
    }
}

static void
stream_free(engine_stream_t *stream)
{
    sse_free(&stream->sse);
    free(stream->address);
    free(stream);
}

static void
report_loss(engine_stream_t *stream, backend_loss_t kind,
            uint32_t retry_after_ms)
{
    backend_listener_t *listener = stream->engine->listener;
    uint64_t number = stream->number;
    uint32_t status = stream->status;

    stream_close(stream);
    listener->ops->loss(listener, number, kind, status, retry_after_ms);
}

static void
on_head(http_sink_t *sink, uint32_t status, const char *content_type,
        uint32_t retry_after_ms)
{
    static const char event_stream_type[] = "text/event-stream";
    engine_stream_t *stream = (engine_stream_t *)sink;

    stream->status = status;
    if (status != HTTP_STATUS_OK) {
        report_loss(stream, loss_from_status(stream), retry_after_ms);
    }
    else if (strncasecmp(content_type, event_stream_type,
                         sizeof(event_stream_type) - 1) != 0) {
        report_loss(stream, BACKEND_FAILED, 0);
    }
}

static backend_loss_t
loss_from_status(const engine_stream_t *stream)
{
    switch (stream->status) {
    case HTTP_STATUS_TOO_MANY:
    case HTTP_STATUS_UNAVAILABLE:
        return BACKEND_REFUSED;
    case HTTP_STATUS_BAD_REQUEST:
    case HTTP_STATUS_UNPROCESSABLE:
        return BACKEND_INVALID;
    case HTTP_STATUS_NOT_FOUND:
        return stream->reattached ? BACKEND_STREAM_NOT_FOUND : BACKEND_FAILED;
    default:
        return BACKEND_FAILED;
    }
}

static void
on_body(http_sink_t *sink, const char *bytes, size_t length)
{
    engine_stream_t *stream = (engine_stream_t *)sink;
    int result;

    stream->parsing = true;
    result = sse_feed(&stream->sse, bytes, length, on_event, stream);
    stream->parsing = false;
    if (stream->closed) {
        stream_free(stream);
    }
    else if (result < 0) {
        report_loss(stream, BACKEND_FAILED, 0);
    }
}

static bool
on_event(void *context, const char *data, size_t length)
{
    static const char done_marker[] = "[DONE]";
    engine_stream_t *stream = context;
    backend_listener_t *listener = stream->engine->listener;

    if (length == sizeof(done_marker) - 1 &&
        memcmp(data, done_marker, length) == 0) {
        uint64_t number = stream->number;

        stream_close(stream);
        listener->ops->end(listener, number);
        return false;
    }
    return report_chunk(stream, data, length);
}

static bool
report_chunk(engine_stream_t *stream, const char *data, size_t length)
{
    engine_t *engine = stream->engine;
    backend_chunk_t chunk;

    arena_reset(&engine->arena);
    switch (chunk_parse(&engine->arena, data, length, &chunk)) {
    case CHUNK_EMPTY:
        return true;
    case CHUNK_TOKENS:
        break;
    case CHUNK_ERROR:
    case CHUNK_MALFORMED:
        report_loss(stream, BACKEND_FAILED, 0);
        return false;
    }
    chunk.stream = stream->number;
    chunk.position = stream->position;
    stream->position += chunk.token_count;
    http_renew_limit(stream->call);
    engine->listener->ops->stream_chunk(engine->listener, &chunk);
    return !stream->closed;
}

static void
on_done(http_sink_t *sink, http_result_t result)
{
    engine_stream_t *stream = (engine_stream_t *)sink;
    backend_loss_t kind =
        result == HTTP_NOT_SENT ? BACKEND_NOT_SENT : BACKEND_RESET;

    if (stream->reattached && http_connect_timed_out(stream->call)) {
        kind = BACKEND_UNREACHED;
    }
    stream->call = NULL;
    report_loss(stream, kind, 0);
}

static void
ignore_head(http_sink_t *sink, uint32_t status, const char *content_type,
            uint32_t retry_after_ms)
{
}

static void
ignore_body(http_sink_t *sink, const char *bytes, size_t length)
{
}

static void
ignore_done(http_sink_t *sink, http_result_t result)
{
}
