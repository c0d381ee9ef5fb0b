/*
 * takeover.c - a request whose session another host has, or had.
 *
 * The owner of a session chose its keeper among the hosts outside its own
 * zone.  Whoever does not know the owner asks the first host by the same
 * hash, and the first outside that one's zone: one of the two is the keeper
 * wherever the owner was.  A living owner gives its session up when asked.
 */
#include <string.h>

#include "policy/private.h"

enum { LOOKUP_HOSTS = 2, LOOKUP_WAIT_MS = 250 };

static bool may_hand_over(const session_t *session);
static size_t hosts_to_ask(const step_t *step, const session_t *session,
                           const char **hosts);
static void ask_host(step_t *step, const session_t *session, const char *host);
static void ask_own_keep(step_t *step, session_t *session);
static void give_up_session(step_t *step, session_t *session);
static bool restore(step_t *step, session_t *session, const record_t *record);
static void forget_record(step_t *step, session_t *session);
static bool restore_tail(session_t *session);
static void go_on(step_t *step, session_t *session, const record_t *record);
static void adopt(step_t *step, session_t *session,
                  const stream_place_t *place, runner_state_t *runner,
                  bool recover);

/*
 * Asks for the session of a request that may have come before.  What is to
 * happen follows from the answers, or from their lack.
 */
void
takeover_ask(step_t *step, session_t *session)
{
    const char *hosts[LOOKUP_HOSTS];
    size_t count = hosts_to_ask(step, session, hosts);

    session->ask = ++step->node->next_ask;
    session->ask_left = (uint32_t)count;
    session_enter(step, session, SESSION_LOOKUP);
    for (size_t i = 0; i < count; i++) {
        ask_host(step, session, hosts[i]);
    }
    ask_own_keep(step, session);
}

/*
 * Nobody knows the request, or nobody answered in time.  The engine that
 * the caller's event id names may have all of it; else the tail must be
 * all that there was.
 */
void
takeover_none(step_t *step, session_t *session)
{
    runner_state_t *runner =
        runners_find(&step->node->runners, session->place.runner);

    session->ask = 0;
    if (session->from == 0) {
        intake_start(step, session);
        return;
    }
    step->node->counters.taken_over++;
    session->may_have_run = 1;
    if (runner != NULL) {
        session->attempt_count = session->from_attempt;
        adopt(step, session, &session->place, runner, true);
        return;
    }
    resume_elsewhere(step, session, NULL);
}

/*
 * Joins what the caller handed back to what is known of the answer, so
 * that it reaches the position where the caller is.
 */
bool
takeover_bridge(session_t *session)
{
    if (session->from <= session->answer.token_count) {
        return true;
    }
    if (!restore_tail(session) || !caller_agrees(session)) {
        return false;
    }
    session->given = session->answer.cut_count;
    session->from = 0;
    return true;
}

/*
 * The first piece of a stream that is taken up from its start: its prompt
 * is the request's own and what came before it of the answer.
 */
bool
takeover_recover(session_t *session, attempt_t *attempt,
                 const piece_event_t *piece)
{
    const uint32_t *ids = piece->prompt_ids.prompt_ids_val;
    uint32_t own = session->place.prompt_tokens;

    attempt->recover = false;
    if (piece->prompt_ids.prompt_ids_len != own + attempt->first) {
        return false;
    }
    session_keep_prompt(session, ids, own);
    if (attempt->first > 0) {
        answer_restore_tail(&session->answer, ids + own, attempt->first);
    }
    return true;
}

/* The caller holds part of an answer that nobody can go on with. */
void
takeover_lost(step_t *step, session_t *session)
{
    session_refuse(step, session, REFUSAL_BACKEND_LOST, RUN_UNKNOWN, 0,
                   "the rest of this answer is lost: send the request again "
                   "without Last-Event-ID to start anew");
}

int64_t
takeover_due_us(const session_t *session)
{
    return session->state_us + (int64_t)LOOKUP_WAIT_MS * US_PER_MS;
}

/* Another host asks: it gets the session, or what is kept of it. */
void
takeover_lookup(step_t *step, const char *from, const lookup_t *lookup)
{
    node_t *node = step->node;
    session_t *session = session_find(node, lookup->request.organisation,
                                      lookup->request.key, "");
    found_t *found;
    tell_order_t *tell;

    if (session == NULL || !may_hand_over(session)) {
        keep_lookup(node->keep, step->now_us, from, lookup, step->orders);
        return;
    }
    tell = &orders_add(step->orders, ORDER_TELL)->order_t_u.tell;
    tell->host = arena_strdup(&step->orders->arena, from);
    tell->message.kind = MESSAGE_FOUND;
    found = &tell->message.message_t_u.found;
    found->ask = lookup->ask;
    found->found = true;
    record_whole(step, session, &found->record);
    record_copy(&step->orders->arena, &found->record);
    found->record.epoch++;
    if (session->state == SESSION_RUNNING) {
        give_up_session(step, session);
    }
}

