/*
 * registration.h - what a backend server says of itself in the registry.
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
    uint32_t slots;      /* requests that it works on at a time */
    bool draining;       /* takes no new requests */
    uint32_t warmup_ms;  /* it is slow for so much longer */
    int64_t started_ms;  /* wall clock of its start; 0: not stated.  The same
                            id with another start knows nothing of before */
} registration_t;

#endif
