/*
 * test_suspect.c - tests which requests are blocked after runner losses.
 *
 * Tests the rules one by one, and then runs a seeded simulation of many hosts,
 * runners and requests, some of which crash the engines that run them.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/arena.h"
#include "policy/suspect.h"

enum { US_PER_MS = 1000, STEPS_MAX = 14, RUN_TIME_US = 300000 };

static const suspect_limits_t limits = {
    .window_us = 1000 * US_PER_MS,
    .retention_us = (int64_t)1800 * 1000 * US_PER_MS,
    .block_us = (int64_t)600 * 1000 * US_PER_MS,
    .loss_threshold = 3,
    .correlated_runners = 3,
};

typedef enum { END, LOSS, REPORT, COMPLETED, BLOCKED } step_kind_t;

/*
 * runner is the letter of the runner; LOSS adds that of its zone.  running
 * holds the fingerprints, a digit each.
 */
typedef struct {
    int64_t at_ms;
    step_kind_t kind;
    const char *runner;
    const char *running;
} step_t;

typedef struct {
    const char *name;
    step_t steps[STEPS_MAX];
    int64_t check_ms;
    const char *decisions; /* f, a, h or r for fingerprints 1 to 4 */
    uint32_t runner_count; /* 0: 35 */
} scenario_t;

static const scenario_t scenarios[] = {
    {"losses of three different runners block",
     {{0, LOSS, "aN", "12"},
      {5000, LOSS, "bN", "13"},
      {9000, LOSS, "cM", "14"}},
     11000,
     "rfff",
     0},
    {"losses of two runners do not block",
     {{0, LOSS, "aN", "12"}, {5000, LOSS, "bN", "13"}},
     11000,
     "aaaf",
     0},
    {"three losses of one runner do not block",
     {{0, LOSS, "aN", "1"}, {5000, LOSS, "aN", "1"}, {9000, LOSS, "aN", "1"}},
     11000,
     "afff",
     0},
    {"the loss of a zone counts against no request",
     {{0, LOSS, "aN", "1"}, {100, LOSS, "bN", "2"}, {200, LOSS, "cN", "13"}},
     2000,
     "ffff",
     0},
    {"the loss of half of a small zone counts against no request",
     {{0, LOSS, "aS", "1"}, {100, LOSS, "bS", "2"}},
     2000,
     "ffff",
     0},
    {"correlated losses count once against a request present at all",
     {{0, LOSS, "aN", "14"}, {100, LOSS, "bN", "24"}, {200, LOSS, "cN", "4"}},
     2000,
     "fffa",
     0},
    {"deferred while two losses are evaluated",
     {{0, LOSS, "aN", "1"}, {100, LOSS, "bN", "1"}},
     500,
     "hfff",
     0},
    {"deferred while the third loss is evaluated",
     {{0, LOSS, "aN", "1"}, {5000, LOSS, "bN", "1"}, {9000, LOSS, "cN", "1"}},
     9100,
     "hfff",
     0},
    {"a completed run clears",
     {{0, LOSS, "aN", "1"},
      {5000, LOSS, "bN", "1"},
      {6000, COMPLETED, "--", "1"},
      {9000, LOSS, "cN", "1"}},
     11000,
     "ffff",
     0},
    {"two requests present at the same losses are not blocked",
     {{0, LOSS, "aN", "12"},
      {5000, LOSS, "bN", "12"},
      {9000, LOSS, "cN", "12"}},
     11000,
     "aaff",
     0},
    {"a further loss with one of the two blocks that one",
     {{0, LOSS, "aN", "12"},
      {5000, LOSS, "bN", "12"},
      {9000, LOSS, "cN", "12"},
      {12000, LOSS, "dM", "2"}},
     14000,
     "frff",
     0},
    {"losses reported by peers count",
     {{0, LOSS, "aN", "1"},
      {5000, REPORT, "b", "1"},
      {9000, REPORT, "c", "1"}},
     11000,
     "rfff",
     0},
    {"local and reported losses of one runner count once",
     {{0, LOSS, "aN", "1"},
      {1100, REPORT, "a", "1"},
      {9000, REPORT, "a", "1"}},
     11000,
     "afff",
     0},
    {"correlated losses reported by peers count against no request",
     {{0, LOSS, "aN", "1"},
      {1100, REPORT, "b", "2"},
      {1200, REPORT, "c", "3"},
      {1300, REPORT, "d", "4"}},
     4000,
     "ffff",
     0},
    {"frequent losses in a small fleet after the start do not block",
     {{0, LOSS, "aN", "2"},
      {1500, LOSS, "bN", "1"},
      {3000, LOSS, "cN", "3"},
      {4500, LOSS, "dN", "2"},
      {6000, LOSS, "aN", "1"},
      {7500, LOSS, "bN", "4"},
      {9000, LOSS, "cN", "1"}},
     11000,
     "aaaa",
     8},
    {"a fingerprint blocked by a peer is blocked",
     {{0, BLOCKED, "--", "2"}},
     11000,
     "frff",
     0},
    {"a block ends", {{0, BLOCKED, "--", "2"}}, 600001, "ffff", 0},
    {"losses expire", {{0, LOSS, "aN", "1"}}, 1800001, "ffff", 0},
    {"reported losses explained by a blocked request do not count",
     {{0, LOSS, "aN", "1"},
      {1100, REPORT, "a", "2"},
      {5000, LOSS, "bN", "1"},
      {6100, REPORT, "b", "2"},
      {9000, LOSS, "cN", "1"}},
     12000,
     "rfff",
     0},
};

