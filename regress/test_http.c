/* test_http.c - the HTTP client against canned bytes. */
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

/* What a call should do in one of its own callbacks. */
typedef enum {
    DO_NOTHING,
    CANCEL_IN_HEAD,
    CANCEL_IN_BODY,
    CANCEL_IN_DONE,
    CANCEL_OTHER_IN_HEAD,
    START_IN_BODY,
    START_IN_DONE,
} deed_t;

typedef struct call {
    http_sink_t sink;
    http_call_t *http;
    struct call *other;
    deed_t deed;
    char text[TEXT_BYTES]; /* all callbacks in order */
    char body[TEXT_BYTES];
    bool done;
    http_result_t result;
} call_t;

static fixture_t fixture;
static canned_t *server;
static char url[64];

static void start(call_t *call, const http_request_t *request);
static void start_plain(call_t *call);

static void
open_world(const canned_reply_t *replies, size_t count)
{
    fixture_open(&fixture);
    server = canned_new(&fixture.loop, replies, count);
    (void)snprintf(url, sizeof(url), "http://127.0.0.1:%d/p",
                   canned_port(server));
}

static void
close_world(void)
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
    if (call->deed == CANCEL_IN_HEAD) {
        http_cancel(call->http);
    }
    else if (call->deed == CANCEL_OTHER_IN_HEAD) {
        http_cancel(call->other->http);
    }
}

