/* view_sim.c - see view_sim.h. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "regress/view_private.h"

enum {
    FIRST_FAULT_MS = 10000,
    LAST_FAULT_MS = 30000,
    END_MS = 36000,
    JUDGED_FROM_MS = 6000,
    GONE_AFTER_MS = 3000, /* that a runner has said so */
    ALL_WATCH_HOSTS = 8,
    REVOKE_MS = 5000,
    STATUS_OK = 200,
    PERCENT = 100,
};

view_sim_t view_sim;

uint64_t
view_draw(uint64_t below)
{
    return sim_draw(&view_sim.rng_state, below);
}

forward_limits_t
view_limits(void)
{
    forward_limits_t limits = forwarding_limits(REVOKE_MS);

    limits.apply_ms = view_sim.bound_ms;
    limits.leave_ms = view_sim.bound_ms;
    return limits;
}

static int64_t
draw_between(int64_t low, int64_t high)
{
    return low + (int64_t)view_draw((uint64_t)(high - low) + 1);
}

const fault_t *
view_fault(size_t host, fault_kind_t kind)
{
    size_t i;

    for (i = 0; i < view_sim.fault_count; i++) {
        const fault_t *fault = &view_sim.faults[i];

        if (fault->host == host && fault->kind == kind &&
            view_sim.now_ms >= fault->start_ms &&
            view_sim.now_ms < fault->end_ms) {
            return fault;
        }
    }
    return NULL;
}

/* Returns whether nothing has disturbed the host for the contact time. */
static bool
is_judged(size_t host)
{
    size_t i;

    for (i = 0; i < view_sim.fault_count; i++) {
        const fault_t *fault = &view_sim.faults[i];

        if (fault->host == host && fault->kind < FAULT_KINDS &&
            view_sim.now_ms >= fault->start_ms &&
            view_sim.now_ms < fault->end_ms + view_sim.contact_ms) {
            return false;
        }
    }
    return view_sim.now_ms >= VIEW_START_MS + JUDGED_FROM_MS;
}

static void
judge_runner(const char *id)
{
    size_t i;

    for (i = 0; i < view_sim.runner_count; i++) {
        const runner_t *runner = &view_sim.runners[i];
        int64_t late_ms = view_sim.now_ms + VIEW_ONE_WAY_MS - runner->left_ms;

        if (strcmp(runner->id, id) != 0 || runner->left_ms == INT64_MAX) {
            continue;
        }
        if (late_ms > (int64_t)view_sim.result.worst_ms) {
            view_sim.result.worst_ms = (uint32_t)late_ms;
        }
        if (late_ms > view_sim.bound_ms) {
            view_sim.result.late_sends++;
        }
    }
}

static void
judge_routing(const host_t *host)
{
    int64_t version = forward_routing(host->forward)->version;
    size_t i;

    for (i = 0; i < view_sim.change_count; i++) {
        const change_t *change = &view_sim.changes[i];

        if (change->kind == CHANGE_ROUTING && change->version > version &&
            host->sent_ms > change->at_ms + view_sim.bound_ms) {
            view_sim.result.late_routes++;
            return;
        }
    }
}

static void
answer(size_t host, uint64_t number, uint32_t attempt)
{
    forward_event_t event = {.kind = FORWARD_RESPONSE_HEAD};

    event.u.head = (forward_response_head_t){.number = number,
                                             .attempt = attempt,
                                             .status = STATUS_OK,
                                             .authentic = true,
                                             .event_stream = true};
    view_deliver(host, &event);
    event = (forward_event_t){.kind = FORWARD_SEND_END};
    event.u.end = (forward_send_end_t){
        .number = number, .attempt = attempt, .result = SEND_COMPLETE};
    view_deliver(host, &event);
}

static void
handle_action(size_t host, const forward_action_t *action)
{
    event_t confirm = {.kind = EVENT_CONFIRM, .host = host};

    if (action->kind == FORWARD_ACTION_CONFIRM_VIEW) {
        view_push(0, &confirm);
    }
    if (action->kind == FORWARD_ACTION_REFUSE) {
        view_sim.result.refused += is_judged(host) ? 1 : 0;
    }
    if (action->kind == FORWARD_ACTION_SEND && is_judged(host)) {
        view_sim.result.sends++;
        judge_runner(action->u.send.runner);
        judge_routing(&view_sim.hosts[host]);
    }
}

