/* control_spread.c - waits until all hosts have a document in force. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "agated/control.h"

enum {
    CHECK_INTERVAL_MS = 20,
    WAIT_MS = 6000,
    HASHES_MAX = 64,
    US_PER_MS = 1000
};

/* When one host was first seen to have it. */
typedef struct seen {
    struct seen *next;
    const char *host;
    int64_t after_ms; /* -1: not yet */
} seen_t;

/*
 * A host's highest revision does not say that it has a lower one of another
 * key.  So it counts when its whole configuration is one that this host has
 * had since it had the document.
 */
typedef struct {
    control_call_t *call;
    const char *key;
    int64_t revision;
    uint64_t hashes[HASHES_MAX]; /* of this host's, the latest last */
    size_t hash_count;
    int64_t since_us;
    seen_t *seen;
    uv_timer_t *timer;
} config_sync_t;

static void on_check(uv_timer_t *timer);
static void note_own(config_sync_t *spread);
static bool has_document(const config_sync_t *spread, uint64_t hash);
static bool note_hosts(config_sync_t *spread, text_t *json);
static void write_host(const node_host_view_t *host, int64_t after_ms,
                       text_t *json);
static seen_t *find_seen(config_sync_t *spread, const char *host);

void
control_await_spread(control_call_t *call, const char *key, int64_t revision)
{
    config_sync_t *spread = arena_alloc(&call->arena, sizeof(*spread));

    spread->call = call;
    spread->key = key;
    spread->revision = revision;
    spread->since_us = dispatch_now_us();
    spread->timer = xcalloc(1, sizeof(*spread->timer));
    (void)uv_timer_init(call->daemon->loop, spread->timer);
    spread->timer->data = spread;
    (void)uv_timer_start(spread->timer, on_check, 0, CHECK_INTERVAL_MS);
}

static void
on_check(uv_timer_t *timer)
{
    config_sync_t *spread = timer->data;
    int64_t waited_ms = (dispatch_now_us() - spread->since_us) / US_PER_MS;
    text_t json = {0};

    note_own(spread);
    if (!note_hosts(spread, &json) && waited_ms < WAIT_MS) {
        text_free(&json);
        return;
    }
    uv_close((uv_handle_t *)timer, (uv_close_cb)free);
    control_answer(spread->call, CONTROL_OK, &json);
}

/* Notes this host's own configuration, once the document is in it. */
static void
note_own(config_sync_t *spread)
{
    daemon_t *daemon = spread->call->daemon;
    const node_t *node = dispatch_node(daemon->dispatch);
    arena_t arena = {0};
    size_t count = 0;
    size_t i;
    const node_config_view_t *configs = node_configs(node, &arena, &count);
    const node_host_view_t *hosts;
    bool ours = false;

    for (i = 0; i < count; i++) {
        ours = ours || (strcmp(configs[i].key, spread->key) == 0 &&
                        configs[i].revision >= spread->revision);
    }
    hosts = node_hosts(node, dispatch_now_us(), &arena, &count);
    for (i = 0; ours && i < count; i++) {
        if (strcmp(hosts[i].name, daemon->settings->host) == 0 &&
            !has_document(spread, hosts[i].config_hash)) {
            spread->hashes[spread->hash_count % HASHES_MAX] =
                hosts[i].config_hash;
            spread->hash_count++;
        }
    }
    arena_free(&arena);
}

static bool
has_document(const config_sync_t *spread, uint64_t hash)
{
    size_t count =
        spread->hash_count < HASHES_MAX ? spread->hash_count : HASHES_MAX;
    size_t i;

    for (i = 0; i < count; i++) {
        if (spread->hashes[i] == hash) {
            return true;
        }
    }
    return false;
}

/*
 * Notes which hosts have the revision in force, and writes the answer.
 * Returns false while a host that lives has not.
 */
static bool
note_hosts(config_sync_t *spread, text_t *json)
{
    const node_t *node = dispatch_node(spread->call->daemon->dispatch);
    int64_t now_us = dispatch_now_us();
    arena_t arena = {0};
    bool whole = true;
    size_t count = 0;
    size_t i;
    const node_host_view_t *hosts = node_hosts(node, now_us, &arena, &count);

    text_printf(json, "{\"revision\":%" PRId64 ",\"hosts\":[",
                spread->revision);
    for (i = 0; i < count; i++) {
        seen_t *seen = find_seen(spread, hosts[i].name);

        if (seen->after_ms < 0 && has_document(spread, hosts[i].config_hash)) {
            seen->after_ms = (now_us - spread->since_us) / US_PER_MS;
        }
        whole = whole &&
                (seen->after_ms >= 0 || strcmp(hosts[i].state, "dead") == 0);
        text_puts(json, i > 0 ? "," : "");
        write_host(&hosts[i], seen->after_ms, json);
    }
    text_puts(json, "]}");
    arena_free(&arena);
    return whole;
}

static void
write_host(const node_host_view_t *host, int64_t after_ms, text_t *json)
{
    text_puts(json, "{\"host\":");
    text_json_string(json, host->name);
    text_puts(json, ",\"zone\":");
    text_json_string(json, host->zone);
    text_puts(json, ",\"state\":");
    text_json_string(json, host->state);
    if (after_ms < 0) {
        text_puts(json, ",\"in_force\":false}");
        return;
    }
    text_printf(json, ",\"in_force\":true,\"after_ms\":%" PRId64 "}",
                after_ms);
}

/* Hosts come and go while we wait; each is known by its name. */
static seen_t *
find_seen(config_sync_t *spread, const char *host)
{
    arena_t *arena = &spread->call->arena;
    seen_t *seen;

    for (seen = spread->seen; seen != NULL; seen = seen->next) {
        if (strcmp(seen->host, host) == 0) {
            return seen;
        }
    }
    seen = arena_alloc(arena, sizeof(*seen));
    seen->next = spread->seen;
    seen->host = arena_strdup(arena, host);
    seen->after_ms = -1;
    spread->seen = seen;
    return seen;
}
