/*
 * upstream.c - sends requests to runners, relays them to other hosts, and
 * receives the responses.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <uthash.h>

#include "base/log.h"
#include "gateway/gateway.h"
#include "http/intake.h"

enum {
    /* Of a response, whatever the bytes are; of a stream, between two events
     * that let it go on.  A response that is not streamed is buffered until it
     * is complete. */
    RESPONSE_MAX_BYTES = 16 << 20,
    STATUS_FINAL_MIN = 200,
    STATUS_ERROR_MIN = 400,
};

static const char event_stream_type[] = "text/event-stream";

typedef struct exchange exchange_t;

/* One HTTP request to a runner or another host, and its response. */
struct exchange {
    http_sink_t sink; /* must be first: passed to HTTP callbacks */
    upstreams_t *upstreams;
    http_call_t *call; /* NULL: ended */
    uint64_t number;   /* of the request; key of the table */
    uint32_t attempt;
    int64_t sent_us;
    const char *to_host; /* that it is relayed to; NULL: none */
    arena_t arena;
    const char *id; /* of the request; an authentic response repeats it */
    headers_t headers;
    uint32_t status;
    text_t body;
    event_stream_t events;
    size_t held_bytes;     /* by body and events */
    int64_t last_event_id; /* of events of this response; -1: none */
    bool relaying;         /* events are sent to the caller as they arrive */
    bool catching_up;      /* with those that came before that */
    bool ended;            /* before that, with this result */
    send_result_t result;
    bool malformed;   /* it has sent something that is no event */
    bool failed;      /* it was ended before its end */
    bool in_callback; /* a callback up the stack uses it */
    bool released;    /* to be freed when the callback returns */
    UT_hash_handle hh;
};

struct upstreams {
    gateway_t *gateway;
    exchange_t *exchanges; /* the latest of each request, by its number */
    size_t held_bytes;     /* by all of them */
    size_t held_max_bytes;
};

static void catch_up(exchange_t *exchange);
static void raise_progress(const exchange_t *exchange, int64_t event_id);
static send_result_t end_result(const exchange_t *exchange,
                                send_result_t result);
static bool write_headers(exchange_t *exchange,
                          const caller_request_t *request,
                          const send_action_t *action, headers_t *headers);
static void raise_send_end(const exchange_t *exchange, send_result_t result);
static void update_held(exchange_t *exchange);
static void limit_held(upstreams_t *upstreams);
static void fail_exchange(exchange_t *exchange);
static void log_too_large(const exchange_t *exchange, uint64_t bytes,
                          const char *limit);
static void log_refusal(const exchange_t *exchange,
                        const forward_response_head_t *head);
static void on_header_field(http_sink_t *sink, uint32_t status,
                            const char *name, size_t name_bytes,
                            const char *value, size_t value_bytes);
static void on_response_head(http_sink_t *sink, uint32_t status,
                             const char *content_type,
                             uint32_t retry_after_ms);
static void on_response_body(http_sink_t *sink, const char *bytes,
                             size_t length);
static void on_response_end(http_sink_t *sink, http_result_t result);
static void on_stream_event(void *context, const stream_event_t *event);
static exchange_t *find_exchange(upstreams_t *upstreams, uint64_t number);
static void release_exchange(exchange_t *exchange);

static const http_sink_ops_t sink_ops = {.head = on_response_head,
                                         .body = on_response_body,
                                         .done = on_response_end,
                                         .field = on_header_field};

upstreams_t *
upstreams_new(gateway_t *gateway)
{
    upstreams_t *upstreams = xcalloc(1, sizeof(*upstreams));

    upstreams->gateway = gateway;
    upstreams->held_max_bytes =
        intake_responses_max_bytes(gateway->settings->memory_mb);
    return upstreams;
}

void
upstreams_free(upstreams_t *upstreams)
{
    exchange_t *exchange;
    exchange_t *next;

    if (upstreams == NULL) {
        return;
    }
    HASH_ITER(hh, upstreams->exchanges, exchange, next)
    {
        release_exchange(exchange);
    }
    free(upstreams);
}

/*
 * Uses a new connection for each request: the remainder of an earlier response
 * cannot be taken for this one, and the HTTP client never sends a request
 * twice.
 */
