/*
 * wire.h - encodes and decodes RPC calls and replies, and their HMAC tags.
 */
#ifndef PEER_WIRE_H
#define PEER_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peer/generated/peer.h"

enum { WIRE_RECORD_MARK_BYTES = 4 };

/* An encoded record that begins with its record mark; free() the bytes. */
typedef struct {
    uint8_t *bytes;
    size_t count; /* including the mark */
} wire_record_t;

typedef struct {
    const uint8_t *bytes;
    size_t count; /* 0: no key, tags are all zeroes */
} wire_key_t;

typedef enum {
    WIRE_CALL,         /* a call of PEER_SEND with a valid tag */
    WIRE_PING,         /* a call of the null procedure */
    WIRE_REPLY,        /* a reply; see the member accepted */
    WIRE_NOT_SERVED,   /* an unknown program, version or procedure */
    WIRE_BAD_TAG,      /* a call of PEER_SEND with a wrong tag */
    WIRE_BAD_ARGUMENT, /* a call of PEER_SEND with a malformed argument */
    WIRE_NOT_RPC,      /* neither a call nor a reply */
} wire_kind_t;

typedef struct {
    wire_kind_t kind;
    uint32_t xid;
    bool accepted;
    enum accept_stat status; /* the status to reply with */
    peer_call_t call;        /* for WIRE_CALL; free with wire_input_free() */
} wire_input_t;

/*
 * Computes the HMAC of the bytes, of PEER_TAG_BYTES: all zeroes without a key.
 * Returns false on failure.
 */
bool wire_compute_tag(wire_key_t key, const uint8_t *bytes, size_t count,
                      uint8_t *tag);

/* Encodes a call as a record of one fragment.  Returns false on failure. */
bool wire_encode_call(uint32_t xid, const peer_call_t *call, wire_key_t key,
                      wire_record_t *record);

/* Encodes a reply without a result.  Returns false on failure. */
bool wire_encode_reply(uint32_t xid, enum accept_stat status,
                       wire_record_t *record);

/* Decodes a datagram, or a record without its mark. */
void wire_decode(const uint8_t *bytes, size_t count, wire_key_t key,
                 wire_input_t *input);
void wire_input_free(wire_input_t *input);

#endif
