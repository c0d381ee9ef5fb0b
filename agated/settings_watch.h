/*
 * settings_watch.h - the settings file, read again when it changes.
 *
 * The file is looked at now and then, because it may change without a
 * signal.  What cannot be read or fails its checks is logged and not told:
 * what was in force stays so.
 */
#ifndef AGATED_SETTINGS_WATCH_H
#define AGATED_SETTINGS_WATCH_H

#include <uv.h>

#include "agated/settings.h"

/* The settings are valid during the call only. */
typedef void (*settings_changed_t)(void *context, const settings_t *settings);

typedef struct settings_watch settings_watch_t;

/* Looks at the file every interval_ms. */
settings_watch_t *settings_watch_new(uv_loop_t *loop, const char *path,
                                     uint32_t interval_ms,
                                     settings_changed_t changed,
                                     void *context);
void settings_watch_free(settings_watch_t *watch);

/* Reads the file now, whether it has changed or not. */
void settings_watch_read(settings_watch_t *watch);

#endif
