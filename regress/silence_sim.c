/* silence_sim.c - see silence_sim.h: hosts, requests and what ends them. */
#include <stdio.h>

#include "regress/forwarding.h"
#include "regress/silence_private.h"

enum {
    PROMPT_TOKENS = 8000,
    PARTS = 2,
    SHARED_PARTS = 8,
    ACCEPT_MS = 1600, /* that hosts accept streams while they drain */
    REPORT_MS = 500,
    REPORT_MIN_MS = 50,
    INTERVAL_HOSTS = 10,
    TIMER_MS = 100,
    SHORT_DEADLINE_MS = 600,
    LONG_DEADLINE_MS = 2500,
    STREAM_DEADLINE_MS = 25000,
};

silence_state_t silence;

uint64_t
silence_draw(uint64_t below)
{
    return sim_draw(&silence.rng_state, below);
}

int64_t
silence_draw_between(int64_t from, int64_t to)
{
    return from + (int64_t)silence_draw((uint64_t)(to - from + 1));
}

/* A request that ends at its deadline has not been ended by a silence. */
static void
count_end(const forward_action_t *action)
{
    request_t *request = &silence.requests[action->number];
    silence_result_t *result = &silence.result;
    bool aborted = action->kind == FORWARD_ACTION_ABORT;

    request->ended = true;
    if (action->u.refuse.reason == REFUSE_HARMFUL) {
        result->harmful++;
    }
    if (!aborted && action->u.refuse.not_run) {
        result->not_run++;
        return;
    }
    if (silence.now_ms >= request->deadline_ms) {
        result->timeouts++;
        return;
    }
    result->aborted += aborted ? 1 : 0;
    result->refused += aborted ? 0 : 1;
    if (request->lost) {
        result->ended_after_loss++;
    }
    else {
        result->ended_sound++;
    }
}

static void
handle_action(size_t host, const forward_action_t *action)
{
    switch (action->kind) {
    case FORWARD_ACTION_SEND:
        silence_send(action);
        return;
    case FORWARD_ACTION_CANCEL:
        silence_cancel(action);
        return;
    case FORWARD_ACTION_RELAY_HEAD:
        silence_pass_on(action);
        return;
    case FORWARD_ACTION_PROBE:
        silence_probe(host, action);
        return;
    case FORWARD_ACTION_COPY:
        silence_copy(host, action);
        return;
    case FORWARD_ACTION_FINISH:
    case FORWARD_ACTION_RELAY_RESPONSE:
        silence.requests[action->number].ended = true;
        silence.result.served++;
        return;
    case FORWARD_ACTION_REFUSE:
    case FORWARD_ACTION_ABORT:
        count_end(action);
        return;
    case FORWARD_ACTION_PUBLISH:
        silence.hosts[host].report_due = true;
        return;
    default:
        return;
    }
}

void
silence_deliver(size_t host, const forward_event_t *event)
{
    forward_actions_t actions = {0};
    size_t i;

    forward_step(silence.hosts[host].forward, silence.now_ms * US_PER_MS,
                 event, &actions);
    for (i = 0; i < actions.count; i++) {
        handle_action(host, &actions.items[i]);
    }
    forward_actions_free(&actions);
}

void
silence_deliver_all(const forward_event_t *event)
{
    size_t host;

    for (host = 0; host < silence.host_count; host++) {
        silence_deliver(host, event);
    }
}

void
silence_change_host(size_t host)
{
    forward_event_t event = {.kind = FORWARD_ROUTING};
    routing_t *routing = forwarding_routing(silence.version);
    size_t i;

    for (i = 0; i < routing->route_count; i++) {
        if (routing->routes[i].type != REQUEST_STREAM) {
            routing->routes[i].timeout_ms = LONG_DEADLINE_MS;
        }
    }
    event.u.routing = routing;
    silence_deliver(host, &event);
}

static void
start_host(size_t host)
{
    static const char *const zones[] = {"a", "b", "c"};
    forward_event_t event = {.kind = FORWARD_HOST_COUNT};
    char name[SIM_NAME_BYTES];
    size_t i;
    forward_settings_t settings = {
        .host = name,
        .zone = zones[host % (sizeof(zones) / sizeof(zones[0]))],
        .seed = host + 1,
        .limits = forwarding_limits(REVOKE_MS),
    };

    (void)snprintf(name, sizeof(name), "h%zu", host);
    silence.hosts[host].forward = forward_new(&settings);
    silence_change_host(host);
    event.u.hosts = (uint32_t)silence.host_count;
    silence_deliver(host, &event);
    for (i = 0; i < silence.runner_count; i++) {
        silence_register(host, i);
    }
}

/* Callers leave hosts that drain. */
static size_t
choose_host(void)
{
    size_t host = silence_draw(silence.host_count);

    while (silence.hosts[host].draining_since_ms != 0 &&
           silence.now_ms - silence.hosts[host].draining_since_ms >=
               ACCEPT_MS) {
        host = (host + 1) % silence.host_count;
    }
    return host;
}

