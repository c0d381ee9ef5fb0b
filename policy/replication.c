/*
 * replication.c - replicates the records of this host's sessions.
 *
 * The replica host is one live host, in another zone if there is one, and is
 * chosen by rendezvous hashing of the request's name; takeover.c tells which
 * hosts look it up there.  An update is sent for every UPDATE_TOKENS tokens.
 * Shorter answers need no record: the event ids that the caller receives
 * contain all their tokens.
 */
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include "policy/private.h"

enum {
    UPDATE_TOKENS = 16,
    TAIL_TOKENS_MAX = 256, /* token ids in an event id */
};

static const attempt_t *find_writing_attempt(const session_t *session);
static void choose_replica_host(step_t *step, session_t *session);
static uint64_t hash_until(session_t *session, uint32_t position);
static void fill_stream_place(const session_t *session,
                              stream_location_t *location);
static bool replica_host_is_live(const step_t *step, const session_t *session);
static void send_update(step_t *step, session_t *session,
                        record_state_t state);

uint64_t
request_name_hash(const char *organisation, const char *key)
{
    return XXH3_64bits_withSeed(
        key, strlen(key), XXH3_64bits(organisation, strlen(organisation)));
}

/*
 * Sends the record of a non-idempotent request as it starts, so that a retry
 * at another host does not run it a second time.
 */
void
replication_start(step_t *step, session_t *session)
{
    if (session->has_key && !session->idempotent) {
        choose_replica_host(step, session);
        send_update(step, session, RECORD_RUNNING);
    }
}

/* Sends an update if the answer has grown enough since the last one. */
void
replication_update(step_t *step, session_t *session)
{
    const answer_t *answer = &session->answer;
    record_boundary_t sent =
        answer_boundary(answer, session->replicated_boundary);

    if (session->run[0] != '\0' || session->superseded) {
        return; /* The record belongs to another session. */
    }
    if (answer->token_count - sent.position < UPDATE_TOKENS &&
        (session->replica_host[0] == '\0' ||
         session->replicated_attempt == session->last_writer)) {
        return;
    }
    if (!replica_host_is_live(step, session)) {
        choose_replica_host(step, session);
    }
    send_update(step, session, RECORD_RUNNING);
}

/* Sends the final update, which lets other hosts answer retries. */
void
replication_end(step_t *step, session_t *session, record_state_t state)
{
    if (session->replica_host[0] != '\0') {
        send_update(step, session, state);
        session->replica_host[0] = '\0';
    }
}

/* The replica host lacks part of the record: sends it again completely. */
void
replication_handle_gap(step_t *step, const char *from,
                       const record_position_t *gap)
{
    session_t *session = session_find(step->node, gap->request.organisation,
                                      gap->request.key, "");

    if (session == NULL || gap->epoch != session->epoch ||
        strcmp(session->replica_host, from) != 0) {
        return;
    }
    session->replicated_boundary = 0;
    session->acknowledged_boundary = 0;
    send_update(step, session, RECORD_RUNNING);
}

/*
 * The replica host has stored the record up to a position: event ids need no
 * longer contain the tokens before it.
 */
void
replication_handle_ack(step_t *step, const char *from,
                       const record_position_t *ack)
{
    session_t *session = session_find(step->node, ack->request.organisation,
                                      ack->request.key, "");
    int64_t boundary;

    if (session == NULL || ack->epoch < session->epoch ||
        strcmp(session->replica_host, from) != 0) {
        return;
    }
    session->epoch = ack->epoch;
    session->replica_acknowledged = true;
    boundary = answer_boundary_at(&session->answer, ack->stored_tokens);
    if (boundary > session->acknowledged_boundary) {
        session->acknowledged_boundary = (uint32_t)boundary;
    }
}

/*
 * The connection to a host broke, which may have ended with the records that
 * it stored.  Until it acknowledges the complete record, which the next update
 * sends, event ids contain the tokens again.
 */
void
replication_handle_peer_lost(step_t *step, const char *host)
{
    session_t *session;

    for (session = step->node->sessions; session != NULL;
         session = session->hh.next) {
        if (strcmp(session->replica_host, host) == 0) {
            session->replicated_boundary = 0;
            session->acknowledged_boundary = 0;
        }
    }
}

