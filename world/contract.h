/*
 * contract.h - a team's document for one of its services: which models it
 * serves, to whom, and how urgent each kind of request is.
 */
#ifndef WORLD_CONTRACT_H
#define WORLD_CONTRACT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "base/err.h"

typedef enum { WEIGHS_RESUME_LATENCY, WEIGHS_EXTRA_WORK } weighs_t;

typedef enum {
    URGENCY_INTERACTIVE,
    URGENCY_NORMAL,
    URGENCY_BATCH,
    URGENCY_COUNT,
} urgency_t;

typedef struct {
    const char *name;    /* what callers ask for */
    const char *version; /* what the runner must have loaded */
    const char *adapter; /* "" for none */
    uint32_t line;
} model_t;

/* A plain service that callers reach at /services/NAME/. */
typedef struct {
    const char *name;
    uint32_t line;
} plain_t;

/* An organisation that is served, and its share under contention. */
typedef struct {
    const char *name;
    uint32_t weight;
    uint32_t line;
} served_t;

/* A kind of request; an objective of 0 ms is none. */
typedef struct {
    const char *name;
    urgency_t urgency;
    bool idempotent;
    uint32_t first_token_objective_ms;
    uint32_t token_gap_objective_ms;
    uint32_t line;
} request_kind_t;

/* All lists are in the document's order. */
typedef struct {
    const char *service;
    const char *team;
    weighs_t weighs;
    model_t *models;
    size_t model_count;
    plain_t *plains;
    size_t plain_count;
    served_t *organisations;
    size_t organisation_count;
    request_kind_t *kinds; /* at least one; the first is the default */
    size_t kind_count;
    uint32_t line;
} contract_t;

/*
 * Parses the document, whose origin messages call name.  All of it lives in
 * arena.  Returns NULL with *err set (ERR_DOCUMENT, "name:line: what is
 * wrong: what to write instead") when anything is wrong with it.
 */
contract_t *contract_parse(arena_t *arena, const char *name, const char *text,
                           size_t length, err_t *err);

/* The organisation's entry, or NULL when it is not served. */
const served_t *contract_serves(const contract_t *contract,
                                const char *organisation);

/* The model or the plain service of this name, or NULL. */
const model_t *contract_model(const contract_t *contract, const char *name);
const plain_t *contract_plain(const contract_t *contract, const char *name);

/* The kind of this name, or the first when name is "", or NULL. */
const request_kind_t *contract_kind(const contract_t *contract,
                                    const char *name);

/*
 * Whether a model or plain service of both documents has one name for one
 * organisation; then *organisation and *what name the first such.  Two
 * documents of the same service never clash: one replaces the other.
 */
bool contract_clash(const contract_t *a, const contract_t *b,
                    const char **organisation, const char **what);

#endif
