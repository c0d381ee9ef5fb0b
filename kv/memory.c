/* memory.c - an in-memory key-value service; see kv.h. */
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "base/arena.h"
#include "base/revision.h"
#include "kv/callback.h"
#include "kv/store.h"

enum { EXPIRY_INTERVAL_MS = 100 };

/* A callback that runs in the next iteration of the event loop. */
typedef struct pending {
    TAILQ_ENTRY(pending) link;
    arena_t arena; /* memory of the response */
    kv_callback_t done;
    kv_response_t answer;
} pending_callback_t;
TAILQ_HEAD(pending_callback_queue, pending);

typedef struct watch {
    LIST_ENTRY(watch) link;
    struct memory *memory;
    char *prefix;
    int64_t start_revision;
    kv_callback_t done;
} watch_t;

typedef struct memory {
    kv_t kv;
    uv_loop_t *loop;
    uv_idle_t idle_handle;
    uv_timer_t expiry;
    store_t *store;
    struct pending_callback_queue pending;
    LIST_HEAD(, watch) watches;
    bool freed;
    unsigned open_handles;
} memory_t;

static void memory_range(kv_t *kv, const char *key, bool prefix,
                         kv_range_callback_t done, void *context);
static void memory_swap(kv_t *kv, const kv_swap_t *swaps, size_t count,
                        kv_swap_callback_t done, void *context);
static void memory_lease_grant(kv_t *kv, int64_t ttl_s,
                               kv_lease_callback_t done, void *context);
static void memory_lease_keepalive(kv_t *kv, int64_t lease,
                                   kv_lease_callback_t done, void *context);
static void memory_lease_revoke(kv_t *kv, int64_t lease,
                                kv_lease_callback_t done, void *context);
static void memory_watch(kv_t *kv, const char *prefix, int64_t start_revision,
                         kv_watch_callback_t done, void *context);
static void memory_watch_end(kv_t *kv, void *context);
static int64_t memory_era(kv_t *kv);
static void memory_free(kv_t *kv);
static pending_callback_t *pending_callback_new(memory_t *memory,
                                                kv_callback_t done);
static void pending_callback_free(pending_callback_t *pending);
static void on_idle(uv_idle_t *idle);
static void on_expiry(uv_timer_t *timer);
static void on_closed(uv_handle_t *handle);
static void on_store_change(void *context, const kv_pair_t *pair);
static void queue_change(void *context, const kv_pair_t *pair);
static int64_t now_ms(const memory_t *memory);

static const kv_ops_t memory_ops = {
    .range = memory_range,
    .swap = memory_swap,
    .lease_grant = memory_lease_grant,
    .lease_keepalive = memory_lease_keepalive,
    .lease_revoke = memory_lease_revoke,
    .watch = memory_watch,
    .watch_cancel = memory_watch_end,
    .era = memory_era,
    .free = memory_free,
};

kv_t *
kv_memory_new(uv_loop_t *loop)
{
    memory_t *memory = xcalloc(1, sizeof(*memory));

    memory->kv.ops = &memory_ops;
    memory->loop = loop;
    memory->store = store_new(on_store_change, memory);
    TAILQ_INIT(&memory->pending);
    LIST_INIT(&memory->watches);
    (void)uv_idle_init(loop, &memory->idle_handle);
    (void)uv_timer_init(loop, &memory->expiry);
    memory->idle_handle.data = memory;
    memory->expiry.data = memory;
    memory->open_handles = 2;
    (void)uv_timer_start(&memory->expiry, on_expiry, EXPIRY_INTERVAL_MS,
                         EXPIRY_INTERVAL_MS);
    uv_unref((uv_handle_t *)&memory->expiry);
    return &memory->kv;
}

