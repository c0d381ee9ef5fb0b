/* forward.c - dispatches events to the parts of forward/. */
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include "forward/private.h"

enum {
    ACTIONS_SIZE_INITIAL = 8,
    LOG_TEXT_BYTES = 1024,
    /* Percentage of settings.limits.revoke_ms after which a host without
     * contact with the store reports that it is not ready.  It still serves
     * callers until revoke_ms. */
    READY_AGE_PERCENT = 60,
    PERCENT = 100,
};

/* If a timer is this late, the process itself was paused. */
#define PAUSE_MIN_US ((int64_t)400000)

static bool handle_store_event(forward_t *forward,
                               const forward_event_t *event);
static void handle_request_event(forward_t *forward,
                                 const forward_event_t *event);
static void handle_caller_disconnected(forward_t *forward, uint64_t number);
static void handle_progress(forward_t *forward,
                            const forward_progress_t *progress);
static void check_timers(forward_t *forward);

forward_t *
forward_new(const forward_settings_t *settings)
{
    forward_t *forward = xcalloc(1, sizeof(*forward));

    forward->settings = *settings;
    forward->host = xstrdup(settings->host);
    forward->zone = xstrdup(settings->zone);
    forward->random_state = settings->seed;
    forward->hosts = 1;
    forward->records_due_us = INT64_MAX;
    forward->rollouts_due_us = INT64_MAX;
    forward->pool = pool_new();
    forward->host_pool = pool_new();
    TAILQ_INIT(&forward->silent_losses);
    return forward;
}

void
forward_free(forward_t *forward)
{
    service_budget_t *budget;
    service_budget_t *next_budget;
    request_t *request;
    request_t *next;

    if (forward == NULL) {
        return;
    }
    HASH_ITER(hh, forward->requests, request, next)
    {
        HASH_DEL(forward->requests, request); /* NOLINT(clang-analyzer-*) */
        arena_free(&request->arena);
        free(request);
    }
    HASH_ITER(hh, forward->budgets, budget, next_budget)
    {
        HASH_DEL(forward->budgets, budget); /* NOLINT(clang-analyzer-*) */
        free(budget->service);
        free(budget);
    }
    rollouts_free(forward);
    sharing_free(forward);
    versions_free(forward);
    route_services_free(forward);
    version_record_free(forward);
    host_records_free(forward);
    suspicion_free(forward);
    routing_free(forward->routing);
    pool_free(forward->pool);
    pool_free(forward->host_pool);
    free(forward->host);
    free(forward->zone);
    free(forward);
}

void
forward_step(forward_t *forward, int64_t now_us, const forward_event_t *event,
             forward_actions_t *actions)
{
    arena_reset(&actions->arena);
    actions->count = 0;
    if (forward_due_us(forward) < now_us - PAUSE_MIN_US) {
        reset_activity_after_pause(forward, now_us);
    }
    forward->now_us = now_us;
    forward->actions = actions;
    if (forward->crashes == NULL) {
        forward->started_us = now_us;
        suspicion_start(forward);
    }
    switch (event->kind) {
    case FORWARD_ROUTING:
        routing_replace(forward, event->u.routing);
        break;
    case FORWARD_RUNNER_REGISTERED:
    case FORWARD_RUNNER_DEREGISTERED:
    case FORWARD_REGISTRY_BEGIN:
    case FORWARD_REGISTRY_END:
        handle_registry_event(forward, event);
        break;
    case FORWARD_HOST_COUNT:
        forward->hosts = event->u.hosts > 0 ? event->u.hosts : 1;
        break;
    case FORWARD_HOSTS:
        relay_set_hosts(forward, &event->u.host_list);
        break;
    case FORWARD_PEER_REPORT:
        handle_peer_report(forward, &event->u.peer);
        break;
    case FORWARD_LIMITS:
        forward->settings.limits = event->u.limits;
        break;
    case FORWARD_DRAIN:
        forward->draining_since_us = now_us;
        break;
    case FORWARD_STOP:
        admission_stop(forward);
        break;
    default:
        if (!handle_store_event(forward, event)) {
            handle_request_event(forward, event);
        }
        break;
    }
    if (forward->records_changed || now_us >= forward->records_due_us) {
        version_record_check(forward);
    }
    if (forward->rollouts_changed || now_us >= forward->rollouts_due_us) {
        rollouts_check(forward);
    }
    view_check(forward);
    if (forward->publish_due) {
        (void)action_new(forward, FORWARD_ACTION_PUBLISH, 0);
        forward->publish_due = false;
    }
    forward->actions = NULL;
}

