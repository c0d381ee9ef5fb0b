/* suspicion_sim.c - see suspicion_sim.h; its hosts and callers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "regress/suspicion_private.h"

enum {
    PERCENT = 100,
    HOSTS_DEFAULT = 7,
    ENGINES_DEFAULT = 36,
    ZONES_DEFAULT = 3,
    REQUEST_INTERVAL_MS = 100,
    REPORT_INTERVAL_MS = 500,
    HARMFUL_RUN_MS = 20,
    SESSIONS_DEFAULT = 8,
    DELAYED_ONE_IN = 3,
    RESTART_MS = 1200,
    PARTITIONED_HOST = 3,
    PARTITION_START_MS = 10000,
    PARTITION_END_MS = 20000,
    OUTAGE_START_MS = 5000,
    HARMFUL_CONTENT = 7, /* and above: fingerprints of the harmful contents */
    POPULAR_CONTENT = 999,
    HARMLESS_CONTENT = 1000, /* and above: each of one request */
    SENT_SIZE_INITIAL = 256,
};

simulation_t sim;

uint64_t
sim_random_below(uint64_t below)
{
    sim.rng_state =
        sim.rng_state * 6364136223846793005U + 1442695040888963407U;
    return (sim.rng_state >> 33) % below;
}

static bool
is_due(int64_t interval_ms)
{
    return interval_ms > 0 && sim.now_ms % interval_ms == 0;
}

bool
sim_is_partitioned(size_t host)
{
    int64_t at_ms = sim.now_ms - SIM_START_MS;

    return sim.scenario.host_partitioned && host == PARTITIONED_HOST &&
           at_ms >= PARTITION_START_MS && at_ms < PARTITION_END_MS;
}

bool
sim_is_store_away(void)
{
    int64_t at_ms = sim.now_ms - SIM_START_MS;

    return at_ms >= OUTAGE_START_MS &&
           at_ms < OUTAGE_START_MS + sim.scenario.store_outage_ms;
}

const sim_sent_t *
sim_find_sent(uint64_t number)
{
    return &sim.sent[(number & ~SIM_RESENT_BIT) - 1];
}

static void
count_refusal(size_t host, const forward_action_t *action)
{
    const sim_sent_t *sent = sim_find_sent(action->number);
    /* The caller of a partitioned host does not get its refusals. */
    bool blamed =
        action->u.refuse.reason == REFUSE_HARMFUL && !sim_is_partitioned(host);

    if (sent->harmful) {
        sim.result.refused_harmful += blamed ? 1 : 0;
        return;
    }
    if ((action->number & SIM_RESENT_BIT) == 0 &&
        (sim_is_partitioned(host) ||
         (sim.scenario.callers_resend && !blamed))) {
        sim.resend =
            xrealloc(sim.resend, sim.resend_count + 1, sizeof(*sim.resend));
        sim.resend[sim.resend_count] = action->number;
        sim.resend_count++;
        return;
    }
    sim.result.failed++;
    sim.result.refused_harmless += blamed ? 1 : 0;
}

static void
count_log_line(const forward_action_t *action)
{
    const char *fingerprint = strstr(action->u.log.text, "fingerprint=");

    if (strcmp(action->u.log.event, "suspect-cleared") == 0 &&
        fingerprint != NULL &&
        strtoull(fingerprint + strlen("fingerprint="), NULL, 16) <
            HARMFUL_CONTENT + SIM_CONTENTS_MAX) {
        sim.result.cleared_harmful++;
    }
}

static void
handle_action(size_t host, const forward_action_t *action)
{
    switch (action->kind) {
    case FORWARD_ACTION_SEND:
        sim_start_run(host, action);
        return;
    case FORWARD_ACTION_CANCEL:
        sim_cancel_run(host, action);
        return;
    case FORWARD_ACTION_REFUSE:
    case FORWARD_ACTION_ABORT:
        count_refusal(host, action);
        return;
    case FORWARD_ACTION_FINISH:
        sim.result.completed++;
        return;
    case FORWARD_ACTION_LOG:
        count_log_line(action);
        return;
    case FORWARD_ACTION_PUBLISH:
        sim.hosts[host].report_due = true;
        return;
    default:
        return;
    }
}

void
sim_deliver_event(size_t host, const forward_event_t *event)
{
    forward_actions_t actions = {0};
    size_t i;

    forward_step(sim.hosts[host].forward, sim.now_ms * SIM_US_PER_MS, event,
                 &actions);
    for (i = 0; i < actions.count; i++) {
        handle_action(host, &actions.items[i]);
    }
    forward_actions_free(&actions);
}

static void
start_host(size_t host)
{
    forward_event_t event = {.kind = FORWARD_ROUTING};
    char name[SIM_NAME_BYTES];
    size_t i;

    (void)snprintf(name, sizeof(name), "h%zu", host);
    sim.hosts[host] =
        (sim_host_t){.forward = forwarding_open_host(name),
                     .incarnation = sim.hosts[host].incarnation + 1,
                     .start_ms = sim.now_ms};
    event.u.routing = forwarding_routing(1);
    sim_deliver_event(host, &event);
    event = (forward_event_t){.kind = FORWARD_HOST_COUNT,
                              .u.hosts = (uint32_t)sim.scenario.hosts};
    sim_deliver_event(host, &event);
    for (i = 0; i < sim.scenario.engines; i++) {
        sim_register_engine(host, i);
    }
}

