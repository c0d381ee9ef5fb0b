/*
 * watchdog.c - handles timeouts and probes runners that send nothing.
 *
 * A runner that accepts the connection of a probe without a response is alive
 * and may only pause; one that does not accept it has crashed, or the path to
 * it is cut.
 */
#include <inttypes.h>
#include <string.h>
#include <syslog.h>

#include "forward/private.h"

enum {
    /* Idle time of a running stream after which its runner is probed.  Longer
     * than the gap while the engine prefills another prompt (about 30 ms for
     * each token of an event), and short enough to resume within 700 ms. */
    PROBE_STREAM_IDLE_MS = 220,
    PROBE_TOKEN_IDLE_MS = 31,
    PROBE_STREAM_IDLE_MAX_MS = 350,
    /* The same, before the first event, during prefill: just before a request
     * may be moved, so that the answer is known by then.  Then at intervals.
     */
    PROBE_PROMPT_IDLE_MS = 900,
    PROBE_PROMPT_INTERVAL_MS = 500,
    PROBE_PLAIN_IDLE_MS = 300,
    /* A live runner answers within a round trip.  The rest allows for this
     * host being busy and reading the answer late. */
    PROBE_TIMEOUT_MS = 100,
    /* The same for the runner to which a request may be moved, so that its
     * silence is known when the other's is. */
    PROBE_NEXT_TIMEOUT_MS = 80,
    /* Probes that fail later than this show a pause of this host. */
    PROBE_LATE_MS = 200,
    /* Idle time after which the connection of a stream is assumed dead
     * although its runner answers probes. */
    STALL_STREAM_IDLE_MS = 1500,
    STALL_PROMPT_IDLE_MS = 8000,
    /* The same for a host, which waits for paused runners. */
    RELAY_IDLE_MS = 6000,
    /* A report is some hundred ms old and may lack newer requests. */
    REPORT_AGE_MAX_MS = 800,
    /* Consecutive reports without a request before it counts as dropped. */
    MISSING_REPORTS_MAX = 2,
};

static void record_leaving(forward_t *forward, const char *id);
static void record_path(forward_t *forward,
                        const forward_probe_result_t *probed);
static void record_start(forward_t *forward,
                         const forward_probe_result_t *probed);
static bool drop_late_probe(forward_t *forward, const char *runner);
static void check_report(forward_t *forward, request_t *request,
                         const runner_report_t *report);
static bool is_report_expected(const forward_t *forward,
                               const attempt_t *attempt);
static bool report_includes(const runner_report_t *report,
                            const request_t *request);
static int64_t probe_idle_limit_us(const request_t *request);
static int64_t stall_due_us(const request_t *request);
static bool is_probed(const request_t *request);

void
check_request_timers(forward_t *forward, request_t *request)
{
    attempt_t *attempt = &request->attempt;
    const pool_runner_t *next;
    int64_t since_us;

    if (request->held != NULL) {
        if (forward->now_us >= request->retry_at_us) {
            admit_held_request(forward, request);
        }
        return;
    }
    if (forward->now_us >= request->deadline_us) {
        refuse_request(forward, request, REFUSE_TIMEOUT);
        return;
    }
    identify_check(forward, request);
    if (attempt->runner == NULL) {
        if (request->retry_at_us > 0 &&
            forward->now_us >= request->retry_at_us) {
            if (request->awaits_version) {
                admit_with_version(forward, request);
            }
            else {
                retry_waiting_request(forward, request);
            }
        }
        return;
    }
    if (request->type == REQUEST_STREAM &&
        forward->now_us >= stall_due_us(request)) {
        if (!handle_silence(forward, request, SEND_STALLED)) {
            return;
        }
    }
    copies_update(forward, request);
    since_us = attempt->last_probe_us > attempt->last_activity_us
                   ? attempt->last_probe_us
                   : attempt->last_activity_us;
    if (!is_probed(request) || attempt->probe_pending ||
        forward->now_us - since_us < probe_idle_limit_us(request)) {
        return;
    }
    attempt->probe_pending = true;
    attempt->last_probe_us = forward->now_us;
    probe_runner(forward, request, attempt->runner, PROBE_TIMEOUT_MS);
    next = next_runner(forward, request);
    if (next != NULL) {
        probe_runner(forward, request, next, PROBE_NEXT_TIMEOUT_MS);
    }
}

void
probe_runner(forward_t *forward, const request_t *request,
             const pool_runner_t *runner, uint32_t timeout_ms)
{
    arena_t *arena = &forward->actions->arena;
    forward_action_t *action =
        action_new(forward, FORWARD_ACTION_PROBE, request->number);

    action->u.probe.runner = arena_strdup(arena, runner->registration.id);
    action->u.probe.address =
        arena_strdup(arena, runner->registration.address);
    action->u.probe.timeout_ms = timeout_ms;
}

