/* versions.c - software versions of runners, and which of them wrote streams.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "regress/soak/caller.h"

enum {
    VERSIONS = 3,
    NEW_ID_IN = 4, /* one of so many starts has a new id */
    WAITS_KEPT = 8192,
    PERCENT = 100,
};

/* When the entry of a start is written, after its process listens. */
static const struct {
    const char *name;
    int32_t least_ms;
    uint32_t spread_ms;
    bool new_id;
    bool second; /* all runners begin with one version, and start again with a
                    second one that nobody has seen */
} entries[] = {
    {"before", -500, 1, false, false}, {"same", 0, 1, false, false},
    {"soon", 0, 300, false, false},    {"late", 0, 2000, false, false},
    {"new-id", -500, 1, true, false},  {"second", 2500, 1000, false, true},
};

enum { ENTRIES = sizeof(entries) / sizeof(entries[0]) };

static struct {
    uint32_t streams; /* of which an event came */
    uint32_t taken_up;
    uint32_t went_on; /* of the tries that took one up */
    uint32_t mixed;   /* streams */
    uint64_t waits_ms[WAITS_KEPT];
    size_t waits;
} state;

/* The only kind of entry that is wanted, or ENTRIES. */
static size_t
wanted_entry(void)
{
    const char *value = getenv(SOAK_VERSIONS);
    size_t i;

    for (i = 0; i < ENTRIES; i++) {
        if (value != NULL && strcmp(value, entries[i].name) == 0) {
            break;
        }
    }
    return i;
}

uint32_t
versions_next(void)
{
    static size_t starts;
    size_t wanted = wanted_entry();

    starts++;
    if (wanted < ENTRIES && entries[wanted].second) {
        return starts > runners_count() ? 2 : 1;
    }
    return soak_plays(SOAK_VERSIONS) ? 1 + (uint32_t)soak_chance(VERSIONS) : 1;
}

bool
versions_keep_id(void)
{
    size_t wanted = wanted_entry();

    if (wanted < ENTRIES) {
        return !entries[wanted].new_id;
    }
    return soak_plays(SOAK_VERSIONS) ? soak_chance(NEW_ID_IN) != 0
                                     : soak_chance(4) == 0;
}

int64_t
versions_entry_ms(void)
{
    size_t wanted = wanted_entry();

    if (!soak_plays(SOAK_VERSIONS)) {
        return 0;
    }
    if (wanted == ENTRIES) {
        wanted = soak_chance(ENTRIES);
    }
    return entries[wanted].least_ms +
           (int64_t)soak_chance(entries[wanted].spread_ms);
}

void
versions_restart(void)
{
    uint64_t wanted = 1 + soak_chance(3);

    while (wanted > 0) {
        runner_crash(soak_chance(runners_count() - SOAK_PLAIN),
                     soak_chance(2) == 0);
        wanted--;
    }
}

void
versions_taken_up(void)
{
    state.taken_up++;
}

static void
note_wait(const attempt_t *attempt, int64_t event)
{
    if (attempt->went_on_ms > 0 && attempt->went_on_event == event &&
        state.waits < WAITS_KEPT) {
        state.waits_ms[state.waits] = soak_now_ms() - attempt->went_on_ms;
        state.waits++;
    }
}

void
versions_event(caller_t *caller, int64_t event, const writer_t *writer)
{
    note_wait(ledger_attempt(caller->attempt), event);
    if (caller->event < 0) {
        state.streams++;
        caller->writer = *writer;
        (void)snprintf(caller->began, sizeof(caller->began), "%s",
                       caller->attempt);
    }
    else if (caller->taken_up) {
        state.went_on++;
    }
    if (writer->service != caller->writer.service && !caller->mixed) {
        caller->mixed = true;
        state.mixed++;
        soak_broken("order",
                    "%s, begun as %s: event %" PRId64 " of service %" PRIu32
                    " after %" PRIu32 ", %s at h%zu",
                    caller->attempt, caller->began, event, writer->service,
                    caller->writer.service,
                    caller->taken_up ? "taken up" : "in one response",
                    caller->host);
    }
    if (writer->version != caller->writer.version && !caller->mixed) {
        caller->mixed = true;
        state.mixed++;
        soak_broken(
            "order",
            "%s, begun as %s: event %" PRId64 " of v%" PRIu32 " (born %" PRId64
            ") after v%" PRIu32 " (born %" PRId64 "), %s at h%zu",
            caller->attempt, caller->began, event, writer->version,
            writer->born_ms, caller->writer.version, caller->writer.born_ms,
            caller->taken_up ? "taken up" : "in one response", caller->host);
    }
    caller->taken_up = false;
    caller->writer = *writer;
}

static int
compare(const void *one, const void *other)
{
    uint64_t one_ms = *(const uint64_t *)one;
    uint64_t other_ms = *(const uint64_t *)other;

    return (one_ms > other_ms) - (one_ms < other_ms);
}

static uint64_t
wait_ms(size_t percent)
{
    return state.waits > 0
               ? state.waits_ms[(state.waits - 1) * percent / PERCENT]
               : 0;
}

void
versions_report(void)
{
    if (!soak_plays(SOAK_VERSIONS) && !soak_plays(SOAK_SPLIT)) {
        return;
    }
    qsort(state.waits_ms, state.waits, sizeof(state.waits_ms[0]), compare);
    printf("versions: streams %" PRIu32 ", taken up %" PRIu32
           ", went on %" PRIu32 ", mixed %" PRIu32 "\n",
           state.streams, state.taken_up, state.went_on, state.mixed);
    printf("first event after going on: %zu, from runner to caller in "
           "%" PRIu64 " ms (median), %" PRIu64 " (95 in 100), %" PRIu64
           " (all)\n",
           state.waits, wait_ms(50), wait_ms(95), wait_ms(PERCENT));
}
