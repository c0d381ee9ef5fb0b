/* test_rude_clients.c - a host beside clients that ignore its limits. */
#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "regress/gateway_host.h"

enum {
    MEMORY_MB = 120,
    DESCRIPTORS_MAX = 3075,
/* A quarter of the memory may be held by connections; the process with
 * the code of the test takes 20 MB, growing buffers the rest. */
#ifdef __SANITIZE_ADDRESS__
    /* ASan's own memory: a process at rest takes 33 MB instead of 8 MB. */
    PEAK_MAX_KB = (72 + 25) << 10,
#else
    PEAK_MAX_KB = 72 << 10,
#endif
    BODY_BYTES = 4 << 20,
    PIECE_BYTES = 16 << 10,
    CLIENTS = 100,
    /* More than connections_max, which is 404 by the memory. */
    CROWD = 600,
    PLAY_MS = 2000,
    /* Senders below the minimum rate are closed after 4 s. */
    PLAY_SLOW_MS = 6000,
    TURN_MS = 1,
    PROBE_INTERVAL_MS = 100,
    /* The specification's bound for the readiness check. */
    READY_TIMEOUT_MS = 1000,
    /* Generous: most time goes to other processes of the machine. */
    ORDINARY_TIMEOUT_MS = 3000,
    CLOSE_TIMEOUT_MS = 10000,
    DESCRIPTORS_SLACK = 8,
    UNIT_MAX_BYTES = PIECE_BYTES + 16,
    US_PER_MS = 1000,
    MS_PER_S = 1000,
    NS_PER_MS = 1000000,
};

/* Freed memory that ASan holds back would count as the host's. */
#ifdef __SANITIZE_ADDRESS__
#include <sanitizer/asan_interface.h>

const char *
__asan_default_options(void)
{
    return "quarantine_size_mb=0:thread_local_quarantine_size_kb=0";
}
#endif

#define HEAD(method, path)                                                    \
    method " " path " HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: q1\r\n"   \
           "Authorization: Bearer k1\r\n"
#define SHORT_BODY(path) HEAD("POST", path) "Content-Length: 4194304\r\n\r\n"
#define CHUNKED_BODY(path)                                                    \
    HEAD("POST", path) "Transfer-Encoding: chunked\r\n\r\n"

typedef enum { CALLERS, READINESS, LOOKUP, METRICS, LISTENERS } listener_t;

typedef struct {
    pid_t pid;
    uint16_t ports[LISTENERS];
} process_t;

/* Sends head, then unit until count bytes have followed it. */
typedef struct {
    const char *name;
    listener_t listener;
    const char *head;
    const char *unit; /* NULL: a piece of a body */
    size_t count_bytes;
    size_t step_bytes;  /* at once */
    uint32_t pause_ms;  /* between steps */
    const char *metric; /* reason that must be counted; NULL: none */
    uint32_t clients;   /* at most CROWD */
} kind_t;

static const kind_t kinds[] = {
    {"bodies one byte short, route", CALLERS, SHORT_BODY("/safe/x"), NULL,
     BODY_BYTES - 1, BODY_BYTES, 0, "memory", CLIENTS},
    {"bodies one byte short, no route", CALLERS, SHORT_BODY("/none"), NULL,
     BODY_BYTES - 1, BODY_BYTES, 0, "memory", CLIENTS},
    {"bodies one byte short, readiness", READINESS, SHORT_BODY("/v1/readyz"),
     NULL, BODY_BYTES - 1, BODY_BYTES, 0, "service-size", CLIENTS},
    {"bodies one byte short, look-up", LOOKUP, SHORT_BODY("/none"), NULL,
     BODY_BYTES - 1, BODY_BYTES, 0, "service-size", CLIENTS},
    {"bodies one byte short, metrics", METRICS, SHORT_BODY("/metrics"), NULL,
     BODY_BYTES - 1, BODY_BYTES, 0, "service-size", CLIENTS},
    {"small pieces", CALLERS, SHORT_BODY("/safe/x"), NULL, BODY_BYTES - 1,
     PIECE_BYTES, 10, NULL, CLIENTS},
    {"chunks without an end", CALLERS, CHUNKED_BODY("/safe/x"), "chunk",
     BODY_BYTES - PIECE_BYTES, BODY_BYTES, 0, "memory", CLIENTS},
    {"whole bodies, no route", CALLERS, SHORT_BODY("/none"), NULL, BODY_BYTES,
     BODY_BYTES, 0, NULL, CLIENTS},
    {"bodies over the limit", CALLERS,
     HEAD("POST", "/safe/x") "Content-Length: 67108864\r\n\r\n", NULL,
     16 * BODY_BYTES, BODY_BYTES, 0, NULL, CLIENTS},
    {"many short fields", CALLERS, HEAD("GET", "/safe/x"), "a:b\r\n", 16000,
     16000, 0, NULL, CLIENTS},
    {"fields without an end", CALLERS, HEAD("GET", "/safe/x"), "a:b\r\n",
     BODY_BYTES, BODY_BYTES, 0, NULL, CLIENTS},
    {"pipelining without reading", CALLERS, HEAD("GET", "/none") "\r\n",
     HEAD("GET", "/none") "\r\n", BODY_BYTES, BODY_BYTES, 0, NULL, CLIENTS},
    {"a byte at a time", CALLERS, "G",
     "ET /safe/xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx", 1000,
     1, 200, "slow-sender", CLIENTS},
    {"connections that send nothing", CALLERS, "", "", 0, 1, 0, "connections",
     CROWD},
    {"heads without an end", CALLERS, HEAD("GET", "/safe/x"), "", 0, 1000, 0,
     "connections", CROWD},
};

