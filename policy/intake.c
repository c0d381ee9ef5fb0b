/* intake.c - handles arriving requests and disconnecting callers. */
#include <string.h>

#include "policy/private.h"

enum {
    STARTING_RETRY_AFTER_MS = 500,
    LEAVING_RETRY_AFTER_MS = 100,
    BUSY_RETRY_AFTER_MS = 1000
};

static const char *find_organisation(const node_t *node,
                                     const request_event_t *request);
static void attach_retry(step_t *step, session_t *session,
                         const request_event_t *request);
static bool is_of_another_run(const session_t *session,
                              const request_event_t *request);
static void accept_request(step_t *step, const request_event_t *request,
                           const char *organisation, const char *run,
                           const contract_t *contract,
                           const request_kind_t *kind);
static void set_request_properties(session_t *session,
                                   const contract_t *contract,
                                   const request_kind_t *kind);
static void relay_request(step_t *step, const request_event_t *request);
static void refuse_request(step_t *step, const request_event_t *request,
                           refusal_t refusal, uint32_t retry_after_ms,
                           const char *message);

void
intake_request(step_t *step, const request_event_t *request)
{
    node_t *node = step->node;
    const char *organisation = find_organisation(node, request);
    const contract_t *contract;
    const request_kind_t *kind;
    const char *run = "";
    session_t *session;

    node->counters.requests++;
    if (!node->ready) {
        refuse_request(step, request, REFUSAL_STARTING,
                       STARTING_RETRY_AFTER_MS,
                       "this host has not read the documents yet: ask "
                       "another host, or send the request again after the "
                       "stated time");
        return;
    }
    if (organisation == NULL) {
        refuse_request(step, request, REFUSAL_UNAUTHORISED, 0,
                       "no organisation has this key: send a valid key as "
                       "Authorization: Bearer KEY");
        return;
    }
    session = session_find(node, organisation, request->key, "");
    if (session != NULL && is_of_another_run(session, request)) {
        run = request->location.stream_name;
        session = session_find(node, organisation, request->key, run);
    }
    if (session != NULL) {
        attach_retry(step, session, request);
        return;
    }
    if (node->draining) {
        relay_request(step, request);
        return;
    }
    contract =
        config_find_contract(&node->config, organisation, request->model,
                             request->endpoint == ENDPOINT_SERVICE);
    if (contract == NULL) {
        refuse_request(step, request, REFUSAL_UNKNOWN_MODEL, 0,
                       "no service offers this model to the organisation: "
                       "ask GET /v1/models for those that are");
        return;
    }
    kind = contract_find_kind(contract, request->request_kind);
    if (kind == NULL) {
        refuse_request(step, request, REFUSAL_UNKNOWN_KIND, 0,
                       "the service's document has no such kind of request: "
                       "correct X-Request-Kind or leave it out");
        return;
    }
    accept_request(step, request, organisation, run, contract, kind);
}

/*
 * Cancels an idempotent request without an Idempotency-Key from its caller
 * at once, since it cannot be retried.  Other sessions keep running without a
 * caller.
 */
void
intake_caller_disconnected(step_t *step, uint64_t caller)
{
    session_t *session;

    HASH_FIND(hh_caller, step->node->by_caller, &caller, sizeof(caller),
              session);
    if (session == NULL) {
        return;
    }
    caller_detach(step, session);
    actions_append_log(
        step->actions, LOG_INFO,
        "caller disconnected request=%s organisation=%s position=%u",
        session->key, session->organisation, session->answer.token_count);
    if (!session->has_key && session->idempotent) {
        session_refuse(step, session, REFUSAL_SUPERSEDED, RUN_UNKNOWN, 0,
                       "the caller disconnected");
        return;
    }
    session_set_timer(step, session);
}

static const char *
find_organisation(const node_t *node, const request_event_t *request)
{
    const char *name = NULL;

    if (node_role(node, request->credential, &name) != ROLE_ORGANISATION) {
        return NULL;
    }
    return name;
}

/* A draining host accepts no new requests, and relays them to another host. */
static void
relay_request(step_t *step, const request_event_t *request)
{
    relay_action_t *relay;
    size_t count = 0;
    const member_view_t *hosts = member_caller_addresses(
        step->node->membership, step->now_us, request->caller,
        &step->actions->arena, &count);

    if (count == 0) {
        refuse_request(step, request, REFUSAL_LEAVING, LEAVING_RETRY_AFTER_MS,
                       "this host is leaving: ask GET /v1/hosts for another");
        return;
    }
    relay = &actions_append(step->actions, ACTION_RELAY)->action_t_u.relay;
    relay->caller = request->caller;
    relay->host = arena_strdup(&step->actions->arena, hosts[0].host);
    relay->address = arena_strdup(&step->actions->arena, hosts[0].address);
    actions_append(step->actions, ACTION_FREE_BODY)
        ->action_t_u.free_body.body = request->caller;
}

