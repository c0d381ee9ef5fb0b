/* orders.c - a growable list of actions; see orders.h. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy/orders.h"

enum { ACTIONS_INITIAL_CAPACITY = 8, LOG_TEXT_BYTES = 1024 };

void
orders_reset(order_list_t *actions)
{
    actions->count = 0;
    arena_reset(&actions->arena);
}

void
orders_free(order_list_t *actions)
{
    free(actions->items);
    arena_free(&actions->arena);
    memset(actions, 0, sizeof(*actions));
}

order_t *
orders_add(order_list_t *actions, order_kind_t kind)
{
    order_t *action;

    if (actions->count == actions->capacity) {
        actions->capacity = actions->capacity == 0 ? ACTIONS_INITIAL_CAPACITY
                                                   : actions->capacity * 2;
        actions->items =
            xrealloc(actions->items, actions->capacity, sizeof(order_t));
    }
    action = &actions->items[actions->count];
    actions->count++;
    memset(action, 0, sizeof(*action));
    action->kind = kind;
    return action;
}

void
orders_log(order_list_t *actions, int32_t severity, const char *format, ...)
{
    char text[LOG_TEXT_BYTES];
    va_list args;
    order_t *action = orders_add(actions, ORDER_LOG);

    va_start(args, format);
    (void)vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    action->order_t_u.log.severity = severity;
    action->order_t_u.log.text = arena_strdup(&actions->arena, text);
}
