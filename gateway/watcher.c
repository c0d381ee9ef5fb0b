/*
 * watcher.c - follows the changes of the store, by a watch or by polling
 * another host.
 *
 * A follower polls its watcher host repeatedly.  A reply confirms the store's
 * state as of the time of the poll, less the contact age that the reply
 * states.  If no host replies, this host watches the store itself.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/backoff.h"
#include "base/log.h"
#include "gateway/gateway.h"

enum {
    US_PER_MS = 1000,
};

typedef enum { SOURCE_NONE, SOURCE_READ, SOURCE_WATCH, SOURCE_HOST } source_t;

struct watcher {
    gateway_t *gateway;
    uv_timer_t *timer;
    backoff_t backoff;
    int64_t call_start_us; /* start of the current call or poll */
    source_t source;       /* of the current call */
    bool watch_changed;    /* the last callback of the watch had changes */
    bool needs_full_read;  /* the next call reads all keys */
    bool initial_read_done;
    bool store_unavailable; /* the last call to the store failed */
    char *polled_host;      /* used with SOURCE_HOST */
    uint64_t poll_number;   /* of the last poll */
    follower_t follower;
};

static void start_next_call(watcher_t *watcher);
static const char *select_host_to_poll(watcher_t *watcher, arena_t *arena);
static void poll_host(watcher_t *watcher, const char *host);
static void handle_poll_failure(watcher_t *watcher);
static void on_range(void *context, kv_result_t result, int64_t revision,
                     const kv_pair_t *pairs, size_t count);
static void on_watch(void *context, kv_result_t result, int64_t revision,
                     const kv_pair_t *pairs, size_t count);
static void record_contact(watcher_t *watcher, int64_t contact_us);
static uint32_t retry_max_ms(const watcher_t *watcher);
static void schedule_retry(watcher_t *watcher, const char *call_name);
static void on_timer(uv_timer_t *timer);

watcher_t *
watcher_new(gateway_t *gateway)
{
    watcher_t *watcher = xcalloc(1, sizeof(*watcher));

    watcher->gateway = gateway;
    watcher->needs_full_read = true;
    watcher->timer = xcalloc(1, sizeof(*watcher->timer));
    (void)uv_timer_init(gateway->loop, watcher->timer);
    watcher->timer->data = watcher;
    start_next_call(watcher);
    return watcher;
}

void
watcher_free(watcher_t *watcher)
{
    if (watcher == NULL) {
        return;
    }
    uv_close((uv_handle_t *)watcher->timer, (uv_close_cb)free);
    free(watcher->polled_host);
    free(watcher);
}