static void
memory_range(kv_t *kv, const char *key, bool prefix, kv_range_callback_t done,
             void *context)
{
    memory_t *memory = (memory_t *)kv;
    pending_callback_t *pending =
        pending_callback_new(memory, kv_callback_range(done, context));

    pending->answer.revision = store_revision(memory->store);
    pending->answer.pairs = store_range(memory->store, &pending->arena, key,
                                        prefix, &pending->answer.count);
}

static void
memory_swap(kv_t *kv, const kv_swap_t *swaps, size_t count,
            kv_swap_callback_t done, void *context)
{
    memory_t *memory = (memory_t *)kv;
    pending_callback_t *pending =
        pending_callback_new(memory, kv_callback_swap(done, context));
    kv_swap_result_t *answers =
        arena_array(&pending->arena, count, sizeof(*answers));

    pending->answer.result =
        store_swap(memory->store, &pending->arena, swaps, count, answers);
    pending->answer.revision = store_revision(memory->store);
    pending->answer.swaps = answers;
    pending->answer.count = pending->answer.result == KV_OK ? count : 0;
}

static void
memory_lease_grant(kv_t *kv, int64_t ttl_s, kv_lease_callback_t done,
                   void *context)
{
    memory_t *memory = (memory_t *)kv;
    int64_t lease = store_grant_lease(memory->store, ttl_s, now_ms(memory));
    pending_callback_t *pending =
        pending_callback_new(memory, kv_callback_lease(done, context));

    pending->answer.lease = lease;
    pending->answer.ttl_s = ttl_s;
}

static void
memory_lease_keepalive(kv_t *kv, int64_t lease, kv_lease_callback_t done,
                       void *context)
{
    memory_t *memory = (memory_t *)kv;
    int64_t ttl_s = store_renew_lease(memory->store, lease, now_ms(memory));
    pending_callback_t *pending =
        pending_callback_new(memory, kv_callback_lease(done, context));

    pending->answer.lease = lease;
    pending->answer.ttl_s = ttl_s;
}

static void
memory_lease_revoke(kv_t *kv, int64_t lease, kv_lease_callback_t done,
                    void *context)
{
    memory_t *memory = (memory_t *)kv;
    bool known = store_revoke_lease(memory->store, lease);
    pending_callback_t *pending =
        pending_callback_new(memory, kv_callback_lease(done, context));

    pending->answer.result = known ? KV_OK : KV_INVALID;
    pending->answer.lease = lease;
}

static void
memory_watch(kv_t *kv, const char *prefix, int64_t start_revision,
             kv_watch_callback_t done, void *context)
{
    memory_t *memory = (memory_t *)kv;
    kv_callback_t callback = kv_callback_watch(done, context);
    pending_callback_t *pending = pending_callback_new(memory, callback);
    watch_t *watch = xcalloc(1, sizeof(*watch));
    int64_t compacted;

    watch->memory = memory;
    watch->prefix = xstrdup(prefix);
    watch->start_revision = start_revision;
    watch->done = callback;
    pending->answer.revision = store_revision(memory->store);
    if (store_replay_changes(memory->store, prefix, start_revision,
                             queue_change, watch, &compacted)) {
        LIST_INSERT_HEAD(&memory->watches, watch, link);
        return;
    }
    pending->answer.result = KV_INVALID;
    pending->answer.revision = compacted;
    free(watch->prefix);
    free(watch);
}

static void
memory_watch_end(kv_t *kv, void *context)
{
    memory_t *memory = (memory_t *)kv;
    watch_t *watch = LIST_FIRST(&memory->watches);

    while (watch != NULL) {
        watch_t *next = LIST_NEXT(watch, link);

        if (watch->done.context == context) {
            LIST_REMOVE(watch, link);
            free(watch->prefix);
            free(watch);
        }
        watch = next;
    }
}

static int64_t
memory_era(kv_t *kv)
{
    return revision_era(store_revision(((memory_t *)kv)->store));
}

store_copy_t *
kv_memory_copy(kv_t *kv)
{
    return store_copy_new(((memory_t *)kv)->store);
}

