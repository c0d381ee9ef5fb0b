/*
 * peering.c - exchanges messages with the other hosts: broadcasts this host's
 * streams, and sends and receives polls of the store and their replies.
 */
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/arena.h"
#include "base/log.h"
#include "base/random.h"
#include "gateway/gateway.h"
#include "peer/peer.h"

enum {
    /* Changes within this time are sent in one message. */
    BROADCAST_DELAY_MS = 4,
    /* A host whose streams change often would fill its link with reports to
     * many hosts.  On average they take no more than this. */
    BROADCAST_BYTES_PER_MS = 256,
    /* Reports also carry findings that have to be in force within seconds. */
    BROADCAST_PAUSE_MAX_MS = 1000,
    /* Streams are sent again at this interval, in case a datagram was lost.
     * With more than REBROADCAST_HOSTS hosts the interval grows in proportion
     * to their number. */
    REBROADCAST_MS = 500,
    REBROADCAST_HOSTS = 10,
    /* Hosts that find no shared key wait for different times, so that few of
     * those that start together write one. */
    KEY_WAIT_MAX_MS = 2000,
    KEY_WORDS = 4, /* 64-bit words */
    KEY_TEXT_BYTES = 64,
    US_PER_S = 1000000,
    NS_PER_US = 1000,
};

static const char key_name[] = "agatevale/peer-key";

struct peering {
    peer_listener_t listener; /* must be first: callbacks cast it */
    gateway_t *gateway;
    peer_t *peer; /* NULL until the key is known */
    char *key;    /* NULL until it is known */
    size_t key_bytes;
    uv_timer_t *timer;
    uv_timer_t *key_timer;
    uint64_t incarnation;
    uint64_t number;       /* of the last message sent */
    uint64_t due_ms;       /* earliest time of the next broadcast */
    bool key_put_pending;  /* a write of a new key is in progress */
    bool streams_reported; /* the last message listed streams */
};

static void create_key(peering_t *peering);
static void on_key_created(void *context, kv_result_t result, int64_t revision,
                           const kv_swap_result_t *answers, size_t count);
static void on_message(peer_listener_t *listener, const char *from,
                       const message_t *message);
static void on_lost(peer_listener_t *listener, const char *host);
static void on_timer(uv_timer_t *timer);
static void on_key_timer(uv_timer_t *timer);
static bool has_content(const placements_t *placements);
static size_t send_report(peering_t *peering, const placements_t *placements);
static void send_on(peering_t *peering, const spread_placements_t *spread);
static void send_to_peer(peering_t *peering, const char *host,
                         const char *peer_address, const message_t *message);

static const peer_listener_ops_t listener_ops = {on_message, on_lost};

peering_t *
peering_new(gateway_t *gateway)
{
    peering_t *peering = xcalloc(1, sizeof(*peering));
    struct timespec now;

    peering->listener.ops = &listener_ops;
    peering->gateway = gateway;
    (void)clock_gettime(CLOCK_REALTIME, &now);
    peering->incarnation =
        (uint64_t)now.tv_sec * US_PER_S + (uint64_t)now.tv_nsec / NS_PER_US;
    peering->timer = xcalloc(1, sizeof(*peering->timer));
    (void)uv_timer_init(gateway->loop, peering->timer);
    peering->timer->data = peering;
    peering->key_timer = xcalloc(1, sizeof(*peering->key_timer));
    (void)uv_timer_init(gateway->loop, peering->key_timer);
    peering->key_timer->data = peering;
    return peering;
}

void
peering_free(peering_t *peering)
{
    if (peering == NULL) {
        return;
    }
    if (peering->peer != NULL) {
        peer_free(peering->peer);
    }
    uv_close((uv_handle_t *)peering->timer, (uv_close_cb)free);
    uv_close((uv_handle_t *)peering->key_timer, (uv_close_cb)free);
    free(peering->key);
    free(peering);
}

const char *
peering_key_name(void)
{
    return key_name;
}

