/*
 * actions.h - the list of actions that node_step() returns.
 *
 * The memory that actions point to belongs to the arena of the list, or to
 * the node until its next step.  Execute or encode them before that step.
 */
#ifndef POLICY_ACTIONS_H
#define POLICY_ACTIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "policy/generated/event.h"

typedef struct {
    action_t *items;
    size_t count;
    size_t capacity;
    arena_t arena;
} action_list_t;

/* A zeroed action_list_t is a valid empty list. */
void actions_reset(action_list_t *actions);
void actions_free(action_list_t *actions);

/* Appends a zeroed action of this kind and returns it. */
action_t *actions_append(action_list_t *actions, action_kind_t kind);

/* Appends ACTION_LOG with a severity of syslog(3). */
void actions_append_log(action_list_t *actions, int32_t severity,
                        const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
