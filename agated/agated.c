/* agated.c - main program of the daemon: options, settings and signals. */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agated/agated.h"
#include "agated/run_gateway.h"
#include "agated/signals.h"
#include "agated/tls.h"
#include "base/log.h"
#include "peer/peer.h"

typedef struct {
    const char *file;
    bool check_only;
    bool verbose;
} options_t;

static error_t parse_option(int key, char *arg, struct argp_state *state);
static int check_files(const settings_t *settings, err_t *err);
static int run_daemon(const settings_t *settings);
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

    signals_block_reload();
    if (argp_parse(&argp, argc, argv, 0, NULL, &options) != 0) {
        return EXIT_FAILURE;
    }
    log_init("agated", options.verbose ? LOG_DEBUG : LOG_INFO);
    if (settings_read(&settings, &arena, options.file, &err) < 0) {
        (void)fprintf(stderr, "%s\n", err.message);
        goto done;
    }
    if (options.check_only) {
        status = check_files(&settings, &err);
        goto done;
    }
    status = settings.gateway_set ? run_gateway(&settings, options.file)
                                  : run_daemon(&settings);
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

/* Checks that the files which the settings name can be used. */
static int
check_files(const settings_t *settings, err_t *err)
{
    uint8_t key[PEER_KEY_BYTES_MAX];
    SSL_CTX *context = NULL;

    if (settings->peers_key_file != NULL &&
        peer_key_read(settings->peers_key_file, key, err) < 0) {
        goto fail;
    }
    if (settings->tls_certificate != NULL) {
        context =
            tls_context_new(settings->tls_certificate, settings->tls_key, err);
        if (context == NULL) {
            goto fail;
        }
    }
    explicit_bzero(key, sizeof(key));
    SSL_CTX_free(context);
    return EXIT_SUCCESS;
fail:
    (void)fprintf(stderr, "%s\n", err->message);
    return EXIT_FAILURE;
}

static int
run_daemon(const settings_t *settings)
{
    daemon_t daemon = {.settings = settings};
    signals_t signals;
    uv_loop_t loop;
    err_t err;
    int status = EXIT_FAILURE;

    (void)signal(SIGPIPE, SIG_IGN);
    (void)uv_loop_init(&loop);
    daemon.loop = &loop;
    if (daemon_open(&daemon, &err) < 0) {
        (void)fprintf(stderr, "%s\n", err.message);
        goto done;
    }
    signals_start(&signals, &loop, on_signal, &daemon);
    daemon_start(&daemon);
    (void)uv_run(&loop, UV_RUN_DEFAULT);
    signals_close(&signals);
    log_line(LOG_NOTICE, "stopped");
    status = EXIT_SUCCESS;
done:
    daemon_close(&daemon);
    (void)uv_loop_close(&loop);
    return status;
}

static void
on_signal(uv_signal_t *handle, int number)
{
    daemon_t *daemon = handle->data;
    err_t err;

    if (number == SIGHUP) {
        if (listener_reload(daemon->listener, &err) < 0) {
            log_line(LOG_ERR, "TLS certificate reload failed reason=\"%s\"",
                     err.message);
            return;
        }
        log_line(LOG_NOTICE, "TLS certificate reloaded");
        return;
    }

    log_line(LOG_NOTICE, "draining signal=%d", number);
    dispatch_drain(daemon->dispatch);
}