void
peering_set_key(peering_t *peering, const char *value, size_t value_bytes)
{
    const gateway_settings_t *settings = peering->gateway->settings;
    peer_settings_t peer_settings = {
        .host = settings->host,
        .listen_address = settings->peer_address,
        .incarnation = peering->incarnation,
        .seed = random_u64(),
        .key = (const uint8_t *)value,
        .key_bytes = value_bytes,
    };
    err_t err;

    if (settings->peer_address == NULL || peering->peer != NULL) {
        return;
    }
    if (value == NULL) {
        (void)uv_timer_start(peering->key_timer, on_key_timer,
                             random_u64() % KEY_WAIT_MAX_MS, 0);
        return;
    }
    (void)uv_timer_stop(peering->key_timer);
    free(peering->key);
    peering->key = xcalloc(1, value_bytes + 1);
    memcpy(peering->key, value, value_bytes);
    peering->key_bytes = value_bytes;
    peering->peer = peer_new(peering->gateway->loop, &peer_settings,
                             &peering->listener, &err);
    if (peering->peer == NULL) {
        log_event(LOG_ERR, "peer-listener-failed", "reason=\"%s\"",
                  err.message);
    }
}

void
peering_schedule_broadcast(peering_t *peering)
{
    uint64_t due_ms =
        uv_now(peering->gateway->loop) + (uint64_t)BROADCAST_DELAY_MS;

    if (due_ms < peering->due_ms) {
        due_ms = peering->due_ms;
    }
    if (peering->peer != NULL) {
        (void)uv_timer_start(peering->timer, on_timer,
                             due_ms - uv_now(peering->gateway->loop), 0);
    }
}

wire_key_t
peering_key(const peering_t *peering)
{
    return (wire_key_t){.bytes = (const uint8_t *)peering->key,
                        .count = peering->key_bytes};
}

bool
peering_ready(const peering_t *peering)
{
    return peering->peer != NULL;
}

void
peering_send(peering_t *peering, const char *host, const message_t *message)
{
    const char *address =
        directory_peer_address(peering->gateway->directory, host);

    if (peering->peer != NULL && address != NULL && address[0] != '\0') {
        send_to_peer(peering, host, address, message);
    }
}

/*
 * Creates the shared key unless another host has done so.  The first host to
 * write it wins, so that all hosts read the same key from the store.
 */
static void
create_key(peering_t *peering)
{
    kv_t *kv = peering->gateway->kv;
    arena_t arena = {0};
    kv_op_t op = {
        .verb = KV_PUT, .key = key_name, .value_bytes = KEY_TEXT_BYTES};
    kv_swap_t swap = {.key = key_name, .ops = &op, .op_count = 1};

    if (peering->key_put_pending) {
        return;
    }
    op.value = arena_printf(
        &arena, "%016llx%016llx%016llx%016llx",
        (unsigned long long)random_u64(), (unsigned long long)random_u64(),
        (unsigned long long)random_u64(), (unsigned long long)random_u64());
    peering->key_put_pending = true;
    kv->ops->swap(kv, &swap, 1, on_key_created, peering);
    arena_free(&arena);
}

/*
 * The key itself, written by this host or another, arrives by the watch of the
 * store.
 */
static void
on_key_created(void *context, kv_result_t result, int64_t revision,
               const kv_swap_result_t *answers, size_t count)
{
    peering_t *peering = context;

    peering->key_put_pending = false;
    if (result != KV_OK) {
        log_event(LOG_NOTICE, "peer-key-write-failed", "result=%d", result);
    }
}

static void
on_key_timer(uv_timer_t *timer)
{
    create_key(timer->data);
}

static void
on_message(peer_listener_t *listener, const char *from,
           const message_t *message)
{
    peering_t *peering = (peering_t *)listener;
    gateway_t *gateway = peering->gateway;
    forward_event_t event = {.kind = FORWARD_PEER_REPORT};

    if (message->kind == MESSAGE_STORE_POLL) {
        store_relay_handle_poll(gateway->relay, from,
                                &message->message_t_u.store_poll);
        return;
    }
    if (message->kind == MESSAGE_STORE_FETCH) {
        store_relay_handle_fetch(gateway->relay, from,
                                 &message->message_t_u.store_fetch);
        return;
    }
    if (message->kind == MESSAGE_STORE_PARTS) {
        watcher_handle_parts(gateway->watcher, from,
                             &message->message_t_u.store_parts);
        return;
    }
    if (message->kind == MESSAGE_STORE_CHANGES) {
        watcher_handle_reply(gateway->watcher, from,
                             &message->message_t_u.store_changes);
        return;
    }
    if (message->kind == MESSAGE_SPREAD) {
        const spread_placements_t *spread = &message->message_t_u.spread;

        if (strcmp(spread->origin, gateway->settings->host) == 0) {
            return;
        }
        event.u.peer.host = spread->origin;
        event.u.peer.placements = &spread->placements;
        forwarding_handle_event(gateway, &event);
        if (spread->spread) {
            send_on(peering, spread);
        }
        return;
    }
    if (message->kind != MESSAGE_PLACEMENTS) {
        return;
    }
    event.u.peer.host = from;
    event.u.peer.placements = &message->message_t_u.placements;
    forwarding_handle_event(gateway, &event);
}

