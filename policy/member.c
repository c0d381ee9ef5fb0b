/* member.c - host states, host lists and received heartbeats. */
#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include "policy/member_private.h"

enum { PAUSE_MIN_US = 1000000, PROBE_START_RANGE = 65536 };

RB_GENERATE(host_tree, member_host, entry, member_compare)

static bool is_silent(const member_host_t *host, int64_t now_us,
                      int64_t limit_us);
static void enqueue_state(membership_t *membership, const member_host_t *host,
                          int64_t now_us, member_state_t state);
static void record_state_change(membership_t *membership, member_host_t *host,
                                int64_t now_us, member_state_t state,
                                action_list_t *actions);
static void apply_host_entry(membership_t *membership, int64_t now_us,
                             const host_entry_t *entry);

int
member_compare(const member_host_t *left, const member_host_t *right)
{
    return strcmp(left->name, right->name);
}

member_host_t *
member_lookup(const membership_t *membership, const char *name)
{
    member_host_t key;

    key.name = name;
    return RB_FIND(host_tree, (struct host_tree *)&membership->hosts, &key);
}

bool
member_heard_recently(const member_host_t *host, int64_t now_us)
{
    return host->heard_us >= 0 &&
           now_us - host->heard_us < MEMBER_PROBE_AFTER_US;
}

void
member_clear_reports(member_host_t *host)
{
    host->reporter_count = 0;
    host->reported_us = 0;
    host->reported_sequence = 0;
}

void
member_copy_name(char *to, const char *from)
{
    size_t length = strnlen(from, LINK_NAME_MAX);

    memcpy(to, from, length);
    to[length] = '\0';
}

membership_t *
member_new(int64_t now_us, const start_event_t *start)
{
    membership_t *membership = xcalloc(1, sizeof(*membership));

    member_copy_name(membership->host, start->host);
    member_copy_name(membership->zone, start->zone);
    member_copy_name(membership->address, start->address);
    membership->incarnation = start->incarnation;
    membership->advanced_us = now_us;
    membership->next_heartbeat_us = now_us;
    rings_compute_positions(membership->host, membership->ring_positions);
    /* Hosts that start together should not all probe the same host first. */
    membership->probe_count =
        (uint32_t)(membership->ring_positions[0] % PROBE_START_RANGE);
    RB_INIT(&membership->hosts);
    TAILQ_INIT(&membership->gossip);
    return membership;
}

void
member_free(membership_t *membership)
{
    member_host_t *host;
    member_host_t *next;

    RB_FOREACH_SAFE(host, host_tree, &membership->hosts, next)
    {
        RB_REMOVE(host_tree, &membership->hosts, host);
        free(host);
    }
    gossip_free(membership);
    free(membership);
}

/*
 * Returns whether a heartbeat that is due from the host, as a regular one or
 * as the reply to a probe, has been missing for limit_us.
 */
static bool
is_silent(const member_host_t *host, int64_t now_us, int64_t limit_us)
{
    if (host->monitored) {
        return now_us - host->silent_since_us >= limit_us;
    }
    return host->probed_us != 0 && now_us - host->probed_us >= limit_us;
}

/* Derives the state of a host from the evidence. */
member_state_t
member_state(const member_host_t *host, int64_t now_us)
{
    uint32_t reporters = host->monitored ? 0 : host->reporter_count;
    uint32_t dead_reports = 0;
    uint32_t i;

    for (i = 0; i < reporters; i++) {
        dead_reports += host->reporters[i].dead ? 1 : 0;
    }
    if (dead_reports >= REPORTERS_MAX ||
        is_silent(host, now_us, MEMBER_DEAD_AFTER_US)) {
        return MEMBER_DEAD;
    }
    if (host->leaving) {
        return MEMBER_LEAVING;
    }
    if (reporters > 0 || is_silent(host, now_us, MEMBER_SUSPECT_AFTER_US)) {
        return MEMBER_SUSPECT;
    }
    return MEMBER_LIVE;
}

member_host_t *
member_first(const membership_t *membership)
{
    return RB_MIN(host_tree, (struct host_tree *)&membership->hosts);
}

member_host_t *
member_next(member_host_t *host)
{
    return RB_NEXT(host_tree, NULL, host);
}

