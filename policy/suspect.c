/* suspect.c - evaluates losses and blocks their causes; see suspect.h. */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/arena.h"
#include "policy/suspect_group.h"
#include "policy/suspect_private.h"

enum {
    US_PER_MS = 1000,
    WINDOW_MS = 1000,
    RETENTION_MS = 1800000,
    BLOCK_MS = 600000,
    LOSS_THRESHOLD = 3,
    CORRELATED_RUNNERS = 3,
};

const suspect_limits_t suspect_limits_default = {
    .window_us = (int64_t)WINDOW_MS * US_PER_MS,
    .retention_us = (int64_t)RETENTION_MS * US_PER_MS,
    .block_us = (int64_t)BLOCK_MS * US_PER_MS,
    .loss_threshold = LOSS_THRESHOLD,
    .correlated_runners = CORRELATED_RUNNERS,
};

#define RUN_TIME_MS_MAX INT64_C(0xffffffff)

/* Highest probability of a coincidence at which a fingerprint is blocked. */
static const double probability_max = 1e-6;
/* The next candidate's must be higher by more than this factor. */
static const double probability_ratio_min = 4;

static void update_due(suspects_t *suspects);
static void schedule_check(suspects_t *suspects, int64_t now_us);

suspects_t *
suspects_new(int64_t now_us, const suspect_limits_t *limits)
{
    suspects_t *suspects = xcalloc(1, sizeof(*suspects));

    suspects->limits = *limits;
    suspects->started_us = now_us;
    suspects->check_us = INT64_MAX;
    suspects->due_us = INT64_MAX;
    table_init(&suspects->table);
    STAILQ_INIT(&suspects->reports);
    STAILQ_INIT(&suspects->blocked);
    return suspects;
}

static bool
dequeue_report(struct report_list *list, suspect_report_t *report)
{
    queued_report_t *first = STAILQ_FIRST(list);

    if (first == NULL) {
        return false;
    }
    *report = first->report;
    STAILQ_REMOVE_HEAD(list, link);
    free(first);
    return true;
}

void
suspects_free(suspects_t *suspects)
{
    suspect_report_t report;

    if (suspects == NULL) {
        return;
    }
    table_clear(&suspects->table);
    while (dequeue_report(&suspects->reports, &report)) {
    }
    while (dequeue_report(&suspects->blocked, &report)) {
    }
    free(suspects);
}

static void
enqueue_report(struct report_list *list, suspect_report_t report)
{
    queued_report_t *queued = xcalloc(1, sizeof(*queued));

    queued->report = report;
    STAILQ_INSERT_TAIL(list, queued, link);
}

bool
suspects_next_report(suspects_t *suspects, suspect_report_t *report)
{
    return dequeue_report(&suspects->reports, report);
}

bool
suspects_next_blocked(suspects_t *suspects, uint64_t *fingerprint)
{
    suspect_report_t report;

    if (!dequeue_report(&suspects->blocked, &report)) {
        return false;
    }
    *fingerprint = report.fingerprint;
    return true;
}

static bool
has_completed(const suspects_t *suspects, uint64_t fingerprint)
{
    return suspects->completed[fingerprint % COMPLETED_SLOTS] == fingerprint;
}

static loss_t *
add_local_loss(suspects_t *suspects, int64_t now_us,
               const suspect_loss_t *lost)
{
    uint32_t runner = table_hash_name(lost->runner);
    loss_t *loss;

    loss = table_recent_loss(&suspects->table, runner, true,
                             now_us - suspects->limits.window_us + 1);
    if (loss != NULL && loss->pending) {
        return loss;
    }
    loss = table_add_loss(&suspects->table, runner, true, now_us);
    loss->zone = table_hash_name(lost->zone);
    loss->zone_runners = lost->zone_runners;
    return loss;
}

void
suspects_add_loss(suspects_t *suspects, int64_t now_us,
                  const suspect_loss_t *lost)
{
    loss_t *loss = add_local_loss(suspects, now_us, lost);
    size_t i;

    suspects->fleet_runners = lost->fleet_runners;
    for (i = 0; i < lost->count; i++) {
        if (!has_completed(suspects, lost->fingerprints[i])) {
            table_add_presence(&suspects->table, loss, lost->fingerprints[i],
                               lost->run_time_us[i]);
        }
    }
    update_due(suspects);
}

