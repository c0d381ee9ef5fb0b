/*
 * watcher.c - follows the changes of the store, by a watch or by polling
 * another host.
 *
 * Carries out the steps of forward/store_sync.h.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/random.h"
#include "base/revision.h"
#include "forward/store_sync.h"
#include "gateway/gateway.h"

struct watcher {
    gateway_t *gateway;
    uv_timer_t *timer;
    uv_timer_t *confirm_timer;
    store_sync_t *sync;
};

static sync_reply_t reply_kind(const watcher_t *watcher,
                               const store_changes_t *reply);
static store_sync_fleet_t fleet_now(const watcher_t *watcher, arena_t *arena);
static void announce_store(watcher_t *watcher);
static void execute_step(watcher_t *watcher, const store_sync_step_t *step);
static void start_call(watcher_t *watcher, const store_sync_step_t *step);
static void poll_host(watcher_t *watcher, const store_sync_step_t *step);
static void log_store_change(const watcher_t *watcher,
                             const store_sync_step_t *step);
static store_sync_result_t sync_result(kv_result_t result);
static void on_range(void *context, kv_result_t result, int64_t revision,
                     const kv_pair_t *pairs, size_t count);
static void on_watch(void *context, kv_result_t result, int64_t revision,
                     const kv_pair_t *pairs, size_t count);
static void on_timer(uv_timer_t *timer);
static void on_confirm_timer(uv_timer_t *timer);

watcher_t *
watcher_new(gateway_t *gateway)
{
    const gateway_settings_t *settings = gateway->settings;
    store_sync_settings_t sync_settings = {
        .watch_ms = settings->watch_ms,
        .changed_watch_ms = settings->watch_pause_ms > 0
                                ? settings->watch_ms / KV_WATCH_CHANGED_PART
                                : settings->watch_ms,
        .settle_ms = settings->settle_ms,
    };
    watcher_t *watcher = xcalloc(1, sizeof(*watcher));
    arena_t arena = {0};
    store_sync_fleet_t fleet;
    store_sync_step_t step;

    watcher->gateway = gateway;
    watcher->sync = store_sync_new(&sync_settings);
    watcher->timer = xcalloc(1, sizeof(*watcher->timer));
    (void)uv_timer_init(gateway->loop, watcher->timer);
    watcher->timer->data = watcher;
    watcher->confirm_timer = xcalloc(1, sizeof(*watcher->confirm_timer));
    (void)uv_timer_init(gateway->loop, watcher->confirm_timer);
    watcher->confirm_timer->data = watcher;
    fleet = fleet_now(watcher, &arena);
    step = store_sync_start(watcher->sync, &fleet);
    execute_step(watcher, &step);
    arena_free(&arena);
    return watcher;
}

void
watcher_free(watcher_t *watcher)
{
    if (watcher == NULL) {
        return;
    }
    uv_close((uv_handle_t *)watcher->timer, (uv_close_cb)free);
    uv_close((uv_handle_t *)watcher->confirm_timer, (uv_close_cb)free);
    store_sync_free(watcher->sync);
    free(watcher);
}

/* Not from within a step: the event that gave the order may have its own. */
void
watcher_confirm(watcher_t *watcher)
{
    (void)uv_timer_start(watcher->confirm_timer, on_confirm_timer, 0, 0);
}

uint32_t
watcher_contact_age_max_ms(const gateway_t *gateway)
{
    forward_limits_t limits = forwarding_limits_of(&gateway->limits);

    return follower_contact_age_max_ms(forward_view_confirm_ms(&limits));
}

