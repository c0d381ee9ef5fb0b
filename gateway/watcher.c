/* watcher.c - what the store holds: routing table, runners, hosts. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/arena.h"
#include "base/backoff.h"
#include "base/log.h"
#include "gateway/gateway.h"

enum {
    US_PER_MS = 1000,
    /* Between tries to reach the store: what changed must be in force within
     * a second or two of its return. */
    RETRY_MAX_MS = 500,
};

struct watcher {
    gateway_t *gateway;
    uv_timer_t *timer;
    backoff_t backoff;
    int64_t revision; /* seen up to here; 0: nothing was read yet */
    int64_t since_us; /* the call under way began after it */
    bool away;        /* the store does not answer */
    bool peer_key_seen;
    bool reading; /* the whole list, not a watch, is what comes next */
};

static void next_call(watcher_t *watcher);
static void on_range(void *context, kv_result_t result, int64_t revision,
                     const kv_pair_t *pairs, size_t count);
static void on_watch(void *context, kv_result_t result, int64_t revision,
                     const kv_pair_t *pairs, size_t count);
static void in_contact(watcher_t *watcher, int64_t contact_us);
static void retry_later(watcher_t *watcher, const char *what);
static void on_timer(uv_timer_t *timer);
static void raise_kind(watcher_t *watcher, forward_event_kind_t kind);
static void take_pair(watcher_t *watcher, const kv_pair_t *pair);
static void take_routing(watcher_t *watcher, const kv_pair_t *pair);
static void take_runner(watcher_t *watcher, const kv_pair_t *pair);
static bool starts_with(const char *text, const char *prefix);

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
    free(watcher);
}

/* One watch of all keys is one waiting call, whatever changes. */
static void
next_call(watcher_t *watcher)
{
    kv_t *kv = watcher->gateway->kv;

    watcher->since_us = gateway_now_us();
    if (watcher->reading) {
        kv->ops->range(kv, "", true, on_range, watcher);
        return;
    }
    kv->ops->watch(kv, "", watcher->revision + 1, on_watch, watcher);
}

/* What stood before and is not in the list has gone. */
static void
on_range(void *context, kv_result_t result, int64_t revision,
         const kv_pair_t *pairs, size_t count)
{
    watcher_t *watcher = context;
    size_t i;

    if (result != KV_OK) {
        retry_later(watcher, "read");
        return;
    }
    raise_kind(watcher, FORWARD_LIST_BEGIN);
    directory_list_begin(watcher->gateway->directory);
    for (i = 0; i < count; i++) {
        take_pair(watcher, &pairs[i]);
    }
    directory_list_end(watcher->gateway->directory);
    if (!watcher->peer_key_seen) {
        peering_key(watcher->gateway->peering, NULL, 0);
    }
    raise_kind(watcher, FORWARD_LIST_END);
    log_event(LOG_INFO, "store-read", "revision=%" PRId64 " items=%zu",
              revision, count);
    watcher->revision = revision;
    watcher->reading = false;
    in_contact(watcher, watcher->since_us);
    next_call(watcher);
}

/* An empty answer comes when its time is over: nothing had changed. */
static void
on_watch(void *context, kv_result_t result, int64_t revision,
         const kv_pair_t *pairs, size_t count)
{
    watcher_t *watcher = context;
    int64_t now_us = gateway_now_us();
    int64_t contact_us = watcher->since_us;
    size_t i;

    if (result == KV_INVALID) {
        log_event(LOG_NOTICE, "store-history-lost", "revision=%" PRId64,
                  watcher->revision);
        watcher->reading = true;
        next_call(watcher);
        return;
    }
    if (result != KV_OK) {
        retry_later(watcher, "watch");
        return;
    }
    for (i = 0; i < count; i++) {
        take_pair(watcher, &pairs[i]);
    }
    if (count == 0) {
        contact_us +=
            (int64_t)watcher->gateway->settings->watch_ms * US_PER_MS;
        contact_us = contact_us < now_us ? contact_us : now_us;
    }
    if (revision > watcher->revision) {
        watcher->revision = revision;
    }
    watcher->since_us = now_us;
    in_contact(watcher, contact_us);
}

static void
in_contact(watcher_t *watcher, int64_t contact_us)
{
    forward_event_t event = {.kind = FORWARD_CONTACT,
                             .u.contact_us = contact_us};

    backoff_reset(&watcher->backoff);
    if (watcher->away) {
        log_event(LOG_NOTICE, "store-regained", "revision=%" PRId64,
                  watcher->revision);
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
                  watcher->revision);
        watcher->away = true;
    }
    (void)uv_timer_start(watcher->timer, on_timer,
                         wait_ms < RETRY_MAX_MS ? wait_ms : RETRY_MAX_MS, 0);
}

static void
on_timer(uv_timer_t *timer)
{
    next_call(timer->data);
}

static void
raise_kind(watcher_t *watcher, forward_event_kind_t kind)
{
    forward_event_t event = {.kind = kind};

    forwarding_event(watcher->gateway, &event);
}

static void
take_pair(watcher_t *watcher, const kv_pair_t *pair)
{
    const dialect_ops_t *dialect = watcher->gateway->dialect->ops;
    bool removed = pair->create_revision == 0;

    if (strcmp(pair->key, dialect->routing_key) == 0) {
        if (!removed) {
            take_routing(watcher, pair);
        }
    }
    else if (starts_with(pair->key, dialect->registry_prefix)) {
        take_runner(watcher, pair);
    }
    else if (starts_with(pair->key, directory_prefix())) {
        directory_put(watcher->gateway->directory, pair->key,
                      removed ? NULL : pair->value, pair->value_bytes);
    }
    else if (strcmp(pair->key, peering_key_name()) == 0 && !removed) {
        watcher->peer_key_seen = true;
        peering_key(watcher->gateway->peering, pair->value, pair->value_bytes);
    }
}

static void
take_routing(watcher_t *watcher, const kv_pair_t *pair)
{
    err_t err;
    forward_event_t event = {.kind = FORWARD_ROUTING};
    routing_t *routing = watcher->gateway->dialect->ops->read_routing(
        pair->value, pair->value_bytes, &err);

    if (routing == NULL) {
        log_event(LOG_ERR, "routing-refused",
                  "revision=%" PRId64 " reason=\"%s\"", pair->mod_revision,
                  err.message);
        return;
    }
    routing->revision = pair->mod_revision;
    event.u.routing = routing;
    forwarding_event(watcher->gateway, &event);
    front_limits(watcher->gateway->front,
                 &forward_routing(forwarding_state(watcher->gateway))->limits);
}

static void
take_runner(watcher_t *watcher, const kv_pair_t *pair)
{
    const dialect_ops_t *dialect = watcher->gateway->dialect->ops;
    forward_event_t event = {.kind = FORWARD_RUNNER};
    arena_t arena = {0};
    err_t err;

    if (pair->create_revision == 0 ||
        dialect->read_registration(&arena, pair->key, pair->value,
                                   pair->value_bytes, &event.u.runner,
                                   &err) < 0) {
        if (pair->create_revision != 0) {
            log_event(LOG_WARNING, "runner-refused", "reason=\"%s\"",
                      err.message);
        }
        event.kind = FORWARD_RUNNER_DROPPED;
        event.u.runner_dropped = pair->key + strlen(dialect->registry_prefix);
    }
    forwarding_event(watcher->gateway, &event);
    arena_free(&arena);
}

static bool
starts_with(const char *text, const char *prefix)
{
    return strncmp(text, prefix, strlen(prefix)) == 0;
}
