/* claiming.c - claims a non-idempotent request before it is started. */
#include <string.h>

#include "policy/private.h"

enum {
    FLEET_WRITES_PER_S = 200,
    BATCH_KEYS_MAX = 100,
    CLAIM_VALIDITY_MS = 10000,
    CLAIM_ANSWER_TIMEOUT_MS = 1000,
    CLAIM_LEASE_MS = 82800000, /* shortest lease left at a send */
    CLAIM_RETRY_MS = 1000,
    CLAIM_WAIT_MS = 2000, /* for the store's answer */
    UNKNOWN_RETRY_MS = 0,
};

static void handle_completions(step_t *step);
static void handle_completion(step_t *step, session_t *session,
                              const claim_completion_t *completion);

void
claiming_init(node_t *node)
{
    const claim_limits_t limits = {
        .batch_keys_max = BATCH_KEYS_MAX,
        .fleet_writes_per_s = FLEET_WRITES_PER_S,
        .validity_us = (int64_t)CLAIM_VALIDITY_MS * US_PER_MS,
        .answer_timeout_us = (int64_t)CLAIM_ANSWER_TIMEOUT_MS * US_PER_MS,
        .lease_us = (int64_t)CLAIM_LEASE_MS * US_PER_MS,
    };

    node->claims =
        claim_queue_new(node->start.host, node->start.incarnation, &limits);
}

/* Queues a claim; the session is not started until it is confirmed. */
void
claiming_request_claim(step_t *step, session_t *session)
{
    node_t *node = step->node;
    char *key = arena_printf(&session->arena, "%s/%s", session->organisation,
                             session->key);
    int64_t wait_ms = node->start.queue_wait_ms < CLAIM_WAIT_MS
                          ? node->start.queue_wait_ms
                          : CLAIM_WAIT_MS;
    int64_t wait_deadline_us = step->now_us + wait_ms * US_PER_MS;

    session->claimed =
        claim_queue_add(node->claims, session->id, key, wait_deadline_us);
    if (!session->claimed) {
        session_refuse(step, session, REFUSAL_STORE_UNREACHED, RUN_NOT_RUN,
                       CLAIM_RETRY_MS,
                       "an earlier claim of this Idempotency-Key is still "
                       "being taken back: send the request again after the "
                       "stated time");
        return;
    }
    node->counters.claims++;
    session_set_state(step, session, SESSION_CLAIMING);
}

/* Marks the claim as started.  Returns whether the session may start. */
bool
claiming_may_start(step_t *step, session_t *session)
{
    return !session->claimed ||
           claim_queue_try_start(step->node->claims, session->id,
                                 step->now_us);
}

/* Called when the backend did not run the session. */
void
claiming_mark_not_run(step_t *step, const session_t *session)
{
    if (session->claimed) {
        claim_queue_revert_start(step->node->claims, session->id);
    }
}

/* Removes the session's claim, if it has one. */
void
claiming_release(step_t *step, session_t *session)
{
    if (!session->claimed) {
        return;
    }
    claim_queue_remove(step->node->claims, session->id, step->now_us);
    session->claimed = false;
}

void
claiming_handle_results(step_t *step, const claim_results_event_t *answer)
{
    claim_queue_handle_answer(step->node->claims, step->now_us, answer);
    handle_completions(step);
}

/* Sends the writes that are due; called at the end of every step. */
void
claiming_send_due(step_t *step)
{
    node_t *node = step->node;
    size_t live;

    if (claim_queue_due_us(node->claims) > step->now_us) {
        return;
    }
    live = member_live_count(node->membership, step->now_us);
    claim_queue_step(node->claims, step->now_us, (uint32_t)live,
                     step->actions);
    handle_completions(step);
}

static void
handle_completions(step_t *step)
{
    node_t *node = step->node;
    claim_completion_t completion;

    while (claim_queue_next_completion(node->claims, &completion)) {
        session_t *session;

        HASH_FIND(hh, node->sessions, &completion.id, sizeof(completion.id),
                  session);
        if (session != NULL) {
            handle_completion(step, session, &completion);
        }
    }
    queue_start_sessions(step);
}

static void
handle_completion(step_t *step, session_t *session,
                  const claim_completion_t *completion)
{
    switch (completion->status) {
    case CLAIM_GRANTED:
        session->claim_expires_us = completion->start_deadline_us;
        queue_add_session(step, session);
        break;
    case CLAIM_CONFLICT:
        session->claimed = false;
        session_refuse(step, session, REFUSAL_ALREADY_RAN, RUN_UNKNOWN,
                       UNKNOWN_RETRY_MS,
                       "another attempt holds this Idempotency-Key and may "
                       "have run: look for its effect before sending it "
                       "under another key");
        break;
    case CLAIM_ABANDONED:
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
