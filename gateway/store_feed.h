/*
 * store_feed.h - decides what a host replies to hosts that poll it for changes
 * of the store, and when.
 *
 * A poll is held until something has changed or its hold time is over.  What
 * is small is sent at once, to all hosts.  Patches of large values are sent in
 * pieces, the next one after the receiver has polled again, and to few hosts
 * at a time: no more than FEED_WINDOW_PIECES are on the way, so that nothing
 * small waits long behind them on a slow link.  A host that has part of a
 * patch comes first, and gets what it lacks of it even if the value has
 * changed meanwhile.
 *
 * Performs no I/O.  Hosts of earlier builds (MESSAGE_STORE_POLL) get whole
 * values in one message.
 */
#ifndef GATEWAY_STORE_FEED_H
#define GATEWAY_STORE_FEED_H

#include <stdint.h>

#include "gateway/mirror.h"
#include "world/generated/link.h"

enum {
    FEED_POLLS_MAX = 512,
    FEED_WINDOW_PIECES = 4, /* 64 KB: 52 ms of a link of 10 Mbit/s */
    /* Patches up to this size are not counted. */
    FEED_SMALL_PATCH_BYTES = 2048,
    /* Longest time that a poll waits for its turn to get a patch. */
    FEED_TURN_HOLD_MS = 200,
    /* Longest time that a poll is held while this host's contact with the
     * store is too old.  A call that confirms it takes less. */
    FEED_STALE_HOLD_MS = 150,
    /* A host that has not polled again for this time has failed. */
    FEED_RECEIVE_TIMEOUT_MS = 1000,
};

typedef struct store_feed store_feed_t;

/* This host's state at the time of a call. */
typedef struct {
    int64_t now_us;
    int64_t contact_age_us;      /* see store_changes_t */
    uint32_t contact_age_max_ms; /* see follower_poll_hold_ms() */
} feed_time_t;

/* Counters of the bytes of values that were sent. */
typedef struct {
    uint64_t small_bytes;  /* small values */
    uint64_t patch_bytes;  /* of large ones */
    uint64_t whole_bytes;  /* large ones as patches of nothing */
    uint64_t legacy_bytes; /* to hosts of earlier builds */
} feed_counters_t;

/* Sends a message; it is valid during the call. */
typedef void (*feed_send_t)(void *context, const char *host,
                            const message_t *message);

store_feed_t *store_feed_new(mirror_t *mirror, feed_send_t send,
                             void *context);
void store_feed_free(store_feed_t *feed);

/* Handle a poll; it replaces an earlier one of the same host. */
void store_feed_poll(store_feed_t *feed, const feed_time_t *time,
                     const char *host, const store_poll_t *poll);
void store_feed_fetch(store_feed_t *feed, const feed_time_t *time,
                      const char *host, const store_fetch_t *fetch);

/* Sends what is due: after a change of the mirror, and when time is up. */
void store_feed_run(store_feed_t *feed, const feed_time_t *time);

/* Returns whether polls are held. */
bool store_feed_is_busy(const store_feed_t *feed);

const feed_counters_t *store_feed_counters(const store_feed_t *feed);

#endif
