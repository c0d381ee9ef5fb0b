/* partition_draw.c - draws what partition_sim.h's simulation plays. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "regress/partition_private.h"

enum {
    ZONES = 3,
    ARRIVALS_START_MS = 1600, /* hosts that start refuse streams before */
    CUTS_START_MS = 4000,
    CUTS_END_MS = CUT_ARRIVALS_END_MS - 1000,
    CUT_MIN_MS = 3000,
    CUT_RANGE_MS = 9001,
    CUT_GAP_MS = 200, /* between two cuts, at least */
    CUT_GAP_RANGE_MS = 2001,
    ROUTING_MS = 2500,
    ENGINE_SLOTS = 32,
    PLAIN_SLOTS = 6,
    STREAM_TIME_US = 3650000, /* mean time at an engine */
    PLAIN_TIME_US = 22500,
    STREAM_INTERVAL_MIN_US = 25000,
    PLAIN_INTERVAL_MIN_US = 7000,
    FAULTS_MAX = 3,
    LOST_MIN_PERCENT = 5,
    LOST_RANGE_PERCENT = 16,
};

/* Otherwise the first draws of neighbouring seeds would be alike. */
#define SEED_FACTOR UINT64_C(0x9e3779b97f4a7c15)

static void
draw_hosts(void)
{
    static const size_t counts[] = {3, 4, 6, 7, 9, 12, 24, 40, 88};
    static const char *const zones[ZONES] = {"a", "b", "c"};
    size_t i;

    cut_sim.host_count = counts[cut_draw(sizeof(counts) / sizeof(counts[0]))];
    for (i = 0; i < cut_sim.host_count; i++) {
        cut_host_t *host = &cut_sim.hosts[i];

        (void)snprintf(host->name, sizeof(host->name), "h%zu", i);
        (void)snprintf(host->zone, sizeof(host->zone), "%s", zones[i % ZONES]);
    }
}

static void
draw_runners(void)
{
    static const size_t counts[] = {2, 3, 4, 6, 9, 12, 18, 36};
    size_t plain;
    size_t i;

    cut_sim.engine_count =
        counts[cut_draw(sizeof(counts) / sizeof(counts[0]))];
    plain = 1 + cut_draw(6);
    cut_sim.runner_count = cut_sim.engine_count + plain;
    for (i = 0; i < cut_sim.runner_count; i++) {
        cut_runner_t *runner = &cut_sim.runners[i];

        runner->engine = i < cut_sim.engine_count;
        runner->slots = runner->engine ? ENGINE_SLOTS : PLAIN_SLOTS;
        runner->up = true;
        runner->started_ms = CUT_START_MS;
        (void)snprintf(runner->name, sizeof(runner->name), "%c%zu",
                       runner->engine ? 'e' : 'p', i);
        (void)snprintf(runner->address, sizeof(runner->address),
                       "10.0.0.%zu:80", i + 1);
    }
    cut_sim.stream_interval_us =
        STREAM_TIME_US * 2 / (int64_t)cut_sim.engine_count / ENGINE_SLOTS;
    if (cut_sim.stream_interval_us < STREAM_INTERVAL_MIN_US) {
        cut_sim.stream_interval_us = STREAM_INTERVAL_MIN_US;
    }
    cut_sim.plain_interval_us =
        (int64_t)PLAIN_TIME_US * 2 / (int64_t)plain / PLAIN_SLOTS;
    if (cut_sim.plain_interval_us < PLAIN_INTERVAL_MIN_US) {
        cut_sim.plain_interval_us = PLAIN_INTERVAL_MIN_US;
    }
}

/* At least one host keeps its paths. */
static void
draw_cut_hosts(cut_t *cut)
{
    size_t hosts = cut_sim.host_count;
    size_t first = cut_draw(hosts);
    size_t count = 1;
    size_t i;

    if (cut->scope == CUT_ZONE) {
        for (i = first % ZONES; i < hosts; i += ZONES) {
            cut->hosts[i] = true;
        }
        return;
    }
    if (cut->scope == CUT_SOME_HOSTS) {
        count = 1 + cut_draw(hosts / 2);
    }
    else if (cut->scope == CUT_MOST_HOSTS) {
        count = hosts / 2 + 1 + cut_draw(hosts - hosts / 2 - 1);
    }
    for (i = 0; i < count; i++) {
        cut->hosts[(first + i) % hosts] = true;
    }
}

