/*
 * buffer.h - a growable byte buffer with a size limit.
 */
#ifndef HTTP_BUFFER_H
#define HTTP_BUFFER_H

#include <stddef.h>

/* A zeroed buffer_t is a valid empty buffer; its bytes is NULL. */
typedef struct {
    char *bytes;
    size_t length;
    size_t size; /* bytes allocated */
} buffer_t;

/*
 * Appends length bytes.  Returns -1 and changes nothing if the buffer would
 * exceed max_bytes.
 */
int buffer_append(buffer_t *buffer, const char *bytes, size_t length,
                  size_t max_bytes);

/* Removes the first length bytes. */
void buffer_consume(buffer_t *buffer, size_t length);

/* Frees the memory; the buffer is empty and can be used again. */
void buffer_free(buffer_t *buffer);

#endif
