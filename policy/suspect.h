/*
 * suspect.h - identifies and blocks requests that crash engines.
 *
 * A request is identified by the fingerprint of its content, whatever its
 * idempotency key.  When a runner is lost, every fingerprint that was running
 * on it becomes a suspect, unless several runners were lost together.  A
 * fingerprint that was present at the losses of enough different runners is
 * blocked, so its requests are refused for a time; a completed run clears
 * it.  Hosts report losses, blocks and completed runs to each other.
 *
 * The rules and their reasons are in docs/design/04-harmful-requests.md.
 */
#ifndef POLICY_SUSPECT_H
#define POLICY_SUSPECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "world/generated/link.h"

typedef struct suspects suspects_t;

typedef struct {
    int64_t window_us;       /* losses are evaluated together for so long */
    int64_t retention_us;    /* how long a loss counts */
    int64_t block_us;        /* how long a fingerprint is blocked */
    uint32_t loss_threshold; /* different runners lost before blocking */
    uint32_t correlated_runners; /* lost in one window: no request is blamed */
} suspect_limits_t;

/* The limits given in docs/design/04-harmful-requests.md. */
extern const suspect_limits_t suspect_limits_default;

/* A runner lost while it was running these requests of this host. */
typedef struct {
    const char *runner;
    const char *zone;
    uint32_t zone_runners;  /* listed runners in that zone */
    uint32_t fleet_runners; /* listed runners */
    const uint64_t *fingerprints;
    const int64_t *run_time_us; /* run time of each on the runner */
    size_t count;
} suspect_loss_t;

typedef enum {
    SUSPECT_UNRESTRICTED, /* may start on any runner */
    SUSPECT_ISOLATED,     /* may start on a runner without other suspects */
    SUSPECT_DEFERRED,     /* must wait: its losses are being evaluated, or
                         another copy of it is running */
    SUSPECT_BLOCKED,      /* blocked */
} suspect_decision_t;

/* Whether a suspect may be started on a runner that has other requests. */
typedef enum {
    COLOCATION_ALLOWED,     /* no other suspect is there */
    COLOCATION_DISCOURAGED, /* other suspects are: prefer another runner */
    COLOCATION_FORBIDDEN,   /* forbidden: one more loss may block both */
} suspect_colocation_t;

suspects_t *suspects_new(int64_t now_us, const suspect_limits_t *limits);
void suspects_free(suspects_t *suspects);

/*
 * Records a loss that this host has observed.  Losses of one runner within a
 * window are merged.
 */
void suspects_add_loss(suspects_t *suspects, int64_t now_us,
                       const suspect_loss_t *loss);

/* Handles a report from a peer. */
void suspects_handle_report(suspects_t *suspects, int64_t now_us,
                            const suspect_report_t *report);

/* Clears a fingerprint after a run of it has completed. */
void suspects_clear(suspects_t *suspects, uint64_t fingerprint);

/* Evaluates the losses that are due and removes expired ones. */
void suspects_step(suspects_t *suspects, int64_t now_us);

/* Returns when suspects_step() is next to be called, or INT64_MAX. */
int64_t suspects_due_us(const suspects_t *suspects);

/*
 * Returns whether a request may be started or restarted now.  copies is the
 * number of other live streams of this host with the same fingerprint.
 */
suspect_decision_t suspects_decide(const suspects_t *suspects, int64_t now_us,
                                   uint64_t fingerprint, size_t copies);

/* Returns the number of runners lost with it, pending losses included. */
uint32_t suspects_loss_count(const suspects_t *suspects, uint64_t fingerprint);

/* Returns whether it may share a runner with the other fingerprints. */
suspect_colocation_t suspects_check_colocation(const suspects_t *suspects,
                                               uint64_t fingerprint,
                                               const uint64_t *others,
                                               size_t count);

/* Returns whether a loss of this runner counts against the fingerprint. */
bool suspects_lost_on(const suspects_t *suspects, uint64_t fingerprint,
                      const char *runner);

/* Returns how long the fingerprint stays blocked; 0 if it is not. */
int64_t suspects_blocked_us(const suspects_t *suspects, int64_t now_us,
                            uint64_t fingerprint);

/* Removes the next report to send to all peers; false if there is none. */
bool suspects_next_report(suspects_t *suspects, suspect_report_t *report);

/*
 * Removes the next newly blocked fingerprint, whose live sessions must be
 * ended.  Returns false if there is none.
 */
bool suspects_next_blocked(suspects_t *suspects, uint64_t *fingerprint);

#endif
