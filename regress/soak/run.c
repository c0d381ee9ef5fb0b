/*
 * run.c - what the runners have run.
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

#include "regress/soak/runner.h"
#include "regress/soak/soak.h"
#include "regress/standin/server.h"

enum {
    READ_MS = 60,
    EVENT_MS = 30,
    PLAIN_MS = 15,
    PROMPT_TOKENS = 800,
    SPOILT_PERCENT = 20,
    HEAD_BYTES = 512,
    BODY_BYTES = 128,
};

/* A run of a request. */
typedef struct run {
    LIST_ENTRY(run) entry;
    uv_timer_t timer;
    runner_t *runner;
    server_conn_t *conn; /* NULL: gone */
    attempt_t *attempt;
    char path[HEAD_BYTES];
    int64_t event;
    uint32_t version; /* of the process that runs it */
    int64_t born_ms;
    bool went_on;
    bool begun; /* its head is out */
    bool spoilt;
} run_t;

static LIST_HEAD(, run) runs = LIST_HEAD_INITIALIZER(runs);
static uint32_t runs_begun; /* of streams */
static uint32_t runs_gone_on;
static uint32_t reports;
static uint64_t revoked_ms;
/* Of the requests with the key that went and have run since. */
static uint64_t revoked_sent_ms;
static uint64_t revoked_arrival_ms;

static void on_request(server_conn_t *conn, const server_request_t *request);
static void on_gone(void *user);
static void on_step(uv_timer_t *step);

const server_ops_t runner_ops = {on_request, on_gone};

void
runners_revoked(uint64_t at_ms)
{
    revoked_ms = at_ms;
}

