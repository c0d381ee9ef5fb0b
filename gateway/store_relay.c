/*
 * store_relay.c - replies to the hosts that poll this one for changes of the
 * store, as store_feed.h decides.
 */
#include <stdlib.h>

#include "gateway/gateway.h"
#include "gateway/store_feed.h"

enum { EXPIRY_CHECK_MS = 50, US_PER_MS = 1000 };

struct store_relay {
    gateway_t *gateway;
    uv_timer_t *timer;
    store_feed_t *feed;
};

static void send_message(void *context, const char *host,
                         const message_t *message);
static feed_time_t time_now(const store_relay_t *relay);
static void start_timer(store_relay_t *relay);
static void on_timer(uv_timer_t *timer);

store_relay_t *
store_relay_new(gateway_t *gateway)
{
    store_relay_t *relay = xcalloc(1, sizeof(*relay));

    relay->gateway = gateway;
    relay->feed = store_feed_new(gateway->mirror, send_message, relay);
    relay->timer = xcalloc(1, sizeof(*relay->timer));
    (void)uv_timer_init(gateway->loop, relay->timer);
    relay->timer->data = relay;
    return relay;
}

void
store_relay_free(store_relay_t *relay)
{
    if (relay == NULL) {
        return;
    }
    store_feed_free(relay->feed);
    uv_close((uv_handle_t *)relay->timer, (uv_close_cb)free);
    free(relay);
}

void
store_relay_handle_poll(store_relay_t *relay, const char *host,
                        const store_poll_t *poll)
{
    feed_time_t now = time_now(relay);

    store_feed_poll(relay->feed, &now, host, poll);
    start_timer(relay);
}

void
store_relay_handle_fetch(store_relay_t *relay, const char *host,
                         const store_fetch_t *fetch)
{
    feed_time_t now = time_now(relay);

    store_feed_fetch(relay->feed, &now, host, fetch);
    start_timer(relay);
}

void
store_relay_run(store_relay_t *relay)
{
    feed_time_t now = time_now(relay);

    store_feed_run(relay->feed, &now);
}

const feed_counters_t *
store_relay_counters(const store_relay_t *relay)
{
    return store_feed_counters(relay->feed);
}

static void
send_message(void *context, const char *host, const message_t *message)
{
    store_relay_t *relay = context;

    peering_send(relay->gateway->peering, host, message);
}

static feed_time_t
time_now(const store_relay_t *relay)
{
    int64_t now_us = gateway_now_us();

    return (feed_time_t){
        .now_us = now_us,
        .contact_age_us =
            forward_contact_age_us(forwarding_state(relay->gateway), now_us),
        .contact_age_max_ms = watcher_contact_age_max_ms(relay->gateway),
    };
}

static void
start_timer(store_relay_t *relay)
{
    if (store_feed_is_busy(relay->feed) &&
        !uv_is_active((uv_handle_t *)relay->timer)) {
        (void)uv_timer_start(relay->timer, on_timer, EXPIRY_CHECK_MS,
                             EXPIRY_CHECK_MS);
    }
}

static void
on_timer(uv_timer_t *timer)
{
    store_relay_t *relay = timer->data;

    store_relay_run(relay);
    if (!store_feed_is_busy(relay->feed)) {
        (void)uv_timer_stop(timer);
    }
}
