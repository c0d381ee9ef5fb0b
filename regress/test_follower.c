/*
 * test_follower.c - tests which hosts watch the store, and which watcher each
 * other host polls.
 */
#include <stdio.h>
#include <string.h>

#include "forward/follower.h"
#include "regress/fixture.h"

enum {
    HOSTS_MAX = 340,
    ZONES = 3,
    ZONES_MAX = 5,
    WATCHERS = 1, /* of a zone */
    POLLED = 2,   /* before the follower watches the store itself */
    US_PER_MS = 1000
};

static char host_names[HOSTS_MAX][32];
static watcher_candidate_t hosts[HOSTS_MAX];

static void
make_hosts_of(size_t count, size_t zone_count)
{
    static const char *const zones[ZONES_MAX] = {"a", "b", "c", "d", "e"};
    size_t i;

    for (i = 0; i < count; i++) {
        (void)snprintf(host_names[i], sizeof(host_names[i]), "h%zu", i);
        hosts[i] = (watcher_candidate_t){.name = host_names[i],
                                         .zone = zones[i % zone_count]};
    }
}

static void
make_hosts(size_t count)
{
    make_hosts_of(count, ZONES);
}

static size_t
count_watchers(size_t count)
{
    size_t found = 0;
    size_t i;

    for (i = 0; i < count; i++) {
        found += follower_is_watcher(hosts, count, &hosts[i]) ? 1 : 0;
    }
    return found;
}

/* The number of watchers, and so the load on the store, must not grow with
 * the fleet. */
START_TEST(test_number_of_watchers_is_bounded)
{
    static const struct {
        size_t hosts;
        size_t zones;
        size_t watchers;
    } cases[] = {{1, 3, 1},    {7, 3, 7},  {8, 3, 8},  {9, 3, 3},  {73, 3, 3},
                 {340, 3, 6},  {22, 5, 3}, {60, 5, 3}, {88, 4, 3}, {295, 5, 5},
                 {340, 5, 10}, {60, 1, 3}, {340, 1, 6}};
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        make_hosts_of(cases[i].hosts, cases[i].zones);
        ck_assert_msg(count_watchers(cases[i].hosts) == cases[i].watchers,
                      "%zu hosts in %zu zones: %zu watchers", cases[i].hosts,
                      cases[i].zones, count_watchers(cases[i].hosts));
    }
}
END_TEST

/* Each follower polls a watcher of its zone, and no watcher has much more than
 * its share of followers. */
START_TEST(test_followers_poll_watchers_of_their_zone_evenly)
{
    size_t followers[HOSTS_MAX] = {0};
    size_t count = 90;
    size_t i;

    make_hosts(count);
    for (i = 0; i < count; i++) {
        const watcher_candidate_t *chosen;

        if (follower_is_watcher(hosts, count, &hosts[i])) {
            continue;
        }
        chosen = follower_choose_watcher(hosts, count, &hosts[i]);
        ck_assert_ptr_nonnull(chosen);
        ck_assert(follower_is_watcher(hosts, count, chosen));
        ck_assert_str_eq(chosen->zone, hosts[i].zone);
        followers[chosen - hosts]++;
    }
    for (i = 0; i < count; i++) {
        ck_assert_msg(followers[i] <= count / ZONES, "%s is polled by %zu",
                      hosts[i].name, followers[i]);
    }
}
END_TEST

/* A follower tries the watchers of its zone, then those of other zones, and
 * then has none left. */
START_TEST(test_failed_watchers_are_skipped_own_zone_first)
{
    size_t count = 30;
    const watcher_candidate_t *self = NULL;
    size_t choices;
    size_t i;

    make_hosts(count);
    for (i = 0; i < count && self == NULL; i++) {
        if (!follower_is_watcher(hosts, count, &hosts[i])) {
            self = &hosts[i];
        }
    }
    for (choices = 0;; choices++) {
        const watcher_candidate_t *chosen =
            follower_choose_watcher(hosts, count, self);

        if (chosen == NULL) {
            break;
        }
        ck_assert_msg((strcmp(chosen->zone, self->zone) == 0) ==
                          (choices < WATCHERS),
                      "choice %zu is %s of zone %s", choices, chosen->name,
                      chosen->zone);
        hosts[chosen - hosts].failed = true;
    }
    ck_assert_uint_eq(choices, WATCHERS * ZONES);
}
END_TEST

/* The faults of the watcher of the zone and of the next one, from time 0 on.
 */
typedef enum { WATCHER_WITHOUT_STORE, WATCHER_UNRESPONSIVE } watcher_fault_t;

static const struct {
    const char *name;
    watcher_fault_t faults[POLLED];
} fault_cases[] = {
    {"both lose the store", {WATCHER_WITHOUT_STORE, WATCHER_WITHOUT_STORE}},
    {"one is unresponsive, the other loses the store",
     {WATCHER_UNRESPONSIVE, WATCHER_WITHOUT_STORE}},
    {"one loses the store, the other is unresponsive",
     {WATCHER_WITHOUT_STORE, WATCHER_UNRESPONSIVE}},
    {"both are unresponsive", {WATCHER_UNRESPONSIVE, WATCHER_UNRESPONSIVE}},
};

