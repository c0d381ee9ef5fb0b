/* recover.c - handles runners' responses and recovers from failed attempts. */
#include <inttypes.h>
#include <stdlib.h>
#include <syslog.h>

#include "forward/private.h"

enum {
    STATUS_OK = 200,
    STATUS_MULTIPLE_CHOICES = 300,
    STATUS_SERVER_ERROR = 500,
    STATUS_REQUEST_TIMEOUT = 408,
    STATUS_MISDIRECTED = 421,
    STATUS_TOO_MANY = 429,
    STATUS_UNAVAILABLE = 503,
    /* A safe request with less time left than this is not sent again. */
    RETRY_TIME_LEFT_MIN_MS = 20,
    /* Interval between searches for a runner for a waiting request. */
    RUNNER_POLL_MS = 100,
    /* Callers close a stream after a gap of two seconds or more. */
    RUNNER_WAIT_MAX_MS = 1900,
    /* The same if the runner before was only silent: it may go on. */
    MOVED_WAIT_MAX_MS = 4000,
};

static void record_crash(forward_t *forward, const request_t *request,
                         send_result_t result);
static void retain_copy(request_t *request);
static request_t *find_active_request(forward_t *forward, uint64_t number,
                                      uint32_t attempt);
static void emit_response(forward_t *forward, const request_t *request,
                          forward_action_kind_t kind);
static void handle_response(forward_t *forward, request_t *request);
static void handle_rejection(forward_t *forward, request_t *request);
static void resume_stream(forward_t *forward, request_t *request);
static void handle_host_refusal(forward_t *forward, request_t *request);
static bool may_go_on(const request_t *request);
static bool other_host_may_serve(refuse_reason_t refusal);
static bool find_stream_version(forward_t *forward, request_t *request);
static void wait_or_refuse(forward_t *forward, request_t *request,
                           refuse_reason_t reason);
static void retry_or_refuse(forward_t *forward, request_t *request,
                            refuse_reason_t reason);

void
handle_response_head(forward_t *forward, const forward_response_head_t *head)
{
    request_t *request =
        find_active_request(forward, head->number, head->attempt);
    attempt_t *attempt;

    if (request == NULL) {
        return;
    }
    attempt = &request->attempt;
    attempt->status = head->status;
    attempt->authentic = head->authentic;
    attempt->not_run = head->not_run;
    attempt->last_activity_us = forward->now_us;
    attempt->held_until_us = 0;
    attempt->probed = PROBE_ANSWERED;
    attempt->response_us = forward->now_us;
    attempt->refused_by_host = head->refused_by_host;
    attempt->refusal = head->refusal;
    if (attempt->relayed) {
        grant_record_usage(forward, request, &head->usage);
    }
    else {
        relay_record_connection(forward, attempt->runner, attempt->started_us);
        if (head->leaving &&
            attempt->runner->serial == attempt->runner_serial) {
            registry_record_leaving(forward, attempt->runner);
        }
    }
    if (request->type == REQUEST_STREAM && head->status == STATUS_OK &&
        head->authentic &&
        (head->event_stream || !request->response_started) &&
        identify_at_head(forward, request, head)) {
        recover_pass_on(forward, request);
    }
}

void
recover_pass_on(forward_t *forward, request_t *request)
{
    request->attempt.relaying = true;
    request->attempt.withheld = false;
    request->response_started = true;
    emit_response(forward, request, FORWARD_ACTION_RELAY_HEAD);
}

void
handle_send_end(forward_t *forward, const forward_send_end_t *end)
{
    request_t *request =
        find_active_request(forward, end->number, end->attempt);

    if (request == NULL) {
        return;
    }
    if (end->result != SEND_COMPLETE) {
        handle_failed_attempt(forward, request, end->result);
        return;
    }
    if (request->attempt.withheld) {
        return; /* told again once the response is passed on */
    }
    if (request->attempt.relayed) {
        grant_settle(request, GRANT_USED);
    }
    if (request->attempt.refused_by_host) {
        handle_host_refusal(forward, request);
        return;
    }
    if (request->attempt.not_run) {
        handle_rejection(forward, request);
        return;
    }
    handle_response(forward, request);
}

