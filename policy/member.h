/*
 * member.h - group membership and failure detection among the hosts.
 *
 * The state of a host is derived from its own heartbeats, from failure
 * reports of other hosts and from the platform's host list; no single
 * source is sufficient.  A fleet of up to MEMBER_MESH_MAX hosts is a full
 * mesh: each host sends its heartbeat to every other one.  In a larger fleet
 * each host sends it to its successor on each of MEMBER_RINGS consistent
 * hashing rings, so that every host sends as many heartbeats as it receives.
 * State changes that these few hosts detect are disseminated by gossip,
 * piggybacked on the heartbeats.
 *
 * A host that this one monitors is suspect after MEMBER_SUSPECT_AFTER_US
 * without a heartbeat and dead after MEMBER_DEAD_AFTER_US.  Any other host is
 * suspect when one host reports its failure and dead when two report it dead,
 * until a heartbeat later than the reports is known.  A leaving host stays
 * leaving until it returns with a higher incarnation.
 */
#ifndef POLICY_MEMBER_H
#define POLICY_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "policy/generated/event.h"
#include "policy/actions.h"

enum {
    MEMBER_MESH_MAX = 8, /* hosts of a fleet that is a full mesh */
    MEMBER_RINGS = 6,
    MEMBER_HEARTBEAT_US = 500000,       /* heartbeat interval */
    MEMBER_PROBE_AFTER_US = 1000000,    /* of silence */
    MEMBER_SUSPECT_AFTER_US = 1500000,  /* of silence */
    MEMBER_DEAD_AFTER_US = 5000000,     /* of silence */
    MEMBER_REMOVE_AFTER_US = 600000000, /* dead and not in the host list */
};

typedef struct membership membership_t;

typedef enum {
    MEMBER_LIVE,
    MEMBER_SUSPECT,
    MEMBER_DEAD,
    MEMBER_LEAVING,
} member_state_t;

/* The status of this host that its heartbeats carry. */
typedef struct {
    uint32_t sessions;
    int64_t config_revision;
    uint64_t config_hash;
} member_status_t;

/* The strings are valid until the next call that changes the membership. */
typedef struct {
    const char *host;
    const char *zone;
    const char *address;      /* for callers, "ip:port" */
    const char *peer_address; /* for messages of other hosts */
    member_state_t state;
    bool self;   /* the host that this membership runs on */
    bool listed; /* in the platform's host list */
    uint64_t incarnation;
    int64_t heard_us; /* when its last heartbeat arrived; -1: never */
    uint32_t sessions;
    int64_t config_revision; /* as of the last heartbeat */
    uint64_t config_hash;
} member_view_t;

membership_t *member_new(int64_t now_us, const start_event_t *start);
void member_free(membership_t *membership);

/* Updates the hosts from the platform's host list. */
void member_update_listed(membership_t *membership, int64_t now_us,
                          const host_list_event_t *hosts,
                          action_list_t *actions);

/*
 * Processes a heartbeat of host from and the gossip in it.  Appends a reply
 * with status if the sender requested one.
 */
void member_receive_heartbeat(membership_t *membership, int64_t now_us,
                              const char *from, const heartbeat_t *heartbeat,
                              const member_status_t *status,
                              action_list_t *actions);

/* Marks this host as leaving and sends a heartbeat to all other hosts. */
void member_announce_leaving(membership_t *membership, int64_t now_us,
                             const member_status_t *status,
                             action_list_t *actions);

/*
 * Requests a heartbeat from every host that is not dead.  After the replies
 * member_list() gives the configuration revision of each host directly; in a
 * large fleet the regular heartbeats of most hosts are not sent to this one.
 */
void member_probe_all(membership_t *membership, int64_t now_us,
                      const member_status_t *status, action_list_t *actions);

/*
 * Detects state changes and sends heartbeats and probes when they are due.
 * Call it at member_due_us() at the latest.
 */
void member_handle_timer(membership_t *membership, int64_t now_us,
                         const member_status_t *status,
                         action_list_t *actions);
int64_t member_due_us(const membership_t *membership);

/* Returns false if the host, which may be this one, is not known. */
bool member_find(const membership_t *membership, int64_t now_us,
                 const char *host, member_view_t *view);

/*
 * Returns all known hosts, this one included, sorted by name, in arena
 * memory.
 */
member_view_t *member_list(const membership_t *membership, int64_t now_us,
                           arena_t *arena, size_t *count);

/* Returns the number of live hosts, this one included. */
size_t member_live_count(const membership_t *membership, int64_t now_us);

/*
 * Returns the hosts that a caller may connect to, best first, in arena
 * memory: live before suspect, then this host's zone before other zones;
 * leaving and dead hosts are left out.  Equally good hosts are ordered by a
 * hash with balance_seed, a number that differs between callers, so that the
 * callers are balanced over them.
 */
member_view_t *member_caller_addresses(const membership_t *membership,
                                       int64_t now_us, uint64_t balance_seed,
                                       arena_t *arena, size_t *count);

/*
 * Selects by rendezvous hashing up to count live hosts, never this one, that
 * hold a replica of the session record of the request with this hash.  Hosts
 * outside zone come first.  Stores their names in hosts and returns their
 * number.  Hosts with the same view of the fleet select the same replicas, and
 * the loss of a host moves only the records that it held.
 */
size_t member_select_replicas(const membership_t *membership, int64_t now_us,
                              uint64_t hash, const char *zone,
                              const char **hosts, size_t count);

/*
 * Stores in hosts the names of up to count distinct successors of this host
 * on the rings and returns their number.  They change only with the fleet.
 */
size_t member_successors(const membership_t *membership, int64_t now_us,
                         const char **hosts, size_t count);

typedef struct {
    uint64_t heartbeats_sent;
    uint64_t heartbeats_received;
    uint64_t probes;
    uint64_t gossip_sent;
    uint64_t gossip_applied;
    uint64_t suspected;
    uint64_t died;
    uint64_t recovered;
    uint64_t stale;  /* heartbeats and gossip of an older incarnation */
    uint64_t pauses; /* times that this process did not run for a while */
} member_counters_t;
const member_counters_t *member_counters(const membership_t *membership);

#endif
