/*
 * sharing.c - exchanges the hosts' streams, sessions and retry counts.
 *
 * Many hosts place prompts at the same time, and each of them has only a small
 * part of the streams.  Without the other hosts' reports, two prompts would be
 * sent to one runner while another is free.  The reports also show where the
 * prompt of a session is cached, for a caller that moves to another host after
 * the loss of its own.
 */
#include <stdlib.h>
#include <string.h>

#include "forward/private.h"

/* A host with streams sends a report at least every 0.5 s.  With more than
 * PEER_TIMEOUT_HOSTS hosts, the interval and this timeout grow in proportion
 * to their number. */
#define PEER_TIMEOUT_US ((int64_t)1500000)
/* A host whose last contact with the store is more recent than this is
 * assumed to reach it.  A watch returns about once a second. */
#define CONTACT_FRESH_US ((int64_t)3000000)
/* A repeated prefill of a prompt is charged for within ten seconds of the
 * prompt's last use.  A runner evicts the least used prompts when it needs
 * the memory. */
#define SESSION_TTL_US ((int64_t)12000000)

enum {
    SESSIONS_MAX = 8192,
    PEER_TIMEOUT_HOSTS = 10,
    /* Of a host with streams, in a fleet of up to PEER_TIMEOUT_HOSTS. */
    REPORT_INTERVAL_MS = 500,
};

static void write_budget_use(const forward_t *forward, arena_t *arena,
                             placements_t *placements);
static peer_state_t *find_or_add_view(forward_t *forward, const char *host);
static void record_receipt(forward_t *forward, peer_state_t *view);
static void view_free(forward_t *forward, peer_state_t *view);
static void remove_streams(forward_t *forward, peer_state_t *view);
static void add_streams(forward_t *forward, const peer_state_t *view);
static void recount_after_start(forward_t *forward);
static void record_stream(forward_t *forward, const placement_t *placement);

void
handle_peer_report(forward_t *forward, const forward_peer_report_t *peer)
{
    peer_state_t *view = find_or_add_view(forward, peer->host);
    u_int i;

    if (peer->placements == NULL) {
        remove_streams(forward, view);
        view_free(forward, view);
        recount_after_start(forward);
        return;
    }
    if (peer->placements->incarnation < view->incarnation ||
        (peer->placements->incarnation == view->incarnation &&
         peer->placements->number <= view->number)) {
        return;
    }
    if (peer->placements->incarnation > view->incarnation) {
        view->last_note_number = 0;
    }
    view->incarnation = peer->placements->incarnation;
    view->number = peer->placements->number;
    record_receipt(forward, view);
    view->contact_us = forward->now_us -
                       (int64_t)peer->placements->contact_age_ms * US_PER_MS;
    view->isolated = peer->placements->isolated;
    remove_streams(forward, view);
    view->count = peer->placements->items.items_len;
    view->placements =
        xrealloc(view->placements, view->count + 1, sizeof(*view->placements));
    for (i = 0; i < view->count; i++) {
        view->placements[i] = peer->placements->items.items_val[i];
        record_session(forward, view->placements[i].session,
                       view->placements[i].runner);
        record_stream(forward, &view->placements[i]);
    }
    add_streams(forward, view);
    view->budget_count = peer->placements->budgets.budgets_len;
    for (i = 0; i < view->budget_count; i++) {
        view->budgets[i] = peer->placements->budgets.budgets_val[i];
        versions_merge_seen(forward, &view->budgets[i]);
    }
    notes_receive(forward, view, peer->placements);
    rollouts_receive(forward, view, peer->placements);
    suspicion_receive(forward, peer->placements);
}

/* The service is that of the runner, which is known before the version. */
static void
record_stream(forward_t *forward, const placement_t *placement)
{
    const pool_runner_t *runner =
        pool_find_hash(forward->pool, placement->runner);
    stream_version_t begun = {.stream = placement->stream,
                              .version = placement->software};

    if (runner != NULL && !placement->prefilling) {
        begun.service = pool_hash_service(runner->registration.service);
    }
    versions_record(forward, &begun);
}

