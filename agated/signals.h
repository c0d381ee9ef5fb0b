/*
 * signals.h - the signals that stop a host or reload its settings.
 */
#ifndef AGATED_SIGNALS_H
#define AGATED_SIGNALS_H

#include <uv.h>

enum { SIGNALS_COUNT = 3 };

typedef struct {
    uv_signal_t handles[SIGNALS_COUNT];
} signals_t;

/*
 * Holds back SIGHUP, which would end a process without a handler.  To be
 * called before anything else.
 */
void signals_block_reload(void);

/*
 * Calls callback on SIGTERM, SIGINT and SIGHUP, with data in its handle, also
 * for a SIGHUP that has been held back.
 */
void signals_start(signals_t *signals, uv_loop_t *loop, uv_signal_cb callback,
                   void *data);

void signals_close(signals_t *signals);

#endif
