/* test_request.c - parses HTTP requests into events or refusals. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "agated/request.h"

/* A body and the start of the refusal message; NULL if it is accepted. */
typedef struct {
    const char *path;
    const char *body;
    const char *refusal;
} body_case_t;

#define PROMPT_BODY "{\"model\":\"m\",\"prompt\":\"%s\"}"
#define COMPLETIONS "/v1/completions"
#define CHAT "/v1/chat/completions"
#define MESSAGES "\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]"

static const body_case_t body_cases[] = {
    {COMPLETIONS, "{\"model\":\"m\",\"prompt\":\"p\"}", NULL},
    {COMPLETIONS, "{\"model\":\"m\",\"prompt\":[1,2,3]}", NULL},
    {CHAT, "{\"model\":\"m\"," MESSAGES "}", NULL},
    {CHAT,
     "{\"model\":\"m\",\"n\":1,\"tools\":[],\"logprobs\":false," MESSAGES "}",
     NULL},
    {COMPLETIONS, "",
     "the body is not JSON at line 1, column 0: send one JSON"},
    {COMPLETIONS, "{\"model\":\n  m}",
     "the body is not JSON at line 2, column 3: "},
    {COMPLETIONS, "[1]",
     "the body is not a JSON object: send one JSON object"},
    {COMPLETIONS, "{\"model\":\"m\",\"model\":\"n\"}",
     "the body is not JSON at li"},
    {COMPLETIONS, "{\"prompt\":\"p\"}",
     "model is missing or not a name: write one of"},
    {COMPLETIONS, "{\"model\":7,\"prompt\":\"p\"}",
     "model is missing or not a name: "},
    {COMPLETIONS, "{\"model\":\"m\"}",
     "prompt is missing or empty: write a string"},
    {COMPLETIONS, "{\"model\":\"m\",\"prompt\":[]}",
     "prompt is missing or empty: "},
    {COMPLETIONS, "{\"model\":\"m\",\"prompt\":[\"a\",\"b\"]}",
     "prompt is not a list of token ids: send one request for each prompt"},
    {COMPLETIONS, "{\"model\":\"m\",\"prompt\":[-1]}",
     "prompt is not a list of token"},
    {CHAT, "{\"model\":\"m\",\"prompt\":\"p\"}", "messages is missing or em"},
    {CHAT, "{\"model\":\"m\",\"messages\":[{\"content\":\"hi\"}]}",
     "a message has no role: write {\"role\": \"user\""},
    {COMPLETIONS, "{\"model\":\"m\",\"prompt\":\"p\",\"n\":2}",
     "n is above 1: leave n out and send one request for each answer"},
    {COMPLETIONS, "{\"model\":\"m\",\"prompt\":\"p\",\"best_of\":3}",
     "best_of is above 1: leave best_of out"},
    {COMPLETIONS, "{\"model\":\"m\",\"prompt\":\"p\",\"echo\":true}",
     "echo is asked for: leave echo out"},
    {COMPLETIONS, "{\"model\":\"m\",\"prompt\":\"p\",\"logprobs\":0}",
     "logprobs are asked for: leave logprobs out"},
    {CHAT, "{\"model\":\"m\",\"tools\":[{}]," MESSAGES "}",
     "tools are given: leave tools out"},
    {CHAT,
     "{\"model\":\"m\",\"response_format\":{\"type\":\"json_object\"}"
     "," MESSAGES "}",
     "response_format is not plain text: leave response_format out"},
    {COMPLETIONS, "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":1}",
     "stream is not a boolean: write true or false"},
    {COMPLETIONS, "{\"model\":\"m\",\"prompt\":\"p\",\"stream_options\":1}",
     "stream_options is not an object: write {\"include_usage\": true}"},
    {COMPLETIONS, "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":0}",
     "max_tokens is out of range: write an integer from 1 to 1048576"},
    {COMPLETIONS, "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":1.5}",
     "max_tokens is out of range: write an integer from 1 to 1048576"},
    {COMPLETIONS, "{\"model\":\"m\",\"prompt\":\"p\",\"seed\":\"x\"}",
     "seed is not an integer: write an integer"},
    {COMPLETIONS, "{\"model\":\"m\",\"prompt\":\"p\",\"stop\":[\"\"]}",
     "stop has an empty string, a non-string or too much text: write strings"},
    {COMPLETIONS, "{\"model\":\"m\",\"prompt\":\"p\",\"stop\":7}",
     "stop is not a string or a list of strings: write at most 16 strings"},
};

