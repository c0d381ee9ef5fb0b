/* chunk.c - parses the JSON of one event of an engine's stream. */
#include <string.h>

#include <jansson.h>

#include "backend/chunk.h"

static chunk_kind_t read_root(arena_t *arena, const json_t *root,
                              backend_chunk_t *chunk);
static int read_ids(arena_t *arena, const json_t *list, const uint32_t **ids,
                    uint32_t *count);
static int read_text(arena_t *arena, const json_t *choice,
                     backend_chunk_t *chunk);
static backend_finish_t read_finish(const json_t *choice);

chunk_kind_t
chunk_parse(arena_t *arena, const char *json, size_t length,
            backend_chunk_t *chunk)
{
    json_t *root = json_loadb(json, length, JSON_ALLOW_NUL, NULL);
    chunk_kind_t kind;

    memset(chunk, 0, sizeof(*chunk));
    if (!json_is_object(root)) {
        json_decref(root);
        return CHUNK_MALFORMED;
    }
    kind = read_root(arena, root, chunk);
    json_decref(root);
    return kind;
}

static chunk_kind_t
read_root(arena_t *arena, const json_t *root, backend_chunk_t *chunk)
{
    const json_t *error = json_object_get(root, "error");
    const json_t *choices = json_object_get(root, "choices");
    const json_t *choice = json_array_get(choices, 0);
    const json_t *prompt;

    if (error != NULL && !json_is_null(error)) {
        return CHUNK_ERROR;
    }
    if (!json_is_array(choices)) {
        return CHUNK_MALFORMED;
    }
    if (choice == NULL ||
        json_integer_value(json_object_get(choice, "index")) != 0) {
        return CHUNK_EMPTY;
    }
    prompt = json_object_get(choice, "prompt_token_ids");
    if (prompt == NULL) {
        prompt = json_object_get(root, "prompt_token_ids");
    }
    if (read_ids(arena, prompt, &chunk->prompt_ids, &chunk->prompt_count) <
            0 ||
        read_ids(arena, json_object_get(choice, "token_ids"),
                 &chunk->token_ids, &chunk->token_count) < 0 ||
        read_text(arena, choice, chunk) < 0) {
        return CHUNK_MALFORMED;
    }
    chunk->finish = read_finish(choice);
    if (chunk->prompt_count == 0 && chunk->token_count == 0 &&
        chunk->text_bytes == 0 && chunk->finish == BACKEND_FINISH_NONE) {
        return CHUNK_EMPTY;
    }
    return CHUNK_TOKENS;
}

static int
read_ids(arena_t *arena, const json_t *list, const uint32_t **ids,
         uint32_t *count)
{
    size_t length = json_array_size(list);
    uint32_t *copy;
    size_t i;

    if (list == NULL || json_is_null(list)) {
        return 0;
    }
    if (!json_is_array(list) || length > UINT32_MAX) {
        return -1;
    }
    copy = arena_array(arena, length, sizeof(*copy));
    for (i = 0; i < length; i++) {
        const json_t *id = json_array_get(list, i);
        json_int_t value = json_integer_value(id);

        if (!json_is_integer(id) || value < 0 || value > UINT32_MAX) {
            return -1;
        }
        copy[i] = (uint32_t)value;
    }
    *ids = copy;
    *count = (uint32_t)length;
    return 0;
}

static int
read_text(arena_t *arena, const json_t *choice, backend_chunk_t *chunk)
{
    const json_t *text = json_object_get(choice, "text");

    if (text == NULL) {
        text = json_object_get(json_object_get(choice, "delta"), "content");
    }
    chunk->text = "";
    if (text == NULL || json_is_null(text)) {
        return 0;
    }
    if (!json_is_string(text)) {
        return -1;
    }
    chunk->text_bytes = json_string_length(text);
    chunk->text =
        arena_memdup(arena, json_string_value(text), chunk->text_bytes);
    return 0;
}

static backend_finish_t
read_finish(const json_t *choice)
{
    const char *reason =
        json_string_value(json_object_get(choice, "finish_reason"));

    if (reason == NULL) {
        return BACKEND_FINISH_NONE;
    }
    if (strcmp(reason, "stop") == 0) {
        return BACKEND_FINISH_STOP;
    }
    if (strcmp(reason, "length") == 0) {
        return BACKEND_FINISH_LENGTH;
    }
    return BACKEND_FINISH_OTHER;
}
