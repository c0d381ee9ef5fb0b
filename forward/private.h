/*
 * private.h - what the files of forward/ share.
 *
 * forward.c takes the events, registry.c those on runners, intake.c decides on
 * a new request, send.c starts and ends its attempts, recover.c goes on after
 * a loss, copies.c keeps copies of running streams, sharing.c takes the other
 * hosts' word, notes.c what they have found out, suspicion.c finds requests
 * that crash runners, watchdog.c looks for what is due.
 */
#ifndef FORWARD_PRIVATE_H
#define FORWARD_PRIVATE_H

#include <sys/queue.h>

#include <uthash.h>

#include "forward/forward.h"
#include "forward/pool.h"
#include "policy/suspect.h"

enum { US_PER_MS = 1000 };

/* One send of a request to a runner. */
typedef struct {
    uint32_t number;         /* from 1 on */
    pool_runner_t *runner;   /* NULL: none is under way */
    pool_runner_t *standby;  /* keeps a copy of the run's memory; or NULL */
    uint64_t standby_serial; /* of its start; a later one has nothing */
    int64_t started_us;
    int64_t heard_us;  /* of its last sign of life */
    int64_t probed_us; /* its runner was asked for a sign of life */
    uint32_t status;   /* of its answer; 0: none yet */
    uint32_t events;   /* of its stream, given to the caller */
    int64_t first_us;  /* the first of them came then */
    uint32_t missed;   /* its runner's reports, in a row, that lack it */
    bool genuine;
    bool not_run;
    const char *copy_name; /* the standby's copy was asked for, not sent as the
                              run grew; its name at the runner.  NULL: else */
    int64_t ask_at_us; /* a copy is to be asked for or refreshed then; 0: when
                          the standby is lost */
    bool asking;
    bool restored; /* begun from a copy */
    bool repeat;   /* counts against the retry budget */
    bool passing;  /* what comes goes to the caller */
    bool probing;
} attempt_t;

/* A request of a caller. */
typedef struct request {
    uint64_t number;
    arena_t arena;
    const char *id;
    const char *service;
    const char *organisation; /* NULL: anonymous */
    request_type_t type;
    bool resumable;
    bool backups; /* the service's engines copy a run's memory */
    uint32_t attempts_max;
    uint32_t objective_ms;
    uint32_t prompt_tokens;
    uint64_t affinity;
    uint64_t fingerprint;
    int64_t arrived_us;
    int64_t deadline_us; /* the earlier of the route's and the caller's */
    int64_t last_event_id;
    int64_t retry_at_us;  /* waits for a runner until then; 0: does not */
    int64_t gap_since_us; /* a begun stream has had no runner since; 0: has */
    int64_t first_us;     /* its first event was given then; 0: none yet */
    int64_t last_us;      /* and its last one */
    int64_t gap_max_us;   /* between two of them */
    uint32_t runs;        /* runners that may have worked on it */
    uint32_t arrivals;    /* runners that may have got it */
    bool begun;           /* the caller has the answer's head */
    attempt_t attempt;    /* the last one */
    pool_runner_t *copy;  /* keeps the memory of the attempt that was lost */
    const char *copy_address; /* the copy is named by this runner ... */
    const char *copy_name;    /* ... and by this name */
    uint64_t tried[POOL_TRIED_MAX];
    size_t tried_count;
    UT_hash_handle hh;
} request_t;

/* A service's share in what all hosts may repeat. */
typedef struct {
    char *service;
    retry_budget_t budget;
    UT_hash_handle hh;
} service_budget_t;

/* The streams of another host, as it told them last. */
typedef struct {
    char *host;
    uint64_t incarnation;
    uint64_t number;
    uint64_t noted; /* number of its last note that was taken */
    int64_t heard_us;
    int64_t contact_us; /* its routing table was in force then */
    placement_t *placements;
    uint32_t count;
    budget_use_t budgets[LINK_BUDGETS_MAX];
    uint32_t budget_count;
    UT_hash_handle hh;
} peer_view_t;

enum { EVIDENCE_MAX = 64, FINDINGS_MAX = 32 };

/* A request of this host was at a runner that seemed lost. */
typedef struct {
    uint64_t fingerprint;
    uint64_t runner; /* its id_hash */
    uint64_t serial;
} evidence_t;

/* What the judge found, not told until the registry bears it out. */
typedef struct {
    suspect_t suspect;
    int64_t until_us; /* it is dropped then; 0: none */
} unconfirmed_t;

/* What is told for some time. */
typedef struct {
    note_t note;
    int64_t until_us;
} told_note_t;

/* Where the prompt of a session was read. */
typedef struct {
    uint64_t session;
    uint64_t runner;  /* its id_hash */
    int64_t until_us; /* it may be cached there */
    UT_hash_handle hh;
} session_t;

struct forward {
    forward_settings_t settings;
    char *zone;
    uint64_t chance; /* state of the generator of weighted choices */
    routing_t *routing;
    int64_t contact_us; /* the routing table was in force then; 0: never */
    uint32_t hosts;
    int64_t draining_us; /* since when; 0: not */
    pool_t *pool;
    peer_view_t *peers;  /* by host */
    session_t *sessions; /* by session */
    bool listing;        /* the whole registry is being read */
    bool share_due;      /* the other hosts are told when the step ends */
    request_t *requests; /* by number */
    service_budget_t *budgets;
    suspects_t *suspects;              /* requests that crash runners */
    evidence_t evidence[EVIDENCE_MAX]; /* in turn */
    uint64_t evidence_made;
    unconfirmed_t unconfirmed[FINDINGS_MAX];
    told_note_t notes[LINK_NOTES_MAX]; /* by number, modulo its size */
    uint64_t notes_made;
    /* Of the step that is running. */
    int64_t now_us;
    forward_orders_t *orders;
};

