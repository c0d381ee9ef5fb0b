/*
 * versions.c - the versions of runners' software that began streams.
 *
 * What two versions write does not fit together, so a stream goes on only at
 * the version that began it.  A caller that takes up a stream may come to any
 * host, after the loss of its own; so each host keeps the versions of all
 * hosts' streams for some time.
 */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "forward/private.h"

enum { STREAMS_MAX = 16384 };

/* Longer than callers wait for a response. */
#define STREAM_TTL_US ((int64_t)60000000)
/* Reports of a stream within this time do not extend its entry. */
#define REFRESH_US ((int64_t)10000000)

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
    if (request->version == 0) {
        request->version = request->attempt.version;
    }
    versions_record(forward, request->stream, request->version);
}

/* The first version that is recorded stays. */
void
versions_record(forward_t *forward, uint64_t stream, uint64_t version)
{
    stream_version_t *entry;

    if (version == 0) {
        return;
    }
    HASH_FIND(hh, forward->stream_versions, &stream, sizeof(stream), entry);
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
    }
    entry->expiry_us = forward->now_us + STREAM_TTL_US;
    HASH_ADD(hh, forward->stream_versions, stream, sizeof(entry->stream),
             entry);
}

/* Whether the reports of all other hosts have come since this one started. */
static bool
has_heard_peers(const forward_t *forward)
{
    return forward->hosts <= 1 || forward->now_us - forward->started_us >=
                                      sharing_timeout_us(forward);
}

bool
versions_find(forward_t *forward, request_t *request)
{
    const service_budget_t *service;
    stream_version_t *entry;

    if (request->type != REQUEST_STREAM || request->last_event_id < 0 ||
        request->version != 0) {
        return true;
    }
    HASH_FIND(hh, forward->stream_versions, &request->stream,
              sizeof(request->stream), entry);
    if (entry != NULL) {
        request->version = entry->version;
        return true;
    }
    versions_check_service(forward, request->service);
    service = find_or_add_service(forward, request->service);
    return has_heard_peers(forward) &&
           (service->versions_us == INT64_MIN ||
            forward->now_us - service->versions_us >= STREAM_TTL_US);
}

void
versions_check_service(forward_t *forward, const char *service)
{
    if (pool_has_versions(forward->pool, forward->now_us, service)) {
        find_or_add_service(forward, service)->versions_us = forward->now_us;
    }
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
