/* load_store.c - single calls: to the platform's service, or to any. */
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <openssl/evp.h>

#include "regress/standin/load.h"

enum {
    URL_BYTES = 256,
    HEADER_BYTES = 256,
    TIMEOUT_MS = 5000,
    FILE_BYTES_MAX = 1 << 20,
};

typedef struct {
    http_sink_t sink;
    bool print;
    bool good;
} call_t;

static char *encode(const char *bytes, size_t length);
static void on_head(http_sink_t *sink, uint32_t status,
                    const char *content_type, uint32_t retry_after_ms);
static void on_body(http_sink_t *sink, const char *bytes, size_t length);
static void on_done(http_sink_t *sink, http_result_t result);
static bool call(const char *method, const char *url, const char *key,
                 const char *body, bool print);

static char *
encode(const char *bytes, size_t length)
{
    char *text = malloc(length * 2 + 8);

    EVP_EncodeBlock((unsigned char *)text, (const unsigned char *)bytes,
                    (int)length);
    return text;
}

static void
on_head(http_sink_t *sink, uint32_t status, const char *content_type,
        uint32_t retry_after_ms)
{
    ((call_t *)sink)->good = status == 200;
}

static void
on_body(http_sink_t *sink, const char *bytes, size_t length)
{
    if (((call_t *)sink)->print) {
        fwrite(bytes, 1, length, stdout);
    }
}

static void
on_done(http_sink_t *sink, http_result_t result)
{
    ((call_t *)sink)->good &= result == HTTP_DONE;
}

static bool
call(const char *method, const char *url, const char *key, const char *body,
     bool print)
{
    static const http_sink_ops_t ops = {
        .head = on_head, .body = on_body, .done = on_done};
    char header[HEADER_BYTES];
    const char *headers[] = {header, NULL};
    call_t state = {.sink.ops = &ops, .print = print};
    uv_loop_t *loop = uv_default_loop();
    http_client_t *client = http_client_new(loop);
    http_request_t request = {.method = method,
                              .url = url,
                              .headers = headers,
                              .body = body,
                              .body_bytes = body != NULL ? strlen(body) : 0,
                              .connect_timeout_ms = TIMEOUT_MS,
                              .timeout_ms = TIMEOUT_MS};

    snprintf(header, sizeof(header), "Authorization: Bearer %s", key);
    http_start(client, &request, &state.sink);
    uv_run(loop, UV_RUN_DEFAULT);
    http_client_free(client);
    uv_run(loop, UV_RUN_NOWAIT);
    return state.good;
}

int
call_print(const char *method, const char *url, const char *key,
           const char *body)
{
    return call(method, url, key, body, true) ? 0 : 1;
}

int
store_put(const char *address, const char *key, const char *path)
{
    char *bytes = malloc(FILE_BYTES_MAX), url[URL_BYTES], *body;
    char *key64 = encode(key, strlen(key)), *value64;
    FILE *file = fopen(path, "r");
    json_t *json;
    bool good;

    if (file == NULL) {
        err(1, "%s", path);
    }
    value64 = encode(bytes, fread(bytes, 1, FILE_BYTES_MAX, file));
    fclose(file);
    json = json_pack("{s:s, s:s}", "key", key64, "value", value64);
    body = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    snprintf(url, sizeof(url), "http://%s/v3/kv/put", address);
    good = call("POST", url, "", body, false);
    free(bytes);
    free(key64);
    free(value64);
    free(body);
    if (!good) {
        warnx("%s was not put: look whether the store at %s runs", key,
              address);
    }
    return good ? 0 : 1;
}
