/* event_stream.c - see event_stream.h. */
#include <string.h>

#include "forward/event_stream.h"

enum { DECIMAL = 10 };

static size_t find_end(const char *bytes, size_t length, size_t from);
static stream_event_t read_event(const char *bytes, size_t length);
static bool read_id(const char *line, size_t length, int64_t *id);

void
event_stream_feed(event_stream_t *stream, const char *bytes, size_t length,
                  stream_event_done_t done, void *context)
{
    size_t searched = stream->held.length > 3 ? stream->held.length - 3 : 0;
    size_t start = 0;
    size_t end;

    if (stream->broken) {
        return;
    }
    text_append(&stream->held, bytes, length);
    while ((end = find_end(stream->held.bytes, stream->held.length,
                           searched > start ? searched : start)) > 0) {
        stream_event_t event =
            read_event(stream->held.bytes + start, end - start);

        done(context, &event);
        start = end;
    }
    if (start > 0) {
        stream->held.length -= start;
        memmove(stream->held.bytes, stream->held.bytes + start,
                stream->held.length);
    }
    stream->broken = stream->held.length > EVENT_STREAM_EVENT_BYTES_MAX;
}

bool
event_stream_partial(const event_stream_t *stream)
{
    return stream->held.length > 0;
}

void
event_stream_free(event_stream_t *stream)
{
    text_free(&stream->held);
}

/* Where the first event that ends at or after from does; 0: none does. */
static size_t
find_end(const char *bytes, size_t length, size_t from)
{
    size_t i;

    for (i = from; i < length; i++) {
        if (bytes[i] != '\n') {
            continue;
        }
        if (i + 1 < length && bytes[i + 1] == '\n') {
            return i + 2;
        }
        if (i + 2 < length && bytes[i + 1] == '\r' && bytes[i + 2] == '\n') {
            return i + 3;
        }
    }
    return 0;
}

static stream_event_t
read_event(const char *bytes, size_t length)
{
    stream_event_t event = {.bytes = bytes, .length = length};
    const char *line = bytes;
    const char *end = bytes + length;

    while (line < end) {
        const char *stop = memchr(line, '\n', (size_t)(end - line));
        size_t line_bytes = (size_t)((stop != NULL ? stop : end) - line);

        if (read_id(line, line_bytes, &event.id)) {
            event.has_id = true;
        }
        line += line_bytes + 1;
    }
    return event;
}

static bool
read_id(const char *line, size_t length, int64_t *id)
{
    int64_t number = 0;
    size_t i = 3;

    if (length <= i || memcmp(line, "id:", i) != 0) {
        return false;
    }
    while (i < length && line[i] == ' ') {
        i++;
    }
    if (i == length || line[i] < '0' || line[i] > '9') {
        return false;
    }
    for (; i < length && line[i] >= '0' && line[i] <= '9'; i++) {
        if (number > (INT64_MAX - 9) / DECIMAL) {
            return false;
        }
        number = number * DECIMAL + (line[i] - '0');
    }
    *id = number;
    return true;
}
