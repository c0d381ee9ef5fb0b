/*
 * test_canary.c - tests the judgement on a new version of a service.
 *
 * The tables guard single rules; the drawn runs guard how often a good version
 * is condemned and a bad one is missed.
 */
#include <inttypes.h>
#include <stdio.h>

#include <check.h>

#include "base/random.h"
#include "forward/canary.h"
#include "regress/fixture.h"

enum {
    ROUTE_A = 11,
    ROUTE_B = 12,
    ROUTE_UNKNOWN = 13,
    PARTS_MAX = 4,
    US_PER_MS = 1000,
    PERCENT = 100,
};

/* Responses that are counted together before a judgement. */
typedef struct {
    uint64_t route;
    bool new_version;
    uint32_t runners; /* they respond in turn */
    uint32_t good;
    uint32_t failed; /* given by the first bad_runners of them */
    uint32_t bad_runners;
} part_t;

static void
count_part(canary_evidence_t *sum, const part_t *part)
{
    canary_route_t *route = canary_route(sum, part->route);
    canary_arm_t *arm =
        part->new_version ? &route->new_version : &route->old_version;
    uint32_t i;

    for (i = 0; i < part->good; i++) {
        arm->sent++;
        canary_count(arm, i % part->runners, 20L * US_PER_MS,
                     CANARY_RESPONSE_GOOD);
    }
    for (i = 0; i < part->failed; i++) {
        arm->sent++;
        canary_count(arm, i % part->bad_runners, 0, CANARY_RESPONSE_FAILED);
    }
}

/* --- canary_judge() --- */

typedef struct {
    const char *name;
    part_t parts[PARTS_MAX]; /* judged after each */
    canary_verdict_t expected;
} judge_case_t;

static const judge_case_t judge_cases[] = {
    {"no response is no evidence",
     {{ROUTE_A, false, 6, 100, 0, 0}},
     CANARY_UNDECIDED},
    {"9 good responses are too few",
     {{ROUTE_A, false, 6, 100, 0, 0}, {ROUTE_A, true, 3, 9, 0, 0}},
     CANARY_UNDECIDED},
    {"10 good responses are enough",
     {{ROUTE_A, false, 6, 100, 0, 0}, {ROUTE_A, true, 3, 10, 0, 0}},
     CANARY_GOOD},
    {"a single bad response raises doubt",
     {{ROUTE_A, false, 6, 100, 0, 0}, {ROUTE_A, true, 3, 0, 1, 1}},
     CANARY_DOUBTFUL},
    {"three bad responses do not condemn",
     {{ROUTE_A, false, 6, 100, 0, 0}, {ROUTE_A, true, 3, 0, 3, 2}},
     CANARY_DOUBTFUL},
    {"four bad responses of two runners condemn",
     {{ROUTE_A, false, 6, 100, 0, 0}, {ROUTE_A, true, 3, 0, 4, 2}},
     CANARY_BAD},
    {"a small part of bad responses by one runner of three raises no doubt",
     {{ROUTE_A, false, 6, 100, 0, 0}, {ROUTE_A, true, 3, 30, 8, 1}},
     CANARY_GOOD},
    {"a small part of bad responses by 2 of 10 runners raises no doubt",
     {{ROUTE_A, false, 6, 100, 0, 0}, {ROUTE_A, true, 10, 60, 15, 2}},
     CANARY_GOOD},
    {"many bad responses by one runner of three raise doubt",
     {{ROUTE_A, false, 6, 100, 0, 0}, {ROUTE_A, true, 3, 30, 30, 1}},
     CANARY_DOUBTFUL},
    {"many bad responses by 2 of 10 runners raise doubt",
     {{ROUTE_A, false, 6, 100, 0, 0}, {ROUTE_A, true, 10, 20, 30, 2}},
     CANARY_DOUBTFUL},
    {"bad responses by the only runner raise doubt",
     {{ROUTE_A, false, 6, 100, 0, 0}, {ROUTE_A, true, 1, 30, 8, 1}},
     CANARY_DOUBTFUL},
    {"bad responses of 3 of 10 runners condemn",
     {{ROUTE_A, false, 6, 100, 0, 0}, {ROUTE_A, true, 10, 20, 30, 3}},
     CANARY_BAD},
    {"three bad responses of one runner raise doubt",
     {{ROUTE_A, false, 6, 100, 0, 0}, {ROUTE_A, true, 3, 10, 3, 1}},
     CANARY_DOUBTFUL},
    {"a fault of both versions says nothing",
     {{ROUTE_A, false, 6, 60, 40, 6}, {ROUTE_A, true, 3, 18, 12, 3}},
     CANARY_GOOD},
    {"a verdict stays when good responses follow",
     {{ROUTE_A, false, 6, 100, 0, 0},
      {ROUTE_A, true, 3, 0, 6, 3},
      {ROUTE_A, true, 3, 500, 0, 0}},
     CANARY_BAD},
    {"good responses before do not hide a version that turns bad",
     {{ROUTE_A, false, 6, 100, 0, 0},
      {ROUTE_A, true, 3, 500, 0, 0},
      {ROUTE_A, true, 3, 0, 6, 3}},
     CANARY_BAD},
    {"a busy good route does not hide a bad one",
     {{ROUTE_A, false, 6, 300, 0, 0},
      {ROUTE_B, false, 6, 20, 0, 0},
      {ROUTE_B, true, 3, 3, 7, 3},
      {ROUTE_A, true, 3, 300, 0, 0}},
     CANARY_BAD},
    {"a route that fails at both versions does not condemn by the other's "
     "rate",
     {{ROUTE_A, false, 6, 300, 0, 0},
      {ROUTE_B, false, 6, 50, 50, 6},
      {ROUTE_A, true, 3, 30, 0, 0},
      {ROUTE_B, true, 3, 3, 3, 3}},
     CANARY_GOOD},
    {"without an old version the lowest rate is assumed",
     {{ROUTE_A, true, 3, 0, 4, 3}},
     CANARY_BAD},
};

