/*
 * node.h - all decisions of one host, composed.
 *
 * A node takes typed events and the time and gives typed orders.  It has
 * no clock, socket, random source or global: the same start event, events
 * and times give the same orders, byte for byte.
 */
#ifndef POLICY_NODE_H
#define POLICY_NODE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "policy/generated/event.h"
#include "policy/orders.h"

typedef struct node node_t;

node_t *node_new(void);
void node_free(node_t *node);

/*
 * Takes one event at now_us (microseconds, never falling) and appends the
 * orders that follow from it.  The event is only read, and not kept.
 */
void node_step(node_t *node, int64_t now_us, const event_t *event,
               order_list_t *orders);

/* What an operator sees of one request, runner or host. */
typedef struct {
    const char *organisation;
    const char *key;
    const char *model;
    const char *runner; /* "" while none */
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
    uint32_t streams;  /* of this host */
    uint32_t running;  /* by its own report */
    uint32_t waiting;
    uint32_t losses;
} node_runner_view_t;

typedef struct {
    const char *name;
    const char *zone;
    const char *address;
    const char *state; /* "live", "suspect", "dead", "leaving" */
    uint64_t incarnation;
    int64_t heard_ms;        /* since the last heartbeat */
    int64_t config_revision; /* the highest that it has in force */
    uint64_t config_hash;    /* over all keys and revisions in force */
} node_host_view_t;

/* One document in force. */
typedef struct {
    const char *key;
    int64_t revision;
    const char *text;
    size_t text_bytes;
} node_config_view_t;

/* Lists in arena memory; *count is set. */
node_request_view_t *node_requests(const node_t *node, int64_t now_us,
                                   arena_t *arena, size_t *count);
node_runner_view_t *node_runners(const node_t *node, int64_t now_us,
                                 arena_t *arena, size_t *count);
node_host_view_t *node_hosts(const node_t *node, int64_t now_us,
                             arena_t *arena, size_t *count);
node_config_view_t *node_configs(const node_t *node, arena_t *arena,
                                 size_t *count);

/* The models that the credential's organisation is served, in order. */
const char **node_models(const node_t *node, const char *credential,
                         arena_t *arena, size_t *count);

/*
 * The hosts that a caller should use, best first: live and not leaving,
 * own zone first, spread by spread (any number that differs by caller).
 */
node_host_view_t *node_addresses(const node_t *node, int64_t now_us,
                                 uint64_t spread, arena_t *arena,
                                 size_t *count);

/*
 * Whether this host is to watch the store's documents and host list; the
 * others hear of changes from it.
 */
bool node_watches(const node_t *node, int64_t now_us);

/* Who a credential (hexadecimal SHA-256 of a key) stands for. */
typedef enum { ROLE_NONE, ROLE_ORGANISATION, ROLE_TEAM, ROLE_OPERATOR } role_t;
role_t node_role(const node_t *node, const char *credential,
                 const char **name);

/* Counters of the decisions; see metric.h for the text format. */
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
    uint64_t pieces_late;     /* from a superseded attempt, dropped */
    uint64_t pieces_repeated; /* a position already held, dropped */
    uint64_t pieces_ahead;    /* a position beyond the next one: a loss */
    uint64_t finishes_late;
    uint64_t claims;
    uint64_t claims_unknown;
    uint64_t convicted;
    uint64_t sessions; /* now */
    uint64_t taken_over;
    uint64_t records; /* parts sent to keepers */
} node_counters_t;
const node_counters_t *node_counters(const node_t *node);

#endif
