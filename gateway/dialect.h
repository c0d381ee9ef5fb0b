/*
 * dialect.h - the names and formats that callers, runners and the store use.
 *
 * The gateway's tasks speak HTTP; what headers and documents are called and
 * how they are written is a dialect's to know, and nothing else is: it
 * decides nothing.  Strings that it returns live in the arena given.
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

/* Appends; the strings are not copied. */
void headers_add(headers_t *headers, arena_t *arena, header_t header);
void headers_add_strings(headers_t *headers, arena_t *arena, const char *name,
                         const char *value);

/* The first header of that name, whatever its case, or NULL. */
const header_t *headers_find(const headers_t *headers, const char *name);

/* Whether it concerns one connection, or the framing on it. */
bool header_is_of_connection(const char *name, size_t length);

/* What the headers of a caller's request say to the system. */
typedef struct {
    const char *id; /* "" when it has none */
    const char *key;
    uint32_t deadline_ms;
    uint32_t prompt_tokens;
    uint64_t affinity;
    bool has_affinity;
    int64_t last_event_id; /* -1: none */
} caller_terms_t;

/* What the headers of a runner's answer say. */
typedef struct {
    const char *id; /* of the request that it answers, or NULL */
    bool signed_by_runner;
    bool not_run;
} answer_terms_t;

/* What a caller asks of the directory of addresses. */
typedef struct {
    const char *host;
    const char *zone;
} address_lookup_t;

typedef struct dialect dialect_t;
typedef struct {
    void (*read_caller)(arena_t *arena, const headers_t *headers,
                        caller_terms_t *terms);

    /*
     * The headers of the request as sent to a runner: the caller's without
     * those that are the system's to set, and the system's own.
     */
    void (*write_send)(arena_t *arena, const headers_t *caller,
                       const send_action_t *send, headers_t *out);

    void (*read_answer)(arena_t *arena, const headers_t *headers,
                        answer_terms_t *terms);

    /* The request that has a runner copy a stream's memory: its path, its
     * body, and the name in its answer, or NULL. */
    const char *copy_path;
    void (*write_copy)(text_t *body, const copy_action_t *copy);
    const char *(*read_copied)(arena_t *arena, const char *bytes,
                               size_t length);
    /* The one that has it free the copy: its path; its method is DELETE. */
    const char *(*drop_copy_path)(arena_t *arena, const char *name);

    /* The request that asks a runner for a sign of life: its path. */
    /* What a runner answers to a probe, in arena; false: it is no report. */
    bool (*read_report)(arena_t *arena, const char *bytes, size_t length,
                        runner_report_t *report);
    const char *probe_path;

    /* Keys of the store: the routing table, and the registry's prefix. */
    const char *routing_key;
    const char *registry_prefix;

    /* NULL with *err set when the document is not to be used. */
    routing_t *(*read_routing)(const char *bytes, size_t length, err_t *err);

    /* -1 with *err set when the entry names no runner to use. */
    int (*read_registration)(arena_t *arena, const char *key,
                             const char *bytes, size_t length,
                             registration_t *out, err_t *err);

    /* Paths of the system's own calls, and their bodies. */
    const char *ready_path;
    const char *lookup_path;
    void (*read_lookup)(arena_t *arena, const char *query, size_t length,
                        address_lookup_t *lookup);
    void (*write_addresses)(text_t *body, const char *const *addresses,
                            size_t count, uint32_t ttl_s);

    /* The value of a refusal's Retry-After. */
    const char *(*write_retry_after)(arena_t *arena, uint32_t retry_after_ms);
} dialect_ops_t;
struct dialect {
    const dialect_ops_t *ops;
};

#endif
