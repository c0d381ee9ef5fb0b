/* text.c - a growing byte buffer. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/text.h"
#include "base/arena.h"

enum { TEXT_CAPACITY_INITIAL = 256, U64_DIGITS = 20, DECIMAL_BASE = 10 };

static void reserve(text_t *text, size_t additional_bytes);
static void append_escaped(text_t *text, unsigned char byte);

void
text_free(text_t *text)
{
    free(text->bytes);
    *text = (text_t){0};
}

void
text_append(text_t *text, const void *bytes, size_t length)
{
    if (length == 0) {
        return;
    }
    reserve(text, length);
    memcpy(text->bytes + text->length, bytes, length);
    text->length += length;
}

void
text_puts(text_t *text, const char *string)
{
    text_append(text, string, strlen(string));
}

void
text_u64(text_t *text, uint64_t number)
{
    char digits[U64_DIGITS];
    size_t at = sizeof(digits);

    do {
        at--;
        digits[at] = (char)('0' + number % DECIMAL_BASE);
        number /= DECIMAL_BASE;
    } while (number > 0);
    text_append(text, digits + at, sizeof(digits) - at);
}

void
text_printf(text_t *text, const char *format, ...)
{
    va_list args;
    va_list args_copy;
    int length;

    va_start(args, format);
    va_copy(args_copy, args);
    length = vsnprintf(NULL, 0, format, args);
    va_end(args);
    if (length > 0) {
        reserve(text, (size_t)length + 1);
        (void)vsnprintf(text->bytes + text->length, (size_t)length + 1, format,
                        args_copy);
        text->length += (size_t)length;
    }
    va_end(args_copy);
}

void
text_json(text_t *text, const char *bytes, size_t length)
{
    size_t start = 0;
    size_t i;

    if (length == 0) {
        text_puts(text, "\"\"");
        return;
    }
    text_append(text, "\"", 1);
    for (i = 0; i < length; i++) {
        unsigned char byte = (unsigned char)bytes[i];

        if (byte >= ' ' && byte != '"' && byte != '\\') {
            continue;
        }
        text_append(text, bytes + start, i - start);
        append_escaped(text, byte);
        start = i + 1;
    }
    text_append(text, bytes + start, length - start);
    text_append(text, "\"", 1);
}

void
text_json_string(text_t *text, const char *string)
{
    text_json(text, string, strlen(string));
}

void
text_json_numbers(text_t *text, const uint32_t *ids, size_t count)
{
    size_t i;

    text_append(text, "[", 1);
    for (i = 0; i < count; i++) {
        if (i > 0) {
            text_append(text, ",", 1);
        }
        text_u64(text, ids[i]);
    }
    text_append(text, "]", 1);
}

static void
reserve(text_t *text, size_t additional_bytes)
{
    size_t required = text->length + additional_bytes;
    size_t capacity = text->capacity;

    if (required <= capacity) {
        return;
    }
    if (capacity == 0) {
        capacity = TEXT_CAPACITY_INITIAL;
    }
    while (capacity < required) {
        capacity *= 2;
    }
    text->bytes = xrealloc(text->bytes, capacity, 1);
    text->capacity = capacity;
}

static void
append_escaped(text_t *text, unsigned char byte)
{
    switch (byte) {
    case '"':
        text_puts(text, "\\\"");
        return;
    case '\\':
        text_puts(text, "\\\\");
        return;
    case '\n':
        text_puts(text, "\\n");
        return;
    case '\r':
        text_puts(text, "\\r");
        return;
    case '\t':
        text_puts(text, "\\t");
        return;
    default:
        text_printf(text, "\\u%04x", byte);
        return;
    }
}
