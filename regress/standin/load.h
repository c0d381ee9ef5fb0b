/*
 * load.h - the load client: seeded sessions, and what they saw.
 */
#ifndef REGRESS_STANDIN_LOAD_H
#define REGRESS_STANDIN_LOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "http/http.h"
#include "regress/history.h"
#include "regress/standin/generate.h"

enum { LOAD_NAME_BYTES = 96, LOAD_ROUTERS_MAX = 16 };

typedef enum {
    LOAD_COMPLETIONS,
    LOAD_CHAT,
    LOAD_PLAIN,
} load_endpoint_t;

/* What to send; a function of the seed. */
typedef struct {
    char name[LOAD_NAME_BYTES]; /* the idempotency key */
    char tag[LOAD_NAME_BYTES];  /* what the backends' journals call it */
    load_endpoint_t endpoint;
    bool streamed;
    bool idempotent;
    bool kills_engines;
    bool repeated;       /* a second caller sends it at the same time */
    uint32_t drop_after; /* the caller drops its connection; 0: never */
    uint32_t first_router;
    char *body;
    uint32_t max_tokens;
    generate_t prompt; /* the context before the first token */
} load_plan_t;

/* What a clean run answers. */
typedef struct {
    uint32_t *ids;
    uint32_t count;
    char *text;
    const char *finish;
} expected_t;

typedef struct {
    const char *routers[LOAD_ROUTERS_MAX]; /* "ip:port" */
    uint32_t router_count;
    const char *key;       /* of the organisation */
    const char *model;     /* what callers ask for */
    const char *version;   /* what the engines run */
    const char *service;   /* the plain service's name */
    const char *kind;      /* X-Request-Kind of idempotent requests */
    const char *once_kind; /* of non-idempotent ones */
    uint32_t silence_ms;   /* after which a caller reconnects */
    uint32_t patience_ms;  /* after which it gives up */
    bool vary;             /* the engines' unseeded generations differ */
    bool print;            /* the text, as it comes */
} load_options_t;

/* load_plan.c */
typedef struct {
    uint64_t seed;
    uint32_t sessions;
    uint32_t length_min;
    uint32_t length_max;
    uint32_t plain_percent;
    uint32_t once_percent;   /* non-idempotent */
    uint32_t repeat_percent; /* sent by two callers */
    uint32_t drop_percent;
    uint32_t whole_percent;
    uint32_t killers; /* requests that kill engines, in the whole run */
} load_mix_t;
void plan_make(load_plan_t *plan, const load_mix_t *mix,
               const load_options_t *options, uint32_t index);
/* The answer that begins with first_id, or with the engines' own if 0. */
expected_t plan_expect(const load_plan_t *plan, uint32_t first_id);
void plan_free(load_plan_t *plan);

/* load_session.c */
typedef struct session session_t;
struct session {
    http_sink_t sink; /* first */
    const load_options_t *options;
    const load_plan_t *plan;
    http_client_t *client;
    http_call_t *call;
    uv_timer_t timer;
    void (*finished)(session_t *session);
    uint32_t router;
    uint64_t begun_us;
    uint64_t last_us; /* when the last bytes came */
    bool ended;       /* a whole answer or a last refusal was seen */
    bool superseded;  /* another caller with the key took its place */
    char refusal[LOAD_NAME_BYTES]; /* the kind of the last one */
    bool dropped;  /* it has dropped its connection on purpose */
    uint32_t held; /* tokens of the answer */
    uint32_t status;
    bool event_stream;
    bool error_event;
    char *event_id; /* of the event that is being read */
    char *last_id;  /* of the last one read, as it came */
    uint32_t event_position;
    bool event_named_other;
    char *input; /* bytes of a line, or of a whole body */
    size_t input_bytes;
    char *text;
    size_t text_bytes;
    const char *finish;
    expected_t expected; /* once the first token has come, or at the end */
    history_event_t *events;
    size_t event_count;
    uint32_t *ids;
    uint32_t id_count;
};
/* Settles what is expected of a session that no token has come to. */
void session_expect(session_t *session);
void session_start(session_t *session, uv_loop_t *loop);
history_request_t session_history(const session_t *session);
void session_free(session_t *session);

/* load_answer.c: takes what came as events of the session's history. */
void answer_line(session_t *session, const char *line);
void answer_body(session_t *session);
void session_record(session_t *session, history_event_t event);

/* load_run.c: returns the exit status. */
typedef struct {
    uint32_t at_once;
    const char *const *journals;
    size_t journal_count;
    uint32_t bound_ms;
    uint32_t killer_bound; /* engines that one request may kill */
    bool uncut;            /* a connection cut off is a fault */
} load_run_t;
int run_one(const load_options_t *options, const load_mix_t *mix);
int run_many(const load_options_t *options, const load_mix_t *mix,
             const load_run_t *run);

/*
 * load_report.c: checks every history and prints the figures; returns the
 * exit status.  sessions[count + i] repeats sessions[i].
 */
int report_run(const load_run_t *run, const session_t *sessions,
               uint32_t count);

/* load_store.c: both return the exit status. */
/* One call whose answer is printed; body may be NULL. */
int call_print(const char *method, const char *url, const char *key,
               const char *body);
/* Puts a file's bytes under a key. */
int store_put(const char *address, const char *key, const char *path);

#endif
