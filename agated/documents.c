/* documents.c - reads and watches the documents and the host list. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "agated/agated.h"
#include "base/log.h"

enum { RANGE_COUNT = 4, FIELD_BYTES = 128, DECIMAL = 10 };

/* A host that does not watch reads a range again about every 60 s. */
enum { STARTUP_WAIT_MS = 300, POLL_INTERVAL_MS = 2000, POLLS_PER_READ = 30 };

typedef enum { RANGE_CONFIG, RANGE_HOSTS, RANGE_LEAVING } range_kind_t;

/* A key of the store and its last known revision. */
typedef struct {
    char *key;
    char *value; /* NULL unless the range is RANGE_HOSTS */
    int64_t revision;
    bool present; /* in the latest result of range_read() */
    UT_hash_handle hh;
} entry_t;

/* A key or prefix of the store, which is read once and then watched. */
typedef struct {
    documents_t *documents;
    const char *prefix;
    bool is_prefix; /* false: a single key */
    range_kind_t kind;
    entry_t *entries;
    backoff_t backoff;
    uv_timer_t *timer;
    bool read;           /* at least once */
    bool startup_over;   /* the other hosts are known */
    uint32_t polls_left; /* before the next read without a watch */
} key_range_t;

struct documents {
    daemon_t *daemon;
    key_range_t ranges[RANGE_COUNT];
    bool config_read; /* EVENT_CONFIG_READ has been dispatched */
};

static void range_init(documents_t *documents, size_t index,
                       const char *prefix, bool is_prefix, range_kind_t kind);
static void range_read(key_range_t *range);
static void on_retry(uv_timer_t *timer);
static void on_range_read(void *context, kv_result_t result, int64_t revision,
                          const kv_pair_t *pairs, size_t count);
static void on_watch_event(void *context, kv_result_t result, int64_t revision,
                           const kv_pair_t *pairs, size_t count);
static void retry_later(key_range_t *range, const char *operation);
static void apply_pair(key_range_t *range, const kv_pair_t *pair);
static void remove_missing(key_range_t *range, int64_t revision);
static void entry_free(key_range_t *range, entry_t *entry);
static void raise_config_event(documents_t *documents, const char *key,
                               int64_t revision, bool deleted,
                               const char *text, size_t length);
static bool is_watcher(const key_range_t *range);
static void on_poll_timer(uv_timer_t *timer);
static void raise_config_read_event(documents_t *documents);
static void raise_host_list_event(documents_t *documents);
static bool is_leaving(const key_range_t *leaving, const char *name);
static void read_host(arena_t *arena, const key_range_t *hosts,
                      const entry_t *entry, host_entry_t *host);
static char *read_field(arena_t *arena, const char *value, const char *name);

documents_t *
documents_new(daemon_t *daemon)
{
    documents_t *documents = xcalloc(1, sizeof(*documents));
    size_t i;

    documents->daemon = daemon;
    range_init(documents, 0, "/agatevale/fleet", false, RANGE_CONFIG);
    range_init(documents, 1, "/agatevale/services/", true, RANGE_CONFIG);
    range_init(documents, 2, "/agatevale/hosts/", true, RANGE_HOSTS);
    range_init(documents, 3, "/agatevale/leaving/", true, RANGE_LEAVING);
    for (i = 0; i < RANGE_COUNT; i++) {
        range_read(&documents->ranges[i]);
    }
    return documents;
}

/* The platform must be freed before, as it holds callbacks to this. */
void
documents_free(documents_t *documents)
{
    entry_t *entry;
    entry_t *next;
    size_t i;

    if (documents == NULL) {
        return;
    }
    for (i = 0; i < RANGE_COUNT; i++) {
        key_range_t *range = &documents->ranges[i];

        HASH_ITER(hh, range->entries, entry, next)
        {
            entry_free(range, entry);
        }
        uv_close((uv_handle_t *)range->timer, (uv_close_cb)free);
    }
    free(documents);
}

