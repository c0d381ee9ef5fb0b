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
#include "kv/kv.h"

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

/* Returns whether the last change of the key that is known removed it. */
bool mirror_is_removed(const mirror_t *mirror, const char *key);

/*
 * Returns in arena the keys that have changed after a revision.  Returns
 * false if these changes are no longer known, so that the store must be read
 * in full.
 */
bool mirror_changes_since(const mirror_t *mirror, int64_t after,
                          arena_t *arena, kv_pair_t **pairs, size_t *count);

#endif
