/*
 * retry_budget.c - limits the retries of requests to a service; see
 * retry_budget.h.
 */
#include <stddef.h>

#include "forward/retry_budget.h"

enum {
    PERMILLE = 1000,
    /* Share of the limit used by a host without reports of others.  A tenth
     * is reserved for requests that move from one window to another. */
    OWN_LIMIT_PERMILLE = 900,
    /* Share of the limit used by a host with reports of others.  All hosts
     * may retry before they receive the next reports: when one of three zones
     * fails, that takes about 15% of the limit at once. */
    SHARED_LIMIT_PERMILLE = 750,
};

static uint64_t busiest_window_requests(const retry_budget_t *budget,
                                        const retry_limits_t *limits,
                                        int64_t now_us);

void
retry_budget_add_request(retry_budget_t *budget, int64_t now_us)
{
    rate_add(&budget->requests, now_us);
}

retry_use_t
retry_budget_use(const retry_budget_t *budget, const retry_limits_t *limits,
                 int64_t now_us)
{
    return (retry_use_t){
        .requests = busiest_window_requests(budget, limits, now_us),
        .retries = rate_count(&budget->retries, now_us, limits->window_us),
        .hosts = 1,
    };
}

/* The share of the fixed number that belongs to hosts without a report stays
 * reserved for them. */
bool
retry_budget_allows(const retry_budget_t *budget, const retry_limits_t *limits,
                    const retry_use_t *others, uint32_t hosts, int64_t now_us)
{
    retry_use_t use = retry_budget_use(budget, limits, now_us);
    uint64_t limit_permille =
        others->hosts > 0 ? SHARED_LIMIT_PERMILLE : OWN_LIMIT_PERMILLE;
    uint64_t allowed;

    use.requests += others->requests;
    use.retries += others->retries;
    use.hosts += others->hosts;
    if (hosts < use.hosts) {
        hosts = use.hosts;
    }
    allowed = use.requests * limits->ratio_permille / PERMILLE +
              (uint64_t)limits->fixed * use.hosts / hosts;
    return use.retries + 1 <= allowed * limit_permille / PERMILLE;
}

void
retry_budget_add_retry(retry_budget_t *budget, int64_t now_us)
{
    rate_add(&budget->retries, now_us);
}

void
retry_budget_undo_retry(retry_budget_t *budget, int64_t sent_us)
{
    rate_remove(&budget->retries, sent_us);
}

static uint64_t
busiest_window_requests(const retry_budget_t *budget,
                        const retry_limits_t *limits, int64_t now_us)
{
    int64_t window_us = limits->window_us;
    int64_t ends_us[] = {now_us, now_us - window_us / 2, now_us - window_us};
    uint64_t most = 0;
    size_t i;

    for (i = 0; i < sizeof(ends_us) / sizeof(ends_us[0]); i++) {
        uint64_t count =
            rate_count_before(&budget->requests, ends_us[i], window_us);

        most = count > most ? count : most;
    }
    return most;
}
