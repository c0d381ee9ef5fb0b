/* actions.c - a growable list of actions; see actions.h. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy/actions.h"

enum { ACTIONS_INITIAL_CAPACITY = 8, LOG_TEXT_BYTES = 1024 };

void
actions_reset(action_list_t *actions)
{
    actions->count = 0;
    arena_reset(&actions->arena);
}

void
actions_free(action_list_t *actions)
{
    free(actions->items);
    arena_free(&actions->arena);
    memset(actions, 0, sizeof(*actions));
}

action_t *
actions_append(action_list_t *actions, action_kind_t kind)
{
    action_t *action;

    if (actions->count == actions->capacity) {
        actions->capacity = actions->capacity == 0 ? ACTIONS_INITIAL_CAPACITY
                                                   : actions->capacity * 2;
        actions->items =
            xrealloc(actions->items, actions->capacity, sizeof(action_t));
    }
    action = &actions->items[actions->count];
    actions->count++;
    memset(action, 0, sizeof(*action));
    action->kind = kind;
    return action;
}

void
actions_append_log(action_list_t *actions, int32_t severity,
                   const char *format, ...)
{
    char text[LOG_TEXT_BYTES];
    va_list args;
    action_t *action = actions_append(actions, ACTION_LOG);

    va_start(args, format);
    (void)vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    action->action_t_u.log.severity = severity;
    action->action_t_u.log.text = arena_strdup(&actions->arena, text);
}
