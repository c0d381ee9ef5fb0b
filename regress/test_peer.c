/* test_peer.c - two hosts in one event loop exchange messages. */
#include <arpa/inet.h>
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peer/peer.h"
#include "peer/wire.h"
#include "regress/turn.h"

enum { KEY_BYTES = 32, WAIT_MS = 20000, TEXT_BYTES = 600000 };

typedef struct {
    peer_listener_t base;
    uint64_t heartbeats;
    uint64_t configs;
    uint64_t lost;
    int64_t revision;
    u_int text_len;
    bool ordered;
} host_t;

static uv_loop_t loop;
static const uint8_t key_a[KEY_BYTES] = {1, 2, 3};
static const uint8_t key_b[KEY_BYTES] = {9, 9, 9};

static void
on_message(peer_listener_t *listener, const char *from,
           const message_t *message)
{
    host_t *host = (host_t *)listener;
    const config_t *config = &message->message_t_u.config;

    ck_assert_str_eq(from, "one");
    if (message->kind == MESSAGE_HEARTBEAT) {
        host->heartbeats++;
        return;
    }
    ck_assert_int_eq(message->kind, MESSAGE_CONFIG);
    host->ordered = host->ordered && config->revision > host->revision;
    host->revision = config->revision;
    host->text_len = config->text.text_len;
    host->configs++;
}

static void
on_lost(peer_listener_t *listener, const char *host)
{
    ((host_t *)listener)->lost++;
}

static const peer_listener_ops_t ops = {on_message, on_lost};

static peer_t *
open_peer(host_t *host, const char *name, uint64_t incarnation,
          const uint8_t *key, uint16_t port)
{
    char address[32];
    peer_settings_t settings = {0};
    err_t err;
    peer_t *peer;

    memset(host, 0, sizeof(*host));
    host->base.ops = &ops;
    host->ordered = true;
    (void)snprintf(address, sizeof(address), "127.0.0.1:%u", port);
    settings.host = name;
    settings.listen_address = address;
    settings.incarnation = incarnation;
    settings.key = key;
    settings.key_bytes = key == NULL ? 0 : KEY_BYTES;
    settings.call_timeout_ms = 1000;
    settings.record_bytes_max = 1 << 20;
    settings.queue_bytes_max = 2 << 20;
    peer = peer_new(&loop, &settings, &host->base, &err);
    ck_assert_msg(peer != NULL, "%s", err.message);
    return peer;
}

static int
send_message(peer_t *from, const char *host, uint16_t port,
             message_kind_t kind, int64_t revision, u_int text_bytes)
{
    static char text[TEXT_BYTES * 2];
    char address[32];
    message_t message = {.kind = kind};
    heartbeat_t *heartbeat = &message.message_t_u.heartbeat;
    config_t *config = &message.message_t_u.config;

    (void)snprintf(address, sizeof(address), "127.0.0.1:%u", port);
    if (kind == MESSAGE_HEARTBEAT) {
        heartbeat->zone = "";
        heartbeat->address = "";
        heartbeat->peer_address = "";
    }
    else {
        config->key = "k";
        config->revision = revision;
        config->text.text_len = text_bytes;
        config->text.text_val = text;
    }
    return peer_send(from, host, address, &message, NULL);
}

/* Runs the loop once.  Returns false after the deadline. */
static bool
run_loop_once(uint64_t end_ms)
{
    loop_turn(&loop);
    return uv_now(&loop) <= end_ms;
}

/* Runs the loop until *counter >= wanted.  Returns false on a timeout. */
static bool
run_until(const uint64_t *counter, uint64_t wanted)
{
    uint64_t end_ms;

    uv_update_time(&loop);
    end_ms = uv_now(&loop) + WAIT_MS;
    while (*counter < wanted) {
        if (!run_loop_once(end_ms)) {
            return false;
        }
    }
    return true;
}

static void
close_loop(peer_t *one, peer_t *two)
{
    peer_free(one);
    peer_free(two);
    (void)uv_run(&loop, UV_RUN_DEFAULT);
    ck_assert_int_eq(uv_loop_close(&loop), 0);
}

START_TEST(test_messages_arrive_in_order)
{
    host_t a;
    host_t b;
    peer_t *one;
    peer_t *two;
    int64_t i;

    ck_assert_int_eq(uv_loop_init(&loop), 0);
    one = open_peer(&a, "one", 1, key_a, 0);
    two = open_peer(&b, "two", 1, key_a, 0);
    for (i = 1; i <= 50; i++) {
        ck_assert_int_eq(send_message(one, "two", peer_bound_port(two),
                                      MESSAGE_CONFIG, i, (u_int)i * 100),
                         0);
        ck_assert_int_eq(send_message(one, "two", peer_bound_port(two),
                                      MESSAGE_HEARTBEAT, 0, 0),
                         0);
    }
    ck_assert(run_until(&peer_counters(one)->calls_acknowledged, 100));
    ck_assert_uint_eq(b.configs, 50);
    ck_assert_uint_eq(b.heartbeats, 50);
    ck_assert(b.ordered);
    ck_assert_int_eq(send_message(one, "two", peer_bound_port(two),
                                  MESSAGE_CONFIG, 51, TEXT_BYTES),
                     0);
    ck_assert(run_until(&peer_counters(one)->calls_acknowledged, 101));
    ck_assert_uint_eq(b.text_len, TEXT_BYTES);
    close_loop(one, two);
}
END_TEST

