/* partition_private.h - the state of partition_sim.h's simulation. */
#ifndef REGRESS_PARTITION_PRIVATE_H
#define REGRESS_PARTITION_PRIVATE_H

#include <stdbool.h>

#include "regress/event_queue.h"
#include "regress/forwarding.h"
#include "regress/partition_sim.h"

enum {
    CUT_HOSTS_MAX = 88,
    CUT_RUNNERS_MAX = 42,
    CUT_SLOTS_MAX = 32,
    CUT_CRASHES_MAX = 8,
    CUT_TRIES = 2, /* of a caller, with the first */
    CUT_CALLERS_MAX = 16384,
    CUT_HOPS_MAX = 131072,
    CUT_LEGS_MAX = 1048576,
    CUT_NAME_BYTES = 32,
    CUT_PERCENT = 100,
    CUT_US_PER_MS = 1000,
    CUT_START_MS = 3600000, /* uptime of the machines when the hosts start */
    CUT_ARRIVALS_END_MS = 24000,
    CUT_DEADLINE_MIN_MS = 600, /* of plain requests */
    CUT_DEADLINE_MAX_MS = 2500,
    CUT_CONTACT_MS = 3000, /* from then on the users' bound holds */
    CUT_ONE_WAY_MS = 1,    /* between a host and a runner or host */
    CUT_STATUS_OK = 200,
    CUT_STATUS_ERROR = 500, /* of a runner */
    CUT_STATUS_UNAVAILABLE = 503,
};

#define CUT_NONE SIZE_MAX

typedef enum {
    CUT_HANGS,       /* nothing arrives */
    CUT_RESETS,      /* connections are reset */
    CUT_REFUSES_NEW, /* open connections live on */
    CUT_ONE_WAY,     /* requests arrive, responses do not */
    CUT_KINDS,
} cut_kind_t;

typedef enum {
    CUT_ONE_HOST,
    CUT_SOME_HOSTS,
    CUT_MOST_HOSTS,
    CUT_ZONE,
    CUT_SCOPES,
} cut_scope_t;

typedef struct {
    cut_kind_t kind;
    cut_scope_t scope;
    int64_t start_ms;
    int64_t end_ms;
    bool hosts[CUT_HOSTS_MAX];
    int64_t direct_ms[CUT_HOSTS_MAX]; /* first send after the end; 0: none */
} cut_t;

typedef struct {
    forward_t *forward;
    char name[CUT_NAME_BYTES];
    char zone[2];
    uint64_t incarnation;
    uint64_t reports;
    int64_t reported_ms;
    bool report_due;
    bool up;
    int64_t unsettled_until_ms; /* after a kill or drain */
    uint32_t relayed_active;    /* requests that others relayed to it */
} cut_host_t;

typedef struct {
    char name[CUT_NAME_BYTES];
    char address[CUT_NAME_BYTES];
    bool engine;
    bool up;
    uint32_t slots;
    int64_t started_ms;
    size_t runs[CUT_SLOTS_MAX]; /* legs */
    size_t run_count;
} cut_runner_t;

typedef enum { TRY_OPEN, TRY_SERVED, TRY_FAILED, TRY_EXCLUDED } try_state_t;

typedef struct {
    char id[CUT_NAME_BYTES];
    size_t host;
    int64_t arrived_ms;
    try_state_t state;
    bool not_run; /* so it was answered */
    uint32_t runs;
    uint32_t excused; /* runs whose runner was lost or cut off */
} cut_try_t;

typedef struct {
    request_type_t type;
    uint32_t deadline_ms;
    uint64_t session;
    uint32_t runs;
    bool reported; /* by a host, for a crash that never was */
    cut_try_t tries[CUT_TRIES];
    size_t try_count;
} cut_caller_t;

/* A request at a host.  Its index is its number. */
typedef struct {
    size_t host;
    size_t caller;
    size_t try;
    size_t parent; /* leg by which it was relayed; CUT_NONE: of a caller */
    size_t leg;    /* the last one */
    bool active;
    uint64_t usage_runners[RELAY_RUNNERS_MAX];
} cut_hop_t;

/* An attempt of a host: at a runner, or relayed to another host. */
typedef struct {
    size_t hop;
    uint32_t attempt;
    size_t runner; /* CUT_NONE: relayed */
    size_t host;   /* to which it is relayed */
    size_t child;  /* hop there; CUT_NONE: none yet */
    bool open;     /* the sending host waits for it */
    bool running;
    bool began;
    bool passed; /* the host passes the response on */
    bool excused;
    bool restored;
    uint32_t status;
    uint32_t connect_ms;
    uint32_t deadline_ms;
    int64_t last_event_id;
    relay_grant_t grant;
    uint64_t grant_runners[RELAY_RUNNERS_MAX];
} cut_leg_t;

