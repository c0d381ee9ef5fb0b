/*
 * test_stream_errors.c - tests that nothing but events of the stream reaches
 * the caller of a stream that broke off and goes on.
 */
#include <signal.h>
#include <string.h>

#include "regress/fixture.h"
#include "regress/gateway_host.h"

#define RUNNER_HEADERS "Attempt-Id: q1\r\nServer-Stamp: s1\r\n"
#define EVENTS "Content-Type: text/event-stream\r\n"
#define FIRST_EVENT "id: 0\ndata: zero\n\n"

/* The answer to the request that goes on after the first event. */
typedef struct {
    const char *name;
    const char *bytes;
    canned_end_t end;
    bool has_event; /* the one with id 1 is passed on */
    bool ends;      /* the stream is complete */
} error_case_t;

static const error_case_t cases[] = {
    {"an error with a text",
     "HTTP/1.1 500 Error\r\n" RUNNER_HEADERS
     "Content-Length: 6\r\n\r\noops\n\n",
     CANNED_KEEP, false, false},
    {"an error without a signature",
     "HTTP/1.1 500 Error\r\nContent-Length: 6\r\n\r\noops\n\n", CANNED_KEEP,
     false, false},
    {"a rejection with a text",
     "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: "
     "6\r\n\r\noops\n\n",
     CANNED_KEEP, false, false},
    {"an error that is called a success",
     "HTTP/1.1 200 OK\r\n" RUNNER_HEADERS "Content-Type: application/json\r\n"
     "Content-Length: 20\r\n\r\n{\"error\": \"oops\"}\n\n ",
     CANNED_KEEP, false, false},
    {"a success without a body",
     "HTTP/1.1 200 OK\r\n" RUNNER_HEADERS "Content-Length: 0\r\n\r\n",
     CANNED_KEEP, false, false},
    {"an error within a stream",
     "HTTP/1.1 200 OK\r\n" RUNNER_HEADERS EVENTS
     "Content-Length: 28\r\n\r\nid: 1\ndata: one\n\noops oops\n\n",
     CANNED_KEEP, true, false},
    {"a field that is none before the id",
     "HTTP/1.1 200 OK\r\n" RUNNER_HEADERS EVENTS
     "Content-Length: 37\r\n\r\nid: 1\ndata: one\n\noops\nid: 2\ndata: t\n\n",
     CANNED_KEEP, true, false},
    {"the head of another response at the end",
     "HTTP/1.1 200 OK\r\n" RUNNER_HEADERS EVENTS
     "\r\nid: 1\ndata: one\n\nHTTP/1.1 500 oops\r\nContent-Length: 4\r\n\r\n"
     "oops",
     CANNED_CLOSE, true, false},
    {"the rest of the stream",
     "HTTP/1.1 200 OK\r\n" RUNNER_HEADERS EVENTS
     "Content-Length: 17\r\n\r\nid: 1\ndata: one\n\n",
     CANNED_KEEP, true, true},
    {"a stream that has no more events",
     "HTTP/1.1 200 OK\r\n" RUNNER_HEADERS EVENTS "Content-Length: 0\r\n\r\n",
     CANNED_KEEP, false, true},
};

START_TEST(test_error_text_is_not_part_of_a_stream)
{
    const error_case_t *test = &cases[_i];
    const canned_reply_t replies[] = {
        {"HTTP/1.1 200 OK\r\n" RUNNER_HEADERS EVENTS
         "Transfer-Encoding: chunked\r\n\r\n12\r\n" FIRST_EVENT "\r\n",
         0, CANNED_RESET},
        {test->bytes, 0, test->end}};
    gateway_host_t host;
    raw_caller_t *caller;
    const char *body;

    gateway_host_open(&host);
    gateway_host_runner(&host, "engine-1", "engine", "a", replies, 2);
    gateway_host_settle(&host);
    caller = raw_caller_new(&host, host.listen_address);
    raw_caller_send(caller,
                    "GET /stream/p HTTP/1.1\r\nHost: host.example\r\n"
                    "Attempt-Id: q1\r\nAuthorization: Bearer k1\r\n\r\n");
    ck_assert(raw_caller_wait(caller, FIRST_EVENT));
    if (test->ends) {
        ck_assert(raw_caller_wait(caller, "\r\n0\r\n\r\n"));
    }
    else {
        raw_caller_wait_end(caller);
    }
    body = strstr(raw_caller_bytes(caller), FIRST_EVENT);
    ck_assert_msg((strstr(body, "data: one\n\n") != NULL) == test->has_event &&
                      strstr(body, "oops") == NULL &&
                      (strstr(body, "\r\n0\r\n\r\n") != NULL) == test->ends,
                  "%s: the caller got\n%s", test->name, body);
    raw_caller_free(caller);
    gateway_host_close(&host);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("stream-errors");

    (void)signal(SIGPIPE, SIG_IGN); /* as the daemon does */
    tcase_add_loop_test(tcase, test_error_text_is_not_part_of_a_stream, 0,
                        COUNT(cases));
    return fixture_main("stream-errors", tcase);
}
