/*
 * orders.h - the list of actions that node_step() returns.
 *
 * The memory that actions point to belongs to the arena of the list, or to
 * the node until its next step.  Execute or encode them before that step.
 */
#ifndef POLICY_ORDERS_H
#define POLICY_ORDERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "policy/generated/event.h"

typedef struct {
    order_t *items;
    size_t count;
    size_t capacity;
    arena_t arena;
} order_list_t;

/* A zeroed order_list_t is a valid empty list. */
void orders_reset(order_list_t *actions);
void orders_free(order_list_t *actions);

/* Appends a zeroed action of this kind and returns it. */
order_t *orders_add(order_list_t *actions, order_kind_t kind);

/* Appends ORDER_LOG with a severity of syslog(3). */
void orders_log(order_list_t *actions, int32_t severity, const char *format,
                ...) __attribute__((format(printf, 3, 4)));

#endif
