/* feed_sim.c - see feed_sim.h. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/arena.h"
#include "regress/feed_sim_private.h"

enum {
    ZONES = 4,
    ONE_WAY_MS = 1,
    CHECK_MS = 50,
    SETTLE_MS = 1000,
};

feed_state_t feed_sim;

static bool precedes(const void *left, const void *right);
static void count_known(size_t host);
static void make_change(uint64_t index);
static void check(size_t host);
static void handle_event(const feed_event_t *event);
static void open_host(size_t index);
static void close_host(feed_host_t *host);
static void judge(void);

static bool
precedes(const void *left, const void *right)
{
    const feed_event_t *a = left;
    const feed_event_t *b = right;

    return a->at_us != b->at_us ? a->at_us < b->at_us : a->serial < b->serial;
}

void
feed_push(int64_t at_us, const feed_event_t *event)
{
    feed_event_t copy = *event;

    copy.at_us = at_us;
    copy.serial = feed_sim.queue_serial;
    feed_sim.queue_serial++;
    event_queue_push(&feed_sim.queue, &copy);
}

void
feed_count_bytes(feed_link_t *link, size_t bytes)
{
    int64_t second = feed_sim.now_us / 1000000;

    if (link->second != second) {
        link->second = second;
        link->second_bytes = 0;
    }
    link->second_bytes += bytes;
}

/* The receiver takes bytes as they come. */
int64_t
feed_transfer(feed_link_t *up, uint64_t up_bytes_per_s, feed_link_t *down,
              size_t bytes)
{
    int64_t down_us =
        (int64_t)bytes * 1000 / (int64_t)feed_sim.settings.link_kbytes_per_s;
    int64_t begin_us =
        up->free_us > feed_sim.now_us ? up->free_us : feed_sim.now_us;

    up->free_us = begin_us + (int64_t)(bytes * 1000000 / up_bytes_per_s);
    begin_us = down->free_us > begin_us ? down->free_us : begin_us;
    down->free_us = begin_us + down_us;
    if (down->free_us < up->free_us) {
        down->free_us = up->free_us;
    }
    return down->free_us + (int64_t)ONE_WAY_MS * FEED_US_PER_MS;
}

store_sync_fleet_t
feed_fleet(size_t host)
{
    return (store_sync_fleet_t){
        .now_us = feed_sim.now_us,
        .peers_ready = true,
        .contact_age_max_ms = follower_contact_age_max_ms(FEED_APPLY_MS - 600),
        .hosts = feed_sim.candidates,
        .count = feed_sim.settings.hosts,
        .self = &feed_sim.candidates[host],
        .random = sim_draw(&feed_sim.rng_state, UINT32_MAX),
    };
}

feed_time_t
feed_time_of(size_t host)
{
    return (feed_time_t){
        .now_us = feed_sim.now_us,
        .contact_age_us = feed_sim.now_us - feed_sim.hosts[host].contact_us,
        .contact_age_max_ms = feed_fleet(host).contact_age_max_ms,
    };
}

void
feed_apply(void *context, const kv_pair_t *pair)
{
    feed_host_t *host = context;

    if (!mirror_is_stale(host->mirror, pair)) {
        mirror_apply(host->mirror, pair);
    }
}

void
feed_run(size_t index)
{
    feed_time_t now = feed_time_of(index);

    count_known(index);
    store_feed_run(feed_sim.hosts[index].feed, &now);
}

/*
 * A change is in force once its key has its revision or a later one.  Entries
 * and tables are counted apart, each in order, so that one is counted late
 * rather than early.
 */
static void
count_known(size_t index)
{
    feed_host_t *host = &feed_sim.hosts[index];
    int kind;

    for (kind = 0; kind < 2; kind++) {
        size_t i;

        for (i = host->counted[kind]; i < feed_sim.change_count; i++) {
            feed_change_t *change = &feed_sim.changes[i];

            if (change->table == (kind == 1)) {
                if (mirror_key_revision(host->mirror, change->key) <
                    (int64_t)i + 1) {
                    break;
                }
                change->known_hosts++;
                change->last_us = feed_sim.now_us;
            }
            host->counted[kind] = i + 1;
        }
    }
}

