/* sim_hosts.c - see sim_hosts.h. */
#include <stdio.h>

#include "regress/sim_hosts.h"

uint64_t
sim_draw(uint64_t *rng_state, uint64_t below)
{
    *rng_state = *rng_state * 6364136223846793005U + 1442695040888963407U;
    return below > 0 ? (*rng_state >> 33) % below : 0;
}

void
sim_report_write(sim_report_t *report, forward_t *forward, size_t host,
                 uint64_t incarnation, uint64_t number)
{
    *report = (sim_report_t){
        .placements = {.incarnation = incarnation, .number = number},
        .event = {.kind = FORWARD_PEER_REPORT},
    };
    forward_placements(forward, &report->arena, &report->placements);
    (void)snprintf(report->host, sizeof(report->host), "h%zu", host);
    report->event.u.peer.host = report->host;
    report->event.u.peer.placements = &report->placements;
}

void
sim_report_free(sim_report_t *report)
{
    arena_free(&report->arena);
}
