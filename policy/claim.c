/* claim.c - state machine of one claim; see claim.h. */
#include "policy/claim.h"

void
claim_record_send(claim_t *claim, uint64_t batch, int64_t now_us,
                  int64_t validity_us)
{
    if (claim->state == CLAIM_WAITING) {
        claim->state = CLAIM_SENT;
        claim->batch = batch;
        claim->start_deadline_us = now_us + validity_us;
    }
    claim->send_count++;
}

void
claim_handle_answer(claim_t *claim, uint64_t batch, claim_result_t result,
                    bool is_holder, int64_t now_us)
{
    if (claim->state != CLAIM_SENT || claim->batch != batch ||
        result == CLAIM_UNKNOWN) {
        return;
    }
    if (is_holder && now_us <= claim->start_deadline_us) {
        claim->state = CLAIM_CONFIRMED;
        return;
    }
    claim->state = CLAIM_ENDED;
}

bool
claim_try_start(claim_t *claim, int64_t now_us)
{
    if (claim->state != CLAIM_CONFIRMED || now_us > claim->start_deadline_us) {
        return false;
    }
    claim->state = CLAIM_STARTED;
    return true;
}

void
claim_revert_start(claim_t *claim)
{
    if (claim->state == CLAIM_STARTED) {
        claim->state = CLAIM_CONFIRMED;
    }
}

bool
claim_abandon(claim_t *claim)
{
    bool may_be_stored =
        claim->send_count > 0 && claim->state != CLAIM_STARTED;

    claim->state = CLAIM_ENDED;
    return may_be_stored;
}
