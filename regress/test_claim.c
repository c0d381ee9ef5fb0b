/*
 * test_claim.c - all interleavings of two hosts that claim one key.
 *
 * A small model of the store and of the calls on their way to it, around
 * the product's own claim_t.  Time counts in ticks.  A host that does
 * nothing while ticks pass is a paused one.
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
    ATTEMPTS = 2, /* a host, each under a number of its own */
    SENDINGS = 2, /* of a claim, and of a release */
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
    uint8_t number;
    uint8_t answered; /* it took effect; the answer is on its way back */
    uint8_t won;
    uint8_t held; /* the mark read back */
} call_t;

typedef struct {
    claim_t claim[HOSTS];
    uint8_t active[HOSTS];
    uint8_t attempts[HOSTS];
    uint8_t release[HOSTS]; /* the number to release */
    uint8_t releases_left[HOSTS];
    call_t calls[CALLS];
    uint8_t now;
    uint8_t mark;      /* in the store, or 0 */
    uint8_t lapses_at; /* the lease of that mark */
    int8_t started_at; /* the newest start, or -1 */
    uint8_t broken;    /* two starts too near each other */
} world_t;

/* Guards that a run leaves out, to see that the search finds it. */
typedef struct {
    const char *name;
    bool no_deadline;
    bool any_mark;  /* whatever is read back is taken for ours */
    bool no_number; /* all marks of a host are one */
    bool sound;
} guard_case_t;

static const guard_case_t guard_cases[] = {
    {"all guards", false, false, false, true},
    {"no deadline", true, false, false, false},
    {"no comparison of marks", false, true, false, false},
    {"no number in the mark", false, false, true, false},
};

static const guard_case_t *guards;

static uint8_t
make_mark(int host, uint64_t number)
{
    return (uint8_t)(1 + host * (ATTEMPTS + 1) +
                     (guards->no_number ? 0 : number));
}

static bool
add_call(world_t *w, uint8_t kind, int host, uint64_t number)
{
    for (int i = 0; i < CALLS; i++) {
        if (w->calls[i].kind == CALL_NONE) {
            w->calls[i] = (call_t){.kind = kind,
                                   .host = (uint8_t)host,
                                   .number = (uint8_t)number};
            return true;
        }
    }
    return false;
}

static void
to_release(world_t *w, int host)
{
    if (claim_give_up(&w->claim[host])) {
        w->release[host] = (uint8_t)w->claim[host].number;
        w->releases_left[host] = SENDINGS;
    }
    w->active[host] = 0;
}

static bool
act_tick(world_t *w, int unused)
{
    w->now++;
    if (w->mark != 0 && w->now >= w->lapses_at) {
        w->mark = 0;
        w->lapses_at = 0;
    }
    return w->now <= TICKS;
}

static bool
act_push(world_t *w, int host)
{
    if (w->active[host] || w->attempts[host] == ATTEMPTS) {
        return false;
    }
    w->active[host] = 1;
    w->attempts[host]++;
    memset(&w->claim[host], 0, sizeof(w->claim[host]));
    return true;
}

static bool
act_send(world_t *w, int host)
{
    claim_t *claim = &w->claim[host];

    if (!w->active[host] || claim->state > CLAIM_SENT ||
        claim->sendings == SENDINGS) {
        return false;
    }
    claim_sent(claim, w->attempts[host], w->now,
               guards->no_deadline ? 2 * TICKS : VALIDITY);
    return add_call(w, CALL_CLAIM, host, claim->number);
}

static bool
act_start(world_t *w, int host)
{
    if (!w->active[host] || !claim_start(&w->claim[host], w->now)) {
        return false;
    }
    if (w->started_at >= 0 && w->now - w->started_at < LEASE - VALIDITY) {
        w->broken = 1;
    }
    w->started_at = (int8_t)w->now;
    w->active[host] = 0;
    return true;
}

static bool
act_start_refused(world_t *w, int host)
{
    if (!w->active[host] || !claim_start(&w->claim[host], w->now)) {
        return false;
    }
    claim_not_run(&w->claim[host]);
    to_release(w, host);
    return true;
}

static bool
act_give_up(world_t *w, int host)
{
    if (!w->active[host]) {
        return false;
    }
    to_release(w, host);
    return true;
}

static bool
act_crash(world_t *w, int host)
{
    if (!w->active[host]) {
        return false;
    }
    w->active[host] = 0;
    w->releases_left[host] = 0;
    return true;
}

static bool
act_release(world_t *w, int host)
{
    if (w->releases_left[host] == 0) {
        return false;
    }
    w->releases_left[host]--;
    return add_call(w, CALL_RELEASE, host, w->release[host]);
}

