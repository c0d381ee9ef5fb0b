/*
 * relay.c - relays requests to other hosts while this host reaches no runner.
 *
 * The paths of a host may be cut while callers, the store and the other hosts
 * still reach it.  Each new connection to a runner shows whether its path
 * works.  When those to several runners have failed in a row the host is
 * isolated: it relays requests at once, and probes runners until connections
 * succeed again.  A request is relayed one hop at most.
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
    /* Consecutive probes that succeed before runners are used again. */
    PROBES_ANSWERED_MIN = 2,
    /* Concurrent requests of a host whose load counts as full. */
    HOST_SLOTS = 64,
};

/* The service of all hosts in the pool of hosts. */
static const char hosts_service[] = "hosts";

static uint32_t count_usable_runners(const forward_t *forward);
static bool spans_one_zone(const forward_t *forward);
static void set_isolated(forward_t *forward, bool isolated);
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
}

void
relay_record_loss(forward_t *forward, const pool_runner_t *runner)
{
    path_state_t *path = &forward->path;
    uint32_t needed = count_usable_runners(forward);
    uint32_t i;

    path->last_loss_us = forward->now_us;
    path->probes_answered = 0;
    for (i = 0; i < path->lost_count; i++) {
        if (path->lost[i] == runner->serial) {
            return;
        }
    }
    if (path->lost_count == PATH_LOST_MAX) {
        path->lost_count--;
    }
    path->lost[path->lost_count] = runner->serial;
    path->lost_zones[path->lost_count] = runner->zone;
    path->lost_count++;
    if (needed < LOST_RUNNERS_FEW) {
        needed = LOST_RUNNERS_FEW;
    }
    if (!path->isolated && path->lost_count >= needed &&
        !spans_one_zone(forward)) {
        set_isolated(forward, true);
    }
}

void
relay_record_connection(forward_t *forward, int64_t started_us)
{
    path_state_t *path = &forward->path;

    if (started_us <= path->last_loss_us) {
        return;
    }
    if (path->isolated) {
        path->probes_answered++;
        if (path->probes_answered < PROBES_ANSWERED_MIN) {
            return;
        }
        set_isolated(forward, false);
    }
    path->lost_count = 0;
}

/* Runners take turns, in the order of the registry. */
void
relay_probe_paths(forward_t *forward)
{
    arena_t *arena = &forward->actions->arena;
    path_state_t *path = &forward->path;
    const pool_runner_t *first = pool_first_runner(forward->pool);
    const pool_runner_t *runner = first;
    forward_action_t *action;
    uint32_t skip;

    if (!path->isolated || forward->now_us < path->probe_due_us) {
        return;
    }
    path->probe_due_us =
        forward->now_us + (int64_t)PROBE_INTERVAL_MS * US_PER_MS;
    for (skip = path->probe_count; skip > 0 && runner != NULL; skip--) {
        runner = runner->hh.next;
        if (runner == NULL) {
            path->probe_count = 0;
            runner = first;
            break;
        }
    }
    path->probe_count++;
    if (runner == NULL) {
        return;
    }
    action = action_new(forward, FORWARD_ACTION_PROBE, 0);
    action->u.probe.runner = arena_strdup(arena, runner->registration.id);
    action->u.probe.address =
        arena_strdup(arena, runner->registration.address);
    action->u.probe.timeout_ms = PROBE_TIMEOUT_MS;
}

int64_t
relay_due_us(const forward_t *forward)
{
    return forward->path.isolated ? forward->path.probe_due_us : INT64_MAX;
}

bool
relay_is_preferred(const forward_t *forward, const request_t *request)
{
    return (forward->path.isolated ||
            request->unsent_count >= UNSENT_ATTEMPTS_MAX) &&
           relay_is_possible(forward, request);
}

bool
relay_is_possible(const forward_t *forward, const request_t *request)
{
    return (forward->path.isolated || request->unsent_count > 0) &&
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
        return !forward->path.isolated;
    }
    HASH_FIND_STR(forward->peers, host, view);
    return view == NULL || !view->isolated;
}

static uint32_t
count_usable_runners(const forward_t *forward)
{
    const pool_runner_t *runner;
    uint32_t count = 0;

    for (runner = pool_first_runner(forward->pool);
         runner != NULL && count < LOST_RUNNERS_MIN;
         runner = runner->hh.next) {
        count += pool_runner_usable(runner, forward->now_us) ? 1 : 0;
    }
    return count;
}

/* Returns whether only one of several availability zones has failed. */
static bool
spans_one_zone(const forward_t *forward)
{
    const path_state_t *path = &forward->path;
    const pool_runner_t *runner;
    uint32_t i;

    for (i = 1; i < path->lost_count; i++) {
        if (path->lost_zones[i] != path->lost_zones[0]) {
            return false;
        }
    }
    for (runner = pool_first_runner(forward->pool); runner != NULL;
         runner = runner->hh.next) {
        if (runner->zone != path->lost_zones[0] &&
            pool_runner_usable(runner, forward->now_us)) {
            return true;
        }
    }
    return false;
}

static void
set_isolated(forward_t *forward, bool isolated)
{
    path_state_t *path = &forward->path;

    path->isolated = isolated;
    path->probes_answered = 0;
    path->probe_due_us =
        forward->now_us + (int64_t)PROBE_INTERVAL_MS * US_PER_MS;
    forward->publish_due = true;
    emit_log(forward, LOG_NOTICE, isolated ? "isolated" : "reachable",
             "lost_runners=%" PRIu32, path->lost_count);
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
             !forward_host_reaches_runners(forward, host->registration.id))) {
            excluded[query.tried_count] = host->serial;
            query.tried_count++;
        }
    }
    return pool_choose_runner(forward->host_pool, forward->now_us, &query);
}
