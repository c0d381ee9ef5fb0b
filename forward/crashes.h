/*
 * crashes.h - limits how often a request is sent that crashes runners.
 *
 * A subject is what requests may have in common that crashes runners: their
 * content, or a part of their prompt.  It is identified by a fingerprint. Each
 * host records the runners that crashed while they ran a subject and sends
 * these records to all other hosts.  As long as they may restrict the subject,
 * all hosts relay them, so that a host that missed a report or has restarted
 * learns them from any other.  Records are merged: they can arrive in any
 * order and more than once.
 *
 * Runners also crash by themselves, and a host that loses its network
 * connections sees crashes that did not happen.  Few crashes never block a
 * subject.  Shortly after the third crash the limit of a host depends on how
 * many other hosts have seen the subject crash runners.  After that, or above
 * the limit, the subject is restricted: all hosts together may start
 * CRASH_TRIALS_MAX runs of it, one after the other, whoever has seen the
 * crashes.
 *
 * A run of a content that completes shows that the crashes of earlier runs
 * were no fault of the content.  A run that goes on after its first event
 * shows the same of the parts of its prompt, and of crashes before that event.
 * Neither shows anything about what comes later.
 *
 * Requests have several subjects, and runners several requests.  A subject is
 * not restricted by crashes of which another one of the same requests is the
 * likely cause: one that no run has gone on with for longer.
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
    uint32_t depth;       /* of a part; LINK_CONTENT_DEPTH: of the content */
    uint64_t runner;      /* its id_hash */
    uint32_t zone;        /* hash of the name of its availability zone */
    uint32_t run_time_ms; /* see crash_record_t */
    uint32_t newest_run_ms;
    uint32_t fleet_runners; /* runners of the service */
} crash_t;

/*
 * The runs of a subject that are in progress on this host, but for one, and
 * for those that show that it is no cause of crashes.
 */
typedef struct {
    uint32_t count;
    uint32_t longest_ms; /* the time that the longest has lasted until now */
    int64_t newest_start_us; /* 0: there are none */
} crash_runs_t;

/* A subject of a request that is to be sent. */
typedef struct {
    uint64_t fingerprint;
    crash_runs_t others;
} crash_subject_t;

typedef enum {
    CRASH_ALLOWED,   /* the request may be sent to a runner */
    CRASH_DEFERRED,  /* wait, unless the caller has a part of the response: it
                        crashed two runners within a second */
    CRASH_SUSPENDED, /* wait: another run of it may complete */
    CRASH_BLOCKED,   /* it is not to be sent */
    CRASH_REFERRED,  /* it needs a trial, which this host may not claim */
} crash_decision_t;

/* host identifies this host among all hosts. */
crashes_t *crashes_new(int64_t now_us, const char *host);
void crashes_free(crashes_t *crashes);

/*
 * Records a crash.  That of the content of a run precedes those of the parts
 * of its prompt.
 */
void crashes_add(crashes_t *crashes, int64_t now_us, const crash_t *crash);

/* Counts a request with the subject that has come to this host. */
void crashes_add_request(crashes_t *crashes, uint64_t fingerprint);

/* Merges another host's records of one subject. */
void crashes_merge(crashes_t *crashes, int64_t now_us,
                   const crash_report_t *report);

/*
 * Records that a run of the subject, which started at start_us, has completed
 * (a part: that it has gone on since its first event at start_us), and deletes
 * the crashes that it explains, here and on the other hosts. Returns true if
 * there were any.
 */
bool crashes_complete(crashes_t *crashes, int64_t now_us, uint64_t fingerprint,
                      int64_t start_us);

/*
 * Decides whether a request with these subjects may be sent.  Sets *due_to to
 * the one that is blocked, or that the run is a trial of; 0: none.  may_claim:
 * this host may claim a trial; if not, CRASH_REFERRED takes the place of one.
 */
crash_decision_t crashes_decide(crashes_t *crashes, int64_t now_us,
                                const crash_subject_t *subjects, size_t count,
                                bool may_claim, uint64_t *due_to);

/* Count a trial of a subject that starts, and undo that if it reached no
 * runner. */
bool crashes_run_started(crashes_t *crashes, int64_t now_us,
                         uint64_t fingerprint);
void crashes_run_not_sent(crashes_t *crashes, int64_t now_us,
                          uint64_t fingerprint);
/* Ends a trial that a runner rejected. */
void crashes_run_rejected(crashes_t *crashes, int64_t now_us,
                          uint64_t fingerprint);

/* Returns whether the last call has changed what the other hosts are told. */
bool crashes_has_news(const crashes_t *crashes, int64_t now_us,
                      uint64_t fingerprint);

/* Returns true the first time that it is called for a subject. */
bool crashes_mark_logged(crashes_t *crashes, uint64_t fingerprint);

/* Returns how long the subject stays blocked; 0 if it is not. */
int64_t crashes_blocked_us(const crashes_t *crashes, int64_t now_us,
                           uint64_t fingerprint);

/* Returns the time since the first crash that is recorded; 0 if none is. */
int64_t crashes_age_us(const crashes_t *crashes, int64_t now_us,
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
