/*
 * bench_feed.c - measures what changes of the routing table cost, by number of
 * hosts and size of the table, in the simulation of feed_sim.h.
 *
 * Figures with "whole" in their name are those of a build that sends whole
 * tables.  -1 ms: some host never had a change.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>

#include "regress/feed_sim.h"

enum {
    LINK_KBYTES = 1250, /* 10 Mbit/s */
    FIRST_ROUTES = 48,
    SMALL_CHANGES = 6,
    GROWTH_MAX_MS = 4000, /* a site's bound for a change to be in force */
    LINE_MAX_MS = 2000,
};

typedef struct {
    size_t hosts;
    uint32_t routes; /* more */
    bool whole;
} feed_row_t;

static const feed_row_t rows[] = {
    {30, 100, true},    {30, 700, true},    {30, 1400, true},
    {100, 100, true},   {100, 700, true},   {100, 1400, true},
    {300, 100, true},   {300, 700, true},   {30, 100, false},
    {30, 700, false},   {30, 1400, false},  {30, 2800, false},
    {100, 100, false},  {100, 700, false},  {100, 1400, false},
    {100, 2800, false}, {300, 100, false},  {300, 700, false},
    {300, 1400, false}, {300, 2800, false},
};

/* max 0: there is no bound. */
static void
print_figure(const feed_row_t *row, const char *name, int64_t value,
             const char *unit, int64_t max)
{
    printf("feed_%s%s_%zu_hosts_%" PRIu32 "_routes %" PRId64 " %s ",
           row->whole ? "whole_" : "", name, row->hosts, row->routes, value,
           unit);
    if (max == 0) {
        printf("- ok\n");
        return;
    }
    printf("%" PRId64 " %s\n", max,
           value >= 0 && value <= max ? "ok" : "short");
}

static int64_t
ms_or_never(uint32_t ms)
{
    return ms == FEED_SIM_NEVER ? -1 : (int64_t)ms;
}

static void
measure(const feed_row_t *row)
{
    const feed_sim_settings_t settings = {
        .hosts = row->hosts,
        .link_kbytes_per_s = LINK_KBYTES,
        .first_routes = FIRST_ROUTES,
        .growth_routes = row->routes,
        .small_changes = SMALL_CHANGES,
        .small_gap_ms = 1000,
        .entry_gap_ms = 500,
        .legacy_hosts = row->whole ? row->hosts : 0,
        .short_calls = row->whole,
    };
    feed_sim_result_t result = feed_simulate(&settings);
    int64_t bounded = row->whole ? 0 : 1;

    print_figure(row, "growth", ms_or_never(result.growth_ms), "ms",
                 bounded * GROWTH_MAX_MS);
    print_figure(row, "line", ms_or_never(result.small_ms), "ms",
                 bounded * LINE_MAX_MS);
    print_figure(row, "entry", ms_or_never(result.entry_ms), "ms",
                 bounded * LINE_MAX_MS);
    print_figure(row, "host_kbytes", (int64_t)(result.host_bytes / 1000), "kB",
                 0);
    print_figure(row, "busiest_host", (int64_t)(result.busiest_bytes / 1000),
                 "kB/s", bounded * LINK_KBYTES);
    print_figure(row, "store_kbytes", (int64_t)(result.store_bytes / 1000),
                 "kB", 0);
    print_figure(row, "store_calls", result.store_calls, "calls", 0);
    print_figure(row, "failed", result.failed_polls + result.failed_calls,
                 "calls", 0);
    (void)fflush(stdout);
}

int
main(void)
{
    size_t i;

    for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        measure(&rows[i]);
    }
    return 0;
}
