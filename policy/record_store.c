/* record_store.c - stores replicas of the session records of other hosts. */
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <bsd/sys/tree.h>

#include "base/arena.h"
#include "policy/record_store.h"
#include "policy/record_send.h"

typedef struct record_entry {
    record_t record; /* complete: its first is 0 */
    size_t token_capacity;
    size_t text_capacity;
    size_t boundary_capacity;
    size_t bytes; /* included in the store's counters */
    int64_t updated_us;
    bool ended; /* finished, failed or forgotten */
    RB_ENTRY(record_entry) tree_entry;
    TAILQ_ENTRY(record_entry) list_entry;
} record_entry_t;
RB_HEAD(record_tree, record_entry);
TAILQ_HEAD(record_list, record_entry);

struct record_store {
    size_t bytes_max;
    struct record_tree records; /* by request */
    struct record_list running; /* least recently updated first */
    struct record_list ended;
    record_store_counters_t counters;
};

static int entry_compare(const record_entry_t *left,
                         const record_entry_t *right);
static record_entry_t *find_entry(const record_store_t *store,
                                  const request_name_t *request);
static record_entry_t *add_entry(record_store_t *store,
                                 const request_name_t *request);
static void remove_entry(record_store_t *store, record_entry_t *entry);
static void update_entry(record_store_t *store, record_entry_t *entry,
                         int64_t now_us);
static void evict_entries(record_store_t *store);
static void expire_entries(record_store_t *store, struct record_list *list,
                           int64_t updated_before_us);
static void set_string(char **to, const char *from);
static void *reserve(void *items, size_t *capacity, size_t count, size_t size);
static bool is_consistent(const record_t *record, uint32_t base_text_bytes);
static bool find_boundary(const record_t *stored, uint32_t position,
                          u_int *boundary_count, uint32_t *text_bytes);
static bool fences(const record_t *stored, const record_t *record);
static bool is_ended(const record_t *record);
static void append_part(record_entry_t *entry, const record_t *record,
                        u_int boundary_count, uint32_t text_bytes);
static void set_header(record_entry_t *entry, const record_t *record);

RB_PROTOTYPE(record_tree, record_entry, tree_entry, entry_compare)
RB_GENERATE(record_tree, record_entry, tree_entry, entry_compare)

static int
entry_compare(const record_entry_t *left, const record_entry_t *right)
{
    const request_name_t *a = &left->record.request;
    const request_name_t *b = &right->record.request;
    int order = strcmp(a->key, b->key);

    return order != 0 ? order : strcmp(a->organisation, b->organisation);
}

record_store_t *
record_store_new(size_t bytes_max)
{
    record_store_t *store = xcalloc(1, sizeof(*store));

    store->bytes_max = bytes_max == 0 ? RECORD_STORE_BYTES_MAX : bytes_max;
    RB_INIT(&store->records);
    TAILQ_INIT(&store->running);
    TAILQ_INIT(&store->ended);
    return store;
}

void
record_store_free(record_store_t *store)
{
    record_entry_t *entry;

    while ((entry = RB_MIN(record_tree, &store->records)) != NULL) {
        remove_entry(store, entry);
    }
    free(store);
}

static record_entry_t *
find_entry(const record_store_t *store, const request_name_t *request)
{
    record_entry_t wanted;

    wanted.record.request = *request;
    return RB_FIND(record_tree, (struct record_tree *)&store->records,
                   &wanted);
}

const record_t *
record_store_find(const record_store_t *store, const request_name_t *request)
{
    const record_entry_t *entry = find_entry(store, request);

    return entry == NULL ? NULL : &entry->record;
}

static record_entry_t *
add_entry(record_store_t *store, const request_name_t *request)
{
    record_entry_t *entry = xcalloc(1, sizeof(*entry));
    record_t *stored = &entry->record;

    stored->request.organisation = xstrdup(request->organisation);
    stored->request.key = xstrdup(request->key);
    stored->owner = xstrdup("");
    stored->runner = xstrdup("");
    stored->stream_name = xstrdup("");
    RB_INSERT(record_tree, &store->records, entry);
    TAILQ_INSERT_TAIL(&store->running, entry, list_entry);
    store->counters.records++;
    return entry;
}

static void
remove_entry(record_store_t *store, record_entry_t *entry)
{
    RB_REMOVE(record_tree, &store->records, entry);
    TAILQ_REMOVE(entry->ended ? &store->ended : &store->running, entry,
                 list_entry);
    store->counters.records--;
    store->counters.bytes -= entry->bytes;
    xdr_free((xdrproc_t)xdr_record_t, (void *)&entry->record);
    free(entry);
}

static bool
is_ended(const record_t *record)
{
    return record->state != RECORD_RUNNING;
}

/*
 * Moves the entry to the tail of the list that fits its state, and updates
 * the size of the store.
 */
