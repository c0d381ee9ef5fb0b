/* test_leaving.c - tests that a runner whose answers say that it leaves gets
 * no further requests. */
#include <signal.h>
#include <string.h>

#include "base/arena.h"
#include "regress/fixture.h"
#include "regress/gateway_host.h"

#define RUNNER_HEADERS "Attempt-Id: q1\r\nServer-Stamp: s1\r\n"
#define LEAVING "Server-Leaving: 1\r\n"

enum { FURTHER_REQUESTS = 6 };

static const canned_reply_t sound_reply = {"HTTP/1.1 200 OK\r\n" RUNNER_HEADERS
                                           "Content-Length: 5\r\n\r\nsound",
                                           0, CANNED_KEEP};
static const canned_reply_t sound_stream = {
    "HTTP/1.1 200 OK\r\n" RUNNER_HEADERS "Content-Type: text/event-stream\r\n"
    "Content-Length: 19\r\n\r\nid: 0\ndata: sound\n\n",
    0, CANNED_KEEP};

/* The first request gets the reply of a runner that is then still registered
 * as ready; the others come when a second runner is registered. */
typedef struct {
    const char *name;
    canned_reply_t reply;
    const char *service;
    const char *path;
    const char *expected; /* in the response to the first request */
    bool stays;           /* it gets further requests */
    bool listed_again;    /* it is registered again, as ready */
    bool restarted;       /* the same, as started anew */
} leaving_case_t;

static const leaving_case_t cases[] = {
    {"a success says so",
     {"HTTP/1.1 200 OK\r\n" RUNNER_HEADERS LEAVING
      "Content-Length: 5\r\n\r\nfirst",
      0, CANNED_KEEP},
     "plain",
     "/unsafe/p",
     "first",
     false,
     false,
     false},
    {"an error says so",
     {"HTTP/1.1 500 Error\r\n" RUNNER_HEADERS LEAVING
      "Content-Length: 5\r\n\r\nfirst",
      0, CANNED_KEEP},
     "plain",
     "/unsafe/p",
     "first",
     false,
     false,
     false},
    {"a rejection says so",
     {"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n" LEAVING
      "Content-Length: 0\r\n\r\n",
      0, CANNED_KEEP},
     "plain",
     "/unsafe/p",
     "HTTP/1.1 503",
     false,
     false,
     false},
    {"the head of a stream says so",
     {"HTTP/1.1 200 OK\r\n" RUNNER_HEADERS LEAVING
      "Content-Type: text/event-stream\r\n"
      "Content-Length: 19\r\n\r\nid: 0\ndata: first\n\n",
      0, CANNED_KEEP},
     "engine",
     "/stream/p",
     "data: first",
     false,
     false,
     false},
    {"an entry of the registry does not undo it",
     {"HTTP/1.1 200 OK\r\n" RUNNER_HEADERS LEAVING
      "Content-Length: 5\r\n\r\nfirst",
      0, CANNED_KEEP},
     "plain",
     "/unsafe/p",
     "first",
     false,
     true,
     false},
    {"a restart undoes it",
     {"HTTP/1.1 200 OK\r\n" RUNNER_HEADERS LEAVING
      "Content-Length: 5\r\n\r\nfirst",
      0, CANNED_KEEP},
     "plain",
     "/unsafe/p",
     "first",
     true,
     false,
     true},
    {"another value is no such sign",
     {"HTTP/1.1 200 OK\r\n" RUNNER_HEADERS
      "Server-Leaving: 0\r\nContent-Length: 5\r\n\r\nfirst",
      0, CANNED_KEEP},
     "plain",
     "/unsafe/p",
     "first",
     true,
     false,
     false},
};

static void
send_and_wait(gateway_host_t *host, const char *path, const char *expected)
{
    raw_caller_t *caller = raw_caller_new(host, host->listen_address);
    arena_t arena = {0};

    raw_caller_send(caller,
                    arena_printf(&arena,
                                 "GET %s HTTP/1.1\r\nHost: host.example\r\n"
                                 "Attempt-Id: q1\r\n"
                                 "Authorization: Bearer k1\r\n\r\n",
                                 path));
    ck_assert_msg(raw_caller_wait(caller, expected), "got\n%s",
                  raw_caller_bytes(caller));
    raw_caller_free(caller);
    gateway_host_settle(host);
    arena_free(&arena);
}

