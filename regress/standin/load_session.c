/* load_session.c - one caller: its connections until the answer is whole. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "regress/standin/load.h"

enum {
    CONNECT_TIMEOUT_MS = 1000,
    RETRY_MS = 50,
    WHOLE_FACTOR = 5,
    HEADER_BYTES = 256,
    URL_BYTES = 256,
    HEADERS_MAX = 6,
};

static void connect_next(session_t *session);
static void give_up(session_t *session, history_kind_t kind);
static void close_timer(session_t *session);
static void on_timer(uv_timer_t *timer);
static void on_timer_closed(uv_handle_t *handle);
static void on_head(http_sink_t *sink, uint32_t status,
                    const char *content_type, uint32_t retry_after_ms);
static void on_body(http_sink_t *sink, const char *bytes, size_t length);
static void on_done(http_sink_t *sink, http_result_t result);
static void take_lines(session_t *session);
static bool drop_now(session_t *session);
static uint64_t silence_limit_ms(const session_t *session);
static uint64_t now_us(void);

static const http_sink_ops_t ops = {
    .head = on_head, .body = on_body, .done = on_done};

/* A whole answer comes at once, after a longer silence. */
static uint64_t
silence_limit_ms(const session_t *session)
{
    uint32_t factor = session->plan->streamed ? 1 : WHOLE_FACTOR;

    return (uint64_t)session->options->silence_ms * factor;
}

static uint64_t
now_us(void)
{
    return uv_hrtime() / 1000;
}

void
session_start(session_t *session, uv_loop_t *loop)
{
    session->sink.ops = &ops;
    session->begun_us = now_us();
    uv_timer_init(loop, &session->timer);
    session->timer.data = session;
    connect_next(session);
}

static void
connect_next(session_t *session)
{
    static const char *const paths[] = {[LOAD_COMPLETIONS] = "/v1/completions",
                                        [LOAD_CHAT] = "/v1/chat/completions",
                                        [LOAD_PLAIN] = "/services"};
    const load_options_t *options = session->options;
    const load_plan_t *plan = session->plan;
    char key[HEADER_BYTES], name[HEADER_BYTES], kind[HEADER_BYTES];
    char *last = NULL, url[URL_BYTES];
    const char *headers[HEADERS_MAX] = {key, name, kind,
                                        "Content-Type: application/json"};
    http_request_t request = {.method = "POST",
                              .url = url,
                              .headers = headers,
                              .body = plan->body,
                              .body_bytes = strlen(plan->body),
                              .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                              .fresh_connection = true};
    int length;

    snprintf(key, sizeof(key), "Authorization: Bearer %s", options->key);
    snprintf(name, sizeof(name), "Idempotency-Key: %s", plan->name);
    snprintf(kind, sizeof(kind), "X-Request-Kind: %s",
             plan->idempotent ? options->kind : options->once_kind);
    if (session->held > 0 && session->last_id != NULL &&
        asprintf(&last, "Last-Event-ID: %s", session->last_id) > 0) {
        headers[4] = last;
    }
    length =
        snprintf(url, sizeof(url), "http://%s%s",
                 options->routers[session->router++ % options->router_count],
                 paths[plan->endpoint]);
    if (plan->endpoint == LOAD_PLAIN) {
        snprintf(url + length, sizeof(url) - (size_t)length, "/%s/plain/%s",
                 options->service, plan->tag);
    }
    session->input_bytes = 0;
    session->status = 0;
    session->event_stream = false;
    session->error_event = false;
    session->last_us = now_us();
    session->call = http_start(session->client, &request, &session->sink);
    free(last);
    uv_timer_start(&session->timer, on_timer, silence_limit_ms(session), 0);
}

static void
on_timer_closed(uv_handle_t *handle)
{
    session_t *session = handle->data;

    session->finished(session);
}

static void
close_timer(session_t *session)
{
    uv_close((uv_handle_t *)&session->timer, on_timer_closed);
}

/* The connection is over and the answer is not whole. */
static void
give_up(session_t *session, history_kind_t kind)
{
    const load_options_t *options = session->options;

    session_record(session, (history_event_t){.kind = kind});
    if (now_us() - session->begun_us > options->patience_ms * 1000u) {
        close_timer(session);
        return;
    }
    uv_timer_start(&session->timer, on_timer, RETRY_MS, 0);
}

