/*
 * retry_budget.h - how many requests to a service may be repeats.
 *
 * The operators bound, over all hosts and any span of some seconds, the
 * arrivals at a service beyond the first of each request: a ratio of its
 * requests plus a fixed number.  The requests are those of the window, of the
 * one before it or of the one half a window before, whichever has most.
 * Each host keeps to the ratio of its own
 * requests and to its part of the fixed number, so that the sum holds
 * without a message.  Answers the load of many losses at a time, when
 * repeats would otherwise feed on themselves.
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

/* Whether one more repeat is allowed, which is then counted. */
bool retry_budget_take(retry_budget_t *budget, const retry_limits_t *limits,
                       uint32_t hosts, int64_t now_us);

#endif
