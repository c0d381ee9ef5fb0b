/* view_store.c - the store of view_sim.h's simulation, calls of hosts to it,
 * and polls between hosts. */
#include <stdlib.h>
#include <string.h>

#include "regress/view_private.h"

static void
apply_change(size_t host, const change_t *change)
{
    const runner_t *runner = &view_sim.runners[change->runner];
    forward_event_t event = {0};

    switch (change->kind) {
    case CHANGE_GONE:
        event.kind = FORWARD_RUNNER_DEREGISTERED;
        event.u.deregistered_id = runner->id;
        break;
    case CHANGE_ROUTING:
        event.kind = FORWARD_ROUTING;
        event.u.routing = forwarding_routing(change->version);
        break;
    default:
        event.kind = FORWARD_RUNNER_REGISTERED;
        event.u.runner = (registration_t){
            .id = runner->id,
            .service = "s",
            .address = runner->address,
            .zone = change->runner % 2 == 0 ? "a" : "b",
            .version = "v1",
            .slots = 32,
            .draining = change->kind == CHANGE_DRAINS,
        };
        break;
    }
    view_deliver(host, &event);
}

static void
apply_until(size_t host, int64_t revision)
{
    host_t *self = &view_sim.hosts[host];

    for (; self->revision < revision; self->revision++) {
        apply_change(host, &view_sim.changes[self->revision]);
    }
}

/* The last change of each runner, and the last routing table. */
static void
load(size_t host, int64_t revision)
{
    host_t *self = &view_sim.hosts[host];
    forward_event_t event = {.kind = FORWARD_REGISTRY_BEGIN};
    int64_t i;
    int64_t j;

    view_deliver(host, &event);
    for (i = 0; i < revision; i++) {
        const change_t *change = &view_sim.changes[i];

        for (j = i + 1; j < revision; j++) {
            const change_t *later = &view_sim.changes[j];

            if ((later->kind == CHANGE_ROUTING) ==
                    (change->kind == CHANGE_ROUTING) &&
                (change->kind == CHANGE_ROUTING ||
                 later->runner == change->runner)) {
                break;
            }
        }
        if (j == revision && change->kind != CHANGE_GONE) {
            apply_change(host, change);
        }
    }
    event.kind = FORWARD_REGISTRY_END;
    view_deliver(host, &event);
    self->revision = revision;
    self->read_revision = revision;
}

store_sync_fleet_t
view_fleet(size_t host)
{
    forward_limits_t limits = view_limits();

    return (store_sync_fleet_t){
        .now_us = view_sim.now_ms * VIEW_US_PER_MS,
        .peers_ready = true,
        .contact_age_max_ms =
            follower_contact_age_max_ms(forward_view_confirm_ms(&limits)),
        .hosts = view_sim.candidates,
        .count = view_sim.host_count,
        .self = &view_sim.candidates[host],
        .random = view_draw(UINT32_MAX),
    };
}

static void
send_call(size_t host, bool reading, uint32_t wait_ms)
{
    host_t *self = &view_sim.hosts[host];
    event_t event = {.kind = EVENT_STORE_ARRIVE, .host = host};

    self->call++;
    self->reading = reading;
    self->wait_ms = wait_ms;
    self->after = self->revision;
    self->watch_ended = false;
    self->at_store = false;
    if (view_sim.now_ms < view_sim.first_fault_ms &&
        view_sim.now_ms >= VIEW_START_MS) {
        view_sim.result.store_calls++;
    }
    event.number = self->call;
    view_push(VIEW_ONE_WAY_MS, &event);
    event.kind = EVENT_CALL_TIMEOUT;
    view_push(VIEW_CALL_MS + wait_ms, &event);
}

static void
reply_of_store(size_t host, int64_t revision)
{
    event_t event = {.kind = EVENT_STORE_REPLY,
                     .host = host,
                     .number = view_sim.hosts[host].call,
                     .detail = revision};

    view_sim.hosts[host].at_store = false;
    view_push(VIEW_ONE_WAY_MS, &event);
}

