/* runners.c - selection, load and failures of backend servers. */
#include <stdlib.h>
#include <string.h>

#include "policy/runners.h"
#include "policy/session.h"

enum {
    US_PER_MS = 1000,
    BACKOFF_MIN_US = 250 * US_PER_MS,
    BACKOFF_MAX_US = 8000 * US_PER_MS,
    BACKOFF_DOUBLINGS_MAX = 5,
    SLOW_START_US = 10000 * US_PER_MS,
};

/* Costs of a runner, in thousandths of a stream; the least is selected. */
enum {
    COST_SCALE = 1000,        /* each stream that it already has */
    COST_OTHER_ZONE = 500,    /* a network round trip of about 1 ms */
    COST_SUSPECT = 1000000,   /* other suspects there: more than any load */
    COST_SEEN_LOSS = 4000000, /* see suspect_cost() */
    COST_RECOVERED = 4000,    /* recently recovered: its cache is cold */
    GAIN_PREFIX = 400,        /* each cached KiB of the prompt */
    GAIN_PREFIX_MAX = 6000,
};

static void remove_runner(runners_t *runners, runner_state_t *state);
static void set_listing(runner_state_t *state, const runner_t *runner);
static void free_listing(runner_state_t *state);
static bool serves(const runner_state_t *runner, const runner_query_t *query);
static bool is_excluded(const runner_state_t *runner,
                        const runner_query_t *query);
static bool violates_isolation(const runner_state_t *runner,
                               const runner_query_t *query);
static int64_t suspect_cost(const runner_state_t *runner,
                            const runner_query_t *query);
static int64_t selection_cost(const runner_state_t *runner,
                              const runner_query_t *query, int64_t now_us);

void
runners_update(runners_t *runners, const fleet_t *fleet)
{
    runner_state_t *state;
    runner_state_t *next;

    HASH_ITER(hh, runners->by_name, state, next)
    {
        state->listed = false;
    }
    for (size_t i = 0; i < fleet->runner_count; i++) {
        const runner_t *runner = &fleet->runners[i];

        state = runners_find(runners, runner->name);
        if (state == NULL) {
            state = xcalloc(1, sizeof(*state));
            state->name = xstrdup(runner->name);
            LIST_INIT(&state->attempts);
            HASH_ADD_KEYPTR(hh, runners->by_name, state->name,
                            strlen(state->name), state);
        }
        set_listing(state, runner);
    }
    HASH_ITER(hh, runners->by_name, state, next)
    {
        if (!state->listed && state->streams == 0) {
            remove_runner(runners, state);
        }
    }
}

void
runners_free(runners_t *runners)
{
    runner_state_t *state;
    runner_state_t *next;

    HASH_ITER(hh, runners->by_name, state, next)
    {
        remove_runner(runners, state);
    }
}

runner_state_t *
runners_find(const runners_t *runners, const char *name)
{
    runner_state_t *state;

    HASH_FIND_STR(runners->by_name, name, state);
    return state;
}

runner_state_t *
runners_select(const runners_t *runners, const runner_query_t *query,
               int64_t now_us)
{
    runner_state_t *best = NULL;
    runner_state_t *state;
    int64_t best_cost = 0;

    for (state = runners->by_name; state != NULL; state = state->hh.next) {
        int64_t this_cost;

        if (!serves(state, query) || is_excluded(state, query) ||
            state->leaving || state->down_until_us > now_us ||
            violates_isolation(state, query) ||
            runner_load(state) >= state->streams_max) {
            continue;
        }
        this_cost = selection_cost(state, query, now_us);
        if (best == NULL || this_cost < best_cost) {
            best = state;
            best_cost = this_cost;
        }
    }
    return best;
}

bool
runners_any_matches(const runners_t *runners, const runner_query_t *query)
{
    const runner_state_t *state;

    for (state = runners->by_name; state != NULL; state = state->hh.next) {
        if (serves(state, query)) {
            return true;
        }
    }
    return false;
}

void
runner_record_prefixes(runner_state_t *runner, const uint64_t *hashes,
                       size_t count)
{
    for (size_t i = 0; i < count; i++) {
        runner->prefixes[hashes[i] % PREFIX_SLOTS] = hashes[i];
    }
}

