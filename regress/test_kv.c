/* test_kv.c - the same calls on each implementation of a key-value service. */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "kv/kv.h"
#include "regress/fixture.h"
#include "regress/child.h"
#include "regress/turn.h"
#include "regress/turn.h"

enum {
    SEEN_BYTES = 8192,
    CALL_TIMEOUT_MS = 5000,
    CHANGES_OVER_LIMIT = 6000,
};

typedef enum { KIND_MEMORY, KIND_ETCD, KIND_COUNT } kind_t;

static fixture_t fixture;
static kv_t *kv;
static child_t store;
static char seen[SEEN_BYTES]; /* calls of the callbacks, in order */
static char watched[SEEN_BYTES];
static bool responded;
static int64_t last_lease;
static int64_t last_revision;

static void
setup(kind_t kind)
{
    char *store_argv[] = {STANDIN_STORE, NULL};
    char address[64];
    const char *addresses[] = {address};

    fixture_open(&fixture);
    if (kind == KIND_MEMORY) {
        kv = kv_memory_new(&fixture.loop);
    }
    else {
        store = child_start(store_argv);
        (void)snprintf(address, sizeof(address), "127.0.0.1:%d", store.port);
        kv = kv_etcd_new(fixture.client, addresses, 1, CALL_TIMEOUT_MS);
    }
}

static void
teardown(void)
{
    kv->ops->free(kv);
    fixture_close(&fixture);
    child_kill(&store);
}

static void __attribute__((format(printf, 2, 3)))
append_text(char *text, const char *format, ...)
{
    size_t used = strlen(text);
    va_list args;

    va_start(args, format);
    (void)vsnprintf(text + used, SEEN_BYTES - used, format, args);
    va_end(args);
}

/* Appends "key=value@mod" ("/create" if that differs) or "key gone@mod". */
static void
append_pair(char *text, const kv_pair_t *pair)
{
    if (pair->create_revision == 0) {
        append_text(text, " %s gone@%d", pair->key, (int)pair->mod_revision);
        return;
    }
    append_text(text, " %s=%.*s@%d", pair->key, (int)pair->value_bytes,
                pair->value, (int)pair->mod_revision);
    if (pair->create_revision != pair->mod_revision) {
        append_text(text, "/%d", (int)pair->create_revision);
    }
    if (pair->version > 1) {
        append_text(text, "v%d", (int)pair->version);
    }
    if (pair->lease != 0) {
        append_text(text, " leased");
    }
}

static void
wait_for_response(void)
{
    responded = false;
    fixture_wait(&fixture, &responded);
}

static void
on_range(void *context, kv_result_t result, int64_t revision,
         const kv_pair_t *pairs, size_t count)
{
    size_t i;

    append_text(seen, "range %d@%d", result, (int)revision);
    for (i = 0; i < count; i++) {
        append_pair(seen, &pairs[i]);
    }
    append_text(seen, ";");
    responded = true;
    last_revision = revision;
}

static void
on_swap(void *context, kv_result_t result, int64_t revision,
        const kv_swap_result_t *answers, size_t count)
{
    size_t i;

    append_text(seen, "swap %d", result);
    for (i = 0; i < count; i++) {
        append_text(seen, answers[i].succeeded ? " won" : " held");
        if (!answers[i].succeeded) {
            append_pair(seen, &answers[i].held);
        }
    }
    append_text(seen, ";");
    responded = true;
    last_revision = revision;
}

static void
on_lease(void *context, kv_result_t result, int64_t lease, int64_t ttl_s)
{
    append_text(seen, "lease %d ttl %d;", result, (int)ttl_s);
    last_lease = lease;
    responded = true;
}

static void
on_watch(void *context, kv_result_t result, int64_t revision,
         const kv_pair_t *pairs, size_t count)
{
    size_t i;

    if (result != KV_OK || count == 0) {
        append_text(watched, "watch %d;", result);
    }
    for (i = 0; i < count; i++) {
        append_pair(watched, &pairs[i]);
    }
}

static void
range(const char *key, bool prefix)
{
    kv->ops->range(kv, key, prefix, on_range, NULL);
    wait_for_response();
}

