/* etcd.c - client of etcd v3 through its JSON mapping; see kv.h. */
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "base/arena.h"
#include "base/log.h"
#include "http/buffer.h"
#include "kv/callback.h"
#include "kv/etcd_json.h"

enum {
    ETCD_RESPONSE_BYTES_MAX = 256 << 20,
    HTTP_STATUS_OK = 200,
    HTTP_STATUS_BAD_REQUEST = 400,
    HTTP_STATUS_REQUEST_TIMEOUT = 408,
    HTTP_STATUS_TOO_MANY_REQUESTS = 429,
    HTTP_STATUS_CLIENT_CLOSED_REQUEST = 499,
    HTTP_STATUS_SERVER_ERROR = 500,
};

typedef struct {
    kv_t kv;
    http_client_t *client;
    char **addresses;
    size_t count;
    size_t current; /* index of the address for new calls */
    uint32_t timeout_ms;
    LIST_HEAD(, etcd_call) calls;
} etcd_t;

typedef struct etcd_call {
    http_sink_t sink;
    LIST_ENTRY(etcd_call) link;
    etcd_t *etcd;
    http_call_t *http;
    kv_callback_t done;
    const char *path;
    char *body;
    size_t address;
    size_t addresses_tried;
    size_t swap_count; /* KV_CALL_SWAP; else 0 */
    uint32_t status;
    buffer_t response; /* response body; of a watch, the incomplete line */
    size_t scanned;    /* bytes of response searched for a newline */
    bool too_large;
    bool in_callback; /* a caller on the stack uses this call */
    bool closed;      /* off the list; freed once in_callback is false */
} etcd_call_t;

static void etcd_range(kv_t *kv, const char *key, bool prefix,
                       kv_range_callback_t done, void *context);
static void etcd_swap(kv_t *kv, const kv_swap_t *swaps, size_t count,
                      kv_swap_callback_t done, void *context);
static void etcd_lease_grant(kv_t *kv, int64_t ttl_s, kv_lease_callback_t done,
                             void *context);
static void etcd_lease_keepalive(kv_t *kv, int64_t lease,
                                 kv_lease_callback_t done, void *context);
static void etcd_lease_revoke(kv_t *kv, int64_t lease,
                              kv_lease_callback_t done, void *context);
static void etcd_watch(kv_t *kv, const char *prefix, int64_t start_revision,
                       kv_watch_callback_t done, void *context);
static void etcd_watch_end(kv_t *kv, void *context);
static void etcd_free(kv_t *kv);
static void call_start(kv_t *kv, kv_callback_t done, const char *path,
                       const char *body, size_t swap_count);
static void call_send(etcd_call_t *call);
static void call_close(etcd_call_t *call);
static void call_free(etcd_call_t *call);
static void call_complete(etcd_call_t *call, const kv_response_t *answer);
static void switch_address(const etcd_call_t *call);
static bool call_retry_next_address(etcd_call_t *call);
static void on_head(http_sink_t *sink, uint32_t status,
                    const char *content_type, uint32_t retry_after_ms);
static void on_body(http_sink_t *sink, const char *bytes, size_t length);
static void on_done(http_sink_t *sink, http_result_t result);
static kv_result_t result_without_response(const etcd_call_t *call);
static kv_result_t result_of_status(const etcd_call_t *call);
static kv_result_t result_of_call(const etcd_call_t *call,
                                  http_result_t result);
static void deliver_response(etcd_call_t *call);
static int deliver_range(etcd_call_t *call, arena_t *arena, err_t *err);
static int deliver_swap(etcd_call_t *call, arena_t *arena, err_t *err);
static int deliver_lease(etcd_call_t *call, err_t *err);
static void parse_watch_lines(etcd_call_t *call);
static void deliver_watch_line(etcd_call_t *call, const char *line,
                               size_t length);

static const kv_ops_t etcd_ops = {
    .range = etcd_range,
    .swap = etcd_swap,
    .lease_grant = etcd_lease_grant,
    .lease_keepalive = etcd_lease_keepalive,
    .lease_revoke = etcd_lease_revoke,
    .watch = etcd_watch,
    .watch_cancel = etcd_watch_end,
    .free = etcd_free,
};
static const http_sink_ops_t call_sink_ops = {
    .head = on_head, .body = on_body, .done = on_done};