void
takeover_found(step_t *step, const found_t *found)
{
    session_t *session;

    for (session = step->node->sessions; session != NULL;
         session = session->hh.next) {
        if (session->ask == found->ask && session->state == SESSION_LOOKUP) {
            break;
        }
    }
    if (session == NULL) {
        return;
    }
    if (!found->found) {
        if (--session->ask_left == 0) {
            takeover_none(step, session);
        }
        return;
    }
    session->ask = 0;
    step->node->counters.taken_over++;
    orders_log(step->orders, LOG_NOTICE,
               "take over request=%s organisation=%s from=%s tokens=%u",
               session->key, session->organisation, found->record.owner,
               found->record.token_ids.token_ids_len);
    if (restore(step, session, &found->record)) {
        go_on(step, session, &found->record);
    }
}

/* A newer attempt at another host has the request. */
void
takeover_superseded(step_t *step, const superseded_t *superseded)
{
    session_t *session =
        session_find(step->node, superseded->request.organisation,
                     superseded->request.key, "");

    if (session != NULL && superseded->epoch > session->epoch &&
        session->state == SESSION_RUNNING) {
        give_up_session(step, session);
    }
}

/*
 * A session that a keeper has goes by the keeper's word alone: two hosts
 * that ask each other at the same time would both give it up.
 */
static bool
may_hand_over(const session_t *session)
{
    return session->state == SESSION_FINISHED ||
           (session->state == SESSION_RUNNING && !session->kept);
}

static size_t
hosts_to_ask(const step_t *step, const session_t *session, const char **hosts)
{
    const member_t *member = step->node->member;
    uint64_t hash = record_hash(session->organisation, session->key);
    member_view_t first;

    if (member_keepers(member, step->now_us, hash, "", hosts, 1) == 0 ||
        !member_find(member, step->now_us, hosts[0], &first)) {
        return 0;
    }
    if (member_keepers(member, step->now_us, hash, first.zone, &hosts[1], 1) ==
            0 ||
        strcmp(hosts[0], hosts[1]) == 0) {
        return 1;
    }
    return LOOKUP_HOSTS;
}

static void
ask_host(step_t *step, const session_t *session, const char *host)
{
    tell_order_t *tell = &orders_add(step->orders, ORDER_TELL)->order_t_u.tell;
    lookup_t *lookup = &tell->message.message_t_u.lookup;

    tell->host = arena_strdup(&step->orders->arena, host);
    tell->message.kind = MESSAGE_LOOKUP;
    lookup->ask = session->ask;
    /* The session may be over, and freed, before the order is obeyed. */
    lookup->request.organisation =
        arena_strdup(&step->orders->arena, session->organisation);
    lookup->request.key = arena_strdup(&step->orders->arena, session->key);
}

/* What this host keeps itself is found without a message. */
static void
ask_own_keep(step_t *step, session_t *session)
{
    node_t *node = step->node;
    request_name_t name = {session->organisation, session->key};
    lookup_t lookup = {session->ask, name};

    if (keep_find(node->keep, &name) == NULL) {
        if (session->ask_left == 0) {
            takeover_none(step, session);
        }
        return;
    }
    orders_reset(&node->scratch);
    keep_lookup(node->keep, step->now_us, node->start.host, &lookup,
                &node->scratch);
    for (size_t i = 0; i < node->scratch.count; i++) {
        const order_t *order = &node->scratch.items[i];

        if (order->kind == ORDER_TELL &&
            strcmp(order->order_t_u.tell.host, node->start.host) == 0) {
            takeover_found(step,
                           &order->order_t_u.tell.message.message_t_u.found);
            continue;
        }
        *orders_add(step->orders, order->kind) = *order;
    }
}

/*
 * The session goes on elsewhere; its stream at the engine is not ended.
 * Where its caller is still connected here, that one is given the rest all
 * the same: two callers may have sent the request, and the host that took
 * it over may have been asked by one who has left.
 */
