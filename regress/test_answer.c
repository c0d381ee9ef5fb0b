/* test_answer.c - appending segments to an answer and finding boundaries. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "policy/answer.h"

enum { SEGMENTS_MAX = 5, WRITER = 1, RACER = 2, OUTSIDER = 3 };

typedef struct {
    uint32_t attempt;
    uint32_t position;
    uint32_t tokens;
    const char *text;
    finish_reason_t finish;
    append_result_t result;
} step_t;

typedef struct {
    const char *name;
    bool race;
    const char *stop_string; /* or "" */
    step_t steps[SEGMENTS_MAX];
    const char *text;     /* of the answer at the end */
    uint32_t ready_bytes; /* of text that may be sent to the caller */
    finish_reason_t finish;
} case_t;

static const case_t cases[] = {
    {"segments in order are appended",
     false,
     "",
     {{WRITER, 0, 1, "a", FINISH_NONE, APPEND_DONE},
      {WRITER, 1, 2, "bc", FINISH_NONE, APPEND_DONE}},
     "abc",
     3,
     FINISH_NONE},
    {"a duplicate segment is dropped",
     false,
     "",
     {{WRITER, 0, 1, "a", FINISH_NONE, APPEND_DONE},
      {WRITER, 0, 1, "a", FINISH_NONE, APPEND_DUPLICATE}},
     "a",
     1,
     FINISH_NONE},
    {"a segment after a gap is dropped",
     false,
     "",
     {{WRITER, 0, 1, "a", FINISH_NONE, APPEND_DONE},
      {WRITER, 2, 1, "c", FINISH_NONE, APPEND_GAP}},
     "a",
     1,
     FINISH_NONE},
    {"an attempt that is not a writer is fenced",
     false,
     "",
     {{WRITER, 0, 1, "a", FINISH_NONE, APPEND_DONE},
      {OUTSIDER, 1, 1, "b", FINISH_NONE, APPEND_FENCED}},
     "a",
     1,
     FINISH_NONE},
    {"attempt number 0 is fenced",
     false,
     "",
     {{0, 0, 1, "a", FINISH_NONE, APPEND_FENCED}},
     "",
     0,
     FINISH_NONE},
    {"in a race the first writer fences the other",
     true,
     "",
     {{RACER, 0, 1, "a", FINISH_NONE, APPEND_DONE},
      {WRITER, 0, 1, "a", FINISH_NONE, APPEND_FENCED},
      {WRITER, 1, 1, "b", FINISH_NONE, APPEND_FENCED},
      {RACER, 1, 1, "c", FINISH_NONE, APPEND_DONE}},
     "ac",
     2,
     FINISH_NONE},
    {"a segment after the end is dropped",
     false,
     "",
     {{WRITER, 0, 1, "a", FINISH_LENGTH, APPEND_DONE},
      {WRITER, 1, 0, "", FINISH_STOP, APPEND_ENDED}},
     "a",
     1,
     FINISH_LENGTH},
    {"a stop string inside a segment ends the answer before it",
     false,
     "END",
     {{WRITER, 0, 1, "aENDb", FINISH_NONE, APPEND_DONE},
      {WRITER, 1, 1, "c", FINISH_NONE, APPEND_ENDED}},
     "a",
     1,
     FINISH_STOP},
    {"a stop string across segments ends the answer before it",
     false,
     "END",
     {{WRITER, 0, 1, "a", FINISH_NONE, APPEND_DONE},
      {WRITER, 1, 1, "bE", FINISH_NONE, APPEND_DONE},
      {WRITER, 2, 1, "N", FINISH_NONE, APPEND_DONE},
      {WRITER, 3, 1, "D", FINISH_NONE, APPEND_DONE}},
     "ab",
     2,
     FINISH_STOP},
    {"text that may start a stop string is not ready",
     false,
     "END",
     {{WRITER, 0, 1, "a", FINISH_NONE, APPEND_DONE},
      {WRITER, 1, 1, "bE", FINISH_NONE, APPEND_DONE}},
     "abE",
     1,
     FINISH_NONE},
    {"a stop string that overlaps its own prefix is found",
     false,
     "aab",
     {{WRITER, 0, 1, "a", FINISH_NONE, APPEND_DONE},
      {WRITER, 1, 1, "a", FINISH_NONE, APPEND_DONE},
      {WRITER, 2, 1, "a", FINISH_NONE, APPEND_DONE},
      {WRITER, 3, 1, "b", FINISH_NONE, APPEND_DONE}},
     "a",
     1,
     FINISH_STOP},
    {"the end makes the prefix of a stop string ready",
     false,
     "END",
     {{WRITER, 0, 1, "E", FINISH_NONE, APPEND_DONE},
      {WRITER, 1, 1, "N", FINISH_LENGTH, APPEND_DONE}},
     "EN",
     2,
     FINISH_LENGTH},
};

START_TEST(append_returns_expected_result)
{
    const case_t *test = &cases[_i];
    uint32_t ids[] = {300, 301, 302};
    answer_t answer;

    answer_init(&answer, test->stop_string,
                test->stop_string[0] == '\0'
                    ? 0
                    : (uint32_t)strlen(test->stop_string) + 1);
    answer_add_writer(&answer, WRITER, false);
    if (test->race) {
        answer_add_writer(&answer, RACER, true);
    }
    for (size_t i = 0; i < SEGMENTS_MAX && test->steps[i].text != NULL; i++) {
        const step_t *step = &test->steps[i];
        answer_segment_t segment = {
            .position = step->position,
            .token_ids = ids,
            .token_count = step->tokens,
            .text = step->text,
            .text_bytes = (uint32_t)strlen(step->text),
            .finish = step->finish,
        };

        ck_assert_msg(answer_append(&answer, step->attempt, &segment) ==
                          step->result,
                      "%s: step %zu", test->name, i);
    }
    ck_assert_msg(
        answer.text_bytes == strlen(test->text) &&
            (answer.text_bytes == 0 ||
             memcmp(answer.text, test->text, answer.text_bytes) == 0),
        "%s: text", test->name);
    ck_assert_msg(answer_boundary(&answer, answer.ready_boundary).text_bytes ==
                      test->ready_bytes,
                  "%s: ready", test->name);
    ck_assert_msg(answer.finish == test->finish, "%s: finish", test->name);
    answer_free(&answer);
}
END_TEST

START_TEST(boundaries_are_found_by_position)
{
    uint32_t ids[] = {1, 2, 3};
    answer_segment_t segments[] = {
        {.position = 0,
         .token_ids = ids,
         .token_count = 1,
         .text = "a",
         .text_bytes = 1},
        {.position = 1,
         .token_ids = ids,
         .token_count = 3,
         .text = "b",
         .text_bytes = 1},
    };
    const int64_t expected[] = {0, 1, -1, -1, 2, -1};
    answer_t answer;

    answer_init(&answer, "", 0);
    answer_add_writer(&answer, WRITER, false);
    for (size_t i = 0; i < 2; i++) {
        ck_assert_int_eq(answer_append(&answer, WRITER, &segments[i]),
                         APPEND_DONE);
    }
    for (uint32_t position = 0; position < 6; position++) {
        ck_assert_int_eq(answer_boundary_at(&answer, position),
                         expected[position]);
    }
    answer_free(&answer);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("answer");
    TCase *table = tcase_create("append");
    SRunner *runner;
    int failed;

    tcase_add_loop_test(table, append_returns_expected_result, 0,
                        sizeof(cases) / sizeof(cases[0]));
    tcase_add_test(table, boundaries_are_found_by_position);
    suite_add_tcase(suite, table);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
