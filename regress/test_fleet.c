/* test_fleet.c - membership and configuration under random faults. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "regress/fleet.h"

enum {
    SEEDS = 40,
    SEEDS_GUARD_REMOVED = 8,
    STEPS = 60,
    KEYS = 4,
    SECOND_US = 1000000
};

typedef enum {
    ALL_GUARDS,
    WITHOUT_REVISION_GUARD,
    WITHOUT_DIGESTS,
    WITHOUT_LEAVING,
} removed_guard_t;

typedef struct {
    uint64_t revision_regressions;
    uint64_t leaving_hosts_offered;
    uint64_t addresses_checked;
    uint64_t stale_configs;
    uint64_t wrong_states;
} violations_t;

/* Seven hosts form a full mesh, twelve rely on rings and gossip. */
static fleet_settings_t
settings_of(uint64_t seed, removed_guard_t guard)
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

/* Injects a random fault or writes a new revision to the store. */
static void
inject_random_fault(fleet_t *fleet)
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
        if (fleet->hosts[host].membership != NULL) {
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

/* Ends all faults; the hosts that watch the store read it again. */
static void
recover_all(fleet_t *fleet)
{
    uint32_t i;

    fleet->store_up = true;
    for (i = 0; i < fleet->settings.hosts; i++) {
        fleet->hosts[i].side = 0;
        if (fleet->hosts[i].membership == NULL || fleet->hosts[i].leaving) {
            fleet_start(fleet, i);
        }
    }
    fleet_run(fleet, SECOND_US);
    fleet_read_all(fleet);
    fleet_run(fleet, 20 * SECOND_US);
}

static violations_t
run_seed(uint64_t seed, removed_guard_t guard)
{
    fleet_settings_t settings = settings_of(seed, guard);
    fleet_t *fleet = fleet_new(&settings);
    violations_t violations = {0};
    uint32_t i;

    for (i = 0; i < settings.hosts; i++) {
        fleet_start(fleet, i);
    }
    fleet_run(fleet, 3 * SECOND_US);
    for (i = 0; i < STEPS; i++) {
        inject_random_fault(fleet);
        fleet_run(fleet, (int64_t)fleet_random(fleet, 2 * SECOND_US));
    }
    recover_all(fleet);
    violations.revision_regressions = fleet->revisions_fallen;
    violations.leaving_hosts_offered = fleet->leaving_given;
    violations.addresses_checked = fleet->addresses_checked;
    violations.stale_configs = fleet_behind(fleet);
    /* Random loss of three heartbeats in a row must not fail the check. */
    fleet->settings.loss_permille = 0;
    fleet_run(fleet, 3 * SECOND_US);
    violations.wrong_states = fleet_unlike(fleet, MEMBER_LIVE);
    fleet_free(fleet);
    return violations;
}

static violations_t
run_seeds(removed_guard_t guard, uint64_t seeds)
{
    violations_t sum = {0};
    violations_t violations;
    uint64_t seed;

    for (seed = 1; seed <= seeds; seed++) {
        violations = run_seed(seed, guard);
        sum.revision_regressions += violations.revision_regressions;
        sum.leaving_hosts_offered += violations.leaving_hosts_offered;
        sum.addresses_checked += violations.addresses_checked;
        sum.stale_configs += violations.stale_configs;
        sum.wrong_states += violations.wrong_states;
    }
    return sum;
}

START_TEST(test_faults_violate_no_invariant)
{
    violations_t violations = run_seeds(ALL_GUARDS, SEEDS);

    ck_assert_uint_eq(violations.revision_regressions, 0);
    ck_assert_uint_eq(violations.leaving_hosts_offered, 0);
    ck_assert_uint_eq(violations.stale_configs, 0);
    ck_assert_uint_eq(violations.wrong_states, 0);
    ck_assert_uint_gt(violations.addresses_checked, 0);
}
END_TEST

/* Each check must fail when the guard that it covers is removed. */
START_TEST(test_removed_guards_are_detected)
{
    ck_assert_uint_gt(run_seeds(WITHOUT_REVISION_GUARD, SEEDS_GUARD_REMOVED)
                          .revision_regressions,
                      0);
    ck_assert_uint_gt(
        run_seeds(WITHOUT_DIGESTS, SEEDS_GUARD_REMOVED).stale_configs, 0);
    ck_assert_uint_gt(
        run_seeds(WITHOUT_LEAVING, SEEDS_GUARD_REMOVED).leaving_hosts_offered,
        0);
}
END_TEST

START_TEST(test_same_seed_sends_same_bytes)
{
    fleet_settings_t settings = settings_of(5, ALL_GUARDS);
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
 * Runs the fleet for for_us, the last seconds without message loss: three
 * heartbeats lost in a row make a live host suspect for a moment, which is
 * correct.
 */
static void
run_and_settle(fleet_t *fleet, int64_t for_us)
{
    uint32_t loss_permille = fleet->settings.loss_permille;

    fleet_run(fleet, for_us - 5 * SECOND_US);
    fleet->settings.loss_permille = 0;
    fleet_run(fleet, 5 * SECOND_US);
    fleet->settings.loss_permille = loss_permille;
}

/* In a fleet without a full mesh gossip reaches all hosts. */
START_TEST(test_rings_spread_death_leave_and_return)
{
    fleet_settings_t settings = settings_of(7, ALL_GUARDS);
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
    run_and_settle(fleet, 15 * SECOND_US);
    ck_assert_uint_eq(fleet_unlike(fleet, MEMBER_LIVE), 0);
    fleet_leave(fleet, 5);
    fleet_run(fleet, 2 * SECOND_US);
    ck_assert_uint_eq(fleet_unlike_one(fleet, 5, MEMBER_LEAVING), 0);
    fleet_stop(fleet, 9);
    run_and_settle(fleet, 15 * SECOND_US);
    ck_assert_uint_eq(fleet_unlike_one(fleet, 9, MEMBER_DEAD), 0);
    fleet_start(fleet, 9);
    fleet_start(fleet, 5);
    run_and_settle(fleet, 15 * SECOND_US);
    ck_assert_uint_eq(fleet_unlike(fleet, MEMBER_LIVE), 0);
    fleet_free(fleet);
}
END_TEST

/*
 * Gossip about dead, leaving and returning hosts is lost and delayed.  The
 * hosts have to agree nevertheless, and then the gossip has to cease.
 */
START_TEST(test_rings_agree_after_message_loss)
{
    fleet_settings_t settings = settings_of(9, ALL_GUARDS);
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

/* One host collects from all others which documents they have in force. */
START_TEST(test_probe_all_collects_every_config)
{
    fleet_settings_t settings = settings_of(7, ALL_GUARDS);
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
    views =
        member_list(fleet->hosts[3].membership, fleet->now_us, &arena, &count);
    ck_assert_uint_eq(count, settings.hosts);
    for (i = 0; i < count; i++) {
        ck_assert(
            views[i].self ||
            (views[i].config_revision == fleet->store_revision &&
             views[i].config_hash == config_sync_hash(fleet->hosts[3].sync)));
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
    tcase_add_test(cases, test_faults_violate_no_invariant);
    tcase_add_test(cases, test_removed_guards_are_detected);
    tcase_add_test(cases, test_same_seed_sends_same_bytes);
    tcase_add_test(cases, test_rings_spread_death_leave_and_return);
    tcase_add_test(cases, test_rings_agree_after_message_loss);
    tcase_add_test(cases, test_probe_all_collects_every_config);
    suite_add_tcase(suite, cases);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_ENV);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? 0 : 1;
}
