/* test_keep.c - records of sessions: appends, epochs, lookups, bounds. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy/keep.h"

enum { TOKENS_MAX = 64, NOW_US = 1000 };

/* Each token has the text "ab", and is a cut. */
typedef struct {
    const char *owner;
    uint32_t epoch;
    record_state_t state;
    uint32_t first;
    uint32_t count;
} part_t;

static order_list_t orders;
static uint32_t token_ids[TOKENS_MAX];
static record_cut_t cuts[TOKENS_MAX];
static char text[2 * TOKENS_MAX];

static record_t
make(const char *key, const part_t *part)
{
    record_t record = {0};
    uint32_t i;

    record.request.organisation = "org";
    record.request.key = (char *)key;
    record.owner = (char *)part->owner;
    record.epoch = part->epoch;
    record.state = part->state;
    record.runner = "r1";
    record.stream_name = "s";
    record.stream_endpoint = 1;
    record.base = part->epoch;
    record.first = part->first;
    for (i = 0; i < part->count; i++) {
        token_ids[i] = part->epoch * 1000 + part->first + i;
        cuts[i].position = part->first + i + 1;
        cuts[i].text_bytes = 2 * cuts[i].position;
        text[2 * i] = 'a';
        text[2 * i + 1] = 'b';
    }
    record.token_ids.token_ids_len = part->count;
    record.token_ids.token_ids_val = token_ids;
    record.text.text_len = 2 * part->count;
    record.text.text_val = text;
    record.cuts.cuts_len = part->count;
    record.cuts.cuts_val = cuts;
    return record;
}

static void
give(keep_t *keep, int64_t now_us, const char *key, const part_t *part)
{
    record_t record = make(key, part);

    orders_reset(&orders);
    keep_record(keep, now_us, part->owner, &record, &orders);
}

static const message_t *
told(size_t index, const char *host, message_kind_t kind)
{
    const tell_order_t *tell = &orders.items[index].order_t_u.tell;

    ck_assert_uint_gt(orders.count, index);
    ck_assert_int_eq(orders.items[index].kind, ORDER_TELL);
    ck_assert_str_eq(tell->host, host);
    ck_assert_int_eq(tell->message.kind, kind);
    return &tell->message;
}

#define RUN RECORD_RUNNING

typedef struct {
    const char *what;
    part_t parts[3];
    uint32_t epoch;        /* held at the end */
    uint32_t tokens;       /* held at the end */
    uint32_t last;         /* id of the last one */
    message_kind_t answer; /* to the last part; 0: none */
} append_t;

static const append_t appends[] = {
    {"one after another",
     {{"a", 1, RUN, 0, 3}, {"a", 1, RUN, 3, 2}, {"a", 1, RUN, 5, 1}},
     1,
     6,
     1005,
     MESSAGE_RECORD_HELD},
    {"a gap is left out and said",
     {{"a", 1, RUN, 0, 3}, {"a", 1, RUN, 3, 2}, {"a", 1, RUN, 6, 1}},
     1,
     5,
     1004,
     MESSAGE_RECORD_GAP},
    {"nothing held of it", {{"a", 1, RUN, 4, 2}}, 0, 0, 0, MESSAGE_RECORD_GAP},
    {"the lower epoch is fenced",
     {{"a", 1, RUN, 0, 3}, {"b", 2, RUN, 3, 2}, {"a", 1, RUN, 3, 9}},
     2,
     5,
     2004,
     MESSAGE_SUPERSEDED},
    {"the higher epoch cuts back what it does not go on from",
     {{"a", 1, RUN, 0, 3}, {"a", 1, RUN, 3, 5}, {"b", 2, RUN, 3, 1}},
     2,
     4,
     2003,
     MESSAGE_RECORD_HELD},
    {"one epoch: the greater name wins",
     {{"a", 1, RUN, 0, 3}, {"c", 2, RUN, 3, 1}, {"b", 2, RUN, 3, 4}},
     2,
     4,
     2003,
     MESSAGE_SUPERSEDED},
    {"one epoch: the greater name comes later",
     {{"a", 1, RUN, 0, 3}, {"b", 2, RUN, 3, 1}, {"c", 2, RUN, 3, 2}},
     2,
     5,
     2004,
     MESSAGE_RECORD_HELD},
    {"the end without more tokens",
     {{"a", 1, RUN, 0, 3}, {"a", 1, RECORD_FINISHED, 3, 0}},
     1,
     3,
     1002,
     0},
};