static void
schedule_forward_timer(size_t host)
{
    host_t *self = &view_sim.hosts[host];
    int64_t due_us = forward_due_us(self->forward);
    event_t event = {.kind = EVENT_FORWARD_TIMER, .host = host};
    int64_t due_ms;

    if (due_us == INT64_MAX) {
        return;
    }
    due_ms = due_us / VIEW_US_PER_MS + 1;
    if (due_ms <= view_sim.now_ms) {
        due_ms = view_sim.now_ms + 1;
    }
    if (self->forward_due_ms > view_sim.now_ms &&
        self->forward_due_ms <= due_ms) {
        return;
    }
    self->forward_due_ms = due_ms;
    view_push(due_ms - view_sim.now_ms, &event);
}

void
view_deliver(size_t host, const forward_event_t *event)
{
    forward_actions_t actions = {0};
    size_t i;

    forward_step(view_sim.hosts[host].forward,
                 view_sim.now_ms * VIEW_US_PER_MS, event, &actions);
    for (i = 0; i < actions.count; i++) {
        handle_action(host, &actions.items[i]);
    }
    for (i = 0; i < actions.count; i++) {
        if (actions.items[i].kind == FORWARD_ACTION_SEND) {
            answer(host, actions.items[i].number,
                   actions.items[i].u.send.attempt);
        }
    }
    forward_actions_free(&actions);
    schedule_forward_timer(host);
}

static void
send_request(size_t host, int64_t sent_ms)
{
    host_t *self = &view_sim.hosts[host];
    forward_event_t event = {.kind = FORWARD_REQUEST};
    char id[SIM_NAME_BYTES];

    self->requests++;
    self->sent_ms = sent_ms;
    (void)snprintf(id, sizeof(id), "q%zu-%llu", host,
                   (unsigned long long)self->requests);
    event.u.request = (forward_request_t){.number = self->requests,
                                          .id = id,
                                          .host = "host.example",
                                          .path = "/safe/x",
                                          .key = "k1",
                                          .deadline_ms = 2500,
                                          .affinity = view_draw(UINT32_MAX),
                                          .last_event_id = -1,
                                          .fingerprint = self->requests};
    view_deliver(host, &event);
}

static void
plan_change(int64_t at_ms, kind_t kind, size_t runner, int64_t version)
{
    if (view_sim.planned < VIEW_CHANGES_MAX) {
        view_sim.changes[view_sim.planned] = (change_t){.at_ms = at_ms,
                                                        .kind = kind,
                                                        .runner = runner,
                                                        .version = version};
        view_sim.planned++;
    }
}

static size_t
plan_runner(int64_t at_ms)
{
    size_t index = view_sim.runner_count;
    runner_t *runner = &view_sim.runners[index];

    view_sim.runner_count++;
    *runner = (runner_t){.says_so = view_draw(2) == 0, .left_ms = INT64_MAX};
    (void)snprintf(runner->id, sizeof(runner->id), "s%zu", index);
    (void)snprintf(runner->address, sizeof(runner->address), "10.0.0.%zu:80",
                   index);
    plan_change(at_ms, CHANGE_ADDED, index, 0);
    return index;
}

static int
compare_changes(const void *left, const void *right)
{
    const change_t *a = left;
    const change_t *b = right;

    if (a->at_ms != b->at_ms) {
        return a->at_ms < b->at_ms ? -1 : 1;
    }
    return a->version < b->version ? -1 : a->version > b->version;
}

static void
leave(size_t index, int64_t at_ms)
{
    runner_t *runner = &view_sim.runners[index];

    runner->left_ms = at_ms;
    if (runner->says_so) {
        plan_change(at_ms, CHANGE_DRAINS, index, 0);
        at_ms += GONE_AFTER_MS;
    }
    plan_change(at_ms, CHANGE_GONE, index, 0);
}

