/*
 * exchange.h - one HTTP request of a caller and its response.
 *
 * Private to listener.c, exchange.c, relay.c and respond.c.  An exchange_t is
 * freed once h2o has disposed of the request and the decision core has
 * released its body with ACTION_FREE_BODY.
 */
#ifndef AGATED_EXCHANGE_H
#define AGATED_EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include <h2o.h>
#include <uthash.h>

#include "agated/agated.h"
#include "agated/response.h"
#include "agated/request.h"

typedef struct exchange exchange_t;
typedef struct relay relay_t;

struct exchange {
    h2o_generator_t generator; /* first member: h2o passes it to callbacks */
    uint64_t number;
    daemon_t *daemon;
    exchange_t **exchanges; /* the listener's table, keyed by number */
    h2o_req_t *req;         /* NULL after h2o has disposed of it */
    arena_t arena;
    request_input_t input;
    request_body_t body;
    relay_t *relay; /* NULL unless a peer serves the request */
    response_t response;
    request_slo_t level;
    text_t pending; /* output to send after in_flight */
    text_t in_flight;
    bool body_released;   /* the decision core no longer needs the body */
    bool started;         /* the response head has been sent */
    bool sending;         /* h2o is sending in_flight */
    bool finished;        /* further actions are ignored */
    bool output_complete; /* pending is the last output */
    bool aborted;         /* reset when h2o has finished the current send */
    uint32_t references;  /* prevents freeing while above 0 */
    UT_hash_handle hh;
};

/*
 * Parses a request and dispatches EVENT_REQUEST, or sends a refusal if the
 * request is invalid.  Adds the exchange to exchanges, the listener's table.
 */
void exchange_accept(daemon_t *daemon, exchange_t **exchanges, uint64_t number,
                     h2o_req_t *req);

/*
 * Carries out ACTION_SEND_TOKENS, ACTION_FINISH, ACTION_REPLY, ACTION_REFUSE,
 * ACTION_RELAY, ACTION_FREE_BODY.
 */
void exchange_apply_action(exchange_t *exchange, const action_t *action);

/*
 * Cancels the request because the caller closed or half-closed its
 * connection.
 */
void exchange_handle_close(exchange_t *exchange);

/* Returns the caller's socket, or -1 if it does not use HTTP/1. */
int exchange_socket_fd(const exchange_t *exchange);

/* --- relay.c: forwards the request to a peer host --- */

/* Starts forwarding the request to a peer. */
relay_t *relay_new(exchange_t *exchange, const relay_action_t *action);

/* Frees the relay; cancels its call to the peer if it is in progress. */
void relay_free(relay_t *relay);

/* Called by relay.c with the parts of the peer's response. */
void exchange_relay_head(exchange_t *exchange, uint32_t status,
                         const char *content_type, uint32_t retry_after_ms);
void exchange_relay_body(exchange_t *exchange, const char *bytes,
                         size_t length);
void exchange_relay_end(exchange_t *exchange, http_result_t result);

/* --- respond.c --- */

/* Adds a response header.  Both strings are copied. */
void add_response_header(h2o_req_t *req, const char *name, const char *value);

/* Returns the reason phrase of an HTTP status. */
const char *status_reason(uint32_t status);

/* Sends a complete response with the given body. */
void respond(h2o_req_t *req, uint32_t status, const char *content_type,
             const char *body, size_t length);
void respond_refusal(h2o_req_t *req, const refuse_request_action_t *refusal);

/* Copies the value of a request header to arena; NULL if it is absent. */
const char *copy_request_header(h2o_req_t *req, arena_t *arena,
                                const char *name);

#endif
