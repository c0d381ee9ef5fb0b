/* crash_table.c - see crash_table.h. */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "forward/crash_table.h"

enum {
    US_PER_MS = 1000,
    ENTRIES_MAX = 4096,
    /* Entries with as many records may restrict a request. */
    RESTRICTING_RECORDS_MIN = 3,
};

/* What this host has seen is sent at this interval for so long, as messages
 * can be lost. */
#define REPORT_US ((int64_t)5000000)
#define RESEND_US ((int64_t)1500000)
#define RESTRICTING_RESEND_US ((int64_t)400000)
/* What may restrict a request is sent to hosts that have started since.  Each
 * host does so at this interval times the number of hosts, so that the load
 * does not grow with the square of it. */
#define RELAY_US ((int64_t)500000)
#define EXPIRY_INTERVAL_US ((int64_t)1000000)

void
crash_table_clear(crash_table_t *table)
{
    crash_entry_t *entry;
    crash_entry_t *next;

    HASH_ITER(hh, table->entries, entry, next)
    {
        crash_table_delete(table, entry);
    }
}

crash_entry_t *
crash_table_find(const crash_table_t *table, uint64_t fingerprint)
{
    crash_entry_t *entry;

    HASH_FIND(hh, table->entries, &fingerprint, sizeof(fingerprint), entry);
    return entry;
}

void
crash_table_delete(crash_table_t *table, crash_entry_t *entry)
{
    HASH_DEL(table->entries, entry); /* NOLINT(clang-analyzer-*) */
    free(entry);
}

/* Deletes the oldest entry that restricts nothing, else the oldest. */
static void
make_room(crash_table_t *table)
{
    crash_entry_t *entry;

    if (HASH_COUNT(table->entries) < ENTRIES_MAX) {
        return;
    }
    for (entry = table->entries; entry != NULL; entry = entry->hh.next) {
        if (entry->count < RESTRICTING_RECORDS_MIN) {
            crash_table_delete(table, entry);
            return;
        }
    }
    crash_table_delete(table, table->entries);
}

crash_entry_t *
crash_table_find_or_add(crash_table_t *table, uint64_t fingerprint)
{
    crash_entry_t *entry = crash_table_find(table, fingerprint);

    if (entry != NULL) {
        return entry;
    }
    make_room(table);
    entry = xcalloc(1, sizeof(*entry));
    entry->fingerprint = fingerprint;
    entry->completed_us = INT64_MIN;
    entry->third_us = INT64_MAX;
    HASH_ADD(hh, table->entries, fingerprint, sizeof(entry->fingerprint),
             entry);
    return entry;
}

/* Moves the entry to the end of the table, which stays sorted. */
static void
mark_changed(crash_table_t *table, crash_entry_t *entry, int64_t now_us)
{
    HASH_DEL(table->entries, entry); /* NOLINT(clang-analyzer-*) */
    entry->changed_us = now_us;
    HASH_ADD(hh, table->entries, fingerprint, sizeof(entry->fingerprint),
             entry);
}

/* Returns the start of the last run of the request on the runner. */
static int64_t
newest_start_us(const crash_entry_record_t *record)
{
    return record->at_us - (int64_t)record->shared.newest_run_ms * US_PER_MS;
}

/*
 * Returns the known record that has what is in this one: it is the same, or
 * the observer had several runs of the request on the runner.  Another host's
 * view of a known crash adds a host, but must not displace a record of another
 * crash.  Returns NULL if there is none.
 */
static crash_entry_record_t *
find_equivalent(crash_entry_t *entry, const crash_entry_record_t *record)
{
    size_t i;

    for (i = 0; i < entry->count; i++) {
        crash_entry_record_t *known = &entry->records[i];

        if (known->shared.runner == record->shared.runner &&
            known->shared.observer == record->shared.observer &&
            known->shared.serial == record->shared.serial) {
            return known;
        }
        if (crash_record_is_same(known, record) &&
            (known->shared.observer == record->shared.observer ||
             entry->count == LINK_CRASHES_MAX)) {
            return known;
        }
    }
    return NULL;
}

/* Returns a record of a crash of which there is an earlier one, else the first
 * one that a completed run would explain. */
static size_t
find_least_useful(const crash_entry_t *entry)
{
    size_t oldest = 0;
    size_t i;

    for (i = 0; i < entry->count; i++) {
        if (!crash_entry_is_counted(entry, i, 0, INT64_MIN)) {
            return i;
        }
        if (newest_start_us(&entry->records[i]) <
            newest_start_us(&entry->records[oldest])) {
            oldest = i;
        }
    }
    return oldest;
}

