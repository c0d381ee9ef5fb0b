/* view_private.h - the state of view_sim.h's simulation. */
#ifndef REGRESS_VIEW_PRIVATE_H
#define REGRESS_VIEW_PRIVATE_H

#include <stdbool.h>

#include "forward/store_sync.h"
#include "kv/kv.h"
#include "regress/event_queue.h"
#include "regress/forwarding.h"
#include "regress/sim_hosts.h"
#include "regress/view_sim.h"

enum {
    VIEW_HOSTS_MAX = 88,
    VIEW_RUNNERS_MAX = 128,
    VIEW_CHANGES_MAX = 512,
    VIEW_FAULTS_MAX = 24,
    VIEW_US_PER_MS = 1000,
    VIEW_START_MS = 3600000, /* uptime of the machines when the hosts start */
    VIEW_WATCH_MS = 1000,
    VIEW_BEGIN_MS = 1,   /* of the first poll of a watch */
    VIEW_PAUSE_MS = 200, /* between a change and the next poll */
    VIEW_CALL_MS = 400,  /* timeout of a call to the store */
    VIEW_SETTLE_MS = 1000,
    VIEW_ONE_WAY_MS = 1,
    VIEW_STORE_MS = 4, /* that the store takes to answer */
};

typedef enum {
    CHANGE_ADDED,
    CHANGE_DRAINS,
    CHANGE_GONE,
    CHANGE_ROUTING
} kind_t;

/* A change of the store.  Its index plus one is its revision. */
typedef struct {
    int64_t at_ms;
    kind_t kind;
    size_t runner;
    int64_t version; /* of the routing table */
} change_t;

typedef enum {
    FAULT_FREEZE,
    FAULT_SLOW,     /* each event takes detail ms */
    FAULT_REJECTED, /* the store rejects the host's calls */
    FAULT_CUT,      /* the store does not answer the host */
    FAULT_KINDS,
    FAULT_STALL = FAULT_KINDS, /* its own load: it excuses nothing */
} fault_kind_t;

typedef struct {
    fault_kind_t kind;
    size_t host;
    int64_t start_ms;
    int64_t end_ms;
    int64_t detail;
} fault_t;

typedef enum {
    EVENT_CHANGE,       /* number: the index of the change */
    EVENT_STORE_ARRIVE, /* a call arrives at the store */
    EVENT_STORE_EXPIRE, /* the time of a watch is over at the store */
    EVENT_STORE_REPLY,  /* at the host; detail: revision, -1: rejected */
    EVENT_CALL_TIMEOUT, /* at the host */
    EVENT_NEXT_POLL,    /* of the watch, at the host */
    EVENT_POLL,         /* from another host; peer, number, detail: after */
    EVENT_POLL_EXPIRE,  /* held polls are checked */
    EVENT_REPLY,        /* of another host; detail: revision, age_ms */
    EVENT_CONFIRM,
    EVENT_TIMER, /* of store_sync_t; number: generation */
    EVENT_FORWARD_TIMER,
    EVENT_SEND, /* a caller's request */
} event_kind_t;

typedef struct {
    int64_t at_ms;
    uint64_t serial;
    event_kind_t kind;
    size_t host;
    size_t peer;
    uint64_t number;
    int64_t detail;
    uint32_t age_ms;
    bool known;
} event_t;

typedef struct {
    bool held;
    size_t host; /* that polls */
    uint64_t number;
    int64_t after;
    int64_t expires_ms;
} poll_t;

typedef struct {
    char name[SIM_NAME_BYTES];
    char zone[2];
    forward_t *forward;
    store_sync_t *sync;
    int64_t busy_until_ms;
    uint64_t timer;   /* generation */
    uint64_t call;    /* number of the current call to the store */
    bool reading;     /* the call reads all keys */
    bool watch_ended; /* no result of the call is wanted */
    uint32_t wait_ms; /* of the call, while it waits at the store */
    bool at_store;    /* it waits there */
    int64_t after;    /* revision after which it waits */
    int64_t revision; /* that the host knows */
    int64_t read_revision;
    int64_t forward_due_ms;
    poll_t polls[VIEW_HOSTS_MAX];
    uint64_t requests;
    int64_t sent_ms; /* when the caller sent the last request */
} host_t;

typedef struct {
    char id[SIM_NAME_BYTES];
    char address[SIM_NAME_BYTES];
    bool says_so;    /* it drains before its entry is removed */
    int64_t left_ms; /* acknowledged; INT64_MAX: it has not left */
} runner_t;

typedef struct {
    uint64_t rng_state;
    int64_t now_ms;
    event_queue_t queue; /* of event_t */
    uint64_t queue_serial;
    host_t hosts[VIEW_HOSTS_MAX];
    size_t host_count;
    size_t zone_count;
    runner_t runners[VIEW_RUNNERS_MAX];
    size_t runner_count;
    change_t changes[VIEW_CHANGES_MAX];
    size_t change_count; /* that have been made */
    size_t planned;
    fault_t faults[VIEW_FAULTS_MAX];
    size_t fault_count;
    int64_t first_fault_ms;
    uint32_t bound_ms;
    uint32_t contact_ms;
    watcher_candidate_t candidates[VIEW_HOSTS_MAX];
    view_result_t result;
} view_sim_t;

extern view_sim_t view_sim;

/* --- view_sim.c --- */

uint64_t view_draw(uint64_t below);
/* Returns the limits of all hosts. */
forward_limits_t view_limits(void);
/* Returns whether a fault of that kind is in progress at the host. */
const fault_t *view_fault(size_t host, fault_kind_t kind);
void view_deliver(size_t host, const forward_event_t *event);

/* --- view_queue.c --- */

/* By time; see event_queue.h. */
bool view_precedes(const void *left, const void *right);
void view_push(int64_t delay_ms, const event_t *event);
/* Puts an event that has been taken out back, for a later time. */
void view_defer(int64_t at_ms, const event_t *event);
bool view_pop(event_t *event);

/* --- view_store.c --- */

/* Carries out a step of a host. */
void view_execute(size_t host, const store_sync_step_t *step);
store_sync_fleet_t view_fleet(size_t host);
/* Handles an event of the store, or of calls and polls of a host. */
void view_handle_transport(const event_t *event);

#endif
