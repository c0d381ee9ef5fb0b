/* fleet.c - see fleet.h. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/random.h"
#include "regress/fleet_private.h"

enum {
    DATAGRAM_HEADER_BYTES = 28, /* IP and UDP */
    STREAM_HEADER_BYTES = 52,   /* IP and TCP with timestamps */
    REPLY_BYTES = 24,
    KEY_BYTES = 32,
    INCARNATION_FIRST = 100,
    STORE_US = 5000,
    TIMER_LEAST_US = 1000,
};

static const uint8_t key[KEY_BYTES] = {42};

static void carry_out(fleet_t *fleet, uint32_t host);

uint64_t
fleet_random(fleet_t *fleet, uint64_t below)
{
    return random_next_from(&fleet->random) % below;
}

fleet_t *
fleet_new(const fleet_settings_t *settings)
{
    fleet_t *fleet = xcalloc(1, sizeof(*fleet));
    fleet_host_t *host;
    uint32_t i;

    fleet->settings = *settings;
    fleet->queue = event_queue_of(sizeof(fleet_item_t), fleet_precedes);
    fleet->random = settings->seed;
    fleet->now_us = 1000000;
    fleet->store_up = true;
    for (i = 0; i < settings->hosts; i++) {
        host = &fleet->hosts[i];
        host->incarnation = INCARNATION_FIRST;
        (void)snprintf(host->name, sizeof(host->name), "host-%03u", i);
        (void)snprintf(host->zone, sizeof(host->zone), "zone-%u",
                       i % settings->zones);
        (void)snprintf(host->address, sizeof(host->address), "10.0.%u.%u:8080",
                       i / 256, i % 256);
    }
    return fleet;
}

void
fleet_free(fleet_t *fleet)
{
    fleet_item_t item;
    uint32_t i;

    for (i = 0; i < fleet->settings.hosts; i++) {
        fleet_stop(fleet, i);
    }
    while (fleet_pop(fleet, INT64_MAX, &item)) {
        free(item.record.bytes);
    }
    event_queue_free(&fleet->queue);
    actions_free(&fleet->actions);
    free(fleet);
}

uint32_t
fleet_index(const char *name)
{
    return (uint32_t)strtoul(name + strlen("host-"), NULL, 10);
}

static bool
reaches_store(const fleet_t *fleet, uint32_t host)
{
    return fleet->store_up && (fleet->settings.store_hosts == 0 ||
                               host < fleet->settings.store_hosts);
}

static void
give_timer(fleet_t *fleet, uint32_t host)
{
    const fleet_host_t *at = &fleet->hosts[host];
    int64_t due_us = member_due_us(at->membership);
    fleet_item_t item = {.kind = ITEM_TIMER, .host = host};

    if (config_sync_due_us(at->sync) < due_us) {
        due_us = config_sync_due_us(at->sync);
    }
    if (due_us < fleet->now_us + TIMER_LEAST_US) {
        due_us = fleet->now_us + TIMER_LEAST_US;
    }
    item.at_us = due_us;
    item.incarnation = at->incarnation;
    fleet_push(fleet, item);
}

static void
give_list(fleet_t *fleet, uint32_t host, int64_t after_us)
{
    fleet_item_t item = {.kind = ITEM_LIST, .host = host};

    item.at_us = fleet->now_us + after_us;
    item.incarnation = fleet->hosts[host].incarnation;
    fleet_push(fleet, item);
}

void
fleet_start(fleet_t *fleet, uint32_t host)
{
    fleet_host_t *at = &fleet->hosts[host];
    start_event_t start = {0};

    fleet_stop(fleet, host);
    at->incarnation++;
    at->leaving = false;
    memset(at->key_revisions, 0, sizeof(at->key_revisions));
    memset(at->heard_leaving, 0, sizeof(at->heard_leaving));
    at->sequence = 0;
    start.host = at->name;
    start.zone = at->zone;
    start.address = at->address;
    start.incarnation = at->incarnation;
    start.seed = fleet_random(fleet, UINT64_MAX);
    at->membership = member_new(fleet->now_us, &start);
    at->sync = config_sync_new(fleet->now_us, &start);
    give_list(fleet, host, 0);
    /* Hosts do not beat in step. */
    fleet_push(fleet, (fleet_item_t){.kind = ITEM_TIMER,
                                     .host = host,
                                     .at_us = fleet->now_us + 1 +
                                              (int64_t)fleet_random(
                                                  fleet, MEMBER_HEARTBEAT_US),
                                     .incarnation = at->incarnation});
}

void
fleet_stop(fleet_t *fleet, uint32_t host)
{
    fleet_host_t *at = &fleet->hosts[host];

    if (at->membership != NULL) {
        member_free(at->membership);
        config_sync_free(at->sync);
        at->membership = NULL;
    }
}

static member_status_t
self_of(const fleet_host_t *at)
{
    member_status_t self = {0, config_sync_revision(at->sync),
                            config_sync_hash(at->sync)};

    return self;
}