/* Either the pause before the next connection, or silence on this one. */
static void
on_timer(uv_timer_t *timer)
{
    session_t *session = timer->data;
    uint64_t silent_ms = (now_us() - session->last_us) / 1000;

    if (session->call == NULL) {
        connect_next(session);
        return;
    }
    if (silent_ms < silence_limit_ms(session)) {
        uv_timer_start(timer, on_timer, silence_limit_ms(session) - silent_ms,
                       0);
        return;
    }
    http_cancel(session->call);
    session->call = NULL;
    give_up(session, HISTORY_LOST);
}

static void
on_head(http_sink_t *sink, uint32_t status, const char *content_type,
        uint32_t retry_after_ms)
{
    session_t *session = (session_t *)sink;

    session->status = status;
    session->last_us = now_us();
    session->event_stream =
        status == 200 && content_type != NULL &&
        strncmp(content_type, "text/event-stream", 17) == 0;
}

static void
on_body(http_sink_t *sink, const char *bytes, size_t length)
{
    session_t *session = (session_t *)sink;

    session->last_us = now_us();
    session->input =
        realloc(session->input, session->input_bytes + length + 1);
    memcpy(session->input + session->input_bytes, bytes, length);
    session->input_bytes += length;
    if (session->event_stream) {
        take_lines(session);
    }
}

static void
take_lines(session_t *session)
{
    char *line = session->input, *end;
    size_t left = session->input_bytes;

    while ((end = memchr(line, '\n', left)) != NULL) {
        *end = '\0';
        if (end > line && end[-1] == '\r') {
            end[-1] = '\0';
        }
        answer_line(session, line);
        left -= (size_t)(end + 1 - line);
        line = end + 1;
    }
    memmove(session->input, line, left);
    session->input_bytes = left;
    if (drop_now(session)) {
        session->dropped = true;
        http_cancel(session->call);
        session->call = NULL;
        give_up(session, HISTORY_LOST);
    }
}

static bool
drop_now(session_t *session)
{
    uint32_t after = session->plan->drop_after;

    return after > 0 && !session->dropped && !session->ended &&
           session->held >= after;
}

static void
on_done(http_sink_t *sink, http_result_t result)
{
    session_t *session = (session_t *)sink;

    session->call = NULL;
    uv_timer_stop(&session->timer);
    if (result == HTTP_DONE && !session->event_stream) {
        answer_body(session);
    }
    if (session->ended) {
        close_timer(session);
        return;
    }
    if (result == HTTP_DONE && session->status != 200) {
        /* The refusal is in the history; another host may do better. */
        if (now_us() - session->begun_us >
            session->options->patience_ms * 1000u) {
            close_timer(session);
            return;
        }
        uv_timer_start(&session->timer, on_timer, RETRY_MS, 0);
        return;
    }
    give_up(session, result == HTTP_NOT_SENT ? HISTORY_UNSENT : HISTORY_LOST);
}

void
session_expect(session_t *session)
{
    uint32_t first_id = 0;

    if (session->expected.finish != NULL) {
        return;
    }
    if (session->options->vary && session->id_count > 0 &&
        session->ids[0] >= GENERATE_WORD &&
        session->ids[0] < GENERATE_WORD + GENERATE_WORD_COUNT) {
        first_id = session->ids[0];
    }
    session->expected = plan_expect(session->plan, first_id);
}

history_request_t
session_history(const session_t *session)
{
    const load_plan_t *plan = session->plan;

    return (history_request_t){
        .events = session->events,
        .event_count = session->event_count,
        .ids = session->ids,
        .expected_ids = session->expected.ids,
        .expected_count = session->expected.count,
        .idempotent = plan->idempotent,
        .begun_us = session->begun_us,
        .shared = plan->repeated,
        .may_fail = plan->kills_engines,
    };
}

void
session_free(session_t *session)
{
    free(session->input);
    free(session->event_id);
    free(session->last_id);
    free(session->text);
    free(session->events);
    free(session->ids);
    free(session->expected.ids);
    free(session->expected.text);
}
