/* test_engine.c - the engine client against a stand-in engine process. */
#include <stdio.h>
#include <string.h>

#include "backend/backend.h"
#include "regress/fixture.h"
#include "regress/child.h"
#include "regress/turn.h"

enum { TOKENS = 60, CUT = 23, PROMPT_MAX = 256, STREAM = 1 };

/* What one stream gave. */
typedef struct {
    uint32_t prompt[PROMPT_MAX];
    uint32_t prompt_count;
    uint32_t ids[TOKENS];
    uint32_t first; /* the position of its first token */
    uint32_t count;
    char text[4096];
    backend_finish_t finish;
    bool ended;
    backend_loss_t loss;
} stream_t;

static fixture_t fixture;
static backend_t *engine;
static child_t process;
static char address[64];
static stream_t *now; /* the stream that is open */
static uint32_t running;
static bool reported;

static void
on_chunk(backend_listener_t *listener, const backend_chunk_t *stream_chunk)
{
    if (stream_chunk->prompt_count > 0) {
        ck_assert_uint_le(stream_chunk->prompt_count, PROMPT_MAX);
        memcpy(now->prompt, stream_chunk->prompt_ids,
               stream_chunk->prompt_count * sizeof(*now->prompt));
        now->prompt_count = stream_chunk->prompt_count;
    }
    if (now->count == 0) {
        now->first = stream_chunk->position;
    }
    ck_assert_uint_eq(stream_chunk->position, now->first + now->count);
    ck_assert_uint_le(now->count + stream_chunk->token_count, TOKENS);
    memcpy(now->ids + now->count, stream_chunk->token_ids,
           stream_chunk->token_count * sizeof(*now->ids));
    now->count += stream_chunk->token_count;
    (void)strncat(now->text, stream_chunk->text, stream_chunk->text_bytes);
    if (stream_chunk->finish != BACKEND_FINISH_NONE) {
        now->finish = stream_chunk->finish;
    }
}

static void
on_end(backend_listener_t *listener, uint64_t stream)
{
    now->ended = true;
}

static void
on_loss(backend_listener_t *listener, uint64_t stream, backend_loss_t kind,
        uint32_t status, uint32_t retry_after_ms)
{
    now->loss = kind;
}

static void
on_load(backend_listener_t *listener, const char *runner, bool reached,
        uint32_t runs, uint32_t waiting)
{
    ck_assert(reached);
    running = runs;
    reported = true;
}

static const backend_listener_ops_t listener_ops = {on_chunk, on_end, on_loss,
                                                    NULL, on_load};
static backend_listener_t listener = {&listener_ops};

static void
open_world(void)
{
    char *argv[] = {STANDIN_ENGINE, "-t", "2000", "-m", "m", NULL};

    fixture_open(&fixture);
    engine = engine_new(fixture.client, &listener);
    process = child_start(argv);
    (void)snprintf(address, sizeof(address), "127.0.0.1:%d", process.port);
}

static void
close_world(void)
{
    engine->ops->free(engine);
    fixture_close(&fixture);
    child_kill(&process);
}

/* Opens a stream; with a former one's tokens it resumes from them. */
static void
open_stream(stream_t *stream, const char *name, backend_endpoint_t endpoint,
            const stream_t *former)
{
    static const char *const bodies[] = {
        [BACKEND_COMPLETIONS] = "{\"prompt\":\"Plan the brakes of bus 12\"}",
        [BACKEND_CHAT] = "{\"messages\":[{\"role\":\"user\",\"content\":"
                         "\"Plan the brakes of bus 12\"}]}"};
    uint32_t ids[PROMPT_MAX + TOKENS];
    backend_request_t request = {.stream = STREAM,
                                 .address = address,
                                 .stream_name = name,
                                 .endpoint = endpoint,
                                 .body = bodies[endpoint],
                                 .body_bytes = strlen(bodies[endpoint]),
                                 .model = "m",
                                 .max_tokens = TOKENS,
                                 .has_seed = true,
                                 .seed = 5};

    if (former != NULL) {
        memcpy(ids, former->prompt, former->prompt_count * sizeof(*ids));
        memcpy(ids + former->prompt_count, former->ids,
               former->count * sizeof(*ids));
        request.prompt_ids = ids;
        request.prompt_count = former->prompt_count + former->count;
        request.max_tokens = TOKENS - former->count;
    }
    *stream = (stream_t){0};
    now = stream;
    engine->ops->open(engine, &request);
}

