/* member_pick.c - which hosts are chosen for what. */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "policy/member_private.h"

typedef struct {
    uint64_t score;
    bool first; /* preferred, whatever the score */
    const member_host_t *host;
} choice_t;

static void view_of(const member_host_t *host, int64_t now_us,
                    member_view_t *view);
static void view_of_self(const member_t *member, int64_t now_us,
                         member_view_t *view);
static int by_name(const void *left, const void *right);
static int by_choice(const void *left, const void *right);
static uint64_t score_of(const char *host, uint64_t hash);
static void change_witness(const member_t *member, member_host_t *host,
                           int64_t now_us);
static bool follows(const member_host_t *host, int64_t now_us);

void
rings_hash(const char *host, uint64_t *hashes)
{
    size_t length = strlen(host);
    uint64_t ring;

    for (ring = 0; ring < MEMBER_RINGS; ring++) {
        hashes[ring] = XXH3_64bits_withSeed(host, length, ring);
    }
}

/* Whether a host has its place on the rings. */
static bool
follows(const member_host_t *host, int64_t now_us)
{
    return member_state(host, now_us) != MEMBER_DEAD;
}

size_t
rings_successors(const member_t *member, int64_t now_us, member_host_t **hosts)
{
    member_host_t *nearest;
    member_host_t *host;
    uint64_t distance;
    uint64_t least;
    size_t count = 0;
    size_t i;
    size_t ring;

    for (ring = 0; ring < MEMBER_RINGS; ring++) {
        nearest = NULL;
        least = UINT64_MAX;
        for (host = member_first(member); host != NULL;
             host = member_next(host)) {
            distance = host->ring_hashes[ring] - member->ring_hashes[ring];
            if (distance < least && follows(host, now_us)) {
                least = distance;
                nearest = host;
            }
        }
        for (i = 0; i < count && hosts[i] != nearest; i++) {
        }
        if (nearest != NULL && i == count) {
            hosts[count] = nearest;
            count++;
        }
    }
    return count;
}

/*
 * A host's state rests on its silence where it is expected, and on accusers
 * where it is not.  The state stays when one replaces the other.
 */
static void
change_witness(const member_t *member, member_host_t *host, int64_t now_us)
{
    int64_t silent_us;
    uint32_t i;

    host->expected = !host->expected;
    host->asked_us = 0;
    if (host->expected) {
        silent_us = host->announced == MEMBER_DEAD      ? MEMBER_DEAD_US
                    : host->announced == MEMBER_SUSPECT ? MEMBER_SUSPECT_US
                                                        : 0;
        host->basis_us = now_us - silent_us;
        return;
    }
    if (host->announced != MEMBER_DEAD) {
        return;
    }
    for (i = 0; i < ACCUSERS_MAX; i++) {
        member_copy_name(host->accusers[i].host, member->host);
        host->accusers[i].dead = true;
    }
    host->accuser_count = ACCUSERS_MAX;
}

/*
 * This host expects the heartbeats of all whose successor it is: those
 * between it and the nearest other host before it.  A dead host has no
 * place, but whoever would follow it goes on expecting it.
 */
void
rings_update(member_t *member, int64_t now_us)
{
    bool mesh = member->host_count < MEMBER_MESH_MAX;
    uint64_t reach[MEMBER_RINGS];
    uint64_t distance;
    member_host_t *host;
    bool expected;
    size_t ring;

    member->rings_changed = false;
    for (ring = 0; ring < MEMBER_RINGS; ring++) {
        reach[ring] = UINT64_MAX;
    }
    for (host = member_first(member); host != NULL; host = member_next(host)) {
        for (ring = 0; ring < MEMBER_RINGS; ring++) {
            distance = member->ring_hashes[ring] - host->ring_hashes[ring];
            if (distance < reach[ring] && follows(host, now_us)) {
                reach[ring] = distance;
            }
        }
    }
    for (host = member_first(member); host != NULL; host = member_next(host)) {
        expected = mesh;
        for (ring = 0; ring < MEMBER_RINGS; ring++) {
            distance = member->ring_hashes[ring] - host->ring_hashes[ring];
            expected = expected || distance <= reach[ring];
        }
        if (expected != host->expected) {
            change_witness(member, host, now_us);
        }
    }
}

static void
view_of(const member_host_t *host, int64_t now_us, member_view_t *view)
{
    view->host = host->host;
    view->zone = host->zone;
    view->address = host->address;
    view->peer_address = host->peer_address;
    view->state = member_state(host, now_us);
    view->self = false;
    view->listed = host->listed;
    view->incarnation = host->incarnation;
    view->heard_us = host->heard_us;
    view->sessions = host->sessions;
    view->config_revision = host->config_revision;
    view->config_hash = host->config_hash;
}

