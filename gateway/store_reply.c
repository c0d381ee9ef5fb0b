/* store_reply.c - writes the replies to polls for changes of the store. */
#include <stdlib.h>
#include <string.h>

#include "gateway/store_feed_private.h"

enum {
    /* Of small values in one reply. */
    ITEM_BYTES_MAX = 16 << 10,
    ITEM_HEAD_BYTES = 32,
};

static void add_items(const mirror_t *mirror, store_parts_t *parts,
                      const kv_pair_t *pairs, size_t count, int64_t seen,
                      arena_t *arena);
static size_t add_pieces(mirror_t *mirror, store_parts_t *parts,
                         const held_poll_t *poll, const kv_pair_t *pairs,
                         size_t count);
static bool add_patches(store_parts_t *parts, const held_poll_t *poll,
                        const char *key, const value_patch_t *const *patches,
                        size_t count, size_t *bytes);
static size_t received_bytes(const held_poll_t *poll, const char *key,
                             const value_patch_t *patch);
static const value_patch_t *partial_patch(const mirror_t *mirror,
                                          const held_poll_t *poll,
                                          const char *key);
static int64_t held_revision(const held_poll_t *poll, const char *key);
static int compare_pairs(const void *left, const void *right);

/* The first poll of a host does not say what it has. */
size_t
store_reply_write(mirror_t *mirror, const held_poll_t *poll, arena_t *arena,
                  store_parts_t *parts)
{
    kv_pair_t *pairs;
    size_t count;

    parts->revision = mirror_revision(mirror);
    parts->seen = poll->seen;
    parts->known =
        mirror_changes_since(mirror, poll->after, arena, &pairs, &count);
    if (!parts->known || poll->kind != POLL_FETCH) {
        return 0;
    }
    qsort(pairs, count, sizeof(*pairs), compare_pairs);
    parts->pieces.pieces_val =
        arena_array(arena, LINK_PIECES_MAX, sizeof(*parts->pieces.pieces_val));
    parts->complete = true;
    add_items(mirror, parts, pairs, count, poll->seen, arena);
    return add_pieces(mirror, parts, poll, pairs, count);
}

/* In the order of their revisions, as many as fit. */
static void
add_items(const mirror_t *mirror, store_parts_t *parts, const kv_pair_t *pairs,
          size_t count, int64_t seen, arena_t *arena)
{
    size_t bytes = 0;
    size_t i;

    parts->items.items_val =
        arena_array(arena, count + 1, sizeof(*parts->items.items_val));
    for (i = 0; i < count; i++) {
        if (mirror_is_large(&pairs[i]) || pairs[i].mod_revision <= seen) {
            continue;
        }
        bytes += ITEM_HEAD_BYTES + strlen(pairs[i].key) + pairs[i].value_bytes;
        if ((parts->items.items_len > 0 && bytes > ITEM_BYTES_MAX) ||
            parts->items.items_len == LINK_ITEMS_MAX) {
            parts->complete = false;
            return;
        }
        parts->items.items_val[parts->items.items_len] =
            store_reply_item(&pairs[i]);
        parts->items.items_len++;
        parts->seen = pairs[i].mod_revision;
    }
    if (parts->seen < mirror_seen(mirror)) {
        parts->seen = mirror_seen(mirror);
    }
}

/*
 * Returns the bytes of the pieces.  A patch that has begun comes alone:
 * looking for those that follow it may drop it from the history.
 */
static size_t
add_pieces(mirror_t *mirror, store_parts_t *parts, const held_poll_t *poll,
           const kv_pair_t *pairs, size_t count)
{
    const value_patch_t *patches[HISTORY_PATCHES_MAX];
    size_t bytes = 0;
    size_t i;

    for (i = 0; i < count; i++) {
        const char *key = pairs[i].key;
        int64_t held = held_revision(poll, key);
        size_t found = 1;

        if (!mirror_is_large(&pairs[i]) || held >= pairs[i].mod_revision) {
            continue;
        }
        patches[0] = partial_patch(mirror, poll, key);
        if (patches[0] == NULL) {
            found = mirror_patches(mirror, key, held, patches);
        }
        if (!add_patches(parts, poll, key, patches, found, &bytes)) {
            parts->complete = false;
            break;
        }
        if (patches[found - 1]->revision != pairs[i].mod_revision) {
            parts->complete = false;
        }
    }
    return bytes;
}

/* Returns false if some bytes do not fit. */
static bool
add_patches(store_parts_t *parts, const held_poll_t *poll, const char *key,
            const value_patch_t *const *patches, size_t count, size_t *bytes)
{
    size_t i;

    for (i = 0; i < count; i++) {
        const value_patch_t *patch = patches[i];
        store_piece_t *piece =
            &parts->pieces.pieces_val[parts->pieces.pieces_len];
        size_t offset = received_bytes(poll, key, patch);
        size_t length;

        if (*bytes == LINK_PIECE_MAX ||
            parts->pieces.pieces_len == LINK_PIECES_MAX) {
            return false;
        }
        length = patch->patch.count - offset;
        if (length > LINK_PIECE_MAX - *bytes) {
            length = LINK_PIECE_MAX - *bytes;
        }
        *piece = (store_piece_t){
            .patch = {.key = (char *)(uintptr_t)key,
                      .base = patch->base,
                      .revision = patch->revision,
                      .bytes = (uint32_t)patch->patch.count,
                      .digest = patch->digest},
            .offset = (uint32_t)offset,
            .bytes = {.bytes_len = (u_int)length,
                      .bytes_val = (char *)patch->patch.bytes + offset}};
        parts->pieces.pieces_len++;
        *bytes += length;
        if (offset + length < patch->patch.count) {
            return false;
        }
    }
    return true;
}

/* Returns how much the host has of a patch. */
static size_t
received_bytes(const held_poll_t *poll, const char *key,
               const value_patch_t *patch)
{
    const store_partial_t *partial = poll->partial;

    return partial != NULL && partial->patch.base == patch->base &&
                   partial->patch.revision == patch->revision &&
                   partial->patch.digest == patch->digest &&
                   strcmp(partial->patch.key, key) == 0 &&
                   partial->offset <= patch->patch.count
               ? partial->offset
               : 0;
}

/* Returns the patch that the host has part of, unless it is not kept. */
static const value_patch_t *
partial_patch(const mirror_t *mirror, const held_poll_t *poll, const char *key)
{
    const store_patch_t *begun;
    const value_patch_t *patch;

    if (poll->partial == NULL || strcmp(poll->partial->patch.key, key) != 0) {
        return NULL;
    }
    begun = &poll->partial->patch;
    patch = mirror_find_patch(mirror, key, begun->base, begun->revision);
    return patch != NULL && patch->digest == begun->digest ? patch : NULL;
}

static int64_t
held_revision(const held_poll_t *poll, const char *key)
{
    size_t i;

    for (i = 0; i < poll->value_count; i++) {
        if (strcmp(poll->values[i].key, key) == 0) {
            return poll->values[i].revision;
        }
    }
    return 0;
}

store_item_t
store_reply_item(const kv_pair_t *pair)
{
    return (store_item_t){
        .key = (char *)(uintptr_t)pair->key,
        .revision = pair->mod_revision,
        .removed = pair->create_revision == 0,
        .value = {.value_len = (u_int)pair->value_bytes,
                  .value_val = (char *)(uintptr_t)pair->value}};
}

static int
compare_pairs(const void *left, const void *right)
{
    const kv_pair_t *a = left;
    const kv_pair_t *b = right;

    return a->mod_revision < b->mod_revision   ? -1
           : a->mod_revision > b->mod_revision ? 1
                                               : 0;
}
