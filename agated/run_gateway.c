/* run_gateway.c - the daemon of a host that forwards by routes. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "agated/run_gateway.h"
#include "agated/settings_watch.h"
#include "base/log.h"
#include "gateway/gateway.h"
#include "platform/platform.h"

enum {
    SIGNAL_COUNT = 3,
    /* A host's share of a heavy day is some 30 requests a second, of four
     * lines each; beyond twice that, lines cost more than they tell. */
    LOG_LINES_PER_S = 250,
    /* A look at the file is one system call. */
    SETTINGS_LOOK_MS = 2000,
};

/* What the signals act on. */
typedef struct {
    gateway_t gateway;
    const settings_t *settings; /* as the process started */
    settings_watch_t *watch;
    bool leaving;
} state_t;

static void on_signal(uv_signal_t *handle, int number);
static void on_settings(void *context, const settings_t *settings);
static bool needs_restart(const settings_t *was, const settings_t *is);
static bool differ(const char *was, const char *is);

int
run_gateway(const settings_t *settings, const char *path)
{
    static const int numbers[SIGNAL_COUNT] = {SIGTERM, SIGINT, SIGHUP};
    uv_loop_t loop;
    state_t state = {.settings = settings};
    platform_kv_settings_t kv_settings = {
        .loop = &loop,
        .address = settings->platform_addresses.items[0],
        .timeout_ms = settings->platform_timeout_ms,
        .watch_ms = settings->gateway.watch_ms,
        .pause_ms = settings->gateway.watch_pause_ms,
    };
    gateway_t *gateway = &state.gateway;
    uv_signal_t signals[SIGNAL_COUNT];
    err_t err;
    size_t i;

    (void)signal(SIGPIPE, SIG_IGN);
    log_structured(STDOUT_FILENO, LOG_LINES_PER_S);
    (void)uv_loop_init(&loop);
    gateway->loop = &loop;
    gateway->settings = &settings->gateway;
    gateway->dialect = platform_dialect();
    gateway->client = http_client_new(&loop);
    kv_settings.client = gateway->client;
    gateway->kv = platform_kv_new(&kv_settings);
    if (gateway_open(gateway, &err) < 0) {
        (void)fprintf(stderr, "%s\n", err.message);
        gateway_close(gateway);
        return EXIT_FAILURE;
    }
    for (i = 0; i < SIGNAL_COUNT; i++) {
        (void)uv_signal_init(&loop, &signals[i]);
        signals[i].data = &state;
        (void)uv_signal_start(&signals[i], on_signal, numbers[i]);
    }
    state.watch =
        settings_watch_new(&loop, path, SETTINGS_LOOK_MS, on_settings, &state);
    gateway_start(gateway);
    log_event(LOG_NOTICE, "start", "host=%s zone=%s", settings->host,
              settings->zone);
    (void)uv_run(&loop, UV_RUN_DEFAULT);
    for (i = 0; i < SIGNAL_COUNT; i++) {
        uv_close((uv_handle_t *)&signals[i], NULL);
    }
    settings_watch_free(state.watch);
    log_event(LOG_NOTICE, "stop", "host=%s", settings->host);
    gateway_close(gateway);
    (void)uv_loop_close(&loop);
    return EXIT_SUCCESS;
}

static void
on_signal(uv_signal_t *handle, int number)
{
    state_t *state = handle->data;

    if (number == SIGHUP) {
        settings_watch_read(state->watch);
        return;
    }
    if (state->leaving) {
        return;
    }
    state->leaving = true;
    log_event(LOG_NOTICE, "leave", "signal=%d", number);
    gateway_drain(&state->gateway);
}

/* Limits change at once; addresses and the like are those of the start. */
static void
on_settings(void *context, const settings_t *settings)
{
    state_t *state = context;

    if (!settings->gateway_set) {
        log_event(LOG_ERR, "reload-failed",
                  "reason=\"no table [gateway]: restart to do without\"");
        return;
    }
    gateway_set_limits(&state->gateway, &settings->gateway.limits);
    log_event(LOG_NOTICE, "reload", "limits=in-force restart=%s",
              needs_restart(state->settings, settings) ? "needed" : "no");
}

static bool
needs_restart(const settings_t *was, const settings_t *is)
{
    const gateway_settings_t *a = &was->gateway;
    const gateway_settings_t *b = &is->gateway;

    return differ(a->host, b->host) || differ(a->zone, b->zone) ||
           differ(a->listen_address, b->listen_address) ||
           differ(a->readiness_address, b->readiness_address) ||
           differ(a->lookup_address, b->lookup_address) ||
           differ(a->metrics_address, b->metrics_address) ||
           differ(a->peer_address, b->peer_address) ||
           a->watch_ms != b->watch_ms ||
           a->watch_pause_ms != b->watch_pause_ms ||
           a->presence_s != b->presence_s ||
           was->platform_timeout_ms != is->platform_timeout_ms ||
           differ(was->platform_addresses.items[0],
                  is->platform_addresses.items[0]);
}

static bool
differ(const char *was, const char *is)
{
    return was == NULL || is == NULL ? was != is : strcmp(was, is) != 0;
}
