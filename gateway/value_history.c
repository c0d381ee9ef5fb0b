/* value_history.c - see value_history.h. */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/arena.h"
#include "gateway/value_history.h"

static void add_whole(value_history_t *history, const value_patch_t *patch);
static size_t kept_bytes(const value_history_t *history);
static void drop_oldest(value_history_t *history);

value_history_t *
value_history_new(void)
{
    return xcalloc(1, sizeof(value_history_t));
}

void
value_history_free(value_history_t *history)
{
    size_t i;

    if (history == NULL) {
        return;
    }
    while (history->count > 0) {
        drop_oldest(history);
    }
    for (i = 0; i < history->whole_count; i++) {
        free(history->whole[i].patch.bytes);
    }
    free(history);
}

void
value_history_add(value_history_t *history, int64_t base, int64_t revision,
                  patch_t patch)
{
    value_patch_t added = {
        .base = base,
        .revision = revision,
        .digest = XXH3_64bits(patch.bytes, patch.count),
        .patch = patch,
    };

    if (base == 0) {
        add_whole(history, &added);
        return;
    }
    while (history->count == HISTORY_PATCHES_MAX ||
           (history->count > 0 &&
            kept_bytes(history) + patch.count > HISTORY_BYTES_MAX)) {
        drop_oldest(history);
    }
    history->patches[history->count] = added;
    history->count++;
}

const value_patch_t *
value_history_find(const value_history_t *history, int64_t base,
                   int64_t revision)
{
    const value_patch_t *list = base == 0 ? history->whole : history->patches;
    size_t count = base == 0 ? history->whole_count : history->count;
    size_t i;

    for (i = 0; i < count; i++) {
        if (list[i].base == base && list[i].revision == revision) {
            return &list[i];
        }
    }
    return NULL;
}

/* Revisions of a patch rise, so that the path is in the order of the list. */
size_t
value_history_path(const value_history_t *history, int64_t from, int64_t to,
                   const value_patch_t **list)
{
    size_t count = 0;
    size_t i;

    for (i = 0; i < history->count && from != to; i++) {
        const value_patch_t *patch = &history->patches[i];

        if (patch->base == from) {
            list[count] = patch;
            count++;
            from = patch->revision;
        }
    }
    return from == to ? count : 0;
}

static void
add_whole(value_history_t *history, const value_patch_t *patch)
{
    if (history->whole_count == HISTORY_WHOLE_MAX) {
        history->whole_count--;
        free(history->whole[history->whole_count].patch.bytes);
    }
    memmove(&history->whole[1], &history->whole[0],
            history->whole_count * sizeof(history->whole[0]));
    history->whole[0] = *patch;
    history->whole_count++;
}

static size_t
kept_bytes(const value_history_t *history)
{
    size_t bytes = 0;
    size_t i;

    for (i = 0; i < history->count; i++) {
        bytes += history->patches[i].patch.count;
    }
    return bytes;
}

static void
drop_oldest(value_history_t *history)
{
    free(history->patches[0].patch.bytes);
    history->count--;
    memmove(&history->patches[0], &history->patches[1],
            history->count * sizeof(history->patches[0]));
}
