/*
 * follower.c - selects the hosts that watch the store; see follower.h.
 */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "forward/follower.h"

enum {
    /* Up to this many watches cost less than the polls that would replace
     * them. */
    ALL_WATCH_HOSTS_MAX = 8,
    /* When one fails, another is available immediately. */
    WATCHERS_MIN = 3,
    /* A watcher on a slow link sends a large change to so many in time. */
    HOSTS_PER_WATCHER = 60,
    WATCHERS_MAX = 64,
    ZONES_MAX = 32, /* hosts of further zones are no watchers */
    /* A failed host is not polled for this time; most faults are over by
     * then. */
    FAILED_HOST_SKIP_MS = 10000,
    /* Longest delay between attempts to reach the store: changes must be in
     * force within one or two seconds after it is available again. */
    RETRY_MAX_MS = 500,
    FOLLOWER_RETRY_MAX_MS = 2500,
    /* From the reply of a watcher whose contact is as old as possible until
     * the next one. */
    CONFIRM_SLACK_MS = 200,
    US_PER_MS = 1000,
};

/* A zone while its watchers are being selected. */
typedef struct {
    const char *name;
    uint64_t hash;
} zone_t;

static size_t select_watchers(const watcher_candidate_t *hosts, size_t count,
                              const watcher_candidate_t **watchers);
static size_t list_zones(const watcher_candidate_t *hosts, size_t count,
                         zone_t *zones);
static const watcher_candidate_t *
next_watcher(const watcher_candidate_t *hosts, size_t count, const char *zone,
             const watcher_candidate_t *previous);
static int compare_zones(const void *left, const void *right);
static uint64_t hash_name(const char *name, uint64_t seed);
static void mark_failed(const follower_t *following,
                        watcher_candidate_t *hosts, size_t count,
                        int64_t now_us);
static bool failed_recently(const follower_t *following, const char *name,
                            int64_t now_us);

bool
follower_is_watcher(const watcher_candidate_t *hosts, size_t count,
                    const watcher_candidate_t *self)
{
    const watcher_candidate_t *watchers[WATCHERS_MAX];
    size_t watcher_count;
    size_t i;

    if (count <= ALL_WATCH_HOSTS_MAX) {
        return true;
    }
    watcher_count = select_watchers(hosts, count, watchers);
    for (i = 0; i < watcher_count; i++) {
        if (strcmp(watchers[i]->name, self->name) == 0) {
            return true;
        }
    }
    return false;
}

/*
 * Prefers a watcher of its own zone.  Rendezvous hashing spreads the followers
 * evenly over the watchers.
 */
