/* claim_queue.c - batches claims into few writes; see claim_queue.h. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <uthash.h>

#include "policy/claim_queue.h"
#include "policy/claim_release.h"

enum { KEYS_MAX = 100, US_PER_S = 1000000, BACKOFF_SHIFT_MAX = 5 };

/* A request of this host and its claim. */
typedef struct entry {
    uint64_t id;
    char *key;
    claim_t claim;
    int64_t wait_deadline_us;
    TAILQ_ENTRY(entry) link; /* in waiting or batch */
    UT_hash_handle by_id;
    UT_hash_handle by_key;
} entry_t;
TAILQ_HEAD(entry_list, entry);

typedef struct completion {
    claim_completion_t completion;
    STAILQ_ENTRY(completion) link;
} queued_completion_t;
STAILQ_HEAD(completion_list, completion);

struct claim_queue {
    char *host;
    uint64_t incarnation;
    claim_limits_t limits;
    uint64_t batch_number; /* of the last batch */
    entry_t *by_id;
    entry_t *by_key;
    struct entry_list waiting; /* CLAIM_WAITING, oldest first */
    struct entry_list batch;   /* CLAIM_SENT, the outstanding batch */
    size_t waiting_count;
    size_t batch_count;
    int64_t resend_us;         /* when to resend the batch */
    uint32_t unanswered_sends; /* sets the resend interval */
    int64_t next_write_us;
    int64_t interval_us; /* between writes */
    int64_t due_us;
    bool last_was_release; /* to alternate with claims */
    claim_releases_t releases;
    struct completion_list completions;
};

static void add_completion(claim_queue_t *queue, const entry_t *entry,
                           claim_status_t status, const char *holder);
static void remove_entry(claim_queue_t *queue, entry_t *entry, bool release,
                         int64_t now_us);
static void update_due_time(claim_queue_t *queue);

static int64_t
min_i64(int64_t a, int64_t b)
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
    claim_releases_init(&queue->releases, limits->answer_timeout_us,
                        limits->lease_us);
    STAILQ_INIT(&queue->completions);
    return queue;
}

void
claim_queue_free(claim_queue_t *queue)
{
    entry_t *entry;
    entry_t *next;
    queued_completion_t *completion;

    if (queue == NULL) {
        return;
    }
    HASH_ITER(by_id, queue->by_id, entry, next)
    {
        remove_entry(queue, entry, false, 0);
    }
    claim_releases_clear(&queue->releases);
    while ((completion = STAILQ_FIRST(&queue->completions)) != NULL) {
        STAILQ_REMOVE_HEAD(&queue->completions, link);
        free(completion);
    }
    free(queue->host);
    free(queue);
}

static entry_t *
find_by_id(const claim_queue_t *queue, uint64_t id)
{
    entry_t *entry;

    HASH_FIND(by_id, queue->by_id, &id, sizeof(id), entry);
    return entry;
}

static entry_t *
find_by_key(const claim_queue_t *queue, const char *key)
{
    entry_t *entry;

    HASH_FIND(by_key, queue->by_key, key, strlen(key), entry);
    return entry;
}

bool
claim_queue_add(claim_queue_t *queue, uint64_t id, const char *key,
                int64_t wait_deadline_us)
{
    entry_t *entry;

    if (strlen(key) > LINK_NAME_MAX || find_by_id(queue, id) != NULL ||
        find_by_key(queue, key) != NULL) {
        return false;
    }
    entry = xcalloc(1, sizeof(*entry));
    entry->id = id;
    entry->key = xstrdup(key);
    entry->wait_deadline_us = wait_deadline_us;
    HASH_ADD(by_id, queue->by_id, id, sizeof(entry->id), entry);
    HASH_ADD_KEYPTR(by_key, queue->by_key, entry->key, strlen(entry->key),
                    entry);
    TAILQ_INSERT_TAIL(&queue->waiting, entry, link);
    queue->waiting_count++;
    update_due_time(queue);
    return true;
}

static void
add_completion(claim_queue_t *queue, const entry_t *entry,
               claim_status_t status, const char *holder)
{
    queued_completion_t *completion = xcalloc(1, sizeof(*completion));

    completion->completion.id = entry->id;
    completion->completion.status = status;
    completion->completion.start_deadline_us = entry->claim.start_deadline_us;
    (void)snprintf(completion->completion.holder,
                   sizeof(completion->completion.holder), "%s", holder);
    STAILQ_INSERT_TAIL(&queue->completions, completion, link);
}

bool
claim_queue_next_completion(claim_queue_t *queue,
                            claim_completion_t *completion)
{
    queued_completion_t *first = STAILQ_FIRST(&queue->completions);

    if (first == NULL) {
        return false;
    }
    *completion = first->completion;
    STAILQ_REMOVE_HEAD(&queue->completions, link);
    free(first);
    return true;
}

