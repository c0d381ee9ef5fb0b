/*
 * suspicion.c - detects requests that crash the runners that run them.
 *
 * A single request that is resent to any host, and crashes a runner with all
 * its streams each time, can take down a service.  policy/suspect.h evaluates
 * the losses; this file supplies them, and sends the results to the other
 * hosts in notes.  Withdrawals are sent immediately; all else only after the
 * registry has confirmed that the runners ended: a host that loses its network
 * connection to live runners sees the same losses, and must not cause other
 * hosts to refuse requests that only it cannot serve.
 */
#include <inttypes.h>
#include <string.h>
#include <syslog.h>

#include "forward/private.h"

/* A crashed runner restarts, or its registry entry expires, within this time:
 * three heartbeats of 1.2 s, and a second or two for the store. */
#define CONFIRM_TIMEOUT_US ((int64_t)6000000)

static void add_unconfirmed(forward_t *forward,
                            const suspect_report_t *suspect);
static void settle_unconfirmed(forward_t *forward);
static bool is_confirmed(const forward_t *forward,
                         const suspect_report_t *suspect);
static void log_cleared(forward_t *forward, uint64_t fingerprint,
                        const char *reason);
static void publish_note(forward_t *forward, const suspect_report_t *suspect);
static void count_listed_runners(const forward_t *forward,
                                 const pool_runner_t *runner,
                                 suspect_loss_t *loss);

void
suspicion_start(forward_t *forward)
{
    forward->suspects = suspects_new(forward->now_us, &suspect_limits_default);
}

int64_t
suspicion_due_us(const forward_t *forward)
{
    return forward->suspects != NULL ? suspects_due_us(forward->suspects)
                                     : INT64_MAX;
}

void
suspicion_runner_lost(forward_t *forward, const request_t *request)
{
    const pool_runner_t *runner = request->attempt.runner;
    int64_t run_time_us = forward->now_us - request->attempt.started_us;
    suspect_loss_t loss = {
        .runner = runner->registration.id,
        .zone = runner->registration.zone,
        .fingerprints = &request->fingerprint,
        .run_time_us = &run_time_us,
        .count = 1,
    };

    forward->evidence[forward->evidence_count % EVIDENCE_MAX] = (evidence_t){
        .fingerprint = request->fingerprint,
        .runner = runner->id_hash,
        .serial = runner->serial,
    };
    forward->evidence_count++;
    count_listed_runners(forward, runner, &loss);
    suspects_add_loss(forward->suspects, forward->now_us, &loss);
}

void
suspicion_run_completed(forward_t *forward, const request_t *request)
{
    if (suspects_loss_count(forward->suspects, request->fingerprint) > 0) {
        log_cleared(forward, request->fingerprint, "completed");
    }
    suspects_clear(forward->suspects, request->fingerprint);
}

suspect_decision_t
suspicion_decide(const forward_t *forward, const request_t *request)
{
    return suspects_decide(forward->suspects, forward->now_us,
                           request->fingerprint, 0);
}

uint32_t
suspicion_retry_after_ms(const forward_t *forward, const request_t *request)
{
    int64_t remaining_us = suspects_blocked_us(
        forward->suspects, forward->now_us, request->fingerprint);

    return (uint32_t)((remaining_us > 0 ? remaining_us
                                        : suspect_limits_default.window_us) /
                      US_PER_MS);
}

void
suspicion_evaluate(forward_t *forward)
{
    if (suspects_due_us(forward->suspects) <= forward->now_us) {
        suspects_step(forward->suspects, forward->now_us);
    }
}

void
suspicion_publish(forward_t *forward)
{
    suspects_t *suspects = forward->suspects;
    uint64_t fingerprint;
    suspect_report_t suspect;

    while (suspects_next_report(suspects, &suspect)) {
        if (suspect.withdrawn) {
            publish_note(forward, &suspect);
        }
        else {
            add_unconfirmed(forward, &suspect);
        }
    }
    settle_unconfirmed(forward);
    while (suspects_next_blocked(suspects, &fingerprint)) {
        emit_log(forward, LOG_WARNING, "harmful",
                 "fingerprint=%016" PRIx64 " hold_ms=%" PRId64, fingerprint,
                 suspects_blocked_us(suspects, forward->now_us, fingerprint) /
                     US_PER_MS);
    }
}

