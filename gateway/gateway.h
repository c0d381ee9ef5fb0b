/*
 * gateway.h - the tasks of a host that forwards callers' requests.
 *
 * Each task is one file that owns its sockets and its state; gateway.c gives
 * their events to forward_step() one at a time and hands each order to the
 * task that carries it out.  All run on one libuv loop.
 */
#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include "forward/event_stream.h"
#include "forward/follower.h"
#include "forward/forward.h"
#include "gateway/dialect.h"
#include "gateway/mirror.h"
#include "gateway/settings.h"
#include "http/http.h"
#include "kv/kv.h"
#include "kv/presence.h"

typedef struct front front_t;
typedef struct upstreams upstreams_t;
typedef struct inquiries inquiries_t;
typedef struct watcher watcher_t;
typedef struct directory directory_t;
typedef struct meters meters_t;
typedef struct store_relay store_relay_t;
typedef struct peering peering_t;
typedef struct forwarding forwarding_t;

typedef struct gateway {
    uv_loop_t *loop;
    const gateway_settings_t *settings;
    gateway_limits_t limits; /* in force: the settings', until they change */
    const dialect_t *dialect;
    http_client_t *client;
    kv_t *kv;
    forwarding_t *forwarding;
    front_t *front;
    upstreams_t *upstreams;
    inquiries_t *inquiries;
    watcher_t *watcher;
    directory_t *directory;
    peering_t *peering;
    mirror_t *mirror;
    store_relay_t *relay;
    meters_t *meters;
    presence_t *presence;
} gateway_t;

/* --- gateway.c: the tasks together --- */

/*
 * Opens the listeners; loop, settings, dialect, client and kv are set.  -1
 * with *err set.  gateway_close() comes after it in any case; it frees the
 * kv and the client, too.
 */
int gateway_open(gateway_t *gateway, err_t *err);
void gateway_start(gateway_t *gateway);
/* Puts other limits in force. */
void gateway_set_limits(gateway_t *gateway, const gateway_limits_t *limits);
/* Begins to leave; the loop is stopped when nothing is left to do. */
void gateway_drain(gateway_t *gateway);
void gateway_close(gateway_t *gateway);

/* --- forwarding.c: the one place that calls forward_step() --- */

forwarding_t *forwarding_new(gateway_t *gateway);
void forwarding_free(forwarding_t *forwarding);
/* Steps; an event that is raised while orders are carried out waits. */
void forwarding_event(gateway_t *gateway, const forward_event_t *event);
/* gateway->limits have changed. */
void forwarding_limits(gateway_t *gateway);
const forward_t *forwarding_state(const gateway_t *gateway);
/* Microseconds; goes on while the process is stopped or suspended. */
int64_t gateway_now_us(void);

/* --- front.c: listeners, callers and their answers --- */

front_t *front_new(gateway_t *gateway, err_t *err);
void front_start(front_t *front);
/* What callers may send, by the routing table. */
void front_limits(front_t *front, const caller_limits_t *limits);
/* Answers from now on end their connections. */
void front_drain(front_t *front);
/* Closes what is idle; true when no connection is left. */
bool front_stop(front_t *front);
void front_free(front_t *front);

/* A request that is under way, as its caller sent it. */
typedef struct {
    const char *method;
    const char *path;  /* with its query */
    headers_t headers; /* without those of one connection */
    const char *host;
    const char *body;
    size_t body_bytes;
    const char *id; /* of the caller's */
} caller_request_t;

/* NULL when the caller has gone. */
const caller_request_t *front_request(const front_t *front, uint64_t number);

/* What a runner answered; valid until the call returns. */
typedef struct {
    uint32_t status;
    const headers_t *headers;
    const char *body;
    size_t body_bytes;
} runner_answer_t;

/* A whole answer. */
void front_answer(front_t *front, uint64_t number,
                  const runner_answer_t *answer);
/* A stream: its head, unless it has one; events; its end. */
void front_begin(front_t *front, uint64_t number,
                 const runner_answer_t *answer);
/* Gives the event to the caller unless it has it already. */
bool front_event(front_t *front, uint64_t number, const stream_event_t *event);
void front_finish(front_t *front, uint64_t number);
void front_refuse(front_t *front, uint64_t number,
                  const refuse_action_t *refusal);
/* Cuts the answer off, so that it does not look complete. */
void front_break(front_t *front, uint64_t number);

/* --- upstream.c: sends to runners --- */

upstreams_t *upstreams_new(gateway_t *gateway);
void upstreams_free(upstreams_t *upstreams);
void upstream_send(upstreams_t *upstreams, uint64_t number,
                   const caller_request_t *request, const send_action_t *send);
