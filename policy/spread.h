/*
 * spread.h - the configuration in force, and how it reaches every host.
 *
 * A key only ever moves to a higher revision, deletions included.  A few
 * hosts of each zone watch the platform's store; what a host takes that is
 * new to it goes on to its neighbours at once, and every SPREAD_ROUND_US it
 * compares hashes with another host, so that whatever was missed comes all
 * the same.
 */
#ifndef POLICY_SPREAD_H
#define POLICY_SPREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "policy/generated/event.h"
#include "policy/member.h"
#include "policy/orders.h"

enum {
    SPREAD_ROUND_US = 2000000,
    SPREAD_PUSH_HOSTS = 4,    /* neighbours that are told at once */
    SPREAD_WATCH_ALL_MAX = 8, /* so many live hosts or fewer all watch */
    SPREAD_WATCHERS = 2,      /* of each zone, when there are more */
};

typedef struct spread spread_t;

spread_t *spread_new(int64_t now_us, const start_event_t *start);
void spread_free(spread_t *spread);

/*
 * Takes a key from the store (from is NULL) or from a host.  Returns true
 * when it is newer than what was in force: the caller then puts it in
 * force.  Appends what other hosts are to be told.
 */
bool spread_config(spread_t *spread, int64_t now_us, const char *from,
                   const config_t *config, const member_t *member,
                   order_list_t *orders);

/* A host's part in a comparison. */
void spread_digest(spread_t *spread, int64_t now_us, const char *from,
                   const config_digest_t *digest, order_list_t *orders);

/* Begins the comparison that is due. */
void spread_timer(spread_t *spread, int64_t now_us, const member_t *member,
                  order_list_t *orders);
int64_t spread_due_us(const spread_t *spread);

/* Whether this host is to watch the store. */
bool spread_watches(const spread_t *spread, int64_t now_us,
                    const member_t *member);

/* The highest revision held, and a hash over all keys and revisions. */
int64_t spread_revision(const spread_t *spread);
uint64_t spread_hash(const spread_t *spread);

/*
 * What is in force, deleted keys left out, by key.  The list is in arena
 * memory; what it points to is valid until the next change.
 */
config_t *spread_list(const spread_t *spread, arena_t *arena, size_t *count);

/* One key with its revision, deleted or not; NULL when never heard of. */
const config_t *spread_find(const spread_t *spread, const char *key);

typedef struct {
    uint64_t taken;
    uint64_t older; /* at a lower or the same revision: left alone */
    uint64_t pushed;
    uint64_t rounds;
    uint64_t differences; /* rounds that found one */
} spread_counters_t;
const spread_counters_t *spread_counters(const spread_t *spread);

#endif
