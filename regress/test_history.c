/* test_history.c - the checker reports each fault it is there for. */
#include <stdlib.h>

#include <check.h>

#include "regress/history.h"

enum { EVENTS_MAX = 5, EXPECTED = 6 };

typedef struct {
    const char *name;
    history_fault_t fault;
    bool idempotent;
    bool shared;
    bool may_fail;
    uint32_t starts;
    history_event_t events[EVENTS_MAX];
    size_t event_count;
} row_t;

/* The ids of a clean run, then ids that it does not have. */
static const uint32_t expected[EXPECTED] = {300, 301, 302, 303, 304, 256};
static const uint32_t ids[] = {300, 301, 302, 303, 304, 256, 900, 901};

#define PIECE(at, from, count)                                                \
    {                                                                         \
        .kind = HISTORY_PIECE, .position = (at), .first_id = (from),          \
        .id_count = (count)                                                   \
    }
#define END                                                                   \
    {                                                                         \
        .kind = HISTORY_END, .clean = true                                    \
    }
#define LOST                                                                  \
    {                                                                         \
        .kind = HISTORY_LOST                                                  \
    }
#define UNSENT                                                                \
    {                                                                         \
        .kind = HISTORY_UNSENT                                                \
    }
#define REFUSED(how)                                                          \
    {                                                                         \
        .kind = HISTORY_REFUSED, .run = (how)                                 \
    }

static const row_t rows[] = {
    {"clean",
     HISTORY_GOOD,
     true,
     false,
     false,
     1,
     {PIECE(0, 0, 2), PIECE(2, 2, 4), END},
     3},
    {"reconnected",
     HISTORY_GOOD,
     true,
     false,
     false,
     2,
     {PIECE(0, 0, 2), LOST, UNSENT, PIECE(2, 2, 4), END},
     5},
    {"left out between pieces",
     HISTORY_MISSING,
     true,
     false,
     false,
     1,
     {PIECE(0, 0, 2), PIECE(3, 3, 3), END},
     3},
    {"left out at the end",
     HISTORY_MISSING,
     true,
     false,
     false,
     1,
     {PIECE(0, 0, 5), END},
     2},
    {"repeated after a loss",
     HISTORY_REPEATED,
     true,
     false,
     false,
     2,
     {PIECE(0, 0, 3), LOST, PIECE(2, 2, 4), END},
     4},
    {"ids of another request",
     HISTORY_FOREIGN,
     true,
     false,
     false,
     1,
     {PIECE(0, 0, 2), PIECE(2, 6, 2), END},
     3},
    {"tokens beyond the end",
     HISTORY_FOREIGN,
     true,
     false,
     false,
     1,
     {PIECE(0, 0, 6), PIECE(6, 6, 1), END},
     3},
    {"piece named for another request",
     HISTORY_FOREIGN,
     true,
     false,
     false,
     1,
     {{.kind = HISTORY_PIECE, .id_count = 2, .named_other = true}},
     1},
    {"end named for another request",
     HISTORY_FOREIGN,
     true,
     false,
     false,
     1,
     {PIECE(0, 0, 6),
      {.kind = HISTORY_END, .clean = true, .named_other = true}},
     2},
    {"two generations mixed",
     HISTORY_MIXED,
     true,
     false,
     false,
     2,
     {PIECE(0, 0, 3), PIECE(3, 1, 2), PIECE(5, 5, 1), END},
     4},
    {"second answer's piece",
     HISTORY_DOUBLED,
     true,
     false,
     false,
     2,
     {PIECE(0, 0, 6), END, PIECE(0, 0, 6)},
     3},
    {"second end",
     HISTORY_DOUBLED,
     true,
     false,
     false,
     1,
     {PIECE(0, 0, 6), END, END},
     3},
    {"wrong text",
     HISTORY_UNCLEAN,
     true,
     false,
     false,
     1,
     {PIECE(0, 0, 6), {.kind = HISTORY_END}},
     2},
    {"never ended",
     HISTORY_INCOMPLETE,
     true,
     false,
     false,
     1,
     {PIECE(0, 0, 4), LOST, UNSENT},
     3},
    {"no answer at all",
     HISTORY_INCOMPLETE,
     true,
     false,
     false,
     0,
     {UNSENT},
     1},
    {"accepted, then refused",
     HISTORY_INCOMPLETE,
     true,
     false,
     false,
     1,
     {PIECE(0, 0, 4), REFUSED(HISTORY_RAN)},
     2},
    {"non-idempotent, lost without a word",
     HISTORY_INCOMPLETE,
     false,
     false,
     false,
     1,
     {PIECE(0, 0, 4), LOST},
     2},
    {"non-idempotent, unknown",
     HISTORY_GOOD,
     false,
     false,
     false,
     1,
     {PIECE(0, 0, 4), REFUSED(HISTORY_UNKNOWN)},
     2},
    {"non-idempotent, started twice",
     HISTORY_STARTED_TWICE,
     false,
     false,
     false,
     2,
     {PIECE(0, 0, 6), END},
     2},
    {"non-idempotent of two callers, started twice",
     HISTORY_STARTED_TWICE,
     false,
     true,
     false,
     2,
     {REFUSED(HISTORY_NOT_RUN)},
     1},
    {"refused and not run",
     HISTORY_GOOD,
     true,
     false,
     false,
     0,
     {UNSENT, REFUSED(HISTORY_NOT_RUN)},
     2},
    {"refused as not run, but started",
     HISTORY_RAN_REFUSED,
     true,
     false,
     false,
     1,
     {REFUSED(HISTORY_NOT_RUN)},
     1},
    {"refused as not run, run for the other caller",
     HISTORY_GOOD,
     true,
     true,
     false,
     1,
     {REFUSED(HISTORY_NOT_RUN)},
     1},
    {"lost, then refused as not run",
     HISTORY_INCOMPLETE,
     true,
     false,
     false,
     1,
     {LOST, REFUSED(HISTORY_NOT_RUN)},
     2},
    {"kills engines and is refused",
     HISTORY_GOOD,
     true,
     false,
     true,
     3,
     {PIECE(0, 0, 4), REFUSED(HISTORY_RAN)},
     2},
    {"kills engines and hangs",
     HISTORY_INCOMPLETE,
     true,
     false,
     true,
     3,
     {PIECE(0, 0, 4), LOST},
     2},
};

