/*
 * pool.h - keeps the registered runners and their health, and selects a
 * runner for a request.
 *
 * The state of a runner comes from the registry, from this host's requests
 * and probes, and from other hosts.  Often a whole availability zone fails:
 * when several runners of a zone are lost within a short time, all runners of
 * the zone are avoided for a cooldown period.
 *
 * The pool uses no clock and no sockets; callers pass the time as now_us.
 */
#ifndef FORWARD_POOL_H
#define FORWARD_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "world/registration.h"

enum { POOL_TRIED_MAX = 12, POOL_VERSIONS_MAX = 8 };

typedef struct pool pool_t;
typedef struct pool_zone pool_zone_t;

/* Only the pool writes these fields. */
typedef struct {
    registration_t registration; /* the pool owns its strings */
    uint64_t serial;     /* identifies one start of the runner; never reused */
    uint64_t id_hash;    /* the same on every host */
    uint64_t version;    /* hash of that of its software; never 0 */
    int64_t reported_ms; /* its start, as the process at its address reported
                            last; 0: not stated since registered_us */
    int64_t registered_us; /* time of the entry of this start */
    pool_zone_t *zone;
    uint32_t running;       /* requests of this host */
    uint32_t prefilling;    /* streams of this host before the first event */
    uint32_t copies;        /* KV cache copies of this host's streams */
    uint32_t peers_running; /* streams that other hosts reported */
    uint32_t peers_prefilling;
    int64_t cooldown_until_us; /* until then it is a last resort */
    int64_t silent_until_us;   /* the same, but its copies remain */
    uint32_t losses;           /* consecutive */
    uint32_t failed_permille;  /* of recent requests; moving average */
    int64_t expires_at_us;     /* expiry of an unregistered runner; 0: none */
    int64_t restored_until_us; /* its entry may be that of a runner that is
                                  gone; 0: it is not */
    bool listed;               /* in the last complete list, or added since */
    bool address_stale;        /* another runner uses its address */
    bool leaving;              /* it has said so itself */
    uint32_t ref_count;        /* attempts and copies that point to it */
    UT_hash_handle hh;
    UT_hash_handle by_hash; /* by id_hash */
} pool_runner_t;

/* The kinds of work that a runner is selected for. */
typedef enum {
    WORKLOAD_PLAIN,  /* a request to a service without streams */
    WORKLOAD_STREAM, /* the prefill of a prompt, and its stream */
    WORKLOAD_COPY,   /* storage of a copy of a stream's KV cache */
} pool_workload_t;

/* The criteria for selecting a runner. */
typedef struct {
    pool_workload_t kind;
    const char *service;
    const char *zone;                 /* preferred zone; or NULL */
    const pool_zone_t *excluded_zone; /* excluded zone; or NULL */
    uint64_t version;                 /* of its software; 0: any */
    uint64_t excluded_version;        /* of its software; 0: none */
    bool pack;                        /* the most loaded one with free slots */
    uint64_t id_order_max; /* only runners up to this pool_runner_order(); 0:
                              all */
    const uint64_t *versions; /* of its software, one of these ... */
    uint32_t version_count;   /* ... unless there are none */
    uint64_t affinity;        /* breaks ties between equal runners */
    uint64_t cached_runner;   /* id_hash of the runner that has the prompt
                             in its cache; 0: none */
    const uint64_t *tried;    /* serials of excluded runners */
    size_t tried_count;
} pool_query_t;

pool_t *pool_new(void);
void pool_free(pool_t *pool);

/* How an update from the registry changed a runner. */
typedef enum {
    RUNNER_UNCHANGED,
    RUNNER_ADDED,
    RUNNER_DRAINING,
    RUNNER_RESTARTED, /* same id, with a new start time or address */
    RUNNER_RELISTED,  /* registered again after its entry was missing */
    RUNNER_RESTORED,  /* only an older copy of the store has it again */
} runner_change_t;

/* Adds a registered runner, or updates it from its registry entry. */
runner_change_t pool_update_runner(pool_t *pool, int64_t now_us,
                                   const registration_t *entry);

/* Returns whether a later start of the runner is known than that of the entry,
 * and keeps what is known. */
bool pool_keep_later_start(pool_t *pool, const registration_t *entry);

/*
 * Records that a runner's registry entry was removed.  The runner may be
 * chosen until expires_at_us, which is later than now if the entry may have
 * expired only because the store was unavailable.  Returns NULL if the runner
 * is unknown or was already removed.
 */
const pool_runner_t *pool_remove_runner(pool_t *pool, const char *id,
                                        int64_t expires_at_us);

/*
 * Begin and end an update from a complete list of the registry.  Runners for
 * which pool_update_runner() is not called in between expire at expires_at_us.
 */