void
reset_activity_after_pause(forward_t *forward, int64_t now_us)
{
    request_t *request;

    for (request = forward->requests; request != NULL;
         request = request->hh.next) {
        attempt_t *attempt = &request->attempt;

        if (attempt->runner != NULL) {
            attempt->last_activity_us = now_us;
            attempt->probe_pending = false;
        }
    }
}

int64_t
request_due_us(const request_t *request)
{
    const attempt_t *attempt = &request->attempt;
    int64_t due_us = request->deadline_us;
    int64_t at_us = identify_due_us(request);

    due_us = at_us < due_us ? at_us : due_us;
    if (attempt->runner == NULL) {
        at_us = request->retry_at_us > 0 ? request->retry_at_us : INT64_MAX;
        return at_us < due_us ? at_us : due_us;
    }
    if (request->type == REQUEST_STREAM) {
        at_us = stall_due_us(request);
        due_us = at_us < due_us ? at_us : due_us;
    }
    at_us = copies_due_us(request);
    due_us = at_us < due_us ? at_us : due_us;
    if (is_probed(request) && !attempt->probe_pending) {
        at_us = (attempt->last_probe_us > attempt->last_activity_us
                     ? attempt->last_probe_us
                     : attempt->last_activity_us) +
                probe_idle_limit_us(request);
        due_us = at_us < due_us ? at_us : due_us;
    }
    return due_us;
}

static void
record_leaving(forward_t *forward, const char *id)
{
    pool_runner_t *runner = pool_find_runner(forward->pool, id);

    if (runner != NULL) {
        registry_record_leaving(forward, runner);
    }
}

/* A connection that a probe made is as good as one of a request. */
static void
record_path(forward_t *forward, const forward_probe_result_t *probed)
{
    const pool_runner_t *runner =
        pool_find_runner(forward->pool, probed->runner);

    if (runner == NULL) {
        return;
    }
    if (probed->outcome == PROBE_UNREACHABLE) {
        relay_record_loss(forward, runner);
    }
    else {
        relay_record_connection(forward, runner, forward->now_us);
    }
}

/* The process at a runner's address may be another than the one that wrote the
 * entry. */
static void
record_start(forward_t *forward, const forward_probe_result_t *probed)
{
    const pool_runner_t *runner;

    if (probed->started_ms == 0) {
        return;
    }
    runner = pool_record_start(forward->pool, probed->runner,
                               probed->started_ms, probed->asked_us);
    if (runner != NULL) {
        emit_log(forward,
                 runner->reported_ms == runner->registration.started_ms
                     ? LOG_INFO
                     : LOG_NOTICE,
                 "runner-start",
                 "runner=%s reported_ms=%" PRId64 " started_ms=%" PRId64
                 " version=%s",
                 probed->runner, runner->reported_ms,
                 runner->registration.started_ms,
                 runner->registration.version);
    }
}

/* Returns whether probes fail late, so that this one says nothing about its
 * runner.  Requests that wait for it are probed again. */
static bool
drop_late_probe(forward_t *forward, const char *runner)
{
    request_t *request;
    bool late = false;

    for (request = forward->requests; request != NULL;
         request = request->hh.next) {
        attempt_t *attempt = &request->attempt;

        if (attempt->runner == NULL || !attempt->probe_pending ||
            forward->now_us - attempt->last_probe_us <=
                (int64_t)PROBE_LATE_MS * US_PER_MS) {
            continue;
        }
        late = true;
        if (strcmp(attempt->runner->registration.id, runner) == 0) {
            attempt->probe_pending = false;
        }
    }
    return late;
}

