/* test_record_store.c - the record store: updates, epochs, lookups and limits.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy/record_store.h"

enum { TOKENS_MAX = 64, NOW_US = 1000 };

/* An update; each token has the text "ab" and a boundary after it. */
typedef struct {
    const char *owner;
    uint32_t epoch;
    record_state_t state;
    uint32_t first;
    uint32_t count;
} update_t;

static action_list_t actions;
static uint32_t token_ids[TOKENS_MAX];
static record_boundary_t boundary_list[TOKENS_MAX];
static char text[2 * TOKENS_MAX];

static record_t
make_record(const char *key, const update_t *update)
{
    record_t record = {0};
    uint32_t i;

    record.request.organisation = "org";
    record.request.key = (char *)key;
    record.owner = (char *)update->owner;
    record.epoch = update->epoch;
    record.state = update->state;
    record.runner = "r1";
    record.stream_name = "s";
    record.stream_endpoint = 1;
    record.base = update->epoch;
    record.first = update->first;
    for (i = 0; i < update->count; i++) {
        token_ids[i] = update->epoch * 1000 + update->first + i;
        boundary_list[i].position = update->first + i + 1;
        boundary_list[i].text_bytes = 2 * boundary_list[i].position;
        text[2 * i] = 'a';
        text[2 * i + 1] = 'b';
    }
    record.token_ids.token_ids_len = update->count;
    record.token_ids.token_ids_val = token_ids;
    record.text.text_len = 2 * update->count;
    record.text.text_val = text;
    record.boundary_list.boundary_list_len = update->count;
    record.boundary_list.boundary_list_val = boundary_list;
    return record;
}

static void
send_update(record_store_t *store, int64_t now_us, const char *key,
            const update_t *update)
{
    record_t record = make_record(key, update);

    actions_reset(&actions);
    record_store_update(store, now_us, update->owner, &record, &actions);
}

static const message_t *
sent_message(size_t index, const char *host, message_kind_t kind)
{
    const send_message_action_t *send_message =
        &actions.items[index].action_t_u.send_message;

    ck_assert_uint_gt(actions.count, index);
    ck_assert_int_eq(actions.items[index].kind, ACTION_SEND_MESSAGE);
    ck_assert_str_eq(send_message->host, host);
    ck_assert_int_eq(send_message->message.kind, kind);
    return &send_message->message;
}

#define RUNNING RECORD_RUNNING

typedef struct {
    const char *name;
    update_t updates[3];
    uint32_t epoch;       /* stored at the end */
    uint32_t tokens;      /* stored at the end */
    uint32_t last;        /* id of the last one */
    message_kind_t reply; /* to the last update; 0: none */
} update_case_t;

static const update_case_t update_cases[] = {
    {"updates in order are appended",
     {{"a", 1, RUNNING, 0, 3},
      {"a", 1, RUNNING, 3, 2},
      {"a", 1, RUNNING, 5, 1}},
     1,
     6,
     1005,
     MESSAGE_RECORD_ACK},
    {"an update after a gap is rejected",
     {{"a", 1, RUNNING, 0, 3},
      {"a", 1, RUNNING, 3, 2},
      {"a", 1, RUNNING, 6, 1}},
     1,
     5,
     1004,
     MESSAGE_RECORD_GAP},
    {"a first update not from the start is rejected",
     {{"a", 1, RUNNING, 4, 2}},
     0,
     0,
     0,
     MESSAGE_RECORD_GAP},
    {"a lower epoch is fenced",
     {{"a", 1, RUNNING, 0, 3},
      {"b", 2, RUNNING, 3, 2},
      {"a", 1, RUNNING, 3, 9}},
     2,
     5,
     2004,
     MESSAGE_SUPERSEDED},
    {"a higher epoch replaces the tokens after its start",
     {{"a", 1, RUNNING, 0, 3},
      {"a", 1, RUNNING, 3, 5},
      {"b", 2, RUNNING, 3, 1}},
     2,
     4,
     2003,
     MESSAGE_RECORD_ACK},
    {"equal epochs: the lower owner name is fenced",
     {{"a", 1, RUNNING, 0, 3},
      {"c", 2, RUNNING, 3, 1},
      {"b", 2, RUNNING, 3, 4}},
     2,
     4,
     2003,
     MESSAGE_SUPERSEDED},
    {"equal epochs: the greater owner name is accepted",
     {{"a", 1, RUNNING, 0, 3},
      {"b", 2, RUNNING, 3, 1},
      {"c", 2, RUNNING, 3, 2}},
     2,
     5,
     2004,
     MESSAGE_RECORD_ACK},
    {"a final update without tokens is stored",
     {{"a", 1, RUNNING, 0, 3}, {"a", 1, RECORD_FINISHED, 3, 0}},
     1,
     3,
     1002,
     0},
};

