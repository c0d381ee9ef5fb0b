/* pool_choose.c - the choice of a runner; see pool.h. */
#include <string.h>

#include <xxhash.h>

#include "forward/pool_private.h"

enum {
    PERMILLE = 1000,
    /* A slot's worth of load for a runner of another zone than this host's:
     * the bytes cost, and the way is longer. */
    FAR_PERMILLE = 60,
    /* What a share of failed requests counts for, against full slots. */
    FAILED_WEIGHT = 4,
    /* A prompt that is read slows all other streams of its runner, and a
     * second one beside it waits; a running stream costs the others little,
     * and the first few next to nothing. */
    READING_LOAD = 1000,
    RUNNING_LOAD = 100,
    RUNNING_FREE = 2,
    /* Streams and copies that a runner may hold before it is a worse standby
     * than others: half of the ten prompts that its memory has room for. */
    COPIES_FREE = 5,
};

/* How a runner compares; the least is chosen. */
typedef struct {
    uint32_t rank; /* 0 before 1 before ... */
    uint64_t load;
    uint64_t cached; /* goes before others of its load */
    uint64_t tie;
} score_t;

static bool was_tried(const pool_runner_t *runner, const pool_want_t *want);
static score_t score_of(const pool_runner_t *runner, int64_t now_us,
                        const pool_want_t *want);
static uint64_t stream_load(const pool_runner_t *runner);
static uint64_t copy_load(const pool_runner_t *runner);
static bool is_less(const score_t *left, const score_t *right);

pool_runner_t *
pool_choose(const pool_t *pool, int64_t now_us, const pool_want_t *want)
{
    pool_runner_t *best = NULL;
    pool_runner_t *runner;
    score_t least = {0};

    for (runner = pool->runners; runner != NULL; runner = runner->hh.next) {
        score_t score;

        if (strcmp(runner->is.service, want->service) != 0 ||
            !pool_usable(runner, now_us) || was_tried(runner, want) ||
            (want->not_zone != NULL && runner->zone == want->not_zone)) {
            continue;
        }
        score = score_of(runner, now_us, want);
        if (best == NULL || is_less(&score, &least)) {
            best = runner;
            least = score;
        }
    }
    return best;
}

static bool
was_tried(const pool_runner_t *runner, const pool_want_t *want)
{
    size_t i;

    for (i = 0; i < want->tried_count; i++) {
        if (want->tried[i] == runner->serial) {
            return true;
        }
    }
    return false;
}

/*
 * A runner that rests, or whose zone does, comes after all others.  Hosts
 * may see the same loads at the same moment, so that runners that are alike
 * are told apart by the request, not by an order that all hosts share; a
 * request that comes again after the loss of its host finds the same runner.
 */
static score_t
score_of(const pool_runner_t *runner, int64_t now_us, const pool_want_t *want)
{
    uint64_t slots = runner->is.slots > 0 ? runner->is.slots : 1;
    score_t score = {0};

    score.rank = (pool_zone_rests(runner->zone, now_us) ? 2 : 0) +
                 (now_us < runner->rests_until_us ? 1 : 0);
    switch (want->kind) {
    case WANT_STREAM:
        score.load = stream_load(runner);
        if (want->cached_at == runner->id_hash) {
            score.load = 0;
            score.cached = 1;
        }
        break;
    case WANT_COPY:
        score.load = copy_load(runner);
        break;
    case WANT_PLAIN:
        score.load = (uint64_t)runner->running * PERMILLE / slots +
                     (uint64_t)runner->failed_permille * FAILED_WEIGHT;
        if (want->zone != NULL && strcmp(runner->is.zone, want->zone) != 0) {
            score.load += FAR_PERMILLE;
        }
        break;
    }
    score.tie = XXH3_64bits_withSeed(&runner->id_hash, sizeof(runner->id_hash),
                                     want->affinity);
    return score;
}

static uint64_t
stream_load(const pool_runner_t *runner)
{
    uint64_t reading = (uint64_t)runner->reading + runner->peers_reading;
    uint64_t running = (uint64_t)runner->running + runner->peers_running;

    return reading * READING_LOAD +
           (running > RUNNING_FREE ? running - RUNNING_FREE : 0) *
               RUNNING_LOAD;
}

/*
 * Load: a zone of engines fails, and all hosts choose new standbys in the same
 * moment.  Were the least loaded engine the best one, all would choose that.
 */
static uint64_t
copy_load(const pool_runner_t *runner)
{
    uint64_t held =
        (uint64_t)runner->running + runner->peers_running + runner->copies;

    return held > COPIES_FREE ? (held - COPIES_FREE) * RUNNING_LOAD : 0;
}

static bool
is_less(const score_t *left, const score_t *right)
{
    if (left->rank != right->rank) {
        return left->rank < right->rank;
    }
    if (left->load != right->load) {
        return left->load < right->load;
    }
    if (left->cached != right->cached) {
        return left->cached > right->cached;
    }
    return left->tie < right->tie;
}
