/*
 * sim_hosts.h - what the simulations of several hosts have in common.
 */
#ifndef REGRESS_SIM_HOSTS_H
#define REGRESS_SIM_HOSTS_H

#include <stddef.h>
#include <stdint.h>

#include "forward/forward.h"

enum { SIM_NAME_BYTES = 32 };

/* A host's report to the others. */
typedef struct {
    arena_t arena;
    placements_t placements;
    char host[SIM_NAME_BYTES];
    forward_event_t event; /* to be delivered to the other hosts */
} sim_report_t;

/* Returns a pseudo-random number below the limit; 0 if the limit is 0. */
uint64_t sim_draw(uint64_t *rng_state, uint64_t below);

/* Writes the report with this number of host h<host>. */
void sim_report_write(sim_report_t *report, forward_t *forward, size_t host,
                      uint64_t incarnation, uint64_t number);
void sim_report_free(sim_report_t *report);

#endif
