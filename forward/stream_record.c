/*
 * stream_record.c - keeps in the store at which service and version this host
 * has begun its streams; see version_record.c.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include "forward/private.h"

enum {
    HEXADECIMAL = 16,
    /* Streams in one value; the oldest ones are left out. */
    STREAMS_WRITTEN_MAX = 1024,
    /* Streams that begin within this time are written together.  Each write
     * wakes all hosts that watch the store, so hosts write at the same time.
     */
    STREAMS_DELAY_MS = 150,
    /* Between two writes. */
    STREAMS_INTERVAL_MS = 200,
};

static const char streams_prefix[] = "agatevale/streams/";

static bool is_wanted(const forward_t *forward);
static void apply_line(forward_t *forward, const char *line,
                       const stream_version_t *group);
static const char *read_place(const char *place, stream_version_t *group);
static void write_streams(forward_t *forward);

bool
forward_is_stream_record(const char *key)
{
    return strncmp(key, streams_prefix, strlen(streams_prefix)) == 0;
}

void
stream_record_list_begin(forward_t *forward)
{
    forward->streams_record.listed = false;
    host_records_list_begin(forward);
}

/* A restored store has an older record, or none. */
void
stream_record_list_end(forward_t *forward)
{
    if (!forward->streams_record.listed) {
        forward->streams_record.revision = 0;
    }
    host_records_list_end(forward);
    if (forward->store_restored && is_wanted(forward)) {
        stream_record_set_due(forward, forward->now_us);
    }
}

/* Parses what versions_write_own() writes.  What an earlier incarnation of
 * this host has written stays in its record. */
void
stream_record_apply(forward_t *forward, const forward_record_t *record)
{
    const char *host = record->key + strlen(streams_prefix);
    bool own = strcmp(host, forward->host) == 0;
    const char *line = record->value != NULL ? record->value : "";
    const char *place = strstr(line, STREAM_PLACE_MARK);
    const char *end = place != NULL ? place : line + strlen(line);

    if (own) {
        forward->streams_record.revision = record->revision;
        forward->streams_record.listed = true;
    }
    else {
        host_records_apply(forward, host, record);
        if (forward->streams_record.dirty) {
            stream_record_set_due(forward, forward->now_us);
        }
    }
    while (line < end) {
        stream_version_t group = {.own = own};
        char *rest;

        place = read_place(place, &group);
        group.version = strtoull(line, &rest, HEXADECIMAL);
        if (rest == line) {
            emit_log(forward, LOG_WARNING, "record-invalid", "key=%s",
                     record->key);
            return;
        }
        apply_line(forward, rest, &group);
        line += strcspn(line, "\n");
        line += *line == '\n' ? 1 : 0;
    }
}

/* Reads the streams in the rest of a line. */
static void
apply_line(forward_t *forward, const char *line, const stream_version_t *group)
{
    while (*line == ' ') {
        stream_version_t begun = *group;
        char *rest;

        begun.stream = strtoull(line, &rest, HEXADECIMAL);
        if (rest == line) {
            return;
        }
        versions_record(forward, &begun);
        line = rest;
    }
}

/* Reads the service and route of a group; returns the line of the next one.  A
 * record without them is of streams whose routes had one service. */
static const char *
read_place(const char *place, stream_version_t *group)
{
    if (place == NULL ||
        sscanf(place, STREAM_PLACE_MARK "%" SCNx64 " %" SCNx64,
               &group->service, &group->route) != 2) {
        return NULL;
    }
    group->split = true;
    place = strchr(place, '\n');
    return place != NULL ? place + 1 : NULL;
}

/* Whether there are streams whose service or version a host that knows nothing
 * does not find out. */
static bool
is_wanted(const forward_t *forward)
{
    return forward->routes_split || version_record_has_several(forward) ||
           versions_have_split(forward);
}

void
stream_record_begun(forward_t *forward, bool split)
{
    if (!forward->streams_record.dirty &&
        (split || version_record_has_several(forward))) {
        stream_record_set_due(
            forward, forward->now_us + (int64_t)STREAMS_DELAY_MS * US_PER_MS);
    }
}

void
stream_record_set_due(forward_t *forward, int64_t due_us)
{
    streams_record_t *streams = &forward->streams_record;
    int64_t next_us =
        streams->put_us + (int64_t)STREAMS_INTERVAL_MS * US_PER_MS;

    streams->dirty = true;
    streams->due_us =
        streams->put_us != 0 && due_us < next_us ? next_us : due_us;
    forward->records_changed = true;
}

static void
write_streams(forward_t *forward)
{
    arena_t *arena = &forward->actions->arena;
    const char *key = stream_record_key(arena, forward->host);
    text_t value = {0};

    forward->streams_record.dirty = false;
    forward->streams_record.put_us = forward->now_us;
    if (!is_wanted(forward)) {
        if (forward->streams_record.revision != 0) {
            forward->streams_record.pending = true;
            version_record_put(forward, key, NULL,
                               forward->streams_record.revision);
        }
        return;
    }
    if (versions_write_own(forward, &value, STREAMS_WRITTEN_MAX) == 0) {
        text_free(&value);
        return;
    }
    forward->streams_record.pending = true;
    version_record_put(forward, key,
                       arena_strndup(arena, value.bytes, value.length),
                       forward->streams_record.revision);
    text_free(&value);
}

uint32_t
stream_record_written(forward_t *forward, const forward_put_result_t *result)
{
    streams_record_t *streams = &forward->streams_record;
    const char *host = result->record.key + strlen(streams_prefix);
    bool failed = result->outcome == FORWARD_PUT_FAILED;

    if (strcmp(host, forward->host) != 0) {
        host_records_removed(forward, host);
        if (!failed) {
            stream_record_apply(forward, &result->record);
        }
        return failed ? 1 : 0;
    }
    streams->pending = false;
    if (!failed) {
        streams->failures = 0;
        stream_record_apply(forward, &result->record);
    }
    if (result->outcome != FORWARD_PUT_DONE) {
        streams->due_us = forward->now_us +
                          version_record_retry_us(forward, streams->failures);
        streams->failures += failed ? 1 : 0;
        streams->dirty = true;
    }
    return streams->failures;
}

void
stream_record_check(forward_t *forward)
{
    streams_record_t *streams = &forward->streams_record;

    if (streams->revision != 0 && !streams->dirty && !is_wanted(forward)) {
        stream_record_set_due(forward, forward->now_us);
    }
    if (streams->dirty && !streams->pending &&
        forward->now_us >= streams->due_us) {
        write_streams(forward);
    }
    host_records_check(forward);
}

int64_t
stream_record_due_us(const forward_t *forward)
{
    const streams_record_t *streams = &forward->streams_record;
    int64_t due_us = host_records_due_us(forward);

    return streams->dirty && !streams->pending && streams->due_us < due_us
               ? streams->due_us
               : due_us;
}

const char *
stream_record_key(arena_t *arena, const char *host)
{
    return arena_printf(arena, "%s%s", streams_prefix, host);
}
