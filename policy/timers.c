/* timers.c - a binary heap of session timers; see timers.h. */
#include <stdlib.h>

#include "base/arena.h"
#include "policy/timers.h"

enum { TIMERS_INITIAL_CAPACITY = 64 };

static void insert(timers_t *timers, timer_entry_t *timer, int64_t at_us);
static void remove_at(timers_t *timers, size_t slot);
static void sift_up(timers_t *timers, size_t slot);
static void sift_down(timers_t *timers, size_t slot);
static void swap_slots(timers_t *timers, size_t a, size_t b);

void
timers_set(timers_t *timers, timer_entry_t *timer, int64_t at_us)
{
    timer->due_us = at_us;
    if (at_us == 0) {
        return;
    }
    if (timer->armed_us != 0 && timer->armed_us <= at_us) {
        return;
    }
    timers_remove(timers, timer);
    timer->due_us = at_us;
    insert(timers, timer, at_us);
}

void
timers_remove(timers_t *timers, timer_entry_t *timer)
{
    timer->due_us = 0;
    if (timer->armed_us == 0) {
        return;
    }
    remove_at(timers, timer->slot);
}

timer_entry_t *
timers_pop(timers_t *timers, int64_t now_us)
{
    while (timers->count > 0 && timers->heap[0]->armed_us <= now_us) {
        timer_entry_t *timer = timers->heap[0];

        remove_at(timers, 0);
        if (timer->due_us == 0) {
            continue;
        }
        if (timer->due_us > now_us) {
            insert(timers, timer, timer->due_us);
            continue;
        }
        timer->due_us = 0;
        return timer;
    }
    return NULL;
}

int64_t
timers_next_us(const timers_t *timers)
{
    return timers->count > 0 ? timers->heap[0]->armed_us : 0;
}

void
timers_free(timers_t *timers)
{
    free(timers->heap);
    timers->heap = NULL;
    timers->count = 0;
    timers->capacity = 0;
}

static void
insert(timers_t *timers, timer_entry_t *timer, int64_t at_us)
{
    if (timers->count == timers->capacity) {
        timers->capacity = timers->capacity == 0 ? TIMERS_INITIAL_CAPACITY
                                                 : timers->capacity * 2;
        timers->heap =
            xrealloc(timers->heap, timers->capacity, sizeof(timer_entry_t *));
    }
    timer->armed_us = at_us;
    timer->slot = timers->count;
    timers->heap[timers->count] = timer;
    timers->count++;
    sift_up(timers, timer->slot);
}

static void
remove_at(timers_t *timers, size_t slot)
{
    timer_entry_t *timer = timers->heap[slot];

    timers->count--;
    if (slot != timers->count) {
        timers->heap[slot] = timers->heap[timers->count];
        timers->heap[slot]->slot = slot;
        sift_up(timers, slot);
        sift_down(timers, timers->heap[slot]->slot);
    }
    timer->armed_us = 0;
}

static void
sift_up(timers_t *timers, size_t slot)
{
    while (slot > 0) {
        size_t parent = (slot - 1) / 2;

        if (timers->heap[parent]->armed_us <= timers->heap[slot]->armed_us) {
            return;
        }
        swap_slots(timers, parent, slot);
        slot = parent;
    }
}

static void
sift_down(timers_t *timers, size_t slot)
{
    for (;;) {
        size_t smallest = slot;
        size_t child = slot * 2 + 1;

        for (size_t i = child; i < child + 2 && i < timers->count; i++) {
            if (timers->heap[i]->armed_us < timers->heap[smallest]->armed_us) {
                smallest = i;
            }
        }
        if (smallest == slot) {
            return;
        }
        swap_slots(timers, smallest, slot);
        slot = smallest;
    }
}

static void
swap_slots(timers_t *timers, size_t a, size_t b)
{
    timer_entry_t *timer = timers->heap[a];

    timers->heap[a] = timers->heap[b];
    timers->heap[b] = timer;
    timers->heap[a]->slot = a;
    timers->heap[b]->slot = b;
}
