/* store.c - keys, leases and changes in memory; see store.h. */
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "http/table.h"

#include "base/revision.h"
#include "kv/store.h"

enum { MS_PER_S = 1000 };

typedef struct entry {
    UT_hash_handle hh;
    kv_pair_t pair; /* owns key and value */
} entry_t;

typedef struct lease {
    UT_hash_handle hh;
    int64_t number;
    int64_t ttl_s;
    int64_t expires_at_ms;
} lease_t;

typedef struct change {
    TAILQ_ENTRY(change) link;
    kv_pair_t pair; /* owns key and value */
} change_t;

struct store_copy {
    arena_t arena;
    int64_t revision;
    int64_t last_lease;
    kv_pair_t *pairs;
    size_t pair_count;
    lease_t *leases;
    size_t lease_count;
};

struct store {
    int64_t revision;
    int64_t compacted; /* newest revision whose changes were dropped */
    int64_t last_lease;
    entry_t *entries;
    lease_t *leases;
    TAILQ_HEAD(, change) changes;
    size_t change_count;
    store_change_callback_t changed;
    void *context;
};

static void clear(store_t *store);
static entry_t *find_entry(const store_t *store, const char *key);
static void insert_entry(store_t *store, entry_t *entry);
static void insert_lease(store_t *store, lease_t *lease);
static lease_t *find_lease(const store_t *store, int64_t number);
static bool compare_holds(const store_t *store, const kv_swap_t *swap);
static bool swaps_are_valid(const store_t *store, const kv_swap_t *swaps,
                            size_t count, const kv_swap_result_t *answers);
static bool leases_exist(const store_t *store, const kv_swap_t *swap);
static bool has_duplicate_write(const kv_swap_t *swaps, size_t count);
static bool key_is_written_by_other_op(const kv_swap_t *swaps, size_t count,
                                       const kv_op_t *op);
static void put_key(store_t *store, const kv_op_t *op, int64_t revision);
static bool delete_key(store_t *store, const char *key, int64_t revision);
static void record_change(store_t *store, const kv_pair_t *pair);
static kv_pair_t pair_copy(arena_t *arena, const kv_pair_t *pair);
static kv_pair_t pair_duplicate(const kv_pair_t *pair);
static void pair_free(kv_pair_t *pair);
static int order_by_key(const void *left, const void *right);
static bool has_prefix(const char *key, const char *prefix);

store_t *
store_new(store_change_callback_t changed, void *context)
{
    store_t *store = xcalloc(1, sizeof(*store));

    store->revision = 1;
    store->changed = changed;
    store->context = context;
    TAILQ_INIT(&store->changes);
    return store;
}

void
store_free(store_t *store)
{
    clear(store);
    free(store);
}

store_copy_t *
store_copy_new(const store_t *store)
{
    store_copy_t *copy = xcalloc(1, sizeof(*copy));
    const lease_t *lease;

    copy->revision = store->revision;
    copy->last_lease = store->last_lease;
    copy->pairs =
        store_range(store, &copy->arena, "", true, &copy->pair_count);
    copy->leases = arena_array(&copy->arena, HASH_COUNT(store->leases),
                               sizeof(*copy->leases));
    for (lease = store->leases; lease != NULL; lease = lease->hh.next) {
        copy->leases[copy->lease_count] = *lease;
        copy->lease_count++;
    }
    return copy;
}

void
store_copy_free(store_copy_t *copy)
{
    arena_free(&copy->arena);
    free(copy);
}

