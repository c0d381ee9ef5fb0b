/*
 * agated.h - interfaces of the daemon's modules.
 *
 * Each module is one file that owns its sockets and its state.  Modules pass
 * events to the dispatcher, which calls node_step() for one event at a time
 * and passes each resulting action to the module that applies it.  All
 * modules run on one libuv loop.  Each ..._free() accepts NULL.
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
typedef struct levels slo_stats_t;
typedef struct listener listener_t;
typedef struct peers peers_t;

/* The modules of the process; each module reaches the others through it. */
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
    slo_stats_t *levels;
    peers_t *peers;         /* NULL: no peers are configured */
    uint32_t control_calls; /* unfinished calls of the administration API */
} daemon_t;

/* --- daemon.c: starts and stops the modules --- */

/*
 * Performs each startup step that can fail, so that an invalid setting is
 * reported before the daemon serves requests.  daemon->loop and
 * daemon->settings must be set.  Returns 0, or -1 with *err set.
 * daemon_close() must be called in both cases.
 */
int daemon_open(daemon_t *daemon, err_t *err);

/* Starts all modules; requests are served while the loop runs. */
void daemon_start(daemon_t *daemon);
void daemon_close(daemon_t *daemon);

/* --- dispatch.c: the only caller of node_step() --- */

/* Returns NULL with *err set when the event log cannot be opened. */
dispatch_t *dispatch_new(daemon_t *daemon, err_t *err);
void dispatch_free(dispatch_t *dispatch);

/* Steps the node; queues an event that is raised during another step. */
void dispatch_event(dispatch_t *dispatch, const event_t *event);
/* Starts the drain: publishes that the host leaves and tells the node. */
void dispatch_drain(dispatch_t *dispatch);
const node_t *dispatch_node(const dispatch_t *dispatch);

/* Returns the time of the monotonic clock that node_step() is given. */
int64_t dispatch_now_us(void);

/* --- journal.c: the event log, which can be replayed --- */

/* Opens path for writing.  Returns NULL with *err set on failure. */
journal_t *journal_open(const char *path, err_t *err);
/* Writes one step: its time, its event and the digest of its actions. */
void journal_write(journal_t *journal, int64_t now_us, const event_t *event,
                   const action_list_t *actions);
void journal_close(journal_t *journal);

/* One step read from the event log. */
typedef struct {
    int64_t now_us;
    event_t event; /* must be freed with xdr_free() */
    uint64_t digest;
} journal_record_t;

/*
 * Reads the next step.  Returns false at the end of the file and for a
 * record that is incomplete.
 */
bool journal_read(FILE *file, journal_record_t *record);

/* Returns a hash of the encoded actions; it depends on their order. */
uint64_t actions_digest(const action_list_t *actions);

/* Returns the event encoded as XDR; it must be freed with free(). */
char *event_encode(const event_t *event, size_t *length);
/*
 * Decodes an event.  Returns false when the bytes are not a valid event.
 * *event must be freed with xdr_free() in both cases.
 */
bool event_decode(const char *bytes, size_t length, event_t *event);

/* --- listener.c: accepts connections and routes requests --- */

listener_t *listener_new(daemon_t *daemon, err_t *err);
/* Returns the address that callers connect to, with the bound port. */
const char *listener_address(const listener_t *listener);
/*
 * Reloads the TLS certificate and key.  On failure returns -1 with *err set
 * and continues to use the previous ones.
 */
int listener_reload(listener_t *listener, err_t *err);
/* Starts to accept connections. */
void listener_start(listener_t *listener);
/*
 * Stops accepting connections, and stops the loop when the last response has
 * been sent.
 */
void listener_stop(listener_t *listener);
void listener_free(listener_t *listener);

/*
 * Applies ACTION_SEND_TOKENS, ACTION_FINISH, ACTION_REPLY, ACTION_REFUSE,
 * ACTION_FREE_BODY and ACTION_RELAY.
 */
void listener_apply_action(listener_t *listener, const action_t *action);

/* A request body; it is kept until ACTION_FREE_BODY. */
typedef struct {
    const char *method;
    const char *path; /* plain services only */
    const char *content_type;
    const char *bytes;
    size_t length;
} request_body_t;

