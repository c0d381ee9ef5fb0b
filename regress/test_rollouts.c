/*
 * test_rollouts.c - tests where requests go during a rollout, and what the
 * host writes.
 *
 * The share is 1,000 in 1,000 after "share 1250 50": a host uses 0.8 of it.
 */
#include <stdio.h>
#include <string.h>

#include <check.h>

#include "regress/fixture.h"
#include "regress/forwarding.h"

/* Runners 1 have the old version, runners 2 the new one. */
#define TWO_VERSIONS                                                          \
    {0, "routing 1", ""}, {0, "contact", ""}, {0, "hosts 1", ""},             \
        {0, "list", ""}, {0, "runner sa1 version=1", ""},                     \
        {0, "runner sb1 version=1", ""}, {0, "runner sa2 version=2", ""},     \
        {0, "runner sb2 version=2", ""}, {0, "runner ra1 version=1", NULL},   \
        {0, "runner rb1 version=1", NULL}, {0, "runner ra2 version=2", NULL}, \
    {                                                                         \
        0, "runner rb2 version=2", NULL                                       \
    }
#define STREAMS_RECORDED                                                      \
    {0, "record versions/r rev=3 1 2", NULL},                                 \
    {                                                                         \
        5000, "contact", NULL                                                 \
    }

#define ORDERED                                                               \
    {10, "order s to=2 duration=16000 rev=9",                                 \
     "status s in_progress to=2 rev=0"},                                      \
    {                                                                         \
        20, "status-written s ok in_progress to=2 rev=10", ""                 \
    }
#define STREAMS_ORDERED                                                       \
    {5010, "order r to=2 duration=16000 rev=9",                               \
     "status r in_progress to=2 rev=0"},                                      \
    {                                                                         \
        5020, "status-written r ok in_progress to=2 rev=10", ""               \
    }

static const forwarding_line_t no_request_before_a_share_is_set[] = {
    TWO_VERSIONS,
    {0, "share 0 0", ""},
    ORDERED,
    {30, "request 1 safe", "send 1.1 sa1"},
    {31, "request 2 safe", "send 2.1 sb1"},
    {32, "request 3 unsafe", "send 3.1 sa1"},
    {33, "broken 1 1", "cancel 1.1; send 1.2 sb1"},
};

static const forwarding_line_t share_goes_to_the_new_version[] = {
    TWO_VERSIONS,
    {0, "share 1250 50", ""},
    ORDERED,
    {30, "request 1 safe", "send 1.1 sa2"},
    {31, "request 2 unsafe", "send 2.1 sb2"},
};

/* The old version answers what the new one has failed; only safe requests
 * may run again. */
static const forwarding_line_t failed_attempt_is_repeated_at_the_old_one[] = {
    TWO_VERSIONS,
    {0, "share 1250 50", ""},
    ORDERED,
    {30, "request 1 safe", "send 1.1 sa2"},
    {35, "head 1 1 500", ""},
    {36, "whole 1 1", "send 1.2 sa1"},
    {38, "request 2 unsafe", "send 2.1 sb2"},
    {39, "head 2 1 500", ""},
    {40, "whole 2 1", "answer 2.1"},
};

/* Four failures of two runners condemn; then nothing is sent there, with the
 * store away, too. */
static const forwarding_line_t nothing_is_sent_after_a_bad_verdict[] = {
    TWO_VERSIONS,
    {0, "share 1250 50", ""},
    ORDERED,
    {30, "request 1 unsafe", "send 1.1 sa2"},
    {31, "request 2 unsafe", "send 2.1 sb2"},
    {32, "request 3 unsafe", NULL},
    {33, "request 4 unsafe", NULL},
    {35, "head 1 1 500", ""},
    {36, "whole 1 1", "answer 1.1"},
    {37, "head 2 1 500", ""},
    {38, "whole 2 1", "answer 2.1"},
    {39, "head 3 1 500", ""},
    {40, "whole 3 1", "answer 3.1"},
    {41, "head 4 1 500", ""},
    {42, "whole 4 1", "answer 4.1; put rollouts/s \"9 rolled-back 32\" rev=0"},
    {43, "phase-written s failed", ""},
    {44, "request 5 unsafe", "send 5.1 sa1"},
    {45, "request 6 safe", "send 6.1 sb1"},
};

static const forwarding_line_t nothing_is_sent_after_another_hosts_verdict[] =
    {
        TWO_VERSIONS,
        {0, "share 1250 50", ""},
        ORDERED,
        {40, "told h2 s order=9 bad",
         "put rollouts/s \"9 rolled-back 30\" rev=0"},
        {41, "request 3 safe", "send 3.1 sa1"},
        {42, "request 4 unsafe", "send 4.1 sb1"},
};

