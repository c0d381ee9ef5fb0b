/*
 * toml.h - a TOML text as a tree of plain values.
 *
 * The reading itself is toml++'s, behind toml.cc.  Every value knows the
 * line it stands on, so that messages can say "file:line: what: remedy".
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
    TOML_OTHER, /* dates and times, which no setting uses */
} toml_type_t;

typedef struct toml_value toml_value_t;

struct toml_value {
    toml_type_t type;
    uint32_t line;
    const char *key;        /* in a table; NULL in an array */
    const char *string;     /* TOML_STRING */
    int64_t integer;        /* TOML_INTEGER */
    double number;          /* TOML_FLOAT */
    bool boolean;           /* TOML_BOOLEAN */
    toml_value_t *children; /* TOML_TABLE and TOML_ARRAY, in file order */
    toml_value_t *next;     /* the next child of the same parent */
};

/*
 * Parses text, whose origin is called name in messages.  Returns the root
 * table, allocated in arena, or NULL with *err set (ERR_SETTINGS,
 * "name:line: what is wrong").
 */
toml_value_t *toml_parse(arena_t *arena, const char *name, const char *text,
                         size_t length, err_t *err);

/* The child of table called key, or NULL. */
toml_value_t *toml_get(const toml_value_t *table, const char *key);

#ifdef __cplusplus
}
#endif

#endif