void
fleet_leave(fleet_t *fleet, uint32_t host)
{
    fleet_host_t *at = &fleet->hosts[host];
    member_status_t self = self_of(at);

    at->leaving = true;
    actions_reset(&fleet->actions);
    member_announce_leaving(at->membership, fleet->now_us, &self,
                            &fleet->actions);
    carry_out(fleet, host);
}

void
fleet_ask_all(fleet_t *fleet, uint32_t host)
{
    fleet_host_t *at = &fleet->hosts[host];
    member_status_t self = self_of(at);

    actions_reset(&fleet->actions);
    member_probe_all(at->membership, fleet->now_us, &self, &fleet->actions);
    carry_out(fleet, host);
}

static void
give_key(fleet_t *fleet, uint32_t host, uint32_t index)
{
    fleet_item_t item = {.kind = ITEM_STORE, .host = host, .key = index};

    item.at_us = fleet->now_us + STORE_US;
    item.incarnation = fleet->hosts[host].incarnation;
    item.revision = fleet->store_keys[index];
    fleet_push(fleet, item);
}

/* Those that watch hear of a change at the store. */
void
fleet_write(fleet_t *fleet, uint32_t index)
{
    fleet_host_t *at;
    uint32_t i;

    fleet->store_revision++;
    fleet->store_keys[index] = fleet->store_revision;
    for (i = 0; i < fleet->settings.hosts; i++) {
        at = &fleet->hosts[i];
        if (at->membership != NULL && reaches_store(fleet, i) &&
            config_sync_is_watcher(at->sync, fleet->now_us, at->membership)) {
            give_key(fleet, i, index);
        }
    }
}

/* Whoever reaches the store reads all of it, as when a watch begins. */
void
fleet_read_all(fleet_t *fleet)
{
    uint32_t index;
    uint32_t i;

    for (i = 0; i < fleet->settings.hosts; i++) {
        for (index = 0; index < FLEET_KEYS_MAX; index++) {
            if (fleet->hosts[i].membership != NULL &&
                reaches_store(fleet, i) && fleet->store_keys[index] > 0) {
                give_key(fleet, i, index);
            }
        }
    }
}

static void
transmit(fleet_t *fleet, uint32_t from, uint32_t to, const message_t *message)
{
    fleet_host_t *at = &fleet->hosts[from];
    bool beat = message->kind == MESSAGE_HEARTBEAT;
    fleet_item_t item = {.kind = ITEM_RECORD, .host = to};
    wire_key_t with = {key, sizeof(key)};
    peer_call_t call = {at->name,
                        fleet->hosts[to].name,
                        at->incarnation,
                        ++at->sequence,
                        beat ? PEER_DATAGRAM : PEER_STREAM,
                        *message};
    uint32_t copies = 1;
    size_t header = beat ? DATAGRAM_HEADER_BYTES : STREAM_HEADER_BYTES;

    if (!wire_encode_call(1, &call, with, &item.record)) {
        abort();
    }
    at->sent++;
    at->sent_bytes += item.record.count - WIRE_RECORD_MARK_BYTES + header;
    copies += fleet_random(fleet, 1000) < fleet->settings.twice_permille;
    while (copies > 0) {
        fleet_item_t copy = item;

        copies--;
        copy.record.bytes = xcalloc(1, item.record.count);
        memcpy(copy.record.bytes, item.record.bytes, item.record.count);
        copy.at_us =
            fleet->now_us + fleet->settings.delay_least_us +
            (int64_t)fleet_random(fleet, fleet->settings.delay_most_us + 1);
        if (fleet->hosts[to].membership == NULL ||
            at->side != fleet->hosts[to].side ||
            fleet_random(fleet, 1000) < fleet->settings.loss_permille) {
            free(copy.record.bytes);
            continue;
        }
        copy.incarnation = fleet->hosts[to].incarnation;
        fleet_push(fleet, copy);
    }
    free(item.record.bytes);
}

static void
carry_out(fleet_t *fleet, uint32_t host)
{
    const action_t *action;
    size_t i;

    for (i = 0; i < fleet->actions.count; i++) {
        action = &fleet->actions.items[i];
        if (action->kind == ACTION_SEND_MESSAGE) {
            transmit(fleet, host,
                     fleet_index(action->action_t_u.send_message.host),
                     &action->action_t_u.send_message.message);
        }
    }
}

static void
take_config(fleet_t *fleet, fleet_host_t *at, const char *from,
            const config_t *config)
{
    bool newer = config_sync_receive(at->sync, fleet->now_us, from, config,
                                     at->membership, &fleet->actions);

    if (newer || fleet->settings.without_revision_guard) {
        fleet_in_force(fleet, at, config);
    }
}