/* The host forgets everything, and its callers leave. */
static void
restart_host(size_t host)
{
    size_t i;

    for (i = 0; i < sim.run_count; i++) {
        if (sim.runs[i].host == host) {
            sim.runs[i].active = false;
        }
    }
    forward_free(sim.hosts[host].forward);
    start_host(host);
}

static const char *
choose_path(const sim_sent_t *sent)
{
    if (sim.scenario.plain) {
        return "/safe/x";
    }
    return sent->harmful && sim.scenario.harmful_once ? "/once/x"
                                                      : "/stream/x";
}

/* Callers of a harmful content change the host together, if they stay. */
static size_t
choose_host(const sim_sent_t *sent)
{
    int64_t sticky_ms = sim.scenario.sticky_ms;
    int64_t turn = sticky_ms > 0 ? (sim.now_ms - SIM_START_MS) / sticky_ms : 0;

    if (!sent->harmful || sticky_ms == 0 ||
        (sim.scenario.sticky_first && turn > 0)) {
        return sim_random_below(sim.scenario.hosts);
    }
    return (size_t)(sim.scenario.seed + sent->content + (uint64_t)turn) %
           sim.scenario.hosts;
}

static void
send_request(uint64_t number, size_t host)
{
    const sim_sent_t *sent = sim_find_sent(number);
    forward_event_t event = {.kind = FORWARD_REQUEST};
    uint64_t parts[SIM_PARTS_MAX];
    uint32_t part_count = sim_list_parts(sent, parts);

    event.u.request = (forward_request_t){
        .number = number,
        .id = "q",
        .host = "host.example",
        .path = choose_path(sent),
        .key = "k1",
        .prompt_tokens = 8000,
        .affinity = sent->number,
        .last_event_id = -1,
        .fingerprint = sim.scenario.harmful_part
                           ? number + HARMLESS_CONTENT
                           : sent->content + HARMFUL_CONTENT,
        .parts = parts,
        .part_count = part_count,
    };
    sim_deliver_event(host, &event);
}

static uint64_t
choose_content(uint64_t number, bool harmful)
{
    if (harmful) {
        return sim_random_below(sim.scenario.harmful_contents);
    }
    if (sim.scenario.popular_percent > 0 &&
        sim_random_below(PERCENT) < sim.scenario.popular_percent) {
        return POPULAR_CONTENT;
    }
    return HARMLESS_CONTENT + number;
}

static void
send_new_request(bool harmful)
{
    uint64_t number = sim.sent_count + 1;
    sim_sent_t *sent;

    if (sim.sent_count == sim.sent_size) {
        sim.sent_size =
            sim.sent_size == 0 ? SENT_SIZE_INITIAL : 2 * sim.sent_size;
        sim.sent = xrealloc(sim.sent, sim.sent_size, sizeof(*sim.sent));
    }
    sent = &sim.sent[sim.sent_count];
    *sent = (sim_sent_t){.number = number,
                         .content = choose_content(number, harmful),
                         .harmful = harmful,
                         .sent_ms = sim.now_ms};
    sim_draw_parts(sent);
    sent->host = choose_host(sent);
    sim.sent_count++;
    send_request(number, sent->host);
}

/* Sends what failed in the last tick again, to other hosts. */
static void
resend_requests(void)
{
    uint64_t *numbers = sim.resend;
    size_t count = sim.resend_count;
    size_t i;

    sim.resend = NULL;
    sim.resend_count = 0;
    for (i = 0; i < count; i++) {
        size_t host = (sim_find_sent(numbers[i])->host + 1 +
                       sim_random_below(sim.scenario.hosts - 1)) %
                      sim.scenario.hosts;

        send_request(numbers[i] | SIM_RESENT_BIT, host);
    }
    free(numbers);
}

/* Delivers the report to all others and frees it. */
static void
deliver_report(sim_report_t *report)
{
    char name[SIM_NAME_BYTES];
    forward_event_t event = {.kind = FORWARD_PEER_REPORT};
    size_t to;

    (void)snprintf(name, sizeof(name), "h%zu", report->from);
    event.u.peer.host = name;
    event.u.peer.placements = &report->placements;
    for (to = 0; to < sim.scenario.hosts; to++) {
        if (to != report->from &&
            (sim.scenario.reports_lost_percent == 0 ||
             sim_random_below(PERCENT) >= sim.scenario.reports_lost_percent)) {
            sim_deliver_event(to, &event);
        }
    }
    arena_free(&report->arena);
}

