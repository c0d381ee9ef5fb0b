/*
 * patch.h - compressed differences between two versions of a value.
 *
 * A patch is a Zstandard frame (RFC 8878) whose dictionary is the earlier
 * version, so that its size follows what has changed.  With an empty earlier
 * version it is the compressed value.  The frame states the size of the value
 * and ends with a checksum of it.
 */
#ifndef BASE_PATCH_H
#define BASE_PATCH_H

#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

typedef struct {
    uint8_t *bytes; /* to be freed by the caller */
    size_t count;
} patch_t;

/* Returns the patch that makes value of base. */
patch_t patch_make(const char *base, size_t base_bytes, const char *value,
                   size_t value_bytes);

/*
 * Makes the value of base.  *value is to be freed by the caller and ends with
 * a NUL byte that does not count.  Returns -1 with *err set if the patch is
 * damaged or made of another base (ERR_PROTOCOL), or if the value has more
 * than max_bytes (ERR_LIMIT).
 */
int patch_apply(const char *base, size_t base_bytes, const uint8_t *patch,
                size_t patch_bytes, size_t max_bytes, char **value,
                size_t *value_bytes, err_t *err);

#endif
