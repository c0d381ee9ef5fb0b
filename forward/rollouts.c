/*
 * rollouts.c - moves services to new versions of their software.
 *
 * Applies canary.h and rollout.h to the requests and runners of a host: which
 * version a request may be sent to, what its response says of the version,
 * what the hosts tell each other, and what is written to the store.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include <xxhash.h>

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
    LOG_BYTES = 256,
};

static const char records_prefix[] = "agatevale/rollouts/";

static service_rollout_t *find_or_add(forward_t *forward, const char *service);
static service_rollout_t *find_of_request(const forward_t *forward,
                                          const request_t *request);
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
static canary_arm_t *arm_of(service_rollout_t *entry, uint64_t route,
                            uint64_t version);
static void count_response(forward_t *forward, request_t *request,
                           canary_response_t response);
static void check_entry(forward_t *forward, service_rollout_t *entry);
static void sum_evidence(const forward_t *forward, service_rollout_t *entry,
                         rollout_view_t *view);
static void count_slow_requests(forward_t *forward, service_rollout_t *entry);
static void count_runners(const forward_t *forward,
                          const service_rollout_t *entry,
                          rollout_view_t *view);
static uint32_t count_old_streams(const forward_t *forward,
                                  const service_rollout_t *entry);
static bool is_old_runner(const forward_t *forward,
                          const service_rollout_t *entry, uint64_t id_hash);
static void write_due(forward_t *forward, service_rollout_t *entry,
                      const rollout_writes_t *writes);
static void log_change(forward_t *forward, service_rollout_t *entry);
static void log_evidence(forward_t *forward, const service_rollout_t *entry,
                         const char *event);

void
rollouts_free(forward_t *forward)
{
    service_rollout_t *entry;
    service_rollout_t *next;

    HASH_ITER(hh, forward->rollouts, entry, next)
    {
        HASH_DEL(forward->rollouts, entry); /* NOLINT(clang-analyzer-*) */
        free(entry->service);
        free(entry);
    }
}

static service_rollout_t *
find_or_add(forward_t *forward, const char *service)
{
    service_rollout_t *entry;

    HASH_FIND_STR(forward->rollouts, service, entry);
    if (entry == NULL) {
        entry = xcalloc(1, sizeof(*entry));
        entry->service = xstrdup(service);
        entry->service_hash = XXH3_64bits(service, strlen(service));
        HASH_ADD_KEYPTR(hh, forward->rollouts, entry->service,
                        strlen(entry->service), entry);
    }
    return entry;
}

/* --- what the store says --- */

void
rollouts_list_begin(forward_t *forward)
{
    service_rollout_t *entry;

    for (entry = forward->rollouts; entry != NULL; entry = entry->hh.next) {
        entry->order_listed = false;
        entry->record_listed = false;
        entry->status_listed = false;
    }
}

void
rollouts_list_end(forward_t *forward)
{
    service_rollout_t *entry;

    for (entry = forward->rollouts; entry != NULL; entry = entry->hh.next) {
        if (!entry->order_listed) {
            rollout_set_order(&entry->state, forward->now_us,
                              &(rollout_order_t){.revision = 0}, false);
        }
        if (!entry->record_listed) {
            (void)rollout_set_record(&entry->state, forward->now_us, NULL, 0);
        }
        if (!entry->status_listed) {
            rollout_set_status(&entry->state, &(rollout_status_t){0});
        }
    }
    forward->rollouts_changed = true;
}

