/*
 * private.h - types and functions shared by the files of peer/.
 *
 * conn.c sends and reassembles records on one TCP connection, link.c queues
 * calls to one host and reconnects, datagram.c sends calls as datagrams,
 * sender.c detects replayed calls, and peer.c listens, checks received calls
 * and encodes calls to send.
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

/* One TCP connection; freed when its handle is closed. */
struct conn {
    uv_tcp_t tcp;
    uv_connect_t connect;
    peer_t *peer;
    peer_link_t *link; /* NULL: accepted, or the link was freed */
    bool accepted;     /* opened by the other host */
    bool closing;
    uint8_t record_mark[WIRE_RECORD_MARK_BYTES];
    size_t record_mark_used;
    bool last_fragment;        /* the current fragment ends its record */
    size_t fragment_remaining; /* bytes of it not yet received */
    uint8_t *record;
    size_t record_used;
    size_t record_capacity;
    LIST_ENTRY(conn) entry;
};
LIST_HEAD(conn_list, conn);

/* A call that is queued for its connection or waits for its reply. */
typedef struct pending_call {
    wire_record_t record; /* bytes is NULL once passed to the connection */
    uint32_t xid;
    uint64_t sent_ms;
    STAILQ_ENTRY(pending_call) entry;
} pending_call_t;
STAILQ_HEAD(pending_list, pending_call);

struct peer_link {
    const char *name; /* key of the tree: host */
    peer_t *peer;
    char host[LINK_NAME_MAX + 1];
    struct sockaddr_storage address;
    conn_t *conn; /* NULL: neither open nor being opened */
    bool connected;
    uint32_t backoff_ms;
    uint64_t retry_at_ms;
    struct pending_list queued;
    struct pending_list unanswered;
    size_t pending_bytes; /* in both lists */
    RB_ENTRY(peer_link) entry;
};
RB_HEAD(link_tree, peer_link);
int link_compare(const peer_link_t *left, const peer_link_t *right);
RB_PROTOTYPE(link_tree, peer_link, entry, link_compare)

/* The sequence numbers received from one other host. */
struct sender {
    const char *name; /* key of the tree: host */
    char host[LINK_NAME_MAX + 1];
    uint64_t incarnation;
    uint64_t stream_sequence;
    uint64_t datagram_sequence;
    uint64_t datagram_window; /* bit n: datagram_sequence - n was received */
    RB_ENTRY(sender) entry;
};
RB_HEAD(sender_tree, sender);

enum { DATAGRAM_CALLS_MAX = 1024 };

typedef struct {
    uint32_t xid;
    uint64_t sent_ms; /* plus 1; 0: unused */
} datagram_call_t;

struct peer {
    uv_loop_t *loop;
    uv_tcp_t listen;
    uv_udp_t udp;
    uv_timer_t timer;
    uint32_t open_handles; /* a peer being freed is released at 0 */
    bool closing;
    bool loopback_only;
    peer_listener_t *listener;
    peer_settings_t settings;
    char host[LINK_NAME_MAX + 1];
    uint8_t key[PEER_KEY_BYTES_MAX];
    uint16_t port;
    uint32_t xid;
    uint64_t sequence;
    uint64_t random_state;
    size_t receive_bytes; /* allocated for partly received records */
    uint32_t accepted;    /* connections opened by other hosts */
    struct conn_list conns;
    struct link_tree links;
    struct sender_tree senders;
    uint32_t sender_count;
    datagram_call_t datagram_calls[DATAGRAM_CALLS_MAX];
    peer_counters_t counters;
    uint8_t receive_buffer[65536]; /* consumed before the next read */
};

/* conn.c */
conn_t *conn_new(peer_t *peer, peer_link_t *link);
void conn_start_reading(conn_t *conn);
/* Sends a record and takes ownership of its bytes. */
void conn_send(conn_t *conn, wire_record_t *record);
void conn_close(conn_t *conn);

/* link.c */
peer_link_t *link_find(const peer_t *peer, const char *host);
peer_link_t *link_find_or_create(peer_t *peer, const char *host,
                                 const struct sockaddr_storage *address);
int link_send(peer_link_t *link, uint32_t xid, wire_record_t *record,
              err_t *err);
void link_handle_reply(peer_link_t *link, uint32_t xid, bool accepted);
void link_handle_disconnect(peer_link_t *link);
void link_run_timer(peer_link_t *link, uint64_t now_ms);
void link_free(peer_link_t *link);

/* sender.c */
/*
 * Records the sequence number of a call.  Returns false if the call is a
 * replay.  A stream preserves order, so its sequence numbers always increase.
 */
bool sender_accept_call(peer_t *peer, const peer_call_t *call);
void senders_free(peer_t *peer);

/* datagram.c */
void handle_datagram(uv_udp_t *udp, ssize_t count, const uv_buf_t *buffer,
                     const struct sockaddr *from, unsigned flags);
/* Sends a call as a datagram and frees the bytes of the record. */
int datagram_send_call(peer_t *peer, uint32_t xid, wire_record_t *record,
                       const struct sockaddr_storage *address);
void datagrams_expire(peer_t *peer, uint64_t now_ms);

/* peer.c */
/*
 * Checks a call and passes its message to the listener.  Returns false if no
 * reply must be sent.
 */
bool peer_handle_call(peer_t *peer, const wire_input_t *input,
                      peer_channel_t channel);
wire_key_t peer_wire_key(const peer_t *peer);
void peer_handle_record(conn_t *conn, const uint8_t *bytes, size_t count);
void peer_handle_closed(peer_t *peer);

#endif
