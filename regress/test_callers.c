/* test_callers.c - callers who hang up, dawdle or send too much. */
#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"
#include "regress/canned.h"
#include "regress/host.h"

enum {
    ENOUGH_MS = 20000,
    TURN_MS = 1,
    READ_BYTES = 65536,
    SMALL_BYTES = 4096
};

#define HEAD(path, length)                                                    \
    "POST " path " HTTP/1.1\r\nHost: a\r\n" HOST_ORG                          \
    "\r\nContent-Length: " length "\r\n\r\n"
#define WHOLE                                                                 \
    HEAD("/v1/completions", "32") "{\"model\":\"planner\",\"prompt\":\"p\"}"
#define STREAMED                                                              \
    HEAD("/v1/completions", "46")                                             \
    "{\"model\":\"planner\",\"prompt\":\"p\",\"stream\":true}"

/* What the caller does once it has sent its bytes. */
typedef enum { THEN_READ, THEN_HALF_CLOSE, THEN_RESET, THEN_DAWDLE } then_t;

typedef struct {
    const char *sends;
    then_t then;
    bool engine_speaks; /* one token, and then nothing */
    bool cancels;       /* the engine must be told to stop */
    const char *gets;   /* in what comes back; NULL: it does not matter */
} caller_case_t;

static const caller_case_t cases[] = {
    {WHOLE, THEN_HALF_CLOSE, false, true, "HTTP/1.1 400 Bad Request\r\n"},
    {WHOLE, THEN_HALF_CLOSE, false, true,
     "half-closed and the request cancelled: keep it open until the answer "
     "has come\",\"run\":\"unknown\"}}"},
    {WHOLE, THEN_RESET, false, true, NULL},
    {STREAMED, THEN_HALF_CLOSE, true, true, "\"text\":\"Check\""},
    {STREAMED, THEN_RESET, true, true, NULL},
    {HEAD("/v1/completions", "5000000"), THEN_READ, false, false,
     "HTTP/1.1 413 "},
    {HEAD("/v1/completions", "5000000"), THEN_READ, false, false,
     "{\"error\":{\"kind\":\"invalid\",\"message\":\"the body is too large: "
     "send a shorter one\",\"run\":\"not-run\"}}"},
    {"POST /v1/completions HTTP/1.1\r\nHost: a\r\n", THEN_DAWDLE, false, false,
     ""},
    {HEAD("/v1/completions", "32") "{\"model\"", THEN_DAWDLE, false, false,
     ""},
    {"GET / HTTP/1.1\r\nbad header\r\n\r\n", THEN_READ, false, false, "400"},
    {"GET /../../etc/passwd HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
     THEN_READ, false, false, "HTTP/1.1 404 "},
};

static const canned_reply_t silence = {"", 0, CANNED_KEEP};
static const canned_reply_t speech = {
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
    "data: {\"choices\":[{\"index\":0,\"text\":\"Check\",\"finish_reason\":"
    "null,\"prompt_token_ids\":[5],\"token_ids\":[11]}]}\n\n",
    0, CANNED_KEEP};

static int connect_to(const char *address);
static void turn(uv_loop_t *loop);
static void send_all(uv_loop_t *loop, int fd, const char *bytes);
static bool read_some(int fd, text_t *got);
static void await(uv_loop_t *loop, const host_t *host, const char *what);
static void on_turn(uv_timer_t *timer);
static void on_enough(uv_timer_t *timer);

