/* silence_runner.c - what runners do with runs. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "regress/silence_private.h"

enum {
    RESTORED_MS = 60, /* until the first event of a run that has a copy */
    KEEPALIVE_IDLE_MS = 3000,
    KEEPALIVE_INTERVAL_MS = 1000,
    STATUS_OK = 200,
    STATUS_MISDIRECTED = 421,
    STATUS_UNAVAILABLE = 503,
};

bool
silence_is_silent(const runner_t *runner)
{
    return silence.now_ms < runner->silent_until_ms;
}

/* Whether the runner learns that a run is cancelled. */
static bool
is_reached(const runner_t *runner)
{
    return runner->loss == LOSS_NONE &&
           (!silence_is_silent(runner) || runner->hears);
}

static bool
is_working(const run_t *run)
{
    return run->state == RUN_WORKING && run->work_ms < run->total_ms;
}

static bool
copy_exists(const request_t *request, const run_t *previous, size_t runner)
{
    uint32_t starts = silence.runners[runner].starts;

    if (request->copy_runner == runner && request->copy_starts == starts) {
        return true;
    }
    return previous != NULL && previous->standby == runner &&
           previous->standby_starts == starts &&
           previous->first_event_ms > 0 &&
           silence.now_ms - previous->first_event_ms >= COPY_BEHIND_MS;
}

static void
set_work(run_t *run, const request_t *request)
{
    if (request->type != REQUEST_STREAM) {
        run->head_ms = request->work_ms / 2;
        run->total_ms = request->work_ms;
        return;
    }
    run->first_ms = run->restores ? RESTORED_MS : request->work_ms;
    run->head_ms = run->first_ms - (silence.sends_head_early ? EVENT_MS : 0);
    run->total_ms =
        run->first_ms + (request->last_id - run->first_id) * EVENT_MS;
}

void
silence_send(const forward_action_t *action)
{
    const send_action_t *send = &action->u.send;
    request_t *request = &silence.requests[action->number];
    run_t *run = &silence.runs[silence.run_count];
    run_t *previous =
        request->run != SIZE_MAX ? &silence.runs[request->run] : NULL;

    if (silence.run_count == RUNS_MAX) {
        abort();
    }
    if (previous != NULL && previous->accepted && previous->closed &&
        previous->loss == LOSS_NONE) {
        silence.result.repeated++;
    }
    *run = (run_t){.state = RUN_CONNECTING,
                   .request = action->number,
                   .attempt = send->attempt,
                   .runner = silence_runner_of_id(send->runner),
                   .connect_until_ms = silence.now_ms + send->connect_ms,
                   .restores = send->restore_address != NULL,
                   .first_id = send->last_event_id + 1,
                   .sent_id = send->last_event_id,
                   .standby = SIZE_MAX,
                   .previous = request->run};
    (void)snprintf(run->runner_id, sizeof(run->runner_id), "%s", send->runner);
    run->has_copy =
        run->restores && copy_exists(request, previous, run->runner);
    request->copy_runner = SIZE_MAX;
    if (send->backup_address != NULL) {
        run->standby = silence_runner_of_address(send->backup_address);
        run->standby_starts = silence.runners[run->standby].starts;
    }
    set_work(run, request);
    request->run = silence.run_count;
    silence.run_count++;
}

void
silence_cancel(const forward_action_t *action)
{
    size_t index = silence.requests[action->number].run;
    run_t *run;

    while (index != SIZE_MAX &&
           silence.runs[index].attempt != action->u.attempt) {
        index = silence.runs[index].previous;
    }
    if (index == SIZE_MAX) {
        return;
    }
    run = &silence.runs[index];
    run->closed = true;
    if (run->state == RUN_CONNECTING || run->state == RUN_LOST) {
        run->state = RUN_ENDED;
    }
}

void
silence_pass_on(const forward_action_t *action)
{
    run_t *run = &silence.runs[silence.requests[action->number].run];

    run->passed = run->attempt == action->u.attempt;
}

static void
deliver_run(const run_t *run, const forward_event_t *event)
{
    if (!run->closed) {
        silence_deliver(silence.requests[run->request].host, event);
    }
}

