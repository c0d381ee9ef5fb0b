/* test_http.c - the HTTP client with canned responses. */
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http.h"
#include "regress/fixture.h"
#include "regress/canned.h"
#include "regress/turn.h"
#include "regress/turn.h"

enum { TEXT_BYTES = 4096, FDS_MAX = 256 };

/* Action of a call in one of its callbacks. */
typedef enum {
    DO_NOTHING,
    CANCEL_IN_HEAD,
    CANCEL_IN_BODY,
    CANCEL_IN_DONE,
    CANCEL_OTHER_IN_HEAD,
    START_IN_BODY,
    START_IN_DONE,
} callback_action_t;

typedef struct call {
    http_sink_t sink;
    http_call_t *http;
    struct call *other;
    callback_action_t action;
    char text[TEXT_BYTES]; /* head() callbacks, in order */
    char body[TEXT_BYTES];
    bool done;
    bool timed_out;
    http_result_t result;
} call_t;

static fixture_t fixture;
static canned_t *server;
static char url[64];

static void start(call_t *call, const http_request_t *request);
static void start_plain(call_t *call);

static void
setup(const canned_reply_t *replies, size_t count)
{
    fixture_open(&fixture);
    server = canned_new(&fixture.loop, replies, count);
    (void)snprintf(url, sizeof(url), "http://127.0.0.1:%d/p",
                   canned_port(server));
}

static void
teardown(void)
{
    canned_free(server);
    fixture_close(&fixture);
}

static void
on_head(http_sink_t *sink, uint32_t status, const char *content_type,
        uint32_t retry_after_ms)
{
    call_t *call = (call_t *)sink;
    size_t used = strlen(call->text);

    (void)snprintf(call->text + used, sizeof(call->text) - used,
                   "head %u %s %u;", status, content_type, retry_after_ms);
    if (call->action == CANCEL_IN_HEAD) {
        http_cancel(call->http);
    }
    else if (call->action == CANCEL_OTHER_IN_HEAD) {
        http_cancel(call->other->http);
    }
}

static void
on_body(http_sink_t *sink, const char *bytes, size_t length)
{
    call_t *call = (call_t *)sink;

    (void)strncat(call->body, bytes, length);
    if (call->action == CANCEL_IN_BODY) {
        http_cancel(call->http);
    }
    else if (call->action == START_IN_BODY && call->other->http == NULL) {
        start_plain(call->other);
    }
}

static void
on_done(http_sink_t *sink, http_result_t result)
{
    call_t *call = (call_t *)sink;

    ck_assert(!call->done);
    call->done = true;
    call->result = result;
    call->timed_out = http_connect_timed_out(call->http);
    if (call->action == CANCEL_IN_DONE) {
        http_cancel(call->http);
    }
    else if (call->action == START_IN_DONE) {
        start_plain(call->other);
    }
}

static const http_sink_ops_t sink_ops = {
    .head = on_head, .body = on_body, .done = on_done};

static void
start(call_t *call, const http_request_t *request)
{
    call->sink.ops = &sink_ops;
    call->http = http_start(fixture.client, request, &call->sink);
}

static void
start_plain(call_t *call)
{
    http_request_t request = {.method = "GET", .url = url};

    start(call, &request);
}

/* Runs the loop for 200 ms, so that any late callback would have run. */
static void
wait_for_late_callbacks(void)
{
    call_t silent_call = {.sink = {&sink_ops}};
    http_request_t request = {
        .method = "GET",
        .url = url,
        .timeout_ms = 200, /* the server does not respond */
    };

    start(&silent_call, &request);
    fixture_wait(&fixture, &silent_call.done);
}

typedef struct {
    const char *name;
    canned_reply_t reply;
    uint32_t timeout_ms;
    http_result_t result;
    const char *text;
    const char *body;
} reply_case_t;

