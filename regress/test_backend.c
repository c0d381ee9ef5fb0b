/* test_backend.c - clients of backend servers against canned replies. */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "backend/backend.h"
#include "regress/fixture.h"
#include "regress/canned.h"
#include "regress/turn.h"
#include "regress/turn.h"

enum { REPORTS_BYTES = 4096, STREAM = 7, OTHER = 8 };

#define HEAD(status, type)                                                    \
    "HTTP/1.1 " status " x\r\nContent-Type: " type "\r\n"
#define EVENTS HEAD("200", "text/event-stream; charset=utf-8") "\r\n"
#define CHUNK(text, ids)                                                      \
    "data: {\"choices\":[{\"text\":\"" text "\",\"token_ids\":" ids "}]}\n\n"
#define DONE "data: [DONE]\n\n"

typedef enum { CALL_OPEN, CALL_REATTACH, CALL_SERVICE, CALL_LOAD } call_t;
typedef enum { NO_ACTION, CANCEL_IN_CHUNK, OPEN_IN_LOSS } callback_action_t;

static fixture_t fixture;
static canned_t *server;
static backend_t *backend;
static char address[64];
static char reports[REPORTS_BYTES];
static bool finished;
static callback_action_t callback_action;

static void make_call(call_t call, uint64_t stream);

static void __attribute__((format(printf, 1, 2)))
append_report(const char *format, ...)
{
    size_t used = strlen(reports);
    va_list args;

    va_start(args, format);
    (void)vsnprintf(reports + used, sizeof(reports) - used, format, args);
    va_end(args);
}

static void
on_chunk(backend_listener_t *listener, const backend_chunk_t *chunk)
{
    append_report("%d@%u+%u %.*s;", (int)chunk->stream, chunk->position,
                  chunk->token_count, (int)chunk->text_bytes, chunk->text);
    if (callback_action == CANCEL_IN_CHUNK) {
        backend->ops->cancel(backend, chunk->stream, false);
    }
}

static void
on_end(backend_listener_t *listener, uint64_t stream)
{
    append_report("end;");
    finished = true;
}

static void
on_loss(backend_listener_t *listener, uint64_t stream, backend_loss_t kind,
        uint32_t status, uint32_t retry_after_ms)
{
    append_report("loss %d %u %u;", kind, status, retry_after_ms);
    finished = true;
    if (callback_action == OPEN_IN_LOSS) {
        callback_action = NO_ACTION;
        finished = false;
        make_call(CALL_OPEN, OTHER);
    }
}

static void
on_reply(backend_listener_t *listener, uint64_t stream, uint32_t status,
         const char *content_type, const char *body, size_t body_bytes)
{
    append_report("reply %u %s %.*s;", status, content_type, (int)body_bytes,
                  body);
    finished = true;
}

static void
on_load(backend_listener_t *listener, const char *runner, bool reached,
        uint32_t running, uint32_t waiting)
{
    append_report("load %s %d %u %u;", runner, reached, running, waiting);
    finished = true;
}

static const backend_listener_ops_t listener_ops = {on_chunk, on_end, on_loss,
                                                    on_reply, on_load};
static backend_listener_t listener = {&listener_ops};

static void
make_call(call_t call, uint64_t stream)
{
    backend_request_t request = {.stream = stream,
                                 .address = address,
                                 .stream_name = "o/k.1.2",
                                 .endpoint = BACKEND_COMPLETIONS,
                                 .method = "PUT",
                                 .path = "/slots/7?a=b",
                                 .content_type = "application/json",
                                 .body = "{\"prompt\":\"p\"}",
                                 .body_bytes = strlen("{\"prompt\":\"p\"}"),
                                 .model = "m"};
    backend_reattach_t reattach_request = {.stream = stream,
                                           .address = address,
                                           .stream_name = "o/k.1.2",
                                           .endpoint = BACKEND_CHAT,
                                           .after = 40};

    if (call == CALL_REATTACH) {
        backend->ops->reattach(backend, &reattach_request);
    }
    else if (call == CALL_LOAD) {
        backend->ops->poll_load(backend, "r1", address);
    }
    else {
        backend->ops->open(backend, &request);
    }
}

static void
setup(call_t call, const canned_reply_t *replies, size_t count)
{
    fixture_open(&fixture);
    server = canned_new(&fixture.loop, replies, count);
    (void)snprintf(address, sizeof(address), "127.0.0.1:%d",
                   canned_port(server));
    backend = call == CALL_SERVICE ? service_new(fixture.client, &listener)
                                   : engine_new(fixture.client, &listener);
}

static void
teardown(void)
{
    backend->ops->free(backend);
    canned_free(server);
    fixture_close(&fixture);
}

typedef struct {
    call_t call;
    canned_end_t end;
    const char *reply;
    const char *reports;
} case_t;