static char *
format_holder_id(const claim_queue_t *queue, arena_t *arena, uint64_t batch)
{
    return arena_printf(arena, "%s/%" PRIu64 "/%" PRIu64, queue->host,
                        queue->incarnation, batch);
}

static void
add_release(claim_queue_t *queue, const entry_t *entry, int64_t now_us)
{
    arena_t arena = {0};

    claim_releases_add(&queue->releases, entry->key,
                       format_holder_id(queue, &arena, entry->claim.batch),
                       now_us);
    arena_free(&arena);
}

static void
unlink_entry(claim_queue_t *queue, entry_t *entry)
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

/* The entry must be in the list of its claim's state, or in none. */
static void
remove_entry(claim_queue_t *queue, entry_t *entry, bool release,
             int64_t now_us)
{
    unlink_entry(queue, entry);
    if (claim_abandon(&entry->claim) && release) {
        add_release(queue, entry, now_us);
    }
    HASH_DELETE(by_id, queue->by_id, entry);
    HASH_DELETE(by_key, queue->by_key, entry);
    free(entry->key);
    free(entry);
}

static void
abandon_expired(claim_queue_t *queue, struct entry_list *list, int64_t now_us)
{
    entry_t *entry;
    entry_t *next;

    for (entry = TAILQ_FIRST(list); entry != NULL; entry = next) {
        next = TAILQ_NEXT(entry, link);
        if (now_us >= entry->wait_deadline_us) {
            add_completion(queue, entry, CLAIM_ABANDONED, "");
            remove_entry(queue, entry, true, now_us);
        }
    }
}

/* A key that is being released is not claimed until that is answered. */
static void
fill_batch(claim_queue_t *queue)
{
    entry_t *entry;
    entry_t *next;

    for (entry = TAILQ_FIRST(&queue->waiting);
         entry != NULL && queue->batch_count < queue->limits.batch_keys_max;
         entry = next) {
        next = TAILQ_NEXT(entry, link);
        if (claim_releases_contain(&queue->releases, entry->key)) {
            continue;
        }
        TAILQ_REMOVE(&queue->waiting, entry, link);
        queue->waiting_count--;
        TAILQ_INSERT_TAIL(&queue->batch, entry, link);
        queue->batch_count++;
    }
}

static bool
send_claims(claim_queue_t *queue, int64_t now_us, action_list_t *actions)
{
    claim_action_t *claim;
    entry_t *entry;
    u_int count = 0;

    if (queue->batch_count > 0 && now_us < queue->resend_us) {
        return false;
    }
    if (queue->batch_count == 0) {
        fill_batch(queue);
        if (queue->batch_count == 0) {
            return false;
        }
        queue->batch_number++;
        queue->unanswered_sends = 0;
    }
    claim = &actions_append(actions, ACTION_CLAIM)->action_t_u.claim;
    claim->batch = queue->batch_number;
    claim->claim_holder =
        format_holder_id(queue, &actions->arena, queue->batch_number);
    claim->keys.keys_val =
        arena_array(&actions->arena, queue->batch_count, sizeof(name_t));
    TAILQ_FOREACH(entry, &queue->batch, link)
    {
        claim_record_send(&entry->claim, queue->batch_number, now_us,
                          queue->limits.validity_us);
        claim->keys.keys_val[count++] =
            arena_strdup(&actions->arena, entry->key);
    }
    claim->keys.keys_len = count;
    queue->resend_us = now_us + queue->limits.answer_timeout_us;
    return true;
}

/* Alternates between claims and releases if both are due. */
static bool
send_next(claim_queue_t *queue, int64_t now_us, action_list_t *actions)
{
    if (queue->last_was_release && send_claims(queue, now_us, actions)) {
        queue->last_was_release = false;
        return true;
    }
    queue->last_was_release =
        claim_releases_send(&queue->releases, now_us, actions);
    return queue->last_was_release || send_claims(queue, now_us, actions);
}

void
claim_queue_step(claim_queue_t *queue, int64_t now_us, uint32_t live_hosts,
                 action_list_t *actions)
{
    int64_t hosts = live_hosts > 0 ? live_hosts : 1;

    if (now_us < queue->due_us) {
        return;
    }
    queue->interval_us = hosts * US_PER_S / queue->limits.fleet_writes_per_s;
    abandon_expired(queue, &queue->waiting, now_us);
    abandon_expired(queue, &queue->batch, now_us);
    claim_releases_expire(&queue->releases, now_us);
    if (now_us >= queue->next_write_us && send_next(queue, now_us, actions)) {
        queue->next_write_us = now_us + queue->interval_us;
    }
    update_due_time(queue);
}

