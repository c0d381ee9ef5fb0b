/* admit.c - admission control and fair queueing; see admit.h. */
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <uthash.h>

#include "base/arena.h"
#include "policy/admit.h"
#include "policy/rate.h"

#define ESTIMATE_SPAN_MAX_US ((int64_t)8 * 1000000)

enum {
    VIRTUAL_TIME_SCALE = 1024,         /* virtual time per unit of cost */
    PERMILLE = 1000,                   /* also the budget taken by one retry */
    ESTIMATE_BACKLOG_MIN_US = 1000000, /* backlog before estimating waits */
    RETRY_AFTER_MIN_MS = 100,
    US_PER_MS = 1000,
};

static const uint32_t urgency_weights[URGENCY_COUNT] = {64, 8, 1};

typedef struct flow flow_t;

typedef struct item {
    uint64_t id;
    flow_t *flow;
    uint32_t cost;
    bool interrupted;
    int64_t expires_us;
    TAILQ_ENTRY(item) link;             /* in its flow's items */
    TAILQ_ENTRY(item) interrupted_link; /* in its class */
    UT_hash_handle hh;
} item_t;
TAILQ_HEAD(item_list, item);

/* The queued items of one organisation in one urgency. */
struct flow {
    char *organisation;
    urgency_t urgency;
    uint32_t weight;
    uint64_t start_tag; /* virtual time of its next start */
    struct item_list items;
    size_t count;
    int64_t backlog_since_us; /* queued items without a break since then */
    rate_t starts;
    TAILQ_ENTRY(flow) link; /* in the backlogged flows of its class */
    UT_hash_handle hh;
};
TAILQ_HEAD(flow_list, flow);

typedef struct {
    uint64_t start_tag;    /* among the urgencies */
    uint64_t virtual_time; /* among its organisations */
    flow_t *flows;         /* hash by organisation */
    struct flow_list backlogged;
    struct item_list interrupted;
    size_t count;
    uint64_t weight_sum; /* of the backlogged flows */
} urgency_class_t;

struct admit {
    admit_limits_t limits;
    urgency_class_t classes[URGENCY_COUNT];
    uint64_t virtual_time; /* among the urgencies */
    item_t *by_id;
    uint32_t budget; /* in thousandths of a retry */
    rate_t starts;
    int64_t backlog_since_us; /* not empty since then */
    int64_t next_expiry_us;
};

admit_t *
admit_new(const admit_limits_t *limits)
{
    admit_t *admit = xcalloc(1, sizeof(*admit));
    size_t i;

    admit->limits = *limits;
    admit->budget = limits->retry_burst * PERMILLE;
    admit->next_expiry_us = INT64_MAX;
    for (i = 0; i < URGENCY_COUNT; i++) {
        TAILQ_INIT(&admit->classes[i].backlogged);
        TAILQ_INIT(&admit->classes[i].interrupted);
    }
    return admit;
}

static void
free_flows(urgency_class_t *class)
{
    flow_t *flow = class->flows;
    flow_t *next;

    HASH_CLEAR(hh, class->flows);
    for (; flow != NULL; flow = next) {
        next = flow->hh.next;
        free(flow->organisation);
        free(flow);
    }
}

void
admit_free(admit_t *admit)
{
    item_t *item;
    item_t *next;
    size_t i;

    if (admit == NULL) {
        return;
    }
    item = admit->by_id;
    HASH_CLEAR(hh, admit->by_id);
    for (; item != NULL; item = next) {
        next = item->hh.next;
        free(item);
    }
    for (i = 0; i < URGENCY_COUNT; i++) {
        free_flows(&admit->classes[i]);
    }
    free(admit);
}

static flow_t *
find_flow(const urgency_class_t *class, const char *organisation)
{
    flow_t *flow;

    HASH_FIND_STR(class->flows, organisation, flow);
    return flow;
}

/* Idle flows are kept: there is one per organisation and urgency. */
static flow_t *
add_flow(urgency_class_t *class, const admit_item_t *item)
{
    flow_t *flow = xcalloc(1, sizeof(*flow));

    flow->organisation = xstrdup(item->organisation);
    flow->urgency = item->urgency;
    flow->weight = item->weight;
    TAILQ_INIT(&flow->items);
    HASH_ADD_KEYPTR(hh, class->flows, flow->organisation,
                    strlen(flow->organisation), flow);
    return flow;
}

static uint64_t
max_u64(uint64_t a, uint64_t b)
{
    return a > b ? a : b;
}

/*
 * A flow or class that was idle starts at the current virtual time, so it
 * gains no credit for the time when it had nothing queued.
 */
static void
activate_flow(admit_t *admit, flow_t *flow)
{
    urgency_class_t *class = &admit->classes[flow->urgency];

    if (class->count == 0) {
        class->start_tag = max_u64(class->start_tag, admit->virtual_time);
    }
    flow->start_tag = max_u64(flow->start_tag, class->virtual_time);
    TAILQ_INSERT_TAIL(&class->backlogged, flow, link);
    class->weight_sum += flow->weight;
}

