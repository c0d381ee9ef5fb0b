/*
 * forwarding.c - passes events to forward_step() and executes its actions.
 *
 * No other file of the gateway calls forward_step().
 */
#include <inttypes.h>
#include <stdlib.h>
#include <time.h>

#include "base/arena.h"
#include "base/log.h"
#include "base/random.h"
#include "gateway/gateway.h"

enum {
    US_PER_S = 1000000,
    US_PER_MS = 1000,
    NS_PER_US = 1000,
    PERMILLE = 1000,
    QUEUE_SIZE_INITIAL = 16,
};

struct forwarding {
    gateway_t *gateway;
    forward_t *forward;
    forward_actions_t actions;
    uv_timer_t *timer;
    bool step_running;
    forward_event_t *queue; /* raised during a step */
    size_t queue_length;
    size_t queue_size;
};

static void run_step(forwarding_t *forwarding, const forward_event_t *event);
static void execute_action(gateway_t *gateway, const forward_action_t *action);
static void log_request_end(const request_record_t *ended);
static void relay_response(gateway_t *gateway, const forward_action_t *action);
static void relay_response_head(gateway_t *gateway,
                                const forward_action_t *action);
static void schedule_timer(forwarding_t *forwarding);
static void on_timer(uv_timer_t *timer);

forwarding_t *
forwarding_new(gateway_t *gateway)
{
    const gateway_settings_t *settings = gateway->settings;
    forwarding_t *forwarding = xcalloc(1, sizeof(*forwarding));
    forward_settings_t forward_settings = {
        .host = settings->host,
        .zone = settings->zone,
        .seed = random_u64(),
        .limits = forwarding_limits_of(&settings->limits),
    };

    forwarding->gateway = gateway;
    forwarding->forward = forward_new(&forward_settings);
    forwarding->timer = xcalloc(1, sizeof(*forwarding->timer));
    (void)uv_timer_init(gateway->loop, forwarding->timer);
    forwarding->timer->data = forwarding;
    return forwarding;
}

void
forwarding_free(forwarding_t *forwarding)
{
    if (forwarding == NULL) {
        return;
    }
    uv_close((uv_handle_t *)forwarding->timer, (uv_close_cb)free);
    forward_free(forwarding->forward);
    forward_actions_free(&forwarding->actions);
    free(forwarding->queue);
    free(forwarding);
}

/*
 * Raised during a step are only FORWARD_CALLER_DISCONNECTED, FORWARD_SEND_END
 * of a request that was not sent, and the progress and end of a response that
 * was withheld.
 */
void
forwarding_handle_event(gateway_t *gateway, const forward_event_t *event)
{
    forwarding_t *forwarding = gateway->forwarding;
    size_t i;

    if (forwarding->step_running) {
        if (forwarding->queue_length == forwarding->queue_size) {
            forwarding->queue_size = forwarding->queue_size == 0
                                         ? QUEUE_SIZE_INITIAL
                                         : 2 * forwarding->queue_size;
            forwarding->queue =
                xrealloc(forwarding->queue, forwarding->queue_size,
                         sizeof(*forwarding->queue));
        }
        forwarding->queue[forwarding->queue_length] = *event;
        forwarding->queue_length++;
        return;
    }
    forwarding->step_running = true;
    run_step(forwarding, event);
    for (i = 0; i < forwarding->queue_length; i++) {
        forward_event_t next = forwarding->queue[i];

        run_step(forwarding, &next);
    }
    forwarding->queue_length = 0;
    forwarding->step_running = false;
    schedule_timer(forwarding);
}

void
forwarding_apply_limits(gateway_t *gateway)
{
    forward_event_t event = {.kind = FORWARD_LIMITS,
                             .u.limits =
                                 forwarding_limits_of(&gateway->limits)};

    forwarding_handle_event(gateway, &event);
}

const forward_t *
forwarding_state(const gateway_t *gateway)
{
    return gateway->forwarding->forward;
}

void
forwarding_write_placements(gateway_t *gateway, arena_t *arena,
                            placements_t *placements)
{
    forward_placements(gateway->forwarding->forward, arena, placements);
}

int64_t
gateway_now_us(void)
{
    struct timespec now;

    (void)clock_gettime(CLOCK_BOOTTIME, &now);
    return (int64_t)now.tv_sec * US_PER_S + now.tv_nsec / NS_PER_US;
}

forward_limits_t
forwarding_limits_of(const gateway_limits_t *limits)
{
    return (forward_limits_t){
        .revoke_ms = limits->revoke_ms,
        .registry_ms = limits->registry_ms,
        .apply_ms = limits->apply_ms,
        .leave_ms = limits->leave_ms,
        .serve_ms = gateway_serve_ms(limits),
        .requests_max = limits->requests_max,
        .retries = {.ratio_permille = limits->retry_ratio_permille,
                    .fixed = limits->retry_fixed_permille / PERMILLE,
                    .window_us = (int64_t)limits->retry_window_ms * US_PER_MS},
        .rollouts = {.share_permille = limits->canary_share_permille,
                     .slack = limits->canary_slack,
                     .rollback_ms = limits->rollback_ms},
    };
}

