/* test_copies.c - what becomes of the copies of a stream: scripts. */
#include <check.h>

#include "regress/fixture.h"
#include "regress/forwarding.h"

/* A stream that has outlived its standby gets another copy, in time. */
static const forwarding_line_t lost_standby_is_replaced[] = {
    FORWARDING_OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {800, "runner rb2", ""},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {950, "runner ra1 as=new born=2", "copy 1.1 10.17.1.2:80"},
    {960, "timer", ""},
    {980, "copied 1 1 name=h7", ""},
    {1000, "event 1 1 1", ""},
    {1010, "broken 1 1",
     "cancel 1.1; send 1.2 rb2 restore=10.17.2.1:80/h7 "
     "backup=10.17.0.1:80 resume"},
};

/* A copy that was under way to a standby that is lost meanwhile is none. */
static const forwarding_line_t copy_to_a_lost_standby[] = {
    FORWARDING_OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {950, "drop ra1", "copy 1.1 10.17.1.1:80"},
    {960, "drop rb1", ""},
    {970, "runner ra2", ""},
    {980, "copied 1 1 name=h7", "copy 1.1 10.17.0.2:80"},
    {990, "broken 1 1", "cancel 1.1; send 1.2 ra2 backup=10.17.2.1:80 resume"},
};

static const forwarding_line_t copy_is_dropped_at_the_end[] = {
    FORWARDING_OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {950, "drop ra1", "copy 1.1 10.17.1.1:80"},
    {980, "copied 1 1 name=h7", ""},
    {990, "whole 1 1", "finish 1; drop 1 10.17.2.1:80/h7"},
};

static const forwarding_line_t refused_copy_is_asked_again[] = {
    FORWARDING_OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {950, "drop ra1", "copy 1.1 10.17.1.1:80"},
    {980, "copied 1 1", ""},
    {1400, "event 1 1 1", ""},
    {1479, "timer", ""},
    {1480, "timer", "copy 1.1 10.17.1.1:80"},
    {1490, "copied 1 1 name=h7", ""},
    {3980, "event 1 1 2", ""},
    {3990, "timer", "copy 1.1 10.17.1.1:80"},
};

/* A standby that started again under its id has no copy any more. */
static const forwarding_line_t standby_started_again[] = {
    FORWARDING_OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {950, "runner ra1 born=2", "copy 1.1 10.17.0.1:80"},
    {980, "copied 1 1 name=h7", ""},
    {1010, "broken 1 1",
     "cancel 1.1; send 1.2 ra1 restore=10.17.2.1:80/h7 "
     "backup=10.17.1.1:80 resume"},
};

static const forwarding_script_t scripts[] = {
    FORWARDING_SCRIPT(lost_standby_is_replaced),
    FORWARDING_SCRIPT(copy_to_a_lost_standby),
    FORWARDING_SCRIPT(copy_is_dropped_at_the_end),
    FORWARDING_SCRIPT(refused_copy_is_asked_again),
    FORWARDING_SCRIPT(standby_started_again),
};

START_TEST(test_script)
{
    forwarding_play(&scripts[_i]);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("copies");

    tcase_add_loop_test(tcase, test_script, 0, COUNT(scripts));
    return fixture_main("copies", tcase);
}