/* A late report on an earlier order must not stop the present one. */
static const forwarding_line_t verdict_on_another_order_says_nothing[] = {
    TWO_VERSIONS,
    {0, "share 1250 50", ""},
    ORDERED,
    {40, "told h2 s order=8 bad", ""},
    {41, "request 3 safe", "send 3.1 sa2"},
};

/* A stream that has begun has state of its version: another one would go on
 * with other output. */
static const forwarding_line_t stream_of_the_new_version_stays_there[] = {
    TWO_VERSIONS,
    STREAMS_RECORDED,
    {5000, "share 1250 50", ""},
    STREAMS_ORDERED,
    {5030, "request 1 stream", "send 1.1 rb2 backup=10.17.0.2:80"},
    {5040, "head 1 1 200", "begin 1.1"},
    {5040, "event 1 1 0", ""},
    {5050, "told h2 r order=9 bad",
     "put rollouts/r \"9 rolled-back 40\" rev=0"},
    {5060, "broken 1 1",
     "cancel 1.1; send 1.2 ra2 restore=10.17.0.2:80/q1 "
     "backup=10.17.1.2:80 resume"},
    {5070, "request 2 stream", "send 2.1 ra1 backup=10.17.1.1:80"},
};

static const forwarding_line_t stream_of_the_old_version_stays_there[] = {
    TWO_VERSIONS,
    STREAMS_RECORDED,
    {5000, "share 0 0", ""},
    STREAMS_ORDERED,
    {5030, "request 1 stream", "send 1.1 rb1 backup=10.17.0.1:80"},
    {5040, "head 1 1 200", "begin 1.1"},
    {5040, "event 1 1 0", ""},
    {5050, "phase r phase=promote order=9 elapsed=40 rev=11", ""},
    {5060, "broken 1 1",
     "cancel 1.1; send 1.2 ra1 restore=10.17.0.1:80/q1 backup=10.17.1.1:80 "
     "resume"},
    {5070, "request 2 stream", "send 2.1 rb2 backup=10.17.0.2:80"},
};

static const forwarding_line_t all_requests_go_to_the_promoted_version[] = {
    TWO_VERSIONS,
    {0, "share 0 0", ""},
    ORDERED,
    {30, "phase s phase=promote order=9 elapsed=20 rev=11", ""},
    {40, "request 1 safe", "send 1.1 sa2"},
    {41, "request 2 unsafe", "send 2.1 sb2"},
    {42, "request 3 safe", "send 3.1 sa2"},
};

/* While no runner of it answers, the old ones still serve. */
static const forwarding_line_t promoted_version_without_runners[] = {
    TWO_VERSIONS,
    {0, "share 0 0", ""},
    ORDERED,
    {30, "phase s phase=promote order=9 elapsed=20 rev=11", ""},
    {31, "drop sa2", ""},
    {32, "drop sb2", ""},
    {40, "request 1 safe", "send 1.1 sa1"},
};

static const forwarding_line_t nothing_is_sent_once_rolled_back[] = {
    TWO_VERSIONS,
    {0, "share 1250 50", ""},
    ORDERED,
    {25, "phase s phase=rolled-back order=9 elapsed=10 rev=11",
     "status s rolled_back to=2 rev=10"},
    {30, "request 1 safe", "send 1.1 sa1"},
    {31, "request 2 unsafe", "send 2.1 sb1"},
};

static const forwarding_line_t nothing_is_sent_once_withdrawn[] = {
    TWO_VERSIONS,
    {0, "share 1250 50", ""},
    ORDERED,
    {25, "order s gone", "status s rolled_back to=2 rev=10"},
    {30, "request 1 safe", "send 1.1 sa1"},
    {31, "request 2 unsafe", "send 2.1 sb1"},
};

/* The lost answer: the write of this host has taken effect. */
static const forwarding_line_t
    conflict_with_the_own_write_is_no_other_phase[] = {
        TWO_VERSIONS,
        {0, "share 1250 50", ""},
        ORDERED,
        {40, "told h2 s order=9 bad",
         "put rollouts/s \"9 rolled-back 30\" rev=0"},
        {50, "phase-written s failed", ""},
        {600, "timer", "put rollouts/s \"9 rolled-back 590\" rev=0"},
        {610,
         "phase-written s conflict phase=rolled-back order=9 elapsed=30 "
         "rev=12",
         "status s rolled_back to=2 rev=10"},
        {620, "status-written s ok rolled_back to=2 rev=13", ""},
        {2000, "timer", NULL},
};