static kv_op_t
put(const char *key, const char *value, int64_t lease)
{
    return (kv_op_t){.verb = KV_PUT,
                     .key = key,
                     .value = value,
                     .value_bytes = strlen(value),
                     .lease = lease};
}

/* Makes a call with one swap: op runs if key has this mod_revision. */
static void
swap(const char *key, int64_t mod_revision, kv_op_t op)
{
    kv_swap_t one = {
        .key = key, .mod_revision = mod_revision, .ops = &op, .op_count = 1};

    kv->ops->swap(kv, &one, 1, on_swap, NULL);
    wait_for_response();
}

static void
swap_value(const char *key, const char *value, kv_op_t op)
{
    kv_swap_t one = {.key = key,
                     .value = value,
                     .value_bytes = strlen(value),
                     .ops = &op,
                     .op_count = 1};

    kv->ops->swap(kv, &one, 1, on_swap, NULL);
    wait_for_response();
}

static void
watch(const char *prefix, int64_t start_revision)
{
    size_t used = strlen(watched);

    kv->ops->watch(kv, prefix, start_revision, on_watch, NULL);
    while (strlen(watched) == used) {
        loop_turn(&fixture.loop);
    }
}

static void
wait_for_watch_text(const char *text)
{
    while (strcmp(watched, text) != 0) {
        loop_turn(&fixture.loop);
    }
}

static void
lease_call(void (*call)(kv_t *, int64_t, kv_lease_callback_t, void *),
           int64_t argument)
{
    call(kv, argument, on_lease, NULL);
    wait_for_response();
}

START_TEST(swap_succeeds_if_compare_holds)
{
    const kv_op_t gone = {.verb = KV_DELETE, .key = "a"};

    setup((kind_t)_i);
    range("a", false);
    swap("a", 0, put("a", "1", 0));
    swap("a", 0, put("a", "2", 0));
    range("a", false);
    swap("a", 2, put("a", "", 0));
    swap("a", 2, put("a", "4", 0));
    swap_value("a", "", put("a", "5", 0));
    swap_value("a", "4", put("a", "6", 0));
    swap_value("b", "", put("b", "7", 0));
    swap_value("a", "5", gone);
    swap("a", 0, gone);
    range("a", false);
    ck_assert_str_eq(seen, "range 0@1;"
                           "swap 0 won;"
                           "swap 0 held a=1@2;"
                           "range 0@2 a=1@2;"
                           "swap 0 won;"
                           "swap 0 held a=@3/2v2;"
                           "swap 0 won;"
                           "swap 0 held a=5@4/2v3;"
                           "swap 0 held  gone@0;"
                           "swap 0 won;"
                           "swap 0 won;"
                           "range 0@5;");
    teardown();
}
END_TEST

START_TEST(swaps_in_one_call_succeed_or_fail_independently)
{
    kv_op_t ops[] = {put("a", "1", 0), put("b", "2", 0), put("c", "3", 0),
                     put("c", "4", 0)};
    kv_swap_t swaps[] = {
        {.key = "a", .ops = &ops[0], .op_count = 1},
        {.key = "b", .ops = &ops[1], .op_count = 1},
        {.key = "c", .ops = &ops[2], .op_count = 1},
        {.key = "d", .ops = &ops[3], .op_count = 1},
    };

    setup((kind_t)_i);
    swap("b", 0, put("b", "held", 0));
    kv->ops->swap(kv, swaps, 3, on_swap, NULL);
    wait_for_response();
    kv->ops->swap(kv, &swaps[2], 2, on_swap, NULL);
    wait_for_response();
    range("", true);
    ck_assert_str_eq(seen, "swap 0 won;"
                           "swap 0 won held b=held@2 won;"
                           "swap 3;"
                           "range 0@3 a=1@3 b=held@2 c=3@3;");
    teardown();
}
END_TEST