/* Headers and the expected result. */
typedef struct {
    const char *idempotency_key;
    const char *last_event_id;
    const char *refusal; /* start of the message; NULL if accepted */
    const char *key;
    uint32_t position;
    bool has_key;
    bool has_event_id;
} header_case_t;

static const header_case_t header_cases[] = {
    {NULL, NULL, NULL, "fresh", 0, false, false},
    {"k-1", NULL, NULL, "k-1", 0, true, false},
    {"k-1", "k-1.7", NULL, "k-1", 7, true, true},
    {NULL, "r.a.12", NULL, "r.a", 12, false, true},
    {NULL, "r.4294967295", NULL, "r", UINT32_MAX, false, true},
    {NULL, "r.4294967296", "Last-Event-ID is not the id of an event: write",
     NULL, 0, false, false},
    {NULL, "r.1x", "Last-Event-ID is not the id of an event", NULL, 0, false,
     false},
    {NULL, "r.", "Last-Event-ID is not the id of an event", NULL, 0, false,
     false},
    {NULL, ".1", "Last-Event-ID is not the id of an event", NULL, 0, false,
     false},
    {"k", "j.1", "Last-Event-ID and Idempotency-Key name two requests", NULL,
     0, false, false},
    {"a b", NULL, "Idempotency-Key is not a valid name: write 1 to 96 letters",
     NULL, 0, false, false},
    {"", NULL, "Idempotency-Key is not a valid name", NULL, 0, false, false},
    {"a/b", NULL, "Idempotency-Key is not a valid name", NULL, 0, false,
     false},
};

static int parse_request(arena_t *arena, const char *path, const char *body,
                         parsed_request_t *parsed,
                         refuse_request_action_t *refusal);

START_TEST(body_is_parsed_or_refused)
{
    const body_case_t *row = &body_cases[_i];
    arena_t arena = {0};
    parsed_request_t parsed;
    refuse_request_action_t refusal = {0};
    int result =
        parse_request(&arena, row->path, row->body, &parsed, &refusal);

    ck_assert_int_eq(result, row->refusal == NULL ? 0 : -1);
    if (row->refusal != NULL) {
        ck_assert_int_eq(refusal.refusal, REFUSAL_INVALID);
        ck_assert_int_eq(refusal.run, RUN_NOT_RUN);
        ck_assert_uint_eq(refusal.status, 400);
        ck_assert_ptr_eq(strstr(refusal.message, row->refusal),
                         refusal.message);
    }
    arena_free(&arena);
}
END_TEST

START_TEST(headers_are_parsed_or_refused)
{
    const header_case_t *row = &header_cases[_i];
    request_input_t input = {.method = "POST",
                             .path = COMPLETIONS,
                             .body = body_cases[0].body,
                             .body_bytes = strlen(body_cases[0].body),
                             .generated_name = "fresh",
                             .idempotency_key = row->idempotency_key,
                             .last_event_id = row->last_event_id};
    arena_t arena = {0};
    parsed_request_t parsed;
    refuse_request_action_t refusal = {0};
    int result = request_parse(&input, &arena, &parsed, &refusal);

    ck_assert_int_eq(result, row->refusal == NULL ? 0 : -1);
    if (row->refusal != NULL) {
        ck_assert_ptr_eq(strstr(refusal.message, row->refusal),
                         refusal.message);
    }
    else {
        ck_assert_str_eq(parsed.event.key, row->key);
        ck_assert_uint_eq(parsed.event.position, row->position);
        ck_assert_int_eq(parsed.event.has_key, row->has_key);
        ck_assert_int_eq(parsed.event.has_event_id, row->has_event_id);
    }
    arena_free(&arena);
}
END_TEST

