/*
 * store_intake.h - puts together what another host sends of the store's
 * changes, and says in polls what this host already has.
 *
 * Performs no I/O.
 */
#ifndef GATEWAY_STORE_INTAKE_H
#define GATEWAY_STORE_INTAKE_H

#include "gateway/mirror.h"
#include "world/generated/link.h"

typedef struct store_intake store_intake_t;

/* Of the large values that patches have made. */
typedef struct {
    uint64_t values;
    uint64_t patch_bytes;
    uint64_t value_bytes;
} intake_counters_t;

/* Applies a change to the mirror and whatever depends on it. */
typedef void (*intake_apply_t)(void *context, const kv_pair_t *pair);

store_intake_t *store_intake_new(mirror_t *mirror, intake_apply_t apply,
                                 void *context);
void store_intake_free(store_intake_t *intake);

/* Fills in a poll; its number is left alone.  It is valid until the arena is
 * freed or the next reply is handled. */
void store_intake_write_fetch(const store_intake_t *intake, arena_t *arena,
                              store_fetch_t *fetch);

/* Applies those changes that are later than what this host knows of their
 * keys. */
void store_intake_apply_items(store_intake_t *intake,
                              const store_item_t *items, size_t count);

/*
 * Handles a reply of this era with known set: applies the changes that this
 * host does not have.  Returns -1 with *err set if one does not fit what it
 * has: it then has to read the store.
 */
int store_intake_handle(store_intake_t *intake, const store_parts_t *parts,
                        err_t *err);

/*
 * Returns whether a reply is final, and its contact is to be judged.  With a
 * contact that is too old, one with changes is not: the next reply confirms
 * them.  One without changes is, complete or not.
 */
bool store_intake_is_final(const store_parts_t *parts,
                           uint32_t contact_age_max_ms);

/* Returns the bytes received of a patch that is not complete, and its size in
 * *patch_bytes; 0: there is none. */
size_t store_intake_pending(const store_intake_t *intake, size_t *patch_bytes);

const intake_counters_t *store_intake_counters(const store_intake_t *intake);

#endif
