/* request.c - see request.h. */
#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <jansson.h>
#include <openssl/evp.h>
#include <xxhash.h>

#include "agated/response.h"
#include "agated/request.h"

enum {
    STATUS_BAD_REQUEST = 400,
    STATUS_METHOD = 405,
    PREFIX_BYTES = 1024,
    PREFIXES_MAX = 64,
    STOPS_MAX = 16,
    STOP_BYTES_MAX = 1024,
    NAME_LENGTH_MAX = 127,
    SHA256_BYTES = 32,
    DECIMAL = 10
};

/* What every check of one request needs. */
typedef struct {
    arena_t *arena;
    refuse_order_t *refusal;
    request_parsed_t *parsed;
    const position_key_t *position_key;
    json_t *root;
} reader_t;

/* A field that the router cannot keep its promises with. */
typedef struct {
    const char *key;
    bool (*harmless)(const json_t *value);
    const char *message;
} refused_field_t;

static int refuse(reader_t *reader, uint32_t status, const char *message);
static int read_headers(reader_t *reader, const request_input_t *input);
static int read_position(reader_t *reader, const char *last_event_id,
                         bool named);
static bool is_name(const char *text, size_t length);
static int read_service(reader_t *reader, const request_input_t *input);
static int read_generation(reader_t *reader, const request_input_t *input);
static int check_refused(reader_t *reader);
static int read_model(reader_t *reader);
static int read_flags(reader_t *reader);
static int read_flag(reader_t *reader, const json_t *object, const char *key,
                     bool *flag);
static int read_max_tokens(reader_t *reader);
static int read_seed(reader_t *reader);
static int read_stop(reader_t *reader);
static int add_stop(reader_t *reader, const json_t *stop, char *stops,
                    size_t *length);
static int read_prompt(reader_t *reader);
static int read_messages(reader_t *reader);
static void hash_prefixes(reader_t *reader, const char *bytes, size_t length);
static void hash_content(reader_t *reader);
static bool is_null(const json_t *value);
static bool is_false(const json_t *value);
static bool is_zero(const json_t *value);
static bool is_at_most_one(const json_t *value);
static bool is_empty(const json_t *value);
static bool is_plain_format(const json_t *value);

static const refused_field_t refused_fields[] = {
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
     "response_format is no plain text: "
     "leave response_format out"},
};

/* Fields that do not shape the answer, and so not the fingerprint. */
static const char *const shapeless[] = {
    "stream",   "stream_options", "return_token_ids", "user", "priority",
    "metadata", "store",
};

int
request_read(const request_input_t *input, arena_t *arena,
             request_parsed_t *parsed, refuse_order_t *refusal)
{
    reader_t reader = {
        .arena = arena,
        .refusal = refusal,
        .parsed = parsed,
        .position_key = input->position_key,
    };
    char credential[CREDENTIAL_BYTES];
    int result;

    memset(parsed, 0, sizeof(*parsed));
    parsed->event.place.runner = (char *)"";
    parsed->event.place.stream_name = (char *)"";
    request_credential(input->authorization, credential);
    parsed->event.credential = arena_strdup(arena, credential);
    if (read_headers(&reader, input) < 0) {
        return -1;
    }
    if (strncmp(input->path, "/services/", strlen("/services/")) == 0) {
        return read_service(&reader, input);
    }
    result = read_generation(&reader, input);
    json_decref(reader.root);
    return result;
}

void
request_credential(const char *authorization, char *credential)
{
    static const char scheme[] = "Bearer ";
    static const char digits[] = "0123456789abcdef";
    unsigned char digest[SHA256_BYTES];
    const char *key;
    size_t i;

    credential[0] = '\0';
    if (authorization == NULL ||
        strncasecmp(authorization, scheme, strlen(scheme)) != 0) {
        return;
    }
    key = authorization + strlen(scheme);
    key += strspn(key, " ");
    if (*key == '\0' ||
        EVP_Digest(key, strlen(key), digest, NULL, EVP_sha256(), NULL) != 1) {
        return;
    }
    for (i = 0; i < sizeof(digest); i++) {
        credential[2 * i] = digits[digest[i] >> 4];
        credential[2 * i + 1] = digits[digest[i] & 0xf];
    }
    credential[2 * sizeof(digest)] = '\0';
}

static int
refuse(reader_t *reader, uint32_t status, const char *message)
{
    *reader->refusal = refusal_new(REFUSAL_INVALID, status,
                                   arena_strdup(reader->arena, message));
    return -1;
}

