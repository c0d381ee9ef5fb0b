/* host_relay.c - headers of requests and responses between two hosts. */
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "gateway/gateway.h"
#include "peer/relay_mark.h"

enum {
    STATUS_TOO_MANY = 429,
    STATUS_UNAVAILABLE = 503,
    REASON_BYTES_MAX = 32
};

/* Of a response: the reason of a refusal, and whether the request has run. */
static const char refusal_header[] = "X-Relay-Refusal";
static const char not_run_word[] = "not-run";

static const char *copy_value(arena_t *arena, const headers_t *headers,
                              const char *name);
static bool parse_reason(const char *name, refuse_reason_t *reason);

/* The headers are removed in any case: no runner is to receive them. */
bool
host_relay_accept(gateway_t *gateway, arena_t *arena,
                  caller_request_t *request)
{
    headers_t *headers = &request->headers;
    relay_mark_t mark = {
        .host = copy_value(arena, headers, relay_mark_host_header),
        .request_id = request->id,
        .path = request->path,
    };
    const char *tag = copy_value(arena, headers, relay_mark_tag_header);

    headers_remove(headers, relay_mark_host_header);
    headers_remove(headers, relay_mark_tag_header);
    headers_remove(headers, refusal_header);
    if (mark.host == NULL && tag == NULL) {
        return false;
    }
    if (mark.host == NULL || tag == NULL ||
        !relay_mark_is_valid(peering_key(gateway->peering), &mark, tag)) {
        log_event(LOG_NOTICE, "relay-mark-invalid", "request=%s", request->id);
        return false;
    }
    log_event(LOG_INFO, "relayed", "request=%s host=%s", request->id,
              mark.host);
    meters_count_relay_received(gateway->meters);
    return true;
}

bool
host_relay_write_mark(gateway_t *gateway, arena_t *arena,
                      const caller_request_t *request, headers_t *out)
{
    relay_mark_t mark = {
        .host = gateway->settings->host,
        .request_id = request->id,
        .path = request->path,
    };
    char tag[RELAY_TAG_TEXT_BYTES];

    if (!relay_mark_write_tag(peering_key(gateway->peering), &mark, tag)) {
        return false;
    }
    headers_add_strings(out, arena, relay_mark_host_header, mark.host);
    headers_add_strings(out, arena, relay_mark_tag_header,
                        arena_strdup(arena, tag));
    return true;
}

header_t
host_relay_refusal_header(arena_t *arena, const refuse_action_t *refusal)
{
    const char *value =
        arena_printf(arena, "%s %s", refuse_reason_name(refusal->reason),
                     refusal->not_run ? not_run_word : "unknown");

    return (header_t){.name = refusal_header,
                      .name_bytes = strlen(refusal_header),
                      .value = value,
                      .value_bytes = strlen(value)};
}

/* A host that does not write the header may refuse, too. */
void
host_relay_read_refusal(arena_t *arena, const headers_t *headers,
                        forward_response_head_t *head)
{
    const char *value = copy_value(arena, headers, refusal_header);
    char reason[REASON_BYTES_MAX] = "";
    char run[REASON_BYTES_MAX] = "";

    head->refused_by_host = true;
    if (value != NULL && sscanf(value, "%31s %31s", reason, run) == 2 &&
        parse_reason(reason, &head->refusal)) {
        head->not_run = strcmp(run, not_run_word) == 0;
        return;
    }
    head->refusal = REFUSE_NO_RUNNER;
    head->not_run =
        head->status == STATUS_TOO_MANY || head->status == STATUS_UNAVAILABLE;
}

/* A host sends its own Server and Date before the headers of a runner. */
void
host_relay_remove_headers(headers_t *headers, bool from_host)
{
    headers_remove(headers, refusal_header);
    if (from_host) {
        headers_remove_first(headers, "Server");
        headers_remove_first(headers, "Date");
    }
}

/* Returns NULL if there is no such header. */
static const char *
copy_value(arena_t *arena, const headers_t *headers, const char *name)
{
    const header_t *header = headers_find(headers, name);

    return header != NULL
               ? arena_strndup(arena, header->value, header->value_bytes)
               : NULL;
}

static bool
parse_reason(const char *name, refuse_reason_t *reason)
{
    int candidate;

    for (candidate = REFUSE_NO_ROUTING; candidate <= REFUSE_TIMEOUT;
         candidate++) {
        if (strcmp(name, refuse_reason_name((refuse_reason_t)candidate)) ==
            0) {
            *reason = (refuse_reason_t)candidate;
            return true;
        }
    }
    return false;
}
