/*
 * record.c - what this host tells a keeper about its sessions.
 *
 * The keeper is one live host, in another zone where there is one, chosen
 * by rendezvous hashing of the request's name; see takeover.c for who asks
 * it.  A part of the record goes out with every RECORD_TOKENS tokens, so a
 * short generation has none: its caller's event id carries all its tokens.
 */
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include "policy/private.h"

enum {
    RECORD_TOKENS = 16,
    TAIL_MAX = 256, /* token ids that an event id carries */
};

static const attempt_t *writing_attempt(const session_t *session);
static void choose_keeper(step_t *step, session_t *session);
static uint64_t hash_up_to(session_t *session, uint32_t position);
static void fill_place(const session_t *session, stream_place_t *place);
static bool keeper_is_live(const step_t *step, const session_t *session);
static void send_part(step_t *step, session_t *session, record_state_t state);

uint64_t
record_hash(const char *organisation, const char *key)
{
    return XXH3_64bits_withSeed(
        key, strlen(key), XXH3_64bits(organisation, strlen(organisation)));
}

/* The request is about to run and may not run again: its place is told. */
void
record_start(step_t *step, session_t *session)
{
    if (session->keyed && !session->idempotent) {
        choose_keeper(step, session);
        send_part(step, session, RECORD_RUNNING);
    }
}

/* The answer has grown. */
void
record_grown(step_t *step, session_t *session)
{
    const answer_t *answer = &session->answer;
    record_cut_t sent = answer_cut(answer, session->recorded_cuts);

    if (session->run[0] != '\0' || session->alone) {
        return; /* The request's record is another session's. */
    }
    if (answer->token_count - sent.position < RECORD_TOKENS &&
        (session->keeper[0] == '\0' ||
         session->recorded_attempt == session->writer)) {
        return;
    }
    if (!keeper_is_live(step, session)) {
        choose_keeper(step, session);
    }
    send_part(step, session, RECORD_RUNNING);
}

/* The session has ended; a keeper holds the answer for a repeat. */
void
record_ended(step_t *step, session_t *session, record_state_t state)
{
    if (session->keeper[0] != '\0') {
        send_part(step, session, state);
        session->keeper[0] = '\0';
    }
}

/* The keeper lost part of the record: it is sent again from its start. */
void
record_gap(step_t *step, const char *from, const record_gap_t *gap)
{
    session_t *session = session_find(step->node, gap->request.organisation,
                                      gap->request.key, "");

    if (session == NULL || gap->epoch != session->epoch ||
        strcmp(session->keeper, from) != 0) {
        return;
    }
    session->recorded_cuts = 0;
    session->settled_cuts = 0;
    send_part(step, session, RECORD_RUNNING);
}

/* The keeper has the record up to here: the caller need not carry it. */
void
record_held(step_t *step, const char *from, const record_gap_t *held)
{
    session_t *session = session_find(step->node, held->request.organisation,
                                      held->request.key, "");
    int64_t cut;

    if (session == NULL || held->epoch < session->epoch ||
        strcmp(session->keeper, from) != 0) {
        return;
    }
    session->epoch = held->epoch;
    session->kept = true;
    cut = answer_cut_at(&session->answer, held->held);
    if (cut > session->settled_cuts) {
        session->settled_cuts = (uint32_t)cut;
    }
}

/*
 * The tokens given that a keeper may not have yet; the caller's event id
 * carries them.  None where they are too many to carry.
 */
void
record_tail(session_t *session, give_order_t *give)
{
    const answer_t *answer = &session->answer;
    uint32_t from;

    from = answer_cut(answer, session->settled_cuts).position;
    if (give->position < from || give->position - from > TAIL_MAX) {
        from = give->position;
    }
    give->attempt = session->writer;
    give->hash = hash_up_to(session, give->position);
    fill_place(session, &give->place);
    give->tail_from = from;
    give->tail_ids.tail_ids_val = answer->token_ids + from;
    give->tail_ids.tail_ids_len = give->position - from;
}

/* Goes on from the last one; a caller that starts over starts it over. */
static uint64_t
hash_up_to(session_t *session, uint32_t position)
{
    if (position < session->hash_to) {
        session->hash_to = 0;
        session->hash = 0;
    }
    session->hash = answer_hash(&session->answer, session->hash_to, position,
                                session->hash);
    session->hash_to = position;
    return session->hash;
}

