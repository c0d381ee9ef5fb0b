/* partition.c - hosts cut off from all runners, and how they are served. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "regress/soak/soak.h"

enum {
    CUT_LEAST_MS = 3000,
    CUT_SPREAD_MS = 6000,
    REST_MS = 2000, /* after the one before */
    /* The users' bounds. */
    TRIES_LEAST = 20,
    FAILURES_FREE = 10,
    FAILURES_ONE_IN = 50,
};

/* First tries of requests, at some of the hosts. */
typedef struct {
    uint32_t tries;
    uint32_t served;
} tally_t;

struct partition {
    bool cut[SOAK_HOSTS_MAX];
    link_mode_t mode;
    uint64_t began_ms;
    uint64_t until_ms;
    bool over;
    bool disturbed; /* by another fault that its bounds do not allow for */
    uint32_t pending;
    tally_t inside; /* at hosts that are cut off */
    tally_t outside;
};

static struct {
    partition_t *partition; /* the one that goes on, or NULL */
    uint64_t ended_ms;      /* the last one */
    uint32_t partitions;
    uint32_t judged;
    uint32_t broken;
    tally_t inside;
    tally_t outside;
} state;

static void end(partition_t *partition);
static void judge(const partition_t *partition);

void
partition_begin(void)
{
    static const link_mode_t modes[] = {LINK_SILENT, LINK_REFUSES,
                                        LINK_NO_NEW};
    partition_t *partition;
    size_t hosts = hosts_count();
    size_t left;
    size_t i;

    if (state.partition != NULL || hosts < 2 ||
        soak_now_ms() < state.ended_ms + REST_MS) {
        return;
    }
    partition = calloc(1, sizeof(*partition));
    partition->mode = modes[soak_chance(3)];
    partition->began_ms = soak_now_ms();
    partition->until_ms =
        partition->began_ms + CUT_LEAST_MS + soak_chance(CUT_SPREAD_MS);
    state.partition = partition;
    state.partitions++;
    for (left = 1 + soak_chance(hosts - 1); left > 0; left--) {
        for (i = soak_chance(hosts); partition->cut[i]; i = (i + 1) % hosts) {
        }
        partition->cut[i] = true;
        links_cut(i, partition->mode);
        soak_note("cut h%zu off mode=%d %" PRIu64, i, (int)partition->mode,
                  partition->until_ms - partition->began_ms);
    }
}

void
partition_tick(void)
{
    if (state.partition != NULL &&
        soak_now_ms() >= state.partition->until_ms) {
        end(state.partition);
    }
}

void
partition_heal(void)
{
    if (state.partition != NULL) {
        end(state.partition);
    }
}

static void
end(partition_t *partition)
{
    bool helped = false; /* one that is not cut off could serve */
    size_t i;

    for (i = 0; i < hosts_count(); i++) {
        if (partition->cut[i]) {
            links_heal(i);
        }
        else if (host_is_calm(i, partition->began_ms)) {
            helped = true;
        }
    }
    partition->over = true;
    partition->disturbed =
        !helped || !soak_store_is_calm(partition->began_ms) ||
        hosts_disturbed_ms() + SOAK_CALM_MS > partition->began_ms;
    state.partition = NULL;
    state.ended_ms = soak_now_ms();
    soak_note("cut ends disturbed=%d", (int)partition->disturbed);
    if (partition->pending == 0) {
        judge(partition);
        free(partition);
    }
}

partition_t *
partition_try(size_t host)
{
    partition_t *partition = state.partition;

    if (partition == NULL ||
        soak_now_ms() < partition->began_ms + SOAK_CUT_MS ||
        !host_is_calm(host, partition->began_ms)) {
        return NULL;
    }
    partition->pending++;
    return partition;
}

void
partition_tried(partition_t *partition, const attempt_end_t *end)
{
    tally_t *tally =
        partition->cut[end->host] ? &partition->inside : &partition->outside;

    partition->pending--;
    if (!end->no_verdict && host_is_calm(end->host, partition->began_ms) &&
        hosts_disturbed_ms() < end->sent_ms) {
        tally->tries++;
        tally->served += end->served ? 1 : 0;
        if (partition->cut[end->host] && !end->served) {
            soak_note("cut off: %s at h%zu not served, status %d, %" PRIu64
                      " ms",
                      end->attempt, end->host, end->status,
                      soak_now_ms() - end->sent_ms);
        }
    }
    if (partition->over && partition->pending == 0) {
        judge(partition);
        free(partition);
    }
}

/* The bounds of the two groups of hosts. */
static void
judge(const partition_t *partition)
{
    const tally_t *inside = &partition->inside;
    const tally_t *outside = &partition->outside;
    uint32_t failures = inside->tries - inside->served;
    uint32_t all = inside->tries + outside->tries;
    bool few = inside->tries < TRIES_LEAST || outside->tries < TRIES_LEAST;
    /* served/tries inside below two thirds of that outside */
    bool seldom = (uint64_t)inside->served * outside->tries * 3 <
                  (uint64_t)outside->served * inside->tries * 2;

    if (partition->disturbed || all == 0) {
        return;
    }
    state.judged++;
    state.inside.tries += inside->tries;
    state.inside.served += inside->served;
    state.outside.tries += outside->tries;
    state.outside.served += outside->served;
    if ((!few && seldom) || failures > FAILURES_FREE + all / FAILURES_ONE_IN) {
        state.broken++;
        soak_broken("partition",
                    "mode %d: served %" PRIu32 " of %" PRIu32
                    " at hosts cut off, %" PRIu32 " of %" PRIu32
                    " at the others",
                    (int)partition->mode, inside->served, inside->tries,
                    outside->served, outside->tries);
    }
}

void
partition_report(void)
{
    if (!soak_plays(SOAK_PARTITION)) {
        return;
    }
    printf("partitions %" PRIu32 ", judged %" PRIu32 ", broken %" PRIu32
           ": first tries served %" PRIu32 " of %" PRIu32
           " at hosts cut off, %" PRIu32 " of %" PRIu32 " at the others\n",
           state.partitions, state.judged, state.broken, state.inside.served,
           state.inside.tries, state.outside.served, state.outside.tries);
}
