/*
 * peer.h - ONC RPC (RFC 5531) between the fleet's hosts, on libuv.
 *
 * A message travels as the argument of one remote procedure: heartbeats and
 * the hosts' placements as datagrams, all else over one TCP connection to each
 * host, with record marking.  A void reply says that it arrived.  Messages to
 * one host over TCP arrive in order, each at most once; what was on its way
 * when a connection broke may be lost.
 *
 * With a key, every message carries HMAC-SHA256 over its encoding, the
 * names of both hosts, the sender's incarnation and a sequence number; what
 * fails the check, or was seen before, is dropped and counted.  An empty
 * key is for trials and is refused unless the listening address is a
 * loopback one; then only loopback addresses are told anything.
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
    PEER_QUEUE_BYTES = 8 << 20,
    PEER_RECORD_BYTES = 8 << 20,
    PEER_HELD_BYTES = 32 << 20,
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

/* All is copied.  A limit of 0 means the constant above. */
typedef struct {
    const char *host;
    const char *listen_address; /* "ip:port"; port 0: the kernel's choice */
    uint64_t incarnation;       /* grows with every start of this host */
    uint64_t seed;              /* of the jitter between attempts */
    const uint8_t *key;
    size_t key_bytes; /* 0, or PEER_KEY_BYTES_MIN to PEER_KEY_BYTES_MAX */
    uint32_t call_timeout_ms;
    uint32_t queue_bytes_max;  /* waiting or unanswered, to each host */
    uint32_t record_bytes_max; /* of one message */
    uint32_t held_bytes_max;   /* of all records being received */
} peer_settings_t;

typedef struct {
    uint64_t calls_sent;
    uint64_t calls_answered;
    uint64_t calls_timed_out;
    uint64_t calls_refused;  /* by the other side */
    uint64_t calls_lost;     /* unanswered when their connection broke */
    uint64_t queue_full;     /* messages refused: too much is waiting */
    uint64_t calls_received; /* and given to the listener */
    uint64_t tags_wrong;
    uint64_t replays;   /* seen before, or of an older incarnation */
    uint64_t malformed; /* records or datagrams that are no calls of ours */
    uint64_t oversized;
    uint64_t connects;
    uint64_t connect_failures;
    uint64_t bytes_sent; /* records and datagrams, without IP headers */
    uint64_t bytes_received;
} peer_counters_t;

/*
 * Reads the fleet's key from a file into key (PEER_KEY_BYTES_MAX bytes of
 * room).  Returns its length or -1 with *err set (ERR_SETTINGS).
 */
int peer_key_read(const char *path, uint8_t *key, err_t *err);

/* Listens; NULL with *err set when that fails. */
peer_t *peer_new(uv_loop_t *loop, const peer_settings_t *settings,
                 peer_listener_t *listener, err_t *err);

/*
 * Sends a message to host, which listens at address ("ip:port").  Returns
 * -1 with *err set when it was refused: ERR_LIMIT (too much is waiting, or
 * the message is too big), ERR_SETTINGS (the address is not usable).
 */
int peer_tell(peer_t *peer, const char *host, const char *address,
              const message_t *message, err_t *err);

/* The port in use, for TCP and UDP alike. */
uint16_t peer_bound_port(const peer_t *peer);

/* Closes the connection to a host that is gone for good. */
void peer_forget(peer_t *peer, const char *host);

const peer_counters_t *peer_counters(const peer_t *peer);

/* No calls to the listener after this; the loop frees the memory later. */
void peer_free(peer_t *peer);

#endif
