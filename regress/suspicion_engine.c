/* suspicion_engine.c - the engines of suspicion_sim.h. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "regress/suspicion_private.h"

enum {
    PREFILL_MS = 400,          /* until the first event of a stream */
    STREAM_DURATION_MS = 4000, /* until the end of a stream */
    HEARTBEAT_MS = 1200, /* between two writes of an engine to the registry */
    EXPIRY_HEARTBEATS = 3, /* of a registry entry */
    PARTITION_RESET_MS = 10,
    RUNS_SIZE_INITIAL = 256,
    TICK_RUNS_MAX = 1000, /* the rest waits for the next tick */
    DECIMAL = 10,
};

static const char *const zone_names[] = {"a", "b", "c", "d", "e", "f"};

static void
end_run(size_t index, send_result_t result)
{
    sim_run_t *run = &sim.runs[index];
    forward_event_t event = {.kind = FORWARD_SEND_END};

    event.u.end = (forward_send_end_t){
        .number = run->number, .attempt = run->attempt, .result = result};
    run->active = false;
    sim_deliver_event(run->host, &event);
}

void
sim_name_engine(size_t engine)
{
    char *name = sim.engines[engine].name;

    if (sim.engines[engine].restarts > 0) {
        (void)snprintf(name, SIM_NAME_BYTES, "e%zu-%u", engine,
                       sim.engines[engine].restarts);
        return;
    }
    (void)snprintf(name, SIM_NAME_BYTES, "e%zu", engine);
}

void
sim_crash_engine(size_t engine)
{
    size_t count = sim.run_count;
    size_t i;

    if (sim.now_ms < sim.engines[engine].down_until_ms) {
        return;
    }
    sim.engines[engine].down_until_ms = sim.now_ms + sim.scenario.restart_ms;
    sim.engines[engine].reregister_at_ms =
        sim.now_ms + sim.scenario.restart_ms +
        (int64_t)sim_random_below(HEARTBEAT_MS);
    if (sim.scenario.restart_new_id) {
        memcpy(sim.engines[engine].previous_name, sim.engines[engine].name,
               SIM_NAME_BYTES);
        sim.engines[engine].deregister_at_ms =
            sim.now_ms + (int64_t)EXPIRY_HEARTBEATS * HEARTBEAT_MS;
        sim.engines[engine].restarts++;
        sim_name_engine(engine);
    }
    for (i = 0; i < count; i++) {
        if (sim.runs[i].active && sim.runs[i].engine == engine) {
            end_run(i, SEND_BROKEN);
        }
    }
}

static void
count_send(const sim_run_t *run)
{
    const sim_sent_t *sent = sim_find_sent(run->number);
    uint32_t sends = 0;
    size_t i;

    for (i = sim.tick_runs; i < sim.run_count; i++) {
        if (sim.runs[i].number == run->number &&
            sim.runs[i].host == run->host) {
            sends++;
        }
    }
    if (sends > sim.result.sends_max) {
        sim.result.sends_max = sends;
    }
    if (sent->harmful) {
        sim_content_t *content = &sim.contents[sent->content];

        /* A refused connection does not reach the engine. */
        if (content->deadline_ms > 0 && sim.now_ms > content->deadline_ms &&
            sim.now_ms >= sim.engines[run->engine].down_until_ms &&
            !sim_is_partitioned(run->host) &&
            sim.now_ms - sim.hosts[run->host].start_ms >=
                SIM_DETECTION_DELAY_MS) {
            content->late_sends++;
        }
        if (content->late_sends > sim.result.late_sends) {
            sim.result.late_sends = content->late_sends;
        }
    }
}

static int64_t
draw_prefill_ms(void)
{
    return sim.scenario.prefill_spread_ms == 0
               ? PREFILL_MS
               : PREFILL_MS + (int64_t)sim_random_below(
                                  (uint64_t)sim.scenario.prefill_spread_ms);
}

void
sim_start_run(size_t host, const forward_action_t *action)
{
    if (sim.run_count == sim.run_size) {
        sim.run_size =
            sim.run_size == 0 ? RUNS_SIZE_INITIAL : 2 * sim.run_size;
        sim.runs = xrealloc(sim.runs, sim.run_size, sizeof(*sim.runs));
    }
    sim.runs[sim.run_count] = (sim_run_t){
        .host = host,
        .number = action->number,
        .attempt = action->u.send.attempt,
        .engine = strtoul(action->u.send.runner + 1, NULL, DECIMAL),
        .start_ms = sim.now_ms,
        .prefill_ms = draw_prefill_ms(),
        .active = true};
    sim.run_count++;
    count_send(&sim.runs[sim.run_count - 1]);
}

void
sim_cancel_run(size_t host, const forward_action_t *action)
{
    size_t i;

    for (i = 0; i < sim.run_count; i++) {
        sim_run_t *run = &sim.runs[i];

        if (run->host == host && run->number == action->number &&
            run->attempt == action->u.attempt) {
            run->active = false;
        }
    }
}

void
sim_register_engine(size_t host, size_t engine)
{
    forward_event_t event = {.kind = FORWARD_RUNNER_REGISTERED};

    event.u.runner =
        (registration_t){.id = sim.engines[engine].name,
                         .service = sim.scenario.plain ? "s" : "r",
                         .address = sim.engines[engine].address,
                         .zone = zone_names[engine % sim.scenario.zones],
                         .slots = 32,
                         .started_ms = sim.engines[engine].started_ms};
    sim_deliver_event(host, &event);
}

static void
deregister_engine(size_t engine)
{
    size_t host;

    sim.engines[engine].deregister_at_ms = 0;
    for (host = 0; host < sim.scenario.hosts; host++) {
        forward_event_t event = {.kind = FORWARD_RUNNER_DEREGISTERED,
                                 .u.deregistered_id =
                                     sim.engines[engine].previous_name};

        sim_deliver_event(host, &event);
    }
}

