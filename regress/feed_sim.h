/*
 * feed_sim.h - simulates how changes of the store reach all hosts over links
 * of limited bandwidth.
 *
 * Hosts run store_sync.h, mirror.h, store_feed.h and store_intake.h.  Each
 * message takes its encoded size of the sender's and the receiver's link, in
 * the order of sending.  The store answers at its own rate; the responses to
 * watches hold every version.  The routing table grows, then changes by one
 * route at a time, while entries of runners change.  The same settings always
 * give the same result.
 */
#ifndef REGRESS_FEED_SIM_H
#define REGRESS_FEED_SIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { FEED_SIM_HOSTS_MAX = 340, FEED_SIM_CHANGES_MAX = 256 };

/* The time until a change is in force on a host that never has it. */
#define FEED_SIM_NEVER UINT32_MAX

typedef struct {
    size_t hosts;
    uint32_t link_kbytes_per_s; /* of each host, each way */
    uint32_t first_routes;      /* of the first table */
    uint32_t growth_routes;     /* of the growth */
    uint32_t small_changes;     /* after it, small_gap_ms apart */
    uint32_t small_gap_ms;
    uint32_t entry_gap_ms; /* between changes of entries of runners */
    size_t legacy_hosts;   /* of them, of a build that knows no patches */
    bool short_calls;      /* a call's timeout bounds its whole response */
} feed_sim_settings_t;

typedef struct {
    uint32_t table_bytes;   /* of the last table */
    uint32_t growth_ms;     /* acknowledged until in force on all hosts */
    uint32_t small_ms;      /* the same, the worst of the small changes */
    uint32_t entry_ms;      /* the same, of the entries */
    uint32_t unknown;       /* changes that some host never had */
    uint64_t host_bytes;    /* sent between hosts */
    uint64_t store_bytes;   /* sent by the store */
    uint64_t busiest_bytes; /* sent by one host in one second */
    uint32_t store_calls;   /* from the growth on */
    uint32_t calls_per_s;   /* the most in one second */
    uint32_t failed_polls;  /* from the growth on */
    uint32_t failed_calls;  /* the same, to the store */
    uint32_t run_ms;        /* from the growth to the end */
} feed_sim_result_t;

feed_sim_result_t feed_simulate(const feed_sim_settings_t *settings);

#endif
