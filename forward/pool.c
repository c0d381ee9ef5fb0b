/*
 * pool.c - keeps the registered runners and their health; see pool.h.
 */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/arena.h"
#include "forward/pool_private.h"

enum {
    PERMILLE = 1000,
    /* Weight of a new sample in the moving average: one eighth. */
    FAILED_EWMA_SHIFT = 3,
    /* Runners lost in quick succession that put their zone into cooldown. */
    ZONE_LOSSES_MIN = 2,
};

/* A crashed runner restarts within about a second.  The cooldown doubles with
 * each consecutive loss. */
#define COOLDOWN_FIRST_US ((int64_t)400000)
#define COOLDOWN_MAX_US ((int64_t)3200000)
#define COOLDOWN_FULL_US ((int64_t)100000)
/* Longest interval between losses that count as one failure of a zone, and
 * the cooldown of the zone after it. */
#define ZONE_LOSS_INTERVAL_US ((int64_t)1000000)
#define ZONE_COOLDOWN_US ((int64_t)1500000)

/* The registry drops the entries of runners that are gone in less time. */
#define RESTORED_HELD_US ((int64_t)5000000)

/* Longer than the store may take to catch up after an outage. */
#define LEAVING_KEPT_US ((int64_t)60000000)

static pool_zone_t *find_or_add_zone(pool_t *pool, const char *name);
static void copy_registration(pool_runner_t *runner,
                              const registration_t *entry);
static void mark_address_conflicts(pool_t *pool, pool_runner_t *added);
static void free_runner(pool_t *pool, pool_runner_t *runner);
static void free_registration(pool_runner_t *runner);

pool_t *
pool_new(void)
{
    return xcalloc(1, sizeof(pool_t));
}

void
pool_free(pool_t *pool)
{
    pool_runner_t *runner;
    pool_runner_t *next;
    pool_zone_t *zone;
    pool_zone_t *next_zone;

    if (pool == NULL) {
        return;
    }
    HASH_ITER(hh, pool->runners, runner, next)
    {
        free_runner(pool, runner);
    }
    HASH_ITER(hh, pool->zones, zone, next_zone)
    {
        HASH_DEL(pool->zones, zone); /* NOLINT(clang-analyzer-*) */
        free(zone->name);
        free(zone);
    }
    free(pool);
}

runner_change_t
pool_update_runner(pool_t *pool, int64_t now_us, const registration_t *entry)
{
    runner_change_t change = RUNNER_UNCHANGED;
    pool_runner_t *runner;

    HASH_FIND_STR(pool->runners, entry->id, runner);
    if (runner == NULL) {
        runner = xcalloc(1, sizeof(*runner));
        pool->serial_count++;
        runner->serial = pool->serial_count;
        runner->id_hash = XXH3_64bits(entry->id, strlen(entry->id));
        copy_registration(runner, entry);
        mark_address_conflicts(pool, runner);
        HASH_ADD_KEYPTR(hh, pool->runners, runner->registration.id,
                        strlen(runner->registration.id), runner);
        HASH_ADD(by_hash, pool->by_hash, id_hash, sizeof(runner->id_hash),
                 runner);
        change = RUNNER_ADDED;
    }
    else {
        bool restarted =
            runner->registration.started_ms != entry->started_ms ||
            strcmp(runner->registration.address, entry->address) != 0;
        bool was_draining = runner->registration.draining;
        char *id = (char *)(uintptr_t)runner->registration.id;

        if (entry->draining && !runner->registration.draining) {
            change = RUNNER_DRAINING;
        }
        else if (runner->expires_at_us != 0) {
            change = RUNNER_RELISTED;
        }
        runner->registration.id = NULL;
        free_registration(runner);
        copy_registration(runner, entry);
        free((char *)(uintptr_t)runner->registration.id);
        runner->registration.id = id;
        /* A runner that drains does not become ready again. */
        runner->registration.draining |= was_draining && !restarted;
        if (restarted) {
            pool->serial_count++;
            runner->serial = pool->serial_count;
            runner->address_stale = false;
            runner->leaving = false;
            runner->losses = 0;
            runner->failed_permille = 0;
            runner->cooldown_until_us = 0;
            runner->silent_until_us = 0;
            runner->reported_ms = 0;
            runner->registered_us = now_us;
            change = RUNNER_RESTARTED;
        }
    }
    if (entry->restored) {
        change = RUNNER_RESTORED;
    }
    runner->restored_until_us =
        entry->restored ? now_us + RESTORED_HELD_US : 0;
    runner->zone = find_or_add_zone(pool, entry->zone);
    runner->expires_at_us = 0;
    runner->listed = true;
    return change;
}