void
watcher_handle_reply(watcher_t *watcher, const char *host,
                     const store_changes_t *reply)
{
    gateway_t *gateway = watcher->gateway;
    int64_t contact_us =
        watcher->call_start_us - (int64_t)reply->contact_age_ms * US_PER_MS;
    u_int i;

    if (watcher->source != SOURCE_HOST ||
        reply->number != watcher->poll_number ||
        strcmp(host, watcher->polled_host) != 0) {
        return;
    }
    (void)uv_timer_stop(watcher->timer);
    if (!reply->known) {
        watcher->needs_full_read = true;
        start_next_call(watcher);
        return;
    }
    for (i = 0; i < reply->items.items_len; i++) {
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
    mirror_advance(gateway->mirror, reply->revision);
    store_relay_reply_to_all(gateway->relay);
    if (!follower_contact_is_fresh((int64_t)reply->contact_age_ms *
                                   US_PER_MS)) {
        handle_poll_failure(watcher);
        return;
    }
    record_contact(watcher, contact_us);
    start_next_call(watcher);
}

/* A single watch of all keys needs only one open call to the store. */
static void
start_next_call(watcher_t *watcher)
{
    gateway_t *gateway = watcher->gateway;
    kv_t *kv = gateway->kv;
    arena_t arena = {0};
    const char *host;

    watcher->call_start_us = gateway_now_us();
    if (watcher->needs_full_read) {
        watcher->source = SOURCE_READ;
        kv->ops->range(kv, "", true, on_range, watcher);
        return;
    }
    host = select_host_to_poll(watcher, &arena);
    if (host != NULL) {
        poll_host(watcher, host);
    }
    else {
        watcher->source = SOURCE_WATCH;
        watcher->watch_changed = false;
        kv->ops->watch(kv, "", mirror_revision(gateway->mirror) + 1, on_watch,
                       watcher);
    }
    arena_free(&arena);
}

/* Returns NULL if this host must watch the store itself. */
static const char *
select_host_to_poll(watcher_t *watcher, arena_t *arena)
{
    gateway_t *gateway = watcher->gateway;
    int64_t now_us = gateway_now_us();
    const watcher_candidate_t *self;
    watcher_candidate_t *hosts;
    size_t count;

    if (!peering_ready(gateway->peering)) {
        return NULL;
    }
    hosts = directory_hosts(gateway->directory, arena, &count, &self);
    return follower_host_to_poll(&watcher->follower, hosts, count, self,
                                 now_us);
}

static void
poll_host(watcher_t *watcher, const char *host)
{
    message_t message = {.kind = MESSAGE_STORE_POLL};

    watcher->source = SOURCE_HOST;
    watcher->poll_number++;
    if (watcher->polled_host == NULL ||
        strcmp(watcher->polled_host, host) != 0) {
        log_event(LOG_INFO, "store-poll-host", "host=%s", host);
        free(watcher->polled_host);
        watcher->polled_host = xstrdup(host);
    }
    message.message_t_u.store_poll.number = watcher->poll_number;
    message.message_t_u.store_poll.after =
        mirror_revision(watcher->gateway->mirror);
    (void)uv_timer_start(watcher->timer, on_timer, FOLLOWER_POLL_TIMEOUT_MS,
                         0);
    peering_send(watcher->gateway->peering, host, &message);
}

static void
handle_poll_failure(watcher_t *watcher)
{
    log_event(LOG_NOTICE, "store-poll-failed", "host=%s",
              watcher->polled_host);
    follower_host_failed(&watcher->follower, watcher->polled_host,
                         gateway_now_us());
    free(watcher->polled_host);
    watcher->polled_host = NULL;
    start_next_call(watcher);
}

static void
on_range(void *context, kv_result_t result, int64_t revision,
         const kv_pair_t *pairs, size_t count)
{
    watcher_t *watcher = context;

    if (result != KV_OK) {
        schedule_retry(watcher, "read");
        return;
    }
    store_view_load(watcher->gateway, revision, pairs, count);
    log_event(LOG_INFO, "store-read", "revision=%" PRId64 " items=%zu",
              revision, count);
    store_relay_reply_to_all(watcher->gateway->relay);
    watcher->needs_full_read = false;
    record_contact(watcher, watcher->call_start_us);
    if (!watcher->initial_read_done && follower_fleet_is_small(directory_count(
                                           watcher->gateway->directory))) {
        watcher->source = SOURCE_NONE;
        (void)uv_timer_start(watcher->timer, on_timer,
                             watcher->gateway->settings->settle_ms, 0);
    }
    else {
        start_next_call(watcher);
    }
    watcher->initial_read_done = true;
}

/* An empty result means that the watch timed out without any change. */
static void
on_watch(void *context, kv_result_t result, int64_t revision,
         const kv_pair_t *pairs, size_t count)
{
    watcher_t *watcher = context;
    gateway_t *gateway = watcher->gateway;
    int64_t now_us = gateway_now_us();
    int64_t contact_us = watcher->call_start_us;
    arena_t arena = {0};
    const char *host;
    size_t i;

    if (watcher->source != SOURCE_WATCH) {
        return;
    }
    if (result == KV_INVALID) {
        log_event(LOG_NOTICE, "store-revision-compacted", "revision=%" PRId64,
                  mirror_revision(gateway->mirror));
        watcher->needs_full_read = true;
        start_next_call(watcher);
        return;
    }
    if (result != KV_OK) {
        schedule_retry(watcher, "watch");
        return;
    }
    for (i = 0; i < count; i++) {
        store_view_apply(gateway, &pairs[i]);
    }
    mirror_advance(gateway->mirror, revision);
    if (count == 0) {
        int64_t wait_ms = gateway->settings->watch_ms;

        if (watcher->watch_changed && gateway->settings->watch_pause_ms > 0) {
            wait_ms /= KV_WATCH_CHANGED_PART;
        }
        contact_us += wait_ms * US_PER_MS;
        contact_us = contact_us < now_us ? contact_us : now_us;
    }
    watcher->watch_changed = count > 0;
    watcher->call_start_us = now_us;
    follower_store_called(&watcher->follower);
    record_contact(watcher, contact_us);
    if (count > 0) {
        store_relay_reply_to_all(gateway->relay);
    }
    host = select_host_to_poll(watcher, &arena);
    if (host != NULL) {
        gateway->kv->ops->watch_cancel(gateway->kv, watcher);
        poll_host(watcher, host);
    }
    arena_free(&arena);
}

static void
record_contact(watcher_t *watcher, int64_t contact_us)
{
    forward_event_t event = {.kind = FORWARD_STORE_CONTACT,
                             .u.contact_us = contact_us};

    backoff_reset(&watcher->backoff);
    if (watcher->store_unavailable) {
        log_event(LOG_NOTICE, "store-available", "revision=%" PRId64,
                  mirror_revision(watcher->gateway->mirror));
        watcher->store_unavailable = false;
        follower_store_regained(&watcher->follower);
    }
    forwarding_handle_event(watcher->gateway, &event);
}

static uint32_t
retry_max_ms(const watcher_t *watcher)
{
    const watcher_candidate_t *self;
    arena_t arena = {0};
    size_t count;
    const watcher_candidate_t *hosts =
        directory_hosts(watcher->gateway->directory, &arena, &count, &self);
    uint32_t limit_ms = follower_retry_max_ms(
        count, self == NULL || follower_is_watcher(hosts, count, self));

    arena_free(&arena);
    return limit_ms;
}

static void
schedule_retry(watcher_t *watcher, const char *call_name)
{
    uint32_t wait_ms = backoff_next_ms(&watcher->backoff);
    uint32_t wait_max_ms = retry_max_ms(watcher);

    if (!watcher->store_unavailable) {
        log_event(LOG_WARNING, "store-unavailable",
                  "call=%s revision=%" PRId64, call_name,
                  mirror_revision(watcher->gateway->mirror));
        watcher->store_unavailable = true;
    }
    follower_store_called(&watcher->follower);
    watcher->source = SOURCE_NONE;
    (void)uv_timer_start(watcher->timer, on_timer,
                         wait_ms < wait_max_ms ? wait_ms : wait_max_ms, 0);
}

static void
on_timer(uv_timer_t *timer)
{
    watcher_t *watcher = timer->data;

    if (watcher->source == SOURCE_HOST) {
        handle_poll_failure(watcher);
        return;
    }
    start_next_call(watcher);
}
