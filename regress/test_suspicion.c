/*
 * test_suspicion.c - hosts of one fleet, and requests that crash runners.
 *
 * Plays a load in simulated time: streams come to all hosts, engines read
 * and run them, and the requests with one content crash whatever engine
 * begins to run them, and come again to any host.  What is checked is what
 * callers and engines see.
 */
#include <stdio.h>
#include <string.h>

#include <check.h>

#include "regress/fixture.h"
#include "regress/forwarding.h"

enum {
    HOSTS = 7,
    ENGINES = 36,
    ZONES = 3,
    RUNS_MAX = 4096,
    AGAIN_MAX = 64,
    AGAIN_FROM = 1000000, /* numbers of such requests */
    NAME_BYTES = 32,
    US_PER_MS = 1000,
    TICK_MS = 10,
    SHARE_MS = 500,      /* between words of hosts to each other */
    READ_MS = 400,       /* until a stream's first event */
    STREAM_MS = 4000,    /* until its end */
    CRASH_AFTER_MS = 20, /* of a harmful request's start */
    DOWN_MS = 1200,      /* an engine, after a crash */
    /* Between two writes of an engine to the registry. */
    HEARTBEAT_MS = 1200,
    CUT_HOST = 3,
    CUT_RESET_MS = 10,
    CUT_FROM_MS = 10000,
    CUT_UNTIL_MS = 20000,
    BOOTED_MS = 3600000, /* the machines, before the hosts start */
    REQUEST_EVERY_MS = 100,
    HARMFUL_CONTENT = 7,
    ZONE_EVERY_MS = 6500, /* a zone falls */
    /* The users' rule: 3 s after the third crash the fleet knows, and at most
     * three sends may still come. */
    CRASHES_TO_KNOW = 3,
    KNOWN_AFTER_MS = 3000,
    LATE_SENDS_MAX = 3,
};

/* A request at an engine. */
typedef struct {
    size_t host;
    uint64_t number;
    uint32_t attempt;
    size_t engine;
    int64_t began_ms;
    bool live;
    bool harmful;
    bool read;
} run_t;

typedef struct {
    const char *name;
    uint64_t seed;
    int64_t lasts_ms;
    int64_t harmful_every_ms; /* 0: none come */
    bool zones_fall;
    int64_t single_every_ms;  /* an engine crashes by itself; 0: none does */
    bool host_cut;            /* one host's connections to engines are reset */
    int64_t request_every_ms; /* 0: REQUEST_EVERY_MS */
} load_t;

static const load_t loads[] = {
    {.name = "a harmful request comes each second",
     .seed = 1,
     .lasts_ms = 40000,
     .harmful_every_ms = 1000},
    {.name = "the same with other luck",
     .seed = 2,
     .lasts_ms = 40000,
     .harmful_every_ms = 1000},
    {.name = "it comes each 300 ms",
     .seed = 3,
     .lasts_ms = 30000,
     .harmful_every_ms = 300},
    {.name = "it comes each 5 s",
     .seed = 4,
     .lasts_ms = 60000,
     .harmful_every_ms = 5000},
    {.name = "zones fall, and nothing is harmful",
     .seed = 5,
     .lasts_ms = 60000,
     .zones_fall = true},
    {.name = "the same with other luck",
     .seed = 6,
     .lasts_ms = 60000,
     .zones_fall = true},
    {.name = "zones fall, and a harmful request comes each second",
     .seed = 7,
     .lasts_ms = 40000,
     .harmful_every_ms = 1000,
     .zones_fall = true},
    {.name = "engines crash one by one, and nothing is harmful",
     .seed = 8,
     .lasts_ms = 60000,
     .single_every_ms = 300},
    {.name = "the same with other luck",
     .seed = 9,
     .lasts_ms = 60000,
     .single_every_ms = 300},
    {.name =
         "engines crash by themselves, a harmful request comes each second",
     .seed = 10,
     .lasts_ms = 40000,
     .harmful_every_ms = 1000,
     .single_every_ms = 2000},
    {.name = "one host is cut off, and nothing is harmful",
     .seed = 11,
     .lasts_ms = 40000,
     .host_cut = true},
    {.name = "the same with few requests",
     .seed = 12,
     .lasts_ms = 40000,
     .host_cut = true,
     .request_every_ms = 300},
    {.name = "the same with other luck",
     .seed = 13,
     .lasts_ms = 40000,
     .host_cut = true,
     .request_every_ms = 300},
};