void
kv_memory_restore(kv_t *kv, const store_copy_t *copy)
{
    memory_t *memory = (memory_t *)kv;
    watch_t *watch;

    store_restore(memory->store, copy, now_ms(memory));
    while ((watch = LIST_FIRST(&memory->watches)) != NULL) {
        pending_callback_t *pending =
            pending_callback_new(memory, watch->done);

        pending->answer.result = KV_INVALID;
        pending->answer.revision = store_revision(memory->store);
        LIST_REMOVE(watch, link);
        free(watch->prefix);
        free(watch);
    }
}

/* May be called from a callback of this service. */
static void
memory_free(kv_t *kv)
{
    memory_t *memory = (memory_t *)kv;
    pending_callback_t *pending;
    watch_t *watch;

    memory->freed = true;
    while ((pending = TAILQ_FIRST(&memory->pending)) != NULL) {
        TAILQ_REMOVE(&memory->pending, pending, link);
        pending_callback_free(pending);
    }
    while ((watch = LIST_FIRST(&memory->watches)) != NULL) {
        LIST_REMOVE(watch, link);
        free(watch->prefix);
        free(watch);
    }
    store_free(memory->store);
    uv_close((uv_handle_t *)&memory->idle_handle, on_closed);
    uv_close((uv_handle_t *)&memory->expiry, on_closed);
}

static void
on_closed(uv_handle_t *handle)
{
    memory_t *memory = handle->data;

    if (--memory->open_handles == 0) {
        free(memory);
    }
}

static pending_callback_t *
pending_callback_new(memory_t *memory, kv_callback_t done)
{
    pending_callback_t *pending = xcalloc(1, sizeof(*pending));

    pending->done = done;
    TAILQ_INSERT_TAIL(&memory->pending, pending, link);
    (void)uv_idle_start(&memory->idle_handle, on_idle);
    return pending;
}

static void
pending_callback_free(pending_callback_t *pending)
{
    arena_free(&pending->arena);
    free(pending);
}

/* Responses that these callbacks cause are delivered in the next iteration. */
static void
on_idle(uv_idle_t *idle)
{
    memory_t *memory = idle->data;
    pending_callback_t *last =
        TAILQ_LAST(&memory->pending, pending_callback_queue);
    pending_callback_t *pending;
    bool more = last != NULL;

    while (more && !memory->freed) {
        pending = TAILQ_FIRST(&memory->pending);
        more = pending != last;
        TAILQ_REMOVE(&memory->pending, pending, link);
        kv_callback_invoke(&pending->done, &pending->answer);
        pending_callback_free(pending);
    }
    if (TAILQ_EMPTY(&memory->pending)) {
        (void)uv_idle_stop(idle);
    }
}

static void
on_expiry(uv_timer_t *timer)
{
    memory_t *memory = timer->data;

    store_expire_leases(memory->store, now_ms(memory));
}

static void
on_store_change(void *context, const kv_pair_t *pair)
{
    memory_t *memory = context;
    watch_t *watch;

    LIST_FOREACH(watch, &memory->watches, link)
    {
        if (pair->mod_revision >= watch->start_revision &&
            strncmp(pair->key, watch->prefix, strlen(watch->prefix)) == 0) {
            queue_change(watch, pair);
        }
    }
}

static void
queue_change(void *context, const kv_pair_t *pair)
{
    const watch_t *watch = context;
    pending_callback_t *pending =
        pending_callback_new(watch->memory, watch->done);
    kv_pair_t *copy = arena_alloc(&pending->arena, sizeof(*copy));

    *copy = *pair;
    copy->key = arena_strdup(&pending->arena, pair->key);
    copy->value =
        arena_memdup(&pending->arena, pair->value, pair->value_bytes);
    pending->answer.revision = pair->mod_revision;
    pending->answer.pairs = copy;
    pending->answer.count = 1;
}

static int64_t
now_ms(const memory_t *memory)
{
    return (int64_t)uv_now(memory->loop);
}
