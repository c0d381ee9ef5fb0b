/* canary.c - judges a new version by its responses; see canary.h. */
#include <string.h>

#include "forward/canary.h"

enum {
    PERMILLE = 1000,
    LOG_SCALE = 256,
    US_PER_MS = 1000,
    /* Responses of the old version on a route before latencies are judged. */
    TIMED_MIN = 5,
    /* Prompts that wait for one another take up to twice the usual time. */
    SLOW_FACTOR = 3,
    /* On top, for responses that take some ms on a busy host. */
    SLOW_MARGIN_MS = 100,
    /* The old version's rate on a route is used if it has as many responses
     * there, else that of all routes. */
    ROUTE_RESPONSES_MIN = 10,
    /* More than three bad responses in a row add.  ln(100) = 4.6 was crossed
     * by more than 1 in 20 good versions where both versions failed 5 in
     * 100. */
    BAD_SCORE = 5400,
    /* Less than a single bad response adds. */
    GOOD_SCORE_MAX = 1000,
    /* A version with a bad response rate of 0.3 gives none of 10 in 3 of 100
     * cases. */
    GOOD_RESPONSES_MIN = 10,
    /* Of the runners of the new version that have responded. */
    BAD_RUNNERS_PERCENT = 30,
    BAD_RUNNERS_MIN = 2,
    /* So many bad responses of fewer runners are a fault of these runners, if
     * others respond, too, and the bad ones are a small part: a runner of
     * three that fails 45 in 100 gives 15, a bad version 50. */
    RUNNER_FAULT_RESPONSES = 4,
    RUNNER_FAULT_PERCENT = 25,
    PERCENT = 100,
    /* Of the share of a service, this part is the same for each route. */
    EVEN_PERMILLE = 600,
    ROUTE_SHARE_MAX_PERMILLE = 500,
};

/*
 * Log-likelihood ratios, in thousandths of a nat, of a rate of bad responses
 * that is 0.25 higher against the old version's rate, rounded up to the next
 * row: ln((rate + 0.25) / rate) and ln((0.75 - rate) / (1 - rate)).
 */
typedef struct {
    uint32_t rate_permille;
    int32_t bad;
    int32_t good;
} likelihood_t;

static const likelihood_t likelihoods[] = {
    {50, 1792, -305}, {100, 1253, -325}, {200, 811, -375},
    {300, 606, -442}, {500, 405, -693},
};

static void add_arm(canary_arm_t *sum, const canary_arm_t *other);
static uint32_t log2_scaled(uint64_t value);
static uint64_t exp2_scaled(uint32_t scaled);
static const likelihood_t *likelihood_of(const canary_arm_t *old_version);
static int32_t next_score(int32_t score, int64_t change);
static bool is_doubtful(int32_t score, const canary_arm_t *arm);
static bool runners_are_bad(const canary_arm_t *arm);
static uint32_t bad_count(const canary_arm_t *arm);
static uint32_t grown(uint32_t now, uint32_t before);

canary_route_t *
canary_route(canary_evidence_t *evidence, uint64_t route)
{
    uint32_t i;

    for (i = 0; i < evidence->count; i++) {
        if (evidence->routes[i].route == route) {
            return &evidence->routes[i];
        }
    }
    if (evidence->count == CANARY_ROUTES_MAX) {
        return &evidence->routes[CANARY_ROUTES_MAX - 1];
    }
    evidence->routes[evidence->count].route = route;
    evidence->count++;
    return &evidence->routes[evidence->count - 1];
}

void
canary_count(canary_arm_t *arm, uint64_t runner, int64_t latency_us,
             canary_response_t response)
{
    uint64_t bit = (uint64_t)1 << (runner % 64);

    arm->responses++;
    arm->runners |= bit;
    if (response != CANARY_RESPONSE_GOOD) {
        arm->bad_runners |= bit;
    }
    if (response == CANARY_RESPONSE_FAILED) {
        arm->failed++;
        return;
    }
    arm->slow += response == CANARY_RESPONSE_SLOW ? 1 : 0;
    arm->timed++;
    arm->log_ms_sum += log2_scaled((uint64_t)(latency_us / US_PER_MS) + 1);
}

void
canary_add(canary_evidence_t *sum, const canary_evidence_t *other)
{
    uint32_t i;

    for (i = 0; i < other->count; i++) {
        canary_route_t *route = canary_route(sum, other->routes[i].route);

        add_arm(&route->old_version, &other->routes[i].old_version);
        add_arm(&route->new_version, &other->routes[i].new_version);
    }
}

static void
add_arm(canary_arm_t *sum, const canary_arm_t *other)
{
    sum->sent += other->sent;
    sum->responses += other->responses;
    sum->failed += other->failed;
    sum->slow += other->slow;
    sum->timed += other->timed;
    sum->log_ms_sum += other->log_ms_sum;
    sum->runners |= other->runners;
    sum->bad_runners |= other->bad_runners;
}

int64_t
canary_slow_limit_us(const canary_evidence_t *sum, uint64_t route)
{
    uint32_t i;

    for (i = 0; i < sum->count; i++) {
        const canary_arm_t *arm = &sum->routes[i].old_version;

        if (sum->routes[i].route == route && arm->timed >= TIMED_MIN) {
            uint64_t mean_ms = exp2_scaled(arm->log_ms_sum / arm->timed);

            return (int64_t)(mean_ms * SLOW_FACTOR + SLOW_MARGIN_MS) *
                   US_PER_MS;
        }
    }
    return INT64_MAX;
}

