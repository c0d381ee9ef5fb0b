/* test_gateway.c - tests a gateway on raw bytes from callers and runners. */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "regress/fixture.h"
#include "regress/gateway_host.h"

#define REQUEST(method, path, more)                                           \
    method " " path " HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: q1\r\n"   \
           "Authorization: Bearer k1\r\n" more "\r\n"
#define RUNNER_HEADERS "Attempt-Id: q1\r\nServer-Stamp: s1\r\n"

static const canned_reply_t complete_reply[] = {
    {"HTTP/1.1 200 OK\r\n" RUNNER_HEADERS
     "X-Own: y\r\nContent-Length: 5\r\n\r\nhello",
     0, CANNED_KEEP},
};
static const canned_reply_t broken_stream[] = {
    {"HTTP/1.1 200 OK\r\n" RUNNER_HEADERS
     "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
     "14\r\nid: 0\ndata: zero\n\nid\r\n",
     0, CANNED_RESET},
};
static const canned_reply_t endless_stream[] = {
    {"HTTP/1.1 200 OK\r\n" RUNNER_HEADERS
     "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
     "12\r\nid: 0\ndata: zero\n\n\r\n",
     0, CANNED_KEEP},
};
static const canned_reply_t at_capacity_reply[] = {
    {"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", 0,
     CANNED_KEEP},
};

/* A rejection of an earlier request, and statuses that promise as much. */
static const canned_reply_t rejection_of_other[] = {
    {"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nAttempt-Id: q0\r\n"
     "Content-Length: 0\r\n\r\n",
     0, CANNED_KEEP},
};
static const canned_reply_t unsigned_503[] = {
    {"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", 0, CANNED_KEEP},
};
static const canned_reply_t unsigned_429[] = {
    {"HTTP/1.1 429 Many\r\nAttempt-Id: q1\r\nContent-Length: 0\r\n\r\n", 0,
     CANNED_KEEP},
};
static const canned_reply_t unsigned_500[] = {
    {"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", 0, CANNED_KEEP},
};
static const canned_reply_t reply_and_rejection[] = {
    {"HTTP/1.1 200 OK\r\n" RUNNER_HEADERS "Content-Length: 5\r\n\r\nhello"
     "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
     0, CANNED_KEEP},
};

/* One exchange on one connection, with one runner of each service. */
typedef struct {
    const char *name;
    const char *service;
    const canned_reply_t *reply;
    const char *sent;
    const char *expected;   /* text in the response */
    const char *unexpected; /* text that must not be in it; or NULL */
    /* Text in the runner's request; NULL if none must be sent. */
    const char *runner_expected;
    /* Text that must not be in the runner's request; or NULL. */
    const char *runner_unexpected;
} exchange_case_t;

