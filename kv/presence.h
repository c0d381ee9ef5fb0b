/*
 * presence.h - a key that stands as long as its process lives.
 *
 * The key is put under a lease that is renewed; when the process stops, the
 * key goes with the lease.  A call that fails is made again with backoff.
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
} presence_settings_t;

presence_t *presence_new(const presence_settings_t *settings,
                         const char *value);

/* Gives the key another value. */
void presence_put(presence_t *presence, const char *value);

/* Ends the lease, and with it the key. */
void presence_end(presence_t *presence);

/* The kv_t must have been freed: it calls back no more.  Takes NULL. */
void presence_free(presence_t *presence);

#endif
