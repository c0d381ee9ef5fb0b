/* load_plan.c - the requests of a run, each a function of the seed. */
#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "regress/standin/generate.h"
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
static void expect_answer(load_plan_t *plan, const char *version,
                          const char *prompt, uint32_t max_tokens);
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

/* What an engine that is never lost would answer. */
static void
expect_answer(load_plan_t *plan, const char *version, const char *prompt,
              uint32_t max_tokens)
{
    size_t size = (size_t)max_tokens * GENERATE_TEXT_BYTES + 1;
    generate_t generate;
    char *end;
    uint32_t id;

    plan->expected_ids = calloc(max_tokens, sizeof(uint32_t));
    plan->expected_text = end = calloc(1, size);
    plan->expected_finish = "length";
    generate_init(&generate, version);
    if (plan->endpoint == LOAD_CHAT) {
        generate_feed_text(&generate, "user: ");
        generate_feed_text(&generate, prompt);
        generate_feed_text(&generate, "\n");
    }
    else {
        generate_feed_text(&generate, prompt);
    }
    while (plan->expected_count < max_tokens) {
        id = generate_next(&generate);
        generate_feed(&generate, id);
        plan->expected_ids[plan->expected_count++] = id;
        generate_text(id, end);
        end += strlen(end);
        if (id == GENERATE_STOP) {
            plan->expected_finish = "stop";
            break;
        }
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
        plan->expected_text = strdup("");
        plan->expected_finish = "stop";
        return;
    }
    plan->kills_engines =
        mix->killers > 0 && index % (mix->sessions / mix->killers + 1) ==
                                mix->sessions / mix->killers / 2;
    plan->idempotent |= plan->kills_engines;
    write_prompt(prompt, plan, length, &state);
    expect_answer(plan, options->version, prompt, max_tokens);
    write_body(plan, options, prompt, max_tokens);
}

void
plan_free(load_plan_t *plan)
{
    free(plan->body);
    free(plan->expected_ids);
    free(plan->expected_text);
}
