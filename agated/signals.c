/* signals.c - see signals.h. */
#include <signal.h>
#include <stddef.h>

#include "agated/signals.h"

static void mask_reload(int how);

void
signals_block_reload(void)
{
    mask_reload(SIG_BLOCK);
}

void
signals_start(signals_t *signals, uv_loop_t *loop, uv_signal_cb callback,
              void *data)
{
    static const int numbers[SIGNALS_COUNT] = {SIGTERM, SIGINT, SIGHUP};
    size_t i;

    for (i = 0; i < SIGNALS_COUNT; i++) {
        (void)uv_signal_init(loop, &signals->handles[i]);
        signals->handles[i].data = data;
        (void)uv_signal_start(&signals->handles[i], callback, numbers[i]);
    }
    mask_reload(SIG_UNBLOCK);
}

void
signals_close(signals_t *signals)
{
    size_t i;

    for (i = 0; i < SIGNALS_COUNT; i++) {
        uv_close((uv_handle_t *)&signals->handles[i], NULL);
    }
}

static void
mask_reload(int how)
{
    sigset_t set;

    (void)sigemptyset(&set);
    (void)sigaddset(&set, SIGHUP);
    (void)pthread_sigmask(how, &set, NULL);
}
