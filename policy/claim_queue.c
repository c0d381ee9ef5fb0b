/* claim_queue.c - see claim_queue.h. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <uthash.h>

#include "policy/claim_queue.h"
#include "policy/claim_release.h"

enum { KEYS_MAX = 100, US_PER_S = 1000000, DOUBLINGS_MAX = 5 };

/* A request here that has, or wants, the claim of a key. */
typedef struct entry {
    uint64_t id;
    char *key;
    claim_t claim;
    int64_t give_up_us;
    TAILQ_ENTRY(entry) link; /* in waiting or batch */
    UT_hash_handle by_id;
    UT_hash_handle by_key;
} entry_t;
TAILQ_HEAD(entry_list, entry);

typedef struct verdict {
    claim_verdict_t verdict;
    STAILQ_ENTRY(verdict) link;
} verdict_t;
STAILQ_HEAD(verdict_list, verdict);

struct claim_queue {
    char *host;
    uint64_t incarnation;
    claim_limits_t limits;
    uint64_t number; /* of the newest batch */
    entry_t *by_id;
    entry_t *by_key;
    struct entry_list waiting; /* CLAIM_WAITING, oldest first */
    struct entry_list batch;   /* CLAIM_SENT, all of one number */
    size_t waiting_count;
    size_t batch_count;
    int64_t batch_until_us; /* the newest sending is awaited until then */
    uint32_t unanswered;    /* sendings of it without an answer */
    int64_t next_write_us;
    int64_t interval_us; /* between writes */
    int64_t due_us;
    bool released_last; /* claims and releases take turns */
    claim_releases_t releases;
    struct verdict_list verdicts;
};

static void reach(claim_queue_t *queue, const entry_t *entry,
                  claim_decision_t decision, const char *holder);
static void remove_entry(claim_queue_t *queue, entry_t *entry, bool release,
                         int64_t now_us);
static void set_due(claim_queue_t *queue);

