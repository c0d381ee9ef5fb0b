/*
 * bench_peer.c - what hosts cost each other, one line a figure:
 * name value unit bound ok|short ("-" where there is no bound).
 *
 * Messages are counted and timed in the fleet of fleet.h, whose hosts share
 * one process; what sockets add is timed between two peers on loopback.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "agated/position.h"
#include "peer/peer.h"
#include "peer/wire.h"
#include "policy/record_store.h"
#include "regress/fleet.h"

enum {
    SECOND_US = 1000000,
    STEP_US = 10000,
    MEASURE_S = 30,
    WRITES = 20,
    KEYS = 16,
    CALLS = 20000,
    TOKENS_PER_HOST = 20882, /* 7.1 million a second over 340 hosts */
    HOST_BYTES_MAX = 15000,  /* a second, for control */
    PART_TOKENS = 16,
    UNSETTLED_TOKENS = 7, /* 300 ms at 43 ms a token */
};
static const double cpu_percent_max = 2.6;

static void
print(const char *name, uint32_t size, double value, const char *unit,
      double bound)
{
    printf("%s_%u %.4g %s ", name, size, value, unit);
    if (bound == 0) {
        printf("- ok\n");
    }
    else {
        printf("%g %s\n", bound, value <= bound ? "ok" : "short");
    }
    (void)fflush(stdout);
}