bool
crash_table_add_record(crash_table_t *table, crash_entry_t *entry,
                       const crash_entry_record_t *record, int64_t now_us)
{
    crash_entry_record_t *known;

    if (crash_record_is_explained(record, entry->completed_us)) {
        return false;
    }
    known = find_equivalent(entry, record);
    if (known != NULL) {
        if (record->shared.newest_run_ms < known->shared.newest_run_ms) {
            known->shared.newest_run_ms = record->shared.newest_run_ms;
        }
        return false;
    }
    if (entry->count == LINK_CRASHES_MAX) {
        size_t index = find_least_useful(entry);

        if (crash_entry_is_counted(entry, index, 0, INT64_MIN) &&
            newest_start_us(record) <=
                newest_start_us(&entry->records[index])) {
            return false;
        }
        entry->count--;
        memmove(&entry->records[index], &entry->records[index + 1],
                (entry->count - index) * sizeof(entry->records[0]));
    }
    entry->records[entry->count] = *record;
    entry->count++;
    if (record->shared.observer == table->host) {
        entry->own_changed_us = now_us;
    }
    if (entry->third_us == INT64_MAX) {
        entry->third_us = crash_entry_time_of(entry, 3, INT64_MIN);
    }
    mark_changed(table, entry, now_us);
    return true;
}

size_t
crash_table_complete(crash_table_t *table, crash_entry_t *entry,
                     int64_t start_us, int64_t now_us)
{
    size_t kept = 0;
    size_t deleted;
    size_t i;

    if (start_us <= entry->completed_us) {
        return 0;
    }
    entry->completed_us = start_us;
    for (i = 0; i < entry->count; i++) {
        if (!crash_record_is_explained(&entry->records[i], start_us)) {
            entry->records[kept] = entry->records[i];
            kept++;
        }
    }
    deleted = entry->count - kept;
    entry->count = kept;
    if (deleted > 0) {
        entry->third_us = crash_entry_time_of(entry, 3, INT64_MIN);
    }
    if (kept < RESTRICTING_RECORDS_MIN) {
        entry->improbable = false;
        entry->logged = false;
        entry->trial = (crash_trial_t){0};
    }
    if (deleted > 0) {
        mark_changed(table, entry, now_us);
    }
    return deleted;
}

void
crash_table_report(crash_table_t *table, crash_entry_t *entry, int64_t now_us)
{
    entry->own_changed_us = now_us;
    mark_changed(table, entry, now_us);
}

/* The time between two relays, of which hosts start at different times. */
static int64_t
relay_interval_us(const crash_table_t *table)
{
    return RELAY_US * (table->hosts > 2 ? table->hosts : 2);
}

static int64_t
first_relay_us(const crash_table_t *table, const crash_entry_t *entry)
{
    uint64_t hash = XXH3_64bits_withSeed(
        &entry->fingerprint, sizeof(entry->fingerprint), table->host);

    return entry->changed_us +
           (int64_t)(hash % (uint64_t)relay_interval_us(table));
}

/* Other hosts' records are relayed only if they may restrict the request. */
static bool
is_relay_due(const crash_table_t *table, const crash_entry_t *entry,
             int64_t now_us)
{
    return entry->count >= RESTRICTING_RECORDS_MIN &&
           now_us >= (entry->sent_us > entry->changed_us
                          ? entry->sent_us + relay_interval_us(table)
                          : first_relay_us(table, entry));
}

static bool
is_report_due(const crash_table_t *table, const crash_entry_t *entry,
              int64_t now_us)
{
    if (entry->own_changed_us != 0 &&
        now_us - entry->own_changed_us < REPORT_US &&
        (entry->sent_us < entry->own_changed_us ||
         now_us - entry->sent_us >= (entry->count >= RESTRICTING_RECORDS_MIN
                                         ? RESTRICTING_RESEND_US
                                         : RESEND_US))) {
        return true;
    }
    return is_relay_due(table, entry, now_us);
}

/* Whether one report is sent before another if not all fit in a message. */
static bool
precedes(const crash_entry_t *one, const crash_entry_t *other)
{
    if (one->count != other->count) {
        return one->count > other->count;
    }
    return one->sent_us < other->sent_us;
}

