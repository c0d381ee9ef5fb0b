/*
 * view.c - bounds the age of the view of the store by which this host decides.
 *
 * A view that gets old is confirmed with the store itself, in time before it
 * may be too old.  Requests that arrive while it is too old wait for that: the
 * host may have been short of processor time.  They do not wait while the
 * store does not answer this host, since others then serve no better.
 */
#include <stdio.h>
#include <syslog.h>

#include "forward/private.h"

enum {
    /* Part of the limits for the way to the runner. */
    SEND_MARGIN_MS = 300,
    /* Time that a call to the store may take. */
    CONFIRM_MS = 300,
    /* Longest wait of a request for a confirmation: two such calls. */
    HOLD_MAX_MS = 2 * CONFIRM_MS,
    /* Streams begin at a version so long after all hosts could know of it; see
     * version_record.c. */
    VERSION_AGE_MAX_MS = 1000,
};

static uint32_t limit_ms(const forward_limits_t *limits);
static bool is_too_old(const forward_t *forward, int64_t age_us);
static bool may_wait(forward_t *forward, request_t *request);
static forward_request_t *copy_incoming(arena_t *arena,
                                        const forward_request_t *incoming);

uint32_t
forward_view_confirm_ms(const forward_limits_t *limits)
{
    uint32_t max_ms = limit_ms(limits);

    return max_ms > CONFIRM_MS ? max_ms - CONFIRM_MS : max_ms;
}

void
view_record_contact(forward_t *forward, const forward_contact_t *contact)
{
    if (contact->contact_us <= forward->contact_us) {
        return;
    }
    forward->contact_us = contact->contact_us;
    forward->view_revision = contact->revision;
    (void)snprintf(forward->view_source, sizeof(forward->view_source), "%s",
                   contact->source != NULL ? contact->source : "");
    forward->store_lost = false;
    if (view_is_current(forward)) {
        view_release_requests(forward);
    }
}

void
view_record_store_lost(forward_t *forward)
{
    forward->store_lost = true;
    view_release_requests(forward);
}

void
view_check(forward_t *forward)
{
    if (forward->now_us >= view_due_us(forward)) {
        view_ask(forward);
    }
}

/* Each contact is confirmed once; after that, failed calls are repeated. */
void
view_ask(forward_t *forward)
{
    if (forward->confirmed_contact_us != forward->contact_us) {
        forward->confirmed_contact_us = forward->contact_us;
        (void)action_new(forward, FORWARD_ACTION_CONFIRM_VIEW, 0);
    }
}

bool
view_is_current(const forward_t *forward)
{
    return !is_too_old(forward, forward->now_us - forward->contact_us);
}

bool
view_of_peer_is_current(const forward_t *forward, const peer_state_t *peer)
{
    return !is_too_old(forward, peer->received_us - peer->contact_us);
}

int64_t
view_due_us(const forward_t *forward)
{
    uint32_t confirm_ms = forward_view_confirm_ms(&forward->settings.limits);

    if (confirm_ms == 0 || forward->contact_us == 0 || forward->store_lost ||
        forward->confirmed_contact_us == forward->contact_us) {
        return INT64_MAX;
    }
    return forward->contact_us + (int64_t)confirm_ms * US_PER_MS;
}

bool
view_holds_request(forward_t *forward, request_t *request)
{
    return !view_is_current(forward) && may_wait(forward, request);
}

bool
view_holds_relay(forward_t *forward, request_t *request,
                 int64_t routing_version)
{
    if (routing_version <= forward->routing->version ||
        !may_wait(forward, request)) {
        return false;
    }
    view_ask(forward);
    return true;
}

