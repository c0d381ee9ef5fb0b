/*
 * suspect_private.h - data structures shared by the suspect modules.
 */
#ifndef POLICY_SUSPECT_PRIVATE_H
#define POLICY_SUSPECT_PRIVATE_H

#include <sys/queue.h>

#include "policy/suspect.h"
#include "policy/suspect_table.h"

enum {
    COMPLETED_SLOTS = 16384,
    MATCH_WINDOWS = 5,       /* records of one loss are at most so far apart */
    PENDING_LOSSES_MAX = 2,  /* defers a suspect that has so many */
    REPORT_LAG_WINDOWS = 2,  /* longest delay of a peer's loss report */
    BLOCK_DELAY_DIVISOR = 4, /* fraction of a window before blocking */
    REPORT_RUNNER_SHIFT = 32, /* runner hash in a report's loss */
};

typedef struct queued_report {
    suspect_report_t report;
    STAILQ_ENTRY(queued_report) link;
} queued_report_t;
STAILQ_HEAD(report_list, queued_report);

struct suspects {
    suspect_limits_t limits;
    uint32_t fleet_runners;
    int64_t started_us; /* losses are observed since then */
    suspect_table_t table;
    struct report_list reports; /* to be sent to peers */
    struct report_list blocked; /* newly blocked, to be taken by the caller */
    int64_t check_us;           /* when to look for causes; INT64_MAX: never */
    int64_t due_us;
    /* Hashed by fingerprint; a newer one overwrites the slot. */
    uint64_t completed[COMPLETED_SLOTS];
};

#endif
