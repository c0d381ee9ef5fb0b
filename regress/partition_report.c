/*
 * partition_report.c - reports between the hosts of partition_sim.h's
 * simulation, and what is counted as it goes on.
 */
#include "regress/partition_private.h"

enum { CRASH_DOUBT_MS = 2000 /* a crash may be reported so late */ };

/* Returns whether a runner may have crashed at that time. */
static bool
crash_possible(int64_t at_ms)
{
    size_t i;

    for (i = 0; i < cut_sim.result.crashes; i++) {
        if (at_ms >= cut_sim.crashes_ms[i] - CRASH_DOUBT_MS &&
            at_ms <= cut_sim.crashes_ms[i] + CRASH_DOUBT_MS) {
            return true;
        }
    }
    return false;
}

static void
check_crash_report(const crash_report_t *report)
{
    cut_caller_t *caller;
    uint32_t i;

    if (report->depth != LINK_CONTENT_DEPTH ||
        report->fingerprint >= cut_sim.caller_count) {
        return;
    }
    caller = &cut_sim.callers[report->fingerprint];
    for (i = 0; i < report->crashes.crashes_len; i++) {
        int64_t age_ms = report->crashes.crashes_val[i].age_ms;

        if (!caller->reported && !crash_possible(cut_sim.now_ms - age_ms)) {
            caller->reported = true;
            cut_sim.result.false_reports++;
        }
    }
}

void
cut_send_report(size_t from)
{
    arena_t arena = {0};
    cut_host_t *host = &cut_sim.hosts[from];
    placements_t placements = {.incarnation = host->incarnation};
    forward_event_t event = {.kind = FORWARD_PEER_REPORT};
    size_t to;
    uint32_t i;

    host->reports++;
    host->report_due = false;
    host->reported_ms = cut_sim.now_ms;
    placements.number = host->reports;
    forward_placements(host->forward, &arena, &placements);
    for (i = 0; cut_of_host(from) != NULL &&
                i < placements.crash_reports.crash_reports_len;
         i++) {
        check_crash_report(&placements.crash_reports.crash_reports_val[i]);
    }
    event.u.peer.host = host->name;
    event.u.peer.placements = &placements;
    for (to = 0; to < cut_sim.host_count; to++) {
        if (to != from && cut_draw(CUT_PERCENT) >= cut_sim.lost_percent) {
            cut_deliver(to, &event);
        }
    }
    arena_free(&arena);
}

void
cut_sample_helpers(void)
{
    uint32_t max = 0;
    uint32_t sum = 0;
    uint32_t count = 0;
    size_t i;

    for (i = 0; i < cut_sim.host_count; i++) {
        const cut_host_t *host = &cut_sim.hosts[i];

        max = host->relayed_active > max ? host->relayed_active : max;
        if (host->up && cut_of_host(i) == NULL) {
            sum += host->relayed_active;
            count++;
        }
    }
    if (max > cut_sim.result.helper_max && count > 0) {
        cut_sim.result.helper_max = max;
        cut_sim.result.helper_mean = (double)sum / count;
    }
}
