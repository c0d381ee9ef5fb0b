/* resume.c - resumes sessions whose stream was lost or is silent. */
#include "policy/private.h"

enum {
    BUSY_BACKOFF_MS =
        200, /* least time without work for a runner that refused */
    AT_MOST_ONCE_SILENCE_MS = 10000, /* silence after reattaching that ends a
                                        non-idempotent request */
};

static void end_lost_attempt(step_t *step, attempt_t *attempt,
                             const loss_event_t *loss);
static bool may_reattach(const attempt_t *attempt, const loss_event_t *loss);
static void refuse_invalid(step_t *step, attempt_t *attempt,
                           const loss_event_t *loss);
static bool was_not_run(const attempt_t *attempt, const loss_event_t *loss);
static bool answer_has_all_tokens(const session_t *session);
static bool can_resume(const session_t *session);
static void refuse_second_run(step_t *step, session_t *session);
static void handle_silence(step_t *step, session_t *session,
                           attempt_t *attempt);
static void open_racing_attempt(step_t *step, session_t *session);
static int64_t silence_timeout_us(const node_t *node,
                                  const attempt_t *attempt);

void
resume_handle_loss(step_t *step, const loss_event_t *loss)
{
    attempt_t *attempt = attempt_find(step->node, loss->stream);
    session_t *session;

    if (attempt == NULL) {
        return;
    }
    session = attempt->session;
    actions_append_log(step->actions, LOG_NOTICE,
                       "loss request=%s organisation=%s runner=%s attempt=%u "
                       "position=%u kind=%d status=%u",
                       session->key, session->organisation,
                       attempt->runner->name, attempt->number,
                       session->answer.token_count, loss->kind, loss->status);
    step->node->counters.losses++;
    if (loss->kind == LOSS_INVALID) {
        refuse_invalid(step, attempt, loss);
        return;
    }
    if (may_reattach(attempt, loss)) {
        attempt->runner->losses++;
        attempt_reattach(step, attempt);
        session_set_timer(step, session);
        return;
    }
    end_lost_attempt(step, attempt, loss);
}

/* An attempt ended early: resumes the session unless another one is live. */
void
resume_if_no_attempt(step_t *step, session_t *session,
                     const runner_state_t *lost)
{
    if (attempt_live_count(session) > 0) {
        session_set_timer(step, session);
        return;
    }
    resume_on_new_attempt(step, session, lost);
}

/*
 * Resumes the session with an attempt at another runner than the lost one, or
 * queues it.  Ends the request if it cannot be resumed.
 */
void
resume_on_new_attempt(step_t *step, session_t *session,
                      const runner_state_t *lost)
{
    node_t *node = step->node;
    runner_query_t query = session_runner_query(session, node->start.zone);
    runner_state_t *runner;

    if (session->idempotent && !takeover_append_tail(session)) {
        takeover_refuse_lost(step, session);
        return;
    }
    if (answer_has_all_tokens(session)) {
        answer_end(&session->answer, FINISH_LENGTH);
        session_finish(step, session);
        return;
    }
    if (!session->idempotent && session->possible_runs > 0) {
        refuse_second_run(step, session);
        return;
    }
    if (!can_resume(session)) {
        session_refuse(step, session, REFUSAL_BACKEND_LOST, RUN_RAN,
                       RETRY_AFTER_MIN_MS,
                       "the backend server was lost and gave no token ids to "
                       "go on from: send the request again from its start");
        return;
    }
    if (suspecting_refuse_blocked(step, session)) {
        return;
    }
    query.excluded[1] = lost;
    suspecting_restrict_query(step, session, &query);
    runner = suspecting_may_start(step, session)
                 ? runners_select(&node->runners, &query, step->now_us)
                 : NULL;
    if (runner == NULL) {
        session->queued_to_resume = session->possible_runs > 0;
        queue_add_session(step, session);
        return;
    }
    if (!claiming_may_start(step, session)) {
        session_refuse_expired_claim(step, session);
        return;
    }
    node->counters.resumed++;
    (void)attempt_open(step, session, runner, false);
    session_set_state(step, session, SESSION_RUNNING);
}

/* Handles the silence of a live attempt whose timeout has expired. */
void
resume_check_silence(step_t *step, session_t *session)
{
    for (size_t i = 0; i < SESSION_ATTEMPTS_MAX; i++) {
        attempt_t *attempt = session->attempts[i];

        if (attempt == NULL ||
            resume_silence_due_us(step->node, attempt) == 0 ||
            resume_silence_due_us(step->node, attempt) > step->now_us) {
            continue;
        }
        handle_silence(step, session, attempt);
        return;
    }
    session_set_timer(step, session);
}

/* Returns when the attempt's silence times out; 0: never. */
int64_t
resume_silence_due_us(const node_t *node, const attempt_t *attempt)
{
    int64_t since_us = attempt->opened_us;

    if (attempt->session->service) {
        return 0;
    }
    if (attempt->reattached && !attempt->session->idempotent) {
        return attempt->reattached_us +
               (int64_t)AT_MOST_ONCE_SILENCE_MS * US_PER_MS;
    }
    if (attempt->last_chunk_us > since_us) {
        since_us = attempt->last_chunk_us;
    }
    if (attempt->silence_handled_us > since_us) {
        since_us = attempt->silence_handled_us;
    }
    return since_us + silence_timeout_us(node, attempt);
}

