/* spread.c - see spread.h. */
#include <stdlib.h>
#include <string.h>

#include <bsd/sys/tree.h>
#include <xxhash.h>

#include "base/random.h"
#include "policy/spread.h"

enum { SPREAD_HURRY_US = 200000, WATCH_SALT = 7 };

typedef struct config_entry {
    config_t config;
    uint64_t hash;    /* of key and revision */
    uint32_t group;   /* of keys, for comparisons */
    uint64_t settled; /* the comparison that found the other up to date */
    RB_ENTRY(config_entry) entry;
} entry_t;
RB_HEAD(config_tree, config_entry);

struct spread {
    char host[LINK_NAME_MAX + 1];
    char zone[LINK_NAME_MAX + 1];
    uint64_t random;
    int64_t due_us;
    int64_t revision;
    uint64_t comparison;           /* numbers them */
    uint64_t hashes[LINK_BUCKETS]; /* of each group: exclusive or */
    struct config_tree entries;    /* by key */
    uint32_t entry_count;
    spread_counters_t counters;
};

static entry_t *entry_find(const spread_t *spread, const char *key);
static entry_t *entry_first(const spread_t *spread);
static void entry_set(spread_t *spread, const config_t *config);
static void tell_config(const char *host, const config_t *config,
                        order_list_t *orders);
static config_digest_t *
tell_digest(const char *host, config_digest_kind_t kind, order_list_t *orders);
static void put_hashes(const spread_t *spread, config_digest_t *digest,
                       order_list_t *orders);
static void add_revision(config_digest_t *digest, const char *key,
                         int64_t revision);
static bool differs(const spread_t *spread, const config_digest_t *digest,
                    uint32_t group);
static void answer_hashes(spread_t *spread, const char *from,
                          const config_digest_t *digest, order_list_t *orders);
static void answer_revisions(spread_t *spread, const char *from,
                             const config_digest_t *digest,
                             order_list_t *orders);
static int compare(const entry_t *left, const entry_t *right);

RB_PROTOTYPE(config_tree, config_entry, entry, compare)

RB_GENERATE(config_tree, config_entry, entry, compare)

static int
compare(const entry_t *left, const entry_t *right)
{
    return strcmp(left->config.key, right->config.key);
}

spread_t *
spread_new(int64_t now_us, const start_event_t *start)
{
    spread_t *spread = xcalloc(1, sizeof(*spread));

    (void)strncpy(spread->host, start->host, LINK_NAME_MAX);
    (void)strncpy(spread->zone, start->zone, LINK_NAME_MAX);
    spread->random = start->seed;
    spread->due_us = now_us;
    RB_INIT(&spread->entries);
    return spread;
}

void
spread_free(spread_t *spread)
{
    entry_t *entry;
    entry_t *next;

    RB_FOREACH_SAFE(entry, config_tree, &spread->entries, next)
    {
        RB_REMOVE(config_tree, &spread->entries, entry);
        free(entry->config.key);
        free(entry->config.text.text_val);
        free(entry);
    }
    free(spread);
}

static entry_t *
entry_find(const spread_t *spread, const char *key)
{
    entry_t wanted;

    wanted.config.key = (char *)key;
    return RB_FIND(config_tree, (struct config_tree *)&spread->entries,
                   &wanted);
}

static entry_t *
entry_first(const spread_t *spread)
{
    return RB_MIN(config_tree, (struct config_tree *)&spread->entries);
}

/* Puts the key at its new revision; the caller has compared them. */
static void
entry_set(spread_t *spread, const config_t *config)
{
    entry_t *entry = entry_find(spread, config->key);
    size_t key_bytes = strlen(config->key);
    size_t text_bytes = config->deleted ? 0 : config->text.text_len;

    if (entry == NULL) {
        entry = xcalloc(1, sizeof(*entry));
        entry->config.key = xstrdup(config->key);
        entry->group =
            (uint32_t)(XXH3_64bits(config->key, key_bytes) % LINK_BUCKETS);
        RB_INSERT(config_tree, &spread->entries, entry);
        spread->entry_count++;
    }
    spread->hashes[entry->group] ^= entry->hash;
    entry->hash = XXH3_64bits_withSeed(config->key, key_bytes,
                                       (uint64_t)config->revision);
    spread->hashes[entry->group] ^= entry->hash;
    entry->config.revision = config->revision;
    entry->config.deleted = config->deleted;
    entry->config.text.text_val =
        xrealloc(entry->config.text.text_val, text_bytes + 1, 1);
    if (text_bytes > 0) {
        memcpy(entry->config.text.text_val, config->text.text_val, text_bytes);
    }
    entry->config.text.text_val[text_bytes] = '\0';
    entry->config.text.text_len = (u_int)text_bytes;
    if (config->revision > spread->revision) {
        spread->revision = config->revision;
    }
}

