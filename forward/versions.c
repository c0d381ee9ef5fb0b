/*
 * versions.c - the services and versions of runners' software that began
 * streams.
 *
 * What two versions write does not fit together, nor what two services do, so
 * a stream goes on only at the service and version that began it.  A caller
 * that takes up a stream may come to any host, after the loss of its own; so
 * each host keeps the versions of all hosts' streams for some time, and
 * stream_record.c keeps them in the store.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "forward/private.h"

enum { STREAMS_MAX = 16384 };

/* Reports of a stream within this time do not extend its entry. */
#define REFRESH_US ((int64_t)10000000)

/* What is written of this host's streams. */
typedef struct {
    bool all;    /* streams of all routes */
    bool places; /* their services and routes, too */
} record_form_t;

static void record_own(forward_t *forward, const request_t *request,
                       uint64_t version, bool own);
static stream_version_t *find_stream(const forward_t *forward,
                                     uint64_t stream);
static version_answer_t find_only_version(forward_t *forward,
                                          request_t *request);
static bool settle_service(forward_t *forward, request_t *request,
                           const stream_version_t *entry);
static bool is_written(const stream_version_t *entry,
                       const record_form_t *form);
static bool is_first_of_group(const stream_version_t *first,
                              const stream_version_t *entry,
                              const record_form_t *form);
static void write_group(text_t *text, const stream_version_t *entry,
                        const record_form_t *form);

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
        record_own(forward, request, VERSION_UNCERTAIN, true);
        return;
    }
    if (request->version == 0) {
        request->version = request->attempt.version;
    }
    record_own(forward, request, request->version, !request->attempt.relayed);
    stream_record_begun(forward, request->split);
}

static void
record_own(forward_t *forward, const request_t *request, uint64_t version,
           bool own)
{
    versions_record(forward,
                    &(stream_version_t){
                        .stream = request->stream,
                        .service = pool_hash_service(request->service),
                        .route = request->route,
                        .version = version,
                        .own = own,
                        .split = request->split,
                    });
}

void
versions_end_stream(forward_t *forward, const request_t *request)
{
    stream_version_t *entry = find_stream(forward, request->stream);

    if (entry != NULL) {
        entry->own = false;
    }
}

/* The first version that is recorded stays, once it is certain; so does the
 * service, which may be known before. */
