/* test_engine_request.c - request bodies built for engines. */
#include <string.h>

#include <jansson.h>

#include "backend/request.h"
#include "regress/fixture.h"

static const uint32_t ids[] = {0, 7, 4294967295};

typedef struct {
    const char *name;
    backend_request_t request; /* body_bytes is filled in */
    const char *path;
    const char *body; /* compared as JSON; NULL: no body is returned */
} case_t;

static const case_t cases[] = {
    {"completions keep their prompt",
     {.endpoint = BACKEND_COMPLETIONS,
      .model = "m-1",
      .body = "{\"model\":\"m\",\"prompt\":\"p\",\"temperature\":0.7}"},
     "/v1/completions",
     "{\"model\":\"m-1\",\"prompt\":\"p\",\"temperature\":0.7,\"stream\":true,"
     "\"return_token_ids\":true,\"priority\":0}"},
    {"chat keeps its messages",
     {.endpoint = BACKEND_CHAT,
      .model = "m-1",
      .priority = -3,
      .body = "{\"messages\":[{\"role\":\"user\",\"content\":\"\\u00e9\"}],"
              "\"stream\":false,\"max_completion_tokens\":9}"},
     "/v1/chat/completions",
     "{\"messages\":[{\"role\":\"user\",\"content\":\"\\u00e9\"}],"
     "\"max_completion_tokens\":9,\"model\":\"m-1\",\"stream\":true,"
     "\"return_token_ids\":true,\"priority\":-3}"},
    {"stop strings are removed",
     {.endpoint = BACKEND_COMPLETIONS,
      .model = "m",
      .body =
          "{\"prompt\":[1,2],\"stop\":[\"x\"],\"return_token_ids\":false}"},
     "/v1/completions",
     "{\"prompt\":[1,2],\"model\":\"m\",\"stream\":true,"
     "\"return_token_ids\":true,\"priority\":0}"},
    {"given limit, seed and priority replace the caller's",
     {.endpoint = BACKEND_CHAT,
      .model = "m",
      .max_tokens = 5,
      .has_seed = true,
      .seed = -9223372036854775807,
      .priority = 2,
      .body = "{\"messages\":[],\"max_tokens\":9,\"seed\":1,\"priority\":9,"
              "\"max_completion_tokens\":9}"},
     "/v1/chat/completions",
     "{\"messages\":[],\"max_tokens\":5,\"seed\":-9223372036854775807,"
     "\"priority\":2,\"model\":\"m\",\"stream\":true,"
     "\"return_token_ids\":true}"},
    {"limit and seed of the caller are kept by default",
     {.endpoint = BACKEND_COMPLETIONS,
      .model = "m",
      .body = "{\"prompt\":\"p\",\"max_tokens\":9,\"seed\":1}"},
     "/v1/completions",
     "{\"prompt\":\"p\",\"max_tokens\":9,\"seed\":1,\"model\":\"m\","
     "\"stream\":true,\"return_token_ids\":true,\"priority\":0}"},
    {"resumed completions send prompt ids",
     {.endpoint = BACKEND_COMPLETIONS,
      .model = "m",
      .max_tokens = 3,
      .prompt_ids = ids,
      .prompt_count = 3,
      .body = "{\"prompt\":\"p\",\"max_tokens\":9}"},
     "/v1/completions",
     "{\"prompt\":[0,7,4294967295],\"max_tokens\":3,\"model\":\"m\","
     "\"stream\":true,\"return_token_ids\":true,\"priority\":0}"},
    {"resumed chat is sent as completions",
     {.endpoint = BACKEND_CHAT,
      .model = "m",
      .prompt_ids = ids,
      .prompt_count = 1,
      .body = "{\"messages\":[],\"logprobs\":true,\"top_logprobs\":2,"
              "\"tools\":[],\"top_p\":0.5}"},
     "/v1/completions",
     "{\"prompt\":[0],\"top_p\":0.5,\"model\":\"m\",\"stream\":true,"
     "\"return_token_ids\":true,\"priority\":0}"},
    {"invalid JSON gives no body",
     {.endpoint = BACKEND_COMPLETIONS, .model = "m", .body = "{"},
     "/v1/completions",
     NULL},
    {"JSON array gives no body",
     {.endpoint = BACKEND_COMPLETIONS, .model = "m", .body = "[]"},
     "/v1/completions",
     NULL},
    {"empty input gives no body",
     {.endpoint = BACKEND_COMPLETIONS, .model = "m", .body = ""},
     "/v1/completions",
     NULL},
};

START_TEST(body_is_rewritten_for_engine)
{
    const case_t *c = &cases[_i];
    backend_request_t request = c->request;
    arena_t arena = {0};
    size_t length = 0;
    char *body;

    request.body_bytes = strlen(request.body);
    body = engine_request_body(&arena, &request, &length);
    ck_assert_str_eq(engine_request_path(&request), c->path);
    if (c->body == NULL) {
        ck_assert_ptr_null(body);
    }
    else {
        json_t *actual = json_loadb(body, length, 0, NULL);
        json_t *expected = json_loads(c->body, 0, NULL);

        ck_assert_ptr_nonnull(expected);
        ck_assert_msg(json_equal(actual, expected), "%s: %s", c->name, body);
        ck_assert_uint_eq(strlen(body), length);
        json_decref(actual);
        json_decref(expected);
    }
    arena_free(&arena);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("engine_request");

    tcase_add_loop_test(tcase, body_is_rewritten_for_engine, 0,
                        sizeof(cases) / sizeof(cases[0]));
    return fixture_main("engine_request", tcase);
}
