/* test_store.c - documents and claims during faults of the store. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "regress/canned.h"
#include "regress/flaky.h"
#include "regress/host.h"

enum { TIME_LIMIT_MS = 20000, CLOSED_PORT = 1, TIMES_UNLIMITED = 1000000 };

#define KEY "/agatevale/services/plans"
#define OUR_DOCUMENT HOST_SERVICE("planning", "2")
#define THEIR_DOCUMENT HOST_SERVICE("planning", "7")

typedef struct {
    flaky_fault_t fault;
    size_t times;
    const char *other_document; /* written meanwhile; or NULL */
    uint32_t status;
    const char *body_text;  /* in the response */
    const char *final_text; /* in the document in the end */
} apply_case_t;

static const apply_case_t cases[] = {
    {FLAKY_NOTHING, 0, NULL, 200, "\"in_force\":true", "weight = 2\\n"},
    {FLAKY_LOSES, 1, NULL, 200, "\"in_force\":true", "weight = 2\\n"},
    {FLAKY_DROPS, 1, NULL, 200, "\"in_force\":true", "weight = 2\\n"},
    {FLAKY_REFUSES, 1, NULL, 200, "\"in_force\":true", "weight = 2\\n"},
    {FLAKY_DROPS, 3, NULL, 200, "\"in_force\":true", "weight = 2\\n"},
    {FLAKY_DROPS, TIMES_UNLIMITED, NULL, 503, "\"run\":\"unknown\"",
     "weight = 3\\n"},
    {FLAKY_LOSES, TIMES_UNLIMITED, NULL, 503, "\"run\":\"unknown\"",
     "weight = 2\\n"},
    {FLAKY_REFUSES, TIMES_UNLIMITED, NULL, 503, "\"run\":\"not-run\"",
     "weight = 3\\n"},
    /* Our document was in force before theirs, so the response says so. */
    {FLAKY_LOSES, 1, THEIR_DOCUMENT, 200, "\"in_force\":true",
     "weight = 7\\n"},
    {FLAKY_DROPS, 1, THEIR_DOCUMENT, 409, "\"kind\":\"conflict\"",
     "weight = 7\\n"},
};

#define ORDER "{\"model\":\"planner\",\"prompt\":\"parts\"}"

/* A request that may run at most once, and the store fault for its claim. */
typedef struct {
    flaky_fault_t fault;
    size_t times;
    uint32_t status;
    const char *body_text; /* in the response */
    bool is_run;
} claim_case_t;

static const claim_case_t claim_cases[] = {
    {FLAKY_NOTHING, 0, 200, "\"text\":\"Check\"", true},
    {FLAKY_LOSES, 1, 200, "\"text\":\"Check\"", true},
    {FLAKY_DROPS, 1, 200, "\"text\":\"Check\"", true},
    {FLAKY_REFUSES, 1, 200, "\"text\":\"Check\"", true},
    {FLAKY_LOSES, TIMES_UNLIMITED, 503, "\"run\":\"not-run\"", false},
    {FLAKY_DROPS, TIMES_UNLIMITED, 503, "\"run\":\"not-run\"", false},
    {FLAKY_REFUSES, TIMES_UNLIMITED, 503, "\"run\":\"not-run\"", false},
};

static const canned_reply_t engine_response = {
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
    "data: {\"choices\":[{\"index\":0,\"text\":\"Check\",\"finish_reason\":"
    "\"stop\",\"prompt_token_ids\":[5],\"token_ids\":[11]}]}\n\n"
    "data: [DONE]\n\n",
    0, CANNED_CLOSE};

static host_reply_t send_admin_request(uv_loop_t *loop, http_client_t *client,
                                       const host_t *host, const char *method,
                                       const char *body);
static void on_time_limit(uv_timer_t *timer);

