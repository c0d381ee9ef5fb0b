/* retry_budget.c - see retry_budget.h. */
#include "forward/retry_budget.h"

enum { PERMILLE = 1000, KEPT_PERMILLE = 900 };

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
    uint64_t requests =
        rate_count(&budget->requests, now_us, limits->window_us);
    uint64_t repeats = rate_count(&budget->repeats, now_us, limits->window_us);
    uint64_t allowed = requests * limits->ratio_permille / PERMILLE +
                       limits->fixed / (hosts > 0 ? hosts : 1);

    if (repeats + 1 > allowed * KEPT_PERMILLE / PERMILLE) {
        return false;
    }
    rate_add(&budget->repeats, now_us);
    return true;
}
