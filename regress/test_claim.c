/*
 * test_claim.c - model-checks two hosts that claim one key.
 *
 * Explores all interleavings, up to a depth, of a model of the store and of
 * the calls in transit, using the real claim_t.  Time is in ticks.  A host
 * that does not act while ticks pass models a paused process.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/arena.h"
#include "policy/claim.h"

enum {
    HOSTS = 2,
    CALLS = 3,
    ATTEMPTS = 2,  /* per host, each with its own batch number */
    SENDS_MAX = 2, /* of one claim or release */
    LEASE = 3,
    VALIDITY = 1,
    TICKS = 4,
    DEPTH = 14,
    SET_SLOTS = 1 << 24,
};

typedef enum { CALL_NONE, CALL_CLAIM, CALL_RELEASE } call_kind_t;

typedef struct {
    uint8_t kind;
    uint8_t host;
    uint8_t batch_number;
    uint8_t answered; /* executed; the answer is in transit */
    uint8_t won;
    uint8_t held; /* the holder ID in the store */
} call_t;

typedef struct {
    claim_t claim[HOSTS];
    uint8_t active[HOSTS];
    uint8_t attempts[HOSTS];
    uint8_t release[HOSTS]; /* batch number to release */
    uint8_t releases_left[HOSTS];
    call_t calls[CALLS];
    uint8_t now;
    uint8_t holder_id;  /* in the store, or 0 */
    uint8_t expires_at; /* end of its lease */
    int8_t started_at;  /* time of the last start, or -1 */
    uint8_t violated;   /* two starts that the lease does not separate */
} model_t;

/* Guards left out of a run, to check that the search finds the fault. */
typedef struct {
    const char *name;
    bool no_deadline;
    bool any_holder;      /* any holder ID is taken for our own */
    bool no_batch_number; /* a host always uses the same holder ID */
    bool safe;
} guard_case_t;

static const guard_case_t guard_cases[] = {
    {"all guards", false, false, false, true},
    {"no deadline", true, false, false, false},
    {"no comparison of holder IDs", false, true, false, false},
    {"no batch number in the holder ID", false, false, true, false},
};

static const guard_case_t *guards;

static uint8_t
make_holder_id(int host, uint64_t batch_number)
{
    return (uint8_t)(1 + host * (ATTEMPTS + 1) +
                     (guards->no_batch_number ? 0 : batch_number));
}

static bool
add_call(model_t *model, uint8_t kind, int host, uint64_t batch_number)
{
    for (int i = 0; i < CALLS; i++) {
        if (model->calls[i].kind == CALL_NONE) {
            model->calls[i] = (call_t){.kind = kind,
                                       .host = (uint8_t)host,
                                       .batch_number = (uint8_t)batch_number};
            return true;
        }
    }
    return false;
}

static void
release_claim(model_t *model, int host)
{
    if (claim_abandon(&model->claim[host])) {
        model->release[host] = (uint8_t)model->claim[host].batch;
        model->releases_left[host] = SENDS_MAX;
    }
    model->active[host] = 0;
}

static bool
act_tick(model_t *model, int unused)
{
    model->now++;
    if (model->holder_id != 0 && model->now >= model->expires_at) {
        model->holder_id = 0;
        model->expires_at = 0;
    }
    return model->now <= TICKS;
}

static bool
act_claim(model_t *model, int host)
{
    if (model->active[host] || model->attempts[host] == ATTEMPTS) {
        return false;
    }
    model->active[host] = 1;
    model->attempts[host]++;
    memset(&model->claim[host], 0, sizeof(model->claim[host]));
    return true;
}

static bool
act_send(model_t *model, int host)
{
    claim_t *claim = &model->claim[host];

    if (!model->active[host] || claim->state > CLAIM_SENT ||
        claim->send_count == SENDS_MAX) {
        return false;
    }
    claim_record_send(claim, model->attempts[host], model->now,
                      guards->no_deadline ? 2 * TICKS : VALIDITY);
    return add_call(model, CALL_CLAIM, host, claim->batch);
}

static bool
act_start(model_t *model, int host)
{
    if (!model->active[host] ||
        !claim_try_start(&model->claim[host], model->now)) {
        return false;
    }
    if (model->started_at >= 0 &&
        model->now - model->started_at < LEASE - VALIDITY) {
        model->violated = 1;
    }
    model->started_at = (int8_t)model->now;
    model->active[host] = 0;
    return true;
}

static bool
act_start_refused(model_t *model, int host)
{
    if (!model->active[host] ||
        !claim_try_start(&model->claim[host], model->now)) {
        return false;
    }
    claim_revert_start(&model->claim[host]);
    release_claim(model, host);
    return true;
}

static bool
act_abandon(model_t *model, int host)
{
    if (!model->active[host]) {
        return false;
    }
    release_claim(model, host);
    return true;
}

static bool
act_crash(model_t *model, int host)
{
    if (!model->active[host]) {
        return false;
    }
    model->active[host] = 0;
    model->releases_left[host] = 0;
    return true;
}

static bool
act_release(model_t *model, int host)
{
    if (model->releases_left[host] == 0) {
        return false;
    }
    model->releases_left[host]--;
    return add_call(model, CALL_RELEASE, host, model->release[host]);
}

