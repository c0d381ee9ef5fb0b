/* version_apart.c - the host of version_sim.h that is out of step. */
#include "regress/version_private.h"

static bool
is_apart_host(const version_state_t *sim, size_t host)
{
    return sim->fault == VERSION_OUT_OF_STEP && host == sim->apart_host;
}

static int64_t
rejoin_ms(const version_state_t *sim)
{
    return sim->apart_to_ms + (sim->apart == APART_PAUSED ? WAKE_MS : 0);
}

bool
version_is_apart(const version_state_t *sim, size_t host)
{
    return is_apart_host(sim, host) && sim->now_ms >= sim->apart_from_ms &&
           sim->now_ms < rejoin_ms(sim);
}

bool
version_is_paused(const version_state_t *sim, size_t host)
{
    return is_apart_host(sim, host) && sim->apart == APART_PAUSED &&
           sim->now_ms >= sim->apart_from_ms && sim->now_ms < sim->apart_to_ms;
}

bool
version_rejoins(const version_state_t *sim)
{
    return sim->fault == VERSION_OUT_OF_STEP && sim->now_ms == rejoin_ms(sim);
}

bool
version_serves(const version_state_t *sim, uint32_t version)
{
    uint32_t count = 0;
    size_t i;

    for (i = 0; i < sim->engine_count; i++) {
        if (sim->engines[i].down_until_ms == 0 &&
            sim->engines[i].version == version) {
            count++;
        }
    }
    return count >= 2;
}

/* Tries that the end of the simulation breaks off are left out. */
bool
version_can_go_on(const version_state_t *sim, const stream_t *stream)
{
    if (!version_serves(sim, stream->version) ||
        sim->hosts[stream->host].down) {
        return false;
    }
    if (sim->fault == VERSION_OUT_OF_STEP &&
        (version_is_apart(sim, stream->host) ||
         sim->now_ms + GO_ON_MS > START_MS + DURATION_MS)) {
        return false;
    }
    return sim->fault == VERSION_POWER_LOSS ||
           sim->now_ms - sim->hosts[stream->host].start_ms >= IN_TOUCH_MS;
}
