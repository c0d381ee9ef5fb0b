/* member_select.c - the heartbeat rings, and selection of hosts. */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "policy/member_private.h"

typedef struct {
    uint64_t score;
    bool preferred; /* before all others, whatever the score */
    const member_host_t *host;
} candidate_t;

static void fill_view(const member_host_t *host, int64_t now_us,
                      member_view_t *view);
static void fill_self_view(const membership_t *membership, int64_t now_us,
                           member_view_t *view);
static int compare_views(const void *left, const void *right);
static int compare_candidates(const void *left, const void *right);
static uint64_t rendezvous_score(const char *host, uint64_t hash);
static void toggle_monitored(const membership_t *membership,
                             member_host_t *host, int64_t now_us);
static bool is_on_rings(const member_host_t *host, int64_t now_us);

void
rings_compute_positions(const char *host, uint64_t *positions)
{
    size_t length = strlen(host);
    uint64_t ring;

    for (ring = 0; ring < MEMBER_RINGS; ring++) {
        positions[ring] = XXH3_64bits_withSeed(host, length, ring);
    }
}

/* Dead hosts are skipped on the rings. */
static bool
is_on_rings(const member_host_t *host, int64_t now_us)
{
    return member_state(host, now_us) != MEMBER_DEAD;
}

size_t
rings_successors(const membership_t *membership, int64_t now_us,
                 member_host_t **hosts)
{
    member_host_t *nearest;
    member_host_t *host;
    uint64_t distance;
    uint64_t nearest_distance;
    size_t count = 0;
    size_t i;
    size_t ring;

    for (ring = 0; ring < MEMBER_RINGS; ring++) {
        nearest = NULL;
        nearest_distance = UINT64_MAX;
        for (host = member_first(membership); host != NULL;
             host = member_next(host)) {
            distance =
                host->ring_positions[ring] - membership->ring_positions[ring];
            if (distance < nearest_distance && is_on_rings(host, now_us)) {
                nearest_distance = distance;
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
 * The state of a monitored host is derived from its silence, that of any other
 * host from failure reports.  Converts the evidence so that the state stays
 * the same when the host changes from one to the other.
 */
static void
toggle_monitored(const membership_t *membership, member_host_t *host,
                 int64_t now_us)
{
    int64_t silent_us;
    uint32_t i;

    host->monitored = !host->monitored;
    host->probed_us = 0;
    if (host->monitored) {
        silent_us = host->last_state == MEMBER_DEAD ? MEMBER_DEAD_AFTER_US
                    : host->last_state == MEMBER_SUSPECT
                        ? MEMBER_SUSPECT_AFTER_US
                        : 0;
        host->silent_since_us = now_us - silent_us;
        return;
    }
    if (host->last_state != MEMBER_DEAD) {
        return;
    }
    for (i = 0; i < REPORTERS_MAX; i++) {
        member_copy_name(host->reporters[i].host, membership->host);
        host->reporters[i].dead = true;
    }
    host->reporter_count = REPORTERS_MAX;
}

/*
 * This host monitors the hosts whose successor it is on some ring: the
 * nearest predecessor that is not dead and the dead ones in between.  A dead
 * host is not counted as a successor, but the host that would be its
 * successor goes on monitoring it, to detect its return.
 */
void
rings_update_monitored(membership_t *membership, int64_t now_us)
{
    bool mesh = membership->host_count < MEMBER_MESH_MAX;
    uint64_t predecessor_distance[MEMBER_RINGS];
    uint64_t distance;
    member_host_t *host;
    bool monitored;
    size_t ring;

    membership->rings_changed = false;
    for (ring = 0; ring < MEMBER_RINGS; ring++) {
        predecessor_distance[ring] = UINT64_MAX;
    }
    for (host = member_first(membership); host != NULL;
         host = member_next(host)) {
        for (ring = 0; ring < MEMBER_RINGS; ring++) {
            distance =
                membership->ring_positions[ring] - host->ring_positions[ring];
            if (distance < predecessor_distance[ring] &&
                is_on_rings(host, now_us)) {
                predecessor_distance[ring] = distance;
            }
        }
    }
    for (host = member_first(membership); host != NULL;
         host = member_next(host)) {
        monitored = mesh;
        for (ring = 0; ring < MEMBER_RINGS; ring++) {
            distance =
                membership->ring_positions[ring] - host->ring_positions[ring];
            monitored = monitored || distance <= predecessor_distance[ring];
        }
        if (monitored != host->monitored) {
            toggle_monitored(membership, host, now_us);
        }
    }
}

static void
fill_view(const member_host_t *host, int64_t now_us, member_view_t *view)
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
fill_self_view(const membership_t *membership, int64_t now_us,
               member_view_t *view)
{
    memset(view, 0, sizeof(*view));
    view->host = membership->host;
    view->zone = membership->zone;
    view->address = membership->address;
    view->peer_address = membership->peer_address;
    view->state = membership->leaving ? MEMBER_LEAVING : MEMBER_LIVE;
    view->self = true;
    view->listed = membership->listed;
    view->incarnation = membership->incarnation;
    view->heard_us = now_us;
}

bool
member_find(const membership_t *membership, int64_t now_us, const char *host,
            member_view_t *view)
{
    member_host_t *found;

    if (strcmp(host, membership->host) == 0) {
        fill_self_view(membership, now_us, view);
        return true;
    }
    found = member_lookup(membership, host);
    if (found == NULL) {
        return false;
    }
    fill_view(found, now_us, view);
    return true;
}

static int
compare_views(const void *left, const void *right)
{
    return strcmp(((const member_view_t *)left)->host,
                  ((const member_view_t *)right)->host);
}

member_view_t *
member_list(const membership_t *membership, int64_t now_us, arena_t *arena,
            size_t *count)
{
    size_t total = membership->host_count + 1;
    member_view_t *views = arena_array(arena, total, sizeof(*views));
    member_host_t *host;
    size_t used = 1;

    fill_self_view(membership, now_us, &views[0]);
    for (host = member_first(membership); host != NULL;
         host = member_next(host)) {
        fill_view(host, now_us, &views[used]);
        used++;
    }
    qsort(views, total, sizeof(*views), compare_views);
    *count = total;
    return views;
}

size_t
member_live_count(const membership_t *membership, int64_t now_us)
{
    member_host_t *host;
    size_t count = 1;

    for (host = member_first(membership); host != NULL;
         host = member_next(host)) {
        count += member_state(host, now_us) == MEMBER_LIVE ? 1 : 0;
    }
    return count;
}

/* Rendezvous hashing: the host with the highest score is selected. */
static uint64_t
rendezvous_score(const char *host, uint64_t hash)
{
    return XXH3_64bits_withSeed(host, strlen(host), hash);
}

/* Bit 63 of a rank is set for a live host, bit 62 for one in this zone. */
member_view_t *
member_caller_addresses(const membership_t *membership, int64_t now_us,
                        uint64_t balance_seed, arena_t *arena, size_t *count)
{
    size_t total;
    member_view_t *all = member_list(membership, now_us, arena, &total);
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
        rank = rendezvous_score(all[i].host, balance_seed) >> 2;
        rank |= all[i].state == MEMBER_LIVE ? (uint64_t)1 << 63 : 0;
        rank |=
            strcmp(all[i].zone, membership->zone) == 0 ? (uint64_t)1 << 62 : 0;
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
compare_candidates(const void *left, const void *right)
{
    const candidate_t *a = left;
    const candidate_t *b = right;

    if (a->preferred != b->preferred) {
        return a->preferred ? -1 : 1;
    }
    if (a->score != b->score) {
        return a->score > b->score ? -1 : 1;
    }
    return strcmp(a->host->host, b->host->host);
}

size_t
member_select_replicas(const membership_t *membership, int64_t now_us,
                       uint64_t hash, const char *zone, const char **hosts,
                       size_t count)
{
    candidate_t *candidates =
        xcalloc(membership->host_count + 1, sizeof(*candidates));
    member_host_t *host;
    size_t total = 0;
    size_t i;

    for (host = member_first(membership); host != NULL;
         host = member_next(host)) {
        if (member_state(host, now_us) == MEMBER_LIVE) {
            candidates[total].host = host;
            candidates[total].score = rendezvous_score(host->host, hash);
            candidates[total].preferred = strcmp(host->zone, zone) != 0;
            total++;
        }
    }
    qsort(candidates, total, sizeof(*candidates), compare_candidates);
    for (i = 0; i < total && i < count; i++) {
        hosts[i] = candidates[i].host->host;
    }
    free(candidates);
    return i;
}

size_t
member_successors(const membership_t *membership, int64_t now_us,
                  const char **hosts, size_t count)
{
    member_host_t *successors[MEMBER_RINGS];
    size_t total = rings_successors(membership, now_us, successors);
    size_t i;

    for (i = 0; i < total && i < count; i++) {
        hosts[i] = successors[i]->host;
    }
    return i;
}
