/* feed_sim_store.c - the store of feed_sim.h's simulation, and calls to it. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/arena.h"
#include "base/text.h"
#include "regress/feed_sim_private.h"

enum {
    STORE_MS = 4,
    ONE_WAY_MS = 1,
    STORE_BYTES_PER_S = 125000000,
    ITEM_HEAD_BYTES = 80,
    RESPONSE_HEAD_BYTES = 200,
    ROUTE_WORDS = 3,
    RUNNERS = 120,
};

static uint64_t draw(uint64_t below);
static char *table_text(uint32_t routes, uint32_t version, size_t *bytes);
static void plan(int64_t at_us, bool table, uint32_t routes, uint32_t version);
static int compare_changes(const void *left, const void *right);
static void answer(size_t host);
static size_t response_bytes(const feed_host_t *host);
static void take_response(size_t host, int64_t revision);
static void apply_watch(size_t host, int64_t revision);
static bool is_last_of_key(size_t index, int64_t revision);
static kv_pair_t pair_of(size_t index);

static uint64_t
draw(uint64_t below)
{
    return sim_draw(&feed_sim.rng_state, below);
}

/* Names are drawn by the route's number, so that it keeps them. */
static char *
table_text(uint32_t routes, uint32_t version, size_t *bytes)
{
    text_t text = {0};
    uint32_t i;

    text_printf(&text, "{\"Version\":%u,\"Routes\":[", version);
    for (i = 0; i < routes; i++) {
        uint64_t state = i + 1;
        unsigned a = (unsigned)sim_draw(&state, UINT32_MAX);
        unsigned b = (unsigned)sim_draw(&state, UINT32_MAX);

        text_printf(&text,
                    "{\"Name\":\"r%u\",\"Host\":\"h%x.example\","
                    "\"PathPrefix\":\"/%x/%x/\",\"Type\":\"%s\","
                    "\"Service\":\"sv%u\",\"TimeoutMs\":%u,"
                    "\"MaxAttempts\":3,\"SloMs\":150,\"Priority\":%u},",
                    i, a % 97, a, b, i % 3 == 0 ? "safe" : "unsafe", i % 7,
                    i == version % routes ? 2400 + version : 2500, i % 4);
    }
    text_puts(&text, "{}]}");
    *bytes = text.length;
    return text.bytes;
}

static void
plan(int64_t at_us, bool table, uint32_t routes, uint32_t version)
{
    feed_change_t *change = &feed_sim.changes[feed_sim.planned];

    if (feed_sim.planned == FEED_SIM_CHANGES_MAX) {
        return;
    }
    feed_sim.planned++;
    *change = (feed_change_t){.at_us = at_us, .table = table};
    if (table) {
        (void)snprintf(change->key, sizeof(change->key), "op/config");
        change->value = table_text(routes, version, &change->value_bytes);
        return;
    }
    (void)snprintf(change->key, sizeof(change->key), "servers/s%llu",
                   (unsigned long long)draw(RUNNERS));
    change->value = xcalloc(1, 256);
    change->value_bytes = (size_t)snprintf(
        change->value, 256,
        "{\"Service\":\"sv1\",\"Address\":\"10.1.64.%u:8405\",\"Zone\":\"z\","
        "\"Version\":\"v1\",\"BatchSize\":32,\"State\":\"draining\"}",
        version);
}

void
feed_plan_changes(void)
{
    const feed_sim_settings_t *settings = &feed_sim.settings;
    int64_t growth_us = (int64_t)FEED_GROWTH_MS * FEED_US_PER_MS;
    uint32_t routes = settings->first_routes;
    uint32_t i;
    int64_t end_us = growth_us + ((int64_t)settings->small_changes + 1) *
                                     settings->small_gap_ms * FEED_US_PER_MS;
    int64_t at_us;

    plan(0, true, routes, 1);
    for (i = 0; i < RUNNERS; i++) {
        plan(0, false, 0, i);
    }
    routes += settings->growth_routes;
    plan(growth_us, true, routes, 2);
    for (i = 1; i <= settings->small_changes; i++) {
        plan(growth_us + (int64_t)i * settings->small_gap_ms * FEED_US_PER_MS,
             true, routes, 2 + i);
    }
    for (at_us = growth_us; at_us < end_us && settings->entry_gap_ms > 0;
         at_us += (int64_t)settings->entry_gap_ms * FEED_US_PER_MS) {
        plan(at_us + 1, false, 0, (uint32_t)(at_us / FEED_US_PER_MS % 200));
    }
    qsort(feed_sim.changes, feed_sim.planned, sizeof(feed_sim.changes[0]),
          compare_changes);
}

