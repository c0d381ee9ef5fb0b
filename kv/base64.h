/*
 * base64.h - base64 encoding and decoding.
 */
#ifndef KV_BASE64_H
#define KV_BASE64_H

#include <stddef.h>

#include "base/arena.h"

/* Returns a NUL-terminated string in arena memory. */
char *base64_encode(arena_t *arena, const void *bytes, size_t length);

/*
 * Returns the decoded bytes in arena memory, or NULL if text is not valid
 * base64.  A NUL follows the bytes; *length does not count it.
 */
char *base64_decode(arena_t *arena, const char *text, size_t *length);

#endif