START_TEST(test_appends)
{
    const append_t *row = &appends[_i];
    request_name_t request = {"org", "k"};
    keep_t *keep = keep_new(0);
    const record_t *held;
    uint32_t i;

    for (i = 0; i < 3 && row->parts[i].owner != NULL; i++) {
        give(keep, NOW_US, "k", &row->parts[i]);
    }
    ck_assert_msg((orders.count == 0) == (row->answer == 0), "%s", row->what);
    if (row->answer != 0) {
        (void)told(0, row->parts[i - 1].owner, row->answer);
    }
    held = keep_find(keep, &request);
    ck_assert_msg((held == NULL) == (row->tokens == 0), "%s", row->what);
    if (held != NULL) {
        ck_assert_uint_eq(held->epoch, row->epoch);
        ck_assert_uint_eq(held->base, row->epoch);
        ck_assert_uint_eq(held->stream_endpoint, 1);
        ck_assert_uint_eq(held->token_ids.token_ids_len, row->tokens);
        ck_assert_uint_eq(held->token_ids.token_ids_val[row->tokens - 1],
                          row->last);
        ck_assert_uint_eq(held->text.text_len, 2 * row->tokens);
        ck_assert_uint_eq(held->cuts.cuts_len, row->tokens);
    }
    keep_free(keep);
}
END_TEST

/* Tokens, cuts and text that do not agree are not kept. */
START_TEST(test_malformed)
{
    static const part_t part = {"a", 1, RUN, 0, 3};
    keep_t *keep = keep_new(0);
    record_t record;
    uint32_t i;

    for (i = 0; i < 4; i++) {
        record = make("k", &part);
        record.text.text_len -= i == 0 ? 1 : 0;
        record.token_ids.token_ids_len -= i == 1 ? 1 : 0;
        record.cuts.cuts_len -= i == 2 ? 1 : 0;
        cuts[1].position -= i == 3 ? 1 : 0;
        keep_record(keep, NOW_US, "a", &record, &orders);
    }
    ck_assert_uint_eq(keep_counters(keep)->malformed, 4);
    ck_assert_uint_eq(keep_counters(keep)->records, 0);
    keep_free(keep);
}
END_TEST

typedef struct {
    const char *what;
    part_t part;
    const char *asker;
    bool found;
    uint32_t epoch;         /* in the answer */
    const char *superseded; /* who is told so, or NULL */
} ask_t;

static const ask_t asks[] = {
    {"another host takes over", {"a", 4, RUN, 0, 3}, "b", true, 5, "a"},
    {"the owner asks itself", {"a", 4, RUN, 0, 3}, "a", true, 4, NULL},
    {"a finished one stays its owner's",
     {"a", 4, RECORD_FINISHED, 0, 3},
     "b",
     true,
     4,
     NULL},
    {"a failed one, too", {"a", 4, RECORD_FAILED, 0, 3}, "b", true, 4, NULL},
    {"a forgotten one", {"a", 4, RECORD_FORGOTTEN, 0, 0}, "b", false, 0, NULL},
};

START_TEST(test_lookups)
{
    const ask_t *row = &asks[_i];
    lookup_t lookup = {77, {"org", "k"}};
    keep_t *keep = keep_new(0);
    const found_t *found;
    size_t at = row->superseded == NULL ? 0 : 1;

    give(keep, NOW_US, "k", &row->part);
    orders_reset(&orders);
    keep_lookup(keep, NOW_US, row->asker, &lookup, &orders);
    found = &told(at, row->asker, MESSAGE_FOUND)->message_t_u.found;
    ck_assert_uint_eq(orders.count, at + 1);
    ck_assert_uint_eq(found->ask, 77);
    ck_assert_msg((bool)found->found == row->found, "%s", row->what);
    ck_assert_uint_gt(xdr_sizeof((xdrproc_t)xdr_found_t, (void *)found), 0);
    if (row->found) {
        ck_assert_msg(found->record.epoch == row->epoch, "%s", row->what);
        ck_assert_uint_eq(found->record.token_ids.token_ids_len, 3);
    }
    if (row->superseded != NULL) {
        ck_assert_uint_eq(told(0, row->superseded, MESSAGE_SUPERSEDED)
                              ->message_t_u.superseded.epoch,
                          row->epoch);
        /* The paused owner wakes up and goes on: it is fenced. */
        give(keep, NOW_US, "k",
             &(part_t){row->part.owner, row->part.epoch, RUN, 3, 2});
        (void)told(0, row->superseded, MESSAGE_SUPERSEDED);
    }
    lookup.request.key = "other";
    orders_reset(&orders);
    keep_lookup(keep, NOW_US, row->asker, &lookup, &orders);
    ck_assert(!told(0, row->asker, MESSAGE_FOUND)->message_t_u.found.found);
    keep_free(keep);
}
END_TEST

