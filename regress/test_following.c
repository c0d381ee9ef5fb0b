/* test_following.c - which hosts watch, and whom the others ask. */
#include <stdio.h>
#include <string.h>

#include "forward/following.h"
#include "regress/fixture.h"

enum { HOSTS_MAX = 340, ZONES = 3, WATCHERS = 2, US_PER_MS = 1000 };

static char names[HOSTS_MAX][32];
static follow_host_t hosts[HOSTS_MAX];

static void
make_hosts(size_t count)
{
    static const char *const zones[ZONES] = {"a", "b", "c"};
    size_t i;

    for (i = 0; i < count; i++) {
        (void)snprintf(names[i], sizeof(names[i]), "h%zu", i);
        hosts[i] = (follow_host_t){.name = names[i], .zone = zones[i % ZONES]};
    }
}

static size_t
watchers(size_t count)
{
    size_t found = 0;
    size_t i;

    for (i = 0; i < count; i++) {
        found += following_watches(hosts, count, &hosts[i]) ? 1 : 0;
    }
    return found;
}

/* How many watch, whatever the size: the store's load must not grow. */
START_TEST(test_count)
{
    static const struct {
        size_t hosts;
        size_t watch;
    } cases[] = {{1, 1}, {7, 7}, {8, 8}, {9, 6}, {73, 6}, {340, 6}};
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        make_hosts(cases[i].hosts);
        ck_assert_msg(watchers(cases[i].hosts) == cases[i].watch,
                      "%zu hosts: %zu watch", cases[i].hosts,
                      watchers(cases[i].hosts));
    }
}
END_TEST

/* Each follower asks a watcher of its zone, and none gets far too many. */
START_TEST(test_choice)
{
    size_t asked[HOSTS_MAX] = {0};
    size_t count = 90;
    size_t i;

    make_hosts(count);
    for (i = 0; i < count; i++) {
        const follow_host_t *chosen;

        if (following_watches(hosts, count, &hosts[i])) {
            continue;
        }
        chosen = following_choose(hosts, count, &hosts[i]);
        ck_assert_ptr_nonnull(chosen);
        ck_assert(following_watches(hosts, count, chosen));
        ck_assert_str_eq(chosen->zone, hosts[i].zone);
        asked[chosen - hosts]++;
    }
    for (i = 0; i < count; i++) {
        ck_assert_msg(asked[i] <= count / ZONES, "%s is asked by %zu",
                      hosts[i].name, asked[i]);
    }
}
END_TEST

/* Failed watchers are passed by, other zones come last, and then nobody. */
START_TEST(test_failures)
{
    size_t count = 30;
    const follow_host_t *self = NULL;
    size_t seen;
    size_t i;

    make_hosts(count);
    for (i = 0; i < count && self == NULL; i++) {
        if (!following_watches(hosts, count, &hosts[i])) {
            self = &hosts[i];
        }
    }
    for (seen = 0;; seen++) {
        const follow_host_t *chosen = following_choose(hosts, count, self);

        if (chosen == NULL) {
            break;
        }
        ck_assert_msg(
            (strcmp(chosen->zone, self->zone) == 0) == (seen < WATCHERS),
            "choice %zu is %s of zone %s", seen, chosen->name, chosen->zone);
        hosts[chosen - hosts].failed = true;
    }
    ck_assert_uint_eq(seen, WATCHERS * ZONES);
}
END_TEST

/* What the two watchers of a zone do from time 0 on. */
typedef enum { WATCHER_CUT, WATCHER_DEAD } watcher_fault_t;

static const struct {
    const char *name;
    watcher_fault_t faults[WATCHERS];
} losses[] = {
    {"both lose the store", {WATCHER_CUT, WATCHER_CUT}},
    {"one dies, the other loses the store", {WATCHER_DEAD, WATCHER_CUT}},
    {"one loses the store, the other dies", {WATCHER_CUT, WATCHER_DEAD}},
    {"both die", {WATCHER_DEAD, WATCHER_DEAD}},
};

/* When a host that asked at this time has its answer, or none. */
static int64_t
answered_us(watcher_fault_t fault, int64_t asked_us, bool *current)
{
    int64_t then_us;

    if (fault == WATCHER_DEAD) {
        *current = false;
        return asked_us + (int64_t)FOLLOWING_ANSWER_MS * US_PER_MS;
    }
    then_us = asked_us + (int64_t)following_hold_ms(asked_us) * US_PER_MS;
    *current = following_current(then_us);
    return then_us;
}

/*
 * A runner says that it leaves just as both watchers are lost.  Their contact
 * and the ask under way are of the moment before.  A follower is to watch by
 * itself before the runner may stop: 2 s in the users' first deployments.
 */
START_TEST(test_both_watchers_lost)
{
    enum { COUNT = 30, LEAVE_MS = 2000 };
    const follow_host_t *self = NULL;
    following_t following = {0};
    const char *names_of_watchers[WATCHERS] = {NULL};
    size_t asks = 0;
    int64_t now_us = 0;
    const char *host;
    size_t i;

    make_hosts(COUNT);
    for (i = 0; i < COUNT && self == NULL; i++) {
        if (!following_watches(hosts, COUNT, &hosts[i])) {
            self = &hosts[i];
        }
    }
    while ((host = following_host(&following, hosts, COUNT, self, now_us)) !=
           NULL) {
        size_t which = names_of_watchers[0] == NULL ||
                               strcmp(names_of_watchers[0], host) == 0
                           ? 0
                           : 1;
        bool current;

        names_of_watchers[which] = host;
        now_us = answered_us(losses[_i].faults[which], now_us, &current);
        if (!current) {
            following_failed(&following, host, now_us);
        }
        asks++;
        ck_assert_msg(asks < 100, "%s: asks without end", losses[_i].name);
    }
    ck_assert_msg(now_us < (int64_t)LEAVE_MS * US_PER_MS,
                  "%s: watches by itself after %lld ms", losses[_i].name,
                  (long long)(now_us / US_PER_MS));
    ck_assert_ptr_nonnull(names_of_watchers[0]);
    following_asked_store(&following);
    host = following_host(&following, hosts, COUNT, self, now_us);
    ck_assert_msg(host != NULL && strcmp(host, names_of_watchers[0]) != 0,
                  "%s: then follows %s", losses[_i].name,
                  host != NULL ? host : "nobody");
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("following");

    tcase_add_test(tcase, test_count);
    tcase_add_test(tcase, test_choice);
    tcase_add_test(tcase, test_failures);
    tcase_add_loop_test(tcase, test_both_watchers_lost, 0,
                        sizeof(losses) / sizeof(losses[0]));
    return fixture_main("following", tcase);
}
