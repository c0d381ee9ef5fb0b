/*
 * value_history.h - the patches between the last versions of one value.
 *
 * A host that has one of these versions gets the later ones by patches, whose
 * size follows what has changed.  Patches are kept while they are fewer bytes
 * than HISTORY_BYTES_MAX; a host that has an older version gets the whole
 * value, as a patch of nothing.
 */
#ifndef GATEWAY_VALUE_HISTORY_H
#define GATEWAY_VALUE_HISTORY_H

#include <stddef.h>
#include <stdint.h>

#include "base/patch.h"

enum {
    HISTORY_PATCHES_MAX = 64,
    HISTORY_BYTES_MAX = 256 << 10,
    /* A transfer of the whole value goes on while newer versions come. */
    HISTORY_WHOLE_MAX = 2,
};

/* A patch from version base to version revision; base 0: of nothing. */
typedef struct {
    int64_t base;
    int64_t revision;
    uint64_t digest;
    patch_t patch;
} value_patch_t;

typedef struct {
    value_patch_t patches[HISTORY_PATCHES_MAX]; /* oldest first */
    size_t count;
    value_patch_t whole[HISTORY_WHOLE_MAX]; /* the newest first */
    size_t whole_count;
} value_history_t;

value_history_t *value_history_new(void);
void value_history_free(value_history_t *history);

/* Adds a patch to the newest version.  Frees its bytes when it is dropped. */
void value_history_add(value_history_t *history, int64_t base,
                       int64_t revision, patch_t patch);

/* Returns the patch between these versions; NULL if it is not kept. */
const value_patch_t *value_history_find(const value_history_t *history,
                                        int64_t base, int64_t revision);

/*
 * Stores in list, which has room for HISTORY_PATCHES_MAX, the patches that
 * lead from one version to another, in order.  Returns their number; 0 if they
 * are not all kept.
 */
size_t value_history_path(const value_history_t *history, int64_t from,
                          int64_t to, const value_patch_t **list);

#endif
