/* test_retry_budget.c - what counts against the budget of repeats. */
#include <stdio.h>
#include <string.h>

#include <check.h>

#include "regress/fixture.h"
#include "regress/forwarding.h"

/*
 * Load: a zone of engines fails, and a host has more of its streams than its
 * part of the budget.  The hosts together have enough; then they have not.
 */
static const forwarding_line_t budget_is_of_all_hosts[] = {
    FORWARDING_OPENED,
    {1, "hosts 73", ""},
    {5, "peer h2 rb1/77 use=360:20", ""},
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {20, "broken 1 1", "cancel 1.1; send 1.2 rb1 backup=10.17.0.1:80"},
    {1300, "timer", NULL},
    {1325, "broken 1 2", "cancel 1.2; send 1.3 ra1 backup=10.17.2.1:80"},
    {1330, "peer h2 rb1/77 use=360:250", ""},
    {1340, "broken 1 3", "cancel 1.3; refuse 1 retry-budget 502"},
};

/*
 * Load: a zone of engines is down, so that connections are refused while the
 * fleet's budget is spent.  What did not arrive repeats nothing.
 */
static const forwarding_line_t unsent_uses_no_budget[] = {
    FORWARDING_OPENED,
    {1, "hosts 73", ""},
    {5, "peer h2 rb1/77 use=360:250", ""},
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {20, "unsent 1 1", "cancel 1.1; send 1.2 rb1 backup=10.17.0.1:80"},
    {30, "unsent 1 2", "cancel 1.2; send 1.3 ra1 backup=10.17.2.1:80"},
    {900, "broken 1 3", "cancel 1.3; refuse 1 retry-budget 502"},
};

/* Nor does what was sent again and did not arrive. */
static const forwarding_line_t unsent_repeat_is_given_back[] = {
    FORWARDING_OPENED,
    {1, "hosts 2", ""},
    {5, "peer h2 rb1/77 use=0:111", ""},
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {900, "broken 1 1", "cancel 1.1; send 1.2 rb1 backup=10.17.0.1:80"},
    {910, "unsent 1 2", "cancel 1.2; send 1.3 ra1 backup=10.17.2.1:80"},
    {2800, "broken 1 3", "cancel 1.3; refuse 1 retry-budget 502"},
};

static const forwarding_script_t scripts[] = {
    FORWARDING_SCRIPT(budget_is_of_all_hosts),
    FORWARDING_SCRIPT(unsent_uses_no_budget),
    FORWARDING_SCRIPT(unsent_repeat_is_given_back),
};

START_TEST(test_script)
{
    forwarding_play(&scripts[_i]);
}
END_TEST

/*
 * Load: engines break off while the store is away, so that this host refuses
 * what comes.  The operators count all that callers sent, and the busiest of
 * three windows; a host that counted less would break off streams.
 */
START_TEST(test_budget_counts_what_callers_sent)
{
    forward_t *forward = forwarding_open();
    char event[64];
    int i;

    (void)forwarding_do(forward, 0, "routing 1");
    (void)forwarding_do(forward, 0, "contact");
    (void)forwarding_do(forward, 0, "hosts 7");
    (void)forwarding_do(forward, 0, "list ra1 rb1 rc1");
    for (i = 1; i <= 80; i++) {
        (void)snprintf(event, sizeof(event), "request %d stream", i);
        (void)forwarding_do(forward, 40 * i, event);
        (void)snprintf(event, sizeof(event), "head %d 1 200", i);
        (void)forwarding_do(forward, 40 * i, event);
        (void)snprintf(event, sizeof(event), "event %d 1 0", i);
        (void)forwarding_do(forward, 40 * i, event);
    }
    for (i = 81; i <= 100; i++) {
        (void)snprintf(event, sizeof(event), "request %d stream", i);
        ck_assert(strstr(forwarding_do(forward, 5000 + 40 * i, event),
                         "routing-stale") != NULL);
    }
    for (i = 1; i <= 80; i++) {
        const char *orders;

        (void)snprintf(event, sizeof(event), "broken %d 1", i);
        orders = forwarding_do(forward, 14200, event);
        ck_assert_msg(strstr(orders, "break") == NULL, "stream %d: %s", i,
                      orders);
    }
    forward_free(forward);
}
END_TEST

/*
 * Load: all runners are gone for a moment, and begun streams wait for one.
 * Looking for a runner is no repeat: the budget is there when one comes.
 */
START_TEST(test_waiting_uses_no_budget)
{
    forward_t *forward = forwarding_open();
    char event[64];
    int64_t at_ms;
    int i;

    (void)forwarding_do(forward, 0, "routing 1");
    (void)forwarding_do(forward, 0, "contact");
    (void)forwarding_do(forward, 0, "list ra1");
    for (i = 1; i <= 12; i++) {
        (void)snprintf(event, sizeof(event), "request %d stream", i);
        (void)forwarding_do(forward, 10, event);
        (void)snprintf(event, sizeof(event), "head %d 1 200", i);
        (void)forwarding_do(forward, 10, event);
        (void)snprintf(event, sizeof(event), "event %d 1 0", i);
        (void)forwarding_do(forward, 10, event);
    }
    (void)forwarding_do(forward, 20, "drop ra1");
    for (i = 1; i <= 12; i++) {
        (void)snprintf(event, sizeof(event), "broken %d 1", i);
        (void)forwarding_do(forward, 30, event);
    }
    for (at_ms = 130; at_ms < 1700; at_ms += 100) {
        ck_assert_str_eq(forwarding_do(forward, at_ms, "timer"), "");
    }
    (void)forwarding_do(forward, 1700, "runner rb1");
    ck_assert(strstr(forwarding_do(forward, 1750, "timer"), "send 12.2 rb1") !=
              NULL);
    forward_free(forward);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("retry budget");

    tcase_add_loop_test(tcase, test_script, 0, COUNT(scripts));
    tcase_add_test(tcase, test_budget_counts_what_callers_sent);
    tcase_add_test(tcase, test_waiting_uses_no_budget);
    return fixture_main("retry budget", tcase);
}
