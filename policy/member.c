/* member.c - see member.h. */
#include <stdlib.h>
#include <string.h>

#include "policy/member_private.h"

enum { PAUSE_US = 1000000, TURNS = 65536 };

RB_GENERATE(host_tree, member_host, entry, member_compare)

static bool is_silent(const member_host_t *host, int64_t now_us,
                      int64_t limit_us);
static void say_state(member_t *member, const member_host_t *host,
                      int64_t now_us, member_state_t state);
static void announce(member_t *member, member_host_t *host, int64_t now_us,
                     member_state_t state, order_list_t *orders);
static void take_entry(member_t *member, int64_t now_us,
                       const host_entry_t *entry);

int
member_compare(const member_host_t *left, const member_host_t *right)
{
    return strcmp(left->name, right->name);
}

member_host_t *
member_lookup(const member_t *member, const char *name)
{
    member_host_t key;

    key.name = name;
    return RB_FIND(host_tree, (struct host_tree *)&member->hosts, &key);
}

bool
member_heard_lately(const member_host_t *host, int64_t now_us)
{
    return host->heard_us >= 0 && now_us - host->heard_us < MEMBER_PROBE_US;
}

void
member_acquit(member_host_t *host)
{
    host->accuser_count = 0;
    host->accused_us = 0;
    host->accused_beat = 0;
}

void
member_copy_name(char *to, const char *from)
{
    size_t length = strnlen(from, LINK_NAME_MAX);

    memcpy(to, from, length);
    to[length] = '\0';
}

member_t *
member_new(int64_t now_us, const start_event_t *start)
{
    member_t *member = xcalloc(1, sizeof(*member));

    member_copy_name(member->host, start->host);
    member_copy_name(member->zone, start->zone);
    member_copy_name(member->address, start->address);
    member->incarnation = start->incarnation;
    member->stepped_us = now_us;
    member->next_beat_us = now_us;
    rings_hash(member->host, member->ring_hashes);
    /* Hosts that start together do not all ask the same one at once. */
    member->turn = (uint32_t)(member->ring_hashes[0] % TURNS);
    RB_INIT(&member->hosts);
    TAILQ_INIT(&member->news);
    return member;
}

void
member_free(member_t *member)
{
    member_host_t *host;
    member_host_t *next;

    RB_FOREACH_SAFE(host, host_tree, &member->hosts, next)
    {
        RB_REMOVE(host_tree, &member->hosts, host);
        free(host);
    }
    news_free(member);
    free(member);
}

/* Whether the host is silent, as far as it was to be heard here. */
static bool
is_silent(const member_host_t *host, int64_t now_us, int64_t limit_us)
{
    if (host->expected) {
        return now_us - host->basis_us >= limit_us;
    }
    return host->asked_us != 0 && now_us - host->asked_us >= limit_us;
}

/* The state that the evidence gives. */
member_state_t
member_state(const member_host_t *host, int64_t now_us)
{
    uint32_t accusers = host->expected ? 0 : host->accuser_count;
    uint32_t say_dead = 0;
    uint32_t i;

    for (i = 0; i < accusers; i++) {
        say_dead += host->accusers[i].dead ? 1 : 0;
    }
    if (say_dead >= ACCUSERS_MAX || is_silent(host, now_us, MEMBER_DEAD_US)) {
        return MEMBER_DEAD;
    }
    if (host->leaving) {
        return MEMBER_LEAVING;
    }
    if (accusers > 0 || is_silent(host, now_us, MEMBER_SUSPECT_US)) {
        return MEMBER_SUSPECT;
    }
    return MEMBER_LIVE;
}

member_host_t *
member_first(const member_t *member)
{
    return RB_MIN(host_tree, (struct host_tree *)&member->hosts);
}

member_host_t *
member_next(member_host_t *host)
{
    return RB_NEXT(host_tree, NULL, host);
}

member_host_t *
member_add(member_t *member, int64_t now_us, const char *name)
{
    member_host_t *host = xcalloc(1, sizeof(*host));

    member_copy_name(host->host, name);
    rings_hash(host->host, host->ring_hashes);
    host->basis_us = now_us;
    host->heard_us = -1;
    host->name = host->host;
    RB_INSERT(host_tree, &member->hosts, host);
    member->host_count++;
    member->rings_changed = true;
    return host;
}

/* A higher incarnation is a new life; nothing of the former one holds. */
void
member_revive(member_host_t *host, int64_t now_us, uint64_t incarnation)
{
    host->incarnation = incarnation;
    host->beat = 0;
    host->leaving = false;
    member_acquit(host);
    host->asked_us = 0;
    host->basis_us = now_us;
}

/*
 * Notices when this host itself stood still: the others' silence meanwhile
 * is no evidence against them.
 */
void
member_step(member_t *member, int64_t now_us)
{
    int64_t gap_us = now_us - member->stepped_us;
    member_host_t *host;

    if (gap_us > PAUSE_US) {
        member->counters.pauses++;
        for (host = member_first(member); host != NULL;
             host = member_next(host)) {
            host->basis_us += gap_us;
            host->asked_us += host->asked_us == 0 ? 0 : gap_us;
        }
    }
    member->stepped_us = now_us;
    if (member->rings_changed) {
        rings_update(member, now_us);
    }
}

/* Tells others of what this host has seen, or not seen, for itself. */
static void
say_state(member_t *member, const member_host_t *host, int64_t now_us,
          member_state_t state)
{
    if (state == MEMBER_LIVE) {
        if (member_heard_lately(host, now_us)) {
            news_say(member, host, "", host->beat, NEWS_LIVE);
        }
        return;
    }
    if (state != MEMBER_LEAVING && (host->expected || host->asked_us != 0)) {
        news_say(member, host, member->host, host->beat,
                 state == MEMBER_DEAD ? NEWS_DEAD : NEWS_SUSPECT);
    }
}

