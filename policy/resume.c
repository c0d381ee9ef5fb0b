/* resume.c - what becomes of a session when a stream breaks or is silent. */
#include "policy/private.h"

enum {
    BUSY_PAUSE_MS = 200,      /* a runner that refused gets no work for this */
    UNKNOWN_AFTER_MS = 10000, /* non-idempotent: silence that ends it */
};

static void lose_attempt(step_t *step, attempt_t *attempt,
                         const loss_event_t *loss);
static bool may_reattach(const attempt_t *attempt, const loss_event_t *loss);
static void refuse_invalid(step_t *step, attempt_t *attempt,
                           const loss_event_t *loss);
static bool was_not_run(const attempt_t *attempt, const loss_event_t *loss);
static bool answer_is_whole(const session_t *session);
static bool can_resume(const session_t *session);
static void end_at_most_once(step_t *step, session_t *session);
static void act_on_silence(step_t *step, session_t *session,
                           attempt_t *attempt);
static void race(step_t *step, session_t *session);
static int64_t silence_limit(const node_t *node, const attempt_t *attempt);

void
resume_loss(step_t *step, const loss_event_t *loss)
{
    attempt_t *attempt = attempt_find(step->node, loss->stream);
    session_t *session;

    if (attempt == NULL) {
        return;
    }
    session = attempt->session;
    orders_log(step->orders, LOG_NOTICE,
               "loss request=%s organisation=%s runner=%s attempt=%u "
               "position=%u kind=%d status=%u",
               session->key, session->organisation, attempt->runner->name,
               attempt->number, session->answer.token_count, loss->kind,
               loss->status);
    step->node->counters.losses++;
    if (loss->kind == LOSS_INVALID) {
        refuse_invalid(step, attempt, loss);
        return;
    }
    if (may_reattach(attempt, loss)) {
        attempt->runner->losses++;
        attempt_reattach(step, attempt);
        session_schedule(step, session);
        return;
    }
    lose_attempt(step, attempt, loss);
}

/* An attempt is over without an end: another is live, or one is opened. */
void
resume_without(step_t *step, session_t *session, const runner_state_t *lost)
{
    if (attempts_live(session) > 0) {
        session_schedule(step, session);
        return;
    }
    resume_elsewhere(step, session, lost);
}

/* Goes on at another runner, or ends the request where it cannot. */
void
resume_elsewhere(step_t *step, session_t *session, const runner_state_t *lost)
{
    node_t *node = step->node;
    wish_t wish = session_wish(session, node->start.zone);
    runner_state_t *runner;

    if (session->idempotent && !takeover_bridge(session)) {
        takeover_lost(step, session);
        return;
    }
    if (answer_is_whole(session)) {
        answer_end(&session->answer, FINISH_LENGTH);
        session_finish(step, session);
        return;
    }
    if (!session->idempotent && session->may_have_run > 0) {
        end_at_most_once(step, session);
        return;
    }
    if (!can_resume(session)) {
        session_refuse(step, session, REFUSAL_BACKEND_LOST, RUN_RAN,
                       REASSURE_MS,
                       "the backend server was lost and gave no token ids to "
                       "go on from: send the request again from its start");
        return;
    }
    if (suspecting_refuses(step, session)) {
        return;
    }
    wish.avoid[1] = lost;
    suspecting_wish(step, session, &wish);
    runner = suspecting_allows(step, session)
                 ? runners_choose(&node->runners, &wish, step->now_us)
                 : NULL;
    if (runner == NULL) {
        session->waits_resumed = session->may_have_run > 0;
        queue_session(step, session);
        return;
    }
    if (!claiming_may_start(step, session)) {
        session_refuse_claim(step, session);
        return;
    }
    node->counters.resumed++;
    (void)attempt_open(step, session, runner, false);
    session_enter(step, session, SESSION_RUNNING);
}

/* Looks at each live attempt of a session that came due. */
void
resume_silence(step_t *step, session_t *session)
{
    for (size_t i = 0; i < SESSION_ATTEMPTS; i++) {
        attempt_t *attempt = session->attempts[i];

        if (attempt == NULL ||
            resume_silence_due_us(step->node, attempt) == 0 ||
            resume_silence_due_us(step->node, attempt) > step->now_us) {
            continue;
        }
        act_on_silence(step, session, attempt);
        return;
    }
    session_schedule(step, session);
}

/* When the attempt's silence is to be acted upon; 0: never. */
int64_t
resume_silence_due_us(const node_t *node, const attempt_t *attempt)
{
    int64_t since_us = attempt->opened_us;

    if (attempt->session->service) {
        return 0;
    }
    if (attempt->piece_us > since_us) {
        since_us = attempt->piece_us;
    }
    if (attempt->quiet_us > since_us) {
        since_us = attempt->quiet_us;
    }
    return since_us + silence_limit(node, attempt);
}