static void
tell_config(const char *host, const config_t *config, order_list_t *orders)
{
    tell_order_t *telling = &orders_add(orders, ORDER_TELL)->order_t_u.tell;

    telling->host = arena_strdup(&orders->arena, host);
    telling->message.kind = MESSAGE_CONFIG;
    telling->message.message_t_u.config = *config;
}

bool
spread_config(spread_t *spread, int64_t now_us, const char *from,
              const config_t *config, const member_t *member,
              order_list_t *orders)
{
    const char *hosts[SPREAD_PUSH_HOSTS];
    const entry_t *entry = entry_find(spread, config->key);
    size_t count;
    size_t i;

    if (entry != NULL && config->revision <= entry->config.revision) {
        spread->counters.older++;
        return false;
    }
    entry_set(spread, config);
    entry = entry_find(spread, config->key);
    spread->counters.taken++;
    count = member_neighbours(member, now_us, hosts, SPREAD_PUSH_HOSTS);
    for (i = 0; i < count; i++) {
        if (from == NULL || strcmp(hosts[i], from) != 0) {
            spread->counters.pushed++;
            tell_config(hosts[i], &entry->config, orders);
        }
    }
    return true;
}

/* The revisions of the digest have room for every key, within the limit. */
static config_digest_t *
tell_digest(const char *host, config_digest_kind_t kind, order_list_t *orders)
{
    tell_order_t *telling = &orders_add(orders, ORDER_TELL)->order_t_u.tell;
    config_digest_t *digest = &telling->message.message_t_u.config_digest;

    telling->host = arena_strdup(&orders->arena, host);
    telling->message.kind = MESSAGE_CONFIG_DIGEST;
    digest->kind = kind;
    return digest;
}

static void
put_hashes(const spread_t *spread, config_digest_t *digest,
           order_list_t *orders)
{
    digest->hashes.hashes_len = LINK_BUCKETS;
    digest->hashes.hashes_val =
        arena_memdup(&orders->arena, spread->hashes, sizeof(spread->hashes));
}

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
differs(const spread_t *spread, const config_digest_t *digest, uint32_t group)
{
    return digest->hashes.hashes_val[group] != spread->hashes[group];
}

/* Step two: the revisions held in the groups that differ. */
static void
answer_hashes(spread_t *spread, const char *from,
              const config_digest_t *digest, order_list_t *orders)
{
    uint32_t count = spread->entry_count;
    config_digest_t *answer;
    entry_t *entry;

    if (memcmp(digest->hashes.hashes_val, spread->hashes,
               sizeof(spread->hashes)) == 0) {
        return;
    }
    spread->counters.differences++;
    answer = tell_digest(from, DIGEST_REVISIONS, orders);
    put_hashes(spread, answer, orders);
    answer->revisions.revisions_val =
        arena_array(&orders->arena, count + 1, sizeof(config_revision_t));
    for (entry = entry_first(spread); entry != NULL;
         entry = RB_NEXT(config_tree, NULL, entry)) {
        if (differs(spread, digest, entry->group)) {
            add_revision(answer, entry->config.key, entry->config.revision);
        }
    }
}

/*
 * Step three: what the other lacks is sent, what this host lacks is asked
 * for.  A key that is not in the other's list, though its group is, is
 * unknown to the other.
 */
static void
answer_revisions(spread_t *spread, const char *from,
                 const config_digest_t *digest, order_list_t *orders)
{
    u_int count = digest->revisions.revisions_len;
    const config_revision_t *theirs = digest->revisions.revisions_val;
    config_digest_t wanted = {.kind = DIGEST_WANTED};
    entry_t *entry;
    u_int i;

    spread->comparison++;
    wanted.revisions.revisions_val =
        arena_array(&orders->arena, count + 1, sizeof(config_revision_t));
    for (i = 0; i < count; i++) {
        entry = entry_find(spread, theirs[i].key);
        if (entry == NULL || entry->config.revision < theirs[i].revision) {
            add_revision(&wanted, arena_strdup(&orders->arena, theirs[i].key),
                         theirs[i].revision);
        }
        if (entry != NULL && entry->config.revision <= theirs[i].revision) {
            entry->settled = spread->comparison;
        }
    }
    for (entry = entry_first(spread); entry != NULL;
         entry = RB_NEXT(config_tree, NULL, entry)) {
        if (differs(spread, digest, entry->group) &&
            entry->settled != spread->comparison) {
            tell_config(from, &entry->config, orders);
        }
    }
    if (wanted.revisions.revisions_len > 0) {
        *tell_digest(from, DIGEST_WANTED, orders) = wanted;
    }
}

