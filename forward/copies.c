/*
 * copies.c - maintains copies of streams' KV caches on standby runners.
 *
 * Each replicated stream starts with a standby, to which its runner copies the
 * KV cache as the stream runs.  If the standby fails, the runner is asked to
 * copy to another one.  Such a copy is a snapshot that expires after some
 * seconds and is refreshed before that.
 *
 * Zones of engines may fail one after the other: a stream whose standby has
 * failed must not start over when its own zone fails next.
 */
#include <inttypes.h>
#include <syslog.h>

#include "forward/private.h"

enum {
    /* A runner keeps a snapshot for at least four seconds. */
    COPY_REFRESH_MS = 2500,
    /* Delay after a failed request, until another runner may have room. */
    COPY_RETRY_MS = 500,
    /* Limit for one copy.  Long prompts take about 50 ms, and longer when
     * several copies share a link. */
    COPY_TIMEOUT_MS = 1000,
};

static bool is_unavailable(const forward_t *forward,
                           const pool_runner_t *standby);
static void request_copy(forward_t *forward, request_t *request);

void
copies_update(forward_t *forward, request_t *request)
{
    attempt_t *attempt = &request->attempt;

    if (!request->replicated || attempt->runner == NULL || attempt->relayed ||
        attempt->events == 0) {
        return;
    }
    if (attempt->standby != NULL &&
        (is_unavailable(forward, attempt->standby) ||
         attempt->standby->serial != attempt->standby_serial)) {
        copies_set_standby(attempt, NULL);
        attempt->copy_name = NULL;
    }
    if (attempt->copy_pending || forward->now_us < attempt->copy_due_us ||
        (attempt->standby != NULL && attempt->copy_name == NULL)) {
        return;
    }
    request_copy(forward, request);
}

int64_t
copies_due_us(const request_t *request)
{
    const attempt_t *attempt = &request->attempt;

    if (!request->replicated || attempt->runner == NULL || attempt->relayed ||
        attempt->copy_pending || attempt->copy_due_us == 0) {
        return INT64_MAX;
    }
    return attempt->copy_due_us;
}

void
handle_copy_result(forward_t *forward, const forward_copy_result_t *copied)
{
    request_t *request;
    attempt_t *attempt;

    HASH_FIND(hh, forward->requests, &copied->number, sizeof(copied->number),
              request);
    if (request == NULL || request->attempt.runner == NULL ||
        request->attempt.number != copied->attempt ||
        !request->attempt.copy_pending) {
        return;
    }
    attempt = &request->attempt;
    attempt->copy_pending = false;
    if (copied->leaving && attempt->runner->serial == attempt->runner_serial) {
        registry_record_leaving(forward, attempt->runner);
    }
    if (attempt->standby == NULL) {
        attempt->copy_name = NULL;
        attempt->copy_due_us = forward->now_us;
        copies_update(forward, request);
        return;
    }
    if (copied->name == NULL) {
        copies_set_standby(attempt, NULL);
        attempt->copy_name = NULL;
        attempt->copy_due_us =
            forward->now_us + (int64_t)COPY_RETRY_MS * US_PER_MS;
        return;
    }
    attempt->copy_name = arena_strdup(&request->arena, copied->name);
    attempt->copy_due_us =
        forward->now_us + (int64_t)COPY_REFRESH_MS * US_PER_MS;
}

/*
 * Unused copies take up KV cache that other requests need.  A copy that the
 * runner updates as the stream runs is freed by the runner itself.
 */
void
copies_release(forward_t *forward, request_t *request)
{
    arena_t *arena = &forward->actions->arena;
    attempt_t *attempt = &request->attempt;

    if (attempt->copy_name == NULL) {
        return;
    }
    action_new(forward, FORWARD_ACTION_FREE_COPY, request->number)
        ->u.drop_copy = (free_copy_action_t){
        .address = arena_strdup(arena, attempt->runner->registration.address),
        .name = arena_strdup(arena, attempt->copy_name),
        .timeout_ms = COPY_TIMEOUT_MS,
    };
    attempt->copy_name = NULL;
}

void
copies_set_standby(attempt_t *attempt, pool_runner_t *standby)
{
    if (attempt->standby != NULL) {
        pool_remove_copy(attempt->standby);
    }
    attempt->standby = standby;
    if (standby != NULL) {
        attempt->standby_serial = standby->serial;
        pool_add_copy(standby);
    }
}

/* Returns true also for a runner in a zone that has just failed. */
static bool
is_unavailable(const forward_t *forward, const pool_runner_t *standby)
{
    return !pool_runner_usable(standby, forward->now_us) ||
           forward->now_us < standby->cooldown_until_us ||
           pool_zone_in_cooldown(standby->zone, forward->now_us);
}

static void
request_copy(forward_t *forward, request_t *request)
{
    arena_t *arena = &forward->actions->arena;
    attempt_t *attempt = &request->attempt;
    forward_action_t *action;

    if (attempt->standby == NULL) {
        pool_runner_t *standby =
            choose_standby(forward, request, attempt->runner);

        if (standby == NULL || is_unavailable(forward, standby)) {
            attempt->copy_due_us =
                forward->now_us + (int64_t)COPY_RETRY_MS * US_PER_MS;
            return;
        }
        copies_set_standby(attempt, standby);
    }
    attempt->copy_pending = true;
    action = action_new(forward, FORWARD_ACTION_COPY, request->number);
    action->u.copy = (copy_action_t){
        .attempt = attempt->number,
        .request_id = arena_strdup(arena, request->id),
        .address = arena_strdup(arena, attempt->runner->registration.address),
        .to = arena_strdup(arena, attempt->standby->registration.address),
        .timeout_ms = COPY_TIMEOUT_MS,
    };
    emit_log(forward, LOG_INFO, "copy",
             "request=%s attempt=%" PRIu32 " runner=%s to=%s events=%" PRIu32,
             request->id, attempt->number, attempt->runner->registration.id,
             attempt->standby->registration.id, attempt->events);
}