static int
compare_changes(const void *left, const void *right)
{
    const feed_change_t *a = left;
    const feed_change_t *b = right;

    return a->at_us < b->at_us ? -1 : a->at_us > b->at_us;
}

void
feed_call_store(size_t index, bool reading, uint32_t wait_ms)
{
    feed_host_t *host = &feed_sim.hosts[index];
    feed_event_t event = {.kind = FEED_EVENT_CALL, .host = index};
    int64_t second = (feed_sim.now_us / FEED_US_PER_MS - FEED_START_MS) / 1000;

    host->call++;
    host->reading = reading;
    host->wait_ms = wait_ms;
    host->after = mirror_revision(host->mirror);
    host->watch_ended = false;
    host->at_store = false;
    host->called_us = feed_sim.now_us;
    if (second >= 0 && second < FEED_SECONDS) {
        feed_sim.calls[second]++;
    }
    if (feed_sim.now_us >= (int64_t)FEED_GROWTH_MS * FEED_US_PER_MS) {
        feed_sim.result.store_calls++;
    }
    event.number = host->call;
    feed_push(feed_sim.now_us + ONE_WAY_MS * FEED_US_PER_MS, &event);
}

static size_t
response_bytes(const feed_host_t *host)
{
    size_t bytes = RESPONSE_HEAD_BYTES;
    size_t i = host->reading ? 0 : (size_t)host->after;

    for (; i < feed_sim.change_count; i++) {
        if (!host->reading ||
            is_last_of_key(i, (int64_t)feed_sim.change_count)) {
            bytes += ITEM_HEAD_BYTES + feed_sim.changes[i].value_bytes * 4 / 3;
        }
    }
    return bytes;
}

/* A response is cut off when its time is up, and the rest of it not sent. */
static void
answer(size_t index)
{
    feed_host_t *host = &feed_sim.hosts[index];
    size_t bytes = response_bytes(host);
    int64_t limit_us =
        host->called_us +
        ((int64_t)FEED_CALL_MS + host->wait_ms) * FEED_US_PER_MS;
    int64_t begin_us = feed_sim.now_us;
    feed_event_t event = {.kind = FEED_EVENT_RESPONSE,
                          .host = index,
                          .number = host->call,
                          .detail = (int64_t)feed_sim.change_count};
    int64_t at_us = limit_us > begin_us ? limit_us : begin_us;
    size_t in_time;

    begin_us = host->down.free_us > begin_us ? host->down.free_us : begin_us;
    begin_us = feed_sim.store_up.free_us > begin_us ? feed_sim.store_up.free_us
                                                    : begin_us;
    host->at_store = false;
    in_time = limit_us > begin_us
                  ? (size_t)(limit_us - begin_us) *
                        feed_sim.settings.link_kbytes_per_s / 1000
                  : 0;
    if (in_time < (feed_sim.settings.short_calls ? bytes : 1)) {
        event.detail = -1;
        bytes = in_time;
    }
    if (bytes > 0) {
        int64_t done_us = feed_transfer(&feed_sim.store_up, STORE_BYTES_PER_S,
                                        &host->down, bytes);

        at_us = event.detail >= 0 ? done_us : at_us;
    }
    feed_sim.result.store_bytes += bytes;
    feed_push(at_us, &event);
}

static bool
is_last_of_key(size_t index, int64_t revision)
{
    size_t i;

    for (i = index + 1; i < (size_t)revision; i++) {
        if (strcmp(feed_sim.changes[i].key, feed_sim.changes[index].key) ==
            0) {
            return false;
        }
    }
    return true;
}