static uint32_t
runner_hash(const char *runner)
{
    return (uint32_t)XXH3_64bits(runner, 1);
}

static void
apply_step(suspects_t *suspects, const step_t *step, uint32_t runner_count)
{
    uint64_t running[8] = {0};
    size_t count = 0;
    int64_t now_us = step->at_ms * US_PER_MS;
    char runner[2] = {step->runner[0], '\0'};
    static const int64_t run_time_us[8] = {
        RUN_TIME_US, RUN_TIME_US, RUN_TIME_US, RUN_TIME_US,
        RUN_TIME_US, RUN_TIME_US, RUN_TIME_US, RUN_TIME_US};
    suspect_loss_t loss = {.runner = runner,
                           .zone = step->runner + 1,
                           .fleet_runners = runner_count,
                           .fingerprints = running,
                           .run_time_us = run_time_us};
    suspect_report_t peer_report = {0};

    while (step->running[count] != '\0') {
        running[count] = (uint64_t)(step->running[count] - '0');
        count++;
    }
    loss.count = count;
    loss.zone_runners = loss.zone[0] == 'S' ? 4 : 12;
    peer_report.fingerprint = running[0];
    peer_report.loss = (uint64_t)runner_hash(step->runner) << 32 | 9;
    peer_report.is_blocked = step->kind == BLOCKED;
    if (step->kind == LOSS) {
        suspects_add_loss(suspects, now_us, &loss);
    }
    else if (step->kind == COMPLETED) {
        suspects_clear(suspects, running[0]);
    }
    else {
        suspects_handle_report(suspects, now_us, &peer_report);
    }
}

static void
step_until(suspects_t *suspects, int64_t until_us)
{
    while (suspects_due_us(suspects) <= until_us) {
        suspects_step(suspects, suspects_due_us(suspects));
    }
}

START_TEST(test_decisions_after_losses)
{
    const scenario_t *scenario = &scenarios[_i];
    suspects_t *suspects = suspects_new(0, &limits);
    char decisions[5] = "";

    for (const step_t *step = scenario->steps; step->kind != END; step++) {
        step_until(suspects, step->at_ms * US_PER_MS);
        apply_step(suspects, step,
                   scenario->runner_count > 0 ? scenario->runner_count : 35);
    }
    step_until(suspects, scenario->check_ms * US_PER_MS);
    /* Free (unrestricted), apart (isolated), held (deferred), refused. */
    for (uint64_t f = 1; f <= 4; f++) {
        decisions[f - 1] = "fahr"[suspects_decide(
            suspects, scenario->check_ms * US_PER_MS, f, 0)];
    }
    ck_assert_msg(strcmp(decisions, scenario->decisions) == 0, "%s: %s",
                  scenario->name, decisions);
    suspects_free(suspects);
}
END_TEST

