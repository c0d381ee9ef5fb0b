/*
 * test_rollout.c - tests the phases of one rollout on one host.
 *
 * Each table guards against one failure: of a host, of the store, of the
 * order, or of the new version's runners.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <check.h>

#include "base/random.h"
#include "forward/rollout.h"
#include "regress/fixture.h"

enum {
    STEPS_MAX = 12,
    US_PER_MS = 1000,
    PERMILLE = 1000,
    WRITES_BYTES = 256,
    /* Of all tables: decisions from 6,400 ms on, 8,800 ms without evidence,
     * 10,400 ms in doubt; completed from 14,500 ms on. */
    DURATION_MS = 16000,
};

typedef enum {
    STEP_END,
    STEP_ORDER,
    STEP_RECORD,
    STEP_STATUS,
    STEP_ELAPSED,
    STEP_WRITTEN,        /* the record */
    STEP_STATUS_WRITTEN, /* both succeed if their text is "ok" */
    STEP_CHECK,
} step_kind_t;

typedef struct {
    int64_t at_ms;
    step_kind_t kind;
    const char *text; /* version, record, outcome, or expected writes */
    int64_t revision;
    uint32_t ms; /* duration, or elapsed time */
    rollout_state_t state;
    rollout_view_t view;
} step_t;

typedef struct {
    const char *name;
    step_t steps[STEPS_MAX];
    rollout_phase_t phase; /* at the end */
    bool excludes_new;
} case_t;

#define ORDER(at, version, revision)                                          \
    {                                                                         \
        at, STEP_ORDER, version, revision, DURATION_MS, 0,                    \
        {                                                                     \
            0                                                                 \
        }                                                                     \
    }
#define ORDER_FOR(at, version, revision, duration_ms)                         \
    {                                                                         \
        at, STEP_ORDER, version, revision, duration_ms, 0,                    \
        {                                                                     \
            0                                                                 \
        }                                                                     \
    }
#define WITHDRAWN(at)                                                         \
    {                                                                         \
        at, STEP_ORDER, NULL, 0, 0, 0,                                        \
        {                                                                     \
            0                                                                 \
        }                                                                     \
    }
#define RECORD(at, text, revision)                                            \
    {                                                                         \
        at, STEP_RECORD, text, revision, 0, 0,                                \
        {                                                                     \
            0                                                                 \
        }                                                                     \
    }
#define STATUS(at, version, state, revision)                                  \
    {                                                                         \
        at, STEP_STATUS, version, revision, 0, ROLLOUT_STATUS_##state,        \
        {                                                                     \
            0                                                                 \
        }                                                                     \
    }
#define ELAPSED(at, revision, ms)                                             \
    {                                                                         \
        at, STEP_ELAPSED, NULL, revision, ms, 0,                              \
        {                                                                     \
            0                                                                 \
        }                                                                     \
    }
#define WRITTEN(at, outcome)                                                  \
    {                                                                         \
        at, STEP_WRITTEN, outcome, 0, 0, 0,                                   \
        {                                                                     \
            0                                                                 \
        }                                                                     \
    }
#define STATUS_WRITTEN(at, outcome)                                           \
    {                                                                         \
        at, STEP_STATUS_WRITTEN, outcome, 0, 0, 0,                            \
        {                                                                     \
            0                                                                 \
        }                                                                     \
    }
#define CHECK_VIEW(at, verdict_, writes, runners, streams, heard, before,     \
                   told)                                                      \
    {                                                                         \
        at, STEP_CHECK, writes, 0, 0, 0,                                      \
        {                                                                     \
            .verdict = CANARY_##verdict_, .new_runners = (runners),           \
            .old_runners = 4, .old_streams = (streams),                       \
            .hosts_heard = (heard), .writers_before = (before),               \
            .bad_told = (told)                                                \
        }                                                                     \
    }
/* All runners are there, and enough hosts are heard. */
#define CHECK(at, verdict, writes)                                            \
    CHECK_VIEW(at, verdict, writes, 4, 0, true, 0, false)
