/*
 * mirror.h - what the store holds, as far as this host knows.
 *
 * Kept to tell other hosts what has changed since a revision.
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

/* The store is about to be read whole; changes before are not known. */
void mirror_reset(mirror_t *mirror, int64_t revision);

/* A pair as it was read or changed; create_revision 0: it is removed. */
void mirror_take(mirror_t *mirror, const kv_pair_t *pair);

/* All up to this revision is known. */
void mirror_reached(mirror_t *mirror, int64_t revision);
int64_t mirror_revision(const mirror_t *mirror);

/*
 * What changed after a revision, in arena; false when that is not known any
 * more and the store has to be read.
 */
bool mirror_changes(const mirror_t *mirror, int64_t after, arena_t *arena,
                    kv_pair_t **pairs, size_t *count);

#endif
