/*
 * answer.h - one caller's answer, and the one place that appends to it.
 *
 * An answer is a row of tokens with their text.  It grows by whole units:
 * the tokens whose text an engine held back (inside a multi-byte
 * character) join the piece that brings the text.  A cut is the end of a
 * unit; answers are given to callers, recorded and resumed at cuts only.
 *
 * answer_append() checks that a piece belongs to an attempt that may still
 * write and that it starts exactly where the answer ends.  While two
 * attempts race both may write; the first that does fences off the other.
 */
#ifndef POLICY_ANSWER_H
#define POLICY_ANSWER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/generated/event.h"

enum { ANSWER_WRITERS = 2 };

typedef struct {
    uint32_t *token_ids;
    uint32_t token_count;
    uint32_t token_capacity;
    char *text;
    uint32_t text_bytes;
    uint32_t text_capacity;
    record_cut_t *cuts; /* ascending; cut 0 (0, 0) is implied */
    uint32_t cut_count;
    uint32_t cut_capacity;
    uint32_t writers[ANSWER_WRITERS]; /* attempt numbers; 0: nobody */
    uint32_t scanned_bytes; /* text that holds no stop string's start */
    uint32_t ready_cuts;    /* cuts that may be given to the caller */
    uint32_t first_cut;     /* no caller can go on from an earlier one */
    const char *stop;       /* stop strings, each ended by a NUL */
    uint32_t stop_bytes;
    finish_t finish;
} answer_t;

typedef enum {
    APPEND_DONE,     /* appended; the answer may have ended, see finish */
    APPEND_FENCED,   /* the attempt may not write: dropped */
    APPEND_REPEATED, /* the position is already held: dropped */
    APPEND_AHEAD,    /* tokens are missing before it: dropped */
    APPEND_ENDED,    /* the answer had already ended: dropped */
} append_result_t;

/* A unit to append: position counts the tokens of the answer before it. */
typedef struct {
    uint32_t position;
    const uint32_t *token_ids;
    uint32_t token_count;
    const char *text;
    uint32_t text_bytes;
    finish_t finish;
} answer_unit_t;

/* stop is borrowed and outlives the answer. */
void answer_init(answer_t *answer, const char *stop, uint32_t stop_bytes);
void answer_free(answer_t *answer);

/* Lets this attempt write, alone or beside the one that already may. */
void answer_admit(answer_t *answer, uint32_t attempt, bool beside);

/* Takes the right to write away from this attempt. */
void answer_fence(answer_t *answer, uint32_t attempt);

append_result_t answer_append(answer_t *answer, uint32_t attempt,
                              const answer_unit_t *unit);

/*
 * Puts back what another host had of the answer, into an empty one.  The
 * tail are tokens behind it whose text nobody holds but the caller that
 * has received it.
 */
typedef struct {
    const uint32_t *token_ids;
    uint32_t token_count;
    const char *text;
    uint32_t text_bytes;
    const record_cut_t *cuts;
    uint32_t cut_count;
} answer_copy_t;
void answer_restore(answer_t *answer, const answer_copy_t *copy);
void answer_restore_tail(answer_t *answer, const uint32_t *token_ids,
                         uint32_t count);

/* Ends the answer where it stands. */
void answer_end(answer_t *answer, finish_t finish);

/* The number of the cut at this position, or -1 when none stands there. */
int64_t answer_cut_at(const answer_t *answer, uint32_t position);

/*
 * A hash of the token ids from one position to another, which goes on from
 * the hash of those before: two answers with one hash have the same tokens.
 */
uint64_t answer_hash(const answer_t *answer, uint32_t from, uint32_t to,
                     uint64_t before);

/* The cut with this number; number 0 is the answer's start. */
record_cut_t answer_cut(const answer_t *answer, uint32_t number);

#endif