/* One message exceeds the record limit; later ones fill the queue. */
START_TEST(test_oversized_message_and_full_queue_are_refused)
{
    host_t a;
    host_t b;
    peer_t *one;
    peer_t *two;

    ck_assert_int_eq(uv_loop_init(&loop), 0);
    one = open_peer(&a, "one", 1, key_a, 0);
    two = open_peer(&b, "two", 1, key_a, 0);
    ck_assert_int_lt(send_message(one, "two", peer_bound_port(two),
                                  MESSAGE_CONFIG, 1, 1 << 20),
                     0);
    ck_assert_uint_eq(peer_counters(one)->oversized, 1);
    for (int64_t i = 1; i <= 3; i++) {
        ck_assert_int_eq(send_message(one, "two", peer_bound_port(two),
                                      MESSAGE_CONFIG, i, TEXT_BYTES),
                         0);
    }
    ck_assert_int_lt(send_message(one, "two", peer_bound_port(two),
                                  MESSAGE_CONFIG, 4, TEXT_BYTES),
                     0);
    ck_assert_uint_eq(peer_counters(one)->queue_full, 1);
    ck_assert(run_until(&peer_counters(one)->calls_acknowledged, 3));
    close_loop(one, two);
}
END_TEST

/* The other host stops, its loss is reported, and it restarts on its port. */
START_TEST(test_link_reconnects_to_restarted_host)
{
    host_t a;
    host_t b;
    peer_t *one;
    peer_t *two;
    uint16_t port;

    ck_assert_int_eq(uv_loop_init(&loop), 0);
    one = open_peer(&a, "one", 1, key_a, 0);
    two = open_peer(&b, "two", 1, key_a, 0);
    port = peer_bound_port(two);
    (void)send_message(one, "two", port, MESSAGE_CONFIG, 1, 10);
    ck_assert(run_until(&b.configs, 1));
    peer_free(two);
    ck_assert(run_until(&a.lost, 1));
    (void)send_message(one, "two", port, MESSAGE_CONFIG, 2, 10);
    ck_assert(run_until(&peer_counters(one)->connect_failures, 1));
    two = open_peer(&b, "two", 2, key_a, port);
    (void)send_message(one, "two", port, MESSAGE_CONFIG, 3, 10);
    ck_assert(run_until(&b.configs, 1));
    ck_assert(b.ordered);
    close_loop(one, two);
}
END_TEST

typedef struct {
    const char *what;
    const uint8_t *key;
    const char *to;
    peer_channel_t channel;
    uint64_t incarnation;
    uint64_t sequence;
    size_t flipped_byte; /* index of the byte to corrupt; 0: none */
    uint64_t received;
    uint64_t bad_tags;
    uint64_t replays;
    uint64_t malformed;
} call_case_t;

/* Sent to one receiver in this order; the counters are cumulative. */
static const call_case_t call_cases[] = {
    {"a valid call", key_a, "two", PEER_STREAM, 7, 10, 0, 1, 0, 0, 0},
    {"the same call replayed", key_a, "two", PEER_STREAM, 7, 10, 0, 1, 0, 1,
     0},
    {"an older sequence number", key_a, "two", PEER_STREAM, 7, 9, 0, 1, 0, 2,
     0},
    {"an older incarnation", key_a, "two", PEER_STREAM, 6, 99, 0, 1, 0, 3, 0},
    {"a tag made with another key", key_b, "two", PEER_STREAM, 7, 11, 0, 1, 1,
     3, 0},
    {"a corrupted sender name", key_a, "two", PEER_STREAM, 7, 12, 50, 1, 2, 3,
     0},
    {"a corrupted message", key_a, "two", PEER_STREAM, 7, 12, 104, 1, 3, 3, 0},
    {"a call to another host", key_a, "six", PEER_STREAM, 7, 13, 0, 1, 3, 3,
     1},
    {"a datagram call on a stream", key_a, "two", PEER_DATAGRAM, 7, 14, 0, 1,
     3, 3, 2},
    {"the next sequence number", key_a, "two", PEER_STREAM, 7, 15, 0, 2, 3, 3,
     2},
    {"a newer incarnation", key_a, "two", PEER_STREAM, 8, 1, 0, 3, 3, 3, 2},
};

static int
connect_and_write(uint16_t port, const void *bytes, size_t count)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ck_assert_int_eq(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                     0);
    ck_assert_int_eq(write(fd, bytes, count), (ssize_t)count);
    return fd;
}

static uint64_t
inputs_counted(const peer_counters_t *counters)
{
    return counters->calls_received + counters->bad_tags + counters->replays +
           counters->malformed + counters->oversized;
}

