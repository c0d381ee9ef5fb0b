/*
 * test_early_answer.c - a host, as a process, beside runners that answer
 * before they have read a request, or with a status that is none.
 */
#include <arpa/inet.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include "regress/gateway_host.h"

enum {
    RUNNER_RECEIVE_BYTES = 16 << 10,
    RUNNER_READ_BYTES = 1024,
    SMALL_BYTES = 60 << 10,
    LARGE_BYTES = 3 << 20,
    RESET_DELAY_US = 20000,
    TRIES = 4,
    RESPONSE_BYTES_MAX = 1 << 16,
    ANSWER_TIMEOUT_S = 30,
};

#define OWN "Attempt-Id: q1\r\nServer-Stamp: s1\r\n"
#define PART "HTTP/1.1 200 OK\r\n" OWN "\r\npart"
#define EVENT                                                                 \
    "HTTP/1.1 200 OK\r\n" OWN                                                 \
    "Content-Type: text/event-stream\r\n\r\nid: 0\ndata: zero\n\n"
#define WITH_STATUS(status)                                                   \
    "HTTP/1.1 " status " Odd\r\n" OWN "Content-Length: 5\r\n\r\nfalse"
#define SOUND "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 5\r\n\r\nhello"

/* What a runner reads of a request before it answers, and how it ends. */
typedef enum { READ_HEAD, READ_ALL } read_t;
typedef enum { END_FIN, END_RESET, END_FIN_RESET } end_t;

typedef struct {
    const char *reply;
    read_t read;
    end_t end;
} runner_t;

typedef struct {
    pid_t pid;
    uint16_t port;
    int hits; /* pipe; a byte for each request */
} process_t;

typedef struct {
    const char *name;
    const char *path;
    size_t body_bytes;
    runner_t runner;
    const char *expected;   /* text in the response */
    const char *unexpected; /* text that must not be in it */
} early_case_t;

/* There is one runner, which the row describes. */
static const early_case_t alone[] = {
    {"a part before a reset",
     "/unsafe/x",
     LARGE_BYTES,
     {PART, READ_HEAD, END_RESET},
     "HTTP/1.1 502 ",
     "part"},
    {"a part before an end, small upload",
     "/unsafe/x",
     SMALL_BYTES,
     {PART, READ_HEAD, END_FIN},
     "HTTP/1.1 502 ",
     "part"},
    {"a part before an end and a reset, small upload",
     "/unsafe/x",
     SMALL_BYTES,
     {PART, READ_HEAD, END_FIN_RESET},
     "HTTP/1.1 502 ",
     "part"},
    {"a part before an end and a reset",
     "/unsafe/x",
     LARGE_BYTES,
     {PART, READ_HEAD, END_FIN_RESET},
     "HTTP/1.1 502 ",
     "part"},
    {"a part of a safe answer before an end and a reset",
     "/safe/x",
     LARGE_BYTES,
     {PART, READ_HEAD, END_FIN_RESET},
     "HTTP/1.1 502 ",
     "part"},
    {"events before an end and a reset",
     "/stream/x",
     LARGE_BYTES,
     {EVENT, READ_HEAD, END_FIN_RESET},
     "data: zero\n\n",
     "\r\n0\r\n"},
    {"events before an end and a reset, small upload",
     "/stream/x",
     SMALL_BYTES,
     {EVENT, READ_HEAD, END_FIN_RESET},
     "data: zero\n\n",
     "\r\n0\r\n"},
    {"an answer to a request that was read",
     "/unsafe/x",
     LARGE_BYTES,
     {PART, READ_ALL, END_FIN},
     "part",
     "502"},
    {"a stream for a request that was read",
     "/stream/x",
     SMALL_BYTES,
     {EVENT, READ_ALL, END_FIN},
     "\r\n0\r\n",
     "502"},
    {"status 600",
     "/unsafe/x",
     1,
     {WITH_STATUS("600"), READ_ALL, END_FIN},
     "HTTP/1.1 502 ",
     "false"},
    {"status 999",
     "/unsafe/x",
     1,
     {WITH_STATUS("999"), READ_ALL, END_FIN},
     "HTTP/1.1 502 ",
     "false"},
    {"status 000",
     "/unsafe/x",
     1,
     {WITH_STATUS("000"), READ_ALL, END_FIN},
     "HTTP/1.1 502 ",
     "false"},
    {"status 099",
     "/unsafe/x",
     1,
     {WITH_STATUS("099"), READ_ALL, END_FIN},
     "HTTP/1.1 502 ",
     "false"},
    {"status 101",
     "/unsafe/x",
     1,
     {WITH_STATUS("101"), READ_ALL, END_FIN},
     "HTTP/1.1 502 ",
     "false"},
    {"status 199",
     "/unsafe/x",
     1,
     {WITH_STATUS("199"), READ_ALL, END_FIN},
     "HTTP/1.1 502 ",
     "false"},
    {"a stream with status 101",
     "/stream/x",
     1,
     {WITH_STATUS("101"), READ_ALL, END_FIN},
     "HTTP/1.1 50",
     "false"},
    {"status 599",
     "/unsafe/x",
     1,
     {WITH_STATUS("599"), READ_ALL, END_FIN},
     "HTTP/1.1 599 ",
     "502"},
    {"a stream with status 600",
     "/stream/x",
     1,
     {WITH_STATUS("600"), READ_ALL, END_FIN},
     "HTTP/1.1 50",
     "false"},
};

