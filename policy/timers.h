/*
 * timers.h - a priority queue of timers, one per session.
 *
 * A binary heap ordered by time.  Sessions postpone their timer with every
 * token, so a timer that is set to a later time keeps its place in the heap
 * and is moved only when its former time has come.
 */
#ifndef POLICY_TIMERS_H
#define POLICY_TIMERS_H

#include <stddef.h>
#include <stdint.h>

typedef struct {
    int64_t due_us;   /* expiry time; 0: not set */
    int64_t armed_us; /* key in the heap, at most due_us; 0: not in it */
    uint64_t owner;   /* session id */
    size_t slot;      /* index in the heap */
} timer_entry_t;

typedef struct {
    timer_entry_t **heap;
    size_t count;
    size_t capacity;
} timers_t;

/* Sets the expiry time; 0 cancels the timer. */
void timers_set(timers_t *timers, timer_entry_t *timer, int64_t at_us);

/* Removes the timer from the heap.  Call it before freeing the timer. */
void timers_remove(timers_t *timers, timer_entry_t *timer);

/* Removes and returns the first timer that has expired, or NULL. */
timer_entry_t *timers_pop(timers_t *timers, int64_t now_us);

/* Returns when to call timers_pop() next; 0 if no timer is set. */
int64_t timers_next_us(const timers_t *timers);

void timers_free(timers_t *timers);

#endif
