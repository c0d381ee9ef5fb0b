/* arena.c - region-based memory allocation. */
#include <stdalign.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/arena.h"

enum { ARENA_BLOCK_BYTES = 4096, ARRAY_CAPACITY_INITIAL = 16 /* elements */ };

struct arena_block {
    arena_block_t *next;
    size_t size_bytes;
    size_t used_bytes;
    alignas(max_align_t) unsigned char data[];
};

static void *check_memory(void *memory);
static arena_block_t *block_new(size_t bytes);

void *
arena_alloc(arena_t *arena, size_t bytes)
{
    const size_t align = alignof(max_align_t);
    size_t rounded = (bytes + align - 1) / align * align;
    arena_block_t *block = arena->blocks;
    void *memory;

    if (block == NULL || block->size_bytes - block->used_bytes < rounded) {
        size_t size = ARENA_BLOCK_BYTES;

        if (block != NULL && block->size_bytes * 2 > size) {
            size = block->size_bytes * 2;
        }
        block = block_new(rounded > size ? rounded : size);
        block->next = arena->blocks;
        arena->blocks = block;
    }
    memory = block->data + block->used_bytes;
    block->used_bytes += rounded;
    arena->used_bytes += rounded;
    memset(memory, 0, rounded);
    return memory;
}

void *
arena_array(arena_t *arena, size_t count, size_t bytes)
{
    size_t product;

    if (__builtin_mul_overflow(count, bytes, &product)) {
        (void)check_memory(NULL);
    }
    return arena_alloc(arena, product);
}

void *
arena_grow_array(arena_t *arena, void *items, size_t count, size_t *size,
                 size_t bytes)
{
    void *larger;

    if (count < *size) {
        return items;
    }
    *size = *size == 0 ? ARRAY_CAPACITY_INITIAL : 2 * *size;
    larger = arena_array(arena, *size, bytes);
    if (count > 0) {
        memcpy(larger, items, count * bytes);
    }
    return larger;
}

char *
arena_strdup(arena_t *arena, const char *string)
{
    return arena_strndup(arena, string, strlen(string));
}

char *
arena_strndup(arena_t *arena, const char *bytes, size_t length)
{
    return arena_memdup(arena, bytes, length);
}

void *
arena_memdup(arena_t *arena, const void *bytes, size_t length)
{
    char *copy = arena_alloc(arena, length + 1);

    if (length > 0) {
        memcpy(copy, bytes, length);
    }
    return copy;
}

char *
arena_printf(arena_t *arena, const char *format, ...)
{
    va_list args;
    va_list args_copy;
    char *text;
    int length;

    va_start(args, format);
    va_copy(args_copy, args);
    length = vsnprintf(NULL, 0, format, args);
    va_end(args);
    text = arena_alloc(arena, (size_t)(length < 0 ? 0 : length) + 1);
    if (length > 0) {
        (void)vsnprintf(text, (size_t)length + 1, format, args_copy);
    }
    va_end(args_copy);
    return text;
}

void
arena_reset(arena_t *arena)
{
    arena_block_t *block = arena->blocks;

    if (block == NULL) {
        return;
    }
    while (block->next != NULL) {
        arena_block_t *older = block->next;

        block->next = older->next;
        free(older);
    }
    block->used_bytes = 0;
    arena->used_bytes = 0;
}

void
arena_free(arena_t *arena)
{
    while (arena->blocks != NULL) {
        arena_block_t *block = arena->blocks;

        arena->blocks = block->next;
        free(block);
    }
    arena->used_bytes = 0;
}

void *
xcalloc(size_t count, size_t bytes)
{
    return check_memory(calloc(count, bytes));
}

void *
xrealloc(void *memory, size_t count, size_t bytes)
{
    return check_memory(reallocarray(memory, count, bytes));
}

char *
xstrdup(const char *string)
{
    return check_memory(strdup(string));
}

static void *
check_memory(void *memory)
{
    if (memory == NULL) {
        (void)fputs("out of memory: raise the memory limit of the process\n",
                    stderr);
        abort();
    }
    return memory;
}

static arena_block_t *
block_new(size_t bytes)
{
    arena_block_t *block = check_memory(malloc(sizeof(arena_block_t) + bytes));

    block->next = NULL;
    block->size_bytes = bytes;
    block->used_bytes = 0;
    return block;
}