static void
on_body(http_sink_t *sink, const char *bytes, size_t length)
{
    call_t *call = (call_t *)sink;

    (void)strncat(call->body, bytes, length);
    if (call->deed == CANCEL_IN_BODY) {
        http_cancel(call->http);
    }
    else if (call->deed == START_IN_BODY && call->other->http == NULL) {
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
    if (call->deed == CANCEL_IN_DONE) {
        http_cancel(call->http);
    }
    else if (call->deed == START_IN_DONE) {
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

/* Enough turns that whatever was to come would have come. */
static void
run_on(void)
{
    call_t later = {.sink = {&sink_ops}};
    http_request_t request = {
        .method = "GET", .url = url, .timeout_ms = 200, /* of silence */
    };

    start(&later, &request);
    fixture_wait(&fixture, &later.done);
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
    {"ended by the close",
     {"HTTP/1.1 200 OK\r\n\r\nhello", 0, CANNED_CLOSE},
     0,
     HTTP_DONE,
     "head 200  0;",
     "hello"},
    {"interim answer",
     {"HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
      0, CANNED_KEEP},
     0,
     HTTP_DONE,
     "head 200  0;",
     ""},
    {"refused",
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
    {"cut in the head",
     {"HTTP/1.1 200 OK\r\nContent-", 0, CANNED_CLOSE},
     0,
     HTTP_BROKEN,
     "",
     ""},
    {"cut in the body",
     {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhel", 0, CANNED_CLOSE},
     0,
     HTTP_BROKEN,
     "head 200  0;",
     "hel"},
    {"cut in a chunk",
     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", 0,
      CANNED_CLOSE},
     0,
     HTTP_BROKEN,
     "head 200  0;",
     "hel"},
    {"closed without an answer",
     {"", 0, CANNED_CLOSE},
     0,
     HTTP_BROKEN,
     "",
     ""},
    {"reset without an answer", {"", 0, CANNED_RESET}, 0, HTTP_BROKEN, "", ""},
    {"no HTTP", {"hello", 0, CANNED_CLOSE}, 0, HTTP_BROKEN, "", ""},
    {"silence", {"", 0, CANNED_KEEP}, 100, HTTP_TIMEOUT, "", ""},
    {"silence in the body",
     {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhel", 0, CANNED_KEEP},
     100,
     HTTP_TIMEOUT,
     "head 200  0;",
     "hel"},
};

/* Every case whole, and split at every small size. */
START_TEST(one_reply)
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
        open_world(&reply, 1);
        request.url = url;
        start(&call, &request);
        fixture_wait(&fixture, &call.done);
        ck_assert_msg(call.result == c->result, "%s: split %zu: result %d",
                      c->name, splits[i], call.result);
        ck_assert_str_eq(call.text, c->text);
        ck_assert_str_eq(call.body, c->body);
        ck_assert_uint_eq(canned_requests(server), 1);
        close_world();
    }
}
END_TEST

static const canned_reply_t hello = {
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", 0, CANNED_KEEP};

START_TEST(refused_connection)
{
    call_t call = {0};

    open_world(&hello, 1);
    canned_free(server);
    (void)uv_run(&fixture.loop, UV_RUN_NOWAIT);
    start_plain(&call);
    fixture_wait(&fixture, &call.done);
    ck_assert_int_eq(call.result, HTTP_NOT_SENT);
    server = canned_new(&fixture.loop, &hello, 1);
    close_world();
}
END_TEST

/* A listener whose queue is full leaves a connection unanswered. */
START_TEST(connection_that_takes_too_long)
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
    open_world(&hello, 1);
    (void)snprintf(url, sizeof(url), "http://127.0.0.1:%d/",
                   ntohs(at.sin_port));
    start(&call, &request);
    fixture_wait(&fixture, &call.done);
    ck_assert_int_eq(call.result, HTTP_NOT_SENT);
    close_world();
    (void)close(queued);
    (void)close(listener);
}
END_TEST

/* A process that was stopped does not send what it no longer may. */
START_TEST(pause_before_sending)
{
    http_request_t request = {
        .method = "GET", .url = url, .connect_timeout_ms = 100};
    call_t call = {0};

    open_world(&hello, 1);
    start(&call, &request);
    (void)usleep(300 * 1000);
    fixture_wait(&fixture, &call.done);
    ck_assert_int_eq(call.result, HTTP_NOT_SENT);
    ck_assert_uint_eq(canned_requests(server), 0);
    close_world();
}
END_TEST

/* The limits on a silent host cannot be seen on loopback, but their setting.
 */
START_TEST(socket_options)
{
    const canned_reply_t silent = {"", 0, CANNED_KEEP};
    call_t call = {0};
    int found = 0;
    int fd;

    open_world(&silent, 1);
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
        found++;
    }
    ck_assert_int_eq(found, 1);
    close_world();
}
END_TEST

START_TEST(proxy_of_the_environment_is_unused)
{
    call_t call = {0};

    (void)setenv("http_proxy", "http://127.0.0.1:1", 1);
    open_world(&hello, 1);
    start_plain(&call);
    fixture_wait(&fixture, &call.done);
    ck_assert_int_eq(call.result, HTTP_DONE);
    close_world();
}
END_TEST

START_TEST(request_as_written)
{
    const char *headers[] = {"X-Request-Id: r1", "X-Bad: a\r\nX-Evil: b",
                             NULL};
    http_request_t request = {
        .method = "POST", .headers = headers, .body = "{}", .body_bytes = 2};
    call_t call = {0};

    open_world(&hello, 1);
    request.url = url;
    start(&call, &request);
    fixture_wait(&fixture, &call.done);
    ck_assert_ptr_eq(strstr(canned_last(server), "POST /p HTTP/1.1\r\n"),
                     canned_last(server));
    ck_assert_ptr_nonnull(strstr(canned_last(server), "X-Request-Id: r1\r\n"));
    ck_assert_ptr_nonnull(strstr(canned_last(server), "\r\n\r\n{}"));
    ck_assert_ptr_null(strstr(canned_last(server), "Evil"));
    ck_assert_ptr_null(strstr(canned_last(server), "Expect"));
    close_world();
}
END_TEST

typedef struct {
    canned_reply_t second;
    size_t connections;
    size_t requests;
    bool fresh;
    http_result_t result;
} reuse_case_t;

/* The second reply meets a kept connection, or a fresh one. */
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
    {{"", 0, CANNED_CLOSE}, 2, 2, true, HTTP_BROKEN},
    {{"", 0, CANNED_RESET}, 2, 2, true, HTTP_BROKEN},
};

START_TEST(reuse)
{
    const reuse_case_t *c = &reuse_cases[_i];
    canned_reply_t replies[] = {hello, c->second, hello};
    call_t first = {0};
    call_t second = {0};
    http_request_t request = {.method = "POST", .body = "", .body_bytes = 0};

    open_world(replies, 3);
    start_plain(&first);
    fixture_wait(&fixture, &first.done);
    request.url = url;
    request.fresh_connection = c->fresh;
    start(&second, &request);
    fixture_wait(&fixture, &second.done);
    ck_assert_int_eq(second.result, c->result);
    ck_assert_uint_eq(canned_connections(server), c->connections);
    ck_assert_uint_eq(canned_requests(server), c->requests);
    close_world();
}
END_TEST

typedef struct {
    deed_t deed;
    bool done;
    bool other_done;
    bool other_starts_first;
} deed_case_t;

static const deed_case_t deed_cases[] = {
    {CANCEL_IN_HEAD, false, false, false},
    {CANCEL_IN_BODY, false, false, false},
    {CANCEL_IN_DONE, true, false, false},
    {CANCEL_OTHER_IN_HEAD, true, false, true},
    {START_IN_BODY, true, true, false},
    {START_IN_DONE, true, true, false},
};

START_TEST(deeds_in_callbacks)
{
    const deed_case_t *c = &deed_cases[_i];
    const canned_reply_t split = {hello.bytes, 1, CANNED_KEEP};
    const canned_reply_t silent = {"", 0, CANNED_KEEP};
    canned_reply_t replies[] = {c->other_starts_first ? silent : split, split,
                                split};
    call_t call = {.deed = c->deed};
    call_t other = {0};

    call.other = &other;
    open_world(replies, 3);
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
    run_on();
    ck_assert_int_eq(call.done, c->done);
    ck_assert_int_eq(other.done, c->other_done);
    close_world();
}
END_TEST

START_TEST(cancel_at_once)
{
    call_t call = {0};

    open_world(&hello, 1);
    start_plain(&call);
    http_cancel(call.http);
    run_on();
    ck_assert(!call.done);
    ck_assert_str_eq(call.text, "");
    close_world();
}
END_TEST

START_TEST(free_with_a_call_under_way)
{
    const canned_reply_t silent = {"", 0, CANNED_KEEP};
    call_t call = {0};

    open_world(&silent, 1);
    start_plain(&call);
    while (canned_requests(server) == 0) {
        loop_turn(&fixture.loop);
    }
    close_world();
    ck_assert(!call.done);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("http");

    tcase_add_loop_test(tcase, one_reply, 0,
                        sizeof(reply_cases) / sizeof(reply_cases[0]));
    tcase_add_test(tcase, refused_connection);
    tcase_add_test(tcase, connection_that_takes_too_long);
    tcase_add_test(tcase, pause_before_sending);
    tcase_add_test(tcase, socket_options);
    tcase_add_test(tcase, proxy_of_the_environment_is_unused);
    tcase_add_test(tcase, request_as_written);
    tcase_add_loop_test(tcase, reuse, 0,
                        sizeof(reuse_cases) / sizeof(reuse_cases[0]));
    tcase_add_loop_test(tcase, deeds_in_callbacks, 0,
                        sizeof(deed_cases) / sizeof(deed_cases[0]));
    tcase_add_test(tcase, cancel_at_once);
    tcase_add_test(tcase, free_with_a_call_under_way);
    return fixture_main("http", tcase);
}
