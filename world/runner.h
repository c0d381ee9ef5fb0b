/*
 * runner.h - a backend server, as the operators' document states it.
 */
#ifndef WORLD_RUNNER_H
#define WORLD_RUNNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum { RUNNER_ENGINE, RUNNER_SERVICE } runner_kind_t;

typedef struct {
    const char *name;
    const char *address; /* "ip:port" */
    const char *zone;    /* availability zone */
    runner_kind_t kind;
    const char **models; /* loaded versions; for a service, its names */
    size_t model_count;
    uint32_t streams_max; /* at a time, over all hosts */
    bool checks_fencing;  /* refuses an order with an old fencing number */
    uint32_t line;        /* of the document */
} runner_t;

#endif