static void
deliver_head(run_t *run, uint32_t status)
{
    forward_event_t event = {.kind = FORWARD_RESPONSE_HEAD};

    run->head_sent = true;
    event.u.head = (forward_response_head_t){
        .number = run->request,
        .attempt = run->attempt,
        .status = status,
        .authentic = true,
        .event_stream = true,
        .connected_min_us = run->connected_ms * US_PER_MS,
        .connected_max_us = silence.now_ms * US_PER_MS,
        .not_run = status != STATUS_OK};
    deliver_run(run, &event);
}

static void
deliver_end(run_t *run, send_result_t result)
{
    forward_event_t event = {.kind = FORWARD_SEND_END};

    run->state = RUN_ENDED;
    event.u.end = (forward_send_end_t){
        .number = run->request, .attempt = run->attempt, .result = result};
    deliver_run(run, &event);
}

static void
connect_run(run_t *run)
{
    runner_t *runner = &silence.runners[run->runner];

    if (runner->loss == LOSS_RESET) {
        deliver_end(run, SEND_NOT_SENT);
        return;
    }
    if (runner->loss == LOSS_DARK ||
        (silence_is_silent(runner) && !runner->accepts)) {
        if (silence.now_ms >= run->connect_until_ms) {
            deliver_end(run, SEND_NOT_SENT);
        }
        return;
    }
    run->state = RUN_ACCEPTED;
    run->accepted = true;
    run->connected_ms = silence.now_ms;
    silence.result.runs++;
    silence_begin_onset(runner, ONSET_ACCEPT);
}

static void
begin_work(run_t *run)
{
    request_t *request = &silence.requests[run->request];

    run->state = RUN_WORKING;
    run->worked = true;
    request->worked++;
    if (request->type == REQUEST_UNSAFE && request->worked > 1) {
        silence.result.double_unsafe++;
    }
    if (request->type == REQUEST_STREAM && run->previous != SIZE_MAX) {
        run->twice_check_ms = silence.now_ms + TWICE_MS;
    }
}

static void
read_request(run_t *run)
{
    const runner_t *runner = &silence.runners[run->runner];
    bool misdirected = strcmp(run->runner_id, runner->id) != 0;

    if (silence_is_silent(runner) && !runner->works) {
        return;
    }
    if (!misdirected && (!run->restores || run->has_copy)) {
        begin_work(run);
        return;
    }
    if (!silence_is_silent(runner)) {
        deliver_head(run,
                     misdirected ? STATUS_MISDIRECTED : STATUS_UNAVAILABLE);
        deliver_end(run, SEND_COMPLETE);
    }
}

static void
record_gap(const run_t *run)
{
    const request_t *request = &silence.requests[run->request];
    const run_t *before = request->event_run != SIZE_MAX
                              ? &silence.runs[request->event_run]
                              : NULL;
    silence_gaps_t *gaps;

    if (before == NULL || before == run || before->loss == LOSS_NONE) {
        return;
    }
    gaps = before->loss == LOSS_RESET ? &silence.result.reset
                                      : &silence.result.dark;
    gaps = before->lost_silent ? &silence.result.lost_silent : gaps;
    if (gaps->count < SILENCE_GAPS_MAX) {
        gaps->ms[gaps->count] = (uint32_t)(silence.now_ms - request->event_ms);
        gaps->count++;
    }
}

/* Events that were held back by a silence are read at once. */
static void
deliver_events(run_t *run, int64_t last_id)
{
    request_t *request = &silence.requests[run->request];
    forward_event_t event = {.kind = FORWARD_STREAM_PROGRESS};

    run->sent_id = last_id;
    event.u.progress = (forward_progress_t){.number = run->request,
                                            .attempt = run->attempt,
                                            .last_event_id = last_id};
    if (run->closed) {
        return;
    }
    record_gap(run);
    request->event_id = last_id;
    request->event_ms = silence.now_ms;
    request->event_run = (size_t)(run - silence.runs);
    deliver_run(run, &event);
}

static int64_t
produced_id(const run_t *run)
{
    int64_t last_id = silence.requests[run->request].last_id;
    int64_t id;

    if (run->first_ms == 0 || run->work_ms < run->first_ms) {
        return run->first_id - 1;
    }
    id = run->first_id + (run->work_ms - run->first_ms) / EVENT_MS;
    return id < last_id ? id : last_id;
}