void
upstream_send_request(upstreams_t *upstreams, uint64_t number,
                      const caller_request_t *request,
                      const send_action_t *action)
{
    gateway_t *gateway = upstreams->gateway;
    exchange_t *exchange = find_exchange(upstreams, number);
    headers_t headers = {0};
    http_request_t http = {0};

    if (exchange != NULL) {
        release_exchange(exchange);
    }
    exchange = xcalloc(1, sizeof(*exchange));
    exchange->sink.ops = &sink_ops;
    exchange->upstreams = upstreams;
    exchange->number = number;
    exchange->attempt = action->attempt;
    exchange->last_event_id = -1;
    exchange->sent_us = gateway_now_us();
    exchange->id = arena_strdup(&exchange->arena, request->id);
    if (action->host != NULL) {
        exchange->to_host = arena_strdup(&exchange->arena, action->host);
    }
    HASH_ADD(hh, upstreams->exchanges, number, sizeof(exchange->number),
             exchange);
    if (!write_headers(exchange, request, action, &headers)) {
        raise_send_end(exchange, SEND_NOT_SENT);
        return;
    }
    http.method = request->method;
    http.url = arena_printf(&exchange->arena, "http://%s/", action->address);
    http.target = request->path;
    http.headers =
        headers_format_lines(&exchange->arena, &headers, request->host);
    http.body = request->body_bytes > 0 ? request->body : NULL;
    http.body_bytes = request->body_bytes;
    http.connect_timeout_ms = action->connect_ms;
    http.response_max_bytes = RESPONSE_MAX_BYTES;
    http.fresh_connection = true;
    http.no_default_headers = true;
    exchange->call = http_start(gateway->client, &http, &exchange->sink);
}

void
upstream_cancel(upstreams_t *upstreams, uint64_t number, uint32_t attempt)
{
    exchange_t *exchange = find_exchange(upstreams, number);

    if (exchange != NULL && exchange->attempt == attempt &&
        exchange->call != NULL) {
        release_exchange(exchange);
    }
}

void
upstream_start_passthrough(upstreams_t *upstreams, uint64_t number,
                           uint32_t attempt)
{
    exchange_t *exchange = find_exchange(upstreams, number);

    if (exchange != NULL && exchange->attempt == attempt) {
        exchange->relaying = true;
        if (exchange->body.length > 0 || exchange->ended) {
            catch_up(exchange);
        }
    }
}

/* Passes on what came while the response was withheld, in one step. */
static void
catch_up(exchange_t *exchange)
{
    text_t body = exchange->body;

    exchange->body = (text_t){0};
    exchange->catching_up = true;
    event_stream_feed(&exchange->events, body.bytes, body.length,
                      on_stream_event, exchange);
    exchange->catching_up = false;
    text_free(&body);
    update_held(exchange);
    if (exchange->last_event_id >= 0) {
        raise_progress(exchange, exchange->last_event_id);
    }
    if (exchange->malformed || exchange->events.event_too_long) {
        fail_exchange(exchange);
    }
    else if (exchange->ended) {
        raise_send_end(exchange, end_result(exchange, exchange->result));
    }
}

bool
upstream_get_response(upstreams_t *upstreams, uint64_t number,
                      uint32_t attempt, runner_response_t *response)
{
    const exchange_t *exchange = find_exchange(upstreams, number);

    if (exchange == NULL || exchange->attempt != attempt) {
        return false;
    }
    *response = (runner_response_t){
        .status = exchange->status,
        .headers = &exchange->headers,
        .body = exchange->body.bytes,
        .body_bytes = exchange->body.length,
    };
    return true;
}

void
upstream_release(upstreams_t *upstreams, uint64_t number)
{
    exchange_t *exchange = find_exchange(upstreams, number);

    if (exchange != NULL) {
        release_exchange(exchange);
    }
}

/*
 * Returns false if the request cannot be marked as relayed: it is not sent,
 * since the other host might relay it again.
 */
static bool
write_headers(exchange_t *exchange, const caller_request_t *request,
              const send_action_t *action, headers_t *headers)
{
    gateway_t *gateway = exchange->upstreams->gateway;
    const dialect_ops_t *dialect = gateway->dialect->ops;

    if (action->host == NULL) {
        dialect->write_runner_headers(&exchange->arena, &request->headers,
                                      action, headers);
        return true;
    }
    dialect->write_relay_headers(&exchange->arena, &request->headers, action,
                                 headers);
    if (!host_relay_write_mark(gateway, &exchange->arena, request,
                               &action->grant, headers)) {
        log_event(LOG_NOTICE, "relay-unmarked", "request=%s host=%s",
                  request->id, action->host);
        return false;
    }
    return true;
}

