/* routing.c - lookups in the operators' routing table. */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "world/routing.h"

void
routing_free(routing_t *routing)
{
    arena_t arena;

    if (routing == NULL) {
        return;
    }
    HASH_CLEAR(hh, routing->keys);
    arena = routing->arena;
    arena_free(&arena);
    free(routing);
}

const route_t *
routing_find_route(const routing_t *routing, const char *host,
                   const char *path)
{
    const route_t *best = NULL;
    size_t i;

    for (i = 0; i < routing->route_count; i++) {
        const route_t *route = &routing->routes[i];

        if ((best == NULL || route->prefix_bytes > best->prefix_bytes) &&
            strncmp(path, route->prefix, route->prefix_bytes) == 0 &&
            strcasecmp(host, route->host) == 0) {
            best = route;
        }
    }
    return best;
}

bool
routing_needs_key(const routing_t *routing, const route_t *route)
{
    return routing->key_policy != KEYS_NOT_NEEDED &&
           (route == NULL || !route->anonymous);
}

key_verdict_t
routing_check_key(const routing_t *routing, const route_t *route,
                  const char *key, const key_owner_t **owner)
{
    const access_key_t *found = NULL;

    *owner = NULL;
    if (!routing_needs_key(routing, route)) {
        return KEY_ACCEPTED;
    }
    if (routing->key_policy == KEYS_UNREADABLE) {
        return KEY_UNDECIDED;
    }
    if (key != NULL) {
        HASH_FIND_STR(routing->keys, key, found);
    }
    if (found == NULL) {
        return KEY_REJECTED;
    }
    *owner = found->owner;
    return KEY_ACCEPTED;
}

const char *
key_policy_name(key_policy_t policy)
{
    static const char *const names[] = {
        [KEYS_UNREADABLE] = "unreadable",
        [KEYS_LISTED] = "listed",
        [KEYS_NOT_NEEDED] = "not-needed",
    };

    return names[policy];
}

const service_t *
routing_find_service(const routing_t *routing, const char *name)
{
    size_t i;

    for (i = 0; i < routing->service_count; i++) {
        if (strcmp(routing->services[i].name, name) == 0) {
            return &routing->services[i];
        }
    }
    return NULL;
}

bool
route_share_is_drawn(const route_t *route, size_t share)
{
    return route->shares[share].weight > 0;
}

const char *
route_choose_service(const route_t *route, uint64_t random_value)
{
    uint64_t total = 0;
    size_t i;

    for (i = 0; i < route->share_count; i++) {
        total += route->shares[i].weight;
    }
    if (total == 0) {
        return NULL;
    }
    random_value %= total;
    for (i = 0; random_value >= route->shares[i].weight; i++) {
        random_value -= route->shares[i].weight;
    }
    return route->shares[i].service;
}