static const reply_case_t reply_cases[] = {
    {"length",
     {"HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 5\r\n\r\nhello",
      0, CANNED_KEEP},
     0,
     HTTP_DONE,
     "head 200 a/b 0;",
     "hello"},
    {"chunked",
     {"HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n"
      "Transfer-Encoding: chunked\r\n\r\n"
      "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
      0, CANNED_KEEP},
     0,
     HTTP_DONE,
     "head 200 a/b 0;",
     "hello"},
    {"body ended by close",
     {"HTTP/1.1 200 OK\r\n\r\nhello", 0, CANNED_CLOSE},
     0,
     HTTP_DONE,
     "head 200  0;",
     "hello"},
    {"interim response",
     {"HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
      0, CANNED_KEEP},
     0,
     HTTP_DONE,
     "head 200  0;",
     ""},
    {"503 with Retry-After",
     {"HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n", 0,
      CANNED_KEEP},
     0,
     HTTP_DONE,
     "head 503  2000;",
     ""},
    {"trailers",
     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "1\r\nx\r\n0\r\nLate: 1\r\n\r\n",
      0, CANNED_KEEP},
     0,
     HTTP_DONE,
     "head 200  0;",
     "x"},
    {"redirect is not followed",
     {"HTTP/1.1 302 Found\r\nLocation: /q\r\nContent-Length: 0\r\n\r\n", 0,
      CANNED_KEEP},
     0,
     HTTP_DONE,
     "head 302  0;",
     ""},
    {"two lengths",
     {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 3\r\n\r\n"
      "hello",
      0, CANNED_KEEP},
     0,
     HTTP_CONNECTION_LOST,
     "",
     ""},
    {"a length and chunks",
     {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
      "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
      0, CANNED_KEEP},
     0,
     HTTP_CONNECTION_LOST,
     "",
     ""},
    {"a length that is folded",
     {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n 0\r\n\r\nhello", 0,
      CANNED_KEEP},
     0,
     HTTP_CONNECTION_LOST,
     "",
     ""},
    {"a length of an interim response",
     {"HTTP/1.1 103 Early\r\nContent-Length: 9\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
      0, CANNED_KEEP},
     0,
     HTTP_DONE,
     "head 200  0;",
     "hello"},
    {"closed in head",
     {"HTTP/1.1 200 OK\r\nContent-", 0, CANNED_CLOSE},
     0,
     HTTP_CONNECTION_LOST,
     "",
     ""},
    {"closed in body",
     {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhel", 0, CANNED_CLOSE},
     0,
     HTTP_CONNECTION_LOST,
     "head 200  0;",
     "hel"},
    {"closed in chunk",
     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", 0,
      CANNED_CLOSE},
     0,
     HTTP_CONNECTION_LOST,
     "head 200  0;",
     "hel"},
    {"closed without response",
     {"", 0, CANNED_CLOSE},
     0,
     HTTP_CONNECTION_LOST,
     "",
     ""},
    {"reset without response",
     {"", 0, CANNED_RESET},
     0,
     HTTP_CONNECTION_LOST,
     "",
     ""},
    {"response is not HTTP",
     {"hello", 0, CANNED_CLOSE},
     0,
     HTTP_CONNECTION_LOST,
     "",
     ""},
    {"timeout before head", {"", 0, CANNED_KEEP}, 100, HTTP_TIMEOUT, "", ""},
    {"timeout in body",
     {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhel", 0, CANNED_KEEP},
     100,
     HTTP_TIMEOUT,
     "head 200  0;",
     "hel"},
};

/* Each response is sent whole and split into pieces of several sizes. */
START_TEST(response_in_any_split_has_expected_result)
{
    static const size_t splits[] = {0, 1, 2, 3, 7};
    const reply_case_t *c = &reply_cases[_i];
    size_t i;

    for (i = 0; i < sizeof(splits) / sizeof(splits[0]); i++) {
        canned_reply_t reply = c->reply;
        call_t call = {0};
        http_request_t request = {.method = "GET",
                                  .timeout_ms = c->timeout_ms};

        reply.split = splits[i];
        setup(&reply, 1);
        request.url = url;
        start(&call, &request);
        fixture_wait(&fixture, &call.done);
        ck_assert_msg(call.result == c->result, "%s: split %zu: result %d",
                      c->name, splits[i], call.result);
        ck_assert_str_eq(call.text, c->text);
        ck_assert_str_eq(call.body, c->body);
        ck_assert_uint_eq(canned_requests(server), 1);
        teardown();
    }
}
END_TEST

