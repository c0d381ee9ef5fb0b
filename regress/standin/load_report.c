/* load_report.c - checks the histories of a run and prints its figures. */
#include <bsd/string.h>
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "regress/standin/load.h"

enum {
    LINE_BYTES = 512,
    PERCENT = 100,
    US_PER_MS = 1000,
    REFUSAL_KINDS_MAX = 24
};

/* One start of a request, as a backend's journal tells it. */
typedef struct {
    char tag[LOAD_NAME_BYTES];
} start_t;

/* Callers that were told no, by the kind of refusal. */
typedef struct {
    const char *kind;
    uint32_t count;
} refusals_t;

/* What the journals tell. */
typedef struct {
    start_t *starts; /* sorted by tag */
    size_t start_count;
    uint64_t prompt_tokens; /* computed, not taken from a cache */
    uint64_t output_tokens;
} journals_t;

typedef struct {
    uint32_t faults;
    uint32_t answered;
    uint32_t refused;
    uint32_t innocents_refused; /* idempotent, and kill no engine */
    refusals_t refusals[REFUSAL_KINDS_MAX];
    uint32_t cut_off;       /* connections that others broke */
    uint32_t killer_starts; /* of the request with the most */
    uint64_t tokens;
    uint64_t gap_max_us; /* of any request */
    const char *gap_max_name;
    uint64_t *gaps_us; /* of requests that recovered from a loss */
    uint32_t gap_count;
} totals_t;

static void read_journal(journals_t *journals, const char *path);
static void read_work(journals_t *journals, const char *path);
static int by_tag(const void *left, const void *right);
static uint32_t starts_of(const journals_t *journals, const char *tag);
static void judge(const journals_t *journals, const session_t *session,
                  const session_t *twin, totals_t *totals);
static void count_refusal(const char *kind, totals_t *totals);
static void count_outcome(const session_t *session,
                          const history_request_t *history, totals_t *totals);
static int by_size(const void *left, const void *right);
static void print_count(const char *name, uint64_t value, const char *unit);
static void print_bound(const char *name, double value, const char *unit,
                        double bound);
static void print_figures(const journals_t *journals, totals_t *totals,
                          const load_run_t *run);

static void
read_journal(journals_t *journals, const char *path)
{
    char line[LINE_BYTES], tag[LINE_BYTES];
    FILE *file = fopen(path, "r");
    size_t count = journals->start_count;

    if (file == NULL) {
        err(1, "%s", path);
    }
    while (fgets(line, sizeof(line), file) != NULL) {
        if (sscanf(line, "start %*s %*s %511s", tag) != 1) {
            continue;
        }
        journals->starts =
            realloc(journals->starts, (count + 1) * sizeof(start_t));
        strlcpy(journals->starts[count++].tag, tag, sizeof(start_t));
    }
    fclose(file);
    journals->start_count = count;
    if (count > 0) {
        qsort(journals->starts, count, sizeof(start_t), by_tag);
    }
}

static void
read_work(journals_t *journals, const char *path)
{
    char name[LINE_BYTES];
    unsigned long long prompt, output;
    FILE *file;

    snprintf(name, sizeof(name), "%s.work", path);
    file = fopen(name, "r");
    if (file != NULL && fscanf(file, "%llu %llu", &prompt, &output) == 2) {
        journals->prompt_tokens += prompt;
        journals->output_tokens += output;
    }
    if (file != NULL) {
        fclose(file);
    }
}

static int
by_tag(const void *left, const void *right)
{
    return strcmp(((const start_t *)left)->tag, ((const start_t *)right)->tag);
}

static uint32_t
starts_of(const journals_t *journals, const char *tag)
{
    const start_t *end = journals->starts + journals->start_count, *at;
    start_t wanted;
    uint32_t count = 0;

    if (journals->start_count == 0) {
        return 0;
    }
    strlcpy(wanted.tag, tag, sizeof(wanted.tag));
    at = bsearch(&wanted, journals->starts, journals->start_count,
                 sizeof(wanted), by_tag);
    while (at != NULL && at > journals->starts &&
           by_tag(at - 1, &wanted) == 0) {
        at--;
    }
    for (; at != NULL && at < end && by_tag(at, &wanted) == 0; at++) {
        count++;
    }
    return count;
}

static void
count_refusal(const char *kind, totals_t *totals)
{
    for (size_t i = 0; i < REFUSAL_KINDS_MAX; i++) {
        refusals_t *refusals = &totals->refusals[i];

        if (refusals->kind == NULL || strcmp(refusals->kind, kind) == 0) {
            refusals->kind = kind;
            refusals->count++;
            return;
        }
    }
}

