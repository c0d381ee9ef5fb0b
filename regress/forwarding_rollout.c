/* forwarding_rollout.c - script lines about rollouts. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>
#include <xxhash.h>

#include "regress/forwarding_private.h"

enum { ROLLBACK_MS = 5000 };

static const char *const state_names[] = {
    [ROLLOUT_STATUS_NONE] = "none",
    [ROLLOUT_STATUS_IN_PROGRESS] = "in_progress",
    [ROLLOUT_STATUS_COMPLETED] = "completed",
    [ROLLOUT_STATUS_ROLLED_BACK] = "rolled_back",
};

static char key[FORWARDING_TEXT_BYTES];
static char value[FORWARDING_TEXT_BYTES];

static int64_t
number_of(const line_t *line, const char *name)
{
    const char *text = line_value(line, name);

    return text != NULL ? strtoll(text, NULL, DECIMAL) : 0;
}

static rollout_status_t
status_of(const line_t *line)
{
    rollout_status_t status = {.service = line->words[1],
                               .version = line_value(line, "to"),
                               .revision = number_of(line, "rev")};
    int state;

    for (state = 0; state <= ROLLOUT_STATUS_ROLLED_BACK; state++) {
        if (line_has(line, state_names[state])) {
            status.state = (rollout_state_t)state;
        }
    }
    return status;
}

static forward_put_outcome_t
outcome_of(const line_t *line)
{
    return line_has(line, "ok")         ? FORWARD_PUT_DONE
           : line_has(line, "conflict") ? FORWARD_PUT_CONFLICT
                                        : FORWARD_PUT_FAILED;
}

/* phase=PHASE order=N elapsed=MS, as the store has it. */
static forward_record_t
phase_of(const line_t *line)
{
    const char *phase = line_value(line, "phase");

    (void)snprintf(key, sizeof(key), "agatevale/rollouts/%s", line->words[1]);
    (void)snprintf(value, sizeof(value), "%" PRId64 " %s %" PRId64,
                   number_of(line, "order"), phase != NULL ? phase : "",
                   number_of(line, "elapsed"));
    return (forward_record_t){.key = key,
                              .value = phase != NULL ? value : NULL,
                              .revision = number_of(line, "rev")};
}

/* What another host tells of a rollout, on one route that no request has. */
static void
read_told(const line_t *line, int64_t at_ms, forward_event_t *event)
{
    static placements_t placements;
    static rollout_report_t report;

    report = (rollout_report_t){
        .service = XXH3_64bits(line->words[2], strlen(line->words[2])),
        .order_revision = number_of(line, "order"),
        .elapsed_ms = (uint32_t)number_of(line, "elapsed"),
        .bad = line_has(line, "bad"),
    };
    placements = (placements_t){
        .number = (uint64_t)at_ms,
        .rollouts = {.rollouts_len = 1, .rollouts_val = &report}};
    event->kind = FORWARD_PEER_REPORT;
    event->u.peer.host = line->words[1];
    event->u.peer.placements = &placements;
}

bool
line_rollout(const line_t *line, int64_t at_ms, forward_event_t *event)
{
    const char *word = line->words[0];

    if (strcmp(word, "order") == 0) {
        event->kind = FORWARD_ROLLOUT_ORDER;
        event->u.order = (rollout_order_t){
            .service = line->words[1],
            .version = line_value(line, "to"),
            .duration_ms = (uint32_t)number_of(line, "duration"),
            .revision = number_of(line, "rev"),
        };
    }
    else if (strcmp(word, "status") == 0) {
        event->kind = FORWARD_ROLLOUT_STATUS;
        event->u.status = status_of(line);
    }
    else if (strcmp(word, "status-written") == 0) {
        event->kind = FORWARD_ROLLOUT_WRITTEN;
        event->u.rollout_written.outcome = outcome_of(line);
        event->u.rollout_written.status = status_of(line);
    }
    else if (strcmp(word, "phase") == 0) {
        event->kind = FORWARD_RECORD;
        event->u.record = phase_of(line);
    }
    else if (strcmp(word, "phase-written") == 0) {
        event->kind = FORWARD_PUT_RESULT;
        event->u.put.outcome = outcome_of(line);
        event->u.put.record = phase_of(line);
    }
    else if (strcmp(word, "told") == 0) {
        read_told(line, at_ms, event);
    }
    else if (strcmp(word, "share") == 0) {
        event->kind = FORWARD_LIMITS;
        event->u.limits = forwarding_limits(REVOKE_MS);
        event->u.limits.rollouts = (rollout_limits_t){
            .share_permille = (uint32_t)line_number(line, 1),
            .slack = (uint32_t)line_number(line, 2),
            .rollback_ms = ROLLBACK_MS,
        };
    }
    else {
        return false;
    }
    return true;
}

void
rollout_print(const rollout_status_t *status, char *text, size_t room)
{
    (void)snprintf(text, room, "status %s %s to=%s rev=%" PRId64,
                   status->service, state_names[status->state],
                   status->version, status->revision);
}
