/*
 * fleet.h - parses the operators' document, which lists the runners,
 * organisations, teams and operators.
 */
#ifndef WORLD_FLEET_H
#define WORLD_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "base/err.h"
#include "world/organisation.h"
#include "world/runner.h"

/* The digest of a key and the principal that it authenticates. */
typedef struct {
    const char *sha256;
    const char *name;
    principal_kind_t kind;
    uint32_t line;
} credential_t;

typedef struct {
    const char *name;
    const runner_t *runner;
} runner_index_entry_t;

/* Arrays keep the order of the document unless noted. */
typedef struct {
    runner_t *runners;
    size_t runner_count;
    organisation_t *organisations;
    size_t organisation_count;
    team_t *teams;
    size_t team_count;
    operator_t *operators;
    size_t operator_count;
    const char **zones; /* of all runners, sorted, unique */
    size_t zone_count;
    runner_index_entry_t *runners_by_name; /* sorted by name */
    credential_t *credentials;             /* sorted by digest */
    size_t credential_count;
    uint32_t line;
} fleet_t;

/*
 * Parses the document.  Error messages identify it by name, usually a file
 * name.  All memory of the result belongs to arena.  Returns NULL and sets
 * *err (ERR_DOCUMENT, "name:line: problem: correction") if the document is
 * invalid.
 */
fleet_t *fleet_parse(arena_t *arena, const char *name, const char *text,
                     size_t length, err_t *err);

/* Returns the runner with this name, or NULL. */
const runner_t *fleet_find_runner(const fleet_t *fleet, const char *name);

/*
 * Returns whether an engine has loaded this model version, or whether a runner
 * of kind RUNNER_SERVICE offers the service with this name.
 */
bool runner_offers_model(const runner_t *runner, const char *model);

/*
 * Returns the credential with this SHA-256 digest of a key (64 hexadecimal
 * digits), or NULL.
 */
const credential_t *fleet_find_credential(const fleet_t *fleet,
                                          const char *sha256);

#endif
