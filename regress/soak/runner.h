/*
 * runner.h - what runner.c and run.c share.
 */
#ifndef REGRESS_SOAK_RUNNER_H
#define REGRESS_SOAK_RUNNER_H

#include "regress/soak/soak.h"
#include "regress/standin/server.h"

typedef struct {
    char id[SOAK_NAME_BYTES];
    char gone_id[SOAK_NAME_BYTES]; /* its entry has not lapsed yet */
    const char *zone;
    bool engine;
    server_t *server; /* NULL: it is down */
    proxy_t *proxy;   /* its address in the registry */
    uint32_t starts;
    uint32_t version;    /* of its software */
    uint32_t service;    /* of an engine; see split.c */
    int64_t born_ms;     /* by the real-time clock */
    uint64_t back_ms;    /* listens again then; 0: it is up */
    uint64_t entry_ms;   /* its entry is written then; 0: that is done */
    bool prepared;       /* what its next process is stands above */
    uint64_t lapses_ms;  /* gone_id is taken out then; 0: nothing is */
    uint64_t leaving_ms; /* its entry says draining since; 0: not */
    uint64_t spoilt_until_ms;
    uint64_t started_ms;
    bool silent;
    uint64_t silent_ms;       /* fell silent then; 0: never */
    uint64_t silent_until_ms; /* its last silence ends or ended then */
} runner_t;

size_t runner_number(const runner_t *runner);

/* run.c: context is a runner_t. */
extern const server_ops_t runner_ops;

#endif
