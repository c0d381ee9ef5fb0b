/* engine_request.c - reads the body of a completions or chat request. */
#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "regress/standin/engine.h"

enum { MAX_TOKENS_DEFAULT = 16, PROMPT_MAX = 1 << 20 };

static void append_id(generation_t *generation, uint32_t id);
static void append_text(generation_t *generation, const char *text);
static bool read_prompt(generation_t *generation, const json_t *prompt);
static bool read_messages(generation_t *generation, const json_t *messages);
static uint32_t find_after(const generation_t *generation, const char *word);
static void read_tag(generation_t *generation);

static void
append_id(generation_t *generation, uint32_t id)
{
    if (generation->prompt_count < PROMPT_MAX) {
        generation->prompt_ids[generation->prompt_count++] = id;
        generate_feed(&generation->generate, id);
    }
}

static void
append_text(generation_t *generation, const char *text)
{
    for (; text != NULL && *text != '\0'; text++) {
        append_id(generation, (unsigned char)*text);
    }
}

static bool
read_prompt(generation_t *generation, const json_t *prompt)
{
    size_t index;
    json_t *id;

    if (json_is_string(prompt)) {
        append_text(generation, json_string_value(prompt));
        return true;
    }
    if (!json_is_array(prompt)) {
        return false;
    }
    json_array_foreach(prompt, index, id)
    {
        if (!json_is_integer(id)) {
            return false;
        }
        append_id(generation, (uint32_t)json_integer_value(id));
    }
    return true;
}

static bool
read_messages(generation_t *generation, const json_t *messages)
{
    size_t index;
    json_t *message;

    if (!json_is_array(messages)) {
        return false;
    }
    json_array_foreach(messages, index, message)
    {
        append_text(generation,
                    json_string_value(json_object_get(message, "role")));
        append_text(generation, ": ");
        append_text(generation,
                    json_string_value(json_object_get(message, "content")));
        append_text(generation, "\n");
    }
    return true;
}

/* Returns the place behind the first such word, 0 without one. */
static uint32_t
find_after(const generation_t *generation, const char *word)
{
    size_t length = strlen(word), matched = 0;

    for (uint32_t i = 0; i < generation->prompt_count; i++) {
        if (generation->prompt_ids[i] != (unsigned char)word[matched]) {
            matched = 0;
        }
        if (generation->prompt_ids[i] == (unsigned char)word[matched]) {
            matched++;
        }
        if (matched == length) {
            return i + 1;
        }
    }
    return 0;
}

static void
read_tag(generation_t *generation)
{
    uint32_t at = find_after(generation, "REQUEST=");
    size_t length = 0;

    while (at > 0 && at < generation->prompt_count &&
           generation->prompt_ids[at] > ' ' &&
           generation->prompt_ids[at] <= '~' &&
           length + 1 < sizeof(generation->tag)) {
        generation->tag[length++] = (char)generation->prompt_ids[at++];
    }
}

generation_t *
request_parse(const server_request_t *request, bool chat)
{
    generation_t *generation = NULL;
    json_t *body, *field;
    const char *model;
    bool good;

    body = json_loadb(request->body, request->body_bytes, 0, NULL);
    model = json_string_value(json_object_get(body, "model"));
    if (model == NULL) {
        json_decref(body);
        return NULL;
    }
    generation = calloc(1, sizeof(*generation));
    generation->prompt_ids = malloc(PROMPT_MAX * sizeof(uint32_t));
    generation->chat = chat;
    strlcpy(generation->model, model, sizeof(generation->model));
    generate_init(&generation->generate, generation->model);
    good = chat ? read_messages(generation, json_object_get(body, "messages"))
                : read_prompt(generation, json_object_get(body, "prompt"));
    field = json_object_get(body, "max_tokens");
    generation->max_tokens = json_is_integer(field)
                                 ? (uint32_t)json_integer_value(field)
                                 : MAX_TOKENS_DEFAULT;
    generation->priority =
        json_integer_value(json_object_get(body, "priority"));
    generation->return_token_ids =
        json_is_true(json_object_get(body, "return_token_ids"));
    generation->streamed = json_is_true(json_object_get(body, "stream"));
    generation->crashes = find_after(generation, "CRASH-ENGINE") > 0;
    read_tag(generation);
    generation->has_seed = json_object_get(body, "seed") != NULL;
    json_decref(body);
    if (!good || generation->max_tokens == 0) {
        free(generation->prompt_ids);
        free(generation);
        return NULL;
    }
    generation->prompt_ids =
        realloc(generation->prompt_ids,
                (generation->prompt_count + 1) * sizeof(uint32_t));
    generation->output_ids =
        calloc((size_t)generation->max_tokens + 1, sizeof(uint32_t));
    return generation;
}