static kv_pair_t
pair_of(size_t index)
{
    const feed_change_t *change = &feed_sim.changes[index];

    return (kv_pair_t){.key = change->key,
                       .value = change->value,
                       .value_bytes = change->value_bytes,
                       .mod_revision = (int64_t)index + 1,
                       .create_revision = (int64_t)index + 1};
}

static void
load(size_t index, int64_t revision)
{
    feed_host_t *host = &feed_sim.hosts[index];
    int64_t i;

    mirror_load_begin(host->mirror, revision);
    for (i = 0; i < revision; i++) {
        kv_pair_t pair = pair_of((size_t)i);

        if (!is_last_of_key((size_t)i, revision)) {
            continue;
        }
        if (host->skipping && feed_sim.changes[i].table &&
            mirror_key_revision(host->mirror, pair.key) != pair.mod_revision) {
            store_sync_skip_history(host->sync);
        }
        feed_apply(host, &pair);
    }
    mirror_load_end(host->mirror);
}

/* As watcher.c does it: large values that are superseded are left out. */
static void
apply_watch(size_t index, int64_t revision)
{
    feed_host_t *host = &feed_sim.hosts[index];
    int64_t i;

    for (i = host->after; i < revision; i++) {
        kv_pair_t pair = pair_of((size_t)i);

        if (!host->legacy && feed_sim.changes[i].table &&
            !is_last_of_key((size_t)i, revision)) {
            host->skipping = true;
            store_sync_skip_history(host->sync);
            continue;
        }
        feed_apply(host, &pair);
    }
    mirror_advance(host->mirror, revision);
}

static void
take_response(size_t index, int64_t revision)
{
    feed_host_t *host = &feed_sim.hosts[index];
    bool changes = revision > host->after;
    bool reading = host->reading;
    store_sync_result_t result = revision >= 0 ? SYNC_OK : SYNC_FAILED;
    feed_event_t next = {
        .kind = FEED_EVENT_NEXT_WATCH, .host = index, .number = host->call};
    store_sync_fleet_t fleet;
    store_sync_step_t step;

    if (revision < 0) {
        feed_sim.result.failed_calls +=
            feed_sim.now_us >= (int64_t)FEED_GROWTH_MS * FEED_US_PER_MS;
    }
    else if (reading) {
        load(index, revision);
    }
    else {
        apply_watch(index, revision);
    }
    if (revision >= 0) {
        feed_run(index);
    }
    fleet = feed_fleet(index);
    step = reading
               ? store_sync_read_done(host->sync, result, &fleet)
               : store_sync_watch_done(host->sync, result, changes, &fleet);
    if (!reading && result == SYNC_OK && !step.ends_watch) {
        next.detail =
            changes ? FEED_WATCH_MS / KV_WATCH_CHANGED_PART : FEED_WATCH_MS;
        feed_push(feed_sim.now_us +
                      (changes ? FEED_PAUSE_MS * FEED_US_PER_MS : 0),
                  &next);
    }
    feed_execute(index, &step);
}

void
feed_handle_store(const feed_event_t *event)
{
    feed_host_t *host = &feed_sim.hosts[event->host];
    feed_event_t next = {.kind = FEED_EVENT_EXPIRE,
                         .host = event->host,
                         .number = event->number};

    if (event->number != host->call || host->watch_ended) {
        return;
    }
    switch (event->kind) {
    case FEED_EVENT_CALL:
        host->at_store = true;
        feed_push(
            feed_sim.now_us +
                (host->reading || (int64_t)feed_sim.change_count > host->after
                     ? STORE_MS
                     : host->wait_ms) *
                    (int64_t)FEED_US_PER_MS,
            &next);
        return;
    case FEED_EVENT_EXPIRE:
        if (host->at_store) {
            answer(event->host);
        }
        return;
    case FEED_EVENT_RESPONSE:
        host->call++;
        take_response(event->host, event->detail);
        return;
    default:
        feed_call_store(event->host, false, (uint32_t)event->detail);
        return;
    }
}
