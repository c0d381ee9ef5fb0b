/*
 * bench_feed.c - prints what a change of the routing table costs, by the
 * number of hosts and the size of the table, for this build and for one that
 * sends whole tables.
 */
#include <inttypes.h>
#include <stdio.h>

#include "regress/feed_sim.h"

enum { LINK_KBYTES = 1250 };

static void
print_ms(uint32_t ms)
{
    if (ms == FEED_SIM_NEVER) {
        printf(" never");
    }
    else {
        printf(" %" PRIu32, ms);
    }
}

int
main(void)
{
    static const size_t fleets[] = {30, 100, 300};
    static const uint32_t tables[] = {100, 700, 1400, 2800};
    size_t i;
    size_t j;
    int legacy;

    printf("hosts routes build table_B growth_ms small_ms entry_ms "
           "host_KB busiest_KB/s store_KB store_calls calls/s failed\n");
    for (i = 0; i < sizeof(fleets) / sizeof(fleets[0]); i++) {
        for (j = 0; j < sizeof(tables) / sizeof(tables[0]); j++) {
            for (legacy = 1; legacy >= 0; legacy--) {
                feed_sim_settings_t settings = {
                    .hosts = fleets[i],
                    .link_kbytes_per_s = LINK_KBYTES,
                    .first_routes = 48,
                    .growth_routes = tables[j],
                    .small_changes = 6,
                    .small_gap_ms = 1000,
                    .entry_gap_ms = 500,
                    .legacy_hosts = legacy ? fleets[i] : 0,
                    .short_calls = legacy != 0,
                };
                feed_sim_result_t result = feed_simulate(&settings);

                printf("%zu %" PRIu32 " %s %" PRIu32, fleets[i], tables[j],
                       legacy ? "whole" : "patch", result.table_bytes);
                print_ms(result.growth_ms);
                print_ms(result.small_ms);
                print_ms(result.entry_ms);
                printf(" %" PRIu64 " %" PRIu64 " %" PRIu64 " %" PRIu32
                       " %" PRIu32 " %" PRIu32 "\n",
                       result.host_bytes / 1000, result.busiest_bytes / 1000,
                       result.store_bytes / 1000, result.store_calls,
                       result.calls_per_s,
                       result.failed_polls + result.failed_calls);
                (void)fflush(stdout);
            }
        }
    }
    return 0;
}
