/* burn.c - see burn.h. */
#include "policy/burn.h"

enum { PPM = 1000000, PERMILLE = 1000 };

/* The length of a slot of each window. */
static const int64_t slot_us[BURN_WINDOWS] = {
    (int64_t)5 * 1000000,
    (int64_t)60 * 1000000,
    (int64_t)360 * 1000000,
    (int64_t)4320 * 1000000,
};

static const char *const names[BURN_WINDOWS] = {"5m", "1h", "6h", "3d"};

/* Slots count from 1, so that a zeroed one is of no time. */
static int64_t
slot_of(burn_window_t window, int64_t now_us)
{
    return now_us / slot_us[window] + 1;
}

void
burn_add(burn_t *burn, int64_t now_us, bool within)
{
    for (int window = 0; window < BURN_WINDOWS; window++) {
        int64_t slot = slot_of((burn_window_t)window, now_us);
        burn_slot_t *at = &burn->slots[window][slot % BURN_SLOTS];

        if (at->slot != slot) {
            *at = (burn_slot_t){.slot = slot};
        }
        if (within) {
            at->count.within++;
        }
        else {
            at->count.out++;
        }
    }
}

burn_count_t
burn_read(const burn_t *burn, burn_window_t window, int64_t now_us)
{
    int64_t oldest = slot_of(window, now_us) - BURN_SLOTS;
    burn_count_t sum = {0};

    for (int i = 0; i < BURN_SLOTS; i++) {
        const burn_slot_t *at = &burn->slots[window][i];

        if (at->slot > oldest && at->slot > 0) {
            sum.within += at->count.within;
            sum.out += at->count.out;
        }
    }
    return sum;
}

uint32_t
burn_share_ppm(burn_count_t count)
{
    uint64_t all = count.within + count.out;

    return all == 0 ? 0 : (uint32_t)(count.out * PPM / all);
}

uint64_t
burn_rate_permille(burn_count_t count, uint32_t target_ppm)
{
    uint64_t all = count.within + count.out;
    uint64_t budget_ppm = target_ppm < PPM ? PPM - target_ppm : 1;

    return all == 0 ? 0 : count.out * PPM * PERMILLE / (all * budget_ppm);
}

const char *
burn_window_name(burn_window_t window)
{
    return names[window];
}
