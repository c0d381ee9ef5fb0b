/* claim.c - see claim.h. */
#include "policy/claim.h"

void
claim_sent(claim_t *claim, uint64_t number, int64_t now_us,
           int64_t validity_us)
{
    if (claim->state == CLAIM_WAITING) {
        claim->state = CLAIM_SENT;
        claim->number = number;
        claim->not_after_us = now_us + validity_us;
    }
    claim->sendings++;
}

void
claim_answered(claim_t *claim, uint64_t number, claim_result_t result,
               bool ours, int64_t now_us)
{
    if (claim->state != CLAIM_SENT || claim->number != number ||
        result == CLAIM_UNKNOWN) {
        return;
    }
    if (ours && now_us <= claim->not_after_us) {
        claim->state = CLAIM_STANDS;
        return;
    }
    claim->state = CLAIM_OVER;
}

bool
claim_start(claim_t *claim, int64_t now_us)
{
    if (claim->state != CLAIM_STANDS || now_us > claim->not_after_us) {
        return false;
    }
    claim->state = CLAIM_STARTED;
    return true;
}

void
claim_not_run(claim_t *claim)
{
    if (claim->state == CLAIM_STARTED) {
        claim->state = CLAIM_STANDS;
    }
}

bool
claim_give_up(claim_t *claim)
{
    bool may_stand = claim->sendings > 0 && claim->state != CLAIM_STARTED;

    claim->state = CLAIM_OVER;
    return may_stand;
}
