/* sse.c - see sse.h. */
#include <string.h>

#include "backend/sse.h"

static size_t line_length(const char *bytes, size_t length);
static int end_line(sse_t *sse, const char *line, size_t length);

int
sse_feed(sse_t *sse, const char *bytes, size_t length, sse_event_t event,
         void *context)
{
    const char *end = bytes + length;

    while (bytes < end) {
        size_t part;

        if (sse->after_cr) {
            sse->after_cr = false;
            if (*bytes == '\n') {
                bytes++;
                continue;
            }
        }
        part = line_length(bytes, (size_t)(end - bytes));
        if (buffer_append(&sse->line, bytes, part, SSE_EVENT_BYTES_MAX) < 0) {
            return -1;
        }
        bytes += part;
        if (bytes == end) {
            break;
        }
        sse->after_cr = *bytes == '\r';
        bytes++;
        if (sse->line.length > 0) {
            if (end_line(sse, sse->line.bytes, sse->line.length) < 0) {
                return -1;
            }
            sse->line.length = 0;
            continue;
        }
        if (sse->has_data) {
            bool more =
                event(context, sse->data.length > 0 ? sse->data.bytes : "",
                      sse->data.length);

            sse->has_data = false;
            sse->data.length = 0;
            if (!more) {
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
    const char *feed = memchr(bytes, '\n', length);
    size_t most = feed != NULL ? (size_t)(feed - bytes) : length;
    const char *ret = memchr(bytes, '\r', most);

    return ret != NULL ? (size_t)(ret - bytes) : most;
}

static int
end_line(sse_t *sse, const char *line, size_t length)
{
    static const char name[] = "data";
    size_t name_length = sizeof(name) - 1;

    if (length < name_length || memcmp(line, name, name_length) != 0) {
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
