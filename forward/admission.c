/* admission.c - admits new requests, or refuses them. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include <xxhash.h>

#include "base/random.h"
#include "forward/private.h"

enum {
    /* Part of settings.limits.revoke_ms that is reserved for the network and
     * the runner's queue. */
    REVOKE_MARGIN_MS = 300,
    ATTEMPTS_DEFAULT = 1,
    HOST_NAME_BYTES = 256,
};

static void admit(forward_t *forward, request_t *request,
                  const forward_request_t *incoming);
static void log_taken_up(forward_t *forward, const request_t *request,
                         version_answer_t answer);
static bool outlives_drain(const forward_t *forward, const request_t *request);
static bool routing_is_stale(const forward_t *forward, const route_t *route);
static const route_t *match_route(const forward_t *forward,
                                  const forward_request_t *incoming);
static request_t *request_new(forward_t *forward,
                              const forward_request_t *incoming);
static void apply_route(forward_t *forward, request_t *request,
                        const route_t *route,
                        const forward_request_t *incoming);
static const char *choose_service(forward_t *forward, request_t *request,
                                  const route_t *route,
                                  const forward_request_t *incoming);
static bool is_drawn(const route_t *route, const char *service);

void
admit_request(forward_t *forward, const forward_request_t *incoming)
{
    admit(forward, request_new(forward, incoming), incoming);
}

void
admit_held_request(forward_t *forward, request_t *request)
{
    const forward_request_t *incoming = request->held;

    request->held = NULL;
    request->retry_at_us = 0;
    admit(forward, request, incoming);
}

static void
admit(forward_t *forward, request_t *request,
      const forward_request_t *incoming)
{
    const route_t *route;
    const key_owner_t *owner;
    key_verdict_t verdict;

    if (forward->routing == NULL) {
        refuse_request(forward, request, REFUSE_NO_ROUTING);
        return;
    }
    if (forward->settings.limits.requests_max > 0 &&
        HASH_COUNT(forward->requests) >
            forward->settings.limits.requests_max) {
        refuse_request(forward, request, REFUSE_HOST_FULL);
        return;
    }
    if (view_holds_request(forward, request) ||
        view_holds_relay(forward, request, incoming->grant.routing_version)) {
        view_hold_admission(forward, request, incoming);
        return;
    }
    if (incoming->grant.routing_version > forward->routing->version) {
        refuse_request(forward, request, REFUSE_ROUTING_STALE);
        return;
    }
    route = match_route(forward, incoming);
    if (route != NULL) {
        apply_route(forward, request, route, incoming);
        if (request->relayed) {
            grant_accept(forward, request, &incoming->grant);
        }
        if (!request->relayed && request->service != NULL) {
            retry_budget_add_request(
                service_retry_budget(forward, request->service),
                forward->now_us);
        }
    }
    if (routing_is_stale(forward, route)) {
        refuse_request(forward, request, REFUSE_ROUTING_STALE);
        return;
    }
    if (route == NULL) {
        refuse_request(forward, request, REFUSE_NO_ROUTE);
        return;
    }
    verdict =
        routing_check_key(forward->routing, route, incoming->key, &owner);
    if (verdict != KEY_ACCEPTED) {
        refuse_request(forward, request,
                       verdict == KEY_REJECTED ? REFUSE_NO_KEY
                                               : REFUSE_KEYS_UNREADABLE);
        return;
    }
    if (owner != NULL) {
        request->organisation = arena_strdup(&request->arena, owner->name);
    }
    if (outlives_drain(forward, request)) {
        refuse_request(forward, request, REFUSE_DRAINING);
        return;
    }
    if (request->service == NULL) {
        refuse_request(forward, request, REFUSE_NO_RUNNER);
        return;
    }
    admit_with_version(forward, request);
}

void
admit_with_version(forward_t *forward, request_t *request)
{
    version_answer_t answer = versions_find(forward, request);

    request->awaits_version = answer == VERSION_AWAITED;
    request->retry_at_us = 0;
    if (request->last_event_id >= 0) {
        log_taken_up(forward, request, answer);
    }
    if (answer == VERSION_AWAITED) {
        request->retry_at_us = view_version_due_us(request);
        return;
    }
    if (answer == VERSION_UNKNOWN) {
        refuse_request(forward, request, REFUSE_NO_VERSION);
        return;
    }
    suspicion_add_request(forward, request);
    if (!suspicion_allows(forward, request)) {
        return;
    }
    if (!send_request(forward, request)) {
        refuse_request(forward, request, REFUSE_NO_RUNNER);
    }
}

static void
log_taken_up(forward_t *forward, const request_t *request,
             version_answer_t answer)
{
    static const char *const answers[] = {[VERSION_FOUND] = "yes",
                                          [VERSION_AWAITED] = "awaited",
                                          [VERSION_UNKNOWN] = "no"};

    emit_log(forward, LOG_INFO, "taken-up",
             "request=%s stream=%016" PRIx64 " after=%" PRId64
             " known=%s service=%s version=%016" PRIx64 " split=%d",
             request->id, request->stream, request->last_event_id,
             answers[answer],
             request->service_unknown ? "unknown" : request->service,
             request->version, request->split);
}

/* A runner may take all the time that a request has. */
static bool
outlives_drain(const forward_t *forward, const request_t *request)
{
    return forward->draining_since_us > 0 &&
           request->deadline_us >
               forward->draining_since_us +
                   (int64_t)forward->settings.limits.serve_ms * US_PER_MS;
}