void
store_restore(store_t *store, const store_copy_t *copy, int64_t now_ms)
{
    int64_t era = revision_era(store->revision) + 1;
    size_t i;

    clear(store);
    store->revision = revision_make(era, revision_number(copy->revision));
    store->compacted = store->revision;
    store->last_lease = copy->last_lease;
    for (i = 0; i < copy->pair_count; i++) {
        entry_t *entry = xcalloc(1, sizeof(*entry));

        entry->pair = pair_duplicate(&copy->pairs[i]);
        entry->pair.mod_revision =
            revision_make(era, revision_number(entry->pair.mod_revision));
        entry->pair.create_revision =
            revision_make(era, revision_number(entry->pair.create_revision));
        insert_entry(store, entry);
    }
    for (i = 0; i < copy->lease_count; i++) {
        lease_t *lease = xcalloc(1, sizeof(*lease));

        lease->number = copy->leases[i].number;
        lease->ttl_s = copy->leases[i].ttl_s;
        lease->expires_at_ms = now_ms + lease->ttl_s * MS_PER_S;
        insert_lease(store, lease);
    }
}

static void
clear(store_t *store)
{
    entry_t *entry = store->entries;
    lease_t *lease = store->leases;
    change_t *change = TAILQ_FIRST(&store->changes);

    HASH_CLEAR(hh, store->entries);
    HASH_CLEAR(hh, store->leases);
    TAILQ_INIT(&store->changes);
    store->change_count = 0;
    while (entry != NULL) {
        entry_t *next = entry->hh.next;

        pair_free(&entry->pair);
        free(entry);
        entry = next;
    }
    while (lease != NULL) {
        lease_t *next = lease->hh.next;

        free(lease);
        lease = next;
    }
    while (change != NULL) {
        change_t *next = TAILQ_NEXT(change, link);

        pair_free(&change->pair);
        free(change);
        change = next;
    }
}

int64_t
store_revision(const store_t *store)
{
    return store->revision;
}

kv_pair_t *
store_range(const store_t *store, arena_t *arena, const char *key, bool prefix,
            size_t *count)
{
    kv_pair_t *pairs =
        arena_array(arena, HASH_COUNT(store->entries), sizeof(*pairs));
    const entry_t *entry;

    *count = 0;
    if (!prefix) {
        entry = find_entry(store, key);
        if (entry != NULL) {
            pairs[(*count)++] = pair_copy(arena, &entry->pair);
        }
        return pairs;
    }
    for (entry = store->entries; entry != NULL; entry = entry->hh.next) {
        if (has_prefix(entry->pair.key, key)) {
            pairs[(*count)++] = pair_copy(arena, &entry->pair);
        }
    }
    qsort(pairs, *count, sizeof(*pairs), order_by_key);
    return pairs;
}

kv_result_t
store_swap(store_t *store, arena_t *arena, const kv_swap_t *swaps,
           size_t count, kv_swap_result_t *answers)
{
    int64_t revision = store->revision + 1;
    bool changed = false;
    size_t i;
    size_t j;

    for (i = 0; i < count; i++) {
        answers[i].succeeded = compare_holds(store, &swaps[i]);
    }
    if (!swaps_are_valid(store, swaps, count, answers)) {
        return KV_INVALID;
    }
    for (i = 0; i < count; i++) {
        const entry_t *held = find_entry(store, swaps[i].key);

        if (!answers[i].succeeded && held != NULL) {
            answers[i].held = pair_copy(arena, &held->pair);
        }
        else {
            answers[i].held = (kv_pair_t){.key = "", .value = ""};
        }
        for (j = 0; answers[i].succeeded && j < swaps[i].op_count; j++) {
            const kv_op_t *op = &swaps[i].ops[j];

            if (op->verb == KV_PUT) {
                put_key(store, op, revision);
                changed = true;
            }
            else if (op->verb == KV_DELETE) {
                changed |= delete_key(store, op->key, revision);
            }
        }
    }
    if (changed) {
        store->revision = revision;
    }
    return KV_OK;
}

int64_t
store_grant_lease(store_t *store, int64_t ttl_s, int64_t now_ms)
{
    lease_t *lease = xcalloc(1, sizeof(*lease));

    lease->number = ++store->last_lease;
    lease->ttl_s = ttl_s;
    lease->expires_at_ms = now_ms + ttl_s * MS_PER_S;
    insert_lease(store, lease);
    return lease->number;
}

