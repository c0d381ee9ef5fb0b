/* test_sharing.c - what a host does with the word of others: scripts. */
#include <check.h>

#include "regress/fixture.h"
#include "regress/forwarding.h"

/* Callers are told when to come back: at once, if another host can serve. */
static const forwarding_line_t store_away_for_all[] = {
    FORWARDING_OPENED,
    {6000, "peer h2 ra1/7 stale", ""},
    {6001, "request 1 unsafe",
     "refuse 1 routing-stale 503 not-run after=2000"},
    {6002, "peer h3 ra1/7", ""},
    {6003, "request 2 unsafe", "refuse 2 routing-stale 503 not-run after=50"},
    {9000, "request 3 unsafe", "refuse 3 routing-stale 503 not-run after=50"},
};

/* Load: two hosts place prompts at the same moment. */
static const forwarding_line_t peers_prompt_is_avoided[] = {
    FORWARDING_OPENED,
    {5, "peer h2 rc1/77/reading ra1/78/reading", ""},
    {10, "request 1 stream", "send 1.1 rb1 backup=10.17.0.1:80"},
    {11, "gone 1", "cancel 1.1"},
    {12, "peer h2 rc1/77 ra1/78", ""},
    {13, "request 1 stream", "send 1.1 rb1 backup=10.17.0.1:80"},
};

/*
 * Load: engines start again under new ids while the store is away, so that
 * no host learns of these.  What one host finds out all know.
 */
static const forwarding_line_t moved_runner_is_avoided[] = {
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

/* Datagrams may overtake each other. */
static const forwarding_line_t older_word_does_not_count[] = {
    FORWARDING_OPENED,
    {5, "peer h2 rc1/77/reading number=2", ""},
    {6, "peer h2 ra1/78/reading number=1", ""},
    {10, "request 1 stream", "send 1.1 rb1 backup=10.17.0.1:80"},
};

/* A host that is gone, or silent for long, counts no more. */
static const forwarding_line_t peers_word_lapses[] = {
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

/* The caller of a lost host comes here: its prompt is cached there. */
static const forwarding_line_t session_finds_its_runner[] = {
    FORWARDING_OPENED,
    {5, "peer h2 rb1/1", ""},
    {6, "peer h2 gone", ""},
    {10, "request 1 stream after=7",
     "send 1.1 rb1 backup=10.17.0.1:80 resume"},
};

static const forwarding_script_t scripts[] = {
    FORWARDING_SCRIPT(store_away_for_all),
    FORWARDING_SCRIPT(peers_prompt_is_avoided),
    FORWARDING_SCRIPT(moved_runner_is_avoided),
    FORWARDING_SCRIPT(older_word_does_not_count),
    FORWARDING_SCRIPT(peers_word_lapses),
    FORWARDING_SCRIPT(session_finds_its_runner),
};

START_TEST(test_script)
{
    forwarding_play(&scripts[_i]);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("sharing");

    tcase_add_loop_test(tcase, test_script, 0, COUNT(scripts));
    return fixture_main("sharing", tcase);
}
