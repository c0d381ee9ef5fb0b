/* send.c - starts and ends a request's attempts, and refuses requests. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include "base/revision.h"
#include "forward/private.h"

enum {
    /* A live runner accepts within a round trip and a handshake.  This allows
     * for several of them on a busy host. */
    CONNECT_TIMEOUT_MS = 250,
    /* A runner that crashed or is full is likely to be available by then. */
    RETRY_AFTER_RUNNER_MS = 500,
    /* No host can serve until the store is back, which takes seconds. */
    RETRY_AFTER_STORE_MS = 2000,
    /* Until the operators have written the routing table anew. */
    RETRY_AFTER_OPERATORS_MS = 5000,
    /* Another host can serve the request at once. */
    RETRY_AFTER_OTHER_HOST_MS = 50,
    STATUS_UNAUTHORIZED = 401,
    STATUS_NOT_FOUND = 404,
    STATUS_BAD_GATEWAY = 502,
    STATUS_UNAVAILABLE = 503,
    STATUS_GATEWAY_TIMEOUT = 504,
    DEADLINE_MIN_MS = 1,
};

static pool_runner_t *choose_runner(const forward_t *forward,
                                    const request_t *request);
static bool holds_copy(const request_t *request);
static bool is_available(const forward_t *forward,
                         const pool_runner_t *runner);
static void start_relay(forward_t *forward, request_t *request,
                        pool_runner_t *host);
static uint32_t remaining_ms(const forward_t *forward,
                             const request_t *request);
static void start_attempt(forward_t *forward, request_t *request,
                          pool_runner_t *runner, bool restore);
static uint32_t refusal_status(refuse_reason_t reason, bool not_run);
static uint32_t retry_after_ms(const forward_t *forward,
                               const request_t *request,
                               refuse_reason_t reason);

bool
send_request(forward_t *forward, request_t *request)
{
    pool_runner_t *runner = NULL;

    if (view_holds_request(forward, request)) {
        schedule_retry(forward, request);
        return true;
    }
    rollouts_assign(forward, request);
    if (relay_is_preferred(forward, request)) {
        start_relay(forward, request, relay_choose_host(forward, request));
        return true;
    }
    if (!relay_is_isolated(forward, request->service) ||
        (!request->relayed && request->relay_count == 0)) {
        runner = choose_runner(forward, request);
    }
    if (runner == NULL && !relay_is_possible(forward, request)) {
        return false;
    }
    if (runner == NULL) {
        start_relay(forward, request, relay_choose_host(forward, request));
    }
    else {
        start_attempt(forward, request, runner, false);
    }
    return true;
}

bool
has_untried_runner(const forward_t *forward, const request_t *request,
                   bool available)
{
    const pool_runner_t *runner;

    if (relay_is_preferred(forward, request)) {
        return true;
    }
    runner = choose_runner(forward, request);
    return runner != NULL && (!available || is_available(forward, runner));
}

const pool_runner_t *
next_runner(const forward_t *forward, const request_t *request)
{
    if (relay_is_preferred(forward, request)) {
        return NULL;
    }
    return holds_copy(request) ? request->attempt.standby
                               : choose_runner(forward, request);
}

static pool_runner_t *
choose_runner(const forward_t *forward, const request_t *request)
{
    bool stream = request->type == REQUEST_STREAM;
    uint64_t versions[VERSIONS_RECORDED_MAX];
    pool_runner_t *runner;
    bool preferred;
    pool_query_t query = {
        .kind = stream ? WORKLOAD_STREAM : WORKLOAD_PLAIN,
        .service = request->service,
        .zone = forward->zone,
        .version = request->version,
        .affinity = request->affinity,
        .cached_runner =
            stream ? session_runner(forward, request->affinity) : 0,
        .tried = request->tried,
        .tried_count = request->tried_count,
    };

    if (stream && request->resumable && request->version == 0) {
        query.versions = versions;
        query.version_count =
            version_record_list_usable(forward, request->service, versions);
    }
    /* With all of them unreachable, the next one is likely to be so, too. */
    if (request->tried_count == POOL_TRIED_MAX) {
        return NULL;
    }
    preferred = rollouts_restrict(forward, request, &query);
    runner = pool_choose_runner(forward->pool, forward->now_us, &query);
    if (runner == NULL && preferred) {
        rollouts_relax(forward, request, &query);
        runner = pool_choose_runner(forward->pool, forward->now_us, &query);
    }
    return runner;
}

/* Returns whether neither the runner nor its zone is in a cooldown. */
static bool
is_available(const forward_t *forward, const pool_runner_t *runner)
{
    return pool_runner_usable(runner, forward->now_us) &&
           forward->now_us >= runner->cooldown_until_us &&
           forward->now_us >= runner->silent_until_us &&
           !pool_zone_in_cooldown(runner->zone, forward->now_us);
}

bool
has_usable_copy(const forward_t *forward, const request_t *request)
{
    return !relay_is_preferred(forward, request) && holds_copy(request) &&
           is_available(forward, request->attempt.standby);
}

