/*
 * route_services.c - see route_services.h.
 *
 * What two services write fits together no better than what two versions of
 * one do, so a caller that takes up a stream gets it from the service that
 * began it, or not at all.
 */
#include <ctype.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include <xxhash.h>

#include "forward/private.h"

enum {
    /* If there are more, streams that nobody knows are uncertain. */
    FORMER_SERVICES_MAX = 1024,
    HOST_BYTES_MAX = 255, /* of a DNS name */
};

/* A service that gets new streams of a route. */
typedef struct {
    uint64_t hash; /* of route and service */
    uint64_t route;
    const char *service;
} pair_t;

/* All of a table, sorted by hash. */
typedef struct {
    pair_t *items;
    size_t count;
    bool split; /* a route has several services */
} pair_set_t;

static uint64_t hash_pair(uint64_t route, uint64_t service);
static pair_set_t list_pairs(const routing_t *routing);
static bool contains_pair(const pair_set_t *set, const pair_t *pair);
static void add_former(forward_t *forward, const pair_t *pair);
static void remove_former(forward_t *forward, former_service_t *former);

bool
route_is_resumable(const route_t *route)
{
    return route->type == REQUEST_STREAM && route->resumable;
}

uint64_t
route_hash(const route_t *route)
{
    char host[HOST_BYTES_MAX];
    size_t i;

    for (i = 0; i < sizeof(host) && route->host[i] != '\0'; i++) {
        host[i] = (char)tolower((unsigned char)route->host[i]);
    }
    return XXH3_64bits_withSeed(route->prefix, strlen(route->prefix),
                                XXH3_64bits(host, i));
}

/* Streams that have begun at the only service of a route, which is not the
 * only one any more, are now recorded in the store. */
void
route_services_replace(forward_t *forward, const routing_t *next)
{
    pair_set_t before = list_pairs(forward->routing);
    pair_set_t after = list_pairs(next);
    uint64_t *changed =
        xcalloc(before.count + after.count + 1, sizeof(*changed));
    former_service_t *former;
    size_t count = 0;
    size_t i;

    for (i = 0; i < before.count; i++) {
        if (!contains_pair(&after, &before.items[i])) {
            add_former(forward, &before.items[i]);
            changed[count] = before.items[i].route;
            count++;
        }
    }
    for (i = 0; i < after.count; i++) {
        const pair_t *pair = &after.items[i];

        HASH_FIND(hh, forward->former_services, &pair->hash,
                  sizeof(pair->hash), former);
        if (former != NULL) {
            remove_former(forward, former);
        }
        if (forward->routing != NULL && !contains_pair(&before, pair)) {
            changed[count] = pair->route;
            count++;
        }
    }
    forward->routes_split = after.split;
    versions_split_routes(forward, changed, count);
    free(changed);
    free(before.items);
    free(after.items);
}

const route_t *
route_services_route(const forward_t *forward, uint64_t route)
{
    const routing_t *routing = forward->routing;
    size_t i;

    for (i = 0; routing != NULL && i < routing->route_count; i++) {
        if (route_is_resumable(&routing->routes[i]) &&
            route_hash(&routing->routes[i]) == route) {
            return &routing->routes[i];
        }
    }
    return NULL;
}

const char *
route_services_only(const forward_t *forward, const route_t *route)
{
    /* This host may not have seen that a weight became 0. */
    bool started = forward->now_us - forward->started_us < STREAM_TTL_US;
    const former_service_t *former;
    const char *only = NULL;
    uint64_t id;
    size_t i;

    if (route == NULL || forward->now_us < forward->former_lost_until_us) {
        return NULL;
    }
    id = route_hash(route);
    for (i = 0; i < route->share_count; i++) {
        if (!started && !route_share_is_drawn(route, i)) {
            continue;
        }
        if (only != NULL && strcmp(only, route->shares[i].service) != 0) {
            return NULL;
        }
        only = route->shares[i].service;
    }
    for (former = forward->former_services; former != NULL;
         former = former->hh.next) {
        if (former->route == id && forward->now_us < former->until_us) {
            return NULL;
        }
    }
    return only;
}

