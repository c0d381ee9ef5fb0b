/* test_journal.c - a host's log of events gives the same actions again. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "regress/canned.h"
#include "regress/host.h"

enum { ENOUGH_MS = 20000, STEPS_LEAST = 12 };

#define LOG "test_journal.xdr"
#define ASK "{\"model\":\"planner\",\"prompt\":\"hi\",\"stream\":true}"
#define SPEECH                                                                \
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"              \
    "data: {\"choices\":[{\"index\":0,\"text\":\"Check\",\"finish_reason\":"  \
    "null,\"prompt_token_ids\":[5],\"token_ids\":[11]}]}\n\n"

/* The engine dies after a token, knows nothing of it, and speaks again. */
static const canned_reply_t engine_says[] = {
    {SPEECH, 0, CANNED_RESET},
    {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", 0, CANNED_KEEP},
    {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
     "data: {\"choices\":[{\"index\":0,\"text\":\" oil\",\"finish_reason\":"
     "\"stop\",\"prompt_token_ids\":[5,11],\"token_ids\":[12]}]}\n\n"
     "data: [DONE]\n\n",
     0, CANNED_CLOSE},
};

/* No event is of this kind. */
static const event_kind_t nothing = (event_kind_t)0;

static void record(void);
static void on_enough(uv_timer_t *timer);
static size_t replay(const char *path, event_kind_t without,
                     size_t *differing);

START_TEST(test_replay)
{
    static const event_kind_t kinds[] = {EVENT_CONFIG, EVENT_REQUEST,
                                         EVENT_CHUNK, EVENT_LOSS};
    size_t differing = 0;
    size_t steps;
    size_t i;

    record();
    steps = replay(LOG, nothing, &differing);
    ck_assert_uint_ge(steps, STEPS_LEAST);
    ck_assert_uint_eq(differing, 0);
    /* Without some of its events the history is another one. */
    for (i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
        differing = 0;
        (void)replay(LOG, kinds[i], &differing);
        ck_assert_uint_gt(differing, 0);
    }
    (void)unlink(LOG);
}
END_TEST

/* A whole answer, over an engine that dies in the middle of it. */
static void
record(void)
{
    const char *headers[] = {HOST_ORG, NULL};
    http_request_t request = {.method = "POST",
                              .headers = headers,
                              .body = ASK,
                              .body_bytes = strlen(ASK),
                              .connect_timeout_ms = ENOUGH_MS};
    uv_loop_t loop;
    uv_timer_t enough;
    host_t host;
    http_client_t *client;
    canned_t *engine;
    host_reply_t reply;

    (void)uv_loop_init(&loop);
    (void)uv_timer_init(&loop, &enough);
    (void)uv_timer_start(&enough, on_enough, ENOUGH_MS, 0);
    engine = canned_new(&loop, engine_says, 3);
    host_start(&host, &loop, canned_port(engine),
               "[debug]\nevent_log = \"" LOG "\"\n");
    client = http_client_new(&loop);
    request.url = arena_printf(&host.arena, "http://%s/v1/completions",
                               host_address(&host));
    host_ask(&loop, client, &request, &reply);
    ck_assert_uint_eq(reply.status, 200);
    text_free(&reply.body);
    host_stop(&host);
    http_client_free(client);
    canned_free(engine);
    uv_close((uv_handle_t *)&enough, NULL);
    while (uv_run(&loop, UV_RUN_NOWAIT) != 0) {
    }
    ck_assert_int_eq(uv_loop_close(&loop), 0);
}

/* Counts the steps, and those whose actions differ without such events. */
static size_t
replay(const char *path, event_kind_t without, size_t *differing)
{
    FILE *file = fopen(path, "re");
    node_t *node = node_new();
    action_list_t actions = {0};
    journal_record_t step = {0};
    size_t steps = 0;

    while (file != NULL && journal_read(file, &step)) {
        steps++;
        if (step.event.kind != without) {
            node_step(node, step.now_us, &step.event, &actions);
            *differing += orders_digest(&actions) == step.digest ? 0 : 1;
            actions_reset(&actions);
        }
        xdr_free((xdrproc_t)xdr_event_t, (char *)&step.event);
    }
    actions_free(&actions);
    node_free(node);
    if (file != NULL) {
        (void)fclose(file);
    }
    return steps;
}

static void
on_enough(uv_timer_t *timer)
{
    ck_abort_msg("it took too long");
}

int
main(int argc, char **argv)
{
    Suite *suite = suite_create("journal");
    TCase *tcase = tcase_create("journal");
    SRunner *runner;
    size_t differing = 0;
    int failed;

    if (argc > 1) {
        size_t steps = replay(argv[1], nothing, &differing);

        (void)printf("%zu steps, %zu differ\n", steps, differing);
        return steps > 0 && differing == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    tcase_set_timeout(tcase, 2.0 * ENOUGH_MS / 1000);
    tcase_add_test(tcase, test_replay);
    suite_add_tcase(suite, tcase);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
