/*
 * claim_queue.h - batches a host's claims into few writes to the store.
 *
 * At most one batch of claims is outstanding at a time.  It is resent with
 * the same holder ID until the store has answered for each of its keys or
 * the waiting requests have timed out.  A holder ID is
 * "host/incarnation/batch number".  The host keeps an interval between its
 * writes that grows with the number of live hosts, so that the whole fleet
 * stays within fleet_writes_per_s.
 *
 * Claims that this host abandons are released: their keys are deleted from
 * the store if they still contain the holder ID, and the deletion is resent
 * until the store answers.  EVENT_CLAIM_RESULTS with batch 0 is the answer to
 * ACTION_RELEASE.  It has an outcome for each key, with the holder ID to be
 * released as holder; its result is CLAIM_WON if the key no longer contains
 * it and CLAIM_UNKNOWN if the store did not answer.
 */
#ifndef POLICY_CLAIM_QUEUE_H
#define POLICY_CLAIM_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/claim.h"
#include "policy/actions.h"

typedef struct claim_queue claim_queue_t;

typedef struct {
    uint32_t batch_keys_max;     /* keys in one batch, up to 100 */
    uint32_t fleet_writes_per_s; /* of all hosts together */
    int64_t validity_us;         /* from the first send to the start */
    int64_t answer_timeout_us;   /* then the result of a write is unknown */
    int64_t lease_us;            /* lifetime of a key in the store */
} claim_limits_t;

typedef enum {
    CLAIM_GRANTED,   /* call claim_queue_try_start(), then start it */
    CLAIM_CONFLICT,  /* another claim holds the key and may have run the
                         request; this one did not run it and must not */
    CLAIM_ABANDONED, /* not run, and must not be run by this claim */
} claim_status_t;

typedef struct {
    uint64_t id;
    claim_status_t status;
    int64_t start_deadline_us;      /* CLAIM_GRANTED */
    char holder[LINK_NAME_MAX + 1]; /* CLAIM_CONFLICT */
} claim_completion_t;

/* Copies host and limits. */
claim_queue_t *claim_queue_new(const char *host, uint64_t incarnation,
                               const claim_limits_t *limits);
void claim_queue_free(claim_queue_t *queue);

/*
 * Queues a claim of key for the request id, to be abandoned if it is not
 * answered by wait_deadline_us.  Returns false, without any effect, if id or
 * key is already queued or key is longer than LINK_NAME_MAX bytes.
 */
bool claim_queue_add(claim_queue_t *queue, uint64_t id, const char *key,
                     int64_t wait_deadline_us);

/* Abandons claims that have timed out and appends the writes that are due. */
void claim_queue_step(claim_queue_t *queue, int64_t now_us,
                      uint32_t live_hosts, action_list_t *actions);

/* Handles the store's answer to a batch or a release. */
void claim_queue_handle_answer(claim_queue_t *queue, int64_t now_us,
                               const claim_results_event_t *answer);

/* Removes the oldest completion.  Returns false if there is none. */
bool claim_queue_next_completion(claim_queue_t *queue,
                                 claim_completion_t *completion);

/*
 * Marks the claim as started; called before each start at a backend.
 * Returns false if the claim is not confirmed.  Returns false and releases it
 * if its start deadline has passed.
 */
bool claim_queue_try_start(claim_queue_t *queue, uint64_t id, int64_t now_us);

/* Reverts a start that the backend did not run; it may be started again. */
void claim_queue_revert_start(claim_queue_t *queue, uint64_t id);

/*
 * Removes the claim.  The key of a started claim stays in the store for its
 * lease; any other is released.  No completion follows.
 */
void claim_queue_remove(claim_queue_t *queue, uint64_t id, int64_t now_us);

/* Returns when claim_queue_step() is next to be called, or INT64_MAX. */
int64_t claim_queue_due_us(const claim_queue_t *queue);

/* Return the number of claims without an answer, and of releases. */
size_t claim_queue_waiting_count(const claim_queue_t *queue);
size_t claim_queue_release_count(const claim_queue_t *queue);

#endif
