/*
 * bench_wire.c - what engines' streams cost a host, one line a figure:
 * name value unit bound ok|short ("-" where there is no bound).
 *
 * A child process stands in for the engines: it writes one token to every
 * stream, rests, and so on, so that tokens arrive one by one.
 */
#include <arpa/inet.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "backend/backend.h"
#include "base/arena.h"

enum {
    ROUNDS = 200,
    REST_US = 20000,
    STREAMS_MAX = 800,
    REQUEST_BYTES = 4096,
    ADDRESS_BYTES = 32,
    TOKEN_US_MAX = 40,
};

static const char head[] = "HTTP/1.1 200 OK\r\n"
                           "Content-Type: text/event-stream\r\n\r\n";
static const char event[] =
    "data: {\"id\":\"cmpl-host-1-1-1\",\"object\":\"text_completion\","
    "\"created\":1,\"model\":\"planner-v3\",\"choices\":[{\"index\":0,"
    "\"text\":\" brake\",\"logprobs\":null,\"finish_reason\":null,"
    "\"token_ids\":[41234]}]}\n\n";
static const char end[] = "data: [DONE]\n\n";

typedef struct {
    uint32_t first; /* streams that have begun */
    uint32_t ended;
    uint32_t tokens;
    uint32_t streams;
    double begun_s; /* processor time when all had begun */
    size_t begun_bytes;
} run_t;

static run_t run;

static double
cpu_s(void)
{
    struct timespec now;

    (void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static void
print(const char *name, uint32_t size, double value, const char *unit,
      double bound)
{
    printf("%s_%u %.4g %s ", name, size, value, unit);
    if (bound == 0) {
        printf("- ok\n");
    }
    else {
        printf("%g %s\n", bound, value <= bound ? "ok" : "short");
    }
    (void)fflush(stdout);
}

/* Takes streams connections and serves them round after round. */
static void
serve(int listener, uint32_t streams)
{
    int *fds = xcalloc(streams, sizeof(*fds));
    char request[REQUEST_BYTES];
    uint32_t i;
    int round;

    for (i = 0; i < streams; i++) {
        fds[i] = accept(listener, NULL, NULL);
        (void)read(fds[i], request, sizeof(request));
        (void)write(fds[i], head, sizeof(head) - 1);
    }
    for (round = 0; round <= ROUNDS; round++) {
        for (i = 0; i < streams; i++) {
            (void)write(fds[i], event, sizeof(event) - 1);
        }
        (void)usleep(REST_US);
    }
    for (i = 0; i < streams; i++) {
        (void)write(fds[i], end, sizeof(end) - 1);
        (void)close(fds[i]);
    }
    free(fds);
}

static pid_t
start_engine(char *address, uint32_t streams)
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    socklen_t length = sizeof(at);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    pid_t child;

    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(listener, (struct sockaddr *)&at, length) < 0 ||
        listen(listener, STREAMS_MAX) < 0 ||
        getsockname(listener, (struct sockaddr *)&at, &length) < 0) {
        perror("bench_wire: cannot listen");
        exit(EXIT_FAILURE);
    }
    (void)snprintf(address, ADDRESS_BYTES, "127.0.0.1:%d", ntohs(at.sin_port));
    child = fork();
    if (child == 0) {
        serve(listener, streams);
        _exit(EXIT_SUCCESS);
    }
    (void)close(listener);
    return child;
}

static void
on_chunk(backend_listener_t *listener, const backend_chunk_t *stream_chunk)
{
    if (stream_chunk->position == 0 && ++run.first == run.streams) {
        run.begun_s = cpu_s();
        run.begun_bytes = mallinfo2().uordblks;
        run.tokens = 0;
        return;
    }
    run.tokens += stream_chunk->token_count;
}

static void
on_end(backend_listener_t *listener, uint64_t stream)
{
    run.ended++;
}

static void
on_loss(backend_listener_t *listener, uint64_t stream, backend_loss_t kind,
        uint32_t status, uint32_t retry_after_ms)
{
    (void)fprintf(stderr, "bench_wire: stream lost: %d\n", kind);
    exit(EXIT_FAILURE);
}

static const backend_listener_ops_t listener_ops = {
    .stream_chunk = on_chunk, .end = on_end, .loss = on_loss};

static void
open_streams(backend_t *engine, const char *address, uint32_t streams)
{
    static const char body[] =
        "{\"model\":\"planner\",\"prompt\":\"Plan the service of bus 12\","
        "\"max_tokens\":4000,\"stream\":true,\"temperature\":0.7}";
    char name[ADDRESS_BYTES];
    uint32_t i;

    for (i = 0; i < streams; i++) {
        backend_request_t request = {.stream = i + 1,
                                     .address = address,
                                     .stream_name = name,
                                     .body = body,
                                     .body_bytes = sizeof(body) - 1,
                                     .model = "planner-v3"};

        (void)snprintf(name, sizeof(name), "host-1-%u-1", i);
        engine->ops->open(engine, &request);
    }
}

static void
measure(uint32_t streams)
{
    backend_listener_t listener = {&listener_ops};
    char address[ADDRESS_BYTES];
    pid_t child = start_engine(address, streams);
    uv_loop_t loop;
    http_client_t *client;
    backend_t *engine;
    size_t before_bytes;
    double before_s;

    (void)uv_loop_init(&loop);
    client = http_client_new(&loop);
    engine = engine_new(client, &listener);
    run = (run_t){.streams = streams};
    before_s = cpu_s();
    before_bytes = mallinfo2().uordblks;
    open_streams(engine, address, streams);
    while (run.ended < streams) {
        (void)uv_run(&loop, UV_RUN_ONCE);
    }
    print("wire_stream_open_cpu", streams,
          (run.begun_s - before_s) * 1e6 / streams, "us", 0);
    print("wire_stream_memory", streams,
          (double)(run.begun_bytes - before_bytes) / streams, "bytes", 0);
    print("wire_token_cpu", streams,
          (cpu_s() - run.begun_s) * 1e6 / run.tokens, "us", TOKEN_US_MAX);
    engine->ops->free(engine);
    http_client_free(client);
    (void)uv_run(&loop, UV_RUN_DEFAULT);
    (void)uv_loop_close(&loop);
    (void)waitpid(child, NULL, 0);
}

int
main(void)
{
    static const uint32_t sizes[] = {50, 100, 200, 400, STREAMS_MAX};
    size_t i;

    for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        measure(sizes[i]);
    }
    return EXIT_SUCCESS;
}