static const canned_reply_t hello = {
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", 0, CANNED_KEEP};

START_TEST(refused_connection_is_not_sent)
{
    call_t call = {0};

    setup(&hello, 1);
    canned_free(server);
    (void)uv_run(&fixture.loop, UV_RUN_NOWAIT);
    start_plain(&call);
    fixture_wait(&fixture, &call.done);
    ck_assert_int_eq(call.result, HTTP_NOT_SENT);
    ck_assert(!call.timed_out);
    server = canned_new(&fixture.loop, &hello, 1);
    teardown();
}
END_TEST

/* A listener with a full backlog does not complete the connection. */
START_TEST(connect_timeout_is_not_sent)
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    socklen_t length = sizeof(at);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    int queued = socket(AF_INET, SOCK_STREAM, 0);
    http_request_t request = {
        .method = "GET", .url = url, .connect_timeout_ms = 200};
    call_t call = {0};

    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ck_assert_int_eq(bind(listener, (struct sockaddr *)&at, length), 0);
    ck_assert_int_eq(listen(listener, 0), 0);
    ck_assert_int_eq(getsockname(listener, (struct sockaddr *)&at, &length),
                     0);
    ck_assert_int_eq(connect(queued, (struct sockaddr *)&at, length), 0);
    setup(&hello, 1);
    (void)snprintf(url, sizeof(url), "http://127.0.0.1:%d/",
                   ntohs(at.sin_port));
    start(&call, &request);
    fixture_wait(&fixture, &call.done);
    ck_assert_int_eq(call.result, HTTP_NOT_SENT);
    ck_assert(call.timed_out);
    teardown();
    (void)close(queued);
    (void)close(listener);
}
END_TEST

/* A process that was paused past the deadline must not send the request. */
START_TEST(request_is_not_sent_after_pause)
{
    http_request_t request = {
        .method = "GET", .url = url, .connect_timeout_ms = 100};
    call_t call = {0};

    setup(&hello, 1);
    start(&call, &request);
    (void)usleep(300 * 1000);
    fixture_wait(&fixture, &call.done);
    ck_assert_int_eq(call.result, HTTP_NOT_SENT);
    ck_assert(call.timed_out);
    ck_assert_uint_eq(canned_requests(server), 0);
    teardown();
}
END_TEST

/*
 * Loopback cannot show a host that stops acknowledging, so this checks the
 * socket options that limit it.
 */
START_TEST(sockets_detect_unreachable_peer)
{
    const canned_reply_t silent = {"", 0, CANNED_KEEP};
    call_t call = {0};
    int sockets_checked = 0;
    int fd;

    setup(&silent, 1);
    start_plain(&call);
    while (canned_requests(server) == 0) {
        loop_turn(&fixture.loop);
    }
    for (fd = 0; fd < FDS_MAX; fd++) {
        struct sockaddr_in peer = {0};
        socklen_t length = sizeof(peer);
        unsigned limit_ms = 0;
        int keeps_alive = 0;

        if (getpeername(fd, (struct sockaddr *)&peer, &length) < 0 ||
            ntohs(peer.sin_port) != canned_port(server)) {
            continue;
        }
        length = sizeof(limit_ms);
        ck_assert_int_eq(
            getsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms, &length),
            0);
        ck_assert_uint_eq(limit_ms, 6000);
        length = sizeof(keeps_alive);
        ck_assert_int_eq(
            getsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &keeps_alive, &length),
            0);
        ck_assert_int_eq(keeps_alive, 1);
        sockets_checked++;
    }
    ck_assert_int_eq(sockets_checked, 1);
    teardown();
}
END_TEST

START_TEST(proxy_environment_is_ignored)
{
    call_t call = {0};

    (void)setenv("http_proxy", "http://127.0.0.1:1", 1);
    setup(&hello, 1);
    start_plain(&call);
    fixture_wait(&fixture, &call.done);
    ck_assert_int_eq(call.result, HTTP_DONE);
    teardown();
}
END_TEST

START_TEST(request_is_sent_as_given)
{
    const char *headers[] = {"X-Request-Id: r1", "X-Bad: a\r\nX-Evil: b",
                             NULL};
    http_request_t request = {
        .method = "POST", .headers = headers, .body = "{}", .body_bytes = 2};
    call_t call = {0};

    setup(&hello, 1);
    request.url = url;
    start(&call, &request);
    fixture_wait(&fixture, &call.done);
    ck_assert_ptr_eq(strstr(canned_last(server), "POST /p HTTP/1.1\r\n"),
                     canned_last(server));
    ck_assert_ptr_nonnull(strstr(canned_last(server), "X-Request-Id: r1\r\n"));
    ck_assert_ptr_nonnull(strstr(canned_last(server), "\r\n\r\n{}"));
    ck_assert_ptr_null(strstr(canned_last(server), "Evil"));
    ck_assert_ptr_null(strstr(canned_last(server), "Expect"));
    teardown();
}
END_TEST

typedef struct {
    canned_reply_t second;
    size_t connections;
    size_t requests;
    bool fresh;
    http_result_t result;
} reuse_case_t;

