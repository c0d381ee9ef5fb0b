/*
 * request.h - builds the request body for an engine from the caller's body.
 *
 * backend.h lists the changes to the body; see open.
 */
#ifndef BACKEND_REQUEST_H
#define BACKEND_REQUEST_H

#include <stddef.h>

#include "backend/backend.h"
#include "base/arena.h"

/*
 * Returns the body, allocated in arena, or NULL when the caller's body is not
 * a JSON object.
 */
char *engine_request_body(arena_t *arena, const backend_request_t *request,
                          size_t *length);

/* Returns the path of the request. */
const char *engine_request_path(const backend_request_t *request);

#endif