static int
read_headers(reader_t *reader, const request_input_t *input)
{
    request_event_t *event = &reader->parsed->event;
    const char *key = input->idempotency_key;
    const char *kind = input->request_kind == NULL ? "" : input->request_kind;

    event->keyed = key != NULL;
    event->key =
        arena_strdup(reader->arena, key != NULL ? key : input->fresh_name);
    if (key != NULL && !is_name(key, strlen(key))) {
        return refuse(reader, STATUS_BAD_REQUEST,
                      "Idempotency-Key is no name: write 1 to 96 letters, "
                      "digits, '-', '_', '.' or ':'");
    }
    if (*kind != '\0' && !is_name(kind, strlen(kind))) {
        return refuse(reader, STATUS_BAD_REQUEST,
                      "X-Request-Kind is no name: write a kind of the "
                      "service's document");
    }
    event->request_kind = arena_strdup(reader->arena, kind);
    event->model = arena_strdup(reader->arena, "");
    if (input->last_event_id == NULL) {
        return 0;
    }
    return read_position(reader, input->last_event_id, key != NULL);
}

/* Last-Event-ID is the id of an event; see position.h. */
static int
read_position(reader_t *reader, const char *last_event_id, bool named)
{
    request_event_t *event = &reader->parsed->event;
    position_t position;
    size_t length;

    if (!position_read(reader->position_key, last_event_id, reader->arena,
                       &position, &length) ||
        !is_name(last_event_id, length)) {
        return refuse(reader, STATUS_BAD_REQUEST,
                      "Last-Event-ID is not the id of an event: write the id "
                      "of the last event that came, whole");
    }
    if (named && (strlen(event->key) != length ||
                  memcmp(event->key, last_event_id, length) != 0)) {
        return refuse(reader, STATUS_BAD_REQUEST,
                      "Last-Event-ID and Idempotency-Key name two requests: "
                      "write the key of the stream that broke off");
    }
    event->key = arena_strndup(reader->arena, last_event_id, length);
    event->resumes = true;
    event->position = position.position;
    event->attempt = position.attempt;
    event->place = position.place;
    event->tail_from = position.tail_from;
    event->tail_ids.tail_ids_val = (uint32_t *)(uintptr_t)position.tail_ids;
    event->tail_ids.tail_ids_len = position.tail_count;
    return 0;
}

static bool
is_name(const char *text, size_t length)
{
    size_t i;

    for (i = 0; i < length; i++) {
        if (!isalnum((unsigned char)text[i]) &&
            strchr("-_.:", text[i]) == NULL) {
            return false;
        }
    }
    return length > 0 && length <= REQUEST_NAME_MAX;
}

/* /services/NAME/REST goes to the plain service NAME as /REST. */
static int
read_service(reader_t *reader, const request_input_t *input)
{
    request_event_t *event = &reader->parsed->event;
    const char *name = input->path + strlen("/services/");
    size_t length = strcspn(name, "/?");
    const char *rest = name + length;
    XXH64_hash_t hash;

    if (!is_name(name, length)) {
        return refuse(reader, STATUS_BAD_REQUEST,
                      "the path names no service: write "
                      "/services/NAME/PATH");
    }
    event->endpoint = ENDPOINT_SERVICE;
    event->model = arena_strndup(reader->arena, name, length);
    reader->parsed->service_path =
        *rest == '/' ? arena_strdup(reader->arena, rest)
                     : arena_printf(reader->arena, "/%s", rest);
    hash = XXH3_64bits(input->method, strlen(input->method));
    hash = XXH3_64bits_withSeed(input->path, strlen(input->path), hash);
    event->fingerprint =
        XXH3_64bits_withSeed(input->body, input->body_bytes, hash);
    return 0;
}

static int
read_generation(reader_t *reader, const request_input_t *input)
{
    request_event_t *event = &reader->parsed->event;
    json_error_t error;
    bool chat = strncmp(input->path, "/v1/chat/", strlen("/v1/chat/")) == 0;

    event->endpoint = chat ? ENDPOINT_CHAT : ENDPOINT_COMPLETIONS;
    if (strcmp(input->method, "POST") != 0) {
        return refuse(reader, STATUS_METHOD,
                      "the method is not POST: send the request with POST");
    }
    reader->root =
        json_loadb(input->body == NULL ? "" : input->body, input->body_bytes,
                   JSON_REJECT_DUPLICATES, &error);
    if (reader->root == NULL) {
        return refuse(reader, STATUS_BAD_REQUEST,
                      arena_printf(reader->arena,
                                   "the body is not JSON at line %d, column "
                                   "%d: send one JSON object",
                                   error.line, error.column));
    }
    if (!json_is_object(reader->root)) {
        return refuse(reader, STATUS_BAD_REQUEST,
                      "the body is no JSON object: send one JSON object");
    }
    if (check_refused(reader) < 0 || read_model(reader) < 0 ||
        read_flags(reader) < 0 || read_max_tokens(reader) < 0 ||
        read_seed(reader) < 0 || read_stop(reader) < 0) {
        return -1;
    }
    if ((chat ? read_messages(reader) : read_prompt(reader)) < 0) {
        return -1;
    }
    hash_content(reader);
    return 0;
}