static const case_t cases[] = {
    {CALL_OPEN, CANNED_CLOSE,
     EVENTS CHUNK("a", "[1]") CHUNK("", "[2]") CHUNK("bc", "[3,4]") DONE,
     "7@0+1 a;7@1+1 ;7@2+2 bc;end;"},
    {CALL_OPEN, CANNED_KEEP,
     EVENTS CHUNK("a", "[1]") DONE CHUNK("b", "[2]") DONE, "7@0+1 a;end;"},
    {CALL_OPEN, CANNED_CLOSE,
     EVENTS CHUNK("a", "null") CHUNK("b", "null") DONE,
     "7@0+0 a;7@0+0 b;end;"},
    {CALL_OPEN, CANNED_CLOSE, EVENTS CHUNK("a", "[1]"),
     "7@0+1 a;loss 2 200 0;"},
    {CALL_OPEN, CANNED_CLOSE, EVENTS CHUNK("a", "[1]") "data: [DONE]",
     "7@0+1 a;loss 2 200 0;"},
    {CALL_OPEN, CANNED_CLOSE,
     EVENTS CHUNK("a", "[1]") "data: {\"error\":{}}\n\n" DONE,
     "7@0+1 a;loss 4 200 0;"},
    {CALL_OPEN, CANNED_CLOSE, EVENTS "data: {\n\n" DONE, "loss 4 200 0;"},
    {CALL_OPEN, CANNED_CLOSE, "", "loss 2 0 0;"},
    {CALL_OPEN, CANNED_RESET, "", "loss 2 0 0;"},
    {CALL_OPEN, CANNED_CLOSE, HEAD("200", "application/json") "\r\n{}",
     "loss 4 200 0;"},
    {CALL_OPEN, CANNED_CLOSE, HEAD("503", "a/b") "Retry-After: 3\r\n\r\n{}",
     "loss 3 503 3000;"},
    {CALL_OPEN, CANNED_CLOSE, HEAD("429", "a/b") "\r\n{}", "loss 3 429 0;"},
    {CALL_OPEN, CANNED_CLOSE, HEAD("400", "a/b") "\r\n{}", "loss 6 400 0;"},
    {CALL_OPEN, CANNED_CLOSE, HEAD("422", "a/b") "\r\n{}", "loss 6 422 0;"},
    {CALL_OPEN, CANNED_CLOSE, HEAD("500", "a/b") "\r\n{}", "loss 4 500 0;"},
    {CALL_OPEN, CANNED_CLOSE, HEAD("404", "a/b") "\r\n{}", "loss 4 404 0;"},
    {CALL_REATTACH, CANNED_CLOSE, HEAD("404", "a/b") "\r\n{}",
     "loss 5 404 0;"},
    {CALL_REATTACH, CANNED_CLOSE,
     EVENTS CHUNK("a", "[1,2]") CHUNK("b", "[3]") DONE,
     "7@40+2 a;7@42+1 b;end;"},
    {CALL_SERVICE, CANNED_KEEP,
     HEAD("201", "a/b") "Content-Length: 2\r\n\r\nok", "reply 201 a/b ok;"},
    {CALL_SERVICE, CANNED_KEEP, HEAD("500", "a/b") "Content-Length: 0\r\n\r\n",
     "reply 500 a/b ;"},
    {CALL_SERVICE, CANNED_CLOSE,
     HEAD("201", "a/b") "Content-Length: 9\r\n\r\nok", "loss 2 201 0;"},
    {CALL_SERVICE, CANNED_CLOSE,
     HEAD("503", "a/b") "Retry-After: 1\r\n\r\nbusy", "loss 3 503 1000;"},
    {CALL_SERVICE, CANNED_RESET, "", "loss 2 0 0;"},
    {CALL_LOAD, CANNED_CLOSE,
     HEAD("200", "text/plain") "\r\nvllm:num_requests_running 2\n"
                               "vllm:num_requests_waiting 3\n",
     "load r1 1 2 3;"},
    {CALL_LOAD, CANNED_CLOSE, HEAD("200", "text/plain") "\r\nother 2\n",
     "load r1 0 0 0;"},
    {CALL_LOAD, CANNED_CLOSE, HEAD("500", "text/plain") "\r\n",
     "load r1 0 0 0;"},
    {CALL_LOAD, CANNED_RESET, "", "load r1 0 0 0;"},
};

/*
 * Each reply is sent at once, byte by byte and in parts of 5 bytes.  No
 * request is retried.
 */
START_TEST(each_outcome_is_reported_at_every_split)
{
    static const size_t splits[] = {0, 1, 5};
    const case_t *c = &cases[_i];
    size_t i;

    for (i = 0; i < sizeof(splits) / sizeof(splits[0]); i++) {
        canned_reply_t reply = {c->reply, splits[i], c->end};

        reports[0] = '\0';
        finished = false;
        setup(c->call, &reply, 1);
        make_call(c->call, STREAM);
        fixture_wait(&fixture, &finished);
        ck_assert_str_eq(reports, c->reports);
        ck_assert_uint_eq(canned_requests(server), 1);
        teardown();
    }
}
END_TEST

