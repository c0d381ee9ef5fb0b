/*
 * forward.h - forwards callers' requests from one host to runners.
 *
 * A deterministic state machine without I/O: forward_step() takes an event
 * and the current time and returns the actions to carry out.  The same events
 * always give the same actions.
 *
 * An unsafe request is sent to a second runner only when the first is known
 * not to have run it.  A resumable stream whose runner fails is resumed on
 * another runner, starting with the event after the last one that was
 * delivered to the caller.  A standby runner that holds a copy of the stream's
 * KV cache is preferred.
 *
 * Strings in events are owned by the code that calls forward_step().  Strings
 * in actions are valid until the next forward_step().
 */
#ifndef FORWARD_FORWARD_H
#define FORWARD_FORWARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "forward/retry_budget.h"
#include "forward/rollout.h"
#include "world/generated/link.h"
#include "world/registration.h"
#include "world/routing.h"

typedef struct forward forward_t;

/* Why a request ends without a complete response from a runner. */
typedef enum {
    REFUSE_NO_ROUTING,       /* this host has no routing table yet */
    REFUSE_ROUTING_STALE,    /* its routing table may be out of date */
    REFUSE_NO_ROUTE,         /* no route matches the host name and path */
    REFUSE_NO_KEY,           /* the key is missing or unknown */
    REFUSE_KEYS_UNREADABLE,  /* its routing table does not tell who may */
    REFUSE_DRAINING,         /* this host is draining */
    REFUSE_NO_RUNNER,        /* no runner is available */
    REFUSE_NO_VERSION,       /* it is not known which service or version began
                                the stream that the caller takes up */
    REFUSE_RUNNERS_FULL,     /* every runner reported that it is full */
    REFUSE_HOST_FULL,        /* this host has reached requests_max */
    REFUSE_RETRY_BUDGET,     /* the service's retry budget is exhausted */
    REFUSE_HARMFUL,          /* the request crashes runners */
    REFUSE_RUNNER_LOST,      /* a runner failed; the request may have run */
    REFUSE_INVALID_RESPONSE, /* a runner's response failed verification */
    REFUSE_TIMEOUT, /* the route's or the caller's deadline has passed */
} refuse_reason_t;

/* How an attempt to send a request to a runner ended. */
typedef enum {
    SEND_COMPLETE,     /* the complete response was received */
    SEND_NOT_SENT,     /* no connection: the runner received nothing */
    SEND_BROKEN,       /* the connection failed; the request may have run */
    SEND_INVALID,      /* the response is malformed or for another request */
    SEND_UNRESPONSIVE, /* the runner cannot be reached by probes */
    SEND_STALLED,      /* the runner can be reached but sends no data */
    SEND_DROPPED,      /* the runner's reports no longer list the request */
} send_result_t;

typedef enum {
    FORWARD_REQUEST,
    FORWARD_CALLER_DISCONNECTED,
    FORWARD_RESPONSE_HEAD,
    FORWARD_STREAM_PROGRESS,
    FORWARD_SEND_END,
    FORWARD_PROBE_RESULT,
    FORWARD_COPY_RESULT,
    FORWARD_ROUTING,
    FORWARD_RUNNER_REGISTERED,
    FORWARD_RUNNER_DEREGISTERED,
    FORWARD_REGISTRY_BEGIN,
    FORWARD_REGISTRY_END,
    FORWARD_RECORD,
    FORWARD_PUT_RESULT,
    FORWARD_ROLLOUT_ORDER,
    FORWARD_ROLLOUT_STATUS,
    FORWARD_ROLLOUT_WRITTEN,
    FORWARD_STORE_CONTACT,
    FORWARD_STORE_LOST,     /* a call of this host to it has failed */
    FORWARD_STORE_REGAINED, /* it answers this host after failed calls */
    FORWARD_STORE_RESTORED, /* from an older copy; a full list follows */
    FORWARD_HOST_COUNT,
    FORWARD_HOSTS,
    FORWARD_PEER_REPORT,
    FORWARD_LIMITS,
    FORWARD_DRAIN,
    FORWARD_STOP, /* the host is about to close all connections */
    FORWARD_TIMER,
} forward_event_kind_t;

/*
 * What a host that relays a request grants to the other host, and what it has
 * used before.  runners are the hashes of the ids of those that have received
 * the request; they are not sent it again.
 */
typedef struct {
    uint32_t attempts;   /* runners that may run it; 0: as the route says */
    uint32_t deliveries; /* that were made before */
    uint64_t version;    /* of the software that began it; 0: none yet */
    uint64_t service;    /* hash of its name; 0: as the route says */
    const uint64_t *runners;
    uint32_t runner_count;
    int64_t routing_version; /* of the routing table by which the host relays;
                                0: not stated */
} relay_grant_t;