kv_t *
kv_etcd_new(http_client_t *client, const char *const *addresses, size_t count,
            uint32_t timeout_ms)
{
    etcd_t *etcd = xcalloc(1, sizeof(*etcd));
    size_t i;

    etcd->kv.ops = &etcd_ops;
    etcd->client = client;
    etcd->addresses = xcalloc(count, sizeof(*etcd->addresses));
    etcd->count = count;
    etcd->timeout_ms = timeout_ms;
    LIST_INIT(&etcd->calls);
    for (i = 0; i < count; i++) {
        etcd->addresses[i] = xstrdup(addresses[i]);
    }
    return &etcd->kv;
}

static void
etcd_range(kv_t *kv, const char *key, bool prefix, kv_range_callback_t done,
           void *context)
{
    arena_t arena = {0};

    call_start(kv, kv_callback_range(done, context), "/v3/kv/range",
               etcd_format_range(&arena, key, prefix), 0);
    arena_free(&arena);
}

static void
etcd_swap(kv_t *kv, const kv_swap_t *swaps, size_t count,
          kv_swap_callback_t done, void *context)
{
    arena_t arena = {0};

    call_start(kv, kv_callback_swap(done, context), "/v3/kv/txn",
               etcd_format_swap(&arena, swaps, count), count);
    arena_free(&arena);
}

static void
etcd_lease_grant(kv_t *kv, int64_t ttl_s, kv_lease_callback_t done,
                 void *context)
{
    arena_t arena = {0};

    call_start(kv, kv_callback_lease(done, context), "/v3/lease/grant",
               etcd_format_lease_grant(&arena, ttl_s), 0);
    arena_free(&arena);
}

static void
etcd_lease_keepalive(kv_t *kv, int64_t lease, kv_lease_callback_t done,
                     void *context)
{
    arena_t arena = {0};

    call_start(kv, kv_callback_lease(done, context), "/v3/lease/keepalive",
               etcd_format_lease(&arena, lease), 0);
    arena_free(&arena);
}

static void
etcd_lease_revoke(kv_t *kv, int64_t lease, kv_lease_callback_t done,
                  void *context)
{
    arena_t arena = {0};

    call_start(kv, kv_callback_lease(done, context), "/v3/lease/revoke",
               etcd_format_lease(&arena, lease), 0);
    arena_free(&arena);
}

static void
etcd_watch(kv_t *kv, const char *prefix, int64_t start_revision,
           kv_watch_callback_t done, void *context)
{
    arena_t arena = {0};

    call_start(kv, kv_callback_watch(done, context), "/v3/watch",
               etcd_format_watch(&arena, prefix, start_revision), 0);
    arena_free(&arena);
}

static void
etcd_watch_end(kv_t *kv, void *context)
{
    etcd_t *etcd = (etcd_t *)kv;
    etcd_call_t *call = LIST_FIRST(&etcd->calls);

    while (call != NULL) {
        etcd_call_t *next = LIST_NEXT(call, link);

        if (call->done.kind == KV_CALL_WATCH &&
            call->done.context == context) {
            call_close(call);
        }
        call = next;
    }
}

static void
etcd_free(kv_t *kv)
{
    etcd_t *etcd = (etcd_t *)kv;
    etcd_call_t *call = LIST_FIRST(&etcd->calls);
    size_t i;

    while (call != NULL) {
        etcd_call_t *next = LIST_NEXT(call, link);

        call_close(call);
        call = next;
    }
    for (i = 0; i < etcd->count; i++) {
        free(etcd->addresses[i]);
    }
    free(etcd->addresses);
    free(etcd);
}

static void
call_start(kv_t *kv, kv_callback_t done, const char *path, const char *body,
           size_t swap_count)
{
    etcd_t *etcd = (etcd_t *)kv;
    etcd_call_t *call = xcalloc(1, sizeof(*call));

    call->sink.ops = &call_sink_ops;
    call->etcd = etcd;
    call->done = done;
    call->path = path;
    call->body = xstrdup(body);
    call->address = etcd->current;
    call->swap_count = swap_count;
    LIST_INSERT_HEAD(&etcd->calls, call, link);
    call_send(call);
}

