/*
 * backoff.h - exponential backoff with jitter between retries of a call.
 */
#ifndef BASE_BACKOFF_H
#define BASE_BACKOFF_H

#include <stdint.h>

/* A zeroed backoff_t has no failures. */
typedef struct {
    uint32_t failures;
} backoff_t;

/*
 * Counts a failure and returns the delay before the next attempt.  The delay
 * doubles with each failure up to a maximum and has random jitter.
 */
uint32_t backoff_next_ms(backoff_t *backoff);
/* The same with a random number that the caller has drawn. */
uint32_t backoff_delay_ms(backoff_t *backoff, uint64_t random);
void backoff_reset(backoff_t *backoff);

#endif
