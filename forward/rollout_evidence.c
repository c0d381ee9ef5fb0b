/*
 * rollout_evidence.c - counts what responses say of the versions in a
 * roll-out, and exchanges the counts with the other hosts.
 */
#include <stdlib.h>
#include <string.h>

#include "forward/private.h"

/* Reports carry the counts as they are kept. */
_Static_assert(sizeof(canary_arm_t) == sizeof(rollout_arm_t),
               "the counts of canary.h and of link.x differ");

static canary_arm_t *arm_of(service_rollout_t *entry, uint64_t route,
                            uint64_t version);
static void count_response(forward_t *forward, request_t *request,
                           canary_response_t response);

static canary_arm_t *
arm_of(service_rollout_t *entry, uint64_t route, uint64_t version)
{
    canary_route_t *counts = canary_route(&entry->own, route);

    return version == entry->version ? &counts->new_version
                                     : &counts->old_version;
}

void
rollouts_count_send(forward_t *forward, const request_t *request)
{
    service_rollout_t *entry = rollouts_of_request(forward, request);

    if (entry != NULL && rollout_is_open(&entry->state) &&
        request->deliveries == 1) {
        arm_of(entry, request->route, request->attempt.version)->sent++;
    }
}

/* A stream that is resumed says little: most of its prompt is not read. */
static void
count_response(forward_t *forward, request_t *request,
               canary_response_t response)
{
    service_rollout_t *entry = rollouts_of_request(forward, request);
    attempt_t *attempt = &request->attempt;
    int64_t latency_us = forward->now_us - attempt->started_us;
    canary_arm_t *arm;

    if (entry == NULL || attempt->judged || attempt->relayed ||
        attempt->runner == NULL || request->last_event_id >= 0 ||
        !rollout_is_open(&entry->state)) {
        return;
    }
    attempt->judged = true;
    if (response == CANARY_RESPONSE_GOOD &&
        latency_us >= canary_slow_limit_us(&entry->sum, request->route)) {
        response = CANARY_RESPONSE_SLOW;
    }
    arm = arm_of(entry, request->route, attempt->version);
    canary_count(arm, attempt->runner->id_hash, latency_us, response);
    if (attempt->version == entry->version) {
        request->failed_at_new |= response == CANARY_RESPONSE_FAILED;
        forward->publish_due = true;
        forward->rollouts_changed |= response != CANARY_RESPONSE_GOOD;
    }
}

void
rollouts_count_event(forward_t *forward, request_t *request)
{
    count_response(forward, request, CANARY_RESPONSE_GOOD);
}

void
rollouts_count_response(forward_t *forward, request_t *request, bool failed)
{
    count_response(forward, request,
                   failed ? CANARY_RESPONSE_FAILED : CANARY_RESPONSE_GOOD);
}

void
rollouts_receive(forward_t *forward, peer_state_t *view,
                 const placements_t *placements)
{
    u_int count = placements->rollouts.rollouts_len;
    service_rollout_t *entry;
    u_int i;

    view->rollout_count = count;
    if (count == 0) {
        free(view->rollouts);
        view->rollouts = NULL;
        return;
    }
    view->rollouts = xrealloc(view->rollouts, count, sizeof(*view->rollouts));
    for (i = 0; i < count; i++) {
        const rollout_report_t *report = &placements->rollouts.rollouts_val[i];
        peer_rollout_t *told = &view->rollouts[i];
        u_int j;

        *told = (peer_rollout_t){.service = report->service,
                                 .order_revision = report->order_revision,
                                 .bad = report->bad,
                                 .evidence.count = report->routes.routes_len};
        for (j = 0; j < report->routes.routes_len; j++) {
            const rollout_route_t *route = &report->routes.routes_val[j];

            told->evidence.routes[j].route = route->route;
            memcpy(&told->evidence.routes[j].old_version, &route->old_version,
                   sizeof(route->old_version));
            memcpy(&told->evidence.routes[j].new_version, &route->new_version,
                   sizeof(route->new_version));
        }
        for (entry = forward->rollouts; entry != NULL;
             entry = entry->hh.next) {
            if (entry->service_hash == report->service) {
                rollout_set_elapsed(&entry->state, forward->now_us,
                                    report->order_revision,
                                    report->elapsed_ms);
                forward->rollouts_changed |= report->bad && !entry->state.bad;
            }
        }
    }
}

void
rollouts_write(const forward_t *forward, arena_t *arena,
               placements_t *placements)
{
    const service_rollout_t *entry;
    u_int count = 0;

    placements->rollouts.rollouts_val = arena_array(
        arena, LINK_ROLLOUTS_MAX, sizeof(*placements->rollouts.rollouts_val));
    for (entry = forward->rollouts; entry != NULL && count < LINK_ROLLOUTS_MAX;
         entry = entry->hh.next) {
        rollout_report_t *report = &placements->rollouts.rollouts_val[count];
        uint32_t i;

        if (!rollout_is_open(&entry->state)) {
            continue;
        }
        *report = (rollout_report_t){
            .service = entry->service_hash,
            .order_revision = entry->state.order_revision,
            .elapsed_ms =
                (uint32_t)((forward->now_us - entry->state.started_us) /
                           US_PER_MS),
            .bad = entry->state.bad,
        };
        report->routes.routes_len = entry->own.count;
        report->routes.routes_val = arena_array(
            arena, entry->own.count, sizeof(*report->routes.routes_val));
        for (i = 0; i < entry->own.count; i++) {
            rollout_route_t *route = &report->routes.routes_val[i];

            route->route = entry->own.routes[i].route;
            memcpy(&route->old_version, &entry->own.routes[i].old_version,
                   sizeof(route->old_version));
            memcpy(&route->new_version, &entry->own.routes[i].new_version,
                   sizeof(route->new_version));
        }
        count++;
    }
    placements->rollouts.rollouts_len = count;
}

void
rollouts_sum_evidence(const forward_t *forward, service_rollout_t *entry,
                      rollout_view_t *view)
{
    const peer_state_t *peer;
    uint32_t hosts = 1;
    uint32_t i;

    entry->sum = entry->own;
    for (peer = forward->peers; peer != NULL; peer = peer->hh.next) {
        for (i = 0; i < peer->rollout_count; i++) {
            const peer_rollout_t *told = &peer->rollouts[i];

            if (told->service == entry->service_hash &&
                told->order_revision == entry->state.order_revision) {
                canary_add(&entry->sum, &told->evidence);
                view->bad_told |= told->bad;
                hosts += sharing_is_silent(forward, peer) ? 0 : 1;
            }
        }
    }
    entry->hosts_heard = hosts;
    view->hosts_heard = 2 * hosts >= forward->hosts;
}

/* Requests that still wait for their response after the time in which others
 * get one. */
void
rollouts_count_slow(forward_t *forward, service_rollout_t *entry)
{
    request_t *request;

    for (request = forward->requests; request != NULL;
         request = request->hh.next) {
        attempt_t *attempt = &request->attempt;

        if (attempt->runner != NULL && !attempt->judged &&
            attempt->events == 0 && request->service != NULL &&
            strcmp(request->service, entry->service) == 0 &&
            forward->now_us - attempt->started_us >=
                canary_slow_limit_us(&entry->sum, request->route)) {
            count_response(forward, request, CANARY_RESPONSE_SLOW);
        }
    }
}
