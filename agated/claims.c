/*
 * claims.c - claims and releases keys by compare-and-swap in the platform's
 * store, so that a request runs at most once.
 */
#include <stdlib.h>
#include <string.h>

#include <sys/queue.h>

#include "agated/agated.h"
#include "base/log.h"

enum {
    LEASE_TTL_S = 86400,
    US_PER_S = 1000000,
    LEASE_USE_MAX_S = 3600,
    ATTEMPTS_MAX = 4
};

/* One transaction: a batch of claims or a batch of releases. */
typedef struct call {
    TAILQ_ENTRY(call) link;
    claims_t *claims;
    arena_t arena;
    bool release;
    uint64_t batch;
    const char *claim_holder;
    const char **keys; /* without the prefix of the store */
    kv_op_t *ops;
    kv_swap_t *swaps;
    size_t count;
    uint32_t attempts;
    backoff_t backoff;
    uv_timer_t *timer;
} call_t;

struct claims {
    daemon_t *daemon;
    int64_t lease; /* 0: none */
    int64_t lease_granted_us;
    bool lease_requested; /* the reply is outstanding */
    TAILQ_HEAD(, call) calls;
};

static call_t *call_new(claims_t *claims, const char *claim_holder,
                        char *const *keys, size_t count);
static void call_free(call_t *call);
static void set_claim_ops(call_t *call);
static void set_release_ops(call_t *call);
static bool lease_is_usable(const claims_t *claims);
static void request_lease(claims_t *claims);
static void on_lease(void *context, kv_result_t result, int64_t lease,
                     int64_t ttl_s);
static void send_call(call_t *call);
static void on_retry(uv_timer_t *timer);
static void on_swap(void *context, kv_result_t result, int64_t revision,
                    const kv_swap_result_t *swap_results, size_t count);
static void finish_call(call_t *call, const kv_swap_result_t *swap_results);
static void read_outcome(call_t *call, size_t index,
                         const kv_swap_result_t *swap_result,
                         claim_outcome_t *outcome);

claims_t *
claims_new(daemon_t *daemon)
{
    claims_t *claims = xcalloc(1, sizeof(*claims));

    claims->daemon = daemon;
    TAILQ_INIT(&claims->calls);
    request_lease(claims);
    return claims;
}

/* The platform must be freed first, so that no callback follows. */
void
claims_free(claims_t *claims)
{
    call_t *call;

    if (claims == NULL) {
        return;
    }
    call = TAILQ_FIRST(&claims->calls);
    while (call != NULL) {
        call_t *next = TAILQ_NEXT(call, link);

        call_free(call);
        call = next;
    }
    free(claims);
}

void
claims_apply_action(claims_t *claims, const action_t *action)
{
    const claim_action_t *claim = &action->action_t_u.claim;
    const release_action_t *release = &action->action_t_u.release;
    call_t *call;

    if (action->kind == ACTION_RELEASE) {
        call = call_new(claims, release->claim_holder, release->keys.keys_val,
                        release->keys.keys_len);
        call->release = true;
        set_release_ops(call);
        send_call(call);
        return;
    }
    call = call_new(claims, claim->claim_holder, claim->keys.keys_val,
                    claim->keys.keys_len);
    call->batch = claim->batch;
    if (!lease_is_usable(claims)) {
        request_lease(claims);
        return;
    }
    set_claim_ops(call);
    send_call(call);
}

static call_t *
call_new(claims_t *claims, const char *claim_holder, char *const *keys,
         size_t count)
{
    call_t *call = xcalloc(1, sizeof(*call));
    size_t i;

    call->claims = claims;
    call->claim_holder = arena_strdup(&call->arena, claim_holder);
    call->count = count;
    call->keys = arena_array(&call->arena, count, sizeof(*call->keys));
    call->ops = arena_array(&call->arena, count, sizeof(*call->ops));
    call->swaps = arena_array(&call->arena, count, sizeof(*call->swaps));
    for (i = 0; i < count; i++) {
        call->keys[i] = arena_strdup(&call->arena, keys[i]);
        call->swaps[i].key =
            arena_printf(&call->arena, "/agatevale/claims/%s", keys[i]);
        call->swaps[i].ops = &call->ops[i];
        call->swaps[i].op_count = 1;
        call->ops[i].key = call->swaps[i].key;
    }
    call->timer = xcalloc(1, sizeof(*call->timer));
    (void)uv_timer_init(claims->daemon->loop, call->timer);
    call->timer->data = call;
    TAILQ_INSERT_TAIL(&claims->calls, call, link);
    return call;
}

static void
call_free(call_t *call)
{
    uv_close((uv_handle_t *)call->timer, (uv_close_cb)free);
    arena_free(&call->arena);
    free(call);
}

/* Creates each key that does not exist, with our holder ID as its value. */
static void
set_claim_ops(call_t *call)
{
    size_t i;

    for (i = 0; i < call->count; i++) {
        call->ops[i].verb = KV_PUT;
        call->ops[i].value = call->claim_holder;
        call->ops[i].value_bytes = strlen(call->claim_holder);
        call->ops[i].lease = call->claims->lease;
    }
}