START_TEST(test_rows)
{
    const row_t *row = &rows[_i];
    history_request_t request = {
        .events = row->events,
        .event_count = row->event_count,
        .ids = ids,
        .expected_ids = expected,
        .expected_count = EXPECTED,
        .idempotent = row->idempotent,
        .shared = row->shared,
        .may_fail = row->may_fail,
        .starts = row->starts,
    };
    history_fault_t fault = history_check(&request).fault;

    ck_assert_msg(fault == row->fault, "%s: %s, not %s", row->name,
                  history_fault_name(fault), history_fault_name(row->fault));
}
END_TEST

START_TEST(test_gap)
{
    const history_event_t events[] = {
        {.kind = HISTORY_PIECE, .time_us = 1000},
        {.kind = HISTORY_PIECE, .time_us = 3000},
        {.kind = HISTORY_LOST, .time_us = 9000},
        {.kind = HISTORY_PIECE, .time_us = 13000},
        {.kind = HISTORY_END, .time_us = 90000},
    };
    history_request_t request = {
        .events = events, .event_count = 5, .begun_us = 500};

    ck_assert_uint_eq(history_gap_us(&request), 10000);
    ck_assert(history_recovered(&request));
    request.event_count = 2;
    ck_assert_uint_eq(history_gap_us(&request), 2000);
    request.event_count = 1;
    ck_assert_uint_eq(history_gap_us(&request), 500);
    ck_assert(!history_recovered(&request));
    request.starts = 2;
    ck_assert(history_recovered(&request));
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("history");
    TCase *tcase = tcase_create("history");
    SRunner *runner = srunner_create(suite);
    int failed;

    tcase_add_loop_test(tcase, test_rows, 0,
                        (int)(sizeof(rows) / sizeof(rows[0])));
    tcase_add_test(tcase, test_gap);
    suite_add_tcase(suite, tcase);
    srunner_run_all(runner, CK_ENV);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