int64_t
forward_due_us(const forward_t *forward)
{
    const request_t *request;
    int64_t due_us = relay_due_us(forward);

    if (forward->records_due_us < due_us) {
        due_us = forward->records_due_us;
    }
    if (forward->rollouts_due_us < due_us) {
        due_us = forward->rollouts_due_us;
    }
    if (view_due_us(forward) < due_us) {
        due_us = view_due_us(forward);
    }
    for (request = forward->requests; request != NULL;
         request = request->hh.next) {
        int64_t at_us = request_due_us(request);

        if (at_us < due_us) {
            due_us = at_us;
        }
    }
    return due_us;
}

int64_t
forward_contact_age_us(const forward_t *forward, int64_t now_us)
{
    return now_us - forward->contact_us;
}

bool
forward_ready(const forward_t *forward, int64_t now_us)
{
    int64_t limit_us = (int64_t)forward->settings.limits.revoke_ms *
                       US_PER_MS * READY_AGE_PERCENT / PERCENT;

    return forward->routing != NULL && forward->draining_since_us == 0 &&
           (limit_us == 0 || now_us - forward->contact_us < limit_us);
}

size_t
forward_request_count(const forward_t *forward)
{
    return HASH_COUNT(forward->requests);
}

const routing_t *
forward_routing(const forward_t *forward)
{
    return forward->routing;
}

void
forward_actions_free(forward_actions_t *actions)
{
    arena_free(&actions->arena);
    free(actions->items);
    *actions = (forward_actions_t){0};
}

const char *
refuse_reason_name(refuse_reason_t reason)
{
    static const char *const names[] = {
        [REFUSE_NO_ROUTING] = "no-routing",
        [REFUSE_ROUTING_STALE] = "routing-stale",
        [REFUSE_NO_ROUTE] = "no-route",
        [REFUSE_NO_KEY] = "no-key",
        [REFUSE_KEYS_UNREADABLE] = "keys-unreadable",
        [REFUSE_DRAINING] = "leaving",
        [REFUSE_NO_RUNNER] = "no-runner",
        [REFUSE_NO_VERSION] = "no-version",
        [REFUSE_RUNNERS_FULL] = "runners-full",
        [REFUSE_HOST_FULL] = "host-full",
        [REFUSE_RETRY_BUDGET] = "retry-budget",
        [REFUSE_HARMFUL] = "harmful",
        [REFUSE_RUNNER_LOST] = "runner-lost",
        [REFUSE_INVALID_RESPONSE] = "bad-answer",
        [REFUSE_TIMEOUT] = "timeout",
    };

    return names[reason];
}

forward_action_t *
action_new(forward_t *forward, forward_action_kind_t kind, uint64_t number)
{
    forward_actions_t *actions = forward->actions;
    forward_action_t *action;

    if (actions->count == actions->size) {
        actions->size =
            actions->size == 0 ? ACTIONS_SIZE_INITIAL : 2 * actions->size;
        actions->items =
            xrealloc(actions->items, actions->size, sizeof(*actions->items));
    }
    action = &actions->items[actions->count];
    actions->count++;
    memset(action, 0, sizeof(*action));
    action->kind = kind;
    action->number = number;
    return action;
}

