/*
 * config_sync.h - replication of the configuration to every host.
 *
 * The configuration is a set of keys with a document each.  A key only ever
 * moves to a higher revision; a deletion is a revision too.  A few hosts of
 * each zone watch the platform's store.  A host that receives a revision
 * that is new to it pushes it to its successors on the heartbeat rings.
 * Every CONFIG_SYNC_ROUND_US each host also compares hashes with a random
 * other host (anti-entropy), so that a lost push is made up for.
 */
#ifndef POLICY_CONFIG_SYNC_H
#define POLICY_CONFIG_SYNC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "policy/generated/event.h"
#include "policy/member.h"
#include "policy/actions.h"

enum {
    CONFIG_SYNC_ROUND_US = 2000000, /* interval of anti-entropy */
    CONFIG_SYNC_PUSH_HOSTS = 4, /* hosts that a new revision is pushed to */
    CONFIG_SYNC_WATCH_ALL_MAX =
        8,                    /* live hosts up to which all watch the store */
    CONFIG_SYNC_WATCHERS = 2, /* hosts of each zone in a larger fleet */
};

typedef struct config_sync config_sync_t;

config_sync_t *config_sync_new(int64_t now_us, const start_event_t *start);
void config_sync_free(config_sync_t *sync);

/*
 * Processes a revision of a key from the store (from is NULL) or from a host.
 * Returns false if it is not higher than the revision held.  Otherwise stores
 * it, appends messages that push it to other hosts and returns true; the
 * caller then applies the document.
 */
bool config_sync_receive(config_sync_t *sync, int64_t now_us, const char *from,
                         const config_t *config,
                         const membership_t *membership,
                         action_list_t *actions);

/* Processes a digest of host from and appends the replies. */
void config_sync_receive_digest(config_sync_t *sync, int64_t now_us,
                                const char *from,
                                const config_digest_t *digest,
                                action_list_t *actions);

/* Starts a comparison with a random host if one is due. */
void config_sync_handle_timer(config_sync_t *sync, int64_t now_us,
                              const membership_t *membership,
                              action_list_t *actions);
int64_t config_sync_due_us(const config_sync_t *sync);

/* Returns whether this host has to watch the store. */
bool config_sync_is_watcher(const config_sync_t *sync, int64_t now_us,
                            const membership_t *membership);

/* Return the highest revision held, and a hash of all keys and revisions. */
int64_t config_sync_revision(const config_sync_t *sync);
uint64_t config_sync_hash(const config_sync_t *sync);

/*
 * Returns the documents in force, without deleted keys, sorted by key, in
 * arena memory.  Keys and texts are valid until the next change.
 */
config_t *config_sync_list(const config_sync_t *sync, arena_t *arena,
                           size_t *count);

/* Returns a key, which may be deleted, or NULL if it was never received. */
const config_t *config_sync_find(const config_sync_t *sync, const char *key);

typedef struct {
    uint64_t applied;
    uint64_t ignored; /* not higher than the revision held */
    uint64_t pushed;
    uint64_t rounds;
    uint64_t differences; /* digests that differed from the own hashes */
} config_sync_counters_t;
const config_sync_counters_t *config_sync_counters(const config_sync_t *sync);

#endif
