/*
 * test_view_fleet.c - tests that hosts know in time of runners that leave and
 * of new routing tables, over fleets and faults that are drawn.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "regress/fixture.h"
#include "regress/view_sim.h"

enum { SEEDS = 60 };

static void
print(int seed, const view_result_t *result)
{
    printf("seed %d: hosts %" PRIu32 " bound %" PRIu32 " sends %" PRIu32
           ", late %" PRIu32 " by routing %" PRIu32 " worst %" PRIu32
           " ms, refused %" PRIu32 ", calls %" PRIu32 " in %" PRIu32 " ms\n",
           seed, result->hosts, result->bound_ms, result->sends,
           result->late_sends, result->late_routes, result->worst_ms,
           result->refused, result->store_calls, result->calls_ms);
    (void)fflush(stdout);
}

START_TEST(test_undisturbed_hosts_know_the_store_in_time)
{
    view_result_t result = view_simulate((uint64_t)_i);

    if (getenv("VERBOSE") != NULL) {
        print(_i, &result);
    }
    ck_assert_uint_gt(result.sends, 0);
    ck_assert_msg(result.late_sends == 0,
                  "seed %d: %" PRIu32 " sends to runners that had left, up to "
                  "%" PRIu32 " ms before (bound %" PRIu32 ")",
                  _i, result.late_sends, result.worst_ms, result.bound_ms);
    ck_assert_msg(result.late_routes == 0,
                  "seed %d: %" PRIu32 " sends by an old routing table", _i,
                  result.late_routes);
    ck_assert_msg(result.refused == 0, "seed %d: %" PRIu32 " refused", _i,
                  result.refused);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("view");

    tcase_set_timeout(tcase, 60);
    tcase_add_loop_test(tcase, test_undisturbed_hosts_know_the_store_in_time,
                        1, SEEDS + 1);
    return fixture_main("view", tcase);
}
