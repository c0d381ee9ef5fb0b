/* suspect.c - see suspect.h. */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/arena.h"
#include "policy/suspect_group.h"
#include "policy/suspect_private.h"

enum {
    US_PER_MS = 1000,
    WINDOW_MS = 1000,
    MEMORY_MS = 1800000,
    HOLD_MS = 600000,
    LOSSES_MAX = 3,
    COMMON_RUNNERS = 3,
};

const suspect_limits_t suspect_limits_usual = {
    .window_us = (int64_t)WINDOW_MS * US_PER_MS,
    .memory_us = (int64_t)MEMORY_MS * US_PER_MS,
    .hold_us = (int64_t)HOLD_MS * US_PER_MS,
    .losses_max = LOSSES_MAX,
    .common_runners = COMMON_RUNNERS,
};

#define RAN_MS_MAX INT64_C(0xffffffff)

/* A culprit's chance to be innocent, and how far the next one's must be. */
static const double chance_max = 1e-6;
static const double chance_apart = 4;

static void set_due(suspects_t *suspects);
static void convict_soon(suspects_t *suspects, int64_t now_us);

suspects_t *
suspects_new(int64_t now_us, const suspect_limits_t *limits)
{
    suspects_t *suspects = xcalloc(1, sizeof(*suspects));

    suspects->limits = *limits;
    suspects->since_us = now_us;
    suspects->convict_us = INT64_MAX;
    suspects->due_us = INT64_MAX;
    book_init(&suspects->book);
    STAILQ_INIT(&suspects->notes);
    STAILQ_INIT(&suspects->convicted);
    return suspects;
}

static bool
take_note(struct note_list *list, suspect_t *note)
{
    queued_note_t *first = STAILQ_FIRST(list);

    if (first == NULL) {
        return false;
    }
    *note = first->note;
    STAILQ_REMOVE_HEAD(list, link);
    free(first);
    return true;
}

void
suspects_free(suspects_t *suspects)
{
    suspect_t note;

    if (suspects == NULL) {
        return;
    }
    book_clear(&suspects->book);
    while (take_note(&suspects->notes, &note)) {
    }
    while (take_note(&suspects->convicted, &note)) {
    }
    free(suspects);
}

static void
put_note(struct note_list *list, suspect_t note)
{
    queued_note_t *queued = xcalloc(1, sizeof(*queued));

    queued->note = note;
    STAILQ_INSERT_TAIL(list, queued, link);
}

bool
suspects_next_note(suspects_t *suspects, suspect_t *note)
{
    return take_note(&suspects->notes, note);
}

bool
suspects_next_convicted(suspects_t *suspects, uint64_t *fingerprint)
{
    suspect_t note;

    if (!take_note(&suspects->convicted, &note)) {
        return false;
    }
    *fingerprint = note.fingerprint;
    return true;
}

static bool
has_finished(const suspects_t *suspects, uint64_t fingerprint)
{
    return suspects->finished[fingerprint % FINISHED_SLOTS] == fingerprint;
}

static loss_t *
own_loss(suspects_t *suspects, int64_t now_us, const suspect_loss_t *lost)
{
    uint32_t runner = book_hash(lost->runner);
    loss_t *loss;

    loss = book_loss(&suspects->book, runner, true,
                     now_us - suspects->limits.window_us + 1);
    if (loss != NULL && loss->pending) {
        return loss;
    }
    loss = book_add_loss(&suspects->book, runner, true, now_us);
    loss->zone = book_hash(lost->zone);
    loss->zone_runners = lost->zone_runners;
    return loss;
}

void
suspects_loss(suspects_t *suspects, int64_t now_us, const suspect_loss_t *lost)
{
    loss_t *loss = own_loss(suspects, now_us, lost);
    size_t i;

    suspects->fleet_runners = lost->fleet_runners;
    for (i = 0; i < lost->count; i++) {
        if (!has_finished(suspects, lost->fingerprints[i])) {
            book_accuse(&suspects->book, loss, lost->fingerprints[i],
                        lost->ran_us[i]);
        }
    }
    set_due(suspects);
}

/* A note's loss is the runner's hash and, in ms, how long it ran there. */
static void
tell_accused(suspects_t *suspects, const loss_t *loss, uint64_t fingerprint)
{
    int64_t ran_ms;

    if (!loss->own || has_finished(suspects, fingerprint)) {
        return;
    }
    ran_ms = book_ran_us(&suspects->book, loss, fingerprint) / US_PER_MS;
    if (ran_ms > RAN_MS_MAX) {
        ran_ms = RAN_MS_MAX;
    }
    put_note(&suspects->notes,
             (suspect_t){.fingerprint = fingerprint,
                         .loss = (uint64_t)loss->runner << NOTE_RUNNER_SHIFT |
                                 (uint64_t)ran_ms});
}

