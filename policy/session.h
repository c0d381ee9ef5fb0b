/*
 * session.h - one accepted request, from its arrival to its last byte.
 *
 * A session owns its answer and its attempts.  An attempt is one stream at
 * one backend server; at most two run at a time, and only while they race.
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

enum { SESSION_ATTEMPTS = 2 };

typedef enum {
    SESSION_LOOKUP,   /* asking peers whether they know the request */
    SESSION_CLAIMING, /* non-idempotent: waiting for its claim */
    SESSION_QUEUED,   /* waiting for a runner */
    SESSION_RUNNING,  /* an attempt is live */
    SESSION_FINISHED, /* kept for a repeat */
    SESSION_REFUSED,  /* kept for a repeat, only if it may have run */
} session_state_t;

typedef struct session session_t;

typedef struct attempt {
    LIST_ENTRY(attempt) on_runner;
    session_t *session;
    runner_state_t *runner;
    uint64_t stream; /* the number of its connection */
    uint32_t number; /* fences: see answer.h */
    char *stream_name;
    endpoint_t endpoint;
    uint32_t first;     /* the answer's position at its own token 0 */
    uint32_t received;  /* own tokens, those held back included */
    uint32_t *held_ids; /* tokens without text yet */
    uint32_t held_count;
    uint32_t held_capacity;
    int64_t opened_us;
    int64_t piece_us; /* of the last piece; 0: none yet */
    int64_t quiet_us; /* when silence was last acted upon; 0: never */
    bool recover;     /* its prompt holds what is known of the answer */
    bool probe;       /* only to learn the prompt's token ids */
    bool reattached;  /* taken up again and not heard since */
    UT_hash_handle hh;
} attempt_t;

struct session {
    uint64_t id;
    arena_t arena;
    char *name; /* organisation, key and run, parted by newlines */
    char *run;  /* "", or the stream that a second run was taken up from */
    char *organisation;
    char *key;
    char *model;        /* as the caller named it */
    char *engine_model; /* the version or adapter to name to the engine */
    char *runner_model; /* what the runner must have loaded */
    char *service_name; /* the team's service */
    bool keyed;
    bool service;
    bool idempotent;
    bool stream;
    bool weighs_extra_work;
    bool claimed;
    endpoint_t endpoint;
    urgency_t urgency;
    uint32_t weight;
    uint64_t fingerprint;
    uint32_t max_tokens;
    bool seeded;
    int64_t seed;
    uint64_t *prefix_hashes;
    size_t prefix_count;

    session_state_t state;
    uint64_t caller; /* 0: gone */
    uint64_t body;   /* the caller number whose body is kept; 0: none */
    uint32_t from;   /* position that the caller hands back, until the answer
                        has come so far; then 0 */
    uint32_t from_attempt; /* and the attempt that gave it */
    stream_place_t place;  /* and where that one runs */
    uint64_t from_hash;    /* and the hash of all that it holds */
    uint32_t tail_from;
    uint32_t tail_count;
    uint32_t *tail_ids; /* and the ids from tail_from to from */
    uint32_t given;     /* cuts given to the present caller */
    uint64_t hash;      /* of the token ids before hash_to */
    uint32_t hash_to;

    uint32_t epoch; /* of its ownership among hosts */
    uint32_t attempt_count;
    uint32_t writer;       /* the attempt that wrote last; 0: none */
    uint32_t may_have_run; /* attempts sent and not refused as not run */
    attempt_t *attempts[SESSION_ATTEMPTS];
    uint32_t *prompt_ids;
    uint32_t prompt_count;
    answer_t answer;
    reply_event_t reply; /* of a plain service, copied into the arena */

    int64_t arrived_us;
    int64_t state_us;               /* when it came into its state */
    int64_t orphan_us;              /* when its caller left; 0: it is there */
    char keeper[LINK_NAME_MAX + 1]; /* the host that keeps its record, or "" */
    uint32_t recorded_cuts;         /* of the answer, sent to the keeper */
    bool alone; /* another host has the request too, and its record */
    bool kept;  /* the keeper has said so: it says who the owner is */
    uint32_t settled_cuts;     /* of these, held there by its own word */
    uint32_t recorded_attempt; /* the writer when it was sent */
    int64_t claim_until_us;    /* not to be started after this; 0: no claim */
    bool waits_resumed; /* queued after a loss, not for its first start */

    refusal_t refusal;
    run_t refusal_run;
    uint64_t ask;      /* of the lookup */
    uint32_t ask_left; /* peers that have not answered */
    due_t due;
    bool pooled; /* waits in its model's pool */
    bool aside;  /* waits outside of it */
    TAILQ_ENTRY(session) queue;
    UT_hash_handle hh; /* by id */
    UT_hash_handle hh_name;
    UT_hash_handle hh_caller;
};

/* Whom the wish's suspect would meet on the runner. */
suspect_company_t session_company(const runner_state_t *runner,
                                  const wish_t *wish);

/* What the session wishes of a runner, for runners_choose(). */
wish_t session_wish(const session_t *session, const char *zone);

const char *session_state_name(session_state_t state);

#endif