static const exchange_case_t exchanges[] = {
    {"a response is passed on unchanged", "plain", complete_reply,
     REQUEST("GET", "/unsafe/p?q=%20a&b", ""), "\r\n\r\nhello", NULL,
     "GET /unsafe/p?q=%20a&b HTTP/1.1\r\n", "Authorization"},
    {"a header set by the runner is passed on", "plain", complete_reply,
     REQUEST("GET", "/unsafe/p", ""), "X-Own: y", NULL, "Tenant: o1",
     "Accept"},
    {"headers reserved for the system are removed from a request", "plain",
     complete_reply,
     REQUEST("GET", "/unsafe/p",
             "Tenant: o2\r\nHold: 1\r\nPin-Ms: 9\r\nKv-Backup: a\r\n"
             "Kv-From: b\r\nExpect-Instance: c\r\nX-Mine: d\r\n"),
     "hello", NULL, "X-Mine: d", "o2"},
    {"hop-by-hop headers are not passed on", "plain", complete_reply,
     REQUEST("GET", "/unsafe/p",
             "Connection: x-hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\n"),
     "hello", NULL, "Expect-Instance: plain-1", "X-Hop"},
    {"a request body is passed on", "plain", complete_reply,
     REQUEST("POST", "/unsafe/p", "Content-Length: 3\r\n") "abc", "hello",
     NULL, "\r\n\r\nabc", NULL},
    {"a chunked request body is passed on", "plain", complete_reply,
     REQUEST(
         "POST", "/unsafe/p",
         "Transfer-Encoding: chunked\r\n") "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
     "hello", NULL, "\r\n\r\nabc", NULL},
    {"Content-Length with Transfer-Encoding is refused with 400", "plain",
     complete_reply,
     REQUEST(
         "POST", "/unsafe/p",
         "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n") "0\r\n\r\n",
     "HTTP/1.1 400", "200", NULL, NULL},
    {"two Content-Length headers are refused with 400", "plain",
     complete_reply,
     REQUEST("POST", "/unsafe/p",
             "Content-Length: 0\r\nContent-Length: 99\r\n")
         REQUEST("GET", "/unsafe/smuggled", ""),
     "HTTP/1.1 400", "200", NULL, NULL},
    {"two lengths after an empty line are refused with 400", "plain",
     complete_reply,
     "\r\n" REQUEST("POST", "/unsafe/p",
                    "Content-Length: 0\r\nContent-Length: 99\r\n")
         REQUEST("GET", "/unsafe/smuggled", ""),
     "HTTP/1.1 400", "200", NULL, NULL},
    {"a folded length is refused with 400", "plain", complete_reply,
     REQUEST("POST", "/unsafe/p", "Content-Length: 0\r\n 99\r\n")
         REQUEST("GET", "/unsafe/smuggled", ""),
     "HTTP/1.1 400", "200", NULL, NULL},
    {"a request after empty lines is served", "plain", complete_reply,
     "\r\n" REQUEST("GET", "/unsafe/p", ""), "hello", NULL,
     "Expect-Instance: plain-1", NULL},
    {"a service at capacity is refused with 503", "plain", at_capacity_reply,
     REQUEST("GET", "/unsafe/p", ""), "HTTP/1.1 503", "Server-Stamp", "",
     NULL},
    {"a rejection of another request is none of this one", "plain",
     rejection_of_other, REQUEST("GET", "/unsafe/p", ""), "HTTP/1.1 502",
     "503", "", NULL},
    {"503 without a signature is no promise", "plain", unsigned_503,
     REQUEST("GET", "/unsafe/p", ""), "HTTP/1.1 502", "503", "", NULL},
    {"429 without a signature is no promise", "plain", unsigned_429,
     REQUEST("GET", "/unsafe/p", ""), "HTTP/1.1 502", "429", "", NULL},
    {"an error without a signature is passed on", "plain", unsigned_500,
     REQUEST("GET", "/unsafe/p", ""), "HTTP/1.1 500", "502", "", NULL},
    {"an unknown API key is refused with 401", "plain", complete_reply,
     "GET /unsafe/p HTTP/1.1\r\nHost: host.example\r\n"
     "Authorization: Bearer no\r\n\r\n",
     "HTTP/1.1 401", NULL, NULL, NULL},
    {"an unknown path is refused with 404", "plain", complete_reply,
     REQUEST("GET", "/none/", ""), "HTTP/1.1 404", NULL, NULL, NULL},
};

START_TEST(test_request_and_response)
{
    const exchange_case_t *test = &exchanges[_i];
    gateway_host_t host;
    raw_caller_t *caller;

    gateway_host_open(&host);
    gateway_host_runner(&host, "plain-1", test->service, "a", test->reply, 1);
    gateway_host_settle(&host);
    caller = raw_caller_new(&host, host.listen_address);
    raw_caller_send(caller, test->sent);
    ck_assert_msg(raw_caller_wait(caller, test->expected), "%s: got\n%s",
                  test->name, raw_caller_bytes(caller));
    ck_assert_msg(test->unexpected == NULL || strstr(raw_caller_bytes(caller),
                                                     test->unexpected) == NULL,
                  "%s: got\n%s", test->name, raw_caller_bytes(caller));
    ck_assert_msg((canned_requests(host.runners[0]) > 0) ==
                      (test->runner_expected != NULL),
                  "%s: the runner got %zu requests", test->name,
                  canned_requests(host.runners[0]));
    if (test->runner_expected != NULL) {
        ck_assert_msg(strstr(canned_last(host.runners[0]),
                             test->runner_expected) != NULL &&
                          (test->runner_unexpected == NULL ||
                           strstr(canned_last(host.runners[0]),
                                  test->runner_unexpected) == NULL),
                      "%s: the runner got\n%s", test->name,
                      canned_last(host.runners[0]));
    }
    raw_caller_free(caller);
    gateway_host_close(&host);
}
END_TEST

/* Returns whether the response to an upload of 20 bytes has that text. */
static bool
upload_gets(gateway_host_t *host, const char *expected)
{
    raw_caller_t *caller = raw_caller_new(host, host->listen_address);
    bool found;

    raw_caller_send(caller, REQUEST("POST", "/unsafe/p",
                                    "Connection: close\r\nContent-Length: "
                                    "20\r\n") "01234567890123456789");
    found = raw_caller_wait(caller, expected);
    raw_caller_free(caller);
    return found;
}

