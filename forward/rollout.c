/* rollout.c - the phases of a roll-out; see rollout.h. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/revision.h"
#include "forward/rollout.h"

enum {
    US_PER_MS = 1000,
    PERMILLE = 1000,
    /* Of the share that the new version may get: leaves room for chance and
     * for hosts that have restarted. */
    SHARE_USED_PERMILLE = 800,
    /* Of the slack, what may be used beyond the share, and what is meant to be
     * used while the version is judged: services with little traffic need it
     * for evidence. */
    SLACK_USED_PERMILLE = 600,
    SLACK_SPREAD_PERMILLE = 500,
    SHARE_MAX_PERMILLE = 500,
    /* Until the rate of requests is known. */
    RATE_MIN_MS = 500,
    FIRST_SHARE_FACTOR = 2,
    /* The earliest time to promote, after the order and after the first
     * runner: some versions turn bad seconds after their start. */
    PROMOTE_AFTER_PERMILLE = 400, /* of the duration */
    JUDGED_MIN_MS = 4500,
    /* Then a version is promoted that only lacks evidence, and a little later
     * it is rolled back if there is some against it: streams at the old
     * version need the rest of the time to end. */
    DECIDE_BY_PERMILLE = 550,
    DOUBT_UNTIL_PERMILLE = 650,
    /* All hosts know a phase after this time. */
    PHASE_SPREAD_MS = 1500,
    /* The status is written as long before the deadline, with or without
     * streams at the old version. */
    COMPLETE_BEFORE_MS = 1500,
    /* The new version needs as large a part of the old one's runners. */
    RUNNERS_MIN_PERCENT = 50,
    PERCENT = 100,
    /* Hosts write one after the other, until one of them has written. */
    WRITER_STEP_MS = 300,
    WRITER_STEPS_MAX = 10,
    WRITE_RETRY_MS = 500,
    CHECK_INTERVAL_MS = 200,
    RECORD_FIELDS = 3,
};

static const char *const phase_names[] = {
    [ROLLOUT_CANARY] = "canary",
    [ROLLOUT_PROMOTE] = "promote",
    [ROLLOUT_COMPLETED] = "completed",
    [ROLLOUT_ROLLED_BACK] = "rolled-back",
};

static void start(rollout_t *rollout, int64_t now_us,
                  const rollout_order_t *order, bool early);
static void apply_record(rollout_t *rollout, int64_t now_us);
static void set_phase(rollout_t *rollout, int64_t now_us,
                      rollout_phase_t phase);
static uint32_t add_slack(const rollout_t *rollout, int64_t now_us,
                          const rollout_limits_t *limits, uint32_t share,
                          uint32_t sent);
static bool is_written_again(const rollout_t *rollout,
                             const rollout_order_t *order);
static bool record_is_lost(const rollout_t *rollout);
static rollout_phase_t next_phase(const rollout_t *rollout,
                                  const rollout_view_t *view);
static rollout_phase_t after_canary(const rollout_t *rollout,
                                    const rollout_view_t *view);
static bool has_runners(const rollout_view_t *view);
static rollout_state_t state_of(rollout_phase_t phase);
static int64_t elapsed_ms(const rollout_t *rollout, int64_t now_us);
static bool write_is_due(rollout_key_t *key, bool wanted,
                         const rollout_view_t *view, uint32_t writers_before);

bool
rollout_set_order(rollout_t *rollout, int64_t now_us,
                  const rollout_order_t *order, bool early)
{
    if (order->revision == rollout->order_revision) {
        return false;
    }
    if (order->revision == 0) {
        rollout->order_revision = 0;
        rollout->withdrawn = true;
        return true;
    }
    if (revision_is_older(order->revision, rollout->order_revision)) {
        return false;
    }
    if (is_written_again(rollout, order)) {
        rollout->order_revision = order->revision;
        return false;
    }
    start(rollout, now_us, order, early);
    return true;
}

/* After the store was restored, the order in force has another revision. */
static bool
is_written_again(const rollout_t *rollout, const rollout_order_t *order)
{
    return rollout->order_revision != 0 &&
           !revision_same_era(order->revision, rollout->order_revision) &&
           order->duration_ms == rollout->duration_ms &&
           strcmp(order->version != NULL ? order->version : "",
                  rollout->version) == 0;
}