void upstream_cancel(upstreams_t *upstreams, uint64_t number,
                     uint32_t attempt);
/* Events go to the caller from here on. */
void upstream_pass(upstreams_t *upstreams, uint64_t number, uint32_t attempt);
/* The whole answer of the attempt; false when there is none. */
bool upstream_answer(upstreams_t *upstreams, uint64_t number, uint32_t attempt,
                     runner_answer_t *answer);
void upstream_forget(upstreams_t *upstreams, uint64_t number);
/* --- inquiry.c: what runners are asked beside the callers' requests --- */

inquiries_t *inquiries_new(gateway_t *gateway);
void inquiries_free(inquiries_t *inquiries);
/* A sign of life; FORWARD_PROBE_RESULT follows. */
void inquire_probe(inquiries_t *inquiries, const char *runner,
                   const char *address, uint32_t timeout_ms);
/* To copy a stream's memory; FORWARD_COPY_RESULT follows. */
void inquire_copy(inquiries_t *inquiries, uint64_t number,
                  const copy_action_t *copy);
/* To free the copy. */
void inquire_drop_copy(inquiries_t *inquiries, const free_copy_action_t *drop);

/* --- store_relay.c: what the store holds, told to hosts that follow --- */

store_relay_t *store_relay_new(gateway_t *gateway);
void store_relay_free(store_relay_t *relay);
void store_relay_asked(store_relay_t *relay, const char *host,
                       const store_ask_t *asked);
/* The mirror has changed. */
void store_relay_changed(store_relay_t *relay);

/* --- store_view.c: what the store holds, to those whom it concerns --- */

/* All that it holds. */
void store_view_list(gateway_t *gateway, int64_t revision,
                     const kv_pair_t *pairs, size_t count);
/* A change; create_revision 0: the key is removed. */
void store_view_take(gateway_t *gateway, const kv_pair_t *pair);

/* --- watcher.c: what the store holds, from it or from a host --- */

watcher_t *watcher_new(gateway_t *gateway);
void watcher_free(watcher_t *watcher);
/* The host that this one follows has answered. */
void watcher_told(watcher_t *watcher, const char *host,
                  const store_tell_t *tell);

/* --- directory.c: the addresses that callers may use --- */

directory_t *directory_new(gateway_t *gateway);
void directory_free(directory_t *directory);
/* Where hosts write their addresses, and what this one writes. */
const char *directory_prefix(void);
char *directory_entry(const gateway_t *gateway, arena_t *arena);
/* An entry of the store; value NULL: it is gone. */
void directory_put(directory_t *directory, const char *key, const char *value,
                   size_t value_bytes);
void directory_list_begin(directory_t *directory);
void directory_list_end(directory_t *directory);
size_t directory_count(const directory_t *directory);
/* All hosts, in arena; self: this one, or NULL when it is not among them. */
watcher_candidate_t *directory_hosts(const directory_t *directory,
                                     arena_t *arena, size_t *count,
                                     const watcher_candidate_t **self);
/* The peer address of a host, or NULL. */
const char *directory_peer(const directory_t *directory, const char *host);
/* Calls done with each host but this one that has a peer address. */
void directory_peers(const directory_t *directory,
                     void (*done)(void *context, const char *host,
                                  const char *peer_address),
                     void *context);
/* Appends the answer to a lookup; false: no address is known. */
bool directory_answer(directory_t *directory, const address_lookup_t *lookup,
                      text_t *body);

/* --- meters.c: counters and latency histograms --- */

meters_t *meters_new(void);
void meters_free(meters_t *meters);
/* Counts what an order tells. */
void meters_order(meters_t *meters, const forward_action_t *order);
/* Appends everything in Prometheus' text format. */
void meters_write(meters_t *meters, int64_t contact_age_us, text_t *text);

/* --- peering.c: what hosts tell each other of their streams --- */

/*
 * The hosts share a key that the first of them puts into the store; nothing
 * is told or taken before it is known.
 */
peering_t *peering_new(gateway_t *gateway);
void peering_free(peering_t *peering);
/* Where that key lies in the store. */
const char *peering_key_name(void);
/* It lies there; NULL: the store was read and it is missing. */
void peering_key(peering_t *peering, const char *value, size_t value_bytes);
/* Whether messages can be sent. */
bool peering_ready(const peering_t *peering);
/* Sends one message; what cannot be sent is logged. */
void peering_tell(peering_t *peering, const char *host,
                  const message_t *message);
/* This host's streams have changed: the others are told soon. */
void peering_share(peering_t *peering);

#endif
