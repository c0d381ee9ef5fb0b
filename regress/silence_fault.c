/* silence_fault.c - draws fleet, silences, losses and changes. */
#include <stdio.h>
#include <string.h>

#include "regress/forwarding.h"
#include "regress/silence_private.h"

enum {
    ZONES = 3,
    SLOTS = 32,
    FAULTS_START_MS = 1000,
    SILENCE_MIN_MS = 200,
    SILENCE_MAX_MS = 3000,
    RESET_RESTART_MS = 1200,
    DARK_RESTART_MAX_MS = 5000,
    ENTRY_MAX_MS = 3600, /* until the entry of a lost runner expires */
    STREAMS_PER_ENGINE = 3,
    STREAM_TYPICAL_MS = 4500,
    STREAM_INTERVAL_MIN_MS = 50,
    LARGE_FLEET_HOSTS = 40,
    LARGE_FLEET_INTERVAL_MIN_MS = 125,
    DRAINING_PERMILLE = 250,
    PERMILLE = 1000,
    LIMIT_REQUESTS = 100,
    /* Bits of silence_state_t.changes. */
    CHANGE_ROUTING = 1,
    CHANGE_LIMITS = 2,
    CHANGE_DRAIN = 4,
    CHANGE_ALL = 7,
};

static void
name_runner(size_t index)
{
    (void)snprintf(silence.runners[index].id, SIM_NAME_BYTES, "n%zu-%u", index,
                   silence.same_id ? 0 : silence.runners[index].starts);
}

void
silence_draw_fleet(uint64_t seed)
{
    static const size_t hosts[] = {3, 4, 6, 7, 12, 24, 40, 88};
    static const size_t engines[] = {1, 2, 3, 4, 6, 9, 12, 18, 36, 60};
    int64_t interval_min_ms;
    size_t i;

    memset(&silence, 0, sizeof(silence));
    silence.rng_state = seed * 0x9E3779B97F4A7C15U;
    silence.reset_rng_state = seed;
    silence.now_ms = START_MS;
    (void)silence_draw(2);
    (void)silence_draw(2);
    silence.host_count = hosts[silence_draw(sizeof(hosts) / sizeof(hosts[0]))];
    silence.engine_count =
        engines[silence_draw(sizeof(engines) / sizeof(engines[0]))];
    silence.runner_count = silence.engine_count + 1 + silence_draw(6);
    silence.silent_percent = (uint32_t)silence_draw_between(10, 50);
    silence.onset_percent = (uint32_t)silence_draw(80);
    silence.round_ms = START_MS + FAULTS_START_MS;
    silence.fail_percent =
        silence_draw(2) == 0 ? (uint32_t)silence_draw_between(3, 15) : 0;
    silence.fail_ms = START_MS + 2 * FAULTS_START_MS;
    silence.same_id = silence_draw(2) == 0;
    silence.resets_old = silence_draw(2) == 0;
    silence.sends_head_early = silence_draw(2) == 0;
    interval_min_ms = silence.host_count > LARGE_FLEET_HOSTS
                          ? LARGE_FLEET_INTERVAL_MIN_MS
                          : STREAM_INTERVAL_MIN_MS;
    silence.stream_interval_ms =
        STREAM_TYPICAL_MS /
        (STREAMS_PER_ENGINE * (int64_t)silence.engine_count);
    if (silence.stream_interval_ms < interval_min_ms) {
        silence.stream_interval_ms = interval_min_ms;
    }
    silence.plain_interval_ms = silence_draw_between(30, 60);
    for (i = 0; i < silence.runner_count; i++) {
        silence.runners[i].engine = i < silence.engine_count;
        silence.runners[i].started_ms = START_MS;
        name_runner(i);
        (void)snprintf(silence.runners[i].address, SIM_NAME_BYTES,
                       "10.0.0.%zu:80", i);
    }
    silence.result.hosts = (uint32_t)silence.host_count;
    silence.result.engines = (uint32_t)silence.engine_count;
    silence.result.plain =
        (uint32_t)(silence.runner_count - silence.engine_count);
    silence.result.fails = silence.fail_percent > 0;
}

static forward_event_t
registration(size_t index)
{
    static const char *const zones[ZONES] = {"a", "b", "c"};
    const runner_t *runner = &silence.runners[index];
    forward_event_t event = {.kind = FORWARD_RUNNER_REGISTERED};

    event.u.runner = (registration_t){.id = runner->id,
                                      .service = runner->engine ? "r" : "s",
                                      .address = runner->address,
                                      .zone = zones[index % ZONES],
                                      .version = "v1",
                                      .slots = SLOTS,
                                      .started_ms = runner->started_ms};
    return event;
}

void
silence_register(size_t host, size_t runner)
{
    forward_event_t event = registration(runner);

    silence_deliver(host, &event);
}

static void
begin_silence(runner_t *runner, int64_t for_ms)
{
    if (silence.now_ms + for_ms > runner->silent_until_ms) {
        runner->silent_until_ms = silence.now_ms + for_ms;
    }
    runner->onset = ONSET_NONE;
}

void
silence_begin_onset(runner_t *runner, onset_t onset)
{
    if (runner->onset == onset) {
        begin_silence(runner, runner->onset_silence_ms);
    }
}

