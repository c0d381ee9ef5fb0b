/* test_kv.c - one script of calls, the same on every key-value service. */
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
    CHANGES_MANY = 6000,
};

typedef enum { KIND_MEMORY, KIND_ETCD, KIND_COUNT } kind_t;

static fixture_t fixture;
static kv_t *kv;
static child_t store;
static char seen[SEEN_BYTES]; /* what the callbacks gave, in order */
static char watched[SEEN_BYTES];
static bool answered;
static int64_t last_lease;
static int64_t last_revision;

static void
open_world(kind_t kind)
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
close_world(void)
{
    kv->ops->free(kv);
    fixture_close(&fixture);
    child_kill(&store);
}

static void __attribute__((format(printf, 2, 3)))
note(char *text, const char *format, ...)
{
    size_t used = strlen(text);
    va_list args;

    va_start(args, format);
    (void)vsnprintf(text + used, SEEN_BYTES - used, format, args);
    va_end(args);
}

/* "key=value@mod" and "/create" where that differs; "key gone@mod". */
static void
note_pair(char *text, const kv_pair_t *pair)
{
    if (pair->create_revision == 0) {
        note(text, " %s gone@%d", pair->key, (int)pair->mod_revision);
        return;
    }
    note(text, " %s=%.*s@%d", pair->key, (int)pair->value_bytes, pair->value,
         (int)pair->mod_revision);
    if (pair->create_revision != pair->mod_revision) {
        note(text, "/%d", (int)pair->create_revision);
    }
    if (pair->version > 1) {
        note(text, "v%d", (int)pair->version);
    }
    if (pair->lease != 0) {
        note(text, " leased");
    }
}

static void
wait_for_answer(void)
{
    answered = false;
    fixture_wait(&fixture, &answered);
}

static void
on_range(void *context, kv_result_t result, int64_t revision,
         const kv_pair_t *pairs, size_t count)
{
    size_t i;

    note(seen, "range %d@%d", result, (int)revision);
    for (i = 0; i < count; i++) {
        note_pair(seen, &pairs[i]);
    }
    note(seen, ";");
    answered = true;
    last_revision = revision;
}

static void
on_swap(void *context, kv_result_t result, int64_t revision,
        const kv_swap_answer_t *answers, size_t count)
{
    size_t i;

    note(seen, "swap %d", result);
    for (i = 0; i < count; i++) {
        note(seen, answers[i].won ? " won" : " held");
        if (!answers[i].won) {
            note_pair(seen, &answers[i].held);
        }
    }
    note(seen, ";");
    answered = true;
    last_revision = revision;
}

static void
on_lease(void *context, kv_result_t result, int64_t lease, int64_t ttl_s)
{
    note(seen, "lease %d ttl %d;", result, (int)ttl_s);
    last_lease = lease;
    answered = true;
}

static void
on_watch(void *context, kv_result_t result, int64_t revision,
         const kv_pair_t *pairs, size_t count)
{
    size_t i;

    if (result != KV_OK || count == 0) {
        note(watched, "watch %d;", result);
    }
    for (i = 0; i < count; i++) {
        note_pair(watched, &pairs[i]);
    }
}

