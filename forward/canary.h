/*
 * canary.h - judges a new version of a service's software by its responses.
 *
 * Hosts count the responses of the new version and of the old one by route;
 * the counts of all hosts add up.  The new version's bad responses are tested
 * against the rate of the old version's, so that a fault that hits both says
 * nothing.  Bad are the runner's own errors, and responses that take several
 * times as long as those of the old version on the same route.
 *
 * The test is a cumulative sum of log-likelihood ratios that does not fall
 * below 0, so that a version that turns bad later is found as soon as one that
 * was bad from the start.  A version is bad only if a good part of its runners
 * give bad responses: single runners may fail, whatever their version.
 *
 * Values go in, a verdict comes out; no clock and no allocation.
 */
#ifndef FORWARD_CANARY_H
#define FORWARD_CANARY_H

#include <stdbool.h>
#include <stdint.h>

/* Further routes of a service share the last entry. */
enum { CANARY_ROUTES_MAX = 8 };

/* The responses of one version on one route.  Counters only grow. */
typedef struct {
    uint32_t sent;        /* requests, by their first send */
    uint32_t responses;   /* that were judged */
    uint32_t failed;      /* of these: the runner's own errors */
    uint32_t slow;        /* of these: see canary_slow_limit_us() */
    uint32_t timed;       /* of these: in log_ms_sum */
    uint32_t log_ms_sum;  /* of 256 times the binary logarithm of the ms */
    uint64_t runners;     /* bits by the hash of the runners that responded */
    uint64_t bad_runners; /* of these: with a bad response */
} canary_arm_t;

typedef struct {
    uint64_t route; /* its route_hash(); 0: none */
    canary_arm_t old_version;
    canary_arm_t new_version;
} canary_route_t;

/* Initialised to zero. */
typedef struct {
    canary_route_t routes[CANARY_ROUTES_MAX];
    uint32_t count;
} canary_evidence_t;

typedef enum {
    CANARY_RESPONSE_GOOD,
    CANARY_RESPONSE_FAILED,
    CANARY_RESPONSE_SLOW,
} canary_response_t;

typedef enum {
    CANARY_UNDECIDED, /* too little evidence */
    CANARY_DOUBTFUL,  /* the evidence leans to bad */
    CANARY_GOOD,      /* as far as is known */
    CANARY_BAD,       /* stays so */
} canary_verdict_t;

/* The state of the test on one host; initialised to zero. */
typedef struct {
    canary_evidence_t seen;                  /* that has been counted */
    int32_t route_scores[CANARY_ROUTES_MAX]; /* in thousandths of a nat */
    int32_t score;                           /* of all routes together */
    bool bad;
} canary_test_t;

/* Returns the route's entry, which is created on first use. */
canary_route_t *canary_route(canary_evidence_t *evidence, uint64_t route);

/* Counts a response; latency_us is the time to it or to its first event. */
void canary_count(canary_arm_t *arm, uint64_t runner, int64_t latency_us,
                  canary_response_t response);

/* Adds the evidence of another host. */
void canary_add(canary_evidence_t *sum, const canary_evidence_t *other);

/* Returns the latency from which a response on the route is slow, INT64_MAX if
 * the old version has given too few responses there. */
int64_t canary_slow_limit_us(const canary_evidence_t *sum, uint64_t route);

/* Returns the sum over all routes. */
canary_arm_t canary_total(const canary_evidence_t *sum, bool new_version);

/* Counts what is new in the evidence of all hosts, and judges. */
canary_verdict_t canary_judge(canary_test_t *test,
                              const canary_evidence_t *sum);

/*
 * Returns the share of the route's requests, in thousandths, that the new
 * version gets if it gets share_permille of all.  Routes with little traffic
 * get more than that, so that there is evidence of each.
 */
uint32_t canary_route_share(const canary_evidence_t *sum, uint64_t route,
                            uint32_t share_permille);

#endif
