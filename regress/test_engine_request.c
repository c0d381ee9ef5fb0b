/* test_engine_request.c - a caller's body as an engine is sent it. */
#include <string.h>

#include <jansson.h>

#include "backend/request.h"
#include "regress/fixture.h"

static const uint32_t ids[] = {0, 7, 4294967295};

typedef struct {
    const char *name;
    backend_request_t request; /* body_bytes is filled in */
    const char *path;
    const char *body; /* compared as JSON; NULL: none is made */
} case_t;

static const case_t cases[] = {
    {"completions",
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
    {"stop strings are the router's",
     {.endpoint = BACKEND_COMPLETIONS,
      .model = "m",
      .body =
          "{\"prompt\":[1,2],\"stop\":[\"x\"],\"return_token_ids\":false}"},
     "/v1/completions",
     "{\"prompt\":[1,2],\"model\":\"m\",\"stream\":true,"
     "\"return_token_ids\":true,\"priority\":0}"},
    {"limit, seed and priority take the place of the caller's",
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
    {"the caller's own limit and seed stay",
     {.endpoint = BACKEND_COMPLETIONS,
      .model = "m",
      .body = "{\"prompt\":\"p\",\"max_tokens\":9,\"seed\":1}"},
     "/v1/completions",
     "{\"prompt\":\"p\",\"max_tokens\":9,\"seed\":1,\"model\":\"m\","
     "\"stream\":true,\"return_token_ids\":true,\"priority\":0}"},
    {"completions resumed",
     {.endpoint = BACKEND_COMPLETIONS,
      .model = "m",
      .max_tokens = 3,
      .prompt_ids = ids,
      .prompt_count = 3,
      .body = "{\"prompt\":\"p\",\"max_tokens\":9}"},
     "/v1/completions",
     "{\"prompt\":[0,7,4294967295],\"max_tokens\":3,\"model\":\"m\","
     "\"stream\":true,\"return_token_ids\":true,\"priority\":0}"},
    {"chat resumed becomes completions",
     {.endpoint = BACKEND_CHAT,
      .model = "m",
      .prompt_ids = ids,
      .prompt_count = 1,
      .body = "{\"messages\":[],\"logprobs\":true,\"top_logprobs\":2,"
              "\"tools\":[],\"top_p\":0.5}"},
     "/v1/completions",
     "{\"prompt\":[0],\"top_p\":0.5,\"model\":\"m\",\"stream\":true,"
     "\"return_token_ids\":true,\"priority\":0}"},
    {"no JSON",
     {.endpoint = BACKEND_COMPLETIONS, .model = "m", .body = "{"},
     "/v1/completions",
     NULL},
    {"no object",
     {.endpoint = BACKEND_COMPLETIONS, .model = "m", .body = "[]"},
     "/v1/completions",
     NULL},
    {"empty",
     {.endpoint = BACKEND_COMPLETIONS, .model = "m", .body = ""},
     "/v1/completions",
     NULL},
};

START_TEST(bodies)
{
    const case_t *c = &cases[_i];
    backend_request_t request = c->request;
    arena_t arena = {0};
    size_t length = 0;
    char *body;

    request.body_bytes = strlen(request.body);
    body = request_body(&arena, &request, &length);
    ck_assert_str_eq(request_path(&request), c->path);
    if (c->body == NULL) {
        ck_assert_ptr_null(body);
    }
    else {
        json_t *made = json_loadb(body, length, 0, NULL);
        json_t *meant = json_loads(c->body, 0, NULL);

        ck_assert_ptr_nonnull(meant);
        ck_assert_msg(json_equal(made, meant), "%s: %s", c->name, body);
        ck_assert_uint_eq(strlen(body), length);
        json_decref(made);
        json_decref(meant);
    }
    arena_free(&arena);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("engine_request");

    tcase_add_loop_test(tcase, bodies, 0, sizeof(cases) / sizeof(cases[0]));
    return fixture_main("engine_request", tcase);
}