static void
list_again(gateway_host_t *host, const leaving_case_t *test)
{
    arena_t arena = {0};

    gateway_host_put(
        host, "servers/runner-1",
        arena_printf(&arena,
                     "{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%d\","
                     "\"Zone\":\"a\",\"BatchSize\":4,\"State\":\"ready\","
                     "\"born\":%d}",
                     test->service, canned_port(host->runners[0]),
                     test->restarted ? 1 : 0));
    gateway_host_settle(host);
    arena_free(&arena);
}

START_TEST(test_runner_that_says_it_leaves_gets_no_requests)
{
    const leaving_case_t *test = &cases[_i];
    bool stream = strcmp(test->service, "engine") == 0;
    gateway_host_t host;
    size_t before;
    int i;

    gateway_host_open(&host);
    gateway_host_runner(&host, "runner-1", test->service, "a", &test->reply,
                        1);
    gateway_host_settle(&host);
    send_and_wait(&host, test->path, test->expected);
    before = canned_requests(host.runners[0]);
    if (test->listed_again || test->restarted) {
        list_again(&host, test);
    }
    gateway_host_runner(&host, "runner-2", test->service, "b",
                        stream ? &sound_stream : &sound_reply, 1);
    gateway_host_settle(&host);
    for (i = 0; i < FURTHER_REQUESTS; i++) {
        send_and_wait(&host, test->path, "HTTP/1.1 ");
    }
    ck_assert_msg((canned_requests(host.runners[0]) > before) == test->stays,
                  "%s: %zu further requests", test->name,
                  canned_requests(host.runners[0]) - before);
    gateway_host_close(&host);
}
END_TEST

/* The runner of a stream that stands still is asked for a report. */
static const struct {
    const char *name;
    const char *report;
} reports[] = {
    {"a header of the report says so",
     "HTTP/1.1 200 OK\r\n" LEAVING "Content-Length: 2\r\n\r\n{}"},
    {"a failed report says so",
     "HTTP/1.1 503 Leaving\r\n" LEAVING "Content-Length: 0\r\n\r\n"},
    {"the state in a report says so",
     "HTTP/1.1 200 OK\r\nContent-Length: 52\r\n\r\n"
     "{\"Active\":1,\"Queued\":0,\"Runs\":[],\"State\":\"draining\"}"},
};

START_TEST(test_report_of_leaving_runner)
{
    const canned_reply_t replies[] = {{"", 0, CANNED_KEEP},
                                      {reports[_i].report, 0, CANNED_KEEP}};
    gateway_host_t host;
    raw_caller_t *caller;
    size_t before;
    int i;

    gateway_host_open(&host);
    gateway_host_runner(&host, "runner-1", "engine", "a", replies, 2);
    gateway_host_settle(&host);
    caller = raw_caller_new(&host, host.listen_address);
    raw_caller_send(caller, "GET /stream/p HTTP/1.1\r\nHost: host.example\r\n"
                            "Attempt-Id: q1\r\n"
                            "Authorization: Bearer k1\r\n\r\n");
    while (canned_requests(host.runners[0]) < 2) {
        gateway_host_settle(&host);
    }
    raw_caller_free(caller);
    gateway_host_runner(&host, "runner-2", "engine", "b", &sound_stream, 1);
    gateway_host_settle(&host);
    before = canned_requests(host.runners[0]);
    for (i = 0; i < FURTHER_REQUESTS; i++) {
        send_and_wait(&host, "/stream/p", "HTTP/1.1 ");
    }
    ck_assert_msg(canned_requests(host.runners[0]) == before,
                  "%s: %zu further requests", reports[_i].name,
                  canned_requests(host.runners[0]) - before);
    gateway_host_close(&host);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("leaving");

    (void)signal(SIGPIPE, SIG_IGN); /* as the daemon does */
    tcase_add_loop_test(tcase,
                        test_runner_that_says_it_leaves_gets_no_requests, 0,
                        COUNT(cases));
    tcase_add_loop_test(tcase, test_report_of_leaving_runner, 0,
                        COUNT(reports));
    return fixture_main("leaving", tcase);
}