int64_t
store_renew_lease(store_t *store, int64_t lease, int64_t now_ms)
{
    lease_t *lease_found;

    store_expire_leases(store, now_ms);
    lease_found = find_lease(store, lease);
    if (lease_found == NULL) {
        return 0;
    }
    lease_found->expires_at_ms = now_ms + lease_found->ttl_s * MS_PER_S;
    return lease_found->ttl_s;
}

bool
store_revoke_lease(store_t *store, int64_t lease)
{
    lease_t *lease_found = find_lease(store, lease);
    int64_t revision = store->revision + 1;
    entry_t *entry;
    entry_t *next;

    if (lease_found == NULL) {
        return false;
    }
    HASH_DEL(store->leases, lease_found);
    free(lease_found);
    HASH_ITER(hh, store->entries, entry, next)
    {
        if (entry->pair.lease == lease) {
            (void)delete_key(store, entry->pair.key, revision);
            store->revision = revision;
        }
    }
    return true;
}

void
store_expire_leases(store_t *store, int64_t now_ms)
{
    lease_t *lease;
    lease_t *next;

    HASH_ITER(hh, store->leases, lease, next)
    {
        if (lease->expires_at_ms <= now_ms) {
            (void)store_revoke_lease(store, lease->number);
        }
    }
}

bool
store_replay_changes(const store_t *store, const char *prefix,
                     int64_t start_revision, store_change_callback_t changed,
                     void *context, int64_t *compacted)
{
    const change_t *change;

    *compacted = store->compacted;
    if (start_revision > 0 && start_revision <= store->compacted) {
        return false;
    }
    TAILQ_FOREACH(change, &store->changes, link)
    {
        if (start_revision > 0 &&
            change->pair.mod_revision >= start_revision &&
            has_prefix(change->pair.key, prefix)) {
            changed(context, &change->pair);
        }
    }
    return true;
}

static entry_t *
find_entry(const store_t *store, const char *key)
{
    entry_t *entry;

    HASH_FIND(hh, store->entries, key, strlen(key), entry);
    return entry;
}

static void
insert_entry(store_t *store, entry_t *entry)
{
    HASH_ADD_KEYPTR(hh, store->entries, entry->pair.key,
                    strlen(entry->pair.key), entry);
}

static void
insert_lease(store_t *store, lease_t *lease)
{
    HASH_ADD(hh, store->leases, number, sizeof(lease->number), lease);
}

static lease_t *
find_lease(const store_t *store, int64_t number)
{
    lease_t *lease;

    HASH_FIND(hh, store->leases, &number, sizeof(number), lease);
    return lease;
}

static bool
compare_holds(const store_t *store, const kv_swap_t *swap)
{
    const entry_t *entry = find_entry(store, swap->key);

    if (swap->value == NULL) {
        return (entry != NULL ? entry->pair.mod_revision : 0) ==
               swap->mod_revision;
    }
    return entry != NULL && entry->pair.value_bytes == swap->value_bytes &&
           memcmp(entry->pair.value, swap->value, swap->value_bytes) == 0;
}

static bool
swaps_are_valid(const store_t *store, const kv_swap_t *swaps, size_t count,
                const kv_swap_result_t *answers)
{
    size_t i;

    if (count > STORE_SWAPS_MAX || has_duplicate_write(swaps, count)) {
        return false;
    }
    for (i = 0; i < count; i++) {
        if (answers[i].succeeded && !leases_exist(store, &swaps[i])) {
            return false;
        }
    }
    return true;
}

static bool
leases_exist(const store_t *store, const kv_swap_t *swap)
{
    size_t i;

    for (i = 0; i < swap->op_count; i++) {
        if (swap->ops[i].verb == KV_PUT && swap->ops[i].lease != 0 &&
            find_lease(store, swap->ops[i].lease) == NULL) {
            return false;
        }
    }
    return true;
}

/*
 * etcd rejects a call that writes a key twice, also if only one of the swaps
 * would succeed.
 */