/* The call reaches the store and takes effect. */
static bool
act_execute(world_t *w, int i)
{
    call_t *call = &w->calls[i];
    uint8_t mark = make_mark(call->host, call->number);

    if (call->kind == CALL_NONE || call->answered) {
        return false;
    }
    if (call->kind == CALL_RELEASE) {
        if (w->mark == mark) {
            w->mark = 0;
            w->lapses_at = 0;
        }
        memset(call, 0, sizeof(*call));
        return true;
    }
    call->answered = 1;
    if (w->mark == 0) {
        w->mark = mark;
        w->lapses_at = (uint8_t)(w->now + LEASE);
        call->won = 1;
    }
    call->held = w->mark;
    return true;
}

/* The call, or its answer, is lost. */
static bool
act_lose(world_t *w, int i)
{
    if (w->calls[i].kind == CALL_NONE) {
        return false;
    }
    memset(&w->calls[i], 0, sizeof(w->calls[i]));
    return true;
}

static bool
act_answer(world_t *w, int i)
{
    call_t call = w->calls[i];
    int host = call.host;
    bool ours;

    if (call.kind == CALL_NONE || !call.answered) {
        return false;
    }
    memset(&w->calls[i], 0, sizeof(w->calls[i]));
    if (!w->active[host]) {
        return true;
    }
    ours = guards->any_mark || call.held == make_mark(host, call.number);
    claim_answered(&w->claim[host], call.number,
                   call.won ? CLAIM_WON : CLAIM_HELD, ours, w->now);
    if (w->claim[host].state == CLAIM_OVER) {
        to_release(w, host);
    }
    return true;
}

typedef struct {
    bool (*act)(world_t *w, int which);
    int count; /* of what it can be done to */
} action_t;

static const action_t actions[] = {
    {act_tick, 1},      {act_push, HOSTS},    {act_send, HOSTS},
    {act_start, HOSTS}, {act_give_up, HOSTS}, {act_start_refused, HOSTS},
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

/* Adds a state; false when it was there. */
static bool
is_new(seen_t *seen, world_t *w)
{
    XXH128_hash_t hash;
    size_t at;

    qsort(w->calls, CALLS, sizeof(call_t), compare_calls);
    hash = XXH3_128bits(w, sizeof(*w));
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
    world_t *items;
    size_t count;
    size_t capacity;
} frontier_t;

static void
add_world(frontier_t *f, const world_t *w)
{
    if (f->count == f->capacity) {
        f->capacity = f->capacity == 0 ? 1024 : f->capacity * 2;
        f->items = xrealloc(f->items, f->capacity, sizeof(*f->items));
    }
    memcpy(&f->items[f->count++], w, sizeof(*w));
}

/* Adds all that can follow; returns whether a promise was broken. */
static bool
expand(const world_t *from, seen_t *seen, frontier_t *next)
{
    world_t w;

    for (size_t a = 0; a < sizeof(actions) / sizeof(actions[0]); a++) {
        for (int which = 0; which < actions[a].count; which++) {
            memcpy(&w, from, sizeof(w));
            if (!actions[a].act(&w, which)) {
                continue;
            }
            if (w.broken) {
                return true;
            }
            if (is_new(seen, &w)) {
                add_world(next, &w);
            }
        }
    }
    return false;
}

static bool
search(seen_t *seen, int *depth)
{
    frontier_t now = {0};
    frontier_t next = {0};
    frontier_t swap;
    world_t start;
    bool broken = false;

    memset(&start, 0, sizeof(start));
    start.started_at = -1;
    add_world(&now, &start);
    for (*depth = 1; *depth <= DEPTH && !broken && now.count > 0; (*depth)++) {
        next.count = 0;
        for (size_t i = 0; i < now.count && !broken; i++) {
            broken = expand(&now.items[i], seen, &next);
        }
        swap = now;
        now = next;
        next = swap;
    }
    free(now.items);
    free(next.items);
    return broken;
}

START_TEST(test_interleavings)
{
    seen_t seen = {0};
    int depth = 0;
    bool broken;

    guards = &guard_cases[_i];
    seen.slots = xcalloc(SET_SLOTS, sizeof(*seen.slots));
    broken = search(&seen, &depth);
    printf("%s: %zu states to depth %d, %s\n", guards->name, seen.used,
           depth - 1, broken ? "started twice" : "never started twice");
    free(seen.slots);
    ck_assert_int_eq(broken, !guards->sound);
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
    tcase_add_loop_test(tcase, test_interleavings, 0,
                        sizeof(guard_cases) / sizeof(guard_cases[0]));
    suite_add_tcase(suite, tcase);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
