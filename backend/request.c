/* request.c - builds the request body for an engine. */
#include <stdlib.h>

#include <jansson.h>

#include "backend/request.h"

static void replace_prompt(json_t *body, const backend_request_t *request);
static void set_parameters(json_t *body, const backend_request_t *request);

char *
engine_request_body(arena_t *arena, const backend_request_t *request,
                    size_t *length)
{
    json_t *body =
        json_loadb(request->body, request->body_bytes, JSON_ALLOW_NUL, NULL);
    char *text;

    if (!json_is_object(body)) {
        json_decref(body);
        return NULL;
    }
    (void)json_object_set_new(body, "stream", json_true());
    (void)json_object_set_new(body, "return_token_ids", json_true());
    (void)json_object_del(body, "stop");
    if (request->model != NULL) {
        (void)json_object_set_new(body, "model", json_string(request->model));
    }
    set_parameters(body, request);
    if (request->prompt_count > 0) {
        replace_prompt(body, request);
    }
    *length = json_dumpb(body, NULL, 0, JSON_COMPACT);
    text = arena_alloc(arena, *length + 1);
    (void)json_dumpb(body, text, *length, JSON_COMPACT);
    json_decref(body);
    return text;
}

const char *
engine_request_path(const backend_request_t *request)
{
    if (request->endpoint == BACKEND_CHAT && request->prompt_count == 0) {
        return "/v1/chat/completions";
    }
    return "/v1/completions";
}

static void
set_parameters(json_t *body, const backend_request_t *request)
{
    if (request->max_tokens > 0) {
        (void)json_object_del(body, "max_completion_tokens");
        (void)json_object_set_new(body, "max_tokens",
                                  json_integer(request->max_tokens));
    }
    if (request->has_seed) {
        (void)json_object_set_new(body, "seed", json_integer(request->seed));
    }
    (void)json_object_set_new(body, "priority",
                              json_integer(request->priority));
}

/* Removes chat fields that completions lacks or defines differently. */
static void
replace_prompt(json_t *body, const backend_request_t *request)
{
    static const char *const chat_only[] = {
        "messages",     "max_completion_tokens",
        "top_logprobs", "response_format",
        "tools",        "tool_choice"};
    json_t *prompt = json_array();
    size_t i;

    for (i = 0; i < sizeof(chat_only) / sizeof(chat_only[0]); i++) {
        (void)json_object_del(body, chat_only[i]);
    }
    if (json_is_boolean(json_object_get(body, "logprobs"))) {
        (void)json_object_del(body, "logprobs");
    }
    for (i = 0; i < request->prompt_count; i++) {
        (void)json_array_append_new(prompt,
                                    json_integer(request->prompt_ids[i]));
    }
    (void)json_object_set_new(body, "prompt", prompt);
}
