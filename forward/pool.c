/* pool.c - see pool.h. */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/arena.h"
#include "forward/pool_private.h"

enum {
    PERMILLE = 1000,
    /* A failure moves the smoothed share by one eighth. */
    FAILED_SHIFT = 3,
    /* Runners lost together that make a zone rest. */
    ZONE_LOSSES = 2,
};

/* A crashed runner is back after about a second; doubled on each loss. */
#define REST_FIRST_US ((int64_t)400000)
#define REST_MAX_US ((int64_t)3200000)
#define REST_FULL_US ((int64_t)100000)
/* Losses that count as one event of a zone, and how long it then rests. */
#define ZONE_TOGETHER_US ((int64_t)1000000)
#define ZONE_REST_US ((int64_t)1500000)

static pool_zone_t *zone_of(pool_t *pool, const char *name);
static void keep(pool_runner_t *runner, const registration_t *is);
static void settle_address(pool_t *pool, pool_runner_t *added);
static void forget(pool_t *pool, pool_runner_t *runner);
static void release(pool_runner_t *runner);

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
        forget(pool, runner);
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
pool_put(pool_t *pool, int64_t now_us, const registration_t *is)
{
    runner_change_t change = RUNNER_SAME;
    pool_runner_t *runner;

    HASH_FIND_STR(pool->runners, is->id, runner);
    if (runner == NULL) {
        runner = xcalloc(1, sizeof(*runner));
        pool->serials++;
        runner->serial = pool->serials;
        runner->id_hash = XXH3_64bits(is->id, strlen(is->id));
        keep(runner, is);
        settle_address(pool, runner);
        HASH_ADD_KEYPTR(hh, pool->runners, runner->is.id,
                        strlen(runner->is.id), runner);
        HASH_ADD(by_hash, pool->by_hash, id_hash, sizeof(runner->id_hash),
                 runner);
        change = RUNNER_ADDED;
    }
    else {
        bool again = runner->is.started_ms != is->started_ms ||
                     strcmp(runner->is.address, is->address) != 0;
        char *id = (char *)(uintptr_t)runner->is.id;

        if (is->draining && !runner->is.draining) {
            change = RUNNER_DRAINING;
        }
        else if (runner->drop_at_us != 0) {
            change = RUNNER_BACK;
        }
        runner->is.id = NULL;
        release(runner);
        keep(runner, is);
        free((char *)(uintptr_t)runner->is.id);
        runner->is.id = id;
        if (again) {
            pool->serials++;
            runner->serial = pool->serials;
            runner->misdirected = false;
            runner->losses = 0;
            runner->failed_permille = 0;
            runner->rests_until_us = 0;
            change = RUNNER_RESTARTED;
        }
    }
    runner->zone = zone_of(pool, is->zone);
    runner->drop_at_us = 0;
    runner->listed = true;
    return change;
}

const pool_runner_t *
pool_drop(pool_t *pool, const char *id, int64_t gone_at_us)
{
    pool_runner_t *runner;

    HASH_FIND_STR(pool->runners, id, runner);
    if (runner == NULL || runner->drop_at_us != 0) {
        return NULL;
    }
    runner->drop_at_us = gone_at_us;
    return runner;
}

void
pool_list_begin(pool_t *pool)
{
    pool_runner_t *runner;

    pool->listing = true;
    for (runner = pool->runners; runner != NULL; runner = runner->hh.next) {
        runner->listed = false;
    }
}

void
pool_list_end(pool_t *pool, int64_t gone_at_us)
{
    pool_runner_t *runner;

    pool->listing = false;
    for (runner = pool->runners; runner != NULL; runner = runner->hh.next) {
        if (!runner->listed && runner->drop_at_us == 0) {
            runner->drop_at_us = gone_at_us;
        }
    }
}

void
pool_sweep(pool_t *pool, int64_t now_us)
{
    pool_runner_t *runner;
    pool_runner_t *next;

    HASH_ITER(hh, pool->runners, runner, next)
    {
        if (runner->drop_at_us > 0 && now_us >= runner->drop_at_us &&
            runner->holders == 0) {
            forget(pool, runner);
        }
    }
}

bool
pool_has_ended(const pool_t *pool, uint64_t id_hash, uint64_t serial)
{
    const pool_runner_t *runner;

    HASH_FIND(by_hash, pool->by_hash, &id_hash, sizeof(id_hash), runner);
    return runner == NULL || runner->serial != serial ||
           runner->drop_at_us != 0 || runner->misdirected;
}

const pool_runner_t *
pool_first(const pool_t *pool)
{
    return pool->runners;
}

bool
pool_usable(const pool_runner_t *runner, int64_t now_us)
{
    return !runner->is.draining && !runner->misdirected &&
           (runner->drop_at_us == 0 || now_us < runner->drop_at_us);
}

