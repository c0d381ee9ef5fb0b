/*
 * silence_sim.h - simulates requests while sound runners fall silent.
 *
 * A silent runner neither sends nor answers probes, and goes on after at most
 * 3 s.  In some fleets runners really fail, too: with a reset of their
 * connections, or dark, without any sign.  Fleet, load and faults are drawn.
 * The same seed always gives the same result.
 */
#ifndef REGRESS_SILENCE_SIM_H
#define REGRESS_SILENCE_SIM_H

#include <stdbool.h>
#include <stdint.h>

enum { SILENCE_TYPES = 3, SILENCE_GAPS_MAX = 512 };

/* Gaps of resumed streams, from the last event of the run that was lost. */
typedef struct {
    uint32_t count;
    uint32_t ms[SILENCE_GAPS_MAX];
} silence_gaps_t;

typedef struct {
    uint32_t hosts;
    uint32_t engines;
    uint32_t plain;
    bool fails;                       /* runners really fail, too */
    uint32_t requests[SILENCE_TYPES]; /* by request_type_t */
    uint32_t served;
    uint32_t not_run; /* refused, and no runner has run it */
    uint32_t refused; /* may have run */
    uint32_t aborted;
    uint32_t timeouts; /* refused or aborted at their deadline */
    uint32_t open;     /* at the end of the simulation */
    /* Refused or aborted before their deadline, by whether a runner that had
     * received the request has really failed. */
    uint32_t ended_sound;
    uint32_t ended_after_loss;
    uint32_t double_unsafe;  /* unsafe requests that ran twice */
    uint32_t double_streams; /* runs beside one whose runner is reached */
    uint32_t overlaps;       /* the same, but it is not reached */
    uint32_t harmful;        /* harmless requests refused as harmful */
    uint32_t runs;
    uint32_t repeated; /* runs ended and begun again at another runner, while
                          theirs was sound */
    silence_gaps_t reset;
    silence_gaps_t dark;
    silence_gaps_t lost_silent; /* either, while the runner was silent */
} silence_result_t;

silence_result_t silence_simulate(uint64_t seed);

#endif
