/* attempt.c - opens, reattaches and cancels streams at backend servers. */
#include <stdlib.h>
#include <string.h>

#include "policy/private.h"

enum { PRIORITY_PER_URGENCY = 10 };

static void fill_open_order(step_t *step, attempt_t *attempt,
                            open_stream_action_t *open);
static void fill_resume_prompt(step_t *step, const session_t *session,
                               open_stream_action_t *open);
static void attempt_free(node_t *node, attempt_t *attempt);

/*
 * Opens a stream that continues the answer from its present end.  With
 * concurrent set it races the live attempt: the first of the two to append
 * to the answer wins.
 */
attempt_t *
attempt_open(step_t *step, session_t *session, runner_state_t *runner,
             bool concurrent)
{
    attempt_t *attempt = attempt_new(step, session, runner);
    open_stream_action_t *open =
        &actions_append(step->actions, ACTION_OPEN_STREAM)->action_t_u.open;

    answer_add_writer(&session->answer, attempt->number, concurrent);
    fill_open_order(step, attempt, open);
    runner->opened_since_report++;
    runner_record_prefixes(runner, session->prefix_hashes,
                           session->prefix_count);
    session->possible_runs++;
    step->node->counters.attempts++;
    actions_append_log(step->actions, LOG_INFO,
                       "open request=%s organisation=%s runner=%s attempt=%u "
                       "position=%u",
                       session->key, session->organisation, runner->name,
                       attempt->number, session->answer.token_count);
    return attempt;
}

/*
 * Reattaches to the same stream over a new connection, after the last
 * complete segment of the answer.  The engine sends the pending tokens of
 * an incomplete segment again.
 */
void
attempt_reattach(step_t *step, attempt_t *attempt)
{
    node_t *node = step->node;
    session_t *session = attempt->session;
    reattach_action_t *action =
        &actions_append(step->actions, ACTION_REATTACH)->action_t_u.reattach;

    HASH_DEL(node->by_stream, attempt);
    attempt->stream = ++node->next_stream;
    HASH_ADD(hh, node->by_stream, stream, sizeof(attempt->stream), attempt);
    attempt->pending_count = 0;
    attempt->received =
        attempt->restores_answer
            ? 0
            : session->answer.token_count - attempt->start_position;
    if (!attempt->reattached) {
        attempt->reattached_us = step->now_us;
    }
    attempt->reattached = true;
    attempt->opened_us = step->now_us;
    action->stream = attempt->stream;
    action->runner = attempt->runner->name;
    action->address = attempt->runner->address;
    action->stream_name = attempt->stream_name;
    action->endpoint = attempt->endpoint;
    action->after = attempt->received;
    node->counters.reattached++;
    actions_append_log(
        step->actions, LOG_INFO,
        "reattach request=%s organisation=%s runner=%s attempt=%u "
        "position=%u",
        session->key, session->organisation, attempt->runner->name,
        attempt->number, session->answer.token_count);
}

/*
 * Ends the stream at the backend server and frees the attempt.  The stream of
 * a superseded session is kept, since the new owner may have reattached to
 * it; only its connection is closed.
 */
void
attempt_cancel(step_t *step, attempt_t *attempt)
{
    cancel_stream_action_t *cancel =
        &actions_append(step->actions, ACTION_CANCEL_STREAM)
             ->action_t_u.cancel;

    cancel->stream = attempt->stream;
    cancel->keep_stream = attempt->session->superseded;
    attempt_drop(step, attempt);
}

/* Frees the attempt and revokes its permission to write. */
void
attempt_drop(step_t *step, attempt_t *attempt)
{
    session_t *session = attempt->session;

    answer_revoke_writer(&session->answer, attempt->number);
    for (size_t i = 0; i < SESSION_ATTEMPTS_MAX; i++) {
        if (session->attempts[i] == attempt) {
            session->attempts[i] = NULL;
        }
    }
    attempt_free(step->node, attempt);
}

