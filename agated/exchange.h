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

struct exchange {
    h2o_generator_t generator; /* first: h2o calls back with it */
    uint64_t number;
    daemon_t *daemon;
    exchange_t **table; /* the listener's, by number */
    h2o_req_t *req;     /* NULL once h2o has disposed of it */
    arena_t arena;
    body_t body;
    response_t response;
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

/* ORDER_GIVE, ORDER_FINISH, ORDER_REPLY, ORDER_REFUSE, ORDER_FORGET. */
void exchange_order(exchange_t *exchange, const order_t *order);

/* The connection was closed or half-closed by the other side. */
void exchange_cut(exchange_t *exchange);

/* The socket of a caller on HTTP/1, or -1. */
int exchange_socket(const exchange_t *exchange);

/* Ends an exchange at once with a whole JSON or text response. */
void respond(h2o_req_t *req, uint32_t status, const char *content_type,
             const char *body, size_t length);
void respond_refusal(h2o_req_t *req, const refuse_order_t *refusal);

/* A request header as a string in arena, or NULL. */
const char *header_copy(h2o_req_t *req, arena_t *arena, const char *name);

#endif
