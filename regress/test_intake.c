/* test_intake.c - decisions on connections that do not keep to the limits. */
#include <check.h>
#include <stdlib.h>

#include "http/intake.h"
#include "regress/fixture.h"

enum { US_PER_S = 1000000, CONNECTIONS = 3, MB = 1 << 20, KB = 1 << 10 };

typedef struct {
    const char *guards_against;
    uint32_t memory_mb;
    uint32_t descriptors_max;
    uint32_t connections_max;
    size_t held_max_bytes;
} limits_case_t;

static const limits_case_t limits_cases[] = {
    {"a budget that takes the whole memory", 120, 0, 404, 30 * MB},
    {"more connections than half of the descriptors", 512, 3075, 1387,
     128 * MB},
    {"no connection at all with few descriptors", 120, 100, 16, 30 * MB},
};

START_TEST(limits_follow_the_settings)
{
    const limits_case_t *row = &limits_cases[_i];
    intake_limits_t limits =
        intake_limits_of(row->memory_mb, row->descriptors_max);

    ck_assert_msg(limits.held_max_bytes == row->held_max_bytes, "%s: %zu",
                  row->guards_against, limits.held_max_bytes);
    ck_assert_msg(limits.connections_max == row->connections_max, "%s: %u",
                  row->guards_against, limits.connections_max);
    ck_assert(intake_admits(&limits, limits.connections_max - 1, false));
    ck_assert(!intake_admits(&limits, limits.connections_max, false));
    ck_assert(intake_admits(&limits, limits.connections_max, true));
    ck_assert(!intake_admits(&limits, 2 * limits.connections_max + 64, true));
}

typedef struct {
    const char *guards_against;
    bool service;
    bool receiving;
    bool sending;
    size_t held_bytes;
    uint64_t bytes_per_step;
    uint32_t step_ms;
    uint32_t steps;
    intake_decision_t expected; /* at one of the steps */
} update_case_t;

static const update_case_t update_cases[] = {
    {"a fast sender that is closed", false, true, false, 4 * MB, 10 * KB, 100,
     100, INTAKE_KEEP},
    {"an idle connection that is closed", false, true, false, 0, 0, 1000, 60,
     INTAKE_KEEP},
    {"a request that waits for its runner and is closed", false, false, false,
     4 * MB, 0, 1000, 60, INTAKE_KEEP},
    {"a short outage that closes a sender", false, true, false, 4 * MB, 0, 100,
     30, INTAKE_KEEP},
    {"a body that stops short and stays", false, true, false, 4 * MB, 0, 100,
     60, INTAKE_SLOW_SENDER},
    {"a sender of a byte a second", false, true, false, 10, 1, 1000, 10,
     INTAKE_SLOW_SENDER},
    {"a slow sender that is checked too often to owe a byte", false, true,
     false, 10, 0, 0, 50000, INTAKE_KEEP},
    {"a reader of a byte a second", false, false, true, 100 * KB, 1, 1000, 10,
     INTAKE_SLOW_READER},
    {"a fast reader that is closed", false, false, true, 100 * KB, 4 * KB,
     1000, 60, INTAKE_KEEP},
    {"a body at the readiness listener", true, true, false, 25 * KB, 10 * KB,
     100, 1, INTAKE_SERVICE},
    {"a legal head that the readiness listener refuses", true, true, false,
     16 * KB, 16 * KB, 100, 1, INTAKE_KEEP},
};

START_TEST(connection_is_kept_or_closed)
{
    const update_case_t *row = &update_cases[_i];
    intake_limits_t limits = intake_limits_of(120, 0);
    intake_connection_t connection;
    intake_sample_t sample = {.held_bytes = row->held_bytes,
                              .moved_bytes = row->held_bytes,
                              .receiving = row->receiving,
                              .sending = row->sending};
    intake_decision_t decision = INTAKE_KEEP;
    int64_t now_us = 1;
    uint32_t i;

    intake_open(&connection, 1, row->service, now_us);
    for (i = 0; i <= row->steps && decision == INTAKE_KEEP; i++) {
        decision = intake_update(&connection, &limits, &sample, now_us);
        now_us += (int64_t)row->step_ms * US_PER_S / 1000;
        sample.moved_bytes += row->bytes_per_step;
    }
    ck_assert_msg(decision == row->expected, "%s: %s", row->guards_against,
                  intake_decision_name(decision));
}

