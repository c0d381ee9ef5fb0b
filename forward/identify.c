/*
 * identify.c - establishes which start of a runner answers.
 *
 * A runner may start again under its id with another version of its software,
 * and answer before its new entry is in the registry.  An entry therefore says
 * nothing of the process that answers.  That process states its start in its
 * report: a report that was asked for when the connection of an attempt stood,
 * and that states the start of the entry by which the runner was chosen, shows
 * that this start answers the attempt, since a later one has not begun and an
 * earlier one had ended.
 *
 * The response of a run that goes on with a stream is withheld until then.  A
 * stream that begins is passed on at once, and its version is known from then
 * on.
 */
#include <inttypes.h>
#include <string.h>
#include <syslog.h>

#include "forward/private.h"

enum {
    /* A live runner answers within a round trip. */
    REPORT_TIMEOUT_MS = 100,
    /* Between two reports that are asked for: while a response is withheld,
     * and while its caller gets it. */
    WITHHELD_INTERVAL_MS = 150,
    ORIGIN_INTERVAL_MS = 500,
    /* The latter is doubled so often. */
    ORIGIN_BACK_OFF_MAX = 3,
};

static bool states_start(const forward_t *forward, const request_t *request);
static bool goes_on(const request_t *request);
static void set_version(request_t *request, uint64_t version);
static void set_start(attempt_t *attempt, int64_t connected_us);
static uint32_t back_off(const identity_t *origin);
static bool is_confirmed(const request_t *request, const identity_t *identity);
static void ask(forward_t *forward, const request_t *request,
                const pool_runner_t *runner, identity_t *identity,
                int64_t interval_ms);
static bool is_about(const pool_runner_t *runner,
                     const forward_probe_result_t *probed);
static bool match_attempt(forward_t *forward, request_t *request,
                          const forward_probe_result_t *probed);
static void match_origin(forward_t *forward, request_t *request,
                         const forward_probe_result_t *probed);
static void confirm_origin(forward_t *forward, request_t *request,
                           uint64_t version);
static void log_identified(forward_t *forward, const request_t *request,
                           const identity_t *identity, bool withheld);

void
identify_start(attempt_t *attempt, const pool_runner_t *runner)
{
    attempt->identity = (identity_t){
        .runner = runner->id_hash,
        .started_ms = runner->registration.started_ms,
        .version = runner->version,
    };
}

/* A start whose entry was there when the connection stood is the one that
 * accepted it, or an earlier one than that. */
static void
set_start(attempt_t *attempt, int64_t connected_us)
{
    const pool_runner_t *runner = attempt->runner;

    if (connected_us >= runner->registered_us) {
        attempt->identity.started_ms = runner->registration.started_ms;
        attempt->identity.version = runner->version;
        attempt->version = runner->version;
    }
}

bool
identify_at_head(forward_t *forward, request_t *request,
                 const forward_response_head_t *head)
{
    attempt_t *attempt = &request->attempt;
    identity_t *identity = &attempt->identity;

    if (!states_start(forward, request)) {
        set_version(request, attempt->version);
        return true;
    }
    identity->connected_us = head->connected_max_us;
    set_start(attempt, head->connected_min_us);
    if (is_confirmed(request, identity)) {
        set_version(request, identity->version);
        return true;
    }
    if (goes_on(request)) {
        attempt->withheld = request->version != 0;
        if (attempt->withheld) {
            ask(forward, request, attempt->runner, identity,
                WITHHELD_INTERVAL_MS);
        }
        return !attempt->withheld;
    }
    request->version = 0;
    request->origin = *identity;
    ask(forward, request, attempt->runner, &request->origin,
        ORIGIN_INTERVAL_MS);
    return true;
}

/* Events bind a stream to a version, and a head alone does not. */
static void
set_version(request_t *request, uint64_t version)
{
    if (!goes_on(request) || request->version == 0) {
        request->version = version;
    }
}

void
identify_receive(forward_t *forward, const forward_probe_result_t *probed)
{
    request_t *request;
    request_t *next;

    if (probed->outcome != PROBE_ANSWERED) {
        return;
    }
    HASH_ITER(hh, forward->requests, request, next)
    {
        if (request->origin.runner != 0) {
            match_origin(forward, request, probed);
        }
        if (request->attempt.runner != NULL && !request->attempt.relayed &&
            !match_attempt(forward, request, probed)) {
            recover_other_start(forward, request);
        }
    }
}

/* A runner that answers before its entry is registered is identified by its
 * report first, and its version is known with its entry. */
void
identify_registered(forward_t *forward, const pool_runner_t *runner)
{
    request_t *request;

    for (request = forward->requests; request != NULL;
         request = request->hh.next) {
        const identity_t *origin = &request->origin;

        if (origin->runner == runner->id_hash && origin->version == 0 &&
            origin->started_ms == runner->registration.started_ms) {
            confirm_origin(forward, request, runner->version);
        }
    }
}

void
identify_end(request_t *request)
{
    if (!goes_on(request)) {
        request->origin = (identity_t){0};
        request->version = 0;
    }
}

bool
identify_is_pending(const request_t *request)
{
    return request->origin.runner != 0;
}

uint64_t
identify_version_told(const request_t *request)
{
    return request->version == 0 && request->origin.doubtful
               ? VERSION_UNCERTAIN
               : request->version;
}

bool
identify_ask_origin(forward_t *forward, request_t *request)
{
    identity_t *origin = &request->origin;

    if (origin->other ||
        pool_find_hash(forward->pool, origin->runner) == NULL) {
        return false;
    }
    if (request->unassigned_since_us == 0) {
        origin->asked = 0;
        origin->due_us = forward->now_us;
    }
    return true;
}

