/* test_admit.c - tests fair shares, wait estimates and the retry budget. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy/admit.h"

enum { US_PER_MS = 1000, PUSHES_MAX = 12 };

static const admit_limits_t limits = {
    .waiting_max = 20000, .retry_permille = 100, .retry_burst = 2};

/* Requests "ORGANISATION URGENCY WEIGHT COST", and the order of starts. */
typedef struct {
    const char *name;
    const char *pushes[PUSHES_MAX];
    const char *starts;
} order_case_t;

static const order_case_t order_cases[] = {
    {"equal weights alternate",
     {"a n 1 1", "a n 1 1", "b n 1 1", "b n 1 1"},
     "abab"},
    {"organisations share by weight",
     {"a n 3 1", "a n 3 1", "a n 3 1", "a n 3 1", "b n 1 1", "b n 1 1"},
     "abaaab"},
    {"a higher cost delays the next start",
     {"a n 1 4", "a n 1 4", "b n 1 1", "b n 1 1", "b n 1 1"},
     "abbba"},
    {"more urgent requests start first",
     {"a b 1 1", "b n 1 1", "c i 1 1"},
     "cba"},
    {"urgencies share by weight",
     {"a i 1 1", "a i 1 1", "a i 1 1", "a i 1 1", "b n 1 1", "b n 1 1"},
     "abaaab"},
    {"the least urgent is not starved",
     {"a i 1 8", "a i 1 8", "a i 1 8", "b b 1 1", "a i 1 8", "a i 1 8"},
     "abaaaa"},
    {"interrupted requests start first within the retry budget",
     {"a n 1 1", "b N 1 1", "b N 1 1", "b N 1 1", "c n 1 1"},
     "bbacb"},
};

static admit_item_t
parse_item(const char *text, uint64_t id, char *organisation)
{
    admit_item_t item = {.id = id,
                         .organisation = organisation,
                         .wait_max_us = 1000 * US_PER_MS};
    char *end;

    organisation[0] = text[0];
    organisation[1] = '\0';
    item.urgency = text[2] == 'i'   ? URGENCY_INTERACTIVE
                   : text[2] == 'b' ? URGENCY_BATCH
                                    : URGENCY_NORMAL;
    item.interrupted = text[2] == 'N';
    item.weight = (uint32_t)strtoul(text + 4, &end, 10);
    item.cost = (uint32_t)strtoul(end, NULL, 10);
    return item;
}

START_TEST(test_start_order)
{
    const order_case_t *c = &order_cases[_i];
    admit_t *admit = admit_new(&limits);
    char starts[PUSHES_MAX + 1] = "";
    char organisation[2];
    size_t count = 0;
    uint64_t id;

    for (uint64_t i = 0; c->pushes[i] != NULL; i++) {
        admit_item_t item = parse_item(c->pushes[i], i, organisation);

        ck_assert_uint_eq(admit_enqueue(admit, 0, &item), 0);
    }
    while (admit_peek(admit, &id)) {
        starts[count++] = c->pushes[id][0];
        admit_record_start(admit, 0, id);
    }
    ck_assert_msg(strcmp(starts, c->starts) == 0, "%s: %s", c->name, starts);
    admit_free(admit);
}
END_TEST

START_TEST(test_idle_flow_gains_no_credit)
{
    admit_t *admit = admit_new(&limits);
    admit_item_t item = {.organisation = "a", .weight = 1, .cost = 1};
    uint64_t id;
    int starts_of_b = 0;

    for (item.id = 0; item.id < 10; item.id++) {
        ck_assert_uint_eq(admit_enqueue(admit, 0, &item), 0);
    }
    for (id = 0; id < 5; id++) {
        admit_record_start(admit, 0, id);
    }
    item.organisation = "b";
    for (; item.id < 20; item.id++) {
        ck_assert_uint_eq(admit_enqueue(admit, 0, &item), 0);
    }
    for (int i = 0; i < 4; i++) {
        ck_assert(admit_peek(admit, &id));
        starts_of_b += id >= 10;
        admit_record_start(admit, 0, id);
    }
    ck_assert_int_eq(starts_of_b, 2);
    admit_free(admit);
}
END_TEST

START_TEST(test_wait_estimate_and_expiry)
{
    admit_t *admit = admit_new(&limits);
    admit_item_t item = {.organisation = "a",
                         .weight = 1,
                         .cost = 1,
                         .urgency = URGENCY_NORMAL,
                         .wait_max_us = 1000 * US_PER_MS};
    uint64_t id;
    uint32_t retry_after_ms;

    for (item.id = 0; item.id < 100; item.id++) {
        ck_assert_uint_eq(admit_enqueue(admit, 0, &item), 0);
    }
    /* 10 starts a second with 80 requests queued: a wait of 8 s. */
    for (int64_t ms = 100; ms <= 2000; ms += 100) {
        ck_assert(admit_peek(admit, &id));
        admit_record_start(admit, ms * US_PER_MS, id);
    }
    retry_after_ms = admit_enqueue(admit, 2000 * US_PER_MS, &item);
    ck_assert_uint_ge(retry_after_ms, 6500);
    ck_assert_uint_le(retry_after_ms, 8500);
    /* Another organisation has half of the starts and nothing waiting. */
    item.organisation = "b";
    item.id = 200;
    ck_assert_uint_eq(admit_enqueue(admit, 2000 * US_PER_MS, &item), 0);
    ck_assert(admit_peek(admit, &id));
    ck_assert_uint_eq(id, 200);
    ck_assert(admit_pop_expired(admit, 2000 * US_PER_MS, &id));
    ck_assert_uint_lt(id, 100);
    while (admit_pop_expired(admit, 2000 * US_PER_MS, &id)) {
    }
    ck_assert_uint_eq(admit_waiting_count(admit), 1);
    ck_assert_int_eq(admit_next_expiry_us(admit), 3000 * US_PER_MS);
    admit_remove(admit, 2000 * US_PER_MS, 200);
    ck_assert(!admit_peek(admit, &id));
    admit_free(admit);
}
END_TEST

