/*
 * base64.h - base64 by OpenSSL, with lengths checked.
 */
#ifndef KV_BASE64_H
#define KV_BASE64_H

#include <stddef.h>

#include "base/arena.h"

/* A string in arena memory. */
char *base64_encode(arena_t *arena, const void *bytes, size_t length);

/* Ended by a NUL that *length leaves out; NULL when text is no base64. */
char *base64_decode(arena_t *arena, const char *text, size_t *length);

#endif