/* --- forward.c --- */

/* A line for the log; event is one word, the rest key=value pairs. */
void tell(forward_t *forward, int severity, const char *event,
          const char *format, ...) __attribute__((format(printf, 4, 5)));
/* The last word on a request: what became of it. */
void tell_end(forward_t *forward, const request_t *request,
              const char *outcome, const char *reason, uint32_t status);

forward_order_t *order_new(forward_t *forward, forward_order_kind_t kind,
                           uint64_t number);
/* Ends the request: its attempt is cancelled, its memory freed. */
void request_forget(forward_t *forward, request_t *request);
retry_budget_t *budget_of(forward_t *forward, const char *service);
/*
 * Whether the request may be sent once more.  What has not arrived anywhere
 * repeats nothing.
 */
bool repeat_allowed(forward_t *forward, const request_t *request);
/* Counts the attempt that begins; takes back one that reached no runner. */
void arrival_count(forward_t *forward, request_t *request);
void arrival_uncount(forward_t *forward, request_t *request);

/* --- registry.c --- */

void registry_event(forward_t *forward, const forward_event_t *event);

/* --- intake.c --- */

void intake(forward_t *forward, const forward_request_t *caller);

/* --- send.c --- */

/*
 * Sends the request to the best runner that it has not been tried on;
 * false when there is none.
 */
bool send_request(forward_t *forward, request_t *request);
/* Goes on at the runner that keeps a copy; false when it cannot be used. */
bool send_to_copy(forward_t *forward, request_t *request);
/* A runner in another failure domain, or at least another one; or NULL. */
pool_runner_t *choose_standby(const forward_t *forward,
                              const request_t *request,
                              const pool_runner_t *runner);
/* The attempt is over; cancelled: its runner is told. */
void attempt_end(forward_t *forward, request_t *request, bool cancel);
void refuse(forward_t *forward, request_t *request, refuse_reason_t reason);

/* --- recover.c --- */

void take_head(forward_t *forward, const forward_head_t *head);
void take_end(forward_t *forward, const forward_end_t *end);
/* The attempt's runner broke off, fell silent or was not reached. */
void recover(forward_t *forward, request_t *request, send_result_t result);
/* A request that waits for a runner is tried again. */
void retry_waiting(forward_t *forward, request_t *request);

/* --- copies.c --- */

/* Has a lost standby replaced, and a copy that lapses refreshed. */
void copies_check(forward_t *forward, request_t *request);
int64_t copies_due_us(const request_t *request);
void take_copied(forward_t *forward, const forward_copied_t *copied);
/* A copy that was asked for is wanted no more. */
void copies_drop(forward_t *forward, request_t *request);
/* Names the runner that keeps a copy from now on; NULL: none does. */
void copies_set_standby(attempt_t *attempt, pool_runner_t *standby);

/* --- sharing.c --- */

void take_peer(forward_t *forward, const forward_peer_t *peer);
/* What other hosts have used of a service's retry budget. */
retry_use_t peers_use(const forward_t *forward, const char *service);
/* Whether the other hosts that were heard lately lack the store, too. */
bool peers_lack_store(const forward_t *forward);
/* Forgets hosts that are silent and sessions that are old. */
void sharing_sweep(forward_t *forward);
void sharing_free(forward_t *forward);
/* The session's prompt is read there. */
void session_note(forward_t *forward, uint64_t session, uint64_t runner);
/* id_hash of the runner that has read it, or 0. */
uint64_t session_runner(const forward_t *forward, uint64_t session);

/* --- notes.c --- */

/* Has all other hosts told. */
void note_add(forward_t *forward, const finding_t *finding);
/* What another host tells, and what it is told. */
void notes_heard(forward_t *forward, peer_view_t *view,
                 const placements_t *placements);
void notes_tell(const forward_t *forward, arena_t *arena,
                placements_t *placements);

/* --- suspicion.c --- */

/* From the first step on: what was before has not been watched. */
void suspicion_start(forward_t *forward);
int64_t suspicion_due_us(const forward_t *forward);
/* The attempt under way lost its runner; it was there for so long. */
void suspicion_lost(forward_t *forward, const request_t *request);
/* A run came to its end. */
void suspicion_answered(forward_t *forward, const request_t *request);
/* Whether the request may be sent to a runner now, later or not. */
suspect_verdict_t suspicion_verdict(const forward_t *forward,
                                    const request_t *request);
/* When a refused one may come again. */
uint32_t suspicion_wait_ms(const forward_t *forward, const request_t *request);
/* Judges what is due. */
void suspicion_judge(forward_t *forward);
/* Has the other hosts told what is new. */
void suspicion_publish(forward_t *forward);

/* --- watchdog.c --- */

/* Does what is due for one request. */
void watch_request(forward_t *forward, request_t *request);
/* This process stood still: nobody's silence counts until now. */
void watch_after_pause(forward_t *forward, int64_t now_us);
/* When that is next due. */
int64_t watch_due_us(const request_t *request);
void take_probed(forward_t *forward, const forward_probed_t *probed);

#endif
