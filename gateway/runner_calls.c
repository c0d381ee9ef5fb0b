/* runner_calls.c - HTTP requests of the gateway to runners: probes and copies.
 */
#include <stdlib.h>

#include "base/log.h"
#include "gateway/gateway.h"

enum { RESPONSE_MAX_BYTES = 128 << 10, STATUS_OK = 200 };

/* A request to probe a runner, or to create or free a copy of a KV cache. */
typedef struct runner_call {
    http_sink_t sink; /* must be first: passed to HTTP callbacks */
    runner_calls_t *runner_calls;
    http_call_t *call;
    char *runner;     /* probed; NULL for requests about copies */
    int64_t asked_us; /* when the call was started */
    uint64_t number;  /* of the request whose KV cache is copied */
    uint32_t attempt; /* of that request */
    uint32_t status;
    arena_t arena; /* of the headers */
    headers_t headers;
    text_t body;
    struct runner_call *next;
} runner_call_t;

struct runner_calls {
    gateway_t *gateway;
    runner_call_t *first;
};

static runner_call_t *start_runner_call(runner_calls_t *runner_calls,
                                        const http_request_t *http);
static void on_header_field(http_sink_t *sink, uint32_t status,
                            const char *name, size_t name_bytes,
                            const char *value, size_t value_bytes);
static void on_response_head(http_sink_t *sink, uint32_t status,
                             const char *content_type,
                             uint32_t retry_after_ms);
static void on_response_body(http_sink_t *sink, const char *bytes,
                             size_t length);
static void on_response_end(http_sink_t *sink, http_result_t result);
static void free_runner_call(runner_call_t *runner_call);

static const http_sink_ops_t sink_ops = {.head = on_response_head,
                                         .body = on_response_body,
                                         .done = on_response_end,
                                         .field = on_header_field};

runner_calls_t *
runner_calls_new(gateway_t *gateway)
{
    runner_calls_t *runner_calls = xcalloc(1, sizeof(*runner_calls));

    runner_calls->gateway = gateway;
    return runner_calls;
}

void
runner_calls_free(runner_calls_t *runner_calls)
{
    if (runner_calls == NULL) {
        return;
    }
    while (runner_calls->first != NULL) {
        if (runner_calls->first->call != NULL) {
            http_cancel(runner_calls->first->call);
        }
        free_runner_call(runner_calls->first);
    }
    free(runner_calls);
}

void
runner_call_probe(runner_calls_t *runner_calls, const char *runner,
                  const char *address, uint32_t timeout_ms)
{
    const dialect_ops_t *dialect = runner_calls->gateway->dialect->ops;
    arena_t arena = {0};
    http_request_t http = {
        .method = "GET",
        .url =
            arena_printf(&arena, "http://%s%s", address, dialect->probe_path),
        .connect_timeout_ms = timeout_ms,
        .timeout_ms = timeout_ms,
        .fresh_connection = true,
    };
    runner_call_t *runner_call = start_runner_call(runner_calls, &http);

    runner_call->runner = xstrdup(runner);
    arena_free(&arena);
}

void
runner_call_copy(runner_calls_t *runner_calls, uint64_t number,
                 const copy_action_t *copy)
{
    const dialect_ops_t *dialect = runner_calls->gateway->dialect->ops;
    static const char *const headers[] = {"Content-Type: application/json",
                                          NULL};
    arena_t arena = {0};
    text_t body = {0};
    http_request_t http = {
        .method = "POST",
        .url = arena_printf(&arena, "http://%s%s", copy->address,
                            dialect->kv_copy_path),
        .headers = headers,
        .connect_timeout_ms = copy->timeout_ms,
        .timeout_ms = copy->timeout_ms,
        .fresh_connection = true,
    };
    runner_call_t *runner_call;

    dialect->write_kv_copy_request(&body, copy);
    http.body = body.bytes;
    http.body_bytes = body.length;
    runner_call = start_runner_call(runner_calls, &http);
    runner_call->number = number;
    runner_call->attempt = copy->attempt;
    text_free(&body);
    arena_free(&arena);
}

/* Ignores the result: a runner frees an expired copy by itself. */
void
runner_call_free_copy(runner_calls_t *runner_calls,
                      const free_copy_action_t *action)
{
    const dialect_ops_t *dialect = runner_calls->gateway->dialect->ops;
    arena_t arena = {0};
    http_request_t http = {
        .method = "DELETE",
        .url =
            arena_printf(&arena, "http://%s%s", action->address,
                         dialect->kv_copy_delete_path(&arena, action->name)),
        .connect_timeout_ms = action->timeout_ms,
        .timeout_ms = action->timeout_ms,
        .fresh_connection = true,
    };

    (void)start_runner_call(runner_calls, &http);
    arena_free(&arena);
}