static void
fill_place(const session_t *session, stream_place_t *place)
{
    const attempt_t *attempt = writing_attempt(session);

    place->runner = (char *)"";
    place->stream_name = (char *)"";
    if (attempt == NULL || attempt->number != session->writer) {
        return;
    }
    place->runner = attempt->runner->name;
    place->stream_name = attempt->stream_name;
    place->endpoint = attempt->endpoint;
    place->first = attempt->first;
    place->prompt_tokens = session->prompt_count;
}

/* Everything about the session, for a host that takes it over. */
void
record_whole(step_t *step, const session_t *session, record_t *record)
{
    const answer_t *answer = &session->answer;
    const attempt_t *attempt = writing_attempt(session);

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
        record->stream_first = attempt->first;
    }
    record->attempt = session->writer;
    record->base = answer_cut(answer, answer->first_cut).position;
    record->prompt_ids.prompt_ids_val = session->prompt_ids;
    record->prompt_ids.prompt_ids_len = session->prompt_count;
    record->token_ids.token_ids_val = answer->token_ids;
    record->token_ids.token_ids_len = answer->token_count;
    record->text.text_val = answer->text;
    record->text.text_len = answer->text_bytes;
    record->cuts.cuts_val = answer->cuts;
    record->cuts.cuts_len = answer->cut_count;
    record->finish = answer->finish;
}

/* The attempt whose tokens the answer ends in, or the only one. */
static const attempt_t *
writing_attempt(const session_t *session)
{
    const attempt_t *found = NULL;

    for (size_t i = 0; i < SESSION_ATTEMPTS; i++) {
        const attempt_t *attempt = session->attempts[i];

        if (attempt != NULL &&
            (found == NULL || attempt->number == session->writer)) {
            found = attempt;
        }
    }
    return found;
}

/* Copies what belongs to a session that is about to go. */
void
record_copy(arena_t *arena, record_t *record)
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
    record->cuts.cuts_val =
        arena_memdup(arena, record->cuts.cuts_val,
                     record->cuts.cuts_len * sizeof(record_cut_t));
}

static bool
keeper_is_live(const step_t *step, const session_t *session)
{
    member_view_t view;

    return session->keeper[0] != '\0' &&
           member_find(step->node->member, step->now_us, session->keeper,
                       &view) &&
           view.state == MEMBER_LIVE;
}

/* A new keeper gets the record from its start. */
static void
choose_keeper(step_t *step, session_t *session)
{
    const char *hosts[1];
    size_t count =
        member_keepers(step->node->member, step->now_us,
                       record_hash(session->organisation, session->key),
                       step->node->start.zone, hosts, 1);

    session->recorded_cuts = 0;
    session->settled_cuts = 0;
    session->kept = false;
    session->keeper[0] = '\0';
    if (count > 0) {
        (void)snprintf(session->keeper, sizeof(session->keeper), "%s",
                       hosts[0]);
    }
}

/* The prompt's ids travel with the first part only. */
static void
send_part(step_t *step, session_t *session, record_state_t state)
{
    const answer_t *answer = &session->answer;
    record_cut_t sent = answer_cut(answer, session->recorded_cuts);
    tell_order_t *tell;
    record_t *record;

    if (session->keeper[0] == '\0') {
        return;
    }
    tell = &orders_add(step->orders, ORDER_TELL)->order_t_u.tell;
    tell->host = arena_strdup(&step->orders->arena, session->keeper);
    tell->message.kind = MESSAGE_RECORD;
    record = &tell->message.message_t_u.record;
    record_whole(step, session, record);
    if (state != RECORD_RUNNING) {
        record_copy(&step->orders->arena, record);
    }
    record->state = state;
    record->first = sent.position;
    record->token_ids.token_ids_val += sent.position;
    record->token_ids.token_ids_len -= sent.position;
    record->text.text_val += sent.text_bytes;
    record->text.text_len -= sent.text_bytes;
    record->cuts.cuts_val += session->recorded_cuts;
    record->cuts.cuts_len -= session->recorded_cuts;
    if (session->recorded_cuts > 0) {
        record->prompt_ids.prompt_ids_len = 0;
    }
    step->node->counters.records++;
    session->recorded_cuts = answer->cut_count;
    session->recorded_attempt = session->writer;
}
