/* recover.c - answers as they come, and what follows a loss. */
#include <inttypes.h>
#include <stdlib.h>
#include <syslog.h>

#include "forward/private.h"

enum {
    STATUS_OK = 200,
    STATUS_MULTIPLE_CHOICES = 300,
    STATUS_SERVER_ERROR = 500,
    STATUS_MISDIRECTED = 421,
    /* A safe request is not sent again with less of its time left. */
    RETRY_LEFT_MIN_MS = 20,
    /* Between looks for a runner while a begun stream has none. */
    WAIT_STEP_MS = 100,
    /* Callers leave a stream after a gap of two seconds at the least. */
    WAIT_MAX_MS = 1900,
};

static void keep_copy(request_t *request);
static request_t *find(forward_t *forward, uint64_t number, uint32_t attempt);
static void take_answer(forward_t *forward, request_t *request);
static void take_not_run(forward_t *forward, request_t *request);
static void resume(forward_t *forward, request_t *request);
static void try_elsewhere(forward_t *forward, request_t *request,
                          refuse_reason_t reason);
static bool may_repeat(const request_t *request);
static const char *cause_of(send_result_t result);

void
take_head(forward_t *forward, const forward_head_t *head)
{
    request_t *request = find(forward, head->number, head->attempt);
    attempt_t *attempt;

    if (request == NULL) {
        return;
    }
    attempt = &request->attempt;
    attempt->status = head->status;
    attempt->genuine = head->genuine;
    attempt->not_run = head->not_run;
    attempt->heard_us = forward->now_us;
    if (request->type == REQUEST_STREAM && head->status == STATUS_OK &&
        head->genuine) {
        attempt->passing = true;
        request->begun = true;
        order_new(forward, ORDER_TO_BEGIN, request->number)->u.attempt =
            attempt->number;
    }
}

void
take_end(forward_t *forward, const forward_end_t *end)
{
    request_t *request = find(forward, end->number, end->attempt);

    if (request == NULL) {
        return;
    }
    if (end->result != SEND_WHOLE) {
        recover(forward, request, end->result);
        return;
    }
    if (request->attempt.not_run) {
        take_not_run(forward, request);
        return;
    }
    take_answer(forward, request);
}

void
recover(forward_t *forward, request_t *request, send_result_t result)
{
    attempt_t *attempt = &request->attempt;
    bool not_sent = result == SEND_NOT_SENT;

    tell(forward, LOG_INFO, "lost",
         "request=%s attempt=%" PRIu32 " runner=%s cause=%s status=%" PRIu32
         " events=%" PRIu32 " ran_ms=%" PRId64 " silent_ms=%" PRId64,
         request->id, attempt->number, attempt->runner->is.id,
         cause_of(result), attempt->status, attempt->events,
         (forward->now_us - attempt->started_us) / US_PER_MS,
         (forward->now_us - attempt->heard_us) / US_PER_MS);
    if (pool_lost(attempt->runner, forward->now_us)) {
        tell(forward, LOG_NOTICE, "zone-rests", "zone=%s",
             attempt->runner->is.zone);
    }
    if (result == SEND_BROKEN || result == SEND_SILENT) {
        suspicion_lost(forward, request);
    }
    if (not_sent) {
        request->runs--;
        arrival_uncount(forward, request);
    }
    if (attempt->events > 0 && attempt->standby != NULL) {
        keep_copy(request);
    }
    attempt_end(forward, request, true);
    if (request->type == REQUEST_STREAM && request->resumable) {
        resume(forward, request);
        return;
    }
    if (!not_sent && !may_repeat(request)) {
        refuse(forward, request,
               result == SEND_INVALID ? REFUSE_BAD_ANSWER
                                      : REFUSE_RUNNER_LOST);
        return;
    }
    try_elsewhere(forward, request, REFUSE_RUNNER_LOST);
}

/*
 * A copy that grew with the run is named by its keeper and the request; one
 * that was asked for, by the runner that made it.
 */
static void
keep_copy(request_t *request)
{
    attempt_t *attempt = &request->attempt;
    const pool_runner_t *namer =
        attempt->copy_name != NULL ? attempt->runner : attempt->standby;

    if (attempt->asking && attempt->copy_name == NULL) {
        return;
    }
    if (request->copy != NULL) {
        pool_copy_end(request->copy);
    }
    request->copy = attempt->standby;
    pool_copy_start(request->copy);
    request->copy_address = arena_strdup(&request->arena, namer->is.address);
    request->copy_name =
        attempt->copy_name != NULL ? attempt->copy_name : request->id;
    attempt->copy_name = NULL;
}

void
retry_waiting(forward_t *forward, request_t *request)
{
    request->retry_at_us = 0;
    if (request->begun) {
        request->tried_count = 0;
    }
    resume(forward, request);
}

static request_t *
find(forward_t *forward, uint64_t number, uint32_t attempt)
{
    request_t *request;

    HASH_FIND(hh, forward->requests, &number, sizeof(number), request);
    if (request == NULL || request->attempt.runner == NULL ||
        request->attempt.number != attempt) {
        return NULL;
    }
    return request;
}

