/* registry.c - what the registry of runners says, and what follows. */
#include <syslog.h>

#include "forward/private.h"

static void put(forward_t *forward, const registration_t *is);
static void drop(forward_t *forward, const char *id);
static void check_copies(forward_t *forward);
static int64_t lapse_us(const forward_t *forward);

void
registry_event(forward_t *forward, const forward_event_t *event)
{
    switch (event->kind) {
    case FORWARD_RUNNER:
        put(forward, &event->u.runner);
        break;
    case FORWARD_RUNNER_DROPPED:
        drop(forward, event->u.runner_dropped);
        break;
    case FORWARD_LIST_BEGIN:
        forward->listing = true;
        pool_list_begin(forward->pool);
        return;
    case FORWARD_LIST_END:
        forward->listing = false;
        pool_list_end(forward->pool, lapse_us(forward));
        break;
    default:
        return;
    }
    check_copies(forward);
}

/* A whole list has one line of its own, where it is read. */
static void
put(forward_t *forward, const registration_t *is)
{
    static const char *const names[] = {
        [RUNNER_SAME] = "same",         [RUNNER_ADDED] = "added",
        [RUNNER_DRAINING] = "draining", [RUNNER_RESTARTED] = "restarted",
        [RUNNER_BACK] = "listed-again",
    };
    runner_change_t change = pool_put(forward->pool, forward->now_us, is);

    if (change != RUNNER_SAME && !forward->listing) {
        tell(forward, LOG_INFO, "runner",
             "runner=%s state=%s service=%s zone=%s", is->id, names[change],
             is->service, is->zone);
    }
}

static void
drop(forward_t *forward, const char *id)
{
    int64_t gone_at_us = lapse_us(forward);
    const pool_runner_t *runner = pool_drop(forward->pool, id, gone_at_us);

    if (runner != NULL) {
        tell(forward, LOG_INFO, "runner",
             "runner=%s state=gone service=%s zone=%s after_ms=%lld", id,
             runner->is.service, runner->is.zone,
             (long long)((gone_at_us - forward->now_us) / US_PER_MS));
    }
}

/* A standby may have gone, or started anew. */
static void
check_copies(forward_t *forward)
{
    request_t *request;

    for (request = forward->requests; request != NULL;
         request = request->hh.next) {
        copies_check(forward, request);
    }
}

/*
 * When an entry that is missing from the registry counts as gone.  After an
 * outage of the store the entries of living runners may have lapsed.
 */
static int64_t
lapse_us(const forward_t *forward)
{
    int64_t grace_us =
        (int64_t)forward->settings.limits.registry_ms * US_PER_MS;
    int64_t away_us = forward->now_us - forward->contact_us;

    return forward->now_us + (away_us > grace_us ? grace_us : 0);
}
