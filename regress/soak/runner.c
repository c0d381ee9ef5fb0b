/*
 * runner.c - the runners of the platform, and what they have run.
 *
 * An engine gives SOAK_EVENTS events, which depend on what was asked and on
 * their number, so that a stream can go on anywhere; a plain runner gives one
 * body.  Every run is kept by its attempt's name until the end.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <time.h>

#include "base/arena.h"
#include "regress/soak/soak.h"
#include "regress/standin/server.h"

enum {
    READ_MS = 60,
    EVENT_MS = 30,
    PLAIN_MS = 15,
    SLOTS = 32,
    DOWN_LEAST_MS = 300,
    DOWN_SPREAD_MS = 1500,
    LAPSE_MS = 3600,
    LEAVING_MS = 2000, /* then it stops */
    SPOILT_MS = 3000,
    SPOILT_PERCENT = 20,
    HEAD_BYTES = 512,
    BODY_BYTES = 128,
    MS_PER_S = 1000,
    NS_PER_MS = 1000000,
};

typedef struct {
    char id[SOAK_NAME_BYTES];
    char gone_id[SOAK_NAME_BYTES]; /* its entry has not lapsed yet */
    const char *zone;
    bool engine;
    server_t *server; /* NULL: it is down */
    proxy_t *proxy;   /* its address in the registry */
    uint32_t starts;
    uint64_t back_ms;    /* starts again then; 0: it is up */
    uint64_t lapses_ms;  /* gone_id is taken out then; 0: nothing is */
    uint64_t leaving_ms; /* its entry says draining since; 0: not */
    uint64_t spoilt_until_ms;
} runner_t;

/* A run of a request. */
typedef struct run {
    LIST_ENTRY(run) entry;
    uv_timer_t timer;
    runner_t *runner;
    server_conn_t *conn; /* NULL: gone */
    attempt_t *attempt;
    char path[HEAD_BYTES];
    int64_t event;
    bool begun; /* its head is out */
    bool spoilt;
} run_t;

static runner_t runners[SOAK_RUNNERS_MAX];
static size_t count;
static LIST_HEAD(, run) runs = LIST_HEAD_INITIALIZER(runs);
static uint64_t revoked_ms;
static uv_timer_t timer;

static void on_request(server_conn_t *conn, const server_request_t *request);
static void on_gone(void *user);
static void on_step(uv_timer_t *step);
static void on_tick(uv_timer_t *tick);
static void start(runner_t *runner, bool same_id);
static void register_it(const runner_t *runner, const char *id);

static const server_ops_t ops = {on_request, on_gone};

void
runners_open(uint32_t engines)
{
    static const char *const zones[] = {"a", "b", "c"};
    size_t i;

    count = engines + SOAK_PLAIN;
    for (i = 0; i < count; i++) {
        runners[i].zone = zones[i % 3];
        runners[i].engine = i < engines;
        runners[i].proxy = proxy_open(0);
        start(&runners[i], false);
    }
    (void)uv_timer_init(soak_loop(), &timer);
    (void)uv_timer_start(&timer, on_tick, 50, 50);
}

size_t
runners_count(void)
{
    return count;
}

static void
start(runner_t *runner, bool same_id)
{
    struct timespec now;

    if (!same_id) {
        (void)snprintf(runner->id, sizeof(runner->id), "%s%zu-%" PRIu32,
                       runner->engine ? "engine" : "plain",
                       (size_t)(runner - runners), runner->starts);
    }
    runner->starts++;
    runner->back_ms = 0;
    runner->leaving_ms = 0;
    runner->server = server_open(soak_loop(), 0, &ops, runner);
    proxy_set_target(runner->proxy, server_port(runner->server));
    proxy_set_mode(runner->proxy, LINK_PASSES);
    (void)clock_gettime(CLOCK_REALTIME, &now);
    register_it(runner, runner->id);
}

static void
register_it(const runner_t *runner, const char *id)
{
    arena_t arena = {0};
    struct timespec now;

    (void)clock_gettime(CLOCK_REALTIME, &now);
    soak_store_put(
        arena_printf(&arena, "servers/%s", id),
        arena_printf(&arena,
                     "{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%d\","
                     "\"Zone\":\"%s\",\"BatchSize\":%d,\"State\":\"%s\","
                     "\"Version\":1,\"Sequence\":1,\"born\":%" PRId64 "}",
                     runner->engine ? "engine" : "plain",
                     (int)proxy_port(runner->proxy), runner->zone, SLOTS,
                     runner->leaving_ms > 0 ? "draining" : "ready",
                     (int64_t)now.tv_sec * MS_PER_S +
                         now.tv_nsec / NS_PER_MS));
    arena_free(&arena);
}

static void
unregister(const char *id)
{
    arena_t arena = {0};

    soak_store_put(arena_printf(&arena, "servers/%s", id), "");
    arena_free(&arena);
}

