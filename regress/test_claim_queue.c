/* test_claim_queue.c - runs scripts of claims and store answers. */
#include <check.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy/claim_queue.h"

enum { STEPS_MAX = 12, US_PER_MS = 1000, TEXT_BYTES = 4096 };

typedef enum {
    DO_NOTHING,
    ADD,
    ANSWER,
    RELEASE_ANSWER,
    START,
    NOT_RUN,
    REMOVE
} operation_t;

/* An operation at a time, and the actions and completions that result. */
typedef struct {
    int64_t time_ms;
    operation_t operation;
    uint64_t number; /* a request's id; ANSWER: the batch */
    const char *key; /* ADD, ANSWER, RELEASE_ANSWER */
    claim_result_t result;
    const char *holder;
    const char *actions;
    const char *completions;
} step_t;

typedef struct {
    const char *name;
    step_t steps[STEPS_MAX];
} script_t;

/* 10 hosts and 100 writes per second: one write per host every 100 ms. */
static const claim_limits_t limits = {
    .batch_keys_max = 2,
    .fleet_writes_per_s = 100,
    .validity_us = 3000 * US_PER_MS,
    .answer_timeout_us = 500 * US_PER_MS,
    .lease_us = 60000 * US_PER_MS,
};
enum { LIVE_HOSTS = 10, WAIT_MS = 2000 };

static const script_t scripts[] = {
    {"a won claim is started once",
     {{0, ADD, 1, "a", 0, "", "claim 1 h/7/1 a;", ""},
      {5, ANSWER, 1, "a", CLAIM_WON, "h/7/1", "", "start 1;"},
      {6, START, 1, "", 0, "", "yes;", ""},
      {7, START, 1, "", 0, "", "no;", ""},
      {8, REMOVE, 1, "", 0, "", "", ""},
      {9000, DO_NOTHING, 0, "", 0, "", "", ""}}},
    {"claims made within the write interval are sent as one batch",
     {{0, ADD, 1, "a", 0, "", "claim 1 h/7/1 a;", ""},
      {1, ADD, 2, "b", 0, "", "", ""},
      {2, ADD, 3, "c", 0, "", "", ""},
      {3, ADD, 4, "d", 0, "", "", ""},
      {4, ADD, 5, "a", 0, "", "no;", ""},
      {5, ANSWER, 1, "a", CLAIM_WON, "h/7/1", "", "start 1;"},
      {99, DO_NOTHING, 0, "", 0, "", "", ""},
      {100, DO_NOTHING, 0, "", 0, "", "claim 2 h/7/2 b c;", ""},
      {101, ANSWER, 2, "b", CLAIM_HELD_BY_OTHER, "g/1/1", "",
       "elsewhere 2 g/1/1;"},
      {102, ANSWER, 2, "c", CLAIM_WON, "h/7/2", "", "start 3;"},
      {200, DO_NOTHING, 0, "", 0, "", "claim 3 h/7/3 d;", ""}}},
    {"a batch whose answer is lost is resent and read back",
     {{0, ADD, 1, "a", 0, "", "claim 1 h/7/1 a;", ""},
      {5, ANSWER, 1, "a", CLAIM_UNKNOWN, "", "", ""},
      {100, DO_NOTHING, 0, "", 0, "", "", ""},
      {105, DO_NOTHING, 0, "", 0, "", "claim 1 h/7/1 a;", ""},
      {700, DO_NOTHING, 0, "", 0, "", "claim 1 h/7/1 a;", ""},
      {701, ANSWER, 1, "a", CLAIM_HELD_BY_OTHER, "h/7/1", "", "start 1;"}}},
    {"a claim that the store does not answer is abandoned and released",
     {{0, ADD, 1, "a", 0, "", "claim 1 h/7/1 a;", ""},
      {2000, DO_NOTHING, 0, "", 0, "", "release h/7/1 a;", "given-up 1;"},
      {2001, ANSWER, 1, "a", CLAIM_WON, "h/7/1", "", ""},
      {2002, ADD, 2, "a", 0, "", "", ""},
      {2500, DO_NOTHING, 0, "", 0, "", "release h/7/1 a;", ""},
      {2600, RELEASE_ANSWER, 0, "a", CLAIM_UNKNOWN, "h/7/1", "", ""},
      {2700, RELEASE_ANSWER, 0, "a", CLAIM_WON, "h/7/9", "", ""},
      {2800, RELEASE_ANSWER, 0, "a", CLAIM_WON, "h/7/1", "claim 2 h/7/2 a;",
       ""}}},
    {"a start after the deadline is refused and the claim released",
     {{0, ADD, 1, "a", 0, "", "claim 1 h/7/1 a;", ""},
      {5, ANSWER, 1, "a", CLAIM_WON, "h/7/1", "", "start 1;"},
      {3001, START, 1, "", 0, "", "no;release h/7/1 a;", ""}}},
    {"a claim answered after the deadline is abandoned and released",
     {{0, ADD, 1, "a", 0, "", "claim 1 h/7/1 a;", ""},
      {3001, ANSWER, 1, "a", CLAIM_WON, "h/7/1", "release h/7/1 a;",
       "given-up 1;"}}},
    {"a claim whose backend did not run it is started again, then released",
     {{0, ADD, 1, "a", 0, "", "claim 1 h/7/1 a;", ""},
      {5, ANSWER, 1, "a", CLAIM_WON, "h/7/1", "", "start 1;"},
      {6, START, 1, "", 0, "", "yes;", ""},
      {7, NOT_RUN, 1, "", 0, "", "", ""},
      {8, START, 1, "", 0, "", "yes;", ""},
      {9, NOT_RUN, 1, "", 0, "", "", ""},
      {200, REMOVE, 1, "", 0, "", "release h/7/1 a;", ""}}},
    {"a holder ID of an earlier incarnation of this host is a conflict",
     {{0, ADD, 1, "a", 0, "", "claim 1 h/7/1 a;", ""},
      {5, ANSWER, 1, "a", CLAIM_WON, "h/6/1", "", "elsewhere 1 h/6/1;"}}},
    {"a claim sent twice that conflicts is released",
     {{0, ADD, 1, "a", 0, "", "claim 1 h/7/1 a;", ""},
      {500, DO_NOTHING, 0, "", 0, "", "claim 1 h/7/1 a;", ""},
      {600, ANSWER, 1, "a", CLAIM_HELD_BY_OTHER, "g/1/1", "release h/7/1 a;",
       "elsewhere 1 g/1/1;"}}},
    {"a removed claim is released only if it was sent",
     {{0, ADD, 1, "a", 0, "", "claim 1 h/7/1 a;", ""},
      {1, ADD, 2, "b", 0, "", "", ""},
      {2, REMOVE, 2, "", 0, "", "", ""},
      {3, REMOVE, 1, "", 0, "", "", ""},
      {100, DO_NOTHING, 0, "", 0, "", "release h/7/1 a;", ""}}},
};