void
runner_record_failure(runner_state_t *runner, int64_t now_us)
{
    uint32_t doublings = runner->failures;
    int64_t backoff_us;

    if (doublings > BACKOFF_DOUBLINGS_MAX) {
        doublings = BACKOFF_DOUBLINGS_MAX;
    }
    backoff_us = (int64_t)BACKOFF_MIN_US << doublings;
    runner->down_until_us =
        now_us + (backoff_us < BACKOFF_MAX_US ? backoff_us : BACKOFF_MAX_US);
    runner->failures++;
    memset(runner->prefixes, 0, sizeof(runner->prefixes));
}

void
runner_record_response(runner_state_t *runner, int64_t now_us)
{
    if (runner->failures == 0) {
        return;
    }
    runner->failures = 0;
    runner->down_until_us = 0;
    runner->recovered_us = now_us;
}

uint32_t
runner_load(const runner_state_t *runner)
{
    uint32_t load =
        runner->running + runner->waiting + runner->opened_since_report;

    load -=
        runner->ended_since_report < load ? runner->ended_since_report : load;
    return load > runner->streams ? load : runner->streams;
}

size_t
runner_cached_prefixes(const runner_state_t *runner, const uint64_t *hashes,
                       size_t count)
{
    size_t cached = 0;

    while (cached < count &&
           runner->prefixes[hashes[cached] % PREFIX_SLOTS] == hashes[cached]) {
        cached++;
    }
    return cached;
}

static void
remove_runner(runners_t *runners, runner_state_t *state)
{
    /* The analyzer does not model how uthash updates the list head. */
    HASH_DEL(runners->by_name, state); /* NOLINT(clang-analyzer-unix.Malloc) */
    free_listing(state);
    free(state->name);
    free(state);
}

static void
set_listing(runner_state_t *state, const runner_t *runner)
{
    free_listing(state);
    state->address = xstrdup(runner->address);
    state->zone = xstrdup(runner->zone);
    state->service = runner->kind == RUNNER_SERVICE;
    state->streams_max = runner->streams_max;
    state->model_count = runner->model_count;
    state->models = xcalloc(runner->model_count + 1, sizeof(char *));
    for (size_t i = 0; i < runner->model_count; i++) {
        state->models[i] = xstrdup(runner->models[i]);
    }
    state->listed = true;
}

static void
free_listing(runner_state_t *state)
{
    for (size_t i = 0; i < state->model_count; i++) {
        free(state->models[i]);
    }
    free(state->models);
    free(state->address);
    free(state->zone);
    state->models = NULL;
    state->model_count = 0;
}

static bool
serves(const runner_state_t *runner, const runner_query_t *query)
{
    if (!runner->listed || runner->service != query->service) {
        return false;
    }
    for (size_t i = 0; i < runner->model_count; i++) {
        if (strcmp(runner->models[i], query->model) == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_excluded(const runner_state_t *runner, const runner_query_t *query)
{
    return runner == query->excluded[0] || runner == query->excluded[1];
}

static bool
violates_isolation(const runner_state_t *runner, const runner_query_t *query)
{
    return query->suspects != NULL &&
           session_worst_colocation(runner, query) == COLOCATION_FORBIDDEN;
}

/*
 * A suspect request is best isolated from other suspects, on a runner that has
 * not failed with it: a failure of another runner is stronger evidence, and
 * the first one is not made to fail again.
 */
static int64_t
suspect_cost(const runner_state_t *runner, const runner_query_t *query)
{
    int64_t total = 0;

    if (session_worst_colocation(runner, query) != COLOCATION_ALLOWED) {
        total += COST_SUSPECT;
    }
    if (suspects_lost_on(query->suspects, query->fingerprint, runner->name)) {
        total += COST_SEEN_LOSS;
    }
    return total;
}

static int64_t
selection_cost(const runner_state_t *runner, const runner_query_t *query,
               int64_t now_us)
{
    int64_t load = (int64_t)runner_load(runner) + runner->waiting;
    int64_t total = load * COST_SCALE;
    int64_t gain;

    if (strcmp(runner->zone, query->zone) != 0) {
        total += COST_OTHER_ZONE;
    }
    if (runner->recovered_us != 0 &&
        now_us - runner->recovered_us < SLOW_START_US) {
        total += COST_RECOVERED;
    }
    if (query->suspects != NULL) {
        total += suspect_cost(runner, query);
    }
    gain = (int64_t)runner_cached_prefixes(runner, query->prefix_hashes,
                                           query->prefix_count) *
           GAIN_PREFIX;
    return total - (gain < GAIN_PREFIX_MAX ? gain : GAIN_PREFIX_MAX);
}
