/* run_gateway.c - runs agated as a gateway that forwards by routes. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "agated/run_gateway.h"
#include "agated/settings_watch.h"
#include "agated/signals.h"
#include "base/log.h"
#include "gateway/gateway.h"
#include "platform/platform.h"

enum {
    /* Twice the peak load of a host, 30 requests/s with 4 lines each; more
     * cost the host more than they help an operator. */
    LOG_LINES_PER_S = 250,
    SETTINGS_POLL_MS = 2000,
};

/* The state that signal handlers and the settings watch use. */
typedef struct {
    gateway_t gateway;
    const settings_t *settings; /* at the start of the process */
    settings_watch_t *watch;
    bool draining;
} gateway_process_t;

static void on_signal(uv_signal_t *handle, int number);
static void on_settings(void *context, const settings_t *settings);
static bool needs_restart(const settings_t *started,
                          const settings_t *current);
static bool strings_differ(const char *started, const char *current);

int
run_gateway(const settings_t *settings, const char *path)
{
    uv_loop_t loop;
    gateway_process_t process = {.settings = settings};
    platform_kv_settings_t kv_settings = {
        .loop = &loop,
        .address = settings->platform_addresses.items[0],
        .timeout_ms = settings->platform_timeout_ms,
        .watch_ms = settings->gateway.watch_ms,
        .pause_ms = settings->gateway.watch_pause_ms,
    };
    gateway_t *gateway = &process.gateway;
    signals_t signals;
    err_t err;

    (void)signal(SIGPIPE, SIG_IGN);
    log_open_structured(STDOUT_FILENO, LOG_LINES_PER_S);
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
    process.watch = settings_watch_new(&loop, path, SETTINGS_POLL_MS,
                                       on_settings, &process);
    signals_start(&signals, &loop, on_signal, &process);
    gateway_start(gateway);
    log_event(LOG_NOTICE, "start", "host=%s zone=%s", settings->host,
              settings->zone);
    (void)uv_run(&loop, UV_RUN_DEFAULT);
    signals_close(&signals);
    settings_watch_free(process.watch);
    log_event(LOG_NOTICE, "stop", "host=%s", settings->host);
    gateway_close(gateway);
    (void)uv_loop_close(&loop);
    return EXIT_SUCCESS;
}

static void
on_signal(uv_signal_t *handle, int number)
{
    gateway_process_t *process = handle->data;

    if (number == SIGHUP) {
        settings_watch_reload(process->watch);
        return;
    }
    if (process->draining) {
        return;
    }
    process->draining = true;
    log_event(LOG_NOTICE, "leave", "signal=%d", number);
    gateway_drain(&process->gateway);
}

/* Applies new limits at once; other settings change only at a restart. */
static void
on_settings(void *context, const settings_t *settings)
{
    gateway_process_t *process = context;

    if (!settings->gateway_set) {
        log_event(LOG_ERR, "reload-failed",
                  "reason=\"table [gateway] is missing: write it, or restart "
                  "to run without it\"");
        return;
    }
    gateway_set_limits(&process->gateway, &settings->gateway.limits);
    log_event(LOG_NOTICE, "reload", "limits=in-force restart=%s",
              needs_restart(process->settings, settings) ? "needed" : "no");
}

static bool
needs_restart(const settings_t *started, const settings_t *current)
{
    const gateway_settings_t *a = &started->gateway;
    const gateway_settings_t *b = &current->gateway;

    return strings_differ(a->host, b->host) ||
           strings_differ(a->zone, b->zone) ||
           strings_differ(a->listen_address, b->listen_address) ||
           strings_differ(a->readiness_address, b->readiness_address) ||
           strings_differ(a->lookup_address, b->lookup_address) ||
           strings_differ(a->metrics_address, b->metrics_address) ||
           strings_differ(a->peer_address, b->peer_address) ||
           a->watch_ms != b->watch_ms ||
           a->watch_pause_ms != b->watch_pause_ms ||
           a->presence_s != b->presence_s || a->memory_mb != b->memory_mb ||
           a->descriptors_max != b->descriptors_max ||
           started->platform_timeout_ms != current->platform_timeout_ms ||
           strings_differ(started->platform_addresses.items[0],
                          current->platform_addresses.items[0]);
}

static bool
strings_differ(const char *started, const char *current)
{
    return started == NULL || current == NULL ? started != current
                                              : strcmp(started, current) != 0;
}