/* A limit must not outlive the routing table that has it. */
START_TEST(test_absent_limits_are_the_defaults)
{
    static const char format[] =
        "{\"Version\":%d,\"Routes\":[{\"Host\":\"host.example\","
        "\"PathPrefix\":\"/unsafe/\",\"Type\":\"unsafe\","
        "\"Service\":\"plain\"}]%s}";
    gateway_host_t host;
    arena_t arena = {0};

    gateway_host_open(&host);
    gateway_host_runner(&host, "plain-1", "plain", "a", complete_reply, 1);
    gateway_host_put(
        &host, "op/config",
        arena_printf(&arena, format, 2, ",\"Limits\":{\"MaxBodyBytes\":10}"));
    gateway_host_settle(&host);
    ck_assert(upload_gets(&host, "HTTP/1.1 413"));
    gateway_host_put(&host, "op/config", arena_printf(&arena, format, 3, ""));
    gateway_host_settle(&host);
    ck_assert(upload_gets(&host, "hello"));
    gateway_host_close(&host);
    arena_free(&arena);
}
END_TEST

/*
 * A stream that breaks off and cannot be resumed must be aborted, so that the
 * caller does not take it for complete: the zero-length chunk that ends a
 * complete response must not be sent.
 */
START_TEST(test_broken_stream_is_aborted)
{
    gateway_host_t host;
    raw_caller_t *caller;

    gateway_host_open(&host);
    gateway_host_runner(&host, "engine-1", "engine", "a", broken_stream, 1);
    gateway_host_settle(&host);
    caller = raw_caller_new(&host, host.listen_address);
    raw_caller_send(caller, REQUEST("GET", "/stream/p", ""));
    ck_assert(raw_caller_wait(caller, "data: zero\n\n"));
    raw_caller_wait_end(caller);
    ck_assert_msg(strstr(raw_caller_bytes(caller), "zero\n\n\r\n") ==
                      strstr(raw_caller_bytes(caller), "zero"),
                  "the caller received: %s", raw_caller_bytes(caller));
    ck_assert_str_eq(strstr(raw_caller_bytes(caller), "zero"), "zero\n\n\r\n");
    raw_caller_free(caller);
    gateway_host_close(&host);
}
END_TEST

/*
 * A host that was suspended finds requests whose callers have since closed
 * their connections.  These requests must not be sent to a runner.
 */
