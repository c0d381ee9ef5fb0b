/*
 * retry_budget.h - limits the retries of requests to a service.
 *
 * The operators set a limit on retries, that is, on arrivals of a request at
 * the service after its first one.  It applies to all hosts together and to
 * any window of the configured length: a ratio of the service's requests plus
 * a fixed number.  The requests are counted in the window, in the one before
 * it and in the one half a window earlier; the highest of these counts is
 * used.  The limit prevents a retry storm when many runners are lost at once.
 *
 * Hosts report their use to each other.  A host that receives such reports
 * keeps the sum well below the limit, since all hosts may retry at the same
 * time.  A host that receives none keeps to the ratio of its own requests and
 * to its share of the fixed number.
 */
#ifndef FORWARD_RETRY_BUDGET_H
#define FORWARD_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/rate.h"

typedef struct {
    uint32_t ratio_permille; /* retries per 1000 requests */
    uint32_t fixed;          /* additional retries of all hosts together */
    int64_t window_us;       /* at most half of RATE_SPAN_US */
} retry_limits_t;

/* The counters of one service on this host; initialised to zero. */
typedef struct {
    rate_t requests;
    rate_t retries;
} retry_budget_t;

/* Counts a request of a caller for the service, whatever its outcome. */
void retry_budget_add_request(retry_budget_t *budget, int64_t now_us);

/* The requests and retries of one or more hosts within the window. */
typedef struct {
    uint64_t requests;
    uint64_t retries;
    uint32_t hosts;
} retry_use_t;

/* Returns the requests and retries of this host within the window. */
retry_use_t retry_budget_use(const retry_budget_t *budget,
                             const retry_limits_t *limits, int64_t now_us);

/*
 * Returns true if one more retry is within the limit.  others is the use that
 * the other hosts reported; hosts is the number of hosts in the fleet.
 */
bool retry_budget_allows(const retry_budget_t *budget,
                         const retry_limits_t *limits,
                         const retry_use_t *others, uint32_t hosts,
                         int64_t now_us);

/* Counts a retry that was sent. */
void retry_budget_add_retry(retry_budget_t *budget, int64_t now_us);
/* Uncounts the retry sent at this time, which did not reach a runner. */
void retry_budget_undo_retry(retry_budget_t *budget, int64_t sent_us);

#endif
