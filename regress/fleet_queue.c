/* fleet_queue.c - what is under way, in order of time; see fleet.h. */
#include "regress/fleet_private.h"

static bool
earlier(const fleet_item_t *left, const fleet_item_t *right)
{
    return left->at_us != right->at_us ? left->at_us < right->at_us
                                       : left->number < right->number;
}

void
fleet_push(fleet_t *fleet, fleet_item_t item)
{
    size_t at = fleet->heap_count;

    if (fleet->heap_count == fleet->heap_room) {
        fleet->heap_room = fleet->heap_room * 2 + 64;
        fleet->heap = xrealloc(fleet->heap, fleet->heap_room, sizeof(item));
    }
    item.number = fleet->items;
    fleet->items++;
    fleet->heap_count++;
    while (at > 0 && earlier(&item, &fleet->heap[(at - 1) / 2])) {
        fleet->heap[at] = fleet->heap[(at - 1) / 2];
        at = (at - 1) / 2;
    }
    fleet->heap[at] = item;
}

fleet_item_t
fleet_pop(fleet_t *fleet)
{
    fleet_item_t first = fleet->heap[0];
    fleet_item_t last;
    size_t at = 0;
    size_t child = 1;

    fleet->heap_count--;
    last = fleet->heap[fleet->heap_count];
    while (child < fleet->heap_count) {
        if (child + 1 < fleet->heap_count &&
            earlier(&fleet->heap[child + 1], &fleet->heap[child])) {
            child++;
        }
        if (!earlier(&fleet->heap[child], &last)) {
            break;
        }
        fleet->heap[at] = fleet->heap[child];
        at = child;
        child = 2 * at + 1;
    }
    fleet->heap[at] = last;
    return first;
}
