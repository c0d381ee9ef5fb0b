/* run_gateway.c - the daemon of a host that forwards by routes. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "agated/run_gateway.h"
#include "base/log.h"
#include "gateway/gateway.h"
#include "platform/platform.h"

enum {
    SIGNAL_COUNT = 3,
    /* A host's share of a heavy day is some 30 requests a second, of four
     * lines each; beyond twice that, lines cost more than they tell. */
    LOG_LINES_PER_S = 250,
};

/* What the signals act on. */
typedef struct {
    gateway_t gateway;
    bool leaving;
} state_t;

static void on_signal(uv_signal_t *handle, int number);

int
run_gateway(const settings_t *settings)
{
    static const int numbers[SIGNAL_COUNT] = {SIGTERM, SIGINT, SIGHUP};
    uv_loop_t loop;
    state_t state = {0};
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
    gateway_start(gateway);
    log_event(LOG_NOTICE, "start", "host=%s zone=%s", settings->host,
              settings->zone);
    (void)uv_run(&loop, UV_RUN_DEFAULT);
    for (i = 0; i < SIGNAL_COUNT; i++) {
        uv_close((uv_handle_t *)&signals[i], NULL);
    }
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
        log_event(LOG_NOTICE, "reload", "settings=kept-until-restart");
        return;
    }
    if (state->leaving) {
        return;
    }
    state->leaving = true;
    log_event(LOG_NOTICE, "leave", "signal=%d", number);
    gateway_drain(&state->gateway);
}
