/* member_gossip.c - dissemination of host state changes by gossip. */
#include <stdlib.h>
#include <string.h>

#include "policy/member_private.h"

enum { GOSSIP_QUEUE_MAX = 4096 };

static reporter_t *find_report_slot(member_host_t *host, const char *name,
                                    bool dead);
static void apply_failure_report(membership_t *membership, int64_t now_us,
                                 member_host_t *host, const gossip_t *update);
static void apply_live_update(membership_t *membership, int64_t now_us,
                              member_host_t *host, const gossip_t *update);
static void encode_item(const gossip_item_t *item, const member_host_t *host,
                        gossip_t *update, arena_t *arena);
static bool find_or_add_host(membership_t *membership, int64_t now_us,
                             const gossip_t *update, member_host_t **found);

/*
 * Enqueues an item for the next heartbeats.  It replaces items on the same
 * host that have the same reporter or are of an older incarnation.
 */
void
gossip_enqueue(membership_t *membership, const member_host_t *host,
               const char *reporter, uint64_t sequence, gossip_state_t state)
{
    gossip_item_t *item;
    gossip_item_t *next;
    uint32_t count = 0;

    for (item = TAILQ_FIRST(&membership->gossip); item != NULL; item = next) {
        next = TAILQ_NEXT(item, entry);
        count++;
        if (strcmp(item->host, host->host) == 0 &&
            (strcmp(item->reporter, reporter) == 0 ||
             item->incarnation < host->incarnation)) {
            TAILQ_REMOVE(&membership->gossip, item, entry);
            free(item);
            count--;
        }
    }
    if (count >= GOSSIP_QUEUE_MAX) {
        item = TAILQ_FIRST(&membership->gossip);
        TAILQ_REMOVE(&membership->gossip, item, entry);
        free(item);
    }
    item = xcalloc(1, sizeof(*item));
    member_copy_name(item->host, host->host);
    member_copy_name(item->reporter, reporter);
    item->incarnation = host->incarnation;
    item->sequence = sequence;
    item->state = state;
    item->transmissions_left = GOSSIP_TRANSMISSIONS;
    TAILQ_INSERT_TAIL(&membership->gossip, item, entry);
}

/*
 * Returns the slot for a report of this reporter, or NULL if the report adds
 * no evidence.  A death report may overwrite a suspect report.
 */
static reporter_t *
find_report_slot(member_host_t *host, const char *name, bool dead)
{
    reporter_t *slot = NULL;
    uint32_t i;

    for (i = 0; i < host->reporter_count; i++) {
        if (strcmp(host->reporters[i].host, name) == 0) {
            return dead && !host->reporters[i].dead ? &host->reporters[i]
                                                    : NULL;
        }
        if (!host->reporters[i].dead) {
            slot = &host->reporters[i];
        }
    }
    if (host->reporter_count > 0 && !dead) {
        return NULL;
    }
    if (host->reporter_count < REPORTERS_MAX) {
        slot = &host->reporters[host->reporter_count];
        host->reporter_count++;
    }
    if (slot != NULL) {
        member_copy_name(slot->host, name);
        slot->dead = false;
    }
    return slot;
}

/*
 * One report makes a host suspect and two death reports make it dead.
 * Further reports are neither stored nor passed on.
 */
static void
apply_failure_report(membership_t *membership, int64_t now_us,
                     member_host_t *host, const gossip_t *update)
{
    bool dead = update->state == GOSSIP_DEAD;
    reporter_t *reporter;

    if (member_heard_recently(host, now_us) &&
        host->sequence > update->seqno) {
        /* A later heartbeat reached this host: refute the report. */
        gossip_enqueue(membership, host, "", host->sequence, GOSSIP_LIVE);
        return;
    }
    if (update->seqno < host->sequence || update->reported_by[0] == '\0' ||
        strcmp(update->reported_by, membership->host) == 0) {
        return;
    }
    reporter = find_report_slot(host, update->reported_by, dead);
    if (reporter == NULL) {
        return;
    }
    if (host->reported_us == 0) {
        host->reported_us = now_us;
    }
    reporter->dead = dead;
    if (update->seqno > host->reported_sequence) {
        host->reported_sequence = update->seqno;
    }
    membership->counters.gossip_applied++;
    gossip_enqueue(membership, host, reporter->host, update->seqno,
                   update->state);
}

