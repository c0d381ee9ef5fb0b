/*
 * silence.h - adaptive inactivity timeout for backend servers.
 *
 * Keeps a smoothed mean and mean deviation of the gaps between messages, as
 * TCP does for its retransmission timeout.  The timeout is the mean plus a
 * multiple of the deviation, limited by a floor and a ceiling.
 */
#ifndef POLICY_SILENCE_H
#define POLICY_SILENCE_H

#include <stdint.h>

typedef struct {
    int64_t mean_us;
    int64_t deviation_us;
    uint32_t samples;
} silence_t;

/* Adds one gap to the mean and the deviation. */
void silence_add_sample(silence_t *silence, int64_t gap_us);

/* Returns the timeout, which is the ceiling until there are enough samples. */
int64_t silence_limit_us(const silence_t *silence, int64_t floor_us,
                         int64_t ceiling_us);

#endif