START_TEST(test_closed_caller_is_not_forwarded)
{
    static const char request[] = REQUEST("GET", "/unsafe/p", "");
    gateway_host_t host;
    struct sockaddr_in to;
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    gateway_host_open(&host);
    gateway_host_runner(&host, "plain-1", "plain", "a", complete_reply, 1);
    gateway_host_settle(&host);
    (void)uv_ip4_addr("127.0.0.1", atoi(strchr(host.listen_address, ':') + 1),
                      &to);
    ck_assert_int_eq(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
    ck_assert_int_eq(write(fd, request, strlen(request)),
                     (ssize_t)strlen(request));
    (void)close(fd);
    gateway_host_settle(&host);
    ck_assert_uint_eq(canned_requests(host.runners[0]), 0);
    gateway_host_close(&host);
}
END_TEST

/* It would answer the next request on the same connection. */
START_TEST(test_rejection_after_a_response_answers_nothing)
{
    enum { REQUESTS = 3 };
    gateway_host_t host;
    int i;

    gateway_host_open(&host);
    gateway_host_runner(&host, "plain-1", "plain", "a", reply_and_rejection,
                        1);
    gateway_host_settle(&host);
    for (i = 0; i < REQUESTS; i++) {
        raw_caller_t *caller = raw_caller_new(&host, host.listen_address);

        raw_caller_send(caller,
                        REQUEST("POST", "/unsafe/p", "Content-Length: 0\r\n"));
        ck_assert_msg(raw_caller_wait(caller, "\r\n\r\nhello") &&
                          strstr(raw_caller_bytes(caller), "503") == NULL,
                      "request %d: got\n%s", i, raw_caller_bytes(caller));
        raw_caller_free(caller);
    }
    ck_assert_uint_eq(canned_connections(host.runners[0]), REQUESTS);
    ck_assert_uint_eq(canned_requests(host.runners[0]), REQUESTS);
    gateway_host_close(&host);
}
END_TEST

START_TEST(test_metrics_count_request)
{
    gateway_host_t host;
    raw_caller_t *caller;
    raw_caller_t *reader;

    gateway_host_open(&host);
    gateway_host_runner(&host, "plain-1", "plain", "a", complete_reply, 1);
    gateway_host_settle(&host);
    caller = raw_caller_new(&host, host.listen_address);
    raw_caller_send(caller, REQUEST("GET", "/unsafe/p", ""));
    ck_assert(raw_caller_wait(caller, "hello"));
    reader = raw_caller_new(&host, host.metrics_address);
    raw_caller_send(reader, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    ck_assert(raw_caller_wait(
        reader, "agatevale_requests_total{type=\"unsafe\",outcome=\"served\","
                "reason=\"whole\"} 1"));
    ck_assert(raw_caller_wait(
        reader, "agatevale_first_answer_seconds_count{type=\"unsafe\"} 1"));
    ck_assert(
        raw_caller_wait(reader, "agatevale_sends_total{attempt=\"first\"} 1"));
    raw_caller_free(caller);
    raw_caller_free(reader);
    gateway_host_close(&host);
}
END_TEST

START_TEST(test_readiness_and_address_lookup)
{
    gateway_host_t host;
    raw_caller_t *ready;
    raw_caller_t *lookup;

    gateway_host_open(&host);
    gateway_host_settle(&host);
    ready = raw_caller_new(&host, host.readiness_address);
    raw_caller_send(ready, "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    ck_assert(raw_caller_wait(ready, "HTTP/1.1 200"));
    lookup = raw_caller_new(&host, host.lookup_address);
    raw_caller_send(lookup, "GET /v1/resolve?Name=host.example&Zone=a HTTP/1.1"
                            "\r\nHost: x\r\n\r\n");
    ck_assert(raw_caller_wait(lookup, "\"TtlS\":2}"));
    ck_assert_msg(strstr(raw_caller_bytes(lookup), host.listen_address) !=
                      NULL,
                  "got %s", raw_caller_bytes(lookup));
    raw_caller_free(ready);
    raw_caller_free(lookup);
    gateway_host_close(&host);
}
END_TEST

/* The end of the grace time, at which the platform kills the process. */
typedef struct {
    uv_timer_t timer;
    bool stopped; /* the loop had been stopped by then */
    bool fired;
} grace_end_t;

static void
on_grace_end(uv_timer_t *timer)
{
    grace_end_t *end = timer->data;

    end->stopped = timer->loop->stop_flag != 0;
    end->fired = true;
    uv_stop(timer->loop);
}

/*
 * A host that stops its loop only at the end of the grace time is killed
 * before it has closed its connections.  The order of two timers decides, so
 * that a slow machine does not.
 */
START_TEST(test_endless_stream_does_not_outlive_grace_time)
{
    gateway_host_t host;
    grace_end_t end = {0};
    raw_caller_t *caller;
    raw_caller_t *slow;

    gateway_host_open(&host);
    gateway_host_runner(&host, "engine-1", "engine", "a", endless_stream, 1);
    gateway_host_settle(&host);
    caller = raw_caller_new(&host, host.listen_address);
    raw_caller_send(caller, REQUEST("GET", "/stream/p", ""));
    ck_assert(raw_caller_wait(caller, "data: zero\n\n"));
    slow = raw_caller_new(&host, host.listen_address);
    raw_caller_send(slow, "GET /stream/p HTTP/1.1\r\nHost: ho");
    gateway_host_settle(&host);
    end.timer.data = &end;
    (void)uv_timer_init(&host.fixture.loop, &end.timer);
    uv_update_time(&host.fixture.loop);
    (void)uv_timer_start(&end.timer, on_grace_end,
                         host.settings.limits.grace_ms, 0);
    gateway_drain(&host.gateway);
    (void)uv_run(&host.fixture.loop, UV_RUN_DEFAULT);
    ck_assert_msg(!end.fired || end.stopped,
                  "the loop was running at the end of the grace time");
    uv_close((uv_handle_t *)&end.timer, NULL);
    gateway_close(&host.gateway);
    raw_caller_wait_end(caller);
    raw_caller_free(caller);
    raw_caller_free(slow);
    canned_free(host.runners[0]);
    fixture_close(&host.fixture);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("gateway");

    (void)signal(SIGPIPE, SIG_IGN); /* as the daemon does */
    tcase_add_loop_test(tcase, test_request_and_response, 0, COUNT(exchanges));
    tcase_add_test(tcase, test_absent_limits_are_the_defaults);
    tcase_add_test(tcase, test_broken_stream_is_aborted);
    tcase_add_test(tcase, test_closed_caller_is_not_forwarded);
    tcase_add_test(tcase, test_rejection_after_a_response_answers_nothing);
    tcase_add_test(tcase, test_metrics_count_request);
    tcase_add_test(tcase, test_readiness_and_address_lookup);
    tcase_add_test(tcase, test_endless_stream_does_not_outlive_grace_time);
    return fixture_main("gateway", tcase);
}
