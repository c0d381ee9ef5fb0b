/*
 * event_queue.h - the events of a simulation, the next one first: a heap.
 *
 * Elements are copied in and out.  Two of them must never be equal in order,
 * so that the same pushes always give the same pops.
 */
#ifndef REGRESS_EVENT_QUEUE_H
#define REGRESS_EVENT_QUEUE_H

#include <stdbool.h>
#include <stddef.h>

/* Returns whether the first event precedes the second one. */
typedef bool (*event_precedes_t)(const void *left, const void *right);

typedef struct {
    size_t event_bytes;
    event_precedes_t precedes;
    char *events;
    size_t count;
    size_t room;
} event_queue_t;

event_queue_t event_queue_of(size_t event_bytes, event_precedes_t precedes);
void event_queue_free(event_queue_t *queue);

void event_queue_push(event_queue_t *queue, const void *event);
/* Returns the next event, or NULL; valid until the next push or pop. */
const void *event_queue_first(const event_queue_t *queue);
/* Takes the next event out.  Returns false if there is none. */
bool event_queue_pop(event_queue_t *queue, void *event);

#endif
