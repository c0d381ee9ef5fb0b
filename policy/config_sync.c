/* config_sync.c - stores, pushes and compares configuration; see
 * config_sync.h. */
#include <stdlib.h>
#include <string.h>

#include <bsd/sys/tree.h>
#include <xxhash.h>

#include "base/random.h"
#include "policy/config_sync.h"

enum {
    CONFIG_SYNC_EMPTY_ROUND_US =
        200000, /* round interval while no key is held */
    WATCHER_HASH_SEED = 7,
};

typedef struct config_entry {
    config_t config;
    uint64_t hash;          /* of key and revision */
    uint32_t bucket;        /* index in hashes */
    uint64_t up_to_date_in; /* id of the last comparison in which the peer
                               had this revision or a higher one */
    RB_ENTRY(config_entry) entry;
} entry_t;
RB_HEAD(config_tree, config_entry);

struct config_sync {
    char host[LINK_NAME_MAX + 1];
    char zone[LINK_NAME_MAX + 1];
    uint64_t random_state;
    int64_t due_us;
    int64_t revision;
    uint64_t comparison_id;        /* of the latest comparison */
    uint64_t hashes[LINK_BUCKETS]; /* xor of the entry hashes of each bucket */
    struct config_tree entries;    /* by key */
    uint32_t entry_count;
    config_sync_counters_t counters;
};

static entry_t *find_entry(const config_sync_t *sync, const char *key);
static entry_t *first_entry(const config_sync_t *sync);
static void set_entry(config_sync_t *sync, const config_t *config);
static void append_config(const char *host, const config_t *config,
                          action_list_t *actions);
static config_digest_t *append_digest(const char *host,
                                      config_digest_kind_t kind,
                                      action_list_t *actions);
static void copy_hashes(const config_sync_t *sync, config_digest_t *digest,
                        action_list_t *actions);
static void add_revision(config_digest_t *digest, const char *key,
                         int64_t revision);
static bool bucket_differs(const config_sync_t *sync,
                           const config_digest_t *digest, uint32_t bucket);
static void reply_to_hashes(config_sync_t *sync, const char *from,
                            const config_digest_t *digest,
                            action_list_t *actions);
static void reply_to_revisions(config_sync_t *sync, const char *from,
                               const config_digest_t *digest,
                               action_list_t *actions);
static int compare_keys(const entry_t *left, const entry_t *right);

RB_PROTOTYPE(config_tree, config_entry, entry, compare_keys)

RB_GENERATE(config_tree, config_entry, entry, compare_keys)

static int
compare_keys(const entry_t *left, const entry_t *right)
{
    return strcmp(left->config.key, right->config.key);
}

config_sync_t *
config_sync_new(int64_t now_us, const start_event_t *start)
{
    config_sync_t *sync = xcalloc(1, sizeof(*sync));

    (void)strncpy(sync->host, start->host, LINK_NAME_MAX);
    (void)strncpy(sync->zone, start->zone, LINK_NAME_MAX);
    sync->random_state = start->seed;
    sync->due_us = now_us;
    RB_INIT(&sync->entries);
    return sync;
}

void
config_sync_free(config_sync_t *sync)
{
    entry_t *entry;
    entry_t *next;

    RB_FOREACH_SAFE(entry, config_tree, &sync->entries, next)
    {
        RB_REMOVE(config_tree, &sync->entries, entry);
        free(entry->config.key);
        free(entry->config.text.text_val);
        free(entry);
    }
    free(sync);
}

static entry_t *
find_entry(const config_sync_t *sync, const char *key)
{
    entry_t wanted;

    wanted.config.key = (char *)key;
    return RB_FIND(config_tree, (struct config_tree *)&sync->entries, &wanted);
}

static entry_t *
first_entry(const config_sync_t *sync)
{
    return RB_MIN(config_tree, (struct config_tree *)&sync->entries);
}

/* Stores a revision, which the caller has found to be higher. */
static void
set_entry(config_sync_t *sync, const config_t *config)
{
    entry_t *entry = find_entry(sync, config->key);
    size_t key_bytes = strlen(config->key);
    size_t text_bytes = config->deleted ? 0 : config->text.text_len;

    if (entry == NULL) {
        entry = xcalloc(1, sizeof(*entry));
        entry->config.key = xstrdup(config->key);
        entry->bucket =
            (uint32_t)(XXH3_64bits(config->key, key_bytes) % LINK_BUCKETS);
        RB_INSERT(config_tree, &sync->entries, entry);
        sync->entry_count++;
    }
    sync->hashes[entry->bucket] ^= entry->hash;
    entry->hash = XXH3_64bits_withSeed(config->key, key_bytes,
                                       (uint64_t)config->revision);
    sync->hashes[entry->bucket] ^= entry->hash;
    entry->config.revision = config->revision;
    entry->config.deleted = config->deleted;
    entry->config.text.text_val =
        xrealloc(entry->config.text.text_val, text_bytes + 1, 1);
    if (text_bytes > 0) {
        memcpy(entry->config.text.text_val, config->text.text_val, text_bytes);
    }
    entry->config.text.text_val[text_bytes] = '\0';
    entry->config.text.text_len = (u_int)text_bytes;
    if (config->revision > sync->revision) {
        sync->revision = config->revision;
    }
}

