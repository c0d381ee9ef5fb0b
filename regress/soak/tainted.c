/*
 * tainted.c - a part of prompts that crashes every runner that begins on it.
 *
 * Requests with the part are never the same; sound ones share their caller and
 * the first part of their prompts.  The connections of a runner are reset
 * before it sends a response head.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "regress/soak/caller.h"

enum {
    QUIET_MS = 4000, /* of sound requests alone */
    PERCENT = 100,
    TAINTED_PERCENT = 5,
    READ_LEAST_MS = 60,
    READ_SPREAD_MS = 340,
    DOWN_LEAST_MS = 1500,
    DOWN_SPREAD_MS = 2500,
    /* The users' bounds. */
    CRASHES = 5,
    SENDS_MAX = 3,
    TRIES_LEAST = 20,
};

#define TAINTED_PATH "/stream/t"
#define SOUND_PATH "/stream/p"

/* Sound requests, and those of them whose first attempt began. */
typedef struct {
    uint32_t tries;
    uint32_t begun;
} tally_t;

static struct {
    uint64_t started_ms;
    uint64_t first_crash_ms; /* 0: none yet */
    uint64_t fifth_crash_ms;
    uint64_t last_ms; /* when the last one with the part was sent */
    uint32_t crashes;
    uint32_t late_sends;
    tally_t before;
    tally_t after;
} state;

/* Whether the next request has the part. */
static bool
draw_part(void)
{
    if (state.started_ms == 0) {
        state.started_ms = soak_now_ms();
    }
    if (soak_now_ms() < state.started_ms + QUIET_MS ||
        soak_chance(PERCENT) >= TAINTED_PERCENT) {
        return false;
    }
    state.last_ms = soak_now_ms();
    return true;
}

void
tainted_draw(caller_t *caller, uint64_t number)
{
    caller->kind = KIND_STREAM;
    caller->key = 1;
    (void)snprintf(caller->path, sizeof(caller->path), "%s%" PRIu64,
                   !caller->calm && draw_part() ? TAINTED_PATH : SOUND_PATH,
                   number);
}

const char *
tainted_parts(const char *path)
{
    return tainted_has_part(path) ? "dead:300," : "";
}

bool
tainted_has_part(const char *path)
{
    return strncmp(path, TAINTED_PATH, strlen(TAINTED_PATH)) == 0;
}

uint64_t
tainted_read_ms(uint64_t otherwise_ms)
{
    return soak_plays(SOAK_TAINTED)
               ? READ_LEAST_MS + soak_chance(READ_SPREAD_MS)
               : otherwise_ms;
}

uint64_t
tainted_down_ms(uint64_t otherwise_ms)
{
    return soak_plays(SOAK_TAINTED)
               ? DOWN_LEAST_MS + soak_chance(DOWN_SPREAD_MS)
               : otherwise_ms;
}

void
tainted_arrival(size_t host, uint64_t sent_ms)
{
    if (state.fifth_crash_ms == 0 ||
        sent_ms <= state.fifth_crash_ms + SOAK_CALM_MS ||
        !host_is_calm(host, soak_now_ms())) {
        return;
    }
    state.late_sends++;
    soak_note("late request with the part from host %zu", host);
}

void
tainted_crash(size_t runner)
{
    state.crashes++;
    if (state.crashes == 1) {
        state.first_crash_ms = soak_now_ms();
    }
    if (state.crashes == CRASHES) {
        state.fifth_crash_ms = soak_now_ms();
    }
    runner_crash(runner, false);
}

static void
count(tally_t *tally, const caller_t *caller)
{
    tally->tries++;
    tally->begun += caller->event >= 0 ? 1 : 0;
}

void
tainted_ended(const caller_t *caller, const attempt_end_t *end)
{
    if (!soak_plays(SOAK_TAINTED) || caller->attempts > 1 ||
        tainted_has_part(end->path) ||
        !host_is_calm(end->host, end->sent_ms)) {
        return;
    }
    if (state.first_crash_ms == 0) {
        count(&state.before, caller);
    }
    else if (state.fifth_crash_ms > 0 &&
             end->sent_ms >= state.fifth_crash_ms + 2 * SOAK_CALM_MS &&
             end->sent_ms <= state.last_ms) {
        count(&state.after, caller);
    }
}

void
tainted_judge(void)
{
    const tally_t *before = &state.before;
    const tally_t *after = &state.after;

    if (!soak_plays(SOAK_TAINTED)) {
        return;
    }
    printf("tainted: %" PRIu32 " crashes, %" PRIu32
           " late sends, first attempts begun %" PRIu32 " of %" PRIu32
           " before the first crash, %" PRIu32 " of %" PRIu32
           " after the fifth\n",
           state.crashes, state.late_sends, before->begun, before->tries,
           after->begun, after->tries);
    if (state.late_sends > SENDS_MAX) {
        soak_broken("tainted",
                    "sent %" PRIu32 " times after %d crashes were known",
                    state.late_sends, CRASHES);
    }
    if (before->tries >= TRIES_LEAST && after->tries >= TRIES_LEAST &&
        2 * (uint64_t)after->begun * before->tries <
            (uint64_t)before->begun * after->tries) {
        soak_broken("tainted", "sound requests begin less than half as often");
    }
}
