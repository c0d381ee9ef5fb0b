/* sse.c - incremental parser of server-sent events. */
#include <string.h>

#include "backend/sse.h"

static size_t line_length(const char *bytes, size_t length);
static int parse_line(sse_t *sse, const char *line, size_t length);

int
sse_feed(sse_t *sse, const char *bytes, size_t length,
         sse_event_callback_t on_event, void *context)
{
    const char *end = bytes + length;

    while (bytes < end) {
        size_t line_bytes;

        if (sse->after_cr) {
            sse->after_cr = false;
            if (*bytes == '\n') {
                bytes++;
                continue;
            }
        }
        line_bytes = line_length(bytes, (size_t)(end - bytes));
        if (buffer_append(&sse->line, bytes, line_bytes, SSE_EVENT_BYTES_MAX) <
            0) {
            return -1;
        }
        bytes += line_bytes;
        if (bytes == end) {
            break;
        }
        sse->after_cr = *bytes == '\r';
        bytes++;
        if (sse->line.length > 0) {
            if (parse_line(sse, sse->line.bytes, sse->line.length) < 0) {
                return -1;
            }
            sse->line.length = 0;
            continue;
        }
        if (sse->has_data) {
            bool proceed =
                on_event(context, sse->data.length > 0 ? sse->data.bytes : "",
                         sse->data.length);

            sse->has_data = false;
            sse->data.length = 0;
            if (!proceed) {
                break;
            }
        }
    }
    return 0;
}

void
sse_free(sse_t *sse)
{
    buffer_free(&sse->line);
    buffer_free(&sse->data);
}

static size_t
line_length(const char *bytes, size_t length)
{
    const char *newline = memchr(bytes, '\n', length);
    size_t limit = newline != NULL ? (size_t)(newline - bytes) : length;
    const char *carriage_return = memchr(bytes, '\r', limit);

    return carriage_return != NULL ? (size_t)(carriage_return - bytes) : limit;
}

static int
parse_line(sse_t *sse, const char *line, size_t length)
{
    static const char field[] = "data";
    size_t name_length = sizeof(field) - 1;

    if (length < name_length || memcmp(line, field, name_length) != 0) {
        return 0;
    }
    if (length > name_length && line[name_length] != ':') {
        return 0;
    }
    line += name_length;
    length -= name_length;
    if (length > 0) {
        line++;
        length--;
    }
    if (length > 0 && *line == ' ') {
        line++;
        length--;
    }
    if (sse->has_data &&
        buffer_append(&sse->data, "\n", 1, SSE_EVENT_BYTES_MAX) < 0) {
        return -1;
    }
    sse->has_data = true;
    return buffer_append(&sse->data, line, length, SSE_EVENT_BYTES_MAX);
}
