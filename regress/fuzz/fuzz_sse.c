/* fuzz_sse.c - any bytes of an engine, whole and split: the same pieces. */
#include <stdlib.h>
#include <string.h>

#include "backend/chunk.h"
#include "backend/sse.h"
#include "http/buffer.h"
#include "regress/fuzz/fuzz.h"

enum { SEEN_BYTES_MAX = 1 << 24 };

static bool
on_event(void *context, const char *data, size_t length)
{
    buffer_t *seen = context;
    backend_chunk_t piece;
    arena_t arena = {0};

    (void)chunk_parse(&arena, data, length, &piece);
    arena_free(&arena);
    if (buffer_append(seen, data, length, SEEN_BYTES_MAX) < 0 ||
        buffer_append(seen, "|", 1, SEEN_BYTES_MAX) < 0) {
        abort();
    }
    return true;
}

static buffer_t
feed(const char *bytes, size_t length, size_t step)
{
    buffer_t seen = {0};
    sse_t sse = {0};
    size_t at;

    for (at = 0; at < length; at += step) {
        size_t part = length - at < step ? length - at : step;

        if (sse_feed(&sse, bytes + at, part, on_event, &seen) < 0) {
            abort();
        }
    }
    sse_free(&sse);
    return seen;
}

/* The first byte is the size of the parts. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    buffer_t whole;
    buffer_t split;

    if (size < 2 || data[0] == 0) {
        return 0;
    }
    whole = feed((const char *)data + 1, size - 1, size);
    split = feed((const char *)data + 1, size - 1, data[0]);
    if (whole.length != split.length ||
        (whole.length > 0 &&
         memcmp(whole.bytes, split.bytes, whole.length) != 0)) {
        abort();
    }
    buffer_free(&whole);
    buffer_free(&split);
    return 0;
}
