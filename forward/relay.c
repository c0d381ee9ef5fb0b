/*
 * relay.c - relays requests to other hosts while this host reaches no runner.
 *
 * The paths of a host may be cut while callers, the store and the other hosts
 * still reach it.  Each new connection to a runner shows whether its path
 * works.  When those to several runners of a service have failed, with none
 * that succeeded since, the host is isolated from the service: it relays
 * requests at once, and probes runners until connections succeed again.  A
 * request is relayed one hop at most.
 */
#include <inttypes.h>
#include <string.h>
#include <syslog.h>

#include "forward/private.h"

enum {
    /* Different runners without a connection that isolate a host.  Two are
     * enough if there are no more. */
    LOST_RUNNERS_MIN = 3,
    LOST_RUNNERS_FEW = 2,
    /* A request that no runner received is relayed after as many attempts. */
    UNSENT_ATTEMPTS_MAX = 2,
    /* Hosts that a request is relayed to, one after the other. */
    RELAYS_MAX = 3,
    PROBE_INTERVAL_MS = 500,
    PROBE_TIMEOUT_MS = 100,
    /* Consecutive connections before runners are used again. */
    CONNECTIONS_MIN = 2,
    /* Concurrent requests of a host whose load counts as full. */
    HOST_SLOTS = 64,
};

/* The service of all hosts in the pool of hosts. */
static const char hosts_service[] = "hosts";

static uint32_t count_usable_runners(const forward_t *forward,
                                     const char *service);
static bool spans_one_zone(const forward_t *forward,
                           const service_budget_t *service);
static void set_isolated(forward_t *forward, service_budget_t *service,
                         bool isolated);
static void probe_path(forward_t *forward, service_budget_t *service);
static bool host_is_isolated(const forward_t *forward, const char *host,
                             const char *service);
static bool host_is_behind(const forward_t *forward, const char *host);
static pool_runner_t *choose_host(const forward_t *forward,
                                  const request_t *request);

void
relay_set_hosts(forward_t *forward, const forward_hosts_t *hosts)
{
    size_t i;

    pool_list_begin(forward->host_pool);
    for (i = 0; i < hosts->count; i++) {
        registration_t entry = {.id = hosts->items[i].name,
                                .service = hosts_service,
                                .address = hosts->items[i].address,
                                .zone = hosts->items[i].zone,
                                .slots = HOST_SLOTS};

        (void)pool_update_runner(forward->host_pool, forward->now_us, &entry);
    }
    pool_list_end(forward->host_pool, forward->now_us);
    forward->records_changed = true;
}

void
relay_record_loss(forward_t *forward, const pool_runner_t *runner)
{
    service_budget_t *service =
        find_or_add_service(forward, runner->registration.service);
    path_state_t *path = &service->path;
    uint32_t needed =
        count_usable_runners(forward, runner->registration.service);
    uint32_t i;

    path->connections = 0;
    for (i = 0; i < path->lost_count; i++) {
        if (path->lost[i].serial == runner->serial) {
            path->lost[i].lost_us = forward->now_us;
            return;
        }
    }
    if (path->lost_count == PATH_LOST_MAX) {
        path->lost_count--;
    }
    path->lost[path->lost_count] = (lost_path_t){.serial = runner->serial,
                                                 .zone = runner->zone,
                                                 .lost_us = forward->now_us};
    path->lost_count++;
    if (needed < LOST_RUNNERS_FEW) {
        needed = LOST_RUNNERS_FEW;
    }
    if (!path->isolated && path->lost_count >= needed &&
        !spans_one_zone(forward, service)) {
        set_isolated(forward, service, true);
    }
}

/* A connection that was started later than a loss shows that the loss was not
 * one of all paths. */
void
relay_record_connection(forward_t *forward, const pool_runner_t *runner,
                        int64_t started_us)
{
    service_budget_t *service =
        find_or_add_service(forward, runner->registration.service);
    path_state_t *path = &service->path;
    uint32_t kept = 0;
    uint32_t i;

    if (started_us > path->connected_us) {
        path->connected_us = started_us;
    }
    if (path->isolated) {
        path->connections += started_us > path->isolated_us ? 1 : 0;
        if (path->connections < CONNECTIONS_MIN) {
            return;
        }
        set_isolated(forward, service, false);
    }
    for (i = 0; i < path->lost_count; i++) {
        if (path->lost[i].lost_us >= started_us) {
            path->lost[kept] = path->lost[i];
            kept++;
        }
    }
    path->lost_count = kept;
}

