/*
 * private.h - what the files of peer/ share.
 *
 * conn.c carries records over one TCP connection, link.c is the way to one
 * other host, datagram.c carries single datagrams, sender.c remembers what was
 * heard, peer.c listens, checks and composes.
 */
#ifndef PEER_PRIVATE_H
#define PEER_PRIVATE_H

#include <netinet/in.h>
#include <stdbool.h>
#include <sys/queue.h>
#include <bsd/sys/tree.h>

#include "base/address.h"
#include "peer/peer.h"
#include "peer/wire.h"

typedef struct conn conn_t;
typedef struct peer_link peer_link_t;
typedef struct sender sender_t;

/* One TCP connection; frees itself once it is closed. */
struct conn {
    uv_tcp_t tcp;
    uv_connect_t connect;
    peer_t *peer;
    peer_link_t *link; /* NULL: accepted, or its link is gone */
    bool accepted;     /* somebody connected to us */
    bool closing;
    uint8_t mark[WIRE_MARK_BYTES];
    size_t mark_used;
    bool last;            /* the fragment being read ends its record */
    size_t fragment_left; /* bytes of it still to come */
    uint8_t *record;
    size_t record_used;
    size_t record_room;
    LIST_ENTRY(conn) entry;
};
LIST_HEAD(conn_list, conn);

/* A record that waits for its connection, or for its answer. */
typedef struct pending {
    wire_record_t record; /* bytes is NULL once handed to the connection */
    uint32_t xid;
    uint64_t sent_ms;
    STAILQ_ENTRY(pending) entry;
} pending_t;
STAILQ_HEAD(pending_list, pending);

struct peer_link {
    const char *name; /* its host below */
    peer_t *peer;
    char host[LINK_NAME_MAX + 1];
    struct sockaddr_storage address;
    conn_t *conn; /* NULL: none is being made */
    bool up;
    uint32_t backoff_ms;
    uint64_t retry_at_ms;
    struct pending_list waiting;
    struct pending_list unanswered;
    size_t bytes; /* of both */
    RB_ENTRY(peer_link) entry;
};
RB_HEAD(link_tree, peer_link);
int link_compare(const peer_link_t *left, const peer_link_t *right);
RB_PROTOTYPE(link_tree, peer_link, entry, link_compare)

/* What has been heard from one other host. */
struct sender {
    const char *name; /* its host below */
    char host[LINK_NAME_MAX + 1];
    uint64_t incarnation;
    uint64_t stream_last;
    uint64_t datagram_last;
    uint64_t datagram_seen; /* bit n: datagram_last - n was seen */
    RB_ENTRY(sender) entry;
};
RB_HEAD(sender_tree, sender);

enum { DATAGRAMS_OUT = 1024 };

typedef struct {
    uint32_t xid;
    uint64_t sent_ms; /* 0: none */
} datagram_t;

struct peer {
    uv_loop_t *loop;
    uv_tcp_t listen;
    uv_udp_t udp;
    uv_timer_t timer;
    uint32_t handles; /* open ones; at 0 a freed peer goes */
    bool closing;
    bool loopback_only;
    peer_listener_t *listener;
    peer_settings_t settings;
    char host[LINK_NAME_MAX + 1];
    uint8_t key[PEER_KEY_BYTES_MAX];
    uint16_t port;
    uint32_t xid;
    uint64_t sequence;
    uint64_t random;
    size_t held_bytes; /* of records being received */
    uint32_t accepted; /* connections from others */
    struct conn_list conns;
    struct link_tree links;
    struct sender_tree senders;
    uint32_t sender_count;
    datagram_t datagrams[DATAGRAMS_OUT];
    peer_counters_t counters;
    uint8_t input[65536]; /* of one read; used up before the next */
};

/* conn.c */
conn_t *conn_new(peer_t *peer, peer_link_t *link);
void conn_start(conn_t *conn);
/* Takes the record's bytes over. */
void conn_send(conn_t *conn, wire_record_t *record);
void conn_close(conn_t *conn);

/* link.c */
peer_link_t *link_find(const peer_t *peer, const char *host);
peer_link_t *link_get(peer_t *peer, const char *host,
                      const struct sockaddr_storage *address);
int link_send(peer_link_t *link, uint32_t xid, wire_record_t *record,
              err_t *err);
void link_answered(peer_link_t *link, uint32_t xid, bool accepted);
void link_broken(peer_link_t *link);
void link_tick(peer_link_t *link, uint64_t now_ms);
void link_free(peer_link_t *link);

/* sender.c */
/* Whether a call has not been taken before.  Streams keep the order, so that
 * a sequence there only grows. */
bool sender_is_new(peer_t *peer, const peer_call_t *call);
void senders_free(peer_t *peer);

/* datagram.c */
void datagram_received(uv_udp_t *udp, ssize_t count, const uv_buf_t *buffer,
                       const struct sockaddr *from, unsigned flags);
/* Takes the record's bytes over. */
int datagram_tell(peer_t *peer, uint32_t xid, wire_record_t *record,
                  const struct sockaddr_storage *address);
void datagrams_tick(peer_t *peer, uint64_t now_ms);

/* peer.c */
/* Takes a call; false when it must not be answered. */
bool peer_receive(peer_t *peer, const wire_input_t *input,
                  peer_channel_t channel);
wire_key_t peer_key(const peer_t *peer);
void peer_record(conn_t *conn, const uint8_t *bytes, size_t count);
void peer_handle_closed(peer_t *peer);

#endif
