/*
 * sharing.c - what hosts tell each other of their streams.
 *
 * Answers the load of many hosts that place prompts at the same moment, each
 * with a small part of the streams: without the others' word, two prompts
 * meet at one runner although another is free.  It also tells where the
 * prompt of a session is cached, when its host is lost and its caller comes
 * to another one.
 */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "forward/private.h"

/* A host repeats its word within half a second while it has streams, or so
 * much more seldom as there are more than PEER_HOSTS hosts. */
#define PEER_SILENT_US ((int64_t)1500000)
/* A host whose contact is younger is taken to reach the store: a watch
 * returns about once a second. */
#define PEER_CONTACT_US ((int64_t)3000000)
/* Repeats of a prompt are priced within ten seconds of its last use; a
 * runner forgets the least used ones when its memory is wanted. */
#define SESSION_KEPT_US ((int64_t)12000000)

enum { SESSIONS_MAX = 8192, PEER_HOSTS = 10 };

static void write_budgets(const forward_t *forward, arena_t *arena,
                          placements_t *placements);
static peer_view_t *view_of(forward_t *forward, const char *host);
static bool is_silent(const forward_t *forward, const peer_view_t *view);
static void view_free(forward_t *forward, peer_view_t *view);
static void count_peers(forward_t *forward);

void
take_peer(forward_t *forward, const forward_peer_t *peer)
{
    peer_view_t *view = view_of(forward, peer->host);
    u_int i;

    if (peer->placements == NULL) {
        view_free(forward, view);
        count_peers(forward);
        return;
    }
    if (peer->placements->incarnation < view->incarnation ||
        (peer->placements->incarnation == view->incarnation &&
         peer->placements->number <= view->number)) {
        return;
    }
    if (peer->placements->incarnation > view->incarnation) {
        view->noted = 0;
    }
    view->incarnation = peer->placements->incarnation;
    view->number = peer->placements->number;
    view->heard_us = forward->now_us;
    view->contact_us = forward->now_us -
                       (int64_t)peer->placements->contact_age_ms * US_PER_MS;
    view->count = peer->placements->items.items_len;
    view->placements =
        xrealloc(view->placements, view->count + 1, sizeof(*view->placements));
    for (i = 0; i < view->count; i++) {
        view->placements[i] = peer->placements->items.items_val[i];
        session_note(forward, view->placements[i].session,
                     view->placements[i].runner);
    }
    view->budget_count = peer->placements->budgets.budgets_len;
    for (i = 0; i < view->budget_count; i++) {
        view->budgets[i] = peer->placements->budgets.budgets_val[i];
    }
    notes_heard(forward, view, peer->placements);
    count_peers(forward);
}

/* A host that has fallen silent has used no more since. */
retry_use_t
peers_use(const forward_t *forward, const char *service)
{
    uint64_t hash = XXH3_64bits(service, strlen(service));
    retry_use_t use = {0};
    const peer_view_t *view;
    uint32_t i;

    for (view = forward->peers; view != NULL; view = view->hh.next) {
        if (forward->now_us - view->heard_us >
            forward->settings.limits.retries.window_us) {
            continue;
        }
        use.hosts++;
        for (i = 0; i < view->budget_count; i++) {
            if (view->budgets[i].service == hash) {
                use.requests += view->budgets[i].requests;
                use.repeats += view->budgets[i].repeats;
            }
        }
    }
    return use;
}

bool
peers_lack_store(const forward_t *forward)
{
    const peer_view_t *view;
    bool heard = false;

    for (view = forward->peers; view != NULL; view = view->hh.next) {
        if (is_silent(forward, view)) {
            continue;
        }
        heard = true;
        if (forward->now_us - view->contact_us < PEER_CONTACT_US) {
            return false;
        }
    }
    return heard;
}

void
sharing_sweep(forward_t *forward)
{
    peer_view_t *view;
    peer_view_t *next;
    session_t *session;
    session_t *next_session;
    bool silent = false;

    HASH_ITER(hh, forward->peers, view, next)
    {
        if (view->count > 0 && is_silent(forward, view)) {
            view->count = 0;
            silent = true;
        }
    }
    if (silent) {
        count_peers(forward);
    }
    HASH_ITER(hh, forward->sessions, session, next_session)
    {
        if (forward->now_us < session->until_us) {
            break; /* the oldest are first */
        }
        HASH_DEL(forward->sessions, session); /* NOLINT(clang-analyzer-*) */
        free(session);
    }
}

