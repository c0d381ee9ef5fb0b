/* control_propagation.c - waits until all hosts have applied a document. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "agated/control.h"

enum {
    CHECK_INTERVAL_MS = 20,
    PROPAGATION_TIMEOUT_MS = 6000,
    HASHES_MAX = 64,
    US_PER_MS = 1000
};

/* When a host was first known to have the document in force. */
typedef struct host_progress {
    struct host_progress *next;
    const char *host;
    int64_t after_ms; /* -1: not yet */
} host_progress_t;

/*
 * A host reports only the highest revision over all keys, which does not show
 * that it has a lower revision of another key.  A host therefore counts as
 * done when the hash of its configuration equals one that this host has had
 * since it applied the document.
 */
typedef struct {
    control_call_t *call;
    const char *key;
    int64_t revision;
    uint64_t hashes[HASHES_MAX]; /* ring of this host's hashes */
    size_t hash_count;
    int64_t started_us;
    host_progress_t *progress;
    uv_timer_t *timer;
} propagation_t;

static void on_check(uv_timer_t *timer);
static void record_own_config(propagation_t *propagation);
static bool hash_has_document(const propagation_t *propagation, uint64_t hash);
static bool record_hosts(propagation_t *propagation, text_t *json);
static void write_host(const node_host_view_t *host, int64_t after_ms,
                       text_t *json);
static host_progress_t *find_progress(propagation_t *propagation,
                                      const char *host);

void
control_await_propagation(control_call_t *call, const char *key,
                          int64_t revision)
{
    propagation_t *propagation =
        arena_alloc(&call->arena, sizeof(*propagation));

    propagation->call = call;
    propagation->key = key;
    propagation->revision = revision;
    propagation->started_us = dispatch_now_us();
    propagation->timer = xcalloc(1, sizeof(*propagation->timer));
    (void)uv_timer_init(call->daemon->loop, propagation->timer);
    propagation->timer->data = propagation;
    (void)uv_timer_start(propagation->timer, on_check, 0, CHECK_INTERVAL_MS);
}

static void
on_check(uv_timer_t *timer)
{
    propagation_t *propagation = timer->data;
    int64_t waited_ms =
        (dispatch_now_us() - propagation->started_us) / US_PER_MS;
    text_t json = {0};

    record_own_config(propagation);
    if (!record_hosts(propagation, &json) &&
        waited_ms < PROPAGATION_TIMEOUT_MS) {
        text_free(&json);
        return;
    }
    uv_close((uv_handle_t *)timer, (uv_close_cb)free);
    control_respond(propagation->call, CONTROL_OK, &json);
}

/* Records this host's configuration hash once it contains the document. */
static void
record_own_config(propagation_t *propagation)
{
    daemon_t *daemon = propagation->call->daemon;
    const node_t *node = dispatch_node(daemon->dispatch);
    arena_t arena = {0};
    size_t count = 0;
    size_t i;
    const node_config_view_t *configs = node_configs(node, &arena, &count);
    const node_host_view_t *hosts;
    bool applied = false;

    for (i = 0; i < count; i++) {
        applied = applied || (strcmp(configs[i].key, propagation->key) == 0 &&
                              configs[i].revision >= propagation->revision);
    }
    hosts = node_hosts(node, dispatch_now_us(), &arena, &count);
    for (i = 0; applied && i < count; i++) {
        if (strcmp(hosts[i].name, daemon->settings->host) == 0 &&
            !hash_has_document(propagation, hosts[i].config_hash)) {
            propagation->hashes[propagation->hash_count % HASHES_MAX] =
                hosts[i].config_hash;
            propagation->hash_count++;
        }
    }
    arena_free(&arena);
}

static bool
hash_has_document(const propagation_t *propagation, uint64_t hash)
{
    size_t count = propagation->hash_count < HASHES_MAX
                       ? propagation->hash_count
                       : HASHES_MAX;
    size_t i;

    for (i = 0; i < count; i++) {
        if (propagation->hashes[i] == hash) {
            return true;
        }
    }
    return false;
}

/*
 * Records which hosts have the revision in force, and writes the response.
 * Returns false while a live host does not have it.
 */
static bool
record_hosts(propagation_t *propagation, text_t *json)
{
    const node_t *node = dispatch_node(propagation->call->daemon->dispatch);
    int64_t now_us = dispatch_now_us();
    arena_t arena = {0};
    bool complete = true;
    size_t count = 0;
    size_t i;
    const node_host_view_t *hosts = node_hosts(node, now_us, &arena, &count);

    text_printf(json, "{\"revision\":%" PRId64 ",\"hosts\":[",
                propagation->revision);
    for (i = 0; i < count; i++) {
        host_progress_t *progress = find_progress(propagation, hosts[i].name);

        if (progress->after_ms < 0 &&
            hash_has_document(propagation, hosts[i].config_hash)) {
            progress->after_ms =
                (now_us - propagation->started_us) / US_PER_MS;
        }
        complete = complete && (progress->after_ms >= 0 ||
                                strcmp(hosts[i].state, "dead") == 0);
        text_puts(json, i > 0 ? "," : "");
        write_host(&hosts[i], progress->after_ms, json);
    }
    text_puts(json, "]}");
    arena_free(&arena);
    return complete;
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

/* The host list may change during the wait, so hosts are found by name. */
static host_progress_t *
find_progress(propagation_t *propagation, const char *host)
{
    arena_t *arena = &propagation->call->arena;
    host_progress_t *progress;

    for (progress = propagation->progress; progress != NULL;
         progress = progress->next) {
        if (strcmp(progress->host, host) == 0) {
            return progress;
        }
    }
    progress = arena_alloc(arena, sizeof(*progress));
    progress->next = propagation->progress;
    progress->host = arena_strdup(arena, host);
    progress->after_ms = -1;
    propagation->progress = progress;
    return progress;
}