__attribute__((format(printf, 2, 3))) static void
append(char *text, const char *format, ...)
{
    size_t used = strlen(text);
    va_list args;

    va_start(args, format);
    (void)vsnprintf(text + used, TEXT_BYTES - used, format, args);
    va_end(args);
}

static void
write_orders(const action_list_t *actions, char *text)
{
    for (size_t i = 0; i < actions->count; i++) {
        const action_t *action = &actions->items[i];
        const claim_action_t *claim = &action->action_t_u.claim;
        const release_action_t *release = &action->action_t_u.release;
        bool is_claim = action->kind == ACTION_CLAIM;
        u_int count = is_claim ? claim->keys.keys_len : release->keys.keys_len;
        name_t *keys =
            is_claim ? claim->keys.keys_val : release->keys.keys_val;

        if (is_claim) {
            append(text, "claim %lu %s", claim->batch, claim->claim_holder);
        }
        else {
            append(text, "release %s", release->claim_holder);
        }
        for (u_int k = 0; k < count; k++) {
            append(text, " %s", keys[k]);
        }
        append(text, ";");
    }
}

static void
write_completions(claim_queue_t *queue, char *text)
{
    claim_completion_t completion;

    while (claim_queue_next_completion(queue, &completion)) {
        if (completion.status == CLAIM_GRANTED) {
            append(text, "start %lu;", completion.id);
        }
        else if (completion.status == CLAIM_CONFLICT) {
            append(text, "elsewhere %lu %s;", completion.id,
                   completion.holder);
        }
        else {
            append(text, "given-up %lu;", completion.id);
        }
    }
}