static void
advance_work(run_t *run)
{
    runner_t *runner = &silence.runners[run->runner];
    bool plain = silence.requests[run->request].type != REQUEST_STREAM;
    int64_t last_id;

    if (silence_is_silent(runner) && !runner->works) {
        return;
    }
    run->work_ms += TICK_MS;
    last_id = produced_id(run);
    if (!plain && run->first_event_ms == 0 && last_id >= run->first_id) {
        run->first_event_ms = silence.now_ms;
    }
    if (silence_is_silent(runner)) {
        return;
    }
    if (!run->head_sent &&
        (run->work_ms >= run->head_ms || run->work_ms >= run->total_ms)) {
        deliver_head(run, STATUS_OK);
        silence_begin_onset(runner, ONSET_HEAD);
    }
    if (!plain && !run->passed) {
        return;
    }
    if (!plain && last_id > run->sent_id && !silence_is_silent(runner)) {
        deliver_events(run, last_id);
        silence_begin_onset(runner, ONSET_EVENT);
    }
    if (run->work_ms >= run->total_ms && run->state == RUN_WORKING &&
        !silence_is_silent(runner)) {
        deliver_end(run, SEND_COMPLETE);
    }
}

/* A plain request that was read in a silence runs to its end. */
static void
end_cancelled(run_t *run)
{
    if (run->state == RUN_ACCEPTED && !silence.runners[run->runner].hears &&
        silence.requests[run->request].type != REQUEST_STREAM) {
        begin_work(run);
    }
    run->state = RUN_ENDED;
}

static void
advance_run(run_t *run)
{
    if (run->closed && is_reached(&silence.runners[run->runner])) {
        end_cancelled(run);
        return;
    }
    if (run->state == RUN_CONNECTING) {
        connect_run(run);
    }
    if (run->state == RUN_ACCEPTED) {
        read_request(run);
    }
    else if (run->state == RUN_WORKING) {
        advance_work(run);
    }
    else if (run->state == RUN_LOST && run->reset_ms > 0 &&
             silence.now_ms >= run->reset_ms) {
        deliver_end(run, SEND_BROKEN);
    }
}

static void
check_twice(run_t *run)
{
    size_t index = run->previous;

    if (run->twice_check_ms == 0 || silence.now_ms < run->twice_check_ms) {
        return;
    }
    run->twice_check_ms = 0;
    for (; index != SIZE_MAX; index = silence.runs[index].previous) {
        const run_t *earlier = &silence.runs[index];

        if (!is_working(earlier) || earlier->runner == run->runner) {
            continue;
        }
        if (is_reached(&silence.runners[earlier->runner])) {
            silence.result.double_streams++;
        }
        else {
            silence.result.overlaps++;
        }
    }
}

void
silence_lose_runs(size_t runner)
{
    loss_t loss = silence.runners[runner].loss;
    size_t i;

    for (i = silence.first_run; i < silence.run_count; i++) {
        run_t *run = &silence.runs[i];

        if (run->runner != runner ||
            (run->state != RUN_ACCEPTED && run->state != RUN_WORKING)) {
            continue;
        }
        if (run->closed) {
            run->state = RUN_ENDED;
            continue;
        }
        run->loss = loss;
        run->lost_silent = silence.runners[runner].lost_silent;
        run->state = RUN_LOST;
        silence.requests[run->request].lost = true;
        if (loss == LOSS_RESET) {
            deliver_end(run, SEND_BROKEN);
        }
    }
}

void
silence_reset_lost_runs(size_t runner)
{
    int64_t idle_ms = silence.runners[runner].lost_ms + KEEPALIVE_IDLE_MS;
    size_t i;

    for (i = silence.first_run; i < silence.run_count; i++) {
        run_t *run = &silence.runs[i];

        if (run->runner == runner && run->state == RUN_LOST &&
            run->reset_ms == 0) {
            run->reset_ms =
                (silence.now_ms > idle_ms ? silence.now_ms : idle_ms) +
                (int64_t)sim_draw(&silence.reset_rng_state,
                                  KEEPALIVE_INTERVAL_MS);
        }
    }
}

void
silence_run_runners(void)
{
    size_t i;

    while (silence.first_run < silence.run_count &&
           silence.runs[silence.first_run].state == RUN_ENDED &&
           silence.runs[silence.first_run].twice_check_ms == 0) {
        silence.first_run++;
    }
    for (i = silence.first_run; i < silence.run_count; i++) {
        if (silence.runs[i].state != RUN_ENDED) {
            advance_run(&silence.runs[i]);
        }
    }
    for (i = silence.first_run; i < silence.run_count; i++) {
        check_twice(&silence.runs[i]);
    }
}
