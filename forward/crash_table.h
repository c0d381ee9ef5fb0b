/*
 * crash_table.h - table of the crash records of crashes.h, and the reports in
 * which hosts exchange them.
 */
#ifndef FORWARD_CRASH_TABLE_H
#define FORWARD_CRASH_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "base/arena.h"
#include "world/generated/link.h"

/* Records of one runner that are so close are of one crash: a crash without a
 * reset is detected after up to 0.6 s, and runners need longer to restart. */
#define CRASH_SAME_US ((int64_t)1000000)

typedef struct {
    crash_record_t shared; /* age_ms is set when it is sent */
    int64_t at_us;
} crash_entry_record_t;

/* The records of the content of requests, or of a part of their prompts. */
typedef struct crash_entry {
    uint64_t fingerprint;
    uint32_t depth;    /* of a part: how many are in front of it */
    uint32_t requests; /* that came since the first crash, to the host to which
                          most of them did */
    crash_entry_record_t records[LINK_CRASHES_MAX]; /* by time of arrival */
    size_t count;
    int64_t third_us; /* time of the third crash; INT64_MAX: there are fewer.
                         The records of the first ones may have been dropped */
    uint32_t fleet_runners;
    bool improbable;        /* its crashes are not a coincidence */
    bool logged;            /* crashes_mark_logged() was called */
    int64_t completed_us;   /* start of the last run that completed, for a
                               part the first event of the last that went on;
                               or INT64_MIN */
    crash_trial_t trial;    /* the last; without its age */
    int64_t trial_us;       /* when it was claimed or started */
    int64_t changed_us;     /* the table is sorted by it */
    int64_t own_changed_us; /* by a crash or completion on this host */
    int64_t sent_us;
    UT_hash_handle hh;
} crash_entry_t;

typedef struct {
    uint32_t host;          /* the observer of this host's records */
    uint32_t hosts;         /* number of hosts in the system */
    crash_entry_t *entries; /* least recently changed first */
    int64_t expiry_due_us;
} crash_table_t;

void crash_table_clear(crash_table_t *table);

/* Returns NULL if there is none. */
crash_entry_t *crash_table_find(const crash_table_t *table,
                                uint64_t fingerprint);
crash_entry_t *crash_table_find_or_add(crash_table_t *table,
                                       uint64_t fingerprint);
void crash_table_delete(crash_table_t *table, crash_entry_t *entry);

/*
 * Adds a record, in place of the least useful one if there is no room.
 * Returns false if the record adds nothing to those that are there.
 */
bool crash_table_add_record(crash_table_t *table, crash_entry_t *entry,
                            const crash_entry_record_t *record,
                            int64_t now_us);

/*
 * Returns whether a completed run, which started at completed_us, shows that
 * the crash was no fault of the request: all runs of it on the runner had
 * started by then.
 */
bool crash_record_is_explained(const crash_entry_record_t *record,
                               int64_t completed_us);

/*
 * Deletes the records that a completed run explains, which started at
 * start_us.  Returns their number.
 */
size_t crash_table_complete(crash_table_t *table, crash_entry_t *entry,
                            int64_t start_us, int64_t now_us);
/* Lets the next reports tell the other hosts what is known here. */
void crash_table_report(crash_table_t *table, crash_entry_t *entry,
                        int64_t now_us);

/* Whether both records are of the same crash. */
bool crash_record_is_same(const crash_entry_record_t *one,
                          const crash_entry_record_t *other);

/*
 * Returns whether the record is newer than since_us, was made by the observer
 * (0: by any host) and is the first such record of a crash.
 */
bool crash_entry_is_counted(const crash_entry_t *entry, size_t index,
                            uint32_t observer, int64_t since_us);
/* Returns the number of different crashes that are counted. */
uint32_t crash_entry_count(const crash_entry_t *entry, uint32_t observer,
                           int64_t since_us);
/* Returns the time of the number-th different crash since since_us, from 1 on;
 * INT64_MAX if there are fewer. */
int64_t crash_entry_time_of(const crash_entry_t *entry, uint32_t number,
                            int64_t since_us);
/* See crashes_write() and crashes_expire(). */
uint32_t crash_table_write(crash_table_t *table, int64_t now_us,
                           arena_t *arena, crash_report_t *reports);
void crash_table_expire(crash_table_t *table, int64_t now_us,
                        int64_t retention_us);

#endif
