/* test_forward.c - how a host carries requests to runners: scripts. */
#include <stdio.h>
#include <string.h>

#include <check.h>

#include "regress/fixture.h"
#include "regress/forwarding.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

/* A table of lines as a script with its name. */
typedef struct {
    const char *name;
    const forwarding_line_t *lines;
    size_t count;
} script_t;

#define SCRIPT(lines)                                                         \
    {                                                                         \
#lines, lines, COUNT(lines)                                           \
    }

/* One engine a zone, and one plain runner. */
#define OPENED                                                                \
    {0, "routing 1", ""}, {0, "contact", ""}, {0, "hosts 1", ""},             \
    {                                                                         \
        0, "list ra1 rb1 rc1 sa1", ""                                         \
    }

static const forwarding_line_t plain_answer[] = {
    OPENED,
    {10, "request 1 unsafe", "send 1.1 sa1"},
    {20, "head 1 1 200", ""},
    {20, "whole 1 1", "answer 1.1"},
};

static const forwarding_line_t before_any_routing[] = {
    {10, "request 1 unsafe", "refuse 1 no-routing 503 not-run after=50"},
    {10, "request 2 missing", "refuse 2 no-routing 503 not-run after=50"},
};

static const forwarding_line_t who_may[] = {
    OPENED,
    {10, "request 1 missing", "refuse 1 no-route 404 not-run"},
    {10, "request 2 unsafe key=", "refuse 2 no-key 401 not-run"},
    {10, "request 3 unsafe key=stolen", "refuse 3 no-key 401 not-run"},
    {10, "request 4 unsafe key=k2", "send 4.1 sa1"},
};

/* A key may have been taken away: nobody is served on an old table. */
static const forwarding_line_t routing_out_of_force[] = {
    OPENED,
    {4000, "request 1 unsafe", "send 1.1 sa1"},
    {4701, "request 2 unsafe", "refuse 2 routing-stale 503 not-run after=50"},
    {4701, "request 3 missing", "refuse 3 routing-stale 503 not-run after=50"},
    {4800, "contact", ""},
    {4801, "request 4 unsafe", "send 4.1 sa1"},
};

/* A limit of the settings that changes counts from then on. */
static const forwarding_line_t revoke_changes[] = {
    OPENED,
    {10, "revoke 3000", ""},
    {2600, "request 1 unsafe", "send 1.1 sa1"},
    {2701, "request 2 unsafe", "refuse 2 routing-stale 503 not-run after=50"},
    {2702, "revoke 5000", ""},
    {2703, "request 3 unsafe", "send 3.1 sa1"},
};

/* Callers are told when to come back: at once, if another host can serve. */
static const forwarding_line_t store_away_for_all[] = {
    OPENED,
    {6000, "peer h2 ra1/7 stale", ""},
    {6001, "request 1 unsafe",
     "refuse 1 routing-stale 503 not-run after=2000"},
    {6002, "peer h3 ra1/7", ""},
    {6003, "request 2 unsafe", "refuse 2 routing-stale 503 not-run after=50"},
    {9000, "request 3 unsafe", "refuse 3 routing-stale 503 not-run after=50"},
};

/* What may have run is not sent again, and not called not-run. */
static const forwarding_line_t unsafe_runs_once[] = {
    OPENED,
    {1, "runner sb1", ""},
    {10, "request 1 unsafe", "send 1.1 sa1"},
    {20, "broken 1 1", "cancel 1.1; refuse 1 runner-lost 502"},
};

static const forwarding_line_t unsafe_not_sent_goes_on[] = {
    OPENED,
    {1, "runner sb1", ""},
    {10, "request 1 unsafe", "send 1.1 sa1"},
    {20, "unsent 1 1", "cancel 1.1; send 1.2 sb1"},
    {30, "head 1 2 503 not-run", ""},
    {30, "whole 1 2", "refuse 1 runners-full 503 not-run after=500"},
};

static const forwarding_line_t safe_runs_twice_at_most[] = {
    OPENED,
    {1, "runner sb1", ""},
    {1, "runner sc1", ""},
    {10, "request 1 safe", "send 1.1 sa1"},
    {20, "broken 1 1", "cancel 1.1; send 1.2 sc1"},
    {30, "broken 1 2", "cancel 1.2; refuse 1 runner-lost 502"},
};

/*
 * A request that crashes each runner: after the third one nobody runs it, and
 * its caller learns when it may come again.  Until a loss has been judged it
 * waits, as it may be sent to another runner later.
 */