void
handle_failed_attempt(forward_t *forward, request_t *request,
                      send_result_t result)
{
    attempt_t *attempt = &request->attempt;
    bool not_sent = result == SEND_NOT_SENT;
    bool silent = result == SEND_UNRESPONSIVE || result == SEND_STALLED;

    emit_log(forward, LOG_INFO, "lost",
             "request=%s attempt=%" PRIu32
             " runner=%s cause=%s status=%" PRIu32 " events=%" PRIu32
             " ran_ms=%" PRId64 " idle_ms=%" PRId64 " fingerprint=%016" PRIx64
             " parts=%s",
             request->id, attempt->number, attempt->runner->registration.id,
             send_result_name(result), attempt->status, attempt->events,
             (forward->now_us - attempt->started_us) / US_PER_MS,
             (forward->now_us - attempt->last_activity_us) / US_PER_MS,
             request->fingerprint, suspicion_part_names(forward, request));
    if (not_sent && !attempt->relayed) {
        request->unsent_count++;
    }
    if (pool_record_loss(attempt->runner, forward->now_us, silent) &&
        !attempt->relayed) {
        emit_log(forward, LOG_NOTICE, "zone-cooldown", "zone=%s",
                 attempt->runner->registration.zone);
    }
    record_crash(forward, request, result);
    if (!attempt->relayed &&
        (not_sent || (result == SEND_BROKEN && attempt->status == 0))) {
        relay_record_loss(forward, attempt->runner);
    }
    if (attempt->relayed) {
        grant_settle(request, not_sent ? GRANT_UNUSED : GRANT_LOST);
    }
    else if (not_sent) {
        request->runs--;
        uncount_delivery(forward, request);
        request_mark_not_received(request, attempt->runner_serial);
        crashes_run_not_sent(forward->crashes, forward->now_us,
                             request->suspect);
    }
    if (attempt->events > 0 && attempt->standby != NULL) {
        retain_copy(request);
    }
    attempt_end(forward, request, true);
    if (request->type == REQUEST_STREAM && request->resumable) {
        resume_stream(forward, request);
        return;
    }
    if (!not_sent && !may_run_again(request)) {
        refuse_request(forward, request,
                       result == SEND_INVALID ? REFUSE_INVALID_RESPONSE
                                              : REFUSE_RUNNER_LOST);
        return;
    }
    retry_or_refuse(forward, request, REFUSE_RUNNER_LOST);
}

void
recover_other_start(forward_t *forward, request_t *request)
{
    const attempt_t *attempt = &request->attempt;

    emit_log(forward, LOG_NOTICE, "other-start",
             "request=%s attempt=%" PRIu32 " runner=%s started_ms=%" PRId64
             " reported_ms=%" PRId64 " asked=%" PRIu32,
             request->id, attempt->number, attempt->runner->registration.id,
             attempt->identity.started_ms, attempt->identity.reported_ms,
             attempt->identity.asked);
    attempt_end(forward, request, true);
    resume_stream(forward, request);
}

/* A crash without a reset is only seen as silence, possibly by the time that
 * the runner has restarted and answers probes again. */
static void
record_crash(forward_t *forward, const request_t *request,
             send_result_t result)
{
    const attempt_t *attempt = &request->attempt;

    /* If no other host reaches runners, these have failed and not a path. */
    if (attempt->relayed || relay_is_preferred(forward, request)) {
        return;
    }
    switch (result) {
    case SEND_BROKEN:
        suspicion_runner_lost(forward, request);
        return;
    case SEND_UNRESPONSIVE:
    case SEND_STALLED:
    case SEND_DROPPED:
        if (attempt->runner->serial != attempt->runner_serial) {
            suspicion_runner_lost(forward, request);
        }
        else if (result == SEND_UNRESPONSIVE) {
            suspicion_runner_silent(forward, request);
        }
        return;
    default:
        return;
    }
}

/*
 * Keeps the standby's copy for the next attempt.  A copy that was updated as
 * the stream ran is identified by the standby and the request id, one that
 * was made on request by the runner that made it and the name it returned.
 */
static void
retain_copy(request_t *request)
{
    attempt_t *attempt = &request->attempt;
    const pool_runner_t *naming_runner =
        attempt->copy_name != NULL ? attempt->runner : attempt->standby;

    if (attempt->copy_pending && attempt->copy_name == NULL) {
        return;
    }
    if (request->copy_holder != NULL) {
        pool_remove_copy(request->copy_holder);
    }
    request->copy_holder = attempt->standby;
    request->copy_serial = attempt->standby_serial;
    pool_add_copy(request->copy_holder);
    request->copy_address =
        arena_strdup(&request->arena, naming_runner->registration.address);
    request->copy_name =
        attempt->copy_name != NULL ? attempt->copy_name : request->id;
    attempt->copy_name = NULL;
}

void
retry_waiting_request(forward_t *forward, request_t *request)
{
    request->retry_at_us = 0;
    if (request->response_started || request->moved) {
        request->tried_count = 0;
    }
    resume_stream(forward, request);
}

static request_t *
find_active_request(forward_t *forward, uint64_t number, uint32_t attempt)
{
    request_t *request;

    HASH_FIND(hh, forward->requests, &number, sizeof(number), request);
    if (request == NULL || request->attempt.runner == NULL ||
        request->attempt.number != attempt) {
        return NULL;
    }
    return request;
}