static void
take_record(fleet_t *fleet, uint32_t host, const wire_record_t *record)
{
    fleet_host_t *at = &fleet->hosts[host];
    wire_key_t with = {key, sizeof(key)};
    wire_input_t input;
    message_t *message = &input.call.message;
    member_status_t self = self_of(at);
    bool beat;

    wire_decode(record->bytes + WIRE_RECORD_MARK_BYTES,
                record->count - WIRE_RECORD_MARK_BYTES, with, &input);
    if (input.kind != WIRE_CALL) {
        abort();
    }
    beat = message->kind == MESSAGE_HEARTBEAT;
    at->received_bytes += record->count - WIRE_RECORD_MARK_BYTES +
                          (beat ? DATAGRAM_HEADER_BYTES : STREAM_HEADER_BYTES);
    at->sent_bytes += REPLY_BYTES + DATAGRAM_HEADER_BYTES;
    fleet->hosts[fleet_index(input.call.from)].received_bytes +=
        REPLY_BYTES + DATAGRAM_HEADER_BYTES;
    if (beat) {
        fleet_heard_leaving(at, input.call.from,
                            &message->message_t_u.heartbeat,
                            fleet->settings.without_leaving);
        member_receive_heartbeat(
            at->membership, fleet->now_us, input.call.from,
            &message->message_t_u.heartbeat, &self, &fleet->actions);
        if (fleet->settings.hosts <= MEMBER_MESH_MAX) {
            fleet_check_addresses(fleet, at);
        }
    }
    else if (message->kind == MESSAGE_CONFIG) {
        take_config(fleet, at, input.call.from, &message->message_t_u.config);
    }
    else if (!fleet->settings.without_digests) {
        config_sync_receive_digest(at->sync, fleet->now_us, input.call.from,
                                   &message->message_t_u.config_digest,
                                   &fleet->actions);
    }
    carry_out(fleet, host);
    wire_input_free(&input);
}

static void
take_list(fleet_t *fleet, uint32_t host)
{
    fleet_host_t *at = &fleet->hosts[host];
    host_list_event_t event = {0};
    host_entry_t *entry;
    uint32_t i;

    event.hosts.hosts_val = arena_array(&fleet->actions.arena,
                                        fleet->settings.hosts, sizeof(*entry));
    for (i = 0; i < fleet->settings.hosts; i++) {
        if (fleet->hosts[i].incarnation == INCARNATION_FIRST) {
            continue; /* It was never started. */
        }
        entry = &event.hosts.hosts_val[event.hosts.hosts_len];
        event.hosts.hosts_len++;
        entry->host = fleet->hosts[i].name;
        entry->zone = fleet->hosts[i].zone;
        entry->address = fleet->hosts[i].address;
        entry->peer_address = fleet->hosts[i].address;
        /* It lags: a host may long have started anew. */
        entry->incarnation =
            fleet->hosts[i].incarnation - fleet_random(fleet, 2);
    }
    member_update_listed(at->membership, fleet->now_us, &event,
                         &fleet->actions);
    carry_out(fleet, host);
    if (fleet->settings.list_every_us > 0) {
        give_list(fleet, host, fleet->settings.list_every_us);
    }
}

static void
take_store(fleet_t *fleet, uint32_t host, const fleet_item_t *item)
{
    char name[FLEET_NAME_BYTES];
    config_t config = {0};

    (void)snprintf(name, sizeof(name), "k%u", item->key);
    config.key = name;
    config.revision = item->revision;
    config.text.text_len = fleet->settings.text_bytes;
    config.text.text_val =
        arena_alloc(&fleet->actions.arena, fleet->settings.text_bytes + 1);
    take_config(fleet, &fleet->hosts[host], NULL, &config);
    carry_out(fleet, host);
}

static void
take_timer(fleet_t *fleet, uint32_t host)
{
    fleet_host_t *at = &fleet->hosts[host];
    member_status_t self = self_of(at);

    member_handle_timer(at->membership, fleet->now_us, &self, &fleet->actions);
    config_sync_handle_timer(at->sync, fleet->now_us, at->membership,
                             &fleet->actions);
    carry_out(fleet, host);
    give_timer(fleet, host);
}

void
fleet_run(fleet_t *fleet, int64_t for_us)
{
    int64_t end_us = fleet->now_us + for_us;
    fleet_item_t item;
    const fleet_host_t *at;

    while (fleet_pop(fleet, end_us, &item)) {
        fleet->now_us = item.at_us;
        at = &fleet->hosts[item.host];
        actions_reset(&fleet->actions);
        if (at->membership == NULL || at->incarnation != item.incarnation) {
            free(item.record.bytes);
            continue;
        }
        switch (item.kind) {
        case ITEM_RECORD:
            take_record(fleet, item.host, &item.record);
            free(item.record.bytes);
            break;
        case ITEM_TIMER:
            take_timer(fleet, item.host);
            break;
        case ITEM_LIST:
            take_list(fleet, item.host);
            break;
        case ITEM_STORE:
            take_store(fleet, item.host, &item);
            break;
        }
    }
    fleet->now_us = end_us;
}
