/* load_run.c - runs sessions, then checks and reports their histories. */
#include <bsd/string.h>
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "regress/standin/load.h"

enum { LINE_BYTES = 512, PERCENT = 100, US_PER_MS = 1000 };

/* One start of a request, as a backend's journal tells it. */
typedef struct {
    char tag[LOAD_NAME_BYTES];
} start_t;

/* One run; sessions[i] and, when repeated, sessions[count + i]. */
typedef struct {
    const load_mix_t *mix;
    const load_options_t *options;
    uv_loop_t *loop;
    http_client_t *client;
    load_plan_t *plans;
    session_t *sessions;
    uint32_t next;
    uint32_t running;
    uint32_t at_once;
    start_t *starts; /* sorted by tag */
    size_t start_count;
} load_t;

typedef struct {
    uint32_t faults;
    uint32_t answered;
    uint32_t refused;
    uint32_t lost;
    uint64_t tokens;
    uint64_t *gaps_us;
    uint32_t gap_count;
} totals_t;

static load_t load; /* the program runs one */

static void load_init(const load_options_t *options, const load_mix_t *mix);
static void load_free(void);
static void start(session_t *session, const load_plan_t *plan,
                  uint32_t router);
static void start_more(void);
static void on_finished(session_t *session);
static void read_journal(const char *path);
static int by_tag(const void *left, const void *right);
static uint32_t starts_of(const char *tag);
static void judge(const session_t *session, const session_t *twin,
                  totals_t *totals);
static void count_outcome(const session_t *session, totals_t *totals);
static int by_size(const void *left, const void *right);
static void report(totals_t *totals, const load_run_t *run);

static void
load_init(const load_options_t *options, const load_mix_t *mix)
{
    load = (load_t){.mix = mix, .options = options, .at_once = 1};
    load.loop = uv_default_loop();
    load.client = http_client_new(load.loop);
    load.plans = calloc(mix->sessions, sizeof(*load.plans));
    load.sessions = calloc(2 * (size_t)mix->sessions, sizeof(session_t));
    for (uint32_t i = 0; i < mix->sessions; i++) {
        plan_make(&load.plans[i], mix, options, i);
    }
}

static void
load_free(void)
{
    http_client_free(load.client);
    uv_run(load.loop, UV_RUN_NOWAIT);
    for (uint32_t i = 0; i < load.mix->sessions; i++) {
        session_free(&load.sessions[i]);
        session_free(&load.sessions[load.mix->sessions + i]);
        plan_free(&load.plans[i]);
    }
    free(load.starts);
    free(load.plans);
    free(load.sessions);
}

static void
start(session_t *session, const load_plan_t *plan, uint32_t router)
{
    session->options = load.options;
    session->plan = plan;
    session->client = load.client;
    session->router = router;
    session->finished = on_finished;
    load.running++;
    session_start(session, load.loop);
}

static void
start_more(void)
{
    uint32_t count = load.mix->sessions;

    while (load.next < count && load.running < load.at_once) {
        const load_plan_t *plan = &load.plans[load.next];
        session_t *session = &load.sessions[load.next++];

        start(session, plan, plan->first_router);
        if (plan->repeated) {
            start(session + count, plan, plan->first_router + 1);
        }
    }
}

static void
on_finished(session_t *session)
{
    load.running--;
    start_more();
}

int
run_one(const load_options_t *options, const load_mix_t *mix)
{
    const session_t *session;
    history_request_t history;
    history_finding_t finding;
    uint32_t held = 0, missing = 0, repeated = 0;

    load_init(options, mix);
    start_more();
    uv_run(load.loop, UV_RUN_DEFAULT);
    session = &load.sessions[0];
    history = session_history(session);
    finding = history_check(&history);
    for (size_t i = 0; i < history.event_count; i++) {
        const history_event_t *event = &history.events[i];

        if (event->kind != HISTORY_PIECE) {
            continue;
        }
        missing += event->position > held ? event->position - held : 0;
        repeated += event->position < held ? held - event->position : 0;
        held = event->position + event->id_count;
    }
    if (held < history.expected_count) {
        missing += history.expected_count - held;
    }
    if (finding.fault != HISTORY_GOOD) {
        printf("\n%s at token %u", history_fault_name(finding.fault),
               finding.position);
    }
    printf("\ndemo: %u tokens, %u missing, %u repeated, resumed in %.0f ms\n",
           session->held, missing, repeated,
           (double)history_gap_us(&history) / US_PER_MS);
    load_free();
    return finding.fault == HISTORY_GOOD ? 0 : 1;
}