void
watcher_handle_reply(watcher_t *watcher, const char *host,
                     const store_changes_t *reply)
{
    gateway_t *gateway = watcher->gateway;
    arena_t arena = {0};
    store_sync_fleet_t fleet;
    store_sync_step_t step;
    sync_reply_t kind;
    u_int i;

    if (!store_sync_is_polling(watcher->sync, host, reply->number)) {
        return;
    }
    kind = reply_kind(watcher, reply);
    if (kind == SYNC_REPLY_CHANGES) {
        announce_store(watcher);
    }
    for (i = 0; kind == SYNC_REPLY_CHANGES && i < reply->items.items_len;
         i++) {
        const store_item_t *item = &reply->items.items_val[i];
        kv_pair_t pair = {
            .key = item->key,
            .value = item->value.value_val,
            .value_bytes = item->value.value_len,
            .mod_revision = item->revision,
            .create_revision = item->removed ? 0 : item->revision,
        };

        store_view_apply(gateway, &pair);
    }
    if (kind == SYNC_REPLY_CHANGES) {
        mirror_advance(gateway->mirror, reply->revision);
        store_relay_reply_to_all(gateway->relay);
    }
    fleet = fleet_now(watcher, &arena);
    step = store_sync_poll_done(watcher->sync, kind, reply->contact_age_ms,
                                &fleet);
    execute_step(watcher, &step);
    arena_free(&arena);
}

/* Eras rise; an earlier one is of a host that has not read the store anew. */
static sync_reply_t
reply_kind(const watcher_t *watcher, const store_changes_t *reply)
{
    int64_t own = mirror_revision(watcher->gateway->mirror);

    if (revision_era(reply->revision) < revision_era(own)) {
        return SYNC_REPLY_BEHIND;
    }
    return reply->known && revision_same_era(reply->revision, own)
               ? SYNC_REPLY_CHANGES
               : SYNC_REPLY_UNKNOWN;
}

static store_sync_fleet_t
fleet_now(const watcher_t *watcher, arena_t *arena)
{
    const gateway_t *gateway = watcher->gateway;
    store_sync_fleet_t fleet = {
        .now_us = gateway_now_us(),
        .peers_ready = peering_ready(gateway->peering),
        .contact_age_max_ms = watcher_contact_age_max_ms(gateway),
        .random = random_u64(),
    };

    fleet.hosts =
        directory_hosts(gateway->directory, arena, &fleet.count, &fleet.self);
    return fleet;
}

/* Precedes the first changes after an outage. */
static void
announce_store(watcher_t *watcher)
{
    forward_event_t event = {.kind = FORWARD_STORE_REGAINED};

    if (store_sync_is_store_lost(watcher->sync)) {
        forwarding_handle_event(watcher->gateway, &event);
    }
}

/* The contact is recorded before the next call: it may fail at once. */
static void
execute_step(watcher_t *watcher, const store_sync_step_t *step)
{
    gateway_t *gateway = watcher->gateway;

    if (step->failed_host != NULL) {
        log_event(LOG_NOTICE, "store-poll-failed", "host=%s",
                  step->failed_host);
    }
    log_store_change(watcher, step);
    if (step->store == SYNC_STORE_LOST) {
        forward_event_t event = {.kind = FORWARD_STORE_LOST};

        forwarding_handle_event(gateway, &event);
    }
    if (step->has_contact) {
        forward_event_t event = {
            .kind = FORWARD_STORE_CONTACT,
            .u.contact = {
                .contact_us = step->contact_us,
                .revision = mirror_revision(gateway->mirror),
                .source = step->source,
            }};

        forwarding_handle_event(gateway, &event);
    }
    if (step->ends_watch) {
        gateway->kv->ops->watch_cancel(gateway->kv, watcher);
    }
    if (step->timer_ms > 0) {
        (void)uv_timer_start(watcher->timer, on_timer, step->timer_ms, 0);
    }
    else if (step->call != SYNC_NONE) {
        (void)uv_timer_stop(watcher->timer);
    }
    start_call(watcher, step);
}

static void
start_call(watcher_t *watcher, const store_sync_step_t *step)
{
    gateway_t *gateway = watcher->gateway;
    kv_t *kv = gateway->kv;

    switch (step->call) {
    case SYNC_NONE:
        return;
    case SYNC_READ:
        kv->ops->range(kv, "", true, on_range, watcher);
        return;
    case SYNC_WATCH:
        kv->ops->watch(kv, "", mirror_revision(gateway->mirror) + 1, on_watch,
                       watcher);
        return;
    case SYNC_POLL:
        poll_host(watcher, step);
        return;
    }
}

static void
poll_host(watcher_t *watcher, const store_sync_step_t *step)
{
    gateway_t *gateway = watcher->gateway;
    message_t message = {.kind = MESSAGE_STORE_POLL};

    if (step->new_host) {
        log_event(LOG_INFO, "store-poll-host", "host=%s", step->host);
    }
    message.message_t_u.store_poll.number = step->poll_number;
    message.message_t_u.store_poll.after = mirror_revision(gateway->mirror);
    peering_send(gateway->peering, step->host, &message);
}

