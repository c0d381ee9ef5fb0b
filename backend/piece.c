/* piece.c - see piece.h. */
#include <string.h>

#include <jansson.h>

#include "backend/piece.h"

static piece_kind_t read_root(arena_t *arena, const json_t *root,
                              backend_piece_t *piece);
static int read_ids(arena_t *arena, const json_t *list, const uint32_t **ids,
                    uint32_t *count);
static int read_text(arena_t *arena, const json_t *choice,
                     backend_piece_t *piece);
static backend_finish_t read_finish(const json_t *choice);

piece_kind_t
piece_read(arena_t *arena, const char *json, size_t length,
           backend_piece_t *piece)
{
    json_t *root = json_loadb(json, length, JSON_ALLOW_NUL, NULL);
    piece_kind_t kind;

    memset(piece, 0, sizeof(*piece));
    if (!json_is_object(root)) {
        json_decref(root);
        return PIECE_BROKEN;
    }
    kind = read_root(arena, root, piece);
    json_decref(root);
    return kind;
}

static piece_kind_t
read_root(arena_t *arena, const json_t *root, backend_piece_t *piece)
{
    const json_t *error = json_object_get(root, "error");
    const json_t *choices = json_object_get(root, "choices");
    const json_t *choice = json_array_get(choices, 0);
    const json_t *prompt;

    if (error != NULL && !json_is_null(error)) {
        return PIECE_ERROR;
    }
    if (!json_is_array(choices)) {
        return PIECE_BROKEN;
    }
    if (choice == NULL ||
        json_integer_value(json_object_get(choice, "index")) != 0) {
        return PIECE_EMPTY;
    }
    prompt = json_object_get(choice, "prompt_token_ids");
    if (prompt == NULL) {
        prompt = json_object_get(root, "prompt_token_ids");
    }
    if (read_ids(arena, prompt, &piece->prompt_ids, &piece->prompt_count) <
            0 ||
        read_ids(arena, json_object_get(choice, "token_ids"),
                 &piece->token_ids, &piece->token_count) < 0 ||
        read_text(arena, choice, piece) < 0) {
        return PIECE_BROKEN;
    }
    piece->finish = read_finish(choice);
    if (piece->prompt_count == 0 && piece->token_count == 0 &&
        piece->text_bytes == 0 && piece->finish == BACKEND_FINISH_NONE) {
        return PIECE_EMPTY;
    }
    return PIECE_TOKENS;
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
read_text(arena_t *arena, const json_t *choice, backend_piece_t *piece)
{
    const json_t *text = json_object_get(choice, "text");

    if (text == NULL) {
        text = json_object_get(json_object_get(choice, "delta"), "content");
    }
    piece->text = "";
    if (text == NULL || json_is_null(text)) {
        return 0;
    }
    if (!json_is_string(text)) {
        return -1;
    }
    piece->text_bytes = json_string_length(text);
    piece->text =
        arena_memdup(arena, json_string_value(text), piece->text_bytes);
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
