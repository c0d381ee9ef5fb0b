/* test_backend.c - engines and plain services against canned bytes. */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "backend/backend.h"
#include "regress/fixture.h"
#include "regress/canned.h"
#include "regress/turn.h"
#include "regress/turn.h"

enum { SEEN_BYTES = 4096, STREAM = 7, OTHER = 8 };

#define HEAD(status, type)                                                    \
    "HTTP/1.1 " status " x\r\nContent-Type: " type "\r\n"
#define EVENTS HEAD("200", "text/event-stream; charset=utf-8") "\r\n"
#define PIECE(text, ids)                                                      \
    "data: {\"choices\":[{\"text\":\"" text "\",\"token_ids\":" ids "}]}\n\n"
#define DONE "data: [DONE]\n\n"

typedef enum { CALL_OPEN, CALL_REATTACH, CALL_SERVICE, CALL_LOAD } call_t;
typedef enum { DO_NOTHING, CANCEL_IN_PIECE, OPEN_IN_LOSS } deed_t;

static fixture_t fixture;
static canned_t *server;
static backend_t *backend;
static char address[64];
static char seen[SEEN_BYTES];
static bool over;
static deed_t deed;

static void make_call(call_t call, uint64_t stream);

static void __attribute__((format(printf, 1, 2))) note(const char *format, ...)
{
    size_t used = strlen(seen);
    va_list args;

    va_start(args, format);
    (void)vsnprintf(seen + used, sizeof(seen) - used, format, args);
    va_end(args);
}

static void
on_piece(backend_listener_t *listener, const backend_piece_t *piece)
{
    note("%d@%u+%u %.*s;", (int)piece->stream, piece->position,
         piece->token_count, (int)piece->text_bytes, piece->text);
    if (deed == CANCEL_IN_PIECE) {
        backend->ops->cancel(backend, piece->stream, false);
    }
}

static void
on_end(backend_listener_t *listener, uint64_t stream)
{
    note("end;");
    over = true;
}

static void
on_loss(backend_listener_t *listener, uint64_t stream, backend_loss_t kind,
        uint32_t status, uint32_t retry_after_ms)
{
    note("loss %d %u %u;", kind, status, retry_after_ms);
    over = true;
    if (deed == OPEN_IN_LOSS) {
        deed = DO_NOTHING;
        over = false;
        make_call(CALL_OPEN, OTHER);
    }
}

static void
on_reply(backend_listener_t *listener, uint64_t stream, uint32_t status,
         const char *content_type, const char *body, size_t body_bytes)
{
    note("reply %u %s %.*s;", status, content_type, (int)body_bytes, body);
    over = true;
}

static void
on_load(backend_listener_t *listener, const char *runner, bool reached,
        uint32_t running, uint32_t waiting)
{
    note("load %s %d %u %u;", runner, reached, running, waiting);
    over = true;
}

static const backend_listener_ops_t listener_ops = {on_piece, on_end, on_loss,
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
    backend_reattach_t again = {.stream = stream,
                                .address = address,
                                .stream_name = "o/k.1.2",
                                .endpoint = BACKEND_CHAT,
                                .after = 40};

    if (call == CALL_REATTACH) {
        backend->ops->reattach(backend, &again);
    }
    else if (call == CALL_LOAD) {
        backend->ops->poll_load(backend, "r1", address);
    }
    else {
        backend->ops->open(backend, &request);
    }
}

static void
open_world(call_t call, const canned_reply_t *replies, size_t count)
{
    fixture_open(&fixture);
    server = canned_new(&fixture.loop, replies, count);
    (void)snprintf(address, sizeof(address), "127.0.0.1:%d",
                   canned_port(server));
    backend = call == CALL_SERVICE ? service_new(fixture.client, &listener)
                                   : engine_new(fixture.client, &listener);
}

static void
close_world(void)
{
    backend->ops->free(backend);
    canned_free(server);
    fixture_close(&fixture);
}

typedef struct {
    call_t call;
    canned_end_t end;
    const char *reply;
    const char *seen;
} case_t;