/* What the other host has used of a grant. */
typedef struct {
    bool stated;         /* false: it did not tell */
    uint32_t runs;       /* runners that may have run the request */
    uint32_t deliveries; /* runners that may have received it */
    uint64_t version;    /* of the software that began it; 0: none yet */
    uint64_t service;    /* hash of its name; 0: as the route says */
    const uint64_t *runners;
    uint32_t runner_count;
    int64_t routing_version; /* as in relay_grant_t, of the other host */
} relay_usage_t;

/* Runners in a grant or in a usage. */
enum { RELAY_RUNNERS_MAX = 12 };

/* Further parts of a prompt are not examined. */
enum { FORWARD_PARTS_MAX = 16 };

/* A complete request from a caller. */
typedef struct {
    uint64_t number; /* identifies the request in later events and actions */
    const char *id;  /* the caller's id for this attempt */
    const char *host;
    const char *path;
    const char *key;        /* NULL: none */
    uint32_t deadline_ms;   /* how long the caller waits; 0: not stated */
    uint32_t prompt_tokens; /* 0: not stated */
    uint64_t affinity;     /* the same for requests that share a cached prompt;
                              arbitrary otherwise */
    int64_t last_event_id; /* last event the caller received; -1: none */
    const char *resumed_id; /* id of the caller's attempt that began the
                               stream; NULL: this one does */
    uint64_t fingerprint;   /* hash of caller and content, not of the id */
    /* Hashes of the parts of the prompt that other requests may share, from
     * its start on: at most FORWARD_PARTS_MAX. */
    const uint64_t *parts;
    uint32_t part_count;
    bool relayed;        /* by another host: it is not relayed again */
    relay_grant_t grant; /* of that host */
} forward_request_t;

/* The head of a response from a runner. */
typedef struct {
    uint64_t number;
    uint32_t attempt;
    uint32_t status;
    bool authentic; /* names this request and has a valid runner signature */
    bool not_run;   /* the runner or host states that it has not run */
    bool leaving;   /* the runner states that it leaves */
    bool event_stream; /* its body is stated to be one */
    /* When its connection stood: not before the first, not after the second.
     */
    int64_t connected_min_us;
    int64_t connected_max_us;
    /* The host that it was relayed to refused it, for this reason. */
    bool refused_by_host;
    refuse_reason_t refusal;
    uint32_t retry_after_ms; /* of that refusal; 0: not stated */
    relay_usage_t usage;     /* of the host that it was relayed to */
} forward_response_head_t;

/* Complete events of a stream were received, up to last_event_id. */
typedef struct {
    uint64_t number;
    uint32_t attempt;
    int64_t last_event_id;
} forward_progress_t;

typedef struct {
    uint64_t number;
    uint32_t attempt;
    send_result_t result;
} forward_send_end_t;

/* Requests at a runner, as the runner reports them; some hundred ms old. */
typedef struct {
    uint32_t active; /* requests, not counting those in its queue */
    uint32_t queued;
    const char *const *runs; /* ids of requests with output */
    size_t run_count;
    bool leaving;       /* it takes no more requests */
    int64_t started_ms; /* as in registration_t */
} runner_report_t;

typedef enum {
    PROBE_ANSWERED,
    PROBE_SILENT,      /* connected, but no response in time */
    PROBE_UNREACHABLE, /* no connection in time, or it was reset */
} probe_outcome_t;

typedef struct {
    const char *runner;
    probe_outcome_t outcome;
    const runner_report_t *report; /* NULL: none was included */
    bool leaving;                  /* it states that it leaves */
    int64_t started_ms; /* as in registration_t, of the runner that answers */
    int64_t asked_us;   /* when the probe was started, or earlier */
} forward_probe_result_t;

/* Result of copying a stream's KV cache to its standby. */
typedef struct {
    uint64_t number;
    uint32_t attempt;
    const char *name; /* of the copy; NULL: the copy failed */
    bool leaving;     /* the runner that was asked states that it leaves */
} forward_copy_result_t;

/* A host that accepts callers' requests. */
typedef struct {
    const char *name;
    const char *address; /* for callers' requests */
    const char *zone;
} forward_host_t;

/* All hosts, in place of those known before. */
typedef struct {
    const forward_host_t *items;
    size_t count;
} forward_hosts_t;

/* The requests of another host at runners, as that host reports them. */
typedef struct {
    const char *host;
    const placements_t *placements; /* NULL: the host has left */
} forward_peer_report_t;

/* A key of the store for which forward_is_record() holds, as it is there, or
 * as it is to be written. */
typedef struct {
    const char *key;
    const char *value; /* NULL: the key does not exist, or is to be removed */
    int64_t revision;  /* of its last change; 0: it does not exist.  It is only
                          written if it has this revision */
} forward_record_t;

