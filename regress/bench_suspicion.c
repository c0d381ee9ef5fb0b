/*
 * bench_suspicion.c - measures the detection of harmful requests.
 *
 * Runs each load of suspicion_sim.h with several seeds and prints a line for
 * each: late sends of harmful requests (their users' bound is 3), and
 * harmless requests refused as harmful.
 *
 *     bench_suspicion [SEEDS [LOAD]]
 *     bench_suspicion drawn FIRST LAST
 *     bench_suspicion parts FIRST LAST
 *     bench_suspicion headless FIRST LAST
 *
 * The second form runs the scenarios that suspicion_draw() gives for the seeds
 * FIRST to LAST and prints those that break a bound, the third those of
 * suspicion_draw_part(), and the fourth those of suspicion_draw_headless().
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "regress/suspicion_sim.h"

enum {
    SEEDS_DEFAULT = 10,
    DECIMAL = 10,
    LATE_SENDS_MAX = 3,
    DESCRIPTION_BYTES = 512
};

typedef suspicion_scenario_t draw_t(uint64_t seed);

static void
run_load(const suspicion_scenario_t *load, uint64_t seeds)
{
    suspicion_scenario_t scenario = *load;
    uint32_t broken = 0;
    uint32_t late_max = 0;
    uint64_t late = 0;
    uint64_t crashes = 0;
    uint64_t harmless = 0;
    uint64_t completed = 0;
    uint64_t failed = 0;
    uint64_t cleared = 0;
    uint32_t sends_max = 0;

    for (scenario.seed = 1; scenario.seed <= seeds; scenario.seed++) {
        suspicion_result_t result = suspicion_simulate(&scenario);

        broken += result.late_sends > LATE_SENDS_MAX ? 1 : 0;
        late_max = result.late_sends > late_max ? result.late_sends : late_max;
        late += result.late_sends;
        crashes += result.harmful_crashes;
        harmless += result.refused_harmless;
        completed += result.completed;
        cleared += result.cleared_harmful;
        failed += result.failed;
        sends_max =
            result.sends_max > sends_max ? result.sends_max : sends_max;
    }
    printf("%-22s late %5.1f most %3" PRIu32 " broken %2" PRIu32 "/%" PRIu64
           " crashes %6.1f harmless refused %3" PRIu64 " failed %4" PRIu64
           " of %6" PRIu64 " sends at once %" PRIu32 " cleared %" PRIu64 "\n",
           load->name, (double)late / (double)seeds, late_max, broken, seeds,
           (double)crashes / (double)seeds, harmless, failed,
           completed + failed, sends_max, cleared);
    (void)fflush(stdout);
}

static void
run_drawn(uint64_t first, uint64_t last)
{
    uint64_t seed;
    uint32_t harmful_loads = 0;
    uint32_t broken = 0;
    uint32_t late_max = 0;
    uint32_t refusing = 0;
    uint64_t crashes = 0;
    uint64_t late = 0;
    uint64_t refused = 0;
    uint64_t requests = 0;
    uint64_t failed = 0;
    char text[DESCRIPTION_BYTES];

    for (seed = first; seed <= last; seed++) {
        suspicion_scenario_t scenario = suspicion_draw(seed);
        suspicion_result_t result = suspicion_simulate(&scenario);

        harmful_loads += scenario.harmful_interval_ms > 0 ? 1 : 0;
        broken += result.late_sends > LATE_SENDS_MAX ? 1 : 0;
        late_max = result.late_sends > late_max ? result.late_sends : late_max;
        late += result.late_sends;
        crashes += result.harmful_crashes;
        refusing += result.refused_harmless > 0 ? 1 : 0;
        refused += result.refused_harmless;
        requests += result.completed + result.failed;
        failed += result.failed;
        if (result.late_sends > LATE_SENDS_MAX ||
            result.refused_harmless > 0) {
            suspicion_describe(&scenario, text, sizeof(text));
            printf("late %3" PRIu32 " crashes %3" PRIu32 " refused %3" PRIu32
                   " of %5" PRIu32 "  %s\n",
                   result.late_sends, result.harmful_crashes,
                   result.refused_harmless, result.completed + result.failed,
                   text);
        }
    }
    printf("seeds %" PRIu64 " to %" PRIu64 ": %" PRIu32 " with a harmful "
           "request, %" PRIu32 " over the bound, late sends %" PRIu64
           " (most %" PRIu32 "), crashes %" PRIu64
           "; harmless refused %" PRIu64 " of %" PRIu64 " in %" PRIu32
           " loads, failed %" PRIu64 "\n",
           first, last, harmful_loads, broken, late, late_max, crashes,
           refused, requests, refusing, failed);
}

static void
run_parts(draw_t *draw, uint64_t first, uint64_t last)
{
    uint64_t seed;
    uint32_t over = 0;
    uint32_t lost = 0;
    uint64_t late = 0;
    uint64_t crashes = 0;
    suspicion_begun_t before = {0};
    suspicion_begun_t after = {0};
    char text[DESCRIPTION_BYTES];

    for (seed = first; seed <= last; seed++) {
        suspicion_scenario_t scenario = draw(seed);
        suspicion_result_t result = suspicion_simulate(&scenario);
        bool begins =
            suspicion_begins(&result.first_before, &result.first_after) &&
            suspicion_begins(&result.all_before, &result.all_after);

        over += result.late_sends > LATE_SENDS_MAX ? 1 : 0;
        lost += begins ? 0 : 1;
        late += result.late_sends;
        crashes += result.harmful_crashes;
        before.requests += result.all_before.requests;
        before.begun += result.all_before.begun;
        after.requests += result.all_after.requests;
        after.begun += result.all_after.begun;
        if (result.late_sends > LATE_SENDS_MAX || !begins) {
            suspicion_describe(&scenario, text, sizeof(text));
            printf("late %3" PRIu32 " crashes %3" PRIu32 " first %" PRIu32
                   "/%" PRIu32 " then %" PRIu32 "/%" PRIu32 " all %" PRIu32
                   "/%" PRIu32 " then %" PRIu32 "/%" PRIu32 "  %s\n",
                   result.late_sends, result.harmful_crashes,
                   result.first_before.begun, result.first_before.requests,
                   result.first_after.begun, result.first_after.requests,
                   result.all_before.begun, result.all_before.requests,
                   result.all_after.begun, result.all_after.requests, text);
        }
    }
    printf("seeds %" PRIu64 " to %" PRIu64 ": %" PRIu32
           " over the bound, late sends %" PRIu64 ", crashes %" PRIu64
           "; %" PRIu32 " where harmless requests do not begin; begun %" PRIu64
           "/%" PRIu64 " before, %" PRIu64 "/%" PRIu64 " after\n",
           first, last, over, late, crashes, lost, (uint64_t)before.begun,
           (uint64_t)before.requests, (uint64_t)after.begun,
           (uint64_t)after.requests);
}

int
main(int argc, char **argv)
{
    uint64_t seeds =
        argc > 1 ? strtoull(argv[1], NULL, DECIMAL) : SEEDS_DEFAULT;
    size_t i;

    if (argc > 3 && strcmp(argv[1], "drawn") == 0) {
        run_drawn(strtoull(argv[2], NULL, DECIMAL),
                  strtoull(argv[3], NULL, DECIMAL));
        return 0;
    }
    if (argc > 3 && strcmp(argv[1], "parts") == 0) {
        run_parts(suspicion_draw_part, strtoull(argv[2], NULL, DECIMAL),
                  strtoull(argv[3], NULL, DECIMAL));
        return 0;
    }
    if (argc > 3 && strcmp(argv[1], "headless") == 0) {
        run_parts(suspicion_draw_headless, strtoull(argv[2], NULL, DECIMAL),
                  strtoull(argv[3], NULL, DECIMAL));
        return 0;
    }
    for (i = 0; i < suspicion_load_count; i++) {
        if (argc < 3 || strcmp(argv[2], suspicion_loads[i].name) == 0) {
            run_load(&suspicion_loads[i], seeds > 0 ? seeds : 1);
        }
    }
    return 0;
}
