/*
 * request.h - the body that an engine is sent, made of the caller's.
 *
 * The changes are those that backend.h states for open.
 */
#ifndef BACKEND_REQUEST_H
#define BACKEND_REQUEST_H

#include <stddef.h>

#include "backend/backend.h"
#include "base/arena.h"

/* In arena memory; NULL when the caller's body is no JSON object. */
char *request_body(arena_t *arena, const backend_request_t *request,
                   size_t *length);

/* The path that the body goes to. */
const char *request_path(const backend_request_t *request);

#endif
