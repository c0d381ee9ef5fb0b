/*
 * spread.h - decides over which hosts a report reaches all others.
 *
 * A report to each host of a large fleet would cross between availability
 * zones as often as there are hosts.  It crosses to each zone once instead:
 * the host that gets it there sends it on to the others of its zone.  Each
 * report of a host takes another way, so that a host that is lost and still
 * listed keeps few of them from a zone.
 *
 * This load grows with the square of the hosts: at 295 hosts, each with a
 * report every second, 236 of 294 copies of a report cross between zones
 * without it, and 4 with it.
 */
#ifndef FORWARD_SPREAD_H
#define FORWARD_SPREAD_H

#include <stddef.h>
#include <stdint.h>

/* How a host gets a report from the host that has it. */
typedef enum {
    SPREAD_NONE,   /* from another host */
    SPREAD_DIRECT, /* as the last one of its way */
    SPREAD_ON,     /* and sends it to the other hosts of its zone */
} spread_t;

typedef struct {
    const char *name;
    const char *address; /* for messages between hosts */
    const char *zone;
    spread_t how; /* set by the functions below */
} spread_host_t;

/* Plans a report of this host, which is in own_zone; turn: number of the
 * report.  hosts are the others. */
void spread_plan_report(spread_host_t *hosts, size_t count,
                        const char *own_zone, uint64_t turn);

/* Plans a report of origin that this host has got to send on. */
void spread_plan_relay(spread_host_t *hosts, size_t count,
                       const char *own_zone, const char *origin);

#endif
