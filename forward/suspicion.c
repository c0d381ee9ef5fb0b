/*
 * suspicion.c - detects requests that crash the runners that run them.
 *
 * A single request that is resent to any host, or requests that have a part of
 * their prompt in common, can take down a service: each crashes a runner with
 * all its streams.  forward/crashes.h decides; this file supplies what the
 * requests of this host show.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include <xxhash.h>

#include "forward/private.h"

/* A request that completes after all is not to be turned away for long. */
enum { RETRY_AFTER_DEFERRED_MS = 1000 };

/* A runner that has ended is registered anew, or no longer registered, after
 * at most a few of its intervals between registrations. */
#define SILENT_LOSS_TTL_US ((int64_t)5000000)

/* A run whose first event is older has not crashed because of its prompt. */
#define SURVIVAL_US ((int64_t)500000)

static uint32_t list_crashes(const forward_t *forward,
                             const request_t *request, crash_t *crashes);
static void add_crashes(forward_t *forward, const crash_t *crashes,
                        uint32_t count);
static void free_silent_loss(forward_t *forward, silent_loss_t *loss);
static void log_blocked(forward_t *forward, const request_t *request);
static void clear_subject(forward_t *forward, uint64_t fingerprint,
                          int64_t start_us);
static void clear_parts(forward_t *forward, request_t *request,
                        int64_t start_us);
static uint32_t run_time_ms(const forward_t *forward,
                            const request_t *request);
static bool is_writing(const request_t *request);
static uint32_t writing_time_ms(const forward_t *forward,
                                const request_t *request);
static crash_runs_t other_runs(const forward_t *forward,
                               const request_t *request, uint64_t fingerprint);
static uint32_t count_fleet_runners(const forward_t *forward,
                                    const pool_runner_t *lost);
static bool may_claim_trial(const forward_t *forward,
                            const request_t *request);

void
suspicion_start(forward_t *forward)
{
    forward->crashes = crashes_new(forward->now_us, forward->host);
}

void
suspicion_add_request(forward_t *forward, const request_t *request)
{
    uint32_t i;

    crashes_add_request(forward->crashes, request->fingerprint);
    for (i = 0; i < request->part_count; i++) {
        crashes_add_request(forward->crashes, request->parts[i]);
    }
}

void
suspicion_runner_lost(forward_t *forward, const request_t *request)
{
    crash_t crashes[FORWARD_PARTS_MAX + 1];
    uint32_t count = list_crashes(forward, request, crashes);

    add_crashes(forward, crashes, count);
}

void
suspicion_runner_silent(forward_t *forward, const request_t *request)
{
    silent_loss_t *loss = xcalloc(1, sizeof(*loss));

    loss->runner = request->attempt.runner->id_hash;
    loss->serial = request->attempt.runner_serial;
    loss->expiry_us = forward->now_us + SILENT_LOSS_TTL_US;
    loss->count = list_crashes(forward, request, loss->crashes);
    TAILQ_INSERT_TAIL(&forward->silent_losses, loss, link);
    suspicion_check_silent(forward);
}

void
suspicion_check_silent(forward_t *forward)
{
    silent_loss_t *loss = TAILQ_FIRST(&forward->silent_losses);

    while (loss != NULL) {
        silent_loss_t *next = TAILQ_NEXT(loss, link);
        bool expired = forward->now_us >= loss->expiry_us;
        bool replaced =
            pool_runner_is_replaced(forward->pool, loss->runner, loss->serial);

        if (replaced && !expired) {
            add_crashes(forward, loss->crashes, loss->count);
        }
        if (replaced || expired) {
            free_silent_loss(forward, loss);
        }
        loss = next;
    }
}

void
suspicion_free(forward_t *forward)
{
    silent_loss_t *loss = TAILQ_FIRST(&forward->silent_losses);

    while (loss != NULL) {
        silent_loss_t *next = TAILQ_NEXT(loss, link);

        free(loss);
        loss = next;
    }
    crashes_free(forward->crashes);
}

void
suspicion_run_completed(forward_t *forward, request_t *request)
{
    clear_subject(forward, request->fingerprint, request->attempt.started_us);
    if (!request->attempt.went_on) {
        clear_parts(forward, request,
                    request->attempt.first_event_us > 0
                        ? request->attempt.first_event_us
                        : request->attempt.started_us);
    }
}

void
suspicion_run_progress(forward_t *forward, request_t *request)
{
    const attempt_t *attempt = &request->attempt;

    if (!attempt->relayed && !attempt->went_on &&
        forward->now_us - attempt->first_event_us >= SURVIVAL_US) {
        clear_parts(forward, request, attempt->first_event_us);
    }
}

