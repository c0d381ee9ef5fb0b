/* claim_release.c - deletes abandoned claims; see claim_release.h. */
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "policy/claim_release.h"

enum { KEYS_MAX = 100, BACKOFF_SHIFT_MAX = 5 };

struct claim_release {
    char *key;
    char *holder_id;
    uint32_t send_count;
    int64_t next_send_us;
    int64_t lease_end_us; /* the store has deleted the key by then */
    TAILQ_ENTRY(claim_release) link;
    UT_hash_handle hh;
};

void
claim_releases_init(claim_releases_t *releases, int64_t answer_timeout_us,
                    int64_t lease_us)
{
    releases->by_key = NULL;
    releases->answer_timeout_us = answer_timeout_us;
    releases->lease_us = lease_us;
    TAILQ_INIT(&releases->list);
}

static void
remove_release(claim_releases_t *releases, claim_release_t *release)
{
    HASH_DEL(releases->by_key, release);
    TAILQ_REMOVE(&releases->list, release, link);
    free(release->key);
    free(release->holder_id);
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
                   const char *holder_id, int64_t now_us)
{
    claim_release_t *release = xcalloc(1, sizeof(*release));

    release->key = xstrdup(key);
    release->holder_id = xstrdup(holder_id);
    release->next_send_us = now_us;
    release->lease_end_us = now_us + releases->lease_us;
    HASH_ADD_KEYPTR(hh, releases->by_key, release->key, strlen(release->key),
                    release);
    TAILQ_INSERT_HEAD(&releases->list, release, link);
}

bool
claim_releases_contain(const claim_releases_t *releases, const char *key)
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
        if (now_us > release->lease_end_us) {
            remove_release(releases, release);
        }
    }
}

static void
set_next_try(claim_releases_t *releases, claim_release_t *release,
             int64_t now_us)
{
    claim_release_t *other;

    release->next_send_us =
        now_us + (releases->answer_timeout_us << release->send_count);
    if (release->send_count < BACKOFF_SHIFT_MAX) {
        release->send_count++;
    }
    TAILQ_REMOVE(&releases->list, release, link);
    for (other = TAILQ_FIRST(&releases->list); other != NULL;
         other = TAILQ_NEXT(other, link)) {
        if (other->next_send_us > release->next_send_us) {
            TAILQ_INSERT_BEFORE(other, release, link);
            return;
        }
    }
    TAILQ_INSERT_TAIL(&releases->list, release, link);
}

/* Collects the due releases that have the same holder ID as the first. */
static u_int
collect_due(const claim_releases_t *releases, int64_t now_us,
            claim_release_t **due)
{
    const claim_release_t *first = TAILQ_FIRST(&releases->list);
    claim_release_t *release;
    u_int count = 0;

    TAILQ_FOREACH(release, &releases->list, link)
    {
        if (release->next_send_us > now_us || count == KEYS_MAX) {
            break;
        }
        if (strcmp(release->holder_id, first->holder_id) == 0) {
            due[count++] = release;
        }
    }
    return count;
}

bool
claim_releases_send(claim_releases_t *releases, int64_t now_us,
                    action_list_t *actions)
{
    claim_release_t *due[KEYS_MAX];
    release_action_t *action;
    u_int count = collect_due(releases, now_us, due);
    u_int i;

    if (count == 0) {
        return false;
    }
    action = &actions_append(actions, ACTION_RELEASE)->action_t_u.release;
    action->claim_holder = arena_strdup(&actions->arena, due[0]->holder_id);
    action->keys.keys_val =
        arena_array(&actions->arena, count, sizeof(name_t));
    action->keys.keys_len = count;
    for (i = 0; i < count; i++) {
        action->keys.keys_val[i] = arena_strdup(&actions->arena, due[i]->key);
        set_next_try(releases, due[i], now_us);
    }
    return true;
}

void
claim_releases_handle_answer(claim_releases_t *releases,
                             const claim_outcome_t *outcome)
{
    claim_release_t *release = find_release(releases, outcome->key);

    if (release != NULL && outcome->result != CLAIM_UNKNOWN &&
        strcmp(outcome->holder, release->holder_id) == 0) {
        remove_release(releases, release);
    }
}

int64_t
claim_releases_due_us(const claim_releases_t *releases)
{
    const claim_release_t *first = TAILQ_FIRST(&releases->list);

    return first == NULL ? INT64_MAX : first->next_send_us;
}