void
rollouts_apply_order(forward_t *forward, const rollout_order_t *order)
{
    service_rollout_t *entry = find_or_add(forward, order->service);
    int64_t known = entry->state.order_revision;

    entry->order_listed = true;
    rollout_set_order(&entry->state, forward->now_us, order,
                      !forward->list_in_progress && forward->records_known);
    forward->rollouts_changed = true;
    if (entry->state.order_revision == known) {
        return;
    }
    if (order->revision != 0) {
        entry->version = pool_hash_version(entry->state.version);
        entry->own = (canary_evidence_t){0};
        entry->sum = (canary_evidence_t){0};
        entry->test = (canary_test_t){0};
        entry->acted_us = 0;
    }
    forward->publish_due = true;
    emit_log(forward, entry->state.invalid ? LOG_WARNING : LOG_NOTICE,
             "rollout-order",
             "service=%s to=%s duration_ms=%" PRIu32 " revision=%" PRId64
             " state=%s",
             entry->service, entry->state.version, entry->state.duration_ms,
             order->revision,
             order->revision == 0   ? "withdrawn"
             : entry->state.invalid ? "invalid"
                                    : rollout_phase_name(entry->state.phase));
}

void
rollouts_apply_status(forward_t *forward, const rollout_status_t *status)
{
    service_rollout_t *entry = find_or_add(forward, status->service);

    entry->status_listed = true;
    rollout_set_status(&entry->state, status);
    forward->rollouts_changed = true;
}

void
rollouts_status_written(forward_t *forward,
                        const forward_rollout_written_t *written)
{
    service_rollout_t *entry = find_or_add(forward, written->status.service);
    bool failed = written->outcome == FORWARD_PUT_FAILED;

    rollout_status_written(&entry->state, forward->now_us, failed);
    if (!failed) {
        rollout_set_status(&entry->state, &written->status);
    }
    forward->rollouts_changed = true;
}

bool
rollouts_is_record(const char *key)
{
    return strncmp(key, records_prefix, strlen(records_prefix)) == 0;
}

void
rollouts_apply_record(forward_t *forward, const forward_record_t *record)
{
    service_rollout_t *entry =
        find_or_add(forward, record->key + strlen(records_prefix));

    entry->record_listed = true;
    if (!rollout_set_record(&entry->state, forward->now_us, record->value,
                            record->revision)) {
        emit_log(forward, LOG_WARNING, "record-invalid", "key=%s",
                 record->key);
    }
    forward->rollouts_changed = true;
}

void
rollouts_record_written(forward_t *forward, const forward_put_result_t *result)
{
    service_rollout_t *entry =
        find_or_add(forward, result->record.key + strlen(records_prefix));

    rollout_record_written(&entry->state, forward->now_us,
                           result->outcome == FORWARD_PUT_FAILED,
                           result->outcome == FORWARD_PUT_DONE);
    if (result->outcome != FORWARD_PUT_FAILED) {
        rollouts_apply_record(forward, &result->record);
    }
}

/* --- where requests are sent --- */

static service_rollout_t *
find_of_request(const forward_t *forward, const request_t *request)
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
    service_rollout_t *entry = find_of_request(forward, request);
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
    const service_rollout_t *entry = find_of_request(forward, request);

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
    const service_rollout_t *entry = find_of_request(forward, request);

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
    const service_rollout_t *entry = find_of_request(forward, request);

    return entry != NULL && request->type == REQUEST_STREAM &&
           request->resumable && !request->response_started &&
           request->last_event_id < 0 &&
           request->runs < request->attempts_max &&
           !request->attempt.relayed &&
           request->attempt.version == entry->version &&
           entry->state.phase != ROLLOUT_COMPLETED;
}

/* --- what responses say --- */

static canary_arm_t *
arm_of(service_rollout_t *entry, uint64_t route, uint64_t version)
{
    canary_route_t *counts = canary_route(&entry->own, route);

    return version == entry->version ? &counts->new_version
                                     : &counts->old_version;
}

void
rollouts_count_send(forward_t *forward, const request_t *request)
{
    service_rollout_t *entry = find_of_request(forward, request);

    if (entry != NULL && rollout_is_open(&entry->state) &&
        request->deliveries == 1) {
        arm_of(entry, request->route, request->attempt.version)->sent++;
    }
}

