/*
 * test_relay_usage.c - tests that the attempts of a request are counted once
 * over the hosts that relay it to each other.
 */
#include <check.h>

#include "regress/fixture.h"
#include "regress/forwarding.h"

/* This host is h1, in zone a. */
#define FLEET                                                                 \
    FORWARDING_OPENED, {1, "list ra1 rb1 rc1 sa1 sb1 sc1 sa2 sb2 sc2", ""},   \
    {                                                                         \
        1, "fleet h1 ha2 hb2 hc2", ""                                         \
    }
/* Three plain runners cannot be reached; request 9 finds out. */
#define ISOLATED                                                              \
    {100, "request 9 unsafe", NULL}, {101, "unsent 9 1", NULL},               \
        {102, "unsent 9 2", NULL}, {103, "gone 9", NULL},                     \
        {104, "request 8 unsafe", NULL}, {105, "unsent 8 1", NULL},           \
    {                                                                         \
        106, "gone 8", NULL                                                   \
    }

/* --- what the other host is granted, after 0, 1 and 2 attempts --- */

static const forwarding_line_t unsafe_request_runs_twice[] = {
    FLEET,
    ISOLATED,
    {110, "request 1 unsafe", "send 1.1 ha2 grant=1:0:0"},
    {120, "broken 1 1", "cancel 1.1; refuse 1 runner-lost 502"},
};

static const forwarding_line_t safe_request_gets_a_third_attempt[] = {
    FLEET,
    {10, "request 1 safe", "send 1.1 sa2"},
    ISOLATED,
    {110, "head 1 1 500", ""},
    {110, "whole 1 1", "send 1.2 ha2 grant=1:1:1"},
    {120, "head 1 2 500 used=1:1:sb1", ""},
    {120, "whole 1 2", "answer 1.2"},
};

static const forwarding_line_t safe_request_is_lost_with_attempts_left[] = {
    FLEET,
    ISOLATED,
    {110, "request 1 safe", "send 1.1 ha2 grant=2:0:0"},
    {120, "head 1 1 500 used=1:1:sb1", ""},
    {120, "whole 1 1", "send 1.2 hc2 grant=1:1:1"},
    {130, "head 1 2 500 used=1:1:sc1", ""},
    {130, "whole 1 2", "answer 1.2"},
};

static const forwarding_line_t stream_gets_a_sixth_attempt[] = {
    FLEET,
    ISOLATED,
    {110, "request 1 stream", "send 1.1 ha2 grant=3:0:0"},
    {120, "head 1 1 200 used=1:1:rb1", "begin 1.1"},
    {121, "event 1 1 0", ""},
    {130, "broken 1 1", "cancel 1.1; send 1.2 hc2 resume grant=1:3:1"},
    {140, "head 1 2 200 used=1:1:rc1", "begin 1.2"},
    {141, "event 1 2 1", ""},
    {150, "broken 1 2", "cancel 1.2; send 1.3 hb2 resume grant=1:4:2"},
    {160, "head 1 3 200 used=1:1", "begin 1.3"},
    {161, "event 1 3 2", ""},
    {170, "broken 1 3", "cancel 1.3; break 1 runner-lost 0"},
};

/* --- what comes back when the other host refuses --- */

static const forwarding_line_t refusal_without_a_run_uses_an_attempt[] = {
    FLEET,
    ISOLATED,
    {110, "request 1 unsafe", "send 1.1 ha2 grant=1:0:0"},
    {120, "head 1 1 503 stranger refused not-run used=0:0", ""},
    {120, "whole 1 1", "send 1.2 hc2 grant=1:0:0"},
};

/* Runners that rejected it received it. */
static const forwarding_line_t rejected_deliveries_are_not_repeats[] = {
    FLEET,
    ISOLATED,
    {110, "request 1 unsafe", "send 1.1 ha2 grant=1:0:0"},
    {120, "head 1 1 503 stranger refused not-run used=0:2:sb1,sc1", ""},
    {120, "whole 1 1", "send 1.2 hc2 grant=1:2:2"},
};

/* Twelve runners that were tried would end the search for another one. */
static const forwarding_line_t runner_counts_as_tried_again[] = {
    FLEET,
    ISOLATED,
    {110, "request 1 unsafe", "send 1.1 ha2 grant=1:0:0"},
    {120, "head 1 1 503 stranger refused not-run used=0:1:sb1", ""},
    {120, "whole 1 1", "send 1.2 hc2 grant=1:1:1"},
    {130, "head 1 2 503 stranger refused not-run used=0:1:sb1", ""},
    {130, "whole 1 2", "send 1.3 hb2 grant=1:2:1"},
};

static const forwarding_line_t run_of_a_refused_unsafe_request_is_forgotten[] =
    {
        FLEET,
        ISOLATED,
        {110, "request 1 unsafe", "send 1.1 ha2 grant=1:0:0"},
        {120, "head 1 1 502 stranger refused used=1:1:sb1", ""},
        {120, "whole 1 1", "refuse 1 no-runner 502"},
};

