/*
 * position.h - the ids of server-sent events: how far an answer has come.
 *
 * "NAME.POSITION", or "NAME.POSITION~SEALED" where the caller carries what
 * another host may need to go on: the engine that has the stream, and the
 * token ids that no keeper surely has.  SEALED is base64url of the attempt,
 * the stream's location, the tail's start and its ids, as variable-length
 * integers and strings with their length, and a tag over all of it: a
 * caller can hand back only what it was given.
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

/* The fleet's key for sealing: derived from what its hosts share. */
typedef struct {
    uint8_t bytes[POSITION_KEY_BYTES];
} position_key_t;

/* Derives the key from a secret of any length. */
void position_key(position_key_t *key, const uint8_t *secret, size_t bytes);

typedef struct {
    uint32_t position;
    uint32_t attempt; /* 0: not said */
    stream_location_t
        location;  /* of that attempt; its strings are never NULL */
    uint64_t hash; /* of all token ids up to position */
    uint32_t tail_from;
    const uint32_t *tail_ids; /* position - tail_from of them */
    uint32_t tail_count;
} position_t;

/* Appends the id of the request called name. */
void position_write(const position_key_t *key, const char *name,
                    const position_t *position, text_t *out);

/*
 * Reads an id; *name_length is how much of it is the name.  False when it
 * is none, or its seal is not ours.  The tail lives in arena.
 */
bool position_read(const position_key_t *key, const char *id, arena_t *arena,
                   position_t *position, size_t *name_length);

#endif
