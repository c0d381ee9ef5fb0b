/*
 * route_services.h - the services at which streams of a route may have begun.
 *
 * A route may lead to several services, and a routing table may take one away
 * while streams that began there are not complete.  Only routes of resumable
 * streams are looked at.  Routes and services are named by hashes:
 * route_hash(), pool_hash_service().
 */
#ifndef FORWARD_ROUTE_SERVICES_H
#define FORWARD_ROUTE_SERVICES_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "world/routing.h"

struct forward;

/* A service that a route no longer sends new streams to. */
typedef struct {
    uint64_t pair; /* hash of route and service */
    uint64_t route;
    char *service;
    int64_t until_us; /* streams that began there may be taken up */
    UT_hash_handle hh;
} former_service_t;

/* Returns whether callers may take up streams of the route. */
bool route_is_resumable(const route_t *route);

/* Returns a hash of the route's host and prefix, which identify it to callers;
 * its name may change, and need not be there. */
uint64_t route_hash(const route_t *route);

/*
 * Keeps the services that the next table, which is about to replace the one in
 * force, takes from routes.  Streams of this host on routes that it changes
 * are written to the store, since their route alone does not tell their
 * service any more.
 */
void route_services_replace(struct forward *forward, const routing_t *next);

/* Returns the route with this hash, or NULL. */
const route_t *route_services_route(const struct forward *forward,
                                    uint64_t route);

/*
 * Returns the service at which all streams of the route have begun that
 * callers may take up; NULL: there are several, or none, or no such route.  In
 * the first minute of this host all services that the route lists count, since
 * it has not seen what their weights were.
 */
const char *route_services_only(const struct forward *forward,
                                const route_t *route);

/* Returns the name of the service if the route leads to it, or has led there
 * as far as this host knows; else NULL. */
const char *route_services_find(const struct forward *forward, uint64_t route,
                                uint64_t service);

/* The same for a stream that is known to have begun there on this route: its
 * runners may be all that is left of the service. */
const char *route_services_find_begun(const struct forward *forward,
                                      uint64_t route, uint64_t service);

/* Returns whether streams of a route may still be at the service, although new
 * ones are not sent there. */
bool route_services_is_former(const struct forward *forward,
                              const char *service);

void route_services_free(struct forward *forward);

#endif
