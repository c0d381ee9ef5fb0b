/*
 * test_version_record.c - tests that the store tells which version began a
 * stream when no host remembers it.
 */
#include <check.h>

#include "regress/fixture.h"
#include "regress/forwarding.h"

/* This host is h1, in zone a.  The runners of zones a and b have version 1. */
#define OPENED                                                                \
    {0, "routing 1", ""}, {0, "contact", ""},                                 \
        {0, "list ra1 rb1 version=1", ""}, {0, "fleet h1", ""},               \
    {                                                                         \
        0, "hosts 1", ""                                                      \
    }
#define RECORDED                                                              \
    OPENED,                                                                   \
    {                                                                         \
        1, "record versions/r rev=5 1", ""                                    \
    }
/* Two runners of version 2 came when this host had run for some time. */
#define SECOND_VERSION                                                        \
    RECORDED, {6000, "contact", ""},                                          \
        {6000, "runner rc1 version=2", "put versions/r words=2 rev=5"},       \
    {                                                                         \
        6000, "runner rc2 version=2", ""                                      \
    }
#define TWO_VERSIONS                                                          \
    SECOND_VERSION, {6010, "written versions/r ok rev=6 1 2", ""},            \
    {                                                                         \
        7010, "contact", ""                                                   \
    }
/* --- what is recorded --- */

static const forwarding_line_t first_version_is_not_recorded[] = {
    OPENED,
    {900, "timer", ""},
    {1000, "timer", "put versions/r words=1 rev=0"},
    {1001, "timer", ""},
    {1010, "written versions/r ok rev=5 1", ""},
    {9000, "timer", ""},
};

static const forwarding_line_t all_hosts_record_at_once[] = {
    OPENED,
    {1, "fleet h1 ha3 hb3 hc3", ""},
    {1000, "timer", ""},
    {1010, "record versions/r rev=5 1", ""},
    {9000, "timer", ""},
};

static const forwarding_line_t next_host_does_not_record[] = {
    OPENED,
    {1, "fleet h1 ha3 hb3 hc3", ""},
    {1000, "timer", ""},
    {1600, "timer", "put versions/r words=1 rev=0"},
};

static const forwarding_line_t failed_write_is_not_repeated[] = {
    SECOND_VERSION,
    {6010, "written versions/r failed", ""},
    {6050, "timer", ""},
    {6600, "timer", "put versions/r words=2 rev=5"},
};

static const forwarding_line_t conflicting_write_loses_a_version[] = {
    SECOND_VERSION,
    {6010, "written versions/r conflict rev=7 1 3", ""},
    {6600, "timer", "put versions/r words=3 rev=7"},
};

static const forwarding_line_t older_record_replaces_a_newer_one[] = {
    TWO_VERSIONS,
    {7020, "record versions/r rev=5 1", ""},
    {7030, "request 1 stream after=0 resumes=q9",
     "refuse 1 no-version 503 not-run after=50"},
};

static const forwarding_line_t service_without_versions_is_recorded[] = {
    FORWARDING_OPENED,
    {9000, "timer", ""},
};

static const forwarding_line_t version_without_runners_stays_recorded[] = {
    TWO_VERSIONS,
    {8000, "drop rc1", ""},
    {8000, "drop rc2", ""},
    {67000, "timer", ""},
    {70000, "timer", "put versions/r words=1 rev=6"},
};

/* --- where streams begin --- */

static const forwarding_line_t stream_begins_at_unrecorded_version[] = {
    SECOND_VERSION,
    {6001, "request 1 stream", "send 1.1 rb1 backup=10.17.0.1:80"},
    {6002, "request 2 stream", "send 2.1 ra1 backup=10.17.1.1:80"},
    {6003, "request 3 stream", "send 3.1 rb1 backup=10.17.0.1:80"},
};

/* Other hosts do not know of the record yet. */
static const forwarding_line_t stream_begins_at_version_just_recorded[] = {
    SECOND_VERSION,
    {6010, "written versions/r ok rev=6 1 2", ""},
    {6011, "request 1 stream", "send 1.1 rb1 backup=10.17.0.1:80"},
    {6012, "request 2 stream", "send 2.1 ra1 backup=10.17.1.1:80"},
    {6013, "request 3 stream", "send 3.1 rb1 backup=10.17.0.1:80"},
    {7011, "request 4 stream", "send 4.1 rc1 backup=10.17.2.2:80"},
};

