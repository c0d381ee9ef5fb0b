/*
 * random.h - random numbers from the kernel.
 */
#ifndef BASE_RANDOM_H
#define BASE_RANDOM_H

#include <stdint.h>

uint64_t random_u64(void);

#endif