START_TEST(test_judge)
{
    const judge_case_t *test = &judge_cases[_i];
    canary_evidence_t sum = {0};
    canary_test_t state = {0};
    canary_verdict_t verdict = CANARY_UNDECIDED;
    size_t i;

    for (i = 0; i < PARTS_MAX && test->parts[i].route != 0; i++) {
        count_part(&sum, &test->parts[i]);
        verdict = canary_judge(&state, &sum);
    }
    ck_assert_msg(verdict == test->expected, "%s: verdict %d, expected %d",
                  test->name, verdict, test->expected);
    ck_assert_msg(canary_judge(&state, &sum) == test->expected,
                  "%s: a second judgement counts the evidence again",
                  test->name);
}
END_TEST

/* A host that restarts takes its counts with it: that is no response. */
START_TEST(test_shrunk_evidence_is_not_counted)
{
    canary_evidence_t sum = {0};
    canary_evidence_t less = {0};
    canary_test_t state = {0};

    count_part(&sum, &(part_t){ROUTE_A, false, 6, 100, 0, 0});
    count_part(&less, &(part_t){ROUTE_A, false, 6, 10, 0, 0});
    count_part(&sum, &(part_t){ROUTE_A, true, 3, 20, 2, 2});
    ck_assert_int_eq(canary_judge(&state, &sum), CANARY_GOOD);
    ck_assert_int_ne(canary_judge(&state, &less), CANARY_BAD);
    ck_assert_int_ne(canary_judge(&state, &sum), CANARY_BAD);
}
END_TEST

/* A ninth route must not write past the table. */
START_TEST(test_further_routes_share_the_last_entry)
{
    canary_evidence_t sum = {0};
    canary_evidence_t other = {0};
    uint64_t i;

    for (i = 1; i <= 2 * CANARY_ROUTES_MAX; i++) {
        count_part(&other, &(part_t){i, true, 3, 1, 0, 0});
    }
    canary_add(&sum, &other);
    ck_assert_uint_eq(sum.count, CANARY_ROUTES_MAX);
    ck_assert_uint_eq(canary_total(&sum, true).responses,
                      2 * CANARY_ROUTES_MAX);
    ck_assert_uint_eq(sum.routes[CANARY_ROUTES_MAX - 1].new_version.responses,
                      CANARY_ROUTES_MAX + 1);
}
END_TEST

/* --- canary_slow_limit_us() --- */

typedef struct {
    const char *name;
    uint32_t responses; /* of the old version on route A */
    uint32_t failed;
    int64_t latency_ms;
    uint64_t route;
    int64_t least_ms; /* 0: no limit */
    int64_t most_ms;
} slow_case_t;

/* The limit lies between 3 and 8 times the usual time: known bad
 * versions take 8 times as long, and a prompt that waits takes twice. */
