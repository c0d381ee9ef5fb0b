/* answer.c - what callers check of an answer. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "regress/soak/caller.h"

enum { VALUE_BYTES = 512, HEX_BYTES = 17 };

/* The value of a header of the answer, or NULL; valid until the next call. */
const char *
answer_header(const caller_t *caller, const char *name)
{
    static char value[VALUE_BYTES];
    const char *end = strstr(caller->came.bytes, "\r\n\r\n");
    const char *line = caller->came.bytes;

    while (line < end && (line = strstr(line, "\r\n")) != NULL && line < end) {
        line += 2;
        if (strncasecmp(line, name, strlen(name)) == 0 &&
            line[strlen(name)] == ':') {
            line += strlen(name) + 1;
            line += strspn(line, " ");
            (void)snprintf(value, sizeof(value), "%.*s",
                           (int)strcspn(line, "\r"), line);
            return value;
        }
    }
    return NULL;
}

/* The body's next event, in chunks or not: they are taken as they come. */
static bool
next_event(caller_t *caller, const char *body, int64_t *id, char *data,
           writer_t *writer)
{
    const char *at = strstr(body + caller->checked, "id: ");
    const char *end = at != NULL ? strstr(at, "\n\n") : NULL;

    if (end == NULL || sscanf(at,
                              "id: %" SCNd64 "\ndata: %16s v%" SCNu32
                              " born %" SCNd64 " s%" SCNu32,
                              id, data, &writer->version, &writer->born_ms,
                              &writer->service) != 5) {
        return false;
    }
    caller->checked = (size_t)(end + 2 - body);
    return true;
}

void
answer_events(caller_t *caller, const char *body)
{
    char data[HEX_BYTES];
    char expected[HEX_BYTES];
    writer_t writer;
    int64_t id;

    while (next_event(caller, body, &id, data, &writer)) {
        (void)snprintf(expected, sizeof(expected), "%016" PRIx64,
                       soak_hash(caller->path, (uint64_t)id));
        if (id != caller->event + 1 || strcmp(data, expected) != 0) {
            soak_broken("order", "%s: event %" PRId64 " after %" PRId64,
                        caller->attempt, id, caller->event);
        }
        versions_event(caller, id, &writer);
        caller->event = id;
    }
}

void
answer_check(const caller_t *caller, const char *body, size_t body_bytes)
{
    char expected[HEX_BYTES];
    const char *value = answer_header(caller, "Attempt-Id");

    if (value == NULL || strcmp(value, caller->attempt) != 0) {
        soak_broken("own answer", "%s got that of %s", caller->attempt,
                    value != NULL ? value : "nobody");
    }
    if (answer_header(caller, "Server-Stamp") == NULL) {
        soak_broken("signature", "%s has none", caller->attempt);
    }
    if (caller->kind == KIND_STREAM) {
        if (caller->event != SOAK_EVENTS - 1) {
            soak_broken("whole", "%s looks whole at event %" PRId64,
                        caller->attempt, caller->event);
        }
        return;
    }
    (void)snprintf(expected, sizeof(expected), "%016" PRIx64,
                   soak_hash(caller->path, 0));
    if (body_bytes != strlen(expected) ||
        strncmp(body, expected, body_bytes) != 0) {
        soak_broken("body", "%s got %.*s", caller->attempt, (int)body_bytes,
                    body);
    }
}
