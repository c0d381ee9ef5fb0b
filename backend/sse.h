/*
 * sse.h - a parser of server-sent events, fed in any pieces.
 *
 * Only the data of each event is given; its name, id and comments are left
 * out.  The bytes given to the callback are valid during it only.
 */
#ifndef BACKEND_SSE_H
#define BACKEND_SSE_H

#include <stdbool.h>
#include <stddef.h>

#include "http/buffer.h"

/* Returns false to be given nothing more of this feed. */
typedef bool (*sse_event_t)(void *context, const char *data, size_t length);

/* A zeroed sse_t is ready for use. */
typedef struct {
    buffer_t line;
    buffer_t data;
    bool has_data; /* the event has a data field, perhaps empty */
    bool after_cr; /* a line feed that follows ends no line */
} sse_t;

enum { SSE_EVENT_BYTES_MAX = 16 << 20 };

/* Returns -1 when a line or an event is longer than SSE_EVENT_BYTES_MAX. */
int sse_feed(sse_t *sse, const char *bytes, size_t length, sse_event_t event,
             void *context);

void sse_free(sse_t *sse);

#endif
