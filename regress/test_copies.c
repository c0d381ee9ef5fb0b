/* test_copies.c - scripts for the copies of streams' KV caches. */
#include <check.h>

#include "regress/fixture.h"
#include "regress/forwarding.h"

/* The stream gets another copy before its own runner fails. */
static const forwarding_line_t failed_standby_is_replaced[] = {
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

/* A copy that completes after its standby has failed is not used. */
static const forwarding_line_t pending_copy_to_failed_standby_is_discarded[] =
    {
        FORWARDING_OPENED,
        {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
        {900, "head 1 1 200", "begin 1.1"},
        {900, "event 1 1 0", ""},
        {950, "drop ra1", "copy 1.1 10.17.1.1:80"},
        {960, "drop rb1", ""},
        {970, "runner ra2", ""},
        {980, "copied 1 1 name=h7", "copy 1.1 10.17.0.2:80"},
        {990, "broken 1 1",
         "cancel 1.1; send 1.2 ra2 backup=10.17.2.1:80 resume"},
};

static const forwarding_line_t copy_is_freed_at_end_of_stream[] = {
    FORWARDING_OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {950, "drop ra1", "copy 1.1 10.17.1.1:80"},
    {980, "copied 1 1 name=h7", ""},
    {990, "whole 1 1", "finish 1; drop 1 10.17.2.1:80/h7"},
};

static const forwarding_line_t failed_copy_is_retried_and_refreshed[] = {
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

/* A standby that restarts under the same id has lost its copy. */
static const forwarding_line_t restarted_standby_gets_new_copy[] = {
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
    FORWARDING_SCRIPT(failed_standby_is_replaced),
    FORWARDING_SCRIPT(pending_copy_to_failed_standby_is_discarded),
    FORWARDING_SCRIPT(copy_is_freed_at_end_of_stream),
    FORWARDING_SCRIPT(failed_copy_is_retried_and_refreshed),
    FORWARDING_SCRIPT(restarted_standby_gets_new_copy),
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
