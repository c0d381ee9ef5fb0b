/* test_endless_response.c - tests that no part of a runner's response can grow
 * without bound, on any kind of call. */
#include <malloc.h>
#include <string.h>

#include "base/arena.h"
#include "regress/fixture.h"
#include "regress/gateway_host.h"
#include "regress/turn.h"

#define RUNNER_HEADERS "Attempt-Id: q1\r\nServer-Stamp: s1\r\n"
#define OK "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK RUNNER_HEADERS "Transfer-Encoding: chunked\r\n\r\n"
#define STREAM                                                                \
    OK RUNNER_HEADERS "Content-Type: text/event-stream\r\n"                   \
                      "Transfer-Encoding: chunked\r\n\r\n"
#define EVENT "12\r\nid: 0\ndata: first\n\n\r\n"

enum {
    MB = 1 << 20,
    /* What a call may receive, and what the sockets hold beyond that. */
    RESPONSE_MAX_BYTES = 16 * MB,
    SOCKETS_MAX_BYTES = 12 * MB,
    MEMORY_MB = 120,
    RESPONSES = 24,
};

/* The last unit_bytes of bytes come again and again. */
typedef struct {
    const char *name;
    const char *bytes;
    size_t unit_bytes;
    bool kept; /* its bytes are no body: much less of them is taken */
} endless_case_t;

static const endless_case_t cases[] = {
    {"fields of a head", OK RUNNER_HEADERS "A: b\r\n", 6, true},
    {"one field of a head", OK RUNNER_HEADERS "A: bbbbbbbb", 8, true},
    {"a status line", "HTTP/1.1 200 OOOOOOOO", 8, true},
    {"interim responses", "HTTP/1.1 103 Early\r\nA: b\r\n\r\n", 28, true},
    {"a body with chunks", CHUNKED "5\r\nhello\r\n", 10, false},
    {"chunks of one byte", CHUNKED "1\r\nh\r\n", 6, false},
    {"the size of a chunk", CHUNKED "00000000", 8, false},
    {"the extension of a chunk", CHUNKED "5;xxxxxxxx", 8, false},
    {"trailers", CHUNKED "5\r\nhello\r\n0\r\nA: b\r\n", 6, true},
    {"one trailer", CHUNKED "5\r\nhello\r\n0\r\nA: bbbbbbbb", 8, true},
    {"a body that ends with the connection", OK RUNNER_HEADERS "\r\nhhhhhhhh",
     8, false},
    {"the body of an error",
     "HTTP/1.1 500 E\r\n" RUNNER_HEADERS "\r\nhhhhhhhh", 8, false},
    {"the body of a rejection",
     "HTTP/1.1 503 F\r\nNot-Executed: 1\r\n\r\nhhhhhhhh", 8, false},
    {"bytes that are no HTTP", "zzzzzzzz", 8, true},
};

static const endless_case_t stream_cases[] = {
    {"trailers of a stream", STREAM EVENT "0\r\nA: b\r\n", 6, true},
    {"comments of a stream", STREAM EVENT "4\r\n:c\n\n\r\n", 9, false},
    {"an event without end", STREAM EVENT "8\r\ndddddddd\r\n", 13, false},
    {"an event that comes again", STREAM EVENT "b\r\nid: 0\nd:\n\n\r\n", 16,
     false},
    {"fields of a stream's head", OK RUNNER_HEADERS "A: b\r\n", 6, true},
    {"the extension of a stream's chunk", STREAM EVENT "5;xxxxxxxx", 8, false},
};

static const canned_reply_t sound_reply = {
    OK RUNNER_HEADERS "Content-Length: 5\r\n\r\nsound", 0, CANNED_KEEP};
static const canned_reply_t sound_rest = {
    OK RUNNER_HEADERS "Content-Type: text/event-stream\r\n"
                      "Content-Length: 18\r\n\r\nid: 1\ndata: last\n\n",
    0, CANNED_KEEP};