static void
plan_changes(void)
{
    int64_t gap_ms = draw_between(300, 1500);
    size_t live = 6 + view_draw(8);
    size_t oldest = 0;
    int64_t version = 1;
    int64_t at_ms;
    size_t i;

    plan_change(VIEW_START_MS - 1, CHANGE_ROUTING, 0, version);
    for (i = 0; i < live; i++) {
        (void)plan_runner(VIEW_START_MS - 1);
    }
    for (at_ms = VIEW_START_MS + JUDGED_FROM_MS;
         at_ms < VIEW_START_MS + END_MS &&
         view_sim.runner_count < VIEW_RUNNERS_MAX;
         at_ms += gap_ms) {
        (void)plan_runner(at_ms);
        leave(oldest, at_ms + gap_ms / 2);
        oldest++;
    }
    for (at_ms = VIEW_START_MS + JUDGED_FROM_MS;
         at_ms < VIEW_START_MS + END_MS; at_ms += draw_between(2000, 5000)) {
        version++;
        plan_change(at_ms, CHANGE_ROUTING, 0, version);
    }
    qsort(view_sim.changes, view_sim.planned, sizeof(view_sim.changes[0]),
          compare_changes);
}

static size_t
draw_faulty_host(void)
{
    size_t host = view_draw(view_sim.host_count);
    size_t tries;

    /* Mostly hosts that others depend on. */
    for (tries = 0; tries < VIEW_HOSTS_MAX && view_draw(PERCENT) >= 10;
         tries++) {
        if (follower_is_watcher(view_sim.candidates, view_sim.host_count,
                                &view_sim.candidates[host])) {
            return host;
        }
        host = view_draw(view_sim.host_count);
    }
    return host;
}

static void
plan_faults(void)
{
    static const struct {
        int64_t min_ms;
        int64_t max_ms;
    } lengths[] = {[FAULT_FREEZE] = {500, 5000},
                   [FAULT_SLOW] = {1500, 7000},
                   [FAULT_REJECTED] = {1000, 9000},
                   [FAULT_CUT] = {1000, 6000},
                   [FAULT_STALL] = {100, 600}};
    size_t count = 6 + view_draw(VIEW_FAULTS_MAX - 6);
    size_t i;

    for (i = 0; i < count; i++) {
        fault_t *fault = &view_sim.faults[i];

        fault->kind = (fault_kind_t)view_draw(FAULT_STALL + 1);
        fault->host = fault->kind == FAULT_STALL
                          ? view_draw(view_sim.host_count)
                          : draw_faulty_host();
        fault->start_ms =
            VIEW_START_MS + draw_between(FIRST_FAULT_MS, LAST_FAULT_MS);
        fault->end_ms =
            fault->start_ms + draw_between(lengths[fault->kind].min_ms,
                                           lengths[fault->kind].max_ms);
        fault->detail = draw_between(10, 80);
    }
    view_sim.fault_count = count;
}

static void
open_host(size_t index)
{
    static const store_sync_settings_t settings = {
        .watch_ms = VIEW_WATCH_MS,
        .changed_watch_ms = VIEW_WATCH_MS / KV_WATCH_CHANGED_PART,
        .settle_ms = VIEW_SETTLE_MS,
    };
    host_t *host = &view_sim.hosts[index];
    forward_settings_t forward_settings = {
        .host = host->name,
        .zone = host->zone,
        .seed = index + 1,
        .limits = view_limits(),
    };

    (void)snprintf(host->name, sizeof(host->name), "h%zu", index);
    host->zone[0] = (char)('a' + (char)(index % view_sim.zone_count));
    view_sim.candidates[index] =
        (watcher_candidate_t){.name = host->name, .zone = host->zone};
    host->forward = forward_new(&forward_settings);
    host->sync = store_sync_new(&settings);
}

static void
start_host(size_t index)
{
    store_sync_fleet_t fleet = view_fleet(index);
    store_sync_step_t step =
        store_sync_start(view_sim.hosts[index].sync, &fleet);
    event_t event = {.kind = EVENT_SEND, .host = index};

    view_execute(index, &step);
    view_push(JUDGED_FROM_MS / 2 + (int64_t)view_draw(200), &event);
}

static void
draw_fleet(uint64_t seed)
{
    size_t i;

    for (i = 0; i < 4; i++) {
        (void)view_draw(seed + 1);
    }
    view_sim.zone_count = 3 + view_draw(3);
    if (view_draw(4) == 0) {
        view_sim.host_count = 3 + view_draw(ALL_WATCH_HOSTS - 2);
    }
    else {
        view_sim.host_count =
            ALL_WATCH_HOSTS + 1 + view_draw(VIEW_HOSTS_MAX - ALL_WATCH_HOSTS);
    }
    view_sim.bound_ms = view_sim.host_count <= ALL_WATCH_HOSTS ? 2000 : 3000;
    view_sim.contact_ms = view_sim.bound_ms + 1000;
    view_sim.first_fault_ms = VIEW_START_MS + FIRST_FAULT_MS;
}

