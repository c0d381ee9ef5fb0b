/*
 * presence.h - a key that exists while its process runs.
 *
 * The key is attached to a lease that this module renews, so that the key is
 * deleted when the process stops.  Failed calls are retried with backoff.
 */
#ifndef KV_PRESENCE_H
#define KV_PRESENCE_H

#include <stdint.h>

#include <uv.h>

#include "kv/kv.h"

typedef struct presence presence_t;

typedef struct {
    uv_loop_t *loop;
    kv_t *kv;
    const char *key; /* copied */
    int64_t ttl_s;
    uint32_t interval_ms; /* between renewals */
    int64_t revision;     /* of the key, if it is known to exist; or 0 */
} presence_settings_t;

presence_t *presence_new(const presence_settings_t *settings,
                         const char *value);

/* Replaces the value of the key. */
void presence_set_value(presence_t *presence, const char *value);

/*
 * Checks at once whether the service was restored since the lease was granted:
 * key and lease are then gone, or older, and both are created again.
 */
void presence_check_era(presence_t *presence);

/* Revokes the lease, which deletes the key. */
void presence_stop(presence_t *presence);

/*
 * Frees presence, which may be NULL.  The kv_t must be freed first, so that no
 * callback runs afterwards.
 */
void presence_free(presence_t *presence);

#endif
