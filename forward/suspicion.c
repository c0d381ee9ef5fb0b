/*
 * suspicion.c - detects requests that crash the runners that run them.
 *
 * A single request that is resent to any host, and crashes a runner with all
 * its streams each time, can take down a service.  forward/crashes.h decides;
 * this file supplies what the requests of this host show.
 */
#include <inttypes.h>
#include <string.h>
#include <syslog.h>

#include <xxhash.h>

#include "forward/private.h"

/* A request that completes after all is not to be turned away for long. */
enum { RETRY_AFTER_DEFERRED_MS = 1000 };

static uint32_t run_time_ms(const forward_t *forward,
                            const request_t *request);
static crash_runs_t other_runs(const forward_t *forward,
                               const request_t *request);
static uint32_t count_fleet_runners(const forward_t *forward,
                                    const pool_runner_t *lost);
static void log_blocked(forward_t *forward, uint64_t fingerprint);

void
suspicion_start(forward_t *forward)
{
    forward->crashes = crashes_new(forward->now_us, forward->host);
}

void
suspicion_runner_lost(forward_t *forward, const request_t *request)
{
    const pool_runner_t *runner = request->attempt.runner;
    const char *zone = runner->registration.zone;

    crashes_add(
        forward->crashes, forward->now_us,
        &(crash_t){.fingerprint = request->fingerprint,
                   .runner = runner->id_hash,
                   .zone = (uint32_t)XXH3_64bits(zone, strlen(zone)),
                   .run_time_ms = run_time_ms(forward, request),
                   .fleet_runners = count_fleet_runners(forward, runner)});
    emit_log(forward, LOG_NOTICE, "suspect-reported",
             "fingerprint=%016" PRIx64 " crashes=%" PRIu32,
             request->fingerprint,
             crashes_count(forward->crashes, forward->now_us,
                           request->fingerprint));
    forward->publish_due = true;
}

void
suspicion_run_completed(forward_t *forward, const request_t *request)
{
    if (crashes_complete(forward->crashes, forward->now_us,
                         request->fingerprint, request->attempt.started_us)) {
        emit_log(forward, LOG_NOTICE, "suspect-cleared",
                 "fingerprint=%016" PRIx64, request->fingerprint);
        forward->publish_due = true;
    }
}

crash_decision_t
suspicion_decide(forward_t *forward, const request_t *request)
{
    crash_runs_t others = other_runs(forward, request);
    crash_decision_t decision = crashes_decide(
        forward->crashes, forward->now_us, request->fingerprint, &others);

    if (crashes_has_news(forward->crashes, forward->now_us,
                         request->fingerprint)) {
        forward->publish_due = true;
    }

    if (decision == CRASH_BLOCKED &&
        crashes_mark_logged(forward->crashes, request->fingerprint)) {
        log_blocked(forward, request->fingerprint);
    }
    return decision;
}

bool
suspicion_allows(forward_t *forward, request_t *request)
{
    switch (suspicion_decide(forward, request)) {
    case CRASH_BLOCKED:
        refuse_request(forward, request, REFUSE_HARMFUL);
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
                                            request->fingerprint);

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

static void
log_blocked(forward_t *forward, uint64_t fingerprint)
{
    emit_log(
        forward, LOG_WARNING, "harmful",
        "fingerprint=%016" PRIx64 " crashes=%" PRIu32 " hold_ms=%" PRId64,
        fingerprint,
        crashes_count(forward->crashes, forward->now_us, fingerprint),
        crashes_blocked_us(forward->crashes, forward->now_us, fingerprint) /
            US_PER_MS);
}

static uint32_t
run_time_ms(const forward_t *forward, const request_t *request)
{
    return (uint32_t)((forward->now_us - request->attempt.started_us) /
                      US_PER_MS);
}

/* Returns the runs of other requests with the same content. */
static crash_runs_t
other_runs(const forward_t *forward, const request_t *request)
{
    crash_runs_t runs = {0};
    const request_t *other;

    if (crashes_count(forward->crashes, forward->now_us,
                      request->fingerprint) == 0) {
        return runs;
    }
    for (other = forward->requests; other != NULL; other = other->hh.next) {
        if (other == request || other->attempt.runner == NULL ||
            other->fingerprint != request->fingerprint) {
            continue;
        }
        runs.count++;
        if (other->attempt.started_us > runs.newest_start_us) {
            runs.newest_start_us = other->attempt.started_us;
        }
        if (run_time_ms(forward, other) > runs.longest_ms) {
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
