/*
 * test_peering.c - tests what a host sends to the other hosts about its
 * streams.
 */
#include <signal.h>
#include <string.h>

#include <check.h>

#include "base/arena.h"
#include "gateway/gateway.h"
#include "regress/fixture.h"
#include "regress/gateway_host.h"
#include "regress/turn.h"

enum {
    HOSTS = 60,
    BROADCASTS = 100,
    INTERVAL_MS = 10,
    /* A quarter of a link of 10 Mbit/s, and some broadcasts at once. */
    BYTES_PER_MS_MAX = 312,
    BYTES_AT_ONCE = 65536,
};

/* Takes the place of all other hosts. */
typedef struct {
    uv_udp_t socket;
    char buffer[65536];
    uint64_t bytes;
} other_hosts_t;

static void
on_room(uv_handle_t *handle, size_t hint, uv_buf_t *buf)
{
    other_hosts_t *others = handle->data;

    *buf = uv_buf_init(others->buffer, sizeof(others->buffer));
}

static void
on_datagram(uv_udp_t *socket, ssize_t count, const uv_buf_t *buf,
            const struct sockaddr *from, unsigned flags)
{
    other_hosts_t *others = socket->data;

    others->bytes += count > 0 ? (uint64_t)count : 0;
}

static void
start_other_hosts(gateway_host_t *host, other_hosts_t *others)
{
    struct sockaddr_in address;
    /* Zones of three get reports directly, and their hashes leave this host,
     * in zone a, among the watchers of the store. */
    static const int zones[] = {1,  2,  3,  4,  6,  7,  8,  9,  10, 11,
                                13, 14, 16, 17, 18, 19, 20, 21, 22, 23};
    int size = sizeof(address);
    arena_t arena = {0};
    int i;

    (void)uv_udp_init(&host->fixture.loop, &others->socket);
    others->socket.data = others;
    others->bytes = 0;
    (void)uv_ip4_addr("127.0.0.1", 0, &address);
    ck_assert_int_eq(
        uv_udp_bind(&others->socket, (const struct sockaddr *)&address, 0), 0);
    (void)uv_udp_getsockname(&others->socket, (struct sockaddr *)&address,
                             &size);
    (void)uv_udp_recv_start(&others->socket, on_room, on_datagram);
    for (i = 0; i < HOSTS; i++) {
        gateway_host_put(host, arena_printf(&arena, "agatevale/hosts/o%d", i),
                         arena_printf(&arena, "127.0.0.1:1 127.0.0.1:%d z%d",
                                      ntohs(address.sin_port), zones[i / 3]));
    }
    arena_free(&arena);
}

static void
start_stream(gateway_host_t *host, raw_caller_t *caller)
{
    raw_caller_send(caller, "GET /stream/p HTTP/1.1\r\nHost: host.example\r\n"
                            "Authorization: Bearer k1\r\n\r\n");
    while (canned_requests(host->runners[0]) == 0) {
        loop_turn(&host->fixture.loop);
    }
}

START_TEST(test_changing_streams_fill_the_link)
{
    static const canned_reply_t silence = {.bytes = ""};
    static other_hosts_t others;
    gateway_host_t host;
    raw_caller_t *caller;
    uint64_t started_ms;
    uint64_t elapsed_ms;
    int i;

    gateway_host_open(&host);
    gateway_host_runner(&host, "engine-1", "engine", "a", &silence, 1);
    start_other_hosts(&host, &others);
    gateway_host_settle(&host);
    caller = raw_caller_new(&host, host.listen_address);
    start_stream(&host, caller);
    started_ms = uv_now(&host.fixture.loop);
    for (i = 0; i < BROADCASTS; i++) {
        uint64_t now_ms = uv_now(&host.fixture.loop);

        peering_schedule_broadcast(host.gateway.peering);
        while (uv_now(&host.fixture.loop) < now_ms + INTERVAL_MS) {
            loop_turn(&host.fixture.loop);
        }
    }
    elapsed_ms = uv_now(&host.fixture.loop) - started_ms;
    ck_assert_uint_gt(others.bytes, 0);
    ck_assert_msg(others.bytes <=
                      elapsed_ms * BYTES_PER_MS_MAX + BYTES_AT_ONCE,
                  "%llu bytes in %llu ms", (unsigned long long)others.bytes,
                  (unsigned long long)elapsed_ms);
    raw_caller_free(caller);
    uv_close((uv_handle_t *)&others.socket, NULL);
    gateway_host_close(&host);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("peering");

    (void)signal(SIGPIPE, SIG_IGN); /* as the daemon does */
    tcase_add_test(tcase, test_changing_streams_fill_the_link);
    return fixture_main("peering", tcase);
}