bool
pool_keep_later_start(pool_t *pool, const registration_t *entry)
{
    pool_runner_t *runner;

    HASH_FIND_STR(pool->runners, entry->id, runner);
    if (runner == NULL || entry->started_ms == 0 ||
        runner->registration.started_ms <= entry->started_ms) {
        return false;
    }
    runner->listed = true;
    return true;
}

const pool_runner_t *
pool_remove_runner(pool_t *pool, const char *id, int64_t expires_at_us)
{
    pool_runner_t *runner;

    HASH_FIND_STR(pool->runners, id, runner);
    if (runner == NULL || runner->expires_at_us != 0) {
        return NULL;
    }
    runner->expires_at_us = expires_at_us;
    return runner;
}

void
pool_list_begin(pool_t *pool)
{
    pool_runner_t *runner;

    pool->list_in_progress = true;
    for (runner = pool->runners; runner != NULL; runner = runner->hh.next) {
        runner->listed = false;
    }
}

void
pool_list_end(pool_t *pool, int64_t expires_at_us)
{
    pool_runner_t *runner;

    pool->list_in_progress = false;
    for (runner = pool->runners; runner != NULL; runner = runner->hh.next) {
        if (!runner->listed && runner->expires_at_us == 0) {
            runner->expires_at_us = expires_at_us;
        }
    }
}

void
pool_free_expired(pool_t *pool, int64_t now_us)
{
    pool_runner_t *runner;
    pool_runner_t *next;

    HASH_ITER(hh, pool->runners, runner, next)
    {
        int64_t kept_us = runner->leaving ? LEAVING_KEPT_US : 0;

        if (runner->expires_at_us > 0 &&
            now_us >= runner->expires_at_us + kept_us &&
            runner->ref_count == 0) {
            free_runner(pool, runner);
        }
    }
}

bool
pool_runner_is_replaced(const pool_t *pool, uint64_t id_hash, uint64_t serial)
{
    const pool_runner_t *runner;

    HASH_FIND(by_hash, pool->by_hash, &id_hash, sizeof(id_hash), runner);
    return runner != NULL &&
           (runner->serial != serial || runner->address_stale);
}

pool_runner_t *
pool_find_hash(const pool_t *pool, uint64_t id_hash)
{
    pool_runner_t *runner;

    HASH_FIND(by_hash, pool->by_hash, &id_hash, sizeof(id_hash), runner);
    return runner;
}

uint64_t
pool_hash_service(const char *service)
{
    uint64_t hash = XXH3_64bits(service, strlen(service));

    return hash != 0 ? hash : 1;
}

const char *
pool_find_service(const pool_t *pool, uint64_t service)
{
    const pool_runner_t *runner;

    for (runner = pool->runners; runner != NULL; runner = runner->hh.next) {
        if (pool_hash_service(runner->registration.service) == service) {
            return runner->registration.service;
        }
    }
    return NULL;
}

pool_runner_t *
pool_find_runner(const pool_t *pool, const char *id)
{
    pool_runner_t *runner;

    HASH_FIND_STR(pool->runners, id, runner);
    return runner;
}

const pool_runner_t *
pool_first_runner(const pool_t *pool)
{
    return pool->runners;
}

uint32_t
pool_list_versions(const pool_t *pool, int64_t now_us, const char *service,
                   bool usable, uint64_t *versions)
{
    const pool_runner_t *runner;
    uint32_t count = 0;
    uint32_t i;

    for (runner = pool->runners; runner != NULL && count < POOL_VERSIONS_MAX;
         runner = runner->hh.next) {
        bool chosen = usable ? pool_runner_usable(runner, now_us)
                             : runner->expires_at_us == 0 ||
                                   now_us < runner->expires_at_us;

        if (!chosen || strcmp(runner->registration.service, service) != 0) {
            continue;
        }
        for (i = 0; i < count && versions[i] != runner->version; i++) {
        }
        if (i == count) {
            versions[count] = runner->version;
            count++;
        }
    }
    return count;
}

