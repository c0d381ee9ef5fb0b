/*
 * following.c - selects the hosts that watch the store; see following.h.
 */
#include <string.h>

#include <xxhash.h>

#include "forward/following.h"

enum {
    /* Up to this many watches cost less than the polls that would replace
     * them. */
    ALL_WATCH_HOSTS_MAX = 8,
    /* When one fails, the other is available immediately. */
    WATCHERS_PER_ZONE = 2,
    /* A failed host is not polled for this time; most faults are over by
     * then. */
    FAILED_HOST_SKIP_MS = 10000,
    US_PER_MS = 1000,
};

static bool is_watcher(const follow_host_t *hosts, size_t count,
                       const follow_host_t *host);
static uint64_t hash_name(const char *name, uint64_t seed);
static bool failed_recently(const following_t *following, const char *name,
                            int64_t now_us);

bool
following_watches(const follow_host_t *hosts, size_t count,
                  const follow_host_t *self)
{
    return count <= ALL_WATCH_HOSTS_MAX || is_watcher(hosts, count, self);
}

/*
 * Prefers a watcher of its own zone.  Rendezvous hashing spreads the followers
 * evenly over the watchers.
 */
const follow_host_t *
following_choose(const follow_host_t *hosts, size_t count,
                 const follow_host_t *self)
{
    uint64_t seed = hash_name(self->name, 0);
    const follow_host_t *best = NULL;
    bool best_same_zone = false;
    uint64_t best_hash = 0;
    size_t i;

    for (i = 0; i < count; i++) {
        const follow_host_t *host = &hosts[i];
        bool same_zone;
        uint64_t host_hash;

        if (host->failed || strcmp(host->name, self->name) == 0 ||
            !is_watcher(hosts, count, host)) {
            continue;
        }
        same_zone = strcmp(host->zone, self->zone) == 0;
        host_hash = hash_name(host->name, seed);
        if (best == NULL || (same_zone && !best_same_zone) ||
            (same_zone == best_same_zone && host_hash > best_hash)) {
            best = host;
            best_same_zone = same_zone;
            best_hash = host_hash;
        }
    }
    return best;
}

const char *
following_host(const following_t *following, follow_host_t *hosts,
               size_t count, const follow_host_t *self, int64_t now_us)
{
    const follow_host_t *chosen;
    size_t i;

    if (following->must_watch_store || self == NULL ||
        following_watches(hosts, count, self)) {
        return NULL;
    }
    for (i = 0; i < count; i++) {
        hosts[i].failed = failed_recently(following, hosts[i].name, now_us);
    }
    chosen = following_choose(hosts, count, self);
    return chosen != NULL ? chosen->name : NULL;
}

bool
following_current(int64_t contact_age_us)
{
    return contact_age_us <= (int64_t)FOLLOWING_AGE_MAX_MS * US_PER_MS;
}

uint32_t
following_hold_ms(int64_t contact_age_us)
{
    int64_t age_ms = contact_age_us / US_PER_MS;

    if (age_ms > FOLLOWING_AGE_MAX_MS) {
        return 0;
    }
    if (age_ms + FOLLOWING_HOLD_MS > FOLLOWING_AGE_MAX_MS) {
        return (uint32_t)(FOLLOWING_AGE_MAX_MS + 1 - age_ms);
    }
    return FOLLOWING_HOLD_MS;
}

void
following_failed(following_t *following, const char *host, int64_t now_us)
{
    follow_failure_t *failure =
        &following->failed[following->failure_count % FOLLOWING_FAILED_HOSTS];

    following->failure_count++;
    failure->name_hash = hash_name(host, 0);
    failure->skip_until_us = now_us + (int64_t)FAILED_HOST_SKIP_MS * US_PER_MS;
    following->must_watch_store = true;
}

void
following_asked_store(following_t *following)
{
    following->must_watch_store = false;
}

bool
following_starts(size_t hosts)
{
    return hosts <= ALL_WATCH_HOSTS_MAX;
}

/* The watchers of a zone are the WATCHERS_PER_ZONE hosts with the highest
 * hashes. */
static bool
is_watcher(const follow_host_t *hosts, size_t count, const follow_host_t *host)
{
    uint64_t own_hash = hash_name(host->name, 0);
    size_t higher = 0;
    size_t i;

    for (i = 0; i < count && higher < WATCHERS_PER_ZONE; i++) {
        if (strcmp(hosts[i].zone, host->zone) == 0 &&
            hash_name(hosts[i].name, 0) > own_hash) {
            higher++;
        }
    }
    return higher < WATCHERS_PER_ZONE;
}

static uint64_t
hash_name(const char *name, uint64_t seed)
{
    return XXH3_64bits_withSeed(name, strlen(name), seed);
}

static bool
failed_recently(const following_t *following, const char *name, int64_t now_us)
{
    size_t i;

    for (i = 0; i < FOLLOWING_FAILED_HOSTS; i++) {
        if (now_us < following->failed[i].skip_until_us &&
            following->failed[i].name_hash == hash_name(name, 0)) {
            return true;
        }
    }
    return false;
}
