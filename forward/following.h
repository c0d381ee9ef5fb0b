/*
 * following.h - which hosts watch the store, and whom the others ask.
 *
 * Answers the load that many hosts are for the store: each change would be a
 * call of every host.  In a small fleet all watch.  In a larger one two hosts
 * of each availability zone do, and the others follow one of their own zone.
 * All hosts that know the same hosts come to the same choice.
 *
 * A follower whose host fails watches by itself until the store has answered,
 * so that it never misses for longer than FOLLOWING_AGE_MAX_MS what the store
 * says, and then follows another.
 */
#ifndef FORWARD_FOLLOWING_H
#define FORWARD_FOLLOWING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    /* A watcher holds an ask so long at most when nothing changes; the
     * contact that an answer proves is no younger than its ask. */
    FOLLOWING_HOLD_MS = 500,
    /* An answer later than this is none: the hold, and nearly as long again
     * for a host that is short of processor time. */
    FOLLOWING_ANSWER_MS = 900,
    /* A watcher whose contact is older is no help.  A watch returns each
     * second; the rest is for a slow store. */
    FOLLOWING_AGE_MAX_MS = 1500,
    FOLLOWING_FAILED_HOSTS = 4,
};

typedef struct {
    const char *name;
    const char *zone;
    bool failed; /* filled in by following_host() */
} follow_host_t;

/* A host that did not answer, or had no contact itself. */
typedef struct {
    uint64_t name_hash;
    int64_t until_us; /* it is not asked until then */
} follow_failure_t;

/* What one host remembers of the hosts that it asked; zeroed: nothing. */
typedef struct {
    follow_failure_t failed[FOLLOWING_FAILED_HOSTS];
    size_t failed_next;
    bool alone; /* the store has not been asked since the last failure */
} following_t;

/* Whether self, one of the hosts, is to watch. */
bool following_watches(const follow_host_t *hosts, size_t count,
                       const follow_host_t *self);

/* Whom self asks; NULL: nobody, it has to watch by itself. */
const follow_host_t *following_choose(const follow_host_t *hosts, size_t count,
                                      const follow_host_t *self);

/* The same, without the hosts that failed lately. */
const char *following_host(const following_t *following, follow_host_t *hosts,
                           size_t count, const follow_host_t *self,
                           int64_t now_us);

/* Whether a watcher whose contact is of this age is of help. */
bool following_current(int64_t contact_age_us);

/*
 * How long a watcher holds an ask while nothing changes; 0: not at all.  Who
 * follows is told as soon as the contact is too old.
 */
uint32_t following_hold_ms(int64_t contact_age_us);

/* A host that was asked did not answer, or was of no help. */
void following_failed(following_t *following, const char *host,
                      int64_t now_us);

/* The store was asked, and answered or did not. */
void following_asked_store(following_t *following);

/*
 * Whether so few hosts are known that the fleet may just be starting: each
 * one's key is then a change, and to watch them come is many calls.
 */
bool following_starts(size_t hosts);

#endif
