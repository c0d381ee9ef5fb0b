/*
 * request.h - an HTTP request of a caller as a request_event_t.
 *
 * Checks what can be checked without the fleet's state.  What agatevale
 * cannot promise to resume is refused with the words to leave out.
 */
#ifndef AGATED_REQUEST_H
#define AGATED_REQUEST_H

#include <stdbool.h>
#include <stddef.h>

#include "agated/position.h"
#include "base/arena.h"
#include "policy/generated/event.h"

enum { CREDENTIAL_BYTES = 65, REQUEST_NAME_MAX = 96 };

/* What came in; a header that was not sent is NULL. */
typedef struct {
    const char *method;
    const char *path; /* with the query */
    const char *content_type;
    const char *authorization;
    const char *idempotency_key;
    const char *last_event_id;
    const char *request_kind;
    const char *body;
    size_t body_bytes;
    const position_key_t *position_key;
    const char *generated_name; /* the request's name unless it has one */
} request_input_t;

typedef struct {
    request_event_t event; /* caller is left 0 */
    bool token_ids;
    bool usage;
    const char *service_path; /* ENDPOINT_SERVICE: what the backend gets */
} parsed_request_t;

/*
 * Strings are kept in arena or are the input's.  Returns 0, or -1 with
 * *refusal filled in.
 */
int request_parse(const request_input_t *input, arena_t *arena,
                 parsed_request_t *parsed, refuse_request_action_t *refusal);

/*
 * The SHA-256 of the bearer key in hexadecimal, or "" without one;
 * credential has CREDENTIAL_BYTES.
 */
void request_credential(const char *authorization, char *credential);

#endif