/* What is known of the store's keys stays. */
static void
start(rollout_t *rollout, int64_t now_us, const rollout_order_t *order,
      bool early)
{
    rollout_t next = {
        .order_revision = order->revision,
        .started_us = now_us,
        .duration_ms = order->duration_ms,
        .early = early,
        .invalid = order->duration_ms == 0 || order->version == NULL,
        .phase_us = now_us,
        .record = {.revision = rollout->record.revision},
        .recorded = rollout->recorded,
        .status = {.revision = rollout->status.revision},
        .status_state = rollout->status_state,
    };

    memcpy(next.status_version, rollout->status_version,
           sizeof(next.status_version));

    (void)snprintf(next.version, sizeof(next.version), "%s",
                   order->version != NULL ? order->version : "");
    *rollout = next;
    apply_record(rollout, now_us);
}

bool
rollout_set_record(rollout_t *rollout, int64_t now_us, const char *text,
                   int64_t revision)
{
    char name[ROLLOUT_RECORD_BYTES];
    rollout_record_t recorded;
    int phase;

    if (text == NULL) {
        rollout->record.revision = 0;
        return true;
    }
    if (revision_is_older(revision, rollout->record.revision)) {
        return true;
    }
    rollout->record.revision = revision;
    if (sscanf(text, "%" SCNd64 " %63s %" SCNu32, &recorded.order_revision,
               name, &recorded.elapsed_ms) != RECORD_FIELDS) {
        return false;
    }
    for (phase = ROLLOUT_CANARY; phase <= ROLLOUT_ROLLED_BACK; phase++) {
        if (strcmp(name, phase_names[phase]) == 0) {
            break;
        }
    }
    if (phase > ROLLOUT_ROLLED_BACK) {
        return false;
    }
    recorded.phase = (rollout_phase_t)phase;
    rollout->recorded = recorded;
    apply_record(rollout, now_us);
    return true;
}

/* The record may be read before its order. */
static void
apply_record(rollout_t *rollout, int64_t now_us)
{
    const rollout_record_t *recorded = &rollout->recorded;

    if (rollout->order_revision != 0 &&
        recorded->order_revision == rollout->order_revision) {
        set_phase(rollout, now_us, recorded->phase);
        rollout_set_elapsed(rollout, now_us, recorded->order_revision,
                            recorded->elapsed_ms);
    }
}

/* Nothing follows the last two phases, and none is followed by an earlier
 * one: an older copy of the store is read as if it were the newest. */
static void
set_phase(rollout_t *rollout, int64_t now_us, rollout_phase_t phase)
{
    if (phase > rollout->phase && rollout->phase < ROLLOUT_COMPLETED) {
        rollout->phase = phase;
        rollout->phase_us = now_us;
    }
}

void
rollout_set_status(rollout_t *rollout, const rollout_status_t *status)
{
    rollout->status.revision = status->revision;
    rollout->status_state = status->state;
    (void)snprintf(rollout->status_version, sizeof(rollout->status_version),
                   "%s", status->version != NULL ? status->version : "");
}

void
rollout_set_elapsed(rollout_t *rollout, int64_t now_us, int64_t order_revision,
                    uint32_t elapsed)
{
    int64_t started_us = now_us - (int64_t)elapsed * US_PER_MS;

    if (order_revision == rollout->order_revision &&
        started_us < rollout->started_us) {
        rollout->started_us = started_us;
    }
}

bool
rollout_is_known(const rollout_t *rollout)
{
    return rollout->order_revision != 0 || rollout->withdrawn;
}

bool
rollout_is_open(const rollout_t *rollout)
{
    return rollout->order_revision != 0 && rollout->phase < ROLLOUT_COMPLETED;
}

bool
rollout_excludes_new(const rollout_t *rollout)
{
    return rollout->phase == ROLLOUT_ROLLED_BACK ||
           (rollout->phase != ROLLOUT_COMPLETED &&
            (rollout->bad || rollout->invalid || rollout->withdrawn));
}