static void
send_report(size_t from)
{
    sim_report_t report = {.from = from};

    sim.hosts[from].reports++;
    sim.hosts[from].report_due = false;
    report.placements.incarnation = sim.hosts[from].incarnation;
    report.placements.number = sim.hosts[from].reports;
    forward_placements(sim.hosts[from].forward, &report.arena,
                       &report.placements);
    if (sim.scenario.report_delay_ms == 0 ||
        sim_random_below(DELAYED_ONE_IN) > 0) {
        deliver_report(&report);
        return;
    }
    report.at_ms = sim.now_ms + sim.scenario.report_delay_ms;
    sim.delayed =
        xrealloc(sim.delayed, sim.delayed_count + 1, sizeof(*sim.delayed));
    sim.delayed[sim.delayed_count] = report;
    sim.delayed_count++;
}

/* Reports that are overtaken by a later one of their host have no effect. */
static void
deliver_delayed_reports(void)
{
    size_t kept = 0;
    size_t i;

    for (i = 0; i < sim.delayed_count; i++) {
        if (sim.now_ms >= sim.delayed[i].at_ms) {
            deliver_report(&sim.delayed[i]);
        }
        else {
            sim.delayed[kept] = sim.delayed[i];
            kept++;
        }
    }
    sim.delayed_count = kept;
}

static void
exchange_reports(void)
{
    bool all = is_due(sim.scenario.report_interval_ms);
    size_t host;

    deliver_delayed_reports();
    for (host = 0; host < sim.scenario.hosts; host++) {
        if (all ||
            (sim.scenario.reports_at_once && sim.hosts[host].report_due)) {
            send_report(host);
        }
    }
}

static void
run_host_timers(void)
{
    size_t host;

    for (host = 0; host < sim.scenario.hosts; host++) {
        forward_event_t event = {.kind = FORWARD_STORE_CONTACT};

        event.u.contact.contact_us = sim.now_ms * SIM_US_PER_MS;
        if (!sim_is_store_away()) {
            sim_deliver_event(host, &event);
        }
        event = (forward_event_t){.kind = FORWARD_TIMER};
        sim_deliver_event(host, &event);
    }
}

static void
crash_unrelated_engines(void)
{
    size_t zones = sim.scenario.zones;
    size_t i;

    if (is_due(sim.scenario.zone_crash_interval_ms)) {
        i = (size_t)(sim.now_ms / sim.scenario.zone_crash_interval_ms) % zones;
        for (; i < sim.scenario.engines; i += zones) {
            sim_crash_engine(i);
        }
    }
    if (is_due(sim.scenario.single_crash_interval_ms)) {
        sim_crash_engine(sim_random_below(sim.scenario.engines));
    }
}

static void
simulate_tick(void)
{
    run_host_timers();
    sim_advance_engines();
    crash_unrelated_engines();
    if (is_due(sim.scenario.host_restart_interval_ms)) {
        restart_host(sim_random_below(sim.scenario.hosts));
    }
    if (is_due(sim.scenario.request_interval_ms)) {
        send_new_request(false);
    }
    if (is_due(sim.scenario.harmful_interval_ms)) {
        send_new_request(true);
    }
    resend_requests();
    exchange_reports();
}

static void
set_defaults(suspicion_scenario_t *scenario)
{
#define DEFAULT(member, value)                                                \
    scenario->member = scenario->member == 0 ? (value) : scenario->member
    DEFAULT(hosts, HOSTS_DEFAULT);
    DEFAULT(engines, ENGINES_DEFAULT);
    DEFAULT(zones, ZONES_DEFAULT);
    DEFAULT(request_interval_ms, REQUEST_INTERVAL_MS);
    DEFAULT(report_interval_ms, REPORT_INTERVAL_MS);
    DEFAULT(harmful_contents, 1);
    DEFAULT(harmful_run_ms, HARMFUL_RUN_MS);
    DEFAULT(sessions, SESSIONS_DEFAULT);
    DEFAULT(restart_ms, RESTART_MS);
#undef DEFAULT
}

suspicion_result_t
suspicion_simulate(const suspicion_scenario_t *scenario)
{
    size_t i;

    memset(&sim, 0, sizeof(sim));
    sim.scenario = *scenario;
    set_defaults(&sim.scenario);
    sim.rng_state = scenario->seed;
    sim.now_ms = SIM_START_MS;
    for (i = 0; i < sim.scenario.engines; i++) {
        sim_engine_t *engine = &sim.engines[i];

        sim_name_engine(i);
        (void)snprintf(engine->address, SIM_NAME_BYTES, "10.0.0.%zu:80", i);
        engine->started_ms = SIM_START_MS;
    }
    for (i = 0; i < sim.scenario.hosts; i++) {
        start_host(i);
    }
    for (; sim.now_ms < SIM_START_MS + scenario->duration_ms;
         sim.now_ms += SIM_TICK_MS) {
        simulate_tick();
    }
    if (sim.scenario.harmful_part) {
        sim_count_begun();
    }
    for (i = 0; i < sim.scenario.hosts; i++) {
        forward_free(sim.hosts[i].forward);
    }
    for (i = 0; i < sim.delayed_count; i++) {
        arena_free(&sim.delayed[i].arena);
    }
    free(sim.delayed);
    free(sim.runs);
    free(sim.sent);
    free(sim.resend);
    return sim.result;
}