void
spread_digest(spread_t *spread, int64_t now_us, const char *from,
              const config_digest_t *digest, order_list_t *orders)
{
    const entry_t *entry;
    u_int i;

    if (digest->kind == DIGEST_WANTED) {
        for (i = 0; i < digest->revisions.revisions_len; i++) {
            entry = entry_find(spread, digest->revisions.revisions_val[i].key);
            if (entry != NULL) {
                tell_config(from, &entry->config, orders);
            }
        }
        return;
    }
    if (digest->hashes.hashes_len != LINK_BUCKETS) {
        return;
    }
    if (digest->kind == DIGEST_HASHES) {
        answer_hashes(spread, from, digest, orders);
    }
    else {
        answer_revisions(spread, from, digest, orders);
    }
}

void
spread_timer(spread_t *spread, int64_t now_us, const member_t *member,
             order_list_t *orders)
{
    member_view_t *views;
    size_t others = 0;
    size_t count;
    size_t i;

    if (now_us < spread->due_us) {
        return;
    }
    spread->due_us = now_us + (spread->entry_count == 0 ? SPREAD_HURRY_US
                                                        : SPREAD_ROUND_US);
    views = member_list(member, now_us, &orders->arena, &count);
    for (i = 0; i < count; i++) {
        if (!views[i].self && views[i].state != MEMBER_DEAD) {
            views[others] = views[i];
            others++;
        }
    }
    if (others == 0) {
        return;
    }
    spread->counters.rounds++;
    i = random_next(&spread->random) % others;
    put_hashes(spread, tell_digest(views[i].host, DIGEST_HASHES, orders),
               orders);
}

int64_t
spread_due_us(const spread_t *spread)
{
    return spread->due_us;
}

/*
 * Rendezvous hashing over the live hosts of the own zone: every host ranks
 * itself, and hosts that see different sets only watch in too great a
 * number or leave it to anti-entropy for a while.
 */
bool
spread_watches(const spread_t *spread, int64_t now_us, const member_t *member)
{
    uint64_t own =
        XXH3_64bits_withSeed(spread->host, strlen(spread->host), WATCH_SALT);
    arena_t arena = {0};
    member_view_t *views;
    uint32_t above = 0;
    uint64_t score;
    size_t count;
    size_t i;

    views = member_list(member, now_us, &arena, &count);
    for (i = 0; i < count; i++) {
        if (views[i].self || views[i].state != MEMBER_LIVE ||
            strcmp(views[i].zone, spread->zone) != 0) {
            continue;
        }
        score = XXH3_64bits_withSeed(views[i].host, strlen(views[i].host),
                                     WATCH_SALT);
        above += score > own ? 1 : 0;
    }
    arena_free(&arena);
    return above < SPREAD_WATCHERS ||
           member_live_count(member, now_us) <= SPREAD_WATCH_ALL_MAX;
}

int64_t
spread_revision(const spread_t *spread)
{
    return spread->revision;
}

uint64_t
spread_hash(const spread_t *spread)
{
    return XXH3_64bits(spread->hashes, sizeof(spread->hashes));
}

config_t *
spread_list(const spread_t *spread, arena_t *arena, size_t *count)
{
    size_t total = spread->entry_count;
    config_t *list = arena_array(arena, total + 1, sizeof(*list));
    entry_t *entry;

    *count = 0;
    for (entry = entry_first(spread); entry != NULL;
         entry = RB_NEXT(config_tree, NULL, entry)) {
        if (!entry->config.deleted) {
            list[*count] = entry->config;
            (*count)++;
        }
    }
    return list;
}

const config_t *
spread_find(const spread_t *spread, const char *key)
{
    const entry_t *entry = entry_find(spread, key);

    return entry == NULL ? NULL : &entry->config;
}

const spread_counters_t *
spread_counters(const spread_t *spread)
{
    return &spread->counters;
}
