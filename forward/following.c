/* following.c - see following.h. */
#include <string.h>

#include <xxhash.h>

#include "forward/following.h"

enum {
    /* So few watches cost less than the messages that would spare them. */
    ALL_WATCH = 8,
    /* One may fail, and the other is there at once. */
    WATCHERS_A_ZONE = 2,
    /* A host that failed is not asked for so long: most faults are over
     * then. */
    FAILED_MS = 10000,
    US_PER_MS = 1000,
};

static bool is_watcher(const follow_host_t *hosts, size_t count,
                       const follow_host_t *host);
static uint64_t weight(const char *name, uint64_t seed);
static bool has_failed(const following_t *following, const char *name,
                       int64_t now_us);

bool
following_watches(const follow_host_t *hosts, size_t count,
                  const follow_host_t *self)
{
    return count <= ALL_WATCH || is_watcher(hosts, count, self);
}

/* Of its own zone where one answers; spread evenly over the watchers. */
const follow_host_t *
following_choose(const follow_host_t *hosts, size_t count,
                 const follow_host_t *self)
{
    uint64_t seed = weight(self->name, 0);
    const follow_host_t *best = NULL;
    bool best_near = false;
    uint64_t best_weight = 0;
    size_t i;

    for (i = 0; i < count; i++) {
        const follow_host_t *host = &hosts[i];
        bool near;
        uint64_t host_weight;

        if (host->failed || strcmp(host->name, self->name) == 0 ||
            !is_watcher(hosts, count, host)) {
            continue;
        }
        near = strcmp(host->zone, self->zone) == 0;
        host_weight = weight(host->name, seed);
        if (best == NULL || (near && !best_near) ||
            (near == best_near && host_weight > best_weight)) {
            best = host;
            best_near = near;
            best_weight = host_weight;
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

    if (following->alone || self == NULL ||
        following_watches(hosts, count, self)) {
        return NULL;
    }
    for (i = 0; i < count; i++) {
        hosts[i].failed = has_failed(following, hosts[i].name, now_us);
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
    follow_failure_t *failed =
        &following->failed[following->failed_next % FOLLOWING_FAILED_HOSTS];

    following->failed_next++;
    failed->name_hash = weight(host, 0);
    failed->until_us = now_us + (int64_t)FAILED_MS * US_PER_MS;
    following->alone = true;
}

void
following_asked_store(following_t *following)
{
    following->alone = false;
}

bool
following_starts(size_t hosts)
{
    return hosts <= ALL_WATCH;
}

/* The highest weights of its zone watch: two higher ones end the search. */
static bool
is_watcher(const follow_host_t *hosts, size_t count, const follow_host_t *host)
{
    uint64_t own = weight(host->name, 0);
    size_t before = 0;
    size_t i;

    for (i = 0; i < count && before < WATCHERS_A_ZONE; i++) {
        if (strcmp(hosts[i].zone, host->zone) == 0 &&
            weight(hosts[i].name, 0) > own) {
            before++;
        }
    }
    return before < WATCHERS_A_ZONE;
}

static uint64_t
weight(const char *name, uint64_t seed)
{
    return XXH3_64bits_withSeed(name, strlen(name), seed);
}

static bool
has_failed(const following_t *following, const char *name, int64_t now_us)
{
    size_t i;

    for (i = 0; i < FOLLOWING_FAILED_HOSTS; i++) {
        if (now_us < following->failed[i].until_us &&
            following->failed[i].name_hash == weight(name, 0)) {
            return true;
        }
    }
    return false;
}