START_TEST(test_forged_and_replayed_calls_are_dropped)
{
    host_t b;
    peer_t *two;
    const peer_counters_t *counters;
    size_t i;

    ck_assert_int_eq(uv_loop_init(&loop), 0);
    two = open_peer(&b, "two", 1, key_a, 0);
    counters = peer_counters(two);
    for (i = 0; i < sizeof(call_cases) / sizeof(call_cases[0]); i++) {
        const call_case_t *f = &call_cases[i];
        peer_call_t call = {"one",       (char *)f->to, f->incarnation,
                            f->sequence, f->channel,    {.kind = 0}};
        wire_key_t key = {f->key, KEY_BYTES};
        wire_record_t record;
        int fd;

        call.message.kind = MESSAGE_CONFIG;
        call.message.message_t_u.config.key = "k";
        call.message.message_t_u.config.revision = (int64_t)i + 1;
        ck_assert(wire_encode_call(1, &call, key, &record));
        record.bytes[f->flipped_byte] ^= f->flipped_byte == 0 ? 0 : 1;
        fd = connect_and_write(peer_bound_port(two), record.bytes,
                               record.count);
        free(record.bytes);
        while (inputs_counted(counters) < i + 1) {
            loop_turn(&loop);
        }
        (void)close(fd);
        ck_assert_msg(counters->calls_received == f->received &&
                          counters->bad_tags == f->bad_tags &&
                          counters->replays == f->replays &&
                          counters->malformed == f->malformed,
                      "%s: %lu %lu %lu %lu", f->what, counters->calls_received,
                      counters->bad_tags, counters->replays,
                      counters->malformed);
    }
    ck_assert_uint_eq(b.configs, counters->calls_received);
    close_loop(two, NULL);
}
END_TEST

/*
 * Random bytes, oversized record marks and truncated records are counted and
 * do not affect later messages.
 */
START_TEST(test_malformed_records_are_counted)
{
    static const uint8_t huge[] = {0xff, 0xff, 0xff, 0xff, 1, 2, 3};
    uint8_t noise[512];
    host_t a;
    host_t b;
    peer_t *one;
    peer_t *two;
    int fds[101];
    uint64_t seed = 1;
    size_t i;
    size_t j;

    ck_assert_int_eq(uv_loop_init(&loop), 0);
    one = open_peer(&a, "one", 1, key_a, 0);
    two = open_peer(&b, "two", 1, key_a, 0);
    fds[100] = connect_and_write(peer_bound_port(two), huge, sizeof(huge));
    for (i = 0; i < 100; i++) {
        for (j = 0; j < sizeof(noise); j++) {
            seed = seed * 6364136223846793005u + 1442695040888963407u;
            noise[j] = (uint8_t)(seed >> 56);
        }
        noise[0] = 0x80; /* one complete record of 64 bytes */
        noise[1] = 0;
        noise[2] = 0;
        noise[3] = 0x40;
        fds[i] = connect_and_write(peer_bound_port(two), noise, sizeof(noise));
    }
    while (inputs_counted(peer_counters(two)) < 101) {
        loop_turn(&loop);
    }
    ck_assert_uint_eq(peer_counters(two)->oversized, 1);
    ck_assert_uint_eq(peer_counters(two)->calls_received, 0);
    (void)send_message(one, "two", peer_bound_port(two), MESSAGE_CONFIG, 1,
                       10);
    ck_assert(run_until(&b.configs, 1));
    for (i = 0; i < 101; i++) {
        (void)close(fds[i]);
    }
    close_loop(one, two);
}
END_TEST

/* Without a key, only loopback addresses are accepted. */
START_TEST(test_without_key_only_loopback_is_allowed)
{
    peer_settings_t settings = {.host = "one", .listen_address = "0.0.0.0:0"};
    message_t message = {.kind = MESSAGE_SUPERSEDED};
    host_t a;
    err_t err;
    peer_t *one;

    ck_assert_int_eq(uv_loop_init(&loop), 0);
    ck_assert_ptr_null(peer_new(&loop, &settings, NULL, &err));
    ck_assert_ptr_nonnull(strstr(err.message, "name a key file"));
    one = open_peer(&a, "one", 1, NULL, 0);
    ck_assert_int_lt(peer_send(one, "two", "192.0.2.1:1", &message, &err), 0);
    ck_assert_int_eq(err.kind, ERR_SETTINGS);
    ck_assert_int_lt(peer_send(one, "two", "localhost:1", &message, &err), 0);
    ck_assert_int_lt(peer_send(one, "two", "127.0.0.1", &message, &err), 0);
    close_loop(one, NULL);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("peer");
    TCase *cases = tcase_create("peer");
    SRunner *runner;
    int failed;

    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, test_messages_arrive_in_order);
    tcase_add_test(cases, test_oversized_message_and_full_queue_are_refused);
    tcase_add_test(cases, test_link_reconnects_to_restarted_host);
    tcase_add_test(cases, test_forged_and_replayed_calls_are_dropped);
    tcase_add_test(cases, test_malformed_records_are_counted);
    tcase_add_test(cases, test_without_key_only_loopback_is_allowed);
    suite_add_tcase(suite, cases);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_ENV);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? 0 : 1;
}