START_TEST(test_updates_leave_expected_record)
{
    const update_case_t *row = &update_cases[_i];
    request_name_t request = {"org", "k"};
    record_store_t *store = record_store_new(0);
    const record_t *stored;
    uint32_t i;

    for (i = 0; i < 3 && row->updates[i].owner != NULL; i++) {
        send_update(store, NOW_US, "k", &row->updates[i]);
    }
    ck_assert_msg((actions.count == 0) == (row->reply == 0), "%s", row->name);
    if (row->reply != 0) {
        (void)sent_message(0, row->updates[i - 1].owner, row->reply);
    }
    stored = record_store_find(store, &request);
    ck_assert_msg((stored == NULL) == (row->tokens == 0), "%s", row->name);
    if (stored != NULL) {
        ck_assert_uint_eq(stored->epoch, row->epoch);
        ck_assert_uint_eq(stored->base, row->epoch);
        ck_assert_uint_eq(stored->stream_endpoint, 1);
        ck_assert_uint_eq(stored->token_ids.token_ids_len, row->tokens);
        ck_assert_uint_eq(stored->token_ids.token_ids_val[row->tokens - 1],
                          row->last);
        ck_assert_uint_eq(stored->text.text_len, 2 * row->tokens);
        ck_assert_uint_eq(stored->boundary_list.boundary_list_len,
                          row->tokens);
    }
    record_store_free(store);
}
END_TEST

START_TEST(test_inconsistent_update_is_not_stored)
{
    static const update_t update = {"a", 1, RUNNING, 0, 3};
    record_store_t *store = record_store_new(0);
    record_t record;
    uint32_t i;

    for (i = 0; i < 4; i++) {
        record = make_record("k", &update);
        record.text.text_len -= i == 0 ? 1 : 0;
        record.token_ids.token_ids_len -= i == 1 ? 1 : 0;
        record.boundary_list.boundary_list_len -= i == 2 ? 1 : 0;
        boundary_list[1].position -= i == 3 ? 1 : 0;
        record_store_update(store, NOW_US, "a", &record, &actions);
    }
    ck_assert_uint_eq(record_store_counters(store)->malformed, 4);
    ck_assert_uint_eq(record_store_counters(store)->records, 0);
    record_store_free(store);
}
END_TEST

typedef struct {
    const char *name;
    update_t update;
    const char *sender;
    bool found;
    uint32_t epoch;         /* in the reply */
    const char *superseded; /* the previous owner if it is told, or NULL */
} lookup_case_t;

static const lookup_case_t lookup_cases[] = {
    {"another host becomes the owner of a running record",
     {"a", 4, RUNNING, 0, 3},
     "b",
     true,
     5,
     "a"},
    {"a lookup by the owner keeps the epoch",
     {"a", 4, RUNNING, 0, 3},
     "a",
     true,
     4,
     NULL},
    {"a finished record keeps its owner",
     {"a", 4, RECORD_FINISHED, 0, 3},
     "b",
     true,
     4,
     NULL},
    {"a failed record keeps its owner",
     {"a", 4, RECORD_FAILED, 0, 3},
     "b",
     true,
     4,
     NULL},
    {"a forgotten record is not found",
     {"a", 4, RECORD_DISCARDED, 0, 0},
     "b",
     false,
     0,
     NULL},
};

START_TEST(test_lookup_returns_expected_owner)
{
    const lookup_case_t *row = &lookup_cases[_i];
    lookup_t lookup = {77, {"org", "k"}};
    record_store_t *store = record_store_new(0);
    const lookup_reply_t *found;
    size_t reply_index = row->superseded == NULL ? 0 : 1;

    send_update(store, NOW_US, "k", &row->update);
    actions_reset(&actions);
    record_store_lookup(store, NOW_US, row->sender, &lookup, &actions);
    found = &sent_message(reply_index, row->sender, MESSAGE_LOOKUP_REPLY)
                 ->message_t_u.found;
    ck_assert_uint_eq(actions.count, reply_index + 1);
    ck_assert_uint_eq(found->query_id, 77);
    ck_assert_msg((bool)found->found == row->found, "%s", row->name);
    ck_assert_uint_gt(xdr_sizeof((xdrproc_t)xdr_lookup_reply_t, (void *)found),
                      0);
    if (row->found) {
        ck_assert_msg(found->record.epoch == row->epoch, "%s", row->name);
        ck_assert_uint_eq(found->record.token_ids.token_ids_len, 3);
    }
    if (row->superseded != NULL) {
        ck_assert_uint_eq(sent_message(0, row->superseded, MESSAGE_SUPERSEDED)
                              ->message_t_u.superseded.epoch,
                          row->epoch);
        /* The previous owner was paused and continues: it is fenced. */
        send_update(
            store, NOW_US, "k",
            &(update_t){row->update.owner, row->update.epoch, RUNNING, 3, 2});
        (void)sent_message(0, row->superseded, MESSAGE_SUPERSEDED);
    }
    lookup.request.key = "other";
    actions_reset(&actions);
    record_store_lookup(store, NOW_US, row->sender, &lookup, &actions);
    ck_assert(!sent_message(0, row->sender, MESSAGE_LOOKUP_REPLY)
                   ->message_t_u.found.found);
    record_store_free(store);
}
END_TEST

