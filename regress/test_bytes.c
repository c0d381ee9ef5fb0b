/*
 * test_bytes.c - compares the bytes that a caller receives in a session.
 *
 * Runs a session of golden/sessions, writes the response to caller 1 as the
 * daemon would, and compares it with golden/bytes/NAME.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agated/response.h"
#include "regress/script.h"

enum { FILE_BYTES = 65536 };

typedef struct {
    const char *session; /* file name without its extension */
    const char *bytes;
    endpoint_t endpoint;
    bool stream;
} case_t;

static const case_t cases[] = {
    {"clean", "clean-stream.txt", ENDPOINT_COMPLETIONS, true},
    {"clean", "clean-whole.txt", ENDPOINT_CHAT, false},
    {"death", "death-stream.txt", ENDPOINT_COMPLETIONS, true},
    {"death", "death-chat.txt", ENDPOINT_CHAT, true},
    {"death-twice", "death-twice-whole.txt", ENDPOINT_COMPLETIONS, false},
    {"refusals", "refusal.txt", ENDPOINT_COMPLETIONS, true},
    {"claim-engine-lost", "refusal-mid-stream.txt", ENDPOINT_COMPLETIONS,
     true},
};

typedef struct {
    response_t response;
    text_t out;
} caller_t;

static char *
read_file(arena_t *arena, const char *path)
{
    char *text = arena_alloc(arena, FILE_BYTES);
    FILE *file = fopen(path, "r");

    if (file != NULL) {
        (void)fread(text, 1, FILE_BYTES - 1, file);
        (void)fclose(file);
    }
    return text;
}

static void
collect_response(void *context, const char *host, const action_t *action)
{
    caller_t *caller = context;

    (void)host;
    if (action->kind == ACTION_SEND_TOKENS &&
        action->action_t_u.send_tokens.caller == 1) {
        response_add_tokens(&caller->response, &action->action_t_u.send_tokens,
                            &caller->out);
    }
    if (action->kind == ACTION_FINISH &&
        action->action_t_u.finish.caller == 1) {
        response_finish(&caller->response, &action->action_t_u.finish,
                        &caller->out);
    }
    if (action->kind == ACTION_REFUSE &&
        action->action_t_u.refuse.caller == 1) {
        response_add_refusal(&caller->response, &action->action_t_u.refuse,
                             &caller->out);
    }
}

/* If REGRESS_WRITE is set, rewrites the golden file for manual review. */
START_TEST(response_bytes_match_golden_file)
{
    const case_t *row = &cases[_i];
    static const uint8_t secret[] = "a secret for this test";
    arena_t arena = {0};
    err_t err = {0};
    position_key_t key;
    caller_t caller = {.response = {.name = "k1",
                                    .model = "planner",
                                    .endpoint = row->endpoint,
                                    .stream = row->stream,
                                    .token_ids = true,
                                    .position_key = &key}};
    char *session = arena_printf(&arena, "%s/golden/sessions/%s.session",
                                 REGRESS_DIR, row->session);
    char *path =
        arena_printf(&arena, "%s/golden/bytes/%s", REGRESS_DIR, row->bytes);

    position_key(&key, secret, sizeof(secret));
    ck_assert_msg(script_run_seen(&arena, read_file(&arena, session),
                                  collect_response, &caller, &err) != NULL,
                  "%s", err.message);
    text_append(&caller.out, "", 1);
    if (getenv("REGRESS_WRITE") != NULL) {
        FILE *file = fopen(path, "w");

        ck_assert_ptr_nonnull(file);
        (void)fputs(caller.out.bytes, file);
        (void)fclose(file);
    }
    ck_assert_str_eq(caller.out.bytes, read_file(&arena, path));
    text_free(&caller.out);
    response_free(&caller.response);
    arena_free(&arena);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("bytes");
    TCase *table = tcase_create("golden");
    SRunner *runner;
    int failed;

    tcase_add_loop_test(table, response_bytes_match_golden_file, 0,
                        sizeof(cases) / sizeof(cases[0]));
    suite_add_tcase(suite, table);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