static void
range_init(documents_t *documents, size_t index, const char *prefix,
           bool is_prefix, range_kind_t kind)
{
    key_range_t *range = &documents->ranges[index];

    range->documents = documents;
    range->prefix = prefix;
    range->is_prefix = is_prefix;
    range->kind = kind;
    range->timer = xcalloc(1, sizeof(*range->timer));
    (void)uv_timer_init(documents->daemon->loop, range->timer);
    range->timer->data = range;
}

static void
range_read(key_range_t *range)
{
    kv_t *platform = range->documents->daemon->platform;

    platform->ops->range(platform, range->prefix, range->is_prefix,
                         on_range_read, range);
}

static void
on_retry(uv_timer_t *timer)
{
    range_read(timer->data);
}

static void
on_range_read(void *context, kv_result_t result, int64_t revision,
              const kv_pair_t *pairs, size_t count)
{
    key_range_t *range = context;
    kv_t *platform = range->documents->daemon->platform;
    entry_t *entry;
    entry_t *next;
    size_t i;

    if (result != KV_OK) {
        retry_later(range, "read");
        return;
    }
    HASH_ITER(hh, range->entries, entry, next)
    {
        entry->present = false;
    }
    for (i = 0; i < count; i++) {
        apply_pair(range, &pairs[i]);
    }
    remove_missing(range, revision);
    if (range->kind != RANGE_CONFIG) {
        raise_host_list_event(range->documents);
    }
    range->read = true;
    raise_config_read_event(range->documents);
    if (is_watcher(range)) {
        platform->ops->watch(platform, range->prefix, revision + 1,
                             on_watch_event, range);
        return;
    }
    range->polls_left = POLLS_PER_READ;
    (void)uv_timer_start(
        range->timer, on_poll_timer,
        range->startup_over ? POLL_INTERVAL_MS : STARTUP_WAIT_MS, 0);
}

/*
 * A few hosts watch the documents and the host list on behalf of the others.
 * Every host watches the list of leaving hosts, which must be in force within
 * 2 s.  A host that has just started does not know the other hosts yet, and
 * so cannot tell whether it is a watcher.
 */
static bool
is_watcher(const key_range_t *range)
{
    const daemon_t *daemon = range->documents->daemon;

    return range->kind == RANGE_LEAVING ||
           (range->startup_over &&
            node_is_store_watcher(dispatch_node(daemon->dispatch),
                                  dispatch_now_us()));
}

/* Reads again if this host is now a watcher, or after POLLS_PER_READ. */
static void
on_poll_timer(uv_timer_t *timer)
{
    key_range_t *range = timer->data;

    range->startup_over = true;
    if (range->polls_left == 0 || is_watcher(range)) {
        range_read(range);
        return;
    }
    range->polls_left--;
    (void)uv_timer_start(range->timer, on_poll_timer, POLL_INTERVAL_MS, 0);
}

/* Dispatches EVENT_CONFIG_READ once all ranges have been read. */
static void
raise_config_read_event(documents_t *documents)
{
    event_t event = {.kind = EVENT_CONFIG_READ};
    size_t i;

    for (i = 0; i < RANGE_COUNT; i++) {
        if (!documents->ranges[i].read) {
            return;
        }
    }
    if (!documents->config_read) {
        documents->config_read = true;
        dispatch_event(documents->daemon->dispatch, &event);
    }
}

static void
on_watch_event(void *context, kv_result_t result, int64_t revision,
               const kv_pair_t *pairs, size_t count)
{
    key_range_t *range = context;
    size_t i;

    if (result != KV_OK) {
        retry_later(range, "watch");
        return;
    }
    backoff_reset(&range->backoff);
    for (i = 0; i < count; i++) {
        apply_pair(range, &pairs[i]);
    }
    if (range->kind != RANGE_CONFIG && count > 0) {
        raise_host_list_event(range->documents);
    }
}

