/*
 * watcher.c - keeps up with the store: by a watch, or by another host's.
 *
 * Whoever follows a host asks it again and again; an answer proves what was
 * in force when it was asked, less the age that the host states.  Where no
 * host answers, this one watches by itself.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/backoff.h"
#include "base/log.h"
#include "gateway/gateway.h"

enum {
    US_PER_MS = 1000,
    /* Between tries to reach the store: what changed must be in force within
     * a second or two of its return. */
    RETRY_MAX_MS = 500,
};

typedef enum { SOURCE_NONE, SOURCE_READ, SOURCE_WATCH, SOURCE_HOST } source_t;

struct watcher {
    gateway_t *gateway;
    uv_timer_t *timer;
    backoff_t backoff;
    int64_t since_us; /* the call or ask under way began then */
    source_t source;  /* of what is under way */
    bool reading;     /* the whole list is what is needed next */
    bool started;     /* the list has been read once */
    bool away;        /* the store does not answer */
    char *asked;      /* SOURCE_HOST: who */
    uint64_t asks;
    follower_t follower;
};

static void next_call(watcher_t *watcher);
static const char *host_to_ask(watcher_t *watcher, arena_t *arena);
static void ask(watcher_t *watcher, const char *host);
static void ask_failed(watcher_t *watcher);
static void on_range(void *context, kv_result_t result, int64_t revision,
                     const kv_pair_t *pairs, size_t count);
static void on_watch(void *context, kv_result_t result, int64_t revision,
                     const kv_pair_t *pairs, size_t count);
static void in_contact(watcher_t *watcher, int64_t contact_us);
static void retry_later(watcher_t *watcher, const char *what);
static void on_timer(uv_timer_t *timer);

watcher_t *
watcher_new(gateway_t *gateway)
{
    watcher_t *watcher = xcalloc(1, sizeof(*watcher));

    watcher->gateway = gateway;
    watcher->reading = true;
    watcher->timer = xcalloc(1, sizeof(*watcher->timer));
    (void)uv_timer_init(gateway->loop, watcher->timer);
    watcher->timer->data = watcher;
    next_call(watcher);
    return watcher;
}

void
watcher_free(watcher_t *watcher)
{
    if (watcher == NULL) {
        return;
    }
    uv_close((uv_handle_t *)watcher->timer, (uv_close_cb)free);
    free(watcher->asked);
    free(watcher);
}

void
watcher_told(watcher_t *watcher, const char *host, const store_tell_t *tell)
{
    gateway_t *gateway = watcher->gateway;
    int64_t contact_us =
        watcher->since_us - (int64_t)tell->contact_age_ms * US_PER_MS;
    u_int i;

    if (watcher->source != SOURCE_HOST || tell->number != watcher->asks ||
        strcmp(host, watcher->asked) != 0) {
        return;
    }
    (void)uv_timer_stop(watcher->timer);
    if (!tell->known) {
        watcher->reading = true;
        next_call(watcher);
        return;
    }
    for (i = 0; i < tell->items.items_len; i++) {
        const store_item_t *item = &tell->items.items_val[i];
        kv_pair_t pair = {
            .key = item->key,
            .value = item->value.value_val,
            .value_bytes = item->value.value_len,
            .mod_revision = item->revision,
            .create_revision = item->removed ? 0 : item->revision,
        };

        store_view_take(gateway, &pair);
    }
    mirror_reached(gateway->mirror, tell->revision);
    store_relay_changed(gateway->relay);
    if (!follower_contact_is_fresh((int64_t)tell->contact_age_ms *
                                   US_PER_MS)) {
        ask_failed(watcher);
        return;
    }
    in_contact(watcher, contact_us);
    next_call(watcher);
}

/* One watch of all keys is one waiting call, whatever changes. */
static void
next_call(watcher_t *watcher)
{
    gateway_t *gateway = watcher->gateway;
    kv_t *kv = gateway->kv;
    arena_t arena = {0};
    const char *host;

    watcher->since_us = gateway_now_us();
    if (watcher->reading) {
        watcher->source = SOURCE_READ;
        kv->ops->range(kv, "", true, on_range, watcher);
        return;
    }
    host = host_to_ask(watcher, &arena);
    if (host != NULL) {
        ask(watcher, host);
    }
    else {
        watcher->source = SOURCE_WATCH;
        kv->ops->watch(kv, "", mirror_revision(gateway->mirror) + 1, on_watch,
                       watcher);
    }
    arena_free(&arena);
}

