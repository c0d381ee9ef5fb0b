/*
 * test_spread.c - tests that each host gets each report, and that reports
 * cross between availability zones once.
 */
#include <stdio.h>
#include <string.h>

#include "forward/spread.h"
#include "regress/fixture.h"

enum { HOSTS_MAX = 340, ZONES_MAX = 5, TURNS = 200 };

static char names[HOSTS_MAX][32];

typedef struct {
    size_t hosts;
    size_t zones;
    size_t crossings; /* messages to other zones, for each report */
} spread_case_t;

static const spread_case_t cases[] = {
    {1, 1, 0},   {2, 2, 1},  {7, 3, 4},   {9, 3, 6},   {11, 3, 4},
    {12, 3, 2},  {22, 5, 4}, {88, 4, 3},  {295, 5, 4}, {340, 1, 0},
    {340, 5, 4}, {60, 4, 3}, {16, 5, 12},
};

/* The other hosts, as the one with this index knows them. */
static size_t
list_others(const spread_case_t *test, size_t self, spread_host_t *hosts)
{
    static const char *const zones[ZONES_MAX] = {"a", "b", "c", "d", "e"};
    size_t count = 0;
    size_t i;

    for (i = 0; i < test->hosts; i++) {
        (void)snprintf(names[i], sizeof(names[i]), "h%zu", i);
        if (i != self) {
            hosts[count] = (spread_host_t){.name = names[i],
                                           .zone = zones[i % test->zones]};
            count++;
        }
    }
    return count;
}

/* How often each host gets a report of the host 0; returns the crossings. */
static size_t
deliver(const spread_case_t *test, uint64_t turn, size_t *received)
{
    spread_host_t hosts[HOSTS_MAX];
    spread_host_t others[HOSTS_MAX];
    size_t count = list_others(test, 0, hosts);
    size_t crossings = 0;
    size_t i;
    size_t j;

    spread_plan_report(hosts, count, "a", turn);
    for (i = 0; i < count; i++) {
        if (hosts[i].how == SPREAD_NONE) {
            continue;
        }
        received[i + 1]++;
        crossings += strcmp(hosts[i].zone, "a") != 0 ? 1 : 0;
        if (hosts[i].how == SPREAD_ON) {
            size_t other_count = list_others(test, i + 1, others);

            spread_plan_relay(others, other_count, hosts[i].zone, "h0");
            for (j = 0; j < other_count; j++) {
                if (others[j].how != SPREAD_NONE) {
                    received[j < i + 1 ? j : j + 1]++;
                }
            }
        }
    }
    return crossings;
}

START_TEST(test_host_misses_a_report_or_gets_it_twice)
{
    const spread_case_t *test = &cases[_i];
    uint64_t turn;
    size_t i;

    for (turn = 0; turn < TURNS; turn++) {
        size_t received[HOSTS_MAX] = {0};
        size_t crossings = deliver(test, turn, received);

        ck_assert_msg(crossings == test->crossings,
                      "%zu hosts in %zu zones: %zu crossings", test->hosts,
                      test->zones, crossings);
        for (i = 1; i < test->hosts; i++) {
            ck_assert_msg(received[i] == 1, "%zu hosts: h%zu gets %zu copies",
                          test->hosts, i, received[i]);
        }
    }
}
END_TEST

/* A host that is lost and still listed would keep all reports from a zone. */
START_TEST(test_reports_take_the_same_way)
{
    spread_host_t hosts[HOSTS_MAX];
    size_t count =
        list_others(&(spread_case_t){.hosts = 60, .zones = 4}, 0, hosts);
    size_t used[HOSTS_MAX] = {0};
    uint64_t turn;
    size_t i;

    for (turn = 0; turn < 15; turn++) {
        spread_plan_report(hosts, count, "a", turn);
        for (i = 0; i < count; i++) {
            used[i] += hosts[i].how == SPREAD_ON ? 1 : 0;
        }
    }
    for (i = 0; i < count; i++) {
        ck_assert_uint_eq(used[i], strcmp(hosts[i].zone, "a") == 0 ? 0 : 1);
    }
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("spread");

    tcase_add_loop_test(tcase, test_host_misses_a_report_or_gets_it_twice, 0,
                        COUNT(cases));
    tcase_add_test(tcase, test_reports_take_the_same_way);
    return fixture_main("spread", tcase);
}
