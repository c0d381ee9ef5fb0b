/*
 * follower.c - selects the hosts that watch the store; see follower.h.
 */
#include <string.h>

#include <xxhash.h>

#include "forward/follower.h"

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

static bool is_watcher(const watcher_candidate_t *hosts, size_t count,
                       const watcher_candidate_t *host);
static uint64_t hash_name(const char *name, uint64_t seed);
static bool failed_recently(const follower_t *following, const char *name,
                            int64_t now_us);

bool
follower_is_watcher(const watcher_candidate_t *hosts, size_t count,
                    const watcher_candidate_t *self)
{
    return count <= ALL_WATCH_HOSTS_MAX || is_watcher(hosts, count, self);
}

/*
 * Prefers a watcher of its own zone.  Rendezvous hashing spreads the followers
 * evenly over the watchers.
 */
const watcher_candidate_t *
follower_choose_watcher(const watcher_candidate_t *hosts, size_t count,
                        const watcher_candidate_t *self)
{
    uint64_t seed = hash_name(self->name, 0);
    const watcher_candidate_t *best = NULL;
    bool best_same_zone = false;
    uint64_t best_hash = 0;
    size_t i;

    for (i = 0; i < count; i++) {
        const watcher_candidate_t *host = &hosts[i];
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
follower_host_to_poll(const follower_t *following, watcher_candidate_t *hosts,
                      size_t count, const watcher_candidate_t *self,
                      int64_t now_us)
{
    const watcher_candidate_t *chosen;
    size_t i;

    if (following->must_watch_store || self == NULL ||
        follower_is_watcher(hosts, count, self)) {
        return NULL;
    }
    for (i = 0; i < count; i++) {
        hosts[i].failed = failed_recently(following, hosts[i].name, now_us);
    }
    chosen = follower_choose_watcher(hosts, count, self);
    return chosen != NULL ? chosen->name : NULL;
}

bool
follower_contact_is_fresh(int64_t contact_age_us)
{
    return contact_age_us <= (int64_t)FOLLOWER_CONTACT_AGE_MAX_MS * US_PER_MS;
}

uint32_t
follower_poll_hold_ms(int64_t contact_age_us)
{
    int64_t age_ms = contact_age_us / US_PER_MS;

    if (age_ms > FOLLOWER_CONTACT_AGE_MAX_MS) {
        return 0;
    }
    if (age_ms + FOLLOWER_POLL_HOLD_MS > FOLLOWER_CONTACT_AGE_MAX_MS) {
        return (uint32_t)(FOLLOWER_CONTACT_AGE_MAX_MS + 1 - age_ms);
    }
    return FOLLOWER_POLL_HOLD_MS;
}

void
follower_host_failed(follower_t *following, const char *host, int64_t now_us)
{
    watcher_failure_t *failure =
        &following
             ->failed[following->failure_count % FOLLOWER_FAILED_HOSTS_MAX];

    following->failure_count++;
    failure->name_hash = hash_name(host, 0);
    failure->skip_until_us = now_us + (int64_t)FAILED_HOST_SKIP_MS * US_PER_MS;
    following->must_watch_store = true;
}

void
follower_store_called(follower_t *following)
{
    following->must_watch_store = false;
}

bool
follower_fleet_is_small(size_t hosts)
{
    return hosts <= ALL_WATCH_HOSTS_MAX;
}

/* The watchers of a zone are the WATCHERS_PER_ZONE hosts with the highest
 * hashes. */
static bool
is_watcher(const watcher_candidate_t *hosts, size_t count,
           const watcher_candidate_t *host)
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
failed_recently(const follower_t *following, const char *name, int64_t now_us)
{
    size_t i;

    for (i = 0; i < FOLLOWER_FAILED_HOSTS_MAX; i++) {
        if (now_us < following->failed[i].skip_until_us &&
            following->failed[i].name_hash == hash_name(name, 0)) {
            return true;
        }
    }
    return false;
}
