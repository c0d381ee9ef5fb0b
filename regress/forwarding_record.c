/* forwarding_record.c - the store's records in scripts. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "forward/route_services.h"
#include "regress/forwarding_private.h"

static char key[FORWARDING_TEXT_BYTES];
static char value[FORWARDING_TEXT_BYTES];

static void
append_hash(const char *name, size_t length, char end)
{
    size_t used = strlen(value);

    (void)snprintf(value + used, sizeof(value) - used, "%016" PRIx64 "%c",
                   (uint64_t)XXH3_64bits(name, length), end);
}

/* Appends the service of each group, and the route of all. */
static void
append_places(const line_t *line, size_t first)
{
    static const route_t route = {.host = "host.example",
                                  .prefix = "/stream/"};
    size_t i;

    for (i = first; i < line->count; i++) {
        const char *service = strchr(line->words[i], '@');

        if (service != NULL) {
            size_t used = strlen(value);

            (void)snprintf(value + used, sizeof(value) - used, "@");
            append_hash(service + 1, strlen(service + 1), ' ');
            used = strlen(value);
            (void)snprintf(value + used, sizeof(value) - used,
                           "%016" PRIx64 "\n", route_hash(&route));
        }
    }
}

/* Writes "VERSION..." or "VERSION:REQUEST,...[@SERVICE]" as the store has
 * them. */
static void
write_value(const line_t *line, size_t first)
{
    size_t i;

    value[0] = '\0';
    for (i = first; i < line->count; i++) {
        const char *word = line->words[i];
        size_t length = strcspn(word, ":,");

        if (strchr(word, '=') != NULL) {
            continue;
        }
        append_hash(word, length, ' ');
        while (word[length] != '\0' && word[length] != '@') {
            word += length + 1;
            length = strcspn(word, ",@");
            append_hash(word, length, word[length] == ',' ? ' ' : '\n');
        }
    }
    append_places(line, first);
}

static forward_record_t
record_of(const line_t *line, const char *name, size_t first)
{
    const char *revision = line_value(line, "rev");

    (void)snprintf(key, sizeof(key), "agatevale/%s", name);
    write_value(line, first);
    return (forward_record_t){
        .key = key,
        .value = line_has(line, "gone") ? NULL : value,
        .revision = revision != NULL ? strtoll(revision, NULL, DECIMAL) : 0,
    };
}

bool
line_record(const line_t *line, forward_event_t *event)
{
    if (strcmp(line->words[0], "record") == 0) {
        event->kind = FORWARD_RECORD;
        event->u.record = record_of(line, line->words[1], 2);
        return true;
    }
    if (strcmp(line->words[0], "written") == 0) {
        event->kind = FORWARD_PUT_RESULT;
        event->u.put.outcome =
            strcmp(line->words[2], "ok") == 0         ? FORWARD_PUT_DONE
            : strcmp(line->words[2], "conflict") == 0 ? FORWARD_PUT_CONFLICT
                                                      : FORWARD_PUT_FAILED;
        event->u.put.record = record_of(line, line->words[1], 3);
        return true;
    }
    return false;
}

void
record_print(const forward_record_t *record, char *text, size_t room)
{
    uint32_t words = 0;
    const char *at = record->value;

    if (at != NULL && strstr(record->key, "/rollouts/") != NULL) {
        (void)snprintf(text, room, "put %s \"%s\" rev=%" PRId64,
                       record->key + strlen("agatevale/"), at,
                       record->revision);
        return;
    }
    while (at != NULL && *(at += strspn(at, " \n")) != '\0') {
        words++;
        at += strcspn(at, " \n");
    }
    (void)snprintf(text, room, "%s %s words=%" PRIu32 " rev=%" PRId64,
                   record->value != NULL ? "put" : "remove",
                   record->key + strlen("agatevale/"), words,
                   record->revision);
}
