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
#include "gateway/store_intake.h"

enum { US_PER_MS = 1000 };
#define POLL_PARTS ((uint64_t)1 << LINK_POLL_PARTS_BIT)

struct watcher {
    gateway_t *gateway;
    uv_timer_t *timer;
    uv_timer_t *confirm_timer;
    store_sync_t *sync;
    store_intake_t *intake;
    char *fetch_host;      /* polled host that understands store_fetch_t */
    int64_t receive_us;    /* since when a patch is being received; 0: none */
    bool skipping_history; /* the store changes faster than it can be read */
};

static sync_reply_t reply_kind(const watcher_t *watcher, bool known,
                               int64_t revision);
static void finish_poll(watcher_t *watcher, sync_reply_t kind,
                        uint32_t contact_age_ms);
static void apply_pair(void *context, const kv_pair_t *pair);
static void log_receiving(watcher_t *watcher, const char *host);
static void keep_history(gateway_t *gateway);
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
    watcher->intake = store_intake_new(gateway->mirror, apply_pair, gateway);
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
    store_intake_free(watcher->intake);
    free(watcher->fetch_host);
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

const intake_counters_t *
watcher_counters(const watcher_t *watcher)
{
    return store_intake_counters(watcher->intake);
}

void
watcher_handle_reply(watcher_t *watcher, const char *host,
                     const store_changes_t *reply)
{
    gateway_t *gateway = watcher->gateway;
    sync_reply_t kind;

    if (!store_sync_is_polling(watcher->sync, host,
                               reply->number & ~POLL_PARTS)) {
        return;
    }
    kind = reply_kind(watcher, reply->known, reply->revision);
    if (kind == SYNC_REPLY_CHANGES) {
        announce_store(watcher);
        store_intake_apply_items(watcher->intake, reply->items.items_val,
                                 reply->items.items_len);
        mirror_advance(gateway->mirror, reply->revision);
        store_relay_run(gateway->relay);
    }
    finish_poll(watcher, kind, reply->contact_age_ms);
}

void
watcher_handle_parts(watcher_t *watcher, const char *host,
                     const store_parts_t *parts)
{
    gateway_t *gateway = watcher->gateway;
    sync_reply_t kind;
    err_t err;

    if (!store_sync_is_polling(watcher->sync, host,
                               parts->number & ~POLL_PARTS)) {
        return;
    }
    if (watcher->fetch_host == NULL ||
        strcmp(watcher->fetch_host, host) != 0) {
        free(watcher->fetch_host);
        watcher->fetch_host = xstrdup(host);
    }
    kind = reply_kind(watcher, parts->known, parts->revision);
    if (kind == SYNC_REPLY_CHANGES) {
        announce_store(watcher);
        if (store_intake_handle(watcher->intake, parts, &err) < 0) {
            log_event(LOG_WARNING, "store-patch-failed",
                      "host=%s reason=\"%s\"", host, err.message);
            kind = SYNC_REPLY_UNKNOWN;
        }
        else if (!store_intake_is_final(parts,
                                        watcher_contact_age_max_ms(gateway))) {
            kind = SYNC_REPLY_PARTIAL;
        }
        log_receiving(watcher, host);
        store_relay_run(gateway->relay);
    }
    finish_poll(watcher, kind, parts->contact_age_ms);
}

static void
finish_poll(watcher_t *watcher, sync_reply_t kind, uint32_t contact_age_ms)
{
    arena_t arena = {0};
    store_sync_fleet_t fleet = fleet_now(watcher, &arena);
    store_sync_step_t step =
        store_sync_poll_done(watcher->sync, kind, contact_age_ms, &fleet);

    execute_step(watcher, &step);
    arena_free(&arena);
}

/* Eras rise; an earlier one is of a host that has not read the store anew. */
static sync_reply_t
reply_kind(const watcher_t *watcher, bool known, int64_t revision)
{
    int64_t own = mirror_revision(watcher->gateway->mirror);

    if (revision_era(revision) < revision_era(own)) {
        return SYNC_REPLY_BEHIND;
    }
    return known && revision_same_era(revision, own) ? SYNC_REPLY_CHANGES
                                                     : SYNC_REPLY_UNKNOWN;
}

static void
apply_pair(void *context, const kv_pair_t *pair)
{
    store_view_apply(context, pair);
}

/* Says once that this host is behind, and when it no longer is. */
static void
log_receiving(watcher_t *watcher, const char *host)
{
    int64_t now_us = gateway_now_us();
    size_t patch_bytes;
    size_t received = store_intake_pending(watcher->intake, &patch_bytes);

    if (received > 0 && watcher->receive_us == 0) {
        watcher->receive_us = now_us;
        log_event(LOG_INFO, "store-value-behind",
                  "host=%s received=%zu patch_bytes=%zu", host, received,
                  patch_bytes);
    }
    else if (received == 0 && watcher->receive_us != 0) {
        log_event(LOG_INFO, "store-value-received", "host=%s ms=%" PRId64,
                  host, (now_us - watcher->receive_us) / US_PER_MS);
        watcher->receive_us = 0;
    }
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
        free(watcher->fetch_host);
        watcher->fetch_host = NULL;
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
    uint64_t number = step->poll_number | POLL_PARTS;
    message_t message = {.kind = MESSAGE_STORE_FETCH};
    arena_t arena = {0};

    if (step->new_host) {
        log_event(LOG_INFO, "store-poll-host", "host=%s", step->host);
    }
    if (watcher->fetch_host != NULL &&
        strcmp(watcher->fetch_host, step->host) == 0) {
        message.message_t_u.store_fetch.number = number;
        store_intake_write_fetch(watcher->intake, &arena,
                                 &message.message_t_u.store_fetch);
    }
    else {
        message.kind = MESSAGE_STORE_POLL;
        message.message_t_u.store_poll = (store_poll_t){
            .number = number, .after = mirror_revision(gateway->mirror)};
    }
    peering_send(gateway->peering, step->host, &message);
    arena_free(&arena);
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
        watcher->skipping_history =
            watcher->skipping_history &&
            mirror_has_large_changes(gateway->mirror, pairs, count);
        if (watcher->skipping_history) {
            store_sync_skip_history(watcher->sync);
        }
        keep_history(gateway);
        store_view_load(gateway, revision, pairs, count);
        log_event(LOG_INFO, "store-read",
                  "era=%" PRId64 " revision=%" PRId64 " items=%zu",
                  revision_era(revision), revision_number(revision), count);
        store_relay_run(gateway->relay);
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
        keep_history(gateway);
        for (i = 0; i < count; i++) {
            if (mirror_is_superseded(pairs, count, i)) {
                watcher->skipping_history = true;
                store_sync_skip_history(watcher->sync);
                continue;
            }
            if (!mirror_is_stale(gateway->mirror, &pairs[i])) {
                store_view_apply(gateway, &pairs[i]);
            }
        }
        mirror_advance(gateway->mirror, revision);
        if (count > 0) {
            store_relay_run(gateway->relay);
        }
    }
    fleet = fleet_now(watcher, &arena);
    step = store_sync_watch_done(watcher->sync, sync_result(result), count > 0,
                                 &fleet);
    execute_step(watcher, &step);
    arena_free(&arena);
}

/* In a small fleet, no host polls another one. */
static void
keep_history(gateway_t *gateway)
{
    mirror_keep_history(
        gateway->mirror,
        !follower_fleet_is_small(directory_count(gateway->directory)));
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
