/*
 * private.h - the node's state and the functions that its modules share.
 *
 * A step_t is the context of one node_step(): the node, the time, and the
 * list that actions are appended to.
 */
#ifndef POLICY_PRIVATE_H
#define POLICY_PRIVATE_H

#include <syslog.h>

#include "policy/claim_queue.h"
#include "policy/config.h"
#include "policy/record_store.h"
#include "policy/member.h"
#include "policy/node.h"
#include "policy/queue.h"
#include "policy/runners.h"
#include "policy/session.h"
#include "policy/config_sync.h"
#include "policy/timers.h"

enum {
    US_PER_MS = 1000,
    RETRY_AFTER_MIN_MS = 100,
};

struct node {
    start_event_t start; /* the node owns the strings */
    bool started;
    bool ready; /* all documents have been read from the store */
    bool draining;
    bool stopped;
    uint64_t next_session;
    uint64_t next_stream;
    uint64_t next_lookup_id;
    config_documents_t config;
    membership_t *membership;
    config_sync_t *sync;
    claim_queue_t *claims;
    suspects_t *suspects;
    record_store_t *record_store;
    action_list_t scratch; /* temporary; valid until the next step */
    runners_t runners;
    session_t *sessions; /* by id */
    session_t *by_name;
    session_t *by_caller;
    attempt_t *by_stream;
    queue_t queue;
    size_t active_sessions; /* sessions neither finished nor refused */
    timers_t timers;
    int64_t timer_set_us; /* of the last ACTION_SET_TIMER; INT64_MAX: none */
    node_counters_t counters;
};

typedef struct {
    node_t *node;
    int64_t now_us;
    action_list_t *actions;
} step_t;

/* intake.c: arriving requests and disconnecting callers. */
void intake_request(step_t *step, const request_event_t *request);
void intake_start_session(step_t *step, session_t *session);
void intake_caller_disconnected(step_t *step, uint64_t caller);

/* caller.c: answers and refusals to callers. */
void caller_attach(step_t *step, session_t *session, uint64_t caller,
                   uint32_t position, uint64_t hash);
void caller_detach(step_t *step, session_t *session);
void caller_send(step_t *step, session_t *session);
bool caller_hash_matches(const session_t *session);
bool caller_matches_record(const session_t *session, const record_t *record);
bool caller_position_missed(const session_t *session);
void caller_refuse(step_t *step, uint64_t caller, refusal_t refusal,
                   execution_t run, uint32_t retry_after_ms,
                   const char *message);

/* session.c: creation, state changes and timeouts of sessions. */
session_t *session_new(step_t *step, const request_event_t *request,
                       const char *organisation, const char *run);
void session_free(step_t *step, session_t *session);
session_t *session_find(node_t *node, const char *organisation,
                        const char *key, const char *run);
void session_set_state(step_t *step, session_t *session,
                       session_state_t state);
void session_finish(step_t *step, session_t *session);
void session_refuse(step_t *step, session_t *session, refusal_t refusal,
                    execution_t run, uint32_t retry_after_ms,
                    const char *message);
void session_refuse_expired_claim(step_t *step, session_t *session);
void session_set_timer(step_t *step, session_t *session);
void session_release_body(step_t *step, session_t *session);
void session_set_prompt(session_t *session, const uint32_t *ids,
                        uint32_t count);
void session_handle_timeout(step_t *step, session_t *session);

/* suspecting.c: sessions whose content may crash engines. */
void suspecting_init(step_t *step);
void suspecting_handle_loss(step_t *step, const attempt_t *attempt,
                            const loss_event_t *loss);
bool suspecting_refuse_blocked(step_t *step, session_t *session);
bool suspecting_may_start(const step_t *step, const session_t *session);
void suspecting_restrict_query(const step_t *step, const session_t *session,
                               runner_query_t *query);
void suspecting_evaluate(step_t *step);

