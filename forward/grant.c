/*
 * grant.c - what a relayed request may use at another host, and has used.
 *
 * The attempts of a request are counted once over all hosts that handle it.
 * A host that relays a request grants a part of the attempts that are left,
 * and counts them as used until the other host tells what it has used.  The
 * retry budget counts a delivery at the host that makes it.
 */
#include <string.h>

#include "forward/private.h"

static uint32_t grantable(const request_t *request);
static uint64_t stated_service(const request_t *request);
static void take_service(forward_t *forward, request_t *request,
                         uint64_t service);
static const uint64_t *list_receivers(const request_t *request, arena_t *arena,
                                      uint32_t *count);
static void add_receivers(const forward_t *forward, request_t *request,
                          const uint64_t *runners, uint32_t count);

void
grant_attempts(const forward_t *forward, request_t *request,
               relay_grant_t *grant)
{
    request->attempt.granted = grantable(request);
    request->runs += request->attempt.granted;
    *grant = (relay_grant_t){.attempts = request->attempt.granted,
                             .deliveries = request->deliveries,
                             .version = request->version,
                             .service = stated_service(request),
                             .routing_version = forward->routing->version};
    grant->runners = list_receivers(request, &forward->actions->arena,
                                    &grant->runner_count);
}

void
grant_accept(const forward_t *forward, request_t *request,
             const relay_grant_t *grant)
{
    if (grant->attempts == 0) {
        return;
    }
    if (grant->attempts < request->attempts_max) {
        request->attempts_max = grant->attempts;
    }
    request->deliveries = grant->deliveries;
    request->granted_deliveries = grant->deliveries;
    request->version = grant->version;
    add_receivers(forward, request, grant->runners, grant->runner_count);
}

relay_usage_t
grant_usage(const forward_t *forward, const request_t *request)
{
    relay_usage_t usage = {0};

    if (!request->relayed) {
        return usage;
    }
    usage = (relay_usage_t){
        .stated = true,
        .runs = request->runs,
        .deliveries = request->deliveries - request->granted_deliveries,
        .version = request->version,
        .service = stated_service(request),
        .routing_version =
            forward->routing != NULL ? forward->routing->version : 0,
    };
    usage.runners =
        list_receivers(request, &forward->actions->arena, &usage.runner_count);
    return usage;
}

void
grant_record_usage(forward_t *forward, request_t *request,
                   const relay_usage_t *usage)
{
    if (usage->routing_version > forward->routing->version) {
        view_ask(forward);
    }
    request->attempt.usage = *usage;
    request->attempt.usage.runners = NULL;
    request->attempt.usage.runner_count = 0;
    if (request->version == 0) {
        request->version = usage->version;
    }
    take_service(forward, request, usage->service);
    add_receivers(forward, request, usage->runners, usage->runner_count);
}

void
grant_settle(request_t *request, grant_end_t end)
{
    attempt_t *attempt = &request->attempt;
    uint32_t granted = attempt->granted;

    attempt->granted = 0;
    switch (end) {
    case GRANT_UNUSED:
        request->runs -= granted;
        return;
    case GRANT_LOST:
        request->deliveries += granted;
        return;
    case GRANT_USED:
        break;
    }
    if (attempt->usage.stated) {
        request->runs += attempt->usage.runs - granted;
        request->deliveries += attempt->usage.deliveries;
        return;
    }
    request->runs -= granted;
    if (!attempt->not_run) {
        request->runs = request->attempts_max;
        request->deliveries += request->attempts_max;
    }
}

void
request_mark_not_received(request_t *request, uint64_t serial)
{
    size_t i;

    for (i = 0; i < request->tried_count; i++) {
        if (request->tried[i] == serial) {
            request->received_by[i] = 0;
        }
    }
}

/* Attempts of a stream are kept back: it goes on after the loss of the other
 * host.  Other requests do not. */
static uint32_t
grantable(const request_t *request)
{
    uint32_t left = request->attempts_max > request->runs
                        ? request->attempts_max - request->runs
                        : 1;

    return request->resumable ? (left + 1) / 2 : left;
}

/* Where the route has one service, the other host knows it. */
static uint64_t
stated_service(const request_t *request)
{
    return request->split && !request->service_unknown &&
                   request->service != NULL
               ? pool_hash_service(request->service)
               : 0;
}

/* The other host may have drawn another service by a newer table. */
static void
take_service(forward_t *forward, request_t *request, uint64_t service)
{
    const char *name;

    if (service == 0 || service == pool_hash_service(request->service)) {
        return;
    }
    name = route_services_find_begun(forward, request->route, service);
    if (name != NULL) {
        request_set_service(forward, request, name);
    }
}

static const uint64_t *
list_receivers(const request_t *request, arena_t *arena, uint32_t *count)
{
    uint64_t *runners =
        arena_array(arena, RELAY_RUNNERS_MAX, sizeof(*runners));
    size_t i;

    *count = 0;
    for (i = 0; i < request->tried_count && *count < RELAY_RUNNERS_MAX; i++) {
        if (request->received_by[i] != 0) {
            runners[*count] = request->received_by[i];
            (*count)++;
        }
    }
    return runners;
}

static void
add_receivers(const forward_t *forward, request_t *request,
              const uint64_t *runners, uint32_t count)
{
    uint32_t i;

    for (i = 0; i < count; i++) {
        const pool_runner_t *runner =
            pool_find_hash(forward->pool, runners[i]);

        if (runner != NULL) {
            request_add_tried(request, runner);
        }
    }
}

void
request_add_tried(request_t *request, const pool_runner_t *runner)
{
    size_t i;

    for (i = 0; i < request->tried_count; i++) {
        if (request->tried[i] == runner->serial) {
            request->received_by[i] = runner->id_hash;
            return;
        }
    }
    if (request->tried_count < POOL_TRIED_MAX) {
        request->tried[request->tried_count] = runner->serial;
        request->received_by[request->tried_count] = runner->id_hash;
        request->tried_count++;
    }
}
