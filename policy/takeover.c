/*
 * takeover.c - takes over sessions from other hosts and hands them over.
 *
 * The owner of a session chose its replica host among the hosts outside its
 * own zone.  A host that does not know the owner queries the first host by
 * the same hash, and the first one outside that host's zone: whichever zone
 * the owner was in, one of the two is the replica host.  A live owner hands
 * its session over on a lookup.
 */
#include <string.h>

#include "policy/private.h"

enum { LOOKUP_HOSTS_MAX = 2, LOOKUP_TIMEOUT_MS = 250 };

static bool may_hand_over(const session_t *session);
static size_t choose_lookup_hosts(const step_t *step, const session_t *session,
                                  const char **hosts);
static void send_lookup(step_t *step, const session_t *session,
                        const char *host);
static void search_own_store(step_t *step, session_t *session);
static void hand_over_session(step_t *step, session_t *session);
static bool restore_session(step_t *step, session_t *session,
                            const record_t *record);
static void discard_record(step_t *step, session_t *session);
static bool append_caller_tail(session_t *session);
static void continue_session(step_t *step, session_t *session,
                             const record_t *record);
static void reattach_stream(step_t *step, session_t *session,
                            const stream_location_t *location,
                            runner_state_t *runner, bool restores_answer);

/*
 * Looks up the session of a request that may be a retry.  The replies, or
 * their timeout, decide how the session continues.
 */
void
takeover_send_lookups(step_t *step, session_t *session)
{
    const char *hosts[LOOKUP_HOSTS_MAX];
    size_t count = choose_lookup_hosts(step, session, hosts);

    session->lookup_id = ++step->node->next_lookup_id;
    session->lookups_pending = (uint32_t)count;
    session_set_state(step, session, SESSION_LOOKUP);
    for (size_t i = 0; i < count; i++) {
        send_lookup(step, session, hosts[i]);
    }
    search_own_store(step, session);
}

/*
 * The caller has part of another run than the one of this host's session: two
 * hosts started the request.  The other host may have stored its record here.
 */
void
takeover_search_run(step_t *step, session_t *session)
{
    request_name_t name = {session->organisation, session->key};
    const record_t *record =
        record_store_find(step->node->record_store, &name);

    if (record == NULL || record->state == RECORD_DISCARDED ||
        !caller_matches_record(session, record)) {
        takeover_not_found(step, session);
        return;
    }
    session->lookup_id = ++step->node->next_lookup_id;
    session->lookups_pending = 1;
    search_own_store(step, session);
}

/*
 * No host has a record of the request, or none replied in time.  The engine
 * that the caller's event id names may still have the complete stream.
 * Otherwise the tail in the event id must contain the answer from its start.
 */
void
takeover_not_found(step_t *step, session_t *session)
{
    runner_state_t *runner =
        runners_find(&step->node->runners, session->resume_location.runner);

    session->lookup_id = 0;
    if (session->resume_position == 0) {
        intake_start_session(step, session);
        return;
    }
    step->node->counters.taken_over++;
    session->possible_runs = 1;
    if (runner != NULL) {
        session->attempt_count = session->resume_attempt;
        reattach_stream(step, session, &session->resume_location, runner,
                        true);
        return;
    }
    resume_on_new_attempt(step, session, NULL);
}

/*
 * Appends the tail from the caller's event id to the answer, so that it
 * reaches the caller's position.  Returns false if the tail does not join.
 */
bool
takeover_append_tail(session_t *session)
{
    if (session->resume_position <= session->answer.token_count) {
        return true;
    }
    if (!append_caller_tail(session) || !caller_hash_matches(session)) {
        return false;
    }
    session->sent_boundary = session->answer.boundary_count;
    session->resume_position = 0;
    return true;
}

/*
 * Handles the first chunk of a stream that was reattached from its start.
 * The stream's prompt is the request's prompt and the answer before the
 * stream; both are restored from it.  Fails if the text of that answer is
 * missing and the caller, another one by now, does not have it.
 */