START_TEST(test_callers)
{
    const caller_case_t *row = &cases[_i];
    struct linger linger = {.l_onoff = 1};
    uv_loop_t loop;
    uv_timer_t enough;
    host_t host;
    canned_t *engine;
    text_t got = {0};
    int fd;

    (void)uv_loop_init(&loop);
    (void)uv_timer_init(&loop, &enough);
    (void)uv_timer_start(&enough, on_enough, ENOUGH_MS, 0);
    engine = canned_new(&loop, row->engine_speaks ? &speech : &silence, 1);
    host_start(&host, &loop, canned_port(engine),
               "[limits]\norphan_grace_ms = 0\n");
    fd = connect_to(host_address(&host));
    send_all(&loop, fd, row->sends);
    while (row->cancels && canned_requests(engine) == 0) {
        turn(&loop);
    }
    while (row->engine_speaks && got.length == 0) {
        turn(&loop);
        (void)read_some(fd, &got);
    }
    if (row->then == THEN_HALF_CLOSE) {
        (void)shutdown(fd, SHUT_WR);
    }
    if (row->then == THEN_RESET) {
        (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
        (void)close(fd);
    }
    while (row->then != THEN_RESET && read_some(fd, &got)) {
        turn(&loop);
    }
    text_append(&got, "", 1);
    if (row->gets != NULL) {
        ck_assert_msg(strstr(got.bytes, row->gets) != NULL, "%s", got.bytes);
    }
    while (row->cancels &&
           strstr(canned_last(engine), "/cancel HTTP/1.1\r\n") == NULL) {
        turn(&loop);
    }
    await(&loop, &host, "agated_sessions 0\n");
    if (row->then != THEN_RESET) {
        (void)close(fd);
    }
    host_stop(&host);
    canned_free(engine);
    uv_close((uv_handle_t *)&enough, NULL);
    text_free(&got);
    while (uv_run(&loop, UV_RUN_NOWAIT) != 0) {
    }
    ck_assert_int_eq(uv_loop_close(&loop), 0);
}
END_TEST

/* A caller that does not read is cut off, and costs no memory for long. */
START_TEST(test_slow_reader)
{
    enum { EVENT_TEXT_BYTES = 60000, EVENTS = 400 };
    uv_loop_t loop;
    uv_timer_t enough;
    host_t host;
    canned_t *engine;
    canned_reply_t says = {"", 0, CANNED_KEEP};
    text_t script = {0};
    int small = SMALL_BYTES;
    int fd;
    int i;
    int j;

    text_puts(&script, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream"
                       "\r\n\r\n");
    for (i = 0; i < EVENTS; i++) {
        text_puts(&script, "data: {\"choices\":[{\"index\":0,\"text\":\"");
        for (j = 0; j < EVENT_TEXT_BYTES; j++) {
            text_puts(&script, "x");
        }
        text_printf(&script,
                    "\",\"finish_reason\":null,%s\"token_ids\":[11]}]}\n\n",
                    i == 0 ? "\"prompt_token_ids\":[5]," : "");
    }
    text_append(&script, "", 1);
    says.bytes = script.bytes;
    (void)uv_loop_init(&loop);
    (void)uv_timer_init(&loop, &enough);
    (void)uv_timer_start(&enough, on_enough, ENOUGH_MS, 0);
    engine = canned_new(&loop, &says, 1);
    host_start(&host, &loop, canned_port(engine),
               "[limits]\norphan_grace_ms = 0\n");
    fd = connect_to(host_address(&host));
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    send_all(&loop, fd, STREAMED);
    while (!canned_cancelled(engine)) {
        turn(&loop);
    }
    await(&loop, &host, "agated_sessions 0\n");
    (void)close(fd);
    host_stop(&host);
    canned_free(engine);
    uv_close((uv_handle_t *)&enough, NULL);
    text_free(&script);
    while (uv_run(&loop, UV_RUN_NOWAIT) != 0) {
    }
    ck_assert_int_eq(uv_loop_close(&loop), 0);
}
END_TEST

static int
connect_to(const char *address)
{
    struct sockaddr_storage to;
    int fd;

    ck_assert_int_eq(address_parse(address, &to, NULL), 0);
    fd = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(
        connect(fd, (struct sockaddr *)&to, sizeof(struct sockaddr_in)), 0);
    ck_assert_int_eq(fcntl(fd, F_SETFL, O_NONBLOCK), 0);
    return fd;
}

/* Lets the daemon run for a while, also when nothing happens. */
static void
turn(uv_loop_t *loop)
{
    uv_timer_t *timer = xcalloc(1, sizeof(*timer));
    bool due = false;

    (void)uv_timer_init(loop, timer);
    timer->data = &due;
    (void)uv_timer_start(timer, on_turn, TURN_MS, 0);
    while (!due) {
        (void)uv_run(loop, UV_RUN_ONCE);
    }
    uv_close((uv_handle_t *)timer, (uv_close_cb)free);
}

static void
send_all(uv_loop_t *loop, int fd, const char *bytes)
{
    size_t sent = 0;

    while (sent < strlen(bytes)) {
        ssize_t count = send(fd, bytes + sent, strlen(bytes) - sent, 0);

        ck_assert_msg(count > 0 || errno == EAGAIN, "%s", strerror(errno));
        sent += count > 0 ? (size_t)count : 0;
        turn(loop);
    }
}

/* False when the other side has closed. */
static bool
read_some(int fd, text_t *got)
{
    char bytes[READ_BYTES];
    ssize_t count = recv(fd, bytes, sizeof(bytes), 0);

    if (count > 0) {
        text_append(got, bytes, (size_t)count);
    }
    return count > 0 || (count < 0 && errno == EAGAIN);
}

/* Until the daemon's metrics say so. */
static void
await(uv_loop_t *loop, const host_t *host, const char *what)
{
    view_request_t request = {.path = "/metrics", .credential = ""};
    bool found = false;

    while (!found) {
        view_t view = {0};

        (void)view_read((daemon_t *)(uintptr_t)&host->daemon, &request, &view);
        text_append(&view.body, "", 1);
        found = strstr(view.body.bytes, what) != NULL;
        text_free(&view.body);
        turn(loop);
    }
}

static void
on_turn(uv_timer_t *timer)
{
    *(bool *)timer->data = true;
}

static void
on_enough(uv_timer_t *timer)
{
    ck_abort_msg("it took too long");
}

int
main(void)
{
    Suite *suite = suite_create("callers");
    TCase *tcase = tcase_create("callers");
    SRunner *runner;
    int failed;

    tcase_set_timeout(tcase, 2.0 * ENOUGH_MS / 1000);
    tcase_add_loop_test(tcase, test_callers, 0,
                        (int)(sizeof(cases) / sizeof(cases[0])));
    tcase_add_test(tcase, test_slow_reader);
    suite_add_tcase(suite, tcase);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
