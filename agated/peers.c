/* peers.c - sends and receives messages between hosts, using peer/. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "agated/agated.h"
#include "base/address.h"
#include "base/log.h"
#include "peer/peer.h"

/* The address on which a host listens for its peers. */
typedef struct {
    char *host;
    char *address;
    UT_hash_handle hh;
} peer_address_t;

struct peers {
    peer_listener_t listener; /* first, because callbacks cast it */
    daemon_t *daemon;
    peer_t *peer;
    char address[ADDRESS_TEXT_BYTES];
    peer_address_t *addresses;
};

static void on_message(peer_listener_t *listener, const char *from,
                       const message_t *message);
static void on_lost(peer_listener_t *listener, const char *host);
static void resolve_address(peers_t *peers);
static void set_peer_address(peers_t *peers, const char *host,
                             const char *address);
static void set_addresses_from_heartbeat(peers_t *peers, const char *from,
                                         const heartbeat_t *heartbeat);
static void peer_address_free(peers_t *peers, peer_address_t *entry);

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
    peer_address_t *entry;
    peer_address_t *next;

    if (peers == NULL) {
        return;
    }
    peer_free(peers->peer);
    HASH_ITER(hh, peers->addresses, entry, next)
    {
        peer_address_free(peers, entry);
    }
    free(peers);
}

const char *
peers_address(const peers_t *peers)
{
    return peers->address;
}

void
peers_add_configured(peers_t *peers)
{
    const settings_t *settings = peers->daemon->settings;
    size_t count = settings->peers_hosts.count;
    arena_t arena = {0};
    host_entry_t *hosts;
    event_t event = {.kind = EVENT_HOST_LIST};
    const char *separator;
    size_t i;

    if (count == 0) {
        return;
    }
    hosts = arena_array(&arena, count + 1, sizeof(*hosts));
    for (i = 0; i < count; i++) {
        separator = strchr(settings->peers_hosts.items[i], '=');
        hosts[i].host = arena_strndup(
            &arena, settings->peers_hosts.items[i],
            (size_t)(separator - settings->peers_hosts.items[i]));
        hosts[i].peer_address = arena_strdup(&arena, separator + 1);
        hosts[i].zone = arena_strdup(&arena, "");
        hosts[i].address = hosts[i].zone;
    }
    hosts[count].host = arena_strdup(&arena, settings->host);
    hosts[count].peer_address = arena_strdup(&arena, peers->address);
    hosts[count].zone = arena_strdup(&arena, settings->zone);
    hosts[count].address = hosts[0].zone;
    event.event_t_u.hosts.hosts.hosts_len = (u_int)count + 1;
    event.event_t_u.hosts.hosts.hosts_val = hosts;
    peers_hosts(peers, &event.event_t_u.hosts);
    dispatch_event(peers->daemon->dispatch, &event);
    arena_free(&arena);
}

/* Keeps hosts that are not listed: an entry may be missing temporarily. */
void
peers_hosts(peers_t *peers, const host_list_event_t *hosts)
{
    size_t i;

    for (i = 0; i < hosts->hosts.hosts_len; i++) {
        const host_entry_t *host = &hosts->hosts.hosts_val[i];

        if (host->peer_address[0] != '\0' &&
            strcmp(host->host, peers->daemon->settings->host) != 0) {
            set_peer_address(peers, host->host, host->peer_address);
        }
    }
}

void
peers_apply_action(peers_t *peers, const action_t *action)
{
    const send_message_action_t *send_message =
        &action->action_t_u.send_message;
    peer_address_t *entry;
    err_t err;

    HASH_FIND_STR(peers->addresses, send_message->host, entry);
    if (entry == NULL) {
        log_line(LOG_DEBUG, "message not sent host=%s reason=no-address",
                 send_message->host);
        return;
    }
    if (peer_send(peers->peer, send_message->host, entry->address,
                  &send_message->message, &err) < 0) {
        log_line(LOG_WARNING, "message not sent host=%s reason=\"%s\"",
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
        set_addresses_from_heartbeat(peers, from,
                                     &message->message_t_u.heartbeat);
    }
    event.event_t_u.peer.host = (char *)(uintptr_t)from;
    event.event_t_u.peer.message = *message;
    dispatch_event(peers->daemon->dispatch, &event);
}

/*
 * The platform's list of hosts may be out of date, so addresses are also taken
 * from heartbeats.
 */
static void
set_addresses_from_heartbeat(peers_t *peers, const char *from,
                             const heartbeat_t *heartbeat)
{
    u_int i;

    if (heartbeat->peer_address[0] != '\0') {
        set_peer_address(peers, from, heartbeat->peer_address);
    }
    for (i = 0; i < heartbeat->gossip_data.gossip_data_len; i++) {
        const gossip_t *gossip = &heartbeat->gossip_data.gossip_data_val[i];

        if (gossip->peer_address[0] != '\0' &&
            strcmp(gossip->host, peers->daemon->settings->host) != 0) {
            set_peer_address(peers, gossip->host, gossip->peer_address);
        }
    }
}

static void
on_lost(peer_listener_t *listener, const char *host)
{
    peers_t *peers = (peers_t *)listener;
    event_t event = {.kind = EVENT_PEER_LOST};

    log_line(LOG_NOTICE, "peer connection lost host=%s", host);
    event.event_t_u.peer_lost.host = (char *)(uintptr_t)host;
    dispatch_event(peers->daemon->dispatch, &event);
}

/* With port 0 in the settings the kernel chooses the port. */
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
set_peer_address(peers_t *peers, const char *host, const char *address)
{
    peer_address_t *entry;

    HASH_FIND_STR(peers->addresses, host, entry);
    if (entry != NULL && strcmp(entry->address, address) == 0) {
        return;
    }
    if (entry != NULL) {
        peer_address_free(peers, entry);
    }
    entry = xcalloc(1, sizeof(*entry));
    entry->host = xstrdup(host);
    entry->address = xstrdup(address);
    HASH_ADD_KEYPTR(hh, peers->addresses, entry->host, strlen(entry->host),
                    entry);
}

static void
peer_address_free(peers_t *peers, peer_address_t *entry)
{
    HASH_DEL(peers->addresses, entry);
    free(entry->host);
    free(entry->address);
    free(entry);
}
