/* test_restored_store.c - tests what a host does after the store went back to
 * an older copy of itself. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/arena.h"
#include "kv/store.h"
#include "regress/fixture.h"
#include "regress/gateway_host.h"
#include "regress/turn.h"

enum { STEPS_MAX = 16, STORM = 30 };

/*
 * Steps: "table VERSION KEY" writes a routing table that has this API key,
 * "storm VERSION" writes many of them, the last one with this version,
 * "runner STATE" registers the runner, "runner" removes its entry,
 * "copy" copies the store, "restore" takes it back to the copy,
 * "ask STATUS" sends a request with the key "k1",
 * "listed" waits until the store has the entry of this host.
 */
typedef struct {
    const char *name;
    const char *steps[STEPS_MAX];
} restored_case_t;

static const restored_case_t cases[] = {
    {"a key that is revoked after the store was restored is served",
     {"table 2 k1", "runner ready", "ask 200", "copy", "storm 32", "restore",
      "table 32 k1", "ask 200", "table 33 k2", "ask 401"}},
    {"a change at a revision that was given out before is dropped",
     {"table 2 k2", "runner ready", "copy", "table 3 k2", "restore",
      "table 4 k1", "ask 200"}},
    {"a table that is written again hides the next one",
     {"table 2 k1", "runner ready", "copy", "table 3 k1", "restore",
      "table 3 k1", "table 4 k2", "ask 401"}},
    {"the copy's older table comes into force",
     {"table 2 k1", "runner ready", "copy", "table 3 k2", "ask 401", "restore",
      "ask 401", "table 3 k2", "ask 401"}},
    {"the second restoration in a row hides a change",
     {"table 2 k1", "runner ready", "copy", "storm 32", "restore", "storm 40",
      "restore", "table 41 k2", "ask 401"}},
    {"a runner that had gone is used since the copy lists it",
     {"table 2 k1", "runner ready", "ask 200", "copy", "runner", "ask 503",
      "restore", "ask 503", "runner ready", "ask 200"}},
    {"a runner that drains is used since the copy says that it is ready",
     {"table 2 k1", "runner ready", "ask 200", "copy", "runner draining",
      "ask 503", "restore", "ask 503"}},
    {"a runner that the copy lacks is dropped before it can register again",
     {"table 2 k1", "copy", "runner ready", "ask 200", "restore", "ask 200"}},
    {"this host is not entered again",
     {"copy", "table 2 k1", "listed", "restore", "listed"}},
};

static const canned_reply_t reply = {
    "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nServer-Stamp: s1\r\n"
    "Content-Length: 5\r\n\r\nhello",
    0, CANNED_KEEP};

static void
put_table(gateway_host_t *host, long version, const char *key)
{
    arena_t arena = {0};

    gateway_host_put(
        host, "op/config",
        arena_printf(&arena,
                     "{\"Version\":%ld,\"Routes\":[{\"Name\":\"b\","
                     "\"Host\":\"host.example\",\"PathPrefix\":\"/unsafe/\","
                     "\"Type\":\"unsafe\",\"TimeoutMs\":5000,"
                     "\"Service\":\"plain\",\"MaxAttempts\":1}],"
                     "\"Services\":[{\"Name\":\"plain\"}],"
                     "\"Tenants\":[{\"Name\":\"o1\",\"ApiKeys\":[\"%s\"]}]}",
                     version, key));
    arena_free(&arena);
}

static void
on_removed(void *context, kv_result_t result, int64_t revision,
           const kv_swap_result_t *answers, size_t count)
{
    *(bool *)context = true;
}

static void
on_own_entry(void *context, kv_result_t result, int64_t revision,
             const kv_pair_t *pairs, size_t count)
{
    *(int *)context = count > 0 ? 1 : 0;
}

static void
set_runner(gateway_host_t *host, const char *state)
{
    arena_t arena = {0};
    kv_op_t op = {.verb = KV_DELETE, .key = "servers/plain-1"};
    kv_swap_t swap = {
        .key = "none/such", .mod_revision = 0, .ops = &op, .op_count = 1};
    bool done = false;

    if (host->runner_count == 0) {
        gateway_host_runner(host, "plain-1", "plain", "a", &reply, 1);
    }
    else if (state[0] == '\0') {
        host->gateway.kv->ops->swap(host->gateway.kv, &swap, 1, on_removed,
                                    &done);
        fixture_wait(&host->fixture, &done);
    }
    else {
        gateway_host_put(
            host, op.key,
            arena_printf(&arena,
                         "{\"Service\":\"plain\",\"Address\":\"127.0.0.1:%d\","
                         "\"Zone\":\"a\",\"BatchSize\":4,\"State\":\"%s\"}",
                         canned_port(host->runners[0]), state));
    }
    arena_free(&arena);
}

static void
ask(gateway_host_t *host, const restored_case_t *test, const char *status)
{
    raw_caller_t *caller = raw_caller_new(host, host->listen_address);
    arena_t arena = {0};

    raw_caller_send(caller,
                    "GET /unsafe/p HTTP/1.1\r\nHost: host.example\r\n"
                    "Attempt-Id: q1\r\nAuthorization: Bearer k1\r\n\r\n");
    ck_assert_msg(raw_caller_wait(caller, "\r\n\r\n") &&
                      strstr(raw_caller_bytes(caller),
                             arena_printf(&arena, "HTTP/1.1 %s ", status)) !=
                          NULL,
                  "%s: instead of %s got\n%s", test->name, status,
                  raw_caller_bytes(caller));
    raw_caller_free(caller);
    arena_free(&arena);
}

static void
wait_until_listed(gateway_host_t *host)
{
    kv_t *kv = host->gateway.kv;
    int listed = 0;

    while (listed != 1) {
        listed = -1;
        kv->ops->range(kv, "agatevale/hosts/h1", false, on_own_entry, &listed);
        while (listed < 0) {
            loop_turn(&host->fixture.loop);
        }
    }
}

static void
play(gateway_host_t *host, const restored_case_t *test, const char *step,
     store_copy_t **copy)
{
    char word[16] = "";
    char first[16] = "";
    char second[16] = "";
    long version;
    int i;

    (void)sscanf(step, "%15s %15s %15s", word, first, second);
    version = strtol(first, NULL, 10);
    if (strcmp(word, "table") == 0) {
        put_table(host, version, second);
    }
    else if (strcmp(word, "storm") == 0) {
        for (i = STORM - 1; i >= 0; i--) {
            put_table(host, version - i, "k1");
        }
    }
    else if (strcmp(word, "runner") == 0) {
        set_runner(host, first);
    }
    else if (strcmp(word, "copy") == 0) {
        *copy = kv_memory_copy(host->gateway.kv);
    }
    else if (strcmp(word, "restore") == 0) {
        kv_memory_restore(host->gateway.kv, *copy);
    }
    else if (strcmp(word, "listed") == 0) {
        wait_until_listed(host);
    }
    else {
        ask(host, test, first);
    }
    gateway_host_settle(host);
}

START_TEST(test_after_restoration)
{
    const restored_case_t *test = &cases[_i];
    store_copy_t *copy = NULL;
    gateway_host_t host;
    size_t i;

    gateway_host_open(&host);
    for (i = 0; i < STEPS_MAX && test->steps[i] != NULL; i++) {
        play(&host, test, test->steps[i], &copy);
    }
    store_copy_free(copy);
    gateway_host_close(&host);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("restored-store");

    tcase_add_loop_test(tcase, test_after_restoration, 0, COUNT(cases));
    return fixture_main("restored-store", tcase);
}
