/* suspecting.c - restricts sessions whose content may crash engines. */
#include <string.h>

#include "policy/private.h"

static size_t count_matching_streams(const node_t *node,
                                     const session_t *session);
static void refuse_harmful(step_t *step, session_t *session);
static void refuse_blocked_sessions(step_t *step, uint64_t fingerprint);
static void send_report_to_peers(step_t *step, const suspect_report_t *report);

void
suspecting_init(step_t *step)
{
    step->node->suspects = suspects_new(step->now_us, &suspect_limits_default);
}

/*
 * Whether the loss of the attempt's stream indicates an engine crash: its
 * connection was reset and an attempt to reattach to the stream failed.  An
 * engine that was not reached in time (LOSS_UNREACHED) may only be paused.
 */
static bool
engine_crashed(const attempt_t *attempt, const loss_event_t *loss)
{
    return attempt->reattached && !attempt->session->service &&
           (loss->kind == LOSS_RESET || loss->kind == LOSS_NOT_SENT);
}

void
suspecting_handle_loss(step_t *step, const attempt_t *attempt,
                       const loss_event_t *loss)
{
    const runner_state_t *lost = attempt->runner;
    const runner_state_t *runner;
    int64_t run_time_us = step->now_us - attempt->opened_us;
    suspect_loss_t suspect = {
        .runner = lost->name,
        .zone = lost->zone,
        .fingerprints = &attempt->session->fingerprint,
        .run_time_us = &run_time_us,
        .count = 1,
    };

    if (!engine_crashed(attempt, loss) || !lost->listed) {
        return;
    }
    for (runner = step->node->runners.by_name; runner != NULL;
         runner = runner->hh.next) {
        if (!runner->listed || runner->service) {
            continue;
        }
        suspect.fleet_runners++;
        if (strcmp(runner->zone, lost->zone) == 0) {
            suspect.zone_runners++;
        }
    }
    suspects_add_loss(step->node->suspects, step->now_us, &suspect);
}

/* Refuses the session if its fingerprint is blocked. */
bool
suspecting_refuse_blocked(step_t *step, session_t *session)
{
    if (suspects_decide(step->node->suspects, step->now_us,
                        session->fingerprint, 0) != SUSPECT_BLOCKED) {
        return false;
    }
    refuse_harmful(step, session);
    return true;
}

/* Whether the session may start another stream now. */
bool
suspecting_may_start(const step_t *step, const session_t *session)
{
    const node_t *node = step->node;
    suspect_decision_t decision =
        suspects_decide(node->suspects, step->now_us, session->fingerprint, 0);

    if (decision == SUSPECT_ISOLATED &&
        count_matching_streams(node, session) > 0) {
        decision = SUSPECT_DEFERRED;
    }
    return decision == SUSPECT_UNRESTRICTED || decision == SUSPECT_ISOLATED;
}

/* Asks for a runner without other suspects if the session is one. */
void
suspecting_restrict_query(const step_t *step, const session_t *session,
                          runner_query_t *query)
{
    if (suspects_loss_count(step->node->suspects, session->fingerprint) > 0) {
        query->suspects = step->node->suspects;
        query->fingerprint = session->fingerprint;
    }
}

/* Evaluates losses, reports to peers and ends blocked sessions. */
void
suspecting_evaluate(step_t *step)
{
    node_t *node = step->node;
    bool evaluated = suspects_due_us(node->suspects) <= step->now_us;
    uint64_t fingerprint;
    suspect_report_t report;

    if (evaluated) {
        suspects_step(node->suspects, step->now_us);
    }
    while (suspects_next_report(node->suspects, &report)) {
        send_report_to_peers(step, &report);
    }
    while (suspects_next_blocked(node->suspects, &fingerprint)) {
        node->counters.convicted++;
        actions_append_log(
            step->actions, LOG_WARNING,
            "harmful fingerprint=%016llx hold_ms=%lld",
            (unsigned long long)fingerprint,
            (long long)(suspects_blocked_us(node->suspects, step->now_us,
                                            fingerprint) /
                        US_PER_MS));
        refuse_blocked_sessions(step, fingerprint);
    }
    if (evaluated) {
        queue_start_sessions(step);
    }
}

static size_t
count_matching_streams(const node_t *node, const session_t *session)
{
    const attempt_t *attempt;
    size_t count = 0;

    for (attempt = node->by_stream; attempt != NULL;
         attempt = attempt->hh.next) {
        if (attempt->session->fingerprint == session->fingerprint) {
            count++;
        }
    }
    return count;
}

static void
refuse_harmful(step_t *step, session_t *session)
{
    int64_t held_us = suspects_blocked_us(step->node->suspects, step->now_us,
                                          session->fingerprint);

    session_refuse(step, session, REFUSAL_HARMFUL,
                   session->possible_runs > 0 ? RUN_RAN : RUN_NOT_RUN,
                   (uint32_t)(held_us / US_PER_MS),
                   "each backend server that ran this request died: change "
                   "its content, or send it again after the stated time");
}

static void
refuse_blocked_sessions(step_t *step, uint64_t fingerprint)
{
    session_t *session;
    session_t *next;

    HASH_ITER(hh, step->node->sessions, session, next)
    {
        if (session->fingerprint == fingerprint &&
            session->state < SESSION_FINISHED) {
            refuse_harmful(step, session);
        }
    }
}

static void
send_report_to_peers(step_t *step, const suspect_report_t *report)
{
    size_t count;
    const member_view_t *hosts = member_list(
        step->node->membership, step->now_us, &step->actions->arena, &count);

    for (size_t i = 0; i < count; i++) {
        send_message_action_t *send_message;

        if (hosts[i].self || hosts[i].state == MEMBER_DEAD) {
            continue;
        }
        send_message = &actions_append(step->actions, ACTION_SEND_MESSAGE)
                            ->action_t_u.send_message;
        send_message->host =
            arena_strdup(&step->actions->arena, hosts[i].host);
        send_message->message.kind = MESSAGE_SUSPECT;
        send_message->message.message_t_u.suspect = *report;
    }
}
