/* crash_trial.c - see crash_trial.h. */
#include "forward/crash_trial.h"

enum { US_PER_MS = 1000, CLAIM_HOSTS = 10 };

/* A trial whose outcome is not known by then counts as one that crashed. */
#define TRIAL_TIMEOUT_US ((int64_t)10000000)
/* Between claim and start of a trial.  Reports take up to half a second, and
 * more in proportion to the hosts above CLAIM_HOSTS, and one may be lost. */
#define CLAIM_US ((int64_t)1200000)
#define CLAIM_MAX_US ((int64_t)3000000)
/* A host that does not start its trial by then has lost its claim. */
#define CLAIM_USE_US ((int64_t)500000)
/* Of the times in other hosts' reports, by the time that a message takes. */
#define CLOCK_ERROR_US ((int64_t)100000)

/* Returns the time in which claims of the same trial reach each other. */
static int64_t
claim_us(const crash_table_t *table)
{
    int64_t hosts = table->hosts;
    int64_t wait_us =
        hosts > CLAIM_HOSTS ? CLAIM_US * hosts / CLAIM_HOSTS : CLAIM_US;

    return wait_us < CLAIM_MAX_US ? wait_us : CLAIM_MAX_US;
}

/* Returns how long the last trial is taken to go on without news of it.  Other
 * hosts learn that it has started up to claim_us() later. */
static int64_t
trial_timeout_us(const crash_table_t *table, const crash_entry_t *entry)
{
    if (entry->trial.started) {
        return TRIAL_TIMEOUT_US;
    }
    return claim_us(table) + (entry->trial.host == table->host
                                  ? CLAIM_USE_US
                                  : CLAIM_USE_US + claim_us(table));
}

bool
crash_trial_is_over(const crash_table_t *table, const crash_entry_t *entry,
                    int64_t now_us)
{
    size_t i;

    if (entry->trial.number == 0 ||
        now_us - entry->trial_us >= trial_timeout_us(table, entry)) {
        return true;
    }
    for (i = 0; entry->trial.started && i < entry->count; i++) {
        if (!crash_record_is_explained(&entry->records[i],
                                       entry->trial_us - CLOCK_ERROR_US)) {
            return true;
        }
    }
    return false;
}

bool
crash_trial_is_due(const crash_table_t *table, const crash_entry_t *entry,
                   int64_t now_us)
{
    return entry->trial.host == table->host && !entry->trial.started &&
           now_us - entry->trial_us >= claim_us(table);
}

void
crash_trial_claim(crash_table_t *table, crash_entry_t *entry, int64_t now_us)
{
    entry->trial.number++;
    entry->trial.host = table->host;
    entry->trial.started = false;
    entry->trial_us = now_us;
    crash_table_report(table, entry, now_us);
}

static bool
has_trial(const crash_table_t *table, const crash_entry_t *entry,
          int64_t now_us)
{
    return entry->trial.host == table->host &&
           !crash_trial_is_over(table, entry, now_us);
}

bool
crash_trial_start(crash_table_t *table, crash_entry_t *entry, int64_t now_us)
{
    if (entry->trial.started || !has_trial(table, entry, now_us)) {
        return false;
    }
    entry->trial.started = true;
    entry->trial.starts++;
    entry->trial_us = now_us;
    crash_table_report(table, entry, now_us);
    return true;
}

void
crash_trial_undo_start(const crash_table_t *table, crash_entry_t *entry,
                       int64_t now_us)
{
    if (entry->trial.started && has_trial(table, entry, now_us)) {
        entry->trial.started = false;
        entry->trial.starts--;
        entry->trial_us = now_us - claim_us(table);
    }
}

void
crash_trial_end_rejected(const crash_table_t *table, crash_entry_t *entry,
                         int64_t now_us)
{
    if (entry->trial.started && has_trial(table, entry, now_us)) {
        entry->trial_us = now_us - TRIAL_TIMEOUT_US;
    }
}

/* Whether one trial replaces another, on all hosts alike. */
static bool
is_trial_newer(const crash_trial_t *one, const crash_trial_t *other)
{
    if (one->number != other->number) {
        return one->number > other->number;
    }
    if (one->started != other->started) {
        return one->started;
    }
    return one->host < other->host;
}

void
crash_trial_merge(crash_entry_t *entry, const crash_trial_t *trial,
                  int64_t now_us)
{
    int64_t at_us = now_us - (int64_t)trial->age_ms * US_PER_MS;

    uint32_t starts = entry->trial.starts;

    if (at_us <= entry->completed_us) {
        return;
    }
    if (is_trial_newer(trial, &entry->trial)) {
        entry->trial = *trial;
        entry->trial_us = at_us;
    }
    entry->trial.starts = trial->starts > starts ? trial->starts : starts;
}
