/* peer.c - sends messages to other hosts, and receives and checks theirs. */
#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <openssl/crypto.h>

#include "base/arena.h"
#include "peer/private.h"

enum {
    TIMER_INTERVAL_MS = 50,
    LISTEN_BACKLOG = 512,
    ACCEPTED_CONNS_MAX = 4096,
    BIND_ATTEMPTS_MAX = 16,
};

static int open_sockets(peer_t *peer, const struct sockaddr_storage *address,
                        err_t *err);
static int bind_sockets(const struct sockaddr_storage *wanted, int fds[2],
                        uint16_t *port);
static int start_handles(peer_t *peer, const int fds[2]);
static void copy_settings(peer_t *peer, const peer_settings_t *settings);
static void on_connection(uv_stream_t *listen, int status);
static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);
static void on_timer(uv_timer_t *timer);
static void on_closed(uv_handle_t *handle);

int
peer_key_read(const char *path, uint8_t *key, err_t *err)
{
    FILE *file = fopen(path, "re");
    size_t count;
    int extra;

    if (file == NULL) {
        return err_set(err, ERR_SETTINGS,
                       "cannot open the key file %s (%s): create it and make "
                       "it readable for this user",
                       path, strerror(errno));
    }
    count = fread(key, 1, PEER_KEY_BYTES_MAX, file);
    extra = fgetc(file);
    (void)fclose(file);
    if (count < PEER_KEY_BYTES_MIN || extra != EOF) {
        return err_set(err, ERR_SETTINGS,
                       "the key file %s is too short or too long: write %d "
                       "to %d random bytes, the same on every host",
                       path, PEER_KEY_BYTES_MIN, PEER_KEY_BYTES_MAX);
    }
    return (int)count;
}

static void
copy_settings(peer_t *peer, const peer_settings_t *settings)
{
    peer_settings_t *copy = &peer->settings;

    *copy = *settings;
    (void)strncpy(peer->host, settings->host, sizeof(peer->host) - 1);
    copy->host = peer->host;
    if (settings->key_bytes > 0) {
        memcpy(peer->key, settings->key, settings->key_bytes);
    }
    copy->key = peer->key;
    if (copy->call_timeout_ms == 0) {
        copy->call_timeout_ms = PEER_CALL_TIMEOUT_MS;
    }
    if (copy->queue_bytes_max == 0) {
        copy->queue_bytes_max = PEER_QUEUE_BYTES_MAX;
    }
    if (copy->record_bytes_max == 0) {
        copy->record_bytes_max = PEER_RECORD_BYTES_MAX;
    }
    if (copy->receive_bytes_max == 0) {
        copy->receive_bytes_max = PEER_RECEIVE_BYTES_MAX;
    }
}

peer_t *
peer_new(uv_loop_t *loop, const peer_settings_t *settings,
         peer_listener_t *listener, err_t *err)
{
    struct sockaddr_storage address;
    peer_t *peer;

    if (address_parse(settings->listen_address, &address, err) < 0) {
        return NULL;
    }
    if (settings->key_bytes == 0 && !address_is_loopback(&address)) {
        (void)err_set(err, ERR_SETTINGS,
                      "no key is set and %s is not a loopback address: name a "
                      "key file",
                      settings->listen_address);
        return NULL;
    }
    if (settings->key_bytes != 0 &&
        (settings->key_bytes < PEER_KEY_BYTES_MIN ||
         settings->key_bytes > PEER_KEY_BYTES_MAX)) {
        (void)err_set(err, ERR_SETTINGS, "the key has %zu bytes: use %d to %d",
                      settings->key_bytes, PEER_KEY_BYTES_MIN,
                      PEER_KEY_BYTES_MAX);
        return NULL;
    }
    if (settings->host[0] == '\0' || strlen(settings->host) > LINK_NAME_MAX) {
        (void)err_set(err, ERR_SETTINGS,
                      "the host's name is empty or too long: use 1 to %d "
                      "bytes",
                      LINK_NAME_MAX);
        return NULL;
    }
    peer = xcalloc(1, sizeof(*peer));
    peer->loop = loop;
    peer->listener = listener;
    peer->random_state = settings->seed;
    peer->loopback_only = settings->key_bytes == 0;
    LIST_INIT(&peer->conns);
    RB_INIT(&peer->links);
    RB_INIT(&peer->senders);
    copy_settings(peer, settings);
    if (open_sockets(peer, &address, err) < 0) {
        peer_free(peer);
        return NULL;
    }
    return peer;
}

/*
 * Binds a TCP and a UDP socket to the same port.  Returns 0 or a negative
 * errno.
 */
