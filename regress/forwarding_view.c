/* forwarding_view.c - script lines about the view of the store. */
#include <stdlib.h>
#include <string.h>

#include "regress/forwarding_private.h"

static void
read_contact(const line_t *line, int64_t at_ms, forward_event_t *event)
{
    const char *revision = line_value(line, "revision");
    const char *age = line_value(line, "age");

    if (age != NULL) {
        at_ms -= strtoll(age, NULL, DECIMAL);
    }
    event->kind = FORWARD_STORE_CONTACT;
    event->u.contact = (forward_contact_t){
        .contact_us = at_ms * US_PER_MS,
        .revision = revision != NULL ? strtoll(revision, NULL, DECIMAL) : 0,
        .source = line_value(line, "source"),
    };
}

static void
read_bound(const line_t *line, forward_event_t *event)
{
    event->kind = FORWARD_LIMITS;
    event->u.limits = forwarding_limits(REVOKE_MS);
    event->u.limits.apply_ms = (uint32_t)line_number(line, 1);
    event->u.limits.leave_ms = (uint32_t)line_number(line, 2);
}

bool
line_view(const line_t *line, int64_t at_ms, forward_event_t *event)
{
    const char *word = line->words[0];

    if (strcmp(word, "contact") == 0) {
        read_contact(line, at_ms, event);
    }
    else if (strcmp(word, "lost-store") == 0) {
        event->kind = FORWARD_STORE_LOST;
    }
    else if (strcmp(word, "regained") == 0) {
        event->kind = FORWARD_STORE_REGAINED;
    }
    else if (strcmp(word, "restored") == 0) {
        event->kind = FORWARD_STORE_RESTORED;
    }
    else if (strcmp(word, "bound") == 0) {
        read_bound(line, event);
    }
    else if (strcmp(word, "revoke") == 0) {
        event->kind = FORWARD_LIMITS;
        event->u.limits = forwarding_limits((uint32_t)line_number(line, 1));
    }
    else {
        return false;
    }
    return true;
}