static const forwarding_line_t unrecorded_version_is_not_used_at_all[] = {
    RECORDED,
    {6000, "contact", ""},
    {6000, "drop ra1", ""},
    {6000, "drop rb1", ""},
    {6000, "runner rc1 version=2", "put versions/r words=2 rev=5"},
    {6001, "request 1 stream", "send 1.1 rc1"},
};

static const forwarding_line_t version_is_recorded_while_callers_return[] = {
    RECORDED,
    {100, "runner rc1 version=2", ""},
    {199, "contact", ""},
    {200, "request 1 stream after=4 resumes=q9", "confirm 0"},
    {205, "contact", "send 1.1 rb1 backup=10.17.0.1:80 resume"},
    {4900, "timer", ""},
    {5100, "timer", "put versions/r words=2 rev=5"},
};

/* --- streams that nobody remembers --- */

static const forwarding_line_t unknown_stream_goes_to_another_version[] = {
    SECOND_VERSION,
    {6001, "request 1 stream", NULL},
    {6002, "request 2 stream", NULL},
    {6003, "request 3 stream after=4 resumes=q9", "confirm 0"},
    {6008, "contact", "send 3.1 rb1 backup=10.17.0.1:80 resume"},
};

/* The view may be older than the second version. */
static const forwarding_line_t stream_is_taken_up_by_an_old_view[] = {
    RECORDED,
    {6000, "contact", ""},
    {7000, "request 1 stream after=4 resumes=q9", "confirm 0"},
    {7001, "request 2 stream after=4 resumes=q8", ""},
    {7002, "request 3 stream", "send 3.1 rb1 backup=10.17.0.1:80"},
    {7003, "peer h2 rb1/1 number=9", ""},
    {7005, "record versions/r rev=6 1 2", ""},
    {7005, "record streams/h2 rev=9 1:q8", ""},
    {7005, "contact",
     "refuse 1 no-version 503 not-run after=50; "
     "send 2.1 ra1 backup=10.17.1.1:80 resume"},
};

/* A contact that was asked for earlier tells too little. */
static const forwarding_line_t earlier_confirmation_decides[] = {
    RECORDED,
    {6000, "contact", ""},
    {7000, "request 1 stream after=4 resumes=q9", "confirm 0"},
    {7004, "request 2 stream after=4 resumes=q8", ""},
    {7006, "contact age=5",
     "send 1.1 rb1 backup=10.17.0.1:80 resume; confirm 0"},
    {7010, "contact", "send 2.1 ra1 backup=10.17.1.1:80 resume"},
};

static const forwarding_line_t stream_is_taken_up_out_of_touch[] = {
    RECORDED,
    {5, "hosts 3", ""},
    {1000, "contact", ""},
    {3000, "lost-store", ""},
    {3001, "request 1 stream after=4 resumes=q9",
     "refuse 1 no-version 503 not-run after=50"},
    {3002, "request 2 stream", "send 2.1 ra1 backup=10.17.1.1:80"},
};

static const forwarding_line_t stream_waits_for_a_silent_store[] = {
    RECORDED,
    {5, "hosts 3", ""},
    {1000, "contact", ""},
    {3000, "request 1 stream after=4 resumes=q9", "confirm 0"},
    {3599, "timer", ""},
    {3600, "timer", "refuse 1 no-version 503 not-run after=50"},
};

static const forwarding_line_t stream_waits_when_the_store_is_lost[] = {
    RECORDED,
    {5, "hosts 3", ""},
    {1000, "contact", ""},
    {3000, "request 1 stream after=4 resumes=q9", "confirm 0"},
    {3100, "lost-store", "refuse 1 no-version 503 not-run after=50"},
};

