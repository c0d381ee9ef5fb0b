/* runner.c - the runners of the platform, and what befalls them. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/arena.h"
#include "regress/soak/runner.h"
#include "regress/soak/soak.h"
#include "regress/standin/server.h"

enum {
    TICK_MS = 50,
    SLOTS = 32,
    DOWN_LEAST_MS = 300,
    DOWN_SPREAD_MS = 1500,
    LAPSE_MS = 3600,
    LEAVING_MS = 2000, /* then it stops */
    SPOILT_MS = 3000,
    MS_PER_S = 1000,
    NS_PER_MS = 1000000,
};

static runner_t runners[SOAK_RUNNERS_MAX];
static size_t count;
static uv_timer_t timer;

static void on_tick(uv_timer_t *tick);
static void plan_start(runner_t *runner, uint64_t down_ms);
static void prepare(runner_t *runner, bool same_id);
static void start(runner_t *runner);
static void register_it(const runner_t *runner);
static void end_silence(runner_t *runner);

void
runners_open(uint32_t engines)
{
    static const char *const zones[] = {"a", "b", "c"};
    size_t i;

    count = engines + SOAK_PLAIN;
    for (i = 0; i < count; i++) {
        runners[i].zone = zones[i % 3];
        runners[i].engine = i < engines;
        runners[i].service = split_service(i);
        runners[i].proxy = proxy_open(0);
        if (soak_plays(SOAK_PARTITION)) {
            proxy_know_hosts(runners[i].proxy);
        }
        prepare(&runners[i], false);
        start(&runners[i]);
        register_it(&runners[i]);
    }
    (void)uv_timer_init(soak_loop(), &timer);
    (void)uv_timer_start(&timer, on_tick, TICK_MS, TICK_MS);
}

size_t
runners_count(void)
{
    return count;
}

size_t
runner_number(const runner_t *runner)
{
    return (size_t)(runner - runners);
}

proxy_t *
runner_proxy(size_t runner)
{
    return runners[runner].proxy;
}

bool
runner_is_engine(size_t runner)
{
    return runners[runner].engine;
}

bool
runner_is_sound(size_t which, uint64_t since_ms)
{
    const runner_t *runner = &runners[which];

    return runner->server != NULL && runner->leaving_ms == 0 &&
           runner->started_ms < since_ms && runner->spoilt_until_ms < since_ms;
}

uint64_t
runner_silent_ms(size_t runner)
{
    return runners[runner].silent_ms;
}

uint64_t
runner_silent_until_ms(size_t runner)
{
    return runners[runner].silent_until_ms;
}

static void
plan_start(runner_t *runner, uint64_t down_ms)
{
    int64_t entry_ms = versions_entry_ms();

    runner->entry_ms = soak_now_ms() + down_ms;
    runner->back_ms = runner->entry_ms;
    runner->entry_ms += entry_ms > 0 ? (uint64_t)entry_ms : 0;
    runner->back_ms += entry_ms < 0 ? (uint64_t)-entry_ms : 0;
    runner->prepared = false;
}

