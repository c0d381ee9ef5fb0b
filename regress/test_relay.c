/* test_relay.c - requests that are passed on to a peer. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "regress/canned.h"
#include "regress/host.h"

enum { ENOUGH_MS = 20000, CLOSED_PORT = 1 };

#define ASK "{\"model\":\"planner\",\"prompt\":\"hi\",\"stream\":true}"

static const canned_reply_t silence = {"", 0, CANNED_KEEP};

/* What the peer does with a request, and what its caller gets. */
typedef struct {
    canned_reply_t peer;
    bool away; /* nobody listens there */
    const char *header;
    http_result_t result;
    uint32_t status;
    uint32_t retry_after_ms;
    const char *body;
    size_t asked; /* requests that the peer got */
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
     HTTP_BROKEN,
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
     "\"kind\":\"leaving\",\"message\":\"the host is leaving and lost the one "
     "that it passed the request to: ask GET /v1/hosts for another\",\"run\":"
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

static void on_enough(uv_timer_t *timer);
static void relay(host_t *host, uv_loop_t *loop, int port);

START_TEST(test_relays)
{
    const relay_case_t *row = &cases[_i];
    uv_loop_t loop;
    uv_timer_t enough;
    host_t host;
    http_client_t *client;
    canned_t *engine;
    canned_t *peer;
    host_call_t *call;
    host_reply_t reply;
    const char *headers[] = {HOST_ORG, row->header, NULL};
    http_request_t request = {.method = "POST",
                              .headers = headers,
                              .body = ASK,
                              .body_bytes = strlen(ASK),
                              .connect_timeout_ms = ENOUGH_MS};

    (void)uv_loop_init(&loop);
    (void)uv_timer_init(&loop, &enough);
    (void)uv_timer_start(&enough, on_enough, ENOUGH_MS, 0);
    engine = canned_new(&loop, &silence, 1);
    peer = canned_new(&loop, &row->peer, 1);
    host_start(&host, &loop, canned_port(engine), "");
    client = http_client_new(&loop);
    request.url = arena_printf(&host.arena, "http://%s/v1/completions?a=b",
                               host_address(&host));
    call = host_call(client, &request);
    relay(&host, &loop, row->away ? CLOSED_PORT : canned_port(peer));
    host_await(&loop, call, &reply);
    ck_assert_int_eq(reply.result, row->result);
    ck_assert_uint_eq(reply.status, row->status);
    ck_assert_uint_eq(reply.retry_after_ms, row->retry_after_ms);
    ck_assert_msg(strstr(reply.body.bytes, row->body) != NULL, "%s",
                  reply.body.bytes);
    ck_assert_uint_eq(canned_requests(peer), row->asked);
    if (row->asked > 0) {
        const char *last = canned_last(peer);

        ck_assert_ptr_eq(strstr(last, "POST /v1/completions?a=b HTTP/1.1\r\n"),
                         last);
        ck_assert_ptr_nonnull(strstr(last, HOST_ORG "\r\n"));
        ck_assert_ptr_nonnull(strstr(last, "Idempotency-Key: k\r\n"));
        ck_assert_ptr_nonnull(strstr(last, "X-Relayed-By: a1\r\n"));
        ck_assert_ptr_nonnull(strstr(last, "\r\n\r\n" ASK));
    }
    text_free(&reply.body);
    host_stop(&host);
    http_client_free(client);
    canned_free(peer);
    canned_free(engine);
    uv_close((uv_handle_t *)&enough, NULL);
    while (uv_run(&loop, UV_RUN_NOWAIT) != 0) {
    }
    ck_assert_int_eq(uv_loop_close(&loop), 0);
}
END_TEST

/* As the node orders it, once the request has come in. */
static void
relay(host_t *host, uv_loop_t *loop, int port)
{
    action_t action = {.kind = ACTION_RELAY};
    relay_action_t *relay_order = &action.action_t_u.relay;

    while (listener_body(host->daemon.listener, 1) == NULL) {
        (void)uv_run(loop, UV_RUN_ONCE);
    }
    relay_order->caller = 1;
    relay_order->host = arena_strdup(&host->arena, "a2");
    relay_order->address = arena_printf(&host->arena, "127.0.0.1:%d", port);
    listener_order(host->daemon.listener, &action);
    action = (action_t){.kind = ACTION_FREE_BODY};
    action.action_t_u.free_body.body = 1;
    listener_order(host->daemon.listener, &action);
}

static void
on_enough(uv_timer_t *timer)
{
    ck_abort_msg("it took too long");
}

int
main(void)
{
    Suite *suite = suite_create("relay");
    TCase *tcase = tcase_create("relay");
    SRunner *runner;
    int failed;

    tcase_set_timeout(tcase, 2.0 * ENOUGH_MS / 1000);
    tcase_add_loop_test(tcase, test_relays, 0,
                        (int)(sizeof(cases) / sizeof(cases[0])));
    suite_add_tcase(suite, tcase);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