typedef enum {
    CUT_EVENT_ARRIVAL, /* subject: request_type_t */
    CUT_EVENT_RETRY,   /* subject: caller */
    CUT_EVENT_REACH,   /* subject: leg, as are those below */
    CUT_EVENT_RUN,
    CUT_EVENT_STOP,
    CUT_EVENT_REPLY,
    CUT_EVENT_GONE,  /* subject: hop */
    CUT_EVENT_PROBE, /* subject: host, detail: runner */
    CUT_EVENT_START, /* subject: cut */
    CUT_EVENT_END,
    CUT_EVENT_KILL, /* subject: host */
    CUT_EVENT_DRAIN,
    CUT_EVENT_EXIT, /* after the drain */
    CUT_EVENT_BOOT,
    CUT_EVENT_CRASH, /* subject: runner */
    CUT_EVENT_RESTART,
    CUT_EVENT_ROUTING,
} cut_event_kind_t;

typedef struct {
    int64_t at_ms;
    uint64_t serial;
    cut_event_kind_t kind;
    size_t subject;
    uint64_t detail;
    forward_event_t reply; /* its numbers are filled in on delivery */
} cut_event_t;

typedef struct {
    partition_result_t result;
    uint64_t rng_state;
    int64_t now_ms;
    int64_t version; /* of the routing table */
    uint32_t lost_percent;
    uint32_t reached_percent; /* runners that are not cut off */
    int64_t crashes_ms[CUT_CRASHES_MAX];
    cut_host_t hosts[CUT_HOSTS_MAX];
    size_t host_count;
    cut_runner_t runners[CUT_RUNNERS_MAX];
    size_t runner_count;
    size_t engine_count; /* the first runners */
    int64_t stream_interval_us;
    int64_t plain_interval_us;
    cut_t cuts[PARTITION_CUTS_MAX];
    size_t cut_count;
    cut_caller_t *callers;
    size_t caller_count;
    cut_hop_t *hops;
    size_t hop_count;
    cut_leg_t *legs;
    size_t leg_count;
    event_queue_t queue; /* of cut_event_t */
    uint64_t queue_serial;
} partition_state_t;

extern partition_state_t cut_sim;

/* --- partition_sim.c --- */

uint64_t cut_draw(uint64_t below);
/* Returns the cut that separates the host from the runners, or NULL. */
cut_t *cut_of_host(size_t host);
/* Returns the cut that separates it from this runner, or NULL. */
cut_t *cut_of_path(size_t host, size_t runner);
/* Delivers an event to a host and carries out its actions. */
void cut_deliver(size_t host, const forward_event_t *event);

/* --- partition_report.c --- */

void cut_send_report(size_t from);
/* Counts how many requests the hosts have that others relayed to them. */
void cut_sample_helpers(void);

/* --- partition_queue.c --- */

/* By time; see event_queue.h. */
bool cut_precedes(const void *left, const void *right);
void cut_push(int64_t delay_ms, cut_event_kind_t kind, size_t subject,
              uint64_t detail);
void cut_push_reply(int64_t delay_ms, size_t leg,
                    const forward_event_t *reply);
/* Removes the first event that is due by now; false: there is none. */
bool cut_pop(cut_event_t *event);

/* --- partition_draw.c --- */

void cut_draw_all(uint64_t seed);

/* --- partition_runner.c --- */

/* Returns the cut between the host and the runner of a leg, or NULL. */
cut_t *cut_of_leg(const cut_leg_t *leg);
void cut_push_end(int64_t delay_ms, size_t leg, send_result_t result);
void cut_push_head(size_t leg, uint32_t status, bool not_run);
/* The run does not count towards the attempts of its request. */
void cut_excuse(cut_leg_t *leg);
void cut_start_run(size_t leg);
void cut_run(size_t leg);
/* The runner learns that nobody waits.  Plain requests are run to their end.
 */
void cut_stop_run(size_t leg);
void cut_runner_lost(size_t runner);

/* --- partition_path.c --- */

void cut_send(size_t hop, const send_action_t *send);
void cut_cancel(size_t hop, uint32_t attempt);
void cut_probe(size_t host, const char *runner, uint32_t timeout_ms);
/* Ends a leg that a host sent, without an event for that host. */
void cut_close(size_t leg);
void cut_path_lost(const cut_t *cut);
void cut_path_healed(const cut_t *cut);
void cut_handle_path_event(const cut_event_t *event);

/* --- partition_caller.c --- */

const char *cut_request_path(request_type_t type);
void cut_arrive(request_type_t type);
void cut_retry(size_t caller);
/* Handles an action that passes on or ends a request at a host. */
void cut_answer(size_t hop, const forward_action_t *action);
/* The host that relayed a request does not wait for it any more. */
void cut_caller_gone(size_t hop);
/* All requests of a host that is killed are lost. */
void cut_host_lost(size_t host);
void cut_count_results(void);

#endif
