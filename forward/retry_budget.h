/*
 * retry_budget.h - how many requests to a service may be repeats.
 *
 * The operators bound, over all hosts and any span of some seconds, the
 * arrivals at a service beyond the first of each request: a ratio of its
 * requests plus a fixed number.  The requests are those of the window, of the
 * one before it or of the one half a window before, whichever has most.
 * Answers the load of many losses at a time, when repeats would otherwise
 * feed on themselves.
 *
 * Hosts tell each other what they have used.  A host that hears others keeps
 * the sum well below the bound, since all may repeat at the same moment; one
 * that hears nobody keeps to the ratio of its own requests and to its part of
 * the fixed number.
 */
#ifndef FORWARD_RETRY_BUDGET_H
#define FORWARD_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/rate.h"

typedef struct {
    uint32_t ratio_permille; /* repeats for each 1000 requests */
    uint32_t fixed;          /* and so many besides, of all hosts together */
    int64_t window_us;       /* up to half of RATE_SPAN_US */
} retry_limits_t;

/* A zeroed retry_budget_t has seen nothing. */
typedef struct {
    rate_t requests;
    rate_t repeats;
} retry_budget_t;

/* A caller sent a request for the service, whatever became of it. */
void retry_budget_request(retry_budget_t *budget, int64_t now_us);

/* What one or more hosts have used of it. */
typedef struct {
    uint64_t requests;
    uint64_t repeats;
    uint32_t hosts;
} retry_use_t;

/* What this host has used. */
retry_use_t retry_budget_use(const retry_budget_t *budget,
                             const retry_limits_t *limits, int64_t now_us);

/*
 * Whether one more repeat is allowed.  others: what the other hosts said that
 * they have used; hosts: how many there are.
 */
bool retry_budget_allows(const retry_budget_t *budget,
                         const retry_limits_t *limits,
                         const retry_use_t *others, uint32_t hosts,
                         int64_t now_us);

/* One repeat was sent. */
void retry_budget_sent(retry_budget_t *budget, int64_t now_us);
/* The one that was sent at this time has not arrived. */
void retry_budget_unsent(retry_budget_t *budget, int64_t sent_us);

#endif
