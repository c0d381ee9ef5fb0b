/*
 * request_body.h - the JSON body of a generation's request.
 *
 * Private to request.c, request_body.c (its fields) and request_hash.c
 * (what it is recognised by).
 */
#ifndef AGATED_REQUEST_BODY_H
#define AGATED_REQUEST_BODY_H

#include <stddef.h>

#include <jansson.h>

#include "agated/request.h"

/* What every check of one request needs. */
typedef struct {
    arena_t *arena;
    refuse_request_action_t *refusal;
    request_parsed_t *parsed;
    const position_key_t *position_key;
    json_t *root;
} request_reader_t;

/* Fills in the refusal and returns -1, copying the message. */
int request_refuse(request_reader_t *reader, uint32_t status,
                   const char *message);

/* Checks every field of root; -1 when one is refused. */
int request_fields(request_reader_t *reader);

/* Hashes of the model and the first 1, 2, 3 ... KiB of the prompt. */
void request_hash_prefixes(request_reader_t *reader, const char *bytes,
                           size_t length);

/* The fingerprint: all that shapes the answer, in one order of keys. */
void request_hash_content(request_reader_t *reader);

#endif
