/*
 * burn.h - burn rate of a service's error budget over sliding windows.
 *
 * Requests are counted as within or out of their objective over four
 * windows.  Each window is a ring of slots, so its count covers its length
 * or up to one slot less, never more.
 */
#ifndef POLICY_BURN_H
#define POLICY_BURN_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
    BURN_5_MINUTES,
    BURN_1_HOUR,
    BURN_6_HOURS,
    BURN_3_DAYS,
    BURN_WINDOWS,
} burn_window_t;

enum { BURN_SLOTS = 60 };

typedef struct {
    uint64_t within;
    uint64_t out;
} burn_count_t;

typedef struct {
    int64_t slot; /* time in slots, from 1; 0 if unused */
    burn_count_t count;
} burn_slot_t;

/* A zeroed burn_t is empty.  Times must not be negative. */
typedef struct {
    burn_slot_t slots[BURN_WINDOWS][BURN_SLOTS];
} burn_t;

/* Counts a request that ended within or out of its objective. */
void burn_count_request(burn_t *burn, int64_t now_us, bool within);

/* Returns the count of the window that ends at now_us. */
burn_count_t burn_window_count(const burn_t *burn, burn_window_t window,
                               int64_t now_us);

/*
 * Returns the fraction of requests out of their objective, in parts per
 * million; 0 if the count is empty.
 */
uint32_t burn_missed_ppm(burn_count_t count);

/*
 * Returns the burn rate in thousandths.  At 1000 the service uses up exactly
 * the error budget that the target (in parts per million, such as 999000)
 * leaves.
 */
uint64_t burn_rate_permille(burn_count_t count, uint32_t target_ppm);

/* Returns the name of the window: "5m", "1h", "6h" or "3d". */
const char *burn_window_name(burn_window_t window);

#endif
