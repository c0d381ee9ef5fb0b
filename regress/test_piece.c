/* test_piece.c - one event of an engine, and its report of load. */
#include <stdio.h>
#include <string.h>

#include "backend/load.h"
#include "backend/piece.h"
#include "regress/fixture.h"

enum { TEXT_BYTES = 512 };

typedef struct {
    const char *json;
    piece_kind_t kind;
    const char *piece; /* "prompt ids;token ids;finish;text" */
} piece_case_t;

static const piece_case_t piece_cases[] = {
    {"{\"choices\":[{\"index\":0,\"text\":\"ab\",\"token_ids\":[5,6]}]}",
     PIECE_TOKENS, ";5 6;0;ab"},
    {"{\"choices\":[{\"index\":0,\"text\":\"a\",\"token_ids\":[5],"
     "\"prompt_token_ids\":[1,2],\"finish_reason\":null}]}",
     PIECE_TOKENS, "1 2;5;0;a"},
    {"{\"prompt_token_ids\":[1],\"choices\":[{\"index\":0,"
     "\"delta\":{\"role\":\"assistant\",\"content\":\"\"}}]}",
     PIECE_TOKENS, "1;;0;"},
    {"{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\\u00e9\"},"
     "\"token_ids\":[4294967295],\"finish_reason\":\"stop\"}]}",
     PIECE_TOKENS, ";4294967295;1;\xc3\xa9"},
    {"{\"choices\":[{\"text\":\"\",\"token_ids\":[7]}]}", PIECE_TOKENS,
     ";7;0;"},
    {"{\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}]}",
     PIECE_TOKENS, ";;2;"},
    {"{\"choices\":[{\"delta\":{},\"finish_reason\":\"tool_calls\"}]}",
     PIECE_TOKENS, ";;3;"},
    {"{\"choices\":[{\"text\":\"a\",\"token_ids\":null}],\"error\":null}",
     PIECE_TOKENS, ";;0;a"},
    {"{\"choices\":[],\"usage\":{\"prompt_tokens\":1}}", PIECE_EMPTY, NULL},
    {"{\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}", PIECE_EMPTY,
     NULL},
    {"{\"choices\":[{\"index\":1,\"text\":\"b\"}]}", PIECE_EMPTY, NULL},
    {"{\"error\":{\"message\":\"x\",\"code\":500}}", PIECE_ERROR, NULL},
    {"{\"error\":\"x\",\"choices\":[]}", PIECE_ERROR, NULL},
    {"{}", PIECE_BROKEN, NULL},
    {"[]", PIECE_BROKEN, NULL},
    {"", PIECE_BROKEN, NULL},
    {"{\"choices\":[{\"text\":1}]}", PIECE_BROKEN, NULL},
    {"{\"choices\":[{\"text\":\"a\",\"token_ids\":[-1]}]}", PIECE_BROKEN,
     NULL},
    {"{\"choices\":[{\"text\":\"a\",\"token_ids\":[4294967296]}]}",
     PIECE_BROKEN, NULL},
    {"{\"choices\":[{\"text\":\"a\",\"token_ids\":[1.5]}]}", PIECE_BROKEN,
     NULL},
    {"{\"choices\":[{\"text\":\"a\",\"token_ids\":\"5\"}]}", PIECE_BROKEN,
     NULL},
    {"{\"choices\":[{\"text\":\"\xff\"}]}", PIECE_BROKEN, NULL},
};

static void
write_ids(char *text, const uint32_t *list, uint32_t count)
{
    uint32_t i;

    for (i = 0; i < count; i++) {
        size_t used = strlen(text);

        (void)snprintf(text + used, TEXT_BYTES - used, "%s%u",
                       i > 0 ? " " : "", list[i]);
    }
    (void)strncat(text, ";", TEXT_BYTES - strlen(text) - 1);
}

START_TEST(pieces)
{
    const piece_case_t *c = &piece_cases[_i];
    char text[TEXT_BYTES] = "";
    backend_piece_t piece;
    arena_t arena = {0};
    size_t used;

    ck_assert_int_eq(piece_read(&arena, c->json, strlen(c->json), &piece),
                     c->kind);
    if (c->piece != NULL) {
        write_ids(text, piece.prompt_ids, piece.prompt_count);
        write_ids(text, piece.token_ids, piece.token_count);
        used = strlen(text);
        (void)snprintf(text + used, sizeof(text) - used, "%d;%.*s",
                       piece.finish, (int)piece.text_bytes, piece.text);
        ck_assert_str_eq(text, c->piece);
    }
    arena_free(&arena);
}
END_TEST

typedef struct {
    const char *text;
    bool known;
    uint32_t running;
    uint32_t waiting;
} load_case_t;

static const load_case_t load_cases[] = {
    {"vllm:num_requests_running 3\nvllm:num_requests_waiting 4\n", true, 3, 4},
    {"# HELP vllm:num_requests_running x\n"
     "vllm:num_requests_running{model=\"a\",e=\"0\"} 3.0\n"
     "vllm:num_requests_running{model=\"b} 9 \\\" {\"} 2.0\n"
     "vllm:num_requests_waiting{} 1e1",
     true, 5, 10},
    {"vllm:num_requests_running 3 1395066363000\n"
     "vllm:num_requests_waiting 0\n",
     true, 3, 0},
    {"vllm:num_requests_running_total 3\nvllm:num_requests_waiting 4\n", false,
     0, 4},
    {"vllm:num_requests_running NaN\nvllm:num_requests_waiting 4\n", false, 0,
     4},
    {"vllm:num_requests_running{a=\"\nvllm:num_requests_waiting\n", false, 0,
     0},
    {"", false, 0, 0},
};

START_TEST(loads)
{
    const load_case_t *c = &load_cases[_i];
    uint32_t running;
    uint32_t waiting;

    ck_assert_int_eq(load_read(c->text, strlen(c->text), &running, &waiting),
                     c->known);
    ck_assert_uint_eq(running, c->running);
    ck_assert_uint_eq(waiting, c->waiting);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("piece");

    tcase_add_loop_test(tcase, pieces, 0,
                        sizeof(piece_cases) / sizeof(piece_cases[0]));
    tcase_add_loop_test(tcase, loads, 0,
                        sizeof(load_cases) / sizeof(load_cases[0]));
    return fixture_main("piece", tcase);
}
