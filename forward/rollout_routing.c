/*
 * rollout_routing.c - chooses the version of a service's software that a
 * request is sent to during a roll-out.
 */
#include <string.h>

#include "base/random.h"
#include "forward/private.h"

enum {
    PERMILLE = 1000,
    /* Part of the new version's runners that get its requests while it is
     * judged: their load is at least that of all of them later, so that a
     * version that is bad under load is found. */
    CANARY_RUNNERS_PART = 24,
    CANARY_RUNNERS_MIN = 3,
    CANARY_RUNNERS_MAX = 32,
    /* Part of the limit on acting on a bad version in which its own streams
     * are still taken up at other runners of it. */
    RESUME_PERMILLE = 800,
};

static bool is_only_version(const forward_t *forward,
                            const service_rollout_t *entry);
static bool is_past_resume(const forward_t *forward,
                           const service_rollout_t *entry);
static bool new_version_is_usable(const forward_t *forward,
                                  const service_rollout_t *entry,
                                  const pool_query_t *query);
static void select_canary_runners(const forward_t *forward,
                                  const service_rollout_t *entry,
                                  pool_query_t *query);

service_rollout_t *
rollouts_of_request(const forward_t *forward, const request_t *request)
{
    service_rollout_t *entry;

    if (forward->rollouts == NULL || request->service == NULL) {
        return NULL;
    }
    HASH_FIND_STR(forward->rollouts, request->service, entry);
    return entry != NULL && rollout_is_known(&entry->state) &&
                   entry->state.version[0] != '\0'
               ? entry
               : NULL;
}

void
rollouts_assign(forward_t *forward, request_t *request)
{
    service_rollout_t *entry = rollouts_of_request(forward, request);
    rollout_limits_t limits = forward->settings.limits.rollouts;
    uint64_t draw;

    if (entry == NULL || entry->state.phase != ROLLOUT_CANARY) {
        return;
    }
    if (request->deliveries > 0 || request->tried_count > 0) {
        request->canary = false;
        return;
    }
    /* The slack is that of all hosts: those that do not hear of each other
     * each use a part of it. */
    if (entry->hosts_heard < forward->hosts) {
        limits.slack = limits.slack * entry->hosts_heard / forward->hosts;
    }
    draw = random_next_from(&forward->random_state) % PERMILLE;
    request->canary =
        draw < rollout_share(&entry->state, forward->now_us, &limits,
                             &entry->sum, request->route);
}

bool
rollouts_restrict(const forward_t *forward, const request_t *request,
                  pool_query_t *query)
{
    const service_rollout_t *entry = rollouts_of_request(forward, request);

    if (entry == NULL) {
        return false;
    }
    if (request->version != 0) {
        if (request->version == entry->version &&
            is_past_resume(forward, entry)) {
            query->excluded_version = entry->version;
        }
        return false;
    }
    if (rollout_excludes_new(&entry->state) || request->failed_at_new) {
        if (is_only_version(forward, entry)) {
            return false;
        }
        query->excluded_version = entry->version;
        return request->failed_at_new && !rollout_excludes_new(&entry->state);
    }
    if (entry->state.phase == ROLLOUT_CANARY && !request->canary) {
        query->excluded_version = entry->version;
        return entry->old_runners == 0;
    }
    if (!new_version_is_usable(forward, entry, query)) {
        query->excluded_version =
            entry->state.phase == ROLLOUT_CANARY ? entry->version : 0;
        return false;
    }
    query->version = entry->version;
    if (entry->state.phase == ROLLOUT_CANARY) {
        select_canary_runners(forward, entry, query);
    }
    return true;
}

/* The request may go where it would without the preference that
 * rollouts_restrict() has set. */
void
rollouts_relax(const forward_t *forward, const request_t *request,
               pool_query_t *query)
{
    const service_rollout_t *entry = rollouts_of_request(forward, request);

    query->version = request->version;
    query->id_order_max = 0;
    query->pack = false;
    query->excluded_version = entry != NULL &&
                                      entry->state.phase == ROLLOUT_CANARY &&
                                      entry->old_runners > 0
                                  ? entry->version
                                  : 0;
}

/* An order can name the version that serves: without it, nothing would. */
static bool
is_only_version(const forward_t *forward, const service_rollout_t *entry)
{
    const pool_runner_t *runner;

    for (runner = pool_first_runner(forward->pool); runner != NULL;
         runner = runner->hh.next) {
        if (runner->version != entry->version &&
            strcmp(runner->registration.service, entry->service) == 0) {
            return false;
        }
    }
    return true;
}

static bool
is_past_resume(const forward_t *forward, const service_rollout_t *entry)
{
    int64_t limit_us = (int64_t)forward->settings.limits.rollouts.rollback_ms *
                       US_PER_MS * RESUME_PERMILLE / PERMILLE;

    return rollout_excludes_new(&entry->state) && entry->acted_us > 0 &&
           forward->now_us - entry->acted_us >= limit_us;
}

/* Streams begin only at versions that the store has; see version_record.c. */
static bool
new_version_is_usable(const forward_t *forward, const service_rollout_t *entry,
                      const pool_query_t *query)
{
    uint32_t i;

    if (entry->new_runners == 0) {
        return false;
    }
    for (i = 0; i < query->version_count; i++) {
        if (query->versions[i] == entry->version) {
            return true;
        }
    }
    return query->version_count == 0;
}

/* The same ones at all hosts: those whose ids come first by a hash. */
static void
select_canary_runners(const forward_t *forward, const service_rollout_t *entry,
                      pool_query_t *query)
{
    uint64_t orders[CANARY_RUNNERS_MAX];
    uint32_t wanted = entry->new_runners / CANARY_RUNNERS_PART;
    uint32_t count = 0;
    const pool_runner_t *runner;

    if (wanted < CANARY_RUNNERS_MIN) {
        wanted = CANARY_RUNNERS_MIN;
    }
    if (wanted > CANARY_RUNNERS_MAX) {
        wanted = CANARY_RUNNERS_MAX;
    }
    for (runner = pool_first_runner(forward->pool); runner != NULL;
         runner = runner->hh.next) {
        uint64_t order = pool_runner_order(runner);
        uint32_t at = count;

        if (runner->version != entry->version ||
            !pool_runner_usable(runner, forward->now_us) ||
            strcmp(runner->registration.service, entry->service) != 0 ||
            (count == wanted && order >= orders[count - 1])) {
            continue;
        }
        count += count < wanted ? 1 : 0;
        at = at < count ? at : count - 1;
        for (; at > 0 && orders[at - 1] > order; at--) {
            orders[at] = orders[at - 1];
        }
        orders[at] = order;
    }
    query->pack = true;
    query->id_order_max = count > 0 ? orders[count - 1] : 0;
}

bool
rollouts_may_retry(const forward_t *forward, const request_t *request)
{
    const service_rollout_t *entry = rollouts_of_request(forward, request);

    return entry != NULL && request->type == REQUEST_STREAM &&
           request->resumable && !request->response_started &&
           request->last_event_id < 0 &&
           request->runs < request->attempts_max &&
           !request->attempt.relayed &&
           request->attempt.version == entry->version &&
           entry->state.phase != ROLLOUT_COMPLETED;
}