static void
draw_request(request_t *request, size_t index, request_type_t type)
{
    int64_t deadline_ms = STREAM_DEADLINE_MS;

    if (type != REQUEST_STREAM) {
        deadline_ms =
            silence_draw(2) == 0 ? SHORT_DEADLINE_MS : LONG_DEADLINE_MS;
    }
    *request = (request_t){
        .type = type,
        .host = choose_host(),
        .deadline_ms = silence.now_ms + deadline_ms,
        .work_ms = type == REQUEST_STREAM ? silence_draw_between(500, 1000)
                                          : silence_draw_between(15, 30),
        .last_id = silence_draw_between(75, 125) - 1,
        .event_id = -1,
        .run = SIZE_MAX,
        .event_run = SIZE_MAX,
        .copy_runner = SIZE_MAX,
    };
    (void)snprintf(request->id, sizeof(request->id), "q%zu", index);
}

static void
add_request(request_type_t type)
{
    static const char *const paths[] = {[REQUEST_SAFE] = "/safe/x",
                                        [REQUEST_UNSAFE] = "/unsafe/x",
                                        [REQUEST_STREAM] = "/stream/x"};
    size_t index = silence.request_count;
    request_t *request = &silence.requests[index];
    uint64_t parts[PARTS] = {1 + silence_draw(SHARED_PARTS),
                             SHARED_PARTS + 1 + index};
    forward_event_t event = {.kind = FORWARD_REQUEST};

    draw_request(request, index, type);
    silence.request_count++;
    silence.result.requests[type]++;
    event.u.request = (forward_request_t){
        .number = index,
        .id = request->id,
        .host = "host.example",
        .path = paths[type],
        .key = index % 2 == 0 ? "k1" : "k2",
        .deadline_ms = (uint32_t)(request->deadline_ms - silence.now_ms),
        .prompt_tokens = type == REQUEST_STREAM ? PROMPT_TOKENS : 0,
        .affinity = index,
        .last_event_id = -1,
        .fingerprint = index + 1,
        .parts = parts,
        .part_count = type == REQUEST_STREAM ? PARTS : 0,
    };
    silence_deliver(request->host, &event);
}

static void
add_requests(void)
{
    int64_t at_ms = silence.now_ms - START_MS;

    if (at_ms >= DURATION_MS) {
        return;
    }
    if (at_ms / silence.stream_interval_ms !=
            (at_ms - TICK_MS) / silence.stream_interval_ms &&
        silence.stream_count < STREAMS_MAX) {
        silence.stream_count++;
        add_request(REQUEST_STREAM);
    }
    if (at_ms / silence.plain_interval_ms !=
            (at_ms - TICK_MS) / silence.plain_interval_ms &&
        silence.request_count < REQUESTS_MAX) {
        add_request(silence_draw(2) == 0 ? REQUEST_SAFE : REQUEST_UNSAFE);
    }
}

static void
send_report(size_t from)
{
    sim_report_t report;
    size_t to;

    silence.hosts[from].reports++;
    silence.hosts[from].report_due = false;
    sim_report_write(&report, silence.hosts[from].forward, from, 1,
                     silence.hosts[from].reports);
    for (to = 0; to < silence.host_count; to++) {
        if (to != from) {
            silence_deliver(to, &report.event);
        }
    }
    sim_report_free(&report);
}

static void
run_hosts(void)
{
    int64_t interval_ms =
        silence.host_count > INTERVAL_HOSTS
            ? REPORT_MS * (int64_t)silence.host_count / INTERVAL_HOSTS
            : REPORT_MS;
    size_t i;

    for (i = 0; i < silence.host_count; i++) {
        host_t *host = &silence.hosts[i];
        forward_event_t event = {.kind = FORWARD_STORE_CONTACT};

        event.u.contact.contact_us = silence.now_ms * US_PER_MS;
        silence_deliver(i, &event);
        event = (forward_event_t){.kind = FORWARD_TIMER};
        if (silence.now_ms % TIMER_MS == 0 ||
            forward_due_us(host->forward) <= silence.now_ms * US_PER_MS) {
            silence_deliver(i, &event);
        }
        if ((host->report_due && silence.now_ms % REPORT_MIN_MS == 0) ||
            (silence.now_ms + (int64_t)i * TICK_MS) % interval_ms < TICK_MS) {
            send_report(i);
        }
    }
}

silence_result_t
silence_simulate(uint64_t seed)
{
    size_t i;

    silence_draw_fleet(seed);
    silence.version = 1;
    for (i = 0; i < silence.host_count; i++) {
        start_host(i);
    }
    for (; silence.now_ms < START_MS + DURATION_MS + TAIL_MS;
         silence.now_ms += TICK_MS) {
        silence_cause_faults();
        silence_run_runners();
        silence_run_calls();
        run_hosts();
        add_requests();
    }
    for (i = 0; i < silence.request_count; i++) {
        silence.result.open += silence.requests[i].ended ? 0 : 1;
    }
    for (i = 0; i < silence.host_count; i++) {
        forward_free(silence.hosts[i].forward);
    }
    return silence.result;
}
