/*
 * rate.h - how often something happened in the last seconds.
 */
#ifndef POLICY_RATE_H
#define POLICY_RATE_H

#include <stdint.h>

enum { RATE_SLOTS = 84, RATE_SLOT_US = 250000 };
#define RATE_SPAN_US ((int64_t)RATE_SLOTS * RATE_SLOT_US)

/* A zeroed rate_t has counted nothing. */
typedef struct {
    uint32_t counts[RATE_SLOTS];
    int64_t slots[RATE_SLOTS]; /* the time, in slots, that each counts */
} rate_t;

/* It happened at now_us. */
void rate_add(rate_t *rate, int64_t now_us);

/* What was added at this time did not happen after all. */
void rate_remove(rate_t *rate, int64_t at_us);

/* How often it did in the last span_us, up to RATE_SPAN_US. */
uint64_t rate_count(const rate_t *rate, int64_t now_us, int64_t span_us);

/* How often it did in the span_us before end_us, a time not long past. */
uint64_t rate_count_before(const rate_t *rate, int64_t end_us,
                           int64_t span_us);

#endif