static int
check_refused(reader_t *reader)
{
    size_t i;

    for (i = 0; i < sizeof(refused_fields) / sizeof(refused_fields[0]); i++) {
        const refused_field_t *field = &refused_fields[i];
        const json_t *value = json_object_get(reader->root, field->key);

        if (value != NULL && !field->harmless(value)) {
            return refuse(reader, STATUS_BAD_REQUEST, field->message);
        }
    }
    return 0;
}

static int
read_model(reader_t *reader)
{
    const char *model =
        json_string_value(json_object_get(reader->root, "model"));

    if (model == NULL || *model == '\0' || strlen(model) > NAME_LENGTH_MAX) {
        return refuse(reader, STATUS_BAD_REQUEST,
                      "model is missing or no name: write one of GET "
                      "/v1/models");
    }
    reader->parsed->event.model = arena_strdup(reader->arena, model);
    return 0;
}

static int
read_flags(reader_t *reader)
{
    request_parsed_t *parsed = reader->parsed;
    const json_t *options = json_object_get(reader->root, "stream_options");
    bool stream = false;
    bool usage = false;

    if (read_flag(reader, reader->root, "stream", &stream) < 0 ||
        read_flag(reader, reader->root, "return_token_ids",
                  &parsed->token_ids) < 0) {
        return -1;
    }
    if (options != NULL && !json_is_null(options)) {
        if (!json_is_object(options)) {
            return refuse(reader, STATUS_BAD_REQUEST,
                          "stream_options is no object: write "
                          "{\"include_usage\": true}");
        }
        if (read_flag(reader, options, "include_usage", &usage) < 0) {
            return -1;
        }
    }
    parsed->event.stream = stream;
    parsed->usage = usage;
    return 0;
}

static int
read_flag(reader_t *reader, const json_t *object, const char *key, bool *flag)
{
    const json_t *value = json_object_get(object, key);

    if (value == NULL || json_is_null(value)) {
        return 0;
    }
    if (!json_is_boolean(value)) {
        return refuse(reader, STATUS_BAD_REQUEST,
                      arena_printf(reader->arena,
                                   "%s is no boolean: write true or false",
                                   key));
    }
    *flag = json_is_true(value);
    return 0;
}

static int
read_max_tokens(reader_t *reader)
{
    const json_t *value =
        json_object_get(reader->root, "max_completion_tokens");
    json_int_t number;

    if (value == NULL || json_is_null(value)) {
        value = json_object_get(reader->root, "max_tokens");
    }
    if (value == NULL || json_is_null(value)) {
        return 0;
    }
    number = json_integer_value(value);
    if (!json_is_integer(value) || number < 1 || number > EVENT_TOKENS_MAX) {
        return refuse(reader, STATUS_BAD_REQUEST,
                      "max_tokens is out of range: write an integer from 1 "
                      "to 1048576");
    }
    reader->parsed->event.max_tokens = (uint32_t)number;
    return 0;
}

static int
read_seed(reader_t *reader)
{
    const json_t *value = json_object_get(reader->root, "seed");

    if (value == NULL || json_is_null(value)) {
        return 0;
    }
    if (!json_is_integer(value)) {
        return refuse(reader, STATUS_BAD_REQUEST,
                      "seed is no integer: write an integer");
    }
    reader->parsed->event.seeded = true;
    reader->parsed->event.seed = json_integer_value(value);
    return 0;
}

static int
read_stop(reader_t *reader)
{
    const json_t *value = json_object_get(reader->root, "stop");
    char *stops = arena_alloc(reader->arena, STOP_BYTES_MAX);
    size_t length = 0;
    size_t i;

    if (value == NULL || json_is_null(value)) {
        return 0;
    }
    if (json_is_string(value)) {
        if (add_stop(reader, value, stops, &length) < 0) {
            return -1;
        }
    }
    else if (!json_is_array(value) || json_array_size(value) > STOPS_MAX) {
        return refuse(reader, STATUS_BAD_REQUEST,
                      "stop is no string or list of strings: write at most "
                      "16 strings");
    }
    for (i = 0; i < json_array_size(value); i++) {
        if (add_stop(reader, json_array_get(value, i), stops, &length) < 0) {
            return -1;
        }
    }
    reader->parsed->event.stop.stop_len = (u_int)length;
    reader->parsed->event.stop.stop_val = stops;
    return 0;
}

