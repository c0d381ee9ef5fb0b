/* presence.c - this host's own key under a lease. */
#include <inttypes.h>
#include <stdlib.h>

#include "agated/agated.h"
#include "base/log.h"

enum { LEASE_TTL_S = 30, KEEPALIVE_INTERVAL_MS = 10000 };

struct presence {
    daemon_t *daemon;
    uv_timer_t *timer;
    backoff_t backoff;
    arena_t arena;
    const char *key;
    int64_t lease;    /* 0: none */
    int64_t revision; /* of the key, 0: it does not exist */
    bool leaving;
    bool put;     /* the key says what it should */
    bool calling; /* a call is under way */
};

static void next_call(presence_t *presence);
static void wait(presence_t *presence, uint64_t wait_ms);
static void on_timer(uv_timer_t *timer);
static void on_lease(void *context, kv_result_t result, int64_t lease,
                     int64_t ttl_s);
static void on_keepalive(void *context, kv_result_t result, int64_t lease,
                         int64_t ttl_s);
static void put_key(presence_t *presence);
static void on_put(void *context, kv_result_t result, int64_t revision,
                   const kv_swap_answer_t *answers, size_t count);

presence_t *
presence_new(daemon_t *daemon)
{
    presence_t *presence = xcalloc(1, sizeof(*presence));

    presence->daemon = daemon;
    presence->key = arena_printf(&presence->arena, "/agatevale/hosts/%s",
                                 daemon->settings->host);
    presence->timer = xcalloc(1, sizeof(*presence->timer));
    (void)uv_timer_init(daemon->loop, presence->timer);
    presence->timer->data = presence;
    next_call(presence);
    return presence;
}

void
presence_leave(presence_t *presence)
{
    presence->leaving = true;
    presence->put = false;
    if (!presence->calling) {
        next_call(presence);
    }
}

/* The platform must have been freed: it calls back no more. */
void
presence_free(presence_t *presence)
{
    if (presence == NULL) {
        return;
    }
    uv_close((uv_handle_t *)presence->timer, (uv_close_cb)free);
    arena_free(&presence->arena);
    free(presence);
}

/* Does what is missing: a lease, the key, or the lease's renewal. */
static void
next_call(presence_t *presence)
{
    kv_t *platform = presence->daemon->platform;

    (void)uv_timer_stop(presence->timer);
    presence->calling = true;
    if (presence->lease == 0) {
        platform->ops->lease_grant(platform, LEASE_TTL_S, on_lease, presence);
    }
    else if (!presence->put) {
        put_key(presence);
    }
    else {
        platform->ops->lease_keepalive(platform, presence->lease, on_keepalive,
                                       presence);
    }
}

static void
wait(presence_t *presence, uint64_t wait_ms)
{
    presence->calling = false;
    if (!presence->put && wait_ms == KEEPALIVE_INTERVAL_MS) {
        next_call(presence);
        return;
    }
    (void)uv_timer_start(presence->timer, on_timer, wait_ms, 0);
}

static void
on_timer(uv_timer_t *timer)
{
    next_call(timer->data);
}

static void
on_lease(void *context, kv_result_t result, int64_t lease, int64_t ttl_s)
{
    presence_t *presence = context;

    if (result != KV_OK) {
        wait(presence, backoff_next_ms(&presence->backoff));
        return;
    }
    presence->lease = lease;
    presence->put = false;
    next_call(presence);
}

static void
on_keepalive(void *context, kv_result_t result, int64_t lease, int64_t ttl_s)
{
    presence_t *presence = context;

    if (result != KV_OK) {
        wait(presence, backoff_next_ms(&presence->backoff));
        return;
    }
    backoff_reset(&presence->backoff);
    if (ttl_s == 0) {
        log_line(LOG_WARNING, "lease lapsed key=%s", presence->key);
        presence->lease = 0;
        presence->revision = 0;
        next_call(presence);
        return;
    }
    wait(presence, KEEPALIVE_INTERVAL_MS);
}

static void
put_key(presence_t *presence)
{
    const settings_t *settings = presence->daemon->settings;
    kv_t *platform = presence->daemon->platform;
    const peers_t *peers = presence->daemon->peers;
    text_t value = {0};
    kv_op_t op = {
        .verb = KV_PUT, .key = presence->key, .lease = presence->lease};
    kv_swap_t swap = {.key = presence->key,
                      .mod_revision = presence->revision,
                      .ops = &op,
                      .op_count = 1};

    text_printf(&value,
                "zone=%s address=%s peer=%s incarnation=%" PRIu64
                " leaving=%d",
                settings->zone, listener_address(presence->daemon->listener),
                peers == NULL ? "" : peers_address(peers),
                presence->daemon->incarnation, presence->leaving ? 1 : 0);
    op.value = value.bytes;
    op.value_bytes = value.length;
    presence->put = true;
    platform->ops->swap(platform, &swap, 1, on_put, presence);
    text_free(&value);
}

/* Whoever wrote the key before is an earlier incarnation of this host. */
static void
on_put(void *context, kv_result_t result, int64_t revision,
       const kv_swap_answer_t *answers, size_t count)
{
    presence_t *presence = context;

    if (result != KV_OK) {
        presence->put = false;
        wait(presence, backoff_next_ms(&presence->backoff));
        return;
    }
    if (!answers[0].won) {
        presence->put = false;
        presence->revision = answers[0].held.mod_revision;
        next_call(presence);
        return;
    }
    presence->revision = revision;
    backoff_reset(&presence->backoff);
    wait(presence, KEEPALIVE_INTERVAL_MS);
}
