/* member_heartbeat.c - sends heartbeats and probes to other hosts. */
#include <string.h>

#include "policy/member_private.h"

/*
 * Delay before this host itself probes a host that it does not monitor and
 * that others report as failed.
 */
enum { REPORTED_PROBE_DELAY_US = 10000000 };

static heartbeat_t make_heartbeat(membership_t *membership,
                                  const member_status_t *status);
static void send_heartbeat(membership_t *membership, const member_host_t *host,
                           const heartbeat_t *heartbeat, bool reply_wanted,
                           action_list_t *actions);
static bool needs_probe(const member_host_t *host, int64_t now_us);
static bool is_probe_candidate(const member_host_t *host, bool dead);
static member_host_t *round_robin_host(membership_t *membership, bool dead,
                                       uint32_t probe_counter);
static void send_probe(membership_t *membership, int64_t now_us,
                       member_host_t *host, const heartbeat_t *heartbeat,
                       action_list_t *actions);
static void send_probes(membership_t *membership, int64_t now_us,
                        const heartbeat_t *heartbeat, action_list_t *actions);
static void send_heartbeats(membership_t *membership, int64_t now_us,
                            const member_status_t *status,
                            action_list_t *actions);

static heartbeat_t
make_heartbeat(membership_t *membership, const member_status_t *status)
{
    heartbeat_t heartbeat;

    memset(&heartbeat, 0, sizeof(heartbeat));
    heartbeat.incarnation = membership->incarnation;
    heartbeat.seqno = membership->sequence;
    heartbeat.leaving = membership->leaving;
    heartbeat.sessions = status->sessions;
    heartbeat.config_revision = status->config_revision;
    heartbeat.config_hash = status->config_hash;
    heartbeat.zone = membership->zone;
    heartbeat.address = membership->address;
    heartbeat.peer_address = membership->peer_address;
    return heartbeat;
}

static void
send_heartbeat(membership_t *membership, const member_host_t *host,
               const heartbeat_t *heartbeat, bool reply_wanted,
               action_list_t *actions)
{
    action_t *action = actions_append(actions, ACTION_SEND_MESSAGE);
    send_message_action_t *send = &action->action_t_u.send_message;

    send->host = arena_strdup(&actions->arena, host->host);
    send->message.kind = MESSAGE_HEARTBEAT;
    send->message.message_t_u.heartbeat = *heartbeat;
    send->message.message_t_u.heartbeat.reply_wanted = reply_wanted;
    membership->counters.heartbeats_sent++;
}

void
heartbeat_reply(membership_t *membership, const member_host_t *host,
                const member_status_t *status, action_list_t *actions)
{
    heartbeat_t heartbeat = make_heartbeat(membership, status);

    send_heartbeat(membership, host, &heartbeat, false, actions);
}

/* Returns whether a silence or a failure report calls for a probe now. */
static bool
needs_probe(const member_host_t *host, int64_t now_us)
{
    if (host->last_state == MEMBER_DEAD) {
        return false;
    }
    if (host->monitored) {
        return now_us - host->silent_since_us >= MEMBER_PROBE_AFTER_US;
    }
    return host->probed_us != 0 ||
           (host->reporter_count > 0 &&
            now_us - host->reported_us >= REPORTED_PROBE_DELAY_US);
}

static bool
is_probe_candidate(const member_host_t *host, bool dead)
{
    bool is_dead = host->last_state == MEMBER_DEAD;

    return dead ? is_dead : !is_dead && !host->monitored;
}

/*
 * Returns the host at index probe_counter, modulo their number, of the dead
 * hosts or of the live ones that this host does not monitor; NULL if there
 * are none.
 */
static member_host_t *
round_robin_host(membership_t *membership, bool dead, uint32_t probe_counter)
{
    member_host_t *host;
    uint32_t count = 0;
    uint32_t candidates_left;

    for (host = member_first(membership); host != NULL;
         host = member_next(host)) {
        count += is_probe_candidate(host, dead) ? 1 : 0;
    }
    if (count == 0) {
        return NULL;
    }
    candidates_left = probe_counter % count;
    for (host = member_first(membership); host != NULL;
         host = member_next(host)) {
        if (is_probe_candidate(host, dead) && candidates_left-- == 0) {
            break;
        }
    }
    return host;
}