static void
apply_live_update(membership_t *membership, int64_t now_us,
                  member_host_t *host, const gossip_t *update)
{
    bool changed = false;

    if (update->state == GOSSIP_LEAVING && !host->leaving) {
        host->leaving = true;
        changed = true;
    }
    if (update->seqno > host->sequence) {
        host->sequence = update->seqno;
        if (host->reporter_count > 0 &&
            update->seqno > host->reported_sequence) {
            member_clear_reports(host);
            changed = true;
        }
    }
    if (changed) {
        membership->counters.gossip_applied++;
        gossip_enqueue(membership, host, "", host->sequence,
                       host->leaving ? GOSSIP_LEAVING : GOSSIP_LIVE);
    }
}

/*
 * Finds or adds the host and updates its incarnation and addresses.  Returns
 * false if the update is of an older incarnation, or if the host is unknown
 * and leaving or without a peer address.
 */
static bool
find_or_add_host(membership_t *membership, int64_t now_us,
                 const gossip_t *update, member_host_t **found)
{
    member_host_t *host;
    bool known;

    host = member_lookup(membership, update->host);
    known = host != NULL;
    if (!known) {
        if (update->peer_address[0] == '\0' ||
            update->state == GOSSIP_LEAVING) {
            return false;
        }
        host = member_add(membership, now_us, update->host);
        host->incarnation = update->incarnation;
    }
    else if (update->incarnation < host->incarnation) {
        membership->counters.stale++;
        return false;
    }
    else if (update->incarnation > host->incarnation) {
        member_reset_incarnation(host, now_us, update->incarnation);
        known = false;
    }
    if (update->peer_address[0] != '\0') {
        member_copy_name(host->zone, update->zone);
        member_copy_name(host->address, update->address);
        member_copy_name(host->peer_address, update->peer_address);
    }
    if (!known && update->state == GOSSIP_LIVE) {
        host->sequence = update->seqno;
        membership->counters.gossip_applied++;
        gossip_enqueue(membership, host, "", host->sequence, GOSSIP_LIVE);
    }
    *found = host;
    return true;
}

void
gossip_receive(membership_t *membership, int64_t now_us,
               const gossip_t *update, action_list_t *actions)
{
    member_host_t *host = NULL;

    if (strcmp(update->host, membership->host) == 0 ||
        !find_or_add_host(membership, now_us, update, &host)) {
        return;
    }
    if (update->state == GOSSIP_SUSPECT || update->state == GOSSIP_DEAD) {
        apply_failure_report(membership, now_us, host, update);
    }
    else {
        apply_live_update(membership, now_us, host, update);
    }
}

static void
encode_item(const gossip_item_t *item, const member_host_t *host,
            gossip_t *update, arena_t *arena)
{
    bool is_report = item->reporter[0] != '\0';

    update->host = arena_strdup(arena, item->host);
    update->reported_by = arena_strdup(arena, item->reporter);
    update->zone = is_report ? "" : (char *)host->zone;
    update->address = is_report ? "" : (char *)host->address;
    update->peer_address = is_report ? "" : (char *)host->peer_address;
    update->incarnation = item->incarnation;
    update->seqno = item->sequence;
    update->state = item->state;
}

/*
 * Moves items from the head of the queue into a heartbeat for all successors.
 * An item that is to be sent again returns to the tail, behind new ones.
 */
void
gossip_fill_heartbeat(membership_t *membership, heartbeat_t *heartbeat,
                      arena_t *arena)
{
    gossip_t *list = arena_array(arena, LINK_GOSSIP_MAX, sizeof(*list));
    gossip_item_t *last = TAILQ_LAST(&membership->gossip, gossip_list);
    const member_host_t *host;
    uint32_t count = 0;
    gossip_item_t *item;
    bool is_last = last == NULL;

    while (!is_last && count < LINK_GOSSIP_MAX) {
        item = TAILQ_FIRST(&membership->gossip);
        is_last = item == last;
        TAILQ_REMOVE(&membership->gossip, item, entry);
        host = member_lookup(membership, item->host);
        if (host != NULL && host->incarnation == item->incarnation) {
            encode_item(item, host, &list[count], arena);
            count++;
            item->transmissions_left--;
        }
        else {
            item->transmissions_left = 0;
        }
        if (item->transmissions_left == 0) {
            free(item);
        }
        else {
            TAILQ_INSERT_TAIL(&membership->gossip, item, entry);
        }
    }
    heartbeat->gossip_data.gossip_data_len = count;
    heartbeat->gossip_data.gossip_data_val = list;
    membership->counters.gossip_sent += count;
}

void
gossip_free(membership_t *membership)
{
    gossip_item_t *item;

    while ((item = TAILQ_FIRST(&membership->gossip)) != NULL) {
        TAILQ_REMOVE(&membership->gossip, item, entry);
        free(item);
    }
}