static void
handle_outcome(claim_queue_t *queue, int64_t now_us, uint64_t batch,
               const char *holder_id, const claim_outcome_t *outcome)
{
    entry_t *entry = find_by_key(queue, outcome->key);
    bool is_holder = strcmp(outcome->holder, holder_id) == 0;

    if (entry == NULL || entry->claim.state != CLAIM_SENT ||
        entry->claim.batch != batch || outcome->result == CLAIM_UNKNOWN) {
        return;
    }
    unlink_entry(queue, entry);
    claim_handle_answer(&entry->claim, batch, outcome->result, is_holder,
                        now_us);
    if (entry->claim.state == CLAIM_CONFIRMED) {
        add_completion(queue, entry, CLAIM_GRANTED, "");
        return;
    }
    if (is_holder) {
        add_completion(queue, entry, CLAIM_ABANDONED, "");
    }
    else {
        add_completion(queue, entry, CLAIM_CONFLICT, outcome->holder);
    }
    /* An earlier send may still reach the store and create the key. */
    remove_entry(queue, entry, is_holder || entry->claim.send_count > 1,
                 now_us);
}

/* Schedules the resend of unanswered keys, with exponential backoff. */
static void
schedule_resend(claim_queue_t *queue, int64_t now_us)
{
    int64_t wait_us = queue->interval_us << queue->unanswered_sends;

    if (queue->unanswered_sends < BACKOFF_SHIFT_MAX) {
        queue->unanswered_sends++;
    }
    queue->resend_us =
        now_us + min_i64(wait_us, queue->limits.answer_timeout_us);
}

void
claim_queue_handle_answer(claim_queue_t *queue, int64_t now_us,
                          const claim_results_event_t *answer)
{
    const claim_outcome_t *outcomes = answer->outcomes.outcomes_val;
    arena_t arena = {0};
    const char *holder_id = format_holder_id(queue, &arena, answer->batch);
    u_int i;

    for (i = 0; i < answer->outcomes.outcomes_len; i++) {
        if (answer->batch == 0) {
            claim_releases_handle_answer(&queue->releases, &outcomes[i]);
        }
        else {
            handle_outcome(queue, now_us, answer->batch, holder_id,
                           &outcomes[i]);
        }
    }
    if (answer->batch == queue->batch_number && queue->batch_count > 0) {
        schedule_resend(queue, now_us);
    }
    update_due_time(queue);
    arena_free(&arena);
}

bool
claim_queue_try_start(claim_queue_t *queue, uint64_t id, int64_t now_us)
{
    entry_t *entry = find_by_id(queue, id);

    if (entry == NULL) {
        return false;
    }
    if (claim_try_start(&entry->claim, now_us)) {
        return true;
    }
    if (entry->claim.state == CLAIM_CONFIRMED) {
        remove_entry(queue, entry, true, now_us);
        update_due_time(queue);
    }
    return false;
}

void
claim_queue_revert_start(claim_queue_t *queue, uint64_t id)
{
    entry_t *entry = find_by_id(queue, id);

    if (entry != NULL) {
        claim_revert_start(&entry->claim);
    }
}

void
claim_queue_remove(claim_queue_t *queue, uint64_t id, int64_t now_us)
{
    entry_t *entry = find_by_id(queue, id);

    if (entry != NULL) {
        remove_entry(queue, entry, true, now_us);
        update_due_time(queue);
    }
}

static int64_t
first_deadline_us(const struct entry_list *list)
{
    const entry_t *entry;
    int64_t earliest_us = INT64_MAX;

    TAILQ_FOREACH(entry, list, link)
    {
        if (entry->wait_deadline_us < earliest_us) {
            earliest_us = entry->wait_deadline_us;
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
        if (!claim_releases_contain(&queue->releases, entry->key)) {
            return true;
        }
    }
    return false;
}

static void
update_due_time(claim_queue_t *queue)
{
    int64_t write_us = INT64_MAX;

    if (queue->batch_count > 0) {
        write_us = queue->resend_us;
    }
    else if (has_sendable(queue)) {
        write_us = queue->next_write_us;
    }
    write_us = min_i64(write_us, claim_releases_due_us(&queue->releases));
    if (write_us < queue->next_write_us) {
        write_us = queue->next_write_us;
    }
    queue->due_us = min_i64(write_us, first_deadline_us(&queue->waiting));
    queue->due_us = min_i64(queue->due_us, first_deadline_us(&queue->batch));
}

int64_t
claim_queue_due_us(const claim_queue_t *queue)
{
    return queue->due_us;
}

size_t
claim_queue_waiting_count(const claim_queue_t *queue)
{
    return queue->waiting_count + queue->batch_count;
}

size_t
claim_queue_release_count(const claim_queue_t *queue)
{
    return claim_releases_count(&queue->releases);
}