typedef struct {
    const load_t *load;
    forward_t *hosts[HOSTS];
    forward_orders_t orders;
    char names[ENGINES][NAME_BYTES];
    char addresses[ENGINES][NAME_BYTES];
    int64_t down_until_ms[ENGINES];
    int64_t listed_ms[ENGINES]; /* its new start is registered then; 0: is */
    run_t runs[RUNS_MAX];
    size_t run_count;
    uint64_t chance;
    uint64_t requests;
    int64_t now_ms;
    uint64_t again[AGAIN_MAX]; /* contents that come once more, elsewhere */
    size_t again_count;
    uint32_t crashes; /* by harmful requests */
    int64_t known_ms; /* the fleet is to know from then on; 0: not yet */
    uint32_t late_sends;
    uint32_t refused_innocent;
    uint32_t refused_harmful;
} world_t;

static const char *const zone_names[ZONES] = {"a", "b", "c"};
static world_t world;

static void raise_event(size_t host, const forward_event_t *event);
static bool is_cut(size_t host);
static void comes_again(uint64_t number);

static uint64_t
chance(uint64_t below)
{
    world.chance = world.chance * 6364136223846793005U + 1442695040888963407U;
    return (world.chance >> 33) % below;
}

static bool
is_harmful(uint64_t number)
{
    return number % 2 == 1;
}

static void
end_run(run_t *run, send_result_t result)
{
    forward_event_t event = {.kind = FORWARD_END};

    run->live = false;
    event.u.end = (forward_end_t){
        .number = run->number, .attempt = run->attempt, .result = result};
    raise_event(run->host, &event);
}

static void
crash(size_t engine)
{
    size_t i;

    world.down_until_ms[engine] = world.now_ms + DOWN_MS;
    world.listed_ms[engine] =
        world.now_ms + DOWN_MS + (int64_t)chance(HEARTBEAT_MS);
    for (i = 0; i < world.run_count; i++) {
        if (world.runs[i].live && world.runs[i].engine == engine) {
            end_run(&world.runs[i], SEND_BROKEN);
        }
    }
}

static size_t
engine_of(const char *name)
{
    size_t i;

    for (i = 0; i < ENGINES; i++) {
        if (strcmp(world.names[i], name) == 0) {
            return i;
        }
    }
    ck_abort_msg("no engine %s", name);
    return 0;
}

static void
take_send(size_t host, const forward_order_t *order)
{
    run_t *run = &world.runs[world.run_count];

    ck_assert_uint_lt(world.run_count, RUNS_MAX);
    world.run_count++;
    *run = (run_t){.host = host,
                   .number = order->number,
                   .attempt = order->u.send.attempt,
                   .engine = engine_of(order->u.send.runner),
                   .began_ms = world.now_ms,
                   .live = true,
                   .harmful = is_harmful(order->number)};
    if (run->harmful && world.known_ms > 0 && world.now_ms > world.known_ms) {
        world.late_sends++;
    }
}

static void
take_order(size_t host, const forward_order_t *order)
{
    size_t i;

    switch (order->kind) {
    case ORDER_TO_SEND:
        take_send(host, order);
        return;
    case ORDER_TO_CANCEL:
        for (i = 0; i < world.run_count; i++) {
            run_t *run = &world.runs[i];

            if (run->host == host && run->number == order->number &&
                run->attempt == order->u.attempt) {
                run->live = false;
            }
        }
        return;
    case ORDER_TO_REFUSE:
    case ORDER_TO_BREAK:
        if (order->u.refuse.reason != REFUSE_HARMFUL) {
            return;
        }
        if (is_harmful(order->number)) {
            world.refused_harmful++;
        }
        else if (is_cut(host)) {
            comes_again(order->number);
            return; /* it reaches nobody */
        }
        else {
            world.refused_innocent++;
        }
        return;
    default:
        return;
    }
}

static void
raise_event(size_t host, const forward_event_t *event)
{
    forward_orders_t orders = {0};
    size_t i;

    forward_step(world.hosts[host], world.now_ms * US_PER_MS, event, &orders);
    for (i = 0; i < orders.count; i++) {
        take_order(host, &orders.items[i]);
    }
    forward_orders_free(&orders);
}

