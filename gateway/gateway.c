/* gateway.c - opens, starts, drains and closes the modules of a gateway. */
#include <stdlib.h>

#include "base/log.h"
#include "gateway/gateway.h"

enum {
    /* Renewals of a lease within its time to live. */
    RENEWALS_PER_LEASE = 2,
    MS_PER_S = 1000,
    US_PER_MS = 1000,
    DRAIN_CHECK_MS = 50,
    /* The platform kills the process at the end of the grace period.  On a
     * host with 0.09 of a core this is 45 ms of processor time for the
     * handling of a late signal, closing what is still open, and freeing. */
    STOP_MARGIN_MS = 500,
    /* Time before the stop in which connections without requests close. */
    CLOSE_MARGIN_MS = 600,
    /* Time before the stop in which refusals and answers are sent, also those
     * of requests whose time has just passed. */
    FLUSH_MARGIN_MS = 200,
};

static void on_drain_check(uv_timer_t *timer);
static void drain_end(gateway_t *gateway);

/* State of a host that is draining. */
typedef struct drain {
    uv_timer_t timer; /* must be first: closing it frees the drain_t */
    gateway_t *gateway;
    int64_t start_us;
    bool ending; /* requests have been ended */
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
    gateway->runner_calls = runner_calls_new(gateway);
    gateway->directory = directory_new(gateway);
    gateway->peering = peering_new(gateway);
    gateway->mirror = mirror_new();
    gateway->relay = store_relay_new(gateway);
    gateway->records = records_new(gateway);
    return 0;
}

void
gateway_start(gateway_t *gateway)
{
    gateway->watcher = watcher_new(gateway);
    front_start(gateway->front);
}

void
gateway_register(gateway_t *gateway, int64_t revision)
{
    const gateway_settings_t *settings = gateway->settings;
    arena_t arena = {0};
    presence_settings_t presence = {
        .loop = gateway->loop,
        .kv = gateway->kv,
        .key = directory_own_key(gateway, &arena),
        .revision = revision,
        .ttl_s = settings->presence_s,
        .interval_ms = settings->presence_s * MS_PER_S / RENEWALS_PER_LEASE,
    };

    if (gateway->presence != NULL) {
        presence_check_era(gateway->presence);
    }
    else if (!gateway->draining) {
        gateway->presence =
            presence_new(&presence, directory_own_value(gateway, &arena));
    }
    arena_free(&arena);
}

uint32_t
gateway_serve_ms(const gateway_limits_t *limits)
{
    uint32_t margin_ms = STOP_MARGIN_MS + FLUSH_MARGIN_MS;

    return limits->grace_ms > margin_ms ? limits->grace_ms - margin_ms : 0;
}

void
gateway_set_limits(gateway_t *gateway, const gateway_limits_t *limits)
{
    gateway->limits = *limits;
    forwarding_apply_limits(gateway);
}

/* Other hosts stop listing this one as soon as its key is deleted. */
void
gateway_drain(gateway_t *gateway)
{
    forward_event_t event = {.kind = FORWARD_DRAIN};
    drain_t *drain = xcalloc(1, sizeof(*drain));

    forwarding_handle_event(gateway, &event);
    gateway->draining = true;
    if (gateway->presence != NULL) {
        presence_stop(gateway->presence);
    }
    front_drain(gateway->front);
    gateway->drain = drain;
    drain->gateway = gateway;
    drain->start_us = gateway_now_us();
    (void)uv_timer_init(gateway->loop, &drain->timer);
    (void)uv_timer_start(&drain->timer, on_drain_check, DRAIN_CHECK_MS,
                         DRAIN_CHECK_MS);
}

/*
 * Callers that have cached the address keep sending requests for a while.
 * Those that can end in time are served until the grace period is nearly over.
 * What is still open then is refused or broken off, and STOP_MARGIN_MS before
 * its end gateway_close() closes all connections.
 */
static void
on_drain_check(uv_timer_t *timer)
{
    drain_t *drain = (drain_t *)timer;
    gateway_t *gateway = drain->gateway;
    int64_t elapsed_ms = (gateway_now_us() - drain->start_us) / US_PER_MS;
    int64_t stop_ms = (int64_t)gateway->limits.grace_ms - STOP_MARGIN_MS;
    bool idle = forward_request_count(forwarding_state(gateway)) == 0;

    if (elapsed_ms >= gateway_serve_ms(&gateway->limits) && !drain->ending) {
        forward_event_t event = {.kind = FORWARD_STOP};

        drain->ending = true;
        forwarding_handle_event(gateway, &event);
    }
    if (!(idle && elapsed_ms >= gateway->limits.drain_ms) &&
        elapsed_ms < stop_ms - CLOSE_MARGIN_MS) {
        return;
    }
    if (front_close_idle(gateway->front) || elapsed_ms >= stop_ms) {
        drain_end(gateway);
        uv_stop(gateway->loop);
    }
}

static void
drain_end(gateway_t *gateway)
{
    if (gateway->drain != NULL) {
        uv_close((uv_handle_t *)&gateway->drain->timer, (uv_close_cb)free);
        gateway->drain = NULL;
    }
}

/* Frees the kv first: its callbacks would use modules already freed. */
void
gateway_close(gateway_t *gateway)
{
    drain_end(gateway);
    if (gateway->kv != NULL) {
        gateway->kv->ops->free(gateway->kv);
    }
    presence_free(gateway->presence);
    peering_free(gateway->peering);
    store_relay_free(gateway->relay);
    records_free(gateway->records);
    watcher_free(gateway->watcher);
    upstreams_free(gateway->upstreams);
    runner_calls_free(gateway->runner_calls);
    http_client_free(gateway->client);
    front_free(gateway->front);
    directory_free(gateway->directory);
    forwarding_free(gateway->forwarding);
    meters_free(gateway->meters);
    mirror_free(gateway->mirror);
    (void)uv_run(gateway->loop, UV_RUN_NOWAIT);
    (void)uv_run(gateway->loop, UV_RUN_NOWAIT);
}
