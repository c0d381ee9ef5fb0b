/* member_news.c - what hosts say of third hosts, and how it travels. */
#include <stdlib.h>
#include <string.h>

#include "policy/member_private.h"

enum { NEWS_QUEUE_MAX = 4096 };

static accuser_t *find_accuser(member_host_t *host, const char *name,
                               bool dead);
static void take_accusation(member_t *member, int64_t now_us,
                            member_host_t *host, const news_t *news);
static void take_presence(member_t *member, int64_t now_us,
                          member_host_t *host, const news_t *news);
static void put_item(const news_item_t *item, const member_host_t *host,
                     news_t *news, arena_t *arena);
static bool learn(member_t *member, int64_t now_us, const news_t *news,
                  member_host_t **found);

/* Queues an item; an older one on the same matter gives way to it. */
void
news_say(member_t *member, const member_host_t *host, const char *accuser,
         uint64_t beat, news_state_t state)
{
    news_item_t *item;
    news_item_t *next;
    uint32_t count = 0;

    for (item = TAILQ_FIRST(&member->news); item != NULL; item = next) {
        next = TAILQ_NEXT(item, entry);
        count++;
        if (strcmp(item->host, host->host) == 0 &&
            (strcmp(item->accuser, accuser) == 0 ||
             item->incarnation < host->incarnation)) {
            TAILQ_REMOVE(&member->news, item, entry);
            free(item);
            count--;
        }
    }
    if (count >= NEWS_QUEUE_MAX) {
        item = TAILQ_FIRST(&member->news);
        TAILQ_REMOVE(&member->news, item, entry);
        free(item);
    }
    item = xcalloc(1, sizeof(*item));
    member_copy_name(item->host, host->host);
    member_copy_name(item->accuser, accuser);
    item->incarnation = host->incarnation;
    item->beat = beat;
    item->state = state;
    item->rounds_left = NEWS_ROUNDS;
    TAILQ_INSERT_TAIL(&member->news, item, entry);
}

/* The place for an accusation, or NULL where it would add nothing. */
static accuser_t *
find_accuser(member_host_t *host, const char *name, bool dead)
{
    accuser_t *place = NULL;
    uint32_t i;

    for (i = 0; i < host->accuser_count; i++) {
        if (strcmp(host->accusers[i].host, name) == 0) {
            return dead && !host->accusers[i].dead ? &host->accusers[i] : NULL;
        }
        if (!host->accusers[i].dead) {
            place = &host->accusers[i];
        }
    }
    if (host->accuser_count > 0 && !dead) {
        return NULL;
    }
    if (host->accuser_count < ACCUSERS_MAX) {
        place = &host->accusers[host->accuser_count];
        host->accuser_count++;
    }
    if (place != NULL) {
        member_copy_name(place->host, name);
        place->dead = false;
    }
    return place;
}

/* One accuser makes a suspect and two a dead host: more add nothing. */
static void
take_accusation(member_t *member, int64_t now_us, member_host_t *host,
                const news_t *news)
{
    bool dead = news->state == NEWS_DEAD;
    accuser_t *accuser;

    if (member_heard_lately(host, now_us) && host->beat > news->beat) {
        /* It has been heard here since. */
        news_say(member, host, "", host->beat, NEWS_LIVE);
        return;
    }
    if (news->beat < host->beat || news->accuser[0] == '\0' ||
        strcmp(news->accuser, member->host) == 0) {
        return;
    }
    accuser = find_accuser(host, news->accuser, dead);
    if (accuser == NULL) {
        return;
    }
    if (host->accused_us == 0) {
        host->accused_us = now_us;
    }
    accuser->dead = dead;
    if (news->beat > host->accused_beat) {
        host->accused_beat = news->beat;
    }
    member->counters.news_taken++;
    news_say(member, host, accuser->host, news->beat, news->state);
}

