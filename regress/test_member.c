/* test_member.c - the state of a host for each kind of evidence. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy/member.h"

enum { STEPS = 6, US_PER_MS = 1000 };

typedef enum {
    STEP_WAIT, /* run the timer every 100 ms */
    STEP_HEARTBEAT,
    STEP_HEARTBEAT_LEAVING,
    STEP_LISTED,
    STEP_LISTED_LEAVING,
    STEP_UNLISTED,
    STEP_GOSSIP_DEAD,
    STEP_GOSSIP_LEAVING,
    STEP_PAUSE, /* the process does not run for this time */
} step_kind_t;

typedef struct {
    int64_t after_ms;
    step_kind_t kind;
    uint64_t incarnation;
    member_state_t state; /* expected of the other host after the step */
} evidence_step_t;

typedef struct {
    const char *name;
    evidence_step_t steps[STEPS];
} evidence_case_t;

/* Initially the other host is listed and has sent a heartbeat at 5. */
static const evidence_case_t evidence_cases[] = {
    {"silence makes a host suspect, then dead; a heartbeat makes it live",
     {{1400, STEP_WAIT, 0, MEMBER_LIVE},
      {200, STEP_WAIT, 0, MEMBER_SUSPECT},
      {3300, STEP_WAIT, 0, MEMBER_SUSPECT},
      {200, STEP_WAIT, 0, MEMBER_DEAD},
      {100, STEP_HEARTBEAT, 5, MEMBER_LIVE}}},
    {"unlisted host that sends heartbeats stays live",
     {{500, STEP_UNLISTED, 0, MEMBER_LIVE},
      {500, STEP_HEARTBEAT, 5, MEMBER_LIVE},
      {1000, STEP_HEARTBEAT, 5, MEMBER_LIVE}}},
    {"listed host without heartbeats becomes suspect, then dead",
     {{1000, STEP_LISTED, 5, MEMBER_LIVE},
      {1000, STEP_LISTED, 5, MEMBER_SUSPECT},
      {4000, STEP_LISTED, 5, MEMBER_DEAD}}},
    {"leaving host stays leaving at the same incarnation",
     {{100, STEP_HEARTBEAT_LEAVING, 5, MEMBER_LEAVING},
      {500, STEP_HEARTBEAT, 5, MEMBER_LEAVING},
      {500, STEP_LISTED, 5, MEMBER_LEAVING}}},
    {"host listed as leaving stays leaving",
     {{100, STEP_LISTED_LEAVING, 5, MEMBER_LEAVING},
      {500, STEP_HEARTBEAT, 5, MEMBER_LEAVING},
      {500, STEP_LISTED, 5, MEMBER_LEAVING}}},
    {"host reported leaving by gossip stays leaving",
     {{100, STEP_GOSSIP_LEAVING, 5, MEMBER_LEAVING},
      {500, STEP_HEARTBEAT, 5, MEMBER_LEAVING}}},
    {"heartbeat of a higher incarnation ends leaving",
     {{100, STEP_HEARTBEAT_LEAVING, 5, MEMBER_LEAVING},
      {500, STEP_HEARTBEAT, 6, MEMBER_LIVE},
      {500, STEP_HEARTBEAT_LEAVING, 5, MEMBER_LIVE},
      {100, STEP_LISTED_LEAVING, 5, MEMBER_LIVE},
      {100, STEP_GOSSIP_LEAVING, 5, MEMBER_LIVE}}},
    {"host list with a higher incarnation ends leaving",
     {{100, STEP_HEARTBEAT_LEAVING, 5, MEMBER_LEAVING},
      {100, STEP_LISTED, 6, MEMBER_LIVE},
      {100, STEP_HEARTBEAT, 5, MEMBER_LIVE}}},
    {"monitored host stays live when reported dead",
     {{100, STEP_GOSSIP_DEAD, 5, MEMBER_LIVE},
      {500, STEP_HEARTBEAT, 5, MEMBER_LIVE}}},
    {"pause of this host leaves the other live",
     {{8000, STEP_PAUSE, 0, MEMBER_LIVE},
      {500, STEP_HEARTBEAT, 5, MEMBER_LIVE}}},
};

