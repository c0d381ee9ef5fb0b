/* partition_sim.c - see partition_sim.h: fleet, faults, reports and clock. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "regress/partition_private.h"

enum {
    ZONES = 3,
    DURATION_MS = 30000,
    TICK_MS = 10,
    CONTACT_MS = 100,
    REPORT_MS = 500,
    REPORT_GAP_MS = 20,
    INTERVAL_HOSTS = 10, /* the intervals hold up to so many */
    DOWN_MS = 1500,
    DRAIN_MS = 6000,
    RESTART_MS = 1200,
    ROUTING_MS = 2500,
    REQUESTS_MAX = 1200,
};

partition_state_t cut_sim;

uint64_t
cut_draw(uint64_t below)
{
    cut_sim.rng_state =
        cut_sim.rng_state * 6364136223846793005U + 1442695040888963407U;
    return below > 0 ? (cut_sim.rng_state >> 33) % below : 0;
}

cut_t *
cut_of_host(size_t host)
{
    size_t i;

    for (i = 0; i < cut_sim.cut_count; i++) {
        cut_t *cut = &cut_sim.cuts[i];

        if (cut->hosts[host] && cut_sim.now_ms >= cut->start_ms &&
            cut_sim.now_ms < cut->end_ms) {
            return cut;
        }
    }
    return NULL;
}

/* Drawn apart, so that the other draws of a seed stay as they are. */
cut_t *
cut_of_path(size_t host, size_t runner)
{
    uint64_t hash = ((uint64_t)runner + 1) * 0x9e3779b97f4a7c15U;

    return (hash >> 33) % CUT_PERCENT < cut_sim.reached_percent
               ? NULL
               : cut_of_host(host);
}

static void
handle_action(size_t host, const forward_action_t *action)
{
    switch (action->kind) {
    case FORWARD_ACTION_SEND:
        cut_send(action->number, &action->u.send);
        return;
    case FORWARD_ACTION_CANCEL:
        cut_cancel(action->number, action->u.attempt);
        return;
    case FORWARD_ACTION_RELAY_HEAD:
    case FORWARD_ACTION_RELAY_RESPONSE:
    case FORWARD_ACTION_FINISH:
    case FORWARD_ACTION_REFUSE:
    case FORWARD_ACTION_ABORT:
        cut_answer(action->number, action);
        return;
    case FORWARD_ACTION_PROBE:
        cut_probe(host, action->u.probe.runner, action->u.probe.timeout_ms);
        return;
    case FORWARD_ACTION_PUBLISH:
        cut_sim.hosts[host].report_due = true;
        return;
    default:
        return;
    }
}

void
cut_deliver(size_t host, const forward_event_t *event)
{
    forward_actions_t actions = {0};
    size_t i;

    if (!cut_sim.hosts[host].up) {
        return;
    }
    forward_step(cut_sim.hosts[host].forward, cut_sim.now_ms * CUT_US_PER_MS,
                 event, &actions);
    for (i = 0; i < actions.count; i++) {
        handle_action(host, &actions.items[i]);
    }
    forward_actions_free(&actions);
}

static void
register_runner(size_t host, size_t index)
{
    const cut_runner_t *runner = &cut_sim.runners[index];
    static const char *const zones[ZONES] = {"a", "b", "c"};
    forward_event_t event = {.kind = FORWARD_RUNNER_REGISTERED};

    event.u.runner = (registration_t){.id = runner->name,
                                      .service = runner->engine ? "r" : "s",
                                      .address = runner->address,
                                      .zone = zones[index % ZONES],
                                      .version = "v1",
                                      .slots = runner->slots,
                                      .started_ms = runner->started_ms};
    cut_deliver(host, &event);
}

static void
announce_hosts(size_t host)
{
    forward_host_t items[CUT_HOSTS_MAX];
    char addresses[CUT_HOSTS_MAX][CUT_NAME_BYTES];
    forward_event_t event = {.kind = FORWARD_HOST_COUNT,
                             .u.hosts = (uint32_t)cut_sim.host_count};
    size_t i;

    cut_deliver(host, &event);
    for (i = 0; i < cut_sim.host_count; i++) {
        (void)snprintf(addresses[i], CUT_NAME_BYTES, "10.1.0.%zu:80", i + 1);
        items[i] = (forward_host_t){.name = cut_sim.hosts[i].name,
                                    .address = addresses[i],
                                    .zone = cut_sim.hosts[i].zone};
    }
    event.kind = FORWARD_HOSTS;
    event.u.host_list =
        (forward_hosts_t){.items = items, .count = cut_sim.host_count};
    cut_deliver(host, &event);
}

static void
touch_store(size_t host)
{
    forward_event_t event = {.kind = FORWARD_STORE_CONTACT};

    event.u.contact.contact_us = cut_sim.now_ms * CUT_US_PER_MS;
    cut_deliver(host, &event);
}

