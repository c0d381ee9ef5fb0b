/*
 * crash_limit.h - decides from when on a subject of crashes.h is restricted.
 */
#ifndef FORWARD_CRASH_LIMIT_H
#define FORWARD_CRASH_LIMIT_H

#include "forward/crash_evidence.h"
#include "forward/crash_table.h"

/* A subject that has crashed fewer runners is not restricted. */
enum { CRASH_LIMIT_MIN = 3 };

/* How long a crash counts. */
#define CRASH_RETENTION_US ((int64_t)600000000)

/* Returns the number of other hosts with records, up to two. */
uint32_t crash_limit_count_hosts(const crash_table_t *table,
                                 const crash_entry_t *entry, int64_t now_us);

/*
 * Sets entry->improbable if the crashes are unlikely to be a coincidence.
 * run_time_ms is the time that the longest run of the subject has lasted.
 */
void crash_limit_evaluate(const crash_table_t *table,
                          const crash_losses_t *losses, crash_entry_t *entry,
                          uint32_t run_time_ms, int64_t now_us);

/* Returns whether this host's limit is reached, which depends on how many
 * others have seen crashes. */
bool crash_limit_is_reached(const crash_table_t *table,
                            const crash_entry_t *entry, int64_t now_us);

/* Returns since when one limit for all hosts holds; INT64_MAX if none does. */
int64_t crash_limit_since_us(const crash_entry_t *entry, int64_t now_us);

/* Returns whether a run of the subject went on shortly before the crashes. */
bool crash_limit_went_on(const crash_entry_t *entry, int64_t now_us);

#endif