uint32_t
rollout_share(const rollout_t *rollout, int64_t now_us,
              const rollout_limits_t *limits,
              const canary_evidence_t *evidence, uint64_t route)
{
    canary_arm_t new_total;
    canary_arm_t old_total;
    uint64_t allowed;
    uint32_t share;

    if (rollout_excludes_new(rollout)) {
        return 0;
    }
    if (rollout->phase != ROLLOUT_CANARY) {
        return PERMILLE;
    }
    new_total = canary_total(evidence, true);
    old_total = canary_total(evidence, false);
    share = limits->share_permille * SHARE_USED_PERMILLE / PERMILLE;
    allowed = ((uint64_t)share * (new_total.sent + old_total.sent) +
               (uint64_t)limits->slack * SLACK_USED_PERMILLE) /
              PERMILLE;
    if (new_total.sent >= allowed && new_total.sent > 0) {
        return 0;
    }
    if (limits->slack > 0 && rollout->early) {
        share = add_slack(rollout, now_us, limits, share,
                          new_total.sent + old_total.sent);
    }
    return canary_route_share(evidence, route, share);
}

/* Adds to the share what spreads the slack over the requests that are expected
 * while the version is judged. */
static uint32_t
add_slack(const rollout_t *rollout, int64_t now_us,
          const rollout_limits_t *limits, uint32_t share, uint32_t sent)
{
    int64_t since_ms = elapsed_ms(rollout, now_us);
    uint64_t expected;

    if (since_ms < RATE_MIN_MS || sent == 0) {
        return share * FIRST_SHARE_FACTOR;
    }
    expected = (uint64_t)sent * rollout->duration_ms * PROMOTE_AFTER_PERMILLE /
               PERMILLE / (uint64_t)since_ms;
    share += expected > 0
                 ? (uint32_t)(limits->slack * (uint64_t)SLACK_SPREAD_PERMILLE /
                              expected)
                 : SHARE_MAX_PERMILLE;
    return share < SHARE_MAX_PERMILLE ? share : SHARE_MAX_PERMILLE;
}

void
rollout_check(rollout_t *rollout, const rollout_view_t *view,
              rollout_writes_t *writes)
{
    rollout_phase_t next;
    rollout_state_t state;

    *writes = (rollout_writes_t){0};
    if (!rollout_is_known(rollout)) {
        return;
    }
    if (rollout->runners_us == 0 && view->new_runners > 0) {
        rollout->runners_us = view->now_us;
    }
    rollout->bad |= view->verdict == CANARY_BAD || view->bad_told;
    next = next_phase(rollout, view);
    if (write_is_due(&rollout->record,
                     rollout->order_revision != 0 &&
                         (next != rollout->phase || record_is_lost(rollout)),
                     view, view->writers_before)) {
        rollout->record.pending = true;
        writes->put_record = true;
        (void)snprintf(writes->record, sizeof(writes->record),
                       "%" PRId64 " %s %" PRId64, rollout->order_revision,
                       phase_names[next], elapsed_ms(rollout, view->now_us));
    }
    state = (rollout->withdrawn || rollout->invalid) &&
                    rollout->phase != ROLLOUT_COMPLETED
                ? ROLLOUT_STATUS_ROLLED_BACK
                : state_of(rollout->phase);
    if (write_is_due(
            &rollout->status,
            rollout->version[0] != '\0' &&
                (rollout->status_state != state ||
                 strcmp(rollout->status_version, rollout->version) != 0),
            view, rollout->wrote_record ? 0 : view->writers_before)) {
        rollout->status.pending = true;
        writes->put_status = true;
        writes->status =
            (rollout_status_t){.version = rollout->version, .state = state};
    }
}

/* The phase was recorded for an earlier revision of the order in force. */
static bool
record_is_lost(const rollout_t *rollout)
{
    return rollout->phase != ROLLOUT_CANARY &&
           rollout->recorded.order_revision != rollout->order_revision;
}

static rollout_phase_t
next_phase(const rollout_t *rollout, const rollout_view_t *view)
{
    int64_t since_ms = (view->now_us - rollout->phase_us) / US_PER_MS;

    if (rollout->phase >= ROLLOUT_COMPLETED) {
        return rollout->phase;
    }
    if (rollout->bad || rollout->invalid) {
        return ROLLOUT_ROLLED_BACK;
    }
    if (rollout->phase == ROLLOUT_CANARY) {
        return after_canary(rollout, view);
    }
    if (since_ms >= PHASE_SPREAD_MS && has_runners(view) &&
        (view->old_streams == 0 ||
         elapsed_ms(rollout, view->now_us) + COMPLETE_BEFORE_MS >=
             (int64_t)rollout->duration_ms)) {
        return ROLLOUT_COMPLETED;
    }
    return ROLLOUT_PROMOTE;
}