/* Deletes each key whose value is our holder ID. */
static void
set_release_ops(call_t *call)
{
    size_t i;

    for (i = 0; i < call->count; i++) {
        call->swaps[i].value = call->claim_holder;
        call->swaps[i].value_bytes = strlen(call->claim_holder);
        call->ops[i].verb = KV_DELETE;
    }
}

/*
 * The lease is never renewed.  A new one is requested after LEASE_USE_MAX_S,
 * so that each claim is kept for nearly a day.
 */
static bool
lease_is_usable(const claims_t *claims)
{
    int64_t age_us = dispatch_now_us() - claims->lease_granted_us;

    return claims->lease != 0 && age_us < (int64_t)LEASE_USE_MAX_S * US_PER_S;
}

static void
request_lease(claims_t *claims)
{
    kv_t *platform = claims->daemon->platform;

    if (claims->lease_requested) {
        return;
    }
    claims->lease_requested = true;
    platform->ops->lease_grant(platform, LEASE_TTL_S, on_lease, claims);
}

/* Sends the claims that waited for the lease, or fails them. */
static void
on_lease(void *context, kv_result_t result, int64_t lease, int64_t ttl_s)
{
    claims_t *claims = context;
    call_t *call;
    call_t *next;

    claims->lease_requested = false;
    if (result == KV_OK) {
        claims->lease = lease;
        claims->lease_granted_us = dispatch_now_us();
    }
    for (call = TAILQ_FIRST(&claims->calls); call != NULL; call = next) {
        next = TAILQ_NEXT(call, link);
        if (call->release || call->attempts > 0) {
            continue;
        }
        if (result != KV_OK) {
            finish_call(call, NULL);
            continue;
        }
        set_claim_ops(call);
        send_call(call);
    }
}

static void
send_call(call_t *call)
{
    kv_t *platform = call->claims->daemon->platform;

    call->attempts++;
    platform->ops->swap(platform, call->swaps, call->count, on_swap, call);
}

static void
on_retry(uv_timer_t *timer)
{
    send_call(timer->data);
}

/*
 * Retries a call whose reply was lost.  A key that the lost call wrote has our
 * claim_holder as its value, so the reply to the retry shows the result.
 */
static void
on_swap(void *context, kv_result_t result, int64_t revision,
        const kv_swap_result_t *swap_results, size_t count)
{
    call_t *call = context;

    if (result == KV_OK) {
        finish_call(call, swap_results);
        return;
    }
    if (result == KV_INVALID) {
        call->claims->lease = 0;
        finish_call(call, NULL);
        return;
    }
    if (call->attempts >= ATTEMPTS_MAX) {
        log_line(LOG_WARNING, "store call failed call=%s attempts=%u",
                 call->release ? "release" : "claim", call->attempts);
        finish_call(call, NULL);
        return;
    }
    (void)uv_timer_start(call->timer, on_retry,
                         backoff_next_ms(&call->backoff), 0);
}

/*
 * Reports the outcomes to the node and frees the call.  swap_results is NULL
 * when the store sent no reply.  For a release, the batch is 0 and the holder
 * is the released claim_holder; see policy/claim_queue.h.
 */
static void
finish_call(call_t *call, const kv_swap_result_t *swap_results)
{
    dispatch_t *dispatch = call->claims->daemon->dispatch;
    event_t event = {.kind = EVENT_CLAIM_RESULTS};
    claim_results_event_t *claim_results = &event.event_t_u.claim_results;
    claim_outcome_t *outcomes =
        arena_array(&call->arena, call->count, sizeof(*outcomes));
    size_t i;

    for (i = 0; i < call->count; i++) {
        read_outcome(call, i, swap_results == NULL ? NULL : &swap_results[i],
                     &outcomes[i]);
        if (call->release) {
            outcomes[i].holder = (char *)(uintptr_t)call->claim_holder;
        }
    }
    claim_results->batch = call->batch;
    claim_results->outcomes.outcomes_len = (u_int)call->count;
    claim_results->outcomes.outcomes_val = outcomes;
    TAILQ_REMOVE(&call->claims->calls, call, link);
    dispatch_event(dispatch, &event);
    call_free(call);
}

static void
read_outcome(call_t *call, size_t index, const kv_swap_result_t *swap_result,
             claim_outcome_t *outcome)
{
    const kv_pair_t *current;

    outcome->key = (char *)(uintptr_t)call->keys[index];
    outcome->holder = arena_strdup(&call->arena, "");
    if (swap_result == NULL) {
        outcome->result = CLAIM_UNKNOWN;
        return;
    }
    current = &swap_result->held;
    if (swap_result->succeeded ||
        (current->value_bytes == strlen(call->claim_holder) &&
         memcmp(current->value, call->claim_holder, current->value_bytes) ==
             0)) {
        outcome->result = CLAIM_WON;
        outcome->holder = (char *)(uintptr_t)call->claim_holder;
        return;
    }
    outcome->result = CLAIM_HELD_BY_OTHER;
    if (current->value_bytes <= LINK_NAME_MAX) {
        outcome->holder =
            arena_strndup(&call->arena, current->value, current->value_bytes);
    }
}
