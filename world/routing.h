/*
 * routing.h - the operators' routing table, which maps requests to services.
 *
 * A route matches the requests for one host name whose path begins with its
 * prefix, and lists the services that handle them.  A routing_t is immutable.
 * It is decoded from a single document and replaced by the next version.
 */
#ifndef WORLD_ROUTING_H
#define WORLD_ROUTING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "base/arena.h"

typedef enum {
    REQUEST_SAFE,   /* may be executed more than once */
    REQUEST_UNSAFE, /* executed at most once */
    REQUEST_STREAM, /* answered by a stream of events; see resumable */
} request_type_t;

/* A service that receives part of the requests of a route. */
typedef struct {
    const char *service;
    uint64_t weight; /* relative to the sum over the route */
} traffic_share_t;

typedef struct {
    const char *name;
    const char *host;
    const char *prefix; /* path prefix; begins and ends with '/' */
    size_t prefix_bytes;
    request_type_t type;
    uint32_t timeout_ms;             /* 0 if there is none */
    uint32_t latency_objective_ms;   /* to the response or its first event */
    uint32_t event_gap_objective_ms; /* time between events; 0 if none */
    uint32_t attempts_max;           /* runners that may be tried */
    uint32_t priority;               /* 0 is the highest */
    bool anonymous;                  /* no key is required */
    bool resumable;                  /* another runner can continue a stream */
    traffic_share_t *shares;
    size_t share_count;
} route_t;

/* Capabilities of the model engines of a service; zero for a plain service. */
typedef struct {
    uint32_t kv_capacity_tokens; /* size of the KV cache of a runner */
    uint32_t event_tokens;       /* of an event of a stream */
    uint32_t kv_bytes_per_token; /* transferred when a KV cache is copied */
    bool kv_replication; /* copies the KV cache of a run continuously */
    bool kv_migration;   /* copies the KV cache of a run on request */
} engine_capabilities_t;

typedef struct {
    const char *name;
    const char *health_path;
    uint32_t connections_max; /* to one runner, over all hosts */
    bool engine;
    engine_capabilities_t capabilities;
} service_t;

/* The organisation that holds a key. */
typedef struct {
    const char *name;
    int32_t priority; /* overrides that of the route; -1 if not set */
} key_owner_t;

typedef struct {
    const char *key;
    const key_owner_t *owner;
    UT_hash_handle hh;
} access_key_t;

/* What a routing table says of keys. */
typedef enum {
    KEYS_UNREADABLE, /* it is not known who may send requests */
    KEYS_LISTED,     /* a request needs one of those in routing_t */
    KEYS_NOT_NEEDED,
} key_policy_t;

/* Whether a request may be served, by its key. */
typedef enum {
    KEY_ACCEPTED,
    KEY_REJECTED,  /* it is missing or unknown */
    KEY_UNDECIDED, /* the table cannot tell */
} key_verdict_t;

/* Limits for requests of callers; 0 if not configured. */
typedef struct {
    uint32_t header_bytes_max;
    uint32_t body_bytes_max;
    uint32_t header_timeout_ms;
    uint32_t idle_timeout_ms;
} caller_limits_t;

typedef struct {
    arena_t arena; /* owns all data below */
    int64_t version;
    int64_t revision; /* of the document in the store */
    route_t *routes;
    size_t route_count;
    service_t *services;
    size_t service_count;
    key_policy_t key_policy;
    access_key_t *keys;  /* hash table by key */
    size_t keys_skipped; /* that could not be read, as could their owners */
    caller_limits_t limits;
} routing_t;

void routing_free(routing_t *routing);

/*
 * Returns the matching route with the longest prefix, or NULL.  host has no
 * port.
 */
const route_t *routing_find_route(const routing_t *routing, const char *host,
                                  const char *path);

/*
 * Returns whether requests on the route need a key; NULL: those that match no
 * route.  Also if the table cannot tell.
 */
bool routing_needs_key(const routing_t *routing, const route_t *route);

/*
 * Decides on a request by its key, NULL if it has none.  Sets *owner to the
 * organisation that holds the key, or to NULL if none is needed.
 */
key_verdict_t routing_check_key(const routing_t *routing, const route_t *route,
                                const char *key, const key_owner_t **owner);

/* Returns the name of the policy in logs and metrics, such as "listed". */
const char *key_policy_name(key_policy_t policy);

/* Returns the service with this name, or NULL. */
const service_t *routing_find_service(const routing_t *routing,
                                      const char *name);

/* Returns whether route_choose_service() may choose the share. */
bool route_share_is_drawn(const route_t *route, size_t share);

/*
 * Chooses a service of the route with a probability proportional to its
 * weight.  random_value is uniformly distributed over 64 bits.  Returns NULL
 * if no service has a weight above 0.
 */
const char *route_choose_service(const route_t *route, uint64_t random_value);

#endif
