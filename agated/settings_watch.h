/*
 * settings_watch.h - reloads the settings file when it changes.
 *
 * The file is polled with stat(2), because it may change without a signal.
 * If it cannot be read or is invalid, the error is logged, the callback is
 * not called and the former settings stay in force.
 */
#ifndef AGATED_SETTINGS_WATCH_H
#define AGATED_SETTINGS_WATCH_H

#include <uv.h>

#include "agated/settings.h"

/* The settings are valid during the call only. */
typedef void (*settings_change_cb_t)(void *context,
                                     const settings_t *settings);

typedef struct settings_watch settings_watch_t;

/* Polls the file every interval_ms. */
settings_watch_t *settings_watch_new(uv_loop_t *loop, const char *path,
                                     uint32_t interval_ms,
                                     settings_change_cb_t on_change,
                                     void *context);
void settings_watch_free(settings_watch_t *watch);

/* Reads the file now, even if it has not changed. */
void settings_watch_reload(settings_watch_t *watch);

#endif