/* A runner that cannot be reached is silent for all its requests. */
void
handle_probe_result(forward_t *forward, const forward_probe_result_t *probed)
{
    request_t *request;
    request_t *next;

    if (probed->leaving) {
        record_leaving(forward, probed->runner);
    }
    if (probed->outcome != PROBE_ANSWERED &&
        drop_late_probe(forward, probed->runner)) {
        return;
    }
    record_path(forward, probed);
    record_start(forward, probed);
    identify_receive(forward, probed);
    pool_record_probe(forward->pool, probed->runner,
                      probed->outcome == PROBE_ANSWERED, forward->now_us);
    HASH_ITER(hh, forward->requests, request, next)
    {
        attempt_t *attempt = &request->attempt;

        if (attempt->runner == NULL || attempt->relayed ||
            strcmp(attempt->runner->registration.id, probed->runner) != 0) {
            continue;
        }
        if (probed->outcome == PROBE_ANSWERED) {
            attempt->probe_pending = false;
            attempt->probed = PROBE_ANSWERED;
            check_report(forward, request, probed->report);
            continue;
        }
        if (attempt->last_activity_us > attempt->last_probe_us &&
            attempt->probe_pending) {
            attempt->probe_pending = false;
            continue;
        }
        if (!attempt->probe_pending &&
            forward->now_us - attempt->last_activity_us <
                probe_idle_limit_us(request)) {
            continue;
        }
        attempt->probe_pending = false;
        attempt->probed = probed->outcome;
        if (probed->outcome == PROBE_UNREACHABLE ||
            request->type != REQUEST_STREAM) {
            (void)handle_silence(forward, request, SEND_UNRESPONSIVE);
        }
    }
}

/*
 * Under load, runners drop requests without an error, or restart so quickly
 * that a probe succeeds.  Without this check the caller would wait until the
 * stream counts as stalled.
 */
static void
check_report(forward_t *forward, request_t *request,
             const runner_report_t *report)
{
    attempt_t *attempt = &request->attempt;

    if (report == NULL || request->type != REQUEST_STREAM ||
        !is_report_expected(forward, attempt)) {
        return;
    }
    attempt->missing_reports =
        report_includes(report, request) ? 0 : attempt->missing_reports + 1;
    if (attempt->missing_reports >= MISSING_REPORTS_MAX) {
        handle_failed_attempt(forward, request, SEND_DROPPED);
    }
}

static bool
is_report_expected(const forward_t *forward, const attempt_t *attempt)
{
    int64_t since_us =
        attempt->events > 0 ? attempt->first_event_us : attempt->started_us;

    return forward->now_us - since_us >=
               (int64_t)REPORT_AGE_MAX_MS * US_PER_MS &&
           forward->now_us - attempt->last_activity_us >=
               (int64_t)PROBE_STREAM_IDLE_MS * US_PER_MS;
}

/* A report counts requests without output, but does not list their ids. */
static bool
report_includes(const runner_report_t *report, const request_t *request)
{
    return report_lists(report, request) ||
           (request->attempt.events == 0 &&
            (uint64_t)report->active + report->queued > report->run_count);
}

bool
report_lists(const runner_report_t *report, const request_t *request)
{
    size_t i;

    for (i = 0; i < report->run_count; i++) {
        if (strcmp(report->runs[i], request->id) == 0) {
            return true;
        }
    }
    return false;
}

static int64_t
probe_idle_limit_us(const request_t *request)
{
    const attempt_t *attempt = &request->attempt;
    int64_t limit_ms = (int64_t)request->event_tokens * PROBE_TOKEN_IDLE_MS;

    if (request->type != REQUEST_STREAM) {
        return (int64_t)PROBE_PLAIN_IDLE_MS * US_PER_MS;
    }
    if (attempt->events == 0) {
        return (int64_t)(attempt->last_probe_us > attempt->last_activity_us
                             ? PROBE_PROMPT_INTERVAL_MS
                             : PROBE_PROMPT_IDLE_MS) *
               US_PER_MS;
    }
    if (limit_ms < PROBE_STREAM_IDLE_MS) {
        limit_ms = PROBE_STREAM_IDLE_MS;
    }
    if (limit_ms > PROBE_STREAM_IDLE_MAX_MS) {
        limit_ms = PROBE_STREAM_IDLE_MAX_MS;
    }
    return limit_ms * US_PER_MS;
}

/* Returns when handle_silence() is due for a stream without a probe. */
static int64_t
stall_due_us(const request_t *request)
{
    const attempt_t *attempt = &request->attempt;
    int64_t limit_ms =
        attempt->events > 0 ? STALL_STREAM_IDLE_MS : STALL_PROMPT_IDLE_MS;
    int64_t due_us;

    if (attempt->probed == PROBE_SILENT) {
        limit_ms = PAUSE_IDLE_MS;
    }
    if (attempt->relayed && limit_ms < RELAY_IDLE_MS) {
        limit_ms = RELAY_IDLE_MS;
    }
    due_us = attempt->last_activity_us + limit_ms * US_PER_MS;
    return due_us > attempt->held_until_us ? due_us : attempt->held_until_us;
}

/* Returns whether the request could be moved if its runner is silent. */
static bool
is_probed(const request_t *request)
{
    if (request->attempt.relayed) {
        return false;
    }
    return request->type == REQUEST_STREAM
               ? request->resumable
               : request->type == REQUEST_SAFE &&
                     request->runs < request->attempts_max;
}
