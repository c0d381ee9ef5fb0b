/*
 * test_versions_fleet.c - tests that streams hold the events of one version,
 * and that callers can take them up, over fleets and faults that are drawn.
 *
 * A release replaces runners while runners crash and hosts are killed. Callers
 * whose host is gone, or whose stream is broken off, take it up at any host.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "regress/sim_hosts.h"
#include "regress/version_private.h"
#include "regress/version_sim.h"

static version_state_t sim;

static uint64_t
draw(uint64_t below)
{
    return sim_draw(&sim.rng_state, below);
}

/* The last try that is given up was not taken up again. */
static void
leave(stream_t *stream)
{
    stream->active = false;
    stream->attempt = 0;
    if (stream->version != 0 && stream->tries < TRIES) {
        stream->retry_at_ms = sim.now_ms + RETRY_MS;
    }
}

/* A take-up that is refused after its version has lost its runners is none of
 * those that the requirement is about. */
static void
forget_if_runners_left(stream_t *stream)
{
    if (stream->counted && !stream->try_began &&
        !version_serves(&sim, stream->version)) {
        stream->counted = false;
        sim.resumed--;
    }
}

static void
add_probe(size_t host, const char *runner)
{
    size_t engine = strtoul(runner + 1, NULL, 10);

    if (sim.probe_count < PROBES_MAX) {
        sim.probes[sim.probe_count] =
            (probe_t){.host = host,
                      .incarnation = sim.hosts[host].incarnation,
                      .engine = engine,
                      .started_ms = sim.engines[engine].down_until_ms != 0
                                        ? 0
                                        : sim.engines[engine].started_ms,
                      .asked_ms = sim.now_ms};
        sim.probe_count++;
    }
}

static void
handle_action(size_t host, const forward_action_t *action)
{
    stream_t *stream = &sim.streams[action->number / TRIES];

    switch (action->kind) {
    case FORWARD_ACTION_SEND:
        stream->attempt = action->u.send.attempt;
        stream->engine = strtoul(action->u.send.runner + 1, NULL, 10);
        stream->run_version = sim.engines[stream->engine].version;
        stream->run_start_ms = sim.now_ms;
        stream->run_began = false;
        stream->run_passed = false;
        stream->run_refused = sim.engines[stream->engine].down_until_ms != 0 ||
                              strcmp(sim.engines[stream->engine].name,
                                     action->u.send.runner) != 0;
        return;
    case FORWARD_ACTION_CANCEL:
        stream->attempt =
            stream->attempt == action->u.attempt ? 0 : stream->attempt;
        return;
    case FORWARD_ACTION_RELAY_HEAD:
        stream->run_passed = true;
        return;
    case FORWARD_ACTION_PROBE:
        add_probe(host, action->u.probe.runner);
        return;
    case FORWARD_ACTION_FINISH:
        stream->active = false;
        return;
    case FORWARD_ACTION_REFUSE:
    case FORWARD_ACTION_ABORT:
        forget_if_runners_left(stream);
        leave(stream);
        return;
    case FORWARD_ACTION_PUT_RECORD:
        if (sim.fault != VERSION_CRASHES) {
            version_store_put(&sim, host, &action->u.record);
        }
        return;
    case FORWARD_ACTION_PUBLISH:
        sim.hosts[host].report_due = true;
        return;
    default:
        return;
    }
}

void
version_deliver(size_t host, const forward_event_t *event)
{
    forward_actions_t actions = {0};
    size_t i;

    if (sim.hosts[host].down) {
        return;
    }
    forward_step(sim.hosts[host].forward, sim.now_ms * US_PER_MS, event,
                 &actions);
    for (i = 0; i < actions.count; i++) {
        handle_action(host, &actions.items[i]);
    }
    forward_actions_free(&actions);
}

static void
register_engine(size_t host, size_t engine)
{
    forward_event_t event = {.kind = FORWARD_RUNNER_REGISTERED};

    event.u.runner = (registration_t){
        .id = sim.engines[engine].name,
        .service = "r",
        .address = sim.engines[engine].address,
        .zone = engine % 2 == 0 ? "a" : "b",
        .version = sim.engines[engine].version == 1 ? "v1" : "v2",
        .slots = 32,
        .started_ms = sim.engines[engine].started_ms};
    version_deliver(host, &event);
}

