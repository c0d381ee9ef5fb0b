/*
 * pool_choose.c - selects the runner for a request; see pool.h.
 */
#include <string.h>

#include <xxhash.h>

#include "forward/pool_private.h"

enum {
    PERMILLE = 1000,
    /* Load added to a runner in another zone than this host's: traffic
     * between zones is charged and has a higher latency. */
    CROSS_ZONE_PERMILLE = 60,
    /* Weight of the share of failed requests against that of used slots. */
    FAILED_WEIGHT = 4,
    /* A prefill slows all other streams of its runner and delays a second
     * prefill.  A running stream costs the others little, and the first
     * FREE_STREAMS almost nothing. */
    PREFILL_LOAD = 1000,
    RUNNING_LOAD = 100,
    FREE_STREAMS = 2,
    /* Streams and copies that a runner may hold before others are preferred
     * as standby: half of the ten prompts that fit into its KV cache. */
    FREE_COPIES = 5,
};

/* The sort key of a runner, most significant member first. */
typedef struct {
    uint32_t rank; /* by cooldown; lower is better */
    uint64_t load;
    uint64_t cached; /* 1: the prompt is in its cache; higher is better */
    uint64_t tie_break;
} score_t;

static bool has_version(const pool_runner_t *runner,
                        const pool_query_t *query);
static bool was_tried(const pool_runner_t *runner, const pool_query_t *query);
static score_t score_of(const pool_runner_t *runner, int64_t now_us,
                        const pool_query_t *query);
static uint64_t stream_load(const pool_runner_t *runner);
static uint64_t packed_load(const pool_runner_t *runner, uint64_t slots);
static uint64_t copy_load(const pool_runner_t *runner);
static bool score_is_better(const score_t *left, const score_t *right);

pool_runner_t *
pool_choose_runner(const pool_t *pool, int64_t now_us,
                   const pool_query_t *query)
{
    pool_runner_t *best = NULL;
    pool_runner_t *runner;
    score_t best_score = {0};

    for (runner = pool->runners; runner != NULL; runner = runner->hh.next) {
        score_t score;

        if (strcmp(runner->registration.service, query->service) != 0 ||
            !pool_runner_usable(runner, now_us) || was_tried(runner, query) ||
            !has_version(runner, query) ||
            (query->excluded_zone != NULL &&
             runner->zone == query->excluded_zone)) {
            continue;
        }
        score = score_of(runner, now_us, query);
        if (best == NULL || score_is_better(&score, &best_score)) {
            best = runner;
            best_score = score;
        }
    }
    return best;
}

static bool
has_version(const pool_runner_t *runner, const pool_query_t *query)
{
    uint32_t i;

    if (query->excluded_version != 0 &&
        runner->version == query->excluded_version) {
        return false;
    }
    if (query->id_order_max != 0 &&
        pool_runner_order(runner) > query->id_order_max) {
        return false;
    }
    if (query->version != 0) {
        return runner->version == query->version &&
               pool_runner_wrote_entry(runner);
    }
    for (i = 0; i < query->version_count; i++) {
        if (runner->version == query->versions[i]) {
            return true;
        }
    }
    return query->version_count == 0;
}

static bool
was_tried(const pool_runner_t *runner, const pool_query_t *query)
{
    size_t i;

    for (i = 0; i < query->tried_count; i++) {
        if (query->tried[i] == runner->serial) {
            return true;
        }
    }
    return false;
}

/*
 * Ranks runners in cooldown, or in a zone in cooldown, after all others.
 * Several hosts may see the same loads at the same time, so ties are broken by
 * a hash of runner and request rather than by an order common to all hosts.  A
 * request that is resent after the loss of its host still gets the same
 * runner.
 */
static score_t
score_of(const pool_runner_t *runner, int64_t now_us,
         const pool_query_t *query)
{
    uint64_t slots =
        runner->registration.slots > 0 ? runner->registration.slots : 1;
    score_t score = {0};

    score.rank =
        (pool_zone_in_cooldown(runner->zone, now_us) ? 2 : 0) +
        (now_us < runner->cooldown_until_us || now_us < runner->silent_until_us
             ? 1
             : 0);
    switch (query->kind) {
    case WORKLOAD_STREAM:
        score.load = stream_load(runner);
        if (query->cached_runner == runner->id_hash) {
            score.load = 0;
            score.cached = 1;
        }
        if (query->pack) {
            score.load = packed_load(runner, slots);
        }
        break;
    case WORKLOAD_COPY:
        score.load = copy_load(runner);
        break;
    case WORKLOAD_PLAIN:
        score.load = (uint64_t)runner->running * PERMILLE / slots +
                     (uint64_t)runner->failed_permille * FAILED_WEIGHT;
        if (query->zone != NULL &&
            strcmp(runner->registration.zone, query->zone) != 0) {
            score.load += CROSS_ZONE_PERMILLE;
        }
        break;
    }
    score.tie_break = XXH3_64bits_withSeed(
        &runner->id_hash, sizeof(runner->id_hash), query->affinity);
    return score;
}

static uint64_t
stream_load(const pool_runner_t *runner)
{
    uint64_t prefilling =
        (uint64_t)runner->prefilling + runner->peers_prefilling;
    uint64_t running = (uint64_t)runner->running + runner->peers_running;

    return prefilling * PREFILL_LOAD +
           (running > FREE_STREAMS ? running - FREE_STREAMS : 0) *
               RUNNING_LOAD;
}

/* A runner that is full or reads a prompt comes after all others. */
static uint64_t
packed_load(const pool_runner_t *runner, uint64_t slots)
{
    uint64_t running = (uint64_t)runner->running + runner->peers_running;
    uint64_t prefilling =
        (uint64_t)runner->prefilling + runner->peers_prefilling;

    return running >= slots || prefilling > 0
               ? slots + running + prefilling * PREFILL_LOAD
               : slots - running;
}

/*
 * When a zone of engines fails, all hosts choose new standbys at the same
 * time.  If the engine with the lowest load always had the best score, all of
 * them would choose it; so engines with few streams and copies score equally.
 */
static uint64_t
copy_load(const pool_runner_t *runner)
{
    uint64_t held =
        (uint64_t)runner->running + runner->peers_running + runner->copies;

    return held > FREE_COPIES ? (held - FREE_COPIES) * RUNNING_LOAD : 0;
}

static bool
score_is_better(const score_t *left, const score_t *right)
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
    return left->tie_break < right->tie_break;
}
