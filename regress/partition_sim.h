/*
 * partition_sim.h - simulates hosts that lose their paths to all runners.
 *
 * Fleet, load, cuts and other faults are drawn: some hosts, most, or those of
 * a zone are cut off for some seconds, while hosts are killed and drained and
 * runners crash.  Requests that a host relays to another one are carried
 * there.  The same seed always gives the same result.
 */
#ifndef REGRESS_PARTITION_SIM_H
#define REGRESS_PARTITION_SIM_H

#include <stddef.h>
#include <stdint.h>

enum { PARTITION_CUTS_MAX = 2 };

/* First tries of callers, without those that a kill or drain explains. */
typedef struct {
    uint32_t sent;
    uint32_t served;
} partition_share_t;

/* One cut.  Shares are by age of the cut: first 3 s, later. */
typedef struct {
    const char *kind;
    const char *scope;
    uint32_t hosts; /* cut off */
    uint32_t length_ms;
    partition_share_t cut_off[2];
    partition_share_t others[2];
    /* Hosts that send to a runner after the cut, and how long after. */
    uint32_t direct_hosts;
    uint32_t direct_mean_ms;
    uint32_t direct_max_ms;
} partition_cut_result_t;

typedef struct {
    uint32_t hosts;
    uint32_t engines;
    uint32_t plain;
    uint32_t requests;
    uint32_t crashes;
    uint32_t kills;
    uint32_t drains;
    partition_cut_result_t cuts[PARTITION_CUTS_MAX];
    size_t cut_count;
    uint32_t double_runs;   /* unsafe requests that ran twice */
    uint32_t runs_of_unrun; /* runs of requests answered as not run */
    uint32_t excess_runs;   /* attempts of callers with too many runs */
    uint32_t loops;         /* relayed requests that were relayed again */
    uint32_t relayed;
    uint32_t relayed_in_zone;
    /* The most requests that were relayed to one host at a time, and the mean
     * over hosts that were not cut off at that time. */
    uint32_t helper_max;
    double helper_mean;
    /* Contents that cut-off hosts reported for crashes of sound runners. */
    uint32_t false_reports;
    /* Harmless requests that other hosts refused as harmful. */
    uint32_t refused_harmless;
} partition_result_t;

/* reached_percent: of the runners, those to which hosts that are cut off still
 * have a path. */
partition_result_t partition_simulate(uint64_t seed, uint32_t reached_percent);

#endif
