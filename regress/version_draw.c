/* version_draw.c - draws the fleets and faults of version_sim.h. */
#include <string.h>

#include "regress/sim_hosts.h"
#include "regress/version_private.h"

static uint64_t
draw(version_state_t *sim, uint64_t below)
{
    return sim_draw(&sim->rng_state, below);
}

/* Before, within and after the time in which engines are replaced. */
static void
draw_power_loss(version_state_t *sim)
{
    int64_t release_ms = (int64_t)sim->engine_count * 2 * RETRY_MS;

    sim->kill_percent = 0;
    sim->power_at_ms =
        START_MS + RELEASE_START_MS - 500 +
        (int64_t)draw(sim, (uint64_t)(release_ms + 3000) / TICK_MS) * TICK_MS;
    sim->power_ms = 200 + (int64_t)draw(sim, 24) * 100;
    sim->store = (store_t)draw(sim, STORE_STATES);
    sim->store_from_ms = sim->power_at_ms - 1500 + (int64_t)draw(sim, 3000);
    sim->store_to_ms = sim->store_from_ms + 1000 + (int64_t)draw(sim, 2000);
    if (draw(sim, 2) == 0) {
        sim->released_percent = PERCENT;
    }
}

/* Engines of both versions serve; the host is out of step from before the
 * second one is recorded until some time after that. */
static void
draw_out_of_step(version_state_t *sim)
{
    static const size_t hosts[] = {3, 4, 6, 7, 12, 24};
    static const size_t engines[] = {9, 12, 18, 36};

    sim->host_count = hosts[draw(sim, sizeof(hosts) / sizeof(hosts[0]))];
    sim->engine_count =
        engines[draw(sim, sizeof(engines) / sizeof(engines[0]))];
    sim->released_percent = 30 + (uint32_t)draw(sim, 40);
    sim->same_id = false;
    sim->apart_host = draw(sim, sim->host_count);
    sim->apart = draw(sim, 2) == 0 ? APART_PAUSED : APART_CUT;
    sim->crash_percent = 20 + (uint32_t)draw(sim, 30);
    sim->fault_ms = 1500 + (int64_t)draw(sim, 15) * 100;
    sim->apart_from_ms = START_MS + 3500 + (int64_t)draw(sim, 150) * TICK_MS;
    sim->apart_to_ms =
        sim->apart_from_ms + 1500 + (int64_t)draw(sim, 450) * TICK_MS;
    sim->store = draw(sim, 3) == 0 ? STORE_AWAY : STORE_WELL;
    sim->store_from_ms = START_MS + 4000 + (int64_t)draw(sim, 600) * TICK_MS;
    sim->store_to_ms =
        sim->store_from_ms + 1000 + (int64_t)draw(sim, 400) * TICK_MS;
}

void
version_draw(version_state_t *sim, uint64_t seed, version_fault_t fault)
{
    static const size_t hosts[] = {3, 4, 6, 7, 12, 24, 40, 88};
    static const size_t engines[] = {4, 6, 9, 12, 18, 36, 60};

    memset(sim, 0, sizeof(*sim));
    sim->rng_state = seed;
    sim->now_ms = START_MS;
    (void)draw(sim, 2);
    sim->host_count = hosts[draw(sim, sizeof(hosts) / sizeof(hosts[0]))];
    sim->engine_count =
        engines[draw(sim, sizeof(engines) / sizeof(engines[0]))];
    sim->crash_percent = 10 + (uint32_t)draw(sim, 30);
    sim->kill_percent = 10 + (uint32_t)draw(sim, 40);
    sim->lost_percent = draw(sim, 3) == 0 ? 5 + (uint32_t)draw(sim, 16) : 0;
    sim->released_percent = 20 + (uint32_t)draw(sim, 80);
    sim->fault_ms = 1500 + (int64_t)draw(sim, 50) * 100;
    sim->restart_ms = 400 + (int64_t)draw(sim, 20) * 100;
    sim->same_id = draw(sim, 2) == 0;
    sim->fault = fault;
    if (fault == VERSION_POWER_LOSS) {
        draw_power_loss(sim);
    }
    if (fault == VERSION_OUT_OF_STEP) {
        draw_out_of_step(sim);
    }
}