static void
read_store(size_t host)
{
    forward_event_t event = {.kind = FORWARD_REGISTRY_BEGIN};
    size_t i;

    if (sim.fault != VERSION_CRASHES) {
        version_deliver(host, &event);
    }
    for (i = 0; i < sim.engine_count; i++) {
        if (sim.engines[i].down_until_ms == 0) {
            register_engine(host, i);
        }
    }
    if (sim.fault != VERSION_CRASHES) {
        version_store_read(&sim, host);
        event.kind = FORWARD_REGISTRY_END;
        version_deliver(host, &event);
    }
}

static void
start_host(size_t host)
{
    forward_event_t event = {.kind = FORWARD_ROUTING};
    char name[NAME_BYTES];

    (void)snprintf(name, sizeof(name), "h%zu", host);
    sim.hosts[host] = (host_t){.forward = forwarding_open_host(name),
                               .incarnation = sim.hosts[host].incarnation + 1,
                               .start_ms = sim.now_ms};
    event.u.routing = forwarding_routing(1);
    version_deliver(host, &event);
    event = (forward_event_t){.kind = FORWARD_HOST_COUNT,
                              .u.hosts = (uint32_t)sim.host_count};
    version_deliver(host, &event);
    read_store(host);
}

static void
end_host(size_t host)
{
    size_t i;

    for (i = 0; i < sim.stream_count; i++) {
        if (sim.streams[i].active && sim.streams[i].host == host) {
            leave(&sim.streams[i]);
        }
    }
    forward_free(sim.hosts[host].forward);
    sim.hosts[host].forward = NULL;
    sim.hosts[host].down = true;
}

static void
lose_power(void)
{
    size_t i;

    for (i = 0; i < sim.host_count; i++) {
        if (sim.now_ms == sim.power_at_ms && !sim.hosts[i].down) {
            end_host(i);
        }
        if (sim.now_ms == sim.power_at_ms + sim.power_ms) {
            start_host(i);
        }
    }
}

static void
name_engine(size_t engine)
{
    (void)snprintf(sim.engines[engine].name, NAME_BYTES, "e%zu-%u", engine,
                   sim.same_id ? 0 : sim.engines[engine].starts);
}

static void
stop_engine(size_t engine, uint32_t next_version)
{
    engine_t *stopped = &sim.engines[engine];
    size_t i;

    if (stopped->down_until_ms != 0) {
        return;
    }
    stopped->down_until_ms = sim.now_ms + sim.restart_ms;
    for (i = 0; i < sim.stream_count; i++) {
        stream_t *stream = &sim.streams[i];

        if (stream->active && stream->attempt > 0 &&
            stream->engine == engine &&
            version_is_paused(&sim, stream->host)) {
            stream->run_lost = true;
        }
        else if (stream->active && stream->attempt > 0 &&
                 stream->engine == engine) {
            forward_event_t event = {.kind = FORWARD_SEND_END};

            event.u.end =
                (forward_send_end_t){.number = i * TRIES + stream->tries - 1,
                                     .attempt = stream->attempt,
                                     .result = SEND_BROKEN};
            stream->attempt = 0;
            version_deliver(stream->host, &event);
        }
    }
    stopped->version = next_version;
}

static void
restart_engines(void)
{
    size_t i;
    size_t host;

    for (i = 0; i < sim.engine_count; i++) {
        engine_t *engine = &sim.engines[i];

        if (engine->down_until_ms == 0 || sim.now_ms < engine->down_until_ms) {
            continue;
        }
        engine->down_until_ms = 0;
        engine->started_ms = START_MS + sim.now_ms;
        engine->starts++;
        name_engine(i);
        for (host = 0; host < sim.host_count; host++) {
            if (!version_is_apart(&sim, host)) {
                register_engine(host, i);
            }
        }
    }
}

static void
send_stream(size_t index)
{
    stream_t *stream = &sim.streams[index];
    forward_event_t event = {.kind = FORWARD_REQUEST};
    char id[NAME_BYTES];
    char first_id[NAME_BYTES];

    (void)snprintf(id, sizeof(id), "q%zu-%u", index, stream->tries);
    (void)snprintf(first_id, sizeof(first_id), "q%zu-0", index);
    event.u.request = (forward_request_t){
        .number = index * TRIES + stream->tries,
        .id = id,
        .host = "host.example",
        .path = "/stream/x",
        .key = "k1",
        .prompt_tokens = 8000,
        .affinity = index,
        .last_event_id = stream->version != 0 ? stream->last_event_id : -1,
        .resumed_id = stream->version != 0 ? first_id : NULL,
        .fingerprint = index,
    };
    if (!stream->waits) {
        stream->host = draw(sim.host_count);
    }
    stream->waits = version_is_paused(&sim, stream->host);
    if (stream->waits) {
        stream->retry_at_ms = sim.apart_to_ms;
        return;
    }
    if (sim.hosts[stream->host].down) {
        stream->retry_at_ms = sim.now_ms + RETRY_MS;
        return;
    }
    stream->counted = stream->version != 0 && version_can_go_on(&sim, stream);
    sim.resumed += stream->counted ? 1 : 0;
    stream->apart =
        stream->version != 0 && version_is_apart(&sim, stream->host);
    sim.resumed_apart += stream->apart ? 1 : 0;
    stream->tries++;
    stream->active = true;
    stream->retry_at_ms = 0;
    stream->try_began = false;
    stream->run_lost = false;
    version_deliver(stream->host, &event);
}

