/* test_daemon.c - the whole daemon in one process, over HTTP. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "agated/agated.h"
#include "agated/request.h"
#include "regress/canned.h"

enum { ENOUGH_MS = 20000 };

#define ORG "Authorization: Bearer org-key"
#define TEAM "Authorization: Bearer team-key"
#define OPS "Authorization: Bearer ops-key"
#define ASK "{\"model\":\"planner\",\"prompt\":\"hi\",\"max_tokens\":2"

#define SERVICE(team, weight)                                                 \
    "service = \"plans\"\nteam = \"" team "\"\nweighs = \"extra-work\"\n"     \
    "[[model]]\nname = \"planner\"\nversion = \"planner-v3\"\n"               \
    "[[organisation]]\nname = \"tarawhiti\"\nweight = " weight "\n"           \
    "[[kind]]\nname = \"plan\"\nurgency = \"batch\"\nidempotent = true\n"

/* What the engine says to every request: two tokens. */
static const canned_reply_t engine_says = {
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
    "6d\r\ndata: {\"choices\":[{\"index\":0,\"text\":\"Check\","
    "\"finish_reason\":null,\"prompt_token_ids\":[5],\"token_ids\":[11]}]}"
    "\n\n\r\n"
    "59\r\ndata: {\"choices\":[{\"index\":0,\"text\":\" oil\","
    "\"finish_reason\":\"length\",\"token_ids\":[12]}]}\n\n\r\n"
    "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n",
    0, CANNED_KEEP};

