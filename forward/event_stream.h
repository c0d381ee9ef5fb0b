/*
 * event_stream.h - server-sent events cut at the ends of whole events.
 *
 * Takes the bytes of one runner's stream and hands out whole events in
 * order, each with its id.  What a runner that broke off left of an event is
 * never handed out, so that the stream can go on at another runner with the
 * next event.  An event without an id counts as one more than the last.
 */
#ifndef FORWARD_EVENT_STREAM_H
#define FORWARD_EVENT_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/text.h"

enum { EVENT_STREAM_EVENT_BYTES_MAX = 1 << 20 };

/* A zeroed event_stream_t is at the start of a stream. */
typedef struct {
    text_t held; /* of an event that is not whole */
    bool broken; /* an event was longer than EVENT_STREAM_EVENT_BYTES_MAX */
} event_stream_t;

/* One whole event; bytes are valid until the next call. */
typedef struct {
    const char *bytes; /* with the empty line that ends it */
    size_t length;
    bool has_id;
    int64_t id;
} stream_event_t;

typedef void (*stream_event_done_t)(void *context,
                                    const stream_event_t *event);

/* Calls done for each event that the bytes complete. */
void event_stream_feed(event_stream_t *stream, const char *bytes,
                       size_t length, stream_event_done_t done, void *context);

/* Whether part of an event is held. */
bool event_stream_partial(const event_stream_t *stream);

void event_stream_free(event_stream_t *stream);

#endif
