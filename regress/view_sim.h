/*
 * view_sim.h - simulates how hosts learn of the store's changes, and which
 * runners they send requests to meanwhile.
 *
 * Fleet, changes and faults are drawn: runners leave and routing tables are
 * replaced while hosts that watch the store freeze, turn slow, or lose it.
 * Judged are sends of hosts that nothing has disturbed for the contact time.
 * The same seed always gives the same result.
 */
#ifndef REGRESS_VIEW_SIM_H
#define REGRESS_VIEW_SIM_H

#include <stdint.h>

typedef struct {
    uint32_t hosts;
    uint32_t runners;
    uint32_t bound_ms;
    uint32_t sends;       /* at hosts that are judged */
    uint32_t late_sends;  /* of them to runners that had left too long ago */
    uint32_t late_routes; /* of them by a routing table that was too old */
    uint32_t worst_ms;    /* longest time after a runner had left */
    uint32_t refused;     /* requests of hosts that are judged */
    uint32_t store_calls; /* of all hosts, in a time without faults */
    uint32_t calls_ms;    /* length of that time */
} view_result_t;

view_result_t view_simulate(uint64_t seed);

#endif