/* Silent: connections hang, and new ones too, until it is back. */
void
runner_crash(size_t which, bool silent)
{
    runner_t *runner = &runners[which];

    if (runner->server == NULL) {
        return;
    }
    if (silent) {
        proxy_set_mode(runner->proxy, LINK_SILENT);
    }
    server_close(runner->server);
    runner->server = NULL;
    if (!silent) {
        proxy_set_mode(runner->proxy, LINK_REFUSES);
    }
    memcpy(runner->gone_id, runner->id, sizeof(runner->id));
    runner->lapses_ms = soak_now_ms() + LAPSE_MS;
    runner->back_ms =
        soak_now_ms() + DOWN_LEAST_MS + soak_chance(DOWN_SPREAD_MS);
    soak_note("crash %s silent=%d", runner->id, silent);
}

void
runner_drain(size_t which)
{
    runner_t *runner = &runners[which];

    if (runner->server == NULL || runner->leaving_ms > 0) {
        return;
    }
    runner->leaving_ms = soak_now_ms();
    register_it(runner, runner->id);
    soak_note("drain %s", runner->id);
}

void
runner_spoil(size_t which)
{
    runners[which].spoilt_until_ms = soak_now_ms() + SPOILT_MS;
    soak_note("spoil %s", runners[which].id);
}

void
runners_heal(void)
{
    size_t i;

    for (i = 0; i < count; i++) {
        runners[i].spoilt_until_ms = 0;
    }
}

/* Starts again what is down; the old entry lapses by itself. */
static void
on_tick(uv_timer_t *tick)
{
    uint64_t now_ms = soak_now_ms();
    size_t i;

    for (i = 0; i < count; i++) {
        runner_t *runner = &runners[i];

        if (runner->back_ms > 0 && now_ms >= runner->back_ms) {
            bool same_id = soak_chance(4) == 0;

            start(runner, same_id);
            if (same_id) {
                runner->lapses_ms = 0;
            }
        }
        if (runner->lapses_ms > 0 && now_ms >= runner->lapses_ms) {
            runner->lapses_ms = 0;
            unregister(runner->gone_id);
        }
        if (runner->leaving_ms > 0 && runner->server != NULL &&
            now_ms >= runner->leaving_ms + SOAK_LEAVE_MS + LEAVING_MS) {
            unregister(runner->id);
            server_close(runner->server);
            runner->server = NULL;
            runner->back_ms = now_ms + DOWN_LEAST_MS;
        }
    }
}

void
runners_revoked(uint64_t at_ms)
{
    revoked_ms = at_ms;
}

/* A small answer that says that the request was not run, or 200. */
static void
reply(server_conn_t *conn, int status, bool not_run, const char *more)
{
    char head[HEAD_BYTES];
    int length = snprintf(head, sizeof(head),
                          "HTTP/1.1 %d X\r\n%s%sContent-Length: 2\r\n\r\n{}",
                          status, not_run ? "Not-Executed: 1\r\n" : "", more);

    server_write(conn, head, (size_t)length);
    server_next(conn);
}

/* The rules that hold when a request reaches a runner. */
static void
check_arrival(const runner_t *runner, const server_request_t *request,
              const attempt_t *attempt)
{
    char value[HEAD_BYTES];
    uint64_t now_ms = soak_now_ms();
    size_t host;

    server_header(request, "Authorization", value, sizeof(value));
    if (value[0] != '\0') {
        soak_broken("key", "%s reached %s with its key", attempt->name,
                    runner->id);
    }
    server_header(request, "Tenant", value, sizeof(value));
    if (strcmp(value, "o1") != 0 && strcmp(value, "o2") != 0) {
        soak_broken("organisation", "%s came as \"%s\"", attempt->name, value);
    }
    if (revoked_ms > 0 && now_ms > revoked_ms + SOAK_REVOKE_MS &&
        strcmp(value, "o2") == 0) {
        soak_broken("revoked", "%s ran %" PRIu64 " ms after its key went",
                    attempt->name, now_ms - revoked_ms);
    }
    server_header(request, "X-Host", value, sizeof(value));
    host = strtoul(value, NULL, 10);
    if (runner->leaving_ms > 0 &&
        now_ms > runner->leaving_ms + SOAK_LEAVE_MS &&
        host_is_calm(host, runner->leaving_ms) &&
        soak_store_is_calm(runner->leaving_ms)) {
        soak_broken("drain", "%s reached %s %" PRIu64 " ms after it left",
                    attempt->name, runner->id, now_ms - runner->leaving_ms);
    }
}

