/* test_gateway.c - bytes through a gateway: callers, runners, its store. */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "regress/fixture.h"
#include "regress/gateway_host.h"

#define ASK(method, path, more)                                               \
    method " " path " HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: q1\r\n"   \
           "Authorization: Bearer k1\r\n" more "\r\n"
#define STAMPED "Attempt-Id: q1\r\nServer-Stamp: s1\r\n"

static const canned_reply_t whole_reply[] = {
    {"HTTP/1.1 200 OK\r\n" STAMPED
     "X-Own: y\r\nContent-Length: 5\r\n\r\nhello",
     0, CANNED_KEEP},
};
static const canned_reply_t cut_stream[] = {
    {"HTTP/1.1 200 OK\r\n" STAMPED
     "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
     "14\r\nid: 0\ndata: zero\n\nid\r\n",
     0, CANNED_RESET},
};
static const canned_reply_t full_reply[] = {
    {"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", 0,
     CANNED_KEEP},
};

/* One exchange on one connection, with one runner of each service. */
typedef struct {
    const char *name;
    const char *service;
    const canned_reply_t *reply;
    const char *sent;
    const char *answered;     /* text that comes back */
    const char *not_answered; /* text that must not; or NULL */
    const char *ran;          /* text in the runner's request; NULL: no send */
    const char *not_ran;      /* text that must not be there; or NULL */
} exchange_case_t;

static const exchange_case_t exchanges[] = {
    {"answers pass unchanged", "plain", whole_reply,
     ASK("GET", "/unsafe/p?q=%20a&b", ""), "\r\n\r\nhello", NULL,
     "GET /unsafe/p?q=%20a&b HTTP/1.1\r\n", "Authorization"},
    {"a runner's own headers pass", "plain", whole_reply,
     ASK("GET", "/unsafe/p", ""), "X-Own: y", NULL, "Tenant: o1", "Accept"},
    {"what is the system's to say is not taken from callers", "plain",
     whole_reply,
     ASK("GET", "/unsafe/p",
         "Tenant: o2\r\nHold: 1\r\nPin-Ms: 9\r\nKv-Backup: a\r\n"
         "Kv-From: b\r\nExpect-Instance: c\r\nX-Mine: d\r\n"),
     "hello", NULL, "X-Mine: d", "o2"},
    {"headers of one connection stop here", "plain", whole_reply,
     ASK("GET", "/unsafe/p",
         "Connection: x-hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\n"),
     "hello", NULL, "Expect-Instance: plain-1", "X-Hop"},
    {"a body passes", "plain", whole_reply,
     ASK("POST", "/unsafe/p", "Content-Length: 3\r\n") "abc", "hello", NULL,
     "\r\n\r\nabc", NULL},
    {"a body in chunks passes", "plain", whole_reply,
     ASK("POST", "/unsafe/p",
         "Transfer-Encoding: chunked\r\n") "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
     "hello", NULL, "\r\n\r\nabc", NULL},
    {"a length stated twice is refused", "plain", whole_reply,
     ASK("POST", "/unsafe/p",
         "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n") "0\r\n\r\n",
     "HTTP/1.1 400", "200", NULL, NULL},
    {"two lengths are refused", "plain", whole_reply,
     ASK("POST", "/unsafe/p", "Content-Length: 0\r\nContent-Length: 99\r\n")
         ASK("GET", "/unsafe/smuggled", ""),
     "HTTP/1.1 400", "200", NULL, NULL},
    {"a full service is a refusal", "plain", full_reply,
     ASK("GET", "/unsafe/p", ""), "HTTP/1.1 503", "Server-Stamp", "", NULL},
    {"an unknown key", "plain", whole_reply,
     "GET /unsafe/p HTTP/1.1\r\nHost: host.example\r\n"
     "Authorization: Bearer no\r\n\r\n",
     "HTTP/1.1 401", NULL, NULL, NULL},
    {"an unknown path", "plain", whole_reply, ASK("GET", "/none/", ""),
     "HTTP/1.1 404", NULL, NULL, NULL},
};

