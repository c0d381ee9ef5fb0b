/*
 * agated.h - the tasks of the daemon and the messages between them.
 *
 * Each task is one file that owns its sockets and its state.  Events go to
 * the dispatcher, which gives them to node_step() one at a time and hands
 * each action to the task that carries it out.  All run on one libuv loop.
 * Each ..._free() takes NULL, too.
 */
#ifndef AGATED_AGATED_H
#define AGATED_AGATED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <uv.h>

#include "agated/position.h"
#include "agated/settings.h"
#include "base/backoff.h"
#include "base/random.h"
#include "base/text.h"
#include "http/http.h"
#include "kv/kv.h"
#include "kv/presence.h"
#include "policy/node.h"

typedef struct backends backends_t;
typedef struct claims claims_t;
typedef struct dispatch dispatch_t;
typedef struct documents documents_t;
typedef struct journal journal_t;
typedef struct levels levels_t;
typedef struct listener listener_t;
typedef struct peers peers_t;

/* All the tasks of the process, so that each can reach its neighbours. */
typedef struct {
    uv_loop_t *loop;
    const settings_t *settings;
    uint64_t incarnation;
    position_key_t position_key;
    http_client_t *client;
    kv_t *platform;
    dispatch_t *dispatch;
    listener_t *listener;
    backends_t *backends;
    claims_t *claims;
    documents_t *documents;
    presence_t *presence;
    levels_t *levels;
    peers_t *peers;         /* NULL: a host without peers */
    uint32_t control_calls; /* of the administration API, under way */
} daemon_t;

/* --- daemon.c: the tasks together --- */

/*
 * Opens all that can fail, so that a wrong setting is told before any work;
 * loop and settings are set.  -1 with *err set.  daemon_close() comes after
 * it in any case.
 */
int daemon_open(daemon_t *daemon, err_t *err);

/* Starts to serve; listening goes on when the loop runs. */
void daemon_start(daemon_t *daemon);
void daemon_close(daemon_t *daemon);

/* --- dispatch.c: the one place that calls node_step() --- */

/* NULL with *err set when the event log cannot be opened. */
dispatch_t *dispatch_new(daemon_t *daemon, err_t *err);
void dispatch_free(dispatch_t *dispatch);

/* Steps the node; an event raised while a step runs waits for its end. */
void dispatch_event(dispatch_t *dispatch, const event_t *event);
/* Begins to leave: tells the store and the node. */
void dispatch_drain(dispatch_t *dispatch);
const node_t *dispatch_node(const dispatch_t *dispatch);

/* Microseconds of the monotonic clock, as node_step() sees them. */
int64_t dispatch_now_us(void);

/* --- journal.c: the log of events, to be replayed --- */

/* Opens path for writing; NULL with *err set when that fails. */
journal_t *journal_open(const char *path, err_t *err);
/* Writes one step: its time, its event and the digest of its actions. */
void journal_write(journal_t *journal, int64_t now_us, const event_t *event,
                   const action_list_t *actions);
void journal_close(journal_t *journal);

/* One step as it was written. */
typedef struct {
    int64_t now_us;
    event_t event; /* to be freed with xdr_free() */
    uint64_t digest;
} journal_record_t;

/* Reads the next step; false at the end of the file. */
bool journal_read(FILE *file, journal_record_t *record);

/* A hash of the actions, byte for byte and in their sequence. */
uint64_t orders_digest(const action_list_t *actions);

/* An event as XDR in fresh memory, to be freed with free(). */
char *event_encode(const event_t *event, size_t *length);
/* The opposite; *event is to be freed with xdr_free(). */
bool event_decode(const char *bytes, size_t length, event_t *event);

/* --- listener.c: accepts connections and routes requests --- */

listener_t *listener_new(daemon_t *daemon, err_t *err);
/* The address that callers connect to, its port resolved. */
const char *listener_address(const listener_t *listener);
/* Reads the TLS certificate and key anew; the old stay when that fails. */
int listener_reload(listener_t *listener, err_t *err);
/* Starts to accept. */
void listener_start(listener_t *listener);
/* Accepts no more, and ends the loop when the last answer is out. */
void listener_stop(listener_t *listener);
void listener_free(listener_t *listener);

