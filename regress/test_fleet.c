/* test_fleet.c - seeded faults over several hosts, with the checks. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "regress/fleet.h"

enum {
    SEEDS = 40,
    SEEDS_WITHOUT = 8,
    STEPS = 60,
    KEYS = 4,
    SECOND_US = 1000000
};

typedef enum {
    WHOLE,
    WITHOUT_REVISION_GUARD,
    WITHOUT_DIGESTS,
    WITHOUT_LEAVING,
} guard_t;

typedef struct {
    uint64_t revisions_fallen;
    uint64_t leaving_given;
    uint64_t addresses_checked;
    uint64_t behind;
    uint64_t unlike;
} found_faults_t;

/* Seven hosts all hear each other; more of them rely on news. */
static fleet_settings_t
settings_of(uint64_t seed, guard_t guard)
{
    fleet_settings_t settings = {0};

    settings.hosts = seed % 2 == 0 ? 7 : 12;
    settings.zones = 3;
    settings.seed = seed;
    settings.loss_permille = 100;
    settings.twice_permille = 100;
    settings.delay_least_us = 200;
    settings.delay_most_us = 400000;
    settings.store_hosts = 2;
    settings.list_every_us = 3 * SECOND_US;
    settings.text_bytes = 100;
    settings.without_revision_guard = guard == WITHOUT_REVISION_GUARD;
    settings.without_digests = guard == WITHOUT_DIGESTS;
    settings.without_leaving = guard == WITHOUT_LEAVING;
    return settings;
}

/* One fault, or a new revision, at random. */
static void
disturb(fleet_t *fleet)
{
    uint32_t host = (uint32_t)fleet_random(fleet, fleet->settings.hosts);
    uint32_t i;

    switch (fleet_random(fleet, 10)) {
    case 0:
        for (i = 0; i < fleet->settings.hosts; i++) {
            fleet->hosts[i].side = (uint32_t)fleet_random(fleet, 2);
        }
        break;
    case 1:
        for (i = 0; i < fleet->settings.hosts; i++) {
            fleet->hosts[i].side = 0;
        }
        break;
    case 2:
        fleet_start(fleet, host);
        break;
    case 3:
        if (fleet->hosts[host].member != NULL) {
            fleet_leave(fleet, host);
        }
        break;
    case 4:
        fleet_stop(fleet, host);
        break;
    case 5:
        fleet->store_up = !fleet->store_up;
        break;
    default:
        fleet_write(fleet, (uint32_t)fleet_random(fleet, KEYS));
        break;
    }
}

/* All come back, and those that watch the store read it anew. */
static void
heal(fleet_t *fleet)
{
    uint32_t i;

    fleet->store_up = true;
    for (i = 0; i < fleet->settings.hosts; i++) {
        fleet->hosts[i].side = 0;
        if (fleet->hosts[i].member == NULL || fleet->hosts[i].leaving) {
            fleet_start(fleet, i);
        }
    }
    fleet_run(fleet, SECOND_US);
    fleet_read_all(fleet);
    fleet_run(fleet, 20 * SECOND_US);
}

static found_faults_t
run(uint64_t seed, guard_t guard)
{
    fleet_settings_t settings = settings_of(seed, guard);
    fleet_t *fleet = fleet_new(&settings);
    found_faults_t found = {0};
    uint32_t i;

    for (i = 0; i < settings.hosts; i++) {
        fleet_start(fleet, i);
    }
    fleet_run(fleet, 3 * SECOND_US);
    for (i = 0; i < STEPS; i++) {
        disturb(fleet);
        fleet_run(fleet, (int64_t)fleet_random(fleet, 2 * SECOND_US));
    }
    heal(fleet);
    found.revisions_fallen = fleet->revisions_fallen;
    found.leaving_given = fleet->leaving_given;
    found.addresses_checked = fleet->addresses_checked;
    found.behind = fleet_behind(fleet);
    /* A heartbeat may be late by chance; three in a row are not. */
    fleet->settings.loss_permille = 0;
    fleet_run(fleet, 3 * SECOND_US);
    found.unlike = fleet_unlike(fleet, MEMBER_LIVE);
    fleet_free(fleet);
    return found;
}