START_TEST(test_colocation)
{
    suspects_t *suspects = suspects_new(0, &limits);
    const step_t steps[] = {{0, LOSS, "aN", "123"}, {5000, LOSS, "bN", "12"}};
    const uint64_t two = 2;
    const uint64_t others[] = {4, 3};

    for (int i = 0; i < 2; i++) {
        apply_step(suspects, &steps[i], 35);
        step_until(suspects, (steps[i].at_ms + 2000) * US_PER_MS);
    }
    ck_assert_int_eq(suspects_check_colocation(suspects, 1, &two, 1),
                     COLOCATION_FORBIDDEN);
    ck_assert_int_eq(suspects_check_colocation(suspects, 1, others, 2),
                     COLOCATION_DISCOURAGED);
    ck_assert_int_eq(suspects_check_colocation(suspects, 1, others, 1),
                     COLOCATION_ALLOWED);
    ck_assert_int_eq(suspects_decide(suspects, 8000000, 1, 1),
                     SUSPECT_DEFERRED);
    ck_assert_int_eq(suspects_decide(suspects, 8000000, 4, 1),
                     SUSPECT_UNRESTRICTED);
    suspects_free(suspects);
}
END_TEST

/* The simulation. */
enum {
    HOSTS = 7,
    RUNNERS = 35,
    ZONES = 3,
    SESSIONS = 700,
    TICK_MS = 50,
    TICKS = 36000, /* 30 minutes */
    RESTART_TICKS = 600,
    HARMFUL = 20,
    RESENDS = 20,
    POPULAR = 3,
};

typedef struct {
    uint64_t fingerprint;
    int harmful; /* index of a harmful request, or -1 */
    int host;
    int runner;        /* -1: waiting */
    int lost_on;       /* last lost runner, avoided; -1: none */
    int ticks_left;    /* until the run completes or crashes the engine */
    int earliest_tick; /* not started before */
    int started_tick;  /* start on its runner */
    int resends;
} sim_session_t;

typedef struct {
    suspects_t *hosts[HOSTS];
    int available_tick[RUNNERS];
    int zone_loss_tick[RUNNERS]; /* in the loss of its zone; 0: not lost */
    sim_session_t sessions[SESSIONS + HARMFUL];
    int crashes[HARMFUL];
    int was_blocked[HARMFUL];
    int unrelated_refused;
    int completed_runs;
    uint64_t seed;
} sim_t;

static uint32_t
random_below(sim_t *sim, uint32_t limit)
{
    sim->seed = sim->seed * 6364136223846793005u + 1442695040888963407u;
    return (uint32_t)((sim->seed >> 33) % limit);
}

static void
reset_session(sim_t *sim, sim_session_t *s, int tick)
{
    bool is_long = random_below(sim, 100) < 6;

    memset(s, 0, sizeof(*s));
    s->harmful = -1;
    s->runner = -1;
    s->lost_on = -1;
    s->host = (int)random_below(sim, HOSTS);
    s->fingerprint =
        1000000 + ((uint64_t)tick << 20 | random_below(sim, 1 << 20));
    if (random_below(sim, 100) < 5) {
        s->fingerprint = 1000 + random_below(sim, POPULAR);
    }
    s->ticks_left = is_long ? 1200 + (int)random_below(sim, 6000)
                            : 40 + (int)random_below(sim, 160);
    s->earliest_tick = tick + (int)random_below(sim, 40);
}

static size_t
find_colocated(const sim_t *sim, int host, int runner, uint64_t *others)
{
    size_t count = 0;

    for (int i = 0; i < SESSIONS + HARMFUL; i++) {
        if (sim->sessions[i].runner == runner &&
            sim->sessions[i].host == host) {
            others[count++] = sim->sessions[i].fingerprint;
        }
    }
    return count;
}