/* A report's loss holds the hash of the runner and the run time in ms. */
static void
report_loss(suspects_t *suspects, const loss_t *loss, uint64_t fingerprint)
{
    int64_t ran_ms;

    if (!loss->local || has_completed(suspects, fingerprint)) {
        return;
    }
    ran_ms =
        table_run_time_us(&suspects->table, loss, fingerprint) / US_PER_MS;
    if (ran_ms > RUN_TIME_MS_MAX) {
        ran_ms = RUN_TIME_MS_MAX;
    }
    enqueue_report(&suspects->reports,
                   (suspect_report_t){.fingerprint = fingerprint,
                                      .loss = (uint64_t)loss->runner
                                                  << REPORT_RUNNER_SHIFT |
                                              (uint64_t)ran_ms});
}

/* Whether enough runners of the group were lost only by peers. */
static bool
lost_elsewhere(const suspects_t *suspects, const loss_group_t *group)
{
    int64_t since_us =
        group->first->at_us - MATCH_WINDOWS * suspects->limits.window_us;
    const loss_t *loss;
    uint32_t count = 0;

    for (loss = group->first; loss != NULL; loss = TAILQ_NEXT(loss, link)) {
        if (group_contains(group, loss) &&
            table_recent_loss(&suspects->table, loss->runner, true,
                              since_us) == NULL) {
            count++;
        }
    }
    return count >= suspects->limits.correlated_runners;
}

/*
 * Marks the group as correlated.  If this host did not observe enough of its
 * losses, recent local losses are part of the same event and marked too.
 */
static void
discount_reported_group(suspects_t *suspects, const loss_group_t *group)
{
    int64_t since_us =
        group->first->at_us - REPORT_LAG_WINDOWS * suspects->limits.window_us;
    bool elsewhere = lost_elsewhere(suspects, group);
    loss_t *loss;

    TAILQ_FOREACH(loss, &suspects->table.losses, link)
    {
        if (group_contains(group, loss) ||
            (elsewhere && loss->local && loss->at_us >= since_us)) {
            loss->correlated = true;
        }
    }
}

/*
 * Replaces the losses of the group by one, which counts only against
 * fingerprints that were present at all of them.
 */
static void
merge_correlated_group(suspects_t *suspects, const loss_group_t *group)
{
    int64_t match_us = MATCH_WINDOWS * suspects->limits.window_us;
    const loss_t *first = group->first;
    uint32_t runner = first->runner;
    loss_t *loss;
    size_t i;

    for (loss = group->first; loss != NULL; loss = TAILQ_NEXT(loss, link)) {
        if (group_contains(group, loss)) {
            table_mark_loss(&suspects->table, loss, match_us, true);
        }
    }
    loss = table_add_loss(&suspects->table, runner, true, first->at_us);
    loss->pending = false;
    for (i = 0; i < first->count; i++) {
        if (group_present_on_all(group, first->fingerprints[i])) {
            table_add_presence(&suspects->table, loss, first->fingerprints[i],
                               table_run_time_us(&suspects->table, first,
                                                 first->fingerprints[i]));
            report_loss(suspects, loss, first->fingerprints[i]);
        }
    }
}

static void
evaluate_group(suspects_t *suspects, loss_t *first, int64_t now_us)
{
    loss_group_t group =
        group_build(&suspects->table, first, suspects->limits.window_us,
                    suspects->limits.correlated_runners);
    loss_t *loss;
    size_t i;

    if (group.correlated && first->local) {
        merge_correlated_group(suspects, &group);
    }
    else if (group.correlated) {
        discount_reported_group(suspects, &group);
    }
    for (loss = first; loss != NULL; loss = TAILQ_NEXT(loss, link)) {
        if (!group_contains(&group, loss) || loss == first) {
            continue;
        }
        for (i = 0; i < loss->count && !loss->correlated; i++) {
            report_loss(suspects, loss, loss->fingerprints[i]);
        }
        loss->pending = false;
    }
    for (i = 0; i < first->count && !first->correlated; i++) {
        report_loss(suspects, first, first->fingerprints[i]);
    }
    first->pending = false;
    schedule_check(suspects, now_us);
}