static void
on_lost(peer_listener_t *listener, const char *host)
{
}

static void
on_timer(uv_timer_t *timer)
{
    peering_t *peering = timer->data;
    gateway_t *gateway = peering->gateway;
    placements_t placements = {0};
    arena_t arena = {0};

    forwarding_write_placements(gateway, &arena, &placements);
    if (has_content(&placements) || peering->streams_reported) {
        uint64_t sent_bytes = peer_counters(peering->peer)->bytes_sent;
        uint64_t pause_ms;
        size_t copies;

        peering->number++;
        placements.incarnation = peering->incarnation;
        placements.number = peering->number;
        copies = send_report(peering, &placements);
        sent_bytes = peer_counters(peering->peer)->bytes_sent - sent_bytes;
        pause_ms = copies > 0 ? sent_bytes / copies *
                                    directory_count(gateway->directory) /
                                    BROADCAST_BYTES_PER_MS
                              : 0;
        if (pause_ms > BROADCAST_PAUSE_MAX_MS) {
            pause_ms = BROADCAST_PAUSE_MAX_MS;
        }
        peering->due_ms = uv_now(gateway->loop) + pause_ms;
    }
    peering->streams_reported = has_content(&placements);
    if (peering->streams_reported) {
        size_t hosts = directory_count(gateway->directory);

        (void)uv_timer_start(timer, on_timer,
                             hosts > REBROADCAST_HOSTS
                                 ? REBROADCAST_MS * hosts / REBROADCAST_HOSTS
                                 : REBROADCAST_MS,
                             0);
    }
    arena_free(&arena);
}

static bool
has_content(const placements_t *placements)
{
    return placements->isolated || placements->items.items_len > 0 ||
           placements->notes.notes_len > 0 ||
           placements->rollouts.rollouts_len > 0 ||
           placements->crash_reports.crash_reports_len > 0;
}

/* Returns the number of messages.  Each is sent on to all hosts of a zone, so
 * that the hosts together send as much as if each of them got its own. */
static size_t
send_report(peering_t *peering, const placements_t *placements)
{
    gateway_t *gateway = peering->gateway;
    message_t direct = {.kind = MESSAGE_PLACEMENTS,
                        .message_t_u.placements = *placements};
    message_t spread = {.kind = MESSAGE_SPREAD};
    arena_t arena = {0};
    spread_host_t *hosts;
    size_t count;
    size_t sent = 0;
    size_t i;

    spread.message_t_u.spread = (spread_placements_t){
        .origin = arena_strdup(&arena, gateway->settings->host),
        .spread = true,
        .placements = *placements,
    };
    hosts = directory_peers(gateway->directory, &arena, &count);
    spread_plan_report(hosts, count, gateway->settings->zone,
                       peering->incarnation + peering->number);
    for (i = 0; i < count; i++) {
        if (hosts[i].how != SPREAD_NONE) {
            send_to_peer(peering, hosts[i].name, hosts[i].address,
                         hosts[i].how == SPREAD_ON ? &spread : &direct);
            sent++;
        }
    }
    arena_free(&arena);
    return sent;
}

static void
send_on(peering_t *peering, const spread_placements_t *spread)
{
    gateway_t *gateway = peering->gateway;
    message_t message = {.kind = MESSAGE_SPREAD,
                         .message_t_u.spread = *spread};
    arena_t arena = {0};
    spread_host_t *hosts;
    size_t count;
    size_t i;

    message.message_t_u.spread.spread = false;
    hosts = directory_peers(gateway->directory, &arena, &count);
    spread_plan_relay(hosts, count, gateway->settings->zone, spread->origin);
    for (i = 0; i < count; i++) {
        if (hosts[i].how != SPREAD_NONE) {
            send_to_peer(peering, hosts[i].name, hosts[i].address, &message);
        }
    }
    arena_free(&arena);
}

static void
send_to_peer(peering_t *peering, const char *host, const char *peer_address,
             const message_t *message)
{
    err_t err;

    if (peer_send(peering->peer, host, peer_address, message, &err) < 0) {
        log_event(LOG_NOTICE, "peer-send-failed", "host=%s reason=\"%s\"",
                  host, err.message);
    }
}
