/* test_config_sync.c - revisions, comparison and watchers of config_sync.h. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy/config_sync.h"

enum { HOSTS_MAX = 40 };

static action_list_t actions;

static config_sync_t *
new_sync(const char *host, const char *zone)
{
    start_event_t start = {
        .host = (char *)host, .zone = (char *)zone, .seed = 3};

    return config_sync_new(0, &start);
}

/* Returns the membership of self_name; host-N is in zone-(N % 3). */
static membership_t *
new_membership(const char *self_name, u_int count)
{
    static char names[HOSTS_MAX][16];
    static char zones[HOSTS_MAX][16];
    host_entry_t entries[HOSTS_MAX];
    host_list_event_t event = {{count, entries}};
    uint32_t own = (uint32_t)strtoul(self_name + 5, NULL, 10);
    start_event_t start = {.host = (char *)self_name, .address = "a:1"};
    membership_t *membership;
    uint32_t i;

    for (i = 0; i < count; i++) {
        (void)snprintf(names[i], sizeof(names[i]), "host-%02u", i);
        (void)snprintf(zones[i], sizeof(zones[i]), "zone-%u", i % 3);
        entries[i] =
            (host_entry_t){names[i], zones[i], "a:1", "a:2", 1, false};
    }
    start.zone = zones[own];
    membership = member_new(0, &start);
    member_update_listed(membership, 0, &event, &actions);
    return membership;
}

static bool
apply_config(config_sync_t *sync, const membership_t *membership,
             const char *from, const char *key, int64_t revision, bool deleted)
{
    config_t config = {(char *)key, revision, deleted, {3, "abc"}};

    actions_reset(&actions);
    return config_sync_receive(sync, 0, from, &config, membership, &actions);
}

typedef struct {
    const char *name;
    int64_t held; /* 0: nothing */
    bool held_deleted;
    int64_t incoming;
    bool incoming_deleted;
    bool applied;
    size_t listed; /* documents in force at the end */
} revision_case_t;

static const revision_case_t revision_cases[] = {
    {"first revision is applied", 0, false, 5, false, true, 1},
    {"higher revision is applied", 5, false, 6, false, true, 1},
    {"same revision is ignored", 5, false, 5, false, false, 1},
    {"lower revision is ignored", 5, false, 4, false, false, 1},
    {"deletion at a higher revision is applied", 5, false, 6, true, true, 0},
    {"deletion at a lower revision is ignored", 5, false, 4, true, false, 1},
    {"document older than its deletion is ignored", 5, true, 4, false, false,
     0},
    {"document newer than its deletion is applied", 5, true, 6, false, true,
     1},
};

START_TEST(test_only_higher_revision_applied)
{
    const revision_case_t *row = &revision_cases[_i];
    membership_t *membership = new_membership("host-00", 3);
    config_sync_t *sync = new_sync("host-00", "zone-0");
    arena_t arena = {0};
    size_t count;

    if (row->held > 0) {
        ck_assert(apply_config(sync, membership, NULL, "k", row->held,
                               row->held_deleted));
        ck_assert_uint_eq(actions.count, 2);
    }
    ck_assert_msg(apply_config(sync, membership, "host-01", "k", row->incoming,
                               row->incoming_deleted) == row->applied,
                  "%s", row->name);
    /* A new revision is pushed on, but not back to its sender. */
    ck_assert_uint_eq(actions.count, row->applied ? 1 : 0);
    ck_assert_int_eq(config_sync_revision(sync),
                     row->incoming > row->held ? row->incoming : row->held);
    (void)config_sync_list(sync, &arena, &count);
    ck_assert_uint_eq(count, row->listed);
    arena_free(&arena);
    config_sync_free(sync);
    member_free(membership);
}
END_TEST

/* The hash does not depend on the order in which keys arrive. */
START_TEST(test_hash_covers_keys_and_revisions)
{
    membership_t *membership = new_membership("host-00", 1);
    config_sync_t *one = new_sync("host-00", "zone-0");
    config_sync_t *two = new_sync("host-01", "zone-0");

    (void)apply_config(one, membership, NULL, "a", 1, false);
    (void)apply_config(one, membership, NULL, "b", 2, false);
    (void)apply_config(two, membership, NULL, "b", 2, false);
    ck_assert_uint_ne(config_sync_hash(one), config_sync_hash(two));
    (void)apply_config(two, membership, NULL, "a", 1, false);
    ck_assert_uint_eq(config_sync_hash(one), config_sync_hash(two));
    (void)apply_config(two, membership, NULL, "a", 3, true);
    ck_assert_uint_ne(config_sync_hash(one), config_sync_hash(two));
    config_sync_free(one);
    config_sync_free(two);
    member_free(membership);
}
END_TEST

