/*
 * store_feed_private.h - a poll that is held, and the reply to it.
 *
 * Private to store_feed.c, which decides when a reply is sent, and
 * store_reply.c, which decides what is in it.
 */
#ifndef GATEWAY_STORE_FEED_PRIVATE_H
#define GATEWAY_STORE_FEED_PRIVATE_H

#include <sys/queue.h>

#include "gateway/store_feed.h"

typedef enum {
    POLL_LEGACY, /* of an earlier build */
    POLL_HELLO,  /* the first one: it does not say what the host has */
    POLL_FETCH,
} poll_kind_t;

typedef struct held_poll {
    TAILQ_ENTRY(held_poll) link;
    poll_kind_t kind;
    const char *host; /* as all below, in arena */
    uint64_t number;
    int64_t after;
    int64_t seen;
    const store_value_t *values;
    size_t value_count;
    const store_partial_t *partial; /* NULL: there is none */
    int64_t expires_us;
    int64_t checked_seen; /* mirror_seen() when it lacked nothing small */
    arena_t arena;
} held_poll_t;

/* --- store_reply.c --- */

/* Returns a change as legacy hosts and small values are sent it. */
store_item_t store_reply_item(const kv_pair_t *pair);

/*
 * Fills in all but the number of a reply, with as much as one may hold, valid
 * as long as arena and mirror are unchanged.  Returns the bytes of its pieces.
 */
size_t store_reply_write(mirror_t *mirror, const held_poll_t *poll,
                         arena_t *arena, store_parts_t *parts);

#endif