static void
end_lost_attempt(step_t *step, attempt_t *attempt, const loss_event_t *loss)
{
    session_t *session = attempt->session;
    runner_state_t *runner = attempt->runner;

    if (loss->kind == LOSS_REFUSED) {
        int64_t backoff_ms = loss->retry_after_ms > BUSY_BACKOFF_MS
                                 ? loss->retry_after_ms
                                 : BUSY_BACKOFF_MS;

        runner->down_until_us = step->now_us + backoff_ms * US_PER_MS;
    }
    else {
        runner->losses++;
        runner_record_failure(runner, step->now_us);
    }
    suspecting_handle_loss(step, attempt, loss);
    if (was_not_run(attempt, loss)) {
        session->possible_runs--;
        claiming_mark_not_run(step, session);
    }
    attempt_drop(step, attempt);
    resume_if_no_attempt(step, session, runner);
}

/*
 * Returns whether to reattach after a loss.  A broken connection does not
 * mean that the engine failed: it may still have the stream, and reattaching
 * costs it no work.  If it did fail, the connection is refused at once.  A
 * request that must not run again has no other engine to wait for.
 */
static bool
may_reattach(const attempt_t *attempt, const loss_event_t *loss)
{
    if (loss->kind == LOSS_UNREACHED) {
        return !attempt->session->idempotent;
    }
    return loss->kind == LOSS_RESET && !attempt->reattached &&
           !attempt->session->service;
}

static void
refuse_invalid(step_t *step, attempt_t *attempt, const loss_event_t *loss)
{
    session_t *session = attempt->session;
    bool ran = session->answer.token_count > 0;

    attempt_drop(step, attempt);
    session_refuse(step, session, REFUSAL_INVALID, ran ? RUN_RAN : RUN_NOT_RUN,
                   0,
                   "the backend server says that the request is wrong: "
                   "correct its parameters");
}

/* Returns whether the backend server certainly did not run the attempt. */
static bool
was_not_run(const attempt_t *attempt, const loss_event_t *loss)
{
    return attempt->last_chunk_us == 0 && !attempt->reattached &&
           (loss->kind == LOSS_REFUSED || loss->kind == LOSS_NOT_SENT);
}

/* Returns whether only the finish reason of the answer is missing. */
static bool
answer_has_all_tokens(const session_t *session)
{
    return session->max_tokens > 0 &&
           session->answer.token_count >= session->max_tokens;
}

/*
 * Returns whether the answer is empty or its token ids are known.  Unknown
 * token ids of the prompt are no obstacle: a probe can fetch them.
 */
static bool
can_resume(const session_t *session)
{
    return session->answer.token_count > 0 || session->answer.text_bytes == 0;
}

static void
refuse_second_run(step_t *step, session_t *session)
{
    bool ran = session->answer.token_count > 0;

    session_refuse(step, session, REFUSAL_BACKEND_LOST,
                   ran ? RUN_RAN : RUN_UNKNOWN, 0,
                   "the backend server was lost while it ran this request, "
                   "which may not run again: look for its effect first");
}

/*
 * Opens a racing attempt (a hedged request) for an idempotent request: the
 * silent stream stays open, another runner continues from the same position,
 * and the first of the two to send tokens wins.  If the team weighs extra
 * work more than latency, or the request must not run again, reattaches to
 * the same engine first.  A request that must not run again ends only if the
 * reattached stream stays silent too: an engine may pause and go on.
 */
static void
handle_silence(step_t *step, session_t *session, attempt_t *attempt)
{
    bool reattach_first = session->weighs_extra_work || !session->idempotent;

    attempt->silence_handled_us = step->now_us;
    actions_append_log(
        step->actions, LOG_NOTICE,
        "silence request=%s organisation=%s runner=%s attempt=%u "
        "position=%u",
        session->key, session->organisation, attempt->runner->name,
        attempt->number, session->answer.token_count);
    if (!session->idempotent && attempt->reattached) {
        refuse_second_run(step, session);
        return;
    }
    if (reattach_first && !attempt->reattached) {
        attempt_reattach(step, attempt);
    }
    else {
        if (attempt->runner->down_until_us <= step->now_us) {
            runner_record_failure(attempt->runner, step->now_us);
        }
        open_racing_attempt(step, session);
    }
    session_set_timer(step, session);
}

/* If two attempts are live, both are silent: cancels the older one. */
static void
open_racing_attempt(step_t *step, session_t *session)
{
    node_t *node = step->node;
    runner_query_t query = session_runner_query(session, node->start.zone);
    runner_state_t *runner;

    if (answer_has_all_tokens(session)) {
        answer_end(&session->answer, FINISH_LENGTH);
        session_finish(step, session);
        return;
    }
    if (!suspecting_may_start(step, session)) {
        return;
    }
    runner = runners_select(&node->runners, &query, step->now_us);
    if (runner == NULL || !can_resume(session) ||
        !takeover_append_tail(session) ||
        !queue_take_retry_budget(step, session)) {
        return;
    }
    if (attempt_live_count(session) == SESSION_ATTEMPTS_MAX) {
        attempt_t *first = session->attempts[0];
        attempt_t *second = session->attempts[1];

        attempt_cancel(step, first->number < second->number ? first : second);
    }
    node->counters.raced++;
    (void)attempt_open(step, session, runner, true);
}

static int64_t
silence_timeout_us(const node_t *node, const attempt_t *attempt)
{
    const start_event_t *start = &node->start;
    int64_t floor_us = (int64_t)start->silence_floor_ms * US_PER_MS;
    int64_t ceiling_us = (int64_t)start->silence_ceiling_ms * US_PER_MS;
    int64_t prefill_us = (int64_t)start->prefill_limit_ms * US_PER_MS;

    if (attempt->reattached) {
        return floor_us;
    }
    if (attempt->last_chunk_us == 0) {
        return silence_limit_us(&attempt->runner->prefill, ceiling_us,
                                prefill_us);
    }
    if (attempt->session->weighs_extra_work) {
        return ceiling_us;
    }
    return silence_limit_us(&attempt->runner->token_gaps, floor_us,
                            ceiling_us);
}
