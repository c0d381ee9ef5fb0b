/*
 * text.h - a growing byte buffer with functions that append JSON.
 */
#ifndef BASE_TEXT_H
#define BASE_TEXT_H

#include <stddef.h>
#include <stdint.h>

/* A zeroed text_t is empty and usable. */
typedef struct {
    char *bytes;
    size_t length;
    size_t capacity;
} text_t;

void text_free(text_t *text);

void text_append(text_t *text, const void *bytes, size_t length);
void text_puts(text_t *text, const char *string);
void text_u64(text_t *text, uint64_t number);
void text_printf(text_t *text, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Appends a quoted and escaped JSON string. */
void text_json(text_t *text, const char *bytes, size_t length);
void text_json_string(text_t *text, const char *string);

/* Appends a JSON array of numbers. */
void text_json_numbers(text_t *text, const uint32_t *ids, size_t count);

#endif