static void
update_entry(record_store_t *store, record_entry_t *entry, int64_t now_us)
{
    const record_t *stored = &entry->record;

    TAILQ_REMOVE(entry->ended ? &store->ended : &store->running, entry,
                 list_entry);
    entry->ended = is_ended(stored);
    TAILQ_INSERT_TAIL(entry->ended ? &store->ended : &store->running, entry,
                      list_entry);
    entry->updated_us = now_us;
    store->counters.bytes -= entry->bytes;
    entry->bytes = sizeof(*entry) + strlen(stored->request.organisation) +
                   strlen(stored->request.key) + strlen(stored->owner) +
                   strlen(stored->runner) + strlen(stored->stream_name) +
                   stored->prompt_ids.prompt_ids_len * sizeof(uint32_t) +
                   entry->token_capacity * sizeof(uint32_t) +
                   entry->text_capacity +
                   entry->boundary_capacity * sizeof(record_boundary_t);
    store->counters.bytes += entry->bytes;
}

static void
evict_entries(record_store_t *store)
{
    record_entry_t *entry;

    while (store->counters.bytes > store->bytes_max) {
        entry = TAILQ_FIRST(&store->ended);
        if (entry != NULL) {
            store->counters.evicted_finished++;
        }
        else {
            entry = TAILQ_FIRST(&store->running);
            store->counters.evicted_running++;
        }
        remove_entry(store, entry);
    }
}

static void
set_string(char **to, const char *from)
{
    if (strcmp(*to, from) != 0) {
        free(*to);
        *to = xstrdup(from);
    }
}

static void *
reserve(void *items, size_t *capacity, size_t count, size_t size)
{
    if (count <= *capacity) {
        return items;
    }
    *capacity = count + count / 4;
    return xrealloc(items, *capacity, size);
}

/*
 * Returns whether the tokens, boundaries and text of an update agree, if
 * base_text_bytes of text precede it.
 */
static bool
is_consistent(const record_t *record, uint32_t base_text_bytes)
{
    uint32_t position = record->first;
    uint32_t text_bytes = base_text_bytes;
    const record_boundary_t *boundary;
    u_int i;

    for (i = 0; i < record->boundary_list.boundary_list_len; i++) {
        boundary = &record->boundary_list.boundary_list_val[i];
        if (boundary->position <= position ||
            boundary->text_bytes < text_bytes) {
            return false;
        }
        position = boundary->position;
        text_bytes = boundary->text_bytes;
    }
    return position - record->first == record->token_ids.token_ids_len &&
           text_bytes - base_text_bytes == record->text.text_len;
}

/*
 * Finds the boundary at a token position.  Sets the number of boundaries
 * and of text bytes up to it; returns false if there is no such boundary.
 */
