/*
 * partition_caller.c - callers of partition_sim.h's simulation, and what
 * became of their requests.
 */
#include <stdio.h>
#include <string.h>

#include <check.h>

#include "regress/partition_private.h"

enum {
    SESSIONS_PER_ENGINE = 24,
    RETRY_MIN_MS = 50,
    ATTEMPTS_SAFE = 2, /* as forwarding_routing() has them */
    ATTEMPTS_UNSAFE = 1,
    ATTEMPTS_STREAM = 5,
};

const char *
cut_request_path(request_type_t type)
{
    static const char *const paths[] = {[REQUEST_SAFE] = "/safe/x",
                                        [REQUEST_UNSAFE] = "/unsafe/x",
                                        [REQUEST_STREAM] = "/stream/x"};

    return paths[type];
}

static void
send_try(size_t index)
{
    cut_caller_t *caller = &cut_sim.callers[index];
    size_t number = caller->try_count;
    cut_try_t *try = &caller->tries[number];
    forward_event_t event = {.kind = FORWARD_REQUEST};

    caller->try_count++;
    try->host = cut_draw(cut_sim.host_count);
    try->arrived_ms = cut_sim.now_ms;
    (void)snprintf(try->id, sizeof(try->id), "c%zu-%zu", index, number);
    if (cut_sim.now_ms < cut_sim.hosts[try->host].unsettled_until_ms) {
        try->state = TRY_EXCLUDED;
    }
    if (!cut_sim.hosts[try->host].up) {
        return;
    }
    ck_assert_uint_lt(cut_sim.hop_count, CUT_HOPS_MAX);
    cut_sim.hops[cut_sim.hop_count] = (cut_hop_t){.host = try->host,
                                                  .caller = index,
                                                  .try = number,
                                                  .parent = CUT_NONE,
                                                  .leg = CUT_NONE,
                                                  .active = true};
    event.u.request =
        (forward_request_t){.number = cut_sim.hop_count,
                            .id = try->id,
                            .host = "host.example",
                            .path = cut_request_path(caller->type),
                            .key = "k1",
                            .deadline_ms = caller->deadline_ms,
                            .prompt_tokens = 8000,
                            .affinity = caller->session,
                            .last_event_id = -1,
                            .fingerprint = index,
                            .parts = &caller->session,
                            .part_count = 1};
    cut_sim.hop_count++;
    cut_deliver(try->host, &event);
}

void
cut_arrive(request_type_t type)
{
    size_t index = cut_sim.caller_count;
    cut_caller_t *caller = &cut_sim.callers[index];

    ck_assert_uint_lt(index, CUT_CALLERS_MAX);
    cut_sim.caller_count++;
    caller->type = type;
    caller->session = cut_draw(cut_sim.engine_count * SESSIONS_PER_ENGINE);
    if (type != REQUEST_STREAM) {
        caller->session = CUT_CALLERS_MAX + index;
        caller->deadline_ms =
            CUT_DEADLINE_MIN_MS +
            (uint32_t)cut_draw(CUT_DEADLINE_MAX_MS - CUT_DEADLINE_MIN_MS + 1);
    }
    send_try(index);
}

void
cut_retry(size_t caller)
{
    send_try(caller);
}

static void
end_try(const cut_hop_t *hop, try_state_t state)
{
    cut_try_t *try = &cut_sim.callers[hop->caller].tries[hop->try];

    if (try->state == TRY_OPEN) {
        try->state = state;
    }
}

static void
refuse_try(const cut_hop_t *hop, const refuse_action_t *refuse)
{
    cut_caller_t *caller = &cut_sim.callers[hop->caller];
    cut_try_t *try = &caller->tries[hop->try];

    end_try(hop, TRY_FAILED);
    if (!refuse->not_run && refuse->status != CUT_STATUS_UNAVAILABLE) {
        return;
    }
    try->not_run = true;
    if (try->runs > 0) {
        cut_sim.result.runs_of_unrun++;
    }
    if (caller->try_count < CUT_TRIES) {
        cut_push(refuse->retry_after_ms > RETRY_MIN_MS ? refuse->retry_after_ms
                                                       : RETRY_MIN_MS,
                 CUT_EVENT_RETRY, hop->caller, 0);
    }
}

static void
answer_caller(const cut_hop_t *hop, const forward_action_t *action)
{
    const cut_leg_t *leg = &cut_sim.legs[hop->leg];

    switch (action->kind) {
    case FORWARD_ACTION_RELAY_RESPONSE:
        /* A runner's error is a response of that runner. */
        end_try(hop, leg->status < CUT_STATUS_UNAVAILABLE ? TRY_SERVED
                                                          : TRY_FAILED);
        return;
    case FORWARD_ACTION_FINISH:
        end_try(hop, TRY_SERVED);
        return;
    case FORWARD_ACTION_REFUSE:
        refuse_try(hop, &action->u.refuse);
        return;
    case FORWARD_ACTION_ABORT:
        end_try(hop, TRY_FAILED);
        return;
    default:
        return;
    }
}

static relay_usage_t
copy_usage(cut_hop_t *hop, const relay_usage_t *usage)
{
    relay_usage_t copy = *usage;

    if (usage->runner_count > 0) {
        memcpy(hop->usage_runners, usage->runners,
               usage->runner_count * sizeof(*usage->runners));
    }
    copy.runners = hop->usage_runners;
    return copy;
}

