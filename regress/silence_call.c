/* silence_call.c - what runners do with probes and requests for copies. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "regress/silence_private.h"

enum { COPY_MS = 50, REPORT_AGE_MS = 300, DECIMAL = 10 };

size_t
silence_runner_of_id(const char *id)
{
    return strtoul(id + 1, NULL, DECIMAL);
}

size_t
silence_runner_of_address(const char *address)
{
    return strtoul(address + strlen("10.0.0."), NULL, DECIMAL);
}

static call_t *
add_call(void)
{
    size_t i;

    for (i = 0; i < CALLS_MAX; i++) {
        if (!silence.calls[i].active) {
            return &silence.calls[i];
        }
    }
    abort();
}

void
silence_probe(size_t host, const forward_action_t *action)
{
    call_t *call = add_call();

    *call = (call_t){.active = true,
                     .host = host,
                     .runner = silence_runner_of_id(action->u.probe.runner),
                     .sent_ms = silence.now_ms,
                     .timeout_ms = action->u.probe.timeout_ms};
    (void)snprintf(call->runner_id, sizeof(call->runner_id), "%s",
                   action->u.probe.runner);
}

void
silence_copy(size_t host, const forward_action_t *action)
{
    call_t *call = add_call();

    *call =
        (call_t){.active = true,
                 .copy = true,
                 .host = host,
                 .runner = silence_runner_of_address(action->u.copy.address),
                 .to = silence_runner_of_address(action->u.copy.to),
                 .request = action->number,
                 .attempt = action->u.copy.attempt,
                 .sent_ms = silence.now_ms,
                 .timeout_ms = action->u.copy.timeout_ms};
}

static bool
responds(size_t runner)
{
    return silence.runners[runner].loss == LOSS_NONE &&
           !silence_is_silent(&silence.runners[runner]);
}

static void
finish_probe(const call_t *call, probe_outcome_t outcome)
{
    const char *ids[REQUESTS_MAX];
    runner_report_t report = {.runs = ids};
    forward_event_t event = {.kind = FORWARD_PROBE_RESULT};
    size_t i;

    for (i = silence.first_run; i < silence.run_count; i++) {
        const run_t *run = &silence.runs[i];

        if (run->runner != call->runner || run->state != RUN_WORKING) {
            continue;
        }
        report.active++;
        if (run->first_event_ms > 0 && report.run_count < REQUESTS_MAX &&
            silence.now_ms - run->first_event_ms >= REPORT_AGE_MS) {
            ids[report.run_count] = silence.requests[run->request].id;
            report.run_count++;
        }
    }
    event.u.probed = (forward_probe_result_t){
        .runner = call->runner_id,
        .outcome = outcome,
        .started_ms = outcome == PROBE_ANSWERED
                          ? silence.runners[call->runner].started_ms
                          : 0,
        .asked_us = call->sent_ms * US_PER_MS,
        .report =
            outcome == PROBE_ANSWERED && silence.runners[call->runner].engine
                ? &report
                : NULL};
    silence_deliver(call->host, &event);
}

static void
finish_copy(const call_t *call, bool done)
{
    request_t *request = &silence.requests[call->request];
    forward_event_t event = {.kind = FORWARD_COPY_RESULT};
    char name[SIM_NAME_BYTES];

    (void)snprintf(name, sizeof(name), "c%zu", call->request);
    if (done && !request->ended) {
        request->copy_runner = call->to;
        request->copy_starts = silence.runners[call->to].starts;
    }
    event.u.copied = (forward_copy_result_t){.number = call->request,
                                             .attempt = call->attempt,
                                             .name = done ? name : NULL};
    silence_deliver(call->host, &event);
}

static probe_outcome_t
failed_outcome(const call_t *call)
{
    const runner_t *runner = &silence.runners[call->runner];

    return runner->loss == LOSS_NONE && runner->accepts ? PROBE_SILENT
                                                        : PROBE_UNREACHABLE;
}

static void
advance_call(call_t *call)
{
    int64_t since_ms = silence.now_ms - call->sent_ms;
    bool copies = call->copy && responds(call->to);
    bool done = responds(call->runner) &&
                (call->copy ? copies && since_ms >= COPY_MS : since_ms > 0);
    bool failed =
        since_ms >= call->timeout_ms ||
        (since_ms > 0 && silence.runners[call->runner].loss == LOSS_RESET);

    if (!done && !failed) {
        return;
    }
    call->active = false;
    if (call->copy) {
        finish_copy(call, done);
    }
    else {
        finish_probe(call, done ? PROBE_ANSWERED : failed_outcome(call));
    }
}

void
silence_run_calls(void)
{
    size_t i;

    for (i = 0; i < CALLS_MAX; i++) {
        if (silence.calls[i].active) {
            advance_call(&silence.calls[i]);
        }
    }
}