/* Returns whether a copy could be used if the runner that holds it serves. */
static bool
holds_copy(const request_t *request)
{
    const attempt_t *attempt = &request->attempt;

    return attempt->events > 0 && attempt->standby != NULL &&
           (attempt->copy_name != NULL || !attempt->copy_pending) &&
           attempt->standby->serial == attempt->standby_serial &&
           attempt->standby->version == request->version;
}

bool
resume_from_copy(forward_t *forward, request_t *request)
{
    pool_runner_t *copy_holder = request->copy_holder;

    if (copy_holder == NULL) {
        return false;
    }
    request->copy_holder = NULL;
    pool_remove_copy(copy_holder);
    if (relay_is_preferred(forward, request) ||
        !pool_runner_usable(copy_holder, forward->now_us) ||
        copy_holder->version != request->version ||
        copy_holder->serial != request->copy_serial ||
        !pool_runner_wrote_entry(copy_holder) ||
        forward->now_us < copy_holder->cooldown_until_us) {
        return false;
    }
    start_attempt(forward, request, copy_holder, true);
    return true;
}

static void
start_attempt(forward_t *forward, request_t *request, pool_runner_t *runner,
              bool restore)
{
    arena_t *arena = &forward->actions->arena;
    attempt_t *attempt = &request->attempt;
    send_action_t *send =
        &action_new(forward, FORWARD_ACTION_SEND, request->number)->u.send;

    *attempt = (attempt_t){
        .number = attempt->number + 1,
        .runner = runner,
        .runner_serial = runner->serial,
        .version = runner->version,
        .started_us = forward->now_us,
        .last_activity_us = forward->now_us,
    };
    identify_start(attempt, runner);
    request->retry_at_us = 0;
    request->runs++;
    count_delivery(forward, request);
    rollouts_count_send(forward, request);
    if (crashes_run_started(forward->crashes, forward->now_us,
                            request->suspect)) {
        forward->publish_due = true;
    }
    pool_request_started(runner, request->type == REQUEST_STREAM);
    if (request->type == REQUEST_STREAM) {
        record_session(forward, request->affinity, runner->id_hash);
        forward->publish_due = true;
    }
    request_add_tried(request, runner);
    if (request->replicated) {
        copies_set_standby(attempt, choose_standby(forward, request, runner));
    }
    if (attempt->standby != NULL) {
        send->backup_address =
            arena_strdup(arena, attempt->standby->registration.address);
    }
    send->attempt = attempt->number;
    send->runner = arena_strdup(arena, runner->registration.id);
    send->address = arena_strdup(arena, runner->registration.address);
    send->organisation = request->organisation != NULL
                             ? arena_strdup(arena, request->organisation)
                             : NULL;
    send->deadline_ms = remaining_ms(forward, request);
    send->connect_ms = CONNECT_TIMEOUT_MS;
    send->last_event_id = request->last_event_id;
    attempt->restored = restore;
    if (restore) {
        send->restore_address = arena_strdup(arena, request->copy_address);
        send->restore_name = arena_strdup(arena, request->copy_name);
    }
    emit_log(
        forward, LOG_INFO, "send",
        "request=%s attempt=%" PRIu32
        " runner=%s zone=%s version=%s started_ms=%" PRId64 " running=%" PRIu32
        " after=%" PRId64 " restore=%d backup=%s session=%016" PRIx64
        " deadline_ms=%" PRIu32 " routing=%" PRId64 " contact_age_ms=%" PRId64
        " era=%" PRId64 " revision=%" PRId64 " source=%s",
        request->id, attempt->number, send->runner, runner->registration.zone,
        runner->registration.version, runner->registration.started_ms,
        runner->running, request->last_event_id, restore,
        attempt->standby != NULL ? attempt->standby->registration.id : "none",
        request->affinity, send->deadline_ms, forward->routing->version,
        (forward->now_us - forward->contact_us) / US_PER_MS,
        revision_era(forward->view_revision),
        revision_number(forward->view_revision), forward->view_source);
}

/* The other host decides on runners, copies, and what crashes them. */
static void
start_relay(forward_t *forward, request_t *request, pool_runner_t *host)
{
    arena_t *arena = &forward->actions->arena;
    attempt_t *attempt = &request->attempt;
    send_action_t *send =
        &action_new(forward, FORWARD_ACTION_SEND, request->number)->u.send;

    *attempt = (attempt_t){
        .number = attempt->number + 1,
        .runner = host,
        .runner_serial = host->serial,
        .started_us = forward->now_us,
        .last_activity_us = forward->now_us,
        .relayed = true,
    };
    request->retry_at_us = 0;
    grant_attempts(forward, request, &send->grant);
    pool_request_started(host, request->type == REQUEST_STREAM);
    send->attempt = attempt->number;
    send->host = arena_strdup(arena, host->registration.id);
    send->address = arena_strdup(arena, host->registration.address);
    send->deadline_ms = remaining_ms(forward, request);
    send->connect_ms = CONNECT_TIMEOUT_MS;
    send->last_event_id = request->last_event_id;
    emit_log(forward, LOG_INFO, "relay",
             "request=%s attempt=%" PRIu32 " host=%s zone=%s running=%" PRIu32
             " granted=%" PRIu32 " runs=%" PRIu32 " after=%" PRId64
             " isolated=%d unsent=%" PRIu32 " deadline_ms=%" PRIu32,
             request->id, attempt->number, send->host, host->registration.zone,
             host->running, attempt->granted, request->runs - attempt->granted,
             request->last_event_id,
             relay_is_isolated(forward, request->service),
             request->unsent_count, send->deadline_ms);
}

