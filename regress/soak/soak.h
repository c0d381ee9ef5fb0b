/*
 * soak.h - the real host program under faults that come from outside.
 *
 * One driver starts agated processes and is all that is around them: the
 * platform's store, the runners, the callers, and a proxy on each link.  By a
 * seed it stops, pauses and kills the processes and harms links, store and
 * runners, one fault after the other and several at a time; meanwhile it
 * checks, from what callers and runners see, what the system promises.
 * Loopback only; it ends only processes that it started, by their ids.
 */
#ifndef REGRESS_SOAK_SOAK_H
#define REGRESS_SOAK_SOAK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>
#include <uv.h>

#include "base/text.h"

enum {
    SOAK_HOSTS_MAX = 64,
    SOAK_ENGINES_MAX = 64,
    SOAK_PLAIN = 3,
    SOAK_RUNNERS_MAX = SOAK_ENGINES_MAX + SOAK_PLAIN,
    SOAK_NAME_BYTES = 48,
    SOAK_EVENTS = 90, /* of a stream */
};

/* The users' bounds, with a second for a machine that is busy. */
enum {
    SOAK_LEAVE_MS = 2000 + 1000,
    /* By the caller's sending, which a busy machine does not delay. */
    SOAK_REVOKE_MS = 5000,
    SOAK_OVERDUE_MS = 500 + 1000,
    SOAK_RECOVER_MS = 12000,
    SOAK_GRACE_MS = 8000 + 2000,
    SOAK_CALM_MS = 3000, /* a rule with a bound holds for calm hosts */
    SOAK_STOP_WORK_MS = 500 + 1000,
    SOAK_CUT_MS =
        SOAK_CALM_MS + 1000,  /* then others serve for cut-off hosts */
    SOAK_HARMFUL_CRASHES = 3, /* then hosts have this time to detect it */
    SOAK_HARMFUL_MS = SOAK_CALM_MS + 1000,
    SOAK_HARMFUL_SENDS_MAX = 3, /* after that */
};

/* --- soak.c --- */

