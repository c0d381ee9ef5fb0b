/*
 * request.h - parses an HTTP request of a caller into a request_event_t.
 *
 * Performs the checks that do not depend on the state of the fleet.  A request
 * with a feature that prevents resuming its response is refused; the message
 * names the field to leave out.
 */
#ifndef AGATED_REQUEST_H
#define AGATED_REQUEST_H

#include <stdbool.h>
#include <stddef.h>

#include "agated/position.h"
#include "base/arena.h"
#include "policy/generated/event.h"

enum { CREDENTIAL_BYTES = 65, REQUEST_NAME_MAX = 96 };

/* The HTTP request.  Absent headers are NULL. */
typedef struct {
    const char *method;
    const char *path; /* includes the query */
    const char *content_type;
    const char *authorization;
    const char *idempotency_key;
    const char *last_event_id;
    const char *request_kind;
    const char *body;
    size_t body_bytes;
    const position_key_t *position_key;
    const char *generated_name; /* used if the request has no name */
} request_input_t;

typedef struct {
    request_event_t event; /* caller is 0 */
    bool token_ids;
    bool include_usage;
    const char *service_path; /* ENDPOINT_SERVICE: path for the backend */
} parsed_request_t;

/*
 * Parses and checks a request.  Returns 0, or -1 with *refusal filled in.
 * Strings in *parsed are allocated in arena or belong to input.
 */
int request_parse(const request_input_t *input, arena_t *arena,
                  parsed_request_t *parsed, refuse_request_action_t *refusal);

/*
 * Writes the SHA-256 of the bearer key in hexadecimal to credential, which
 * has CREDENTIAL_BYTES, or "" if there is no bearer key.
 */
void hash_bearer_key(const char *authorization, char *credential);

#endif
