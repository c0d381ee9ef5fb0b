/* test_relay.c - requests that are relayed to a peer. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "regress/canned.h"
#include "regress/host.h"

enum { TEST_TIMEOUT_MS = 20000, CLOSED_PORT = 1 };

#define REQUEST_BODY                                                          \
    "{\"model\":\"planner\",\"prompt\":\"hi\",\"stream\":true}"

static const canned_reply_t no_reply = {"", 0, CANNED_KEEP};

/* What the peer does with a request, and the response to the caller. */
typedef struct {
    canned_reply_t peer;
    bool unreachable; /* nothing listens on the peer's port */
    const char *header;
    http_result_t result;
    uint32_t status;
    uint32_t retry_after_ms;
    const char *body;
    size_t peer_requests; /* requests that the peer received */
} relay_case_t;

static const relay_case_t cases[] = {
    {{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Content-Length: 15\r\n\r\nid: k.1\ndata: x",
      3, CANNED_KEEP},
     false,
     "Idempotency-Key: k",
     HTTP_DONE,
     200,
     0,
     "id: k.1\ndata: x",
     1},
    {{"HTTP/1.1 429 Too Many\r\nRetry-After: 2\r\nContent-Length: "
      "4\r\n\r\nlate",
      0, CANNED_KEEP},
     false,
     "Idempotency-Key: k",
     HTTP_DONE,
     429,
     2000,
     "late",
     1},
    {{"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nid: k.1\n", 0,
      CANNED_RESET},
     false,
     "Idempotency-Key: k",
     HTTP_CONNECTION_LOST,
     200,
     0,
     "id: k.1\n",
     1},
    {{"", 0, CANNED_RESET},
     false,
     "Idempotency-Key: k",
     HTTP_DONE,
     503,
     1000,
     "\"kind\":\"leaving\",\"message\":\"the host is leaving and its relay to "
     "a peer failed: ask GET /v1/hosts for another\",\"run\":"
     "\"unknown\"",
     1},
    {{"", 0, CANNED_KEEP},
     true,
     "Idempotency-Key: k",
     HTTP_DONE,
     503,
     1000,
     "\"run\":\"not-run\"",
     0},
    {{"", 0, CANNED_KEEP},
     false,
     "X-Relayed-By: a2",
     HTTP_DONE,
     503,
     1000,
     "\"message\":\"the host is leaving: ask GET /v1/hosts for another\","
     "\"run\":\"not-run\"",
     0},
};

static void on_test_timeout(uv_timer_t *timer);
static void apply_relay_action(host_t *host, uv_loop_t *loop, int port);

START_TEST(relay_returns_peer_response)
{
    const relay_case_t *row = &cases[_i];
    uv_loop_t loop;
    uv_timer_t timeout;
    host_t host;
    http_client_t *client;
    canned_t *engine;
    canned_t *peer;
    host_call_t *call;
    host_reply_t reply;
    const char *headers[] = {HOST_ORG, row->header, NULL};
    http_request_t request = {.method = "POST",
                              .headers = headers,
                              .body = REQUEST_BODY,
                              .body_bytes = strlen(REQUEST_BODY),
                              .connect_timeout_ms = TEST_TIMEOUT_MS};

    (void)uv_loop_init(&loop);
    (void)uv_timer_init(&loop, &timeout);
    (void)uv_timer_start(&timeout, on_test_timeout, TEST_TIMEOUT_MS, 0);
    engine = canned_new(&loop, &no_reply, 1);
    peer = canned_new(&loop, &row->peer, 1);
    host_start(&host, &loop, canned_port(engine), "");
    client = http_client_new(&loop);
    request.url = arena_printf(&host.arena, "http://%s/v1/completions?a=b",
                               host_address(&host));
    call = host_call(client, &request);
    apply_relay_action(&host, &loop,
                       row->unreachable ? CLOSED_PORT : canned_port(peer));
    host_await(&loop, call, &reply);
    ck_assert_int_eq(reply.result, row->result);
    ck_assert_uint_eq(reply.status, row->status);
    ck_assert_uint_eq(reply.retry_after_ms, row->retry_after_ms);
    ck_assert_msg(strstr(reply.body.bytes, row->body) != NULL, "%s",
                  reply.body.bytes);
    ck_assert_uint_eq(canned_requests(peer), row->peer_requests);
    if (row->peer_requests > 0) {
        const char *last = canned_last(peer);

        ck_assert_ptr_eq(strstr(last, "POST /v1/completions?a=b HTTP/1.1\r\n"),
                         last);
        ck_assert_ptr_nonnull(strstr(last, HOST_ORG "\r\n"));
        ck_assert_ptr_nonnull(strstr(last, "Idempotency-Key: k\r\n"));
        ck_assert_ptr_nonnull(strstr(last, "X-Relayed-By: a1\r\n"));
        ck_assert_ptr_nonnull(strstr(last, "\r\n\r\n" REQUEST_BODY));
    }
    text_free(&reply.body);
    host_stop(&host);
    http_client_free(client);
    canned_free(peer);
    canned_free(engine);
    uv_close((uv_handle_t *)&timeout, NULL);
    while (uv_run(&loop, UV_RUN_NOWAIT) != 0) {
    }
    ck_assert_int_eq(uv_loop_close(&loop), 0);
}
END_TEST

/* Applies ACTION_RELAY as the decision core would, after the request. */
static void
apply_relay_action(host_t *host, uv_loop_t *loop, int port)
{
    action_t action = {.kind = ACTION_RELAY};
    relay_action_t *relay = &action.action_t_u.relay;

    while (listener_find_body(host->daemon.listener, 1) == NULL) {
        (void)uv_run(loop, UV_RUN_ONCE);
    }
    relay->caller = 1;
    relay->host = arena_strdup(&host->arena, "a2");
    relay->address = arena_printf(&host->arena, "127.0.0.1:%d", port);
    listener_apply_action(host->daemon.listener, &action);
    action = (action_t){.kind = ACTION_FREE_BODY};
    action.action_t_u.free_body.body = 1;
    listener_apply_action(host->daemon.listener, &action);
}

static void
on_test_timeout(uv_timer_t *timer)
{
    ck_abort_msg("the test timed out");
}

int
main(void)
{
    Suite *suite = suite_create("relay");
    TCase *tcase = tcase_create("relay");
    SRunner *runner;
    int failed;

    tcase_set_timeout(tcase, 2.0 * TEST_TIMEOUT_MS / 1000);
    tcase_add_loop_test(tcase, relay_returns_peer_response, 0,
                        (int)(sizeof(cases) / sizeof(cases[0])));
    suite_add_tcase(suite, tcase);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
