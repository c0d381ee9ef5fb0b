/* suspicion_parts.c - the prompts of suspicion_sim.h, and what callers see. */
#include <string.h>

#include "regress/suspicion_private.h"

enum {
    FIRST_PART = 100,    /* and above */
    HARMFUL_PART = 200,  /* and above: one for each harmful content */
    SHARED_PART = 1000,  /* and above: by first part and position */
    SESSION_PART = 5000, /* and above: by session and position */
    UNIQUE_PART = 100000,
    /* The users' bound: half as often, of so many requests. */
    BEGUN_REQUESTS_MIN = 20,
};

void
sim_draw_parts(sim_sent_t *sent)
{
    uint32_t first_parts =
        sim.scenario.first_parts > 0 ? sim.scenario.first_parts : 1;

    if (!sim.scenario.harmful_part) {
        return;
    }
    sent->first_part =
        sent->harmful ? 0 : (uint32_t)sim_random_below(first_parts);
    sent->session = (uint32_t)sim_random_below(sim.scenario.sessions);
}

static uint64_t
part_at(const sim_sent_t *sent, uint32_t position)
{
    if (position == 0) {
        return FIRST_PART + sent->first_part;
    }
    switch (sim.scenario.parts_kind) {
    case PARTS_SHARED:
        return SHARED_PART + sent->first_part * SIM_PARTS_MAX + position;
    case PARTS_SESSION:
        return SESSION_PART + sent->session * SIM_PARTS_MAX + position;
    case PARTS_UNIQUE:
        return UNIQUE_PART + sent->number * SIM_PARTS_MAX + position;
    }
    return 0;
}

uint32_t
sim_list_parts(const sim_sent_t *sent, uint64_t *parts)
{
    uint32_t count = 0;
    uint32_t i;

    if (!sim.scenario.harmful_part) {
        return 0;
    }
    for (i = 0; i < sim.scenario.parts; i++) {
        if (sent->harmful && i == sim.scenario.part_depth) {
            parts[count] = HARMFUL_PART + sent->content;
            count++;
        }
        parts[count] = part_at(sent, i);
        count++;
    }
    if (sent->harmful && sim.scenario.part_depth >= sim.scenario.parts) {
        parts[count] = HARMFUL_PART + sent->content;
        count++;
    }
    return count;
}

static void
add_begun(suspicion_begun_t *begun, const sim_sent_t *sent)
{
    begun->requests++;
    begun->begun += sent->begun ? 1 : 0;
}

/* Harmless requests are compared while the harmful ones still come. */
void
sim_count_begun(void)
{
    int64_t first_ms = INT64_MAX;
    int64_t after_ms = 0;
    int64_t last_ms = 0;
    size_t i;

    for (i = 0; i < SIM_CONTENTS_MAX; i++) {
        const sim_content_t *content = &sim.contents[i];
        int64_t since_ms = content->deadline_ms > 0
                               ? content->deadline_ms + SIM_BEGIN_DELAY_MS -
                                     SIM_DETECTION_DELAY_MS
                               : content->last_crash_ms + SIM_BEGIN_DELAY_MS;

        if (content->crashes > 0) {
            first_ms = content->first_crash_ms < first_ms
                           ? content->first_crash_ms
                           : first_ms;
            after_ms = since_ms > after_ms ? since_ms : after_ms;
        }
    }
    for (i = 0; i < sim.sent_count; i++) {
        last_ms = sim.sent[i].harmful ? sim.sent[i].sent_ms : last_ms;
    }
    for (i = 0; i < sim.sent_count && after_ms > 0; i++) {
        const sim_sent_t *sent = &sim.sent[i];
        bool after = sent->sent_ms >= after_ms && sent->sent_ms <= last_ms;

        if (sent->harmful || (!after && sent->sent_ms >= first_ms)) {
            continue;
        }
        add_begun(after ? &sim.result.all_after : &sim.result.all_before,
                  sent);
        if (sent->first_part == 0) {
            add_begun(after ? &sim.result.first_after
                            : &sim.result.first_before,
                      sent);
        }
    }
}

bool
suspicion_begins(const suspicion_begun_t *before,
                 const suspicion_begun_t *after)
{
    if (before->requests < BEGUN_REQUESTS_MIN ||
        after->requests < BEGUN_REQUESTS_MIN) {
        return true;
    }
    return 2 * (uint64_t)after->begun * before->requests >=
           (uint64_t)before->begun * after->requests;
}