START_TEST(range_reads_keys_with_prefix)
{
    setup((kind_t)_i);
    swap("/a/1", 0, put("/a/1", "x", 0));
    swap("/a/2", 0, put("/a/2", "x", 0));
    swap("/a0", 0, put("/a0", "x", 0));
    swap("/a", 0, put("/a", "x", 0));
    swap("\xff\xff", 0, put("\xff\xff", "x", 0));
    seen[0] = '\0';
    range("/a/", true);
    range("/a", false);
    range("\xff", true);
    ck_assert_str_eq(seen, "range 0@6 /a/1=x@2 /a/2=x@3;"
                           "range 0@6 /a=x@5;"
                           "range 0@6 \xff\xff=x@6;");
    teardown();
}
END_TEST

START_TEST(revoked_lease_deletes_its_keys)
{
    setup((kind_t)_i);
    lease_call(kv->ops->lease_grant, 60);
    swap("a", 0, put("a", "1", last_lease));
    swap("b", 0, put("b", "1", last_lease));
    swap("c", 0, put("c", "1", last_lease + 1000));
    range("a", false);
    lease_call(kv->ops->lease_keepalive, last_lease);
    swap("b", 3, put("b", "2", 0));
    lease_call(kv->ops->lease_revoke, last_lease);
    range("", true);
    lease_call(kv->ops->lease_keepalive, last_lease);
    lease_call(kv->ops->lease_revoke, last_lease + 1000);
    ck_assert_str_eq(seen, "lease 0 ttl 60;"
                           "swap 0 won;"
                           "swap 0 won;"
                           "swap 3;"
                           "range 0@3 a=1@2 leased;"
                           "lease 0 ttl 60;"
                           "swap 0 won;"
                           "lease 0 ttl 0;"
                           "range 0@5 b=2@4/3v2;"
                           "lease 0 ttl 0;"
                           "lease 3 ttl 0;");
    teardown();
}
END_TEST

START_TEST(expired_lease_deletes_its_keys)
{
    setup((kind_t)_i);
    lease_call(kv->ops->lease_grant, 1);
    swap("a", 0, put("a", "1", last_lease));
    watch("", 3);
    wait_for_watch_text("watch 0; a gone@3");
    lease_call(kv->ops->lease_keepalive, last_lease);
    ck_assert_str_eq(seen, "lease 0 ttl 1;swap 0 won;lease 0 ttl 0;");
    teardown();
}
END_TEST

START_TEST(watch_reports_changes_under_prefix)
{
    const kv_op_t gone = {.verb = KV_DELETE, .key = "/a/1"};

    setup((kind_t)_i);
    swap("/a/1", 0, put("/a/1", "1", 0));
    swap("/a/1", 2, put("/a/1", "2", 0));
    swap("/b/1", 0, put("/b/1", "3", 0));
    watch("/a/", 3);
    wait_for_watch_text("watch 0; /a/1=2@3/2v2");
    swap("/a/1", 3, gone);
    swap("/b/1", 4, put("/b/1", "4", 0));
    swap("/a/2", 0, put("/a/2", "5", 0));
    wait_for_watch_text("watch 0; /a/1=2@3/2v2 /a/1 gone@5 /a/2=5@7");
    teardown();
}
END_TEST

START_TEST(watch_from_current_revision_omits_earlier_changes)
{
    setup((kind_t)_i);
    swap("a", 0, put("a", "1", 0));
    watch("", 0);
    swap("b", 0, put("b", "2", 0));
    wait_for_watch_text("watch 0; b=2@3");
    teardown();
}
END_TEST

START_TEST(watch_from_compacted_revision_is_invalid)
{
    int i;

    setup(KIND_MEMORY);
    for (i = 0; i < CHANGES_OVER_LIMIT; i++) {
        swap("a", i > 0 ? i + 1 : 0, put("a", "x", 0));
        ck_assert_str_eq(seen, "swap 0 won;");
        seen[0] = '\0';
    }
    watch("", 2);
    ck_assert_str_eq(watched, "watch 3;");
    teardown();
}
END_TEST

static void
on_fault_head(http_sink_t *sink, uint32_t status, const char *content_type,
              uint32_t retry_after_ms)
{
    ck_assert_uint_eq(status, 200);
}

static void
on_fault_body(http_sink_t *sink, const char *bytes, size_t length)
{
}

