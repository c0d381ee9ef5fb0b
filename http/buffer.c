/* buffer.c - a growable byte buffer; see buffer.h. */
#include <stdlib.h>
#include <string.h>

#include "base/arena.h"
#include "http/buffer.h"

enum { BUFFER_BYTES_MIN = 512 };

int
buffer_append(buffer_t *buffer, const char *bytes, size_t length,
              size_t max_bytes)
{
    if (length > max_bytes || buffer->length > max_bytes - length) {
        return -1;
    }
    if (length == 0) {
        return 0;
    }
    if (buffer->size - buffer->length < length) {
        size_t size = buffer->size > 0 ? buffer->size * 2 : BUFFER_BYTES_MIN;

        if (size < buffer->length + length) {
            size = buffer->length + length;
        }
        buffer->bytes = xrealloc(buffer->bytes, size, 1);
        buffer->size = size;
    }
    memcpy(buffer->bytes + buffer->length, bytes, length);
    buffer->length += length;
    return 0;
}

void
buffer_consume(buffer_t *buffer, size_t length)
{
    if (length == 0) {
        return;
    }
    memmove(buffer->bytes, buffer->bytes + length, buffer->length - length);
    buffer->length -= length;
}

void
buffer_free(buffer_t *buffer)
{
    free(buffer->bytes);
    memset(buffer, 0, sizeof(*buffer));
}
