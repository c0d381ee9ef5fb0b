/* test_following.c - which hosts watch, and whom the others ask. */
#include <stdio.h>
#include <string.h>

#include "forward/following.h"
#include "regress/fixture.h"

enum { HOSTS_MAX = 340, ZONES = 3, WATCHERS = 2 };

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

int
main(void)
{
    TCase *tcase = tcase_create("following");

    tcase_add_test(tcase, test_count);
    tcase_add_test(tcase, test_choice);
    tcase_add_test(tcase, test_failures);
    return fixture_main("following", tcase);
}