static void
on_request(server_conn_t *conn, const server_request_t *request)
{
    runner_t *runner = server_context(conn);
    char value[HEAD_BYTES];
    attempt_t *attempt;
    run_t *run;

    if (strcmp(request->path, "/v1/report") == 0 ||
        strncmp(request->path, "/v1/", 4) == 0) {
        reply(conn, strcmp(request->path, "/v1/report") == 0 ? 200 : 503,
              false, "");
        return;
    }
    server_header(request, "Expect-Instance", value, sizeof(value));
    if (strcmp(value, runner->id) != 0) {
        reply(conn, 421, true, "");
        return;
    }
    server_header(request, "Attempt-Id", value, sizeof(value));
    attempt = ledger_attempt(value);
    check_arrival(runner, request, attempt);
    server_header(request, "Kv-From", value, sizeof(value));
    if (value[0] != '\0' && soak_chance(2) == 0) {
        reply(conn, 503, true, "");
        return;
    }
    if (strcmp(request->path, SOAK_HARMFUL_PATH) == 0) {
        server_header(request, "X-Host", value, sizeof(value));
        ledger_harmful_arrival(strtoul(value, NULL, 10));
    }
    attempt->runs++;
    attempt->running++;
    attempt->once = strncmp(request->path, "/unsafe/", 8) == 0;
    run = calloc(1, sizeof(*run));
    run->runner = runner;
    run->conn = conn;
    run->attempt = attempt;
    (void)snprintf(run->path, sizeof(run->path), "%s", request->path);
    server_header(request, "Last-Event-Id", value, sizeof(value));
    run->event = value[0] != '\0' ? strtoll(value, NULL, 10) + 1 : 0;
    run->spoilt = soak_now_ms() < runner->spoilt_until_ms &&
                  soak_chance(100) < SPOILT_PERCENT;
    LIST_INSERT_HEAD(&runs, run, entry);
    server_watch(conn, run);
    (void)uv_timer_init(soak_loop(), &run->timer);
    run->timer.data = run;
    (void)uv_timer_start(&run->timer, on_step,
                         runner->engine ? READ_MS : PLAIN_MS, 0);
}

static void
on_gone(void *user)
{
    ((run_t *)user)->conn = NULL;
}

static void
on_run_closed(uv_handle_t *handle)
{
    free(handle->data);
}

static void
run_end(run_t *run)
{
    LIST_REMOVE(run, entry);
    run->attempt->running--;
    if (run->conn != NULL) {
        server_watch(run->conn, NULL);
    }
    uv_close((uv_handle_t *)&run->timer, on_run_closed);
}

static int
write_head(const run_t *run, char *head, const char *more)
{
    return snprintf(head, HEAD_BYTES,
                    "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
                    "Server-Stamp: %s\r\n%s\r\n",
                    run->attempt->name, run->runner->id, more);
}

static void
plain_answer(run_t *run)
{
    char head[HEAD_BYTES];
    char body[BODY_BYTES];
    char more[BODY_BYTES];
    int body_bytes =
        snprintf(body, sizeof(body), "%016" PRIx64, soak_hash(run->path, 0));
    int head_bytes;

    (void)snprintf(more, sizeof(more), "Content-Length: %d\r\n", body_bytes);
    head_bytes = write_head(run, head, more);
    server_write(run->conn, head, (size_t)head_bytes);
    if (run->spoilt) {
        server_write(run->conn, body, (size_t)body_bytes / 2);
        server_reset(run->conn);
        return;
    }
    server_write(run->conn, body, (size_t)body_bytes);
    server_next(run->conn);
}

/* One event, or the last one and the end. */
static bool
stream_on(run_t *run)
{
    static const char streaming[] = "Content-Type: text/event-stream\r\n"
                                    "Transfer-Encoding: chunked\r\n";
    char head[HEAD_BYTES];
    char event[BODY_BYTES];
    char chunk[2 * BODY_BYTES];
    int length;

    if (!run->begun) {
        length = write_head(run, head, streaming);
        server_write(run->conn, head, (size_t)length);
        run->begun = true;
    }
    if (run->event < SOAK_EVENTS) {
        length = snprintf(
            event, sizeof(event), "id: %" PRId64 "\ndata: %016" PRIx64 "\n\n",
            run->event, soak_hash(run->path, (uint64_t)run->event));
        length = snprintf(chunk, sizeof(chunk), "%x\r\n%s\r\n",
                          (unsigned)length, event);
        if (run->spoilt && run->event % 20 == 7) {
            server_write(run->conn, chunk, (size_t)length / 2);
            server_reset(run->conn);
            return false;
        }
        server_write(run->conn, chunk, (size_t)length);
        run->event++;
        return true;
    }
    server_write(run->conn, "0\r\n\r\n", 5);
    server_next(run->conn);
    return false;
}

static void
on_step(uv_timer_t *step)
{
    run_t *run = step->data;

    if (run->conn == NULL) {
        run_end(run);
        return;
    }
    if (strcmp(run->path, SOAK_HARMFUL_PATH) == 0) {
        ledger_harmful_crash();
        runner_crash((size_t)(run->runner - runners), soak_chance(4) == 0);
        run_end(run);
        return;
    }
    if (run->attempt->left_ms > 0 &&
        soak_now_ms() > run->attempt->left_ms + SOAK_STOP_WORK_MS) {
        if (host_is_calm(run->attempt->host, run->attempt->left_ms)) {
            soak_broken("gone", "%s still runs, its caller has left",
                        run->attempt->name);
        }
        run_end(run);
        return;
    }
    if (!run->runner->engine) {
        plain_answer(run);
        run_end(run);
        return;
    }
    if (!stream_on(run)) {
        run_end(run);
        return;
    }
    (void)uv_timer_start(step, on_step, EVENT_MS, 0);
}
