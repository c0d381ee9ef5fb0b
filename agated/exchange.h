/*
 * exchange.h - one request of a caller and the answer that goes back.
 *
 * Private to listener.c and exchange.c.  A exchange_t is freed when its HTTP
 * exchange is over and the node has forgotten its body.
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
    h2o_generator_t generator; /* first: h2o calls back with it */
    uint64_t number;
    daemon_t *daemon;
    exchange_t **table; /* the listener's, by number */
    h2o_req_t *req;     /* NULL once h2o has disposed of it */
    arena_t arena;
    request_input_t input;
    body_t body;
    relay_t *relay; /* NULL: the answer is the node's */
    response_t response;
    level_t level;
    text_t gathered; /* to be sent when what is in flight has left */
    text_t inflight;
    bool forgotten; /* the node needs the body no more */
    bool begun;     /* the response has been started */
    bool sending;   /* h2o holds inflight */
    bool over;      /* the node's orders for it are done with */
    bool last;      /* nothing follows what has been gathered */
    bool broken;    /* to be cut off as soon as h2o is idle */
    uint32_t pins;  /* not to be freed while above 0 */
    UT_hash_handle hh;
};

/*
 * Takes in a request and raises EVENT_REQUEST, or refuses it by itself.
 * table is the listener's table of callers.
 */
void exchange_accept(daemon_t *daemon, exchange_t **table, uint64_t number,
                     h2o_req_t *req);

/*
 * ACTION_SEND_TOKENS, ACTION_FINISH, ACTION_REPLY, ACTION_REFUSE,
 * ACTION_RELAY, ACTION_FREE_BODY.
 */
void exchange_order(exchange_t *exchange, const action_t *action);

/* The connection was closed or half-closed by the other side. */
void exchange_cut(exchange_t *exchange);

/* The socket of a caller on HTTP/1, or -1. */
int exchange_socket(const exchange_t *exchange);

/* --- relay.c: the answer is a peer's; exchange.c takes its parts --- */

relay_t *relay_new(exchange_t *exchange, const relay_action_t *action);
/* Ends the call to the peer, if it is not over. */
void relay_free(relay_t *relay);

void exchange_pass_head(exchange_t *exchange, uint32_t status,
                        const char *content_type, uint32_t retry_after_ms);
void exchange_pass_body(exchange_t *exchange, const char *bytes,
                        size_t length);
void exchange_pass_end(exchange_t *exchange, http_result_t result);

/* --- respond.c --- */

/* Adds a header to the response; both strings are copied. */
void add_header(h2o_req_t *req, const char *name, const char *value);
const char *reason_of(uint32_t status);

/* Ends an exchange at once with a whole JSON or text response. */
void respond(h2o_req_t *req, uint32_t status, const char *content_type,
             const char *body, size_t length);
void respond_refusal(h2o_req_t *req, const refuse_request_action_t *refusal);

/* A request header as a string in arena, or NULL. */
const char *header_copy(h2o_req_t *req, arena_t *arena, const char *name);

#endif