#define CHECK_RUNNERS(at, verdict, writes, runners)                           \
    CHECK_VIEW(at, verdict, writes, runners, 0, true, 0, false)
#define CHECK_STREAMS(at, verdict, writes, streams)                           \
    CHECK_VIEW(at, verdict, writes, 4, streams, true, 0, false)
#define CHECK_UNHEARD(at, verdict, writes)                                    \
    CHECK_VIEW(at, verdict, writes, 4, 0, false, 0, false)
#define CHECK_BEFORE(at, verdict, writes, before)                             \
    CHECK_VIEW(at, verdict, writes, 4, 0, true, before, false)
#define CHECK_TOLD(at, verdict, writes)                                       \
    CHECK_VIEW(at, verdict, writes, 4, 0, true, 0, true)
#define IN_PROGRESS(at, revision) STATUS(at, "2", IN_PROGRESS, revision)

static const case_t cases[] = {
    {"the whole course of a good version",
     {ORDER(0, "2", 9), CHECK(200, UNDECIDED, "status in_progress 2"),
      STATUS_WRITTEN(210, "ok"), IN_PROGRESS(210, 10), CHECK(6399, GOOD, ""),
      CHECK(6400, GOOD, "record 9 promote"), WRITTEN(6410, "ok"),
      RECORD(6410, "9 promote 6400", 11), CHECK(7909, GOOD, ""),
      CHECK(7910, GOOD, "record 9 completed"),
      RECORD(7920, "9 completed 7910", 12)},
     ROLLOUT_COMPLETED,
     false},
    {"a bad version is excluded before anything is written",
     {ORDER(0, "2", 9), IN_PROGRESS(10, 10), CHECK_BEFORE(3000, BAD, "", 9)},
     ROLLOUT_CANARY,
     true},
    {"a verdict of another host binds this one",
     {ORDER(0, "2", 9), IN_PROGRESS(10, 10),
      CHECK_TOLD(3000, GOOD, "record 9 rolled-back")},
     ROLLOUT_CANARY,
     true},
    {"a verdict stays when the evidence is gone",
     {ORDER(0, "2", 9), IN_PROGRESS(10, 10),
      CHECK(3000, BAD, "record 9 rolled-back"), WRITTEN(3100, "failed"),
      CHECK(3599, GOOD, ""), CHECK(3600, GOOD, "record 9 rolled-back")},
     ROLLOUT_CANARY,
     true},
    {"a version that turns bad during the promotion is rolled back",
     {ORDER(0, "2", 9), IN_PROGRESS(10, 10),
      RECORD(6410, "9 promote 6400", 11),
      CHECK(7000, BAD, "record 9 rolled-back")},
     ROLLOUT_PROMOTE,
     true},
    {"killed between the record and the status: the next host writes it",
     {ORDER(0, "2", 9), IN_PROGRESS(10, 10),
      RECORD(8000, "9 completed 8000", 12), CHECK_BEFORE(8000, GOOD, "", 2),
      CHECK_BEFORE(8599, GOOD, "", 2),
      CHECK_BEFORE(8600, GOOD, "status completed 2", 2)},
     ROLLOUT_COMPLETED,
     false},
    {"a host that starts after the kill writes the status",
     {RECORD(0, "9 rolled-back 3000", 12), IN_PROGRESS(0, 10),
      ORDER(0, "2", 9), CHECK(0, UNDECIDED, "status rolled_back 2")},
     ROLLOUT_ROLLED_BACK,
     true},
    {"the host that wrote the record writes the status at once",
     {ORDER(0, "2", 9), IN_PROGRESS(10, 10), CHECK_BEFORE(3000, BAD, "", 1),
      CHECK_BEFORE(3300, BAD, "record 9 rolled-back", 1), WRITTEN(3310, "ok"),
      RECORD(3310, "9 rolled-back 3300", 12),
      CHECK_BEFORE(3310, BAD, "status rolled_back 2", 1)},
     ROLLOUT_ROLLED_BACK,
     true},
    {"a lost answer of a write that took effect",
     {ORDER(0, "2", 9), IN_PROGRESS(10, 10), CHECK(10, UNDECIDED, ""),
      CHECK(6400, GOOD, "record 9 promote"), WRITTEN(6500, "failed"),
      CHECK(6999, GOOD, ""), CHECK(7000, GOOD, "record 9 promote"),
      WRITTEN(7010, "ok"), RECORD(7010, "9 promote 6400", 11),
      CHECK(7020, GOOD, "")},
     ROLLOUT_PROMOTE,
     false},
    {"a lost answer of the status: it is written again",
     {ORDER(0, "2", 9), CHECK(0, UNDECIDED, "status in_progress 2"),
      CHECK(200, UNDECIDED, ""), STATUS_WRITTEN(300, "failed"),
      CHECK(799, UNDECIDED, ""),
      CHECK(800, UNDECIDED, "status in_progress 2")},
     ROLLOUT_CANARY,
     false},
    {"another writer was first: its phase holds",
     {ORDER(0, "2", 9), IN_PROGRESS(10, 10), CHECK(10, UNDECIDED, ""),
      CHECK(6400, GOOD, "record 9 promote"), WRITTEN(6410, "conflict"),
      RECORD(6410, "9 rolled-back 6300", 11), CHECK_BEFORE(6420, GOOD, "", 1),
      CHECK_BEFORE(6720, GOOD, "status rolled_back 2", 1)},
     ROLLOUT_ROLLED_BACK,
     true},
    {"hosts write one after the other",
     {ORDER(0, "2", 9), IN_PROGRESS(10, 10), CHECK(10, UNDECIDED, ""),
      CHECK_BEFORE(6400, GOOD, "", 3), CHECK_BEFORE(7299, GOOD, "", 3),
      CHECK_BEFORE(7300, GOOD, "record 9 promote", 3)},
     ROLLOUT_CANARY,
     false},
    {"the last of very many hosts writes after 3 s",
     {ORDER(0, "2", 9), IN_PROGRESS(10, 10), CHECK(10, UNDECIDED, ""),
      CHECK_BEFORE(6400, GOOD, "", 290), CHECK_BEFORE(9399, GOOD, "", 290),
      CHECK_BEFORE(9400, GOOD, "record 9 promote", 290)},
     ROLLOUT_CANARY,
     false},
    {"an older copy of the record does not take a phase back",
     {ORDER(0, "2", 9), IN_PROGRESS(10, 10),
      RECORD(6400, "9 promote 6400", 11), RECORD(8000, "9 completed 8000", 12),
      RECORD(8100, "9 promote 6400", 11), RECORD(8100, "9 canary 100", 13),
      RECORD(8100, "9 rolled-back 100", 14)},
     ROLLOUT_COMPLETED,
     false},
    {"an older copy without the record does not take a phase back",
     {ORDER(0, "2", 9), IN_PROGRESS(10, 10),
      RECORD(6400, "9 rolled-back 6400", 11), RECORD(8100, NULL, 0)},
     ROLLOUT_ROLLED_BACK,
     true},
    {"an older copy of the order does not start the older one",
     {ORDER(0, "2", 9), IN_PROGRESS(10, 10),
      RECORD(6400, "9 completed 6400", 11), ORDER(8100, "1", 5)},
     ROLLOUT_COMPLETED,
     false},
    {"a record of an earlier order says nothing of this one",
     {RECORD(0, "5 rolled-back 3000", 7), ORDER(0, "2", 9),
      STATUS(0, "1", ROLLED_BACK, 8),
      CHECK(0, UNDECIDED, "status in_progress 2")},
     ROLLOUT_CANARY,
     false},
    {"a damaged record leaves the phase",
     {ORDER(0, "2", 9), IN_PROGRESS(10, 10), RECORD(100, "9 promote 100", 11),
      RECORD(200, "", 12), RECORD(200, "9 odd 100", 13),
      RECORD(200, "x completed 1", 14), RECORD(200, "9 completed", 15)},
     ROLLOUT_PROMOTE,
     false},
    {"an order that is written again starts anew",
     {ORDER(0, "2", 9), IN_PROGRESS(10, 10),
      RECORD(3000, "9 rolled-back 3000", 11),
      STATUS(3100, "2", ROLLED_BACK, 12), ORDER(20000, "2", 20),
      CHECK(20000, UNDECIDED, "status in_progress 2"), IN_PROGRESS(20010, 21),
      CHECK(26399, GOOD, ""), CHECK(26400, GOOD, "record 20 promote")},
     ROLLOUT_CANARY,
     false},
    {"an order that is read again changes nothing",
     {ORDER(0, "2", 9), IN_PROGRESS(10, 10),
      CHECK(3000, BAD, "record 9 rolled-back"), ORDER(3100, "2", 9)},
     ROLLOUT_CANARY,
     true},
    {"an order that is withdrawn keeps the new version out",
     {ORDER(0, "2", 9), IN_PROGRESS(10, 10), WITHDRAWN(1000),
      CHECK(1000, GOOD, "status rolled_back 2")},
     ROLLOUT_CANARY,
     true},
    {"an order that is withdrawn when completed keeps the new version",
     {ORDER(0, "2", 9), STATUS(10, "2", COMPLETED, 13),
      RECORD(8000, "9 completed 8000", 12), WITHDRAWN(9000),
      CHECK(9000, GOOD, "")},
     ROLLOUT_COMPLETED,
     false},
    {"without an order nothing is written",
     {WITHDRAWN(0), RECORD(0, "9 promote 6400", 11)},
     ROLLOUT_CANARY,
     false},
    {"a duration of 0 is rolled back",
     {ORDER_FOR(0, "2", 9, 0), IN_PROGRESS(0, 10),
      CHECK(0, GOOD, "record 9 rolled-back; status rolled_back 2"),
      RECORD(10, "9 rolled-back 0", 11), STATUS(10, "2", ROLLED_BACK, 12),
      CHECK(10, GOOD, "")},
     ROLLOUT_ROLLED_BACK,
     true},
    {"an order without a version is rolled back, and names none",
     {ORDER(0, NULL, 9), CHECK(0, GOOD, "record 9 rolled-back"),
      RECORD(10, "9 rolled-back 0", 11), CHECK(10, GOOD, "")},
     ROLLOUT_ROLLED_BACK,
     true},
    {"a version without runners is rolled back at the deadline",
     {ORDER(0, "2", 9), IN_PROGRESS(0, 10),
      CHECK_RUNNERS(15999, UNDECIDED, "", 0),
      CHECK_RUNNERS(16000, UNDECIDED, "record 9 rolled-back", 0)},
     ROLLOUT_CANARY,
     false},
    {"a version with few runners is not promoted",
     {ORDER(0, "2", 9), IN_PROGRESS(0, 10),
      CHECK_RUNNERS(100, UNDECIDED, "", 1), CHECK_RUNNERS(9000, GOOD, "", 1),
      CHECK_RUNNERS(9100, GOOD, "record 9 promote", 2)},
     ROLLOUT_CANARY,
     false},
    {"runners that start late are judged for 4.5 s",
     {ORDER(0, "2", 9), IN_PROGRESS(0, 10),
      CHECK_RUNNERS(3000, UNDECIDED, "", 0), CHECK(4000, UNDECIDED, ""),
      CHECK(8499, GOOD, ""), CHECK(8500, GOOD, "record 9 promote")},
     ROLLOUT_CANARY,
     false},
    {"hosts that are cut off do not promote on their own evidence",
     {ORDER(0, "2", 9), IN_PROGRESS(0, 10), CHECK(100, UNDECIDED, ""),
      CHECK_UNHEARD(6400, GOOD, ""), CHECK_UNHEARD(10400, DOUBTFUL, ""),
      CHECK_UNHEARD(15999, GOOD, "")},
     ROLLOUT_CANARY,
     false},
    {"a bad verdict does not wait for other hosts",
     {ORDER(0, "2", 9), IN_PROGRESS(0, 10),
      CHECK_UNHEARD(3000, BAD, "record 9 rolled-back")},
     ROLLOUT_CANARY,
     true},
    {"without evidence against it a version is promoted",
     {ORDER(0, "2", 9), IN_PROGRESS(0, 10), CHECK(100, UNDECIDED, ""),
      CHECK(8799, UNDECIDED, ""), CHECK(8800, UNDECIDED, "record 9 promote")},
     ROLLOUT_CANARY,
     false},
    {"a version in doubt is rolled back",
     {ORDER(0, "2", 9), IN_PROGRESS(0, 10), CHECK(100, UNDECIDED, ""),
      CHECK(10399, DOUBTFUL, ""),
      CHECK(10400, DOUBTFUL, "record 9 rolled-back")},
     ROLLOUT_CANARY,
     false},
    {"undecided at the deadline: rolled back",
     {ORDER(0, "2", 9), IN_PROGRESS(0, 10),
      CHECK_UNHEARD(15999, UNDECIDED, ""),
      CHECK_UNHEARD(16000, UNDECIDED, "record 9 rolled-back")},
     ROLLOUT_CANARY,
     false},
    {"in doubt at the deadline: rolled back",
     {ORDER(0, "2", 9), IN_PROGRESS(0, 10), CHECK_UNHEARD(15999, DOUBTFUL, ""),
      CHECK_UNHEARD(16000, DOUBTFUL, "record 9 rolled-back")},
     ROLLOUT_CANARY,
     false},
    {"the promotion waits for streams at the old version",
     {ORDER(0, "2", 9), IN_PROGRESS(0, 10), RECORD(6400, "9 promote 6400", 11),
      CHECK_STREAMS(8000, GOOD, "", 1), CHECK_STREAMS(14499, GOOD, "", 1),
      CHECK_STREAMS(14500, GOOD, "record 9 completed", 1)},
     ROLLOUT_PROMOTE,
     false},
    {"the promotion waits until all hosts know of it",
     {ORDER(0, "2", 9), IN_PROGRESS(0, 10), RECORD(6400, "9 promote 6400", 11),
      CHECK(7899, GOOD, ""), CHECK(7900, GOOD, "record 9 completed")},
     ROLLOUT_PROMOTE,
     false},
    {"old runners do not stop while the new version has none",
     {ORDER(0, "2", 9), IN_PROGRESS(0, 10), RECORD(6400, "9 promote 6400", 11),
      CHECK_RUNNERS(8000, GOOD, "", 0), CHECK_RUNNERS(15900, GOOD, "", 0)},
     ROLLOUT_PROMOTE,
     false},
    {"a version is not promoted before its runners had requests",
     {ORDER(0, "2", 9), IN_PROGRESS(0, 10),
      CHECK_RUNNERS(8700, UNDECIDED, "", 0), CHECK(8800, UNDECIDED, ""),
      CHECK(13299, UNDECIDED, ""),
      CHECK(13300, UNDECIDED, "record 9 promote")},
     ROLLOUT_CANARY,
     false},
    {"a host that starts late takes the time from another host",
     {ORDER(5000, "2", 9), IN_PROGRESS(5000, 10), ELAPSED(5000, 9, 5000),
      CHECK(5000, UNDECIDED, ""), CHECK(9499, GOOD, ""),
      CHECK(9500, GOOD, "record 9 promote")},
     ROLLOUT_CANARY,
     false},
    {"the time of another order does not count",
     {ORDER(5000, "2", 9), IN_PROGRESS(5000, 10), ELAPSED(5000, 8, 90000),
      CHECK(5000, UNDECIDED, ""), CHECK(11399, GOOD, ""),
      CHECK(11400, GOOD, "record 9 promote")},
     ROLLOUT_CANARY,
     false},
};

