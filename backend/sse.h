/*
 * sse.h - incremental parser of server-sent events.
 *
 * Reports the data of each event; its name, its id and comments are ignored.
 * The bytes passed to the callback are valid only during the call.
 */
#ifndef BACKEND_SSE_H
#define BACKEND_SSE_H

#include <stdbool.h>
#include <stddef.h>

#include "http/buffer.h"

/* Returns false to skip the remaining bytes of this sse_feed() call. */
typedef bool (*sse_event_callback_t)(void *context, const char *data,
                                     size_t length);

/* A zeroed sse_t is ready for use. */
typedef struct {
    buffer_t line;
    buffer_t data;
    bool has_data; /* the event has a data field, which may be empty */
    bool after_cr; /* ignore a line feed: it belongs to the CR */
} sse_t;

enum { SSE_EVENT_BYTES_MAX = 16 << 20 };

/*
 * Parses bytes that follow those of the last call.  Returns 0, or -1 when a
 * line or an event is longer than SSE_EVENT_BYTES_MAX.
 */
int sse_feed(sse_t *sse, const char *bytes, size_t length,
             sse_event_callback_t on_event, void *context);

void sse_free(sse_t *sse);

#endif