static canned_reply_t
endless(const endless_case_t *test)
{
    return (canned_reply_t){.bytes = test->bytes,
                            .split = test->unit_bytes,
                            .end = CANNED_ENDLESS};
}

static raw_caller_t *
ask(gateway_host_t *host, const char *path)
{
    raw_caller_t *caller = raw_caller_new(host, host->listen_address);
    arena_t arena = {0};

    raw_caller_send(caller,
                    arena_printf(&arena,
                                 "GET %s HTTP/1.1\r\nHost: host.example\r\n"
                                 "Attempt-Id: q1\r\n"
                                 "Authorization: Bearer k1\r\n\r\n",
                                 path));
    arena_free(&arena);
    return caller;
}

static void
check_taken(const endless_case_t *test, const canned_t *runner)
{
    size_t max_bytes =
        SOCKETS_MAX_BYTES + (size_t)(test->kept ? 0 : RESPONSE_MAX_BYTES);

    ck_assert_msg(canned_endless_bytes(runner) < max_bytes,
                  "%s: %zu bytes were taken", test->name,
                  canned_endless_bytes(runner));
}

/* Whatever had run may not run again. */
START_TEST(test_unsafe_request_gets_an_error)
{
    const endless_case_t *test = &cases[_i];
    canned_reply_t reply = endless(test);
    gateway_host_t host;
    raw_caller_t *caller;

    gateway_host_open(&host);
    gateway_host_runner(&host, "plain-1", "plain", "a", &reply, 1);
    gateway_host_settle(&host);
    caller = ask(&host, "/unsafe/p");
    ck_assert_msg(raw_caller_wait(caller, "HTTP/1.1 502"), "%s: got\n%s",
                  test->name, raw_caller_bytes(caller));
    ck_assert_uint_gt(canned_requests(host.runners[0]), 0);
    check_taken(test, host.runners[0]);
    raw_caller_free(caller);
    gateway_host_close(&host);
}
END_TEST

START_TEST(test_safe_request_is_served_by_another_runner)
{
    const endless_case_t *test = &cases[_i];
    canned_reply_t replies[] = {endless(test), sound_reply};
    gateway_host_t host;
    raw_caller_t *caller;

    gateway_host_open(&host);
    gateway_host_runner(&host, "plain-1", "plain", "a", replies, 1);
    gateway_host_settle(&host);
    gateway_host_runner(&host, "plain-2", "plain", "b", &replies[1], 1);
    gateway_host_settle(&host);
    caller = ask(&host, "/safe/p");
    ck_assert_msg(raw_caller_wait(caller, "sound"), "%s: got\n%s", test->name,
                  raw_caller_bytes(caller));
    ck_assert_uint_gt(canned_requests(host.runners[0]), 0);
    check_taken(test, host.runners[0]);
    raw_caller_free(caller);
    gateway_host_close(&host);
}
END_TEST

START_TEST(test_stream_goes_on_at_another_runner)
{
    const endless_case_t *test = &stream_cases[_i];
    canned_reply_t replies[] = {endless(test), sound_rest};
    gateway_host_t host;
    raw_caller_t *caller;

    gateway_host_open(&host);
    gateway_host_runner(&host, "engine-1", "engine", "a", replies, 1);
    gateway_host_settle(&host);
    gateway_host_runner(&host, "engine-2", "engine", "b", &replies[1], 1);
    gateway_host_settle(&host);
    caller = ask(&host, "/stream/p");
    ck_assert_msg(raw_caller_wait(caller, "data: last"), "%s: got\n%.2000s",
                  test->name, raw_caller_bytes(caller));
    ck_assert_uint_gt(canned_requests(host.runners[0]), 0);
    check_taken(test, host.runners[0]);
    raw_caller_free(caller);
    gateway_host_close(&host);
}
END_TEST