/* Replaces the oldest entry when the table is full. */
static void
add_unconfirmed(forward_t *forward, const suspect_report_t *suspect)
{
    unconfirmed_suspect_t *oldest = &forward->unconfirmed[0];
    size_t i;

    for (i = 1; i < UNCONFIRMED_MAX; i++) {
        if (forward->unconfirmed[i].expiry_us < oldest->expiry_us) {
            oldest = &forward->unconfirmed[i];
        }
    }
    if (oldest->expiry_us != 0) {
        emit_log(forward, LOG_NOTICE, "suspect-dropped",
                 "fingerprint=%016" PRIx64 " blocked=%d",
                 oldest->suspect.fingerprint, oldest->suspect.is_blocked);
    }
    oldest->suspect = *suspect;
    oldest->expiry_us = forward->now_us + CONFIRM_TIMEOUT_US;
}

/*
 * Sends the findings that the registry has confirmed and drops those that it
 * has not confirmed in time; a block of the request is then lifted on this
 * host as well.  Nothing is dropped while the store is unavailable, since the
 * registry cannot confirm anything.
 */
static void
settle_unconfirmed(forward_t *forward)
{
    bool registry_current =
        forward->now_us - forward->contact_us < CONFIRM_TIMEOUT_US / 2;
    size_t i;

    for (i = 0; i < UNCONFIRMED_MAX; i++) {
        unconfirmed_suspect_t *entry = &forward->unconfirmed[i];

        if (entry->expiry_us == 0) {
            continue;
        }
        if (is_confirmed(forward, &entry->suspect)) {
            entry->expiry_us = 0;
            publish_note(forward, &entry->suspect);
        }
        else if (registry_current && forward->now_us >= entry->expiry_us) {
            entry->expiry_us = 0;
            if (entry->suspect.is_blocked) {
                log_cleared(forward, entry->suspect.fingerprint,
                            "unconfirmed");
                suspects_clear(forward->suspects, entry->suspect.fingerprint);
            }
        }
    }
}

static bool
is_confirmed(const forward_t *forward, const suspect_report_t *suspect)
{
    size_t i;

    for (i = 0; i < EVIDENCE_MAX && i < forward->evidence_count; i++) {
        const evidence_t *evidence = &forward->evidence[i];

        if (evidence->fingerprint == suspect->fingerprint &&
            (suspect->is_blocked ||
             (uint32_t)evidence->runner == suspect->loss >> 32) &&
            pool_runner_has_ended(forward->pool, evidence->runner,
                                  evidence->serial)) {
            return true;
        }
    }
    return false;
}

static void
log_cleared(forward_t *forward, uint64_t fingerprint, const char *reason)
{
    emit_log(forward, LOG_NOTICE, "suspect-cleared",
             "fingerprint=%016" PRIx64 " reason=%s", fingerprint, reason);
}

static void
publish_note(forward_t *forward, const suspect_report_t *suspect)
{
    if (!suspect->is_blocked && !suspect->withdrawn) {
        emit_log(forward, LOG_NOTICE, "suspect-reported",
                 "fingerprint=%016" PRIx64, suspect->fingerprint);
    }
    note_queue(forward, &(finding_t){.kind = NOTE_SUSPECT,
                                     .finding_t_u.suspect = *suspect});
}

static void
count_listed_runners(const forward_t *forward, const pool_runner_t *lost,
                     suspect_loss_t *loss)
{
    const pool_runner_t *runner;

    for (runner = pool_first_runner(forward->pool); runner != NULL;
         runner = runner->hh.next) {
        if (!runner->listed || strcmp(runner->registration.service,
                                      lost->registration.service) != 0) {
            continue;
        }
        loss->fleet_runners++;
        if (runner->zone == lost->zone) {
            loss->zone_runners++;
        }
    }
}
