/*
 * version_record.c - keeps in the store which versions serve.
 *
 * Hosts remember the versions of streams together, but all of them may lose
 * power at the same moment.  Two kinds of keys outlive that:
 *
 *   agatevale/versions/SERVICE  the versions at which streams may have begun
 *   agatevale/streams/HOST      the streams that a host has begun, by version
 *
 * New streams go only to versions that are recorded, so that a stream that
 * nobody knows was begun at the recorded version if there is only one.  The
 * streams themselves are written only while there are several; see
 * stream_record.c.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include <xxhash.h>

#include "base/random.h"
#include "base/revision.h"
#include "forward/private.h"

enum {
    /* Of the store's keys, after the prefix. */
    KEY_BYTES_MAX = 200,
    HEXADECIMAL = 16,
    /* The hosts write one after the other, until one of them has written. */
    WRITER_STEP_MS = 300,
    /* Until then a host that has started may not know all hosts. */
    FIRST_WRITE_MS = 1000,
    /* All hosts may have restarted: for so long callers come back with streams
     * of the version that was recorded, which no host knows. */
    CALLERS_RETURN_MS = 5000,
    /* Until then all hosts know that a version is recorded. */
    VERSION_SPREAD_MS = 1000,
    RETRY_MIN_MS = 500,
    RETRY_MAX_MS = 4000,
};

/* A version without runners is removed from the record after this time, which
 * is longer than callers wait for a response. */
#define VERSION_TTL_US ((int64_t)60000000)
/* How often that is looked for. */
#define SEEN_CHECK_US ((int64_t)1000000)

static const char versions_prefix[] = "agatevale/versions/";

static version_record_t *find_or_add(forward_t *forward, const char *service);
static void apply_versions(forward_t *forward, const forward_record_t *record);
static uint32_t versions_written(forward_t *forward,
                                 const forward_put_result_t *result);
static bool is_versioned(const forward_t *forward, const char *service);
static bool contains(const uint64_t *versions, uint32_t count,
                     uint64_t version);
static void check_record(forward_t *forward, version_record_t *record);
static uint32_t list_wanted(const forward_t *forward,
                            const version_record_t *record,
                            const uint64_t *registered,
                            uint32_t registered_count, uint64_t *versions);
static bool differs(const version_record_t *record, const uint64_t *versions,
                    uint32_t count);
static int64_t write_due_us(const forward_t *forward,
                            const version_record_t *record);
static void write_versions(forward_t *forward, version_record_t *record,
                           const uint64_t *versions, uint32_t count);
static void set_due(forward_t *forward);

void
version_record_free(forward_t *forward)
{
    version_record_t *record;
    version_record_t *next;

    HASH_ITER(hh, forward->version_records, record, next)
    {
        /* NOLINTNEXTLINE(clang-analyzer-*) */
        HASH_DEL(forward->version_records, record);
        free(record->service);
        free(record);
    }
}

void
version_record_add_service(forward_t *forward, const char *service)
{
    (void)find_or_add(forward, service);
}

static version_record_t *
find_or_add(forward_t *forward, const char *service)
{
    version_record_t *record;

    HASH_FIND_STR(forward->version_records, service, record);
    if (record == NULL) {
        record = xcalloc(1, sizeof(*record));
        record->service = xstrdup(service);
        HASH_ADD_KEYPTR(hh, forward->version_records, record->service,
                        strlen(record->service), record);
    }
    return record;
}

bool
forward_is_record(const char *key)
{
    return strncmp(key, versions_prefix, strlen(versions_prefix)) == 0 ||
           rollouts_is_record(key) || forward_is_stream_record(key);
}

void
version_record_list_begin(forward_t *forward)
{
    version_record_t *record;

    for (record = forward->version_records; record != NULL;
         record = record->hh.next) {
        record->listed = false;
    }
    stream_record_list_begin(forward);
    rollouts_list_begin(forward);
}

