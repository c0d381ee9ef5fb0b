/*
 * test_silence.c - tests that the silence of a runner ends no request.
 */
#include <check.h>

#include "regress/fixture.h"
#include "regress/forwarding.h"

/* A stream that runs on rc1 with a copy on ra1; its last event is at 900. */
#define STREAM_STARTED                                                        \
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},             \
        {900, "head 1 1 200", "begin 1.1"},                                   \
    {                                                                         \
        900, "event 1 1 0", ""                                                \
    }

static const forwarding_line_t unsafe_request_is_ended_by_silence[] = {
    FORWARDING_OPENED,
    {10, "request 1 unsafe deadline=600", "send 1.1 sa1"},
    {310, "timer", ""},
    {410, "probed sa1 no", ""},
    {500, "head 1 1 200", ""},
    {500, "whole 1 1", "answer 1.1"},
};

static const forwarding_line_t silent_unsafe_request_outlives_deadline[] = {
    FORWARDING_OPENED,
    {10, "request 1 unsafe deadline=600", "send 1.1 sa1"},
    {609, "timer", ""},
    {610, "timer", "cancel 1.1; refuse 1 timeout 504"},
};

static const forwarding_line_t safe_request_is_ended_by_silence[] = {
    FORWARDING_OPENED,
    {10, "request 1 safe deadline=600", "send 1.1 sa1"},
    {310, "timer", "probe 1 sa1"},
    {410, "probed sa1 no", ""},
    {450, "head 1 1 200", ""},
    {450, "whole 1 1", "answer 1.1"},
};

static const forwarding_line_t silent_safe_request_waits_beside_a_runner[] = {
    FORWARDING_OPENED,
    {1, "runner sb1", ""},
    {10, "request 1 safe", "send 1.1 sa1"},
    {310, "timer", "probe 1 sa1; probe 1 sb1"},
    {410, "probed sa1 silent", "cancel 1.1; send 1.2 sb1"},
    {900, "head 1 2 200", ""},
    {900, "whole 1 2", "answer 1.2"},
};

static const forwarding_line_t paused_runner_loses_its_stream[] = {
    FORWARDING_OPENED,
    STREAM_STARTED,
    {1120, "timer", "probe 1 rc1; probe 1 ra1"},
    {1220, "probed rc1 silent", ""},
    {1440, "timer", "probe 1 rc1; probe 1 ra1"},
    {1540, "probed rc1 silent", ""},
    {2400, "event 1 1 1", ""},
    {2500, "whole 1 1", "finish 1"},
};

/* A probe without a response, and the next one. */
#define PAUSED(at_ms)                                                         \
    {(at_ms)-120, "probed rc1 silent", ""},                                   \
        {(at_ms), "timer", "probe 1 rc1; probe 1 ra1"},                       \
    {                                                                         \
        (at_ms) + 220, "timer", ""                                            \
    }

static const forwarding_line_t hung_runner_keeps_its_stream[] = {
    FORWARDING_OPENED,
    STREAM_STARTED,
    {1120, "timer", "probe 1 rc1; probe 1 ra1"},
    PAUSED(1340),
    PAUSED(1780),
    PAUSED(2220),
    PAUSED(2660),
    PAUSED(3100),
    PAUSED(3540),
    {3780, "probed rc1 silent", ""},
    {3899, "timer", "probe 1 rc1; probe 1 ra1"},
    {3900, "timer",
     "cancel 1.1; send 1.2 ra1 restore=10.17.0.1:80/q1 "
     "backup=10.17.1.1:80 resume"},
};

static const forwarding_line_t unreachable_runner_keeps_its_stream[] = {
    FORWARDING_OPENED,
    STREAM_STARTED,
    {1120, "timer", "probe 1 rc1; probe 1 ra1"},
    {1220, "probed rc1 no",
     "cancel 1.1; send 1.2 ra1 restore=10.17.0.1:80/q1 "
     "backup=10.17.1.1:80 resume"},
};