void pool_list_begin(pool_t *pool);
void pool_list_end(pool_t *pool, int64_t expires_at_us);

/* Frees runners that have expired and that nothing points to.  Those that
 * leave are kept for some time: an older entry may list them again. */
void pool_free_expired(pool_t *pool, int64_t now_us);

/* Returns the best runner, or NULL if no runner meets the criteria. */
pool_runner_t *pool_choose_runner(const pool_t *pool, int64_t now_us,
                                  const pool_query_t *query);

/* Returns true if the registry shows that a later start of the runner, or
 * another runner, uses its address. */
bool pool_runner_is_replaced(const pool_t *pool, uint64_t id_hash,
                             uint64_t serial);

/* Returns the runner with that id, or NULL. */
pool_runner_t *pool_find_runner(const pool_t *pool, const char *id);

/* Returns the runner whose id has this hash, or NULL. */
pool_runner_t *pool_find_hash(const pool_t *pool, uint64_t id_hash);

/* Returns a hash of the service's name; never 0. */
uint64_t pool_hash_service(const char *service);

/* Returns the name of the service that has this hash, if a runner of it is
 * registered; else NULL. */
const char *pool_find_service(const pool_t *pool, uint64_t service);

/* Returns the first runner; the others follow through hh.next. */
const pool_runner_t *pool_first_runner(const pool_t *pool);

/* Lists the versions of the service's runners: of those that may be chosen,
 * or of all that are registered.  versions has room for POOL_VERSIONS_MAX. */
uint32_t pool_list_versions(const pool_t *pool, int64_t now_us,
                            const char *service, bool usable,
                            uint64_t *versions);

/* Returns the version of pool_runner_t for its name. */
uint64_t pool_hash_version(const char *version);

/* Returns the runner's place in an order that is the same on every host. */
uint64_t pool_runner_order(const pool_runner_t *runner);

/* Returns whether a runner of the service states the version of its software.
 */
bool pool_states_version(const pool_t *pool, const char *service);

/* Returns whether the process at the runner's address is, as far as is known,
 * the one that wrote its entry. */
bool pool_runner_wrote_entry(const pool_runner_t *runner);

/* Returns true if new requests may be sent to the runner. */
bool pool_runner_usable(const pool_runner_t *runner, int64_t now_us);

/*
 * Count a request of this host that starts or ends at the runner.  stream:
 * it counts as prefilling until its first event; prefilling: it has ended
 * before that event.
 */
void pool_request_started(pool_runner_t *runner, bool stream);
void pool_request_ended(pool_runner_t *runner, bool prefilling);
/* Records the first event of a stream, which ends its prefill. */
void pool_prefill_done(pool_runner_t *runner);

/* Count a copy of a stream's KV cache that the runner keeps or drops. */
void pool_add_copy(pool_runner_t *runner);
void pool_remove_copy(pool_runner_t *runner);

/* Reset, count and uncount the streams that other hosts have at the runners.
 * Those at an unknown runner are not counted. */
void pool_clear_peer_streams(pool_t *pool);
void pool_count_peer_stream(pool_t *pool, uint64_t id_hash, bool prefilling);
void pool_uncount_peer_stream(pool_t *pool, uint64_t id_hash, bool prefilling);

/* Returns the number of starts of runners that the pool has seen. */
uint64_t pool_start_count(const pool_t *pool);

/* Records a response; failed: it was an error of the runner. */
void pool_record_response(pool_runner_t *runner, bool failed);

/*
 * Records that the runner closed or refused a connection, or does not
 * respond.  Returns true if this loss puts the whole zone into cooldown;
 * silent: it may only pause, and says nothing about its zone.
 */
bool pool_record_loss(pool_runner_t *runner, int64_t now_us, bool silent);

/* Records whether the runner answered a probe. */
void pool_record_probe(pool_t *pool, const char *id, bool answered,
                       int64_t now_us);

/* Records the start that the process at the runner's address reports, if it
 * was asked after the latest entry.  Returns the runner if that has changed,
 * or NULL. */
const pool_runner_t *pool_record_start(pool_t *pool, const char *id,
                                       int64_t started_ms, int64_t asked_us);

/* Records that the runner rejected a request because it is full. */
void pool_record_full(pool_runner_t *runner, int64_t now_us);

/*
 * Record that another runner uses the runner's address: as this host found,
 * or as another host reported.
 */
void pool_mark_address_stale(pool_runner_t *runner);
void pool_mark_address_stale_by_id(pool_t *pool, uint64_t id_hash);

/* Records that the runner itself has said that it leaves, until it restarts.
 * Returns false if that was known. */
bool pool_mark_leaving(pool_runner_t *runner);

/* Returns true while the zone is in cooldown after several losses. */
bool pool_zone_in_cooldown(const pool_zone_t *zone, int64_t now_us);

#endif