/* Passes on the response of the latest attempt, or its head. */
static void
emit_response(forward_t *forward, const request_t *request,
              forward_action_kind_t kind)
{
    forward_action_t *action = action_new(forward, kind, request->number);

    action->u.attempt = request->attempt.number;
    action->usage = grant_usage(forward, request);
}

/* Returns whether callers take the status for a promise that the request has
 * not run.  Only a runner that says so in a header can give it. */
static bool
promises_not_run(uint32_t status)
{
    return status == STATUS_REQUEST_TIMEOUT || status == STATUS_MISDIRECTED ||
           status == STATUS_TOO_MANY || status == STATUS_UNAVAILABLE;
}

/* Handles a complete response of a runner that has run the request. */
static void
handle_response(forward_t *forward, request_t *request)
{
    attempt_t *attempt = &request->attempt;
    bool failed = attempt->status >= STATUS_SERVER_ERROR;
    bool success = attempt->status >= STATUS_OK &&
                   attempt->status < STATUS_MULTIPLE_CHOICES;

    if (!attempt->authentic && (success || request->response_started ||
                                promises_not_run(attempt->status))) {
        handle_failed_attempt(forward, request, SEND_INVALID);
        return;
    }
    pool_record_response(attempt->runner, failed);
    rollouts_count_response(forward, request, failed);
    if (attempt->authentic && !failed && !attempt->relayed) {
        suspicion_run_completed(forward, request);
    }
    if (attempt->relaying) {
        action_new(forward, FORWARD_ACTION_FINISH, request->number);
        versions_end_stream(forward, request);
        emit_request_end(forward, request, "served", "whole", attempt->status);
        attempt_end(forward, request, false);
        request_delete(forward, request);
        return;
    }
    if (request->response_started) {
        attempt_end(forward, request, false);
        resume_stream(forward, request);
        return;
    }
    if (failed &&
        (may_run_again(request) || rollouts_may_retry(forward, request)) &&
        forward->now_us + (int64_t)RETRY_TIME_LEFT_MIN_MS * US_PER_MS <
            request->deadline_us &&
        retry_allowed(forward, request)) {
        uint32_t status = attempt->status;

        attempt_end(forward, request, false);
        if (send_request(forward, request)) {
            return;
        }
        emit_response(forward, request, FORWARD_ACTION_RELAY_RESPONSE);
        emit_request_end(forward, request, "served", "runner-error", status);
        request_delete(forward, request);
        return;
    }
    emit_response(forward, request, FORWARD_ACTION_RELAY_RESPONSE);
    emit_request_end(forward, request, "served",
                     failed ? "runner-error" : "whole", attempt->status);
    attempt_end(forward, request, false);
    request_delete(forward, request);
}

/* Handles a response that states that the request has not run. */
static void
handle_rejection(forward_t *forward, request_t *request)
{
    attempt_t *attempt = &request->attempt;

    emit_log(forward, LOG_INFO, "rejected",
             "request=%s attempt=%" PRIu32 " runner=%s status=%" PRIu32,
             request->id, attempt->number, attempt->runner->registration.id,
             attempt->status);
    if (!attempt->relayed) {
        request->runs--;
        crashes_run_rejected(forward->crashes, forward->now_us,
                             request->suspect);
    }
    if (attempt->status == STATUS_MISDIRECTED) {
        pool_mark_address_stale(attempt->runner);
        note_queue(forward, &(finding_t){.kind = NOTE_ADDRESS_STALE,
                                         .finding_t_u.runner =
                                             attempt->runner->id_hash});
    }
    else {
        pool_record_full(attempt->runner, forward->now_us);
    }
    attempt_end(forward, request, false);
    if (request->response_started) {
        resume_stream(forward, request);
        return;
    }
    retry_or_refuse(forward, request, REFUSE_RUNNERS_FULL);
}

/* Handles the refusal of the host that the request was relayed to. */
static void
handle_host_refusal(forward_t *forward, request_t *request)
{
    attempt_t *attempt = &request->attempt;
    refuse_reason_t refusal = attempt->refusal;
    bool not_run = attempt->not_run;

    emit_log(forward, LOG_INFO, "host-refused",
             "request=%s attempt=%" PRIu32 " host=%s reason=%s run=%d",
             request->id, attempt->number, attempt->runner->registration.id,
             refuse_reason_name(refusal), !not_run);
    if (not_run) {
        pool_record_full(attempt->runner, forward->now_us);
    }
    attempt_end(forward, request, false);
    if (request->response_started) {
        resume_stream(forward, request);
        return;
    }
    if (other_host_may_serve(refusal) && may_go_on(request) &&
        retry_allowed(forward, request) && send_request(forward, request)) {
        return;
    }
    refuse_request(forward, request, refusal);
}