/* Probes and copies. */
START_TEST(test_call_to_a_runner_ends)
{
    const endless_case_t *test = &cases[_i / 2];
    canned_reply_t reply = endless(test);
    gateway_host_t host;
    arena_t arena = {0};
    const char *address;

    gateway_host_open(&host);
    gateway_host_runner(&host, "plain-1", "plain", "a", &reply, 1);
    gateway_host_settle(&host);
    address =
        arena_printf(&arena, "127.0.0.1:%d", canned_port(host.runners[0]));
    if (_i % 2 == 0) {
        runner_call_probe(host.gateway.runner_calls, "plain-1", address,
                          60000);
    }
    else {
        runner_call_copy(host.gateway.runner_calls, 1,
                         &(copy_action_t){.attempt = 1,
                                          .request_id = "q1",
                                          .to = "127.0.0.1:1",
                                          .address = address,
                                          .timeout_ms = 60000});
    }
    while (canned_requests(host.runners[0]) == 0 ||
           canned_clients(host.runners[0]) > 0) {
        loop_turn(&host.fixture.loop);
    }
    ck_assert_msg(canned_endless_bytes(host.runners[0]) < SOCKETS_MAX_BYTES,
                  "%s: %zu bytes were taken", test->name,
                  canned_endless_bytes(host.runners[0]));
    gateway_host_close(&host);
    arena_free(&arena);
}
END_TEST

/* Each is far below its own bound; a small one beside them is served. */
START_TEST(test_many_responses_exceed_the_memory_of_the_host)
{
    static const endless_case_t body = {"a body", CHUNKED "5\r\nhello\r\n", 10,
                                        false};
    canned_reply_t reply = endless(&body);
    gateway_host_t host;
    raw_caller_t *callers[RESPONSES];
    raw_caller_t *sound;
    size_t before_bytes = 0;
    size_t most_bytes = 0;
    size_t i;

    gateway_host_open_limited(&host, MEMORY_MB, 0);
    gateway_host_runner(&host, "plain-1", "plain", "a", &reply, 1);
    gateway_host_settle(&host);
    before_bytes = mallinfo2().uordblks + mallinfo2().hblkhd;
    for (i = 0; i < RESPONSES; i++) {
        callers[i] = ask(&host, "/unsafe/p");
    }
    for (i = 0; i < RESPONSES; i++) {
        while (strstr(raw_caller_bytes(callers[i]), "HTTP/1.1 50") == NULL) {
            size_t now_bytes = mallinfo2().uordblks + mallinfo2().hblkhd;

            most_bytes = now_bytes > most_bytes ? now_bytes : most_bytes;
            loop_turn(&host.fixture.loop);
        }
    }
    ck_assert_msg(most_bytes < before_bytes + (size_t)MEMORY_MB / 2 * MB,
                  "%zu bytes in use, %zu before", most_bytes, before_bytes);
    gateway_host_runner(&host, "plain-2", "plain", "a", &sound_reply, 1);
    gateway_host_settle(&host);
    sound = ask(&host, "/safe/p");
    ck_assert(raw_caller_wait(sound, "sound"));
    for (i = 0; i < RESPONSES; i++) {
        raw_caller_free(callers[i]);
    }
    raw_caller_free(sound);
    gateway_host_close(&host);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("endless-response");

    tcase_add_loop_test(tcase, test_unsafe_request_gets_an_error, 0,
                        COUNT(cases) - 1);
    tcase_add_loop_test(tcase, test_safe_request_is_served_by_another_runner,
                        0, COUNT(cases));
    tcase_add_loop_test(tcase, test_stream_goes_on_at_another_runner, 0,
                        COUNT(stream_cases));
    tcase_add_loop_test(tcase, test_call_to_a_runner_ends, 0,
                        2 * COUNT(cases));
    tcase_add_test(tcase, test_many_responses_exceed_the_memory_of_the_host);
    return fixture_main("endless-response", tcase);
}