/* NULL: this host watches by itself. */
static const char *
host_to_ask(watcher_t *watcher, arena_t *arena)
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
ask(watcher_t *watcher, const char *host)
{
    message_t message = {.kind = MESSAGE_STORE_ASK};

    watcher->source = SOURCE_HOST;
    watcher->asks++;
    if (watcher->asked == NULL || strcmp(watcher->asked, host) != 0) {
        log_event(LOG_INFO, "store-followed", "host=%s", host);
        free(watcher->asked);
        watcher->asked = xstrdup(host);
    }
    message.message_t_u.store_ask.number = watcher->asks;
    message.message_t_u.store_ask.after =
        mirror_revision(watcher->gateway->mirror);
    (void)uv_timer_start(watcher->timer, on_timer, FOLLOWER_POLL_TIMEOUT_MS,
                         0);
    peering_tell(watcher->gateway->peering, host, &message);
}

static void
ask_failed(watcher_t *watcher)
{
    log_event(LOG_NOTICE, "store-host-failed", "host=%s", watcher->asked);
    follower_host_failed(&watcher->follower, watcher->asked, gateway_now_us());
    free(watcher->asked);
    watcher->asked = NULL;
    next_call(watcher);
}

static void
on_range(void *context, kv_result_t result, int64_t revision,
         const kv_pair_t *pairs, size_t count)
{
    watcher_t *watcher = context;

    if (result != KV_OK) {
        retry_later(watcher, "read");
        return;
    }
    store_view_list(watcher->gateway, revision, pairs, count);
    log_event(LOG_INFO, "store-read", "revision=%" PRId64 " items=%zu",
              revision, count);
    store_relay_changed(watcher->gateway->relay);
    watcher->reading = false;
    in_contact(watcher, watcher->since_us);
    if (!watcher->started && follower_fleet_is_small(directory_count(
                                 watcher->gateway->directory))) {
        watcher->source = SOURCE_NONE;
        (void)uv_timer_start(watcher->timer, on_timer,
                             watcher->gateway->settings->settle_ms, 0);
    }
    else {
        next_call(watcher);
    }
    watcher->started = true;
}

/* An empty answer comes when its time is over: nothing had changed. */
static void
on_watch(void *context, kv_result_t result, int64_t revision,
         const kv_pair_t *pairs, size_t count)
{
    watcher_t *watcher = context;
    gateway_t *gateway = watcher->gateway;
    int64_t now_us = gateway_now_us();
    int64_t contact_us = watcher->since_us;
    arena_t arena = {0};
    const char *host;
    size_t i;

    if (watcher->source != SOURCE_WATCH) {
        return;
    }
    if (result == KV_INVALID) {
        log_event(LOG_NOTICE, "store-history-lost", "revision=%" PRId64,
                  mirror_revision(gateway->mirror));
        watcher->reading = true;
        next_call(watcher);
        return;
    }
    if (result != KV_OK) {
        retry_later(watcher, "watch");
        return;
    }
    for (i = 0; i < count; i++) {
        store_view_take(gateway, &pairs[i]);
    }
    mirror_reached(gateway->mirror, revision);
    if (count == 0) {
        contact_us += (int64_t)gateway->settings->watch_ms * US_PER_MS;
        contact_us = contact_us < now_us ? contact_us : now_us;
    }
    watcher->since_us = now_us;
    follower_store_called(&watcher->follower);
    in_contact(watcher, contact_us);
    if (count > 0) {
        store_relay_changed(gateway->relay);
    }
    host = host_to_ask(watcher, &arena);
    if (host != NULL) {
        gateway->kv->ops->watch_end(gateway->kv, watcher);
        ask(watcher, host);
    }
    arena_free(&arena);
}

static void
in_contact(watcher_t *watcher, int64_t contact_us)
{
    forward_event_t event = {.kind = FORWARD_STORE_CONTACT,
                             .u.contact_us = contact_us};

    backoff_reset(&watcher->backoff);
    if (watcher->away) {
        log_event(LOG_NOTICE, "store-regained", "revision=%" PRId64,
                  mirror_revision(watcher->gateway->mirror));
        watcher->away = false;
    }
    forwarding_event(watcher->gateway, &event);
}

static void
retry_later(watcher_t *watcher, const char *what)
{
    uint32_t wait_ms = backoff_next_ms(&watcher->backoff);

    if (!watcher->away) {
        log_event(LOG_WARNING, "store-lost", "call=%s revision=%" PRId64, what,
                  mirror_revision(watcher->gateway->mirror));
        watcher->away = true;
    }
    follower_store_called(&watcher->follower);
    watcher->source = SOURCE_NONE;
    (void)uv_timer_start(watcher->timer, on_timer,
                         wait_ms < RETRY_MAX_MS ? wait_ms : RETRY_MAX_MS, 0);
}

static void
on_timer(uv_timer_t *timer)
{
    watcher_t *watcher = timer->data;

    if (watcher->source == SOURCE_HOST) {
        ask_failed(watcher);
        return;
    }
    next_call(watcher);
}
