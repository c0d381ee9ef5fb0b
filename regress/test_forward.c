/* test_forward.c - scripts for the forwarding of requests to runners. */
#include <stdio.h>
#include <string.h>

#include <check.h>

#include "regress/fixture.h"
#include "regress/forwarding.h"

static const forwarding_line_t plain_response_is_relayed[] = {
    FORWARDING_OPENED,
    {10, "request 1 unsafe", "send 1.1 sa1"},
    {20, "head 1 1 200", ""},
    {20, "whole 1 1", "answer 1.1"},
};

static const forwarding_line_t refuses_without_routing_table[] = {
    {10, "request 1 unsafe", "refuse 1 no-routing 503 not-run after=50"},
    {10, "request 2 missing", "refuse 2 no-routing 503 not-run after=50"},
};

static const forwarding_line_t refuses_unknown_path_or_key[] = {
    FORWARDING_OPENED,
    {10, "request 1 missing", "refuse 1 no-route 404 not-run"},
    {10, "request 2 unsafe key=", "refuse 2 no-key 401 not-run"},
    {10, "request 3 unsafe key=stolen", "refuse 3 no-key 401 not-run"},
    {10, "request 4 unsafe key=k2", "send 4.1 sa1"},
};

/* A key may have been revoked since the table was last known to be current. */
static const forwarding_line_t refuses_with_stale_routing_table[] = {
    FORWARDING_OPENED,
    {4000, "request 1 unsafe", "send 1.1 sa1"},
    {4701, "request 2 unsafe", "refuse 2 routing-stale 503 not-run after=50"},
    {4701, "request 3 missing", "refuse 3 routing-stale 503 not-run after=50"},
    {4800, "contact", ""},
    {4801, "request 4 unsafe", "send 4.1 sa1"},
};

/* A changed setting applies from then on. */
static const forwarding_line_t changed_revoke_limit_takes_effect[] = {
    FORWARDING_OPENED,
    {10, "revoke 3000", ""},
    {2600, "request 1 unsafe", "send 1.1 sa1"},
    {2701, "request 2 unsafe", "refuse 2 routing-stale 503 not-run after=50"},
    {2702, "revoke 5000", ""},
    {2703, "request 3 unsafe", "send 3.1 sa1"},
};

/* The request may have run: it is not sent again or reported as not run. */
static const forwarding_line_t broken_unsafe_request_is_not_retried[] = {
    FORWARDING_OPENED,
    {1, "runner sb1", ""},
    {10, "request 1 unsafe", "send 1.1 sa1"},
    {20, "broken 1 1", "cancel 1.1; refuse 1 runner-lost 502"},
};

static const forwarding_line_t unsent_unsafe_request_is_retried[] = {
    FORWARDING_OPENED,
    {1, "runner sb1", ""},
    {10, "request 1 unsafe", "send 1.1 sa1"},
    {20, "unsent 1 1", "cancel 1.1; send 1.2 sb1"},
    {30, "head 1 2 503 not-run", ""},
    {30, "whole 1 2", "refuse 1 runners-full 503 not-run after=500"},
};

static const forwarding_line_t safe_request_runs_at_most_twice[] = {
    FORWARDING_OPENED,
    {1, "runner sb1", ""},
    {1, "runner sc1", ""},
    {10, "request 1 safe", "send 1.1 sa1"},
    {20, "broken 1 1", "cancel 1.1; send 1.2 sc1"},
    {30, "broken 1 2", "cancel 1.2; refuse 1 runner-lost 502"},
};

/*
 * A request crashes each runner that it is sent to.  After two within a second
 * it waits; after the third it is refused, with the time after which it may be
 * sent again.
 */
