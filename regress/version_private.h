/* version_private.h - the state of version_sim.h's simulation. */
#ifndef REGRESS_VERSION_PRIVATE_H
#define REGRESS_VERSION_PRIVATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "regress/forwarding.h"
#include "regress/version_sim.h"

enum {
    HOSTS_MAX = 88,
    ENGINES_MAX = 60,
    STREAMS_MAX = 1024,
    TRIES = 4, /* of a caller, with the first */
    TICK_MS = 10,
    DURATION_MS = 20000,
    ARRIVAL_MS = 30,
    PREFILL_MS = 300,
    EVENT_MS = 50,
    STREAM_MS = 3000,
    REPORT_MS = 500,
    INTERVAL_HOSTS = 10,
    GO_ON_MS = 1000, /* time that a stream is left to go on */
    RETRY_MS = 100,
    IN_TOUCH_MS = 3000,
    RELEASE_START_MS = 2000,
    NAME_BYTES = 32,
    PERCENT = 100,
    US_PER_MS = 1000,
    START_MS = 3600000,
    RECORD_KEY_BYTES = 64,
    STORED_MAX = 96,
    TRANSFERS_MAX = 4096,
    PROBES_MAX = 1024,
    CALL_MS = 1200, /* of a host to the store, until it is given up */
    WAKE_MS = 20,   /* until a host that stood still is in step */
};

typedef struct {
    forward_t *forward;
    uint64_t incarnation;
    uint64_t reports;
    bool report_due;
    int64_t start_ms;
    int64_t contact_ms; /* last contact with the store */
    bool down;
} host_t;

typedef struct {
    char name[NAME_BYTES];
    char address[NAME_BYTES];
    uint32_t version;
    uint32_t starts;
    int64_t started_ms;
    int64_t down_until_ms; /* and then registered again; 0: is up */
} engine_t;

typedef struct {
    bool active; /* a host has it */
    size_t host;
    uint32_t tries;
    uint32_t attempt; /* of the host; 0: none runs */
    size_t engine;
    uint32_t run_version;
    int64_t run_start_ms;
    bool run_began;
    bool run_passed;  /* the host passes the response on */
    bool run_refused; /* that engine was gone when it was sent */
    bool run_lost;    /* its end waits for a host that stands still */
    bool waits;       /* the same of its request */
    uint32_t version; /* that wrote the first event; 0: none */
    bool mixed;
    int64_t last_event_id;
    int64_t retry_at_ms; /* 0: does not wait */
    bool try_began;
    bool counted; /* among those that are taken up */
    bool apart;   /* taken up at the host that is out of step */
} stream_t;

/* A report that a host has asked for. */
typedef struct {
    size_t host;
    uint64_t incarnation;
    size_t engine;
    int64_t started_ms; /* as it answers; 0: not at all */
    int64_t asked_ms;
} probe_t;

/* A record of the store. */
typedef struct {
    char key[RECORD_KEY_BYTES];
    char *value; /* NULL: the key does not exist */
    int64_t revision;
} stored_t;

/* A write on its way to the store, or a change to the hosts. */
typedef struct {
    int64_t at_ms; /* 0: free */
    bool change;
    size_t host; /* that writes */
    uint64_t incarnation;
    stored_t record;
} transfer_t;

typedef enum { STORE_WELL, STORE_SLOW, STORE_AWAY, STORE_STATES } store_t;

typedef enum { APART_PAUSED, APART_CUT } apart_t;

typedef struct {
    uint64_t rng_state;
    int64_t now_ms;
    size_t host_count;
    size_t engine_count;
    uint32_t crash_percent;
    uint32_t kill_percent;
    uint32_t lost_percent;
    uint32_t released_percent;
    int64_t fault_ms;
    int64_t restart_ms;
    bool same_id;
    host_t hosts[HOSTS_MAX];
    engine_t engines[ENGINES_MAX];
    stream_t streams[STREAMS_MAX];
    size_t stream_count;
    probe_t probes[PROBES_MAX];
    size_t probe_count;
    uint32_t mixed;
    uint32_t begun;
    uint32_t resumed;
    uint32_t went_on;
    uint32_t resumed_apart;
    uint32_t went_on_apart;
    version_fault_t fault;
    size_t apart_host;
    apart_t apart;
    int64_t apart_from_ms;
    int64_t apart_to_ms;
    int64_t power_at_ms;
    int64_t power_ms;
    store_t store;
    int64_t store_from_ms;
    int64_t store_to_ms;
    int64_t revision;
    uint32_t writes;
    stored_t stored[STORED_MAX];
    size_t stored_count;
    transfer_t transfers[TRANSFERS_MAX];
} version_state_t;

/* --- version_draw.c --- */

/* Draws a fleet and its faults anew. */
void version_draw(version_state_t *sim, uint64_t seed, version_fault_t fault);

/* --- version_apart.c --- */

/* Returns whether the host gets no news; one that stood still, for a short
 * time after that, too. */
bool version_is_apart(const version_state_t *sim, size_t host);
bool version_is_paused(const version_state_t *sim, size_t host);
/* Returns whether the host that was out of step now gets all news. */
bool version_rejoins(const version_state_t *sim);

/* Whether two runners of the version serve. */
bool version_serves(const version_state_t *sim, uint32_t version);
/* Returns whether the users' requirement holds for a stream that is taken up:
 * at hosts in step that have run for some time, while two engines of the
 * version serve. */
bool version_can_go_on(const version_state_t *sim, const stream_t *stream);

/* --- version_store.c --- */

/* Tells the host that it has or lacks the store. */
void version_store_contact(version_state_t *sim, size_t host);

/* Reads all records at the start of a host. */
void version_store_read(version_state_t *sim, size_t host);
void version_store_put(version_state_t *sim, size_t host,
                       const forward_record_t *record);
/* Delivers what has arrived by now. */
void version_store_run(version_state_t *sim);
void version_store_free(version_state_t *sim);

/* --- version_sim.c --- */

/* Delivers an event to a host and carries out its actions. */
void version_deliver(size_t host, const forward_event_t *event);

#endif
