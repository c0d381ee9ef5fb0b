/*
 * fleet.h - the operators' document: runners, organisations, teams and
 * operators.
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

/* A key's digest and whom it stands for. */
typedef struct {
    const char *sha256;
    const char *name;
    party_kind_t kind;
    uint32_t line;
} credential_t;

/* An entry of the index of runners by name. */
typedef struct {
    const char *name;
    const runner_t *runner;
} runner_entry_t;

/* Lists are in the document's order but where said. */
typedef struct {
    runner_t *runners;
    size_t runner_count;
    organisation_t *organisations;
    size_t organisation_count;
    team_t *teams;
    size_t team_count;
    operator_t *operators;
    size_t operator_count;
    const char **zones; /* of the runners, sorted, each once */
    size_t zone_count;
    runner_entry_t *runners_by_name; /* sorted by name */
    credential_t *credentials;       /* sorted by digest */
    size_t credential_count;
    uint32_t line;
} fleet_t;

/*
 * Parses the document, whose origin messages call name.  All of it lives in
 * arena.  Returns NULL with *err set (ERR_DOCUMENT, "name:line: what is
 * wrong: what to write instead") when anything is wrong with it.
 */
fleet_t *fleet_parse(arena_t *arena, const char *name, const char *text,
                     size_t length, err_t *err);

/* The runner called name, or NULL. */
const runner_t *fleet_runner(const fleet_t *fleet, const char *name);

/* Whether the runner has loaded this version (for a service: offers it). */
bool runner_has(const runner_t *runner, const char *model);

/* Whom the key with this SHA-256 (64 hexadecimal digits) stands for. */
const credential_t *fleet_credential(const fleet_t *fleet, const char *sha256);

#endif
