/*
 * wire.h - RPC calls and replies as bytes, with their tags.
 */
#ifndef PEER_WIRE_H
#define PEER_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peer/generated/peer.h"

enum { WIRE_MARK_BYTES = 4 };

/* Bytes that begin with room for a record mark; free() them. */
typedef struct {
    uint8_t *bytes;
    size_t count; /* with the mark */
} wire_record_t;

typedef struct {
    const uint8_t *bytes;
    size_t count; /* 0: no tags are made or checked */
} wire_key_t;

typedef enum {
    WIRE_CALL,       /* ours; the argument's tag is right */
    WIRE_PING,       /* procedure 0, which every program has */
    WIRE_REPLY,      /* an answer; accepted says which */
    WIRE_NOT_SERVED, /* a call of something else; status says what */
    WIRE_TAG_WRONG,  /* a call of ours whose tag is wrong */
    WIRE_GARBAGE,    /* a call of ours whose argument is malformed */
    WIRE_NOT_RPC,    /* neither a call nor a reply */
} wire_kind_t;

typedef struct {
    wire_kind_t kind;
    uint32_t xid;
    bool accepted;
    enum accept_stat status; /* what to reply */
    peer_call_t call;        /* WIRE_CALL: give it back to wire_clear() */
} wire_input_t;

/* Encodes a call, marked as one whole record.  false: it can't be encoded. */
bool wire_call(uint32_t xid, const peer_call_t *call, wire_key_t key,
               wire_record_t *record);

/* Encodes a reply without a result. */
bool wire_reply(uint32_t xid, enum accept_stat status, wire_record_t *record);

/* Reads a record or datagram (without mark). */
void wire_read(const uint8_t *bytes, size_t count, wire_key_t key,
               wire_input_t *input);
void wire_clear(wire_input_t *input);

#endif
