/* documents.c - the operators' configuration and the host list. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "agated/agated.h"
#include "base/log.h"

enum { AREA_COUNT = 4, FIELD_BYTES = 128, DECIMAL = 10 };

/* Of a host that does not watch. */
enum { SETTLE_MS = 300, REST_MS = 2000, RESTS_BETWEEN_READS = 30 };

typedef enum { AREA_CONFIG, AREA_HOSTS, AREA_LEAVING } area_kind_t;

/* A key as last seen. */
typedef struct {
    char *key;
    char *value; /* kept for hosts only */
    int64_t revision;
    bool seen; /* in the range that is being read */
    UT_hash_handle hh;
} entry_t;

/* One part of the key space: read whole, then watched. */
typedef struct {
    documents_t *documents;
    const char *prefix;
    bool whole_prefix; /* false: the one key */
    area_kind_t kind;
    entry_t *entries;
    backoff_t backoff;
    uv_timer_t *timer;
    bool read;      /* whole, at least once */
    bool settled;   /* the other hosts are known by now */
    uint32_t rests; /* until it is read again without a watch */
} area_t;

struct documents {
    daemon_t *daemon;
    area_t areas[AREA_COUNT];
    bool ready; /* EVENT_CONFIG_READ has been raised */
};

static void area_init(documents_t *documents, size_t index, const char *prefix,
                      bool whole_prefix, area_kind_t kind);
static void area_read(area_t *area);
static void on_retry(uv_timer_t *timer);
static void on_range(void *context, kv_result_t result, int64_t revision,
                     const kv_pair_t *pairs, size_t count);
static void on_watch(void *context, kv_result_t result, int64_t revision,
                     const kv_pair_t *pairs, size_t count);
static void retry_later(area_t *area, const char *what);
static void take_pair(area_t *area, const kv_pair_t *pair);
static void drop_unseen(area_t *area, int64_t revision);
static void entry_free(area_t *area, entry_t *entry);
static void raise_config(documents_t *documents, const char *key,
                         int64_t revision, bool deleted, const char *text,
                         size_t length);
static bool is_watcher(const area_t *area);
static void on_rest(uv_timer_t *timer);
static void raise_ready(documents_t *documents);
static void raise_hosts(documents_t *documents);
static bool is_leaving(const area_t *leaving, const char *name);
static void read_host(arena_t *arena, const area_t *hosts,
                      const entry_t *entry, host_entry_t *host);
static char *read_word(arena_t *arena, const char *value, const char *name);

documents_t *
documents_new(daemon_t *daemon)
{
    documents_t *documents = xcalloc(1, sizeof(*documents));
    size_t i;

    documents->daemon = daemon;
    area_init(documents, 0, "/agatevale/fleet", false, AREA_CONFIG);
    area_init(documents, 1, "/agatevale/services/", true, AREA_CONFIG);
    area_init(documents, 2, "/agatevale/hosts/", true, AREA_HOSTS);
    area_init(documents, 3, "/agatevale/leaving/", true, AREA_LEAVING);
    for (i = 0; i < AREA_COUNT; i++) {
        area_read(&documents->areas[i]);
    }
    return documents;
}

/* The platform must have been freed: it calls back no more. */
void
documents_free(documents_t *documents)
{
    entry_t *entry;
    entry_t *next;
    size_t i;

    if (documents == NULL) {
        return;
    }
    for (i = 0; i < AREA_COUNT; i++) {
        area_t *area = &documents->areas[i];

        HASH_ITER(hh, area->entries, entry, next)
        {
            entry_free(area, entry);
        }
        uv_close((uv_handle_t *)area->timer, (uv_close_cb)free);
    }
    free(documents);
}

static void
area_init(documents_t *documents, size_t index, const char *prefix,
          bool whole_prefix, area_kind_t kind)
{
    area_t *area = &documents->areas[index];

    area->documents = documents;
    area->prefix = prefix;
    area->whole_prefix = whole_prefix;
    area->kind = kind;
    area->timer = xcalloc(1, sizeof(*area->timer));
    (void)uv_timer_init(documents->daemon->loop, area->timer);
    area->timer->data = area;
}

static void
area_read(area_t *area)
{
    kv_t *platform = area->documents->daemon->platform;

    platform->ops->range(platform, area->prefix, area->whole_prefix, on_range,
                         area);
}

static void
on_retry(uv_timer_t *timer)
{
    area_read(timer->data);
}

