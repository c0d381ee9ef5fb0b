/* host_relay.c - headers of requests and responses between two hosts. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "gateway/gateway.h"
#include "peer/relay_mark.h"

enum {
    STATUS_TOO_MANY = 429,
    STATUS_UNAVAILABLE = 503,
    REASON_BYTES_MAX = 32,
    HEXADECIMAL = 16,
    COUNTS = 3, /* in a grant or a usage, before the runners */
};

/* Of a response: the reason of a refusal, and whether the request has run. */
static const char refusal_header[] = "X-Relay-Refusal";
static const char not_run_word[] = "not-run";
/* Of a response: what the host has used of its grant. */
static const char usage_header[] = "X-Relay-Usage";

/* A grant or a usage as text: attempts or runs, deliveries, the version in
 * hexadecimal, the runners in the same, each ended by a comma, the version of
 * the routing table behind a '#', and the service behind a '/', if its route
 * has several.  Hosts of older builds stop before these; they write a revision
 * behind an '@' there. */
#define COUNTS_FORMAT "%" PRIu32 " %" PRIu32 " %" PRIx64 " "
#define COUNTS_SCAN "%" SCNu32 " %" SCNu32 " %" SCNx64 " %n"

static const char *copy_value(arena_t *arena, const headers_t *headers,
                              const char *name);
static bool parse_reason(const char *name, refuse_reason_t *reason);
static const char *write_grant(arena_t *arena, const relay_grant_t *grant);
static void read_grant(arena_t *arena, const char *text, relay_grant_t *grant);
static const char *write_runners(arena_t *arena, const uint64_t *runners,
                                 uint32_t count);
static uint64_t *read_runners(arena_t *arena, const char *text,
                              uint32_t *count, const char **end);
static const char *write_routing_version(arena_t *arena, int64_t version);
static int64_t read_routing_version(const char *text);
static const char *write_service(arena_t *arena, uint64_t service);
static uint64_t read_service(const char *text);

/* The headers are removed in any case: no runner is to receive them. */
bool
host_relay_accept(gateway_t *gateway, arena_t *arena,
                  caller_request_t *request, relay_grant_t *grant)
{
    headers_t *headers = &request->headers;
    relay_mark_t mark = {
        .host = copy_value(arena, headers, relay_mark_host_header),
        .request_id = request->id,
        .path = request->path,
    };
    const char *tag = copy_value(arena, headers, relay_mark_tag_header);
    const char *grant_text =
        copy_value(arena, headers, relay_mark_grant_header);
    const char *grant_tag =
        copy_value(arena, headers, relay_mark_grant_tag_header);

    *grant = (relay_grant_t){0};
    headers_remove(headers, relay_mark_grant_header);
    headers_remove(headers, relay_mark_grant_tag_header);
    headers_remove(headers, usage_header);
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
    mark.grant = grant_text;
    if (grant_text != NULL && grant_tag != NULL &&
        relay_mark_is_valid(peering_key(gateway->peering), &mark, grant_tag)) {
        read_grant(arena, grant_text, grant);
    }
    log_event(LOG_INFO, "relayed",
              "request=%s host=%s attempts=%" PRIu32 " deliveries=%" PRIu32
              " tried=%" PRIu32,
              request->id, mark.host, grant->attempts, grant->deliveries,
              grant->runner_count);
    meters_count_relay_received(gateway->meters);
    return true;
}