/*
 * Returns the request body of a caller, valid until ACTION_FREE_BODY, or NULL
 * when there is no such caller.
 */
const request_body_t *listener_find_body(const listener_t *listener,
                                         uint64_t caller);

/* --- backends.c: streams of model engines and plain services --- */

backends_t *backends_new(daemon_t *daemon);
/* Applies ACTION_OPEN_STREAM, ACTION_REATTACH and ACTION_CANCEL_STREAM. */
void backends_apply_action(backends_t *backends, const action_t *action);
void backends_free(backends_t *backends);

/* --- claims.c: claims and releases keys in the platform's store --- */

claims_t *claims_new(daemon_t *daemon);
/* Applies ACTION_CLAIM and ACTION_RELEASE. */
void claims_apply_action(claims_t *claims, const action_t *action);
void claims_free(claims_t *claims);

/* --- documents.c: reads the configuration and the list of hosts --- */

documents_t *documents_new(daemon_t *daemon);
void documents_free(documents_t *documents);

/* --- presence.c: publishes this host's entry in the platform's store --- */

/* Writes the key of this host under a lease. */
presence_t *host_presence_new(daemon_t *daemon);
/* Updates the key of this host: it is leaving. */
void host_presence_set_leaving(daemon_t *daemon);

/* --- peers.c: messages between hosts --- */

peers_t *peers_new(daemon_t *daemon, err_t *err);
/* Returns the address that peers connect to, with the bound port. */
const char *peers_address(const peers_t *peers);
/*
 * Passes the hosts of the settings to the node, so that it can get the
 * configuration from them while the platform is unreachable.
 */
void peers_add_configured(peers_t *peers);
/* Updates the peer addresses of the listed hosts. */
void peers_hosts(peers_t *peers, const host_list_event_t *hosts);
/* Applies ACTION_SEND_MESSAGE. */
void peers_apply_action(peers_t *peers, const action_t *action);
void peers_free(peers_t *peers);

/* --- seed.c: loads files into the in-memory store, for trials --- */

int seed_memory_store(daemon_t *daemon, err_t *err);

/* --- slo_stats.c: service level objectives --- */

/* The target share of requests that meet their objective. */
enum { SLO_TARGET_PPM = 950000, SLO_PERMILLE = 1000 };

typedef struct service_level service_slo_t;

/* Latency of one request; it must be zeroed before request_slo_start(). */
typedef struct {
    service_slo_t *service;           /* NULL: the request is not counted */
    int64_t first_token_objective_us; /* 0: none */
    int64_t token_gap_objective_us;   /* 0: none */
    int64_t arrived_us;
    int64_t first_token_us; /* 0: no token yet */
    int64_t latest_token_us;
    uint32_t gaps;
    uint32_t late_gaps;
} request_slo_t;

slo_stats_t *slo_stats_new(daemon_t *daemon);
void slo_stats_free(slo_stats_t *levels);

void request_slo_start(slo_stats_t *levels, request_slo_t *level,
                       const request_event_t *request);
/* Records that tokens were sent to the caller now. */
void request_slo_record_tokens(request_slo_t *level, uint32_t tokens);
/*
 * Counts a request that has ended: served is true for a complete response and
 * false for a refusal caused by this system.  A response meets its objective
 * when its first token and 19 of 20 token gaps are within their limits.
 */
void request_slo_finish(request_slo_t *level, bool served);

/* Append the metrics, and the response body of GET /admin/v1/burn. */
void slo_stats_write_metrics(slo_stats_t *levels, text_t *text);
void slo_stats_write_json(slo_stats_t *levels, const char *team, text_t *json);

/* --- views.c: read-only pages --- */

typedef struct {
    const char *path;
    const char *credential;
    uint64_t balance_seed; /* differs by caller */
} view_request_t;

typedef struct {
    uint32_t status;
    const char *content_type;
    text_t body;
} view_t;

/*
 * Handles GET /v1/models, /v1/hosts, /healthz and /metrics.  Returns false for
 * any other path.
 */
bool view_write(daemon_t *daemon, const view_request_t *request, view_t *view);

#endif