static void
on_fault_done(http_sink_t *sink, http_result_t result)
{
    ck_assert_int_eq(result, HTTP_DONE);
    responded = true;
}

/* Configures a fault of the stand-in store. */
static void
set_fault(const char *fault)
{
    static const http_sink_ops_t ops = {
        .head = on_fault_head, .body = on_fault_body, .done = on_fault_done};
    http_sink_t sink = {&ops};
    char url[64];
    http_request_t request = {.method = "POST",
                              .url = url,
                              .body = fault,
                              .body_bytes = strlen(fault),
                              .fresh_connection = true};

    (void)snprintf(url, sizeof(url), "http://127.0.0.1:%d/fault", store.port);
    (void)http_start(fixture.client, &request, &sink);
    wait_for_response();
}

/* A second write, expecting no key, reads back the value of the first. */
START_TEST(write_with_lost_response_took_effect)
{
    setup(KIND_ETCD);
    set_fault("{\"lose_answers\":1}");
    swap("a", 0, put("a", "mark", 0));
    swap("a", 0, put("a", "mark", 0));
    ck_assert_str_eq(seen, "swap 2;swap 0 held a=mark@2;");
    teardown();
}
END_TEST

/* A watch resumed at the next revision neither misses nor repeats a change. */
START_TEST(watch_resumes_after_outage)
{
    setup(KIND_ETCD);
    watch("", 0);
    swap("a", 0, put("a", "1", 0));
    wait_for_watch_text("watch 0; a=1@2");
    set_fault("{\"down_ms\":200}");
    wait_for_watch_text("watch 0; a=1@2watch 2;");
    swap("b", 0, put("b", "lost", 0));
    ck_assert_str_eq(seen, "swap 0 won;swap 2;");
    do {
        seen[0] = '\0';
        range("", true);
    } while (strncmp(seen, "range 0", strlen("range 0")) != 0);
    ck_assert_str_eq(seen, "range 0@2 a=1@2;");
    swap("c", 0, put("c", "2", 0));
    watched[0] = '\0';
    watch("", 3);
    wait_for_watch_text("watch 0; c=2@3");
    teardown();
}
END_TEST

/* The first callback frees the service; the pending ones must not run. */
static void
on_range_free(void *context, kv_result_t result, int64_t revision,
              const kv_pair_t *pairs, size_t count)
{
    kv->ops->free(kv);
    kv = NULL;
    responded = true;
}

START_TEST(no_callback_after_free_in_callback)
{
    setup((kind_t)_i);
    watch("", 0);
    kv->ops->range(kv, "a", false, on_range_free, NULL);
    kv->ops->range(kv, "a", false, on_range, NULL);
    kv->ops->range(kv, "a", false, on_range, NULL);
    wait_for_response();
    ck_assert_ptr_null(kv);
    kv = kv_memory_new(&fixture.loop);
    teardown();
    ck_assert_str_eq(seen, "");
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("kv");

    tcase_add_loop_test(tcase, swap_succeeds_if_compare_holds, 0, KIND_COUNT);
    tcase_add_loop_test(tcase, swaps_in_one_call_succeed_or_fail_independently,
                        0, KIND_COUNT);
    tcase_add_loop_test(tcase, range_reads_keys_with_prefix, 0, KIND_COUNT);
    tcase_add_loop_test(tcase, revoked_lease_deletes_its_keys, 0, KIND_COUNT);
    tcase_add_loop_test(tcase, expired_lease_deletes_its_keys, 0, KIND_COUNT);
    tcase_add_loop_test(tcase, watch_reports_changes_under_prefix, 0,
                        KIND_COUNT);
    tcase_add_loop_test(tcase,
                        watch_from_current_revision_omits_earlier_changes, 0,
                        KIND_COUNT);
    tcase_add_test(tcase, watch_from_compacted_revision_is_invalid);
    tcase_add_test(tcase, write_with_lost_response_took_effect);
    tcase_add_test(tcase, watch_resumes_after_outage);
    tcase_add_loop_test(tcase, no_callback_after_free_in_callback, 0,
                        KIND_COUNT);
    return fixture_main("kv", tcase);
}