static void
view_of_self(const member_t *member, int64_t now_us, member_view_t *view)
{
    memset(view, 0, sizeof(*view));
    view->host = member->host;
    view->zone = member->zone;
    view->address = member->address;
    view->peer_address = member->peer_address;
    view->state = member->leaving ? MEMBER_LEAVING : MEMBER_LIVE;
    view->self = true;
    view->listed = member->listed;
    view->incarnation = member->incarnation;
    view->heard_us = now_us;
}

bool
member_find(const member_t *member, int64_t now_us, const char *host,
            member_view_t *view)
{
    member_host_t *found;

    if (strcmp(host, member->host) == 0) {
        view_of_self(member, now_us, view);
        return true;
    }
    found = member_lookup(member, host);
    if (found == NULL) {
        return false;
    }
    view_of(found, now_us, view);
    return true;
}

static int
by_name(const void *left, const void *right)
{
    return strcmp(((const member_view_t *)left)->host,
                  ((const member_view_t *)right)->host);
}

member_view_t *
member_list(const member_t *member, int64_t now_us, arena_t *arena,
            size_t *count)
{
    size_t total = member->host_count + 1;
    member_view_t *views = arena_array(arena, total, sizeof(*views));
    member_host_t *host;
    size_t used = 1;

    view_of_self(member, now_us, &views[0]);
    for (host = member_first(member); host != NULL; host = member_next(host)) {
        view_of(host, now_us, &views[used]);
        used++;
    }
    qsort(views, total, sizeof(*views), by_name);
    *count = total;
    return views;
}

size_t
member_live_count(const member_t *member, int64_t now_us)
{
    member_host_t *host;
    size_t count = 1;

    for (host = member_first(member); host != NULL; host = member_next(host)) {
        count += member_state(host, now_us) == MEMBER_LIVE ? 1 : 0;
    }
    return count;
}

/* Rendezvous hashing: the highest score has the duty. */
static uint64_t
score_of(const char *host, uint64_t hash)
{
    return XXH3_64bits_withSeed(host, strlen(host), hash);
}

/* Groups of equal preference, each in the order of its scores. */
member_view_t *
member_addresses(const member_t *member, int64_t now_us, uint64_t spread,
                 arena_t *arena, size_t *count)
{
    size_t total;
    member_view_t *all = member_list(member, now_us, arena, &total);
    member_view_t *chosen = arena_array(arena, total, sizeof(*chosen));
    uint64_t *ranks = arena_array(arena, total, sizeof(*ranks));
    uint64_t rank;
    size_t used = 0;
    size_t at;
    size_t i;

    for (i = 0; i < total; i++) {
        if (all[i].state == MEMBER_DEAD || all[i].state == MEMBER_LEAVING ||
            all[i].address[0] == '\0') {
            continue;
        }
        rank = score_of(all[i].host, spread) >> 2;
        rank |= all[i].state == MEMBER_LIVE ? (uint64_t)1 << 63 : 0;
        rank |= strcmp(all[i].zone, member->zone) == 0 ? (uint64_t)1 << 62 : 0;
        for (at = used; at > 0 && ranks[at - 1] < rank; at--) {
            ranks[at] = ranks[at - 1];
            chosen[at] = chosen[at - 1];
        }
        ranks[at] = rank;
        chosen[at] = all[i];
        used++;
    }
    *count = used;
    return chosen;
}

static int
by_choice(const void *left, const void *right)
{
    const choice_t *a = left;
    const choice_t *b = right;

    if (a->first != b->first) {
        return a->first ? -1 : 1;
    }
    if (a->score != b->score) {
        return a->score > b->score ? -1 : 1;
    }
    return strcmp(a->host->host, b->host->host);
}

size_t
member_keepers(const member_t *member, int64_t now_us, uint64_t hash,
               const char *zone, const char **hosts, size_t count)
{
    choice_t *choices = xcalloc(member->host_count + 1, sizeof(*choices));
    member_host_t *host;
    size_t total = 0;
    size_t i;

    for (host = member_first(member); host != NULL; host = member_next(host)) {
        if (member_state(host, now_us) == MEMBER_LIVE) {
            choices[total].host = host;
            choices[total].score = score_of(host->host, hash);
            choices[total].first = strcmp(host->zone, zone) != 0;
            total++;
        }
    }
    qsort(choices, total, sizeof(*choices), by_choice);
    for (i = 0; i < total && i < count; i++) {
        hosts[i] = choices[i].host->host;
    }
    free(choices);
    return i;
}

size_t
member_neighbours(const member_t *member, int64_t now_us, const char **hosts,
                  size_t count)
{
    member_host_t *successors[MEMBER_RINGS];
    size_t total = rings_successors(member, now_us, successors);
    size_t i;

    for (i = 0; i < total && i < count; i++) {
        hosts[i] = successors[i]->host;
    }
    return i;
}