static void
append_config(const char *host, const config_t *config, action_list_t *actions)
{
    send_message_action_t *send =
        &actions_append(actions, ACTION_SEND_MESSAGE)->action_t_u.send_message;

    send->host = arena_strdup(&actions->arena, host);
    send->message.kind = MESSAGE_CONFIG;
    send->message.message_t_u.config = *config;
}

bool
config_sync_receive(config_sync_t *sync, int64_t now_us, const char *from,
                    const config_t *config, const membership_t *membership,
                    action_list_t *actions)
{
    const char *hosts[CONFIG_SYNC_PUSH_HOSTS];
    const entry_t *entry = find_entry(sync, config->key);
    size_t count;
    size_t i;

    if (entry != NULL && config->revision <= entry->config.revision) {
        sync->counters.ignored++;
        return false;
    }
    set_entry(sync, config);
    entry = find_entry(sync, config->key);
    sync->counters.applied++;
    count =
        member_successors(membership, now_us, hosts, CONFIG_SYNC_PUSH_HOSTS);
    for (i = 0; i < count; i++) {
        if (from == NULL || strcmp(hosts[i], from) != 0) {
            sync->counters.pushed++;
            append_config(hosts[i], &entry->config, actions);
        }
    }
    return true;
}

/* Appends an empty digest for the caller to fill in. */
static config_digest_t *
append_digest(const char *host, config_digest_kind_t kind,
              action_list_t *actions)
{
    send_message_action_t *send =
        &actions_append(actions, ACTION_SEND_MESSAGE)->action_t_u.send_message;
    config_digest_t *digest = &send->message.message_t_u.config_digest;

    send->host = arena_strdup(&actions->arena, host);
    send->message.kind = MESSAGE_CONFIG_DIGEST;
    digest->kind = kind;
    return digest;
}

static void
copy_hashes(const config_sync_t *sync, config_digest_t *digest,
            action_list_t *actions)
{
    digest->hashes.hashes_len = LINK_BUCKETS;
    digest->hashes.hashes_val =
        arena_memdup(&actions->arena, sync->hashes, sizeof(sync->hashes));
}

/* Drops revisions beyond LINK_ITEMS_MAX; the array has room for all others. */
static void
add_revision(config_digest_t *digest, const char *key, int64_t revision)
{
    config_revision_t *item;

    if (digest->revisions.revisions_len == LINK_ITEMS_MAX) {
        return;
    }
    item = &digest->revisions.revisions_val[digest->revisions.revisions_len];
    digest->revisions.revisions_len++;
    item->key = (char *)key;
    item->revision = revision;
}

static bool
bucket_differs(const config_sync_t *sync, const config_digest_t *digest,
               uint32_t bucket)
{
    return digest->hashes.hashes_val[bucket] != sync->hashes[bucket];
}

/* Step 2 of a comparison: replies with the revisions in unequal buckets. */
static void
reply_to_hashes(config_sync_t *sync, const char *from,
                const config_digest_t *digest, action_list_t *actions)
{
    uint32_t count = sync->entry_count;
    config_digest_t *reply;
    entry_t *entry;

    if (memcmp(digest->hashes.hashes_val, sync->hashes,
               sizeof(sync->hashes)) == 0) {
        return;
    }
    sync->counters.differences++;
    reply = append_digest(from, DIGEST_REVISIONS, actions);
    copy_hashes(sync, reply, actions);
    reply->revisions.revisions_val =
        arena_array(&actions->arena, count + 1, sizeof(config_revision_t));
    for (entry = first_entry(sync); entry != NULL;
         entry = RB_NEXT(config_tree, NULL, entry)) {
        if (bucket_differs(sync, digest, entry->bucket)) {
            add_revision(reply, entry->config.key, entry->config.revision);
        }
    }
}

/*
 * Step 3 of a comparison: sends the documents that the peer lacks and requests
 * those that this host lacks.  The peer does not have a key that is missing
 * from its list although the key's bucket differs.
 */
static void
reply_to_revisions(config_sync_t *sync, const char *from,
                   const config_digest_t *digest, action_list_t *actions)
{
    u_int count = digest->revisions.revisions_len;
    const config_revision_t *peer_revisions = digest->revisions.revisions_val;
    config_digest_t wanted = {.kind = DIGEST_REQUESTED};
    entry_t *entry;
    u_int i;

    sync->comparison_id++;
    wanted.revisions.revisions_val =
        arena_array(&actions->arena, count + 1, sizeof(config_revision_t));
    for (i = 0; i < count; i++) {
        entry = find_entry(sync, peer_revisions[i].key);
        if (entry == NULL ||
            entry->config.revision < peer_revisions[i].revision) {
            add_revision(&wanted,
                         arena_strdup(&actions->arena, peer_revisions[i].key),
                         peer_revisions[i].revision);
        }
        if (entry != NULL &&
            entry->config.revision <= peer_revisions[i].revision) {
            entry->up_to_date_in = sync->comparison_id;
        }
    }
    for (entry = first_entry(sync); entry != NULL;
         entry = RB_NEXT(config_tree, NULL, entry)) {
        if (bucket_differs(sync, digest, entry->bucket) &&
            entry->up_to_date_in != sync->comparison_id) {
            append_config(from, &entry->config, actions);
        }
    }
    if (wanted.revisions.revisions_len > 0) {
        *append_digest(from, DIGEST_REQUESTED, actions) = wanted;
    }
}

