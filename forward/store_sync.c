/*
 * store_sync.c - decides how a host learns of the store's changes; see
 * store_sync.h.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/arena.h"
#include "base/backoff.h"
#include "forward/store_sync.h"

enum { US_PER_MS = 1000, SOURCE_BYTES = 64 };

struct store_sync {
    store_sync_settings_t settings;
    backoff_t backoff;
    int64_t call_start_us;  /* start of the current call or poll */
    store_sync_call_t call; /* SYNC_NONE: waits for the timer */
    bool watch_begun;       /* the first poll of the watch has returned */
    bool watch_changed;     /* the last poll of the watch had changes */
    bool needs_full_read;   /* the next call reads all keys */
    bool skips_history;     /* it does so after the current call */
    bool receiving; /* the last reply to a poll was part of the changes */
    bool initial_read_done;
    bool store_unavailable; /* the last call to the store failed */
    int64_t retry_due_us;   /* of the next call after that */
    char *polled_host;      /* NULL: none, or it has failed */
    char *failed_host;
    char source[SOURCE_BYTES]; /* of the last contact */
    uint64_t poll_number;      /* of the last poll */
    follower_t follower;
};

static void start_next_call(store_sync_t *sync,
                            const store_sync_fleet_t *fleet,
                            store_sync_step_t *step);
static void start_watch(store_sync_t *sync, const store_sync_fleet_t *fleet,
                        store_sync_step_t *step);
static void start_or_wait(store_sync_t *sync, const store_sync_fleet_t *fleet,
                          store_sync_step_t *step);
static const char *select_host(const store_sync_t *sync,
                               const store_sync_fleet_t *fleet);
static void poll_host(store_sync_t *sync, const char *host,
                      store_sync_step_t *step);
static void handle_poll_failure(store_sync_t *sync,
                                const store_sync_fleet_t *fleet,
                                store_sync_step_t *step);
static void continue_polling(store_sync_t *sync,
                             const store_sync_fleet_t *fleet,
                             store_sync_step_t *step);
static void record_contact(store_sync_t *sync, int64_t contact_us,
                           const char *source, store_sync_step_t *step);
static void record_store_answer(store_sync_t *sync, store_sync_step_t *step);
static const char *copy_source(store_sync_t *sync, const char *source);
static bool is_watcher(const store_sync_fleet_t *fleet);
static void handle_call_failure(store_sync_t *sync,
                                const store_sync_fleet_t *fleet,
                                store_sync_step_t *step);

store_sync_t *
store_sync_new(const store_sync_settings_t *settings)
{
    store_sync_t *sync = xcalloc(1, sizeof(*sync));

    sync->settings = *settings;
    sync->needs_full_read = true;
    return sync;
}

void
store_sync_free(store_sync_t *sync)
{
    if (sync != NULL) {
        free(sync->polled_host);
        free(sync->failed_host);
        free(sync);
    }
}

store_sync_step_t
store_sync_start(store_sync_t *sync, const store_sync_fleet_t *fleet)
{
    store_sync_step_t step = {0};

    start_next_call(sync, fleet, &step);
    return step;
}

bool
store_sync_is_store_lost(const store_sync_t *sync)
{
    return sync->store_unavailable;
}

store_sync_step_t
store_sync_read_done(store_sync_t *sync, store_sync_result_t result,
                     const store_sync_fleet_t *fleet)
{
    store_sync_step_t step = {0};

    if (result != SYNC_OK) {
        handle_call_failure(sync, fleet, &step);
        return step;
    }
    sync->needs_full_read = sync->skips_history;
    sync->skips_history = false;
    record_contact(sync, sync->call_start_us, "read", &step);
    if (!sync->initial_read_done && sync->settings.settle_ms > 0 &&
        follower_fleet_is_small(fleet->count)) {
        sync->call = SYNC_NONE;
        step.timer_ms = sync->settings.settle_ms;
    }
    else {
        start_next_call(sync, fleet, &step);
    }
    sync->initial_read_done = true;
    return step;
}

bool
store_sync_is_watching(const store_sync_t *sync)
{
    return sync->call == SYNC_WATCH;
}

/*
 * Without changes, the store had none until it answered.  The first poll of a
 * watch returns at once.
 */
