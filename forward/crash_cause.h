/*
 * crash_cause.h - tells the subject that causes crashes from those that were
 * there, too.
 */
#ifndef FORWARD_CRASH_CAUSE_H
#define FORWARD_CRASH_CAUSE_H

#include "forward/crash_table.h"

/*
 * Returns whether the entry is of a part, and another part, with count_min
 * crashes or more since since_us, is the more likely cause of its crashes: but
 * for one crash at most, runs with both of them were on the runners.  The
 * cause is the part with which no run has gone on for clearly longer, else the
 * one with more crashes, else the one that clearly fewer requests contain,
 * else the later one in the prompt.
 */
bool crash_cause_is_other(const crash_table_t *table,
                          const crash_entry_t *entry, uint32_t count_min,
                          int64_t since_us);

#endif
