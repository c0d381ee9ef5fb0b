/* load_plan.c - the requests of a run, each a function of the seed. */
#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "regress/standin/load.h"

enum {
    PROMPT_BYTES = 4096,
    PREFIX_BYTES_MAX = 1500, /* shared by requests of one sort */
    PREFIXES = 8,
    PERCENT = 100,
    CUT_ONE_IN = 5, /* answers that max_tokens cuts off */
    SPARE_TOKENS = 64,
};

static uint32_t draw(uint64_t *state, uint32_t below);
static void write_prompt(char *prompt, const load_plan_t *plan,
                         uint32_t length, uint64_t *state);
static void read_prompt(load_plan_t *plan, const char *version,
                        const char *prompt);
static void write_body(load_plan_t *plan, const load_options_t *options,
                       const char *prompt, uint32_t max_tokens);

static uint32_t
draw(uint64_t *state, uint32_t below)
{
    uint64_t value = *state += 0x9e3779b97f4a7c15u;

    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
    return below == 0 ? 0 : (uint32_t)(value >> 33) % below;
}

static void
write_prompt(char *prompt, const load_plan_t *plan, uint32_t length,
             uint64_t *state)
{
    uint32_t sort = draw(state, PREFIXES);
    uint32_t prefix_bytes = sort * PREFIX_BYTES_MAX / PREFIXES;
    char part[PROMPT_BYTES];

    snprintf(prompt, PROMPT_BYTES, "Service history %u. ", sort);
    while (strlen(prompt) < prefix_bytes) {
        strlcat(prompt, "Brakes inspected, gearbox oil changed. ",
                PROMPT_BYTES);
    }
    snprintf(part, sizeof(part), "REQUEST=%s LENGTH=%u %s", plan->tag, length,
             plan->kills_engines ? "CRASH-ENGINE " : "");
    strlcat(prompt, part, PROMPT_BYTES);
}

expected_t
plan_expect(const load_plan_t *plan, uint32_t first_id)
{
    size_t size = (size_t)plan->max_tokens * GENERATE_TEXT_BYTES + 1;
    generate_t generate = plan->prompt;
    expected_t expected = {.finish = "stop"};
    uint32_t id = first_id;
    char *end;

    expected.text = end = calloc(1, size);
    if (plan->endpoint == LOAD_PLAIN) {
        return expected;
    }
    expected.ids = calloc(plan->max_tokens, sizeof(uint32_t));
    expected.finish = "length";
    while (expected.count < plan->max_tokens) {
        if (expected.count > 0 || first_id == 0) {
            id = generate_next(&generate);
        }
        generate_feed(&generate, id);
        expected.ids[expected.count++] = id;
        generate_text(id, end);
        end += strlen(end);
        if (id == GENERATE_STOP) {
            expected.finish = "stop";
            break;
        }
    }
    return expected;
}

static void
read_prompt(load_plan_t *plan, const char *version, const char *prompt)
{
    generate_init(&plan->prompt, version);
    if (plan->endpoint == LOAD_CHAT) {
        generate_feed_text(&plan->prompt, "user: ");
        generate_feed_text(&plan->prompt, prompt);
        generate_feed_text(&plan->prompt, "\n");
    }
    else {
        generate_feed_text(&plan->prompt, prompt);
    }
}

static void
write_body(load_plan_t *plan, const load_options_t *options,
           const char *prompt, uint32_t max_tokens)
{
    json_t *body = json_pack("{s:s, s:i, s:b, s:b}", "model", options->model,
                             "max_tokens", (int)max_tokens, "stream",
                             plan->streamed, "return_token_ids", 1);

    if (plan->endpoint == LOAD_CHAT) {
        json_object_set_new(
            body, "messages",
            json_pack("[{s:s, s:s}]", "role", "user", "content", prompt));
    }
    else {
        json_object_set_new(body, "prompt", json_string(prompt));
    }
    plan->body = json_dumps(body, JSON_COMPACT);
    json_decref(body);
}

void
plan_make(load_plan_t *plan, const load_mix_t *mix,
          const load_options_t *options, uint32_t index)
{
    uint64_t state = mix->seed * 1000003u + index;
    uint32_t length, max_tokens;
    char prompt[PROMPT_BYTES];

    memset(plan, 0, sizeof(*plan));
    snprintf(plan->tag, sizeof(plan->tag), "s%llu-%u",
             (unsigned long long)mix->seed, index);
    strlcpy(plan->name, plan->tag, sizeof(plan->name));
    plan->streamed = draw(&state, PERCENT) >= mix->whole_percent;
    plan->idempotent = draw(&state, PERCENT) >= mix->once_percent;
    plan->repeated = draw(&state, PERCENT) < mix->repeat_percent;
    plan->first_router = draw(&state, options->router_count);
    length =
        mix->length_min + draw(&state, mix->length_max - mix->length_min + 1);
    max_tokens = length + SPARE_TOKENS;
    if (draw(&state, CUT_ONE_IN) == 0 && length > 1 && mix->sessions > 1) {
        max_tokens = length / 2;
    }
    if (draw(&state, PERCENT) < mix->drop_percent) {
        plan->drop_after = 1 + draw(&state, length);
    }
    plan->endpoint = draw(&state, 2) == 0 || mix->sessions == 1
                         ? LOAD_COMPLETIONS
                         : LOAD_CHAT;
    if (draw(&state, PERCENT) < mix->plain_percent) {
        plan->endpoint = LOAD_PLAIN;
        plan->streamed = false;
        plan->body = strdup("{}");
        return;
    }
    plan->kills_engines =
        mix->killers > 0 && index % (mix->sessions / mix->killers + 1) ==
                                mix->sessions / mix->killers / 2;
    plan->idempotent |= plan->kills_engines;
    write_prompt(prompt, plan, length, &state);
    plan->max_tokens = max_tokens;
    read_prompt(plan, options->version, prompt);
    write_body(plan, options, prompt, max_tokens);
}

void
plan_free(load_plan_t *plan)
{
    free(plan->body);
}