static void
count_event(stream_t *stream)
{
    if (!stream->try_began) {
        stream->try_began = true;
        if (stream->version == 0) {
            sim.begun++;
        }
        sim.went_on += stream->counted ? 1 : 0;
        sim.went_on_apart += stream->apart ? 1 : 0;
    }
    if (stream->version == 0) {
        stream->version = stream->run_version;
    }
    if (stream->version != stream->run_version && !stream->mixed) {
        stream->mixed = true;
        sim.mixed++;
    }
}

static void
advance_stream(size_t index)
{
    stream_t *stream = &sim.streams[index];
    int64_t ran_ms = sim.now_ms - stream->run_start_ms;
    uint64_t number = index * TRIES + stream->tries - 1;
    forward_event_t event = {.kind = FORWARD_RESPONSE_HEAD};

    if (version_is_paused(&sim, stream->host)) {
        return;
    }
    if (stream->run_refused || stream->run_lost) {
        event.kind = FORWARD_SEND_END;
        event.u.end = (forward_send_end_t){
            .number = number,
            .attempt = stream->attempt,
            .result = stream->run_lost ? SEND_BROKEN : SEND_NOT_SENT};
        stream->run_lost = false;
        stream->attempt = 0;
        version_deliver(stream->host, &event);
        return;
    }
    if (ran_ms < PREFILL_MS || ran_ms % EVENT_MS != 0) {
        return;
    }
    if (!stream->run_began) {
        stream->run_began = true;
        event.u.head = (forward_response_head_t){
            .number = number,
            .attempt = stream->attempt,
            .status = 200,
            .authentic = true,
            .event_stream = true,
            .connected_min_us = stream->run_start_ms * US_PER_MS,
            .connected_max_us = sim.now_ms * US_PER_MS};
        version_deliver(stream->host, &event);
    }
    if (!stream->run_passed) {
        return;
    }
    count_event(stream);
    stream->last_event_id++;
    event.kind = FORWARD_STREAM_PROGRESS;
    event.u.progress =
        (forward_progress_t){.number = number,
                             .attempt = stream->attempt,
                             .last_event_id = stream->last_event_id};
    version_deliver(stream->host, &event);
    if (stream->last_event_id * EVENT_MS >= STREAM_MS && stream->attempt > 0) {
        event.kind = FORWARD_SEND_END;
        event.u.end = (forward_send_end_t){.number = number,
                                           .attempt = stream->attempt,
                                           .result = SEND_COMPLETE};
        stream->attempt = 0;
        version_deliver(stream->host, &event);
    }
}

static void
send_report(size_t from)
{
    sim_report_t report;
    size_t to;

    sim.hosts[from].reports++;
    sim.hosts[from].report_due = false;
    sim_report_write(&report, sim.hosts[from].forward, from,
                     sim.hosts[from].incarnation, sim.hosts[from].reports);
    for (to = 0; to < sim.host_count; to++) {
        if (to != from && draw(PERCENT) >= sim.lost_percent &&
            !version_is_apart(&sim, from) && !version_is_apart(&sim, to)) {
            version_deliver(to, &report.event);
        }
    }
    sim_report_free(&report);
}

static void
run_hosts(void)
{
    int64_t interval_ms =
        sim.host_count > INTERVAL_HOSTS
            ? REPORT_MS * (int64_t)sim.host_count / INTERVAL_HOSTS
            : REPORT_MS;
    size_t host;

    for (host = 0; host < sim.host_count; host++) {
        forward_event_t event = {.kind = FORWARD_TIMER};

        if (sim.hosts[host].down || version_is_paused(&sim, host)) {
            continue;
        }
        version_store_contact(&sim, host);
        version_deliver(host, &event);
        if (sim.hosts[host].report_due || sim.now_ms % interval_ms == 0) {
            send_report(host);
        }
    }
}

