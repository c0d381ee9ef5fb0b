/*
 * run_gateway.h - the daemon of a host that forwards by routes.
 */
#ifndef AGATED_RUN_GATEWAY_H
#define AGATED_RUN_GATEWAY_H

#include "agated/settings.h"

/*
 * Runs until a signal ends it; returns the exit status of the process.
 * settings were read from path, which is read again when it changes.
 */
int run_gateway(const settings_t *settings, const char *path);

#endif