/* Returns when the host can handle an event that is due now. */
static int64_t
ready_ms(const event_t *event)
{
    const host_t *host = &view_sim.hosts[event->host];
    const fault_t *pause = view_fault(event->host, FAULT_FREEZE);
    int64_t at_ms = host->busy_until_ms;

    if (event->kind == EVENT_CHANGE || event->kind == EVENT_STORE_ARRIVE ||
        event->kind == EVENT_STORE_EXPIRE) {
        return event->at_ms;
    }
    if (pause == NULL) {
        pause = view_fault(event->host, FAULT_STALL);
    }
    if (pause != NULL && pause->end_ms > at_ms) {
        at_ms = pause->end_ms;
    }
    return at_ms > event->at_ms ? at_ms : event->at_ms;
}

static void
make_change(uint64_t index)
{
    event_t reply = {.kind = EVENT_STORE_EXPIRE};
    size_t i;

    view_sim.change_count = index + 1;
    for (i = 0; i < view_sim.host_count; i++) {
        const host_t *host = &view_sim.hosts[i];

        if (host->at_store && !host->reading) {
            reply.host = i;
            reply.number = host->call;
            view_push(0, &reply);
        }
    }
}

static void
handle_event(const event_t *event)
{
    const fault_t *slow = view_fault(event->host, FAULT_SLOW);
    event_t next = {.kind = EVENT_SEND, .host = event->host};
    forward_event_t timer = {.kind = FORWARD_TIMER};

    if (slow != NULL && event->kind != EVENT_CHANGE &&
        event->kind != EVENT_STORE_ARRIVE &&
        event->kind != EVENT_STORE_EXPIRE) {
        view_sim.hosts[event->host].busy_until_ms =
            view_sim.now_ms + slow->detail;
    }
    switch (event->kind) {
    case EVENT_CHANGE:
        make_change(event->number);
        return;
    case EVENT_SEND:
        send_request(event->host,
                     event->detail > 0 ? event->detail : event->at_ms);
        next.detail = view_sim.now_ms + 100 + (int64_t)view_draw(200);
        view_push(next.detail - view_sim.now_ms, &next);
        return;
    case EVENT_FORWARD_TIMER:
        view_deliver(event->host, &timer);
        return;
    default:
        view_handle_transport(event);
        return;
    }
}

static void
close_all(void)
{
    size_t i;

    for (i = 0; i < view_sim.host_count; i++) {
        forward_free(view_sim.hosts[i].forward);
        store_sync_free(view_sim.hosts[i].sync);
    }
    event_queue_free(&view_sim.queue);
}

view_result_t
view_simulate(uint64_t seed)
{
    event_t event = {.kind = EVENT_CHANGE};
    size_t i;

    view_sim =
        (view_sim_t){.rng_state = seed,
                     .now_ms = VIEW_START_MS,
                     .queue = event_queue_of(sizeof(event_t), view_precedes)};
    draw_fleet(seed);
    for (i = 0; i < view_sim.host_count; i++) {
        open_host(i);
    }
    plan_changes();
    plan_faults();
    for (i = 0; i < view_sim.planned; i++) {
        event.number = i;
        view_push(view_sim.changes[i].at_ms - VIEW_START_MS, &event);
    }
    for (i = 0; i < view_sim.host_count; i++) {
        start_host(i);
    }
    while (view_pop(&event) && event.at_ms < VIEW_START_MS + END_MS) {
        int64_t at_ms;

        view_sim.now_ms = event.at_ms;
        at_ms = ready_ms(&event);
        if (at_ms > event.at_ms) {
            view_defer(at_ms, &event);
            continue;
        }
        handle_event(&event);
    }
    close_all();
    view_sim.result.hosts = (uint32_t)view_sim.host_count;
    view_sim.result.runners = (uint32_t)view_sim.runner_count;
    view_sim.result.bound_ms = view_sim.bound_ms;
    view_sim.result.calls_ms = FIRST_FAULT_MS;
    return view_sim.result;
}