static const char *const state_names[] = {"none", "in_progress", "completed",
                                          "rolled_back"};

/* The elapsed time at the end of a record is left out. */
static void
print_writes(const rollout_writes_t *writes, char *text, size_t room)
{
    int used = 0;

    text[0] = '\0';
    if (writes->put_record) {
        used = snprintf(text, room, "record %.*s",
                        (int)(strrchr(writes->record, ' ') - writes->record),
                        writes->record);
    }
    if (writes->put_status) {
        (void)snprintf(text + used, room - (size_t)used, "%sstatus %s %s",
                       used > 0 ? "; " : "", state_names[writes->status.state],
                       writes->status.version);
    }
}

static void
do_step(const case_t *test, rollout_t *rollout, const step_t *step)
{
    int64_t now_us = step->at_ms * US_PER_MS;
    rollout_view_t view = step->view;
    rollout_writes_t writes;
    char text[WRITES_BYTES];

    switch (step->kind) {
    case STEP_ORDER:
        rollout_set_order(rollout, now_us,
                          &(rollout_order_t){.version = step->text,
                                             .duration_ms = step->ms,
                                             .revision = step->revision},
                          true);
        return;
    case STEP_RECORD:
        (void)rollout_set_record(rollout, now_us, step->text, step->revision);
        return;
    case STEP_STATUS:
        rollout_set_status(rollout,
                           &(rollout_status_t){.version = step->text,
                                               .state = step->state,
                                               .revision = step->revision});
        return;
    case STEP_ELAPSED:
        rollout_set_elapsed(rollout, now_us, step->revision, step->ms);
        return;
    case STEP_WRITTEN:
        rollout_record_written(rollout, now_us,
                               strcmp(step->text, "failed") == 0,
                               strcmp(step->text, "ok") == 0);
        return;
    case STEP_STATUS_WRITTEN:
        rollout_status_written(rollout, now_us,
                               strcmp(step->text, "failed") == 0);
        return;
    default:
        view.now_us = now_us;
        rollout_check(rollout, &view, &writes);
        print_writes(&writes, text, sizeof(text));
        ck_assert_msg(strcmp(text, step->text) == 0,
                      "%s: at %" PRId64 " ms: got \"%s\", expected \"%s\"",
                      test->name, step->at_ms, text, step->text);
    }
}

