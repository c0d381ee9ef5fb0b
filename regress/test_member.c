/* test_member.c - witnesses of a host's state, one case a row. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy/member.h"

enum { STEPS = 6, MS = 1000 };

typedef enum {
    DO_NOTHING, /* let the time pass, in beats */
    DO_HEAR,
    DO_HEAR_LEAVING,
    DO_LIST,
    DO_LIST_LEAVING,
    DO_LIST_NONE,
    DO_NEWS_DEAD,
    DO_NEWS_LEAVING,
    DO_PAUSE, /* let it pass without a single step */
} act_t;

typedef struct {
    int64_t after_ms;
    act_t act;
    uint64_t incarnation;
    member_state_t state; /* of the other host after it */
} witness_step_t;

typedef struct {
    const char *what;
    witness_step_t steps[STEPS];
} witness_t;

/* The other host is listed and heard at incarnation 5 at the start. */
static const witness_t witnesses[] = {
    {"silence makes a suspect, then dead",
     {{1400, DO_NOTHING, 0, MEMBER_LIVE},
      {200, DO_NOTHING, 0, MEMBER_SUSPECT},
      {3300, DO_NOTHING, 0, MEMBER_SUSPECT},
      {200, DO_NOTHING, 0, MEMBER_DEAD},
      {100, DO_HEAR, 5, MEMBER_LIVE}}},
    {"what the list no longer has but is heard lives",
     {{500, DO_LIST_NONE, 0, MEMBER_LIVE},
      {500, DO_HEAR, 5, MEMBER_LIVE},
      {1000, DO_HEAR, 5, MEMBER_LIVE}}},
    {"the list alone keeps nobody alive",
     {{1000, DO_LIST, 5, MEMBER_LIVE},
      {1000, DO_LIST, 5, MEMBER_SUSPECT},
      {4000, DO_LIST, 5, MEMBER_DEAD}}},
    {"leaving is at once and for good",
     {{100, DO_HEAR_LEAVING, 5, MEMBER_LEAVING},
      {500, DO_HEAR, 5, MEMBER_LEAVING},
      {500, DO_LIST, 5, MEMBER_LEAVING}}},
    {"leaving by the list",
     {{100, DO_LIST_LEAVING, 5, MEMBER_LEAVING},
      {500, DO_HEAR, 5, MEMBER_LEAVING},
      {500, DO_LIST, 5, MEMBER_LEAVING}}},
    {"leaving by news",
     {{100, DO_NEWS_LEAVING, 5, MEMBER_LEAVING},
      {500, DO_HEAR, 5, MEMBER_LEAVING}}},
    {"a higher incarnation comes back",
     {{100, DO_HEAR_LEAVING, 5, MEMBER_LEAVING},
      {500, DO_HEAR, 6, MEMBER_LIVE},
      {500, DO_HEAR_LEAVING, 5, MEMBER_LIVE},
      {100, DO_LIST_LEAVING, 5, MEMBER_LIVE},
      {100, DO_NEWS_LEAVING, 5, MEMBER_LIVE}}},
    {"a list may know of the new life first",
     {{100, DO_HEAR_LEAVING, 5, MEMBER_LEAVING},
      {100, DO_LIST, 6, MEMBER_LIVE},
      {100, DO_HEAR, 5, MEMBER_LIVE}}},
    {"one that is heard is not dead on another's word",
     {{100, DO_NEWS_DEAD, 5, MEMBER_LIVE}, {500, DO_HEAR, 5, MEMBER_LIVE}}},
    {"who stood still itself accuses nobody",
     {{8000, DO_PAUSE, 0, MEMBER_LIVE}, {500, DO_HEAR, 5, MEMBER_LIVE}}},
};

static order_list_t orders;
static const member_self_t self;
static uint64_t beat;

static heartbeat_t
heartbeat_of(uint64_t incarnation, bool leaving)
{
    heartbeat_t heartbeat = {0};

    beat++;
    heartbeat.incarnation = incarnation;
    heartbeat.beat = beat;
    heartbeat.leaving = leaving;
    heartbeat.zone = "z2";
    heartbeat.address = "127.0.0.1:2";
    heartbeat.peer_address = "127.0.0.1:3";
    return heartbeat;
}

static void
give_list(member_t *member, int64_t now_us, uint64_t incarnation, bool leaving,
          u_int count)
{
    host_entry_t entry = {"two",         "z2",        "127.0.0.1:2",
                          "127.0.0.1:3", incarnation, leaving};
    hosts_event_t event = {{count, &entry}};

    member_hosts(member, now_us, &event, &orders);
}

static void
give_news(member_t *member, int64_t now_us, news_state_t state,
          uint64_t incarnation)
{
    news_t news = {"two", "five", "", "", "", incarnation, beat, state};
    heartbeat_t heartbeat = heartbeat_of(1, false);

    heartbeat.news.news_len = 1;
    heartbeat.news.news_val = &news;
    member_heartbeat(member, now_us, "three", &heartbeat, &self, &orders);
}

static void
act(member_t *member, int64_t now_us, const witness_step_t *step)
{
    heartbeat_t heartbeat;

    switch (step->act) {
    case DO_HEAR:
    case DO_HEAR_LEAVING:
        heartbeat =
            heartbeat_of(step->incarnation, step->act == DO_HEAR_LEAVING);
        member_heartbeat(member, now_us, "two", &heartbeat, &self, &orders);
        break;
    case DO_LIST:
    case DO_LIST_LEAVING:
    case DO_LIST_NONE:
        give_list(member, now_us, step->incarnation,
                  step->act == DO_LIST_LEAVING,
                  step->act == DO_LIST_NONE ? 0 : 1);
        break;
    case DO_NEWS_DEAD:
        give_news(member, now_us, NEWS_DEAD, step->incarnation);
        break;
    case DO_NEWS_LEAVING:
        give_news(member, now_us, NEWS_LEAVING, step->incarnation);
        break;
    case DO_NOTHING:
    case DO_PAUSE:
        break;
    }
}