static uint32_t
back_off(const identity_t *origin)
{
    return origin->asked < ORIGIN_BACK_OFF_MAX ? origin->asked
                                               : ORIGIN_BACK_OFF_MAX;
}

void
identify_check(forward_t *forward, request_t *request)
{
    attempt_t *attempt = &request->attempt;
    identity_t *origin = &request->origin;
    const pool_runner_t *runner;

    if (origin->runner != 0 && origin->due_us > 0 &&
        forward->now_us >= origin->due_us) {
        runner = pool_find_hash(forward->pool, origin->runner);
        origin->due_us = 0;
        if (runner != NULL) {
            ask(forward, request, runner, origin,
                (int64_t)ORIGIN_INTERVAL_MS << back_off(origin));
        }
    }
    if (attempt->runner == NULL || !attempt->withheld ||
        forward->now_us < attempt->identity.due_us) {
        return;
    }
    ask(forward, request, attempt->runner, &attempt->identity,
        WITHHELD_INTERVAL_MS);
}

int64_t
identify_due_us(const request_t *request)
{
    int64_t due_us = INT64_MAX;

    if (request->origin.runner != 0 && request->origin.due_us > 0) {
        due_us = request->origin.due_us;
    }
    if (request->attempt.runner != NULL && request->attempt.withheld &&
        request->attempt.identity.due_us < due_us) {
        due_us = request->attempt.identity.due_us;
    }
    return due_us;
}

/* Without a start in its entry, a runner has another id after each one, and
 * does not run what names an earlier id. */
static bool
states_start(const forward_t *forward, const request_t *request)
{
    return request->resumable && !request->attempt.relayed &&
           request->attempt.identity.started_ms != 0 &&
           pool_states_version(forward->pool, request->service);
}

/* Returns whether the caller has events of the stream. */
static bool
goes_on(const request_t *request)
{
    return request->first_event_us > 0 || request->last_event_id >= 0;
}

static bool
is_confirmed(const request_t *request, const identity_t *identity)
{
    return identity->reported_ms == identity->started_ms &&
           identity->asked_us >= identity->connected_us &&
           (!goes_on(request) || identity->version == request->version);
}

static void
ask(forward_t *forward, const request_t *request, const pool_runner_t *runner,
    identity_t *identity, int64_t interval_ms)
{
    identity->asked++;
    identity->due_us = forward->now_us + interval_ms * US_PER_MS;
    probe_runner(forward, request, runner, REPORT_TIMEOUT_MS);
}

static bool
is_about(const pool_runner_t *runner, const forward_probe_result_t *probed)
{
    return strcmp(runner->registration.id, probed->runner) == 0;
}

/* Returns false if the attempt is withheld and not certain to be answered by
 * the start that it was sent to. */
static bool
match_attempt(forward_t *forward, request_t *request,
              const forward_probe_result_t *probed)
{
    attempt_t *attempt = &request->attempt;
    identity_t *identity = &attempt->identity;

    if (!is_about(attempt->runner, probed) ||
        probed->asked_us < identity->asked_us) {
        return true;
    }
    identity->reported_ms = probed->started_ms;
    identity->asked_us = probed->asked_us;
    if (!attempt->withheld || probed->asked_us < identity->connected_us) {
        return true;
    }
    if (!is_confirmed(request, identity)) {
        return false;
    }
    log_identified(forward, request, identity, true);
    recover_pass_on(forward, request);
    return true;
}

/*
 * Another start than that of the entry has made what the caller has if it
 * lists the run.  If it does not, the run may be too new for its report.
 */
static void
match_origin(forward_t *forward, request_t *request,
             const forward_probe_result_t *probed)
{
    identity_t *origin = &request->origin;
    const pool_runner_t *runner =
        pool_find_hash(forward->pool, origin->runner);
    int64_t reported_ms = probed->started_ms;

    if (runner == NULL || !is_about(runner, probed) ||
        probed->asked_us < origin->connected_us) {
        return;
    }
    if (reported_ms == origin->started_ms && origin->version != 0) {
        confirm_origin(forward, request, origin->version);
        return;
    }
    if (reported_ms != origin->started_ms && !origin->doubtful) {
        origin->doubtful = true;
        forward->publish_due = true;
    }
    if (request->attempt.runner != runner) {
        origin->other = reported_ms != origin->started_ms;
        return;
    }
    if (reported_ms == origin->started_ms || reported_ms == 0 ||
        probed->report == NULL || !report_lists(probed->report, request)) {
        return;
    }
    origin->started_ms = reported_ms;
    origin->version = 0;
    if (runner->registration.started_ms == reported_ms) {
        confirm_origin(forward, request, runner->version);
    }
}

static void
confirm_origin(forward_t *forward, request_t *request, uint64_t version)
{
    log_identified(forward, request, &request->origin, false);
    request->origin = (identity_t){0};
    request->version = version;
    if (request->last_event_us > 0) {
        versions_begin_stream(forward, request);
        forward->publish_due = true;
    }
    if (request->attempt.runner == NULL && request->retry_at_us > 0) {
        request->retry_at_us = forward->now_us;
    }
}

static void
log_identified(forward_t *forward, const request_t *request,
               const identity_t *identity, bool withheld)
{
    int64_t since_us =
        withheld ? request->attempt.response_us : identity->connected_us;

    emit_log(forward, LOG_INFO, "identified",
             "request=%s attempt=%" PRIu32 " started_ms=%" PRId64
             " withheld=%d after_ms=%" PRId64 " asked=%" PRIu32,
             request->id, request->attempt.number, identity->started_ms,
             withheld, (forward->now_us - since_us) / US_PER_MS,
             identity->asked);
}
