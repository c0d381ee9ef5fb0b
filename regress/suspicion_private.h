/* suspicion_private.h - the state of suspicion_sim.h's simulation. */
#ifndef REGRESS_SUSPICION_PRIVATE_H
#define REGRESS_SUSPICION_PRIVATE_H

#include "regress/forwarding.h"
#include "regress/suspicion_sim.h"

enum {
    SIM_HOSTS_MAX = 128,
    SIM_ENGINES_MAX = 256,
    SIM_CONTENTS_MAX = 8, /* harmful ones, numbered from 0 */
    SIM_NAME_BYTES = 32,
    SIM_US_PER_MS = 1000,
    SIM_TICK_MS = 10,
    SIM_START_MS = 3600000, /* uptime of the machines when the hosts start */
    /* The users' requirement: 3 s after the third crash all hosts that have
     * been up for as long have detected the content. */
    SIM_DETECTION_CRASHES = 3,
    SIM_DETECTION_PART_CRASHES = 5,
    SIM_DETECTION_DELAY_MS = 3000,
    /* From then on harmless requests have to begin. */
    SIM_BEGIN_DELAY_MS = 6000,
    SIM_PARTS_MAX = 8,
};

/* In the number of a request that is sent again. */
#define SIM_RESENT_BIT (UINT64_C(1) << 40)

/* A request that an engine runs. */
typedef struct {
    size_t host;
    uint64_t number;
    uint32_t attempt;
    size_t engine;
    int64_t start_ms;
    int64_t prefill_ms; /* until its first event, if it is a stream */
    bool active;
    bool prefilled;
    int64_t prefilled_ms;
} sim_run_t;

typedef struct {
    uint32_t crashes;
    uint32_t late_sends;
    int64_t deadline_ms; /* 0: not yet enough crashes */
    int64_t first_crash_ms;
    int64_t last_crash_ms;
} sim_content_t;

/* A request of a caller. */
typedef struct {
    uint64_t number;
    uint64_t content;
    size_t host;
    bool harmful;
    uint32_t first_part;
    uint32_t session;
    int64_t sent_ms;
    bool begun; /* a response has begun at the first attempt */
} sim_sent_t;

/* A report on its way, delivered at once if at_ms is 0. */
typedef struct {
    int64_t at_ms;
    size_t from;
    placements_t placements;
    arena_t arena;
} sim_report_t;

typedef struct {
    char name[SIM_NAME_BYTES];
    char address[SIM_NAME_BYTES];
    int64_t started_ms;
    int64_t down_until_ms;
    int64_t reregister_at_ms; /* after a restart; 0: is registered */
    uint32_t restarts;        /* in its id, if restarts change that */
    char previous_name[SIM_NAME_BYTES];
    int64_t deregister_at_ms; /* of its previous id; 0: none */
} sim_engine_t;

typedef struct {
    forward_t *forward;
    uint64_t incarnation;
    uint64_t reports; /* sent by this incarnation */
    bool report_due;
    int64_t start_ms;
} sim_host_t;

typedef struct {
    suspicion_scenario_t scenario;
    suspicion_result_t result;
    sim_host_t hosts[SIM_HOSTS_MAX];
    sim_engine_t engines[SIM_ENGINES_MAX];
    sim_run_t *runs; /* of this tick, and all active ones */
    size_t run_count;
    size_t run_size;
    size_t tick_runs; /* index of the first run of this tick */
    sim_sent_t *sent; /* by request number, from 1 */
    size_t sent_count;
    size_t sent_size;
    uint64_t *resend; /* request numbers, for the next tick */
    size_t resend_count;
    sim_content_t contents[SIM_CONTENTS_MAX];
    sim_report_t *delayed;
    size_t delayed_count;
    uint64_t rng_state;
    int64_t now_ms;
} simulation_t;

/* A harmless run of plain requests. */
#define SIM_PLAIN_RUN_MS ((int64_t)30)

extern simulation_t sim;

uint64_t sim_random_below(uint64_t below);
const sim_sent_t *sim_find_sent(uint64_t number);
bool sim_is_partitioned(size_t host);
bool sim_is_store_away(void);
void sim_deliver_event(size_t host, const forward_event_t *event);

/* --- suspicion_parts.c --- */

/* Draws the parts of the request's prompt. */
void sim_draw_parts(sim_sent_t *sent);
/* Returns the number of parts, which are written to parts. */
uint32_t sim_list_parts(const sim_sent_t *sent, uint64_t *parts);
/* Counts the harmless requests that began. */
void sim_count_begun(void);

/* --- suspicion_engine.c --- */

void sim_start_run(size_t host, const forward_action_t *action);
void sim_cancel_run(size_t host, const forward_action_t *action);
void sim_crash_engine(size_t engine);
/* Sets its id, by the number of its restarts if these change it. */
void sim_name_engine(size_t engine);
void sim_register_engine(size_t host, size_t engine);
/* Advances all engines and their runs by one tick. */
void sim_advance_engines(void);

#endif
