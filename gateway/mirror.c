/* mirror.c - keeps a local copy of the store's keys and their revisions. */
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "base/revision.h"
#include "gateway/mirror.h"

/*
 * Removed keys that are kept.  A host that needs older changes has to read the
 * store in full.
 */
enum {
    REMOVED_KEYS_MAX = 2048,
    VALUE_BYTES_MAX = 8 << 20,
    /* The patches of a value are worth sending up to this part of its size;
     * compressed, it is a few times smaller than it is. */
    PATH_PART = 8,
};

typedef struct {
    char *key;
    char *value;
    size_t value_bytes;
    int64_t revision; /* of the last change of the key */
    bool removed;
    bool loaded;              /* by the full read in progress */
    value_history_t *history; /* NULL: there is none */
    UT_hash_handle hh;
} entry_t;

struct mirror {
    entry_t *entries;
    size_t removed_count;
    int64_t compacted_revision; /* changes up to it are not known */
    int64_t revision;
    int64_t load_revision; /* of the full read in progress */
    int64_t seen;          /* small values are known up to it, if later */
    bool keeps_history;
};

static void set_removed(mirror_t *mirror, entry_t *entry, int64_t revision);
static void entry_free(mirror_t *mirror, entry_t *entry);
static void compact_removed_keys(mirror_t *mirror);
static void record_patch(mirror_t *mirror, entry_t *entry,
                         const kv_pair_t *pair);
static value_history_t *entry_history(entry_t *entry);
static bool is_large(const entry_t *entry);

mirror_t *
mirror_new(void)
{
    return xcalloc(1, sizeof(mirror_t));
}

void
mirror_free(mirror_t *mirror)
{
    entry_t *entry;
    entry_t *next;

    if (mirror == NULL) {
        return;
    }
    HASH_ITER(hh, mirror->entries, entry, next)
    {
        entry_free(mirror, entry);
    }
    free(mirror);
}

void
mirror_load_begin(mirror_t *mirror, int64_t revision)
{
    entry_t *entry;

    if (mirror->revision == 0 ||
        !revision_same_era(mirror->revision, revision)) {
        mirror->compacted_revision = revision;
    }
    mirror->load_revision = revision;
    for (entry = mirror->entries; entry != NULL; entry = entry->hh.next) {
        entry->loaded = false;
    }
}

/* The revision of a removal is not known.  No host that lacks it has that of
 * the read. */
void
mirror_load_end(mirror_t *mirror)
{
    entry_t *entry;

    for (entry = mirror->entries; entry != NULL; entry = entry->hh.next) {
        if (!entry->loaded && !entry->removed) {
            set_removed(mirror, entry, mirror->load_revision);
        }
    }
    compact_removed_keys(mirror);
    mirror->revision = mirror->load_revision;
}

void
mirror_apply(mirror_t *mirror, const kv_pair_t *pair)
{
    entry_t *entry;

    HASH_FIND_STR(mirror->entries, pair->key, entry);
    if (entry == NULL) {
        entry = xcalloc(1, sizeof(*entry));
        entry->key = xstrdup(pair->key);
        HASH_ADD_KEYPTR(hh, mirror->entries, entry->key, strlen(entry->key),
                        entry);
    }
    else if (entry->removed) {
        mirror->removed_count--;
    }
    entry->loaded = true;
    if (pair->create_revision == 0) {
        set_removed(mirror, entry, pair->mod_revision);
        compact_removed_keys(mirror);
        return;
    }
    record_patch(mirror, entry, pair);
    free(entry->value);
    entry->revision = pair->mod_revision;
    entry->removed = false;
    entry->value = xcalloc(1, pair->value_bytes + 1);
    memcpy(entry->value, pair->value, pair->value_bytes);
    entry->value_bytes = pair->value_bytes;
}

void
mirror_advance(mirror_t *mirror, int64_t revision)
{
    if (revision > mirror->revision) {
        mirror->revision = revision;
    }
}

int64_t
mirror_revision(const mirror_t *mirror)
{
    return mirror->revision;
}

