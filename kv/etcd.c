/* etcd.c - a key-value service: etcd v3 by JSON; see kv.h. */
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "base/arena.h"
#include "base/log.h"
#include "http/buffer.h"
#include "kv/done.h"
#include "kv/etcd_json.h"

enum {
    ETCD_ANSWER_BYTES_MAX = 256 << 20,
    HTTP_STATUS_OK = 200,
    HTTP_STATUS_BAD_REQUEST = 400,
    HTTP_STATUS_REQUEST_TIMEOUT = 408,
    HTTP_STATUS_TOO_MANY = 429,
    HTTP_STATUS_CLOSED = 499,
    HTTP_STATUS_SERVER_ERROR = 500,
};

typedef struct {
    kv_t kv;
    http_client_t *client;
    char **addresses;
    size_t count;
    size_t current; /* the address that new calls go to */
    uint32_t timeout_ms;
    LIST_HEAD(, etcd_call) calls;
} etcd_t;

typedef struct etcd_call {
    http_sink_t sink;
    LIST_ENTRY(etcd_call) all;
    etcd_t *etcd;
    http_call_t *http;
    kv_done_t done;
    const char *path;
    char *body;
    size_t address;
    size_t tried;      /* addresses so far */
    size_t swap_count; /* KV_CALL_SWAP */
    uint32_t status;
    buffer_t answer; /* all of it; of a watch, what is no whole line yet */
    size_t scanned;  /* of it, without finding a line's end */
    bool too_long;
    bool feeding; /* its memory is in use up the stack */
    bool over;    /* off the list; freed when no longer feeding */
} etcd_call_t;

static void etcd_range(kv_t *kv, const char *key, bool prefix,
                       kv_range_done_t done, void *context);
static void etcd_swap(kv_t *kv, const kv_swap_t *swaps, size_t count,
                      kv_swap_done_t done, void *context);
static void etcd_lease_grant(kv_t *kv, int64_t ttl_s, kv_lease_done_t done,
                             void *context);
static void etcd_lease_keepalive(kv_t *kv, int64_t lease, kv_lease_done_t done,
                                 void *context);
static void etcd_lease_revoke(kv_t *kv, int64_t lease, kv_lease_done_t done,
                              void *context);
static void etcd_watch(kv_t *kv, const char *prefix, int64_t start_revision,
                       kv_watch_done_t done, void *context);
static void etcd_watch_end(kv_t *kv, void *context);
static void etcd_free(kv_t *kv);
static void call_start(kv_t *kv, kv_done_t done, const char *path,
                       const char *body, size_t swap_count);
static void call_send(etcd_call_t *call);
static void call_close(etcd_call_t *call);
static void call_free(etcd_call_t *call);
static void call_end(etcd_call_t *call, const kv_answer_t *answer);
static void call_leave_address(const etcd_call_t *call);
static bool call_try_next(etcd_call_t *call);
static void on_head(http_sink_t *sink, uint32_t status,
                    const char *content_type, uint32_t retry_after_ms);
static void on_body(http_sink_t *sink, const char *bytes, size_t length);
static void on_done(http_sink_t *sink, http_result_t result);
static kv_result_t unclear(const etcd_call_t *call);
static kv_result_t outcome_of_status(const etcd_call_t *call);
static kv_result_t outcome_of(const etcd_call_t *call, http_result_t result);
static void finish(etcd_call_t *call);
static int give_range(etcd_call_t *call, arena_t *arena, err_t *err);
static int give_swap(etcd_call_t *call, arena_t *arena, err_t *err);
static int give_lease(etcd_call_t *call, err_t *err);
static void feed_watch(etcd_call_t *call);
static void give_line(etcd_call_t *call, const char *line, size_t length);