crash_decision_t
suspicion_decide(forward_t *forward, request_t *request)
{
    crash_subject_t subjects[FORWARD_PARTS_MAX + 1];
    crash_decision_t decision;
    uint32_t i;

    subjects[0].fingerprint = request->fingerprint;
    for (i = 0; i < request->part_count; i++) {
        subjects[i + 1].fingerprint = request->parts[i];
    }
    for (i = 0; i <= request->part_count; i++) {
        subjects[i].others =
            other_runs(forward, request, subjects[i].fingerprint);
    }
    decision =
        crashes_decide(forward->crashes, forward->now_us, subjects,
                       (size_t)request->part_count + 1,
                       may_claim_trial(forward, request), &request->suspect);
    if (crashes_has_news(forward->crashes, forward->now_us,
                         request->suspect)) {
        forward->publish_due = true;
    }
    if (decision == CRASH_BLOCKED &&
        crashes_mark_logged(forward->crashes, request->suspect)) {
        log_blocked(forward, request);
    }
    return decision;
}

crash_decision_t
suspicion_decide_send(forward_t *forward, request_t *request)
{
    return relay_is_preferred(forward, request)
               ? CRASH_ALLOWED
               : suspicion_decide(forward, request);
}

bool
suspicion_allows(forward_t *forward, request_t *request)
{
    switch (suspicion_decide_send(forward, request)) {
    case CRASH_BLOCKED:
        refuse_request(forward, request, REFUSE_HARMFUL);
        return false;
    case CRASH_REFERRED:
        refuse_request(forward, request, REFUSE_DRAINING);
        return false;
    case CRASH_SUSPENDED:
    case CRASH_DEFERRED:
        schedule_retry(forward, request);
        return false;
    case CRASH_ALLOWED:
        break;
    }
    return true;
}

uint32_t
suspicion_retry_after_ms(const forward_t *forward, const request_t *request)
{
    int64_t blocked_us = crashes_blocked_us(forward->crashes, forward->now_us,
                                            request->suspect);

    return blocked_us > 0 ? (uint32_t)(blocked_us / US_PER_MS)
                          : RETRY_AFTER_DEFERRED_MS;
}

const char *
suspicion_part_names(forward_t *forward, const request_t *request)
{
    const char *names = "";
    uint32_t i;

    for (i = 0; i < request->part_count; i++) {
        names = arena_printf(&forward->actions->arena, "%s%s%016" PRIx64,
                             names, i > 0 ? "," : "", request->parts[i]);
    }
    return request->part_count > 0 ? names : "none";
}

void
suspicion_receive(forward_t *forward, const placements_t *placements)
{
    u_int i;

    for (i = 0; i < placements->crash_reports.crash_reports_len; i++) {
        const crash_report_t *report =
            &placements->crash_reports.crash_reports_val[i];

        crashes_merge(forward->crashes, forward->now_us, report);
    }
}

void
suspicion_write(forward_t *forward, arena_t *arena, placements_t *placements)
{
    if (forward->crashes == NULL) {
        return; /* before the first step */
    }
    placements->crash_reports.crash_reports_val =
        arena_array(arena, LINK_CRASH_REPORTS_MAX,
                    sizeof(*placements->crash_reports.crash_reports_val));
    placements->crash_reports.crash_reports_len =
        crashes_write(forward->crashes, forward->now_us, forward->hosts, arena,
                      placements->crash_reports.crash_reports_val);
}

/* Returns the number of crashes: of the content, and of the parts of the
 * prompt that may have caused it. */
static uint32_t
list_crashes(const forward_t *forward, const request_t *request,
             crash_t *crashes)
{
    const pool_runner_t *runner = request->attempt.runner;
    const char *zone = runner->registration.zone;
    crash_t crash = {.fingerprint = request->fingerprint,
                     .depth = LINK_CONTENT_DEPTH,
                     .runner = runner->id_hash,
                     .zone = (uint32_t)XXH3_64bits(zone, strlen(zone)),
                     .run_time_ms = run_time_ms(forward, request),
                     .newest_run_ms = run_time_ms(forward, request),
                     .fleet_runners = count_fleet_runners(forward, runner)};
    uint32_t i;

    crashes[0] = crash;
    if (!is_writing(request)) {
        return 1;
    }
    crash.run_time_ms = writing_time_ms(forward, request);
    crash.newest_run_ms = 0;
    for (i = 0; i < request->part_count; i++) {
        crash.fingerprint = request->parts[i];
        crash.depth = i;
        crashes[i + 1] = crash;
    }
    return request->part_count + 1;
}

