/* test_store_sync.c - tests how a host follows the store, call by call. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "forward/store_sync.h"
#include "regress/fixture.h"

enum {
    HOSTS_MAX = 30,
    STEPS_MAX = 12,
    TEXT_BYTES = 128,
    WATCH_MS = 1000,
    US_PER_MS = 1000
};

/*
 * What happens at a time, and the step that follows.  Events:
 *   start | read ok|failed | empty | changes | compacted | failed
 *   reply AGE_MS | part AGE_MS | unknown | behind | timer | confirm
 *   "replayed" before "changes" or "read": versions that are superseded
 * Steps: the call ("read", "watch", "poll"), then "contact=AGE_MS",
 * "ended" (the watch), "lost" or "regained" (the store), "wait=MS".
 */
typedef struct {
    int64_t at_ms;
    const char *event;
    const char *step;
} sync_line_t;

typedef struct {
    const char *name;
    size_t hosts;
    bool watcher; /* this host is one */
    sync_line_t lines[STEPS_MAX];
} sync_case_t;

static const sync_case_t cases[] = {
    {"a watch confirms the state at once, and then by each poll",
     6,
     true,
     {{0, "start", "read"},
      {5, "read ok", "watch contact=5"},
      {10, "empty", "contact=5"},
      {1015, "empty", "contact=5"},
      {1200, "changes", "contact=185"},
      {1460, "empty", "contact=10"}}},
    {"a follower polls, and calls the store when its watcher is silent",
     30,
     false,
     {{0, "start", "read"},
      {5, "read ok", "poll contact=5 wait=900"},
      {505, "reply 300", "poll contact=800 wait=900"},
      {1405, "timer", "watch"},
      {1410, "empty", "poll contact=5 ended wait=900"}}},
    {"a follower does not use a watcher with an old contact",
     30,
     false,
     {{0, "start", "read"},
      {5, "read ok", "poll contact=5 wait=900"},
      {10, "reply 1501", "watch"}}},
    {"a poll that takes too long is ended by a confirmation",
     30,
     false,
     {{0, "start", "read"},
      {5, "read ok", "poll contact=5 wait=900"},
      {700, "confirm", "watch"},
      {705, "empty", "poll contact=5 ended wait=900"}}},
    {"a host that may hold a poll is not blamed for a confirmation",
     30,
     false,
     {{0, "start", "read"},
      {5, "read ok", "poll contact=5 wait=900"},
      {105, "confirm", "watch"},
      {110, "empty", "poll contact=5 ended wait=900"},
      {210, "confirm", "watch"},
      {215, "empty", "poll contact=5 ended wait=900"},
      {315, "confirm", "watch"},
      {320, "empty", "poll contact=5 ended wait=900"}}},
    {"a watch that is silent is started anew by a confirmation",
     6,
     true,
     {{0, "start", "read"},
      {5, "read ok", "watch contact=5"},
      {10, "empty", "contact=5"},
      {1400, "confirm", "watch ended"},
      {1405, "empty", "contact=5"}}},
    {"a confirmation ends a poll, and the store is called when that is due",
     2,
     true,
     {{0, "start", "read"},
      {5, "read ok", "watch contact=5"},
      {10, "empty", "contact=5"},
      {20, "failed", "poll lost wait=900"},
      {500, "confirm", "watch"}}},
    {"a host that the store rejects follows another one",
     6,
     true,
     {{0, "start", "read"},
      {5, "read ok", "watch contact=5"},
      {10, "empty", "contact=5"},
      {20, "failed", "poll lost wait=900"},
      {520, "reply 100", "watch contact=600"},
      {525, "failed", "poll wait=900"},
      {530, "reply 200", "poll contact=205 wait=900"},
      {1030, "reply 0", "watch contact=500"},
      {1035, "empty", "contact=5 regained"}}},
    {"all keys are read from the store itself",
     6,
     true,
     {{0, "start", "read"},
      {5, "read ok", "watch contact=5"},
      {10, "empty", "contact=5"},
      {20, "compacted", "read"},
      {25, "read failed", "lost wait=26"},
      {51, "timer", "read"},
      {55, "read ok", "watch contact=4 regained"}}},
    {"a reply without all changes is followed by a read",
     30,
     false,
     {{0, "start", "read"},
      {5, "read ok", "poll contact=5 wait=900"},
      {10, "unknown", "read"}}},
    {"a host that has not seen a restoration is taken for the store",
     30,
     false,
     {{0, "start", "read"},
      {5, "read ok", "poll contact=5 wait=900"},
      {10, "behind", "watch"},
      {15, "empty", "poll contact=5 ended wait=900"}}},
    {"a host that sends a large change is not given up",
     30,
     false,
     {{0, "start", "read"},
      {5, "read ok", "poll contact=5 wait=900"},
      {400, "part 100", "poll wait=900"},
      {800, "part 100", "poll wait=900"},
      {1600, "part 100", "poll wait=900"},
      {2000, "reply 100", "poll contact=500 wait=900"}}},
    {"a large change that is late is read from the store meanwhile",
     30,
     false,
     {{0, "start", "read"},
      {5, "read ok", "poll contact=5 wait=900"},
      {1600, "part 100", "poll wait=900"},
      {2400, "confirm", "watch"},
      {2500, "changes", "poll contact=100 ended wait=900"}}},
    {"a host is not given up for changes as of an old contact",
     30,
     false,
     {{0, "start", "read"},
      {5, "read ok", "poll contact=5 wait=900"},
      {400, "part 1501", "poll wait=900"},
      {600, "reply 1501", "watch"}}},
    {"a part of a change does not mean that the store is back",
     30,
     false,
     {{0, "start", "read"},
      {5, "read ok", "poll contact=5 wait=900"},
      {905, "timer", "watch"},
      {910, "failed", "poll lost wait=900"},
      {920, "part 100", "poll wait=900"},
      {960, "reply 100", "poll contact=140 regained wait=900"}}},
    {"a large response is confirmed at once where others poll",
     30,
     true,
     {{0, "start", "read"},
      {5, "read ok", "watch contact=5"},
      {10, "empty", "contact=5"},
      {1300, "changes", "watch contact=1290 ended"},
      {1310, "empty", "contact=10"}}},
    {"a watcher that is sent a large change goes back to the store",
     6,
     true,
     {{0, "start", "read"},
      {5, "read ok", "watch contact=5"},
      {10, "empty", "contact=5"},
      {20, "failed", "poll lost wait=900"},
      {30, "part 100", "poll wait=900"},
      {300, "part 100", "watch"},
      {305, "empty", "contact=5 regained"}}},
    {"a watcher that gets superseded versions reads until nothing changes",
     6,
     true,
     {{0, "start", "read"},
      {5, "read ok", "watch contact=5"},
      {10, "empty", "contact=5"},
      {400, "replayed changes", "read contact=390 ended"},
      {700, "replayed read ok", "read contact=300"},
      {900, "read ok", "watch contact=200"}}},
    {"a follower that gets superseded versions polls",
     30,
     false,
     {{0, "start", "read"},
      {5, "read ok", "poll contact=5 wait=900"},
      {905, "timer", "watch"},
      {1200, "replayed changes", "poll contact=295 ended wait=900"}}},
};

