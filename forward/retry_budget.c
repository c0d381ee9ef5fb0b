/* retry_budget.c - see retry_budget.h. */
#include <stddef.h>

#include "forward/retry_budget.h"

enum { PERMILLE = 1000, KEPT_PERMILLE = 900 };

static uint64_t most_requests(const retry_budget_t *budget,
                              const retry_limits_t *limits, int64_t now_us);

void
retry_budget_request(retry_budget_t *budget, int64_t now_us)
{
    rate_add(&budget->requests, now_us);
}

/* A tenth is left for requests that move between hosts and windows. */
bool
retry_budget_take(retry_budget_t *budget, const retry_limits_t *limits,
                  uint32_t hosts, int64_t now_us)
{
    uint64_t requests = most_requests(budget, limits, now_us);
    uint64_t repeats = rate_count(&budget->repeats, now_us, limits->window_us);
    uint64_t allowed = requests * limits->ratio_permille / PERMILLE +
                       limits->fixed / (hosts > 0 ? hosts : 1);

    if (repeats + 1 > allowed * KEPT_PERMILLE / PERMILLE) {
        return false;
    }
    rate_add(&budget->repeats, now_us);
    return true;
}

static uint64_t
most_requests(const retry_budget_t *budget, const retry_limits_t *limits,
              int64_t now_us)
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