static int
choose_runner(sim_t *sim, const sim_session_t *s, int tick, bool isolated)
{
    static uint64_t others[SESSIONS + HARMFUL];
    int start = (int)random_below(sim, RUNNERS);
    int discouraged_runner = -1;

    for (int k = 0; k < RUNNERS; k++) {
        int runner = (start + k) % RUNNERS;
        suspect_colocation_t colocation = COLOCATION_ALLOWED;

        if (sim->available_tick[runner] > tick || runner == s->lost_on) {
            continue;
        }
        if (isolated) {
            colocation = suspects_check_colocation(
                sim->hosts[s->host], s->fingerprint, others,
                find_colocated(sim, s->host, runner, others));
        }
        if (colocation == COLOCATION_ALLOWED) {
            return runner;
        }
        if (colocation == COLOCATION_DISCOURAGED) {
            discouraged_runner = runner;
        }
    }
    return discouraged_runner;
}

static void
lose_runner(sim_t *sim, int runner, int tick)
{
    char name[16];
    char zone[16];

    (void)snprintf(name, sizeof(name), "r%d", runner);
    (void)snprintf(zone, sizeof(zone), "z%d", runner % ZONES);
    sim->available_tick[runner] = tick + RESTART_TICKS;
    for (int host = 0; host < HOSTS; host++) {
        static uint64_t running[SESSIONS + HARMFUL];
        static int64_t run_time_us[SESSIONS + HARMFUL];
        suspect_loss_t loss = {.runner = name,
                               .zone = zone,
                               .zone_runners = RUNNERS / ZONES,
                               .fleet_runners = RUNNERS,
                               .fingerprints = running,
                               .run_time_us = run_time_us};

        for (int i = 0; i < SESSIONS + HARMFUL; i++) {
            const sim_session_t *s = &sim->sessions[i];

            if (s->runner == runner && s->host == host) {
                running[loss.count] = s->fingerprint;
                run_time_us[loss.count++] =
                    (int64_t)(tick - s->started_tick) * TICK_MS * US_PER_MS;
            }
        }
        if (loss.count > 0) {
            suspects_add_loss(sim->hosts[host],
                              (int64_t)tick * TICK_MS * US_PER_MS, &loss);
        }
    }
    for (int i = 0; i < SESSIONS + HARMFUL; i++) {
        sim_session_t *s = &sim->sessions[i];

        if (s->runner == runner) {
            s->runner = -1;
            s->lost_on = runner;
            if (s->harmful >= 0) {
                s->ticks_left = 2 + (int)random_below(sim, 100);
            }
        }
    }
}

static void
refuse_session(sim_t *sim, sim_session_t *s, int tick)
{
    if (s->harmful < 0) {
        sim->unrelated_refused++;
        reset_session(sim, s, tick);
        return;
    }
    sim->was_blocked[s->harmful] = 1;
    s->runner = -1;
    s->host = (int)random_below(sim, HOSTS);
    s->earliest_tick = s->resends-- > 0 ? tick + 20 : TICKS;
}

static void
step_session(sim_t *sim, sim_session_t *s, int tick)
{
    int64_t now_us = (int64_t)tick * TICK_MS * US_PER_MS;
    suspect_decision_t decision;

    if (tick < s->earliest_tick) {
        return;
    }
    decision = suspects_decide(sim->hosts[s->host], now_us, s->fingerprint, 0);
    if (decision == SUSPECT_BLOCKED) {
        refuse_session(sim, s, tick);
    }
    else if (s->runner < 0 && decision != SUSPECT_DEFERRED) {
        s->runner = choose_runner(sim, s, tick, decision == SUSPECT_ISOLATED);
        s->started_tick = tick;
    }
    else if (s->runner >= 0 && --s->ticks_left <= 0) {
        if (s->harmful >= 0) {
            sim->crashes[s->harmful]++;
            lose_runner(sim, s->runner, tick);
            return;
        }
        sim->completed_runs++;
        suspects_clear(sim->hosts[s->host], s->fingerprint);
        reset_session(sim, s, tick);
    }
}

