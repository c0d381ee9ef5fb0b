/*
 * private.h - the node's state, and what its parts offer each other.
 *
 * A step_t travels through one node_step(): the node, the time, and where
 * orders go.
 */
#ifndef POLICY_PRIVATE_H
#define POLICY_PRIVATE_H

#include <syslog.h>

#include "policy/claim_queue.h"
#include "policy/config.h"
#include "policy/keep.h"
#include "policy/member.h"
#include "policy/node.h"
#include "policy/queue.h"
#include "policy/runners.h"
#include "policy/session.h"
#include "policy/spread.h"
#include "policy/timers.h"

enum {
    US_PER_MS = 1000,
    REASSURE_MS = 100, /* the least Retry-After that is given */
};

struct node {
    start_event_t start; /* strings are the node's own */
    bool started;
    bool ready; /* the documents in force are all that there are */
    bool draining;
    bool stopped;
    uint64_t next_session;
    uint64_t next_stream;
    uint64_t next_ask;
    config_set_t config;
    member_t *member;
    spread_t *spread;
    claim_queue_t *claims;
    suspects_t *suspects;
    keep_t *keep;
    order_list_t scratch; /* orders made aside; valid until the next step */
    runners_t runners;
    session_t *sessions; /* by id */
    session_t *by_name;
    session_t *by_caller;
    attempt_t *by_stream;
    queue_t queue;
    size_t active; /* sessions that are neither finished nor refused */
    timers_t timers;
    int64_t timer_set_us; /* the last ORDER_TIMER; INT64_MAX: none */
    node_counters_t counters;
};

typedef struct {
    node_t *node;
    int64_t now_us;
    order_list_t *orders;
} step_t;

/* intake.c: a request arrives, or its caller leaves. */
void intake_request(step_t *step, const request_event_t *request);
void intake_start(step_t *step, session_t *session);
void intake_caller_gone(step_t *step, uint64_t caller);

/* caller.c: what the present caller of a session is told. */
void caller_attach(step_t *step, session_t *session, uint64_t caller,
                   uint32_t position, uint64_t hash);
void caller_detach(step_t *step, session_t *session);
void caller_give(step_t *step, session_t *session);
bool caller_agrees(const session_t *session);
bool caller_is_lost(const session_t *session);
void caller_refuse(step_t *step, uint64_t caller, refusal_t refusal, run_t run,
                   uint32_t retry_after_ms, const char *message);

/* session.c: a session's life. */
session_t *session_new(step_t *step, const request_event_t *request,
                       const char *organisation, const char *run);
void session_free(step_t *step, session_t *session);
session_t *session_find(node_t *node, const char *organisation,
                        const char *key, const char *run);
void session_enter(step_t *step, session_t *session, session_state_t state);
void session_finish(step_t *step, session_t *session);
void session_refuse(step_t *step, session_t *session, refusal_t refusal,
                    run_t run, uint32_t retry_after_ms, const char *message);
void session_refuse_claim(step_t *step, session_t *session);
void session_schedule(step_t *step, session_t *session);
void session_forget_body(step_t *step, session_t *session);
void session_keep_prompt(session_t *session, const uint32_t *ids,
                         uint32_t count);
void session_due(step_t *step, session_t *session);

/* suspecting.c: sessions whose content may kill engines. */
void suspecting_start(step_t *step);
void suspecting_loss(step_t *step, const attempt_t *attempt,
                     const loss_event_t *loss);
bool suspecting_refuses(step_t *step, session_t *session);
bool suspecting_allows(const step_t *step, const session_t *session);
void suspecting_wish(const step_t *step, const session_t *session,
                     wish_t *wish);
void suspecting_step(step_t *step);

/* queue.c: sessions that wait for a runner. */
void queue_session(step_t *step, session_t *session);
void queue_remove(step_t *step, session_t *session);
void queue_pump(step_t *step);
bool queue_may_retry(step_t *step, const session_t *session);

/* attempt.c: streams at backend servers. */
attempt_t *attempt_new(step_t *step, session_t *session,
                       runner_state_t *runner);
attempt_t *attempt_open(step_t *step, session_t *session,
                        runner_state_t *runner, bool beside);
void attempt_reattach(step_t *step, attempt_t *attempt);
void attempt_cancel(step_t *step, attempt_t *attempt);
void attempt_drop(step_t *step, attempt_t *attempt);
attempt_t *attempt_find(const node_t *node, uint64_t stream);
size_t attempts_live(const session_t *session);

/* pieces.c: what backend servers send. */
void pieces_piece(step_t *step, const piece_event_t *piece);
void pieces_end(step_t *step, const end_event_t *end);
void pieces_reply(step_t *step, const reply_event_t *reply);

/* resume.c: losses and silence. */
void resume_loss(step_t *step, const loss_event_t *loss);
void resume_silence(step_t *step, session_t *session);
int64_t resume_silence_due_us(const node_t *node, const attempt_t *attempt);
void resume_without(step_t *step, session_t *session,
                    const runner_state_t *lost);
void resume_elsewhere(step_t *step, session_t *session,
                      const runner_state_t *lost);

/* claiming.c: non-idempotent requests and their claims. */
void claiming_start(node_t *node);
void claiming_wait(step_t *step, session_t *session);
bool claiming_may_start(step_t *step, session_t *session);
void claiming_not_run(step_t *step, const session_t *session);
void claiming_drop(step_t *step, session_t *session);
void claiming_answer(step_t *step, const claimed_event_t *answer);
void claiming_step(step_t *step);

/* record.c: what a keeper is told of this host's sessions. */
uint64_t record_hash(const char *organisation, const char *key);
void record_start(step_t *step, session_t *session);
void record_grown(step_t *step, session_t *session);
void record_ended(step_t *step, session_t *session, record_state_t state);
void record_gap(step_t *step, const char *from, const record_gap_t *gap);
void record_held(step_t *step, const char *from, const record_gap_t *held);
void record_tail(session_t *session, give_order_t *give);
void record_whole(step_t *step, const session_t *session, record_t *record);
void record_copy(arena_t *arena, record_t *record);

/* takeover.c: sessions that go from host to host. */
void takeover_ask(step_t *step, session_t *session);
void takeover_none(step_t *step, session_t *session);
bool takeover_bridge(session_t *session);
bool takeover_recover(session_t *session, attempt_t *attempt,
                      const piece_event_t *piece);
void takeover_lost(step_t *step, session_t *session);
int64_t takeover_due_us(const session_t *session);
void takeover_lookup(step_t *step, const char *from, const lookup_t *lookup);
void takeover_found(step_t *step, const found_t *found);
void takeover_superseded(step_t *step, const superseded_t *superseded);

/* hosts.c: the other hosts, and the configuration that they share. */
void hosts_start(step_t *step);
void hosts_free(node_t *node);
void hosts_listed(step_t *step, const hosts_event_t *hosts);
void hosts_message(step_t *step, const peer_event_t *peer);
void hosts_config(step_t *step, const char *from, const config_t *config);
void hosts_leave(step_t *step);
void hosts_timer(step_t *step);
int64_t hosts_due_us(const node_t *node);

#endif