store_sync_step_t
store_sync_watch_done(store_sync_t *sync, store_sync_result_t result,
                      bool changes, const store_sync_fleet_t *fleet)
{
    store_sync_step_t step = {0};
    int64_t contact_us = sync->call_start_us;
    bool skips_history = sync->skips_history;
    const char *host;

    sync->skips_history = false;
    if (result == SYNC_COMPACTED) {
        sync->needs_full_read = true;
        start_next_call(sync, fleet, &step);
        return step;
    }
    if (result != SYNC_OK) {
        handle_call_failure(sync, fleet, &step);
        return step;
    }
    if (!changes && sync->watch_begun) {
        contact_us +=
            (int64_t)(sync->watch_changed ? sync->settings.changed_watch_ms
                                          : sync->settings.watch_ms) *
            US_PER_MS;
        contact_us = contact_us < fleet->now_us ? contact_us : fleet->now_us;
    }
    sync->watch_begun = true;
    sync->watch_changed = changes;
    sync->call_start_us = fleet->now_us;
    follower_store_called(&sync->follower);
    record_contact(sync, contact_us, "watch", &step);
    host = select_host(sync, fleet);
    if (host != NULL) {
        step.ends_watch = true;
        poll_host(sync, host, &step);
    }
    else if (skips_history) {
        step.ends_watch = true;
        sync->needs_full_read = true;
        start_next_call(sync, fleet, &step);
    }
    else if (changes && !follower_fleet_is_small(fleet->count) &&
             follower_poll_hold_ms(fleet->now_us - contact_us,
                                   fleet->contact_age_max_ms) <
                 FOLLOWER_POLL_HOLD_MS) {
        /* The response took long.  The first poll of a watch returns at once,
         * and confirms what followers are told. */
        step.ends_watch = true;
        start_watch(sync, fleet, &step);
    }
    return step;
}

bool
store_sync_is_polling(const store_sync_t *sync, const char *host,
                      uint64_t number)
{
    return sync->call == SYNC_POLL && number == sync->poll_number &&
           strcmp(host, sync->polled_host) == 0;
}

store_sync_step_t
store_sync_poll_done(store_sync_t *sync, sync_reply_t reply,
                     uint32_t contact_age_ms, const store_sync_fleet_t *fleet)
{
    store_sync_step_t step = {0};
    int64_t age_us = (int64_t)contact_age_ms * US_PER_MS;

    if (reply == SYNC_REPLY_UNKNOWN) {
        sync->needs_full_read = true;
        start_or_wait(sync, fleet, &step);
        return step;
    }
    sync->receiving = reply == SYNC_REPLY_PARTIAL;
    if (sync->receiving) {
        continue_polling(sync, fleet, &step);
        return step;
    }
    if (reply == SYNC_REPLY_BEHIND ||
        !follower_contact_is_fresh(age_us, fleet->contact_age_max_ms)) {
        handle_poll_failure(sync, fleet, &step);
        return step;
    }
    step.has_contact = true;
    step.contact_us = sync->call_start_us - age_us;
    step.source = copy_source(sync, sync->polled_host);
    if (is_watcher(fleet)) {
        start_or_wait(sync, fleet, &step);
        return step;
    }
    record_store_answer(sync, &step);
    start_next_call(sync, fleet, &step);
    return step;
}

void
store_sync_skip_history(store_sync_t *sync)
{
    sync->skips_history = true;
}

store_sync_step_t
store_sync_confirm(store_sync_t *sync, const store_sync_fleet_t *fleet)
{
    store_sync_step_t step = {0};

    if (sync->call == SYNC_POLL && sync->receiving) {
        sync->receiving = false;
        start_watch(sync, fleet, &step);
    }
    else if (sync->call == SYNC_POLL &&
             fleet->now_us - sync->call_start_us >
                 (int64_t)FOLLOWER_POLL_HOLD_MS * US_PER_MS) {
        handle_poll_failure(sync, fleet, &step);
    }
    else if (sync->call == SYNC_POLL) {
        follower_ask_store(&sync->follower);
        start_or_wait(sync, fleet, &step);
    }
    else if (sync->call == SYNC_WATCH) {
        step.ends_watch = true;
        start_watch(sync, fleet, &step);
    }
    else if (sync->call == SYNC_NONE && !sync->store_unavailable) {
        start_next_call(sync, fleet, &step);
    }
    return step;
}

store_sync_step_t
store_sync_timer(store_sync_t *sync, const store_sync_fleet_t *fleet)
{
    store_sync_step_t step = {0};

    if (sync->call == SYNC_POLL) {
        handle_poll_failure(sync, fleet, &step);
    }
    else {
        start_next_call(sync, fleet, &step);
    }
    return step;
}

/* The host that sends a large change is not given up, and may have lost the
 * store.  A host that is to watch the store calls it when that is due. */
static void
continue_polling(store_sync_t *sync, const store_sync_fleet_t *fleet,
                 store_sync_step_t *step)
{
    if (is_watcher(fleet)) {
        start_or_wait(sync, fleet, step);
        return;
    }
    sync->call_start_us = fleet->now_us;
    poll_host(sync, sync->polled_host, step);
}