static runner_call_t *
start_runner_call(runner_calls_t *runner_calls, const http_request_t *http)
{
    http_request_t limited = *http;
    runner_call_t *runner_call = xcalloc(1, sizeof(*runner_call));

    runner_call->sink.ops = &sink_ops;
    runner_call->asked_us = gateway_now_us();
    runner_call->runner_calls = runner_calls;
    runner_call->next = runner_calls->first;
    runner_calls->first = runner_call;
    limited.response_max_bytes = RESPONSE_MAX_BYTES;
    runner_call->call = http_start(runner_calls->gateway->client, &limited,
                                   &runner_call->sink);
    return runner_call;
}

static void
on_header_field(http_sink_t *sink, uint32_t status, const char *name,
                size_t name_bytes, const char *value, size_t value_bytes)
{
    runner_call_t *runner_call = (runner_call_t *)sink;
    arena_t *arena = &runner_call->arena;

    headers_add(&runner_call->headers, arena,
                (header_t){
                    .name = arena_strndup(arena, name, name_bytes),
                    .name_bytes = name_bytes,
                    .value = arena_strndup(arena, value, value_bytes),
                    .value_bytes = value_bytes,
                });
}

static void
on_response_head(http_sink_t *sink, uint32_t status, const char *content_type,
                 uint32_t retry_after_ms)
{
    ((runner_call_t *)sink)->status = status;
}

static void
on_response_body(http_sink_t *sink, const char *bytes, size_t length)
{
    runner_call_t *runner_call = (runner_call_t *)sink;

    text_append(&runner_call->body, bytes, length);
}

/* A response with any status shows that a probed runner is alive. */
static probe_outcome_t
probe_outcome(http_result_t result)
{
    switch (result) {
    case HTTP_DONE:
        return PROBE_ANSWERED;
    case HTTP_TIMEOUT:
        return PROBE_SILENT;
    default:
        return PROBE_UNREACHABLE;
    }
}

static void
on_response_end(http_sink_t *sink, http_result_t result)
{
    runner_call_t *runner_call = (runner_call_t *)sink;
    gateway_t *gateway = runner_call->runner_calls->gateway;
    forward_event_t event = {.kind = FORWARD_PROBE_RESULT};
    const dialect_ops_t *dialect = gateway->dialect->ops;
    arena_t arena = {0};
    response_properties_t terms;
    runner_report_t report;

    if (result == HTTP_TOO_LARGE) {
        log_event(LOG_WARNING, "runner-response-too-large",
                  "runner=%s request=%llu status=%u bytes=%llu",
                  runner_call->runner != NULL ? runner_call->runner : "",
                  (unsigned long long)runner_call->number, runner_call->status,
                  (unsigned long long)http_received_bytes(runner_call->call));
        meters_count_response_too_large(gateway->meters, "call");
    }
    dialect->parse_response_headers(&arena, &runner_call->headers, &terms);
    if (runner_call->runner != NULL) {
        event.u.probed = (forward_probe_result_t){
            .runner = runner_call->runner,
            .outcome = probe_outcome(result),
            .leaving = terms.leaving,
            .asked_us = runner_call->asked_us,
        };
        if (result == HTTP_DONE) {
            bool lists_runs = dialect->parse_probe_response(
                &arena, runner_call->body.bytes, runner_call->body.length,
                &report);

            event.u.probed.started_ms = report.started_ms;
            if (lists_runs && runner_call->status == STATUS_OK) {
                event.u.probed.report = &report;
                event.u.probed.leaving |= report.leaving;
            }
        }
    }
    else {
        event.kind = FORWARD_COPY_RESULT;
        event.u.copied = (forward_copy_result_t){
            .number = runner_call->number,
            .attempt = runner_call->attempt,
            .leaving = terms.leaving,
        };
        if (result == HTTP_DONE && runner_call->status == STATUS_OK) {
            event.u.copied.name = dialect->parse_kv_copy_response(
                &arena, runner_call->body.bytes, runner_call->body.length);
        }
    }
    forwarding_handle_event(gateway, &event);
    runner_call->call = NULL;
    free_runner_call(runner_call);
    arena_free(&arena);
}

static void
free_runner_call(runner_call_t *runner_call)
{
    runner_call_t **link = &runner_call->runner_calls->first;

    while (*link != runner_call) {
        link = &(*link)->next;
    }
    *link = runner_call->next;
    free(runner_call->runner);
    arena_free(&runner_call->arena);
    text_free(&runner_call->body);
    free(runner_call);
}