static void
reattach(stream_t *stream, const char *name, backend_endpoint_t endpoint,
         uint32_t after)
{
    backend_reattach_t again = {.stream = STREAM,
                                .address = address,
                                .stream_name = name,
                                .endpoint = endpoint,
                                .after = after};

    *stream = (stream_t){0};
    now = stream;
    engine->ops->reattach(engine, &again);
}

static void
run_until_tokens(uint32_t count)
{
    while (now->count < count && now->loss == 0) {
        loop_turn(&fixture.loop);
    }
}

static void
run_until_over(void)
{
    while (!now->ended && now->loss == 0) {
        loop_turn(&fixture.loop);
    }
}

/* The two parts together are the whole, token by token. */
static void
check_joined(const stream_t *whole, const stream_t *head, const stream_t *tail)
{
    char text[8192];

    ck_assert(whole->ended);
    ck_assert_uint_eq(whole->count, TOKENS);
    ck_assert(tail->ended);
    ck_assert_uint_eq(head->count + tail->count, TOKENS);
    ck_assert_mem_eq(whole->ids, head->ids, head->count * sizeof(uint32_t));
    ck_assert_mem_eq(whole->ids + head->count, tail->ids,
                     tail->count * sizeof(uint32_t));
    (void)snprintf(text, sizeof(text), "%s%s", head->text, tail->text);
    ck_assert_str_eq(text, whole->text);
    ck_assert_int_eq(whole->finish, BACKEND_FINISH_LENGTH);
    ck_assert_int_eq(tail->finish, BACKEND_FINISH_LENGTH);
}

START_TEST(reattached)
{
    backend_endpoint_t endpoint = (backend_endpoint_t)_i;
    stream_t whole;
    stream_t head;
    stream_t tail;

    open_world();
    open_stream(&whole, "r-1", endpoint, NULL);
    run_until_over();
    open_stream(&head, "r-2", endpoint, NULL);
    run_until_tokens(CUT);
    engine->ops->cancel(engine, STREAM, true);
    reattach(&tail, "r-2", endpoint, head.count);
    run_until_over();
    ck_assert_uint_eq(tail.first, head.count);
    check_joined(&whole, &head, &tail);
    close_world();
}
END_TEST

START_TEST(resumed_after_a_kill)
{
    backend_endpoint_t endpoint = (backend_endpoint_t)_i;
    stream_t whole;
    stream_t head;
    stream_t tail;

    open_world();
    open_stream(&whole, "r-1", endpoint, NULL);
    run_until_over();
    ck_assert_uint_gt(whole.prompt_count, 0);
    open_stream(&head, "r-2", endpoint, NULL);
    run_until_tokens(CUT);
    child_kill(&process);
    run_until_over();
    ck_assert_int_eq(head.loss, BACKEND_RESET);
    process = child_start((char *[]){STANDIN_ENGINE, "-m", "m", NULL});
    (void)snprintf(address, sizeof(address), "127.0.0.1:%d", process.port);
    open_stream(&tail, "r-3", endpoint, &head);
    run_until_over();
    ck_assert_uint_eq(tail.first, 0);
    check_joined(&whole, &head, &tail);
    close_world();
}
END_TEST

START_TEST(unknown_stream)
{
    stream_t stream;

    open_world();
    reattach(&stream, "r-9", BACKEND_COMPLETIONS, 0);
    run_until_over();
    ck_assert_int_eq(stream.loss, BACKEND_STREAM_NOT_FOUND);
    close_world();
}
END_TEST

/* After an order to cancel the engine runs nothing. */
START_TEST(cancelled)
{
    stream_t stream;

    open_world();
    open_stream(&stream, "r-1", (backend_endpoint_t)_i, NULL);
    run_until_tokens(1);
    engine->ops->cancel(engine, STREAM, false);
    running = 1;
    while (running > 0) {
        reported = false;
        engine->ops->poll_load(engine, "r1", address);
        fixture_wait(&fixture, &reported);
    }
    ck_assert_uint_lt(stream.count, TOKENS);
    ck_assert(!stream.ended);
    close_world();
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("engine");

    tcase_add_loop_test(tcase, reattached, 0, BACKEND_CHAT + 1);
    tcase_add_loop_test(tcase, resumed_after_a_kill, 0, BACKEND_CHAT + 1);
    tcase_add_test(tcase, unknown_stream);
    tcase_add_loop_test(tcase, cancelled, 0, BACKEND_CHAT + 1);
    return fixture_main("engine", tcase);
}
