/*
 * caller.c - callers, and what they check of their answers.
 *
 * Each request has a connection, new or kept from the one before; a stream
 * that is cut off goes on with another attempt, elsewhere, at its last event.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "regress/soak/caller.h"

enum {
    PLAIN_DEADLINE_MS = 2000,
    STREAM_DEADLINE_MS = 12000,
    DEADLINE_SLACK_MS = 400,
    CONNECT_MS = 1000,
    ATTEMPTS = 4,
    AGAIN_MS = 150,
    HARMFUL_PERCENT = 5, /* of the streams */
    LEAVE_PERCENT = 6,
    KEEP_PERCENT = 50,
    SECOND_KEY_PERCENT = 20,
    RECOVERED = 60,
    MS_PER_S = 1000,
};

/* What an attempt has come to. */
typedef enum {
    VERDICT_SERVED,
    VERDICT_REFUSED, /* and has not run */
    VERDICT_FAILED,
    VERDICT_CUT,
    VERDICT_LATE,
    VERDICT_NONE,
} verdict_t;

static LIST_HEAD(, caller) callers = LIST_HEAD_INITIALIZER(callers);
static const char *const kind_names[KINDS] = {"unsafe", "safe", "stream"};

static struct {
    uv_timer_t timer;
    uint64_t made;
    uint64_t count;
    uint64_t busy;
    uint64_t served[KINDS];
    uint64_t refused;
    uint64_t failed; /* 502, 504, a runner's failure */
    uint64_t cut;
    uint64_t late; /* nothing until the deadline */
    uint64_t left;
    uint64_t denied; /* the second key's */
    uint64_t in_a_row;
    bool calm;
} state;

static void on_tick(uv_timer_t *timer);
static void begin(caller_t *caller);
static void on_connected(uv_connect_t *connect, int status);
static void send_request(caller_t *caller);
static void on_room(uv_handle_t *handle, size_t size, uv_buf_t *buf);
static void on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buf);
static void on_written(uv_write_t *write, int status);
static void on_deadline(uv_timer_t *timer);
static void on_again(uv_timer_t *timer);
static void ended(caller_t *caller);
static void judge(caller_t *caller, verdict_t verdict, int status);
static void attempt_failed(caller_t *caller, bool may_retry);
static void finish(caller_t *caller, bool served);
static void close_connection(caller_t *caller);

void
callers_start(uint32_t a_second)
{
    (void)uv_timer_init(soak_loop(), &state.timer);
    (void)uv_timer_start(&state.timer, on_tick, MS_PER_S / a_second,
                         MS_PER_S / a_second);
}

void
callers_calm(void)
{
    state.calm = true;
    state.in_a_row = 0;
}

void
callers_stop(void)
{
    (void)uv_timer_stop(&state.timer);
}

size_t
callers_busy(void)
{
    return state.busy;
}

void
callers_note(void)
{
    const caller_t *caller;

    for (caller = LIST_FIRST(&callers); caller != NULL;
         caller = LIST_NEXT(caller, entry)) {
        soak_note("waits: %s %s, attempt %" PRIu32 " of its caller, event "
                  "%" PRId64 ", at h%zu for %" PRIu64 " ms",
                  caller->attempt, caller->path, caller->attempts,
                  caller->event, caller->host,
                  soak_now_ms() - caller->sent_ms);
    }
}

bool
callers_recovered(void)
{
    return state.in_a_row >= RECOVERED;
}

void
callers_report(void)
{
    printf("requests %" PRIu64 ": served %" PRIu64 " unsafe %" PRIu64
           " safe %" PRIu64 " streams, refused %" PRIu64 ", failed %" PRIu64
           ", cut %" PRIu64 ", late %" PRIu64 ", left %" PRIu64
           ", denied %" PRIu64 "\n",
           state.count, state.served[KIND_UNSAFE], state.served[KIND_SAFE],
           state.served[KIND_STREAM], state.refused, state.failed, state.cut,
           state.late, state.left, state.denied);
    silence_report();
    partition_report();
    versions_report();
    tainted_judge();
}

