/* test_etcd.c - results of failed etcd calls, with canned responses. */
#include <stdio.h>
#include <string.h>

#include "kv/kv.h"
#include "regress/fixture.h"
#include "regress/canned.h"

enum { TIMEOUT_MS = 300, SEEN_BYTES = 4096 };

#define RESPONSE(status, json)                                                \
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
static bool finished;

static void
append_text(const char *what, kv_result_t result, int64_t number, size_t count)
{
    size_t used = strlen(seen);

    (void)snprintf(seen + used, sizeof(seen) - used, "%s %d %d %zu;", what,
                   result, (int)number, count);
}

static void
on_range(void *context, kv_result_t result, int64_t revision,
         const kv_pair_t *pairs, size_t count)
{
    append_text("range", result, revision, count);
    finished = true;
}

static void
on_swap(void *context, kv_result_t result, int64_t revision,
        const kv_swap_result_t *answers, size_t count)
{
    append_text("swap", result, revision, count);
    finished = true;
}

static void
on_lease(void *context, kv_result_t result, int64_t lease, int64_t ttl_s)
{
    append_text("lease", result, lease, (size_t)ttl_s);
    finished = true;
}

static void
on_watch(void *context, kv_result_t result, int64_t revision,
         const kv_pair_t *pairs, size_t count)
{
    append_text("watch", result, revision, count);
    finished = result != KV_OK;
}

static void
make_call(call_t call)
{
    kv_op_t op = {.verb = KV_PUT, .key = "a", .value = "b", .value_bytes = 1};
    kv_swap_t swap = {.key = "a", .ops = &op, .op_count = 1};

    finished = false;
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
    fixture_wait(&fixture, &finished);
}

typedef struct {
    const char *name;
    call_t call;
    canned_reply_t first;
    const char *seen;
    size_t second_requests; /* at the second address */
} fault_t;

/* The second address always returns a good response. */
static const fault_t faults[] = {
    {"good response",
     CALL_RANGE,
     {RESPONSE("200", RANGE_JSON), 0, CANNED_CLOSE},
     "range 0 7 1;",
     0},
    {"good response",
     CALL_SWAP,
     {RESPONSE("200", SWAP_JSON), 0, CANNED_CLOSE},
     "swap 0 8 1;",
     0},
    {"good response",
     CALL_GRANT,
     {RESPONSE("200", LEASE_JSON), 0, CANNED_CLOSE},
     "lease 0 9 5;",
     0},
    {"lost response to a read",
     CALL_RANGE,
     {"", 0, CANNED_RESET},
     "range 0 7 1;",
     1},
    {"lost response to a write",
     CALL_SWAP,
     {"", 0, CANNED_RESET},
     "swap 2 0 0;",
     0},
    {"lost response to a grant",
     CALL_GRANT,
     {"", 0, CANNED_CLOSE},
     "lease 2 0 0;",
     0},
    {"no response to a read",
     CALL_RANGE,
     {"", 0, CANNED_KEEP},
     "range 0 7 1;",
     1},
    {"no response to a write",
     CALL_SWAP,
     {"", 0, CANNED_KEEP},
     "swap 2 0 0;",
     0},
    {"truncated response to a write",
     CALL_SWAP,
     {"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n" SWAP_JSON, 0,
      CANNED_CLOSE},
     "swap 2 0 0;",
     0},
    {"incomplete JSON in response to a write",
     CALL_SWAP,
     {RESPONSE("200", "{\"header\":{\"revision\":\"8\"}"), 0, CANNED_CLOSE},
     "swap 2 0 0;",
     0},
    {"response of another call to a write",
     CALL_SWAP,
     {RESPONSE("200", RANGE_JSON), 0, CANNED_CLOSE},
     "swap 2 0 0;",
     0},
    {"503 to a read",
     CALL_RANGE,
     {RESPONSE("503", "{}"), 0, CANNED_CLOSE},
     "range 0 7 1;",
     1},
    {"503 to a write",
     CALL_SWAP,
     {RESPONSE("503", "{}"), 0, CANNED_CLOSE},
     "swap 2 0 0;",
     0},
    {"429 to a write",
     CALL_SWAP,
     {RESPONSE("429", "{}"), 0, CANNED_CLOSE},
     "swap 0 8 1;",
     1},
    {"400 to a write",
     CALL_SWAP,
     {RESPONSE("400", "{}"), 0, CANNED_CLOSE},
     "swap 3 0 0;",
     0},
    {"404 to a write",
     CALL_SWAP,
     {RESPONSE("404", "{}"), 0, CANNED_CLOSE},
     "swap 3 0 0;",
     0},
    {"408 to a write",
     CALL_SWAP,
     {RESPONSE("408", "{}"), 0, CANNED_CLOSE},
     "swap 2 0 0;",
     0},
    {"watch closed by server",
     CALL_WATCH,
     {RESPONSE("200", WATCH_CREATED WATCH_EVENT), 0, CANNED_CLOSE},
     "watch 0 4 0;watch 0 5 2;watch 2 0 0;",
     0},
    {"watch received byte by byte",
     CALL_WATCH,
     {RESPONSE("200", WATCH_CREATED WATCH_EVENT WATCH_EVENT), 1, CANNED_CLOSE},
     "watch 0 4 0;watch 0 5 2;watch 0 5 2;watch 2 0 0;",
     0},
    {"watch from compacted revision",
     CALL_WATCH,
     {RESPONSE("200", WATCH_COMPACTED WATCH_EVENT), 0, CANNED_CLOSE},
     "watch 3 6 0;",
     0},
    {"watch error",
     CALL_WATCH,
     {RESPONSE("200", "{\"error\":{}}\n" WATCH_EVENT), 0, CANNED_CLOSE},
     "watch 2 0 0;",
     0},
    {"watch closed within a line",
     CALL_WATCH,
     {RESPONSE("200", WATCH_CREATED "{\"result\":{"), 0, CANNED_CLOSE},
     "watch 0 4 0;watch 2 0 0;",
     0},
    {"watch rejected with 400",
     CALL_WATCH,
     {RESPONSE("400", "{}"), 0, CANNED_CLOSE},
     "watch 3 0 0;",
     0},
};