const watcher_candidate_t *
follower_choose_watcher(const watcher_candidate_t *hosts, size_t count,
                        const watcher_candidate_t *self)
{
    const watcher_candidate_t *watchers[WATCHERS_MAX];
    size_t watcher_count = select_watchers(hosts, count, watchers);
    uint64_t seed = hash_name(self->name, 0);
    const watcher_candidate_t *best = NULL;
    bool best_same_zone = false;
    uint64_t best_hash = 0;
    size_t i;

    for (i = 0; i < watcher_count; i++) {
        const watcher_candidate_t *host = watchers[i];
        bool same_zone;
        uint64_t host_hash;

        if (host->failed || strcmp(host->name, self->name) == 0) {
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
    if (following->must_watch_store || self == NULL ||
        follower_is_watcher(hosts, count, self)) {
        return NULL;
    }
    return follower_substitute(following, hosts, count, self, now_us);
}

bool
follower_contact_is_fresh(int64_t contact_age_us, uint32_t age_max_ms)
{
    return contact_age_us <= (int64_t)age_max_ms * US_PER_MS;
}

uint32_t
follower_poll_hold_ms(int64_t contact_age_us, uint32_t age_max_ms)
{
    int64_t age_ms = contact_age_us / US_PER_MS;

    if (age_ms > age_max_ms) {
        return 0;
    }
    if (age_ms + FOLLOWER_POLL_HOLD_MS > age_max_ms) {
        return (uint32_t)(age_max_ms + 1 - age_ms);
    }
    return FOLLOWER_POLL_HOLD_MS;
}

uint32_t
follower_contact_age_max_ms(uint32_t confirm_ms)
{
    if (confirm_ms == 0 ||
        confirm_ms > FOLLOWER_CONTACT_AGE_MAX_MS + CONFIRM_SLACK_MS) {
        return FOLLOWER_CONTACT_AGE_MAX_MS;
    }
    return confirm_ms > CONFIRM_SLACK_MS ? confirm_ms - CONFIRM_SLACK_MS
                                         : confirm_ms;
}

const char *
follower_substitute(const follower_t *following, watcher_candidate_t *hosts,
                    size_t count, const watcher_candidate_t *self,
                    int64_t now_us)
{
    const watcher_candidate_t *chosen;

    if (self == NULL) {
        return NULL;
    }
    mark_failed(following, hosts, count, now_us);
    chosen = follower_choose_watcher(hosts, count, self);
    return chosen != NULL ? chosen->name : NULL;
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
    follower_ask_store(following);
}

void
follower_ask_store(follower_t *following)
{
    following->must_watch_store = true;
}

void
follower_store_called(follower_t *following)
{
    following->must_watch_store = false;
}

void
follower_store_regained(follower_t *following)
{
    memset(following->failed, 0, sizeof(following->failed));
}

uint32_t
follower_retry_max_ms(size_t hosts, bool is_watcher)
{
    size_t retry_ms = RETRY_MAX_MS;

    if (!is_watcher && hosts > HOSTS_PER_WATCHER) {
        retry_ms = RETRY_MAX_MS * hosts / HOSTS_PER_WATCHER;
    }
    return retry_ms < FOLLOWER_RETRY_MAX_MS ? (uint32_t)retry_ms
                                            : FOLLOWER_RETRY_MAX_MS;
}

bool
follower_fleet_is_small(size_t hosts)
{
    return hosts <= ALL_WATCH_HOSTS_MAX;
}

/* The watchers of a zone are its hosts with the highest hashes.  If there are
 * more zones than watchers, those with the highest hashes have one. */
static size_t
select_watchers(const watcher_candidate_t *hosts, size_t count,
                const watcher_candidate_t **watchers)
{
    zone_t zones[ZONES_MAX];
    size_t zone_count = list_zones(hosts, count, zones);
    size_t wanted = (count + HOSTS_PER_WATCHER - 1) / HOSTS_PER_WATCHER;
    size_t selected = 0;
    size_t per_zone;
    size_t i;

    if (wanted < WATCHERS_MIN) {
        wanted = WATCHERS_MIN;
    }
    if (zone_count > wanted) {
        zone_count = wanted;
    }
    per_zone = zone_count > 0 ? (wanted + zone_count - 1) / zone_count : 0;
    for (i = 0; i < zone_count; i++) {
        const watcher_candidate_t *host = NULL;
        size_t j;

        for (j = 0; j < per_zone && selected < WATCHERS_MAX; j++) {
            host = next_watcher(hosts, count, zones[i].name, host);
            if (host == NULL) {
                break;
            }
            watchers[selected] = host;
            selected++;
        }
    }
    return selected;
}

/* Lists the zones with the highest hashes first. */
static size_t
list_zones(const watcher_candidate_t *hosts, size_t count, zone_t *zones)
{
    size_t zone_count = 0;
    size_t i;
    size_t j;

    for (i = 0; i < count; i++) {
        for (j = 0;
             j < zone_count && strcmp(zones[j].name, hosts[i].zone) != 0;
             j++) {
        }
        if (j == zone_count && zone_count < ZONES_MAX) {
            zones[zone_count] = (zone_t){.name = hosts[i].zone,
                                         .hash = hash_name(hosts[i].zone, 0)};
            zone_count++;
        }
    }
    qsort(zones, zone_count, sizeof(zones[0]), compare_zones);
    return zone_count;
}

/* Returns the host of the zone with the next lower hash; NULL: none. */
static const watcher_candidate_t *
next_watcher(const watcher_candidate_t *hosts, size_t count, const char *zone,
             const watcher_candidate_t *previous)
{
    uint64_t limit = previous != NULL ? hash_name(previous->name, 0) : 0;
    const watcher_candidate_t *best = NULL;
    uint64_t best_hash = 0;
    size_t i;

    for (i = 0; i < count; i++) {
        uint64_t hash;

        if (strcmp(hosts[i].zone, zone) != 0) {
            continue;
        }
        hash = hash_name(hosts[i].name, 0);
        if ((previous == NULL || hash < limit) &&
            (best == NULL || hash > best_hash)) {
            best = &hosts[i];
            best_hash = hash;
        }
    }
    return best;
}

static int
compare_zones(const void *left, const void *right)
{
    const zone_t *a = left;
    const zone_t *b = right;

    if (a->hash != b->hash) {
        return a->hash > b->hash ? -1 : 1;
    }
    return strcmp(a->name, b->name);
}

static uint64_t
hash_name(const char *name, uint64_t seed)
{
    return XXH3_64bits_withSeed(name, strlen(name), seed);
}

static void
mark_failed(const follower_t *following, watcher_candidate_t *hosts,
            size_t count, int64_t now_us)
{
    size_t i;

    for (i = 0; i < count; i++) {
        hosts[i].failed = failed_recently(following, hosts[i].name, now_us);
    }
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
