/* suspect_table.c - table of runner losses; see suspect_table.h. */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/arena.h"
#include "policy/suspect_table.h"

/* Shorter observation times count as this long. */
#define OBSERVED_MIN_US INT64_C(60000000)

void
table_init(suspect_table_t *table)
{
    memset(table, 0, sizeof(*table));
    TAILQ_INIT(&table->losses);
}

static void
free_loss(loss_t *loss)
{
    free(loss->fingerprints);
    free(loss);
}

void
table_clear(suspect_table_t *table)
{
    suspect_entry_t *entry = table->entries;
    loss_t *loss = TAILQ_FIRST(&table->losses);
    suspect_entry_t *next;
    loss_t *next_loss;

    HASH_CLEAR(hh, table->entries);
    HASH_CLEAR(hh, table->by_serial);
    for (; entry != NULL; entry = next) {
        next = entry->hh.next;
        free(entry);
    }
    for (; loss != NULL; loss = next_loss) {
        next_loss = TAILQ_NEXT(loss, link);
        free_loss(loss);
    }
    TAILQ_INIT(&table->losses);
}

loss_t *
table_find_loss(const suspect_table_t *table, uint64_t serial)
{
    loss_t *loss;

    HASH_FIND(hh, table->by_serial, &serial, sizeof(serial), loss);
    return loss;
}

loss_t *
table_recent_loss(const suspect_table_t *table, uint32_t runner, bool local,
                  int64_t since_us)
{
    loss_t *loss;

    TAILQ_FOREACH_REVERSE(loss, &table->losses, loss_list, link)
    {
        if (loss->at_us < since_us) {
            break;
        }
        if (loss->runner == runner && loss->local == local) {
            return loss;
        }
    }
    return NULL;
}

loss_t *
table_add_loss(suspect_table_t *table, uint32_t runner, bool local,
               int64_t now_us)
{
    loss_t *loss;

    loss = xcalloc(1, sizeof(*loss));
    loss->serial = ++table->serial;
    loss->runner = runner;
    loss->local = local;
    loss->at_us = now_us;
    loss->pending = true;
    TAILQ_INSERT_TAIL(&table->losses, loss, link);
    HASH_ADD(hh, table->by_serial, serial, sizeof(loss->serial), loss);
    return loss;
}

void
table_remove_loss(suspect_table_t *table, loss_t *loss)
{
    TAILQ_REMOVE(&table->losses, loss, link);
    HASH_DEL(table->by_serial, loss);
    free_loss(loss);
}

suspect_entry_t *
table_find_entry(const suspect_table_t *table, uint64_t fingerprint)
{
    suspect_entry_t *entry;

    HASH_FIND(hh, table->entries, &fingerprint, sizeof(fingerprint), entry);
    return entry;
}

void
table_remove_entry(suspect_table_t *table, suspect_entry_t *entry)
{
    HASH_DEL(table->entries, entry);
    free(entry);
}

suspect_entry_t *
table_ensure_entry(suspect_table_t *table, uint64_t fingerprint)
{
    suspect_entry_t *entry = table_find_entry(table, fingerprint);

    if (entry != NULL) {
        return entry;
    }
    entry = xcalloc(1, sizeof(*entry));
    entry->fingerprint = fingerprint;
    HASH_ADD(hh, table->entries, fingerprint, sizeof(entry->fingerprint),
             entry);
    return entry;
}

bool
loss_includes(const loss_t *loss, uint64_t fingerprint)
{
    size_t i;

    for (i = 0; i < loss->count; i++) {
        if (loss->fingerprints[i] == fingerprint) {
            return true;
        }
    }
    return false;
}

static void
drop_oldest_serial(suspect_entry_t *entry)
{
    size_t kept = ENTRY_LOSSES_MAX - 1;

    memmove(entry->serials, entry->serials + 1,
            kept * sizeof(entry->serials[0]));
    memmove(entry->run_time_us, entry->run_time_us + 1,
            kept * sizeof(entry->run_time_us[0]));
    entry->serial_count = kept;
}

void
table_add_presence(suspect_table_t *table, loss_t *loss, uint64_t fingerprint,
                   int64_t run_time_us)
{
    suspect_entry_t *entry;

    if (loss_includes(loss, fingerprint)) {
        return;
    }
    loss->fingerprints = xrealloc(loss->fingerprints, loss->count + 1,
                                  sizeof(*loss->fingerprints));
    loss->fingerprints[loss->count++] = fingerprint;
    entry = table_ensure_entry(table, fingerprint);
    if (entry->serial_count == ENTRY_LOSSES_MAX) {
        drop_oldest_serial(entry);
    }
    entry->serials[entry->serial_count] = loss->serial;
    entry->run_time_us[entry->serial_count] = run_time_us;
    entry->serial_count++;
}

static bool
is_counted(const loss_t *loss, bool include_pending)
{
    if (loss == NULL || loss->correlated || loss->explained) {
        return false;
    }
    return include_pending || !loss->pending;
}

uint32_t
table_runner_count(const suspect_table_t *table, const suspect_entry_t *entry,
                   bool include_pending)
{
    uint32_t runners[ENTRY_LOSSES_MAX];
    uint32_t count = 0;
    uint32_t k;
    size_t i;

    for (i = 0; i < entry->serial_count; i++) {
        const loss_t *loss = table_find_loss(table, entry->serials[i]);

        if (!is_counted(loss, include_pending)) {
            continue;
        }
        for (k = 0; k < count && runners[k] != loss->runner; k++) {
        }
        if (k == count) {
            runners[count++] = loss->runner;
        }
    }
    return count;
}

