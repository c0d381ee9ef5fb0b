/* test_platform_store.c - the platform's store: calls and their answers. */
#include <string.h>

#include "base/text.h"
#include "platform/platform.h"
#include "regress/canned.h"
#include "regress/fixture.h"

#define JSON(status, body)                                                    \
    "HTTP/1.1 " status "\r\nContent-Type: application/json\r\n"               \
    "Connection: close\r\n\r\n" body

enum { TIMEOUT_MS = 300, WATCH_MS = 50 };

/* A store on the test's loop, and what its last call brought. */
typedef struct {
    fixture_t fixture;
    canned_t *server;
    kv_t *kv;
    text_t got;
    int calls_left; /* until what is waited for has come */
    bool done;
} world_t;

static void
open_world(world_t *world, const canned_reply_t *replies, size_t count)
{
    platform_kv_settings_t settings = {.timeout_ms = TIMEOUT_MS,
                                       .watch_ms = WATCH_MS};
    arena_t arena = {0};

    memset(world, 0, sizeof(*world));
    world->calls_left = 1;
    fixture_open(&world->fixture);
    world->server = canned_new(&world->fixture.loop, replies, count);
    settings.loop = &world->fixture.loop;
    settings.client = world->fixture.client;
    settings.address =
        arena_printf(&arena, "127.0.0.1:%d", canned_port(world->server));
    world->kv = platform_kv_new(&settings);
    arena_free(&arena);
}

static void
close_world(world_t *world)
{
    world->kv->ops->free(world->kv);
    canned_free(world->server);
    fixture_close(&world->fixture);
    text_free(&world->got);
}

static void
came(world_t *world)
{
    world->calls_left--;
    world->done = world->calls_left == 0;
    text_append(&world->got, "", 1);
    world->got.length--;
}

static void
on_pairs(void *context, kv_result_t result, int64_t revision,
         const kv_pair_t *pairs, size_t count)
{
    world_t *world = context;
    size_t i;

    text_printf(&world->got, "%d@%lld", result, (long long)revision);
    for (i = 0; i < count; i++) {
        text_printf(&world->got, " %s=%s@%lld%s", pairs[i].key,
                    pairs[i].value != NULL ? pairs[i].value : "",
                    (long long)pairs[i].mod_revision,
                    pairs[i].create_revision == 0 ? "-" : "");
    }
    text_puts(&world->got, ";");
    came(world);
}

static void
on_swap(void *context, kv_result_t result, int64_t revision,
        const kv_swap_answer_t *answers, size_t count)
{
    world_t *world = context;

    text_printf(&world->got, "%d@%lld", result, (long long)revision);
    if (count > 0) {
        text_printf(&world->got, " won=%d held=%lld", answers[0].won,
                    (long long)answers[0].held.mod_revision);
    }
    came(world);
}

static void
on_lease(void *context, kv_result_t result, int64_t lease, int64_t ttl_s)
{
    world_t *world = context;

    text_printf(&world->got, "%d lease=%lld ttl=%lld", result,
                (long long)lease, (long long)ttl_s);
    came(world);
}

typedef enum { DO_RANGE, DO_GET, DO_SWAP, DO_GRANT, DO_KEEP, DO_WATCH } deed_t;

typedef struct {
    const char *name;
    deed_t deed;
    canned_reply_t replies[3];
    size_t count;
    const char *got;
    const char *sent; /* text in the last request; NULL: not looked at */
} store_case_t;

