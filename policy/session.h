/*
 * session.h - the state of one accepted request, from arrival to expiry.
 *
 * A session owns its answer and its attempts.  An attempt is one stream from
 * a backend server.  At most two attempts are live at a time, and two only
 * while they race.
 */
#ifndef POLICY_SESSION_H
#define POLICY_SESSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include <uthash.h>

#include "base/arena.h"
#include "policy/answer.h"
#include "policy/runners.h"
#include "policy/timers.h"
#include "world/contract.h"

enum { SESSION_ATTEMPTS_MAX = 2 };

typedef enum {
    SESSION_LOOKUP,   /* asking other hosts for a record of the request */
    SESSION_CLAIMING, /* non-idempotent: waiting for its claim */
    SESSION_QUEUED,   /* waiting for a runner */
    SESSION_RUNNING,  /* an attempt is live */
    SESSION_FINISHED, /* retained for retries */
    SESSION_REFUSED,  /* retained for retries; only if it may have run */
} session_state_t;

typedef struct session session_t;

typedef struct attempt {
    LIST_ENTRY(attempt) runner_entry;
    session_t *session;
    runner_state_t *runner;
    uint64_t stream; /* number of the connection; changes on reattach */
    uint32_t number; /* the writer number in answer.h */
    char *stream_name;
    endpoint_t endpoint;
    uint32_t start_position; /* of its first token in the answer */
    uint32_t received;       /* tokens, pending ones included */
    uint32_t *pending_ids;   /* tokens without text yet */
    uint32_t pending_count;
    uint32_t pending_capacity;
    int64_t opened_us;
    int64_t last_chunk_us;      /* 0: no tokens received yet */
    int64_t silence_handled_us; /* last reaction to silence; 0: none */
    bool restores_answer;  /* its prompt contains the answer's known tokens */
    bool probe;            /* opened only to learn the prompt's token ids */
    bool reattached;       /* nothing received since it was reattached */
    int64_t reattached_us; /* the first of these times; set if reattached */
    UT_hash_handle hh;
} attempt_t;

struct session {
    uint64_t id;
    arena_t arena;
    char *name; /* organisation, key and run, separated by newlines */
    char *run;  /* "", or for a second run the stream it reattached to */
    char *organisation;
    char *key;
    char *model;        /* as the caller named it */
    char *engine_model; /* the version or adapter to name to the engine */
    char *runner_model; /* the model that a runner must have loaded */
    char *service_name; /* the team's service */
    bool has_key;       /* the caller sent an Idempotency-Key */
    bool service;       /* a request to a plain service, not to a model */
    bool idempotent;
    bool stream;
    bool weighs_extra_work; /* prefer a longer gap to duplicate work */
    bool claimed;
    endpoint_t endpoint;
    urgency_t urgency;
    uint32_t weight;
    uint64_t fingerprint;
    uint32_t max_tokens;
    bool has_seed;
    int64_t seed;
    uint64_t *prefix_hashes;
    size_t prefix_count;

    session_state_t state;
    uint64_t caller; /* 0: disconnected */
    uint64_t body;   /* the caller number whose body is stored; 0: none */

    /*
     * The caller's Last-Event-ID.  resume_position is set to 0 once the
     * answer has reached it.
     */
    uint32_t resume_position;
    uint32_t resume_attempt; /* the attempt that sent the last token */
    stream_location_t resume_location; /* the stream of that attempt */
    uint64_t resume_hash; /* of all token ids up to the position */
    uint32_t tail_from;
    uint32_t tail_count;
    uint32_t *tail_ids;     /* from tail_from to resume_position */
    uint32_t sent_boundary; /* last one sent to the present caller */
    uint64_t token_hash;    /* of the token ids before token_hash_end */
    uint32_t token_hash_end;

    uint32_t epoch; /* of this host's ownership of the session */
    uint32_t attempt_count;
    uint32_t last_writer;   /* the attempt that wrote last; 0: none */
    uint32_t possible_runs; /* attempts that a backend server may have run */
    attempt_t *attempts[SESSION_ATTEMPTS_MAX];
    uint32_t *prompt_ids;
    uint32_t prompt_count;
    answer_t answer;
    reply_event_t reply; /* of a plain service, copied into the arena */

    int64_t arrived_us;
    int64_t state_since_us;
    int64_t orphaned_us; /* when its caller disconnected; 0: connected */
    char replica_host[LINK_NAME_MAX + 1]; /* stores its record; "": none */
    uint32_t replicated_boundary; /* last one sent to the replica host */
    bool superseded;              /* another host owns the request's record */
    bool replica_acknowledged;    /* so the replica host decides who owns it */
    uint32_t acknowledged_boundary; /* last one that it has acknowledged */
    uint32_t replicated_attempt;    /* last_writer at the last update */
    int64_t claim_expires_us; /* not to be started after this; 0: no claim */
    bool queued_to_resume; /* queued after a loss, not for its first start */

    refusal_t refusal;
    execution_t refusal_run;
    uint64_t lookup_id;       /* 0: no lookup pending */
    uint32_t lookups_pending; /* hosts that have not replied */
    timer_entry_t timer;
    bool in_pool;     /* in its model's pool */
    bool is_deferred; /* in the queue's list of sessions outside the pools */
    TAILQ_ENTRY(session) queue;
    UT_hash_handle hh; /* by id */
    UT_hash_handle hh_name;
    UT_hash_handle hh_caller;
};

/*
 * Returns the worst result of suspects_check_colocation() for the session that
 * the query describes and each session on the runner.
 */
suspect_colocation_t session_worst_colocation(const runner_state_t *runner,
                                              const runner_query_t *query);

/* Returns the session's requirements of a runner for runners_select(). */
runner_query_t session_runner_query(const session_t *session,
                                    const char *zone);

const char *session_state_name(session_state_t state);

#endif
