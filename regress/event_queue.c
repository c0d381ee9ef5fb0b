/* event_queue.c - see event_queue.h. */
#include <stdlib.h>
#include <string.h>

#include "base/arena.h"
#include "regress/event_queue.h"

enum { ROOM_INITIAL = 1024 };

static char *
event_at(const event_queue_t *queue, size_t at)
{
    return queue->events + at * queue->event_bytes;
}

static void
put(event_queue_t *queue, size_t at, const void *event)
{
    memmove(event_at(queue, at), event, queue->event_bytes);
}

event_queue_t
event_queue_of(size_t event_bytes, event_precedes_t precedes)
{
    return (event_queue_t){.event_bytes = event_bytes, .precedes = precedes};
}

void
event_queue_free(event_queue_t *queue)
{
    free(queue->events);
    queue->events = NULL;
    queue->count = 0;
    queue->room = 0;
}

void
event_queue_push(event_queue_t *queue, const void *event)
{
    size_t at = queue->count;

    if (queue->count == queue->room) {
        queue->room = queue->room == 0 ? ROOM_INITIAL : 2 * queue->room;
        queue->events =
            xrealloc(queue->events, queue->room, queue->event_bytes);
    }
    queue->count++;
    while (at > 0 && queue->precedes(event, event_at(queue, (at - 1) / 2))) {
        put(queue, at, event_at(queue, (at - 1) / 2));
        at = (at - 1) / 2;
    }
    put(queue, at, event);
}

const void *
event_queue_first(const event_queue_t *queue)
{
    return queue->count > 0 ? queue->events : NULL;
}

/* The last event stays where it is until its place is known. */
bool
event_queue_pop(event_queue_t *queue, void *event)
{
    const char *last;
    size_t at = 0;
    size_t child;

    if (queue->count == 0) {
        return false;
    }
    memcpy(event, queue->events, queue->event_bytes);
    queue->count--;
    last = event_at(queue, queue->count);
    while ((child = 2 * at + 1) < queue->count) {
        if (child + 1 < queue->count &&
            queue->precedes(event_at(queue, child + 1),
                            event_at(queue, child))) {
            child++;
        }
        if (!queue->precedes(event_at(queue, child), last)) {
            break;
        }
        put(queue, at, event_at(queue, child));
        at = child;
    }
    put(queue, at, last);
    return true;
}
