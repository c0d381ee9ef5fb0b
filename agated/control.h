/*
 * control.h - the administration API, /admin/v1.
 *
 * Private to control.c (routes and roles), control_views.c (GET requests),
 * control_put.c (writes documents), control_propagation.c (waits until all
 * hosts have applied a document) and control_history.c (former revisions).  A
 * control_call_t is one request.  It outlives the connection while a call to
 * the store is pending.
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
    CONTROL_PRECONDITION_REQUIRED = 428,
    CONTROL_UNAVAILABLE = 503
};

typedef struct control_request_ref control_request_ref_t;

typedef struct {
    daemon_t *daemon;
    h2o_req_t *req; /* NULL once the connection is closed */
    control_request_ref_t *request_ref;
    arena_t arena;
    role_t role;
    const char *principal; /* name of the operator, team or organisation */
    const char *service;   /* from the path, or NULL */
    const char *if_match;
    const char *body;
    size_t body_bytes;
} control_call_t;

/* Handles a request under /admin/v1/. */
void control_handle_request(daemon_t *daemon, h2o_req_t *req);

/* Responds with json, and frees json and the call. */
void control_respond(control_call_t *call, uint32_t status, text_t *json);

/*
 * Responds with an error object and frees the call.  run is "not-run", "ran"
 * or "unknown", as in refusals.
 */
void control_error(control_call_t *call, uint32_t status, const char *kind,
                   const char *run, const char *message);

/* --- control_views.c --- */

void control_get_fleet(control_call_t *call);
void control_list_services(control_call_t *call);
void control_get_service(control_call_t *call);
void control_list_hosts(control_call_t *call);
void control_list_runners(control_call_t *call);
void control_list_requests(control_call_t *call);
void control_get_burn_rates(control_call_t *call);
void control_drain(control_call_t *call);

/* Returns the document in force, or NULL. */
const node_config_view_t *control_find_document(control_call_t *call,
                                                const char *key);

/* Returns whether the caller may read the document: a team only its own. */
bool control_may_read(control_call_t *call, const node_config_view_t *config);

/* --- control_put.c --- */

void control_put_fleet(control_call_t *call);
void control_put_service(control_call_t *call);
void control_check_fleet(control_call_t *call);
void control_check_service(control_call_t *call);

/* --- control_propagation.c --- */

/*
 * Responds when all live hosts have this revision of key in force, or after
 * a timeout.
 */
void control_await_propagation(control_call_t *call, const char *key,
                               int64_t revision);

/* --- control_history.c --- */

void control_list_history(control_call_t *call);

/* Deletes the oldest history entries of a document. */
void history_prune(daemon_t *daemon, const char *name);

/* Returns the history key of the document that replaced this revision. */
char *history_key(arena_t *arena, const char *name, int64_t replaced);

#endif
