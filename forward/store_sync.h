/*
 * store_sync.h - decides how a host learns of the store's changes: by a watch
 * of the store, or by polling a host that watches it.
 *
 * A deterministic state machine without I/O.  Each function takes what has
 * happened and the fleet as it is now, and returns the step to carry out.  Of
 * the results of calls only those are passed on that belong to the last call
 * that a step has started.
 *
 * A follower polls its watcher repeatedly.  A reply confirms the store's state
 * as of the time of the poll, less the contact age that the reply states.  If
 * no host replies, this host watches the store itself.  While calls of a host
 * to the store fail, it polls a host that may have the store.
 */
#ifndef FORWARD_STORE_SYNC_H
#define FORWARD_STORE_SYNC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "forward/follower.h"

typedef struct store_sync store_sync_t;

typedef struct {
    uint32_t watch_ms;         /* longest duration of a poll of the store */
    uint32_t changed_watch_ms; /* the same, of one that follows a change */
    uint32_t settle_ms; /* wait while a starting fleet's hosts register */
} store_sync_settings_t;

/* The fleet at the time of a call.  Its strings are not kept. */
typedef struct {
    int64_t now_us;
    bool peers_ready;            /* other hosts can be polled */
    uint32_t contact_age_max_ms; /* see follower_contact_age_max_ms() */
    watcher_candidate_t *hosts;
    size_t count;
    const watcher_candidate_t *self; /* one of hosts; NULL: not registered */
    uint64_t random;
} store_sync_fleet_t;

typedef enum {
    SYNC_NONE,  /* the calls in progress go on */
    SYNC_READ,  /* reads all keys of the store */
    SYNC_WATCH, /* watches the store after the last known revision */
    SYNC_POLL,  /* polls a host */
} store_sync_call_t;

typedef enum {
    SYNC_STORE_SAME,
    SYNC_STORE_LOST,    /* the first call that has failed */
    SYNC_STORE_REGAINED /* the first one that has not */
} store_sync_change_t;

typedef struct {
    store_sync_call_t call; /* to be started */
    const char *host;       /* that is polled; valid until the next call */
    uint64_t poll_number;
    bool new_host;           /* it is another one than before */
    bool ends_watch;         /* the watch is cancelled first */
    uint32_t timer_ms;       /* when store_sync_timer() is due; 0: never */
    const char *failed_host; /* that was polled; NULL: it has not failed */
    store_sync_change_t store;
    store_sync_call_t lost_call; /* with SYNC_STORE_LOST: that has failed */
    bool has_contact;
    int64_t contact_us; /* as of when all changes are known */
    const char *source; /* "read", "watch" or a host; valid until the next
                           call */
} store_sync_step_t;

typedef enum {
    SYNC_OK,
    SYNC_COMPACTED, /* the store no longer has the changes */
    SYNC_FAILED,
} store_sync_result_t;

store_sync_t *store_sync_new(const store_sync_settings_t *settings);
void store_sync_free(store_sync_t *sync);

store_sync_step_t store_sync_start(store_sync_t *sync,
                                   const store_sync_fleet_t *fleet);

/* Returns whether the last call to the store has failed. */
bool store_sync_is_store_lost(const store_sync_t *sync);

/* A read of all keys has ended. */
store_sync_step_t store_sync_read_done(store_sync_t *sync,
                                       store_sync_result_t result,
                                       const store_sync_fleet_t *fleet);

/* Returns whether a result of a watch belongs to the current call. */
bool store_sync_is_watching(const store_sync_t *sync);
/* A poll of the watch has returned; changes: at least one. */
store_sync_step_t store_sync_watch_done(store_sync_t *sync,
                                        store_sync_result_t result,
                                        bool changes,
                                        const store_sync_fleet_t *fleet);

/* Returns whether a reply of that host is to the current poll. */
bool store_sync_is_polling(const store_sync_t *sync, const char *host,
                           uint64_t number);
typedef enum {
    SYNC_REPLY_CHANGES, /* all changes since the revision of the poll */
    SYNC_REPLY_PARTIAL, /* some of them, or all as of an old contact: more
                           are to be polled for */
    SYNC_REPLY_UNKNOWN, /* the host no longer has them: the store has to be
                           read */
    SYNC_REPLY_BEHIND,  /* the host has not seen that the store was restored */
} sync_reply_t;

/* A host has replied. */
store_sync_step_t store_sync_poll_done(store_sync_t *sync, sync_reply_t reply,
                                       uint32_t contact_age_ms,
                                       const store_sync_fleet_t *fleet);

/*
 * The next call to the store reads all keys, and so does not replay versions
 * of values that have been superseded.  Precedes the result of the call that
 * shows this.
 */
void store_sync_skip_history(store_sync_t *sync);

/* The view is too old for what is to be decided.  What is in progress is given
 * up; a polled host is to blame only if it has held the poll for too long. */
store_sync_step_t store_sync_confirm(store_sync_t *sync,
                                     const store_sync_fleet_t *fleet);

store_sync_step_t store_sync_timer(store_sync_t *sync,
                                   const store_sync_fleet_t *fleet);

#endif
