/*
 * suspect_group.h - groups of losses that are evaluated together.
 *
 * A group starts at a pending loss and contains all later pending losses
 * within the window that are local, or reported, like the first.
 */
#ifndef POLICY_SUSPECT_GROUP_H
#define POLICY_SUSPECT_GROUP_H

#include "policy/suspect_table.h"

typedef struct {
    loss_t *first;
    int64_t until_us;
    uint32_t runners; /* number of different runners */
    bool correlated;  /* too many to be independent */
} loss_group_t;

/*
 * Returns the group that starts at first.  It is correlated if it has
 * correlated_runners different runners, or two that are at least half of the
 * runners of a zone.  Two runners on which one fingerprint ran in succession
 * count as one.
 */
loss_group_t group_build(const suspect_table_t *table, loss_t *first,
                         int64_t window_us, uint32_t correlated_runners);

/* Returns whether the loss is in the group. */
bool group_contains(const loss_group_t *group, const loss_t *loss);

/* Returns whether the fingerprint was present at all its losses. */
bool group_present_on_all(const loss_group_t *group, uint64_t fingerprint);

#endif
