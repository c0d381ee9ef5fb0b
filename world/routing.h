/*
 * routing.h - the operators' routing table: which requests go where.
 *
 * A route names the requests of one host name whose path begins with its
 * prefix, and the services that answer them.  A routing_t is read whole
 * from one document, never changed, and replaced by the next version.
 */
#ifndef WORLD_ROUTING_H
#define WORLD_ROUTING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "base/arena.h"

typedef enum {
    REQUEST_SAFE,   /* may run more than once */
    REQUEST_UNSAFE, /* runs at most once */
    REQUEST_STREAM, /* a series of events; see route_t.resumable */
} request_type_t;

/* A share of a route's requests. */
typedef struct {
    const char *service;
    uint32_t weight; /* against the sum of the route's weights */
} share_t;

typedef struct {
    const char *name;
    const char *host;
    const char *prefix; /* begins and ends with a slash */
    size_t prefix_bytes;
    request_type_t type;
    uint32_t timeout_ms;       /* 0: none */
    uint32_t objective_ms;     /* to the answer, or to its first event */
    uint32_t gap_objective_ms; /* streams: between events; 0: none */
    uint32_t attempts_max;     /* runners that one request may run on */
    uint32_t priority;         /* 0 goes first */
    bool anonymous;            /* needs no key */
    bool resumable;            /* a stream may go on at another runner */
    share_t *shares;
    size_t share_count;
} route_t;

/* What the model engines of a service can do; zero for a plain service. */
typedef struct {
    uint32_t kv_tokens;          /* memory of one runner */
    uint32_t kv_bytes_per_token; /* in transfers */
    bool backups;                /* copies a run's memory as it grows */
    bool moves;                  /* copies it on order */
} engine_traits_t;

typedef struct {
    const char *name;
    const char *health_path;
    uint32_t connections_max; /* a runner accepts, of all hosts together */
    bool engine;
    engine_traits_t traits;
} service_t;

/* The organisation that holds a key. */
typedef struct {
    const char *name;
    int32_t priority; /* instead of the route's; -1: none */
} key_owner_t;

typedef struct {
    const char *key;
    const key_owner_t *owner;
    UT_hash_handle hh;
} access_key_t;

/* What callers may send; 0: not stated. */
typedef struct {
    uint32_t header_bytes_max;
    uint32_t body_bytes_max;
    uint32_t header_timeout_ms;
    uint32_t idle_timeout_ms;
} caller_limits_t;

typedef struct {
    arena_t arena; /* of all below */
    int64_t version;
    int64_t revision; /* of its key in the store */
    route_t *routes;
    size_t route_count;
    service_t *services;
    size_t service_count;
    key_owner_t *owners;
    size_t owner_count;
    access_key_t *keys; /* by key */
    caller_limits_t limits;
} routing_t;

void routing_free(routing_t *routing);

/* The route with the longest prefix, or NULL; host without its port. */
const route_t *routing_match(const routing_t *routing, const char *host,
                             const char *path);

/* Whose key it is, or NULL. */
const key_owner_t *routing_owner(const routing_t *routing, const char *key);

const service_t *routing_service(const routing_t *routing, const char *name);

/* One of the route's services by weight; chance is any random number. */
const char *route_pick(const route_t *route, uint64_t chance);

#endif
