/* directory.c - keeps the addresses of the hosts that callers can use. */
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "base/random.h"
#include "gateway/gateway.h"

enum {
    ADDRESSES_MAX = 64,
    /* Callers need another address when one host fails. */
    HOSTS_LISTED_MIN = 2,
    /* A host enters itself again within its next call to the store. */
    RESTORED_KEPT_MS = 3000,
};

static const char prefix[] = "agatevale/hosts/";

typedef struct {
    char *key;
    char *address;
    char *peer_address; /* "" if the host has none */
    char *zone;
    bool in_list; /* present in the list being read */
    UT_hash_handle hh;
} host_t;

struct directory {
    gateway_t *gateway;
    host_t *hosts;          /* indexed by key */
    bool reloading;         /* between directory_reload_begin() and _end() */
    uv_timer_t *kept_timer; /* removes the hosts that are not in the list */
};

static void remove_unlisted(directory_t *directory);
static void on_kept_timer(uv_timer_t *timer);
static void host_free(directory_t *directory, host_t *host);
static void host_clear(host_t *host);
static void parse_value(host_t *host, const char *value, size_t value_bytes);
static const char *host_name(const host_t *host);
static void report_hosts(directory_t *directory);
static bool reaches_runners(const directory_t *directory, const host_t *host);
static size_t count_reaching(const directory_t *directory);
static forward_hosts_t list_hosts(const directory_t *directory,
                                  arena_t *arena);

directory_t *
directory_new(gateway_t *gateway)
{
    directory_t *directory = xcalloc(1, sizeof(*directory));

    directory->gateway = gateway;
    directory->kept_timer = xcalloc(1, sizeof(*directory->kept_timer));
    (void)uv_timer_init(gateway->loop, directory->kept_timer);
    directory->kept_timer->data = directory;
    return directory;
}

void
directory_free(directory_t *directory)
{
    host_t *host;
    host_t *next;

    if (directory == NULL) {
        return;
    }
    HASH_ITER(hh, directory->hosts, host, next)
    {
        HASH_DEL(directory->hosts, host); /* NOLINT(clang-analyzer-*) */
        host_clear(host);
    }
    uv_close((uv_handle_t *)directory->kept_timer, (uv_close_cb)free);
    free(directory);
}

const char *
directory_prefix(void)
{
    return prefix;
}

char *
directory_own_value(const gateway_t *gateway, arena_t *arena)
{
    const char *peer_address = gateway->settings->peer_address;

    return arena_printf(arena, "%s %s %s", gateway->settings->listen_address,
                        peer_address != NULL ? peer_address : "",
                        gateway->settings->zone);
}

char *
directory_own_key(const gateway_t *gateway, arena_t *arena)
{
    return arena_printf(arena, "%s%s", prefix, gateway->settings->host);
}

void
directory_update(directory_t *directory, const char *key, const char *value,
                 size_t value_bytes)
{
    host_t *host;

    HASH_FIND_STR(directory->hosts, key, host);
    if (host != NULL && value == NULL) {
        host_free(directory, host);
    }
    if (value == NULL) {
        report_hosts(directory);
        return;
    }
    if (host == NULL) {
        host = xcalloc(1, sizeof(*host));
        host->key = xstrdup(key);
        HASH_ADD_KEYPTR(hh, directory->hosts, host->key, strlen(host->key),
                        host);
    }
    parse_value(host, value, value_bytes);
    host->in_list = true;
    report_hosts(directory);
}

void
directory_reload_begin(directory_t *directory)
{
    host_t *host;

    directory->reloading = true;
    for (host = directory->hosts; host != NULL; host = host->hh.next) {
        host->in_list = false;
    }
}

void
directory_reload_end(directory_t *directory, bool restored)
{
    directory->reloading = false;
    if (restored) {
        (void)uv_timer_start(directory->kept_timer, on_kept_timer,
                             RESTORED_KEPT_MS, 0);
    }
    else if (!uv_is_active((uv_handle_t *)directory->kept_timer)) {
        remove_unlisted(directory);
    }
    report_hosts(directory);
}

static void
on_kept_timer(uv_timer_t *timer)
{
    directory_t *directory = timer->data;

    remove_unlisted(directory);
    report_hosts(directory);
}

static void
remove_unlisted(directory_t *directory)
{
    host_t *host;
    host_t *next;

    HASH_ITER(hh, directory->hosts, host, next)
    {
        if (!host->in_list) {
            host_free(directory, host);
        }
    }
}

size_t
directory_count(const directory_t *directory)
{
    return HASH_COUNT(directory->hosts);
}

watcher_candidate_t *
directory_hosts(const directory_t *directory, arena_t *arena, size_t *count,
                const watcher_candidate_t **self)
{
    const char *own_name = directory->gateway->settings->host;
    watcher_candidate_t *hosts =
        arena_array(arena, directory_count(directory) + 1, sizeof(*hosts));
    const host_t *host;

    *count = 0;
    *self = NULL;
    for (host = directory->hosts; host != NULL; host = host->hh.next) {
        hosts[*count] =
            (watcher_candidate_t){.name = host_name(host), .zone = host->zone};
        if (strcmp(host_name(host), own_name) == 0) {
            *self = &hosts[*count];
        }
        (*count)++;
    }
    return hosts;
}