typedef enum {
    FORWARD_PUT_DONE,
    FORWARD_PUT_CONFLICT, /* the key has another revision */
    FORWARD_PUT_FAILED,   /* it is not known whether it was written */
} forward_put_outcome_t;

/* How FORWARD_ACTION_PUT_RECORD has ended. */
typedef struct {
    forward_put_outcome_t outcome;
    forward_record_t record; /* as it is now; only the key if it has failed */
} forward_put_result_t;

/* How FORWARD_ACTION_PUT_ROLLOUT has ended. */
typedef struct {
    forward_put_outcome_t outcome;
    rollout_status_t status; /* as it is now; only the service if it failed */
} forward_rollout_written_t;

/* How this host knows the state of the store. */
typedef struct {
    int64_t contact_us; /* as of when all changes are known */
    int64_t revision;   /* of the store; up to it changes are applied */
    const char *source; /* "read", "watch", or the host that was polled; NULL:
                           not stated */
} forward_contact_t;

/* Limits that may change while the process runs. */
typedef struct {
    /* How long a routing table is used after it was last known to be
     * current; 0: no limit. */
    uint32_t revoke_ms;
    /* Time after an outage of the store within which runners whose entries
     * expired meanwhile register again. */
    uint32_t registry_ms;
    /* Times within which a new routing table has to be in force, and a runner
     * that leaves has to get no more requests; 0: no limit. */
    uint32_t apply_ms;
    uint32_t leave_ms;
    /* Time from the start of a drain until a host has to have ended all of its
     * requests.  It accepts those whose time is over before that. */
    uint32_t serve_ms;
    uint32_t requests_max; /* concurrent; 0: no limit */
    retry_limits_t retries;
    rollout_limits_t rollouts;
} forward_limits_t;

typedef struct {
    forward_event_kind_t kind;
    union {
        forward_request_t request;
        uint64_t disconnected; /* request whose caller closed its connection */
        forward_response_head_t head;
        forward_progress_t progress;
        forward_send_end_t end;
        forward_probe_result_t probed;
        forward_copy_result_t copied;
        routing_t *routing; /* forward_step() takes ownership */
        registration_t runner;
        const char *deregistered_id;
        forward_record_t record;
        forward_put_result_t put;
        rollout_order_t order;   /* revision 0: it has been removed */
        rollout_status_t status; /* the same */
        forward_rollout_written_t rollout_written;
        forward_contact_t contact;
        uint32_t hosts; /* number of hosts that share the retry budgets */
        forward_hosts_t host_list;
        forward_peer_report_t peer;
        forward_limits_t limits;
    } u;
} forward_event_t;

typedef enum {
    FORWARD_ACTION_SEND,
    FORWARD_ACTION_CANCEL,
    FORWARD_ACTION_RELAY_HEAD,
    FORWARD_ACTION_RELAY_RESPONSE,
    FORWARD_ACTION_FINISH,
    FORWARD_ACTION_REFUSE,
    FORWARD_ACTION_ABORT,
    FORWARD_ACTION_PROBE,
    FORWARD_ACTION_COPY,
    FORWARD_ACTION_FREE_COPY,
    FORWARD_ACTION_LOG,
    FORWARD_ACTION_RECORD_RESUME,
    FORWARD_ACTION_RECORD_END,
    FORWARD_ACTION_PUT_RECORD,  /* write to the store */
    FORWARD_ACTION_PUT_ROLLOUT, /* write the status of a roll-out there */
    FORWARD_ACTION_PUBLISH, /* send forward_placements() to the other hosts */
    FORWARD_ACTION_CONFIRM_VIEW, /* ask the store at once what has changed */
} forward_action_kind_t;

/* Sends the request to a runner, or relays it to another host. */
typedef struct {
    uint32_t attempt;
    const char *host;    /* to which it is relayed; NULL: none */
    const char *runner;  /* NULL: it is relayed */
    relay_grant_t grant; /* to that host */
    const char *address;
    const char *organisation; /* NULL: anonymous */
    uint32_t deadline_ms;     /* time that the runner has left; 0: unlimited */
    uint32_t connect_ms;      /* connection timeout */
    int64_t last_event_id;    /* resume after this event; -1: from the start */
    const char *backup_address; /* runner to copy the KV cache to; or NULL */
    /* Copy of the KV cache at this runner to resume from; or NULL.  A copy is
     * identified by a runner's address and a name. */
    const char *restore_address;
    const char *restore_name;
} send_action_t;

/* Asks the runner of a stream to copy its KV cache to another runner. */
typedef struct {
    uint32_t attempt;
    const char *request_id;
    const char *address; /* of the runner */
    const char *to;      /* address of the receiving runner */
    uint32_t timeout_ms;
} copy_action_t;

/* Asks the runner that made a copy to free it on both runners. */
typedef struct {
    const char *address; /* of the runner */
    const char *name;
    uint32_t timeout_ms;
} free_copy_action_t;

