/*
 * claim.h - state machine of one host's claim on a non-idempotent request.
 *
 * A claim ensures that at most one host starts a request.  It is a key in
 * the platform's key-value store, created if absent with the host's holder
 * ID before the first byte is sent to a backend.  A claim_t is the state of
 * one claim on the host that requests it; claim_queue.h batches many of them
 * into few writes.  A zeroed claim_t is in state CLAIM_WAITING.
 *
 *     WAITING -> SENT -> CONFIRMED <-> STARTED
 *        \________\_________\_____________\____-> ENDED
 *
 * docs/design/03-at-most-once.md shows why no interleaving of calls starts a
 * request twice.
 */
#ifndef POLICY_CLAIM_H
#define POLICY_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/generated/event.h"

typedef enum {
    CLAIM_WAITING,   /* not sent: the store cannot hold the key for it */
    CLAIM_SENT,      /* sent at least once; the result is unknown */
    CLAIM_CONFIRMED, /* the store holds our ID; may start until the deadline */
    CLAIM_STARTED,   /* sent to a backend */
    CLAIM_ENDED,     /* must not be started */
} claim_state_t;

typedef struct {
    claim_state_t state;
    uint32_t send_count;
    uint64_t batch; /* of the batch that it was sent in */
    int64_t start_deadline_us;
} claim_t;

/*
 * Records that the claim is sent as part of a batch.  The first send sets the
 * start deadline, because the store cannot create the key earlier.
 */
void claim_record_send(claim_t *claim, uint64_t batch, int64_t now_us,
                       int64_t validity_us);

/*
 * Handles the store's answer to a send in the given batch.  is_holder tells
 * whether the holder ID in the store is exactly this claim's.  Answers for
 * other batches and answers in any state but CLAIM_SENT are ignored.
 */
void claim_handle_answer(claim_t *claim, uint64_t batch, claim_result_t result,
                         bool is_holder, int64_t now_us);

/*
 * Moves a confirmed claim to CLAIM_STARTED.  Returns false if it is not
 * confirmed or its deadline has passed.
 */
bool claim_try_start(claim_t *claim, int64_t now_us);

/* Returns a started claim that the backend did not run to CLAIM_CONFIRMED. */
void claim_revert_start(claim_t *claim);

/*
 * Ends the claim on this host.  Returns whether its key may be in the store,
 * now or later, and has to be released.  Returns false for a started claim:
 * its key must outlive the request.
 */
bool claim_abandon(claim_t *claim);

#endif
