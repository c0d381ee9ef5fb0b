/* admit.c - see admit.h. */
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <uthash.h>

#include "base/arena.h"
#include "policy/admit.h"
#include "policy/rate.h"

/* How far back the starts of an organisation tell its wait. */
#define WATCHED_SPAN_US ((int64_t)8 * 1000000)

enum {
    TAG_SCALE = 1024,   /* of virtual time, for one of cost */
    PERMILLE = 1000,    /* tokens of the retry budget for one retry */
    LEARN_US = 1000000, /* of backlog before waits are estimated */
    COME_BACK_LEAST_MS = 100,
    US_PER_MS = 1000,
};

/* Of the urgencies, in the order of urgency_t. */
static const uint32_t urgency_weights[URGENCY_COUNT] = {64, 8, 1};

typedef struct flow flow_t;

typedef struct item {
    uint64_t id;
    flow_t *flow;
    uint32_t cost;
    bool interrupted;
    int64_t expires_us;
    TAILQ_ENTRY(item) link;      /* in its flow */
    TAILQ_ENTRY(item) interrupt; /* in the urgency's interrupted work */
    UT_hash_handle hh;
} item_t;
TAILQ_HEAD(item_list, item);

/* What waits of one organisation in one urgency. */
struct flow {
    char *organisation;
    urgency_t urgency;
    uint32_t weight;
    uint64_t start; /* virtual time of its next start */
    struct item_list items;
    size_t count;
    int64_t backlog_us; /* something of it waits since then */
    rate_t starts;
    TAILQ_ENTRY(flow) link; /* among those that wait */
    UT_hash_handle hh;
};
TAILQ_HEAD(flow_list, flow);

typedef struct {
    uint64_t start; /* virtual time of the urgency's next start */
    uint64_t now;   /* virtual time among its organisations */
    flow_t *flows;  /* by organisation */
    struct flow_list waiting;
    struct item_list interrupted;
    size_t count;
    uint64_t weights; /* of the flows that wait */
} class_t;

struct admit {
    admit_limits_t limits;
    class_t classes[URGENCY_COUNT];
    uint64_t now; /* virtual time among the urgencies */
    item_t *by_id;
    uint32_t budget; /* in PERMILLE of a retry */
    rate_t starts;
    int64_t backlog_us; /* something waits since then */
    int64_t due_us;
};

admit_t *
admit_new(const admit_limits_t *limits)
{
    admit_t *admit = xcalloc(1, sizeof(*admit));
    size_t i;

    admit->limits = *limits;
    admit->budget = limits->retry_burst * PERMILLE;
    admit->due_us = INT64_MAX;
    for (i = 0; i < URGENCY_COUNT; i++) {
        TAILQ_INIT(&admit->classes[i].waiting);
        TAILQ_INIT(&admit->classes[i].interrupted);
    }
    return admit;
}

static void
free_flows(class_t *class)
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
find_flow(const class_t *class, const char *organisation)
{
    flow_t *flow;

    HASH_FIND_STR(class->flows, organisation, flow);
    return flow;
}

/* Kept when idle: there are as many as organisations. */
static flow_t *
add_flow(class_t *class, const admit_item_t *item)
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
later_of(uint64_t a, uint64_t b)
{
    return a > b ? a : b;
}

/* What was idle starts from now: it saves up no claim to past time. */
static void
wake_flow(admit_t *admit, flow_t *flow)
{
    class_t *class = &admit->classes[flow->urgency];

    if (class->count == 0) {
        class->start = later_of(class->start, admit->now);
    }
    flow->start = later_of(flow->start, class->now);
    TAILQ_INSERT_TAIL(&class->waiting, flow, link);
    class->weights += flow->weight;
}

static void
add_item(admit_t *admit, flow_t *flow, const admit_item_t *wanted,
         int64_t now_us)
{
    class_t *class = &admit->classes[flow->urgency];
    item_t *item = xcalloc(1, sizeof(*item));

    item->id = wanted->id;
    item->flow = flow;
    item->cost = wanted->cost;
    item->interrupted = wanted->interrupted;
    item->expires_us = now_us + wanted->wait_max_us;
    if (flow->count == 0) {
        flow->weight = wanted->weight;
        flow->backlog_us = now_us;
        wake_flow(admit, flow);
    }
    if (admit->by_id == NULL) {
        admit->backlog_us = now_us;
    }
    if (item->interrupted) {
        TAILQ_INSERT_HEAD(&flow->items, item, link);
        TAILQ_INSERT_TAIL(&class->interrupted, item, interrupt);
    }
    else {
        TAILQ_INSERT_TAIL(&flow->items, item, link);
    }
    HASH_ADD(hh, admit->by_id, id, sizeof(item->id), item);
    flow->count++;
    class->count++;
    if (item->expires_us < admit->due_us) {
        admit->due_us = item->expires_us;
    }
}

static void
remove_item(admit_t *admit, item_t *item)
{
    flow_t *flow = item->flow;
    class_t *class = &admit->classes[flow->urgency];

    TAILQ_REMOVE(&flow->items, item, link);
    if (item->interrupted) {
        TAILQ_REMOVE(&class->interrupted, item, interrupt);
    }
    HASH_DEL(admit->by_id, item);
    free(item);
    class->count--;
    flow->count--;
    if (flow->count == 0) {
        TAILQ_REMOVE(&class->waiting, flow, link);
        class->weights -= flow->weight;
    }
}

