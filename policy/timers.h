/*
 * timers.h - which session is due next.
 *
 * A heap of owners by time.  Moving a timer later costs nothing until the
 * old time comes, because sessions move theirs with every token.
 */
#ifndef POLICY_TIMERS_H
#define POLICY_TIMERS_H

#include <stddef.h>
#include <stdint.h>

typedef struct {
    int64_t due_us;   /* when the owner wants to be called; 0: never */
    int64_t armed_us; /* when it stands in the heap; 0: it does not */
    uint64_t owner;
    size_t slot;
} due_t;

typedef struct {
    due_t **heap;
    size_t count;
    size_t capacity;
} timers_t;

/* Sets the time at which due is wanted (0: not at all). */
void timers_set(timers_t *timers, due_t *due, int64_t at_us);

/* Takes due out for good; call it before its memory goes. */
void timers_drop(timers_t *timers, due_t *due);

/* The next due at now_us, taken out, or NULL. */
due_t *timers_pop(timers_t *timers, int64_t now_us);

/* When to look again; 0: never. */
int64_t timers_next_us(const timers_t *timers);

void timers_free(timers_t *timers);

#endif