static member_t *
make(const char *zone)
{
    start_event_t start = {.host = "one",
                           .zone = (char *)zone,
                           .address = "127.0.0.1:1",
                           .incarnation = 9,
                           .seed = 4};

    return member_new(0, &start);
}

START_TEST(test_witnesses)
{
    const witness_t *row = &witnesses[_i];
    member_t *member = make("z1");
    int64_t now_us = 0;
    int64_t until_us;
    member_view_t view;
    uint32_t i;

    act(member, 0, &(witness_step_t){0, DO_LIST, 5, MEMBER_LIVE});
    act(member, 0, &(witness_step_t){0, DO_HEAR, 5, MEMBER_LIVE});
    for (i = 0; i < STEPS && row->steps[i].after_ms > 0; i++) {
        until_us = now_us + row->steps[i].after_ms * MS;
        while (row->steps[i].act != DO_PAUSE && now_us < until_us) {
            now_us += 100 * MS;
            orders_reset(&orders);
            member_timer(member, now_us, &self, &orders);
        }
        now_us = until_us;
        orders_reset(&orders);
        member_timer(member, now_us, &self, &orders);
        act(member, now_us, &row->steps[i]);
        ck_assert(member_find(member, now_us, "two", &view));
        ck_assert_msg(view.state == row->steps[i].state,
                      "%s: step %u: state %d", row->what, i, view.state);
    }
    member_free(member);
}
END_TEST

/* Backend hosts are on the platform's list, too, without a peer address. */
START_TEST(test_list_of_others)
{
    host_entry_t entry = {"runner-7", "", "", "", 0, true};
    hosts_event_t event = {{1, &entry}};
    member_t *member = make("z1");
    member_view_t view;

    member_hosts(member, 0, &event, &orders);
    ck_assert(!member_find(member, 0, "runner-7", &view));
    member_free(member);
}
END_TEST

/* Nine others in three zones; host-n is in zone n % 3. */
static member_t *
make_zones(void)
{
    member_t *member = make("zone-0");
    host_entry_t entries[9];
    char names[9][16];
    char zones[9][16];
    hosts_event_t event = {{9, entries}};
    uint32_t i;

    for (i = 0; i < 9; i++) {
        (void)snprintf(names[i], sizeof(names[i]), "host-%u", i);
        (void)snprintf(zones[i], sizeof(zones[i]), "zone-%u", i % 3);
        entries[i] = (host_entry_t){names[i],      zones[i], "127.0.0.1:1",
                                    "127.0.0.1:2", 1,        i == 4};
    }
    member_hosts(member, 0, &event, &orders);
    return member;
}

/* Own zone first, never a leaving host, and the first one is spread. */
START_TEST(test_addresses)
{
    member_t *member = make_zones();
    uint32_t firsts[10] = {0};
    member_view_t *views;
    arena_t arena = {0};
    uint64_t spread;
    size_t count;
    size_t i;

    for (spread = 0; spread < 400; spread++) {
        views = member_addresses(member, 0, spread, &arena, &count);
        ck_assert_uint_eq(count, 9);
        for (i = 0; i < count; i++) {
            ck_assert_str_ne(views[i].host, "host-4");
            ck_assert_int_eq(strcmp(views[i].zone, "zone-0") == 0, i < 4);
        }
        firsts[views[0].self ? 9 : views[0].host[5] - '0']++;
        arena_reset(&arena);
    }
    ck_assert_uint_gt(firsts[0], 50);
    ck_assert_uint_gt(firsts[3], 50);
    ck_assert_uint_gt(firsts[6], 50);
    ck_assert_uint_gt(firsts[9], 50);
    arena_free(&arena);
    member_free(member);
}
END_TEST

/* Of other zones, the same from every host's view, moved by a loss only. */
START_TEST(test_keepers)
{
    member_t *member = make_zones();
    const char *hosts[9];
    uint64_t hash;

    for (hash = 0; hash < 200; hash++) {
        ck_assert_uint_eq(member_keepers(member, 0, hash, "zone-0", hosts, 2),
                          2);
        ck_assert_int_ne((hosts[0][5] - '0') % 3, 0);
        ck_assert_int_ne((hosts[1][5] - '0') % 3, 0);
        ck_assert_str_ne(hosts[0], hosts[1]);
        ck_assert_str_ne(hosts[0], "host-4");
    }
    /* Eight live ones in all; those of the zone come last. */
    ck_assert_uint_eq(member_keepers(member, 0, 1, "zone-0", hosts, 9), 8);
    ck_assert_int_eq((hosts[7][5] - '0') % 3, 0);
    member_free(member);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("member");
    TCase *cases = tcase_create("member");
    SRunner *runner;
    int failed;

    tcase_add_loop_test(cases, test_witnesses, 0,
                        sizeof(witnesses) / sizeof(witnesses[0]));
    tcase_add_test(cases, test_list_of_others);
    tcase_add_test(cases, test_addresses);
    tcase_add_test(cases, test_keepers);
    suite_add_tcase(suite, cases);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_ENV);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    orders_free(&orders);
    return failed == 0 ? 0 : 1;
}