void
mirror_advance_seen(mirror_t *mirror, int64_t revision)
{
    if (revision > mirror->seen) {
        mirror->seen = revision;
    }
}

int64_t
mirror_seen(const mirror_t *mirror)
{
    return revision_is_older(mirror->revision, mirror->seen)
               ? mirror->seen
               : mirror->revision;
}

int64_t
mirror_key_revision(const mirror_t *mirror, const char *key)
{
    const entry_t *entry;

    HASH_FIND_STR(mirror->entries, key, entry);
    return entry != NULL ? entry->revision : 0;
}

bool
mirror_is_removed(const mirror_t *mirror, const char *key)
{
    const entry_t *entry;

    HASH_FIND_STR(mirror->entries, key, entry);
    return entry != NULL && entry->removed;
}

bool
mirror_changes_since(const mirror_t *mirror, int64_t after, arena_t *arena,
                     kv_pair_t **pairs, size_t *count)
{
    const entry_t *entry;

    *count = 0;
    *pairs =
        arena_array(arena, HASH_COUNT(mirror->entries) + 1, sizeof(**pairs));
    if (!revision_same_era(after, mirror->revision) ||
        after < mirror->compacted_revision) {
        return false;
    }
    for (entry = mirror->entries; entry != NULL; entry = entry->hh.next) {
        if (entry->revision <= after) {
            continue;
        }
        (*pairs)[*count] = (kv_pair_t){
            .key = entry->key,
            .value = entry->value,
            .value_bytes = entry->value_bytes,
            .mod_revision = entry->revision,
            .create_revision = entry->removed ? 0 : entry->revision,
        };
        (*count)++;
    }
    return true;
}

bool
mirror_is_stale(const mirror_t *mirror, const kv_pair_t *pair)
{
    int64_t known = mirror_key_revision(mirror, pair->key);

    return known == pair->mod_revision ||
           revision_is_older(pair->mod_revision, known);
}

bool
mirror_is_large(const kv_pair_t *pair)
{
    return pair->create_revision != 0 &&
           pair->value_bytes >= MIRROR_LARGE_BYTES;
}

bool
mirror_is_superseded(const kv_pair_t *pairs, size_t count, size_t index)
{
    size_t i;

    if (!mirror_is_large(&pairs[index])) {
        return false;
    }
    for (i = index + 1; i < count; i++) {
        if (strcmp(pairs[i].key, pairs[index].key) == 0) {
            return true;
        }
    }
    return false;
}

bool
mirror_has_large_changes(const mirror_t *mirror, const kv_pair_t *pairs,
                         size_t count)
{
    size_t i;

    for (i = 0; i < count; i++) {
        if (mirror_is_large(&pairs[i]) &&
            pairs[i].mod_revision !=
                mirror_key_revision(mirror, pairs[i].key)) {
            return true;
        }
    }
    return false;
}

void
mirror_keep_history(mirror_t *mirror, bool keep)
{
    mirror->keeps_history = keep;
}

kv_pair_t *
mirror_large_values(const mirror_t *mirror, arena_t *arena, size_t *count)
{
    kv_pair_t *pairs =
        arena_array(arena, HASH_COUNT(mirror->entries) + 1, sizeof(*pairs));
    const entry_t *entry;

    *count = 0;
    for (entry = mirror->entries; entry != NULL; entry = entry->hh.next) {
        if (is_large(entry)) {
            pairs[*count] = (kv_pair_t){.key = entry->key,
                                        .mod_revision = entry->revision};
            (*count)++;
        }
    }
    return pairs;
}

size_t
mirror_patches(mirror_t *mirror, const char *key, int64_t held,
               const value_patch_t **list)
{
    value_history_t *history;
    size_t bytes = 0;
    size_t count;
    size_t i;
    entry_t *entry;

    HASH_FIND_STR(mirror->entries, key, entry);
    if (entry == NULL || !is_large(entry) || entry->revision == held) {
        return 0;
    }
    history = entry_history(entry);
    count = value_history_path(history, held, entry->revision, list);
    for (i = 0; i < count; i++) {
        bytes += list[i]->patch.count;
    }
    if (count > 0 && bytes <= entry->value_bytes / PATH_PART) {
        return count;
    }
    list[0] = value_history_find(history, 0, entry->revision);
    if (list[0] == NULL) {
        value_history_add(
            history, 0, entry->revision,
            patch_make(NULL, 0, entry->value, entry->value_bytes));
        list[0] = value_history_find(history, 0, entry->revision);
    }
    return 1;
}

