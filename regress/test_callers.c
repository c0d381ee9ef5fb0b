/* test_callers.c - callers that disconnect, stall or send too much. */
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
    TEST_TIMEOUT_MS = 20000,
    LOOP_RUN_MS = 1,
    READ_BUFFER_BYTES = 65536,
    RECEIVE_BUFFER_BYTES = 4096
};

#define REQUEST_HEAD(path, length)                                            \
    "POST " path " HTTP/1.1\r\nHost: a\r\n" HOST_ORG                          \
    "\r\nContent-Length: " length "\r\n\r\n"
#define COMPLETE_REQUEST                                                      \
    REQUEST_HEAD("/v1/completions", "32")                                     \
    "{\"model\":\"planner\",\"prompt\":\"p\"}"
#define STREAM_REQUEST                                                        \
    REQUEST_HEAD("/v1/completions", "46")                                     \
    "{\"model\":\"planner\",\"prompt\":\"p\",\"stream\":true}"

/* What the caller does after it has sent its request. */
typedef enum {
    CALLER_READS,
    CALLER_HALF_CLOSES,
    CALLER_RESETS,
    CALLER_STALLS
} caller_action_t;

typedef struct {
    const char *request;
    caller_action_t action;
    bool engine_sends_token; /* one token, then no more output */
    bool expect_cancel;      /* the engine must receive a cancel request */
    const char *expected; /* substring of the response; NULL if not checked */
} caller_case_t;

static const caller_case_t cases[] = {
    {COMPLETE_REQUEST, CALLER_HALF_CLOSES, false, true,
     "HTTP/1.1 400 Bad Request\r\n"},
    {COMPLETE_REQUEST, CALLER_HALF_CLOSES, false, true,
     "half-closed and the request cancelled: keep it open until the "
     "response is complete\",\"run\":\"unknown\"}}"},
    {COMPLETE_REQUEST, CALLER_RESETS, false, true, NULL},
    {STREAM_REQUEST, CALLER_HALF_CLOSES, true, true, "\"text\":\"Check\""},
    {STREAM_REQUEST, CALLER_RESETS, true, true, NULL},
    {REQUEST_HEAD("/v1/completions", "5000000"), CALLER_READS, false, false,
     "HTTP/1.1 413 "},
    {REQUEST_HEAD("/v1/completions", "5000000"), CALLER_READS, false, false,
     "{\"error\":{\"kind\":\"invalid\",\"message\":\"the body is too large: "
     "send a shorter one\",\"run\":\"not-run\"}}"},
    {"POST /v1/completions HTTP/1.1\r\nHost: a\r\n", CALLER_STALLS, false,
     false, ""},
    {REQUEST_HEAD("/v1/completions", "32") "{\"model\"", CALLER_STALLS, false,
     false, ""},
    {"GET / HTTP/1.1\r\nbad header\r\n\r\n", CALLER_READS, false, false,
     "400"},
    {"GET /../../etc/passwd HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
     CALLER_READS, false, false, "HTTP/1.1 404 "},
};

static const canned_reply_t no_reply = {"", 0, CANNED_KEEP};
static const canned_reply_t token_reply = {
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
    "data: {\"choices\":[{\"index\":0,\"text\":\"Check\",\"finish_reason\":"
    "null,\"prompt_token_ids\":[5],\"token_ids\":[11]}]}\n\n",
    0, CANNED_KEEP};

static int connect_to(const char *address);
static void run_loop(uv_loop_t *loop);
static void send_all(uv_loop_t *loop, int fd, const char *bytes);
static bool read_some(int fd, text_t *received);
static void wait_for_metric(uv_loop_t *loop, const host_t *host,
                            const char *line);
static void on_loop_timer(uv_timer_t *timer);
static void on_test_timeout(uv_timer_t *timer);

