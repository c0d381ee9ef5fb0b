/* engine_send.c - answers of the stand-in engine in the published format. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "regress/standin/engine.h"

static json_t *ids_json(const uint32_t *ids, uint32_t count);
static json_t *head_json(const generation_t *generation, bool piece);
static json_t *piece_json(const generation_t *generation, uint32_t index);
static json_t *usage_json(const generation_t *generation);
static void write_event(server_conn_t *conn, json_t *json);

static json_t *
ids_json(const uint32_t *ids, uint32_t count)
{
    json_t *array = json_array();

    for (uint32_t i = 0; i < count; i++) {
        json_array_append_new(array, json_integer(ids[i]));
    }
    return array;
}

static json_t *
head_json(const generation_t *generation, bool piece)
{
    const char *object = "text_completion";

    if (generation->chat) {
        object = piece ? "chat.completion.chunk" : "chat.completion";
    }
    return json_pack("{s:s, s:s, s:i, s:s}", "id", generation->id, "object",
                     object, "created", 1, "model", generation->model);
}

static json_t *
usage_json(const generation_t *generation)
{
    return json_pack(
        "{s:i, s:i, s:i}", "prompt_tokens", (int)generation->prompt_count,
        "completion_tokens", (int)generation->output_count, "total_tokens",
        (int)(generation->prompt_count + generation->output_count));
}

static json_t *
piece_json(const generation_t *generation, uint32_t index)
{
    json_t *json = head_json(generation, true), *choice;
    char text[GENERATE_TEXT_BYTES];
    uint32_t id = generation->output_ids[index];
    bool last = generation->state == GENERATION_DONE &&
                index + 1 == generation->output_count;

    generate_text(id, text);
    choice = json_pack("{s:i, s:o}", "index", 0, "finish_reason",
                       last ? json_string(generation->finish) : json_null());
    if (generation->chat) {
        json_object_set_new(choice, "delta",
                            json_pack("{s:s}", "content", text));
    }
    else {
        json_object_set_new(choice, "text", json_string(text));
    }
    if (generation->return_token_ids) {
        json_object_set_new(choice, "token_ids", ids_json(&id, 1));
        if (index == 0) {
            json_object_set_new(
                generation->chat ? json : choice, "prompt_token_ids",
                ids_json(generation->prompt_ids, generation->prompt_count));
        }
    }
    json_object_set_new(json, "choices", json_pack("[o]", choice));
    return json;
}

static void
write_event(server_conn_t *conn, json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);
    char *event;
    int length;

    length = asprintf(&event, "data: %s\n\n", text);
    if (length > 0) {
        server_stream_write(conn, event, (size_t)length);
        free(event);
    }
    free(text);
    json_decref(json);
}

void
send_pieces(generation_t *generation)
{
    server_conn_t *conn = generation->conn;

    if (conn == NULL || !generation->streamed) {
        return;
    }
    while (generation->sent_count < generation->output_count) {
        write_event(conn, piece_json(generation, generation->sent_count++));
    }
    if (generation->state == GENERATION_DONE) {
        server_stream_write(conn, "data: [DONE]\n\n", 14);
        server_stream_end(conn);
        generation->conn = NULL;
    }
}

void
send_whole(generation_t *generation)
{
    size_t size = (size_t)generation->output_count * GENERATE_TEXT_BYTES + 1;
    json_t *json = head_json(generation, false), *choice;
    char *text = calloc(1, size), *end = text;

    for (uint32_t i = 0; i < generation->output_count; i++) {
        generate_text(generation->output_ids[i], end);
        end += strlen(end);
    }
    choice = json_pack("{s:i, s:s}", "index", 0, "finish_reason",
                       generation->finish);
    if (generation->chat) {
        json_object_set_new(
            choice, "message",
            json_pack("{s:s, s:s}", "role", "assistant", "content", text));
    }
    else {
        json_object_set_new(choice, "text", json_string(text));
    }
    if (generation->return_token_ids) {
        json_object_set_new(
            choice, "token_ids",
            ids_json(generation->output_ids, generation->output_count));
    }
    json_object_set_new(json, "choices", json_pack("[o]", choice));
    json_object_set_new(json, "usage", usage_json(generation));
    free(text);
    server_watch(generation->conn, NULL);
    send_json(generation->conn, json);
    generation->conn = NULL;
}

void
send_json(server_conn_t *conn, json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);

    server_reply(conn, 200, "application/json", text, strlen(text));
    free(text);
    json_decref(json);
}

void
send_error(server_conn_t *conn, int status, const char *message)
{
    json_t *json = json_pack("{s:{s:s, s:i}}", "error", "message", message,
                             "code", status);
    char *text = json_dumps(json, JSON_COMPACT);

    server_reply(conn, status, "application/json", text, strlen(text));
    free(text);
    json_decref(json);
}
