/* crashes.c - see crashes.h. */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "forward/crash_evidence.h"
#include "forward/crashes.h"

enum {
    US_PER_MS = 1000,
    COMPLETED_SLOTS = 16384,
    /* A request that has crashed fewer runners is not restricted. */
    CRASHES_MIN = 3,
    /* Limits that hold even if all crashes may be a coincidence: for those
     * that a host has seen itself, if no or one other host has seen some, and
     * for those of all hosts. */
    OWN_CRASHES_MAX = 5,
    OWN_CRASHES_MAX_IF_SHARED = 3,
    CRASHES_MAX = 5,
    /* A run that is longer by this than those that crashed shows that they did
     * not crash because of the request. */
    SURVIVAL_MS = 500,
    BURST_CRASHES = 2, /* within BURST_US, before a request is deferred */
};

/* How long a crash counts. */
#define RETENTION_US ((int64_t)600000000)
#define BURST_US ((int64_t)1000000)
/* After the last crash other runs of the request may still complete. */
#define HOLD_US ((int64_t)5000000)

struct crashes {
    uint32_t serial;
    crash_table_t table;
    crash_losses_t losses;
    /* Hashed by fingerprint; a newer one overwrites the slot. */
    uint64_t completed[COMPLETED_SLOTS];
};

static uint32_t
hash_name(const char *name)
{
    uint32_t hash = (uint32_t)XXH3_64bits(name, strlen(name));

    return hash != 0 ? hash : 1; /* 0 stands for any host */
}

crashes_t *
crashes_new(int64_t now_us, const char *host)
{
    crashes_t *crashes = xcalloc(1, sizeof(*crashes));
    uint64_t slot;

    crashes->table.host = hash_name(host);
    crashes->serial = (uint32_t)(now_us / US_PER_MS);
    crashes->losses.started_us = now_us;
    /* No fingerprint in an unused slot may match it. */
    for (slot = 0; slot < COMPLETED_SLOTS; slot++) {
        crashes->completed[slot] = slot + 1;
    }
    return crashes;
}

void
crashes_free(crashes_t *crashes)
{
    if (crashes != NULL) {
        crash_table_clear(&crashes->table);
        free(crashes);
    }
}

static bool
has_completed(const crashes_t *crashes, uint64_t fingerprint)
{
    return crashes->completed[fingerprint % COMPLETED_SLOTS] == fingerprint;
}

/* Returns the number of other hosts with records, up to two. */
static uint32_t
count_other_hosts(const crashes_t *crashes, const crash_entry_t *entry,
                  int64_t since_us)
{
    uint32_t first = crashes->table.host;
    size_t i;

    for (i = 0; i < entry->count; i++) {
        uint32_t observer = entry->records[i].shared.observer;

        if (entry->records[i].at_us <= since_us ||
            observer == crashes->table.host || observer == first) {
            continue;
        }
        if (first != crashes->table.host) {
            return 2;
        }
        first = observer;
    }
    return first != crashes->table.host ? 1 : 0;
}

/* Whether a run has lasted longer than all those that ended in a crash. */
static bool
has_survived(const crash_entry_t *entry, uint32_t run_time_ms)
{
    size_t i;

    for (i = 0; i < entry->count; i++) {
        if (run_time_ms <=
            entry->records[i].shared.run_time_ms + SURVIVAL_MS) {
            return false;
        }
    }
    return true;
}

/*
 * Crashes that only one other host has seen may be due to its network.  They
 * are no evidence here.
 */
static void
evaluate(const crashes_t *crashes, crash_entry_t *entry, uint32_t run_time_ms,
         int64_t now_us)
{
    int64_t since_us = now_us - RETENTION_US;
    uint32_t hosts = count_other_hosts(crashes, entry, since_us);

    if (entry->improbable || has_survived(entry, run_time_ms) ||
        crash_entry_count(entry, 0, since_us) < CRASHES_MIN) {
        return;
    }
    if (hosts >= 2) {
        entry->improbable = crash_is_unlikely(&crashes->losses, entry, 0,
                                              CRASHES_MIN, since_us, now_us);
        return;
    }
    entry->improbable = crash_is_unlikely(
        &crashes->losses, entry, crashes->table.host,
        hosts == 1 ? CRASHES_MIN - 1 : CRASHES_MIN, since_us, now_us);
}

static bool
is_limit_reached(const crashes_t *crashes, const crash_entry_t *entry,
                 uint32_t count, int64_t since_us)
{
    switch (count_other_hosts(crashes, entry, since_us)) {
    case 0:
        return crash_entry_count(entry, crashes->table.host, since_us) >=
               OWN_CRASHES_MAX;
    case 1:
        return crash_entry_count(entry, crashes->table.host, since_us) >=
               OWN_CRASHES_MAX_IF_SHARED;
    default:
        return count >= CRASHES_MAX;
    }
}

static bool
is_blocked(const crashes_t *crashes, const crash_entry_t *entry,
           int64_t now_us)
{
    int64_t since_us = now_us - RETENTION_US;
    uint32_t count = crash_entry_count(entry, 0, since_us);

    return count >= CRASHES_MIN &&
           (entry->improbable ||
            is_limit_reached(crashes, entry, count, since_us));
}

