/* presence.c - keeps a key under a renewed lease; see presence.h. */
#include <stdlib.h>
#include <string.h>

#include "base/arena.h"
#include "base/backoff.h"
#include "base/log.h"
#include "kv/presence.h"

struct presence {
    presence_settings_t settings;
    uv_timer_t *timer;
    backoff_t backoff;
    char *key;
    char *value;
    int64_t lease;    /* 0: none */
    int64_t era;      /* of the service, in which the lease was granted */
    int64_t revision; /* mod_revision of the key; 0: it does not exist */
    bool stopped;
    bool written;      /* the key has the current value */
    bool call_pending; /* a call to the service is pending */
};

static void start_next_call(presence_t *presence);
static bool drop_lease_of_other_era(presence_t *presence);
static void schedule_next_call(presence_t *presence, uint64_t wait_ms);
static void on_timer(uv_timer_t *timer);
static void on_lease(void *context, kv_result_t result, int64_t lease,
                     int64_t ttl_s);
static void on_keepalive(void *context, kv_result_t result, int64_t lease,
                         int64_t ttl_s);
static void put_key(presence_t *presence);
static void revoke_lease(presence_t *presence);
static void on_revoked(void *context, kv_result_t result, int64_t lease,
                       int64_t ttl_s);
static void on_put(void *context, kv_result_t result, int64_t revision,
                   const kv_swap_result_t *answers, size_t count);

presence_t *
presence_new(const presence_settings_t *settings, const char *value)
{
    presence_t *presence = xcalloc(1, sizeof(*presence));

    presence->settings = *settings;
    presence->key = xstrdup(settings->key);
    presence->value = xstrdup(value);
    presence->revision = settings->revision;
    presence->timer = xcalloc(1, sizeof(*presence->timer));
    (void)uv_timer_init(settings->loop, presence->timer);
    presence->timer->data = presence;
    start_next_call(presence);
    return presence;
}

void
presence_set_value(presence_t *presence, const char *value)
{
    free(presence->value);
    presence->value = xstrdup(value);
    presence->written = false;
    if (!presence->call_pending && !presence->stopped) {
        start_next_call(presence);
    }
}

void
presence_check_era(presence_t *presence)
{
    if (!presence->call_pending && !presence->stopped &&
        drop_lease_of_other_era(presence)) {
        start_next_call(presence);
    }
}

void
presence_stop(presence_t *presence)
{
    presence->stopped = true;
    if (!presence->call_pending) {
        start_next_call(presence);
    }
}

void
presence_free(presence_t *presence)
{
    if (presence == NULL) {
        return;
    }
    uv_close((uv_handle_t *)presence->timer, (uv_close_cb)free);
    free(presence->key);
    free(presence->value);
    free(presence);
}

/* Grants the lease, writes the key or renews the lease. */
static void
start_next_call(presence_t *presence)
{
    kv_t *kv = presence->settings.kv;

    (void)uv_timer_stop(presence->timer);
    (void)drop_lease_of_other_era(presence);
    presence->call_pending = true;
    if (presence->stopped) {
        revoke_lease(presence);
    }
    else if (presence->lease == 0) {
        kv->ops->lease_grant(kv, presence->settings.ttl_s, on_lease, presence);
    }
    else if (!presence->written) {
        put_key(presence);
    }
    else {
        kv->ops->lease_keepalive(kv, presence->lease, on_keepalive, presence);
    }
}

/*
 * The number of the lease may have been given to another host since then, so
 * that it can neither be renewed nor revoked.
 */
static bool
drop_lease_of_other_era(presence_t *presence)
{
    if (presence->lease == 0 ||
        presence->era == kv_era(presence->settings.kv)) {
        return false;
    }
    log_event(LOG_NOTICE, "lease-of-other-era", "key=%s era=%lld",
              presence->key, (long long)presence->era);
    presence->lease = 0;
    presence->revision = 0;
    presence->written = false;
    return true;
}

static void
schedule_next_call(presence_t *presence, uint64_t wait_ms)
{
    presence->call_pending = false;
    if (presence->stopped ||
        (!presence->written && wait_ms == presence->settings.interval_ms)) {
        start_next_call(presence);
        return;
    }
    (void)uv_timer_start(presence->timer, on_timer, wait_ms, 0);
}

static void
on_timer(uv_timer_t *timer)
{
    start_next_call(timer->data);
}

static void
on_lease(void *context, kv_result_t result, int64_t lease, int64_t ttl_s)
{
    presence_t *presence = context;

    if (result != KV_OK) {
        schedule_next_call(presence, backoff_next_ms(&presence->backoff));
        return;
    }
    presence->lease = lease;
    presence->era = kv_era(presence->settings.kv);
    presence->written = false;
    start_next_call(presence);
}

static void
on_keepalive(void *context, kv_result_t result, int64_t lease, int64_t ttl_s)
{
    presence_t *presence = context;

    if (result != KV_OK) {
        schedule_next_call(presence, backoff_next_ms(&presence->backoff));
        return;
    }
    backoff_reset(&presence->backoff);
    if (drop_lease_of_other_era(presence)) {
        start_next_call(presence);
        return;
    }
    if (ttl_s == 0) {
        log_line(LOG_WARNING, "lease expired key=%s", presence->key);
        presence->lease = 0;
        presence->revision = 0;
        start_next_call(presence);
        return;
    }
    schedule_next_call(presence, presence->settings.interval_ms);
}

static void
put_key(presence_t *presence)
{
    kv_t *kv = presence->settings.kv;
    kv_op_t op = {.verb = KV_PUT,
                  .key = presence->key,
                  .value = presence->value,
                  .value_bytes = strlen(presence->value),
                  .lease = presence->lease};
    kv_swap_t swap = {.key = presence->key,
                      .mod_revision = presence->revision,
                      .ops = &op,
                      .op_count = 1};

    presence->written = true;
    kv->ops->swap(kv, &swap, 1, on_put, presence);
}

/* Not retried: a lease that is not revoked expires. */
static void
revoke_lease(presence_t *presence)
{
    kv_t *kv = presence->settings.kv;

    if (presence->lease == 0) {
        return;
    }
    kv->ops->lease_revoke(kv, presence->lease, on_revoked, presence);
    presence->lease = 0;
}

static void
on_revoked(void *context, kv_result_t result, int64_t lease, int64_t ttl_s)
{
    if (result != KV_OK) {
        log_line(LOG_NOTICE, "lease not revoked: it will expire lease=%lld",
                 (long long)lease);
    }
}

/*
 * If the key exists already, an earlier incarnation of this host wrote it.
 * It is replaced.
 */
static void
on_put(void *context, kv_result_t result, int64_t revision,
       const kv_swap_result_t *answers, size_t count)
{
    presence_t *presence = context;

    if (result != KV_OK) {
        presence->written = false;
        if (result == KV_INVALID) {
            presence->lease = 0; /* the service no longer has this lease */
        }
        schedule_next_call(presence, backoff_next_ms(&presence->backoff));
        return;
    }
    if (!answers[0].succeeded) {
        presence->written = false;
        presence->revision = answers[0].held.mod_revision;
        start_next_call(presence);
        return;
    }
    presence->revision = revision;
    backoff_reset(&presence->backoff);
    schedule_next_call(presence, presence->settings.interval_ms);
}