START_TEST(test_case)
{
    const case_t *test = &cases[_i];
    rollout_t rollout = {0};
    size_t i;

    for (i = 0; i < STEPS_MAX && test->steps[i].kind != STEP_END; i++) {
        do_step(test, &rollout, &test->steps[i]);
    }
    ck_assert_msg(rollout.phase == test->phase, "%s: phase %s", test->name,
                  rollout_phase_name(rollout.phase));
    ck_assert_msg(rollout_excludes_new(&rollout) == test->excludes_new,
                  "%s: excludes_new=%d", test->name,
                  rollout_excludes_new(&rollout));
}
END_TEST

/* Days without a rollout must not cost a check or a store call. */
START_TEST(test_without_an_order_nothing_is_due)
{
    rollout_t rollout = {0};
    rollout_view_t view = {.now_us = US_PER_MS, .verdict = CANARY_BAD};
    rollout_writes_t writes;

    rollout_check(&rollout, &view, &writes);
    ck_assert(!writes.put_record && !writes.put_status);
    ck_assert_int_eq(rollout_due_us(&rollout, US_PER_MS), INT64_MAX);
}
END_TEST

/* --- the share --- */

static const rollout_limits_t limits = {
    .share_permille = 100, .slack = 50, .rollback_ms = 5000};