bool
pool_states_version(const pool_t *pool, const char *service)
{
    const pool_runner_t *runner;

    for (runner = pool->runners; runner != NULL; runner = runner->hh.next) {
        if (runner->registration.version[0] != '\0' &&
            strcmp(runner->registration.service, service) == 0) {
            return true;
        }
    }
    return false;
}

uint64_t
pool_runner_order(const pool_runner_t *runner)
{
    return XXH3_64bits(&runner->id_hash, sizeof(runner->id_hash));
}

bool
pool_runner_wrote_entry(const pool_runner_t *runner)
{
    return runner->reported_ms == 0 || runner->registration.started_ms == 0 ||
           runner->reported_ms == runner->registration.started_ms;
}

bool
pool_runner_usable(const pool_runner_t *runner, int64_t now_us)
{
    return !runner->registration.draining && !runner->leaving &&
           !runner->address_stale && now_us >= runner->restored_until_us &&
           (runner->expires_at_us == 0 || now_us < runner->expires_at_us);
}

void
pool_request_started(pool_runner_t *runner, bool stream)
{
    runner->running++;
    runner->prefilling += stream ? 1 : 0;
    runner->ref_count++;
}

void
pool_request_ended(pool_runner_t *runner, bool prefilling)
{
    runner->running--;
    runner->prefilling -= prefilling ? 1 : 0;
    runner->ref_count--;
}

void
pool_prefill_done(pool_runner_t *runner)
{
    runner->prefilling--;
}

void
pool_add_copy(pool_runner_t *runner)
{
    runner->copies++;
    runner->ref_count++;
}

void
pool_remove_copy(pool_runner_t *runner)
{
    runner->copies--;
    runner->ref_count--;
}

void
pool_clear_peer_streams(pool_t *pool)
{
    pool_runner_t *runner;

    for (runner = pool->runners; runner != NULL; runner = runner->hh.next) {
        runner->peers_running = 0;
        runner->peers_prefilling = 0;
    }
}

void
pool_count_peer_stream(pool_t *pool, uint64_t id_hash, bool prefilling)
{
    pool_runner_t *runner;

    HASH_FIND(by_hash, pool->by_hash, &id_hash, sizeof(id_hash), runner);
    if (runner != NULL) {
        runner->peers_running++;
        runner->peers_prefilling += prefilling ? 1 : 0;
    }
}

void
pool_uncount_peer_stream(pool_t *pool, uint64_t id_hash, bool prefilling)
{
    pool_runner_t *runner;

    HASH_FIND(by_hash, pool->by_hash, &id_hash, sizeof(id_hash), runner);
    if (runner != NULL) {
        runner->peers_running--;
        runner->peers_prefilling -= prefilling ? 1 : 0;
    }
}

uint64_t
pool_start_count(const pool_t *pool)
{
    return pool->serial_count;
}

void
pool_record_response(pool_runner_t *runner, bool failed)
{
    int32_t sample = failed ? PERMILLE : 0;
    int32_t previous = (int32_t)runner->failed_permille;

    runner->losses = 0;
    runner->failed_permille =
        (uint32_t)(previous + (sample - previous) / (1 << FAILED_EWMA_SHIFT));
}

bool
pool_record_loss(pool_runner_t *runner, int64_t now_us, bool silent)
{
    pool_zone_t *zone = runner->zone;
    int64_t cooldown_us = COOLDOWN_FIRST_US
                          << (runner->losses < 3 ? runner->losses : 3);

    if (now_us >= runner->cooldown_until_us) {
        runner->losses++;
        runner->cooldown_until_us =
            now_us +
            (cooldown_us < COOLDOWN_MAX_US ? cooldown_us : COOLDOWN_MAX_US);
    }
    if (silent) {
        return false;
    }
    if (zone->last_lost_serial == runner->serial) {
        zone->last_loss_us = now_us;
        return false;
    }
    zone->losses = now_us - zone->last_loss_us <= ZONE_LOSS_INTERVAL_US
                       ? zone->losses + 1
                       : 1;
    zone->last_loss_us = now_us;
    zone->last_lost_serial = runner->serial;
    if (zone->losses < ZONE_LOSSES_MIN || now_us < zone->cooldown_until_us) {
        return false;
    }
    zone->cooldown_until_us = now_us + ZONE_COOLDOWN_US;
    return true;
}

