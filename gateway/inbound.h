/*
 * inbound.h - a caller's HTTP request and the response to it.
 *
 * Private to front.c and inbound.c.  An inbound_t lives as long as its h2o
 * request.
 */
#ifndef GATEWAY_INBOUND_H
#define GATEWAY_INBOUND_H

#include <h2o.h>
#include <uthash.h>

#include "gateway/gateway.h"

typedef struct inbound {
    h2o_generator_t generator; /* must be first: passed to h2o callbacks */
    uint64_t number;           /* of the request; key of the table */
    gateway_t *gateway;
    h2o_req_t *req;
    arena_t arena;
    caller_request_t request;
    bool relayed;          /* by another host */
    int64_t last_event_id; /* sent to the caller; -1: none */
    text_t pending;        /* to send once in_flight has been sent */
    text_t in_flight;
    bool response_started;
    bool send_in_progress; /* h2o is sending in_flight */
    bool complete;         /* no bytes follow pending */
    bool done;             /* answered, refused or aborted */
    bool aborted;          /* end with an error at on_proceed() */
    UT_hash_handle hh;
} inbound_t;

/*
 * Reads the request, adds it to *table and raises FORWARD_REQUEST.  Responds
 * with status 400 if the length of its body is ambiguous.
 */
void inbound_accept(gateway_t *gateway, inbound_t **table, uint64_t number,
                    h2o_req_t *req);

/* Raises FORWARD_CALLER_DISCONNECTED and aborts the response. */
void inbound_disconnect(inbound_t *inbound);

/* Returns the socket of the connection; h2o owns it. */
h2o_socket_t *inbound_socket(const inbound_t *inbound);
int inbound_socket_fd(const inbound_t *inbound);

/* --- front.c --- */

/* Returns whether this host itself no longer reads from the connection. */
bool front_has_shut(const front_t *front, const inbound_t *inbound);

/* --- inbound.c --- */

/* Sends a complete response, unless one has been started. */
void inbound_send_response(inbound_t *inbound,
                           const runner_response_t *response);

/* Sends the response head of a stream, unless it has been sent. */
void inbound_start_stream(inbound_t *inbound,
                          const runner_response_t *response);

/*
 * Sends the event, unless the caller already has it by its ID.  Disconnects a
 * caller that reads too slowly.  Returns whether the event was accepted.
 */
bool inbound_send_event(inbound_t *inbound, const stream_event_t *event);
void inbound_end_stream(inbound_t *inbound);

/* Sends a response with the reason, unless a response has been started. */
void inbound_send_refusal(inbound_t *inbound, const refuse_action_t *refusal,
                          const relay_usage_t *usage);

/* Closes the connection, so that the response does not look complete. */
void inbound_abort_response(inbound_t *inbound);

/* Sends a complete response that this host generates; body is copied. */
void inbound_respond(h2o_req_t *req, uint32_t status, const char *content_type,
                     const char *body, size_t length);

#endif