static int
bind_sockets(const struct sockaddr_storage *wanted, int fds[2], uint16_t *port)
{
    struct sockaddr_storage address = *wanted;
    socklen_t length = sizeof(address);
    int type = SOCK_CLOEXEC | SOCK_NONBLOCK;
    int one = 1;
    int error = 0;

    fds[0] = socket(address.ss_family, SOCK_STREAM | type, 0);
    fds[1] = socket(address.ss_family, SOCK_DGRAM | type, 0);
    if (fds[0] < 0 || fds[1] < 0 ||
        setsockopt(fds[0], SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) < 0 ||
        bind(fds[0], (struct sockaddr *)&address, length) < 0 ||
        getsockname(fds[0], (struct sockaddr *)&address, &length) < 0 ||
        bind(fds[1], (struct sockaddr *)&address, length) < 0) {
        error = -errno;
    }
    *port = ntohs(((struct sockaddr_in *)&address)->sin_port);
    if (error != 0 && fds[0] >= 0) {
        (void)close(fds[0]);
    }
    if (error != 0 && fds[1] >= 0) {
        (void)close(fds[1]);
    }
    return error;
}

static int
start_handles(peer_t *peer, const int fds[2])
{
    int status;

    (void)uv_tcp_init(peer->loop, &peer->listen);
    (void)uv_udp_init(peer->loop, &peer->udp);
    (void)uv_timer_init(peer->loop, &peer->timer);
    peer->listen.data = peer;
    peer->udp.data = peer;
    peer->timer.data = peer;
    peer->open_handles = 3;
    status = uv_tcp_open(&peer->listen, fds[0]);
    if (status != 0) {
        (void)close(fds[0]);
        (void)close(fds[1]);
        return status;
    }
    status = uv_udp_open(&peer->udp, fds[1]);
    if (status != 0) {
        (void)close(fds[1]);
        return status;
    }
    status =
        uv_listen((uv_stream_t *)&peer->listen, LISTEN_BACKLOG, on_connection);
    if (status != 0) {
        return status;
    }
    status = uv_udp_recv_start(&peer->udp, on_alloc, handle_datagram);
    if (status != 0) {
        return status;
    }
    return uv_timer_start(&peer->timer, on_timer, TIMER_INTERVAL_MS,
                          TIMER_INTERVAL_MS);
}

/*
 * With port 0, the port that the kernel selects for TCP may be in use for UDP;
 * both sockets are then bound again.
 */
static int
open_sockets(peer_t *peer, const struct sockaddr_storage *address, err_t *err)
{
    bool any_port = ((const struct sockaddr_in *)address)->sin_port == 0;
    int attempts = any_port ? BIND_ATTEMPTS_MAX : 1;
    int fds[2];
    int status = 0;

    while (attempts > 0) {
        status = bind_sockets(address, fds, &peer->port);
        if (status == 0) {
            status = start_handles(peer, fds);
            break;
        }
        attempts--;
    }
    if (status != 0) {
        return err_set(err, ERR_SYSTEM,
                       "cannot listen for peers at %s (%s): use an address "
                       "of this host and a free port",
                       peer->settings.listen_address, uv_strerror(status));
    }
    return 0;
}

uint16_t
peer_bound_port(const peer_t *peer)
{
    return peer->port;
}

const peer_counters_t *
peer_counters(const peer_t *peer)
{
    return &peer->counters;
}

wire_key_t
peer_wire_key(const peer_t *peer)
{
    wire_key_t key = {peer->key, peer->settings.key_bytes};

    return key;
}

static void
on_connection(uv_stream_t *listen, int status)
{
    peer_t *peer = listen->data;
    conn_t *conn;

    if (status != 0 || peer->closing) {
        return;
    }
    conn = conn_new(peer, NULL);
    if (uv_accept(listen, (uv_stream_t *)&conn->tcp) != 0 ||
        peer->accepted > ACCEPTED_CONNS_MAX) {
        conn_close(conn);
        return;
    }
    conn_start_reading(conn);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    peer_t *peer = handle->data;

    *buffer = uv_buf_init((char *)peer->receive_buffer,
                          sizeof(peer->receive_buffer));
}

bool
peer_handle_call(peer_t *peer, const wire_input_t *input,
                 peer_channel_t channel)
{
    const peer_call_t *call = &input->call;

    switch (input->kind) {
    case WIRE_PING:
    case WIRE_NOT_SERVED:
        return true;
    case WIRE_BAD_TAG:
        peer->counters.bad_tags++;
        return false;
    case WIRE_CALL:
        break;
    default:
        peer->counters.malformed++;
        return input->kind == WIRE_BAD_ARGUMENT;
    }
    if (call->channel != channel || strcmp(call->to, peer->host) != 0 ||
        call->from[0] == '\0') {
        peer->counters.malformed++;
        return false;
    }
    if (!sender_accept_call(peer, call)) {
        peer->counters.replays++;
        return false;
    }
    peer->counters.calls_received++;
    if (!peer->closing) {
        peer->listener->ops->message(peer->listener, call->from,
                                     &call->message);
    }
    return true;
}

