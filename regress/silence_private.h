/*
 * silence_private.h - the state of silence_sim.h's simulation.
 *
 * silence_sim.c holds hosts and requests, silence_runner.c what runners do
 * with runs, silence_call.c what they do with probes and copies, and
 * silence_fault.c draws fleet and faults.
 */
#ifndef REGRESS_SILENCE_PRIVATE_H
#define REGRESS_SILENCE_PRIVATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "regress/sim_hosts.h"
#include "regress/silence_sim.h"

enum {
    HOSTS_MAX = 88,
    RUNNERS_MAX = 66,
    REQUESTS_MAX = 1200,
    STREAMS_MAX = 400,
    RUNS_MAX = 16384,
    CALLS_MAX = 4096,
    TICK_MS = 10,
    EVENT_MS = 40,
    COPY_BEHIND_MS = 200, /* a copy exists this long after the first event */
    TWICE_MS = 400,
    START_MS = 3600000,
    DURATION_MS = 20000,
    TAIL_MS = 10000, /* without new requests */
    PERCENT = 100,
    US_PER_MS = 1000,
    REVOKE_MS = 5000,
};

typedef struct {
    forward_t *forward;
    uint64_t reports;
    bool report_due;
    int64_t draining_since_ms; /* 0: is not */
} host_t;

typedef enum { LOSS_NONE, LOSS_RESET, LOSS_DARK } loss_t;

/* What an armed silence waits for. */
typedef enum {
    ONSET_NONE,
    ONSET_ACCEPT,
    ONSET_HEAD,
    ONSET_EVENT,
    ONSET_COUNT
} onset_t;

typedef struct {
    bool engine;
    char id[SIM_NAME_BYTES];
    char address[SIM_NAME_BYTES];
    uint32_t starts;
    int64_t started_ms;
    int64_t silent_until_ms;
    onset_t onset;
    int64_t onset_silence_ms;
    bool accepts; /* connections, while it is silent */
    bool works;   /* on its runs, while it is silent */
    bool hears;   /* that a run is cancelled, while it is silent */
    loss_t loss;  /* is down after this */
    int64_t lost_ms;
    bool lost_silent; /* it was silent when it failed */
    int64_t restart_ms;
    char old_id[SIM_NAME_BYTES]; /* its entry in the registry */
    int64_t old_until_ms;        /* 0: the entry is gone, or in use */
} runner_t;

typedef enum {
    RUN_CONNECTING,
    RUN_ACCEPTED,
    RUN_WORKING,
    RUN_LOST, /* its runner is dark; the host doesn't know */
    RUN_ENDED
} run_state_t;

/* One attempt of a request. */
typedef struct {
    run_state_t state;
    size_t request;
    uint32_t attempt;
    size_t runner;
    char runner_id[SIM_NAME_BYTES];
    int64_t connect_until_ms;
    bool accepted;
    bool worked;
    bool closed; /* its host has cancelled it */
    bool restores;
    bool has_copy;
    int64_t work_ms;
    int64_t head_ms;  /* work until the response head is sent */
    int64_t first_ms; /* work until the first event */
    int64_t total_ms; /* work until the response is complete */
    int64_t connected_ms;
    bool head_sent;
    bool passed; /* the host passes the response on */
    int64_t first_id;
    int64_t sent_id;        /* of the last event */
    int64_t first_event_ms; /* 0: none yet */
    loss_t loss;
    bool lost_silent;
    int64_t reset_ms;        /* when its host learns of the loss; or 0 */
    int64_t twice_check_ms;  /* when no earlier run may work any more; or 0 */
    size_t standby;          /* SIZE_MAX: none */
    uint32_t standby_starts; /* when the run began */
    size_t previous;         /* of the request's runs; SIZE_MAX: none */
} run_t;

typedef struct {
    char id[SIM_NAME_BYTES];
    request_type_t type;
    size_t host;
    int64_t deadline_ms;
    int64_t work_ms;  /* of a plain runner; or the prefill of an engine */
    int64_t last_id;  /* of its stream */
    int64_t event_id; /* of the last event that the caller has */
    int64_t event_ms; /* its time */
    bool lost;        /* a runner that had it has really failed */
    uint32_t worked;  /* runs that a runner began */
    size_t run;       /* the latest; SIZE_MAX: none */
    size_t event_run; /* that sent the last event */
    bool ended;
    /* A copy of its KV cache that was made on request. */
    size_t copy_runner; /* SIZE_MAX: none */
    uint32_t copy_starts;
} request_t;

/* A probe, or a request to copy a KV cache. */
typedef struct {
    bool active;
    bool copy;
    size_t host;
    size_t runner;
    char runner_id[SIM_NAME_BYTES];
    size_t to;
    size_t request;
    uint32_t attempt;
    int64_t sent_ms;
    int64_t timeout_ms;
} call_t;

typedef struct {
    uint64_t rng_state;
    uint64_t reset_rng_state; /* its use depends on what hosts do */
    int64_t now_ms;
    size_t host_count;
    size_t runner_count;
    size_t engine_count;
    int64_t version; /* of the routing table */
    uint32_t silent_percent;
    uint32_t onset_percent; /* silences that wait for a moment of a run */
    int64_t round_ms;
    int64_t change_ms;
    uint32_t changes; /* due at change_ms */
    uint32_t fail_percent;
    int64_t fail_ms;
    bool same_id;
    bool resets_old; /* a restarted runner resets connections of before */
    bool sends_head_early;
    int64_t stream_interval_ms;
    int64_t plain_interval_ms;
    host_t hosts[HOSTS_MAX];
    runner_t runners[RUNNERS_MAX];
    request_t requests[REQUESTS_MAX];
    size_t request_count;
    size_t stream_count;
    run_t runs[RUNS_MAX];
    size_t run_count;
    size_t first_run; /* all before it have ended */
    call_t calls[CALLS_MAX];
    silence_result_t result;
} silence_state_t;

extern silence_state_t silence;

/* --- silence_sim.c --- */

uint64_t silence_draw(uint64_t below);
int64_t silence_draw_between(int64_t from, int64_t to);
void silence_deliver(size_t host, const forward_event_t *event);
/* Delivers the event to all hosts. */
void silence_deliver_all(const forward_event_t *event);

/* --- silence_runner.c --- */

bool silence_is_silent(const runner_t *runner);
/* Begins or ends a run, as its host orders. */
void silence_send(const forward_action_t *action);
void silence_cancel(const forward_action_t *action);
void silence_pass_on(const forward_action_t *action);
/* Moves all runs on by a tick. */
void silence_run_runners(void);
/* Ends what runs at the runner, which fails now. */
void silence_lose_runs(size_t runner);
/* Resets the connections from before the runner's restart. */
void silence_reset_lost_runs(size_t runner);

/* --- silence_call.c --- */

/* Ids are n<index>-<start>, addresses 10.0.0.<index>:80. */
size_t silence_runner_of_id(const char *id);
size_t silence_runner_of_address(const char *address);
void silence_probe(size_t host, const forward_action_t *action);
void silence_copy(size_t host, const forward_action_t *action);
/* Gives the results that are due. */
void silence_run_calls(void);

/* --- silence_fault.c --- */

void silence_draw_fleet(uint64_t seed);
void silence_register(size_t host, size_t runner);
/* Starts the silence that waits for this moment at the runner. */
void silence_begin_onset(runner_t *runner, onset_t onset);
/* Causes what is due in this tick. */
void silence_cause_faults(void);
void silence_change_host(size_t host);

#endif
