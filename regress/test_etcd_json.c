/* test_etcd_json.c - formatting and parsing of the etcd JSON mapping. */
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "kv/base64.h"
#include "kv/etcd_json.h"
#include "regress/fixture.h"

enum { TEXT_BYTES = 1024 };

static const kv_op_t swap_ops[] = {
    {.verb = KV_PUT,
     .key = "a",
     .value = "1",
     .value_bytes = 1,
     .lease = 7587862094},
    {.verb = KV_DELETE, .key = "b"},
    {.verb = KV_GET, .key = "c"},
};
static const kv_swap_t swaps[] = {
    {.key = "a",
     .mod_revision = 9007199254740993,
     .ops = swap_ops,
     .op_count = 3},
    {.key = "b", .value = "", .value_bytes = 0},
};

static void
check_json(const char *json, const char *expected)
{
    json_t *left = json_loads(json, 0, NULL);
    json_t *right = json_loads(expected, 0, NULL);

    ck_assert_ptr_nonnull(right);
    ck_assert_msg(json_equal(left, right), "%s", json);
    json_decref(left);
    json_decref(right);
}

START_TEST(requests_have_expected_json)
{
    arena_t arena = {0};

    check_json(etcd_format_range(&arena, "/a/", true),
               "{\"key\":\"L2Ev\",\"range_end\":\"L2Ew\"}");
    check_json(etcd_format_range(&arena, "/a/", false), "{\"key\":\"L2Ev\"}");
    check_json(etcd_format_range(&arena, "", true),
               "{\"key\":\"AA==\",\"range_end\":\"AA==\"}");
    check_json(etcd_format_range(&arena, "a\xff", true),
               "{\"key\":\"Yf8=\",\"range_end\":\"Yg==\"}");
    check_json(etcd_format_range(&arena, "\xff", true),
               "{\"key\":\"/w==\",\"range_end\":\"AA==\"}");
    check_json(etcd_format_lease_grant(&arena, 5), "{\"TTL\":\"5\"}");
    check_json(etcd_format_lease(&arena, INT64_MAX),
               "{\"ID\":\"9223372036854775807\"}");
    check_json(etcd_format_watch(&arena, "a", 3),
               "{\"create_request\":{\"key\":\"YQ==\",\"range_end\":\"Yg==\","
               "\"start_revision\":\"3\"}}");
    check_json(
        etcd_format_swap(&arena, swaps, 2),
        "{\"success\":["
        "{\"requestTxn\":{\"compare\":[{\"target\":\"MOD\",\"result\":"
        "\"EQUAL\",\"key\":\"YQ==\",\"mod_revision\":\"9007199254740993\"}],"
        "\"success\":[{\"requestPut\":{\"key\":\"YQ==\",\"value\":\"MQ==\","
        "\"lease\":\"7587862094\"}},"
        "{\"requestDeleteRange\":{\"key\":\"Yg==\"}},"
        "{\"requestRange\":{\"key\":\"Yw==\"}}],"
        "\"failure\":[{\"requestRange\":{\"key\":\"YQ==\"}}]}},"
        "{\"requestTxn\":{\"compare\":[{\"target\":\"VALUE\",\"result\":"
        "\"EQUAL\",\"key\":\"Yg==\",\"value\":\"\"}],\"success\":[],"
        "\"failure\":[{\"requestRange\":{\"key\":\"Yg==\"}}]}}]}");
    arena_free(&arena);
}
END_TEST

typedef enum { READ_RANGE, READ_SWAP, READ_LEASE, READ_WATCH } read_t;

typedef struct {
    read_t read;
    const char *json;
    const char *expected; /* NULL: an error */
} read_case_t;