uint32_t
table_hash_name(const char *name)
{
    return (uint32_t)XXH3_64bits(name, strlen(name));
}

bool
table_lost_on(const suspect_table_t *table, const suspect_entry_t *entry,
              uint32_t runner)
{
    size_t i;

    for (i = 0; i < entry->serial_count; i++) {
        const loss_t *loss = table_find_loss(table, entry->serials[i]);

        if (is_counted(loss, true) && loss->runner == runner) {
            return true;
        }
    }
    return false;
}

/* Whether an earlier record in the list is of the same loss. */
static bool
is_duplicate(const loss_t *loss, int64_t match_us)
{
    const loss_t *other = loss;

    while ((other = TAILQ_PREV(other, loss_list, link)) != NULL &&
           other->at_us >= loss->at_us - match_us) {
        if (other->runner == loss->runner) {
            return true;
        }
    }
    return false;
}

/* Counts the losses at which the fingerprint was not present. */
static uint32_t
count_losses_without(const suspect_table_t *table, uint64_t fingerprint,
                     int64_t match_us)
{
    const loss_t *loss;
    uint32_t count = 0;

    TAILQ_FOREACH(loss, &table->losses, link)
    {
        if (is_counted(loss, true) && !loss_includes(loss, fingerprint) &&
            !is_duplicate(loss, match_us)) {
            count++;
        }
    }
    return count;
}

/* Includes the run time up to losses that do not count. */
static int64_t
total_run_time_us(const suspect_entry_t *entry)
{
    int64_t sum_us = 0;
    size_t i;

    for (i = 0; i < entry->serial_count; i++) {
        sum_us += entry->run_time_us[i];
    }
    return sum_us;
}

int64_t
table_run_time_us(const suspect_table_t *table, const loss_t *loss,
                  uint64_t fingerprint)
{
    const suspect_entry_t *entry = table_find_entry(table, fingerprint);
    size_t i;

    for (i = 0; entry != NULL && i < entry->serial_count; i++) {
        if (entry->serials[i] == loss->serial) {
            return entry->run_time_us[i];
        }
    }
    return 0;
}

double
table_coincidence_probability(const suspect_table_t *table,
                              const suspect_entry_t *entry,
                              uint32_t fleet_runners, int64_t observed_us,
                              int64_t match_us)
{
    uint32_t losses = table_runner_count(table, entry, false);
    double run_time_us = (double)total_run_time_us(entry);
    double unrelated =
        (double)count_losses_without(table, entry->fingerprint, match_us);
    double baseline_us =
        (double)(observed_us > OBSERVED_MIN_US ? observed_us
                                               : OBSERVED_MIN_US);
    double rate;
    double expected;
    double probability = 1;
    uint32_t i;

    if (fleet_runners == 0 || observed_us <= 0) {
        return 1;
    }
    rate = (1 + unrelated) / baseline_us;
    if (unrelated / (double)observed_us > rate) {
        rate = unrelated / (double)observed_us;
    }
    expected = rate * run_time_us / fleet_runners;
    for (i = 1; i <= losses; i++) {
        probability *= expected / i;
    }
    return probability;
}

bool
table_has_local_loss(const suspect_table_t *table,
                     const suspect_entry_t *entry)
{
    size_t i;

    for (i = 0; i < entry->serial_count; i++) {
        const loss_t *loss = table_find_loss(table, entry->serials[i]);

        if (is_counted(loss, false) && loss->local) {
            return true;
        }
    }
    return false;
}

static bool
was_present(const suspect_table_t *table, const suspect_entry_t *entry,
            const loss_t *reference, int64_t match_us)
{
    size_t i;

    for (i = 0; i < entry->serial_count; i++) {
        const loss_t *loss = table_find_loss(table, entry->serials[i]);

        if (is_counted(loss, true) && loss->runner == reference->runner &&
            loss->at_us >= reference->at_us - match_us &&
            loss->at_us <= reference->at_us + match_us) {
            return true;
        }
    }
    return false;
}

uint32_t
table_shared_count(const suspect_table_t *table, const suspect_entry_t *one,
                   const suspect_entry_t *other, int64_t match_us)
{
    uint32_t shared = 0;
    size_t i;

    for (i = 0; i < one->serial_count; i++) {
        const loss_t *loss = table_find_loss(table, one->serials[i]);

        if (is_counted(loss, false) &&
            was_present(table, other, loss, match_us)) {
            shared++;
        }
    }
    return shared;
}

uint32_t
table_pending_count(const suspect_table_t *table, const suspect_entry_t *entry)
{
    uint32_t count = 0;
    size_t i;

    for (i = 0; i < entry->serial_count; i++) {
        const loss_t *loss = table_find_loss(table, entry->serials[i]);

        if (loss != NULL && loss->pending && loss->local) {
            count++;
        }
    }
    return count;
}

void
table_mark_explained(suspect_table_t *table, const suspect_entry_t *entry,
                     int64_t match_us)
{
    size_t i;

    for (i = 0; i < entry->serial_count; i++) {
        const loss_t *loss = table_find_loss(table, entry->serials[i]);

        if (loss != NULL && !loss->correlated) {
            table_mark_loss(table, loss, match_us, false);
        }
    }
}

void
table_mark_loss(suspect_table_t *table, const loss_t *reference,
                int64_t match_us, bool correlated)
{
    loss_t *loss;

    TAILQ_FOREACH(loss, &table->losses, link)
    {
        if (loss->runner != reference->runner ||
            loss->at_us < reference->at_us - match_us ||
            loss->at_us > reference->at_us + match_us) {
            continue;
        }
        if (correlated) {
            loss->correlated = true;
        }
        else {
            loss->explained = true;
        }
    }
}