static void
register_restarted_engines(void)
{
    size_t i;
    size_t host;

    for (i = 0; i < sim.scenario.engines; i++) {
        sim_engine_t *engine = &sim.engines[i];

        if (engine->deregister_at_ms > 0 &&
            sim.now_ms >= engine->deregister_at_ms && !sim_is_store_away()) {
            deregister_engine(i);
        }
        if (engine->reregister_at_ms > 0 &&
            sim.now_ms >= engine->reregister_at_ms && !sim_is_store_away()) {
            engine->reregister_at_ms = 0;
            engine->started_ms = sim.now_ms;
            for (host = 0; host < sim.scenario.hosts; host++) {
                sim_register_engine(host, i);
            }
        }
    }
}

static void
crash_by_harmful_run(const sim_run_t *run)
{
    sim_content_t *content =
        &sim.contents[sim_find_sent(run->number)->content];

    sim.result.harmful_crashes++;
    content->crashes++;
    content->last_crash_ms = sim.now_ms;
    if (content->crashes == 1) {
        content->first_crash_ms = sim.now_ms;
    }
    if (content->crashes == (sim.scenario.harmful_part
                                 ? SIM_DETECTION_PART_CRASHES
                                 : SIM_DETECTION_CRASHES)) {
        content->deadline_ms = sim.now_ms + SIM_DETECTION_DELAY_MS;
    }
    sim_crash_engine(run->engine);
}

/* Whether the run began after its content turned harmful. */
static bool
is_harmful_run(const sim_run_t *run)
{
    return sim_find_sent(run->number)->harmful &&
           run->start_ms - SIM_START_MS >= sim.scenario.harmless_until_ms;
}

/* Whether the run began to write after a part of its prompt turned harmful. */
static bool
is_harmful_writer(const sim_run_t *run)
{
    return sim.scenario.harmful_part && run->prefilled &&
           sim_find_sent(run->number)->harmful &&
           run->prefilled_ms - SIM_START_MS >= sim.scenario.harmless_until_ms;
}

/* Whether the run sends no event before it crashes. */
static bool
is_held_back(const sim_run_t *run)
{
    return is_harmful_writer(run) && !sim.scenario.harmful_after_event;
}

/* Whether the engine crashes before it responds to the run. */
static bool
is_headless(const sim_run_t *run)
{
    return is_harmful_writer(run) && sim.scenario.harmful_before_head;
}

static void
send_progress(size_t index, int64_t ran_ms)
{
    sim_run_t *run = &sim.runs[index];
    forward_event_t event = {.kind = FORWARD_RESPONSE_HEAD};

    if (!run->prefilled) {
        run->prefilled = true;
        run->prefilled_ms = sim.now_ms;
        sim.sent[(run->number & ~SIM_RESENT_BIT) - 1].begun |=
            (run->number & SIM_RESENT_BIT) == 0;
        event.u.head = (forward_response_head_t){.number = run->number,
                                                 .attempt = run->attempt,
                                                 .status = 200,
                                                 .authentic = true,
                                                 .event_stream = true};
        if (!is_headless(run)) {
            sim_deliver_event(run->host, &event);
            run = &sim.runs[index];
        }
    }
    if (sim.scenario.plain || is_held_back(run)) {
        return;
    }
    event.kind = FORWARD_STREAM_PROGRESS;
    event.u.progress =
        (forward_progress_t){.number = run->number,
                             .attempt = run->attempt,
                             .last_event_id = ran_ms / SIM_TICK_MS};
    sim_deliver_event(run->host, &event);
}

/* The runs may move in memory whenever an event is delivered. */
static void
advance_run(size_t index)
{
    const sim_run_t *run = &sim.runs[index];
    int64_t ran_ms = sim.now_ms - run->start_ms;

    if (sim.now_ms < sim.engines[run->engine].down_until_ms) {
        end_run(index, SEND_NOT_SENT);
        return;
    }
    if (sim_is_partitioned(run->host)) {
        if (ran_ms >= PARTITION_RESET_MS) {
            end_run(index, SEND_BROKEN);
        }
        return;
    }
    if (sim.scenario.harmful_part
            ? is_harmful_writer(run) &&
                  sim.now_ms - run->prefilled_ms >= sim.scenario.harmful_run_ms
            : ran_ms >= sim.scenario.harmful_run_ms && is_harmful_run(run)) {
        crash_by_harmful_run(run);
        return;
    }
    if (sim.scenario.plain) {
        if (ran_ms >= SIM_PLAIN_RUN_MS && !is_harmful_run(run)) {
            send_progress(index, ran_ms);
            end_run(index, SEND_COMPLETE);
        }
        return;
    }
    if (ran_ms >= run->prefill_ms) {
        send_progress(index, ran_ms);
    }
    if (ran_ms >= STREAM_DURATION_MS && sim.runs[index].active) {
        end_run(index, SEND_COMPLETE);
    }
}

static void
remove_ended_runs(void)
{
    size_t kept = 0;
    size_t i;

    for (i = 0; i < sim.run_count; i++) {
        if (sim.runs[i].active) {
            sim.runs[kept] = sim.runs[i];
            kept++;
        }
    }
    sim.run_count = kept;
    sim.tick_runs = kept;
}

void
sim_advance_engines(void)
{
    size_t i;

    remove_ended_runs();
    register_restarted_engines();
    for (i = 0; i < sim.run_count; i++) {
        if (sim.run_count - sim.tick_runs > TICK_RUNS_MAX) {
            return;
        }
        if (sim.runs[i].active) {
            advance_run(i);
        }
    }
}