static const read_case_t read_cases[] = {
    {READ_RANGE, "{\"header\":{\"revision\":\"7\"}}", "7"},
    {READ_RANGE, "{\"header\":{\"revision\":7},\"kvs\":[],\"count\":0}", "7"},
    {READ_RANGE,
     "{\"header\":{\"revision\":\"9007199254740993\"},\"kvs\":[{\"key\":"
     "\"YQ==\",\"mod_revision\":5,\"create_revision\":\"4\",\"version\":"
     "\"2\",\"lease\":\"3\"},{\"key\":\"Yg==\",\"value\":\"AGI=\"}]}",
     "9007199254740993 a=0@5/4v2l3 b=2@0/0v0l0"},
    {READ_RANGE, "{\"kvs\":[]}", NULL},
    {READ_RANGE, "{\"header\":{\"revision\":\"x\"}}", NULL},
    {READ_RANGE, "{\"header\":{\"revision\":\"\"}}", NULL},
    {READ_RANGE, "{\"header\":{\"revision\":1.5}}", NULL},
    {READ_RANGE, "{\"header\":{\"revision\":\"9223372036854775808\"}}", NULL},
    {READ_RANGE, "{\"header\":{},\"kvs\":{}}", NULL},
    {READ_RANGE, "{\"header\":{},\"kvs\":[1]}", NULL},
    {READ_RANGE, "{\"header\":{},\"kvs\":[{\"key\":\"Y\"}]}", NULL},
    {READ_RANGE, "{\"header\":{},\"kvs\":[{\"key\":\"Y=Q=\"}]}", NULL},
    {READ_RANGE, "{\"header\":{},\"kvs\":[{\"key\":\"Y===\"}]}", NULL},
    {READ_RANGE, "{\"header\":{},\"kvs\":[{\"key\":7}]}", NULL},
    {READ_RANGE, "", NULL},
    {READ_SWAP,
     "{\"header\":{\"revision\":\"8\"},\"succeeded\":true,\"responses\":["
     "{\"response_txn\":{\"succeeded\":true}},"
     "{\"responseTxn\":{\"responses\":[{\"responseRange\":{\"kvs\":["
     "{\"key\":\"YQ==\",\"value\":\"MQ==\",\"mod_revision\":\"3\"}]}}]}},"
     "{\"response_txn\":{\"succeeded\":false,\"responses\":["
     "{\"response_range\":{}}]}}]}",
     "8 won a=1@3/0v0l0 =0@0/0v0l0"},
    {READ_SWAP, "{\"header\":{},\"responses\":[]}", NULL},
    {READ_SWAP, "{\"header\":{},\"responses\":[{},{},{}]}", NULL},
    {READ_SWAP,
     "{\"header\":{},\"responses\":[{\"response_txn\":{}},{\"response_txn\":"
     "{}},{\"response_txn\":{}}]}",
     NULL},
    {READ_LEASE, "{\"header\":{},\"ID\":\"9\",\"TTL\":\"5\"}", "9 5"},
    {READ_LEASE, "{\"result\":{\"header\":{},\"ID\":9,\"TTL\":5}}", "9 5"},
    {READ_LEASE, "{\"result\":{\"header\":{},\"ID\":\"9\"}}", "9 0"},
    {READ_LEASE, "{\"header\":{}}", "0 0"},
    {READ_LEASE, "{}", NULL},
    {READ_WATCH,
     "{\"result\":{\"header\":{\"revision\":\"4\"},\"created\":true}}",
     "4 created"},
    {READ_WATCH,
     "{\"result\":{\"header\":{\"revision\":\"5\"},\"events\":["
     "{\"type\":\"PUT\",\"kv\":{\"key\":\"YQ==\",\"value\":\"MQ==\","
     "\"mod_revision\":\"5\",\"create_revision\":\"5\",\"version\":\"1\"}},"
     "{\"type\":\"DELETE\",\"kv\":{\"key\":\"Yg==\",\"mod_revision\":"
     "\"5\"}}]}}",
     "5 a=1@5/5v1l0 b=0@5/0v0l0"},
    {READ_WATCH,
     "{\"result\":{\"header\":{\"revision\":\"9\"},\"canceled\":true,"
     "\"compact_revision\":\"6\"}}",
     "6 canceled"},
    {READ_WATCH, "{\"error\":{\"message\":\"x\"}}", NULL},
    {READ_WATCH, "{\"result\":{\"header\":{},\"events\":[{}]}}", NULL},
    {READ_WATCH, "{}", NULL},
};

static void
append_pair(char *text, const kv_pair_t *pair)
{
    size_t used = strlen(text);

    (void)snprintf(text + used, TEXT_BYTES - used, " %s=%zu@%d/%dv%dl%d",
                   pair->key, pair->value_bytes, (int)pair->mod_revision,
                   (int)pair->create_revision, (int)pair->version,
                   (int)pair->lease);
}

