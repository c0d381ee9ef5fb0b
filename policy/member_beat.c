/* member_beat.c - the heartbeats that this host sends, and to whom. */
#include <string.h>

#include "policy/member_private.h"

/* A host that only others accuse is asked itself after this time. */
enum { DOUBT_US = 10000000 };

static heartbeat_t make_heartbeat(member_t *member, const member_self_t *self);
static void tell(member_t *member, const member_host_t *host,
                 const heartbeat_t *heartbeat, bool answer,
                 order_list_t *orders);
static bool must_ask(const member_host_t *host, int64_t now_us);
static bool is_for_turn(const member_host_t *host, bool dead);
static member_host_t *in_turn(member_t *member, bool dead, uint32_t turn);
static void ask(member_t *member, int64_t now_us, member_host_t *host,
                const heartbeat_t *heartbeat, order_list_t *orders);
static void probe(member_t *member, int64_t now_us,
                  const heartbeat_t *heartbeat, order_list_t *orders);
static void beat(member_t *member, int64_t now_us, const member_self_t *self,
                 order_list_t *orders);

static heartbeat_t
make_heartbeat(member_t *member, const member_self_t *self)
{
    heartbeat_t heartbeat;

    memset(&heartbeat, 0, sizeof(heartbeat));
    heartbeat.incarnation = member->incarnation;
    heartbeat.beat = member->beat;
    heartbeat.leaving = member->leaving;
    heartbeat.sessions = self->sessions;
    heartbeat.config_revision = self->config_revision;
    heartbeat.config_hash = self->config_hash;
    heartbeat.zone = member->zone;
    heartbeat.address = member->address;
    heartbeat.peer_address = member->peer_address;
    return heartbeat;
}

static void
tell(member_t *member, const member_host_t *host, const heartbeat_t *heartbeat,
     bool answer, order_list_t *orders)
{
    order_t *order = orders_add(orders, ORDER_TELL);
    tell_order_t *telling = &order->order_t_u.tell;

    telling->host = arena_strdup(&orders->arena, host->host);
    telling->message.kind = MESSAGE_HEARTBEAT;
    telling->message.message_t_u.heartbeat = *heartbeat;
    telling->message.message_t_u.heartbeat.answer = answer;
    member->counters.heartbeats_sent++;
}

void
beat_answer(member_t *member, const member_host_t *host,
            const member_self_t *self, order_list_t *orders)
{
    heartbeat_t heartbeat = make_heartbeat(member, self);

    tell(member, host, &heartbeat, false, orders);
}

/* Whether this host has a reason of its own to ask the other now. */
static bool
must_ask(const member_host_t *host, int64_t now_us)
{
    if (host->announced == MEMBER_DEAD) {
        return false;
    }
    if (host->expected) {
        return now_us - host->basis_us >= MEMBER_PROBE_US;
    }
    return host->asked_us != 0 ||
           (host->accuser_count > 0 && now_us - host->accused_us >= DOUBT_US);
}

static bool
is_for_turn(const member_host_t *host, bool dead)
{
    bool is_dead = host->announced == MEMBER_DEAD;

    return dead ? is_dead : !is_dead && !host->expected;
}

/* The turn-th host of those that are dead, or of those not heard here. */
static member_host_t *
in_turn(member_t *member, bool dead, uint32_t turn)
{
    member_host_t *host;
    uint32_t count = 0;
    uint32_t left;

    for (host = member_first(member); host != NULL; host = member_next(host)) {
        count += is_for_turn(host, dead) ? 1 : 0;
    }
    if (count == 0) {
        return NULL;
    }
    left = turn % count;
    for (host = member_first(member); host != NULL; host = member_next(host)) {
        if (is_for_turn(host, dead) && left-- == 0) {
            break;
        }
    }
    return host;
}

static void
ask(member_t *member, int64_t now_us, member_host_t *host,
    const heartbeat_t *heartbeat, order_list_t *orders)
{
    if (host->asked_us == 0 && !host->expected) {
        host->asked_us = now_us;
    }
    member->counters.probes++;
    tell(member, host, heartbeat, true, orders);
}

/*
 * Asks the silent ones whether they are there, and two others in turn:
 * a dead one, because a partition that ends must be noticed, and at every
 * second beat one that is known by news only, because news can be lost.
 */
static void
probe(member_t *member, int64_t now_us, const heartbeat_t *heartbeat,
      order_list_t *orders)
{
    member_host_t *host;

    for (host = member_first(member); host != NULL; host = member_next(host)) {
        if (must_ask(host, now_us)) {
            ask(member, now_us, host, heartbeat, orders);
        }
    }
    member->turn++;
    host = in_turn(member, true, member->turn);
    if (host != NULL) {
        ask(member, now_us, host, heartbeat, orders);
    }
    host = in_turn(member, false, member->turn / 2);
    if (host != NULL && member->turn % 2 == 0 && host->asked_us == 0) {
        ask(member, now_us, host, heartbeat, orders);
    }
}

static void
beat(member_t *member, int64_t now_us, const member_self_t *self,
     order_list_t *orders)
{
    heartbeat_t heartbeat;
    member_host_t *successors[MEMBER_RINGS];
    member_host_t *host;
    size_t count;
    size_t i;

    member->beat++;
    heartbeat = make_heartbeat(member, self);
    news_fill(member, &heartbeat, &orders->arena);
    if (member->host_count < MEMBER_MESH_MAX) {
        for (host = member_first(member); host != NULL;
             host = member_next(host)) {
            tell(member, host, &heartbeat,
                 now_us - host->basis_us >= MEMBER_PROBE_US, orders);
        }
        return;
    }
    count = rings_successors(member, now_us, successors);
    for (i = 0; i < count; i++) {
        tell(member, successors[i], &heartbeat, false, orders);
    }
    probe(member, now_us, &heartbeat, orders);
}

void
member_timer(member_t *member, int64_t now_us, const member_self_t *self,
             order_list_t *orders)
{
    member_step(member, now_us);
    member_forget(member, now_us);
    member_watch(member, now_us, orders);
    if (now_us < member->next_beat_us) {
        return;
    }
    beat(member, now_us, self, orders);
    member->next_beat_us += MEMBER_BEAT_US;
    if (member->next_beat_us <= now_us) {
        member->next_beat_us = now_us + MEMBER_BEAT_US;
    }
}

int64_t
member_due_us(const member_t *member)
{
    return member->next_beat_us;
}

void
member_ask_all(member_t *member, int64_t now_us, const member_self_t *self,
               order_list_t *orders)
{
    heartbeat_t heartbeat;
    member_host_t *host;

    member_step(member, now_us);
    heartbeat = make_heartbeat(member, self);
    for (host = member_first(member); host != NULL; host = member_next(host)) {
        if (member_state(host, now_us) != MEMBER_DEAD) {
            tell(member, host, &heartbeat, true, orders);
        }
    }
}

void
member_leave(member_t *member, int64_t now_us, const member_self_t *self,
             order_list_t *orders)
{
    heartbeat_t heartbeat;
    member_host_t *host;

    member_step(member, now_us);
    member->leaving = true;
    member->beat++;
    heartbeat = make_heartbeat(member, self);
    for (host = member_first(member); host != NULL; host = member_next(host)) {
        tell(member, host, &heartbeat, false, orders);
    }
}