/* A whole answer of a runner that has run the request. */
static void
take_answer(forward_t *forward, request_t *request)
{
    attempt_t *attempt = &request->attempt;
    bool failed = attempt->status >= STATUS_SERVER_ERROR;
    bool success = attempt->status >= STATUS_OK &&
                   attempt->status < STATUS_MULTIPLE_CHOICES;

    if (!attempt->genuine && (success || request->begun)) {
        recover(forward, request, SEND_INVALID);
        return;
    }
    pool_answered(attempt->runner, failed);
    suspicion_answered(forward, request);
    if (attempt->passing) {
        order_new(forward, ORDER_TO_FINISH, request->number);
        tell_end(forward, request, "served", "whole", attempt->status);
        attempt_end(forward, request, false);
        request_forget(forward, request);
        return;
    }
    if (request->begun) {
        attempt_end(forward, request, false);
        resume(forward, request);
        return;
    }
    if (failed && request->type == REQUEST_SAFE && may_repeat(request) &&
        forward->now_us + (int64_t)RETRY_LEFT_MIN_MS * US_PER_MS <
            request->deadline_us &&
        repeat_allowed(forward, request)) {
        uint32_t number = attempt->number;
        uint32_t status = attempt->status;

        attempt_end(forward, request, false);
        if (send_request(forward, request)) {
            return;
        }
        order_new(forward, ORDER_TO_ANSWER, request->number)->u.attempt =
            number;
        tell_end(forward, request, "served", "runner-error", status);
        request_forget(forward, request);
        return;
    }
    order_new(forward, ORDER_TO_ANSWER, request->number)->u.attempt =
        attempt->number;
    tell_end(forward, request, "served", failed ? "runner-error" : "whole",
             attempt->status);
    attempt_end(forward, request, false);
    request_forget(forward, request);
}

/* The runner says that it has not run the request. */
static void
take_not_run(forward_t *forward, request_t *request)
{
    attempt_t *attempt = &request->attempt;

    tell(forward, LOG_INFO, "rejected",
         "request=%s attempt=%" PRIu32 " runner=%s status=%" PRIu32,
         request->id, attempt->number, attempt->runner->is.id,
         attempt->status);
    request->runs--;
    if (attempt->status == STATUS_MISDIRECTED) {
        pool_misdirected(attempt->runner);
        note_add(forward,
                 &(finding_t){.kind = NOTE_MOVED,
                              .finding_t_u.runner = attempt->runner->id_hash});
    }
    else {
        pool_full(attempt->runner, forward->now_us);
    }
    attempt_end(forward, request, false);
    if (request->begun) {
        resume(forward, request);
        return;
    }
    try_elsewhere(forward, request, REFUSE_FULL);
}

/*
 * Goes on where the copy of the memory is, else at any runner, which reads
 * the prompt again.  A stream that has begun waits a little for a runner.
 */
static void
resume(forward_t *forward, request_t *request)
{
    suspect_verdict_t verdict = suspicion_verdict(forward, request);

    if (!repeat_allowed(forward, request)) {
        refuse(forward, request, REFUSE_BUDGET);
        return;
    }
    if (request->runs >= request->attempts_max) {
        refuse(forward, request, REFUSE_RUNNER_LOST);
        return;
    }
    if (verdict == SUSPECT_REFUSED) {
        refuse(forward, request, REFUSE_HARMFUL);
        return;
    }
    if (!request->begun && verdict == SUSPECT_HELD) {
        request->retry_at_us =
            forward->now_us + (int64_t)WAIT_STEP_MS * US_PER_MS;
        return;
    }
    if (send_to_copy(forward, request) || send_request(forward, request)) {
        return;
    }
    if (!request->begun) {
        refuse(forward, request, REFUSE_NO_RUNNER);
        return;
    }
    if (request->gap_since_us == 0) {
        request->gap_since_us = forward->now_us;
    }
    if (forward->now_us - request->gap_since_us >
        (int64_t)WAIT_MAX_MS * US_PER_MS) {
        refuse(forward, request, REFUSE_NO_RUNNER);
        return;
    }
    request->retry_at_us = forward->now_us + (int64_t)WAIT_STEP_MS * US_PER_MS;
}

static void
try_elsewhere(forward_t *forward, request_t *request, refuse_reason_t reason)
{
    if (!repeat_allowed(forward, request)) {
        refuse(forward, request, REFUSE_BUDGET);
        return;
    }
    if (suspicion_verdict(forward, request) >= SUSPECT_HELD) {
        refuse(forward, request, REFUSE_HARMFUL);
        return;
    }
    if (!send_request(forward, request)) {
        refuse(forward, request, reason);
    }
}

/* Whether the request may run on one runner more. */
static bool
may_repeat(const request_t *request)
{
    return request->type == REQUEST_SAFE &&
           request->runs < request->attempts_max;
}

static const char *
cause_of(send_result_t result)
{
    static const char *const names[] = {
        [SEND_WHOLE] = "whole",         [SEND_NOT_SENT] = "not-sent",
        [SEND_BROKEN] = "broken",       [SEND_INVALID] = "invalid",
        [SEND_SILENT] = "silent",       [SEND_STALLED] = "stalled",
        [SEND_FORGOTTEN] = "forgotten",
    };

    return names[result];
}