static const forwarding_line_t hosts_are_not_heard_without_the_store[] = {
    RECORDED,
    {5, "hosts 3", ""},
    {1000, "contact", ""},
    {3000, "lost-store", ""},
    {3001, "peer h2 rb1/1", ""},
    {3900, "request 1 stream after=4 resumes=q9",
     "send 1.1 rb1 backup=10.17.0.1:80 resume"},
    {4002, "request 2 stream after=4 resumes=q8",
     "refuse 2 no-version 503 not-run after=50"},
};

static const forwarding_line_t few_hosts_are_enough[] = {
    RECORDED,
    {5, "hosts 4", ""},
    {1000, "contact", ""},
    {3000, "lost-store", ""},
    {3001, "peer h2 rb1/1", ""},
    {3900, "request 1 stream after=4 resumes=q9",
     "refuse 1 no-version 503 not-run after=50"},
};

static const forwarding_line_t unknown_stream_is_joined_or_waits[] = {
    TWO_VERSIONS,
    {7020, "request 1 stream after=4 resumes=q9",
     "refuse 1 no-version 503 not-run after=50"},
};

static const forwarding_line_t unknown_stream_goes_on_without_a_record[] = {
    OPENED,
    {20, "request 1 stream after=4 resumes=q9",
     "refuse 1 no-version 503 not-run after=50"},
};

static const forwarding_line_t recorded_stream_is_refused[] = {
    TWO_VERSIONS,
    {7011, "record streams/h2 rev=9 1:q7,q8 2:q9", ""},
    {7020, "request 1 stream after=4 resumes=q9",
     "send 1.1 rc1 backup=10.17.2.2:80 resume"},
    {7021, "request 2 stream after=4 resumes=q8",
     "send 2.1 ra1 backup=10.17.1.1:80 resume"},
};

static const forwarding_line_t stream_of_a_version_that_left_waits[] = {
    TWO_VERSIONS,
    {7011, "record streams/h2 rev=9 1:q7,q8 2:q9", ""},
    {7012, "drop rc1", ""},
    {7012, "drop rc2", ""},
    {7020, "request 1 stream after=4 resumes=q9",
     "refuse 1 no-runner 503 not-run after=500"},
};

static const forwarding_line_t damaged_record_spreads[] = {
    TWO_VERSIONS,
    {7011, "record streams/h2 rev=9 1:q7,q8 2:q9", ""},
    {7012, "record versions/r rev=4", ""},
    {7020, "request 1 stream after=4 resumes=q9",
     "send 1.1 rc1 backup=10.17.2.2:80 resume"},
};

/* --- streams of this host --- */

