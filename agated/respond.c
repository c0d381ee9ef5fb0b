/* respond.c - complete HTTP responses, and request and response headers. */
#include <string.h>

#include "agated/exchange.h"

void
respond(h2o_req_t *req, uint32_t status, const char *content_type,
        const char *body, size_t length)
{
    static h2o_generator_t generator;
    h2o_iovec_t bytes = h2o_strdup(&req->pool, body, length);

    req->res.status = (int)status;
    req->res.reason = status_reason(status);
    req->res.content_length = length;
    add_response_header(req, "content-type", content_type);
    h2o_start_response(req, &generator);
    h2o_send(req, &bytes, length > 0 ? 1 : 0, H2O_SEND_STATE_FINAL);
}

void
respond_refusal(h2o_req_t *req, const refuse_request_action_t *refusal)
{
    text_t text = {0};

    refusal_write_json(refusal, &text);
    respond(req,
            refusal->status > 0 ? refusal->status
                                : refusal_status(refusal->refusal),
            "application/json", text.bytes, text.length);
    text_free(&text);
}

const char *
copy_request_header(h2o_req_t *req, arena_t *arena, const char *name)
{
    const h2o_token_t *token = h2o_lookup_token(name, strlen(name));
    const h2o_header_t *header;
    ssize_t at = token != NULL ? h2o_find_header(&req->headers, token, -1)
                               : h2o_find_header_by_str(&req->headers, name,
                                                        strlen(name), -1);

    if (at < 0) {
        return NULL;
    }
    header = &req->headers.entries[at];
    return arena_strndup(arena, header->value.base, header->value.len);
}

void
add_response_header(h2o_req_t *req, const char *name, const char *value)
{
    h2o_iovec_t copy = h2o_strdup(&req->pool, value, SIZE_MAX);

    h2o_add_header_by_str(&req->pool, &req->res.headers, name, strlen(name), 1,
                          NULL, copy.base, copy.len);
}

const char *
status_reason(uint32_t status)
{
    static const struct {
        uint32_t status;
        const char *reason;
    } reasons[] = {
        {200, "OK"},
        {400, "Bad Request"},
        {401, "Unauthorized"},
        {403, "Forbidden"},
        {404, "Not Found"},
        {405, "Method Not Allowed"},
        {409, "Conflict"},
        {413, "Content Too Large"},
        {422, "Unprocessable Content"},
        {429, "Too Many Requests"},
        {500, "Internal Server Error"},
        {502, "Bad Gateway"},
        {503, "Service Unavailable"},
    };
    size_t i;

    for (i = 0; i < sizeof(reasons) / sizeof(reasons[0]); i++) {
        if (reasons[i].status == status) {
            return reasons[i].reason;
        }
    }
    return "Status";
}