static void
count_outcome(const session_t *session, const history_request_t *history,
              totals_t *totals)
{
    uint64_t gap_us = history_gap_us(history);
    bool answered = false;
    uint32_t lost = 0;

    for (size_t i = 0; i < session->event_count; i++) {
        answered |= session->events[i].kind == HISTORY_END;
        lost += session->events[i].kind == HISTORY_LOST;
    }
    totals->answered += answered;
    if (!answered) {
        totals->refused++;
        count_refusal(session->refusal, totals);
    }
    totals->innocents_refused +=
        !answered && history->idempotent && !history->may_fail;
    totals->cut_off += lost - session->dropped;
    totals->tokens += session->held;
    if (session->plan->kills_engines &&
        history->starts > totals->killer_starts) {
        totals->killer_starts = history->starts;
    }
    /* Resuming can be seen in a stream only. */
    if (session->dropped || session->plan->repeated || !answered ||
        !session->plan->streamed) {
        return;
    }
    if (gap_us > totals->gap_max_us) {
        totals->gap_max_us = gap_us;
        totals->gap_max_name = session->plan->name;
    }
    if (history_recovered(history) && gap_us > 0) {
        totals->gaps_us[totals->gap_count++] = gap_us;
    }
}

static void
judge(const journals_t *journals, const session_t *session,
      const session_t *twin, totals_t *totals)
{
    history_request_t history = session_history(session);
    history_finding_t finding;

    history.starts = starts_of(journals, session->plan->tag);
    history.may_fail |= session->superseded && twin->ended;
    finding = history_check(&history);
    if (finding.fault != HISTORY_GOOD) {
        fprintf(stderr,
                "request %s: %s, at token %u of %u, event %zu of %zu, last "
                "refused "
                "as '%s'\n",
                session->plan->name, history_fault_name(finding.fault),
                finding.position, history.expected_count, finding.event,
                history.event_count, session->refusal);
        totals->faults++;
    }
    count_outcome(session, &history, totals);
}

static int
by_size(const void *left, const void *right)
{
    uint64_t a = *(const uint64_t *)left, b = *(const uint64_t *)right;

    return (a > b) - (a < b);
}

static void
print_count(const char *name, uint64_t value, const char *unit)
{
    printf("%s %llu %s - ok\n", name, (unsigned long long)value, unit);
}

static void
print_bound(const char *name, double value, const char *unit, double bound)
{
    printf("%s %.1f %s %.0f %s\n", name, value, unit, bound,
           value <= bound ? "ok" : "short");
}

static void
print_figures(const journals_t *journals, totals_t *totals,
              const load_run_t *run)
{
    uint64_t *gaps = totals->gaps_us;
    size_t last = totals->gap_count > 0 ? totals->gap_count - 1 : 0;
    size_t half = last / 2, most = last * 99 / PERCENT;

    qsort(gaps, totals->gap_count, sizeof(uint64_t), by_size);
    print_bound("faults", totals->faults, "requests", 0);
    print_count("answered", totals->answered, "requests");
    print_count("refused", totals->refused, "requests");
    for (size_t i = 0; i < REFUSAL_KINDS_MAX; i++) {
        if (totals->refusals[i].kind != NULL) {
            printf("refused.%s %u requests - ok\n", totals->refusals[i].kind,
                   totals->refusals[i].count);
        }
    }
    print_bound("innocents_refused", totals->innocents_refused, "requests", 0);
    print_count("cut_off", totals->cut_off, "connections");
    print_count("tokens", totals->tokens, "tokens");
    print_count("prompt_work", journals->prompt_tokens, "tokens");
    print_count("output_work", journals->output_tokens, "tokens");
    print_bound("killer_starts", totals->killer_starts, "engines",
                run->killer_bound);
    print_count("recovered", totals->gap_count, "requests");
    if (totals->gap_count > 0) {
        print_bound("resume_p50", (double)gaps[half] / US_PER_MS, "ms",
                    run->bound_ms);
        print_bound("resume_p99", (double)gaps[most] / US_PER_MS, "ms",
                    run->bound_ms);
    }
    print_bound("gap_max", (double)totals->gap_max_us / US_PER_MS, "ms",
                run->bound_ms);
    if (totals->gap_max_name != NULL) {
        fprintf(stderr, "request %s had the longest gap\n",
                totals->gap_max_name);
    }
}

int
report_run(const load_run_t *run, const session_t *sessions, uint32_t count)
{
    journals_t journals = {0};
    totals_t totals = {0};
    uint32_t faults;

    for (size_t i = 0; i < run->journal_count; i++) {
        read_journal(&journals, run->journals[i]);
        read_work(&journals, run->journals[i]);
    }
    totals.gaps_us = calloc(2 * (size_t)count, sizeof(uint64_t));
    for (uint32_t i = 0; i < count; i++) {
        judge(&journals, &sessions[i], &sessions[count + i], &totals);
        if (sessions[i].plan->repeated) {
            judge(&journals, &sessions[count + i], &sessions[i], &totals);
        }
    }
    print_figures(&journals, &totals, run);
    faults = totals.faults + (run->uncut ? totals.cut_off : 0);
    free(totals.gaps_us);
    free(journals.starts);
    return faults == 0 ? 0 : 1;
}