static rollout_t
begun(void)
{
    rollout_t rollout = {0};

    rollout_set_order(&rollout, 0,
                      &(rollout_order_t){.version = "2",
                                         .duration_ms = DURATION_MS,
                                         .revision = 9},
                      true);
    return rollout;
}

/* A bad version must get nothing more, and a promoted one everything. */
START_TEST(test_share_follows_the_phase)
{
    canary_evidence_t evidence = {0};
    rollout_t rollout = begun();
    rollout_view_t view = {.verdict = CANARY_BAD};
    rollout_writes_t writes;

    ck_assert_uint_gt(rollout_share(&rollout, 0, &limits, &evidence, 1), 0);
    (void)rollout_set_record(&rollout, 0, "9 promote 1", 10);
    ck_assert_uint_eq(rollout_share(&rollout, 0, &limits, &evidence, 1),
                      PERMILLE);
    rollout_check(&rollout, &view, &writes);
    ck_assert_uint_eq(rollout_share(&rollout, 0, &limits, &evidence, 1), 0);
    rollout = begun();
    rollout_check(&rollout, &view, &writes);
    ck_assert_uint_eq(rollout_share(&rollout, 0, &limits, &evidence, 1), 0);
}
END_TEST

enum { HOSTS = 6, RUNS = 200, SEED = 20261205 };