static void
arrive_at_store(size_t host)
{
    host_t *self = &view_sim.hosts[host];
    event_t event = {.host = host, .number = self->call};

    if (view_fault(host, FAULT_CUT) != NULL) {
        return;
    }
    if (view_fault(host, FAULT_REJECTED) != NULL) {
        reply_of_store(host, -1);
        return;
    }
    if (self->reading || (int64_t)view_sim.change_count > self->after) {
        event.kind = EVENT_STORE_EXPIRE;
        view_push(VIEW_STORE_MS, &event);
        self->at_store = true;
        return;
    }
    self->at_store = true;
    event.kind = EVENT_STORE_EXPIRE;
    view_push(self->wait_ms, &event);
}

static void
answer_poll(size_t host, poll_t *poll)
{
    host_t *self = &view_sim.hosts[host];
    event_t event = {.kind = EVENT_REPLY,
                     .host = poll->host,
                     .peer = host,
                     .number = poll->number,
                     .detail = self->revision,
                     .known = poll->after >= self->read_revision};

    event.age_ms =
        (uint32_t)(forward_contact_age_us(self->forward,
                                          view_sim.now_ms * VIEW_US_PER_MS) /
                   VIEW_US_PER_MS);
    poll->held = false;
    view_push(VIEW_ONE_WAY_MS, &event);
}

static void
answer_all_polls(size_t host)
{
    size_t i;

    for (i = 0; i < view_sim.host_count; i++) {
        if (view_sim.hosts[host].polls[i].held) {
            answer_poll(host, &view_sim.hosts[host].polls[i]);
        }
    }
}

static void
handle_poll(const event_t *event)
{
    host_t *self = &view_sim.hosts[event->host];
    poll_t *poll = &self->polls[event->peer];
    event_t expiry = {.kind = EVENT_POLL_EXPIRE,
                      .host = event->host,
                      .peer = event->peer,
                      .number = event->number};
    uint32_t hold_ms = follower_poll_hold_ms(
        forward_contact_age_us(self->forward,
                               view_sim.now_ms * VIEW_US_PER_MS),
        view_fleet(event->host).contact_age_max_ms);

    *poll = (poll_t){.held = true,
                     .host = event->peer,
                     .number = event->number,
                     .after = event->detail,
                     .expires_ms = view_sim.now_ms + hold_ms};
    if (poll->after != self->revision || hold_ms == 0) {
        answer_poll(event->host, poll);
        return;
    }
    view_push(hold_ms, &expiry);
}

void
view_execute(size_t host, const store_sync_step_t *step)
{
    host_t *self = &view_sim.hosts[host];
    event_t event = {.kind = EVENT_TIMER, .host = host};

    if (step->store == SYNC_STORE_LOST) {
        forward_event_t lost = {.kind = FORWARD_STORE_LOST};

        view_deliver(host, &lost);
    }
    if (step->has_contact) {
        forward_event_t contact = {
            .kind = FORWARD_STORE_CONTACT,
            .u.contact = {.contact_us = step->contact_us}};

        view_deliver(host, &contact);
    }
    if (step->ends_watch) {
        self->watch_ended = true;
    }
    if (step->timer_ms > 0 || step->call != SYNC_NONE) {
        self->timer++;
        event.number = self->timer;
        if (step->timer_ms > 0) {
            view_push(step->timer_ms, &event);
        }
    }
    switch (step->call) {
    case SYNC_NONE:
        return;
    case SYNC_READ:
        send_call(host, true, 0);
        return;
    case SYNC_WATCH:
        send_call(host, false, VIEW_BEGIN_MS);
        return;
    case SYNC_POLL:
        event = (event_t){.kind = EVENT_POLL,
                          .host = (size_t)strtoul(step->host + 1, NULL, 10),
                          .peer = host,
                          .number = step->poll_number,
                          .detail = self->revision};
        view_push(VIEW_ONE_WAY_MS, &event);
        return;
    }
}

static void
announce_store(size_t host)
{
    forward_event_t event = {.kind = FORWARD_STORE_REGAINED};

    if (store_sync_is_store_lost(view_sim.hosts[host].sync)) {
        view_deliver(host, &event);
    }
}

