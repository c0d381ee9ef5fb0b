/*
 * rollouts.h - internal types and functions of roll-outs in forward/.
 *
 * rollouts.c applies orders and records and decides, rollout_routing.c chooses
 * the version that a request is sent to, rollout_evidence.c counts responses.
 */
#ifndef FORWARD_ROLLOUTS_H
#define FORWARD_ROLLOUTS_H

#include <uthash.h>

#include "forward/forward.h"
#include "forward/pool.h"
#include "forward/rollout.h"

typedef struct request request_t;
typedef struct peer_state peer_state_t;

/* What another host has told of a roll-out. */
typedef struct {
    uint64_t service; /* hash of its name */
    int64_t order_revision;
    bool bad;
    canary_evidence_t evidence;
} peer_rollout_t;

/* The roll-out of a service, as this host sees it. */
typedef struct {
    char *service;
    uint64_t service_hash;
    uint64_t version; /* to move to; as in pool_runner_t */
    rollout_t state;
    canary_evidence_t own; /* of this host */
    canary_evidence_t sum; /* of all hosts, at the last check */
    canary_test_t test;
    uint32_t hosts_heard; /* whose evidence is in sum, this one included */
    uint32_t new_runners; /* that may be chosen, at the last check */
    uint32_t old_runners;
    int64_t acted_us; /* since when the new version is excluded; 0: not */
    rollout_phase_t logged_phase;
    int64_t withdraw_us; /* when an order that a restored store lacks is taken
                            as withdrawn; 0: it is there */
    int64_t logged_revision;
    bool order_listed; /* in the full list that is being read */
    bool record_listed;
    bool status_listed;
    UT_hash_handle hh;
} service_rollout_t;

/* Bracket a full read of the store. */
void rollouts_list_begin(forward_t *forward);
void rollouts_list_end(forward_t *forward);
void rollouts_apply_order(forward_t *forward, const rollout_order_t *order);
void rollouts_apply_status(forward_t *forward, const rollout_status_t *status);
void rollouts_status_written(forward_t *forward,
                             const forward_rollout_written_t *written);
bool rollouts_is_record(const char *key);
void rollouts_apply_record(forward_t *forward, const forward_record_t *record);
void rollouts_record_written(forward_t *forward,
                             const forward_put_result_t *result);
/* Draws whether a new request is one for the new version. */
void rollouts_assign(forward_t *forward, request_t *request);
/* Restricts the choice of a runner to the versions that the request may be
 * sent to.  Returns true if that is a preference: rollouts_relax() takes it
 * back where no runner meets it. */
bool rollouts_restrict(const forward_t *forward, const request_t *request,
                       pool_query_t *query);
void rollouts_relax(const forward_t *forward, const request_t *request,
                    pool_query_t *query);
/* Returns whether a stream to which the new version has responded with an
 * error may be sent to another runner. */
bool rollouts_may_retry(const forward_t *forward, const request_t *request);
/* Count a send, the first event of a stream, and a whole response. */
void rollouts_count_send(forward_t *forward, const request_t *request);
void rollouts_count_event(forward_t *forward, request_t *request);
void rollouts_count_response(forward_t *forward, request_t *request,
                             bool failed);
/* Process what another host has told, and write that for a report. */
void rollouts_receive(forward_t *forward, peer_state_t *view,
                      const placements_t *placements);
void rollouts_write(const forward_t *forward, arena_t *arena,
                    placements_t *placements);
/* Decides on all roll-outs; due at rollouts_due_us. */
void rollouts_check(forward_t *forward);
void rollouts_free(forward_t *forward);
/* Returns the roll-out of the request's service, or NULL. */
service_rollout_t *rollouts_of_request(const forward_t *forward,
                                       const request_t *request);
/* Adds up the evidence of all hosts, and sets what they have told in view. */
void rollouts_sum_evidence(const forward_t *forward, service_rollout_t *entry,
                           rollout_view_t *view);
/* Counts requests that still wait for their response after the time in which
 * others get one. */
void rollouts_count_slow(forward_t *forward, service_rollout_t *entry);

#endif