member_host_t *
member_add(membership_t *membership, int64_t now_us, const char *name)
{
    member_host_t *host = xcalloc(1, sizeof(*host));

    member_copy_name(host->host, name);
    rings_compute_positions(host->host, host->ring_positions);
    host->silent_since_us = now_us;
    host->heard_us = -1;
    host->name = host->host;
    RB_INSERT(host_tree, &membership->hosts, host);
    membership->host_count++;
    membership->rings_changed = true;
    return host;
}

/* The host has restarted: evidence on the former incarnation is void. */
void
member_reset_incarnation(member_host_t *host, int64_t now_us,
                         uint64_t incarnation)
{
    host->incarnation = incarnation;
    host->sequence = 0;
    host->leaving = false;
    member_clear_reports(host);
    host->probed_us = 0;
    host->silent_since_us = now_us;
}

/*
 * While this process was not running it could not receive heartbeats, so
 * silence during that time is no evidence against the other hosts.
 */
void
member_advance(membership_t *membership, int64_t now_us)
{
    int64_t gap_us = now_us - membership->advanced_us;
    member_host_t *host;

    if (gap_us > PAUSE_MIN_US) {
        membership->counters.pauses++;
        for (host = member_first(membership); host != NULL;
             host = member_next(host)) {
            host->silent_since_us += gap_us;
            host->probed_us += host->probed_us == 0 ? 0 : gap_us;
        }
    }
    membership->advanced_us = now_us;
    if (membership->rings_changed) {
        rings_update_monitored(membership, now_us);
    }
}

/*
 * Enqueues a state change for gossip if this host detected it itself and did
 * not learn it from another host.
 */
static void
enqueue_state(membership_t *membership, const member_host_t *host,
              int64_t now_us, member_state_t state)
{
    if (state == MEMBER_LIVE) {
        if (member_heard_recently(host, now_us)) {
            gossip_enqueue(membership, host, "", host->sequence, GOSSIP_LIVE);
        }
        return;
    }
    if (state != MEMBER_LEAVING && (host->monitored || host->probed_us != 0)) {
        gossip_enqueue(membership, host, membership->host, host->sequence,
                       state == MEMBER_DEAD ? GOSSIP_DEAD : GOSSIP_SUSPECT);
    }
}

static void
record_state_change(membership_t *membership, member_host_t *host,
                    int64_t now_us, member_state_t state,
                    action_list_t *actions)
{
    static const char *const names[] = {"live", "suspect", "dead", "leaving"};
    bool was_dead = host->last_state == MEMBER_DEAD;

    host->last_state = state;
    if (was_dead != (state == MEMBER_DEAD)) {
        membership->rings_changed = true;
    }
    switch (state) {
    case MEMBER_SUSPECT:
        membership->counters.suspected++;
        break;
    case MEMBER_DEAD:
        membership->counters.died++;
        host->dead_us = now_us;
        break;
    default:
        membership->counters.recovered++;
        break;
    }
    enqueue_state(membership, host, now_us, state);
    actions_append_log(actions, LOG_INFO,
                       "host host=%s state=%s incarnation=%llu", host->host,
                       names[state], (unsigned long long)host->incarnation);
}

void
member_update_states(membership_t *membership, int64_t now_us,
                     action_list_t *actions)
{
    member_host_t *host;
    member_state_t state;

    for (host = member_first(membership); host != NULL;
         host = member_next(host)) {
        state = member_state(host, now_us);
        if (state != host->last_state) {
            record_state_change(membership, host, now_us, state, actions);
        }
    }
    if (membership->rings_changed) {
        rings_update_monitored(membership, now_us);
    }
}

void
member_remove_dead(membership_t *membership, int64_t now_us)
{
    member_host_t *host;
    member_host_t *next;

    RB_FOREACH_SAFE(host, host_tree, &membership->hosts, next)
    {
        if (host->last_state == MEMBER_DEAD && !host->listed &&
            now_us - host->dead_us >= MEMBER_REMOVE_AFTER_US) {
            RB_REMOVE(host_tree, &membership->hosts, host);
            free(host);
            membership->host_count--;
            membership->rings_changed = true;
        }
    }
}