static void
on_header_field(http_sink_t *sink, uint32_t status, const char *name,
                size_t name_bytes, const char *value, size_t value_bytes)
{
    exchange_t *exchange = (exchange_t *)sink;

    if (status < STATUS_FINAL_MIN || header_is_hop_by_hop(name, name_bytes)) {
        return;
    }
    headers_add(
        &exchange->headers, &exchange->arena,
        (header_t){
            .name = arena_strndup(&exchange->arena, name, name_bytes),
            .name_bytes = name_bytes,
            .value = arena_strndup(&exchange->arena, value, value_bytes),
            .value_bytes = value_bytes,
        });
}

static void
on_response_head(http_sink_t *sink, uint32_t status, const char *content_type,
                 uint32_t retry_after_ms)
{
    exchange_t *exchange = (exchange_t *)sink;
    gateway_t *gateway = exchange->upstreams->gateway;
    forward_event_t event = {.kind = FORWARD_RESPONSE_HEAD};
    response_properties_t terms;
    bool names_other;

    exchange->status = status;
    gateway->dialect->ops->parse_response_headers(&exchange->arena,
                                                  &exchange->headers, &terms);
    names_other = terms.id != NULL && strcmp(terms.id, exchange->id) != 0;
    event.u.head = (forward_response_head_t){
        .number = exchange->number,
        .attempt = exchange->attempt,
        .status = status,
        .authentic =
            terms.signed_by_runner && terms.id != NULL && !names_other,
        .not_run = terms.not_run && !names_other,
        .leaving = terms.leaving,
        .event_stream = strncasecmp(content_type, event_stream_type,
                                    strlen(event_stream_type)) == 0,
        .connected_min_us =
            exchange->sent_us + http_connect_time_us(exchange->call),
        .connected_max_us =
            gateway_now_us() - http_connection_age_us(exchange->call),
    };
    if (exchange->to_host != NULL) {
        host_relay_read_usage(&exchange->arena, &exchange->headers,
                              &event.u.head.usage);
    }
    if (exchange->to_host != NULL && !terms.signed_by_runner &&
        status >= STATUS_ERROR_MIN) {
        event.u.head.retry_after_ms = terms.retry_after_ms;
        host_relay_read_refusal(&exchange->arena, &exchange->headers,
                                &event.u.head);
        log_refusal(exchange, &event.u.head);
    }
    host_relay_remove_headers(&exchange->headers, exchange->to_host != NULL);
    exchange->in_callback = true;
    forwarding_handle_event(gateway, &event);
    exchange->in_callback = false;
    if (exchange->released) {
        release_exchange(exchange);
    }
}

static void
on_response_body(http_sink_t *sink, const char *bytes, size_t length)
{
    exchange_t *exchange = (exchange_t *)sink;

    exchange->in_callback = true;
    if (exchange->relaying) {
        event_stream_feed(&exchange->events, bytes, length, on_stream_event,
                          exchange);
        if ((exchange->malformed || exchange->events.event_too_long) &&
            !exchange->released) {
            fail_exchange(exchange);
        }
    }
    else {
        text_append(&exchange->body, bytes, length);
    }
    if (!exchange->released) {
        update_held(exchange);
        limit_held(exchange->upstreams);
    }
    exchange->in_callback = false;
    if (exchange->released) {
        release_exchange(exchange);
    }
}

static void
on_stream_event(void *context, const stream_event_t *event)
{
    exchange_t *exchange = context;
    gateway_t *gateway = exchange->upstreams->gateway;

    if (exchange->released || exchange->malformed || exchange->failed) {
        return;
    }
    if (!event->valid) {
        exchange->malformed = true;
        return;
    }
    if (event->has_id && event->id > exchange->last_event_id) {
        exchange->last_event_id = event->id;
        if (exchange->call != NULL) {
            http_renew_limit(exchange->call);
        }
    }
    (void)front_send_event(gateway->front, exchange->number, event);
    if (!exchange->catching_up) {
        raise_progress(exchange, event->has_id ? event->id : -1);
    }
}

static void
raise_progress(const exchange_t *exchange, int64_t event_id)
{
    forward_event_t progress = {
        .kind = FORWARD_STREAM_PROGRESS,
        .u.progress = {.number = exchange->number,
                       .attempt = exchange->attempt,
                       .last_event_id = event_id},
    };

    forwarding_handle_event(exchange->upstreams->gateway, &progress);
}