bool
relay_is_isolated(const forward_t *forward, const char *service)
{
    const service_budget_t *entry;
    const service_budget_t *other;

    HASH_FIND_STR(forward->budgets, service, entry);
    if (entry == NULL || entry->path.isolated) {
        return entry != NULL;
    }
    for (other = forward->budgets; other != NULL; other = other->hh.next) {
        if (other->path.isolated &&
            entry->path.connected_us < other->path.suspected_us) {
            return true;
        }
    }
    return false;
}

bool
relay_is_isolated_at_all(const forward_t *forward)
{
    const service_budget_t *service;

    for (service = forward->budgets; service != NULL;
         service = service->hh.next) {
        if (service->path.isolated) {
            return true;
        }
    }
    return false;
}

void
relay_probe_paths(forward_t *forward)
{
    service_budget_t *service;

    for (service = forward->budgets; service != NULL;
         service = service->hh.next) {
        if (forward->now_us >= service->path.probe_due_us &&
            relay_is_isolated(forward, service->service)) {
            probe_path(forward, service);
        }
    }
}

int64_t
relay_due_us(const forward_t *forward)
{
    const service_budget_t *service;
    int64_t due_us = INT64_MAX;

    for (service = forward->budgets; service != NULL;
         service = service->hh.next) {
        if (service->path.probe_due_us < due_us &&
            relay_is_isolated(forward, service->service)) {
            due_us = service->path.probe_due_us;
        }
    }
    return due_us;
}

bool
relay_is_preferred(const forward_t *forward, const request_t *request)
{
    return (relay_is_isolated(forward, request->service) ||
            request->unsent_count >= UNSENT_ATTEMPTS_MAX) &&
           relay_is_possible(forward, request);
}

bool
relay_is_possible(const forward_t *forward, const request_t *request)
{
    return (relay_is_isolated(forward, request->service) ||
            request->unsent_count > 0) &&
           choose_host(forward, request) != NULL;
}

pool_runner_t *
relay_choose_host(const forward_t *forward, request_t *request)
{
    pool_runner_t *host = choose_host(forward, request);

    if (host != NULL) {
        request->relayed_to[request->relay_count] = host->serial;
        request->relay_count++;
    }
    return host;
}

bool
forward_host_reaches_runners(const forward_t *forward, const char *host)
{
    const peer_state_t *view;

    if (strcmp(host, forward->host) == 0) {
        return !relay_is_isolated_at_all(forward);
    }
    HASH_FIND_STR(forward->peers, host, view);
    return view == NULL || !view->isolated;
}

static bool
host_is_isolated(const forward_t *forward, const char *host,
                 const char *service)
{
    uint64_t hash = pool_hash_service(service);
    const peer_state_t *view;
    uint32_t i;

    HASH_FIND_STR(forward->peers, host, view);
    for (i = 0; view != NULL && i < view->budget_count; i++) {
        if (view->budgets[i].service == hash) {
            return view->budgets[i].isolated;
        }
    }
    return false;
}

/* If this host lacks the store itself, others are taken as they are. */
static bool
host_is_behind(const forward_t *forward, const char *host)
{
    const peer_state_t *view;

    HASH_FIND_STR(forward->peers, host, view);
    return view != NULL && view_is_current(forward) &&
           !view_of_peer_is_current(forward, view);
}

static uint32_t
count_usable_runners(const forward_t *forward, const char *service)
{
    const pool_runner_t *runner;
    uint32_t count = 0;

    for (runner = pool_first_runner(forward->pool);
         runner != NULL && count < LOST_RUNNERS_MIN;
         runner = runner->hh.next) {
        if (strcmp(runner->registration.service, service) == 0 &&
            pool_runner_usable(runner, forward->now_us)) {
            count++;
        }
    }
    return count;
}

