/* claim_release.c - see claim_release.h. */
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "policy/claim_release.h"

enum { KEYS_MAX = 100, DOUBLINGS_MAX = 5 };

struct claim_release {
    char *key;
    char *mark;
    uint32_t tries;
    int64_t next_us;
    int64_t lapsed_us; /* by then the lease has ended the claim */
    TAILQ_ENTRY(claim_release) link;
    UT_hash_handle hh;
};

void
claim_releases_init(claim_releases_t *releases, int64_t answer_limit_us,
                    int64_t lease_us)
{
    releases->by_key = NULL;
    releases->answer_limit_us = answer_limit_us;
    releases->lease_us = lease_us;
    TAILQ_INIT(&releases->list);
}

static void
remove_release(claim_releases_t *releases, claim_release_t *release)
{
    HASH_DEL(releases->by_key, release);
    TAILQ_REMOVE(&releases->list, release, link);
    free(release->key);
    free(release->mark);
    free(release);
}

void
claim_releases_clear(claim_releases_t *releases)
{
    claim_release_t *release;

    while ((release = TAILQ_FIRST(&releases->list)) != NULL) {
        remove_release(releases, release);
    }
}

static claim_release_t *
find_release(const claim_releases_t *releases, const char *key)
{
    claim_release_t *release;

    HASH_FIND(hh, releases->by_key, key, strlen(key), release);
    return release;
}

void
claim_releases_add(claim_releases_t *releases, const char *key,
                   const char *mark, int64_t now_us)
{
    claim_release_t *release = xcalloc(1, sizeof(*release));

    release->key = xstrdup(key);
    release->mark = xstrdup(mark);
    release->next_us = now_us;
    release->lapsed_us = now_us + releases->lease_us;
    HASH_ADD_KEYPTR(hh, releases->by_key, release->key, strlen(release->key),
                    release);
    TAILQ_INSERT_HEAD(&releases->list, release, link);
}

bool
claim_releases_has(const claim_releases_t *releases, const char *key)
{
    return find_release(releases, key) != NULL;
}

size_t
claim_releases_count(const claim_releases_t *releases)
{
    return HASH_COUNT(releases->by_key);
}

void
claim_releases_expire(claim_releases_t *releases, int64_t now_us)
{
    claim_release_t *release;
    claim_release_t *next;

    for (release = TAILQ_FIRST(&releases->list); release != NULL;
         release = next) {
        next = TAILQ_NEXT(release, link);
        if (now_us > release->lapsed_us) {
            remove_release(releases, release);
        }
    }
}

static void
set_next_try(claim_releases_t *releases, claim_release_t *release,
             int64_t now_us)
{
    claim_release_t *other;

    release->next_us = now_us + (releases->answer_limit_us << release->tries);
    if (release->tries < DOUBLINGS_MAX) {
        release->tries++;
    }
    TAILQ_REMOVE(&releases->list, release, link);
    for (other = TAILQ_FIRST(&releases->list); other != NULL;
         other = TAILQ_NEXT(other, link)) {
        if (other->next_us > release->next_us) {
            TAILQ_INSERT_BEFORE(other, release, link);
            return;
        }
    }
    TAILQ_INSERT_TAIL(&releases->list, release, link);
}

/* Gathers the due releases of the first one's mark. */
static u_int
gather(const claim_releases_t *releases, int64_t now_us,
       claim_release_t **gathered)
{
    const claim_release_t *first = TAILQ_FIRST(&releases->list);
    claim_release_t *release;
    u_int count = 0;

    TAILQ_FOREACH(release, &releases->list, link)
    {
        if (release->next_us > now_us || count == KEYS_MAX) {
            break;
        }
        if (strcmp(release->mark, first->mark) == 0) {
            gathered[count++] = release;
        }
    }
    return count;
}

bool
claim_releases_send(claim_releases_t *releases, int64_t now_us,
                    order_list_t *orders)
{
    claim_release_t *gathered[KEYS_MAX];
    release_order_t *order;
    u_int count = gather(releases, now_us, gathered);
    u_int i;

    if (count == 0) {
        return false;
    }
    order = &orders_add(orders, ORDER_RELEASE)->order_t_u.release;
    order->mark = arena_strdup(&orders->arena, gathered[0]->mark);
    order->keys.keys_val = arena_array(&orders->arena, count, sizeof(name_t));
    order->keys.keys_len = count;
    for (i = 0; i < count; i++) {
        order->keys.keys_val[i] =
            arena_strdup(&orders->arena, gathered[i]->key);
        set_next_try(releases, gathered[i], now_us);
    }
    return true;
}

void
claim_releases_answer(claim_releases_t *releases,
                      const claim_outcome_t *outcome)
{
    claim_release_t *release = find_release(releases, outcome->key);

    if (release != NULL && outcome->result != CLAIM_UNKNOWN &&
        strcmp(outcome->holder, release->mark) == 0) {
        remove_release(releases, release);
    }
}

int64_t
claim_releases_due_us(const claim_releases_t *releases)
{
    const claim_release_t *first = TAILQ_FIRST(&releases->list);

    return first == NULL ? INT64_MAX : first->next_us;
}
