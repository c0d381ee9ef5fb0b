/*
 * run_gateway.h - runs agated as a gateway that forwards by routes.
 */
#ifndef AGATED_RUN_GATEWAY_H
#define AGATED_RUN_GATEWAY_H

#include "agated/settings.h"

/*
 * Runs until SIGTERM or SIGINT; returns the exit status of the process.
 * settings were read from path, which is reloaded when it changes.
 */
int run_gateway(const settings_t *settings, const char *path);

#endif
