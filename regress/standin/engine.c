/* engine.c - stands in for a model engine: a seeded, repeatable one. */
#include <argp.h>
#include <err.h>
#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "regress/standin/engine.h"

enum {
    TICK_MS = 1,
    CATCH_UP_US = 100 * 1000, /* a pause is not made up for */
    KEEP_DONE_US = 60 * 1000 * 1000,
    KEEP_UNBOUND_US = 30 * 1000 * 1000,
    CRASH_AT_TOKENS = 5,
    METRICS_BYTES = 1024,
    LINE_BYTES = 512,
};

static engine_options_t options = {
    .token_us = 2000, .batch = 64, .cache_blocks = 8192, .models = "m"};
static generation_t *generations; /* the newest first */
static uv_loop_t *loop;
static json_t *orders; /* what was loaded and unloaded */
static int journal_fd = -1;
static int work_fd = -1; /* work done, also by former processes */
static uint64_t former_prompt, former_output;
static uint64_t prompt_tokens, cached_tokens, output_tokens, starts;

static error_t parse_option(int key, char *arg, struct argp_state *state);
static uint64_t now_us(void);
static generation_t *find(const char *id, size_t length);
static void journal(const char *name, const char *endpoint, const char *tag);
static void open_journal(void);
static void write_work(void);
static void start(server_conn_t *conn, const server_request_t *request,
                  bool chat);
static void run(generation_t *generation, uint64_t now);
static uint64_t first_salt(const generation_t *generation);
static void produce(generation_t *generation);
static void finish(generation_t *generation, const char *reason);
static void reattach(server_conn_t *conn, const server_request_t *request);
static void cancel(server_conn_t *conn, const server_request_t *request);
static void serve_metrics(server_conn_t *conn);
static void serve_models(server_conn_t *conn);
static void serve_order(server_conn_t *conn, const server_request_t *request);
static void serve_plain(server_conn_t *conn, const server_request_t *request);
static void on_request(server_conn_t *conn, const server_request_t *request);
static void on_gone(void *user);
static void on_tick(uv_timer_t *timer);
static void admit(uint64_t now);
static void sweep(uint64_t now);

static uint64_t
now_us(void)
{
    return uv_hrtime() / 1000;
}

static generation_t *
find(const char *id, size_t length)
{
    generation_t *each;

    for (each = generations; each != NULL; each = each->next) {
        if (strlen(each->id) == length && memcmp(each->id, id, length) == 0) {
            return each;
        }
    }
    return NULL;
}

/* Counts a start where it outlives this process. */
static void
journal(const char *name, const char *endpoint, const char *tag)
{
    char line[LINE_BYTES];
    int length;

    starts++;
    length =
        snprintf(line, sizeof(line), "start %s %s %s\n", name, endpoint, tag);
    if (journal_fd >= 0 && write(journal_fd, line, (size_t)length) != length) {
        err(1, "the journal cannot be written");
    }
}

static void
open_journal(void)
{
    const int flags = O_RDWR | O_CREAT | O_CLOEXEC;
    char name[LINE_BYTES], line[LINE_BYTES] = "";

    if (options.journal == NULL) {
        return;
    }
    snprintf(name, sizeof(name), "%s.work", options.journal);
    journal_fd = open(options.journal, flags | O_APPEND, 0644);
    work_fd = open(name, flags, 0644);
    if (journal_fd < 0 || work_fd < 0 ||
        pread(work_fd, line, sizeof(line) - 1, 0) < 0) {
        err(1, "%s", options.journal);
    }
    sscanf(line, "%" SCNu64 " %" SCNu64, &former_prompt, &former_output);
}

/* Keeps the work counted where it outlives this process. */
static void
write_work(void)
{
    static uint64_t written;
    uint64_t prompt = former_prompt + prompt_tokens - cached_tokens;
    uint64_t output = former_output + output_tokens;
    char line[LINE_BYTES];
    int length;

    if (work_fd < 0 || prompt + output == written) {
        return;
    }
    length = snprintf(line, sizeof(line), "%20" PRIu64 " %20" PRIu64 "\n",
                      prompt, output);
    if (pwrite(work_fd, line, (size_t)length, 0) != length) {
        err(1, "the work done cannot be written");
    }
    written = prompt + output;
}

static void
start(server_conn_t *conn, const server_request_t *request, bool chat)
{
    generation_t *generation = request_parse(request, chat);
    const char *name = request->name;
    char unnamed[32];

    if (generation == NULL) {
        send_error(conn, 400, "the body is wrong: see the protocol");
        return;
    }
    if (name[0] == '\0') {
        snprintf(unnamed, sizeof(unnamed), "unnamed-%llu",
                 (unsigned long long)starts);
        name = unnamed;
    }
    snprintf(generation->id, sizeof(generation->id), "%s-%s",
             chat ? "chatcmpl" : "cmpl", name);
    journal(name, request->path, generation->tag);
    generation->next = generations;
    generations = generation;
    generation->conn = conn;
    server_watch(conn, generation);
    if (generation->streamed) {
        server_stream_begin(conn, "text/event-stream");
    }
    admit(now_us());
}

