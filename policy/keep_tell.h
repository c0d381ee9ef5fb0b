/*
 * keep_tell.h - what a keeper of records tells other hosts.
 */
#ifndef POLICY_KEEP_TELL_H
#define POLICY_KEEP_TELL_H

#include <stdint.h>

#include "policy/generated/event.h"
#include "policy/orders.h"

/* A host that another one, with the held record's epoch, has its request. */
void keep_tell_superseded(const char *host, const record_t *held,
                          order_list_t *orders);

/* An owner that only so many tokens are held of what its record goes on. */
void keep_tell_gap(const char *host, const record_t *record, uint32_t held,
                   order_list_t *orders);

/* An owner how far its record is held, and with which epoch. */
void keep_tell_held(const char *host, const record_t *held,
                    order_list_t *orders);

/* The answer to a lookup, copied; held is NULL when there is none. */
void keep_tell_found(const char *host, uint64_t ask, const record_t *held,
                     order_list_t *orders);

#endif
