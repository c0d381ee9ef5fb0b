/*
 * reader.h - decodes a TOML document into C structs, as a schema describes.
 *
 * A table_schema_t lists the keys of one kind of table with their types, the
 * offset of each value in the struct, and an example that error messages
 * suggest as a correction.  All errors are of kind ERR_DOCUMENT and read
 * "NAME:LINE: problem: correction".
 */
#ifndef WORLD_READER_H
#define WORLD_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "base/err.h"
#include "base/toml.h"

typedef struct table_schema table_schema_t;

typedef enum {
    FIELD_NAME,        /* const char *: letters, digits, '.', '_' and '-' */
    FIELD_MODEL_NAME,  /* const char *: additionally '/', ':' and '@' */
    FIELD_ADDRESS,     /* const char *: "ip:port" or "[ip]:port" */
    FIELD_UINT32,      /* uint32_t from min to max */
    FIELD_BOOLEAN,     /* bool */
    FIELD_ENUM,        /* enum whose values are the indices of enum_names */
    FIELD_MODEL_NAMES, /* array of FIELD_MODEL_NAME and its size_t count */
    FIELD_DIGESTS,     /* array of 64-digit hexadecimal strings, and count */
    FIELD_TABLE_ARRAY, /* array of structs described by schema, and count */
} field_type_t;

typedef struct {
    const char *key;
    field_type_t type;
    bool required;                 /* an array needs at least one element */
    const char *example;           /* TOML that error messages suggest */
    size_t offset;                 /* of the value in the struct */
    size_t count_offset;           /* arrays: of the size_t element count */
    uint32_t min;                  /* FIELD_UINT32 */
    uint32_t max;                  /* FIELD_UINT32 */
    uint32_t default_value;        /* FIELD_UINT32 and FIELD_BOOLEAN */
    const char *const *enum_names; /* FIELD_ENUM: terminated by NULL */
    const table_schema_t *schema;  /* FIELD_TABLE_ARRAY */
} field_t;

struct table_schema {
    const char *title; /* used in error messages, such as "[[runner]]" */
    const field_t *fields;
    size_t field_count;
    size_t struct_size;
    size_t line_offset; /* of the uint32_t that receives the line number */
};

/* Context of decoding a document. */
typedef struct {
    arena_t *arena;   /* owns the decoded structs */
    const char *name; /* of the document, for error messages */
    err_t *err;
} reader_t;

/*
 * Parses text and decodes it into a new struct that schema describes.  Members
 * without a value are zero.  Returns the struct, or NULL with the error set.
 */
void *reader_parse_document(const reader_t *reader,
                            const table_schema_t *schema, const char *text,
                            size_t length);

/* A value that must be unique, and its line in the document. */
typedef struct {
    const char *value;
    uint32_t line;
} reader_value_t;

/*
 * Sorts values by value, then by line.  Returns -1 with the error set if two
 * are equal.  The error message calls them by description ("runner name").
 */
int reader_check_unique(const reader_t *reader, const char *description,
                        reader_value_t *values, size_t count);

/* Sets the error "NAME:LINE: ..." and returns -1. */
int reader_fail(const reader_t *reader, uint32_t line, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