static void
take_presence(member_t *member, int64_t now_us, member_host_t *host,
              const news_t *news)
{
    bool changed = false;

    if (news->state == NEWS_LEAVING && !host->leaving) {
        host->leaving = true;
        changed = true;
    }
    if (news->beat > host->beat) {
        host->beat = news->beat;
        if (host->accuser_count > 0 && news->beat > host->accused_beat) {
            member_acquit(host);
            changed = true;
        }
    }
    if (changed) {
        member->counters.news_taken++;
        news_say(member, host, "", host->beat,
                 host->leaving ? NEWS_LEAVING : NEWS_LIVE);
    }
}

/* Finds the host; false when the news is of an older incarnation. */
static bool
learn(member_t *member, int64_t now_us, const news_t *news,
      member_host_t **found)
{
    member_host_t *host;
    bool known;

    host = member_lookup(member, news->host);
    known = host != NULL;
    if (!known) {
        if (news->peer_address[0] == '\0' || news->state == NEWS_LEAVING) {
            return false;
        }
        host = member_add(member, now_us, news->host);
        host->incarnation = news->incarnation;
    }
    else if (news->incarnation < host->incarnation) {
        member->counters.stale++;
        return false;
    }
    else if (news->incarnation > host->incarnation) {
        member_revive(host, now_us, news->incarnation);
        known = false;
    }
    if (news->peer_address[0] != '\0') {
        member_copy_name(host->zone, news->zone);
        member_copy_name(host->address, news->address);
        member_copy_name(host->peer_address, news->peer_address);
    }
    if (!known && news->state == NEWS_LIVE) {
        host->beat = news->beat;
        member->counters.news_taken++;
        news_say(member, host, "", host->beat, NEWS_LIVE);
    }
    *found = host;
    return true;
}

void
news_take(member_t *member, int64_t now_us, const news_t *news,
          order_list_t *orders)
{
    member_host_t *host = NULL;

    if (strcmp(news->host, member->host) == 0 ||
        !learn(member, now_us, news, &host)) {
        return;
    }
    if (news->state == NEWS_SUSPECT || news->state == NEWS_DEAD) {
        take_accusation(member, now_us, host, news);
    }
    else {
        take_presence(member, now_us, host, news);
    }
}

static void
put_item(const news_item_t *item, const member_host_t *host, news_t *news,
         arena_t *arena)
{
    bool brief = item->accuser[0] != '\0';

    news->host = arena_strdup(arena, item->host);
    news->accuser = arena_strdup(arena, item->accuser);
    news->zone = brief ? "" : (char *)host->zone;
    news->address = brief ? "" : (char *)host->address;
    news->peer_address = brief ? "" : (char *)host->peer_address;
    news->incarnation = item->incarnation;
    news->beat = item->beat;
    news->state = item->state;
}

/*
 * Puts items into a heartbeat that goes to all successors: those that have
 * not been sent yet before those that go out once more.
 */
void
news_fill(member_t *member, heartbeat_t *heartbeat, arena_t *arena)
{
    news_t *list = arena_array(arena, LINK_NEWS_MAX, sizeof(*list));
    news_item_t *last = TAILQ_LAST(&member->news, news_list);
    const member_host_t *host;
    uint32_t count = 0;
    news_item_t *item;
    bool is_last = last == NULL;

    while (!is_last && count < LINK_NEWS_MAX) {
        item = TAILQ_FIRST(&member->news);
        is_last = item == last;
        TAILQ_REMOVE(&member->news, item, entry);
        host = member_lookup(member, item->host);
        if (host != NULL && host->incarnation == item->incarnation) {
            put_item(item, host, &list[count], arena);
            count++;
            item->rounds_left--;
        }
        else {
            item->rounds_left = 0;
        }
        if (item->rounds_left == 0) {
            free(item);
        }
        else {
            TAILQ_INSERT_TAIL(&member->news, item, entry);
        }
    }
    heartbeat->news.news_len = count;
    heartbeat->news.news_val = list;
    member->counters.news_sent += count;
}

void
news_free(member_t *member)
{
    news_item_t *item;

    while ((item = TAILQ_FIRST(&member->news)) != NULL) {
        TAILQ_REMOVE(&member->news, item, entry);
        free(item);
    }
}
