/* member_news.c - what hosts say of third hosts, and how it travels. */
#include <stdlib.h>
#include <string.h>

#include "policy/member_private.h"

enum { NEWS_QUEUE_MAX = 4096 };

static void take_accusation(member_t *member, int64_t now_us,
                            member_host_t *host, const news_t *news);
static void take_presence(member_t *member, int64_t now_us,
                          member_host_t *host, const news_t *news);
static bool learn(member_t *member, int64_t now_us, const news_t *news,
                  member_host_t **found);

/* Queues an item; an older one on the same matter gives way to it. */
void
news_say(member_t *member, const member_host_t *host, const char *accuser,
         news_state_t state)
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
    item->beat = host->beat;
    item->state = state;
    item->rounds_left = NEWS_ROUNDS;
    TAILQ_INSERT_TAIL(&member->news, item, entry);
}

/* Two accusers are enough; more would only be told the same. */
static void
take_accusation(member_t *member, int64_t now_us, member_host_t *host,
                const news_t *news)
{
    bool dead = news->state == NEWS_DEAD;
    accuser_t *accuser = NULL;
    uint32_t i;

    if (host->expected && now_us - host->basis_us < MEMBER_PROBE_US &&
        host->beat > news->beat) {
        /* It has been heard here since. */
        news_say(member, host, "", NEWS_LIVE);
        return;
    }
    if (news->beat < host->beat || news->accuser[0] == '\0' ||
        strcmp(news->accuser, member->host) == 0) {
        return;
    }
    for (i = 0; i < host->accuser_count; i++) {
        if (strcmp(host->accusers[i].host, news->accuser) == 0) {
            accuser = &host->accusers[i];
        }
    }
    if (accuser == NULL) {
        if (host->accuser_count == ACCUSERS_MAX) {
            return;
        }
        accuser = &host->accusers[host->accuser_count];
        host->accuser_count++;
        member_copy_name(accuser->host, news->accuser);
        accuser->dead = false;
    }
    else if (accuser->dead || !dead) {
        return;
    }
    accuser->dead = dead;
    host->beat = news->beat;
    member->counters.news_taken++;
    news_say(member, host, accuser->host, news->state);
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
        if (host->accuser_count > 0) {
            host->accuser_count = 0;
            changed = true;
        }
    }
    if (changed) {
        member->counters.news_taken++;
        news_say(member, host, "", host->leaving ? NEWS_LEAVING : NEWS_LIVE);
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
        news_say(member, host, "", NEWS_LIVE);
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

/* Puts the oldest items into a heartbeat that goes to all successors. */
void
news_fill(member_t *member, heartbeat_t *heartbeat, arena_t *arena)
{
    news_t *list = arena_array(arena, LINK_NEWS_MAX, sizeof(*list));
    uint32_t count = 0;
    member_host_t *host;
    news_item_t *item;
    news_item_t *next;
    news_t *news;

    for (item = TAILQ_FIRST(&member->news);
         item != NULL && count < LINK_NEWS_MAX; item = next) {
        next = TAILQ_NEXT(item, entry);
        host = member_lookup(member, item->host);
        if (host != NULL && host->incarnation == item->incarnation) {
            bool brief = item->accuser[0] != '\0';

            news = &list[count];
            count++;
            news->host = arena_strdup(arena, item->host);
            news->accuser = arena_strdup(arena, item->accuser);
            news->zone = brief ? "" : host->zone;
            news->address = brief ? "" : host->address;
            news->peer_address = brief ? "" : host->peer_address;
            news->incarnation = item->incarnation;
            news->beat = item->beat;
            news->state = item->state;
            item->rounds_left--;
        }
        else {
            item->rounds_left = 0;
        }
        if (item->rounds_left == 0) {
            TAILQ_REMOVE(&member->news, item, entry);
            free(item);
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
