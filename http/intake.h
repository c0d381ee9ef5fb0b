/*
 * intake.h - decides which connections a host may keep under its limits.
 *
 * The module has no socket and no clock: the caller states what a connection
 * holds, and carries out the decision.  A connection whose request has not
 * been received completely may be closed at any time, since that request has
 * not run.
 */
#ifndef HTTP_INTAKE_H
#define HTTP_INTAKE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Limits of a host; see intake_limits_of(). */
typedef struct {
    size_t held_max_bytes;        /* by all connections together */
    size_t reserved_body_bytes;   /* accepted even if no room is left */
    size_t service_max_bytes;     /* one connection of a service listener */
    uint32_t kernel_buffer_bytes; /* of each direction of a connection */
    uint32_t connections_max;     /* of callers */
} intake_limits_t;

typedef enum {
    INTAKE_KEEP,
    INTAKE_MEMORY,      /* closed: the sum is too large */
    INTAKE_SERVICE,     /* closed: too many bytes at a service listener */
    INTAKE_SLOW_SENDER, /* closed: below the minimum rate */
    INTAKE_SLOW_READER, /* closed: below the minimum rate */
    INTAKE_CONNECTIONS, /* refused or closed: too many connections */
    INTAKE_DECISIONS,
} intake_decision_t;

/* What the host sees of a connection now. */
typedef struct {
    size_t held_bytes;    /* received or written, not yet consumed */
    uint64_t moved_bytes; /* received from and taken by the peer, ever */
    bool receiving;       /* the next request is not complete */
    bool sending;         /* the peer has to read */
} intake_sample_t;

/* State of a connection; initialised by intake_open(). */
typedef struct {
    uint32_t peer_address; /* hash; equal for connections of one peer */
    bool service;          /* of a readiness, look-up or metrics listener */
    bool closing;          /* the host closes it */
    intake_sample_t sample;
    int64_t updated_us;
    int64_t credit_bytes; /* above the minimum rate; below 0: too slow */
} intake_connection_t;

/*
 * Returns the limits for a host of memory_mb; 0 for descriptors_max means
 * that descriptors are not limited.
 */
intake_limits_t intake_limits_of(uint32_t memory_mb, uint32_t descriptors_max);

/* Returns how much the responses of runners may hold together. */
size_t intake_responses_max_bytes(uint32_t memory_mb);

void intake_open(intake_connection_t *connection, uint32_t peer_address,
                 bool service, int64_t now_us);

/* Records a sample; returns whether the connection may go on, or why not. */
intake_decision_t intake_update(intake_connection_t *connection,
                                const intake_limits_t *limits,
                                const intake_sample_t *sample, int64_t now_us);

/* Returns whether a further connection fits beside count open ones. */
bool intake_admits(const intake_limits_t *limits, uint32_t count,
                   bool service);

/* Returns the largest body that may be announced: at most max_bytes. */
size_t intake_body_max_bytes(const intake_limits_t *limits, size_t held_bytes,
                             size_t max_bytes);

/*
 * Returns the connection to close when memory or connections run short, or
 * NULL if none may be closed.  Of the connections whose request is not
 * complete: of the peer that holds most, the one that holds most, then the
 * slowest.  Reorders the array.
 */
intake_connection_t *intake_victim(intake_connection_t **connections,
                                   size_t count);

/* Returns the name for logs and metrics. */
const char *intake_decision_name(intake_decision_t decision);

#endif
