/*
 * notes.c - what hosts find out and tell each other.
 *
 * Notes travel with the placements, which are told at once when a note is
 * new, and again in case a message was lost.  Each is numbered, so that it
 * counts once with whoever hears it.
 */
#include "forward/private.h"

/* A note is in several messages, which are half a second to some four seconds
 * apart. */
enum { NOTE_KEPT_MS = 10000 };

static void take(forward_t *forward, const finding_t *finding);

void
note_add(forward_t *forward, const finding_t *finding)
{
    told_note_t *told = &forward->notes[forward->notes_made % LINK_NOTES_MAX];

    forward->notes_made++;
    told->note.number = forward->notes_made;
    told->note.finding = *finding;
    told->until_us = forward->now_us + (int64_t)NOTE_KEPT_MS * US_PER_MS;
    forward->share_due = true;
}

void
notes_heard(forward_t *forward, peer_view_t *view,
            const placements_t *placements)
{
    u_int i;

    for (i = 0; i < placements->notes.notes_len; i++) {
        const note_t *note = &placements->notes.notes_val[i];

        if (note->number > view->noted) {
            view->noted = note->number;
            take(forward, &note->finding);
        }
    }
}

/* In the order of their numbers. */
void
notes_tell(const forward_t *forward, arena_t *arena, placements_t *placements)
{
    uint64_t number = forward->notes_made > LINK_NOTES_MAX
                          ? forward->notes_made - LINK_NOTES_MAX
                          : 0;
    u_int count = 0;

    placements->notes.notes_val = arena_array(
        arena, LINK_NOTES_MAX, sizeof(*placements->notes.notes_val));
    for (; number < forward->notes_made; number++) {
        const told_note_t *told = &forward->notes[number % LINK_NOTES_MAX];

        if (forward->now_us < told->until_us) {
            placements->notes.notes_val[count] = told->note;
            count++;
        }
    }
    placements->notes.notes_len = count;
}

static void
take(forward_t *forward, const finding_t *finding)
{
    switch (finding->kind) {
    case NOTE_SUSPECT:
        suspects_note(forward->suspects, forward->now_us,
                      &finding->finding_t_u.suspect);
        return;
    case NOTE_MOVED:
        pool_peer_misdirected(forward->pool, finding->finding_t_u.runner);
        return;
    }
}
