/* history.c - checks what one caller saw of one request. */
#include "regress/history.h"

/* What has been seen up to one event. */
typedef struct {
    const history_request_t *request;
    uint32_t held; /* tokens of the answer that the caller holds */
    bool ended;
    bool refused;
    bool all_not_run; /* nothing came but refusals that say not-run */
} state_t;

static history_fault_t check_event(state_t *state,
                                   const history_event_t *event);
static history_fault_t check_piece(state_t *state,
                                   const history_event_t *event);
static history_fault_t check_end(state_t *state, const history_event_t *event);
static history_fault_t check_outcome(const state_t *state);
static bool matches_at(const history_request_t *request,
                       const history_event_t *event, uint32_t position);
static bool matches_elsewhere(const history_request_t *request,
                              const history_event_t *event);

static bool
matches_at(const history_request_t *request, const history_event_t *event,
           uint32_t position)
{
    if (position > request->expected_count ||
        event->id_count > request->expected_count - position) {
        return false;
    }
    for (uint32_t i = 0; i < event->id_count; i++) {
        if (request->ids[event->first_id + i] !=
            request->expected_ids[position + i]) {
            return false;
        }
    }
    return true;
}

static bool
matches_elsewhere(const history_request_t *request,
                  const history_event_t *event)
{
    for (uint32_t at = 0; at < request->expected_count; at++) {
        if (matches_at(request, event, at)) {
            return true;
        }
    }
    return false;
}

static history_fault_t
check_piece(state_t *state, const history_event_t *event)
{
    if (state->ended) {
        return HISTORY_DOUBLED;
    }
    if (event->named_other) {
        return HISTORY_FOREIGN;
    }
    if (event->position > state->held) {
        return HISTORY_MISSING;
    }
    if (event->position < state->held) {
        return HISTORY_REPEATED;
    }
    if (!matches_at(state->request, event, state->held)) {
        return matches_elsewhere(state->request, event) ? HISTORY_MIXED
                                                        : HISTORY_FOREIGN;
    }
    state->held += event->id_count;
    return HISTORY_GOOD;
}

static history_fault_t
check_end(state_t *state, const history_event_t *event)
{
    if (state->ended) {
        return HISTORY_DOUBLED;
    }
    if (event->named_other) {
        return HISTORY_FOREIGN;
    }
    if (state->held < state->request->expected_count) {
        return HISTORY_MISSING;
    }
    state->ended = true;
    return event->clean ? HISTORY_GOOD : HISTORY_UNCLEAN;
}

static history_fault_t
check_event(state_t *state, const history_event_t *event)
{
    switch (event->kind) {
    case HISTORY_PIECE:
        state->all_not_run = false;
        return check_piece(state, event);
    case HISTORY_END:
        state->all_not_run = false;
        return check_end(state, event);
    case HISTORY_REFUSED:
        state->refused = true;
        state->all_not_run &= event->run == HISTORY_NOT_RUN;
        return HISTORY_GOOD;
    case HISTORY_LOST:
        state->all_not_run = false;
        return HISTORY_GOOD;
    case HISTORY_UNSENT:
        return HISTORY_GOOD;
    }
    return HISTORY_FOREIGN;
}

static history_fault_t
check_outcome(const state_t *state)
{
    const history_request_t *request = state->request;
    bool not_run = state->refused && state->all_not_run;

    if (!request->idempotent && request->starts > 1) {
        return HISTORY_STARTED_TWICE;
    }
    if (not_run && !request->shared && request->starts > 0) {
        return HISTORY_RAN_REFUSED;
    }
    if (state->ended || not_run || (state->refused && request->may_fail)) {
        return HISTORY_GOOD;
    }
    if (!request->idempotent && state->refused) {
        return HISTORY_GOOD;
    }
    return HISTORY_INCOMPLETE;
}

history_finding_t
history_check(const history_request_t *request)
{
    state_t state = {.request = request, .all_not_run = true};
    history_fault_t fault = HISTORY_GOOD;
    size_t at;

    for (at = 0; at < request->event_count; at++) {
        fault = check_event(&state, &request->events[at]);
        if (fault != HISTORY_GOOD) {
            break;
        }
    }
    if (fault == HISTORY_GOOD) {
        fault = check_outcome(&state);
    }
    return (history_finding_t){fault, at, state.held};
}

const char *
history_fault_name(history_fault_t fault)
{
    static const char *const names[] = {
        [HISTORY_GOOD] = "good",
        [HISTORY_MISSING] = "tokens missing",
        [HISTORY_REPEATED] = "tokens repeated",
        [HISTORY_FOREIGN] = "tokens of another request",
        [HISTORY_MIXED] = "generations mixed",
        [HISTORY_DOUBLED] = "answered twice",
        [HISTORY_UNCLEAN] = "text or finish reason wrong",
        [HISTORY_INCOMPLETE] = "accepted and never ended",
        [HISTORY_STARTED_TWICE] = "non-idempotent, started twice",
        [HISTORY_RAN_REFUSED] = "said not-run, was started",
    };

    return names[fault];
}

uint64_t
history_gap_us(const history_request_t *request)
{
    uint64_t since = request->begun_us, gap = 0;

    for (size_t i = 0; i < request->event_count; i++) {
        const history_event_t *event = &request->events[i];

        if (event->kind != HISTORY_PIECE) {
            continue;
        }
        if (event->time_us - since > gap) {
            gap = event->time_us - since;
        }
        since = event->time_us;
    }
    return gap;
}

bool
history_recovered(const history_request_t *request)
{
    for (size_t i = 0; i < request->event_count; i++) {
        if (request->events[i].kind == HISTORY_LOST) {
            return true;
        }
    }
    return request->starts > 1;
}