/*
 * Only a read may use a kept connection: libcurl sends a request again if a
 * kept connection turns out to be closed, and a write could run twice.
 */
static void
call_send(etcd_call_t *call)
{
    etcd_t *etcd = call->etcd;
    const char *headers[] = {"Content-Type: application/json", NULL};
    arena_t arena = {0};
    http_request_t request = {
        .method = "POST",
        .url = arena_printf(&arena, "http://%s%s",
                            etcd->addresses[call->address], call->path),
        .headers = headers,
        .body = call->body,
        .body_bytes = strlen(call->body),
        .connect_timeout_ms = etcd->timeout_ms,
        .timeout_ms = call->done.kind == KV_CALL_WATCH ? 0 : etcd->timeout_ms,
        .fresh_connection = call->done.kind != KV_CALL_RANGE,
    };

    call->addresses_tried++;
    call->status = 0;
    call->response.length = 0;
    call->scanned = 0;
    call->too_large = false;
    call->http = http_start(etcd->client, &request, &call->sink);
    arena_free(&arena);
}

static void
call_close(etcd_call_t *call)
{
    call->closed = true;
    LIST_REMOVE(call, link);
    if (call->http != NULL) {
        http_cancel(call->http);
        call->http = NULL;
    }
    if (!call->in_callback) {
        call_free(call);
    }
}

static void
call_free(etcd_call_t *call)
{
    buffer_free(&call->response);
    free(call->body);
    free(call);
}

/* The call is closed first because its callback may free the service. */
static void
call_complete(etcd_call_t *call, const kv_response_t *answer)
{
    bool in_callback = call->in_callback;

    call->in_callback = true;
    call_close(call);
    kv_callback_invoke(&call->done, answer);
    call->in_callback = in_callback;
    if (!in_callback) {
        call_free(call);
    }
}

/* After a failure of an address, new calls use the next one. */
static void
switch_address(const etcd_call_t *call)
{
    etcd_t *etcd = call->etcd;

    if (etcd->current == call->address) {
        etcd->current = (call->address + 1) % etcd->count;
    }
}

static bool
call_retry_next_address(etcd_call_t *call)
{
    if (call->addresses_tried >= call->etcd->count) {
        return false;
    }
    call->address = (call->address + 1) % call->etcd->count;
    call_send(call);
    return true;
}

static void
on_head(http_sink_t *sink, uint32_t status, const char *content_type,
        uint32_t retry_after_ms)
{
    ((etcd_call_t *)sink)->status = status;
}

static void
on_body(http_sink_t *sink, const char *bytes, size_t length)
{
    etcd_call_t *call = (etcd_call_t *)sink;

    if (buffer_append(&call->response, bytes, length,
                      ETCD_RESPONSE_BYTES_MAX) < 0) {
        call->too_large = true;
        return;
    }
    if (call->done.kind == KV_CALL_WATCH && call->status == HTTP_STATUS_OK) {
        parse_watch_lines(call);
    }
}

static void
on_done(http_sink_t *sink, http_result_t result)
{
    etcd_call_t *call = (etcd_call_t *)sink;
    kv_result_t outcome = result_of_call(call, result);

    call->http = NULL;
    if (outcome == KV_OK) {
        deliver_response(call);
        return;
    }
    if (outcome != KV_INVALID) {
        switch_address(call);
    }
    if (outcome == KV_NOT_APPLIED && call_retry_next_address(call)) {
        return;
    }
    call_complete(call, &(kv_response_t){.result = outcome});
}

static kv_result_t
result_of_call(const etcd_call_t *call, http_result_t result)
{
    if (result == HTTP_NOT_SENT) {
        return KV_NOT_APPLIED;
    }
    if (result != HTTP_DONE || call->too_large) {
        return result_without_response(call);
    }
    if (call->status != HTTP_STATUS_OK) {
        return result_of_status(call);
    }
    return call->done.kind == KV_CALL_WATCH ? KV_OUTCOME_UNKNOWN : KV_OK;
}

/* A failed read has no effect; a failed write may have taken effect. */
static kv_result_t
result_without_response(const etcd_call_t *call)
{
    return call->done.kind == KV_CALL_RANGE ? KV_NOT_APPLIED
                                            : KV_OUTCOME_UNKNOWN;
}

