/*
 * node.h - the decisions of one host as a deterministic state machine.
 *
 * A node consumes typed events with their time and returns typed actions.
 * It uses no clock, socket, random source or global variable: the same start
 * event, events and times give the same actions, byte for byte.
 */
#ifndef POLICY_NODE_H
#define POLICY_NODE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "policy/generated/event.h"
#include "policy/actions.h"

typedef struct node node_t;

node_t *node_new(void);
void node_free(node_t *node);

/*
 * Processes an event at now_us (microseconds, never decreasing) and appends
 * the resulting actions.  No pointer into the event is kept.
 */
void node_step(node_t *node, int64_t now_us, const event_t *event,
               action_list_t *actions);

/* A request, a runner and a host as shown to operators. */
typedef struct {
    const char *organisation;
    const char *key;
    const char *model;
    const char *runner; /* "" if it has none at present */
    const char *state;
    uint32_t attempt;
    uint32_t tokens;
    int64_t age_ms;
} node_request_view_t;

typedef struct {
    const char *name;
    const char *address;
    const char *zone;
    const char *state; /* "up", "suspect", "down", "leaving" */
    uint32_t streams;  /* open streams of this host */
    uint32_t running;  /* as reported by the runner */
    uint32_t waiting;  /* as reported by the runner */
    uint32_t losses;
} node_runner_view_t;

typedef struct {
    const char *name;
    const char *zone;
    const char *address;
    const char *state; /* "live", "suspect", "dead", "leaving" */
    uint64_t incarnation;
    int64_t heard_ms;        /* since its last heartbeat; -1: never */
    int64_t config_revision; /* highest revision in force there */
    uint64_t config_hash;    /* of all keys and revisions in force there */
} node_host_view_t;

/* A document in force. */
typedef struct {
    const char *key;
    int64_t revision;
    const char *text;
    size_t text_bytes;
} node_config_view_t;

/* Return lists in arena memory and set *count. */
node_request_view_t *node_requests(const node_t *node, int64_t now_us,
                                   arena_t *arena, size_t *count);
node_runner_view_t *node_runners(const node_t *node, int64_t now_us,
                                 arena_t *arena, size_t *count);
node_host_view_t *node_hosts(const node_t *node, int64_t now_us,
                             arena_t *arena, size_t *count);
node_config_view_t *node_configs(const node_t *node, arena_t *arena,
                                 size_t *count);

/*
 * Returns the models that are served to the credential's organisation, in the
 * order of the documents; NULL if it belongs to no organisation.
 */
const char **node_served_models(const node_t *node, const char *credential,
                                arena_t *arena, size_t *count);

/*
 * Returns the hosts that a caller should use, best first; see
 * member_caller_addresses().
 */
node_host_view_t *node_caller_addresses(const node_t *node, int64_t now_us,
                                        uint64_t balance_seed, arena_t *arena,
                                        size_t *count);

/*
 * Returns whether this host has to watch the documents and the host list in
 * the store; other hosts learn of changes from it.
 */
bool node_is_store_watcher(const node_t *node, int64_t now_us);

/*
 * Returns the role of a credential, the hexadecimal SHA-256 of a key, and
 * unless it is ROLE_NONE stores the name of its holder in *name.
 */
typedef enum { ROLE_NONE, ROLE_ORGANISATION, ROLE_TEAM, ROLE_OPERATOR } role_t;
role_t node_role(const node_t *node, const char *credential,
                 const char **name);

/* Counters for the metrics; see metric.h for the text format. */
typedef struct {
    uint64_t requests;
    uint64_t finished;
    uint64_t refused;
    uint64_t tokens_given;
    uint64_t attempts;
    uint64_t losses;
    uint64_t reattached;
    uint64_t resumed;
    uint64_t raced;
    uint64_t pieces_late;     /* dropped: from a superseded attempt */
    uint64_t pieces_repeated; /* dropped: position already received */
    uint64_t pieces_ahead;    /* position beyond the next one: a loss */
    uint64_t finishes_late;
    uint64_t claims;
    uint64_t claims_unknown;
    uint64_t convicted;
    uint64_t sessions; /* at present */
    uint64_t taken_over;
    uint64_t records; /* record messages sent to replicas */
} node_counters_t;
const node_counters_t *node_counters(const node_t *node);

#endif