/* Its next process, which may not listen yet. */
static void
prepare(runner_t *runner, bool same_id)
{
    struct timespec now;

    (void)clock_gettime(CLOCK_REALTIME, &now);
    if (!same_id) {
        (void)snprintf(runner->id, sizeof(runner->id), "%s%zu-%" PRIu32,
                       runner->engine ? "engine" : "plain",
                       (size_t)(runner - runners), runner->starts);
    }
    runner->starts++;
    runner->version = versions_next();
    runner->born_ms = (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
    runner->leaving_ms = 0;
    runner->prepared = true;
    soak_note("start %s v%" PRIu32 " born %" PRId64 ", entry %" PRId64
              " ms after it listens",
              runner->id, runner->version, runner->born_ms,
              (int64_t)(runner->entry_ms - runner->back_ms));
}

static void
start(runner_t *runner)
{
    runner->back_ms = 0;
    runner->server = server_open(soak_loop(), 0, &runner_ops, runner);
    proxy_set_target(runner->proxy, server_port(runner->server));
    proxy_set_mode(runner->proxy, LINK_PASSES);
    runner->started_ms = soak_now_ms();
}

static void
register_it(const runner_t *runner)
{
    arena_t arena = {0};

    soak_store_put(
        arena_printf(&arena, "servers/%s", runner->id),
        arena_printf(&arena,
                     "{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%d\","
                     "\"Zone\":\"%s\",\"BatchSize\":%d,\"State\":\"%s\","
                     "\"Version\":\"v%" PRIu32
                     "\",\"Sequence\":1,\"born\":%" PRId64 "}",
                     runner->engine ? split_service_name(runner->service)
                                    : "plain",
                     (int)proxy_port(runner->proxy), runner->zone, SLOTS,
                     runner->leaving_ms > 0 ? "draining" : "ready",
                     runner->version, runner->born_ms));
    arena_free(&arena);
}

static void
write_entry(runner_t *runner)
{
    runner->entry_ms = 0;
    if (strcmp(runner->id, runner->gone_id) == 0) {
        runner->lapses_ms = 0;
    }
    register_it(runner);
}

static void
unregister(const char *id)
{
    arena_t arena = {0};

    soak_store_put(arena_printf(&arena, "servers/%s", id), "");
    arena_free(&arena);
}

/* Silent: connections hang, and new ones too, until it is back. */
void
runner_crash(size_t which, bool silent)
{
    runner_t *runner = &runners[which];

    if (runner->server == NULL) {
        return;
    }
    end_silence(runner);
    silent = silent && !soak_plays(SOAK_RESET);
    if (silent) {
        proxy_set_mode(runner->proxy, LINK_SILENT);
    }
    server_close(runner->server);
    runner->server = NULL;
    if (!silent) {
        proxy_set_mode(runner->proxy, LINK_REFUSES);
    }
    memcpy(runner->gone_id, runner->id, sizeof(runner->id));
    runner->lapses_ms = soak_now_ms() + LAPSE_MS;
    plan_start(runner,
               tainted_down_ms(DOWN_LEAST_MS + soak_chance(DOWN_SPREAD_MS)));
    soak_note("crash %s silent=%d", runner->id, silent);
}

void
runner_drain(size_t which)
{
    runner_t *runner = &runners[which];

    if (runner->server == NULL || runner->leaving_ms > 0 ||
        runner->entry_ms > 0) {
        return;
    }
    runner->leaving_ms = soak_now_ms();
    register_it(runner);
    soak_note("drain %s", runner->id);
}

void
runner_spoil(size_t which)
{
    runners[which].spoilt_until_ms = soak_now_ms() + SPOILT_MS;
    soak_note("spoil %s", runners[which].id);
}

/* Its links pass nothing; it works on. */
void
runner_silence(size_t which, uint64_t for_ms)
{
    runner_t *runner = &runners[which];

    if (runner->server == NULL || runner->leaving_ms > 0 || runner->silent) {
        return;
    }
    runner->silent = true;
    runner->silent_ms = soak_now_ms();
    runner->silent_until_ms = runner->silent_ms + for_ms;
    proxy_set_mode(runner->proxy, LINK_SILENT);
    soak_note("silence %s %" PRIu64, runner->id, for_ms);
}

static void
end_silence(runner_t *runner)
{
    if (runner->silent) {
        runner->silent = false;
        runner->silent_until_ms = soak_now_ms();
        proxy_set_mode(runner->proxy, LINK_PASSES);
    }
}

void
runners_heal(void)
{
    size_t i;

    for (i = 0; i < count; i++) {
        runners[i].spoilt_until_ms = 0;
        end_silence(&runners[i]);
    }
}

/* Starts again what is down; the old entry lapses by itself. */
static void
on_tick(uv_timer_t *tick)
{
    uint64_t now_ms = soak_now_ms();
    size_t i;

    for (i = 0; i < count; i++) {
        runner_t *runner = &runners[i];

        if (!runner->prepared &&
            (now_ms >= runner->back_ms || now_ms >= runner->entry_ms)) {
            prepare(runner, versions_keep_id());
        }
        if (runner->back_ms > 0 && now_ms >= runner->back_ms) {
            start(runner);
        }
        if (runner->entry_ms > 0 && now_ms >= runner->entry_ms) {
            write_entry(runner);
        }
        if (runner->silent && now_ms >= runner->silent_until_ms) {
            end_silence(runner);
        }
        if (runner->lapses_ms > 0 && now_ms >= runner->lapses_ms) {
            runner->lapses_ms = 0;
            unregister(runner->gone_id);
        }
        if (runner->leaving_ms > 0 && runner->server != NULL &&
            now_ms >= runner->leaving_ms + SOAK_LEAVE_MS + LEAVING_MS) {
            unregister(runner->id);
            end_silence(runner);
            server_close(runner->server);
            runner->server = NULL;
            plan_start(runner, DOWN_LEAST_MS);
        }
    }
}