/*
 * A reply that comes after the lookup has timed out may be a session that its
 * owner has handed over: its record is stored here, for there may be no other.
 */
void
replication_keep_late_record(step_t *step, const char *from,
                             const lookup_reply_t *found)
{
    const request_name_t *name = &found->record.request;

    if (found->found && found->record.state == RECORD_RUNNING &&
        session_find(step->node, name->organisation, name->key, "") == NULL) {
        record_store_update(step->node->record_store, step->now_us, from,
                            &found->record, step->actions);
    }
}

/*
 * Fills in what the event id of sent segments contains: the stream and the
 * hash of the tokens up to there, and the ids of the tokens that the replica
 * host has not acknowledged.  Those are left out if they are too many.
 */
void
replication_fill_resume_info(session_t *session, send_tokens_action_t *action)
{
    const answer_t *answer = &session->answer;
    uint32_t from;

    from = answer_boundary(answer, session->acknowledged_boundary).position;
    if (action->position < from || action->position - from > TAIL_TOKENS_MAX) {
        from = action->position;
    }
    action->attempt = session->last_writer;
    action->hash = hash_until(session, action->position);
    fill_stream_place(session, &action->location);
    action->tail_from = from;
    action->tail_ids.tail_ids_val = answer->token_ids + from;
    action->tail_ids.tail_ids_len = action->position - from;
}

/*
 * Returns the hash of the token ids before position.  Extends the last hash,
 * or starts anew if a caller reads the answer again from an earlier position.
 */
static uint64_t
hash_until(session_t *session, uint32_t position)
{
    if (position < session->token_hash_end) {
        session->token_hash_end = 0;
        session->token_hash = 0;
    }
    session->token_hash =
        answer_hash(&session->answer, session->token_hash_end, position,
                    session->token_hash);
    session->token_hash_end = position;
    return session->token_hash;
}

static void
fill_stream_place(const session_t *session, stream_location_t *location)
{
    const attempt_t *attempt = find_writing_attempt(session);

    location->runner = (char *)"";
    location->stream_name = (char *)"";
    if (attempt == NULL || attempt->number != session->last_writer) {
        return;
    }
    location->runner = attempt->runner->name;
    location->stream_name = attempt->stream_name;
    location->endpoint = attempt->endpoint;
    location->first = attempt->start_position;
    location->prompt_tokens = session->prompt_count;
}

/* Fills in the complete record, as a host needs it to take over. */
void
replication_fill_record(step_t *step, const session_t *session,
                        record_t *record)
{
    const answer_t *answer = &session->answer;
    const attempt_t *attempt = find_writing_attempt(session);

    memset(record, 0, sizeof(*record));
    record->request.organisation = session->organisation;
    record->request.key = session->key;
    record->fingerprint = session->fingerprint;
    record->owner = step->node->start.host;
    record->owner_incarnation = step->node->start.incarnation;
    record->epoch = session->epoch;
    record->state =
        session->state == SESSION_FINISHED ? RECORD_FINISHED : RECORD_RUNNING;
    record->idempotent = session->idempotent;
    record->runner = (char *)"";
    record->stream_name = (char *)"";
    if (attempt != NULL) {
        record->runner = attempt->runner->name;
        record->stream_name = attempt->stream_name;
        record->stream_endpoint = attempt->endpoint;
        record->stream_first = attempt->start_position;
    }
    record->attempt = session->last_writer;
    record->base = answer_boundary(answer, answer->first_boundary).position;
    record->prompt_ids.prompt_ids_val = session->prompt_ids;
    record->prompt_ids.prompt_ids_len = session->prompt_count;
    record->token_ids.token_ids_val = answer->token_ids;
    record->token_ids.token_ids_len = answer->token_count;
    record->text.text_val = answer->text;
    record->text.text_len = answer->text_bytes;
    record->boundary_list.boundary_list_val = answer->boundaries;
    record->boundary_list.boundary_list_len = answer->boundary_count;
    record->finish = answer->finish;
}

