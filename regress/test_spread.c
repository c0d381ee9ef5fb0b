/* test_spread.c - which document is in force, and who is told. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy/spread.h"

enum { HOSTS_MAX = 40 };

static order_list_t orders;

static spread_t *
make(const char *host, const char *zone)
{
    start_event_t start = {
        .host = (char *)host, .zone = (char *)zone, .seed = 3};

    return spread_new(0, &start);
}

/* This host ("host-00") and the others; host-n is in zone-(n % 3). */
static member_t *
make_member(const char *self_name, u_int count)
{
    static char names[HOSTS_MAX][16];
    static char zones[HOSTS_MAX][16];
    host_entry_t entries[HOSTS_MAX];
    hosts_event_t event = {{count, entries}};
    uint32_t own = (uint32_t)strtoul(self_name + 5, NULL, 10);
    start_event_t start = {.host = (char *)self_name, .address = "a:1"};
    member_t *member;
    uint32_t i;

    for (i = 0; i < count; i++) {
        (void)snprintf(names[i], sizeof(names[i]), "host-%02u", i);
        (void)snprintf(zones[i], sizeof(zones[i]), "zone-%u", i % 3);
        entries[i] =
            (host_entry_t){names[i], zones[i], "a:1", "a:2", 1, false};
    }
    start.zone = zones[own];
    member = member_new(0, &start);
    member_hosts(member, 0, &event, &orders);
    return member;
}

static bool
give(spread_t *spread, const member_t *member, const char *from,
     const char *key, int64_t revision, bool deleted)
{
    config_t config = {(char *)key, revision, deleted, {3, "abc"}};

    orders_reset(&orders);
    return spread_config(spread, 0, from, &config, member, &orders);
}

typedef struct {
    const char *what;
    int64_t held; /* 0: nothing */
    bool held_deleted;
    int64_t comes;
    bool comes_deleted;
    bool taken;
    size_t listed; /* documents in force at the end */
} row_t;

static const row_t rows[] = {
    {"the first", 0, false, 5, false, true, 1},
    {"a higher revision", 5, false, 6, false, true, 1},
    {"the same again", 5, false, 5, false, false, 1},
    {"a lower one", 5, false, 4, false, false, 1},
    {"a deletion", 5, false, 6, true, true, 0},
    {"an older deletion", 5, false, 4, true, false, 1},
    {"what was deleted since", 5, true, 4, false, false, 0},
    {"made anew", 5, true, 6, false, true, 1},
};

START_TEST(test_revisions)
{
    const row_t *row = &rows[_i];
    member_t *member = make_member("host-00", 3);
    spread_t *spread = make("host-00", "zone-0");
    arena_t arena = {0};
    size_t count;

    if (row->held > 0) {
        ck_assert(
            give(spread, member, NULL, "k", row->held, row->held_deleted));
        ck_assert_uint_eq(orders.count, 2);
    }
    ck_assert_msg(give(spread, member, "host-01", "k", row->comes,
                       row->comes_deleted) == row->taken,
                  "%s", row->what);
    /* Passed on, if new, but not back to where it came from. */
    ck_assert_uint_eq(orders.count, row->taken ? 1 : 0);
    ck_assert_int_eq(spread_revision(spread),
                     row->comes > row->held ? row->comes : row->held);
    (void)spread_list(spread, &arena, &count);
    ck_assert_uint_eq(count, row->listed);
    arena_free(&arena);
    spread_free(spread);
    member_free(member);
}
END_TEST

/* Same keys and revisions, same hash, in whatever order they came. */
START_TEST(test_hash)
{
    member_t *member = make_member("host-00", 1);
    spread_t *one = make("host-00", "zone-0");
    spread_t *two = make("host-01", "zone-0");

    (void)give(one, member, NULL, "a", 1, false);
    (void)give(one, member, NULL, "b", 2, false);
    (void)give(two, member, NULL, "b", 2, false);
    ck_assert_uint_ne(spread_hash(one), spread_hash(two));
    (void)give(two, member, NULL, "a", 1, false);
    ck_assert_uint_eq(spread_hash(one), spread_hash(two));
    (void)give(two, member, NULL, "a", 3, true);
    ck_assert_uint_ne(spread_hash(one), spread_hash(two));
    spread_free(one);
    spread_free(two);
    member_free(member);
}
END_TEST

