/* rate.c - see rate.h. */
#include "policy/rate.h"

void
rate_add(rate_t *rate, int64_t now_us)
{
    int64_t slot = now_us / RATE_SLOT_US;
    int64_t at = slot % RATE_SLOTS;

    if (rate->slots[at] != slot) {
        rate->slots[at] = slot;
        rate->counts[at] = 0;
    }
    rate->counts[at]++;
}

void
rate_remove(rate_t *rate, int64_t at_us)
{
    int64_t slot = at_us / RATE_SLOT_US;
    int64_t at = slot % RATE_SLOTS;

    if (rate->slots[at] == slot && rate->counts[at] > 0) {
        rate->counts[at]--;
    }
}

uint64_t
rate_count(const rate_t *rate, int64_t now_us, int64_t span_us)
{
    return rate_count_before(rate, now_us, span_us);
}

uint64_t
rate_count_before(const rate_t *rate, int64_t end_us, int64_t span_us)
{
    int64_t first = (end_us - span_us) / RATE_SLOT_US;
    int64_t last = end_us / RATE_SLOT_US;
    uint64_t count = 0;

    for (int64_t i = 0; i < RATE_SLOTS; i++) {
        if (rate->slots[i] > first && rate->slots[i] <= last) {
            count += rate->counts[i];
        }
    }
    return count;
}
