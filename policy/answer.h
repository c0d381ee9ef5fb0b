/*
 * answer.h - the generated answer to one request.
 *
 * An answer is a sequence of token ids with their text.  It grows by whole
 * segments.  Some tokens have no text of their own, because an engine emits
 * the text only once a multi-byte character is complete; such tokens are
 * part of the segment that contains the text.  The end of a segment is a
 * boundary: the token count and the text length up to it.  Answers are sent
 * to callers, recorded and resumed at boundaries only.
 *
 * answer_append() verifies that a segment comes from an attempt that may
 * write and that it starts exactly at the end of the answer.  While two
 * attempts race both may write; the first one that does fences the other.
 */
#ifndef POLICY_ANSWER_H
#define POLICY_ANSWER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/generated/event.h"

enum { ANSWER_WRITERS_MAX = 2 };

typedef struct {
    uint32_t *token_ids;
    uint32_t token_count;
    uint32_t token_capacity;
    char *text;
    uint32_t text_bytes;
    uint32_t text_capacity;
    record_boundary_t *boundaries; /* ascending; boundary 0 is the start */
    uint32_t boundary_count;
    uint32_t boundary_capacity;
    uint32_t writers[ANSWER_WRITERS_MAX]; /* attempt numbers; 0: none */
    uint32_t scanned_bytes;   /* no stop string starts before this offset */
    uint32_t ready_boundary;  /* the last one that may be sent to callers */
    uint32_t first_boundary;  /* the earliest one that callers can resume at */
    const char *stop_strings; /* each terminated by a NUL */
    uint32_t stop_bytes;      /* size of stop_strings with the NULs */
    finish_reason_t finish;
} answer_t;

typedef enum {
    APPEND_DONE,      /* appended; see finish for whether the answer ended */
    APPEND_FENCED,    /* the attempt may not write: dropped */
    APPEND_DUPLICATE, /* the answer already has this position: dropped */
    APPEND_GAP,       /* tokens before the segment are missing: dropped */
    APPEND_ENDED,     /* the answer had already ended: dropped */
} append_result_t;

/* A segment to append; position is the number of tokens before it. */
typedef struct {
    uint32_t position;
    const uint32_t *token_ids;
    uint32_t token_count;
    const char *text;
    uint32_t text_bytes;
    finish_reason_t finish;
} answer_segment_t;

/* Borrows stop_strings, which must outlive the answer. */
void answer_init(answer_t *answer, const char *stop_strings,
                 uint32_t stop_bytes);
void answer_free(answer_t *answer);

/*
 * Allows the attempt to write: as the only writer, or with concurrent set in
 * addition to the present one.
 */
void answer_add_writer(answer_t *answer, uint32_t attempt, bool concurrent);

/* Takes the permission to write away from the attempt. */
void answer_revoke_writer(answer_t *answer, uint32_t attempt);

append_result_t answer_append(answer_t *answer, uint32_t attempt,
                              const answer_segment_t *segment);

/* The part of an answer that another host has recorded. */
typedef struct {
    const uint32_t *token_ids;
    uint32_t token_count;
    const char *text;
    uint32_t text_bytes;
    const record_boundary_t *boundaries;
    uint32_t boundary_count;
} answer_snapshot_t;

/* Fills an empty answer from a snapshot. */
void answer_restore(answer_t *answer, const answer_snapshot_t *snapshot);

/*
 * Appends tokens whose text is unknown here, because only the caller has
 * received it.  Callers can't resume before the end of these tokens.
 */
void answer_restore_tail(answer_t *answer, const uint32_t *token_ids,
                         uint32_t count);

/* Ends the answer at its present length. */
void answer_end(answer_t *answer, finish_reason_t finish);

/* Returns the number of the boundary at a token position, or -1 if none. */
int64_t answer_boundary_at(const answer_t *answer, uint32_t position);

/*
 * Returns a hash of the token ids up to position to.  before is the hash up
 * to position from, 0 for the start.  Answers with equal hashes are taken
 * to have the same tokens.
 */
uint64_t answer_hash(const answer_t *answer, uint32_t from, uint32_t to,
                     uint64_t before);

/* Returns the boundary with this number; number 0 is the answer's start. */
record_boundary_t answer_boundary(const answer_t *answer, uint32_t number);

#endif