bool
takeover_restore_from_prompt(session_t *session, attempt_t *attempt,
                             const chunk_event_t *chunk)
{
    const uint32_t *ids = chunk->prompt_ids.prompt_ids_val;
    uint32_t own_tokens = session->resume_location.prompt_tokens;

    attempt->restores_answer = false;
    if (chunk->prompt_ids.prompt_ids_len !=
            own_tokens + attempt->start_position ||
        session->resume_position < attempt->start_position) {
        return false;
    }
    session_set_prompt(session, ids, own_tokens);
    if (attempt->start_position > 0) {
        answer_restore_tail(&session->answer, ids + own_tokens,
                            attempt->start_position);
    }
    return true;
}

/* Refuses a caller with part of an answer that cannot be resumed. */
void
takeover_refuse_lost(step_t *step, session_t *session)
{
    session_refuse(step, session, REFUSAL_BACKEND_LOST, RUN_UNKNOWN, 0,
                   "the rest of this answer is lost: send the request again "
                   "without Last-Event-ID to start anew");
}

int64_t
takeover_deadline_us(const session_t *session)
{
    return session->state_since_us + (int64_t)LOOKUP_TIMEOUT_MS * US_PER_MS;
}

/* Replies to another host's lookup with the session or a stored record. */
void
takeover_handle_lookup(step_t *step, const char *from, const lookup_t *lookup)
{
    node_t *node = step->node;
    session_t *session = session_find(node, lookup->request.organisation,
                                      lookup->request.key, "");
    lookup_reply_t *found;
    send_message_action_t *send_message;

    if (session == NULL || !may_hand_over(session)) {
        record_store_lookup(node->record_store, step->now_us, from, lookup,
                            step->actions);
        return;
    }
    send_message = &actions_append(step->actions, ACTION_SEND_MESSAGE)
                        ->action_t_u.send_message;
    send_message->host = arena_strdup(&step->actions->arena, from);
    send_message->message.kind = MESSAGE_LOOKUP_REPLY;
    found = &send_message->message.message_t_u.found;
    found->query_id = lookup->query_id;
    found->found = true;
    replication_fill_record(step, session, &found->record);
    replication_copy_record(&step->actions->arena, &found->record);
    found->record.epoch++;
    if (session->state == SESSION_RUNNING) {
        hand_over_session(step, session);
    }
}

void
takeover_handle_found(step_t *step, const char *from,
                      const lookup_reply_t *found)
{
    session_t *session;

    for (session = step->node->sessions; session != NULL;
         session = session->hh.next) {
        if (session->lookup_id == found->query_id &&
            session->state == SESSION_LOOKUP) {
            break;
        }
    }
    if (session == NULL) {
        replication_keep_late_record(step, from, found);
        return;
    }
    if (!found->found) {
        if (--session->lookups_pending == 0) {
            takeover_not_found(step, session);
        }
        return;
    }
    session->lookup_id = 0;
    step->node->counters.taken_over++;
    actions_append_log(step->actions, LOG_NOTICE,
                       "takeover request=%s organisation=%s from=%s tokens=%u",
                       session->key, session->organisation,
                       found->record.owner,
                       found->record.token_ids.token_ids_len);
    if (restore_session(step, session, &found->record)) {
        continue_session(step, session, &found->record);
    }
}

/* Another host owns the request at a higher epoch. */
void
takeover_handle_superseded(step_t *step, const superseded_t *superseded)
{
    session_t *session =
        session_find(step->node, superseded->request.organisation,
                     superseded->request.key, "");

    if (session != NULL && superseded->epoch > session->epoch &&
        session->state == SESSION_RUNNING) {
        hand_over_session(step, session);
    }
}

/*
 * Returns whether a lookup may take the session.  Once the replica host has
 * acknowledged the record, it alone decides: two hosts that look each other
 * up at the same time would otherwise both hand the session over.
 */
static bool
may_hand_over(const session_t *session)
{
    return session->state == SESSION_FINISHED ||
           (session->state == SESSION_RUNNING &&
            !session->replica_acknowledged);
}

