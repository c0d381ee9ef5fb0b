/* crash_limit.c - see crash_limit.h. */
#include "forward/crash_limit.h"

enum {
    /* Limits that hold even if all crashes may be a coincidence: until
     * RESTRICTED_US for those that a host has seen itself, if no or one other
     * host has seen some, and for those of all hosts. */
    OWN_CRASHES_MAX = 5,
    OWN_CRASHES_MAX_IF_SHARED = 3,
    CRASHES_MAX = 5,
    /* A run that is longer by this than those that crashed shows that they did
     * not crash because of the subject. */
    SURVIVAL_MS = 500,
};

/* From so long after the third crash on a subject is restricted by one limit
 * for all hosts.  The users' bound begins after 3 s, and reports take up to
 * half a second. */
#define RESTRICTED_US ((int64_t)2000000)
/* If a run with a part went on within so long before the first crash, the next
 * that does is awaited until then: it is likely to show that the part is no
 * cause.  Runs show that of their content only when they have completed. */
#define WENT_ON_US ((int64_t)10000000)

uint32_t
crash_limit_count_hosts(const crash_table_t *table, const crash_entry_t *entry,
                        int64_t now_us)
{
    int64_t since_us = now_us - CRASH_RETENTION_US;
    uint32_t first = table->host;
    size_t i;

    for (i = 0; i < entry->count; i++) {
        uint32_t observer = entry->records[i].shared.observer;

        if (entry->records[i].at_us <= since_us || observer == table->host ||
            observer == first) {
            continue;
        }
        if (first != table->host) {
            return 2;
        }
        first = observer;
    }
    return first != table->host ? 1 : 0;
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
void
crash_limit_evaluate(const crash_table_t *table, const crash_losses_t *losses,
                     crash_entry_t *entry, uint32_t run_time_ms,
                     int64_t now_us)
{
    int64_t since_us = now_us - CRASH_RETENTION_US;
    uint32_t hosts = crash_limit_count_hosts(table, entry, now_us);

    if (entry->improbable || has_survived(entry, run_time_ms) ||
        crash_entry_count(entry, 0, since_us) < CRASH_LIMIT_MIN) {
        return;
    }
    if (hosts >= 2) {
        entry->improbable = crash_is_unlikely(
            losses, entry, 0, CRASH_LIMIT_MIN, since_us, now_us);
        return;
    }
    entry->improbable = crash_is_unlikely(
        losses, entry, table->host,
        hosts == 1 ? CRASH_LIMIT_MIN - 1 : CRASH_LIMIT_MIN, since_us, now_us);
}

static bool
is_limit_reached(const crash_table_t *table, const crash_entry_t *entry,
                 uint32_t count, int64_t now_us)
{
    int64_t since_us = now_us - CRASH_RETENTION_US;

    switch (crash_limit_count_hosts(table, entry, now_us)) {
    case 0:
        return crash_entry_count(entry, table->host, since_us) >=
               OWN_CRASHES_MAX;
    case 1:
        return crash_entry_count(entry, table->host, since_us) >=
               OWN_CRASHES_MAX_IF_SHARED;
    default:
        return count >= CRASHES_MAX;
    }
}

bool
crash_limit_is_reached(const crash_table_t *table, const crash_entry_t *entry,
                       int64_t now_us)
{
    int64_t since_us = now_us - CRASH_RETENTION_US;
    uint32_t count = crash_entry_count(entry, 0, since_us);

    return count >= CRASH_LIMIT_MIN &&
           (entry->improbable ||
            is_limit_reached(table, entry, count, now_us));
}

int64_t
crash_limit_since_us(const crash_entry_t *entry, int64_t now_us)
{
    bool counts = crash_entry_count(entry, 0, now_us - CRASH_RETENTION_US) >=
                  CRASH_LIMIT_MIN;

    return counts ? entry->third_us + RESTRICTED_US : INT64_MAX;
}

bool
crash_limit_went_on(const crash_entry_t *entry, int64_t now_us)
{
    int64_t first_us =
        crash_entry_time_of(entry, 1, now_us - CRASH_RETENTION_US);

    return entry->depth != LINK_CONTENT_DEPTH &&
           entry->completed_us != INT64_MIN &&
           first_us - entry->completed_us < WENT_ON_US;
}
