/*
 * rate.h - counts events over a sliding window of time.
 */
#ifndef POLICY_RATE_H
#define POLICY_RATE_H

#include <stdint.h>

enum { RATE_SLOTS = 84, RATE_SLOT_US = 250000 };
#define RATE_SPAN_US ((int64_t)RATE_SLOTS * RATE_SLOT_US)

/* A zeroed rate_t is empty. */
typedef struct {
    uint32_t counts[RATE_SLOTS];
    int64_t slots[RATE_SLOTS]; /* time of each count, in slots */
} rate_t;

/* Counts an event at now_us. */
void rate_add(rate_t *rate, int64_t now_us);

/* Removes an event that was counted at at_us. */
void rate_remove(rate_t *rate, int64_t at_us);

/* Returns the number of events in the last span_us, up to RATE_SPAN_US. */
uint64_t rate_count(const rate_t *rate, int64_t now_us, int64_t span_us);

/*
 * Returns the number of events in the span_us before end_us.  The span must
 * lie within the last RATE_SPAN_US.
 */
uint64_t rate_count_before(const rate_t *rate, int64_t end_us,
                           int64_t span_us);

#endif