/* A single watch of all keys needs only one open call to the store. */
static void
start_next_call(store_sync_t *sync, const store_sync_fleet_t *fleet,
                store_sync_step_t *step)
{
    const char *host;

    sync->call_start_us = fleet->now_us;
    if (sync->needs_full_read) {
        sync->call = SYNC_READ;
        step->call = SYNC_READ;
        return;
    }
    host = select_host(sync, fleet);
    if (host != NULL) {
        poll_host(sync, host, step);
        return;
    }
    start_watch(sync, fleet, step);
}

static void
start_watch(store_sync_t *sync, const store_sync_fleet_t *fleet,
            store_sync_step_t *step)
{
    sync->call_start_us = fleet->now_us;
    sync->call = SYNC_WATCH;
    sync->watch_begun = false;
    sync->watch_changed = false;
    step->call = SYNC_WATCH;
}

/*
 * Calls the store when that is due.  Until then, polls a host that may have
 * it, unless all keys have to be read.
 */
static void
start_or_wait(store_sync_t *sync, const store_sync_fleet_t *fleet,
              store_sync_step_t *step)
{
    int64_t wait_us = sync->retry_due_us - fleet->now_us;
    const char *host = NULL;

    if (!sync->store_unavailable || wait_us <= 0) {
        start_next_call(sync, fleet, step);
        return;
    }
    if (fleet->peers_ready && !sync->needs_full_read) {
        host = follower_substitute(&sync->follower, fleet->hosts, fleet->count,
                                   fleet->self, fleet->now_us);
    }
    if (host != NULL) {
        sync->call_start_us = fleet->now_us;
        poll_host(sync, host, step);
        return;
    }
    sync->call = SYNC_NONE;
    step->call = SYNC_NONE;
    step->timer_ms = (uint32_t)(wait_us / US_PER_MS) + 1;
}

/* Returns NULL if this host must watch the store itself. */
static const char *
select_host(const store_sync_t *sync, const store_sync_fleet_t *fleet)
{
    return fleet->peers_ready
               ? follower_host_to_poll(&sync->follower, fleet->hosts,
                                       fleet->count, fleet->self,
                                       fleet->now_us)
               : NULL;
}

static void
poll_host(store_sync_t *sync, const char *host, store_sync_step_t *step)
{
    sync->call = SYNC_POLL;
    sync->poll_number++;
    if (sync->polled_host == NULL || strcmp(sync->polled_host, host) != 0) {
        sync->receiving = false;
        free(sync->polled_host);
        sync->polled_host = xstrdup(host);
        step->new_host = true;
    }
    step->call = SYNC_POLL;
    step->host = sync->polled_host;
    step->poll_number = sync->poll_number;
    step->timer_ms = FOLLOWER_POLL_TIMEOUT_MS;
}

static void
handle_poll_failure(store_sync_t *sync, const store_sync_fleet_t *fleet,
                    store_sync_step_t *step)
{
    follower_host_failed(&sync->follower, sync->polled_host, fleet->now_us);
    free(sync->failed_host);
    sync->failed_host = sync->polled_host;
    sync->polled_host = NULL;
    step->failed_host = sync->failed_host;
    start_or_wait(sync, fleet, step);
}

static void
record_contact(store_sync_t *sync, int64_t contact_us, const char *source,
               store_sync_step_t *step)
{
    record_store_answer(sync, step);
    step->has_contact = true;
    step->contact_us = contact_us;
    step->source = copy_source(sync, source);
}

/* The store has answered this host, or a host that it polls as a follower. */
static void
record_store_answer(store_sync_t *sync, store_sync_step_t *step)
{
    backoff_reset(&sync->backoff);
    if (sync->store_unavailable) {
        sync->store_unavailable = false;
        step->store = SYNC_STORE_REGAINED;
        follower_store_regained(&sync->follower);
    }
}

static const char *
copy_source(store_sync_t *sync, const char *source)
{
    (void)snprintf(sync->source, sizeof(sync->source), "%s", source);
    return sync->source;
}

static bool
is_watcher(const store_sync_fleet_t *fleet)
{
    return fleet->self == NULL ||
           follower_is_watcher(fleet->hosts, fleet->count, fleet->self);
}

static void
handle_call_failure(store_sync_t *sync, const store_sync_fleet_t *fleet,
                    store_sync_step_t *step)
{
    uint32_t wait_ms = backoff_delay_ms(&sync->backoff, fleet->random);
    uint32_t wait_max_ms =
        follower_retry_max_ms(fleet->count, is_watcher(fleet));

    if (!sync->store_unavailable) {
        sync->store_unavailable = true;
        step->store = SYNC_STORE_LOST;
        step->lost_call = sync->call;
    }
    follower_store_called(&sync->follower);
    if (wait_ms > wait_max_ms) {
        wait_ms = wait_max_ms;
    }
    sync->retry_due_us = fleet->now_us + (int64_t)wait_ms * US_PER_MS;
    start_or_wait(sync, fleet, step);
}