static void
handle_store_result(size_t host, int64_t revision)
{
    host_t *self = &view_sim.hosts[host];
    store_sync_fleet_t fleet;
    store_sync_step_t step;
    bool changes = revision > self->revision;
    store_sync_result_t result = revision >= 0 ? SYNC_OK : SYNC_FAILED;
    event_t next = {.kind = EVENT_NEXT_POLL, .host = host};
    uint64_t call = self->call;

    if (revision >= 0) {
        announce_store(host);
    }
    if (self->reading && revision >= 0) {
        load(host, revision);
    }
    else if (revision >= 0) {
        apply_until(host, revision);
    }
    if (revision >= 0 && (self->reading || changes)) {
        answer_all_polls(host);
    }
    fleet = view_fleet(host);
    step = self->reading
               ? store_sync_read_done(self->sync, result, &fleet)
               : store_sync_watch_done(self->sync, result, changes, &fleet);
    if (!self->reading && result == SYNC_OK && !step.ends_watch) {
        next.number = call;
        next.detail =
            changes ? VIEW_WATCH_MS / KV_WATCH_CHANGED_PART : VIEW_WATCH_MS;
        view_push(changes ? VIEW_PAUSE_MS : 0, &next);
    }
    view_execute(host, &step);
}

static void
handle_reply(const event_t *event)
{
    host_t *self = &view_sim.hosts[event->host];
    store_sync_fleet_t fleet = view_fleet(event->host);
    store_sync_step_t step;

    if (!store_sync_is_polling(self->sync, view_sim.hosts[event->peer].name,
                               event->number)) {
        return;
    }
    if (event->known) {
        announce_store(event->host);
    }
    if (event->known && event->detail > self->revision) {
        apply_until(event->host, event->detail);
        answer_all_polls(event->host);
    }
    step = store_sync_poll_done(
        self->sync, event->known ? SYNC_REPLY_CHANGES : SYNC_REPLY_UNKNOWN,
        event->age_ms, &fleet);
    view_execute(event->host, &step);
}

static bool
is_current_call(const event_t *event)
{
    const host_t *self = &view_sim.hosts[event->host];

    return event->number == self->call && !self->watch_ended;
}

void
view_handle_transport(const event_t *event)
{
    host_t *self = &view_sim.hosts[event->host];
    store_sync_fleet_t fleet;
    store_sync_step_t step;

    switch (event->kind) {
    case EVENT_STORE_ARRIVE:
        if (is_current_call(event)) {
            arrive_at_store(event->host);
        }
        return;
    case EVENT_STORE_EXPIRE:
        if (is_current_call(event) && self->at_store &&
            view_fault(event->host, FAULT_CUT) == NULL) {
            reply_of_store(event->host, (int64_t)view_sim.change_count);
        }
        return;
    case EVENT_STORE_REPLY:
        if (is_current_call(event) &&
            view_fault(event->host, FAULT_CUT) == NULL) {
            self->call++;
            handle_store_result(event->host, event->detail);
        }
        return;
    case EVENT_CALL_TIMEOUT:
        if (is_current_call(event)) {
            self->call++;
            handle_store_result(event->host, -1);
        }
        return;
    case EVENT_NEXT_POLL:
        if (is_current_call(event)) {
            send_call(event->host, false, (uint32_t)event->detail);
        }
        return;
    case EVENT_POLL:
        handle_poll(event);
        return;
    case EVENT_POLL_EXPIRE:
        if (self->polls[event->peer].held &&
            self->polls[event->peer].number == event->number) {
            answer_poll(event->host, &self->polls[event->peer]);
        }
        return;
    case EVENT_REPLY:
        handle_reply(event);
        return;
    case EVENT_CONFIRM:
        fleet = view_fleet(event->host);
        step = store_sync_confirm(self->sync, &fleet);
        view_execute(event->host, &step);
        return;
    case EVENT_TIMER:
        if (event->number == self->timer) {
            fleet = view_fleet(event->host);
            step = store_sync_timer(self->sync, &fleet);
            view_execute(event->host, &step);
        }
        return;
    default:
        return;
    }
}
