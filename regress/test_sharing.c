/*
 * test_sharing.c - tests how a host uses the reports of other hosts; the cases
 * are scripts.
 */
#include <check.h>

#include "regress/fixture.h"
#include "regress/forwarding.h"

/* The retry-after time is short if another host reaches the store. */
static const forwarding_line_t retry_after_depends_on_peers_store_contact[] = {
    FORWARDING_OPENED,
    {6000, "peer h2 ra1/7 stale", ""},
    {6001, "request 1 unsafe",
     "refuse 1 routing-stale 503 not-run after=2000"},
    {6002, "peer h3 ra1/7", ""},
    {6003, "request 2 unsafe", "refuse 2 routing-stale 503 not-run after=50"},
    {9000, "request 3 unsafe", "refuse 3 routing-stale 503 not-run after=50"},
};

/* Two hosts place prompts at the same time. */
static const forwarding_line_t runner_with_peer_prefill_is_avoided[] = {
    FORWARDING_OPENED,
    {5, "peer h2 rc1/77/reading ra1/78/reading", ""},
    {10, "request 1 stream", "send 1.1 rb1 backup=10.17.0.1:80"},
    {11, "gone 1", "cancel 1.1"},
    {12, "peer h2 rc1/77 ra1/78", ""},
    {13, "request 1 stream", "send 1.1 rb1 backup=10.17.0.1:80"},
};

/*
 * Engines restart under new ids while the store is unavailable, so that no
 * host learns the ids.  What one host finds is applied by all.
 */
static const forwarding_line_t moved_runner_is_avoided_until_restart[] = {
    FORWARDING_OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {15, "gone 1", "cancel 1.1"},
    {20, "peer h2 ra1/77 moved=rc1", ""},
    {30, "request 1 stream", "send 1.1 rb1 backup=10.17.0.1:80"},
    {35, "gone 1", "cancel 1.1"},
    {40, "runner rc1 born=5", ""},
    {50, "peer h2 ra1/77 moved=rc1", ""},
    {60, "request 3 stream", "send 3.1 rc1 backup=10.17.0.1:80"},
};

/* Datagrams may be reordered. */
static const forwarding_line_t older_report_is_ignored[] = {
    FORWARDING_OPENED,
    {5, "peer h2 rc1/77/reading number=2", ""},
    {6, "peer h2 ra1/78/reading number=1", ""},
    {10, "request 1 stream", "send 1.1 rb1 backup=10.17.0.1:80"},
};

/* The report of a host that left, or sent none for long, is discarded. */
static const forwarding_line_t report_of_lost_or_silent_host_expires[] = {
    FORWARDING_OPENED,
    {5, "peer h2 rc1/77/reading", ""},
    {10, "request 1 stream", "send 1.1 rb1 backup=10.17.0.1:80"},
    {11, "gone 1", "cancel 1.1"},
    {20, "peer h2 gone", ""},
    {13000, "contact", ""},
    {13001, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {13002, "gone 1", "cancel 1.1"},
    {13010, "peer h2 rc1/77/reading", ""},
    {26500, "timer", ""},
    {26500, "contact", ""},
    {26501, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
};

/* The second host has reported streams at a runner before it started. */
static const forwarding_line_t streams_reported_before_a_start_count[] = {
    FORWARDING_OPENED,
    {5, "peer h2 rc2/77/reading rc1/78/reading ra1/79/reading", ""},
    {6, "runner rc2", ""},
    {7, "peer h3 rb1/80", ""},
    {10, "request 1 stream", "send 1.1 rb1 backup=10.17.2.2:80"},
    {11, "gone 1", "cancel 1.1"},
    {12, "peer h2", ""},
    {13, "peer h3 rc1/78/reading ra1/79/reading rb1/80/reading", ""},
    {14, "request 2 stream", "send 2.1 rc2 backup=10.17.1.1:80"},
};

/* A caller of a lost host resumes here; the runner has its prompt cached. */
static const forwarding_line_t session_of_lost_host_keeps_its_runner[] = {
    FORWARDING_OPENED,
    {5, "peer h2 rb1/1", ""},
    {6, "peer h2 gone", ""},
    {10, "request 1 stream after=7",
     "send 1.1 rb1 backup=10.17.0.1:80 resume"},
};

static const forwarding_script_t scripts[] = {
    FORWARDING_SCRIPT(retry_after_depends_on_peers_store_contact),
    FORWARDING_SCRIPT(runner_with_peer_prefill_is_avoided),
    FORWARDING_SCRIPT(moved_runner_is_avoided_until_restart),
    FORWARDING_SCRIPT(older_report_is_ignored),
    FORWARDING_SCRIPT(report_of_lost_or_silent_host_expires),
    FORWARDING_SCRIPT(streams_reported_before_a_start_count),
    FORWARDING_SCRIPT(session_of_lost_host_keeps_its_runner),
};

START_TEST(test_script_gives_expected_actions)
{
    forwarding_play(&scripts[_i]);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("sharing");

    tcase_add_loop_test(tcase, test_script_gives_expected_actions, 0,
                        COUNT(scripts));
    return fixture_main("sharing", tcase);
}