static char names[HOSTS_MAX][32];
static watcher_candidate_t hosts[HOSTS_MAX];

static store_sync_fleet_t
fleet_of(const sync_case_t *test, int64_t at_ms)
{
    static const char *const zones[] = {"a", "b", "c"};
    store_sync_fleet_t fleet = {
        .now_us = (at_ms + 1) * US_PER_MS,
        .peers_ready = true,
        .contact_age_max_ms = FOLLOWER_CONTACT_AGE_MAX_MS,
        .hosts = hosts,
        .count = test->hosts,
    };
    size_t i;

    for (i = 0; i < test->hosts; i++) {
        (void)snprintf(names[i], sizeof(names[i]), "h%zu", i);
        hosts[i] =
            (watcher_candidate_t){.name = names[i], .zone = zones[i % 3]};
    }
    for (i = 0; i < test->hosts && fleet.self == NULL; i++) {
        if (follower_is_watcher(hosts, test->hosts, &hosts[i]) ==
            test->watcher) {
            fleet.self = &hosts[i];
        }
    }
    return fleet;
}

static store_sync_step_t
play(store_sync_t *sync, const char *event, const store_sync_fleet_t *fleet)
{
    if (strncmp(event, "replayed ", 9) == 0) {
        store_sync_skip_history(sync);
        return play(sync, event + 9, fleet);
    }
    if (strcmp(event, "start") == 0) {
        return store_sync_start(sync, fleet);
    }
    if (strncmp(event, "read ", 5) == 0) {
        return store_sync_read_done(
            sync, strcmp(event, "read ok") == 0 ? SYNC_OK : SYNC_FAILED,
            fleet);
    }
    if (strncmp(event, "reply ", 6) == 0) {
        return store_sync_poll_done(sync, SYNC_REPLY_CHANGES,
                                    (uint32_t)strtoul(event + 6, NULL, 10),
                                    fleet);
    }
    if (strncmp(event, "part ", 5) == 0) {
        return store_sync_poll_done(sync, SYNC_REPLY_PARTIAL,
                                    (uint32_t)strtoul(event + 5, NULL, 10),
                                    fleet);
    }
    if (strcmp(event, "unknown") == 0) {
        return store_sync_poll_done(sync, SYNC_REPLY_UNKNOWN, 0, fleet);
    }
    if (strcmp(event, "behind") == 0) {
        return store_sync_poll_done(sync, SYNC_REPLY_BEHIND, 0, fleet);
    }
    if (strcmp(event, "timer") == 0) {
        return store_sync_timer(sync, fleet);
    }
    if (strcmp(event, "confirm") == 0) {
        return store_sync_confirm(sync, fleet);
    }
    return store_sync_watch_done(sync,
                                 strcmp(event, "failed") == 0 ? SYNC_FAILED
                                 : strcmp(event, "compacted") == 0
                                     ? SYNC_COMPACTED
                                     : SYNC_OK,
                                 strcmp(event, "changes") == 0, fleet);
}

