/* test_etcd.c - what becomes of calls that fail, against canned bytes. */
#include <stdio.h>
#include <string.h>

#include "kv/kv.h"
#include "regress/fixture.h"
#include "regress/canned.h"

enum { TIMEOUT_MS = 300, SEEN_BYTES = 4096 };

#define ANSWER(status, json)                                                  \
    "HTTP/1.1 " status " x\r\nConnection: close\r\n\r\n" json
#define RANGE_JSON                                                            \
    "{\"header\":{\"revision\":\"7\"},\"kvs\":[{\"key\":\"YQ==\","            \
    "\"value\":\"Yg==\",\"mod_revision\":\"3\",\"create_revision\":\"2\","    \
    "\"version\":\"2\"}],\"count\":\"1\"}"
#define SWAP_JSON                                                             \
    "{\"header\":{\"revision\":\"8\"},\"responses\":[{\"response_txn\":"      \
    "{\"succeeded\":true,\"responses\":[{\"response_put\":{}}]}}]}"
#define LEASE_JSON "{\"header\":{},\"ID\":\"9\",\"TTL\":\"5\"}"
#define WATCH_CREATED                                                         \
    "{\"result\":{\"header\":{\"revision\":\"4\"},\"created\":true}}\n"
#define WATCH_EVENT                                                           \
    "{\"result\":{\"header\":{\"revision\":\"5\"},\"events\":[{\"kv\":"       \
    "{\"key\":\"YQ==\",\"value\":\"Yg==\",\"mod_revision\":\"5\","            \
    "\"create_revision\":\"5\",\"version\":\"1\"}},{\"type\":\"DELETE\","     \
    "\"kv\":{\"key\":\"Yg==\",\"mod_revision\":\"5\"}}]}}\n"
#define WATCH_COMPACTED                                                       \
    "{\"result\":{\"header\":{\"revision\":\"9\"},\"created\":true,"          \
    "\"canceled\":true,\"compact_revision\":\"6\"}}\n"

typedef enum { CALL_RANGE, CALL_SWAP, CALL_GRANT, CALL_WATCH } call_t;

static fixture_t fixture;
static kv_t *kv;
static char seen[SEEN_BYTES];
static bool over;

static void
note(const char *what, kv_result_t result, int64_t number, size_t count)
{
    size_t used = strlen(seen);

    (void)snprintf(seen + used, sizeof(seen) - used, "%s %d %d %zu;", what,
                   result, (int)number, count);
}

static void
on_range(void *context, kv_result_t result, int64_t revision,
         const kv_pair_t *pairs, size_t count)
{
    note("range", result, revision, count);
    over = true;
}

static void
on_swap(void *context, kv_result_t result, int64_t revision,
        const kv_swap_answer_t *answers, size_t count)
{
    note("swap", result, revision, count);
    over = true;
}

static void
on_lease(void *context, kv_result_t result, int64_t lease, int64_t ttl_s)
{
    note("lease", result, lease, (size_t)ttl_s);
    over = true;
}

static void
on_watch(void *context, kv_result_t result, int64_t revision,
         const kv_pair_t *pairs, size_t count)
{
    note("watch", result, revision, count);
    over = result != KV_OK;
}

static void
make_call(call_t call)
{
    kv_op_t op = {.verb = KV_PUT, .key = "a", .value = "b", .value_bytes = 1};
    kv_swap_t swap = {.key = "a", .ops = &op, .op_count = 1};

    over = false;
    switch (call) {
    case CALL_RANGE:
        kv->ops->range(kv, "a", false, on_range, NULL);
        break;
    case CALL_SWAP:
        kv->ops->swap(kv, &swap, 1, on_swap, NULL);
        break;
    case CALL_GRANT:
        kv->ops->lease_grant(kv, 5, on_lease, NULL);
        break;
    case CALL_WATCH:
        kv->ops->watch(kv, "a", 0, on_watch, NULL);
        break;
    }
    fixture_wait(&fixture, &over);
}

typedef struct {
    const char *name;
    call_t call;
    canned_reply_t first;
    const char *seen;
    size_t second_requests; /* at the second address */
} fault_t;

