/* crash_cause.c - see crash_cause.h. */
#include "forward/crash_cause.h"

enum {
    /* A part with more crashes than this that another one does not explain has
     * crashes of its own. */
    UNEXPLAINED_MAX = 1,
    /* Smaller differences of two counts are no evidence. */
    REQUESTS_MIN = 2,
};

/* Hosts do not know of all runs that go on, but of the first in this time. */
#define DIFFERENCE_US ((int64_t)2000000)

static bool
is_content(const crash_entry_t *entry)
{
    return entry->depth == LINK_CONTENT_DEPTH;
}

static bool
went_on_later(const crash_entry_t *entry, const crash_entry_t *other)
{
    if (other->completed_us == INT64_MIN) {
        return entry->completed_us != INT64_MIN;
    }
    return entry->completed_us > other->completed_us + DIFFERENCE_US;
}

/* The counts of two subjects reach a host in different reports. */
static bool
has_clearly_more_requests(const crash_entry_t *entry,
                          const crash_entry_t *other)
{
    return entry->requests >= 2 * (uint64_t)other->requests + REQUESTS_MIN;
}

/* Whether a run with both subjects was on the runner that crashed. */
static bool
includes_run(const crash_entry_t *entry, const crash_record_t *run)
{
    size_t i;

    for (i = 0; i < entry->count; i++) {
        const crash_record_t *known = &entry->records[i].shared;

        if (known->observer == run->observer && known->runner == run->runner &&
            known->serial == run->serial) {
            return true;
        }
    }
    return false;
}

static bool
explains_crash(const crash_entry_t *cause, const crash_entry_t *entry,
               size_t index)
{
    size_t i;

    for (i = 0; i < entry->count; i++) {
        if (crash_record_is_same(&entry->records[i], &entry->records[index]) &&
            includes_run(cause, &entry->records[i].shared)) {
            return true;
        }
    }
    return false;
}

static bool
explains_crashes(const crash_entry_t *cause, const crash_entry_t *entry,
                 int64_t since_us)
{
    uint32_t unexplained = 0;
    size_t i;

    for (i = 0; i < entry->count; i++) {
        if (crash_entry_is_counted(entry, i, 0, since_us) &&
            !explains_crash(cause, entry, i)) {
            unexplained++;
        }
    }
    return unexplained <= UNEXPLAINED_MAX;
}

/* Whether the cause is more likely than the entry that it explains. */
static bool
precedes(const crash_entry_t *cause, const crash_entry_t *entry,
         int64_t since_us)
{
    if (went_on_later(entry, cause)) {
        return true;
    }
    if (went_on_later(cause, entry)) {
        return false;
    }
    if (!explains_crashes(entry, cause, since_us)) {
        return true;
    }
    if (has_clearly_more_requests(entry, cause)) {
        return true;
    }
    if (has_clearly_more_requests(cause, entry)) {
        return false;
    }
    return cause->depth != entry->depth ? cause->depth > entry->depth
                                        : cause->requests < entry->requests;
}

bool
crash_cause_is_other(const crash_table_t *table, const crash_entry_t *entry,
                     uint32_t count_min, int64_t since_us)
{
    const crash_entry_t *other;

    if (is_content(entry) || entry->count < count_min) {
        return false;
    }
    for (other = table->entries; other != NULL; other = other->hh.next) {
        if (other != entry && !is_content(other) &&
            other->count >= count_min &&
            crash_entry_count(other, 0, since_us) >= count_min &&
            explains_crashes(other, entry, since_us) &&
            precedes(other, entry, since_us)) {
            return true;
        }
    }
    return false;
}