static const forwarding_line_t refused_safe_request_starts_anew[] = {
    FLEET,
    ISOLATED,
    {110, "request 1 safe", "send 1.1 ha2 grant=2:0:0"},
    {120, "head 1 1 502 stranger refused used=1:1:sb1", ""},
    {120, "whole 1 1", "send 1.2 hc2 grant=1:1:1"},
    {130, "head 1 2 502 stranger refused used=1:1:sc1", ""},
    {130, "whole 1 2", "refuse 1 no-runner 502"},
};

static const forwarding_line_t refused_stream_starts_anew[] = {
    FLEET,
    ISOLATED,
    {110, "request 1 stream", "send 1.1 ha2 grant=3:0:0"},
    {120, "head 1 1 502 stranger refused used=3:3:rb1", ""},
    {120, "whole 1 1", "send 1.2 hc2 grant=1:3:1"},
};

/* --- a host of another build does not tell what it has used --- */

static const forwarding_line_t silence_about_use_leaves_attempts[] = {
    FLEET,
    ISOLATED,
    {110, "request 1 safe", "send 1.1 ha2 grant=2:0:0"},
    {120, "head 1 1 500", ""},
    {120, "whole 1 1", "answer 1.1"},
    {130, "request 2 stream", "send 2.1 hb2 grant=3:0:0"},
    {140, "head 2 1 502 stranger refused", ""},
    {140, "whole 2 1", "refuse 2 no-runner 502"},
};

static const forwarding_line_t unconnected_host_uses_attempts[] = {
    FLEET,
    ISOLATED,
    {110, "request 1 unsafe", "send 1.1 ha2 grant=1:0:0"},
    {120, "unsent 1 1", "cancel 1.1; send 1.2 hc2 grant=1:0:0"},
    {130, "unsent 1 2", "cancel 1.2; send 1.3 hb2 grant=1:0:0"},
    {140, "unsent 1 3", NULL},
};

/* --- at the other host --- */

static const forwarding_line_t grant_is_exceeded[] = {
    FLEET,
    {10, "request 1 safe relayed grant=1:1:sa1", "send 1.1 sa2"},
    {20, "head 1 1 500", ""},
    {20, "whole 1 1", "answer 1.1"},
};

static const forwarding_line_t granted_runner_is_tried_again[] = {
    FLEET,
    {10, "request 1 unsafe relayed grant=1:3:sa1,sa2,sb1", "send 1.1 sb2"},
    {20, "head 1 1 503 not-run", ""},
    {20, "whole 1 1", "send 1.2 sc2"},
    {30, "head 1 2 503 not-run", ""},
    {30, "whole 1 2", "send 1.3 sc1"},
    {40, "head 1 3 503 not-run", ""},
    {40, "whole 1 3", "refuse 1 runners-full 503 not-run after=500"},
};

static const forwarding_line_t grant_exceeds_the_route[] = {
    FLEET,
    {10, "request 1 safe relayed grant=9:0", "send 1.1 sa2"},
    {20, "head 1 1 500", ""},
    {20, "whole 1 1", "send 1.2 sa1"},
    {30, "head 1 2 500", ""},
    {30, "whole 1 2", "answer 1.2"},
};

static const forwarding_line_t stream_exceeds_its_grant[] = {
    FLEET,
    {10, "request 1 stream relayed grant=2:1:rb1",
     "send 1.1 rc1 backup=10.17.0.1:80"},
    {20, "broken 1 1", "cancel 1.1; send 1.2 ra1 backup=10.17.1.1:80"},
    {30, "broken 1 2", "cancel 1.2; refuse 1 runner-lost 502"},
};

static const forwarding_script_t scripts[] = {
    FORWARDING_SCRIPT(unsafe_request_runs_twice),
    FORWARDING_SCRIPT(safe_request_gets_a_third_attempt),
    FORWARDING_SCRIPT(safe_request_is_lost_with_attempts_left),
    FORWARDING_SCRIPT(stream_gets_a_sixth_attempt),
    FORWARDING_SCRIPT(refusal_without_a_run_uses_an_attempt),
    FORWARDING_SCRIPT(rejected_deliveries_are_not_repeats),
    FORWARDING_SCRIPT(runner_counts_as_tried_again),
    FORWARDING_SCRIPT(run_of_a_refused_unsafe_request_is_forgotten),
    FORWARDING_SCRIPT(refused_safe_request_starts_anew),
    FORWARDING_SCRIPT(refused_stream_starts_anew),
    FORWARDING_SCRIPT(silence_about_use_leaves_attempts),
    FORWARDING_SCRIPT(unconnected_host_uses_attempts),
    FORWARDING_SCRIPT(grant_is_exceeded),
    FORWARDING_SCRIPT(granted_runner_is_tried_again),
    FORWARDING_SCRIPT(grant_exceeds_the_route),
    FORWARDING_SCRIPT(stream_exceeds_its_grant),
};

START_TEST(test_script)
{
    forwarding_play(&scripts[_i]);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("relay_usage");

    tcase_add_loop_test(tcase, test_script, 0, COUNT(scripts));
    return fixture_main("relay_usage", tcase);
}