static void
on_range(void *context, kv_result_t result, int64_t revision,
         const kv_pair_t *pairs, size_t count)
{
    area_t *area = context;
    kv_t *platform = area->documents->daemon->platform;
    entry_t *entry;
    entry_t *next;
    size_t i;

    if (result != KV_OK) {
        retry_later(area, "read");
        return;
    }
    HASH_ITER(hh, area->entries, entry, next)
    {
        entry->seen = false;
    }
    for (i = 0; i < count; i++) {
        take_pair(area, &pairs[i]);
    }
    drop_unseen(area, revision);
    if (area->kind != AREA_CONFIG) {
        raise_hosts(area->documents);
    }
    area->read = true;
    raise_ready(area->documents);
    if (is_watcher(area)) {
        platform->ops->watch(platform, area->prefix, revision + 1, on_watch,
                             area);
        return;
    }
    area->rests = RESTS_BETWEEN_READS;
    (void)uv_timer_start(area->timer, on_rest,
                         area->settled ? REST_MS : SETTLE_MS, 0);
}

/*
 * A few hosts watch the documents and the host list for all.  The list of
 * those that leave has to be in force within 2 s, so every host watches it.
 * A host that has just started does not know yet who the others are.
 */
static bool
is_watcher(const area_t *area)
{
    const daemon_t *daemon = area->documents->daemon;

    return area->kind == AREA_LEAVING ||
           (area->settled &&
            node_is_store_watcher(dispatch_node(daemon->dispatch),
                                  dispatch_now_us()));
}

/* Reads again when this host has become a watcher, and now and then. */
static void
on_rest(uv_timer_t *timer)
{
    area_t *area = timer->data;

    area->settled = true;
    if (area->rests == 0 || is_watcher(area)) {
        area_read(area);
        return;
    }
    area->rests--;
    (void)uv_timer_start(area->timer, on_rest, REST_MS, 0);
}

/* Once all parts of the configuration have been read. */
static void
raise_ready(documents_t *documents)
{
    event_t event = {.kind = EVENT_CONFIG_READ};
    size_t i;

    for (i = 0; i < AREA_COUNT; i++) {
        if (!documents->areas[i].read) {
            return;
        }
    }
    if (!documents->ready) {
        documents->ready = true;
        dispatch_event(documents->daemon->dispatch, &event);
    }
}

static void
on_watch(void *context, kv_result_t result, int64_t revision,
         const kv_pair_t *pairs, size_t count)
{
    area_t *area = context;
    size_t i;

    if (result != KV_OK) {
        retry_later(area, "watch");
        return;
    }
    backoff_reset(&area->backoff);
    for (i = 0; i < count; i++) {
        take_pair(area, &pairs[i]);
    }
    if (area->kind != AREA_CONFIG && count > 0) {
        raise_hosts(area->documents);
    }
}

/* The whole range is read again, so that no change in between is missed. */
static void
retry_later(area_t *area, const char *what)
{
    uint32_t wait_ms = backoff_next_ms(&area->backoff);

    log_line(LOG_WARNING, "platform lost call=%s prefix=%s retry_ms=%" PRIu32,
             what, area->prefix, wait_ms);
    (void)uv_timer_start(area->timer, on_retry, wait_ms, 0);
}

static void
take_pair(area_t *area, const kv_pair_t *pair)
{
    bool deleted = pair->create_revision == 0;
    entry_t *entry;

    if (!area->whole_prefix && strcmp(pair->key, area->prefix) != 0) {
        return;
    }
    HASH_FIND_STR(area->entries, pair->key, entry);
    if (entry != NULL) {
        entry->seen = true;
    }
    if (entry != NULL && entry->revision >= pair->mod_revision) {
        return;
    }
    if (area->kind == AREA_CONFIG) {
        raise_config(area->documents, pair->key, pair->mod_revision, deleted,
                     pair->value, pair->value_bytes);
    }
    if (entry != NULL) {
        entry_free(area, entry);
    }
    if (deleted) {
        return;
    }
    entry = xcalloc(1, sizeof(*entry));
    entry->key = xstrdup(pair->key);
    entry->revision = pair->mod_revision;
    entry->seen = true;
    if (area->kind == AREA_HOSTS) {
        entry->value = xcalloc(1, pair->value_bytes + 1);
        memcpy(entry->value, pair->value, pair->value_bytes);
    }
    HASH_ADD_KEYPTR(hh, area->entries, entry->key, strlen(entry->key), entry);
}