static const slow_case_t slow_cases[] = {
    {"too few responses give no limit", 4, 0, 50, ROUTE_A, 0, 0},
    {"failures have no latency", 4, 9, 50, ROUTE_A, 0, 0},
    {"an unknown route has no limit", 50, 0, 50, ROUTE_UNKNOWN, 0, 0},
    {"5 responses are enough", 5, 0, 100, ROUTE_A, 300, 500},
    {"a long latency", 20, 0, 2000, ROUTE_A, 5700, 6400},
    {"a very short latency keeps a margin", 20, 0, 1, ROUTE_A, 100, 120},
};

START_TEST(test_slow_limit)
{
    const slow_case_t *test = &slow_cases[_i];
    canary_evidence_t sum = {0};
    canary_arm_t *arm = &canary_route(&sum, ROUTE_A)->old_version;
    int64_t limit_us;
    uint32_t i;

    for (i = 0; i < test->responses; i++) {
        canary_count(arm, i, test->latency_ms * US_PER_MS,
                     CANARY_RESPONSE_GOOD);
    }
    for (i = 0; i < test->failed; i++) {
        canary_count(arm, i, test->latency_ms * US_PER_MS,
                     CANARY_RESPONSE_FAILED);
    }
    limit_us = canary_slow_limit_us(&sum, test->route);
    if (test->least_ms == 0) {
        ck_assert_msg(limit_us == INT64_MAX, "%s: %" PRId64, test->name,
                      limit_us);
        return;
    }
    ck_assert_msg(limit_us >= test->least_ms * US_PER_MS &&
                      limit_us <= test->most_ms * US_PER_MS,
                  "%s: %" PRId64 " us", test->name, limit_us);
}
END_TEST

/* --- canary_route_share() --- */

typedef struct {
    const char *name;
    uint32_t sent_a;
    uint32_t sent_b;
    uint64_t route;
    uint32_t least;
    uint32_t most;
} share_case_t;

static const share_case_t share_cases[] = {
    {"no traffic yet: the plain share", 0, 0, ROUTE_A, 80, 80},
    {"a single route: the plain share", 500, 0, ROUTE_A, 80, 80},
    {"an unknown route: the plain share", 100, 100, ROUTE_UNKNOWN, 80, 80},
    {"equal routes: the plain share", 100, 100, ROUTE_B, 79, 80},
    {"the busy route gets less", 900, 100, ROUTE_A, 32, 79},
    {"the rare route gets more", 900, 100, ROUTE_B, 200, 300},
    {"a very rare route gets half at most", 100000, 1, ROUTE_B, 500, 500},
};

START_TEST(test_route_share)
{
    const share_case_t *test = &share_cases[_i];
    canary_evidence_t sum = {0};
    uint32_t share;

    canary_route(&sum, ROUTE_A)->old_version.sent = test->sent_a;
    canary_route(&sum, ROUTE_B)->old_version.sent = test->sent_b;
    share = canary_route_share(&sum, test->route, 80);
    ck_assert_msg(share >= test->least && share <= test->most, "%s: %" PRIu32,
                  test->name, share);
}
END_TEST

/* The weights of the routes must not raise the share of the whole service:
 * CanaryShare is a bound over all of its routes. */
START_TEST(test_route_shares_add_up_to_the_share)
{
    uint32_t a;

    for (a = 1; a < 1000; a++) {
        canary_evidence_t sum = {0};
        uint64_t sent;

        canary_route(&sum, ROUTE_A)->old_version.sent = a;
        canary_route(&sum, ROUTE_B)->old_version.sent = 1000 - a;
        sent = (uint64_t)a * canary_route_share(&sum, ROUTE_A, 80) +
               (uint64_t)(1000 - a) * canary_route_share(&sum, ROUTE_B, 80);
        ck_assert_msg(sent <= 80ULL * 1000, "%" PRIu32 " of 1000: %" PRIu64, a,
                      sent);
    }
}
END_TEST

/* --- drawn runs --- */

enum {
    RUNS = 2000,
    SEED = 20261205,
    /* The old version has as many responses for each of the new one: the
     * share of the new version is 0.08. */
    OLD_PER_NEW = 11,
    NEW_RUNNERS = 3,
    OLD_RUNNERS = 6,
    LATENCY_MS = 40,
    SLOW_TIMES = 8,
    /* Good versions are completed in 19 of 20 cases. */
    CONDEMNED_PER_RUNS = 20,
    /* The test's own risk is 1 in 100; a bad version is missed no oftener. */
    MISSED_PER_RUNS = 100,
};

