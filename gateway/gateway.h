/*
 * gateway.h - the modules of a host that forwards callers' requests.
 *
 * Each module is one file that owns its sockets and its state.  forwarding.c
 * passes their events to forward_step() one at a time and has the responsible
 * module execute each action that it returns.  All modules run on one libuv
 * loop.
 */
#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include "forward/event_stream.h"
#include "forward/follower.h"
#include "forward/forward.h"
#include "forward/spread.h"
#include "gateway/dialect.h"
#include "gateway/mirror.h"
#include "gateway/settings.h"
#include "gateway/store_feed.h"
#include "gateway/store_intake.h"
#include "http/http.h"
#include "kv/kv.h"
#include "kv/presence.h"
#include "peer/wire.h"

typedef struct front front_t;
typedef struct upstreams upstreams_t;
typedef struct runner_calls runner_calls_t;
typedef struct watcher watcher_t;
typedef struct directory directory_t;
typedef struct meters meters_t;
typedef struct store_relay store_relay_t;
typedef struct peering peering_t;
typedef struct forwarding forwarding_t;
typedef struct records records_t;

typedef struct gateway {
    uv_loop_t *loop;
    const gateway_settings_t *settings;
    gateway_limits_t limits; /* in force; initially those of settings */
    const dialect_t *dialect;
    http_client_t *client;
    kv_t *kv;
    forwarding_t *forwarding;
    front_t *front;
    upstreams_t *upstreams;
    runner_calls_t *runner_calls;
    watcher_t *watcher;
    directory_t *directory;
    peering_t *peering;
    mirror_t *mirror;
    store_relay_t *relay;
    meters_t *meters;
    presence_t *presence; /* NULL until the store was read */
    bool draining;
    struct drain *drain; /* NULL: not draining, or at its end */
    records_t *records;
} gateway_t;

/* --- gateway.c: opens, starts, drains and closes all modules --- */

/*
 * Opens the listeners and creates the modules.  The caller has set loop,
 * settings, dialect, client and kv.  Returns -1 with *err set on failure.  In
 * both cases the caller must call gateway_close(), which also frees kv and
 * client.
 */
int gateway_open(gateway_t *gateway, err_t *err);
void gateway_start(gateway_t *gateway);
/* Enters this host into the directory, unless the store has it; revision: of
 * the entry that an earlier incarnation has left, or 0. */
void gateway_register(gateway_t *gateway, int64_t revision);
/* Replaces the limits in force. */
/* Returns how long after the start of a drain requests may last. */
uint32_t gateway_serve_ms(const gateway_limits_t *limits);
void gateway_set_limits(gateway_t *gateway, const gateway_limits_t *limits);
/* Starts draining; stops the loop when no work is left. */
void gateway_drain(gateway_t *gateway);
void gateway_close(gateway_t *gateway);

/* --- forwarding.c: passes events to forward_step(), executes actions --- */

forwarding_t *forwarding_new(gateway_t *gateway);
void forwarding_free(forwarding_t *forwarding);
/*
 * Passes an event to forward_step().  An event that is raised while actions
 * are executed is queued.
 */
void forwarding_handle_event(gateway_t *gateway, const forward_event_t *event);
forward_limits_t forwarding_limits_of(const gateway_limits_t *limits);
/* Applies gateway->limits after a change. */
void forwarding_apply_limits(gateway_t *gateway);
const forward_t *forwarding_state(const gateway_t *gateway);
/* Writes this host's report to the others; see forward_placements(). */
void forwarding_write_placements(gateway_t *gateway, arena_t *arena,
                                 placements_t *placements);
/* Returns a monotonic time that includes time spent stopped or suspended. */
int64_t gateway_now_us(void);

/* --- front.c: listeners, callers' connections and their responses --- */

front_t *front_new(gateway_t *gateway, err_t *err);
void front_start(front_t *front);
/* Sets the limits on callers' requests, from the routing table. */
void front_set_limits(front_t *front, const caller_limits_t *limits);
/* Makes each further response close its connection. */
void front_drain(front_t *front);
/* Closes idle connections; returns true if no connection is left. */
bool front_close_idle(front_t *front);
void front_free(front_t *front);

/* A request in progress, as its caller sent it. */
typedef struct {
    const char *method;
    const char *path;  /* includes the query */
    headers_t headers; /* without hop-by-hop headers */
    const char *host;
    const char *body;
    size_t body_bytes;
    const char *id; /* set by the caller */
} caller_request_t;

/* Returns NULL if the caller has closed its connection. */
const caller_request_t *front_request(const front_t *front, uint64_t number);

/* A runner's response; valid until the call that it is passed to returns. */
typedef struct {
    uint32_t status;
    const headers_t *headers;
    const char *body;
    size_t body_bytes;
    /* What this host has used, for the host that relayed the request. */
    const relay_usage_t *usage;
} runner_response_t;

/* Sends a complete response. */
void front_send_response(front_t *front, uint64_t number,
                         const runner_response_t *answer);