/* The retry reads the whole range, so that no change is missed. */
static void
retry_later(key_range_t *range, const char *operation)
{
    uint32_t wait_ms = backoff_next_ms(&range->backoff);

    log_line(LOG_WARNING,
             "store call failed call=%s prefix=%s retry_ms=%" PRIu32,
             operation, range->prefix, wait_ms);
    (void)uv_timer_start(range->timer, on_retry, wait_ms, 0);
}

static void
apply_pair(key_range_t *range, const kv_pair_t *pair)
{
    bool deleted = pair->create_revision == 0;
    entry_t *entry;

    if (!range->is_prefix && strcmp(pair->key, range->prefix) != 0) {
        return;
    }
    HASH_FIND_STR(range->entries, pair->key, entry);
    if (entry != NULL) {
        entry->present = true;
    }
    if (entry != NULL && entry->revision >= pair->mod_revision) {
        return;
    }
    if (range->kind == RANGE_CONFIG) {
        raise_config_event(range->documents, pair->key, pair->mod_revision,
                           deleted, pair->value, pair->value_bytes);
    }
    if (entry != NULL) {
        entry_free(range, entry);
    }
    if (deleted) {
        return;
    }
    entry = xcalloc(1, sizeof(*entry));
    entry->key = xstrdup(pair->key);
    entry->revision = pair->mod_revision;
    entry->present = true;
    if (range->kind == RANGE_HOSTS) {
        entry->value = xcalloc(1, pair->value_bytes + 1);
        memcpy(entry->value, pair->value, pair->value_bytes);
    }
    HASH_ADD_KEYPTR(hh, range->entries, entry->key, strlen(entry->key), entry);
}

/* Removes keys that were deleted while the range was not watched. */
static void
remove_missing(key_range_t *range, int64_t revision)
{
    entry_t *entry;
    entry_t *next;

    HASH_ITER(hh, range->entries, entry, next)
    {
        if (entry->present) {
            continue;
        }
        if (range->kind == RANGE_CONFIG) {
            raise_config_event(range->documents, entry->key, revision, true,
                               NULL, 0);
        }
        entry_free(range, entry);
    }
}

static void
entry_free(key_range_t *range, entry_t *entry)
{
    HASH_DEL(range->entries, entry);
    free(entry->key);
    free(entry->value);
    free(entry);
}

static void
raise_config_event(documents_t *documents, const char *key, int64_t revision,
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
 * Dispatches the hosts that hold a lease and those on the platform's leaving
 * list.  A host that is only on that list has no addresses.
 */
static void
raise_host_list_event(documents_t *documents)
{
    const key_range_t *hosts = &documents->ranges[2];
    const key_range_t *leaving = &documents->ranges[3];
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
is_leaving(const key_range_t *leaving, const char *name)
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

/* The value is "zone=Z address=A peer=P incarnation=N leaving=0". */
static void
read_host(arena_t *arena, const key_range_t *hosts, const entry_t *entry,
          host_entry_t *host)
{
    host->host = entry->key + strlen(hosts->prefix);
    host->zone = read_field(arena, entry->value, "zone=");
    host->address = read_field(arena, entry->value, "address=");
    host->peer_address = read_field(arena, entry->value, "peer=");
    host->incarnation = strtoull(
        read_field(arena, entry->value, "incarnation="), NULL, DECIMAL);
    host->leaving =
        strcmp(read_field(arena, entry->value, "leaving="), "1") == 0;
}

/* Returns the value of the field name, or "" if it is missing or too long. */
static char *
read_field(arena_t *arena, const char *value, const char *name)
{
    const char *field = value;
    size_t length = strlen(name);

    while (*field != '\0') {
        size_t field_length = strcspn(field, " ");

        if (field_length >= length && memcmp(field, name, length) == 0) {
            field_length -= length;
            if (field_length >= FIELD_BYTES) {
                break;
            }
            return arena_strndup(arena, field + length, field_length);
        }
        field += field_length;
        field += strspn(field, " ");
    }
    return arena_strdup(arena, "");
}
