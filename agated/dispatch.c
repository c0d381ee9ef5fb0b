/* dispatch.c - passes events to node_step() and applies its actions. */
#include <stdlib.h>
#include <string.h>

#include <sys/queue.h>

#include "agated/agated.h"
#include "base/log.h"

enum { NS_PER_US = 1000, US_PER_MS = 1000 };

/* An event that was raised during a step. */
typedef struct queued_event {
    STAILQ_ENTRY(queued_event) link;
    char *bytes;
    size_t length;
} queued_event_t;

struct dispatch {
    daemon_t *daemon;
    node_t *node;
    action_list_t actions;
    journal_t *journal;
    uv_timer_t *timer;
    int64_t timer_at_us;
    bool stepping;
    STAILQ_HEAD(, queued_event) queue;
};

static void step_node(dispatch_t *dispatch, const event_t *event);
static void apply_action(dispatch_t *dispatch, const action_t *action);
static void set_timer(dispatch_t *dispatch, int64_t at_us);
static void arm_timer(dispatch_t *dispatch);
static void on_timer(uv_timer_t *timer);
static void enqueue_event(dispatch_t *dispatch, const event_t *event);
static void step_queued_events(dispatch_t *dispatch);

dispatch_t *
dispatch_new(daemon_t *daemon, err_t *err)
{
    const char *event_log = daemon->settings->event_log;
    journal_t *journal = NULL;
    dispatch_t *dispatch;

    if (event_log != NULL) {
        journal = journal_open(event_log, err);
        if (journal == NULL) {
            return NULL;
        }
    }
    dispatch = xcalloc(1, sizeof(*dispatch));
    dispatch->journal = journal;
    dispatch->daemon = daemon;
    dispatch->node = node_new();
    STAILQ_INIT(&dispatch->queue);
    dispatch->timer = xcalloc(1, sizeof(*dispatch->timer));
    (void)uv_timer_init(daemon->loop, dispatch->timer);
    dispatch->timer->data = dispatch;
    return dispatch;
}

void
dispatch_free(dispatch_t *dispatch)
{
    if (dispatch == NULL) {
        return;
    }
    journal_close(dispatch->journal);
    uv_close((uv_handle_t *)dispatch->timer, (uv_close_cb)free);
    actions_free(&dispatch->actions);
    node_free(dispatch->node);
    free(dispatch);
}

void
dispatch_event(dispatch_t *dispatch, const event_t *event)
{
    if (dispatch->stepping) {
        enqueue_event(dispatch, event);
        return;
    }
    dispatch->stepping = true;
    step_node(dispatch, event);
    step_queued_events(dispatch);
    dispatch->stepping = false;
}

void
dispatch_drain(dispatch_t *dispatch)
{
    event_t event = {.kind = EVENT_DRAIN};

    host_presence_set_leaving(dispatch->daemon);
    dispatch_event(dispatch, &event);
}

const node_t *
dispatch_node(const dispatch_t *dispatch)
{
    return dispatch->node;
}

int64_t
dispatch_now_us(void)
{
    return (int64_t)(uv_hrtime() / NS_PER_US);
}

static void
step_node(dispatch_t *dispatch, const event_t *event)
{
    int64_t now_us = dispatch_now_us();
    size_t i;

    node_step(dispatch->node, now_us, event, &dispatch->actions);
    if (dispatch->journal != NULL) {
        journal_write(dispatch->journal, now_us, event, &dispatch->actions);
    }
    for (i = 0; i < dispatch->actions.count; i++) {
        apply_action(dispatch, &dispatch->actions.items[i]);
    }
    actions_reset(&dispatch->actions);
}

static void
apply_action(dispatch_t *dispatch, const action_t *action)
{
    daemon_t *daemon = dispatch->daemon;

    switch (action->kind) {
    case ACTION_OPEN_STREAM:
    case ACTION_REATTACH:
    case ACTION_CANCEL_STREAM:
        backends_apply_action(daemon->backends, action);
        return;
    case ACTION_SEND_TOKENS:
    case ACTION_FINISH:
    case ACTION_REPLY:
    case ACTION_REFUSE:
    case ACTION_FREE_BODY:
    case ACTION_RELAY:
        listener_apply_action(daemon->listener, action);
        return;
    case ACTION_CLAIM:
    case ACTION_RELEASE:
        claims_apply_action(daemon->claims, action);
        return;
    case ACTION_SET_TIMER:
        set_timer(dispatch, action->action_t_u.timer.at_us);
        return;
    case ACTION_LOG:
        log_line(action->action_t_u.log.severity, "%s",
                 action->action_t_u.log.text);
        return;
    case ACTION_STOP:
        listener_stop(daemon->listener);
        return;
    case ACTION_SEND_MESSAGE:
        if (daemon->peers != NULL) {
            peers_apply_action(daemon->peers, action);
        }
        return;
    }
}

static void
set_timer(dispatch_t *dispatch, int64_t at_us)
{
    dispatch->timer_at_us = at_us;
    arm_timer(dispatch);
}

/*
 * libuv timers have a resolution of one millisecond and start at its cached
 * time, so one millisecond is added.
 */
static void
arm_timer(dispatch_t *dispatch)
{
    int64_t wait_us = dispatch->timer_at_us - dispatch_now_us();
    uint64_t wait_ms = wait_us <= 0 ? 0 : (uint64_t)wait_us / US_PER_MS + 1;

    uv_update_time(dispatch->daemon->loop);
    (void)uv_timer_start(dispatch->timer, on_timer, wait_ms, 0);
}

static void
on_timer(uv_timer_t *timer)
{
    dispatch_t *dispatch = timer->data;
    event_t event = {.kind = EVENT_TIMER};

    if (dispatch_now_us() < dispatch->timer_at_us) {
        arm_timer(dispatch);
        return;
    }
    dispatch_event(dispatch, &event);
}

static void
enqueue_event(dispatch_t *dispatch, const event_t *event)
{
    queued_event_t *queued = xcalloc(1, sizeof(*queued));

    queued->bytes = event_encode(event, &queued->length);
    STAILQ_INSERT_TAIL(&dispatch->queue, queued, link);
}

static void
step_queued_events(dispatch_t *dispatch)
{
    queued_event_t *queued;
    event_t event;

    while ((queued = STAILQ_FIRST(&dispatch->queue)) != NULL) {
        STAILQ_REMOVE_HEAD(&dispatch->queue, link);
        if (event_decode(queued->bytes, queued->length, &event)) {
            step_node(dispatch, &event);
        }
        xdr_free((xdrproc_t)xdr_event_t, (char *)&event);
        free(queued->bytes);
        free(queued);
    }
}