static found_faults_t
run_all(guard_t guard, uint64_t seeds)
{
    found_faults_t sum = {0};
    found_faults_t found;
    uint64_t seed;

    for (seed = 1; seed <= seeds; seed++) {
        found = run(seed, guard);
        sum.revisions_fallen += found.revisions_fallen;
        sum.leaving_given += found.leaving_given;
        sum.addresses_checked += found.addresses_checked;
        sum.behind += found.behind;
        sum.unlike += found.unlike;
    }
    return sum;
}

START_TEST(test_whole)
{
    found_faults_t found = run_all(WHOLE, SEEDS);

    ck_assert_uint_eq(found.revisions_fallen, 0);
    ck_assert_uint_eq(found.leaving_given, 0);
    ck_assert_uint_eq(found.behind, 0);
    ck_assert_uint_eq(found.unlike, 0);
    ck_assert_uint_gt(found.addresses_checked, 0);
}
END_TEST

/* Each check must see what it is for. */
START_TEST(test_checks_fail)
{
    ck_assert_uint_gt(
        run_all(WITHOUT_REVISION_GUARD, SEEDS_WITHOUT).revisions_fallen, 0);
    ck_assert_uint_gt(run_all(WITHOUT_DIGESTS, SEEDS_WITHOUT).behind, 0);
    ck_assert_uint_gt(run_all(WITHOUT_LEAVING, SEEDS_WITHOUT).leaving_given,
                      0);
}
END_TEST

/* Same seed, same bytes. */
START_TEST(test_repeats)
{
    fleet_settings_t settings = settings_of(5, WHOLE);
    uint64_t sums[2] = {0};
    uint32_t i;
    uint32_t j;

    for (i = 0; i < 2; i++) {
        fleet_t *fleet = fleet_new(&settings);

        for (j = 0; j < settings.hosts; j++) {
            fleet_start(fleet, j);
        }
        fleet_run(fleet, 30 * SECOND_US);
        for (j = 0; j < settings.hosts; j++) {
            sums[i] = sums[i] * 31 + fleet->hosts[j].sent_bytes;
        }
        fleet_free(fleet);
    }
    ck_assert_uint_eq(sums[0], sums[1]);
}
END_TEST

/*
 * Lets the time pass, the last seconds of it without loss: three heartbeats
 * lost in a row make a suspect for a moment, as they must.
 */
static void
settle(fleet_t *fleet, int64_t for_us)
{
    uint32_t loss_permille = fleet->settings.loss_permille;

    fleet_run(fleet, for_us - 5 * SECOND_US);
    fleet->settings.loss_permille = 0;
    fleet_run(fleet, 5 * SECOND_US);
    fleet->settings.loss_permille = loss_permille;
}

/* Beyond the mesh: news reach all about death, leaving and return. */
START_TEST(test_rings)
{
    fleet_settings_t settings = settings_of(7, WHOLE);
    fleet_t *fleet;
    uint32_t i;

    settings.hosts = 120;
    settings.loss_permille = 20;
    settings.twice_permille = 0;
    settings.delay_most_us = 5000;
    fleet = fleet_new(&settings);
    for (i = 0; i < settings.hosts; i++) {
        fleet_start(fleet, i);
    }
    settle(fleet, 15 * SECOND_US);
    ck_assert_uint_eq(fleet_unlike(fleet, MEMBER_LIVE), 0);
    fleet_leave(fleet, 5);
    fleet_run(fleet, 2 * SECOND_US);
    ck_assert_uint_eq(fleet_unlike_one(fleet, 5, MEMBER_LEAVING), 0);
    fleet_stop(fleet, 9);
    settle(fleet, 15 * SECOND_US);
    ck_assert_uint_eq(fleet_unlike_one(fleet, 9, MEMBER_DEAD), 0);
    fleet_start(fleet, 9);
    fleet_start(fleet, 5);
    settle(fleet, 15 * SECOND_US);
    ck_assert_uint_eq(fleet_unlike(fleet, MEMBER_LIVE), 0);
    fleet_free(fleet);
}
END_TEST