static const forwarding_line_t request_that_crashes_runners_is_refused[] = {
    FORWARDING_OPENED,
    {1, "list ra1 ra2 ra3 ra4 ra5 rb1 rb2 rb3 rb4 rb5 rc1 rc2 rc3 rc4 sa1",
     ""},
    {10, "request 1 stream content=7", NULL},
    {60, "broken 1 1", NULL},
    {110, "broken 1 2", "cancel 1.2"},
    {1200, "timer", NULL},
    {1250, "broken 1 3", "cancel 1.3; refuse 1 harmful 502"},
    {2500, "request 2 stream content=7",
     "refuse 2 harmful 503 not-run after=597560"},
    {2600, "request 3 stream content=8", NULL},
};

static const forwarding_line_t rejected_trial_is_followed_by_another[] = {
    FORWARDING_OPENED,
    {1, "list ra1 ra2 ra3 ra4 ra5 rb1 rb2 rb3 rb4 rb5 rc1 rc2 rc3 rc4 sa1",
     ""},
    {10, "request 1 stream content=7", NULL},
    {60, "broken 1 1", NULL},
    {110, "broken 1 2", "cancel 1.2"},
    {1200, "timer", NULL},
    {1250, "broken 1 3", "cancel 1.3; refuse 1 harmful 502"},
    {3300, "request 2 stream content=7", ""},
    {4500, "timer", "probe 0 ra1; send 2.1 ra5 backup=10.17.1.4:80"},
    {4502, "head 2 1 421 not-run", ""},
    {4502, "whole 2 1", ""},
    {5702, "timer", "probe 0 rb1; send 2.2 rc2 backup=10.17.1.4:80"},
};

/* Other hosts tell a draining host of no trials. */
static const forwarding_line_t draining_host_makes_no_trials[] = {
    FORWARDING_OPENED,
    {1, "list ra1 ra2 ra3 ra4 ra5 rb1 rb2 rb3 rb4 rb5 rc1 rc2 rc3 rc4 sa1",
     ""},
    {10, "request 1 stream content=7", NULL},
    {60, "broken 1 1", NULL},
    {110, "broken 1 2", "cancel 1.2"},
    {1200, "timer", NULL},
    {1250, "broken 1 3", "cancel 1.3; refuse 1 harmful 502"},
    {3200, "drain", ""},
    {3300, "request 2 stream content=7 deadline=3000",
     "refuse 2 leaving 503 not-run after=50"},
};

/* An error of a runner does not show that the request can complete. */
static const forwarding_line_t error_response_does_not_clear_a_request[] = {
    FORWARDING_OPENED,
    {1, "list ra1 ra2 ra3 ra4 ra5 rb1 rb2 rb3 rb4 rb5 rc1 rc2 rc3 rc4 sa1",
     ""},
    {10, "request 1 stream content=7", NULL},
    {60, "broken 1 1", NULL},
    {110, "broken 1 2", "cancel 1.2"},
    {1200, "timer", NULL},
    {1250, "head 1 3 500", ""},
    {1250, "whole 1 3", "answer 1.3"},
    {1300, "request 2 stream content=7", NULL},
    {1350, "broken 2 1", "cancel 2.1; refuse 2 harmful 502"},
};

/* Runners that refuse connections are each tried once, and not all of them. */
static const forwarding_line_t unreachable_runners_are_not_tried_again[] = {
    FORWARDING_OPENED,
    {1, "list ra1 ra2 ra3 ra4 ra5 rb1 rb2 rb3 rb4 rb5 rc1 rc2 rc3 rc4 rc5 sa1",
     ""},
    {10, "request 1 stream", NULL},
    {20, "unsent 1 1", NULL},
    {20, "unsent 1 2", NULL},
    {20, "unsent 1 3", NULL},
    {20, "unsent 1 4", NULL},
    {20, "unsent 1 5", NULL},
    {20, "unsent 1 6", NULL},
    {20, "unsent 1 7", NULL},
    {20, "unsent 1 8", NULL},
    {20, "unsent 1 9", NULL},
    {20, "unsent 1 10", NULL},
    {20, "unsent 1 11", NULL},
    {20, "unsent 1 12",
     "cancel 1.12; refuse 1 no-runner 503 not-run after=500"},
};

