/*
 * position.h - ids of server-sent events, which give the stream position.
 *
 * An id is "NAME.POSITION" or "NAME.POSITION~PAYLOAD".  The payload lets
 * another host resume the stream: it has the engine that runs the stream and
 * the token ids that may not have been replicated yet.  PAYLOAD is base64url
 * of the attempt, the stream's location, the hash, the start of the tail and
 * its token ids, as variable-length integers and length-prefixed strings,
 * the hash as 8 bytes, followed by a truncated HMAC over the name, the
 * position and the payload.  A caller can therefore not forge or change it.
 */
#ifndef AGATED_POSITION_H
#define AGATED_POSITION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/text.h"
#include "base/arena.h"
#include "policy/generated/event.h"

enum {
    POSITION_KEY_BYTES = 32,
    POSITION_TAIL_MAX = 1024,
};

/* The HMAC key, derived from a secret that all hosts share. */
typedef struct {
    uint8_t bytes[POSITION_KEY_BYTES];
} position_key_t;

/* Derives the HMAC key from a secret of any length. */
void position_key(position_key_t *key, const uint8_t *secret, size_t bytes);

typedef struct {
    uint32_t position;
    uint32_t attempt;           /* 0: the id has no payload */
    stream_location_t location; /* of attempt; strings are never NULL */
    uint64_t hash;              /* of the first position token ids */
    uint32_t tail_from;         /* index of the first tail token */
    const uint32_t *tail_ids;   /* position - tail_from of them */
    uint32_t tail_count;
} position_t;

/* Appends the event id of the request with this name to out. */
void position_encode(const position_key_t *key, const char *name,
                     const position_t *position, text_t *out);

/*
 * Parses an event id and sets *name_length to the length of its name.
 * Returns false if the id is malformed or its HMAC does not match.  The tail
 * and the strings of the location are allocated in arena.
 */
bool position_decode(const position_key_t *key, const char *id, arena_t *arena,
                     position_t *position, size_t *name_length);

#endif