/* One request and its answer; the rows run in this order. */
typedef struct {
    const char *method;
    const char *path;
    const char *key; /* the whole header, or NULL */
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
    {"GET", "/v1/models", ORG, NULL, NULL, 200, "{\"id\":\"planner\",\"obje"},
    {"POST", "/v1/completions", NULL, NULL, ASK "}", 401, "\"run\":\"not-run"},
    {"POST", "/v1/completions", ORG, NULL, "{", 400, "\"kind\":\"invalid\""},
    {"PUT", "/v1/completions", ORG, NULL, ASK "}", 405, "send the request wi"},
    {"POST", "/v1/completions", ORG, NULL, ASK "}", 200,
     "\"text\":\"Check oil\",\"logprobs\":null,\"finish_reason\":\"length\"}],"
     "\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":2,"},
    {"POST", "/v1/completions", ORG, "Idempotency-Key: k1",
     ASK ",\"stream\":true}", 200,
     "id: k1.2~AQAAAAAAAAsM1O3m2db_VF8\ndata: [DONE]\n\n"},
    {"GET", "/metrics", NULL, NULL, NULL, 200, "agated_finished_total 2\n"},
    {"GET", "/admin/v1/services", NULL, NULL, NULL, 401, "nobody has this k"},
    {"GET", "/admin/v1/services", ORG, NULL, NULL, 403, "another key"},
    {"GET", "/admin/v1/nothing", OPS, NULL, NULL, 404, "not-found"},
    {"GET", "/admin/v1/services", TEAM, NULL, NULL, 200,
     "[{\"service\":\"plans\",\"team\":\"planning\",\"revision\":3}]"},
    {"GET", "/admin/v1/services/plans", TEAM, NULL, NULL, 200,
     "{\"revision\":3,\"text\":\"service = "},
    {"GET", "/admin/v1/services/none", TEAM, NULL, NULL, 404, "not-found"},
    {"GET", "/admin/v1/fleet", TEAM, NULL, NULL, 403, "forbidden"},
    {"GET", "/admin/v1/fleet", OPS, NULL, NULL, 200, "{\"revision\":2,"},
    {"POST", "/admin/v1/check", TEAM, NULL, SERVICE("planning", "2"), 200,
     "{\"valid\":true,\"service\":\"plans\"}"},
    {"POST", "/admin/v1/check", TEAM, NULL, SERVICE("planning", "0"), 422,
     "document:9: weight = 0 is out of range"},
    {"PUT", "/admin/v1/services/plans", TEAM, NULL, SERVICE("planning", "2"),
     428, "If-Match is no revision"},
    {"PUT", "/admin/v1/services/plans", TEAM, "If-Match: 2",
     SERVICE("planning", "2"), 409, "\"revision\":3,\"text\":\"service = "},
    {"PUT", "/admin/v1/services/plans", TEAM, "If-Match: 3",
     SERVICE("others", "2"), 403, "names another team"},
    {"PUT", "/admin/v1/services/other", TEAM, "If-Match: 0",
     SERVICE("planning", "2"), 422, "another service's than the path"},
    {"PUT", "/admin/v1/services/plans", TEAM, "If-Match: 3",
     SERVICE("planning", "2"), 200, "\"in_force\":true"},
    /* The same again, as after a lost answer: nothing is written. */
    {"PUT", "/admin/v1/services/plans", TEAM, "If-Match: 3",
     SERVICE("planning", "2"), 200, "\"in_force\":true"},
    {"PUT", "/admin/v1/services/plans", OPS, "If-Match: 3",
     SERVICE("others", "2"), 409, "\"kind\":\"conflict\""},
    {"GET", "/admin/v1/services/plans/history", TEAM, NULL, NULL, 200,
     "\"replaced\":3,\"text\":\"service = "},
    {"GET", "/admin/v1/services/plans", TEAM, NULL, NULL, 200,
     "weight = 2\\n"},
    {"GET", "/admin/v1/hosts", TEAM, NULL, NULL, 200, "\"host\":\"a1\""},
    {"GET", "/admin/v1/runners", TEAM, NULL, NULL, 200, "\"runner\":\"r1\""},
    {"GET", "/admin/v1/requests", ORG, NULL, NULL, 200, "\"requests\":["},
    {"POST", "/admin/v1/drain", TEAM, NULL, NULL, 403, "forbidden"},
    {"POST", "/admin/v1/drain", OPS, NULL, NULL, 200, "\"leaving\":true"},
};

/* One exchange under way. */
typedef struct {
    http_sink_t sink; /* first: reports come by it */
    uint32_t status;
    text_t body;
    bool done;
    http_result_t result;
} client_t;

static void on_head(http_sink_t *sink, uint32_t status,
                    const char *content_type, uint32_t retry_after_ms);
static void on_body(http_sink_t *sink, const char *bytes, size_t length);
static void on_done(http_sink_t *sink, http_result_t result);
static void on_enough(uv_timer_t *timer);
static void run_row(uv_loop_t *loop, http_client_t *client,
                    const char *address, const exchange_case_t *row);
static char *write_file(arena_t *arena, const char *text);
static char *make_fleet(arena_t *arena, int port);
static const char *digest(arena_t *arena, const char *header);

static const http_sink_ops_t sink_ops = {on_head, on_body, on_done};

START_TEST(test_exchanges)
{
    uv_loop_t loop;
    uv_timer_t enough;
    arena_t arena = {0};
    settings_t settings;
    daemon_t daemon = {.settings = &settings, .loop = &loop};
    http_client_t *client;
    canned_t *engine;
    char *fleet;
    char *service;
    char *text;
    err_t err = {0};
    size_t i;

    (void)uv_loop_init(&loop);
    (void)uv_timer_init(&loop, &enough);
    (void)uv_timer_start(&enough, on_enough, ENOUGH_MS, 0);
    engine = canned_new(&loop, &engine_says, 1);
    fleet = make_fleet(&arena, canned_port(engine));
    service = write_file(&arena, SERVICE("planning", "3"));
    text = arena_printf(&arena,
                        "host = \"a1\"\nzone = \"north\"\n[listen]\n"
                        "address = \"127.0.0.1:0\"\n[platform]\n"
                        "kind = \"memory\"\nfleet = \"%s\"\n"
                        "documents = [\"%s\"]\n",
                        fleet, service);
    ck_assert_msg(
        settings_parse(&settings, &arena, "f", text, strlen(text), &err) == 0,
        "%s", err.message);
    /* Event ids are sealed with this key. */
    settings.peers_key_file = REGRESS_DIR "/golden/peers.key";
    ck_assert_msg(daemon_open(&daemon, &err) == 0, "%s", err.message);
    daemon_start(&daemon);
    client = http_client_new(&loop);
    while (uv_run(&loop, UV_RUN_NOWAIT) != 0) {
        const char *name;

        if (node_role(dispatch_node(daemon.dispatch),
                      digest(&arena, "Bearer team-key"), &name) == ROLE_TEAM) {
            break;
        }
    }
    for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        run_row(&loop, client, listener_address(daemon.listener), &rows[i]);
    }
    /* The last row made the host leave: the loop ends by itself. */
    (void)uv_run(&loop, UV_RUN_DEFAULT);
    ck_assert_uint_eq(uv_is_active((uv_handle_t *)&enough), 1);
    http_client_free(client);
    canned_free(engine);
    uv_close((uv_handle_t *)&enough, NULL);
    daemon_close(&daemon);
    while (uv_run(&loop, UV_RUN_NOWAIT) != 0) {
    }
    ck_assert_int_eq(uv_loop_close(&loop), 0);
    (void)unlink(fleet);
    (void)unlink(service);
    arena_free(&arena);
}
END_TEST