const value_patch_t *
mirror_find_patch(const mirror_t *mirror, const char *key, int64_t base,
                  int64_t revision)
{
    const entry_t *entry;

    HASH_FIND_STR(mirror->entries, key, entry);
    return entry != NULL && entry->history != NULL
               ? value_history_find(entry->history, base, revision)
               : NULL;
}

int
mirror_patch_value(mirror_t *mirror, const char *key, int64_t base,
                   int64_t revision, patch_t patch, char **value,
                   size_t *value_bytes, err_t *err)
{
    entry_t *entry;
    int result;

    HASH_FIND_STR(mirror->entries, key, entry);
    if (base != 0 &&
        (entry == NULL || entry->removed || entry->revision != base)) {
        free(patch.bytes);
        return err_set(err, ERR_PROTOCOL,
                       "a patch of %s is of another version than the present "
                       "one: read the whole value",
                       key);
    }
    result = patch_apply(
        base != 0 ? entry->value : NULL, base != 0 ? entry->value_bytes : 0,
        patch.bytes, patch.count, VALUE_BYTES_MAX, value, value_bytes, err);
    if (result == 0 && entry != NULL && !entry->removed) {
        value_history_add(entry_history(entry), base, revision, patch);
    }
    else {
        free(patch.bytes);
    }
    return result;
}

/* Keeps the patch from the present value of the entry to that of the pair,
 * unless another host has sent it, or the whole value. */
static void
record_patch(mirror_t *mirror, entry_t *entry, const kv_pair_t *pair)
{
    value_history_t *history;

    if (!mirror->keeps_history || !is_large(entry) || !mirror_is_large(pair) ||
        pair->mod_revision == entry->revision) {
        return;
    }
    history = entry_history(entry);
    if (value_history_find(history, entry->revision, pair->mod_revision) ==
            NULL &&
        value_history_find(history, 0, pair->mod_revision) == NULL) {
        value_history_add(history, entry->revision, pair->mod_revision,
                          patch_make(entry->value, entry->value_bytes,
                                     pair->value, pair->value_bytes));
    }
}

static value_history_t *
entry_history(entry_t *entry)
{
    if (entry->history == NULL) {
        entry->history = value_history_new();
    }
    return entry->history;
}

static bool
is_large(const entry_t *entry)
{
    return !entry->removed && entry->value_bytes >= MIRROR_LARGE_BYTES;
}

/* Does not compact, and so frees no other entry. */
static void
set_removed(mirror_t *mirror, entry_t *entry, int64_t revision)
{
    free(entry->value);
    value_history_free(entry->history);
    entry->history = NULL;
    entry->value = NULL;
    entry->value_bytes = 0;
    entry->revision = revision;
    entry->removed = true;
    mirror->removed_count++;
}

static void
entry_free(mirror_t *mirror, entry_t *entry)
{
    HASH_DEL(mirror->entries, entry); /* NOLINT(clang-analyzer-*) */
    value_history_free(entry->history);
    free(entry->key);
    free(entry->value);
    free(entry);
}

/*
 * Frees all removed keys at once when there are too many.  Changes before the
 * latest of these removals are then no longer known.
 */
static void
compact_removed_keys(mirror_t *mirror)
{
    entry_t *entry;
    entry_t *next;

    if (mirror->removed_count <= REMOVED_KEYS_MAX) {
        return;
    }
    HASH_ITER(hh, mirror->entries, entry, next)
    {
        if (entry->removed) {
            if (entry->revision > mirror->compacted_revision) {
                mirror->compacted_revision = entry->revision;
            }
            entry_free(mirror, entry);
        }
    }
    mirror->removed_count = 0;
}