/* Results: 0 done, 1 surely not, 2 perhaps, 3 the call is wrong. */
static const store_case_t cases[] = {
    {"two pages",
     DO_RANGE,
     {{JSON("200 OK", "{\"Items\":[{\"Key\":\"a\",\"Value\":\"eA==\","
                      "\"Revision\":3}],\"Truncated\":true,"
                      "\"StoreRevision\":9}"),
       0, CANNED_CLOSE},
      {JSON("200 OK", "{\"Items\":[{\"Key\":\"b\",\"Value\":\"\","
                      "\"Revision\":11}],\"Truncated\":false,"
                      "\"StoreRevision\":12}"),
       0, CANNED_CLOSE}},
     2,
     "0@9 a=x@3 b=@11;",
     "After=a"},
    {"a value that is no base64",
     DO_RANGE,
     {{JSON("200 OK", "{\"Items\":[{\"Key\":\"a\",\"Value\":\"?\","
                      "\"Revision\":3}],\"StoreRevision\":9}"),
       0, CANNED_CLOSE}},
     1,
     "0@9 a=@3;",
     "PathPrefix=p%25/"},
    {"one key",
     DO_GET,
     {{JSON("200 OK", "{\"Key\":\"p%/\",\"Value\":\"eA==\",\"Revision\":3,"
                      "\"StoreRevision\":9}"),
       0, CANNED_CLOSE}},
     1,
     "0@9 p%/=x@3;",
     "kv-key?Key=p%25/"},
    {"no such key",
     DO_GET,
     {{JSON("404 Not Found", "{}"), 0, CANNED_CLOSE}},
     1,
     "0@0;",
     NULL},
    {"an answer that is cut off",
     DO_RANGE,
     {{"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"It", 0, CANNED_CLOSE}},
     1,
     "1@0;",
     NULL},
    {"an answer that is no JSON",
     DO_RANGE,
     {{JSON("200 OK", "<html>"), 0, CANNED_CLOSE}},
     1,
     "1@0;",
     NULL},
    {"a store that is busy",
     DO_RANGE,
     {{JSON("503 Busy", "{}"), 0, CANNED_CLOSE}},
     1,
     "1@0;",
     NULL},
    {"a store that says nothing",
     DO_RANGE,
     {{"", 0, CANNED_KEEP}},
     1,
     "1@0;",
     NULL},
    {"a swap that wins",
     DO_SWAP,
     {{JSON("200 OK", "{\"Revision\":12}"), 0, CANNED_CLOSE}},
     1,
     "0@12 won=1 held=0",
     "{\"ExpectedRev\":[{\"Key\":\"k\",\"Revision\":5}],\"SetKeys\":["
     "{\"Key\":\"k\",\"Value\":\"dg==\",\"Lease\":77}],\"Remove\":[]}"},
    {"a swap that loses",
     DO_SWAP,
     {{JSON("412 Precondition Failed",
            "{\"Items\":[{\"Key\":\"k\",\"Value\":\"\",\"Revision\":8}]}"),
       0, CANNED_CLOSE}},
     1,
     "0@0 won=0 held=8",
     NULL},
    {"a swap that loses to nothing",
     DO_SWAP,
     {{JSON("412 Precondition Failed", "{\"Items\":[{\"Key\":\"k\"}]}"), 0,
       CANNED_CLOSE}},
     1,
     "0@0 won=0 held=0",
     NULL},
    {"a swap under a lease that has ended",
     DO_SWAP,
     {{JSON("404 Not Found", "{}"), 0, CANNED_CLOSE}},
     1,
     "3@0",
     NULL},
    {"a swap whose answer is lost",
     DO_SWAP,
     {{"", 0, CANNED_RESET}},
     1,
     "2@0",
     NULL},
    {"a swap that is turned away",
     DO_SWAP,
     {{JSON("429 Too Many", "{}"), 0, CANNED_CLOSE}},
     1,
     "1@0",
     NULL},
    {"a lease",
     DO_GRANT,
     {{JSON("200 OK", "{\"Lease\":77120,\"TtlMs\":3000}"), 0, CANNED_CLOSE}},
     1,
     "0 lease=77120 ttl=3",
     "{\"TtlMs\":3000}"},
    {"a renewal",
     DO_KEEP,
     {{JSON("200 OK", "{\"TtlMs\":2500}"), 0, CANNED_CLOSE}},
     1,
     "0 lease=77 ttl=3",
     "POST /v1/kv-keep/77"},
    {"a lease that has ended",
     DO_KEEP,
     {{JSON("404 Not Found", "{}"), 0, CANNED_CLOSE}},
     1,
     "0 lease=77 ttl=0",
     NULL},
    {"changes",
     DO_WATCH,
     {{JSON("200 OK", "{\"events\":[{\"Key\":\"a\",\"Value\":\"eA==\","
                      "\"Revision\":7,\"Created\":7},{\"Key\":\"b\","
                      "\"Revision\":8,\"Removed\":true}],"
                      "\"StoreRevision\":8}"),
       0, CANNED_CLOSE},
      {"", 0, CANNED_KEEP}},
     2,
     "0@8 a=x@7 b=@8-;",
     "After=6&WaitMs=50"},
    {"no changes",
     DO_WATCH,
     {{JSON("200 OK", "{\"events\":[],\"StoreRevision\":6}"), 0, CANNED_CLOSE},
      {"", 0, CANNED_KEEP}},
     2,
     "0@6;",
     NULL},
    {"history that is gone",
     DO_WATCH,
     {{JSON("410 Gone", "{}"), 0, CANNED_CLOSE}},
     1,
     "3@6;",
     NULL},
    {"a watch that is cut",
     DO_WATCH,
     {{"", 0, CANNED_RESET}},
     1,
     "2@6;",
     NULL},
    {"a watch that stays silent",
     DO_WATCH,
     {{"", 0, CANNED_KEEP}},
     1,
     "2@6;",
     NULL},
};

START_TEST(test_call)
{
    const store_case_t *test = &cases[_i];
    const kv_op_t op = {.verb = KV_PUT,
                        .key = "k",
                        .value = "v",
                        .value_bytes = 1,
                        .lease = 77};
    const kv_swap_t swap = {
        .key = "k", .mod_revision = 5, .ops = &op, .op_count = 1};
    world_t world;
    const kv_ops_t *ops;

    open_world(&world, test->replies, test->count);
    ops = world.kv->ops;
    switch (test->deed) {
    case DO_RANGE:
    case DO_GET:
        ops->range(world.kv, "p%/", test->deed == DO_RANGE, on_pairs, &world);
        break;
    case DO_SWAP:
        ops->swap(world.kv, &swap, 1, on_swap, &world);
        break;
    case DO_GRANT:
        ops->lease_grant(world.kv, 3, on_lease, &world);
        break;
    case DO_KEEP:
        ops->lease_keepalive(world.kv, 77, on_lease, &world);
        break;
    case DO_WATCH:
        ops->watch(world.kv, "p/", 7, on_pairs, &world);
        break;
    }
    fixture_wait(&world.fixture, &world.done);
    ck_assert_msg(strcmp(world.got.bytes, test->got) == 0,
                  "%s: got %s, want %s", test->name, world.got.bytes,
                  test->got);
    ck_assert_msg(test->sent == NULL ||
                      strstr(canned_last(world.server), test->sent) != NULL,
                  "%s: sent %s", test->name, canned_last(world.server));
    close_world(&world);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("platform_store");

    tcase_add_loop_test(tcase, test_call, 0, COUNT(cases));
    return fixture_main("platform_store", tcase);
}
