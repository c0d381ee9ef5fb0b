/*
 * partition_path.c - paths of partition_sim.h's simulation: what hosts send
 * to runners and to each other, and what comes back.
 */
#include <string.h>

#include <check.h>

#include "regress/partition_private.h"

enum {
    RELAY_MS = 2, /* until a relayed request is at the helping host */
    RESET_MS = 2, /* until a refused connection is known */
};

static size_t
find_runner(const char *name)
{
    size_t i;

    for (i = 0; i < cut_sim.runner_count; i++) {
        if (strcmp(cut_sim.runners[i].name, name) == 0) {
            return i;
        }
    }
    ck_abort_msg("no runner %s", name);
    return 0;
}

static size_t
find_host(const char *name)
{
    size_t i;

    for (i = 0; i < cut_sim.host_count; i++) {
        if (strcmp(cut_sim.hosts[i].name, name) == 0) {
            return i;
        }
    }
    ck_abort_msg("no host %s", name);
    return 0;
}

/* The last cut of the host has ended when it sends to a runner again. */
static void
note_direct_send(size_t host)
{
    size_t i;

    for (i = 0; i < cut_sim.cut_count; i++) {
        cut_t *cut = &cut_sim.cuts[i];

        if (cut->hosts[host] && cut->direct_ms[host] == 0 &&
            cut_sim.now_ms >= cut->end_ms) {
            cut->direct_ms[host] = cut_sim.now_ms;
        }
    }
}

static void
note_relayed(const cut_hop_t *hop, size_t to)
{
    cut_sim.result.relayed++;
    if (strcmp(cut_sim.hosts[hop->host].zone, cut_sim.hosts[to].zone) == 0) {
        cut_sim.result.relayed_in_zone++;
    }
    if (hop->parent != CUT_NONE) {
        cut_sim.result.loops++;
    }
}

void
cut_send(size_t hop, const send_action_t *send)
{
    size_t index = cut_sim.leg_count;
    cut_leg_t *leg = &cut_sim.legs[index];

    ck_assert_uint_lt(index, CUT_LEGS_MAX);
    cut_sim.leg_count++;
    *leg = (cut_leg_t){.hop = hop,
                       .attempt = send->attempt,
                       .runner = CUT_NONE,
                       .child = CUT_NONE,
                       .open = true,
                       .restored = send->restore_address != NULL,
                       .connect_ms = send->connect_ms,
                       .deadline_ms = send->deadline_ms,
                       .last_event_id = send->last_event_id};
    cut_sim.hops[hop].leg = index;
    if (send->host != NULL) {
        leg->host = find_host(send->host);
        leg->grant = send->grant;
        memcpy(leg->grant_runners, send->grant.runners,
               send->grant.runner_count * sizeof(*leg->grant_runners));
        leg->grant.runners = leg->grant_runners;
        note_relayed(&cut_sim.hops[hop], leg->host);
        cut_push(RELAY_MS, CUT_EVENT_REACH, index, 0);
        return;
    }
    leg->runner = find_runner(send->runner);
    note_direct_send(cut_sim.hops[hop].host);
    cut_push(CUT_ONE_WAY_MS, CUT_EVENT_REACH, index, 0);
}

void
cut_close(size_t index)
{
    cut_leg_t *leg = &cut_sim.legs[index];

    if (!leg->open) {
        return;
    }
    leg->open = false;
    if (leg->runner != CUT_NONE) {
        cut_push(CUT_ONE_WAY_MS, CUT_EVENT_STOP, index, 0);
    }
    else if (leg->child != CUT_NONE) {
        cut_push(CUT_ONE_WAY_MS, CUT_EVENT_GONE, leg->child, 0);
    }
}

void
cut_cancel(size_t hop, uint32_t attempt)
{
    size_t leg = cut_sim.hops[hop].leg;

    if (leg != CUT_NONE && cut_sim.legs[leg].attempt == attempt) {
        cut_close(leg);
    }
}

