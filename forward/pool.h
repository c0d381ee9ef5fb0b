/*
 * pool.h - the registered runners, their health, and the choice of one.
 *
 * What is known of a runner comes from the registry, from this host's own
 * requests and from its probes.  The unit that fails is often an
 * availability zone: when several runners of one are lost within a moment,
 * the whole zone rests.  No clock, no socket: now_us comes in.
 */
#ifndef FORWARD_POOL_H
#define FORWARD_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "world/registration.h"

enum { POOL_TRIED_MAX = 12 };

typedef struct pool pool_t;
typedef struct pool_zone pool_zone_t;

/* Fields are the pool's to write; read only elsewhere. */
typedef struct {
    registration_t is; /* its strings belong to the pool */
    uint64_t serial;   /* new with each start of a runner; never reused */
    uint64_t id_hash;  /* the same on every host */
    pool_zone_t *zone;
    uint32_t running;       /* requests of this host */
    uint32_t reading;       /* streams of this host without a first event */
    uint32_t copies;        /* of memory, that this host's streams hold */
    uint32_t peers_running; /* streams of other hosts, by their word */
    uint32_t peers_reading;
    int64_t rests_until_us;   /* not chosen before, if others are there */
    uint32_t losses;          /* in a row */
    uint32_t failed_permille; /* of late requests, smoothed */
    int64_t drop_at_us;       /* not listed any more; gone then.  0: listed */
    bool listed;
    bool misdirected; /* its address answers for another runner */
    uint32_t holders; /* attempts that point here */
    UT_hash_handle hh;
    UT_hash_handle by_hash; /* by id_hash */
} pool_runner_t;

/* What a runner is wanted for. */
typedef enum {
    WANT_PLAIN,  /* a request to a plain service */
    WANT_STREAM, /* a prompt to read, and a stream */
    WANT_COPY,   /* to keep the copy of a stream's memory */
} want_kind_t;

/* What a request needs of its runner. */
typedef struct {
    want_kind_t kind;
    const char *service;
    const char *zone;            /* this host's, preferred; or NULL */
    const pool_zone_t *not_zone; /* another failure domain; or NULL */
    uint64_t affinity;           /* decides between runners that are alike */
    uint64_t cached_at;          /* id_hash of the runner that has read the
                                    prompt before; 0: none */
    const uint64_t *tried;       /* serials not to be chosen */
    size_t tried_count;
} pool_want_t;

pool_t *pool_new(void);
void pool_free(pool_t *pool);

/* What the registry's word on a runner has changed. */
typedef enum {
    RUNNER_SAME,
    RUNNER_ADDED,
    RUNNER_DRAINING,
    RUNNER_RESTARTED, /* under the same id, or at another address */
    RUNNER_BACK,      /* it was not listed any more, and is again */
} runner_change_t;

/* The registry lists the runner; fields may have changed. */
runner_change_t pool_put(pool_t *pool, int64_t now_us,
                         const registration_t *is);

/*
 * The registry lists it no more.  It is not chosen from gone_at_us on: at
 * once, or later where an entry may only have lapsed with its store.  NULL:
 * it was not listed.
 */
const pool_runner_t *pool_drop(pool_t *pool, const char *id,
                               int64_t gone_at_us);

/* The whole list is about to be put; what is not put then is dropped. */
void pool_list_begin(pool_t *pool);
void pool_list_end(pool_t *pool, int64_t gone_at_us);

/* Forgets runners that are gone and that nobody holds. */
void pool_sweep(pool_t *pool, int64_t now_us);

/* The best runner, or NULL when the service has none to offer. */
pool_runner_t *pool_choose(const pool_t *pool, int64_t now_us,
                           const pool_want_t *want);

/* Whether this start of a runner is over, by what the registry says. */
bool pool_has_ended(const pool_t *pool, uint64_t id_hash, uint64_t serial);

/* The runners, linked by hh.next. */
const pool_runner_t *pool_first(const pool_t *pool);

/* Whether it may be sent new requests. */
bool pool_usable(const pool_runner_t *runner, int64_t now_us);

/* A request of this host starts there and ends; stream: see reading. */
void pool_start(pool_runner_t *runner, bool stream);
void pool_end(pool_runner_t *runner, bool reading);
/* The stream's first event came. */
void pool_read(pool_runner_t *runner);

/* A copy of a stream's memory is kept there, and no longer. */
void pool_copy_start(pool_runner_t *runner);
void pool_copy_end(pool_runner_t *runner);

/* Streams of other hosts: all are counted anew. */
void pool_peers_clear(pool_t *pool);
void pool_peers_add(pool_t *pool, uint64_t id_hash, bool reading);

/* It answered; failed: with an error of its own. */
void pool_answered(pool_runner_t *runner, bool failed);

/*
 * It broke off, refused a connection or does not answer.  True: so many of
 * its zone were lost together that the zone rests from now on.
 */
bool pool_lost(pool_runner_t *runner, int64_t now_us);

/* It has no room. */
void pool_full(pool_runner_t *runner, int64_t now_us);

/* Its address is another runner's now; by another host's word. */
void pool_misdirected(pool_runner_t *runner);
void pool_peer_misdirected(pool_t *pool, uint64_t id_hash);

/* Whether runners of this zone were lost together a moment ago. */
bool pool_zone_rests(const pool_zone_t *zone, int64_t now_us);

#endif
