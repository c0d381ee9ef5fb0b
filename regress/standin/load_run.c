/* load_run.c - runs sessions, a number of them at once. */
#include <stdio.h>
#include <stdlib.h>

#include "regress/standin/load.h"

enum { US_PER_MS = 1000 };

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
} load_t;

static load_t load; /* the program runs one */

static void load_init(const load_options_t *options, const load_mix_t *mix);
static void load_free(void);
static void start(session_t *session, const load_plan_t *plan,
                  uint32_t router);
static void start_more(void);
static void on_finished(session_t *session);

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
    session_expect(session);
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

int
run_many(const load_options_t *options, const load_mix_t *mix,
         const load_run_t *run)
{
    int status;

    load_init(options, mix);
    load.at_once = run->at_once;
    start_more();
    uv_run(load.loop, UV_RUN_DEFAULT);
    status = report_run(run, load.sessions, mix->sessions);
    load_free();
    return status;
}
