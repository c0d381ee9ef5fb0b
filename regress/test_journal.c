/* test_journal.c - replaying an event log reproduces the same actions. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "regress/canned.h"
#include "regress/host.h"

enum { TIMEOUT_MS = 20000, STEPS_MIN = 12 };

#define LOG "test_journal.xdr"
#define REQUEST_BODY                                                          \
    "{\"model\":\"planner\",\"prompt\":\"hi\",\"stream\":true}"
#define FIRST_TOKEN_RESPONSE                                                  \
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"              \
    "data: {\"choices\":[{\"index\":0,\"text\":\"Check\",\"finish_reason\":"  \
    "null,\"prompt_token_ids\":[5],\"token_ids\":[11]}]}\n\n"

/*
 * The engine loses its connection after one token, does not know the stream
 * any more, and completes a new one.
 */
static const canned_reply_t engine_replies[] = {
    {FIRST_TOKEN_RESPONSE, 0, CANNED_RESET},
    {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", 0, CANNED_KEEP},
    {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
     "data: {\"choices\":[{\"index\":0,\"text\":\" oil\",\"finish_reason\":"
     "\"stop\",\"prompt_token_ids\":[5,11],\"token_ids\":[12]}]}\n\n"
     "data: [DONE]\n\n",
     0, CANNED_CLOSE},
};

/* No event has this kind, so replay() omits none. */
static const event_kind_t no_event = (event_kind_t)0;

static void record_event_log(void);
static void on_timeout(uv_timer_t *timer);
static size_t replay(const char *path, event_kind_t omitted,
                     size_t *differing);

START_TEST(test_replay_gives_recorded_actions)
{
    static const event_kind_t kinds[] = {EVENT_CONFIG, EVENT_REQUEST,
                                         EVENT_CHUNK, EVENT_LOSS};
    size_t differing = 0;
    size_t steps;
    size_t i;

    record_event_log();
    steps = replay(LOG, no_event, &differing);
    ck_assert_uint_ge(steps, STEPS_MIN);
    ck_assert_uint_eq(differing, 0);
    /* Without one kind of events the replayed actions must differ. */
    for (i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
        differing = 0;
        (void)replay(LOG, kinds[i], &differing);
        ck_assert_uint_gt(differing, 0);
    }
    (void)unlink(LOG);
}
END_TEST

/* Records a complete response whose engine fails during it. */
static void
record_event_log(void)
{
    const char *headers[] = {HOST_ORG, NULL};
    http_request_t request = {.method = "POST",
                              .headers = headers,
                              .body = REQUEST_BODY,
                              .body_bytes = strlen(REQUEST_BODY),
                              .connect_timeout_ms = TIMEOUT_MS};
    uv_loop_t loop;
    uv_timer_t timeout;
    host_t host;
    http_client_t *client;
    canned_t *engine;
    host_reply_t reply;

    (void)uv_loop_init(&loop);
    (void)uv_timer_init(&loop, &timeout);
    (void)uv_timer_start(&timeout, on_timeout, TIMEOUT_MS, 0);
    engine = canned_new(&loop, engine_replies, 3);
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
    uv_close((uv_handle_t *)&timeout, NULL);
    while (uv_run(&loop, UV_RUN_NOWAIT) != 0) {
    }
    ck_assert_int_eq(uv_loop_close(&loop), 0);
}

/*
 * Replays all events except those of the kind omitted.  Returns the number of
 * steps and counts those whose actions differ from the recorded ones.
 */
static size_t
replay(const char *path, event_kind_t omitted, size_t *differing)
{
    FILE *file = fopen(path, "re");
    node_t *node = node_new();
    action_list_t actions = {0};
    journal_record_t step = {0};
    size_t steps = 0;

    while (file != NULL && journal_read(file, &step)) {
        steps++;
        if (step.event.kind != omitted) {
            node_step(node, step.now_us, &step.event, &actions);
            *differing += actions_digest(&actions) == step.digest ? 0 : 1;
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
on_timeout(uv_timer_t *timer)
{
    ck_abort_msg("test timed out");
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
        size_t steps = replay(argv[1], no_event, &differing);

        (void)printf("%zu steps, %zu differ\n", steps, differing);
        return steps > 0 && differing == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    tcase_set_timeout(tcase, 2.0 * TIMEOUT_MS / 1000);
    tcase_add_test(tcase, test_replay_gives_recorded_actions);
    suite_add_tcase(suite, tcase);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