static void
log_store_change(const watcher_t *watcher, const store_sync_step_t *step)
{
    int64_t revision = mirror_revision(watcher->gateway->mirror);

    switch (step->store) {
    case SYNC_STORE_SAME:
        return;
    case SYNC_STORE_LOST:
        log_event(LOG_WARNING, "store-unavailable",
                  "call=%s era=%" PRId64 " revision=%" PRId64,
                  step->lost_call == SYNC_READ ? "read" : "watch",
                  revision_era(revision), revision_number(revision));
        return;
    case SYNC_STORE_REGAINED:
        log_event(LOG_NOTICE, "store-available",
                  "era=%" PRId64 " revision=%" PRId64, revision_era(revision),
                  revision_number(revision));
        return;
    }
}

static store_sync_result_t
sync_result(kv_result_t result)
{
    switch (result) {
    case KV_OK:
        return SYNC_OK;
    case KV_INVALID:
        return SYNC_COMPACTED;
    default:
        return SYNC_FAILED;
    }
}

static void
on_range(void *context, kv_result_t result, int64_t revision,
         const kv_pair_t *pairs, size_t count)
{
    watcher_t *watcher = context;
    gateway_t *gateway = watcher->gateway;
    arena_t arena = {0};
    store_sync_fleet_t fleet;
    store_sync_step_t step;

    if (result == KV_OK) {
        announce_store(watcher);
        store_view_load(gateway, revision, pairs, count);
        log_event(LOG_INFO, "store-read",
                  "era=%" PRId64 " revision=%" PRId64 " items=%zu",
                  revision_era(revision), revision_number(revision), count);
        store_relay_reply_to_all(gateway->relay);
    }
    fleet = fleet_now(watcher, &arena);
    step = store_sync_read_done(
        watcher->sync, result == KV_OK ? SYNC_OK : SYNC_FAILED, &fleet);
    execute_step(watcher, &step);
    arena_free(&arena);
}

/* An empty result means that a poll has returned without any change. */
static void
on_watch(void *context, kv_result_t result, int64_t revision,
         const kv_pair_t *pairs, size_t count)
{
    watcher_t *watcher = context;
    gateway_t *gateway = watcher->gateway;
    arena_t arena = {0};
    store_sync_fleet_t fleet;
    store_sync_step_t step;
    size_t i;

    if (!store_sync_is_watching(watcher->sync)) {
        return;
    }
    if (result == KV_INVALID) {
        log_event(LOG_NOTICE, "store-revision-compacted",
                  "era=%" PRId64 " revision=%" PRId64 " store_era=%" PRId64,
                  revision_era(mirror_revision(gateway->mirror)),
                  revision_number(mirror_revision(gateway->mirror)),
                  kv_era(gateway->kv));
    }
    if (result == KV_OK) {
        announce_store(watcher);
        for (i = 0; i < count; i++) {
            store_view_apply(gateway, &pairs[i]);
        }
        mirror_advance(gateway->mirror, revision);
        if (count > 0) {
            store_relay_reply_to_all(gateway->relay);
        }
    }
    fleet = fleet_now(watcher, &arena);
    step = store_sync_watch_done(watcher->sync, sync_result(result), count > 0,
                                 &fleet);
    execute_step(watcher, &step);
    arena_free(&arena);
}

static void
on_timer(uv_timer_t *timer)
{
    watcher_t *watcher = timer->data;
    arena_t arena = {0};
    store_sync_fleet_t fleet = fleet_now(watcher, &arena);
    store_sync_step_t step = store_sync_timer(watcher->sync, &fleet);

    execute_step(watcher, &step);
    arena_free(&arena);
}

static void
on_confirm_timer(uv_timer_t *timer)
{
    watcher_t *watcher = timer->data;
    arena_t arena = {0};
    store_sync_fleet_t fleet = fleet_now(watcher, &arena);
    store_sync_step_t step = store_sync_confirm(watcher->sync, &fleet);

    execute_step(watcher, &step);
    arena_free(&arena);
}
