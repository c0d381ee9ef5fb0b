/* suspect_book.c - see suspect_book.h. */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/arena.h"
#include "policy/suspect_book.h"

/* Where little has been seen, one loss in this time is expected. */
#define WATCHED_LEAST_US INT64_C(60000000)

void
book_init(suspect_book_t *book)
{
    memset(book, 0, sizeof(*book));
    TAILQ_INIT(&book->losses);
}

static void
free_loss(loss_t *loss)
{
    free(loss->fingerprints);
    free(loss);
}

void
book_clear(suspect_book_t *book)
{
    accused_t *accused = book->accused;
    loss_t *loss = TAILQ_FIRST(&book->losses);
    accused_t *next;
    loss_t *later;

    HASH_CLEAR(hh, book->accused);
    HASH_CLEAR(hh, book->by_serial);
    for (; accused != NULL; accused = next) {
        next = accused->hh.next;
        free(accused);
    }
    for (; loss != NULL; loss = later) {
        later = TAILQ_NEXT(loss, link);
        free_loss(loss);
    }
    TAILQ_INIT(&book->losses);
}

loss_t *
book_serial(const suspect_book_t *book, uint64_t serial)
{
    loss_t *loss;

    HASH_FIND(hh, book->by_serial, &serial, sizeof(serial), loss);
    return loss;
}

loss_t *
book_loss(const suspect_book_t *book, uint32_t runner, bool own,
          int64_t since_us)
{
    loss_t *loss;

    TAILQ_FOREACH_REVERSE(loss, &book->losses, loss_list, link)
    {
        if (loss->at_us < since_us) {
            break;
        }
        if (loss->runner == runner && loss->own == own) {
            return loss;
        }
    }
    return NULL;
}

loss_t *
book_add_loss(suspect_book_t *book, uint32_t runner, bool own, int64_t now_us)
{
    loss_t *loss;

    loss = xcalloc(1, sizeof(*loss));
    loss->serial = ++book->serial;
    loss->runner = runner;
    loss->own = own;
    loss->at_us = now_us;
    loss->pending = true;
    TAILQ_INSERT_TAIL(&book->losses, loss, link);
    HASH_ADD(hh, book->by_serial, serial, sizeof(loss->serial), loss);
    return loss;
}

void
book_forget_loss(suspect_book_t *book, loss_t *loss)
{
    TAILQ_REMOVE(&book->losses, loss, link);
    HASH_DEL(book->by_serial, loss);
    free_loss(loss);
}

accused_t *
book_find(const suspect_book_t *book, uint64_t fingerprint)
{
    accused_t *accused;

    HASH_FIND(hh, book->accused, &fingerprint, sizeof(fingerprint), accused);
    return accused;
}

void
book_forget(suspect_book_t *book, accused_t *accused)
{
    HASH_DEL(book->accused, accused);
    free(accused);
}

accused_t *
book_add(suspect_book_t *book, uint64_t fingerprint)
{
    accused_t *accused = book_find(book, fingerprint);

    if (accused != NULL) {
        return accused;
    }
    accused = xcalloc(1, sizeof(*accused));
    accused->fingerprint = fingerprint;
    HASH_ADD(hh, book->accused, fingerprint, sizeof(accused->fingerprint),
             accused);
    return accused;
}

bool
loss_has(const loss_t *loss, uint64_t fingerprint)
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
drop_oldest(accused_t *accused)
{
    size_t kept = SUSPECT_SERIALS - 1;

    memmove(accused->serials, accused->serials + 1,
            kept * sizeof(accused->serials[0]));
    memmove(accused->ran_us, accused->ran_us + 1,
            kept * sizeof(accused->ran_us[0]));
    accused->serial_count = kept;
}

void
book_accuse(suspect_book_t *book, loss_t *loss, uint64_t fingerprint,
            int64_t ran_us)
{
    accused_t *accused;

    if (loss_has(loss, fingerprint)) {
        return;
    }
    loss->fingerprints = xrealloc(loss->fingerprints, loss->count + 1,
                                  sizeof(*loss->fingerprints));
    loss->fingerprints[loss->count++] = fingerprint;
    accused = book_add(book, fingerprint);
    if (accused->serial_count == SUSPECT_SERIALS) {
        drop_oldest(accused);
    }
    accused->serials[accused->serial_count] = loss->serial;
    accused->ran_us[accused->serial_count] = ran_us;
    accused->serial_count++;
}

static bool
counts(const loss_t *loss, bool pending)
{
    if (loss == NULL || loss->common || loss->explained) {
        return false;
    }
    return pending || !loss->pending;
}

