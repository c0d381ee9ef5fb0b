/* suspicion_draw.c - draws scenarios for suspicion_sim.h. */
#include <inttypes.h>
#include <stdio.h>

#include "regress/suspicion_sim.h"

enum {
    HARMLESS_ONE_IN = 4,
    INTERVAL_HOSTS = 10, /* up to which hosts report at REPORT_MS */
    REPORT_MS = 500,
    DURATION_MS = 30000,
    PLAIN_RUN_MAX_MS = 300, /* plain requests have 600 ms */
};

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))
#define PICK(state, list) ((list)[draw(state, COUNT(list))])

static uint64_t
draw(uint64_t *state, uint64_t below)
{
    *state = *state * 6364136223846793005U + 1442695040888963407U;
    return (*state >> 33) % below;
}

static bool
one_in(uint64_t *state, uint64_t count)
{
    return draw(state, count) == 0;
}

static void
draw_harmful(uint64_t *state, suspicion_scenario_t *scenario)
{
    static const int64_t intervals_ms[] = {50,  100,  200,  300,
                                           500, 1000, 2000, 5000};
    static const int64_t runs_ms[] = {10, 20, 80, 300, 1500, 3000};
    static const int64_t sticky_ms[] = {1000, 2000, 4000, 8000};
    static const int64_t until_ms[] = {3000, 5000, 10000};

    scenario->harmful_interval_ms = PICK(state, intervals_ms);
    scenario->harmful_run_ms = PICK(state, runs_ms);
    if (scenario->plain && scenario->harmful_run_ms > PLAIN_RUN_MAX_MS) {
        scenario->harmful_run_ms = PLAIN_RUN_MAX_MS;
    }
    scenario->harmful_contents = one_in(state, 3) ? 2 : 1;
    scenario->harmful_once = one_in(state, 6);
    if (!one_in(state, 3)) {
        scenario->sticky_ms = PICK(state, sticky_ms);
        scenario->sticky_first = one_in(state, 2);
    }
    if (one_in(state, 3)) {
        scenario->harmless_until_ms = PICK(state, until_ms);
    }
}

static void
draw_faults(uint64_t *state, suspicion_scenario_t *scenario)
{
    static const int64_t zone_ms[] = {4500, 6500, 11000};
    static const int64_t single_ms[] = {500, 1000, 2000, 4000};
    static const int64_t host_ms[] = {2000, 3000, 8000};

    if (one_in(state, 4)) {
        scenario->zone_crash_interval_ms = PICK(state, zone_ms);
    }
    if (one_in(state, 3)) {
        scenario->single_crash_interval_ms = PICK(state, single_ms);
    }
    if (one_in(state, 5)) {
        scenario->host_restart_interval_ms = PICK(state, host_ms);
    }
    if (one_in(state, 5)) {
        scenario->reports_lost_percent = 5 + (uint32_t)draw(state, 16);
    }
    if (one_in(state, 6)) {
        scenario->store_outage_ms = 6000;
    }
    scenario->host_partitioned = scenario->hosts > 3 && one_in(state, 6);
    if (one_in(state, 6)) {
        scenario->popular_percent = 20;
    }
}

suspicion_scenario_t
suspicion_draw(uint64_t seed)
{
    static const size_t hosts[] = {3, 4, 6, 7, 12, 24, 40, 88};
    static const size_t engines[] = {3, 3, 3, 4, 6, 9, 12, 18, 36, 60};
    static const int64_t restarts_ms[] = {400, 1200, 2000, 3000, 6000};
    uint64_t state = seed * 2654435761U + 1;
    suspicion_scenario_t scenario = {
        .name = "drawn", .seed = seed, .duration_ms = DURATION_MS};

    (void)draw(&state, 2);
    scenario.hosts = PICK(&state, hosts);
    scenario.engines = PICK(&state, engines);
    scenario.plain = one_in(&state, 3);
    scenario.restart_ms = PICK(&state, restarts_ms);
    scenario.restart_new_id = one_in(&state, 2);
    scenario.callers_resend = !one_in(&state, 4);
    scenario.request_interval_ms = scenario.engines <= 6 ? 50 : 20;
    scenario.reports_at_once = true;
    scenario.report_interval_ms =
        scenario.hosts > INTERVAL_HOSTS
            ? REPORT_MS * (int64_t)scenario.hosts / INTERVAL_HOSTS
            : REPORT_MS;
    if (!one_in(&state, HARMLESS_ONE_IN)) {
        draw_harmful(&state, &scenario);
    }
    draw_faults(&state, &scenario);
    return scenario;
}

