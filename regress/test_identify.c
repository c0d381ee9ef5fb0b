/* test_identify.c - tests that a stream goes on only where the process that
 * answers is known to be of its version. */
#include <check.h>

#include "regress/fixture.h"
#include "regress/forwarding.h"

/* ra1 and rb1 have version 1; all state their starts. */
#define RUNNERS                                                               \
    {0, "routing 1", ""}, {0, "contact", ""}, {0, "hosts 1", ""},             \
        {0, "runner ra1 version=1 born=1", ""},                               \
    {                                                                         \
        0, "runner rb1 version=1 born=2", ""                                  \
    }
#define STREAM_BEGUN                                                          \
    RUNNERS, {10, "request 1 stream", "send 1.1 rb1 backup=10.17.0.1:80"},    \
        {900, "head 1 1 200", "probe 1 rb1; begin 1.1"},                      \
    {                                                                         \
        901, "event 1 1 0", ""                                                \
    }
#define STREAM_IDENTIFIED                                                     \
    STREAM_BEGUN,                                                             \
    {                                                                         \
        902, "probed rb1 yes active=1 born=2 asked=900", ""                   \
    }

static const forwarding_line_t beginning_waits_for_a_report[] = {
    STREAM_IDENTIFIED,
    {950, "broken 1 1",
     "cancel 1.1; send 1.2 ra1 restore=10.17.0.1:80/q1 backup=10.17.1.1:80 "
     "resume"},
};

static const forwarding_line_t run_is_passed_on_without_a_report[] = {
    STREAM_IDENTIFIED,
    {950, "broken 1 1",
     "cancel 1.1; send 1.2 ra1 restore=10.17.0.1:80/q1 backup=10.17.1.1:80 "
     "resume"},
    {960, "head 1 2 200", "probe 1 ra1"},
    {962, "probed ra1 yes active=1 born=1 asked=960", "begin 1.2"},
};

static const forwarding_line_t run_of_another_start_is_passed_on[] = {
    STREAM_IDENTIFIED,
    {940, "runner rc1 version=1 born=3", ""},
    {950, "broken 1 1",
     "cancel 1.1; send 1.2 ra1 restore=10.17.0.1:80/q1 backup=10.17.2.1:80 "
     "resume"},
    {960, "head 1 2 200", "probe 1 ra1"},
    {962, "probed ra1 yes active=1 born=9 asked=960",
     "cancel 1.2; send 1.3 rc1 backup=10.17.1.1:80 resume"},
};

static const forwarding_line_t report_from_before_the_connection_counts[] = {
    STREAM_IDENTIFIED,
    {950, "broken 1 1",
     "cancel 1.1; send 1.2 ra1 restore=10.17.0.1:80/q1 backup=10.17.1.1:80 "
     "resume"},
    {960, "head 1 2 200 connected=955", "probe 1 ra1"},
    {962, "probed ra1 yes active=1 born=1 asked=954", ""},
    {963, "probed ra1 yes active=1 born=1 asked=955", "begin 1.2"},
};

static const forwarding_line_t report_is_asked_for_twice[] = {
    STREAM_IDENTIFIED,
    {950, "broken 1 1",
     "cancel 1.1; send 1.2 ra1 restore=10.17.0.1:80/q1 backup=10.17.1.1:80 "
     "resume"},
    {957, "probed ra1 yes active=1 born=1 asked=955", ""},
    {960, "head 1 2 200 connected=955", "begin 1.2"},
};

static const forwarding_line_t
    report_from_before_the_connection_counts_at_the_head[] = {
        STREAM_IDENTIFIED,
        {950, "broken 1 1",
         "cancel 1.1; send 1.2 ra1 restore=10.17.0.1:80/q1 "
         "backup=10.17.1.1:80 resume"},
        {957, "probed ra1 yes active=1 born=1 asked=954", ""},
        {960, "head 1 2 200 connected=955", "probe 1 ra1"},
};

static const forwarding_line_t stream_has_a_version_before_a_report[] = {
    STREAM_BEGUN,
    {950, "gone 1", "cancel 1.1"},
    {960, "request 2 stream after=0 resumes=q1",
     "refuse 2 no-version 503 not-run after=50"},
};

static const forwarding_line_t
    uncertain_stream_is_taken_for_one_of_the_only_version[] = {
        RUNNERS,
        {1, "record versions/r rev=5 1", ""},
        {10, "request 1 stream", "send 1.1 rb1 backup=10.17.0.1:80"},
        {900, "head 1 1 200", "probe 1 rb1; begin 1.1"},
        {901, "event 1 1 0", ""},
        {902, "probed rb1 yes active=1 born=7 asked=900", ""},
        {950, "gone 1", "cancel 1.1"},
        {960, "request 2 stream after=0 resumes=q1",
         "refuse 2 no-version 503 not-run after=50"},
};

