/*
 * member_private.h - internal state of group membership.
 *
 * member.c processes host lists and heartbeats and derives the host states;
 * member_heartbeat.c sends heartbeats and probes; member_gossip.c disseminates
 * state changes by gossip; member_select.c maintains the rings and selects
 * hosts.
 */
#ifndef POLICY_MEMBER_PRIVATE_H
#define POLICY_MEMBER_PRIVATE_H

#include <sys/queue.h>
#include <bsd/sys/tree.h>

#include "policy/member.h"

enum {
    REPORTERS_MAX = 2,        /* death reports that make a host dead */
    GOSSIP_TRANSMISSIONS = 2, /* heartbeats that carry each gossip item */
};

typedef struct {
    char host[LINK_NAME_MAX + 1];
    bool dead; /* reported dead; otherwise suspect */
} reporter_t;

/* A state change of a host in the queue for the next heartbeats. */
typedef struct gossip_item {
    char host[LINK_NAME_MAX + 1];
    char reporter[LINK_NAME_MAX + 1];
    uint64_t incarnation;
    uint64_t sequence;
    gossip_state_t state;
    uint32_t transmissions_left;
    TAILQ_ENTRY(gossip_item) entry;
} gossip_item_t;
TAILQ_HEAD(gossip_list, gossip_item);

/* Another host. */
typedef struct member_host {
    const char *name; /* points to host below: the key of the tree */
    char host[LINK_NAME_MAX + 1];
    char zone[LINK_NAME_MAX + 1];
    char address[LINK_NAME_MAX + 1];
    char peer_address[LINK_NAME_MAX + 1];
    uint64_t ring_positions[MEMBER_RINGS];
    uint64_t incarnation;
    uint64_t sequence; /* highest heartbeat number known */
    bool leaving;
    bool listed;
    bool monitored;          /* its regular heartbeats are sent to this host */
    int64_t silent_since_us; /* start of the silence that is measured */
    int64_t heard_us;
    member_state_t last_state;
    int64_t dead_us;            /* when last_state became dead */
    uint64_t reported_sequence; /* highest heartbeat number of the reports */
    int64_t reported_us;        /* when the first report arrived; 0: none */
    int64_t probed_us;          /* time of the unanswered probe; 0: none */
    reporter_t reporters[REPORTERS_MAX];
    uint32_t reporter_count;
    uint32_t sessions;
    int64_t config_revision;
    uint64_t config_hash;
    RB_ENTRY(member_host) entry;
} member_host_t;
int member_compare(const member_host_t *left, const member_host_t *right);
RB_HEAD(host_tree, member_host);
RB_PROTOTYPE(host_tree, member_host, entry, member_compare)

struct membership {
    char host[LINK_NAME_MAX + 1];
    char zone[LINK_NAME_MAX + 1];
    char address[LINK_NAME_MAX + 1];
    char peer_address[LINK_NAME_MAX + 1];
    uint64_t ring_positions[MEMBER_RINGS];
    uint64_t incarnation;
    uint64_t sequence;
    bool leaving;
    bool listed;
    int64_t advanced_us;
    int64_t next_heartbeat_us;
    uint32_t probe_count; /* index for round-robin probing */
    bool rings_changed;
    struct host_tree hosts; /* by name */
    uint32_t host_count;
    struct gossip_list gossip;
    member_counters_t counters;
};

/* member.c */
member_state_t member_state(const member_host_t *host, int64_t now_us);
member_host_t *member_first(const membership_t *membership);
member_host_t *member_next(member_host_t *host);
member_host_t *member_lookup(const membership_t *membership, const char *name);
member_host_t *member_add(membership_t *membership, int64_t now_us,
                          const char *name);
/* Sets a higher incarnation and discards the evidence of the former one. */
void member_reset_incarnation(member_host_t *host, int64_t now_us,
                              uint64_t incarnation);
bool member_heard_recently(const member_host_t *host, int64_t now_us);
/* Discards the failure reports. */
void member_clear_reports(member_host_t *host);
void member_copy_name(char *to, const char *from);

/*
 * Advances the time.  After a pause of this process the measured silences
 * are shifted by the length of the pause.
 */
void member_advance(membership_t *membership, int64_t now_us);
/* Logs, counts and enqueues for gossip the state changes since last call. */
void member_update_states(membership_t *membership, int64_t now_us,
                          action_list_t *actions);
/* Removes unlisted hosts that have been dead for MEMBER_REMOVE_AFTER_US. */
void member_remove_dead(membership_t *membership, int64_t now_us);

/* member_heartbeat.c */
void heartbeat_reply(membership_t *membership, const member_host_t *host,
                     const member_status_t *status, action_list_t *actions);

/*
 * member_gossip.c: an empty reporter marks an item that is no failure report.
 */
void gossip_enqueue(membership_t *membership, const member_host_t *host,
                    const char *reporter, uint64_t sequence,
                    gossip_state_t state);
void gossip_receive(membership_t *membership, int64_t now_us,
                    const gossip_t *update, action_list_t *actions);
void gossip_fill_heartbeat(membership_t *membership, heartbeat_t *heartbeat,
                           arena_t *arena);
void gossip_free(membership_t *membership);

/* member_select.c */
void rings_compute_positions(const char *host, uint64_t *positions);
/* Determines the monitored hosts after a host was added, removed or died. */
void rings_update_monitored(membership_t *membership, int64_t now_us);
/* Stores the distinct successors of this host; returns their number. */
size_t rings_successors(const membership_t *membership, int64_t now_us,
                        member_host_t **hosts);

#endif