START_TEST(test_full_store_evicts_finished_then_oldest)
{
    static const update_t running = {"a", 1, RUNNING, 0, 20};
    static const update_t finished = {"a", 1, RECORD_FINISHED, 0, 20};
    request_name_t request = {"org", "f0"};
    record_store_t *store = record_store_new(0);
    uint64_t record_bytes;
    char key[16];
    int i;

    send_update(store, NOW_US, "r0", &running);
    record_bytes = record_store_counters(store)->bytes;
    record_store_free(store);
    store = record_store_new(record_bytes * 5);
    send_update(store, NOW_US, "r0", &running);
    send_update(store, NOW_US, "f0", &finished);
    for (i = 1; i <= 4; i++) {
        (void)snprintf(key, sizeof(key), "f%d", i);
        send_update(store, NOW_US, key, &finished);
    }
    ck_assert_uint_eq(record_store_counters(store)->evicted_finished, 1);
    ck_assert_ptr_null(record_store_find(store, &request));
    for (i = 1; i <= 5; i++) {
        (void)snprintf(key, sizeof(key), "r%d", i);
        send_update(store, NOW_US, key, &running);
    }
    ck_assert_uint_eq(record_store_counters(store)->evicted_finished, 5);
    ck_assert_uint_eq(record_store_counters(store)->evicted_running, 1);
    ck_assert_uint_le(record_store_counters(store)->bytes, record_bytes * 5);
    record_store_free(store);
}
END_TEST

/* An update postpones the expiry of a running record. */
START_TEST(test_records_expire)
{
    static const update_t running = {"a", 1, RUNNING, 0, 3};
    static const update_t more = {"a", 1, RUNNING, 3, 1};
    static const update_t finished = {"a", 1, RECORD_FINISHED, 0, 3};
    record_store_t *store = record_store_new(0);

    send_update(store, 0, "r", &running);
    send_update(store, 0, "f", &finished);
    ck_assert_int_eq(record_store_due_us(store), RECORD_FINISHED_TTL_US);
    send_update(store, RECORD_RUNNING_TTL_US - 1, "r", &more);
    record_store_expire(store, RECORD_FINISHED_TTL_US - 1);
    ck_assert_uint_eq(record_store_counters(store)->records, 2);
    record_store_expire(store, RECORD_FINISHED_TTL_US);
    ck_assert_uint_eq(record_store_counters(store)->records, 1);
    ck_assert_int_eq(record_store_due_us(store),
                     (int64_t)RECORD_RUNNING_TTL_US * 2 - 1);
    record_store_expire(store, record_store_due_us(store));
    ck_assert_uint_eq(record_store_counters(store)->records, 0);
    ck_assert_uint_eq(record_store_counters(store)->bytes, 0);
    ck_assert_int_eq(record_store_due_us(store), INT64_MAX);
    record_store_free(store);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("record store");
    TCase *cases = tcase_create("record store");
    SRunner *runner;
    int failed;

    tcase_add_loop_test(cases, test_updates_leave_expected_record, 0,
                        sizeof(update_cases) / sizeof(update_cases[0]));
    tcase_add_test(cases, test_inconsistent_update_is_not_stored);
    tcase_add_loop_test(cases, test_lookup_returns_expected_owner, 0,
                        sizeof(lookup_cases) / sizeof(lookup_cases[0]));
    tcase_add_test(cases, test_full_store_evicts_finished_then_oldest);
    tcase_add_test(cases, test_records_expire);
    suite_add_tcase(suite, cases);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_ENV);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    actions_free(&actions);
    return failed == 0 ? 0 : 1;
}