static int
read_range(arena_t *arena, const char *json, char *text, err_t *err)
{
    etcd_range_t range;
    size_t i;

    if (etcd_parse_range(arena, json, strlen(json), &range, err) < 0) {
        return -1;
    }
    (void)snprintf(text, TEXT_BYTES, "%lld", (long long)range.revision);
    for (i = 0; i < range.count; i++) {
        append_pair(text, &range.pairs[i]);
    }
    return 0;
}

static int
read_swap(arena_t *arena, const char *json, char *text, err_t *err)
{
    etcd_swap_t swap;
    size_t i;

    if (etcd_parse_swap(arena, json, strlen(json), 3, &swap, err) < 0) {
        return -1;
    }
    (void)snprintf(text, TEXT_BYTES, "%d", (int)swap.revision);
    for (i = 0; i < swap.count; i++) {
        if (swap.answers[i].succeeded) {
            (void)strncat(text, " won", TEXT_BYTES - strlen(text) - 1);
        }
        else {
            append_pair(text, &swap.answers[i].held);
        }
    }
    return 0;
}

static int
read_lease(const char *json, char *text, err_t *err)
{
    etcd_lease_t lease;

    if (etcd_parse_lease(json, strlen(json), &lease, err) < 0) {
        return -1;
    }
    (void)snprintf(text, TEXT_BYTES, "%d %d", (int)lease.lease,
                   (int)lease.ttl_s);
    return 0;
}

static int
read_watch(arena_t *arena, const char *json, char *text, err_t *err)
{
    etcd_watch_t watch;
    size_t i;

    if (etcd_parse_watch(arena, json, strlen(json), &watch, err) < 0) {
        return -1;
    }
    (void)snprintf(text, TEXT_BYTES, "%d%s%s", (int)watch.revision,
                   watch.created ? " created" : "",
                   watch.canceled ? " canceled" : "");
    for (i = 0; i < watch.count; i++) {
        append_pair(text, &watch.pairs[i]);
    }
    return 0;
}

START_TEST(responses_are_parsed_or_rejected)
{
    const read_case_t *c = &read_cases[_i];
    char text[TEXT_BYTES] = "";
    arena_t arena = {0};
    err_t err = {0};
    int result = 0;

    switch (c->read) {
    case READ_RANGE:
        result = read_range(&arena, c->json, text, &err);
        break;
    case READ_SWAP:
        result = read_swap(&arena, c->json, text, &err);
        break;
    case READ_LEASE:
        result = read_lease(c->json, text, &err);
        break;
    case READ_WATCH:
        result = read_watch(&arena, c->json, text, &err);
        break;
    }
    ck_assert_int_eq(result, c->expected != NULL ? 0 : -1);
    if (c->expected != NULL) {
        ck_assert_str_eq(text, c->expected);
    }
    else {
        ck_assert_int_eq(err.kind, ERR_PROTOCOL);
        ck_assert_ptr_nonnull(strstr(err.message, ": "));
    }
    arena_free(&arena);
}
END_TEST

/* Covers each length below 256 and each byte value. */
START_TEST(base64_round_trip_preserves_bytes)
{
    char bytes[256];
    size_t length;

    for (length = 0; length < sizeof(bytes); length++) {
        arena_t arena = {0};
        size_t decoded_bytes = 0;
        char *decoded;

        bytes[length] = (char)length;
        decoded = base64_decode(&arena, base64_encode(&arena, bytes, length),
                                &decoded_bytes);
        ck_assert_ptr_nonnull(decoded);
        ck_assert_uint_eq(decoded_bytes, length);
        ck_assert_mem_eq(decoded, bytes, length);
        ck_assert_int_eq(decoded[length], '\0');
        arena_free(&arena);
    }
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("etcd_json");

    tcase_add_test(tcase, requests_have_expected_json);
    tcase_add_loop_test(tcase, responses_are_parsed_or_rejected, 0,
                        sizeof(read_cases) / sizeof(read_cases[0]));
    tcase_add_test(tcase, base64_round_trip_preserves_bytes);
    return fixture_main("etcd_json", tcase);
}