static const forwarding_line_t silent_runners_put_zone_into_cooldown[] = {
    FORWARDING_OPENED,
    {1, "list sa1 sa2 sa3 sb1", ""},
    {10, "request 1 safe", NULL},
    {10, "request 2 safe", NULL},
    {310, "timer", NULL},
    {410, "probed sa1 no", NULL},
    {410, "probed sa2 no", NULL},
    {410, "probed sa3 no", NULL},
    {900, "request 3 safe", "send 3.1 sa2"},
};

static const forwarding_line_t stream_is_moved_to_a_silent_standby[] = {
    FORWARDING_OPENED,
    STREAM_STARTED,
    {1120, "timer", "probe 1 rc1; probe 1 ra1"},
    {1200, "probed ra1 no", ""},
    {1220, "probed rc1 no", ""},
    {1340, "timer", "probe 1 rc1; probe 1 ra1"},
    {1350, "probed ra1 yes", ""},
    {1440, "probed rc1 no",
     "cancel 1.1; send 1.2 ra1 restore=10.17.0.1:80/q1 "
     "backup=10.17.1.1:80 resume"},
};

static const forwarding_line_t stream_without_other_runner_is_broken_off[] = {
    {0, "routing 1", ""},
    {0, "contact", ""},
    {0, "hosts 1", ""},
    {0, "list ra1", ""},
    {10, "request 1 stream", "send 1.1 ra1"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {1120, "timer", NULL},
    {1220, "probed ra1 no", ""},
    {1340, "timer", "probe 1 ra1"},
    {1440, "probed ra1 no", ""},
    {1560, "timer", "probe 1 ra1"},
    {1660, "probed ra1 no", ""},
    {1780, "timer", "probe 1 ra1"},
    {1880, "probed ra1 no", ""},
    {2000, "timer", "probe 1 ra1"},
    {2100, "probed ra1 no", ""},
    {2200, "timer", ""},
    {2300, "timer", "probe 1 ra1"},
    {2400, "timer", ""},
    {2500, "timer", ""},
    {2600, "timer", ""},
    {2600, "event 1 1 1", ""},
    {3900, "whole 1 1", "finish 1"},
};

static const forwarding_line_t restarted_runner_keeps_its_stream[] = {
    {0, "routing 1", ""},
    {0, "contact", ""},
    {0, "hosts 1", ""},
    {0, "list ra1", ""},
    {10, "request 1 stream", "send 1.1 ra1"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {1120, "timer", NULL},
    {1220, "probed ra1 no", ""},
    {1300, "runner ra1 born=5", "cancel 1.1; send 1.2 ra1 resume"},
};

/* It had restarted before its silence was noticed. */
static const forwarding_line_t stream_of_ended_runner_is_held[] = {
    {0, "routing 1", ""},
    {0, "contact", ""},
    {0, "hosts 1", ""},
    {0, "list ra1", ""},
    {10, "request 1 stream", "send 1.1 ra1"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {1100, "runner ra1 born=5", ""},
    {1120, "timer", NULL},
    {1220, "probed ra1 no", "cancel 1.1; send 1.2 ra1 resume"},
};

/* Its next probe is due as well. */
static const forwarding_line_t stalled_stream_without_runner_is_used[] = {
    {0, "routing 1", ""},
    {0, "contact", ""},
    {0, "hosts 1", ""},
    {0, "list ra1", ""},
    {10, "request 1 stream", "send 1.1 ra1"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {1120, "timer", NULL},
    {1130, "probed ra1 yes", ""},
    {1340, "timer", NULL},
    {1350, "probed ra1 yes", ""},
    {1560, "timer", NULL},
    {1570, "probed ra1 yes", ""},
    {1780, "timer", NULL},
    {1790, "probed ra1 yes", ""},
    {2000, "timer", NULL},
    {2010, "probed ra1 yes", ""},
    {2400, "timer", "cancel 1.1"},
    {2500, "timer", "send 1.2 ra1 resume"},
};

static const forwarding_line_t missing_entry_ends_silent_requests[] = {
    FORWARDING_OPENED,
    {10, "request 1 unsafe deadline=600", "send 1.1 sa1"},
    {12, "request 2 safe deadline=600", "send 2.1 sa1"},
    {312, "timer", "probe 2 sa1"},
    {412, "probed sa1 no", ""},
    {500, "drop sa1", ""},
    {510, "head 1 1 200", ""},
    {510, "whole 1 1", "answer 1.1"},
    {510, "head 2 1 200", ""},
    {510, "whole 2 1", "answer 2.1"},
};

static const forwarding_line_t restart_of_a_paused_runner_is_missed[] = {
    FORWARDING_OPENED,
    STREAM_STARTED,
    {1120, "timer", "probe 1 rc1; probe 1 ra1"},
    {1220, "probed rc1 silent", ""},
    {1300, "runner rc1 born=5",
     "cancel 1.1; send 1.2 ra1 restore=10.17.0.1:80/q1 "
     "backup=10.17.1.1:80 resume"},
};

/* Four of the five runs that its route allows have been used up. */
static const forwarding_line_t stream_without_runs_is_broken_off[] = {
    FORWARDING_OPENED,
    STREAM_STARTED,
    {1220, "broken 1 1", NULL},
    {1230, "head 1 2 200", NULL},
    {1230, "event 1 2 1", ""},
    {3000, "broken 1 2", NULL},
    {3010, "head 1 3 200", NULL},
    {3010, "event 1 3 2", ""},
    {6000, "broken 1 3", NULL},
    {6010, "head 1 4 200", NULL},
    {6010, "event 1 4 3", ""},
    {6230, "timer", "probe 1 rc1; probe 1 ra1"},
    {6330, "probed rc1 no", ""},
    {6450, "timer", "probe 1 rc1; probe 1 ra1"},
    {6550, "probed rc1 no", ""},
    {6700, "event 1 4 4", ""},
    {8100, "whole 1 4", "finish 1"},
};

/* The prompt is prefilled again only if the runner stays silent. */
static const forwarding_line_t silent_prompt_is_restarted_at_once[] = {
    FORWARDING_OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {510, "timer", ""},
    {910, "timer", "probe 1 rc1; probe 1 rb1"},
    {1000, "probed rc1 no", ""},
    {1005, "head 1 1 200", "begin 1.1"},
    {1005, "event 1 1 0", ""},
};

static const forwarding_line_t lost_prompt_is_never_restarted[] = {
    FORWARDING_OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {910, "timer", "probe 1 rc1; probe 1 rb1"},
    {1000, "probed rc1 no", ""},
    {1410, "timer", "probe 1 rc1; probe 1 rb1"},
    {1410, "probed rc1 no", "cancel 1.1; send 1.2 rb1 backup=10.17.0.1:80"},
};

/* Four runners of which each is silent in turn. */
static const forwarding_line_t silent_runners_make_a_content_harmful[] = {
    FORWARDING_OPENED,
    {1, "list ra1 rb1 rc1 ra2 rb2 rc2 sa1", ""},
    {10, "request 1 stream content=7", NULL},
    {510, "timer", NULL},
    {610, "probed rc1 no", NULL},
    {1010, "timer", NULL},
    {1110, "probed rc1 no", "cancel 1.1; send 1.2 rb2 backup=10.17.2.2:80"},
    {1610, "timer", NULL},
    {1710, "probed rb2 no", NULL},
    {2110, "timer", NULL},
    {2210, "probed rb2 no", "cancel 1.2; send 1.3 rb1 backup=10.17.2.2:80"},
    {2710, "timer", NULL},
    {2810, "probed rb1 no", NULL},
    {3210, "timer", NULL},
    {3310, "probed rb1 no", "cancel 1.3; send 1.4 rc2 backup=10.17.1.2:80"},
    {3900, "request 2 stream content=7", "send 2.1 rb2 backup=10.17.0.2:80"},
};

static const forwarding_line_t restarted_runner_counts_as_silent[] = {
    FORWARDING_OPENED,
    {1, "runner sb1", ""},
    {10, "request 1 safe", "send 1.1 sa1"},
    {310, "timer", "probe 1 sa1; probe 1 sb1"},
    {410, "probed sa1 no", "cancel 1.1; send 1.2 sb1"},
    {450, "runner sa1 born=5", ""},
    {460, "request 2 safe", "send 2.1 sa1"},
};

static const forwarding_line_t silent_next_runner_loses_other_requests[] = {
    FORWARDING_OPENED,
    {1, "runner sb1", ""},
    {10, "request 1 safe", "send 1.1 sa1"},
    {200, "request 2 safe", "send 2.1 sb1"},
    {310, "timer", "probe 1 sa1; probe 1 sb1"},
    {390, "probed sb1 silent", ""},
    {410, "probed sa1 yes", ""},
    {450, "head 2 1 200", ""},
    {450, "whole 2 1", "answer 2.1"},
};

static const forwarding_line_t silent_next_runner_loses_other_streams[] = {
    FORWARDING_OPENED,
    STREAM_STARTED,
    {910, "request 2 stream", NULL},
    {1000, "head 2 1 200", "begin 2.1"},
    {1020, "event 2 1 0", NULL},
    {1120, "timer", NULL},
    {1200, "probed ra1 no", ""},
    {1210, "event 2 1 1", ""},
};

static const forwarding_line_t own_pause_loses_probed_stream[] = {
    FORWARDING_OPENED,
    STREAM_STARTED,
    {1120, "timer", "probe 1 rc1; probe 1 ra1"},
    {2100, "probed ra1 no", ""},
    {2100, "probed rc1 no", ""},
    {2101, "timer", ""},
    {2321, "timer", "probe 1 rc1; probe 1 ra1"},
    {2421, "probed rc1 no",
     "cancel 1.1; send 1.2 ra1 restore=10.17.0.1:80/q1 "
     "backup=10.17.1.1:80 resume"},
};

static const forwarding_script_t scripts[] = {
    FORWARDING_SCRIPT(unsafe_request_is_ended_by_silence),
    FORWARDING_SCRIPT(silent_unsafe_request_outlives_deadline),
    FORWARDING_SCRIPT(safe_request_is_ended_by_silence),
    FORWARDING_SCRIPT(silent_safe_request_waits_beside_a_runner),
    FORWARDING_SCRIPT(paused_runner_loses_its_stream),
    FORWARDING_SCRIPT(hung_runner_keeps_its_stream),
    FORWARDING_SCRIPT(unreachable_runner_keeps_its_stream),
    FORWARDING_SCRIPT(silent_runners_put_zone_into_cooldown),
    FORWARDING_SCRIPT(stream_is_moved_to_a_silent_standby),
    FORWARDING_SCRIPT(stream_without_other_runner_is_broken_off),
    FORWARDING_SCRIPT(restarted_runner_keeps_its_stream),
    FORWARDING_SCRIPT(stream_of_ended_runner_is_held),
    FORWARDING_SCRIPT(stalled_stream_without_runner_is_used),
    FORWARDING_SCRIPT(missing_entry_ends_silent_requests),
    FORWARDING_SCRIPT(restart_of_a_paused_runner_is_missed),
    FORWARDING_SCRIPT(stream_without_runs_is_broken_off),
    FORWARDING_SCRIPT(silent_prompt_is_restarted_at_once),
    FORWARDING_SCRIPT(lost_prompt_is_never_restarted),
    FORWARDING_SCRIPT(silent_runners_make_a_content_harmful),
    FORWARDING_SCRIPT(restarted_runner_counts_as_silent),
    FORWARDING_SCRIPT(silent_next_runner_loses_other_requests),
    FORWARDING_SCRIPT(silent_next_runner_loses_other_streams),
    FORWARDING_SCRIPT(own_pause_loses_probed_stream),
};

START_TEST(test_script)
{
    forwarding_play(&scripts[_i]);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("silence");

    tcase_add_loop_test(tcase, test_script, 0, COUNT(scripts));
    return fixture_main("silence", tcase);
}
