/*
 * keep.h - the records that this host keeps for sessions of others.
 *
 * An owner appends to its record while a long generation runs.  When the
 * owner is lost, whoever its caller comes to asks for the record, becomes
 * its owner with the next epoch, and goes on.  The higher epoch fences the
 * lower; of two owners with one epoch, which a partition can make, the one
 * whose name is greater in the order of bytes.
 *
 * What is kept is bounded: finished records by KEEP_FINISHED_US, running
 * ones by KEEP_RUNNING_US without news, and all by a number of bytes, where
 * the finished ones go first, oldest first.
 */
#ifndef POLICY_KEEP_H
#define POLICY_KEEP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/generated/event.h"
#include "policy/orders.h"

enum {
    KEEP_FINISHED_US = 600000000,
    KEEP_RUNNING_US = 600000000,
    KEEP_BYTES = 24 << 20,
};

typedef struct keep keep_t;

/* bytes_max 0 means KEEP_BYTES. */
keep_t *keep_new(size_t bytes_max);
void keep_free(keep_t *keep);

/*
 * An owner's record.  One that is fenced is answered by SUPERSEDED, one
 * that does not continue what is held by RECORD_GAP, and neither is kept.
 */
void keep_record(keep_t *keep, int64_t now_us, const char *from,
                 const record_t *record, order_list_t *orders);

/*
 * Answers a lookup by FOUND.  A running record has the asker as its owner
 * from then on, and the former one is told that it is superseded.
 */
void keep_lookup(keep_t *keep, int64_t now_us, const char *from,
                 const lookup_t *lookup, order_list_t *orders);

/* The record of a request, or NULL; valid until the next call. */
const record_t *keep_find(const keep_t *keep, const request_name_t *request);

/* Drops what has been kept for long enough. */
void keep_timer(keep_t *keep, int64_t now_us);
/* When the next record is due to be dropped; INT64_MAX: none. */
int64_t keep_due_us(const keep_t *keep);

typedef struct {
    uint64_t records; /* now */
    uint64_t bytes;   /* now, as allocated */
    uint64_t taken;
    uint64_t fenced;    /* of a lower epoch, or the lesser owner of one */
    uint64_t gaps;      /* did not continue what is held */
    uint64_t malformed; /* tokens, cuts and text that do not agree */
    uint64_t lookups;
    uint64_t found;
    uint64_t taken_over;
    uint64_t expired;
    uint64_t evicted_finished; /* by the bound of bytes */
    uint64_t evicted_running;  /* by it, too: these could not be resumed */
} keep_counters_t;
const keep_counters_t *keep_counters(const keep_t *keep);

#endif