/* Sends the response head of a stream unless it has been sent. */
void front_start_stream(front_t *front, uint64_t number,
                        const runner_response_t *answer);
/* Sends the event to the caller unless it has received it before. */
bool front_send_event(front_t *front, uint64_t number,
                      const stream_event_t *event);
/* Ends a stream as complete. */
void front_end_stream(front_t *front, uint64_t number);
void front_send_refusal(front_t *front, uint64_t number,
                        const refuse_action_t *refusal,
                        const relay_usage_t *usage);
/* Aborts the response, so that the caller sees it as incomplete. */
void front_abort_response(front_t *front, uint64_t number);

/* --- upstream.c: sends requests to runners and to other hosts --- */

upstreams_t *upstreams_new(gateway_t *gateway);
void upstreams_free(upstreams_t *upstreams);
void upstream_send_request(upstreams_t *upstreams, uint64_t number,
                           const caller_request_t *request,
                           const send_action_t *send);
void upstream_cancel(upstreams_t *upstreams, uint64_t number,
                     uint32_t attempt);
/* Passes the events of this attempt to the caller from now on. */
void upstream_start_passthrough(upstreams_t *upstreams, uint64_t number,
                                uint32_t attempt);
/*
 * Stores the complete response of an attempt in *answer.  Returns false if
 * there is none.
 */
bool upstream_get_response(upstreams_t *upstreams, uint64_t number,
                           uint32_t attempt, runner_response_t *answer);
/* Cancels and frees the attempt of a request, if there is one. */
void upstream_release(upstreams_t *upstreams, uint64_t number);

/* --- host_relay.c: headers of requests and responses between hosts --- */

/*
 * Removes the headers of a relay from a request whose id is set.  Returns true
 * if they show that another host relayed it.  *grant is what this host may
 * use; it is empty if the other host did not state it.
 */
bool host_relay_accept(gateway_t *gateway, arena_t *arena,
                       caller_request_t *request, relay_grant_t *grant);
/* Marks a request as relayed by this host; false if no key is known. */
bool host_relay_write_mark(gateway_t *gateway, arena_t *arena,
                           const caller_request_t *request,
                           const relay_grant_t *grant, headers_t *out);
/* Return the headers that tell the relaying host of a refusal, and of what
 * this host has used. */
header_t host_relay_refusal_header(arena_t *arena,
                                   const refuse_action_t *refusal);
header_t host_relay_usage_header(arena_t *arena, const relay_usage_t *usage);
/* Completes the head of a response that the other host itself has made. */
void host_relay_read_refusal(arena_t *arena, const headers_t *headers,
                             forward_response_head_t *head);
/* Reads what the other host has used. */
void host_relay_read_usage(arena_t *arena, const headers_t *headers,
                           relay_usage_t *usage);
/* Removes what callers are not to receive; from_host: another host sent it. */
void host_relay_remove_headers(headers_t *headers, bool from_host);

/* --- runner_calls.c: the gateway's own calls to runners --- */

runner_calls_t *runner_calls_new(gateway_t *gateway);
void runner_calls_free(runner_calls_t *runner_calls);
/* Probes a runner's health; raises FORWARD_PROBE_RESULT when done. */
void runner_call_probe(runner_calls_t *runner_calls, const char *runner,
                       const char *address, uint32_t timeout_ms);
/* Copies a stream's KV cache; raises FORWARD_COPY_RESULT when done. */
void runner_call_copy(runner_calls_t *runner_calls, uint64_t number,
                      const copy_action_t *copy);
/* Has a runner free a copy of a KV cache. */
void runner_call_free_copy(runner_calls_t *runner_calls,
                           const free_copy_action_t *drop);

/* --- records.c: writes records to the store --- */

records_t *records_new(gateway_t *gateway);
void records_free(records_t *records);
/* Writes or removes a key; raises FORWARD_PUT_RESULT when done. */
void records_put(records_t *records, const forward_record_t *record);
/* Writes the status of a roll-out; raises FORWARD_ROLLOUT_WRITTEN when done.
 */
void records_put_status(records_t *records, const rollout_status_t *status);
/* Reads such a status; create_revision 0: it does not exist. */
void records_read_status(const gateway_t *gateway, arena_t *arena,
                         const kv_pair_t *pair, rollout_status_t *status);

/* --- store_relay.c: sends changes of the store to hosts that poll --- */

store_relay_t *store_relay_new(gateway_t *gateway);
void store_relay_free(store_relay_t *relay);
void store_relay_handle_poll(store_relay_t *relay, const char *host,
                             const store_poll_t *poll);
void store_relay_handle_fetch(store_relay_t *relay, const char *host,
                              const store_fetch_t *fetch);
/* Sends what is due after the mirror has changed. */
void store_relay_run(store_relay_t *relay);
const feed_counters_t *store_relay_counters(const store_relay_t *relay);

/* --- store_view.c: passes the store's keys to the modules --- */

/* Replaces all known keys by those of a full read. */
void store_view_load(gateway_t *gateway, int64_t revision,
                     const kv_pair_t *pairs, size_t count);
