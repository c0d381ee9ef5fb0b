/* partition_runner.c - the runners of partition_sim.h's simulation. */
#include "regress/partition_private.h"

enum {
    PREFILL_MIN_MS = 300,
    PREFILL_RANGE_MS = 701,
    RESTORE_MS = 60,
    PLAIN_MIN_MS = 15,
    PLAIN_RANGE_MS = 16,
    EVENT_MS = 40,
    EVENTS = 75,
    FAILED_RATIO = 8, /* one in so many plain runs ends in an error */
};

/* Drawn apart, so that the other draws of a seed stay as they are. */
static bool
run_fails(size_t leg)
{
    uint64_t hash = (uint64_t)leg * 0x9e3779b97f4a7c15U;

    return (hash >> 33) % FAILED_RATIO == 0;
}

cut_t *
cut_of_leg(const cut_leg_t *leg)
{
    return leg->runner != CUT_NONE
               ? cut_of_path(cut_sim.hops[leg->hop].host, leg->runner)
               : NULL;
}

void
cut_push_end(int64_t delay_ms, size_t leg, send_result_t result)
{
    forward_event_t reply = {.kind = FORWARD_SEND_END, .u.end.result = result};

    cut_push_reply(delay_ms, leg, &reply);
}

void
cut_push_head(size_t leg, uint32_t status, bool not_run)
{
    forward_event_t reply = {.kind = FORWARD_RESPONSE_HEAD};

    reply.u.head = (forward_response_head_t){.status = status,
                                             .authentic = true,
                                             .event_stream = true,
                                             .not_run = not_run};
    cut_push_reply(CUT_ONE_WAY_MS, leg, &reply);
}

static void
remove_run(size_t index)
{
    cut_leg_t *leg = &cut_sim.legs[index];
    cut_runner_t *runner;
    size_t i;

    if (!leg->running) {
        return;
    }
    leg->running = false;
    runner = &cut_sim.runners[leg->runner];
    for (i = 0; i < runner->run_count; i++) {
        if (runner->runs[i] == index) {
            runner->run_count--;
            runner->runs[i] = runner->runs[runner->run_count];
            return;
        }
    }
}

void
cut_excuse(cut_leg_t *leg)
{
    const cut_hop_t *hop = &cut_sim.hops[leg->hop];

    if (!leg->excused) {
        leg->excused = true;
        cut_sim.callers[hop->caller].tries[hop->try].excused++;
    }
}

/* Plain requests are run to their end. */
void
cut_stop_run(size_t index)
{
    const cut_leg_t *leg = &cut_sim.legs[index];
    const cut_t *cut = cut_of_leg(leg);

    if (cut_sim.runners[leg->runner].engine &&
        (cut == NULL || cut->kind != CUT_HANGS)) {
        remove_run(index);
    }
}

void
cut_start_run(size_t index)
{
    cut_leg_t *leg = &cut_sim.legs[index];
    const cut_hop_t *hop = &cut_sim.hops[leg->hop];
    cut_caller_t *caller = &cut_sim.callers[hop->caller];
    cut_try_t *try = &caller->tries[hop->try];
    cut_runner_t *runner = &cut_sim.runners[leg->runner];

    leg->running = true;
    runner->runs[runner->run_count] = index;
    runner->run_count++;
    caller->runs++;
    try->runs++;
    if (caller->type == REQUEST_UNSAFE && caller->runs > 1) {
        cut_sim.result.double_runs++;
    }
    if (try->not_run) {
        cut_sim.result.runs_of_unrun++;
    }
    if (!runner->engine) {
        cut_push(PLAIN_MIN_MS + (int64_t)cut_draw(PLAIN_RANGE_MS),
                 CUT_EVENT_RUN, index, 0);
        return;
    }
    cut_push(leg->restored
                 ? RESTORE_MS
                 : PREFILL_MIN_MS + (int64_t)cut_draw(PREFILL_RANGE_MS),
             CUT_EVENT_RUN, index, 0);
}

void
cut_run(size_t index)
{
    cut_leg_t *leg = &cut_sim.legs[index];
    forward_event_t reply = {.kind = FORWARD_STREAM_PROGRESS};

    if (!leg->running) {
        return;
    }
    if (!leg->began) {
        leg->began = true;
        cut_push_head(index,
                      !cut_sim.runners[leg->runner].engine && run_fails(index)
                          ? CUT_STATUS_ERROR
                          : CUT_STATUS_OK,
                      false);
    }
    if (cut_sim.runners[leg->runner].engine) {
        leg->last_event_id++;
        reply.u.progress.last_event_id = leg->last_event_id;
        cut_push_reply(CUT_ONE_WAY_MS, index, &reply);
        if (leg->last_event_id + 1 < EVENTS) {
            cut_push(EVENT_MS, CUT_EVENT_RUN, index, 0);
            return;
        }
    }
    cut_push_end(CUT_ONE_WAY_MS, index, SEND_COMPLETE);
    remove_run(index);
}

void
cut_runner_lost(size_t index)
{
    cut_runner_t *runner = &cut_sim.runners[index];

    while (runner->run_count > 0) {
        size_t leg = runner->runs[runner->run_count - 1];

        remove_run(leg);
        cut_excuse(&cut_sim.legs[leg]);
        cut_push_end(CUT_ONE_WAY_MS, leg, SEND_BROKEN);
    }
}