START_TEST(caller_gets_expected_response)
{
    const caller_case_t *row = &cases[_i];
    struct linger linger = {.l_onoff = 1};
    uv_loop_t loop;
    uv_timer_t timeout;
    host_t host;
    canned_t *engine;
    text_t received = {0};
    int fd;

    (void)uv_loop_init(&loop);
    (void)uv_timer_init(&loop, &timeout);
    (void)uv_timer_start(&timeout, on_test_timeout, TEST_TIMEOUT_MS, 0);
    engine = canned_new(&loop,
                        row->engine_sends_token ? &token_reply : &no_reply, 1);
    host_start(&host, &loop, canned_port(engine),
               "[limits]\norphan_grace_ms = 0\n");
    fd = connect_to(host_address(&host));
    send_all(&loop, fd, row->request);
    while (row->expect_cancel && canned_requests(engine) == 0) {
        run_loop(&loop);
    }
    while (row->engine_sends_token && received.length == 0) {
        run_loop(&loop);
        (void)read_some(fd, &received);
    }
    if (row->action == CALLER_HALF_CLOSES) {
        (void)shutdown(fd, SHUT_WR);
    }
    if (row->action == CALLER_RESETS) {
        (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
        (void)close(fd);
    }
    while (row->action != CALLER_RESETS && read_some(fd, &received)) {
        run_loop(&loop);
    }
    text_append(&received, "", 1);
    if (row->expected != NULL) {
        ck_assert_msg(strstr(received.bytes, row->expected) != NULL, "%s",
                      received.bytes);
    }
    while (row->expect_cancel &&
           strstr(canned_last(engine), "/cancel HTTP/1.1\r\n") == NULL) {
        run_loop(&loop);
    }
    wait_for_metric(&loop, &host, "agated_sessions 0\n");
    if (row->action != CALLER_RESETS) {
        (void)close(fd);
    }
    host_stop(&host);
    canned_free(engine);
    uv_close((uv_handle_t *)&timeout, NULL);
    text_free(&received);
    while (uv_run(&loop, UV_RUN_NOWAIT) != 0) {
    }
    ck_assert_int_eq(uv_loop_close(&loop), 0);
}
END_TEST

/*
 * A caller that does not read is disconnected, which bounds the memory that
 * its response uses.
 */
START_TEST(slow_reader_is_disconnected)
{
    enum { EVENT_TEXT_BYTES = 60000, EVENTS = 400 };
    uv_loop_t loop;
    uv_timer_t timeout;
    host_t host;
    canned_t *engine;
    canned_reply_t reply = {"", 0, CANNED_KEEP};
    text_t script = {0};
    int receive_buffer_bytes = RECEIVE_BUFFER_BYTES;
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
    reply.bytes = script.bytes;
    (void)uv_loop_init(&loop);
    (void)uv_timer_init(&loop, &timeout);
    (void)uv_timer_start(&timeout, on_test_timeout, TEST_TIMEOUT_MS, 0);
    engine = canned_new(&loop, &reply, 1);
    host_start(&host, &loop, canned_port(engine),
               "[limits]\norphan_grace_ms = 0\n");
    fd = connect_to(host_address(&host));
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                     sizeof(receive_buffer_bytes));
    send_all(&loop, fd, STREAM_REQUEST);
    while (!canned_cancelled(engine)) {
        run_loop(&loop);
    }
    wait_for_metric(&loop, &host, "agated_sessions 0\n");
    (void)close(fd);
    host_stop(&host);
    canned_free(engine);
    uv_close((uv_handle_t *)&timeout, NULL);
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

/* Runs the loop for LOOP_RUN_MS, even if no event occurs. */
static void
run_loop(uv_loop_t *loop)
{
    uv_timer_t *timer = xcalloc(1, sizeof(*timer));
    bool expired = false;

    (void)uv_timer_init(loop, timer);
    timer->data = &expired;
    (void)uv_timer_start(timer, on_loop_timer, LOOP_RUN_MS, 0);
    while (!expired) {
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
        run_loop(loop);
    }
}

/* Returns false if the peer has closed the connection. */
static bool
read_some(int fd, text_t *received)
{
    char bytes[READ_BUFFER_BYTES];
    ssize_t count = recv(fd, bytes, sizeof(bytes), 0);

    if (count > 0) {
        text_append(received, bytes, (size_t)count);
    }
    return count > 0 || (count < 0 && errno == EAGAIN);
}

/* Waits until the daemon's metrics contain a line. */
static void
wait_for_metric(uv_loop_t *loop, const host_t *host, const char *line)
{
    view_request_t request = {.path = "/metrics", .credential = ""};
    bool found = false;

    while (!found) {
        view_t view = {0};

        (void)view_write((daemon_t *)(uintptr_t)&host->daemon, &request,
                         &view);
        text_append(&view.body, "", 1);
        found = strstr(view.body.bytes, line) != NULL;
        text_free(&view.body);
        run_loop(loop);
    }
}

static void
on_loop_timer(uv_timer_t *timer)
{
    *(bool *)timer->data = true;
}

static void
on_test_timeout(uv_timer_t *timer)
{
    ck_abort_msg("the test timed out");
}

int
main(void)
{
    Suite *suite = suite_create("callers");
    TCase *tcase = tcase_create("callers");
    SRunner *runner;
    int failed;

    tcase_set_timeout(tcase, 2.0 * TEST_TIMEOUT_MS / 1000);
    tcase_add_loop_test(tcase, caller_gets_expected_response, 0,
                        (int)(sizeof(cases) / sizeof(cases[0])));
    tcase_add_test(tcase, slow_reader_is_disconnected);
    suite_add_tcase(suite, tcase);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
