/*
 * test_feed_fleet.c - tests that changes of the store are in force in time on
 * all hosts of a large fleet with thin links.
 */
#include <inttypes.h>
#include <stdio.h>

#include "regress/feed_sim.h"
#include "regress/fixture.h"

enum {
    LINK_KBYTES = 1250, /* 10 Mbit/s */
    LINE_MS = 2000,     /* bound of a change of one line, and of entries */
};

/* Bounds of 0 are not checked. */
typedef struct {
    const char *name;
    feed_sim_settings_t settings;
    uint32_t growth_max_ms;
    uint32_t small_max_ms;
    uint32_t entry_max_ms;
    uint32_t busiest_max_kbytes; /* sent by one host in one second */
    uint32_t failed_max;         /* polls and calls */
    bool collapses;              /* some change is never in force */
} feed_case_t;

#define SETTINGS(count, growth, legacy)                                       \
    {                                                                         \
        .hosts = (count), .link_kbytes_per_s = LINK_KBYTES,                   \
        .first_routes = 48, .growth_routes = (growth), .small_changes = 4,    \
        .small_gap_ms = 1000, .entry_gap_ms = 500, .legacy_hosts = (legacy),  \
        .short_calls = (legacy) == (count)                                    \
    }

static const feed_case_t cases[] = {
    {"1,400 routes more on 88 hosts", SETTINGS(88, 1400, 0), 3000, LINE_MS,
     LINE_MS, LINK_KBYTES, 0, false},
    {"1,400 routes more on 300 hosts", SETTINGS(300, 1400, 0), 4000, LINE_MS,
     LINE_MS, LINK_KBYTES, 0, false},
    {"700 routes more on 30 hosts", SETTINGS(30, 700, 0), 3000, LINE_MS,
     LINE_MS, LINK_KBYTES, 0, false},
    {"2,800 routes more on 100 hosts", SETTINGS(100, 2800, 0), 4000, LINE_MS,
     LINE_MS, LINK_KBYTES, 0, false},
    {"hosts of two builds", SETTINGS(30, 100, 15), 3000, LINE_MS, LINE_MS,
     LINK_KBYTES, 0, false},
    /* The links are what breaks a build that sends whole tables. */
    {"whole tables on 88 hosts", SETTINGS(88, 1400, 88), 0, 0, 0, 0, 0, true},
};

START_TEST(test_growing_table_starves_no_link)
{
    const feed_case_t *test = &cases[_i];
    feed_sim_result_t result = feed_simulate(&test->settings);

    printf("%s: %" PRIu32 " bytes; in force after %" PRIu32
           " ms, small %" PRIu32 " ms, entries %" PRIu32
           " ms, unknown %" PRIu32 "; busiest %" PRIu64 " B/s, failed %" PRIu32
           " polls, %" PRIu32 " calls\n",
           test->name, result.table_bytes, result.growth_ms, result.small_ms,
           result.entry_ms, result.unknown, result.busiest_bytes,
           result.failed_polls, result.failed_calls);
    (void)fflush(stdout);
    if (test->collapses) {
        ck_assert_uint_gt(result.unknown, 0);
        return;
    }
    ck_assert_uint_eq(result.unknown, 0);
    ck_assert_uint_le(result.growth_ms, test->growth_max_ms);
    ck_assert_uint_le(result.small_ms, test->small_max_ms);
    ck_assert_uint_le(result.entry_ms, test->entry_max_ms);
    ck_assert_uint_le(result.busiest_bytes,
                      (uint64_t)test->busiest_max_kbytes * 1000);
    ck_assert_uint_le(result.failed_polls + result.failed_calls,
                      test->failed_max);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("feed");

    tcase_set_timeout(tcase, 300);
    tcase_add_loop_test(tcase, test_growing_table_starves_no_link, 0,
                        COUNT(cases));
    return fixture_main("feed_fleet", tcase);
}