static void
give_up_session(step_t *step, session_t *session)
{
    orders_log(step->orders, LOG_NOTICE,
               "superseded request=%s organisation=%s position=%u",
               session->key, session->organisation,
               session->answer.token_count);
    session->keeper[0] = '\0';
    session->alone = true;
    if (session->caller != 0) {
        return;
    }
    for (size_t i = 0; i < SESSION_ATTEMPTS; i++) {
        if (session->attempts[i] != NULL) {
            attempt_cancel(step, session->attempts[i]);
        }
    }
    session_forget_body(step, session);
    session_free(step, session);
}

/* Puts back the answer; false: it has gone another way. */
static bool
restore(step_t *step, session_t *session, const record_t *record)
{
    answer_t *answer = &session->answer;
    answer_copy_t copy = {
        .token_ids = record->token_ids.token_ids_val,
        .token_count = record->token_ids.token_ids_len,
        .text = record->text.text_val,
        .text_bytes = record->text.text_len,
        .cuts = record->cuts.cuts_val,
        .cut_count = record->cuts.cuts_len,
    };
    int64_t cut;

    if (record->fingerprint != session->fingerprint) {
        session_refuse(step, session, REFUSAL_INVALID, RUN_NOT_RUN, 0,
                       "another request has this Idempotency-Key: use a key "
                       "once for one content");
        return false;
    }
    session->epoch = record->epoch;
    session->attempt_count = record->attempt;
    session->writer = record->attempt;
    session->may_have_run = 1;
    session_keep_prompt(session, record->prompt_ids.prompt_ids_val,
                        record->prompt_ids.prompt_ids_len);
    answer_restore(answer, &copy);
    if (record->base > 0) {
        answer->first_cut = (uint32_t)answer_cut_at(answer, record->base);
    }
    if (session->from > answer->token_count) {
        (void)restore_tail(session);
    }
    cut = answer_cut_at(answer, session->from);
    if (cut < answer->first_cut || !caller_agrees(session)) {
        forget_record(step, session);
        return false;
    }
    session->given = (uint32_t)cut;
    session->from = 0;
    return true;
}

/*
 * The record is of another run of the request than the one that the caller
 * holds part of: nothing of it may be mixed into that one's answer.
 */
static void
forget_record(step_t *step, session_t *session)
{
    const char *stop = session->answer.stop;
    uint32_t stop_bytes = session->answer.stop_bytes;

    answer_free(&session->answer);
    answer_init(&session->answer, stop, stop_bytes);
    orders_log(step->orders, LOG_NOTICE,
               "record of another run request=%s organisation=%s position=%u",
               session->key, session->organisation, session->from);
    takeover_none(step, session);
}

/* Adds what the caller handed back, if it joins what is known. */
static bool
restore_tail(session_t *session)
{
    uint32_t known = session->answer.token_count;
    uint32_t skip;

    if (session->tail_from > known ||
        session->tail_from + session->tail_count != session->from) {
        return false;
    }
    skip = known - session->tail_from;
    answer_restore_tail(&session->answer, session->tail_ids + skip,
                        session->tail_count - skip);
    return true;
}

static void
go_on(step_t *step, session_t *session, const record_t *record)
{
    runner_state_t *runner =
        runners_find(&step->node->runners, record->runner);
    bool same_stream =
        session->from_attempt == 0 ||
        strcmp(session->place.stream_name, record->stream_name) == 0;

    if (session->service || record->state == RECORD_FAILED ||
        record->state == RECORD_FORGOTTEN) {
        session_refuse(step, session, REFUSAL_ALREADY_RAN, RUN_UNKNOWN, 0,
                       "the request was sent before and may have run: look "
                       "for its effect before sending it under another key");
        return;
    }
    if (record->state == RECORD_FINISHED) {
        answer_end(&session->answer, (finish_t)record->finish);
        session_finish(step, session);
        return;
    }
    if (runner != NULL && record->stream_name[0] != '\0' && same_stream) {
        stream_place_t place = {
            .stream_name = record->stream_name,
            .endpoint = record->stream_endpoint,
            .first = record->stream_first,
        };

        session->attempt_count--;
        adopt(step, session, &place, runner, false);
        return;
    }
    resume_elsewhere(step, session, NULL);
}

/* Takes up the stream that the former owner had at the engine. */
static void
adopt(step_t *step, session_t *session, const stream_place_t *place,
      runner_state_t *runner, bool recover)
{
    attempt_t *attempt = attempt_new(step, session, runner);

    attempt->stream_name = arena_strdup(&session->arena, place->stream_name);
    attempt->endpoint = (endpoint_t)place->endpoint;
    attempt->first = place->first;
    attempt->recover = recover;
    answer_admit(&session->answer, attempt->number, false);
    attempt_reattach(step, attempt);
    session_enter(step, session, SESSION_RUNNING);
    caller_give(step, session);
}