static void
write_report(const crash_table_t *table, const crash_entry_t *entry,
             int64_t now_us, arena_t *arena, crash_report_t *report)
{
    bool relays = entry->count >= RESTRICTING_RECORDS_MIN;
    size_t i;

    *report = (crash_report_t){
        .fingerprint = entry->fingerprint,
        .depth = entry->depth,
        .requests = entry->requests,
        .fleet_runners = entry->fleet_runners,
        .completed_age_ms =
            entry->completed_us != INT64_MIN
                ? (uint32_t)((now_us - entry->completed_us) / US_PER_MS)
                : LINK_NEVER,
        .trial = entry->trial};
    report->trial.age_ms = (uint32_t)((now_us - entry->trial_us) / US_PER_MS);
    report->crashes.crashes_val = arena_array(
        arena, LINK_CRASHES_MAX, sizeof(*report->crashes.crashes_val));
    for (i = 0; i < entry->count; i++) {
        crash_record_t *record =
            &report->crashes.crashes_val[report->crashes.crashes_len];

        if (relays || entry->records[i].shared.observer == table->host) {
            *record = entry->records[i].shared;
            record->age_ms =
                (uint32_t)((now_us - entry->records[i].at_us) / US_PER_MS);
            report->crashes.crashes_len++;
        }
    }
}

uint32_t
crash_table_write(crash_table_t *table, int64_t now_us, arena_t *arena,
                  crash_report_t *reports)
{
    crash_entry_t *due[LINK_CRASH_REPORTS_MAX];
    crash_entry_t *entry;
    uint32_t count = 0;
    uint32_t i;

    for (entry = table->entries; entry != NULL; entry = entry->hh.next) {
        if (!is_report_due(table, entry, now_us)) {
            continue;
        }
        for (i = count; i > 0 && precedes(entry, due[i - 1]); i--) {
            if (i < LINK_CRASH_REPORTS_MAX) {
                due[i] = due[i - 1];
            }
        }
        if (i < LINK_CRASH_REPORTS_MAX) {
            due[i] = entry;
            count += count < LINK_CRASH_REPORTS_MAX ? 1 : 0;
        }
    }
    for (i = 0; i < count; i++) {
        due[i]->sent_us = now_us;
        write_report(table, due[i], now_us, arena, &reports[i]);
    }
    return count;
}

void
crash_table_expire(crash_table_t *table, int64_t now_us, int64_t retention_us)
{
    crash_entry_t *entry;
    crash_entry_t *next;

    if (now_us < table->expiry_due_us) {
        return;
    }
    table->expiry_due_us = now_us + EXPIRY_INTERVAL_US;
    HASH_ITER(hh, table->entries, entry, next)
    {
        if (now_us - entry->changed_us >=
            (entry->count == 0 ? REPORT_US : retention_us)) {
            crash_table_delete(table, entry);
        }
    }
}

bool
crash_entry_is_counted(const crash_entry_t *entry, size_t index,
                       uint32_t observer, int64_t since_us)
{
    const crash_entry_record_t *record = &entry->records[index];
    size_t i;

    if (record->at_us <= since_us ||
        (observer != 0 && record->shared.observer != observer)) {
        return false;
    }
    for (i = 0; i < index; i++) {
        const crash_entry_record_t *other = &entry->records[i];

        if ((observer == 0 || other->shared.observer == observer) &&
            crash_record_is_same(other, record)) {
            return false;
        }
    }
    return true;
}

bool
crash_record_is_same(const crash_entry_record_t *one,
                     const crash_entry_record_t *other)
{
    return one->shared.runner == other->shared.runner &&
           llabs(one->at_us - other->at_us) <= CRASH_SAME_US;
}

bool
crash_record_is_explained(const crash_entry_record_t *record,
                          int64_t completed_us)
{
    return newest_start_us(record) <= completed_us;
}

uint32_t
crash_entry_count(const crash_entry_t *entry, uint32_t observer,
                  int64_t since_us)
{
    uint32_t count = 0;
    size_t i;

    for (i = 0; i < entry->count; i++) {
        count += crash_entry_is_counted(entry, i, observer, since_us) ? 1 : 0;
    }
    return count;
}

int64_t
crash_entry_time_of(const crash_entry_t *entry, uint32_t number,
                    int64_t since_us)
{
    int64_t times_us[LINK_CRASHES_MAX] = {0};
    uint32_t count = 0;
    size_t i;

    for (i = 0; i < entry->count; i++) {
        uint32_t at = count;

        if (!crash_entry_is_counted(entry, i, 0, since_us)) {
            continue;
        }
        for (; at > 0 && times_us[at - 1] > entry->records[i].at_us; at--) {
            times_us[at] = times_us[at - 1];
        }
        times_us[at] = entry->records[i].at_us;
        count++;
    }
    return number <= count ? times_us[number - 1] : INT64_MAX;
}