/* ACTION_SEND_TOKENS, ACTION_FINISH, ACTION_REPLY, ACTION_REFUSE,
 * ACTION_FREE_BODY. */
void listener_order(listener_t *listener, const action_t *action);

/* A request body that the node has not told us to forget. */
typedef struct {
    const char *method;
    const char *path; /* plain services only */
    const char *content_type;
    const char *bytes;
    size_t length;
} body_t;

/* NULL when there is no such caller; valid until ACTION_FREE_BODY. */
const body_t *listener_body(const listener_t *listener, uint64_t caller);

/* --- backends.c: model engines and plain services --- */

backends_t *backends_new(daemon_t *daemon);
/* ACTION_OPEN_STREAM, ACTION_REATTACH, ACTION_CANCEL_STREAM. */
void backends_order(backends_t *backends, const action_t *action);
void backends_free(backends_t *backends);

/* --- claims.c: at most once, by the platform's compare-and-swap --- */

claims_t *claims_new(daemon_t *daemon);
/* ACTION_CLAIM, ACTION_RELEASE. */
void claims_order(claims_t *claims, const action_t *action);
void claims_free(claims_t *claims);

/* --- documents.c: the operators' configuration and the host list --- */

documents_t *documents_new(daemon_t *daemon);
void documents_free(documents_t *documents);

/* --- presence.c: what this host says of itself to the others --- */

/* The host's own key under a lease. */
presence_t *host_presence_new(daemon_t *daemon);
/* Marks this host as leaving. */
void host_presence_leave(daemon_t *daemon);

/* --- peers.c: what hosts tell each other --- */

peers_t *peers_new(daemon_t *daemon, err_t *err);
/* The address that peers connect to, its port resolved. */
const char *peers_address(const peers_t *peers);
/*
 * Makes the hosts of the settings known to the node, so that it can ask
 * them for the configuration while the platform is not to be reached.
 */
void peers_greet(peers_t *peers);
/* The hosts that may be told something, and their addresses. */
void peers_hosts(peers_t *peers, const host_list_event_t *hosts);
/* ACTION_SEND_MESSAGE. */
void peers_order(peers_t *peers, const action_t *action);
void peers_free(peers_t *peers);

/* --- seed.c: the files of a trial without a platform --- */

int seed_platform(daemon_t *daemon, err_t *err);

/* --- levels.c: how well services keep their objectives --- */

/* The share of requests that should be within their objective. */
enum { LEVELS_TARGET_PPM = 950000, LEVELS_PERMILLE = 1000 };

typedef struct service_level service_level_t;

/* How one request fares; zeroed before level_start(). */
typedef struct {
    service_level_t *service;         /* NULL: not counted */
    int64_t first_token_objective_us; /* 0: none */
    int64_t token_gap_objective_us;   /* 0: none */
    int64_t arrived_us;
    int64_t first_us; /* 0: no token yet */
    int64_t last_us;
    uint32_t gaps;
    uint32_t late_gaps;
} level_t;

levels_t *levels_new(daemon_t *daemon);
void levels_free(levels_t *levels);

void level_start(levels_t *levels, level_t *level,
                 const request_event_t *request);
/* So many more tokens went to the caller now. */
void level_tokens(level_t *level, uint32_t tokens);
/*
 * The answer is over: whole, or refused for a reason of ours.  It is within
 * its objective when its first token was, and 19 in 20 of the gaps after it.
 */
void level_end(level_t *level, bool served);

/* Appends the metrics, and what GET /admin/v1/burn answers. */
void levels_metrics(levels_t *levels, text_t *text);
void levels_json(levels_t *levels, const char *team, text_t *json);

/* --- views.c: what anyone may read --- */

typedef struct {
    const char *path;
    const char *credential;
    uint64_t spread; /* any number that differs by caller */
} view_request_t;

typedef struct {
    uint32_t status;
    const char *content_type;
    text_t body;
} view_t;

/* GET /v1/models, /v1/hosts, /healthz and /metrics; false: no such path. */
bool view_read(daemon_t *daemon, const view_request_t *request, view_t *view);

#endif
