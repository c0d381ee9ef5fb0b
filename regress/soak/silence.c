/* silence.c - sound runners that fall silent, and what callers see of it. */
#include <inttypes.h>
#include <stdio.h>

#include "regress/soak/soak.h"

enum {
    SILENT_LEAST_MS = 200,
    SILENT_SPREAD_MS = 2800,
    /* Of the runners, in hundredths. */
    SHARE_LEAST_PERCENT = 10,
    SHARE_SPREAD_PERCENT = 31,
    PERCENT = 100,
};

static struct {
    uint64_t until_ms;
    uint32_t judged;
    uint32_t streams; /* of these */
    uint32_t broken;
} state;

static bool was_silent(size_t runner, uint64_t since_ms);
static bool only_silence(const attempt_end_t *end);
static bool service_only_silent(bool engines, uint64_t since_ms);

void
silence_begin(void)
{
    uint64_t for_ms = SILENT_LEAST_MS + soak_chance(SILENT_SPREAD_MS);
    uint64_t share = SHARE_LEAST_PERCENT + soak_chance(SHARE_SPREAD_PERCENT);
    size_t wanted = 1 + runners_count() * share / PERCENT;
    size_t i;

    if (soak_now_ms() < state.until_ms) {
        return;
    }
    state.until_ms = soak_now_ms() + for_ms;
    for (i = 0; i < wanted; i++) {
        runner_silence(soak_chance(runners_count()), for_ms);
    }
}

void
silence_ended(const attempt_end_t *end)
{
    if (!only_silence(end)) {
        return;
    }
    state.judged++;
    state.streams += end->stream ? 1 : 0;
    if (!end->incomplete || soak_now_ms() >= end->deadline_ms) {
        return;
    }
    state.broken++;
    soak_broken("silent",
                "%s (%s) at h%zu ended with %d %" PRIu64
                " ms before its deadline, %" PRIu64 " ms after it was sent",
                end->attempt, end->path, end->host, end->status,
                end->deadline_ms - soak_now_ms(),
                soak_now_ms() - end->sent_ms);
}

void
silence_report(void)
{
    if (!soak_plays(SOAK_SILENCE)) {
        return;
    }
    printf("silence: %" PRIu32 " attempts beside nothing else, %" PRIu32
           " of them streams, %" PRIu32 " ended before their deadline\n",
           state.judged, state.streams, state.broken);
}

/* Whether nothing but silence can have ended the attempt. */
static bool
only_silence(const attempt_end_t *end)
{
    const attempt_t *attempt;

    if (!host_is_calm(end->host, end->sent_ms) ||
        links_cut_ms(end->host) >= end->sent_ms ||
        (end->stream && !host_is_up(end->host))) {
        return false;
    }
    attempt = ledger_attempt(end->attempt);
    return (attempt->runs == 1 && was_silent(attempt->runner, end->sent_ms) &&
            runner_is_sound(attempt->runner, end->sent_ms)) ||
           service_only_silent(end->stream, end->sent_ms);
}

static bool
was_silent(size_t runner, uint64_t since_ms)
{
    return runner_silent_ms(runner) > 0 &&
           runner_silent_until_ms(runner) >= since_ms;
}

static bool
service_only_silent(bool engines, uint64_t since_ms)
{
    bool silent = false;
    size_t i;

    for (i = 0; i < runners_count(); i++) {
        if (runner_is_engine(i) != engines) {
            continue;
        }
        if (!runner_is_sound(i, since_ms)) {
            return false;
        }
        silent = silent || was_silent(i, since_ms);
    }
    return silent;
}