START_TEST(test_retries_limited_by_budget)
{
    admit_t *admit = admit_new(&limits);
    admit_item_t item = {.organisation = "a", .weight = 1, .cost = 1};
    int allowed = 0;

    ck_assert(admit_take_retry(admit));
    ck_assert(admit_take_retry(admit));
    ck_assert(!admit_take_retry(admit));
    for (item.id = 0; item.id < 100; item.id++) {
        ck_assert_uint_eq(admit_enqueue(admit, 0, &item), 0);
        admit_record_start(admit, 0, item.id);
        allowed += admit_take_retry(admit);
    }
    ck_assert_int_eq(allowed, 10);
    admit_free(admit);
}
END_TEST

/*
 * A pool of 100 starts per second; one organisation sends ten times as many
 * requests as the next.
 */
enum { ORGANISATIONS = 5, RUN_MS = 60000, START_INTERVAL_MS = 10 };

/* Requests per second of each organisation. */
static const uint32_t loads[ORGANISATIONS] = {200, 20, 10, 2, 2};

START_TEST(test_overload_by_one_organisation)
{
    admit_t *admit = admit_new(&limits);
    uint32_t started[ORGANISATIONS] = {0};
    uint32_t refused[ORGANISATIONS] = {0};
    uint32_t expired[ORGANISATIONS] = {0};
    int64_t longest_ms[ORGANISATIONS] = {0};
    int64_t *pushed_ms = calloc(RUN_MS, sizeof(*pushed_ms));
    int *owner = calloc(RUN_MS, sizeof(*owner));
    uint64_t ids = 0;
    uint64_t id;

    srand((unsigned)_i + 1);
    for (int64_t ms = 0; ms < RUN_MS; ms++) {
        for (int o = 0; o < ORGANISATIONS; o++) {
            char name[2] = {(char)('a' + o), '\0'};
            admit_item_t item = {.id = ids,
                                 .organisation = name,
                                 .weight = 1,
                                 .cost = 1,
                                 .urgency = URGENCY_NORMAL,
                                 .wait_max_us = 2000 * US_PER_MS};

            if ((uint32_t)(rand() % 1000) >= loads[o]) {
                continue;
            }
            if (admit_enqueue(admit, ms * US_PER_MS, &item) != 0) {
                refused[o]++;
                continue;
            }
            pushed_ms[ids] = ms;
            owner[ids++] = o;
        }
        while (admit_pop_expired(admit, ms * US_PER_MS, &id)) {
            expired[owner[id]]++;
        }
        if (ms % START_INTERVAL_MS == 0 && admit_peek(admit, &id)) {
            int64_t wait_ms = ms - pushed_ms[id];
            int o = owner[id];

            started[o]++;
            longest_ms[o] = wait_ms > longest_ms[o] ? wait_ms : longest_ms[o];
            admit_record_start(admit, ms * US_PER_MS, id);
        }
    }
    for (int o = 0; o < ORGANISATIONS; o++) {
        uint32_t permille = started[o] * START_INTERVAL_MS * 1000 / RUN_MS;

        printf("seed %d, organisation %d: %u requests/s, %u of 1,000 starts, "
               "%u refused at once, %u expired, longest wait %ld ms\n",
               _i + 1, o, loads[o], permille, refused[o], expired[o],
               longest_ms[o]);
        (void)fflush(stdout);
        /* Those that use less than their share are served without delay. */
        ck_assert(o == 0 || refused[o] + expired[o] == 0);
        ck_assert(o == 0 || longest_ms[o] < 500);
        ck_assert_uint_le(expired[o], started[o] / 10);
        /* The first organisation gets all the remaining starts. */
        ck_assert(o > 0 || permille >= 1000 - 20 * 11 - 10 * 11 - 2 * 11 * 2);
    }
    free(pushed_ms);
    free(owner);
    admit_free(admit);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("admit");
    TCase *tcase = tcase_create("admit");
    SRunner *runner;
    int failed;

    tcase_add_loop_test(tcase, test_start_order, 0,
                        sizeof(order_cases) / sizeof(order_cases[0]));
    tcase_add_test(tcase, test_idle_flow_gains_no_credit);
    tcase_add_test(tcase, test_wait_estimate_and_expiry);
    tcase_add_test(tcase, test_retries_limited_by_budget);
    tcase_add_loop_test(tcase, test_overload_by_one_organisation, 0, 2);
    suite_add_tcase(suite, tcase);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
