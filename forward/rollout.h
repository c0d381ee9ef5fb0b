/*
 * rollout.h - the phases of a roll-out: the move of one service to a new
 * version of its software.
 *
 *   canary       the new version gets a small share, and is judged
 *   promote      it gets all new requests; streams at the old version end
 *   completed    the old version's runners may stop
 *   rolled back  the new version gets nothing more
 *
 * A phase of an order is followed by a later one only, and nothing follows the
 * last two.  The phase is a record in the store, written under the condition
 * that it has not changed; the operators' status is written from it.  Each
 * host decides on its own what the next phase is, and writes it if no host
 * before it in the order of writers has done so.
 *
 * A state machine for one service on one host: no clock, no allocation but of
 * its own, no knowledge of requests or runners.
 */
#ifndef FORWARD_ROLLOUT_H
#define FORWARD_ROLLOUT_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/canary.h"
#include "world/rollout.h"

typedef enum {
    ROLLOUT_CANARY,
    ROLLOUT_PROMOTE,
    ROLLOUT_COMPLETED,
    ROLLOUT_ROLLED_BACK,
} rollout_phase_t;

/* Bytes of a record, with its NUL. */
enum { ROLLOUT_RECORD_BYTES = 64, ROLLOUT_VERSION_BYTES = 128 };

typedef struct {
    uint32_t share_permille; /* of a service's requests that a version may get
                                that has not proved good */
    uint32_t slack;          /* and as many requests more, over all hosts */
    uint32_t rollback_ms;    /* longest time to act on a bad version */
} rollout_limits_t;

/* A key in the store that is written under a condition. */
typedef struct {
    int64_t revision; /* as last seen; 0: it does not exist */
    bool pending;     /* a write of this host is in progress */
    int64_t retry_at_us;
    int64_t wanted_us; /* since when it has to be written; 0: it has not */
} rollout_key_t;

/* What a record of the store says. */
typedef struct {
    int64_t order_revision;
    rollout_phase_t phase;
    uint32_t elapsed_ms;
} rollout_record_t;

/* Initialised to zero. */
typedef struct {
    /* The order in force. */
    char version[ROLLOUT_VERSION_BYTES]; /* "": none */
    int64_t order_revision;              /* 0: none, or withdrawn */
    int64_t started_us; /* no later than the order became known */
    uint32_t duration_ms;
    bool early;   /* this host has known of it from its start on */
    bool invalid; /* it has no version, or no time to move to it */
    bool withdrawn;
    /* Its phase. */
    rollout_phase_t phase;
    int64_t phase_us;   /* since when this host knows of it */
    bool bad;           /* found here, or told by another host */
    int64_t runners_us; /* when the first runner was seen; 0: none yet */
    rollout_key_t record;
    rollout_record_t recorded;
    rollout_key_t status;
    rollout_state_t status_state;
    char status_version[ROLLOUT_VERSION_BYTES];
    bool wrote_record; /* this host has: it writes the status at once */
} rollout_t;

/* What a host knows when it checks a roll-out. */
typedef struct {
    int64_t now_us;
    canary_verdict_t verdict;
    bool bad_told;        /* by another host */
    bool hosts_heard;     /* enough hosts have told their evidence */
    uint32_t new_runners; /* that may be chosen */
    uint32_t old_runners;
    uint32_t old_streams;    /* of all hosts, at the old version */
    uint32_t writers_before; /* hosts before this one in the order */
} rollout_view_t;

/* What a host has to write; the others may have to, too. */
typedef struct {
    bool put_record;
    char record[ROLLOUT_RECORD_BYTES];
    bool put_status;
    rollout_status_t status; /* its service is not set */
} rollout_writes_t;

/*
 * Applies an order and returns whether it differs from the one in force;
 * revision 0: it has been withdrawn.  early: it was written just now, and not
 * found by a full read of the store.
 */
bool rollout_set_order(rollout_t *rollout, int64_t now_us,
                       const rollout_order_t *order, bool early);
/* Applies the record as the store has it; NULL: it does not exist.  Returns
 * false if it cannot be read. */
bool rollout_set_record(rollout_t *rollout, int64_t now_us, const char *text,
                        int64_t revision);
void rollout_set_status(rollout_t *rollout, const rollout_status_t *status);
/* Another host has known of the order for so long. */
void rollout_set_elapsed(rollout_t *rollout, int64_t now_us,
                         int64_t order_revision, uint32_t elapsed_ms);

/* Returns whether there is an order, or one that was withdrawn. */
bool rollout_is_known(const rollout_t *rollout);
/* Returns whether hosts watch the new version and tell their evidence. */
bool rollout_is_open(const rollout_t *rollout);
/* Returns whether no request is to be sent to the new version. */
bool rollout_excludes_new(const rollout_t *rollout);
/* Returns the share of requests, in thousandths, for the new version; more
 * than 1000 never. */
uint32_t rollout_share(const rollout_t *rollout, int64_t now_us,
                       const rollout_limits_t *limits,
                       const canary_evidence_t *evidence, uint64_t route);

/* Decides on the next phase, and what to write now. */
void rollout_check(rollout_t *rollout, const rollout_view_t *view,
                   rollout_writes_t *writes);
/* A write has ended. */
void rollout_record_written(rollout_t *rollout, int64_t now_us, bool failed,
                            bool done);
void rollout_status_written(rollout_t *rollout, int64_t now_us, bool failed);
/* Returns when rollout_check() is due; INT64_MAX: after a change only. */
int64_t rollout_due_us(const rollout_t *rollout, int64_t now_us);

const char *rollout_phase_name(rollout_phase_t phase);

#endif
