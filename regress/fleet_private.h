/*
 * fleet_private.h - the parts of a fleet_t.
 *
 * Private to fleet.c (the hosts and the store), fleet_queue.c and
 * fleet_check.c.
 */
#ifndef REGRESS_FLEET_PRIVATE_H
#define REGRESS_FLEET_PRIVATE_H

#include "peer/wire.h"
#include "regress/fleet.h"

typedef enum { ITEM_RECORD, ITEM_TIMER, ITEM_LIST, ITEM_STORE } item_kind_t;

typedef struct fleet_item {
    int64_t at_us;
    uint64_t number;
    item_kind_t kind;
    uint32_t host;
    uint64_t incarnation;
    wire_record_t record;
    uint32_t key;
    int64_t revision;
} fleet_item_t;

/* --- fleet.c --- */

/* Of a host, by its name. */
uint32_t fleet_index(const char *name);

/* --- fleet_queue.c --- */

/* By time; see event_queue.h. */
bool fleet_precedes(const void *left, const void *right);
void fleet_push(fleet_t *fleet, fleet_item_t item);
/* Takes the earliest one out; false if there is none up to end_us. */
bool fleet_pop(fleet_t *fleet, int64_t end_us, fleet_item_t *item);

/* --- fleet_check.c --- */

/* The host puts a document in force; the check sees it. */
void fleet_in_force(fleet_t *fleet, fleet_host_t *at, const config_t *config);
/* Notes who leaves by a heartbeat's word; with hide, takes the word out. */
void fleet_heard_leaving(fleet_host_t *at, const char *from,
                         heartbeat_t *heartbeat, bool hide);
/* Whoever has heard that a host leaves must not name it to callers. */
void fleet_check_addresses(fleet_t *fleet, fleet_host_t *at);

#endif
