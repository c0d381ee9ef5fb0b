/* forwarding_print.c - prints actions and log lines for comparison. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "regress/forwarding_private.h"

static char printed[FORWARDING_TEXT_BYTES];
static char noted[FORWARDING_TEXT_BYTES];

static void print_line(const forward_action_t *action);
static void print_record(const forward_record_t *record);
static void print_rollout(const rollout_status_t *status);
static void print_send(const send_action_t *send);
static void print_grant(const send_action_t *send);
static void print_action(const forward_action_t *action);

void
actions_clear(void)
{
    printed[0] = '\0';
    noted[0] = '\0';
}

void
actions_print(const forward_action_t *action)
{
    print_line(action);
    if (action->kind == FORWARD_ACTION_PUT_RECORD) {
        print_record(&action->u.record);
    }
    else if (action->kind == FORWARD_ACTION_PUT_ROLLOUT) {
        print_rollout(&action->u.rollout);
    }
    else {
        print_action(action);
    }
}

const char *
actions_printed(void)
{
    return printed;
}

const char *
actions_logged(void)
{
    return noted;
}

static void
print_line(const forward_action_t *action)
{
    const request_record_t *ended = &action->u.ended;
    size_t used = strlen(noted);
    size_t room = sizeof(noted) - used;

    if (action->kind == FORWARD_ACTION_LOG) {
        (void)snprintf(noted + used, room, "%s %s\n", action->u.log.event,
                       action->u.log.text);
    }
    else if (action->kind == FORWARD_ACTION_RECORD_END) {
        (void)snprintf(noted + used, room,
                       "end request=%s outcome=%s reason=%s status=%" PRIu32
                       " runs=%" PRIu32 " routing=%" PRId64 "\n",
                       ended->id, ended->outcome, ended->reason, ended->status,
                       ended->runs, ended->routing_version);
    }
}

static void
print_record(const forward_record_t *record)
{
    size_t used = strlen(printed);

    (void)snprintf(printed + used, sizeof(printed) - used, "%s",
                   used > 0 ? "; " : "");
    used = strlen(printed);
    record_print(record, printed + used, sizeof(printed) - used);
}

static void
print_rollout(const rollout_status_t *status)
{
    size_t used = strlen(printed);

    (void)snprintf(printed + used, sizeof(printed) - used, "%s",
                   used > 0 ? "; " : "");
    used = strlen(printed);
    rollout_print(status, printed + used, sizeof(printed) - used);
}

/* What the host that a request is relayed to may use. */
static void
print_grant(const send_action_t *send)
{
    size_t used = strlen(printed);

    if (send->host != NULL) {
        (void)snprintf(printed + used, sizeof(printed) - used,
                       " grant=%" PRIu32 ":%" PRIu32 ":%" PRIu32,
                       send->grant.attempts, send->grant.deliveries,
                       send->grant.runner_count);
    }
}

static void
print_send(const send_action_t *send)
{
    size_t used = strlen(printed);

    (void)snprintf(printed + used, sizeof(printed) - used,
                   ".%" PRIu32 " %s%s%s%s%s%s%s%s", send->attempt,
                   send->host != NULL ? send->host : send->runner,
                   send->restore_address != NULL ? " restore=" : "",
                   send->restore_address != NULL ? send->restore_address : "",
                   send->restore_address != NULL ? "/" : "",
                   send->restore_address != NULL ? send->restore_name : "",
                   send->backup_address != NULL ? " backup=" : "",
                   send->backup_address != NULL ? send->backup_address : "",
                   send->last_event_id >= 0 ? " resume" : "");
    print_grant(send);
}

static void
print_action(const forward_action_t *action)
{
    static const char *const words[] = {
        [FORWARD_ACTION_SEND] = "send",
        [FORWARD_ACTION_CANCEL] = "cancel",
        [FORWARD_ACTION_RELAY_HEAD] = "begin",
        [FORWARD_ACTION_RELAY_RESPONSE] = "answer",
        [FORWARD_ACTION_FINISH] = "finish",
        [FORWARD_ACTION_REFUSE] = "refuse",
        [FORWARD_ACTION_COPY] = "copy",
        [FORWARD_ACTION_FREE_COPY] = "drop",
        [FORWARD_ACTION_ABORT] = "break",
        [FORWARD_ACTION_PROBE] = "probe",
        [FORWARD_ACTION_CONFIRM_VIEW] = "confirm",
    };
    size_t used = strlen(printed);
    char *at = printed + used;
    size_t room = sizeof(printed) - used;

    if (action->kind == FORWARD_ACTION_LOG ||
        action->kind == FORWARD_ACTION_PUBLISH ||
        action->kind == FORWARD_ACTION_RECORD_RESUME ||
        action->kind == FORWARD_ACTION_RECORD_END) {
        return;
    }
    used += (size_t)snprintf(at, room, "%s%s %" PRIu64, used > 0 ? "; " : "",
                             words[action->kind], action->number);
    at = printed + used;
    room = sizeof(printed) - used;
    switch (action->kind) {
    case FORWARD_ACTION_SEND:
        print_send(&action->u.send);
        return;
    case FORWARD_ACTION_REFUSE:
    case FORWARD_ACTION_ABORT:
        (void)snprintf(at, room, " %s %" PRIu32 "%s",
                       refuse_reason_name(action->u.refuse.reason),
                       action->u.refuse.status,
                       action->u.refuse.not_run ? " not-run" : "");
        if (action->u.refuse.retry_after_ms > 0) {
            used = strlen(printed);
            (void)snprintf(printed + used, sizeof(printed) - used,
                           " after=%" PRIu32, action->u.refuse.retry_after_ms);
        }
        return;
    case FORWARD_ACTION_PROBE:
        (void)snprintf(at, room, " %s", action->u.probe.runner);
        return;
    case FORWARD_ACTION_FREE_COPY:
        (void)snprintf(at, room, " %s/%s", action->u.drop_copy.address,
                       action->u.drop_copy.name);
        return;
    case FORWARD_ACTION_COPY:
        (void)snprintf(at, room, ".%" PRIu32 " %s", action->u.copy.attempt,
                       action->u.copy.to);
        return;
    case FORWARD_ACTION_FINISH:
    case FORWARD_ACTION_CONFIRM_VIEW:
        return;
    default:
        (void)snprintf(at, room, ".%" PRIu32, action->u.attempt);
        return;
    }
}
