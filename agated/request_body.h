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
    parsed_request_t *parsed;
    const position_key_t *position_key;
    json_t *root;
} request_parser_t;

/* Fills in the refusal and returns -1, copying the message. */
int request_refuse(request_parser_t *parser, uint32_t status,
                   const char *message);

/* Checks every field of root; -1 when one is refused. */
int request_parse_fields(request_parser_t *parser);

/* Hashes of the model and the first 1, 2, 3 ... KiB of the prompt. */
void request_hash_prefixes(request_parser_t *parser, const char *bytes,
                           size_t length);

/* The fingerprint: all that shapes the answer, in one order of keys. */
void request_hash_fingerprint(request_parser_t *parser);

#endif
