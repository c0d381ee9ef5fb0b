/*
 * crash_evidence.h - decides whether the crashes under a request can be a
 * coincidence.
 *
 * Runners that crash without the request show how often they do so by
 * themselves, and whether several fail at the same time.
 */
#ifndef FORWARD_CRASH_EVIDENCE_H
#define FORWARD_CRASH_EVIDENCE_H

#include "forward/crash_table.h"

enum { CRASH_LOSSES_MAX = 256 };

/* A crash of a runner, whatever it was running. */
typedef struct {
    uint32_t runner;
    uint32_t zone;
    int64_t at_us;
} crash_loss_t;

/* The crashes that this host has seen or heard of. */
typedef struct {
    int64_t started_us; /* crashes are known since then */
    crash_loss_t ring[CRASH_LOSSES_MAX];
    uint64_t count;
} crash_losses_t;

/* Adds the crash unless it is known. */
void crash_losses_add(crash_losses_t *losses,
                      const crash_entry_record_t *record);

/*
 * Returns whether at least count_min crashes since since_us that the observer
 * has seen (0: all hosts) are unlikely to be a coincidence of the request and
 * runners that crash by themselves, at the rate of crashes without it.
 * Correlated crashes are no evidence.
 */
bool crash_is_unlikely(const crash_losses_t *losses,
                       const crash_entry_t *entry, uint32_t observer,
                       uint32_t count_min, int64_t since_us, int64_t now_us);

#endif