static size_t
choose_lookup_hosts(const step_t *step, const session_t *session,
                    const char **hosts)
{
    const membership_t *membership = step->node->membership;
    uint64_t hash = request_name_hash(session->organisation, session->key);
    member_view_t first;

    if (member_select_replicas(membership, step->now_us, hash, "", hosts, 1) ==
            0 ||
        !member_find(membership, step->now_us, hosts[0], &first)) {
        return 0;
    }
    if (member_select_replicas(membership, step->now_us, hash, first.zone,
                               &hosts[1], 1) == 0 ||
        strcmp(hosts[0], hosts[1]) == 0) {
        return 1;
    }
    return LOOKUP_HOSTS_MAX;
}

static void
send_lookup(step_t *step, const session_t *session, const char *host)
{
    send_message_action_t *send_message =
        &actions_append(step->actions, ACTION_SEND_MESSAGE)
             ->action_t_u.send_message;
    lookup_t *lookup = &send_message->message.message_t_u.lookup;

    send_message->host = arena_strdup(&step->actions->arena, host);
    send_message->message.kind = MESSAGE_LOOKUP;
    lookup->query_id = session->lookup_id;
    /* The session may be freed before the action is carried out. */
    lookup->request.organisation =
        arena_strdup(&step->actions->arena, session->organisation);
    lookup->request.key = arena_strdup(&step->actions->arena, session->key);
}

/* Looks the session up in this host's own record store. */
static void
search_own_store(step_t *step, session_t *session)
{
    node_t *node = step->node;
    request_name_t name = {session->organisation, session->key};
    lookup_t lookup = {session->lookup_id, name};

    if (record_store_find(node->record_store, &name) == NULL) {
        if (session->lookups_pending == 0) {
            takeover_not_found(step, session);
        }
        return;
    }
    actions_reset(&node->scratch);
    record_store_lookup(node->record_store, step->now_us, node->start.host,
                        &lookup, &node->scratch);
    for (size_t i = 0; i < node->scratch.count; i++) {
        const action_t *action = &node->scratch.items[i];

        if (action->kind == ACTION_SEND_MESSAGE &&
            strcmp(action->action_t_u.send_message.host, node->start.host) ==
                0) {
            takeover_handle_found(
                step, node->start.host,
                &action->action_t_u.send_message.message.message_t_u.found);
            continue;
        }
        *actions_append(step->actions, action->kind) = *action;
    }
}

/*
 * Leaves the session to the host that took it over, without ending its
 * stream at the engine.  A caller that is still connected here is sent the
 * rest of the answer all the same: two callers may have sent the request,
 * and the one that caused the takeover may have disconnected.
 */
static void
hand_over_session(step_t *step, session_t *session)
{
    actions_append_log(step->actions, LOG_NOTICE,
                       "superseded request=%s organisation=%s position=%u",
                       session->key, session->organisation,
                       session->answer.token_count);
    session->replica_host[0] = '\0';
    session->superseded = true;
    if (session->caller != 0) {
        return;
    }
    for (size_t i = 0; i < SESSION_ATTEMPTS_MAX; i++) {
        if (session->attempts[i] != NULL) {
            attempt_cancel(step, session->attempts[i]);
        }
    }
    session_release_body(step, session);
    session_free(step, session);
}

/*
 * Restores the answer from a record.  Returns false if the session was
 * refused or continues without the record.
 */