void
config_sync_receive_digest(config_sync_t *sync, int64_t now_us,
                           const char *from, const config_digest_t *digest,
                           action_list_t *actions)
{
    const entry_t *entry;
    u_int i;

    if (digest->kind == DIGEST_REQUESTED) {
        for (i = 0; i < digest->revisions.revisions_len; i++) {
            entry = find_entry(sync, digest->revisions.revisions_val[i].key);
            if (entry != NULL) {
                append_config(from, &entry->config, actions);
            }
        }
        return;
    }
    if (digest->hashes.hashes_len != LINK_BUCKETS) {
        return;
    }
    if (digest->kind == DIGEST_HASHES) {
        reply_to_hashes(sync, from, digest, actions);
    }
    else {
        reply_to_revisions(sync, from, digest, actions);
    }
}

void
config_sync_handle_timer(config_sync_t *sync, int64_t now_us,
                         const membership_t *membership,
                         action_list_t *actions)
{
    member_view_t *views;
    size_t candidate_count = 0;
    size_t count;
    size_t i;

    if (now_us < sync->due_us) {
        return;
    }
    sync->due_us =
        now_us + (sync->entry_count == 0 ? CONFIG_SYNC_EMPTY_ROUND_US
                                         : CONFIG_SYNC_ROUND_US);
    views = member_list(membership, now_us, &actions->arena, &count);
    for (i = 0; i < count; i++) {
        if (!views[i].self && views[i].state != MEMBER_DEAD) {
            views[candidate_count] = views[i];
            candidate_count++;
        }
    }
    if (candidate_count == 0) {
        return;
    }
    sync->counters.rounds++;
    i = random_next_from(&sync->random_state) % candidate_count;
    copy_hashes(sync, append_digest(views[i].host, DIGEST_HASHES, actions),
                actions);
}

int64_t
config_sync_due_us(const config_sync_t *sync)
{
    return sync->due_us;
}

/*
 * Rendezvous hashing over the live hosts of the own zone; every host ranks
 * itself.  While hosts disagree on which hosts are live there may be too many
 * watchers, or none; without one, changes arrive by anti-entropy.
 */
bool
config_sync_is_watcher(const config_sync_t *sync, int64_t now_us,
                       const membership_t *membership)
{
    uint64_t own_score = XXH3_64bits_withSeed(sync->host, strlen(sync->host),
                                              WATCHER_HASH_SEED);
    arena_t arena = {0};
    member_view_t *views;
    uint32_t higher_scores = 0;
    uint64_t score;
    size_t count;
    size_t i;

    views = member_list(membership, now_us, &arena, &count);
    for (i = 0; i < count; i++) {
        if (views[i].self || views[i].state != MEMBER_LIVE ||
            strcmp(views[i].zone, sync->zone) != 0) {
            continue;
        }
        score = XXH3_64bits_withSeed(views[i].host, strlen(views[i].host),
                                     WATCHER_HASH_SEED);
        higher_scores += score > own_score ? 1 : 0;
    }
    arena_free(&arena);
    return higher_scores < CONFIG_SYNC_WATCHERS ||
           member_live_count(membership, now_us) <= CONFIG_SYNC_WATCH_ALL_MAX;
}

int64_t
config_sync_revision(const config_sync_t *sync)
{
    return sync->revision;
}

uint64_t
config_sync_hash(const config_sync_t *sync)
{
    return XXH3_64bits(sync->hashes, sizeof(sync->hashes));
}

config_t *
config_sync_list(const config_sync_t *sync, arena_t *arena, size_t *count)
{
    size_t total = sync->entry_count;
    config_t *list = arena_array(arena, total + 1, sizeof(*list));
    entry_t *entry;

    *count = 0;
    for (entry = first_entry(sync); entry != NULL;
         entry = RB_NEXT(config_tree, NULL, entry)) {
        if (!entry->config.deleted) {
            list[*count] = entry->config;
            (*count)++;
        }
    }
    return list;
}

const config_t *
config_sync_find(const config_sync_t *sync, const char *key)
{
    const entry_t *entry = find_entry(sync, key);

    return entry == NULL ? NULL : &entry->config;
}

const config_sync_counters_t *
config_sync_counters(const config_sync_t *sync)
{
    return &sync->counters;
}
