/*
 * event_stream.h - splits a stream of server-sent events into events.
 *
 * Takes the bytes of one runner's stream and passes on complete events in
 * order, each with its id.  A partial event is never passed on, so that a
 * stream whose runner fails can be resumed on another runner with the next
 * event.
 */
#ifndef FORWARD_EVENT_STREAM_H
#define FORWARD_EVENT_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/text.h"

enum { EVENT_STREAM_EVENT_BYTES_MAX = 1 << 20 };

/* A zeroed event_stream_t is a valid empty stream. */
typedef struct {
    text_t buffer;       /* start of an incomplete event */
    bool event_too_long; /* an incomplete event exceeded the limit; later bytes
                    are ignored */
} event_stream_t;

/* One complete event. */
typedef struct {
    const char *bytes; /* including the empty line that ends it; valid until
                          on_event returns */
    size_t length;
    bool has_id;
    int64_t id;
    bool valid; /* it has an id, or nothing but comments, and all of its lines
                   are fields with names in lower case, or comments */
} stream_event_t;

typedef void (*stream_event_handler_t)(void *context,
                                       const stream_event_t *event);

/* Appends the bytes and calls on_event for each event that is now complete. */
void event_stream_feed(event_stream_t *stream, const char *bytes,
                       size_t length, stream_event_handler_t on_event,
                       void *context);

/* Returns whether the buffer holds an incomplete event. */
bool event_stream_has_partial(const event_stream_t *stream);

void event_stream_free(event_stream_t *stream);

#endif