/* Applies a change; create_revision is 0 if the key was removed. */
void store_view_apply(gateway_t *gateway, const kv_pair_t *pair);

/* --- watcher.c: follows the store by a watch or by polling a host --- */

watcher_t *watcher_new(gateway_t *gateway);
void watcher_free(watcher_t *watcher);
/* Asks the store what has changed, once the current event is handled. */
void watcher_confirm(watcher_t *watcher);
/* Longest age of the contact of a host that is polled, in ms. */
uint32_t watcher_contact_age_max_ms(const gateway_t *gateway);
/* Handle a reply of the host that this one polls; store_changes_t: one of an
 * earlier build. */
void watcher_handle_reply(watcher_t *watcher, const char *host,
                          const store_changes_t *reply);
void watcher_handle_parts(watcher_t *watcher, const char *host,
                          const store_parts_t *parts);
const intake_counters_t *watcher_counters(const watcher_t *watcher);

/* --- directory.c: the addresses of the hosts --- */

directory_t *directory_new(gateway_t *gateway);
void directory_free(directory_t *directory);
/* Return the key prefix of host entries, and the value and the key of this
 * host's. */
const char *directory_prefix(void);
char *directory_own_value(const gateway_t *gateway, arena_t *arena);
char *directory_own_key(const gateway_t *gateway, arena_t *arena);
/* Adds or replaces a host's entry; removes it if value is NULL. */
void directory_update(directory_t *directory, const char *key,
                      const char *value, size_t value_bytes);
/*
 * Bracket a full read of the store: hosts that are not updated in between are
 * removed.
 */
void directory_reload_begin(directory_t *directory);
/* restored: the store went back to an older copy.  The hosts that it lacks are
 * kept for as long as they may take to enter themselves again. */
void directory_reload_end(directory_t *directory, bool restored);
size_t directory_count(const directory_t *directory);
/*
 * Returns all hosts in arena, and in *self this host's element, or NULL if it
 * has none.
 */
watcher_candidate_t *directory_hosts(const directory_t *directory,
                                     arena_t *arena, size_t *count,
                                     const watcher_candidate_t **self);
/* Returns the peer address of a host, "" if it has none; NULL if the host is
 * unknown. */
const char *directory_peer_address(const directory_t *directory,
                                   const char *host);
/* Returns the other hosts that have a peer address, in arena. */
spread_host_t *directory_peers(const directory_t *directory, arena_t *arena,
                               size_t *count);
/* Returns whether callers get the addresses of hosts that reach no runner,
 * because too few hosts reach runners. */
bool directory_lists_isolated(size_t host_count, size_t reaching_count);
/* Appends the response to a lookup; returns false if no address is known. */
bool directory_write_addresses(directory_t *directory,
                               const address_lookup_t *lookup, text_t *body);

/* --- meters.c: counters and latency histograms --- */

meters_t *meters_new(void);
void meters_free(meters_t *meters);
/* Updates the metrics for an action. */
void meters_count_action(meters_t *meters, const forward_action_t *order);
/* Counts a request that another host relayed to this one. */
void meters_count_relay_received(meters_t *meters);
/* Counts a connection closed or refused to stay within the limits. */
void meters_count_closed(meters_t *meters, const char *reason);
void meters_count_response_too_large(meters_t *meters, const char *limit);
/* Sets the bytes of values that other hosts were sent. */
void meters_set_store_sent(meters_t *meters, const feed_counters_t *sent);
/* Sets those of the large values that patches of other hosts have made. */
void meters_set_store_received(meters_t *meters,
                               const intake_counters_t *received);
/* Sets the metrics of roll-outs. */
void meters_set_rollouts(meters_t *meters, const forward_t *forward);
/* Sets what the routing table in force says of keys. */
void meters_set_routing(meters_t *meters, const routing_t *routing);
/* Counts a routing table that could not be read. */
void meters_count_routing_rejected(meters_t *meters);
/* Appends all metrics in the Prometheus text format. */
void meters_write(meters_t *meters, int64_t contact_age_us, text_t *text);

/* --- peering.c: messages between hosts --- */

/*
 * All hosts authenticate messages with a shared key, which the first of them
 * writes to the store.  No message is sent or accepted before the key is
 * known.
 */
peering_t *peering_new(gateway_t *gateway);
void peering_free(peering_t *peering);
/* Returns the name of the store key that holds the shared key. */
const char *peering_key_name(void);
/*
 * Sets the shared key.  If value is NULL, the store has been read and has no
 * such key: creates one.
 */
void peering_set_key(peering_t *peering, const char *value,
                     size_t value_bytes);
/* Returns the shared key; without bytes until it is known. */
wire_key_t peering_key(const peering_t *peering);
/* Returns true if messages can be sent. */
bool peering_ready(const peering_t *peering);
/* Sends a message to a host; logs a failure. */
void peering_send(peering_t *peering, const char *host,
                  const message_t *message);
/* Schedules a broadcast of this host's streams after a change. */
void peering_schedule_broadcast(peering_t *peering);

#endif