/* A stream that is resumed says little: most of its prompt is not read. */
static void
count_response(forward_t *forward, request_t *request,
               canary_response_t response)
{
    service_rollout_t *entry = find_of_request(forward, request);
    attempt_t *attempt = &request->attempt;
    int64_t latency_us = forward->now_us - attempt->started_us;
    canary_arm_t *arm;

    if (entry == NULL || attempt->judged || attempt->relayed ||
        attempt->runner == NULL || request->last_event_id >= 0 ||
        !rollout_is_open(&entry->state)) {
        return;
    }
    attempt->judged = true;
    if (response == CANARY_RESPONSE_GOOD &&
        latency_us >= canary_slow_limit_us(&entry->sum, request->route)) {
        response = CANARY_RESPONSE_SLOW;
    }
    arm = arm_of(entry, request->route, attempt->version);
    canary_count(arm, attempt->runner->id_hash, latency_us, response);
    if (attempt->version == entry->version) {
        request->failed_at_new |= response == CANARY_RESPONSE_FAILED;
        forward->publish_due = true;
        forward->rollouts_changed |= response != CANARY_RESPONSE_GOOD;
    }
}

void
rollouts_count_event(forward_t *forward, request_t *request)
{
    count_response(forward, request, CANARY_RESPONSE_GOOD);
}

void
rollouts_count_response(forward_t *forward, request_t *request, bool failed)
{
    count_response(forward, request,
                   failed ? CANARY_RESPONSE_FAILED : CANARY_RESPONSE_GOOD);
}

/* --- what hosts tell each other --- */

void
rollouts_receive(forward_t *forward, peer_state_t *view,
                 const placements_t *placements)
{
    u_int count = placements->rollouts.rollouts_len;
    service_rollout_t *entry;
    u_int i;

    view->rollout_count = count;
    if (count == 0) {
        free(view->rollouts);
        view->rollouts = NULL;
        return;
    }
    view->rollouts = xrealloc(view->rollouts, count, sizeof(*view->rollouts));
    for (i = 0; i < count; i++) {
        const rollout_report_t *report = &placements->rollouts.rollouts_val[i];
        peer_rollout_t *told = &view->rollouts[i];
        u_int j;

        *told = (peer_rollout_t){.service = report->service,
                                 .order_revision = report->order_revision,
                                 .bad = report->bad,
                                 .evidence.count = report->routes.routes_len};
        for (j = 0; j < report->routes.routes_len; j++) {
            const rollout_route_t *route = &report->routes.routes_val[j];

            told->evidence.routes[j].route = route->route;
            memcpy(&told->evidence.routes[j].old_version, &route->old_version,
                   sizeof(route->old_version));
            memcpy(&told->evidence.routes[j].new_version, &route->new_version,
                   sizeof(route->new_version));
        }
        for (entry = forward->rollouts; entry != NULL;
             entry = entry->hh.next) {
            if (entry->service_hash == report->service) {
                rollout_set_elapsed(&entry->state, forward->now_us,
                                    report->order_revision,
                                    report->elapsed_ms);
                forward->rollouts_changed |= report->bad && !entry->state.bad;
            }
        }
    }
}

void
rollouts_write(const forward_t *forward, arena_t *arena,
               placements_t *placements)
{
    const service_rollout_t *entry;
    u_int count = 0;

    placements->rollouts.rollouts_val = arena_array(
        arena, LINK_ROLLOUTS_MAX, sizeof(*placements->rollouts.rollouts_val));
    for (entry = forward->rollouts; entry != NULL && count < LINK_ROLLOUTS_MAX;
         entry = entry->hh.next) {
        rollout_report_t *report = &placements->rollouts.rollouts_val[count];
        uint32_t i;

        if (!rollout_is_open(&entry->state)) {
            continue;
        }
        *report = (rollout_report_t){
            .service = entry->service_hash,
            .order_revision = entry->state.order_revision,
            .elapsed_ms =
                (uint32_t)((forward->now_us - entry->state.started_us) /
                           US_PER_MS),
            .bad = entry->state.bad,
        };
        report->routes.routes_len = entry->own.count;
        report->routes.routes_val = arena_array(
            arena, entry->own.count, sizeof(*report->routes.routes_val));
        for (i = 0; i < entry->own.count; i++) {
            rollout_route_t *route = &report->routes.routes_val[i];

            route->route = entry->own.routes[i].route;
            memcpy(&route->old_version, &entry->own.routes[i].old_version,
                   sizeof(route->old_version));
            memcpy(&route->new_version, &entry->own.routes[i].new_version,
                   sizeof(route->new_version));
        }
        count++;
    }
    placements->rollouts.rollouts_len = count;
}

