/* fleet_queue.c - what is under way, in order of time; see fleet.h. */
#include "regress/fleet_private.h"

bool
fleet_precedes(const void *left, const void *right)
{
    const fleet_item_t *a = left;
    const fleet_item_t *b = right;

    return a->at_us != b->at_us ? a->at_us < b->at_us : a->number < b->number;
}

void
fleet_push(fleet_t *fleet, fleet_item_t item)
{
    item.number = fleet->items;
    fleet->items++;
    event_queue_push(&fleet->queue, &item);
}

bool
fleet_pop(fleet_t *fleet, int64_t end_us, fleet_item_t *item)
{
    const fleet_item_t *first = event_queue_first(&fleet->queue);

    return first != NULL && first->at_us <= end_us &&
           event_queue_pop(&fleet->queue, item);
}
