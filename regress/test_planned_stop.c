/* test_planned_stop.c - tests that a host that stops answers every request
 * that it has read. */
#include <signal.h>
#include <string.h>

#include "regress/fixture.h"
#include "regress/gateway_host.h"
#include "regress/turn.h"

#define HEAD                                                                  \
    "POST /unsafe/p HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: q1\r\n"     \
    "Authorization: Bearer k1\r\n"

enum { PARTS_MAX = 3 };

static const canned_reply_t sound_reply = {
    "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nServer-Stamp: s1\r\n"
    "Content-Length: 5\r\n\r\nsound",
    0, CANNED_KEEP};
static const canned_reply_t no_reply = {"", 0, CANNED_KEEP};

/* The host closes its idle connections after the first of the parts. */
typedef struct {
    const char *name;
    const char *parts[PARTS_MAX];
    bool turn; /* the host reads the first part before that */
} crossing_case_t;

static const crossing_case_t crossings[] = {
    {"a request that arrives as connections are closed",
     {HEAD "Deadline-Ms: 500\r\nContent-Length: 2\r\n\r\nhi"},
     false},
    {"a request in chunks that arrives as connections are closed",
     {HEAD "Deadline-Ms: 500\r\nTransfer-Encoding: chunked\r\n\r\n"
           "2\r\nhi\r\n0\r\n\r\n"},
     false},
    {"a body whose rest comes after connections are closed",
     {HEAD "Deadline-Ms: 500\r\nContent-Length: 2\r\n\r\nh", "i"},
     true},
    {"chunks that come after connections are closed",
     {HEAD "Deadline-Ms: 500\r\nTransfer-Encoding: chunked\r\n\r\n",
      "2\r\nhi\r\n", "0\r\n\r\n"},
     true},
    {"a head whose rest comes after connections are closed",
     {"POST /unsafe/p HTTP/1.1\r\nHost: host.ex",
      "ample\r\nAttempt-Id: q1\r\nAuthorization: Bearer k1\r\n"
      "Deadline-Ms: 500\r\nContent-Length: 0\r\n\r\n"},
     true},
};

START_TEST(test_request_that_crosses_the_close_is_dropped)
{
    const crossing_case_t *test = &crossings[_i];
    gateway_host_t host;
    raw_caller_t *caller;
    size_t i;

    gateway_host_open(&host);
    gateway_host_runner(&host, "plain-1", "plain", "a", &sound_reply, 1);
    gateway_host_settle(&host);
    caller = raw_caller_new(&host, host.listen_address);
    gateway_host_settle(&host);
    gateway_drain(&host.gateway);
    raw_caller_send(caller, test->parts[0]);
    if (test->turn) {
        gateway_host_settle(&host);
    }
    (void)front_close_idle(host.gateway.front);
    for (i = 1; i < PARTS_MAX && test->parts[i] != NULL; i++) {
        gateway_host_settle(&host);
        raw_caller_send(caller, test->parts[i]);
    }
    ck_assert_msg(raw_caller_wait(caller, "sound"), "%s: got\n%s", test->name,
                  raw_caller_bytes(caller));
    raw_caller_free(caller);
    gateway_host_close(&host);
}
END_TEST

/* Requests of a host whose grace time is 3 s, of which it serves 2.3 s. */
typedef struct {
    const char *name;
    const char *request;
    const char *expected;
    bool reaches_runner;
} late_case_t;

static const late_case_t late[] = {
    {"a request that can end in time",
     HEAD "Deadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200",
     true},
    {"a request that may outlive the host",
     HEAD "Deadline-Ms: 2400\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503",
     false},
    {"one with the time of its route", HEAD "Content-Length: 2\r\n\r\nhi",
     "HTTP/1.1 503", false},
    {"one in chunks",
     HEAD "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
     "HTTP/1.1 503", false},
    {"a stream",
     "GET /stream/p HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: q1\r\n"
     "Authorization: Bearer k1\r\n\r\n",
     "HTTP/1.1 503", false},
};

START_TEST(test_host_that_stops_takes_what_it_cannot_finish)
{
    const late_case_t *test = &late[_i];
    gateway_host_t host;
    raw_caller_t *caller;

    gateway_host_open(&host);
    gateway_host_runner(&host, "plain-1", "plain", "a", &sound_reply, 1);
    gateway_host_runner(&host, "engine-1", "engine", "a", &sound_reply, 1);
    gateway_host_settle(&host);
    caller = raw_caller_new(&host, host.listen_address);
    gateway_drain(&host.gateway);
    raw_caller_send(caller, test->request);
    ck_assert_msg(raw_caller_wait(caller, "\r\n\r\n"), "%s", test->name);
    ck_assert_msg(strstr(raw_caller_bytes(caller), test->expected) != NULL,
                  "%s: got\n%s", test->name, raw_caller_bytes(caller));
    ck_assert_msg(
        strcasestr(raw_caller_bytes(caller), "connection: close\r\n") != NULL,
        "%s: got\n%s", test->name, raw_caller_bytes(caller));
    ck_assert_msg(canned_requests(host.runners[0]) +
                          canned_requests(host.runners[1]) ==
                      (test->reaches_runner ? 1U : 0U),
                  "%s", test->name);
    raw_caller_free(caller);
    gateway_host_close(&host);
}
END_TEST

/* It had been taken before the host was told to stop. */
START_TEST(test_request_at_the_end_of_the_grace_time_gets_no_answer)
{
    gateway_host_t host;
    raw_caller_t *caller;

    gateway_host_open(&host);
    gateway_host_runner(&host, "plain-1", "plain", "a", &no_reply, 1);
    gateway_host_settle(&host);
    caller = raw_caller_new(&host, host.listen_address);
    raw_caller_send(caller, HEAD "Content-Length: 0\r\n\r\n");
    while (canned_requests(host.runners[0]) == 0) {
        loop_turn(&host.fixture.loop);
    }
    gateway_drain(&host.gateway);
    (void)uv_run(&host.fixture.loop, UV_RUN_DEFAULT);
    gateway_close(&host.gateway);
    ck_assert_msg(raw_caller_wait(caller, "HTTP/1.1 502"), "got\n%s",
                  raw_caller_bytes(caller));
    raw_caller_wait_end(caller);
    raw_caller_free(caller);
    canned_free(host.runners[0]);
    fixture_close(&host.fixture);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("planned-stop");

    (void)signal(SIGPIPE, SIG_IGN); /* as the daemon does */
    tcase_add_loop_test(tcase, test_request_that_crosses_the_close_is_dropped,
                        0, COUNT(crossings));
    tcase_add_loop_test(tcase,
                        test_host_that_stops_takes_what_it_cannot_finish, 0,
                        COUNT(late));
    tcase_add_test(tcase,
                   test_request_at_the_end_of_the_grace_time_gets_no_answer);
    return fixture_main("planned-stop", tcase);
}
