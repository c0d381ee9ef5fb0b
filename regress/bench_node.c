/*
 * bench_node.c - what the decisions of one host cost, and how that grows.
 *
 * Prints NAME VALUE UNIT BOUND ok|short.  The bounds are letter 1's: 7.1
 * million tokens and 29,000 requests a second over 340 hosts on one core,
 * of which tokens may take 40 us each and requests 1,900 us each.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "policy/node.h"

enum {
    NS_PER_S = 1000000000,
    NS_PER_US = 1000,
    US_PER_MS = 1000,
    TOKENS = 200,
    TEXT_BYTES = 2 << 20,
    TOKEN_BOUND_US = 40,
    SESSION_BOUND_US = 1900,
    CONFIG_CHANGES = 20,
    CONFIG_BOUND_US = 1000000,
};

typedef struct {
    node_t *node;
    action_list_t actions;
    int64_t now_us;
    uint64_t opened; /* streams */
} bench_t;

static char text[TEXT_BYTES];

static int64_t
cpu_ns(void)
{
    struct timespec now;

    (void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (int64_t)now.tv_sec * NS_PER_S + now.tv_nsec;
}

static void
print_figure(const char *name, int size, double value, const char *unit,
             double bound)
{
    if (bound == 0) {
        (void)printf("%s_%d %.4g %s - ok\n", name, size, value, unit);
        return;
    }
    (void)printf("%s_%d %.4g %s %.4g %s\n", name, size, value, unit, bound,
                 value <= bound ? "ok" : "short");
}

static void
step(bench_t *bench, const event_t *event)
{
    actions_reset(&bench->actions);
    node_step(bench->node, bench->now_us, event, &bench->actions);
    for (size_t i = 0; i < bench->actions.count; i++) {
        if (bench->actions.items[i].kind == ACTION_OPEN_STREAM) {
            bench->opened = bench->actions.items[i].action_t_u.open.stream;
        }
    }
}

static void
give_config(bench_t *bench, const char *key, int64_t revision)
{
    event_t event = {.kind = EVENT_CONFIG};
    config_t *config = &event.event_t_u.config;

    config->key = (char *)(uintptr_t)key;
    config->revision = revision;
    config->text.text_val = text;
    config->text.text_len = (u_int)strlen(text);
    step(bench, &event);
}

static void
give_fleet(bench_t *bench, int runners, int organisations, int64_t revision)
{
    size_t used = 0;

    for (int i = 0; i < runners; i++) {
        used += (size_t)snprintf(
            text + used, sizeof(text) - used,
            "[[runner]]\nname = \"r%d\"\naddress = \"127.%d.%d.1:9000\"\n"
            "zone = \"z%d\"\nkind = \"engine\"\nmodels = [\"m%d\"]\n"
            "streams_max = 4096\n",
            i, i / 250, i % 250, i % 13, i % 4);
    }
    for (int i = 0; i < organisations; i++) {
        used += (size_t)snprintf(text + used, sizeof(text) - used,
                                 "[[organisation]]\nname = \"o%d\"\n"
                                 "key_sha256 = [\"%064x\"]\n",
                                 i, i + 1);
    }
    give_config(bench, "/agatevale/fleet", revision);
}

static void
give_service(bench_t *bench, int organisations)
{
    size_t used = (size_t)snprintf(
        text, sizeof(text),
        "service = \"s\"\nteam = \"t\"\nweighs = \"resume-latency\"\n");

    for (int i = 0; i < 4; i++) {
        used += (size_t)snprintf(text + used, sizeof(text) - used,
                                 "[[model]]\nname = \"model%d\"\n"
                                 "version = \"m%d\"\n",
                                 i, i);
    }
    for (int i = 0; i < organisations; i++) {
        used += (size_t)snprintf(text + used, sizeof(text) - used,
                                 "[[organisation]]\nname = \"o%d\"\n"
                                 "weight = 1\n",
                                 i);
    }
    (void)snprintf(text + used, sizeof(text) - used,
                   "[[kind]]\nname = \"k\"\nurgency = \"normal\"\n"
                   "idempotent = true\n");
    give_config(bench, "/agatevale/services/s", 2);
}

static void
start(bench_t *bench, int runners, int organisations)
{
    event_t event = {.kind = EVENT_START};
    start_event_t *begin = &event.event_t_u.start;

    memset(bench, 0, sizeof(*bench));
    bench->node = node_new();
    bench->now_us = US_PER_MS;
    begin->host = (char *)"a1";
    begin->zone = (char *)"z1";
    begin->address = (char *)"127.0.0.1:1";
    begin->incarnation = 1;
    begin->sessions_max = 100000;
    begin->queue_wait_ms = 1000;
    begin->silence_floor_ms = 1000000;
    begin->silence_ceiling_ms = 1000000;
    begin->prefill_limit_ms = 1000000;
    begin->orphan_grace_ms = 1000;
    step(bench, &event);
    give_fleet(bench, runners, organisations, 1);
    give_service(bench, organisations);
    event.kind = EVENT_CONFIG_READ;
    step(bench, &event);
}

static void
stop(bench_t *bench)
{
    actions_free(&bench->actions);
    node_free(bench->node);
}

/* A request of some organisation; returns the stream opened for it. */
static uint64_t
request(bench_t *bench, uint64_t number, int organisations)
{
    event_t event = {.kind = EVENT_REQUEST};
    request_event_t *ask = &event.event_t_u.request;
    char credential[65];
    char key[32];
    uint64_t hashes[4] = {number, number + 1, number + 2, number + 3};

    (void)snprintf(credential, sizeof(credential), "%064x",
                   (int)(number % (uint64_t)organisations) + 1);
    (void)snprintf(key, sizeof(key), "k%llu", (unsigned long long)number);
    ask->caller = number;
    ask->credential = credential;
    ask->key = key;
    ask->model = (char *)"model1";
    ask->request_kind = (char *)"";
    ask->location.runner = (char *)"";
    ask->location.stream_name = (char *)"";
    ask->stream = true;
    ask->max_tokens = TOKENS * 2;
    ask->fingerprint = number;
    ask->prefix_hashes.prefix_hashes_len = 4;
    ask->prefix_hashes.prefix_hashes_val = hashes;
    step(bench, &event);
    return bench->opened;
}

static void
chunk(bench_t *bench, uint64_t stream, uint32_t position,
      finish_reason_t finish)
{
    static uint32_t prompt[64];
    uint32_t id = position;
    event_t event = {.kind = EVENT_CHUNK};
    chunk_event_t *given = &event.event_t_u.chunk;

    given->stream = stream;
    given->position = position;
    if (position == 0) {
        given->prompt_ids.prompt_ids_val = prompt;
        given->prompt_ids.prompt_ids_len = 64;
    }
    given->token_ids.token_ids_val = &id;
    given->token_ids.token_ids_len = 1;
    given->text.text_val = (char *)" word";
    given->text.text_len = 5;
    given->finish = finish;
    step(bench, &event);
}

/* Tokens of many sessions in turn, and what a session holds. */
static void
bench_tokens(int sessions)
{
    uint64_t *streams = xcalloc((size_t)sessions, sizeof(*streams));
    bench_t bench;
    size_t before;
    int64_t began_ns;

    start(&bench, 40, 10);
    before = mallinfo2().uordblks;
    for (int i = 0; i < sessions; i++) {
        streams[i] = request(&bench, (uint64_t)i + 1, 10);
    }
    began_ns = cpu_ns();
    for (uint32_t position = 0; position < TOKENS; position++) {
        bench.now_us += 40 * US_PER_MS;
        for (int i = 0; i < sessions; i++) {
            chunk(&bench, streams[i], position, FINISH_NONE);
        }
    }
    print_figure("node_token_cpu", sessions,
                 (double)(cpu_ns() - began_ns) / NS_PER_US / sessions / TOKENS,
                 "us", TOKEN_BOUND_US);
    print_figure("node_session_memory_200_tokens", sessions,
                 (double)(mallinfo2().uordblks - before) / sessions, "bytes",
                 0);
    stop(&bench);
    free(streams);
}

/* Whole sessions of one token, against runners and organisations. */
static void
bench_sessions(const char *name, int size, int runners, int organisations)
{
    enum { SESSIONS = 4000 };
    bench_t bench;
    int64_t began_ns;

    start(&bench, runners, organisations);
    began_ns = cpu_ns();
    for (uint64_t i = 1; i <= SESSIONS; i++) {
        uint64_t stream = request(&bench, i, organisations);

        bench.now_us += US_PER_MS;
        chunk(&bench, stream, 0, FINISH_STOP);
    }
    print_figure(name, size,
                 (double)(cpu_ns() - began_ns) / NS_PER_US / SESSIONS, "us",
                 SESSION_BOUND_US);
    stop(&bench);
}

/* Changes of the operators' document, the largest one there is. */
static void
bench_config(int runners)
{
    bench_t bench;
    size_t before = mallinfo2().uordblks;
    int64_t began_ns;

    start(&bench, runners, 1200);
    print_figure("node_config_memory", runners,
                 (double)(mallinfo2().uordblks - before), "bytes", 0);
    began_ns = cpu_ns();
    for (int i = 0; i < CONFIG_CHANGES; i++) {
        give_fleet(&bench, runners, 1200, i + 10);
    }
    print_figure("node_config_change_cpu", runners,
                 (double)(cpu_ns() - began_ns) / NS_PER_US / CONFIG_CHANGES,
                 "us", CONFIG_BOUND_US);
    stop(&bench);
}

int
main(void)
{
    static const int sessions[] = {100, 300, 1000, 3000};
    static const int runners[] = {10, 100, 500, 1800};
    static const int organisations[] = {10, 100, 400, 1200};

    for (size_t i = 0; i < sizeof(sessions) / sizeof(sessions[0]); i++) {
        bench_tokens(sessions[i]);
    }
    for (size_t i = 0; i < sizeof(runners) / sizeof(runners[0]); i++) {
        bench_sessions("node_session_cpu_by_runners", runners[i], runners[i],
                       10);
    }
    for (size_t i = 0; i < sizeof(organisations) / sizeof(organisations[0]);
         i++) {
        bench_sessions("node_session_cpu_by_organisations", organisations[i],
                       40, organisations[i]);
    }
    for (size_t i = 0; i < sizeof(runners) / sizeof(runners[0]); i++) {
        bench_config(runners[i]);
    }
    return EXIT_SUCCESS;
}