static const forwarding_line_t streams_of_one_version_are_written[] = {
    RECORDED,
    {10, "request 1 stream", "send 1.1 rb1 backup=10.17.0.1:80"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {2000, "timer", ""},
};

static const forwarding_line_t streams_are_not_written_together[] = {
    TWO_VERSIONS,
    {7020, "request 1 stream", NULL},
    {7021, "request 2 stream", NULL},
    {7900, "head 1 1 200", "begin 1.1"},
    {7900, "event 1 1 0", ""},
    {7910, "head 2 1 200", "begin 2.1"},
    {7910, "event 2 1 0", ""},
    {8049, "timer", ""},
    {8050, "timer", "put streams/h1 words=3 rev=0"},
    {8060, "written streams/h1 ok rev=7", ""},
    {8061, "request 3 stream", NULL},
    {8062, "head 3 1 200", "begin 3.1"},
    {8062, "event 3 1 0", ""},
    {8063, "event 1 1 1", ""},
    {8064, "event 2 1 1", ""},
    {8249, "timer", ""},
    {8250, "timer", "put streams/h1 words=4 rev=7"},
};

/* Each write wakes all hosts that watch the store. */
static const forwarding_line_t hosts_write_one_after_the_other[] = {
    TWO_VERSIONS,
    {7020, "request 1 stream", NULL},
    {7900, "head 1 1 200", "begin 1.1"},
    {7900, "event 1 1 0", ""},
    {7910, "record streams/h2 rev=9 1:q7", "put streams/h1 words=2 rev=0"},
};

/* Hosts that come back under other names must not fill the store; see
 * forward/host_records.h. */
#define LOST_HOST                                                             \
    {0, "list ra1", ""}, {0, "fleet h1", ""},                                 \
    {                                                                         \
        2, "record streams/h2 rev=7 1:q9", ""                                 \
    }

static const forwarding_line_t record_of_a_lost_host_is_removed[] = {
    LOST_HOST,
    {299000, "timer", ""},
    {310000, "timer", "remove streams/h2 words=0 rev=7"},
    {321000, "timer", ""},
    {322000, "written streams/h2 ok gone", ""},
    {900000, "timer", ""},
};

static const forwarding_line_t record_is_removed_after_a_failure[] = {
    LOST_HOST,
    {310000, "timer", "remove streams/h2 words=0 rev=7"},
    {311000, "written streams/h2 failed", ""},
    {321000, "timer", "remove streams/h2 words=0 rev=7"},
};

static const forwarding_line_t record_that_has_changed_is_kept[] = {
    LOST_HOST,
    {200000, "record streams/h2 rev=8 1:q8", ""},
    {310000, "timer", ""},
    {511000, "timer", "remove streams/h2 words=0 rev=8"},
    {512000, "written streams/h2 conflict rev=9 1:q7", ""},
    {522000, "timer", ""},
};

static const forwarding_line_t record_of_a_host_that_reports_is_kept[] = {
    LOST_HOST,
    {200000, "peer h2 ra1/1 number=9", NULL},
    {201000, "timer", NULL},
    {310000, "timer", ""},
    {520000, "timer", "remove streams/h2 words=0 rev=7"},
};

static const forwarding_line_t record_of_a_host_that_is_listed_is_kept[] = {
    LOST_HOST,
    {3, "fleet h1 h2", ""},
    {310000, "timer", ""},
    {900000, "timer", ""},
};

/* Two hosts come before this one. */
static const forwarding_line_t hosts_remove_a_record_in_their_order[] = {
    {0, "list ra1", ""},
    {0, "fleet h1 h3 h4", ""},
    {2, "record streams/h5 rev=7 1:q9", ""},
    {310000, "timer", ""},
    {335000, "timer", ""},
    {345000, "timer", "remove streams/h5 words=0 rev=7"},
};

/* The first time that a second version is recorded. */
static const forwarding_line_t earlier_streams_are_not_written[] = {
    RECORDED,
    {10, "request 1 stream", "send 1.1 rb1 backup=10.17.0.1:80"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {6000, "record versions/r rev=6 1 2", "put streams/h1 words=2 rev=0"},
};

static const forwarding_line_t streams_before_a_restart_are_overwritten[] = {
    TWO_VERSIONS,
    {7011, "record streams/h1 rev=4 1:q7,q8 2:q9", ""},
    {7020, "request 1 stream", NULL},
    {7900, "head 1 1 200", "begin 1.1"},
    {7900, "event 1 1 0", ""},
    {8100, "timer", "put streams/h1 words=6 rev=4"},
};

static const forwarding_line_t complete_stream_stays_written[] = {
    TWO_VERSIONS,
    {7020, "request 1 stream", NULL},
    {7900, "head 1 1 200", "begin 1.1"},
    {7900, "event 1 1 0", ""},
    {8100, "timer", "put streams/h1 words=2 rev=0"},
    {8110, "written streams/h1 ok rev=7", ""},
    {8200, "whole 1 1", NULL},
    {8300, "request 2 stream", NULL},
    {9000, "head 2 1 200", "begin 2.1"},
    {9000, "event 2 1 0", ""},
    {9200, "timer", "put streams/h1 words=2 rev=7"},
};

static const forwarding_line_t streams_stay_when_one_version_is_left[] = {
    TWO_VERSIONS,
    {7020, "request 1 stream", NULL},
    {7900, "head 1 1 200", "begin 1.1"},
    {7900, "event 1 1 0", ""},
    {8100, "timer", "put streams/h1 words=2 rev=0"},
    {8110, "written streams/h1 ok rev=7", ""},
    {8120, "drop rc1", NULL},
    {8120, "drop rc2", NULL},
    {8130, "record versions/r rev=8 1", ""},
    {8130, "whole 1 1", NULL},
    {8300, "timer", "remove streams/h1 words=0 rev=7"},
};

static const forwarding_script_t scripts[] = {
    FORWARDING_SCRIPT(first_version_is_not_recorded),
    FORWARDING_SCRIPT(all_hosts_record_at_once),
    FORWARDING_SCRIPT(next_host_does_not_record),
    FORWARDING_SCRIPT(failed_write_is_not_repeated),
    FORWARDING_SCRIPT(conflicting_write_loses_a_version),
    FORWARDING_SCRIPT(older_record_replaces_a_newer_one),
    FORWARDING_SCRIPT(service_without_versions_is_recorded),
    FORWARDING_SCRIPT(version_without_runners_stays_recorded),
    FORWARDING_SCRIPT(stream_begins_at_unrecorded_version),
    FORWARDING_SCRIPT(stream_begins_at_version_just_recorded),
    FORWARDING_SCRIPT(unrecorded_version_is_not_used_at_all),
    FORWARDING_SCRIPT(version_is_recorded_while_callers_return),
    FORWARDING_SCRIPT(unknown_stream_goes_to_another_version),
    FORWARDING_SCRIPT(stream_is_taken_up_by_an_old_view),
    FORWARDING_SCRIPT(earlier_confirmation_decides),
    FORWARDING_SCRIPT(stream_is_taken_up_out_of_touch),
    FORWARDING_SCRIPT(stream_waits_for_a_silent_store),
    FORWARDING_SCRIPT(stream_waits_when_the_store_is_lost),
    FORWARDING_SCRIPT(hosts_are_not_heard_without_the_store),
    FORWARDING_SCRIPT(few_hosts_are_enough),
    FORWARDING_SCRIPT(unknown_stream_is_joined_or_waits),
    FORWARDING_SCRIPT(unknown_stream_goes_on_without_a_record),
    FORWARDING_SCRIPT(recorded_stream_is_refused),
    FORWARDING_SCRIPT(stream_of_a_version_that_left_waits),
    FORWARDING_SCRIPT(damaged_record_spreads),
    FORWARDING_SCRIPT(streams_of_one_version_are_written),
    FORWARDING_SCRIPT(streams_are_not_written_together),
    FORWARDING_SCRIPT(hosts_write_one_after_the_other),
    FORWARDING_SCRIPT(earlier_streams_are_not_written),
    FORWARDING_SCRIPT(streams_before_a_restart_are_overwritten),
    FORWARDING_SCRIPT(complete_stream_stays_written),
    FORWARDING_SCRIPT(streams_stay_when_one_version_is_left),
    FORWARDING_SCRIPT(record_of_a_lost_host_is_removed),
    FORWARDING_SCRIPT(record_is_removed_after_a_failure),
    FORWARDING_SCRIPT(record_that_has_changed_is_kept),
    FORWARDING_SCRIPT(record_of_a_host_that_reports_is_kept),
    FORWARDING_SCRIPT(record_of_a_host_that_is_listed_is_kept),
    FORWARDING_SCRIPT(hosts_remove_a_record_in_their_order),
};

START_TEST(test_script)
{
    forwarding_play(&scripts[_i]);
}
END_TEST

/* The timer would be due again at once, for ever. */
START_TEST(test_service_without_runners_stays_due)
{
    static const forwarding_line_t lines[] = {
        RECORDED,
        {2, "fleet h1 hc1 hb2 hc2 hb3 hc3 ha4 hc4 hb5", ""},
        {3900, "contact", ""},
        {6000, "runner rc1 version=2", ""},
        /* Those that are missing may be back within two seconds. */
        {6100, "list sa1", ""},
        {8200, "timer", ""},
        {8400, "timer", ""},
        {8401, "timer", ""},
    };
    forward_t *forward = forwarding_open();
    size_t i;

    for (i = 0; i < COUNT(lines); i++) {
        (void)forwarding_do(forward, lines[i].at_ms, lines[i].event);
    }
    ck_assert_int_gt(forward_due_us(forward), 8401 * (int64_t)1000);
    forward_free(forward);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("version_record");

    tcase_add_test(tcase, test_service_without_runners_stays_due);
    tcase_add_loop_test(tcase, test_script, 0, COUNT(scripts));
    return fixture_main("version_record", tcase);
}
