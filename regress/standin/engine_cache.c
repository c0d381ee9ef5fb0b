/* engine_cache.c - a bounded, least recently used cache of prefix blocks. */
#include <stdlib.h>

#include "regress/standin/engine.h"

enum { BLOCK_TOKENS = 16, WAYS = 8 };

/* A block lives in one of the few places that its hash leads to. */
typedef struct {
    uint64_t hash;
    uint64_t used; /* grows with each use; 0: never */
} block_t;

static block_t *blocks;
static uint64_t sets;
static uint64_t uses;

static bool touch(uint64_t hash);

void
cache_init(uint32_t blocks_max)
{
    sets = blocks_max / WAYS + 1;
    blocks = calloc(sets * WAYS, sizeof(*blocks));
}

/* Returns whether the block was there; it is the newest afterwards. */
static bool
touch(uint64_t hash)
{
    block_t *set = &blocks[hash % sets * WAYS], *oldest = set;
    bool found;

    for (block_t *block = set; block < set + WAYS; block++) {
        if (block->used > 0 && block->hash == hash) {
            oldest = block;
            break;
        }
        if (block->used < oldest->used) {
            oldest = block;
        }
    }
    found = oldest->used > 0 && oldest->hash == hash;
    oldest->hash = hash;
    oldest->used = ++uses;
    return found;
}

uint32_t
cache_prompt(const uint32_t *ids, uint32_t count)
{
    generate_t prefix;
    uint32_t cached = 0;
    bool hit = true;

    generate_init(&prefix, "cache");
    for (uint32_t i = 0; i < count; i++) {
        generate_feed(&prefix, ids[i]);
        if ((i + 1) % BLOCK_TOKENS == 0) {
            hit = touch(prefix.hash) && hit;
            cached = hit ? i + 1 : cached;
        }
    }
    return cached;
}