/* etcd may still apply a write for which it returned a 5xx status. */
static kv_result_t
result_of_status(const etcd_call_t *call)
{
    if (call->status == HTTP_STATUS_TOO_MANY_REQUESTS) {
        return KV_NOT_APPLIED;
    }
    if (call->status == HTTP_STATUS_REQUEST_TIMEOUT ||
        call->status == HTTP_STATUS_CLIENT_CLOSED_REQUEST ||
        call->status < HTTP_STATUS_BAD_REQUEST ||
        call->status >= HTTP_STATUS_SERVER_ERROR) {
        return result_without_response(call);
    }
    return KV_INVALID;
}

static void
deliver_response(etcd_call_t *call)
{
    arena_t arena = {0};
    err_t err = {0};
    int result = -1;

    switch (call->done.kind) {
    case KV_CALL_RANGE:
        result = deliver_range(call, &arena, &err);
        break;
    case KV_CALL_SWAP:
        result = deliver_swap(call, &arena, &err);
        break;
    case KV_CALL_LEASE:
        result = deliver_lease(call, &err);
        break;
    case KV_CALL_WATCH:
        break;
    }
    if (result < 0) {
        log_line(LOG_WARNING, "platform call=%s error=\"%s\"", call->path,
                 err.message);
        call_complete(
            call, &(kv_response_t){.result = result_without_response(call)});
    }
    arena_free(&arena);
}

static int
deliver_range(etcd_call_t *call, arena_t *arena, err_t *err)
{
    etcd_range_t range;

    if (etcd_parse_range(arena, call->response.bytes, call->response.length,
                         &range, err) < 0) {
        return -1;
    }
    call_complete(call, &(kv_response_t){.revision = range.revision,
                                         .pairs = range.pairs,
                                         .count = range.count});
    return 0;
}

static int
deliver_swap(etcd_call_t *call, arena_t *arena, err_t *err)
{
    etcd_swap_t swap;

    if (etcd_parse_swap(arena, call->response.bytes, call->response.length,
                        call->swap_count, &swap, err) < 0) {
        return -1;
    }
    call_complete(call, &(kv_response_t){.revision = swap.revision,
                                         .swaps = swap.answers,
                                         .count = swap.count});
    return 0;
}

static int
deliver_lease(etcd_call_t *call, err_t *err)
{
    etcd_lease_t lease;

    if (etcd_parse_lease(call->response.bytes, call->response.length, &lease,
                         err) < 0) {
        return -1;
    }
    call_complete(
        call, &(kv_response_t){.lease = lease.lease, .ttl_s = lease.ttl_s});
    return 0;
}

/* Delivers the complete lines and keeps the remaining bytes. */
static void
parse_watch_lines(etcd_call_t *call)
{
    size_t start = 0;
    const char *newline;

    call->in_callback = true;
    while (!call->closed &&
           (newline = memchr(call->response.bytes + call->scanned, '\n',
                             call->response.length - call->scanned)) != NULL) {
        size_t end = (size_t)(newline - call->response.bytes);

        call->scanned = end + 1;
        if (end > start) {
            deliver_watch_line(call, call->response.bytes + start,
                               end - start);
        }
        start = end + 1;
    }
    call->in_callback = false;
    if (call->closed) {
        call_free(call);
        return;
    }
    buffer_consume(&call->response, start);
    call->scanned = call->response.length;
}

static void
deliver_watch_line(etcd_call_t *call, const char *line, size_t length)
{
    arena_t arena = {0};
    err_t err = {0};
    etcd_watch_t watch;

    if (etcd_parse_watch(&arena, line, length, &watch, &err) < 0) {
        log_line(LOG_WARNING, "platform call=%s error=\"%s\"", call->path,
                 err.message);
        call_complete(call, &(kv_response_t){.result = KV_OUTCOME_UNKNOWN});
    }
    else if (watch.canceled) {
        call_complete(call, &(kv_response_t){.result = KV_INVALID,
                                             .revision = watch.revision});
    }
    else if (watch.created || watch.count > 0) {
        kv_callback_invoke(&call->done,
                           &(kv_response_t){.revision = watch.revision,
                                            .pairs = watch.pairs,
                                            .count = watch.count});
    }
    arena_free(&arena);
}
