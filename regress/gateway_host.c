/* gateway_host.c - see gateway_host.h. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/arena.h"
#include "base/text.h"
#include "platform/platform.h"
#include "regress/gateway_host.h"
#include "regress/turn.h"

enum { WATCH_MS = 200, PRESENCE_S = 3, TURNS_TO_SETTLE = 200 };

struct raw_caller {
    uv_tcp_t socket; /* first: it is closed by it */
    uv_connect_t connect;
    gateway_host_t *host;
    text_t came;
    bool connected;
    bool ended;
};

static const char routing_text[] =
    "{\"Version\":1,\"Routes\":["
    "{\"Name\":\"a\",\"Host\":\"host.example\",\"PathPrefix\":\"/stream/\","
    "\"Type\":\"streaming\",\"TimeoutMs\":25000,\"Service\":\"engine\","
    "\"MaxAttempts\":5,\"Resumable\":true},"
    "{\"Name\":\"b\",\"Host\":\"host.example\",\"PathPrefix\":\"/unsafe/\","
    "\"Type\":\"unsafe\",\"TimeoutMs\":5000,\"Service\":\"plain\","
    "\"MaxAttempts\":1},"
    "{\"Name\":\"c\",\"Host\":\"host.example\",\"PathPrefix\":\"/safe/\","
    "\"Type\":\"safe\",\"TimeoutMs\":5000,\"Service\":\"plain\","
    "\"MaxAttempts\":2}],"
    "\"Services\":[{\"Name\":\"engine\",\"Engine\":{\"Backups\":true}},"
    "{\"Name\":\"plain\"}],"
    "\"Tenants\":[{\"Name\":\"o1\",\"ApiKeys\":[\"k1\"]}]}";

static void reserve_addresses(gateway_host_t *host);
static int reserve_address(char *text, size_t size);
static void release_addresses(gateway_host_t *host);
static void on_found(void *context, kv_result_t result, int64_t revision,
                     const kv_pair_t *pairs, size_t count);
static void on_put(void *context, kv_result_t result, int64_t revision,
                   const kv_swap_result_t *answers, size_t count);
static void on_connected(uv_connect_t *connect, int status);
static void on_room(uv_handle_t *handle, size_t hint, uv_buf_t *buf);
static void on_read(uv_stream_t *stream, ssize_t got, const uv_buf_t *buf);
static void on_written(uv_write_t *write, int status);

void
gateway_host_open(gateway_host_t *host)
{
    gateway_host_open_limited(host, 0, 0);
}

void
gateway_host_open_limited(gateway_host_t *host, uint32_t memory_mb,
                          uint32_t descriptors_max)
{
    err_t err;

    memset(host, 0, sizeof(*host));
    fixture_open(&host->fixture);
    reserve_addresses(host);
    host->settings = (gateway_settings_t){
        .host = "h1",
        .zone = "a",
        .listen_address = host->listen_address,
        .readiness_address = host->readiness_address,
        .lookup_address = host->lookup_address,
        .metrics_address = host->metrics_address,
        .peer_address = host->peer_address,
        .watch_ms = WATCH_MS,
        .presence_s = PRESENCE_S,
        .memory_mb = memory_mb,
        .descriptors_max = descriptors_max,
        .limits = {.registry_ms = 2000,
                   .grace_ms = 3000,
                   .drain_ms = 100,
                   .retry_ratio_permille = 800,
                   .retry_fixed_permille = 150000,
                   .retry_window_ms = 10000,
                   .address_ttl_s = 2},
    };
    host->gateway.loop = &host->fixture.loop;
    host->gateway.settings = &host->settings;
    host->gateway.dialect = platform_dialect();
    host->gateway.client = http_client_new(&host->fixture.loop);
    host->gateway.kv = kv_memory_new(&host->fixture.loop);
    ck_assert_msg(gateway_open(&host->gateway, &err) == 0, "%s", err.message);
    gateway_host_put(host, "op/config", routing_text);
    gateway_host_put(host, peering_key_name(), GATEWAY_HOST_PEER_KEY);
    gateway_start(&host->gateway);
}

void
gateway_host_close(gateway_host_t *host)
{
    size_t i;

    gateway_close(&host->gateway);
    for (i = 0; i < host->runner_count; i++) {
        canned_free(host->runners[i]);
    }
    fixture_close(&host->fixture);
    release_addresses(host);
}

void
gateway_host_runner(gateway_host_t *host, const char *id, const char *service,
                    const char *zone, const canned_reply_t *replies,
                    size_t count)
{
    canned_t *runner = canned_new(&host->fixture.loop, replies, count);
    arena_t arena = {0};

    host->runners[host->runner_count] = runner;
    host->runner_count++;
    gateway_host_put(
        host, arena_printf(&arena, "servers/%s", id),
        arena_printf(&arena,
                     "{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%d\","
                     "\"Zone\":\"%s\",\"BatchSize\":4,\"State\":\"ready\"}",
                     service, canned_port(runner), zone));
    arena_free(&arena);
}