/* The second address always answers well. */
static const fault_t faults[] = {
    {"well",
     CALL_RANGE,
     {ANSWER("200", RANGE_JSON), 0, CANNED_CLOSE},
     "range 0 7 1;",
     0},
    {"well",
     CALL_SWAP,
     {ANSWER("200", SWAP_JSON), 0, CANNED_CLOSE},
     "swap 0 8 1;",
     0},
    {"well",
     CALL_GRANT,
     {ANSWER("200", LEASE_JSON), 0, CANNED_CLOSE},
     "lease 0 9 5;",
     0},
    {"lost answer to a read",
     CALL_RANGE,
     {"", 0, CANNED_RESET},
     "range 0 7 1;",
     1},
    {"lost answer to a write",
     CALL_SWAP,
     {"", 0, CANNED_RESET},
     "swap 2 0 0;",
     0},
    {"lost answer to a grant",
     CALL_GRANT,
     {"", 0, CANNED_CLOSE},
     "lease 2 0 0;",
     0},
    {"silence to a read", CALL_RANGE, {"", 0, CANNED_KEEP}, "range 0 7 1;", 1},
    {"silence to a write", CALL_SWAP, {"", 0, CANNED_KEEP}, "swap 2 0 0;", 0},
    {"cut answer to a write",
     CALL_SWAP,
     {"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n" SWAP_JSON, 0,
      CANNED_CLOSE},
     "swap 2 0 0;",
     0},
    {"half an answer to a write",
     CALL_SWAP,
     {ANSWER("200", "{\"header\":{\"revision\":\"8\"}"), 0, CANNED_CLOSE},
     "swap 2 0 0;",
     0},
    {"another answer to a write",
     CALL_SWAP,
     {ANSWER("200", RANGE_JSON), 0, CANNED_CLOSE},
     "swap 2 0 0;",
     0},
    {"503 to a read",
     CALL_RANGE,
     {ANSWER("503", "{}"), 0, CANNED_CLOSE},
     "range 0 7 1;",
     1},
    {"503 to a write",
     CALL_SWAP,
     {ANSWER("503", "{}"), 0, CANNED_CLOSE},
     "swap 2 0 0;",
     0},
    {"429 to a write",
     CALL_SWAP,
     {ANSWER("429", "{}"), 0, CANNED_CLOSE},
     "swap 0 8 1;",
     1},
    {"400 to a write",
     CALL_SWAP,
     {ANSWER("400", "{}"), 0, CANNED_CLOSE},
     "swap 3 0 0;",
     0},
    {"404 to a write",
     CALL_SWAP,
     {ANSWER("404", "{}"), 0, CANNED_CLOSE},
     "swap 3 0 0;",
     0},
    {"408 to a write",
     CALL_SWAP,
     {ANSWER("408", "{}"), 0, CANNED_CLOSE},
     "swap 2 0 0;",
     0},
    {"watch cut",
     CALL_WATCH,
     {ANSWER("200", WATCH_CREATED WATCH_EVENT), 0, CANNED_CLOSE},
     "watch 0 4 0;watch 0 5 2;watch 2 0 0;",
     0},
    {"watch in single bytes",
     CALL_WATCH,
     {ANSWER("200", WATCH_CREATED WATCH_EVENT WATCH_EVENT), 1, CANNED_CLOSE},
     "watch 0 4 0;watch 0 5 2;watch 0 5 2;watch 2 0 0;",
     0},
    {"watch of what is compacted",
     CALL_WATCH,
     {ANSWER("200", WATCH_COMPACTED WATCH_EVENT), 0, CANNED_CLOSE},
     "watch 3 6 0;",
     0},
    {"watch's error",
     CALL_WATCH,
     {ANSWER("200", "{\"error\":{}}\n" WATCH_EVENT), 0, CANNED_CLOSE},
     "watch 2 0 0;",
     0},
    {"watch cut amid a line",
     CALL_WATCH,
     {ANSWER("200", WATCH_CREATED "{\"result\":{"), 0, CANNED_CLOSE},
     "watch 0 4 0;watch 2 0 0;",
     0},
    {"watch refused",
     CALL_WATCH,
     {ANSWER("400", "{}"), 0, CANNED_CLOSE},
     "watch 3 0 0;",
     0},
};

static void
open_world(void)
{
    fixture_open(&fixture);
}