/* Callers that are told so may ask another host at once. */
void
admission_stop(forward_t *forward)
{
    request_t *request;
    request_t *next;

    HASH_ITER(hh, forward->requests, request, next)
    {
        refuse_request(forward, request, REFUSE_DRAINING);
    }
}

/*
 * Returns whether the last contact with the store is too old.  A key may have
 * been revoked since.  The same limit applies to an unknown path, since a
 * route for it may have been added.
 */
static bool
routing_is_stale(const forward_t *forward, const route_t *route)
{
    uint32_t revoke_ms = forward->settings.limits.revoke_ms;

    if (revoke_ms == 0 || !routing_needs_key(forward->routing, route)) {
        return false;
    }
    return forward->now_us - forward->contact_us >=
           (int64_t)(revoke_ms - REVOKE_MARGIN_MS) * US_PER_MS;
}

static const route_t *
match_route(const forward_t *forward, const forward_request_t *incoming)
{
    char host[HOST_NAME_BYTES];
    size_t length = strcspn(incoming->host, ":");

    if (length >= sizeof(host)) {
        return NULL;
    }
    memcpy(host, incoming->host, length);
    host[length] = '\0';
    return routing_find_route(forward->routing, host, incoming->path);
}

static uint64_t
hash_stream(const forward_request_t *incoming)
{
    const char *id =
        incoming->last_event_id >= 0 && incoming->resumed_id != NULL
            ? incoming->resumed_id
            : incoming->id;

    return XXH3_64bits(id, strlen(id));
}

static request_t *
request_new(forward_t *forward, const forward_request_t *incoming)
{
    request_t *request = xcalloc(1, sizeof(*request));
    uint32_t i;

    request->number = incoming->number;
    request->id = arena_strdup(&request->arena, incoming->id);
    request->prompt_tokens = incoming->prompt_tokens;
    request->affinity = incoming->affinity;
    request->last_event_id = incoming->last_event_id;
    request->relayed = incoming->relayed;
    request->stream = hash_stream(incoming);
    request->fingerprint = incoming->fingerprint;
    request->part_count = incoming->part_count < FORWARD_PARTS_MAX
                              ? incoming->part_count
                              : FORWARD_PARTS_MAX;
    request->parts = arena_array(&request->arena, request->part_count + 1,
                                 sizeof(*request->parts));
    request->common_parts =
        arena_array(&request->arena, request->part_count + 1,
                    sizeof(*request->common_parts));
    for (i = 0; i < request->part_count; i++) {
        request->common_parts[i] = incoming->parts[i];
    }
    request->arrived_us = forward->now_us;
    HASH_ADD(hh, forward->requests, number, sizeof(request->number), request);
    return request;
}

static void
apply_route(forward_t *forward, request_t *request, const route_t *route,
            const forward_request_t *incoming)
{
    uint32_t limit_ms = route->timeout_ms;
    const char *name;

    if (incoming->deadline_ms > 0 &&
        (limit_ms == 0 || incoming->deadline_ms < limit_ms)) {
        limit_ms = incoming->deadline_ms;
    }
    request->deadline_us =
        limit_ms == 0 ? INT64_MAX
                      : request->arrived_us + (int64_t)limit_ms * US_PER_MS;
    request->route = route_hash(route);
    request->type = route->type;
    request->resumable = route->resumable;
    request->attempts_max =
        route->attempts_max > 0 ? route->attempts_max : ATTEMPTS_DEFAULT;
    request->latency_objective_ms = route->latency_objective_ms;
    name = choose_service(forward, request, route, incoming);
    if (name != NULL) {
        request_set_service(forward, request, name);
    }
}

/*
 * A stream that a caller takes up goes on at its own service.  Other requests
 * are sent to the one that the host that relays them has drawn, as long as
 * this host's table has it.  Returns NULL if the route has no service for it.
 */
static const char *
choose_service(forward_t *forward, request_t *request, const route_t *route,
               const forward_request_t *incoming)
{
    bool resumable = route_is_resumable(route);
    bool takes_up = resumable && request->last_event_id >= 0;
    const char *name = NULL;

    request->split = resumable && route_services_only(forward, route) == NULL;
    if (request->relayed && incoming->grant.service != 0) {
        name = takes_up ? route_services_find_begun(forward, request->route,
                                                    incoming->grant.service)
                        : route_services_find(forward, request->route,
                                              incoming->grant.service);
    }
    if (takes_up && name == NULL) {
        name = versions_find_service(forward, request);
        request->service_unknown = name == NULL;
    }
    if (name == NULL || (!takes_up && !is_drawn(route, name))) {
        name = route_choose_service(route,
                                    random_next_from(&forward->random_state));
    }
    return name;
}

static bool
is_drawn(const route_t *route, const char *service)
{
    size_t i;

    for (i = 0; i < route->share_count; i++) {
        if (strcmp(route->shares[i].service, service) == 0) {
            return route_share_is_drawn(route, i);
        }
    }
    return false;
}

void
request_set_service(forward_t *forward, request_t *request, const char *name)
{
    const service_t *service = routing_find_service(forward->routing, name);
    uint32_t i;

    request->service = arena_strdup(&request->arena, name);
    for (i = 0; i < request->part_count; i++) {
        request->parts[i] =
            XXH3_64bits_withSeed(name, strlen(name), request->common_parts[i]);
    }
    request->event_tokens =
        service != NULL ? service->capabilities.event_tokens : 0;
    request->replicated = service != NULL && service->engine &&
                          service->capabilities.kv_replication &&
                          request->type == REQUEST_STREAM &&
                          request->resumable;
}
