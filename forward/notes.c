/*
 * notes.c - sends this host's findings to all other hosts and applies theirs.
 *
 * Notes are sent in the placements message: immediately when a note is new,
 * and again for NOTE_RESEND_MS in case a message is lost.  They are numbered,
 * so that a receiver applies each of them once.
 */
#include "forward/private.h"

/* Long enough for several messages, which are sent every 0.5 s to about
 * 4 s. */
enum { NOTE_RESEND_MS = 10000 };

static void apply_finding(forward_t *forward, const finding_t *finding);

void
note_queue(forward_t *forward, const finding_t *finding)
{
    outgoing_note_t *entry =
        &forward->notes[forward->note_count % LINK_NOTES_MAX];

    forward->note_count++;
    entry->note.number = forward->note_count;
    entry->note.finding = *finding;
    entry->expiry_us = forward->now_us + (int64_t)NOTE_RESEND_MS * US_PER_MS;
    forward->publish_due = true;
}

void
notes_receive(forward_t *forward, peer_state_t *view,
              const placements_t *placements)
{
    u_int i;

    for (i = 0; i < placements->notes.notes_len; i++) {
        const note_t *note = &placements->notes.notes_val[i];

        if (note->number > view->last_note_number) {
            view->last_note_number = note->number;
            apply_finding(forward, &note->finding);
        }
    }
}

/* Writes the notes in ascending order of their numbers, as receivers skip
 * numbers up to the highest one that they have applied. */
void
notes_write(const forward_t *forward, arena_t *arena, placements_t *placements)
{
    uint64_t number = forward->note_count > LINK_NOTES_MAX
                          ? forward->note_count - LINK_NOTES_MAX
                          : 0;
    u_int count = 0;

    placements->notes.notes_val = arena_array(
        arena, LINK_NOTES_MAX, sizeof(*placements->notes.notes_val));
    for (; number < forward->note_count; number++) {
        const outgoing_note_t *entry =
            &forward->notes[number % LINK_NOTES_MAX];

        if (forward->now_us < entry->expiry_us) {
            placements->notes.notes_val[count] = entry->note;
            count++;
        }
    }
    placements->notes.notes_len = count;
}

static void
apply_finding(forward_t *forward, const finding_t *finding)
{
    switch (finding->kind) {
    case NOTE_ADDRESS_STALE:
        pool_mark_address_stale_by_id(forward->pool,
                                      finding->finding_t_u.runner);
        return;
    case NOTE_RUNNER_LEAVES:
        registry_note_leaving(forward, finding->finding_t_u.runner);
        return;
    }
}