uint32_t
book_count(const suspect_book_t *book, const accused_t *accused, bool pending)
{
    uint32_t runners[SUSPECT_SERIALS];
    uint32_t count = 0;
    uint32_t k;
    size_t i;

    for (i = 0; i < accused->serial_count; i++) {
        const loss_t *loss = book_serial(book, accused->serials[i]);

        if (!counts(loss, pending)) {
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
book_hash(const char *name)
{
    return (uint32_t)XXH3_64bits(name, strlen(name));
}

bool
book_was_on(const suspect_book_t *book, const accused_t *accused,
            uint32_t runner)
{
    size_t i;

    for (i = 0; i < accused->serial_count; i++) {
        const loss_t *loss = book_serial(book, accused->serials[i]);

        if (counts(loss, true) && loss->runner == runner) {
            return true;
        }
    }
    return false;
}

/* Whether a loss before this one in the list is the same, noted twice. */
static bool
is_noted_before(const loss_t *loss, int64_t near_us)
{
    const loss_t *other = loss;

    while ((other = TAILQ_PREV(other, loss_list, link)) != NULL &&
           other->at_us >= loss->at_us - near_us) {
        if (other->runner == loss->runner) {
            return true;
        }
    }
    return false;
}

/* Losses that the fingerprint was not present at. */
static uint32_t
count_others(const suspect_book_t *book, uint64_t fingerprint, int64_t near_us)
{
    const loss_t *loss;
    uint32_t count = 0;

    TAILQ_FOREACH(loss, &book->losses, link)
    {
        if (counts(loss, true) && !loss_has(loss, fingerprint) &&
            !is_noted_before(loss, near_us)) {
            count++;
        }
    }
    return count;
}

/* All the time that it ran up to a loss, also one that does not count. */
static int64_t
time_run_us(const accused_t *accused)
{
    int64_t sum_us = 0;
    size_t i;

    for (i = 0; i < accused->serial_count; i++) {
        sum_us += accused->ran_us[i];
    }
    return sum_us;
}

int64_t
book_ran_us(const suspect_book_t *book, const loss_t *loss,
            uint64_t fingerprint)
{
    const accused_t *accused = book_find(book, fingerprint);
    size_t i;

    for (i = 0; accused != NULL && i < accused->serial_count; i++) {
        if (accused->serials[i] == loss->serial) {
            return accused->ran_us[i];
        }
    }
    return 0;
}

double
book_chance(const suspect_book_t *book, const accused_t *accused,
            uint32_t fleet_runners, int64_t watched_us, int64_t near_us)
{
    uint32_t losses = book_count(book, accused, false);
    double ran_us = (double)time_run_us(accused);
    double others = (double)count_others(book, accused->fingerprint, near_us);
    double calm_us =
        (double)(watched_us > WATCHED_LEAST_US ? watched_us
                                               : WATCHED_LEAST_US);
    double rate;
    double expected;
    double chance = 1;
    uint32_t i;

    if (fleet_runners == 0 || watched_us <= 0) {
        return 1;
    }
    rate = (1 + others) / calm_us;
    if (others / (double)watched_us > rate) {
        rate = others / (double)watched_us;
    }
    expected = rate * ran_us / fleet_runners;
    for (i = 1; i <= losses; i++) {
        chance *= expected / i;
    }
    return chance;
}

bool
book_is_own(const suspect_book_t *book, const accused_t *accused)
{
    size_t i;

    for (i = 0; i < accused->serial_count; i++) {
        const loss_t *loss = book_serial(book, accused->serials[i]);

        if (counts(loss, false) && loss->own) {
            return true;
        }
    }
    return false;
}

static bool
was_there(const suspect_book_t *book, const accused_t *accused,
          const loss_t *like, int64_t near_us)
{
    size_t i;

    for (i = 0; i < accused->serial_count; i++) {
        const loss_t *loss = book_serial(book, accused->serials[i]);

        if (counts(loss, true) && loss->runner == like->runner &&
            loss->at_us >= like->at_us - near_us &&
            loss->at_us <= like->at_us + near_us) {
            return true;
        }
    }
    return false;
}

uint32_t
book_shared(const suspect_book_t *book, const accused_t *one,
            const accused_t *other, int64_t near_us)
{
    uint32_t shared = 0;
    size_t i;

    for (i = 0; i < one->serial_count; i++) {
        const loss_t *loss = book_serial(book, one->serials[i]);

        if (counts(loss, false) && was_there(book, other, loss, near_us)) {
            shared++;
        }
    }
    return shared;
}

uint32_t
book_pending(const suspect_book_t *book, const accused_t *accused)
{
    uint32_t count = 0;
    size_t i;

    for (i = 0; i < accused->serial_count; i++) {
        const loss_t *loss = book_serial(book, accused->serials[i]);

        if (loss != NULL && loss->pending && loss->own) {
            count++;
        }
    }
    return count;
}

void
book_explain(suspect_book_t *book, const accused_t *accused, int64_t near_us)
{
    size_t i;

    for (i = 0; i < accused->serial_count; i++) {
        const loss_t *loss = book_serial(book, accused->serials[i]);

        if (loss != NULL && !loss->common) {
            book_mark(book, loss, near_us, false);
        }
    }
}

void
book_mark(suspect_book_t *book, const loss_t *like, int64_t near_us,
          bool common)
{
    loss_t *loss;

    TAILQ_FOREACH(loss, &book->losses, link)
    {
        if (loss->runner != like->runner ||
            loss->at_us < like->at_us - near_us ||
            loss->at_us > like->at_us + near_us) {
            continue;
        }
        if (common) {
            loss->common = true;
        }
        else {
            loss->explained = true;
        }
    }
}