static void
on_tick(uv_timer_t *timer)
{
    caller_t *caller = calloc(1, sizeof(*caller));
    uint64_t dice = soak_chance(100);

    caller->kind = dice < 35   ? KIND_UNSAFE
                   : dice < 60 ? KIND_SAFE
                               : KIND_STREAM;
    caller->key = soak_chance(100) < SECOND_KEY_PERCENT ? 2 : 1;
    caller->event = -1;
    caller->calm = state.calm;
    caller->leaves = !state.calm && caller->kind == KIND_STREAM &&
                     soak_chance(100) < LEAVE_PERCENT;
    caller->asked_ms = soak_now_ms();
    state.count++;
    (void)snprintf(caller->path, sizeof(caller->path), "/%s/p%" PRIu64,
                   kind_names[caller->kind], state.count);
    if (soak_plays(SOAK_TAINTED)) {
        tainted_draw(caller, state.count);
    }
    else if (caller->kind == KIND_STREAM && !state.calm &&
             soak_chance(100) < HARMFUL_PERCENT) {
        caller->key = 1;
        (void)snprintf(caller->path, sizeof(caller->path), "%s",
                       SOAK_HARMFUL_PATH);
    }
    (void)uv_timer_init(soak_loop(), &caller->timer);
    caller->timer.data = caller;
    caller->handles = 1;
    state.busy++;
    LIST_INSERT_HEAD(&callers, caller, entry);
    begin(caller);
}

/* Another attempt, on a new connection. */
static void
begin(caller_t *caller)
{
    struct sockaddr_in address;
    size_t tries;

    caller->host = soak_chance(hosts_count());
    for (tries = 0; tries < hosts_count() && !host_is_up(caller->host);
         tries++) {
        caller->host = (caller->host + 1) % hosts_count();
    }
    caller->attempts++;
    caller->came.length = 0;
    caller->checked = 0;
    caller->connected = false;
    caller->open = true;
    caller->handles++;
    (void)uv_tcp_init(soak_loop(), &caller->tcp);
    caller->tcp.data = caller;
    caller->connect.data = caller;
    (void)uv_ip4_addr("127.0.0.1", host_address(caller->host), &address);
    (void)uv_timer_start(&caller->timer, on_deadline, CONNECT_MS, 0);
    if (uv_tcp_connect(&caller->connect, &caller->tcp,
                       (struct sockaddr *)&address, on_connected) != 0) {
        attempt_failed(caller, true);
    }
}

static void
on_connected(uv_connect_t *connect, int status)
{
    caller_t *caller = connect->data;

    if (status == UV_ECANCELED) {
        return;
    }
    if (status != 0) {
        attempt_failed(caller, true);
        return;
    }
    caller->connected = true;
    (void)uv_read_start((uv_stream_t *)&caller->tcp, on_room, on_read);
    send_request(caller);
}

static void
send_body(caller_t *caller)
{
    static char body[SOAK_UPLOAD_BYTES];
    size_t length = soak_plays(SOAK_UPLOADS) ? sizeof(body) : 4;

    memset(body, 'x', length);
    text_printf(&caller->sent, "Content-Length: %zu\r\n\r\n", length);
    text_append(&caller->sent, body, length);
}