void
pool_start(pool_runner_t *runner, bool stream)
{
    runner->running++;
    runner->reading += stream ? 1 : 0;
    runner->holders++;
}

void
pool_end(pool_runner_t *runner, bool reading)
{
    runner->running--;
    runner->reading -= reading ? 1 : 0;
    runner->holders--;
}

void
pool_read(pool_runner_t *runner)
{
    runner->reading--;
}

void
pool_copy_start(pool_runner_t *runner)
{
    runner->copies++;
    runner->holders++;
}

void
pool_copy_end(pool_runner_t *runner)
{
    runner->copies--;
    runner->holders--;
}

void
pool_peers_clear(pool_t *pool)
{
    pool_runner_t *runner;

    for (runner = pool->runners; runner != NULL; runner = runner->hh.next) {
        runner->peers_running = 0;
        runner->peers_reading = 0;
    }
}

void
pool_peers_add(pool_t *pool, uint64_t id_hash, bool reading)
{
    pool_runner_t *runner;

    HASH_FIND(by_hash, pool->by_hash, &id_hash, sizeof(id_hash), runner);
    if (runner != NULL) {
        runner->peers_running++;
        runner->peers_reading += reading ? 1 : 0;
    }
}

void
pool_answered(pool_runner_t *runner, bool failed)
{
    int32_t sample = failed ? PERMILLE : 0;
    int32_t was = (int32_t)runner->failed_permille;

    runner->losses = 0;
    runner->failed_permille =
        (uint32_t)(was + (sample - was) / (1 << FAILED_SHIFT));
}

bool
pool_lost(pool_runner_t *runner, int64_t now_us)
{
    pool_zone_t *zone = runner->zone;
    int64_t rest_us = REST_FIRST_US
                      << (runner->losses < 3 ? runner->losses : 3);

    if (now_us >= runner->rests_until_us) {
        runner->losses++;
        runner->rests_until_us =
            now_us + (rest_us < REST_MAX_US ? rest_us : REST_MAX_US);
    }
    if (zone->last_serial == runner->serial) {
        zone->last_us = now_us;
        return false;
    }
    zone->losses =
        now_us - zone->last_us <= ZONE_TOGETHER_US ? zone->losses + 1 : 1;
    zone->last_us = now_us;
    zone->last_serial = runner->serial;
    if (zone->losses < ZONE_LOSSES || now_us < zone->rests_until_us) {
        return false;
    }
    zone->rests_until_us = now_us + ZONE_REST_US;
    return true;
}

void
pool_full(pool_runner_t *runner, int64_t now_us)
{
    if (runner->rests_until_us < now_us + REST_FULL_US) {
        runner->rests_until_us = now_us + REST_FULL_US;
    }
}

void
pool_misdirected(pool_runner_t *runner)
{
    runner->misdirected = true;
}

void
pool_peer_misdirected(pool_t *pool, uint64_t id_hash)
{
    pool_runner_t *runner;

    HASH_FIND(by_hash, pool->by_hash, &id_hash, sizeof(id_hash), runner);
    if (runner != NULL) {
        pool_misdirected(runner);
    }
}

bool
pool_zone_rests(const pool_zone_t *zone, int64_t now_us)
{
    return now_us < zone->rests_until_us;
}

static pool_zone_t *
zone_of(pool_t *pool, const char *name)
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

static void
keep(pool_runner_t *runner, const registration_t *is)
{
    runner->is = *is;
    runner->is.id = xstrdup(is->id);
    runner->is.service = xstrdup(is->service);
    runner->is.address = xstrdup(is->address);
    runner->is.zone = xstrdup(is->zone);
}

/*
 * A runner that crashed starts again under a new id at its old address, and
 * its old entry stands until it lapses.  One of the two is there no more.
 */
static void
settle_address(pool_t *pool, pool_runner_t *added)
{
    pool_runner_t *runner;

    for (runner = pool->runners; runner != NULL; runner = runner->hh.next) {
        bool dated = runner->is.started_ms > 0 && added->is.started_ms > 0;

        if (strcmp(runner->is.address, added->is.address) != 0 ||
            (!dated && pool->listing)) {
            continue;
        }
        if (dated && runner->is.started_ms > added->is.started_ms) {
            added->misdirected = true;
        }
        else {
            runner->misdirected = true;
        }
    }
}

static void
forget(pool_t *pool, pool_runner_t *runner)
{
    /* NOLINTBEGIN(clang-analyzer-*) */
    HASH_DELETE(by_hash, pool->by_hash, runner);
    HASH_DEL(pool->runners, runner);
    /* NOLINTEND(clang-analyzer-*) */
    release(runner);
    free(runner);
}

static void
release(pool_runner_t *runner)
{
    free((char *)(uintptr_t)runner->is.id);
    free((char *)(uintptr_t)runner->is.service);
    free((char *)(uintptr_t)runner->is.address);
    free((char *)(uintptr_t)runner->is.zone);
}