/* There is a sound runner, too, that serves what may be tried again. */
static const early_case_t beside_sound[] = {
    {"a part before an end and a reset",
     "/safe/x",
     LARGE_BYTES,
     {PART, READ_HEAD, END_FIN_RESET},
     "hello",
     "part"},
    {"status 600 of a safe request",
     "/safe/x",
     1,
     {WITH_STATUS("600"), READ_ALL, END_FIN},
     "hello",
     "false"},
    {"status 101 of a safe request",
     "/safe/x",
     1,
     {WITH_STATUS("101"), READ_ALL, END_FIN},
     "hello",
     "false"},
    {"status 000 of a safe request",
     "/safe/x",
     1,
     {WITH_STATUS("000"), READ_ALL, END_FIN},
     "hello",
     "false"},
};

/* Reads to the end of the head or of the body of a request. */
static void
read_request(int fd, read_t until)
{
    char bytes[RUNNER_READ_BYTES + 1] = "";
    size_t head_bytes = 0;
    size_t left = 0;
    ssize_t got;

    while (strstr(bytes, "\r\n\r\n") == NULL) {
        got = recv(fd, bytes + head_bytes, RUNNER_READ_BYTES - head_bytes, 0);
        if (got <= 0) {
            return;
        }
        head_bytes += (size_t)got;
        bytes[head_bytes] = '\0';
    }
    if (until == READ_ALL && strstr(bytes, "Content-Length: ") != NULL) {
        left = strtoul(strstr(bytes, "Content-Length: ") +
                           strlen("Content-Length: "),
                       NULL, 10);
        left -= head_bytes - (size_t)(strstr(bytes, "\r\n\r\n") +
                                      strlen("\r\n\r\n") - bytes);
    }
    while (left > 0 && (got = recv(fd, bytes, RUNNER_READ_BYTES, 0)) > 0) {
        left -= (size_t)got < left ? (size_t)got : left;
    }
}

static void
answer(int fd, const runner_t *runner)
{
    struct linger reset = {.l_onoff = 1};

    read_request(fd, runner->read);
    (void)send(fd, runner->reply, strlen(runner->reply), MSG_NOSIGNAL);
    if (runner->end == END_FIN_RESET) {
        (void)shutdown(fd, SHUT_WR);
        (void)usleep(RESET_DELAY_US);
    }
    if (runner->end == END_FIN && runner->read == READ_HEAD) {
        /* Closing it with unread bytes would reset it. */
        (void)shutdown(fd, SHUT_WR);
        return;
    }
    if (runner->end != END_FIN) {
        (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    (void)close(fd);
}

static process_t
start_runner(const runner_t *runner)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t length = sizeof(address);
    int room = RUNNER_RECEIVE_BYTES;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    process_t process;
    int ends[2];

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &room, sizeof(room));
    ck_assert_int_eq(bind(fd, (struct sockaddr *)&address, length), 0);
    ck_assert_int_eq(listen(fd, TRIES), 0);
    ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&address, &length), 0);
    ck_assert_int_eq(pipe(ends), 0);
    process.port = ntohs(address.sin_port);
    process.hits = ends[0];
    process.pid = fork();
    ck_assert_int_ge(process.pid, 0);
    if (process.pid == 0) {
        (void)prctl(PR_SET_PDEATHSIG, SIGKILL);
        for (;;) {
            int peer = accept(fd, NULL, NULL);

            (void)!write(ends[1], "", 1);
            answer(peer, runner);
        }
    }
    (void)close(fd);
    (void)close(ends[1]);
    return process;
}