static void
setup(void)
{
    fixture_open(&fixture);
}

static void
teardown(void)
{
    kv->ops->free(kv);
    fixture_close(&fixture);
}

static const char *
good_response(call_t call)
{
    switch (call) {
    case CALL_RANGE:
        return RESPONSE("200", RANGE_JSON);
    case CALL_SWAP:
        return RESPONSE("200", SWAP_JSON);
    case CALL_GRANT:
        return RESPONSE("200", LEASE_JSON);
    case CALL_WATCH:
        return RESPONSE("200", WATCH_CREATED);
    }
    return "";
}

START_TEST(result_of_call_by_fault)
{
    const fault_t *fault = &faults[_i];
    canned_reply_t good = {good_response(fault->call), 0, CANNED_CLOSE};
    canned_t *first;
    canned_t *second;
    char texts[2][64];
    const char *addresses[] = {texts[0], texts[1]};

    setup();
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
    teardown();
}
END_TEST

/* Later calls do not try an address that refused a connection. */
START_TEST(refused_connection_switches_address)
{
    canned_reply_t good = {good_response((call_t)_i), 0, CANNED_CLOSE};
    canned_t *first;
    canned_t *second;
    char texts[2][64];
    const char *addresses[] = {texts[0], texts[1]};

    setup();
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
    teardown();
}
END_TEST

/* libcurl would send a write again if the kept connection was closed. */
START_TEST(write_does_not_use_kept_connection)
{
    canned_reply_t replies[] = {
        {"HTTP/1.1 400 x\r\nContent-Length: 0\r\n\r\n", 0, CANNED_KEEP},
        {"", 0, CANNED_CLOSE}};
    canned_t *server;
    char text[64];
    const char *addresses[] = {text};

    setup();
    server = canned_new(&fixture.loop, replies, 2);
    (void)snprintf(text, sizeof(text), "127.0.0.1:%d", canned_port(server));
    kv = kv_etcd_new(fixture.client, addresses, 1, TIMEOUT_MS);
    make_call(CALL_RANGE);
    make_call((call_t)_i);
    ck_assert_ptr_nonnull(strstr(seen, " 2 0 0;"));
    ck_assert_uint_eq(canned_requests(server), 2);
    canned_free(server);
    teardown();
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("etcd");

    tcase_add_loop_test(tcase, result_of_call_by_fault, 0,
                        sizeof(faults) / sizeof(faults[0]));
    tcase_add_loop_test(tcase, refused_connection_switches_address, 0,
                        CALL_WATCH + 1);
    tcase_add_loop_test(tcase, write_does_not_use_kept_connection, CALL_SWAP,
                        CALL_WATCH + 1);
    return fixture_main("etcd", tcase);
}
