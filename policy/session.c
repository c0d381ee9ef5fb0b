/* session.c - creates sessions, changes their state and expires them. */
#include <stdlib.h>
#include <string.h>

#include "policy/private.h"

enum {
    FINISHED_RETENTION_MS = 60000,      /* a finished answer, for retries */
    AT_MOST_ONCE_RETENTION_MS = 600000, /* the same, if non-idempotent */
    RESUME_QUEUE_WAIT_MS = 600000,      /* of an interrupted session */
};

static void cancel_attempts(step_t *step, session_t *session);
static int64_t retention_ms(const session_t *session);
static int64_t earlier_deadline(int64_t a_us, int64_t b_us);
static int64_t state_deadline_us(const node_t *node, const session_t *session);
static void refuse_queue_timeout(step_t *step, session_t *session);

session_t *
session_new(step_t *step, const request_event_t *request,
            const char *organisation, const char *run)
{
    node_t *node = step->node;
    session_t *session = xcalloc(1, sizeof(*session));
    arena_t *arena = &session->arena;
    size_t stop_bytes = request->stop.stop_len;
    char *stop_strings =
        arena_memdup(arena, request->stop.stop_val, stop_bytes);

    session->id = ++node->next_session;
    session->timer.owner = session->id;
    session->organisation = arena_strdup(arena, organisation);
    session->key = arena_strdup(arena, request->key);
    session->run = arena_strdup(arena, run);
    session->name =
        arena_printf(arena, "%s\n%s\n%s", organisation, request->key, run);
    session->model = arena_strdup(arena, request->model);
    session->has_key = request->has_key;
    session->endpoint = request->endpoint;
    session->service = request->endpoint == ENDPOINT_SERVICE;
    session->stream = request->stream;
    session->fingerprint = request->fingerprint;
    session->max_tokens = request->max_tokens;
    session->has_seed = request->has_seed;
    session->seed = request->seed;
    session->prefix_count = request->prefix_hashes.prefix_hashes_len;
    session->prefix_hashes =
        arena_memdup(arena, request->prefix_hashes.prefix_hashes_val,
                     session->prefix_count * sizeof(uint64_t));
    session->resume_attempt = request->attempt;
    session->resume_hash = request->hash;
    session->resume_location = request->location;
    session->resume_location.runner =
        arena_strdup(arena, request->location.runner);
    session->resume_location.stream_name =
        arena_strdup(arena, request->location.stream_name);
    session->tail_from = request->tail_from;
    session->tail_count = request->tail_ids.tail_ids_len;
    session->tail_ids = arena_memdup(arena, request->tail_ids.tail_ids_val,
                                     session->tail_count * sizeof(uint32_t));
    session->body = request->caller;
    session->epoch = 1;
    session->arrived_us = step->now_us;
    session->state_since_us = step->now_us;
    answer_init(&session->answer, stop_strings, (uint32_t)stop_bytes);
    HASH_ADD(hh, node->sessions, id, sizeof(session->id), session);
    HASH_ADD_KEYPTR(hh_name, node->by_name, session->name,
                    strlen(session->name), session);
    node->active_sessions++;
    node->counters.sessions++;
    return session;
}

void
session_free(step_t *step, session_t *session)
{
    node_t *node = step->node;

    claiming_release(step, session);
    HASH_DEL(node->sessions, session);
    HASH_DELETE(hh_name, node->by_name, session);
    if (session->caller != 0) {
        HASH_DELETE(hh_caller, node->by_caller, session);
    }
    if (session->state == SESSION_QUEUED) {
        queue_remove(step, session);
    }
    if (session->state < SESSION_FINISHED) {
        node->active_sessions--;
    }
    timers_remove(&node->timers, &session->timer);
    node->counters.sessions--;
    answer_free(&session->answer);
    arena_free(&session->arena);
    free(session->prompt_ids);
    free(session);
}