static void
send_request(caller_t *caller)
{
    bool stream = caller->kind == KIND_STREAM;
    uint32_t deadline_ms = stream ? STREAM_DEADLINE_MS : PLAIN_DEADLINE_MS;
    uv_buf_t buf;

    state.made++;
    (void)snprintf(caller->attempt, sizeof(caller->attempt), "q%" PRIu64,
                   state.made);
    caller->sent.length = 0;
    text_printf(&caller->sent,
                "%s %s HTTP/1.1\r\nHost: soak.example\r\n"
                "Attempt-Id: %s\r\nAuthorization: Bearer k%u\r\n"
                "Deadline-Ms: %u\r\nX-Host: %zu\r\nTenant: o9\r\n",
                caller->kind == KIND_SAFE ? "GET" : "POST", caller->path,
                caller->attempt, caller->key, deadline_ms, caller->host);
    if (stream) {
        text_printf(&caller->sent,
                    "Model: m\r\nToken-Usage: 800,90\r\n"
                    "Prefix-Hash: aa:100,%s%s:700\r\n",
                    tainted_parts(caller->path),
                    caller->path + strlen("/stream/p"));
    }
    if (caller->event >= 0) {
        caller->taken_up = true;
        versions_taken_up();
        text_printf(&caller->sent,
                    "Last-Event-Id: %" PRId64 "\r\nResumes: %s\r\n",
                    caller->event, caller->began);
    }
    if (caller->kind == KIND_UNSAFE) {
        send_body(caller);
    }
    else {
        text_puts(&caller->sent, "\r\n");
    }
    caller->sent_ms = soak_now_ms();
    caller->deadline_ms = caller->sent_ms + deadline_ms;
    ledger_sent(caller->attempt, caller->deadline_ms);
    caller->partition =
        caller->attempts == 1 ? partition_try(caller->host) : NULL;
    buf = uv_buf_init(caller->sent.bytes, (unsigned)caller->sent.length);
    (void)uv_write(&caller->write, (uv_stream_t *)&caller->tcp, &buf, 1,
                   on_written);
    (void)uv_timer_start(&caller->timer, on_deadline,
                         caller->leaves ? 50 + soak_chance(700)
                                        : deadline_ms + DEADLINE_SLACK_MS,
                         0);
}

static void
on_written(uv_write_t *write, int status)
{
}

static void
on_room(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
    static char room[16384];

    *buf = uv_buf_init(room, sizeof(room));
}

/* A whole answer has come. */
static void
take_answer(caller_t *caller, const char *body, size_t body_bytes)
{
    int status = atoi(caller->came.bytes + strlen("HTTP/1.1 "));

    switch (status) {
    case 200:
        answer_check(caller, body, body_bytes);
        state.served[caller->kind]++;
        judge(caller, VERDICT_SERVED, status);
        finish(caller, true);
        return;
    case 401:
        if (!tenants_may_deny(caller->key, caller->sent_ms)) {
            soak_broken("denied", "%s got 401 with key %u", caller->attempt,
                        caller->key);
        }
        state.denied++;
        judge(caller, VERDICT_NONE, status);
        finish(caller, true);
        return;
    case 408:
    case 421:
    case 429:
    case 503:
        ledger_promised(caller->attempt);
        state.refused++;
        judge(caller, VERDICT_REFUSED, status);
        attempt_failed(caller, true);
        return;
    case 500:
    case 502:
    case 504:
        state.failed++;
        judge(caller, VERDICT_FAILED, status);
        attempt_failed(caller, caller->kind != KIND_UNSAFE);
        return;
    default:
        soak_broken("denied", "%s got %d", caller->attempt, status);
        judge(caller, VERDICT_NONE, status);
        finish(caller, false);
        return;
    }
}

static void
on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buf)
{
    caller_t *caller = stream->data;
    const char *value;
    const char *body;
    size_t body_bytes;
    size_t wanted;

    if (length < 0) {
        ended(caller);
        return;
    }
    text_append(&caller->came, buf->base, (size_t)length);
    text_append(&caller->came, "", 1);
    caller->came.length--;
    body = strstr(caller->came.bytes, "\r\n\r\n");
    if (body == NULL) {
        return;
    }
    body += 4;
    body_bytes = caller->came.length - (size_t)(body - caller->came.bytes);
    value = answer_header(caller, "Content-Length");
    if (value != NULL) {
        wanted = strtoul(value, NULL, 10);
        if (body_bytes > wanted) {
            soak_broken("one answer", "%s got more than one", caller->attempt);
        }
        if (body_bytes >= wanted) {
            take_answer(caller, body, wanted);
        }
        return;
    }
    answer_events(caller, body);
    if (body_bytes >= 5 && strcmp(body + body_bytes - 5, "0\r\n\r\n") == 0) {
        take_answer(caller, body, body_bytes);
    }
}

