/* runners.c - see runners.h. */
#include <stdlib.h>
#include <string.h>

#include "policy/runners.h"
#include "policy/session.h"

enum {
    US_PER_MS = 1000,
    DOWN_FIRST_US = 250 * US_PER_MS,
    DOWN_MOST_US = 8000 * US_PER_MS,
    DOWN_DOUBLINGS = 5,
    SLOW_START_US = 10000 * US_PER_MS,
};

/* Costs of a choice, in streams: lower is better. */
enum {
    COST_SCALE = 1000,      /* one stream ahead of ours */
    COST_OTHER_ZONE = 500,  /* a millisecond of network */
    COST_SUSPECT = 1000000, /* more than any load */
    COST_LOST_ON = 4000000, /* another runner tells more, and is spared */
    COST_RETURNING = 4000,  /* just back: its cache is cold */
    GAIN_PREFIX = 400,      /* each cached KiB of the prompt */
    GAIN_PREFIX_MOST = 6000,
};

static void remove_runner(runners_t *runners, runner_state_t *state);
static void describe(runner_state_t *state, const runner_t *runner);
static void forget_description(runner_state_t *state);
static bool serves(const runner_state_t *runner, const wish_t *wish);
static bool avoided(const runner_state_t *runner, const wish_t *wish);
static bool barred(const runner_state_t *runner, const wish_t *wish);
static int64_t cost_of_suspect(const runner_state_t *runner,
                               const wish_t *wish);
static int64_t cost(const runner_state_t *runner, const wish_t *wish,
                    int64_t now_us);

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
        describe(state, runner);
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
runners_choose(const runners_t *runners, const wish_t *wish, int64_t now_us)
{
    runner_state_t *best = NULL;
    runner_state_t *state;
    int64_t best_cost = 0;

    for (state = runners->by_name; state != NULL; state = state->hh.next) {
        int64_t this_cost;

        if (!serves(state, wish) || avoided(state, wish) || state->leaving ||
            state->down_until_us > now_us || barred(state, wish) ||
            runner_load(state) >= state->streams_max) {
            continue;
        }
        this_cost = cost(state, wish, now_us);
        if (best == NULL || this_cost < best_cost) {
            best = state;
            best_cost = this_cost;
        }
    }
    return best;
}

bool
runners_exist(const runners_t *runners, const wish_t *wish)
{
    const runner_state_t *state;

    for (state = runners->by_name; state != NULL; state = state->hh.next) {
        if (serves(state, wish)) {
            return true;
        }
    }
    return false;
}

void
runner_cache(runner_state_t *runner, const uint64_t *hashes, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        runner->prefixes[hashes[i] % PREFIX_SLOTS] = hashes[i];
    }
}

void
runner_failed(runner_state_t *runner, int64_t now_us)
{
    uint32_t doublings = runner->failures;
    int64_t pause_us;

    if (doublings > DOWN_DOUBLINGS) {
        doublings = DOWN_DOUBLINGS;
    }
    pause_us = (int64_t)DOWN_FIRST_US << doublings;
    runner->down_until_us =
        now_us + (pause_us < DOWN_MOST_US ? pause_us : DOWN_MOST_US);
    runner->failures++;
    memset(runner->prefixes, 0, sizeof(runner->prefixes));
}

void
runner_heard(runner_state_t *runner, int64_t now_us)
{
    if (runner->failures == 0) {
        return;
    }
    runner->failures = 0;
    runner->down_until_us = 0;
    runner->returned_us = now_us;
}

uint32_t
runner_load(const runner_state_t *runner)
{
    uint32_t load = runner->running + runner->waiting + runner->sent_since;

    load -= runner->ended_since < load ? runner->ended_since : load;
    return load > runner->streams ? load : runner->streams;
}

size_t
runner_cached(const runner_state_t *runner, const uint64_t *hashes,
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
    /* The analyzer does not follow how uthash moves its head. */
    HASH_DEL(runners->by_name, state); /* NOLINT(clang-analyzer-unix.Malloc) */
    forget_description(state);
    free(state->name);
    free(state);
}

static void
describe(runner_state_t *state, const runner_t *runner)
{
    forget_description(state);
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
forget_description(runner_state_t *state)
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
serves(const runner_state_t *runner, const wish_t *wish)
{
    if (!runner->listed || runner->service != wish->service) {
        return false;
    }
    for (size_t i = 0; i < runner->model_count; i++) {
        if (strcmp(runner->models[i], wish->model) == 0) {
            return true;
        }
    }
    return false;
}

static bool
avoided(const runner_state_t *runner, const wish_t *wish)
{
    return runner == wish->avoid[0] || runner == wish->avoid[1];
}

static bool
barred(const runner_state_t *runner, const wish_t *wish)
{
    return wish->suspects != NULL &&
           session_company(runner, wish) == COMPANY_BARRED;
}

/* A suspect goes where it meets no other and has killed nothing yet. */
static int64_t
cost_of_suspect(const runner_state_t *runner, const wish_t *wish)
{
    int64_t total = 0;

    if (session_company(runner, wish) != COMPANY_NONE) {
        total += COST_SUSPECT;
    }
    if (suspects_lost_on(wish->suspects, wish->fingerprint, runner->name)) {
        total += COST_LOST_ON;
    }
    return total;
}

static int64_t
cost(const runner_state_t *runner, const wish_t *wish, int64_t now_us)
{
    int64_t load = (int64_t)runner_load(runner) + runner->waiting;
    int64_t total = load * COST_SCALE;
    int64_t gain;

    if (strcmp(runner->zone, wish->zone) != 0) {
        total += COST_OTHER_ZONE;
    }
    if (runner->returned_us != 0 &&
        now_us - runner->returned_us < SLOW_START_US) {
        total += COST_RETURNING;
    }
    if (wish->suspects != NULL) {
        total += cost_of_suspect(runner, wish);
    }
    gain = (int64_t)runner_cached(runner, wish->prefix_hashes,
                                  wish->prefix_count) *
           GAIN_PREFIX;
    return total - (gain < GAIN_PREFIX_MOST ? gain : GAIN_PREFIX_MOST);
}