static void
print_step(const store_sync_step_t *step, int64_t now_us, char *text)
{
    static const char *const calls[] = {[SYNC_NONE] = "",
                                        [SYNC_READ] = " read",
                                        [SYNC_WATCH] = " watch",
                                        [SYNC_POLL] = " poll"};
    static const char *const changes[] = {[SYNC_STORE_SAME] = "",
                                          [SYNC_STORE_LOST] = " lost",
                                          [SYNC_STORE_REGAINED] = " regained"};
    char contact[TEXT_BYTES / 4] = "";
    char wait[TEXT_BYTES / 4] = "";

    if (step->has_contact) {
        (void)snprintf(contact, sizeof(contact), " contact=%lld",
                       (long long)((now_us - step->contact_us) / US_PER_MS));
    }
    if (step->timer_ms > 0) {
        (void)snprintf(wait, sizeof(wait), " wait=%u", step->timer_ms);
    }
    (void)snprintf(text, TEXT_BYTES, "%s%s%s%s%s", calls[step->call], contact,
                   step->ends_watch ? " ended" : "", changes[step->store],
                   wait);
}

static void
check_case(const sync_case_t *test, uint32_t settle_ms)
{
    store_sync_settings_t settings = {.watch_ms = WATCH_MS,
                                      .changed_watch_ms = WATCH_MS / 4,
                                      .settle_ms = settle_ms};
    store_sync_t *sync = store_sync_new(&settings);
    char text[TEXT_BYTES];
    size_t i;

    for (i = 0; i < STEPS_MAX && test->lines[i].event != NULL; i++) {
        const sync_line_t *line = &test->lines[i];
        store_sync_fleet_t fleet = fleet_of(test, line->at_ms);
        store_sync_step_t step = play(sync, line->event, &fleet);
        const char *got = text;

        print_step(&step, fleet.now_us, text);
        got += text[0] == ' ' ? 1 : 0;
        ck_assert_msg(strcmp(got, line->step) == 0,
                      "%s: at %lld ms, %s: got \"%s\", want \"%s\"",
                      test->name, (long long)line->at_ms, line->event, got,
                      line->step);
    }
    store_sync_free(sync);
}

START_TEST(test_calls_follow_what_happened)
{
    check_case(&cases[_i], 0);
}
END_TEST

START_TEST(test_confirmation_waits_for_a_starting_fleet)
{
    static const sync_case_t test = {
        "a host that waits for its fleet to start",
        6,
        true,
        {{0, "start", "read"},
         {5, "read ok", "contact=5 wait=1000"},
         {100, "confirm", "watch"},
         {105, "empty", "contact=5"}}};

    check_case(&test, WATCH_MS);
}
END_TEST

/* The limits of a poll fit into the time before a view is confirmed. */
START_TEST(test_contact_age_fits_the_limit)
{
    static const struct {
        uint32_t confirm_ms;
        uint32_t age_max_ms;
    } limits[] = {{0, 1500}, {1400, 1200}, {2400, 1500}, {3400, 1500}};
    size_t i;

    for (i = 0; i < COUNT(limits); i++) {
        ck_assert_uint_eq(follower_contact_age_max_ms(limits[i].confirm_ms),
                          limits[i].age_max_ms);
    }
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("store-sync");

    tcase_add_test(tcase, test_confirmation_waits_for_a_starting_fleet);
    tcase_add_loop_test(tcase, test_calls_follow_what_happened, 0,
                        COUNT(cases));
    tcase_add_test(tcase, test_contact_age_fits_the_limit);
    return fixture_main("store-sync", tcase);
}