START_TEST(apply_document_during_store_fault)
{
    const apply_case_t *row = &cases[_i];
    uv_loop_t loop;
    uv_timer_t time_limit;
    host_t host;
    http_client_t *client;
    host_reply_t reply;

    (void)uv_loop_init(&loop);
    (void)uv_timer_init(&loop, &time_limit);
    (void)uv_timer_start(&time_limit, on_time_limit, TIME_LIMIT_MS, 0);
    host_start_flaky(&host, &loop, CLOSED_PORT, "");
    client = http_client_new(&loop);
    flaky_swaps(host.daemon.platform, KEY, row->fault, row->times);
    if (row->other_document != NULL) {
        flaky_intrude(host.daemon.platform, KEY, row->other_document);
    }
    reply = send_admin_request(&loop, client, &host, "PUT", OUR_DOCUMENT);
    ck_assert_msg(reply.status == row->status &&
                      strstr(reply.body.bytes, row->body_text) != NULL,
                  "status %u: %s", reply.status, reply.body.bytes);
    text_free(&reply.body);
    reply = send_admin_request(&loop, client, &host, "GET", NULL);
    while (strstr(reply.body.bytes, row->final_text) == NULL) {
        text_free(&reply.body);
        reply = send_admin_request(&loop, client, &host, "GET", NULL);
    }
    text_free(&reply.body);
    host_stop(&host);
    http_client_free(client);
    uv_close((uv_handle_t *)&time_limit, NULL);
    while (uv_run(&loop, UV_RUN_NOWAIT) != 0) {
    }
    ck_assert_int_eq(uv_loop_close(&loop), 0);
}
END_TEST

/* The engine is called only if the claim is written. */
START_TEST(run_claimed_request_during_store_fault)
{
    static const char *const headers[] = {HOST_ORG, "X-Request-Kind: order",
                                          "Idempotency-Key: k1", NULL};
    const claim_case_t *row = &claim_cases[_i];
    uv_loop_t loop;
    uv_timer_t time_limit;
    host_t host;
    canned_t *engine;
    http_client_t *client;
    host_reply_t reply;
    http_request_t request = {.method = "POST",
                              .headers = headers,
                              .body = ORDER,
                              .body_bytes = strlen(ORDER),
                              .connect_timeout_ms = TIME_LIMIT_MS,
                              .timeout_ms = TIME_LIMIT_MS};

    (void)uv_loop_init(&loop);
    (void)uv_timer_init(&loop, &time_limit);
    (void)uv_timer_start(&time_limit, on_time_limit, TIME_LIMIT_MS, 0);
    engine = canned_new(&loop, &engine_response, 1);
    host_start_flaky(&host, &loop, canned_port(engine),
                     "[limits]\nqueue_wait_ms = 1500\n");
    client = http_client_new(&loop);
    flaky_swaps(host.daemon.platform, "/agatevale/claims/", row->fault,
                row->times);
    request.url = arena_printf(&host.arena, "http://%s/v1/completions",
                               host_address(&host));
    host_ask(&loop, client, &request, &reply);
    ck_assert_msg(reply.status == row->status &&
                      strstr(reply.body.bytes, row->body_text) != NULL,
                  "status %u: %s", reply.status, reply.body.bytes);
    ck_assert_uint_eq(
        node_counters(dispatch_node(host.daemon.dispatch))->attempts,
        row->is_run ? 1 : 0);
    text_free(&reply.body);
    host_stop(&host);
    http_client_free(client);
    canned_free(engine);
    uv_close((uv_handle_t *)&time_limit, NULL);
    while (uv_run(&loop, UV_RUN_NOWAIT) != 0) {
    }
    ck_assert_int_eq(uv_loop_close(&loop), 0);
}
END_TEST

static host_reply_t
send_admin_request(uv_loop_t *loop, http_client_t *client, const host_t *host,
                   const char *method, const char *body)
{
    static const char *const headers[] = {HOST_TEAM, "If-Match: 3", NULL};
    arena_t arena = {0};
    host_reply_t reply = {0};
    http_request_t request = {
        .method = method,
        .url = arena_printf(&arena, "http://%s/admin/v1/services/plans",
                            host_address(host)),
        .headers = headers,
        .body = body,
        .body_bytes = body == NULL ? 0 : strlen(body),
        .connect_timeout_ms = TIME_LIMIT_MS,
        .timeout_ms = TIME_LIMIT_MS};

    host_ask(loop, client, &request, &reply);
    arena_free(&arena);
    return reply;
}

static void
on_time_limit(uv_timer_t *timer)
{
    ck_abort_msg("time limit exceeded");
}

int
main(void)
{
    Suite *suite = suite_create("store");
    TCase *tcase = tcase_create("store");
    SRunner *runner;
    int failed;

    tcase_set_timeout(tcase, 2.0 * TIME_LIMIT_MS / 1000);
    tcase_add_loop_test(tcase, apply_document_during_store_fault, 0,
                        (int)(sizeof(cases) / sizeof(cases[0])));
    tcase_add_loop_test(tcase, run_claimed_request_during_store_fault, 0,
                        (int)(sizeof(claim_cases) / sizeof(claim_cases[0])));
    suite_add_tcase(suite, tcase);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