canary_arm_t
canary_total(const canary_evidence_t *sum, bool new_version)
{
    canary_arm_t total = {0};
    uint32_t i;

    for (i = 0; i < sum->count; i++) {
        add_arm(&total, new_version ? &sum->routes[i].new_version
                                    : &sum->routes[i].old_version);
    }
    return total;
}

canary_verdict_t
canary_judge(canary_test_t *test, const canary_evidence_t *sum)
{
    canary_arm_t old_total = canary_total(sum, false);
    canary_arm_t new_total = canary_total(sum, true);
    int64_t change = 0;
    bool leans_to_bad = false;
    uint32_t i;

    for (i = 0; i < sum->count; i++) {
        const canary_route_t *route = &sum->routes[i];
        canary_arm_t *seen =
            &canary_route(&test->seen, route->route)->new_version;
        uint32_t bad = grown(bad_count(&route->new_version), bad_count(seen));
        uint32_t all = grown(route->new_version.responses, seen->responses);
        uint32_t good = all > bad ? all - bad : 0;
        size_t slot = (size_t)(canary_route(&test->seen, route->route) -
                               test->seen.routes);
        bool known = route->old_version.responses >= ROUTE_RESPONSES_MIN;
        const likelihood_t *likelihood =
            likelihood_of(known ? &route->old_version : &old_total);
        int64_t route_change =
            (int64_t)bad * likelihood->bad + (int64_t)good * likelihood->good;

        *seen = route->new_version;
        change += route_change;
        test->route_scores[slot] =
            next_score(test->route_scores[slot], route_change);
        test->bad |= test->route_scores[slot] >= BAD_SCORE &&
                     runners_are_bad(&route->new_version);
        leans_to_bad |=
            is_doubtful(test->route_scores[slot], &route->new_version);
    }
    /* Each route by its own rate: the versions have different parts of the
     * routes' requests, see canary_route_share(). */
    test->score = next_score(test->score, change);
    test->bad |= test->score >= BAD_SCORE && runners_are_bad(&new_total);
    leans_to_bad |= is_doubtful(test->score, &new_total);
    if (test->bad) {
        return CANARY_BAD;
    }
    if (leans_to_bad) {
        return CANARY_DOUBTFUL;
    }
    return new_total.responses >= GOOD_RESPONSES_MIN ? CANARY_GOOD
                                                     : CANARY_UNDECIDED;
}

uint32_t
canary_route_share(const canary_evidence_t *sum, uint64_t route,
                   uint32_t share_permille)
{
    uint64_t total = 0;
    uint64_t own = 0;
    uint32_t routes = 0;
    uint64_t share;
    uint32_t i;

    for (i = 0; i < sum->count; i++) {
        const canary_route_t *entry = &sum->routes[i];
        uint32_t sent = entry->old_version.sent + entry->new_version.sent;

        total += sent;
        routes += sent > 0 ? 1 : 0;
        own += entry->route == route ? sent : 0;
    }
    if (own == 0 || routes < 2) {
        return share_permille;
    }
    share =
        (uint64_t)share_permille *
        (PERMILLE - EVEN_PERMILLE + EVEN_PERMILLE * total / (own * routes)) /
        PERMILLE;
    return share < ROUTE_SHARE_MAX_PERMILLE ? (uint32_t)share
                                            : ROUTE_SHARE_MAX_PERMILLE;
}

/* Linear between powers of two. */
static uint32_t
log2_scaled(uint64_t value)
{
    uint32_t exponent = 0;

    while (value >> (exponent + 1) != 0) {
        exponent++;
    }
    return exponent * LOG_SCALE +
           (uint32_t)((value - ((uint64_t)1 << exponent)) * LOG_SCALE >>
                      exponent);
}

static uint64_t
exp2_scaled(uint32_t scaled)
{
    uint32_t exponent = scaled / LOG_SCALE;
    uint64_t power = (uint64_t)1 << exponent;

    return power + power * (scaled % LOG_SCALE) / LOG_SCALE;
}

static const likelihood_t *
likelihood_of(const canary_arm_t *old_version)
{
    const size_t last = sizeof(likelihoods) / sizeof(likelihoods[0]) - 1;
    uint64_t bad = (uint64_t)bad_count(old_version) * PERMILLE;
    size_t i;

    for (i = 0; i < last; i++) {
        if (bad <=
            (uint64_t)likelihoods[i].rate_permille * old_version->responses) {
            return &likelihoods[i];
        }
    }
    return &likelihoods[last];
}

static int32_t
next_score(int32_t score, int64_t change)
{
    int64_t next = (int64_t)score + change;

    return next < 0 ? 0 : next > INT32_MAX ? INT32_MAX : (int32_t)next;
}

static bool
is_doubtful(int32_t score, const canary_arm_t *arm)
{
    uint64_t bad = bad_count(arm);
    bool runner_fault =
        bad >= RUNNER_FAULT_RESPONSES && !runners_are_bad(arm) &&
        __builtin_popcountll(arm->runners) >= BAD_RUNNERS_MIN &&
        bad * PERCENT <= (uint64_t)arm->responses * RUNNER_FAULT_PERCENT;

    return score > GOOD_SCORE_MAX && !runner_fault;
}

static bool
runners_are_bad(const canary_arm_t *arm)
{
    int bad = __builtin_popcountll(arm->bad_runners);

    return bad >= BAD_RUNNERS_MIN &&
           bad * PERCENT >=
               __builtin_popcountll(arm->runners) * BAD_RUNNERS_PERCENT;
}

static uint32_t
bad_count(const canary_arm_t *arm)
{
    return arm->failed + arm->slow;
}

/* The sum shrinks when a host restarts. */
static uint32_t
grown(uint32_t now, uint32_t before)
{
    return now > before ? now - before : 0;
}