void
version_record_list_end(forward_t *forward)
{
    version_record_t *record;

    for (record = forward->version_records; record != NULL;
         record = record->hh.next) {
        if (!record->listed) {
            record->count = 0;
            record->revision = 0;
        }
    }
    stream_record_list_end(forward);
    rollouts_list_end(forward);
    forward->records_known = true;
    forward->records_changed = true;
}

void
version_record_apply(forward_t *forward, const forward_record_t *record)
{
    if (rollouts_is_record(record->key)) {
        rollouts_apply_record(forward, record);
        return;
    }
    if (forward_is_stream_record(record->key)) {
        stream_record_apply(forward, record);
    }
    else {
        apply_versions(forward, record);
    }
    forward->records_changed = true;
}

void
version_record_written(forward_t *forward, const forward_put_result_t *result)
{
    uint32_t failures = 0;

    if (rollouts_is_record(result->record.key)) {
        rollouts_record_written(forward, result);
    }
    else if (forward_is_stream_record(result->record.key)) {
        failures = stream_record_written(forward, result);
    }
    else {
        failures = versions_written(forward, result);
    }

    emit_log(forward, LOG_INFO, "record-written",
             "key=%s outcome=%s revision=%" PRId64 " failures=%" PRIu32,
             result->record.key,
             result->outcome == FORWARD_PUT_DONE       ? "done"
             : result->outcome == FORWARD_PUT_CONFLICT ? "conflict"
                                                       : "failed",
             revision_number(result->record.revision), failures);
    forward->records_changed = true;
}

/* Returns the number of consecutive failures. */
static uint32_t
versions_written(forward_t *forward, const forward_put_result_t *result)
{
    version_record_t *record =
        find_or_add(forward, result->record.key + strlen(versions_prefix));
    bool failed = result->outcome == FORWARD_PUT_FAILED;

    record->pending = false;
    if (!failed) {
        record->failures = 0;
        apply_versions(forward, &result->record);
    }
    if (result->outcome != FORWARD_PUT_DONE) {
        record->retry_at_us = forward->now_us + version_record_retry_us(
                                                    forward, record->failures);
        record->failures += failed ? 1 : 0;
    }
    return record->failures;
}

void
version_record_check(forward_t *forward)
{
    version_record_t *record;

    forward->records_changed = false;
    forward->records_due_us = INT64_MAX;
    if (!forward->records_known) {
        return;
    }
    for (record = forward->version_records; record != NULL;
         record = record->hh.next) {
        check_record(forward, record);
    }
    stream_record_check(forward);
    set_due(forward);
}

static void
set_due(forward_t *forward)
{
    const version_record_t *record;
    int64_t due_us = stream_record_due_us(forward);

    for (record = forward->version_records; record != NULL;
         record = record->hh.next) {
        if (record->wanted && !record->pending && record->due_us < due_us) {
            due_us = record->due_us;
        }
        if (record->count > 1 && forward->now_us + SEEN_CHECK_US < due_us) {
            due_us = forward->now_us + SEEN_CHECK_US;
        }
    }
    forward->records_due_us = due_us;
}

uint32_t
version_record_list_usable(const forward_t *forward, const char *name,
                           uint64_t *versions)
{
    const version_record_t *record;
    uint64_t registered[VERSIONS_RECORDED_MAX];
    uint32_t registered_count;
    uint32_t count = 0;
    uint32_t i;

    HASH_FIND_STR(forward->version_records, name, record);
    if (record == NULL || record->count == 0) {
        return 0;
    }
    registered_count = pool_list_versions(forward->pool, forward->now_us, name,
                                          true, registered);
    for (i = 0; i < record->count; i++) {
        if (forward->now_us < record->usable_from_us[i]) {
            continue;
        }
        if (contains(registered, registered_count, record->versions[i])) {
            versions[count] = record->versions[i];
            count++;
        }
    }
    return count;
}

bool
version_record_find_only(const forward_t *forward, const char *name,
                         uint64_t *version)
{
    const version_record_t *record;

    *version = 0;
    if (!is_versioned(forward, name)) {
        return true;
    }
    HASH_FIND_STR(forward->version_records, name, record);
    if (record == NULL || record->count != 1) {
        return false;
    }
    *version = record->versions[0];
    return true;
}

