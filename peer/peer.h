/*
 * peer.h - sends and receives messages between hosts by ONC RPC (RFC 5531).
 *
 * A message is the argument of a single remote procedure.  Heartbeats and the
 * hosts' placements are sent as UDP datagrams, all other messages over one TCP
 * connection to each host, with record marking.  A void reply acknowledges a
 * message.  Messages sent to one host over TCP arrive in order, each at most
 * once; messages in flight when a connection breaks may be lost.
 *
 * With a key, every message carries an HMAC-SHA256 tag over its encoding, the
 * names of both hosts, the sender's incarnation and a sequence number.
 * Messages with a wrong tag and replayed messages are dropped and counted.  An
 * empty key is for tests: it is refused unless the listening address is a
 * loopback address, and messages are then sent to loopback addresses only.
 */
#ifndef PEER_PEER_H
#define PEER_PEER_H

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "base/err.h"
#include "world/generated/link.h"

enum {
    PEER_KEY_BYTES_MIN = 32,
    PEER_KEY_BYTES_MAX = 1024,
    PEER_CALL_TIMEOUT_MS = 3000,
    PEER_QUEUE_BYTES_MAX = 8 << 20,
    PEER_RECORD_BYTES_MAX = 8 << 20,
    PEER_RECEIVE_BYTES_MAX = 32 << 20,
};

typedef struct peer peer_t;
typedef struct peer_listener peer_listener_t;

typedef struct {
    /* The message is valid during the call only. */
    void (*message)(peer_listener_t *listener, const char *from,
                    const message_t *message);
    /* The TCP connection to this host broke or stopped answering. */
    void (*lost)(peer_listener_t *listener, const char *host);
} peer_listener_ops_t;
struct peer_listener {
    const peer_listener_ops_t *ops;
};

/* Copied by peer_new().  A limit of 0 selects the constant above. */
typedef struct {
    const char *host;
    const char *listen_address; /* "ip:port"; port 0: any free port */
    uint64_t incarnation;       /* grows with every start of this host */
    uint64_t seed;              /* for the jitter of reconnect delays */
    const uint8_t *key;
    size_t key_bytes; /* 0, or PEER_KEY_BYTES_MIN to PEER_KEY_BYTES_MAX */
    uint32_t call_timeout_ms;
    uint32_t queue_bytes_max;   /* queued or unanswered, per host */
    uint32_t record_bytes_max;  /* per message */
    uint32_t receive_bytes_max; /* of all partly received records */
} peer_settings_t;

typedef struct {
    uint64_t calls_sent;
    uint64_t calls_acknowledged;
    uint64_t calls_timed_out;
    uint64_t calls_refused;  /* error replies */
    uint64_t calls_lost;     /* unanswered when their connection broke */
    uint64_t queue_full;     /* messages refused: queue full */
    uint64_t calls_received; /* passed to the listener */
    uint64_t bad_tags;
    uint64_t replays;   /* seen before, or an older incarnation */
    uint64_t malformed; /* records or datagrams without a valid call */
    uint64_t oversized;
    uint64_t connects;
    uint64_t connect_failures;
    uint64_t bytes_sent; /* records and datagrams, without IP headers */
    uint64_t bytes_received;
} peer_counters_t;

/*
 * Reads the key that all hosts share from a file into key, which has room for
 * PEER_KEY_BYTES_MAX bytes.  Returns its length, or -1 with *err set
 * (ERR_SETTINGS).
 */
int peer_key_read(const char *path, uint8_t *key, err_t *err);

/* Opens the listening sockets.  Returns NULL with *err set on failure. */
peer_t *peer_new(uv_loop_t *loop, const peer_settings_t *settings,
                 peer_listener_t *listener, err_t *err);

/*
 * Sends a message to host, which listens at address ("ip:port").  Returns
 * -1 with *err set when the message is refused: ERR_LIMIT (the queue is full
 * or the message is too big), ERR_SETTINGS (the address is not usable).
 */
int peer_send(peer_t *peer, const char *host, const char *address,
              const message_t *message, err_t *err);

/* Returns the listening port, which is the same for TCP and UDP. */
uint16_t peer_bound_port(const peer_t *peer);

/* Closes the connection to a removed host and discards its queue. */
void peer_close_link(peer_t *peer, const char *host);

const peer_counters_t *peer_counters(const peer_t *peer);

/*
 * Closes all sockets.  The listener is not called any more; the memory is
 * freed once the loop has closed the handles.
 */
void peer_free(peer_t *peer);

#endif
