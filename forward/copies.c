/*
 * copies.c - copies of a running stream's memory, kept elsewhere.
 *
 * A stream starts with a standby that its runner copies to as it goes.  When
 * the standby is lost, the runner is asked to copy to another one; such a
 * copy is of that moment, lapses after some seconds and is brought up to
 * date before.  Answers the load of zones of engines that fail one after the
 * other: a stream that has outlived its standby must not start over when its
 * own zone fails.
 */
#include <inttypes.h>
#include <syslog.h>

#include "forward/private.h"

enum {
    /* A copy that was asked for is refreshed well before it lapses, which
     * is after four seconds at the least. */
    REFRESH_MS = 2500,
    /* After a failed ask, for another runner to have room. */
    ASK_AGAIN_MS = 500,
    /* An ask without an answer: copies of long prompts take some 50 ms, more
     * when several of them share a link. */
    ASK_TIMEOUT_MS = 1000,
};

static bool is_lost(const forward_t *forward, const pool_runner_t *standby);
static void ask(forward_t *forward, request_t *request);

void
copies_check(forward_t *forward, request_t *request)
{
    attempt_t *attempt = &request->attempt;

    if (!request->backups || attempt->runner == NULL || attempt->events == 0) {
        return;
    }
    if (attempt->standby != NULL &&
        (is_lost(forward, attempt->standby) ||
         attempt->standby->serial != attempt->standby_serial)) {
        copies_set_standby(attempt, NULL);
        attempt->copy_name = NULL;
    }
    if (attempt->asking || forward->now_us < attempt->ask_at_us ||
        (attempt->standby != NULL && attempt->copy_name == NULL)) {
        return;
    }
    ask(forward, request);
}

int64_t
copies_due_us(const request_t *request)
{
    const attempt_t *attempt = &request->attempt;

    if (!request->backups || attempt->runner == NULL || attempt->asking ||
        attempt->ask_at_us == 0) {
        return INT64_MAX;
    }
    return attempt->ask_at_us;
}

void
take_copied(forward_t *forward, const forward_copied_t *copied)
{
    request_t *request;
    attempt_t *attempt;

    HASH_FIND(hh, forward->requests, &copied->number, sizeof(copied->number),
              request);
    if (request == NULL || request->attempt.runner == NULL ||
        request->attempt.number != copied->attempt ||
        !request->attempt.asking) {
        return;
    }
    attempt = &request->attempt;
    attempt->asking = false;
    if (attempt->standby == NULL) {
        attempt->copy_name = NULL;
        attempt->ask_at_us = forward->now_us;
        copies_check(forward, request);
        return;
    }
    if (copied->name == NULL) {
        copies_set_standby(attempt, NULL);
        attempt->copy_name = NULL;
        attempt->ask_at_us =
            forward->now_us + (int64_t)ASK_AGAIN_MS * US_PER_MS;
        return;
    }
    attempt->copy_name = arena_strdup(&request->arena, copied->name);
    attempt->ask_at_us = forward->now_us + (int64_t)REFRESH_MS * US_PER_MS;
}

/*
 * Memory that is set aside for nobody is missing elsewhere.  A copy that grew
 * with its run is freed by the runner itself.
 */
void
copies_drop(forward_t *forward, request_t *request)
{
    arena_t *arena = &forward->orders->arena;
    attempt_t *attempt = &request->attempt;

    if (attempt->copy_name == NULL) {
        return;
    }
    order_new(forward, ORDER_TO_DROP_COPY, request->number)->u.drop_copy =
        (order_drop_copy_t){
            .address = arena_strdup(arena, attempt->runner->is.address),
            .name = arena_strdup(arena, attempt->copy_name),
            .timeout_ms = ASK_TIMEOUT_MS,
        };
    attempt->copy_name = NULL;
}

void
copies_set_standby(attempt_t *attempt, pool_runner_t *standby)
{
    if (attempt->standby != NULL) {
        pool_copy_end(attempt->standby);
    }
    attempt->standby = standby;
    if (standby != NULL) {
        attempt->standby_serial = standby->serial;
        pool_copy_start(standby);
    }
}

/* Gone, or in a zone that has just failed. */
static bool
is_lost(const forward_t *forward, const pool_runner_t *standby)
{
    return !pool_usable(standby, forward->now_us) ||
           forward->now_us < standby->rests_until_us ||
           pool_zone_rests(standby->zone, forward->now_us);
}

static void
ask(forward_t *forward, request_t *request)
{
    arena_t *arena = &forward->orders->arena;
    attempt_t *attempt = &request->attempt;
    forward_order_t *order;

    if (attempt->standby == NULL) {
        pool_runner_t *standby =
            choose_standby(forward, request, attempt->runner);

        if (standby == NULL || is_lost(forward, standby)) {
            attempt->ask_at_us =
                forward->now_us + (int64_t)ASK_AGAIN_MS * US_PER_MS;
            return;
        }
        copies_set_standby(attempt, standby);
    }
    attempt->asking = true;
    order = order_new(forward, ORDER_TO_COPY, request->number);
    order->u.copy = (order_copy_t){
        .attempt = attempt->number,
        .request_id = arena_strdup(arena, request->id),
        .address = arena_strdup(arena, attempt->runner->is.address),
        .to = arena_strdup(arena, attempt->standby->is.address),
        .timeout_ms = ASK_TIMEOUT_MS,
    };
    tell(forward, LOG_INFO, "copy",
         "request=%s attempt=%" PRIu32 " runner=%s to=%s events=%" PRIu32,
         request->id, attempt->number, attempt->runner->is.id,
         attempt->standby->is.id, attempt->events);
}