/* The second request uses a kept connection or a fresh one. */
static const reuse_case_t reuse_cases[] = {
    {{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0, CANNED_KEEP},
     1,
     2,
     false,
     HTTP_DONE},
    {{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0, CANNED_KEEP},
     2,
     2,
     true,
     HTTP_DONE},
    {{"", 0, CANNED_CLOSE}, 2, 3, false, HTTP_DONE},
    {{"", 0, CANNED_CLOSE}, 2, 2, true, HTTP_CONNECTION_LOST},
    {{"", 0, CANNED_RESET}, 2, 2, true, HTTP_CONNECTION_LOST},
};

START_TEST(connection_is_reused_unless_fresh)
{
    const reuse_case_t *c = &reuse_cases[_i];
    canned_reply_t replies[] = {hello, c->second, hello};
    call_t first = {0};
    call_t second = {0};
    http_request_t request = {.method = "POST", .body = "", .body_bytes = 0};

    setup(replies, 3);
    start_plain(&first);
    fixture_wait(&fixture, &first.done);
    request.url = url;
    request.fresh_connection = c->fresh;
    start(&second, &request);
    fixture_wait(&fixture, &second.done);
    ck_assert_int_eq(second.result, c->result);
    ck_assert_uint_eq(canned_connections(server), c->connections);
    ck_assert_uint_eq(canned_requests(server), c->requests);
    teardown();
}
END_TEST

typedef struct {
    callback_action_t action;
    bool done;
    bool other_done;
    bool other_starts_first;
} action_case_t;

static const action_case_t action_cases[] = {
    {CANCEL_IN_HEAD, false, false, false},
    {CANCEL_IN_BODY, false, false, false},
    {CANCEL_IN_DONE, true, false, false},
    {CANCEL_OTHER_IN_HEAD, true, false, true},
    {START_IN_BODY, true, true, false},
    {START_IN_DONE, true, true, false},
};

START_TEST(cancel_and_start_in_callbacks)
{
    const action_case_t *c = &action_cases[_i];
    const canned_reply_t split = {hello.bytes, 1, CANNED_KEEP};
    const canned_reply_t silent = {"", 0, CANNED_KEEP};
    canned_reply_t replies[] = {c->other_starts_first ? silent : split, split,
                                split};
    call_t call = {.action = c->action};
    call_t other = {0};

    call.other = &other;
    setup(replies, 3);
    if (c->other_starts_first) {
        start_plain(&other);
        while (canned_requests(server) == 0) {
            loop_turn(&fixture.loop);
        }
    }
    start_plain(&call);
    if (c->done) {
        fixture_wait(&fixture, &call.done);
    }
    if (c->other_done) {
        fixture_wait(&fixture, &other.done);
    }
    wait_for_late_callbacks();
    ck_assert_int_eq(call.done, c->done);
    ck_assert_int_eq(other.done, c->other_done);
    teardown();
}
END_TEST

START_TEST(cancel_after_start_makes_no_callback)
{
    call_t call = {0};

    setup(&hello, 1);
    start_plain(&call);
    http_cancel(call.http);
    wait_for_late_callbacks();
    ck_assert(!call.done);
    ck_assert_str_eq(call.text, "");
    teardown();
}
END_TEST

START_TEST(free_with_pending_call_makes_no_callback)
{
    const canned_reply_t silent = {"", 0, CANNED_KEEP};
    call_t call = {0};

    setup(&silent, 1);
    start_plain(&call);
    while (canned_requests(server) == 0) {
        loop_turn(&fixture.loop);
    }
    teardown();
    ck_assert(!call.done);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("http");

    tcase_add_loop_test(tcase, response_in_any_split_has_expected_result, 0,
                        sizeof(reply_cases) / sizeof(reply_cases[0]));
    tcase_add_test(tcase, refused_connection_is_not_sent);
    tcase_add_test(tcase, connect_timeout_is_not_sent);
    tcase_add_test(tcase, request_is_not_sent_after_pause);
    tcase_add_test(tcase, sockets_detect_unreachable_peer);
    tcase_add_test(tcase, proxy_environment_is_ignored);
    tcase_add_test(tcase, request_is_sent_as_given);
    tcase_add_loop_test(tcase, connection_is_reused_unless_fresh, 0,
                        sizeof(reuse_cases) / sizeof(reuse_cases[0]));
    tcase_add_loop_test(tcase, cancel_and_start_in_callbacks, 0,
                        sizeof(action_cases) / sizeof(action_cases[0]));
    tcase_add_test(tcase, cancel_after_start_makes_no_callback);
    tcase_add_test(tcase, free_with_pending_call_makes_no_callback);
    return fixture_main("http", tcase);
}