void
gateway_host_put(gateway_host_t *host, const char *key, const char *value)
{
    kv_op_t op = {.verb = KV_PUT,
                  .key = key,
                  .value = value,
                  .value_bytes = strlen(value)};
    kv_swap_t swap = {
        .key = key, .mod_revision = -1, .ops = &op, .op_count = 1};
    bool done = false;

    host->gateway.kv->ops->range(host->gateway.kv, key, false, on_found,
                                 &swap.mod_revision);
    while (swap.mod_revision < 0) {
        loop_turn(&host->fixture.loop);
    }
    host->gateway.kv->ops->swap(host->gateway.kv, &swap, 1, on_put, &done);
    fixture_wait(&host->fixture, &done);
}

/* The store answers in a turn of the loop. */
void
gateway_host_settle(gateway_host_t *host)
{
    int i;

    for (i = 0; i < TURNS_TO_SETTLE; i++) {
        loop_turn(&host->fixture.loop);
    }
}

raw_caller_t *
raw_caller_new(gateway_host_t *host, const char *address)
{
    raw_caller_t *caller = xcalloc(1, sizeof(*caller));
    struct sockaddr_in to;

    caller->host = host;
    (void)uv_ip4_addr("127.0.0.1", atoi(strchr(address, ':') + 1), &to);
    (void)uv_tcp_init(&host->fixture.loop, &caller->socket);
    caller->socket.data = caller;
    caller->connect.data = caller;
    (void)uv_tcp_connect(&caller->connect, &caller->socket,
                         (const struct sockaddr *)&to, on_connected);
    fixture_wait(&host->fixture, &caller->connected);
    return caller;
}

void
raw_caller_send(raw_caller_t *caller, const char *bytes)
{
    uv_write_t *write = xcalloc(1, sizeof(*write));
    uv_buf_t buf =
        uv_buf_init((char *)(uintptr_t)bytes, (unsigned)strlen(bytes));

    (void)uv_write(write, (uv_stream_t *)&caller->socket, &buf, 1, on_written);
}

bool
raw_caller_wait(raw_caller_t *caller, const char *text)
{
    while (strstr(raw_caller_bytes(caller), text) == NULL) {
        if (caller->ended) {
            return false;
        }
        loop_turn(&caller->host->fixture.loop);
    }
    return true;
}

void
raw_caller_wait_end(raw_caller_t *caller)
{
    fixture_wait(&caller->host->fixture, &caller->ended);
}

const char *
raw_caller_bytes(const raw_caller_t *caller)
{
    return caller->came.bytes != NULL ? caller->came.bytes : "";
}

static void
on_caller_closed(uv_handle_t *handle)
{
    raw_caller_t *caller = handle->data;

    text_free(&caller->came);
    free(caller);
}

void
raw_caller_free(raw_caller_t *caller)
{
    uv_close((uv_handle_t *)&caller->socket, on_caller_closed);
}

static void
reserve_addresses(gateway_host_t *host)
{
    char *addresses[GATEWAY_PORTS] = {
        host->listen_address,  host->readiness_address, host->lookup_address,
        host->metrics_address, host->peer_address,
    };
    size_t i;

    for (i = 0; i < GATEWAY_PORTS; i++) {
        host->port_fds[i] =
            reserve_address(addresses[i], sizeof(host->listen_address));
    }
}

/*
 * Returns a socket that is bound to a port of the kernel's choice.  With
 * SO_REUSEADDR another socket can bind and listen there, while the kernel
 * gives the port to no one else.
 */
static int
reserve_address(char *text, size_t size)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t length = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ck_assert_int_eq(bind(fd, (struct sockaddr *)&address, sizeof(address)),
                     0);
    /* Set after bind(): before it, the kernel may choose a port in use. */
    ck_assert_int_eq(
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)), 0);
    ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&address, &length), 0);
    (void)snprintf(text, size, "127.0.0.1:%d", ntohs(address.sin_port));
    return fd;
}

static void
release_addresses(gateway_host_t *host)
{
    size_t i;

    for (i = 0; i < GATEWAY_PORTS; i++) {
        (void)close(host->port_fds[i]);
    }
}

static void
on_found(void *context, kv_result_t result, int64_t revision,
         const kv_pair_t *pairs, size_t count)
{
    int64_t *found = context;

    ck_assert_int_eq(result, KV_OK);
    *found = count > 0 ? pairs[0].mod_revision : 0;
}

static void
on_put(void *context, kv_result_t result, int64_t revision,
       const kv_swap_result_t *answers, size_t count)
{
    ck_assert_int_eq(result, KV_OK);
    ck_assert(answers[0].succeeded);
    *(bool *)context = true;
}

static void
on_connected(uv_connect_t *connect, int status)
{
    raw_caller_t *caller = connect->data;

    ck_assert_int_eq(status, 0);
    caller->connected = true;
    (void)uv_read_start((uv_stream_t *)&caller->socket, on_room, on_read);
}

static void
on_room(uv_handle_t *handle, size_t hint, uv_buf_t *buf)
{
    static char room[65536];

    *buf = uv_buf_init(room, sizeof(room));
}

static void
on_read(uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
    raw_caller_t *caller = stream->data;

    if (got < 0) {
        caller->ended = true;
        (void)uv_read_stop(stream);
        return;
    }
    text_append(&caller->came, buf->base, (size_t)got);
    text_append(&caller->came, "", 1);
    caller->came.length--;
}

static void
on_written(uv_write_t *write, int status)
{
    free(write);
}