static void
attach_retry(step_t *step, session_t *session, const request_event_t *request)
{
    if (session->fingerprint != request->fingerprint) {
        refuse_request(step, request, REFUSAL_INVALID, 0,
                       "another request has this Idempotency-Key: use a key "
                       "once for one content");
        return;
    }
    caller_attach(step, session, request->caller, request->position,
                  request->hash);
    actions_append(step->actions, ACTION_FREE_BODY)
        ->action_t_u.free_body.body = request->caller;
}

/*
 * Returns whether the caller has received part of the answer from another
 * run of the request: two hosts may have started it at the same time.  The
 * engine may still have the stream of that run.  The same holds if the answer
 * here lacks the text after the caller's position, or waits for another one.
 */
static bool
is_of_another_run(const session_t *session, const request_event_t *request)
{
    const answer_t *answer = &session->answer;

    if (request->position == 0 || !session->idempotent ||
        request->location.stream_name[0] == '\0') {
        return false;
    }
    if (session->resume_position > 0) {
        return strcmp(session->resume_location.stream_name,
                      request->location.stream_name) != 0 ||
               session->resume_position != request->position;
    }
    return request->position > answer->token_count ||
           answer_boundary_at(answer, request->position) <
               answer->first_boundary ||
           answer_hash(answer, 0, request->position, 0) != request->hash;
}

static void
accept_request(step_t *step, const request_event_t *request,
               const char *organisation, const char *run,
               const contract_t *contract, const request_kind_t *kind)
{
    node_t *node = step->node;
    session_t *session;

    if (node->active_sessions >= node->start.sessions_max) {
        refuse_request(step, request, REFUSAL_OVERLOADED, BUSY_RETRY_AFTER_MS,
                       "this host has all the sessions it may have: send the "
                       "request again after the stated time");
        return;
    }
    session = session_new(step, request, organisation, run);
    set_request_properties(session, contract, kind);
    caller_attach(step, session, request->caller, 0, 0);
    session->resume_position = request->position;
    if (run[0] != '\0') {
        takeover_search_run(step, session);
        return;
    }
    if (request->has_key || request->has_event_id) {
        takeover_send_lookups(step, session);
        return;
    }
    intake_start_session(step, session);
}

/* Starts a request that, as far as is known, has not run before. */
void
intake_start_session(step_t *step, session_t *session)
{
    node_t *node = step->node;
    runner_query_t query;

    if (suspecting_refuse_blocked(step, session)) {
        return;
    }
    query = session_runner_query(session, node->start.zone);
    if (!runners_any_matches(&node->runners, &query)) {
        session_refuse(step, session, REFUSAL_NO_RUNNER, RUN_NOT_RUN,
                       BUSY_RETRY_AFTER_MS,
                       "no backend server has this model loaded: send the "
                       "request again after the stated time");
        return;
    }
    if (!session->idempotent && session->has_key) {
        claiming_request_claim(step, session);
        return;
    }
    queue_add_session(step, session);
    queue_start_sessions(step);
}

/*
 * Copies what the service's document says at arrival, which stays in effect
 * for the whole session.
 */
static void
set_request_properties(session_t *session, const contract_t *contract,
                       const request_kind_t *kind)
{
    const served_organisation_t *served =
        contract_find_organisation(contract, session->organisation);
    const char *engine_model = session->model;

    if (!session->service) {
        const model_t *model = contract_find_model(contract, session->model);

        engine_model =
            model->adapter[0] != '\0' ? model->adapter : model->version;
        session->runner_model = arena_strdup(&session->arena, model->version);
    }
    else {
        session->runner_model = session->model;
    }
    session->engine_model = arena_strdup(&session->arena, engine_model);
    session->service_name = arena_strdup(&session->arena, contract->service);
    session->idempotent = kind->idempotent;
    session->urgency = kind->urgency;
    session->weight = served->weight;
    session->weighs_extra_work =
        contract->recovery_goal == RECOVERY_MINIMISE_WORK;
}

static void
refuse_request(step_t *step, const request_event_t *request, refusal_t refusal,
               uint32_t retry_after_ms, const char *message)
{
    caller_refuse(step, request->caller, refusal, RUN_NOT_RUN, retry_after_ms,
                  message);
    actions_append(step->actions, ACTION_FREE_BODY)
        ->action_t_u.free_body.body = request->caller;
}
