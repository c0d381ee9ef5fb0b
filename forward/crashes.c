/* crashes.c - see crashes.h. */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "forward/crash_cause.h"
#include "forward/crash_evidence.h"
#include "forward/crash_limit.h"
#include "forward/crash_trial.h"
#include "forward/crashes.h"

enum {
    US_PER_MS = 1000,
    COMPLETED_SLOTS = 16384,
    CRASHES_MIN = CRASH_LIMIT_MIN,
    BURST_CRASHES = 2, /* within BURST_US, before a request is deferred */
};

#define BURST_US ((int64_t)1000000)

/* A run that completed. */
typedef struct {
    uint64_t fingerprint;
    int64_t start_us;
} completed_run_t;

struct crashes {
    uint32_t serial;
    crash_table_t table;
    crash_losses_t losses;
    /* Hashed by fingerprint; a newer one overwrites the slot. */
    completed_run_t completed[COMPLETED_SLOTS];
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
    size_t slot;

    crashes->table.host = hash_name(host);
    crashes->serial = (uint32_t)(now_us / US_PER_MS);
    crashes->losses.started_us = now_us;
    for (slot = 0; slot < COMPLETED_SLOTS; slot++) {
        crashes->completed[slot].start_us = INT64_MIN;
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

/* Returns the start of the request's last run that completed, or INT64_MIN. */
static int64_t
last_completed_us(const crashes_t *crashes, uint64_t fingerprint)
{
    const completed_run_t *run =
        &crashes->completed[fingerprint % COMPLETED_SLOTS];

    return run->fingerprint == fingerprint ? run->start_us : INT64_MIN;
}

static void
record_completed(crashes_t *crashes, uint64_t fingerprint, int64_t start_us)
{
    if (start_us > last_completed_us(crashes, fingerprint)) {
        crashes->completed[fingerprint % COMPLETED_SLOTS] = (completed_run_t){
            .fingerprint = fingerprint, .start_us = start_us};
    }
}

static crash_entry_t *
find_or_add_entry(crashes_t *crashes, uint64_t fingerprint)
{
    crash_entry_t *entry =
        crash_table_find_or_add(&crashes->table, fingerprint);
    int64_t completed_us = last_completed_us(crashes, fingerprint);

    if (entry->completed_us < completed_us) {
        entry->completed_us = completed_us;
    }
    return entry;
}

/* A part may be at several places of prompts; all hosts keep the first. */
static void
record_depth(crash_entry_t *entry, uint32_t depth)
{
    if (entry->count == 0 || depth < entry->depth) {
        entry->depth = depth;
    }
}

void
crashes_add(crashes_t *crashes, int64_t now_us, const crash_t *crash)
{
    crash_entry_record_t record = {
        .shared = {.runner = (uint32_t)crash->runner,
                   .zone = crash->zone,
                   .observer = crashes->table.host,
                   .run_time_ms = crash->run_time_ms,
                   .newest_run_ms = crash->newest_run_ms},
        .at_us = now_us};
    crash_entry_t *entry;

    crash_losses_add(&crashes->losses, &record);
    entry = find_or_add_entry(crashes, crash->fingerprint);
    record_depth(entry, crash->depth);
    entry->fleet_runners = crash->fleet_runners;
    if (crash->depth == LINK_CONTENT_DEPTH) {
        crashes->serial++;
    }
    record.shared.serial = crashes->serial;
    (void)crash_table_add_record(&crashes->table, entry, &record, now_us);
}

void
crashes_merge(crashes_t *crashes, int64_t now_us, const crash_report_t *report)
{
    crash_entry_t *entry;
    bool explained = false;
    u_int i;

    if (report->completed_age_ms != LINK_NEVER) {
        int64_t start_us =
            now_us - (int64_t)report->completed_age_ms * US_PER_MS;

        record_completed(crashes, report->fingerprint, start_us);
        entry = crash_table_find(&crashes->table, report->fingerprint);
        if (entry != NULL) {
            (void)crash_table_complete(&crashes->table, entry, start_us,
                                       now_us);
        }
    }
    if (report->crashes.crashes_len == 0) {
        return;
    }
    entry = find_or_add_entry(crashes, report->fingerprint);
    record_depth(entry, report->depth);
    if (entry->fleet_runners == 0) {
        entry->fleet_runners = report->fleet_runners;
    }
    if (entry->requests < report->requests) {
        entry->requests = report->requests;
    }
    crash_trial_merge(entry, &report->trial, now_us);
    for (i = 0; i < report->crashes.crashes_len; i++) {
        crash_entry_record_t record = {.shared =
                                           report->crashes.crashes_val[i]};

        record.at_us = now_us - (int64_t)record.shared.age_ms * US_PER_MS;
        if (crash_record_is_explained(&record, entry->completed_us)) {
            explained = true;
        }
        else if (record.at_us > now_us - CRASH_RETENTION_US &&
                 crash_table_add_record(&crashes->table, entry, &record,
                                        now_us)) {
            crash_losses_add(&crashes->losses, &record);
        }
    }
    if (explained && report->crashes.crashes_len >= CRASHES_MIN - 1) {
        crash_table_report(&crashes->table, entry, now_us);
    }
}

bool
crashes_complete(crashes_t *crashes, int64_t now_us, uint64_t fingerprint,
                 int64_t start_us)
{
    crash_entry_t *entry = crash_table_find(&crashes->table, fingerprint);

    record_completed(crashes, fingerprint, start_us);
    if (entry == NULL ||
        crash_table_complete(&crashes->table, entry, start_us, now_us) == 0) {
        return false;
    }
    crash_table_report(&crashes->table, entry, now_us);
    return true;
}

void
crashes_add_request(crashes_t *crashes, uint64_t fingerprint)
{
    crash_entry_t *entry = crash_table_find(&crashes->table, fingerprint);

    if (entry != NULL) {
        entry->requests++;
    }
}

/* Returns how long ago crashes may be to count. */
static int64_t
counted_since_us(int64_t now_us)
{
    return now_us - CRASH_RETENTION_US;
}

static bool
is_bystander(const crashes_t *crashes, const crash_entry_t *entry,
             int64_t now_us)
{
    return crash_cause_is_other(&crashes->table, entry, CRASHES_MIN,
                                counted_since_us(now_us));
}

static bool
is_restricted(const crashes_t *crashes, crash_entry_t *entry,
              const crash_runs_t *others, int64_t now_us)
{
    if (now_us >= crash_limit_since_us(entry, now_us)) {
        return true;
    }
    if (crash_limit_went_on(entry, now_us)) {
        return false;
    }
    crash_limit_evaluate(&crashes->table, &crashes->losses, entry,
                         others->longest_ms, now_us);
    return crash_limit_is_reached(&crashes->table, entry, now_us);
}

/* Whether trials are over, or this host alone has seen enough. */
static bool
is_exhausted(const crashes_t *crashes, const crash_entry_t *entry,
             const crash_runs_t *others, int64_t now_us)
{
    if (now_us < crash_limit_since_us(entry, now_us) && entry->improbable &&
        crash_limit_count_hosts(&crashes->table, entry, now_us) == 0) {
        return true;
    }
    return others->count == 0 &&
           crash_trial_is_over(&crashes->table, entry, now_us) &&
           entry->trial.starts >= CRASH_TRIALS_MAX;
}

/* Decides about a subject that is not restricted. */
static crash_decision_t
decide_unrestricted(const crash_entry_t *entry, const crash_runs_t *others,
                    int64_t now_us)
{
    if (crash_limit_went_on(entry, now_us)) {
        return CRASH_ALLOWED;
    }
    /* One run shows as much as several. */
    if (others->newest_start_us >
        crash_entry_time_of(entry, CRASHES_MIN, counted_since_us(now_us))) {
        return CRASH_SUSPENDED;
    }
    return crash_entry_count(entry, 0, now_us - BURST_US) >= BURST_CRASHES
               ? CRASH_DEFERRED
               : CRASH_ALLOWED;
}

/*
 * Decides about a restricted subject.  A host claims the next trial, and
 * starts it if no other host's claim has precedence.
 */
static crash_decision_t
decide_restricted(crashes_t *crashes, crash_entry_t *entry,
                  const crash_runs_t *others, bool may_claim, int64_t now_us)
{
    if (others->count > 0) {
        return CRASH_SUSPENDED;
    }
    if (!crash_trial_is_over(&crashes->table, entry, now_us)) {
        return crash_trial_is_due(&crashes->table, entry, now_us)
                   ? CRASH_ALLOWED
                   : CRASH_SUSPENDED;
    }
    if (!may_claim) {
        return CRASH_REFERRED;
    }
    crash_trial_claim(&crashes->table, entry, now_us);
    return CRASH_SUSPENDED;
}

/* Whether a run with both subjects is a trial of the first. */
static bool
is_trial_preferred(const crash_entry_t *entry, const crash_entry_t *other,
                   int64_t now_us)
{
    int64_t since_us = counted_since_us(now_us);
    uint32_t crashes = crash_entry_count(entry, 0, since_us);
    uint32_t other_crashes = crash_entry_count(other, 0, since_us);

    if (crashes != other_crashes) {
        return crashes > other_crashes;
    }
    return entry->requests < other->requests;
}

/* A run is a trial of one subject only: the most likely cause of crashes. */
crash_decision_t
crashes_decide(crashes_t *crashes, int64_t now_us,
               const crash_subject_t *subjects, size_t count, bool may_claim,
               uint64_t *due_to)
{
    crash_decision_t decision = CRASH_ALLOWED;
    crash_entry_t *restricted = NULL;
    const crash_runs_t *restricted_others = NULL;
    size_t i;

    *due_to = 0;
    for (i = 0; i < count; i++) {
        const crash_runs_t *others = &subjects[i].others;
        crash_entry_t *entry =
            crash_table_find(&crashes->table, subjects[i].fingerprint);

        if (entry == NULL || is_bystander(crashes, entry, now_us)) {
            continue;
        }
        if (!is_restricted(crashes, entry, others, now_us)) {
            crash_decision_t other =
                decide_unrestricted(entry, others, now_us);

            decision = other > decision ? other : decision;
            continue;
        }
        if (is_exhausted(crashes, entry, others, now_us)) {
            *due_to = entry->fingerprint;
            return CRASH_BLOCKED;
        }
        if (restricted == NULL ||
            is_trial_preferred(entry, restricted, now_us)) {
            restricted = entry;
            restricted_others = others;
        }
    }
    if (restricted == NULL) {
        return decision;
    }
    *due_to = restricted->fingerprint;
    return decide_restricted(crashes, restricted, restricted_others, may_claim,
                             now_us);
}

bool
crashes_run_started(crashes_t *crashes, int64_t now_us, uint64_t fingerprint)
{
    crash_entry_t *entry = crash_table_find(&crashes->table, fingerprint);

    return entry != NULL && crash_trial_start(&crashes->table, entry, now_us);
}

void
crashes_run_not_sent(crashes_t *crashes, int64_t now_us, uint64_t fingerprint)
{
    crash_entry_t *entry = crash_table_find(&crashes->table, fingerprint);

    if (entry != NULL) {
        crash_trial_undo_start(&crashes->table, entry, now_us);
    }
}

void
crashes_run_rejected(crashes_t *crashes, int64_t now_us, uint64_t fingerprint)
{
    crash_entry_t *entry = crash_table_find(&crashes->table, fingerprint);

    if (entry != NULL) {
        crash_trial_end_rejected(&crashes->table, entry, now_us);
    }
}

bool
crashes_has_news(const crashes_t *crashes, int64_t now_us,
                 uint64_t fingerprint)
{
    const crash_entry_t *entry =
        crash_table_find(&crashes->table, fingerprint);

    return entry != NULL && entry->own_changed_us == now_us;
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
    while (entry != NULL &&
           (crash_limit_is_reached(&crashes->table, entry, until_us) ||
            until_us >= crash_limit_since_us(entry, until_us))) {
        int64_t next_us = INT64_MAX;
        size_t i;

        for (i = 0; i < entry->count; i++) {
            int64_t end_us = entry->records[i].at_us + CRASH_RETENTION_US;

            next_us = end_us > until_us && end_us < next_us ? end_us : next_us;
        }
        until_us = next_us;
    }
    return until_us - now_us;
}

int64_t
crashes_age_us(const crashes_t *crashes, int64_t now_us, uint64_t fingerprint)
{
    const crash_entry_t *entry =
        crash_table_find(&crashes->table, fingerprint);

    return entry != NULL && entry->count > 0
               ? now_us - crash_entry_time_of(entry, 1, INT64_MIN)
               : 0;
}

uint32_t
crashes_count(const crashes_t *crashes, int64_t now_us, uint64_t fingerprint)
{
    const crash_entry_t *entry =
        crash_table_find(&crashes->table, fingerprint);

    return entry == NULL
               ? 0
               : crash_entry_count(entry, 0, now_us - CRASH_RETENTION_US);
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
    crash_table_expire(&crashes->table, now_us, CRASH_RETENTION_US);
}