/* To the host that relayed the request. */
static void
answer_host(cut_hop_t *hop, const forward_action_t *action)
{
    const refuse_action_t *refuse = &action->u.refuse;
    forward_event_t head = {.kind = FORWARD_RESPONSE_HEAD};
    forward_event_t end = {.kind = FORWARD_SEND_END,
                           .u.end.result = SEND_COMPLETE};

    head.u.head.authentic = true;
    head.u.head.event_stream = true;
    head.u.head.status = CUT_STATUS_OK;
    head.u.head.usage = copy_usage(hop, &action->usage);
    switch (action->kind) {
    case FORWARD_ACTION_RELAY_HEAD:
        cut_push_reply(CUT_ONE_WAY_MS, hop->parent, &head);
        return;
    case FORWARD_ACTION_RELAY_RESPONSE:
        head.u.head.status = cut_sim.legs[hop->leg].status;
        cut_push_reply(CUT_ONE_WAY_MS, hop->parent, &head);
        break;
    case FORWARD_ACTION_REFUSE:
        head.u.head = (forward_response_head_t){
            .status = refuse->status,
            .not_run = refuse->not_run,
            .refused_by_host = true,
            .refusal = refuse->reason,
            .retry_after_ms = refuse->retry_after_ms,
            .usage = head.u.head.usage,
        };
        cut_push_reply(CUT_ONE_WAY_MS, hop->parent, &head);
        break;
    case FORWARD_ACTION_ABORT:
        end.u.end.result = SEND_BROKEN;
        break;
    default:
        break;
    }
    cut_push_reply(CUT_ONE_WAY_MS, hop->parent, &end);
}

static void
end_hop(cut_hop_t *hop)
{
    hop->active = false;
    if (hop->parent != CUT_NONE) {
        cut_sim.hosts[hop->host].relayed_active--;
    }
}

void
cut_answer(size_t index, const forward_action_t *action)
{
    cut_hop_t *hop = &cut_sim.hops[index];

    if (action->kind == FORWARD_ACTION_REFUSE &&
        action->u.refuse.reason == REFUSE_HARMFUL && hop->parent == CUT_NONE &&
        cut_of_host(hop->host) == NULL) {
        cut_sim.result.refused_harmless++;
    }
    if (action->kind == FORWARD_ACTION_RELAY_HEAD) {
        cut_sim.legs[hop->leg].passed = true;
    }
    if (hop->parent != CUT_NONE) {
        answer_host(hop, action);
    }
    else {
        answer_caller(hop, action);
    }
    if (action->kind != FORWARD_ACTION_RELAY_HEAD) {
        end_hop(hop);
    }
}

void
cut_caller_gone(size_t index)
{
    cut_hop_t *hop = &cut_sim.hops[index];
    forward_event_t event = {.kind = FORWARD_CALLER_DISCONNECTED,
                             .u.disconnected = index};

    if (hop->active) {
        cut_deliver(hop->host, &event);
        end_hop(hop);
    }
}

void
cut_host_lost(size_t host)
{
    forward_event_t end = {.kind = FORWARD_SEND_END,
                           .u.end.result = SEND_BROKEN};
    size_t i;

    for (i = 0; i < cut_sim.hop_count; i++) {
        cut_hop_t *hop = &cut_sim.hops[i];

        if (!hop->active || hop->host != host) {
            continue;
        }
        end_hop(hop);
        if (hop->leg != CUT_NONE) {
            cut_close(hop->leg);
        }
        if (hop->parent != CUT_NONE) {
            cut_push_reply(CUT_ONE_WAY_MS, hop->parent, &end);
        }
        else {
            end_try(hop, TRY_EXCLUDED);
        }
    }
}

static void
count_first_try(const cut_try_t *try)
{
    size_t i;

    for (i = 0; i < cut_sim.cut_count; i++) {
        const cut_t *cut = &cut_sim.cuts[i];
        partition_cut_result_t *result = &cut_sim.result.cuts[i];
        size_t later = try->arrived_ms - cut->start_ms >= CUT_CONTACT_MS;
        partition_share_t *share = cut->hosts[try->host]
                                       ? &result->cut_off[later]
                                       : &result->others[later];

        if (try->state != TRY_EXCLUDED && try->arrived_ms >= cut->start_ms &&
            try->arrived_ms < cut->end_ms) {
            share->sent++;
            share->served += try->state == TRY_SERVED ? 1 : 0;
        }
    }
}

void
cut_count_results(void)
{
    static const uint32_t attempts_max[] = {
        [REQUEST_SAFE] = ATTEMPTS_SAFE,
        [REQUEST_UNSAFE] = ATTEMPTS_UNSAFE,
        [REQUEST_STREAM] = ATTEMPTS_STREAM,
    };
    size_t i;
    size_t j;

    cut_sim.result.requests = (uint32_t)cut_sim.caller_count;
    for (i = 0; i < cut_sim.caller_count; i++) {
        const cut_caller_t *caller = &cut_sim.callers[i];

        count_first_try(&caller->tries[0]);
        for (j = 0; j < caller->try_count; j++) {
            const cut_try_t *try = &caller->tries[j];

            if (try->runs - try->excused > attempts_max[caller->type]) {
                cut_sim.result.excess_runs++;
            }
        }
    }
}