/*
 * Delivers the messages of each side to the other until none is left and
 * returns their number.
 */
static uint32_t
exchange_messages(config_sync_t *const sides[2],
                  const membership_t *membership)
{
    action_list_t sent = {0};
    uint32_t messages = 0;
    uint32_t side = 1;
    size_t i;

    while (actions.count > 0) {
        action_list_t swap = sent;

        sent = actions;
        actions = swap;
        actions_reset(&actions);
        for (i = 0; i < sent.count; i++) {
            const message_t *message =
                &sent.items[i].action_t_u.send_message.message;

            messages++;
            if (message->kind == MESSAGE_CONFIG_DIGEST) {
                config_sync_receive_digest(sides[side], 0, "x",
                                           &message->message_t_u.config_digest,
                                           &actions);
            }
            else {
                (void)config_sync_receive(sides[side], 0, "x",
                                          &message->message_t_u.config,
                                          membership, &actions);
            }
        }
        side = 1 - side;
    }
    actions_free(&sent);
    return messages;
}

/* Each side lacks keys, revisions and deletions of the other. */
START_TEST(test_one_comparison_makes_both_equal)
{
    membership_t *alone = new_membership("host-00", 1);
    membership_t *both = new_membership("host-00", 2);
    config_sync_t *sides[2] = {new_sync("host-00", "zone-0"),
                               new_sync("host-01", "zone-1")};
    char key[16];
    int64_t i;

    for (i = 1; i <= 200; i++) {
        (void)snprintf(key, sizeof(key), "k%d", (int)i);
        if (i % 3 != 0) {
            (void)apply_config(sides[0], alone, NULL, key, i, i % 7 == 0);
        }
        if (i % 5 != 0) {
            (void)apply_config(sides[1], alone, NULL, key,
                               i % 2 == 0 ? i : i + 500, false);
        }
    }
    actions_reset(&actions);
    config_sync_handle_timer(sides[0], 0, both, &actions);
    ck_assert_uint_eq(actions.count, 1);
    ck_assert_uint_gt(exchange_messages(sides, alone), 3);
    ck_assert_uint_eq(config_sync_hash(sides[0]), config_sync_hash(sides[1]));
    ck_assert_ptr_nonnull(config_sync_find(sides[0], "k3"));
    ck_assert_ptr_nonnull(config_sync_find(sides[1], "k5"));
    /* The next comparison finds no difference: a single message. */
    config_sync_handle_timer(sides[0], CONFIG_SYNC_ROUND_US, both, &actions);
    ck_assert_uint_eq(exchange_messages(sides, alone), 1);
    config_sync_free(sides[0]);
    config_sync_free(sides[1]);
    member_free(alone);
    member_free(both);
}
END_TEST

/* All hosts of a small fleet watch the store, two per zone in a larger one. */
START_TEST(test_watcher_count_per_fleet_size)
{
    static const u_int sizes[] = {7, 8, 9, HOSTS_MAX};
    static const uint32_t watchers[] = {7, 8, 6, 6};
    uint32_t watching = 0;
    char host[16];
    uint32_t i;

    for (i = 0; i < sizes[_i]; i++) {
        char zone[16];
        membership_t *membership;
        config_sync_t *sync;

        (void)snprintf(host, sizeof(host), "host-%02u", i);
        (void)snprintf(zone, sizeof(zone), "zone-%u", i % 3);
        membership = new_membership(host, sizes[_i]);
        sync = new_sync(host, zone);
        watching += config_sync_is_watcher(sync, 0, membership) ? 1 : 0;
        config_sync_free(sync);
        member_free(membership);
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

    tcase_add_loop_test(cases, test_only_higher_revision_applied, 0,
                        sizeof(revision_cases) / sizeof(revision_cases[0]));
    tcase_add_test(cases, test_hash_covers_keys_and_revisions);
    tcase_add_test(cases, test_one_comparison_makes_both_equal);
    tcase_add_loop_test(cases, test_watcher_count_per_fleet_size, 0, 4);
    suite_add_tcase(suite, cases);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_ENV);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    actions_free(&actions);
    return failed == 0 ? 0 : 1;
}