static int64_t
lesser(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

claim_queue_t *
claim_queue_new(const char *host, uint64_t incarnation,
                const claim_limits_t *limits)
{
    claim_queue_t *queue = xcalloc(1, sizeof(*queue));

    queue->host = xstrdup(host);
    queue->incarnation = incarnation;
    queue->limits = *limits;
    queue->due_us = INT64_MAX;
    if (queue->limits.batch_keys_max > KEYS_MAX) {
        queue->limits.batch_keys_max = KEYS_MAX;
    }
    TAILQ_INIT(&queue->waiting);
    TAILQ_INIT(&queue->batch);
    claim_releases_init(&queue->releases, limits->answer_limit_us,
                        limits->lease_us);
    STAILQ_INIT(&queue->verdicts);
    return queue;
}

void
claim_queue_free(claim_queue_t *queue)
{
    entry_t *entry;
    entry_t *next;
    verdict_t *verdict;

    if (queue == NULL) {
        return;
    }
    HASH_ITER(by_id, queue->by_id, entry, next)
    {
        remove_entry(queue, entry, false, 0);
    }
    claim_releases_clear(&queue->releases);
    while ((verdict = STAILQ_FIRST(&queue->verdicts)) != NULL) {
        STAILQ_REMOVE_HEAD(&queue->verdicts, link);
        free(verdict);
    }
    free(queue->host);
    free(queue);
}

static entry_t *
find_id(const claim_queue_t *queue, uint64_t id)
{
    entry_t *entry;

    HASH_FIND(by_id, queue->by_id, &id, sizeof(id), entry);
    return entry;
}

static entry_t *
find_key(const claim_queue_t *queue, const char *key)
{
    entry_t *entry;

    HASH_FIND(by_key, queue->by_key, key, strlen(key), entry);
    return entry;
}

bool
claim_queue_push(claim_queue_t *queue, uint64_t id, const char *key,
                 int64_t give_up_us)
{
    entry_t *entry;

    if (strlen(key) > LINK_NAME_MAX || find_id(queue, id) != NULL ||
        find_key(queue, key) != NULL) {
        return false;
    }
    entry = xcalloc(1, sizeof(*entry));
    entry->id = id;
    entry->key = xstrdup(key);
    entry->give_up_us = give_up_us;
    HASH_ADD(by_id, queue->by_id, id, sizeof(entry->id), entry);
    HASH_ADD_KEYPTR(by_key, queue->by_key, entry->key, strlen(entry->key),
                    entry);
    TAILQ_INSERT_TAIL(&queue->waiting, entry, link);
    queue->waiting_count++;
    set_due(queue);
    return true;
}

static void
reach(claim_queue_t *queue, const entry_t *entry, claim_decision_t decision,
      const char *holder)
{
    verdict_t *verdict = xcalloc(1, sizeof(*verdict));

    verdict->verdict.id = entry->id;
    verdict->verdict.decision = decision;
    verdict->verdict.not_after_us = entry->claim.not_after_us;
    (void)snprintf(verdict->verdict.holder, sizeof(verdict->verdict.holder),
                   "%s", holder);
    STAILQ_INSERT_TAIL(&queue->verdicts, verdict, link);
}

bool
claim_queue_next(claim_queue_t *queue, claim_verdict_t *verdict)
{
    verdict_t *first = STAILQ_FIRST(&queue->verdicts);

    if (first == NULL) {
        return false;
    }
    *verdict = first->verdict;
    STAILQ_REMOVE_HEAD(&queue->verdicts, link);
    free(first);
    return true;
}

static char *
make_mark(const claim_queue_t *queue, arena_t *arena, uint64_t number)
{
    return arena_printf(arena, "%s/%" PRIu64 "/%" PRIu64, queue->host,
                        queue->incarnation, number);
}

static void
add_release(claim_queue_t *queue, const entry_t *entry, int64_t now_us)
{
    arena_t arena = {0};

    claim_releases_add(&queue->releases, entry->key,
                       make_mark(queue, &arena, entry->claim.number), now_us);
    arena_free(&arena);
}

static void
leave_list(claim_queue_t *queue, entry_t *entry)
{
    if (entry->claim.state == CLAIM_WAITING) {
        TAILQ_REMOVE(&queue->waiting, entry, link);
        queue->waiting_count--;
    }
    else if (entry->claim.state == CLAIM_SENT) {
        TAILQ_REMOVE(&queue->batch, entry, link);
        queue->batch_count--;
    }
}

/* The entry is on no list any more, or on that of its claim's state. */
static void
remove_entry(claim_queue_t *queue, entry_t *entry, bool release,
             int64_t now_us)
{
    leave_list(queue, entry);
    if (claim_give_up(&entry->claim) && release) {
        add_release(queue, entry, now_us);
    }
    HASH_DELETE(by_id, queue->by_id, entry);
    HASH_DELETE(by_key, queue->by_key, entry);
    free(entry->key);
    free(entry);
}

static void
give_up_late(claim_queue_t *queue, struct entry_list *list, int64_t now_us)
{
    entry_t *entry;
    entry_t *next;

    for (entry = TAILQ_FIRST(list); entry != NULL; entry = next) {
        next = TAILQ_NEXT(entry, link);
        if (now_us >= entry->give_up_us) {
            reach(queue, entry, CLAIM_GIVEN_UP, "");
            remove_entry(queue, entry, true, now_us);
        }
    }
}

/* A key whose former mark is being released waits for that to be over. */
static void
fill_batch(claim_queue_t *queue)
{
    entry_t *entry;
    entry_t *next;

    for (entry = TAILQ_FIRST(&queue->waiting);
         entry != NULL && queue->batch_count < queue->limits.batch_keys_max;
         entry = next) {
        next = TAILQ_NEXT(entry, link);
        if (claim_releases_has(&queue->releases, entry->key)) {
            continue;
        }
        TAILQ_REMOVE(&queue->waiting, entry, link);
        queue->waiting_count--;
        TAILQ_INSERT_TAIL(&queue->batch, entry, link);
        queue->batch_count++;
    }
}

static bool
send_claims(claim_queue_t *queue, int64_t now_us, order_list_t *orders)
{
    claim_order_t *claim;
    entry_t *entry;
    u_int count = 0;

    if (queue->batch_count > 0 && now_us < queue->batch_until_us) {
        return false;
    }
    if (queue->batch_count == 0) {
        fill_batch(queue);
        if (queue->batch_count == 0) {
            return false;
        }
        queue->number++;
        queue->unanswered = 0;
    }
    claim = &orders_add(orders, ORDER_CLAIM)->order_t_u.claim;
    claim->batch = queue->number;
    claim->mark = make_mark(queue, &orders->arena, queue->number);
    claim->keys.keys_val =
        arena_array(&orders->arena, queue->batch_count, sizeof(name_t));
    TAILQ_FOREACH(entry, &queue->batch, link)
    {
        claim_sent(&entry->claim, queue->number, now_us,
                   queue->limits.validity_us);
        claim->keys.keys_val[count++] =
            arena_strdup(&orders->arena, entry->key);
    }
    claim->keys.keys_len = count;
    queue->batch_until_us = now_us + queue->limits.answer_limit_us;
    return true;
}

/* Claims and releases take turns where both wait. */
static bool
send_one(claim_queue_t *queue, int64_t now_us, order_list_t *orders)
{
    if (queue->released_last && send_claims(queue, now_us, orders)) {
        queue->released_last = false;
        return true;
    }
    queue->released_last =
        claim_releases_send(&queue->releases, now_us, orders);
    return queue->released_last || send_claims(queue, now_us, orders);
}

void
claim_queue_step(claim_queue_t *queue, int64_t now_us, uint32_t live_hosts,
                 order_list_t *orders)
{
    int64_t hosts = live_hosts > 0 ? live_hosts : 1;

    if (now_us < queue->due_us) {
        return;
    }
    queue->interval_us = hosts * US_PER_S / queue->limits.fleet_writes_per_s;
    give_up_late(queue, &queue->waiting, now_us);
    give_up_late(queue, &queue->batch, now_us);
    claim_releases_expire(&queue->releases, now_us);
    if (now_us >= queue->next_write_us && send_one(queue, now_us, orders)) {
        queue->next_write_us = now_us + queue->interval_us;
    }
    set_due(queue);
}

static void
take_outcome(claim_queue_t *queue, int64_t now_us, uint64_t batch,
             const char *mark, const claim_outcome_t *outcome)
{
    entry_t *entry = find_key(queue, outcome->key);
    bool ours = strcmp(outcome->holder, mark) == 0;

    if (entry == NULL || entry->claim.state != CLAIM_SENT ||
        entry->claim.number != batch || outcome->result == CLAIM_UNKNOWN) {
        return;
    }
    leave_list(queue, entry);
    claim_answered(&entry->claim, batch, outcome->result, ours, now_us);
    if (entry->claim.state == CLAIM_STANDS) {
        reach(queue, entry, CLAIM_START, "");
        return;
    }
    if (ours) {
        reach(queue, entry, CLAIM_GIVEN_UP, "");
    }
    else {
        reach(queue, entry, CLAIM_ELSEWHERE, outcome->holder);
    }
    /* Another sending of it may still be on its way to the store. */
    remove_entry(queue, entry, ours || entry->claim.sendings > 1, now_us);
}

/*
 * What is left of the batch is unknown and is sent again, more and more
 * seldom while the store does not answer.
 */
static void
await_again(claim_queue_t *queue, int64_t now_us)
{
    int64_t wait_us = queue->interval_us << queue->unanswered;

    if (queue->unanswered < DOUBLINGS_MAX) {
        queue->unanswered++;
    }
    queue->batch_until_us =
        now_us + lesser(wait_us, queue->limits.answer_limit_us);
}

void
claim_queue_answer(claim_queue_t *queue, int64_t now_us,
                   const claimed_event_t *answer)
{
    const claim_outcome_t *outcomes = answer->outcomes.outcomes_val;
    arena_t arena = {0};
    const char *mark = make_mark(queue, &arena, answer->batch);
    u_int i;

    for (i = 0; i < answer->outcomes.outcomes_len; i++) {
        if (answer->batch == 0) {
            claim_releases_answer(&queue->releases, &outcomes[i]);
        }
        else {
            take_outcome(queue, now_us, answer->batch, mark, &outcomes[i]);
        }
    }
    if (answer->batch == queue->number && queue->batch_count > 0) {
        await_again(queue, now_us);
    }
    set_due(queue);
    arena_free(&arena);
}

bool
claim_queue_start(claim_queue_t *queue, uint64_t id, int64_t now_us)
{
    entry_t *entry = find_id(queue, id);

    if (entry == NULL) {
        return false;
    }
    if (claim_start(&entry->claim, now_us)) {
        return true;
    }
    if (entry->claim.state == CLAIM_STANDS) {
        remove_entry(queue, entry, true, now_us);
        set_due(queue);
    }
    return false;
}

void
claim_queue_not_run(claim_queue_t *queue, uint64_t id)
{
    entry_t *entry = find_id(queue, id);

    if (entry != NULL) {
        claim_not_run(&entry->claim);
    }
}

void
claim_queue_drop(claim_queue_t *queue, uint64_t id, int64_t now_us)
{
    entry_t *entry = find_id(queue, id);

    if (entry != NULL) {
        remove_entry(queue, entry, true, now_us);
        set_due(queue);
    }
}

static int64_t
earliest_give_up_us(const struct entry_list *list)
{
    const entry_t *entry;
    int64_t earliest_us = INT64_MAX;

    TAILQ_FOREACH(entry, list, link)
    {
        if (entry->give_up_us < earliest_us) {
            earliest_us = entry->give_up_us;
        }
    }
    return earliest_us;
}

static bool
has_sendable(const claim_queue_t *queue)
{
    const entry_t *entry;

    TAILQ_FOREACH(entry, &queue->waiting, link)
    {
        if (!claim_releases_has(&queue->releases, entry->key)) {
            return true;
        }
    }
    return false;
}

static void
set_due(claim_queue_t *queue)
{
    int64_t write_us = INT64_MAX;

    if (queue->batch_count > 0) {
        write_us = queue->batch_until_us;
    }
    else if (has_sendable(queue)) {
        write_us = queue->next_write_us;
    }
    write_us = lesser(write_us, claim_releases_due_us(&queue->releases));
    if (write_us < queue->next_write_us) {
        write_us = queue->next_write_us;
    }
    queue->due_us = lesser(write_us, earliest_give_up_us(&queue->waiting));
    queue->due_us = lesser(queue->due_us, earliest_give_up_us(&queue->batch));
}

int64_t
claim_queue_due_us(const claim_queue_t *queue)
{
    return queue->due_us;
}

size_t
claim_queue_waiting(const claim_queue_t *queue)
{
    return queue->waiting_count + queue->batch_count;
}

size_t
claim_queue_releases(const claim_queue_t *queue)
{
    return claim_releases_count(&queue->releases);
}
