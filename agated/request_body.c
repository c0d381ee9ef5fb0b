/* request_body.c - parses the fields of a generation request. */
#include <stdlib.h>
#include <string.h>

#include "agated/request_body.h"

enum {
    STATUS_BAD_REQUEST = 400,
    STOPS_MAX = 16,
    STOP_BYTES_MAX = 1024,
    NAME_LENGTH_MAX = 127
};

/* A field that prevents the router from resuming a response. */
typedef struct {
    const char *key;
    bool (*is_allowed)(const json_t *value);
    const char *message;
} unsupported_field_t;

static int check_unsupported_fields(request_parser_t *parser);
static int read_model(request_parser_t *parser);
static int read_flags(request_parser_t *parser);
static int read_boolean(request_parser_t *parser, const json_t *object,
                        const char *key, bool *flag);
static int read_max_tokens(request_parser_t *parser);
static int read_seed(request_parser_t *parser);
static int read_stop(request_parser_t *parser);
static int append_stop_string(request_parser_t *parser, const json_t *stop,
                              char *stops, size_t *length);
static int read_prompt(request_parser_t *parser);
static int read_messages(request_parser_t *parser);
static bool is_null(const json_t *value);
static bool is_false(const json_t *value);
static bool is_zero(const json_t *value);
static bool is_at_most_one(const json_t *value);
static bool is_empty(const json_t *value);
static bool is_plain_format(const json_t *value);

static const unsupported_field_t unsupported_fields[] = {
    {"n", is_at_most_one,
     "n is above 1: leave n out and send one request "
     "for each answer"},
    {"best_of", is_at_most_one, "best_of is above 1: leave best_of out"},
    {"echo", is_false, "echo is asked for: leave echo out"},
    {"logprobs", is_false, "logprobs are asked for: leave logprobs out"},
    {"top_logprobs", is_zero,
     "top_logprobs are asked for: leave top_logprobs "
     "out"},
    {"prompt_logprobs", is_false,
     "prompt_logprobs are asked for: leave "
     "prompt_logprobs out"},
    {"tools", is_empty, "tools are given: leave tools out"},
    {"tool_choice", is_null, "tool_choice is given: leave tool_choice out"},
    {"functions", is_empty, "functions are given: leave functions out"},
    {"function_call", is_null,
     "function_call is given: leave function_call "
     "out"},
    {"suffix", is_null, "suffix is given: leave suffix out"},
    {"use_beam_search", is_false,
     "use_beam_search is asked for: leave "
     "use_beam_search out"},
    {"response_format", is_plain_format,
     "response_format is not plain text: "
     "leave response_format out"},
};

int
request_parse_fields(request_parser_t *parser)
{
    bool chat = parser->parsed->event.endpoint == ENDPOINT_CHAT;

    if (check_unsupported_fields(parser) < 0 || read_model(parser) < 0 ||
        read_flags(parser) < 0 || read_max_tokens(parser) < 0 ||
        read_seed(parser) < 0 || read_stop(parser) < 0) {
        return -1;
    }
    return chat ? read_messages(parser) : read_prompt(parser);
}

static int
check_unsupported_fields(request_parser_t *parser)
{
    size_t i;

    for (i = 0; i < sizeof(unsupported_fields) / sizeof(unsupported_fields[0]);
         i++) {
        const unsupported_field_t *field = &unsupported_fields[i];
        const json_t *value = json_object_get(parser->root, field->key);

        if (value != NULL && !field->is_allowed(value)) {
            return request_refuse(parser, STATUS_BAD_REQUEST, field->message);
        }
    }
    return 0;
}

static int
read_model(request_parser_t *parser)
{
    const char *model =
        json_string_value(json_object_get(parser->root, "model"));

    if (model == NULL || *model == '\0' || strlen(model) > NAME_LENGTH_MAX) {
        return request_refuse(
            parser, STATUS_BAD_REQUEST,
            "model is missing or not a name: write one of GET "
            "/v1/models");
    }
    parser->parsed->event.model = arena_strdup(parser->arena, model);
    return 0;
}

static int
read_flags(request_parser_t *parser)
{
    parsed_request_t *parsed = parser->parsed;
    const json_t *options = json_object_get(parser->root, "stream_options");
    bool stream = false;
    bool include_usage = false;

    if (read_boolean(parser, parser->root, "stream", &stream) < 0 ||
        read_boolean(parser, parser->root, "return_token_ids",
                     &parsed->token_ids) < 0) {
        return -1;
    }
    if (options != NULL && !json_is_null(options)) {
        if (!json_is_object(options)) {
            return request_refuse(parser, STATUS_BAD_REQUEST,
                                  "stream_options is not an object: write "
                                  "{\"include_usage\": true}");
        }
        if (read_boolean(parser, options, "include_usage", &include_usage) <
            0) {
            return -1;
        }
    }
    parsed->event.stream = stream;
    parsed->include_usage = include_usage;
    return 0;
}

static int
read_boolean(request_parser_t *parser, const json_t *object, const char *key,
             bool *flag)
{
    const json_t *value = json_object_get(object, key);

    if (value == NULL || json_is_null(value)) {
        return 0;
    }
    if (!json_is_boolean(value)) {
        return request_refuse(
            parser, STATUS_BAD_REQUEST,
            arena_printf(parser->arena,
                         "%s is not a boolean: write true or false", key));
    }
    *flag = json_is_true(value);
    return 0;
}