static int
add_stop(reader_t *reader, const json_t *stop, char *stops, size_t *length)
{
    const char *text = json_string_value(stop);
    size_t bytes = text == NULL ? 0 : strlen(text) + 1;

    if (bytes <= 1 || *length + bytes > STOP_BYTES_MAX) {
        return refuse(reader, STATUS_BAD_REQUEST,
                      "stop holds an empty string, no string or too much: "
                      "write strings of 1 to 1000 bytes altogether");
    }
    memcpy(stops + *length, text, bytes);
    *length += bytes;
    return 0;
}

static int
read_prompt(reader_t *reader)
{
    const json_t *prompt = json_object_get(reader->root, "prompt");
    uint32_t *ids;
    size_t count;
    size_t i;

    if (json_is_string(prompt)) {
        hash_prefixes(reader, json_string_value(prompt),
                      json_string_length(prompt));
        return 0;
    }
    count = json_array_size(prompt);
    if (count == 0 || count > EVENT_TOKENS_MAX) {
        return refuse(reader, STATUS_BAD_REQUEST,
                      "prompt is missing or empty: write a string or a list "
                      "of token ids");
    }
    ids = arena_array(reader->arena, count, sizeof(*ids));
    for (i = 0; i < count; i++) {
        const json_t *id = json_array_get(prompt, i);
        json_int_t number = json_integer_value(id);

        if (!json_is_integer(id) || number < 0 || number > UINT32_MAX) {
            return refuse(reader, STATUS_BAD_REQUEST,
                          "prompt is no list of token ids: send one request "
                          "for each prompt");
        }
        ids[i] = (uint32_t)number;
    }
    hash_prefixes(reader, (const char *)ids, count * sizeof(*ids));
    return 0;
}

static int
read_messages(reader_t *reader)
{
    const json_t *messages = json_object_get(reader->root, "messages");
    char *text;
    size_t i;

    if (json_array_size(messages) == 0) {
        return refuse(reader, STATUS_BAD_REQUEST,
                      "messages is missing or empty: write a list of "
                      "messages");
    }
    for (i = 0; i < json_array_size(messages); i++) {
        const json_t *message = json_array_get(messages, i);

        if (!json_is_string(json_object_get(message, "role"))) {
            return refuse(reader, STATUS_BAD_REQUEST,
                          "a message has no role: write {\"role\": "
                          "\"user\", \"content\": \"...\"}");
        }
    }
    text = json_dumps(messages, JSON_COMPACT | JSON_SORT_KEYS);
    if (text != NULL) {
        hash_prefixes(reader, text, strlen(text));
    }
    free(text);
    return 0;
}

/* Hashes of the model and the first 1, 2, 3 ... KiB of the prompt. */
static void
hash_prefixes(reader_t *reader, const char *bytes, size_t length)
{
    request_event_t *event = &reader->parsed->event;
    size_t count = length / PREFIX_BYTES;
    XXH3_state_t *state;
    uint64_t *hashes;
    size_t i;

    if (count == 0) {
        return;
    }
    count = count > PREFIXES_MAX ? PREFIXES_MAX : count;
    hashes = arena_array(reader->arena, count, sizeof(*hashes));
    state = XXH3_createState();
    if (state == NULL) {
        return;
    }
    (void)XXH3_64bits_reset(state);
    (void)XXH3_64bits_update(state, event->model, strlen(event->model) + 1);
    for (i = 0; i < count; i++) {
        (void)XXH3_64bits_update(state, bytes + i * PREFIX_BYTES,
                                 PREFIX_BYTES);
        hashes[i] = XXH3_64bits_digest(state);
    }
    (void)XXH3_freeState(state);
    event->prefix_hashes.prefix_hashes_len = (u_int)count;
    event->prefix_hashes.prefix_hashes_val = hashes;
}

/* The fingerprint: all that shapes the answer, in one order of keys. */
static void
hash_content(reader_t *reader)
{
    request_event_t *event = &reader->parsed->event;
    json_t *content = json_copy(reader->root);
    char *text;
    size_t i;

    for (i = 0; i < sizeof(shapeless) / sizeof(shapeless[0]); i++) {
        (void)json_object_del(content, shapeless[i]);
    }
    text = json_dumps(content, JSON_COMPACT | JSON_SORT_KEYS);
    if (text != NULL) {
        event->fingerprint = XXH3_64bits_withSeed(text, strlen(text),
                                                  (uint64_t)event->endpoint);
    }
    free(text);
    json_decref(content);
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
