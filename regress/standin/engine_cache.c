/* engine_cache.c - a bounded, least recently used cache of prefix blocks. */
#include <stdlib.h>

#include <uthash.h>

#include "regress/standin/engine.h"

enum { BLOCK_TOKENS = 16 };

typedef struct {
    uint64_t hash;
    UT_hash_handle hh;
} block_t;

static block_t *blocks; /* the least recently used first */
static uint32_t blocks_max;

static bool touch(uint64_t hash);

void
cache_init(uint32_t max)
{
    blocks_max = max;
}

/* Returns whether the block was there; it is the newest afterwards. */
static bool
touch(uint64_t hash)
{
    block_t *block;
    bool found;

    HASH_FIND(hh, blocks, &hash, sizeof(hash), block);
    found = block != NULL;
    if (found) {
        HASH_DELETE(hh, blocks, block);
    }
    else {
        block = calloc(1, sizeof(*block));
        block->hash = hash;
    }
    HASH_ADD(hh, blocks, hash, sizeof(hash), block);
    if (HASH_COUNT(blocks) > blocks_max) {
        block = blocks;
        HASH_DELETE(hh, blocks, block);
        free(block);
    }
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