/* Returns whether a confirmation may come while the request waits. */
static bool
may_wait(forward_t *forward, request_t *request)
{
    if (forward->store_lost) {
        return false;
    }
    if (request->held_since_us == 0) {
        request->held_since_us = forward->now_us;
        emit_log(
            forward, LOG_INFO, "view-late",
            "request=%s contact_age_ms=%lld source=%s", request->id,
            (long long)((forward->now_us - forward->contact_us) / US_PER_MS),
            forward->view_source);
    }
    return forward->now_us - request->held_since_us <
           (int64_t)HOLD_MAX_MS * US_PER_MS;
}

/* With the store away, no version is recorded that the others do not know. */
view_answer_t
view_knows_versions(forward_t *forward, request_t *request)
{
    int64_t age_max_us = (int64_t)VERSION_AGE_MAX_MS * US_PER_MS;
    int64_t age_us = forward->now_us - forward->contact_us;
    const char *known = NULL;

    if (request->taken_up_us == 0) {
        request->taken_up_us = forward->now_us;
    }
    if (forward->contact_us >= request->taken_up_us) {
        known = "view";
    }
    else if (!forward->store_lost &&
             forward->now_us < view_version_due_us(request)) {
        view_ask(forward);
        return VIEW_AWAITED;
    }
    else if (age_us < age_max_us) {
        known = "recent";
    }
    else if (sharing_hears_most(forward, age_max_us)) {
        known = "reports";
    }
    emit_log(forward, LOG_INFO, "versions-known",
             "request=%s known=%s waited_ms=%lld contact_age_ms=%lld "
             "source=%s",
             request->id, known != NULL ? known : "no",
             (long long)((forward->now_us - request->taken_up_us) / US_PER_MS),
             (long long)(age_us / US_PER_MS), forward->view_source);
    return known != NULL ? VIEW_DECIDES : VIEW_TOO_OLD;
}

int64_t
view_version_due_us(const request_t *request)
{
    return request->taken_up_us + (int64_t)HOLD_MAX_MS * US_PER_MS;
}

void
view_hold_admission(forward_t *forward, request_t *request,
                    const forward_request_t *incoming)
{
    request->held = copy_incoming(&request->arena, incoming);
    request->retry_at_us =
        request->held_since_us + (int64_t)HOLD_MAX_MS * US_PER_MS;
    request->deadline_us = INT64_MAX;
}

void
view_release_requests(forward_t *forward)
{
    request_t *request;
    request_t *next;

    HASH_ITER(hh, forward->requests, request, next)
    {
        if (request->held != NULL) {
            admit_held_request(forward, request);
        }
        else if (request->awaits_version) {
            admit_with_version(forward, request);
        }
    }
}

/* Returns 0 if there is no limit. */
static uint32_t
limit_ms(const forward_limits_t *limits)
{
    uint32_t max_ms = limits->apply_ms;

    if (max_ms == 0 || (limits->leave_ms > 0 && limits->leave_ms < max_ms)) {
        max_ms = limits->leave_ms;
    }
    return max_ms > SEND_MARGIN_MS ? max_ms - SEND_MARGIN_MS : max_ms;
}

static bool
is_too_old(const forward_t *forward, int64_t age_us)
{
    uint32_t max_ms = limit_ms(&forward->settings.limits);

    return max_ms > 0 && forward->contact_us > 0 &&
           age_us > (int64_t)max_ms * US_PER_MS;
}

/* The request itself has copies of the id and the parts. */
static forward_request_t *
copy_incoming(arena_t *arena, const forward_request_t *incoming)
{
    forward_request_t *copy = arena_alloc(arena, sizeof(*copy));

    *copy = *incoming;
    copy->host = arena_strdup(arena, incoming->host);
    copy->path = arena_strdup(arena, incoming->path);
    copy->key =
        incoming->key != NULL ? arena_strdup(arena, incoming->key) : NULL;
    copy->resumed_id = NULL;
    copy->parts = NULL;
    copy->part_count = 0;
    if (incoming->grant.runner_count > 0) {
        copy->grant.runners = arena_memdup(
            arena, incoming->grant.runners,
            incoming->grant.runner_count * sizeof(*incoming->grant.runners));
    }
    return copy;
}
