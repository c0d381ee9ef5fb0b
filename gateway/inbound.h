/*
 * inbound.h - one request of a caller and the answer that goes back.
 *
 * Private to front.c and inbound.c.  A inbound_t lives as long as its HTTP
 * exchange.
 */
#ifndef GATEWAY_INBOUND_H
#define GATEWAY_INBOUND_H

#include <h2o.h>
#include <uthash.h>

#include "gateway/gateway.h"

typedef struct inbound {
    h2o_generator_t generator; /* first: h2o calls back with it */
    uint64_t number;
    gateway_t *gateway;
    h2o_req_t *req;
    arena_t arena;
    caller_request_t request;
    int64_t last_event_id; /* given to the caller; -1: none */
    text_t gathered;       /* to be sent when what is in flight has left */
    text_t inflight;
    bool begun;   /* the response has been started */
    bool sending; /* h2o holds inflight */
    bool last;    /* nothing follows what has been gathered */
    bool over;    /* answered, refused or broken off: nobody waits for it */
    bool broken;  /* to be cut off as soon as h2o is idle */
    UT_hash_handle hh;
} inbound_t;

/* Takes in a request and raises FORWARD_REQUEST, or refuses it. */
void inbound_accept(gateway_t *gateway, inbound_t **table, uint64_t number,
                    h2o_req_t *req);

/* Its connection was closed by the other side. */
void inbound_cut(inbound_t *caller);
int inbound_socket(const inbound_t *caller);

void inbound_answer(inbound_t *caller, const runner_answer_t *answer);
void inbound_begin(inbound_t *caller, const runner_answer_t *answer);
bool inbound_event(inbound_t *caller, const stream_event_t *event);
void inbound_finish(inbound_t *caller);
void inbound_refuse(inbound_t *caller, const refuse_action_t *refusal);
void inbound_break(inbound_t *caller);

/* A whole answer of this host's own; body is copied. */
void inbound_respond(h2o_req_t *req, uint32_t status, const char *content_type,
                     const char *body, size_t length);

#endif
