/* inquiry.c - what runners are asked beside the callers' requests. */
#include <stdlib.h>

#include "gateway/gateway.h"

enum { INQUIRY_BYTES_MAX = 16384, STATUS_OK = 200 };

/* A runner that is asked for a sign of life, or to copy a stream's memory. */
typedef struct inquiry {
    http_sink_t sink;
    inquiries_t *inquiries;
    http_call_t *call;
    char *runner; /* NULL: a copy is asked for */
    uint64_t number;
    uint32_t attempt;
    uint32_t status;
    text_t body;
    struct inquiry *next;
} inquiry_t;

struct inquiries {
    gateway_t *gateway;
    inquiry_t *first;
};

static inquiry_t *inquire(inquiries_t *inquiries, const http_request_t *http);
static void on_inquiry_head(http_sink_t *sink, uint32_t status,
                            const char *content_type, uint32_t retry_after_ms);
static void on_inquiry_body(http_sink_t *sink, const char *bytes,
                            size_t length);
static void on_inquiry_done(http_sink_t *sink, http_result_t result);
static void inquiry_free(inquiry_t *inquiry);

static const http_sink_ops_t inquiry_ops = {
    .head = on_inquiry_head, .body = on_inquiry_body, .done = on_inquiry_done};

inquiries_t *
inquiries_new(gateway_t *gateway)
{
    inquiries_t *inquiries = xcalloc(1, sizeof(*inquiries));

    inquiries->gateway = gateway;
    return inquiries;
}

void
inquiries_free(inquiries_t *inquiries)
{
    if (inquiries == NULL) {
        return;
    }
    while (inquiries->first != NULL) {
        if (inquiries->first->call != NULL) {
            http_cancel(inquiries->first->call);
        }
        inquiry_free(inquiries->first);
    }
    free(inquiries);
}

void
inquire_probe(inquiries_t *inquiries, const char *runner, const char *address,
              uint32_t timeout_ms)
{
    const dialect_ops_t *dialect = inquiries->gateway->dialect->ops;
    arena_t arena = {0};
    http_request_t http = {
        .method = "GET",
        .url =
            arena_printf(&arena, "http://%s%s", address, dialect->probe_path),
        .connect_timeout_ms = timeout_ms,
        .timeout_ms = timeout_ms,
        .fresh_connection = true,
    };
    inquiry_t *inquiry = inquire(inquiries, &http);

    inquiry->runner = xstrdup(runner);
    arena_free(&arena);
}

void
inquire_copy(inquiries_t *inquiries, uint64_t number,
             const copy_action_t *copy)
{
    const dialect_ops_t *dialect = inquiries->gateway->dialect->ops;
    static const char *const headers[] = {"Content-Type: application/json",
                                          NULL};
    arena_t arena = {0};
    text_t body = {0};
    http_request_t http = {
        .method = "POST",
        .url = arena_printf(&arena, "http://%s%s", copy->address,
                            dialect->copy_path),
        .headers = headers,
        .connect_timeout_ms = copy->timeout_ms,
        .timeout_ms = copy->timeout_ms,
        .fresh_connection = true,
    };
    inquiry_t *inquiry;

    dialect->write_copy(&body, copy);
    http.body = body.bytes;
    http.body_bytes = body.length;
    inquiry = inquire(inquiries, &http);
    inquiry->number = number;
    inquiry->attempt = copy->attempt;
    text_free(&body);
    arena_free(&arena);
}

/* What becomes of it is not looked at: the copy lapses anyway. */
void
inquire_drop_copy(inquiries_t *inquiries, const free_copy_action_t *drop)
{
    const dialect_ops_t *dialect = inquiries->gateway->dialect->ops;
    arena_t arena = {0};
    http_request_t http = {
        .method = "DELETE",
        .url = arena_printf(&arena, "http://%s%s", drop->address,
                            dialect->drop_copy_path(&arena, drop->name)),
        .connect_timeout_ms = drop->timeout_ms,
        .timeout_ms = drop->timeout_ms,
        .fresh_connection = true,
    };

    (void)inquire(inquiries, &http);
    arena_free(&arena);
}

static inquiry_t *
inquire(inquiries_t *inquiries, const http_request_t *http)
{
    inquiry_t *inquiry = xcalloc(1, sizeof(*inquiry));

    inquiry->sink.ops = &inquiry_ops;
    inquiry->inquiries = inquiries;
    inquiry->next = inquiries->first;
    inquiries->first = inquiry;
    inquiry->call =
        http_start(inquiries->gateway->client, http, &inquiry->sink);
    return inquiry;
}

static void
on_inquiry_head(http_sink_t *sink, uint32_t status, const char *content_type,
                uint32_t retry_after_ms)
{
    ((inquiry_t *)sink)->status = status;
}

static void
on_inquiry_body(http_sink_t *sink, const char *bytes, size_t length)
{
    inquiry_t *inquiry = (inquiry_t *)sink;

    if (inquiry->body.length + length <= INQUIRY_BYTES_MAX) {
        text_append(&inquiry->body, bytes, length);
    }
}

/* Any answer of a runner is a sign of life. */
static void
on_inquiry_done(http_sink_t *sink, http_result_t result)
{
    inquiry_t *inquiry = (inquiry_t *)sink;
    gateway_t *gateway = inquiry->inquiries->gateway;
    forward_event_t event = {.kind = FORWARD_PROBE_RESULT};
    const dialect_ops_t *dialect = gateway->dialect->ops;
    arena_t arena = {0};
    runner_report_t report;

    if (inquiry->runner != NULL) {
        event.u.probed = (forward_probe_result_t){
            .runner = inquiry->runner,
            .answered = result == HTTP_DONE,
        };
        if (result == HTTP_DONE && inquiry->status == STATUS_OK &&
            dialect->read_report(&arena, inquiry->body.bytes,
                                 inquiry->body.length, &report)) {
            event.u.probed.report = &report;
        }
    }
    else {
        event.kind = FORWARD_COPY_RESULT;
        event.u.copied = (forward_copy_result_t){
            .number = inquiry->number,
            .attempt = inquiry->attempt,
        };
        if (result == HTTP_DONE && inquiry->status == STATUS_OK) {
            event.u.copied.name = dialect->read_copied(
                &arena, inquiry->body.bytes, inquiry->body.length);
        }
    }
    forwarding_event(gateway, &event);
    inquiry->call = NULL;
    inquiry_free(inquiry);
    arena_free(&arena);
}

static void
inquiry_free(inquiry_t *inquiry)
{
    inquiry_t **link = &inquiry->inquiries->first;

    while (*link != inquiry) {
        link = &(*link)->next;
    }
    *link = inquiry->next;
    free(inquiry->runner);
    text_free(&inquiry->body);
    free(inquiry);
}
