/* store_watch.c - the recent events that watches are served from. */
#include <stdlib.h>
#include <string.h>

#include "regress/standin/store.h"

enum { HISTORY_EVENTS = 20000 };

typedef struct {
    int64_t revision;
    json_t *event;
} kept_t;

static kept_t kept[HISTORY_EVENTS];
static uint64_t added;

void
history_add(int64_t revision, json_t *event)
{
    kept_t *at = &kept[added++ % HISTORY_EVENTS];

    json_decref(at->event);
    at->event = event;
    at->revision = revision;
}

int64_t
history_first(void)
{
    if (added <= HISTORY_EVENTS) {
        return 1;
    }
    return kept[added % HISTORY_EVENTS].revision + 1;
}

bool
key_in_range(const char *key, size_t key_bytes, const blob_t *from,
             const blob_t *range_end)
{
    size_t shorter = key_bytes < from->length ? key_bytes : from->length;
    int order = memcmp(key, from->bytes, shorter);

    if (range_end->length == 0) {
        return order == 0 && key_bytes == from->length;
    }
    if (order < 0 || (order == 0 && key_bytes < from->length)) {
        return false;
    }
    if (range_end->length == 1 && range_end->bytes[0] == '\0') {
        return true;
    }
    shorter = key_bytes < range_end->length ? key_bytes : range_end->length;
    order = memcmp(key, range_end->bytes, shorter);
    return order < 0 || (order == 0 && key_bytes < range_end->length);
}

json_t *
history_since(int64_t revision, const blob_t *key, const blob_t *range_end)
{
    uint64_t first = added > HISTORY_EVENTS ? added - HISTORY_EVENTS : 0;
    uint64_t at = added;
    json_t *events = json_array();
    blob_t name;

    while (at > first &&
           kept[(at - 1) % HISTORY_EVENTS].revision >= revision) {
        at--;
    }
    for (; at < added; at++) {
        json_t *event = kept[at % HISTORY_EVENTS].event;

        name = json_blob(json_object_get(event, "kv"), "key");
        if (key_in_range(name.bytes, name.length, key, range_end)) {
            json_array_append(events, event);
        }
        free(name.bytes);
    }
    return events;
}