session_t *
session_find(node_t *node, const char *organisation, const char *key,
             const char *run)
{
    session_t *session;
    arena_t scratch = {0};
    char *name = arena_printf(&scratch, "%s\n%s\n%s", organisation, key, run);

    HASH_FIND(hh_name, node->by_name, name, strlen(name), session);
    arena_free(&scratch);
    return session;
}

void
session_set_state(step_t *step, session_t *session, session_state_t state)
{
    if (session->state == SESSION_QUEUED && state != SESSION_QUEUED) {
        queue_remove(step, session);
    }
    if (session->state < SESSION_FINISHED && state >= SESSION_FINISHED) {
        step->node->active_sessions--;
    }
    session->state = state;
    session->state_since_us = step->now_us;
    session_set_timer(step, session);
}

/* Ends a session with its answer, which is retained for retries. */
void
session_finish(step_t *step, session_t *session)
{
    suspects_clear(step->node->suspects, session->fingerprint);
    cancel_attempts(step, session);
    session_set_state(step, session, SESSION_FINISHED);
    replication_end(step, session, RECORD_FINISHED);
    step->node->counters.finished++;
    caller_send(step, session);
    session_release_body(step, session);
}

/*
 * Ends a session with a refusal.  The session is freed unless it is
 * non-idempotent and may have run: then it is retained, so that a retry does
 * not run the request again.
 */
void
session_refuse(step_t *step, session_t *session, refusal_t refusal,
               execution_t run, uint32_t retry_after_ms, const char *message)
{
    bool retain = !session->idempotent && run != RUN_NOT_RUN;
    uint64_t caller = session->caller;

    cancel_attempts(step, session);
    caller_detach(step, session);
    if (caller != 0) {
        caller_refuse(step, caller, refusal, run, retry_after_ms, message);
    }
    session_release_body(step, session);
    replication_end(step, session, retain ? RECORD_FAILED : RECORD_DISCARDED);
    if (!retain) {
        session_free(step, session);
        return;
    }
    session->refusal = refusal;
    session->refusal_run = run;
    session_set_state(step, session, SESSION_REFUSED);
}

/* The claim expired before the request was started. */
void
session_refuse_expired_claim(step_t *step, session_t *session)
{
    session_refuse(step, session, REFUSAL_STORE_UNREACHED, RUN_NOT_RUN,
                   step->node->start.queue_wait_ms,
                   "the claim of this request is too old to start it: send "
                   "it again after the stated time");
}

void
session_set_timer(step_t *step, session_t *session)
{
    node_t *node = step->node;
    int64_t due_us = state_deadline_us(node, session);

    if (session->orphaned_us != 0 && session->state < SESSION_FINISHED &&
        session->idempotent) {
        due_us = earlier_deadline(
            due_us, session->orphaned_us +
                        (int64_t)node->start.orphan_grace_ms * US_PER_MS);
    }
    for (size_t i = 0; i < SESSION_ATTEMPTS_MAX; i++) {
        if (session->attempts[i] != NULL) {
            due_us = earlier_deadline(
                due_us, resume_silence_due_us(node, session->attempts[i]));
        }
    }
    timers_set(&node->timers, &session->timer, due_us);
}

void
session_handle_timeout(step_t *step, session_t *session)
{
    node_t *node = step->node;
    int64_t grace_us = (int64_t)node->start.orphan_grace_ms * US_PER_MS;
    bool overdue = state_deadline_us(node, session) != 0 &&
                   step->now_us >= state_deadline_us(node, session);

    if (session->state >= SESSION_FINISHED) {
        if (overdue) {
            session_free(step, session);
            return;
        }
        session_set_timer(step, session);
        return;
    }
    if (session->orphaned_us != 0 && session->idempotent &&
        step->now_us >= session->orphaned_us + grace_us) {
        cancel_attempts(step, session);
        replication_end(step, session, RECORD_DISCARDED);
        session_release_body(step, session);
        session_free(step, session);
        return;
    }
    if (session->state == SESSION_LOOKUP && overdue) {
        takeover_not_found(step, session);
        return;
    }
    if (session->state == SESSION_QUEUED && overdue) {
        refuse_queue_timeout(step, session);
        return;
    }
    if (session->state == SESSION_RUNNING) {
        resume_check_silence(step, session);
        return;
    }
    session_set_timer(step, session);
}