/*
 * News get lost and are late, about hosts that die, leave and return: the
 * hosts come to agree all the same, and do not go on talking about it.
 */
START_TEST(test_rings_with_loss)
{
    fleet_settings_t settings = settings_of(9, WHOLE);
    uint64_t sent = 0;
    fleet_t *fleet;
    uint32_t i;

    settings.hosts = 60;
    settings.loss_permille = 200;
    settings.twice_permille = 0;
    settings.list_every_us = 0;
    fleet = fleet_new(&settings);
    for (i = 0; i < settings.hosts; i++) {
        fleet_start(fleet, i);
    }
    for (i = 0; i < 20; i++) {
        fleet_run(fleet, 2 * SECOND_US);
        fleet_stop(fleet, i);
        fleet_run(fleet, 2 * SECOND_US);
        fleet_leave(fleet, i + 20);
        fleet_start(fleet, i / 2);
    }
    fleet->settings.loss_permille = 0;
    fleet_run(fleet, 90 * SECOND_US);
    for (i = 0; i < settings.hosts; i++) {
        ck_assert_uint_eq(fleet_unlike_one(fleet, i,
                                           i < 10   ? MEMBER_LIVE
                                           : i < 20 ? MEMBER_DEAD
                                           : i < 40 ? MEMBER_LEAVING
                                                    : MEMBER_LIVE),
                          0);
        fleet->hosts[i].sent_bytes = 0;
    }
    fleet_run(fleet, 10 * SECOND_US);
    for (i = 0; i < settings.hosts; i++) {
        sent += fleet->hosts[i].sent_bytes;
    }
    ck_assert_uint_lt(sent / settings.hosts / 10, 7500);
    fleet_free(fleet);
}
END_TEST

/* Any one host can tell of all whether they have a document in force. */
START_TEST(test_ask_all)
{
    fleet_settings_t settings = settings_of(7, WHOLE);
    member_view_t *views;
    arena_t arena = {0};
    fleet_t *fleet;
    size_t count;
    uint32_t i;

    settings.hosts = 40;
    settings.store_hosts = 0;
    settings.loss_permille = 0;
    settings.delay_most_us = 5000;
    fleet = fleet_new(&settings);
    for (i = 0; i < settings.hosts; i++) {
        fleet_start(fleet, i);
    }
    fleet_run(fleet, 3 * SECOND_US);
    fleet_write(fleet, 1);
    fleet_run(fleet, SECOND_US);
    fleet_ask_all(fleet, 3);
    fleet_run(fleet, SECOND_US / 10);
    views = member_list(fleet->hosts[3].member, fleet->now_us, &arena, &count);
    ck_assert_uint_eq(count, settings.hosts);
    for (i = 0; i < count; i++) {
        ck_assert(
            views[i].self ||
            (views[i].config_revision == fleet->store_revision &&
             views[i].config_hash == spread_hash(fleet->hosts[3].spread)));
    }
    arena_free(&arena);
    fleet_free(fleet);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("fleet");
    TCase *cases = tcase_create("fleet");
    SRunner *runner;
    int failed;

    tcase_set_timeout(cases, 300);
    tcase_add_test(cases, test_whole);
    tcase_add_test(cases, test_checks_fail);
    tcase_add_test(cases, test_repeats);
    tcase_add_test(cases, test_rings);
    tcase_add_test(cases, test_rings_with_loss);
    tcase_add_test(cases, test_ask_all);
    suite_add_tcase(suite, cases);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_ENV);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? 0 : 1;
}
