/* stream.c - handles data that backend servers send for an attempt. */
#include <string.h>

#include "base/arena.h"
#include "policy/private.h"

static void record_activity(step_t *step, attempt_t *attempt);
static void finish_probe(step_t *step, attempt_t *attempt);
static bool is_next_chunk(step_t *step, attempt_t *attempt,
                          const chunk_event_t *chunk);
static void buffer_tokens(attempt_t *attempt, const chunk_event_t *chunk);
static append_result_t append_segment(attempt_t *attempt,
                                      const chunk_event_t *chunk);
static void cancel_other_attempts(step_t *step, const attempt_t *attempt);

void
stream_handle_chunk(step_t *step, const chunk_event_t *chunk)
{
    attempt_t *attempt = attempt_find(step->node, chunk->stream);
    session_t *session;

    if (attempt == NULL) {
        step->node->counters.pieces_late++;
        return;
    }
    session = attempt->session;
    record_activity(step, attempt);
    if (attempt->start_position == 0 || attempt->probe) {
        session_set_prompt(session, chunk->prompt_ids.prompt_ids_val,
                           chunk->prompt_ids.prompt_ids_len);
    }
    if (attempt->probe) {
        finish_probe(step, attempt);
        return;
    }
    if (attempt->restores_answer &&
        !takeover_restore_from_prompt(session, attempt, chunk)) {
        attempt_cancel(step, attempt);
        resume_if_no_attempt(step, session, NULL);
        return;
    }
    if (!is_next_chunk(step, attempt, chunk)) {
        return;
    }
    if (chunk->text.text_len == 0 && chunk->finish == FINISH_NONE) {
        buffer_tokens(attempt, chunk);
        session_set_timer(step, session);
        return;
    }
    if (append_segment(attempt, chunk) != APPEND_DONE) {
        step->node->counters.pieces_late++;
        attempt_cancel(step, attempt);
        resume_if_no_attempt(step, session, NULL);
        return;
    }
    cancel_other_attempts(step, attempt);
    session->last_writer = attempt->number;
    if (chunk->finish != FINISH_NONE) {
        attempt_drop(step, attempt);
    }
    caller_send(step, session);
    if (caller_position_missed(session)) {
        takeover_refuse_lost(step, session);
        return;
    }
    if (session->answer.finish != FINISH_NONE) {
        session_finish(step, session);
        queue_start_sessions(step);
        return;
    }
    replication_update(step, session);
    session_set_timer(step, session);
}

/*
 * The stream was closed.  After a finish reason the attempt no longer
 * exists; if it does, the stream ended without one and counts as lost.
 */
void
stream_handle_end(step_t *step, const stream_end_event_t *end)
{
    loss_event_t loss = {.stream = end->stream, .kind = LOSS_RESET};

    if (attempt_find(step->node, end->stream) != NULL) {
        resume_handle_loss(step, &loss);
    }
}

void
stream_handle_reply(step_t *step, const reply_event_t *reply)
{
    attempt_t *attempt = attempt_find(step->node, reply->stream);
    session_t *session;

    if (attempt == NULL) {
        step->node->counters.pieces_late++;
        return;
    }
    session = attempt->session;
    record_activity(step, attempt);
    session->reply.status = reply->status;
    session->reply.content_type =
        arena_strdup(&session->arena, reply->content_type);
    session->reply.body.body_len = reply->body.body_len;
    session->reply.body.body_val = arena_memdup(
        &session->arena, reply->body.body_val, reply->body.body_len);
    attempt_drop(step, attempt);
    session_finish(step, session);
    queue_start_sessions(step);
}

/*
 * Records that the runner is alive, and the time that the tokens took as a
 * sample for its silence timeouts.
 */
static void
record_activity(step_t *step, attempt_t *attempt)
{
    runner_state_t *runner = attempt->runner;

    runner_record_response(runner, step->now_us);
    if (attempt->last_chunk_us != 0) {
        silence_add_sample(&runner->token_gaps,
                           step->now_us - attempt->last_chunk_us);
    }
    else if (!attempt->reattached) {
        silence_add_sample(&runner->prefill,
                           step->now_us - attempt->opened_us);
    }
    attempt->last_chunk_us = step->now_us;
    attempt->silence_handled_us = 0;
    attempt->reattached = false;
    runner->last_token_us = step->now_us;
}

/*
 * Ends a probe, which has delivered the prompt's token ids.  The token that
 * it generated is not used.
 */
static void
finish_probe(step_t *step, attempt_t *attempt)
{
    session_t *session = attempt->session;

    attempt_cancel(step, attempt);
    if (session->prompt_count == 0) {
        session_refuse(step, session, REFUSAL_BACKEND_LOST, RUN_RAN, 0,
                       "the backend server gives no token ids to go on "
                       "from: send the request again from its start");
        return;
    }
    resume_on_new_attempt(step, session, NULL);
}

/*
 * Returns whether the chunk continues the attempt.  A duplicate is dropped;
 * missing tokens before it count as a loss of the stream.
 */
static bool
is_next_chunk(step_t *step, attempt_t *attempt, const chunk_event_t *chunk)
{
    loss_event_t loss = {.stream = attempt->stream, .kind = LOSS_RESET};

    if (chunk->position == attempt->received) {
        return true;
    }
    if (chunk->position < attempt->received) {
        step->node->counters.pieces_repeated++;
        return false;
    }
    step->node->counters.pieces_ahead++;
    resume_handle_loss(step, &loss);
    return false;
}

static void
buffer_tokens(attempt_t *attempt, const chunk_event_t *chunk)
{
    uint32_t count = chunk->token_ids.token_ids_len;
    uint32_t needed = attempt->pending_count + count;

    if (needed > attempt->pending_capacity) {
        attempt->pending_ids =
            xrealloc(attempt->pending_ids, needed, sizeof(uint32_t));
        attempt->pending_capacity = needed;
    }
    if (count > 0) {
        memcpy(attempt->pending_ids + attempt->pending_count,
               chunk->token_ids.token_ids_val, count * sizeof(uint32_t));
    }
    attempt->pending_count = needed;
    attempt->received += count;
}

/* Appends the pending tokens and the chunk as one segment. */
static append_result_t
append_segment(attempt_t *attempt, const chunk_event_t *chunk)
{
    append_result_t result;
    answer_segment_t segment = {
        .token_ids = chunk->token_ids.token_ids_val,
        .token_count = chunk->token_ids.token_ids_len,
        .text = chunk->text.text_val,
        .text_bytes = chunk->text.text_len,
        .finish = chunk->finish,
    };

    if (attempt->pending_count > 0) {
        buffer_tokens(attempt, chunk);
        segment.token_ids = attempt->pending_ids;
        segment.token_count = attempt->pending_count;
        attempt->received -= attempt->pending_count;
    }
    segment.position = attempt->start_position + attempt->received;
    result =
        answer_append(&attempt->session->answer, attempt->number, &segment);
    attempt->received += segment.token_count;
    attempt->pending_count = 0;
    return result;
}

/* Ends a race: the attempt that appended first is the only one left. */
static void
cancel_other_attempts(step_t *step, const attempt_t *attempt)
{
    session_t *session = attempt->session;

    for (size_t i = 0; i < SESSION_ATTEMPTS_MAX; i++) {
        attempt_t *other = session->attempts[i];

        if (other != NULL && other != attempt) {
            attempt_cancel(step, other);
        }
    }
}