void
emit_log(forward_t *forward, int severity, const char *event,
         const char *format, ...)
{
    forward_action_t *action = action_new(forward, FORWARD_ACTION_LOG, 0);
    char text[LOG_TEXT_BYTES];
    va_list args;

    va_start(args, format);
    (void)vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    action->u.log.severity = severity;
    action->u.log.event = event;
    action->u.log.text = arena_strdup(&forward->actions->arena, text);
}

void
emit_request_end(forward_t *forward, const request_t *request,
                 const char *outcome, const char *reason, uint32_t status)
{
    arena_t *arena = &forward->actions->arena;
    int64_t total_us = forward->now_us - request->arrived_us;
    bool answered = strcmp(outcome, "served") == 0;
    int64_t first_response_us =
        answered && request->type != REQUEST_STREAM ? total_us : -1;

    if (request->first_event_us > 0) {
        first_response_us = request->first_event_us - request->arrived_us;
    }
    action_new(forward, FORWARD_ACTION_RECORD_END, request->number)->u.ended =
        (request_record_t){
            .id = arena_strdup(arena, request->id),
            .service = arena_strdup(
                arena, request->service != NULL ? request->service : "none"),
            .outcome = outcome,
            .reason = reason,
            .type = request->type,
            .status = status,
            .attempts = request->attempt.number,
            .runs = request->runs,
            .total_us = total_us,
            .first_response_us = first_response_us,
            .gap_max_us = request->gap_max_us,
            .last_event_id = request->last_event_id,
            .routing_version =
                forward->routing != NULL ? forward->routing->version : -1,
            .contact_age_us = forward->now_us - forward->contact_us,
        };
}

void
request_delete(forward_t *forward, request_t *request)
{
    attempt_end(forward, request, true);
    if (request->copy_holder != NULL) {
        pool_remove_copy(request->copy_holder);
    }
    HASH_DEL(forward->requests, request); /* NOLINT(clang-analyzer-*) */
    arena_free(&request->arena);
    free(request);
}

service_budget_t *
find_or_add_service(forward_t *forward, const char *service)
{
    service_budget_t *budget;

    HASH_FIND_STR(forward->budgets, service, budget);
    if (budget == NULL) {
        budget = xcalloc(1, sizeof(*budget));
        budget->service = xstrdup(service);
        budget->versions_us = INT64_MIN;
        HASH_ADD_KEYPTR(hh, forward->budgets, budget->service,
                        strlen(budget->service), budget);
    }
    return budget;
}

retry_budget_t *
service_retry_budget(forward_t *forward, const char *service)
{
    return &find_or_add_service(forward, service)->budget;
}

bool
retry_allowed(forward_t *forward, const request_t *request)
{
    retry_use_t peers_usage;

    if (request->deliveries == 0) {
        return true;
    }
    peers_usage = peers_retry_use(forward, request->service);
    return retry_budget_allows(service_retry_budget(forward, request->service),
                               &forward->settings.limits.retries, &peers_usage,
                               forward->hosts, forward->now_us);
}

void
count_delivery(forward_t *forward, request_t *request)
{
    request->attempt.is_retry = request->deliveries > 0;
    request->deliveries++;
    if (request->attempt.is_retry) {
        retry_budget_add_retry(service_retry_budget(forward, request->service),
                               forward->now_us);
    }
}

void
uncount_delivery(forward_t *forward, request_t *request)
{
    request->deliveries--;
    if (request->attempt.is_retry) {
        retry_budget_undo_retry(
            service_retry_budget(forward, request->service),
            request->attempt.started_us);
    }
}

/* Returns whether the event is about the contact with the store, or about its
 * records and roll-outs. */