typedef struct {
    int fd; /* -1: closed */
    size_t sent_bytes;
    int64_t next_ms;
} client_t;

static process_t start_process(uint32_t memory_mb);
static void run_process(int out, uint32_t memory_mb);
static void stop_process(process_t *process);
static int connect_to(uint16_t port);
static void play(const kind_t *kind, client_t *clients, uint32_t count,
                 int64_t now_ms);
static void exchange(uint16_t port, const char *request, const char *expected,
                     int timeout_ms, text_t *received);
static uint32_t count_descriptors(pid_t pid);
static uint32_t peak_kb(pid_t pid);
static int64_t now_in_ms(void);

START_TEST(host_serves_beside_rude_clients)
{
    const kind_t *kind = &kinds[_i];
    process_t process = start_process(MEMORY_MB);
    uint32_t descriptors = count_descriptors(process.pid);
    uint32_t count = kind->clients;
    client_t clients[CROWD];
    bool slow = kind->pause_ms > 0;
    int64_t start_ms = now_in_ms();
    int64_t end_ms = start_ms + (slow ? PLAY_SLOW_MS : PLAY_MS);
    int64_t probe_ms = start_ms;
    int64_t now_ms;
    text_t received = {0};
    size_t i;

    for (i = 0; i < count; i++) {
        clients[i] =
            (client_t){.fd = connect_to(process.ports[kind->listener])};
    }
    while ((now_ms = now_in_ms()) < end_ms) {
        play(kind, clients, count, now_ms);
        (void)usleep(TURN_MS * US_PER_MS);
        if (now_ms >= probe_ms) {
            probe_ms = now_ms + PROBE_INTERVAL_MS;
            exchange(process.ports[READINESS],
                     "GET /v1/readyz HTTP/1.1\r\nHost: a\r\n"
                     "Connection: close\r\n\r\n",
                     "200 ", READY_TIMEOUT_MS, NULL);
            exchange(process.ports[CALLERS],
                     HEAD("GET", "/safe/y") "Connection: close\r\n\r\n",
                     "hello", ORDINARY_TIMEOUT_MS, NULL);
        }
    }
    exchange(process.ports[METRICS],
             "GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
             "agatevale_", READY_TIMEOUT_MS, &received);
    ck_assert_msg(kind->metric == NULL ||
                      strstr(received.bytes, kind->metric) != NULL,
                  "%s: not counted: %s", kind->name, received.bytes);
    text_free(&received);
    for (i = 0; i < count; i++) {
        if (clients[i].fd >= 0) {
            (void)close(clients[i].fd);
        }
    }
    /* A turn of many clients may take seconds beyond the planned end. */
    end_ms = now_in_ms();
    while (count_descriptors(process.pid) > descriptors + DESCRIPTORS_SLACK) {
        ck_assert_msg(now_in_ms() < end_ms + CLOSE_TIMEOUT_MS,
                      "%s: %u descriptors stay open", kind->name,
                      count_descriptors(process.pid));
        (void)usleep(PROBE_INTERVAL_MS * US_PER_MS);
    }
    printf("%s: peak %u KB\n", kind->name, peak_kb(process.pid));
    ck_assert_msg(peak_kb(process.pid) < PEAK_MAX_KB, "%s: peak %u KB",
                  kind->name, peak_kb(process.pid));
    stop_process(&process);
}

