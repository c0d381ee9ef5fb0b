/* test_response.c - compares responses with golden files. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "agated/response.h"
#include "agated/settings.h"

/* One response; its golden file has the same name. */
typedef struct {
    const char *name;
    endpoint_t endpoint;
    bool stream;
    bool token_ids;
    bool include_usage;
    uint32_t token_count;
    bool refused;
    bool resumed;
} response_case_t;

static const response_case_t cases[] = {
    {"completions-stream", ENDPOINT_COMPLETIONS, true, false, false, 3, false,
     false},
    {"completions-stream-ids", ENDPOINT_COMPLETIONS, true, true, true, 3,
     false, false},
    {"completions-stream-empty", ENDPOINT_COMPLETIONS, true, false, false, 0,
     false, false},
    {"completions-whole", ENDPOINT_COMPLETIONS, false, false, false, 3, false,
     false},
    {"completions-whole-ids", ENDPOINT_COMPLETIONS, false, true, false, 3,
     false, false},
    {"chat-stream", ENDPOINT_CHAT, true, false, true, 3, false, false},
    {"chat-stream-resumed", ENDPOINT_CHAT, true, false, false, 1, false, true},
    {"chat-whole", ENDPOINT_CHAT, false, false, false, 3, false, false},
    {"chat-whole-empty", ENDPOINT_CHAT, false, false, false, 0, false, false},
    {"refused-before", ENDPOINT_CHAT, true, false, false, 0, true, false},
    {"refused-mid-stream", ENDPOINT_COMPLETIONS, true, false, false, 2, true,
     false},
    {"refused-whole", ENDPOINT_COMPLETIONS, false, false, false, 2, true,
     false},
};

/* Segments: plain text, special characters of JSON, and UTF-8. */
static const struct {
    const char *text;
    uint32_t ids[2];
    uint32_t count;
} segments[] = {
    {"Check", {11, 0}, 1},
    {" \"brakes\"\\\n\t\x01", {12, 13}, 2},
    {" \xe2\x86\x92 T\xc4\x81maki", {14, 0}, 1},
};

static void run_case(const response_case_t *row, text_t *out);

START_TEST(response_matches_golden_file)
{
    arena_t arena = {0};
    text_t out = {0};
    size_t length;
    err_t err = {0};
    const char *path = arena_printf(
        &arena, REGRESS_DIR "/golden/responses/%s.txt", cases[_i].name);
    const char *golden;

    run_case(&cases[_i], &out);
    golden = file_read(&arena, path, &length, &err);
    ck_assert_msg(golden != NULL, "%s", err.message);
    text_append(&out, "", 1);
    ck_assert_str_eq(out.bytes, golden);
    text_free(&out);
    arena_free(&arena);
}
END_TEST

static void
run_case(const response_case_t *row, text_t *out)
{
    response_t response = {.name = "req-1",
                           .model = "planner",
                           .endpoint = row->endpoint,
                           .stream = row->stream,
                           .token_ids = row->token_ids,
                           .include_usage = row->include_usage,
                           .resumed = row->resumed,
                           .created_s = 1700000000};
    finish_action_t finish = {
        .finish = FINISH_LENGTH, .prompt_tokens = 5, .completion_tokens = 4};
    refuse_request_action_t refusal = {.refusal = REFUSAL_BACKEND_LOST,
                                       .run = RUN_RAN,
                                       .retry_after_ms = 1500,
                                       .message =
                                           "every runner was lost: send it "
                                           "again with Last-Event-ID"};
    uint32_t position = 0;
    uint32_t i;

    for (i = 0; i < row->token_count; i++) {
        send_tokens_action_t tokens = {
            .location = {.runner = (char *)"", .stream_name = (char *)""}};

        position += segments[i].count;
        tokens.position = position;
        tokens.token_ids.token_ids_val =
            (uint32_t *)(uintptr_t)segments[i].ids;
        tokens.token_ids.token_ids_len = segments[i].count;
        tokens.text.text_val = (char *)(uintptr_t)segments[i].text;
        tokens.text.text_len = (u_int)strlen(segments[i].text);
        response_add_tokens(&response, &tokens, out);
    }
    if (row->refused) {
        response_add_refusal(&response, &refusal, out);
    }
    else {
        response_finish(&response, &finish, out);
    }
    response_free(&response);
}

/* Each refusal has a name and an error status. */
START_TEST(refusal_has_name_and_error_status)
{
    refuse_request_action_t refusal =
        refusal_new((refusal_t)_i, 0, "what: remedy");
    text_t out = {0};

    refusal_write_json(&refusal, &out);
    text_append(&out, "", 1);
    ck_assert_ptr_null(strstr(out.bytes, "(null)"));
    ck_assert_ptr_nonnull(strstr(out.bytes, "\"run\":\"not-run\"}}"));
    ck_assert_uint_ge(refusal_status((refusal_t)_i), 400);
    text_free(&out);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("response");
    TCase *tcase = tcase_create("response");
    SRunner *runner;
    int failed;

    tcase_add_loop_test(tcase, response_matches_golden_file, 0,
                        (int)(sizeof(cases) / sizeof(cases[0])));
    tcase_add_loop_test(tcase, refusal_has_name_and_error_status,
                        REFUSAL_UNAUTHORISED, REFUSAL_BACKEND_FAILED + 1);
    suite_add_tcase(suite, tcase);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
