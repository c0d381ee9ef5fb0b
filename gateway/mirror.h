/*
 * mirror.h - a local copy of the store's keys and their revisions.
 *
 * The copy lets a host reply to other hosts with the keys that have changed
 * since a given revision, without a call to the store.
 */
#ifndef GATEWAY_MIRROR_H
#define GATEWAY_MIRROR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "gateway/value_history.h"
#include "kv/kv.h"

/* Values of this size and more are large: hosts exchange them by patches. */
enum { MIRROR_LARGE_BYTES = 4096 };

typedef struct mirror mirror_t;

mirror_t *mirror_new(void);
void mirror_free(mirror_t *mirror);

/*
 * Bracket a full read of the store at revision, of which mirror_apply() is
 * called for each key; the others have been removed.  The first one does not
 * tell what has been removed before it; later ones leave no gap.
 */
void mirror_load_begin(mirror_t *mirror, int64_t revision);
void mirror_load_end(mirror_t *mirror);

/* Records a key's value, or its removal if create_revision is 0. */
void mirror_apply(mirror_t *mirror, const kv_pair_t *pair);

/* Records that all changes up to revision have been applied. */
void mirror_advance(mirror_t *mirror, int64_t revision);
int64_t mirror_revision(const mirror_t *mirror);

/* The same for changes of values that are not large. */
void mirror_advance_seen(mirror_t *mirror, int64_t revision);
/* Returns mirror_revision(), or a later one of the same era. */
int64_t mirror_seen(const mirror_t *mirror);

/* Returns the revision of the last change of a key that is known, or 0. */
int64_t mirror_key_revision(const mirror_t *mirror, const char *key);

/* Returns whether the last change of the key that is known removed it. */
bool mirror_is_removed(const mirror_t *mirror, const char *key);

/*
 * Returns in arena the keys that have changed after a revision.  Returns
 * false if these changes are no longer known, so that the store must be read
 * in full.
 */
bool mirror_changes_since(const mirror_t *mirror, int64_t after,
                          arena_t *arena, kv_pair_t **pairs, size_t *count);

/* Returns whether a change is no later than what is known of its key. */
bool mirror_is_stale(const mirror_t *mirror, const kv_pair_t *pair);
/* Returns whether a change leaves a large value. */
bool mirror_is_large(const kv_pair_t *pair);
/* Returns whether a pair of a list of changes has a large value that a later
 * one of the list replaces. */
bool mirror_is_superseded(const kv_pair_t *pairs, size_t count, size_t index);
/* Returns whether a list has large values that are not known. */
bool mirror_has_large_changes(const mirror_t *mirror, const kv_pair_t *pairs,
                              size_t count);

/* Whether patches of large values are made when these change.  Initially they
 * are not. */
void mirror_keep_history(mirror_t *mirror, bool keep);

/* Returns the large values in arena, without their bytes. */
kv_pair_t *mirror_large_values(const mirror_t *mirror, arena_t *arena,
                               size_t *count);

/*
 * Stores in list, which has room for HISTORY_PATCHES_MAX, the patches that
 * make the present value of a key of its version held; 0: of nothing.  There
 * is always at least one if the key has a large value of another version.
 */
size_t mirror_patches(mirror_t *mirror, const char *key, int64_t held,
                      const value_patch_t **list);
/* Returns the patch between two versions of a key; NULL if it is not kept. */
const value_patch_t *mirror_find_patch(const mirror_t *mirror, const char *key,
                                       int64_t base, int64_t revision);

/*
 * Makes the value of a key by a patch of its present version, which has to be
 * base, and keeps the patch for other hosts; its bytes are taken over.  The
 * caller applies the value at that revision, and frees it.  Returns -1 with
 * *err set if the patch does not fit.
 */
int mirror_patch_value(mirror_t *mirror, const char *key, int64_t base,
                       int64_t revision, patch_t patch, char **value,
                       size_t *value_bytes, err_t *err);

#endif