typedef struct {
    const char *name;
    uint32_t responses;          /* of the new version */
    uint32_t burst;              /* of these: come between two judgements */
    uint32_t both_percent;       /* fail, whatever the version */
    uint32_t one_runner_percent; /* fail at one runner of the new version */
    uint32_t bad_percent;        /* at all runners of the new version */
    bool slow;                   /* bad ones are slow, else they fail */
    bool one_route;
    uint32_t bad_from; /* response of the new version */
} draw_t;

static const draw_t good_draws[] = {
    {"steady", 100, 1, 0, 0, 0, false, false, 0},
    {"rare", 15, 1, 0, 0, 0, false, false, 0},
    {"bursts", 100, 20, 0, 0, 0, false, false, 0},
    {"steady, 5 in 100 fail", 100, 1, 5, 0, 0, false, false, 0},
    {"steady, 15 in 100 fail", 100, 1, 15, 0, 0, false, false, 0},
    {"steady, 30 in 100 fail", 100, 1, 30, 0, 0, false, false, 0},
    {"rare, 5 in 100 fail", 15, 1, 5, 0, 0, false, false, 0},
    {"rare, 15 in 100 fail", 15, 1, 15, 0, 0, false, false, 0},
    {"rare, 30 in 100 fail", 15, 1, 30, 0, 0, false, false, 0},
    {"bursts, 5 in 100 fail", 100, 20, 5, 0, 0, false, false, 0},
    {"bursts, 15 in 100 fail", 100, 20, 15, 0, 0, false, false, 0},
    {"bursts, 30 in 100 fail", 100, 20, 30, 0, 0, false, false, 0},
    {"a runner fails 45 in 100", 100, 1, 0, 45, 0, false, false, 0},
    {"rare, a runner fails 45 in 100", 15, 1, 0, 45, 0, false, false, 0},
};

static const draw_t bad_draws[] = {
    {"half fail", 60, 1, 0, 0, 50, false, false, 0},
    {"half are slow", 60, 1, 0, 0, 50, true, false, 0},
    {"half fail in bursts", 60, 20, 0, 0, 50, false, false, 0},
    {"half fail on one route of two", 60, 1, 0, 0, 50, false, true, 0},
    {"half are slow on one route of two", 60, 1, 0, 0, 50, true, true, 0},
    {"half fail from the 20th on", 60, 1, 0, 0, 50, false, false, 20},
    {"half are slow from the 20th on", 60, 1, 0, 0, 50, true, false, 20},
};

/* More good versions than the bound are condemned; see KNOWN-RED.txt. */
static const draw_t known_red_draws[] = {
    {"busy, 5 in 100 fail", 400, 1, 5, 0, 0, false, false, 0},
    {"a runner fails 45 in 100, all 2", 100, 1, 2, 45, 0, false, false, 0},
    {"a runner fails 45 in 100, all 5", 100, 1, 5, 45, 0, false, false, 0},
};

static bool
draw_percent(uint64_t *state, uint32_t percent)
{
    return random_next_from(state) % PERCENT < percent;
}

/* As count_response() of rollouts.c does. */
static void
draw_response(uint64_t *state, const draw_t *draw, canary_evidence_t *sum,
              bool new_version, uint32_t number)
{
    uint64_t id = random_next_from(state) % 2 == 0 ? ROUTE_A : ROUTE_B;
    uint64_t runner =
        random_next_from(state) % (new_version ? NEW_RUNNERS : OLD_RUNNERS);
    int64_t latency_us =
        LATENCY_MS / 2 * US_PER_MS +
        (int64_t)(random_next_from(state) % (LATENCY_MS * US_PER_MS));
    bool bad = new_version && number >= draw->bad_from &&
               (!draw->one_route || id == ROUTE_A) &&
               draw_percent(state, draw->bad_percent);
    canary_response_t response = CANARY_RESPONSE_GOOD;
    canary_route_t *route = canary_route(sum, id);

    if ((bad && !draw->slow) || draw_percent(state, draw->both_percent) ||
        (new_version && runner == 0 &&
         draw_percent(state, draw->one_runner_percent))) {
        response = CANARY_RESPONSE_FAILED;
    }
    else {
        latency_us *= bad ? SLOW_TIMES : 1;
        if (latency_us >= canary_slow_limit_us(sum, id)) {
            response = CANARY_RESPONSE_SLOW;
        }
    }
    canary_count(new_version ? &route->new_version : &route->old_version,
                 runner, latency_us, response);
}

