/* claiming.c - non-idempotent requests wait here for their claim. */
#include <string.h>

#include "policy/private.h"

enum {
    FLEET_WRITES_PER_S = 200,
    BATCH_KEYS_MAX = 100,
    CLAIM_VALID_MS = 10000,
    CLAIM_ANSWER_LIMIT_MS = 1000,
    CLAIM_LEASE_MS = 82800000, /* the least that is left when it is sent */
    CLAIM_RETRY_MS = 1000,
    CLAIM_WAIT_MS = 2000, /* for the store, before it is said to be away */
    UNKNOWN_RETRY_MS = 0,
};

static void take_verdicts(step_t *step);
static void take_verdict(step_t *step, session_t *session,
                         const claim_verdict_t *verdict);

void
claiming_start(node_t *node)
{
    const claim_limits_t limits = {
        .batch_keys_max = BATCH_KEYS_MAX,
        .fleet_writes_per_s = FLEET_WRITES_PER_S,
        .validity_us = (int64_t)CLAIM_VALID_MS * US_PER_MS,
        .answer_limit_us = (int64_t)CLAIM_ANSWER_LIMIT_MS * US_PER_MS,
        .lease_us = (int64_t)CLAIM_LEASE_MS * US_PER_MS,
    };

    node->claims =
        claim_queue_new(node->start.host, node->start.incarnation, &limits);
}

/* The session may not start before its claim stands. */
void
claiming_wait(step_t *step, session_t *session)
{
    node_t *node = step->node;
    char *key = arena_printf(&session->arena, "%s/%s", session->organisation,
                             session->key);
    int64_t wait_ms = node->start.queue_wait_ms < CLAIM_WAIT_MS
                          ? node->start.queue_wait_ms
                          : CLAIM_WAIT_MS;
    int64_t give_up_us = step->now_us + wait_ms * US_PER_MS;

    session->claimed =
        claim_queue_push(node->claims, session->id, key, give_up_us);
    if (!session->claimed) {
        session_refuse(step, session, REFUSAL_STORE_UNREACHED, RUN_NOT_RUN,
                       CLAIM_RETRY_MS,
                       "an earlier claim of this Idempotency-Key is still "
                       "being taken back: send the request again after the "
                       "stated time");
        return;
    }
    node->counters.claims++;
    session_enter(step, session, SESSION_CLAIMING);
}

/* Whether the session may be sent to a backend now. */
bool
claiming_may_start(step_t *step, session_t *session)
{
    return !session->claimed ||
           claim_queue_start(step->node->claims, session->id, step->now_us);
}

/* The backend did not run it. */
void
claiming_not_run(step_t *step, const session_t *session)
{
    if (session->claimed) {
        claim_queue_not_run(step->node->claims, session->id);
    }
}

/* The session needs no claim any more. */
void
claiming_drop(step_t *step, session_t *session)
{
    if (!session->claimed) {
        return;
    }
    claim_queue_drop(step->node->claims, session->id, step->now_us);
    session->claimed = false;
}

void
claiming_answer(step_t *step, const claimed_event_t *answer)
{
    claim_queue_answer(step->node->claims, step->now_us, answer);
    take_verdicts(step);
}

/* Sends what is due; called at the end of every step. */
void
claiming_step(step_t *step)
{
    node_t *node = step->node;
    size_t live;

    if (claim_queue_due_us(node->claims) > step->now_us) {
        return;
    }
    live = member_live_count(node->member, step->now_us);
    claim_queue_step(node->claims, step->now_us, (uint32_t)live, step->orders);
    take_verdicts(step);
}

static void
take_verdicts(step_t *step)
{
    node_t *node = step->node;
    claim_verdict_t verdict;

    while (claim_queue_next(node->claims, &verdict)) {
        session_t *session;

        HASH_FIND(hh, node->sessions, &verdict.id, sizeof(verdict.id),
                  session);
        if (session != NULL) {
            take_verdict(step, session, &verdict);
        }
    }
    queue_pump(step);
}

static void
take_verdict(step_t *step, session_t *session, const claim_verdict_t *verdict)
{
    switch (verdict->decision) {
    case CLAIM_START:
        session->claim_until_us = verdict->not_after_us;
        queue_session(step, session);
        break;
    case CLAIM_ELSEWHERE:
        session->claimed = false;
        session_refuse(step, session, REFUSAL_ALREADY_RAN, RUN_UNKNOWN,
                       UNKNOWN_RETRY_MS,
                       "another attempt holds this Idempotency-Key and may "
                       "have run: look for its effect before sending it "
                       "under another key");
        break;
    case CLAIM_GIVEN_UP:
        session->claimed = false;
        step->node->counters.claims_unknown++;
        session_refuse(step, session, REFUSAL_STORE_UNREACHED, RUN_NOT_RUN,
                       CLAIM_RETRY_MS,
                       "the platform's service did not answer, so the "
                       "request was not started: send it again after the "
                       "stated time");
        break;
    }
}
