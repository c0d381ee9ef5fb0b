/*
 * backoff.h - how long to wait before a call is made again.
 */
#ifndef BASE_BACKOFF_H
#define BASE_BACKOFF_H

#include <stdint.h>

/* A zeroed backoff_t has seen no failure. */
typedef struct {
    uint32_t failures;
} backoff_t;

/* Counts a failure and gives the wait, doubled each time, with jitter. */
uint32_t backoff_next_ms(backoff_t *backoff);
void backoff_reset(backoff_t *backoff);

#endif