uv_loop_t *soak_loop(void);
uint64_t soak_now_ms(void);
/* A number below the bound, by the seed. */
uint64_t soak_chance(uint64_t below);
/* A promise is broken. */
void soak_broken(const char *promise, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Writes the next routing table, by what split.c and tenants.c say. */
void soak_write_routes(void);
/* What was done, for whoever reads a failed run. */
void soak_note(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* A request with this path crashes every engine that runs it. */
#define SOAK_HARMFUL_PATH "/stream/p0"

/* What is asked decides what is right; the same for every run of it. */
uint64_t soak_hash(const char *text, uint64_t number);

/* --- proxy.c: one link --- */

typedef enum {
    LINK_PASSES,
    LINK_SLOW,    /* each piece is late */
    LINK_SILENT,  /* nothing comes through, either way */
    LINK_ONE_WAY, /* nothing comes back */
    LINK_REFUSES, /* connections are reset */
    LINK_NO_NEW,  /* those that are open go on */
    LINK_EARLY,   /* answers uploads itself; see uploads.c */
} link_mode_t;

typedef struct proxy proxy_t;

proxy_t *proxy_open(uint16_t target);
uint16_t proxy_port(const proxy_t *proxy);
void proxy_set_target(proxy_t *proxy, uint16_t target);
void proxy_set_mode(proxy_t *proxy, link_mode_t mode);
link_mode_t proxy_mode(const proxy_t *proxy);
/*
 * Only the connections of this host, while the proxy itself passes.  It knows
 * them once it is told to ask who connects.
 */
void proxy_know_hosts(proxy_t *proxy);
void proxy_set_host_mode(proxy_t *proxy, size_t host, link_mode_t mode);
/* Resets the connections that are open. */
void proxy_reset(proxy_t *proxy);

/* --- fault.c --- */

/* Environment variables that turn faults on. */
#define SOAK_SILENCE "SILENCE"
#define SOAK_PARTITION "PARTITION"
#define SOAK_VERSIONS "VERSIONS" /* or the name of one kind of entry */
#define SOAK_RESET "RESET" /* crashes close connections, none is silent */
/* Names of the only faults that are played. */
#define SOAK_ONLY "ONLY"
#define SOAK_TAINTED "TAINTED" /* alone */
#define SOAK_SPLIT "SPLIT"
#define SOAK_TENANTS "TENANTS"
#define SOAK_UPLOADS "UPLOADS"

bool soak_plays(const char *variable);

/* The next one, so long after the first. */
void faults_make(uint64_t spent_ms);
void faults_tick(void);
void faults_heal(void);
void faults_report(void);

/* --- store.c: the platform's store --- */

void soak_store_open(void);
uint16_t soak_store_port(void);
/* As operators and runners write; "" removes the key. */
void soak_store_put(const char *key, const char *value);
typedef enum {
    STORE_ANSWERS,
    STORE_DOWN,
    STORE_BUSY,
    STORE_SLOW
} store_mode_t;
void soak_store_mode(store_mode_t mode);
/* Its answers to the next writes get lost. */
void soak_store_lose(uint32_t writes);
/* Forgets its history. */
void soak_store_compact(void);
/* Whether it has had no fault since SOAK_CALM_MS before this time. */
bool soak_store_is_calm(uint64_t before_ms);

/* --- client.c --- */

/* The host whose process connected from this port to that one;
 * SOAK_HOSTS_MAX: none. */
size_t client_host(uint16_t from, uint16_t to);

/* --- links.c: between hosts and runners --- */

/* All links of the host to runners. */
void links_cut(size_t host, link_mode_t mode);
void links_heal(size_t host);
/* When the host was last cut off: now, while it is; 0: never. */
uint64_t links_cut_ms(size_t host);
/* When the link between them last passed nothing, also for its runner's
 * silence: now, while it does not; 0: never. */
uint64_t links_harmed_ms(size_t host, size_t runner);
/* What comes through the link now was sent no sooner than this. */
uint64_t links_sent_ms(size_t host, size_t runner);

/* --- runner.c and run.c --- */

void runners_open(uint32_t engines);
size_t runners_count(void);
proxy_t *runner_proxy(size_t runner);
bool runner_is_engine(size_t runner);
/* Neither down, leaving nor spoilt at any time since then. */
bool runner_is_sound(size_t runner, uint64_t since_ms);
/* When it last fell silent (0: never), and when that ends or ended. */
uint64_t runner_silent_ms(size_t runner);
uint64_t runner_silent_until_ms(size_t runner);
/* Faults; each ends by itself. */
void runner_crash(size_t runner, bool silent);
void runner_drain(size_t runner);
void runner_spoil(size_t runner);
/* Its links pass nothing for so long; it works on. */
void runner_silence(size_t runner, uint64_t for_ms);
void runners_heal(void);
/* The second organisation's key may not be used from now on. */
void runners_revoked(uint64_t at_ms);
void runners_report(void);

/* --- silence.c --- */

/* How a caller's attempt ended. */
typedef struct {
    const char *attempt;
    size_t host;
    const char *path;
    bool stream;
    int status;      /* 0: no answer */
    bool served;     /* status 200, whole */
    bool incomplete; /* failed or cut */
    bool no_verdict; /* its caller left or may not ask, or it is harmful */
    uint64_t sent_ms;
    uint64_t deadline_ms;
} attempt_end_t;

/* Several sound runners fall silent. */
void silence_begin(void);
/* Checks that silence alone has not ended it. */
void silence_ended(const attempt_end_t *end);
void silence_report(void);

/* --- tainted.c --- */

/* A part of prompts crashes runners; the path is of requests that have it. */
bool tainted_has_part(const char *path);
/* How long a runner reads a prompt, and is down after a crash. */
uint64_t tainted_read_ms(uint64_t otherwise_ms);
uint64_t tainted_down_ms(uint64_t otherwise_ms);
/* A request with the part has reached a runner from this host, sent no sooner
 * than this. */
void tainted_arrival(size_t host, uint64_t sent_ms);
/* The runner begins on one. */
void tainted_crash(size_t runner);
/* At the end: the bounds. */
void tainted_judge(void);

/* --- partition.c --- */

typedef struct partition partition_t;

/* Some hosts, not all, lose their links to all runners for a while. */
void partition_begin(void);
void partition_tick(void);
void partition_heal(void);
/* A request is sent to this host for the first time.  NULL: it does not count;
 * otherwise partition_tried() has to be called. */
partition_t *partition_try(size_t host);
void partition_tried(partition_t *partition, const attempt_end_t *end);
void partition_report(void);

/* --- versions.c --- */

/* The software's version at the next start of a runner, from 1 on. */
uint32_t versions_next(void);
bool versions_keep_id(void);
/* When the entry of a start is written, after its process listens; negative:
 * before. */
int64_t versions_entry_ms(void);
/* Some engines start again. */
void versions_restart(void);
/* A caller asks for the rest of a stream. */
void versions_taken_up(void);
void versions_report(void);

/* --- split.c --- */

/* The service of an engine, and its name. */
uint32_t split_service(size_t runner);
const char *split_service_name(uint32_t service);
/* The services of the streams' route in a routing table. */
const char *split_shares(void);
/* Other weights; services leave the route and come back. */
void split_change(void);

/* --- tenants.c --- */

/* The list in a routing table. */
const char *tenants_text(void);
/* Another form of it, or the full one. */
void tenants_change(void);
void tenants_heal(void);
/* The key never comes back. */
void tenants_end_key(uint32_t key);
/* Whether a request that was sent then may be denied. */
bool tenants_may_deny(uint32_t key, uint64_t sent_ms);
/* Since when the key is gone; 0: it is there. */
uint64_t tenants_gone_ms(uint32_t key);

/* --- uploads.c --- */

enum { SOAK_UPLOAD_BYTES = 300000, SOAK_UPLOAD_HEAD_BYTES = 1024 };

/* The link to a plain runner answers. */
void uploads_begin(void);
void uploads_tick(void);
void uploads_heal(void);
/* Writes the early answer to a request of which this has come; returns its
 * length, 0: none. */
size_t uploads_answer(const char *request, size_t length, char *answer,
                      size_t room);

/* --- ledger.c --- */

/* What became of a caller's attempt, by its name. */
typedef struct {
    char name[SOAK_NAME_BYTES];
    uint64_t sent_ms; /* by its caller; 0: never */
    uint64_t deadline_ms;
    uint32_t runs;
    bool once;        /* it may run once */
    bool promised;    /* its caller was told that it never runs */
    uint64_t left_ms; /* its caller has gone; 0: not */
    size_t host;      /* that its caller left */
    bool cut;         /* its connection ended without an answer */
    uint32_t running;
    size_t runner;         /* of its last run */
    int64_t went_on_event; /* the first one of a run that went on, sent then */
    uint64_t went_on_ms;
    UT_hash_handle hh;
} attempt_t;

attempt_t *ledger_attempt(const char *name);
/* Its caller sends it. */
void ledger_sent(const char *name, uint64_t deadline_ms);
/* Its caller was told that it has not run and never will. */
void ledger_promised(const char *name);
/* Its caller has left this host. */
void ledger_left(const char *name, size_t host);
/* A calm host ended its connection without an answer. */
void ledger_cut(const char *name);
/* A harmful request has reached a runner from this host, sent no sooner than
 * this, or crashed one. */
void ledger_harmful_arrival(size_t host, uint64_t sent_ms);
void ledger_harmful_crash(void);
/* All hosts were killed at once, and have forgotten the crashes. */
void ledger_harmful_forgotten(void);
/* At the end: what ran, against what was said. */
void ledger_check(void);

/* --- host.c: the agated processes --- */

void hosts_open(const char *program, const char *folder, uint32_t count);
size_t hosts_count(void);
uint16_t host_address(size_t host); /* for callers, through a proxy */
bool host_is_up(size_t host);
/* Whether it has run without a fault since SOAK_CALM_MS before this time;
 * that it is told to stop is none. */
bool host_is_calm(size_t host, uint64_t before_ms);
int host_process(size_t host); /* its id; 0: it is down */
/* When one was last killed, paused or told to stop; 0: never. */
uint64_t hosts_disturbed_ms(void);
void host_kill(size_t host);
void host_pause(size_t host, uint64_t for_ms);
void host_stop(size_t host); /* SIGTERM; it starts again */
void host_reload(size_t host);
void host_harm_store(size_t host, link_mode_t mode, uint64_t for_ms);
void host_harm_callers(size_t host, link_mode_t mode, uint64_t for_ms);
void hosts_heal(void);
void hosts_end(void); /* SIGTERM to all */
bool hosts_ended(void);

/* --- caller.c --- */

void callers_start(uint32_t a_second);
void callers_calm(void); /* from here on requests should be served */
void callers_stop(void);
size_t callers_busy(void);
/* Notes who still waits for an answer. */
void callers_note(void);
/* Whether so many were served in a row since the calm began. */
bool callers_recovered(void);
void callers_report(void);

#endif
