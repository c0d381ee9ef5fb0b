/*
 * test_suspicion.c - tests that a fleet detects requests that crash runners.
 *
 * The scenarios are run by suspicion_sim.h.
 */
#include <check.h>

#include "regress/fixture.h"
#include "regress/suspicion_sim.h"

enum {
    /* The users' requirement. */
    LATE_SENDS_MAX = 3,
};

static const suspicion_scenario_t scenarios[] = {
    {.name = "a harmful request arrives every second",
     .seed = 1,
     .duration_ms = 40000,
     .harmful_interval_ms = 1000},
    {.name = "the same with another seed",
     .seed = 2,
     .duration_ms = 40000,
     .harmful_interval_ms = 1000},
    {.name = "a harmful request arrives every 300 ms",
     .seed = 3,
     .duration_ms = 30000,
     .harmful_interval_ms = 300},
    {.name = "a harmful request arrives every 5 s",
     .seed = 4,
     .duration_ms = 60000,
     .harmful_interval_ms = 5000},
    {.name = "zones crash, and no request is harmful",
     .seed = 5,
     .duration_ms = 60000,
     .zone_crash_interval_ms = 6500},
    {.name = "the same with another seed",
     .seed = 6,
     .duration_ms = 60000,
     .zone_crash_interval_ms = 6500},
    {.name = "zones crash, and a harmful request arrives every second",
     .seed = 7,
     .duration_ms = 40000,
     .harmful_interval_ms = 1000,
     .zone_crash_interval_ms = 6500},
    {.name = "engines crash one by one, and no request is harmful",
     .seed = 8,
     .duration_ms = 60000,
     .single_crash_interval_ms = 300},
    {.name = "the same with another seed",
     .seed = 9,
     .duration_ms = 60000,
     .single_crash_interval_ms = 300},
    {.name = "unrelated crashes, and a harmful request every second",
     .seed = 10,
     .duration_ms = 40000,
     .harmful_interval_ms = 1000,
     .single_crash_interval_ms = 2000},
    {.name = "one host is partitioned, and no request is harmful",
     .seed = 11,
     .duration_ms = 40000,
     .host_partitioned = true},
    {.name = "the same with fewer requests",
     .seed = 12,
     .duration_ms = 40000,
     .host_partitioned = true,
     .request_interval_ms = 300},
    {.name = "the same with another seed",
     .seed = 13,
     .duration_ms = 40000,
     .host_partitioned = true,
     .request_interval_ms = 300},
};

START_TEST(test_harmful_requests_are_refused_and_no_others)
{
    const suspicion_scenario_t *scenario = &scenarios[_i];
    suspicion_result_t result = suspicion_simulate(scenario);

    ck_assert_msg(result.late_sends <= LATE_SENDS_MAX,
                  "%s: %u late attempts, %u crashes, bound %d", scenario->name,
                  result.late_sends, result.harmful_crashes, LATE_SENDS_MAX);
    ck_assert_msg(result.refused_harmless == 0,
                  "%s: %u harmless requests refused", scenario->name,
                  result.refused_harmless);
    ck_assert_msg(scenario->harmful_interval_ms == 0 ||
                      result.refused_harmful > 0,
                  "%s: no harmful request refused", scenario->name);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("suspicion");

    tcase_add_loop_test(tcase, test_harmful_requests_are_refused_and_no_others,
                        0, sizeof(scenarios) / sizeof(scenarios[0]));
    return fixture_main("suspicion", tcase);
}