static canary_verdict_t
draw_run(uint64_t *state, const draw_t *draw)
{
    canary_evidence_t sum = {0};
    canary_test_t test = {0};
    canary_verdict_t verdict = CANARY_UNDECIDED;
    uint32_t i;
    uint32_t j;

    for (i = 0; i < draw->responses; i++) {
        for (j = 0; j < OLD_PER_NEW; j++) {
            draw_response(state, draw, &sum, false, i);
        }
        draw_response(state, draw, &sum, true, i);
        if ((i + 1) % draw->burst == 0) {
            verdict = canary_judge(&test, &sum);
        }
    }
    return verdict;
}

/* Returns how many of RUNS end with each verdict. */
static void
draw_runs(const draw_t *draw, uint32_t counts[CANARY_BAD + 1])
{
    uint64_t state = SEED;
    uint32_t i;

    for (i = 0; i < RUNS; i++) {
        counts[draw_run(&state, draw)]++;
    }
    printf("canary: seed=%d runs=%d case=\"%s\" undecided=%" PRIu32
           " doubtful=%" PRIu32 " good=%" PRIu32 " bad=%" PRIu32 "\n",
           SEED, RUNS, draw->name, counts[CANARY_UNDECIDED],
           counts[CANARY_DOUBTFUL], counts[CANARY_GOOD], counts[CANARY_BAD]);
}

/* A good version that is judged bad is rolled back for nothing. */
START_TEST(test_good_versions_are_seldom_condemned)
{
    const draw_t *draw = &good_draws[_i];
    uint32_t counts[CANARY_BAD + 1] = {0};

    draw_runs(draw, counts);
    ck_assert_msg(counts[CANARY_BAD] * CONDEMNED_PER_RUNS <= RUNS,
                  "%s: seed %d: %" PRIu32 " of %d are judged bad", draw->name,
                  SEED, counts[CANARY_BAD], RUNS);
}
END_TEST

/* As above.  Passes over the rows of KNOWN-RED.txt, and prints them. */
START_TEST(test_known_red_good_versions)
{
    const draw_t *draw = &known_red_draws[_i];
    uint32_t counts[CANARY_BAD + 1] = {0};

    draw_runs(draw, counts);
    if (counts[CANARY_BAD] * CONDEMNED_PER_RUNS > RUNS) {
        printf("known red: %s: seed %d: %" PRIu32 " of %d are judged bad\n",
               draw->name, SEED, counts[CANARY_BAD], RUNS);
    }
}
END_TEST

/* A bad version that is missed gets all requests. */
START_TEST(test_bad_versions_are_seldom_missed)
{
    const draw_t *draw = &bad_draws[_i];
    uint32_t counts[CANARY_BAD + 1] = {0};
    uint32_t missed;

    draw_runs(draw, counts);
    missed = RUNS - counts[CANARY_BAD];
    ck_assert_msg(missed * MISSED_PER_RUNS <= RUNS,
                  "%s: seed %d: %" PRIu32 " of %d are missed", draw->name,
                  SEED, missed, RUNS);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("canary");

    tcase_set_timeout(tcase, FIXTURE_TIMEOUT_S);
    tcase_add_loop_test(tcase, test_judge, 0, COUNT(judge_cases));
    tcase_add_test(tcase, test_shrunk_evidence_is_not_counted);
    tcase_add_test(tcase, test_further_routes_share_the_last_entry);
    tcase_add_loop_test(tcase, test_slow_limit, 0, COUNT(slow_cases));
    tcase_add_loop_test(tcase, test_route_share, 0, COUNT(share_cases));
    tcase_add_test(tcase, test_route_shares_add_up_to_the_share);
    tcase_add_loop_test(tcase, test_good_versions_are_seldom_condemned, 0,
                        COUNT(good_draws));
    tcase_add_loop_test(tcase, test_known_red_good_versions, 0,
                        COUNT(known_red_draws));
    tcase_add_loop_test(tcase, test_bad_versions_are_seldom_missed, 0,
                        COUNT(bad_draws));
    return fixture_main("canary", tcase);
}