void
versions_record(forward_t *forward, const stream_version_t *begun)
{
    stream_version_t *entry;

    if (begun->version == 0 && begun->service == 0) {
        return;
    }
    entry = find_stream(forward, begun->stream);
    if (entry != NULL) {
        entry->own = entry->own || begun->own;
        entry->split = entry->split || begun->split;
        if (begun->version != 0 &&
            (entry->version == 0 || entry->version == VERSION_UNCERTAIN)) {
            entry->version = begun->version;
        }
        if (entry->service == 0) {
            entry->service = begun->service;
        }
        if (entry->route == 0) {
            entry->route = begun->route;
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
        *entry = *begun;
    }
    entry->expiry_us = forward->now_us + STREAM_TTL_US;
    HASH_ADD(hh, forward->stream_versions, stream, sizeof(entry->stream),
             entry);
}

static stream_version_t *
find_stream(const forward_t *forward, uint64_t stream)
{
    stream_version_t *entry;

    HASH_FIND(hh, forward->stream_versions, &stream, sizeof(stream), entry);
    return entry;
}

const char *
versions_find_service(const forward_t *forward, const request_t *request)
{
    const stream_version_t *entry = find_stream(forward, request->stream);

    if (entry == NULL || entry->service == 0) {
        return route_services_only(
            forward, route_services_route(forward, request->route));
    }
    if (entry->route != 0 && entry->route != request->route) {
        return NULL;
    }
    return entry->route != 0
               ? route_services_find_begun(forward, entry->route,
                                           entry->service)
               : route_services_find(forward, request->route, entry->service);
}

version_answer_t
versions_find(forward_t *forward, request_t *request)
{
    const stream_version_t *entry;

    if (request->type != REQUEST_STREAM || request->last_event_id < 0) {
        return VERSION_FOUND;
    }
    entry = find_stream(forward, request->stream);
    if (!settle_service(forward, request, entry)) {
        return VERSION_UNKNOWN;
    }
    if (request->version != 0) {
        return VERSION_FOUND;
    }
    if (entry == NULL || entry->version == 0) {
        return find_only_version(forward, request);
    }
    if (entry->version == VERSION_UNCERTAIN) {
        return VERSION_UNKNOWN;
    }
    request->version = entry->version;
    return VERSION_FOUND;
}

/* Returns false if the service of the stream is not known.  That of a stream
 * that this host has begun is known, unless a host that it is relayed to tells
 * another one. */
static bool
settle_service(forward_t *forward, request_t *request,
               const stream_version_t *entry)
{
    const char *name;

    if (!request->service_unknown &&
        (entry == NULL || entry->service == 0 ||
         entry->service == pool_hash_service(request->service))) {
        return true;
    }
    name = versions_find_service(forward, request);
    if (name == NULL) {
        return false;
    }
    request_set_service(forward, request, name);
    request->service_unknown = false;
    return true;
}

/* Where several versions are recorded, or were until a short time ago, a
 * stream that no host knows may be of any of them.  A host that is out of step
 * may not know that there are several. */
static version_answer_t
find_only_version(forward_t *forward, request_t *request)
{
    const service_budget_t *service =
        find_or_add_service(forward, request->service);
    uint64_t version;

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

static int
compare_hashes(const void *left, const void *right)
{
    uint64_t a = *(const uint64_t *)left;
    uint64_t b = *(const uint64_t *)right;

    return a < b ? -1 : a > b;
}

void
versions_split_routes(forward_t *forward, uint64_t *routes, size_t count)
{
    stream_version_t *entry;
    request_t *request;
    bool found = false;

    if (count == 0) {
        return;
    }
    qsort(routes, count, sizeof(*routes), compare_hashes);
    for (request = forward->requests; request != NULL;
         request = request->hh.next) {
        if (request->type == REQUEST_STREAM &&
            bsearch(&request->route, routes, count, sizeof(*routes),
                    compare_hashes) != NULL) {
            request->split = true;
        }
    }
    for (entry = forward->stream_versions; entry != NULL;
         entry = entry->hh.next) {
        if (entry->own && !entry->split &&
            bsearch(&entry->route, routes, count, sizeof(*routes),
                    compare_hashes) != NULL) {
            entry->split = true;
            found = true;
        }
    }
    if (found) {
        stream_record_set_due(forward, forward->now_us);
    }
}

bool
versions_have_split(const forward_t *forward)
{
    const stream_version_t *entry;

    for (entry = forward->stream_versions; entry != NULL;
         entry = entry->hh.next) {
        if (entry->own && entry->split) {
            return true;
        }
    }
    return false;
}

/*
 * Appends a line for each group of streams that began at the same version,
 * service and route.  If the route of a stream does not tell its service, a
 * second list of lines follows: the service and the route of each group.
 */
size_t
versions_write_own(const forward_t *forward, text_t *text, size_t max)
{
    const stream_version_t *entry;
    const stream_version_t *first;
    size_t count = 0;
    record_form_t form = {.all = version_record_has_several(forward)};

    for (entry = forward->stream_versions; entry != NULL;
         entry = entry->hh.next) {
        count += is_written(entry, &form) ? 1 : 0;
        form.places = form.places || (entry->own && entry->split);
    }
    for (first = forward->stream_versions; first != NULL && count > max;
         first = first->hh.next) {
        count -= is_written(first, &form) ? 1 : 0;
    }
    for (entry = first; entry != NULL; entry = entry->hh.next) {
        if (is_first_of_group(first, entry, &form)) {
            write_group(text, entry, &form);
        }
    }
    for (entry = first; form.places && entry != NULL; entry = entry->hh.next) {
        if (is_first_of_group(first, entry, &form)) {
            text_printf(text, STREAM_PLACE_MARK "%" PRIx64 " %" PRIx64 "\n",
                        entry->service, entry->route);
        }
    }
    return count;
}

/* Returns whether a host that knows nothing needs the record to find out where
 * the stream has begun. */
static bool
is_written(const stream_version_t *entry, const record_form_t *form)
{
    return entry->own && (entry->split || form->all);
}

static bool
is_same_group(const stream_version_t *left, const stream_version_t *right,
              const record_form_t *form)
{
    return left->version == right->version &&
           (!form->places ||
            (left->service == right->service && left->route == right->route));
}

/* Returns whether the stream is written, and none of its group before it. */
static bool
is_first_of_group(const stream_version_t *first, const stream_version_t *entry,
                  const record_form_t *form)
{
    if (!is_written(entry, form)) {
        return false;
    }
    for (; first != entry; first = first->hh.next) {
        if (is_written(first, form) && is_same_group(first, entry, form)) {
            return false;
        }
    }
    return true;
}

/* Appends a line of the version and the streams of the group from this one on.
 */
static void
write_group(text_t *text, const stream_version_t *entry,
            const record_form_t *form)
{
    const stream_version_t *group = entry;

    text_printf(text, "%" PRIx64, group->version);
    for (; entry != NULL; entry = entry->hh.next) {
        if (is_written(entry, form) && is_same_group(entry, group, form)) {
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
        if (pool_hash_service(service->service) == use->service &&
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