/* Two rollouts at once do not mix their phases. */
static const forwarding_line_t other_service_is_not_concerned[] = {
    TWO_VERSIONS,
    STREAMS_RECORDED,
    {5000, "share 1250 50", ""},
    STREAMS_ORDERED,
    {5021, "order s to=2 duration=16000 rev=11",
     "status s in_progress to=2 rev=0"},
    {5022, "status-written s ok in_progress to=2 rev=12", ""},
    {5030, "told h2 r order=9 bad",
     "put rollouts/r \"9 rolled-back 20\" rev=0"},
    {5031, "request 1 safe", "send 1.1 sa2"},
    {5032, "request 2 stream", "send 2.1 ra1 backup=10.17.1.1:80"},
};

#define ONE_VERSION                                                           \
    {0, "routing 1", ""}, {0, "contact", ""}, {0, "hosts 1", ""},             \
        {0, "list", ""}, {0, "runner sa1 version=1", ""},                     \
    {                                                                         \
        0, "runner sb1 version=1", ""                                         \
    }

/* An operator can order the version that serves. */
static const forwarding_line_t order_for_the_only_version_does_not_stop_it[] =
    {
        ONE_VERSION,
        {0, "share 1250 50", ""},
        {10, "order s to=1 duration=0 rev=9", NULL},
        {20, "request 1 safe", "send 1.1 sa1"},
        {30, "phase s phase=rolled-back order=9 elapsed=10 rev=11", NULL},
        {40, "request 2 unsafe", "send 2.1 sb1"},
        {50, "runner sa2 version=2", ""},
        {60, "request 3 unsafe", "send 3.1 sa2"},
};

static const forwarding_line_t order_for_an_unknown_version_moves_nothing[] = {
    ONE_VERSION,
    {0, "share 1250 50", ""},
    ORDERED,
    {30, "request 1 safe", "send 1.1 sa1"},
    {40, "request 2 unsafe", "send 2.1 sb1"},
};

static const forwarding_line_t order_for_an_unknown_service_is_answered[] = {
    ONE_VERSION,
    {10, "order x to=2 duration=1000 rev=9",
     "status x in_progress to=2 rev=0"},
    {20, "status-written x ok in_progress to=2 rev=10", ""},
    {30, "request 1 safe", "send 1.1 sa1"},
    {40, "head 1 1 200", ""},
    {41, "whole 1 1", "answer 1.1"},
    {1010, "timer", "put rollouts/x \"9 rolled-back 1000\" rev=0"},
    {1020, "phase-written x ok phase=rolled-back order=9 elapsed=1000 rev=11",
     "status x rolled_back to=2 rev=10"},
};

static const forwarding_script_t scripts[] = {
    FORWARDING_SCRIPT(no_request_before_a_share_is_set),
    FORWARDING_SCRIPT(share_goes_to_the_new_version),
    FORWARDING_SCRIPT(failed_attempt_is_repeated_at_the_old_one),
    FORWARDING_SCRIPT(nothing_is_sent_after_a_bad_verdict),
    FORWARDING_SCRIPT(nothing_is_sent_after_another_hosts_verdict),
    FORWARDING_SCRIPT(verdict_on_another_order_says_nothing),
    FORWARDING_SCRIPT(stream_of_the_new_version_stays_there),
    FORWARDING_SCRIPT(stream_of_the_old_version_stays_there),
    FORWARDING_SCRIPT(all_requests_go_to_the_promoted_version),
    FORWARDING_SCRIPT(promoted_version_without_runners),
    FORWARDING_SCRIPT(nothing_is_sent_once_rolled_back),
    FORWARDING_SCRIPT(nothing_is_sent_once_withdrawn),
    FORWARDING_SCRIPT(conflict_with_the_own_write_is_no_other_phase),
    FORWARDING_SCRIPT(other_service_is_not_concerned),
    FORWARDING_SCRIPT(order_for_the_only_version_does_not_stop_it),
    FORWARDING_SCRIPT(order_for_an_unknown_version_moves_nothing),
    FORWARDING_SCRIPT(order_for_an_unknown_service_is_answered),
};

START_TEST(test_script)
{
    forwarding_play(&scripts[_i]);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("rollouts");

    tcase_add_loop_test(tcase, test_script, 0, COUNT(scripts));
    return fixture_main("rollouts", tcase);
}
