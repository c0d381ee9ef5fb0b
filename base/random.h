/*
 * random.h - random numbers: from the kernel, or in an order to repeat.
 */
#ifndef BASE_RANDOM_H
#define BASE_RANDOM_H

#include <stdint.h>

uint64_t random_u64(void);

/* The next of those that *state, first a seed, stands for: SplitMix64. */
uint64_t random_next(uint64_t *state);

#endif
