/* test_platform_store.c - tests for the client of the platform's store. */
#include <string.h>

#include "base/revision.h"
#include "base/text.h"
#include "platform/platform.h"
#include "regress/canned.h"
#include "regress/fixture.h"
#include "regress/turn.h"

#define JSON_RESPONSE(status, body)                                           \
    "HTTP/1.1 " status "\r\nContent-Type: application/json\r\n"               \
    "Connection: close\r\n\r\n" body
#define JSON_RESPONSE_IN_ERA(era, status, body)                               \
    "HTTP/1.1 " status "\r\nContent-Type: application/json\r\n"               \
    "Store-Era: " era "\r\nConnection: close\r\n\r\n" body

enum {
    TIMEOUT_MS = 300,
    WATCH_MS = 50,
    PAUSE_MS = 1,
    VALUE_BYTES = 400 << 10
};

/* A client and a server with canned responses; collects callback arguments. */
typedef struct {
    fixture_t fixture;
    canned_t *server;
    kv_t *kv;
    text_t output;
    int calls_left; /* callbacks until done is set */
    bool done;
} store_test_t;

static void
open_test(store_test_t *state, uint32_t pause_ms,
          const canned_reply_t *replies, size_t count)
{
    platform_kv_settings_t settings = {
        .timeout_ms = TIMEOUT_MS, .watch_ms = WATCH_MS, .pause_ms = pause_ms};
    arena_t arena = {0};

    memset(state, 0, sizeof(*state));
    state->calls_left = 1;
    fixture_open(&state->fixture);
    state->server = canned_new(&state->fixture.loop, replies, count);
    settings.loop = &state->fixture.loop;
    settings.client = state->fixture.client;
    settings.address =
        arena_printf(&arena, "127.0.0.1:%d", canned_port(state->server));
    state->kv = platform_kv_new(&settings);
    arena_free(&arena);
}

static void
close_test(store_test_t *state)
{
    state->kv->ops->free(state->kv);
    canned_free(state->server);
    fixture_close(&state->fixture);
    text_free(&state->output);
}

static void
record_callback(store_test_t *state)
{
    state->calls_left--;
    state->done = state->calls_left == 0;
    text_append(&state->output, "", 1);
    state->output.length--;
}

/* Appends the number of a revision, and its era before it unless it is 0. */
static void
record_revision(store_test_t *state, int64_t revision)
{
    if (revision_era(revision) > 0) {
        text_printf(&state->output, "%lld/",
                    (long long)revision_era(revision));
    }
    text_printf(
        &state->output, "%lld",
        (long long)(revision < 0 ? revision : revision_number(revision)));
}

static void
on_pairs(void *context, kv_result_t result, int64_t revision,
         const kv_pair_t *pairs, size_t count)
{
    store_test_t *state = context;
    size_t i;

    text_printf(&state->output, "%d@", result);
    record_revision(state, revision);
    for (i = 0; i < count; i++) {
        text_printf(&state->output, " %s=%s@", pairs[i].key,
                    pairs[i].value != NULL ? pairs[i].value : "");
        record_revision(state, pairs[i].mod_revision);
        text_puts(&state->output, pairs[i].create_revision == 0 ? "-" : "");
    }
    text_puts(&state->output, ";");
    record_callback(state);
}

static void
on_swap(void *context, kv_result_t result, int64_t revision,
        const kv_swap_result_t *answers, size_t count)
{
    store_test_t *state = context;

    text_printf(&state->output, "%d@", result);
    record_revision(state, revision);
    if (count > 0) {
        text_printf(&state->output, " won=%d held=", answers[0].succeeded);
        record_revision(state, answers[0].held.mod_revision);
    }
    record_callback(state);
}

static void
on_lease(void *context, kv_result_t result, int64_t lease, int64_t ttl_s)
{
    store_test_t *state = context;

    text_printf(&state->output, "%d lease=%lld ttl=%lld", result,
                (long long)lease, (long long)ttl_s);
    record_callback(state);
}

typedef enum {
    OP_RANGE,
    OP_GET,
    OP_SWAP,
    OP_LEASE_GRANT,
    OP_LEASE_KEEPALIVE,
    OP_WATCH
} operation_t;

