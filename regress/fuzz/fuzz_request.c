/* fuzz_request.c - any bytes as a caller's body, rewritten for an engine. */
#include <stdlib.h>

#include <jansson.h>

#include "backend/request.h"
#include "regress/fuzz/fuzz.h"

/* The first byte chooses the endpoint and whether it is a resumption. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static const uint32_t ids[] = {1, 2};
    backend_request_t request = {.model = "m", .max_tokens = 3};
    arena_t arena = {0};
    size_t length = 0;
    char *body;

    if (size < 1) {
        return 0;
    }
    request.endpoint = data[0] & 1 ? BACKEND_CHAT : BACKEND_COMPLETIONS;
    request.prompt_ids = ids;
    request.prompt_count = data[0] & 2 ? 2 : 0;
    request.body = (const char *)data + 1;
    request.body_bytes = size - 1;
    body = engine_request_body(&arena, &request, &length);
    if (body != NULL) {
        json_t *made = json_loadb(body, length, JSON_ALLOW_NUL, NULL);

        if (!json_is_true(json_object_get(made, "stream")) ||
            json_object_get(made, "stop") != NULL ||
            json_integer_value(json_object_get(made, "max_tokens")) !=
                request.max_tokens) {
            abort();
        }
        json_decref(made);
    }
    arena_free(&arena);
    return 0;
}
