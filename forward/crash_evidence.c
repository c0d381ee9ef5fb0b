/* crash_evidence.c - see crash_evidence.h. */
#include <stdlib.h>

#include "forward/crash_evidence.h"

enum {
    US_PER_MS = 1000,
    /* Other runners that crash with one by one cause: of its zone, or of any
     * zone. */
    CORRELATED_IN_ZONE = 2,
    CORRELATED_RUNNERS = 3,
};

/* Runners that fail together are lost so close to each other: some with a
 * reset, others only when a probe is not answered. */
#define CORRELATED_US ((int64_t)330000)
/* Shorter observation times count as this long. */
#define OBSERVED_MIN_US ((int64_t)60000000)

/* Highest probability of a coincidence that counts as unlikely. */
static const double probability_max = 1e-6;

/* Whether the request was on a runner that crashed at this time. */
static bool
includes_loss(const crash_entry_t *entry, const crash_loss_t *loss)
{
    size_t i;

    for (i = 0; i < entry->count; i++) {
        if (entry->records[i].shared.runner == loss->runner &&
            llabs(entry->records[i].at_us - loss->at_us) <= CRASH_SAME_US) {
            return true;
        }
    }
    return false;
}

/* Returns the index of the oldest loss in the ring buffer. */
static uint64_t
first_loss(const crash_losses_t *losses)
{
    return losses->count > CRASH_LOSSES_MAX ? losses->count - CRASH_LOSSES_MAX
                                            : 0;
}

void
crash_losses_add(crash_losses_t *losses, const crash_entry_record_t *record)
{
    uint64_t i;

    for (i = losses->count; i > first_loss(losses); i--) {
        const crash_loss_t *loss = &losses->ring[(i - 1) % CRASH_LOSSES_MAX];

        if (loss->runner == record->shared.runner &&
            llabs(loss->at_us - record->at_us) <= CRASH_SAME_US) {
            return;
        }
    }
    losses->ring[losses->count % CRASH_LOSSES_MAX] =
        (crash_loss_t){.runner = record->shared.runner,
                       .zone = record->shared.zone,
                       .at_us = record->at_us};
    losses->count++;
}

/*
 * Whether other runners crashed at the time of the record without the request.
 * All of them may have had one cause, such as the failure of a zone, or of the
 * network of the host that saw them.
 */
static bool
is_correlated(const crash_losses_t *losses, const crash_entry_t *entry,
              const crash_entry_record_t *record)
{
    uint32_t in_zone = 0;
    uint32_t count = 0;
    uint64_t i;

    for (i = first_loss(losses); i < losses->count; i++) {
        const crash_loss_t *loss = &losses->ring[i % CRASH_LOSSES_MAX];

        if (llabs(loss->at_us - record->at_us) <= CORRELATED_US &&
            !includes_loss(entry, loss)) {
            in_zone += loss->zone == record->shared.zone ? 1 : 0;
            count++;
        }
    }
    return in_zone >= CORRELATED_IN_ZONE || count >= CORRELATED_RUNNERS;
}

/* Whether the run was in progress when an earlier one crashed, shortly before.
 * Both crashes may have had one cause. */
static bool
was_simultaneous(const crash_entry_t *entry, size_t index)
{
    const crash_entry_record_t *record = &entry->records[index];
    size_t i;

    for (i = 0; i < index; i++) {
        int64_t gap_us = llabs(record->at_us - entry->records[i].at_us);

        if (gap_us <= CORRELATED_US &&
            gap_us < (int64_t)record->shared.run_time_ms * US_PER_MS) {
            return true;
        }
    }
    return false;
}

/* Returns the crashes without the request, and since when they are known. */
static uint32_t
count_unrelated(const crash_losses_t *losses, const crash_entry_t *entry,
                int64_t *since_us)
{
    uint64_t first = first_loss(losses);
    uint32_t count = 0;
    uint64_t i;

    *since_us = first > 0 ? losses->ring[first % CRASH_LOSSES_MAX].at_us
                          : losses->started_us;
    for (i = first; i < losses->count; i++) {
        count +=
            includes_loss(entry, &losses->ring[i % CRASH_LOSSES_MAX]) ? 0 : 1;
    }
    return count;
}

bool
crash_is_unlikely(const crash_losses_t *losses, const crash_entry_t *entry,
                  uint32_t observer, uint32_t count_min, int64_t since_us,
                  int64_t now_us)
{
    int64_t known_since_us;
    double unrelated = count_unrelated(losses, entry, &known_since_us);
    double observed_us = (double)(now_us - known_since_us);
    double rate = (1 + unrelated) / (observed_us > (double)OBSERVED_MIN_US
                                         ? observed_us
                                         : (double)OBSERVED_MIN_US);
    double run_time_us = 0;
    double probability = 1;
    uint32_t count = 0;
    uint32_t k;
    size_t i;

    if (observed_us > 0 && unrelated > rate * observed_us) {
        rate = unrelated / observed_us;
    }
    for (i = 0; i < entry->count; i++) {
        const crash_record_t *record = &entry->records[i].shared;

        if (observer == 0 || record->observer == observer) {
            run_time_us += (double)record->run_time_ms * US_PER_MS;
        }
        if (crash_entry_is_counted(entry, i, observer, since_us) &&
            !was_simultaneous(entry, i) &&
            !is_correlated(losses, entry, &entry->records[i])) {
            count++;
        }
    }
    if (count < count_min || entry->fleet_runners == 0) {
        return false;
    }
    for (k = 1; k <= count; k++) {
        probability *= rate * run_time_us / entry->fleet_runners / k;
    }
    return probability <= probability_max;
}
