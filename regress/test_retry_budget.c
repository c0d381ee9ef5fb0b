/*
 * test_retry_budget.c - tests which attempts count against the retry budget.
 */
#include <stdio.h>
#include <string.h>

#include <check.h>

#include "regress/fixture.h"
#include "regress/forwarding.h"

/*
 * A zone of engines fails, and one host has more of its streams than its share
 * of the retry budget allows.  The hosts together have budget left; later they
 * have not.
 */
static const forwarding_line_t retries_of_all_hosts_count_against_budget[] = {
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
 * A zone of engines is down, so that connections are refused while the fleet's
 * budget is spent.  An attempt that did not reach a runner is not followed by
 * a retry but by another first attempt.
 */
static const forwarding_line_t failed_connection_uses_no_budget[] = {
    FORWARDING_OPENED,
    {1, "hosts 73", ""},
    {5, "peer h2 rb1/77 use=360:250", ""},
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {20, "unsent 1 1", "cancel 1.1; send 1.2 rb1 backup=10.17.0.1:80"},
    {30, "unsent 1 2", "cancel 1.2; send 1.3 ra1 backup=10.17.2.1:80"},
    {900, "broken 1 3", "cancel 1.3; refuse 1 retry-budget 502"},
};

/* A retry that did not reach a runner does not count either. */
static const forwarding_line_t unsent_retry_is_uncounted[] = {
    FORWARDING_OPENED,
    {1, "hosts 2", ""},
    {5, "peer h2 rb1/77 use=0:111", ""},
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {900, "broken 1 1", "cancel 1.1; send 1.2 rb1 backup=10.17.0.1:80"},
    {910, "unsent 1 2", "cancel 1.2; send 1.3 ra1 backup=10.17.2.1:80"},
    {2800, "broken 1 3", "cancel 1.3; refuse 1 retry-budget 502"},
};

static const forwarding_script_t scripts[] = {
    FORWARDING_SCRIPT(retries_of_all_hosts_count_against_budget),
    FORWARDING_SCRIPT(failed_connection_uses_no_budget),
    FORWARDING_SCRIPT(unsent_retry_is_uncounted),
};

START_TEST(test_script_gives_expected_actions)
{
    forwarding_play(&scripts[_i]);
}
END_TEST

/*
 * Engines fail while the store is unavailable, so that this host refuses new
 * requests.  The operators count all requests that callers sent, in the
 * busiest of three windows; a host that counted fewer would end streams.
 */
START_TEST(test_refused_requests_count_towards_budget)
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
 * All runners are lost for a short time, and started streams wait for one.
 * Looking for a runner is not a retry: the budget is still available when a
 * runner appears.
 */
START_TEST(test_waiting_for_a_runner_uses_no_budget)
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

    tcase_add_loop_test(tcase, test_script_gives_expected_actions, 0,
                        COUNT(scripts));
    tcase_add_test(tcase, test_refused_requests_count_towards_budget);
    tcase_add_test(tcase, test_waiting_for_a_runner_uses_no_budget);
    return fixture_main("retry budget", tcase);
}