void
feed_execute(size_t index, const store_sync_step_t *step)
{
    feed_host_t *host = &feed_sim.hosts[index];
    feed_event_t event = {.kind = FEED_EVENT_TIMER, .host = index};

    if (step->failed_host != NULL) {
        host->fetches = false;
        feed_sim.result.failed_polls +=
            feed_sim.now_us >= (int64_t)FEED_GROWTH_MS * FEED_US_PER_MS;
    }
    if (step->has_contact && step->contact_us > host->contact_us) {
        host->contact_us = step->contact_us;
    }
    if (step->ends_watch) {
        host->watch_ended = true;
    }
    if (step->timer_ms > 0 || step->call != SYNC_NONE) {
        host->timer++;
        event.number = host->timer;
        if (step->timer_ms > 0) {
            feed_push(feed_sim.now_us +
                          (int64_t)step->timer_ms * FEED_US_PER_MS,
                      &event);
        }
    }
    switch (step->call) {
    case SYNC_NONE:
        return;
    case SYNC_READ:
        feed_call_store(index, true, 0);
        return;
    case SYNC_WATCH:
        feed_call_store(index, false, 1);
        return;
    case SYNC_POLL:
        feed_poll_host(index, step);
        return;
    }
}

static void
make_change(uint64_t index)
{
    feed_event_t event = {.kind = FEED_EVENT_EXPIRE};
    size_t i;

    feed_sim.change_count = index + 1;
    for (i = 0; i < feed_sim.settings.hosts; i++) {
        const feed_host_t *host = &feed_sim.hosts[i];

        if (host->at_store && !host->reading) {
            event.host = i;
            event.number = host->call;
            feed_push(feed_sim.now_us + 4 * FEED_US_PER_MS, &event);
        }
    }
}

/* As view.c does it: a view that gets old is confirmed once. */
static void
check(size_t index)
{
    feed_host_t *host = &feed_sim.hosts[index];
    feed_event_t next = {.kind = FEED_EVENT_CHECK, .host = index};
    int64_t confirm_us = (int64_t)(FEED_APPLY_MS - 600) * FEED_US_PER_MS;
    store_sync_fleet_t fleet = feed_fleet(index);
    store_sync_step_t step;

    if (host->contact_us > 0 && host->confirmed_us != host->contact_us &&
        feed_sim.now_us - host->contact_us > confirm_us) {
        host->confirmed_us = host->contact_us;
        step = store_sync_confirm(host->sync, &fleet);
        feed_execute(index, &step);
    }
    feed_run(index);
    feed_push(feed_sim.now_us + (int64_t)CHECK_MS * FEED_US_PER_MS, &next);
}

static void
handle_event(const feed_event_t *event)
{
    feed_host_t *host = &feed_sim.hosts[event->host];
    store_sync_fleet_t fleet;
    store_sync_step_t step;

    switch (event->kind) {
    case FEED_EVENT_CHANGE:
        make_change(event->number);
        return;
    case FEED_EVENT_MESSAGE:
        feed_handle_message(event);
        return;
    case FEED_EVENT_TIMER:
        if (event->number == host->timer) {
            fleet = feed_fleet(event->host);
            step = store_sync_timer(host->sync, &fleet);
            feed_execute(event->host, &step);
        }
        return;
    case FEED_EVENT_CHECK:
        check(event->host);
        return;
    default:
        feed_handle_store(event);
        return;
    }
}

