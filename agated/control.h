/*
 * control.h - the administration API, /admin/v1.
 *
 * Private to control.c (routes and roles), control_views.c (what is read),
 * control_put.c (documents that are changed), control_spread.c (until they
 * are in force) and control_history.c.  A control_call_t is one request; it
 * outlives its connection when the store is still at work.
 */
#ifndef AGATED_CONTROL_H
#define AGATED_CONTROL_H

#include <stdbool.h>
#include <stdint.h>

#include <h2o.h>

#include "agated/agated.h"

enum {
    CONTROL_OK = 200,
    CONTROL_BAD_REQUEST = 400,
    CONTROL_UNAUTHORISED = 401,
    CONTROL_FORBIDDEN = 403,
    CONTROL_NOT_FOUND = 404,
    CONTROL_CONFLICT = 409,
    CONTROL_UNPROCESSABLE = 422,
    CONTROL_PRECONDITION = 428,
    CONTROL_UNAVAILABLE = 503
};

typedef struct control_tie control_tie_t;

typedef struct {
    daemon_t *daemon;
    h2o_req_t *req; /* NULL once the connection is gone */
    control_tie_t *tie;
    arena_t arena;
    role_t role;
    const char *caller;  /* the operator's, team's or organisation's name */
    const char *service; /* in the path, or NULL */
    const char *if_match;
    const char *body;
    size_t body_bytes;
} control_call_t;

/* Takes in a request under /admin/v1/. */
void control_request(daemon_t *daemon, h2o_req_t *req);

/* Answers with JSON, empties it, and frees the call. */
void control_answer(control_call_t *call, uint32_t status, text_t *json);

/* The same with an error of the one shape; run as in refusals. */
void control_error(control_call_t *call, uint32_t status, const char *kind,
                   const char *run, const char *message);

/* --- control_views.c --- */

void control_get_fleet(control_call_t *call);
void control_list_services(control_call_t *call);
void control_get_service(control_call_t *call);
void control_list_hosts(control_call_t *call);
void control_list_runners(control_call_t *call);
void control_list_requests(control_call_t *call);
void control_burn(control_call_t *call);
void control_drain(control_call_t *call);

/* The document in force, or NULL. */
const node_config_view_t *control_document(control_call_t *call,
                                           const char *key);

/* Whether the document is the caller's own, or the caller an operator. */
bool control_may_read(control_call_t *call, const node_config_view_t *config);

/* --- control_put.c --- */

void control_put_fleet(control_call_t *call);
void control_put_service(control_call_t *call);
void control_check_fleet(control_call_t *call);
void control_check_service(control_call_t *call);

/* --- control_spread.c --- */

/* Answers when all hosts have this revision of key in force, or late. */
void control_await_spread(control_call_t *call, const char *key,
                          int64_t revision);

/* --- control_history.c --- */

void control_list_history(control_call_t *call);

/* Deletes all but the latest entries of this document's history. */
void history_prune(daemon_t *daemon, const char *name);

/* The key of the document that replaced the one of this revision. */
char *history_key(arena_t *arena, const char *name, int64_t replaced);

#endif