static const forwarding_line_t entry_from_after_the_connection_counts[] = {
    RUNNERS,
    {10, "request 1 stream", "send 1.1 rb1 backup=10.17.0.1:80"},
    {899, "runner rb1 version=2 born=7", ""},
    {900, "head 1 1 200 connected=20", "probe 1 rb1; begin 1.1"},
    {901, "event 1 1 0", ""},
    {902, "probed rb1 yes active=1 born=7 asked=900", ""},
    {950, "gone 1", "cancel 1.1"},
    {960, "request 2 stream after=0 resumes=q1",
     "refuse 2 no-version 503 not-run after=50"},
};

static const forwarding_line_t version_of_a_run_without_events_is_kept[] = {
    RUNNERS,
    {10, "request 1 stream", "send 1.1 rb1 backup=10.17.0.1:80"},
    {890, "probed rb1 yes active=1 born=2 asked=890", ""},
    {899, "head 1 1 200 connected=20", "begin 1.1"},
    {900, "broken 1 1", "cancel 1.1; send 1.2 ra1 backup=10.17.1.1:80"},
    {902, "runner ra1 version=2 born=7", ""},
    {910, "probed ra1 yes active=1 born=7 asked=905", ""},
    {920, "head 1 2 200 connected=904", "begin 1.2"},
    {921, "event 1 2 0", ""},
    {940, "runner rc1 version=2 born=3", NULL},
    {950, "broken 1 2", "cancel 1.2; send 1.3 rc1 backup=10.17.0.1:80 resume"},
};

static const forwarding_line_t silent_stream_of_an_unknown_start_hangs[] = {
    STREAM_BEGUN,
    {1130, "timer", NULL},
    {1230, "probed rb1 no", ""},
    {1600, "timer", NULL},
    {2000, "timer", NULL},
    {2400, "timer", NULL},
    {2800, "timer", NULL},
    {3200, "timer", NULL},
    {3600, "timer", NULL},
    {3890, "timer", NULL},
    {4000, "timer", "cancel 1.1"},
};

static const forwarding_line_t report_without_a_start_counts[] = {
    STREAM_IDENTIFIED,
    {950, "broken 1 1",
     "cancel 1.1; send 1.2 ra1 restore=10.17.0.1:80/q1 backup=10.17.1.1:80 "
     "resume"},
    {960, "head 1 2 200", "probe 1 ra1"},
    {962, "probed ra1 yes active=1 asked=960", "cancel 1.2"},
};

static const forwarding_line_t withheld_run_is_not_asked_for_again[] = {
    STREAM_IDENTIFIED,
    {950, "broken 1 1",
     "cancel 1.1; send 1.2 ra1 restore=10.17.0.1:80/q1 backup=10.17.1.1:80 "
     "resume"},
    {960, "head 1 2 200", "probe 1 ra1"},
    {1060, "probed ra1 silent asked=960", ""},
    {1110, "timer", "probe 1 ra1"},
    {1112, "probed ra1 yes active=1 born=1 asked=1110", "begin 1.2"},
};

static const forwarding_line_t end_while_withheld_is_lost[] = {
    STREAM_IDENTIFIED,
    {950, "broken 1 1",
     "cancel 1.1; send 1.2 ra1 restore=10.17.0.1:80/q1 backup=10.17.1.1:80 "
     "resume"},
    {960, "head 1 2 200", "probe 1 ra1"},
    {961, "whole 1 2", ""},
    {962, "probed ra1 yes active=1 born=1 asked=960", "begin 1.2"},
    {962, "event 1 2 1", ""},
    {962, "whole 1 2", "finish 1"},
};

static const forwarding_line_t stream_of_an_unknown_start_goes_on[] = {
    STREAM_BEGUN,
    {950, "broken 1 1", "cancel 1.1"},
    {960, "timer", "probe 1 rb1"},
    {961, "probed rb1 yes active=1 born=7 asked=951", ""},
    {1050, "timer", "break 1 no-version 0"},
};

static const forwarding_line_t start_is_not_asked_for_after_the_loss[] = {
    STREAM_BEGUN,
    {950, "broken 1 1", "cancel 1.1"},
    {960, "timer", "probe 1 rb1"},
    {961, "probed rb1 yes active=1 born=2 asked=951", ""},
    {1050, "timer",
     "send 1.2 ra1 restore=10.17.0.1:80/q1 backup=10.17.1.1:80 resume"},
};

