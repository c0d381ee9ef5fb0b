/*
 * bench_silence.c - measures how hosts bear silent and failing runners.
 *
 * Runs silence_sim.h's simulation with the seeds FIRST to LAST and prints the
 * sums, and the gaps of the streams that were resumed after a real loss.
 *
 *     bench_silence FIRST LAST
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/arena.h"
#include "regress/silence_sim.h"
#include "world/routing.h"

enum { DECIMAL = 10, PERCENT = 100, P50 = 50, P99 = 99, GAP_AIM_MS = 700 };

typedef struct {
    uint32_t *ms;
    size_t count;
} gaps_t;

/* Seeds in which something was found, and how often. */
typedef struct {
    uint64_t count;
    uint64_t seeds;
} finding_t;

typedef struct {
    uint64_t requests[SILENCE_TYPES];
    uint64_t served;
    uint64_t not_run;
    uint64_t refused;
    uint64_t aborted;
    uint64_t timeouts;
    uint64_t open;
    uint64_t runs;
    finding_t ended_sound;
    finding_t ended_after_loss;
    finding_t double_unsafe;
    finding_t double_streams;
    finding_t overlaps;
    finding_t harmful;
    finding_t harmful_silent; /* in seeds where no runner fails */
    finding_t repeated;
    gaps_t reset;
    gaps_t dark;
    gaps_t lost_silent;
} sums_t;

static int
compare(const void *left, const void *right)
{
    uint32_t left_ms = *(const uint32_t *)left;
    uint32_t right_ms = *(const uint32_t *)right;

    return left_ms < right_ms ? -1 : left_ms > right_ms;
}

static void
add_gaps(gaps_t *gaps, const silence_gaps_t *added)
{
    uint32_t i;

    gaps->ms =
        xrealloc(gaps->ms, gaps->count + added->count + 1, sizeof(*gaps->ms));
    for (i = 0; i < added->count; i++) {
        gaps->ms[gaps->count] = added->ms[i];
        gaps->count++;
    }
}

static void
print_gaps(const char *name, const gaps_t *gaps)
{
    size_t late = 0;
    size_t i;

    if (gaps->count == 0) {
        printf("gap after %s: none\n", name);
        return;
    }
    qsort(gaps->ms, gaps->count, sizeof(*gaps->ms), compare);
    for (i = 0; i < gaps->count; i++) {
        late += gaps->ms[i] > GAP_AIM_MS ? 1 : 0;
    }
    printf("gap after %s: p50 %" PRIu32 " p99 %" PRIu32 " most %" PRIu32
           " ms, %zu of %zu over %d ms\n",
           name, gaps->ms[(gaps->count - 1) * P50 / PERCENT],
           gaps->ms[(gaps->count - 1) * P99 / PERCENT],
           gaps->ms[gaps->count - 1], late, gaps->count, GAP_AIM_MS);
}

static void
find(finding_t *finding, uint32_t count)
{
    finding->count += count;
    finding->seeds += count > 0 ? 1 : 0;
}

static void
print_finding(const char *name, const finding_t *finding)
{
    printf("%s: %" PRIu64 " in %" PRIu64 " seeds\n", name, finding->count,
           finding->seeds);
}

static void
add(sums_t *sums, const silence_result_t *result)
{
    size_t i;

    for (i = 0; i < SILENCE_TYPES; i++) {
        sums->requests[i] += result->requests[i];
    }
    sums->served += result->served;
    sums->not_run += result->not_run;
    sums->refused += result->refused;
    sums->aborted += result->aborted;
    sums->timeouts += result->timeouts;
    sums->open += result->open;
    sums->runs += result->runs;
    find(&sums->ended_sound, result->ended_sound);
    find(&sums->ended_after_loss, result->ended_after_loss);
    find(&sums->double_unsafe, result->double_unsafe);
    find(&sums->double_streams, result->double_streams);
    find(&sums->overlaps, result->overlaps);
    find(&sums->harmful, result->harmful);
    find(&sums->harmful_silent, result->fails ? 0 : result->harmful);
    find(&sums->repeated, result->repeated);
    add_gaps(&sums->reset, &result->reset);
    add_gaps(&sums->dark, &result->dark);
    add_gaps(&sums->lost_silent, &result->lost_silent);
}

static void
print(const sums_t *sums)
{
    printf("streams %" PRIu64 " unsafe %" PRIu64 " safe %" PRIu64
           ": served %" PRIu64 " not-run %" PRIu64 " 502 %" PRIu64
           " aborted %" PRIu64 " deadline %" PRIu64 " open %" PRIu64 "\n",
           sums->requests[REQUEST_STREAM], sums->requests[REQUEST_UNSAFE],
           sums->requests[REQUEST_SAFE], sums->served, sums->not_run,
           sums->refused, sums->aborted, sums->timeouts, sums->open);
    print_finding("ended, runners sound", &sums->ended_sound);
    print_finding("ended after a loss", &sums->ended_after_loss);
    print_finding("second runs of unsafe requests", &sums->double_unsafe);
    print_finding("streams at two runners, both reached",
                  &sums->double_streams);
    print_finding("streams at two runners, one silent", &sums->overlaps);
    print_finding("harmless refused", &sums->harmful);
    print_finding("harmless refused, no runner fails", &sums->harmful_silent);
    print_finding("runs begun again, runner sound", &sums->repeated);
    printf("runs %" PRIu64 ", %.2f %% of them begun again\n", sums->runs,
           sums->runs > 0
               ? PERCENT * (double)sums->repeated.count / (double)sums->runs
               : 0);
    print_gaps("a reset", &sums->reset);
    print_gaps("a dark runner", &sums->dark);
    print_gaps("a loss in a silence", &sums->lost_silent);
}

int
main(int argc, char **argv)
{
    uint64_t first = argc > 1 ? strtoull(argv[1], NULL, DECIMAL) : 1;
    uint64_t last = argc > 2 ? strtoull(argv[2], NULL, DECIMAL) : first;
    sums_t sums = {0};
    uint64_t seed;

    for (seed = first; seed <= last; seed++) {
        silence_result_t result = silence_simulate(seed);

        add(&sums, &result);
    }
    printf("seeds %" PRIu64 " to %" PRIu64 "\n", first, last);
    print(&sums);
    free(sums.reset.ms);
    free(sums.dark.ms);
    free(sums.lost_silent.ms);
    return 0;
}