/* By bytes: finished ones go first, the oldest first. */
START_TEST(test_bound_of_bytes)
{
    static const part_t running = {"a", 1, RUN, 0, 20};
    static const part_t finished = {"a", 1, RECORD_FINISHED, 0, 20};
    request_name_t request = {"org", "f0"};
    keep_t *keep = keep_new(0);
    uint64_t each;
    char key[16];
    int i;

    give(keep, NOW_US, "r0", &running);
    each = keep_counters(keep)->bytes;
    keep_free(keep);
    keep = keep_new(each * 5);
    give(keep, NOW_US, "r0", &running);
    give(keep, NOW_US, "f0", &finished);
    for (i = 1; i <= 4; i++) {
        (void)snprintf(key, sizeof(key), "f%d", i);
        give(keep, NOW_US, key, &finished);
    }
    ck_assert_uint_eq(keep_counters(keep)->evicted_finished, 1);
    ck_assert_ptr_null(keep_find(keep, &request));
    for (i = 1; i <= 5; i++) {
        (void)snprintf(key, sizeof(key), "r%d", i);
        give(keep, NOW_US, key, &running);
    }
    ck_assert_uint_eq(keep_counters(keep)->evicted_finished, 5);
    ck_assert_uint_eq(keep_counters(keep)->evicted_running, 1);
    ck_assert_uint_le(keep_counters(keep)->bytes, each * 5);
    keep_free(keep);
}
END_TEST

/* By time: news keep a running record, not a finished one. */
START_TEST(test_bound_of_time)
{
    static const part_t running = {"a", 1, RUN, 0, 3};
    static const part_t more = {"a", 1, RUN, 3, 1};
    static const part_t finished = {"a", 1, RECORD_FINISHED, 0, 3};
    keep_t *keep = keep_new(0);

    give(keep, 0, "r", &running);
    give(keep, 0, "f", &finished);
    ck_assert_int_eq(keep_due_us(keep), KEEP_FINISHED_US);
    give(keep, KEEP_RUNNING_US - 1, "r", &more);
    keep_timer(keep, KEEP_FINISHED_US - 1);
    ck_assert_uint_eq(keep_counters(keep)->records, 2);
    keep_timer(keep, KEEP_FINISHED_US);
    ck_assert_uint_eq(keep_counters(keep)->records, 1);
    ck_assert_int_eq(keep_due_us(keep), (int64_t)KEEP_RUNNING_US * 2 - 1);
    keep_timer(keep, keep_due_us(keep));
    ck_assert_uint_eq(keep_counters(keep)->records, 0);
    ck_assert_uint_eq(keep_counters(keep)->bytes, 0);
    ck_assert_int_eq(keep_due_us(keep), INT64_MAX);
    keep_free(keep);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("keep");
    TCase *cases = tcase_create("keep");
    SRunner *runner;
    int failed;

    tcase_add_loop_test(cases, test_appends, 0,
                        sizeof(appends) / sizeof(appends[0]));
    tcase_add_test(cases, test_malformed);
    tcase_add_loop_test(cases, test_lookups, 0,
                        sizeof(asks) / sizeof(asks[0]));
    tcase_add_test(cases, test_bound_of_bytes);
    tcase_add_test(cases, test_bound_of_time);
    suite_add_tcase(suite, cases);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_ENV);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    orders_free(&orders);
    return failed == 0 ? 0 : 1;
}
