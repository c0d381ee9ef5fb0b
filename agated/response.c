/* response.c - writes a response in the OpenAI formats. */
#include <inttypes.h>

#include "agated/response.h"

static const char *const refusal_names[] = {
    [REFUSAL_UNAUTHORISED] = "unauthorised",
    [REFUSAL_UNKNOWN_MODEL] = "unknown-model",
    [REFUSAL_UNKNOWN_KIND] = "unknown-kind",
    [REFUSAL_OVERLOADED] = "overloaded",
    [REFUSAL_LEAVING] = "leaving",
    [REFUSAL_NO_RUNNER] = "no-runner",
    [REFUSAL_STORE_UNREACHED] = "store-unreached",
    [REFUSAL_ALREADY_RAN] = "already-ran",
    [REFUSAL_BACKEND_LOST] = "backend-lost",
    [REFUSAL_HARMFUL] = "harmful",
    [REFUSAL_SUPERSEDED] = "superseded",
    [REFUSAL_INVALID] = "invalid",
    [REFUSAL_BACKEND_FAILED] = "backend-failed",
    [REFUSAL_STARTING] = "starting",
};

static const uint32_t refusal_statuses[] = {
    [REFUSAL_UNAUTHORISED] = 401,    [REFUSAL_UNKNOWN_MODEL] = 404,
    [REFUSAL_UNKNOWN_KIND] = 400,    [REFUSAL_OVERLOADED] = 429,
    [REFUSAL_LEAVING] = 503,         [REFUSAL_NO_RUNNER] = 503,
    [REFUSAL_STORE_UNREACHED] = 503, [REFUSAL_ALREADY_RAN] = 409,
    [REFUSAL_BACKEND_LOST] = 502,    [REFUSAL_HARMFUL] = 422,
    [REFUSAL_SUPERSEDED] = 409,      [REFUSAL_INVALID] = 400,
    [REFUSAL_BACKEND_FAILED] = 502,  [REFUSAL_STARTING] = 503,
};

static const char *const run_names[] = {
    [RUN_NOT_RUN] = "not-run",
    [RUN_UNKNOWN] = "unknown",
    [RUN_RAN] = "ran",
};

static const char *const finish_names[] = {
    [FINISH_NONE] = "stop",
    [FINISH_STOP] = "stop",
    [FINISH_LENGTH] = "length",
    [FINISH_OTHER] = "other",
};

static void update_event_id(response_t *response,
                            const send_tokens_action_t *tokens);
static void write_event_id(const response_t *response, text_t *out);
static void write_object_start(const response_t *response,
                               const char *completion_object,
                               const char *chat_object, text_t *out);
static void write_choice(response_t *response, const char *text, size_t length,
                         const char *finish, text_t *out);
static void write_usage(const finish_action_t *finish, text_t *out);
static void write_complete_object(response_t *response,
                                  const finish_action_t *finish, text_t *out);
static void write_last_events(response_t *response,
                              const finish_action_t *finish, text_t *out);
static void buffer_tokens(response_t *response,
                          const send_tokens_action_t *tokens);

void
response_free(response_t *response)
{
    text_free(&response->event_id);
    text_free(&response->buffered_text);
    text_free(&response->buffered_ids);
}

void
response_add_tokens(response_t *response, const send_tokens_action_t *tokens,
                    text_t *out)
{
    response->position = tokens->position;
    update_event_id(response, tokens);
    if (!response->stream) {
        buffer_tokens(response, tokens);
        return;
    }
    write_event_id(response, out);
    text_puts(out, "data: ");
    write_object_start(response, "text_completion", "chat.completion.chunk",
                       out);
    write_choice(response, tokens->text.text_val, tokens->text.text_len, NULL,
                 out);
    if (response->token_ids) {
        text_puts(out, ",\"token_ids\":");
        text_json_numbers(out, tokens->token_ids.token_ids_val,
                          tokens->token_ids.token_ids_len);
    }
    text_puts(out, "}]}\n\n");
    response->started = true;
}

void
response_finish(response_t *response, const finish_action_t *finish,
                text_t *out)
{
    if (response->stream) {
        write_last_events(response, finish, out);
        return;
    }
    write_complete_object(response, finish, out);
}

void
response_add_refusal(response_t *response,
                     const refuse_request_action_t *refuse, text_t *out)
{
    if (!response->stream || !response->started) {
        refusal_write_json(refuse, out);
        return;
    }
    text_puts(out, "event: error\n");
    write_event_id(response, out);
    text_puts(out, "data: ");
    refusal_write_json(refuse, out);
    text_puts(out, "\n\n");
}

void
refusal_write_json(const refuse_request_action_t *refuse, text_t *out)
{
    text_printf(out, "{\"error\":{\"kind\":\"%s\",\"message\":",
                refusal_names[refuse->refusal]);
    text_json_string(out, refuse->message);
    text_printf(out, ",\"run\":\"%s\"", run_names[refuse->run]);
    if (refuse->retry_after_ms > 0) {
        text_printf(out, ",\"retry_after_ms\":%" PRIu32,
                    refuse->retry_after_ms);
    }
    text_puts(out, "}}");
}

uint32_t
refusal_status(refusal_t refusal)
{
    return refusal_statuses[refusal];
}

