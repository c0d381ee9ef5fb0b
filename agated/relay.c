/* relay.c - forwards a request to a peer host and returns its response. */
#include <stdlib.h>

#include "agated/exchange.h"
#include "base/log.h"
#include "peer/relay_mark.h"

enum { CONNECT_TIMEOUT_MS = 1000, HEADERS_MAX = 8 };

struct relay {
    http_sink_t sink; /* first member: callbacks cast it to relay_t */
    exchange_t *exchange;
    http_call_t *call;
};

static void build_headers(exchange_t *exchange, const char **headers);
static void on_head(http_sink_t *sink, uint32_t status,
                    const char *content_type, uint32_t retry_after_ms);
static void on_body(http_sink_t *sink, const char *bytes, size_t length);
static void on_done(http_sink_t *sink, http_result_t result);

static const http_sink_ops_t sink_ops = {
    .head = on_head, .body = on_body, .done = on_done};

relay_t *
relay_new(exchange_t *exchange, const relay_action_t *action)
{
    const settings_t *settings = exchange->daemon->settings;
    const request_input_t *input = &exchange->input;
    const char *scheme = settings->tls_certificate == NULL ? "http" : "https";
    const char *headers[HEADERS_MAX] = {0};
    relay_t *relay = xcalloc(1, sizeof(*relay));
    http_request_t request = {
        .method = input->method,
        .url = arena_printf(&exchange->arena, "%s://%s%s", scheme,
                            action->address, input->path),
        .headers = headers,
        .body = input->body_bytes > 0 ? input->body : NULL,
        .body_bytes = input->body_bytes,
        .connect_timeout_ms = CONNECT_TIMEOUT_MS,
        .fresh_connection = true,
        .ca_file = settings->tls_ca,
    };

    build_headers(exchange, headers);
    relay->sink.ops = &sink_ops;
    relay->exchange = exchange;
    relay->call = http_start(exchange->daemon->client, &request, &relay->sink);
    log_line(LOG_INFO, "relay request=%s host=%s", exchange->response.name,
             action->host);
    return relay;
}

void
relay_free(relay_t *relay)
{
    if (relay->call != NULL) {
        http_cancel(relay->call);
    }
    free(relay);
}

/*
 * Sends the request's name as Idempotency-Key, so that the event ids of the
 * peer contain the same name.
 */
static void
build_headers(exchange_t *exchange, const char **headers)
{
    const request_input_t *input = &exchange->input;
    arena_t *arena = &exchange->arena;
    const struct {
        const char *name;
        const char *value;
    } candidates[] = {
        {"Authorization", input->authorization},
        {"Content-Type", input->content_type},
        {"Last-Event-ID", input->last_event_id},
        {"X-Request-Kind", input->request_kind},
        {"Idempotency-Key", exchange->response.name},
        {relay_mark_host_header, exchange->daemon->settings->host},
    };
    size_t count = 0;
    size_t i;

    for (i = 0; i < sizeof(candidates) / sizeof(candidates[0]); i++) {
        if (candidates[i].value != NULL) {
            headers[count] = arena_printf(arena, "%s: %s", candidates[i].name,
                                          candidates[i].value);
            count++;
        }
    }
}

static void
on_head(http_sink_t *sink, uint32_t status, const char *content_type,
        uint32_t retry_after_ms)
{
    relay_t *relay = (relay_t *)sink;

    exchange_relay_head(relay->exchange, status, content_type, retry_after_ms);
}

static void
on_body(http_sink_t *sink, const char *bytes, size_t length)
{
    relay_t *relay = (relay_t *)sink;

    exchange_relay_body(relay->exchange, bytes, length);
}

static void
on_done(http_sink_t *sink, http_result_t result)
{
    relay_t *relay = (relay_t *)sink;

    relay->call = NULL;
    exchange_relay_end(relay->exchange, result);
}