static void
apply_host_entry(membership_t *membership, int64_t now_us,
                 const host_entry_t *entry)
{
    member_host_t *host;

    if (strcmp(entry->host, membership->host) == 0) {
        member_copy_name(membership->peer_address, entry->peer_address);
        membership->listed = true;
        if (entry->leaving && (entry->incarnation == membership->incarnation ||
                               entry->incarnation == 0)) {
            membership->leaving = true;
        }
        return;
    }
    host = member_lookup(membership, entry->host);
    if (host == NULL) {
        if (entry->peer_address[0] == '\0') {
            /* The platform also lists hosts outside this fleet. */
            return;
        }
        host = member_add(membership, now_us, entry->host);
        host->incarnation = entry->incarnation;
    }
    host->listed = true;
    if (entry->incarnation != 0 && entry->incarnation < host->incarnation) {
        return;
    }
    if (entry->incarnation > host->incarnation) {
        member_reset_incarnation(host, now_us, entry->incarnation);
    }
    if (entry->peer_address[0] != '\0') {
        member_copy_name(host->zone, entry->zone);
        member_copy_name(host->address, entry->address);
        member_copy_name(host->peer_address, entry->peer_address);
    }
    host->leaving = host->leaving || entry->leaving;
}

void
member_update_listed(membership_t *membership, int64_t now_us,
                     const host_list_event_t *hosts, action_list_t *actions)
{
    member_host_t *host;
    u_int i;

    member_advance(membership, now_us);
    membership->listed = false;
    for (host = member_first(membership); host != NULL;
         host = member_next(host)) {
        host->listed = false;
    }
    for (i = 0; i < hosts->hosts.hosts_len; i++) {
        apply_host_entry(membership, now_us, &hosts->hosts.hosts_val[i]);
    }
    member_update_states(membership, now_us, actions);
}

void
member_receive_heartbeat(membership_t *membership, int64_t now_us,
                         const char *from, const heartbeat_t *heartbeat,
                         const member_status_t *status, action_list_t *actions)
{
    member_host_t *host;
    u_int i;

    member_advance(membership, now_us);
    if (strcmp(from, membership->host) == 0) {
        return;
    }
    host = member_lookup(membership, from);
    if (host == NULL) {
        host = member_add(membership, now_us, from);
        host->incarnation = heartbeat->incarnation;
    }
    if (heartbeat->incarnation < host->incarnation) {
        membership->counters.stale++;
        return;
    }
    membership->counters.heartbeats_received++;
    if (heartbeat->incarnation > host->incarnation) {
        member_reset_incarnation(host, now_us, heartbeat->incarnation);
    }
    if (heartbeat->seqno >= host->sequence) {
        host->sequence = heartbeat->seqno;
        if (host->reporter_count > 0 &&
            heartbeat->seqno > host->reported_sequence) {
            gossip_enqueue(membership, host, "", host->sequence, GOSSIP_LIVE);
        }
        member_clear_reports(host);
        host->sessions = heartbeat->sessions;
        host->config_revision = heartbeat->config_revision;
        host->config_hash = heartbeat->config_hash;
        host->heard_us = now_us;
        host->probed_us = 0;
        host->silent_since_us = now_us;
    }
    if (heartbeat->peer_address[0] != '\0') {
        member_copy_name(host->peer_address, heartbeat->peer_address);
    }
    if (heartbeat->address[0] != '\0') {
        member_copy_name(host->zone, heartbeat->zone);
        member_copy_name(host->address, heartbeat->address);
    }
    if (heartbeat->leaving && !host->leaving) {
        host->leaving = true;
        gossip_enqueue(membership, host, "", host->sequence, GOSSIP_LEAVING);
    }
    for (i = 0; i < heartbeat->gossip_data.gossip_data_len; i++) {
        gossip_receive(membership, now_us,
                       &heartbeat->gossip_data.gossip_data_val[i], actions);
    }
    member_update_states(membership, now_us, actions);
    if (heartbeat->reply_wanted) {
        heartbeat_reply(membership, host, status, actions);
    }
}

const member_counters_t *
member_counters(const membership_t *membership)
{
    return &membership->counters;
}