static action_list_t actions;
static const member_status_t status;
static uint64_t sequence;

static heartbeat_t
heartbeat_of(uint64_t incarnation, bool leaving)
{
    heartbeat_t heartbeat = {0};

    sequence++;
    heartbeat.incarnation = incarnation;
    heartbeat.seqno = sequence;
    heartbeat.leaving = leaving;
    heartbeat.zone = "z2";
    heartbeat.address = "127.0.0.1:2";
    heartbeat.peer_address = "127.0.0.1:3";
    return heartbeat;
}

static void
deliver_host_list(membership_t *membership, int64_t now_us,
                  uint64_t incarnation, bool leaving, u_int count)
{
    host_entry_t entry = {"two",         "z2",        "127.0.0.1:2",
                          "127.0.0.1:3", incarnation, leaving};
    host_list_event_t event = {{count, &entry}};

    member_update_listed(membership, now_us, &event, &actions);
}

static void
deliver_gossip(membership_t *membership, int64_t now_us, gossip_state_t state,
               uint64_t incarnation)
{
    gossip_t gossip_data = {"two", "five",      "",       "",
                            "",    incarnation, sequence, state};
    heartbeat_t heartbeat = heartbeat_of(1, false);

    heartbeat.gossip_data.gossip_data_len = 1;
    heartbeat.gossip_data.gossip_data_val = &gossip_data;
    member_receive_heartbeat(membership, now_us, "three", &heartbeat, &status,
                             &actions);
}

static void
apply_step(membership_t *membership, int64_t now_us,
           const evidence_step_t *step)
{
    heartbeat_t heartbeat;

    switch (step->kind) {
    case STEP_HEARTBEAT:
    case STEP_HEARTBEAT_LEAVING:
        heartbeat = heartbeat_of(step->incarnation,
                                 step->kind == STEP_HEARTBEAT_LEAVING);
        member_receive_heartbeat(membership, now_us, "two", &heartbeat,
                                 &status, &actions);
        break;
    case STEP_LISTED:
    case STEP_LISTED_LEAVING:
    case STEP_UNLISTED:
        deliver_host_list(membership, now_us, step->incarnation,
                          step->kind == STEP_LISTED_LEAVING,
                          step->kind == STEP_UNLISTED ? 0 : 1);
        break;
    case STEP_GOSSIP_DEAD:
        deliver_gossip(membership, now_us, GOSSIP_DEAD, step->incarnation);
        break;
    case STEP_GOSSIP_LEAVING:
        deliver_gossip(membership, now_us, GOSSIP_LEAVING, step->incarnation);
        break;
    case STEP_WAIT:
    case STEP_PAUSE:
        break;
    }
}

static membership_t *
new_membership(const char *zone)
{
    start_event_t start = {.host = "one",
                           .zone = (char *)zone,
                           .address = "127.0.0.1:1",
                           .incarnation = 9,
                           .seed = 4};

    return member_new(0, &start);
}

START_TEST(test_state_follows_evidence)
{
    const evidence_case_t *row = &evidence_cases[_i];
    membership_t *membership = new_membership("z1");
    int64_t now_us = 0;
    int64_t until_us;
    member_view_t view;
    uint32_t i;

    apply_step(membership, 0,
               &(evidence_step_t){0, STEP_LISTED, 5, MEMBER_LIVE});
    apply_step(membership, 0,
               &(evidence_step_t){0, STEP_HEARTBEAT, 5, MEMBER_LIVE});
    for (i = 0; i < STEPS && row->steps[i].after_ms > 0; i++) {
        until_us = now_us + row->steps[i].after_ms * US_PER_MS;
        while (row->steps[i].kind != STEP_PAUSE && now_us < until_us) {
            now_us += 100 * US_PER_MS;
            actions_reset(&actions);
            member_handle_timer(membership, now_us, &status, &actions);
        }
        now_us = until_us;
        actions_reset(&actions);
        member_handle_timer(membership, now_us, &status, &actions);
        apply_step(membership, now_us, &row->steps[i]);
        ck_assert(member_find(membership, now_us, "two", &view));
        ck_assert_msg(view.state == row->steps[i].state,
                      "%s: step %u: state %d", row->name, i, view.state);
    }
    member_free(membership);
}
END_TEST

