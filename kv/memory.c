/* memory.c - the platform's service in one process; see kv.h. */
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "base/arena.h"
#include "kv/kv.h"
#include "kv/store.h"

enum { MEMORY_EXPIRE_MS = 100 };

typedef enum {
    ANSWER_RANGE,
    ANSWER_SWAP,
    ANSWER_LEASE,
    ANSWER_WATCH,
} answer_kind_t;

/* One callback to be made on the next turn of the loop. */
typedef struct answer {
    TAILQ_ENTRY(answer) all;
    arena_t arena;
    answer_kind_t kind;
    kv_result_t result;
    int64_t revision;
    kv_pair_t *pairs;
    kv_swap_answer_t *swaps;
    size_t count;
    int64_t lease;
    int64_t ttl_s;
    union {
        kv_range_done_t range;
        kv_swap_done_t swap;
        kv_lease_done_t lease;
        kv_watch_done_t watch;
    } done;
    void *context;
} answer_t;
TAILQ_HEAD(answer_queue, answer);

typedef struct watch {
    LIST_ENTRY(watch) all;
    struct memory *memory;
    char *prefix;
    int64_t start_revision;
    kv_watch_done_t done;
    void *context;
} watch_t;

typedef struct memory {
    kv_t kv;
    uv_loop_t *loop;
    uv_idle_t turn;
    uv_timer_t expiry;
    store_t *store;
    struct answer_queue answers;
    LIST_HEAD(, watch) watches;
    bool freed;
    unsigned open_handles;
} memory_t;

static void memory_range(kv_t *kv, const char *key, bool prefix,
                         kv_range_done_t done, void *context);
static void memory_swap(kv_t *kv, const kv_swap_t *swaps, size_t count,
                        kv_swap_done_t done, void *context);
static void memory_lease_grant(kv_t *kv, int64_t ttl_s, kv_lease_done_t done,
                               void *context);
static void memory_lease_keepalive(kv_t *kv, int64_t lease,
                                   kv_lease_done_t done, void *context);
static void memory_lease_revoke(kv_t *kv, int64_t lease, kv_lease_done_t done,
                                void *context);
static void memory_watch(kv_t *kv, const char *prefix, int64_t start_revision,
                         kv_watch_done_t done, void *context);
static void memory_watch_end(kv_t *kv, void *context);
static void memory_free(kv_t *kv);
static answer_t *answer_new(memory_t *memory, answer_kind_t kind,
                            void *context);
static void answer_lease(memory_t *memory, kv_result_t result, int64_t lease,
                         int64_t ttl_s, kv_lease_done_t done, void *context);
static void answer_free(answer_t *answer);
static void give(const answer_t *answer);
static void on_turn(uv_idle_t *idle);
static void on_expiry(uv_timer_t *timer);
static void on_closed(uv_handle_t *handle);
static void on_changed(void *context, const kv_pair_t *pair);
static void give_change(void *context, const kv_pair_t *pair);
static int64_t now_ms(const memory_t *memory);

static const kv_ops_t memory_ops = {
    .range = memory_range,
    .swap = memory_swap,
    .lease_grant = memory_lease_grant,
    .lease_keepalive = memory_lease_keepalive,
    .lease_revoke = memory_lease_revoke,
    .watch = memory_watch,
    .watch_end = memory_watch_end,
    .free = memory_free,
};

kv_t *
kv_memory_new(uv_loop_t *loop)
{
    memory_t *memory = xcalloc(1, sizeof(*memory));

    memory->kv.ops = &memory_ops;
    memory->loop = loop;
    memory->store = store_new(on_changed, memory);
    TAILQ_INIT(&memory->answers);
    LIST_INIT(&memory->watches);
    (void)uv_idle_init(loop, &memory->turn);
    (void)uv_timer_init(loop, &memory->expiry);
    memory->turn.data = memory;
    memory->expiry.data = memory;
    memory->open_handles = 2;
    (void)uv_timer_start(&memory->expiry, on_expiry, MEMORY_EXPIRE_MS,
                         MEMORY_EXPIRE_MS);
    uv_unref((uv_handle_t *)&memory->expiry);
    return &memory->kv;
}

static void
memory_range(kv_t *kv, const char *key, bool prefix, kv_range_done_t done,
             void *context)
{
    memory_t *memory = (memory_t *)kv;
    answer_t *answer = answer_new(memory, ANSWER_RANGE, context);

    answer->done.range = done;
    answer->revision = store_revision(memory->store);
    answer->pairs = store_range(memory->store, &answer->arena, key, prefix,
                                &answer->count);
}

static void
memory_swap(kv_t *kv, const kv_swap_t *swaps, size_t count,
            kv_swap_done_t done, void *context)
{
    memory_t *memory = (memory_t *)kv;
    answer_t *answer = answer_new(memory, ANSWER_SWAP, context);

    answer->done.swap = done;
    answer->swaps = arena_array(&answer->arena, count, sizeof(*answer->swaps));
    answer->result =
        store_swap(memory->store, &answer->arena, swaps, count, answer->swaps);
    answer->revision = store_revision(memory->store);
    answer->count = answer->result == KV_OK ? count : 0;
}

static void
memory_lease_grant(kv_t *kv, int64_t ttl_s, kv_lease_done_t done,
                   void *context)
{
    memory_t *memory = (memory_t *)kv;
    int64_t lease = store_grant(memory->store, ttl_s, now_ms(memory));

    answer_lease(memory, KV_OK, lease, ttl_s, done, context);
}

static void
memory_lease_keepalive(kv_t *kv, int64_t lease, kv_lease_done_t done,
                       void *context)
{
    memory_t *memory = (memory_t *)kv;
    int64_t ttl_s = store_keepalive(memory->store, lease, now_ms(memory));

    answer_lease(memory, KV_OK, lease, ttl_s, done, context);
}