static double
cpu_s(void)
{
    struct timespec now;

    (void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static fleet_t *
start_fleet(uint32_t hosts)
{
    fleet_settings_t settings = {0};
    fleet_t *fleet;
    uint32_t i;

    settings.hosts = hosts;
    settings.zones = hosts < 40 ? 3 : 13;
    settings.seed = hosts;
    settings.loss_permille = 10;
    settings.delay_least_us = 500;
    settings.delay_most_us = 20000;
    settings.text_bytes = 4096;
    fleet = fleet_new(&settings);
    for (i = 0; i < hosts; i++) {
        fleet_start(fleet, i);
    }
    fleet_run(fleet, 10 * SECOND_US);
    for (i = 0; i < KEYS; i++) {
        fleet_write(fleet, i);
        fleet_run(fleet, SECOND_US);
    }
    fleet_run(fleet, 10 * SECOND_US);
    return fleet;
}

/* A quiet fleet, with the letter's 4,000 changes a day, rounded up. */
static void
bench_control(fleet_t *fleet)
{
    uint32_t hosts = fleet->settings.hosts;
    uint64_t bytes = 0;
    uint64_t most = 0;
    uint64_t sent = 0;
    uint64_t own;
    double start_s;
    double spent_s;
    uint32_t i;

    for (i = 0; i < hosts; i++) {
        fleet->hosts[i].sent = 0;
        fleet->hosts[i].sent_bytes = 0;
        fleet->hosts[i].received_bytes = 0;
    }
    start_s = cpu_s();
    fleet_write(fleet, 0);
    fleet_run(fleet, MEASURE_S / 2 * SECOND_US);
    fleet_write(fleet, 1);
    fleet_run(fleet, MEASURE_S / 2 * SECOND_US);
    spent_s = cpu_s() - start_s;
    for (i = 0; i < hosts; i++) {
        own = fleet->hosts[i].sent_bytes + fleet->hosts[i].received_bytes;
        most = own > most ? own : most;
        bytes += own;
        sent += fleet->hosts[i].sent;
    }
    print("control_sent_and_received", hosts,
          (double)bytes / hosts / MEASURE_S, "B/s", HOST_BYTES_MAX);
    print("control_sent_and_received_busiest", hosts, (double)most / MEASURE_S,
          "B/s", HOST_BYTES_MAX);
    print("control_messages_sent", hosts, (double)sent / hosts / MEASURE_S,
          "1/s", 0);
    print("control_cpu_without_sockets", hosts,
          100 * spent_s / hosts / MEASURE_S, "%", cpu_percent_max);
}

/* From the write at the store until the last host has it in force. */
static void
bench_configuration(fleet_t *fleet)
{
    int64_t start_us;
    int64_t worst_us = 0;
    int64_t sum_us = 0;
    uint32_t i;

    for (i = 0; i < WRITES; i++) {
        start_us = fleet->now_us;
        fleet_write(fleet, i % KEYS);
        while (fleet_behind(fleet) > 0 &&
               fleet->now_us - start_us < 60 * (int64_t)SECOND_US) {
            fleet_run(fleet, STEP_US);
        }
        sum_us += fleet->now_us - start_us;
        if (fleet->now_us - start_us > worst_us) {
            worst_us = fleet->now_us - start_us;
        }
        fleet_run(fleet, SECOND_US / 3);
    }
    print("configuration_everywhere_mean", fleet->settings.hosts,
          (double)sum_us / WRITES / SECOND_US, "s", 6);
    print("configuration_everywhere_worst", fleet->settings.hosts,
          (double)worst_us / SECOND_US, "s", 6);
}

static double
until_all_see(fleet_t *fleet, uint32_t host, member_state_t state)
{
    int64_t start_us = fleet->now_us;

    while (fleet_unlike_one(fleet, host, state) > 0 &&
           fleet->now_us - start_us < 60 * (int64_t)SECOND_US) {
        fleet_run(fleet, STEP_US);
    }
    return (double)(fleet->now_us - start_us) / SECOND_US;
}

static void
bench_states(fleet_t *fleet)
{
    uint32_t hosts = fleet->settings.hosts;
    double worst_leaving_s = 0;
    double worst_dead_s = 0;
    double spent_s;
    uint32_t i;

    for (i = 0; i < 5; i++) {
        fleet_leave(fleet, i);
        spent_s = until_all_see(fleet, i, MEMBER_LEAVING);
        worst_leaving_s =
            spent_s > worst_leaving_s ? spent_s : worst_leaving_s;
        fleet_stop(fleet, i);
        spent_s = until_all_see(fleet, i, MEMBER_DEAD);
        worst_dead_s = spent_s > worst_dead_s ? spent_s : worst_dead_s;
    }
    print("leaving_known_everywhere_worst", hosts, worst_leaving_s, "s", 2);
    print("death_known_everywhere_worst", hosts, worst_dead_s, "s", 0);
}

/* A zone falls silent at once: how the news of it load the others. */
static void
bench_zone_loss(fleet_t *fleet)
{
    uint32_t hosts = fleet->settings.hosts;
    uint64_t most = 0;
    int64_t start_us = fleet->now_us;
    uint32_t unlike = 1;
    uint32_t i;

    for (i = 0; i < hosts; i++) {
        fleet->hosts[i].sent_bytes = 0;
        fleet->hosts[i].received_bytes = 0;
        if (i % fleet->settings.zones == 1) {
            fleet_stop(fleet, i);
        }
    }
    while (unlike > 0 && fleet->now_us - start_us < 60 * (int64_t)SECOND_US) {
        fleet_run(fleet, 10 * STEP_US);
        unlike = 0;
        for (i = 1; i < hosts; i += fleet->settings.zones) {
            unlike += fleet_unlike_one(fleet, i, MEMBER_DEAD);
        }
    }
    print("zone_loss_known_everywhere", hosts,
          (double)(fleet->now_us - start_us) / SECOND_US, "s", 0);
    if (fleet->now_us < start_us + 15 * (int64_t)SECOND_US) {
        fleet_run(fleet, start_us + 15 * (int64_t)SECOND_US - fleet->now_us);
    }
    for (i = 0; i < hosts; i++) {
        uint64_t own =
            fleet->hosts[i].sent_bytes + fleet->hosts[i].received_bytes;

        most = own > most ? own : most;
    }
    print("zone_loss_sent_and_received_busiest", hosts,
          (double)most * SECOND_US / (double)(fleet->now_us - start_us), "B/s",
          HOST_BYTES_MAX);
}

typedef struct {
    peer_listener_t base;
    uint64_t received;
} counting_t;

static void
on_message(peer_listener_t *listener, const char *from,
           const message_t *message)
{
    ((counting_t *)listener)->received++;
}

static void
on_lost(peer_listener_t *listener, const char *host)
{
}

static const peer_listener_ops_t counting_ops = {on_message, on_lost};

static const uint8_t bench_key[PEER_KEY_BYTES_MIN] = {7};

static peer_t *
open_peer(uv_loop_t *loop, const char *name, counting_t *counting)
{
    peer_settings_t settings = {.host = name,
                                .listen_address = "127.0.0.1:0",
                                .incarnation = 1,
                                .key = bench_key,
                                .key_bytes = sizeof(bench_key)};
    err_t err;
    peer_t *peer = peer_new(loop, &settings, &counting->base, &err);

    if (peer == NULL) {
        (void)fprintf(stderr, "bench_peer: %s\n", err.message);
        exit(1);
    }
    return peer;
}

/* One call, its arrival and its answer: the time of both hosts together. */
static void
bench_sockets(const char *name, const message_t *message)
{
    counting_t counting = {{&counting_ops}, 0};
    char address[32];
    uv_loop_t loop;
    peer_t *one;
    peer_t *two;
    double start_s;
    uint32_t i;

    (void)uv_loop_init(&loop);
    one = open_peer(&loop, "one", &counting);
    two = open_peer(&loop, "two", &counting);
    (void)snprintf(address, sizeof(address), "127.0.0.1:%u",
                   peer_bound_port(two));
    start_s = cpu_s();
    for (i = 0; i < CALLS; i++) {
        (void)peer_send(one, "two", address, message, NULL);
        while (peer_counters(one)->calls_acknowledged < i + 1) {
            (void)uv_run(&loop, UV_RUN_ONCE);
        }
    }
    print(name, CALLS, (cpu_s() - start_s) * 1e9 / CALLS, "ns", 0);
    peer_free(one);
    peer_free(two);
    (void)uv_run(&loop, UV_RUN_DEFAULT);
    (void)uv_loop_close(&loop);
}

static double event_id_bytes(uint32_t tokens);

/* Of a part of a record, with this many tokens of four bytes of text. */
static void
bench_record(uint32_t tokens)
{
    static char text[4 * 256];
    static uint32_t token_ids[256];
    static record_boundary_t boundary_list[256];
    peer_call_t call = {"host-001", "host-002",  1,
                        1,          PEER_STREAM, {.kind = MESSAGE_RECORD}};
    record_t *record = &call.message.message_t_u.record;
    wire_key_t key = {bench_key, sizeof(bench_key)};
    wire_record_t encoded;
    double each;

    record->request.organisation = "organisation-0001";
    record->request.key = "0123456789abcdef0123456789abcdef";
    record->owner = "host-001";
    record->runner = "runner-0001";
    record->stream_name = "0123456789abcdef.1.1";
    record->token_ids.token_ids_len = tokens;
    record->token_ids.token_ids_val = token_ids;
    record->text.text_len = 4 * tokens;
    record->text.text_val = text;
    record->boundary_list.boundary_list_len = tokens;
    record->boundary_list.boundary_list_val = boundary_list;
    if (!wire_encode_call(1, &call, key, &encoded)) {
        exit(1);
    }
    /* With IP and TCP headers, and the answer to it. */
    each = (double)(encoded.count + 52 + 28 + 52) / tokens;
    free(encoded.bytes);
    print("record_part", tokens, (double)encoded.count, "B", 0);
    print("record_token", tokens, each, "B", 0);
    print("record_sent_by_host_at_letter_1", tokens, each * TOKENS_PER_HOST,
          "B/s", 0);
    print("record_and_event_id_token", tokens, each + event_id_bytes(tokens),
          "B", 0);
}

/*
 * Of the ids of events, on average: an id carries the tokens since the last
 * part, and those of a part that may not have arrived yet.
 */
static double
event_id_bytes(uint32_t tokens)
{
    uint32_t ids[256];
    position_t position = {.position = 1000, .attempt = 1};
    position_key_t key;
    text_t out = {0};
    uint32_t i;

    position_key(&key, bench_key, sizeof(bench_key));
    position.location.runner = "runner-0001";
    position.location.stream_name = "0123456789abcdef.1.1";
    for (i = 0; i < 256; i++) {
        ids[i] = i * 500;
    }
    position.tail_ids = ids;
    for (i = 0; i < tokens; i++) {
        position.tail_count = i + UNSETTLED_TOKENS;
        position.tail_from = position.position - position.tail_count;
        position_encode(&key, "0123456789abcdef0123456789abcdef", &position,
                        &out);
    }
    i = (uint32_t)out.length;
    text_free(&out);
    return (double)i / tokens;
}

/* A keeper's memory and time, with sessions of 1,024 tokens in parts. */
static void
bench_keep(uint32_t sessions)
{
    static char text[4 * PART_TOKENS];
    static uint32_t token_ids[PART_TOKENS];
    record_boundary_t boundary_list[PART_TOKENS];
    action_list_t actions = {0};
    record_store_t *keep = record_store_new(SIZE_MAX);
    record_t record = {0};
    char key[32];
    double start_s = cpu_s();
    uint32_t parts = sessions * (1024 / PART_TOKENS);
    uint32_t i;
    uint32_t j;

    record.request.organisation = "organisation-0001";
    record.request.key = key;
    record.owner = "host-001";
    record.runner = "runner-0001";
    record.stream_name = "0123456789abcdef.1.1";
    record.state = RECORD_RUNNING;
    record.token_ids.token_ids_len = PART_TOKENS;
    record.token_ids.token_ids_val = token_ids;
    record.text.text_len = sizeof(text);
    record.text.text_val = text;
    record.boundary_list.boundary_list_len = PART_TOKENS;
    record.boundary_list.boundary_list_val = boundary_list;
    for (i = 0; i < parts; i++) {
        (void)snprintf(key, sizeof(key), "key-%u", i % sessions);
        record.first = i / sessions * PART_TOKENS;
        for (j = 0; j < PART_TOKENS; j++) {
            boundary_list[j].position = record.first + j + 1;
            boundary_list[j].text_bytes = 4 * boundary_list[j].position;
        }
        record_store_update(keep, i, "host-001", &record, &actions);
    }
    print("keep_part_cpu", sessions, (cpu_s() - start_s) * 1e9 / parts, "ns",
          0);
    print("keep_token_memory", sessions,
          (double)record_store_counters(keep)->bytes / sessions / 1024, "B",
          0);
    record_store_free(keep);
    actions_free(&actions);
}

int
main(void)
{
    static const uint32_t sizes[] = {7, 12, 40, 120, 340};
    static const uint32_t parts[] = {8, 16, 32, 64};
    message_t beat = {.kind = MESSAGE_HEARTBEAT};
    message_t told = {.kind = MESSAGE_SUPERSEDED};
    fleet_t *fleet;
    size_t i;

    for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        fleet = start_fleet(sizes[i]);
        bench_control(fleet);
        bench_configuration(fleet);
        bench_states(fleet);
        bench_zone_loss(fleet);
        fleet_free(fleet);
    }
    beat.message_t_u.heartbeat.zone = "zone-1";
    beat.message_t_u.heartbeat.address = "127.0.0.1:8080";
    beat.message_t_u.heartbeat.peer_address = "127.0.0.1:8081";
    told.message_t_u.superseded.request.organisation = "organisation";
    told.message_t_u.superseded.request.key = "key";
    bench_sockets("datagram_call_both_hosts_cpu", &beat);
    bench_sockets("stream_call_both_hosts_cpu", &told);
    for (i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
        bench_record(parts[i]);
    }
    bench_keep(100);
    bench_keep(1000);
    return 0;
}
