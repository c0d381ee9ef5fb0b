/*
 * silence.h - how long a backend server may say nothing.
 *
 * The gaps seen give a smoothed mean and mean deviation, as TCP keeps them
 * for its retransmission timeout; the limit is the mean and a multiple of
 * the deviation, between a floor and a ceiling.
 */
#ifndef POLICY_SILENCE_H
#define POLICY_SILENCE_H

#include <stdint.h>

typedef struct {
    int64_t mean_us;
    int64_t deviation_us;
    uint32_t samples;
} silence_t;

/* Takes in one gap. */
void silence_sample(silence_t *silence, int64_t gap_us);

/* The limit; with too few samples it is the ceiling. */
int64_t silence_limit_us(const silence_t *silence, int64_t floor_us,
                         int64_t ceiling_us);

#endif