typedef struct {
    const char *name;
    operation_t operation;
    canned_reply_t replies[3];
    size_t count;
    const char *expected;
    /* Part of the last request; NULL: not checked. */
    const char *expected_request;
} store_case_t;

/*
 * The expected text starts with the kv_result_t: 0 KV_OK, 1 KV_NOT_APPLIED,
 * 2 KV_OUTCOME_UNKNOWN, 3 KV_INVALID.
 */
static const store_case_t store_cases[] = {
    {"a range of two pages has the revision of the first",
     OP_RANGE,
     {{JSON_RESPONSE("200 OK", "{\"Items\":[{\"Key\":\"a\",\"Value\":\"eA==\","
                               "\"Revision\":3}],\"Truncated\":true,"
                               "\"StoreRevision\":9}"),
       0, CANNED_CLOSE},
      {JSON_RESPONSE("200 OK", "{\"Items\":[{\"Key\":\"b\",\"Value\":\"\","
                               "\"Revision\":11}],\"Truncated\":false,"
                               "\"StoreRevision\":12}"),
       0, CANNED_CLOSE}},
     2,
     "0@9 a=x@3 b=@11;",
     "After=a"},
    {"a value that is not base64 is read as empty",
     OP_RANGE,
     {{JSON_RESPONSE("200 OK", "{\"Items\":[{\"Key\":\"a\",\"Value\":\"?\","
                               "\"Revision\":3}],\"StoreRevision\":9}"),
       0, CANNED_CLOSE}},
     1,
     "0@9 a=@3;",
     "PathPrefix=p%25/"},
    {"a single key is read",
     OP_GET,
     {{JSON_RESPONSE("200 OK",
                     "{\"Key\":\"p%/\",\"Value\":\"eA==\",\"Revision\":3,"
                     "\"StoreRevision\":9}"),
       0, CANNED_CLOSE}},
     1,
     "0@9 p%/=x@3;",
     "kv-key?Key=p%25/"},
    {"a missing key yields no pairs",
     OP_GET,
     {{JSON_RESPONSE("404 Not Found", "{}"), 0, CANNED_CLOSE}},
     1,
     "0@0;",
     NULL},
    {"a truncated response to a range is KV_UNREACHED",
     OP_RANGE,
     {{"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"It", 0, CANNED_CLOSE}},
     1,
     "1@0;",
     NULL},
    {"an invalid response to a range is KV_UNREACHED",
     OP_RANGE,
     {{JSON_RESPONSE("200 OK", "<html>"), 0, CANNED_CLOSE}},
     1,
     "1@0;",
     NULL},
    {"status 503 is KV_UNREACHED",
     OP_RANGE,
     {{JSON_RESPONSE("503 Busy", "{}"), 0, CANNED_CLOSE}},
     1,
     "1@0;",
     NULL},
    {"a range without a response is KV_UNREACHED",
     OP_RANGE,
     {{"", 0, CANNED_KEEP}},
     1,
     "1@0;",
     NULL},
    {"a swap succeeds",
     OP_SWAP,
     {{JSON_RESPONSE("200 OK", "{\"Revision\":12}"), 0, CANNED_CLOSE}},
     1,
     "0@12 won=1 held=0",
     "{\"ExpectedRev\":[{\"Key\":\"k\",\"Revision\":5}],\"SetKeys\":["
     "{\"Key\":\"k\",\"Value\":\"dg==\",\"Lease\":77}],\"Remove\":[]}"},
    {"a failed swap returns the current pair",
     OP_SWAP,
     {{JSON_RESPONSE(
           "412 Precondition Failed",
           "{\"Items\":[{\"Key\":\"k\",\"Value\":\"\",\"Revision\":8}]}"),
       0, CANNED_CLOSE}},
     1,
     "0@0 won=0 held=8",
     NULL},
    {"a failed swap returns revision 0 for a missing key",
     OP_SWAP,
     {{JSON_RESPONSE("412 Precondition Failed",
                     "{\"Items\":[{\"Key\":\"k\"}]}"),
       0, CANNED_CLOSE}},
     1,
     "0@0 won=0 held=0",
     NULL},
    {"a swap with an expired lease is KV_INVALID",
     OP_SWAP,
     {{JSON_RESPONSE("404 Not Found", "{}"), 0, CANNED_CLOSE}},
     1,
     "3@0",
     NULL},
    {"a swap whose connection is reset is KV_LOST",
     OP_SWAP,
     {{"", 0, CANNED_RESET}},
     1,
     "2@0",
     NULL},
    {"status 429 to a swap is KV_UNREACHED",
     OP_SWAP,
     {{JSON_RESPONSE("429 Too Many", "{}"), 0, CANNED_CLOSE}},
     1,
     "1@0",
     NULL},
    {"a lease is granted",
     OP_LEASE_GRANT,
     {{JSON_RESPONSE("200 OK", "{\"Lease\":77120,\"TtlMs\":3000}"), 0,
       CANNED_CLOSE}},
     1,
     "0 lease=77120 ttl=3",
     "{\"TtlMs\":3000}"},
    {"a renewal rounds the time to live up",
     OP_LEASE_KEEPALIVE,
     {{JSON_RESPONSE("200 OK", "{\"TtlMs\":2500}"), 0, CANNED_CLOSE}},
     1,
     "0 lease=77 ttl=3",
     "POST /v1/kv-keep/77"},
    {"a renewal of an expired lease has time to live 0",
     OP_LEASE_KEEPALIVE,
     {{JSON_RESPONSE("404 Not Found", "{}"), 0, CANNED_CLOSE}},
     1,
     "0 lease=77 ttl=0",
     NULL},
    {"a watch reports changes and removals",
     OP_WATCH,
     {{JSON_RESPONSE("200 OK",
                     "{\"events\":[{\"Key\":\"a\",\"Value\":\"eA==\","
                     "\"Revision\":7,\"Created\":7},{\"Key\":\"b\","
                     "\"Revision\":8,\"Removed\":true}],"
                     "\"StoreRevision\":8}"),
       0, CANNED_CLOSE},
      {"", 0, CANNED_KEEP}},
     2,
     "0@8 a=x@7 b=@8-;",
     "After=6&WaitMs=1"},
    {"a watch without changes reports no pairs",
     OP_WATCH,
     {{JSON_RESPONSE("200 OK", "{\"events\":[],\"StoreRevision\":6}"), 0,
       CANNED_CLOSE},
      {"", 0, CANNED_KEEP}},
     2,
     "0@6;",
     NULL},
    {"a watch of a compacted revision is KV_INVALID",
     OP_WATCH,
     {{JSON_RESPONSE("410 Gone", "{}"), 0, CANNED_CLOSE}},
     1,
     "3@6;",
     NULL},
    {"a watch whose connection is reset is KV_LOST",
     OP_WATCH,
     {{"", 0, CANNED_RESET}},
     1,
     "2@6;",
     NULL},
    {"a watch without a response is KV_LOST",
     OP_WATCH,
     {{"", 0, CANNED_KEEP}},
     1,
     "2@6;",
     NULL},
    {"the revisions of a range have the era of the response",
     OP_RANGE,
     {{JSON_RESPONSE_IN_ERA("3", "200 OK",
                            "{\"Items\":[{\"Key\":\"a\",\"Value\":\"eA==\","
                            "\"Revision\":5}],\"StoreRevision\":9}"),
       0, CANNED_CLOSE}},
     1,
     "0@3/9 a=x@3/5;",
     NULL},
    {"a range whose pages are of two eras is not used",
     OP_RANGE,
     {{JSON_RESPONSE_IN_ERA("3", "200 OK",
                            "{\"Items\":[{\"Key\":\"a\",\"Value\":\"eA==\","
                            "\"Revision\":3}],\"Truncated\":true,"
                            "\"StoreRevision\":9}"),
       0, CANNED_CLOSE},
      {JSON_RESPONSE_IN_ERA("4", "200 OK",
                            "{\"Items\":[{\"Key\":\"b\",\"Value\":\"\","
                            "\"Revision\":11}],\"Truncated\":false,"
                            "\"StoreRevision\":12}"),
       0, CANNED_CLOSE}},
     2,
     "1@0;",
     NULL},
    {"a watch whose number the new era has passed ends",
     OP_WATCH,
     {{JSON_RESPONSE_IN_ERA("2", "200 OK",
                            "{\"events\":[],\"StoreRevision\":50}"),
       0, CANNED_CLOSE}},
     1,
     "3@6;",
     NULL},
    {"a watch of a store that has lost its era ends",
     OP_WATCH,
     {{JSON_RESPONSE_IN_ERA("none", "200 OK",
                            "{\"events\":[],\"StoreRevision\":50}"),
       0, CANNED_CLOSE}},
     1,
     "3@6;",
     NULL},
    {"a swap that compared a revision of another era is not known to be right",
     OP_SWAP,
     {{JSON_RESPONSE_IN_ERA("2", "200 OK", "{\"Revision\":60}"), 0,
       CANNED_CLOSE}},
     1,
     "2@0",
     "\"Revision\":5}"},
    {"a failed swap returns the key's revision in the new era",
     OP_SWAP,
     {{JSON_RESPONSE_IN_ERA("2", "412 Precondition Failed",
                            "{\"Items\":[{\"Key\":\"k\",\"Value\":\"\","
                            "\"Revision\":4}]}"),
       0, CANNED_CLOSE}},
     1,
     "0@0 won=0 held=2/4",
     NULL},
};

START_TEST(test_call)
{
    const store_case_t *test = &store_cases[_i];
    const kv_op_t op = {.verb = KV_PUT,
                        .key = "k",
                        .value = "v",
                        .value_bytes = 1,
                        .lease = 77};
    const kv_swap_t swap = {
        .key = "k", .mod_revision = 5, .ops = &op, .op_count = 1};
    store_test_t state;
    const kv_ops_t *ops;

    open_test(&state, 0, test->replies, test->count);
    ops = state.kv->ops;
    switch (test->operation) {
    case OP_RANGE:
    case OP_GET:
        ops->range(state.kv, "p%/", test->operation == OP_RANGE, on_pairs,
                   &state);
        break;
    case OP_SWAP:
        ops->swap(state.kv, &swap, 1, on_swap, &state);
        break;
    case OP_LEASE_GRANT:
        ops->lease_grant(state.kv, 3, on_lease, &state);
        break;
    case OP_LEASE_KEEPALIVE:
        ops->lease_keepalive(state.kv, 77, on_lease, &state);
        break;
    case OP_WATCH:
        ops->watch(state.kv, "p/", 7, on_pairs, &state);
        break;
    }
    fixture_wait(&state.fixture, &state.done);
    ck_assert_msg(strcmp(state.output.bytes, test->expected) == 0,
                  "%s: got %s, want %s", test->name, state.output.bytes,
                  test->expected);
    ck_assert_msg(
        test->expected_request == NULL ||
            strstr(canned_last(state.server), test->expected_request) != NULL,
        "%s: sent %s", test->name, canned_last(state.server));
    close_test(&state);
}
END_TEST

/* A response that comes in parts, a gap apart. */
typedef struct {
    const char *name;
    size_t part_bytes;
    uint32_t gap_ms;
    const char *expected; /* the start of the callback's arguments */
} slow_case_t;

static const slow_case_t slow_cases[] = {
    {"a long response over a slow link takes longer than the timeout",
     16 << 10, 20, "0@9 a="},
    {"a response that stalls ends", 64 << 10, 60000, "1@0;"},
    {"a response that trickles ends", 100, 50, "1@0;"},
};

START_TEST(test_long_response_is_not_cut_off)
{
    const slow_case_t *test = &slow_cases[_i];
    canned_reply_t reply = {.split = test->part_bytes, .end = CANNED_CLOSE};
    text_t response = {0};
    store_test_t state;
    size_t i;

    text_puts(&response, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
                         "{\"Items\":[{\"Key\":\"a\",\"Value\":\"");
    for (i = 0; i < VALUE_BYTES; i += 4) {
        text_puts(&response, "eHh4");
    }
    text_puts(&response, "\",\"Revision\":3}],\"StoreRevision\":9}");
    text_append(&response, "", 1);
    reply.bytes = response.bytes;
    open_test(&state, 0, &reply, 1);
    canned_pace(state.server, test->gap_ms);
    state.kv->ops->range(state.kv, "p/", true, on_pairs, &state);
    fixture_wait(&state.fixture, &state.done);
    ck_assert_msg(strncmp(state.output.bytes, test->expected,
                          strlen(test->expected)) == 0,
                  "%s: got %.20s", test->name, state.output.bytes);
    close_test(&state);
    text_free(&response);
}
END_TEST

/* A host would take its view of the store for older than it is. */
START_TEST(test_poll_after_a_change_takes_the_whole_time)
{
    static const canned_reply_t replies[] = {
        {JSON_RESPONSE("200 OK",
                       "{\"events\":[{\"Key\":\"a\",\"Value\":\"eA==\","
                       "\"Revision\":7,\"Created\":7}],"
                       "\"StoreRevision\":7}"),
         0, CANNED_CLOSE},
        {JSON_RESPONSE("200 OK", "{\"events\":[],\"StoreRevision\":7}"), 0,
         CANNED_CLOSE},
        {"", 0, CANNED_KEEP}};
    /* The first poll of a watch confirms the state of the store at once. */
    static const char *const expected[] = {"WaitMs=1", "WaitMs=12",
                                           "WaitMs=50"};
    store_test_t state;
    size_t i;

    open_test(&state, PAUSE_MS, replies, COUNT(replies));
    state.kv->ops->watch(state.kv, "p/", 7, on_pairs, &state);
    for (i = 0; i < COUNT(expected); i++) {
        while (canned_requests(state.server) <= i) {
            loop_turn(&state.fixture.loop);
        }
        ck_assert_msg(strstr(canned_last(state.server), expected[i]) != NULL,
                      "poll %zu: sent %s", i, canned_last(state.server));
    }
    close_test(&state);
}
END_TEST

/* The key may have that number again, for another change. */
START_TEST(test_swap_of_an_earlier_era_never_succeeds)
{
    static const canned_reply_t replies[] = {
        {JSON_RESPONSE_IN_ERA("2", "200 OK",
                              "{\"Items\":[],\"StoreRevision\":9}"),
         0, CANNED_CLOSE},
        {JSON_RESPONSE_IN_ERA("2", "412 Precondition Failed",
                              "{\"Items\":[{\"Key\":\"k\",\"Value\":\"\","
                              "\"Revision\":5}]}"),
         0, CANNED_CLOSE}};
    const kv_op_t op = {.verb = KV_DELETE, .key = "k"};
    const kv_swap_t swap = {.key = "k",
                            .mod_revision = revision_make(1, 5),
                            .ops = &op,
                            .op_count = 1};
    store_test_t state;

    open_test(&state, 0, replies, COUNT(replies));
    state.kv->ops->range(state.kv, "p", true, on_pairs, &state);
    fixture_wait(&state.fixture, &state.done);
    ck_assert_int_eq(kv_era(state.kv), 2);
    state.calls_left = 1;
    state.done = false;
    state.kv->ops->swap(state.kv, &swap, 1, on_swap, &state);
    fixture_wait(&state.fixture, &state.done);
    ck_assert_str_eq(state.output.bytes, "0@2/9;0@0 won=0 held=2/5");
    ck_assert_ptr_null(strstr(canned_last(state.server), "\"Revision\":5}"));
    close_test(&state);
}
END_TEST

/* An error page of a machine before the store, which has no era. */
START_TEST(test_unavailable_store_is_not_in_another_era)
{
    static const canned_reply_t replies[] = {
        {JSON_RESPONSE_IN_ERA("2", "200 OK",
                              "{\"Items\":[],\"StoreRevision\":9}"),
         0, CANNED_CLOSE},
        {JSON_RESPONSE("503 Service Unavailable", ""), 0, CANNED_CLOSE}};
    store_test_t state;
    size_t i;

    open_test(&state, 0, replies, COUNT(replies));
    for (i = 0; i < COUNT(replies); i++) {
        state.calls_left = 1;
        state.done = false;
        state.kv->ops->range(state.kv, "p", true, on_pairs, &state);
        fixture_wait(&state.fixture, &state.done);
    }
    ck_assert_str_eq(state.output.bytes, "0@2/9;1@0;");
    ck_assert_int_eq(kv_era(state.kv), 2);
    close_test(&state);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("platform_store");

    tcase_add_test(tcase, test_swap_of_an_earlier_era_never_succeeds);
    tcase_add_test(tcase, test_unavailable_store_is_not_in_another_era);

    tcase_add_test(tcase, test_poll_after_a_change_takes_the_whole_time);
    tcase_add_loop_test(tcase, test_long_response_is_not_cut_off, 0,
                        COUNT(slow_cases));
    tcase_add_loop_test(tcase, test_call, 0, COUNT(store_cases));
    return fixture_main("platform_store", tcase);
}
