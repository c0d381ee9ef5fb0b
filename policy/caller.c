/* caller.c - sends answers and refusals to the caller of a session. */
#include <string.h>

#include "policy/private.h"

static bool resume_position_reached(session_t *session);
static void send_segments(step_t *step, session_t *session);
static void send_end(step_t *step, session_t *session);

/*
 * Makes this the session's caller and sends it the answer from position on.
 * hash covers the tokens that the caller has received already.  The previous
 * caller of the session is refused as superseded.
 */
void
caller_attach(step_t *step, session_t *session, uint64_t caller,
              uint32_t position, uint64_t hash)
{
    const answer_t *answer = &session->answer;
    int64_t boundary = answer_boundary_at(answer, position);
    uint64_t previous = session->caller;
    bool comes_again = position > 0 && position == session->resume_position &&
                       hash == session->resume_hash;

    if (!comes_again && (boundary < answer->first_boundary ||
                         boundary > answer->ready_boundary)) {
        caller_refuse(step, caller, REFUSAL_INVALID, RUN_UNKNOWN, 0,
                      "Last-Event-ID is not a position of this answer: send "
                      "the id of the last event that came whole");
        return;
    }
    if (!comes_again && answer_hash(answer, 0, position, 0) != hash) {
        caller_refuse(step, caller, REFUSAL_SUPERSEDED, RUN_UNKNOWN, 0,
                      "the request has been run anew, and what came before "
                      "is not part of that answer: send it again without "
                      "Last-Event-ID to have it whole");
        return;
    }
    caller_detach(step, session);
    if (previous != 0) {
        caller_refuse(step, previous, REFUSAL_SUPERSEDED, RUN_UNKNOWN, 0,
                      "the request came again over another connection: read "
                      "its answer there");
    }
    session->caller = caller;
    session->orphaned_us = 0;
    if (!comes_again) {
        session->resume_position = 0; /* was the previous caller's */
        session->sent_boundary = (uint32_t)boundary;
    }
    HASH_ADD(hh_caller, step->node->by_caller, caller, sizeof(session->caller),
             session);
    if (session->state == SESSION_REFUSED) {
        caller_detach(step, session);
        caller_refuse(step, caller, session->refusal, session->refusal_run, 0,
                      "the request may have run and may not run again: look "
                      "for its effect before sending it under another key");
        return;
    }
    caller_send(step, session);
}

/* Removes the caller; the session is orphaned from now on. */
void
caller_detach(step_t *step, session_t *session)
{
    if (session->caller == 0) {
        return;
    }
    HASH_DELETE(hh_caller, step->node->by_caller, session);
    session->caller = 0;
    session->orphaned_us = step->now_us;
}

/* Sends new segments, and the end if the session has finished. */
void
caller_send(step_t *step, session_t *session)
{
    if (session->caller == 0 || !resume_position_reached(session)) {
        return;
    }
    if (session->sent_boundary < session->answer.ready_boundary) {
        send_segments(step, session);
    }
    if (session->state == SESSION_FINISHED) {
        send_end(step, session);
    }
}

/*
 * Returns whether the answer has grown to the position at which the caller
 * resumes, and if so starts sending there.  A position that is not at a
 * boundary is detected by caller_position_missed().
 */
static bool
resume_position_reached(session_t *session)
{
    int64_t boundary;

    if (session->resume_position == 0) {
        return true;
    }
    boundary = answer_boundary_at(&session->answer, session->resume_position);
    if (boundary < 0 || !caller_hash_matches(session)) {
        return false;
    }
    session->sent_boundary = (uint32_t)boundary;
    session->resume_position = 0;
    return true;
}

/* Returns whether the answer starts with the tokens the caller received. */
bool
caller_hash_matches(const session_t *session)
{
    return session->resume_position <= session->answer.token_count &&
           answer_hash(&session->answer, 0, session->resume_position, 0) ==
               session->resume_hash;
}

/*
 * Returns whether a record and the event id's tail contain the tokens that
 * the caller has received.
 */
bool
caller_matches_record(const session_t *session, const record_t *record)
{
    answer_t stored = {.token_ids = record->token_ids.token_ids_val,
                       .token_count = record->token_ids.token_ids_len};
    answer_t tail = {.token_ids = session->tail_ids,
                     .token_count = session->tail_count};
    uint32_t end = session->resume_position;
    uint64_t hash;

    if (end <= stored.token_count) {
        return answer_hash(&stored, 0, end, 0) == session->resume_hash;
    }
    if (session->tail_from > stored.token_count ||
        session->tail_from + session->tail_count != end) {
        return false;
    }
    hash = answer_hash(&stored, 0, stored.token_count, 0);
    hash = answer_hash(&tail, stored.token_count - session->tail_from,
                       session->tail_count, hash);
    return hash == session->resume_hash;
}

/*
 * Returns whether the caller is still waiting at its position although the
 * answer has reached it or has ended: the caller cannot be resumed.
 */
bool
caller_position_missed(const session_t *session)
{
    return session->resume_position > 0 && session->caller != 0 &&
           (session->answer.token_count >= session->resume_position ||
            session->answer.finish != FINISH_NONE);
}

void
caller_refuse(step_t *step, uint64_t caller, refusal_t refusal,
              execution_t run, uint32_t retry_after_ms, const char *message)
{
    refuse_request_action_t *action =
        &actions_append(step->actions, ACTION_REFUSE)->action_t_u.refuse;

    action->caller = caller;
    action->refusal = refusal;
    action->run = run;
    action->retry_after_ms = retry_after_ms;
    action->message = arena_strdup(&step->actions->arena, message);
    step->node->counters.refused++;
}

static void
send_segments(step_t *step, session_t *session)
{
    const answer_t *answer = &session->answer;
    record_boundary_t from = answer_boundary(answer, session->sent_boundary);
    record_boundary_t to = answer_boundary(answer, answer->ready_boundary);
    send_tokens_action_t *action =
        &actions_append(step->actions, ACTION_SEND_TOKENS)
             ->action_t_u.send_tokens;

    action->caller = session->caller;
    action->position = to.position;
    action->token_ids.token_ids_val = answer->token_ids + from.position;
    action->token_ids.token_ids_len = to.position - from.position;
    action->text.text_val = answer->text + from.text_bytes;
    action->text.text_len = to.text_bytes - from.text_bytes;
    replication_fill_resume_info(session, action);
    step->node->counters.tokens_given += to.position - from.position;
    session->sent_boundary = answer->ready_boundary;
}

static void
send_end(step_t *step, session_t *session)
{
    uint64_t caller = session->caller;

    caller_detach(step, session);
    if (session->service) {
        reply_action_t *reply =
            &actions_append(step->actions, ACTION_REPLY)->action_t_u.reply;

        reply->caller = caller;
        reply->status = session->reply.status;
        reply->content_type = session->reply.content_type;
        reply->body.body_val = session->reply.body.body_val;
        reply->body.body_len = session->reply.body.body_len;
    }
    else {
        finish_action_t *finish =
            &actions_append(step->actions, ACTION_FINISH)->action_t_u.finish;

        finish->caller = caller;
        finish->finish = session->answer.finish;
        finish->prompt_tokens = session->prompt_count;
        finish->completion_tokens = session->answer.token_count;
    }
}
