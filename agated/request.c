/* request.c - parses the headers and path of an HTTP request. */
#include <ctype.h>
#include <string.h>
#include <strings.h>

#include <jansson.h>
#include <openssl/evp.h>
#include <xxhash.h>

#include "agated/request.h"
#include "agated/request_body.h"
#include "agated/response.h"

enum {
    STATUS_BAD_REQUEST = 400,
    STATUS_METHOD_NOT_ALLOWED = 405,
    NAME_LENGTH_MAX = 96,
    SHA256_BYTES = 32
};

static int read_headers(request_parser_t *parser,
                        const request_input_t *input);
static int read_position(request_parser_t *parser, const char *last_event_id,
                         bool has_key);
static bool is_valid_name(const char *text, size_t length);
static int read_service_request(request_parser_t *parser,
                                const request_input_t *input);
static int read_generation_request(request_parser_t *parser,
                                   const request_input_t *input);

int
request_parse(const request_input_t *input, arena_t *arena,
              parsed_request_t *parsed, refuse_request_action_t *refusal)
{
    request_parser_t parser = {
        .arena = arena,
        .refusal = refusal,
        .parsed = parsed,
        .position_key = input->position_key,
    };
    char credential[CREDENTIAL_BYTES];
    int result;

    memset(parsed, 0, sizeof(*parsed));
    parsed->event.location.runner = (char *)"";
    parsed->event.location.stream_name = (char *)"";
    hash_bearer_key(input->authorization, credential);
    parsed->event.credential = arena_strdup(arena, credential);
    if (read_headers(&parser, input) < 0) {
        return -1;
    }
    if (strncmp(input->path, "/services/", strlen("/services/")) == 0) {
        return read_service_request(&parser, input);
    }
    result = read_generation_request(&parser, input);
    json_decref(parser.root);
    return result;
}

void
hash_bearer_key(const char *authorization, char *credential)
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

int
request_refuse(request_parser_t *parser, uint32_t status, const char *message)
{
    *parser->refusal = refusal_new(REFUSAL_INVALID, status,
                                   arena_strdup(parser->arena, message));
    return -1;
}

static int
read_headers(request_parser_t *parser, const request_input_t *input)
{
    request_event_t *event = &parser->parsed->event;
    const char *key = input->idempotency_key;
    const char *kind = input->request_kind == NULL ? "" : input->request_kind;

    event->has_key = key != NULL;
    event->key =
        arena_strdup(parser->arena, key != NULL ? key : input->generated_name);
    if (key != NULL && !is_valid_name(key, strlen(key))) {
        return request_refuse(
            parser, STATUS_BAD_REQUEST,
            "Idempotency-Key is not a valid name: write 1 to 96 letters, "
            "digits, '-', '_', '.' or ':'");
    }
    if (*kind != '\0' && !is_valid_name(kind, strlen(kind))) {
        return request_refuse(
            parser, STATUS_BAD_REQUEST,
            "X-Request-Kind is not a valid name: write a kind of the "
            "service's document");
    }
    event->request_kind = arena_strdup(parser->arena, kind);
    event->model = arena_strdup(parser->arena, "");
    if (input->last_event_id == NULL) {
        return 0;
    }
    return read_position(parser, input->last_event_id, key != NULL);
}

/* Parses Last-Event-ID; position.h describes its format. */
static int
read_position(request_parser_t *parser, const char *last_event_id,
              bool has_key)
{
    request_event_t *event = &parser->parsed->event;
    position_t position;
    size_t length;

    if (!position_decode(parser->position_key, last_event_id, parser->arena,
                         &position, &length) ||
        !is_valid_name(last_event_id, length)) {
        return request_refuse(
            parser, STATUS_BAD_REQUEST,
            "Last-Event-ID is not the id of an event: write the "
            "complete id of the last event received");
    }
    if (has_key && (strlen(event->key) != length ||
                    memcmp(event->key, last_event_id, length) != 0)) {
        return request_refuse(
            parser, STATUS_BAD_REQUEST,
            "Last-Event-ID and Idempotency-Key name two requests: "
            "write the key of the interrupted stream");
    }
    event->key = arena_strndup(parser->arena, last_event_id, length);
    event->has_event_id = true;
    event->position = position.position;
    event->attempt = position.attempt;
    event->location = position.location;
    event->hash = position.hash;
    event->tail_from = position.tail_from;
    event->tail_ids.tail_ids_val = (uint32_t *)(uintptr_t)position.tail_ids;
    event->tail_ids.tail_ids_len = position.tail_count;
    return 0;
}

static bool
is_valid_name(const char *text, size_t length)
{
    size_t i;

    for (i = 0; i < length; i++) {
        if (!isalnum((unsigned char)text[i]) &&
            strchr("-_.:", text[i]) == NULL) {
            return false;
        }
    }
    return length > 0 && length <= NAME_LENGTH_MAX;
}

/* Maps /services/NAME/REST to the path /REST of the plain service NAME. */
static int
read_service_request(request_parser_t *parser, const request_input_t *input)
{
    request_event_t *event = &parser->parsed->event;
    const char *name = input->path + strlen("/services/");
    size_t length = strcspn(name, "/?");
    const char *rest = name + length;
    XXH64_hash_t hash;

    if (!is_valid_name(name, length)) {
        return request_refuse(parser, STATUS_BAD_REQUEST,
                              "the path does not name a service: write "
                              "/services/NAME/PATH");
    }
    event->endpoint = ENDPOINT_SERVICE;
    event->model = arena_strndup(parser->arena, name, length);
    parser->parsed->service_path =
        *rest == '/' ? arena_strdup(parser->arena, rest)
                     : arena_printf(parser->arena, "/%s", rest);
    hash = XXH3_64bits(input->method, strlen(input->method));
    hash = XXH3_64bits_withSeed(input->path, strlen(input->path), hash);
    event->fingerprint =
        XXH3_64bits_withSeed(input->body, input->body_bytes, hash);
    return 0;
}

static int
read_generation_request(request_parser_t *parser, const request_input_t *input)
{
    request_event_t *event = &parser->parsed->event;
    json_error_t error;
    bool chat = strncmp(input->path, "/v1/chat/", strlen("/v1/chat/")) == 0;

    event->endpoint = chat ? ENDPOINT_CHAT : ENDPOINT_COMPLETIONS;
    if (strcmp(input->method, "POST") != 0) {
        return request_refuse(
            parser, STATUS_METHOD_NOT_ALLOWED,
            "the method is not POST: send the request with POST");
    }
    parser->root =
        json_loadb(input->body == NULL ? "" : input->body, input->body_bytes,
                   JSON_REJECT_DUPLICATES, &error);
    if (parser->root == NULL) {
        return request_refuse(
            parser, STATUS_BAD_REQUEST,
            arena_printf(parser->arena,
                         "the body is not JSON at line %d, column "
                         "%d: send one JSON object",
                         error.line, error.column));
    }
    if (!json_is_object(parser->root)) {
        return request_refuse(
            parser, STATUS_BAD_REQUEST,
            "the body is not a JSON object: send one JSON object");
    }
    if (request_parse_fields(parser) < 0) {
        return -1;
    }
    request_hash_fingerprint(parser);
    return 0;
}