/* The connection ended before its answer was whole. */
static void
ended(caller_t *caller)
{
    uint64_t now_ms = soak_now_ms();

    if (caller->kind != KIND_STREAM && caller->came.length == 0 &&
        now_ms < caller->sent_ms + PLAIN_DEADLINE_MS &&
        host_is_calm(caller->host, caller->sent_ms)) {
        ledger_cut(caller->attempt);
    }
    state.cut++;
    judge(caller, VERDICT_CUT, 0);
    attempt_failed(caller, caller->kind != KIND_UNSAFE);
}

static void
on_deadline(uv_timer_t *timer)
{
    caller_t *caller = timer->data;

    if (caller->leaves && caller->connected) {
        ledger_left(caller->attempt, caller->host);
        state.left++;
        judge(caller, VERDICT_NONE, 0);
        finish(caller, false);
        return;
    }
    if (!caller->connected) {
        attempt_failed(caller, true);
        return;
    }
    state.late++;
    judge(caller, VERDICT_LATE, 0);
    ledger_left(caller->attempt, caller->host);
    finish(caller, false);
}

/* For the checks that go by how attempts end. */
static void
judge(caller_t *caller, verdict_t verdict, int status)
{
    bool harmful = strcmp(caller->path, SOAK_HARMFUL_PATH) == 0;
    attempt_end_t end = {
        .attempt = caller->attempt,
        .path = caller->path,
        .host = caller->host,
        .stream = caller->kind == KIND_STREAM,
        .status = status,
        .served = verdict == VERDICT_SERVED,
        .incomplete = verdict == VERDICT_FAILED || verdict == VERDICT_CUT,
        .no_verdict = verdict == VERDICT_NONE || harmful,
        .sent_ms = caller->sent_ms,
        .deadline_ms = caller->deadline_ms,
    };

    if (caller->partition != NULL) {
        partition_tried(caller->partition, &end);
        caller->partition = NULL;
    }
    if (!end.no_verdict) {
        tainted_ended(caller, &end);
        silence_ended(&end);
    }
}

/* Once more a little later, elsewhere, while there are attempts left. */
static void
attempt_failed(caller_t *caller, bool may_retry)
{
    close_connection(caller);
    if (!may_retry || caller->attempts >= ATTEMPTS) {
        finish(caller, false);
        return;
    }
    (void)uv_timer_start(&caller->timer, on_again, AGAIN_MS * caller->attempts,
                         0);
}

static void
on_again(uv_timer_t *timer)
{
    begin(timer->data);
}

static void
on_caller_closed(uv_handle_t *handle)
{
    caller_t *caller = handle->data;

    caller->handles--;
    if (caller->handles == 0) {
        text_free(&caller->sent);
        text_free(&caller->came);
        free(caller);
    }
}

static void
close_connection(caller_t *caller)
{
    if (caller->open) {
        caller->open = false;
        uv_close((uv_handle_t *)&caller->tcp, on_caller_closed);
    }
}

/* Another request on the same connection, or the end. */
static void
finish(caller_t *caller, bool served)
{
    if (caller->calm && !served) {
        state.in_a_row = 0;
    }
    state.in_a_row += caller->calm && served ? 1 : 0;
    if (served && caller->open && caller->kind != KIND_STREAM &&
        answer_header(caller, "Connection") == NULL &&
        soak_chance(100) < KEEP_PERCENT) {
        caller->came.length = 0;
        caller->checked = 0;
        caller->attempts = 1;
        caller->calm = state.calm;
        state.count++;
        (void)snprintf(caller->path, sizeof(caller->path), "/%s/p%" PRIu64,
                       kind_names[caller->kind], state.count);
        send_request(caller);
        return;
    }
    state.busy--;
    LIST_REMOVE(caller, entry);
    close_connection(caller);
    uv_close((uv_handle_t *)&caller->timer, on_caller_closed);
}
