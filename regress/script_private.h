/*
 * script_private.h - what the parts of the script runner offer each other.
 */
#ifndef REGRESS_SCRIPT_PRIVATE_H
#define REGRESS_SCRIPT_PRIVATE_H

#include <stddef.h>
#include <stdint.h>

#include "regress/script.h"

enum { SCRIPT_FIELDS_MAX = 24, SCRIPT_HOSTS_MAX = 4, SCRIPT_US_PER_MS = 1000 };

typedef struct {
    const char *name;
    const char *value;
} field_t;

/* "> MS KIND name=value ...", taken apart. */
typedef struct {
    const char *kind;
    int64_t at_ms;
    field_t fields[SCRIPT_FIELDS_MAX];
    size_t count;
} line_t;

/* script_event.c: a line as an event. */
void script_split(arena_t *arena, const char *text, line_t *line);
const char *script_text(const line_t *line, const char *name,
                        const char *other);
/* -1 when there is no such event. */
int script_event(arena_t *arena, const line_t *line, event_t *event);

#endif