START_TEST(fields_are_copied_to_event)
{
    arena_t arena = {0};
    parsed_request_t parsed;
    refuse_request_action_t refusal;
    const request_event_t *event = &parsed.event;

    ck_assert_int_eq(
        parse_request(
            &arena, CHAT,
            "{\"model\":\"m\",\"max_completion_tokens\":9,\"seed\":-4,"
            "\"stream\":true,\"stream_options\":{\"include_usage\":true},"
            "\"return_token_ids\":true,\"stop\":[\"a\",\"bc\"]," MESSAGES "}",
            &parsed, &refusal),
        0);
    ck_assert_int_eq(event->endpoint, ENDPOINT_CHAT);
    ck_assert_str_eq(event->model, "m");
    ck_assert_uint_eq(event->max_tokens, 9);
    ck_assert(event->has_seed && event->seed == -4);
    ck_assert(event->stream && parsed.include_usage && parsed.token_ids);
    ck_assert_uint_eq(event->stop.stop_len, sizeof("a\0bc"));
    ck_assert_mem_eq(event->stop.stop_val, "a\0bc", sizeof("a\0bc"));
    ck_assert_str_eq(event->request_kind, "");
    arena_free(&arena);
}
END_TEST

START_TEST(bearer_key_is_hashed)
{
    char credential[CREDENTIAL_BYTES];

    hash_bearer_key("Bearer abc", credential);
    ck_assert_str_eq(credential,
                     "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61"
                     "f20015ad");
    hash_bearer_key("bearer  abc", credential);
    ck_assert_uint_eq(strlen(credential), CREDENTIAL_BYTES - 1);
    hash_bearer_key("Basic abc", credential);
    ck_assert_str_eq(credential, "");
    hash_bearer_key("Bearer ", credential);
    ck_assert_str_eq(credential, "");
    hash_bearer_key(NULL, credential);
    ck_assert_str_eq(credential, "");
}
END_TEST

/* Two bodies and whether their fingerprints are equal. */
static const struct {
    const char *a;
    const char *b;
    bool same;
} fingerprint_cases[] = {
    {"{\"model\":\"m\",\"prompt\":\"p\"}",
     "{\"prompt\":\"p\",\"model\":\"m\"}", true},
    {"{\"model\":\"m\",\"prompt\":\"p\",\"stream\":true,\"user\":\"u\"}",
     "{\"model\":\"m\",\"prompt\":\"p\"}", true},
    {"{\"model\":\"m\",\"prompt\":\"p\"}",
     "{\"model\":\"m\",\"prompt\":\"q\"}", false},
    {"{\"model\":\"m\",\"prompt\":\"p\"}",
     "{\"model\":\"n\",\"prompt\":\"p\"}", false},
    {"{\"model\":\"m\",\"prompt\":\"p\"}",
     "{\"model\":\"m\",\"prompt\":\"p\",\"temperature\":0.5}", false},
};

START_TEST(fingerprint_ignores_key_order_and_delivery_fields)
{
    arena_t arena = {0};
    parsed_request_t a;
    parsed_request_t b;
    refuse_request_action_t refusal;

    ck_assert_int_eq(parse_request(&arena, COMPLETIONS,
                                   fingerprint_cases[_i].a, &a, &refusal),
                     0);
    ck_assert_int_eq(parse_request(&arena, COMPLETIONS,
                                   fingerprint_cases[_i].b, &b, &refusal),
                     0);
    ck_assert_int_eq(a.event.fingerprint == b.event.fingerprint,
                     fingerprint_cases[_i].same);
    arena_free(&arena);
}
END_TEST