/* The platform also lists backend hosts; they have no peer address. */
START_TEST(test_listed_host_without_peer_address_ignored)
{
    host_entry_t entry = {"runner-7", "", "", "", 0, true};
    host_list_event_t event = {{1, &entry}};
    membership_t *membership = new_membership("z1");
    member_view_t view;

    member_update_listed(membership, 0, &event, &actions);
    ck_assert(!member_find(membership, 0, "runner-7", &view));
    member_free(membership);
}
END_TEST

/* Returns a membership of nine other hosts; host-N is in zone N % 3. */
static membership_t *
new_membership_in_zones(void)
{
    membership_t *membership = new_membership("zone-0");
    host_entry_t entries[9];
    char names[9][16];
    char zones[9][16];
    host_list_event_t event = {{9, entries}};
    uint32_t i;

    for (i = 0; i < 9; i++) {
        (void)snprintf(names[i], sizeof(names[i]), "host-%u", i);
        (void)snprintf(zones[i], sizeof(zones[i]), "zone-%u", i % 3);
        entries[i] = (host_entry_t){names[i],      zones[i], "127.0.0.1:1",
                                    "127.0.0.1:2", 1,        i == 4};
    }
    member_update_listed(membership, 0, &event, &actions);
    return membership;
}

/*
 * Hosts of the own zone come first, leaving hosts are left out, and the first
 * position is balanced over the own zone.
 */
START_TEST(test_addresses_prefer_own_zone)
{
    membership_t *membership = new_membership_in_zones();
    uint32_t first_counts[10] = {0};
    member_view_t *views;
    arena_t arena = {0};
    uint64_t spread;
    size_t count;
    size_t i;

    for (spread = 0; spread < 400; spread++) {
        views = member_caller_addresses(membership, 0, spread, &arena, &count);
        ck_assert_uint_eq(count, 9);
        for (i = 0; i < count; i++) {
            ck_assert_str_ne(views[i].host, "host-4");
            ck_assert_int_eq(strcmp(views[i].zone, "zone-0") == 0, i < 4);
        }
        first_counts[views[0].self ? 9 : views[0].host[5] - '0']++;
        arena_reset(&arena);
    }
    ck_assert_uint_gt(first_counts[0], 50);
    ck_assert_uint_gt(first_counts[3], 50);
    ck_assert_uint_gt(first_counts[6], 50);
    ck_assert_uint_gt(first_counts[9], 50);
    arena_free(&arena);
    member_free(membership);
}
END_TEST

/* Replicas are distinct live hosts, in other zones where possible. */
START_TEST(test_replicas_prefer_other_zones)
{
    membership_t *membership = new_membership_in_zones();
    const char *hosts[9];
    uint64_t hash;

    for (hash = 0; hash < 200; hash++) {
        ck_assert_uint_eq(
            member_select_replicas(membership, 0, hash, "zone-0", hosts, 2),
            2);
        ck_assert_int_ne((hosts[0][5] - '0') % 3, 0);
        ck_assert_int_ne((hosts[1][5] - '0') % 3, 0);
        ck_assert_str_ne(hosts[0], hosts[1]);
        ck_assert_str_ne(hosts[0], "host-4");
    }
    /* Eight hosts are live; those of the given zone come last. */
    ck_assert_uint_eq(
        member_select_replicas(membership, 0, 1, "zone-0", hosts, 9), 8);
    ck_assert_int_eq((hosts[7][5] - '0') % 3, 0);
    member_free(membership);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("member");
    TCase *cases = tcase_create("member");
    SRunner *runner;
    int failed;

    tcase_add_loop_test(cases, test_state_follows_evidence, 0,
                        sizeof(evidence_cases) / sizeof(evidence_cases[0]));
    tcase_add_test(cases, test_listed_host_without_peer_address_ignored);
    tcase_add_test(cases, test_addresses_prefer_own_zone);
    tcase_add_test(cases, test_replicas_prefer_other_zones);
    suite_add_tcase(suite, cases);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_ENV);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    actions_free(&actions);
    return failed == 0 ? 0 : 1;
}