/* Returns whether only one of several availability zones has failed. */
static bool
spans_one_zone(const forward_t *forward, const service_budget_t *service)
{
    const path_state_t *path = &service->path;
    const pool_runner_t *runner;
    uint32_t i;

    for (i = 1; i < path->lost_count; i++) {
        if (path->lost[i].zone != path->lost[0].zone) {
            return false;
        }
    }
    for (runner = pool_first_runner(forward->pool); runner != NULL;
         runner = runner->hh.next) {
        if (strcmp(runner->registration.service, service->service) == 0 &&
            runner->zone != path->lost[0].zone &&
            pool_runner_usable(runner, forward->now_us)) {
            return true;
        }
    }
    return false;
}

static void
set_isolated(forward_t *forward, service_budget_t *service, bool isolated)
{
    path_state_t *path = &service->path;
    uint32_t i;

    path->isolated = isolated;
    path->isolated_us = forward->now_us;
    path->suspected_us = forward->now_us;
    for (i = 0; i < path->lost_count; i++) {
        if (path->lost[i].lost_us < path->suspected_us) {
            path->suspected_us = path->lost[i].lost_us;
        }
    }
    path->connections = 0;
    path->probe_due_us =
        forward->now_us + (int64_t)PROBE_INTERVAL_MS * US_PER_MS;
    forward->publish_due = true;
    emit_log(forward, LOG_NOTICE, isolated ? "isolated" : "reachable",
             "service=%s lost_runners=%" PRIu32, service->service,
             path->lost_count);
}

/* The service's runners take turns, in the order of the registry. */
static void
probe_path(forward_t *forward, service_budget_t *service)
{
    arena_t *arena = &forward->actions->arena;
    path_state_t *path = &service->path;
    const pool_runner_t *probed = NULL;
    const pool_runner_t *runner;
    uint32_t index = 0;
    forward_action_t *action;

    path->probe_due_us =
        forward->now_us + (int64_t)PROBE_INTERVAL_MS * US_PER_MS;
    for (runner = pool_first_runner(forward->pool); runner != NULL;
         runner = runner->hh.next) {
        if (strcmp(runner->registration.service, service->service) != 0 ||
            !pool_runner_usable(runner, forward->now_us)) {
            continue;
        }
        if (probed == NULL || index == path->probe_count) {
            probed = runner;
        }
        index++;
    }
    path->probe_count = path->probe_count < index ? path->probe_count + 1 : 0;
    if (probed == NULL) {
        return;
    }
    action = action_new(forward, FORWARD_ACTION_PROBE, 0);
    action->u.probe.runner = arena_strdup(arena, probed->registration.id);
    action->u.probe.address =
        arena_strdup(arena, probed->registration.address);
    action->u.probe.timeout_ms = PROBE_TIMEOUT_MS;
}

/* Leaves out this host, those that the request was relayed to, and those that
 * reach no runner themselves. */
static pool_runner_t *
choose_host(const forward_t *forward, const request_t *request)
{
    uint64_t excluded[HOSTS_EXCLUDED_MAX];
    pool_query_t query = {.kind = WORKLOAD_PLAIN,
                          .service = hosts_service,
                          .zone = forward->zone,
                          .affinity = request->affinity + request->number,
                          .tried = excluded};
    const pool_runner_t *host;

    if (request->relayed || request->relay_count == RELAYS_MAX) {
        return NULL;
    }
    for (host = pool_first_runner(forward->host_pool); host != NULL;
         host = host->hh.next) {
        bool tried = false;
        uint32_t i;

        for (i = 0; i < request->relay_count; i++) {
            tried = tried || request->relayed_to[i] == host->serial;
        }
        if (query.tried_count < HOSTS_EXCLUDED_MAX &&
            (tried || strcmp(host->registration.id, forward->host) == 0 ||
             host_is_behind(forward, host->registration.id) ||
             host_is_isolated(forward, host->registration.id,
                              request->service))) {
            excluded[query.tried_count] = host->serial;
            query.tried_count++;
        }
    }
    return pool_choose_runner(forward->host_pool, forward->now_us, &query);
}
