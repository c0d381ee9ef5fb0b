/* daemon.c - opens, starts and closes the daemon's modules in order. */
#include <string.h>
#include <time.h>

#include "agated/agated.h"
#include "peer/peer.h"

enum { US_PER_S = 1000000, NS_PER_US = 1000 };

static int derive_position_key(daemon_t *daemon, err_t *err);
static void start_node(daemon_t *daemon);
static uint64_t realtime_us(void);

int
daemon_open(daemon_t *daemon, err_t *err)
{
    const settings_t *settings = daemon->settings;

    daemon->incarnation = realtime_us();
    if (derive_position_key(daemon, err) < 0) {
        return -1;
    }
    daemon->listener = listener_new(daemon, err);
    if (daemon->listener == NULL) {
        return -1;
    }
    daemon->dispatch = dispatch_new(daemon, err);
    if (daemon->dispatch == NULL) {
        return -1;
    }
    if (settings->peers_address != NULL) {
        daemon->peers = peers_new(daemon, err);
        if (daemon->peers == NULL) {
            return -1;
        }
    }
    daemon->client = http_client_new(daemon->loop);
    if (strcmp(settings->platform_kind, "memory") == 0) {
        daemon->platform = kv_memory_new(daemon->loop);
        return seed_memory_store(daemon, err);
    }
    daemon->platform = kv_etcd_new(
        daemon->client, settings->platform_addresses.items,
        settings->platform_addresses.count, settings->platform_timeout_ms);
    return 0;
}

void
daemon_start(daemon_t *daemon)
{
    daemon->levels = slo_stats_new(daemon);
    daemon->backends = backends_new(daemon);
    start_node(daemon);
    if (daemon->peers != NULL) {
        peers_add_configured(daemon->peers);
    }
    daemon->claims = claims_new(daemon);
    daemon->presence = host_presence_new(daemon);
    daemon->documents = documents_new(daemon);
    listener_start(daemon->listener);
}

/* Without peers the key is random: only this host reads its positions. */
static int
derive_position_key(daemon_t *daemon, err_t *err)
{
    const char *path = daemon->settings->peers_key_file;
    uint8_t secret[PEER_KEY_BYTES_MAX];
    uint64_t random_secret = random_u64();
    int length = (int)sizeof(random_secret);

    memcpy(secret, &random_secret, sizeof(random_secret));
    if (path != NULL) {
        length = peer_key_read(path, secret, err);
    }
    if (length < 0) {
        return -1;
    }
    position_key(&daemon->position_key, secret, (size_t)length);
    explicit_bzero(secret, sizeof(secret));
    return 0;
}

static void
start_node(daemon_t *daemon)
{
    const settings_t *settings = daemon->settings;
    event_t event = {.kind = EVENT_START};
    start_event_t *start_event = &event.event_t_u.start;

    start_event->host = (char *)(uintptr_t)settings->host;
    start_event->zone = (char *)(uintptr_t)settings->zone;
    start_event->address =
        (char *)(uintptr_t)listener_address(daemon->listener);
    start_event->incarnation = daemon->incarnation;
    start_event->seed = random_u64();
    start_event->sessions_max = settings->sessions_max;
    start_event->queue_wait_ms = settings->queue_wait_ms;
    start_event->silence_floor_ms = settings->silence_floor_ms;
    start_event->silence_ceiling_ms = settings->silence_ceiling_ms;
    start_event->prefill_limit_ms = settings->prefill_limit_ms;
    start_event->orphan_grace_ms = settings->orphan_grace_ms;
    dispatch_event(daemon->dispatch, &event);
}

/*
 * Frees the platform first, because its callbacks use the other modules, and
 * the listener after the other modules, because h2o runs the loop during its
 * cleanup.
 */
void
daemon_close(daemon_t *daemon)
{
    if (daemon->platform != NULL) {
        daemon->platform->ops->free(daemon->platform);
    }
    peers_free(daemon->peers);
    documents_free(daemon->documents);
    presence_free(daemon->presence);
    claims_free(daemon->claims);
    backends_free(daemon->backends);
    if (daemon->client != NULL) {
        http_client_free(daemon->client);
    }
    dispatch_free(daemon->dispatch);
    listener_free(daemon->listener);
    slo_stats_free(daemon->levels);
    (void)uv_run(daemon->loop, UV_RUN_NOWAIT);
    (void)uv_run(daemon->loop, UV_RUN_NOWAIT);
}

/* Uses wall clock time, so that incarnations increase over restarts. */
static uint64_t
realtime_us(void)
{
    struct timespec now;

    (void)clock_gettime(CLOCK_REALTIME, &now);
    return (uint64_t)now.tv_sec * US_PER_S + (uint64_t)now.tv_nsec / NS_PER_US;
}