static void
register_engine(size_t host, size_t engine)
{
    forward_event_t event = {.kind = FORWARD_RUNNER};

    event.u.runner = (registration_t){.id = world.names[engine],
                                      .service = "r",
                                      .address = world.addresses[engine],
                                      .zone = zone_names[engine % ZONES],
                                      .slots = 32,
                                      .started_ms = world.now_ms};
    raise_event(host, &event);
}

/* An engine starts again under its id. */
static void
register_restarts(void)
{
    size_t engine;
    size_t host;

    for (engine = 0; engine < ENGINES; engine++) {
        if (world.listed_ms[engine] > 0 &&
            world.now_ms >= world.listed_ms[engine]) {
            world.listed_ms[engine] = 0;
            for (host = 0; host < HOSTS; host++) {
                register_engine(host, engine);
            }
        }
    }
}

static bool
is_cut(size_t host)
{
    int64_t at_ms = world.now_ms - BOOTED_MS;

    return world.load->host_cut && host == CUT_HOST && at_ms >= CUT_FROM_MS &&
           at_ms < CUT_UNTIL_MS;
}

static void
open_hosts(void)
{
    size_t host;
    size_t i;

    for (i = 0; i < ENGINES; i++) {
        (void)snprintf(world.names[i], NAME_BYTES, "e%zu", i);
        (void)snprintf(world.addresses[i], NAME_BYTES, "10.0.0.%zu:80", i);
    }
    for (host = 0; host < HOSTS; host++) {
        forward_event_t event = {.kind = FORWARD_ROUTING};

        world.hosts[host] = forwarding_open();
        event.u.routing = forwarding_routing(1);
        raise_event(host, &event);
        event = (forward_event_t){.kind = FORWARD_HOSTS, .u.hosts = HOSTS};
        raise_event(host, &event);
        for (i = 0; i < ENGINES; i++) {
            register_engine(host, i);
        }
    }
}

/* In the next tick. */
static void
comes_again(uint64_t number)
{
    if (world.again_count < AGAIN_MAX) {
        world.again[world.again_count] = number;
        world.again_count++;
    }
}

static void
request_comes(bool harmful)
{
    forward_event_t event = {.kind = FORWARD_REQUEST};

    world.requests++;
    event.u.request = (forward_request_t){
        .number = world.requests * 2 + (harmful ? 1 : 0),
        .id = "q",
        .host = "host.example",
        .path = "/stream/x",
        .key = "k1",
        .prompt_tokens = 8000,
        .affinity = world.requests,
        .last_event_id = -1,
        .fingerprint =
            harmful ? HARMFUL_CONTENT : HARMFUL_CONTENT + world.requests,
    };
    raise_event((size_t)chance(HOSTS), &event);
}

static void
request_again(uint64_t number)
{
    forward_event_t event = {.kind = FORWARD_REQUEST};

    event.u.request = (forward_request_t){
        .number = AGAIN_FROM + number,
        .id = "q",
        .host = "host.example",
        .path = "/stream/x",
        .key = "k1",
        .prompt_tokens = 8000,
        .affinity = number,
        .last_event_id = -1,
        .fingerprint = HARMFUL_CONTENT + number / 2,
    };
    raise_event((CUT_HOST + 1 + number) % HOSTS == CUT_HOST
                    ? CUT_HOST + 1
                    : (CUT_HOST + 1 + number) % HOSTS,
                &event);
}

static void
hosts_share(void)
{
    size_t from;
    size_t to;

    for (from = 0; from < HOSTS; from++) {
        arena_t arena = {0};
        placements_t placements = {.incarnation = 1,
                                   .number = (uint64_t)world.now_ms};
        char name[NAME_BYTES];
        forward_event_t event = {.kind = FORWARD_PEER};

        forward_placements(world.hosts[from], &arena, &placements);
        (void)snprintf(name, sizeof(name), "h%zu", from);
        event.u.peer.host = name;
        event.u.peer.placements = &placements;
        for (to = 0; to < HOSTS; to++) {
            if (to != from) {
                raise_event(to, &event);
            }
        }
        arena_free(&arena);
    }
}

