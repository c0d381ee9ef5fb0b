/*
 * suspect_book.h - the losses and the fingerprints that suspect.c judges.
 *
 * A loss is known by a serial number; a suspect lists the serials of the
 * losses that it was present at.  Forgetting a loss takes it off them all.
 */
#ifndef POLICY_SUSPECT_BOOK_H
#define POLICY_SUSPECT_BOOK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include <uthash.h>

enum { SUSPECT_SERIALS = 8 };

typedef struct loss {
    uint64_t serial;
    uint32_t runner; /* hash of its name */
    uint32_t zone;   /* hash of its name; 0 where told by a peer */
    uint32_t zone_runners;
    int64_t at_us;
    bool own;     /* seen by this host, not told */
    bool pending; /* not judged yet */
    bool common;  /* others fell with it: it accuses nobody */
    bool explained;
    uint64_t *fingerprints;
    size_t count;
    TAILQ_ENTRY(loss) link;
    UT_hash_handle hh;
} loss_t;
TAILQ_HEAD(loss_list, loss);

typedef struct accused {
    uint64_t fingerprint;
    uint64_t serials[SUSPECT_SERIALS]; /* oldest first */
    int64_t ran_us[SUSPECT_SERIALS];   /* on the runner until then */
    size_t serial_count;
    int64_t convicted_until_us; /* 0: not convicted */
    UT_hash_handle hh;
} accused_t;

typedef struct {
    struct loss_list losses; /* oldest first */
    loss_t *by_serial;
    accused_t *accused;
    uint64_t serial;
} suspect_book_t;

void book_init(suspect_book_t *book);
void book_clear(suspect_book_t *book);

/* The newest loss of this runner since then, of this witness, or NULL. */
loss_t *book_loss(const suspect_book_t *book, uint32_t runner, bool own,
                  int64_t since_us);

/* The loss of this serial number, or NULL when it is forgotten. */
loss_t *book_serial(const suspect_book_t *book, uint64_t serial);

/* A new loss, pending. */
loss_t *book_add_loss(suspect_book_t *book, uint32_t runner, bool own,
                      int64_t now_us);
void book_forget_loss(suspect_book_t *book, loss_t *loss);

/* Puts the fingerprint, that had run there so long, on the loss, once. */
void book_accuse(suspect_book_t *book, loss_t *loss, uint64_t fingerprint,
                 int64_t ran_us);

bool loss_has(const loss_t *loss, uint64_t fingerprint);

/* How long the fingerprint had run when the runner was lost. */
int64_t book_ran_us(const suspect_book_t *book, const loss_t *loss,
                    uint64_t fingerprint);

/* The hash by which runners and zones are known. */
uint32_t book_hash(const char *name);

/* Whether a loss of this runner counts against the accused. */
bool book_was_on(const suspect_book_t *book, const accused_t *accused,
                 uint32_t runner);

accused_t *book_add(suspect_book_t *book, uint64_t fingerprint);
accused_t *book_find(const suspect_book_t *book, uint64_t fingerprint);
void book_forget(suspect_book_t *book, accused_t *accused);

/* Different runners of its losses that count; pending ones if asked for. */
uint32_t book_count(const suspect_book_t *book, const accused_t *accused,
                    bool pending);

/*
 * The chance that an innocent request would be present at so many losses:
 * that of so many events in the time that it ran, at the rate at which
 * runners were lost without it in the last watched_us, or one more in a
 * minute where that is more.  1 when this host itself saw none of its losses.
 */
double book_chance(const suspect_book_t *book, const accused_t *accused,
                   uint32_t fleet_runners, int64_t watched_us,
                   int64_t near_us);

/* Whether this host saw a loss that counts against it. */
bool book_is_own(const suspect_book_t *book, const accused_t *accused);

/* Losses of the one that the other was at too, be they judged or not. */
uint32_t book_shared(const suspect_book_t *book, const accused_t *one,
                     const accused_t *other, int64_t near_us);

/* Runners of its losses that are not judged yet. */
uint32_t book_pending(const suspect_book_t *book, const accused_t *accused);

/*
 * What this host saw and what peers told of one loss are noted apart.
 * Marks all that is noted of the same runner within near_us as common, or
 * as explained.
 */
void book_mark(suspect_book_t *book, const loss_t *like, int64_t near_us,
               bool common);

/* Marks the losses of a convicted fingerprint as explained. */
void book_explain(suspect_book_t *book, const accused_t *accused,
                  int64_t near_us);

#endif