static void
draw_cuts(void)
{
    int64_t at_ms = CUT_START_MS + CUTS_START_MS;
    size_t i;

    cut_sim.cut_count = 1 + cut_draw(PARTITION_CUTS_MAX);
    for (i = 0; i < cut_sim.cut_count; i++) {
        cut_t *cut = &cut_sim.cuts[i];

        at_ms += CUT_GAP_MS + (int64_t)cut_draw(CUT_GAP_RANGE_MS);
        cut->kind = (cut_kind_t)cut_draw(CUT_KINDS);
        cut->scope = (cut_scope_t)cut_draw(CUT_SCOPES);
        cut->start_ms = at_ms;
        cut->end_ms = at_ms + CUT_MIN_MS + (int64_t)cut_draw(CUT_RANGE_MS);
        if (cut->end_ms > CUT_START_MS + CUTS_END_MS) {
            cut->end_ms = CUT_START_MS + CUTS_END_MS;
        }
        at_ms = cut->end_ms;
        draw_cut_hosts(cut);
        cut_push(cut->start_ms - cut_sim.now_ms, CUT_EVENT_START, i, 0);
        cut_push(cut->end_ms - cut_sim.now_ms, CUT_EVENT_END, i, 0);
    }
}

/* A time from the first cut on. */
static int64_t
draw_fault_ms(void)
{
    return CUTS_START_MS +
           (int64_t)cut_draw(CUT_ARRIVALS_END_MS - CUTS_START_MS);
}

/* Half of them hit hosts that may be helping, during the first cut. */
static void
draw_kill(void)
{
    const cut_t *cut = &cut_sim.cuts[0];
    int64_t at_ms = draw_fault_ms();
    size_t host = cut_draw(cut_sim.host_count);

    if (cut_draw(2) == 0) {
        at_ms = cut->start_ms - CUT_START_MS +
                (int64_t)cut_draw((uint64_t)(cut->end_ms - cut->start_ms));
        while (cut->hosts[host]) {
            host = (host + 1) % cut_sim.host_count;
        }
    }
    cut_push(at_ms, CUT_EVENT_KILL, host, 0);
}

static void
draw_faults(void)
{
    size_t kills = cut_draw(FAULTS_MAX);
    size_t drains = cut_draw(FAULTS_MAX - 1);
    size_t crashes = cut_draw(2) * cut_draw(FAULTS_MAX + 1);
    size_t i;

    for (i = 0; i < kills; i++) {
        draw_kill();
    }
    for (i = 0; i < drains; i++) {
        cut_push(draw_fault_ms(), CUT_EVENT_DRAIN,
                 cut_draw(cut_sim.host_count), 0);
    }
    for (i = 0; i < crashes; i++) {
        cut_push(draw_fault_ms(), CUT_EVENT_CRASH,
                 cut_draw(cut_sim.engine_count), 0);
    }
    if (cut_draw(2) == 0) {
        cut_push(ROUTING_MS, CUT_EVENT_ROUTING, 0, 0);
    }
    cut_sim.lost_percent =
        cut_draw(2) == 0
            ? LOST_MIN_PERCENT + (uint32_t)cut_draw(LOST_RANGE_PERCENT)
            : 0;
}

void
cut_draw_all(uint64_t seed)
{
    memset(&cut_sim, 0, sizeof(cut_sim));
    cut_sim.queue = event_queue_of(sizeof(cut_event_t), cut_precedes);
    cut_sim.rng_state = seed * SEED_FACTOR;
    cut_sim.now_ms = CUT_START_MS;
    cut_sim.version = 1;
    cut_sim.callers = calloc(CUT_CALLERS_MAX, sizeof(*cut_sim.callers));
    cut_sim.hops = calloc(CUT_HOPS_MAX, sizeof(*cut_sim.hops));
    cut_sim.legs = calloc(CUT_LEGS_MAX, sizeof(*cut_sim.legs));
    ck_assert_ptr_nonnull(cut_sim.callers);
    ck_assert_ptr_nonnull(cut_sim.hops);
    ck_assert_ptr_nonnull(cut_sim.legs);
    (void)cut_draw(2);
    draw_hosts();
    draw_runners();
    draw_cuts();
    draw_faults();
    cut_push(ARRIVALS_START_MS, CUT_EVENT_ARRIVAL, REQUEST_STREAM, 0);
    cut_push(ARRIVALS_START_MS, CUT_EVENT_ARRIVAL, REQUEST_SAFE, 0);
}