static const forwarding_line_t harmful[] = {
    OPENED,
    {1, "list ra1 ra2 ra3 ra4 ra5 rb1 rb2 rb3 rb4 rb5 rc1 rc2 rc3 rc4 sa1",
     ""},
    {10, "request 1 stream content=7", NULL},
    {60, "broken 1 1", NULL},
    {110, "broken 1 2", "cancel 1.2"},
    {1200, "timer", NULL},
    {1250, "broken 1 3", "cancel 1.3"},
    {2400, "timer", "refuse 1 harmful 502"},
    {2500, "request 2 stream content=7",
     "refuse 2 harmful 503 not-run after=599900"},
    {2600, "request 3 stream content=8", NULL},
};

/* An answer for somebody else, or without the runner's signature. */
static const forwarding_line_t stranger_is_no_answer[] = {
    OPENED,
    {10, "request 1 unsafe", "send 1.1 sa1"},
    {20, "head 1 1 200 stranger", ""},
    {20, "whole 1 1", "cancel 1.1; refuse 1 bad-answer 502"},
};

static const forwarding_line_t stream_goes_on_at_its_copy[] = {
    OPENED,
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

/* Where the copy is not there, the prompt is read again elsewhere. */
static const forwarding_line_t stream_without_copy[] = {
    OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {950, "broken 1 1",
     "cancel 1.1; send 1.2 ra1 restore=10.17.0.1:80/q1 "
     "backup=10.17.1.1:80 resume"},
    {960, "head 1 2 503 not-run", ""},
    {960, "whole 1 2", "send 1.3 rb1 backup=10.17.0.1:80 resume"},
};

static const forwarding_line_t stream_not_resumable[] = {
    OPENED,
    {10, "request 1 once", "send 1.1 rc1"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {950, "broken 1 1", "cancel 1.1; break 1 runner-lost 0"},
};

/* A silent runner is asked; one that does not answer has lost its runs. */
static const forwarding_line_t silent_runner_is_probed[] = {
    OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {1119, "timer", ""},
    {1120, "timer", "probe 1 rc1"},
    {1122, "probed rc1 yes", ""},
    {1130, "event 1 1 1", ""},
    {1350, "timer", "probe 1 rc1"},
    {1450, "probed rc1 no",
     "cancel 1.1; send 1.2 ra1 restore=10.17.0.1:80/q1 "
     "backup=10.17.1.1:80 resume"},
};

/* A host that was paused itself counts nobody's silence meanwhile. */
static const forwarding_line_t own_pause_is_no_silence[] = {
    OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {4000, "timer", ""},
    {4010, "event 1 1 1", ""},
    {4230, "timer", "probe 1 rc1"},
};

static const forwarding_line_t caller_gone[] = {
    OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {20, "gone 1", "cancel 1.1"},
    {30, "head 1 1 200", ""},
};

static const forwarding_line_t time_is_over[] = {
    OPENED,
    {10, "request 1 unsafe deadline=300", "send 1.1 sa1"},
    {309, "timer", NULL},
    {310, "timer", "cancel 1.1; refuse 1 timeout 504"},
};

static const forwarding_line_t leaving_host[] = {
    OPENED,
    {1000, "drain", ""},
    {1500, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {2700, "request 2 stream", "refuse 2 leaving 503 not-run after=50"},
    {2700, "request 3 unsafe", "send 3.1 sa1"},
};

static const forwarding_line_t draining_runner[] = {
    OPENED,
    {1, "runner sb1", ""},
    {2, "runner sa1 draining", ""},
    {10, "request 1 unsafe", "send 1.1 sb1"},
    {11, "drop sb1", ""},
    {12, "request 2 unsafe", "refuse 2 no-runner 503 not-run after=500"},
};

/* Entries may lapse while the store is away; then they have two seconds. */
static const forwarding_line_t entries_lapsed_with_the_store[] = {
    OPENED,
    {4000, "list ra1 rb1 rc1", ""},
    {4000, "contact", ""},
    {5900, "request 1 unsafe", "send 1.1 sa1"},
    {6001, "request 2 unsafe", "refuse 2 no-runner 503 not-run after=500"},
};

/* A runner that starts again at its address leaves its old entry behind. */
static const forwarding_line_t address_taken_over[] = {
    OPENED,
    {5, "runner sa1 as=new", ""},
    {10, "request 1 unsafe", "send 1.1 new"},
    {20, "request 2 unsafe", "send 2.1 new"},
    {30, "drop new", ""},
    {40, "request 3 unsafe", "refuse 3 no-runner 503 not-run after=500"},
};

/* The same id with another start time is a runner that knows nothing. */
static const forwarding_line_t same_id_started_again[] = {
    OPENED,
    {1, "runner sb1 born=1", ""},
    {2, "runner sa1 draining", ""},
    {10, "request 1 unsafe", "send 1.1 sb1"},
    {20, "head 1 1 421 not-run", ""},
    {20, "whole 1 1", "refuse 1 runners-full 503 not-run after=500"},
    {30, "request 2 unsafe", "refuse 2 no-runner 503 not-run after=500"},
    {40, "runner sb1 born=2", ""},
    {50, "request 3 unsafe", "send 3.1 sb1"},
};

/* Load: two hosts place prompts at the same moment. */
static const forwarding_line_t peers_prompt_is_avoided[] = {
    OPENED,
    {5, "peer h2 rc1/77/reading ra1/78/reading", ""},
    {10, "request 1 stream", "send 1.1 rb1 backup=10.17.0.1:80"},
    {11, "gone 1", "cancel 1.1"},
    {12, "peer h2 rc1/77 ra1/78", ""},
    {13, "request 1 stream", "send 1.1 rb1 backup=10.17.0.1:80"},
};

/* A stream that has outlived its standby gets another copy, in time. */
static const forwarding_line_t lost_standby_is_replaced[] = {
    OPENED,
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
    OPENED,
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
    OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {950, "drop ra1", "copy 1.1 10.17.1.1:80"},
    {980, "copied 1 1 name=h7", ""},
    {990, "whole 1 1", "finish 1; drop 1 10.17.2.1:80/h7"},
};

static const forwarding_line_t refused_copy_is_asked_again[] = {
    OPENED,
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

/*
 * Load: a zone of engines fails, and a host has more of its streams than its
 * part of the budget.  The hosts together have enough; then they have not.
 */
static const forwarding_line_t budget_is_of_all_hosts[] = {
    OPENED,
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
    OPENED,
    {1, "hosts 73", ""},
    {5, "peer h2 rb1/77 use=360:250", ""},
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {20, "unsent 1 1", "cancel 1.1; send 1.2 rb1 backup=10.17.0.1:80"},
    {30, "unsent 1 2", "cancel 1.2; send 1.3 ra1 backup=10.17.2.1:80"},
    {900, "broken 1 3", "cancel 1.3; refuse 1 retry-budget 502"},
};

/* Nor does what was sent again and did not arrive. */
static const forwarding_line_t unsent_repeat_is_given_back[] = {
    OPENED,
    {1, "hosts 2", ""},
    {5, "peer h2 rb1/77 use=0:111", ""},
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {900, "broken 1 1", "cancel 1.1; send 1.2 rb1 backup=10.17.0.1:80"},
    {910, "unsent 1 2", "cancel 1.2; send 1.3 ra1 backup=10.17.2.1:80"},
    {2800, "broken 1 3", "cancel 1.3; refuse 1 retry-budget 502"},
};

/*
 * Load: engines start again under new ids while the store is away, so that
 * no host learns of these.  What one host finds out all know.
 */
static const forwarding_line_t moved_runner_is_avoided[] = {
    OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {15, "gone 1", "cancel 1.1"},
    {20, "peer h2 ra1/77 moved=rc1", ""},
    {30, "request 1 stream", "send 1.1 rb1 backup=10.17.0.1:80"},
    {35, "gone 1", "cancel 1.1"},
    {40, "runner rc1 born=5", ""},
    {50, "peer h2 ra1/77 moved=rc1", ""},
    {60, "request 3 stream", "send 3.1 rc1 backup=10.17.0.1:80"},
};

/* A standby that started again under its id has no copy any more. */
static const forwarding_line_t standby_started_again[] = {
    OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {950, "runner ra1 born=2", "copy 1.1 10.17.0.1:80"},
    {980, "copied 1 1 name=h7", ""},
    {1010, "broken 1 1",
     "cancel 1.1; send 1.2 ra1 restore=10.17.2.1:80/h7 "
     "backup=10.17.1.1:80 resume"},
};

/*
 * Load: an engine drops the prompt that it reads, and lives.  Two reports in a
 * row that cannot have it are enough; one that may have it begins anew.
 */
static const forwarding_line_t prompt_is_forgotten[] = {
    OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {510, "timer", "probe 1 rc1"},
    {512, "probed rc1 yes active=0", ""},
    {1012, "timer", "probe 1 rc1"},
    {1014, "probed rc1 yes active=0", ""},
    {1514, "timer", "probe 1 rc1"},
    {1516, "probed rc1 yes active=1", ""},
    {2016, "timer", "probe 1 rc1"},
    {2018, "probed rc1 yes active=1 runs=q9", ""},
    {2518, "timer", "probe 1 rc1"},
    {2520, "probed rc1 yes active=2 queued=1 runs=q9", ""},
    {3020, "timer", "probe 1 rc1"},
    {3022, "probed rc1 yes active=0", ""},
    {3522, "timer", "probe 1 rc1"},
    {3524, "probed rc1 yes active=0",
     "cancel 1.1; send 1.2 rb1 backup=10.17.0.1:80"},
};

/* The same of a stream that has begun: it is named. */
static const forwarding_line_t stream_is_forgotten[] = {
    OPENED,
    {10, "request 1 stream", "send 1.1 rc1 backup=10.17.0.1:80"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {1120, "timer", "probe 1 rc1"},
    {1121, "probed rc1 yes active=1 runs=q9", ""},
    {1800, "event 1 1 1", ""},
    {2020, "timer", "probe 1 rc1"},
    {2021, "probed rc1 yes active=1 runs=q1", ""},
    {2241, "timer", "probe 1 rc1"},
    {2242, "probed rc1 yes active=1 runs=q9", ""},
    {2462, "timer", "probe 1 rc1"},
    {2463, "probed rc1 yes active=1 runs=q9",
     "cancel 1.1; send 1.2 ra1 restore=10.17.0.1:80/q1 "
     "backup=10.17.1.1:80 resume"},
};

/* Datagrams may overtake each other. */
static const forwarding_line_t older_word_does_not_count[] = {
    OPENED,
    {5, "peer h2 rc1/77/reading number=2", ""},
    {6, "peer h2 ra1/78/reading number=1", ""},
    {10, "request 1 stream", "send 1.1 rb1 backup=10.17.0.1:80"},
};

/* A host that is gone, or silent for long, counts no more. */
static const forwarding_line_t peers_word_lapses[] = {
    OPENED,
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
    OPENED,
    {5, "peer h2 rb1/1", ""},
    {6, "peer h2 gone", ""},
    {10, "request 1 stream after=7",
     "send 1.1 rb1 backup=10.17.0.1:80 resume"},
};

static const script_t scripts[] = {
    SCRIPT(plain_answer),
    SCRIPT(before_any_routing),
    SCRIPT(who_may),
    SCRIPT(routing_out_of_force),
    SCRIPT(store_away_for_all),
    SCRIPT(revoke_changes),
    SCRIPT(harmful),
    SCRIPT(unsafe_runs_once),
    SCRIPT(unsafe_not_sent_goes_on),
    SCRIPT(safe_runs_twice_at_most),
    SCRIPT(stranger_is_no_answer),
    SCRIPT(stream_goes_on_at_its_copy),
    SCRIPT(stream_without_copy),
    SCRIPT(stream_not_resumable),
    SCRIPT(silent_runner_is_probed),
    SCRIPT(own_pause_is_no_silence),
    SCRIPT(caller_gone),
    SCRIPT(time_is_over),
    SCRIPT(leaving_host),
    SCRIPT(draining_runner),
    SCRIPT(entries_lapsed_with_the_store),
    SCRIPT(address_taken_over),
    SCRIPT(same_id_started_again),
    SCRIPT(lost_standby_is_replaced),
    SCRIPT(copy_to_a_lost_standby),
    SCRIPT(copy_is_dropped_at_the_end),
    SCRIPT(refused_copy_is_asked_again),
    SCRIPT(peers_prompt_is_avoided),
    SCRIPT(budget_is_of_all_hosts),
    SCRIPT(unsent_uses_no_budget),
    SCRIPT(unsent_repeat_is_given_back),
    SCRIPT(prompt_is_forgotten),
    SCRIPT(stream_is_forgotten),
    SCRIPT(moved_runner_is_avoided),
    SCRIPT(standby_started_again),
    SCRIPT(older_word_does_not_count),
    SCRIPT(peers_word_lapses),
    SCRIPT(session_finds_its_runner),
};

START_TEST(test_script)
{
    forwarding_play(scripts[_i].name, scripts[_i].lines, scripts[_i].count);
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

/* Load: more callers at once than the host has room for. */
START_TEST(test_host_full)
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
    tcase_add_test(tcase, test_budget_counts_what_callers_sent);
    tcase_add_test(tcase, test_waiting_uses_no_budget);
    tcase_add_test(tcase, test_host_full);
    return fixture_main("forward", tcase);
}
