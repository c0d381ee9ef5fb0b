/*
 * reader.h - fills plain structs from a document's TOML by tables of fields.
 *
 * A shape_t describes one kind of table: its keys, their types, where each
 * value goes in the struct, and an example for the error's remedy.  All
 * errors are ERR_DOCUMENT, "NAME:LINE: what is wrong: what to write".
 */
#ifndef WORLD_READER_H
#define WORLD_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "base/err.h"
#include "base/toml.h"

typedef struct shape shape_t;

typedef enum {
    FIELD_NAME,    /* const char *: letters, digits, '.', '_' and '-' */
    FIELD_MODEL,   /* const char *: a name that may also hold '/', ':', '@' */
    FIELD_ADDRESS, /* const char *: "ip:port" or "[ip]:port" */
    FIELD_COUNT,   /* uint32_t from least to most */
    FIELD_FLAG,    /* bool */
    FIELD_CHOICE,  /* an enum whose values count the choices from 0 */
    FIELD_MODELS,  /* const char ** of FIELD_MODEL, and a size_t */
    FIELD_DIGESTS, /* const char ** of 64 hexadecimal digits, and a size_t */
    FIELD_TABLES,  /* an array of the shape's structs, and a size_t */
} field_type_t;

typedef struct {
    const char *key;
    field_type_t type;
    bool required;       /* present; for lists: with one element at least */
    const char *example; /* what could stand there, as TOML */
    size_t offset;       /* of the value in the struct */
    size_t count_offset; /* of the size_t beside an array */
    uint32_t least;
    uint32_t most;
    uint32_t fallback;          /* FIELD_COUNT and FIELD_FLAG when absent */
    const char *const *choices; /* FIELD_CHOICE: ended by NULL */
    const shape_t *shape;       /* FIELD_TABLES */
} field_t;

struct shape {
    const char *title; /* "[[runner]]", as messages name it */
    const field_t *fields;
    size_t field_count;
    size_t bytes;       /* of the struct */
    size_t line_offset; /* of a uint32_t that gets the table's line */
};

/* What is being read; errors go to err. */
typedef struct {
    arena_t *arena;
    const char *name;
    err_t *err;
} reader_t;

/*
 * Parses text and fills the struct that shape describes, zeroed, in the
 * reader's arena.  Returns it, or NULL with the error set.
 */
void *reader_parse(const reader_t *reader, const shape_t *shape,
                   const char *text, size_t length);

/* A value that has to be the only one of its kind, and its line. */
typedef struct {
    const char *value;
    uint32_t line;
} reader_value_t;

/*
 * Sorts values by value, then line.  Returns -1 with the error set when
 * two are equal; what ("runner name") says what they are.
 */
int reader_unique(const reader_t *reader, const char *what,
                  reader_value_t *values, size_t count);

/* Sets the error "NAME:line: ..." and returns -1. */
int reader_fail(const reader_t *reader, uint32_t line, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
