/*
 * fleet.h - several hosts' membership and configuration in one process.
 *
 * A plain loop over arrays: messages are encoded as on the wire, lost,
 * delayed and sent twice by a seed, and time is what the loop says it is.
 */
#ifndef REGRESS_FLEET_H
#define REGRESS_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/member.h"
#include "policy/actions.h"
#include "policy/config_sync.h"
#include "regress/event_queue.h"

enum { FLEET_HOSTS_MAX = 512, FLEET_KEYS_MAX = 16, FLEET_NAME_BYTES = 16 };

typedef struct fleet fleet_t;

typedef struct {
    uint32_t hosts;
    uint32_t zones;
    uint64_t seed;
    uint32_t loss_permille;
    uint32_t twice_permille;
    uint32_t delay_least_us;
    uint32_t delay_most_us;
    uint32_t store_hosts;  /* only so many can reach the store; 0: all */
    int64_t list_every_us; /* of the platform's host list; 0: once */
    int64_t list_lag_us;
    uint32_t text_bytes; /* of a document */
    /* Each takes one guard away, to see that its check would fail. */
    bool without_revision_guard;
    bool without_digests;
    bool without_leaving;
} fleet_settings_t;

typedef struct {
    membership_t *membership; /* NULL: the host is down */
    config_sync_t *sync;
    char name[FLEET_NAME_BYTES];
    char zone[FLEET_NAME_BYTES];
    char address[2 * FLEET_NAME_BYTES];
    uint64_t incarnation;
    uint32_t side; /* hosts of different sides do not hear each other */
    bool leaving;
    int64_t key_revisions[FLEET_KEYS_MAX]; /* in force */
    int64_t key_since_us[FLEET_KEYS_MAX];
    uint64_t heard_leaving[FLEET_HOSTS_MAX]; /* the incarnation, or 0 */
    uint64_t sent;
    uint64_t sent_bytes;
    uint64_t received_bytes;
    uint64_t sequence;
} fleet_host_t;

struct fleet {
    fleet_settings_t settings;
    int64_t now_us;
    uint64_t random;
    fleet_host_t hosts[FLEET_HOSTS_MAX];
    int64_t store_revision;
    int64_t store_keys[FLEET_KEYS_MAX];
    bool store_up;
    event_queue_t queue; /* of fleet_item_t */
    uint64_t items;
    action_list_t actions;
    /* What the checks found. */
    uint64_t revisions_fallen;
    uint64_t leaving_given;
    uint64_t addresses_checked;
};

fleet_t *fleet_new(const fleet_settings_t *settings);
void fleet_free(fleet_t *fleet);
uint64_t fleet_random(fleet_t *fleet, uint64_t below);

void fleet_start(fleet_t *fleet, uint32_t host);
void fleet_stop(fleet_t *fleet, uint32_t host); /* at once, as by SIGKILL */
void fleet_leave(fleet_t *fleet, uint32_t host);
void fleet_ask_all(fleet_t *fleet, uint32_t host);
void fleet_write(fleet_t *fleet, uint32_t key); /* a new revision of it */
void fleet_read_all(fleet_t *fleet);
void fleet_run(fleet_t *fleet, int64_t for_us);

/* How many hosts lack the store's revision of any key. */
uint32_t fleet_behind(const fleet_t *fleet);
/* How many pairs of running hosts do not see each other as state. */
uint32_t fleet_unlike(const fleet_t *fleet, member_state_t state);
/* How many running hosts see this one in another state. */
uint32_t fleet_unlike_one(const fleet_t *fleet, uint32_t host,
                          member_state_t state);

#endif
