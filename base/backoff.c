/* backoff.c - exponential backoff with jitter. */
#include "base/backoff.h"
#include "base/random.h"

enum { BACKOFF_INITIAL_MS = 50, BACKOFF_MAX_MS = 5000, DOUBLINGS_MAX = 7 };

uint32_t
backoff_next_ms(backoff_t *backoff)
{
    return backoff_delay_ms(backoff, random_u64());
}

uint32_t
backoff_delay_ms(backoff_t *backoff, uint64_t random)
{
    uint32_t delay_ms = BACKOFF_INITIAL_MS << backoff->failures;

    if (backoff->failures < DOUBLINGS_MAX) {
        backoff->failures++;
    }
    if (delay_ms > BACKOFF_MAX_MS) {
        delay_ms = BACKOFF_MAX_MS;
    }
    return delay_ms / 2 + (uint32_t)(random % (delay_ms / 2 + 1));
}

void
backoff_reset(backoff_t *backoff)
{
    backoff->failures = 0;
}