/* Returns when a poll sent at polled_us completes or times out; *fresh is set
 * if the watcher may still be used. */
static int64_t
poll_watcher(watcher_fault_t fault, int64_t polled_us, bool *fresh)
{
    int64_t reply_us;

    if (fault == WATCHER_UNRESPONSIVE) {
        *fresh = false;
        return polled_us + (int64_t)FOLLOWER_POLL_TIMEOUT_MS * US_PER_MS;
    }
    reply_us = polled_us + (int64_t)follower_poll_hold_ms(
                               polled_us, FOLLOWER_CONTACT_AGE_MAX_MS) *
                               US_PER_MS;
    *fresh = follower_contact_is_fresh(reply_us, FOLLOWER_CONTACT_AGE_MAX_MS);
    return reply_us;
}

/*
 * A runner announces that it will stop at the same moment as both watchers
 * fail; their contact with the store and the pending poll are from just
 * before.  The follower must watch the store itself before the runner may
 * stop, which is after 2 s in the users' first deployments.
 */
START_TEST(test_follower_watches_store_before_runner_stops)
{
    enum { COUNT = 30, LEAVE_NOTICE_MS = 2000 };
    const watcher_candidate_t *self = NULL;
    follower_t following = {0};
    const char *polled_watchers[POLLED] = {NULL};
    size_t polls = 0;
    int64_t now_us = 0;
    const char *host;
    size_t i;

    make_hosts(COUNT);
    for (i = 0; i < COUNT && self == NULL; i++) {
        if (!follower_is_watcher(hosts, COUNT, &hosts[i])) {
            self = &hosts[i];
        }
    }
    while ((host = follower_host_to_poll(&following, hosts, COUNT, self,
                                         now_us)) != NULL) {
        size_t which =
            polled_watchers[0] == NULL || strcmp(polled_watchers[0], host) == 0
                ? 0
                : 1;
        bool fresh;

        polled_watchers[which] = host;
        now_us = poll_watcher(fault_cases[_i].faults[which], now_us, &fresh);
        if (!fresh) {
            follower_host_failed(&following, host, now_us);
        }
        polls++;
        ck_assert_msg(polls < 100, "%s: polls without end",
                      fault_cases[_i].name);
    }
    ck_assert_msg(now_us < (int64_t)LEAVE_NOTICE_MS * US_PER_MS,
                  "%s: watches the store after %lld ms", fault_cases[_i].name,
                  (long long)(now_us / US_PER_MS));
    ck_assert_ptr_nonnull(polled_watchers[0]);
    follower_store_called(&following);
    host = follower_host_to_poll(&following, hosts, COUNT, self, now_us);
    ck_assert_msg(host != NULL && strcmp(host, polled_watchers[0]) != 0,
                  "%s: then polls %s", fault_cases[_i].name,
                  host != NULL ? host : "none");
}
END_TEST

/* All followers would watch the store for ten seconds more. */
START_TEST(test_watchers_stay_failed_when_the_store_is_back)
{
    enum { COUNT = 30 };
    follower_t following = {0};
    const watcher_candidate_t *self = NULL;
    size_t failed = 0;
    const char *host;
    size_t i;

    make_hosts(COUNT);
    for (i = 0; i < COUNT && self == NULL; i++) {
        if (!follower_is_watcher(hosts, COUNT, &hosts[i])) {
            self = &hosts[i];
        }
    }
    while ((host = follower_host_to_poll(&following, hosts, COUNT, self, 1)) !=
           NULL) {
        follower_host_failed(&following, host, 1);
        follower_store_called(&following);
        failed++;
    }
    ck_assert_uint_eq(failed, WATCHERS * ZONES);
    follower_store_regained(&following);
    ck_assert_ptr_nonnull(
        follower_host_to_poll(&following, hosts, COUNT, self, 1));
}
END_TEST

START_TEST(test_all_hosts_call_a_store_that_is_away)
{
    static const struct {
        size_t hosts;
        bool is_watcher;
        uint32_t wait_ms;
    } retries[] = {{6, true, 500},     {60, false, 500}, {90, false, 750},
                   {295, false, 2458}, {295, true, 500}, {1000, false, 2500}};
    size_t i;

    for (i = 0; i < sizeof(retries) / sizeof(retries[0]); i++) {
        ck_assert_uint_eq(
            follower_retry_max_ms(retries[i].hosts, retries[i].is_watcher),
            retries[i].wait_ms);
    }
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("following");

    tcase_add_test(tcase, test_number_of_watchers_is_bounded);
    tcase_add_test(tcase, test_followers_poll_watchers_of_their_zone_evenly);
    tcase_add_test(tcase, test_failed_watchers_are_skipped_own_zone_first);
    tcase_add_test(tcase, test_watchers_stay_failed_when_the_store_is_back);
    tcase_add_test(tcase, test_all_hosts_call_a_store_that_is_away);
    tcase_add_loop_test(tcase, test_follower_watches_store_before_runner_stops,
                        0, sizeof(fault_cases) / sizeof(fault_cases[0]));
    return fixture_main("following", tcase);
}