static void
lose_attempt(step_t *step, attempt_t *attempt, const loss_event_t *loss)
{
    session_t *session = attempt->session;
    runner_state_t *runner = attempt->runner;

    if (loss->kind == LOSS_REFUSED) {
        int64_t pause_ms = loss->retry_after_ms > BUSY_PAUSE_MS
                               ? loss->retry_after_ms
                               : BUSY_PAUSE_MS;

        runner->down_until_us = step->now_us + pause_ms * US_PER_MS;
    }
    else {
        runner->losses++;
        runner_failed(runner, step->now_us);
    }
    suspecting_loss(step, attempt, loss);
    if (was_not_run(attempt, loss)) {
        session->may_have_run--;
        claiming_not_run(step, session);
    }
    attempt_drop(step, attempt);
    resume_without(step, session, runner);
}

/*
 * A broken connection says nothing about the engine: its stream may still
 * be there, and taking it up again costs no engine work.  An engine that
 * is gone refuses the connection at once.
 */
static bool
may_reattach(const attempt_t *attempt, const loss_event_t *loss)
{
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

/* Whether the backend surely did not run this attempt. */
static bool
was_not_run(const attempt_t *attempt, const loss_event_t *loss)
{
    return attempt->piece_us == 0 && !attempt->reattached &&
           (loss->kind == LOSS_REFUSED || loss->kind == LOSS_NOT_SENT);
}

/* All tokens are in; only the word that it ended was lost. */
static bool
answer_is_whole(const session_t *session)
{
    return session->max_tokens > 0 &&
           session->answer.token_count >= session->max_tokens;
}

/*
 * Nothing was given yet, or token ids came with the text.  The prompt's ids
 * can be learned by a probe.
 */
static bool
can_resume(const session_t *session)
{
    return session->answer.token_count > 0 || session->answer.text_bytes == 0;
}

static void
end_at_most_once(step_t *step, session_t *session)
{
    bool ran = session->answer.token_count > 0;

    session_refuse(step, session, REFUSAL_BACKEND_LOST,
                   ran ? RUN_RAN : RUN_UNKNOWN, 0,
                   "the backend server was lost while it ran this request, "
                   "which may not run again: look for its effect first");
}

/*
 * An idempotent request is raced: the silent stream stays, another runner
 * goes on from the same place, and whichever speaks first wins.  Where the
 * team weighs extra work more, and where the request may not run again,
 * the same engine is asked over a new connection first.
 */
static void
act_on_silence(step_t *step, session_t *session, attempt_t *attempt)
{
    bool ask_again = session->weighs_extra_work || !session->idempotent;

    attempt->quiet_us = step->now_us;
    orders_log(step->orders, LOG_NOTICE,
               "silence request=%s organisation=%s runner=%s attempt=%u "
               "position=%u",
               session->key, session->organisation, attempt->runner->name,
               attempt->number, session->answer.token_count);
    if (!session->idempotent &&
        step->now_us - session->state_us >=
            (int64_t)UNKNOWN_AFTER_MS * US_PER_MS &&
        attempt->reattached) {
        end_at_most_once(step, session);
        return;
    }
    if (ask_again && !attempt->reattached) {
        attempt_reattach(step, attempt);
    }
    else if (session->idempotent) {
        if (attempt->runner->down_until_us <= step->now_us) {
            runner_failed(attempt->runner, step->now_us);
        }
        race(step, session);
    }
    session_schedule(step, session);
}

/* With two silent already, the one silent for longer makes place. */
static void
race(step_t *step, session_t *session)
{
    node_t *node = step->node;
    wish_t wish = session_wish(session, node->start.zone);
    runner_state_t *runner;

    if (answer_is_whole(session)) {
        answer_end(&session->answer, FINISH_LENGTH);
        session_finish(step, session);
        return;
    }
    if (!suspecting_allows(step, session)) {
        return;
    }
    runner = runners_choose(&node->runners, &wish, step->now_us);
    if (runner == NULL || !can_resume(session) || !takeover_bridge(session) ||
        !queue_may_retry(step, session)) {
        return;
    }
    if (attempts_live(session) == SESSION_ATTEMPTS) {
        attempt_t *first = session->attempts[0];
        attempt_t *second = session->attempts[1];

        attempt_cancel(step, first->number < second->number ? first : second);
    }
    node->counters.raced++;
    (void)attempt_open(step, session, runner, true);
}

static int64_t
silence_limit(const node_t *node, const attempt_t *attempt)
{
    const start_event_t *start = &node->start;
    int64_t floor_us = (int64_t)start->silence_floor_ms * US_PER_MS;
    int64_t ceiling_us = (int64_t)start->silence_ceiling_ms * US_PER_MS;
    int64_t prefill_us = (int64_t)start->prefill_limit_ms * US_PER_MS;

    if (attempt->reattached) {
        return floor_us;
    }
    if (attempt->piece_us == 0) {
        return silence_limit_us(&attempt->runner->prefill, ceiling_us,
                                prefill_us);
    }
    if (attempt->session->weighs_extra_work) {
        return ceiling_us;
    }
    return silence_limit_us(&attempt->runner->gaps, floor_us, ceiling_us);
}