void
runners_report(void)
{
    printf("second key: sent last %" PRIu64 " ms, reached a runner last "
           "%" PRIu64 " ms after it went\n",
           revoked_sent_ms > revoked_ms ? revoked_sent_ms - revoked_ms : 0,
           revoked_arrival_ms > revoked_ms ? revoked_arrival_ms - revoked_ms
                                           : 0);
    printf("runs of streams: %" PRIu32 " begun, %" PRIu32 " gone on; %" PRIu32
           " reports asked for\n",
           runs_begun, runs_gone_on, reports);
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

/* The runs of this process; those without output are counted only. */
static void
report(server_conn_t *conn, const runner_t *runner)
{
    const char *separator = "";
    uint32_t active = 0;
    text_t body = {0};
    const run_t *run;

    reports++;
    text_puts(&body, "{\"Runs\":[");
    for (run = LIST_FIRST(&runs); run != NULL; run = LIST_NEXT(run, entry)) {
        if (run->runner != runner || run->conn == NULL) {
            continue;
        }
        active++;
        if (run->begun) {
            text_printf(&body, "%s[\"%s\",%d,%" PRId64 ",5]", separator,
                        run->attempt->name, PROMPT_TOKENS, run->event);
            separator = ",";
        }
    }
    text_printf(&body,
                "],\"Active\":%" PRIu32 ",\"Queued\":0,\"State\":\"%s\","
                "\"born\":%" PRId64 "}",
                active, runner->leaving_ms > 0 ? "draining" : "ready",
                runner->born_ms);
    server_reply(conn, 200, "application/json", body.bytes, body.length);
    text_free(&body);
}

/* Whom its caller sent it to. */
static size_t
host_of(const server_request_t *request)
{
    char value[HEAD_BYTES];

    server_header(request, "X-Host", value, sizeof(value));
    return strtoul(value, NULL, 10);
}

static uint64_t
later(uint64_t one_ms, uint64_t other_ms)
{
    return one_ms > other_ms ? one_ms : other_ms;
}

/* The rules on when a request reaches a runner, by its caller's sending. */
static void
check_time(const attempt_t *attempt, size_t host, uint64_t sent_ms,
           bool second_organisation)
{
    uint64_t gone_ms;

    if (attempt->sent_ms == 0) {
        soak_broken("asked for", "%s was not sent by a caller", attempt->name);
        return;
    }
    if (revoked_ms > 0 && second_organisation) {
        revoked_sent_ms = later(revoked_sent_ms, attempt->sent_ms);
        revoked_arrival_ms = later(revoked_arrival_ms, sent_ms);
    }
    if (revoked_ms > 0 && second_organisation &&
        attempt->sent_ms > revoked_ms + SOAK_REVOKE_MS) {
        soak_broken("revoked",
                    "%s, sent %" PRIu64 " ms after its key went, ran",
                    attempt->name, attempt->sent_ms - revoked_ms);
    }
    gone_ms = tenants_gone_ms(second_organisation ? 2 : 1);
    if (gone_ms > 0 && attempt->sent_ms > gone_ms + SOAK_REVOKE_MS) {
        soak_broken("revoked",
                    "%s, sent %" PRIu64 " ms after its tenant went, ran",
                    attempt->name, attempt->sent_ms - gone_ms);
    }
    if (sent_ms > attempt->deadline_ms + SOAK_OVERDUE_MS &&
        host_is_calm(host, attempt->sent_ms)) {
        soak_broken("deadline", "%s reached a runner %" PRIu64 " ms after it",
                    attempt->name, sent_ms - attempt->deadline_ms);
    }
}

/* The rules that hold when a request reaches a runner. */
static void
check_arrival(const runner_t *runner, const server_request_t *request,
              const attempt_t *attempt)
{
    char value[HEAD_BYTES];
    size_t host = host_of(request);
    /* What was sent before a link passed nothing may come after it. */
    uint64_t sent_ms = links_sent_ms(host, runner_number(runner));

    server_header(request, "Authorization", value, sizeof(value));
    if (value[0] != '\0') {
        soak_broken("key", "%s reached %s with its key", attempt->name,
                    runner->id);
    }
    server_header(request, "Tenant", value, sizeof(value));
    if (strcmp(value, "o1") != 0 && strcmp(value, "o2") != 0) {
        soak_broken("organisation", "%s came as \"%s\"", attempt->name, value);
    }
    check_time(attempt, host, sent_ms, strcmp(value, "o2") == 0);
    if (runner->leaving_ms > 0 &&
        sent_ms > runner->leaving_ms + SOAK_LEAVE_MS &&
        host_is_calm(host, runner->leaving_ms) &&
        soak_store_is_calm(runner->leaving_ms)) {
        soak_broken("drain", "%s reached %s %" PRIu64 " ms after it left",
                    attempt->name, runner->id, sent_ms - runner->leaving_ms);
    }
}

static void
on_request(server_conn_t *conn, const server_request_t *request)
{
    runner_t *runner = server_context(conn);
    char value[HEAD_BYTES];
    attempt_t *attempt;
    run_t *run;

    if (strcmp(request->path, "/v1/report") == 0) {
        report(conn, runner);
        return;
    }
    if (strncmp(request->path, "/v1/", 4) == 0) {
        reply(conn, 503, false, "");
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
        size_t host = host_of(request);

        ledger_harmful_arrival(host,
                               links_sent_ms(host, runner_number(runner)));
    }
    if (tainted_has_part(request->path)) {
        size_t host = host_of(request);

        tainted_arrival(host, links_sent_ms(host, runner_number(runner)));
    }
    attempt->runs++;
    attempt->runner = runner_number(runner);
    attempt->running++;
    attempt->once = strncmp(request->path, "/unsafe/", 8) == 0;
    run = calloc(1, sizeof(*run));
    run->runner = runner;
    run->conn = conn;
    run->attempt = attempt;
    (void)snprintf(run->path, sizeof(run->path), "%s", request->path);
    server_header(request, "Last-Event-Id", value, sizeof(value));
    run->went_on = value[0] != '\0';
    run->event = run->went_on ? strtoll(value, NULL, 10) + 1 : 0;
    run->version = runner->version;
    run->born_ms = runner->born_ms;
    runs_gone_on += run->went_on ? 1 : 0;
    runs_begun += runner->engine && !run->went_on ? 1 : 0;
    run->spoilt = soak_now_ms() < runner->spoilt_until_ms &&
                  soak_chance(100) < SPOILT_PERCENT;
    LIST_INSERT_HEAD(&runs, run, entry);
    server_watch(conn, run);
    (void)uv_timer_init(soak_loop(), &run->timer);
    run->timer.data = run;
    (void)uv_timer_start(&run->timer, on_step,
                         runner->engine ? tainted_read_ms(READ_MS) : PLAIN_MS,
                         0);
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
        if (run->went_on) {
            run->attempt->went_on_event = run->event;
            run->attempt->went_on_ms = soak_now_ms();
        }
    }
    if (run->event < SOAK_EVENTS) {
        length =
            snprintf(event, sizeof(event),
                     "id: %" PRId64 "\ndata: %016" PRIx64 " v%" PRIu32
                     " born %" PRId64 " s%" PRIu32 "\n\n",
                     run->event, soak_hash(run->path, (uint64_t)run->event),
                     run->version, run->born_ms, run->runner->service);
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

/* By then the runner has been told that its caller left. */
static uint64_t
heard_ms(const run_t *run)
{
    uint64_t harmed_ms =
        links_harmed_ms(run->attempt->host, runner_number(run->runner));
    uint64_t left_ms = run->attempt->left_ms;

    return (harmed_ms > left_ms ? harmed_ms : left_ms) + SOAK_STOP_WORK_MS;
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
        runner_crash(runner_number(run->runner), soak_chance(4) == 0);
        run_end(run);
        return;
    }
    if (tainted_has_part(run->path)) {
        tainted_crash(runner_number(run->runner));
        run_end(run);
        return;
    }
    if (run->attempt->left_ms > 0 && soak_now_ms() > heard_ms(run)) {
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