/* Without any evidence against it a version is good; one that never had
 * runners has moved nothing. */
static rollout_phase_t
after_canary(const rollout_t *rollout, const rollout_view_t *view)
{
    int64_t elapsed = elapsed_ms(rollout, view->now_us);
    int64_t duration = rollout->duration_ms;
    int64_t judged_ms = rollout->runners_us > 0
                            ? (view->now_us - rollout->runners_us) / US_PER_MS
                            : 0;

    if (elapsed >= duration) {
        return has_runners(view) && view->verdict == CANARY_GOOD
                   ? ROLLOUT_PROMOTE
                   : ROLLOUT_ROLLED_BACK;
    }
    if (!has_runners(view) || !view->hosts_heard) {
        return ROLLOUT_CANARY;
    }
    if (view->verdict == CANARY_GOOD && judged_ms >= JUDGED_MIN_MS &&
        elapsed >= duration * PROMOTE_AFTER_PERMILLE / PERMILLE) {
        return ROLLOUT_PROMOTE;
    }
    if (view->verdict == CANARY_DOUBTFUL) {
        return elapsed >= duration * DOUBT_UNTIL_PERMILLE / PERMILLE
                   ? ROLLOUT_ROLLED_BACK
                   : ROLLOUT_CANARY;
    }
    return judged_ms >= JUDGED_MIN_MS &&
                   elapsed >= duration * DECIDE_BY_PERMILLE / PERMILLE
               ? ROLLOUT_PROMOTE
               : ROLLOUT_CANARY;
}

static bool
has_runners(const rollout_view_t *view)
{
    return view->new_runners > 0 &&
           (uint64_t)view->new_runners * PERCENT >=
               (uint64_t)view->old_runners * RUNNERS_MIN_PERCENT;
}

static rollout_state_t
state_of(rollout_phase_t phase)
{
    switch (phase) {
    case ROLLOUT_COMPLETED:
        return ROLLOUT_STATUS_COMPLETED;
    case ROLLOUT_ROLLED_BACK:
        return ROLLOUT_STATUS_ROLLED_BACK;
    default:
        return ROLLOUT_STATUS_IN_PROGRESS;
    }
}

static int64_t
elapsed_ms(const rollout_t *rollout, int64_t now_us)
{
    return (now_us - rollout->started_us) / US_PER_MS;
}

static bool
write_is_due(rollout_key_t *key, bool wanted, const rollout_view_t *view,
             uint32_t writers_before)
{
    uint32_t steps =
        writers_before < WRITER_STEPS_MAX ? writers_before : WRITER_STEPS_MAX;

    if (!wanted) {
        key->wanted_us = 0;
        return false;
    }
    if (key->wanted_us == 0) {
        key->wanted_us = view->now_us;
    }
    return !key->pending && view->now_us >= key->retry_at_us &&
           view->now_us - key->wanted_us >=
               (int64_t)steps * WRITER_STEP_MS * US_PER_MS;
}

void
rollout_record_written(rollout_t *rollout, int64_t now_us, bool failed,
                       bool done)
{
    rollout->record.pending = false;
    rollout->record.wanted_us = 0;
    rollout->wrote_record = done;
    rollout->record.retry_at_us =
        failed ? now_us + (int64_t)WRITE_RETRY_MS * US_PER_MS : 0;
}

void
rollout_status_written(rollout_t *rollout, int64_t now_us, bool failed)
{
    rollout->status.pending = false;
    rollout->status.retry_at_us =
        failed ? now_us + (int64_t)WRITE_RETRY_MS * US_PER_MS : 0;
}

int64_t
rollout_due_us(const rollout_t *rollout, int64_t now_us)
{
    bool busy = rollout_is_open(rollout) || rollout->record.wanted_us != 0 ||
                rollout->status.wanted_us != 0;

    return busy && rollout_is_known(rollout)
               ? now_us + (int64_t)CHECK_INTERVAL_MS * US_PER_MS
               : INT64_MAX;
}

const char *
rollout_phase_name(rollout_phase_t phase)
{
    return phase_names[phase];
}