bool
host_relay_write_mark(gateway_t *gateway, arena_t *arena,
                      const caller_request_t *request,
                      const relay_grant_t *grant, headers_t *out)
{
    relay_mark_t mark = {
        .host = gateway->settings->host,
        .request_id = request->id,
        .path = request->path,
    };
    wire_key_t key = peering_key(gateway->peering);
    char tag[RELAY_TAG_TEXT_BYTES];
    char grant_tag[RELAY_TAG_TEXT_BYTES];

    if (!relay_mark_write_tag(key, &mark, tag)) {
        return false;
    }
    mark.grant = write_grant(arena, grant);
    if (relay_mark_write_tag(key, &mark, grant_tag)) {
        headers_add_strings(out, arena, relay_mark_grant_header, mark.grant);
        headers_add_strings(out, arena, relay_mark_grant_tag_header,
                            arena_strdup(arena, grant_tag));
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

header_t
host_relay_usage_header(arena_t *arena, const relay_usage_t *usage)
{
    const char *value =
        arena_printf(arena, COUNTS_FORMAT "%s%s%s", usage->runs,
                     usage->deliveries, usage->version,
                     write_runners(arena, usage->runners, usage->runner_count),
                     write_routing_version(arena, usage->routing_version),
                     write_service(arena, usage->service));

    return (header_t){.name = usage_header,
                      .name_bytes = strlen(usage_header),
                      .value = value,
                      .value_bytes = strlen(value)};
}

void
host_relay_read_usage(arena_t *arena, const headers_t *headers,
                      relay_usage_t *usage)
{
    const char *value = copy_value(arena, headers, usage_header);
    const char *rest;
    int length = 0;

    *usage = (relay_usage_t){0};
    if (value == NULL ||
        sscanf(value, COUNTS_SCAN, &usage->runs, &usage->deliveries,
               &usage->version, &length) < COUNTS) {
        *usage = (relay_usage_t){0};
        return;
    }
    usage->stated = true;
    usage->runners =
        read_runners(arena, value + length, &usage->runner_count, &rest);
    usage->routing_version = read_routing_version(rest);
    usage->service = read_service(rest);
}

/* A host sends its own Server and Date before the headers of a runner. */
void
host_relay_remove_headers(headers_t *headers, bool from_host)
{
    headers_remove(headers, refusal_header);
    headers_remove(headers, usage_header);
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

static const char *
write_grant(arena_t *arena, const relay_grant_t *grant)
{
    return arena_printf(
        arena, COUNTS_FORMAT "%s%s%s", grant->attempts, grant->deliveries,
        grant->version,
        write_runners(arena, grant->runners, grant->runner_count),
        write_routing_version(arena, grant->routing_version),
        write_service(arena, grant->service));
}

static void
read_grant(arena_t *arena, const char *text, relay_grant_t *grant)
{
    const char *rest;
    int length = 0;

    if (sscanf(text, COUNTS_SCAN, &grant->attempts, &grant->deliveries,
               &grant->version, &length) < COUNTS) {
        *grant = (relay_grant_t){0};
        return;
    }
    grant->runners =
        read_runners(arena, text + length, &grant->runner_count, &rest);
    grant->routing_version = read_routing_version(rest);
    grant->service = read_service(rest);
}

static const char *
write_routing_version(arena_t *arena, int64_t version)
{
    return version > 0 ? arena_printf(arena, "#%" PRId64, version) : "";
}

/* Returns 0 if there is none. */
static int64_t
read_routing_version(const char *text)
{
    int64_t version = 0;

    return sscanf(text, "#%" SCNd64, &version) == 1 && version > 0 ? version
                                                                   : 0;
}

static const char *
write_service(arena_t *arena, uint64_t service)
{
    return service != 0 ? arena_printf(arena, "/%" PRIx64, service) : "";
}

/* Returns 0 if there is none. */
static uint64_t
read_service(const char *text)
{
    const char *mark = strchr(text, '/');

    return mark != NULL ? strtoull(mark + 1, NULL, HEXADECIMAL) : 0;
}

static const char *
write_runners(arena_t *arena, const uint64_t *runners, uint32_t count)
{
    const char *text = "";
    uint32_t i;

    for (i = 0; i < count; i++) {
        text = arena_printf(arena, "%s%" PRIx64 ",", text, runners[i]);
    }
    return text;
}

static uint64_t *
read_runners(arena_t *arena, const char *text, uint32_t *count,
             const char **rest)
{
    uint64_t *runners =
        arena_array(arena, RELAY_RUNNERS_MAX, sizeof(*runners));
    char *end;

    *count = 0;
    while (*count < RELAY_RUNNERS_MAX) {
        uint64_t runner = strtoull(text, &end, HEXADECIMAL);

        if (end == text || *end != ',') {
            break;
        }
        runners[*count] = runner;
        (*count)++;
        text = end + 1;
    }
    *rest = text;
    return runners;
}