static void
reach_runner(size_t index)
{
    cut_leg_t *leg = &cut_sim.legs[index];
    const cut_runner_t *runner = &cut_sim.runners[leg->runner];
    const cut_t *cut = cut_of_leg(leg);

    if (cut != NULL && cut->kind != CUT_ONE_WAY) {
        cut_push_end(cut->kind == CUT_HANGS ? leg->connect_ms : RESET_MS,
                     index, SEND_NOT_SENT);
        return;
    }
    if (!runner->up) {
        cut_push_end(RESET_MS, index, SEND_NOT_SENT);
        return;
    }
    if (runner->run_count == runner->slots) {
        cut_push_head(index, CUT_STATUS_UNAVAILABLE, true);
        cut_push_end(CUT_ONE_WAY_MS, index, SEND_COMPLETE);
        return;
    }
    cut_start_run(index);
    if (cut != NULL) {
        cut_excuse(leg);
    }
}

static void
reach_host(size_t index)
{
    cut_leg_t *leg = &cut_sim.legs[index];
    const cut_hop_t *hop = &cut_sim.hops[leg->hop];
    const cut_caller_t *caller = &cut_sim.callers[hop->caller];
    forward_event_t event = {.kind = FORWARD_REQUEST};

    if (!cut_sim.hosts[leg->host].up) {
        cut_push_end(leg->connect_ms, index, SEND_NOT_SENT);
        return;
    }
    ck_assert_uint_lt(cut_sim.hop_count, CUT_HOPS_MAX);
    leg->child = cut_sim.hop_count;
    cut_sim.hop_count++;
    cut_sim.hops[leg->child] = (cut_hop_t){.host = leg->host,
                                           .caller = hop->caller,
                                           .try = hop->try,
                                           .parent = index,
                                           .leg = CUT_NONE,
                                           .active = true};
    cut_sim.hosts[leg->host].relayed_active++;
    event.u.request =
        (forward_request_t){.number = leg->child,
                            .id = caller->tries[hop->try].id,
                            .host = "host.example",
                            .path = cut_request_path(caller->type),
                            .key = "k1",
                            .deadline_ms = leg->deadline_ms,
                            .prompt_tokens = 8000,
                            .affinity = caller->session,
                            .last_event_id = leg->last_event_id,
                            .fingerprint = hop->caller,
                            .parts = &caller->session,
                            .part_count = 1,
                            .relayed = true,
                            .grant = leg->grant};
    cut_deliver(leg->host, &event);
}

/* A helping host passes on the events of a stream. */
static void
pass_on(const cut_leg_t *leg, const forward_event_t *event)
{
    const cut_hop_t *hop = &cut_sim.hops[leg->hop];

    if (event->kind == FORWARD_STREAM_PROGRESS && hop->active && leg->open &&
        hop->parent != CUT_NONE) {
        cut_push_reply(CUT_ONE_WAY_MS, hop->parent, event);
    }
}

/* Whether the host keeps what comes until it passes on the response. */
static bool
is_withheld(const cut_leg_t *leg, const forward_event_t *event)
{
    const cut_hop_t *hop = &cut_sim.hops[leg->hop];

    return cut_sim.callers[hop->caller].type == REQUEST_STREAM &&
           !leg->passed && leg->status == CUT_STATUS_OK &&
           (event->kind == FORWARD_STREAM_PROGRESS ||
            (event->kind == FORWARD_SEND_END &&
             event->u.end.result == SEND_COMPLETE));
}

static void
reply(size_t index, forward_event_t event)
{
    cut_leg_t *leg = &cut_sim.legs[index];
    const cut_t *cut = cut_of_leg(leg);

    if (!leg->open) {
        return;
    }
    if (cut != NULL && (cut->kind == CUT_HANGS || cut->kind == CUT_ONE_WAY) &&
        (event.kind != FORWARD_SEND_END ||
         event.u.end.result != SEND_NOT_SENT)) {
        cut_push_reply(cut->end_ms + CUT_ONE_WAY_MS - cut_sim.now_ms, index,
                       &event);
        return;
    }
    if (is_withheld(leg, &event)) {
        cut_push_reply(1, index, &event);
        return;
    }
    switch (event.kind) {
    case FORWARD_RESPONSE_HEAD:
        event.u.head.connected_max_us = cut_sim.now_ms * CUT_US_PER_MS;
        event.u.head.number = leg->hop;
        event.u.head.attempt = leg->attempt;
        leg->status = event.u.head.status;
        break;
    case FORWARD_STREAM_PROGRESS:
        event.u.progress.number = leg->hop;
        event.u.progress.attempt = leg->attempt;
        break;
    default:
        event.u.end.number = leg->hop;
        event.u.end.attempt = leg->attempt;
        leg->open = false;
        break;
    }
    cut_deliver(cut_sim.hops[leg->hop].host, &event);
    pass_on(leg, &event);
}

