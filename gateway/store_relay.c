/*
 * store_relay.c - replies to the hosts that poll this one for changes of the
 * store.
 *
 * Like a watch of the store, a poll is held until a key changes or its hold
 * time is over.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "base/log.h"
#include "gateway/gateway.h"

enum {
    EXPIRY_CHECK_MS = 100,
    POLLS_MAX = 512,
    US_PER_MS = 1000,
};

typedef struct held_poll {
    TAILQ_ENTRY(held_poll) link;
    char *host;
    uint64_t number;
    int64_t after; /* the revision that the host has */
    int64_t expires_us;
} held_poll_t;

struct store_relay {
    gateway_t *gateway;
    uv_timer_t *timer;
    TAILQ_HEAD(, held_poll) polls;
    size_t count;
};

static void send_reply(store_relay_t *relay, const char *host, uint64_t number,
                       int64_t after);
static int64_t contact_age_us(const gateway_t *gateway);
static void held_poll_free(store_relay_t *relay, held_poll_t *entry);
static void on_timer(uv_timer_t *timer);

store_relay_t *
store_relay_new(gateway_t *gateway)
{
    store_relay_t *relay = xcalloc(1, sizeof(*relay));

    relay->gateway = gateway;
    TAILQ_INIT(&relay->polls);
    relay->timer = xcalloc(1, sizeof(*relay->timer));
    (void)uv_timer_init(gateway->loop, relay->timer);
    relay->timer->data = relay;
    return relay;
}

void
store_relay_free(store_relay_t *relay)
{
    held_poll_t *entry;
    held_poll_t *next;

    if (relay == NULL) {
        return;
    }
    for (entry = TAILQ_FIRST(&relay->polls); entry != NULL; entry = next) {
        next = TAILQ_NEXT(entry, link);
        held_poll_free(relay, entry);
    }
    uv_close((uv_handle_t *)relay->timer, (uv_close_cb)free);
    free(relay);
}

/* Replies at once if the host is behind or the poll cannot be held. */
void
store_relay_handle_poll(store_relay_t *relay, const char *host,
                        const store_poll_t *request)
{
    gateway_t *gateway = relay->gateway;
    uint32_t hold_ms = follower_poll_hold_ms(
        contact_age_us(gateway), watcher_contact_age_max_ms(gateway));
    held_poll_t *entry;

    if (request->after != mirror_revision(gateway->mirror) || hold_ms == 0 ||
        relay->count >= POLLS_MAX) {
        send_reply(relay, host, request->number, request->after);
        return;
    }
    entry = xcalloc(1, sizeof(*entry));
    entry->host = xstrdup(host);
    entry->number = request->number;
    entry->after = request->after;
    entry->expires_us = gateway_now_us() + (int64_t)hold_ms * US_PER_MS;
    TAILQ_INSERT_TAIL(&relay->polls, entry, link);
    relay->count++;
    if (!uv_is_active((uv_handle_t *)relay->timer)) {
        (void)uv_timer_start(relay->timer, on_timer, EXPIRY_CHECK_MS,
                             EXPIRY_CHECK_MS);
    }
}

void
store_relay_reply_to_all(store_relay_t *relay)
{
    held_poll_t *entry;
    held_poll_t *next;

    for (entry = TAILQ_FIRST(&relay->polls); entry != NULL; entry = next) {
        next = TAILQ_NEXT(entry, link);
        send_reply(relay, entry->host, entry->number, entry->after);
        held_poll_free(relay, entry);
    }
}

static void
send_reply(store_relay_t *relay, const char *host, uint64_t number,
           int64_t after)
{
    gateway_t *gateway = relay->gateway;
    message_t message = {.kind = MESSAGE_STORE_CHANGES};
    store_changes_t *reply = &message.message_t_u.store_changes;
    arena_t arena = {0};
    kv_pair_t *pairs;
    size_t count;
    size_t i;

    reply->number = number;
    reply->revision = mirror_revision(gateway->mirror);
    reply->contact_age_ms = (uint32_t)(contact_age_us(gateway) / US_PER_MS);
    reply->known =
        mirror_changes_since(gateway->mirror, after, &arena, &pairs, &count) &&
        count <= LINK_ITEMS_MAX;
    if (reply->known) {
        reply->items.items_len = (u_int)count;
        reply->items.items_val =
            arena_array(&arena, count, sizeof(*reply->items.items_val));
    }
    for (i = 0; reply->known && i < count; i++) {
        store_item_t *item = &reply->items.items_val[i];

        item->key = (char *)(uintptr_t)pairs[i].key;
        item->revision = pairs[i].mod_revision;
        item->removed = pairs[i].create_revision == 0;
        item->value.value_len = (u_int)pairs[i].value_bytes;
        item->value.value_val = (char *)(uintptr_t)pairs[i].value;
    }
    peering_send(gateway->peering, host, &message);
    arena_free(&arena);
}

static int64_t
contact_age_us(const gateway_t *gateway)
{
    return forward_contact_age_us(forwarding_state(gateway), gateway_now_us());
}

static void
held_poll_free(store_relay_t *relay, held_poll_t *entry)
{
    TAILQ_REMOVE(&relay->polls, entry, link);
    relay->count--;
    free(entry->host);
    free(entry);
}

static void
on_timer(uv_timer_t *timer)
{
    store_relay_t *relay = timer->data;
    int64_t now_us = gateway_now_us();
    held_poll_t *entry;
    held_poll_t *next;

    for (entry = TAILQ_FIRST(&relay->polls);
         entry != NULL && entry->expires_us <= now_us; entry = next) {
        next = TAILQ_NEXT(entry, link);
        send_reply(relay, entry->host, entry->number, entry->after);
        held_poll_free(relay, entry);
    }
    if (relay->count == 0) {
        (void)uv_timer_stop(timer);
    }
}