void
pool_record_probe(pool_t *pool, const char *id, bool answered, int64_t now_us)
{
    pool_runner_t *runner;

    HASH_FIND_STR(pool->runners, id, runner);
    if (runner != NULL) {
        runner->silent_until_us = answered ? 0 : now_us + COOLDOWN_FIRST_US;
    }
}

const pool_runner_t *
pool_record_start(pool_t *pool, const char *id, int64_t started_ms,
                  int64_t asked_us)
{
    pool_runner_t *runner;

    HASH_FIND_STR(pool->runners, id, runner);
    if (runner == NULL || asked_us < runner->registered_us ||
        runner->reported_ms == started_ms) {
        return NULL;
    }
    runner->reported_ms = started_ms;
    return runner;
}

void
pool_record_full(pool_runner_t *runner, int64_t now_us)
{
    if (runner->cooldown_until_us < now_us + COOLDOWN_FULL_US) {
        runner->cooldown_until_us = now_us + COOLDOWN_FULL_US;
    }
}

void
pool_mark_address_stale(pool_runner_t *runner)
{
    runner->address_stale = true;
}

void
pool_mark_address_stale_by_id(pool_t *pool, uint64_t id_hash)
{
    pool_runner_t *runner;

    HASH_FIND(by_hash, pool->by_hash, &id_hash, sizeof(id_hash), runner);
    if (runner != NULL) {
        pool_mark_address_stale(runner);
    }
}

bool
pool_mark_leaving(pool_runner_t *runner)
{
    bool known = runner->leaving;

    runner->leaving = true;
    return !known;
}

bool
pool_zone_in_cooldown(const pool_zone_t *zone, int64_t now_us)
{
    return now_us < zone->cooldown_until_us;
}

static pool_zone_t *
find_or_add_zone(pool_t *pool, const char *name)
{
    pool_zone_t *zone;

    HASH_FIND_STR(pool->zones, name, zone);
    if (zone == NULL) {
        zone = xcalloc(1, sizeof(*zone));
        zone->name = xstrdup(name);
        HASH_ADD_KEYPTR(hh, pool->zones, zone->name, strlen(zone->name), zone);
    }
    return zone;
}

/* 0 stands for any version, the highest value for none that is known. */
uint64_t
pool_hash_version(const char *version)
{
    uint64_t hash = XXH3_64bits(version, strlen(version));

    return hash != 0 && hash != UINT64_MAX ? hash : 1;
}

static void
copy_registration(pool_runner_t *runner, const registration_t *entry)
{
    runner->registration = *entry;
    runner->registration.id = xstrdup(entry->id);
    runner->registration.service = xstrdup(entry->service);
    runner->registration.address = xstrdup(entry->address);
    runner->registration.zone = xstrdup(entry->zone);
    runner->registration.version =
        xstrdup(entry->version != NULL ? entry->version : "");
    runner->version = pool_hash_version(runner->registration.version);
}

/*
 * A crashed runner may restart with a new id at its old address while its old
 * entry has not yet expired.  Of two entries with one address, the one with
 * the earlier start time is stale.  Without start times the new entry counts
 * as the later one, except in a complete list, which has no order of time.
 */
static void
mark_address_conflicts(pool_t *pool, pool_runner_t *added)
{
    pool_runner_t *runner;

    for (runner = pool->runners; runner != NULL; runner = runner->hh.next) {
        bool start_times_known = runner->registration.started_ms > 0 &&
                                 added->registration.started_ms > 0;

        if (strcmp(runner->registration.address,
                   added->registration.address) != 0 ||
            (!start_times_known && pool->list_in_progress)) {
            continue;
        }
        if (start_times_known &&
            runner->registration.started_ms > added->registration.started_ms) {
            added->address_stale = true;
        }
        else {
            runner->address_stale = true;
        }
    }
}

static void
free_runner(pool_t *pool, pool_runner_t *runner)
{
    /* NOLINTBEGIN(clang-analyzer-*) */
    HASH_DELETE(by_hash, pool->by_hash, runner);
    HASH_DEL(pool->runners, runner);
    /* NOLINTEND(clang-analyzer-*) */
    free_registration(runner);
    free(runner);
}

static void
free_registration(pool_runner_t *runner)
{
    free((char *)(uintptr_t)runner->registration.id);
    free((char *)(uintptr_t)runner->registration.service);
    free((char *)(uintptr_t)runner->registration.address);
    free((char *)(uintptr_t)runner->registration.zone);
    free((char *)(uintptr_t)runner->registration.version);
}
