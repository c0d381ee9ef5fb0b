/* host_records.c - see host_records.h. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include "forward/private.h"

/* Far longer than callers come back for a stream. */
#define RECORD_TTL_US ((int64_t)300000000)
#define CHECK_INTERVAL_US ((int64_t)10000000)
/* The next host removes it if the first one has not. */
#define REMOVER_STEP_US ((int64_t)20000000)

static host_record_t *find_or_add(forward_t *forward, const char *host);
static void remove_entry(forward_t *forward, host_record_t *entry);
static bool is_due(const forward_t *forward, const host_record_t *entry);
static bool is_alive(const forward_t *forward, const char *host);

void
host_records_list_begin(forward_t *forward)
{
    host_record_t *entry;

    for (entry = forward->host_records; entry != NULL;
         entry = entry->hh.next) {
        entry->listed = false;
    }
}

void
host_records_list_end(forward_t *forward)
{
    host_record_t *entry;
    host_record_t *next;

    HASH_ITER(hh, forward->host_records, entry, next)
    {
        if (!entry->listed) {
            remove_entry(forward, entry);
        }
    }
}

void
host_records_apply(forward_t *forward, const char *host,
                   const forward_record_t *record)
{
    host_record_t *entry;

    if (record->value == NULL) {
        HASH_FIND_STR(forward->host_records, host, entry);
        if (entry != NULL) {
            remove_entry(forward, entry);
        }
        return;
    }
    entry = find_or_add(forward, host);
    entry->listed = true;
    if (entry->revision != record->revision) {
        entry->revision = record->revision;
        entry->alive_us = forward->now_us;
    }
}

static host_record_t *
find_or_add(forward_t *forward, const char *host)
{
    host_record_t *entry;

    HASH_FIND_STR(forward->host_records, host, entry);
    if (entry == NULL) {
        entry = xcalloc(1, sizeof(*entry));
        entry->host = xstrdup(host);
        HASH_ADD_KEYPTR(hh, forward->host_records, entry->host,
                        strlen(entry->host), entry);
    }
    return entry;
}

static void
remove_entry(forward_t *forward, host_record_t *entry)
{
    HASH_DEL(forward->host_records, entry); /* NOLINT(clang-analyzer-*) */
    free(entry->host);
    free(entry);
}

void
host_records_removed(forward_t *forward, const char *host)
{
    host_record_t *entry;

    HASH_FIND_STR(forward->host_records, host, entry);
    if (entry != NULL) {
        entry->pending = false;
    }
}

/* One at a time: no host has to be quick. */
void
host_records_check(forward_t *forward)
{
    arena_t *arena = &forward->actions->arena;
    host_record_t *entry;

    if (forward->now_us < forward->host_records_due_us) {
        return;
    }
    forward->host_records_due_us = forward->now_us + CHECK_INTERVAL_US;
    for (entry = forward->host_records; entry != NULL;
         entry = entry->hh.next) {
        if (is_alive(forward, entry->host)) {
            entry->alive_us = forward->now_us;
        }
        else if (!entry->pending && is_due(forward, entry)) {
            entry->pending = true;
            emit_log(forward, LOG_INFO, "host-record-expired", "host=%s",
                     entry->host);
            version_record_put(forward, stream_record_key(arena, entry->host),
                               NULL, entry->revision);
            return;
        }
    }
}

/* The order of the hosts is looked up last: it takes a hash of each. */
static bool
is_due(const forward_t *forward, const host_record_t *entry)
{
    int64_t due_us = entry->alive_us + RECORD_TTL_US;

    return forward->now_us >= due_us &&
           forward->now_us >=
               due_us + record_writers_before(forward, entry->host) *
                            REMOVER_STEP_US;
}

static bool
is_alive(const forward_t *forward, const char *host)
{
    const pool_runner_t *listed = pool_find_runner(forward->host_pool, host);
    const peer_state_t *peer;

    HASH_FIND_STR(forward->peers, host, peer);
    return (listed != NULL && pool_runner_usable(listed, forward->now_us)) ||
           (peer != NULL &&
            forward->now_us - peer->received_us < CHECK_INTERVAL_US);
}

int64_t
host_records_due_us(const forward_t *forward)
{
    return forward->host_records != NULL ? forward->host_records_due_us
                                         : INT64_MAX;
}

void
host_records_free(forward_t *forward)
{
    host_record_t *entry;
    host_record_t *next;

    HASH_ITER(hh, forward->host_records, entry, next)
    {
        remove_entry(forward, entry);
    }
}