static void
announce(member_t *member, member_host_t *host, int64_t now_us,
         member_state_t state, order_list_t *orders)
{
    static const char *const names[] = {"live", "suspect", "dead", "leaving"};
    bool was_dead = host->announced == MEMBER_DEAD;

    host->announced = state;
    if (was_dead != (state == MEMBER_DEAD)) {
        member->rings_changed = true;
    }
    switch (state) {
    case MEMBER_SUSPECT:
        member->counters.suspected++;
        break;
    case MEMBER_DEAD:
        member->counters.died++;
        host->dead_us = now_us;
        break;
    default:
        member->counters.revived++;
        break;
    }
    say_state(member, host, now_us, state);
    orders_log(orders, 6, "host host=%s state=%s incarnation=%llu", host->host,
               names[state], (unsigned long long)host->incarnation);
}

/* Sees which hosts have changed their state since the last look. */
void
member_watch(member_t *member, int64_t now_us, order_list_t *orders)
{
    member_host_t *host;
    member_state_t state;

    for (host = member_first(member); host != NULL; host = member_next(host)) {
        state = member_state(host, now_us);
        if (state != host->announced) {
            announce(member, host, now_us, state, orders);
        }
    }
    if (member->rings_changed) {
        rings_update(member, now_us);
    }
}

void
member_forget(member_t *member, int64_t now_us)
{
    member_host_t *host;
    member_host_t *next;

    RB_FOREACH_SAFE(host, host_tree, &member->hosts, next)
    {
        if (host->announced == MEMBER_DEAD && !host->listed &&
            now_us - host->dead_us >= MEMBER_FORGET_US) {
            RB_REMOVE(host_tree, &member->hosts, host);
            free(host);
            member->host_count--;
            member->rings_changed = true;
        }
    }
}

static void
take_entry(member_t *member, int64_t now_us, const host_entry_t *entry)
{
    member_host_t *host;

    if (strcmp(entry->host, member->host) == 0) {
        member_copy_name(member->peer_address, entry->peer_address);
        member->listed = true;
        if (entry->leaving && (entry->incarnation == member->incarnation ||
                               entry->incarnation == 0)) {
            member->leaving = true;
        }
        return;
    }
    host = member_lookup(member, entry->host);
    if (host == NULL) {
        if (entry->peer_address[0] == '\0') {
            /* The platform lists hosts that are none of ours, too. */
            return;
        }
        host = member_add(member, now_us, entry->host);
        host->incarnation = entry->incarnation;
    }
    host->listed = true;
    if (entry->incarnation != 0 && entry->incarnation < host->incarnation) {
        return;
    }
    if (entry->incarnation > host->incarnation) {
        member_revive(host, now_us, entry->incarnation);
    }
    if (entry->peer_address[0] != '\0') {
        member_copy_name(host->zone, entry->zone);
        member_copy_name(host->address, entry->address);
        member_copy_name(host->peer_address, entry->peer_address);
    }
    host->leaving = host->leaving || entry->leaving;
}

void
member_hosts(member_t *member, int64_t now_us, const hosts_event_t *hosts,
             order_list_t *orders)
{
    member_host_t *host;
    u_int i;

    member_step(member, now_us);
    member->listed = false;
    for (host = member_first(member); host != NULL; host = member_next(host)) {
        host->listed = false;
    }
    for (i = 0; i < hosts->hosts.hosts_len; i++) {
        take_entry(member, now_us, &hosts->hosts.hosts_val[i]);
    }
    member_watch(member, now_us, orders);
}

void
member_heartbeat(member_t *member, int64_t now_us, const char *from,
                 const heartbeat_t *heartbeat, const member_self_t *self,
                 order_list_t *orders)
{
    member_host_t *host;
    u_int i;

    member_step(member, now_us);
    if (strcmp(from, member->host) == 0) {
        return;
    }
    host = member_lookup(member, from);
    if (host == NULL) {
        host = member_add(member, now_us, from);
        host->incarnation = heartbeat->incarnation;
    }
    if (heartbeat->incarnation < host->incarnation) {
        member->counters.stale++;
        return;
    }
    member->counters.heartbeats_received++;
    if (heartbeat->incarnation > host->incarnation) {
        member_revive(host, now_us, heartbeat->incarnation);
    }
    if (heartbeat->beat >= host->beat) {
        host->beat = heartbeat->beat;
        if (host->accuser_count > 0 && heartbeat->beat > host->accused_beat) {
            news_say(member, host, "", host->beat, NEWS_LIVE);
        }
        member_acquit(host);
        host->sessions = heartbeat->sessions;
        host->config_revision = heartbeat->config_revision;
        host->config_hash = heartbeat->config_hash;
        host->heard_us = now_us;
        host->asked_us = 0;
        host->basis_us = now_us;
    }
    if (heartbeat->peer_address[0] != '\0') {
        member_copy_name(host->peer_address, heartbeat->peer_address);
    }
    if (heartbeat->address[0] != '\0') {
        member_copy_name(host->zone, heartbeat->zone);
        member_copy_name(host->address, heartbeat->address);
    }
    if (heartbeat->leaving && !host->leaving) {
        host->leaving = true;
        news_say(member, host, "", host->beat, NEWS_LEAVING);
    }
    for (i = 0; i < heartbeat->news.news_len; i++) {
        news_take(member, now_us, &heartbeat->news.news_val[i], orders);
    }
    member_watch(member, now_us, orders);
    if (heartbeat->answer) {
        beat_answer(member, host, self, orders);
    }
}

const member_counters_t *
member_counters(const member_t *member)
{
    return &member->counters;
}