static bool
restore_session(step_t *step, session_t *session, const record_t *record)
{
    answer_t *answer = &session->answer;
    answer_snapshot_t snapshot = {
        .token_ids = record->token_ids.token_ids_val,
        .token_count = record->token_ids.token_ids_len,
        .text = record->text.text_val,
        .text_bytes = record->text.text_len,
        .boundaries = record->boundary_list.boundary_list_val,
        .boundary_count = record->boundary_list.boundary_list_len,
    };
    int64_t boundary;

    if (record->fingerprint != session->fingerprint) {
        session_refuse(step, session, REFUSAL_INVALID, RUN_NOT_RUN, 0,
                       "another request has this Idempotency-Key: use a key "
                       "once for one content");
        return false;
    }
    session->epoch = record->epoch;
    session->attempt_count = record->attempt;
    session->last_writer = record->attempt;
    session->possible_runs = 1;
    session_set_prompt(session, record->prompt_ids.prompt_ids_val,
                       record->prompt_ids.prompt_ids_len);
    answer_restore(answer, &snapshot);
    if (record->base > 0) {
        answer->first_boundary =
            (uint32_t)answer_boundary_at(answer, record->base);
    }
    if (session->resume_position > answer->token_count) {
        (void)append_caller_tail(session);
    }
    boundary = answer_boundary_at(answer, session->resume_position);
    if (boundary < answer->first_boundary || !caller_hash_matches(session)) {
        discard_record(step, session);
        return false;
    }
    session->sent_boundary = (uint32_t)boundary;
    session->resume_position = 0;
    return true;
}

/*
 * Discards a record of another run of the request than the one whose tokens
 * the caller has received: the two answers must not be mixed.
 */
static void
discard_record(step_t *step, session_t *session)
{
    const char *stop_strings = session->answer.stop_strings;
    uint32_t stop_bytes = session->answer.stop_bytes;

    answer_free(&session->answer);
    answer_init(&session->answer, stop_strings, stop_bytes);
    actions_append_log(
        step->actions, LOG_NOTICE,
        "record discarded request=%s organisation=%s position=%u",
        session->key, session->organisation, session->resume_position);
    takeover_not_found(step, session);
}

/* Appends the event id's tail to the answer if it joins the known tokens. */
static bool
append_caller_tail(session_t *session)
{
    uint32_t known_tokens = session->answer.token_count;
    uint32_t overlap;

    if (session->tail_from > known_tokens ||
        session->tail_from + session->tail_count != session->resume_position) {
        return false;
    }
    overlap = known_tokens - session->tail_from;
    answer_restore_tail(&session->answer, session->tail_ids + overlap,
                        session->tail_count - overlap);
    return true;
}

static void
continue_session(step_t *step, session_t *session, const record_t *record)
{
    runner_state_t *runner =
        runners_find(&step->node->runners, record->runner);
    bool same_stream =
        session->resume_attempt == 0 ||
        strcmp(session->resume_location.stream_name, record->stream_name) == 0;

    if (session->service || record->state == RECORD_FAILED ||
        record->state == RECORD_DISCARDED) {
        session_refuse(step, session, REFUSAL_ALREADY_RAN, RUN_UNKNOWN, 0,
                       "the request was sent before and may have run: look "
                       "for its effect before sending it under another key");
        return;
    }
    if (record->state == RECORD_FINISHED) {
        answer_end(&session->answer, (finish_reason_t)record->finish);
        session_finish(step, session);
        return;
    }
    if (runner != NULL && record->stream_name[0] != '\0' && same_stream) {
        stream_location_t location = {
            .stream_name = record->stream_name,
            .endpoint = record->stream_endpoint,
            .first = record->stream_first,
        };

        session->attempt_count--;
        reattach_stream(step, session, &location, runner, false);
        return;
    }
    resume_on_new_attempt(step, session, NULL);
}

/*
 * Reattaches to the stream that the previous owner had at the engine.  This
 * host may be the one that stored the record; another one has to store it
 * before the stream gives more, because the previous owner may have gone.
 */
static void
reattach_stream(step_t *step, session_t *session,
                const stream_location_t *location, runner_state_t *runner,
                bool restores_answer)
{
    attempt_t *attempt = attempt_new(step, session, runner);

    attempt->stream_name =
        arena_strdup(&session->arena, location->stream_name);
    attempt->endpoint = (endpoint_t)location->endpoint;
    attempt->start_position = location->first;
    attempt->restores_answer = restores_answer;
    answer_add_writer(&session->answer, attempt->number, false);
    attempt_reattach(step, attempt);
    session_set_state(step, session, SESSION_RUNNING);
    caller_send(step, session);
    replication_update(step, session);
}