static void
block_fingerprint(suspects_t *suspects, suspect_entry_t *entry, int64_t now_us)
{
    const suspect_report_t report = {.fingerprint = entry->fingerprint,
                                     .is_blocked = true};

    entry->blocked_until_us = now_us + suspects->limits.block_us;
    table_mark_explained(&suspects->table, entry,
                         MATCH_WINDOWS * suspects->limits.window_us);
    entry->serial_count = 0;
    enqueue_report(&suspects->blocked, report);
}

/*
 * Whether another fingerprint was present at all losses of the cause.  Either
 * may have caused them, whatever their run times.
 */
static bool
is_indistinguishable(const suspects_t *suspects, const suspect_entry_t *cause)
{
    const suspect_table_t *table = &suspects->table;
    const suspect_entry_t *other;
    uint32_t count = table_runner_count(table, cause, false);

    for (other = table->entries; other != NULL; other = other->hh.next) {
        if (other != cause &&
            table_shared_count(table, cause, other,
                               MATCH_WINDOWS * suspects->limits.window_us) >=
                count) {
            return true;
        }
    }
    return false;
}

/* Losses before this host started are unknown and taken as none. */
static int64_t
observed_time_us(const suspects_t *suspects, int64_t now_us)
{
    int64_t observed_us = now_us - suspects->started_us;

    if (observed_us > suspects->limits.retention_us) {
        return suspects->limits.retention_us;
    }
    return observed_us;
}

/*
 * Returns the entry whose presence at its losses is least likely to be a
 * coincidence, or NULL.  If another entry is nearly as unlikely, either may be
 * unrelated; the next loss tells them apart.
 */
static suspect_entry_t *
find_cause(const suspects_t *suspects, int64_t now_us)
{
    const suspect_limits_t *limits = &suspects->limits;
    const suspect_table_t *table = &suspects->table;
    int64_t observed_us = observed_time_us(suspects, now_us);
    suspect_entry_t *cause = NULL;
    suspect_entry_t *entry;
    double lowest = probability_max;
    double second = 1;
    double probability;

    for (entry = table->entries; entry != NULL; entry = entry->hh.next) {
        if (table_runner_count(table, entry, false) < limits->loss_threshold) {
            continue;
        }
        probability = table_coincidence_probability(
            table, entry, suspects->fleet_runners, observed_us,
            MATCH_WINDOWS * limits->window_us);
        if (probability <= lowest) {
            second = cause == NULL ? second : lowest;
            lowest = probability;
            cause = entry;
        }
        else if (probability < second) {
            second = probability;
        }
    }
    /* Only a host that lost runners with it knows its total run time. */
    if (cause == NULL || second <= lowest * probability_ratio_min ||
        !table_has_local_loss(table, cause) ||
        is_indistinguishable(suspects, cause)) {
        return NULL;
    }
    return cause;
}

static void
block_causes(suspects_t *suspects, int64_t now_us)
{
    suspect_entry_t *cause;

    suspects->check_us = INT64_MAX;
    while ((cause = find_cause(suspects, now_us)) != NULL) {
        block_fingerprint(suspects, cause, now_us);
        enqueue_report(&suspects->reports,
                       (suspect_report_t){.fingerprint = cause->fingerprint,
                                          .is_blocked = true});
    }
}

static void
remove_expired(suspects_t *suspects, int64_t now_us)
{
    loss_t *loss = TAILQ_FIRST(&suspects->table.losses);
    suspect_entry_t *entry;
    suspect_entry_t *next;

    if (loss == NULL || loss->at_us + suspects->limits.retention_us > now_us) {
        return;
    }
    table_remove_loss(&suspects->table, loss);
    HASH_ITER(hh, suspects->table.entries, entry, next)
    {
        if (entry->blocked_until_us <= now_us &&
            table_runner_count(&suspects->table, entry, true) == 0) {
            table_remove_entry(&suspects->table, entry);
        }
    }
}

