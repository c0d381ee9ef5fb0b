/*
 * test_room.c - tests that streams are placed by the memory that requests and
 * copies take, and not by their number alone.
 */
#include <string.h>

#include <xxhash.h>

#include "forward/room.h"
#include "regress/fixture.h"
#include "regress/forwarding.h"

enum { CAPACITY = 88000, PROMPT = 8200, RESPONSE = 780, US_PER_MS = 1000 };

static const struct {
    const char *name;
    uint64_t held_tokens;
    uint32_t capacity_tokens;
    uint64_t load;
} load_cases[] = {
    {"unknown capacity", 1000000, 0, 0},
    {"empty runner", 0, CAPACITY, 0},
    {"one prompt short of the free part", 61000, CAPACITY, 0},
    {"nearly full", 70000, CAPACITY, 388},
    {"full", 88000, CAPACITY, 1208},
};

START_TEST(test_load_of_memory)
{
    ck_assert_msg(
        room_load(load_cases[_i].held_tokens, PROMPT + RESPONSE,
                  load_cases[_i].capacity_tokens) == load_cases[_i].load,
        "%s: load %llu", load_cases[_i].name,
        (unsigned long long)room_load(load_cases[_i].held_tokens,
                                      PROMPT + RESPONSE,
                                      load_cases[_i].capacity_tokens));
}
END_TEST

static uint64_t
hash_of(const char *name)
{
    return XXH3_64bits(name, strlen(name));
}

/* Tells of streams at engine "ra1", with their copies at "rb1". */
static void
report(forward_t *forward, uint32_t streams, uint32_t tokens)
{
    placement_t items[LINK_PLACEMENTS_MAX] = {0};
    placements_t placements = {
        .incarnation = 1, .number = 1, .items.items_val = items};
    forward_event_t event = {
        .kind = FORWARD_PEER_REPORT,
        .u.peer = {.host = "h2", .placements = &placements}};
    forward_actions_t actions = {0};
    uint32_t i;

    for (i = 0; i < streams; i++) {
        items[i] = (placement_t){.runner = hash_of("ra1"),
                                 .session = 100 + i,
                                 .standby = hash_of("rb1"),
                                 .tokens = tokens};
    }
    placements.items.items_len = streams;
    forward_step(forward, US_PER_MS, &event, &actions);
    forward_actions_free(&actions);
}

/* Few streams, or only their copies, may fill a runner that the number of its
 * streams shows as free. */
static const struct {
    const char *name;
    uint32_t streams;
    uint32_t tokens;
    const char *runners; /* that may get the next stream */
} placement_cases[] = {
    {"small streams leave room", 1, 1000, "ra1 rb1 rc1"},
    {"one long stream and its copy fill two runners", 1, 86000, "rc1"},
    {"copies alone fill a runner", 2, 43000, "rc1"},
};

START_TEST(test_placement_by_memory)
{
    forward_t *forward = forwarding_open();
    routing_t *routing = forwarding_routing(1);
    forward_event_t event = {.kind = FORWARD_ROUTING};
    forward_actions_t actions = {0};
    const char *orders;
    char runner[4] = "";

    routing->services[0].capabilities.kv_capacity_tokens = CAPACITY;
    event.u.routing = routing;
    forward_step(forward, 0, &event, &actions);
    (void)forwarding_do(forward, 0, "contact");
    (void)forwarding_do(forward, 0, "hosts 2");
    (void)forwarding_do(forward, 0, "list ra1 rb1 rc1 sa1");
    report(forward, placement_cases[_i].streams, placement_cases[_i].tokens);
    orders = strstr(forwarding_do(forward, 10, "request 1 stream"), "1.1 ");
    ck_assert_ptr_nonnull(orders);
    memcpy(runner, orders + strlen("1.1 "), 3);
    ck_assert_msg(strstr(placement_cases[_i].runners, runner) != NULL,
                  "%s: sent to %s", placement_cases[_i].name, runner);
    forward_actions_free(&actions);
    forward_free(forward);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("room");

    tcase_add_loop_test(tcase, test_load_of_memory, 0, (int)COUNT(load_cases));
    tcase_add_loop_test(tcase, test_placement_by_memory, 0,
                        (int)COUNT(placement_cases));
    return fixture_main("room", tcase);
}