/* What the runner does in a silence that goes on does not change. */
static void
draw_silence(runner_t *runner)
{
    int64_t for_ms = silence_draw_between(SILENCE_MIN_MS, SILENCE_MAX_MS);
    onset_t onset = silence_draw(PERCENT) < silence.onset_percent
                        ? (onset_t)silence_draw(ONSET_COUNT)
                        : ONSET_NONE;
    bool accepts = silence_draw(2) == 0;
    bool works = silence_draw(2) == 0;
    bool hears = silence_draw(2) == 0;

    if (runner->loss != LOSS_NONE || silence_is_silent(runner)) {
        return;
    }
    runner->accepts = accepts;
    runner->works = works;
    runner->hears = hears;
    if (onset == ONSET_NONE) {
        begin_silence(runner, for_ms);
        return;
    }
    runner->onset = onset;
    runner->onset_silence_ms = for_ms;
}

static void
begin_round(void)
{
    size_t i;

    silence.round_ms =
        silence.now_ms + silence_draw_between(250, 350) * TICK_MS;
    for (i = 0; i < silence.runner_count; i++) {
        if (silence_draw(PERCENT) < silence.silent_percent) {
            draw_silence(&silence.runners[i]);
        }
    }
    silence.changes = (uint32_t)silence_draw(CHANGE_ALL + 1);
    silence.change_ms = silence.now_ms;
    if (silence_draw(2) == 0) {
        silence.change_ms += silence_draw_between(1, 50) * TICK_MS;
    }
}

static void
drain_host(void)
{
    size_t most = silence.host_count * DRAINING_PERMILLE / PERMILLE;
    size_t draining = 0;
    size_t host = silence_draw(silence.host_count);
    forward_event_t event = {.kind = FORWARD_DRAIN};
    size_t i;

    for (i = 0; i < silence.host_count; i++) {
        draining += silence.hosts[i].draining_since_ms != 0 ? 1 : 0;
    }
    if (silence.hosts[host].draining_since_ms == 0 &&
        draining < (most > 0 ? most : 1)) {
        silence.hosts[host].draining_since_ms = silence.now_ms;
        silence_deliver(host, &event);
    }
}

static void
make_changes(void)
{
    size_t i;

    if ((silence.changes & CHANGE_ROUTING) != 0) {
        silence.version++;
        for (i = 0; i < silence.host_count; i++) {
            silence_change_host(i);
        }
    }
    if ((silence.changes & CHANGE_LIMITS) != 0) {
        forward_event_t event = {.kind = FORWARD_LIMITS};

        event.u.limits = forwarding_limits(REVOKE_MS);
        event.u.limits.requests_max = LIMIT_REQUESTS * (1 + silence_draw(2));
        silence_deliver_all(&event);
    }
    if ((silence.changes & CHANGE_DRAIN) != 0) {
        drain_host();
    }
    silence.changes = 0;
}

static void
lose_runner(size_t index)
{
    runner_t *runner = &silence.runners[index];

    runner->loss = silence_draw(2) == 0 ? LOSS_RESET : LOSS_DARK;
    runner->lost_ms = silence.now_ms;
    runner->lost_silent = silence_is_silent(runner);
    runner->silent_until_ms = 0;
    runner->onset = ONSET_NONE;
    runner->restart_ms =
        silence.now_ms +
        (runner->loss == LOSS_RESET
             ? RESET_RESTART_MS
             : silence_draw_between(RESET_RESTART_MS, DARK_RESTART_MAX_MS));
    memcpy(runner->old_id, runner->id, sizeof(runner->old_id));
    runner->old_until_ms =
        silence.now_ms + silence_draw_between(RESET_RESTART_MS, ENTRY_MAX_MS);
    silence_lose_runs(index);
}

static void
restart_runner(size_t index)
{
    runner_t *runner = &silence.runners[index];
    forward_event_t event;

    runner->started_ms = silence.now_ms;
    runner->starts++;
    name_runner(index);
    if (strcmp(runner->id, runner->old_id) == 0) {
        runner->old_until_ms = 0;
    }
    if (runner->loss == LOSS_DARK && silence.resets_old) {
        silence_reset_lost_runs(index);
    }
    runner->loss = LOSS_NONE;
    event = registration(index);
    silence_deliver_all(&event);
}

static void
follow_losses(size_t index)
{
    runner_t *runner = &silence.runners[index];

    if (runner->loss != LOSS_NONE && silence.now_ms >= runner->restart_ms) {
        restart_runner(index);
    }
    if (runner->old_until_ms != 0 && silence.now_ms >= runner->old_until_ms) {
        forward_event_t event = {.kind = FORWARD_RUNNER_DEREGISTERED};

        runner->old_until_ms = 0;
        event.u.deregistered_id = runner->old_id;
        silence_deliver_all(&event);
    }
}

void
silence_cause_faults(void)
{
    bool fails = silence.now_ms >= silence.fail_ms;
    size_t i;

    if (silence.now_ms < START_MS + DURATION_MS) {
        if (silence.now_ms >= silence.round_ms) {
            begin_round();
        }
        if (fails) {
            silence.fail_ms =
                silence.now_ms + silence_draw_between(100, 400) * TICK_MS;
        }
        for (i = 0; fails && i < silence.runner_count; i++) {
            if (silence.runners[i].loss == LOSS_NONE &&
                silence.runners[i].old_until_ms == 0 &&
                silence_draw(PERCENT) < silence.fail_percent) {
                lose_runner(i);
            }
        }
    }
    if (silence.changes != 0 && silence.now_ms >= silence.change_ms) {
        make_changes();
    }
    for (i = 0; i < silence.runner_count; i++) {
        follow_losses(i);
    }
}
