/* test_daemon.c - HTTP requests to a daemon that runs in this process. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "regress/canned.h"
#include "regress/host.h"

enum { TIMEOUT_MS = 20000 };

#define ORG_KEY HOST_ORG
#define TEAM_KEY HOST_TEAM
#define OPERATOR_KEY HOST_OPS
/* An unfinished object, so that rows can add members. */
#define REQUEST_BODY_OPEN                                                     \
    "{\"model\":\"planner\",\"prompt\":\"hi\",\"max_tokens\":2"

/* The engine's reply to each request: two tokens. */
static const canned_reply_t engine_reply = {
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
    "6d\r\ndata: {\"choices\":[{\"index\":0,\"text\":\"Check\","
    "\"finish_reason\":null,\"prompt_token_ids\":[5],\"token_ids\":[11]}]}"
    "\n\n\r\n"
    "59\r\ndata: {\"choices\":[{\"index\":0,\"text\":\" oil\","
    "\"finish_reason\":\"length\",\"token_ids\":[12]}]}\n\n\r\n"
    "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n",
    0, CANNED_KEEP};

/* One request and its expected response; the rows run in this order. */
typedef struct {
    const char *method;
    const char *path;
    const char *key; /* the Authorization header, or NULL */
    const char *header;
    const char *body;
    uint32_t status;
    const char *contains;
} exchange_case_t;

static const exchange_case_t rows[] = {
    {"GET", "/healthz", NULL, NULL, NULL, 200, "\"status\":\"ok\""},
    {"GET", "/v1/hosts", NULL, NULL, NULL, 200,
     "{\"hosts\":[{\"host\":\"a1\",\"zone\":\"north\",\"address\":\"127.0."},
    {"GET", "/nowhere", NULL, NULL, NULL, 404, "no such path: use /v1/compl"},
    {"GET", "/v1/models", NULL, NULL, NULL, 401, "\"kind\":\"unauthorised\""},
    {"GET", "/v1/models", ORG_KEY, NULL, NULL, 200,
     "{\"id\":\"planner\",\"obje"},
    {"POST", "/v1/completions", NULL, NULL, REQUEST_BODY_OPEN "}", 401,
     "\"run\":\"not-run"},
    {"POST", "/v1/completions", ORG_KEY, NULL, "{", 400,
     "\"kind\":\"invalid\""},
    {"PUT", "/v1/completions", ORG_KEY, NULL, REQUEST_BODY_OPEN "}", 405,
     "send the request wi"},
    {"POST", "/v1/completions", ORG_KEY, NULL, REQUEST_BODY_OPEN "}", 200,
     "\"text\":\"Check oil\",\"logprobs\":null,\"finish_reason\":\"length\"}],"
     "\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":2,"},
    {"POST", "/v1/completions", ORG_KEY, "Idempotency-Key: k1",
     REQUEST_BODY_OPEN ",\"stream\":true}", 200,
     "id: k1.2~AQAAAAAANbV4Su6SEj8ACwzB_J-5xHRzqg\ndata: [DONE]\n\n"},
    {"GET", "/metrics", NULL, NULL, NULL, 200, "agated_finished_total 2\n"},
    {"GET", "/admin/v1/services", NULL, NULL, NULL, 401, "nobody has this k"},
    {"GET", "/admin/v1/services", ORG_KEY, NULL, NULL, 403, "another key"},
    {"GET", "/admin/v1/nothing", OPERATOR_KEY, NULL, NULL, 404, "not-found"},
    {"GET", "/admin/v1/services", TEAM_KEY, NULL, NULL, 200,
     "[{\"service\":\"plans\",\"team\":\"planning\",\"revision\":3}]"},
    {"GET", "/admin/v1/services/plans", TEAM_KEY, NULL, NULL, 200,
     "{\"revision\":3,\"text\":\"service = "},
    {"GET", "/admin/v1/services/none", TEAM_KEY, NULL, NULL, 404, "not-found"},
    {"GET", "/admin/v1/fleet", TEAM_KEY, NULL, NULL, 403, "forbidden"},
    {"GET", "/admin/v1/fleet", OPERATOR_KEY, NULL, NULL, 200,
     "{\"revision\":2,"},
    {"POST", "/admin/v1/check", TEAM_KEY, NULL, HOST_SERVICE("planning", "2"),
     200, "{\"valid\":true,\"service\":\"plans\"}"},
    {"POST", "/admin/v1/check", TEAM_KEY, NULL, HOST_SERVICE("planning", "0"),
     422, "document:9: weight = 0 is out of range"},
    {"PUT", "/admin/v1/services/plans", TEAM_KEY, NULL,
     HOST_SERVICE("planning", "2"), 428, "If-Match is no revision"},
    {"PUT", "/admin/v1/services/plans", TEAM_KEY, "If-Match: 2",
     HOST_SERVICE("planning", "2"), 409,
     "\"revision\":3,\"text\":\"service = "},
    {"PUT", "/admin/v1/services/plans", TEAM_KEY, "If-Match: 3",
     HOST_SERVICE("others", "2"), 403, "names another team"},
    {"PUT", "/admin/v1/services/other", TEAM_KEY, "If-Match: 0",
     HOST_SERVICE("planning", "2"), 422, "another service's than the path"},
    {"PUT", "/admin/v1/services/plans", TEAM_KEY, "If-Match: 3",
     HOST_SERVICE("planning", "2"), 200, "\"in_force\":true"},
    /* The same request again, as after a lost response, writes nothing. */
    {"PUT", "/admin/v1/services/plans", TEAM_KEY, "If-Match: 3",
     HOST_SERVICE("planning", "2"), 200, "\"in_force\":true"},
    {"PUT", "/admin/v1/services/plans", OPERATOR_KEY, "If-Match: 3",
     HOST_SERVICE("others", "2"), 409, "\"kind\":\"conflict\""},
    {"GET", "/admin/v1/services/plans/history", TEAM_KEY, NULL, NULL, 200,
     "\"replaced\":3,\"text\":\"service = "},
    {"GET", "/admin/v1/services/plans", TEAM_KEY, NULL, NULL, 200,
     "weight = 2\\n"},
    {"GET", "/admin/v1/hosts", TEAM_KEY, NULL, NULL, 200, "\"host\":\"a1\""},
    {"GET", "/admin/v1/runners", TEAM_KEY, NULL, NULL, 200,
     "\"runner\":\"r1\""},
    {"GET", "/admin/v1/burn", TEAM_KEY, NULL, NULL, 200,
     "{\"target_ppm\":950000,\"burn\":[{\"service\":\"plans\",\"window\":"
     "\"5m\",\"within\":2,\"out\":0},"},
    {"GET", "/admin/v1/burn", ORG_KEY, NULL, NULL, 403, "forbidden"},
    {"GET", "/metrics", NULL, NULL, NULL, 200,
     "agated_objective_requests_total{service=\"plans\",result=\"within\"} 2"},
    {"GET", "/admin/v1/requests", ORG_KEY, NULL, NULL, 200, "\"requests\":["},
    {"POST", "/admin/v1/drain", TEAM_KEY, NULL, NULL, 403, "forbidden"},
    {"POST", "/admin/v1/drain", OPERATOR_KEY, NULL, NULL, 200,
     "\"leaving\":true"},
};

static void on_timeout(uv_timer_t *timer);
static void run_row(uv_loop_t *loop, http_client_t *client,
                    const char *address, const exchange_case_t *row);

START_TEST(test_requests_get_expected_responses)
{
    uv_loop_t loop;
    uv_timer_t timeout;
    host_t host;
    http_client_t *client;
    canned_t *engine;
    size_t i;

    (void)uv_loop_init(&loop);
    (void)uv_timer_init(&loop, &timeout);
    (void)uv_timer_start(&timeout, on_timeout, TIMEOUT_MS, 0);
    engine = canned_new(&loop, &engine_reply, 1);
    host_start(&host, &loop, canned_port(engine), "");
    client = http_client_new(&loop);
    for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        run_row(&loop, client, host_address(&host), &rows[i]);
    }
    host_stop(&host);
    ck_assert_uint_eq(uv_is_active((uv_handle_t *)&timeout), 1);
    http_client_free(client);
    canned_free(engine);
    uv_close((uv_handle_t *)&timeout, NULL);
    while (uv_run(&loop, UV_RUN_NOWAIT) != 0) {
    }
    ck_assert_int_eq(uv_loop_close(&loop), 0);
}
END_TEST

