/* test_restored_rollout.c - tests roll-outs after the store went back to an
 * older copy of itself. */
#include <stdio.h>
#include <string.h>

#include "base/revision.h"
#include "forward/rollout.h"
#include "regress/fixture.h"

enum { DURATION_MS = 20000, US_PER_MS = 1000 };

/* The order in force is number 9 of era 1, and is promoted. */
typedef struct {
    const char *name;
    const char *version;
    int64_t era;
    int64_t number;
    uint32_t duration_ms;
    bool changes;
    rollout_phase_t phase;
    const char *record; /* that is written; NULL: none */
} order_case_t;

#define RECORD_OF_2_4 "35184372088836 promote 1001"

static const order_case_t cases[] = {
    {"the order that is written again starts a second roll-out", "2", 2, 4,
     DURATION_MS, false, ROLLOUT_PROMOTE, RECORD_OF_2_4},
    {"an order for another version is dropped", "3", 2, 4, DURATION_MS, true,
     ROLLOUT_CANARY, NULL},
    {"an order with another duration is dropped", "2", 2, 4, DURATION_MS / 2,
     true, ROLLOUT_CANARY, NULL},
    {"the same order once more in the same era is dropped", "2", 1, 10,
     DURATION_MS, true, ROLLOUT_CANARY, NULL},
    {"an older order of the same era is taken for a new one", "3", 1, 8,
     DURATION_MS, false, ROLLOUT_PROMOTE, NULL},
};

START_TEST(test_order_after_restoration)
{
    const order_case_t *test = &cases[_i];
    rollout_t rollout = {0};
    rollout_view_t view = {.now_us = 1000 * US_PER_MS};
    rollout_order_t order = {.version = "2",
                             .duration_ms = DURATION_MS,
                             .revision = revision_make(1, 9)};
    rollout_writes_t writes;
    char record[ROLLOUT_RECORD_BYTES];

    ck_assert(rollout_set_order(&rollout, 0, &order, true));
    (void)snprintf(record, sizeof(record), "%lld promote 1",
                   (long long)order.revision);
    ck_assert(rollout_set_record(&rollout, 0, record, revision_make(1, 10)));
    order =
        (rollout_order_t){.version = test->version,
                          .duration_ms = test->duration_ms,
                          .revision = revision_make(test->era, test->number)};
    ck_assert_msg(rollout_set_order(&rollout, 999 * US_PER_MS, &order,
                                    false) == test->changes,
                  "%s", test->name);
    ck_assert_msg(rollout.phase == test->phase, "%s: %s", test->name,
                  rollout_phase_name(rollout.phase));
    rollout_check(&rollout, &view, &writes);
    ck_assert_msg(writes.put_record == (test->record != NULL), "%s",
                  test->name);
    if (test->record != NULL) {
        ck_assert_str_eq(writes.record, test->record);
    }
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("restored-rollout");

    tcase_add_loop_test(tcase, test_order_after_restoration, 0, COUNT(cases));
    return fixture_main("restored-rollout", tcase);
}
