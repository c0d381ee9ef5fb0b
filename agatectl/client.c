/* client.c - calls of the administration API, by libcurl. */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "agatectl/agatectl.h"

enum { CONNECT_TIMEOUT_MS = 2000, TIMEOUT_MS = 20000 };

static CURLcode call_one(session_t *session, const char *address,
                         const call_t *call, reply_t *reply);
static struct curl_slist *make_headers(session_t *session, const call_t *call);
static size_t on_body(char *bytes, size_t size, size_t count, void *context);

int
client_call(session_t *session, const call_t *call, reply_t *reply, err_t *err)
{
    const options_t *options = session->options;
    CURLcode result = CURLE_OK;
    size_t i;

    for (i = 0; i < options->address_count; i++) {
        result = call_one(session, options->addresses[i], call, reply);
        if (result == CURLE_OK) {
            return 0;
        }
        (void)fprintf(stderr, "agatectl: %s: %s\n", options->addresses[i],
                      curl_easy_strerror(result));
    }
    return err_set(err, ERR_UNREACHED,
                   "no address answered: name a host that runs with -a "
                   "IP:PORT");
}

int
client_key(session_t *session, err_t *err)
{
    const char *key = getenv("AGATECTL_KEY");
    size_t length;

    if (session->options->key_file != NULL) {
        char *text =
            read_file(session, session->options->key_file, &length, err);

        if (text == NULL) {
            return -1;
        }
        text[strcspn(text, "\r\n")] = '\0';
        key = text;
    }
    if (key == NULL || *key == '\0') {
        return err_set(err, ERR_SETTINGS,
                       "no key: name its file with -k FILE or set "
                       "AGATECTL_KEY");
    }
    session->key = key;
    return 0;
}

char *
read_file(session_t *session, const char *path, size_t *length, err_t *err)
{
    FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "re");
    text_t text = {0};
    char bytes[BUFSIZ];
    char *copy;
    size_t got;

    if (file == NULL) {
        (void)err_set(err, ERR_SYSTEM, "%s: %s: name a readable file", path,
                      strerror(errno));
        return NULL;
    }
    while ((got = fread(bytes, 1, sizeof(bytes), file)) > 0) {
        text_append(&text, bytes, got);
    }
    copy = arena_strndup(&session->arena, text.bytes, text.length);
    *length = text.length;
    text_free(&text);
    if (file != stdin) {
        (void)fclose(file);
    }
    return copy;
}

static CURLcode
call_one(session_t *session, const char *address, const call_t *call,
         reply_t *reply)
{
    const char *scheme = session->options->ca_file == NULL ? "http" : "https";
    const char *url = arena_printf(&session->arena, "%s://%s/admin/v1/%s",
                                   scheme, address, call->path);
    struct curl_slist *headers = make_headers(session, call);
    text_t body = {0};
    CURL *curl = curl_easy_init();
    CURLcode result;

    (void)curl_easy_setopt(curl, CURLOPT_URL, url);
    (void)curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call->method);
    (void)curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    (void)curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
                           (long)CONNECT_TIMEOUT_MS);
    (void)curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)TIMEOUT_MS);
    (void)curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
    (void)curl_easy_setopt(curl, CURLOPT_WRITEDATA, &body);
    if (session->options->ca_file != NULL) {
        (void)curl_easy_setopt(curl, CURLOPT_CAINFO,
                               session->options->ca_file);
    }
    if (call->body != NULL) {
        (void)curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                               (curl_off_t)call->body_bytes);
        (void)curl_easy_setopt(curl, CURLOPT_POSTFIELDS, call->body);
    }
    result = curl_easy_perform(curl);
    (void)curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &reply->status);
    reply->body = arena_strndup(&session->arena, body.bytes, body.length);
    reply->length = body.length;
    text_free(&body);
    curl_slist_free_all(headers);
    curl_easy_cleanup(curl);
    return result;
}

static struct curl_slist *
make_headers(session_t *session, const call_t *call)
{
    arena_t *arena = &session->arena;
    struct curl_slist *headers = curl_slist_append(
        NULL, arena_printf(arena, "Authorization: Bearer %s", session->key));

    headers = curl_slist_append(headers, "Content-Type: application/toml");
    headers = curl_slist_append(headers, "Expect:");
    if (call->if_match != NULL) {
        headers = curl_slist_append(
            headers, arena_printf(arena, "If-Match: %s", call->if_match));
    }
    return headers;
}

static size_t
on_body(char *bytes, size_t size, size_t count, void *context)
{
    text_append(context, bytes, size * count);
    return size * count;
}
