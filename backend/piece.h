/*
 * piece.h - one event of an engine's stream, read from its JSON.
 *
 * Understood are the OpenAI completions and chat chunks, and vLLM's
 * token_ids and prompt_token_ids.
 */
#ifndef BACKEND_PIECE_H
#define BACKEND_PIECE_H

#include <stddef.h>

#include "backend/backend.h"
#include "base/arena.h"

typedef enum {
    PIECE_TOKENS, /* *piece is filled in, without stream and position */
    PIECE_EMPTY,  /* nothing of the answer: usage, a role, another choice */
    PIECE_ERROR,  /* the engine reports an error */
    PIECE_BROKEN, /* no JSON, or not of this shape */
} piece_kind_t;

/* What *piece points to is allocated in arena. */
piece_kind_t piece_read(arena_t *arena, const char *json, size_t length,
                        backend_piece_t *piece);

#endif