/* A response to another request, or without a valid runner signature. */
static const forwarding_line_t unauthentic_response_is_refused[] = {
    FORWARDING_OPENED,
    {10, "request 1 unsafe", "send 1.1 sa1"},
    {20, "head 1 1 200 stranger", ""},
    {20, "whole 1 1", "cancel 1.1; refuse 1 bad-answer 502"},
};

static const forwarding_line_t stream_resumes_from_copy[] = {
    FORWARDING_OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {940, "event 1 1 1", ""},
    {950, "broken 1 1",
     "cancel 1.1; send 1.2 ra1 restore=10.17.0.1:80/q1 "
     "backup=10.17.1.1:80 resume"},
    {990, "head 1 2 200", "begin 1.2"},
    {990, "event 1 2 2", ""},
    {999, "whole 1 2", "finish 1"},
};

/* If the standby has no copy, another runner prefills the prompt again. */
static const forwarding_line_t stream_without_copy_restarts_elsewhere[] = {
    FORWARDING_OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {950, "broken 1 1",
     "cancel 1.1; send 1.2 ra1 restore=10.17.0.1:80/q1 "
     "backup=10.17.1.1:80 resume"},
    {960, "head 1 2 503 not-run", ""},
    {960, "whole 1 2", "send 1.3 rb1 backup=10.17.0.1:80 resume"},
};