static void
add_item(admit_t *admit, flow_t *flow, const admit_item_t *request,
         int64_t now_us)
{
    urgency_class_t *class = &admit->classes[flow->urgency];
    item_t *item = xcalloc(1, sizeof(*item));

    item->id = request->id;
    item->flow = flow;
    item->cost = request->cost;
    item->interrupted = request->interrupted;
    item->expires_us = now_us + request->wait_max_us;
    if (flow->count == 0) {
        flow->weight = request->weight;
        flow->backlog_since_us = now_us;
        activate_flow(admit, flow);
    }
    if (admit->by_id == NULL) {
        admit->backlog_since_us = now_us;
    }
    if (item->interrupted) {
        TAILQ_INSERT_HEAD(&flow->items, item, link);
        TAILQ_INSERT_TAIL(&class->interrupted, item, interrupted_link);
    }
    else {
        TAILQ_INSERT_TAIL(&flow->items, item, link);
    }
    HASH_ADD(hh, admit->by_id, id, sizeof(item->id), item);
    flow->count++;
    class->count++;
    if (item->expires_us < admit->next_expiry_us) {
        admit->next_expiry_us = item->expires_us;
    }
}

static void
remove_item(admit_t *admit, item_t *item)
{
    flow_t *flow = item->flow;
    urgency_class_t *class = &admit->classes[flow->urgency];

    TAILQ_REMOVE(&flow->items, item, link);
    if (item->interrupted) {
        TAILQ_REMOVE(&class->interrupted, item, interrupted_link);
    }
    HASH_DEL(admit->by_id, item);
    free(item);
    class->count--;
    flow->count--;
    if (flow->count == 0) {
        TAILQ_REMOVE(&class->backlogged, flow, link);
        class->weight_sum -= flow->weight;
    }
}

/* Returns the share of the pool's starts that the item's flow will have. */
static uint64_t
share_permille(const admit_t *admit, const admit_item_t *item)
{
    const urgency_class_t *class = &admit->classes[item->urgency];
    const flow_t *flow = find_flow(class, item->organisation);
    uint64_t weight_sum = class->weight_sum;
    uint64_t urgency_weight_sum = urgency_weights[item->urgency];
    size_t i;

    if (flow == NULL || flow->count == 0) {
        weight_sum += item->weight;
    }
    for (i = 0; i < URGENCY_COUNT; i++) {
        if (i != item->urgency && admit->classes[i].count > 0) {
            urgency_weight_sum += urgency_weights[i];
        }
    }
    return (uint64_t)PERMILLE * item->weight * urgency_weights[item->urgency] /
           (weight_sum * urgency_weight_sum);
}

/*
 * Estimates the time for ahead starts at permille of the start rate since
 * since_us.
 */
static int64_t
estimate_wait_us(const rate_t *starts, int64_t now_us, int64_t since_us,
                 uint64_t ahead, uint64_t permille)
{
    int64_t observed_us = now_us - since_us;
    uint64_t count;

    if (observed_us < ESTIMATE_BACKLOG_MIN_US) {
        return 0;
    }
    if (observed_us > ESTIMATE_SPAN_MAX_US) {
        observed_us = ESTIMATE_SPAN_MAX_US;
    }
    count = rate_count(starts, now_us, observed_us);
    if (count == 0 || permille == 0) {
        return INT64_MAX;
    }
    return (int64_t)(ahead * (uint64_t)observed_us * PERMILLE /
                     (count * permille));
}

int64_t
admit_estimate_wait_us(const admit_t *admit, int64_t now_us,
                       const admit_item_t *item)
{
    const flow_t *flow =
        find_flow(&admit->classes[item->urgency], item->organisation);

    if (admit->by_id == NULL) {
        return 0;
    }
    if (flow != NULL && flow->count > 0 &&
        now_us - flow->backlog_since_us >= ESTIMATE_BACKLOG_MIN_US) {
        return estimate_wait_us(&flow->starts, now_us, flow->backlog_since_us,
                                flow->count + 1, PERMILLE);
    }
    return estimate_wait_us(&admit->starts, now_us, admit->backlog_since_us,
                            flow == NULL ? 1 : flow->count + 1,
                            share_permille(admit, item));
}

/* Returns the time until the wait is expected to be within its limit. */
static uint32_t
retry_after_ms(int64_t expected_us, int64_t wait_max_us)
{
    int64_t excess_ms = wait_max_us / US_PER_MS;

    if (expected_us != INT64_MAX) {
        excess_ms = (expected_us - wait_max_us) / US_PER_MS;
    }
    if (excess_ms < RETRY_AFTER_MIN_MS) {
        return RETRY_AFTER_MIN_MS;
    }
    return excess_ms > UINT32_MAX ? UINT32_MAX : (uint32_t)excess_ms;
}

