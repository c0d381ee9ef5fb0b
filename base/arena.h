/*
 * arena.h - memory that is freed all at once.
 *
 * An arena belongs to one request, one step or one parsed file.  What is
 * taken from it stays valid until arena_reset() or arena_free().  Running
 * out of memory ends the process with a message: hosts are replaced, and a
 * router that cannot allocate cannot keep its promises.
 */
#ifndef BASE_ARENA_H
#define BASE_ARENA_H

#include <stddef.h>
#include <stdint.h>

typedef struct arena_block arena_block_t;

/* A zeroed arena_t is an empty, usable arena. */
typedef struct {
    arena_block_t *blocks; /* newest first */
    size_t used_bytes;     /* handed out since the last reset */
} arena_t;

/* Zeroed memory, aligned for any type. */
void *arena_alloc(arena_t *arena, size_t bytes);

/* A zeroed array of count elements; the product is checked. */
void *arena_array(arena_t *arena, size_t count, size_t bytes);

/*
 * An array of *size elements, count of them in use, with room for one more:
 * items itself, or a larger copy.  *size is 0 before the first one.
 */
void *arena_grow(arena_t *arena, void *items, size_t count, size_t *size,
                 size_t bytes);

/* Copies; arena_strndup() and arena_memdup() end the copy with a NUL. */
char *arena_strdup(arena_t *arena, const char *string);
char *arena_strndup(arena_t *arena, const char *bytes, size_t length);
void *arena_memdup(arena_t *arena, const void *bytes, size_t length);
char *arena_printf(arena_t *arena, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Empties the arena but keeps its largest block for the next use. */
void arena_reset(arena_t *arena);

/* Gives all memory back; the arena is empty and usable again. */
void arena_free(arena_t *arena);

/* malloc, realloc and strdup that end the process when memory runs out. */
void *xcalloc(size_t count, size_t bytes);
void *xrealloc(void *memory, size_t count, size_t bytes);
char *xstrdup(const char *string);

#endif
