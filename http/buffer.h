/*
 * buffer.h - bytes that grow, up to a limit.
 */
#ifndef HTTP_BUFFER_H
#define HTTP_BUFFER_H

#include <stddef.h>

/* A zeroed buffer_t is empty and usable; bytes is NULL until it grows. */
typedef struct {
    char *bytes;
    size_t length;
    size_t size;
} buffer_t;

/* Returns -1 and changes nothing if it would pass max_bytes. */
int buffer_append(buffer_t *buffer, const char *bytes, size_t length,
                  size_t max_bytes);

/* Drops length bytes from the front. */
void buffer_consume(buffer_t *buffer, size_t length);

/* Gives the memory back; the buffer is empty and usable again. */
void buffer_free(buffer_t *buffer);

#endif