/* Checks closer together than the time in which one byte is due. */
START_TEST(frequent_checks_do_not_excuse_a_sender)
{
    intake_limits_t limits = intake_limits_of(120, 0);
    intake_connection_t connection;
    intake_sample_t sample = {.held_bytes = 10, .receiving = true};
    int64_t now_us = 1;

    intake_open(&connection, 1, false, now_us);
    while (now_us < 6 * US_PER_S &&
           intake_update(&connection, &limits, &sample, now_us) ==
               INTAKE_KEEP) {
        now_us += 300;
    }
    ck_assert_int_lt(now_us, 6 * US_PER_S);
}

typedef struct {
    const char *guards_against;
    intake_connection_t connections[CONNECTIONS];
    int expected; /* index; -1: none */
} victim_case_t;

#define HOLDS(peer, held, credit)                                             \
    {                                                                         \
        .peer_address = (peer), .credit_bytes = (credit), .sample = {         \
            .receiving = true,                                                \
            .held_bytes = (held)                                              \
        }                                                                     \
    }
#define WORKS(peer, held)                                                     \
    {                                                                         \
        .peer_address = (peer), .sample = {.held_bytes = (held) }             \
    }

static const victim_case_t victim_cases[] = {
    {"a small holder closed in place of a large one",
     {HOLDS(1, 10, 1), HOLDS(1, 30, 9), HOLDS(1, 20, 1)},
     1},
    {"a fast sender closed in place of a slow one",
     {HOLDS(1, 10, 9), HOLDS(1, 10, 8), HOLDS(1, 10, 3)},
     2},
    {"one peer that uses many connections to hold more",
     {HOLDS(1, 30, 1), HOLDS(2, 20, 1), HOLDS(2, 25, 1)},
     2},
    {"a closed request that runs", {WORKS(1, 90), HOLDS(1, 5, 1)}, 1},
    {"a closed request that runs, though nothing else can be closed",
     {WORKS(1, 90), WORKS(2, 90), WORKS(3, 1)},
     -1},
    {"a connection that is closed twice",
     {{.peer_address = 1,
       .closing = true,
       .sample = {.receiving = true, .held_bytes = 90}},
      HOLDS(1, 5, 1),
      HOLDS(2, 4, 1)},
     1},
};

START_TEST(worst_connection_is_closed)
{
    const victim_case_t *row = &victim_cases[_i];
    intake_connection_t connections[CONNECTIONS];
    intake_connection_t *pointers[CONNECTIONS];
    intake_connection_t *victim;
    int i;

    for (i = 0; i < CONNECTIONS; i++) {
        connections[i] = row->connections[i];
        pointers[i] = &connections[i];
    }
    victim = intake_victim(pointers, CONNECTIONS);
    ck_assert_msg(victim ==
                      (row->expected < 0 ? NULL : &connections[row->expected]),
                  "%s", row->guards_against);
}

typedef struct {
    const char *guards_against;
    size_t held_bytes;
    size_t expected_bytes;
} body_case_t;

static const body_case_t body_cases[] = {
    {"a legal body refused while load is calm", 0, 4 * MB},
    {"a body accepted though there is no room for it", 29 * MB, MB},
    {"ordinary bodies refused when others hold everything", 31 * MB, 64 * KB},
};

START_TEST(body_fits_the_room)
{
    const body_case_t *row = &body_cases[_i];
    intake_limits_t limits = intake_limits_of(120, 0);

    ck_assert_msg(intake_body_max_bytes(&limits, row->held_bytes, 4 * MB) ==
                      row->expected_bytes,
                  "%s", row->guards_against);
}

int
main(void)
{
    TCase *tcase = tcase_create("intake");

    tcase_add_loop_test(tcase, limits_follow_the_settings, 0,
                        (int)COUNT(limits_cases));
    tcase_add_loop_test(tcase, connection_is_kept_or_closed, 0,
                        (int)COUNT(update_cases));
    tcase_add_test(tcase, frequent_checks_do_not_excuse_a_sender);
    tcase_add_loop_test(tcase, worst_connection_is_closed, 0,
                        (int)COUNT(victim_cases));
    tcase_add_loop_test(tcase, body_fits_the_room, 0, (int)COUNT(body_cases));
    return fixture_main("intake", tcase);
}
