/* answer.c - see answer.h. */
#include <inttypes.h>

#include "agated/answer.h"

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
};

static const uint32_t refusal_statuses[] = {
    [REFUSAL_UNAUTHORISED] = 401,    [REFUSAL_UNKNOWN_MODEL] = 404,
    [REFUSAL_UNKNOWN_KIND] = 400,    [REFUSAL_OVERLOADED] = 429,
    [REFUSAL_LEAVING] = 503,         [REFUSAL_NO_RUNNER] = 503,
    [REFUSAL_STORE_UNREACHED] = 503, [REFUSAL_ALREADY_RAN] = 409,
    [REFUSAL_BACKEND_LOST] = 502,    [REFUSAL_HARMFUL] = 422,
    [REFUSAL_SUPERSEDED] = 409,      [REFUSAL_INVALID] = 400,
    [REFUSAL_BACKEND_FAILED] = 502,
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

static void write_id(const answer_t *answer, text_t *out);
static void write_head(const answer_t *answer, const char *completion_object,
                       const char *chat_object, text_t *out);
static void write_choice(answer_t *answer, const char *text, size_t length,
                         const char *finish, text_t *out);
static void write_usage(const finish_order_t *finish, text_t *out);
static void write_whole(answer_t *answer, const finish_order_t *finish,
                        text_t *out);
static void write_last_events(answer_t *answer, const finish_order_t *finish,
                              text_t *out);
static void keep_whole(answer_t *answer, const give_order_t *give);

void
answer_free(answer_t *answer)
{
    text_free(&answer->whole);
    text_free(&answer->whole_ids);
}

void
answer_give(answer_t *answer, const give_order_t *give, text_t *out)
{
    answer->position = give->position;
    if (!answer->stream) {
        keep_whole(answer, give);
        return;
    }
    write_id(answer, out);
    text_puts(out, "data: ");
    write_head(answer, "text_completion", "chat.completion.chunk", out);
    write_choice(answer, give->text.text_val, give->text.text_len, NULL, out);
    if (answer->token_ids) {
        text_puts(out, ",\"token_ids\":");
        text_json_ids(out, give->token_ids.token_ids_val,
                      give->token_ids.token_ids_len);
    }
    text_puts(out, "}]}\n\n");
    answer->begun = true;
}

void
answer_finish(answer_t *answer, const finish_order_t *finish, text_t *out)
{
    if (answer->stream) {
        write_last_events(answer, finish, out);
        return;
    }
    write_whole(answer, finish, out);
}

void
answer_refuse(answer_t *answer, const refuse_order_t *refuse, text_t *out)
{
    if (!answer->stream || !answer->begun) {
        refusal_json(refuse, out);
        return;
    }
    text_puts(out, "event: error\n");
    write_id(answer, out);
    text_puts(out, "data: ");
    refusal_json(refuse, out);
    text_puts(out, "\n\n");
}

void
refusal_json(const refuse_order_t *refuse, text_t *out)
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

refuse_order_t
refusal_new(refusal_t refusal, uint32_t status, char *message)
{
    return (refuse_order_t){.refusal = refusal,
                            .run = RUN_NOT_RUN,
                            .status = status,
                            .message = message};
}

static void
write_id(const answer_t *answer, text_t *out)
{
    text_puts(out, "id: ");
    text_puts(out, answer->name);
    text_puts(out, ".");
    text_u64(out, answer->position);
    text_puts(out, "\n");
}

/* The object up to the comma before what differs. */
static void
write_head(const answer_t *answer, const char *completion_object,
           const char *chat_object, text_t *out)
{
    bool chat = answer->endpoint == ENDPOINT_CHAT;

    text_puts(out, chat ? "{\"id\":\"chatcmpl-" : "{\"id\":\"cmpl-");
    text_puts(out, answer->name);
    text_puts(out, "\",\"object\":\"");
    text_puts(out, chat ? chat_object : completion_object);
    text_puts(out, "\",\"created\":");
    text_u64(out, (uint64_t)answer->created_s);
    text_puts(out, ",\"model\":");
    text_json_string(out, answer->model);
}

/* The only choice, its braces still open. */
static void
write_choice(answer_t *answer, const char *text, size_t length,
             const char *finish, text_t *out)
{
    text_puts(out, ",\"choices\":[{\"index\":0,");
    if (answer->endpoint != ENDPOINT_CHAT) {
        text_puts(out, "\"text\":");
        text_json(out, text, length);
        text_puts(out, ",\"logprobs\":null");
    }
    else {
        text_puts(out, "\"delta\":{");
        if (!answer->begun) {
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
write_usage(const finish_order_t *finish, text_t *out)
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
write_last_events(answer_t *answer, const finish_order_t *finish, text_t *out)
{
    write_id(answer, out);
    text_puts(out, "data: ");
    write_head(answer, "text_completion", "chat.completion.chunk", out);
    write_choice(answer, "", 0, finish_names[finish->finish], out);
    text_puts(out, "}]}\n\n");
    answer->begun = true;
    if (answer->usage) {
        write_id(answer, out);
        text_puts(out, "data: ");
        write_head(answer, "text_completion", "chat.completion.chunk", out);
        text_puts(out, ",\"choices\":[]");
        write_usage(finish, out);
        text_puts(out, "}\n\n");
    }
    write_id(answer, out);
    text_puts(out, "data: [DONE]\n\n");
}

static void
write_whole(answer_t *answer, const finish_order_t *finish, text_t *out)
{
    bool chat = answer->endpoint == ENDPOINT_CHAT;

    write_head(answer, "text_completion", "chat.completion", out);
    text_puts(out, ",\"choices\":[{\"index\":0,");
    text_puts(out, chat ? "\"message\":{\"role\":\"assistant\",\"content\":"
                        : "\"text\":");
    text_json(out, answer->whole.bytes, answer->whole.length);
    text_puts(out, chat ? "},\"logprobs\":null" : ",\"logprobs\":null");
    text_printf(out, ",\"finish_reason\":\"%s\"",
                finish_names[finish->finish]);
    if (answer->token_ids) {
        text_puts(out, ",\"token_ids\":");
        text_json_ids(out, (const uint32_t *)(void *)answer->whole_ids.bytes,
                      answer->whole_ids.length / sizeof(uint32_t));
    }
    text_puts(out, "}]");
    write_usage(finish, out);
    text_puts(out, "}");
}

static void
keep_whole(answer_t *answer, const give_order_t *give)
{
    text_append(&answer->whole, give->text.text_val, give->text.text_len);
    if (answer->token_ids) {
        text_append(&answer->whole_ids, give->token_ids.token_ids_val,
                    give->token_ids.token_ids_len * sizeof(uint32_t));
    }
}