static const forwarding_line_t non_resumable_stream_is_aborted[] = {
    FORWARDING_OPENED,
    {10, "request 1 once", "send 1.1 rc1"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {950, "broken 1 1", "cancel 1.1; break 1 runner-lost 0"},
};

/* A runner that does not answer the probe has lost its requests. */
static const forwarding_line_t idle_runner_is_probed[] = {
    FORWARDING_OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {1119, "timer", ""},
    {1120, "timer", "probe 1 rc1; probe 1 ra1"},
    {1122, "probed rc1 yes", ""},
    {1130, "event 1 1 1", ""},
    {1350, "timer", "probe 1 rc1; probe 1 ra1"},
    {1450, "probed rc1 no",
     "cancel 1.1; send 1.2 ra1 restore=10.17.0.1:80/q1 "
     "backup=10.17.1.1:80 resume"},
};

/* After a pause of the host, runners do not count as idle during it. */
static const forwarding_line_t own_pause_restarts_timeouts[] = {
    FORWARDING_OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {4000, "timer", ""},
    {4010, "event 1 1 1", ""},
    {4230, "timer", "probe 1 rc1; probe 1 ra1"},
};

static const forwarding_line_t closed_caller_cancels_attempt[] = {
    FORWARDING_OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {20, "gone 1", "cancel 1.1"},
    {30, "head 1 1 200", ""},
};

static const forwarding_line_t expired_deadline_ends_request[] = {
    FORWARDING_OPENED,
    {10, "request 1 unsafe deadline=300", "send 1.1 sa1"},
    {309, "timer", NULL},
    {310, "timer", "cancel 1.1; refuse 1 timeout 504"},
};

/* What lasts longer would be broken off at the end of the drain. */
static const forwarding_line_t draining_host_takes_what_outlives_it[] = {
    FORWARDING_OPENED,
    {1000, "drain", ""},
    {1500, "request 1 stream", "refuse 1 leaving 503 not-run after=50"},
    {1500, "request 2 stream deadline=6800",
     "send 2.1 ra1 backup=10.17.2.1:80"},
    {1501, "request 3 stream deadline=6800",
     "refuse 3 leaving 503 not-run after=50"},
    {7999, "contact", ""},
    {8000, "request 4 unsafe deadline=300", "send 4.1 sa1"},
    {8001, "request 5 unsafe deadline=300",
     "refuse 5 leaving 503 not-run after=50"},
    {8290, "request 6 safe deadline=10", "send 6.1 sa1"},
    {8290, "request 7 safe deadline=11",
     "refuse 7 leaving 503 not-run after=50"},
};

/* Callers of requests that wait would be told nothing. */
static const forwarding_line_t host_that_stops_drops_requests[] = {
    FORWARDING_OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {11, "request 2 unsafe", "send 2.1 sa1"},
    {1000, "drain", ""},
    {1001, "stop",
     "cancel 1.1; refuse 1 leaving 502; cancel 2.1; refuse 2 leaving 502"},
};

static const forwarding_line_t draining_runner_gets_no_requests[] = {
    FORWARDING_OPENED,
    {1, "runner sb1", ""},
    {2, "runner sa1 draining", ""},
    {10, "request 1 unsafe", "send 1.1 sb1"},
    {11, "drop sb1", ""},
    {12, "request 2 unsafe", "refuse 2 no-runner 503 not-run after=500"},
};

static const forwarding_line_t runner_that_says_it_leaves_gets_no_requests[] =
    {
        FORWARDING_OPENED,
        {1, "runner sb1", ""},
        {10, "request 1 unsafe", "send 1.1 sa1"},
        {20, "head 1 1 200 leaving", ""},
        {21, "request 2 unsafe", "send 2.1 sb1"},
        {30, "whole 1 1", "answer 1.1"},
        {40, "runner sa1", ""},
        {41, "request 3 unsafe", "send 3.1 sb1"},
};

/* The entry is removed and an older one is listed again. */
static const forwarding_line_t entry_listed_again_does_not_undo_leaving[] = {
    FORWARDING_OPENED,
    {10, "request 1 unsafe", "send 1.1 sa1"},
    {20, "head 1 1 200 leaving", ""},
    {20, "whole 1 1", "answer 1.1"},
    {30, "drop sa1", ""},
    {5000, "timer", ""},
    {5001, "contact", ""},
    {5002, "runner sa1", ""},
    {5003, "request 2 unsafe", "refuse 2 no-runner 503 not-run after=500"},
    {5004, "runner sa1 born=9", ""},
    {5005, "request 3 unsafe", "send 3.1 sa1"},
};

static const forwarding_line_t probe_tells_that_a_runner_leaves[] = {
    FORWARDING_OPENED,
    {1, "runner sb1", ""},
    {10, "probed sa1 yes leaving", ""},
    {11, "request 1 unsafe", "send 1.1 sb1"},
};

static const forwarding_line_t other_host_tells_that_a_runner_leaves[] = {
    FORWARDING_OPENED,
    {1, "runner sb1", ""},
    {10, "peer h2 leaves=sa1", ""},
    {11, "request 1 unsafe", "send 1.1 sb1"},
};

static const forwarding_line_t standby_that_leaves_is_replaced[] = {
    FORWARDING_OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {20, "head 1 1 200", "begin 1.1"},
    {30, "event 1 1 1", ""},
    {40, "probed ra1 yes leaving", "copy 1.1 10.17.1.1:80"},
};

static const forwarding_line_t older_entry_does_not_undo_draining[] = {
    FORWARDING_OPENED,
    {1, "runner sb1 born=1", ""},
    {2, "runner sa1 draining", ""},
    {3, "runner sb1 born=2 draining", ""},
    {12, "runner sb1 born=2", ""},
    {13, "request 1 unsafe", "refuse 1 no-runner 503 not-run after=500"},
    {14, "runner sb1 born=3", ""},
    {15, "request 2 unsafe", "send 2.1 sb1"},
};

/* Entries that expired in an outage of the store are used for two seconds. */
static const forwarding_line_t entries_expired_in_outage_have_grace[] = {
    FORWARDING_OPENED,
    {4000, "regained", ""},
    {4000, "list ra1 rb1 rc1", ""},
    {4000, "contact", ""},
    {5900, "request 1 unsafe", "send 1.1 sa1"},
    {6001, "request 2 unsafe", "refuse 2 no-runner 503 not-run after=500"},
};

/* The host that was polled was slow, and the store answered all the while. */
static const forwarding_line_t old_view_is_not_taken_for_an_outage[] = {
    FORWARDING_OPENED,
    {2400, "drop sa1", ""},
    {2400, "contact", ""},
    {2401, "request 1 unsafe", "refuse 1 no-runner 503 not-run after=500"},
};

/* The grace is for the time after the outage, not for each entry. */
static const forwarding_line_t grace_ends_after_outage[] = {
    FORWARDING_OPENED,
    {4000, "regained", ""},
    {4000, "contact", ""},
    {5500, "drop sa1", ""},
    {5900, "request 1 unsafe", "send 1.1 sa1"},
    {6001, "request 2 unsafe", "refuse 2 no-runner 503 not-run after=500"},
};

/* Entries last longer than so short an outage. */
static const forwarding_line_t short_outage_gives_no_grace[] = {
    FORWARDING_OPENED,
    {1900, "regained", ""},
    {1900, "drop sa1", ""},
    {1900, "contact", ""},
    {1901, "request 1 unsafe", "refuse 1 no-runner 503 not-run after=500"},
};

static const forwarding_line_t old_view_is_confirmed_before_it_is_too_old[] = {
    FORWARDING_OPENED,
    {1, "bound 2000 3000", ""},
    {1, "contact", ""},
    {1400, "timer", ""},
    {1401, "timer", "confirm 0"},
    {1402, "timer", ""},
    {1410, "contact", ""},
    {2809, "timer", ""},
    {2810, "timer", "confirm 0"},
};

/* The shorter limit counts, also if the other one is not set. */
static const forwarding_line_t shortest_limit_bounds_the_view[] = {
    FORWARDING_OPENED,    {1, "bound 3000 1000", ""},
    {1, "contact", ""},   {401, "timer", "confirm 0"},
    {402, "contact", ""}, {403, "bound 0 2000", ""},
    {1801, "timer", ""},  {1802, "timer", "confirm 0"},
};

/* A host that was short of processor time reads requests before changes. */
static const forwarding_line_t request_waits_for_a_current_view[] = {
    FORWARDING_OPENED,
    {1, "bound 2000 2000", ""},
    {1, "contact", ""},
    {2500, "request 1 unsafe", "confirm 0"},
    {2501, "request 2 missing", ""},
    {2510, "runner sb1", ""},
    {2510, "runner sa1 draining", ""},
    {2511, "contact", "send 1.1 sb1; refuse 2 no-route 404 not-run"},
    {2512, "request 3 unsafe", "send 3.1 sb1"},
};

static const forwarding_line_t request_waits_no_longer_than_a_call[] = {
    FORWARDING_OPENED,
    {1, "bound 2000 2000", ""},
    {1, "contact", ""},
    {2500, "request 1 unsafe", "confirm 0"},
    {3099, "timer", ""},
    {3100, "timer", "send 1.1 sa1"},
    {3101, "request 2 unsafe", ""},
    {3102, "gone 2", ""},
};

/* All hosts may lack the store: it would serve no better elsewhere. */
static const forwarding_line_t request_is_served_while_the_store_is_away[] = {
    FORWARDING_OPENED,
    {1, "bound 2000 2000", ""},
    {1, "contact", ""},
    {1401, "timer", "confirm 0"},
    {2500, "request 1 unsafe", ""},
    {2600, "lost-store", "send 1.1 sa1"},
    {2601, "request 2 unsafe", "send 2.1 sa1"},
};

/* Time that it has waited is not added to its deadline. */
static const forwarding_line_t waiting_request_keeps_its_deadline[] = {
    FORWARDING_OPENED,
    {1, "bound 2000 2000", ""},
    {1, "contact", ""},
    {2500, "request 1 unsafe deadline=500", "confirm 0"},
    {2600, "contact", "send 1.1 sa1"},
    {2999, "timer", ""},
    {3000, "timer", "cancel 1.1; refuse 1 timeout 504"},
};

/* A runner that restarts at its address leaves a stale entry behind. */
static const forwarding_line_t reused_address_replaces_old_entry[] = {
    FORWARDING_OPENED,
    {5, "runner sa1 as=new", ""},
    {10, "request 1 unsafe", "send 1.1 new"},
    {20, "request 2 unsafe", "send 2.1 new"},
    {30, "drop new", ""},
    {40, "request 3 unsafe", "refuse 3 no-runner 503 not-run after=500"},
};

/* The same id with another start time is a restarted runner without state. */
static const forwarding_line_t restarted_runner_is_used_again[] = {
    FORWARDING_OPENED,
    {1, "runner sb1 born=1", ""},
    {2, "runner sa1 draining", ""},
    {10, "request 1 unsafe", "send 1.1 sb1"},
    {20, "head 1 1 421 not-run", ""},
    {20, "whole 1 1", "refuse 1 runners-full 503 not-run after=500"},
    {30, "request 2 unsafe", "refuse 2 no-runner 503 not-run after=500"},
    {40, "runner sb1 born=2", ""},
    {50, "request 3 unsafe", "send 3.1 sb1"},
};

/*
 * Under load, an engine drops a request in prefill and keeps running.  The
 * request counts as dropped after two consecutive reports that cannot include
 * it; a report that may include it resets the count.
 */
static const forwarding_line_t dropped_prompt_is_sent_elsewhere[] = {
    FORWARDING_OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {510, "timer", ""},
    {910, "timer", "probe 1 rc1; probe 1 rb1"},
    {912, "probed rc1 yes active=0", ""},
    {1512, "timer", "probe 1 rc1; probe 1 rb1"},
    {1516, "probed rc1 yes active=1", ""},
    {2016, "timer", "probe 1 rc1; probe 1 rb1"},
    {2018, "probed rc1 yes active=1 runs=q9", ""},
    {2518, "timer", "probe 1 rc1; probe 1 rb1"},
    {2520, "probed rc1 yes active=2 queued=1 runs=q9", ""},
    {3020, "timer", "probe 1 rc1; probe 1 rb1"},
    {3022, "probed rc1 yes active=0", ""},
    {3522, "timer", "probe 1 rc1; probe 1 rb1"},
    {3524, "probed rc1 yes active=0",
     "cancel 1.1; send 1.2 rb1 backup=10.17.0.1:80"},
};

/* The same for a started stream, which reports list by its id. */
static const forwarding_line_t dropped_stream_is_resumed[] = {
    FORWARDING_OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {1120, "timer", "probe 1 rc1; probe 1 ra1"},
    {1121, "probed rc1 yes active=1 runs=q9", ""},
    {1800, "event 1 1 1", ""},
    {2020, "timer", "probe 1 rc1; probe 1 ra1"},
    {2021, "probed rc1 yes active=1 runs=q1", ""},
    {2241, "timer", "probe 1 rc1; probe 1 ra1"},
    {2242, "probed rc1 yes active=1 runs=q9", ""},
    {2462, "timer", "probe 1 rc1; probe 1 ra1"},
    {2463, "probed rc1 yes active=1 runs=q9",
     "cancel 1.1; send 1.2 ra1 restore=10.17.0.1:80/q1 "
     "backup=10.17.1.1:80 resume"},
};

static const forwarding_script_t scripts[] = {
    FORWARDING_SCRIPT(plain_response_is_relayed),
    FORWARDING_SCRIPT(refuses_without_routing_table),
    FORWARDING_SCRIPT(refuses_unknown_path_or_key),
    FORWARDING_SCRIPT(refuses_with_stale_routing_table),
    FORWARDING_SCRIPT(changed_revoke_limit_takes_effect),
    FORWARDING_SCRIPT(rejected_trial_is_followed_by_another),
    FORWARDING_SCRIPT(draining_host_makes_no_trials),
    FORWARDING_SCRIPT(error_response_does_not_clear_a_request),
    FORWARDING_SCRIPT(unreachable_runners_are_not_tried_again),
    FORWARDING_SCRIPT(request_that_crashes_runners_is_refused),
    FORWARDING_SCRIPT(broken_unsafe_request_is_not_retried),
    FORWARDING_SCRIPT(unsent_unsafe_request_is_retried),
    FORWARDING_SCRIPT(safe_request_runs_at_most_twice),
    FORWARDING_SCRIPT(unauthentic_response_is_refused),
    FORWARDING_SCRIPT(stream_resumes_from_copy),
    FORWARDING_SCRIPT(stream_without_copy_restarts_elsewhere),
    FORWARDING_SCRIPT(non_resumable_stream_is_aborted),
    FORWARDING_SCRIPT(idle_runner_is_probed),
    FORWARDING_SCRIPT(own_pause_restarts_timeouts),
    FORWARDING_SCRIPT(closed_caller_cancels_attempt),
    FORWARDING_SCRIPT(expired_deadline_ends_request),
    FORWARDING_SCRIPT(draining_host_takes_what_outlives_it),
    FORWARDING_SCRIPT(host_that_stops_drops_requests),
    FORWARDING_SCRIPT(draining_runner_gets_no_requests),
    FORWARDING_SCRIPT(older_entry_does_not_undo_draining),
    FORWARDING_SCRIPT(entries_expired_in_outage_have_grace),
    FORWARDING_SCRIPT(old_view_is_not_taken_for_an_outage),
    FORWARDING_SCRIPT(grace_ends_after_outage),
    FORWARDING_SCRIPT(runner_that_says_it_leaves_gets_no_requests),
    FORWARDING_SCRIPT(entry_listed_again_does_not_undo_leaving),
    FORWARDING_SCRIPT(probe_tells_that_a_runner_leaves),
    FORWARDING_SCRIPT(other_host_tells_that_a_runner_leaves),
    FORWARDING_SCRIPT(standby_that_leaves_is_replaced),
    FORWARDING_SCRIPT(old_view_is_confirmed_before_it_is_too_old),
    FORWARDING_SCRIPT(shortest_limit_bounds_the_view),
    FORWARDING_SCRIPT(request_waits_for_a_current_view),
    FORWARDING_SCRIPT(request_waits_no_longer_than_a_call),
    FORWARDING_SCRIPT(request_is_served_while_the_store_is_away),
    FORWARDING_SCRIPT(waiting_request_keeps_its_deadline),
    FORWARDING_SCRIPT(short_outage_gives_no_grace),
    FORWARDING_SCRIPT(reused_address_replaces_old_entry),
    FORWARDING_SCRIPT(restarted_runner_is_used_again),
    FORWARDING_SCRIPT(dropped_prompt_is_sent_elsewhere),
    FORWARDING_SCRIPT(dropped_stream_is_resumed),
};

START_TEST(test_script)
{
    forwarding_play(&scripts[_i]);
}
END_TEST

/* More concurrent callers than requests_max. */
START_TEST(test_refuses_at_requests_max)
{
    forward_t *forward = forwarding_open();
    char event[64];
    int i;

    (void)forwarding_do(forward, 0, "routing 1");
    (void)forwarding_do(forward, 0, "contact");
    (void)forwarding_do(forward, 0, "list sa1 sb1 sc1");
    for (i = 1; i <= 100; i++) {
        (void)snprintf(event, sizeof(event), "request %d unsafe", i);
        ck_assert(strstr(forwarding_do(forward, 10, event), "send") != NULL);
    }
    ck_assert_str_eq(forwarding_do(forward, 10, "request 101 unsafe"),
                     "refuse 101 host-full 503 not-run after=50");
    (void)forwarding_do(forward, 20, "gone 1");
    ck_assert(strstr(forwarding_do(forward, 20, "request 102 unsafe"),
                     "send") != NULL);
    forward_free(forward);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("forward");

    tcase_add_loop_test(tcase, test_script, 0, COUNT(scripts));
    tcase_add_test(tcase, test_refuses_at_requests_max);
    return fixture_main("forward", tcase);
}