static bool
has_duplicate_write(const kv_swap_t *swaps, size_t count)
{
    size_t i;
    size_t j;

    for (i = 0; i < count; i++) {
        for (j = 0; j < swaps[i].op_count; j++) {
            if (swaps[i].ops[j].verb == KV_PUT &&
                key_is_written_by_other_op(swaps, count, &swaps[i].ops[j])) {
                return true;
            }
        }
    }
    return false;
}

static bool
key_is_written_by_other_op(const kv_swap_t *swaps, size_t count,
                           const kv_op_t *op)
{
    size_t i;
    size_t j;

    for (i = 0; i < count; i++) {
        for (j = 0; j < swaps[i].op_count; j++) {
            const kv_op_t *other = &swaps[i].ops[j];

            if (other != op && other->verb != KV_GET &&
                strcmp(other->key, op->key) == 0) {
                return true;
            }
        }
    }
    return false;
}

static void
put_key(store_t *store, const kv_op_t *op, int64_t revision)
{
    entry_t *entry = find_entry(store, op->key);
    kv_pair_t pair = {
        .key = op->key,
        .value = op->value,
        .value_bytes = op->value_bytes,
        .mod_revision = revision,
        .create_revision = revision,
        .version = 1,
        .lease = op->lease,
    };

    if (entry == NULL) {
        entry = xcalloc(1, sizeof(*entry));
        entry->pair = pair_duplicate(&pair);
        insert_entry(store, entry);
    }
    else {
        kv_pair_t old = entry->pair;

        pair.create_revision = old.create_revision;
        pair.version = old.version + 1;
        entry->pair = pair_duplicate(&pair);
        HASH_DEL(store->entries, entry);
        insert_entry(store, entry);
        pair_free(&old);
    }
    record_change(store, &entry->pair);
}

static bool
delete_key(store_t *store, const char *key, int64_t revision)
{
    entry_t *entry = find_entry(store, key);
    kv_pair_t deleted;

    if (entry == NULL) {
        return false;
    }
    HASH_DEL(store->entries, entry);
    deleted = (kv_pair_t){
        .key = entry->pair.key,
        .value = "",
        .mod_revision = revision,
    };
    record_change(store, &deleted);
    pair_free(&entry->pair);
    free(entry);
    return true;
}

static void
record_change(store_t *store, const kv_pair_t *pair)
{
    change_t *change = xcalloc(1, sizeof(*change));

    change->pair = pair_duplicate(pair);
    TAILQ_INSERT_TAIL(&store->changes, change, link);
    store->change_count++;
    if (store->change_count > STORE_HISTORY_MAX) {
        change_t *oldest = TAILQ_FIRST(&store->changes);

        store->compacted = oldest->pair.mod_revision;
        TAILQ_REMOVE(&store->changes, oldest, link);
        store->change_count--;
        pair_free(&oldest->pair);
        free(oldest);
    }
    store->changed(store->context, pair);
}

static kv_pair_t
pair_copy(arena_t *arena, const kv_pair_t *pair)
{
    kv_pair_t copy = *pair;

    copy.key = arena_strdup(arena, pair->key);
    copy.value = arena_memdup(arena, pair->value, pair->value_bytes);
    return copy;
}

static kv_pair_t
pair_duplicate(const kv_pair_t *pair)
{
    kv_pair_t duplicate = *pair;
    char *value = xcalloc(pair->value_bytes + 1, 1);

    if (pair->value_bytes > 0) {
        memcpy(value, pair->value, pair->value_bytes);
    }
    duplicate.key = xstrdup(pair->key);
    duplicate.value = value;
    return duplicate;
}

static void
pair_free(kv_pair_t *pair)
{
    free((char *)pair->key);
    free((char *)pair->value);
}

static int
order_by_key(const void *left, const void *right)
{
    return strcmp(((const kv_pair_t *)left)->key,
                  ((const kv_pair_t *)right)->key);
}

static bool
has_prefix(const char *key, const char *prefix)
{
    return strncmp(key, prefix, strlen(prefix)) == 0;
}
