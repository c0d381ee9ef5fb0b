/* suspect_group.c - see suspect_group.h. */
#include "policy/suspect_group.h"

enum { HALF = 2 /* a share of a zone's runners, as a divisor */ };

bool
group_has(const group_t *group, const loss_t *loss)
{
    return loss->pending && loss->serial >= group->first->serial &&
           loss->own == group->first->own && loss->at_us <= group->until_us;
}

/* Whether a loss before this one in the group is of the same runner. */
static bool
is_repeated(const group_t *group, const loss_t *loss)
{
    const loss_t *other;

    for (other = group->first; other != loss;
         other = TAILQ_NEXT(other, link)) {
        if (group_has(group, other) && other->runner == loss->runner) {
            return true;
        }
    }
    return false;
}

static uint32_t
lost_in_zone(const group_t *group, uint32_t zone)
{
    const loss_t *loss;
    uint32_t count = 0;

    for (loss = group->first; loss != NULL; loss = TAILQ_NEXT(loss, link)) {
        if (group_has(group, loss) && loss->zone == zone &&
            !is_repeated(group, loss)) {
            count++;
        }
    }
    return count;
}

/*
 * Whether one content fell with a runner, was taken up on another and fell
 * with that one too.  It may have killed both, so they count as one.
 */
static bool
has_chain(const suspect_book_t *book, const group_t *group)
{
    const accused_t *accused;
    const loss_t *before;
    const loss_t *loss;
    size_t i;

    for (accused = book->accused; accused != NULL;
         accused = accused->hh.next) {
        for (i = 1; i < accused->serial_count; i++) {
            before = book_serial(book, accused->serials[i - 1]);
            loss = book_serial(book, accused->serials[i]);
            if (before != NULL && loss != NULL && group_has(group, before) &&
                group_has(group, loss) && before->runner != loss->runner &&
                accused->ran_us[i] <= loss->at_us - before->at_us) {
                return true;
            }
        }
    }
    return false;
}

static uint32_t
most_in_zone(const group_t *group, uint32_t *zone_runners)
{
    const loss_t *loss;
    uint32_t most = 0;
    uint32_t lost;

    *zone_runners = UINT32_MAX;
    for (loss = group->first; loss != NULL; loss = TAILQ_NEXT(loss, link)) {
        if (!group_has(group, loss) || !loss->own) {
            continue;
        }
        lost = lost_in_zone(group, loss->zone);
        if (lost > most) {
            most = lost;
            *zone_runners = loss->zone_runners;
        }
    }
    return most;
}

group_t
group_find(const suspect_book_t *book, loss_t *first, int64_t window_us,
           uint32_t common_runners)
{
    group_t group = {.first = first};
    const loss_t *loss;
    uint32_t chained;
    uint32_t zone_runners;
    uint32_t in_zone;

    group.until_us = first->at_us + window_us;
    for (loss = first; loss != NULL; loss = TAILQ_NEXT(loss, link)) {
        if (group_has(&group, loss) && !is_repeated(&group, loss)) {
            group.runners++;
        }
    }
    chained = has_chain(book, &group) ? 1 : 0;
    in_zone = most_in_zone(&group, &zone_runners);
    group.common = group.runners - chained >= common_runners;
    /* A zone with a single runner says nothing when that one falls. */
    if (in_zone - chained > 1 && in_zone * HALF >= zone_runners) {
        group.common = true;
    }
    return group;
}

bool
group_all_had(const group_t *group, uint64_t fingerprint)
{
    const loss_t *loss;

    for (loss = group->first; loss != NULL; loss = TAILQ_NEXT(loss, link)) {
        if (group_has(group, loss) && !loss_has(loss, fingerprint)) {
            return false;
        }
    }
    return true;
}