/* Returns the time that the runner has left; 0: unlimited. */
static uint32_t
remaining_ms(const forward_t *forward, const request_t *request)
{
    int64_t left_ms = (request->deadline_us - forward->now_us) / US_PER_MS;

    if (request->deadline_us == INT64_MAX) {
        return 0;
    }
    return left_ms > DEADLINE_MIN_MS ? (uint32_t)left_ms : DEADLINE_MIN_MS;
}

pool_runner_t *
choose_standby(const forward_t *forward, const request_t *request,
               const pool_runner_t *runner)
{
    pool_query_t query = {
        .kind = WORKLOAD_COPY,
        .service = request->service,
        .excluded_zone = runner->zone,
        .version = request->attempt.version,
        .affinity = request->affinity + 1,
        .tried = &runner->serial,
        .tried_count = 1,
    };
    pool_runner_t *standby =
        pool_choose_runner(forward->pool, forward->now_us, &query);

    if (standby == NULL) {
        query.excluded_zone = NULL;
        standby = pool_choose_runner(forward->pool, forward->now_us, &query);
    }
    return standby;
}

void
attempt_end(forward_t *forward, request_t *request, bool cancel)
{
    attempt_t *attempt = &request->attempt;

    if (attempt->runner == NULL) {
        return;
    }
    copies_release(forward, request);
    if (cancel) {
        action_new(forward, FORWARD_ACTION_CANCEL, request->number)
            ->u.attempt = attempt->number;
    }
    if (request->type == REQUEST_STREAM) {
        pool_request_ended(attempt->runner, attempt->events == 0);
        forward->publish_due = true;
    }
    else {
        pool_request_ended(attempt->runner, false);
    }
    attempt->runner = NULL;
    copies_set_standby(attempt, NULL);
    identify_end(request);
}

/* A response that has started can only be broken off. */
void
refuse_request(forward_t *forward, request_t *request, refuse_reason_t reason)
{
    attempt_end(forward, request, true);
    if (request->response_started) {
        refuse_action_t *refusal =
            &action_new(forward, FORWARD_ACTION_ABORT, request->number)
                 ->u.refuse;

        refusal->reason = reason;
        emit_request_end(forward, request, "broken",
                         refuse_reason_name(reason), 0);
    }
    else {
        forward_action_t *action =
            action_new(forward, FORWARD_ACTION_REFUSE, request->number);
        refuse_action_t *refusal = &action->u.refuse;

        action->usage = grant_usage(forward, request);
        refusal->reason = reason;
        refusal->not_run = request->runs == 0;
        refusal->status = refusal_status(reason, refusal->not_run);
        refusal->retry_after_ms =
            refusal->status == STATUS_UNAVAILABLE
                ? retry_after_ms(forward, request, reason)
                : 0;
        emit_request_end(forward, request,
                         refusal->not_run ? "not-run" : "unknown",
                         refuse_reason_name(reason), refusal->status);
    }
    request_delete(forward, request);
}

/* 503 guarantees that the request has not run. */
static uint32_t
refusal_status(refuse_reason_t reason, bool not_run)
{
    switch (reason) {
    case REFUSE_NO_ROUTE:
        return STATUS_NOT_FOUND;
    case REFUSE_NO_KEY:
        return STATUS_UNAUTHORIZED;
    case REFUSE_TIMEOUT:
        return not_run ? STATUS_UNAVAILABLE : STATUS_GATEWAY_TIMEOUT;
    default:
        return not_run ? STATUS_UNAVAILABLE : STATUS_BAD_GATEWAY;
    }
}

static uint32_t
retry_after_ms(const forward_t *forward, const request_t *request,
               refuse_reason_t reason)
{
    switch (reason) {
    case REFUSE_HARMFUL:
        return suspicion_retry_after_ms(forward, request);
    case REFUSE_ROUTING_STALE:
        return peers_lack_store(forward) ? RETRY_AFTER_STORE_MS
                                         : RETRY_AFTER_OTHER_HOST_MS;
    case REFUSE_KEYS_UNREADABLE:
        return RETRY_AFTER_OPERATORS_MS;
    case REFUSE_NO_ROUTING:
    case REFUSE_HOST_FULL:
    case REFUSE_DRAINING:
    case REFUSE_NO_VERSION:
        return RETRY_AFTER_OTHER_HOST_MS;
    default:
        return RETRY_AFTER_RUNNER_MS;
    }
}