static int
read_max_tokens(request_parser_t *parser)
{
    const json_t *value =
        json_object_get(parser->root, "max_completion_tokens");
    json_int_t number;

    if (value == NULL || json_is_null(value)) {
        value = json_object_get(parser->root, "max_tokens");
    }
    if (value == NULL || json_is_null(value)) {
        return 0;
    }
    number = json_integer_value(value);
    if (!json_is_integer(value) || number < 1 || number > EVENT_TOKENS_MAX) {
        return request_refuse(
            parser, STATUS_BAD_REQUEST,
            "max_tokens is out of range: write an integer from 1 "
            "to 1048576");
    }
    parser->parsed->event.max_tokens = (uint32_t)number;
    return 0;
}

static int
read_seed(request_parser_t *parser)
{
    const json_t *value = json_object_get(parser->root, "seed");

    if (value == NULL || json_is_null(value)) {
        return 0;
    }
    if (!json_is_integer(value)) {
        return request_refuse(parser, STATUS_BAD_REQUEST,
                              "seed is not an integer: write an integer");
    }
    parser->parsed->event.has_seed = true;
    parser->parsed->event.seed = json_integer_value(value);
    return 0;
}

static int
read_stop(request_parser_t *parser)
{
    const json_t *value = json_object_get(parser->root, "stop");
    char *stops = arena_alloc(parser->arena, STOP_BYTES_MAX);
    size_t length = 0;
    size_t i;

    if (value == NULL || json_is_null(value)) {
        return 0;
    }
    if (json_is_string(value)) {
        if (append_stop_string(parser, value, stops, &length) < 0) {
            return -1;
        }
    }
    else if (!json_is_array(value) || json_array_size(value) > STOPS_MAX) {
        return request_refuse(
            parser, STATUS_BAD_REQUEST,
            "stop is not a string or a list of strings: write at most "
            "16 strings");
    }
    for (i = 0; i < json_array_size(value); i++) {
        if (append_stop_string(parser, json_array_get(value, i), stops,
                               &length) < 0) {
            return -1;
        }
    }
    parser->parsed->event.stop.stop_len = (u_int)length;
    parser->parsed->event.stop.stop_val = stops;
    return 0;
}

static int
append_stop_string(request_parser_t *parser, const json_t *stop, char *stops,
                   size_t *length)
{
    const char *text = json_string_value(stop);
    size_t bytes = text == NULL ? 0 : strlen(text) + 1;

    if (bytes <= 1 || *length + bytes > STOP_BYTES_MAX) {
        return request_refuse(
            parser, STATUS_BAD_REQUEST,
            "stop has an empty string, a non-string or too much text: "
            "write strings of 1 to 1000 bytes altogether");
    }
    memcpy(stops + *length, text, bytes);
    *length += bytes;
    return 0;
}

static int
read_prompt(request_parser_t *parser)
{
    const json_t *prompt = json_object_get(parser->root, "prompt");
    uint32_t *ids;
    size_t count;
    size_t i;

    if (json_is_string(prompt)) {
        request_hash_prefixes(parser, json_string_value(prompt),
                              json_string_length(prompt));
        return 0;
    }
    count = json_array_size(prompt);
    if (count == 0 || count > EVENT_TOKENS_MAX) {
        return request_refuse(
            parser, STATUS_BAD_REQUEST,
            "prompt is missing or empty: write a string or a list "
            "of token ids");
    }
    ids = arena_array(parser->arena, count, sizeof(*ids));
    for (i = 0; i < count; i++) {
        const json_t *id = json_array_get(prompt, i);
        json_int_t number = json_integer_value(id);

        if (!json_is_integer(id) || number < 0 || number > UINT32_MAX) {
            return request_refuse(
                parser, STATUS_BAD_REQUEST,
                "prompt is not a list of token ids: send one request "
                "for each prompt");
        }
        ids[i] = (uint32_t)number;
    }
    request_hash_prefixes(parser, (const char *)ids, count * sizeof(*ids));
    return 0;
}

static int
read_messages(request_parser_t *parser)
{
    const json_t *messages = json_object_get(parser->root, "messages");
    char *text;
    size_t i;

    if (json_array_size(messages) == 0) {
        return request_refuse(parser, STATUS_BAD_REQUEST,
                              "messages is missing or empty: write a list of "
                              "messages");
    }
    for (i = 0; i < json_array_size(messages); i++) {
        const json_t *message = json_array_get(messages, i);

        if (!json_is_string(json_object_get(message, "role"))) {
            return request_refuse(parser, STATUS_BAD_REQUEST,
                                  "a message has no role: write {\"role\": "
                                  "\"user\", \"content\": \"...\"}");
        }
    }
    text = json_dumps(messages, JSON_COMPACT | JSON_SORT_KEYS);
    if (text != NULL) {
        request_hash_prefixes(parser, text, strlen(text));
    }
    free(text);
    return 0;
}

static bool
is_null(const json_t *value)
{
    return json_is_null(value);
}

static bool
is_false(const json_t *value)
{
    return json_is_null(value) || json_is_false(value);
}

static bool
is_zero(const json_t *value)
{
    return json_is_null(value) ||
           (json_is_integer(value) && json_integer_value(value) == 0);
}

static bool
is_at_most_one(const json_t *value)
{
    return json_is_null(value) ||
           (json_is_integer(value) && json_integer_value(value) == 1);
}

static bool
is_empty(const json_t *value)
{
    return json_is_null(value) ||
           (json_is_array(value) && json_array_size(value) == 0);
}

static bool
is_plain_format(const json_t *value)
{
    const char *type = json_string_value(json_object_get(value, "type"));

    return json_is_null(value) || (type != NULL && strcmp(type, "text") == 0);
}
