/*
 * toml.h - parses TOML text into a tree of values.
 *
 * toml.cc parses with toml++.  Each value has its line number, so that error
 * messages can begin with "file:line:".
 */
#ifndef BASE_TOML_H
#define BASE_TOML_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "base/err.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum {
    TOML_TABLE,
    TOML_ARRAY,
    TOML_STRING,
    TOML_INTEGER,
    TOML_FLOAT,
    TOML_BOOLEAN,
    TOML_OTHER, /* dates and times; no setting has this type */
} toml_type_t;

typedef struct toml_value toml_value_t;

struct toml_value {
    toml_type_t type;
    uint32_t line;
    const char *key;        /* NULL for elements of an array */
    const char *string;     /* TOML_STRING */
    int64_t integer;        /* TOML_INTEGER */
    double number;          /* TOML_FLOAT */
    bool boolean;           /* TOML_BOOLEAN */
    toml_value_t *children; /* TOML_TABLE and TOML_ARRAY, in file order */
    toml_value_t *next;     /* the next child of the same parent */
};

/*
 * Parses text; name is its file name in error messages.  Returns the root
 * table, allocated in arena, or NULL with *err set (ERR_SETTINGS,
 * "name:line: what is wrong").
 */
toml_value_t *toml_parse(arena_t *arena, const char *name, const char *text,
                         size_t length, err_t *err);

/* Returns the value of key in table, or NULL. */
toml_value_t *toml_get(const toml_value_t *table, const char *key);

#ifdef __cplusplus
}
#endif

#endif
