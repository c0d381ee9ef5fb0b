/*
 * member.h - which hosts there are, and in what state.
 *
 * Witnesses are the heartbeats of the hosts themselves, what other hosts
 * report of them, and the platform's host list; none alone is believed.
 * Up to MEMBER_MESH_MAX hosts, each sends a heartbeat to every other one.
 * Beyond, each sends to its successor on each of MEMBER_RINGS rings of
 * hashed names, so every host is heard by as many as it hears, and what
 * those few find out travels on as news in the heartbeats.
 *
 * A host that is expected to be heard is suspect after MEMBER_SUSPECT_US
 * of silence and dead after MEMBER_DEAD_US; of the others, one accuser
 * makes a suspect and two make it dead, until it is heard of with a later
 * heartbeat.  Leaving is at once and for good, until the host comes back
 * with a higher incarnation.
 */
#ifndef POLICY_MEMBER_H
#define POLICY_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "policy/generated/event.h"
#include "policy/orders.h"

enum {
    MEMBER_MESH_MAX = 8,
    MEMBER_RINGS = 6,
    MEMBER_BEAT_US = 500000,
    MEMBER_PROBE_US = 1000000,
    MEMBER_SUSPECT_US = 1500000,
    MEMBER_DEAD_US = 5000000,
    MEMBER_FORGET_US = 600000000, /* a dead host that is not listed */
};

typedef struct member member_t;

typedef enum {
    MEMBER_LIVE,
    MEMBER_SUSPECT,
    MEMBER_DEAD,
    MEMBER_LEAVING,
} member_state_t;

/* What a heartbeat says of this host besides its identity. */
typedef struct {
    uint32_t sessions;
    int64_t config_revision;
    uint64_t config_hash;
} member_self_t;

/* Valid until the next call that takes an event. */
typedef struct {
    const char *host;
    const char *zone;
    const char *address;      /* for callers */
    const char *peer_address; /* for peer_tell() */
    member_state_t state;
    bool self;
    bool listed; /* by the platform */
    uint64_t incarnation;
    int64_t heard_us; /* the last heartbeat; -1: never */
    uint32_t sessions;
    int64_t config_revision; /* as of the last heartbeat */
    uint64_t config_hash;
} member_view_t;

member_t *member_new(int64_t now_us, const start_event_t *start);
void member_free(member_t *member);

/* Events in. */
void member_hosts(member_t *member, int64_t now_us, const hosts_event_t *hosts,
                  order_list_t *orders);
void member_heartbeat(member_t *member, int64_t now_us, const char *from,
                      const heartbeat_t *heartbeat, const member_self_t *self,
                      order_list_t *orders);

/* This host leaves: every other one is told at once. */
void member_leave(member_t *member, int64_t now_us, const member_self_t *self,
                  order_list_t *orders);

/*
 * Asks every host that is not dead for a heartbeat, so that member_list()
 * soon tells of each what configuration it has, however large the fleet.
 */
void member_ask_all(member_t *member, int64_t now_us,
                    const member_self_t *self, order_list_t *orders);

/* Sends what is due; to be called at member_due_us() or earlier. */
void member_timer(member_t *member, int64_t now_us, const member_self_t *self,
                  order_list_t *orders);
int64_t member_due_us(const member_t *member);

/* Questions.  Lists are in arena memory, this host included. */
bool member_find(const member_t *member, int64_t now_us, const char *host,
                 member_view_t *view);
member_view_t *member_list(const member_t *member, int64_t now_us,
                           arena_t *arena, size_t *count); /* by name */
size_t member_live_count(const member_t *member, int64_t now_us);

/*
 * Hosts for callers: own zone first, then the others; live before suspect;
 * never a leaving or dead one; spread by any number that differs by caller.
 */
member_view_t *member_addresses(const member_t *member, int64_t now_us,
                                uint64_t spread, arena_t *arena,
                                size_t *count);

/*
 * The live hosts, never this one, that keep the record of the request with
 * this hash: at most count, from other zones than zone where there are
 * enough.  Puts their names into hosts and returns how many.
 */
size_t member_keepers(const member_t *member, int64_t now_us, uint64_t hash,
                      const char *zone, const char **hosts, size_t count);

/* At most count live hosts to pass news on to; the same for a while. */
size_t member_neighbours(const member_t *member, int64_t now_us,
                         const char **hosts, size_t count);

typedef struct {
    uint64_t heartbeats_sent;
    uint64_t heartbeats_received;
    uint64_t probes;
    uint64_t news_sent;
    uint64_t news_taken;
    uint64_t suspected;
    uint64_t died;
    uint64_t revived;
    uint64_t stale;  /* heartbeats and news of an older incarnation */
    uint64_t pauses; /* times that this host itself stood still */
} member_counters_t;
const member_counters_t *member_counters(const member_t *member);

#endif