void
crashes_add(crashes_t *crashes, int64_t now_us, const crash_t *crash)
{
    crash_entry_record_t record = {
        .shared = {.runner = (uint32_t)crash->runner,
                   .zone = crash->zone,
                   .observer = crashes->table.host,
                   .run_time_ms = crash->run_time_ms},
        .at_us = now_us};
    crash_entry_t *entry;

    crash_losses_add(&crashes->losses, &record);
    if (has_completed(crashes, crash->fingerprint)) {
        return;
    }
    entry = crash_table_find_or_add(&crashes->table, crash->fingerprint);
    entry->fleet_runners = crash->fleet_runners;
    crashes->serial++;
    record.shared.serial = crashes->serial;
    (void)crash_table_add_record(&crashes->table, entry, &record, now_us);
}

void
crashes_merge(crashes_t *crashes, int64_t now_us, const crash_report_t *report)
{
    crash_entry_t *entry =
        crash_table_find(&crashes->table, report->fingerprint);
    bool completed = has_completed(crashes, report->fingerprint);
    u_int i;

    if (report->cleared) {
        crashes->completed[report->fingerprint % COMPLETED_SLOTS] =
            report->fingerprint;
        if (entry != NULL && !entry->cleared) {
            crash_table_delete(&crashes->table, entry);
        }
        return;
    }
    if (completed && report->crashes.crashes_len < CRASHES_MIN - 1) {
        return; /* restricts nothing */
    }
    entry = crash_table_find_or_add(&crashes->table, report->fingerprint);
    if (completed) {
        crash_table_mark_cleared(&crashes->table, entry, now_us);
        return;
    }
    if (entry->fleet_runners == 0) {
        entry->fleet_runners = report->fleet_runners;
    }
    for (i = 0; i < report->crashes.crashes_len; i++) {
        crash_entry_record_t record = {.shared =
                                           report->crashes.crashes_val[i]};

        record.at_us = now_us - (int64_t)record.shared.age_ms * US_PER_MS;
        if (record.at_us > now_us - RETENTION_US) {
            if (crash_table_add_record(&crashes->table, entry, &record,
                                       now_us)) {
                crash_losses_add(&crashes->losses, &record);
            }
        }
    }
}

bool
crashes_clear(crashes_t *crashes, int64_t now_us, uint64_t fingerprint)
{
    crash_entry_t *entry = crash_table_find(&crashes->table, fingerprint);

    crashes->completed[fingerprint % COMPLETED_SLOTS] = fingerprint;
    if (entry == NULL || entry->cleared) {
        return false;
    }
    crash_table_mark_cleared(&crashes->table, entry, now_us);
    return true;
}

crash_decision_t
crashes_decide(crashes_t *crashes, int64_t now_us, uint64_t fingerprint,
               uint32_t run_time_ms)
{
    crash_entry_t *entry = crash_table_find(&crashes->table, fingerprint);

    if (entry == NULL) {
        return CRASH_ALLOWED;
    }
    evaluate(crashes, entry, run_time_ms, now_us);
    if (!is_blocked(crashes, entry, now_us)) {
        return crash_entry_count(entry, 0, now_us - BURST_US) >= BURST_CRASHES
                   ? CRASH_DEFERRED
                   : CRASH_ALLOWED;
    }
    if (entry->improbable &&
        count_other_hosts(crashes, entry, now_us - RETENTION_US) == 0) {
        return CRASH_BLOCKED;
    }
    return crash_entry_count(entry, 0, now_us - HOLD_US) > 0 ? CRASH_SUSPENDED
                                                             : CRASH_BLOCKED;
}

bool
crashes_mark_logged(crashes_t *crashes, uint64_t fingerprint)
{
    crash_entry_t *entry = crash_table_find(&crashes->table, fingerprint);

    if (entry == NULL || entry->logged) {
        return false;
    }
    entry->logged = true;
    return true;
}

int64_t
crashes_blocked_us(const crashes_t *crashes, int64_t now_us,
                   uint64_t fingerprint)
{
    const crash_entry_t *entry =
        crash_table_find(&crashes->table, fingerprint);
    int64_t until_us = now_us;

    /* The block ends when too few records are left. */
    while (entry != NULL && is_blocked(crashes, entry, until_us)) {
        int64_t next_us = INT64_MAX;
        size_t i;

        for (i = 0; i < entry->count; i++) {
            int64_t end_us = entry->records[i].at_us + RETENTION_US;

            next_us = end_us > until_us && end_us < next_us ? end_us : next_us;
        }
        until_us = next_us;
    }
    return until_us - now_us;
}

uint32_t
crashes_count(const crashes_t *crashes, int64_t now_us, uint64_t fingerprint)
{
    const crash_entry_t *entry =
        crash_table_find(&crashes->table, fingerprint);

    return entry == NULL ? 0
                         : crash_entry_count(entry, 0, now_us - RETENTION_US);
}

uint32_t
crashes_write(crashes_t *crashes, int64_t now_us, uint32_t hosts,
              arena_t *arena, crash_report_t *reports)
{
    crashes->table.hosts = hosts;
    return crash_table_write(&crashes->table, now_us, arena, reports);
}

void
crashes_expire(crashes_t *crashes, int64_t now_us)
{
    crash_table_expire(&crashes->table, now_us, RETENTION_US);
}