typedef struct {
    const char *name;
    uint32_t requests;      /* in DURATION_MS, at all hosts */
    uint32_t rare_permille; /* of them are on the second route */
    bool reports; /* hosts hear of each other; otherwise of themselves only */
} traffic_t;

static const traffic_t traffics[] = {
    {"rare", 60, 500, true},
    {"some", 600, 500, true},
    {"much", 6000, 500, true},
    {"a rare route", 6000, 10, true},
    {"hosts cut off, some", 600, 500, false},
    {"hosts cut off, much", 6000, 500, false},
};

/* Returns how many requests the new version gets beyond its bound. */
static int64_t
draw_traffic(uint64_t *state, const traffic_t *traffic)
{
    canary_evidence_t seen[HOSTS] = {0};
    rollout_t rollout = begun();
    rollout_limits_t own = limits;
    uint64_t sent = 0;
    uint32_t i;
    uint32_t j;

    /* As rollouts_assign() does. */
    own.slack /= traffic->reports ? 1 : HOSTS;
    for (i = 0; i < traffic->requests; i++) {
        uint32_t host = (uint32_t)(random_next_from(state) % HOSTS);
        uint64_t route =
            random_next_from(state) % PERMILLE < traffic->rare_permille ? 2
                                                                        : 1;
        int64_t now_us =
            (int64_t)i * DURATION_MS * US_PER_MS / (int64_t)traffic->requests;
        bool canary =
            random_next_from(state) % PERMILLE <
            rollout_share(&rollout, now_us, &own, &seen[host], route);

        sent += canary ? 1 : 0;
        for (j = 0; j < HOSTS; j++) {
            canary_route_t *counts;

            if (j != host && !traffic->reports) {
                continue;
            }
            counts = canary_route(&seen[j], route);
            if (canary) {
                counts->new_version.sent++;
            }
            else {
                counts->old_version.sent++;
            }
        }
    }
    return (int64_t)sent -
           ((int64_t)traffic->requests * limits.share_permille / PERMILLE +
            limits.slack);
}

