/*
 * silence.c - handles runners that are silent for some time.
 *
 * Silence does not show that a run has ended.  It may move a request to
 * another runner, but it never ends one.
 */
#include <inttypes.h>
#include <syslog.h>

#include "forward/private.h"

enum {
    /* Silence after which a request is moved although the next runner has to
     * prefill its prompt, before the first event and after it. */
    RESTART_PROMPT_IDLE_MS = 1000,
    RESTART_STREAM_IDLE_MS = 600,
    /* The same if the next runner is in a cooldown. */
    RESTART_ANYWHERE_IDLE_MS = 1500,
    /* Interval between checks whether a silent request can be moved. */
    SILENCE_POLL_MS = 100,
    /* Runs of a stream that are left for the loss of a runner, while its
     * silence may be a pause. */
    RUNS_RESERVED = 1,
};

static bool has_ended(const attempt_t *attempt);
static bool may_move(forward_t *forward, request_t *request);
static bool may_restart(const forward_t *forward, const request_t *request);

bool
handle_silence(forward_t *forward, request_t *request, send_result_t result)
{
    attempt_t *attempt = &request->attempt;

    if (has_ended(attempt)) {
        handle_failed_attempt(forward, request, result);
        return false;
    }
    if (may_move(forward, request)) {
        request->moved = true;
        request->unassigned_since_us = 0;
        handle_failed_attempt(forward, request, result);
        return false;
    }
    if (attempt->held_until_us == 0) {
        emit_log(
            forward, LOG_INFO, "held",
            "request=%s attempt=%" PRIu32 " runner=%s cause=%s events=%" PRIu32
            " idle_ms=%" PRId64 " runs=%" PRIu32,
            request->id, attempt->number, attempt->runner->registration.id,
            send_result_name(result), attempt->events,
            (forward->now_us - attempt->last_activity_us) / US_PER_MS,
            request->runs);
    }
    attempt->held_until_us =
        forward->now_us + (int64_t)SILENCE_POLL_MS * US_PER_MS;
    return true;
}

/* Returns whether the registry shows that the run of a silent runner is lost.
 * A runner that is no longer registered may still serve, and one that has
 * responded since its entry is the one that the entry names. */
static bool
has_ended(const attempt_t *attempt)
{
    const pool_runner_t *runner = attempt->runner;

    return runner->address_stale ||
           (runner->serial != attempt->runner_serial &&
            attempt->response_us < runner->registered_us);
}

/* All that could end the request in place of moving it is checked here. */
static bool
may_move(forward_t *forward, request_t *request)
{
    int64_t idle_us = forward->now_us - request->attempt.last_activity_us;
    crash_decision_t decision;

    if (identify_is_pending(request) && request->first_event_us > 0 &&
        idle_us < (int64_t)PAUSE_IDLE_MS * US_PER_MS) {
        return false; /* it could only go on where it is */
    }
    if (request->type == REQUEST_STREAM) {
        uint32_t reserved =
            idle_us < (int64_t)PAUSE_IDLE_MS * US_PER_MS ? RUNS_RESERVED : 0;

        if (!request->resumable ||
            request->runs + reserved >= request->attempts_max) {
            return false;
        }
    }
    else if (!may_run_again(request)) {
        return false;
    }
    if (!retry_allowed(forward, request) ||
        (!has_usable_copy(forward, request) &&
         !may_restart(forward, request))) {
        return false;
    }
    decision = suspicion_decide(forward, request);
    return decision == CRASH_ALLOWED ||
           (decision == CRASH_DEFERRED && request->response_started);
}

/*
 * Returns whether the request may start over.  The same runner may be used if
 * it answers probes: then only the connection has failed.
 */
static bool
may_restart(const forward_t *forward, const request_t *request)
{
    const attempt_t *attempt = &request->attempt;
    int64_t idle_us = forward->now_us - attempt->last_activity_us;
    int64_t limit_ms =
        attempt->events > 0 ? RESTART_STREAM_IDLE_MS : RESTART_PROMPT_IDLE_MS;

    if (request->type == REQUEST_STREAM && idle_us < limit_ms * US_PER_MS) {
        return false;
    }
    return has_untried_runner(forward, request,
                              idle_us < (int64_t)RESTART_ANYWHERE_IDLE_MS *
                                            US_PER_MS) ||
           (request->response_started && attempt->probed == PROBE_ANSWERED &&
            pool_runner_usable(attempt->runner, forward->now_us));
}

void
silence_check_ended(forward_t *forward)
{
    request_t *request;
    request_t *next;

    HASH_ITER(hh, forward->requests, request, next)
    {
        if (request->attempt.runner != NULL &&
            (request->attempt.held_until_us > 0 ||
             request->attempt.probed == PROBE_SILENT) &&
            has_ended(&request->attempt)) {
            handle_failed_attempt(forward, request, SEND_UNRESPONSIVE);
        }
    }
}
