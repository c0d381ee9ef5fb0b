/*
 * runners.h - the state of each backend server and the selection of one.
 *
 * The fleet document lists the runners.  Everything else is this host's own
 * view of a runner: the streams that it has open there, connections lost,
 * intervals between tokens, the prompt prefixes that are presumably cached
 * there, and the last load report of the runner, which lags.
 */
#ifndef POLICY_RUNNERS_H
#define POLICY_RUNNERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include <uthash.h>

#include "base/arena.h"
#include "policy/silence.h"
#include "policy/suspect.h"
#include "world/fleet.h"

enum { PREFIX_SLOTS = 512 };

struct attempt;

typedef struct runner_state {
    char *name;
    char *address;
    char *zone;
    char **models;
    size_t model_count;
    uint32_t streams_max;
    bool listed;  /* in the fleet document in force */
    bool leaving; /* marked so in the platform's host list */
    bool service;
    uint32_t streams; /* open streams of this host */
    uint32_t running; /* requests running, as last reported */
    uint32_t waiting; /* requests queued, as last reported */
    uint32_t
        opened_since_report; /* streams of this host opened since the report */
    uint32_t
        ended_since_report; /* streams of this host ended since the report */
    uint32_t losses;        /* connections lost in total */
    uint32_t failures;      /* in a row, without a token in between */
    int64_t down_until_us;  /* no new streams before this time */
    int64_t recovered_us;   /* time of the first success after a failure */
    int64_t last_token_us;  /* time of the last output token */
    silence_t token_gaps;   /* intervals between tokens of a stream */
    silence_t prefill; /* times from opening a stream to the first token */
    uint64_t prefixes[PREFIX_SLOTS]; /* hash table of presumably cached ones */
    LIST_HEAD(, attempt) attempts;
    UT_hash_handle hh;
} runner_state_t;

typedef struct {
    runner_state_t *by_name;
} runners_t;

/*
 * Adds and updates the runners that the fleet document lists and removes all
 * others, except those where this host still has open streams.
 */
void runners_update(runners_t *runners, const fleet_t *fleet);
void runners_free(runners_t *runners);

runner_state_t *runners_find(const runners_t *runners, const char *name);

/* Criteria for the selection of a runner. */
typedef struct {
    const char *model; /* a model or, with service, a plain service */
    bool service;
    const char *zone; /* of this host */
    const uint64_t *prefix_hashes;
    size_t prefix_count;
    const runner_state_t *excluded[2]; /* excluded runners, or NULL */
    const suspects_t *suspects; /* to be isolated from these; NULL: none */
    uint64_t fingerprint;       /* of the request, if suspects is set */
} runner_query_t;

/* Returns the runner of least cost that can take a stream, or NULL. */
runner_state_t *runners_select(const runners_t *runners,
                               const runner_query_t *query, int64_t now_us);

/* Returns whether a listed runner matches, even if it is full or down. */
bool runners_any_matches(const runners_t *runners,
                         const runner_query_t *query);

/* Records that the prefixes of a prompt sent to the runner are cached. */
void runner_record_prefixes(runner_state_t *runner, const uint64_t *hashes,
                            size_t count);

/*
 * Returns an estimate of the streams that the runner has from all hosts: its
 * last report, corrected by the streams that this host has opened and ended
 * since; at least the open streams of this host.
 */
uint32_t runner_load(const runner_state_t *runner);

/*
 * Records a failure: the runner gets no new streams for a time that doubles
 * with each consecutive failure up to a limit, and its cached prefixes are
 * forgotten.
 */
void runner_record_failure(runner_state_t *runner, int64_t now_us);

/* Records a response: ends the series of failures. */
void runner_record_response(runner_state_t *runner, int64_t now_us);

/* Returns how many leading prefixes of a prompt are presumably cached. */
size_t runner_cached_prefixes(const runner_state_t *runner,
                              const uint64_t *hashes, size_t count);

#endif
