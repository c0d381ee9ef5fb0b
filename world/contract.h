/*
 * contract.h - parses the document that a team writes for one of its services.
 *
 * The document states the models and plain services offered, the
 * organisations that may use them, and the urgency of each kind of request.
 */
#ifndef WORLD_CONTRACT_H
#define WORLD_CONTRACT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "base/err.h"

/* What to minimise when a request is recovered after an engine failure. */
typedef enum {
    RECOVERY_MINIMISE_LATENCY,
    RECOVERY_MINIMISE_WORK
} recovery_goal_t;

typedef enum {
    URGENCY_INTERACTIVE,
    URGENCY_NORMAL,
    URGENCY_BATCH,
    URGENCY_COUNT,
} urgency_t;

typedef struct {
    const char *name;    /* as given in requests */
    const char *version; /* a runner must have it loaded */
    const char *adapter; /* "" if none */
    uint32_t line;
} model_t;

/* A service other than a model, available at /services/NAME/. */
typedef struct {
    const char *name;
    uint32_t line;
} plain_service_t;

/* An organisation that may use the service. */
typedef struct {
    const char *name;
    uint32_t weight; /* share of the runners under contention */
    uint32_t line;
} served_organisation_t;

/* A kind of request.  An objective of 0 ms means that there is none. */
typedef struct {
    const char *name;
    urgency_t urgency;
    bool idempotent;
    uint32_t first_token_objective_ms;
    uint32_t token_gap_objective_ms;
    uint32_t line;
} request_kind_t;

/* Arrays keep the order of the document. */
typedef struct {
    const char *service;
    const char *team;
    recovery_goal_t recovery_goal;
    model_t *models;
    size_t model_count;
    plain_service_t *plain_services;
    size_t plain_service_count;
    served_organisation_t *organisations;
    size_t organisation_count;
    request_kind_t *kinds; /* at least one; the first is the default */
    size_t kind_count;
    uint32_t line;
} contract_t;

/*
 * Parses the document.  Error messages identify it by name, usually a file
 * name.  All memory of the result belongs to arena.  Returns NULL and sets
 * *err (ERR_DOCUMENT, "name:line: problem: correction") if the document is
 * invalid.
 */
contract_t *contract_parse(arena_t *arena, const char *name, const char *text,
                           size_t length, err_t *err);

/* Returns the entry of the organisation, or NULL if it is not served. */
const served_organisation_t *
contract_find_organisation(const contract_t *contract,
                           const char *organisation);

/* Return the model or plain service with this name, or NULL. */
const model_t *contract_find_model(const contract_t *contract,
                                   const char *name);
const plain_service_t *contract_find_plain_service(const contract_t *contract,
                                                   const char *name);

/*
 * Returns the request kind with this name, or NULL.  An empty name selects the
 * default, which is the first kind.
 */
const request_kind_t *contract_find_kind(const contract_t *contract,
                                         const char *name);

/*
 * Returns whether both documents define a model or a plain service with the
 * same name and serve the same organisation, so that a request would be
 * ambiguous.  Stores the first such pair in *organisation and *common_name.
 * Two documents of the same service never conflict, since one replaces the
 * other.
 */
bool contract_conflicts(const contract_t *a, const contract_t *b,
                        const char **organisation, const char **common_name);

#endif