static const kv_ops_t etcd_ops = {
    .range = etcd_range,
    .swap = etcd_swap,
    .lease_grant = etcd_lease_grant,
    .lease_keepalive = etcd_lease_keepalive,
    .lease_revoke = etcd_lease_revoke,
    .watch = etcd_watch,
    .watch_end = etcd_watch_end,
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
etcd_range(kv_t *kv, const char *key, bool prefix, kv_range_done_t done,
           void *context)
{
    arena_t arena = {0};

    call_start(kv, kv_done_range(done, context), "/v3/kv/range",
               etcd_make_range(&arena, key, prefix), 0);
    arena_free(&arena);
}

static void
etcd_swap(kv_t *kv, const kv_swap_t *swaps, size_t count, kv_swap_done_t done,
          void *context)
{
    arena_t arena = {0};

    call_start(kv, kv_done_swap(done, context), "/v3/kv/txn",
               etcd_make_swap(&arena, swaps, count), count);
    arena_free(&arena);
}

static void
etcd_lease_grant(kv_t *kv, int64_t ttl_s, kv_lease_done_t done, void *context)
{
    arena_t arena = {0};

    call_start(kv, kv_done_lease(done, context), "/v3/lease/grant",
               etcd_make_grant(&arena, ttl_s), 0);
    arena_free(&arena);
}

static void
etcd_lease_keepalive(kv_t *kv, int64_t lease, kv_lease_done_t done,
                     void *context)
{
    arena_t arena = {0};

    call_start(kv, kv_done_lease(done, context), "/v3/lease/keepalive",
               etcd_make_lease(&arena, lease), 0);
    arena_free(&arena);
}

static void
etcd_lease_revoke(kv_t *kv, int64_t lease, kv_lease_done_t done, void *context)
{
    arena_t arena = {0};

    call_start(kv, kv_done_lease(done, context), "/v3/lease/revoke",
               etcd_make_lease(&arena, lease), 0);
    arena_free(&arena);
}

static void
etcd_watch(kv_t *kv, const char *prefix, int64_t start_revision,
           kv_watch_done_t done, void *context)
{
    arena_t arena = {0};

    call_start(kv, kv_done_watch(done, context), "/v3/watch",
               etcd_make_watch(&arena, prefix, start_revision), 0);
    arena_free(&arena);
}

static void
etcd_watch_end(kv_t *kv, void *context)
{
    etcd_t *etcd = (etcd_t *)kv;
    etcd_call_t *call = LIST_FIRST(&etcd->calls);

    while (call != NULL) {
        etcd_call_t *next = LIST_NEXT(call, all);

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
        etcd_call_t *next = LIST_NEXT(call, all);

        call_close(call);
        call = next;
    }
    for (i = 0; i < etcd->count; i++) {
        free(etcd->addresses[i]);
    }
    free(etcd->addresses);
    free(etcd);
}

/* swap_count is 0 for all but a swap. */
static void
call_start(kv_t *kv, kv_done_t done, const char *path, const char *body,
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
    LIST_INSERT_HEAD(&etcd->calls, call, all);
    call_send(call);
}

/* A call that writes must not be sent again on a connection found closed. */
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

    call->tried++;
    call->status = 0;
    call->answer.length = 0;
    call->scanned = 0;
    call->too_long = false;
    call->http = http_start(etcd->client, &request, &call->sink);
    arena_free(&arena);
}

static void
call_close(etcd_call_t *call)
{
    call->over = true;
    LIST_REMOVE(call, all);
    if (call->http != NULL) {
        http_cancel(call->http);
        call->http = NULL;
    }
    if (!call->feeding) {
        call_free(call);
    }
}

static void
call_free(etcd_call_t *call)
{
    buffer_free(&call->answer);
    free(call->body);
    free(call);
}

/* The call's callback may free the service: the call is closed first. */
static void
call_end(etcd_call_t *call, const kv_answer_t *answer)
{
    bool feeding = call->feeding;

    call->feeding = true;
    call_close(call);
    kv_done_give(&call->done, answer);
    call->feeding = feeding;
    if (!feeding) {
        call_free(call);
    }
}

/* Where an address failed, new calls go to the next one. */
static void
call_leave_address(const etcd_call_t *call)
{
    etcd_t *etcd = call->etcd;

    if (etcd->current == call->address) {
        etcd->current = (call->address + 1) % etcd->count;
    }
}