const char *
route_services_find(const forward_t *forward, uint64_t route_id,
                    uint64_t service)
{
    const route_t *route = route_services_route(forward, route_id);
    const former_service_t *former;
    uint64_t hash = hash_pair(route_id, service);
    size_t i;

    for (i = 0; route != NULL && i < route->share_count; i++) {
        if (pool_hash_service(route->shares[i].service) == service) {
            return route->shares[i].service;
        }
    }
    HASH_FIND(hh, forward->former_services, &hash, sizeof(hash), former);
    return former != NULL ? former->service : NULL;
}

const char *
route_services_find_begun(const forward_t *forward, uint64_t route,
                          uint64_t service)
{
    const char *name = route_services_find(forward, route, service);

    return name != NULL ? name : pool_find_service(forward->pool, service);
}

bool
route_services_is_former(const forward_t *forward, const char *service)
{
    const former_service_t *former;

    for (former = forward->former_services; former != NULL;
         former = former->hh.next) {
        if (forward->now_us < former->until_us &&
            strcmp(former->service, service) == 0) {
            return true;
        }
    }
    return false;
}

void
route_services_free(forward_t *forward)
{
    former_service_t *former;
    former_service_t *next;

    HASH_ITER(hh, forward->former_services, former, next)
    {
        remove_former(forward, former);
    }
}

static uint64_t
hash_pair(uint64_t route, uint64_t service)
{
    return XXH3_64bits_withSeed(&service, sizeof(service), route);
}

static int
compare_pairs(const void *left, const void *right)
{
    const pair_t *a = left;
    const pair_t *b = right;

    return a->hash < b->hash ? -1 : a->hash > b->hash;
}

static pair_set_t
list_pairs(const routing_t *routing)
{
    pair_set_t set = {0};
    size_t size = 0;
    size_t i;
    size_t j;

    for (i = 0; routing != NULL && i < routing->route_count; i++) {
        size += route_is_resumable(&routing->routes[i])
                    ? routing->routes[i].share_count
                    : 0;
    }
    set.items = xcalloc(size + 1, sizeof(*set.items));
    for (i = 0; routing != NULL && i < routing->route_count; i++) {
        const route_t *route = &routing->routes[i];
        size_t first = set.count;
        uint64_t id;

        if (!route_is_resumable(route)) {
            continue;
        }
        id = route_hash(route);
        for (j = 0; j < route->share_count; j++) {
            const char *service = route->shares[j].service;

            if (route_share_is_drawn(route, j)) {
                set.items[set.count] =
                    (pair_t){.hash = hash_pair(id, pool_hash_service(service)),
                             .route = id,
                             .service = service};
                set.count++;
            }
        }
        set.split = set.split || set.count - first > 1;
    }
    qsort(set.items, set.count, sizeof(*set.items), compare_pairs);
    return set;
}

static bool
contains_pair(const pair_set_t *set, const pair_t *pair)
{
    return bsearch(pair, set->items, set->count, sizeof(*set->items),
                   compare_pairs) != NULL;
}

static void
add_former(forward_t *forward, const pair_t *pair)
{
    former_service_t *former;

    HASH_FIND(hh, forward->former_services, &pair->hash, sizeof(pair->hash),
              former);
    if (former != NULL) {
        remove_former(forward, former);
    }
    if (HASH_COUNT(forward->former_services) >= FORMER_SERVICES_MAX) {
        if (forward->former_services->until_us >
            forward->former_lost_until_us) {
            forward->former_lost_until_us = forward->former_services->until_us;
        }
        remove_former(forward, forward->former_services);
    }
    former = xcalloc(1, sizeof(*former));
    former->pair = pair->hash;
    former->route = pair->route;
    former->service = xstrdup(pair->service);
    former->until_us = forward->now_us + STREAM_TTL_US;
    HASH_ADD(hh, forward->former_services, pair, sizeof(former->pair), former);
    emit_log(forward, LOG_INFO, "service-left",
             "route=%016" PRIx64 " service=%s", pair->route, pair->service);
}

static void
remove_former(forward_t *forward, former_service_t *former)
{
    HASH_DEL(forward->former_services, former); /* NOLINT(clang-analyzer-*) */
    free(former->service);
    free(former);
}