static void
step_hosts(sim_t *sim, int tick)
{
    int64_t now_us = (int64_t)tick * TICK_MS * US_PER_MS;
    suspect_report_t peer_report;
    uint64_t blocked;

    for (int host = 0; host < HOSTS; host++) {
        suspects_step(sim->hosts[host], now_us);
        while (suspects_next_blocked(sim->hosts[host], &blocked)) {
        }
        while (suspects_next_report(sim->hosts[host], &peer_report)) {
            for (int peer = 0; peer < HOSTS; peer++) {
                if (peer != host) {
                    suspects_handle_report(sim->hosts[peer], now_us,
                                           &peer_report);
                }
            }
        }
    }
}

/* Independent crashes, more of them on one runner, and losses of a zone. */
static void
step_runners(sim_t *sim, int tick)
{
    if (tick % 1200 == 600) {
        lose_runner(sim, (int)random_below(sim, RUNNERS), tick);
    }
    if (tick % 900 == 450) {
        lose_runner(sim, 5, tick);
    }
    if (tick == 9000 || tick == 27000) {
        for (int r = 0; r < RUNNERS; r++) {
            sim->zone_loss_tick[r] =
                r % ZONES == 1 ? tick + 1 + (int)random_below(sim, 6) : 0;
        }
    }
    for (int r = 0; r < RUNNERS; r++) {
        if (sim->zone_loss_tick[r] == tick && tick > 0) {
            lose_runner(sim, r, tick);
        }
    }
}

static void
start_sim(sim_t *sim, uint64_t seed)
{
    memset(sim, 0, sizeof(*sim));
    sim->seed = seed;
    for (int host = 0; host < HOSTS; host++) {
        sim->hosts[host] = suspects_new(0, &limits);
    }
    for (int i = 0; i < SESSIONS; i++) {
        reset_session(sim, &sim->sessions[i], 0);
    }
    for (int i = 0; i < HARMFUL; i++) {
        sim_session_t *s = &sim->sessions[SESSIONS + i];

        reset_session(sim, s, 0);
        s->fingerprint = 10 + (uint64_t)i;
        s->harmful = i;
        s->earliest_tick = 1000 + i * 1500;
        s->ticks_left = 2 + (int)random_below(sim, 100);
        s->resends = RESENDS;
    }
}

START_TEST(test_simulated_fleet)
{
    static sim_t sim;
    int max_crashes = 0;
    int total_crashes = 0;
    int blocked_count = 0;

    start_sim(&sim, (uint64_t)_i + 1);
    for (int tick = 0; tick < TICKS; tick++) {
        step_runners(&sim, tick);
        for (int i = 0; i < SESSIONS + HARMFUL; i++) {
            step_session(&sim, &sim.sessions[i], tick);
        }
        step_hosts(&sim, tick);
    }
    for (int i = 0; i < HARMFUL; i++) {
        max_crashes =
            sim.crashes[i] > max_crashes ? sim.crashes[i] : max_crashes;
        total_crashes += sim.crashes[i];
        blocked_count += sim.was_blocked[i];
    }
    printf("seed %d: %d harmful requests, %d blocked, %.2f crashes each, "
           "at most %d; %d unrelated requests refused of %d\n",
           _i + 1, HARMFUL, blocked_count, (double)total_crashes / HARMFUL,
           max_crashes, sim.unrelated_refused, sim.completed_runs);
    (void)fflush(stdout);
    for (int host = 0; host < HOSTS; host++) {
        suspects_free(sim.hosts[host]);
    }
    ck_assert_int_eq(sim.unrelated_refused, 0);
    ck_assert_int_eq(blocked_count, HARMFUL);
    ck_assert_int_le(max_crashes, 3);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("suspect");
    TCase *tcase = tcase_create("suspect");
    SRunner *runner;
    int failed;

    tcase_set_timeout(tcase, 600);
    tcase_add_loop_test(tcase, test_decisions_after_losses, 0,
                        sizeof(scenarios) / sizeof(scenarios[0]));
    tcase_add_test(tcase, test_colocation);
    tcase_add_loop_test(tcase, test_simulated_fleet, 0, 4);
    suite_add_tcase(suite, tcase);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
