/* view_queue.c - events of view_sim.h's simulation, by time. */
#include "base/arena.h"
#include "regress/view_private.h"

static bool
precedes(const event_t *left, const event_t *right)
{
    return left->at_ms != right->at_ms ? left->at_ms < right->at_ms
                                       : left->serial < right->serial;
}

static void
insert(const event_t *event)
{
    size_t at = view_sim.queue_count;

    if (view_sim.queue_count == view_sim.queue_size) {
        view_sim.queue_size =
            view_sim.queue_size == 0 ? 1024 : 2 * view_sim.queue_size;
        view_sim.queue = xrealloc(view_sim.queue, view_sim.queue_size,
                                  sizeof(*view_sim.queue));
    }
    view_sim.queue_count++;
    while (at > 0 && precedes(event, &view_sim.queue[(at - 1) / 2])) {
        view_sim.queue[at] = view_sim.queue[(at - 1) / 2];
        at = (at - 1) / 2;
    }
    view_sim.queue[at] = *event;
}

void
view_push(int64_t delay_ms, const event_t *event)
{
    event_t copy = *event;

    copy.at_ms = view_sim.now_ms + delay_ms;
    copy.serial = view_sim.queue_serial;
    view_sim.queue_serial++;
    insert(&copy);
}

void
view_defer(int64_t at_ms, const event_t *event)
{
    event_t copy = *event;

    copy.at_ms = at_ms;
    insert(&copy);
}

bool
view_pop(event_t *event)
{
    event_t last;
    size_t at = 0;
    size_t child;

    if (view_sim.queue_count == 0) {
        return false;
    }
    *event = view_sim.queue[0];
    view_sim.queue_count--;
    last = view_sim.queue[view_sim.queue_count];
    while ((child = 2 * at + 1) < view_sim.queue_count) {
        if (child + 1 < view_sim.queue_count &&
            precedes(&view_sim.queue[child + 1], &view_sim.queue[child])) {
            child++;
        }
        if (!precedes(&view_sim.queue[child], &last)) {
            break;
        }
        view_sim.queue[at] = view_sim.queue[child];
        at = child;
    }
    view_sim.queue[at] = last;
    return true;
}
