/*
 * versions.c - the versions of runners' software that began streams.
 *
 * What two versions write does not fit together, so a stream goes on only at
 * the version that began it.  A caller that takes up a stream may come to any
 * host, after the loss of its own; so each host keeps the versions of all
 * hosts' streams for some time, and stream_record.c keeps them in the store.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "forward/private.h"

enum { STREAMS_MAX = 16384 };

/* Longer than callers wait for a response. */
#define STREAM_TTL_US ((int64_t)60000000)
/* Reports of a stream within this time do not extend its entry. */
#define REFRESH_US ((int64_t)10000000)

static bool is_first_of_version(const stream_version_t *first,
                                const stream_version_t *entry);
static void write_version(text_t *text, const stream_version_t *entry);

static void
remove_oldest(forward_t *forward)
{
    stream_version_t *oldest = forward->stream_versions;

    HASH_DEL(forward->stream_versions, oldest); /* NOLINT(clang-analyzer-*) */
    free(oldest);
}

void
versions_begin_stream(forward_t *forward, request_t *request)
{
    if (identify_is_pending(request)) {
        versions_record(forward, request->stream, VERSION_UNCERTAIN, true);
        return;
    }
    if (request->version == 0) {
        request->version = request->attempt.version;
    }
    versions_record(forward, request->stream, request->version,
                    !request->attempt.relayed);
    stream_record_begun(forward);
}

void
versions_end_stream(forward_t *forward, const request_t *request)
{
    stream_version_t *entry;

    HASH_FIND(hh, forward->stream_versions, &request->stream,
              sizeof(request->stream), entry);
    if (entry != NULL) {
        entry->own = false;
    }
}

/* The first version that is recorded stays, once it is certain. */
void
versions_record(forward_t *forward, uint64_t stream, uint64_t version,
                bool own)
{
    stream_version_t *entry;

    if (version == 0) {
        return;
    }
    HASH_FIND(hh, forward->stream_versions, &stream, sizeof(stream), entry);
    if (entry != NULL) {
        entry->own = entry->own || own;
        if (entry->version == VERSION_UNCERTAIN) {
            entry->version = version;
        }
    }
    if (entry != NULL &&
        entry->expiry_us - forward->now_us > STREAM_TTL_US - REFRESH_US) {
        return;
    }
    if (entry != NULL) {
        HASH_DEL(forward->stream_versions,
                 entry); /* NOLINT(clang-analyzer-*) */
    }
    else {
        if (HASH_COUNT(forward->stream_versions) >= STREAMS_MAX) {
            remove_oldest(forward);
        }
        entry = xcalloc(1, sizeof(*entry));
        entry->stream = stream;
        entry->version = version;
        entry->own = own;
    }
    entry->expiry_us = forward->now_us + STREAM_TTL_US;
    HASH_ADD(hh, forward->stream_versions, stream, sizeof(entry->stream),
             entry);
}

/* Where several versions are recorded, or were until a short time ago, a
 * stream that no host knows may be of any of them.  A host that is out of step
 * may not know that there are several. */
version_answer_t
versions_find(forward_t *forward, request_t *request)
{
    const service_budget_t *service;
    stream_version_t *entry;
    uint64_t version;

    if (request->type != REQUEST_STREAM || request->last_event_id < 0 ||
        request->version != 0) {
        return VERSION_FOUND;
    }
    HASH_FIND(hh, forward->stream_versions, &request->stream,
              sizeof(request->stream), entry);
    if (entry != NULL && entry->version == VERSION_UNCERTAIN) {
        return VERSION_UNKNOWN;
    }
    if (entry != NULL) {
        request->version = entry->version;
        return VERSION_FOUND;
    }
    service = find_or_add_service(forward, request->service);
    if (!version_record_find_only(forward, request->service, &version) ||
        (version != 0 && service->versions_us != INT64_MIN &&
         forward->now_us - service->versions_us < STREAM_TTL_US)) {
        return VERSION_UNKNOWN;
    }
    if (version != 0) {
        switch (view_knows_versions(forward, request)) {
        case VIEW_AWAITED:
            return VERSION_AWAITED;
        case VIEW_TOO_OLD:
            return VERSION_UNKNOWN;
        case VIEW_DECIDES:
            break;
        }
    }
    request->version = version;
    return VERSION_FOUND;
}

size_t
versions_write_own(const forward_t *forward, text_t *text, size_t max)
{
    const stream_version_t *entry;
    const stream_version_t *first;
    size_t count = 0;

    for (entry = forward->stream_versions; entry != NULL;
         entry = entry->hh.next) {
        count += entry->own ? 1 : 0;
    }
    for (first = forward->stream_versions; first != NULL && count > max;
         first = first->hh.next) {
        count -= first->own ? 1 : 0;
    }
    for (entry = first; entry != NULL; entry = entry->hh.next) {
        if (entry->own && is_first_of_version(first, entry)) {
            write_version(text, entry);
        }
    }
    return count;
}

/* Whether no stream of the version stands before this one. */
static bool
is_first_of_version(const stream_version_t *first,
                    const stream_version_t *entry)
{
    for (; first != entry; first = first->hh.next) {
        if (first->own && first->version == entry->version) {
            return false;
        }
    }
    return true;
}

/* Appends a line of the version and its streams from this one on. */
static void
write_version(text_t *text, const stream_version_t *entry)
{
    uint64_t version = entry->version;

    text_printf(text, "%" PRIx64, version);
    for (; entry != NULL; entry = entry->hh.next) {
        if (entry->own && entry->version == version) {
            text_printf(text, " %" PRIx64, entry->stream);
        }
    }
    text_puts(text, "\n");
}

/* A host that has just started may not have seen the other version. */
void
versions_merge_seen(forward_t *forward, const budget_use_t *use)
{
    service_budget_t *service;
    int64_t seen_us =
        forward->now_us - (int64_t)use->versions_age_ms * US_PER_MS;

    if (use->versions_age_ms == LINK_NEVER) {
        return;
    }
    for (service = forward->budgets; service != NULL;
         service = service->hh.next) {
        if (XXH3_64bits(service->service, strlen(service->service)) ==
                use->service &&
            service->versions_us < seen_us) {
            service->versions_us = seen_us;
        }
    }
}

void
versions_expire(forward_t *forward)
{
    while (forward->stream_versions != NULL &&
           forward->now_us >= forward->stream_versions->expiry_us) {
        remove_oldest(forward);
    }
}

void
versions_free(forward_t *forward)
{
    while (forward->stream_versions != NULL) {
        remove_oldest(forward);
    }
}