void
suspects_step(suspects_t *suspects, int64_t now_us)
{
    loss_t *loss;
    loss_t *next;

    if (now_us < suspects->due_us) {
        return;
    }
    for (loss = TAILQ_FIRST(&suspects->table.losses); loss != NULL;
         loss = next) {
        next = TAILQ_NEXT(loss, link);
        if (loss->pending &&
            loss->at_us + suspects->limits.window_us <= now_us) {
            evaluate_group(suspects, loss, now_us);
        }
    }
    if (now_us >= suspects->check_us) {
        block_causes(suspects, now_us);
    }
    remove_expired(suspects, now_us);
    update_due(suspects);
}

static void
mark_completed(suspects_t *suspects, uint64_t fingerprint)
{
    suspect_entry_t *entry = table_find_entry(&suspects->table, fingerprint);

    suspects->completed[fingerprint % COMPLETED_SLOTS] = fingerprint;
    if (entry != NULL) {
        table_remove_entry(&suspects->table, entry);
    }
}

void
suspects_clear(suspects_t *suspects, uint64_t fingerprint)
{
    const suspect_entry_t *entry =
        table_find_entry(&suspects->table, fingerprint);

    /* Pending losses have not been reported. */
    if (entry != NULL &&
        (entry->blocked_until_us != 0 ||
         table_runner_count(&suspects->table, entry, false) > 0)) {
        enqueue_report(
            &suspects->reports,
            (suspect_report_t){.fingerprint = fingerprint, .withdrawn = true});
    }
    mark_completed(suspects, fingerprint);
}

static void
handle_loss_report(suspects_t *suspects, int64_t now_us,
                   const suspect_report_t *report)
{
    uint32_t runner = (uint32_t)(report->loss >> REPORT_RUNNER_SHIFT);
    int64_t match_us = MATCH_WINDOWS * suspects->limits.window_us;
    loss_t *loss;

    if (has_completed(suspects, report->fingerprint)) {
        enqueue_report(&suspects->reports,
                       (suspect_report_t){.fingerprint = report->fingerprint,
                                          .withdrawn = true});
        return;
    }
    loss =
        table_recent_loss(&suspects->table, runner, false, now_us - match_us);
    if (loss == NULL) {
        loss = table_add_loss(&suspects->table, runner, false, now_us);
    }
    table_add_presence(&suspects->table, loss, report->fingerprint,
                       (int64_t)(report->loss & RUN_TIME_MS_MAX) * US_PER_MS);
    schedule_check(suspects, now_us);
}

void
suspects_handle_report(suspects_t *suspects, int64_t now_us,
                       const suspect_report_t *report)
{
    suspect_entry_t *entry;

    if (report->withdrawn) {
        mark_completed(suspects, report->fingerprint);
    }
    else if (report->is_blocked) {
        entry = table_ensure_entry(&suspects->table, report->fingerprint);
        block_fingerprint(suspects, entry, now_us);
    }
    else {
        handle_loss_report(suspects, now_us, report);
    }
    update_due(suspects);
}

/* Waits for peers' reports of the same loss. */
static void
schedule_check(suspects_t *suspects, int64_t now_us)
{
    int64_t at_us = now_us + suspects->limits.window_us / BLOCK_DELAY_DIVISOR;

    if (suspects->check_us > at_us) {
        suspects->check_us = at_us;
    }
}

static void
update_due(suspects_t *suspects)
{
    const loss_t *loss = TAILQ_FIRST(&suspects->table.losses);

    suspects->due_us = suspects->check_us;
    if (loss != NULL &&
        loss->at_us + suspects->limits.retention_us < suspects->due_us) {
        suspects->due_us = loss->at_us + suspects->limits.retention_us;
    }
    for (; loss != NULL; loss = TAILQ_NEXT(loss, link)) {
        if (loss->pending &&
            loss->at_us + suspects->limits.window_us < suspects->due_us) {
            suspects->due_us = loss->at_us + suspects->limits.window_us;
        }
    }
}

int64_t
suspects_due_us(const suspects_t *suspects)
{
    return suspects->due_us;
}
