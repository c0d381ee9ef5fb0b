/* agated.c - the daemon's main program. */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "agated/agated.h"
#include "base/log.h"
#include "peer/peer.h"

enum { SIGNAL_COUNT = 2, US_PER_S = 1000000, NS_PER_US = 1000 };

/* The command line. */
typedef struct {
    const char *file;
    bool check_only;
    bool verbose;
} options_t;

static error_t parse_option(int key, char *arg, struct argp_state *state);
static int run(const settings_t *settings);
static int derive_position_key(daemon_t *daemon, err_t *err);
static int open_tasks(daemon_t *daemon, err_t *err);
static void start_tasks(daemon_t *daemon);
static void start_node(daemon_t *daemon);
static void stop(daemon_t *daemon);
static uint64_t wall_clock_us(void);
static void on_signal(uv_signal_t *handle, int number);

const char *argp_program_version = "agated " AGATEVALE_VERSION;

static const struct argp_option argp_options[] = {
    {"file", 'f', "FILE", 0, "Settings to read (agated.toml)", 0},
    {"check", 'n', NULL, 0, "Check the settings and exit", 0},
    {"verbose", 'v', NULL, 0, "Log debugging lines too", 0},
    {0},
};

static const struct argp argp = {
    .options = argp_options,
    .parser = parse_option,
    .doc = "Serves long model generations on engines that fail.",
};

int
main(int argc, char **argv)
{
    options_t options = {.file = "agated.toml"};
    settings_t settings;
    arena_t arena = {0};
    err_t err;
    int status = EXIT_FAILURE;

    if (argp_parse(&argp, argc, argv, 0, NULL, &options) != 0) {
        return EXIT_FAILURE;
    }
    log_init("agated", options.verbose ? LOG_DEBUG : LOG_INFO);
    if (settings_read(&settings, &arena, options.file, &err) < 0) {
        (void)fprintf(stderr, "%s\n", err.message);
        goto done;
    }
    status = options.check_only ? EXIT_SUCCESS : run(&settings);
done:
    arena_free(&arena);
    return status;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    options_t *options = state->input;

    switch (key) {
    case 'f':
        options->file = arg;
        return 0;
    case 'n':
        options->check_only = true;
        return 0;
    case 'v':
        options->verbose = true;
        return 0;
    case ARGP_KEY_ARG:
        argp_usage(state);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static int
run(const settings_t *settings)
{
    static const int numbers[SIGNAL_COUNT] = {SIGTERM, SIGINT};
    daemon_t daemon = {.settings = settings};
    uv_signal_t signals[SIGNAL_COUNT];
    uv_loop_t loop;
    err_t err;
    size_t i;
    int status = EXIT_FAILURE;

    (void)signal(SIGPIPE, SIG_IGN);
    (void)uv_loop_init(&loop);
    daemon.loop = &loop;
    daemon.incarnation = wall_clock_us();
    if (open_tasks(&daemon, &err) < 0) {
        (void)fprintf(stderr, "%s\n", err.message);
        goto done;
    }
    for (i = 0; i < SIGNAL_COUNT; i++) {
        (void)uv_signal_init(&loop, &signals[i]);
        signals[i].data = &daemon;
        (void)uv_signal_start(&signals[i], on_signal, numbers[i]);
    }
    start_tasks(&daemon);
    (void)uv_run(&loop, UV_RUN_DEFAULT);
    for (i = 0; i < SIGNAL_COUNT; i++) {
        uv_close((uv_handle_t *)&signals[i], NULL);
    }
    log_line(LOG_NOTICE, "stopped");
    status = EXIT_SUCCESS;
done:
    stop(&daemon);
    return status;
}

/* A host without peers seals for itself alone. */
static int
derive_position_key(daemon_t *daemon, err_t *err)
{
    const char *path = daemon->settings->peers_key_file;
    uint8_t secret[PEER_KEY_BYTES_MAX];
    uint64_t own = random_u64();
    int length = (int)sizeof(own);

    memcpy(secret, &own, sizeof(own));
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

/* All that can fail, so that a wrong setting is told before any work. */
static int
open_tasks(daemon_t *daemon, err_t *err)
{
    const settings_t *settings = daemon->settings;

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
        daemon->platform = platform_memory_new(daemon->loop);
        return seed_platform(daemon, err);
    }
    daemon->platform = platform_etcd_new(
        daemon->client, settings->platform_addresses.items,
        settings->platform_addresses.count, settings->platform_timeout_ms);
    return 0;
}

static void
start_tasks(daemon_t *daemon)
{
    daemon->backends = backends_new(daemon);
    start_node(daemon);
    daemon->claims = claims_new(daemon);
    daemon->presence = presence_new(daemon);
    daemon->documents = documents_new(daemon);
    listener_start(daemon->listener);
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
    start_event->record_after_ms = settings->record_after_ms;
    dispatch_event(daemon->dispatch, &event);
}

/*
 * The platform goes first, whose callbacks would come to freed tasks, and
 * the listener last, because h2o runs the loop while it cleans up.
 */
static void
stop(daemon_t *daemon)
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
    (void)uv_run(daemon->loop, UV_RUN_NOWAIT);
    (void)uv_run(daemon->loop, UV_RUN_NOWAIT);
    (void)uv_loop_close(daemon->loop);
}

/* Rises over restarts, so that a later incarnation has a higher number. */
static uint64_t
wall_clock_us(void)
{
    struct timespec now;

    (void)clock_gettime(CLOCK_REALTIME, &now);
    return (uint64_t)now.tv_sec * US_PER_S + (uint64_t)now.tv_nsec / NS_PER_US;
}

static void
on_signal(uv_signal_t *handle, int number)
{
    daemon_t *daemon = handle->data;

    log_line(LOG_NOTICE, "leaving signal=%d", number);
    dispatch_drain(daemon->dispatch);
}
