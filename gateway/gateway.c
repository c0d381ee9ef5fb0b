/* gateway.c - the tasks together: opened, started, drained and closed. */
#include <stdlib.h>

#include "base/log.h"
#include "gateway/gateway.h"

enum {
    /* Renewals in the time after which a lease ends. */
    RENEWALS = 3,
    MS_PER_S = 1000,
    DRAIN_CHECK_MS = 50,
    /* Left of the grace for the connections' orderly end. */
    GRACE_MARGIN_MS = 600,
};

static void on_drain_check(uv_timer_t *timer);

/* Of a host that leaves. */
typedef struct {
    uv_timer_t timer; /* first: it is closed by it */
    gateway_t *gateway;
    int64_t since_us;
} drain_t;

int
gateway_open(gateway_t *gateway, err_t *err)
{
    gateway->limits = gateway->settings->limits;
    gateway->front = front_new(gateway, err);
    if (gateway->front == NULL) {
        return -1;
    }
    gateway->meters = meters_new();
    gateway->forwarding = forwarding_new(gateway);
    gateway->upstreams = upstreams_new(gateway);
    gateway->inquiries = inquiries_new(gateway);
    gateway->directory = directory_new(gateway);
    gateway->peering = peering_new(gateway);
    gateway->mirror = mirror_new();
    gateway->relay = store_relay_new(gateway);
    return 0;
}

void
gateway_start(gateway_t *gateway)
{
    const gateway_settings_t *settings = gateway->settings;
    arena_t arena = {0};
    presence_settings_t presence = {
        .loop = gateway->loop,
        .kv = gateway->kv,
        .key =
            arena_printf(&arena, "%s%s", directory_prefix(), settings->host),
        .ttl_s = settings->presence_s,
        .interval_ms = settings->presence_s * MS_PER_S / RENEWALS,
    };

    gateway->watcher = watcher_new(gateway);
    gateway->presence =
        presence_new(&presence, directory_entry(gateway, &arena));
    front_start(gateway->front);
    arena_free(&arena);
}

void
gateway_set_limits(gateway_t *gateway, const gateway_limits_t *limits)
{
    gateway->limits = *limits;
    forwarding_limits(gateway);
}

/* Other hosts name this one no more as soon as its key has gone. */
void
gateway_drain(gateway_t *gateway)
{
    forward_event_t event = {.kind = FORWARD_DRAIN};
    drain_t *drain = xcalloc(1, sizeof(*drain));

    forwarding_event(gateway, &event);
    presence_end(gateway->presence);
    front_drain(gateway->front);
    drain->gateway = gateway;
    drain->since_us = gateway_now_us();
    (void)uv_timer_init(gateway->loop, &drain->timer);
    (void)uv_timer_start(&drain->timer, on_drain_check, DRAIN_CHECK_MS,
                         DRAIN_CHECK_MS);
}

/*
 * Callers that know the address still come for a while; what they have sent
 * is answered until the grace is nearly over.
 */
static void
on_drain_check(uv_timer_t *timer)
{
    drain_t *drain = (drain_t *)timer;
    gateway_t *gateway = drain->gateway;
    int64_t spent_ms = (gateway_now_us() - drain->since_us) / MS_PER_S;
    bool idle = forward_request_count(forwarding_state(gateway)) == 0;

    if (!(idle && spent_ms >= gateway->limits.drain_ms) &&
        spent_ms < (int64_t)gateway->limits.grace_ms - GRACE_MARGIN_MS) {
        return;
    }
    if (front_stop(gateway->front) ||
        spent_ms >= (int64_t)gateway->limits.grace_ms) {
        uv_close((uv_handle_t *)timer, (uv_close_cb)free);
        uv_stop(gateway->loop);
    }
}

/* The kv goes first, whose callbacks would come to freed tasks. */
void
gateway_close(gateway_t *gateway)
{
    if (gateway->kv != NULL) {
        gateway->kv->ops->free(gateway->kv);
    }
    presence_free(gateway->presence);
    peering_free(gateway->peering);
    store_relay_free(gateway->relay);
    watcher_free(gateway->watcher);
    upstreams_free(gateway->upstreams);
    inquiries_free(gateway->inquiries);
    http_client_free(gateway->client);
    front_free(gateway->front);
    directory_free(gateway->directory);
    forwarding_free(gateway->forwarding);
    meters_free(gateway->meters);
    mirror_free(gateway->mirror);
    (void)uv_run(gateway->loop, UV_RUN_NOWAIT);
    (void)uv_run(gateway->loop, UV_RUN_NOWAIT);
}