/* The last report of a host that stopped sending counts for one window. */
retry_use_t
peers_retry_use(const forward_t *forward, const char *service)
{
    uint64_t hash = pool_hash_service(service);
    retry_use_t use = {0};
    const peer_state_t *view;
    uint32_t i;

    for (view = forward->peers; view != NULL; view = view->hh.next) {
        if (forward->now_us - view->received_us >
            forward->settings.limits.retries.window_us) {
            continue;
        }
        use.hosts++;
        for (i = 0; i < view->budget_count; i++) {
            if (view->budgets[i].service == hash) {
                use.requests += view->budgets[i].requests;
                use.retries += view->budgets[i].retry_count;
            }
        }
    }
    return use;
}

bool
peers_lack_store(const forward_t *forward)
{
    const peer_state_t *view;
    bool report_received = false;

    for (view = forward->peers; view != NULL; view = view->hh.next) {
        if (sharing_is_silent(forward, view)) {
            continue;
        }
        report_received = true;
        if (forward->now_us - view->contact_us < CONTACT_FRESH_US) {
            return false;
        }
    }
    return report_received;
}

void
sharing_expire(forward_t *forward)
{
    peer_state_t *view;
    peer_state_t *next;
    session_t *session;
    session_t *next_session;
    bool timed_out = false;

    HASH_ITER(hh, forward->peers, view, next)
    {
        if (!sharing_is_silent(forward, view)) {
            break; /* sorted by the time of the last report */
        }
        if (view->count > 0) {
            remove_streams(forward, view);
            timed_out = true;
        }
    }
    if (timed_out) {
        recount_after_start(forward);
    }
    HASH_ITER(hh, forward->sessions, session, next_session)
    {
        if (forward->now_us < session->expiry_us) {
            break; /* sorted by expiry */
        }
        HASH_DEL(forward->sessions, session); /* NOLINT(clang-analyzer-*) */
        free(session);
    }
}

void
sharing_free(forward_t *forward)
{
    peer_state_t *view;
    peer_state_t *next;
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

/* Moves the session to the end of the table, which stays sorted by expiry. */
void
record_session(forward_t *forward, uint64_t session_id, uint64_t runner)
{
    session_t *session;

    HASH_FIND(hh, forward->sessions, &session_id, sizeof(session_id), session);
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
    session->session = session_id;
    session->runner = runner;
    session->expiry_us = forward->now_us + SESSION_TTL_US;
    HASH_ADD(hh, forward->sessions, session, sizeof(session->session),
             session);
}

uint64_t
session_runner(const forward_t *forward, uint64_t session_id)
{
    session_t *session;

    HASH_FIND(hh, forward->sessions, &session_id, sizeof(session_id), session);
    return session != NULL && forward->now_us < session->expiry_us
               ? session->runner
               : 0;
}

void
forward_placements(forward_t *forward, arena_t *arena,
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
            request->attempt.runner == NULL || request->attempt.relayed) {
            continue;
        }
        placements->items.items_val[count] = (placement_t){
            .runner = request->attempt.runner->id_hash,
            .session = request->affinity,
            .stream = request->stream,
            .software = identify_version_told(request),
            .prompt_tokens = request->prompt_tokens,
            .prefilling = request->attempt.events == 0,
        };
        count++;
    }
    placements->items.items_len = count;
    write_budget_use(forward, arena, placements);
    notes_write(forward, arena, placements);
    rollouts_write(forward, arena, placements);
    suspicion_write(forward, arena, placements);
    placements->isolated = relay_is_isolated_at_all(forward);
    placements->contact_age_ms =
        forward->contact_us > 0
            ? (uint32_t)((forward->now_us - forward->contact_us) / US_PER_MS)
            : UINT32_MAX;
}

