/* suspect_group.c - groups of losses; see suspect_group.h. */
#include "policy/suspect_group.h"

enum { HALF = 2 /* a share of a zone's runners, as a divisor */ };

bool
group_contains(const loss_group_t *group, const loss_t *loss)
{
    return loss->pending && loss->serial >= group->first->serial &&
           loss->local == group->first->local &&
           loss->at_us <= group->until_us;
}

/* Whether an earlier loss in the group is of the same runner. */
static bool
is_repeated_runner(const loss_group_t *group, const loss_t *loss)
{
    const loss_t *other;

    for (other = group->first; other != loss;
         other = TAILQ_NEXT(other, link)) {
        if (group_contains(group, other) && other->runner == loss->runner) {
            return true;
        }
    }
    return false;
}

static uint32_t
count_lost_in_zone(const loss_group_t *group, uint32_t zone)
{
    const loss_t *loss;
    uint32_t count = 0;

    for (loss = group->first; loss != NULL; loss = TAILQ_NEXT(loss, link)) {
        if (group_contains(group, loss) && loss->zone == zone &&
            !is_repeated_runner(group, loss)) {
            count++;
        }
    }
    return count;
}

/*
 * Whether a request was resumed on another runner after a loss and was present
 * when that one was lost too.  It may have crashed both.
 */
static bool
has_chain(const suspect_table_t *table, const loss_group_t *group)
{
    const suspect_entry_t *entry;
    const loss_t *previous;
    const loss_t *loss;
    size_t i;

    for (entry = table->entries; entry != NULL; entry = entry->hh.next) {
        for (i = 1; i < entry->serial_count; i++) {
            previous = table_find_loss(table, entry->serials[i - 1]);
            loss = table_find_loss(table, entry->serials[i]);
            if (previous != NULL && loss != NULL &&
                group_contains(group, previous) &&
                group_contains(group, loss) &&
                previous->runner != loss->runner &&
                entry->run_time_us[i] <= loss->at_us - previous->at_us) {
                return true;
            }
        }
    }
    return false;
}

/* Sets zone_runners to the number of runners of the zone with most losses. */
static uint32_t
max_lost_in_zone(const loss_group_t *group, uint32_t *zone_runners)
{
    const loss_t *loss;
    uint32_t max_lost = 0;
    uint32_t lost;

    *zone_runners = UINT32_MAX;
    for (loss = group->first; loss != NULL; loss = TAILQ_NEXT(loss, link)) {
        if (!group_contains(group, loss) || !loss->local) {
            continue;
        }
        lost = count_lost_in_zone(group, loss->zone);
        if (lost > max_lost) {
            max_lost = lost;
            *zone_runners = loss->zone_runners;
        }
    }
    return max_lost;
}

loss_group_t
group_build(const suspect_table_t *table, loss_t *first, int64_t window_us,
            uint32_t correlated_runners)
{
    loss_group_t group = {.first = first};
    const loss_t *loss;
    uint32_t chained_runners;
    uint32_t zone_runners;
    uint32_t in_zone;

    group.until_us = first->at_us + window_us;
    for (loss = first; loss != NULL; loss = TAILQ_NEXT(loss, link)) {
        if (group_contains(&group, loss) &&
            !is_repeated_runner(&group, loss)) {
            group.runners++;
        }
    }
    chained_runners = has_chain(table, &group) ? 1 : 0;
    in_zone = max_lost_in_zone(&group, &zone_runners);
    group.correlated = group.runners - chained_runners >= correlated_runners;
    /* The loss of the only runner of a zone is no sign of correlation. */
    if (in_zone - chained_runners > 1 && in_zone * HALF >= zone_runners) {
        group.correlated = true;
    }
    return group;
}

bool
group_present_on_all(const loss_group_t *group, uint64_t fingerprint)
{
    const loss_t *loss;

    for (loss = group->first; loss != NULL; loss = TAILQ_NEXT(loss, link)) {
        if (group_contains(group, loss) && !loss_includes(loss, fingerprint)) {
            return false;
        }
    }
    return true;
}