void
peer_handle_record(conn_t *conn, const uint8_t *bytes, size_t count)
{
    peer_t *peer = conn->peer;
    wire_input_t input;
    wire_record_t record;

    wire_decode(bytes, count, peer_wire_key(peer), &input);
    if (input.kind == WIRE_REPLY && conn->link != NULL) {
        link_handle_reply(conn->link, input.xid, input.accepted);
        return;
    }
    if (input.kind == WIRE_NOT_RPC || input.kind == WIRE_REPLY ||
        conn->link != NULL) {
        peer->counters.malformed++;
        wire_input_free(&input);
        conn_close(conn);
        return;
    }
    if (!peer_handle_call(peer, &input, PEER_STREAM)) {
        wire_input_free(&input);
        conn_close(conn);
        return;
    }
    if (!conn->closing &&
        wire_encode_reply(input.xid, input.status, &record)) {
        conn_send(conn, &record);
    }
    wire_input_free(&input);
}

int
peer_send(peer_t *peer, const char *host, const char *address,
          const message_t *message, err_t *err)
{
    struct sockaddr_storage remote;
    wire_record_t record;
    peer_call_t call;
    uint32_t xid;

    if (address_parse(address, &remote, err) < 0) {
        return -1;
    }
    if (peer->loopback_only && !address_is_loopback(&remote)) {
        return err_set(
            err, ERR_SETTINGS,
            "no key is set and %s is not a loopback address: name a "
            "key file",
            address);
    }
    peer->xid++;
    peer->sequence++;
    xid = peer->xid;
    call.from = peer->host;
    call.to = (char *)host;
    call.incarnation = peer->settings.incarnation;
    call.sequence = peer->sequence;
    call.channel = message->kind == MESSAGE_HEARTBEAT ||
                           message->kind == MESSAGE_PLACEMENTS ||
                           message->kind == MESSAGE_SPREAD
                       ? PEER_DATAGRAM
                       : PEER_STREAM;
    call.message = *message;
    if (!wire_encode_call(xid, &call, peer_wire_key(peer), &record)) {
        return err_set(err, ERR_LIMIT,
                       "a message of kind %d for host %s cannot be encoded: "
                       "keep to the limits of link.x",
                       (int)message->kind, host);
    }
    if (record.count - WIRE_RECORD_MARK_BYTES >
        peer->settings.record_bytes_max) {
        peer->counters.oversized++;
        free(record.bytes);
        return err_set(err, ERR_LIMIT,
                       "a message for host %s exceeds %u bytes: send less",
                       host, peer->settings.record_bytes_max);
    }
    if (call.channel == PEER_DATAGRAM) {
        return datagram_send_call(peer, xid, &record, &remote);
    }
    return link_send(link_find_or_create(peer, host, &remote), xid, &record,
                     err);
}

void
peer_close_link(peer_t *peer, const char *host)
{
    peer_link_t *link = link_find(peer, host);

    if (link != NULL) {
        link_free(link);
    }
}

static void
on_timer(uv_timer_t *timer)
{
    peer_t *peer = timer->data;
    uint64_t now_ms = uv_now(peer->loop);
    peer_link_t *link;
    peer_link_t *next;

    RB_FOREACH_SAFE(link, link_tree, &peer->links, next)
    {
        link_run_timer(link, now_ms);
    }
    datagrams_expire(peer, now_ms);
}

static void
on_closed(uv_handle_t *handle)
{
    peer_handle_closed(handle->data);
}

/* Frees the peer when its last handle is closed. */
void
peer_handle_closed(peer_t *peer)
{
    peer->open_handles--;
    if (peer->open_handles > 0 || !peer->closing) {
        return;
    }
    senders_free(peer);
    OPENSSL_cleanse(peer->key, sizeof(peer->key));
    free(peer);
}

void
peer_free(peer_t *peer)
{
    peer_link_t *link;
    peer_link_t *next;
    conn_t *conn;

    if (peer == NULL || peer->closing) {
        return;
    }
    peer->closing = true;
    RB_FOREACH_SAFE(link, link_tree, &peer->links, next)
    {
        link_free(link);
    }
    while ((conn = LIST_FIRST(&peer->conns)) != NULL) {
        conn_close(conn);
    }
    if (peer->open_handles == 0) {
        free(peer);
        return;
    }
    uv_close((uv_handle_t *)&peer->listen, on_closed);
    uv_close((uv_handle_t *)&peer->udp, on_closed);
    uv_close((uv_handle_t *)&peer->timer, on_closed);
}
