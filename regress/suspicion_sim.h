/*
 * suspicion_sim.h - simulates hosts, engines and harmful requests.
 *
 * Streams arrive at all hosts.  Requests with a few particular contents crash
 * every engine that runs them, at once or from some time on, and are sent
 * again to any host or to one for a time.  Or it is a part of the prompt that
 * crashes every engine that begins to write a response to it, in requests of
 * which no two are alike.  What is counted is what callers and engines see.
 * The same scenario always gives the same result.
 */
#ifndef REGRESS_SUSPICION_SIM_H
#define REGRESS_SUSPICION_SIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Which requests have the other parts of a prompt in common. */
typedef enum {
    PARTS_SHARED,  /* all that have the same first part */
    PARTS_SESSION, /* those of a session */
    PARTS_UNIQUE,  /* none */
} parts_kind_t;

/* A member that is 0 has the default in brackets, or does not occur. */
typedef struct {
    const char *name;
    uint64_t seed;
    int64_t duration_ms;
    size_t hosts;                /* (7) */
    size_t engines;              /* (36) */
    size_t zones;                /* (3) */
    int64_t request_interval_ms; /* between harmless requests (100) */
    int64_t report_interval_ms;  /* between reports of a host (500) */
    bool reports_at_once;        /* also when a host asks for it */
    uint32_t reports_lost_percent;
    int64_t report_delay_ms;     /* of each third report */
    int64_t harmful_interval_ms; /* between harmful requests */
    uint32_t harmful_contents;   /* that take turns (1) */
    int64_t harmful_run_ms;      /* until a harmful request crashes (20) */
    bool harmful_part;           /* a part is harmful, not the content */
    uint32_t part_depth;         /* parts of the prompt before it */
    uint32_t parts;              /* that a prompt has without it */
    parts_kind_t parts_kind;     /* of those after the first */
    uint32_t first_parts;        /* different ones, each of as many requests */
    uint32_t sessions;           /* (8) */
    bool harmful_after_event;    /* it crashes after its first event */
    bool harmful_before_head;    /* it crashes before its response head */
    int64_t prefill_spread_ms;   /* added at most to the prefill of a run */
    bool harmful_once;           /* harmful requests may run once only */
    int64_t harmless_until_ms;   /* until then harmful requests complete */
    int64_t sticky_ms;  /* a harmful content is sent to one host for so long */
    bool sticky_first;  /* only the first time, then to any host */
    bool plain;         /* all requests are short and safe, and no streams */
    int64_t restart_ms; /* downtime of a crashed engine (1200) */
    bool restart_new_id;            /* the engine registers with another id */
    int64_t zone_crash_interval_ms; /* between crashes of a zone */
    int64_t single_crash_interval_ms; /* between crashes of one engine */
    bool host_partitioned;            /* connections of one host are reset */
    int64_t host_restart_interval_ms; /* a host restarts and forgets */
    int64_t store_outage_ms;  /* from 5 s on; engines register after it */
    uint32_t popular_percent; /* of harmless requests have one content */
    bool callers_resend; /* once, after any failure but a refusal as harmful */
} suspicion_scenario_t;

/* Harmless requests, and those of them that began to be answered. */
typedef struct {
    uint32_t requests;
    uint32_t begun;
} suspicion_begun_t;

typedef struct {
    uint32_t harmful_crashes;
    /* Sends of the harmful content (part) with most of them, more than 3 s
     * after its third (fifth) crash, by hosts that started at least 3 s
     * before. */
    uint32_t late_sends;
    /* Before the first crash, and from 6 s after the fifth crash, or the last,
     * to the last harmful request; with a harmful part only. */
    suspicion_begun_t all_before;
    suspicion_begun_t all_after;
    suspicion_begun_t first_before; /* with the first part of the harmful */
    suspicion_begun_t first_after;
    uint32_t refused_harmless;
    uint32_t refused_harmful;
    uint32_t completed;
    uint32_t failed;          /* harmless requests, for any reason */
    uint32_t cleared_harmful; /* times that a host cleared a harmful content */
    uint32_t sends_max;       /* of one request by one host within a tick */
} suspicion_result_t;

/* Loads without seeds; the names begin with the number of hosts. */
extern const suspicion_scenario_t suspicion_loads[];
extern const size_t suspicion_load_count;

suspicion_result_t suspicion_simulate(const suspicion_scenario_t *scenario);

/*
 * Draws fleet, load and faults.  The same seed always gives the same scenario;
 * every fourth one has no harmful request.
 */
suspicion_scenario_t suspicion_draw(uint64_t seed);
/* The same with a harmful part, in every scenario but every eighth. */
suspicion_scenario_t suspicion_draw_part(uint64_t seed);
/* The same with engines that crash before the response head. */
suspicion_scenario_t suspicion_draw_headless(uint64_t seed);
/* Returns whether the users' bound on harmless requests that begin is kept. */
bool suspicion_begins(const suspicion_begun_t *before,
                      const suspicion_begun_t *after);
/* Writes the members that are not 0 to text, which has size_bytes. */
void suspicion_describe(const suspicion_scenario_t *scenario, char *text,
                        size_t size_bytes);

#endif