static void
range(const char *key, bool prefix)
{
    kv->ops->range(kv, key, prefix, on_range, NULL);
    wait_for_answer();
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

/* One swap: if key is at mod_revision, one op. */
static void
swap(const char *key, int64_t mod_revision, kv_op_t op)
{
    kv_swap_t one = {
        .key = key, .mod_revision = mod_revision, .ops = &op, .op_count = 1};

    kv->ops->swap(kv, &one, 1, on_swap, NULL);
    wait_for_answer();
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
    wait_for_answer();
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
wait_watched(const char *text)
{
    while (strcmp(watched, text) != 0) {
        loop_turn(&fixture.loop);
    }
}

static void
lease_call(void (*call)(kv_t *, int64_t, kv_lease_done_t, void *),
           int64_t argument)
{
    call(kv, argument, on_lease, NULL);
    wait_for_answer();
}

START_TEST(compare_and_swap)
{
    const kv_op_t gone = {.verb = KV_DELETE, .key = "a"};

    open_world((kind_t)_i);
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
    close_world();
}
END_TEST

START_TEST(many_swaps_in_one_call)
{
    kv_op_t ops[] = {put("a", "1", 0), put("b", "2", 0), put("c", "3", 0),
                     put("c", "4", 0)};
    kv_swap_t swaps[] = {
        {.key = "a", .ops = &ops[0], .op_count = 1},
        {.key = "b", .ops = &ops[1], .op_count = 1},
        {.key = "c", .ops = &ops[2], .op_count = 1},
        {.key = "d", .ops = &ops[3], .op_count = 1},
    };

    open_world((kind_t)_i);
    swap("b", 0, put("b", "held", 0));
    kv->ops->swap(kv, swaps, 3, on_swap, NULL);
    wait_for_answer();
    kv->ops->swap(kv, &swaps[2], 2, on_swap, NULL);
    wait_for_answer();
    range("", true);
    ck_assert_str_eq(seen, "swap 0 won;"
                           "swap 0 won held b=held@2 won;"
                           "swap 3;"
                           "range 0@3 a=1@3 b=held@2 c=3@3;");
    close_world();
}
END_TEST

START_TEST(prefixes)
{
    open_world((kind_t)_i);
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
    close_world();
}
END_TEST

START_TEST(leases)
{
    open_world((kind_t)_i);
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
    close_world();
}
END_TEST

START_TEST(lease_lapses)
{
    open_world((kind_t)_i);
    lease_call(kv->ops->lease_grant, 1);
    swap("a", 0, put("a", "1", last_lease));
    watch("", 3);
    wait_watched("watch 0; a gone@3");
    lease_call(kv->ops->lease_keepalive, last_lease);
    ck_assert_str_eq(seen, "lease 0 ttl 1;swap 0 won;lease 0 ttl 0;");
    close_world();
}
END_TEST

START_TEST(watches)
{
    const kv_op_t gone = {.verb = KV_DELETE, .key = "/a/1"};

    open_world((kind_t)_i);
    swap("/a/1", 0, put("/a/1", "1", 0));
    swap("/a/1", 2, put("/a/1", "2", 0));
    swap("/b/1", 0, put("/b/1", "3", 0));
    watch("/a/", 3);
    wait_watched("watch 0; /a/1=2@3/2v2");
    swap("/a/1", 3, gone);
    swap("/b/1", 4, put("/b/1", "4", 0));
    swap("/a/2", 0, put("/a/2", "5", 0));
    wait_watched("watch 0; /a/1=2@3/2v2 /a/1 gone@5 /a/2=5@7");
    close_world();
}
END_TEST

/* A watch from now on gives nothing of the past. */
START_TEST(watch_from_now)
{
    open_world((kind_t)_i);
    swap("a", 0, put("a", "1", 0));
    watch("", 0);
    swap("b", 0, put("b", "2", 0));
    wait_watched("watch 0; b=2@3");
    close_world();
}
END_TEST

START_TEST(watch_of_what_is_no_longer_kept)
{
    int i;

    open_world(KIND_MEMORY);
    for (i = 0; i < CHANGES_MANY; i++) {
        swap("a", i > 0 ? i + 1 : 0, put("a", "x", 0));
        ck_assert_str_eq(seen, "swap 0 won;");
        seen[0] = '\0';
    }
    watch("", 2);
    ck_assert_str_eq(watched, "watch 3;");
    close_world();
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
    answered = true;
}

/* Tells the stand-in store what to do wrong. */
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
    wait_for_answer();
}

/* The write took effect; making it again with its mark shows that. */
START_TEST(lost_answer)
{
    open_world(KIND_ETCD);
    set_fault("{\"lose_answers\":1}");
    swap("a", 0, put("a", "mark", 0));
    swap("a", 0, put("a", "mark", 0));
    ck_assert_str_eq(seen, "swap 2;swap 0 held a=mark@2;");
    close_world();
}
END_TEST

/* A watch taken up again where it was cut misses and repeats nothing. */
START_TEST(outage)
{
    open_world(KIND_ETCD);
    watch("", 0);
    swap("a", 0, put("a", "1", 0));
    wait_watched("watch 0; a=1@2");
    set_fault("{\"down_ms\":200}");
    wait_watched("watch 0; a=1@2watch 2;");
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
    wait_watched("watch 0; c=2@3");
    close_world();
}
END_TEST

/* Nothing is called after the service is freed, also from a callback. */
static void
on_range_free(void *context, kv_result_t result, int64_t revision,
              const kv_pair_t *pairs, size_t count)
{
    kv->ops->free(kv);
    kv = NULL;
    answered = true;
}

START_TEST(freed_in_a_callback)
{
    open_world((kind_t)_i);
    watch("", 0);
    kv->ops->range(kv, "a", false, on_range_free, NULL);
    kv->ops->range(kv, "a", false, on_range, NULL);
    kv->ops->range(kv, "a", false, on_range, NULL);
    wait_for_answer();
    ck_assert_ptr_null(kv);
    kv = kv_memory_new(&fixture.loop);
    close_world();
    ck_assert_str_eq(seen, "");
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("kv");

    tcase_add_loop_test(tcase, compare_and_swap, 0, KIND_COUNT);
    tcase_add_loop_test(tcase, many_swaps_in_one_call, 0, KIND_COUNT);
    tcase_add_loop_test(tcase, prefixes, 0, KIND_COUNT);
    tcase_add_loop_test(tcase, leases, 0, KIND_COUNT);
    tcase_add_loop_test(tcase, lease_lapses, 0, KIND_COUNT);
    tcase_add_loop_test(tcase, watches, 0, KIND_COUNT);
    tcase_add_loop_test(tcase, watch_from_now, 0, KIND_COUNT);
    tcase_add_test(tcase, watch_of_what_is_no_longer_kept);
    tcase_add_test(tcase, lost_answer);
    tcase_add_test(tcase, outage);
    tcase_add_loop_test(tcase, freed_in_a_callback, 0, KIND_COUNT);
    return fixture_main("kv", tcase);
}
