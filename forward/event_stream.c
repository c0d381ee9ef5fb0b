/* event_stream.c - splits a stream of server-sent events into events. */
#include <string.h>

#include "forward/event_stream.h"

enum { DECIMAL = 10 };

static size_t find_event_end(const char *bytes, size_t length, size_t from);
static stream_event_t parse_event(const char *bytes, size_t length);
static bool is_field(const char *line, size_t length);
static bool parse_id(const char *line, size_t length, int64_t *id);

void
event_stream_feed(event_stream_t *stream, const char *bytes, size_t length,
                  stream_event_handler_t on_event, void *context)
{
    /* The end of an event, "\n\r\n", may be split over two calls. */
    size_t search_start =
        stream->buffer.length > 3 ? stream->buffer.length - 3 : 0;
    size_t consumed = 0;
    size_t end;

    if (stream->event_too_long) {
        return;
    }
    text_append(&stream->buffer, bytes, length);
    while ((end = find_event_end(stream->buffer.bytes, stream->buffer.length,
                                 search_start > consumed ? search_start
                                                         : consumed)) > 0) {
        stream_event_t event =
            parse_event(stream->buffer.bytes + consumed, end - consumed);

        on_event(context, &event);
        consumed = end;
    }
    if (consumed > 0) {
        stream->buffer.length -= consumed;
        memmove(stream->buffer.bytes, stream->buffer.bytes + consumed,
                stream->buffer.length);
    }
    stream->event_too_long =
        stream->buffer.length > EVENT_STREAM_EVENT_BYTES_MAX;
}

bool
event_stream_has_partial(const event_stream_t *stream)
{
    return stream->buffer.length > 0;
}

void
event_stream_free(event_stream_t *stream)
{
    text_free(&stream->buffer);
}

/* Returns the end offset of the first event whose last line ends at or after
 * from, or 0 if there is none. */
static size_t
find_event_end(const char *bytes, size_t length, size_t from)
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
parse_event(const char *bytes, size_t length)
{
    stream_event_t event = {.bytes = bytes, .length = length};
    const char *line = bytes;
    const char *end = bytes + length;
    bool has_fields = false;
    bool fields_valid = true;

    while (line < end) {
        const char *line_end = memchr(line, '\n', (size_t)(end - line));
        size_t line_bytes =
            (size_t)((line_end != NULL ? line_end : end) - line);

        if (parse_id(line, line_bytes, &event.id)) {
            event.has_id = true;
        }
        if (line_bytes > 0 && line[0] != ':' && line[0] != '\r') {
            has_fields = true;
            fields_valid &= is_field(line, line_bytes);
        }
        line += line_bytes + 1;
    }
    event.valid = fields_valid && (event.has_id || !has_fields);
    return event;
}

/* Returns whether the line begins with a field name and a colon. */
static bool
is_field(const char *line, size_t length)
{
    size_t i = 0;

    while (i < length &&
           ((line[i] >= 'a' && line[i] <= 'z') || line[i] == '-')) {
        i++;
    }
    return i > 0 && i < length && line[i] == ':';
}

static bool
parse_id(const char *line, size_t length, int64_t *id)
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