/* --- decisions --- */

void
rollouts_check(forward_t *forward)
{
    service_rollout_t *entry;

    forward->rollouts_changed = false;
    forward->rollouts_due_us = INT64_MAX;
    if (!forward->records_known || forward->list_in_progress) {
        return;
    }
    for (entry = forward->rollouts; entry != NULL; entry = entry->hh.next) {
        if (rollout_is_known(&entry->state)) {
            int64_t due_us;

            check_entry(forward, entry);
            due_us = rollout_due_us(&entry->state, forward->now_us);
            if (due_us < forward->rollouts_due_us) {
                forward->rollouts_due_us = due_us;
            }
        }
    }
}

static void
check_entry(forward_t *forward, service_rollout_t *entry)
{
    rollout_view_t view = {.now_us = forward->now_us};
    rollout_writes_t writes;

    count_runners(forward, entry, &view);
    entry->new_runners = view.new_runners;
    entry->old_runners = view.old_runners;
    if (rollout_is_open(&entry->state)) {
        count_slow_requests(forward, entry);
        sum_evidence(forward, entry, &view);
        view.verdict = canary_judge(&entry->test, &entry->sum);
        view.old_streams = count_old_streams(forward, entry);
    }
    view.writers_before = record_writers_before(forward, entry->service);
    rollout_check(&entry->state, &view, &writes);
    log_change(forward, entry);
    write_due(forward, entry, &writes);
}

static void
sum_evidence(const forward_t *forward, service_rollout_t *entry,
             rollout_view_t *view)
{
    const peer_state_t *peer;
    uint32_t hosts = 1;
    uint32_t i;

    entry->sum = entry->own;
    for (peer = forward->peers; peer != NULL; peer = peer->hh.next) {
        for (i = 0; i < peer->rollout_count; i++) {
            const peer_rollout_t *told = &peer->rollouts[i];

            if (told->service == entry->service_hash &&
                told->order_revision == entry->state.order_revision) {
                canary_add(&entry->sum, &told->evidence);
                view->bad_told |= told->bad;
                hosts += sharing_is_silent(forward, peer) ? 0 : 1;
            }
        }
    }
    entry->hosts_heard = hosts;
    view->hosts_heard = 2 * hosts >= forward->hosts;
}

/* Requests that still wait for their response after the time in which others
 * get one. */
static void
count_slow_requests(forward_t *forward, service_rollout_t *entry)
{
    request_t *request;

    for (request = forward->requests; request != NULL;
         request = request->hh.next) {
        attempt_t *attempt = &request->attempt;

        if (attempt->runner != NULL && !attempt->judged &&
            attempt->events == 0 && request->service != NULL &&
            strcmp(request->service, entry->service) == 0 &&
            forward->now_us - attempt->started_us >=
                canary_slow_limit_us(&entry->sum, request->route)) {
            count_response(forward, request, CANARY_RESPONSE_SLOW);
        }
    }
}

static void
count_runners(const forward_t *forward, const service_rollout_t *entry,
              rollout_view_t *view)
{
    const pool_runner_t *runner;

    for (runner = pool_first_runner(forward->pool); runner != NULL;
         runner = runner->hh.next) {
        if (!pool_runner_usable(runner, forward->now_us) ||
            strcmp(runner->registration.service, entry->service) != 0) {
            continue;
        }
        if (runner->version == entry->version) {
            view->new_runners++;
        }
        else {
            view->old_runners++;
        }
    }
}