/* The callers' deadlines are the shorter ones. */
static routing_t *
routing_with_deadlines(void)
{
    routing_t *routing = forwarding_routing(cut_sim.version);
    size_t i;

    for (i = 0; i < routing->route_count; i++) {
        if (routing->routes[i].type != REQUEST_STREAM) {
            routing->routes[i].timeout_ms = CUT_DEADLINE_MAX_MS;
        }
    }
    return routing;
}

static void
start_host(size_t index)
{
    cut_host_t *host = &cut_sim.hosts[index];
    forward_event_t event = {.kind = FORWARD_ROUTING};
    forward_settings_t settings = {
        .host = host->name,
        .zone = host->zone,
        .seed = index + 1,
        .limits = {.revoke_ms = 5000,
                   .registry_ms = 2000,
                   .serve_ms = 7300,
                   .requests_max = REQUESTS_MAX,
                   .retries = {.ratio_permille = 800,
                               .fixed = 150,
                               .window_us = (int64_t)10000 * CUT_US_PER_MS}}};
    size_t i;

    host->forward = forward_new(&settings);
    host->incarnation++;
    host->reports = 0;
    host->up = true;
    event.u.routing = routing_with_deadlines();
    cut_deliver(index, &event);
    touch_store(index);
    announce_hosts(index);
    event.kind = FORWARD_REGISTRY_BEGIN;
    cut_deliver(index, &event);
    for (i = 0; i < cut_sim.runner_count; i++) {
        register_runner(index, i);
    }
    event.kind = FORWARD_REGISTRY_END;
    cut_deliver(index, &event);
}

static void
stop_host(size_t index)
{
    cut_host_t *host = &cut_sim.hosts[index];

    if (!host->up) {
        return;
    }
    cut_host_lost(index);
    forward_free(host->forward);
    host->forward = NULL;
    host->up = false;
    host->unsettled_until_ms = cut_sim.now_ms + DOWN_MS + CUT_CONTACT_MS;
    cut_push(DOWN_MS, CUT_EVENT_BOOT, index, 0);
}

static void
announce_exit(size_t index)
{
    forward_event_t event = {.kind = FORWARD_PEER_REPORT,
                             .u.peer.host = cut_sim.hosts[index].name};
    size_t i;

    for (i = 0; i < cut_sim.host_count; i++) {
        cut_deliver(i, &event);
    }
}

static void
drain_host(size_t index)
{
    forward_event_t event = {.kind = FORWARD_DRAIN};

    if (!cut_sim.hosts[index].up) {
        return;
    }
    cut_sim.hosts[index].unsettled_until_ms = INT64_MAX;
    cut_deliver(index, &event);
    cut_push(DRAIN_MS, CUT_EVENT_EXIT, index, 0);
}

static void
crash_runner(size_t index)
{
    cut_runner_t *runner = &cut_sim.runners[index];

    if (!runner->up) {
        return;
    }
    ck_assert_uint_lt(cut_sim.result.crashes, CUT_CRASHES_MAX);
    cut_sim.crashes_ms[cut_sim.result.crashes] = cut_sim.now_ms;
    cut_sim.result.crashes++;
    runner->up = false;
    cut_runner_lost(index);
    cut_push(RESTART_MS, CUT_EVENT_RESTART, index, 0);
}

static void
restart_runner(size_t index)
{
    size_t host;

    cut_sim.runners[index].up = true;
    cut_sim.runners[index].started_ms = cut_sim.now_ms;
    for (host = 0; host < cut_sim.host_count; host++) {
        register_runner(host, index);
    }
}

static void
replace_routing(void)
{
    size_t host;

    cut_sim.version++;
    for (host = 0; host < cut_sim.host_count; host++) {
        forward_event_t event = {.kind = FORWARD_ROUTING};

        if (cut_sim.hosts[host].up) {
            event.u.routing = routing_with_deadlines();
            cut_deliver(host, &event);
        }
    }
    cut_push(ROUTING_MS, CUT_EVENT_ROUTING, 0, 0);
}

static void
tick_host(size_t index)
{
    cut_host_t *host = &cut_sim.hosts[index];
    int64_t scale = cut_sim.host_count > INTERVAL_HOSTS
                        ? (int64_t)cut_sim.host_count
                        : INTERVAL_HOSTS;
    int64_t age_ms = cut_sim.now_ms - host->reported_ms;
    forward_event_t event = {.kind = FORWARD_TIMER};

    if (!host->up) {
        return;
    }
    if (cut_sim.now_ms % CONTACT_MS == 0) {
        touch_store(index);
    }
    if (forward_due_us(host->forward) <= cut_sim.now_ms * CUT_US_PER_MS) {
        cut_deliver(index, &event);
    }
    if (age_ms >= REPORT_MS * scale / INTERVAL_HOSTS ||
        (host->report_due &&
         age_ms >= REPORT_GAP_MS * scale / INTERVAL_HOSTS)) {
        cut_send_report(index);
    }
}