static bool
call_try_next(etcd_call_t *call)
{
    if (call->tried >= call->etcd->count) {
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

    if (buffer_append(&call->answer, bytes, length, ETCD_ANSWER_BYTES_MAX) <
        0) {
        call->too_long = true;
        return;
    }
    if (call->done.kind == KV_CALL_WATCH && call->status == HTTP_STATUS_OK) {
        feed_watch(call);
    }
}

static void
on_done(http_sink_t *sink, http_result_t result)
{
    etcd_call_t *call = (etcd_call_t *)sink;
    kv_result_t outcome = outcome_of(call, result);

    call->http = NULL;
    if (outcome == KV_OK) {
        finish(call);
        return;
    }
    if (outcome != KV_INVALID) {
        call_leave_address(call);
    }
    if (outcome == KV_UNREACHED && call_try_next(call)) {
        return;
    }
    call_end(call, &(kv_answer_t){.result = outcome});
}

static kv_result_t
outcome_of(const etcd_call_t *call, http_result_t result)
{
    if (result == HTTP_NOT_SENT) {
        return KV_UNREACHED;
    }
    if (result != HTTP_DONE || call->too_long) {
        return unclear(call);
    }
    if (call->status != HTTP_STATUS_OK) {
        return outcome_of_status(call);
    }
    return call->done.kind == KV_CALL_WATCH ? KV_LOST : KV_OK;
}

/* A read that failed took no effect, whatever became of it. */
static kv_result_t
unclear(const etcd_call_t *call)
{
    return call->done.kind == KV_CALL_RANGE ? KV_UNREACHED : KV_LOST;
}

/* etcd answers 5xx also to writes that it may yet carry out. */
static kv_result_t
outcome_of_status(const etcd_call_t *call)
{
    if (call->status == HTTP_STATUS_TOO_MANY) {
        return KV_UNREACHED;
    }
    if (call->status == HTTP_STATUS_REQUEST_TIMEOUT ||
        call->status == HTTP_STATUS_CLOSED ||
        call->status < HTTP_STATUS_BAD_REQUEST ||
        call->status >= HTTP_STATUS_SERVER_ERROR) {
        return unclear(call);
    }
    return KV_INVALID;
}

static void
finish(etcd_call_t *call)
{
    arena_t arena = {0};
    err_t err = {0};
    int result = -1;

    switch (call->done.kind) {
    case KV_CALL_RANGE:
        result = give_range(call, &arena, &err);
        break;
    case KV_CALL_SWAP:
        result = give_swap(call, &arena, &err);
        break;
    case KV_CALL_LEASE:
        result = give_lease(call, &err);
        break;
    case KV_CALL_WATCH:
        break;
    }
    if (result < 0) {
        log_line(LOG_WARNING, "platform call=%s error=\"%s\"", call->path,
                 err.message);
        call_end(call, &(kv_answer_t){.result = unclear(call)});
    }
    arena_free(&arena);
}

static int
give_range(etcd_call_t *call, arena_t *arena, err_t *err)
{
    etcd_range_t range;

    if (etcd_read_range(arena, call->answer.bytes, call->answer.length, &range,
                        err) < 0) {
        return -1;
    }
    call_end(call, &(kv_answer_t){.revision = range.revision,
                                  .pairs = range.pairs,
                                  .count = range.count});
    return 0;
}

static int
give_swap(etcd_call_t *call, arena_t *arena, err_t *err)
{
    etcd_swap_t swap;

    if (etcd_read_swap(arena, call->answer.bytes, call->answer.length,
                       call->swap_count, &swap, err) < 0) {
        return -1;
    }
    call_end(call, &(kv_answer_t){.revision = swap.revision,
                                  .swaps = swap.answers,
                                  .count = swap.count});
    return 0;
}

static int
give_lease(etcd_call_t *call, err_t *err)
{
    etcd_lease_t lease;

    if (etcd_read_lease(call->answer.bytes, call->answer.length, &lease, err) <
        0) {
        return -1;
    }
    call_end(call, &(kv_answer_t){.lease = lease.lease, .ttl_s = lease.ttl_s});
    return 0;
}

/* Gives every whole line and keeps the rest. */
static void
feed_watch(etcd_call_t *call)
{
    size_t start = 0;
    const char *feed;

    call->feeding = true;
    while (!call->over &&
           (feed = memchr(call->answer.bytes + call->scanned, '\n',
                          call->answer.length - call->scanned)) != NULL) {
        size_t end = (size_t)(feed - call->answer.bytes);

        call->scanned = end + 1;
        if (end > start) {
            give_line(call, call->answer.bytes + start, end - start);
        }
        start = end + 1;
    }
    call->feeding = false;
    if (call->over) {
        call_free(call);
        return;
    }
    buffer_consume(&call->answer, start);
    call->scanned = call->answer.length;
}

static void
give_line(etcd_call_t *call, const char *line, size_t length)
{
    arena_t arena = {0};
    err_t err = {0};
    etcd_watch_t watch;

    if (etcd_read_watch(&arena, line, length, &watch, &err) < 0) {
        log_line(LOG_WARNING, "platform call=%s error=\"%s\"", call->path,
                 err.message);
        call_end(call, &(kv_answer_t){.result = KV_LOST});
    }
    else if (watch.canceled) {
        call_end(call, &(kv_answer_t){.result = KV_INVALID,
                                      .revision = watch.revision});
    }
    else if (watch.created || watch.count > 0) {
        kv_done_give(&call->done, &(kv_answer_t){.revision = watch.revision,
                                                 .pairs = watch.pairs,
                                                 .count = watch.count});
    }
    arena_free(&arena);
}