/* Whether peers lost enough runners at once that this host did not lose. */
static bool
fell_elsewhere(const suspects_t *suspects, const group_t *group)
{
    int64_t since_us =
        group->first->at_us - NEAR_WINDOWS * suspects->limits.window_us;
    const loss_t *loss;
    uint32_t strange = 0;

    for (loss = group->first; loss != NULL; loss = TAILQ_NEXT(loss, link)) {
        if (group_has(group, loss) &&
            book_loss(&suspects->book, loss->runner, true, since_us) == NULL) {
            strange++;
        }
    }
    return strange >= suspects->limits.common_runners;
}

/* What peers saw fall together; what fell here with it was seen alone. */
static void
judge_told(suspects_t *suspects, const group_t *group)
{
    int64_t since_us =
        group->first->at_us - VOID_WINDOWS * suspects->limits.window_us;
    bool elsewhere = fell_elsewhere(suspects, group);
    loss_t *loss;

    TAILQ_FOREACH(loss, &suspects->book.losses, link)
    {
        if (group_has(group, loss) ||
            (elsewhere && loss->own && loss->at_us >= since_us)) {
            loss->common = true;
        }
    }
}

/*
 * Runners that fell together are one loss.  Only contents that were on all
 * of them are accused, of that one.
 */
static void
judge_common(suspects_t *suspects, const group_t *group)
{
    int64_t near_us = NEAR_WINDOWS * suspects->limits.window_us;
    const loss_t *first = group->first;
    uint32_t runner = first->runner;
    loss_t *loss;
    size_t i;

    for (loss = group->first; loss != NULL; loss = TAILQ_NEXT(loss, link)) {
        if (group_has(group, loss)) {
            book_mark(&suspects->book, loss, near_us, true);
        }
    }
    loss = book_add_loss(&suspects->book, runner, true, first->at_us);
    loss->pending = false;
    for (i = 0; i < first->count; i++) {
        if (group_all_had(group, first->fingerprints[i])) {
            book_accuse(
                &suspects->book, loss, first->fingerprints[i],
                book_ran_us(&suspects->book, first, first->fingerprints[i]));
            tell_accused(suspects, loss, first->fingerprints[i]);
        }
    }
}

static void
judge_group(suspects_t *suspects, loss_t *first, int64_t now_us)
{
    group_t group =
        group_find(&suspects->book, first, suspects->limits.window_us,
                   suspects->limits.common_runners);
    loss_t *loss;
    size_t i;

    if (group.common && first->own) {
        judge_common(suspects, &group);
    }
    else if (group.common) {
        judge_told(suspects, &group);
    }
    for (loss = first; loss != NULL; loss = TAILQ_NEXT(loss, link)) {
        if (!group_has(&group, loss) || loss == first) {
            continue;
        }
        for (i = 0; i < loss->count && !loss->common; i++) {
            tell_accused(suspects, loss, loss->fingerprints[i]);
        }
        loss->pending = false;
    }
    for (i = 0; i < first->count && !first->common; i++) {
        tell_accused(suspects, first, first->fingerprints[i]);
    }
    first->pending = false;
    convict_soon(suspects, now_us);
}

static void
convict(suspects_t *suspects, accused_t *accused, int64_t now_us)
{
    const suspect_t note = {.fingerprint = accused->fingerprint,
                            .convicted = true};

    accused->convicted_until_us = now_us + suspects->limits.hold_us;
    book_explain(&suspects->book, accused,
                 NEAR_WINDOWS * suspects->limits.window_us);
    accused->serial_count = 0;
    put_note(&suspects->convicted, note);
}

/*
 * Whether another content was there at all of the culprit's losses.  Either
 * may have caused them, however long it ran.
 */
static bool
has_double(const suspects_t *suspects, const accused_t *culprit)
{
    const accused_t *other;
    uint32_t count = book_count(&suspects->book, culprit, false);

    for (other = suspects->book.accused; other != NULL;
         other = other->hh.next) {
        if (other != culprit &&
            book_shared(&suspects->book, culprit, other,
                        NEAR_WINDOWS * suspects->limits.window_us) >= count) {
            return true;
        }
    }
    return false;
}

/* A host that has just started takes the time before as calm. */
static int64_t
watched_for(const suspects_t *suspects, int64_t now_us)
{
    int64_t watched_us = now_us - suspects->since_us;

    if (watched_us > suspects->limits.memory_us) {
        return suspects->limits.memory_us;
    }
    return watched_us;
}

/*
 * The one whose presence at its losses is the least a chance, or NULL.
 * Where another comes near it either may be innocent; the next loss will
 * tell them apart.
 */
