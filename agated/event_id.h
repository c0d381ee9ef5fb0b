/*
 * event_id.h - the ids of server-sent events.
 *
 * NAME.POSITION, and after it what a host needs to go on from there when
 * the request's own host is lost: "~" and the attempt that gave the last
 * token, then "~" and the last tokens' ids, each in base 128 with the low
 * bits first, all in base64url without padding.  Callers hand an id back
 * as it is, in Last-Event-ID.
 */
#ifndef AGATED_EVENT_ID_H
#define AGATED_EVENT_ID_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "base/text.h"

enum { EVENT_ID_TAIL_MAX = 1024 };

typedef struct {
    const char *name;
    uint32_t position;
    uint32_t attempt; /* 0: not said */
    const uint32_t *tail_ids;
    uint32_t tail_count; /* the last of those up to position */
} event_id_t;

/* Appends what follows NAME.POSITION, which may be nothing. */
void event_id_suffix(const event_id_t *id, text_t *out);

/* Reads an id into *id, which lives in arena; false when it is none. */
bool event_id_read(arena_t *arena, const char *text, event_id_t *id);

/* Whether these bytes may name a request: letters, digits, "-_.:". */
bool event_id_is_name(const char *text, size_t length);

#endif