attempt_t *
attempt_find(const node_t *node, uint64_t stream)
{
    attempt_t *attempt;

    HASH_FIND(hh, node->by_stream, &stream, sizeof(stream), attempt);
    return attempt;
}

size_t
attempt_live_count(const session_t *session)
{
    size_t live = 0;

    for (size_t i = 0; i < SESSION_ATTEMPTS_MAX; i++) {
        live += session->attempts[i] != NULL;
    }
    return live;
}

attempt_t *
attempt_new(step_t *step, session_t *session, runner_state_t *runner)
{
    node_t *node = step->node;
    attempt_t *attempt = xcalloc(1, sizeof(*attempt));
    size_t slot = session->attempts[0] == NULL ? 0 : 1;

    attempt->session = session;
    attempt->runner = runner;
    attempt->stream = ++node->next_stream;
    attempt->number = ++session->attempt_count;
    attempt->start_position = session->answer.token_count;
    attempt->opened_us = step->now_us;
    attempt->endpoint = session->endpoint;
    attempt->stream_name =
        arena_printf(&session->arena, "%s-%llx-%llu-%u", node->start.host,
                     (unsigned long long)node->start.incarnation,
                     (unsigned long long)session->id, attempt->number);
    session->attempts[slot] = attempt;
    HASH_ADD(hh, node->by_stream, stream, sizeof(attempt->stream), attempt);
    LIST_INSERT_HEAD(&runner->attempts, attempt, runner_entry);
    runner->streams++;
    return attempt;
}

static void
fill_open_order(step_t *step, attempt_t *attempt, open_stream_action_t *open)
{
    session_t *session = attempt->session;

    open->stream = attempt->stream;
    open->body = session->body;
    open->runner = attempt->runner->name;
    open->address = attempt->runner->address;
    open->stream_name = attempt->stream_name;
    open->model = session->engine_model;
    open->endpoint = session->endpoint;
    open->max_tokens = session->max_tokens;
    open->has_seed = session->has_seed;
    open->seed = session->seed;
    open->priority = (int32_t)session->urgency * PRIORITY_PER_URGENCY;
    open->start_deadline_us = session->claim_expires_us;
    if (session->answer.token_count == 0) {
        return;
    }
    if (session->prompt_count == 0) {
        attempt->probe = true;
        open->max_tokens = 1;
        return;
    }
    fill_resume_prompt(step, session, open);
    attempt->endpoint = ENDPOINT_COMPLETIONS;
}

/*
 * Makes the token ids of the prompt and of the answer so far the new prompt,
 * so that the engine continues the answer.
 */
static void
fill_resume_prompt(step_t *step, const session_t *session,
                   open_stream_action_t *open)
{
    const answer_t *answer = &session->answer;
    uint32_t total = session->prompt_count + answer->token_count;
    uint32_t *ids =
        arena_array(&step->actions->arena, total, sizeof(uint32_t));

    memcpy(ids, session->prompt_ids, session->prompt_count * sizeof(uint32_t));
    memcpy(ids + session->prompt_count, answer->token_ids,
           answer->token_count * sizeof(uint32_t));
    open->prompt_ids.prompt_ids_val = ids;
    open->prompt_ids.prompt_ids_len = total;
    open->endpoint = ENDPOINT_COMPLETIONS;
    if (session->max_tokens > 0) {
        open->max_tokens = session->max_tokens - answer->token_count;
    }
    /*
     * With the same seed the engine would sample the next tokens with the
     * random numbers of the first ones.
     */
    open->seed = session->seed + answer->token_count;
}

static void
attempt_free(node_t *node, attempt_t *attempt)
{
    HASH_DEL(node->by_stream, attempt);
    LIST_REMOVE(attempt, runner_entry);
    attempt->runner->streams--;
    attempt->runner->ended_since_report++;
    free(attempt->pending_ids);
    free(attempt);
}
