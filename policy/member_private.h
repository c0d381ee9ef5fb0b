/*
 * member_private.h - what the files of membership share.
 *
 * member.c takes the events, member_beat.c sends the heartbeats,
 * member_news.c has what is said of third hosts, member_pick.c chooses.
 */
#ifndef POLICY_MEMBER_PRIVATE_H
#define POLICY_MEMBER_PRIVATE_H

#include <sys/queue.h>
#include <bsd/sys/tree.h>

#include "policy/member.h"

enum { ACCUSERS_MAX = 2, NEWS_ROUNDS = 2 };

typedef struct {
    char host[LINK_NAME_MAX + 1];
    bool dead; /* it says so, and not only suspect */
} accuser_t;

/* An item of news that still has to travel. */
typedef struct news_item {
    char host[LINK_NAME_MAX + 1];
    char accuser[LINK_NAME_MAX + 1];
    uint64_t incarnation;
    uint64_t beat;
    news_state_t state;
    uint32_t rounds_left;
    TAILQ_ENTRY(news_item) entry;
} news_item_t;
TAILQ_HEAD(news_list, news_item);

/* Another host. */
typedef struct member_host {
    const char *name; /* its host below */
    char host[LINK_NAME_MAX + 1];
    char zone[LINK_NAME_MAX + 1];
    char address[LINK_NAME_MAX + 1];
    char peer_address[LINK_NAME_MAX + 1];
    uint64_t ring_hashes[MEMBER_RINGS];
    uint64_t incarnation;
    uint64_t beat; /* the highest that it was surely live at */
    bool leaving;
    bool listed;
    bool expected;    /* its heartbeats come here */
    int64_t basis_us; /* silence is counted from here */
    int64_t heard_us;
    member_state_t announced;
    int64_t dead_us;       /* since when announced is dead */
    uint64_t accused_beat; /* the highest that an accuser had heard */
    int64_t accused_us;    /* since when it has an accuser; 0: none */
    int64_t asked_us;      /* since when it owes an answer; 0: it does not */
    accuser_t accusers[ACCUSERS_MAX];
    uint32_t accuser_count;
    uint32_t sessions;
    int64_t config_revision;
    uint64_t config_hash;
    RB_ENTRY(member_host) entry;
} member_host_t;
int member_compare(const member_host_t *left, const member_host_t *right);
RB_HEAD(host_tree, member_host);
RB_PROTOTYPE(host_tree, member_host, entry, member_compare)

struct member {
    char host[LINK_NAME_MAX + 1];
    char zone[LINK_NAME_MAX + 1];
    char address[LINK_NAME_MAX + 1];
    char peer_address[LINK_NAME_MAX + 1];
    uint64_t ring_hashes[MEMBER_RINGS];
    uint64_t incarnation;
    uint64_t beat;
    bool leaving;
    bool listed;
    int64_t stepped_us;
    int64_t next_beat_us;
    uint32_t turn; /* of those that are asked in turn */
    bool rings_changed;
    struct host_tree hosts; /* by name */
    uint32_t host_count;
    struct news_list news;
    member_counters_t counters;
};

/* member.c */
member_state_t member_state(const member_host_t *host, int64_t now_us);
member_host_t *member_first(const member_t *member);
member_host_t *member_next(member_host_t *host);
member_host_t *member_lookup(const member_t *member, const char *name);
member_host_t *member_add(member_t *member, int64_t now_us, const char *name);
void member_revive(member_host_t *host, int64_t now_us, uint64_t incarnation);
bool member_heard_lately(const member_host_t *host, int64_t now_us);
/* No accusation holds any more. */
void member_acquit(member_host_t *host);
void member_copy_name(char *to, const char *from);

/* Notices when this host itself stood still. */
void member_step(member_t *member, int64_t now_us);
/* Sees which hosts have changed their state since the last look. */
void member_watch(member_t *member, int64_t now_us, order_list_t *orders);
void member_forget(member_t *member, int64_t now_us);

/* member_beat.c */
void beat_answer(member_t *member, const member_host_t *host,
                 const member_self_t *self, order_list_t *orders);

/* member_news.c */
void news_say(member_t *member, const member_host_t *host, const char *accuser,
              uint64_t beat, news_state_t state);
void news_take(member_t *member, int64_t now_us, const news_t *news,
               order_list_t *orders);
void news_fill(member_t *member, heartbeat_t *heartbeat, arena_t *arena);
void news_free(member_t *member);

/* member_pick.c */
void rings_hash(const char *host, uint64_t *hashes);
/* Who expects whom; to be called when a host came, went or died. */
void rings_update(member_t *member, int64_t now_us);
/* The distinct hosts that follow this one on the rings. */
size_t rings_successors(const member_t *member, int64_t now_us,
                        member_host_t **hosts);

#endif
