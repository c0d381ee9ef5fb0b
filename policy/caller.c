/* caller.c - what the present caller of a session is told. */
#include <string.h>

#include "policy/private.h"

static bool reached(session_t *session);
static void give_units(step_t *step, session_t *session);
static void give_end(step_t *step, session_t *session);

/*
 * Gives the answer to this caller from the position on; hash is that of all
 * tokens that it holds.  An earlier caller of the same request is told that
 * it was superseded.
 */
void
caller_attach(step_t *step, session_t *session, uint64_t caller,
              uint32_t position, uint64_t hash)
{
    const answer_t *answer = &session->answer;
    int64_t cut = answer_cut_at(answer, position);
    uint64_t former = session->caller;

    if (cut < answer->first_cut || cut > answer->ready_cuts) {
        caller_refuse(step, caller, REFUSAL_INVALID, RUN_UNKNOWN, 0,
                      "Last-Event-ID is not a position of this answer: send "
                      "the id of the last event that came whole");
        return;
    }
    if (answer_hash(answer, 0, position, 0) != hash) {
        caller_refuse(step, caller, REFUSAL_SUPERSEDED, RUN_UNKNOWN, 0,
                      "the request has been run anew, and what came before "
                      "is not part of that answer: send it again without "
                      "Last-Event-ID to have it whole");
        return;
    }
    caller_detach(step, session);
    if (former != 0) {
        caller_refuse(step, former, REFUSAL_SUPERSEDED, RUN_UNKNOWN, 0,
                      "the request came again over another connection: read "
                      "its answer there");
    }
    session->caller = caller;
    session->orphan_us = 0;
    session->given = (uint32_t)cut;
    HASH_ADD(hh_caller, step->node->by_caller, caller, sizeof(session->caller),
             session);
    if (session->state == SESSION_REFUSED) {
        caller_detach(step, session);
        caller_refuse(step, caller, session->refusal, session->refusal_run, 0,
                      "the request may have run and may not run again: look "
                      "for its effect before sending it under another key");
        return;
    }
    caller_give(step, session);
}

/* The session has no caller from here on. */
void
caller_detach(step_t *step, session_t *session)
{
    if (session->caller == 0) {
        return;
    }
    HASH_DELETE(hh_caller, step->node->by_caller, session);
    session->caller = 0;
    session->orphan_us = step->now_us;
}

/* Gives what the caller has not been given yet, and the end if it is in. */
void
caller_give(step_t *step, session_t *session)
{
    if (session->caller == 0 || !reached(session)) {
        return;
    }
    if (session->given < session->answer.ready_cuts) {
        give_units(step, session);
    }
    if (session->state == SESSION_FINISHED) {
        give_end(step, session);
    }
}

/*
 * Whether the answer has come to where the caller is.  A position at which
 * no unit ends is found by session_is_lost().
 */
static bool
reached(session_t *session)
{
    int64_t cut;

    if (session->from == 0) {
        return true;
    }
    cut = answer_cut_at(&session->answer, session->from);
    if (cut < 0 || !caller_agrees(session)) {
        return false;
    }
    session->given = (uint32_t)cut;
    session->from = 0;
    return true;
}

/* Whether the answer's tokens are those that the caller holds. */
bool
caller_agrees(const session_t *session)
{
    return session->from <= session->answer.token_count &&
           answer_hash(&session->answer, 0, session->from, 0) ==
               session->from_hash;
}

/* Whether the answer has gone past the caller without ending a unit there. */
bool
caller_is_lost(const session_t *session)
{
    return session->from > 0 && session->caller != 0 &&
           (session->answer.token_count >= session->from ||
            session->answer.finish != FINISH_NONE);
}

void
caller_refuse(step_t *step, uint64_t caller, refusal_t refusal, run_t run,
              uint32_t retry_after_ms, const char *message)
{
    refuse_order_t *order =
        &orders_add(step->orders, ORDER_REFUSE)->order_t_u.refuse;

    order->caller = caller;
    order->refusal = refusal;
    order->run = run;
    order->retry_after_ms = retry_after_ms;
    order->message = arena_strdup(&step->orders->arena, message);
    step->node->counters.refused++;
}

static void
give_units(step_t *step, session_t *session)
{
    const answer_t *answer = &session->answer;
    record_cut_t from = answer_cut(answer, session->given);
    record_cut_t to = answer_cut(answer, answer->ready_cuts);
    give_order_t *give = &orders_add(step->orders, ORDER_GIVE)->order_t_u.give;

    give->caller = session->caller;
    give->position = to.position;
    give->token_ids.token_ids_val = answer->token_ids + from.position;
    give->token_ids.token_ids_len = to.position - from.position;
    give->text.text_val = answer->text + from.text_bytes;
    give->text.text_len = to.text_bytes - from.text_bytes;
    record_tail(session, give);
    step->node->counters.tokens_given += to.position - from.position;
    session->given = answer->ready_cuts;
}

static void
give_end(step_t *step, session_t *session)
{
    uint64_t caller = session->caller;

    caller_detach(step, session);
    if (session->service) {
        reply_order_t *reply =
            &orders_add(step->orders, ORDER_REPLY)->order_t_u.reply;

        reply->caller = caller;
        reply->status = session->reply.status;
        reply->content_type = session->reply.content_type;
        reply->body.body_val = session->reply.body.body_val;
        reply->body.body_len = session->reply.body.body_len;
    }
    else {
        finish_order_t *finish =
            &orders_add(step->orders, ORDER_FINISH)->order_t_u.finish;

        finish->caller = caller;
        finish->finish = session->answer.finish;
        finish->prompt_tokens = session->prompt_count;
        finish->completion_tokens = session->answer.token_count;
    }
}
