/*
 * crash_trial.h - trial runs of a request that may crash its runner.
 *
 * All hosts together may start CRASH_TRIALS_MAX runs of a restricted request.
 * A host claims the next trial and reports that.  If several hosts claim the
 * same one, all of them prefer the same claim.  The host whose claim it is
 * starts the run some time later, when the reports have arrived.
 */
#ifndef FORWARD_CRASH_TRIAL_H
#define FORWARD_CRASH_TRIAL_H

#include "forward/crash_table.h"

enum { CRASH_TRIALS_MAX = 3 /* the users' limit */ };

/* Returns whether the outcome of the last trial is known, or will not be. */
bool crash_trial_is_over(const crash_table_t *table,
                         const crash_entry_t *entry, int64_t now_us);
/* Returns whether this host may start the trial that it has claimed. */
bool crash_trial_is_due(const crash_table_t *table, const crash_entry_t *entry,
                        int64_t now_us);
/* Claims the next trial for this host. */
void crash_trial_claim(crash_table_t *table, crash_entry_t *entry,
                       int64_t now_us);
/* Records that a run starts.  Returns true if it is this host's trial. */
bool crash_trial_start(crash_table_t *table, crash_entry_t *entry,
                       int64_t now_us);
/* Records that the run did not reach a runner. */
void crash_trial_undo_start(const crash_table_t *table, crash_entry_t *entry,
                            int64_t now_us);
/* Records that a runner rejected the run.  The trial still counts, because it
 * has reached a runner. */
void crash_trial_end_rejected(const crash_table_t *table, crash_entry_t *entry,
                              int64_t now_us);
/* Replaces the trial if another host's is newer, or has precedence. */
void crash_trial_merge(crash_entry_t *entry, const crash_trial_t *trial,
                       int64_t now_us);

#endif
