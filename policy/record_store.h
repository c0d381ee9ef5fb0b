/*
 * record_store.h - stores replicas of the session records of other hosts.
 *
 * The host that owns a session sends updates of its record while a long
 * generation runs.  When the owner fails, the host that its caller connects
 * to next looks the record up, becomes its owner at the next epoch, and
 * resumes the generation.  A higher epoch fences a lower one.  A partition
 * can produce two owners with the same epoch; then the host name that is
 * greater in byte order fences the other.
 *
 * The store is bounded.  Records of ended sessions expire
 * RECORD_FINISHED_TTL_US after their last update, and records of running ones
 * RECORD_RUNNING_TTL_US after it.  When the store exceeds its size, records
 * are evicted, those of ended sessions first and the least recently updated
 * first.
 */
#ifndef POLICY_RECORD_STORE_H
#define POLICY_RECORD_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/generated/event.h"
#include "policy/actions.h"

enum {
    RECORD_FINISHED_TTL_US = 600000000,
    RECORD_RUNNING_TTL_US = 600000000,
    RECORD_STORE_BYTES_MAX = 24 << 20,
};

typedef struct record_store record_store_t;

/* Creates a store of at most bytes_max; 0: RECORD_STORE_BYTES_MAX. */
record_store_t *record_store_new(size_t bytes_max);
void record_store_free(record_store_t *store);

/*
 * Applies an owner's update and acknowledges it while the session runs.  An
 * update that is fenced is rejected with MESSAGE_SUPERSEDED, and one that
 * does not continue the stored record with MESSAGE_RECORD_GAP.
 */
void record_store_update(record_store_t *store, int64_t now_us,
                         const char *from, const record_t *record,
                         action_list_t *actions);

/*
 * Replies to a lookup with MESSAGE_LOOKUP_REPLY.  Makes the sender the owner
 * of a running record and sends MESSAGE_SUPERSEDED to the previous owner.
 */
void record_store_lookup(record_store_t *store, int64_t now_us,
                         const char *from, const lookup_t *lookup,
                         action_list_t *actions);

/* Returns the record of a request or NULL; valid until the next call. */
const record_t *record_store_find(const record_store_t *store,
                                  const request_name_t *request);

/* Removes expired records. */
void record_store_expire(record_store_t *store, int64_t now_us);

/* Returns the time at which the next record expires, or INT64_MAX. */
int64_t record_store_due_us(const record_store_t *store);

typedef struct {
    uint64_t records; /* stored now */
    uint64_t bytes;   /* allocated now */
    uint64_t accepted;
    uint64_t fenced;    /* lower epoch, or equal and a lower owner name */
    uint64_t gaps;      /* did not continue the stored record */
    uint64_t malformed; /* tokens, boundaries and text are inconsistent */
    uint64_t lookups;
    uint64_t found;
    uint64_t taken_over;
    uint64_t expired;
    uint64_t evicted_finished; /* removed to limit the store's size */
    uint64_t evicted_running;  /* the same; these can't be resumed */
} record_store_counters_t;
const record_store_counters_t *
record_store_counters(const record_store_t *store);

#endif