refuse_request_action_t
refusal_new(refusal_t refusal, uint32_t status, char *message)
{
    return (refuse_request_action_t){.refusal = refusal,
                                     .run = RUN_NOT_RUN,
                                     .status = status,
                                     .message = message};
}

static void
write_event_id(const response_t *response, text_t *out)
{
    text_puts(out, "id: ");
    if (response->event_id.length > 0) {
        text_append(out, response->event_id.bytes, response->event_id.length);
    }
    else {
        text_puts(out, response->name);
        text_puts(out, ".");
        text_u64(out, response->position);
    }
    text_puts(out, "\n");
}

/* The final events of a stream use the id of its last tokens. */
static void
update_event_id(response_t *response, const send_tokens_action_t *tokens)
{
    const position_t position = {
        .position = tokens->position,
        .attempt = tokens->attempt,
        .location = tokens->location,
        .hash = tokens->hash,
        .tail_from = tokens->tail_from,
        .tail_ids = tokens->tail_ids.tail_ids_val,
        .tail_count = tokens->tail_ids.tail_ids_len,
    };

    if (!response->stream) {
        return;
    }
    response->event_id.length = 0;
    position_encode(response->position_key, response->name, &position,
                    &response->event_id);
}

/* Writes the members that all objects share, without a trailing comma. */
static void
write_object_start(const response_t *response, const char *completion_object,
                   const char *chat_object, text_t *out)
{
    bool chat = response->endpoint == ENDPOINT_CHAT;

    text_puts(out, chat ? "{\"id\":\"chatcmpl-" : "{\"id\":\"cmpl-");
    text_puts(out, response->name);
    text_puts(out, "\",\"object\":\"");
    text_puts(out, chat ? chat_object : completion_object);
    text_puts(out, "\",\"created\":");
    text_u64(out, (uint64_t)response->created_s);
    text_puts(out, ",\"model\":");
    text_json_string(out, response->model);
}

/* Writes the only choice and leaves its braces open. */
static void
write_choice(response_t *response, const char *text, size_t length,
             const char *finish, text_t *out)
{
    text_puts(out, ",\"choices\":[{\"index\":0,");
    if (response->endpoint != ENDPOINT_CHAT) {
        text_puts(out, "\"text\":");
        text_json(out, text, length);
        text_puts(out, ",\"logprobs\":null");
    }
    else {
        text_puts(out, "\"delta\":{");
        if (!response->started && !response->resumed) {
            text_puts(out, "\"role\":\"assistant\",");
        }
        text_puts(out, "\"content\":");
        text_json(out, text, length);
        text_puts(out, "},\"logprobs\":null");
    }
    if (finish == NULL) {
        text_puts(out, ",\"finish_reason\":null");
        return;
    }
    text_printf(out, ",\"finish_reason\":\"%s\"", finish);
}

static void
write_usage(const finish_action_t *finish, text_t *out)
{
    uint64_t total =
        (uint64_t)finish->prompt_tokens + finish->completion_tokens;

    text_printf(out,
                ",\"usage\":{\"prompt_tokens\":%" PRIu32
                ",\"completion_tokens\":%" PRIu32 ",\"total_tokens\":%" PRIu64
                "}",
                finish->prompt_tokens, finish->completion_tokens, total);
}

static void
write_last_events(response_t *response, const finish_action_t *finish,
                  text_t *out)
{
    write_event_id(response, out);
    text_puts(out, "data: ");
    write_object_start(response, "text_completion", "chat.completion.chunk",
                       out);
    write_choice(response, "", 0, finish_names[finish->finish], out);
    text_puts(out, "}]}\n\n");
    response->started = true;
    if (response->include_usage) {
        write_event_id(response, out);
        text_puts(out, "data: ");
        write_object_start(response, "text_completion",
                           "chat.completion.chunk", out);
        text_puts(out, ",\"choices\":[]");
        write_usage(finish, out);
        text_puts(out, "}\n\n");
    }
    write_event_id(response, out);
    text_puts(out, "data: [DONE]\n\n");
}

static void
write_complete_object(response_t *response, const finish_action_t *finish,
                      text_t *out)
{
    bool chat = response->endpoint == ENDPOINT_CHAT;

    write_object_start(response, "text_completion", "chat.completion", out);
    text_puts(out, ",\"choices\":[{\"index\":0,");
    text_puts(out, chat ? "\"message\":{\"role\":\"assistant\",\"content\":"
                        : "\"text\":");
    text_json(out, response->buffered_text.bytes,
              response->buffered_text.length);
    text_puts(out, chat ? "},\"logprobs\":null" : ",\"logprobs\":null");
    text_printf(out, ",\"finish_reason\":\"%s\"",
                finish_names[finish->finish]);
    if (response->token_ids) {
        text_puts(out, ",\"token_ids\":");
        text_json_numbers(
            out, (const uint32_t *)(void *)response->buffered_ids.bytes,
            response->buffered_ids.length / sizeof(uint32_t));
    }
    text_puts(out, "}]");
    write_usage(finish, out);
    text_puts(out, "}");
}

static void
buffer_tokens(response_t *response, const send_tokens_action_t *tokens)
{
    text_append(&response->buffered_text, tokens->text.text_val,
                tokens->text.text_len);
    if (response->token_ids) {
        text_append(&response->buffered_ids, tokens->token_ids.token_ids_val,
                    tokens->token_ids.token_ids_len * sizeof(uint32_t));
    }
}
