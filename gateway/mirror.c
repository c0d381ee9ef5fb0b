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
enum { REMOVED_KEYS_MAX = 2048 };

typedef struct {
    char *key;
    char *value;
    size_t value_bytes;
    int64_t revision; /* of the last change of the key */
    bool removed;
    bool loaded; /* by the full read in progress */
    UT_hash_handle hh;
} entry_t;

struct mirror {
    entry_t *entries;
    size_t removed_count;
    int64_t compacted_revision; /* changes up to it are not known */
    int64_t revision;
    int64_t load_revision; /* of the full read in progress */
};

static void set_removed(mirror_t *mirror, entry_t *entry, int64_t revision);
static void entry_free(mirror_t *mirror, entry_t *entry);
static void compact_removed_keys(mirror_t *mirror);

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

/* Does not compact, and so frees no other entry. */
static void
set_removed(mirror_t *mirror, entry_t *entry, int64_t revision)
{
    free(entry->value);
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
