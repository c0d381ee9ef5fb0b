/*
 * test_suspect.c - requests that kill engines: rules one by one, and a
 * seeded run of many hosts, runners and requests.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/arena.h"
#include "policy/suspect.h"

enum { US_PER_MS = 1000, STEPS_MAX = 14, RAN = 300000 };

static const suspect_limits_t limits = {
    .window_us = 1000 * US_PER_MS,
    .memory_us = (int64_t)1800 * 1000 * US_PER_MS,
    .hold_us = (int64_t)600 * 1000 * US_PER_MS,
    .losses_max = 3,
    .common_runners = 3,
};

typedef enum { DONE, LOSS, NOTE, FINISHED, CONVICTED } do_t;

/* LOSS: runner and zone are one letter each, on it fingerprints as digits. */
typedef struct {
    int64_t at_ms;
    do_t what;
    const char *runner;
    const char *on;
} step_t;

typedef struct {
    const char *name;
    step_t steps[STEPS_MAX];
    int64_t then_ms;
    const char *verdicts; /* of fingerprints 1 to 4, a letter each */
    uint32_t fleet;       /* runners; 0: 35 */
} rule_t;

static const rule_t rules[] = {
    {"three losses of different runners convict",
     {{0, LOSS, "aN", "12"},
      {5000, LOSS, "bN", "13"},
      {9000, LOSS, "cM", "14"}},
     11000,
     "rfff",
     0},
    {"two do not",
     {{0, LOSS, "aN", "12"}, {5000, LOSS, "bN", "13"}},
     11000,
     "aaaf",
     0},
    {"three losses of one runner do not",
     {{0, LOSS, "aN", "1"}, {5000, LOSS, "aN", "1"}, {9000, LOSS, "aN", "1"}},
     11000,
     "afff",
     0},
    {"a zone that falls accuses nobody",
     {{0, LOSS, "aN", "1"}, {100, LOSS, "bN", "2"}, {200, LOSS, "cN", "13"}},
     2000,
     "ffff",
     0},
    {"half of a small zone accuses nobody",
     {{0, LOSS, "aS", "1"}, {100, LOSS, "bS", "2"}},
     2000,
     "ffff",
     0},
    {"content on all that fell together gets one loss",
     {{0, LOSS, "aN", "14"}, {100, LOSS, "bN", "24"}, {200, LOSS, "cN", "4"}},
     2000,
     "fffa",
     0},
    {"held while two losses are judged",
     {{0, LOSS, "aN", "1"}, {100, LOSS, "bN", "1"}},
     500,
     "hfff",
     0},
    {"held while the third is judged",
     {{0, LOSS, "aN", "1"}, {5000, LOSS, "bN", "1"}, {9000, LOSS, "cN", "1"}},
     9100,
     "hfff",
     0},
    {"a run to the end clears",
     {{0, LOSS, "aN", "1"},
      {5000, LOSS, "bN", "1"},
      {6000, FINISHED, "--", "1"},
      {9000, LOSS, "cN", "1"}},
     11000,
     "ffff",
     0},
    {"a tie convicts neither",
     {{0, LOSS, "aN", "12"},
      {5000, LOSS, "bN", "12"},
      {9000, LOSS, "cN", "12"}},
     11000,
     "aaff",
     0},
    {"and the next loss settles it",
     {{0, LOSS, "aN", "12"},
      {5000, LOSS, "bN", "12"},
      {9000, LOSS, "cN", "12"},
      {12000, LOSS, "dM", "2"}},
     14000,
     "frff",
     0},
    {"peers' losses count",
     {{0, LOSS, "aN", "1"}, {5000, NOTE, "b", "1"}, {9000, NOTE, "c", "1"}},
     11000,
     "rfff",
     0},
    {"of one loss, once",
     {{0, LOSS, "aN", "1"}, {1100, NOTE, "a", "1"}, {9000, NOTE, "a", "1"}},
     11000,
     "afff",
     0},
    {"peers' losses of many runners at once accuse nobody",
     {{0, LOSS, "aN", "1"},
      {1100, NOTE, "b", "2"},
      {1200, NOTE, "c", "3"},
      {1300, NOTE, "d", "4"}},
     4000,
     "ffff",
     0},
    {"a fleet of few that die all the time, soon after the start",
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
    {"a peer's conviction holds",
     {{0, CONVICTED, "--", "2"}},
     11000,
     "frff",
     0},
    {"a conviction ends", {{0, CONVICTED, "--", "2"}}, 600001, "ffff", 0},
    {"losses are forgotten", {{0, LOSS, "aN", "1"}}, 1800001, "ffff", 0},
    {"what a conviction explains is withdrawn from peers' notes too",
     {{0, LOSS, "aN", "1"},
      {1100, NOTE, "a", "2"},
      {5000, LOSS, "bN", "1"},
      {6100, NOTE, "b", "2"},
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
take(suspects_t *suspects, const step_t *step, uint32_t fleet)
{
    uint64_t on[8] = {0};
    size_t count = 0;
    int64_t now_us = step->at_ms * US_PER_MS;
    char runner[2] = {step->runner[0], '\0'};
    static const int64_t ran_us[8] = {RAN, RAN, RAN, RAN, RAN, RAN, RAN, RAN};
    suspect_loss_t loss = {.runner = runner,
                           .zone = step->runner + 1,
                           .fleet_runners = fleet,
                           .fingerprints = on,
                           .ran_us = ran_us};
    suspect_t note = {0};

    while (step->on[count] != '\0') {
        on[count] = (uint64_t)(step->on[count] - '0');
        count++;
    }
    loss.count = count;
    loss.zone_runners = loss.zone[0] == 'S' ? 4 : 12;
    note.fingerprint = on[0];
    note.loss = (uint64_t)runner_hash(step->runner) << 32 | 9;
    note.convicted = step->what == CONVICTED;
    if (step->what == LOSS) {
        suspects_loss(suspects, now_us, &loss);
    }
    else if (step->what == FINISHED) {
        suspects_finished(suspects, on[0]);
    }
    else {
        suspects_note(suspects, now_us, &note);
    }
}

static void
step_until(suspects_t *suspects, int64_t until_us)
{
    while (suspects_due_us(suspects) <= until_us) {
        suspects_step(suspects, suspects_due_us(suspects));
    }
}

START_TEST(test_rule)
{
    const rule_t *rule = &rules[_i];
    suspects_t *suspects = suspects_new(0, &limits);
    char verdicts[5] = "";

    for (const step_t *step = rule->steps; step->what != DONE; step++) {
        step_until(suspects, step->at_ms * US_PER_MS);
        take(suspects, step, rule->fleet > 0 ? rule->fleet : 35);
    }
    step_until(suspects, rule->then_ms * US_PER_MS);
    for (uint64_t f = 1; f <= 4; f++) {
        verdicts[f - 1] = "fahr"[suspects_verdict(
            suspects, rule->then_ms * US_PER_MS, f, 0)];
    }
    ck_assert_msg(strcmp(verdicts, rule->verdicts) == 0, "%s: %s", rule->name,
                  verdicts);
    suspects_free(suspects);
}
END_TEST

START_TEST(test_apart)
{
    suspects_t *suspects = suspects_new(0, &limits);
    const step_t steps[] = {{0, LOSS, "aN", "123"}, {5000, LOSS, "bN", "12"}};
    const uint64_t two = 2;
    const uint64_t others[] = {4, 3};

    for (int i = 0; i < 2; i++) {
        take(suspects, &steps[i], 35);
        step_until(suspects, (steps[i].at_ms + 2000) * US_PER_MS);
    }
    ck_assert_int_eq(suspects_apart(suspects, 1, &two, 1), COMPANY_BARRED);
    ck_assert_int_eq(suspects_apart(suspects, 1, others, 2), COMPANY_SUSPECTS);
    ck_assert_int_eq(suspects_apart(suspects, 1, others, 1), COMPANY_NONE);
    ck_assert_int_eq(suspects_verdict(suspects, 8000000, 1, 1), SUSPECT_HELD);
    ck_assert_int_eq(suspects_verdict(suspects, 8000000, 4, 1), SUSPECT_FREE);
    suspects_free(suspects);
}
END_TEST

/* The run: ticks of 50 ms. */
enum {
    HOSTS = 7,
    RUNNERS = 35,
    ZONES = 3,
    SESSIONS = 700,
    TICK_MS = 50,
    TICKS = 36000, /* 30 minutes */
    BACK_TICKS = 600,
    HARMFUL = 20,
    RESENDS = 20,
    POPULAR = 3,
};

typedef struct {
    uint64_t fingerprint;
    int harmful; /* its number, or -1 */
    int host;
    int runner;       /* -1: waits */
    int lost_on;      /* the last one, avoided; -1 */
    int left_ticks;   /* of the run; harmful: until it kills */
    int begins_ticks; /* not before */
    int opened;       /* when it came to its runner */
    int resends;
} sim_session_t;

typedef struct {
    suspects_t *hosts[HOSTS];
    int up_at[RUNNERS];
    int falls_at[RUNNERS]; /* in a zone's fall; 0: does not */
    sim_session_t sessions[SESSIONS + HARMFUL];
    int kills[HARMFUL];
    int contained[HARMFUL];
    int innocents;
    int ends;
    uint64_t seed;
} sim_t;

static uint32_t
draw(sim_t *sim, uint32_t below)
{
    sim->seed = sim->seed * 6364136223846793005u + 1442695040888963407u;
    return (uint32_t)((sim->seed >> 33) % below);
}

static void
fresh(sim_t *sim, sim_session_t *s, int tick)
{
    bool is_long = draw(sim, 100) < 6;

    memset(s, 0, sizeof(*s));
    s->harmful = -1;
    s->runner = -1;
    s->lost_on = -1;
    s->host = (int)draw(sim, HOSTS);
    s->fingerprint = 1000000 + ((uint64_t)tick << 20 | draw(sim, 1 << 20));
    if (draw(sim, 100) < 5) {
        s->fingerprint = 1000 + draw(sim, POPULAR);
    }
    s->left_ticks =
        is_long ? 1200 + (int)draw(sim, 6000) : 40 + (int)draw(sim, 160);
    s->begins_ticks = tick + (int)draw(sim, 40);
}

static size_t
company(const sim_t *sim, int host, int runner, uint64_t *others)
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
choose(sim_t *sim, const sim_session_t *s, int tick, bool apart)
{
    static uint64_t others[SESSIONS + HARMFUL];
    int start = (int)draw(sim, RUNNERS);
    int fallback = -1;

    for (int k = 0; k < RUNNERS; k++) {
        int runner = (start + k) % RUNNERS;
        suspect_company_t found = COMPANY_NONE;

        if (sim->up_at[runner] > tick || runner == s->lost_on) {
            continue;
        }
        if (apart) {
            found = suspects_apart(sim->hosts[s->host], s->fingerprint, others,
                                   company(sim, s->host, runner, others));
        }
        if (found == COMPANY_NONE) {
            return runner;
        }
        if (found == COMPANY_SUSPECTS) {
            fallback = runner;
        }
    }
    return fallback;
}

static void
lose_runner(sim_t *sim, int runner, int tick)
{
    char name[16];
    char zone[16];

    (void)snprintf(name, sizeof(name), "r%d", runner);
    (void)snprintf(zone, sizeof(zone), "z%d", runner % ZONES);
    sim->up_at[runner] = tick + BACK_TICKS;
    for (int host = 0; host < HOSTS; host++) {
        static uint64_t on[SESSIONS + HARMFUL];
        static int64_t ran_us[SESSIONS + HARMFUL];
        suspect_loss_t loss = {.runner = name,
                               .zone = zone,
                               .zone_runners = RUNNERS / ZONES,
                               .fleet_runners = RUNNERS,
                               .fingerprints = on,
                               .ran_us = ran_us};

        for (int i = 0; i < SESSIONS + HARMFUL; i++) {
            const sim_session_t *s = &sim->sessions[i];

            if (s->runner == runner && s->host == host) {
                on[loss.count] = s->fingerprint;
                ran_us[loss.count++] =
                    (int64_t)(tick - s->opened) * TICK_MS * US_PER_MS;
            }
        }
        if (loss.count > 0) {
            suspects_loss(sim->hosts[host],
                          (int64_t)tick * TICK_MS * US_PER_MS, &loss);
        }
    }
    for (int i = 0; i < SESSIONS + HARMFUL; i++) {
        sim_session_t *s = &sim->sessions[i];

        if (s->runner == runner) {
            s->runner = -1;
            s->lost_on = runner;
            if (s->harmful >= 0) {
                s->left_ticks = 2 + (int)draw(sim, 100);
            }
        }
    }
}

static void
refuse(sim_t *sim, sim_session_t *s, int tick)
{
    if (s->harmful < 0) {
        sim->innocents++;
        fresh(sim, s, tick);
        return;
    }
    sim->contained[s->harmful] = 1;
    s->runner = -1;
    s->host = (int)draw(sim, HOSTS);
    s->begins_ticks = s->resends-- > 0 ? tick + 20 : TICKS;
}

static void
step_session(sim_t *sim, sim_session_t *s, int tick)
{
    int64_t now_us = (int64_t)tick * TICK_MS * US_PER_MS;
    suspect_verdict_t verdict;

    if (tick < s->begins_ticks) {
        return;
    }
    verdict = suspects_verdict(sim->hosts[s->host], now_us, s->fingerprint, 0);
    if (verdict == SUSPECT_REFUSED) {
        refuse(sim, s, tick);
    }
    else if (s->runner < 0 && verdict != SUSPECT_HELD) {
        s->runner = choose(sim, s, tick, verdict == SUSPECT_APART);
        s->opened = tick;
    }
    else if (s->runner >= 0 && --s->left_ticks <= 0) {
        if (s->harmful >= 0) {
            sim->kills[s->harmful]++;
            lose_runner(sim, s->runner, tick);
            return;
        }
        sim->ends++;
        suspects_finished(sim->hosts[s->host], s->fingerprint);
        fresh(sim, s, tick);
    }
}

static void
step_hosts(sim_t *sim, int tick)
{
    int64_t now_us = (int64_t)tick * TICK_MS * US_PER_MS;
    suspect_t note;
    uint64_t convicted;

    for (int host = 0; host < HOSTS; host++) {
        suspects_step(sim->hosts[host], now_us);
        while (suspects_next_convicted(sim->hosts[host], &convicted)) {
        }
        while (suspects_next_note(sim->hosts[host], &note)) {
            for (int peer = 0; peer < HOSTS; peer++) {
                if (peer != host) {
                    suspects_note(sim->hosts[peer], now_us, &note);
                }
            }
        }
    }
}

/* Engines that die by themselves: one is worse than the rest; a zone. */
static void
step_runners(sim_t *sim, int tick)
{
    if (tick % 1200 == 600) {
        lose_runner(sim, (int)draw(sim, RUNNERS), tick);
    }
    if (tick % 900 == 450) {
        lose_runner(sim, 5, tick);
    }
    if (tick == 9000 || tick == 27000) {
        for (int r = 0; r < RUNNERS; r++) {
            sim->falls_at[r] =
                r % ZONES == 1 ? tick + 1 + (int)draw(sim, 6) : 0;
        }
    }
    for (int r = 0; r < RUNNERS; r++) {
        if (sim->falls_at[r] == tick && tick > 0) {
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
        fresh(sim, &sim->sessions[i], 0);
    }
    for (int i = 0; i < HARMFUL; i++) {
        sim_session_t *s = &sim->sessions[SESSIONS + i];

        fresh(sim, s, 0);
        s->fingerprint = 10 + (uint64_t)i;
        s->harmful = i;
        s->begins_ticks = 1000 + i * 1500;
        s->left_ticks = 2 + (int)draw(sim, 100);
        s->resends = RESENDS;
    }
}

START_TEST(test_run)
{
    static sim_t sim;
    int most = 0;
    int all = 0;
    int contained = 0;

    start_sim(&sim, (uint64_t)_i + 1);
    for (int tick = 0; tick < TICKS; tick++) {
        step_runners(&sim, tick);
        for (int i = 0; i < SESSIONS + HARMFUL; i++) {
            step_session(&sim, &sim.sessions[i], tick);
        }
        step_hosts(&sim, tick);
    }
    for (int i = 0; i < HARMFUL; i++) {
        most = sim.kills[i] > most ? sim.kills[i] : most;
        all += sim.kills[i];
        contained += sim.contained[i];
    }
    printf("seed %d: %d harmful requests, %d contained, %.2f engines each, "
           "most %d; %d innocents refused of %d\n",
           _i + 1, HARMFUL, contained, (double)all / HARMFUL, most,
           sim.innocents, sim.ends);
    (void)fflush(stdout);
    for (int host = 0; host < HOSTS; host++) {
        suspects_free(sim.hosts[host]);
    }
    ck_assert_int_eq(sim.innocents, 0);
    ck_assert_int_eq(contained, HARMFUL);
    ck_assert_int_le(most, 3);
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
    tcase_add_loop_test(tcase, test_rule, 0, sizeof(rules) / sizeof(rules[0]));
    tcase_add_test(tcase, test_apart);
    tcase_add_loop_test(tcase, test_run, 0, 4);
    suite_add_tcase(suite, tcase);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
