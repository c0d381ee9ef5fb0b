/* feed_sim_private.h - the state of feed_sim.h's simulation. */
#ifndef REGRESS_FEED_SIM_PRIVATE_H
#define REGRESS_FEED_SIM_PRIVATE_H

#include "forward/store_sync.h"
#include "gateway/store_feed.h"
#include "gateway/store_intake.h"
#include "regress/event_queue.h"
#include "regress/feed_sim.h"
#include "regress/sim_hosts.h"

enum {
    FEED_US_PER_MS = 1000,
    FEED_START_MS = 1000000,
    FEED_GROWTH_MS = FEED_START_MS + 8000,
    FEED_WATCH_MS = 1000,
    FEED_PAUSE_MS = 200,
    FEED_CALL_MS = 400,
    FEED_APPLY_MS = 3000, /* in which a change has to be in force */
    FEED_SECONDS = 64,
};

/* A change of the store; its index plus one is its revision. */
typedef struct {
    int64_t at_us;
    bool table; /* of the routing table, else an entry of a runner */
    char key[SIM_NAME_BYTES];
    char *value; /* of a table: until no host needs it */
    size_t value_bytes;
    size_t known_hosts;
    int64_t last_us; /* when the last host had it */
} feed_change_t;

typedef enum {
    FEED_EVENT_CHANGE,   /* number: index of the change */
    FEED_EVENT_CALL,     /* arrives at the store */
    FEED_EVENT_EXPIRE,   /* the time of a watch is over at the store */
    FEED_EVENT_RESPONSE, /* of the store, at the host; detail: revision, -1 */
    FEED_EVENT_NEXT_WATCH,
    FEED_EVENT_MESSAGE, /* of another host */
    FEED_EVENT_TIMER,   /* of store_sync_t; number: generation */
    FEED_EVENT_CHECK,   /* of held polls and of the age of the view */
} feed_event_kind_t;

typedef struct {
    int64_t at_us;
    uint64_t serial;
    feed_event_kind_t kind;
    size_t host;
    size_t from;
    uint64_t number;
    int64_t detail;
    char *bytes; /* of a message */
    size_t count;
} feed_event_t;

/* One direction of a link. */
typedef struct {
    int64_t free_us; /* when it has sent what it was given */
    int64_t second;
    uint64_t second_bytes;
} feed_link_t;

typedef struct {
    char name[SIM_NAME_BYTES];
    char zone[2];
    bool legacy;
    mirror_t *mirror;
    store_feed_t *feed;
    store_intake_t *intake;
    store_sync_t *sync;
    feed_link_t up;
    feed_link_t down;
    int64_t contact_us;
    int64_t confirmed_us;
    uint64_t timer;
    bool fetches; /* the polled host understands store_fetch_t */
    uint64_t call;
    bool reading;
    bool watch_ended;
    bool at_store;
    bool skipping;
    uint32_t wait_ms;
    int64_t after;
    int64_t called_us;
    size_t counted[2]; /* changes counted, of entries and of tables */
} feed_host_t;

typedef struct {
    feed_sim_settings_t settings;
    uint64_t rng_state;
    int64_t now_us;
    event_queue_t queue; /* of feed_event_t */
    uint64_t queue_serial;
    feed_host_t hosts[FEED_SIM_HOSTS_MAX];
    watcher_candidate_t candidates[FEED_SIM_HOSTS_MAX];
    feed_change_t changes[FEED_SIM_CHANGES_MAX];
    size_t planned;
    size_t change_count;
    feed_link_t store_up;
    uint32_t calls[FEED_SECONDS];
    feed_sim_result_t result;
} feed_state_t;

extern feed_state_t feed_sim;

/* --- feed_sim.c --- */
void feed_push(int64_t at_us, const feed_event_t *event);
store_sync_fleet_t feed_fleet(size_t host);
/* Carries out a step of a host. */
void feed_execute(size_t host, const store_sync_step_t *step);
/* Applies a change to a host. */
void feed_apply(void *context, const kv_pair_t *pair);
/* Sends what the host's mirror has for those that poll it. */
void feed_run(size_t host);
/* Returns when bytes that are sent now have arrived over both links. */
int64_t feed_transfer(feed_link_t *up, uint64_t up_bytes_per_s,
                      feed_link_t *down, size_t bytes);

feed_time_t feed_time_of(size_t host);
/* Counts bytes that are sent over a link in this second. */
void feed_count_bytes(feed_link_t *link, size_t bytes);

/* --- feed_sim_peer.c --- */
/* Sends a message; context is the host that sends it. */
void feed_send(void *context, const char *name, const message_t *message);
void feed_poll_host(size_t host, const store_sync_step_t *step);
void feed_handle_message(const feed_event_t *event);

/* --- feed_sim_store.c --- */
void feed_plan_changes(void);
void feed_call_store(size_t host, bool reading, uint32_t wait_ms);
void feed_handle_store(const feed_event_t *event);

#endif
