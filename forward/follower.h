/*
 * follower.h - selects the hosts that watch the store and, for each other
 * host, the watcher that it polls.
 *
 * Limits the load on the store: if every host watched it, each change would
 * cost one call per host.  In a small fleet all hosts watch the store.  In a
 * larger one few hosts are watchers, spread over the availability zones; the
 * other hosts (followers) poll one of them, preferably of their own zone.  The
 * selection is deterministic: hosts with the same list of hosts select the
 * same watchers.
 *
 * When its watcher fails, a follower watches the store itself until the store
 * has replied, and then polls another watcher.  Its view of the store is
 * therefore never older than FOLLOWER_CONTACT_AGE_MAX_MS because of the
 * failure.
 */
#ifndef FORWARD_FOLLOWER_H
#define FORWARD_FOLLOWER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    /* Longest time that a watcher holds a poll while nothing changes.  A
     * reply confirms the store's state only as of the time of the poll. */
    FOLLOWER_POLL_HOLD_MS = 500,
    /* Timeout of a poll: the hold time, and nearly as much again for a
     * watcher that is short of CPU time. */
    FOLLOWER_POLL_TIMEOUT_MS = 900,
    /* A watcher whose last contact with the store is older than this is not
     * used.  A watch returns every second; the rest allows for a slow
     * store. */
    FOLLOWER_CONTACT_AGE_MAX_MS = 1500,
    FOLLOWER_FAILED_HOSTS_MAX = 4,
};

typedef struct {
    const char *name;
    const char *zone;
    bool failed; /* set by follower_host_to_poll() */
} watcher_candidate_t;

/* A watcher that did not reply, or whose contact with the store was old. */
typedef struct {
    uint64_t name_hash;
    int64_t skip_until_us; /* not polled before this time */
} watcher_failure_t;

/* A host's record of failed watchers; initialised to zero. */
typedef struct {
    watcher_failure_t failed[FOLLOWER_FAILED_HOSTS_MAX];
    size_t failure_count;
    bool must_watch_store; /* from a failure until the next call to the store
                              has completed */
} follower_t;

/* Returns true if self, one of hosts, is a watcher. */
bool follower_is_watcher(const watcher_candidate_t *hosts, size_t count,
                         const watcher_candidate_t *self);

/*
 * Returns the watcher that self polls, ignoring those marked failed; NULL if
 * there is none, so that self must watch the store.
 */
const watcher_candidate_t *
follower_choose_watcher(const watcher_candidate_t *hosts, size_t count,
                        const watcher_candidate_t *self);

/*
 * Marks the hosts that failed recently and returns the name of the watcher
 * that self polls.  Returns NULL if self must watch the store: it is itself a
 * watcher, a watcher failed and the store has not been called since, self is
 * NULL, or no watcher is left.
 */
const char *follower_host_to_poll(const follower_t *following,
                                  watcher_candidate_t *hosts, size_t count,
                                  const watcher_candidate_t *self,
                                  int64_t now_us);

/* Returns true if a watcher whose contact is this old may be used. */
bool follower_contact_is_fresh(int64_t contact_age_us, uint32_t age_max_ms);

/*
 * Returns how long a watcher holds a poll while nothing changes, or 0 to
 * reply immediately.  The hold ends as soon as the watcher's contact becomes
 * too old, so that followers learn of it without delay.
 */
uint32_t follower_poll_hold_ms(int64_t contact_age_us, uint32_t age_max_ms);

/*
 * Returns the longest age of the contact of a watcher that is used, in hosts
 * that confirm their view at an age of confirm_ms; 0: they never do.
 */
uint32_t follower_contact_age_max_ms(uint32_t confirm_ms);

/* Returns a watcher that self may poll while its own calls to the store fail;
 * NULL if there is none. */
const char *follower_substitute(const follower_t *following,
                                watcher_candidate_t *hosts, size_t count,
                                const watcher_candidate_t *self,
                                int64_t now_us);

/* The next call is to the store. */
void follower_ask_store(follower_t *following);

/* Records that a polled host did not reply, or had no recent contact. */
void follower_host_failed(follower_t *following, const char *host,
                          int64_t now_us);

/* Records that a call to the store has completed or failed. */
void follower_store_called(follower_t *following);

/* Records that the store is available to this host again.  Watchers that had
 * lost it are likely to have it, too, and are polled again. */
void follower_store_regained(follower_t *following);

/*
 * Returns the longest delay between calls of a host to a store that does not
 * answer.  Few hosts call it often; the others of a large fleet call it less
 * often, and learn from them that it is back.
 */
uint32_t follower_retry_max_ms(size_t hosts, bool is_watcher);

/*
 * Returns true if so few hosts are known that the fleet may just be starting.
 * Each host that registers then changes a key, and watching every one of
 * these changes would cost many calls.
 */
bool follower_fleet_is_small(size_t hosts);

#endif