static void
run_step(forwarding_t *forwarding, const forward_event_t *event)
{
    size_t i;

    forward_step(forwarding->forward, gateway_now_us(), event,
                 &forwarding->actions);
    for (i = 0; i < forwarding->actions.count; i++) {
        execute_action(forwarding->gateway, &forwarding->actions.items[i]);
    }
}

static void
execute_action(gateway_t *gateway, const forward_action_t *action)
{
    const caller_request_t *request;

    meters_count_action(gateway->meters, action);
    switch (action->kind) {
    case FORWARD_ACTION_SEND:
        request = front_request(gateway->front, action->number);
        if (request != NULL) {
            upstream_send_request(gateway->upstreams, action->number, request,
                                  &action->u.send);
        }
        return;
    case FORWARD_ACTION_CANCEL:
        upstream_cancel(gateway->upstreams, action->number, action->u.attempt);
        return;
    case FORWARD_ACTION_RELAY_HEAD:
        relay_response_head(gateway, action);
        return;
    case FORWARD_ACTION_RELAY_RESPONSE:
        relay_response(gateway, action);
        return;
    case FORWARD_ACTION_FINISH:
        upstream_release(gateway->upstreams, action->number);
        front_end_stream(gateway->front, action->number);
        return;
    case FORWARD_ACTION_REFUSE:
        upstream_release(gateway->upstreams, action->number);
        front_send_refusal(gateway->front, action->number, &action->u.refuse,
                           &action->usage);
        return;
    case FORWARD_ACTION_ABORT:
        upstream_release(gateway->upstreams, action->number);
        front_abort_response(gateway->front, action->number);
        return;
    case FORWARD_ACTION_PROBE:
        runner_call_probe(gateway->runner_calls, action->u.probe.runner,
                          action->u.probe.address, action->u.probe.timeout_ms);
        return;
    case FORWARD_ACTION_COPY:
        runner_call_copy(gateway->runner_calls, action->number,
                         &action->u.copy);
        return;
    case FORWARD_ACTION_FREE_COPY:
        runner_call_free_copy(gateway->runner_calls, &action->u.drop_copy);
        return;
    case FORWARD_ACTION_PUT_RECORD:
        records_put(gateway->records, &action->u.record);
        return;
    case FORWARD_ACTION_PUT_ROLLOUT:
        records_put_status(gateway->records, &action->u.rollout);
        return;
    case FORWARD_ACTION_PUBLISH:
        peering_schedule_broadcast(gateway->peering);
        return;
    case FORWARD_ACTION_CONFIRM_VIEW:
        watcher_confirm(gateway->watcher);
        return;
    case FORWARD_ACTION_RECORD_RESUME:
        return;
    case FORWARD_ACTION_RECORD_END:
        log_request_end(&action->u.ended);
        return;
    case FORWARD_ACTION_LOG:
        log_event(action->u.log.severity, action->u.log.event, "%s",
                  action->u.log.text);
        return;
    }
}

static void
log_request_end(const request_record_t *ended)
{
    log_event(
        LOG_INFO, "end",
        "request=%s outcome=%s reason=%s status=%" PRIu32
        " service=%s attempts=%" PRIu32 " runs=%" PRIu32 " total_ms=%" PRId64
        " first_ms=%" PRId64 " gap_max_ms=%" PRId64 " last_event=%" PRId64
        " routing=%" PRId64 " contact_age_ms=%" PRId64,
        ended->id, ended->outcome, ended->reason, ended->status,
        ended->service, ended->attempts, ended->runs,
        ended->total_us / US_PER_MS,
        ended->first_response_us >= 0 ? ended->first_response_us / US_PER_MS
                                      : -1,
        ended->gap_max_us / US_PER_MS, ended->last_event_id,
        ended->routing_version, ended->contact_age_us / US_PER_MS);
}

static void
relay_response(gateway_t *gateway, const forward_action_t *action)
{
    runner_response_t response;

    if (upstream_get_response(gateway->upstreams, action->number,
                              action->u.attempt, &response)) {
        response.usage = &action->usage;
        front_send_response(gateway->front, action->number, &response);
    }
    upstream_release(gateway->upstreams, action->number);
}

static void
relay_response_head(gateway_t *gateway, const forward_action_t *action)
{
    runner_response_t response;

    if (upstream_get_response(gateway->upstreams, action->number,
                              action->u.attempt, &response)) {
        response.usage = &action->usage;
        front_start_stream(gateway->front, action->number, &response);
        upstream_start_passthrough(gateway->upstreams, action->number,
                                   action->u.attempt);
    }
}

static void
schedule_timer(forwarding_t *forwarding)
{
    int64_t due_us = forward_due_us(forwarding->forward);
    int64_t wait_us = due_us - gateway_now_us();

    if (due_us == INT64_MAX) {
        (void)uv_timer_stop(forwarding->timer);
        return;
    }
    uv_update_time(forwarding->gateway->loop);
    (void)uv_timer_start(forwarding->timer, on_timer,
                         wait_us > 0 ? (uint64_t)wait_us / US_PER_MS + 1 : 0,
                         0);
}

static void
on_timer(uv_timer_t *timer)
{
    forwarding_t *forwarding = timer->data;
    forward_event_t event = {.kind = FORWARD_TIMER};

    forwarding_handle_event(forwarding->gateway, &event);
}