/* The bound on a bad version holds over all hosts, also without a verdict. */
START_TEST(test_share_keeps_to_the_bound)
{
    const traffic_t *traffic = &traffics[_i];
    uint64_t state = SEED;
    uint32_t over = 0;
    int64_t most = INT64_MIN;
    uint32_t i;

    for (i = 0; i < RUNS; i++) {
        int64_t excess = draw_traffic(&state, traffic);

        over += excess > 0 ? 1 : 0;
        most = excess > most ? excess : most;
    }
    printf("rollout: seed=%d runs=%d traffic=\"%s\" over=%" PRIu32
           " most=%" PRId64 "\n",
           SEED, RUNS, traffic->name, over, most);
    ck_assert_msg(over == 0,
                  "%s: seed %d: %" PRIu32
                  " of %d runs are over the bound, by %" PRId64 " at most",
                  traffic->name, SEED, over, RUNS, most);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("rollout");

    tcase_add_loop_test(tcase, test_case, 0, COUNT(cases));
    tcase_add_test(tcase, test_without_an_order_nothing_is_due);
    tcase_add_test(tcase, test_share_follows_the_phase);
    tcase_add_loop_test(tcase, test_share_keeps_to_the_bound, 0,
                        COUNT(traffics));
    return fixture_main("rollout", tcase);
}