/* A version that is recorded now is used a little later, since other hosts may
 * not know of it; those of a first read were recorded before. */
static void
apply_versions(forward_t *forward, const forward_record_t *record)
{
    version_record_t *current =
        find_or_add(forward, record->key + strlen(versions_prefix));
    version_record_t next = *current;
    const char *text = record->value;
    char *end;
    uint32_t i;

    if (!forward->list_in_progress && record->revision != 0 &&
        revision_is_older(record->revision, current->revision)) {
        return;
    }
    next.listed = true;
    next.revision = record->revision;
    next.count = 0;
    while (text != NULL && next.count < VERSIONS_RECORDED_MAX) {
        uint64_t version = strtoull(text, &end, HEXADECIMAL);

        if (end == text) {
            break;
        }
        next.versions[next.count] = version;
        next.seen_us[next.count] = forward->now_us;
        next.usable_from_us[next.count] =
            forward->records_known && current->count > 0
                ? forward->now_us + (int64_t)VERSION_SPREAD_MS * US_PER_MS
                : forward->now_us;
        for (i = 0; i < current->count; i++) {
            if (current->versions[i] == version) {
                next.seen_us[next.count] = current->seen_us[i];
                next.usable_from_us[next.count] = current->usable_from_us[i];
            }
        }
        next.count++;
        text = end;
    }
    if (next.count > 1) {
        find_or_add_service(forward, current->service)->versions_us =
            forward->now_us;
    }
    if (next.count > 1 && next.count != current->count) {
        stream_record_set_due(forward, forward->now_us);
    }
    *current = next;
    emit_log(forward, LOG_INFO, "versions-recorded",
             "service=%s versions=%" PRIu32 " revision=%" PRId64,
             record->key + strlen(versions_prefix), next.count,
             revision_number(record->revision));
}

/* Whether streams of the service are resumable, or some that began there are,
 * and its runners state their versions. */
static bool
is_versioned(const forward_t *forward, const char *service)
{
    size_t i;
    size_t j;

    if (forward->routing == NULL ||
        strlen(service) + strlen(versions_prefix) > KEY_BYTES_MAX ||
        !pool_states_version(forward->pool, service)) {
        return false;
    }
    for (i = 0; i < forward->routing->route_count; i++) {
        const route_t *route = &forward->routing->routes[i];

        for (j = 0; route->resumable && j < route->share_count; j++) {
            if (strcmp(route->shares[j].service, service) == 0) {
                return true;
            }
        }
    }
    return route_services_is_former(forward, service);
}

static bool
contains(const uint64_t *versions, uint32_t count, uint64_t version)
{
    uint32_t i;

    for (i = 0; i < count; i++) {
        if (versions[i] == version) {
            return true;
        }
    }
    return false;
}

static void
check_record(forward_t *forward, version_record_t *record)
{
    uint64_t versions[VERSIONS_RECORDED_MAX];
    uint64_t registered[VERSIONS_RECORDED_MAX];
    uint32_t registered_count;
    uint32_t count;
    uint32_t i;

    if (!is_versioned(forward, record->service)) {
        record->wanted = false;
        return;
    }
    if (record->count > 1) {
        find_or_add_service(forward, record->service)->versions_us =
            forward->now_us;
    }
    registered_count = pool_list_versions(forward->pool, forward->now_us,
                                          record->service, false, registered);
    for (i = 0; i < record->count; i++) {
        if (contains(registered, registered_count, record->versions[i])) {
            record->seen_us[i] = forward->now_us;
        }
    }
    count =
        list_wanted(forward, record, registered, registered_count, versions);
    if (!differs(record, versions, count)) {
        record->wanted = false;
        return;
    }
    if (!record->wanted) {
        record->wanted = true;
        record->wanted_us = forward->now_us;
    }
    record->due_us = write_due_us(forward, record);
    if (!record->pending && forward->now_us >= record->due_us) {
        write_versions(forward, record, versions, count);
    }
}