suspect_colocation_t
session_worst_colocation(const runner_state_t *runner,
                         const runner_query_t *query)
{
    const attempt_t *attempt;
    suspect_colocation_t worst = COLOCATION_ALLOWED;

    LIST_FOREACH(attempt, &runner->attempts, runner_entry)
    {
        suspect_colocation_t company =
            suspects_check_colocation(query->suspects, query->fingerprint,
                                      &attempt->session->fingerprint, 1);

        if (company > worst) {
            worst = company;
        }
    }
    return worst;
}

runner_query_t
session_runner_query(const session_t *session, const char *zone)
{
    runner_query_t query = {
        .model = session->runner_model,
        .service = session->service,
        .zone = zone,
        .prefix_hashes = session->prefix_hashes,
        .prefix_count = session->prefix_count,
    };

    for (size_t i = 0; i < SESSION_ATTEMPTS_MAX; i++) {
        if (session->attempts[i] != NULL) {
            query.excluded[i] = session->attempts[i]->runner;
        }
    }
    return query;
}

const char *
session_state_name(session_state_t state)
{
    static const char *const names[] = {
        "lookup", "claiming", "queued", "running", "finished", "refused",
    };

    return names[state];
}

static void
cancel_attempts(step_t *step, session_t *session)
{
    for (size_t i = 0; i < SESSION_ATTEMPTS_MAX; i++) {
        if (session->attempts[i] != NULL) {
            attempt_cancel(step, session->attempts[i]);
        }
    }
}

void
session_release_body(step_t *step, session_t *session)
{
    if (session->body == 0) {
        return;
    }
    actions_append(step->actions, ACTION_FREE_BODY)
        ->action_t_u.free_body.body = session->body;
    session->body = 0;
}

/* Stores the prompt's token ids that the first engine returned. */
void
session_set_prompt(session_t *session, const uint32_t *ids, uint32_t count)
{
    if (count == 0 || session->prompt_count > 0) {
        return;
    }
    session->prompt_ids = xcalloc(count, sizeof(uint32_t));
    memcpy(session->prompt_ids, ids, count * sizeof(uint32_t));
    session->prompt_count = count;
}

static int64_t
retention_ms(const session_t *session)
{
    if (!session->idempotent) {
        return AT_MOST_ONCE_RETENTION_MS;
    }
    return FINISHED_RETENTION_MS;
}

static int64_t
earlier_deadline(int64_t a_us, int64_t b_us)
{
    if (a_us == 0 || (b_us != 0 && b_us < a_us)) {
        return b_us;
    }
    return a_us;
}

/* Returns when the session's state times out; 0: never. */
static int64_t
state_deadline_us(const node_t *node, const session_t *session)
{
    int64_t limit_ms = 0;

    if (session->state == SESSION_LOOKUP) {
        return takeover_deadline_us(session);
    }
    if (session->state == SESSION_QUEUED) {
        limit_ms = session->queued_to_resume
                       ? RESUME_QUEUE_WAIT_MS
                       : (int64_t)node->start.queue_wait_ms;
    }
    if (session->state >= SESSION_FINISHED) {
        limit_ms = retention_ms(session);
    }
    return limit_ms == 0 ? 0 : session->state_since_us + limit_ms * US_PER_MS;
}

static void
refuse_queue_timeout(step_t *step, session_t *session)
{
    if (session->queued_to_resume) {
        session_refuse(step, session, REFUSAL_BACKEND_LOST, RUN_RAN,
                       step->node->start.queue_wait_ms,
                       "no backend server is left to finish the answer: send "
                       "the request again later");
        return;
    }
    session_refuse(step, session, REFUSAL_OVERLOADED, RUN_NOT_RUN,
                   step->node->start.queue_wait_ms,
                   "all backend servers are busy: send the request again "
                   "after the stated time");
}
