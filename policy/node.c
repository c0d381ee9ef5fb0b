/* node.c - dispatches events to the modules that handle them; see node.h. */
#include <stdlib.h>
#include <string.h>

#include "policy/private.h"

static void handle_start(step_t *step, const start_event_t *start);
static void handle_load(step_t *step, const load_event_t *load);
static void handle_timer(step_t *step);
static void handle_drain(step_t *step);
static void dispatch_event(step_t *step, const event_t *event);
static int64_t next_due_us(const node_t *node);
static void finish_step(step_t *step);

node_t *
node_new(void)
{
    node_t *node = xcalloc(1, sizeof(*node));

    node->timer_set_us = INT64_MAX;
    queue_init(&node->queue);
    return node;
}

void
node_free(node_t *node)
{
    action_list_t actions = {0};
    step_t step = {node, 0, &actions};
    session_t *session;
    session_t *next;

    HASH_ITER(hh, node->sessions, session, next)
    {
        for (size_t i = 0; i < SESSION_ATTEMPTS_MAX; i++) {
            if (session->attempts[i] != NULL) {
                attempt_drop(&step, session->attempts[i]);
            }
        }
        session_free(&step, session);
    }
    actions_free(&actions);
    actions_free(&node->scratch);
    claim_queue_free(node->claims);
    suspects_free(node->suspects);
    hosts_free(node);
    queue_free(&node->queue);
    runners_free(&node->runners);
    config_free(&node->config);
    timers_free(&node->timers);
    free(node->start.host);
    free(node->start.zone);
    free(node->start.address);
    free(node);
}

void
node_step(node_t *node, int64_t now_us, const event_t *event,
          action_list_t *actions)
{
    step_t step = {node, now_us, actions};

    dispatch_event(&step, event);
    finish_step(&step);
}

const node_counters_t *
node_counters(const node_t *node)
{
    return &node->counters;
}

static void
dispatch_event(step_t *step, const event_t *event)
{
    switch (event->kind) {
    case EVENT_START:
        handle_start(step, &event->event_t_u.start);
        break;
    case EVENT_CONFIG:
        hosts_apply_config(step, NULL, &event->event_t_u.config);
        break;
    case EVENT_REQUEST:
        intake_request(step, &event->event_t_u.request);
        break;
    case EVENT_CALLER_DISCONNECTED:
        intake_caller_disconnected(
            step, event->event_t_u.caller_disconnected.caller);
        break;
    case EVENT_CHUNK:
        stream_handle_chunk(step, &event->event_t_u.chunk);
        break;
    case EVENT_STREAM_END:
        stream_handle_end(step, &event->event_t_u.end);
        break;
    case EVENT_LOSS:
        resume_handle_loss(step, &event->event_t_u.loss);
        queue_start_sessions(step);
        break;
    case EVENT_REPLY:
        stream_handle_reply(step, &event->event_t_u.reply);
        break;
    case EVENT_LOAD:
        handle_load(step, &event->event_t_u.load);
        break;
    case EVENT_TIMER:
        handle_timer(step);
        break;
    case EVENT_CONFIG_READ:
        step->node->ready = true;
        break;
    case EVENT_DRAIN:
        handle_drain(step);
        break;
    case EVENT_PEER_MESSAGE:
        hosts_handle_message(step, &event->event_t_u.peer);
        break;
    case EVENT_PEER_LOST:
        replication_handle_peer_lost(step, event->event_t_u.peer_lost.host);
        break;
    case EVENT_HOST_LIST:
        hosts_handle_list(step, &event->event_t_u.hosts);
        break;
    case EVENT_CLAIM_RESULTS:
        claiming_handle_results(step, &event->event_t_u.claim_results);
        break;
    }
}

static void
handle_start(step_t *step, const start_event_t *start)
{
    node_t *node = step->node;

    node->start = *start;
    node->start.host = xstrdup(start->host);
    node->start.zone = xstrdup(start->zone);
    node->start.address = xstrdup(start->address);
    node->started = true;
    hosts_init(step);
    claiming_init(node);
    suspecting_init(step);
}

static void
handle_load(step_t *step, const load_event_t *load)
{
    runner_state_t *runner = runners_find(&step->node->runners, load->runner);

    if (runner == NULL) {
        return;
    }
    if (!load->reached) {
        if (runner->down_until_us <= step->now_us) {
            runner_record_failure(runner, step->now_us);
        }
        return;
    }
    runner->running = load->running;
    runner->waiting = load->waiting;
    runner->opened_since_report = 0;
    runner->ended_since_report = 0;
    runner_record_response(runner, step->now_us);
    queue_start_sessions(step);
}

static void
handle_timer(step_t *step)
{
    node_t *node = step->node;
    timer_entry_t *session_timer;

    node->timer_set_us = INT64_MAX;
    while ((session_timer = timers_pop(&node->timers, step->now_us)) != NULL) {
        session_t *session;

        HASH_FIND(hh, node->sessions, &session_timer->owner,
                  sizeof(session_timer->owner), session);
        session_handle_timeout(step, session);
    }
    hosts_handle_timer(step);
    queue_start_sessions(step);
}

static void
handle_drain(step_t *step)
{
    if (step->node->draining) {
        return;
    }
    step->node->draining = true;
    hosts_announce_leaving(step);
    actions_append_log(step->actions, LOG_NOTICE, "leaving sessions=%zu",
                       step->node->active_sessions);
}

static int64_t
next_due_us(const node_t *node)
{
    int64_t next_us = hosts_due_us(node);
    int64_t claims_us = claim_queue_due_us(node->claims);
    int64_t suspects_us = suspects_due_us(node->suspects);
    int64_t session_us = timers_next_us(&node->timers);

    if (claims_us < next_us) {
        next_us = claims_us;
    }
    if (suspects_us < next_us) {
        next_us = suspects_us;
    }
    if (session_us != 0 && session_us < next_us) {
        next_us = session_us;
    }
    return next_us;
}

/* Stops a draining host that is idle, and sets the timer if it changed. */
static void
finish_step(step_t *step)
{
    node_t *node = step->node;
    int64_t next_us;

    if (node->draining && node->active_sessions == 0 && !node->stopped) {
        node->stopped = true;
        (void)actions_append(step->actions, ACTION_STOP);
    }
    suspecting_evaluate(step);
    claiming_send_due(step);
    next_us = next_due_us(node);
    if (node->timer_set_us <= next_us) {
        return;
    }
    node->timer_set_us = next_us;
    actions_append(step->actions, ACTION_SET_TIMER)->action_t_u.timer.at_us =
        next_us;
}