static void
run(generation_t *generation, uint64_t now)
{
    uint32_t cached;

    cached = cache_prompt(generation->prompt_ids, generation->prompt_count);
    prompt_tokens += generation->prompt_count;
    cached_tokens += cached;
    generation->state = GENERATION_RUNNING;
    generation->due_us = now + options.token_us +
                         (uint64_t)(generation->prompt_count - cached) *
                             options.prefill_us_per_token;
}

/* Starts the most urgent that wait while there is room in the batch. */
static void
admit(uint64_t now)
{
    generation_t *each, *best;
    uint32_t running;

    for (;;) {
        best = NULL;
        running = 0;
        for (each = generations; each != NULL; each = each->next) {
            running += each->state == GENERATION_RUNNING;
            if (each->state == GENERATION_WAITING &&
                (best == NULL || each->priority <= best->priority)) {
                best = each;
            }
        }
        if (best == NULL || running >= options.batch) {
            return;
        }
        run(best, now);
    }
}

static void
finish(generation_t *generation, const char *reason)
{
    generation->state = GENERATION_DONE;
    generation->finish = reason;
    generation->since_us = now_us();
}

/* Differs with the process and with the stream. */
static uint64_t
first_salt(const generation_t *generation)
{
    generate_t name;

    generate_init(&name, generation->id);
    return name.hash + (uint64_t)getpid();
}

static void
produce(generation_t *generation)
{
    uint32_t id = generate_next(&generation->generate);

    if (options.vary && !generation->has_seed &&
        generation->generate.output_count == 0) {
        id = generate_first(&generation->generate, first_salt(generation));
    }

    generate_feed(&generation->generate, id);
    generation->output_ids[generation->output_count++] = id;
    output_tokens++;
    if (generation->crashes && generation->output_count == CRASH_AT_TOKENS) {
        abort();
    }
    if (id == GENERATE_STOP) {
        finish(generation, "stop");
    }
    else if (generation->output_count == generation->max_tokens) {
        finish(generation, "length");
    }
}

static void
on_tick(uv_timer_t *timer)
{
    generation_t *each;
    uint64_t now = now_us();

    for (each = generations; each != NULL; each = each->next) {
        while (each->state == GENERATION_RUNNING && each->due_us <= now) {
            produce(each);
            each->due_us += options.token_us;
            if (now > each->due_us + CATCH_UP_US) {
                each->due_us = now;
            }
        }
        if (each->conn == NULL) {
            continue;
        }
        if (each->streamed) {
            send_pieces(each);
        }
        else if (each->state == GENERATION_DONE) {
            send_whole(each);
        }
    }
    sweep(now);
    admit(now);
    write_work();
}

/* Drops what nobody has asked for in a while. */
static void
sweep(uint64_t now)
{
    generation_t **at = &generations, *each;

    while ((each = *at) != NULL) {
        uint64_t keep_us =
            each->state == GENERATION_DONE ? KEEP_DONE_US : KEEP_UNBOUND_US;

        if (each->conn != NULL || now < each->since_us + keep_us) {
            at = &each->next;
            continue;
        }
        *at = each->next;
        free(each->prompt_ids);
        free(each->output_ids);
        free(each);
    }
}

static void
on_gone(void *user)
{
    generation_t *generation = user;

    generation->conn = NULL;
    generation->since_us = now_us();
}

/* GET /v1/completions/{id}?stream=true&starting_after=N */
static void
reattach(server_conn_t *conn, const server_request_t *request)
{
    const char *id = request->path + strlen("/v1/completions/");
    const char *after = strstr(request->query, "starting_after=");
    generation_t *generation = find(id, strlen(id));
    server_conn_t *former;
    uint32_t from = 0;

    if (after != NULL) {
        from = (uint32_t)strtoul(after + strlen("starting_after="), NULL, 10);
    }
    if (generation == NULL || from > generation->output_count) {
        send_error(conn, 404, "no such stream: start it");
        return;
    }
    former = generation->conn;
    if (former != NULL) {
        server_watch(former, NULL);
        server_drop(former);
    }
    generation->conn = conn;
    generation->streamed = true;
    generation->sent_count = from;
    server_watch(conn, generation);
    server_stream_begin(conn, "text/event-stream");
    send_pieces(generation);
}

/* POST /v1/completions/{id}/cancel */
static void
cancel(server_conn_t *conn, const server_request_t *request)
{
    const char *id = request->path + strlen("/v1/completions/");
    generation_t *generation = find(id, strlen(id) - strlen("/cancel"));
    server_conn_t *former;

    if (generation == NULL) {
        send_error(conn, 404, "no such stream: nothing to cancel");
        return;
    }
    former = generation->conn;
    if (former != NULL) {
        server_watch(former, NULL);
        generation->conn = NULL;
        server_drop(former);
    }
    if (generation->state != GENERATION_DONE) {
        finish(generation, "cancelled");
    }
    generation->id[0] = '\0';
    send_json(conn, json_pack("{s:b}", "cancelled", 1));
}