const char *
directory_peer_address(const directory_t *directory, const char *name)
{
    const host_t *host;

    for (host = directory->hosts; host != NULL; host = host->hh.next) {
        if (strcmp(host_name(host), name) == 0) {
            return host->peer_address;
        }
    }
    return NULL;
}

spread_host_t *
directory_peers(const directory_t *directory, arena_t *arena, size_t *count)
{
    const char *own_name = directory->gateway->settings->host;
    spread_host_t *peers =
        arena_array(arena, directory_count(directory) + 1, sizeof(*peers));
    const host_t *host;

    *count = 0;
    for (host = directory->hosts; host != NULL; host = host->hh.next) {
        if (host->peer_address[0] != '\0' &&
            strcmp(host_name(host), own_name) != 0) {
            peers[*count] = (spread_host_t){.name = host_name(host),
                                            .address = host->peer_address,
                                            .zone = host->zone};
            (*count)++;
        }
    }
    return peers;
}

/*
 * Leaves out hosts that reach no runner, if enough others are left.  If there
 * are more hosts than a response can hold, starts at a random one so that
 * callers are spread over all hosts.
 */
bool
directory_write_addresses(directory_t *directory,
                          const address_lookup_t *lookup, text_t *body)
{
    const gateway_t *gateway = directory->gateway;
    size_t host_count = HASH_COUNT(directory->hosts);
    bool lists_isolated =
        directory_lists_isolated(host_count, count_reaching(directory));
    const char *addresses[ADDRESSES_MAX];
    size_t skip = host_count > ADDRESSES_MAX ? random_u64() % host_count : 0;
    size_t count = 0;
    const host_t *host = directory->hosts;
    size_t i;

    for (i = 0; i < skip; i++) {
        host = host->hh.next;
    }
    for (i = 0; i < host_count && count < ADDRESSES_MAX; i++) {
        host = host != NULL ? host : directory->hosts;
        if (lists_isolated || reaches_runners(directory, host)) {
            addresses[count] = host->address;
            count++;
        }
        host = host->hh.next;
    }
    if (count == 0 &&
        forward_ready(forwarding_state(gateway), gateway_now_us())) {
        addresses[0] = gateway->settings->listen_address;
        count = 1;
    }
    if (count == 0) {
        return false;
    }
    gateway->dialect->ops->write_addresses(body, addresses, count,
                                           gateway->limits.address_ttl_s);
    return true;
}

/* If all callers went to few hosts, these would be overloaded. */
bool
directory_lists_isolated(size_t host_count, size_t reaching_count)
{
    return reaching_count < HOSTS_LISTED_MIN ||
           reaching_count * 2 < host_count;
}

static const char *
host_name(const host_t *host)
{
    return host->key + strlen(prefix);
}

static void
host_free(directory_t *directory, host_t *host)
{
    forward_event_t event = {.kind = FORWARD_PEER_REPORT,
                             .u.peer = {.host = host_name(host)}};

    forwarding_handle_event(directory->gateway, &event);
    HASH_DEL(directory->hosts, host); /* NOLINT(clang-analyzer-*) */
    host_clear(host);
}

static void
host_clear(host_t *host)
{
    free(host->key);
    free(host->address);
    free(host->peer_address);
    free(host->zone);
    free(host);
}

/* Parses "ADDRESS PEER-ADDRESS ZONE". */
static void
parse_value(host_t *host, const char *value, size_t value_bytes)
{
    char *text = xcalloc(1, value_bytes + 1);
    char *rest = text;

    memcpy(text, value, value_bytes);
    free(host->address);
    free(host->peer_address);
    free(host->zone);
    host->address = xstrdup(strsep(&rest, " "));
    host->peer_address = xstrdup(rest != NULL ? strsep(&rest, " ") : "");
    host->zone = xstrdup(rest != NULL ? rest : "");
    free(text);
}

/* During a reload the list is incomplete: it is reported at the end. */
static void
report_hosts(directory_t *directory)
{
    forward_event_t event = {
        .kind = FORWARD_HOST_COUNT,
        .u.hosts = HASH_COUNT(directory->hosts), /* NOLINT(clang-analyzer-*) */
    };
    arena_t arena = {0};

    forwarding_handle_event(directory->gateway, &event);
    if (directory->reloading) {
        return;
    }
    event = (forward_event_t){.kind = FORWARD_HOSTS,
                              .u.host_list = list_hosts(directory, &arena)};
    forwarding_handle_event(directory->gateway, &event);
    arena_free(&arena);
}

static forward_hosts_t
list_hosts(const directory_t *directory, arena_t *arena)
{
    forward_host_t *items =
        arena_array(arena, directory_count(directory) + 1, sizeof(*items));
    size_t count = 0;
    const host_t *host;

    for (host = directory->hosts; host != NULL; host = host->hh.next) {
        /* NOLINTNEXTLINE(clang-analyzer-*) */
        items[count] = (forward_host_t){.name = host_name(host),
                                        .address = host->address,
                                        .zone = host->zone};
        count++;
    }
    return (forward_hosts_t){.items = items, .count = count};
}

static bool
reaches_runners(const directory_t *directory, const host_t *host)
{
    return forward_host_reaches_runners(forwarding_state(directory->gateway),
                                        host_name(host));
}

static size_t
count_reaching(const directory_t *directory)
{
    size_t count = 0;
    const host_t *host;

    for (host = directory->hosts; host != NULL; host = host->hh.next) {
        count += reaches_runners(directory, host) ? 1 : 0;
    }
    return count;
}
