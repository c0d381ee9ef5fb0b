/* load.c - reads the load of a backend server with GET /metrics. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "backend/url.h"
#include "backend/load.h"
#include "base/arena.h"
#include "http/buffer.h"

enum {
    LOAD_CONNECT_TIMEOUT_MS = 500,
    LOAD_TIMEOUT_MS = 2000,
    LOAD_BYTES_MAX = 4 << 20,
    LOAD_NUMBER_BYTES = 64,
    HTTP_STATUS_OK = 200,
};

/* One unfinished poll. */
struct load_poll {
    http_sink_t sink;
    UT_hash_handle hh;
    load_poll_t **polls;
    http_call_t *call;
    backend_listener_t *listener;
    char *runner;
    uint32_t status;
    buffer_t text;
    bool too_long;
};

static bool add_sample(const char *line, size_t length, const char *name,
                       double *sum);
static const char *skip_labels(const char *cursor, const char *end);
static uint32_t count_from_sum(double sum);
static void poll_free(load_poll_t *poll);
static void on_head(http_sink_t *sink, uint32_t status,
                    const char *content_type, uint32_t retry_after_ms);
static void on_body(http_sink_t *sink, const char *bytes, size_t length);
static void on_done(http_sink_t *sink, http_result_t result);

static const http_sink_ops_t load_sink_ops = {
    .head = on_head, .body = on_body, .done = on_done};

bool
load_parse(const char *text, size_t length, uint32_t *running,
           uint32_t *waiting)
{
    const char *end = text + length;
    double running_sum = 0;
    double waiting_sum = 0;
    bool has_running = false;
    bool has_waiting = false;

    while (text < end) {
        const char *newline = memchr(text, '\n', (size_t)(end - text));
        size_t line = (size_t)((newline != NULL ? newline : end) - text);

        has_running |=
            add_sample(text, line, "vllm:num_requests_running", &running_sum);
        has_waiting |=
            add_sample(text, line, "vllm:num_requests_waiting", &waiting_sum);
        if (newline == NULL) {
            break;
        }
        text = newline + 1;
    }
    *running = count_from_sum(running_sum);
    *waiting = count_from_sum(waiting_sum);
    return has_running && has_waiting;
}

void
load_poll(load_poll_t **polls, http_client_t *client,
          backend_listener_t *listener, const char *runner,
          const char *address)
{
    load_poll_t *poll;
    http_request_t request = {
        .method = "GET",
        .connect_timeout_ms = LOAD_CONNECT_TIMEOUT_MS,
        .timeout_ms = LOAD_TIMEOUT_MS,
    };
    char *url;

    HASH_FIND_STR(*polls, runner, poll);
    if (poll != NULL) {
        return;
    }
    poll = xcalloc(1, sizeof(*poll));
    poll->sink.ops = &load_sink_ops;
    poll->listener = listener;
    poll->runner = xstrdup(runner);
    poll->polls = polls;
    HASH_ADD_KEYPTR(hh, *polls, poll->runner, strlen(poll->runner), poll);
    url = url_make(address, "/metrics");
    request.url = url;
    poll->call = http_start(client, &request, &poll->sink);
    free(url);
}

void
load_polls_free(load_poll_t **polls)
{
    load_poll_t *poll;
    load_poll_t *next;

    HASH_ITER(hh, *polls, poll, next)
    {
        http_cancel(poll->call);
        poll_free(poll);
    }
}

static bool
add_sample(const char *line, size_t length, const char *name, double *sum)
{
    const char *end = line + length;
    size_t name_length = strlen(name);
    char number[LOAD_NUMBER_BYTES];
    size_t number_length;
    const char *cursor = line + name_length;
    char *parsed_end;
    double value;

    if (length <= name_length || memcmp(line, name, name_length) != 0 ||
        (*cursor != '{' && *cursor != ' ')) {
        return false;
    }
    cursor = skip_labels(cursor, end);
    while (cursor < end && *cursor == ' ') {
        cursor++;
    }
    number_length = (size_t)(end - cursor);
    if (number_length == 0 || number_length >= sizeof(number)) {
        return false;
    }
    memcpy(number, cursor, number_length);
    number[number_length] = '\0';
    value = strtod(number, &parsed_end);
    if (parsed_end == number || !isfinite(value) || value < 0) {
        return false;
    }
    *sum += value;
    return true;
}

/* A label value is quoted and may contain any byte, including } and \". */
static const char *
skip_labels(const char *cursor, const char *end)
{
    bool quoted = false;

    if (*cursor != '{') {
        return cursor;
    }
    for (; cursor < end; cursor++) {
        if (quoted && *cursor == '\\') {
            cursor++;
        }
        else if (*cursor == '"') {
            quoted = !quoted;
        }
        else if (!quoted && *cursor == '}') {
            return cursor + 1;
        }
    }
    return end;
}

static uint32_t
count_from_sum(double sum)
{
    return sum < UINT32_MAX ? (uint32_t)sum : UINT32_MAX;
}

static void
on_head(http_sink_t *sink, uint32_t status, const char *content_type,
        uint32_t retry_after_ms)
{
    ((load_poll_t *)sink)->status = status;
}

static void
on_body(http_sink_t *sink, const char *bytes, size_t length)
{
    load_poll_t *poll = (load_poll_t *)sink;

    poll->too_long |=
        buffer_append(&poll->text, bytes, length, LOAD_BYTES_MAX) < 0;
}

static void
on_done(http_sink_t *sink, http_result_t result)
{
    load_poll_t *poll = (load_poll_t *)sink;
    uint32_t running = 0;
    uint32_t waiting = 0;
    bool reached =
        result == HTTP_DONE && poll->status == HTTP_STATUS_OK &&
        !poll->too_long && poll->text.length > 0 &&
        load_parse(poll->text.bytes, poll->text.length, &running, &waiting);

    poll->listener->ops->load(poll->listener, poll->runner, reached, running,
                              waiting);
    poll_free(poll);
}

static void
poll_free(load_poll_t *poll)
{
    HASH_DEL(*poll->polls, poll);
    free(poll->runner);
    buffer_free(&poll->text);
    free(poll);
}