static void
run_row(uv_loop_t *loop, http_client_t *client, const char *address,
        const exchange_case_t *row)
{
    arena_t arena = {0};
    host_reply_t reply = {0};
    const char *headers[] = {row->key, row->header, NULL};
    http_request_t request = {
        .method = row->method,
        .url = arena_printf(&arena, "http://%s%s", address, row->path),
        .headers = row->key == NULL ? headers + 2 : headers,
        .body = row->body,
        .body_bytes = row->body == NULL ? 0 : strlen(row->body),
        .connect_timeout_ms = TIMEOUT_MS,
        .timeout_ms = TIMEOUT_MS};

    host_ask(loop, client, &request, &reply);
    ck_assert_msg(reply.result == HTTP_DONE && reply.status == row->status,
                  "%s %s: result %d, status %u: %s", row->method, row->path,
                  reply.result, reply.status, reply.body.bytes);
    ck_assert_msg(strstr(reply.body.bytes, row->contains) != NULL,
                  "%s %s: \"%s\" not in: %s", row->method, row->path,
                  row->contains, reply.body.bytes);
    text_free(&reply.body);
    arena_free(&arena);
}

static void
on_timeout(uv_timer_t *timer)
{
    uv_stop(timer->loop);
}

int
main(void)
{
    Suite *suite = suite_create("daemon");
    TCase *tcase = tcase_create("daemon");
    SRunner *runner;
    int failed;

    tcase_set_timeout(tcase, 2.0 * TIMEOUT_MS / 1000);
    tcase_add_test(tcase, test_requests_get_expected_responses);
    suite_add_tcase(suite, tcase);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
