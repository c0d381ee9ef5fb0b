/*
 * version_sim.h - simulates streams while a release replaces engines.
 *
 * Fleet and faults are drawn: engines crash and hosts are killed while the
 * release goes on.  Callers whose host is gone, or whose stream is broken off,
 * take it up at any host.  The same seed always gives the same result.
 *
 * With a power loss, all hosts are killed at a drawn moment of the release,
 * and have the store to tell them what they knew; it may be slow or away.
 *
 * Out of step, a host stands still for 1.5 to 6 s while a second version is
 * recorded, or gets nothing from the store and the other hosts for so long.
 * The store may be away for all hosts.
 */
#ifndef REGRESS_VERSION_SIM_H
#define REGRESS_VERSION_SIM_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
    VERSION_CRASHES,
    VERSION_POWER_LOSS,
    VERSION_OUT_OF_STEP,
} version_fault_t;

typedef struct {
    uint32_t hosts;
    uint32_t engines;
    uint32_t streams;
    uint32_t begun; /* streams with an event */
    uint32_t mixed; /* streams with events of two versions */
    /* Streams taken up while two engines of their version serve, and those of
     * them that got another event; without a power loss, at hosts that have
     * run for 3 s and are in step. */
    uint32_t resumed;
    uint32_t went_on;
    /* The same at the host that is out of step, whatever serves. */
    uint32_t resumed_apart;
    uint32_t went_on_apart;
    /* Of the store, but for VERSION_CRASHES. */
    const char *store;
    bool store_well;
    uint32_t writes;
} version_result_t;

version_result_t version_simulate(uint64_t seed, version_fault_t fault);

#endif
