/*
 * registration.h - the entry of a backend server in the registry.
 */
#ifndef WORLD_REGISTRATION_H
#define WORLD_REGISTRATION_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    const char *id;
    const char *service;
    const char *address; /* "ip:port" */
    const char *zone;    /* availability zone */
    const char *version; /* of its software; "" if not stated */
    uint32_t slots;      /* maximum number of concurrent requests */
    bool draining;       /* accepts no new requests */
    bool restored;       /* the entry was removed before the registry went back
                            to an older copy, and has not been written since */
    uint32_t warmup_ms;  /* remaining time of reduced speed */
    int64_t started_ms;  /* wall clock time of the start; 0 if not stated.  A
                            different time for the same id means that the
                            server restarted and lost its state */
} registration_t;

#endif
