/* retry_budget.c - see retry_budget.h. */
#include <stddef.h>

#include "forward/retry_budget.h"

enum {
    PERMILLE = 1000,
    /* Alone: a tenth is left for requests that move between windows. */
    OWN_KEPT_PERMILLE = 900,
    /* With others: all may repeat before they hear of each other; a zone of
     * three that fails takes some 15 in 100 of the bound at a time. */
    SUM_KEPT_PERMILLE = 750,
};

static uint64_t most_requests(const retry_budget_t *budget,
                              const retry_limits_t *limits, int64_t now_us);

void
retry_budget_request(retry_budget_t *budget, int64_t now_us)
{
    rate_add(&budget->requests, now_us);
}

retry_use_t
retry_budget_use(const retry_budget_t *budget, const retry_limits_t *limits,
                 int64_t now_us)
{
    return (retry_use_t){
        .requests = most_requests(budget, limits, now_us),
        .repeats = rate_count(&budget->repeats, now_us, limits->window_us),
        .hosts = 1,
    };
}

/* Of the fixed number, what belongs to hosts that are not heard is theirs. */
bool
retry_budget_allows(const retry_budget_t *budget, const retry_limits_t *limits,
                    const retry_use_t *others, uint32_t hosts, int64_t now_us)
{
    retry_use_t use = retry_budget_use(budget, limits, now_us);
    uint64_t kept_permille =
        others->hosts > 0 ? SUM_KEPT_PERMILLE : OWN_KEPT_PERMILLE;
    uint64_t allowed;

    use.requests += others->requests;
    use.repeats += others->repeats;
    use.hosts += others->hosts;
    if (hosts < use.hosts) {
        hosts = use.hosts;
    }
    allowed = use.requests * limits->ratio_permille / PERMILLE +
              (uint64_t)limits->fixed * use.hosts / hosts;
    return use.repeats + 1 <= allowed * kept_permille / PERMILLE;
}

void
retry_budget_sent(retry_budget_t *budget, int64_t now_us)
{
    rate_add(&budget->repeats, now_us);
}

void
retry_budget_unsent(retry_budget_t *budget, int64_t sent_us)
{
    rate_remove(&budget->repeats, sent_us);
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
