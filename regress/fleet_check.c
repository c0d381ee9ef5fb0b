/* fleet_check.c - what the hosts must keep to; see fleet.h. */
#include <stdlib.h>
#include <string.h>

#include "regress/fleet_private.h"

void
fleet_in_force(fleet_t *fleet, fleet_host_t *at, const config_t *config)
{
    uint32_t index = (uint32_t)strtoul(config->key + 1, NULL, 10);

    if (config->revision < at->key_revisions[index]) {
        fleet->revisions_fallen++;
    }
    at->key_revisions[index] = config->revision;
    at->key_since_us[index] = fleet->now_us;
}

void
fleet_heard_leaving(fleet_host_t *at, const char *from, heartbeat_t *heartbeat,
                    bool hide)
{
    gossip_t *gossip_data;
    u_int i;

    if (heartbeat->leaving) {
        at->heard_leaving[fleet_index(from)] = heartbeat->incarnation;
        heartbeat->leaving = !hide;
    }
    for (i = 0; i < heartbeat->gossip_data.gossip_data_len; i++) {
        gossip_data = &heartbeat->gossip_data.gossip_data_val[i];
        if (gossip_data->state == GOSSIP_LEAVING) {
            if (gossip_data->incarnation >
                at->heard_leaving[fleet_index(gossip_data->host)]) {
                at->heard_leaving[fleet_index(gossip_data->host)] =
                    gossip_data->incarnation;
            }
            gossip_data->state = hide ? GOSSIP_LIVE : GOSSIP_LEAVING;
        }
    }
}

void
fleet_check_addresses(fleet_t *fleet, fleet_host_t *at)
{
    arena_t arena = {0};
    member_view_t *views;
    size_t count;
    size_t i;

    views = member_caller_addresses(at->membership, fleet->now_us,
                                    fleet_random(fleet, 1000), &arena, &count);
    for (i = 0; i < count; i++) {
        fleet->addresses_checked++;
        if (views[i].incarnation <=
            at->heard_leaving[fleet_index(views[i].host)]) {
            fleet->leaving_given++;
        }
    }
    arena_free(&arena);
}

uint32_t
fleet_behind(const fleet_t *fleet)
{
    uint32_t behind = 0;
    uint32_t i;

    for (i = 0; i < fleet->settings.hosts; i++) {
        if (fleet->hosts[i].membership != NULL &&
            memcmp(fleet->hosts[i].key_revisions, fleet->store_keys,
                   sizeof(fleet->store_keys)) != 0) {
            behind++;
        }
    }
    return behind;
}

uint32_t
fleet_unlike_one(const fleet_t *fleet, uint32_t host, member_state_t state)
{
    member_view_t view;
    uint32_t unlike = 0;
    uint32_t i;

    for (i = 0; i < fleet->settings.hosts; i++) {
        if (fleet->hosts[i].membership != NULL && i != host &&
            (!member_find(fleet->hosts[i].membership, fleet->now_us,
                          fleet->hosts[host].name, &view) ||
             view.state != state)) {
            unlike++;
        }
    }
    return unlike;
}

uint32_t
fleet_unlike(const fleet_t *fleet, member_state_t state)
{
    uint32_t unlike = 0;
    uint32_t i;

    for (i = 0; i < fleet->settings.hosts; i++) {
        if (fleet->hosts[i].membership != NULL) {
            unlike += fleet_unlike_one(fleet, i, state);
        }
    }
    return unlike;
}
