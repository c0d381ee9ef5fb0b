/*
 * suspicion.c - requests that crash the runners that run them.
 *
 * Answers the load of one request that comes again and again, to any host,
 * and takes a runner with all its streams each time.  policy/suspect.h
 * judges; here are its inputs.  Hosts tell each other in notes.
 */
#include <inttypes.h>
#include <string.h>
#include <syslog.h>

#include "forward/private.h"

static void count_runners(const forward_t *forward,
                          const pool_runner_t *runner, suspect_loss_t *loss);

void
suspicion_start(forward_t *forward)
{
    forward->suspects = suspects_new(forward->now_us, &suspect_limits_usual);
}

int64_t
suspicion_due_us(const forward_t *forward)
{
    return forward->suspects != NULL ? suspects_due_us(forward->suspects)
                                     : INT64_MAX;
}

void
suspicion_lost(forward_t *forward, const request_t *request)
{
    const pool_runner_t *runner = request->attempt.runner;
    int64_t ran_us = forward->now_us - request->attempt.started_us;
    suspect_loss_t loss = {
        .runner = runner->is.id,
        .zone = runner->is.zone,
        .fingerprints = &request->fingerprint,
        .ran_us = &ran_us,
        .count = 1,
    };

    count_runners(forward, runner, &loss);
    suspects_loss(forward->suspects, forward->now_us, &loss);
}

void
suspicion_answered(forward_t *forward, const request_t *request)
{
    suspects_finished(forward->suspects, request->fingerprint);
}

suspect_verdict_t
suspicion_verdict(const forward_t *forward, const request_t *request)
{
    return suspects_verdict(forward->suspects, forward->now_us,
                            request->fingerprint, 0);
}

uint32_t
suspicion_wait_ms(const forward_t *forward, const request_t *request)
{
    int64_t held_us = suspects_held_us(forward->suspects, forward->now_us,
                                       request->fingerprint);

    return (
        uint32_t)((held_us > 0 ? held_us : suspect_limits_usual.window_us) /
                  US_PER_MS);
}

void
suspicion_judge(forward_t *forward)
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
    suspect_t suspect;

    while (suspects_next_note(suspects, &suspect)) {
        if (!suspect.convicted && !suspect.withdrawn) {
            tell(forward, LOG_NOTICE, "accused", "fingerprint=%016" PRIx64,
                 suspect.fingerprint);
        }
        note_add(forward, &(finding_t){.kind = NOTE_SUSPECT,
                                       .finding_t_u.suspect = suspect});
    }
    while (suspects_next_convicted(suspects, &fingerprint)) {
        tell(forward, LOG_WARNING, "harmful",
             "fingerprint=%016" PRIx64 " hold_ms=%" PRId64, fingerprint,
             suspects_held_us(suspects, forward->now_us, fingerprint) /
                 US_PER_MS);
    }
}

static void
count_runners(const forward_t *forward, const pool_runner_t *lost,
              suspect_loss_t *loss)
{
    const pool_runner_t *runner;

    for (runner = pool_first(forward->pool); runner != NULL;
         runner = runner->hh.next) {
        if (!runner->listed ||
            strcmp(runner->is.service, lost->is.service) != 0) {
            continue;
        }
        loss->fleet_runners++;
        if (runner->zone == lost->zone) {
            loss->zone_runners++;
        }
    }
}
