/*
 * suspect_group.h - the losses of one window, judged together.
 *
 * A group starts at a pending loss and holds every later pending one of
 * the same kind of witness within the window.
 */
#ifndef POLICY_SUSPECT_GROUP_H
#define POLICY_SUSPECT_GROUP_H

#include "policy/suspect_book.h"

typedef struct {
    loss_t *first;
    int64_t until_us;
    uint32_t runners; /* different ones */
    bool common;      /* too many to be single losses */
} group_t;

/*
 * Common are common_runners different ones, or two and half of the runners
 * of any zone.  Two that one content went through, one after the other,
 * count as one.
 */
group_t group_find(const suspect_book_t *book, loss_t *first,
                   int64_t window_us, uint32_t common_runners);

/* Whether this loss, from the first one on, is in the group. */
bool group_has(const group_t *group, const loss_t *loss);

/* Whether the fingerprint was on every runner of the group. */
bool group_all_had(const group_t *group, uint64_t fingerprint);

#endif
