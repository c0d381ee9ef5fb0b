/*
 * rollouts.c - moves services to new versions of their software.
 *
 * Applies rollout.h to what the store says, decides on the next phases, and
 * writes them.  rollout_routing.c chooses the version that a request is sent
 * to, rollout_evidence.c counts what responses say of it.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include "base/revision.h"
#include "forward/private.h"

static const char records_prefix[] = "agatevale/rollouts/";

static service_rollout_t *find_or_add(forward_t *forward, const char *service);
static void check_entry(forward_t *forward, service_rollout_t *entry);
static void count_runners(const forward_t *forward,
                          const service_rollout_t *entry,
                          rollout_view_t *view);
static uint32_t count_old_streams(const forward_t *forward,
                                  const service_rollout_t *entry);
static bool is_old_runner(const forward_t *forward,
                          const service_rollout_t *entry, uint64_t id_hash);
static void withdraw_order(forward_t *forward, service_rollout_t *entry);
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
        entry->service_hash = pool_hash_service(service);
        HASH_ADD_KEYPTR(hh, forward->rollouts, entry->service,
                        strlen(entry->service), entry);
    }
    return entry;
}

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
            withdraw_order(forward, entry);
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

/* Operators write again what a restored store has lost. */
static void
withdraw_order(forward_t *forward, service_rollout_t *entry)
{
    if (forward->store_restored) {
        entry->withdraw_us = forward->registry_grace_until_us;
        return;
    }
    (void)rollout_set_order(&entry->state, forward->now_us,
                            &(rollout_order_t){.revision = 0}, false);
}

void
rollouts_apply_order(forward_t *forward, const rollout_order_t *order)
{
    service_rollout_t *entry = find_or_add(forward, order->service);
    bool changed;

    entry->order_listed = true;
    entry->withdraw_us = 0;
    changed = rollout_set_order(&entry->state, forward->now_us, order,
                                !forward->list_in_progress &&
                                    forward->records_known);
    forward->rollouts_changed = true;
    if (!changed) {
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
             "service=%s to=%s duration_ms=%" PRIu32 " era=%" PRId64
             " revision=%" PRId64 " state=%s",
             entry->service, entry->state.version, entry->state.duration_ms,
             revision_era(order->revision), revision_number(order->revision),
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
        if (entry->withdraw_us != 0 && forward->now_us >= entry->withdraw_us) {
            entry->withdraw_us = 0;
            withdraw_order(forward, entry);
        }
        if (rollout_is_known(&entry->state)) {
            int64_t due_us;

            check_entry(forward, entry);
            due_us = rollout_due_us(&entry->state, forward->now_us);
            if (entry->withdraw_us != 0 && entry->withdraw_us < due_us) {
                due_us = entry->withdraw_us;
            }
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
        rollouts_count_slow(forward, entry);
        rollouts_sum_evidence(forward, entry, &view);
        view.verdict = canary_judge(&entry->test, &entry->sum);
        view.old_streams = count_old_streams(forward, entry);
    }
    view.writers_before = record_writers_before(forward, entry->service);
    rollout_check(&entry->state, &view, &writes);
    log_change(forward, entry);
    write_due(forward, entry, &writes);
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