static bool
handle_store_event(forward_t *forward, const forward_event_t *event)
{
    switch (event->kind) {
    case FORWARD_STORE_CONTACT:
        view_record_contact(forward, &event->u.contact);
        return true;
    case FORWARD_STORE_LOST:
        view_record_store_lost(forward);
        return true;
    case FORWARD_STORE_REGAINED:
        registry_start_grace(forward);
        return true;
    case FORWARD_STORE_RESTORED:
        registry_store_restored(forward);
        return true;
    case FORWARD_RECORD:
        version_record_apply(forward, &event->u.record);
        return true;
    case FORWARD_PUT_RESULT:
        version_record_written(forward, &event->u.put);
        return true;
    case FORWARD_ROLLOUT_ORDER:
        rollouts_apply_order(forward, &event->u.order);
        return true;
    case FORWARD_ROLLOUT_STATUS:
        rollouts_apply_status(forward, &event->u.status);
        return true;
    case FORWARD_ROLLOUT_WRITTEN:
        rollouts_status_written(forward, &event->u.rollout_written);
        return true;
    default:
        return false;
    }
}

static void
handle_request_event(forward_t *forward, const forward_event_t *event)
{
    switch (event->kind) {
    case FORWARD_REQUEST:
        admit_request(forward, &event->u.request);
        return;
    case FORWARD_CALLER_DISCONNECTED:
        handle_caller_disconnected(forward, event->u.disconnected);
        return;
    case FORWARD_RESPONSE_HEAD:
        handle_response_head(forward, &event->u.head);
        return;
    case FORWARD_STREAM_PROGRESS:
        handle_progress(forward, &event->u.progress);
        return;
    case FORWARD_SEND_END:
        handle_send_end(forward, &event->u.end);
        return;
    case FORWARD_PROBE_RESULT:
        handle_probe_result(forward, &event->u.probed);
        return;
    case FORWARD_COPY_RESULT:
        handle_copy_result(forward, &event->u.copied);
        return;
    case FORWARD_TIMER:
        check_timers(forward);
        return;
    default:
        return;
    }
}

static void
handle_caller_disconnected(forward_t *forward, uint64_t number)
{
    request_t *request;

    HASH_FIND(hh, forward->requests, &number, sizeof(number), request);
    if (request != NULL) {
        emit_request_end(forward, request, "gone", "caller-closed", 0);
        request_delete(forward, request);
    }
}

static void
handle_progress(forward_t *forward, const forward_progress_t *progress)
{
    request_t *request;
    attempt_t *attempt;

    HASH_FIND(hh, forward->requests, &progress->number,
              sizeof(progress->number), request);
    if (request == NULL || request->attempt.runner == NULL ||
        request->attempt.number != progress->attempt) {
        return;
    }
    attempt = &request->attempt;
    if (attempt->events == 0 && request->last_event_us > 0) {
        action_new(forward, FORWARD_ACTION_RECORD_RESUME, request->number)
            ->u.resumed = (resume_record_t){.gap_us = forward->now_us -
                                                      request->last_event_us,
                                            .restored = attempt->restored};
    }
    if (attempt->events == 0) {
        rollouts_count_event(forward, request);
        versions_begin_stream(forward, request);
        attempt->first_event_us = forward->now_us;
        pool_prefill_done(attempt->runner);
        forward->publish_due = true;
    }
    attempt->events++;
    attempt->last_activity_us = forward->now_us;
    attempt->held_until_us = 0;
    attempt->probed = PROBE_ANSWERED;
    attempt->missing_reports = 0;
    request->unassigned_since_us = 0;
    if (request->first_event_us == 0) {
        request->first_event_us = forward->now_us;
    }
    else if (forward->now_us - request->last_event_us > request->gap_max_us) {
        request->gap_max_us = forward->now_us - request->last_event_us;
    }
    request->last_event_us = forward->now_us;
    if (progress->last_event_id > request->last_event_id) {
        request->last_event_id = progress->last_event_id;
    }
    suspicion_run_progress(forward, request);
}

static void
check_timers(forward_t *forward)
{
    request_t *request;
    request_t *next;

    pool_free_expired(forward->pool, forward->now_us);
    pool_free_expired(forward->host_pool, forward->now_us);
    relay_probe_paths(forward);
    sharing_expire(forward);
    versions_expire(forward);
    suspicion_check_silent(forward);
    crashes_expire(forward->crashes, forward->now_us);
    HASH_ITER(hh, forward->requests, request, next)
    {
        check_request_timers(forward, request);
    }
}
