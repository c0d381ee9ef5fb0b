/* rate.c - counts events over a sliding window of time; see rate.h. */
#include "policy/rate.h"

void
rate_add(rate_t *rate, int64_t now_us)
{
    int64_t slot = now_us / RATE_SLOT_US;
    int64_t index = slot % RATE_SLOTS;

    if (rate->slots[index] != slot) {
        rate->slots[index] = slot;
        rate->counts[index] = 0;
    }
    rate->counts[index]++;
}

void
rate_remove(rate_t *rate, int64_t at_us)
{
    int64_t slot = at_us / RATE_SLOT_US;
    int64_t index = slot % RATE_SLOTS;

    if (rate->slots[index] == slot && rate->counts[index] > 0) {
        rate->counts[index]--;
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
    int64_t after_slot = (end_us - span_us) / RATE_SLOT_US;
    int64_t last_slot = end_us / RATE_SLOT_US;
    uint64_t count = 0;

    for (int64_t i = 0; i < RATE_SLOTS; i++) {
        if (rate->slots[i] > after_slot && rate->slots[i] <= last_slot) {
            count += rate->counts[i];
        }
    }
    return count;
}
