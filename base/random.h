/*
 * random.h - random numbers from the kernel and reproducible ones.
 */
#ifndef BASE_RANDOM_H
#define BASE_RANDOM_H

#include <stdint.h>

/* Returns a random number from the kernel; aborts if there is none. */
uint64_t random_u64(void);

/*
 * Returns the next number of the SplitMix64 sequence and advances *state,
 * which is initialised with a seed.
 */
uint64_t random_next_from(uint64_t *state);

#endif
