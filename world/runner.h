/*
 * runner.h - a backend server, as configured in the operators' document.
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
    const char **models; /* loaded versions, or names of plain services */
    size_t model_count;
    uint32_t streams_max; /* concurrent, over all hosts */
    bool checks_fencing;  /* rejects outdated fencing tokens */
    uint32_t line;        /* in the document */
} runner_t;

#endif
