/* burn.c - burn rate of a service's error budget; see burn.h. */
#include "policy/burn.h"

enum { PPM = 1000000, PERMILLE = 1000 };

/* Slot length by window. */
static const int64_t slot_us[BURN_WINDOWS] = {
    (int64_t)5 * 1000000,
    (int64_t)60 * 1000000,
    (int64_t)360 * 1000000,
    (int64_t)4320 * 1000000,
};

static const char *const window_names[BURN_WINDOWS] = {"5m", "1h", "6h", "3d"};

/* Slot numbers start entry 1, so that a zeroed slot is unused. */
static int64_t
slot_number(burn_window_t window, int64_t now_us)
{
    return now_us / slot_us[window] + 1;
}

void
burn_count_request(burn_t *burn, int64_t now_us, bool within)
{
    for (int window = 0; window < BURN_WINDOWS; window++) {
        int64_t slot = slot_number((burn_window_t)window, now_us);
        burn_slot_t *entry = &burn->slots[window][slot % BURN_SLOTS];

        if (entry->slot != slot) {
            *entry = (burn_slot_t){.slot = slot};
        }
        if (within) {
            entry->count.within++;
        }
        else {
            entry->count.out++;
        }
    }
}

burn_count_t
burn_window_count(const burn_t *burn, burn_window_t window, int64_t now_us)
{
    int64_t expired_slot = slot_number(window, now_us) - BURN_SLOTS;
    burn_count_t total = {0};

    for (int i = 0; i < BURN_SLOTS; i++) {
        const burn_slot_t *entry = &burn->slots[window][i];

        if (entry->slot > expired_slot && entry->slot > 0) {
            total.within += entry->count.within;
            total.out += entry->count.out;
        }
    }
    return total;
}

uint32_t
burn_missed_ppm(burn_count_t count)
{
    uint64_t total = count.within + count.out;

    return total == 0 ? 0 : (uint32_t)(count.out * PPM / total);
}

uint64_t
burn_rate_permille(burn_count_t count, uint32_t target_ppm)
{
    uint64_t total = count.within + count.out;
    uint64_t budget_ppm = target_ppm < PPM ? PPM - target_ppm : 1;

    return total == 0 ? 0 : count.out * PPM * PERMILLE / (total * budget_ppm);
}

const char *
burn_window_name(burn_window_t window)
{
    return window_names[window];
}