static accused_t *
find_culprit(const suspects_t *suspects, int64_t now_us)
{
    const suspect_limits_t *limits = &suspects->limits;
    int64_t watched_us = watched_for(suspects, now_us);
    accused_t *culprit = NULL;
    accused_t *accused;
    double least = chance_max;
    double next = 1;
    double chance;

    for (accused = suspects->book.accused; accused != NULL;
         accused = accused->hh.next) {
        if (book_count(&suspects->book, accused, false) < limits->losses_max) {
            continue;
        }
        chance = book_chance(&suspects->book, accused, suspects->fleet_runners,
                             watched_us, NEAR_WINDOWS * limits->window_us);
        if (chance <= least) {
            next = culprit == NULL ? next : least;
            least = chance;
            culprit = accused;
        }
        else if (chance < next) {
            next = chance;
        }
    }
    /* Only who lost runners with it knows all the time that it ran. */
    if (culprit == NULL || next <= least * chance_apart ||
        !book_is_own(&suspects->book, culprit) ||
        has_double(suspects, culprit)) {
        return NULL;
    }
    return culprit;
}

static void
convict_all(suspects_t *suspects, int64_t now_us)
{
    accused_t *culprit;

    suspects->convict_us = INT64_MAX;
    while ((culprit = find_culprit(suspects, now_us)) != NULL) {
        convict(suspects, culprit, now_us);
        put_note(&suspects->notes,
                 (suspect_t){.fingerprint = culprit->fingerprint,
                             .convicted = true});
    }
}

static void
forget_old(suspects_t *suspects, int64_t now_us)
{
    loss_t *loss = TAILQ_FIRST(&suspects->book.losses);
    accused_t *accused;
    accused_t *next;

    if (loss == NULL || loss->at_us + suspects->limits.memory_us > now_us) {
        return;
    }
    book_forget_loss(&suspects->book, loss);
    HASH_ITER(hh, suspects->book.accused, accused, next)
    {
        if (accused->convicted_until_us <= now_us &&
            book_count(&suspects->book, accused, true) == 0) {
            book_forget(&suspects->book, accused);
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
    for (loss = TAILQ_FIRST(&suspects->book.losses); loss != NULL;
         loss = next) {
        next = TAILQ_NEXT(loss, link);
        if (loss->pending &&
            loss->at_us + suspects->limits.window_us <= now_us) {
            judge_group(suspects, loss, now_us);
        }
    }
    if (now_us >= suspects->convict_us) {
        convict_all(suspects, now_us);
    }
    forget_old(suspects, now_us);
    set_due(suspects);
}

static void
clear(suspects_t *suspects, uint64_t fingerprint)
{
    accused_t *accused = book_find(&suspects->book, fingerprint);

    suspects->finished[fingerprint % FINISHED_SLOTS] = fingerprint;
    if (accused != NULL) {
        book_forget(&suspects->book, accused);
    }
}

void
suspects_finished(suspects_t *suspects, uint64_t fingerprint)
{
    const accused_t *accused = book_find(&suspects->book, fingerprint);

    /* What is still being judged has not been told. */
    if (accused != NULL && (accused->convicted_until_us != 0 ||
                            book_count(&suspects->book, accused, false) > 0)) {
        put_note(&suspects->notes,
                 (suspect_t){.fingerprint = fingerprint, .withdrawn = true});
    }
    clear(suspects, fingerprint);
}

static void
take_accusation(suspects_t *suspects, int64_t now_us, const suspect_t *note)
{
    uint32_t runner = (uint32_t)(note->loss >> NOTE_RUNNER_SHIFT);
    int64_t near_us = NEAR_WINDOWS * suspects->limits.window_us;
    loss_t *loss;

    if (has_finished(suspects, note->fingerprint)) {
        put_note(
            &suspects->notes,
            (suspect_t){.fingerprint = note->fingerprint, .withdrawn = true});
        return;
    }
    loss = book_loss(&suspects->book, runner, false, now_us - near_us);
    if (loss == NULL) {
        loss = book_add_loss(&suspects->book, runner, false, now_us);
    }
    book_accuse(&suspects->book, loss, note->fingerprint,
                (int64_t)(note->loss & RAN_MS_MAX) * US_PER_MS);
    convict_soon(suspects, now_us);
}

void
suspects_note(suspects_t *suspects, int64_t now_us, const suspect_t *note)
{
    accused_t *accused;

    if (note->withdrawn) {
        clear(suspects, note->fingerprint);
    }
    else if (note->convicted) {
        accused = book_add(&suspects->book, note->fingerprint);
        convict(suspects, accused, now_us);
    }
    else {
        take_accusation(suspects, now_us, note);
    }
    set_due(suspects);
}

/* Leaves peers' notes of the same loss a moment to arrive. */
static void
convict_soon(suspects_t *suspects, int64_t now_us)
{
    int64_t soon_us = now_us + suspects->limits.window_us / SETTLE_DIVISOR;

    if (suspects->convict_us > soon_us) {
        suspects->convict_us = soon_us;
    }
}

static void
set_due(suspects_t *suspects)
{
    const loss_t *loss = TAILQ_FIRST(&suspects->book.losses);

    suspects->due_us = suspects->convict_us;
    if (loss != NULL &&
        loss->at_us + suspects->limits.memory_us < suspects->due_us) {
        suspects->due_us = loss->at_us + suspects->limits.memory_us;
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
