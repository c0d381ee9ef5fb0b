/* service.c - client of plain services: one call, one complete response. */
#include <stdio.h>
#include <stdlib.h>

#include "http/table.h"

#include "backend/url.h"
#include "backend/backend.h"
#include "backend/load.h"
#include "base/arena.h"
#include "http/buffer.h"

enum {
    SERVICE_CONNECT_TIMEOUT_MS = 1000,
    SERVICE_REPLY_BYTES_MAX = 16 << 20,
    SERVICE_HEADER_BYTES = 512,
    HTTP_STATUS_TOO_MANY = 429,
    HTTP_STATUS_UNAVAILABLE = 503,
};

typedef struct {
    backend_t backend;
    http_client_t *client;
    backend_listener_t *listener;
    struct service_call *calls; /* hash table, keyed by stream number */
    load_poll_t *polls;
} service_t;

typedef struct service_call {
    http_sink_t sink;
    UT_hash_handle hh;
    service_t *service;
    http_call_t *call;
    uint64_t number;
    uint32_t status;
    char *content_type;
    uint32_t retry_after_ms;
    buffer_t body;
} service_call_t;

static void service_open(backend_t *backend, const backend_request_t *request);
static void service_cancel(backend_t *backend, uint64_t number,
                           bool keep_stream);
static void service_poll_load(backend_t *backend, const char *runner,
                              const char *address);
static void service_free(backend_t *backend);
static void call_insert(service_t *service, service_call_t *call);
static void call_free(service_call_t *call);
static void report_loss(service_call_t *call, backend_loss_t kind);
static void on_head(http_sink_t *sink, uint32_t status,
                    const char *content_type, uint32_t retry_after_ms);
static void on_body(http_sink_t *sink, const char *bytes, size_t length);
static void on_done(http_sink_t *sink, http_result_t result);

/* A plain service has no streams, so it has no reattach. */
static const backend_ops_t service_ops = {
    .open = service_open,
    .reattach = NULL,
    .cancel = service_cancel,
    .poll_load = service_poll_load,
    .free = service_free,
};
static const http_sink_ops_t call_sink_ops = {
    .head = on_head, .body = on_body, .done = on_done};

backend_t *
service_new(http_client_t *client, backend_listener_t *listener)
{
    service_t *service = xcalloc(1, sizeof(*service));

    service->backend.ops = &service_ops;
    service->client = client;
    service->listener = listener;
    return &service->backend;
}

static void
service_open(backend_t *backend, const backend_request_t *request)
{
    service_t *service = (service_t *)backend;
    service_call_t *call = xcalloc(1, sizeof(*call));
    char request_id_header[SERVICE_HEADER_BYTES];
    char content_type_header[SERVICE_HEADER_BYTES];
    const char *headers[] = {request_id_header, content_type_header, NULL};
    char *url = url_make(request->address, request->path);
    http_request_t http = {
        .method = request->method,
        .url = url,
        .headers = headers,
        .body = request->body_bytes > 0 ? request->body : NULL,
        .body_bytes = request->body_bytes,
        .connect_timeout_ms = SERVICE_CONNECT_TIMEOUT_MS,
        .response_max_bytes = SERVICE_REPLY_BYTES_MAX,
        .fresh_connection = true,
    };

    (void)snprintf(request_id_header, sizeof(request_id_header),
                   "X-Request-Id: %s", request->stream_name);
    (void)snprintf(content_type_header, sizeof(content_type_header),
                   "Content-Type: %s",
                   request->content_type != NULL ? request->content_type : "");
    call->sink.ops = &call_sink_ops;
    call->service = service;
    call->number = request->stream;
    call_insert(service, call);
    call->call = http_start(service->client, &http, &call->sink);
    free(url);
}

static void
service_cancel(backend_t *backend, uint64_t number, bool keep_stream)
{
    service_t *service = (service_t *)backend;
    service_call_t *call;

    (void)keep_stream;
    HASH_FIND(hh, service->calls, &number, sizeof(number), call);
    if (call != NULL) {
        call_free(call);
    }
}

static void
service_poll_load(backend_t *backend, const char *runner, const char *address)
{
    service_t *service = (service_t *)backend;

    load_poll(&service->polls, service->client, service->listener, runner,
              address);
}

static void
service_free(backend_t *backend)
{
    service_t *service = (service_t *)backend;
    service_call_t *call;
    service_call_t *next;

    HASH_ITER(hh, service->calls, call, next)
    {
        call_free(call);
    }
    load_polls_free(&service->polls);
    free(service);
}

static void
call_insert(service_t *service, service_call_t *call)
{
    HASH_ADD(hh, service->calls, number, sizeof(call->number), call);
}

static void
call_free(service_call_t *call)
{
    HASH_DELETE(hh, call->service->calls, call);
    if (call->call != NULL) {
        http_cancel(call->call);
    }
    free(call->content_type);
    buffer_free(&call->body);
    free(call);
}

static void
report_loss(service_call_t *call, backend_loss_t kind)
{
    backend_listener_t *listener = call->service->listener;
    uint64_t number = call->number;
    uint32_t status = call->status;
    uint32_t retry_after_ms = call->retry_after_ms;

    call_free(call);
    listener->ops->loss(listener, number, kind, status, retry_after_ms);
}

static void
on_head(http_sink_t *sink, uint32_t status, const char *content_type,
        uint32_t retry_after_ms)
{
    service_call_t *call = (service_call_t *)sink;

    call->status = status;
    call->retry_after_ms = retry_after_ms;
    call->content_type = xstrdup(content_type);
    if (status == HTTP_STATUS_TOO_MANY || status == HTTP_STATUS_UNAVAILABLE) {
        report_loss(call, BACKEND_REFUSED);
    }
}

static void
on_body(http_sink_t *sink, const char *bytes, size_t length)
{
    service_call_t *call = (service_call_t *)sink;

    if (buffer_append(&call->body, bytes, length, SERVICE_REPLY_BYTES_MAX) <
        0) {
        report_loss(call, BACKEND_FAILED);
    }
}

static void
on_done(http_sink_t *sink, http_result_t result)
{
    service_call_t *call = (service_call_t *)sink;
    backend_listener_t *listener = call->service->listener;

    call->call = NULL;
    if (result != HTTP_DONE) {
        report_loss(call, result == HTTP_NOT_SENT ? BACKEND_NOT_SENT
                                                  : BACKEND_RESET);
        return;
    }
    /* The call is removed first, so that a cancel from the reply callback does
     * not free the response while the callback uses it. */
    HASH_DELETE(hh, call->service->calls, call);
    listener->ops->reply(
        listener, call->number, call->status, call->content_type,
        call->body.length > 0 ? call->body.bytes : "", call->body.length);
    free(call->content_type);
    buffer_free(&call->body);
    free(call);
}
