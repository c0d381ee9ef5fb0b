/*
 * arena.h - region-based memory allocation.
 *
 * An arena belongs to one request, one step or one parsed file.  Memory from
 * an arena stays valid until arena_reset() or arena_free(), which release all
 * of it at once.  If memory runs out, the process prints a message and aborts:
 * other hosts take over, and a host that cannot allocate cannot serve requests
 * correctly.
 */
#ifndef BASE_ARENA_H
#define BASE_ARENA_H

#include <stddef.h>
#include <stdint.h>

typedef struct arena_block arena_block_t;

/* A zeroed arena_t is an empty, usable arena. */
typedef struct {
    arena_block_t *blocks; /* newest first */
    size_t used_bytes;     /* allocated since the last reset */
} arena_t;

/* Returns zeroed memory, aligned for any type. */
void *arena_alloc(arena_t *arena, size_t bytes);

/* Returns a zeroed array of count elements; aborts if the size overflows. */
void *arena_array(arena_t *arena, size_t count, size_t bytes);

/*
 * Makes room for another element in an array with room for *size elements, of
 * which count are in use.  Returns items, or a larger copy with *size updated.
 * For a new array, *size is 0.
 */
void *arena_grow_array(arena_t *arena, void *items, size_t count, size_t *size,
                       size_t bytes);

/*
 * Return a copy in the arena.  arena_strndup() and arena_memdup() append a NUL
 * byte.
 */
char *arena_strdup(arena_t *arena, const char *string);
char *arena_strndup(arena_t *arena, const char *bytes, size_t length);
void *arena_memdup(arena_t *arena, const void *bytes, size_t length);
char *arena_printf(arena_t *arena, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Empties the arena, but keeps its largest block for reuse. */
void arena_reset(arena_t *arena);

/* Frees all memory.  The arena is empty and can be used again. */
void arena_free(arena_t *arena);

/* calloc, reallocarray and strdup that abort if memory runs out. */
void *xcalloc(size_t count, size_t bytes);
void *xrealloc(void *memory, size_t count, size_t bytes);
char *xstrdup(const char *string);

#endif