static void
close_world(void)
{
    kv->ops->free(kv);
    fixture_close(&fixture);
}

static const char *
good_answer(call_t call)
{
    switch (call) {
    case CALL_RANGE:
        return ANSWER("200", RANGE_JSON);
    case CALL_SWAP:
        return ANSWER("200", SWAP_JSON);
    case CALL_GRANT:
        return ANSWER("200", LEASE_JSON);
    case CALL_WATCH:
        return ANSWER("200", WATCH_CREATED);
    }
    return "";
}

START_TEST(failed_calls)
{
    const fault_t *fault = &faults[_i];
    canned_reply_t good = {good_answer(fault->call), 0, CANNED_CLOSE};
    canned_t *first;
    canned_t *second;
    char texts[2][64];
    const char *addresses[] = {texts[0], texts[1]};

    open_world();
    first = canned_new(&fixture.loop, &fault->first, 1);
    second = canned_new(&fixture.loop, &good, 1);
    (void)snprintf(texts[0], sizeof(texts[0]), "127.0.0.1:%d",
                   canned_port(first));
    (void)snprintf(texts[1], sizeof(texts[1]), "127.0.0.1:%d",
                   canned_port(second));
    kv = kv_etcd_new(fixture.client, addresses, 2, TIMEOUT_MS);
    make_call(fault->call);
    ck_assert_msg(strcmp(seen, fault->seen) == 0, "%s: %s", fault->name, seen);
    ck_assert_uint_eq(canned_requests(first), 1);
    ck_assert_uint_eq(canned_requests(second), fault->second_requests);
    canned_free(first);
    canned_free(second);
    close_world();
}
END_TEST

/* An address that refuses connections is left, and not asked again. */
START_TEST(refused_address)
{
    canned_reply_t good = {good_answer((call_t)_i), 0, CANNED_CLOSE};
    canned_t *first;
    canned_t *second;
    char texts[2][64];
    const char *addresses[] = {texts[0], texts[1]};

    open_world();
    first = canned_new(&fixture.loop, &good, 1);
    second = canned_new(&fixture.loop, &good, 1);
    (void)snprintf(texts[0], sizeof(texts[0]), "127.0.0.1:%d",
                   canned_port(first));
    (void)snprintf(texts[1], sizeof(texts[1]), "127.0.0.1:%d",
                   canned_port(second));
    canned_free(first);
    (void)uv_run(&fixture.loop, UV_RUN_NOWAIT);
    kv = kv_etcd_new(fixture.client, addresses, 2, TIMEOUT_MS);
    make_call((call_t)_i);
    make_call((call_t)_i);
    ck_assert_uint_eq(canned_requests(second), 2);
    canned_free(second);
    (void)uv_run(&fixture.loop, UV_RUN_NOWAIT);
    seen[0] = '\0';
    make_call((call_t)_i);
    ck_assert_ptr_nonnull(strstr(seen, " 1 0 0;"));
    close_world();
}
END_TEST

/* A write on a kept connection that is closed by now is not sent again. */
START_TEST(kept_connection_is_not_used)
{
    canned_reply_t replies[] = {
        {"HTTP/1.1 400 x\r\nContent-Length: 0\r\n\r\n", 0, CANNED_KEEP},
        {"", 0, CANNED_CLOSE}};
    canned_t *server;
    char text[64];
    const char *addresses[] = {text};

    open_world();
    server = canned_new(&fixture.loop, replies, 2);
    (void)snprintf(text, sizeof(text), "127.0.0.1:%d", canned_port(server));
    kv = kv_etcd_new(fixture.client, addresses, 1, TIMEOUT_MS);
    make_call(CALL_RANGE);
    make_call((call_t)_i);
    ck_assert_ptr_nonnull(strstr(seen, " 2 0 0;"));
    ck_assert_uint_eq(canned_requests(server), 2);
    canned_free(server);
    close_world();
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("etcd");

    tcase_add_loop_test(tcase, failed_calls, 0,
                        sizeof(faults) / sizeof(faults[0]));
    tcase_add_loop_test(tcase, refused_address, 0, CALL_WATCH + 1);
    tcase_add_loop_test(tcase, kept_connection_is_not_used, CALL_SWAP,
                        CALL_WATCH + 1);
    return fixture_main("etcd", tcase);
}