/* Keys that vanished while nobody watched. */
static void
drop_unseen(area_t *area, int64_t revision)
{
    entry_t *entry;
    entry_t *next;

    HASH_ITER(hh, area->entries, entry, next)
    {
        if (entry->seen) {
            continue;
        }
        if (area->kind == AREA_CONFIG) {
            raise_config(area->documents, entry->key, revision, true, NULL, 0);
        }
        entry_free(area, entry);
    }
}

static void
entry_free(area_t *area, entry_t *entry)
{
    HASH_DEL(area->entries, entry);
    free(entry->key);
    free(entry->value);
    free(entry);
}

static void
raise_config(documents_t *documents, const char *key, int64_t revision,
             bool deleted, const char *text, size_t length)
{
    event_t event = {.kind = EVENT_CONFIG};
    config_t *config = &event.event_t_u.config;

    if (strlen(key) > LINK_NAME_MAX || length > LINK_TEXT_MAX) {
        log_line(LOG_ERR, "document too long key=%.128s size_bytes=%zu", key,
                 length);
        return;
    }
    config->key = (char *)(uintptr_t)key;
    config->revision = revision;
    config->deleted = deleted;
    config->text.text_val = (char *)(uintptr_t)text;
    config->text.text_len = deleted ? 0 : (u_int)length;
    dispatch_event(documents->daemon->dispatch, &event);
}

/*
 * The hosts that hold a lease, and those on the platform's leaving list;
 * one that is on the list alone has no addresses.
 */
static void
raise_hosts(documents_t *documents)
{
    const area_t *hosts = &documents->areas[2];
    const area_t *leaving = &documents->areas[3];
    size_t count = HASH_COUNT(hosts->entries) + HASH_COUNT(leaving->entries);
    arena_t arena = {0};
    host_entry_t *list = arena_array(&arena, count, sizeof(*list));
    event_t event = {.kind = EVENT_HOST_LIST};
    entry_t *entry;
    entry_t *next;
    size_t used = 0;

    HASH_ITER(hh, hosts->entries, entry, next)
    {
        read_host(&arena, hosts, entry, &list[used]);
        list[used].leaving =
            list[used].leaving || is_leaving(leaving, list[used].host);
        used++;
    }
    HASH_ITER(hh, leaving->entries, entry, next)
    {
        list[used].host = entry->key + strlen(leaving->prefix);
        list[used].zone = arena_strdup(&arena, "");
        list[used].address = list[used].zone;
        list[used].peer_address = list[used].zone;
        list[used].leaving = true;
        used++;
    }
    event.event_t_u.hosts.hosts.hosts_len = (u_int)used;
    event.event_t_u.hosts.hosts.hosts_val = list;
    if (documents->daemon->peers != NULL) {
        peers_hosts(documents->daemon->peers, &event.event_t_u.hosts);
    }
    dispatch_event(documents->daemon->dispatch, &event);
    arena_free(&arena);
}

static bool
is_leaving(const area_t *leaving, const char *name)
{
    entry_t *entry;
    entry_t *next;

    HASH_ITER(hh, leaving->entries, entry, next)
    {
        if (strcmp(entry->key + strlen(leaving->prefix), name) == 0) {
            return true;
        }
    }
    return false;
}

/* A host's value: zone=... address=... peer=... incarnation=... leaving=0 */
static void
read_host(arena_t *arena, const area_t *hosts, const entry_t *entry,
          host_entry_t *host)
{
    host->host = entry->key + strlen(hosts->prefix);
    host->zone = read_word(arena, entry->value, "zone=");
    host->address = read_word(arena, entry->value, "address=");
    host->peer_address = read_word(arena, entry->value, "peer=");
    host->incarnation = strtoull(
        read_word(arena, entry->value, "incarnation="), NULL, DECIMAL);
    host->leaving =
        strcmp(read_word(arena, entry->value, "leaving="), "1") == 0;
}

static char *
read_word(arena_t *arena, const char *value, const char *name)
{
    const char *word = value;
    size_t length = strlen(name);

    while (*word != '\0') {
        size_t word_length = strcspn(word, " ");

        if (word_length >= length && memcmp(word, name, length) == 0) {
            word_length -= length;
            if (word_length >= FIELD_BYTES) {
                break;
            }
            return arena_strndup(arena, word + length, word_length);
        }
        word += word_length;
        word += strspn(word, " ");
    }
    return arena_strdup(arena, "");
}
