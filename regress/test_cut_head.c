/*
 * test_cut_head.c - tests that a response which a runner breaks off, in its
 * head or later, does not reach the caller as a whole one.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/text.h"
#include "regress/fixture.h"
#include "regress/gateway_host.h"

enum { STEP_BYTES = 5, STATUS_OFFSET = 9 };

#define HEAD "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nServer-Stamp: s1\r\n"
/* With it the body is complete (RFC 9112, section 8). */
#define LAST_CHUNK "\r\n0\r\n"
#define STREAM HEAD "Content-Type: text/event-stream\r\n"

/* The runner sends a part of these bytes, every few bytes further on, and then
 * ends the connection. */
typedef struct {
    const char *name;
    const char *path;
    const char *response;
    canned_end_t end;
    /* After it the response is whole wherever it ends; NULL: at its end. */
    const char *whole_from;
} cut_case_t;

static const cut_case_t cases[] = {
    {"a length, closed", "/unsafe/p",
     HEAD "X-Field: value\r\nContent-Length: 5\r\n\r\nhello", CANNED_CLOSE,
     NULL},
    {"a length, reset", "/unsafe/p",
     HEAD "X-Field: value\r\nContent-Length: 5\r\n\r\nhello", CANNED_RESET,
     NULL},
    {"a length of nothing, closed", "/unsafe/p",
     HEAD "Content-Length: 0\r\nX-Field: value\r\n\r\n", CANNED_CLOSE, NULL},
    {"chunks, closed", "/unsafe/p",
     HEAD "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
     CANNED_CLOSE, LAST_CHUNK},
    {"chunks, reset", "/unsafe/p",
     HEAD "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
     CANNED_RESET, LAST_CHUNK},
    {"chunks with a trailer, closed", "/unsafe/p",
     HEAD
     "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-T: v\r\n\r\n",
     CANNED_CLOSE, LAST_CHUNK},
    {"the end of the connection, closed", "/unsafe/p",
     HEAD "X-Field: value\r\n\r\nhello", CANNED_CLOSE, "\r\n\r\n"},
    {"the end of the connection, reset", "/unsafe/p",
     HEAD "X-Field: value\r\n\r\nhello", CANNED_RESET, NULL},
    {"an interim response, closed", "/unsafe/p",
     "HTTP/1.1 103 Early Hints\r\nX-Hint: h\r\n\r\n" HEAD
     "Content-Length: 5\r\n\r\nhello",
     CANNED_CLOSE, NULL},
    {"no content, closed", "/unsafe/p",
     "HTTP/1.1 204 No Content\r\nAttempt-Id: q1\r\nServer-Stamp: s1\r\n\r\n",
     CANNED_CLOSE, NULL},
    {"a stream of chunks, closed", "/stream/p",
     STREAM "Transfer-Encoding: chunked\r\n\r\n"
            "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
     CANNED_CLOSE, LAST_CHUNK},
    {"a stream with a length, reset", "/stream/p",
     STREAM "Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n", CANNED_RESET,
     NULL},
};

/* Returns whether the caller can take what it got for a whole response. */
static bool
is_whole_success(const char *bytes)
{
    const char *body = strstr(bytes, "\r\n\r\n");
    const char *length = strcasestr(bytes, "\r\ncontent-length:");

    if (strlen(bytes) <= STATUS_OFFSET || bytes[STATUS_OFFSET] != '2' ||
        body == NULL) {
        return false;
    }
    body += strlen("\r\n\r\n");
    if (strcasestr(bytes, "\r\ntransfer-encoding: chunked") != NULL) {
        return strstr(body, "0\r\n\r\n") != NULL;
    }
    return length == NULL || strtoul(length + strlen("\r\ncontent-length:"),
                                     NULL, 10) <= strlen(body);
}

static void
check_cut(const cut_case_t *test, size_t sent_bytes)
{
    char *sent = xcalloc(1, sent_bytes + 1);
    canned_reply_t reply = {.bytes = sent, .end = test->end};
    gateway_host_t host;
    raw_caller_t *caller;
    text_t request = {0};

    memcpy(sent, test->response, sent_bytes);
    text_printf(&request,
                "GET %s HTTP/1.1\r\nHost: host.example\r\n"
                "Attempt-Id: q1\r\nDeadline-Ms: 150\r\n"
                "Authorization: Bearer k1\r\nConnection: close\r\n\r\n",
                test->path);
    text_append(&request, "", 1);
    gateway_host_open(&host);
    gateway_host_runner(&host, "plain-1", "plain", "a", &reply, 1);
    gateway_host_runner(&host, "engine-1", "engine", "a", &reply, 1);
    gateway_host_settle(&host);
    caller = raw_caller_new(&host, host.listen_address);
    raw_caller_send(caller, request.bytes);
    raw_caller_wait_end(caller);
    ck_assert_msg(!is_whole_success(raw_caller_bytes(caller)),
                  "%s: after %zu bytes of %zu the caller got\n%s", test->name,
                  sent_bytes, strlen(test->response),
                  raw_caller_bytes(caller));
    ck_assert_uint_ge(canned_requests(host.runners[0]) +
                          canned_requests(host.runners[1]),
                      1);
    raw_caller_free(caller);
    gateway_host_close(&host);
    text_free(&request);
    free(sent);
}

START_TEST(test_response_cut_short_is_not_whole)
{
    const cut_case_t *test = &cases[_i];
    size_t end = strlen(test->response);
    size_t i;

    if (test->whole_from != NULL) {
        end = (size_t)(strstr(test->response, test->whole_from) -
                       test->response) +
              strlen(test->whole_from);
    }
    /* The last bytes one by one: there is the empty line, and the end. */
    for (i = 0; i<end; i += end - i> STEP_BYTES * 3 ? STEP_BYTES : 1) {
        check_cut(test, i);
    }
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("cut");

    (void)signal(SIGPIPE, SIG_IGN); /* as the daemon does */
    tcase_set_timeout(tcase, 120);
    tcase_add_loop_test(tcase, test_response_cut_short_is_not_whole, 0,
                        COUNT(cases));
    return fixture_main("cut_head", tcase);
}