/* queue.c: sessions that wait for a runner. */
void queue_add_session(step_t *step, session_t *session);
void queue_remove(step_t *step, session_t *session);
void queue_start_sessions(step_t *step);
bool queue_take_retry_budget(step_t *step, const session_t *session);

/* attempt.c: streams at backend servers. */
attempt_t *attempt_new(step_t *step, session_t *session,
                       runner_state_t *runner);
attempt_t *attempt_open(step_t *step, session_t *session,
                        runner_state_t *runner, bool concurrent);
void attempt_reattach(step_t *step, attempt_t *attempt);
void attempt_cancel(step_t *step, attempt_t *attempt);
void attempt_drop(step_t *step, attempt_t *attempt);
attempt_t *attempt_find(const node_t *node, uint64_t stream);
size_t attempt_live_count(const session_t *session);

/* stream.c: data from backend servers. */
void stream_handle_chunk(step_t *step, const chunk_event_t *chunk);
void stream_handle_end(step_t *step, const stream_end_event_t *end);
void stream_handle_reply(step_t *step, const reply_event_t *reply);

/* resume.c: lost and silent streams. */
void resume_handle_loss(step_t *step, const loss_event_t *loss);
void resume_check_silence(step_t *step, session_t *session);
int64_t resume_silence_due_us(const node_t *node, const attempt_t *attempt);
void resume_if_no_attempt(step_t *step, session_t *session,
                          const runner_state_t *lost);
void resume_on_new_attempt(step_t *step, session_t *session,
                           const runner_state_t *lost);

/* claiming.c: non-idempotent requests and their claims. */
void claiming_init(node_t *node);
void claiming_request_claim(step_t *step, session_t *session);
bool claiming_may_start(step_t *step, session_t *session);
void claiming_mark_not_run(step_t *step, const session_t *session);
void claiming_release(step_t *step, session_t *session);
void claiming_handle_results(step_t *step,
                             const claim_results_event_t *answer);
void claiming_send_due(step_t *step);

/* replication.c: replication of session records to a replica host. */
uint64_t request_name_hash(const char *organisation, const char *key);
void replication_start(step_t *step, session_t *session);
void replication_update(step_t *step, session_t *session);
void replication_end(step_t *step, session_t *session, record_state_t state);
void replication_handle_gap(step_t *step, const char *from,
                            const record_position_t *gap);
void replication_handle_ack(step_t *step, const char *from,
                            const record_position_t *ack);
void replication_handle_peer_lost(step_t *step, const char *host);
void replication_keep_late_record(step_t *step, const char *from,
                                  const lookup_reply_t *found);
void replication_fill_resume_info(session_t *session,
                                  send_tokens_action_t *action);
void replication_fill_record(step_t *step, const session_t *session,
                             record_t *record);
void replication_copy_record(arena_t *arena, record_t *record);

/* takeover.c: taking over sessions from other hosts. */
void takeover_send_lookups(step_t *step, session_t *session);
void takeover_search_run(step_t *step, session_t *session);
void takeover_not_found(step_t *step, session_t *session);
bool takeover_append_tail(session_t *session);
bool takeover_restore_from_prompt(session_t *session, attempt_t *attempt,
                                  const chunk_event_t *chunk);
void takeover_refuse_lost(step_t *step, session_t *session);
int64_t takeover_deadline_us(const session_t *session);
void takeover_handle_lookup(step_t *step, const char *from,
                            const lookup_t *lookup);
void takeover_handle_found(step_t *step, const char *from,
                           const lookup_reply_t *found);
void takeover_handle_superseded(step_t *step, const superseded_t *superseded);

/* hosts.c: the other hosts and the shared configuration. */
void hosts_init(step_t *step);
void hosts_free(node_t *node);
void hosts_handle_list(step_t *step, const host_list_event_t *hosts);
void hosts_handle_message(step_t *step, const peer_message_event_t *peer);
void hosts_apply_config(step_t *step, const char *from,
                        const config_t *config);
void hosts_announce_leaving(step_t *step);
void hosts_handle_timer(step_t *step);
int64_t hosts_due_us(const node_t *node);

#endif