/* Returns whether the request may be sent to a runner after a refusal. */
static bool
may_go_on(const request_t *request)
{
    return request->runs == 0 || may_run_again(request) ||
           (request->type == REQUEST_STREAM && request->resumable &&
            request->runs < request->attempts_max);
}

/* Returns whether the reason lies with the host that refused. */
static bool
other_host_may_serve(refuse_reason_t refusal)
{
    switch (refusal) {
    case REFUSE_NO_ROUTING:
    case REFUSE_ROUTING_STALE:
    case REFUSE_DRAINING:
    case REFUSE_NO_RUNNER:
    case REFUSE_NO_VERSION:
    case REFUSE_HOST_FULL:
    case REFUSE_RUNNER_LOST:
        return true;
    default:
        return false;
    }
}

/*
 * Resumes the stream on the runner that holds the copy of its KV cache, else
 * on any runner, which prefills the prompt again.  If there is no runner, a
 * stream that has started waits for one for up to RUNNER_WAIT_MAX_MS.
 */
static void
resume_stream(forward_t *forward, request_t *request)
{
    crash_decision_t decision = suspicion_decide_send(forward, request);
    bool may_send;

    if (!retry_allowed(forward, request)) {
        if (request->moved) {
            wait_or_refuse(forward, request, REFUSE_RETRY_BUDGET);
            return;
        }
        refuse_request(forward, request, REFUSE_RETRY_BUDGET);
        return;
    }
    if (request->runs >= request->attempts_max) {
        refuse_request(forward, request, REFUSE_RUNNER_LOST);
        return;
    }
    if (decision == CRASH_BLOCKED || decision == CRASH_REFERRED) {
        refuse_request(forward, request,
                       decision == CRASH_BLOCKED ? REFUSE_HARMFUL
                                                 : REFUSE_DRAINING);
        return;
    }
    may_send = decision == CRASH_ALLOWED ||
               (decision == CRASH_DEFERRED && request->response_started);
    if (identify_is_pending(request)) {
        if (!identify_ask_origin(forward, request)) {
            refuse_request(forward, request, REFUSE_NO_VERSION);
            return;
        }
        wait_or_refuse(forward, request, REFUSE_NO_VERSION);
        return;
    }
    if (!find_stream_version(forward, request)) {
        wait_or_refuse(forward, request, REFUSE_NO_VERSION);
        return;
    }
    if (may_send && (resume_from_copy(forward, request) ||
                     send_request(forward, request))) {
        return;
    }
    if (!request->response_started && !may_send) {
        schedule_retry(forward, request);
        return;
    }
    wait_or_refuse(forward, request, REFUSE_NO_RUNNER);
}

/*
 * Another host has chosen the runner of a stream that it began, so that only
 * its reports show the version.  A host that it is relayed to asks for itself.
 */
static bool
find_stream_version(forward_t *forward, request_t *request)
{
    return request->version != 0 || !request->response_started ||
           relay_is_preferred(forward, request) ||
           versions_find(forward, request) == VERSION_FOUND;
}

/*
 * Lets a stream that has started, or a request that was moved from a silent
 * runner, wait for a runner for some time.
 */
static void
wait_or_refuse(forward_t *forward, request_t *request, refuse_reason_t reason)
{
    int64_t limit_ms = request->moved ? MOVED_WAIT_MAX_MS : RUNNER_WAIT_MAX_MS;

    if (request->unassigned_since_us == 0) {
        request->unassigned_since_us = forward->now_us;
    }
    if ((!request->response_started && !request->moved) ||
        forward->now_us - request->unassigned_since_us >
            limit_ms * US_PER_MS) {
        refuse_request(forward, request, reason);
        return;
    }
    schedule_retry(forward, request);
}

void
schedule_retry(forward_t *forward, request_t *request)
{
    request->retry_at_us =
        forward->now_us + (int64_t)RUNNER_POLL_MS * US_PER_MS;
}

static void
retry_or_refuse(forward_t *forward, request_t *request, refuse_reason_t reason)
{
    if (!retry_allowed(forward, request)) {
        refuse_request(forward, request, REFUSE_RETRY_BUDGET);
        return;
    }
    if (!suspicion_allows(forward, request)) {
        return;
    }
    if (!send_request(forward, request)) {
        wait_or_refuse(forward, request, reason);
    }
}

bool
may_run_again(const request_t *request)
{
    return request->type == REQUEST_SAFE &&
           request->runs < request->attempts_max;
}

const char *
send_result_name(send_result_t result)
{
    static const char *const names[] = {
        [SEND_COMPLETE] = "whole",
        [SEND_NOT_SENT] = "not-sent",
        [SEND_BROKEN] = "broken",
        [SEND_INVALID] = "invalid",
        [SEND_UNRESPONSIVE] = "unresponsive",
        [SEND_STALLED] = "stalled",
        [SEND_DROPPED] = "dropped",
    };

    return names[result];
}