typedef struct {
    refuse_reason_t reason;
    uint32_t status;
    uint32_t retry_after_ms; /* 0: not stated */
    bool not_run;            /* no runner has run it or will run it */
} refuse_action_t;

/* A stream was resumed after its runner failed; for the metrics. */
typedef struct {
    int64_t gap_us; /* since the last event before the failure */
    bool restored;  /* from a copy of its KV cache */
} resume_record_t;

/* A request ended; for the log and the metrics. */
typedef struct {
    const char *id;
    const char *service; /* "none" if no route matched */
    const char *outcome; /* "served", "not-run", "unknown", "broken", "gone" */
    const char *reason;
    request_type_t type;
    uint32_t status;
    uint32_t attempts;
    uint32_t runs;
    int64_t total_us;
    int64_t first_response_us; /* time to the response or its first event; -1:
                                  none */
    int64_t gap_max_us;        /* longest time between two events */
    int64_t last_event_id;
    int64_t routing_version; /* of this host's routing table; -1: none */
    int64_t contact_age_us;  /* since the table was last known to be current */
} request_record_t;

typedef struct {
    forward_action_kind_t kind;
    uint64_t number; /* of the request */
    /* FORWARD_ACTION_RELAY_HEAD, FORWARD_ACTION_RELAY_RESPONSE and
     * FORWARD_ACTION_REFUSE of a request that another host relayed. */
    relay_usage_t usage;
    union {
        send_action_t send;
        /* FORWARD_ACTION_CANCEL; FORWARD_ACTION_RELAY_HEAD: relay the response
         * head; FORWARD_ACTION_RELAY_RESPONSE: relay the response. */
        uint32_t attempt;
        refuse_action_t refuse;
        resume_record_t resumed;
        request_record_t ended;
        copy_action_t copy;
        free_copy_action_t drop_copy;
        forward_record_t record;
        rollout_status_t rollout; /* if its key has this revision */
        struct {
            const char *runner;
            const char *address;
            uint32_t timeout_ms;
        } probe;
        struct {
            int severity; /* priority of syslog(3) */
            const char *event;
            const char *text; /* key=value pairs */
        } log;
    } u;
} forward_action_t;

/* The actions of one step; forward_step() empties the list first. */
typedef struct {
    arena_t arena;
    forward_action_t *items;
    size_t count;
    size_t size;
} forward_actions_t;

void forward_actions_free(forward_actions_t *actions);

typedef struct {
    const char *host; /* the name by which other hosts know this one */
    const char *zone; /* availability zone of this host */
    uint64_t seed;    /* for the random choice between weighted services */
    forward_limits_t limits;
} forward_settings_t;

forward_t *forward_new(const forward_settings_t *settings);
void forward_free(forward_t *forward);

/* Processes one event and replaces the contents of actions. */
void forward_step(forward_t *forward, int64_t now_us,
                  const forward_event_t *event, forward_actions_t *actions);

/* Returns when FORWARD_TIMER is due; INT64_MAX: never. */
int64_t forward_due_us(const forward_t *forward);

/* Returns the time since the routing table was last known to be current. */
int64_t forward_contact_age_us(const forward_t *forward, int64_t now_us);

/* Returns the age at which the view of the store is to be confirmed with the
 * store itself, in ms; 0: no limit is set. */
uint32_t forward_view_confirm_ms(const forward_limits_t *limits);

/* Returns whether this host should receive new callers. */
bool forward_ready(const forward_t *forward, int64_t now_us);

/* Returns false if the host of that name, this one or another, is known to
 * reach no runner. */
bool forward_host_reaches_runners(const forward_t *forward, const char *host);

/*
 * Writes the streams of this host to placements, to be sent to other hosts.
 * The arrays are allocated in arena.  Incarnation and number are left for
 * the calling code to set.
 */
void forward_placements(forward_t *forward, arena_t *arena,
                        placements_t *placements);

/* Return whether the store's key is one of FORWARD_RECORD, and whether it
 * holds the streams of a host, which hosts that get reports do not need. */
bool forward_is_record(const char *key);
bool forward_is_stream_record(const char *key);

/* A roll-out, for the metrics; valid until the next step. */
typedef struct {
    const char *service;
    const char *version;
    const char *phase;
    canary_arm_t new_version; /* responses to this host */
    canary_arm_t old_version;
} forward_rollout_view_t;

/* Writes up to max roll-outs to views; returns their number. */
size_t forward_rollouts(const forward_t *forward,
                        forward_rollout_view_t *views, size_t max);

/* Returns the number of requests in progress. */
size_t forward_request_count(const forward_t *forward);

const routing_t *forward_routing(const forward_t *forward);

/* Returns the reason's name in logs and metrics, such as "no-route". */
const char *refuse_reason_name(refuse_reason_t reason);

#endif
