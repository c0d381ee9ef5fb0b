/*
 * chunk.h - parses the JSON of one event of an engine's stream.
 *
 * Accepts the chunks of the OpenAI completions and chat APIs, with token_ids
 * and prompt_token_ids as added by vLLM.
 */
#ifndef BACKEND_CHUNK_H
#define BACKEND_CHUNK_H

#include <stddef.h>

#include "backend/backend.h"
#include "base/arena.h"

typedef enum {
    CHUNK_TOKENS,    /* *chunk is set, except stream and position */
    CHUNK_EMPTY,     /* no content: usage, a role or another choice */
    CHUNK_ERROR,     /* the engine reports an error */
    CHUNK_MALFORMED, /* not JSON, or not a chunk */
} chunk_kind_t;

/* Parses one event.  The members of *chunk point into arena. */
chunk_kind_t chunk_parse(arena_t *arena, const char *json, size_t length,
                         backend_chunk_t *chunk);

#endif