/* Prompts with a common prefix have equal hashes for that prefix. */
START_TEST(common_prefix_has_equal_hashes)
{
    enum { PROMPT_BYTES = 3000, CHANGED_AT = 1500 };
    char prompt[PROMPT_BYTES + 1];
    arena_t arena = {0};
    parsed_request_t a;
    parsed_request_t b;
    refuse_request_action_t refusal;

    memset(prompt, 'x', PROMPT_BYTES);
    prompt[PROMPT_BYTES] = '\0';
    ck_assert_int_eq(parse_request(&arena, COMPLETIONS,
                                   arena_printf(&arena, PROMPT_BODY, prompt),
                                   &a, &refusal),
                     0);
    prompt[CHANGED_AT] = 'y';
    ck_assert_int_eq(parse_request(&arena, COMPLETIONS,
                                   arena_printf(&arena, PROMPT_BODY, prompt),
                                   &b, &refusal),
                     0);
    ck_assert_uint_eq(a.event.prefix_hashes.prefix_hashes_len, 2);
    ck_assert_uint_eq(a.event.prefix_hashes.prefix_hashes_val[0],
                      b.event.prefix_hashes.prefix_hashes_val[0]);
    ck_assert_uint_ne(a.event.prefix_hashes.prefix_hashes_val[1],
                      b.event.prefix_hashes.prefix_hashes_val[1]);
    arena_free(&arena);
}
END_TEST

/* A path, and the service and path that it names; NULL if it is refused. */
static const struct {
    const char *path;
    const char *name;
    const char *rest;
} service_cases[] = {
    {"/services/bay-slots/book?x=1", "bay-slots", "/book?x=1"},
    {"/services/bay-slots", "bay-slots", "/"},
    {"/services/bay-slots?x=1", "bay-slots", "/?x=1"},
    {"/services//book", NULL, NULL},
    {"/services/a%20b/c", NULL, NULL},
};

START_TEST(service_path_is_split_or_refused)
{
    arena_t arena = {0};
    parsed_request_t parsed;
    refuse_request_action_t refusal;
    int result = parse_request(&arena, service_cases[_i].path, "any bytes",
                               &parsed, &refusal);

    ck_assert_int_eq(result, service_cases[_i].name == NULL ? -1 : 0);
    if (result == 0) {
        ck_assert_int_eq(parsed.event.endpoint, ENDPOINT_SERVICE);
        ck_assert_str_eq(parsed.event.model, service_cases[_i].name);
        ck_assert_str_eq(parsed.service_path, service_cases[_i].rest);
    }
    arena_free(&arena);
}
END_TEST

static int
parse_request(arena_t *arena, const char *path, const char *body,
              parsed_request_t *parsed, refuse_request_action_t *refusal)
{
    request_input_t input = {.method = "POST",
                             .path = path,
                             .body = body,
                             .body_bytes = strlen(body),
                             .generated_name = "fresh"};

    return request_parse(&input, arena, parsed, refusal);
}

#define CASES(table) ((int)(sizeof(table) / sizeof((table)[0])))

int
main(void)
{
    Suite *suite = suite_create("request");
    TCase *tcase = tcase_create("request");
    SRunner *runner;
    int failed;

    tcase_add_loop_test(tcase, body_is_parsed_or_refused, 0,
                        CASES(body_cases));
    tcase_add_loop_test(tcase, headers_are_parsed_or_refused, 0,
                        CASES(header_cases));
    tcase_add_test(tcase, fields_are_copied_to_event);
    tcase_add_test(tcase, bearer_key_is_hashed);
    tcase_add_loop_test(tcase,
                        fingerprint_ignores_key_order_and_delivery_fields, 0,
                        CASES(fingerprint_cases));
    tcase_add_test(tcase, common_prefix_has_equal_hashes);
    tcase_add_loop_test(tcase, service_path_is_split_or_refused, 0,
                        CASES(service_cases));
    suite_add_tcase(suite, tcase);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