/* Returns the live attempt that wrote last, or any other, or NULL. */
static const attempt_t *
find_writing_attempt(const session_t *session)
{
    const attempt_t *writer = NULL;

    for (size_t i = 0; i < SESSION_ATTEMPTS_MAX; i++) {
        const attempt_t *attempt = session->attempts[i];

        if (attempt != NULL &&
            (writer == NULL || attempt->number == session->last_writer)) {
            writer = attempt;
        }
    }
    return writer;
}

/* Copies data of a session that may be freed before the action is sent. */
void
replication_copy_record(arena_t *arena, record_t *record)
{
    record->request.organisation =
        arena_strdup(arena, record->request.organisation);
    record->request.key = arena_strdup(arena, record->request.key);
    record->stream_name = arena_strdup(arena, record->stream_name);
    record->prompt_ids.prompt_ids_val =
        arena_memdup(arena, record->prompt_ids.prompt_ids_val,
                     record->prompt_ids.prompt_ids_len * sizeof(uint32_t));
    record->token_ids.token_ids_val =
        arena_memdup(arena, record->token_ids.token_ids_val,
                     record->token_ids.token_ids_len * sizeof(uint32_t));
    record->text.text_val =
        arena_memdup(arena, record->text.text_val, record->text.text_len);
    record->boundary_list.boundary_list_val = arena_memdup(
        arena, record->boundary_list.boundary_list_val,
        record->boundary_list.boundary_list_len * sizeof(record_boundary_t));
}

static bool
replica_host_is_live(const step_t *step, const session_t *session)
{
    member_view_t view;

    return session->replica_host[0] != '\0' &&
           member_find(step->node->membership, step->now_us,
                       session->replica_host, &view) &&
           view.state == MEMBER_LIVE;
}

/* Chooses a host, which will be sent the complete record. */
static void
choose_replica_host(step_t *step, session_t *session)
{
    const char *hosts[1];
    size_t count = member_select_replicas(
        step->node->membership, step->now_us,
        request_name_hash(session->organisation, session->key),
        step->node->start.zone, hosts, 1);

    session->replicated_boundary = 0;
    session->acknowledged_boundary = 0;
    session->replica_acknowledged = false;
    session->replica_host[0] = '\0';
    if (count > 0) {
        (void)snprintf(session->replica_host, sizeof(session->replica_host),
                       "%s", hosts[0]);
        actions_append_log(step->actions, LOG_INFO,
                           "replica request=%s organisation=%s host=%s",
                           session->key, session->organisation, hosts[0]);
    }
}

/* Sends what is new; the prompt's token ids are in the first update only. */
static void
send_update(step_t *step, session_t *session, record_state_t state)
{
    const answer_t *answer = &session->answer;
    record_boundary_t sent =
        answer_boundary(answer, session->replicated_boundary);
    send_message_action_t *send_message;
    record_t *record;

    if (session->replica_host[0] == '\0') {
        return;
    }
    send_message = &actions_append(step->actions, ACTION_SEND_MESSAGE)
                        ->action_t_u.send_message;
    send_message->host =
        arena_strdup(&step->actions->arena, session->replica_host);
    send_message->message.kind = MESSAGE_RECORD;
    record = &send_message->message.message_t_u.record;
    replication_fill_record(step, session, record);
    if (state != RECORD_RUNNING) {
        replication_copy_record(&step->actions->arena, record);
    }
    record->state = state;
    record->first = sent.position;
    record->token_ids.token_ids_val += sent.position;
    record->token_ids.token_ids_len -= sent.position;
    record->text.text_val += sent.text_bytes;
    record->text.text_len -= sent.text_bytes;
    record->boundary_list.boundary_list_val += session->replicated_boundary;
    record->boundary_list.boundary_list_len -= session->replicated_boundary;
    if (session->replicated_boundary > 0) {
        record->prompt_ids.prompt_ids_len = 0;
    }
    step->node->counters.records++;
    session->replicated_boundary = answer->boundary_count;
    session->replicated_attempt = session->last_writer;
}