START_TEST(test_exchange)
{
    const exchange_case_t *test = &exchanges[_i];
    gateway_host_t host;
    raw_caller_t *caller;

    gateway_host_open(&host);
    gateway_host_runner(&host, "plain-1", test->service, "a", test->reply, 1);
    gateway_host_settle(&host);
    caller = raw_caller_new(&host, host.listen_address);
    raw_caller_send(caller, test->sent);
    ck_assert_msg(raw_caller_wait(caller, test->answered), "%s: got\n%s",
                  test->name, raw_caller_bytes(caller));
    ck_assert_msg(test->not_answered == NULL ||
                      strstr(raw_caller_bytes(caller), test->not_answered) ==
                          NULL,
                  "%s: got\n%s", test->name, raw_caller_bytes(caller));
    ck_assert_msg((canned_requests(host.runners[0]) > 0) ==
                      (test->ran != NULL),
                  "%s: the runner got %zu requests", test->name,
                  canned_requests(host.runners[0]));
    if (test->ran != NULL) {
        ck_assert_msg(
            strstr(canned_last(host.runners[0]), test->ran) != NULL &&
                (test->not_ran == NULL ||
                 strstr(canned_last(host.runners[0]), test->not_ran) == NULL),
            "%s: the runner got\n%s", test->name,
            canned_last(host.runners[0]));
    }
    raw_caller_free(caller);
    gateway_host_close(&host);
}
END_TEST

/* A stream that nobody can go on with ends so that it does not look whole. */
START_TEST(test_cut_stream_is_cut)
{
    gateway_host_t host;
    raw_caller_t *caller;

    gateway_host_open(&host);
    gateway_host_runner(&host, "engine-1", "engine", "a", cut_stream, 1);
    gateway_host_settle(&host);
    caller = raw_caller_new(&host, host.listen_address);
    raw_caller_send(caller, ASK("GET", "/stream/p", ""));
    ck_assert(raw_caller_wait(caller, "data: zero\n\n"));
    raw_caller_wait_end(caller);
    ck_assert_msg(strstr(raw_caller_bytes(caller), "zero\n\n\r\n") ==
                      strstr(raw_caller_bytes(caller), "zero"),
                  "what came: %s", raw_caller_bytes(caller));
    ck_assert_str_eq(strstr(raw_caller_bytes(caller), "zero"), "zero\n\n\r\n");
    raw_caller_free(caller);
    gateway_host_close(&host);
}
END_TEST

/*
 * A host that was paused finds requests whose callers have left meanwhile:
 * they must not reach a runner.
 */
START_TEST(test_caller_left_before)
{
    static const char request[] = ASK("GET", "/unsafe/p", "");
    gateway_host_t host;
    struct sockaddr_in to;
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    gateway_host_open(&host);
    gateway_host_runner(&host, "plain-1", "plain", "a", whole_reply, 1);
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

START_TEST(test_metrics)
{
    gateway_host_t host;
    raw_caller_t *caller;
    raw_caller_t *reader;

    gateway_host_open(&host);
    gateway_host_runner(&host, "plain-1", "plain", "a", whole_reply, 1);
    gateway_host_settle(&host);
    caller = raw_caller_new(&host, host.listen_address);
    raw_caller_send(caller, ASK("GET", "/unsafe/p", ""));
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

START_TEST(test_readiness_and_lookup)
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

int
main(void)
{
    TCase *tcase = tcase_create("gateway");

    (void)signal(SIGPIPE, SIG_IGN); /* as the daemon does */
    tcase_add_loop_test(tcase, test_exchange, 0, COUNT(exchanges));
    tcase_add_test(tcase, test_cut_stream_is_cut);
    tcase_add_test(tcase, test_caller_left_before);
    tcase_add_test(tcase, test_metrics);
    tcase_add_test(tcase, test_readiness_and_lookup);
    return fixture_main("gateway", tcase);
}