static void
give_answer(claim_queue_t *queue, const step_t *step, int64_t now_us)
{
    claim_outcome_t outcome = {(char *)step->key, step->result,
                               (char *)step->holder};
    claim_results_event_t answer = {
        .batch = step->number,
        .outcomes = {.outcomes_len = 1, .outcomes_val = &outcome}};

    claim_queue_handle_answer(queue, now_us, &answer);
}

static void
apply_step(claim_queue_t *queue, const step_t *step, char *text)
{
    int64_t now_us = step->time_ms * US_PER_MS;

    switch (step->operation) {
    case DO_NOTHING:
        break;
    case ADD:
        if (!claim_queue_add(queue, step->number, step->key,
                             now_us + WAIT_MS * US_PER_MS)) {
            append(text, "no;");
        }
        break;
    case ANSWER:
    case RELEASE_ANSWER:
        give_answer(queue, step, now_us);
        break;
    case START:
        append(text, claim_queue_try_start(queue, step->number, now_us)
                         ? "yes;"
                         : "no;");
        break;
    case NOT_RUN:
        claim_queue_revert_start(queue, step->number);
        break;
    case REMOVE:
        claim_queue_remove(queue, step->number, now_us);
        break;
    }
}

START_TEST(test_claims_against_store)
{
    const script_t *script = &scripts[_i];
    claim_queue_t *queue = claim_queue_new("h", 7, &limits);
    action_list_t actions = {0};

    for (int i = 0; i < STEPS_MAX && script->steps[i].actions != NULL; i++) {
        const step_t *step = &script->steps[i];
        char sent[TEXT_BYTES] = "";
        char completed[TEXT_BYTES] = "";

        actions_reset(&actions);
        apply_step(queue, step, sent);
        claim_queue_step(queue, step->time_ms * US_PER_MS, LIVE_HOSTS,
                         &actions);
        write_orders(&actions, sent);
        write_completions(queue, completed);
        ck_assert_msg(strcmp(sent, step->actions) == 0 &&
                          strcmp(completed, step->completions) == 0,
                      "%s, step %d: %s | %s", script->name, i, sent,
                      completed);
        ck_assert_int_gt(claim_queue_due_us(queue), step->time_ms * US_PER_MS);
    }
    actions_free(&actions);
    claim_queue_free(queue);
}
END_TEST

typedef struct {
    uint32_t hosts;
    uint32_t claims_per_s; /* of the whole fleet */
} fleet_case_t;

static const fleet_case_t fleet_cases[] = {
    {7, 10},     {7, 100},   {7, 1000},   {26, 1000},
    {26, 10000}, {340, 100}, {340, 1000}, {340, 10000},
};

enum { RUN_MS = 10000, STORE_LATENCY_MS = 3, WAITS_MAX = 1 << 18 };

typedef struct {
    claim_queue_t *queue;
    uint64_t batch; /* outstanding, or 0 */
    int64_t answered_ms;
    char holder_id[LINK_NAME_MAX + 1];
    u_int count;
    char keys[128][LINK_NAME_MAX + 1];
} fleet_host_t;

typedef struct {
    uint64_t writes;
    int64_t *added_ms; /* by request id */
    int64_t *waits_ms;
    size_t won;
} fleet_figures_t;

static int
compare_waits(const void *left, const void *right)
{
    const int64_t *a = left;
    const int64_t *b = right;

    return (*a > *b) - (*a < *b);
}

static void
send_to_store(fleet_host_t *host, const claim_action_t *claim, int64_t ms)
{
    host->batch = claim->batch;
    host->answered_ms = ms + STORE_LATENCY_MS;
    host->count = claim->keys.keys_len;
    (void)snprintf(host->holder_id, sizeof(host->holder_id), "%s",
                   claim->claim_holder);
    for (u_int k = 0; k < host->count; k++) {
        (void)snprintf(host->keys[k], sizeof(host->keys[k]), "%s",
                       claim->keys.keys_val[k]);
    }
}

