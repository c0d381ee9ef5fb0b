/* orders.c - see orders.h. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy/orders.h"

enum { ORDERS_START = 8, LOG_TEXT_BYTES = 1024 };

void
orders_reset(order_list_t *orders)
{
    orders->count = 0;
    arena_reset(&orders->arena);
}

void
orders_free(order_list_t *orders)
{
    free(orders->items);
    arena_free(&orders->arena);
    memset(orders, 0, sizeof(*orders));
}

order_t *
orders_add(order_list_t *orders, order_kind_t kind)
{
    order_t *order;

    if (orders->count == orders->capacity) {
        orders->capacity =
            orders->capacity == 0 ? ORDERS_START : orders->capacity * 2;
        orders->items =
            xrealloc(orders->items, orders->capacity, sizeof(order_t));
    }
    order = &orders->items[orders->count];
    orders->count++;
    memset(order, 0, sizeof(*order));
    order->kind = kind;
    return order;
}

void
orders_log(order_list_t *orders, int32_t severity, const char *format, ...)
{
    char text[LOG_TEXT_BYTES];
    va_list args;
    order_t *order = orders_add(orders, ORDER_LOG);

    va_start(args, format);
    (void)vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    order->order_t_u.log.severity = severity;
    order->order_t_u.log.text = arena_strdup(&orders->arena, text);
}