static const canned_reply_t two_chunks = {
    EVENTS CHUNK("a", "[1]") CHUNK("b", "[2]") DONE, 0, CANNED_CLOSE};

START_TEST(requests_have_expected_path_and_headers)
{
    setup(CALL_OPEN, &two_chunks, 1);
    make_call(CALL_OPEN, STREAM);
    fixture_wait(&fixture, &finished);
    ck_assert_ptr_eq(
        strstr(canned_last(server), "POST /v1/completions HTTP/1.1\r\n"),
        canned_last(server));
    ck_assert_ptr_nonnull(
        strstr(canned_last(server), "X-Request-Id: o~2fk.1.2\r\n"));
    finished = false;
    make_call(CALL_REATTACH, STREAM);
    fixture_wait(&fixture, &finished);
    ck_assert_ptr_nonnull(strstr(
        canned_last(server),
        "GET "
        "/v1/completions/chatcmpl-o~2fk.1.2?stream=true&starting_after=40 "));
    teardown();
    finished = false;
    setup(CALL_SERVICE, &two_chunks, 1);
    make_call(CALL_SERVICE, STREAM);
    fixture_wait(&fixture, &finished);
    ck_assert_ptr_nonnull(
        strstr(canned_last(server), "PUT /slots/7?a=b HTTP/1.1\r\n"));
    ck_assert_ptr_nonnull(
        strstr(canned_last(server), "\r\n\r\n{\"prompt\":\"p\"}"));
    teardown();
}
END_TEST

START_TEST(refused_connection_is_reported)
{
    setup((call_t)_i, &two_chunks, 1);
    canned_free(server);
    (void)uv_run(&fixture.loop, UV_RUN_NOWAIT);
    make_call((call_t)_i, STREAM);
    fixture_wait(&fixture, &finished);
    ck_assert_str_eq(reports,
                     _i == CALL_LOAD ? "load r1 0 0 0;" : "loss 1 0 0;");
    server = canned_new(&fixture.loop, &two_chunks, 1);
    teardown();
}
END_TEST

/*
 * The server may have closed an idle connection of a load poll, so a stream
 * must not reuse it.
 */
START_TEST(idle_connection_is_not_reused)
{
    canned_reply_t replies[] = {
        {HEAD("200", "a/b") "Content-Length: 0\r\n\r\n", 0, CANNED_KEEP},
        {"", 0, CANNED_CLOSE}};

    setup((call_t)_i, replies, 2);
    make_call(CALL_LOAD, STREAM);
    fixture_wait(&fixture, &finished);
    finished = false;
    reports[0] = '\0';
    make_call((call_t)_i, STREAM);
    fixture_wait(&fixture, &finished);
    ck_assert_str_eq(reports, "loss 2 0 0;");
    ck_assert_uint_eq(canned_requests(server), 2);
    teardown();
}
END_TEST

/* The engine receives the cancel, and no further event is reported. */
START_TEST(no_report_follows_a_cancel_in_a_chunk)
{
    callback_action = CANCEL_IN_CHUNK;
    setup(CALL_OPEN, &two_chunks, 1);
    make_call(CALL_OPEN, STREAM);
    while (canned_requests(server) < 2) {
        loop_turn(&fixture.loop);
    }
    ck_assert_ptr_nonnull(strstr(
        canned_last(server), "POST /v1/completions/cmpl-o~2fk.1.2/cancel "));
    ck_assert_str_eq(reports, "7@0+1 a;");
    teardown();
}
END_TEST

START_TEST(stream_opens_in_a_loss_callback)
{
    canned_reply_t replies[] = {{HEAD("503", "a/b") "\r\n", 0, CANNED_CLOSE},
                                two_chunks};

    callback_action = OPEN_IN_LOSS;
    setup(CALL_OPEN, replies, 2);
    make_call(CALL_OPEN, STREAM);
    fixture_wait(&fixture, &finished);
    ck_assert_str_eq(reports, "loss 3 503 0;8@0+1 a;8@1+1 b;end;");
    teardown();
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("backend");

    tcase_add_loop_test(tcase, each_outcome_is_reported_at_every_split, 0,
                        sizeof(cases) / sizeof(cases[0]));
    tcase_add_test(tcase, requests_have_expected_path_and_headers);
    tcase_add_loop_test(tcase, refused_connection_is_reported, 0,
                        CALL_LOAD + 1);
    tcase_add_loop_test(tcase, idle_connection_is_not_reused, 0,
                        CALL_SERVICE + 1);
    tcase_add_test(tcase, no_report_follows_a_cancel_in_a_chunk);
    tcase_add_test(tcase, stream_opens_in_a_loss_callback);
    return fixture_main("backend", tcase);
}