static void
send_probe(membership_t *membership, int64_t now_us, member_host_t *host,
           const heartbeat_t *heartbeat, action_list_t *actions)
{
    if (host->probed_us == 0 && !host->monitored) {
        host->probed_us = now_us;
    }
    membership->counters.probes++;
    send_heartbeat(membership, host, heartbeat, true, actions);
}

/*
 * Probes the silent hosts and, round-robin, up to two others: one dead host,
 * to detect the end of a partition, and at every second heartbeat one host
 * that is known by gossip only, because gossip can be lost.
 */
static void
send_probes(membership_t *membership, int64_t now_us,
            const heartbeat_t *heartbeat, action_list_t *actions)
{
    member_host_t *host;

    for (host = member_first(membership); host != NULL;
         host = member_next(host)) {
        if (needs_probe(host, now_us)) {
            send_probe(membership, now_us, host, heartbeat, actions);
        }
    }
    membership->probe_count++;
    host = round_robin_host(membership, true, membership->probe_count);
    if (host != NULL) {
        send_probe(membership, now_us, host, heartbeat, actions);
    }
    host = round_robin_host(membership, false, membership->probe_count / 2);
    if (host != NULL && membership->probe_count % 2 == 0 &&
        host->probed_us == 0) {
        send_probe(membership, now_us, host, heartbeat, actions);
    }
}

static void
send_heartbeats(membership_t *membership, int64_t now_us,
                const member_status_t *status, action_list_t *actions)
{
    heartbeat_t heartbeat;
    member_host_t *successors[MEMBER_RINGS];
    member_host_t *host;
    size_t count;
    size_t i;

    membership->sequence++;
    heartbeat = make_heartbeat(membership, status);
    gossip_fill_heartbeat(membership, &heartbeat, &actions->arena);
    if (membership->host_count < MEMBER_MESH_MAX) {
        for (host = member_first(membership); host != NULL;
             host = member_next(host)) {
            send_heartbeat(membership, host, &heartbeat,
                           now_us - host->silent_since_us >=
                               MEMBER_PROBE_AFTER_US,
                           actions);
        }
        return;
    }
    count = rings_successors(membership, now_us, successors);
    for (i = 0; i < count; i++) {
        send_heartbeat(membership, successors[i], &heartbeat, false, actions);
    }
    send_probes(membership, now_us, &heartbeat, actions);
}

void
member_handle_timer(membership_t *membership, int64_t now_us,
                    const member_status_t *status, action_list_t *actions)
{
    member_advance(membership, now_us);
    member_remove_dead(membership, now_us);
    member_update_states(membership, now_us, actions);
    if (now_us < membership->next_heartbeat_us) {
        return;
    }
    send_heartbeats(membership, now_us, status, actions);
    membership->next_heartbeat_us += MEMBER_HEARTBEAT_US;
    if (membership->next_heartbeat_us <= now_us) {
        membership->next_heartbeat_us = now_us + MEMBER_HEARTBEAT_US;
    }
}

int64_t
member_due_us(const membership_t *membership)
{
    return membership->next_heartbeat_us;
}

void
member_probe_all(membership_t *membership, int64_t now_us,
                 const member_status_t *status, action_list_t *actions)
{
    heartbeat_t heartbeat;
    member_host_t *host;

    member_advance(membership, now_us);
    heartbeat = make_heartbeat(membership, status);
    for (host = member_first(membership); host != NULL;
         host = member_next(host)) {
        if (member_state(host, now_us) != MEMBER_DEAD) {
            send_heartbeat(membership, host, &heartbeat, true, actions);
        }
    }
}

void
member_announce_leaving(membership_t *membership, int64_t now_us,
                        const member_status_t *status, action_list_t *actions)
{
    heartbeat_t heartbeat;
    member_host_t *host;

    member_advance(membership, now_us);
    membership->leaving = true;
    membership->sequence++;
    heartbeat = make_heartbeat(membership, status);
    for (host = member_first(membership); host != NULL;
         host = member_next(host)) {
        send_heartbeat(membership, host, &heartbeat, false, actions);
    }
}