/* The share of the pool's starts, in PERMILLE, that the item's flow has. */
static uint64_t
share_permille(const admit_t *admit, const admit_item_t *item)
{
    const class_t *class = &admit->classes[item->urgency];
    const flow_t *flow = find_flow(class, item->organisation);
    uint64_t weights = class->weights;
    uint64_t urgencies = urgency_weights[item->urgency];
    size_t i;

    if (flow == NULL || flow->count == 0) {
        weights += item->weight;
    }
    for (i = 0; i < URGENCY_COUNT; i++) {
        if (i != item->urgency && admit->classes[i].count > 0) {
            urgencies += urgency_weights[i];
        }
    }
    return (uint64_t)PERMILLE * item->weight * urgency_weights[item->urgency] /
           (weights * urgencies);
}

/* The wait behind ahead others at the rate of the starts so far. */
static int64_t
wait_us(const rate_t *starts, int64_t now_us, int64_t since_us, uint64_t ahead,
        uint64_t permille)
{
    int64_t watched_us = now_us - since_us;
    uint64_t count;

    if (watched_us < LEARN_US) {
        return 0;
    }
    if (watched_us > WATCHED_SPAN_US) {
        watched_us = WATCHED_SPAN_US;
    }
    count = rate_count(starts, now_us, watched_us);
    if (count == 0 || permille == 0) {
        return INT64_MAX;
    }
    return (int64_t)(ahead * (uint64_t)watched_us * PERMILLE /
                     (count * permille));
}

/* What has waited long enough tells best how fast it goes on. */
int64_t
admit_wait_us(const admit_t *admit, int64_t now_us, const admit_item_t *item)
{
    const flow_t *flow =
        find_flow(&admit->classes[item->urgency], item->organisation);

    if (admit->by_id == NULL) {
        return 0;
    }
    if (flow != NULL && flow->count > 0 &&
        now_us - flow->backlog_us >= LEARN_US) {
        return wait_us(&flow->starts, now_us, flow->backlog_us,
                       flow->count + 1, PERMILLE);
    }
    return wait_us(&admit->starts, now_us, admit->backlog_us,
                   flow == NULL ? 1 : flow->count + 1,
                   share_permille(admit, item));
}

/* When what is ahead has drained so far that the wait is within limits. */
static uint32_t
come_back_ms(int64_t expected_us, int64_t wait_max_us)
{
    int64_t over_ms = wait_max_us / US_PER_MS;

    if (expected_us != INT64_MAX) {
        over_ms = (expected_us - wait_max_us) / US_PER_MS;
    }
    if (over_ms < COME_BACK_LEAST_MS) {
        return COME_BACK_LEAST_MS;
    }
    return over_ms > UINT32_MAX ? UINT32_MAX : (uint32_t)over_ms;
}

uint32_t
admit_push(admit_t *admit, int64_t now_us, const admit_item_t *item)
{
    class_t *class = &admit->classes[item->urgency];
    flow_t *flow = find_flow(class, item->organisation);
    int64_t expected_us = admit_wait_us(admit, now_us, item);
    bool is_full = HASH_COUNT(admit->by_id) >= admit->limits.items_max;

    if (!item->interrupted && (is_full || expected_us > item->wait_max_us)) {
        return come_back_ms(expected_us, item->wait_max_us);
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

static const class_t *
next_class(const admit_t *admit)
{
    const class_t *best = NULL;
    size_t i;

    for (i = 0; i < URGENCY_COUNT; i++) {
        const class_t *class = &admit->classes[i];

        if (class->count > 0 && (best == NULL || class->start < best->start)) {
            best = class;
        }
    }
    return best;
}

static const flow_t *
next_flow(const class_t *class)
{
    const flow_t *best = NULL;
    const flow_t *flow;

    TAILQ_FOREACH(flow, &class->waiting, link)
    {
        if (best == NULL || flow->start < best->start) {
            best = flow;
        }
    }
    return best;
}

bool
admit_peek(const admit_t *admit, uint64_t *id)
{
    const item_t *item = NULL;
    const class_t *class;

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
earn(admit_t *admit)
{
    uint32_t most = admit->limits.retry_burst * PERMILLE;

    admit->budget += admit->limits.retry_permille;
    if (admit->budget > most) {
        admit->budget = most;
    }
}

bool
admit_retry(admit_t *admit)
{
    if (admit->budget < PERMILLE) {
        return false;
    }
    admit->budget -= PERMILLE;
    return true;
}

void
admit_started(admit_t *admit, int64_t now_us, uint64_t id)
{
    item_t *item = find_item(admit, id);
    uint64_t cost;
    class_t *class;
    flow_t *flow;

    if (item == NULL) {
        return;
    }
    flow = item->flow;
    class = &admit->classes[flow->urgency];
    cost = (uint64_t)item->cost * TAG_SCALE;
    admit->now = later_of(admit->now, class->start);
    class->now = later_of(class->now, flow->start);
    class->start += cost / urgency_weights[flow->urgency];
    flow->start += cost / flow->weight;
    rate_add(&admit->starts, now_us);
    rate_add(&flow->starts, now_us);
    if (item->interrupted) {
        (void)admit_retry(admit);
    }
    else {
        earn(admit);
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
admit_expire(admit_t *admit, int64_t now_us, uint64_t *id)
{
    item_t *item;
    item_t *next;
    int64_t due_us = INT64_MAX;

    if (now_us < admit->due_us) {
        return false;
    }
    HASH_ITER(hh, admit->by_id, item, next)
    {
        if (item->expires_us <= now_us) {
            *id = item->id;
            remove_item(admit, item);
            return true;
        }
        if (item->expires_us < due_us) {
            due_us = item->expires_us;
        }
    }
    admit->due_us = due_us;
    return false;
}

int64_t
admit_due_us(const admit_t *admit)
{
    return admit->due_us;
}

size_t
admit_waiting(const admit_t *admit)
{
    return HASH_COUNT(admit->by_id);
}
