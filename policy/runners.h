/*
 * runners.h - what this host knows of each backend server.
 *
 * A runner is listed by the operators' document.  Its state here is this
 * host's own: streams sent, losses seen, gaps between tokens, prompt
 * prefixes that it should have cached, and its own lagging report of load.
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
    bool listed;  /* in the operators' document in force */
    bool leaving; /* on the platform's list of leaving hosts */
    bool service;
    uint32_t streams;      /* sent by this host and not ended */
    uint32_t running;      /* by its own last report */
    uint32_t waiting;      /* by its own last report */
    uint32_t sent_since;   /* sent by this host since that report */
    uint32_t ended_since;  /* of this host, ended since that report */
    uint32_t losses;       /* connections broken, in all */
    uint32_t failures;     /* in a row, without a token between */
    int64_t down_until_us; /* no new work before this */
    int64_t returned_us;   /* when it was last heard after a failure */
    int64_t piece_us;      /* when it last gave a token */
    silence_t gaps;        /* between the tokens of one stream */
    silence_t prefill;     /* from opening to the first token */
    uint64_t prefixes[PREFIX_SLOTS];
    LIST_HEAD(, attempt) attempts;
    UT_hash_handle hh;
} runner_state_t;

typedef struct {
    runner_state_t *by_name;
} runners_t;

/* Takes in the operators' document: adds, changes and unlists runners. */
void runners_update(runners_t *runners, const fleet_t *fleet);
void runners_free(runners_t *runners);

runner_state_t *runners_find(const runners_t *runners, const char *name);

/* What a choice of runner asks for. */
typedef struct {
    const char *model; /* loaded under this name */
    bool service;
    const char *zone; /* of this host */
    const uint64_t *prefix_hashes;
    size_t prefix_count;
    const runner_state_t *avoid[2]; /* NULL: nobody */
    const suspects_t *suspects;     /* start it apart from these; NULL: free */
    uint64_t fingerprint;           /* of the suspect itself */
} wish_t;

/* The best runner that may take a stream at now_us, or NULL. */
runner_state_t *runners_choose(const runners_t *runners, const wish_t *wish,
                               int64_t now_us);

/* Whether any listed runner could ever serve the wish. */
bool runners_exist(const runners_t *runners, const wish_t *wish);

/* Notes that a prompt went there, so that its prefixes are cached. */
void runner_cache(runner_state_t *runner, const uint64_t *hashes,
                  size_t count);

/*
 * Streams that run there, of all hosts, as well as can be known: what it
 * reported, which lags, and what this host has sent and ended since; never
 * less than this host's own.
 */
uint32_t runner_load(const runner_state_t *runner);

/* A failure to answer: no new work for a while, longer each time. */
void runner_failed(runner_state_t *runner, int64_t now_us);

/* It answered: failures are over. */
void runner_heard(runner_state_t *runner, int64_t now_us);

/* How many of its prompts' prefixes are cached there, by what was sent. */
size_t runner_cached(const runner_state_t *runner, const uint64_t *hashes,
                     size_t count);

#endif
