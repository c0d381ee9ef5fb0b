/*
 * crashes.h - limits how often a request is sent that crashes runners.
 *
 * A request is identified by the fingerprint of its content.  Each host
 * records the runners that crashed while they ran it and sends these records
 * to all other hosts.  As long as they may restrict the request, all hosts
 * relay them, so that a host that missed a report or has restarted learns them
 * from any other.  Records
 * are merged: they can arrive in any order and more than once.
 *
 * Runners also crash by themselves, and a host that loses its network
 * connections sees crashes that did not happen.  Few crashes never block a
 * request.  Shortly after the third crash the limit of a host depends on how
 * many other hosts have seen the request crash runners.  After that, or above
 * the limit, the request is restricted: all hosts together may start
 * CRASH_TRIALS_MAX runs of it, one after the other, whoever has seen the
 * crashes.
 *
 * A run that completes shows that the crashes of earlier runs were no fault of
 * the request.  It shows nothing about runs that started later.
 */
#ifndef FORWARD_CRASHES_H
#define FORWARD_CRASHES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "world/generated/link.h"

typedef struct crashes crashes_t;

/* A runner that appeared to crash while this host had a request on it. */
typedef struct {
    uint64_t fingerprint;
    uint64_t runner; /* its id_hash */
    uint32_t zone;   /* hash of the name of its availability zone */
    uint32_t run_time_ms;
    uint32_t fleet_runners; /* runners of the service */
} crash_t;

/* The runs of a request that are in progress on this host, but for one. */
typedef struct {
    uint32_t count;
    uint32_t longest_ms; /* the time that the longest has lasted until now */
    int64_t newest_start_us; /* 0: there are none */
} crash_runs_t;

typedef enum {
    CRASH_ALLOWED,   /* the request may be sent to a runner */
    CRASH_DEFERRED,  /* wait, unless the caller has a part of the response: it
                        crashed two runners within a second */
    CRASH_SUSPENDED, /* wait: another run of it may complete */
    CRASH_BLOCKED,   /* it is not to be sent */
} crash_decision_t;

/* host identifies this host among all hosts. */
crashes_t *crashes_new(int64_t now_us, const char *host);
void crashes_free(crashes_t *crashes);

/* Records a crash. */
void crashes_add(crashes_t *crashes, int64_t now_us, const crash_t *crash);

/* Merges another host's records of one request. */
void crashes_merge(crashes_t *crashes, int64_t now_us,
                   const crash_report_t *report);

/*
 * Records that a run of the request, which started at start_us, has completed,
 * and deletes the crashes that it explains, here and on the other hosts.
 * Returns true if there were any.
 */
bool crashes_complete(crashes_t *crashes, int64_t now_us, uint64_t fingerprint,
                      int64_t start_us);

/* Decides whether the request may be sent. */
crash_decision_t crashes_decide(crashes_t *crashes, int64_t now_us,
                                uint64_t fingerprint,
                                const crash_runs_t *others);

/* Count a run that starts, and undo that if it reached no runner. */
bool crashes_run_started(crashes_t *crashes, int64_t now_us,
                         uint64_t fingerprint);
void crashes_run_not_sent(crashes_t *crashes, int64_t now_us,
                          uint64_t fingerprint);

/* Returns whether the last call has changed what the other hosts are told. */
bool crashes_has_news(const crashes_t *crashes, int64_t now_us,
                      uint64_t fingerprint);

/* Returns true the first time that it is called for a request. */
bool crashes_mark_logged(crashes_t *crashes, uint64_t fingerprint);

/* Returns how long the request stays blocked; 0 if it is not. */
int64_t crashes_blocked_us(const crashes_t *crashes, int64_t now_us,
                           uint64_t fingerprint);

/* Returns the number of different crashes that are recorded. */
uint32_t crashes_count(const crashes_t *crashes, int64_t now_us,
                       uint64_t fingerprint);

/*
 * Writes the reports that are due, up to LINK_CRASH_REPORTS_MAX, for the other
 * hosts.  hosts is the number of hosts in the system.  Returns the number of
 * reports.  The records are allocated in arena.
 */
uint32_t crashes_write(crashes_t *crashes, int64_t now_us, uint32_t hosts,
                       arena_t *arena, crash_report_t *reports);

/* Deletes records that are too old to count. */
void crashes_expire(crashes_t *crashes, int64_t now_us);

#endif
