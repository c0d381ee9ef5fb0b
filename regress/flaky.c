/* flaky.c - see flaky.h. */
#include <stdlib.h>
#include <string.h>

#include "base/arena.h"
#include "regress/flaky.h"

struct flaky {
    kv_t kv; /* first: it is called by it */
    uv_loop_t *loop;
    kv_t *inner;
    const char *prefix;
    flaky_fault_t fault;
    size_t left;
    bool failed; /* a call has failed since the intruder was named */
    const char *intruder_key;
    const char *intruder_value;
};

/* A swap that fails; its answer comes on a later turn of the loop. */
typedef struct {
    uv_timer_t timer;
    kv_result_t result;
    kv_swap_callback_t done;
    void *context;
} failure_t;

static void on_range(kv_t *kv, const char *key, bool prefix,
                     kv_range_callback_t done, void *context);
static void on_swap(kv_t *kv, const kv_swap_t *swaps, size_t count,
                    kv_swap_callback_t done, void *context);
static void on_lease_grant(kv_t *kv, int64_t ttl_s, kv_lease_callback_t done,
                           void *context);
static void on_lease_keepalive(kv_t *kv, int64_t lease,
                               kv_lease_callback_t done, void *context);
static void on_lease_revoke(kv_t *kv, int64_t lease, kv_lease_callback_t done,
                            void *context);
static void on_watch(kv_t *kv, const char *prefix, int64_t start_revision,
                     kv_watch_callback_t done, void *context);
static void on_watch_end(kv_t *kv, void *context);
static int64_t on_era(kv_t *kv);
static void on_free(kv_t *kv);
static void fail_later(flaky_t *flaky, kv_result_t result,
                       kv_swap_callback_t done, void *context);
static void on_failure(uv_timer_t *timer);
static void intrude(flaky_t *flaky, const char *key);
static void ignore(void *context, kv_result_t result, int64_t revision,
                   const kv_swap_result_t *answers, size_t count);

static const kv_ops_t ops = {
    on_range,           on_swap,         on_lease_grant,
    on_lease_keepalive, on_lease_revoke, on_watch,
    on_watch_end,       on_era,          on_free};

kv_t *
flaky_new(uv_loop_t *loop, kv_t *inner)
{
    flaky_t *flaky = xcalloc(1, sizeof(*flaky));

    flaky->kv.ops = &ops;
    flaky->loop = loop;
    flaky->inner = inner;
    return &flaky->kv;
}

void
flaky_swaps(kv_t *kv, const char *prefix, flaky_fault_t fault, size_t count)
{
    flaky_t *flaky = (flaky_t *)kv;

    flaky->prefix = prefix;
    flaky->fault = fault;
    flaky->left = count;
}

void
flaky_intrude(kv_t *kv, const char *key, const char *value)
{
    flaky_t *flaky = (flaky_t *)kv;

    flaky->failed = false;
    flaky->intruder_key = key;
    flaky->intruder_value = value;
}

static void
on_swap(kv_t *kv, const kv_swap_t *swaps, size_t count,
        kv_swap_callback_t done, void *context)
{
    flaky_t *flaky = (flaky_t *)kv;
    bool fails = flaky->left > 0 && strncmp(swaps[0].key, flaky->prefix,
                                            strlen(flaky->prefix)) == 0;

    intrude(flaky, swaps[0].key);
    if (!fails) {
        flaky->inner->ops->swap(flaky->inner, swaps, count, done, context);
        return;
    }
    flaky->left--;
    flaky->failed = true;
    if (flaky->fault == FLAKY_LOSES) {
        flaky->inner->ops->swap(flaky->inner, swaps, count, ignore, NULL);
    }
    fail_later(flaky,
               flaky->fault == FLAKY_REFUSES ? KV_NOT_APPLIED
                                             : KV_OUTCOME_UNKNOWN,
               done, context);
}

static void
on_range(kv_t *kv, const char *key, bool prefix, kv_range_callback_t done,
         void *context)
{
    kv_t *inner = ((flaky_t *)kv)->inner;

    inner->ops->range(inner, key, prefix, done, context);
}

static void
on_lease_grant(kv_t *kv, int64_t ttl_s, kv_lease_callback_t done,
               void *context)
{
    kv_t *inner = ((flaky_t *)kv)->inner;

    inner->ops->lease_grant(inner, ttl_s, done, context);
}

static void
on_lease_keepalive(kv_t *kv, int64_t lease, kv_lease_callback_t done,
                   void *context)
{
    kv_t *inner = ((flaky_t *)kv)->inner;

    inner->ops->lease_keepalive(inner, lease, done, context);
}

static void
on_lease_revoke(kv_t *kv, int64_t lease, kv_lease_callback_t done,
                void *context)
{
    kv_t *inner = ((flaky_t *)kv)->inner;

    inner->ops->lease_revoke(inner, lease, done, context);
}

static void
on_watch(kv_t *kv, const char *prefix, int64_t start_revision,
         kv_watch_callback_t done, void *context)
{
    kv_t *inner = ((flaky_t *)kv)->inner;

    inner->ops->watch(inner, prefix, start_revision, done, context);
}

static void
on_watch_end(kv_t *kv, void *context)
{
    flaky_t *flaky = (flaky_t *)kv;

    flaky->inner->ops->watch_cancel(flaky->inner, context);
}

static int64_t
on_era(kv_t *kv)
{
    return kv_era(((flaky_t *)kv)->inner);
}

static void
on_free(kv_t *kv)
{
    flaky_t *flaky = (flaky_t *)kv;

    flaky->inner->ops->free(flaky->inner);
    free(flaky);
}

static void
fail_later(flaky_t *flaky, kv_result_t result, kv_swap_callback_t done,
           void *context)
{
    failure_t *failure = xcalloc(1, sizeof(*failure));

    failure->result = result;
    failure->done = done;
    failure->context = context;
    (void)uv_timer_init(flaky->loop, &failure->timer);
    (void)uv_timer_start(&failure->timer, on_failure, 1, 0);
}

static void
on_failure(uv_timer_t *timer)
{
    failure_t *failure = (failure_t *)timer;

    failure->done(failure->context, failure->result, 0, NULL, 0);
    uv_close((uv_handle_t *)timer, (uv_close_cb)free);
}

static void
intrude(flaky_t *flaky, const char *key)
{
    kv_op_t op = {.verb = KV_PUT, .key = key, .value = flaky->intruder_value};
    kv_swap_t swap = {.key = "/none", .ops = &op, .op_count = 1};

    if (!flaky->failed || flaky->intruder_key == NULL ||
        strcmp(flaky->intruder_key, key) != 0) {
        return;
    }
    op.value_bytes = strlen(op.value);
    flaky->intruder_key = NULL;
    flaky->inner->ops->swap(flaky->inner, &swap, 1, ignore, NULL);
}

static void
ignore(void *context, kv_result_t result, int64_t revision,
       const kv_swap_result_t *answers, size_t count)
{
}