/* Carries what the orders tell to the other side until they fall silent. */
static uint32_t
converse(spread_t *const sides[2], const member_t *member)
{
    order_list_t said = {0};
    uint32_t messages = 0;
    uint32_t side = 1;
    size_t i;

    while (orders.count > 0) {
        order_list_t swap = said;

        said = orders;
        orders = swap;
        orders_reset(&orders);
        for (i = 0; i < said.count; i++) {
            const message_t *message = &said.items[i].order_t_u.tell.message;

            messages++;
            if (message->kind == MESSAGE_CONFIG_DIGEST) {
                spread_digest(sides[side], 0, "x",
                              &message->message_t_u.config_digest, &orders);
            }
            else {
                (void)spread_config(sides[side], 0, "x",
                                    &message->message_t_u.config, member,
                                    &orders);
            }
        }
        side = 1 - side;
    }
    orders_free(&said);
    return messages;
}

/* One comparison makes both equal, whoever lacked what. */
START_TEST(test_comparison)
{
    member_t *alone = make_member("host-00", 1);
    member_t *both = make_member("host-00", 2);
    spread_t *sides[2] = {make("host-00", "zone-0"),
                          make("host-01", "zone-1")};
    char key[16];
    int64_t i;

    for (i = 1; i <= 200; i++) {
        (void)snprintf(key, sizeof(key), "k%d", (int)i);
        if (i % 3 != 0) {
            (void)give(sides[0], alone, NULL, key, i, i % 7 == 0);
        }
        if (i % 5 != 0) {
            (void)give(sides[1], alone, NULL, key, i % 2 == 0 ? i : i + 500,
                       false);
        }
    }
    orders_reset(&orders);
    spread_timer(sides[0], 0, both, &orders);
    ck_assert_uint_eq(orders.count, 1);
    ck_assert_uint_gt(converse(sides, alone), 3);
    ck_assert_uint_eq(spread_hash(sides[0]), spread_hash(sides[1]));
    ck_assert_ptr_nonnull(spread_find(sides[0], "k3"));
    ck_assert_ptr_nonnull(spread_find(sides[1], "k5"));
    /* The next one is a single message. */
    spread_timer(sides[0], SPREAD_ROUND_US, both, &orders);
    ck_assert_uint_eq(converse(sides, alone), 1);
    spread_free(sides[0]);
    spread_free(sides[1]);
    member_free(alone);
    member_free(both);
}
END_TEST

/* Everyone watches in a small fleet, two of each zone in a larger one. */
START_TEST(test_watchers)
{
    static const u_int sizes[] = {7, 8, 9, HOSTS_MAX};
    static const uint32_t watchers[] = {7, 8, 6, 6};
    uint32_t watching = 0;
    char host[16];
    uint32_t i;

    for (i = 0; i < sizes[_i]; i++) {
        char zone[16];
        member_t *member;
        spread_t *spread;

        (void)snprintf(host, sizeof(host), "host-%02u", i);
        (void)snprintf(zone, sizeof(zone), "zone-%u", i % 3);
        member = make_member(host, sizes[_i]);
        spread = make(host, zone);
        watching += spread_watches(spread, 0, member) ? 1 : 0;
        spread_free(spread);
        member_free(member);
    }
    ck_assert_uint_eq(watching, watchers[_i]);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("spread");
    TCase *cases = tcase_create("spread");
    SRunner *runner;
    int failed;

    tcase_add_loop_test(cases, test_revisions, 0,
                        sizeof(rows) / sizeof(rows[0]));
    tcase_add_test(cases, test_hash);
    tcase_add_test(cases, test_comparison);
    tcase_add_loop_test(cases, test_watchers, 0, 4);
    suite_add_tcase(suite, cases);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_ENV);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    orders_free(&orders);
    return failed == 0 ? 0 : 1;
}