suspicion_scenario_t
suspicion_draw_part(uint64_t seed)
{
    static const int64_t intervals_ms[] = {50, 100, 150, 300, 600, 1500, 3000};
    static const int64_t writes_ms[] = {10, 50, 100, 200};
    static const int64_t until_ms[] = {5000, 8000};
    static const int64_t delays_ms[] = {200, 700, 1500};
    uint64_t state = seed * 2654435761U + 7;
    suspicion_scenario_t scenario = suspicion_draw(seed);

    (void)draw(&state, 2);
    scenario.harmful_part = true;
    scenario.plain = false;
    scenario.popular_percent = 0;
    scenario.harmful_interval_ms =
        one_in(&state, 8) ? 0 : PICK(&state, intervals_ms);
    scenario.harmful_run_ms = PICK(&state, writes_ms);
    scenario.harmful_contents = one_in(&state, 3) ? 2 : 1;
    scenario.harmful_once = one_in(&state, 8);
    scenario.harmful_after_event = one_in(&state, 4);
    scenario.harmless_until_ms =
        one_in(&state, 2) ? PICK(&state, until_ms) : 0;
    scenario.parts = 1 + (uint32_t)draw(&state, 5);
    scenario.part_depth = (uint32_t)draw(&state, scenario.parts + 1);
    scenario.parts_kind = (parts_kind_t)draw(&state, PARTS_UNIQUE + 1);
    scenario.first_parts = 1 + (uint32_t)draw(&state, 12);
    scenario.sessions = 2 + (uint32_t)draw(&state, 30);
    scenario.report_delay_ms = one_in(&state, 4) ? PICK(&state, delays_ms) : 0;
    return scenario;
}

suspicion_scenario_t
suspicion_draw_headless(uint64_t seed)
{
    static const int64_t spreads_ms[] = {300, 600, 1200};
    uint64_t state = seed * 2654435761U + 11;
    suspicion_scenario_t scenario = suspicion_draw_part(seed);

    (void)draw(&state, 2);
    scenario.harmful_before_head = true;
    scenario.harmful_after_event = false;
    scenario.prefill_spread_ms =
        one_in(&state, 3) ? 0 : PICK(&state, spreads_ms);
    return scenario;
}

void
suspicion_describe(const suspicion_scenario_t *scenario, char *text,
                   size_t size_bytes)
{
    const struct {
        const char *name;
        int64_t value;
    } members[] = {
        {"seed", (int64_t)scenario->seed},
        {"hosts", (int64_t)scenario->hosts},
        {"engines", (int64_t)scenario->engines},
        {"plain", scenario->plain},
        {"interval", scenario->harmful_interval_ms},
        {"run", scenario->harmful_run_ms},
        {"contents", scenario->harmful_contents},
        {"once", scenario->harmful_once},
        {"harmless_until", scenario->harmless_until_ms},
        {"sticky", scenario->sticky_ms},
        {"sticky_first", scenario->sticky_first},
        {"restart", scenario->restart_ms},
        {"new_id", scenario->restart_new_id},
        {"resend", scenario->callers_resend},
        {"zone_crash", scenario->zone_crash_interval_ms},
        {"single_crash", scenario->single_crash_interval_ms},
        {"host_restart", scenario->host_restart_interval_ms},
        {"lost_percent", scenario->reports_lost_percent},
        {"outage", scenario->store_outage_ms},
        {"partitioned", scenario->host_partitioned},
        {"popular", scenario->popular_percent},
        {"harmful_part", scenario->harmful_part},
        {"depth", scenario->part_depth},
        {"parts", scenario->parts},
        {"kind", scenario->parts_kind},
        {"first_parts", scenario->first_parts},
        {"sessions", scenario->sessions},
        {"after_event", scenario->harmful_after_event},
        {"before_head", scenario->harmful_before_head},
        {"prefill_spread", scenario->prefill_spread_ms},
        {"delay", scenario->report_delay_ms},
    };
    size_t used = 0;
    size_t i;

    text[0] = '\0';
    for (i = 0; i < COUNT(members); i++) {
        if (members[i].value != 0 && used < size_bytes) {
            used += (size_t)snprintf(text + used, size_bytes - used,
                                     "%s%s=%" PRId64, used > 0 ? " " : "",
                                     members[i].name, members[i].value);
        }
    }
}