static void
serve_metrics(server_conn_t *conn)
{
    char text[METRICS_BYTES];
    uint32_t running = 0, waiting = 0;
    generation_t *each;
    int length;

    for (each = generations; each != NULL; each = each->next) {
        running += each->state == GENERATION_RUNNING;
        waiting += each->state == GENERATION_WAITING;
    }
    length = snprintf(
        text, sizeof(text),
        "vllm:num_requests_running{model_name=\"%s\"} %u.0\n"
        "vllm:num_requests_waiting{model_name=\"%s\"} %u.0\n"
        "standin:prompt_tokens_total %llu\n"
        "standin:prompt_tokens_cached_total %llu\n"
        "standin:output_tokens_total %llu\n"
        "standin:starts_total %llu\n",
        options.models, running, options.models, waiting,
        (unsigned long long)prompt_tokens, (unsigned long long)cached_tokens,
        (unsigned long long)output_tokens, (unsigned long long)starts);
    server_reply(conn, 200, "text/plain; version=0.0.4", text, (size_t)length);
}

static void
serve_models(server_conn_t *conn)
{
    json_t *list = json_array();
    char *names = strdup(options.models), *rest = names, *name;

    while ((name = strsep(&rest, ",")) != NULL) {
        json_array_append_new(
            list, json_pack("{s:s, s:s}", "id", name, "object", "model"));
    }
    free(names);
    send_json(conn, json_pack("{s:s, s:o}", "object", "list", "data", list));
}

/* Records an order to load or unload, and gives the record back. */
static void
serve_order(server_conn_t *conn, const server_request_t *request)
{
    json_t *body = json_loadb(request->body, request->body_bytes, 0, NULL);

    json_array_append_new(
        orders, json_pack("{s:s, s:o?}", "path", request->path, "body", body));
    send_json(conn, json_incref(orders));
}

static void
serve_plain(server_conn_t *conn, const server_request_t *request)
{
    journal(request->name, request->path, strrchr(request->path, '/') + 1);
    send_json(conn, json_pack("{s:s, s:s}", "served", request->name, "path",
                              request->path));
}

static void
on_request(server_conn_t *conn, const server_request_t *request)
{
    const char *path = request->path;
    bool post = strcmp(request->method, "POST") == 0;
    size_t length = strlen(path);

    if (post && strcmp(path, "/v1/completions") == 0) {
        start(conn, request, false);
    }
    else if (post && strcmp(path, "/v1/chat/completions") == 0) {
        start(conn, request, true);
    }
    else if (post && strncmp(path, "/v1/completions/", 16) == 0 &&
             length > 23 && strcmp(path + length - 7, "/cancel") == 0) {
        cancel(conn, request);
    }
    else if (!post && strncmp(path, "/v1/completions/", 16) == 0) {
        reattach(conn, request);
    }
    else if (strcmp(path, "/metrics") == 0) {
        serve_metrics(conn);
    }
    else if (strcmp(path, "/v1/models") == 0) {
        serve_models(conn);
    }
    else if (post && strstr(path, "load_lora_adapter") != NULL) {
        serve_order(conn, request);
    }
    else if (strncmp(path, "/plain/", 7) == 0) {
        serve_plain(conn, request);
    }
    else {
        send_error(conn, 404, "no such path: see the protocol");
    }
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    switch (key) {
    case 'p':
        options.port = (uint32_t)atoi(arg);
        break;
    case 'm':
        options.models = arg;
        break;
    case 't':
        options.token_us = (uint32_t)atoi(arg);
        break;
    case 'f':
        options.prefill_us_per_token = (uint32_t)atoi(arg);
        break;
    case 'b':
        options.batch = (uint32_t)atoi(arg);
        break;
    case 'c':
        options.cache_blocks = (uint32_t)atoi(arg);
        break;
    case 'v':
        options.vary = true;
        break;
    case 'j':
        options.journal = arg;
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

int
main(int argc, char **argv)
{
    static const struct argp_option known[] = {
        {"port", 'p', "N", 0, "port on 127.0.0.1; 0: any", 0},
        {"models", 'm', "A,B", 0, "models that it has loaded", 0},
        {"token-us", 't', "N", 0, "time between tokens", 0},
        {"prefill-us-per-token", 'f', "N", 0, "time per new prompt token", 0},
        {"batch", 'b', "N", 0, "streams that generate at once", 0},
        {"cache-blocks", 'c', "N", 0, "blocks of 16 tokens cached", 0},
        {"vary", 'v', NULL, 0, "unseeded generations differ", 0},
        {"journal", 'j', "FILE", 0, "where each start is written", 0},
        {0}};
    static const struct argp argp = {
        known, parse_option, NULL, "Stands in for a model engine.",
        NULL,  NULL,         NULL};
    static const server_ops_t ops = {on_request, on_gone};
    uv_timer_t tick;

    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    open_journal();
    signal(SIGPIPE, SIG_IGN);
    loop = uv_default_loop();
    orders = json_array();
    cache_init(options.cache_blocks);
    server_listen(loop, (uint16_t)options.port, &ops);
    uv_timer_init(loop, &tick);
    uv_timer_start(&tick, on_tick, TICK_MS, TICK_MS);
    return uv_run(loop, UV_RUN_DEFAULT);
}