void
sharing_free(forward_t *forward)
{
    peer_view_t *view;
    peer_view_t *next;
    session_t *session;
    session_t *next_session;

    HASH_ITER(hh, forward->peers, view, next)
    {
        view_free(forward, view);
    }
    HASH_ITER(hh, forward->sessions, session, next_session)
    {
        HASH_DEL(forward->sessions, session); /* NOLINT(clang-analyzer-*) */
        free(session);
    }
}

/* The newest goes to the end of the table, so that the oldest are first. */
void
session_note(forward_t *forward, uint64_t number, uint64_t runner)
{
    session_t *session;

    HASH_FIND(hh, forward->sessions, &number, sizeof(number), session);
    if (session != NULL) {
        HASH_DEL(forward->sessions, session); /* NOLINT(clang-analyzer-*) */
    }
    else if (HASH_COUNT(forward->sessions) >= SESSIONS_MAX) {
        session = forward->sessions;
        HASH_DEL(forward->sessions, session); /* NOLINT(clang-analyzer-*) */
    }
    else {
        session = xcalloc(1, sizeof(*session));
    }
    session->session = number;
    session->runner = runner;
    session->until_us = forward->now_us + SESSION_KEPT_US;
    HASH_ADD(hh, forward->sessions, session, sizeof(session->session),
             session);
}

uint64_t
session_runner(const forward_t *forward, uint64_t number)
{
    session_t *session;

    HASH_FIND(hh, forward->sessions, &number, sizeof(number), session);
    return session != NULL && forward->now_us < session->until_us
               ? session->runner
               : 0;
}

void
forward_placements(const forward_t *forward, arena_t *arena,
                   placements_t *placements)
{
    const request_t *request;
    u_int count = 0;

    placements->items.items_val = arena_array(
        arena, LINK_PLACEMENTS_MAX, sizeof(*placements->items.items_val));
    for (request = forward->requests;
         request != NULL && count < LINK_PLACEMENTS_MAX;
         request = request->hh.next) {
        if (request->type != REQUEST_STREAM ||
            request->attempt.runner == NULL) {
            continue;
        }
        placements->items.items_val[count] = (placement_t){
            .runner = request->attempt.runner->id_hash,
            .session = request->affinity,
            .prompt_tokens = request->prompt_tokens,
            .reading = request->attempt.events == 0,
        };
        count++;
    }
    placements->items.items_len = count;
    write_budgets(forward, arena, placements);
    notes_tell(forward, arena, placements);
    placements->contact_age_ms =
        forward->contact_us > 0
            ? (uint32_t)((forward->now_us - forward->contact_us) / US_PER_MS)
            : UINT32_MAX;
}

static void
write_budgets(const forward_t *forward, arena_t *arena,
              placements_t *placements)
{
    const service_budget_t *budget;
    u_int count = 0;

    placements->budgets.budgets_val = arena_array(
        arena, LINK_BUDGETS_MAX, sizeof(*placements->budgets.budgets_val));
    for (budget = forward->budgets; budget != NULL && count < LINK_BUDGETS_MAX;
         budget = budget->hh.next) {
        retry_use_t use = retry_budget_use(&budget->budget,
                                           &forward->settings.limits.retries,
                                           forward->now_us);

        placements->budgets.budgets_val[count] = (budget_use_t){
            .service = XXH3_64bits(budget->service, strlen(budget->service)),
            .requests = (uint32_t)use.requests,
            .repeats = (uint32_t)use.repeats,
        };
        count++;
    }
    placements->budgets.budgets_len = count;
}

static peer_view_t *
view_of(forward_t *forward, const char *host)
{
    peer_view_t *view;

    HASH_FIND_STR(forward->peers, host, view);
    if (view == NULL) {
        view = xcalloc(1, sizeof(*view));
        view->host = xstrdup(host);
        HASH_ADD_KEYPTR(hh, forward->peers, view->host, strlen(view->host),
                        view);
    }
    return view;
}

static bool
is_silent(const forward_t *forward, const peer_view_t *view)
{
    int64_t limit_us = forward->hosts > PEER_HOSTS
                           ? PEER_SILENT_US * forward->hosts / PEER_HOSTS
                           : PEER_SILENT_US;

    return forward->now_us - view->heard_us > limit_us;
}

static void
view_free(forward_t *forward, peer_view_t *view)
{
    HASH_DEL(forward->peers, view); /* NOLINT(clang-analyzer-*) */
    free(view->placements);
    free(view->host);
    free(view);
}

static void
count_peers(forward_t *forward)
{
    const peer_view_t *view;
    uint32_t i;

    pool_peers_clear(forward->pool);
    for (view = forward->peers; view != NULL; view = view->hh.next) {
        for (i = 0; i < view->count; i++) {
            pool_peers_add(forward->pool, view->placements[i].runner,
                           view->placements[i].reading);
        }
    }
}
