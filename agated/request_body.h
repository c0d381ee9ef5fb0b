/*
 * request_body.h - parses the JSON body of a generation request.
 *
 * Private to request.c, request_body.c (fields) and request_hash.c (prefix
 * hashes and fingerprint).
 */
#ifndef AGATED_REQUEST_BODY_H
#define AGATED_REQUEST_BODY_H

#include <stddef.h>

#include <jansson.h>

#include "agated/request.h"

/* The state of parsing one request. */
typedef struct {
    arena_t *arena;
    refuse_request_action_t *refusal;
    parsed_request_t *parsed;
    const position_key_t *position_key;
    json_t *root;
} request_parser_t;

/* Fills in the refusal with a copy of the message and returns -1. */
int request_refuse(request_parser_t *parser, uint32_t status,
                   const char *message);

/* Parses the fields of root.  Returns 0, or -1 if one is refused. */
int request_parse_fields(request_parser_t *parser);

/*
 * Sets the prefix hashes: each covers the model and the first 1, 2, 3 ... KiB
 * of the prompt.
 */
void request_hash_prefixes(request_parser_t *parser, const char *bytes,
                           size_t length);

/*
 * Sets the fingerprint: a hash of all fields that affect the response,
 * independent of the order of keys.
 */
void request_hash_fingerprint(request_parser_t *parser);

#endif
