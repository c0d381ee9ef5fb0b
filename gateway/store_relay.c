/*
 * store_relay.c - what the store holds, told to the hosts that follow this
 * one.
 *
 * An ask is held until something changes or its time is over, as a watch of
 * the store is.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "base/log.h"
#include "gateway/gateway.h"

enum {
    CHECK_MS = 100,
    ASKS_MAX = 512,
    US_PER_MS = 1000,
};

typedef struct ask {
    TAILQ_ENTRY(ask) link;
    char *host;
    uint64_t number;
    int64_t after;
    int64_t due_us;
} ask_t;

struct store_relay {
    gateway_t *gateway;
    uv_timer_t *timer;
    TAILQ_HEAD(, ask) asks;
    size_t count;
};

static void answer(store_relay_t *relay, const char *host, uint64_t number,
                   int64_t after);
static int64_t contact_age_us(const gateway_t *gateway);
static void ask_free(store_relay_t *relay, ask_t *ask);
static void on_timer(uv_timer_t *timer);

store_relay_t *
store_relay_new(gateway_t *gateway)
{
    store_relay_t *relay = xcalloc(1, sizeof(*relay));

    relay->gateway = gateway;
    TAILQ_INIT(&relay->asks);
    relay->timer = xcalloc(1, sizeof(*relay->timer));
    (void)uv_timer_init(gateway->loop, relay->timer);
    relay->timer->data = relay;
    return relay;
}

void
store_relay_free(store_relay_t *relay)
{
    ask_t *ask;
    ask_t *next;

    if (relay == NULL) {
        return;
    }
    for (ask = TAILQ_FIRST(&relay->asks); ask != NULL; ask = next) {
        next = TAILQ_NEXT(ask, link);
        ask_free(relay, ask);
    }
    uv_close((uv_handle_t *)relay->timer, (uv_close_cb)free);
    free(relay);
}

/* A host asks for what changed after a revision. */
void
store_relay_asked(store_relay_t *relay, const char *host,
                  const store_ask_t *asked)
{
    gateway_t *gateway = relay->gateway;
    uint32_t hold_ms = follower_poll_hold_ms(contact_age_us(gateway));
    ask_t *ask;

    if (asked->after != mirror_revision(gateway->mirror) || hold_ms == 0 ||
        relay->count >= ASKS_MAX) {
        answer(relay, host, asked->number, asked->after);
        return;
    }
    ask = xcalloc(1, sizeof(*ask));
    ask->host = xstrdup(host);
    ask->number = asked->number;
    ask->after = asked->after;
    ask->due_us = gateway_now_us() + (int64_t)hold_ms * US_PER_MS;
    TAILQ_INSERT_TAIL(&relay->asks, ask, link);
    relay->count++;
    if (!uv_is_active((uv_handle_t *)relay->timer)) {
        (void)uv_timer_start(relay->timer, on_timer, CHECK_MS, CHECK_MS);
    }
}

void
store_relay_changed(store_relay_t *relay)
{
    ask_t *ask;
    ask_t *next;

    for (ask = TAILQ_FIRST(&relay->asks); ask != NULL; ask = next) {
        next = TAILQ_NEXT(ask, link);
        answer(relay, ask->host, ask->number, ask->after);
        ask_free(relay, ask);
    }
}

static void
answer(store_relay_t *relay, const char *host, uint64_t number, int64_t after)
{
    gateway_t *gateway = relay->gateway;
    message_t message = {.kind = MESSAGE_STORE_TELL};
    store_tell_t *tell = &message.message_t_u.store_tell;
    arena_t arena = {0};
    kv_pair_t *pairs;
    size_t count;
    size_t i;

    tell->number = number;
    tell->revision = mirror_revision(gateway->mirror);
    tell->contact_age_ms = (uint32_t)(contact_age_us(gateway) / US_PER_MS);
    tell->known =
        mirror_changes(gateway->mirror, after, &arena, &pairs, &count) &&
        count <= LINK_ITEMS_MAX;
    if (tell->known) {
        tell->items.items_len = (u_int)count;
        tell->items.items_val =
            arena_array(&arena, count, sizeof(*tell->items.items_val));
    }
    for (i = 0; tell->known && i < count; i++) {
        store_item_t *item = &tell->items.items_val[i];

        item->key = (char *)(uintptr_t)pairs[i].key;
        item->revision = pairs[i].mod_revision;
        item->removed = pairs[i].create_revision == 0;
        item->value.value_len = (u_int)pairs[i].value_bytes;
        item->value.value_val = (char *)(uintptr_t)pairs[i].value;
    }
    peering_tell(gateway->peering, host, &message);
    arena_free(&arena);
}

static int64_t
contact_age_us(const gateway_t *gateway)
{
    return forward_contact_age_us(forwarding_state(gateway), gateway_now_us());
}

static void
ask_free(store_relay_t *relay, ask_t *ask)
{
    TAILQ_REMOVE(&relay->asks, ask, link);
    relay->count--;
    free(ask->host);
    free(ask);
}

static void
on_timer(uv_timer_t *timer)
{
    store_relay_t *relay = timer->data;
    int64_t now_us = gateway_now_us();
    ask_t *ask;
    ask_t *next;

    for (ask = TAILQ_FIRST(&relay->asks); ask != NULL && ask->due_us <= now_us;
         ask = next) {
        next = TAILQ_NEXT(ask, link);
        answer(relay, ask->host, ask->number, ask->after);
        ask_free(relay, ask);
    }
    if (relay->count == 0) {
        (void)uv_timer_stop(timer);
    }
}
