/* peers.c - what hosts tell each other, over peer/. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "agated/agated.h"
#include "base/address.h"
#include "base/log.h"
#include "peer/peer.h"

/* Where a host listens for its peers. */
typedef struct {
    char *host;
    char *address;
    UT_hash_handle hh;
} place_t;

struct peers {
    peer_listener_t listener; /* first: messages come by it */
    daemon_t *daemon;
    peer_t *peer;
    char address[ADDRESS_TEXT_BYTES];
    place_t *places;
};

static void on_message(peer_listener_t *listener, const char *from,
                       const message_t *message);
static void on_lost(peer_listener_t *listener, const char *host);
static void resolve_address(peers_t *peers);
static void put_place(peers_t *peers, const char *host, const char *address);
static void learn_places(peers_t *peers, const char *from,
                         const heartbeat_t *heartbeat);
static void place_free(peers_t *peers, place_t *place);

static const peer_listener_ops_t listener_ops = {
    .message = on_message,
    .lost = on_lost,
};

peers_t *
peers_new(daemon_t *daemon, err_t *err)
{
    const settings_t *settings = daemon->settings;
    peers_t *peers = xcalloc(1, sizeof(*peers));
    uint8_t key[PEER_KEY_BYTES_MAX];
    int key_bytes = peer_key_read(settings->peers_key_file, key, err);
    peer_settings_t peer_settings = {
        .host = settings->host,
        .listen_address = settings->peers_address,
        .incarnation = daemon->incarnation,
        .seed = random_u64(),
        .key = key,
        .key_bytes = key_bytes < 0 ? 0 : (size_t)key_bytes,
    };

    peers->listener.ops = &listener_ops;
    peers->daemon = daemon;
    if (key_bytes >= 0) {
        peers->peer =
            peer_new(daemon->loop, &peer_settings, &peers->listener, err);
    }
    explicit_bzero(key, sizeof(key));
    if (peers->peer == NULL) {
        free(peers);
        return NULL;
    }
    resolve_address(peers);
    log_line(LOG_NOTICE, "listening peers=%s", peers->address);
    return peers;
}

void
peers_free(peers_t *peers)
{
    place_t *place;
    place_t *next;

    if (peers == NULL) {
        return;
    }
    peer_free(peers->peer);
    HASH_ITER(hh, peers->places, place, next)
    {
        place_free(peers, place);
    }
    free(peers);
}

const char *
peers_address(const peers_t *peers)
{
    return peers->address;
}

void
peers_greet(peers_t *peers)
{
    const settings_t *settings = peers->daemon->settings;
    size_t count = settings->peers_hosts.count;
    arena_t arena = {0};
    host_entry_t *list;
    event_t event = {.kind = EVENT_HOST_LIST};
    const char *sign;
    size_t i;

    if (count == 0) {
        return;
    }
    list = arena_array(&arena, count + 1, sizeof(*list));
    for (i = 0; i < count; i++) {
        sign = strchr(settings->peers_hosts.items[i], '=');
        list[i].host =
            arena_strndup(&arena, settings->peers_hosts.items[i],
                          (size_t)(sign - settings->peers_hosts.items[i]));
        list[i].peer_address = arena_strdup(&arena, sign + 1);
        list[i].zone = arena_strdup(&arena, "");
        list[i].address = list[i].zone;
    }
    list[count].host = arena_strdup(&arena, settings->host);
    list[count].peer_address = arena_strdup(&arena, peers->address);
    list[count].zone = arena_strdup(&arena, settings->zone);
    list[count].address = list[0].zone;
    event.event_t_u.hosts.hosts.hosts_len = (u_int)count + 1;
    event.event_t_u.hosts.hosts.hosts_val = list;
    peers_hosts(peers, &event.event_t_u.hosts);
    dispatch_event(peers->daemon->dispatch, &event);
    arena_free(&arena);
}

/* A host that the list lacks for a moment stays known. */
void
peers_hosts(peers_t *peers, const host_list_event_t *hosts)
{
    size_t i;

    for (i = 0; i < hosts->hosts.hosts_len; i++) {
        const host_entry_t *host = &hosts->hosts.hosts_val[i];

        if (host->peer_address[0] != '\0' &&
            strcmp(host->host, peers->daemon->settings->host) != 0) {
            put_place(peers, host->host, host->peer_address);
        }
    }
}

void
peers_order(peers_t *peers, const action_t *action)
{
    const send_message_action_t *send_message =
        &action->action_t_u.send_message;
    place_t *place;
    err_t err;

    HASH_FIND_STR(peers->places, send_message->host, place);
    if (place == NULL) {
        log_line(LOG_DEBUG, "not told host=%s reason=no-address",
                 send_message->host);
        return;
    }
    if (peer_tell(peers->peer, send_message->host, place->address,
                  &send_message->message, &err) < 0) {
        log_line(LOG_WARNING, "not told host=%s reason=\"%s\"",
                 send_message->host, err.message);
    }
}

static void
on_message(peer_listener_t *listener, const char *from,
           const message_t *message)
{
    peers_t *peers = (peers_t *)listener;
    event_t event = {.kind = EVENT_PEER_MESSAGE};

    if (message->kind == MESSAGE_HEARTBEAT) {
        learn_places(peers, from, &message->message_t_u.heartbeat);
    }
    event.event_t_u.peer.host = (char *)(uintptr_t)from;
    event.event_t_u.peer.message = *message;
    dispatch_event(peers->daemon->dispatch, &event);
}

/* The platform's list lags: hosts say themselves where they are. */
static void
learn_places(peers_t *peers, const char *from, const heartbeat_t *heartbeat)
{
    u_int i;

    if (heartbeat->peer_address[0] != '\0') {
        put_place(peers, from, heartbeat->peer_address);
    }
    for (i = 0; i < heartbeat->gossip_data.gossip_data_len; i++) {
        const gossip_t *gossip_data =
            &heartbeat->gossip_data.gossip_data_val[i];

        if (gossip_data->peer_address[0] != '\0' &&
            strcmp(gossip_data->host, peers->daemon->settings->host) != 0) {
            put_place(peers, gossip_data->host, gossip_data->peer_address);
        }
    }
}

static void
on_lost(peer_listener_t *listener, const char *host)
{
    log_line(LOG_NOTICE, "peer lost host=%s", host);
}

/* The settings may name port 0: the kernel's choice. */
static void
resolve_address(peers_t *peers)
{
    struct sockaddr_storage address;
    uint16_t port = htons(peer_bound_port(peers->peer));

    (void)address_parse(peers->daemon->settings->peers_address, &address,
                        NULL);
    if (address.ss_family == AF_INET6) {
        ((struct sockaddr_in6 *)&address)->sin6_port = port;
    }
    else {
        ((struct sockaddr_in *)&address)->sin_port = port;
    }
    address_format((struct sockaddr *)&address, peers->address);
}

static void
put_place(peers_t *peers, const char *host, const char *address)
{
    place_t *place;

    HASH_FIND_STR(peers->places, host, place);
    if (place != NULL && strcmp(place->address, address) == 0) {
        return;
    }
    if (place != NULL) {
        place_free(peers, place);
    }
    place = xcalloc(1, sizeof(*place));
    place->host = xstrdup(host);
    place->address = xstrdup(address);
    HASH_ADD_KEYPTR(hh, peers->places, place->host, strlen(place->host),
                    place);
}

static void
place_free(peers_t *peers, place_t *place)
{
    HASH_DEL(peers->places, place);
    free(place->host);
    free(place->address);
    free(place);
}