/* Runs a host until it is killed. */
static void
run_host(int out, const char *service, const process_t *runners, size_t count)
{
    static gateway_host_t host;
    arena_t arena = {0};
    uint16_t port;
    size_t i;

    gateway_host_open(&host);
    for (i = 0; i < count; i++) {
        gateway_host_put(
            &host, arena_printf(&arena, "servers/r-%zu", i),
            arena_printf(&arena,
                         "{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%u\","
                         "\"Zone\":\"a\",\"BatchSize\":4,\"State\":\"ready\"}",
                         service, runners[i].port));
    }
    gateway_host_settle(&host);
    port = (uint16_t)atoi(strchr(host.listen_address, ':') + 1);
    ck_assert_int_eq(write(out, &port, sizeof(port)), sizeof(port));
    (void)uv_run(&host.fixture.loop, UV_RUN_DEFAULT);
    _exit(1);
}

static process_t
start_host(const char *path, const process_t *runners, size_t count)
{
    process_t process = {.hits = -1};
    int ends[2];

    ck_assert_int_eq(pipe(ends), 0);
    process.pid = fork();
    ck_assert_int_ge(process.pid, 0);
    if (process.pid == 0) {
        (void)prctl(PR_SET_PDEATHSIG, SIGKILL);
        run_host(ends[1],
                 strstr(path, "/stream/") == path ? "engine" : "plain",
                 runners, count);
    }
    ck_assert_int_eq(read(ends[0], &process.port, sizeof(process.port)),
                     sizeof(process.port));
    (void)close(ends[0]);
    (void)close(ends[1]);
    return process;
}

static void
stop(process_t *process)
{
    (void)kill(process->pid, SIGKILL);
    (void)waitpid(process->pid, NULL, 0);
    if (process->hits >= 0) {
        (void)close(process->hits);
    }
}

/* Sends an upload; returns all that comes until the connection ends. */
static char *
exchange(arena_t *arena, uint16_t port, const early_case_t *row)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    struct timeval timeout = {.tv_sec = ANSWER_TIMEOUT_S};
    const char *head = arena_printf(
        arena,
        "POST %s HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: q1\r\n"
        "Authorization: Bearer k1\r\nConnection: close\r\n"
        "Content-Length: %zu\r\n\r\n",
        row->path, row->body_bytes);
    char *body = arena_alloc(arena, row->body_bytes);
    char *response = arena_alloc(arena, RESPONSE_BYTES_MAX);
    size_t length = 0;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    ssize_t got;

    memset(body, 'x', row->body_bytes);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    ck_assert_int_eq(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                     0);
    (void)send(fd, head, strlen(head), MSG_NOSIGNAL);
    (void)send(fd, body, row->body_bytes, MSG_NOSIGNAL);
    while ((got = recv(fd, response + length, RESPONSE_BYTES_MAX - 1 - length,
                       0)) > 0) {
        length += (size_t)got;
    }
    ck_assert_msg(got == 0 || length > 0, "%s: no response", row->name);
    (void)close(fd);
    return response;
}

static void
expect(const early_case_t *row, const char *response)
{
    ck_assert_msg(strstr(response, row->expected) != NULL &&
                      strstr(response, row->unexpected) == NULL,
                  "%s, %s: got\n%s", row->name, row->path, response);
}

START_TEST(test_nothing_short_or_odd_is_passed_on)
{
    const early_case_t *row = &alone[_i];
    process_t runner = start_runner(&row->runner);
    process_t host = start_host(row->path, &runner, 1);
    arena_t arena = {0};
    char hit;

    expect(row, exchange(&arena, host.port, row));
    ck_assert_int_eq(read(runner.hits, &hit, 1), 1);
    stop(&host);
    stop(&runner);
    arena_free(&arena);
}
END_TEST

START_TEST(test_safe_request_is_tried_elsewhere)
{
    static const runner_t sound = {SOUND, READ_ALL, END_FIN};
    const early_case_t *row = &beside_sound[_i];
    process_t runners[] = {start_runner(&row->runner), start_runner(&sound)};
    process_t host = start_host(row->path, runners, 2);
    arena_t arena = {0};
    char hit;
    int i;

    for (i = 0; i < TRIES; i++) {
        expect(row, exchange(&arena, host.port, row));
    }
    ck_assert_int_eq(read(runners[0].hits, &hit, 1), 1);
    stop(&host);
    stop(&runners[0]);
    stop(&runners[1]);
    arena_free(&arena);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("early_answer");

    tcase_add_loop_test(tcase, test_nothing_short_or_odd_is_passed_on, 0,
                        sizeof(alone) / sizeof(alone[0]));
    tcase_add_loop_test(tcase, test_safe_request_is_tried_elsewhere, 0,
                        sizeof(beside_sound) / sizeof(beside_sound[0]));
    return fixture_main("early_answer", tcase);
}
