/* client.c - sends requests to the administration API with libcurl. */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "agatectl/agatectl.h"

enum { CONNECT_TIMEOUT_MS = 2000, TIMEOUT_MS = 20000 };

static CURLcode send_to_address(command_context_t *context,
                                const char *address,
                                const api_request_t *request,
                                api_response_t *response);
static struct curl_slist *make_headers(command_context_t *context,
                                       const api_request_t *request);
static size_t on_body(char *bytes, size_t size, size_t count, void *buffer);

int
client_send_request(command_context_t *context, const api_request_t *request,
                    api_response_t *response, err_t *err)
{
    const options_t *options = context->options;
    CURLcode result = CURLE_OK;
    size_t i;

    for (i = 0; i < options->address_count; i++) {
        result =
            send_to_address(context, options->addresses[i], request, response);
        if (result == CURLE_OK) {
            return 0;
        }
        (void)fprintf(stderr, "agatectl: %s: %s\n", options->addresses[i],
                      curl_easy_strerror(result));
    }
    return err_set(
        err, ERR_UNREACHED,
        "no host responded: give the address of a running host with -a "
        "IP:PORT");
}

int
client_load_key(command_context_t *context, err_t *err)
{
    const char *key = getenv("AGATECTL_KEY");
    size_t length;

    if (context->options->key_file != NULL) {
        char *text =
            read_file(context, context->options->key_file, &length, err);

        if (text == NULL) {
            return -1;
        }
        text[strcspn(text, "\r\n")] = '\0';
        key = text;
    }
    if (key == NULL || *key == '\0') {
        return err_set(err, ERR_SETTINGS,
                       "no API key: give its file with -k FILE or set "
                       "AGATECTL_KEY");
    }
    context->key = key;
    return 0;
}

char *
read_file(command_context_t *context, const char *path, size_t *length,
          err_t *err)
{
    FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "re");
    text_t text = {0};
    char bytes[BUFSIZ];
    char *copy;
    size_t read_bytes;

    if (file == NULL) {
        (void)err_set(err, ERR_SYSTEM,
                      "cannot open %s: %s: give a readable file", path,
                      strerror(errno));
        return NULL;
    }
    while ((read_bytes = fread(bytes, 1, sizeof(bytes), file)) > 0) {
        text_append(&text, bytes, read_bytes);
    }
    copy = arena_strndup(&context->arena, text.bytes, text.length);
    *length = text.length;
    text_free(&text);
    if (file != stdin) {
        (void)fclose(file);
    }
    return copy;
}

static CURLcode
send_to_address(command_context_t *context, const char *address,
                const api_request_t *request, api_response_t *response)
{
    const char *scheme = context->options->ca_file == NULL ? "http" : "https";
    const char *url = arena_printf(&context->arena, "%s://%s/admin/v1/%s",
                                   scheme, address, request->path);
    struct curl_slist *headers = make_headers(context, request);
    text_t body = {0};
    CURL *curl = curl_easy_init();
    CURLcode result;

    (void)curl_easy_setopt(curl, CURLOPT_URL, url);
    (void)curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request->method);
    (void)curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    (void)curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
                           (long)CONNECT_TIMEOUT_MS);
    (void)curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)TIMEOUT_MS);
    (void)curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
    (void)curl_easy_setopt(curl, CURLOPT_WRITEDATA, &body);
    if (context->options->ca_file != NULL) {
        (void)curl_easy_setopt(curl, CURLOPT_CAINFO,
                               context->options->ca_file);
    }
    if (request->body != NULL) {
        (void)curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                               (curl_off_t)request->body_bytes);
        (void)curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request->body);
    }
    result = curl_easy_perform(curl);
    (void)curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &response->status);
    response->body = arena_strndup(&context->arena, body.bytes, body.length);
    response->length = body.length;
    text_free(&body);
    curl_slist_free_all(headers);
    curl_easy_cleanup(curl);
    return result;
}

static struct curl_slist *
make_headers(command_context_t *context, const api_request_t *request)
{
    arena_t *arena = &context->arena;
    struct curl_slist *headers = curl_slist_append(
        NULL, arena_printf(arena, "Authorization: Bearer %s", context->key));

    headers = curl_slist_append(headers, "Content-Type: application/toml");
    headers = curl_slist_append(headers, "Expect:");
    if (request->if_match != NULL) {
        headers = curl_slist_append(
            headers, arena_printf(arena, "If-Match: %s", request->if_match));
    }
    return headers;
}

static size_t
on_body(char *bytes, size_t size, size_t count, void *buffer)
{
    text_append(buffer, bytes, size * count);
    return size * count;
}