static void
add_crashes(forward_t *forward, const crash_t *crashes, uint32_t count)
{
    uint64_t content = crashes[0].fingerprint;
    uint32_t i;

    for (i = 0; i < count; i++) {
        crashes_add(forward->crashes, forward->now_us, &crashes[i]);
    }
    emit_log(forward, LOG_NOTICE, "suspect-reported",
             "fingerprint=%016" PRIx64 " crashes=%" PRIu32, content,
             crashes_count(forward->crashes, forward->now_us, content));
    forward->publish_due = true;
}

static void
free_silent_loss(forward_t *forward, silent_loss_t *loss)
{
    TAILQ_REMOVE(&forward->silent_losses, loss, link);
    free(loss);
}

static void
log_blocked(forward_t *forward, const request_t *request)
{
    uint64_t suspect = request->suspect;

    emit_log(forward, LOG_WARNING, "harmful",
             "fingerprint=%016" PRIx64 " subject=%s crashes=%" PRIu32
             " age_ms=%" PRId64 " hold_ms=%" PRId64,
             suspect, suspect == request->fingerprint ? "content" : "part",
             crashes_count(forward->crashes, forward->now_us, suspect),
             crashes_age_us(forward->crashes, forward->now_us, suspect) /
                 US_PER_MS,
             crashes_blocked_us(forward->crashes, forward->now_us, suspect) /
                 US_PER_MS);
}

static void
clear_subject(forward_t *forward, uint64_t fingerprint, int64_t start_us)
{
    if (crashes_complete(forward->crashes, forward->now_us, fingerprint,
                         start_us)) {
        emit_log(forward, LOG_NOTICE, "suspect-cleared",
                 "fingerprint=%016" PRIx64, fingerprint);
        forward->publish_due = true;
    }
}

static void
clear_parts(forward_t *forward, request_t *request, int64_t start_us)
{
    uint32_t i;

    request->attempt.went_on = true;
    for (i = 0; i < request->part_count; i++) {
        clear_subject(forward, request->parts[i], start_us);
    }
}

static uint32_t
run_time_ms(const forward_t *forward, const request_t *request)
{
    return (uint32_t)((forward->now_us - request->attempt.started_us) /
                      US_PER_MS);
}

/* Whether the runner has begun to respond, and may crash because of it.  Other
 * requests than streams have no response before it is complete. */
static bool
is_writing(const request_t *request)
{
    return !request->attempt.went_on && (request->type != REQUEST_STREAM ||
                                         request->attempt.response_us > 0);
}

static uint32_t
writing_time_ms(const forward_t *forward, const request_t *request)
{
    return request->attempt.response_us > 0
               ? (uint32_t)((forward->now_us - request->attempt.response_us) /
                            US_PER_MS)
               : run_time_ms(forward, request);
}

/* Whether the subject is the request's content, or a part with which its run
 * has not gone on yet. */
static bool
is_run_of(const request_t *request, uint64_t fingerprint)
{
    uint32_t i;

    if (request->fingerprint == fingerprint) {
        return true;
    }
    for (i = 0; !request->attempt.went_on && i < request->part_count; i++) {
        if (request->parts[i] == fingerprint) {
            return true;
        }
    }
    return false;
}

/* Returns the runs of other requests with the subject. */
static crash_runs_t
other_runs(const forward_t *forward, const request_t *request,
           uint64_t fingerprint)
{
    crash_runs_t runs = {0};
    const request_t *other;

    if (crashes_count(forward->crashes, forward->now_us, fingerprint) == 0) {
        return runs;
    }
    for (other = forward->requests; other != NULL; other = other->hh.next) {
        if (other == request || other->attempt.runner == NULL ||
            other->attempt.relayed || !is_run_of(other, fingerprint)) {
            continue;
        }
        runs.count++;
        if (other->attempt.started_us > runs.newest_start_us) {
            runs.newest_start_us = other->attempt.started_us;
        }
        if (fingerprint == request->fingerprint &&
            run_time_ms(forward, other) > runs.longest_ms) {
            runs.longest_ms = run_time_ms(forward, other);
        }
    }
    return runs;
}

static uint32_t
count_fleet_runners(const forward_t *forward, const pool_runner_t *lost)
{
    const pool_runner_t *runner;
    uint32_t count = 0;

    for (runner = pool_first_runner(forward->pool); runner != NULL;
         runner = runner->hh.next) {
        if (runner->listed && strcmp(runner->registration.service,
                                     lost->registration.service) == 0) {
            count++;
        }
    }
    return count;
}

/*
 * A draining host has left the directory, so that no other host tells it of
 * crashes and trials.  A caller that has no response yet can be served by
 * another host.
 */
static bool
may_claim_trial(const forward_t *forward, const request_t *request)
{
    return forward->draining_since_us == 0 || request->response_started;
}