static void
write_budget_use(const forward_t *forward, arena_t *arena,
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
            .service = pool_hash_service(budget->service),
            .requests = (uint32_t)use.requests,
            .retry_count = (uint32_t)use.retries,
            .isolated = relay_is_isolated(forward, budget->service),
            .versions_age_ms =
                budget->versions_us != INT64_MIN
                    ? (uint32_t)((forward->now_us - budget->versions_us) /
                                 US_PER_MS)
                    : LINK_NEVER,
        };
        count++;
    }
    placements->budgets.budgets_len = count;
}

static peer_state_t *
find_or_add_view(forward_t *forward, const char *host)
{
    peer_state_t *view;

    HASH_FIND_STR(forward->peers, host, view);
    if (view == NULL) {
        view = xcalloc(1, sizeof(*view));
        view->host = xstrdup(host);
        HASH_ADD_KEYPTR(hh, forward->peers, view->host, strlen(view->host),
                        view);
    }
    return view;
}

/* Moves the view to the end of the table, which stays sorted. */
static void
record_receipt(forward_t *forward, peer_state_t *view)
{
    HASH_DEL(forward->peers, view); /* NOLINT(clang-analyzer-*) */
    view->received_us = forward->now_us;
    HASH_ADD_KEYPTR(hh, forward->peers, view->host, strlen(view->host), view);
}

int64_t
sharing_timeout_us(const forward_t *forward)
{
    return forward->hosts > PEER_TIMEOUT_HOSTS
               ? PEER_TIMEOUT_US * forward->hosts / PEER_TIMEOUT_HOSTS
               : PEER_TIMEOUT_US;
}

bool
sharing_hears_most(const forward_t *forward, int64_t within_us)
{
    int64_t interval_us = (int64_t)REPORT_INTERVAL_MS * US_PER_MS;
    int64_t due = within_us * PEER_TIMEOUT_HOSTS / interval_us;
    int64_t heard = 1;
    const peer_state_t *view;

    for (view = forward->peers; view != NULL; view = view->hh.next) {
        heard += forward->now_us - view->received_us <= within_us ? 1 : 0;
    }
    return 2 * heard > (forward->hosts < due ? forward->hosts : due);
}

bool
sharing_is_silent(const forward_t *forward, const peer_state_t *view)
{
    return forward->now_us - view->received_us > sharing_timeout_us(forward);
}

static void
view_free(forward_t *forward, peer_state_t *view)
{
    HASH_DEL(forward->peers, view); /* NOLINT(clang-analyzer-*) */
    free(view->placements);
    free(view->rollouts);
    free(view->host);
    free(view);
}

/* Whether the streams are counted at all runners of the pool.  Those at a
 * runner that has started since are not. */
static bool
is_counted(const forward_t *forward)
{
    return forward->counted_starts == pool_start_count(forward->pool);
}

static void
count_streams(forward_t *forward, const peer_state_t *view)
{
    uint32_t i;

    for (i = 0; i < view->count; i++) {
        pool_count_peer_stream(forward->pool, view->placements[i].runner,
                               view->placements[i].prefilling);
    }
}

/* Precedes add_streams() or recount_after_start(). */
static void
remove_streams(forward_t *forward, peer_state_t *view)
{
    uint32_t i;

    for (i = 0; is_counted(forward) && i < view->count; i++) {
        pool_uncount_peer_stream(forward->pool, view->placements[i].runner,
                                 view->placements[i].prefilling);
    }
    view->count = 0;
}

static void
add_streams(forward_t *forward, const peer_state_t *view)
{
    if (is_counted(forward)) {
        count_streams(forward, view);
    }
    recount_after_start(forward);
}

static void
recount_after_start(forward_t *forward)
{
    const peer_state_t *view;

    if (is_counted(forward)) {
        return;
    }
    forward->counted_starts = pool_start_count(forward->pool);
    pool_clear_peer_streams(forward->pool);
    for (view = forward->peers; view != NULL; view = view->hh.next) {
        count_streams(forward, view);
    }
}