static void
step_host(fleet_host_t *host, uint32_t live, int64_t ms,
          fleet_figures_t *figures, action_list_t *actions)
{
    claim_completion_t completion;
    step_t step = {.number = host->batch, .holder = host->holder_id};

    if (host->batch != 0 && ms >= host->answered_ms) {
        host->batch = 0;
        for (u_int k = 0; k < host->count; k++) {
            step.key = host->keys[k];
            give_answer(host->queue, &step, ms * US_PER_MS);
        }
    }
    while (claim_queue_next_completion(host->queue, &completion)) {
        ck_assert_int_eq(completion.status, CLAIM_GRANTED);
        figures->waits_ms[figures->won++] =
            ms - figures->added_ms[completion.id];
        ck_assert(
            claim_queue_try_start(host->queue, completion.id, ms * US_PER_MS));
        claim_queue_remove(host->queue, completion.id, ms * US_PER_MS);
    }
    actions_reset(actions);
    claim_queue_step(host->queue, ms * US_PER_MS, live, actions);
    if (actions->count > 0) {
        figures->writes++;
        send_to_store(host, &actions->items[0].action_t_u.claim, ms);
    }
}

static void
add_to_random_host(fleet_host_t *hosts, const fleet_case_t *fleet, uint64_t id,
                   int64_t ms)
{
    char key[LINK_NAME_MAX];
    uint64_t host = (uint64_t)rand() * fleet->hosts / ((uint64_t)RAND_MAX + 1);

    (void)snprintf(key, sizeof(key), "o/%lu", id);
    ck_assert(
        claim_queue_add(hosts[host].queue, id, key, (ms + 5000) * US_PER_MS));
}

START_TEST(test_fleet_writes_within_limit)
{
    const fleet_case_t *fleet = &fleet_cases[_i];
    claim_limits_t fleet_limits = limits;
    fleet_host_t *hosts = xcalloc(fleet->hosts, sizeof(*hosts));
    fleet_figures_t figures = {.added_ms = xcalloc(WAITS_MAX, sizeof(int64_t)),
                               .waits_ms =
                                   xcalloc(WAITS_MAX, sizeof(int64_t))};
    action_list_t actions = {0};
    uint64_t added = 0;

    srand(1);
    fleet_limits.batch_keys_max = 100;
    fleet_limits.fleet_writes_per_s = 200;
    for (uint32_t h = 0; h < fleet->hosts; h++) {
        hosts[h].queue = claim_queue_new("h", h, &fleet_limits);
    }
    for (int64_t ms = 0; ms < RUN_MS; ms++) {
        while (added < (uint64_t)ms * fleet->claims_per_s / 1000) {
            figures.added_ms[++added] = ms;
            add_to_random_host(hosts, fleet, added, ms);
        }
        for (uint32_t h = 0; h < fleet->hosts; h++) {
            step_host(&hosts[h], fleet->hosts, ms, &figures, &actions);
        }
    }
    qsort(figures.waits_ms, figures.won, sizeof(int64_t), compare_waits);
    printf("%u hosts, %u claims/s: %.1f writes/s, wait p50 %ld ms, "
           "p99 %ld ms\n",
           fleet->hosts, fleet->claims_per_s,
           (double)figures.writes * 1000 / RUN_MS,
           figures.waits_ms[figures.won / 2],
           figures.waits_ms[figures.won * 99 / 100]);
    /* Each host may send its first write at once. */
    ck_assert_uint_le(figures.writes, 200 * (RUN_MS / 1000) + fleet->hosts);
    for (uint32_t h = 0; h < fleet->hosts; h++) {
        claim_queue_free(hosts[h].queue);
    }
    actions_free(&actions);
    free(hosts);
    free(figures.added_ms);
    free(figures.waits_ms);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("claim_queue");
    TCase *tcase = tcase_create("scripts");
    SRunner *runner;
    int failed;

    tcase_add_loop_test(tcase, test_claims_against_store, 0,
                        sizeof(scripts) / sizeof(scripts[0]));
    tcase_add_loop_test(tcase, test_fleet_writes_within_limit, 0,
                        sizeof(fleet_cases) / sizeof(fleet_cases[0]));
    tcase_set_timeout(tcase, 600);
    suite_add_tcase(suite, tcase);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
