/* watchdog.c - time limits, and signs of life asked of silent runners. */
#include <string.h>

#include "forward/private.h"

enum {
    /* Silence of a running stream after which its runner is probed: more
     * than the gap that a prompt read beside it makes (some 180 ms with six
     * steps an event), and early enough to go on within 700 ms. */
    PROBE_STREAM_MS = 220,
    /* The same before the first event, while the prompt is read. */
    PROBE_PROMPT_MS = 500,
    PROBE_PLAIN_MS = 300,
    /* A runner that lives answers within a round trip; a busy host may be
     * late by this much in reading it. */
    PROBE_TIMEOUT_MS = 100,
    /* Silence of a stream whose runner answers probes: its connection is
     * taken for dead. */
    STALL_STREAM_MS = 1500,
    STALL_PROMPT_MS = 8000,
    /* A report is some hundred ms old; what is younger may not be in it. */
    REPORT_AGE_MS = 800,
    /* Reports in a row that lack a request before it is taken for lost. */
    MISSED_MAX = 2,
};

static void take_report(forward_t *forward, request_t *request,
                        const runner_report_t *report);
static bool may_be_missed(const forward_t *forward, const attempt_t *attempt);
static bool has_request(const runner_report_t *report,
                        const request_t *request);
static int64_t probe_after_us(const request_t *request);
static int64_t stall_after_us(const request_t *request);

void
watch_request(forward_t *forward, request_t *request)
{
    attempt_t *attempt = &request->attempt;
    forward_order_t *order;
    int64_t since_us;

    if (forward->now_us >= request->deadline_us) {
        refuse(forward, request, REFUSE_TIMEOUT);
        return;
    }
    if (attempt->runner == NULL) {
        if (request->retry_at_us > 0 &&
            forward->now_us >= request->retry_at_us) {
            retry_waiting(forward, request);
        }
        return;
    }
    if (request->type == REQUEST_STREAM &&
        forward->now_us - attempt->heard_us >= stall_after_us(request)) {
        recover(forward, request, SEND_STALLED);
        return;
    }
    copies_check(forward, request);
    since_us = attempt->probed_us > attempt->heard_us ? attempt->probed_us
                                                      : attempt->heard_us;
    if (attempt->probing ||
        forward->now_us - since_us < probe_after_us(request)) {
        return;
    }
    attempt->probing = true;
    attempt->probed_us = forward->now_us;
    order = order_new(forward, ORDER_TO_PROBE, request->number);
    order->u.probe.runner =
        arena_strdup(&forward->orders->arena, attempt->runner->is.id);
    order->u.probe.address =
        arena_strdup(&forward->orders->arena, attempt->runner->is.address);
    order->u.probe.timeout_ms = PROBE_TIMEOUT_MS;
}

void
watch_after_pause(forward_t *forward, int64_t now_us)
{
    request_t *request;

    for (request = forward->requests; request != NULL;
         request = request->hh.next) {
        attempt_t *attempt = &request->attempt;

        if (attempt->runner != NULL) {
            attempt->heard_us = now_us;
            attempt->probing = false;
        }
    }
}

int64_t
watch_due_us(const request_t *request)
{
    const attempt_t *attempt = &request->attempt;
    int64_t due_us = request->deadline_us;
    int64_t at_us = INT64_MAX;

    if (attempt->runner == NULL) {
        at_us = request->retry_at_us > 0 ? request->retry_at_us : INT64_MAX;
        return at_us < due_us ? at_us : due_us;
    }
    if (request->type == REQUEST_STREAM) {
        at_us = attempt->heard_us + stall_after_us(request);
        due_us = at_us < due_us ? at_us : due_us;
    }
    at_us = copies_due_us(request);
    due_us = at_us < due_us ? at_us : due_us;
    if (!attempt->probing) {
        at_us = (attempt->probed_us > attempt->heard_us ? attempt->probed_us
                                                        : attempt->heard_us) +
                probe_after_us(request);
        due_us = at_us < due_us ? at_us : due_us;
    }
    return due_us;
}

/* A runner without a sign of life has lost everything that it had. */
void
take_probed(forward_t *forward, const forward_probed_t *probed)
{
    request_t *request;
    request_t *next;

    HASH_ITER(hh, forward->requests, request, next)
    {
        attempt_t *attempt = &request->attempt;

        if (attempt->runner == NULL ||
            strcmp(attempt->runner->is.id, probed->runner) != 0) {
            continue;
        }
        if (probed->answered) {
            attempt->probing = false;
            take_report(forward, request, probed->report);
            continue;
        }
        if (attempt->heard_us > attempt->probed_us && attempt->probing) {
            attempt->probing = false;
            continue;
        }
        if (attempt->probing || forward->now_us - attempt->heard_us >=
                                    (int64_t)PROBE_TIMEOUT_MS * US_PER_MS) {
            recover(forward, request, SEND_SILENT);
        }
    }
}

/*
 * Load: runners drop requests without a word, or start again so soon that a
 * probe finds them well; the caller would wait until the stream has stalled.
 */
static void
take_report(forward_t *forward, request_t *request,
            const runner_report_t *report)
{
    attempt_t *attempt = &request->attempt;

    if (report == NULL || request->type != REQUEST_STREAM ||
        !may_be_missed(forward, attempt)) {
        return;
    }
    attempt->missed = has_request(report, request) ? 0 : attempt->missed + 1;
    if (attempt->missed >= MISSED_MAX) {
        recover(forward, request, SEND_FORGOTTEN);
    }
}

static bool
may_be_missed(const forward_t *forward, const attempt_t *attempt)
{
    int64_t since_us =
        attempt->events > 0 ? attempt->first_us : attempt->started_us;

    return forward->now_us - since_us >= (int64_t)REPORT_AGE_MS * US_PER_MS &&
           forward->now_us - attempt->heard_us >=
               (int64_t)PROBE_STREAM_MS * US_PER_MS;
}

/* What has given nothing yet is counted, and not named. */
static bool
has_request(const runner_report_t *report, const request_t *request)
{
    size_t i;

    for (i = 0; i < report->run_count; i++) {
        if (strcmp(report->runs[i], request->id) == 0) {
            return true;
        }
    }
    return request->attempt.events == 0 &&
           (uint64_t)report->active + report->queued > report->run_count;
}

static int64_t
probe_after_us(const request_t *request)
{
    if (request->type != REQUEST_STREAM) {
        return (int64_t)PROBE_PLAIN_MS * US_PER_MS;
    }
    return (int64_t)(request->attempt.events > 0 ? PROBE_STREAM_MS
                                                 : PROBE_PROMPT_MS) *
           US_PER_MS;
}

static int64_t
stall_after_us(const request_t *request)
{
    return (int64_t)(request->attempt.events > 0 ? STALL_STREAM_MS
                                                 : STALL_PROMPT_MS) *
           US_PER_MS;
}
