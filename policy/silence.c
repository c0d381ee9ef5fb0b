/* silence.c - adaptive inactivity timeout; see silence.h. */
#include "policy/silence.h"

enum {
    MEAN_GAIN_SHIFT = 3,      /* a sample has a weight of 1/8 in the mean */
    DEVIATION_GAIN_SHIFT = 2, /* and of 1/4 in the deviation */
    DEVIATION_FACTOR = 8,
    SAMPLES_MIN = 8,
};

void
silence_add_sample(silence_t *silence, int64_t gap_us)
{
    int64_t error_us;

    if (silence->samples == 0) {
        silence->mean_us = gap_us;
        silence->deviation_us = gap_us / 2;
        silence->samples = 1;
        return;
    }
    error_us = gap_us - silence->mean_us;
    silence->mean_us += error_us / (1 << MEAN_GAIN_SHIFT);
    if (error_us < 0) {
        error_us = -error_us;
    }
    silence->deviation_us +=
        (error_us - silence->deviation_us) / (1 << DEVIATION_GAIN_SHIFT);
    if (silence->samples < SAMPLES_MIN) {
        silence->samples++;
    }
}

int64_t
silence_limit_us(const silence_t *silence, int64_t floor_us,
                 int64_t ceiling_us)
{
    int64_t limit_us =
        silence->mean_us + DEVIATION_FACTOR * silence->deviation_us;

    if (silence->samples < SAMPLES_MIN || limit_us > ceiling_us) {
        return ceiling_us;
    }
    return limit_us < floor_us ? floor_us : limit_us;
}