typedef struct {
    const char *path;
    size_t body_bytes;
    const char *expected;
} legal_case_t;

/* Guards against refusals of legal requests while nothing else is held.  The
 * stand-in for a runner takes 64 KB at most. */
static const legal_case_t legal_cases[] = {
    {"/safe/x", 48 << 10, "hello"},
    {"/none", BODY_BYTES, "no-route"},
};

START_TEST(legal_body_is_served)
{
    const legal_case_t *row = &legal_cases[_i];
    process_t process = start_process(MEMORY_MB);
    arena_t arena = {0};
    char *body = arena_alloc(&arena, row->body_bytes + 1);

    memset(body, 'x', row->body_bytes);
    body[row->body_bytes] = '\0';
    exchange(process.ports[CALLERS],
             arena_printf(&arena,
                          "POST %s HTTP/1.1\r\nHost: host.example\r\n"
                          "Attempt-Id: q1\r\nAuthorization: Bearer k1\r\n"
                          "Connection: close\r\nContent-Length: %zu\r\n\r\n"
                          "%s",
                          row->path, row->body_bytes, body),
             row->expected, ORDINARY_TIMEOUT_MS, NULL);
    arena_free(&arena);
    stop_process(&process);
}

/* Sends what the sockets take; closed connections are left out. */
static void
play(const kind_t *kind, client_t *clients, uint32_t count, int64_t now_ms)
{
    static char unit[UNIT_MAX_BYTES + 1];
    static char bytes[PIECE_BYTES];
    size_t head_bytes = strlen(kind->head);
    size_t unit_bytes;
    size_t i;

    memset(unit, 'x', UNIT_MAX_BYTES);
    unit_bytes = PIECE_BYTES;
    if (kind->unit != NULL && strcmp(kind->unit, "chunk") == 0) {
        (void)snprintf(unit, 7, "%x\r\n", PIECE_BYTES);
        unit[6] = 'x';
        unit[6 + PIECE_BYTES] = '\r';
        unit[7 + PIECE_BYTES] = '\n';
        unit_bytes = PIECE_BYTES + 8;
    }
    else if (kind->unit != NULL) {
        unit_bytes = strlen(kind->unit);
        memcpy(unit, kind->unit, unit_bytes);
    }
    for (i = 0; i < count; i++) {
        client_t *client = &clients[i];
        size_t total = head_bytes + kind->count_bytes;
        size_t step = 0;

        while (client->fd >= 0 && client->sent_bytes < total &&
               now_ms >= client->next_ms && step < kind->step_bytes) {
            size_t length = 0;
            ssize_t sent;

            while (length < sizeof(bytes) &&
                   length < kind->step_bytes - step &&
                   client->sent_bytes + length < total) {
                size_t at = client->sent_bytes + length;

                bytes[length++] = at < head_bytes
                                      ? kind->head[at]
                                      : unit[(at - head_bytes) % unit_bytes];
            }
            sent = send(client->fd, bytes, length, MSG_NOSIGNAL);
            if (sent < 0 && errno != EAGAIN) {
                (void)close(client->fd);
                client->fd = -1;
            }
            if (sent <= 0) {
                break;
            }
            client->sent_bytes += (size_t)sent;
            step += (size_t)sent;
        }
        if (step >= kind->step_bytes) {
            client->next_ms = now_ms + kind->pause_ms;
        }
    }
}

static process_t
start_process(uint32_t memory_mb)
{
    process_t process;
    int ends[2];

    ck_assert_int_eq(pipe(ends), 0);
    (void)fflush(stdout);
    process.pid = fork();
    ck_assert_int_ge(process.pid, 0);
    if (process.pid == 0) {
        (void)prctl(PR_SET_PDEATHSIG, SIGKILL);
        (void)close(ends[0]);
        run_process(ends[1], memory_mb);
    }
    (void)close(ends[1]);
    ck_assert_int_eq(read(ends[0], process.ports, sizeof(process.ports)),
                     sizeof(process.ports));
    (void)close(ends[0]);
    return process;
}