/* The store executes the call. */
static bool
act_execute(model_t *model, int i)
{
    call_t *call = &model->calls[i];
    uint8_t holder_id = make_holder_id(call->host, call->batch_number);

    if (call->kind == CALL_NONE || call->answered) {
        return false;
    }
    if (call->kind == CALL_RELEASE) {
        if (model->holder_id == holder_id) {
            model->holder_id = 0;
            model->expires_at = 0;
        }
        memset(call, 0, sizeof(*call));
        return true;
    }
    call->answered = 1;
    if (model->holder_id == 0) {
        model->holder_id = holder_id;
        model->expires_at = (uint8_t)(model->now + LEASE);
        call->won = 1;
    }
    call->held = model->holder_id;
    return true;
}

/* The call or its answer is lost. */
static bool
act_lose(model_t *model, int i)
{
    if (model->calls[i].kind == CALL_NONE) {
        return false;
    }
    memset(&model->calls[i], 0, sizeof(model->calls[i]));
    return true;
}

static bool
act_answer(model_t *model, int i)
{
    call_t call = model->calls[i];
    int host = call.host;
    bool is_holder;

    if (call.kind == CALL_NONE || !call.answered) {
        return false;
    }
    memset(&model->calls[i], 0, sizeof(model->calls[i]));
    if (!model->active[host]) {
        return true;
    }
    is_holder = guards->any_holder ||
                call.held == make_holder_id(host, call.batch_number);
    claim_handle_answer(&model->claim[host], call.batch_number,
                        call.won ? CLAIM_WON : CLAIM_HELD_BY_OTHER, is_holder,
                        model->now);
    if (model->claim[host].state == CLAIM_ENDED) {
        release_claim(model, host);
    }
    return true;
}

typedef struct {
    bool (*act)(model_t *model, int which);
    int count; /* of hosts or calls that it applies to */
} claim_event_t;

static const claim_event_t claim_events[] = {
    {act_tick, 1},      {act_claim, HOSTS},   {act_send, HOSTS},
    {act_start, HOSTS}, {act_abandon, HOSTS}, {act_start_refused, HOSTS},
    {act_crash, HOSTS}, {act_release, HOSTS}, {act_execute, CALLS},
    {act_lose, CALLS},  {act_answer, CALLS},
};

typedef struct {
    XXH128_hash_t *slots;
    size_t used;
} seen_t;

static int
compare_calls(const void *a, const void *b)
{
    return memcmp(a, b, sizeof(call_t));
}

/* Adds a state.  Returns false if it was already in the set. */
static bool
add_if_unseen(seen_t *seen, model_t *model)
{
    XXH128_hash_t hash;
    size_t at;

    qsort(model->calls, CALLS, sizeof(call_t), compare_calls);
    hash = XXH3_128bits(model, sizeof(*model));
    for (at = hash.low64 % SET_SLOTS;; at = (at + 1) % SET_SLOTS) {
        if (XXH128_isEqual(seen->slots[at], hash)) {
            return false;
        }
        if (seen->slots[at].low64 == 0 && seen->slots[at].high64 == 0) {
            break;
        }
    }
    seen->slots[at] = hash;
    seen->used++;
    ck_assert_uint_lt(seen->used, SET_SLOTS / 2);
    return true;
}

typedef struct {
    model_t *items;
    size_t count;
    size_t capacity;
} frontier_t;

static void
add_state(frontier_t *frontier, const model_t *model)
{
    if (frontier->count == frontier->capacity) {
        frontier->capacity =
            frontier->capacity == 0 ? 1024 : frontier->capacity * 2;
        frontier->items = xrealloc(frontier->items, frontier->capacity,
                                   sizeof(*frontier->items));
    }
    memcpy(&frontier->items[frontier->count++], model, sizeof(*model));
}

/* Adds all successor states.  Returns whether one violates the invariant. */
static bool
explore_successors(const model_t *from, seen_t *seen, frontier_t *next)
{
    model_t model;

    for (size_t a = 0; a < sizeof(claim_events) / sizeof(claim_events[0]);
         a++) {
        for (int which = 0; which < claim_events[a].count; which++) {
            memcpy(&model, from, sizeof(model));
            if (!claim_events[a].act(&model, which)) {
                continue;
            }
            if (model.violated) {
                return true;
            }
            if (add_if_unseen(seen, &model)) {
                add_state(next, &model);
            }
        }
    }
    return false;
}

static bool
explore(seen_t *seen, int *depth)
{
    frontier_t now = {0};
    frontier_t next = {0};
    frontier_t swap;
    model_t start;
    bool violated = false;

    memset(&start, 0, sizeof(start));
    start.started_at = -1;
    add_state(&now, &start);
    for (*depth = 1; *depth <= DEPTH && !violated && now.count > 0;
         (*depth)++) {
        next.count = 0;
        for (size_t i = 0; i < now.count && !violated; i++) {
            violated = explore_successors(&now.items[i], seen, &next);
        }
        swap = now;
        now = next;
        next = swap;
    }
    free(now.items);
    free(next.items);
    return violated;
}

START_TEST(test_at_most_one_start)
{
    seen_t seen = {0};
    int depth = 0;
    bool violated;

    guards = &guard_cases[_i];
    seen.slots = xcalloc(SET_SLOTS, sizeof(*seen.slots));
    violated = explore(&seen, &depth);
    printf("%s: %zu states to depth %d, %s\n", guards->name, seen.used,
           depth - 1, violated ? "started twice" : "never started twice");
    free(seen.slots);
    ck_assert_int_eq(violated, !guards->safe);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("claim");
    TCase *tcase = tcase_create("interleavings");
    SRunner *runner;
    int failed;

    tcase_set_timeout(tcase, 600);
    tcase_add_loop_test(tcase, test_at_most_one_start, 0,
                        sizeof(guard_cases) / sizeof(guard_cases[0]));
    suite_add_tcase(suite, tcase);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