static const forwarding_line_t copy_of_an_earlier_start_is_used[] = {
    STREAM_BEGUN,
    {950, "broken 1 1", "cancel 1.1"},
    {951, "runner ra1 version=1 born=5", ""},
    {961, "probed rb1 yes active=1 born=2 asked=951", ""},
    {1050, "timer", "send 1.2 ra1 backup=10.17.1.1:80 resume"},
};

static const forwarding_line_t start_before_its_entry_has_the_old_version[] = {
    STREAM_BEGUN,
    {902, "probed rb1 yes active=1 runs=q1 born=7 asked=900", ""},
    {1200, "runner rb1 version=2 born=7", ""},
    {1210, "runner rc1 version=2 born=3", ""},
    {1250, "broken 1 1",
     "cancel 1.1; send 1.2 rc1 backup=10.17.1.1:80 resume"},
};

static const forwarding_line_t
    taken_up_stream_is_passed_on_without_a_report[] = {
        STREAM_IDENTIFIED,
        {950, "gone 1", "cancel 1.1"},
        {960, "request 2 stream after=0 resumes=q1",
         "send 2.1 ra1 backup=10.17.1.1:80 resume"},
        {970, "head 2 1 200", "probe 2 ra1"},
        {972, "probed ra1 yes active=1 born=1 asked=970", "begin 2.1"},
        {972, "probed rb1 yes active=1 born=2 asked=970", ""},
};

static const forwarding_line_t
    runner_that_leaves_is_used_since_a_copy_has_its_earlier_start[] = {
        RUNNERS,
        {5, "drop ra1", ""},
        {10, "runner rb1 version=1 born=9", ""},
        {20, "probed rb1 yes leaving active=0 born=9", ""},
        {25, "request 1 stream", "refuse 1 no-runner 503 not-run after=500"},
        {30, "restored", ""},
        {31, "list rb1 version=1 born=2", ""},
        {40, "request 2 stream", "refuse 2 no-runner 503 not-run after=500"},
        {50, "runner rb1 version=1 born=12", ""},
        {60, "request 3 stream", "send 3.1 rb1"},
};

static const forwarding_line_t stream_without_events_is_bound_to_a_version[] =
    {
        RUNNERS,
        {5, "runner rc1 version=2 born=3", ""},
        {10, "request 1 stream", "send 1.1 rc1"},
        {900, "head 1 1 200", "probe 1 rc1; begin 1.1"},
        {901, "broken 1 1", "cancel 1.1; send 1.2 rb1 backup=10.17.0.1:80"},
};

static const forwarding_script_t scripts[] = {
    FORWARDING_SCRIPT(beginning_waits_for_a_report),
    FORWARDING_SCRIPT(run_is_passed_on_without_a_report),
    FORWARDING_SCRIPT(run_of_another_start_is_passed_on),
    FORWARDING_SCRIPT(report_from_before_the_connection_counts),
    FORWARDING_SCRIPT(report_is_asked_for_twice),
    FORWARDING_SCRIPT(report_from_before_the_connection_counts_at_the_head),
    FORWARDING_SCRIPT(stream_has_a_version_before_a_report),
    FORWARDING_SCRIPT(uncertain_stream_is_taken_for_one_of_the_only_version),
    FORWARDING_SCRIPT(entry_from_after_the_connection_counts),
    FORWARDING_SCRIPT(version_of_a_run_without_events_is_kept),
    FORWARDING_SCRIPT(silent_stream_of_an_unknown_start_hangs),
    FORWARDING_SCRIPT(report_without_a_start_counts),
    FORWARDING_SCRIPT(withheld_run_is_not_asked_for_again),
    FORWARDING_SCRIPT(end_while_withheld_is_lost),
    FORWARDING_SCRIPT(stream_of_an_unknown_start_goes_on),
    FORWARDING_SCRIPT(start_is_not_asked_for_after_the_loss),
    FORWARDING_SCRIPT(copy_of_an_earlier_start_is_used),
    FORWARDING_SCRIPT(start_before_its_entry_has_the_old_version),
    FORWARDING_SCRIPT(taken_up_stream_is_passed_on_without_a_report),
    FORWARDING_SCRIPT(
        runner_that_leaves_is_used_since_a_copy_has_its_earlier_start),
    FORWARDING_SCRIPT(stream_without_events_is_bound_to_a_version),
};

START_TEST(test_script)
{
    forwarding_play(&scripts[_i]);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("identify");

    tcase_add_loop_test(tcase, test_script, 0,
                        sizeof(scripts) / sizeof(scripts[0]));
    return fixture_main("identify", tcase);
}
