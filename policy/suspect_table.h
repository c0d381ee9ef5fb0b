/*
 * suspect_table.h - table of runner losses and of the requests present at
 * them.
 *
 * A loss has a serial number.  Each suspect entry lists the serial numbers of
 * the losses at which its fingerprint was running on the lost runner.  A
 * serial number whose loss has been removed is ignored.
 */
#ifndef POLICY_SUSPECT_TABLE_H
#define POLICY_SUSPECT_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include <uthash.h>

enum { ENTRY_LOSSES_MAX = 8 };

typedef struct loss {
    uint64_t serial;
    uint32_t runner; /* hash of its name */
    uint32_t zone;   /* hash of its name; 0 if reported by a peer */
    uint32_t zone_runners;
    int64_t at_us;
    bool local;      /* observed by this host, not reported by a peer */
    bool pending;    /* not evaluated yet */
    bool correlated; /* one of several at once: not counted */
    bool explained;  /* caused by a blocked fingerprint: not counted */
    uint64_t *fingerprints;
    size_t count;
    TAILQ_ENTRY(loss) link;
    UT_hash_handle hh;
} loss_t;
TAILQ_HEAD(loss_list, loss);

typedef struct suspect_entry {
    uint64_t fingerprint;
    uint64_t serials[ENTRY_LOSSES_MAX]; /* oldest first */
    int64_t
        run_time_us[ENTRY_LOSSES_MAX]; /* on that runner until it was lost */
    size_t serial_count;
    int64_t blocked_until_us; /* 0: never blocked */
    UT_hash_handle hh;
} suspect_entry_t;

typedef struct {
    struct loss_list losses; /* oldest first */
    loss_t *by_serial;
    suspect_entry_t *entries;
    uint64_t serial;
} suspect_table_t;

void table_init(suspect_table_t *table);
void table_clear(suspect_table_t *table);

/*
 * Returns the newest local or reported loss of the runner since since_us, or
 * NULL.
 */
loss_t *table_recent_loss(const suspect_table_t *table, uint32_t runner,
                          bool local, int64_t since_us);

/* Returns the loss with this serial number, or NULL if it was removed. */
loss_t *table_find_loss(const suspect_table_t *table, uint64_t serial);

/* Adds a pending loss. */
loss_t *table_add_loss(suspect_table_t *table, uint32_t runner, bool local,
                       int64_t now_us);
void table_remove_loss(suspect_table_t *table, loss_t *loss);

/*
 * Records that the fingerprint had been running on the runner for run_time_us
 * when it was lost.  Does nothing if that is recorded already.
 */
void table_add_presence(suspect_table_t *table, loss_t *loss,
                        uint64_t fingerprint, int64_t run_time_us);

bool loss_includes(const loss_t *loss, uint64_t fingerprint);

/* Returns how long the fingerprint had run there when it was lost. */
int64_t table_run_time_us(const suspect_table_t *table, const loss_t *loss,
                          uint64_t fingerprint);

/* Returns the hash that identifies a runner or zone. */
uint32_t table_hash_name(const char *name);

/* Returns whether a loss of this runner counts against the entry. */
bool table_lost_on(const suspect_table_t *table, const suspect_entry_t *entry,
                   uint32_t runner);

suspect_entry_t *table_ensure_entry(suspect_table_t *table,
                                    uint64_t fingerprint);
suspect_entry_t *table_find_entry(const suspect_table_t *table,
                                  uint64_t fingerprint);
void table_remove_entry(suspect_table_t *table, suspect_entry_t *entry);

/*
 * Returns the number of different runners among the entry's losses, without
 * correlated and explained ones.
 */
uint32_t table_runner_count(const suspect_table_t *table,
                            const suspect_entry_t *entry,
                            bool include_pending);

/*
 * Returns the probability that a request unrelated to the losses would be
 * present at as many of them: that of as many events during its run time, at
 * the rate per runner of the losses without it.  The rate is taken over
 * observed_us; or with one more loss and over at least a minute, if that
 * gives a higher rate.  Returns 1 if fleet_runners is 0, because this host
 * has not observed any loss.
 */
double table_coincidence_probability(const suspect_table_t *table,
                                     const suspect_entry_t *entry,
                                     uint32_t fleet_runners,
                                     int64_t observed_us, int64_t match_us);

/* Returns whether this host observed a loss that counts against it. */
bool table_has_local_loss(const suspect_table_t *table,
                          const suspect_entry_t *entry);

/*
 * Returns the number of evaluated losses of one at which the other was
 * present too.
 */
uint32_t table_shared_count(const suspect_table_t *table,
                            const suspect_entry_t *one,
                            const suspect_entry_t *other, int64_t match_us);

/* Returns the number of its local losses that are pending. */
uint32_t table_pending_count(const suspect_table_t *table,
                             const suspect_entry_t *entry);

/*
 * Marks a loss as correlated or as explained.  A loss that this host observed
 * and peers reported has several records, so all losses of the same runner
 * within match_us are marked.
 */
void table_mark_loss(suspect_table_t *table, const loss_t *reference,
                     int64_t match_us, bool correlated);

/* Marks the losses of a blocked fingerprint as explained. */
void table_mark_explained(suspect_table_t *table, const suspect_entry_t *entry,
                          int64_t match_us);

#endif