static bool
find_boundary(const record_t *stored, uint32_t position, u_int *boundary_count,
              uint32_t *text_bytes)
{
    u_int low = 0;
    u_int high = stored->boundary_list.boundary_list_len;
    u_int middle;

    *boundary_count = 0;
    *text_bytes = 0;
    if (position == 0) {
        return true;
    }
    while (low < high) {
        middle = low + (high - low) / 2;
        if (stored->boundary_list.boundary_list_val[middle].position <
            position) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    if (low == stored->boundary_list.boundary_list_len ||
        stored->boundary_list.boundary_list_val[low].position != position) {
        return false;
    }
    *boundary_count = low + 1;
    *text_bytes = stored->boundary_list.boundary_list_val[low].text_bytes;
    return true;
}

/*
 * Returns whether the stored record fences an update.  An update from the
 * stored owner itself is never fenced: the reply to its lookup may be late
 * or lost, so it may not know the epoch that it was granted.
 */
static bool
fences(const record_t *stored, const record_t *record)
{
    if (strcmp(stored->owner, record->owner) == 0) {
        return false;
    }
    if (stored->epoch != record->epoch) {
        return stored->epoch > record->epoch;
    }
    return strcmp(stored->owner, record->owner) > 0;
}

/*
 * Replaces everything after the given number of boundaries and text bytes of
 * the stored record by the contents of an update.
 */
static void
append_part(record_entry_t *entry, const record_t *record,
            u_int boundary_count, uint32_t text_bytes)
{
    record_t *stored = &entry->record;
    u_int token_count = record->first + record->token_ids.token_ids_len;
    u_int text_len = text_bytes + record->text.text_len;
    u_int boundary_total =
        boundary_count + record->boundary_list.boundary_list_len;

    stored->token_ids.token_ids_val =
        reserve(stored->token_ids.token_ids_val, &entry->token_capacity,
                token_count, sizeof(uint32_t));
    stored->text.text_val =
        reserve(stored->text.text_val, &entry->text_capacity, text_len, 1);
    stored->boundary_list.boundary_list_val = reserve(
        stored->boundary_list.boundary_list_val, &entry->boundary_capacity,
        boundary_total, sizeof(record_boundary_t));
    if (record->token_ids.token_ids_len > 0) {
        memcpy(stored->token_ids.token_ids_val + record->first,
               record->token_ids.token_ids_val,
               record->token_ids.token_ids_len * sizeof(uint32_t));
    }
    if (record->text.text_len > 0) {
        memcpy(stored->text.text_val + text_bytes, record->text.text_val,
               record->text.text_len);
    }
    if (record->boundary_list.boundary_list_len > 0) {
        memcpy(stored->boundary_list.boundary_list_val + boundary_count,
               record->boundary_list.boundary_list_val,
               record->boundary_list.boundary_list_len *
                   sizeof(record_boundary_t));
    }
    stored->token_ids.token_ids_len = token_count;
    stored->text.text_len = text_len;
    stored->boundary_list.boundary_list_len = boundary_total;
}

static void
set_header(record_entry_t *entry, const record_t *record)
{
    record_t *stored = &entry->record;
    u_int prompt_len = record->prompt_ids.prompt_ids_len;

    set_string(&stored->owner, record->owner);
    set_string(&stored->runner, record->runner);
    set_string(&stored->stream_name, record->stream_name);
    stored->fingerprint = record->fingerprint;
    stored->owner_incarnation = record->owner_incarnation;
    if (record->epoch > stored->epoch) {
        stored->epoch = record->epoch;
    }
    stored->state = record->state;
    stored->idempotent = record->idempotent;
    stored->stream_endpoint = record->stream_endpoint;
    stored->stream_first = record->stream_first;
    stored->base = record->base;
    stored->attempt = record->attempt;
    stored->finish = record->finish;
    if (prompt_len > 0) {
        stored->prompt_ids.prompt_ids_val = xrealloc(
            stored->prompt_ids.prompt_ids_val, prompt_len, sizeof(uint32_t));
        memcpy(stored->prompt_ids.prompt_ids_val,
               record->prompt_ids.prompt_ids_val,
               prompt_len * sizeof(uint32_t));
        stored->prompt_ids.prompt_ids_len = prompt_len;
    }
}

void
record_store_update(record_store_t *store, int64_t now_us, const char *from,
                    const record_t *record, action_list_t *actions)
{
    record_entry_t *entry = find_entry(store, &record->request);
    const record_t *stored = entry == NULL ? NULL : &entry->record;
    uint32_t text_bytes = 0;
    u_int boundary_count = 0;

    if (stored != NULL && fences(stored, record)) {
        store->counters.fenced++;
        record_send_superseded(from, stored, actions);
        return;
    }
    if (record->first > 0 &&
        (stored == NULL || !find_boundary(stored, record->first,
                                          &boundary_count, &text_bytes))) {
        store->counters.gaps++;
        record_send_gap(from, record,
                        stored == NULL ? 0 : stored->token_ids.token_ids_len,
                        actions);
        return;
    }
    if (!is_consistent(record, text_bytes)) {
        store->counters.malformed++;
        return;
    }
    if (entry == NULL) {
        entry = add_entry(store, &record->request);
    }
    append_part(entry, record, boundary_count, text_bytes);
    set_header(entry, record);
    store->counters.accepted++;
    if (record->state == RECORD_RUNNING) {
        record_send_ack(from, &entry->record, actions);
    }
    update_entry(store, entry, now_us);
    evict_entries(store);
}

void
record_store_lookup(record_store_t *store, int64_t now_us, const char *from,
                    const lookup_t *lookup, action_list_t *actions)
{
    record_entry_t *entry = find_entry(store, &lookup->request);
    record_t *stored;

    store->counters.lookups++;
    if (entry == NULL || entry->record.state == RECORD_DISCARDED) {
        record_send_found(from, lookup->query_id, NULL, actions);
        return;
    }
    stored = &entry->record;
    store->counters.found++;
    if (stored->state == RECORD_RUNNING && strcmp(stored->owner, from) != 0) {
        stored->epoch++;
        record_send_superseded(stored->owner, stored, actions);
        set_string(&stored->owner, from);
        stored->owner_incarnation = 0;
        store->counters.taken_over++;
        update_entry(store, entry, now_us);
    }
    record_send_found(from, lookup->query_id, stored, actions);
}

/* Removes the entries of a list that were last updated before a time. */
static void
expire_entries(record_store_t *store, struct record_list *list,
               int64_t updated_before_us)
{
    record_entry_t *entry;
    record_entry_t *next;

    for (entry = TAILQ_FIRST(list); entry != NULL; entry = next) {
        next = TAILQ_NEXT(entry, list_entry);
        if (entry->updated_us > updated_before_us) {
            return;
        }
        store->counters.expired++;
        remove_entry(store, entry);
    }
}

void
record_store_expire(record_store_t *store, int64_t now_us)
{
    expire_entries(store, &store->ended, now_us - RECORD_FINISHED_TTL_US);
    expire_entries(store, &store->running, now_us - RECORD_RUNNING_TTL_US);
}

int64_t
record_store_due_us(const record_store_t *store)
{
    const record_entry_t *ended = TAILQ_FIRST(&store->ended);
    const record_entry_t *running = TAILQ_FIRST(&store->running);
    int64_t due_us = INT64_MAX;

    if (ended != NULL) {
        due_us = ended->updated_us + RECORD_FINISHED_TTL_US;
    }
    if (running != NULL &&
        running->updated_us + RECORD_RUNNING_TTL_US < due_us) {
        due_us = running->updated_us + RECORD_RUNNING_TTL_US;
    }
    return due_us;
}

const record_store_counters_t *
record_store_counters(const record_store_t *store)
{
    return &store->counters;
}