uint32_t
admit_enqueue(admit_t *admit, int64_t now_us, const admit_item_t *item)
{
    urgency_class_t *class = &admit->classes[item->urgency];
    flow_t *flow = find_flow(class, item->organisation);
    int64_t expected_us = admit_estimate_wait_us(admit, now_us, item);
    bool full = HASH_COUNT(admit->by_id) >= admit->limits.waiting_max;

    if (!item->interrupted && (full || expected_us > item->wait_max_us)) {
        return retry_after_ms(expected_us, item->wait_max_us);
    }
    if (flow == NULL) {
        flow = add_flow(class, item);
    }
    add_item(admit, flow, item, now_us);
    return 0;
}

static const item_t *
first_interrupted(const admit_t *admit)
{
    const item_t *item;
    size_t i;

    for (i = 0; i < URGENCY_COUNT; i++) {
        item = TAILQ_FIRST(&admit->classes[i].interrupted);
        if (item != NULL) {
            return item;
        }
    }
    return NULL;
}

static const urgency_class_t *
next_class(const admit_t *admit)
{
    const urgency_class_t *lowest = NULL;
    size_t i;

    for (i = 0; i < URGENCY_COUNT; i++) {
        const urgency_class_t *class = &admit->classes[i];

        if (class->count > 0 &&
            (lowest == NULL || class->start_tag < lowest->start_tag)) {
            lowest = class;
        }
    }
    return lowest;
}

static const flow_t *
next_flow(const urgency_class_t *class)
{
    const flow_t *lowest = NULL;
    const flow_t *flow;

    TAILQ_FOREACH(flow, &class->backlogged, link)
    {
        if (lowest == NULL || flow->start_tag < lowest->start_tag) {
            lowest = flow;
        }
    }
    return lowest;
}

bool
admit_peek(const admit_t *admit, uint64_t *id)
{
    const item_t *item = NULL;
    const urgency_class_t *class;

    if (admit->budget >= PERMILLE) {
        item = first_interrupted(admit);
    }
    if (item == NULL) {
        class = next_class(admit);
        if (class == NULL) {
            return false;
        }
        item = TAILQ_FIRST(&next_flow(class)->items);
    }
    *id = item->id;
    return true;
}

static item_t *
find_item(const admit_t *admit, uint64_t id)
{
    item_t *item;

    HASH_FIND(hh, admit->by_id, &id, sizeof(id), item);
    return item;
}

static void
add_retry_budget(admit_t *admit)
{
    uint32_t budget_max = admit->limits.retry_burst * PERMILLE;

    admit->budget += admit->limits.retry_permille;
    if (admit->budget > budget_max) {
        admit->budget = budget_max;
    }
}

bool
admit_take_retry(admit_t *admit)
{
    if (admit->budget < PERMILLE) {
        return false;
    }
    admit->budget -= PERMILLE;
    return true;
}

void
admit_record_start(admit_t *admit, int64_t now_us, uint64_t id)
{
    item_t *item = find_item(admit, id);
    uint64_t cost;
    urgency_class_t *class;
    flow_t *flow;

    if (item == NULL) {
        return;
    }
    flow = item->flow;
    class = &admit->classes[flow->urgency];
    cost = (uint64_t)item->cost * VIRTUAL_TIME_SCALE;
    admit->virtual_time = max_u64(admit->virtual_time, class->start_tag);
    class->virtual_time = max_u64(class->virtual_time, flow->start_tag);
    class->start_tag += cost / urgency_weights[flow->urgency];
    flow->start_tag += cost / flow->weight;
    rate_add(&admit->starts, now_us);
    rate_add(&flow->starts, now_us);
    if (item->interrupted) {
        (void)admit_take_retry(admit);
    }
    else {
        add_retry_budget(admit);
    }
    remove_item(admit, item);
}

void
admit_remove(admit_t *admit, int64_t now_us, uint64_t id)
{
    item_t *item = find_item(admit, id);

    if (item != NULL) {
        remove_item(admit, item);
    }
}

bool
admit_pop_expired(admit_t *admit, int64_t now_us, uint64_t *id)
{
    item_t *item;
    item_t *next;
    int64_t next_expiry_us = INT64_MAX;

    if (now_us < admit->next_expiry_us) {
        return false;
    }
    HASH_ITER(hh, admit->by_id, item, next)
    {
        if (item->expires_us <= now_us) {
            *id = item->id;
            remove_item(admit, item);
            return true;
        }
        if (item->expires_us < next_expiry_us) {
            next_expiry_us = item->expires_us;
        }
    }
    admit->next_expiry_us = next_expiry_us;
    return false;
}

int64_t
admit_next_expiry_us(const admit_t *admit)
{
    return admit->next_expiry_us;
}

size_t
admit_waiting_count(const admit_t *admit)
{
    return HASH_COUNT(admit->by_id);
}
