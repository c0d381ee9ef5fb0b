/* client_response.c - receives the response of a call. */
#include <string.h>

#include "http/client_private.h"

enum {
    HTTP_STATUS_FINAL_MIN = 200,
    HTTP_STATUS_MAX = 599,
    MS_PER_S = 1000,
};

static int on_received(CURL *easy, curl_infotype type, char *bytes,
                       size_t length, void *context);
static void mark_too_large(http_call_t *call);
static size_t on_header(char *bytes, size_t size, size_t count, void *context);
static void check_framing(http_call_t *call, const char *bytes, size_t length);
static void deliver_header_field(http_call_t *call, uint32_t status,
                                 const char *bytes, size_t length);
static size_t on_body(char *bytes, size_t size, size_t count, void *context);

void
http_set_response(http_call_t *call, const http_request_t *request)
{
    CURL *easy = call->easy;

    if (request->response_max_bytes > 0) {
        /* No other callback sees the bytes before they are decoded. */
        call->response_max_bytes = request->response_max_bytes;
        curl_easy_setopt(easy, CURLOPT_DEBUGFUNCTION, on_received);
        curl_easy_setopt(easy, CURLOPT_DEBUGDATA, call);
        curl_easy_setopt(easy, CURLOPT_VERBOSE, 1L);
    }
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
}

static int
on_received(CURL *easy, curl_infotype type, char *bytes, size_t length,
            void *context)
{
    http_call_t *call = context;

    if (type == CURLINFO_HEADER_IN || type == CURLINFO_DATA_IN) {
        call->received_bytes += length;
        if (call->received_bytes > call->response_max_bytes) {
            mark_too_large(call);
        }
    }
    return 0;
}

/* Callbacks of libcurl return an error from now on.  Not all bytes reach one,
 * so that the call is also ended when libcurl returns. */
static void
mark_too_large(http_call_t *call)
{
    if (!call->too_large && !call->cancelled) {
        call->too_large = true;
        call->end_pending = true;
        TAILQ_INSERT_TAIL(&call->client->exceeded_calls, call, exceeded);
    }
}

static size_t
on_header(char *bytes, size_t size, size_t count, void *context)
{
    http_call_t *call = context;
    size_t length = size * count;
    const char *content_type = NULL;
    curl_off_t retry_after_s = 0;
    long status = 0;

    call->fields++;
    call->field_bytes += (uint32_t)length;
    if (call->fields > HTTP_FIELDS_MAX ||
        call->field_bytes > HTTP_FIELD_BYTES_MAX) {
        mark_too_large(call);
    }
    if (call->cancelled || call->too_large) {
        return 0;
    }
    if (call->head_delivered || length == 0) {
        return length;
    }
    (void)curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
    if (length > 2 || (bytes[0] != '\r' && bytes[0] != '\n')) {
        check_framing(call, bytes, length);
        deliver_header_field(call, (uint32_t)status, bytes, length);
        return length;
    }
    if (status < HTTP_STATUS_FINAL_MIN) {
        return length;
    }
    if (status > HTTP_STATUS_MAX) {
        call->invalid_status = true;
        return 0;
    }
    if (framing_result(&call->framing, false) == FRAMING_AMBIGUOUS) {
        return 0;
    }
    (void)curl_easy_getinfo(call->easy, CURLINFO_CONTENT_TYPE, &content_type);
    (void)curl_easy_getinfo(call->easy, CURLINFO_RETRY_AFTER, &retry_after_s);
    if (retry_after_s > UINT32_MAX / MS_PER_S) {
        retry_after_s = UINT32_MAX / MS_PER_S;
    }
    call->head_delivered = true;
    call->sink->ops->head(call->sink, (uint32_t)status,
                          content_type != NULL ? content_type : "",
                          (uint32_t)retry_after_s * MS_PER_S);
    return call->cancelled ? 0 : length;
}

/* A status line begins a head: that of an interim response is forgotten. */
static void
check_framing(http_call_t *call, const char *bytes, size_t length)
{
    static const char status_line[] = "HTTP/";

    if (length > strlen(status_line) &&
        memcmp(bytes, status_line, strlen(status_line)) == 0) {
        call->framing = (framing_fields_t){0};
        return;
    }
    while (length > 0 &&
           (bytes[length - 1] == '\r' || bytes[length - 1] == '\n')) {
        length--;
    }
    framing_add_line(&call->framing, bytes, length);
}

/* Ignores the status line, which has no colon before its first space. */
static void
deliver_header_field(http_call_t *call, uint32_t status, const char *bytes,
                     size_t length)
{
    const char *colon = memchr(bytes, ':', length);
    const char *value = colon + 1;
    const char *end = bytes + length;

    if (call->sink->ops->field == NULL || colon == NULL ||
        memchr(bytes, ' ', (size_t)(colon - bytes)) != NULL) {
        return;
    }
    while (value < end && (*value == ' ' || *value == '\t')) {
        value++;
    }
    while (end > value && strchr(" \t\r\n", end[-1]) != NULL) {
        end--;
    }
    call->sink->ops->field(call->sink, status, bytes, (size_t)(colon - bytes),
                           value, (size_t)(end - value));
}

static size_t
on_body(char *bytes, size_t size, size_t count, void *context)
{
    http_call_t *call = context;
    size_t length = size * count;

    if (call->cancelled || call->too_large) {
        return 0;
    }
    if (length > 0) {
        call->sink->ops->body(call->sink, bytes, length);
    }
    return call->cancelled ? 0 : length;
}