/* What an engine does with a run in this tick. */
static void
run_goes_on(run_t *run)
{
    forward_event_t event = {.kind = FORWARD_HEAD};
    int64_t ran_ms = world.now_ms - run->began_ms;

    if (world.now_ms < world.down_until_ms[run->engine]) {
        end_run(run, SEND_NOT_SENT);
        return;
    }
    if (is_cut(run->host)) {
        if (ran_ms >= CUT_RESET_MS) {
            end_run(run, SEND_BROKEN);
        }
        return;
    }
    if (run->harmful && ran_ms >= CRASH_AFTER_MS) {
        world.crashes++;
        if (world.crashes == CRASHES_TO_KNOW) {
            world.known_ms = world.now_ms + KNOWN_AFTER_MS;
        }
        crash(run->engine);
        return;
    }
    if (!run->read && ran_ms >= READ_MS) {
        run->read = true;
        event.u.head = (forward_head_t){.number = run->number,
                                        .attempt = run->attempt,
                                        .status = 200,
                                        .genuine = true};
        raise_event(run->host, &event);
    }
    if (run->live && run->read) {
        event.kind = FORWARD_PROGRESS;
        event.u.progress =
            (forward_progress_t){.number = run->number,
                                 .attempt = run->attempt,
                                 .last_event_id = ran_ms / TICK_MS};
        raise_event(run->host, &event);
    }
    if (run->live && ran_ms >= STREAM_MS) {
        end_run(run, SEND_WHOLE);
    }
}

static void
tick(void)
{
    size_t host;
    size_t i;

    register_restarts();

    for (host = 0; host < HOSTS; host++) {
        forward_event_t event = {.kind = FORWARD_CONTACT};

        event.u.contact_us = world.now_ms * US_PER_MS;
        raise_event(host, &event);
        event = (forward_event_t){.kind = FORWARD_TIMER};
        raise_event(host, &event);
    }
    for (i = 0; i < world.run_count; i++) {
        if (world.runs[i].live) {
            run_goes_on(&world.runs[i]);
        }
    }
    if (world.load->zones_fall && world.now_ms % ZONE_EVERY_MS == 0) {
        size_t zone = (size_t)(world.now_ms / ZONE_EVERY_MS) % ZONES;

        for (i = zone; i < ENGINES; i += ZONES) {
            crash(i);
        }
    }
    if (world.load->single_every_ms > 0 &&
        world.now_ms % world.load->single_every_ms == 0) {
        crash((size_t)chance(ENGINES));
    }
    if (world.now_ms % (world.load->request_every_ms > 0
                            ? world.load->request_every_ms
                            : REQUEST_EVERY_MS) ==
        0) {
        request_comes(false);
    }
    if (world.load->harmful_every_ms > 0 &&
        world.now_ms % world.load->harmful_every_ms == 0) {
        request_comes(true);
    }
    for (i = 0; i < world.again_count; i++) {
        request_again(world.again[i]);
    }
    world.again_count = 0;
    if (world.now_ms % SHARE_MS == 0) {
        hosts_share();
    }
}

START_TEST(test_load)
{
    size_t host;

    memset(&world, 0, sizeof(world));
    world.load = &loads[_i];
    world.chance = loads[_i].seed;
    world.now_ms = BOOTED_MS;
    open_hosts();
    for (; world.now_ms < BOOTED_MS + loads[_i].lasts_ms;
         world.now_ms += TICK_MS) {
        tick();
    }
    ck_assert_msg(world.late_sends <= LATE_SENDS_MAX,
                  "%s: sent %u times late, %u crashes, bound %d",
                  loads[_i].name, world.late_sends, world.crashes,
                  LATE_SENDS_MAX);
    ck_assert_msg(world.refused_innocent == 0, "%s: %u innocents refused",
                  loads[_i].name, world.refused_innocent);
    ck_assert_msg(loads[_i].harmful_every_ms == 0 || world.refused_harmful > 0,
                  "%s: never refused", loads[_i].name);
    for (host = 0; host < HOSTS; host++) {
        forward_free(world.hosts[host]);
    }
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("suspicion");

    tcase_add_loop_test(tcase, test_load, 0, sizeof(loads) / sizeof(loads[0]));
    return fixture_main("suspicion", tcase);
}
