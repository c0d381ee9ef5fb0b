/*
 * orders.h - the list that a step appends its orders to.
 *
 * What the orders point to lives in the list's arena, or in the node until
 * its next step; a caller carries out or encodes them before that.
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

/* A zeroed order_list_t is empty and usable. */
void orders_reset(order_list_t *orders);
void orders_free(order_list_t *orders);

/* Appends an order of this kind, zeroed, and returns it to be filled in. */
order_t *orders_add(order_list_t *orders, order_kind_t kind);

/* Appends ORDER_LOG; severity is one of syslog(3)'s. */
void orders_log(order_list_t *orders, int32_t severity, const char *format,
                ...) __attribute__((format(printf, 3, 4)));

#endif
