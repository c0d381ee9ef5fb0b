/* test_chunk.c - parsing of engine events and of load metrics. */
#include <stdio.h>
#include <string.h>

#include "backend/load.h"
#include "backend/chunk.h"
#include "regress/fixture.h"

enum { TEXT_BYTES = 512 };

typedef struct {
    const char *json;
    chunk_kind_t kind;
    const char *chunk; /* "prompt ids;token ids;finish;text" */
} chunk_case_t;

static const chunk_case_t chunk_cases[] = {
    {"{\"choices\":[{\"index\":0,\"text\":\"ab\",\"token_ids\":[5,6]}]}",
     CHUNK_TOKENS, ";5 6;0;ab"},
    {"{\"choices\":[{\"index\":0,\"text\":\"a\",\"token_ids\":[5],"
     "\"prompt_token_ids\":[1,2],\"finish_reason\":null}]}",
     CHUNK_TOKENS, "1 2;5;0;a"},
    {"{\"prompt_token_ids\":[1],\"choices\":[{\"index\":0,"
     "\"delta\":{\"role\":\"assistant\",\"content\":\"\"}}]}",
     CHUNK_TOKENS, "1;;0;"},
    {"{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\\u00e9\"},"
     "\"token_ids\":[4294967295],\"finish_reason\":\"stop\"}]}",
     CHUNK_TOKENS, ";4294967295;1;\xc3\xa9"},
    {"{\"choices\":[{\"text\":\"\",\"token_ids\":[7]}]}", CHUNK_TOKENS,
     ";7;0;"},
    {"{\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}]}",
     CHUNK_TOKENS, ";;2;"},
    {"{\"choices\":[{\"delta\":{},\"finish_reason\":\"tool_calls\"}]}",
     CHUNK_TOKENS, ";;3;"},
    {"{\"choices\":[{\"text\":\"a\",\"token_ids\":null}],\"error\":null}",
     CHUNK_TOKENS, ";;0;a"},
    {"{\"choices\":[],\"usage\":{\"prompt_tokens\":1}}", CHUNK_EMPTY, NULL},
    {"{\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}", CHUNK_EMPTY,
     NULL},
    {"{\"choices\":[{\"index\":1,\"text\":\"b\"}]}", CHUNK_EMPTY, NULL},
    {"{\"error\":{\"message\":\"x\",\"code\":500}}", CHUNK_ERROR, NULL},
    {"{\"error\":\"x\",\"choices\":[]}", CHUNK_ERROR, NULL},
    {"{}", CHUNK_MALFORMED, NULL},
    {"[]", CHUNK_MALFORMED, NULL},
    {"", CHUNK_MALFORMED, NULL},
    {"{\"choices\":[{\"text\":1}]}", CHUNK_MALFORMED, NULL},
    {"{\"choices\":[{\"text\":\"a\",\"token_ids\":[-1]}]}", CHUNK_MALFORMED,
     NULL},
    {"{\"choices\":[{\"text\":\"a\",\"token_ids\":[4294967296]}]}",
     CHUNK_MALFORMED, NULL},
    {"{\"choices\":[{\"text\":\"a\",\"token_ids\":[1.5]}]}", CHUNK_MALFORMED,
     NULL},
    {"{\"choices\":[{\"text\":\"a\",\"token_ids\":\"5\"}]}", CHUNK_MALFORMED,
     NULL},
    {"{\"choices\":[{\"text\":\"\xff\"}]}", CHUNK_MALFORMED, NULL},
};

static void
append_ids(char *text, const uint32_t *list, uint32_t count)
{
    uint32_t i;

    for (i = 0; i < count; i++) {
        size_t used = strlen(text);

        (void)snprintf(text + used, TEXT_BYTES - used, "%s%u",
                       i > 0 ? " " : "", list[i]);
    }
    (void)strncat(text, ";", TEXT_BYTES - strlen(text) - 1);
}

START_TEST(chunk_parse_returns_kind_and_content)
{
    const chunk_case_t *c = &chunk_cases[_i];
    char text[TEXT_BYTES] = "";
    backend_chunk_t chunk;
    arena_t arena = {0};
    size_t used;

    ck_assert_int_eq(chunk_parse(&arena, c->json, strlen(c->json), &chunk),
                     c->kind);
    if (c->chunk != NULL) {
        append_ids(text, chunk.prompt_ids, chunk.prompt_count);
        append_ids(text, chunk.token_ids, chunk.token_count);
        used = strlen(text);
        (void)snprintf(text + used, sizeof(text) - used, "%d;%.*s",
                       chunk.finish, (int)chunk.text_bytes, chunk.text);
        ck_assert_str_eq(text, c->chunk);
    }
    arena_free(&arena);
}
END_TEST

typedef struct {
    const char *text;
    bool valid;
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

START_TEST(load_parse_sums_all_label_sets)
{
    const load_case_t *c = &load_cases[_i];
    uint32_t running;
    uint32_t waiting;

    ck_assert_int_eq(load_parse(c->text, strlen(c->text), &running, &waiting),
                     c->valid);
    ck_assert_uint_eq(running, c->running);
    ck_assert_uint_eq(waiting, c->waiting);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("piece");

    tcase_add_loop_test(tcase, chunk_parse_returns_kind_and_content, 0,
                        sizeof(chunk_cases) / sizeof(chunk_cases[0]));
    tcase_add_loop_test(tcase, load_parse_sums_all_label_sets, 0,
                        sizeof(load_cases) / sizeof(load_cases[0]));
    return fixture_main("piece", tcase);
}
