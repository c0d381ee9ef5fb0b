/*
 * fields.h - reads a TOML table into a struct, as a table of fields describes.
 *
 * Each permitted key has a field_t; any other key is an error.  Errors are of
 * kind ERR_SETTINGS and have one line: "file:line: what is wrong: what to
 * write instead".
 */
#ifndef BASE_FIELDS_H
#define BASE_FIELDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "base/err.h"
#include "base/toml.h"

typedef enum {
    FIELD_STRING,          /* const char *; min and max bound its length */
    FIELD_CHOICE,          /* const char *, one of choices */
    FIELD_ADDRESS,         /* const char *, "ip:port" */
    FIELD_ADDRESSES,       /* field_list_t of "ip:port" */
    FIELD_NAMED_ADDRESSES, /* field_list_t of "name=ip:port" */
    FIELD_STRINGS,         /* field_list_t */
    FIELD_DIGESTS, /* field_list_t of SHA-256 in lower-case hexadecimal */
    FIELD_U32,     /* uint32_t from min to max */
    FIELD_MILLI,   /* uint32_t: thousandths of a number, 0.8 is 800; min
                      and max are in thousandths */
    FIELD_BOOL,    /* bool */
    FIELD_TABLE,   /* nested table with fields of the same struct */
} field_type_t;

typedef struct {
    const char **items;
    size_t count;
} field_list_t;

typedef struct field field_t;
struct field {
    const char *key;
    size_t offset;
    int64_t min;
    int64_t max;
    const char *remedy;         /* an example: address = "127.0.0.1:80" */
    const char *const *choices; /* FIELD_CHOICE; ends with NULL */
    const field_t *fields;      /* FIELD_TABLE */
    size_t field_count;
    field_type_t type;
    bool required;
};

/*
 * Reads table into out, which already holds the defaults.  Strings are
 * allocated in arena.  Returns 0, or -1 with *err set.
 */
int fields_read(arena_t *arena, const char *file, const toml_value_t *table,
                const field_t *fields, size_t count, void *out, err_t *err);

#endif