static void
read_journal(const char *path)
{
    char line[LINE_BYTES], tag[LINE_BYTES];
    FILE *file = fopen(path, "r");
    size_t count = load.start_count;

    if (file == NULL) {
        err(1, "%s", path);
    }
    while (fgets(line, sizeof(line), file) != NULL) {
        if (sscanf(line, "start %*s %*s %511s", tag) != 1) {
            continue;
        }
        load.starts = realloc(load.starts, (count + 1) * sizeof(start_t));
        strlcpy(load.starts[count++].tag, tag, sizeof(load.starts->tag));
    }
    fclose(file);
    load.start_count = count;
    qsort(load.starts, count, sizeof(start_t), by_tag);
}

static int
by_tag(const void *left, const void *right)
{
    return strcmp(((const start_t *)left)->tag, ((const start_t *)right)->tag);
}

static uint32_t
starts_of(const char *tag)
{
    start_t wanted, *at;
    uint32_t count = 0;

    strlcpy(wanted.tag, tag, sizeof(wanted.tag));
    at = bsearch(&wanted, load.starts, load.start_count, sizeof(wanted),
                 by_tag);
    if (at == NULL) {
        return 0;
    }
    while (at > load.starts && by_tag(at - 1, &wanted) == 0) {
        at--;
    }
    for (; at < load.starts + load.start_count; at++) {
        if (by_tag(at, &wanted) != 0) {
            break;
        }
        count++;
    }
    return count;
}

static void
count_outcome(const session_t *session, totals_t *totals)
{
    bool answered = false;

    for (size_t i = 0; i < session->event_count; i++) {
        answered |= session->events[i].kind == HISTORY_END;
        totals->lost += session->events[i].kind == HISTORY_LOST;
    }
    totals->answered += answered;
    totals->refused += !answered;
    totals->tokens += session->held;
}

static void
judge(const session_t *session, const session_t *twin, totals_t *totals)
{
    history_request_t history = session_history(session);
    history_finding_t finding;
    uint64_t gap_us = history_gap_us(&history);

    history.starts = starts_of(session->plan->tag);
    history.may_fail |= session->superseded && twin->ended;
    finding = history_check(&history);
    if (finding.fault != HISTORY_GOOD) {
        fprintf(stderr,
                "request %s: %s, at token %u, event %zu of %zu, last refused "
                "as '%s'\n",
                session->plan->name, history_fault_name(finding.fault),
                finding.position, finding.event, history.event_count,
                session->refusal);
        totals->faults++;
    }
    if (history_recovered(&history) && !session->dropped &&
        !session->plan->repeated && gap_us > 0) {
        totals->gaps_us[totals->gap_count++] = gap_us;
    }
    count_outcome(session, totals);
}

static int
by_size(const void *left, const void *right)
{
    uint64_t a = *(const uint64_t *)left, b = *(const uint64_t *)right;

    return (a > b) - (a < b);
}

static void
report(totals_t *totals, const load_run_t *run)
{
    static const uint32_t percentiles[] = {50, 99};
    double gap_ms;
    size_t at;

    qsort(totals->gaps_us, totals->gap_count, sizeof(uint64_t), by_size);
    printf("faults %u requests 0 %s\n", totals->faults,
           totals->faults == 0 ? "ok" : "short");
    printf("answered %u requests - ok\n", totals->answered);
    printf("refused %u requests - ok\n", totals->refused);
    printf("connections_lost %u connections - ok\n", totals->lost);
    printf("tokens %llu tokens - ok\n", (unsigned long long)totals->tokens);
    printf("recovered %u requests - ok\n", totals->gap_count);
    for (size_t i = 0; i < 2 && totals->gap_count > 0; i++) {
        at = (totals->gap_count - 1) * percentiles[i] / PERCENT;
        gap_ms = (double)totals->gaps_us[at] / US_PER_MS;
        printf("gap_p%u %.1f ms %u %s\n", percentiles[i], gap_ms,
               run->bound_ms, gap_ms <= run->bound_ms ? "ok" : "short");
    }
}

int
run_many(const load_options_t *options, const load_mix_t *mix,
         const load_run_t *run)
{
    totals_t totals = {0};
    session_t *session, *twin;

    load_init(options, mix);
    load.at_once = run->at_once;
    start_more();
    uv_run(load.loop, UV_RUN_DEFAULT);
    for (size_t i = 0; i < run->journal_count; i++) {
        read_journal(run->journals[i]);
    }
    totals.gaps_us = calloc(2 * (size_t)mix->sessions, sizeof(uint64_t));
    for (uint32_t i = 0; i < mix->sessions; i++) {
        session = &load.sessions[i];
        twin = &load.sessions[mix->sessions + i];
        judge(session, twin, &totals);
        if (load.plans[i].repeated) {
            judge(twin, session, &totals);
        }
    }
    report(&totals, run);
    free(totals.gaps_us);
    load_free();
    return totals.faults == 0 ? 0 : 1;
}
