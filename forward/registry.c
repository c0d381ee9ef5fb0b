/*
 * registry.c - applies changes of the runner registry to the pool.
 */
#include <syslog.h>

#include "forward/private.h"

static void update_runner(forward_t *forward, const registration_t *entry);
static void apply_entry(forward_t *forward, const registration_t *entry);
static void remove_runner(forward_t *forward, const char *id);
static void log_leaving(forward_t *forward, const pool_runner_t *runner,
                        const char *source);
static void check_all_copies(forward_t *forward);
static int64_t expiry_us(const forward_t *forward);

/*
 * The entries of live runners may have expired during an outage that was long
 * enough.  An old view alone is no sign of one: the host that is polled for it
 * may be slow.
 */
void
registry_start_grace(forward_t *forward)
{
    int64_t grace_us =
        (int64_t)forward->settings.limits.registry_ms * US_PER_MS;

    if (forward->now_us - forward->contact_us > grace_us) {
        forward->registry_grace_until_us = forward->now_us + grace_us;
    }
}

/* What runners and other hosts wrote since the copy is written again soon. */
void
registry_store_restored(forward_t *forward)
{
    forward->store_restored = true;
    forward->registry_grace_until_us =
        forward->now_us +
        (int64_t)forward->settings.limits.registry_ms * US_PER_MS;
}

/*
 * A host is bound by what a runner has told it, with or without the store. The
 * other hosts are told, unless the registry has done so.
 */
void
registry_record_leaving(forward_t *forward, pool_runner_t *runner)
{
    bool usable = pool_runner_usable(runner, forward->now_us);

    if (!pool_mark_leaving(runner)) {
        return;
    }
    if (usable) {
        note_queue(forward,
                   &(finding_t){.kind = NOTE_RUNNER_LEAVES,
                                .finding_t_u.runner = runner->id_hash});
    }
    log_leaving(forward, runner, "runner");
}

void
registry_note_leaving(forward_t *forward, uint64_t id_hash)
{
    pool_runner_t *runner = pool_find_hash(forward->pool, id_hash);

    if (runner != NULL && pool_mark_leaving(runner)) {
        log_leaving(forward, runner, "host");
    }
}

static void
log_leaving(forward_t *forward, const pool_runner_t *runner,
            const char *source)
{
    emit_log(forward, LOG_INFO, "runner",
             "runner=%s state=leaving service=%s zone=%s source=%s",
             runner->registration.id, runner->registration.service,
             runner->registration.zone, source);
    check_all_copies(forward);
}

void
handle_registry_event(forward_t *forward, const forward_event_t *event)
{
    switch (event->kind) {
    case FORWARD_RUNNER_REGISTERED:
        update_runner(forward, &event->u.runner);
        break;
    case FORWARD_RUNNER_DEREGISTERED:
        remove_runner(forward, event->u.deregistered_id);
        break;
    case FORWARD_REGISTRY_BEGIN:
        forward->list_in_progress = true;
        pool_list_begin(forward->pool);
        version_record_list_begin(forward);
        return;
    case FORWARD_REGISTRY_END:
        forward->list_in_progress = false;
        pool_list_end(forward->pool, expiry_us(forward));
        version_record_list_end(forward);
        forward->store_restored = false;
        break;
    default:
        return;
    }
    check_all_copies(forward);
    silence_check_ended(forward);
    suspicion_check_silent(forward);
}

static void
update_runner(forward_t *forward, const registration_t *entry)
{
    /* A copy of the store may have the entry of an earlier start. */
    if (forward->store_restored &&
        pool_keep_later_start(forward->pool, entry)) {
        return;
    }
    apply_entry(forward, entry);
}

/* A complete list is logged once, by the code that reads it. */
static void
apply_entry(forward_t *forward, const registration_t *entry)
{
    static const char *const state_names[] = {
        [RUNNER_UNCHANGED] = "same",        [RUNNER_ADDED] = "added",
        [RUNNER_DRAINING] = "draining",     [RUNNER_RESTARTED] = "restarted",
        [RUNNER_RELISTED] = "listed-again", [RUNNER_RESTORED] = "restored",
    };
    runner_change_t change =
        pool_update_runner(forward->pool, forward->now_us, entry);

    if (change != RUNNER_UNCHANGED) {
        identify_registered(forward,
                            pool_find_runner(forward->pool, entry->id));
    }
    if (change != RUNNER_UNCHANGED) {
        version_record_add_service(forward, entry->service);
        forward->records_changed = true;
    }
    if (change != RUNNER_UNCHANGED && !forward->list_in_progress) {
        emit_log(forward, LOG_INFO, "runner",
                 "runner=%s state=%s service=%s zone=%s version=%s "
                 "started_ms=%lld",
                 entry->id, state_names[change], entry->service, entry->zone,
                 entry->version != NULL ? entry->version : "",
                 (long long)entry->started_ms);
    }
}

static void
remove_runner(forward_t *forward, const char *id)
{
    int64_t expires_at_us = expiry_us(forward);
    const pool_runner_t *runner =
        pool_remove_runner(forward->pool, id, expires_at_us);

    forward->records_changed = true;
    if (runner != NULL) {
        emit_log(forward, LOG_INFO, "runner",
                 "runner=%s state=gone service=%s zone=%s after_ms=%lld", id,
                 runner->registration.service, runner->registration.zone,
                 (long long)((expires_at_us - forward->now_us) / US_PER_MS));
    }
}

/* A standby may have been removed, or restarted without its copies. */
static void
check_all_copies(forward_t *forward)
{
    request_t *request;

    for (request = forward->requests; request != NULL;
         request = request->hh.next) {
        copies_update(forward, request);
    }
}

/* Returns when a runner whose registry entry is missing is removed. */
static int64_t
expiry_us(const forward_t *forward)
{
    return forward->registry_grace_until_us > forward->now_us
               ? forward->registry_grace_until_us
               : forward->now_us;
}