static void
open_host(size_t index)
{
    static const store_sync_settings_t settings = {
        .watch_ms = FEED_WATCH_MS,
        .changed_watch_ms = FEED_WATCH_MS / KV_WATCH_CHANGED_PART,
        .settle_ms = SETTLE_MS,
    };
    feed_host_t *host = &feed_sim.hosts[index];
    feed_event_t event = {.kind = FEED_EVENT_CHECK, .host = index};
    store_sync_fleet_t fleet;
    store_sync_step_t step;

    (void)snprintf(host->name, sizeof(host->name), "h%zu", index);
    host->zone[0] = (char)('a' + (char)(index % ZONES));
    feed_sim.candidates[index] =
        (watcher_candidate_t){.name = host->name, .zone = host->zone};
    /* Spread over the fleet. */
    host->legacy = (index * 7919 % feed_sim.settings.hosts) <
                   feed_sim.settings.legacy_hosts;
    host->mirror = mirror_new();
    mirror_keep_history(host->mirror, !host->legacy);
    host->feed = store_feed_new(host->mirror, feed_send, host);
    host->intake = store_intake_new(host->mirror, feed_apply, host);
    host->sync = store_sync_new(&settings);
    feed_push(feed_sim.now_us + (int64_t)(index % CHECK_MS) * FEED_US_PER_MS,
              &event);
    if (index + 1 < feed_sim.settings.hosts) {
        return;
    }
    for (index = 0; index < feed_sim.settings.hosts; index++) {
        fleet = feed_fleet(index);
        step = store_sync_start(feed_sim.hosts[index].sync, &fleet);
        feed_execute(index, &step);
    }
}

static void
close_host(feed_host_t *host)
{
    store_feed_free(host->feed);
    store_intake_free(host->intake);
    store_sync_free(host->sync);
    mirror_free(host->mirror);
}

static void
judge(void)
{
    feed_sim_result_t *result = &feed_sim.result;
    bool grown = false;
    size_t i;

    for (i = 0; i < feed_sim.planned; i++) {
        const feed_change_t *change = &feed_sim.changes[i];
        uint32_t took_ms =
            (uint32_t)((change->last_us - change->at_us) / FEED_US_PER_MS);
        uint32_t *worst = !change->table ? &result->entry_ms
                          : grown        ? &result->small_ms
                                         : &result->growth_ms;

        if (change->table) {
            result->table_bytes = (uint32_t)change->value_bytes;
        }
        if (change->at_us == 0) {
            continue;
        }
        grown = grown || change->table;
        if (change->known_hosts < feed_sim.settings.hosts) {
            result->unknown++;
            *worst = FEED_SIM_NEVER;
            continue;
        }
        *worst = took_ms > *worst ? took_ms : *worst;
    }
    for (i = (FEED_GROWTH_MS - FEED_START_MS) / 1000; i < FEED_SECONDS; i++) {
        if (feed_sim.calls[i] > result->calls_per_s) {
            result->calls_per_s = feed_sim.calls[i];
        }
    }
}

feed_sim_result_t
feed_simulate(const feed_sim_settings_t *settings)
{
    feed_event_t event = {.kind = FEED_EVENT_CHANGE};
    int64_t end_us;
    size_t i;

    feed_sim = (feed_state_t){
        .settings = *settings,
        .rng_state = 1,
        .now_us = (int64_t)FEED_START_MS * FEED_US_PER_MS,
        .queue = event_queue_of(sizeof(feed_event_t), precedes)};
    feed_plan_changes();
    end_us = feed_sim.changes[feed_sim.planned - 1].at_us + 12000000;
    for (i = 0; i < feed_sim.planned; i++) {
        event.number = i;
        if (feed_sim.changes[i].at_us == 0) {
            feed_sim.change_count = i + 1;
        }
        else {
            feed_push(feed_sim.changes[i].at_us, &event);
        }
    }
    for (i = 0; i < settings->hosts; i++) {
        open_host(i);
    }
    while (event_queue_pop(&feed_sim.queue, &event)) {
        if (event.at_us >= end_us) {
            free(event.bytes);
            continue;
        }
        feed_sim.now_us = event.at_us;
        handle_event(&event);
    }
    judge();
    feed_sim.result.run_ms =
        (uint32_t)(end_us / FEED_US_PER_MS - FEED_GROWTH_MS);
    for (i = 0; i < settings->hosts; i++) {
        close_host(&feed_sim.hosts[i]);
    }
    for (i = 0; i < feed_sim.planned; i++) {
        free(feed_sim.changes[i].value);
    }
    event_queue_free(&feed_sim.queue);
    return feed_sim.result;
}