/* Runs a host with a runner until it is killed. */
static void
run_process(int out, uint32_t memory_mb)
{
    static const canned_reply_t reply = {
        "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nServer-Stamp: s1\r\n"
        "Content-Length: 5\r\n\r\nhello",
        0, CANNED_KEEP};
    static gateway_host_t host;
    const char *addresses[] = {host.listen_address, host.readiness_address,
                               host.lookup_address, host.metrics_address};
    uint16_t ports[LISTENERS];
    size_t i;

    (void)signal(SIGPIPE, SIG_IGN);
    gateway_host_open_limited(&host, memory_mb, DESCRIPTORS_MAX);
    gateway_host_runner(&host, "plain-1", "plain", "a", &reply, 1);
    gateway_host_settle(&host);
    for (i = 0; i < LISTENERS; i++) {
        ports[i] = (uint16_t)atoi(strchr(addresses[i], ':') + 1);
    }
    (void)write(out, ports, sizeof(ports));
    (void)uv_run(&host.fixture.loop, UV_RUN_DEFAULT);
    _exit(EXIT_FAILURE);
}

/* The process must not have ended by itself. */
static void
stop_process(process_t *process)
{
    ck_assert_int_eq(waitpid(process->pid, NULL, WNOHANG), 0);
    (void)kill(process->pid, SIGKILL);
    (void)waitpid(process->pid, NULL, 0);
}

static int
connect_to(uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ck_assert_msg(connect(fd, (struct sockaddr *)&address, sizeof(address)) ==
                      0,
                  "connect: %s", strerror(errno));
    (void)fcntl(fd, F_SETFL, O_NONBLOCK);
    return fd;
}

/* Fails the test unless expected arrives in time. */
static void
exchange(uint16_t port, const char *request, const char *expected,
         int timeout_ms, text_t *received)
{
    static char bytes[1 << 16];
    int64_t end_ms = now_in_ms() + timeout_ms;
    size_t request_bytes = strlen(request);
    size_t sent_bytes = 0;
    size_t length = 0;
    int fd = connect_to(port);

    for (;;) {
        struct pollfd ready = {.fd = fd, .events = POLLIN};
        int64_t left_ms = end_ms - now_in_ms();
        ssize_t got;

        ck_assert_msg(left_ms > 0, "%.30s: no response in %d ms: %.*s",
                      request, timeout_ms, (int)length, bytes);
        if (sent_bytes < request_bytes) {
            got = send(fd, request + sent_bytes, request_bytes - sent_bytes,
                       MSG_NOSIGNAL);
            sent_bytes += got > 0 ? (size_t)got : 0;
            ready.events = POLLIN | POLLOUT;
        }
        (void)poll(&ready, 1, (int)left_ms);
        got = recv(fd, bytes + length, sizeof(bytes) - 1 - length, 0);
        if (got < 0 && errno == EAGAIN) {
            continue;
        }
        if (got <= 0) {
            break;
        }
        length += (size_t)got;
    }
    bytes[length] = '\0';
    (void)close(fd);
    ck_assert_msg(strstr(bytes, expected) != NULL, "%.30s: %s", request,
                  bytes);
    if (received != NULL) {
        text_append(received, bytes, length + 1);
    }
}

static uint32_t
count_descriptors(pid_t pid)
{
    char path[64];
    uint32_t count = 0;
    DIR *directory;

    (void)snprintf(path, sizeof(path), "/proc/%d/fd", (int)pid);
    directory = opendir(path);
    ck_assert_msg(directory != NULL, "the host has ended");
    while (readdir(directory) != NULL) {
        count++;
    }
    (void)closedir(directory);
    return count;
}

static uint32_t
peak_kb(pid_t pid)
{
    char line[256];
    uint32_t peak = 0;
    FILE *file;

    (void)snprintf(line, sizeof(line), "/proc/%d/status", (int)pid);
    file = fopen(line, "r");
    ck_assert_msg(file != NULL, "the host has ended");
    while (fgets(line, sizeof(line), file) != NULL) {
        (void)sscanf(line, "VmHWM: %u", &peak);
    }
    (void)fclose(file);
    ck_assert_uint_gt(peak, 0);
    return peak;
}

static int64_t
now_in_ms(void)
{
    struct timespec now;

    (void)clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

int
main(void)
{
    TCase *tcase = tcase_create("rude_clients");

    tcase_add_loop_test(tcase, legal_body_is_served, 0,
                        (int)COUNT(legal_cases));
    tcase_add_loop_test(tcase, host_serves_beside_rude_clients, 0,
                        (int)COUNT(kinds));
    return fixture_main("rude_clients", tcase);
}