static bool
probe_passes(size_t host, size_t runner)
{
    return cut_of_path(host, runner) == NULL && cut_sim.runners[runner].up;
}

void
cut_probe(size_t host, const char *runner, uint32_t timeout_ms)
{
    size_t index = find_runner(runner);
    const cut_t *cut = cut_of_path(host, index);
    int64_t delay_ms = RESET_MS;

    if (cut != NULL && (cut->kind == CUT_HANGS || cut->kind == CUT_ONE_WAY)) {
        delay_ms = timeout_ms;
    }
    cut_push(delay_ms, CUT_EVENT_PROBE, host, index);
}

static void
answer_probe(size_t host, size_t index)
{
    const cut_runner_t *runner = &cut_sim.runners[index];
    const char *runs[CUT_SLOTS_MAX];
    runner_report_t report = {.active = (uint32_t)runner->run_count,
                              .runs = runs};
    forward_event_t event = {.kind = FORWARD_PROBE_RESULT};
    size_t i;

    if (!cut_sim.hosts[host].up) {
        return;
    }
    for (i = 0; i < runner->run_count; i++) {
        const cut_leg_t *leg = &cut_sim.legs[runner->runs[i]];
        const cut_hop_t *hop = &cut_sim.hops[leg->hop];

        if (leg->began) {
            runs[report.run_count] =
                cut_sim.callers[hop->caller].tries[hop->try].id;
            report.run_count++;
        }
    }
    event.u.probed.runner = runner->name;
    event.u.probed.asked_us = (cut_sim.now_ms - RESET_MS) * CUT_US_PER_MS;
    if (probe_passes(host, index)) {
        event.u.probed.report = &report;
        event.u.probed.started_ms = runner->started_ms;
    }
    else {
        event.u.probed.outcome = PROBE_UNREACHABLE;
    }
    cut_deliver(host, &event);
}

void
cut_path_lost(const cut_t *cut)
{
    size_t i;

    for (i = 0; i < cut_sim.leg_count; i++) {
        cut_leg_t *leg = &cut_sim.legs[i];

        if (leg->runner == CUT_NONE || !leg->running ||
            cut_of_leg(leg) != cut) {
            continue;
        }
        if (cut->kind != CUT_REFUSES_NEW) {
            cut_excuse(leg);
        }
        if (cut->kind == CUT_RESETS) {
            cut_push_end(0, i, SEND_BROKEN);
            cut_stop_run(i);
        }
    }
}

/* The runners learn what the hosts have given up. */
void
cut_path_healed(const cut_t *cut)
{
    size_t i;

    for (i = 0; i < cut_sim.leg_count; i++) {
        const cut_leg_t *leg = &cut_sim.legs[i];

        if (leg->running && !leg->open &&
            cut->hosts[cut_sim.hops[leg->hop].host]) {
            cut_push(CUT_ONE_WAY_MS, CUT_EVENT_STOP, i, 0);
        }
    }
}

static void
reach(size_t index)
{
    const cut_leg_t *leg = &cut_sim.legs[index];

    if (!leg->open) {
        return;
    }
    if (leg->runner != CUT_NONE) {
        reach_runner(index);
    }
    else {
        reach_host(index);
    }
}

void
cut_handle_path_event(const cut_event_t *event)
{
    switch (event->kind) {
    case CUT_EVENT_REACH:
        reach(event->subject);
        return;
    case CUT_EVENT_RUN:
        cut_run(event->subject);
        return;
    case CUT_EVENT_STOP:
        cut_stop_run(event->subject);
        return;
    case CUT_EVENT_REPLY:
        reply(event->subject, event->reply);
        return;
    case CUT_EVENT_PROBE:
        answer_probe(event->subject, event->detail);
        return;
    default:
        return;
    }
}