static const case_t cases[] = {
    {CALL_OPEN, CANNED_CLOSE,
     EVENTS PIECE("a", "[1]") PIECE("", "[2]") PIECE("bc", "[3,4]") DONE,
     "7@0+1 a;7@1+1 ;7@2+2 bc;end;"},
    {CALL_OPEN, CANNED_KEEP,
     EVENTS PIECE("a", "[1]") DONE PIECE("b", "[2]") DONE, "7@0+1 a;end;"},
    {CALL_OPEN, CANNED_CLOSE,
     EVENTS PIECE("a", "null") PIECE("b", "null") DONE,
     "7@0+0 a;7@0+0 b;end;"},
    {CALL_OPEN, CANNED_CLOSE, EVENTS PIECE("a", "[1]"),
     "7@0+1 a;loss 2 200 0;"},
    {CALL_OPEN, CANNED_CLOSE, EVENTS PIECE("a", "[1]") "data: [DONE]",
     "7@0+1 a;loss 2 200 0;"},
    {CALL_OPEN, CANNED_CLOSE,
     EVENTS PIECE("a", "[1]") "data: {\"error\":{}}\n\n" DONE,
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
     EVENTS PIECE("a", "[1,2]") PIECE("b", "[3]") DONE,
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

/* Each whole and byte by byte; nothing is ever sent twice. */
START_TEST(reports)
{
    static const size_t splits[] = {0, 1, 5};
    const case_t *c = &cases[_i];
    size_t i;

    for (i = 0; i < sizeof(splits) / sizeof(splits[0]); i++) {
        canned_reply_t reply = {c->reply, splits[i], c->end};

        seen[0] = '\0';
        over = false;
        open_world(c->call, &reply, 1);
        make_call(c->call, STREAM);
        fixture_wait(&fixture, &over);
        ck_assert_str_eq(seen, c->seen);
        ck_assert_uint_eq(canned_requests(server), 1);
        close_world();
    }
}
END_TEST

static const canned_reply_t pieces = {
    EVENTS PIECE("a", "[1]") PIECE("b", "[2]") DONE, 0, CANNED_CLOSE};

START_TEST(requests_as_written)
{
    open_world(CALL_OPEN, &pieces, 1);
    make_call(CALL_OPEN, STREAM);
    fixture_wait(&fixture, &over);
    ck_assert_ptr_eq(
        strstr(canned_last(server), "POST /v1/completions HTTP/1.1\r\n"),
        canned_last(server));
    ck_assert_ptr_nonnull(
        strstr(canned_last(server), "X-Request-Id: o~2fk.1.2\r\n"));
    over = false;
    make_call(CALL_REATTACH, STREAM);
    fixture_wait(&fixture, &over);
    ck_assert_ptr_nonnull(strstr(
        canned_last(server),
        "GET "
        "/v1/completions/chatcmpl-o~2fk.1.2?stream=true&starting_after=40 "));
    close_world();
    over = false;
    open_world(CALL_SERVICE, &pieces, 1);
    make_call(CALL_SERVICE, STREAM);
    fixture_wait(&fixture, &over);
    ck_assert_ptr_nonnull(
        strstr(canned_last(server), "PUT /slots/7?a=b HTTP/1.1\r\n"));
    ck_assert_ptr_nonnull(
        strstr(canned_last(server), "\r\n\r\n{\"prompt\":\"p\"}"));
    close_world();
}
END_TEST

START_TEST(refused_connection)
{
    open_world((call_t)_i, &pieces, 1);
    canned_free(server);
    (void)uv_run(&fixture.loop, UV_RUN_NOWAIT);
    make_call((call_t)_i, STREAM);
    fixture_wait(&fixture, &over);
    ck_assert_str_eq(seen, _i == CALL_LOAD ? "load r1 0 0 0;" : "loss 1 0 0;");
    server = canned_new(&fixture.loop, &pieces, 1);
    close_world();
}
END_TEST

/* A connection kept from a report of load may be closed by now. */
START_TEST(kept_connection_is_not_used)
{
    canned_reply_t replies[] = {
        {HEAD("200", "a/b") "Content-Length: 0\r\n\r\n", 0, CANNED_KEEP},
        {"", 0, CANNED_CLOSE}};

    open_world((call_t)_i, replies, 2);
    make_call(CALL_LOAD, STREAM);
    fixture_wait(&fixture, &over);
    over = false;
    seen[0] = '\0';
    make_call((call_t)_i, STREAM);
    fixture_wait(&fixture, &over);
    ck_assert_str_eq(seen, "loss 2 0 0;");
    ck_assert_uint_eq(canned_requests(server), 2);
    close_world();
}
END_TEST

/* The order to cancel reaches the engine, and nothing more is reported. */
START_TEST(cancelled_in_a_piece)
{
    deed = CANCEL_IN_PIECE;
    open_world(CALL_OPEN, &pieces, 1);
    make_call(CALL_OPEN, STREAM);
    while (canned_requests(server) < 2) {
        loop_turn(&fixture.loop);
    }
    ck_assert_ptr_nonnull(strstr(
        canned_last(server), "POST /v1/completions/cmpl-o~2fk.1.2/cancel "));
    ck_assert_str_eq(seen, "7@0+1 a;");
    close_world();
}
END_TEST

START_TEST(opened_in_a_loss)
{
    canned_reply_t replies[] = {{HEAD("503", "a/b") "\r\n", 0, CANNED_CLOSE},
                                pieces};

    deed = OPEN_IN_LOSS;
    open_world(CALL_OPEN, replies, 2);
    make_call(CALL_OPEN, STREAM);
    fixture_wait(&fixture, &over);
    ck_assert_str_eq(seen, "loss 3 503 0;8@0+1 a;8@1+1 b;end;");
    close_world();
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("backend");

    tcase_add_loop_test(tcase, reports, 0, sizeof(cases) / sizeof(cases[0]));
    tcase_add_test(tcase, requests_as_written);
    tcase_add_loop_test(tcase, refused_connection, 0, CALL_LOAD + 1);
    tcase_add_loop_test(tcase, kept_connection_is_not_used, 0,
                        CALL_SERVICE + 1);
    tcase_add_test(tcase, cancelled_in_a_piece);
    tcase_add_test(tcase, opened_in_a_loss);
    return fixture_main("backend", tcase);
}