/* Lists the versions that are recorded or registered, but for those that have
 * had no runner for a long time. */
static uint32_t
list_wanted(const forward_t *forward, const version_record_t *record,
            const uint64_t *registered, uint32_t registered_count,
            uint64_t *versions)
{
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < record->count; i++) {
        if (forward->now_us - record->seen_us[i] < VERSION_TTL_US) {
            versions[count] = record->versions[i];
            count++;
        }
    }
    for (i = 0; i < registered_count && count < VERSIONS_RECORDED_MAX; i++) {
        if (!contains(record->versions, record->count, registered[i])) {
            versions[count] = registered[i];
            count++;
        }
    }
    return count;
}

static bool
differs(const version_record_t *record, const uint64_t *versions,
        uint32_t count)
{
    uint32_t i;

    if (count != record->count) {
        return count > 0;
    }
    for (i = 0; i < count; i++) {
        if (!contains(record->versions, record->count, versions[i])) {
            return true;
        }
    }
    return false;
}

static int64_t
write_due_us(const forward_t *forward, const version_record_t *record)
{
    uint64_t usable[VERSIONS_RECORDED_MAX];
    int64_t first_ms = FIRST_WRITE_MS;
    int64_t due_us = record->wanted_us;

    if (record->count > 0) {
        first_ms =
            version_record_list_usable(forward, record->service, usable) > 0
                ? CALLERS_RETURN_MS
                : 0;
    }
    if (due_us < forward->started_us + first_ms * US_PER_MS) {
        due_us = forward->started_us + first_ms * US_PER_MS;
    }
    due_us += (int64_t)record_writers_before(forward, record->service) *
              WRITER_STEP_MS * US_PER_MS;
    return due_us > record->retry_at_us ? due_us : record->retry_at_us;
}

/* The name draws the order of the hosts. */
uint32_t
record_writers_before(const forward_t *forward, const char *name)
{
    uint64_t seed = XXH3_64bits(name, strlen(name));
    uint64_t own_hash =
        XXH3_64bits_withSeed(forward->host, strlen(forward->host), seed);
    const pool_runner_t *host;
    uint32_t count = 0;

    for (host = pool_first_runner(forward->host_pool); host != NULL;
         host = host->hh.next) {
        const char *id = host->registration.id;

        if (pool_runner_usable(host, forward->now_us) &&
            XXH3_64bits_withSeed(id, strlen(id), seed) > own_hash) {
            count++;
        }
    }
    return count;
}

static void
write_versions(forward_t *forward, version_record_t *record,
               const uint64_t *versions, uint32_t count)
{
    arena_t *arena = &forward->actions->arena;
    const char *value = "";
    uint32_t i;

    for (i = 0; i < count; i++) {
        value = arena_printf(arena, "%s%s%016" PRIx64, value, i > 0 ? " " : "",
                             versions[i]);
    }
    record->pending = true;
    version_record_put(
        forward, arena_printf(arena, "%s%s", versions_prefix, record->service),
        value, record->revision);
}

bool
version_record_has_several(const forward_t *forward)
{
    const version_record_t *record;

    for (record = forward->version_records; record != NULL;
         record = record->hh.next) {
        if (record->count > 1) {
            return true;
        }
    }
    return false;
}

void
version_record_put(forward_t *forward, const char *key, const char *value,
                   int64_t revision)
{
    action_new(forward, FORWARD_ACTION_PUT_RECORD, 0)->u.record =
        (forward_record_t){.key = key, .value = value, .revision = revision};
}

/* Hosts that fail together do not come again together. */
int64_t
version_record_retry_us(forward_t *forward, uint32_t failures)
{
    int64_t limit_us = (int64_t)RETRY_MIN_MS * US_PER_MS;

    while (failures > 0 && limit_us < (int64_t)RETRY_MAX_MS * US_PER_MS) {
        limit_us *= 2;
        failures--;
    }
    return limit_us / 2 + (int64_t)(random_next_from(&forward->random_state) %
                                    (uint64_t)(limit_us / 2));
}