static void
memory_lease_revoke(kv_t *kv, int64_t lease, kv_lease_done_t done,
                    void *context)
{
    memory_t *memory = (memory_t *)kv;
    bool known = store_revoke(memory->store, lease);

    answer_lease(memory, known ? KV_OK : KV_INVALID, lease, 0, done, context);
}

static void
memory_watch(kv_t *kv, const char *prefix, int64_t start_revision,
             kv_watch_done_t done, void *context)
{
    memory_t *memory = (memory_t *)kv;
    answer_t *answer = answer_new(memory, ANSWER_WATCH, context);
    watch_t *watch = xcalloc(1, sizeof(*watch));

    watch->memory = memory;
    watch->prefix = xstrdup(prefix);
    watch->start_revision = start_revision;
    watch->done = done;
    watch->context = context;
    answer->done.watch = done;
    answer->revision = store_revision(memory->store);
    if (store_replay(memory->store, prefix, start_revision, give_change, watch,
                     &answer->lease)) {
        LIST_INSERT_HEAD(&memory->watches, watch, all);
        return;
    }
    answer->result = KV_INVALID;
    answer->revision = answer->lease;
    free(watch->prefix);
    free(watch);
}

static void
memory_watch_end(kv_t *kv, void *context)
{
    memory_t *memory = (memory_t *)kv;
    watch_t *watch = LIST_FIRST(&memory->watches);

    while (watch != NULL) {
        watch_t *next = LIST_NEXT(watch, all);

        if (watch->context == context) {
            LIST_REMOVE(watch, all);
            free(watch->prefix);
            free(watch);
        }
        watch = next;
    }
}

/* The callback that is running may be what frees the platform. */
static void
memory_free(kv_t *kv)
{
    memory_t *memory = (memory_t *)kv;
    answer_t *answer;
    watch_t *watch;

    memory->freed = true;
    while ((answer = TAILQ_FIRST(&memory->answers)) != NULL) {
        TAILQ_REMOVE(&memory->answers, answer, all);
        answer_free(answer);
    }
    while ((watch = LIST_FIRST(&memory->watches)) != NULL) {
        LIST_REMOVE(watch, all);
        free(watch->prefix);
        free(watch);
    }
    store_free(memory->store);
    uv_close((uv_handle_t *)&memory->turn, on_closed);
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

static answer_t *
answer_new(memory_t *memory, answer_kind_t kind, void *context)
{
    answer_t *answer = xcalloc(1, sizeof(*answer));

    answer->kind = kind;
    answer->context = context;
    TAILQ_INSERT_TAIL(&memory->answers, answer, all);
    (void)uv_idle_start(&memory->turn, on_turn);
    return answer;
}

static void
answer_lease(memory_t *memory, kv_result_t result, int64_t lease,
             int64_t ttl_s, kv_lease_done_t done, void *context)
{
    answer_t *answer = answer_new(memory, ANSWER_LEASE, context);

    answer->done.lease = done;
    answer->result = result;
    answer->lease = lease;
    answer->ttl_s = ttl_s;
}

static void
answer_free(answer_t *answer)
{
    arena_free(&answer->arena);
    free(answer);
}

/* Answers that the callbacks bring about come on the turn after. */
static void
on_turn(uv_idle_t *idle)
{
    memory_t *memory = idle->data;
    answer_t *last = TAILQ_LAST(&memory->answers, answer_queue);
    answer_t *answer;
    bool more = last != NULL;

    while (more && !memory->freed) {
        answer = TAILQ_FIRST(&memory->answers);
        more = answer != last;
        TAILQ_REMOVE(&memory->answers, answer, all);
        give(answer);
        answer_free(answer);
    }
    if (TAILQ_EMPTY(&memory->answers)) {
        (void)uv_idle_stop(idle);
    }
}

static void
give(const answer_t *answer)
{
    switch (answer->kind) {
    case ANSWER_RANGE:
        answer->done.range(answer->context, answer->result, answer->revision,
                           answer->pairs, answer->count);
        break;
    case ANSWER_SWAP:
        answer->done.swap(answer->context, answer->result, answer->revision,
                          answer->swaps, answer->count);
        break;
    case ANSWER_LEASE:
        answer->done.lease(answer->context, answer->result, answer->lease,
                           answer->ttl_s);
        break;
    case ANSWER_WATCH:
        answer->done.watch(answer->context, answer->result, answer->revision,
                           answer->pairs, answer->count);
        break;
    }
}

static void
on_expiry(uv_timer_t *timer)
{
    memory_t *memory = timer->data;

    store_expire(memory->store, now_ms(memory));
}

static void
on_changed(void *context, const kv_pair_t *pair)
{
    memory_t *memory = context;
    watch_t *watch;

    LIST_FOREACH(watch, &memory->watches, all)
    {
        if (pair->mod_revision >= watch->start_revision &&
            strncmp(pair->key, watch->prefix, strlen(watch->prefix)) == 0) {
            give_change(watch, pair);
        }
    }
}

static void
give_change(void *context, const kv_pair_t *pair)
{
    const watch_t *watch = context;
    answer_t *answer = answer_new(watch->memory, ANSWER_WATCH, watch->context);

    answer->done.watch = watch->done;
    answer->revision = pair->mod_revision;
    answer->count = 1;
    answer->pairs = arena_alloc(&answer->arena, sizeof(*answer->pairs));
    *answer->pairs = *pair;
    answer->pairs->key = arena_strdup(&answer->arena, pair->key);
    answer->pairs->value =
        arena_memdup(&answer->arena, pair->value, pair->value_bytes);
}

static int64_t
now_ms(const memory_t *memory)
{
    return (int64_t)uv_now(memory->loop);
}