/* Those of the tick before, and those of a host that stood still. */
static void
answer_probes(void)
{
    probe_t probes[PROBES_MAX];
    size_t count = sim.probe_count;
    size_t i;

    memcpy(probes, sim.probes, count * sizeof(probes[0]));
    sim.probe_count = 0;
    for (i = 0; i < count; i++) {
        const probe_t *probe = &probes[i];
        runner_report_t report = {0};
        forward_event_t event = {.kind = FORWARD_PROBE_RESULT};

        if (version_is_paused(&sim, probe->host)) {
            sim.probes[sim.probe_count] = *probe;
            sim.probe_count++;
            continue;
        }
        event.u.probed = (forward_probe_result_t){
            .runner = sim.engines[probe->engine].name,
            .outcome =
                probe->started_ms == 0 ? PROBE_UNREACHABLE : PROBE_ANSWERED,
            .report = probe->started_ms == 0 ? NULL : &report,
            .started_ms = probe->started_ms,
            .asked_us = probe->asked_ms * US_PER_MS};
        if (probe->incarnation == sim.hosts[probe->host].incarnation) {
            version_deliver(probe->host, &event);
        }
    }
}

static void
cause_faults(void)
{
    int64_t at_ms = sim.now_ms - START_MS;
    size_t i;

    for (i = 0; i < sim.engine_count; i++) {
        if (at_ms == RELEASE_START_MS + (int64_t)i * 2 * RETRY_MS &&
            draw(PERCENT) < sim.released_percent) {
            stop_engine(i, 2);
        }
        if (at_ms > 0 && at_ms % sim.fault_ms == 0 &&
            draw(PERCENT) < sim.crash_percent) {
            stop_engine(i, sim.engines[i].version);
        }
    }
    for (i = 0; i < sim.host_count; i++) {
        if (at_ms > 0 && at_ms % sim.fault_ms == 2 * TICK_MS &&
            draw(PERCENT) < sim.kill_percent && !sim.hosts[i].down &&
            !version_is_apart(&sim, i)) {
            end_host(i);
            start_host(i);
        }
    }
}

static void
simulate_tick(void)
{
    size_t i;

    if (version_rejoins(&sim)) {
        read_store(sim.apart_host);
    }
    restart_engines();
    answer_probes();
    cause_faults();
    lose_power();
    version_store_run(&sim);
    run_hosts();
    if (sim.now_ms % ARRIVAL_MS == 0 && sim.stream_count < STREAMS_MAX) {
        sim.stream_count++;
        send_stream(sim.stream_count - 1);
    }
    for (i = 0; i < sim.stream_count; i++) {
        if (sim.streams[i].active && sim.streams[i].attempt > 0) {
            advance_stream(i);
        }
        if (sim.streams[i].retry_at_ms != 0 &&
            sim.now_ms >= sim.streams[i].retry_at_ms) {
            send_stream(i);
        }
    }
}

version_result_t
version_simulate(uint64_t seed, version_fault_t fault)
{
    static const char *const stores[] = {
        [STORE_WELL] = "well", [STORE_SLOW] = "slow", [STORE_AWAY] = "away"};
    size_t i;

    version_draw(&sim, seed, fault);
    for (i = 0; i < sim.engine_count; i++) {
        sim.engines[i].version = 1;
        sim.engines[i].started_ms = START_MS;
        name_engine(i);
        (void)snprintf(sim.engines[i].address, NAME_BYTES, "10.0.0.%zu:80", i);
    }
    for (i = 0; i < sim.host_count; i++) {
        start_host(i);
    }
    for (; sim.now_ms < START_MS + DURATION_MS; sim.now_ms += TICK_MS) {
        simulate_tick();
    }
    for (i = 0; i < sim.host_count; i++) {
        if (!sim.hosts[i].down) {
            forward_free(sim.hosts[i].forward);
        }
    }
    version_store_free(&sim);
    return (version_result_t){.hosts = (uint32_t)sim.host_count,
                              .engines = (uint32_t)sim.engine_count,
                              .mixed = sim.mixed,
                              .streams = (uint32_t)sim.stream_count,
                              .begun = sim.begun,
                              .resumed = sim.resumed,
                              .went_on = sim.went_on,
                              .store = stores[sim.store],
                              .store_well = sim.store == STORE_WELL,
                              .resumed_apart = sim.resumed_apart,
                              .went_on_apart = sim.went_on_apart,
                              .writes = sim.writes};
}
