/* following.c - see following.h. */
#include <string.h>

#include <xxhash.h>

#include "forward/following.h"

enum {
    /* So few watches cost less than the messages that would spare them. */
    ALL_WATCH = 8,
    /* One may fail, and the other is there at once. */
    WATCHERS_A_ZONE = 2,
};

static bool is_watcher(const follow_host_t *hosts, size_t count,
                       const follow_host_t *host);
static uint64_t weight(const char *name, uint64_t seed);

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
        bool near = strcmp(host->zone, self->zone) == 0;
        uint64_t host_weight = weight(host->name, seed);

        if (host->failed || strcmp(host->name, self->name) == 0 ||
            !is_watcher(hosts, count, host)) {
            continue;
        }
        if (best == NULL || (near && !best_near) ||
            (near == best_near && host_weight > best_weight)) {
            best = host;
            best_near = near;
            best_weight = host_weight;
        }
    }
    return best;
}

/* The highest weights of its zone watch. */
static bool
is_watcher(const follow_host_t *hosts, size_t count, const follow_host_t *host)
{
    uint64_t own = weight(host->name, 0);
    size_t before = 0;
    size_t i;

    for (i = 0; i < count; i++) {
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
