/*
 * rollout.h - an operator's order to move a service to another version of its
 * software, and the status that is told to operators.
 */
#ifndef WORLD_ROLLOUT_H
#define WORLD_ROLLOUT_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    const char *service;
    const char *version;  /* to move to; NULL: not readable */
    uint32_t duration_ms; /* time to do it in; 0: not stated, or invalid */
    int64_t revision;     /* of the order in the store; 0: there is none */
} rollout_order_t;

typedef enum {
    ROLLOUT_STATUS_NONE, /* or not readable */
    ROLLOUT_STATUS_IN_PROGRESS,
    ROLLOUT_STATUS_COMPLETED,   /* the old version's runners may stop */
    ROLLOUT_STATUS_ROLLED_BACK, /* the new version's runners may stop */
} rollout_state_t;

typedef struct {
    const char *service;
    const char *version; /* of the order; NULL: none */
    rollout_state_t state;
    int64_t revision; /* of the status in the store; 0: there is none */
} rollout_status_t;

#endif
