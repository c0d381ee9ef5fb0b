/*
 * suspect_private.h - the state behind suspect.h.
 */
#ifndef POLICY_SUSPECT_PRIVATE_H
#define POLICY_SUSPECT_PRIVATE_H

#include <sys/queue.h>

#include "policy/suspect.h"
#include "policy/suspect_book.h"

enum {
    FINISHED_SLOTS = 16384,
    NEAR_WINDOWS = 5,       /* notes of one loss come within so many windows */
    PENDING_MAX = 2,        /* losses of one content in one window */
    VOID_WINDOWS = 2,       /* so long may a peer's note of it lag */
    SETTLE_DIVISOR = 4,     /* of a window, until convictions */
    NOTE_RUNNER_SHIFT = 32, /* in a note's loss */
};

typedef struct queued_note {
    suspect_t note;
    STAILQ_ENTRY(queued_note) link;
} queued_note_t;
STAILQ_HEAD(note_list, queued_note);

struct suspects {
    suspect_limits_t limits;
    uint32_t fleet_runners;
    int64_t since_us; /* watched from then on */
    suspect_book_t book;
    struct note_list notes;
    struct note_list convicted;
    int64_t convict_us; /* when to look for convictions; INT64_MAX: never */
    int64_t due_us;
    uint64_t finished[FINISHED_SLOTS]; /* by fingerprint, newest wins */
};

#endif
