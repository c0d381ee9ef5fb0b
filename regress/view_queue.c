/* view_queue.c - events of view_sim.h's simulation, by time. */
#include "regress/view_private.h"

bool
view_precedes(const void *left, const void *right)
{
    const event_t *a = left;
    const event_t *b = right;

    return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->serial < b->serial;
}

void
view_push(int64_t delay_ms, const event_t *event)
{
    event_t copy = *event;

    copy.at_ms = view_sim.now_ms + delay_ms;
    copy.serial = view_sim.queue_serial;
    view_sim.queue_serial++;
    event_queue_push(&view_sim.queue, &copy);
}

void
view_defer(int64_t at_ms, const event_t *event)
{
    event_t copy = *event;

    copy.at_ms = at_ms;
    event_queue_push(&view_sim.queue, &copy);
}

bool
view_pop(event_t *event)
{
    return event_queue_pop(&view_sim.queue, event);
}