static uint32_t
count_old_streams(const forward_t *forward, const service_rollout_t *entry)
{
    const request_t *request;
    const peer_state_t *peer;
    uint32_t count = 0;
    uint32_t i;

    for (request = forward->requests; request != NULL;
         request = request->hh.next) {
        if (request->service == NULL || request->attempt.relayed ||
            strcmp(request->service, entry->service) != 0) {
            continue;
        }
        if ((request->attempt.runner != NULL &&
             request->attempt.version != entry->version) ||
            (request->version != 0 && request->version != entry->version)) {
            count++;
        }
    }
    for (peer = forward->peers; peer != NULL; peer = peer->hh.next) {
        for (i = 0; i < peer->count; i++) {
            count += is_old_runner(forward, entry, peer->placements[i].runner)
                         ? 1
                         : 0;
        }
    }
    return count;
}

static bool
is_old_runner(const forward_t *forward, const service_rollout_t *entry,
              uint64_t id_hash)
{
    const pool_runner_t *runner = pool_find_hash(forward->pool, id_hash);

    return runner != NULL && runner->version != entry->version &&
           strcmp(runner->registration.service, entry->service) == 0;
}

static void
write_due(forward_t *forward, service_rollout_t *entry,
          const rollout_writes_t *writes)
{
    arena_t *arena = &forward->actions->arena;

    if (writes->put_record) {
        log_evidence(forward, entry, "rollout-decided");
        version_record_put(
            forward,
            arena_printf(arena, "%s%s", records_prefix, entry->service),
            arena_strdup(arena, writes->record), entry->state.record.revision);
    }
    if (writes->put_status) {
        rollout_status_t *status =
            &action_new(forward, FORWARD_ACTION_PUT_ROLLOUT, 0)->u.rollout;

        *status = writes->status;
        status->service = arena_strdup(arena, entry->service);
        status->version = arena_strdup(arena, writes->status.version);
        status->revision = entry->state.status.revision;
    }
}

static void
log_change(forward_t *forward, service_rollout_t *entry)
{
    if (rollout_excludes_new(&entry->state) && entry->acted_us == 0) {
        entry->acted_us = forward->now_us;
        forward->publish_due = true;
        log_evidence(forward, entry, "rollout-stopped");
    }
    if (entry->state.phase != entry->logged_phase ||
        entry->state.order_revision != entry->logged_revision) {
        entry->logged_phase = entry->state.phase;
        entry->logged_revision = entry->state.order_revision;
        forward->publish_due = true;
        log_evidence(forward, entry, "rollout-phase");
    }
}

static void
log_evidence(forward_t *forward, const service_rollout_t *entry,
             const char *event)
{
    canary_arm_t old_version = canary_total(&entry->sum, false);
    canary_arm_t new_version = canary_total(&entry->sum, true);

    emit_log(forward, LOG_NOTICE, event,
             "service=%s to=%s phase=%s age_ms=%" PRId64 " new_sent=%" PRIu32
             " new_responses=%" PRIu32 " new_failed=%" PRIu32
             " new_slow=%" PRIu32 " old_sent=%" PRIu32
             " old_responses=%" PRIu32 " old_failed=%" PRIu32
             " old_slow=%" PRIu32 " new_runners=%" PRIu32 " score=%" PRId32
             " bad=%d",
             entry->service, entry->state.version,
             rollout_phase_name(entry->state.phase),
             (forward->now_us - entry->state.started_us) / US_PER_MS,
             new_version.sent, new_version.responses, new_version.failed,
             new_version.slow, old_version.sent, old_version.responses,
             old_version.failed, old_version.slow, entry->new_runners,
             entry->test.score, entry->state.bad);
}

size_t
forward_rollouts(const forward_t *forward, forward_rollout_view_t *views,
                 size_t max)
{
    const service_rollout_t *entry;
    size_t count = 0;

    for (entry = forward->rollouts; entry != NULL && count < max;
         entry = entry->hh.next) {
        if (!rollout_is_known(&entry->state)) {
            continue;
        }
        views[count] = (forward_rollout_view_t){
            .service = entry->service,
            .version = entry->state.version,
            .phase = rollout_phase_name(entry->state.phase),
            .new_version = canary_total(&entry->own, true),
            .old_version = canary_total(&entry->own, false),
        };
        count++;
    }
    return count;
}
