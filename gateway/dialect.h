/*
 * dialect.h - interface to the names and formats of headers, paths and
 * documents.
 *
 * The gateway's modules handle HTTP.  A dialect defines how headers, paths,
 * bodies and store keys are named and encoded; it makes no decisions.  Strings
 * that it returns are allocated in the given arena.
 */
#ifndef GATEWAY_DIALECT_H
#define GATEWAY_DIALECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "base/err.h"
#include "base/text.h"
#include "forward/forward.h"
#include "world/registration.h"
#include "world/rollout.h"
#include "world/routing.h"

typedef struct {
    const char *name;
    size_t name_bytes;
    const char *value;
    size_t value_bytes;
} header_t;

typedef struct {
    header_t *items;
    size_t count;
    size_t size;
} headers_t;

/* Append a header without copying its strings. */
void headers_add(headers_t *headers, arena_t *arena, header_t header);
void headers_add_strings(headers_t *headers, arena_t *arena, const char *name,
                         const char *value);

/* Returns the first header of that name (any case), or NULL. */
const header_t *headers_find(const headers_t *headers, const char *name);

/* Remove all headers of that name (any case), or the first one. */
void headers_remove(headers_t *headers, const char *name);
void headers_remove_first(headers_t *headers, const char *name);
/* Returns "Name: value" lines for the HTTP client, NULL-terminated. */
const char **headers_format_lines(arena_t *arena, const headers_t *headers,
                                  const char *host);

/* Returns true for hop-by-hop headers and those that frame the message. */
bool header_is_hop_by_hop(const char *name, size_t length);

/* Options that a caller sets in its request headers. */
typedef struct {
    const char *id; /* request ID; "" if none */
    const char *key;
    uint32_t deadline_ms;
    uint32_t prompt_tokens;
    uint64_t affinity;
    bool has_affinity;
    const uint64_t *parts; /* see forward_request_t */
    uint32_t part_count;
    int64_t last_event_id;  /* -1: none */
    const char *resumed_id; /* see forward_request_t */
} caller_options_t;

/* Properties of a runner's response, from its headers. */
typedef struct {
    const char *id; /* of the request it belongs to, or NULL */
    bool signed_by_runner;
    bool not_run;            /* the runner did not execute the request */
    bool leaving;            /* the runner takes no more requests */
    uint32_t retry_after_ms; /* 0: not stated */
} response_properties_t;

/* A caller's query for host addresses. */
typedef struct {
    const char *host;
    const char *zone;
} address_lookup_t;

typedef struct dialect dialect_t;
typedef struct {
    void (*parse_caller_headers)(arena_t *arena, const headers_t *headers,
                                 caller_options_t *terms);

    /*
     * Sets the headers of a request to a runner: the caller's, without those
     * that only the system may set, followed by the system's own.
     */
    void (*write_runner_headers)(arena_t *arena, const headers_t *caller,
                                 const send_action_t *send, headers_t *out);

    /*
     * Sets the headers of a request that is relayed to another host: the
     * caller's with its key, without those that only the system may set.
     */
    void (*write_relay_headers)(arena_t *arena, const headers_t *caller,
                                const send_action_t *send, headers_t *out);

    void (*parse_response_headers)(arena_t *arena, const headers_t *headers,
                                   response_properties_t *terms);

    /*
     * The call that copies a stream's KV cache to a runner: its path, its
     * body, and the name of the copy in its response, or NULL.
     */
    const char *kv_copy_path;
    void (*write_kv_copy_request)(text_t *body, const copy_action_t *copy);
    const char *(*parse_kv_copy_response)(arena_t *arena, const char *bytes,
                                          size_t length);
    /* The path of the DELETE request that frees a copy. */
    const char *(*kv_copy_delete_path)(arena_t *arena, const char *name);

    /*
     * The path of a health probe, and its response.  Returns false if the
     * response is not a valid report; started_ms is set all the same.
     */
    bool (*parse_probe_response)(arena_t *arena, const char *bytes,
                                 size_t length, runner_report_t *report);
    const char *probe_path;

    /* Store keys: the routing table, and the prefix of the registry. */
    const char *routing_key;
    const char *registry_prefix;

    /* Returns NULL with *err set if the document is invalid. */
    routing_t *(*parse_routing_table)(const char *bytes, size_t length,
                                      err_t *err);

    /* Returns -1 with *err set if the registry entry is invalid. */
    int (*parse_registry_entry)(arena_t *arena, const char *key,
                                const char *bytes, size_t length,
                                registration_t *out, err_t *err);

    /*
     * Roll-outs: the prefixes of operators' orders and of their status in the
     * store, followed by the name of the service.  The parsers set all but
     * service and revision; what cannot be read is left out, with *err set and
     * -1 returned.
     */
    const char *rollout_order_prefix;
    const char *rollout_status_prefix;
    int (*parse_rollout_order)(arena_t *arena, const char *bytes,
                               size_t length, rollout_order_t *out,
                               err_t *err);
    int (*parse_rollout_status)(arena_t *arena, const char *bytes,
                                size_t length, rollout_status_t *out,
                                err_t *err);
    void (*write_rollout_status)(text_t *value,
                                 const rollout_status_t *status);

    /* Paths of the readiness check and of the address lookup, its query, and
     * the response body of a lookup. */
    const char *ready_path;
    const char *lookup_path;
    void (*parse_lookup_query)(arena_t *arena, const char *query,
                               size_t length, address_lookup_t *lookup);
    void (*write_addresses)(text_t *body, const char *const *addresses,
                            size_t count, uint32_t ttl_s);

    /* Returns the value of Retry-After in an error response. */
    const char *(*write_retry_after)(arena_t *arena, uint32_t retry_after_ms);
} dialect_ops_t;
struct dialect {
    const dialect_ops_t *ops;
};

#endif
