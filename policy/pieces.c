/* pieces.c - what backend servers send, matched to its attempt. */
#include <string.h>

#include "base/arena.h"
#include "policy/private.h"

static void hear(step_t *step, attempt_t *attempt);
static void end_probe(step_t *step, attempt_t *attempt);
static bool in_place(step_t *step, attempt_t *attempt,
                     const piece_event_t *piece);
static void hold(attempt_t *attempt, const piece_event_t *piece);
static append_result_t append(attempt_t *attempt, const piece_event_t *piece);
static void win(step_t *step, const attempt_t *attempt);

void
pieces_piece(step_t *step, const piece_event_t *piece)
{
    attempt_t *attempt = attempt_find(step->node, piece->stream);
    session_t *session;

    if (attempt == NULL) {
        step->node->counters.pieces_late++;
        return;
    }
    session = attempt->session;
    hear(step, attempt);
    if (attempt->first == 0 || attempt->probe) {
        session_keep_prompt(session, piece->prompt_ids.prompt_ids_val,
                            piece->prompt_ids.prompt_ids_len);
    }
    if (attempt->probe) {
        end_probe(step, attempt);
        return;
    }
    if (attempt->recover && !takeover_recover(session, attempt, piece)) {
        attempt_cancel(step, attempt);
        resume_without(step, session, NULL);
        return;
    }
    if (!in_place(step, attempt, piece)) {
        return;
    }
    if (piece->text.text_len == 0 && piece->finish == FINISH_NONE) {
        hold(attempt, piece);
        session_schedule(step, session);
        return;
    }
    if (append(attempt, piece) != APPEND_DONE) {
        step->node->counters.pieces_late++;
        attempt_cancel(step, attempt);
        resume_without(step, session, NULL);
        return;
    }
    win(step, attempt);
    session->writer = attempt->number;
    if (piece->finish != FINISH_NONE) {
        attempt_drop(step, attempt);
    }
    caller_give(step, session);
    if (caller_is_lost(session)) {
        takeover_lost(step, session);
        return;
    }
    if (session->answer.finish != FINISH_NONE) {
        session_finish(step, session);
        queue_pump(step);
        return;
    }
    record_grown(step, session);
    session_schedule(step, session);
}

/* An end without a finish reason is a loss; the usual end comes after. */
void
pieces_end(step_t *step, const end_event_t *end)
{
    loss_event_t loss = {.stream = end->stream, .kind = LOSS_RESET};

    if (attempt_find(step->node, end->stream) != NULL) {
        resume_loss(step, &loss);
    }
}

void
pieces_reply(step_t *step, const reply_event_t *reply)
{
    attempt_t *attempt = attempt_find(step->node, reply->stream);
    session_t *session;

    if (attempt == NULL) {
        step->node->counters.pieces_late++;
        return;
    }
    session = attempt->session;
    hear(step, attempt);
    session->reply.status = reply->status;
    session->reply.content_type =
        arena_strdup(&session->arena, reply->content_type);
    session->reply.body.body_len = reply->body.body_len;
    session->reply.body.body_val = arena_memdup(
        &session->arena, reply->body.body_val, reply->body.body_len);
    attempt_drop(step, attempt);
    session_finish(step, session);
    queue_pump(step);
}

/* The runner spoke: its gaps are known better, and it is not failing. */
static void
hear(step_t *step, attempt_t *attempt)
{
    runner_state_t *runner = attempt->runner;

    runner_heard(runner, step->now_us);
    if (attempt->piece_us != 0) {
        silence_sample(&runner->gaps, step->now_us - attempt->piece_us);
    }
    else if (!attempt->reattached) {
        silence_sample(&runner->prefill, step->now_us - attempt->opened_us);
    }
    attempt->piece_us = step->now_us;
    attempt->quiet_us = 0;
    attempt->reattached = false;
    runner->piece_us = step->now_us;
}

/* The prompt's ids are what it was for; its own token is not used. */
static void
end_probe(step_t *step, attempt_t *attempt)
{
    session_t *session = attempt->session;

    attempt_cancel(step, attempt);
    if (session->prompt_count == 0) {
        session_refuse(step, session, REFUSAL_BACKEND_LOST, RUN_RAN, 0,
                       "the backend server gives no token ids to go on "
                       "from: send the request again from its start");
        return;
    }
    resume_elsewhere(step, session, NULL);
}

/* Whether the piece is the attempt's next; a gap is a loss. */
static bool
in_place(step_t *step, attempt_t *attempt, const piece_event_t *piece)
{
    loss_event_t loss = {.stream = attempt->stream, .kind = LOSS_RESET};

    if (piece->position == attempt->received) {
        return true;
    }
    if (piece->position < attempt->received) {
        step->node->counters.pieces_repeated++;
        return false;
    }
    step->node->counters.pieces_ahead++;
    resume_loss(step, &loss);
    return false;
}

static void
hold(attempt_t *attempt, const piece_event_t *piece)
{
    uint32_t count = piece->token_ids.token_ids_len;
    uint32_t needed = attempt->held_count + count;

    if (needed > attempt->held_capacity) {
        attempt->held_ids =
            xrealloc(attempt->held_ids, needed, sizeof(uint32_t));
        attempt->held_capacity = needed;
    }
    if (count > 0) {
        memcpy(attempt->held_ids + attempt->held_count,
               piece->token_ids.token_ids_val, count * sizeof(uint32_t));
    }
    attempt->held_count = needed;
    attempt->received += count;
}

/* The tokens held back and the piece make one unit. */
static append_result_t
append(attempt_t *attempt, const piece_event_t *piece)
{
    append_result_t result;
    answer_unit_t unit = {
        .token_ids = piece->token_ids.token_ids_val,
        .token_count = piece->token_ids.token_ids_len,
        .text = piece->text.text_val,
        .text_bytes = piece->text.text_len,
        .finish = piece->finish,
    };

    if (attempt->held_count > 0) {
        hold(attempt, piece);
        unit.token_ids = attempt->held_ids;
        unit.token_count = attempt->held_count;
        attempt->received -= attempt->held_count;
    }
    unit.position = attempt->first + attempt->received;
    result = answer_append(&attempt->session->answer, attempt->number, &unit);
    attempt->received += unit.token_count;
    attempt->held_count = 0;
    return result;
}

/* The first of two racing attempts to add to the answer goes on alone. */
static void
win(step_t *step, const attempt_t *attempt)
{
    session_t *session = attempt->session;

    for (size_t i = 0; i < SESSION_ATTEMPTS; i++) {
        attempt_t *other = session->attempts[i];

        if (other != NULL && other != attempt) {
            attempt_cancel(step, other);
        }
    }
}
