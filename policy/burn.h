/*
 * burn.h - how fast a service spends its error budget.
 *
 * Requests are counted as within or out of their objective over four
 * windows.  Each window is a ring of slots, so a window's count may hold up
 * to one slot less than its length, never more.
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
    int64_t slot; /* the time, in slots, that is counted; from 1 */
    burn_count_t count;
} burn_slot_t;

/* A zeroed burn_t has counted nothing.  now_us is never negative. */
typedef struct {
    burn_slot_t slots[BURN_WINDOWS][BURN_SLOTS];
} burn_t;

/* A request ended, within its objective or out of it. */
void burn_add(burn_t *burn, int64_t now_us, bool within);

/* What the window held at now_us. */
burn_count_t burn_read(const burn_t *burn, burn_window_t window,
                       int64_t now_us);

/* The share out of objective, in parts of a million; 0 of none. */
uint32_t burn_share_ppm(burn_count_t count);

/*
 * The burn rate, in thousandths: 1000 spends exactly the budget that a
 * target (in parts of a million, such as 999000) leaves.
 */
uint64_t burn_rate_permille(burn_count_t count, uint32_t target_ppm);

/* The window's name, "5m", "1h", "6h" or "3d". */
const char *burn_window_name(burn_window_t window);

#endif