static void
arrive(request_type_t type)
{
    bool stream = type == REQUEST_STREAM;
    int64_t interval_us =
        stream ? cut_sim.stream_interval_us : cut_sim.plain_interval_us;

    if (cut_sim.now_ms - CUT_START_MS >= CUT_ARRIVALS_END_MS) {
        return;
    }
    /* Half of the plain requests are unsafe. */
    cut_push((int64_t)cut_draw((uint64_t)interval_us * 2 + CUT_US_PER_MS) /
                 CUT_US_PER_MS,
             CUT_EVENT_ARRIVAL, type, 0);
    if (!stream) {
        type = cut_draw(2) == 0 ? REQUEST_SAFE : REQUEST_UNSAFE;
    }
    cut_arrive(type);
}

static void
handle_event(const cut_event_t *event)
{
    switch (event->kind) {
    case CUT_EVENT_ARRIVAL:
        arrive((request_type_t)event->subject);
        return;
    case CUT_EVENT_RETRY:
        cut_retry(event->subject);
        return;
    case CUT_EVENT_GONE:
        cut_caller_gone(event->subject);
        return;
    case CUT_EVENT_START:
        cut_path_lost(&cut_sim.cuts[event->subject]);
        return;
    case CUT_EVENT_END:
        cut_path_healed(&cut_sim.cuts[event->subject]);
        return;
    case CUT_EVENT_KILL:
        cut_sim.result.kills++;
        stop_host(event->subject);
        return;
    case CUT_EVENT_EXIT:
        stop_host(event->subject);
        announce_exit(event->subject);
        return;
    case CUT_EVENT_DRAIN:
        cut_sim.result.drains++;
        drain_host(event->subject);
        return;
    case CUT_EVENT_BOOT:
        start_host(event->subject);
        return;
    case CUT_EVENT_CRASH:
        crash_runner(event->subject);
        return;
    case CUT_EVENT_RESTART:
        restart_runner(event->subject);
        return;
    case CUT_EVENT_ROUTING:
        replace_routing();
        return;
    default:
        cut_handle_path_event(event);
        return;
    }
}

static void
simulate_ms(void)
{
    cut_event_t event;
    size_t i;

    while (cut_pop(&event)) {
        handle_event(&event);
    }
    if (cut_sim.now_ms % TICK_MS != 0) {
        return;
    }
    for (i = 0; i < cut_sim.host_count; i++) {
        tick_host(i);
    }
    cut_sample_helpers();
}

static void
write_cut_result(const cut_t *cut, partition_cut_result_t *result)
{
    static const char *const kinds[] = {[CUT_HANGS] = "hangs",
                                        [CUT_RESETS] = "resets",
                                        [CUT_REFUSES_NEW] = "refuses-new",
                                        [CUT_ONE_WAY] = "one-way"};
    static const char *const scopes[] = {[CUT_ONE_HOST] = "one",
                                         [CUT_SOME_HOSTS] = "some",
                                         [CUT_MOST_HOSTS] = "most",
                                         [CUT_ZONE] = "zone"};
    uint64_t sum_ms = 0;
    size_t i;

    result->kind = kinds[cut->kind];
    result->scope = scopes[cut->scope];
    result->length_ms = (uint32_t)(cut->end_ms - cut->start_ms);
    for (i = 0; i < cut_sim.host_count; i++) {
        uint32_t ms = (uint32_t)(cut->direct_ms[i] - cut->end_ms);

        result->hosts += cut->hosts[i] ? 1 : 0;
        if (cut->direct_ms[i] == 0) {
            continue;
        }
        sum_ms += ms;
        result->direct_hosts++;
        result->direct_max_ms =
            ms > result->direct_max_ms ? ms : result->direct_max_ms;
    }
    result->direct_mean_ms = result->direct_hosts > 0
                                 ? (uint32_t)(sum_ms / result->direct_hosts)
                                 : 0;
}

partition_result_t
partition_simulate(uint64_t seed, uint32_t reached_percent)
{
    size_t i;

    cut_draw_all(seed);
    cut_sim.reached_percent = reached_percent;
    for (i = 0; i < cut_sim.host_count; i++) {
        start_host(i);
    }
    for (; cut_sim.now_ms < CUT_START_MS + DURATION_MS; cut_sim.now_ms++) {
        simulate_ms();
    }
    cut_count_results();
    cut_sim.result.hosts = (uint32_t)cut_sim.host_count;
    cut_sim.result.engines = (uint32_t)cut_sim.engine_count;
    cut_sim.result.plain =
        (uint32_t)(cut_sim.runner_count - cut_sim.engine_count);
    cut_sim.result.cut_count = cut_sim.cut_count;
    for (i = 0; i < cut_sim.cut_count; i++) {
        write_cut_result(&cut_sim.cuts[i], &cut_sim.result.cuts[i]);
    }
    for (i = 0; i < cut_sim.host_count; i++) {
        if (cut_sim.hosts[i].up) {
            forward_free(cut_sim.hosts[i].forward);
        }
    }
    free(cut_sim.callers);
    free(cut_sim.hops);
    free(cut_sim.legs);
    event_queue_free(&cut_sim.queue);
    return cut_sim.result;
}