static void
run_row(uv_loop_t *loop, http_client_t *client, const char *address,
        const exchange_case_t *row)
{
    arena_t arena = {0};
    client_t call = {.sink.ops = &sink_ops};
    const char *headers[] = {row->key, row->header, NULL};
    http_request_t request = {
        .method = row->method,
        .url = arena_printf(&arena, "http://%s%s", address, row->path),
        .headers = row->key == NULL ? headers + 2 : headers,
        .body = row->body,
        .body_bytes = row->body == NULL ? 0 : strlen(row->body),
        .connect_timeout_ms = ENOUGH_MS,
        .timeout_ms = ENOUGH_MS};

    (void)http_start(client, &request, &call.sink);
    while (!call.done) {
        (void)uv_run(loop, UV_RUN_ONCE);
    }
    text_append(&call.body, "", 1);
    ck_assert_msg(call.result == HTTP_DONE && call.status == row->status,
                  "%s %s: result %d, status %u: %s", row->method, row->path,
                  call.result, call.status, call.body.bytes);
    ck_assert_msg(strstr(call.body.bytes, row->contains) != NULL,
                  "%s %s: \"%s\" not in: %s", row->method, row->path,
                  row->contains, call.body.bytes);
    text_free(&call.body);
    arena_free(&arena);
}

static void
on_head(http_sink_t *sink, uint32_t status, const char *content_type,
        uint32_t retry_after_ms)
{
    ((client_t *)sink)->status = status;
}

static void
on_body(http_sink_t *sink, const char *bytes, size_t length)
{
    text_append(&((client_t *)sink)->body, bytes, length);
}

static void
on_done(http_sink_t *sink, http_result_t result)
{
    ((client_t *)sink)->result = result;
    ((client_t *)sink)->done = true;
}

static void
on_enough(uv_timer_t *timer)
{
    uv_stop(timer->loop);
}

static char *
make_fleet(arena_t *arena, int port)
{
    return write_file(
        arena,
        arena_printf(arena,
                     "[[runner]]\nname = \"r1\"\naddress = \"127.0.0.1:%d\"\n"
                     "zone = \"north\"\nkind = \"engine\"\n"
                     "models = [\"planner-v3\"]\n"
                     "[[organisation]]\nname = \"tarawhiti\"\n"
                     "key_sha256 = [\"%s\"]\n"
                     "[[team]]\nname = \"planning\"\nkey_sha256 = [\"%s\"]\n"
                     "[[operator]]\nname = \"ops\"\nkey_sha256 = [\"%s\"]\n",
                     port, digest(arena, "Bearer org-key"),
                     digest(arena, "Bearer team-key"),
                     digest(arena, "Bearer ops-key")));
}

static const char *
digest(arena_t *arena, const char *header)
{
    char *credential = arena_alloc(arena, CREDENTIAL_BYTES);

    request_credential(header, credential);
    return credential;
}

/* In the directory that the test runs in. */
static char *
write_file(arena_t *arena, const char *text)
{
    char *path = arena_strdup(arena, "test_daemon.XXXXXX");
    int fd = mkstemp(path);

    ck_assert_int_ge(fd, 0);
    ck_assert_int_eq(write(fd, text, strlen(text)), (int)strlen(text));
    (void)close(fd);
    return path;
}

int
main(void)
{
    Suite *suite = suite_create("daemon");
    TCase *tcase = tcase_create("daemon");
    SRunner *runner;
    int failed;

    tcase_set_timeout(tcase, 2.0 * ENOUGH_MS / 1000);
    tcase_add_test(tcase, test_exchanges);
    suite_add_tcase(suite, tcase);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