static void
on_response_end(http_sink_t *sink, http_result_t result)
{
    static const send_result_t results[] = {
        [HTTP_DONE] = SEND_COMPLETE,          [HTTP_NOT_SENT] = SEND_NOT_SENT,
        [HTTP_CONNECTION_LOST] = SEND_BROKEN, [HTTP_TIMEOUT] = SEND_BROKEN,
        [HTTP_TOO_LARGE] = SEND_INVALID,      [HTTP_INVALID] = SEND_INVALID,
    };
    exchange_t *exchange = (exchange_t *)sink;

    if (result == HTTP_TOO_LARGE) {
        log_too_large(exchange, http_received_bytes(exchange->call),
                      "response");
    }
    exchange->call = NULL;
    exchange->ended = true;
    exchange->result = results[result];
    raise_send_end(exchange, end_result(exchange, results[result]));
}

/* A stream that ends inside an event is not complete. */
static send_result_t
end_result(const exchange_t *exchange, send_result_t result)
{
    return result == SEND_COMPLETE && exchange->relaying &&
                   event_stream_has_partial(&exchange->events)
               ? SEND_BROKEN
               : result;
}

static void
update_held(exchange_t *exchange)
{
    upstreams_t *upstreams = exchange->upstreams;

    upstreams->held_bytes -= exchange->held_bytes;
    exchange->held_bytes =
        exchange->body.capacity + exchange->events.buffer.capacity;
    upstreams->held_bytes += exchange->held_bytes;
}

/* Ends the largest responses until the others fit. */
static void
limit_held(upstreams_t *upstreams)
{
    while (upstreams->held_bytes > upstreams->held_max_bytes) {
        exchange_t *largest = NULL;
        exchange_t *exchange;

        for (exchange = upstreams->exchanges; exchange != NULL;
             exchange = exchange->hh.next) {
            if (exchange->call != NULL &&
                (largest == NULL ||
                 exchange->held_bytes > largest->held_bytes)) {
                largest = exchange;
            }
        }
        if (largest == NULL) {
            return;
        }
        log_too_large(largest, largest->held_bytes, "all-responses");
        text_free(&largest->body);
        event_stream_free(&largest->events);
        update_held(largest);
        fail_exchange(largest);
    }
}

/* Closes the connection, and reports that the response is of no use. */
static void
fail_exchange(exchange_t *exchange)
{
    if (exchange->failed) {
        return;
    }
    exchange->failed = true;
    if (exchange->call != NULL) {
        http_cancel(exchange->call);
        exchange->call = NULL;
    }
    raise_send_end(exchange, SEND_INVALID);
}

static void
log_too_large(const exchange_t *exchange, uint64_t bytes, const char *limit)
{
    log_event(LOG_WARNING, "response-too-large",
              "request=%s attempt=%" PRIu32 " status=%" PRIu32
              " last_event=%" PRId64 " bytes=%" PRIu64 " limit=%s",
              exchange->id, exchange->attempt, exchange->status,
              exchange->last_event_id, bytes, limit);
    meters_count_response_too_large(exchange->upstreams->gateway->meters,
                                    limit);
}

static void
raise_send_end(const exchange_t *exchange, send_result_t result)
{
    forward_event_t event = {.kind = FORWARD_SEND_END,
                             .u.end = {.number = exchange->number,
                                       .attempt = exchange->attempt,
                                       .result = result}};

    forwarding_handle_event(exchange->upstreams->gateway, &event);
}

static void
log_refusal(const exchange_t *exchange, const forward_response_head_t *head)
{
    log_event(LOG_INFO, "relay-refused",
              "request=%s attempt=%" PRIu32 " host=%s status=%" PRIu32
              " reason=%s run=%s retry_after_ms=%" PRIu32,
              exchange->id, head->attempt, exchange->to_host, head->status,
              refuse_reason_name(head->refusal),
              head->not_run ? "not-run" : "unknown", head->retry_after_ms);
}

static exchange_t *
find_exchange(upstreams_t *upstreams, uint64_t number)
{
    exchange_t *exchange;

    HASH_FIND(hh, upstreams->exchanges, &number, sizeof(number), exchange);
    return exchange;
}

/*
 * Cancels the call and removes the exchange from the table.  Frees the memory
 * once no callback uses it.
 */
static void
release_exchange(exchange_t *exchange)
{
    if (!exchange->released) {
        /* NOLINTNEXTLINE(clang-analyzer-*) */
        HASH_DEL(exchange->upstreams->exchanges, exchange);
        exchange->released = true;
        exchange->upstreams->held_bytes -= exchange->held_bytes;
        exchange->held_bytes = 0;
        if (exchange->call != NULL) {
            http_cancel(exchange->call);
            exchange->call = NULL;
        }
    }
    if (exchange->in_callback) {
        return;
    }
    event_stream_free(&exchange->events);
    text_free(&exchange->body);
    arena_free(&exchange->arena);
    free(exchange);
}
